//! The order of commits while the store takes less than there is to store.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::GraphState;

use crate::sim_cluster::{SimCluster, step};

/// Submits forty jobs a second for four seconds, while a commit group takes 240 ms; the six tasks
/// of each job end one after another.
fn submit_load(cluster: &mut SimCluster) {
    for number in 0..160 {
        let tasks = (1..=6).map(|task| step(1, 1, 120 * task)).collect();
        cluster.submit("now", &format!("job{number:03}"), tasks);
        cluster.run(Duration::from_millis(25));
    }
}

fn slow_store_cluster() -> SimCluster {
    let mut cluster = SimCluster::new(61, 60);
    cluster.run(Duration::from_secs(1));
    cluster.store.commit_delay = Duration::from_millis(240);
    cluster
}

// A commit group holds 28 changes. They were taken in the order of the jobs' names, and each end of
// a task is a change of its job. With more ends than a slow store takes, jobs with late names
// waited for as long as the load lasted, also to be reported as completed. Now verdicts go first,
// then the changes that have waited longest.
#[gtest]
fn a_verdict_does_not_wait_for_progress_of_other_jobs() {
    let mut cluster = slow_store_cluster();
    submit_load(&mut cluster);
    cluster.submit("now", "late", vec![step(1, 1, 100)]);
    for number in 160..240 {
        let tasks = (1..=6).map(|task| step(1, 1, 120 * task)).collect();
        cluster.submit("now", &format!("job{number:03}"), tasks);
        cluster.run(Duration::from_millis(25));
    }
    expect_that!(cluster.state("late"), some(eq(GraphState::Completed)));
}

// New jobs filled each commit group while more of them came than a slow store takes: of 75 jobs of
// 100 ms in three seconds none was reported as completed before the load ended.
#[gtest]
fn verdicts_are_stored_beside_new_jobs() {
    let mut cluster = SimCluster::sharded(62, 60, 2);
    let home = cluster.plan.shards()[0].clone();
    cluster.run(Duration::from_secs(1));
    cluster.store.commit_delay = Duration::from_millis(370);
    for number in 0..75 {
        cluster.submit_in(&home, "now", &format!("job{number:03}"), vec![step(1, 1, 100)]);
        cluster.run(Duration::from_millis(40));
    }
    let jobs = (0..75).map(|number| format!("job{number:03}"));
    let shown = jobs.filter(|job| cluster.state_in(job) == Some(GraphState::Completed)).count();
    expect_that!(shown, ge(15));
}
