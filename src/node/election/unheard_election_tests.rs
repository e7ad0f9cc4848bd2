//! Leaders that the store names while they have not heard so.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::sleep;

use crate::node::simulated_store::StoreAccess;
use crate::node::simulation::SimulatedFleet;

const ENTRIES: usize = 3;
/// How long the store refuses all calls: longer than leases last.
const DOWNTIME: Duration = Duration::from_secs(3);
/// Number of transactions after the store's return whose answers may be lost: registrations, elections and groups.
const TRANSACTIONS: u32 = 5;
/// Time that a leader may go on without a renewal, and that further elections may take.
const SETTLING_TIME: Duration = Duration::from_secs(8);

async fn start_fleet() -> SimulatedFleet {
    let mut fleet = SimulatedFleet::undivided(ENTRIES);
    for number in 0..ENTRIES {
        fleet.start_on(number, 0.25, 1_000.0);
    }
    sleep(Duration::from_secs(3)).await;
    fleet
}

/// Lets the store refuse all calls until the leases have ended.
async fn interrupt_store(fleet: &SimulatedFleet, clients: &[usize]) {
    let set = |access| clients.iter().for_each(|client| fleet.store().set_access(*client, access));
    set(StoreAccess::Refused);
    sleep(DOWNTIME).await;
    set(StoreAccess::Open);
}

// A leader whose lease had ended won the next election itself, and the answer was lost. Its loop went on under the old epoch
// and got no renewals, so it lost its authority after 5 s, while its key kept the other entries from campaigning.
#[gtest]
#[tokio::test(start_paused = true)]
async fn the_entry_that_the_store_names_as_leader_acts_whichever_answers_are_lost() {
    for lost in 0..1_u32 << TRANSACTIONS {
        let fleet = start_fleet().await;
        let clients: Vec<usize> = (0..ENTRIES).filter_map(|number| fleet.client(number)).collect();
        let are_lost = |number: u32| lost & (1 << number) != 0;
        for client in &clients {
            fleet.store().lose_answers(*client, (0..TRANSACTIONS).map(are_lost));
        }
        interrupt_store(&fleet, &clients).await;
        sleep(SETTLING_TIME).await;
        let leader = fleet.term(0).and_then(|(_, leader)| leader);
        assert_that!(leader, some(anything()), "answers lost: {lost:b}");
        let acts = fleet.acts_as_leader(leader.unwrap_or_default()).await;
        expect_that!(acts, eq(true), "answers lost: {lost:b}");
    }
}

// The same for a second outage before the first election is known: the key of the first one goes with its lease.
#[gtest]
#[tokio::test(start_paused = true)]
async fn the_entry_that_the_store_names_as_leader_acts_after_two_unheard_elections() {
    for lost in 0..1_u32 << TRANSACTIONS {
        let fleet = start_fleet().await;
        let clients: Vec<usize> = (0..ENTRIES).filter_map(|number| fleet.client(number)).collect();
        let are_lost = |number: u32| lost & (1 << number) != 0;
        interrupt_store(&fleet, &clients).await;
        for client in &clients {
            fleet.store().lose_answers(*client, (0..TRANSACTIONS).map(are_lost));
            fleet.store().silence_watches(*client);
        }
        sleep(Duration::from_millis(300)).await;
        interrupt_store(&fleet, &clients).await;
        sleep(SETTLING_TIME).await;
        let leader = fleet.term(0).and_then(|(_, leader)| leader);
        assert_that!(leader, some(anything()), "answers lost: {lost:b}");
        let acts = fleet.acts_as_leader(leader.unwrap_or_default()).await;
        expect_that!(acts, eq(true), "answers lost: {lost:b}");
    }
}
