//! Submission, rejection and cancellation of jobs.

use std::time::Duration;

use log::{info, warn};
use tokio::time::Instant;

use crate::graph::controller::GraphController;
use crate::graph::event::{GraphAction, GraphAnswer};
use crate::graph::placement::home::choose_home;
use crate::graph::storing::commit::GroupNumber;
use crate::graph::workload::job::{GraphJob, GraphRecord, GraphState};
use crate::graph::workload::name::{AttemptId, GraphId};
use crate::id::{CallId, UnixMillis};

/// Delay after which a caller whose job could not be accepted should retry. Callers wait three
/// seconds in all, so one second allows two more tries. With delays that grew with the outage up to
/// four seconds fewer callers succeeded in time.
const RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Retry delay for a job that no shard can hold: it can only be accepted once the deployment has
/// grown.
const UNPLACEABLE_RETRY_DELAY: Duration = Duration::from_secs(60);
/// How long a job waits for a store that refuses writes before its caller is asked to retry.
/// Together with the retry delay, two tries cover the three seconds that a caller waits.
const MAX_STORE_WAIT: Duration = Duration::from_millis(900);
/// Part of the caller timeout that is reserved for the transit of a refusal: after the timeout, the
/// refusal would count as no answer.
const REFUSAL_TRANSIT_TIME: Duration = Duration::from_millis(40);
/// At most one part in this many of a short caller timeout is reserved for the transit: a group is
/// stored within 10 ms.
const TRANSIT_DIVISOR: u32 = 3;

/// How long a job waits for the registrations to be read: an entry waits at most a second for the
/// answer of one shard.
const REGISTRATIONS_WAIT: Duration = Duration::from_millis(400);

/// A job that waits for the registrations to be read.
#[derive(Clone, Debug)]
pub(super) struct DeferredSubmission {
    call: CallId,
    attempt: AttemptId,
    /// How long the caller waits, from `since`.
    caller_timeout: Duration,
    record: GraphRecord,
    /// Whether this shard takes the job even if another might be better.
    forced: bool,
    since: Instant,
    /// When the job is refused if the registrations have not been read by then.
    pub(super) deadline: Instant,
}

impl GraphController {
    /// Accepts a job unless the leader of another shard should run it.
    pub fn submit(
        &mut self,
        now: Instant,
        call: CallId,
        attempt: AttemptId,
        caller_timeout: Duration,
        record: GraphRecord,
    ) {
        let known = self.jobs.get(&record.spec.id).is_some();
        match self.better_shard(now, &record).filter(|_| !known) {
            _ if !known && self.awaits_registrations() => {
                self.defer(now, call, attempt, caller_timeout, record, false);
            }
            Some(shard) => {
                self.actions.push(GraphAction::Answer(call, GraphAnswer::Elsewhere(shard)));
            }
            None => self.submit_here(now, call, attempt, caller_timeout, record),
        }
    }

    /// Accepts a job; the answer is sent once the job is stored.
    ///
    /// `attempt` identifies the request of the caller: a rejected request stays rejected if it
    /// arrives again. The caller waits for `caller_timeout`.
    pub fn submit_here(
        &mut self,
        now: Instant,
        call: CallId,
        attempt: AttemptId,
        caller_timeout: Duration,
        record: GraphRecord,
    ) {
        let id = record.spec.id.clone();
        match self.jobs.get(&id) {
            // Another shard may have a job of this name that belongs to the caller.
            Some(job) if !job.is_visible_to(record.workspace.as_ref()) && !job.durable => {
                self.actions.push(GraphAction::Answer(call, GraphAnswer::Unready));
                return;
            }
            Some(job) if !job.is_visible_to(record.workspace.as_ref()) => {
                self.actions.push(GraphAction::Answer(call, GraphAnswer::NameTaken));
                return;
            }
            Some(job) if job.durable => {
                self.actions.push(GraphAction::Answer(call, GraphAnswer::Accepted));
                return;
            }
            Some(_) => {}
            None if self.commits.is_arriving(&id) => {
                self.actions.push(GraphAction::Answer(call, GraphAnswer::Unready));
                return;
            }
            None if self.rejected.contains_key(&attempt) => {
                self.reject(now, call, attempt, &id, "this attempt was rejected before");
                return;
            }
            None if self.awaits_registrations() => {
                self.defer(now, call, attempt, caller_timeout, record, true);
                return;
            }
            None if self.exceeds_cap(&record) => {
                let reason = "larger than the cap of its workspace";
                self.reject_with_delay(now, call, attempt, &id, reason, UNPLACEABLE_RETRY_DELAY);
                return;
            }
            None if self.is_too_large(now, &record) => {
                self.reject_with_delay(
                    now,
                    call,
                    attempt,
                    &id,
                    "too large for a shard",
                    UNPLACEABLE_RETRY_DELAY,
                );
                return;
            }
            None => {
                let mut job = GraphJob::new(record, now);
                job.exceeds_rate =
                    self.rates.exceeds_rate(job.workspace.as_ref(), job.spec.accepted);
                job.shard = self.scope.shard.clone();
                job.home = choose_home(&self.instances, &job, now);
                job.share = self.share_among_shards(now, &job);
                let transit_time = REFUSAL_TRANSIT_TIME.min(caller_timeout / TRANSIT_DIVISOR);
                job.submit_deadline =
                    now + MAX_STORE_WAIT.min(caller_timeout.saturating_sub(transit_time));
                self.jobs.insert(job);
                self.commits.add(id.clone());
                self.pass_wanted = true;
            }
        }
        self.waiters.entry(id).or_default().push((call, attempt));
    }

    /// Defers a submission until the registrations have been read.
    fn defer(
        &mut self,
        now: Instant,
        call: CallId,
        attempt: AttemptId,
        caller_timeout: Duration,
        record: GraphRecord,
        forced: bool,
    ) {
        let transit_time = REFUSAL_TRANSIT_TIME.min(caller_timeout / TRANSIT_DIVISOR);
        let deadline = now + REGISTRATIONS_WAIT.min(caller_timeout.saturating_sub(transit_time));
        let since = now;
        self.deferred.push(DeferredSubmission {
            call,
            attempt,
            caller_timeout,
            record,
            forced,
            since,
            deadline,
        });
    }

    /// Submits the jobs that have waited for the registrations.
    pub(super) fn submit_deferred(&mut self, now: Instant) {
        for deferred in std::mem::take(&mut self.deferred) {
            let DeferredSubmission { call, attempt, record, forced, .. } = deferred;
            let caller_timeout = deferred
                .caller_timeout
                .saturating_sub(now.saturating_duration_since(deferred.since));
            match forced {
                true => self.submit_here(now, call, attempt, caller_timeout, record),
                false => self.submit(now, call, attempt, caller_timeout, record),
            }
        }
    }

    /// Refuses jobs that have waited too long for the registrations.
    pub(super) fn refuse_overdue(&mut self, now: Instant) {
        let overdue: Vec<DeferredSubmission> =
            self.deferred.extract_if(.., |deferred| deferred.deadline <= now).collect();
        for deferred in overdue {
            info!(job = &*deferred.record.spec.id; "job refused: the worker registrations are not read yet");
            self.actions.push(GraphAction::Answer(deferred.call, GraphAnswer::Unready));
        }
    }

    /// Rejects a request permanently.
    pub(super) fn reject(
        &mut self,
        now: Instant,
        call: CallId,
        attempt: AttemptId,
        id: &GraphId,
        reason: &'static str,
    ) {
        self.reject_with_delay(now, call, attempt, id, reason, RETRY_AFTER);
    }

    /// Rejects a request permanently; the caller may submit the job again after `retry_delay`.
    fn reject_with_delay(
        &mut self,
        now: Instant,
        call: CallId,
        attempt: AttemptId,
        id: &GraphId,
        reason: &'static str,
        retry_delay: Duration,
    ) {
        let retry_ms = retry_delay.as_millis() as u64;
        warn!(job = &**id, reason, retry_ms; "job rejected");
        metrics::counter!("kelplink_rejected_jobs_total", "reason" => reason).increment(1);
        self.rejected.insert(attempt, now);
        self.actions.push(GraphAction::Answer(call, GraphAnswer::Rejected(retry_delay)));
    }

    /// Rejects jobs that have waited too long for a store that refuses writes, if they are
    /// certainly not stored.
    pub(super) fn reject_overdue(&mut self, now: Instant) {
        let jobs = &self.jobs;
        let is_overdue = |id: &GraphId| jobs.get(id).is_none_or(|job| job.submit_deadline <= now);
        for id in self.commits.remove_added(is_overdue) {
            self.reject_job(now, &id);
        }
    }

    /// Rejects a job that is certainly not stored.
    pub(super) fn reject_job(&mut self, now: Instant, id: &GraphId) {
        self.jobs.remove(id);
        self.advice.forget(id);
        for (call, attempt) in self.waiters.remove(id).unwrap_or_default() {
            self.reject(now, call, attempt, id, "the store takes nothing");
        }
    }

    /// Handles a group that the store has certainly not applied.
    pub fn handle_group_refused(&mut self, now: Instant, number: GroupNumber) {
        let Some(group) = self.commits.take_refused(number, now) else {
            return;
        };
        for record in group.added {
            self.commits.add(record.spec.id);
        }
        self.reject_overdue(now);
    }

    /// Cancels a job; the answer is sent once the cancellation is stored.
    pub fn cancel(&mut self, now: Instant, unix: UnixMillis, call: CallId, id: &GraphId) {
        let job = self.jobs.get(id).filter(|job| !job.is_part() && !job.has_moved());
        let state = job.map(GraphJob::state);
        let answer = match state {
            None | Some(GraphState::Completed | GraphState::Failed) => Some(GraphAnswer::Gone),
            Some(GraphState::Cancelled) => Some(GraphAnswer::Cancelled),
            Some(GraphState::Queued | GraphState::Running) => None,
        };
        if let Some(answer) = answer {
            self.actions.push(GraphAction::Answer(call, answer));
            return;
        }
        let effect = self.jobs.cancel(id, unix);
        info!(job = &**id, stops = effect.stops.len(); "job cancelled by its caller");
        self.waiters.entry(id.clone()).or_default().push((call, 0));
        self.advice.forget(id);
        self.apply_effect(now, id, effect);
    }

    pub(super) fn answer_waiters(&mut self, id: &GraphId, answer: GraphAnswer) {
        for (call, _) in self.waiters.remove(id).unwrap_or_default() {
            self.actions.push(GraphAction::Answer(call, answer.clone()));
        }
    }

    /// Ends leadership: callers that wait are answered with a rejection if their job is certainly
    /// not stored.
    pub fn resign(&mut self) {
        for deferred in std::mem::take(&mut self.deferred) {
            self.actions.push(GraphAction::Answer(deferred.call, GraphAnswer::Unready));
        }
        let waiting = std::mem::take(&mut self.waiters);
        for (id, calls) in waiting {
            let not_stored = self.jobs.get(&id).is_some_and(|job| !job.durable)
                && !self.commits.may_be_stored(&id);
            if !not_stored {
                continue;
            }
            for (call, _) in calls {
                self.actions.push(GraphAction::Answer(call, GraphAnswer::Rejected(RETRY_AFTER)));
            }
        }
    }
}
