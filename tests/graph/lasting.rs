//! Lasting tasks that have lost their worker or wait for one that placement advice allows.

use std::collections::BTreeSet;
use std::time::Duration;

use googletest::prelude::*;
use kelplink::{StepSpec, WorkerId};

use crate::model_worker::ModelWorker;
use crate::sim_cluster::{SimCluster, count_runs, seconds, step};

/// A lasting step of tasks of one core, one a worker.
fn one_a_worker(count: u32) -> StepSpec {
    StepSpec { lasting: true, max_per_worker: Some(1), ..step(count, 1, 600_000) }
}

/// Lets advice allow one worker in three, for all steps.
fn allow_a_third(cluster: &mut SimCluster) {
    let workers: Vec<WorkerId> = cluster.workers.keys().cloned().collect();
    let allowed: BTreeSet<WorkerId> = workers.into_iter().step_by(3).collect();
    cluster.allowed = Some(allowed);
}

// A step of forty tasks, one a worker, was allowed 16 workers by the first answer of the advisor and 12 by the
// second; 28 tasks ran and twelve waited for ever. The room on those 28 workers was reckoned without the limit,
// so that while the tickets of one set were renewed those of the other seemed room enough, and no other worker
// was asked about. Logs of a deployment show the same: "advice asked" every 0.7 to 0.8 s about two sets in
// turn, with 11 and 27 workers, 14 and 21 in another run, and no start, with most of the workers' room free.
#[gtest]
fn a_step_at_its_limit_asks_about_workers_beyond_those_first_allowed() {
    let mut cluster = SimCluster::new(31, 150);
    allow_a_third(&mut cluster);
    cluster.run(seconds(1));
    cluster.submit("watched", "a", vec![one_a_worker(40)]);
    cluster.run(seconds(10));
    expect_that!(count_runs(&cluster, "a"), eq(40));
}

// With as many tasks at work as one call may name, the workers that hold them filled every call, and a task
// whose worker was lost never came to one that nobody had asked about.
#[gtest]
fn a_wide_step_at_its_limit_replaces_tasks_that_lost_their_workers() {
    let mut cluster = SimCluster::new(32, 180);
    allow_a_third(&mut cluster);
    cluster.run(seconds(1));
    cluster.submit("watched", "a", vec![one_a_worker(52)]);
    cluster.run(seconds(15));
    expect_that!(count_runs(&cluster, "a"), eq(52));
    let used = |worker: &&mut ModelWorker| !worker.runs.is_empty();
    cluster.workers.values_mut().filter(used).take(3).for_each(|worker| worker.up = false);
    cluster.run(seconds(9));
    expect_that!(count_runs(&cluster, "a"), eq(52));
}

// Two lasting tasks of two jobs did not run for 25 s after their worker was gone for good, with room for them.
// Each look at the worker counted as an extension of its lease, answered or not, so the lease never ended and
// the leader held both tasks there until its own process was stopped; the next leader started them 9 ms apart,
// one lease after it had taken over.
#[gtest]
fn lasting_tasks_of_a_worker_that_is_gone_start_elsewhere_under_the_same_leader() {
    let mut cluster = SimCluster::new(33, 8);
    cluster.run(seconds(1));
    let lasting = || vec![StepSpec { lasting: true, ..step(4, 2, 600_000) }];
    cluster.submit("now", "a", lasting());
    cluster.submit("now", "b", lasting());
    cluster.run(seconds(1));
    let lost = cluster.workers.values_mut().find(|worker| worker.runs.len() > 1).unwrap();
    lost.up = false;
    let id = lost.id().clone();
    // Its registration ends some heartbeats later.
    cluster.run(seconds(4));
    let now = cluster.now;
    cluster.leader().unwrap().worker_unregistered(now, &id);
    cluster.run(seconds(2));
    expect_that!(count_runs(&cluster, "a") + count_runs(&cluster, "b"), eq(8));
    expect_that!(cluster.store.workers.iter().any(|used| used.id == id), eq(false));
}

// The worker that is gone is not among those that the store names as in use any more, so a leader that takes
// over has nothing to wait for there: a job from before it goes on as soon as the others are heard. Named still,
// the worker would hold all such jobs until nothing from before can run any more, 12 s.
#[gtest]
fn a_takeover_does_not_wait_for_a_worker_that_went_before_it() {
    let mut cluster = SimCluster::new(34, 8);
    cluster.run(seconds(1));
    cluster.submit("now", "a", vec![StepSpec { lasting: true, ..step(4, 2, 600_000) }]);
    cluster.run(seconds(1));
    let lost = cluster.workers.values_mut().find(|worker| !worker.runs.is_empty()).unwrap();
    lost.up = false;
    let id = lost.id().clone();
    let now = cluster.now;
    cluster.leader().unwrap().worker_unregistered(now, &id);
    cluster.run(seconds(6));
    expect_that!(count_runs(&cluster, "a"), eq(4));
    let chain = vec![step(1, 1, 500), StepSpec { after: vec![0], ..step(1, 1, 300) }];
    cluster.submit("now", "b", chain);
    cluster.run(Duration::from_millis(200));
    let epoch = cluster.store.epoch;
    cluster.leaders.remove(&epoch);
    cluster.elect();
    cluster.run(seconds(2));
    expect_that!(cluster.state("b"), some(eq(kelplink::GraphState::Completed)));
    expect_that!(count_runs(&cluster, "a"), eq(4));
}
