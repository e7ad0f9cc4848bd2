//! Room on a worker while a pass goes on.

use std::collections::BTreeMap;

use tokio::time::Instant;

use crate::graph::health::HealthRank;
use crate::graph::spec::StepSpec;
use crate::graph::worker::WorkerLife;
use crate::id::WorkerId;
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
            health: life.health.rank(now),
            free,
            spare: life.free(),
            wanted,
            serves: life.serves(),
            fills: life.fills(),
        }
    }
}

/// What a step may still place on workers, by its limit of tasks a worker.
///
/// Load it answers: lasting steps with one task a worker. Reckoned without the limit, workers that hold
/// such a task seem to have room for another, and a step of 40 tasks that was allowed 28 workers asked
/// about these for ever and left 12 tasks waiting.
pub(super) struct StepRoom {
    need: ResourceVector,
    most: Option<u32>,
    /// Tasks of the step that hold or were given room, by worker; empty without a limit.
    placed: BTreeMap<WorkerId, u32>,
}

impl StepRoom {
    pub(super) fn new(step: &StepSpec, placed: BTreeMap<WorkerId, u32>) -> Self {
        Self { need: step.reservation(), most: step.max_per_worker, placed }
    }

    /// Tasks that the limit still allows on a worker.
    pub(super) fn allows(&self, worker: &WorkerId) -> u32 {
        let placed = self.placed.get(worker).copied().unwrap_or(0);
        self.most.map_or(u32::MAX, |most| most.saturating_sub(placed))
    }

    /// Tasks that fit in what is free on a worker now.
    pub(super) fn holds(&self, room: &PassRoom<'_>) -> usize {
        room_for(&room.free, &self.need).min(self.allows(room.life.id())) as usize
    }
}

/// Number of tasks of a size that a room holds.
pub(crate) fn room_for(room: &ResourceVector, need: &ResourceVector) -> u32 {
    let holds = |room: u32, need: u32| room.checked_div(need).unwrap_or(u32::MAX);
    holds(room.millicores, need.millicores)
        .min(holds(room.memory_mib, need.memory_mib))
        .min(holds(room.accelerators, need.accelerators))
}
