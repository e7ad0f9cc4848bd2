//! Making room for a task by stopping runs of less urgent queues.
//!
//! Load it answers: workers full of long work when urgent jobs come, or when a lasting task has lost
//! its worker. Only runs that lose little are stopped, and the room is kept for the task until the
//! stopped runs have ended.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::graph::name::{GraphId, StepKey, TaskKey, TaskName};
use crate::graph::worker::{RunPhase, WorkerInstance, WorkerRun};
use crate::id::WorkerId;
use crate::resources::ResourceVector;

/// How long room is kept: a stop takes 400 ms at most, its end is listed within a poll.
const RESERVATION_TIME: Duration = Duration::from_millis(1_200);
/// Work of a checkpointing task that a stop loses, on the mean: half of the checkpoint interval.
const SAVED_LOSS: Duration = Duration::from_millis(250);
/// Runs stopped for one task.
const MOST_VICTIMS: usize = 3;
/// Work, in core-seconds, that may be thrown away for each core-second of the task that needs room.
const WORTH_LOSING: f64 = 1.0;

/// A task for which room is made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedPreemption {
    /// The job.
    pub job: GraphId,
    /// The task.
    pub task: TaskKey,
    /// Where.
    pub worker: WorkerId,
    /// Room that it needs.
    pub need: ResourceVector,
    /// Runs to stop.
    pub victims: Vec<TaskName>,
}

/// Room kept for a task.
#[derive(Clone, Debug)]
pub struct CapacityReservation {
    /// Where.
    pub worker: WorkerId,
    /// How much.
    pub need: ResourceVector,
    until: Instant,
}

/// All room that is kept for tasks.
#[derive(Clone, Debug, Default)]
pub struct ReservationTable {
    kept: BTreeMap<TaskName, CapacityReservation>,
}

impl ReservationTable {
    /// Keeps room for a task.
    pub fn keep(&mut self, now: Instant, task: TaskName, worker: WorkerId, need: ResourceVector) {
        self.kept.insert(task, CapacityReservation { worker, need, until: now + RESERVATION_TIME });
    }

    /// Room kept for a task.
    pub fn get(&self, task: &TaskName) -> Option<&CapacityReservation> {
        self.kept.get(task)
    }

    /// Room kept on a worker.
    pub fn on(&self, worker: &WorkerId) -> ResourceVector {
        let here = self.kept.values().filter(|kept| kept.worker == *worker);
        here.fold(ResourceVector::default(), |sum, kept| sum.saturating_add(&kept.need))
    }

    /// Number of tasks of a step for which room is kept on a worker.
    pub fn count(&self, worker: &WorkerId, job: &GraphId, step: StepKey) -> u32 {
        let same = |(task, kept): &(&TaskName, &CapacityReservation)| {
            kept.worker == *worker && task.job == *job && task.key.step == step
        };
        u32::try_from(self.kept.iter().filter(same).count()).unwrap_or(u32::MAX)
    }

    /// Gives room back that is not needed any more.
    pub fn prune(&mut self, now: Instant, wanted: impl Fn(&TaskName) -> bool) {
        self.kept.retain(|task, kept| kept.until > now && wanted(task));
    }
}

/// The runs to stop on a worker so that `need` fits, those that lose least first; `None` where that
/// is not enough or not worth it.
pub(crate) fn victims(
    instance: &WorkerInstance,
    now: Instant,
    free: &ResourceVector,
    need: &ResourceVector,
    priority: u32,
    worth: f64,
) -> Option<(f64, Vec<TaskName>)> {
    let mut candidates: Vec<(f64, &TaskName, &WorkerRun)> = instance
        .runs
        .iter()
        .filter(|(_, run)| run.priority > priority && may_stop(run))
        .map(|(task, run)| (loss(run, now), task, run))
        .collect();
    candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
    // Without what is over its room on a worker that has shrunk, one run was stopped for each urgent task, in vain.
    let need = need.saturating_add(&instance.excess());
    let mut room = *free;
    let (mut lost, mut chosen) = (0.0, Vec::new());
    for (loss, task, run) in candidates {
        if need.fits(&room) || chosen.len() >= MOST_VICTIMS {
            break;
        }
        room = room.saturating_add(&run.need);
        lost += loss;
        chosen.push(task.clone());
    }
    (need.fits(&room) && lost <= worth * WORTH_LOSING).then_some((lost, chosen))
}

/// A run that has not answered is not stopped for its room, nor one whose absence is limited or
/// breaks others.
fn may_stop(run: &WorkerRun) -> bool {
    matches!(run.phase, RunPhase::Running { .. }) && run.preemptible
}

/// Core-seconds that a stop throws away.
fn loss(run: &WorkerRun, now: Instant) -> f64 {
    let worked = now.saturating_duration_since(run.since);
    let lost = if run.keeps_checkpoint { worked.min(SAVED_LOSS) } else { worked };
    f64::from(run.need.millicores) / 1_000.0 * lost.as_secs_f64()
}
