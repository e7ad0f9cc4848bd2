//! Lasting tasks that have lost their worker or wait for one that placement advice allows.

use std::collections::BTreeSet;
use std::time::Duration;

use googletest::prelude::*;
use kelplink::{StepSpec, WorkerId};

use crate::model::ModelWorker;
use crate::world::{World, step};

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// A lasting step of tasks of one core, one a worker.
fn one_a_worker(count: u32) -> StepSpec {
    StepSpec { lasting: true, max_per_worker: Some(1), ..step(count, 1, 600_000) }
}

fn runs_of(world: &World, job: &str) -> usize {
    let up = world.workers.values().filter(|worker| worker.up);
    let tasks = up.flat_map(|worker: &ModelWorker| worker.runs.keys());
    tasks.filter(|task| &*task.job == job).count()
}

/// Lets advice allow one worker in three, for all steps.
fn allow_a_third(world: &mut World) {
    let workers: Vec<WorkerId> = world.workers.keys().cloned().collect();
    let allowed: BTreeSet<WorkerId> = workers.into_iter().step_by(3).collect();
    world.allowed = Some(allowed);
}

// A step of forty tasks, one a worker, was allowed 16 workers by the first answer of the advisor and 12 by the
// second; 28 tasks ran and twelve waited for ever. The room on those 28 workers was reckoned without the limit,
// so that while the tickets of one set were renewed those of the other seemed room enough, and no other worker
// was asked about. Logs of a deployment show the same: "advice asked" every 0.7 to 0.8 s about two sets in
// turn, with 11 and 27 workers, 14 and 21 in another run, and no start, with most of the workers' room free.
#[gtest]
fn a_step_at_its_limit_asks_about_workers_beyond_those_first_allowed() {
    let mut world = World::new(31, 150);
    allow_a_third(&mut world);
    world.run(seconds(1));
    world.submit("watched", "a", vec![one_a_worker(40)]);
    world.run(seconds(10));
    expect_that!(runs_of(&world, "a"), eq(40));
}

// With as many tasks at work as one call may name, the workers that hold them filled every call, and a task
// whose worker was lost never came to one that nobody had asked about.
#[gtest]
fn a_wide_step_at_its_limit_replaces_tasks_that_lost_their_workers() {
    let mut world = World::new(32, 180);
    allow_a_third(&mut world);
    world.run(seconds(1));
    world.submit("watched", "a", vec![one_a_worker(52)]);
    world.run(seconds(15));
    expect_that!(runs_of(&world, "a"), eq(52));
    let used = |worker: &&mut ModelWorker| !worker.runs.is_empty();
    world.workers.values_mut().filter(used).take(3).for_each(|worker| worker.up = false);
    world.run(seconds(9));
    expect_that!(runs_of(&world, "a"), eq(52));
}
