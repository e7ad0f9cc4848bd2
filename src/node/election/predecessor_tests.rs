//! Leaders that may still run after several others have led, which each new leader has to wait for.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::time::sleep;

use crate::graph::ShardId;
use crate::node::election::ElectionLoop;
use crate::node::entry_store::EntryStore;
use crate::node::keys::{ENTRY_PREFIX, KeyWrite, TransactionOutcome};
use crate::node::records::{EarlierLeader, LeaderRecord};
use crate::node::shared::NodeShared;
use crate::node::simulated_peers::SimulatedPeers;
use crate::node::simulated_store::{SimulatedStore, StoreAccess};
use crate::node::simulation::SimulatedFleet;
use crate::node::tests::{divided, settings};
use crate::node::view::ShardView;

/// Time for which a leader waits at least for one before it that may still run: the window in which that one extends
/// leases, and a lease, less the time that the tests take.
const FULL_WAIT: Duration = Duration::from_secs(6);
/// Longest time for which it waits where all leaders before it have ended: a lease.
const SHORT_WAIT: Duration = Duration::from_secs(5);
/// Number of milliseconds that a simulation may take to reach a state.
const MAX_STEPS: usize = 30_000;

/// Waits until an entry other than `others` leads.
async fn next_leader(fleet: &SimulatedFleet, others: &[usize]) -> usize {
    for _ in 0..MAX_STEPS {
        sleep(Duration::from_millis(1)).await;
        let leader =
            (0..fleet.running()).find(|number| fleet.leads(*number) && !others.contains(number));
        if let Some(leader) = leader {
            return leader;
        }
    }
    panic!("no other entry leads");
}

/// Entries of which the first leader is refused by the store and still extends leases of workers, with that
/// leader and the next one.
async fn leader_refused() -> (SimulatedFleet, usize, usize) {
    let mut fleet = SimulatedFleet::undivided(1);
    for number in 0..4 {
        fleet.start_on(number, 0.5, 200.0);
    }
    let first = next_leader(&fleet, &[]).await;
    sleep(Duration::from_secs(20)).await;
    if let Some(client) = fleet.client(first) {
        fleet.store().set_access(client, StoreAccess::Silent);
    }
    let second = next_leader(&fleet, &[first]).await;
    (fleet, first, second)
}

/// Kills an entry and starts it again.
async fn restart(fleet: &mut SimulatedFleet, number: usize) {
    fleet.kill_entry(number);
    sleep(Duration::from_millis(500)).await;
    fleet.start_on(number, 0.5, 200.0);
}

// A leader that the store refused extended the leases of its domain's workers, the next one was killed. The one after it
// took the restart of the latter for the end of all leaders before it, and started tasks again that still ran.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_leader_waits_for_one_that_runs_on_after_the_next_was_killed() {
    let (mut fleet, first, second) = leader_refused().await;
    restart(&mut fleet, second).await;
    let third = next_leader(&fleet, &[first]).await;
    sleep(Duration::from_secs(1)).await;
    expect_that!(fleet.inherited_lease_time(third).await, some(gt(FULL_WAIT)));
}

// The same if the next leader was named by one that stopped as planned, and then killed.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_leader_waits_for_one_that_runs_on_after_a_named_successor_was_killed() {
    let (mut fleet, first, second) = leader_refused().await;
    fleet.stop_entry(second);
    let third = next_leader(&fleet, &[first, second]).await;
    restart(&mut fleet, third).await;
    let fourth = next_leader(&fleet, &[first]).await;
    sleep(Duration::from_secs(1)).await;
    expect_that!(fleet.inherited_lease_time(fourth).await, some(gt(FULL_WAIT)));
}

// Otherwise each takeover after a loss would wait for leaders that lost their leases long ago.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_leader_does_not_wait_for_one_that_another_has_outlasted() {
    let (mut fleet, first, second) = leader_refused().await;
    sleep(Duration::from_secs(20)).await;
    restart(&mut fleet, second).await;
    let third = next_leader(&fleet, &[first]).await;
    sleep(Duration::from_secs(1)).await;
    expect_that!(fleet.inherited_lease_time(third).await, some(lt(SHORT_WAIT)));
}

/// The election loop of a new process of the same entry.
fn new_process(store: &Arc<SimulatedStore>, client: usize) -> ElectionLoop {
    let store = EntryStore::Simulated(store.client(client));
    let shared = NodeShared::simulated(settings(), store, SimulatedPeers::default());
    ElectionLoop::new(Arc::new(shared))
}

// The store may carry out an unanswered call seconds later. The registration of a process that had been killed replaced
// that of its successor, which then counted as ended while it led.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_registration_that_is_carried_out_late_does_not_replace_a_later_one() {
    let store = SimulatedStore::start();
    let (mut killed, mut present) = (new_process(&store, 1), new_process(&store, 2));
    killed.renew().await;
    present.renew().await;
    expect_that!(present.lease, some(anything()));
    let key = format!("{ENTRY_PREFIX}{}", settings().name);
    let late =
        killed.registration(&KeyWrite { key: key.clone(), value: "late".into(), lease: None });
    let outcome = killed.shared.store.transact(&late).await;
    expect_that!(outcome, ok(matches_pattern!(TransactionOutcome::Conflict(_))));
    let stored = present.shared.store.get(&key).await;
    expect_that!(stored.ok().flatten().map(|item| item.revision), some(eq(present.registered)));
}

// The list of entries lagged behind the leaders. The registration from before an entry's restart was taken for that of a
// later process, so that the leader elected from that restart counted as ended while it led.
#[gtest]
fn a_leader_has_not_ended_by_a_registration_from_before_its_election() {
    let process = ("entry-2".into(), 8);
    let leader = |elected| EarlierLeader { process: process.clone(), elected };
    let record = LeaderRecord {
        entry: process.0.clone(),
        address: settings().peers,
        start: process.1,
        epoch: 4,
    };
    // The known registration is that of start 7, at revision 20.
    let mut view = divided(&[("entry-2", "a", 0.25)]);
    view.entries.get_mut("entry-2").unwrap().revision = 20;
    let shard = ShardId::from("a");
    for (elected, has_ended) in [(10, true), (30, false)] {
        expect_that!(view.running(&[leader(elected)].into()).is_empty(), eq(has_ended));
        let led = ShardView {
            leader: Some(record.clone()),
            leader_revision: elected,
            epoch: 4,
            ..ShardView::default()
        };
        view.shards.insert(shard.clone(), led);
        expect_that!(view.leaderless(&shard), eq(has_ended));
    }
}
