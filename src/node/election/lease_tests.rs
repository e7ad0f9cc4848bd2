//! Renewals of the entry's lease that say nothing of its leaders' keys.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use googletest::prelude::*;
use tokio::time::{sleep, timeout};

use crate::graph::{GraphId, QueueConfig, RequestLimits, ShardId, ShardPlan};
use crate::node::election::ElectionLoop;
use crate::node::input::LeaderInput;
use crate::node::message::{LeaderAnswer, LeaderCall};
use crate::node::own_leader::ask_here;
use crate::node::records::{LeaderRecord, LeaderTerm};
use crate::node::settings::NodeSettings;
use crate::node::shared::NodeShared;
use crate::node::tests::settings;
use crate::platform::EmptyStore;

const UNKNOWN: &str = "00000000000000a3";
/// Longest time for the leader to begin.
const PATIENCE: Duration = Duration::from_secs(20);

fn whole() -> ShardId {
    ShardId::from("")
}

/// An entry that has registered.
async fn registered(store: SocketAddr) -> (Arc<NodeShared>, ElectionLoop) {
    let shared = Arc::new(NodeShared::new(NodeSettings { store, ..settings() }));
    shared.members.send_modify(|view| view.plan = Some(Arc::new(ShardPlan::undivided())));
    let mut duty = ElectionLoop::new(shared.clone());
    duty.renew().await;
    assert!(duty.lease.is_some(), "not registered");
    (shared, duty)
}

/// The lease ends, and the entry registers anew.
async fn register_anew(store: &EmptyStore, duty: &mut ElectionLoop) {
    let before = duty.lease;
    store.end_lease();
    duty.renew().await;
    assert!(duty.lease.is_none(), "the lease has not ended");
    duty.renew().await;
    assert!(duty.lease.is_some() && duty.lease != before, "not registered anew");
}

/// What the leader of this process answers of a job that it does not have, once it leads.
async fn told_of_unknown(shared: &NodeShared) -> Option<LeaderAnswer> {
    let leads = async {
        while shared.leading(&whole()).is_none() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(timeout(PATIENCE, leads).await.is_ok(), "it does not lead");
    ask_here(shared, &whole(), LeaderCall::State(GraphId::from(UNKNOWN))).await
}

// It offered the lease under which the store names it; that ended, with the leader's key, before the word of the leader
// that leaves arrived, so another may have been elected since.
#[gtest]
#[tokio::test]
async fn a_term_that_was_given_under_a_lease_that_has_ended_is_led() {
    let (store, address) = EmptyStore::start().await;
    let (shared, mut duty) = registered(address).await;
    let offered = shared.handover_inbox.name(whole(), 1);
    assert_eq!(offered, duty.lease);
    register_anew(&store, &mut duty).await;
    duty.begin_given(&whole(), LeaderTerm { epoch: 2, epoch_revision: 5, predecessor: None });
    expect_false!(duty.candidacy(&whole()).leads());
}

// The same where that word is lost: it takes up the term by the key that it has read before its lease ended.
#[gtest]
#[tokio::test]
async fn a_term_that_was_won_under_a_lease_that_has_ended_is_led() {
    let (store, address) = EmptyStore::start().await;
    let (shared, mut duty) = registered(address).await;
    let entry = shared.settings.name.clone();
    let (address, start) = (shared.settings.peers, shared.start);
    shared.members.send_modify(|view| {
        let led = view.shards.entry(whole()).or_default();
        led.leader = Some(LeaderRecord { entry, address, start, epoch: 2 });
        (led.epoch, led.epoch_revision) = (2, 5);
    });
    register_anew(&store, &mut duty).await;
    let view = shared.members.borrow().clone();
    duty.follow(&whole(), &view).await;
    expect_false!(duty.candidacy(&whole()).leads());
}

// The change that ends its term is carried out and its answer lost: the lease stands, the leader's key does not.
#[gtest]
#[tokio::test]
async fn a_leader_whose_hand_over_was_not_answered_denies_later_jobs() {
    let (store, address) = EmptyStore::start().await;
    let (shared, mut duty) = registered(address).await;
    let view = shared.members.borrow().clone();
    duty.campaign(&whole(), &view).await;
    expect_that!(told_of_unknown(&shared).await, some(eq(&LeaderAnswer::Gone)));
    store.loses_answers.store(true, Ordering::Relaxed);
    assert!(!duty.hand_over().await);
    assert_eq!(store.lost.load(Ordering::Relaxed), 1);
    duty.renew().await;
    expect_that!(told_of_unknown(&shared).await, some(eq(&LeaderAnswer::NotLeading)));
}

// The lease ends while the answer to the election is on its way, and the members tell so before it: the record that the
// answer leaves among the members stands for good, so that the leader neither gets a renewal nor stands again.
#[gtest]
#[tokio::test]
async fn a_leader_whose_lease_ended_before_its_election_was_answered_never_stands_again() {
    let (store, address) = EmptyStore::start().await;
    let (shared, mut duty) = registered(address).await;
    shared.members.send_modify(|view| view.known = true);
    let limits = RequestLimits { body_bytes: 1 << 18, head_time: Duration::from_secs(3) };
    let config =
        QueueConfig { version: 1, queues: Default::default(), pools: Default::default(), limits };
    shared.config.send_replace(Some(Arc::new(config)));
    let view = shared.members.borrow().clone();
    assert!(duty.may_campaign(&whole(), &view));
    let before = store.changes.load(Ordering::Relaxed);
    store.keeps_answers.store(true, Ordering::Relaxed);
    let told = async {
        while store.changes.load(Ordering::Relaxed) == before {
            sleep(Duration::from_millis(1)).await;
        }
        store.end_lease();
        // The election and the end of the leader's key, as the members are told of both.
        shared.members.send_modify(|view| {
            let led = view.shards.entry(whole()).or_default();
            (led.leader, led.epoch, led.epoch_revision) = (None, 1, 9);
        });
        store.keeps_answers.store(false, Ordering::Relaxed);
    };
    let shard = whole();
    tokio::join!(duty.campaign(&shard, &view), told);
    duty.renew().await;
    duty.renew().await;
    assert!(duty.lease.is_some(), "not registered anew");
    let view = shared.members.borrow().clone();
    duty.follow(&whole(), &view).await;
    expect_true!(duty.may_campaign(&whole(), &view));
}

// The change is sent again on the same condition once the store answers, which settles the term either way.
#[gtest]
#[tokio::test]
async fn a_hand_over_that_was_not_answered_is_sent_again_until_the_term_has_ended() {
    let (store, address) = EmptyStore::start().await;
    let (shared, mut duty) = registered(address).await;
    let view = shared.members.borrow().clone();
    duty.campaign(&whole(), &view).await;
    store.loses_answers.store(true, Ordering::Relaxed);
    assert!(!duty.hand_over().await);
    duty.settle_doubts().await;
    expect_true!(duty.candidacy(&whole()).in_doubt());
    store.loses_answers.store(false, Ordering::Relaxed);
    duty.settle_doubts().await;
    expect_false!(duty.candidacy(&whole()).leads());
    expect_false!(duty.candidacy(&whole()).in_doubt());
}

// A leader's duty has ended by itself, and the change that removes its key is not answered: the key stands with the entry's
// lease, and nobody stands for as long as the entry lives.
#[gtest]
#[tokio::test]
async fn a_key_whose_removal_was_not_answered_stands_for_good() {
    let (store, address) = EmptyStore::start().await;
    let (shared, mut duty) = registered(address).await;
    let view = shared.members.borrow().clone();
    duty.campaign(&whole(), &view).await;
    told_of_unknown(&shared).await;
    let leader = shared.leading(&whole()).unwrap();
    leader.send(LeaderInput::Resign).await;
    let ended = async {
        while shared.leading(&whole()).is_some() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(timeout(PATIENCE, ended).await.is_ok(), "it leads on");
    sleep(Duration::from_millis(20)).await;
    store.loses_answers.store(true, Ordering::Relaxed);
    let view = shared.members.borrow().clone();
    duty.follow(&whole(), &view).await;
    assert_eq!(store.lost.load(Ordering::Relaxed), 1);
    store.loses_answers.store(false, Ordering::Relaxed);
    let before = store.changes.load(Ordering::Relaxed);
    duty.follow(&whole(), &view).await;
    expect_that!(store.changes.load(Ordering::Relaxed), eq(before + 1));
}
