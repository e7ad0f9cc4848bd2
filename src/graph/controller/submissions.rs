//! Jobs as they come in, are refused, and are cancelled.

use std::time::Duration;

use log::{info, warn};
use tokio::time::Instant;

use crate::graph::commit::GroupNumber;
use crate::graph::controller::GraphController;
use crate::graph::event::{GraphAction, GraphAnswer};
use crate::graph::home::choose_home;
use crate::graph::job::{GraphJob, GraphRecord, GraphState};
use crate::graph::name::{AttemptId, GraphId};
use crate::id::{CallId, UnixMillis};

/// Advice on when to come back to a caller whose job could not be taken: callers wait three seconds in
/// all, so one second gives them two more tries. Pauses that grow with the outage up to four seconds
/// were tried: fewer came back in time.
const RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// The same to one whose job no shard can hold: it can only be taken once the deployment has grown.
const HOPELESS_PAUSE: Duration = Duration::from_secs(60);
/// How long a job waits for a store that takes nothing before its caller is told to come back: with
/// the pause that it is told, a caller's three seconds are covered by two tries.
const STORE_WAIT: Duration = Duration::from_millis(900);
/// Kept of a caller's patience for the way of a refusal: an answer after it would be taken for none.
const REFUSAL_WAY: Duration = Duration::from_millis(40);
/// Part of a short patience that is kept at most: a group is stored within 10 ms.
const WAY_PART: u32 = 3;

/// How long a job waits for the registrations to be read: an entry's try for a shard takes a second at most.
const READING_WAIT: Duration = Duration::from_millis(400);

/// A job that waits for the registrations to be read.
#[derive(Clone, Debug)]
pub(super) struct DeferredSubmission {
    call: CallId,
    attempt: AttemptId,
    /// How long the caller waits, from `since`.
    caller_timeout: Duration,
    record: GraphRecord,
    /// Whether it is to be taken though another shard might be better.
    forced: bool,
    since: Instant,
    /// When its caller's entry is told to go on without.
    pub(super) until: Instant,
}

impl GraphController {
    /// Takes a job in, unless another shard's leader should have it.
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
                self.hold(now, call, attempt, caller_timeout, record, false);
            }
            Some(shard) => {
                self.actions.push(GraphAction::Answer(call, GraphAnswer::Elsewhere(shard)));
            }
            None => self.submit_here(now, call, attempt, caller_timeout, record),
        }
    }

    /// Takes a job in; the answer comes when it is stored. `attempt` tells the caller's requests
    /// apart: one that was rejected stays so, should it arrive again.
    /// The caller waits for `caller_timeout`.
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
            Some(job) if job.durable => {
                self.actions.push(GraphAction::Answer(call, GraphAnswer::Accepted));
                return;
            }
            Some(_) => {}
            None if self.rejected.contains_key(&attempt) => {
                self.reject(now, call, attempt, &id, "this attempt was rejected before");
                return;
            }
            None if self.awaits_registrations() => {
                self.hold(now, call, attempt, caller_timeout, record, true);
                return;
            }
            None if self.is_too_large(now, &record) => {
                self.reject_for(now, call, attempt, &id, "too large for a shard", HOPELESS_PAUSE);
                return;
            }
            None => {
                let mut job = GraphJob::new(record, now);
                job.shard = self.scope.shard.clone();
                job.home = choose_home(&self.instances, &job, now);
                job.share = self.share_out(now, &job);
                let way = REFUSAL_WAY.min(caller_timeout / WAY_PART);
                job.submit_deadline = now + STORE_WAIT.min(caller_timeout.saturating_sub(way));
                self.jobs.insert(job);
                self.commits.add(id.clone());
                self.pass_wanted = true;
            }
        }
        self.waiters.entry(id).or_default().push((call, attempt));
    }

    /// Keeps a job until the registrations have been read.
    fn hold(
        &mut self,
        now: Instant,
        call: CallId,
        attempt: AttemptId,
        caller_timeout: Duration,
        record: GraphRecord,
        forced: bool,
    ) {
        let way = REFUSAL_WAY.min(caller_timeout / WAY_PART);
        let until = now + READING_WAIT.min(caller_timeout.saturating_sub(way));
        let since = now;
        self.held.push(DeferredSubmission {
            call,
            attempt,
            caller_timeout,
            record,
            forced,
            since,
            until,
        });
    }

    /// Takes in the jobs that have waited for the registrations.
    pub(super) fn take_held(&mut self, now: Instant) {
        for held in std::mem::take(&mut self.held) {
            let DeferredSubmission { call, attempt, record, forced, .. } = held;
            let caller_timeout =
                held.caller_timeout.saturating_sub(now.saturating_duration_since(held.since));
            match forced {
                true => self.submit_here(now, call, attempt, caller_timeout, record),
                false => self.submit(now, call, attempt, caller_timeout, record),
            }
        }
    }

    /// Turns away jobs that have waited long for the registrations.
    pub(super) fn release_overdue(&mut self, now: Instant) {
        let overdue: Vec<DeferredSubmission> =
            self.held.extract_if(.., |held| held.until <= now).collect();
        for held in overdue {
            info!(job = &*held.record.spec.id; "job not taken: the registrations are not read yet");
            self.actions.push(GraphAction::Answer(held.call, GraphAnswer::Unready));
        }
    }

    /// Rejects a request for good.
    pub(super) fn reject(
        &mut self,
        now: Instant,
        call: CallId,
        attempt: AttemptId,
        id: &GraphId,
        reason: &'static str,
    ) {
        self.reject_for(now, call, attempt, id, reason, RETRY_AFTER);
    }

    /// Rejects a request for good; its caller may come back after `pause`.
    fn reject_for(
        &mut self,
        now: Instant,
        call: CallId,
        attempt: AttemptId,
        id: &GraphId,
        reason: &'static str,
        pause: Duration,
    ) {
        let retry_ms = pause.as_millis() as u64;
        warn!(job = &**id, reason, retry_ms; "job rejected");
        metrics::counter!("kelplink_rejected_jobs_total", "reason" => reason).increment(1);
        self.rejected.insert(attempt, now);
        self.actions.push(GraphAction::Answer(call, GraphAnswer::Rejected(pause)));
    }

    /// Rejects jobs that have waited long for a store that takes nothing, where it is sure that it has
    /// not taken them.
    pub(super) fn reject_waiting(&mut self, now: Instant) {
        let jobs = &self.jobs;
        let waited = |id: &GraphId| jobs.get(id).is_none_or(|job| job.submit_deadline <= now);
        for id in self.commits.take_added(waited) {
            self.reject_job(now, &id);
        }
    }

    /// Rejects a job that is surely not stored.
    pub(super) fn reject_job(&mut self, now: Instant, id: &GraphId) {
        self.jobs.remove(id);
        self.advice.forget(id);
        for (call, attempt) in self.waiters.remove(id).unwrap_or_default() {
            self.reject(now, call, attempt, id, "the store takes nothing");
        }
    }

    /// The store has surely not taken a group.
    pub fn handle_group_refused(&mut self, now: Instant, number: GroupNumber) {
        let Some(group) = self.commits.refused(number, now) else {
            return;
        };
        for record in group.added {
            self.commits.add(record.spec.id);
        }
        self.reject_waiting(now);
    }

    /// Cancels a job; the answer comes when that is stored.
    pub fn cancel(&mut self, now: Instant, unix: UnixMillis, call: CallId, id: &GraphId) {
        let own = self.jobs.get(id).filter(|job| !job.is_part());
        let state = own.map(GraphJob::state);
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
        self.apply(now, id, effect);
    }

    pub(super) fn answer_waiters(&mut self, id: &GraphId, answer: GraphAnswer) {
        for (call, _) in self.waiters.remove(id).unwrap_or_default() {
            self.actions.push(GraphAction::Answer(call, answer.clone()));
        }
    }

    /// Ends leadership: who waits is told that the job was not taken where that is sure.
    pub fn resign(&mut self) {
        for held in std::mem::take(&mut self.held) {
            self.actions.push(GraphAction::Answer(held.call, GraphAnswer::Unready));
        }
        let waiting = std::mem::take(&mut self.waiters);
        for (id, calls) in waiting {
            let sure =
                self.jobs.get(&id).is_some_and(|job| !job.durable) && !self.commits.sent(&id);
            if !sure {
                continue;
            }
            for (call, _) in calls {
                self.actions.push(GraphAction::Answer(call, GraphAnswer::Rejected(RETRY_AFTER)));
            }
        }
    }
}
