//! What a leader tells callers of jobs that it has from the leader before.

use std::collections::BTreeMap;
use std::time::Duration;

use googletest::prelude::*;
use kelplink::{
    GraphProgress, GraphState, InstanceId, StepKey, StepSpec, SuspectRun, TaskKey, WorkerId,
    WorkerRefusal,
};

use crate::world::{World, runs_of, seconds, step};

/// The only task of a job of one task.
const TASK: TaskKey = TaskKey::new(0, 0, 0);

/// Workers that a leader has claimed.
fn claimed(seed: u64, workers: u32) -> World {
    let mut world = World::new(seed, workers);
    world.refusing = true;
    world.run(seconds(1));
    world
}

fn set_reached(world: &mut World, reached: bool) {
    for worker in world.workers.values_mut() {
        worker.reached = reached;
    }
}

/// Cuts all workers off and submits a job, whose starts reach none of them.
fn submit_unreached(world: &mut World, steps: Vec<StepSpec>) {
    set_reached(world, false);
    world.submit("now", "a", steps);
}

/// The leader is lost, and another takes over.
fn take_over(world: &mut World) {
    let epoch = world.store.epoch;
    world.leaders.remove(&epoch);
    world.elect();
}

/// What callers are told: the job's state, and how many of its queue wait.
fn told(world: &mut World) -> (Option<GraphState>, usize) {
    let state = world.state("a");
    (state, world.leader().map_or(0, |leader| leader.jobs().pending("now")))
}

/// What callers are told by a leader that reads that progress of a job.
fn told_of(seed: u64, note: impl FnOnce(&mut GraphProgress)) -> (Option<GraphState>, usize) {
    let mut world = World::new(seed, 0);
    world.run(seconds(1));
    world.submit("now", "a", vec![step(1, 1, 500), step(1, 1, 500)]);
    world.run(seconds(1));
    note(&mut world.store.jobs.get_mut("a").unwrap().1);
    take_over(&mut world);
    told(&mut world)
}

fn suspect_run() -> SuspectRun {
    let address = "10.0.0.1:80".parse().unwrap();
    SuspectRun { run: 1, worker: "w0-0".into(), address, instance_start: None }
}

const WAITS: (Option<GraphState>, usize) = (Some(GraphState::Queued), 1);
const BEGUN: (Option<GraphState>, usize) = (Some(GraphState::Running), 0);

// Five jobs had been accepted, no worker had begun a task of theirs, and a caller was told that none waits. Their starts
// were noted in the store as ones that may have crashed a worker, and the next leader took the note for a begun task.
#[gtest]
fn a_job_whose_starts_were_never_carried_out_is_counted_after_a_takeover() {
    let mut world = claimed(71, 2);
    submit_unreached(&mut world, vec![step(1, 1, 500)]);
    world.run(seconds(8));
    expect_that!(told(&mut world), eq(WAITS));
    world.elect();
    expect_that!(told(&mut world), eq(WAITS));
    world.run(seconds(1));
    expect_that!(told(&mut world), eq(WAITS));
}

#[gtest]
fn jobs_whose_starts_were_never_carried_out_are_all_counted_after_a_takeover() {
    let mut world = claimed(72, 4);
    set_reached(&mut world, false);
    for number in 0..5 {
        world.submit("now", &format!("job{number}"), vec![step(2, 1, 500)]);
    }
    world.run(seconds(8));
    take_over(&mut world);
    let pending = world.leader().map(|leader| leader.jobs().pending("now"));
    expect_that!(pending, some(eq(5)));
}

#[gtest]
fn a_gang_whose_starts_were_never_carried_out_is_counted_after_a_takeover() {
    let mut world = claimed(73, 4);
    submit_unreached(&mut world, vec![StepSpec { gang: true, ..step(3, 1, 500) }]);
    world.run(seconds(8));
    take_over(&mut world);
    expect_that!(told(&mut world), eq(WAITS));
}

#[gtest]
fn a_job_whose_workers_went_with_its_starts_is_counted_after_a_takeover() {
    let mut world = claimed(74, 2);
    world.submit("now", "a", vec![step(1, 1, 500)]);
    world.workers.values_mut().for_each(|worker| worker.up = false);
    world.run(seconds(8));
    take_over(&mut world);
    expect_that!(told(&mut world), eq(WAITS));
}

#[gtest]
fn a_job_whose_starts_were_never_carried_out_is_counted_after_two_takeovers() {
    let mut world = claimed(75, 2);
    submit_unreached(&mut world, vec![step(1, 1, 500)]);
    world.run(seconds(8));
    take_over(&mut world);
    world.run(seconds(8));
    take_over(&mut world);
    expect_that!(told(&mut world), eq(WAITS));
    world.run(seconds(20));
    expect_that!(told(&mut world), eq(WAITS));
    expect_that!(world.begun_runs, eq(0));
}

// After workers were lost that a leader never heard, it notes starts of inherited jobs as it makes them.
#[gtest]
fn a_job_whose_start_was_noted_as_it_was_sent_and_refused_is_counted_after_a_takeover() {
    let mut world = claimed(76, 2);
    for worker in world.workers.values_mut() {
        worker.refuses = Some(WorkerRefusal::NoRoom);
    }
    world.submit("now", "a", vec![step(1, 1, 500)]);
    world.run(seconds(1));
    let epoch = world.store.epoch;
    world.leaders.remove(&epoch);
    world.add_worker(1, 1);
    world.workers.get_mut("w1-1").unwrap().refuses = Some(WorkerRefusal::NoRoom);
    world.elect();
    world.run(seconds(10));
    let noted = &world.store.jobs["a"].1.trials;
    expect_false!(noted.is_empty(), "nothing was noted");
    expect_that!(told(&mut world), eq(WAITS));
    take_over(&mut world);
    expect_that!(told(&mut world), eq(WAITS));
    expect_that!(world.begun_runs, eq(0));
}

// A worker crashes and is back before the leader knows what became of a start that it never got.
#[gtest]
fn a_job_whose_worker_crashed_before_a_start_arrived_is_counted_after_a_takeover() {
    let mut world = claimed(77, 1);
    world.away = Duration::from_millis(200);
    world.fates.starts.extend([None; 100]);
    world.submit("now", "a", vec![step(1, 1, 500)]);
    world.run(Duration::from_millis(100));
    world.crash(&"w0-0".into());
    world.run(seconds(1));
    expect_that!(world.store.jobs["a"].1.crashes.len(), eq(1));
    expect_that!(told(&mut world), eq(WAITS));
    take_over(&mut world);
    expect_that!(told(&mut world), eq(WAITS));
    expect_that!(world.begun_runs, eq(0));
}

#[gtest]
fn a_first_run_that_counts_is_no_begun_task() {
    let told = told_of(78, |progress| {
        progress.floors.insert(TASK, 7);
    });
    expect_that!(told, eq(WAITS));
}

#[gtest]
fn another_failure_domain_is_no_begun_task() {
    let told = told_of(79, |progress| {
        progress.domains.insert("d1".into());
    });
    expect_that!(told, eq(WAITS));
}

#[gtest]
fn a_start_that_may_have_crashed_its_worker_is_no_begun_task() {
    let told = told_of(80, |progress| {
        progress.note_suspect_run(TASK, suspect_run());
    });
    expect_that!(told, eq(WAITS));
}

#[gtest]
fn a_crash_under_a_start_that_may_not_have_arrived_is_no_begun_task() {
    let told = told_of(81, |progress| {
        progress.crashes.insert(TASK, BTreeMap::from([(1, false)]));
    });
    expect_that!(told, eq(WAITS));
}

#[gtest]
fn all_notes_of_starts_that_may_not_have_arrived_are_no_begun_task() {
    let told = told_of(82, |progress| {
        progress.note_suspect_run(TASK, SuspectRun { run: 2, ..suspect_run() });
        progress.crashes.insert(TASK, BTreeMap::from([(1, false)]));
        progress.floors.insert(TASK, 2);
        progress.domains.insert("d1".into());
    });
    expect_that!(told, eq(WAITS));
}

#[gtest]
fn a_crash_under_a_run_that_surely_went_on_is_a_begun_task() {
    let told = told_of(83, |progress| {
        progress.crashes.insert(TASK, BTreeMap::from([(1, true)]));
    });
    expect_that!(told, eq(BEGUN));
}

#[gtest]
fn a_success_a_failure_and_a_checkpoint_are_begun_tasks() {
    let done = told_of(84, |progress| {
        progress.done.entry(StepKey { occurrence: 0, step: 0 }).or_default().insert(0);
    });
    expect_that!(done, eq(BEGUN));
    let failed = told_of(85, |progress| {
        progress.failures.entry(TASK).or_default().insert(1);
    });
    expect_that!(failed, eq(BEGUN));
    let checkpoint = told_of(86, |progress| {
        progress.saved.insert(TASK, "half".to_owned());
    });
    expect_that!(checkpoint, eq(BEGUN));
}

#[gtest]
fn a_job_whose_first_task_succeeded_is_running_after_its_worker_went_and_a_takeover() {
    let mut world = claimed(87, 1);
    let second = StepSpec { after: vec![0], ..step(1, 1, 60_000) };
    world.submit("now", "a", vec![step(1, 1, 200), second]);
    world.run(seconds(1));
    world.workers.values_mut().for_each(|worker| worker.up = false);
    take_over(&mut world);
    expect_that!(told(&mut world), eq(BEGUN));
}

#[gtest]
fn a_job_whose_task_failed_is_running_after_its_worker_went_and_a_takeover() {
    let mut world = claimed(88, 1);
    world.poison.insert("a".into());
    world.submit("now", "a", vec![step(1, 1, 500)]);
    world.run(Duration::from_millis(800));
    expect_that!(world.store.jobs["a"].1.failures.len(), eq(1));
    world.workers.values_mut().for_each(|worker| worker.up = false);
    take_over(&mut world);
    expect_that!(told(&mut world), eq(BEGUN));
}

// The worker is silent right after it has answered the start, and the store is told so.
#[gtest]
fn a_job_whose_task_had_begun_on_a_silent_worker_is_running_after_a_takeover() {
    let mut world = claimed(89, 2);
    world.submit("now", "a", vec![step(1, 1, 60_000)]);
    world.run(Duration::from_millis(300));
    expect_that!(runs_of(&world, "a"), eq(1));
    world.workers.values_mut().for_each(|worker| worker.up = false);
    world.run(seconds(2));
    expect_that!(world.store.jobs["a"].1.trials.len(), eq(1));
    take_over(&mut world);
    expect_that!(told(&mut world), eq(BEGUN));
    world.run(seconds(20));
    take_over(&mut world);
    expect_that!(told(&mut world), eq(BEGUN));
}

// A run that its worker has outlived by far is given up with the worker's lease: the store is told which runs count.
#[gtest]
fn a_job_whose_run_was_given_up_after_it_had_begun_is_running_after_a_takeover() {
    let mut world = claimed(90, 2);
    world.submit("now", "a", vec![step(1, 1, 60_000)]);
    world.run(seconds(3));
    expect_that!(runs_of(&world, "a"), eq(1));
    world.workers.values_mut().for_each(|worker| worker.up = false);
    world.run(seconds(8));
    expect_that!(world.store.jobs["a"].1.floors.len(), eq(1));
    take_over(&mut world);
    expect_that!(told(&mut world), eq(BEGUN));
}

#[gtest]
fn a_job_whose_worker_crashed_under_its_task_is_running_after_a_takeover() {
    let mut world = claimed(91, 1);
    world.away = Duration::from_millis(200);
    world.submit("now", "a", vec![step(1, 1, 60_000)]);
    world.run(Duration::from_millis(300));
    expect_that!(runs_of(&world, "a"), eq(1));
    world.fates.starts.extend([None; 100]);
    world.crash(&"w0-0".into());
    world.run(seconds(1));
    expect_that!(world.store.jobs["a"].1.crashes.len(), eq(1));
    take_over(&mut world);
    expect_that!(told(&mut world), eq(BEGUN));
}

// The start is carried out before its stop is sent, after four sends without an answer, and the stop is lost.
#[gtest]
fn a_run_that_is_listed_while_it_is_being_stopped_has_begun() {
    let mut world = claimed(92, 1);
    world.fates.starts.extend([Some(Duration::from_millis(1_790)), None, None, None]);
    world.fates.lost_stops = 100;
    world.submit("now", "a", vec![step(1, 1, 60_000)]);
    world.run(seconds(3));
    expect_that!(runs_of(&world, "a"), eq(1));
    expect_that!(told(&mut world), eq(BEGUN));
}

// The answer to one of four sends comes after the stop that followed them.
#[gtest]
fn a_start_that_is_answered_while_its_run_is_being_stopped_has_begun() {
    let mut world = claimed(93, 1);
    world.fates.starts.extend([Some(Duration::from_millis(1_790)), None, None, None]);
    world.fates.lost_stops = 100;
    world.submit("now", "a", vec![step(1, 1, 60_000)]);
    world.run(Duration::from_millis(100));
    world.lost_polls = 100;
    world.run(Duration::from_millis(1_750));
    expect_that!(runs_of(&world, "a"), eq(1));
    expect_that!(told(&mut world), eq(WAITS));
    let (now, worker, task) = (world.now, WorkerId::from("w0-0"), "a.0.0.0".parse().unwrap());
    let (run, clock) = (world.workers[&worker].runs[&task].run, world.workers[&worker].clock(now));
    let instance =
        InstanceId::new(worker.clone(), world.workers[&worker].registration.instance_start);
    world.leader().unwrap().handle_start_result(now, &instance, &task, run, Ok(clock));
    expect_that!(told(&mut world), eq(BEGUN));
}

// A pass between the moment from which nothing of the leader before can run and the next look at the workers began the
// task again without a note of the first run that counts; the leader after that acknowledged the end of the first run.
#[gtest]
fn a_task_of_an_unheard_worker_is_not_begun_again_before_its_earlier_runs_are_voided() {
    let mut world = claimed(94, 6);
    world.submit("now", "a", vec![step(1, 1, 500)]);
    world.run(Duration::from_millis(300));
    let holder = world.workers.values().find(|worker| !worker.runs.is_empty());
    let holder = holder.unwrap().id().clone();
    world.workers.get_mut(&holder).unwrap().reached = false;
    take_over(&mut world);
    world.run(Duration::from_millis(11_700));
    expect_that!(world.begun_runs, eq(1));
    for number in 0..40 {
        world.submit("now", &format!("job{number}"), vec![step(1, 1, 50)]);
        world.run(Duration::from_millis(5));
    }
    world.run(seconds(1));
    expect_that!(world.state("a"), some(eq(GraphState::Completed)));
    let floors: Vec<TaskKey> = world.store.jobs["a"].1.floors.keys().copied().collect();
    expect_that!(floors, eq(&vec![TASK]));
    set_reached(&mut world, false);
    world.workers.get_mut(&holder).unwrap().reached = true;
    take_over(&mut world);
    world.run(seconds(3));
}

// A change that ends the term was not answered, and the next leader may take this one for ended: the other task, for which
// there is room within the time for which the leader may go on without the store, is not started.
#[gtest]
fn a_leader_without_authority_starts_nothing_and_extends_no_lease() {
    let mut world = claimed(95, 1);
    world.submit("now", "a", vec![step(1, 8, 500)]);
    world.submit("now", "b", vec![step(1, 8, 500)]);
    world.run(Duration::from_millis(300));
    expect_that!(world.begun_runs, eq(1));
    world.store.up = false;
    let now = world.now;
    world.leader().unwrap().revoke_authority(now);
    world.run(Duration::from_millis(20));
    let before = world.workers["w0-0"].lease;
    world.run(seconds(3));
    expect_that!(runs_of(&world, "a"), eq(0));
    expect_that!(world.begun_runs, eq(1));
    expect_that!(world.workers["w0-0"].lease, eq(before));
}
