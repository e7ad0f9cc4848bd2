//! Calls that were meant for an earlier instance of a worker and are carried out, seconds later, by the next one under
//! its id: their times lie far ahead of its clock, so that it holds the longest lease from their arrival on.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::{GraphState, WorkerId};

use crate::sim_cluster::{SimCluster, count_runs, seconds, step};

/// Longest lease of workers here, more than twice the one that leaders grant.
const LONGEST_LEASE: Duration = Duration::from_secs(10);
/// How long a restarting worker is down.
const DOWNTIME: Duration = Duration::from_millis(30);

/// A cluster of two workers that accept the longest lease, with a clock that has run for a while.
fn start_cluster(seed: u64) -> SimCluster {
    let mut cluster = SimCluster::new(seed, 2);
    cluster.accept_leases(LONGEST_LEASE);
    cluster.keep_ids(seed);
    cluster.run(seconds(15));
    cluster
}

/// Restarts a worker while a poll is on its way to it, which is carried out `delay` after it was sent.
fn restart_with_late_poll(cluster: &mut SimCluster, worker: &WorkerId, delay: Duration) {
    cluster.planned_faults.polls.insert(worker.clone(), delay);
    while cluster.planned_faults.polls.contains_key(worker) {
        cluster.run(Duration::from_millis(5));
    }
    cluster.crash_and_restart(worker, DOWNTIME);
}

/// Fills both workers with a task each, and returns the job whose task runs on `worker` and the other one.
fn fill(
    cluster: &mut SimCluster,
    worker: &WorkerId,
    run_time_ms: u64,
) -> (&'static str, &'static str) {
    for job in ["a", "b"] {
        cluster.submit("now", job, vec![step(1, 8, run_time_ms)]);
    }
    while count_runs(cluster, "a") + count_runs(cluster, "b") < 2 {
        cluster.run(Duration::from_millis(5));
    }
    match cluster.workers[worker].was_assigned("a") {
        true => ("a", "b"),
        false => ("b", "a"),
    }
}

/// Runs until a task is assigned to a worker, and returns that worker.
fn wait_for_assignment(cluster: &mut SimCluster) -> WorkerId {
    loop {
        cluster.run(Duration::from_millis(5));
        let mut live_tasks = cluster.leader().unwrap().live_tasks();
        if let Some((_, worker)) = live_tasks.next() {
            return worker.clone();
        }
    }
}

/// Cuts a worker off, and makes room elsewhere.
fn cut_off(cluster: &mut SimCluster, worker: &WorkerId, elsewhere: &str) {
    cluster.workers.get_mut(worker).unwrap().connected = false;
    cluster.cancel(elsewhere);
}

// The leader counted the longest lease from the first answer of the new instance on. A poll that the previous instance
// had left unanswered extended it from its arrival, and the worker's task was started elsewhere while it still ran.
#[gtest]
fn a_leader_waits_for_the_lease_of_a_late_poll() {
    for seed in 0..8 {
        let (mut cluster, worker) = (start_cluster(seed), WorkerId::from("w0-0"));
        restart_with_late_poll(&mut cluster, &worker, seconds(6));
        cluster.run(seconds(5));
        let (job, other) = fill(&mut cluster, &worker, 10_000);
        cluster.run(Duration::from_millis(1_500));
        cut_off(&mut cluster, &worker, other);
        cluster.run(seconds(35));
        expect_that!(cluster.state(job), some(eq(GraphState::Completed)), "seed {seed}");
    }
}

// The same where the poll arrives after the worker was cut off.
#[gtest]
fn a_leader_waits_for_the_lease_of_a_poll_that_a_worker_carries_out_behind_a_cut() {
    for seed in 0..8 {
        let (mut cluster, worker) = (start_cluster(seed), WorkerId::from("w0-0"));
        restart_with_late_poll(&mut cluster, &worker, seconds(9));
        cluster.run(seconds(5));
        let (job, other) = fill(&mut cluster, &worker, 13_000);
        cluster.run(Duration::from_millis(500));
        cut_off(&mut cluster, &worker, other);
        cluster.run(seconds(35));
        expect_that!(cluster.state(job), some(eq(GraphState::Completed)), "seed {seed}");
    }
}

// A start was on its way while its worker restarted, and was found to be unanswered after the first answer of the new
// instance. It was refused there seconds later, as its run had been stopped, but its time extended the lease.
#[gtest]
fn a_leader_waits_for_the_lease_of_a_start_that_was_on_its_way_at_a_restart() {
    for seed in 0..8 {
        let mut cluster = start_cluster(seed);
        let ids: Vec<WorkerId> = cluster.workers.keys().cloned().collect();
        ids.iter().for_each(|id| cluster.crash_and_restart(id, Duration::from_millis(500)));
        cluster.run(Duration::from_millis(300));
        cluster.planned_faults.starts.push_back(Some(seconds(8)));
        cluster.submit("now", "late", vec![step(1, 1, 300)]);
        let worker = wait_for_assignment(&mut cluster);
        cluster.run(Duration::from_millis(6_500));
        let (job, other) = fill(&mut cluster, &worker, 11_000);
        cluster.run(seconds(2));
        cut_off(&mut cluster, &worker, other);
        cluster.run(seconds(35));
        expect_that!(cluster.state(job), some(eq(GraphState::Completed)), "seed {seed}");
    }
}

// The start of a run was on its way while its worker restarted, and was found to be unanswered after the next instance
// had answered and stopped the run. The one after that knew nothing of the stop, carried the start out and ran the task
// a second time.
#[gtest]
fn a_start_that_was_on_its_way_at_a_restart_is_stopped_after_another_one() {
    for seed in 0..8 {
        let mut cluster = SimCluster::new(seed, 1);
        cluster.run(seconds(15));
        let worker = WorkerId::from("w0-0");
        cluster.crash_and_restart(&worker, Duration::from_millis(500));
        cluster.run(Duration::from_millis(300));
        cluster.planned_faults.starts.push_back(Some(seconds(8)));
        cluster.submit("now", "a", vec![step(1, 1, 300)]);
        cluster.run(seconds(4));
        expect_that!(cluster.state("a"), some(eq(GraphState::Completed)), "seed {seed}");
        cluster.crash_and_restart(&worker, DOWNTIME);
        cluster.run(seconds(6));
        expect_that!(cluster.started_runs, eq(1), "seed {seed}");
    }
}

// A leader was lost together with a worker that had restarted. A poll that this leader had sent to the previous instance
// was carried out seconds later, and the next leader had waited for calls that arrive within half a second only.
#[gtest]
fn a_successor_waits_for_the_lease_of_a_late_poll_of_its_predecessor() {
    for seed in 0..8 {
        let (mut cluster, worker) = (start_cluster(seed), WorkerId::from("w0-0"));
        restart_with_late_poll(&mut cluster, &worker, Duration::from_millis(5_500));
        cluster.run(Duration::from_millis(1_500));
        let (job, other) = fill(&mut cluster, &worker, 14_500);
        cluster.run(Duration::from_millis(300));
        let epoch = cluster.store.epoch;
        cluster.leaders.remove(&epoch);
        cluster.workers.get_mut(&worker).unwrap().connected = false;
        cluster.run(Duration::from_millis(700));
        cluster.elect();
        let now = cluster.now;
        cluster.leader().unwrap().note_predecessor_ended(now);
        cluster.cancel(other);
        cluster.run(seconds(40));
        expect_that!(cluster.state(job), some(eq(GraphState::Completed)), "seed {seed}");
    }
}
