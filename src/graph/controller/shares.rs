//! Jobs that several shards run, and jobs that are better placed in another shard.

use std::time::Duration;

use log::info;
use tokio::time::Instant;

use crate::graph::controller::GraphController;
use crate::graph::exchange::WorkerRegistration;
use crate::graph::home::can_run_on;
use crate::graph::job::{GraphJob, GraphRecord};
use crate::graph::name::{GraphId, TaskName};
use crate::graph::notice::NoticeKind;
use crate::graph::progress::GraphVerdict;
use crate::graph::shard::{ShardId, ShardScope};
use crate::graph::share::TaskShare;
use crate::graph::spec::StepSpec;
use crate::graph::step_capacity::tasks_that_fit;
use crate::graph::worker::WorkerInstance;
use crate::id::UnixMillis;
use crate::resources::ResourceVector;

/// Part of the room beside lasting tasks that a gang may take where advice is needed: the rest is in use by other
/// jobs, which stop for no gang. Of 22 tasks of 11 cores, for which 154 such places were allowed, none ever ran.
const GANG_PART: f64 = 0.06;
/// A share that another leader has accepted is never rejected, however long the store takes nothing.
const NEVER: Duration = Duration::from_secs(366 * 24 * 3_600);

impl GraphController {
    /// Makes it the leader of one shard. To be called before anything else.
    pub fn with_scope(mut self, scope: ShardScope) -> Self {
        self.commits.set_divided(scope.plan.is_divided());
        for job in self.jobs.iter_mut() {
            job.shard = scope.shard.clone();
        }
        self.scope = scope;
        let shared = self.jobs.iter().filter(|job| job.share.is_some());
        let shared: Vec<GraphId> = shared.map(|job| job.spec.id.clone()).collect();
        // Whether the leader before has sent them is not known.
        for job in shared {
            self.send_notices(&job);
        }
        self
    }

    /// A worker of another shard has registered or changed its registration.
    pub fn worker_registered_elsewhere(
        &mut self,
        shard: ShardId,
        registration: WorkerRegistration,
    ) {
        self.remote_workers.register(shard, registration);
    }

    /// The shard that should take a job in place of this one.
    pub(super) fn better_shard(&self, now: Instant, record: &GraphRecord) -> Option<ShardId> {
        if !self.scope.plan.is_divided() {
            return None;
        }
        let own = self.own_registrations(now);
        self.remote_workers.better_shard(&self.scope, &record.spec, &record.rule, own)
    }

    /// How the tasks of a new job are shared out among shards, where it is too wide for this one.
    pub(super) fn share_out(&self, now: Instant, job: &GraphJob) -> Option<TaskShare> {
        if !self.scope.plan.is_divided() {
            return None;
        }
        let own = self.own_registrations(now);
        let weights = self.remote_workers.weights(&self.scope, &job.spec, &job.rule, own)?;
        info!(job = &*job.spec.id, shards = weights.len(); "a job is shared out");
        metrics::counter!("kelplink_shared_jobs_total").increment(1);
        Some(TaskShare::new(self.scope.shard.clone(), &weights))
    }

    /// Whether a gang of a job is too large for a shard: for a part of the room that lasting tasks leave on the
    /// workers that advice allows, as it was answered so far.
    ///
    /// Load it answers: gangs of 33 and 75 tasks of 15 cores in shards of 220 workers, a third of which may run
    /// them, most of them with a lasting task of nine cores. Accepted, they waited for good; no other shard is
    /// larger, so they are rejected at once.
    pub(super) fn is_too_large(&self, now: Instant, record: &GraphRecord) -> bool {
        let rule = &record.rule;
        let share = rule.advice.map_or(1.0, |_| self.advice.share(&rule.id));
        let part = rule.advice.map_or(1.0, |_| GANG_PART);
        let holds = |step: &StepSpec| {
            let most = step.max_per_worker.unwrap_or(u32::MAX);
            let fitting = self.instances.iter().filter(|instance| instance.counts(now));
            let fitting = fitting.filter(|instance| can_run_on(step, rule, &instance.registration));
            let room = |instance: &WorkerInstance| {
                tasks_that_fit(&self.room_beside_lasting(instance), &step.reservation()).min(most)
            };
            fitting.map(|instance| f64::from(room(instance))).sum::<f64>() * share * part
        };
        let mut gangs = record.spec.steps.iter().filter(|step| step.gang);
        self.scope.plan.is_divided() && gangs.any(|step| f64::from(step.count) > holds(step))
    }

    /// Room of a worker without all but its lasting tasks.
    fn room_beside_lasting(&self, instance: &WorkerInstance) -> ResourceVector {
        let lasts = |task: &TaskName| {
            let step = self.jobs.get(&task.job).and_then(|job| job.step(task.key.step));
            step.is_some_and(|step| step.lasting)
        };
        let lasting = instance.runs.iter().filter(|(task, _)| lasts(task));
        lasting
            .fold(instance.registration.capacity, |room, (_, run)| room.saturating_sub(&run.need))
    }

    /// Workers of this shard that count where a job is judged.
    fn own_registrations(&self, now: Instant) -> impl Iterator<Item = &WorkerRegistration> + Clone {
        self.instances
            .iter()
            .filter(move |instance| instance.counts(now))
            .map(|instance| &instance.registration)
    }

    /// Tells the other shards of a job what they have to know by now.
    pub(super) fn send_notices(&mut self, id: &GraphId) {
        let Some(job) = self.jobs.get(id).filter(|job| job.durable) else {
            return;
        };
        let Some(share) = &job.share else {
            return;
        };
        let (kind, others): (NoticeKind, Vec<ShardId>) =
            match (job.progress.verdict, job.is_part()) {
                (None, false) => (NoticeKind::Start, share.others().cloned().collect()),
                (Some(GraphVerdict::Cancelled | GraphVerdict::Failed), false) => {
                    (NoticeKind::Cancel, share.others().cloned().collect())
                }
                (Some(GraphVerdict::Failed), true) => (NoticeKind::Fail, vec![share.owner.clone()]),
                (None | Some(GraphVerdict::Cancelled), true)
                | (Some(GraphVerdict::Completed), _) => return,
            };
        for shard in others {
            self.commits.send_notice(id.clone(), shard, kind);
        }
    }

    /// Takes a share of a job that another leader has accepted. It is run once this leader has stored it:
    /// the store refuses that of a leader that has been succeeded.
    pub fn take_share(&mut self, now: Instant, record: GraphRecord) {
        let id = record.spec.id.clone();
        match self.jobs.get(&id) {
            Some(job) if job.durable => self.commits.settle_notice(id, NoticeKind::Start, now),
            Some(_) => {}
            None => {
                let mut job = GraphJob::new(record, now);
                job.shard = self.scope.shard.clone();
                job.submit_deadline = now + NEVER;
                self.jobs.insert(job);
                self.commits.add(id);
                self.pass_wanted = true;
            }
        }
    }

    /// A share of a job that was accepted here has failed, and so has the job.
    pub fn fail_shared(&mut self, now: Instant, unix: UnixMillis, id: &GraphId) {
        match self.jobs.get(id) {
            Some(job) if job.is_over() && job.stored_verdict.is_none() => {}
            Some(job) if !job.is_over() => {
                let effect = self.jobs.fail(id, unix);
                info!(job = &**id, stops = effect.stops.len(); "a share of a job has failed");
                self.advice.forget(id);
                self.apply(now, id, effect);
            }
            // It has ended, or is forgotten.
            _ => self.commits.settle_notice(id.clone(), NoticeKind::Fail, now),
        }
    }

    /// The owner of a job that is run here in part has ended it.
    pub fn cancel_share(&mut self, now: Instant, unix: UnixMillis, id: &GraphId) {
        match self.jobs.get(id) {
            Some(job) if job.stored_verdict.is_some() => {
                self.commits.settle_notice(id.clone(), NoticeKind::Cancel, now);
            }
            Some(job) if job.is_over() => {}
            Some(_) => {
                let effect = self.jobs.cancel(id, unix);
                info!(job = &**id, stops = effect.stops.len(); "job ended by its owner");
                self.advice.forget(id);
                self.apply(now, id, effect);
            }
            // It was never begun here, or is forgotten.
            None => {
                self.commits.settle_notice(id.clone(), NoticeKind::Start, now);
                self.commits.settle_notice(id.clone(), NoticeKind::Cancel, now);
            }
        }
    }
}
