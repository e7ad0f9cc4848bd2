//! More urgent work than the workers can run, for a while.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::{GraphState, StepSpec};

use crate::sim_cluster::{SimCluster, seconds, step};

/// Run time of a short task in milliseconds; with the queue's rule its job's target is 1.15 s.
const TASK_TIME: u64 = 600;
/// Time from submission after which a short job has no value left: three times its target.
const WORTHLESS_AFTER: Duration = Duration::from_millis(3_450);

// A leader that takes over finds a backlog, while new jobs arrive at nine tenths of what the
// workers can run. All late jobs were served after all others, so that the backlog waited until the
// load fell: of 67 such jobs in a long run 26 ended too late to have any value.
#[gtest]
fn a_backlog_is_served_before_it_loses_its_value() {
    let mut cluster = SimCluster::new(61, 4);
    cluster.run(seconds(1));
    let epoch = cluster.store.epoch;
    cluster.leaders.remove(&epoch);
    cluster.run(Duration::from_millis(500));
    // These jobs represent a backlog that was stored before the leader was lost and is late when
    // the next one is elected.
    cluster.elect();
    let backlog: Vec<String> = (0..8).map(|number| format!("old{number}")).collect();
    for job in &backlog {
        cluster.submit("now", job, vec![step(6, 1, TASK_TIME)]);
    }
    cluster.run(Duration::from_millis(60));
    let new_jobs: Vec<String> = (0..24).map(|number| format!("new{number}")).collect();
    for job in &new_jobs {
        cluster.submit("now", job, vec![step(6, 1, TASK_TIME)]);
        cluster.run(Duration::from_millis(130));
    }
    let passed = Duration::from_millis(130) * 24;
    cluster.run(WORTHLESS_AFTER.saturating_sub(passed + Duration::from_millis(60)));
    for job in &backlog {
        expect_that!(cluster.state(job), some(eq(GraphState::Completed)), "{job}");
    }
}

// While more jobs changed than a group of the store holds, no end was acknowledged, and a worker is polled again only
// after that or after a pause. Later ends on the same worker were seen a quarter of a second late on the mean, and each
// step of an urgent job took that much longer.
#[gtest]
fn ends_are_seen_soon_while_many_jobs_change() {
    let chain = |length: u32, millis| -> Vec<StepSpec> {
        let after = |index: u32| index.checked_sub(1).into_iter().collect();
        (0..length).map(|index| StepSpec { after: after(index), ..step(1, 1, millis) }).collect()
    };
    let mut cluster = SimCluster::new(62, 8);
    cluster.run(seconds(1));
    // More jobs than a group holds, each of which changes several times a second.
    for number in 0..56 {
        cluster.submit("later", &format!("bulk{number}"), chain(200, 60));
    }
    cluster.run(seconds(2));
    let started = cluster.now;
    cluster.submit("now", "urgent", chain(6, 100));
    while cluster.state("urgent") != Some(GraphState::Completed) {
        cluster.run(Duration::from_millis(10));
    }
    let took = cluster.now - started;
    expect_that!(cluster.state("bulk0"), some(eq(GraphState::Running)));
    // 0.6 s of run time, and 100 ms for each step to be started and to be seen as ended.
    expect_that!(took, le(Duration::from_millis(1_200)), "took {took:?}");
}
