//! Work that stands still on its worker is begun anew elsewhere.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::{GraphState, WorkerId};

use crate::world::{World, seconds, step};

/// Has a worker hang from now on.
fn hang(world: &mut World, worker: &WorkerId) {
    world.workers.get_mut(worker).unwrap().hangs = Some(world.now);
}

// One worker of four hangs as quick jobs run. Their tasks waited there until it went on, 4 to 6 s later, and with
// objectives of 1.8 s the jobs were worth nothing by then: 4 of the 9 jobs that a day lost.
#[gtest]
fn quick_tasks_on_a_worker_that_hangs_are_begun_anew() {
    let mut world = World::new(51, 4);
    world.run(seconds(1));
    world.submit("now", "a", vec![step(24, 1, 700)]);
    world.run(Duration::from_millis(150));
    hang(&mut world, &"w0-0".into());
    // Time to see that nothing moves, to stop it, and to run it.
    world.run(Duration::from_millis(3_000));
    expect_that!(world.state("a"), some(eq(GraphState::Completed)));
}

// A stop throws away what a run has done: one that is nearly done waits for as long as that took.
#[gtest]
fn a_long_task_that_is_nearly_done_is_given_time() {
    let mut world = World::new(52, 2);
    world.run(seconds(1));
    world.submit("now", "a", vec![step(2, 6, 4_000)]);
    world.run(Duration::from_millis(3_600));
    let held = world.workers.iter().find(|(_, worker)| !worker.runs.is_empty());
    let worker = held.map(|(id, _)| id.clone()).unwrap();
    hang(&mut world, &worker);
    world.run(Duration::from_millis(2_000));
    expect_that!(world.workers[&worker].runs.is_empty(), eq(false));
    world.run(seconds(12));
    expect_that!(world.state("a"), some(eq(GraphState::Completed)));
}

// A healthy service loses nothing to it: runs whose declared time is far too short go on.
#[gtest]
fn runs_that_take_longer_than_declared_are_left_alone() {
    let mut world = World::new(53, 2);
    world.run(seconds(1));
    world.workers.values_mut().for_each(|worker| worker.slowness = 6);
    world.submit("later", "a", vec![step(4, 1, 3_000)]);
    world.run(seconds(20));
    expect_that!(world.state("a"), some(eq(GraphState::Completed)));
    expect_that!(world.begun_runs, eq(4));
}
