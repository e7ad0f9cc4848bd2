//! What days with two or three troubles at a time have shown.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::GraphState;

use crate::model::ModelWorker;
use crate::world::{World, seconds, step};

// A worker crashed behind a cut and started again; a heartbeat that its earlier life had sent reached the store
// after the registration of the new one. The leader took the new life for replaced, its runs for lost, and
// started them elsewhere in the same pass, half a millisecond before the earlier life's poll was refused.
#[gtest]
fn a_late_registration_of_an_earlier_life_ends_no_run_of_the_newer() {
    let mut world = World::new(41, 1);
    world.run(seconds(1));
    let earlier = world.workers["w0-0"].registration.clone();
    world.add_worker(0, 1);
    world.run(seconds(1));
    world.submit("later", "a", vec![step(2, 2, 1_500)]);
    world.run(Duration::from_millis(300));
    expect_that!(world.workers["w0-1"].runs.len(), eq(2));
    world.add_worker(1, 0);
    world.run(Duration::from_millis(300));
    let now = world.now;
    world.leader().unwrap().worker_registered(now, earlier);
    world.run(seconds(2));
    expect_that!(world.state("a"), some(eq(GraphState::Completed)));
    expect_that!(world.begun_runs, eq(2));
}

// A registration that is newer still ends an earlier life at once: its worker is asked and says so.
#[gtest]
fn work_of_an_earlier_life_goes_on_as_soon_as_the_next_has_registered() {
    let mut world = World::new(42, 1);
    world.run(seconds(1));
    world.submit("later", "a", vec![step(2, 2, 1_500)]);
    world.run(Duration::from_millis(300));
    world.add_worker(0, 1);
    world.run(seconds(1));
    expect_that!(world.workers["w0-1"].runs.len(), eq(2));
}

// In an outage of the store a caller was told that a job had succeeded; then the worker that listed its end was
// lost, and the leader, before the store was back. The next leader knew of no end and ran the task again.
#[gtest]
fn a_job_that_was_shown_as_completed_is_not_run_again() {
    let mut world = World::new(43, 2);
    world.run(seconds(1));
    world.submit("now", "a", vec![step(1, 1, 500)]);
    world.run(Duration::from_millis(300));
    world.store.up = false;
    world.run(seconds(1));
    let shown = world.state("a");
    let held = |worker: &&mut ModelWorker| !worker.ends.is_empty();
    world.workers.values_mut().filter(held).for_each(|worker| worker.up = false);
    let epoch = world.store.epoch;
    world.leaders.remove(&epoch);
    world.run(seconds(2));
    world.store.up = true;
    world.elect();
    world.run(seconds(16));
    expect_that!(world.state("a"), some(eq(GraphState::Completed)));
    let again = world.begun_runs > 1;
    expect_that!((shown, again), not(eq((Some(GraphState::Completed), true))));
}
