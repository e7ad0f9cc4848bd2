//! Leadership that passes from a weak entry to a strong one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::time::{Instant, sleep};

use crate::graph::{EPOCH_STEP, ShardId, ShardPlan};
use crate::id::EntryId;
use crate::node::election::ElectionLoop;
use crate::node::entry_store::EntryStore;
use crate::node::job_fixtures::put_jobs;
use crate::node::machine_tests::view_of;
use crate::node::records::{EntryRecord, LeaderRecord};
use crate::node::settings::NodeSettings;
use crate::node::shared::NodeShared;
use crate::node::simulated_peers::SimulatedPeers;
use crate::node::simulated_store::SimulatedStore;
use crate::node::simulation::SimulatedFleet;
use crate::node::tests::{entry, settings};
use crate::node::view::MemberView;

/// Processor and link of a strong machine.
const STRONG: (f64, f64) = (0.5, 200.0);
/// Processor and link of a machine that reads 1,600 jobs in 8 s.
const NARROW: (f64, f64) = (0.3, 10.0);
/// Number of milliseconds that a simulation may take to reach a state.
const MAX_STEPS: usize = 30_000;

/// Runs a fleet until it has reached a state. `holds_throughout` has to hold until then.
async fn run_until(
    fleet: &SimulatedFleet,
    reached: impl Fn(&SimulatedFleet) -> bool,
    holds_throughout: impl Fn(&SimulatedFleet) -> bool,
) {
    for _ in 0..MAX_STEPS {
        if reached(fleet) {
            return;
        }
        assert!(holds_throughout(fleet), "left the expected states");
        sleep(Duration::from_millis(1)).await;
    }
    panic!("the state is not reached");
}

fn start_on(fleet: &mut SimulatedFleet, number: usize, (processor, link_mbps): (f64, f64)) {
    fleet.start_on(number, processor, link_mbps);
}

/// A deployment whose strong entry 0 has led and was lost with all power; entry 1 on a narrow link has just been elected.
async fn narrow_entry_elected(has_jobs: bool) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::undivided(1);
    start_on(&mut fleet, 0, STRONG);
    run_until(&fleet, |fleet| fleet.leads(0), |_| true).await;
    fleet.kill_entry(0);
    if has_jobs {
        put_jobs(fleet.store());
    }
    sleep(Duration::from_secs(2)).await;
    start_on(&mut fleet, 1, NARROW);
    run_until(&fleet, |fleet| fleet.term(1) == Some((2 * EPOCH_STEP, Some(1))), |_| true).await;
    fleet
}

// After a loss of all power, an entry of 0.3 cores and 10 Mbit/s was elected 15 to 100 ms before the strong entries
// registered. It read the ledger over its narrow link, and nothing was served for 15 s and more.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_strong_entry_that_registers_later_leads_before_the_weak_one_has_read_the_ledger() {
    for delay_ms in [15, 100, 3_000] {
        let mut fleet = narrow_entry_elected(true).await;
        sleep(Duration::from_millis(delay_ms)).await;
        start_on(&mut fleet, 2, STRONG);
        run_until(&fleet, |fleet| fleet.leads(2), |fleet| !fleet.leads(1)).await;
        expect_that!(fleet.term(2), some(eq((3 * EPOCH_STEP, Some(2)))), "{delay_ms} ms");
        sleep(Duration::from_secs(20)).await;
        expect_that!(fleet.term(1), some(eq((3 * EPOCH_STEP, Some(2)))), "{delay_ms} ms");
    }
}

// The same if the weak entry already serves, as the ledger is small.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_weak_leader_that_serves_passes_leadership_on_once() {
    let mut fleet = narrow_entry_elected(false).await;
    run_until(&fleet, |fleet| fleet.leads(1), |_| true).await;
    sleep(Duration::from_secs(3)).await;
    // Neither equal nor weaker entries take over.
    start_on(&mut fleet, 2, NARROW);
    start_on(&mut fleet, 3, (0.09, 10.0));
    sleep(Duration::from_secs(7)).await;
    expect_that!(fleet.term(1), some(eq((2 * EPOCH_STEP, Some(1)))));
    start_on(&mut fleet, 4, STRONG);
    run_until(&fleet, |fleet| fleet.leads(4), |_| true).await;
    start_on(&mut fleet, 5, STRONG);
    start_on(&mut fleet, 6, (0.9, 300.0));
    sleep(Duration::from_secs(20)).await;
    for number in 1..7 {
        expect_that!(fleet.term(number), some(eq((3 * EPOCH_STEP, Some(4)))), "entry {number}");
    }
}

// Entries of rising strength that register one after the other would each cost a takeover.
#[gtest]
#[tokio::test(start_paused = true)]
async fn leadership_is_not_passed_on_again_within_a_few_seconds() {
    let mut fleet = SimulatedFleet::undivided(1);
    start_on(&mut fleet, 0, (0.09, 10.0));
    run_until(&fleet, |fleet| fleet.leads(0), |_| true).await;
    start_on(&mut fleet, 1, NARROW);
    run_until(&fleet, |fleet| fleet.leads(1), |_| true).await;
    start_on(&mut fleet, 2, STRONG);
    sleep(Duration::from_secs(4)).await;
    expect_that!(fleet.term(2), some(eq((2 * EPOCH_STEP, Some(1)))));
    run_until(&fleet, |fleet| fleet.leads(2), |_| true).await;
    expect_that!(fleet.term(0), some(eq((3 * EPOCH_STEP, Some(2)))));
}

// The last to register, on a narrow link, became the successor of a leader with a planned stop.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_planned_stop_hands_leadership_to_an_entry_on_a_wide_link() {
    let mut fleet = SimulatedFleet::undivided(1);
    start_on(&mut fleet, 0, STRONG);
    run_until(&fleet, |fleet| fleet.leads(0), |_| true).await;
    start_on(&mut fleet, 1, STRONG);
    sleep(Duration::from_millis(500)).await;
    start_on(&mut fleet, 2, NARROW);
    sleep(Duration::from_secs(1)).await;
    fleet.stop_entry(0);
    run_until(&fleet, |fleet| fleet.leads(1), |fleet| !fleet.leads(2)).await;
    expect_that!(fleet.term(2), some(eq((2 * EPOCH_STEP, Some(1)))));
}

// The same where the narrow entry is in the failure domain of the shard and the wide one is not.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_shard_goes_to_a_wide_link_elsewhere_before_a_narrow_one_of_its_domain() {
    let mut fleet = SimulatedFleet::start(0, 2, 1).await;
    start_on(&mut fleet, 0, STRONG);
    start_on(&mut fleet, 1, STRONG);
    run_until(&fleet, |fleet| fleet.leads(0) && fleet.leads(1), |_| true).await;
    start_on(&mut fleet, 3, STRONG);
    sleep(Duration::from_millis(500)).await;
    start_on(&mut fleet, 2, NARROW);
    sleep(Duration::from_secs(1)).await;
    fleet.stop_entry(0);
    run_until(&fleet, |fleet| fleet.leads(3), |fleet| !fleet.leads(2)).await;
    expect_that!(fleet.led(), eq(fleet.running()));
}

/// The ports of the entries to which entry `e1` passes shard `a` on if it knew the registrations up to `revision`.
fn stronger_successors(view: &MemberView, revision: u64) -> Vec<u16> {
    let addresses = view.stronger_successors(&"a".into(), &"e1".into(), revision, view.best);
    addresses.iter().map(SocketAddr::port).collect()
}

// A strong machine that had stepped down as too slow would get leadership back from the weak one that it gave it to.
#[gtest]
fn only_entries_that_registered_since_the_term_began_are_stronger_successors() {
    let mut view = view_of(&[
        ("e1", "a", 0.3, Some(10.0), 5),
        ("e2", "a", 0.5, Some(200.0), 3),
        ("e3", "b", 0.5, Some(200.0), 8),
        ("e4", "a", 0.5, None, 9),
        ("e5", "a", 0.5, Some(10.0), 10),
    ]);
    expect_that!(stronger_successors(&view, 5), eq(&vec![4, 3]));
    expect_that!(stronger_successors(&view, 8), eq(&vec![4]));
    let leader = LeaderRecord {
        entry: "e4".into(),
        address: "127.0.0.1:4".parse().unwrap(),
        start: 7,
        epoch: 1,
    };
    view.shards.entry("b".into()).or_default().leader = Some(leader);
    expect_that!(stronger_successors(&view, 8), is_empty());
}

#[gtest]
fn a_strong_leader_has_no_stronger_successors() {
    let view = view_of(&[
        ("e1", "a", 0.5, Some(200.0), 1),
        ("e2", "a", 0.9, Some(300.0), 2),
        ("e3", "a", 0.9, None, 3),
    ]);
    expect_that!(stronger_successors(&view, 0), is_empty());
}

fn only_shard() -> ShardId {
    ShardId::from("")
}

/// An entry of a simulation, with a configuration and the shard plan.
fn simulated(
    store: &Arc<SimulatedStore>,
    peers: &SimulatedPeers,
    client: usize,
    (processor, link_mbps): (f64, f64),
) -> Arc<NodeShared> {
    let name = EntryId::from(format!("entry-{client}"));
    let address = SocketAddr::from(([127, 0, 0, 1], u16::try_from(client).unwrap()));
    let settings = NodeSettings { name, peers: address, processor, link_mbps, ..settings() };
    let client = EntryStore::Simulated(store.client(client));
    let shared = Arc::new(NodeShared::simulated(settings, client, peers.clone()));
    shared.config.send_replace(entry().config.borrow().clone());
    shared.members.send_modify(|view| view.plan = Some(Arc::new(ShardPlan::undivided())));
    peers.add(&shared);
    shared
}

/// Adds an entry to the view of another.
fn note_registration(shared: &NodeShared, registered: &NodeShared, revision: u64) {
    let settings = &registered.settings;
    let record = EntryRecord {
        address: settings.peers,
        domain: settings.domain.clone(),
        start: registered.start,
        processor: settings.processor,
        link_mbps: Some(settings.link_mbps),
        revision,
    };
    shared.members.send_modify(|view| {
        view.best = view.best.best_of(record.capacity(view.best));
        view.entries.insert(settings.name.clone(), record);
    });
}

/// A weak leader with a strong entry that has registered since.
async fn weak_leader() -> (Arc<SimulatedStore>, ElectionLoop, Arc<NodeShared>) {
    let (store, peers) = (SimulatedStore::start(), SimulatedPeers::default());
    let weak = simulated(&store, &peers, 1, NARROW);
    let strong = simulated(&store, &peers, 2, STRONG);
    let mut election = ElectionLoop::new(weak.clone());
    election.renew().await;
    note_registration(&weak, &weak, 1);
    let view = weak.members.borrow().clone();
    election.campaign(&only_shard(), &view).await;
    assert!(election.candidacy(&only_shard()).leads());
    note_registration(&weak, &strong, 100);
    (store, election, strong)
}

async fn try_transfer(election: &mut ElectionLoop) {
    let view = election.shared.members.borrow().clone();
    election.pass_to_stronger(&only_shard(), &view).await;
}

// A transfer to an entry whose lease had ended would leave the shard without a leader, although this one can lead on.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_weak_leader_leads_on_if_the_strong_entry_has_lost_its_lease() {
    let (store, mut election, strong) = weak_leader().await;
    strong.handover_inbox.set_lease(Some(999));
    try_transfer(&mut election).await;
    expect_true!(election.candidacy(&only_shard()).leads());
    // The next try has to wait.
    let lease = store.client(2).create_lease(Duration::from_secs(60)).await.unwrap();
    strong.handover_inbox.set_lease(Some(lease));
    try_transfer(&mut election).await;
    expect_true!(election.candidacy(&only_shard()).leads());
    sleep(Duration::from_millis(300)).await;
    election.renew().await;
    try_transfer(&mut election).await;
    expect_false!(election.candidacy(&only_shard()).leads());
    expect_that!(strong.handover_inbox.take_terms().len(), eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_weak_leader_leads_on_while_the_strong_entry_cannot_lead() {
    let (_, mut election, strong) = weak_leader().await;
    strong.handover_inbox.set_lease(None);
    try_transfer(&mut election).await;
    expect_true!(election.candidacy(&only_shard()).leads());
}

// An unanswered transaction may have named another leader. A second one, with another successor, could not tell.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_term_in_doubt_is_not_passed_to_a_stronger_entry() {
    let (store, mut election, strong) = weak_leader().await;
    let lease = store.client(2).create_lease(Duration::from_secs(60)).await.unwrap();
    strong.handover_inbox.set_lease(Some(lease));
    let candidacy = election.candidacy(&only_shard());
    assert_that!(candidacy.transferable_epoch(Instant::now()), some(anything()));
    candidacy.mark_in_doubt(true);
    try_transfer(&mut election).await;
    expect_true!(election.candidacy(&only_shard()).leads());
    expect_that!(strong.handover_inbox.take_terms().len(), eq(0));
}
