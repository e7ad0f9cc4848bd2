//! Workers whose room shrinks and grows again while they run.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::{GraphState, ResourceVector, StepSpec, WorkerId};

use crate::sim_cluster::{SimCluster, count_runs, seconds, step};

fn ids(cluster: &SimCluster) -> Vec<WorkerId> {
    cluster.workers.keys().cloned().collect()
}

// The checker of the world stops a run whose start brings a worker over its room; here the room of half of the workers
// falls to a quarter while they are full, and is whole again later.
#[gtest]
fn nothing_is_started_over_a_room_that_has_shrunk() {
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

// A worker that holds more than its shrunken room has to lose all that is over before an urgent task fits. With the
// missing room reckoned as none, one run was stopped for each urgent task, and the task still did not fit.
#[gtest]
fn room_for_an_urgent_task_on_a_shrunken_worker_is_made_whole_or_not_at_all() {
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

// A lasting task on a worker whose room has shrunk stays where it is: a stop would be an absence of our making.
#[gtest]
fn lasting_tasks_stay_on_a_worker_whose_room_has_shrunk() {
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
