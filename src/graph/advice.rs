//! Placement advice: which workers a step may use, asked for as little as possible.
//!
//! What is allowed for a step does not change while a worker lives, so answers are kept; tickets run
//! out and are renewed. Each entry may have one call at a time, so calls are spread over all entries,
//! and long calls leave some entries free for short ones.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::graph::exchange::TicketText;
use crate::graph::name::{GraphId, QueueId, StepKey};
use crate::graph::queue::AdviceRule;
use crate::id::{EntryId, WorkerId};

/// Number of a call for advice.
pub type AdviceId = u64;

/// A call longer than this is long: urgent queues need a tenth of it.
const LONG_CALL: Duration = Duration::from_millis(120);
/// Entries that long calls leave free: one answers 35 urgent calls a second.
const RESERVED_ENTRIES: usize = 2;
/// A ticket is not used in the last part of its life: a start may wait this long on its way.
const TICKET_MARGIN: Duration = Duration::from_millis(150);
/// Added to the expected time of a call before it counts as lost.
const CALL_SLACK: Duration = Duration::from_millis(900);
/// Workers in one call.
pub(crate) const MAX_WORKERS_PER_CALL: usize = 48;
/// Share of workers taken to be allowed before any answer is known.
const INITIAL_SHARE: f64 = 0.5;
/// Weight of a new answer in the learned share.
const SHARE_WEIGHT: f64 = 0.1;
/// Smallest share that is reckoned with, so that no call asks for hundreds.
const MIN_SHARE: f64 = 0.15;

/// A step whose advice is asked for.
pub type AdviceKey = (GraphId, StepKey);

/// What is known for one step.
#[derive(Clone, Debug, Default)]
pub struct StepAdvice {
    /// Allowed workers with a ticket and its end.
    pub allowed: BTreeMap<WorkerId, (TicketText, Instant)>,
    /// Workers that are not allowed.
    pub denied: BTreeSet<WorkerId>,
    open_call: Option<AdviceId>,
    retry_at: Option<Instant>,
}

impl StepAdvice {
    /// Workers whose tickets can still be used.
    pub fn tickets(&self, now: Instant) -> impl Iterator<Item = &WorkerId> {
        let usable =
            move |(_, (_, end)): &(&WorkerId, &(TicketText, Instant))| now + TICKET_MARGIN < *end;
        self.allowed.iter().filter(usable).map(|(worker, _)| worker)
    }

    /// Whether the advisor has answered about a worker.
    fn has_answer_for(&self, worker: &WorkerId) -> bool {
        self.allowed.contains_key(worker) || self.denied.contains(worker)
    }

    /// The ticket for a worker, if it can still be used.
    pub fn ticket(&self, worker: &WorkerId, now: Instant) -> Option<TicketText> {
        let (ticket, end) = self.allowed.get(worker)?;
        (now + TICKET_MARGIN < *end).then(|| ticket.clone())
    }
}

/// A call that should be made.
#[derive(Clone, Debug)]
pub struct AdviceRequest {
    /// The step.
    pub key: AdviceKey,
    /// Its queue.
    pub queue: QueueId,
    /// Times of the service.
    pub rule: AdviceRule,
    /// Workers to ask about.
    pub workers: Vec<WorkerId>,
}

/// A call that was made.
#[derive(Clone, Debug)]
pub struct AdviceCall {
    /// Number of the call.
    pub id: AdviceId,
    /// Entry that makes it.
    pub entry: EntryId,
    /// The step.
    pub key: AdviceKey,
    /// Workers that are asked about.
    pub workers: Vec<WorkerId>,
    /// Longest time for the answer.
    pub time: Duration,
}

#[derive(Clone, Debug)]
struct OpenCall {
    call: AdviceCall,
    queue: QueueId,
    rule: AdviceRule,
    sent: Instant,
}

/// All advice that a leader has and is waiting for.
#[derive(Debug, Default)]
pub struct AdviceTable {
    steps: BTreeMap<AdviceKey, StepAdvice>,
    calls: BTreeMap<AdviceId, OpenCall>,
    entries: BTreeSet<EntryId>,
    shares: BTreeMap<QueueId, f64>,
    last_id: AdviceId,
}

impl AdviceTable {
    /// Sets the entries that can make calls.
    pub fn set_entries(&mut self, entries: BTreeSet<EntryId>) {
        self.entries = entries;
    }

    /// What is known for a step.
    pub fn step(&self, key: &AdviceKey) -> Option<&StepAdvice> {
        self.steps.get(key)
    }

    /// Whether a call for a step may be made now.
    pub fn may_ask(&self, key: &AdviceKey, now: Instant) -> bool {
        self.steps.get(key).is_none_or(|step| {
            step.open_call.is_none() && step.retry_at.is_none_or(|retry_at| retry_at <= now)
        })
    }

    /// Learned share of workers that a queue's steps are allowed.
    pub fn share(&self, queue: &QueueId) -> f64 {
        self.shares.get(queue).copied().unwrap_or(INITIAL_SHARE).max(MIN_SHARE)
    }

    /// Makes as many calls as there are entries without one; wishes come in order of urgency.
    pub fn assign(&mut self, now: Instant, advice_requests: Vec<AdviceRequest>) -> Vec<AdviceCall> {
        let busy: BTreeSet<&EntryId> = self.calls.values().map(|open| &open.call.entry).collect();
        let idle = self.entries.iter().filter(|entry| !busy.contains(entry));
        let mut idle: Vec<EntryId> = idle.cloned().collect();
        let reserved = RESERVED_ENTRIES.min(self.entries.len().saturating_sub(1));
        let mut calls_made = Vec::new();
        for request in advice_requests {
            let workers = u32::try_from(request.workers.len()).unwrap_or(u32::MAX);
            let time = request.rule.call + request.rule.each * workers;
            let reserved_here = if time > LONG_CALL { reserved } else { 0 };
            if idle.len() <= reserved_here {
                continue;
            }
            let Some(entry) = idle.pop() else {
                break;
            };
            calls_made.push(self.open(now, entry, request, time + CALL_SLACK));
        }
        calls_made
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
        self.steps.entry(key).or_default().open_call = Some(call.id);
        self.calls.insert(call.id, OpenCall { call: call.clone(), queue, rule, sent: now });
        call
    }

    /// Takes in an answer; `None` where there was none. Tells which step it was for.
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
        // Renewals say nothing of workers that were not asked about: counted as answers they taught a share of
        // 0.97 where a third is allowed.
        let new: BTreeSet<WorkerId> = open
            .call
            .workers
            .iter()
            .filter(|worker| !step.has_answer_for(worker))
            .cloned()
            .collect();
        let (sent, valid) = (open.sent, open.rule.valid);
        // A ticket's life may begin before its answer is sent: it is counted from the call.
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

    /// Drops a ticket that a worker refused.
    pub fn refused(&mut self, key: &AdviceKey, worker: &WorkerId, now: Instant) {
        if let Some((_, end)) =
            self.steps.get_mut(key).and_then(|step| step.allowed.get_mut(worker))
        {
            *end = now;
        }
    }

    /// Forgets a worker: another life of it may be allowed other steps, and takes no ticket of the one before.
    pub fn forget_worker(&mut self, worker: &WorkerId) {
        for step in self.steps.values_mut() {
            step.allowed.remove(worker);
            step.denied.remove(worker);
        }
    }

    /// Forgets all steps of a job.
    pub fn forget(&mut self, job: &GraphId) {
        self.steps.retain(|(id, _), _| id != job);
    }

    /// Number of entries that could make a call.
    pub fn idle(&self) -> usize {
        self.entries.len().saturating_sub(self.calls.len())
    }

    /// Number of calls that wait for an answer.
    pub fn waiting(&self) -> usize {
        self.calls.len()
    }
}
