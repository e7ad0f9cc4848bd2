//! Placement advice: which workers a step may use, requested with as few calls as possible.
//!
//! The set of workers allowed for a step does not change during a worker instance, so answers are
//! kept; tickets expire and are renewed. Each entry can have one call at a time, so calls are
//! spread over all entries, and long calls leave some entries free for short ones.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::graph::exchange::TicketText;
use crate::graph::placement::advice_reserve::AdviceReserve;
use crate::graph::placement::overdue_share::{OverdueKind, OverdueShares};
use crate::graph::workload::name::{GraphId, QueueId, StepKey};
use crate::graph::workload::queue::AdviceRule;
use crate::id::{EntryId, WorkerId};

/// Number of a call for advice.
pub type AdviceId = u64;

/// Calls that take longer than this are long; calls of urgent queues need a tenth of it.
pub(crate) const LONG_CALL: Duration = Duration::from_millis(120);
/// Time before its expiry from which a ticket is not used any more: a start may take this long to
/// arrive.
const TICKET_MARGIN: Duration = Duration::from_millis(150);
/// Added to the expected time of a call to get its timeout.
const CALL_SLACK: Duration = Duration::from_millis(900);
/// Limit of workers in one call.
pub(crate) const MAX_WORKERS_PER_CALL: usize = 48;
/// Assumed share of allowed workers before any answer.
const INITIAL_SHARE: f64 = 0.5;
/// Weight of a new answer in the learned share.
const SHARE_WEIGHT: f64 = 0.1;
/// Lower bound of the share in estimates, so that no call names hundreds of workers.
const MIN_SHARE: f64 = 0.15;

/// Key of a step for which advice is requested.
pub type AdviceKey = (GraphId, StepKey);

/// Advice on one step.
#[derive(Clone, Debug, Default)]
pub struct StepAdvice {
    /// Allowed workers with their ticket and its expiry.
    pub allowed: BTreeMap<WorkerId, (TicketText, Instant)>,
    /// Workers that are not allowed.
    pub denied: BTreeSet<WorkerId>,
    open_call: Option<AdviceId>,
    last_call: Option<Instant>,
    retry_at: Option<Instant>,
}

impl StepAdvice {
    /// Workers with a usable ticket.
    pub fn tickets(&self, now: Instant) -> impl Iterator<Item = &WorkerId> {
        let usable =
            move |(_, (_, end)): &(&WorkerId, &(TicketText, Instant))| now + TICKET_MARGIN < *end;
        self.allowed.iter().filter(usable).map(|(worker, _)| worker)
    }

    /// Whether a ticket is not usable any more after `moment`.
    pub(crate) fn has_ticket_ending_by(&self, moment: Instant) -> bool {
        self.allowed.values().any(|(_, end)| moment + TICKET_MARGIN >= *end)
    }

    /// Whether there has been no answer.
    pub(crate) fn is_empty(&self) -> bool {
        self.allowed.is_empty() && self.denied.is_empty()
    }

    /// Whether the advisor has answered for a worker.
    fn has_answer_for(&self, worker: &WorkerId) -> bool {
        self.allowed.contains_key(worker) || self.denied.contains(worker)
    }

    /// The ticket for a worker, if it is usable.
    pub fn ticket(&self, worker: &WorkerId, now: Instant) -> Option<TicketText> {
        let (ticket, end) = self.allowed.get(worker)?;
        (now + TICKET_MARGIN < *end).then(|| ticket.clone())
    }
}

/// A request for advice that has not been sent yet.
#[derive(Clone, Debug)]
pub struct AdviceRequest {
    /// The step.
    pub key: AdviceKey,
    /// Its queue.
    pub queue: QueueId,
    /// Expected times of a call.
    pub rule: AdviceRule,
    /// Workers to ask about.
    pub workers: Vec<WorkerId>,
}

impl AdviceRequest {
    /// Expected time of the call.
    pub(crate) fn time(&self) -> Duration {
        let workers = u32::try_from(self.workers.len()).unwrap_or(u32::MAX);
        self.rule.call + self.rule.each * workers
    }
}

/// A call for advice.
#[derive(Clone, Debug)]
pub struct AdviceCall {
    /// Number of the call.
    pub id: AdviceId,
    /// Entry through which it is sent.
    pub entry: EntryId,
    /// The step.
    pub key: AdviceKey,
    /// Workers named in the call.
    pub workers: Vec<WorkerId>,
    /// Timeout of the call.
    pub time: Duration,
}

#[derive(Clone, Debug)]
struct OpenCall {
    call: AdviceCall,
    queue: QueueId,
    rule: AdviceRule,
    sent: Instant,
}

/// Advice that a leader has, and its open calls.
#[derive(Debug, Default)]
pub struct AdviceTable {
    steps: BTreeMap<AdviceKey, StepAdvice>,
    calls: BTreeMap<AdviceId, OpenCall>,
    entries: BTreeSet<EntryId>,
    shares: BTreeMap<QueueId, f64>,
    reserve: AdviceReserve,
    overdue_shares: OverdueShares,
    last_id: AdviceId,
}

impl AdviceTable {
    /// Sets the entries through which calls can be made.
    pub fn set_entries(&mut self, entries: BTreeSet<EntryId>) {
        self.entries = entries;
    }

    /// Advice on a step.
    pub fn step(&self, key: &AdviceKey) -> Option<&StepAdvice> {
        self.steps.get(key)
    }

    /// Whether a call for a step may be made now.
    pub fn may_request(&self, key: &AdviceKey, now: Instant) -> bool {
        self.steps.get(key).is_none_or(|step| {
            step.open_call.is_none() && step.retry_at.is_none_or(|retry_at| retry_at <= now)
        })
    }

    /// Learned share of workers that are allowed for steps of a queue.
    pub fn share(&self, queue: &QueueId) -> f64 {
        self.shares.get(queue).copied().unwrap_or(INITIAL_SHARE).max(MIN_SHARE)
    }

    /// Opens calls for as many requests as there are idle entries. The requests are ordered by
    /// urgency.
    pub fn assign(&mut self, now: Instant, advice_requests: Vec<AdviceRequest>) -> Vec<AdviceCall> {
        let mut idle = self.idle();
        if idle.is_empty() {
            return Vec::new();
        }
        let includes_short = advice_requests.iter().any(|request| request.time() <= LONG_CALL);
        self.reserve.note_requests(now, includes_short);
        let reserved = self.reserved_entries();
        let (mut calls_made, mut is_waiting) = (Vec::new(), false);
        for request in advice_requests {
            let time = request.time();
            if idle.len() <= reserved {
                is_waiting |= time > LONG_CALL && !self.has_tickets(&request.key, now);
            }
            if idle.len() <= self.entries_left_free(now, &request) {
                continue;
            }
            let Some(entry) = idle.pop() else {
                break;
            };
            calls_made.push(self.open(now, entry, request, time + CALL_SLACK));
        }
        self.reserve.note_waiting(now, is_waiting);
        calls_made
    }

    /// Opens the call for an overdue step that comes before all others, unless no entry can make it.
    pub(crate) fn assign_overdue(
        &mut self,
        now: Instant,
        kind: OverdueKind,
        request: AdviceRequest,
    ) -> Option<AdviceCall> {
        let time = request.time();
        self.reserve.note_requests(now, time <= LONG_CALL);
        let left_free = match kind {
            // Short calls alone keep all other entries busy where they are the load.
            OverdueKind::Restart => 0,
            OverdueKind::Late => self.entries_left_free(now, &request),
        };
        let mut idle = self.idle();
        if idle.len() <= left_free {
            return None;
        }
        let entry = idle.pop()?;
        self.overdue_shares.note_call(now, kind, time, self.entries.len());
        Some(self.open(now, entry, request, time + CALL_SLACK))
    }

    /// Whether an overdue step may come before all others.
    pub(crate) fn is_overdue_call_due(&self, now: Instant, kind: OverdueKind) -> bool {
        self.overdue_shares.is_due(now, kind)
    }

    /// When the last call for a step was sent.
    pub(crate) fn last_call(&self, key: &AdviceKey) -> Option<Instant> {
        self.steps.get(key)?.last_call
    }

    /// Entries without an open call.
    fn idle(&self) -> Vec<EntryId> {
        let busy: BTreeSet<&EntryId> = self.calls.values().map(|open| &open.call.entry).collect();
        self.entries.iter().filter(|entry| !busy.contains(entry)).cloned().collect()
    }

    /// Number of idle entries that a call for a request leaves free.
    fn entries_left_free(&self, now: Instant, request: &AdviceRequest) -> usize {
        match request.time() > LONG_CALL {
            true if self.reserve.is_released(now) && !self.has_tickets(&request.key, now) => 0,
            true => self.reserved_entries(),
            false => 0,
        }
    }

    /// Whether a step has a usable ticket.
    fn has_tickets(&self, key: &AdviceKey, now: Instant) -> bool {
        self.steps.get(key).is_some_and(|step| step.tickets(now).next().is_some())
    }

    fn open(
        &mut self,
        now: Instant,
        entry: EntryId,
        request: AdviceRequest,
        time: Duration,
    ) -> AdviceCall {
        self.last_id += 1;
        let AdviceRequest { key, queue, rule, workers } = request;
        let call = AdviceCall { id: self.last_id, entry, key: key.clone(), workers, time };
        let step = self.steps.entry(key).or_default();
        (step.open_call, step.last_call) = (Some(call.id), Some(now));
        self.calls.insert(call.id, OpenCall { call: call.clone(), queue, rule, sent: now });
        call
    }

    /// Handles the answer to a call, `None` if there was none. Returns the step of the call.
    pub fn answered(
        &mut self,
        now: Instant,
        id: AdviceId,
        allowed: Option<Vec<(WorkerId, TicketText)>>,
        retry_delay: Duration,
    ) -> Option<AdviceKey> {
        let open = self.calls.remove(&id)?;
        let key = open.call.key.clone();
        let step = self.steps.get_mut(&key)?;
        step.open_call = None;
        let Some(allowed) = allowed else {
            step.retry_at = Some(now + retry_delay);
            return Some(key);
        };
        // Only workers without an earlier answer count in the learned share: with renewals it rose
        // to 0.97 where a third of the workers is allowed.
        let new: BTreeSet<WorkerId> = open
            .call
            .workers
            .iter()
            .filter(|worker| !step.has_answer_for(worker))
            .cloned()
            .collect();
        let (sent, valid) = (open.sent, open.rule.valid);
        // A ticket may become valid before its answer is sent, so its expiry is counted from the
        // call.
        let end = sent + valid;
        for worker in open.call.workers {
            step.denied.insert(worker);
        }
        let newly_allowed = allowed.iter().filter(|(worker, _)| new.contains(worker)).count();
        for (worker, ticket) in allowed {
            step.denied.remove(&worker);
            step.allowed.insert(worker, (ticket, end));
        }
        if !new.is_empty() {
            let share = newly_allowed as f64 / new.len() as f64;
            let learned = self.shares.entry(open.queue).or_insert(INITIAL_SHARE);
            *learned += (share - *learned) * SHARE_WEIGHT;
        }
        Some(key)
    }

    /// Expires a ticket that a worker refused.
    pub fn expire_ticket(&mut self, key: &AdviceKey, worker: &WorkerId, now: Instant) {
        if let Some((_, end)) =
            self.steps.get_mut(key).and_then(|step| step.allowed.get_mut(worker))
        {
            *end = now;
        }
    }

    /// Removes all advice on a worker: its next instance may be allowed other steps and does not
    /// accept tickets of the previous one.
    pub fn forget_worker(&mut self, worker: &WorkerId) {
        for step in self.steps.values_mut() {
            step.allowed.remove(worker);
            step.denied.remove(worker);
        }
    }

    /// Removes all steps of a job.
    pub fn forget(&mut self, job: &GraphId) {
        let first = (job.clone(), StepKey { occurrence: 0, step: 0 });
        let of_job = self.steps.range(first..).take_while(|((id, _), _)| id == job);
        let keys: Vec<AdviceKey> = of_job.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.steps.remove(&key);
        }
    }

    /// Number of entries without an open call.
    pub fn idle_entries(&self) -> usize {
        self.entries.len().saturating_sub(self.calls.len())
    }

    /// Number of entries that long calls leave free while short calls are expected.
    pub(crate) fn reserved_entries(&self) -> usize {
        AdviceReserve::size(self.entries.len())
    }

    /// Number of open calls.
    pub fn waiting(&self) -> usize {
        self.calls.len()
    }
}
