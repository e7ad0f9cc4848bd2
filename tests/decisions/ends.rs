//! What is said of tasks that end in unusual ways.

use googletest::prelude::*;
use kelplink::{
    CutOffRule, JobKind, JobRecord, JobSpec, PlacementAction, ResourceVector, SpreadRule, TaskEnd,
    TaskOutcome, TaskScheduler, TaskUsage, Urgency, WorkerSpec,
};
use tokio::time::Instant;

#[gtest]
fn a_cancelled_task_that_its_worker_stopped_is_never_said_not_to_have_run() {
    let (now, need) = (Instant::now(), ResourceVector::new(1_000, 1_000, 0));
    let mut scheduler = TaskScheduler::new();
    let capacity = ResourceVector::new(8_000, 8_000, 0);
    scheduler.add_worker(WorkerSpec { id: "w".into(), rack: "r".into(), capacity });
    let record = JobRecord::new(JobSpec {
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
    });
    scheduler.add_job(&record, false);
    scheduler.pass(now, 0);
    scheduler.cancel(&"ws/j".into());
    let task = ("ws/j".into(), 0);
    let usage = TaskUsage::default();
    scheduler.task_ended(now, &"w".into(), &task, &TaskOutcome::Stopped, &usage);
    let ended = PlacementAction::Ended { task, end: TaskEnd::Cancelled { ran: true } };
    expect_that!(scheduler.pass(now, 0), contains(eq(&ended)));
}
