//! Workers of other shards, as far as a leader needs to know them.
//!
//! They are needed for lasting jobs of up to 240 tasks, one per worker, when only a third of a shard's 220
//! workers may run them, and for jobs whose data or kind of worker is in another shard.

use std::collections::BTreeMap;

use tokio::time::Instant;

use crate::graph::exchange::WorkerRegistration;
use crate::graph::placement::home::can_run_on;
use crate::graph::sharding::shard::{ShardId, ShardScope};
use crate::graph::workers::instances::REREGISTRATION_TIME;
use crate::graph::workload::queue::QueueRule;
use crate::graph::workload::spec::{GraphSpec, StepSpec};
use crate::id::WorkerId;

/// Number of workers for each task of a lasting step below which its tasks are divided among shards: advice
/// allows a third of the workers, and half of these have other work of the same urgency.
const WORKERS_PER_TASK: usize = 5;
/// Maximum number of shards that a job is divided among, as each of them has to store it.
const MAX_SHARES: usize = 16;

/// Registrations of workers of other leaders.
#[derive(Debug, Default)]
pub(crate) struct RemoteWorkerTable {
    workers: BTreeMap<WorkerId, (ShardId, WorkerRegistration)>,
    /// Registrations that have gone and may come back, with the time until which they count.
    expired: BTreeMap<WorkerId, (Instant, ShardId, WorkerRegistration)>,
}

impl RemoteWorkerTable {
    /// Notes that a worker of another shard has registered or changed its registration.
    pub(crate) fn register(&mut self, shard: ShardId, registration: WorkerRegistration) {
        self.expired.remove(&registration.id);
        self.workers.insert(registration.id.clone(), (shard, registration));
    }

    /// Notes that a registration has gone. The worker still counts for a while, unless it is leaving.
    pub(crate) fn unregister(&mut self, now: Instant, id: &WorkerId) {
        if let Some((shard, registration)) = self.workers.remove(id)
            && registration.leaving.is_none()
        {
            self.expired.insert(id.clone(), (now + REREGISTRATION_TIME, shard, registration));
        }
    }

    /// Forgets workers whose registrations have not come back.
    pub(crate) fn forget_expired(&mut self, now: Instant) {
        self.expired.retain(|_, (until, ..)| now < *until);
    }

    /// Workers that count, with their shards.
    fn known_workers(&self) -> impl Iterator<Item = (&ShardId, &WorkerRegistration)> {
        let present = self.workers.values().map(|(shard, registration)| (shard, registration));
        present.chain(self.expired.values().map(|(_, shard, registration)| (shard, registration)))
    }

    /// Returns a better shard for a job than this one: the shard with most of its data, or else a shard with
    /// workers for all its steps where this one lacks some.
    pub(crate) fn better_shard<'w>(
        &self,
        scope: &ShardScope,
        spec: &GraphSpec,
        rule: &QueueRule,
        own: impl Iterator<Item = &'w WorkerRegistration> + Clone,
    ) -> Option<ShardId> {
        if let Some(shard) = self.shard_of_data(scope, spec, own.clone()) {
            return (shard != scope.shard).then_some(shard);
        }
        let lacks = |step: &&StepSpec| {
            !own.clone().any(|registration| can_run_on(step, rule, registration))
        };
        spec.steps.iter().find(lacks)?;
        let shards = scope.plan.shards();
        let has_all_workers =
            |shard: &&ShardId| spec.steps.iter().all(|step| self.count(shard, step, rule) > 0);
        shards.iter().filter(|shard| **shard != scope.shard).find(has_all_workers).cloned()
    }

    /// Returns the shard whose racks hold the data of most tasks of a job.
    fn shard_of_data<'w>(
        &self,
        scope: &ShardScope,
        spec: &GraphSpec,
        own: impl Iterator<Item = &'w WorkerRegistration> + Clone,
    ) -> Option<ShardId> {
        let mut tasks: BTreeMap<ShardId, u32> = BTreeMap::new();
        for step in &spec.steps {
            let Some(rack) = &step.affinity else {
                continue;
            };
            let is_own = own.clone().any(|registration| registration.rack == *rack);
            let elsewhere = || {
                let mut workers = self.known_workers();
                workers
                    .find(|(_, registration)| registration.rack == *rack)
                    .map(|(shard, _)| shard.clone())
            };
            let shard = if is_own { Some(scope.shard.clone()) } else { elsewhere() };
            if let Some(shard) = shard {
                *tasks.entry(shard).or_default() += step.count;
            }
        }
        tasks.into_iter().max_by_key(|(_, count)| *count).map(|(shard, _)| shard)
    }

    /// Returns how many workers in each shard the tasks of a lasting job may use, where the job is too wide
    /// for this shard alone. `own` are the workers of this shard.
    pub(crate) fn weights<'w>(
        &self,
        scope: &ShardScope,
        spec: &GraphSpec,
        rule: &QueueRule,
        own: impl Iterator<Item = &'w WorkerRegistration> + Clone,
    ) -> Option<Vec<(ShardId, usize)>> {
        let divisible = spec.steps.iter().all(|step| step.lasting && !step.gang);
        let widest = spec.steps.iter().max_by_key(|step| step.count)?;
        if !divisible || spec.repeat.is_some() {
            return None;
        }
        let own_count = own.filter(|registration| can_run_on(widest, rule, registration)).count();
        if own_count >= widest.count as usize * WORKERS_PER_TASK {
            return None;
        }
        let mut weights = vec![(scope.shard.clone(), own_count)];
        for shard in scope.plan.shards().into_iter().filter(|shard| *shard != scope.shard) {
            let count = self.count(&shard, widest, rule);
            if count > 0 && weights.len() < MAX_SHARES {
                weights.push((shard, count));
            }
        }
        (weights.len() > 1).then_some(weights)
    }

    /// Returns the shard that can run a job of which this one can run no step that is ready: of those with workers for one
    /// of the `ready` steps the one with workers for most of the `open` ones.
    pub(crate) fn shard_for_steps(
        &self,
        scope: &ShardScope,
        rule: &QueueRule,
        ready: &[&StepSpec],
        open: &[&StepSpec],
    ) -> Option<ShardId> {
        let has_workers = |shard: &ShardId, step: &StepSpec| self.count(shard, step, rule) > 0;
        let others = scope.plan.shards().into_iter().filter(|shard| *shard != scope.shard);
        let able = others.filter(|shard| ready.iter().any(|step| has_workers(shard, step)));
        // Of equal shards the first one is taken.
        able.min_by_key(|shard| open.iter().filter(|step| !has_workers(shard, step)).count())
    }

    fn count(&self, shard: &ShardId, step: &StepSpec, rule: &QueueRule) -> usize {
        let in_shard = self.known_workers().filter(|(other, _)| *other == shard);
        in_shard.filter(|(_, registration)| can_run_on(step, rule, registration)).count()
    }
}
