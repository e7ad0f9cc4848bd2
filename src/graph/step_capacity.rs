//! How many tasks of a step a worker has room for.

use std::collections::BTreeMap;

use crate::graph::spec::StepSpec;
use crate::id::WorkerId;
use crate::resources::ResourceVector;

/// What a step may still place on workers, by its limit of tasks a worker.
///
/// Load it answers: lasting steps with one task a worker. Reckoned without the limit, workers that hold
/// such a task seem to have room for another, and a step of 40 tasks that was allowed 28 workers asked
/// about these for ever and left 12 tasks waiting.
pub(crate) struct StepCapacity {
    need: ResourceVector,
    max_per_worker: Option<u32>,
    /// Tasks of the step that hold or were given room, by worker; empty without a limit.
    placed: BTreeMap<WorkerId, u32>,
}

impl StepCapacity {
    pub(crate) fn new(step: &StepSpec, placed: BTreeMap<WorkerId, u32>) -> Self {
        Self { need: step.reservation(), max_per_worker: step.max_per_worker, placed }
    }

    /// Tasks that the limit still allows on a worker.
    pub(crate) fn allows(&self, worker: &WorkerId) -> u32 {
        let placed = self.placed.get(worker).copied().unwrap_or(0);
        self.max_per_worker.map_or(u32::MAX, |max_per_worker| max_per_worker.saturating_sub(placed))
    }

    /// Tasks that fit in what is free on a worker now.
    pub(crate) fn holds(&self, worker: &WorkerId, free: &ResourceVector) -> usize {
        tasks_that_fit(free, &self.need).min(self.allows(worker)) as usize
    }
}

/// Number of tasks of a size that a room holds.
pub(crate) fn tasks_that_fit(free: &ResourceVector, need: &ResourceVector) -> u32 {
    let holds = |free: u32, need: u32| free.checked_div(need).unwrap_or(u32::MAX);
    holds(free.millicores, need.millicores)
        .min(holds(free.memory_mib, need.memory_mib))
        .min(holds(free.accelerators, need.accelerators))
}
