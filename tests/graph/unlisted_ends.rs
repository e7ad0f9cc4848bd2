//! Workers that list their ends a page at a time while more of them wait.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::{GraphState, StepSpec};

use crate::sim_cluster::{SimCluster, seconds, step};

/// Ends that a worker lists at a time in these tests.
const LISTED_ENDS: usize = 5;

/// Guards against taking a run for lost whose end is behind the listed ones while the store acknowledges nothing.
#[gtest]
fn a_run_whose_end_is_not_listed_yet_is_not_started_again() {
    let mut cluster = SimCluster::new(71, 2);
    cluster.limit_listed_ends(LISTED_ENDS);
    cluster.run(seconds(1));
    cluster.submit("now", "a", vec![step(60, 1, 200)]);
    cluster.run(Duration::from_millis(100));
    cluster.store.up = false;
    cluster.run(seconds(4));
    cluster.store.up = true;
    cluster.run(seconds(5));
    expect_that!(cluster.state("a"), some(eq(GraphState::Completed)));
    expect_that!(cluster.started_runs, eq(60));
}

/// Guards against a new leader that has read a part of a worker's ends and takes the other runs for ones that never were.
#[gtest]
fn a_new_leader_reads_all_ends_of_a_worker_before_it_starts_tasks_again() {
    let mut cluster = SimCluster::new(72, 2);
    cluster.limit_listed_ends(LISTED_ENDS);
    cluster.run(seconds(1));
    cluster.submit("now", "a", vec![step(16, 1, 200)]);
    cluster.run(Duration::from_millis(100));
    cluster.store.up = false;
    cluster.run(seconds(2));
    let epoch = cluster.store.epoch;
    cluster.leaders.remove(&epoch);
    cluster.elect();
    cluster.run(seconds(2));
    expect_that!(cluster.started_runs, eq(16));
    cluster.store.up = true;
    cluster.run(seconds(5));
    expect_that!(cluster.state("a"), some(eq(GraphState::Completed)));
    expect_that!(cluster.started_runs, eq(16));
}

/// Guards against a worker that serves nothing any more because an end which must not be acknowledged holds back all
/// later ones, until its list shows no new end.
#[gtest]
fn a_worker_whose_list_is_full_behind_a_withheld_end_serves_again() {
    let mut cluster = SimCluster::new(73, 1);
    cluster.limit_listed_ends(LISTED_ENDS);
    cluster.run(seconds(1));
    // The task ends unheard before the worker's lease expires, so that no run shows the expiry.
    cluster.submit("now", "a", vec![step(1, 1, 1_000)]);
    cluster.run(Duration::from_millis(500));
    cluster.workers.values_mut().for_each(|worker| worker.connected = false);
    cluster.run(seconds(7));
    cluster.workers.values_mut().for_each(|worker| worker.connected = true);
    cluster.run(seconds(3));
    let second = StepSpec { after: vec![0], ..step(8, 1, 300) };
    cluster.submit("now", "b", vec![step(8, 1, 300), second]);
    cluster.run(seconds(25));
    expect_that!(cluster.state("a"), some(eq(GraphState::Completed)));
    expect_that!(cluster.state("b"), some(eq(GraphState::Completed)));
}
