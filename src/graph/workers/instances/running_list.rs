//! What a worker's list of running tasks says of the runs that its leader knows.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::graph::exchange::RunReport;
use crate::graph::workers::run::{RunPhase, WorkerRun};
use crate::graph::workers::speed::SpeedTable;
use crate::graph::workers::worker::WorkerInstance;
use crate::graph::workers::worker_event::{LostRun, WorkerEvent};
use crate::graph::workload::name::TaskName;

/// Applies a worker's list of running tasks to its known runs.
pub(super) fn apply_running_list(
    instance: &mut WorkerInstance,
    speeds: &mut SpeedTable,
    now: Instant,
    running: Vec<RunReport>,
    clock: Duration,
) -> Vec<WorkerEvent> {
    let id = instance.id().clone();
    let mut events = Vec::new();
    let (mut work, mut time) = (Duration::ZERO, Duration::ZERO);
    let (mut compared_work, mut compared_time) = (Duration::ZERO, Duration::ZERO);
    let mut listed = BTreeMap::new();
    for report in running {
        listed.insert(report.task.clone(), report.run);
        match instance.runs.get_mut(&report.task).filter(|run| run.run == report.run) {
            Some(run) => {
                run.listed = true;
                if let RunPhase::Sent { .. } = run.phase {
                    run.phase = RunPhase::Running { confirmed: clock };
                }
                if run.confirm(now) {
                    events.push(WorkerEvent::Confirmed(
                        id.clone(),
                        report.task.clone(),
                        report.run,
                    ));
                }
                if report.percent != run.percent {
                    run.percent = report.percent;
                    run.progressed_at = now;
                }
                if run.probation.is_some_and(|end| end <= now) {
                    run.probation = None;
                    if run.suspected || run.suspicion_stored {
                        events.push(WorkerEvent::Survived(report.task.clone(), report.run));
                    }
                }
                run.reported_load = report.reported_load;
                run.checkpoint = report.checkpoint;
                let (done, took) = run.measure(now).unwrap_or_default();
                work += done;
                time += took;
                let worker = (&id, &mut instance.speed);
                speeds.note_progress(now, worker, &report.task, run, report.percent);
                if !took.is_zero()
                    && let Some(estimate) = run.estimate
                    && let Some(run_time) = speeds.run_time_elsewhere(&id, &report.task)
                {
                    let share = done.as_secs_f64() / estimate.as_secs_f64();
                    compared_work += run_time.mul_f64(share * run.distance_factor);
                    compared_time += took;
                }
            }
            None => events.push(WorkerEvent::Unknown(id.clone(), report)),
        }
    }
    // Runs of a step that also runs elsewhere show the speed even where their declared time is wrong.
    match compared_time.is_zero() {
        true => instance.health.note_work(now, work, time),
        false => instance.health.note_work(now, compared_work, compared_time),
    }
    let has_unlisted_ends = instance.has_unlisted_ends;
    let is_gone = |(task, run): &(&TaskName, &WorkerRun)| {
        if has_unlisted_ends {
            return false;
        }
        let since = match run.phase {
            // A worker refuses a start once the time that it is valid for has passed on its clock. Without
            // this rule, a worker that answered polls but neither starts nor stops blocked a task forever.
            RunPhase::Sent { .. } | RunPhase::Stopping { answered: None, .. } => match run.until {
                Some(until) => until,
                None => return false,
            },
            RunPhase::Running { confirmed } => confirmed,
            RunPhase::Stopping { answered: Some(answered), .. } => answered,
        };
        since < clock && listed.get(*task) != Some(&run.run)
    };
    let gone: Vec<TaskName> =
        instance.runs.iter().filter(is_gone).map(|(task, _)| task.clone()).collect();
    for task in gone {
        if let Some(run) = instance.remove_run(&task) {
            events.push(WorkerEvent::Lost(id.clone(), LostRun::new(task, run, Some(now))));
        }
    }
    events
}
