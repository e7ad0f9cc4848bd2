//! What is said of tasks that end in unusual ways.

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
fn a_cancelled_task_that_its_worker_stopped_is_never_said_not_to_have_run() {
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

// A task that crashes each worker that starts it was started again for good: the loss of a worker counted against
// nobody. Here each worker is lost three seconds after the start, and the next one is there.
#[gtest]
fn a_task_whose_workers_are_lost_each_time_is_given_up() {
    let (mut now, need) = (Instant::now(), ResourceVector::new(1_000, 1_000, 0));
    let mut scheduler = TaskScheduler::new();
    let capacity = ResourceVector::new(8_000, 8_000, 0);
    scheduler.add_job(&job(need), false);
    let mut stopped = Vec::new();
    for life in 0..10 {
        let id: WorkerId = format!("w{life}").into();
        scheduler.add_worker(WorkerSpec { id: id.clone(), rack: "r".into(), capacity });
        stopped.extend(scheduler.pass(now, 0));
        if scheduler.live().is_empty() {
            break;
        }
        now += Duration::from_secs(3);
        scheduler.remove_worker(now, &id);
        now += Duration::from_secs(5);
    }
    stopped.extend(scheduler.pass(now, 0));
    let starts = |action: &&PlacementAction| matches!(action, PlacementAction::Start { .. });
    expect_that!(stopped.iter().filter(starts).count(), le(4));
    let ends = |action: &&PlacementAction| matches!(action, PlacementAction::JobStopped { .. });
    expect_that!(stopped.iter().filter(ends).count(), eq(1));
}

// Losses that come long after the start, as with workers that are replaced, say nothing of the task.
#[gtest]
fn a_task_whose_workers_are_lost_late_goes_on() {
    let (mut now, need) = (Instant::now(), ResourceVector::new(1_000, 1_000, 0));
    let mut scheduler = TaskScheduler::new();
    let capacity = ResourceVector::new(8_000, 8_000, 0);
    scheduler.add_job(&job(need), false);
    for life in 0..10 {
        let id: WorkerId = format!("w{life}").into();
        scheduler.add_worker(WorkerSpec { id: id.clone(), rack: "r".into(), capacity });
        scheduler.pass(now, 0);
        expect_that!(scheduler.live().len(), eq(1));
        now += Duration::from_secs(120);
        scheduler.remove_worker(now, &id);
        now += Duration::from_secs(5);
    }
}
