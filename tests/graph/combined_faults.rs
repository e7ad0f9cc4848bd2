//! Cases found in long runs with two or three faults at a time.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::GraphState;

use crate::model_worker::ModelWorker;
use crate::sim_cluster::{SimCluster, seconds, step};

// A disconnected worker crashed and started again, and a heartbeat of its earlier instance reached
// the store after the registration of the new one. The leader treated the new instance as replaced
// and its runs as lost, and started them elsewhere in the same pass, half a millisecond before the
// earlier instance's poll was refused.
#[gtest]
fn a_late_registration_of_an_earlier_instance_ends_no_run_of_the_newer() {
    let mut cluster = SimCluster::new(41, 1);
    cluster.run(seconds(1));
    let earlier = cluster.workers["w0-0"].registration.clone();
    cluster.add_worker(0, 1);
    cluster.run(seconds(1));
    cluster.submit("later", "a", vec![step(2, 2, 1_500)]);
    cluster.run(Duration::from_millis(300));
    expect_that!(cluster.workers["w0-1"].runs.len(), eq(2));
    cluster.add_worker(1, 0);
    cluster.run(Duration::from_millis(300));
    let now = cluster.now;
    cluster.leader().unwrap().worker_registered(now, earlier);
    cluster.run(seconds(2));
    expect_that!(cluster.state("a"), some(eq(GraphState::Completed)));
    expect_that!(cluster.started_runs, eq(2));
}

// A newer registration still ends an earlier instance at once: the worker is polled, and its answer
// shows that the instance is gone.
#[gtest]
fn runs_of_an_earlier_instance_restart_once_the_next_has_registered() {
    let mut cluster = SimCluster::new(42, 1);
    cluster.run(seconds(1));
    cluster.submit("later", "a", vec![step(2, 2, 1_500)]);
    cluster.run(Duration::from_millis(300));
    cluster.add_worker(0, 1);
    cluster.run(seconds(1));
    expect_that!(cluster.workers["w0-1"].runs.len(), eq(2));
}

// In an outage of the store a job was reported as completed; then the worker that held its end and
// the leader were lost before the store was back. The next leader had no record of the end and ran
// the task again.
#[gtest]
fn a_job_that_was_reported_as_completed_is_not_run_again() {
    let mut cluster = SimCluster::new(43, 2);
    cluster.run(seconds(1));
    cluster.submit("now", "a", vec![step(1, 1, 500)]);
    cluster.run(Duration::from_millis(300));
    cluster.store.up = false;
    cluster.run(seconds(1));
    let shown = cluster.state("a");
    let has_ends = |worker: &&mut ModelWorker| !worker.ends.is_empty();
    cluster.workers.values_mut().filter(has_ends).for_each(|worker| worker.up = false);
    let epoch = cluster.store.epoch;
    cluster.leaders.remove(&epoch);
    cluster.run(seconds(2));
    cluster.store.up = true;
    cluster.elect();
    cluster.run(seconds(16));
    expect_that!(cluster.state("a"), some(eq(GraphState::Completed)));
    let ran_again = cluster.started_runs > 1;
    expect_that!((shown, ran_again), not(eq((Some(GraphState::Completed), true))));
}
