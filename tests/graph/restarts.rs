//! Workers that start again under their ids: their ends, clocks and leases begin anew.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::{GraphState, InstanceId, ResourceVector, StepSpec, WorkerId};

use crate::world::{World, runs_of, seconds, step};

/// How long a worker is away.
const AWAY: Duration = Duration::from_millis(500);

fn world(seed: u64, workers: u32) -> World {
    let mut world = World::new(seed, workers);
    world.run(seconds(1));
    world
}

fn restart(world: &mut World, worker: &str) {
    world.crash_and_restart(&worker.into(), AWAY);
}

fn instance_of(world: &World, worker: &WorkerId) -> InstanceId {
    InstanceId::new(worker.clone(), world.workers[worker].registration.instance_start)
}

fn lasting(count: u32) -> StepSpec {
    StepSpec { lasting: true, ..step(count, 1, 600_000) }
}

/// Workers where tasks of a job run.
fn places(world: &World, job: &str) -> Vec<WorkerId> {
    let runs = |worker: &&crate::model::ModelWorker| worker.runs.keys().any(|t| &*t.job == job);
    world.workers.values().filter(|worker| worker.up).filter(runs).map(|w| w.id().clone()).collect()
}

// The first ends of the new life had numbers that were known, were not read, and the next poll acknowledged them: their
// tasks counted as lost and ran again.
#[gtest]
fn ends_of_a_life_that_numbers_anew_are_heard() {
    let mut world = world(61, 1);
    world.submit("now", "a", vec![step(6, 1, 300)]);
    world.run(seconds(2));
    restart(&mut world, "w0-0");
    world.run(seconds(2));
    world.submit("now", "b", vec![step(4, 1, 300)]);
    world.run(seconds(3));
    expect_that!(world.state("b"), some(eq(GraphState::Completed)));
    expect_that!(world.begun_runs, eq(10));
}

// The same where starts reach the new life before a poll has told of it.
#[gtest]
fn ends_of_a_life_that_nothing_has_told_of_are_heard() {
    for away in [30, 60, 100, 200, 400] {
        let mut world = world(62, 1);
        world.submit("now", "a", vec![step(6, 1, 300)]);
        world.run(seconds(2));
        world.crash_and_restart(&"w0-0".into(), Duration::from_millis(away));
        for number in 0..40 {
            world.submit("now", &format!("b{number}"), vec![step(1, 1, 20)]);
            world.run(Duration::from_millis(25));
        }
        world.run(seconds(5));
        for number in 0..40 {
            let state = world.state(&format!("b{number}"));
            expect_that!(state, some(eq(GraphState::Completed)), "{number}, away for {away} ms");
        }
    }
}

// The lists of the new life were taken for older than those of the one before, by its clock: tasks that last did not run
// until that clock had passed the other.
#[gtest]
fn lasting_tasks_run_again_after_their_worker_has_restarted() {
    let mut world = world(63, 3);
    world.submit("now", "a", vec![lasting(3)]);
    world.run(seconds(20));
    let place = places(&world, "a").remove(0);
    restart(&mut world, &place);
    world.run(seconds(3));
    expect_that!(runs_of(&world, "a"), eq(3));
}

// A worker that restarts again before a poll has told of the first time.
#[gtest]
fn lasting_tasks_run_again_after_their_worker_has_restarted_twice_in_a_silence() {
    let mut world = world(64, 2);
    world.submit("now", "a", vec![lasting(6)]);
    world.run(seconds(10));
    for _ in 0..2 {
        world.crash_and_restart(&"w0-0".into(), Duration::from_millis(40));
        world.run(Duration::from_millis(60));
    }
    world.run(seconds(3));
    expect_that!(runs_of(&world, "a"), eq(6));
}

// A start was on its way, unanswered, while its worker restarted: the new life would still take it, as its clock is far
// below the time that the start is good for. It must not begin elsewhere before the new life has refused it for good.
#[gtest]
fn a_start_that_a_later_life_may_still_take_does_not_run_elsewhere() {
    for late in [600, 900, 1_500, 3_000, 6_000] {
        let mut world = world(65, 2);
        world.run(seconds(10));
        world.fates.starts.push_back(Some(Duration::from_millis(late)));
        world.submit("now", "a", vec![step(1, 1, 2_000)]);
        world.run(Duration::from_millis(30));
        let told = |world: &World| {
            world.leaders.values().next().map(|leader| {
                let mut live = leader.live_tasks();
                live.next().map(|(_, worker)| worker.clone())
            })
        };
        let worker = told(&world).flatten().expect("the start was sent");
        world.crash_and_restart(&worker, Duration::from_millis(100));
        world.run(seconds(12));
        expect_that!(world.state("a"), some(eq(GraphState::Completed)), "late by {late} ms");
        expect_that!(world.begun_runs, le(2), "late by {late} ms");
    }
}

// A start reached a life that nothing had told of, which holds it for the longest lease by the clock of the life before; cut off
// then, its task ran there when its lease was over by that clock, and elsewhere.
#[gtest]
fn a_task_at_a_life_that_was_never_heard_runs_nowhere_else() {
    for seed in 0..8 {
        let mut world = world(170 + seed, 2);
        world.keep_ids(seed);
        world.run(seconds(10));
        let ids: Vec<WorkerId> = world.workers.keys().cloned().collect();
        ids.iter().for_each(|id| world.crash_and_restart(id, Duration::from_millis(30)));
        world.run(Duration::from_millis(35));
        world.submit("now", "a", vec![step(1, 1, 8_000)]);
        while runs_of(&world, "a") == 0 {
            world.run(Duration::from_millis(5));
        }
        let place = places(&world, "a").remove(0);
        world.workers.get_mut(&place).unwrap().reached = false;
        world.run(seconds(20));
        expect_that!(world.state("a"), some(eq(GraphState::Completed)), "seed {seed}");
    }
}

// Answers that overtake each other by some milliseconds show no later life: the worker stays open while its poll hangs.
#[gtest]
fn answers_that_overtake_each_other_keep_a_worker_open() {
    let mut world = world(71, 1);
    world.run(Duration::from_millis(10_300));
    let late = Some(Duration::from_millis(10));
    world.fates.starts.extend([late, late]);
    world.submit("now", "a", vec![step(2, 1, 5_000)]);
    world.run(Duration::from_millis(50));
    let (now, id) = (world.now, WorkerId::from("w0-0"));
    let (clock, instance) = (world.workers[&id].clock(now), instance_of(&world, &id));
    let leader = world.leader().unwrap();
    for (task, behind) in [("a.0.0.1", 0), ("a.0.0.0", 3)] {
        let answer = Ok(clock - Duration::from_millis(behind));
        leader.handle_start_result(now, &instance, &task.parse().unwrap(), 1, answer);
    }
    world.submit("now", "b", vec![step(1, 1, 5_000)]);
    world.run(Duration::from_millis(100));
    expect_that!(runs_of(&world, "b"), eq(1));
}

// A worker that answers again under its id was taken for one that had been silent: tasks that crash their workers were
// started for good.
#[gtest]
fn crashes_of_workers_that_keep_their_ids_count() {
    for away in [300, 3_000, 7_000] {
        let mut world = world(66, 8);
        world.away = Duration::from_millis(away);
        world.keeps_all_ids = true;
        world.crashers.insert("bad.0.0.0".parse().unwrap(), Duration::from_millis(10));
        world.submit("now", "bad", vec![step(4, 1, 800)]);
        world.run(seconds(60));
        expect_that!(world.state("bad"), some(eq(GraphState::Failed)), "away for {away} ms");
    }
}

// The next leader finds a worker in the store by its id, and another life answers.
#[gtest]
fn a_leader_that_takes_over_hears_a_worker_that_has_restarted_since() {
    let mut world = world(67, 2);
    world.submit("now", "a", vec![lasting(6)]);
    world.submit("later", "b", vec![step(4, 1, 3_000)]);
    world.run(seconds(2));
    let epoch = world.store.epoch;
    world.leaders.remove(&epoch);
    restart(&mut world, "w0-0");
    world.run(seconds(1));
    world.elect();
    world.run(seconds(12));
    expect_that!(runs_of(&world, "a"), eq(6));
    expect_that!(world.state("b"), some(eq(GraphState::Completed)));
}

// The new life has less room than the one before, and had not registered yet when it was given work by what that one had.
#[gtest]
fn a_life_that_has_not_registered_is_given_no_work() {
    let mut world = world(69, 1);
    world.keep_ids(3);
    restart(&mut world, "w0-0");
    // The poll that hung at the life before is answered by nobody.
    world.run(AWAY + Duration::from_millis(250));
    world.resize(&"w0-0".into(), ResourceVector::new(1_000, 2_000, 0));
    for number in 0..40 {
        world.submit("now", &format!("a{number}"), vec![step(1, 2, 100)]);
        world.run(Duration::from_millis(50));
        expect_that!(world.begun_runs, eq(0));
    }
    world.submit("now", "b", vec![step(1, 1, 100)]);
    world.run(seconds(2));
    expect_that!(world.state("b"), some(eq(GraphState::Completed)));
}

// A silent worker was given up with its lease; then another life answered a stop, and was given work before a poll had
// told which life that is and what room it has.
#[gtest]
fn an_answer_to_a_stop_does_not_open_a_worker_that_was_silent() {
    let mut world = world(70, 1);
    world.keep_ids(3);
    world.submit("now", "a", vec![step(1, 1, 60_000)]);
    world.run(seconds(1));
    world.cancel("a");
    world.fates.lost_stops = 1;
    world.crash_and_restart(&"w0-0".into(), seconds(1));
    world.lost_polls = 8;
    world.run(Duration::from_millis(700));
    world.submit("now", "b", vec![step(1, 1, 100)]);
    while world.lost_polls > 0 {
        world.run(Duration::from_millis(10));
        expect_that!(runs_of(&world, "b"), eq(0));
    }
    world.run(seconds(3));
    expect_that!(world.state("b"), some(eq(GraphState::Completed)));
}

// A registration of the life before is read again after the new one was heard.
#[gtest]
fn an_old_registration_brings_no_earlier_life_back() {
    let mut world = world(68, 1);
    let old = world.workers[&WorkerId::from("w0-0")].registration.clone();
    restart(&mut world, "w0-0");
    world.run(seconds(2));
    let now = world.now;
    world.leader().unwrap().worker_registered(now, old);
    world.submit("now", "a", vec![step(4, 1, 300)]);
    world.run(seconds(3));
    expect_that!(world.state("a"), some(eq(GraphState::Completed)));
    expect_that!(world.begun_runs, eq(4));
}
