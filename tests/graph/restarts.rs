//! Workers that restart under their ids: their end numbers, clocks and leases start from their
//! initial values.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::{GraphState, InstanceId, ResourceVector, StepSpec, WorkerId};

use crate::sim_cluster::{SimCluster, count_runs, seconds, step};

/// How long a restarting worker is down.
const DOWNTIME: Duration = Duration::from_millis(500);

fn start_cluster(seed: u64, workers: u32) -> SimCluster {
    let mut cluster = SimCluster::new(seed, workers);
    cluster.run(seconds(1));
    cluster
}

fn restart(cluster: &mut SimCluster, worker: &str) {
    cluster.crash_and_restart(&worker.into(), DOWNTIME);
}

fn instance_of(cluster: &SimCluster, worker: &WorkerId) -> InstanceId {
    InstanceId::new(worker.clone(), cluster.workers[worker].registration.instance_start)
}

fn lasting(count: u32) -> StepSpec {
    StepSpec { lasting: true, ..step(count, 1, 600_000) }
}

/// Workers that run tasks of a job.
fn workers_running(cluster: &SimCluster, job: &str) -> Vec<WorkerId> {
    let runs =
        |worker: &&crate::model_worker::ModelWorker| worker.runs.keys().any(|t| &*t.job == job);
    cluster
        .workers
        .values()
        .filter(|worker| worker.up)
        .filter(runs)
        .map(|w| w.id().clone())
        .collect()
}

// The first ends of the new instance had numbers that were already known, were not read, and were
// acknowledged by the next poll: their tasks counted as lost and ran again.
#[gtest]
fn ends_of_a_restarted_instance_are_received() {
    let mut cluster = start_cluster(61, 1);
    cluster.submit("now", "a", vec![step(6, 1, 300)]);
    cluster.run(seconds(2));
    restart(&mut cluster, "w0-0");
    cluster.run(seconds(2));
    cluster.submit("now", "b", vec![step(4, 1, 300)]);
    cluster.run(seconds(3));
    expect_that!(cluster.state("b"), some(eq(GraphState::Completed)));
    expect_that!(cluster.started_runs, eq(10));
}

// The same where starts reach the new instance before a poll has reported it.
#[gtest]
fn ends_of_an_instance_that_no_poll_has_reported_are_received() {
    for downtime in [30, 60, 100, 200, 400] {
        let mut cluster = start_cluster(62, 1);
        cluster.submit("now", "a", vec![step(6, 1, 300)]);
        cluster.run(seconds(2));
        cluster.crash_and_restart(&"w0-0".into(), Duration::from_millis(downtime));
        for number in 0..40 {
            cluster.submit("now", &format!("b{number}"), vec![step(1, 1, 20)]);
            cluster.run(Duration::from_millis(25));
        }
        cluster.run(seconds(5));
        for number in 0..40 {
            let state = cluster.state(&format!("b{number}"));
            expect_that!(
                state,
                some(eq(GraphState::Completed)),
                "job b{number}, down for {downtime} ms"
            );
        }
    }
}

// The clock of the new instance starts at its initial value, so its reports were treated as older
// than those of the previous one: lasting tasks did not run until the new clock had passed the old
// one.
#[gtest]
fn lasting_tasks_run_again_after_their_worker_has_restarted() {
    let mut cluster = start_cluster(63, 3);
    cluster.submit("now", "a", vec![lasting(3)]);
    cluster.run(seconds(20));
    let worker = workers_running(&cluster, "a").remove(0);
    restart(&mut cluster, &worker);
    cluster.run(seconds(3));
    expect_that!(count_runs(&cluster, "a"), eq(3));
}

// A worker restarts again before a poll has reported the first restart.
#[gtest]
fn lasting_tasks_run_again_after_two_restarts_without_a_poll_between() {
    let mut cluster = start_cluster(64, 2);
    cluster.submit("now", "a", vec![lasting(6)]);
    cluster.run(seconds(10));
    for _ in 0..2 {
        cluster.crash_and_restart(&"w0-0".into(), Duration::from_millis(40));
        cluster.run(Duration::from_millis(60));
    }
    cluster.run(seconds(3));
    expect_that!(count_runs(&cluster, "a"), eq(6));
}

// A start was in transit, unanswered, while its worker restarted. The new instance would still
// accept it, as its clock is far below the time until which the start is valid. The task must not
// start elsewhere before the new instance is certain to refuse it.
#[gtest]
fn a_start_that_a_later_instance_may_still_accept_does_not_run_elsewhere() {
    for late in [600, 900, 1_500, 3_000, 6_000] {
        let mut cluster = start_cluster(65, 2);
        cluster.run(seconds(10));
        cluster.planned_faults.starts.push_back(Some(Duration::from_millis(late)));
        cluster.submit("now", "a", vec![step(1, 1, 2_000)]);
        cluster.run(Duration::from_millis(30));
        let assigned_worker = |cluster: &SimCluster| {
            cluster.leaders.values().next().map(|leader| {
                let mut live = leader.live_tasks();
                live.next().map(|(_, worker)| worker.clone())
            })
        };
        let worker = assigned_worker(&cluster).flatten().expect("no start was sent");
        cluster.crash_and_restart(&worker, Duration::from_millis(100));
        cluster.run(seconds(12));
        expect_that!(cluster.state("a"), some(eq(GraphState::Completed)), "late by {late} ms");
        expect_that!(cluster.started_runs, le(2), "late by {late} ms");
    }
}

// A start without an answer was sent again, and its task ran and ended. The first call was carried out seconds later, by
// the next instance, where nothing had been stopped: the task ran again, and beyond the capacity of the worker.
#[gtest]
fn a_late_start_of_an_ended_run_is_refused_by_the_next_instance() {
    for late in [5_500, 8_000, 11_000] {
        let mut cluster = start_cluster(72, 1);
        cluster.run(seconds(10));
        cluster.planned_faults.starts.push_back(Some(Duration::from_millis(late)));
        cluster.submit("now", "a", vec![step(1, 1, 300)]);
        cluster.run(seconds(2));
        expect_that!(cluster.state("a"), some(eq(GraphState::Completed)), "late by {late} ms");
        restart(&mut cluster, "w0-0");
        cluster.run(seconds(14));
        expect_that!(cluster.started_runs, eq(1), "late by {late} ms");
    }
}

// A start reached an instance that no poll had reported, which holds it for the longest lease by
// the previous instance's clock. The worker was then disconnected: when its lease was over by that
// clock, the task still ran there, and was started elsewhere as well.
#[gtest]
fn a_task_at_an_instance_without_contact_runs_nowhere_else() {
    for seed in 0..8 {
        let mut cluster = start_cluster(170 + seed, 2);
        cluster.keep_ids(seed);
        cluster.run(seconds(10));
        let ids: Vec<WorkerId> = cluster.workers.keys().cloned().collect();
        ids.iter().for_each(|id| cluster.crash_and_restart(id, Duration::from_millis(30)));
        cluster.run(Duration::from_millis(35));
        cluster.submit("now", "a", vec![step(1, 1, 8_000)]);
        while count_runs(&cluster, "a") == 0 {
            cluster.run(Duration::from_millis(5));
        }
        let worker = workers_running(&cluster, "a").remove(0);
        cluster.workers.get_mut(&worker).unwrap().connected = false;
        cluster.run(seconds(20));
        expect_that!(cluster.state("a"), some(eq(GraphState::Completed)), "seed {seed}");
    }
}

// Answers that overtake each other by some milliseconds are no evidence of a new instance: the
// worker still gets tasks while its poll is pending.
#[gtest]
fn reordered_answers_keep_a_worker_schedulable() {
    let mut cluster = start_cluster(71, 1);
    cluster.run(Duration::from_millis(10_300));
    let late = Some(Duration::from_millis(10));
    cluster.planned_faults.starts.extend([late, late]);
    cluster.submit("now", "a", vec![step(2, 1, 5_000)]);
    cluster.run(Duration::from_millis(50));
    let (now, id) = (cluster.now, WorkerId::from("w0-0"));
    let (clock, instance) = (cluster.workers[&id].clock(now), instance_of(&cluster, &id));
    let leader = cluster.leader().unwrap();
    for (task, behind) in [("a.0.0.1", 0), ("a.0.0.0", 3)] {
        let answer = Ok(clock - Duration::from_millis(behind));
        leader.handle_start_result(now, &instance, &task.parse().unwrap(), 1, answer);
    }
    cluster.submit("now", "b", vec![step(1, 1, 5_000)]);
    cluster.run(Duration::from_millis(100));
    expect_that!(count_runs(&cluster, "b"), eq(1));
}

// A worker that answers again under its id was treated as one that had only been silent: tasks that
// crash their workers were started without end.
#[gtest]
fn crashes_of_workers_that_keep_their_ids_count() {
    for downtime in [300, 3_000, 7_000] {
        let mut cluster = start_cluster(66, 8);
        cluster.crash_downtime = Duration::from_millis(downtime);
        cluster.keeps_all_ids = true;
        cluster.crashing_tasks.insert("bad.0.0.0".parse().unwrap(), Duration::from_millis(10));
        cluster.submit("now", "bad", vec![step(4, 1, 800)]);
        cluster.run(seconds(60));
        expect_that!(cluster.state("bad"), some(eq(GraphState::Failed)), "down for {downtime} ms");
    }
}

// The next leader finds a worker in the store by its id, and another instance answers.
#[gtest]
fn a_new_leader_accepts_a_worker_that_has_restarted_since() {
    let mut cluster = start_cluster(67, 2);
    cluster.submit("now", "a", vec![lasting(6)]);
    cluster.submit("later", "b", vec![step(4, 1, 3_000)]);
    cluster.run(seconds(2));
    let epoch = cluster.store.epoch;
    cluster.leaders.remove(&epoch);
    restart(&mut cluster, "w0-0");
    cluster.run(seconds(1));
    cluster.elect();
    cluster.run(seconds(12));
    expect_that!(count_runs(&cluster, "a"), eq(6));
    expect_that!(cluster.state("b"), some(eq(GraphState::Completed)));
}

// The new instance has less capacity than the previous one, and was given tasks by the previous
// one's capacity before it had registered.
#[gtest]
fn an_unregistered_instance_gets_no_tasks() {
    let mut cluster = start_cluster(69, 1);
    cluster.keep_ids(3);
    restart(&mut cluster, "w0-0");
    // The poll that was pending at the previous instance gets no answer.
    cluster.run(DOWNTIME + Duration::from_millis(250));
    cluster.resize(&"w0-0".into(), ResourceVector::new(1_000, 2_000, 0));
    for number in 0..40 {
        cluster.submit("now", &format!("a{number}"), vec![step(1, 2, 100)]);
        cluster.run(Duration::from_millis(50));
        expect_that!(cluster.started_runs, eq(0));
    }
    cluster.submit("now", "b", vec![step(1, 1, 100)]);
    cluster.run(seconds(2));
    expect_that!(cluster.state("b"), some(eq(GraphState::Completed)));
}

// A silent worker was given up with its lease. Then another instance answered a stop, and was given
// tasks before a poll had reported that instance and its capacity.
#[gtest]
fn an_answer_to_a_stop_does_not_make_a_silent_worker_schedulable() {
    let mut cluster = start_cluster(70, 1);
    cluster.keep_ids(3);
    cluster.submit("now", "a", vec![step(1, 1, 60_000)]);
    cluster.run(seconds(1));
    cluster.cancel("a");
    cluster.planned_faults.stops_to_lose = 1;
    cluster.crash_and_restart(&"w0-0".into(), seconds(1));
    cluster.polls_to_lose = 8;
    cluster.run(Duration::from_millis(700));
    cluster.submit("now", "b", vec![step(1, 1, 100)]);
    while cluster.polls_to_lose > 0 {
        cluster.run(Duration::from_millis(10));
        expect_that!(count_runs(&cluster, "b"), eq(0));
    }
    cluster.run(seconds(3));
    expect_that!(cluster.state("b"), some(eq(GraphState::Completed)));
}

// A registration of the previous instance is read again after contact with the new one.
#[gtest]
fn an_old_registration_does_not_restore_an_earlier_instance() {
    let mut cluster = start_cluster(68, 1);
    let old = cluster.workers[&WorkerId::from("w0-0")].registration.clone();
    restart(&mut cluster, "w0-0");
    cluster.run(seconds(2));
    let now = cluster.now;
    cluster.leader().unwrap().worker_registered(now, old);
    cluster.submit("now", "a", vec![step(4, 1, 300)]);
    cluster.run(seconds(3));
    expect_that!(cluster.state("a"), some(eq(GraphState::Completed)));
    expect_that!(cluster.started_runs, eq(4));
}
