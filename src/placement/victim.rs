//! Which tasks make room for urgent work at the least loss.

use tokio::time::Instant;

use crate::id::{TaskId, WorkerId};
use crate::placement::pool::PoolWorker;
use crate::resources::ResourceVector;

/// A task that may be checkpointed to make room.
#[derive(Clone, Debug)]
pub(crate) struct VictimCandidate {
    /// The task.
    pub(crate) id: TaskId,
    /// Room that it holds.
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
    /// Processor time that is at risk, in core-seconds.
    pub(crate) cost: f64,
}

/// Picks the cheapest tasks on one worker that make room for `need`.
pub(crate) fn pick_victims(
    now: Instant,
    worker: &PoolWorker,
    need: &ResourceVector,
    mut candidates: Vec<VictimCandidate>,
) -> Option<VictimSet> {
    candidates.sort_by(|a, b| loss(now, a).total_cmp(&loss(now, b)));
    let mut free = worker.free;
    let mut set = VictimSet { worker: worker.spec.id.clone(), tasks: Vec::new(), cost: 0.0 };
    for candidate in candidates {
        if need.fits(&free) {
            break;
        }
        let lacking = need.saturating_sub(&free);
        if lacking.component_min(&candidate.need) == ResourceVector::default() {
            continue;
        }
        free = free.saturating_add(&candidate.need);
        set.cost += loss(now, &candidate);
        set.tasks.push(candidate.id);
    }
    need.fits(&free).then_some(set)
}

fn loss(now: Instant, candidate: &VictimCandidate) -> f64 {
    let cores = f64::from(candidate.need.millicores) / 1_000.0;
    let devices = f64::from(candidate.need.accelerators);
    (1.0 + (now - candidate.since).as_secs_f64()) * (cores + 8.0 * devices)
}
