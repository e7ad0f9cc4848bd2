//! More urgent work than the workers hold, for a while.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::GraphState;

use crate::sim_cluster::{SimCluster, seconds, step};

/// Length of a quick task; with the queue's rule its job's objective is 1.15 s.
const TASK_TIME: u64 = 600;
/// Time from hand-in after which a quick job is worth nothing: three times its objective.
const WORTHLESS_AFTER: Duration = Duration::from_millis(3_450);

// A leader that takes over finds a backlog, and new jobs go on to arrive at nine tenths of what the workers do. All that
// were late were served after all that were not, so that the backlog waited until the load fell: of 67 such jobs of a
// day 26 were done too late to be worth anything.
#[gtest]
fn a_backlog_is_served_before_it_is_worth_nothing() {
    let mut cluster = SimCluster::new(61, 4);
    cluster.run(seconds(1));
    let epoch = cluster.store.epoch;
    cluster.leaders.remove(&epoch);
    cluster.run(Duration::from_millis(500));
    // What was stored before the leader was lost, seen by the next when it is late.
    cluster.elect();
    let backlog: Vec<String> = (0..8).map(|number| format!("old{number}")).collect();
    for job in &backlog {
        cluster.submit("now", job, vec![step(6, 1, TASK_TIME)]);
    }
    cluster.run(Duration::from_millis(60));
    let busy: Vec<String> = (0..24).map(|number| format!("new{number}")).collect();
    for job in &busy {
        cluster.submit("now", job, vec![step(6, 1, TASK_TIME)]);
        cluster.run(Duration::from_millis(130));
    }
    let passed = Duration::from_millis(130) * 24;
    cluster.run(WORTHLESS_AFTER.saturating_sub(passed + Duration::from_millis(60)));
    for job in &backlog {
        expect_that!(cluster.state(job), some(eq(GraphState::Completed)), "{job}");
    }
}
