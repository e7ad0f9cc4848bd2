//! Workers that announce that they leave: no start is sent to them from then on.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::{GraphState, StepSpec, WorkerId};

use crate::model_worker::ModelWorker;
use crate::sim_cluster::{SimCluster, count_runs, seconds, step};

/// Time after which a start without an answer is sent again or given up, and a stop is answered.
const RETRY_TIME: Duration = Duration::from_millis(700);

/// How much older than its lease a leader's registrations may be in these tests.
const MAX_LAG: Duration = Duration::from_millis(1_300);

/// A cluster whose leader has just confirmed the registrations, and follows them.
fn following_cluster(seed: u64) -> SimCluster {
    let mut cluster = SimCluster::new(seed, 2);
    let epoch = cluster.store.epoch;
    cluster.leaders.remove(&epoch);
    cluster.registration_lag = Some(MAX_LAG);
    cluster.elect();
    cluster.run(Duration::from_millis(500));
    confirm(&mut cluster);
    cluster
}

fn confirm(cluster: &mut SimCluster) {
    let now = cluster.now;
    cluster.leader().unwrap().note_registrations_confirmed(now);
}

// A leader whose watch of the registrations was dead went on starting work by what it knew, for as
// long as the store renewed its lease.
#[gtest]
fn no_work_starts_by_registrations_that_the_store_no_longer_confirms() {
    let mut cluster = following_cluster(73);
    cluster.submit("now", "a", vec![step(1, 1, 60_000)]);
    cluster.run(seconds(1));
    expect_that!(count_runs(&cluster, "a"), eq(1));
    cluster.run(seconds(1));
    cluster.submit("now", "b", vec![step(1, 1, 60_000)]);
    cluster.run(seconds(1));
    expect_that!(cluster.state("b"), some(eq(GraphState::Queued)));
    confirm(&mut cluster);
    cluster.run(Duration::from_millis(200));
    expect_that!(count_runs(&cluster, "b"), eq(1));
}

// A worker whose registration has just been read takes work, also while others are still to be read:
// a read of the whole fleet takes longer than the lag.
#[gtest]
fn work_starts_on_a_worker_whose_registration_has_just_been_read() {
    let mut cluster = following_cluster(74);
    cluster.run(seconds(2));
    cluster.submit("now", "a", vec![step(2, 1, 60_000)]);
    cluster.run(Duration::from_millis(200));
    expect_that!(count_runs(&cluster, "a"), eq(0));
    let now = cluster.now;
    let registration = cluster.workers["w0-0"].registration.clone();
    cluster.leader().unwrap().worker_registered(now, registration);
    cluster.run(Duration::from_millis(200));
    expect_that!(cluster.workers["w0-0"].runs.len(), eq(2));
}

// While the store answers nothing at all, work continues by what is known.
#[gtest]
fn work_starts_while_the_store_does_not_answer() {
    let mut cluster = following_cluster(75);
    let second = StepSpec { after: vec![0], ..step(1, 1, 60_000) };
    cluster.submit("now", "a", vec![step(1, 1, 2_500), second]);
    cluster.run(Duration::from_millis(300));
    confirm(&mut cluster);
    cluster.store.up = false;
    cluster.run(seconds(4));
    expect_that!(cluster.started_runs, eq(2));
}

// Capacity was reserved on a worker that then announced that it leaves: the urgent task waited for it
// until the reservation expired.
#[gtest]
fn a_task_does_not_wait_for_capacity_of_a_worker_that_is_leaving() {
    let mut cluster = SimCluster::new(76, 2);
    cluster.run(seconds(1));
    cluster.submit("later", "a", vec![step(2, 8, 60_000)]);
    cluster.run(seconds(1));
    cluster.submit("now", "b", vec![step(1, 8, 60_000)]);
    let is_stopping =
        |worker: &&ModelWorker| worker.runs.values().any(|run| run.stop_time.is_some());
    let mut stopping = None;
    while stopping.is_none() {
        cluster.run(Duration::from_millis(5));
        stopping = cluster.workers.values().find(is_stopping).map(|worker| worker.id().clone());
    }
    cluster.announce_leaving(&stopping.unwrap(), seconds(5));
    cluster.run(Duration::from_millis(700));
    expect_that!(count_runs(&cluster, "b"), eq(1));
}

// A start that was not answered was sent again, up to four times, although its worker had announced
// in the meantime that it leaves.
#[gtest]
fn a_start_is_not_sent_again_to_a_worker_that_is_leaving() {
    let mut cluster = SimCluster::new(71, 1);
    cluster.run(seconds(1));
    cluster.planned_faults.starts.push_back(None);
    cluster.submit("now", "a", vec![step(1, 1, 60_000)]);
    cluster.run(Duration::from_millis(200));
    let leaving: WorkerId = "w0-0".into();
    cluster.announce_leaving(&leaving, seconds(5));
    cluster.run(RETRY_TIME);
    expect_that!(cluster.started_runs, eq(0));
    cluster.add_worker(1, 0);
    cluster.run(RETRY_TIME);
    expect_that!(count_runs(&cluster, "a"), eq(1));
    expect_true!(cluster.workers["w1-0"].was_assigned("a"));
}

// The same where the worker has left the store's list altogether.
#[gtest]
fn a_start_is_not_sent_again_to_a_worker_that_is_not_registered() {
    let mut cluster = SimCluster::new(72, 1);
    cluster.run(seconds(1));
    cluster.planned_faults.starts.push_back(None);
    cluster.submit("now", "a", vec![step(1, 1, 60_000)]);
    cluster.run(Duration::from_millis(200));
    let now = cluster.now;
    cluster.leader().unwrap().worker_unregistered(now, &"w0-0".into());
    cluster.run(RETRY_TIME);
    expect_that!(cluster.started_runs, eq(0));
}

/// Names of the workers that run tasks of a job.
fn workers_of(cluster: &SimCluster, job: &str) -> Vec<WorkerId> {
    let runs_job = |worker: &&ModelWorker| worker.runs.keys().any(|task| &*task.job == job);
    let workers = cluster.workers.values().filter(|worker| worker.up).filter(runs_job);
    workers.map(|worker| worker.id().clone()).collect()
}

/// Guards against lasting tasks that stay on a leaving worker, end with it and are missing until its lease has expired.
#[gtest]
fn lasting_tasks_move_off_a_worker_that_leaves() {
    let mut cluster = SimCluster::new(75, 3);
    cluster.run(seconds(1));
    let lasting = StepSpec { lasting: true, max_per_worker: Some(2), ..step(4, 1, 600_000) };
    cluster.submit("now", "a", vec![lasting]);
    cluster.run(seconds(1));
    let leaving = workers_of(&cluster, "a")[0].clone();
    cluster.announce_leaving(&leaving, seconds(5));
    cluster.run(seconds(1));
    expect_that!(count_runs(&cluster, "a"), eq(4));
    expect_that!(workers_of(&cluster, "a"), not(contains(eq(&leaving))));
}

/// Guards against moving more tasks of a step at a time than may be missing, and against stopping tasks that no other
/// worker has capacity for.
#[gtest]
fn lasting_tasks_move_only_while_enough_others_work_and_there_is_capacity() {
    let mut cluster = SimCluster::new(76, 3);
    cluster.run(seconds(1));
    let lasting = StepSpec { lasting: true, max_unavailable: Some(1), ..step(6, 4, 600_000) };
    cluster.submit("now", "a", vec![lasting]);
    cluster.run(seconds(1));
    expect_that!(count_runs(&cluster, "a"), eq(6));
    let leaving = workers_of(&cluster, "a")[0].clone();
    cluster.announce_leaving(&leaving, seconds(20));
    cluster.run(seconds(1));
    expect_that!(count_runs(&cluster, "a"), eq(6));
    cluster.add_worker(3, 0);
    let mut fewest = 6;
    for _ in 0..20 {
        cluster.run(Duration::from_millis(100));
        fewest = fewest.min(count_runs(&cluster, "a"));
    }
    expect_that!(fewest, ge(5));
    expect_that!(workers_of(&cluster, "a"), not(contains(eq(&leaving))));
}

/// Guards against a new leader that takes a worker for crashed which had announced that it leaves to its predecessor.
#[gtest]
fn a_worker_that_left_before_a_takeover_has_not_crashed() {
    let mut cluster = SimCluster::new(77, 2);
    cluster.refuses_when_down = true;
    cluster.run(seconds(1));
    let lasting = StepSpec { lasting: true, ..step(2, 8, 600_000) };
    cluster.submit("now", "a", vec![lasting]);
    cluster.run(seconds(1));
    let leaving = workers_of(&cluster, "a")[0].clone();
    cluster.leave(&leaving, Duration::from_millis(600));
    cluster.run(Duration::from_millis(400));
    let epoch = cluster.store.epoch;
    cluster.leaders.remove(&epoch);
    cluster.run(seconds(1));
    cluster.elect();
    let before = cluster.leader().unwrap().instances().get(&leaving).map(|at| at.leaves_at);
    expect_that!(before, some(some(anything())));
    cluster.run(seconds(8));
    expect_that!(count_runs(&cluster, "a"), eq(2));
    expect_that!(cluster.store.jobs["a"].1.crashes.len(), eq(0));
}

/// A cluster of two workers, of which the first runs a task and announces that it leaves in 300 ms.
fn leaving_cluster(seed: u64) -> (SimCluster, WorkerId) {
    let mut cluster = SimCluster::new(seed, 1);
    cluster.run(seconds(1));
    cluster.submit("later", "a", vec![step(1, 1, 60_000)]);
    cluster.run(Duration::from_millis(300));
    cluster.add_worker(1, 0);
    cluster.run(Duration::from_millis(300));
    let leaving = workers_of(&cluster, "a")[0].clone();
    cluster.announce_leaving(&leaving, Duration::from_millis(300));
    (cluster, leaving)
}

fn cut_off_with_refusals(cluster: &mut SimCluster, id: &WorkerId) {
    if let Some(worker) = cluster.workers.get_mut(id) {
        (worker.connected, worker.refuses_when_cut_off) = (false, true);
    }
}

// Connections to a leaving worker were refused as it was cut off, and its registration expired. Its tasks were started
// elsewhere while they still ran there under its lease.
#[gtest]
fn tasks_of_a_leaving_worker_that_refuses_connections_wait_for_its_lease() {
    let (mut cluster, leaving) = leaving_cluster(78);
    cluster.run(seconds(3));
    cut_off_with_refusals(&mut cluster, &leaving);
    cluster.run(Duration::from_millis(1_500));
    let now = cluster.now;
    cluster.leader().unwrap().worker_unregistered(now, &leaving);
    cluster.run(seconds(2));
    expect_that!(workers_of(&cluster, "a"), elements_are![eq(&leaving)]);
    cluster.run(seconds(3));
    expect_that!(workers_of(&cluster, "a"), elements_are![eq(&WorkerId::from("w1-0"))]);
}

// A suspended machine's clock stands still: the registration of the worker was removed for silence, and seemed to be
// removed right after its last report.
#[gtest]
fn a_suspended_leader_does_not_take_a_silent_leaving_worker_for_gone() {
    let (mut cluster, leaving) = leaving_cluster(79);
    cluster.run(Duration::from_millis(500));
    cut_off_with_refusals(&mut cluster, &leaving);
    let now = cluster.now;
    cluster.leader().unwrap().note_suspended(now, Duration::from_millis(100));
    cluster.leader().unwrap().worker_unregistered(now, &leaving);
    cluster.run(seconds(2));
    expect_that!(workers_of(&cluster, "a"), elements_are![eq(&leaving)]);
}

/// Lets the only worker, which has a new task, fall silent, announce then that it leaves, and leave after its lease has
/// expired. Its leader is lost `loss_delay` after the announcement. Returns the cluster once the next worker at the address
/// has answered.
fn silent_leaving_cluster(seed: u64, loss_delay: Duration) -> SimCluster {
    let mut cluster = SimCluster::new(seed, 1);
    cluster.run(seconds(1));
    cluster.submit("now", "a", vec![step(1, 8, 600_000)]);
    cluster.run(Duration::from_millis(300));
    let leaving = workers_of(&cluster, "a")[0].clone();
    if let Some(worker) = cluster.workers.get_mut(&leaving) {
        worker.connected = false;
    }
    cluster.run(seconds(2));
    expect_that!(cluster.store.jobs["a"].1.trials.len(), eq(1));
    cluster.leave(&leaving, seconds(24));
    cluster.run(loss_delay);
    let epoch = cluster.store.epoch;
    cluster.leaders.remove(&epoch);
    cluster.run(Duration::from_millis(100));
    cluster.elect();
    while cluster.workers.contains_key(&leaving) {
        cluster.run(Duration::from_millis(50));
    }
    cluster.run(Duration::from_millis(500));
    expect_that!(cluster.leader().unwrap().instances().get(&leaving).is_none(), eq(true));
    cluster
}

/// Guards against a crash that is counted for a worker that left: its run had become a suspect before the announcement,
/// was given up with the lease, and the next leader took the worker that came next for the proof of a crash. With two
/// doubtful crashes more, the job was shown as failed.
#[gtest]
fn a_worker_that_left_after_a_run_was_given_up_has_not_crashed() {
    let cluster = silent_leaving_cluster(83, Duration::from_millis(24_100));
    expect_that!(cluster.store.jobs["a"].1.crashes.len(), eq(0));
}

/// Guards against the same where the leader is lost before it gives the run up, so that the next one inherits the suspect.
#[gtest]
fn a_worker_that_left_with_an_inherited_suspect_has_not_crashed() {
    let cluster = silent_leaving_cluster(84, seconds(1));
    expect_that!(cluster.store.jobs["a"].1.crashes.len(), eq(0));
}
