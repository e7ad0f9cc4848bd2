//! What a leader reports about jobs that it took over from its predecessor.

use std::collections::BTreeMap;
use std::time::Duration;

use googletest::prelude::*;
use kelplink::{
    GraphProgress, GraphState, InstanceId, StepKey, StepSpec, SuspectRun, TaskKey, WorkerId,
    WorkerRefusal,
};

use crate::sim_cluster::{SimCluster, count_runs, seconds, step};

/// The only task of a job with one task.
const TASK: TaskKey = TaskKey::new(0, 0, 0);

/// A cluster whose workers the leader has claimed.
fn claimed_cluster(seed: u64, workers: u32) -> SimCluster {
    let mut cluster = SimCluster::new(seed, workers);
    cluster.refuses_when_down = true;
    cluster.run(seconds(1));
    cluster
}

fn set_connected(cluster: &mut SimCluster, connected: bool) {
    for worker in cluster.workers.values_mut() {
        worker.connected = connected;
    }
}

/// Disconnects all workers and submits a job, whose starts therefore reach none of them.
fn submit_while_disconnected(cluster: &mut SimCluster, steps: Vec<StepSpec>) {
    set_connected(cluster, false);
    cluster.submit("now", "a", steps);
}

/// Removes the leader and elects another.
fn take_over(cluster: &mut SimCluster) {
    let epoch = cluster.store.epoch;
    cluster.leaders.remove(&epoch);
    cluster.elect();
}

/// The reported state of job `a`, and the number of pending jobs in its queue.
fn shown_state(cluster: &mut SimCluster) -> (Option<GraphState>, usize) {
    let state = cluster.state("a");
    (state, cluster.leader().map_or(0, |leader| leader.jobs().pending("now")))
}

/// What a new leader reports about a job whose stored progress was changed by `note`.
fn shown_after(seed: u64, note: impl FnOnce(&mut GraphProgress)) -> (Option<GraphState>, usize) {
    let mut cluster = SimCluster::new(seed, 0);
    cluster.run(seconds(1));
    cluster.submit("now", "a", vec![step(1, 1, 500), step(1, 1, 500)]);
    cluster.run(seconds(1));
    note(&mut cluster.store.jobs.get_mut("a").unwrap().1);
    take_over(&mut cluster);
    shown_state(&mut cluster)
}

fn suspect_run() -> SuspectRun {
    let address = "10.0.0.1:80".parse().unwrap();
    SuspectRun { run: 1, worker: "w0-0".into(), address, instance_start: None }
}

const QUEUED: (Option<GraphState>, usize) = (Some(GraphState::Queued), 1);
const RUNNING: (Option<GraphState>, usize) = (Some(GraphState::Running), 0);

// Five jobs had been accepted and no worker had started any of their tasks, but the answer to a
// caller was that no job was pending. Their starts were stored as suspect runs, and the next leader
// treated these as started tasks.
#[gtest]
fn a_job_whose_starts_were_never_carried_out_is_counted_after_a_takeover() {
    let mut cluster = claimed_cluster(71, 2);
    submit_while_disconnected(&mut cluster, vec![step(1, 1, 500)]);
    cluster.run(seconds(8));
    expect_that!(shown_state(&mut cluster), eq(QUEUED));
    cluster.elect();
    expect_that!(shown_state(&mut cluster), eq(QUEUED));
    cluster.run(seconds(1));
    expect_that!(shown_state(&mut cluster), eq(QUEUED));
}

#[gtest]
fn jobs_whose_starts_were_never_carried_out_are_all_counted_after_a_takeover() {
    let mut cluster = claimed_cluster(72, 4);
    set_connected(&mut cluster, false);
    for number in 0..5 {
        cluster.submit("now", &format!("job{number}"), vec![step(2, 1, 500)]);
    }
    cluster.run(seconds(8));
    take_over(&mut cluster);
    let pending = cluster.leader().map(|leader| leader.jobs().pending("now"));
    expect_that!(pending, some(eq(5)));
}

#[gtest]
fn a_gang_whose_starts_were_never_carried_out_is_counted_after_a_takeover() {
    let mut cluster = claimed_cluster(73, 4);
    submit_while_disconnected(&mut cluster, vec![StepSpec { gang: true, ..step(3, 1, 500) }]);
    cluster.run(seconds(8));
    take_over(&mut cluster);
    expect_that!(shown_state(&mut cluster), eq(QUEUED));
}

#[gtest]
fn a_job_whose_workers_were_lost_with_its_starts_is_counted_after_a_takeover() {
    let mut cluster = claimed_cluster(74, 2);
    cluster.submit("now", "a", vec![step(1, 1, 500)]);
    cluster.workers.values_mut().for_each(|worker| worker.up = false);
    cluster.run(seconds(8));
    take_over(&mut cluster);
    expect_that!(shown_state(&mut cluster), eq(QUEUED));
}

#[gtest]
fn a_job_whose_starts_were_never_carried_out_is_counted_after_two_takeovers() {
    let mut cluster = claimed_cluster(75, 2);
    submit_while_disconnected(&mut cluster, vec![step(1, 1, 500)]);
    cluster.run(seconds(8));
    take_over(&mut cluster);
    cluster.run(seconds(8));
    take_over(&mut cluster);
    expect_that!(shown_state(&mut cluster), eq(QUEUED));
    cluster.run(seconds(20));
    expect_that!(shown_state(&mut cluster), eq(QUEUED));
    expect_that!(cluster.started_runs, eq(0));
}

// A leader that has lost workers before contact records starts of inherited jobs as suspect runs
// when it sends them.
#[gtest]
fn a_job_with_a_refused_suspect_run_is_counted_after_a_takeover() {
    let mut cluster = claimed_cluster(76, 2);
    for worker in cluster.workers.values_mut() {
        worker.start_refusal = Some(WorkerRefusal::NoRoom);
    }
    cluster.submit("now", "a", vec![step(1, 1, 500)]);
    cluster.run(seconds(1));
    let epoch = cluster.store.epoch;
    cluster.leaders.remove(&epoch);
    cluster.add_worker(1, 1);
    cluster.workers.get_mut("w1-1").unwrap().start_refusal = Some(WorkerRefusal::NoRoom);
    cluster.elect();
    cluster.run(seconds(10));
    let suspect_runs = &cluster.store.jobs["a"].1.trials;
    expect_false!(suspect_runs.is_empty(), "no suspect run was stored");
    expect_that!(shown_state(&mut cluster), eq(QUEUED));
    take_over(&mut cluster);
    expect_that!(shown_state(&mut cluster), eq(QUEUED));
    expect_that!(cluster.started_runs, eq(0));
}

// A worker crashes and is back before the leader learns that a start never arrived there.
#[gtest]
fn a_job_whose_worker_crashed_before_a_start_arrived_is_counted_after_a_takeover() {
    let mut cluster = claimed_cluster(77, 1);
    cluster.crash_downtime = Duration::from_millis(200);
    cluster.planned_faults.starts.extend([None; 100]);
    cluster.submit("now", "a", vec![step(1, 1, 500)]);
    cluster.run(Duration::from_millis(100));
    cluster.crash(&"w0-0".into());
    cluster.run(seconds(1));
    expect_that!(cluster.store.jobs["a"].1.crashes.len(), eq(1));
    expect_that!(shown_state(&mut cluster), eq(QUEUED));
    take_over(&mut cluster);
    expect_that!(shown_state(&mut cluster), eq(QUEUED));
    expect_that!(cluster.started_runs, eq(0));
}

#[gtest]
fn a_stored_floor_is_no_started_task() {
    let shown = shown_after(78, |progress| {
        progress.floors.insert(TASK, 7);
    });
    expect_that!(shown, eq(QUEUED));
}

#[gtest]
fn another_failure_domain_is_no_started_task() {
    let shown = shown_after(79, |progress| {
        progress.domains.insert("d1".into());
    });
    expect_that!(shown, eq(QUEUED));
}

#[gtest]
fn a_suspect_run_is_no_started_task() {
    let shown = shown_after(80, |progress| {
        progress.note_suspect_run(TASK, suspect_run());
    });
    expect_that!(shown, eq(QUEUED));
}

#[gtest]
fn an_unproven_crash_is_no_started_task() {
    let shown = shown_after(81, |progress| {
        progress.crashes.insert(TASK, BTreeMap::from([(1, false)]));
    });
    expect_that!(shown, eq(QUEUED));
}

#[gtest]
fn all_records_of_unproven_starts_are_no_started_task() {
    let shown = shown_after(82, |progress| {
        progress.note_suspect_run(TASK, SuspectRun { run: 2, ..suspect_run() });
        progress.crashes.insert(TASK, BTreeMap::from([(1, false)]));
        progress.floors.insert(TASK, 2);
        progress.domains.insert("d1".into());
    });
    expect_that!(shown, eq(QUEUED));
}

#[gtest]
fn a_proven_crash_is_a_started_task() {
    let shown = shown_after(83, |progress| {
        progress.crashes.insert(TASK, BTreeMap::from([(1, true)]));
    });
    expect_that!(shown, eq(RUNNING));
}

#[gtest]
fn a_success_a_failure_and_a_checkpoint_are_started_tasks() {
    let done = shown_after(84, |progress| {
        progress.done.entry(StepKey { occurrence: 0, step: 0 }).or_default().insert(0);
    });
    expect_that!(done, eq(RUNNING));
    let failed = shown_after(85, |progress| {
        progress.failures.entry(TASK).or_default().insert(1);
    });
    expect_that!(failed, eq(RUNNING));
    let checkpoint = shown_after(86, |progress| {
        progress.saved.insert(TASK, "half".to_owned());
    });
    expect_that!(checkpoint, eq(RUNNING));
}

#[gtest]
fn a_job_whose_first_task_succeeded_is_running_after_loss_of_its_worker_and_a_takeover() {
    let mut cluster = claimed_cluster(87, 1);
    let second = StepSpec { after: vec![0], ..step(1, 1, 60_000) };
    cluster.submit("now", "a", vec![step(1, 1, 200), second]);
    cluster.run(seconds(1));
    cluster.workers.values_mut().for_each(|worker| worker.up = false);
    take_over(&mut cluster);
    expect_that!(shown_state(&mut cluster), eq(RUNNING));
}

#[gtest]
fn a_job_whose_task_failed_is_running_after_loss_of_its_worker_and_a_takeover() {
    let mut cluster = claimed_cluster(88, 1);
    cluster.failing_jobs.insert("a".into());
    cluster.submit("now", "a", vec![step(1, 1, 500)]);
    cluster.run(Duration::from_millis(800));
    expect_that!(cluster.store.jobs["a"].1.failures.len(), eq(1));
    cluster.workers.values_mut().for_each(|worker| worker.up = false);
    take_over(&mut cluster);
    expect_that!(shown_state(&mut cluster), eq(RUNNING));
}

// The worker becomes silent right after it has answered the start, and the leader stores a suspect
// run.
#[gtest]
fn a_job_whose_task_had_started_on_a_silent_worker_is_running_after_a_takeover() {
    let mut cluster = claimed_cluster(89, 2);
    cluster.submit("now", "a", vec![step(1, 1, 60_000)]);
    cluster.run(Duration::from_millis(300));
    expect_that!(count_runs(&cluster, "a"), eq(1));
    cluster.workers.values_mut().for_each(|worker| worker.up = false);
    cluster.run(seconds(2));
    expect_that!(cluster.store.jobs["a"].1.trials.len(), eq(1));
    take_over(&mut cluster);
    expect_that!(shown_state(&mut cluster), eq(RUNNING));
    cluster.run(seconds(20));
    take_over(&mut cluster);
    expect_that!(shown_state(&mut cluster), eq(RUNNING));
}

// A run that started long before its worker becomes silent is given up when the worker's lease
// expires, and the leader stores the first run that counts.
#[gtest]
fn a_job_whose_started_run_was_given_up_is_running_after_a_takeover() {
    let mut cluster = claimed_cluster(90, 2);
    cluster.submit("now", "a", vec![step(1, 1, 60_000)]);
    cluster.run(seconds(3));
    expect_that!(count_runs(&cluster, "a"), eq(1));
    cluster.workers.values_mut().for_each(|worker| worker.up = false);
    cluster.run(seconds(8));
    expect_that!(cluster.store.jobs["a"].1.floors.len(), eq(1));
    take_over(&mut cluster);
    expect_that!(shown_state(&mut cluster), eq(RUNNING));
}

#[gtest]
fn a_job_whose_worker_crashed_under_its_task_is_running_after_a_takeover() {
    let mut cluster = claimed_cluster(91, 1);
    cluster.crash_downtime = Duration::from_millis(200);
    cluster.submit("now", "a", vec![step(1, 1, 60_000)]);
    cluster.run(Duration::from_millis(300));
    expect_that!(count_runs(&cluster, "a"), eq(1));
    cluster.planned_faults.starts.extend([None; 100]);
    cluster.crash(&"w0-0".into());
    cluster.run(seconds(1));
    expect_that!(cluster.store.jobs["a"].1.crashes.len(), eq(1));
    take_over(&mut cluster);
    expect_that!(shown_state(&mut cluster), eq(RUNNING));
}

// The start is carried out before its stop is sent, after four sends without an answer, and the
// stop is lost.
#[gtest]
fn a_run_that_is_reported_while_it_is_being_stopped_has_started() {
    let mut cluster = claimed_cluster(92, 1);
    cluster.planned_faults.starts.extend([Some(Duration::from_millis(1_790)), None, None, None]);
    cluster.planned_faults.stops_to_lose = 100;
    cluster.submit("now", "a", vec![step(1, 1, 60_000)]);
    cluster.run(seconds(3));
    expect_that!(count_runs(&cluster, "a"), eq(1));
    expect_that!(shown_state(&mut cluster), eq(RUNNING));
}

// The answer to one of four sends comes after the stop that followed them.
#[gtest]
fn a_start_that_is_answered_while_its_run_is_being_stopped_has_started() {
    let mut cluster = claimed_cluster(93, 1);
    cluster.planned_faults.starts.extend([Some(Duration::from_millis(1_790)), None, None, None]);
    cluster.planned_faults.stops_to_lose = 100;
    cluster.submit("now", "a", vec![step(1, 1, 60_000)]);
    cluster.run(Duration::from_millis(100));
    cluster.polls_to_lose = 100;
    cluster.run(Duration::from_millis(1_750));
    expect_that!(count_runs(&cluster, "a"), eq(1));
    expect_that!(shown_state(&mut cluster), eq(QUEUED));
    let (now, worker, task) = (cluster.now, WorkerId::from("w0-0"), "a.0.0.0".parse().unwrap());
    let (run, clock) =
        (cluster.workers[&worker].runs[&task].run, cluster.workers[&worker].clock(now));
    let instance =
        InstanceId::new(worker.clone(), cluster.workers[&worker].registration.instance_start);
    cluster.leader().unwrap().handle_start_result(now, &instance, &task, run, Ok(clock));
    expect_that!(shown_state(&mut cluster), eq(RUNNING));
}

// Between the moment from which no run of the previous leader can continue and the next check of
// the workers, a placement pass started the task again without storing the first run that counts;
// the leader after that acknowledged the end of the first run.
#[gtest]
fn a_task_of_a_worker_without_contact_is_not_restarted_before_its_runs_are_invalidated() {
    let mut cluster = claimed_cluster(94, 6);
    cluster.submit("now", "a", vec![step(1, 1, 500)]);
    cluster.run(Duration::from_millis(300));
    let holder = cluster.workers.values().find(|worker| !worker.runs.is_empty());
    let holder = holder.unwrap().id().clone();
    cluster.workers.get_mut(&holder).unwrap().connected = false;
    take_over(&mut cluster);
    cluster.run(Duration::from_millis(11_700));
    expect_that!(cluster.started_runs, eq(1));
    for number in 0..40 {
        cluster.submit("now", &format!("job{number}"), vec![step(1, 1, 50)]);
        cluster.run(Duration::from_millis(5));
    }
    cluster.run(seconds(1));
    expect_that!(cluster.state("a"), some(eq(GraphState::Completed)));
    let floors: Vec<TaskKey> = cluster.store.jobs["a"].1.floors.keys().copied().collect();
    expect_that!(floors, eq(&vec![TASK]));
    set_connected(&mut cluster, false);
    cluster.workers.get_mut(&holder).unwrap().connected = true;
    take_over(&mut cluster);
    cluster.run(seconds(3));
}

// A change that ends the leader's term was not answered, and the next leader may assume that this
// one has ended. The other task, which would fit within the time for which the leader may continue
// without the store, is not started.
#[gtest]
fn a_leader_without_authority_starts_no_task_and_extends_no_lease() {
    let mut cluster = claimed_cluster(95, 1);
    cluster.submit("now", "a", vec![step(1, 8, 500)]);
    cluster.submit("now", "b", vec![step(1, 8, 500)]);
    cluster.run(Duration::from_millis(300));
    expect_that!(cluster.started_runs, eq(1));
    cluster.store.up = false;
    let now = cluster.now;
    cluster.leader().unwrap().revoke_authority(now);
    cluster.run(Duration::from_millis(20));
    let before = cluster.workers["w0-0"].lease;
    cluster.run(seconds(3));
    expect_that!(count_runs(&cluster, "a"), eq(0));
    expect_that!(cluster.started_runs, eq(1));
    expect_that!(cluster.workers["w0-0"].lease, eq(before));
}

// A leader that had lost its lease was due again at once after each pass that it could not make, and its loop used a
// whole core until the term ended.
#[gtest]
fn a_leader_without_its_lease_is_not_due_all_the_time() {
    let mut cluster = claimed_cluster(49, 4);
    cluster.submit("now", "a", vec![step(40, 1, 60_000)]);
    cluster.run(seconds(1));
    let (now, unix) = (cluster.now, cluster.unix());
    let leader = cluster.leader().unwrap();
    leader.revoke_authority(now);
    for wake in 0..40 {
        let now = now + Duration::from_millis(50) * wake;
        leader.tick(now, unix);
        leader.take_actions();
        expect_that!(leader.next_due(now), gt(now), "wake {wake}");
    }
}
