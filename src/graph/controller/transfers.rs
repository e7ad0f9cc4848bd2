//! Jobs that move to another shard because this one has no worker for them, and jobs that other shards give to this one.
//!
//! A job's shard is chosen at its submission. When the last workers of a kind leave the shard, the jobs that need them would
//! wait without end beside idle workers of other shards.

use std::time::Duration;

use log::{error, info};
use tokio::time::Instant;

use crate::graph::controller::GraphController;
use crate::graph::event::GraphAnswer;
use crate::graph::placement::home::can_run_on;
use crate::graph::sharding::shard::ShardId;
use crate::graph::sharding::transfer::{ArrivingJob, DepartingJob, MovedJob};
use crate::graph::workload::job::GraphJob;
use crate::graph::workload::name::{GraphId, StepKey};
use crate::graph::workload::spec::StepSpec;
use crate::id::UnixMillis;

/// Interval between reviews of the jobs that wait.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between reviews of a job that no shard can run: each looks at all workers of all shards, and such jobs may be
/// many.
const UNPLACEABLE_INTERVAL: Duration = Duration::from_secs(5);
/// Number of occurrences of a job that a review looks at.
const MAX_REVIEWED_OCCURRENCES: u32 = 64;

impl GraphController {
    /// Gives jobs to other shards that this one has no worker for, where another one has.
    pub(super) fn review_transfers(&mut self, now: Instant, unix: UnixMillis) {
        if !self.scope.plan.is_divided()
            || self.awaits_registrations()
            || !self.knows_all_runs()
            || now < self.next_transfer_review
        {
            return;
        }
        self.next_transfer_review = now + REVIEW_INTERVAL;
        self.unplaceable.retain(|_, until| now < *until);
        let movable = self.jobs.schedulable().filter(|job| self.is_movable(job));
        let stranded: Vec<(GraphId, Option<ShardId>)> = movable
            .filter(|job| !self.unplaceable.contains_key(&job.spec.id))
            .filter_map(|job| Some((job.spec.id.clone(), self.shard_that_can_run(now, unix, job)?)))
            .collect();
        for (id, shard) in stranded {
            match shard {
                Some(shard) => self.give_to_shard(unix, id, shard),
                None => {
                    self.unplaceable.insert(id, now + UNPLACEABLE_INTERVAL);
                }
            }
        }
    }

    /// Whether nothing of a job runs or may run, and the store has all of it. A job that several shards run stays.
    fn is_movable(&self, job: &GraphJob) -> bool {
        job.durable
            && job.share.is_none()
            && job.live.is_empty()
            && job.progress.floors == job.stored_floors
            && self.commits.is_stored(&job.spec.id)
    }

    /// Returns the shard that can run a job, if there is one. The outer value is `None` if no step is ready, or a worker of
    /// this shard can run one that is.
    fn shard_that_can_run(
        &self,
        now: Instant,
        unix: UnixMillis,
        job: &GraphJob,
    ) -> Option<Option<ShardId>> {
        let (mut ready, mut open) = (Vec::new(), Vec::new());
        for (key, step) in open_steps(job, unix) {
            open.push(step);
            if !job.dependencies_done(key) {
                continue;
            }
            let mut own = self.own_registrations(now);
            if own.any(|registration| can_run_on(step, &job.rule, registration)) {
                return None;
            }
            ready.push(step);
        }
        (!ready.is_empty())
            .then(|| self.remote_workers.shard_for_steps(&self.scope, &job.rule, &ready, &open))
    }

    fn give_to_shard(&mut self, unix: UnixMillis, id: GraphId, shard: ShardId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let moved = MovedJob::new(job, self.run_base());
        let (bytes, max_bytes) = (moved.stored_bytes(), self.bounds.max_value_bytes);
        if bytes > max_bytes {
            error!(job = &*id, bytes, max_bytes; "a job that its shard cannot place is too large to move");
            return;
        }
        info!(job = &*id, shard = &*shard, bytes; "no worker of the shard can run a job: it moves");
        metrics::counter!("kelplink_moved_jobs_total").increment(1);
        self.jobs.move_away(&id, unix);
        self.advice.forget(&id);
        self.commits.depart(id, shard);
    }

    /// Handles the store's confirmation that another shard has a job.
    pub(super) fn finish_departure(&mut self, now: Instant, job: &DepartingJob) {
        let id = job.id();
        info!(job = &**id, shard = &*job.shard; "job has moved");
        self.insert_stored(now, &job.left);
        // Callers find the other shard by the index.
        self.answer_waiters(id, GraphAnswer::Unready);
    }

    /// Takes a job that another leader has given to this shard; it runs once this leader has stored it.
    /// `notice_revision` is that of the notice by which it was given.
    pub fn accept_moved(
        &mut self,
        now: Instant,
        unix: UnixMillis,
        moved: MovedJob,
        notice_revision: u64,
    ) {
        let known = self.jobs.get(&moved.record.spec.id);
        if known.is_some_and(|known| known.durable && !known.has_moved()) {
            return;
        }
        // A submission of it that is not in a group yet would be refused by the index; in one group with the job it would
        // keep the job from being taken.
        let id = moved.record.spec.id.clone();
        for id in self.commits.remove_added(|added| *added == id) {
            self.jobs.remove(&id);
            self.advice.forget(&id);
            self.answer_waiters(&id, GraphAnswer::Unready);
        }
        let age = Duration::from_millis(unix.saturating_sub(moved.record.spec.accepted));
        let submitted_at = now.checked_sub(age).unwrap_or(now);
        self.commits.arrive(ArrivingJob { moved, notice_revision, submitted_at });
    }

    /// Handles the store's confirmation of a job that another leader has given to this shard. `is_withdrawn` is whether
    /// the notice was not there any more, so that the job was not taken.
    pub(super) fn finish_arrival(&mut self, job: &ArrivingJob, is_withdrawn: bool) {
        let id = job.id();
        info!(job = &**id, is_withdrawn; "job from another shard");
        if !is_withdrawn {
            self.insert_stored(job.submitted_at, &job.moved);
        }
    }

    /// Puts a job in the form that the store has into the table.
    fn insert_stored(&mut self, submitted_at: Instant, stored: &MovedJob) {
        let MovedJob { record, progress } = stored.clone();
        let mut job = GraphJob::restored(record, progress, submitted_at, Duration::ZERO);
        // No run of it was started by an earlier leader of this shard.
        job.inherited = false;
        job.shard = self.scope.shard.clone();
        self.jobs.insert(job);
        self.pass_wanted = true;
    }
}

/// Steps of a job that are due and have tasks to start.
fn open_steps(job: &GraphJob, unix: UnixMillis) -> impl Iterator<Item = (StepKey, &StepSpec)> {
    let occurrences = (0..job.spec.occurrences())
        .take_while(move |occurrence| job.spec.due(*occurrence).is_none_or(|due| due <= unix))
        .filter(|occurrence| has_open_step(job, *occurrence))
        .take(MAX_REVIEWED_OCCURRENCES as usize);
    occurrences.flat_map(move |occurrence| {
        let steps = job.spec.steps.iter().enumerate();
        let steps = steps.map(move |(index, step)| {
            (StepKey { occurrence, step: u32::try_from(index).unwrap_or(u32::MAX) }, step)
        });
        steps.filter(|(key, _)| !job.step_done(*key))
    })
}

fn has_open_step(job: &GraphJob, occurrence: u32) -> bool {
    let mut steps = 0..u32::try_from(job.spec.steps.len()).unwrap_or(u32::MAX);
    steps.any(|step| !job.step_done(StepKey { occurrence, step }))
}
