//! Calls of a leader that follows the registrations.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::time::sleep;

use crate::graph::{ShardPlan, ShardScope};
use crate::node::entry_store::{EntryStore, StoreCallKind};
use crate::node::registry::RegistryLoop;
use crate::node::shared::NodeShared;
use crate::node::simulated_store::SimulatedStore;
use crate::node::tests::settings;
use crate::platform::REGISTRATION_PREFIX;
use crate::ring::ring;

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
