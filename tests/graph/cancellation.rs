//! Runs of a cancelled job that were started late by an old command, by a leader that is gone, or
//! both.

use std::collections::VecDeque;
use std::time::Duration;

use googletest::prelude::*;
use kelplink::{
    CallFailure, GraphAnswer, GraphState, RepeatRule, RunNumber, StepSpec, WorkerId,
    WorkerRegistration,
};

use crate::model_worker::{ModelRun, ModelWorker};
use crate::sim_cluster::{SimCluster, count_runs, seconds, step};

/// Longest time that a run of a cancelled job continues at an idle, reachable worker: its poll
/// waits 1.2 s, a stop takes 0.2 s.
const STOP_TIME: Duration = Duration::from_millis(1_500);
/// Delay after which a start may still be carried out: a start is valid for 4.5 s.
const START_DELAY: Duration = Duration::from_millis(3_500);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Delays the next start; its retries are lost.
fn delay_start(cluster: &mut SimCluster, delay: Duration) {
    cluster.planned_faults.starts = VecDeque::from([Some(delay), None, None, None]);
}

/// Cancels a job and waits for the answer.
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

/// Adds a run that no leader has a record of to the only worker.
fn add_unknown_run(cluster: &mut SimCluster, task: &str, run: RunNumber) {
    let unknown_run = ModelRun {
        run,
        need: step(1, 1, 0).reservation(),
        started_at: cluster.now,
        declared_run_time: seconds(600),
        length_percent: 100,
        fails: false,
        stop_time: None,
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
fn a_late_start_of_a_lost_leader_is_stopped_by_its_successor() {
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
fn a_late_start_of_a_lost_leader_is_refused_after_contact_with_its_successor() {
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

// The successor reaches the worker only after the start of the lost leader was carried out there,
// and the first stops that it sends are lost as well.
#[gtest]
fn a_late_start_of_a_lost_leader_is_stopped_after_its_successor_was_disconnected() {
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

// An earlier leader continues without knowing of its successor, which cannot poll the worker before
// the earlier leader's start was carried out there.
#[gtest]
fn a_late_start_of_a_leader_unaware_of_its_successor_is_stopped() {
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
fn a_cancel_repeated_at_the_next_leader_is_answered_and_stops_late_starts() {
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
fn a_cancel_that_was_not_stored_takes_effect_when_repeated() {
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
fn a_job_cancelled_before_it_was_stored_starts_no_task() {
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
fn occurrences_of_a_cancelled_job_are_stopped_and_no_more_start() {
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

// The stop of a cancelled job's task was not answered. The task continued, and each report of its
// worker showed more progress. Each report also restarted the delay after which the stop is sent
// again. Where other tasks often ended, reports came so often that the stop was never sent again.
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

// A worker held a run of a job that its leader no longer had a record of. The run was stopped, but
// as the capacity that such runs use is unknown, the worker was given no tasks until the leader was
// replaced.
#[gtest]
fn a_worker_with_a_run_of_a_forgotten_job_gets_tasks_once_that_is_stopped() {
    let mut cluster = SimCluster::new(55, 1);
    cluster.run(seconds(1));
    add_unknown_run(&mut cluster, "forgotten.0.0.0", 1);
    cluster.run(STOP_TIME);
    expect_that!(count_runs(&cluster, "forgotten"), eq(0));
    cluster.submit("later", "b", vec![step(1, 1, 300)]);
    cluster.run(seconds(1));
    expect_that!(cluster.state("b"), some(eq(GraphState::Completed)));
}

/// A worker that came back under another id before its only task was started, and the registration
/// left under the earlier id.
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

// The registrations were read again after an outage of the store, in which that of a worker's
// earlier instance had not expired. It was treated as new and ended the instance that had replaced
// it: that worker was no longer polled, its runs counted as lost and were started elsewhere as
// well, and they were not stopped on cancellation.
#[gtest]
fn a_stale_registration_does_not_end_a_workers_present_instance() {
    let (mut cluster, stale) = replaced_worker(56);
    let now = cluster.now;
    cluster.leader().unwrap().worker_registered(now, stale);
    cluster.run(seconds(2));
    expect_that!(cluster.started_runs, eq(1));
    cancel(&mut cluster, "a");
    cluster.run(millis(400));
    expect_that!(count_runs(&cluster, "a"), eq(0));
}

// A new leader read both registrations, the stale one first, before it had contact with the worker.
// It stopped waiting for the worker, which the store lists as in use, and started its task
// elsewhere as well.
#[gtest]
fn a_stale_registration_does_not_hide_runs_from_a_new_leader() {
    let (mut cluster, stale) = replaced_worker(57);
    let id: WorkerId = "w0-1".into();
    remove_leader(&mut cluster);
    // The worker is down during the election, so that its registration has not been read yet.
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

// A worker was leaving and its announced time was over. It was disconnected, from the store as
// well, so that its registration expired, and no connection to it could be made. That was treated
// as its end: its tasks were started elsewhere while they still ran, and were not stopped on
// cancellation.
#[gtest]
fn a_leaving_worker_that_is_unreachable_may_still_run_its_tasks() {
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
fn a_leaving_worker_with_a_closed_port_has_left() {
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
