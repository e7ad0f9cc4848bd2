//! Workers of different speeds: what a leader learns about them, and where it places work.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::{GraphState, HealthRank, WorkerId};

use crate::sim_cluster::{SimCluster, seconds, step};

/// Declared run time of the tasks of [`submit_load`], in milliseconds.
const DECLARED_MS: u64 = 800;

/// True lengths of successive jobs, in percent of the declared ones: off by up to 0.9 in both directions.
const LENGTHS: [u32; 6] = [100, 190, 60, 30, 150, 80];

/// Creates a cluster in which every third worker has a speed of 1.7, the others one of 0.7.
fn uneven_cluster(seed: u64, workers: u32) -> SimCluster {
    let mut cluster = SimCluster::new(seed, workers);
    for number in 0..workers {
        let worker = cluster.workers.get_mut(&WorkerId::from(format!("w{number}-0"))).unwrap();
        worker.speed_percent = if number % 3 == 0 { 170 } else { 70 };
    }
    cluster.run(seconds(1));
    cluster
}

/// Submits urgent jobs of ten tasks, `pause` apart. One in thirty takes seven times as long as the others.
fn submit_load(cluster: &mut SimCluster, name: &str, jobs: usize, pause: Duration) {
    for number in 0..jobs {
        let id = format!("{name}{number}");
        let length = LENGTHS[number % LENGTHS.len()] * if number % 30 == 17 { 7 } else { 1 };
        cluster.length_percents.insert(id.as_str().into(), length);
        cluster.submit("now", &id, vec![step(10, 2, DECLARED_MS)]);
        cluster.run(pause);
    }
}

fn relative_speed(cluster: &mut SimCluster, worker: &str) -> Option<f64> {
    let now = cluster.now;
    cluster.leader().unwrap().instances().relative_speed(now, &worker.into())
}

fn rank(cluster: &mut SimCluster, worker: &str) -> HealthRank {
    let now = cluster.now;
    cluster.leader().unwrap().instances().get(&worker.into()).unwrap().rank(now)
}

// A worker's speed was judged by declared run times and capped at 1.0, so that fast workers were not told from slow
// ones, and a wrong declared time counted as a slow worker.
#[gtest]
fn speeds_are_learned_although_declared_times_are_wrong() {
    let mut cluster = uneven_cluster(71, 9);
    submit_load(&mut cluster, "a", 60, Duration::from_millis(350));
    let speed =
        |cluster: &mut SimCluster, number: u32| relative_speed(cluster, &format!("w{number}-0"));
    let slow: Vec<f64> =
        (0..9).filter(|n| n % 3 != 0).filter_map(|n| speed(&mut cluster, n)).collect();
    let fast: Vec<f64> = (0..9).step_by(3).filter_map(|n| speed(&mut cluster, n)).collect();
    expect_that!((slow.len(), fast.len()), (ge(2), eq(3)));
    let ratios = fast.iter().flat_map(|fast| slow.iter().map(move |slow| fast / slow));
    for ratio in ratios {
        expect_that!(ratio, all![gt(1.7), lt(3.2)]);
    }
    expect_that!(cluster.leader().unwrap().instances().class_speeds().len(), eq(2));
}

// A job that takes seven times as long as declared made every worker that ran it count as slow.
#[gtest]
fn a_job_that_takes_seven_times_as_long_makes_no_worker_doubtful() {
    let mut cluster = SimCluster::new(72, 6);
    cluster.run(seconds(1));
    cluster.length_percents.insert("long".into(), 700);
    cluster.submit("now", "long", vec![step(12, 4, 2_000)]);
    cluster.run(seconds(10));
    for number in 0..6 {
        expect_that!(rank(&mut cluster, &format!("w{number}-0")), eq(HealthRank::Sound));
    }
}

// A worker that turns six times slower must be found by comparison with others, also while a declared time of twice
// the true one makes its runs look only three times slower, and must be used again once it has recovered.
#[gtest]
fn a_worker_that_turns_slower_is_doubtful_until_it_recovers() {
    let mut cluster = SimCluster::new(73, 4);
    cluster.run(seconds(1));
    let load = |cluster: &mut SimCluster, name: &str, jobs: usize| {
        for number in 0..jobs {
            let id = format!("{name}{number}");
            cluster.length_percents.insert(id.as_str().into(), 50);
            cluster.submit("now", &id, vec![step(8, 2, 3_000)]);
            cluster.run(Duration::from_millis(1_000));
        }
    };
    load(&mut cluster, "before", 10);
    cluster.workers.get_mut(&WorkerId::from("w1-0")).unwrap().slowdown = 6;
    load(&mut cluster, "during", 4);
    expect_that!(rank(&mut cluster, "w1-0"), eq(HealthRank::Doubtful));
    for number in [0, 2, 3] {
        expect_that!(rank(&mut cluster, &format!("w{number}-0")), eq(HealthRank::Sound));
    }
    cluster.workers.get_mut(&WorkerId::from("w1-0")).unwrap().slowdown = 1;
    load(&mut cluster, "after", 20);
    expect_that!(rank(&mut cluster, "w1-0"), eq(HealthRank::Sound));
    let speed = relative_speed(&mut cluster, "w1-0");
    expect_that!(speed, none().or(some(gt(0.8))));
}

// The next instance of a worker may be of another kind; the speed of the previous one says nothing about it.
#[gtest]
fn a_later_instance_starts_without_a_speed() {
    let mut cluster = uneven_cluster(74, 6);
    submit_load(&mut cluster, "a", 40, Duration::from_millis(350));
    cluster.run(seconds(15));
    expect_that!(relative_speed(&mut cluster, "w0-0"), some(gt(1.2)));
    cluster.crash_and_restart(&"w0-0".into(), Duration::from_millis(500));
    cluster.run(seconds(2));
    expect_that!(relative_speed(&mut cluster, "w0-0"), none());
    cluster.workers.get_mut(&WorkerId::from("w0-0")).unwrap().speed_percent = 70;
    submit_load(&mut cluster, "b", 60, Duration::from_millis(350));
    expect_that!(relative_speed(&mut cluster, "w0-0"), none().or(some(lt(1.1))));
    for number in 0..40 {
        expect_that!(cluster.state(&format!("a{number}")), some(eq(GraphState::Completed)));
    }
}

// Equal workers form one class, whatever their tasks' declared times are: placement is as before.
#[gtest]
fn equal_workers_form_one_class() {
    let mut cluster = SimCluster::new(75, 8);
    cluster.run(seconds(1));
    for part in 0..6 {
        submit_load(&mut cluster, &format!("part{part}-"), 10, Duration::from_millis(350));
        expect_that!(cluster.leader().unwrap().instances().class_speeds().len(), le(1));
    }
}
