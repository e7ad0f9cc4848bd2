//! Progress of jobs that is as large as the store takes, or larger.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::{GraphAnswer, GraphProgress, GraphState, RepeatRule, StepKey, TaskKey};

use crate::sim_cluster::{SimCluster, seconds, step};

/// Size of the largest value of the platform's store, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Number of tasks of the widest job that is accepted: ten steps of the largest size.
const MAX_TASKS: u32 = 100_000;

/// Guards against a takeover that writes a floor for each task of all occurrences of a job, however far away they are.
#[gtest]
fn a_takeover_invalidates_no_runs_of_occurrences_that_are_not_due() {
    let mut cluster = SimCluster::new(81, 2);
    cluster.run(seconds(1));
    let interval = Duration::from_secs(3_600);
    let repeat = RepeatRule { count: 50, first: cluster.unix() + 3_600_000, interval };
    cluster.submit_repeated("now", "hourly", vec![step(10, 1, 200)], Some(repeat));
    cluster.submit("now", "b", vec![step(4, 1, 20_000)]);
    cluster.run(seconds(1));
    cluster.workers.values_mut().next().unwrap().up = false;
    let epoch = cluster.store.epoch;
    cluster.leaders.remove(&epoch);
    cluster.elect();
    cluster.run(seconds(15));
    expect_that!(cluster.store.jobs["hourly"].1.floors.len(), eq(0));
    expect_that!(cluster.store.jobs["b"].1.floors.len(), gt(0));
}

/// Guards against floors of a wide job that exceed a value of the store.
#[gtest]
fn floors_of_the_widest_job_fit_into_a_value_of_the_store() {
    let task = |number: u32| {
        let step = StepKey { occurrence: 0, step: number / 10_000 };
        TaskKey { step, index: number % 10_000 }
    };
    let mut progress = GraphProgress::default();
    for number in (0..MAX_TASKS).filter(|number| number % 500 != 0) {
        progress.raise_floor(task(number), 131_073);
    }
    let stored = serde_json::to_vec(&progress).unwrap();
    expect_that!(stored.len(), lt(MAX_VALUE_BYTES));
    let restored: GraphProgress = serde_json::from_slice(&stored).unwrap();
    expect_that!(restored == progress, eq(true));
}

/// Guards against a job whose progress the store rejects and that keeps everything else from being stored.
#[gtest]
fn a_job_whose_progress_is_too_large_for_the_store_holds_up_no_other() {
    let mut cluster = SimCluster::new(82, 4);
    let epoch = cluster.store.epoch;
    cluster.leaders.remove(&epoch);
    cluster.max_value_bytes = 1_000;
    cluster.elect();
    cluster.run(seconds(7));
    cluster.submit("later", "a", vec![step(800, 1, 500)]);
    cluster.run(seconds(8));
    let call = cluster.submit("later", "b", vec![step(4, 1, 200)]);
    cluster.run(seconds(2));
    expect_that!(cluster.answers.get(&call), some(eq(&GraphAnswer::Accepted)));
    expect_that!(cluster.state("b"), some(eq(GraphState::Completed)));
    expect_that!(cluster.state("a"), some(eq(GraphState::Running)));
    // The progress of a completed job is small.
    cluster.run(seconds(20));
    expect_that!(cluster.state("a"), some(eq(GraphState::Completed)));
    expect_that!(cluster.started_runs, eq(804));
}
