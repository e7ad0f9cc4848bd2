//! Links that lose or delay for seconds what a leader and its workers say to each other.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::{GraphState, WorkerId};

use crate::world::{World, seconds, step};

fn worker_of(world: &World, job: &str) -> WorkerId {
    let mut workers = world.workers.values();
    let holds = workers.find(|worker| worker.runs.keys().any(|task| &*task.job == job));
    holds.map(|worker| worker.listing.id.clone()).unwrap()
}

fn set_reached(world: &mut World, worker: &WorkerId, reached: bool) {
    world.workers.get_mut(worker).unwrap().reached = reached;
}

// Over a full link the answers of a sound worker came 11 s late. Its runs had ended meanwhile; they were given
// up with its lease and begun again elsewhere, and then their ends were acknowledged: run twice. A lease that
// ends while nothing runs leaves no trace on the worker, so such an end must never be acknowledged.
#[gtest]
fn an_end_that_is_heard_after_its_task_was_begun_again_is_never_acknowledged() {
    let mut world = World::new(51, 2);
    world.strict_notes = true;
    world.run(seconds(1));
    world.submit("now", "a", vec![step(1, 6, 400)]);
    world.run(Duration::from_millis(100));
    let silent = worker_of(&world, "a");
    set_reached(&mut world, &silent, false);
    world.run(seconds(6));
    expect_that!(world.begun_runs, eq(2));
    set_reached(&mut world, &silent, true);
    world.run(seconds(5));
    expect_that!(world.state("a"), some(eq(GraphState::Completed)));
    // The worker comes last for more work, whose ends could not be acknowledged either.
    world.submit("now", "b", vec![step(1, 6, 400)]);
    world.run(Duration::from_millis(200));
    expect_that!(worker_of(&world, "b"), not(eq(&silent)));
    world.run(seconds(3));
    expect_that!(world.state("b"), some(eq(GraphState::Completed)));
}

// The same where the leader that began the task again is lost before the first worker is heard: its successor
// finds the end of the first run on the list and no trace of the second.
#[gtest]
fn a_successor_acknowledges_no_end_whose_task_was_begun_again() {
    let mut world = World::new(52, 2);
    world.strict_notes = true;
    world.run(seconds(1));
    world.submit("now", "a", vec![step(1, 6, 400)]);
    world.run(Duration::from_millis(100));
    let silent = worker_of(&world, "a");
    set_reached(&mut world, &silent, false);
    world.run(Duration::from_millis(5_800));
    expect_that!(world.begun_runs, eq(2));
    let epoch = world.store.epoch;
    world.leaders.remove(&epoch);
    world.run(seconds(1));
    set_reached(&mut world, &silent, true);
    world.elect();
    world.run(seconds(5));
    expect_that!(world.state("a"), some(eq(GraphState::Completed)));
}
