//! Evacuation: stops lasting tasks on workers that leave, so that they continue elsewhere.
//!
//! It is needed when workers are drained below running services. A lasting task does not end by itself: left where it is,
//! it ends with its worker, and is started elsewhere only once the lease of that worker has expired.

use std::collections::BTreeMap;

use tokio::time::Instant;

use crate::graph::workers::instances::InstanceTable;
use crate::graph::workers::run::{RunPhase, WorkerRun};
use crate::graph::workers::worker::WorkerInstance;
use crate::graph::workload::job::GraphJob;
use crate::graph::workload::jobs::{JobTable, RunToStop};
use crate::graph::workload::name::{GraphId, StepKey, TaskName};
use crate::graph::workload::spec::StepSpec;
use crate::id::WorkerId;
use crate::resources::ResourceVector;

/// Returns the lasting runs to stop on workers that leave: those for which another worker has capacity. Members of gangs
/// stay, as the others would end with them.
pub(crate) fn plan_evacuation(
    now: Instant,
    jobs: &JobTable,
    instances: &InstanceTable,
) -> Vec<RunToStop> {
    let mut plan = EvacuationPlan { now, jobs, instances, free: None, stops: Vec::new() };
    let leaving = instances.iter().filter(|instance| {
        instance.leaves_at.is_some() && instance.registered && instance.misses == 0
    });
    for instance in leaving {
        for (task, run) in &instance.runs {
            plan.consider(instance, task, run);
        }
    }
    plan.stops
}

struct EvacuationPlan<'t> {
    now: Instant,
    jobs: &'t JobTable,
    instances: &'t InstanceTable,
    /// Free capacity of the workers that accept work, less that of the runs planned so far.
    free: Option<BTreeMap<WorkerId, ResourceVector>>,
    stops: Vec<RunToStop>,
}

impl EvacuationPlan<'_> {
    fn consider(&mut self, instance: &WorkerInstance, task: &TaskName, run: &WorkerRun) {
        let RunPhase::Running { .. } = run.phase else {
            return;
        };
        let job = self.jobs.get(&task.job).filter(|job| !job.is_over());
        let Some((job, step)) = job.and_then(|job| Some((job, job.step(task.key.step)?))) else {
            return;
        };
        let may_stop = step.lasting
            && !step.gang
            && step.max_unavailable.is_none_or(|max| self.unavailable(job, task.key.step) < max);
        if may_stop && self.take_capacity(job, step, task) {
            self.stops.push((instance.id().clone(), task.clone(), run.run));
        }
    }

    /// Number of tasks of a step that do not run, or stop.
    fn unavailable(&self, job: &GraphJob, key: StepKey) -> u32 {
        let count = job.step(key).map_or(0, |step| step.count);
        let is_at_work = |task: &TaskName| {
            let live = job.live.get(&task.key)?;
            let run = self.instances.get(&live.worker)?.runs.get(task)?;
            Some(matches!(run.phase, RunPhase::Running { .. }))
        };
        let live = job.live.keys().filter(|task| task.step == key);
        let working = live.filter(|task| is_at_work(&job.task_name(**task)) == Some(true)).count();
        let id: &GraphId = &job.spec.id;
        let planned =
            self.stops.iter().filter(|(_, task, _)| task.job == *id && task.key.step == key);
        count.saturating_sub(u32::try_from(working.saturating_sub(planned.count())).unwrap_or(0))
    }

    /// Takes capacity for a task on another worker, if there is any.
    fn take_capacity(&mut self, job: &GraphJob, step: &StepSpec, task: &TaskName) -> bool {
        let (now, instances) = (self.now, self.instances);
        let free = self.free.get_or_insert_with(|| {
            let accepting = instances.accepting_work(now);
            accepting.map(|instance| (instance.id().clone(), instance.free())).collect()
        });
        let need = step.reservation();
        let usable = |id: &WorkerId| {
            instances.get(id).is_some_and(|instance| {
                instance.registration.service == job.rule.service
                    && job.may_use(&instance.registration.domain)
                    && instance.has_label(step)
                    && step
                        .max_per_worker
                        .is_none_or(|max| instance.count_of(&task.job, task.key.step) < max)
            })
        };
        let place = free.iter_mut().find(|(id, free)| need.fits(free) && usable(id));
        match place {
            Some((_, free)) => {
                *free = free.saturating_sub(&need);
                true
            }
            None => false,
        }
    }
}
