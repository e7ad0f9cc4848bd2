//! Preemption: stops runs of less urgent queues to free capacity for a task.
//!
//! It is needed when urgent jobs arrive, or a lasting task has lost its worker, while the workers
//! are full of long work. Only runs that lose little work are stopped, and the capacity stays
//! reserved for the task until the stopped runs have ended.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::graph::workers::run::{RunPhase, WorkerRun};
use crate::graph::workers::worker::WorkerInstance;
use crate::graph::workload::name::{GraphId, StepKey, TaskKey, TaskName};
use crate::id::WorkerId;
use crate::resources::ResourceVector;

/// How long a reservation is valid: a stop takes 400 ms at most, and its end is reported within one
/// poll.
const RESERVATION_TIME: Duration = Duration::from_millis(1_200);
/// Mean work that a stopped task with checkpoints loses: half of the checkpoint interval.
const MEAN_CHECKPOINT_LOSS: Duration = Duration::from_millis(250);
/// Limit of runs stopped for one task.
const MAX_VICTIMS: usize = 3;
/// Limit of the work lost, in core-seconds, for each core-second of the task that needs the
/// capacity.
const MAX_LOSS_RATIO: f64 = 1.0;

/// A task with the runs to stop for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedPreemption {
    /// The job.
    pub job: GraphId,
    /// The task.
    pub task: TaskKey,
    /// The worker.
    pub worker: WorkerId,
    /// Capacity that the task needs.
    pub need: ResourceVector,
    /// Runs to stop.
    pub victims: Vec<TaskName>,
}

/// Capacity on a worker that is reserved for a task.
#[derive(Clone, Debug)]
pub struct CapacityReservation {
    /// The worker.
    pub worker: WorkerId,
    /// The reserved capacity.
    pub need: ResourceVector,
    expires_at: Instant,
}

/// All reservations of capacity for tasks.
#[derive(Clone, Debug, Default)]
pub struct ReservationTable {
    reservations: BTreeMap<TaskName, CapacityReservation>,
}

impl ReservationTable {
    /// Reserves capacity for a task.
    pub fn reserve(
        &mut self,
        now: Instant,
        task: TaskName,
        worker: WorkerId,
        need: ResourceVector,
    ) {
        self.reservations
            .insert(task, CapacityReservation { worker, need, expires_at: now + RESERVATION_TIME });
    }

    /// The reservation of a task.
    pub fn get(&self, task: &TaskName) -> Option<&CapacityReservation> {
        self.reservations.get(task)
    }

    /// Jobs with a reservation.
    pub(crate) fn jobs(&self) -> impl Iterator<Item = &GraphId> {
        self.reservations.keys().map(|task| &task.job)
    }

    /// Total capacity reserved on a worker.
    pub fn reserved_on(&self, worker: &WorkerId) -> ResourceVector {
        let here = self.reservations.values().filter(|reservation| reservation.worker == *worker);
        here.fold(ResourceVector::default(), |sum, reservation| {
            sum.saturating_add(&reservation.need)
        })
    }

    /// Number of tasks of a step with a reservation on a worker.
    pub fn count(&self, worker: &WorkerId, job: &GraphId, step: StepKey) -> u32 {
        let same = |(task, reservation): &(&TaskName, &CapacityReservation)| {
            reservation.worker == *worker && task.job == *job && task.key.step == step
        };
        u32::try_from(self.reservations.iter().filter(same).count()).unwrap_or(u32::MAX)
    }

    /// Removes reservations that have expired, or that are of no use to their task on their worker.
    pub fn prune(&mut self, now: Instant, is_useful: impl Fn(&TaskName, &WorkerId) -> bool) {
        self.reservations.retain(|task, reservation| {
            reservation.expires_at > now && is_useful(task, &reservation.worker)
        });
    }
}

/// The runs to stop on a worker so that `need` fits: those that lose the least work, or the largest ones where these free
/// too little. `None` if stopping them frees too little or loses too much.
pub(crate) fn choose_victims(
    instance: &WorkerInstance,
    now: Instant,
    free: &ResourceVector,
    need: &ResourceVector,
    priority: u32,
    budget: f64,
) -> Option<(f64, Vec<TaskName>)> {
    let mut candidates: Vec<(f64, &TaskName, &WorkerRun)> = instance
        .runs
        .iter()
        .filter(|(_, run)| run.priority > priority && may_stop(run))
        .map(|(task, run)| (work_lost(run, now), task, run))
        .collect();
    candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
    // On a worker whose capacity has shrunk, the excess must be freed as well: without this, one
    // run was stopped for each urgent task to no effect.
    let need = need.saturating_add(&instance.excess());
    let victims = first_victims(&candidates, free, &need).or_else(|| {
        candidates.sort_by_key(|(_, _, run)| Reverse((run.need.millicores, run.need.memory_mib)));
        first_victims(&candidates, free, &need)
    });
    victims.filter(|(lost, _)| *lost <= budget * MAX_LOSS_RATIO)
}

/// As many of the first candidates as free enough for `need`, with the work that they lose.
fn first_victims(
    candidates: &[(f64, &TaskName, &WorkerRun)],
    free: &ResourceVector,
    need: &ResourceVector,
) -> Option<(f64, Vec<TaskName>)> {
    let mut capacity = *free;
    let (mut lost, mut chosen) = (0.0, Vec::new());
    for (work_lost, task, run) in candidates {
        if need.fits(&capacity) || chosen.len() >= MAX_VICTIMS {
            break;
        }
        capacity = capacity.saturating_add(&run.need);
        lost += work_lost;
        chosen.push((*task).clone());
    }
    need.fits(&capacity).then_some((lost, chosen))
}

/// Whether a run may be preempted: its worker has confirmed it, and it is neither a member of a gang, whose
/// other members would end with it, nor a lasting task, whose unavailability is limited.
pub(crate) fn may_stop(run: &WorkerRun) -> bool {
    matches!(run.phase, RunPhase::Running { .. }) && run.preemptible
}

/// Core-seconds of work that a stop loses.
fn work_lost(run: &WorkerRun, now: Instant) -> f64 {
    let worked = now.saturating_duration_since(run.since);
    let lost = if run.keeps_checkpoint { worked.min(MEAN_CHECKPOINT_LOSS) } else { worked };
    f64::from(run.need.millicores) / 1_000.0 * lost.as_secs_f64()
}
