//! Runs of a cancelled job: begun late by an old order, by a leader that is gone, or both.

use std::collections::VecDeque;
use std::time::Duration;

use googletest::prelude::*;
use kelplink::{
    CallFailure, GraphAnswer, GraphState, RepeatRule, RunNumber, StepSpec, WorkerId,
    WorkerRegistration,
};

use crate::model_worker::{ModelRun, ModelWorker};
use crate::sim_cluster::{SimCluster, count_runs, seconds, step};

/// Longest time that a run of a cancelled job goes on at an idle worker that can be reached: its poll
/// waits 1.2 s, a stop takes 0.2 s.
const STOP_TIME: Duration = Duration::from_millis(1_500);
/// How late an order may be carried out so that it still holds: a start holds for 4.5 s.
const START_DELAY: Duration = Duration::from_millis(3_500);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The next start is carried out late; no other send of it arrives.
fn delay_start(cluster: &mut SimCluster, delay: Duration) {
    cluster.planned_faults.starts = VecDeque::from([Some(delay), None, None, None]);
}

/// Cancels a job and lets the answer come.
fn cancel(cluster: &mut SimCluster, job: &str) {
    let call = cluster.cancel(job);
    cluster.run(millis(100));
    expect_that!(cluster.answers.get(&call), some(eq(&GraphAnswer::Cancelled)));
}

fn remove_leader(cluster: &mut SimCluster) {
    let epoch = cluster.store.epoch;
    cluster.leaders.remove(&epoch);
}

fn only_worker(cluster: &mut SimCluster) -> &mut ModelWorker {
    cluster.workers.values_mut().next().unwrap()
}

/// Lets the only worker hold a run that no leader knows.
fn add_unknown_run(cluster: &mut SimCluster, task: &str, run: RunNumber) {
    let unknown_run = ModelRun {
        run,
        need: step(1, 1, 0).reservation(),
        started_at: cluster.now,
        declared_run_time: seconds(600),
        fails: false,
        stops: None,
    };
    only_worker(cluster).runs.insert(task.parse().unwrap(), unknown_run);
}

#[gtest]
fn a_start_carried_out_after_its_stop_is_refused() {
    let mut cluster = SimCluster::new(41, 1);
    cluster.run(seconds(1));
    delay_start(&mut cluster, START_DELAY);
    cluster.submit("now", "a", vec![step(1, 1, 60_000)]);
    cluster.run(millis(200));
    cancel(&mut cluster, "a");
    cluster.run(seconds(10));
    expect_that!(cluster.started_runs, eq(0));
}

#[gtest]
fn a_late_start_whose_stops_were_lost_is_stopped() {
    let mut cluster = SimCluster::new(42, 1);
    cluster.run(seconds(1));
    delay_start(&mut cluster, START_DELAY);
    cluster.planned_faults.stops_to_lose = u32::MAX;
    cluster.submit("now", "a", vec![step(1, 1, 60_000)]);
    cluster.run(millis(200));
    cancel(&mut cluster, "a");
    cluster.run(START_DELAY - millis(200));
    expect_that!(count_runs(&cluster, "a"), eq(1));
    cluster.planned_faults.stops_to_lose = 0;
    cluster.run(STOP_TIME);
    expect_that!(cluster.started_runs, eq(1));
    expect_that!(count_runs(&cluster, "a"), eq(0));
}

#[gtest]
fn a_late_start_of_a_leader_that_is_gone_is_stopped_by_its_successor() {
    let mut cluster = SimCluster::new(43, 1);
    cluster.run(seconds(1));
    delay_start(&mut cluster, millis(2_400));
    cluster.planned_faults.stops_to_lose = u32::MAX;
    cluster.submit("now", "a", vec![step(1, 1, 60_000)]);
    cluster.run(millis(200));
    cancel(&mut cluster, "a");
    remove_leader(&mut cluster);
    cluster.run(millis(2_200));
    expect_that!(count_runs(&cluster, "a"), eq(1));
    cluster.planned_faults.stops_to_lose = 0;
    cluster.elect();
    cluster.run(millis(400));
    expect_that!(count_runs(&cluster, "a"), eq(0));
}

#[gtest]
fn a_late_start_of_a_leader_that_is_gone_is_refused_once_its_successor_was_heard() {
    let mut cluster = SimCluster::new(44, 2);
    cluster.run(seconds(1));
    delay_start(&mut cluster, START_DELAY);
    cluster.planned_faults.stops_to_lose = u32::MAX;
    cluster.submit("now", "a", vec![step(1, 1, 60_000)]);
    cluster.run(millis(200));
    cancel(&mut cluster, "a");
    remove_leader(&mut cluster);
    cluster.run(seconds(1));
    cluster.elect();
    cluster.run(seconds(10));
    expect_that!(cluster.started_runs, eq(0));
}

// The successor hears the worker only after the order of the leader that is gone was carried out there, and the
// first stops that it sends are lost as well.
#[gtest]
fn a_late_start_of_a_leader_that_is_gone_is_stopped_where_the_successor_was_cut_off() {
    let mut cluster = SimCluster::new(45, 1);
    cluster.run(seconds(1));
    delay_start(&mut cluster, millis(2_400));
    cluster.planned_faults.stops_to_lose = 3;
    cluster.submit("now", "a", vec![step(1, 1, 60_000)]);
    cluster.run(millis(200));
    cancel(&mut cluster, "a");
    remove_leader(&mut cluster);
    cluster.run(millis(2_200));
    expect_that!(count_runs(&cluster, "a"), eq(1));
    only_worker(&mut cluster).connected = false;
    cluster.elect();
    cluster.run(millis(500));
    only_worker(&mut cluster).connected = true;
    cluster.run(seconds(2));
    expect_that!(count_runs(&cluster, "a"), eq(0));
    expect_that!(cluster.state("a"), some(eq(GraphState::Cancelled)));
}

// An earlier leader goes on without knowing of its successor, which cannot look at the worker before the order
// of the earlier one was carried out there.
#[gtest]
fn a_late_start_of_a_leader_that_does_not_know_of_its_successor_is_stopped() {
    let mut cluster = SimCluster::new(46, 1);
    cluster.run(seconds(1));
    delay_start(&mut cluster, millis(1_200));
    cluster.submit("now", "a", vec![step(1, 1, 60_000)]);
    cluster.run(millis(200));
    cluster.polls_to_lose = u32::MAX;
    cluster.elect();
    cancel(&mut cluster, "a");
    cluster.run(millis(1_000));
    expect_that!(cluster.leaders.len(), eq(2));
    expect_that!(count_runs(&cluster, "a"), eq(1));
    cluster.polls_to_lose = 0;
    cluster.run(STOP_TIME);
    expect_that!(count_runs(&cluster, "a"), eq(0));
}

#[gtest]
fn a_cancel_repeated_at_the_next_leader_is_answered_and_still_stops_what_starts_late() {
    let mut cluster = SimCluster::new(47, 1);
    cluster.run(seconds(1));
    delay_start(&mut cluster, millis(2_400));
    cluster.planned_faults.stops_to_lose = u32::MAX;
    cluster.submit("later", "a", vec![step(1, 1, 60_000)]);
    cluster.run(millis(200));
    cancel(&mut cluster, "a");
    remove_leader(&mut cluster);
    cluster.run(millis(2_200));
    cluster.elect();
    let repeated = cluster.cancel("a");
    cluster.planned_faults.stops_to_lose = 0;
    cluster.run(millis(400));
    expect_that!(cluster.answers.get(&repeated), some(eq(&GraphAnswer::Cancelled)));
    expect_that!(count_runs(&cluster, "a"), eq(0));
}

#[gtest]
fn a_cancel_that_its_leader_could_not_store_holds_from_its_repetition_on() {
    let mut cluster = SimCluster::new(48, 2);
    cluster.run(seconds(1));
    cluster.submit("later", "a", vec![step(4, 1, 60_000)]);
    cluster.run(millis(300));
    cluster.store.up = false;
    let first = cluster.cancel("a");
    cluster.run(seconds(1));
    expect_that!(cluster.answers.get(&first), none());
    remove_leader(&mut cluster);
    cluster.store.up = true;
    cluster.elect();
    cluster.run(seconds(1));
    expect_that!(cluster.state("a"), some(eq(GraphState::Running)));
    cancel(&mut cluster, "a");
    cluster.run(millis(400));
    expect_that!(count_runs(&cluster, "a"), eq(0));
}

#[gtest]
fn a_job_cancelled_before_it_was_stored_starts_nothing() {
    let mut cluster = SimCluster::new(49, 2);
    cluster.run(seconds(1));
    cluster.store.up = false;
    cluster.submit("now", "a", vec![step(4, 1, 60_000)]);
    cluster.run(millis(100));
    let call = cluster.cancel("a");
    cluster.run(millis(300));
    cluster.store.up = true;
    cluster.run(seconds(3));
    expect_that!(cluster.answers.get(&call), some(eq(&GraphAnswer::Cancelled)));
    expect_that!(cluster.started_runs, eq(0));
}

#[gtest]
fn a_late_start_at_a_worker_that_was_not_registered_for_a_while_is_stopped() {
    let mut cluster = SimCluster::new(50, 1);
    cluster.run(seconds(1));
    delay_start(&mut cluster, START_DELAY);
    cluster.planned_faults.stops_to_lose = u32::MAX;
    cluster.submit("now", "a", vec![step(1, 1, 60_000)]);
    cluster.run(millis(200));
    cancel(&mut cluster, "a");
    let id: WorkerId = "w0-0".into();
    let now = cluster.now;
    cluster.leader().unwrap().worker_unregistered(now, &id);
    cluster.run(seconds(3));
    let (now, registration) = (cluster.now, cluster.workers[&id].registration.clone());
    cluster.leader().unwrap().worker_registered(now, registration);
    cluster.run(millis(220));
    expect_that!(count_runs(&cluster, "a"), eq(1));
    cluster.planned_faults.stops_to_lose = 0;
    cluster.run(STOP_TIME);
    expect_that!(count_runs(&cluster, "a"), eq(0));
}

#[gtest]
fn a_late_start_at_a_worker_that_leaves_is_stopped() {
    let mut cluster = SimCluster::new(51, 1);
    cluster.run(seconds(1));
    delay_start(&mut cluster, START_DELAY);
    cluster.planned_faults.stops_to_lose = u32::MAX;
    cluster.submit("now", "a", vec![step(1, 1, 60_000)]);
    cluster.run(millis(200));
    cancel(&mut cluster, "a");
    let id: WorkerId = "w0-0".into();
    let (now, mut registration) = (cluster.now, cluster.workers[&id].registration.clone());
    registration.leaving = Some(seconds(1));
    cluster.leader().unwrap().worker_registered(now, registration);
    cluster.run(seconds(2));
    let now = cluster.now;
    cluster.leader().unwrap().worker_unregistered(now, &id);
    cluster.run(millis(1_220));
    expect_that!(count_runs(&cluster, "a"), eq(1));
    cluster.planned_faults.stops_to_lose = 0;
    cluster.run(STOP_TIME);
    expect_that!(count_runs(&cluster, "a"), eq(0));
}

#[gtest]
fn a_late_member_of_a_cancelled_gang_is_stopped() {
    let mut cluster = SimCluster::new(52, 3);
    cluster.run(seconds(1));
    delay_start(&mut cluster, millis(2_400));
    cluster.submit("now", "a", vec![StepSpec { gang: true, ..step(3, 5, 60_000) }]);
    cluster.run(millis(200));
    cancel(&mut cluster, "a");
    remove_leader(&mut cluster);
    cluster.run(millis(2_200));
    cluster.elect();
    cluster.run(millis(400));
    expect_that!(count_runs(&cluster, "a"), eq(0));
    cluster.run(seconds(10));
    expect_that!(count_runs(&cluster, "a"), eq(0));
}

#[gtest]
fn occurrences_of_a_cancelled_job_are_stopped_and_no_more_begin() {
    let mut cluster = SimCluster::new(53, 3);
    cluster.run(seconds(1));
    let repeat =
        RepeatRule { count: 6, first: cluster.unix() + 200, interval: Duration::from_millis(500) };
    cluster.submit_repeated("now", "a", vec![step(1, 1, 60_000)], Some(repeat));
    cluster.run(millis(400));
    expect_that!(count_runs(&cluster, "a"), eq(1));
    delay_start(&mut cluster, millis(2_400));
    cluster.run(millis(900));
    cancel(&mut cluster, "a");
    cluster.run(STOP_TIME);
    let started_runs = cluster.started_runs;
    expect_that!(count_runs(&cluster, "a"), eq(0));
    remove_leader(&mut cluster);
    cluster.elect();
    cluster.run(seconds(10));
    expect_that!(cluster.started_runs, eq(started_runs));
}

// The stop of a cancelled job's task was not answered. The task went on working, and each list of its worker
// showed more of its work done; where lists come often, because other tasks end there, the pause before the stop
// is sent again began anew with each of them, and the stop was never sent again.
#[gtest]
fn a_lost_stop_is_sent_again_while_its_run_makes_progress() {
    let mut cluster = SimCluster::new(54, 1);
    cluster.run(seconds(1));
    cluster.submit("later", "a", vec![step(1, 1, 20_000)]);
    cluster.run(millis(300));
    cluster.planned_faults.stops_to_lose = 1;
    cancel(&mut cluster, "a");
    for number in 0..15 {
        cluster.submit("later", &format!("short{number}"), vec![step(1, 1, 150)]);
        cluster.run(millis(100));
    }
    expect_that!(count_runs(&cluster, "a"), eq(0));
}

// A worker held a run of a job that its leader did not know any more. The run was stopped, but what runs unknown
// takes room that is not known, so the worker was given no work, and that stayed so for the leader's whole time.
#[gtest]
fn a_worker_that_held_a_run_of_a_forgotten_job_is_given_work_once_that_is_stopped() {
    let mut cluster = SimCluster::new(55, 1);
    cluster.run(seconds(1));
    add_unknown_run(&mut cluster, "forgotten.0.0.0", 1);
    cluster.run(STOP_TIME);
    expect_that!(count_runs(&cluster, "forgotten"), eq(0));
    cluster.submit("later", "b", vec![step(1, 1, 300)]);
    cluster.run(seconds(1));
    expect_that!(cluster.state("b"), some(eq(GraphState::Completed)));
}

/// A worker whose only task was begun after it came back under another name, and the registration that it left
/// under the earlier one.
fn replaced_worker(seed: u64) -> (SimCluster, WorkerRegistration) {
    let mut cluster = SimCluster::new(seed, 1);
    cluster.run(seconds(1));
    let stale = only_worker(&mut cluster).registration.clone();
    cluster.add_worker(0, 1);
    cluster.run(seconds(1));
    cluster.submit("later", "a", vec![step(1, 1, 60_000)]);
    cluster.run(seconds(1));
    cluster.add_worker(1, 0);
    cluster.run(seconds(1));
    expect_that!(cluster.workers[&WorkerId::from("w0-1")].was_assigned("a"), eq(true));
    (cluster, stale)
}

// The registrations were read again after an outage of the store, in which that of a worker's earlier life had
// not expired. Taken for a newcomer, it ended the life that had taken its place: that worker was looked at no
// more, what ran there counted as lost and was started elsewhere as well, and was not stopped on cancellation.
#[gtest]
fn a_registration_that_a_worker_left_behind_does_not_end_its_present_life() {
    let (mut cluster, stale) = replaced_worker(56);
    let now = cluster.now;
    cluster.leader().unwrap().worker_registered(now, stale);
    cluster.run(seconds(2));
    expect_that!(cluster.started_runs, eq(1));
    cancel(&mut cluster, "a");
    cluster.run(millis(400));
    expect_that!(count_runs(&cluster, "a"), eq(0));
}

// A new leader read both registrations, the one left behind first, before it had heard the worker. It gave up
// waiting for the worker that the store names as one in use, and started its task elsewhere as well.
#[gtest]
fn a_registration_left_behind_does_not_hide_from_a_new_leader_what_runs_there() {
    let (mut cluster, stale) = replaced_worker(57);
    let id: WorkerId = "w0-1".into();
    remove_leader(&mut cluster);
    // Its registration has not been read yet at the election.
    cluster.workers.get_mut(&id).unwrap().up = false;
    cluster.elect();
    cluster.workers.get_mut(&id).unwrap().up = true;
    cluster.workers.get_mut(&id).unwrap().connected = false;
    let (now, present) = (cluster.now, cluster.workers[&id].registration.clone());
    cluster.leader().unwrap().worker_registered(now, stale);
    cluster.leader().unwrap().worker_registered(now, present);
    cluster.run(millis(700));
    cluster.workers.get_mut(&id).unwrap().connected = true;
    cluster.run(seconds(2));
    expect_that!(cluster.started_runs, eq(1));
    cancel(&mut cluster, "a");
    cluster.run(millis(400));
    expect_that!(count_runs(&cluster, "a"), eq(0));
}

// A worker was leaving and its announced time was over. It was cut off, from the store as well, so that its
// registration went, and no connection to it could be made. That was taken for its end: what ran there was started
// elsewhere while it went on, and was not stopped on cancellation.
#[gtest]
fn a_leaving_worker_that_cannot_be_reached_may_still_run_what_it_has() {
    let mut cluster = SimCluster::new(58, 1);
    cluster.run(seconds(1));
    cluster.submit("later", "a", vec![step(1, 1, 60_000)]);
    cluster.run(millis(300));
    cluster.add_worker(1, 0);
    let id: WorkerId = "w0-0".into();
    let (now, mut registration) = (cluster.now, cluster.workers[&id].registration.clone());
    registration.leaving = Some(millis(300));
    cluster.leader().unwrap().worker_registered(now, registration);
    cluster.run(seconds(1));
    let now = cluster.now;
    cluster.leader().unwrap().worker_unregistered(now, &id);
    only_worker(&mut cluster).connected = false;
    let (now, unix) = (cluster.now, cluster.unix());
    cluster.leader().unwrap().handle_poll_result(now, unix, &id, Err(CallFailure::NotSent));
    cluster.run(seconds(2));
    expect_that!(count_runs(&cluster, "a"), eq(1));
}

#[gtest]
fn a_leaving_worker_at_whose_address_nothing_listens_has_left() {
    let mut cluster = SimCluster::new(59, 1);
    cluster.run(seconds(1));
    cluster.submit("later", "a", vec![step(1, 1, 60_000)]);
    cluster.run(millis(300));
    cluster.add_worker(1, 0);
    let id: WorkerId = "w0-0".into();
    let (now, mut registration) = (cluster.now, cluster.workers[&id].registration.clone());
    registration.leaving = Some(millis(300));
    cluster.leader().unwrap().worker_registered(now, registration);
    cluster.run(seconds(1));
    let now = cluster.now;
    cluster.leader().unwrap().worker_unregistered(now, &id);
    only_worker(&mut cluster).up = false;
    let (now, unix) = (cluster.now, cluster.unix());
    cluster.leader().unwrap().handle_poll_result(now, unix, &id, Err(CallFailure::NothingThere));
    cluster.run(millis(200));
    expect_that!(count_runs(&cluster, "a"), eq(1));
}
