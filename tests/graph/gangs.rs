//! Gangs beside small tasks in a full service.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::{GraphState, StepSpec};

use crate::world::{World, runs_of, seconds, step};

/// Small tasks for each room that comes free, before the gang and after it.
fn submit_small(world: &mut World, number: &mut u32) {
    for _ in 0..3 {
        world.submit("later", &format!("small{number}"), vec![step(1, 2, 900)]);
        *number += 1;
    }
}

// Tasks that take a whole worker waited until the load was over, 60 s: each room that came free went to a small task.
#[gtest]
fn a_gang_of_whole_workers_gets_room_beside_small_tasks() {
    let mut world = World::new(71, 4);
    world.run(seconds(1));
    let mut number = 0;
    for _ in 0..16 {
        submit_small(&mut world, &mut number);
        world.run(Duration::from_millis(150));
    }
    let gang = StepSpec { gang: true, ..step(2, 8, 1_000) };
    world.submit("now", "gang", vec![gang]);
    // The longest small task, three rooms of which a worker has to give up, and the gang's own second.
    for _ in 0..27 {
        submit_small(&mut world, &mut number);
        world.run(Duration::from_millis(150));
    }
    expect_that!(world.state("gang"), some(eq(GraphState::Completed)));
}

// Room that is held for a gang is used until it is due by tasks that end before.
#[gtest]
fn short_tasks_fill_in_before_a_gang_that_waits_for_a_long_one() {
    let mut world = World::new(72, 2);
    world.run(seconds(1));
    world.submit("now", "long", vec![step(1, 6, 3_000)]);
    world.run(Duration::from_millis(200));
    world.submit("now", "gang", vec![StepSpec { gang: true, ..step(2, 8, 1_000) }]);
    world.run(Duration::from_millis(200));
    world.submit("later", "short", vec![step(3, 2, 500)]);
    world.run(Duration::from_millis(100));
    expect_that!(runs_of(&world, "short"), eq(3));
    // One that would still run when the gang's room is due waits.
    world.submit("later", "slow", vec![step(1, 8, 9_000)]);
    world.run(seconds(2));
    expect_that!(runs_of(&world, "slow"), eq(0));
    world.run(seconds(8));
    expect_that!(world.state("gang"), some(eq(GraphState::Completed)));
}
