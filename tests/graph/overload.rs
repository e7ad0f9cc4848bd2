//! More urgent work than the workers can run, for a while.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::GraphState;

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
