//! Terms that an entry is handed or wins before it has all the state it needs.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::time::sleep;

use crate::graph::{ShardId, ShardPlan};
use crate::node::candidacy::{Candidacy, CandidacyState};
use crate::node::election::ElectionLoop;
use crate::node::peer_service::offer_succession;
use crate::node::records::{EntryRecord, LeaderRecord, LeaderTerm};
use crate::node::shared::NodeShared;
use crate::node::tests::{divided, entry};
use crate::node::view::{MemberView, ShardView};

/// A shard of a divided deployment.
fn shard() -> ShardId {
    ShardId::from("a")
}

/// The shard plan that contains [`shard`].
fn plan() -> Option<Arc<ShardPlan>> {
    divided(&[]).plan
}

/// An entry without the shard plan.
fn entry_without_plan() -> Arc<NodeShared> {
    let shared = entry();
    shared.members.send_modify(|view| view.plan = None);
    Arc::new(shared)
}

// A leader that stepped down chose an entry that had just restarted and had not read the shard plan. That entry led its
// shard as if it had all workers: jobs were stored without the index, and other entries answered that they did not
// exist.
#[gtest]
#[tokio::test(start_paused = true)]
async fn an_entry_offers_to_lead_once_it_knows_the_shard_plan() {
    let shared = entry_without_plan();
    shared.handover_inbox.set_lease(Some(3));
    expect_that!(offer_succession(&shared, shard(), 1), none());
    shared.members.send_modify(|view| view.plan = plan());
    expect_that!(offer_succession(&shared, shard(), 1), some(anything()));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_term_handed_over_begins_once_the_shard_plan_is_known() {
    let shared = entry_without_plan();
    let term =
        LeaderTerm { epoch: 2, epoch_revision: 9, predecessor: None, earlier: BTreeSet::new() };
    shared.handover_inbox.deliver_term(shard(), term);
    tokio::spawn(ElectionLoop::new(shared.clone()).run());
    sleep(Duration::from_millis(500)).await;
    expect_that!(shared.members.borrow().shard(&shard()).epoch, eq(0));
    shared.members.send_modify(|view| view.plan = plan());
    sleep(Duration::from_millis(500)).await;
    expect_that!(shared.members.borrow().shard(&shard()).epoch, eq(2));
}

// After an election won by a call whose answer was lost, the previous leader is unknown. It was assumed to have ended,
// so that the wait for its runs was five seconds shorter than they may last.
#[gtest]
#[tokio::test(start_paused = true)]
async fn an_unknown_previous_leader_may_still_run() -> Result<()> {
    let shared = Arc::new(entry());
    let candidacy = Candidacy::new(shared.clone(), shard());
    let settings = &shared.settings;
    let own = LeaderRecord {
        entry: settings.name.clone(),
        address: settings.peers,
        start: shared.start,
        epoch: 5,
    };
    let record = EntryRecord {
        address: settings.peers,
        domain: settings.domain.clone(),
        start: shared.start,
        processor: settings.processor,
        link_mbps: Some(settings.link_mbps),
        revision: 0,
    };
    let shard_view = ShardView { leader: Some(own), epoch: 5, ..ShardView::default() };
    let view = MemberView {
        plan: plan(),
        shards: [(shard(), shard_view)].into(),
        entries: [(settings.name.clone(), record)].into(),
        known: true,
        ..MemberView::default()
    };
    let CandidacyState::Won(term) = candidacy.store_state(&view, true) else {
        return fail!("the entry does not lead");
    };
    expect_false!(view.has_ended(&term.predecessor));
    Ok(())
}
