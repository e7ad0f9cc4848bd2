//! Room on a worker while a pass goes on.

use tokio::time::Instant;

use crate::graph::health::HealthRank;
use crate::graph::worker::WorkerLife;
use crate::resources::ResourceVector;

/// Room on a worker as the pass goes on.
#[derive(Clone)]
pub(super) struct PassRoom<'t> {
    pub(super) life: &'t WorkerLife,
    pub(super) health: HealthRank,
    /// Free and not kept for a task.
    pub(super) free: ResourceVector,
    /// Free, kept or not.
    pub(super) spare: ResourceVector,
    /// Processors that best-effort tasks here would use.
    pub(super) wanted: u32,
    pub(super) serves: bool,
    pub(super) fills: bool,
}

impl<'t> PassRoom<'t> {
    pub(super) fn new(life: &'t WorkerLife, free: ResourceVector, now: Instant) -> Self {
        let best_effort = life.runs.values().filter(|run| run.best_effort);
        let wanted = best_effort.map(|run| run.figure).sum();
        Self {
            life,
            health: life.rank(now),
            free,
            spare: life.free(),
            wanted,
            serves: life.serves(),
            fills: life.fills(),
        }
    }
}
