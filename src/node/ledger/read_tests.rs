//! Reads of a large ledger over slow links and through outages of the store.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use serde_json::json;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::graph::{CommitGroup, ShardId};
use crate::node::entry_store::{EntryStore, StoreCallKind};
use crate::node::input::{GroupOutcome, LeaderInput};
use crate::node::job_fixtures::{JOBS, job_bytes, put_jobs};
use crate::node::leader::LeaderLoop;
use crate::node::ledger::JobLedger;
use crate::node::records::LeaderTerm;
use crate::node::shared::NodeShared;
use crate::node::simulated_store::{PAGE_BYTES, SimulatedStore, StoreAccess};
use crate::node::tests::settings;
use crate::ring::{RingSender, ring};

/// Number of the client of the store.
const CLIENT: usize = 1;
fn only_shard() -> ShardId {
    ShardId::from("")
}

/// A store with many jobs, and an entry that reads it over a link of `mbps`.
fn shared_with_jobs(mbps: f64) -> (Arc<SimulatedStore>, Arc<NodeShared>) {
    let store = SimulatedStore::start();
    put_jobs(&store);
    store.set_link(CLIENT, mbps);
    let client = EntryStore::Simulated(store.client(CLIENT));
    (store, Arc::new(NodeShared::with_store(settings(), client)))
}

/// Calls for parts of the ledger that were answered in time or not, without those that the store failed.
fn reads(store: &SimulatedStore) -> u64 {
    let count = store.call_count();
    count.of(StoreCallKind::Read) - count.failed
}

/// Calls that read the ledger once: the pages of records, and one each for progress, workers and the last group.
fn fewest_reads() -> u64 {
    let jobs_of_page = PAGE_BYTES / job_bytes();
    (JOBS.div_ceil(jobs_of_page) + 3) as u64
}

// An entry on a link of 10 Mbit/s had not read 1,615 jobs after 17 s: reads timed out after 2.5, 5 and 10 s, and each
// began again with the first page.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_page_that_times_out_is_asked_for_again_without_those_before_it() {
    // A page takes 1.1 s, 3.6 s or 7.1 s: within the first, the second and the third timeout.
    for (mbps, repeats) in [(10.0, 0), (3.0, 1), (1.5, 2)] {
        let (store, shared) = shared_with_jobs(mbps);
        let state = JobLedger::new(&shared, only_shard(), 1, 1).load().await;
        expect_that!(state.jobs.len(), eq(JOBS));
        expect_that!(reads(&store), eq(fewest_reads() + repeats), "{mbps} Mbit/s");
    }
}

// While the store does not answer, the page in flight is asked for again and again, and no other.
#[gtest]
#[tokio::test(start_paused = true)]
async fn an_outage_of_the_store_costs_no_page_that_was_read() {
    for access in [StoreAccess::Refused, StoreAccess::Silent] {
        let (store, shared) = shared_with_jobs(10.0);
        let ledger = JobLedger::new(&shared, only_shard(), 1, 1);
        let outage = async {
            sleep(Duration::from_millis(3_500)).await;
            store.set_access(CLIENT, access);
            sleep(Duration::from_secs(6)).await;
            store.set_access(CLIENT, StoreAccess::Open);
        };
        let (state, ()) = tokio::join!(ledger.load(), outage);
        expect_that!(state.jobs.len(), eq(JOBS));
        assert_that!(store.call_count().failed, ge(1));
        expect_that!(reads(&store), eq(fewest_reads()), "{access:?}");
    }
}

/// A leader that reads its ledger over a link of 10 Mbit/s, which takes 8 s.
async fn reading_leader() -> (Arc<NodeShared>, RingSender<LeaderInput>, JoinHandle<()>) {
    let (_, shared) = shared_with_jobs(10.0);
    let (sender, receiver) = ring("leader", 64);
    let term =
        LeaderTerm { epoch: 3, epoch_revision: 7, predecessor: None, earlier: BTreeSet::new() };
    let leader = LeaderLoop::new(shared.clone(), only_shard(), term, sender.clone(), receiver);
    let task = tokio::spawn(leader.run());
    sleep(Duration::from_secs(2)).await;
    (shared, sender, task)
}

/// Whether a task ends before the leader has asked for another page.
async fn ends_at_once(task: JoinHandle<()>) -> bool {
    timeout(Duration::from_millis(20), task).await.is_ok()
}

// A leader that was replaced or stepped down finished its read first, and the loop that renews the entry's lease waited
// for it.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_leader_that_still_reads_resigns_at_once() {
    let (_, sender, task) = reading_leader().await;
    sender.send(LeaderInput::Resign).await;
    expect_true!(ends_at_once(task).await);
}

// Pages that were read under an earlier epoch of another leader may lack what that leader stored since.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_read_ends_when_another_entry_is_elected() {
    let (shared, _, task) = reading_leader().await;
    shared.members.send_modify(|view| {
        let holder = Some(("entry-2".into(), shared.start + 1));
        view.shards.entry(only_shard()).or_default().apply_epoch(4, holder, 9);
    });
    expect_true!(ends_at_once(task).await);
}

// No other entry can have written in between, so the pages that were read stay valid.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_read_goes_on_under_a_later_epoch_of_the_same_leader() {
    let (shared, sender, task) = reading_leader().await;
    shared.members.send_modify(|view| {
        let holder = Some((shared.settings.name.clone(), shared.start));
        view.shards.entry(only_shard()).or_default().apply_epoch(4, holder, 9);
    });
    sender.send(LeaderInput::Epoch(4, 9)).await;
    expect_false!(ends_at_once(task).await);
}

// The store rejects a value of more than 1 MiB. That was taken for an unknown outcome, so the group was sent again without
// end and nothing else was stored.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_group_that_the_store_rejects_is_given_back_at_once() {
    let store = SimulatedStore::start();
    let client = EntryStore::Simulated(store.client(CLIENT));
    let shared = NodeShared::with_store(settings(), client);
    let ledger = JobLedger::new(&shared, only_shard(), 0, 0);
    let saved = (0..1_200).map(|number| json!([0, 0, number, "x".repeat(1_000)]));
    let progress = json!({"saved": saved.collect::<Vec<_>>()});
    let progress = serde_json::from_value(progress).unwrap();
    let group = CommitGroup { progress: vec![("a".into(), progress)], ..CommitGroup::default() };
    let stored = timeout(Duration::from_secs(1), ledger.store(&group)).await;
    expect_that!(stored, ok(eq(&GroupOutcome::Refused)));
}
