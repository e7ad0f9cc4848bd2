//! Workers of different speeds: what a leader learns about them, and where it places work.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use kelplink::{GraphState, HealthRank, StepSpec, WorkerId};

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

/// Numbers of the workers that run tasks of a job.
fn workers_of(cluster: &SimCluster, job: &str) -> Vec<u32> {
    let runs = |number: &u32| {
        let worker = &cluster.workers[&WorkerId::from(format!("w{number}-0"))];
        worker.runs.keys().any(|task| &*task.job == job)
    };
    (0..cluster.workers.len() as u32).filter(runs).collect()
}

// Lasting and best-effort tasks took fast workers at random, and urgent tasks ran on slow workers while fast ones were
// free.
#[gtest]
fn urgent_tasks_get_fast_workers_and_lasting_ones_slow_workers() {
    let mut cluster = uneven_cluster(76, 9);
    submit_load(&mut cluster, "a", 60, Duration::from_millis(350));
    cluster.run(seconds(15));
    let lasting = StepSpec { lasting: true, ..step(6, 4, 600_000) };
    cluster.submit("later", "lasting", vec![lasting]);
    cluster.run(seconds(1));
    cluster.submit("now", "urgent", vec![step(10, 2, DECLARED_MS)]);
    cluster.run(Duration::from_millis(200));
    expect_that!(workers_of(&cluster, "lasting"), each(predicate(|n: &u32| !n.is_multiple_of(3))));
    expect_that!(workers_of(&cluster, "urgent"), each(predicate(|n: &u32| n.is_multiple_of(3))));
    expect_that!(
        (workers_of(&cluster, "lasting").len(), workers_of(&cluster, "urgent").len()),
        (ge(3), eq(3))
    );
}

// A task was placed near its data whatever the speed of the worker there: where the distance costs less than the slow
// worker, it ends later.
#[gtest]
fn a_fast_remote_worker_beats_a_slow_local_one_only_where_distance_costs_less() {
    for (factor, is_remote) in [(1.5, true), (3.0, false)] {
        let mut cluster = uneven_cluster(77, 8);
        cluster.remote_rack_factor = factor;
        cluster.elect();
        cluster.run(seconds(1));
        submit_load(&mut cluster, "a", 60, Duration::from_millis(350));
        cluster.run(seconds(15));
        // Only the second rack, of workers 4 to 7, has a single fast worker; it is full.
        let rack = cluster.workers["w6-0"].registration.rack.clone();
        let full = StepSpec { affinity: Some(rack.clone()), ..step(1, 8, 60_000) };
        cluster.submit("now", "full", vec![full]);
        cluster.run(Duration::from_millis(500));
        expect_that!(workers_of(&cluster, "full"), elements_are![eq(&6)], "{factor}");
        cluster.submit("now", "b", vec![StepSpec { affinity: Some(rack), ..step(1, 1, 800) }]);
        cluster.run(Duration::from_millis(200));
        let workers = workers_of(&cluster, "b");
        expect_that!(workers.len(), eq(1), "{factor}");
        expect_that!(workers.iter().all(|number| *number < 4), eq(is_remote), "{factor}");
    }
}

// Long work was kept off fast workers, or took all of them: it has to use them, but leave a quarter to urgent work
// while slow workers have capacity.
#[gtest]
fn long_work_uses_fast_workers_but_leaves_some_to_urgent_work() {
    let mut cluster = uneven_cluster(78, 9);
    submit_load(&mut cluster, "a", 60, Duration::from_millis(350));
    cluster.run(seconds(15));
    let config = Arc::make_mut(&mut cluster.config);
    Arc::make_mut(config.queues.get_mut("later").unwrap()).slack = 3.0;
    cluster.submit("later", "long", vec![step(24, 2, 60_000)]);
    cluster.run(seconds(1));
    let used = |numbers: &dyn Fn(u32) -> bool| {
        let workers = (0..9).filter(|number| numbers(*number));
        let runs = workers.map(|n| cluster.workers[&WorkerId::from(format!("w{n}-0"))].runs.len());
        runs.sum::<usize>()
    };
    expect_that!(used(&|number| number % 3 == 0), all![ge(8), le(10)]);
    expect_that!(used(&|number| number % 3 != 0), ge(14));
}

/// Workers of the tasks that run.
fn placements(cluster: &SimCluster) -> BTreeMap<String, WorkerId> {
    let runs = cluster
        .workers
        .values()
        .flat_map(|worker| worker.runs.keys().map(|task| (task.to_string(), worker.id().clone())));
    runs.collect()
}

// Deployments of equal workers must be served as before: what a leader has learned about equal workers changes no
// placement, compared to a leader that knows nothing about speeds.
#[gtest]
fn what_is_learned_about_equal_workers_changes_no_placement() {
    let place = |forgets: bool| {
        let mut cluster = SimCluster::new(79, 8);
        cluster.run(seconds(1));
        submit_load(&mut cluster, "a", 40, Duration::from_millis(350));
        cluster.run(seconds(15));
        if forgets {
            let epoch = cluster.store.epoch;
            cluster.leaders.remove(&epoch);
            cluster.elect();
        }
        cluster.run(seconds(5));
        let known = relative_speed(&mut cluster, "w0-0").is_some();
        let rack = cluster.workers["w6-0"].registration.rack.clone();
        let near = StepSpec { affinity: Some(rack), ..step(7, 3, 60_000) };
        let lasting = StepSpec { lasting: true, ..step(3, 2, 600_000) };
        let best_effort = StepSpec { best_effort: true, ..step(3, 1, 600_000) };
        cluster.submit("now", "near", vec![near, step(4, 1, 60_000)]);
        cluster.submit("later", "far", vec![step(5, 2, 60_000), lasting, best_effort]);
        cluster.run(seconds(2));
        (known, placements(&cluster))
    };
    let ((known, learned), (known_anew, anew)) = (place(false), place(true));
    expect_that!((known, known_anew), (eq(true), eq(false)));
    expect_that!(learned.len(), eq(22));
    expect_that!(learned, eq(&anew));
}

/// Number of urgent jobs that end in time, which is 1.5 times their true length and 250 ms. With `known_figures` their
/// declared times are right, and the leader has learned the speeds of the workers before.
fn count_in_time(known_figures: bool) -> usize {
    let mut cluster = uneven_cluster(80, 9);
    if known_figures {
        submit_load(&mut cluster, "before", 60, Duration::from_millis(350));
        cluster.run(seconds(15));
    }
    let mut open: Vec<(String, Duration)> = Vec::new();
    let mut in_time = 0;
    for tick in 0..900 {
        let number = tick / 7;
        if tick % 7 == 0 && number < 90 {
            let length = LENGTHS[number % LENGTHS.len()] * if number % 30 == 17 { 7 } else { 1 };
            let true_time = Duration::from_millis(DECLARED_MS) * length / 100;
            let id = format!("b{number}");
            let declared = match known_figures {
                true => true_time,
                false => Duration::from_millis(DECLARED_MS),
            };
            let percent = if known_figures { 100 } else { length };
            cluster.length_percents.insert(id.as_str().into(), percent);
            let task = StepSpec { estimate: declared, ..step(10, 2, DECLARED_MS) };
            cluster.submit("now", &id, vec![task]);
            open.push((id, true_time * 3 / 2 + Duration::from_millis(250)));
        }
        cluster.run(Duration::from_millis(50));
        open.retain_mut(|(id, time_left)| {
            *time_left = time_left.saturating_sub(Duration::from_millis(50));
            let is_done = cluster.state(id) == Some(GraphState::Completed);
            in_time += usize::from(is_done);
            !is_done && !time_left.is_zero()
        });
    }
    in_time
}

// Wrong declared times and jobs that take seven times as long must not hide which workers are fast: urgent jobs then
// end late for lack of fast workers.
#[gtest]
fn as_many_urgent_jobs_are_in_time_as_with_known_figures() {
    let (learned, known) = (count_in_time(false), count_in_time(true));
    expect_that!(known, ge(70));
    expect_that!(learned * 10, ge(known * 9));
}
