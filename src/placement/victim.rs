//! Choice of the tasks to preempt for urgent work at the lowest cost.

use tokio::time::Instant;

use crate::id::{TaskId, WorkerId};
use crate::placement::pool::PoolWorker;
use crate::resources::ResourceVector;

/// A task that may be preempted.
#[derive(Clone, Debug)]
pub(crate) struct VictimCandidate {
    /// The task.
    pub(crate) id: TaskId,
    /// Resources reserved for it.
    pub(crate) need: ResourceVector,
    /// When it started.
    pub(crate) since: Instant,
}

/// Tasks to stop on one worker.
#[derive(Clone, Debug)]
pub(crate) struct VictimSet {
    /// The worker.
    pub(crate) worker: WorkerId,
    /// The tasks.
    pub(crate) tasks: Vec<TaskId>,
    /// Processor time that may be lost, in core-seconds; an accelerator counts as 8 cores.
    pub(crate) cost: f64,
}

/// Picks tasks on one worker, cheapest first, whose reservations make `need` fit. Returns `None`
/// if it would not fit.
pub(crate) fn pick_victims(
    now: Instant,
    worker: &PoolWorker,
    need: &ResourceVector,
    mut candidates: Vec<VictimCandidate>,
) -> Option<VictimSet> {
    candidates.sort_by(|a, b| stop_cost(now, a).total_cmp(&stop_cost(now, b)));
    let mut free = worker.free;
    let mut set = VictimSet { worker: worker.spec.id.clone(), tasks: Vec::new(), cost: 0.0 };
    for candidate in candidates {
        if need.fits(&free) {
            break;
        }
        let missing = need.saturating_sub(&free);
        if missing.component_min(&candidate.need) == ResourceVector::default() {
            continue;
        }
        free = free.saturating_add(&candidate.need);
        set.cost += stop_cost(now, &candidate);
        set.tasks.push(candidate.id);
    }
    need.fits(&free).then_some(set)
}

fn stop_cost(now: Instant, candidate: &VictimCandidate) -> f64 {
    let cores = f64::from(candidate.need.millicores) / 1_000.0;
    let devices = f64::from(candidate.need.accelerators);
    (1.0 + (now - candidate.since).as_secs_f64()) * (cores + 8.0 * devices)
}
