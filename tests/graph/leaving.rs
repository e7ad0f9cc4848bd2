//! Workers that announce that they leave: no start is sent to them from then on.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::WorkerId;

use crate::sim_cluster::{SimCluster, count_runs, seconds, step};

/// Time after which a start without an answer is sent again or given up, and a stop is answered.
const RETRY_TIME: Duration = Duration::from_millis(700);

// A start that was not answered was sent again, up to four times, although its worker had announced
// in the meantime that it leaves.
#[gtest]
fn a_start_is_not_sent_again_to_a_worker_that_is_leaving() {
    let mut cluster = SimCluster::new(71, 1);
    cluster.run(seconds(1));
    cluster.planned_faults.starts.push_back(None);
    cluster.submit("now", "a", vec![step(1, 1, 60_000)]);
    cluster.run(Duration::from_millis(200));
    let leaving: WorkerId = "w0-0".into();
    cluster.announce_leaving(&leaving, seconds(5));
    cluster.run(RETRY_TIME);
    expect_that!(cluster.started_runs, eq(0));
    cluster.add_worker(1, 0);
    cluster.run(RETRY_TIME);
    expect_that!(count_runs(&cluster, "a"), eq(1));
    expect_true!(cluster.workers["w1-0"].was_assigned("a"));
}

// The same where the worker has left the store's list altogether.
#[gtest]
fn a_start_is_not_sent_again_to_a_worker_that_is_not_registered() {
    let mut cluster = SimCluster::new(72, 1);
    cluster.run(seconds(1));
    cluster.planned_faults.starts.push_back(None);
    cluster.submit("now", "a", vec![step(1, 1, 60_000)]);
    cluster.run(Duration::from_millis(200));
    let now = cluster.now;
    cluster.leader().unwrap().worker_unregistered(now, &"w0-0".into());
    cluster.run(RETRY_TIME);
    expect_that!(cluster.started_runs, eq(0));
}
