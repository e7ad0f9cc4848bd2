//! Calls of a leader that follows the registrations, and what it learns from them.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::graph::{ShardPlan, ShardScope};
use crate::id::WorkerId;
use crate::node::entry_store::{EntryStore, StoreCallKind};
use crate::node::input::LeaderInput;
use crate::node::registry::RegistryLoop;
use crate::node::shared::NodeShared;
use crate::node::simulated_store::{SimulatedStore, StoreAccess};
use crate::node::tests::settings;
use crate::platform::{REGISTRATION_PREFIX, registration_fixture};
use crate::ring::{RingReceiver, ring};

/// Time between two changes of registrations.
const CHANGE_INTERVAL: Duration = Duration::from_millis(1);
const CHANGES: usize = 4_000;

/// Follows registrations while they change, and returns the numbers of watches and of events that they returned.
async fn follow_changes(shards: u32) -> (u64, u64) {
    let store = SimulatedStore::start();
    let plan = match shards {
        1 => ShardPlan::undivided(),
        shards => ShardPlan::by_domain([("d".into(), shards)].into()),
    };
    let shard = plan.shards()[0].clone();
    let shared =
        Arc::new(NodeShared::with_store(settings(), EntryStore::Simulated(store.client(1))));
    let (leader, inputs) = ring("leader", 64);
    let scope = ShardScope::new(Arc::new(plan), shard);
    let registry = tokio::spawn(RegistryLoop::new(shared, scope, leader).run());
    let drain = tokio::spawn(async move { while inputs.recv().await.is_some() {} });
    for number in 0..CHANGES {
        sleep(CHANGE_INTERVAL).await;
        store.put(&format!("{REGISTRATION_PREFIX}w{}", number % 600), "unreadable");
    }
    sleep(Duration::from_secs(1)).await;
    registry.abort();
    drain.abort();
    let count = store.call_count();
    (count.of(StoreCallKind::Watch), count.events)
}

// Each of ten leaders watched 6,000 workers and sent its watch again at once: 90 calls a second each.
#[gtest]
#[tokio::test(start_paused = true)]
async fn all_leaders_together_make_a_limited_number_of_watches() {
    let seconds = 5;
    for shards in [1, 5, 10] {
        let (watches, events) = follow_changes(shards).await;
        expect_that!(watches * u64::from(shards), le(40 * seconds + u64::from(shards)), "{shards}");
        expect_that!(events, ge(CHANGES as u64 - 10), "{shards}");
    }
}

/// Number of registrations of a fleet: three pages.
const WORKERS: usize = 1_200;
/// A worker on the last page.
const LAST_WORKER: &str = "w1199";
/// Number of the store's client in these tests.
const CLIENT: usize = 1;

fn put_registration(store: &SimulatedStore, worker: &str, is_leaving: bool) {
    store.put(&format!("{REGISTRATION_PREFIX}{worker}"), registration_fixture(is_leaving));
}

/// A store with the registrations of all workers.
fn fleet_store() -> Arc<SimulatedStore> {
    let store = SimulatedStore::start();
    for number in 0..WORKERS {
        put_registration(&store, &format!("w{number:04}"), false);
    }
    store
}

/// Follows the registrations of a store; all inputs for the leader fit into the ring.
fn follow(store: &Arc<SimulatedStore>) -> (JoinHandle<()>, RingReceiver<LeaderInput>) {
    let plan = ShardPlan::undivided();
    let shard = plan.shards()[0].clone();
    let shared =
        Arc::new(NodeShared::with_store(settings(), EntryStore::Simulated(store.client(CLIENT))));
    let (leader, inputs) = ring("leader", 16 * WORKERS);
    let registry = RegistryLoop::new(shared, ShardScope::new(Arc::new(plan), shard), leader);
    (tokio::spawn(registry.run()), inputs)
}

/// Whether a worker was leaving, in the order in which the leader is told.
fn leaving_states(inputs: &RingReceiver<LeaderInput>, worker: &WorkerId) -> Vec<bool> {
    let inputs = std::iter::from_fn(|| inputs.try_recv());
    let registrations = inputs.filter_map(|input| match input {
        LeaderInput::Registered(registration) if registration.id == *worker => {
            Some(registration.leaving.is_some())
        }
        _ => None,
    });
    registrations.collect()
}

// The watch begins at the revision of the first page. An event from before the read of a later page
// made a worker that leaves one that takes work, until the next event was handled.
#[gtest]
#[tokio::test(start_paused = true)]
async fn an_event_from_before_its_page_was_read_is_not_passed_on() {
    let store = fleet_store();
    store.set_link(CLIENT, 5.0);
    let (registry, inputs) = follow(&store);
    sleep(Duration::from_millis(100)).await;
    put_registration(&store, LAST_WORKER, false);
    put_registration(&store, LAST_WORKER, true);
    sleep(Duration::from_secs(4)).await;
    registry.abort();
    let states = leaving_states(&inputs, &LAST_WORKER.into());
    expect_that!(states.first(), some(eq(&true)));
    expect_that!(states, not(contains(eq(&false))));
}

// A read of the registrations began again with its first page after each call that was not
// answered. With 12 pages and a store that leaves one call in ten unanswered, most reads fail.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_read_that_fails_continues_with_the_page_that_was_not_answered() {
    let store = fleet_store();
    let (registry, inputs) = follow(&store);
    sleep(Duration::from_millis(6)).await;
    store.set_access(CLIENT, StoreAccess::Silent);
    sleep(Duration::from_millis(500)).await;
    store.set_access(CLIENT, StoreAccess::Open);
    sleep(Duration::from_secs(4)).await;
    registry.abort();
    let count = store.call_count();
    expect_that!(count.of(StoreCallKind::Read) - count.failed, eq(3));
    expect_that!(leaving_states(&inputs, &LAST_WORKER.into()), elements_are![eq(&false)]);
}

// A page that passes the link of a weak entry in more than the timeout of a call was asked for again and again: the entry
// led without ever knowing its workers.
#[gtest]
#[tokio::test(start_paused = true)]
async fn registrations_are_read_over_a_link_that_takes_longer_than_the_timeout_of_a_page() {
    let store = fleet_store();
    store.set_link(CLIENT, 0.4);
    let (registry, inputs) = follow(&store);
    sleep(Duration::from_secs(30)).await;
    registry.abort();
    let mut inputs = std::iter::from_fn(|| inputs.try_recv());
    expect_true!(inputs.any(|input| matches!(input, LeaderInput::RegistrationsRead)));
}

/// Guards against a leader that starts work on leaving workers because it takes a watch's answer of 500 events for all
/// changes until then: it fell behind by seconds and counted its registrations as current.
#[gtest]
#[tokio::test(start_paused = true)]
async fn registrations_are_not_confirmed_while_changes_wait_behind_a_full_answer() {
    let store = fleet_store();
    let (registry, inputs) = follow(&store);
    sleep(Duration::from_secs(2)).await;
    while inputs.try_recv().is_some() {}
    let changed = Instant::now();
    for number in 0..WORKERS {
        let worker = format!("w{number:04}");
        put_registration(&store, &worker, worker == LAST_WORKER);
    }
    sleep(Duration::from_millis(100)).await;
    registry.abort();
    let inputs: Vec<LeaderInput> = std::iter::from_fn(|| inputs.try_recv()).collect();
    let is_last = |input: &LeaderInput| matches!(input, LeaderInput::Registered(registration) if registration.leaving.is_some());
    let confirms = |input: &LeaderInput| matches!(input, LeaderInput::RegistrationsConfirmed(at) if *at > changed);
    let last = inputs.iter().position(is_last);
    let confirmed = inputs.iter().position(confirms);
    expect_that!(last, some(anything()));
    expect_that!(confirmed, some(gt(last.unwrap_or(usize::MAX))));
}
