//! Jobs that move from the ledger of one shard to that of another.

use std::sync::Arc;

use googletest::prelude::*;
use tokio::time::Instant;

use crate::graph::{
    ArrivingJob, CommitGroup, DepartingJob, GraphJob, GraphProgress, MovedJob, ShardId,
};
use crate::node::entry_store::EntryStore;
use crate::node::input::GroupOutcome;
use crate::node::job_fixtures::record;
use crate::node::keys::epoch_key;
use crate::node::ledger::JobLedger;
use crate::node::shared::NodeShared;
use crate::node::simulated_store::SimulatedStore;
use crate::node::tests::settings;

const JOB: &str = "0123456789abcdef";

/// The ledger of the first leader of a shard.
async fn ledger(store: &Arc<SimulatedStore>, shard: &str) -> JobLedger {
    let client = EntryStore::Simulated(store.client(1));
    let shared = NodeShared::with_store(settings(), client);
    let shard = ShardId::from(shard);
    store.put(&epoch_key(&shard), "{}");
    let epoch = shared.store.get(&epoch_key(&shard)).await.unwrap().unwrap();
    JobLedger::new(&shared, shard, 1, epoch.revision)
}

async fn revision_of(store: &Arc<SimulatedStore>, key: &str) -> Option<u64> {
    let item = EntryStore::Simulated(store.client(1)).get(key).await.unwrap();
    item.map(|item| item.revision)
}

/// A group by which the job leaves for shard `b`, or another one.
fn departure(number: u64, shard: &str) -> CommitGroup {
    let job = GraphJob::new(record(JOB), Instant::now());
    let departing = DepartingJob::new(&job, shard.into(), 0, 0);
    CommitGroup { number, departing: vec![departing], ..CommitGroup::default() }
}

/// A group that takes the job from a notice.
fn arrival(number: u64, notice_revision: u64) -> CommitGroup {
    let moved = MovedJob { record: record(JOB), progress: GraphProgress::default() };
    let arriving = ArrivingJob { moved, notice_revision, submitted_at: Instant::now() };
    CommitGroup { number, arriving: vec![arriving], ..CommitGroup::default() }
}

// A notice that was read before the job had moved on brought the job back, so that two shards ran it; and a later notice
// about the same job was removed with it, so that no shard had it.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_job_is_taken_only_by_the_notice_that_the_store_has() {
    let store = SimulatedStore::start();
    let (first, second) = (ledger(&store, "a").await, ledger(&store, "b").await);
    let notice = format!("x/b/move/{JOB}");
    let record = format!("j/b/{JOB}");
    expect_that!(
        first.store(&departure(1, "b")).await,
        eq(&GroupOutcome::Stored { taken: vec![] })
    );
    let revision = revision_of(&store, &notice).await.unwrap();
    expect_that!(revision_of(&store, &record).await, none());
    expect_that!(
        second.store(&arrival(1, revision)).await,
        eq(&GroupOutcome::Stored { taken: vec![] })
    );
    expect_that!(revision_of(&store, &record).await, some(anything()));
    expect_that!(revision_of(&store, &notice).await, none());
    // The job goes back to `a` and comes again.
    second.store(&departure(2, "a")).await;
    let left = revision_of(&store, &record).await;
    let GroupOutcome::Stored { taken } = second.store(&arrival(3, revision)).await else {
        panic!("the group is not stored");
    };
    expect_that!(taken.len(), eq(1));
    expect_that!(revision_of(&store, &record).await, eq(left));
    first.store(&departure(2, "b")).await;
    let newer = revision_of(&store, &notice).await;
    second.store(&arrival(4, revision)).await;
    expect_that!(revision_of(&store, &notice).await, eq(newer));
    second.store(&arrival(5, newer.unwrap())).await;
    expect_that!(revision_of(&store, &notice).await, none());
}
