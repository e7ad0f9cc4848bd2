//! Jobs that several shards run, and jobs that belong in another shard.

use std::time::Duration;

use log::info;
use tokio::time::Instant;

use crate::graph::controller::GraphController;
use crate::graph::exchange::WorkerRegistration;
use crate::graph::placement::home::can_run_on;
use crate::graph::placement::step_capacity::tasks_that_fit;
use crate::graph::sharding::notice::NoticeKind;
use crate::graph::sharding::shard::{ShardId, ShardScope};
use crate::graph::sharding::share::TaskShare;
use crate::graph::workers::worker::WorkerInstance;
use crate::graph::workload::job::{GraphJob, GraphRecord};
use crate::graph::workload::name::{GraphId, TaskName};
use crate::graph::workload::progress::GraphVerdict;
use crate::graph::workload::spec::StepSpec;
use crate::id::UnixMillis;
use crate::resources::ResourceVector;

/// Fraction of the capacity beside lasting tasks that a gang may take in a queue with placement
/// advice. The rest is in use by other jobs, which are not stopped for a gang. Of 22 tasks of 11
/// cores, for which 154 such places were allowed, none ever ran.
const GANG_CAPACITY_FRACTION: f64 = 0.06;
/// Submission deadline of a share that another leader has accepted: it is never rejected, however
/// long the store refuses writes.
const NO_DEADLINE: Duration = Duration::from_secs(366 * 24 * 3_600);

impl GraphController {
    /// Restricts the leader to one shard. Must be called before any other method.
    pub fn with_scope(mut self, scope: ShardScope) -> Self {
        self.commits.set_divided(scope.plan.is_divided());
        for job in self.jobs.iter_mut() {
            job.shard = scope.shard.clone();
        }
        self.share_caps(self.last_pass, &scope);
        self.scope = scope;
        let shared = self.jobs.iter().filter(|job| job.share.is_some());
        let shared: Vec<GraphId> = shared.map(|job| job.spec.id.clone()).collect();
        // It is unknown whether the previous leader sent these notices.
        for job in shared {
            self.send_notices(&job);
        }
        self
    }

    /// Handles a new or changed registration of a worker of another shard.
    pub fn worker_registered_elsewhere(
        &mut self,
        shard: ShardId,
        registration: WorkerRegistration,
    ) {
        self.remote_workers.register(shard, registration);
    }

    /// The shard that should run a job instead of this one.
    pub(super) fn better_shard(&self, now: Instant, record: &GraphRecord) -> Option<ShardId> {
        if !self.scope.plan.is_divided() {
            return None;
        }
        let own = self.own_registrations(now);
        self.remote_workers.better_shard(&self.scope, &record.spec, &record.rule, own)
    }

    /// How the tasks of a new job are split among shards, if the job is too wide for this one.
    pub(super) fn share_among_shards(&self, now: Instant, job: &GraphJob) -> Option<TaskShare> {
        if !self.scope.plan.is_divided() {
            return None;
        }
        let own = self.own_registrations(now);
        let weights = self.remote_workers.weights(&self.scope, &job.spec, &job.rule, own)?;
        info!(job = &*job.spec.id, shards = weights.len(); "job shared among shards");
        metrics::counter!("kelplink_shared_jobs_total").increment(1);
        Some(TaskShare::new(self.scope.shard.clone(), &weights))
    }

    /// Whether a gang of a job is too large for a shard. It may take a part of the capacity that
    /// lasting tasks leave on the workers that advice allows, estimated from the answers so far.
    ///
    /// For example, gangs of 33 and 75 tasks of 15 cores were submitted to shards of 220 workers. A
    /// third of the workers may run such tasks, and most of these had a lasting task of nine cores.
    /// Once accepted, the gangs never started. No other shard is larger, so such a gang is rejected
    /// at once.
    pub(super) fn is_too_large(&self, now: Instant, record: &GraphRecord) -> bool {
        let rule = &record.rule;
        let share = rule.advice.map_or(1.0, |_| self.advice.share(&rule.id));
        let part = rule.advice.map_or(1.0, |_| GANG_CAPACITY_FRACTION);
        let gang_capacity = |step: &StepSpec| {
            let limit = step.max_per_worker.unwrap_or(u32::MAX);
            let fitting = self.instances.iter().filter(|instance| instance.counts(now));
            let fitting = fitting.filter(|instance| can_run_on(step, rule, &instance.registration));
            let tasks = |instance: &WorkerInstance| {
                tasks_that_fit(&self.capacity_beside_lasting(instance), &step.reservation())
                    .min(limit)
            };
            fitting.map(|instance| f64::from(tasks(instance))).sum::<f64>() * share * part
        };
        let mut gangs = record.spec.steps.iter().filter(|step| step.gang);
        self.scope.plan.is_divided()
            && gangs.any(|step| f64::from(step.count) > gang_capacity(step))
    }

    /// Capacity of a worker less what its lasting tasks reserve.
    fn capacity_beside_lasting(&self, instance: &WorkerInstance) -> ResourceVector {
        let lasts = |task: &TaskName| {
            let step = self.jobs.get(&task.job).and_then(|job| job.step(task.key.step));
            step.is_some_and(|step| step.lasting)
        };
        let lasting = instance.runs.iter().filter(|(task, _)| lasts(task));
        lasting.fold(instance.registration.capacity, |capacity, (_, run)| {
            capacity.saturating_sub(&run.need)
        })
    }

    /// Registrations of the workers of this shard that count in decisions on where a job runs.
    pub(super) fn own_registrations(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = &WorkerRegistration> + Clone {
        self.instances
            .iter()
            .filter(move |instance| instance.counts(now))
            .map(|instance| &instance.registration)
    }

    /// Sends the notices on a job that the other shards need in its current state.
    pub(super) fn send_notices(&mut self, id: &GraphId) {
        let Some(job) = self.jobs.get(id).filter(|job| job.durable) else {
            return;
        };
        let Some(share) = &job.share else {
            return;
        };
        let (kind, others): (NoticeKind, Vec<ShardId>) = match (job.progress.verdict, job.is_part())
        {
            (None, false) => (NoticeKind::Start, share.others().cloned().collect()),
            (Some(GraphVerdict::Cancelled | GraphVerdict::Failed), false) => {
                (NoticeKind::Cancel, share.others().cloned().collect())
            }
            (Some(GraphVerdict::Failed), true) => (NoticeKind::Fail, vec![share.owner.clone()]),
            (None | Some(GraphVerdict::Cancelled), true)
            | (Some(GraphVerdict::Completed | GraphVerdict::Moved), _) => return,
        };
        for shard in others {
            self.commits.send_notice(id.clone(), shard, kind);
        }
    }

    /// Accepts a share of a job that another leader has accepted. The share runs once this leader
    /// has stored it: the store refuses the write of a leader that has a successor.
    pub fn accept_share(&mut self, now: Instant, record: GraphRecord) {
        let id = record.spec.id.clone();
        match self.jobs.get(&id) {
            Some(job) if job.durable => self.commits.settle_notice(id, NoticeKind::Start, now),
            Some(_) => {}
            None => {
                let mut job = GraphJob::new(record, now);
                job.shard = self.scope.shard.clone();
                job.submit_deadline = now + NO_DEADLINE;
                self.jobs.insert(job);
                self.commits.add(id);
                self.pass_wanted = true;
            }
        }
    }

    /// Fails a job that was accepted here because its share in another shard has failed.
    pub fn fail_shared(&mut self, now: Instant, unix: UnixMillis, id: &GraphId) {
        match self.jobs.get(id) {
            Some(job) if job.is_over() && job.stored_verdict.is_none() => {}
            Some(job) if !job.is_over() => {
                let effect = self.jobs.fail(id, unix);
                info!(job = &**id, stops = effect.stops.len(); "share of a job failed in another shard");
                self.advice.forget(id);
                self.apply_effect(now, id, effect);
            }
            // The job has already ended or been removed.
            _ => self.commits.settle_notice(id.clone(), NoticeKind::Fail, now),
        }
    }

    /// Ends the share of a job that its owning shard has ended.
    pub fn cancel_share(&mut self, now: Instant, unix: UnixMillis, id: &GraphId) {
        match self.jobs.get(id) {
            Some(job) if job.stored_verdict.is_some() => {
                self.commits.settle_notice(id.clone(), NoticeKind::Cancel, now);
            }
            Some(job) if job.is_over() => {}
            Some(_) => {
                let effect = self.jobs.cancel(id, unix);
                info!(job = &**id, stops = effect.stops.len(); "job ended by its owning shard");
                self.advice.forget(id);
                self.apply_effect(now, id, effect);
            }
            // The share was never accepted here or has been removed.
            None => {
                self.commits.settle_notice(id.clone(), NoticeKind::Start, now);
                self.commits.settle_notice(id.clone(), NoticeKind::Cancel, now);
            }
        }
    }
}
