//! Leadership that an entry is given or wins before it knows all that it has to.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::time::sleep;

use crate::graph::{ShardId, ShardPlan};
use crate::node::candidacy::{Candidacy, CandidacyState};
use crate::node::election::ElectionLoop;
use crate::node::peer_service::offer_here;
use crate::node::records::{EntryRecord, LeaderRecord, LeaderTerm};
use crate::node::shared::NodeShared;
use crate::node::tests::{divided, entry};
use crate::node::view::{MemberView, ShardView};

/// A shard of a divided deployment.
fn shard() -> ShardId {
    ShardId::from("a")
}

/// The division that [`shard`] is of.
fn plan() -> Option<Arc<ShardPlan>> {
    divided(&[]).plan
}

/// An entry that does not know the division.
fn unread() -> Arc<NodeShared> {
    let shared = entry();
    shared.members.send_modify(|view| view.plan = None);
    Arc::new(shared)
}

// A leader that left named an entry that had started anew and had not read the division. It led its shard as if that
// had all workers: jobs were stored without the index, and other entries told their callers that there were none.
#[gtest]
#[tokio::test(start_paused = true)]
async fn an_entry_offers_to_lead_once_it_knows_the_division() {
    let shared = unread();
    shared.handover_inbox.set_lease(Some(3));
    expect_that!(offer_here(&shared, shard(), 1), none());
    shared.members.send_modify(|view| view.plan = plan());
    expect_that!(offer_here(&shared, shard(), 1), some(anything()));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_term_that_is_given_begins_once_the_division_is_known() {
    let shared = unread();
    let term = LeaderTerm { epoch: 2, epoch_revision: 9, predecessor: None };
    shared.handover_inbox.give(shard(), term);
    tokio::spawn(ElectionLoop::new(shared.clone()).run());
    sleep(Duration::from_millis(500)).await;
    expect_that!(shared.members.borrow().shard(&shard()).epoch, eq(0));
    shared.members.send_modify(|view| view.plan = plan());
    sleep(Duration::from_millis(500)).await;
    expect_that!(shared.members.borrow().shard(&shard()).epoch, eq(2));
}

// An election that was won by a call without an answer leaves open who led before. That leader was taken for ended, so
// that its runs were waited for five seconds less than they may go on.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_leader_before_that_is_not_known_may_go_on() -> Result<()> {
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
        revision: 0,
    };
    let led = ShardView { leader: Some(own), epoch: 5, ..ShardView::default() };
    let view = MemberView {
        plan: plan(),
        shards: [(shard(), led)].into(),
        entries: [(settings.name.clone(), record)].into(),
        known: true,
        ..MemberView::default()
    };
    let CandidacyState::Won(term) = candidacy.standing(&view, true) else {
        return fail!("the entry does not lead");
    };
    expect_false!(view.has_ended(&term.predecessor));
    Ok(())
}
