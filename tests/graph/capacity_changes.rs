//! Workers whose capacity shrinks and grows again while they run.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::{GraphState, ResourceVector, StepSpec, WorkerId};

use crate::sim_cluster::{SimCluster, count_runs, seconds, step};

fn ids(cluster: &SimCluster) -> Vec<WorkerId> {
    cluster.workers.keys().cloned().collect()
}

// The simulated cluster fails the test if a start exceeds a worker's capacity. Here the capacity of
// half of the workers falls to a quarter while they are full, and is restored later.
#[gtest]
fn no_start_exceeds_a_reduced_capacity() {
    let mut cluster = SimCluster::new(51, 8);
    cluster.run(seconds(1));
    for job in 0..30 {
        cluster.submit("now", &format!("job{job}"), vec![step(4, 2, 1_500)]);
    }
    cluster.run(seconds(1));
    for id in ids(&cluster).iter().step_by(2) {
        cluster.resize(id, ResourceVector::new(2_000, 4_000, 0));
    }
    cluster.run(seconds(15));
    for id in ids(&cluster) {
        cluster.resize(&id, ResourceVector::new(8_000, 16_000, 0));
    }
    cluster.run(seconds(30));
    for job in 0..30 {
        expect_that!(cluster.state(&format!("job{job}")), some(eq(GraphState::Completed)));
    }
}

// A worker that holds more than its reduced capacity has to lose the whole excess before an urgent
// task fits. With the negative free capacity counted as zero, one run was stopped for each urgent
// task, and the task still did not fit.
#[gtest]
fn preemption_on_a_shrunken_worker_frees_enough_for_the_urgent_task_or_nothing() {
    let mut cluster = SimCluster::new(52, 1);
    cluster.run(seconds(1));
    for job in 0..4 {
        let long = StepSpec { checkpoints: true, ..step(1, 2, 20_000) };
        cluster.submit("later", &format!("long{job}"), vec![long]);
    }
    cluster.run(seconds(2));
    expect_that!(
        (0..4).map(|job| count_runs(&cluster, &format!("long{job}"))).sum::<usize>(),
        eq(4)
    );
    let id = ids(&cluster)[0].clone();
    cluster.resize(&id, ResourceVector::new(4_000, 16_000, 0));
    cluster.run(seconds(3));
    cluster.submit("now", "urgent", vec![step(1, 2, 2_000)]);
    cluster.run(seconds(2));
    expect_that!(count_runs(&cluster, "urgent"), eq(1));
    let left: usize = (0..4).map(|job| count_runs(&cluster, &format!("long{job}"))).sum();
    expect_that!(left, eq(1));
    cluster.run(seconds(3));
    expect_that!(cluster.state("urgent"), some(eq(GraphState::Completed)));
}

// A lasting task stays on a worker whose capacity has shrunk: stopping it would itself cause an
// interruption.
#[gtest]
fn lasting_tasks_stay_on_a_worker_whose_capacity_has_shrunk() {
    let mut cluster = SimCluster::new(53, 2);
    cluster.run(seconds(1));
    let lasting = StepSpec { lasting: true, ..step(4, 2, 600_000) };
    cluster.submit("now", "watch", vec![lasting]);
    cluster.run(seconds(2));
    let started = cluster.started_runs;
    for id in ids(&cluster) {
        cluster.resize(&id, ResourceVector::new(1_000, 16_000, 0));
    }
    cluster.run(Duration::from_secs(10));
    expect_that!(count_runs(&cluster, "watch"), eq(4));
    expect_that!(cluster.started_runs, eq(started));
}
