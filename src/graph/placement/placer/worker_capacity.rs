//! Capacity of a worker during a placement pass.

use std::collections::BTreeSet;

use tokio::time::Instant;

use crate::graph::workers::health::HealthRank;
use crate::graph::workers::speed::SpeedClass;
use crate::graph::workers::worker::WorkerInstance;
use crate::graph::workload::name::GraphId;
use crate::resources::ResourceVector;

/// Remaining capacity of a worker during a pass.
#[derive(Clone)]
pub(super) struct WorkerCapacity<'t> {
    pub(super) instance: &'t WorkerInstance,
    pub(super) health: HealthRank,
    pub(super) speed_class: SpeedClass,
    /// Free and not reserved.
    pub(super) free: ResourceVector,
    /// Free, including what is reserved.
    pub(super) free_with_reserved: ResourceVector,
    /// Processors, in millicores, that the best-effort tasks on the worker would use.
    pub(super) best_effort_demand: u32,
    pub(super) runs_latency_bound: bool,
    pub(super) runs_best_effort: bool,
    /// Jobs with runs on probation here.
    pub(super) on_probation: BTreeSet<GraphId>,
    /// Job of the suspected task on probation here; there is at most one.
    pub(super) suspect: Option<GraphId>,
    /// Whether the machine has crashed recently.
    pub(super) crashed: bool,
}

impl<'t> WorkerCapacity<'t> {
    pub(super) fn new(
        instance: &'t WorkerInstance,
        free: ResourceVector,
        crashed: bool,
        now: Instant,
    ) -> Self {
        let on_probation = || instance.runs.iter().filter(|(_, run)| run.probation.is_some());
        let suspect =
            on_probation().find(|(_, run)| run.suspected).map(|(task, _)| task.job.clone());
        let best_effort = instance.runs.values().filter(|run| run.best_effort);
        let best_effort_demand = best_effort.map(|run| run.reported_load).sum();
        Self {
            instance,
            health: instance.rank(now),
            speed_class: instance.speed.class,
            free,
            free_with_reserved: instance.free(),
            best_effort_demand,
            runs_latency_bound: instance.runs_latency_bound(),
            runs_best_effort: instance.runs_best_effort(),
            on_probation: on_probation().map(|(task, _)| task.job.clone()).collect(),
            suspect,
            crashed,
        }
    }

    /// Whether a suspected task of another job is on probation here.
    pub(super) fn has_other_suspect(&self, job: &GraphId) -> bool {
        self.suspect.as_ref().is_some_and(|suspect| suspect != job)
    }

    /// How ambiguous the cause of a crash under a task of the job would be, least ambiguous first:
    /// nothing else, a concurrent start of another job, a machine that crashes by itself.
    pub(super) fn crash_ambiguity(&self, job: &GraphId, suspected: bool) -> u32 {
        let others = self.on_probation.iter().any(|other| other != job);
        match suspected {
            true => u32::from(others) + 2 * u32::from(self.crashed),
            false => u32::from(self.has_other_suspect(job)),
        }
    }

    /// Records the start of a task of a job.
    pub(super) fn note_start(&mut self, job: &GraphId, suspected: bool) {
        self.on_probation.insert(job.clone());
        if suspected {
            self.suspect = Some(job.clone());
        }
    }
}
