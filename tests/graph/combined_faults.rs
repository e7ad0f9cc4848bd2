//! What days with two or three troubles at a time have shown.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::GraphState;

use crate::model_worker::ModelWorker;
use crate::sim_cluster::{SimCluster, seconds, step};

// A worker crashed behind a cut and started again; a heartbeat that its earlier life had sent reached the store
// after the registration of the new one. The leader took the new life for replaced, its runs for lost, and
// started them elsewhere in the same pass, half a millisecond before the earlier life's poll was refused.
#[gtest]
fn a_late_registration_of_an_earlier_life_ends_no_run_of_the_newer() {
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

// A registration that is newer still ends an earlier life at once: its worker is asked and says so.
#[gtest]
fn work_of_an_earlier_life_goes_on_as_soon_as_the_next_has_registered() {
    let mut cluster = SimCluster::new(42, 1);
    cluster.run(seconds(1));
    cluster.submit("later", "a", vec![step(2, 2, 1_500)]);
    cluster.run(Duration::from_millis(300));
    cluster.add_worker(0, 1);
    cluster.run(seconds(1));
    expect_that!(cluster.workers["w0-1"].runs.len(), eq(2));
}

// In an outage of the store a caller was told that a job had succeeded; then the worker that listed its end was
// lost, and the leader, before the store was back. The next leader knew of no end and ran the task again.
#[gtest]
fn a_job_that_was_shown_as_completed_is_not_run_again() {
    let mut cluster = SimCluster::new(43, 2);
    cluster.run(seconds(1));
    cluster.submit("now", "a", vec![step(1, 1, 500)]);
    cluster.run(Duration::from_millis(300));
    cluster.store.up = false;
    cluster.run(seconds(1));
    let shown = cluster.state("a");
    let held = |worker: &&mut ModelWorker| !worker.ends.is_empty();
    cluster.workers.values_mut().filter(held).for_each(|worker| worker.up = false);
    let epoch = cluster.store.epoch;
    cluster.leaders.remove(&epoch);
    cluster.run(seconds(2));
    cluster.store.up = true;
    cluster.elect();
    cluster.run(seconds(16));
    expect_that!(cluster.state("a"), some(eq(GraphState::Completed)));
    let again = cluster.started_runs > 1;
    expect_that!((shown, again), not(eq((Some(GraphState::Completed), true))));
}
