//! How many tasks of a step fit on a worker.

use std::collections::BTreeMap;

use crate::graph::workload::spec::StepSpec;
use crate::id::WorkerId;
use crate::resources::ResourceVector;

/// How many more tasks of a step fit on each worker, with regard to the limit of tasks per worker.
///
/// The limit matters for lasting steps with one task per worker: without it, workers that run such
/// a task seemed to have capacity for another. A step of 40 tasks that was allowed 28 workers then
/// requested advice on these forever and left 12 tasks waiting.
pub(crate) struct StepCapacity {
    need: ResourceVector,
    max_per_worker: Option<u32>,
    /// Tasks of the step on each worker, running or planned; empty without a limit.
    placed: BTreeMap<WorkerId, u32>,
}

impl StepCapacity {
    pub(crate) fn new(step: &StepSpec, placed: BTreeMap<WorkerId, u32>) -> Self {
        Self { need: step.reservation(), max_per_worker: step.max_per_worker, placed }
    }

    /// Number of further tasks on a worker that the limit allows.
    pub(crate) fn remaining(&self, worker: &WorkerId) -> u32 {
        let placed = self.placed.get(worker).copied().unwrap_or(0);
        self.max_per_worker.map_or(u32::MAX, |max_per_worker| max_per_worker.saturating_sub(placed))
    }

    /// Number of further tasks that fit into the free capacity of a worker.
    pub(crate) fn fitting_tasks(&self, worker: &WorkerId, free: &ResourceVector) -> usize {
        tasks_that_fit(free, &self.need).min(self.remaining(worker)) as usize
    }
}

/// Number of tasks with the given need that fit into a capacity.
pub(crate) fn tasks_that_fit(free: &ResourceVector, need: &ResourceVector) -> u32 {
    let quotient = |free: u32, need: u32| free.checked_div(need).unwrap_or(u32::MAX);
    quotient(free.millicores, need.millicores)
        .min(quotient(free.memory_mib, need.memory_mib))
        .min(quotient(free.accelerators, need.accelerators))
}
