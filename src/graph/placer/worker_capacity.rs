//! Room on a worker while a pass goes on.

use std::collections::BTreeSet;

use tokio::time::Instant;

use crate::graph::health::HealthRank;
use crate::graph::name::GraphId;
use crate::graph::worker::WorkerInstance;
use crate::resources::ResourceVector;

/// Room on a worker as the pass goes on.
#[derive(Clone)]
pub(super) struct WorkerCapacity<'t> {
    pub(super) instance: &'t WorkerInstance,
    pub(super) health: HealthRank,
    /// Free and not kept for a task.
    pub(super) free: ResourceVector,
    /// Free, kept or not.
    pub(super) spare: ResourceVector,
    /// Processors that best-effort tasks here would use.
    pub(super) wanted: u32,
    pub(super) runs_latency_bound: bool,
    pub(super) runs_best_effort: bool,
    /// Jobs with runs on probation here.
    pub(super) on_probation: BTreeSet<GraphId>,
    /// Job of a suspected task on probation here: there is one at most.
    pub(super) suspect: Option<GraphId>,
    /// Whether the machine has crashed lately.
    pub(super) crashed: bool,
}

impl<'t> WorkerCapacity<'t> {
    pub(super) fn new(
        instance: &'t WorkerInstance,
        free: ResourceVector,
        crashed: bool,
        now: Instant,
    ) -> Self {
        let new = || instance.runs.iter().filter(|(_, run)| run.probation.is_some());
        let suspect = new().find(|(_, run)| run.suspected).map(|(task, _)| task.job.clone());
        let best_effort = instance.runs.values().filter(|run| run.best_effort);
        let wanted = best_effort.map(|run| run.reported_load).sum();
        Self {
            instance,
            health: instance.rank(now),
            free,
            spare: instance.free(),
            wanted,
            runs_latency_bound: instance.runs_latency_bound(),
            runs_best_effort: instance.runs_best_effort(),
            on_probation: new().map(|(task, _)| task.job.clone()).collect(),
            suspect,
            crashed,
        }
    }

    /// Whether a suspected task of another job is on probation here.
    pub(super) fn suspects_another(&self, job: &GraphId) -> bool {
        self.suspect.as_ref().is_some_and(|suspect| suspect != job)
    }

    /// What would blur the cause of a crash under a task of a job, least first: nothing, a start of another job at
    /// the same time, a machine that crashes by itself.
    pub(super) fn blur(&self, job: &GraphId, suspected: bool) -> u32 {
        let beside = self.on_probation.iter().any(|other| other != job);
        match suspected {
            true => u32::from(beside) + 2 * u32::from(self.crashed),
            false => u32::from(self.suspects_another(job)),
        }
    }

    /// A task of a job is started here.
    pub(super) fn note_start(&mut self, job: &GraphId, suspected: bool) {
        self.on_probation.insert(job.clone());
        if suspected {
            self.suspect = Some(job.clone());
        }
    }
}
