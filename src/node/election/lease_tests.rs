//! Leader keys that are gone, or left behind, although the entry's lease is renewed.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use googletest::prelude::*;
use tokio::time::{sleep, timeout};

use crate::graph::{QueueConfig, RequestLimits, ShardId, ShardPlan};
use crate::node::election::ElectionLoop;
use crate::node::election::handover::TransferCause;
use crate::node::input::LeaderInput;
use crate::node::message::{JobAccess, LeaderAnswer, LeaderCall};
use crate::node::own_leader::ask_own_leader;
use crate::node::records::{LeaderRecord, LeaderTerm};
use crate::node::settings::NodeSettings;
use crate::node::shared::NodeShared;
use crate::node::tests::settings;
use crate::platform::EmptyStore;

const UNKNOWN: &str = "00000000000000a3";
/// Maximum time for the leader loop to start or end.
const START_TIMEOUT: Duration = Duration::from_secs(20);

fn undivided() -> ShardId {
    ShardId::from("")
}

/// Returns the state and the election loop of a registered entry.
async fn registered(store: SocketAddr) -> (Arc<NodeShared>, ElectionLoop) {
    let shared = Arc::new(NodeShared::new(NodeSettings { store, ..settings() }));
    shared.members.send_modify(|view| view.plan = Some(Arc::new(ShardPlan::undivided())));
    let mut election = ElectionLoop::new(shared.clone());
    election.renew().await;
    assert!(election.lease.is_some(), "not registered");
    (shared, election)
}

/// Ends the lease in the store and lets the entry register again.
async fn register_again(store: &EmptyStore, election: &mut ElectionLoop) {
    let before = election.lease;
    store.end_lease();
    election.renew().await;
    assert!(election.lease.is_none(), "the lease has not ended");
    election.renew().await;
    assert!(election.lease.is_some() && election.lease != before, "not registered again");
}

/// Waits until this process leads, and returns its leader's answer about an unknown job.
async fn answer_for_unknown_job(shared: &NodeShared) -> Option<LeaderAnswer> {
    let leads = async {
        while shared.leading(&undivided()).is_none() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(timeout(START_TIMEOUT, leads).await.is_ok(), "the entry does not lead");
    ask_own_leader(shared, &undivided(), LeaderCall::State(JobAccess::Anonymous(UNKNOWN.into())))
        .await
}

// The entry offered its lease to a leader that stepped down. The lease, and with it the leader key, ended before the
// notification of the term arrived, so another leader may have been elected meanwhile.
#[gtest]
#[tokio::test]
async fn a_term_delivered_under_an_ended_lease_does_not_begin() {
    let (store, address) = EmptyStore::start().await;
    let (shared, mut election) = registered(address).await;
    let offered = shared.handover_inbox.expect_term(undivided(), 1);
    assert_eq!(offered, election.lease);
    register_again(&store, &mut election).await;
    election
        .begin_delivered_term(
            &undivided(),
            LeaderTerm { epoch: 2, epoch_revision: 5, predecessor: None, earlier: BTreeSet::new() },
        )
        .await;
    expect_false!(election.candidacy(&undivided()).leads());
}

// The same if the notification is lost: the entry would begin the term because of the leader key that it read before
// its lease ended.
#[gtest]
#[tokio::test]
async fn a_term_won_under_an_ended_lease_does_not_begin() {
    let (store, address) = EmptyStore::start().await;
    let (shared, mut election) = registered(address).await;
    let entry = shared.settings.name.clone();
    let (address, start) = (shared.settings.peers, shared.start);
    shared.members.send_modify(|view| {
        let shard_view = view.shards.entry(undivided()).or_default();
        shard_view.leader = Some(LeaderRecord { entry, address, start, epoch: 2 });
        (shard_view.epoch, shard_view.epoch_revision) = (2, 5);
    });
    register_again(&store, &mut election).await;
    let view = shared.members.borrow().clone();
    election.reconcile(&undivided(), &view).await;
    expect_false!(election.candidacy(&undivided()).leads());
}

// The transaction that ends the term takes effect and its answer is lost: the lease is still valid, but the leader key
// is gone.
#[gtest]
#[tokio::test]
async fn a_leader_with_an_unanswered_handover_does_not_report_jobs_as_gone() {
    let (store, address) = EmptyStore::start().await;
    let (shared, mut election) = registered(address).await;
    let view = shared.members.borrow().clone();
    election.campaign(&undivided(), &view).await;
    expect_that!(answer_for_unknown_job(&shared).await, some(eq(&LeaderAnswer::Gone)));
    store.loses_answers.store(true, Ordering::Relaxed);
    assert!(!election.hand_over(TransferCause::PlannedStop).await);
    assert_eq!(store.lost_transactions.load(Ordering::Relaxed), 1);
    election.renew().await;
    expect_that!(answer_for_unknown_job(&shared).await, some(eq(&LeaderAnswer::NotLeading)));
}

// The lease ends before the answer to the election arrives, and the members watch delivers that first. If the late
// answer then put the leader record into the view, the record stayed there: the leader got no renewal and never
// campaigned again.
#[gtest]
#[tokio::test]
async fn an_entry_may_campaign_again_if_its_lease_ended_before_the_election_was_answered() {
    let (store, address) = EmptyStore::start().await;
    let (shared, mut election) = registered(address).await;
    shared.members.send_modify(|view| view.known = true);
    let limits = RequestLimits { body_bytes: 1 << 18, head_time: Duration::from_secs(3) };
    let config = QueueConfig {
        version: 1,
        queues: Default::default(),
        pools: Default::default(),
        limits,
        workspaces: Default::default(),
        keys: Default::default(),
    };
    shared.config.send_replace(Some(Arc::new(config)));
    let view = shared.members.borrow().clone();
    assert!(election.may_campaign(&undivided(), &view));
    let before = store.transactions.load(Ordering::Relaxed);
    store.delays_answers.store(true, Ordering::Relaxed);
    let watch_events = async {
        while store.transactions.load(Ordering::Relaxed) == before {
            sleep(Duration::from_millis(1)).await;
        }
        store.end_lease();
        // The state after the watch has delivered the election and the removal of the leader key.
        shared.members.send_modify(|view| {
            let shard_view = view.shards.entry(undivided()).or_default();
            (shard_view.leader, shard_view.epoch, shard_view.epoch_revision) = (None, 1, 9);
        });
        store.delays_answers.store(false, Ordering::Relaxed);
    };
    let shard = undivided();
    tokio::join!(election.campaign(&shard, &view), watch_events);
    election.renew().await;
    election.renew().await;
    assert!(election.lease.is_some(), "not registered again");
    let view = shared.members.borrow().clone();
    election.reconcile(&undivided(), &view).await;
    expect_true!(election.may_campaign(&undivided(), &view));
}

// Sent again on the same condition once the store answers, the transaction ends the term in either case.
#[gtest]
#[tokio::test]
async fn an_unanswered_handover_is_sent_again_until_the_term_has_ended() {
    let (store, address) = EmptyStore::start().await;
    let (shared, mut election) = registered(address).await;
    let view = shared.members.borrow().clone();
    election.campaign(&undivided(), &view).await;
    store.loses_answers.store(true, Ordering::Relaxed);
    assert!(!election.hand_over(TransferCause::PlannedStop).await);
    election.resolve_in_doubt().await;
    expect_true!(election.candidacy(&undivided()).in_doubt());
    store.loses_answers.store(false, Ordering::Relaxed);
    election.resolve_in_doubt().await;
    expect_false!(election.candidacy(&undivided()).leads());
    expect_false!(election.candidacy(&undivided()).in_doubt());
}

// The leader loop ends by itself, and the transaction that removes its key gets no answer. Unless it is sent again, the
// key exists as long as the entry's lease, and nobody campaigns.
#[gtest]
#[tokio::test]
async fn an_unanswered_removal_of_the_leader_key_is_sent_again() {
    let (store, address) = EmptyStore::start().await;
    let (shared, mut election) = registered(address).await;
    let view = shared.members.borrow().clone();
    election.campaign(&undivided(), &view).await;
    answer_for_unknown_job(&shared).await;
    let leader = shared.leading(&undivided()).unwrap();
    leader.send(LeaderInput::Resign).await;
    let ended = async {
        while shared.leading(&undivided()).is_some() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(timeout(START_TIMEOUT, ended).await.is_ok(), "the leader loop has not ended");
    sleep(Duration::from_millis(20)).await;
    store.loses_answers.store(true, Ordering::Relaxed);
    let view = shared.members.borrow().clone();
    election.reconcile(&undivided(), &view).await;
    assert_eq!(store.lost_transactions.load(Ordering::Relaxed), 1);
    store.loses_answers.store(false, Ordering::Relaxed);
    let before = store.transactions.load(Ordering::Relaxed);
    election.reconcile(&undivided(), &view).await;
    expect_that!(store.transactions.load(Ordering::Relaxed), eq(before + 1));
}
