//! Recorded ends of cancelled tasks and of tasks that lose their workers.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::{
    CutOffRule, JobKind, JobRecord, JobSpec, PlacementAction, ResourceVector, SpreadRule, TaskEnd,
    TaskOutcome, TaskScheduler, TaskUsage, Urgency, WorkerId, WorkerSpec,
};
use tokio::time::Instant;

fn job(need: ResourceVector) -> JobRecord {
    JobRecord::new(JobSpec {
        id: "ws/j".into(),
        workspace: "ws".into(),
        intent: "ws/i".into(),
        revision: 1,
        kind: JobKind::Batch,
        need,
        count: 1,
        urgency: Urgency::Now,
        idempotent: true,
        spread: SpreadRule::None,
        cut_off: CutOffRule::Stay,
        run_time: None,
        command: String::new(),
        accepted: 0,
    })
}

#[gtest]
fn a_cancelled_task_that_its_worker_stopped_is_recorded_as_run() {
    let (now, need) = (Instant::now(), ResourceVector::new(1_000, 1_000, 0));
    let mut scheduler = TaskScheduler::new();
    let capacity = ResourceVector::new(8_000, 8_000, 0);
    scheduler.add_worker(WorkerSpec { id: "w".into(), rack: "r".into(), capacity });
    let record = job(need);
    scheduler.add_job(&record, false);
    scheduler.pass(now, 0);
    scheduler.cancel(&"ws/j".into());
    let task = ("ws/j".into(), 0);
    let usage = TaskUsage::default();
    scheduler.task_ended(now, &"w".into(), &task, &TaskOutcome::Stopped, &usage);
    let ended = PlacementAction::Ended { task, end: TaskEnd::Cancelled { ran: true } };
    expect_that!(scheduler.pass(now, 0), contains(eq(&ended)));
}

// Guards against a task that crashes every worker that starts it and is restarted without end, because the loss of a
// worker did not count as a failure of the task. Each worker is lost three seconds after the start and a new one joins.
#[gtest]
fn a_task_that_loses_each_worker_soon_after_its_start_is_stopped() {
    let (mut now, need) = (Instant::now(), ResourceVector::new(1_000, 1_000, 0));
    let mut scheduler = TaskScheduler::new();
    let capacity = ResourceVector::new(8_000, 8_000, 0);
    scheduler.add_job(&job(need), false);
    let mut actions = Vec::new();
    for number in 0..10 {
        let id: WorkerId = format!("w{number}").into();
        scheduler.add_worker(WorkerSpec { id: id.clone(), rack: "r".into(), capacity });
        actions.extend(scheduler.pass(now, 0));
        if scheduler.live().is_empty() {
            break;
        }
        now += Duration::from_secs(3);
        scheduler.remove_worker(now, &id);
        now += Duration::from_secs(5);
    }
    actions.extend(scheduler.pass(now, 0));
    let starts = |action: &&PlacementAction| matches!(action, PlacementAction::Start { .. });
    expect_that!(actions.iter().filter(starts).count(), le(4));
    let stops = |action: &&PlacementAction| matches!(action, PlacementAction::JobStopped { .. });
    expect_that!(actions.iter().filter(stops).count(), eq(1));
}

// The loss of a worker long after the start, as when workers are replaced, does not count against the task.
#[gtest]
fn a_task_that_loses_its_workers_long_after_the_start_continues() {
    let (mut now, need) = (Instant::now(), ResourceVector::new(1_000, 1_000, 0));
    let mut scheduler = TaskScheduler::new();
    let capacity = ResourceVector::new(8_000, 8_000, 0);
    scheduler.add_job(&job(need), false);
    for number in 0..10 {
        let id: WorkerId = format!("w{number}").into();
        scheduler.add_worker(WorkerSpec { id: id.clone(), rack: "r".into(), capacity });
        scheduler.pass(now, 0);
        expect_that!(scheduler.live().len(), eq(1));
        now += Duration::from_secs(120);
        scheduler.remove_worker(now, &id);
        now += Duration::from_secs(5);
    }
}
