//! Runs of a cancelled job: begun late by an old order, by a leader that is gone, or both.

use std::collections::VecDeque;
use std::time::Duration;

use googletest::prelude::*;
use kelplink::{
    CallFailure, GraphAnswer, GraphState, RepeatRule, RunNumber, StepSpec, WorkerId,
    WorkerRegistration,
};

use crate::model::{ModelRun, ModelWorker};
use crate::world::{World, runs_of, seconds, step};

/// Longest time that a run of a cancelled job goes on at an idle worker that can be reached: its poll
/// waits 1.2 s, a stop takes 0.2 s.
const GONE: Duration = Duration::from_millis(1_500);
/// How late an order may be carried out so that it still holds: a start holds for 4.5 s.
const LATE: Duration = Duration::from_millis(3_500);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The next start is carried out late; no other send of it arrives.
fn delay_start(world: &mut World, late: Duration) {
    world.fates.starts = VecDeque::from([Some(late), None, None, None]);
}

/// Cancels a job and lets the answer come.
fn cancel(world: &mut World, job: &str) {
    let call = world.cancel(job);
    world.run(millis(100));
    expect_that!(world.answers.get(&call), some(eq(&GraphAnswer::Cancelled)));
}

fn remove_leader(world: &mut World) {
    let epoch = world.store.epoch;
    world.leaders.remove(&epoch);
}

fn only_worker(world: &mut World) -> &mut ModelWorker {
    world.workers.values_mut().next().unwrap()
}

/// Lets the only worker hold a run that no leader knows.
fn give_run(world: &mut World, task: &str, run: RunNumber) {
    let entry = ModelRun {
        run,
        need: step(1, 1, 0).reservation(),
        begun: world.now,
        declared_run_time: seconds(600),
        fails: false,
        stops: None,
    };
    only_worker(world).runs.insert(task.parse().unwrap(), entry);
}

#[gtest]
fn a_start_carried_out_after_its_stop_is_refused() {
    let mut world = World::new(41, 1);
    world.run(seconds(1));
    delay_start(&mut world, LATE);
    world.submit("now", "a", vec![step(1, 1, 60_000)]);
    world.run(millis(200));
    cancel(&mut world, "a");
    world.run(seconds(10));
    expect_that!(world.begun_runs, eq(0));
}

#[gtest]
fn a_late_start_whose_stops_were_lost_is_stopped() {
    let mut world = World::new(42, 1);
    world.run(seconds(1));
    delay_start(&mut world, LATE);
    world.fates.lost_stops = u32::MAX;
    world.submit("now", "a", vec![step(1, 1, 60_000)]);
    world.run(millis(200));
    cancel(&mut world, "a");
    world.run(LATE - millis(200));
    expect_that!(runs_of(&world, "a"), eq(1));
    world.fates.lost_stops = 0;
    world.run(GONE);
    expect_that!(world.begun_runs, eq(1));
    expect_that!(runs_of(&world, "a"), eq(0));
}

#[gtest]
fn a_late_start_of_a_leader_that_is_gone_is_stopped_by_its_successor() {
    let mut world = World::new(43, 1);
    world.run(seconds(1));
    delay_start(&mut world, millis(2_400));
    world.fates.lost_stops = u32::MAX;
    world.submit("now", "a", vec![step(1, 1, 60_000)]);
    world.run(millis(200));
    cancel(&mut world, "a");
    remove_leader(&mut world);
    world.run(millis(2_200));
    expect_that!(runs_of(&world, "a"), eq(1));
    world.fates.lost_stops = 0;
    world.elect();
    world.run(millis(400));
    expect_that!(runs_of(&world, "a"), eq(0));
}

#[gtest]
fn a_late_start_of_a_leader_that_is_gone_is_refused_once_its_successor_was_heard() {
    let mut world = World::new(44, 2);
    world.run(seconds(1));
    delay_start(&mut world, LATE);
    world.fates.lost_stops = u32::MAX;
    world.submit("now", "a", vec![step(1, 1, 60_000)]);
    world.run(millis(200));
    cancel(&mut world, "a");
    remove_leader(&mut world);
    world.run(seconds(1));
    world.elect();
    world.run(seconds(10));
    expect_that!(world.begun_runs, eq(0));
}

// The successor hears the worker only after the order of the leader that is gone was carried out there, and the
// first stops that it sends are lost as well.
#[gtest]
fn a_late_start_of_a_leader_that_is_gone_is_stopped_where_the_successor_was_cut_off() {
    let mut world = World::new(45, 1);
    world.run(seconds(1));
    delay_start(&mut world, millis(2_400));
    world.fates.lost_stops = 3;
    world.submit("now", "a", vec![step(1, 1, 60_000)]);
    world.run(millis(200));
    cancel(&mut world, "a");
    remove_leader(&mut world);
    world.run(millis(2_200));
    expect_that!(runs_of(&world, "a"), eq(1));
    only_worker(&mut world).reached = false;
    world.elect();
    world.run(millis(500));
    only_worker(&mut world).reached = true;
    world.run(seconds(2));
    expect_that!(runs_of(&world, "a"), eq(0));
    expect_that!(world.state("a"), some(eq(GraphState::Cancelled)));
}

// An earlier leader goes on without knowing of its successor, which cannot look at the worker before the order
// of the earlier one was carried out there.
#[gtest]
fn a_late_start_of_a_leader_that_does_not_know_of_its_successor_is_stopped() {
    let mut world = World::new(46, 1);
    world.run(seconds(1));
    delay_start(&mut world, millis(1_200));
    world.submit("now", "a", vec![step(1, 1, 60_000)]);
    world.run(millis(200));
    world.lost_polls = u32::MAX;
    world.elect();
    cancel(&mut world, "a");
    world.run(millis(1_000));
    expect_that!(world.leaders.len(), eq(2));
    expect_that!(runs_of(&world, "a"), eq(1));
    world.lost_polls = 0;
    world.run(GONE);
    expect_that!(runs_of(&world, "a"), eq(0));
}

#[gtest]
fn a_cancel_repeated_at_the_next_leader_is_answered_and_still_stops_what_starts_late() {
    let mut world = World::new(47, 1);
    world.run(seconds(1));
    delay_start(&mut world, millis(2_400));
    world.fates.lost_stops = u32::MAX;
    world.submit("later", "a", vec![step(1, 1, 60_000)]);
    world.run(millis(200));
    cancel(&mut world, "a");
    remove_leader(&mut world);
    world.run(millis(2_200));
    world.elect();
    let again = world.cancel("a");
    world.fates.lost_stops = 0;
    world.run(millis(400));
    expect_that!(world.answers.get(&again), some(eq(&GraphAnswer::Cancelled)));
    expect_that!(runs_of(&world, "a"), eq(0));
}

#[gtest]
fn a_cancel_that_its_leader_could_not_store_holds_from_its_repetition_on() {
    let mut world = World::new(48, 2);
    world.run(seconds(1));
    world.submit("later", "a", vec![step(4, 1, 60_000)]);
    world.run(millis(300));
    world.store.up = false;
    let first = world.cancel("a");
    world.run(seconds(1));
    expect_that!(world.answers.get(&first), none());
    remove_leader(&mut world);
    world.store.up = true;
    world.elect();
    world.run(seconds(1));
    expect_that!(world.state("a"), some(eq(GraphState::Running)));
    cancel(&mut world, "a");
    world.run(millis(400));
    expect_that!(runs_of(&world, "a"), eq(0));
}

#[gtest]
fn a_job_cancelled_before_it_was_stored_starts_nothing() {
    let mut world = World::new(49, 2);
    world.run(seconds(1));
    world.store.up = false;
    world.submit("now", "a", vec![step(4, 1, 60_000)]);
    world.run(millis(100));
    let call = world.cancel("a");
    world.run(millis(300));
    world.store.up = true;
    world.run(seconds(3));
    expect_that!(world.answers.get(&call), some(eq(&GraphAnswer::Cancelled)));
    expect_that!(world.begun_runs, eq(0));
}

#[gtest]
fn a_late_start_at_a_worker_that_was_not_registered_for_a_while_is_stopped() {
    let mut world = World::new(50, 1);
    world.run(seconds(1));
    delay_start(&mut world, LATE);
    world.fates.lost_stops = u32::MAX;
    world.submit("now", "a", vec![step(1, 1, 60_000)]);
    world.run(millis(200));
    cancel(&mut world, "a");
    let id: WorkerId = "w0-0".into();
    let now = world.now;
    world.leader().unwrap().worker_unregistered(now, &id);
    world.run(seconds(3));
    let (now, registration) = (world.now, world.workers[&id].registration.clone());
    world.leader().unwrap().worker_registered(now, registration);
    world.run(millis(220));
    expect_that!(runs_of(&world, "a"), eq(1));
    world.fates.lost_stops = 0;
    world.run(GONE);
    expect_that!(runs_of(&world, "a"), eq(0));
}

#[gtest]
fn a_late_start_at_a_worker_that_leaves_is_stopped() {
    let mut world = World::new(51, 1);
    world.run(seconds(1));
    delay_start(&mut world, LATE);
    world.fates.lost_stops = u32::MAX;
    world.submit("now", "a", vec![step(1, 1, 60_000)]);
    world.run(millis(200));
    cancel(&mut world, "a");
    let id: WorkerId = "w0-0".into();
    let (now, mut registration) = (world.now, world.workers[&id].registration.clone());
    registration.leaving = Some(seconds(1));
    world.leader().unwrap().worker_registered(now, registration);
    world.run(seconds(2));
    let now = world.now;
    world.leader().unwrap().worker_unregistered(now, &id);
    world.run(millis(1_220));
    expect_that!(runs_of(&world, "a"), eq(1));
    world.fates.lost_stops = 0;
    world.run(GONE);
    expect_that!(runs_of(&world, "a"), eq(0));
}

#[gtest]
fn a_late_member_of_a_cancelled_gang_is_stopped() {
    let mut world = World::new(52, 3);
    world.run(seconds(1));
    delay_start(&mut world, millis(2_400));
    world.submit("now", "a", vec![StepSpec { gang: true, ..step(3, 5, 60_000) }]);
    world.run(millis(200));
    cancel(&mut world, "a");
    remove_leader(&mut world);
    world.run(millis(2_200));
    world.elect();
    world.run(millis(400));
    expect_that!(runs_of(&world, "a"), eq(0));
    world.run(seconds(10));
    expect_that!(runs_of(&world, "a"), eq(0));
}

#[gtest]
fn occurrences_of_a_cancelled_job_are_stopped_and_no_more_begin() {
    let mut world = World::new(53, 3);
    world.run(seconds(1));
    let repeat =
        RepeatRule { count: 6, first: world.unix() + 200, interval: Duration::from_millis(500) };
    world.submit_repeated("now", "a", vec![step(1, 1, 60_000)], Some(repeat));
    world.run(millis(400));
    expect_that!(runs_of(&world, "a"), eq(1));
    delay_start(&mut world, millis(2_400));
    world.run(millis(900));
    cancel(&mut world, "a");
    world.run(GONE);
    let begun = world.begun_runs;
    expect_that!(runs_of(&world, "a"), eq(0));
    remove_leader(&mut world);
    world.elect();
    world.run(seconds(10));
    expect_that!(world.begun_runs, eq(begun));
}

// The stop of a cancelled job's task was not answered. The task went on working, and each list of its worker
// showed more of its work done; where lists come often, because other tasks end there, the pause before the stop
// is sent again began anew with each of them, and the stop was never sent again.
#[gtest]
fn a_lost_stop_is_sent_again_while_its_run_makes_progress() {
    let mut world = World::new(54, 1);
    world.run(seconds(1));
    world.submit("later", "a", vec![step(1, 1, 20_000)]);
    world.run(millis(300));
    world.fates.lost_stops = 1;
    cancel(&mut world, "a");
    for number in 0..15 {
        world.submit("later", &format!("short{number}"), vec![step(1, 1, 150)]);
        world.run(millis(100));
    }
    expect_that!(runs_of(&world, "a"), eq(0));
}

// A worker held a run of a job that its leader did not know any more. The run was stopped, but what runs unknown
// takes room that is not known, so the worker was given no work, and that stayed so for the leader's whole time.
#[gtest]
fn a_worker_that_held_a_run_of_a_forgotten_job_is_given_work_once_that_is_stopped() {
    let mut world = World::new(55, 1);
    world.run(seconds(1));
    give_run(&mut world, "forgotten.0.0.0", 1);
    world.run(GONE);
    expect_that!(runs_of(&world, "forgotten"), eq(0));
    world.submit("later", "b", vec![step(1, 1, 300)]);
    world.run(seconds(1));
    expect_that!(world.state("b"), some(eq(GraphState::Completed)));
}

/// A worker whose only task was begun after it came back under another name, and the registration that it left
/// under the earlier one.
fn replaced_worker(seed: u64) -> (World, WorkerRegistration) {
    let mut world = World::new(seed, 1);
    world.run(seconds(1));
    let stale = only_worker(&mut world).registration.clone();
    world.add_worker(0, 1);
    world.run(seconds(1));
    world.submit("later", "a", vec![step(1, 1, 60_000)]);
    world.run(seconds(1));
    world.add_worker(1, 0);
    world.run(seconds(1));
    expect_that!(world.workers[&WorkerId::from("w0-1")].was_given("a"), eq(true));
    (world, stale)
}

// The registrations were read again after an outage of the store, in which that of a worker's earlier life had
// not expired. Taken for a newcomer, it ended the life that had taken its place: that worker was looked at no
// more, what ran there counted as lost and was started elsewhere as well, and was not stopped on cancellation.
#[gtest]
fn a_registration_that_a_worker_left_behind_does_not_end_its_present_life() {
    let (mut world, stale) = replaced_worker(56);
    let now = world.now;
    world.leader().unwrap().worker_registered(now, stale);
    world.run(seconds(2));
    expect_that!(world.begun_runs, eq(1));
    cancel(&mut world, "a");
    world.run(millis(400));
    expect_that!(runs_of(&world, "a"), eq(0));
}

// A new leader read both registrations, the one left behind first, before it had heard the worker. It gave up
// waiting for the worker that the store names as one in use, and started its task elsewhere as well.
#[gtest]
fn a_registration_left_behind_does_not_hide_from_a_new_leader_what_runs_there() {
    let (mut world, stale) = replaced_worker(57);
    let id: WorkerId = "w0-1".into();
    remove_leader(&mut world);
    // Its registration has not been read yet at the election.
    world.workers.get_mut(&id).unwrap().up = false;
    world.elect();
    world.workers.get_mut(&id).unwrap().up = true;
    world.workers.get_mut(&id).unwrap().reached = false;
    let (now, present) = (world.now, world.workers[&id].registration.clone());
    world.leader().unwrap().worker_registered(now, stale);
    world.leader().unwrap().worker_registered(now, present);
    world.run(millis(700));
    world.workers.get_mut(&id).unwrap().reached = true;
    world.run(seconds(2));
    expect_that!(world.begun_runs, eq(1));
    cancel(&mut world, "a");
    world.run(millis(400));
    expect_that!(runs_of(&world, "a"), eq(0));
}

// A worker was leaving and its announced time was over. It was cut off, from the store as well, so that its
// registration went, and no connection to it could be made. That was taken for its end: what ran there was started
// elsewhere while it went on, and was not stopped on cancellation.
#[gtest]
fn a_leaving_worker_that_cannot_be_reached_may_still_run_what_it_has() {
    let mut world = World::new(58, 1);
    world.run(seconds(1));
    world.submit("later", "a", vec![step(1, 1, 60_000)]);
    world.run(millis(300));
    world.add_worker(1, 0);
    let id: WorkerId = "w0-0".into();
    let (now, mut registration) = (world.now, world.workers[&id].registration.clone());
    registration.leaving = Some(millis(300));
    world.leader().unwrap().worker_registered(now, registration);
    world.run(seconds(1));
    let now = world.now;
    world.leader().unwrap().worker_unregistered(now, &id);
    only_worker(&mut world).reached = false;
    let (now, unix) = (world.now, world.unix());
    world.leader().unwrap().handle_poll_result(now, unix, &id, Err(CallFailure::NotSent));
    world.run(seconds(2));
    expect_that!(runs_of(&world, "a"), eq(1));
}

#[gtest]
fn a_leaving_worker_at_whose_address_nothing_listens_has_left() {
    let mut world = World::new(59, 1);
    world.run(seconds(1));
    world.submit("later", "a", vec![step(1, 1, 60_000)]);
    world.run(millis(300));
    world.add_worker(1, 0);
    let id: WorkerId = "w0-0".into();
    let (now, mut registration) = (world.now, world.workers[&id].registration.clone());
    registration.leaving = Some(millis(300));
    world.leader().unwrap().worker_registered(now, registration);
    world.run(seconds(1));
    let now = world.now;
    world.leader().unwrap().worker_unregistered(now, &id);
    only_worker(&mut world).up = false;
    let (now, unix) = (world.now, world.unix());
    world.leader().unwrap().handle_poll_result(now, unix, &id, Err(CallFailure::NothingThere));
    world.run(millis(200));
    expect_that!(runs_of(&world, "a"), eq(1));
}
