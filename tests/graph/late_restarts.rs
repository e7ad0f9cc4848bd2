//! Tasks that run again after their job has become late: they yield to other work, but not without a bound.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::{GraphState, StepSpec};

use crate::sim_cluster::{SimCluster, count_runs, seconds, step};

/// Interval of the jobs of a load for which five entries cannot make all calls for advice.
const LOAD_INTERVAL: Duration = Duration::from_millis(100);

/// A cluster in which jobs of two steps are late: the ends of their first tasks were lost with the workers and the
/// leader, while the store was down.
fn cluster_with_lost_ends(seed: u64, jobs: usize, millis: u64) -> SimCluster {
    let mut cluster = SimCluster::new(seed, 40);
    cluster.run(seconds(1));
    for number in 0..jobs {
        let second = StepSpec { after: vec![0], ..step(1, 1, millis) };
        cluster.submit("watched", &format!("old{number}"), vec![step(1, 1, millis), second]);
    }
    while cluster.started_runs < jobs as u64 {
        cluster.run(Duration::from_millis(5));
    }
    cluster.store.up = false;
    for worker in cluster.workers.values_mut() {
        worker.up = worker.runs.is_empty();
    }
    let epoch = cluster.store.epoch;
    cluster.leaders.remove(&epoch);
    cluster.run(seconds(7));
    cluster.store.up = true;
    cluster.elect();
    cluster
}

/// Submits more jobs than the entries can request advice for. The workers have capacity for all of them.
fn run_loaded(cluster: &mut SimCluster, time: Duration) {
    let end = cluster.now + time;
    while cluster.now < end {
        let id = format!("load{}", cluster.unix());
        cluster.submit("watched", &id, vec![step(1, 1, 10_000)]);
        cluster.run(LOAD_INTERVAL);
    }
}

// The calls for advice were all made for jobs that were in time or less late, which came faster than calls could be made:
// a task whose end was lost with its worker waited for 17 s, with most of the capacity free.
#[gtest]
fn a_task_of_a_late_job_is_started_again_while_advice_is_short() {
    let mut cluster = cluster_with_lost_ends(110, 1, 6_000);
    // Until the runs of the previous leader have ended.
    run_loaded(&mut cluster, seconds(13));
    run_loaded(&mut cluster, seconds(5));
    expect_that!(count_runs(&cluster, "old0"), eq(1));
}

// Jobs without value waited as long as the load lasted.
#[gtest]
fn a_job_without_value_is_completed_while_advice_is_short() {
    let mut cluster = cluster_with_lost_ends(111, 1, 500);
    run_loaded(&mut cluster, seconds(13));
    run_loaded(&mut cluster, seconds(12));
    expect_that!(cluster.state("old0"), some(eq(GraphState::Completed)));
}

#[gtest]
fn all_jobs_without_value_are_completed_while_advice_is_short() {
    let mut cluster = cluster_with_lost_ends(112, 6, 500);
    run_loaded(&mut cluster, seconds(13));
    run_loaded(&mut cluster, seconds(30));
    for number in 0..6 {
        let id = format!("old{number}");
        expect_that!(cluster.state(&id), some(eq(GraphState::Completed)), "{id}");
    }
}

// Late jobs get a bounded part of the calls.
#[gtest]
fn jobs_with_value_get_most_of_the_calls_for_advice() {
    let completed = |old_jobs: usize| {
        let mut cluster = cluster_with_lost_ends(113, old_jobs, 500);
        run_loaded(&mut cluster, seconds(13));
        run_loaded(&mut cluster, seconds(40));
        let leader = cluster.leader().unwrap();
        let loads = leader.jobs().iter().filter(|job| job.spec.id.starts_with("load"));
        loads.filter(|job| job.state() == GraphState::Completed).count()
    };
    let (alone, beside) = (completed(1), completed(24));
    expect_that!(beside * 100, ge(alone * 80), "{beside} of {alone}");
}
