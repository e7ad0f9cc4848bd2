//! Links that lose or delay for seconds what a leader and its workers say to each other.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::{AnswerTime, GraphState, SendWindow, WorkerId};
use tokio::time::Instant;

use crate::world::{World, seconds, step};

fn worker_of(world: &World, job: &str) -> WorkerId {
    let mut workers = world.workers.values();
    let holds = workers.find(|worker| worker.runs.keys().any(|task| &*task.job == job));
    holds.map(|worker| worker.registration.id.clone()).unwrap()
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

// A link that is full: each answer takes 400 ms. A wait of 150 ms gave all of them up for good.
#[gtest]
fn the_wait_for_an_answer_follows_a_link_that_is_slow() {
    let (mut times, mut now) = (AnswerTime::default(), Instant::now());
    for _ in 0..200 {
        times.answered(Duration::from_millis(3));
    }
    expect_that!(times.wait(), eq(Duration::from_millis(150)));
    let took = Duration::from_millis(400);
    let mut given_up = 0;
    for _ in 0..100 {
        now += took;
        match times.wait() > took {
            true => times.answered(took),
            false => {
                given_up += 1;
                times.unanswered(now);
            }
        }
    }
    expect_that!(given_up, le(4));
    expect_that!(times.wait(), le(Duration::from_millis(1_500)));
    // Many that were sent together say no more than one.
    let before = times.wait();
    for _ in 0..50 {
        times.unanswered(now);
    }
    expect_that!(times.wait(), le(before * 2));
    // It is quick again once the link is.
    for _ in 0..60 {
        times.answered(Duration::from_millis(3));
    }
    expect_that!(times.wait(), le(Duration::from_millis(200)));
}

// A link that carries 100 starts a second: what is sent beyond that waits in it, before renewals and stops.
#[gtest]
fn the_window_follows_what_a_link_carries() {
    let (mut window, mut now) = (SendWindow::default(), Instant::now());
    for _ in 0..2_000 {
        let queue = Duration::from_millis(10) * u32::try_from(window.limit()).unwrap();
        now += Duration::from_millis(10);
        window.answered(now, queue);
    }
    expect_that!(window.limit(), all![ge(8), le(32)]);
    // Five thousand answers in time open it for the widest steps.
    for _ in 0..5_000 {
        now += Duration::from_millis(3);
        window.answered(now, Duration::from_millis(4));
    }
    expect_that!(window.limit(), ge(256));
    window.unanswered(now);
    let left = window.limit();
    window.unanswered(now);
    expect_that!(window.limit(), eq(left));
}

// A leader that begins what was never heard of again stores from which run on a task counts. Its successor took
// that for a task that had been started: of eight jobs that waited two were counted.
#[gtest]
fn a_job_that_waits_is_counted_after_two_takeovers() {
    let mut world = World::new(53, 1);
    world.run(seconds(1));
    world.submit("later", "a", vec![step(1, 8, 60_000)]);
    world.run(seconds(1));
    world.submit("later", "b", vec![step(1, 8, 500)]);
    world.run(seconds(1));
    let worker = worker_of(&world, "a");
    set_reached(&mut world, &worker, false);
    for _ in 0..2 {
        let epoch = world.store.epoch;
        world.leaders.remove(&epoch);
        world.run(seconds(1));
        world.elect();
        world.run(seconds(20));
    }
    expect_that!(world.state("b"), some(eq(GraphState::Queued)));
    let pending = world.leader().map(|leader| leader.jobs().pending("later"));
    expect_that!(pending, some(ge(1)));
}

// Workers leave one order in seventeen unanswered, polls among them. A lost poll was noticed after 0.75 s, and quick jobs
// with an end under it were late: 94 of 201 in a burst.
#[gtest]
fn an_end_is_seen_within_half_a_second_where_polls_are_lost_often() {
    let mut world = World::new(18, 4);
    world.run(seconds(1));
    // One on each worker, so that all are looked at often.
    world.submit("later", "long", vec![step(4, 5, 60_000)]);
    world.run(Duration::from_millis(500));
    world.lost_polls = 4;
    world.run(Duration::from_millis(1_500));
    world.submit("now", "a", vec![step(1, 1, 400)]);
    world.run(Duration::from_millis(300));
    world.lost_polls = 4;
    world.run(Duration::from_millis(600));
    expect_that!(world.lost_polls, eq(0));
    expect_that!(world.state("a"), some(eq(GraphState::Completed)));
}
