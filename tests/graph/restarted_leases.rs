//! Leases of workers that restarted under their ids: a call that was meant for the previous instance gives the
//! new one the longest lease, as its time lies far ahead of the new clock.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::{GraphState, WorkerId};

use crate::model_worker::ModelWorker;
use crate::sim_cluster::{SimCluster, count_runs, seconds, step};

/// Longest lease of workers here, more than twice the one that leaders grant.
const LONGEST_LEASE: Duration = Duration::from_secs(10);

/// A cluster of two workers that accept the longest lease.
fn new_cluster(seed: u64) -> SimCluster {
    let mut cluster = SimCluster::new(seed, 2);
    cluster.accept_leases(LONGEST_LEASE);
    cluster.keep_ids(seed);
    cluster
}

/// Runs until a worker runs the task, and returns that worker.
fn wait_for_run(cluster: &mut SimCluster) -> WorkerId {
    while count_runs(cluster, "a") == 0 {
        cluster.run(Duration::from_millis(5));
    }
    let running =
        cluster.workers.values().find(|worker| worker.runs.keys().any(|task| &*task.job == "a"));
    running.expect("no worker runs the task").id().clone()
}

/// A cluster in which one task runs, on a worker whose new instance took its start by the previous one's clock.
fn restarted_cluster(seed: u64) -> (SimCluster, WorkerId) {
    let mut cluster = new_cluster(seed);
    cluster.run(seconds(15));
    let ids: Vec<WorkerId> = cluster.workers.keys().cloned().collect();
    ids.iter().for_each(|id| cluster.crash_and_restart(id, Duration::from_millis(30)));
    cluster.run(Duration::from_millis(35));
    cluster.submit("now", "a", vec![step(1, 1, 8_500)]);
    let worker = wait_for_run(&mut cluster);
    (cluster, worker)
}

fn disconnect(cluster: &mut SimCluster, worker: &WorkerId) {
    cluster.workers.get_mut(worker).unwrap().connected = false;
}

fn lose_leader(cluster: &mut SimCluster) {
    let epoch = cluster.store.epoch;
    cluster.leaders.remove(&epoch);
}

/// Elects a leader whose predecessor has certainly ended.
fn succeed(cluster: &mut SimCluster) {
    cluster.elect();
    let now = cluster.now;
    cluster.leader().unwrap().note_predecessor_ended(now);
}

/// Loses the leader and a worker, and lets the next leader run until all leases have expired.
fn take_over_without(cluster: &mut SimCluster, worker: &WorkerId) {
    lose_leader(cluster);
    disconnect(cluster, worker);
    cluster.run(Duration::from_millis(700));
    succeed(cluster);
    cluster.run(seconds(25));
}

// The next leader did not reach the worker, waited for the usual lease only and started the task elsewhere, while it
// still ran by the longest one.
#[gtest]
fn a_successor_waits_for_the_longest_lease_of_a_restarted_worker() {
    for seed in 0..8 {
        let (mut cluster, worker) = restarted_cluster(seed);
        cluster.run(seconds(1));
        take_over_without(&mut cluster, &worker);
        expect_that!(cluster.state("a"), some(eq(GraphState::Completed)), "seed {seed}");
    }
}

// The next leader reached the worker, took its lease for the usual one, and lost it soon after.
#[gtest]
fn a_successor_that_loses_a_restarted_worker_waits_for_its_longest_lease() {
    for seed in 0..8 {
        let (mut cluster, worker) = restarted_cluster(seed);
        cluster.run(seconds(1));
        lose_leader(&mut cluster);
        cluster.run(Duration::from_millis(300));
        succeed(&mut cluster);
        cluster.run(Duration::from_millis(200));
        disconnect(&mut cluster, &worker);
        cluster.run(seconds(25));
        expect_that!(cluster.state("a"), some(eq(GraphState::Completed)), "seed {seed}");
    }
}

// The leader was lost before any answer had shown the restart, which the worker's registration shows.
#[gtest]
fn a_successor_waits_for_the_longest_lease_where_a_registration_shows_a_restart() {
    for seed in 0..8 {
        let (mut cluster, worker) = restarted_cluster(seed);
        take_over_without(&mut cluster, &worker);
        expect_that!(cluster.state("a"), some(eq(GraphState::Completed)), "seed {seed}");
    }
}

// A new instance took a start, and was cut off before it had answered anything. Its registration shows the restart; the
// leader gave the task up with the lease of the previous instance and started it elsewhere.
#[gtest]
fn a_leader_waits_for_the_longest_lease_where_a_registration_shows_a_restart() {
    for seed in 0..8 {
        let mut cluster = new_cluster(seed);
        cluster.run(seconds(15));
        let ids: Vec<WorkerId> = cluster.workers.keys().cloned().collect();
        ids.iter().for_each(|id| cluster.crash_and_restart(id, Duration::from_millis(30)));
        cluster.run(Duration::from_millis(35));
        cluster.faults.unanswered = 1_000;
        cluster.submit("now", "a", vec![step(1, 1, 8_500)]);
        let worker = wait_for_run(&mut cluster);
        disconnect(&mut cluster, &worker);
        cluster.faults.unanswered = 0;
        cluster.run(seconds(25));
        expect_that!(cluster.state("a"), some(eq(GraphState::Completed)), "seed {seed}");
    }
}

// A start that the previous instance had left unanswered reached the new one seconds after its first answer. It was
// refused, as its run had been stopped, but its time extended the lease. The leader counted the longest lease from the
// first answer on, and started a task of the worker elsewhere while it still ran.
#[gtest]
fn a_leader_waits_for_the_lease_of_a_late_start() {
    for seed in 0..8 {
        let mut cluster = new_cluster(seed);
        cluster.run(seconds(15));
        cluster.planned_faults.starts.push_back(Some(seconds(8)));
        cluster.submit("now", "late", vec![step(1, 1, 300)]);
        cluster.run(seconds(2));
        expect_that!(cluster.state("late"), some(eq(GraphState::Completed)), "seed {seed}");
        let ran = |worker: &&ModelWorker| worker.was_assigned("late");
        let worker = cluster.workers.values().find(ran).unwrap().id().clone();
        cluster.crash_and_restart(&worker, Duration::from_millis(30));
        cluster.run(seconds(5));
        // Each fills a worker.
        for job in ["a", "b"] {
            cluster.submit("now", job, vec![step(1, 8, 10_000)]);
        }
        cluster.run(Duration::from_millis(1_300));
        let runs_a = cluster.workers[&worker].was_assigned("a");
        let (long, other) = if runs_a { ("a", "b") } else { ("b", "a") };
        expect_that!(count_runs(&cluster, long), eq(1), "seed {seed}");
        disconnect(&mut cluster, &worker);
        cluster.cancel(other);
        cluster.run(seconds(35));
        expect_that!(cluster.state(long), some(eq(GraphState::Completed)), "seed {seed}");
    }
}
