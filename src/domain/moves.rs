//! Tasks that may move when their failure domain is cut off.
//!
//! A leader may start and renew such tasks only while it is covered: its lease in the store holds,
//! or the leaders of all other failure domains have just promised to hold off. A leader of another
//! domain takes them over only after it has stopped to promise, has taken the silent domain's lease
//! in the store, and has waited until every cover and every task's lease must have lapsed. The
//! change of place is a commit in the silent domain's own ledger.

use std::collections::BTreeMap;
use std::time::Duration;

use log::{info, warn};
use tokio::time::Instant;

use crate::domain::controller::DomainController;
use crate::domain::event::{EntryIdentity, StoreOwner};
use crate::id::{CallId, DomainId, EntryId, JobId};
use crate::intent::CutOffRule;
use crate::job::JobRecord;
use crate::leadership::{LeadershipAction, LeadershipController};
use crate::ledger::{JournalController, JournalOutput, LedgerRecord, job_name, taken_name};
use crate::message::{ClientAnswer, PeerMessage};
use crate::settings::TimingSettings;
use crate::store::StoreOutcome;

/// Silence of a failure domain before its tasks are taken over.
const SILENCE_LIMIT: Duration = Duration::from_secs(5);
/// Added to every bound on another machine's clock.
const MARGIN: Duration = Duration::from_millis(1_000);
/// Interval between questions for a hold.
const ASK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Pause before a silent domain is looked at again.
const LOOK_AGAIN: Duration = Duration::from_secs(30);
/// Interval between questions what became of a move that an earlier leader began.
const RESOLVE_INTERVAL: Duration = Duration::from_secs(2);
/// First number of calls that ask what became of a move; clients' calls have lower ones.
const RESOLVE_CALLS: CallId = 1 << 62;
/// Calls of the lease have even numbers, calls of the ledger odd ones.
const CALL_KINDS: u64 = 2;

#[derive(Debug)]
enum TakeoverStage {
    /// Waiting for the silent domain's lease.
    Lease,
    /// Waiting until every cover and lease of a task must have lapsed.
    Lapse(Instant),
    /// Reading the silent domain's ledger.
    Reading,
    /// Making the intention durable in the own ledger.
    Intending(u64, Vec<JobRecord>),
    /// Making the move durable in the silent domain's ledger.
    Moving(u64, Vec<JobRecord>),
}

#[derive(Debug)]
struct TakeoverState {
    domain: DomainId,
    leadership: LeadershipController,
    journal: JournalController,
    stage: TakeoverStage,
    started: Instant,
}

/// Cover for the own tasks that may move, and takeovers of others'.
#[derive(Debug)]
pub(crate) struct MoveController {
    entry: EntryId,
    boot: u64,
    timing: TimingSettings,
    others: Vec<DomainId>,
    /// Until when each other failure domain holds off.
    held: BTreeMap<DomainId, Instant>,
    /// Questions by number: whom, when.
    asked: BTreeMap<u64, (DomainId, EntryId, Instant)>,
    next_ask: Instant,
    seq: u64,
    leading_since: Instant,
    takeover: Option<TakeoverState>,
    look_again: BTreeMap<DomainId, Instant>,
    /// Questions what became of a move, by number.
    resolving: BTreeMap<CallId, JobId>,
    next_resolve: Instant,
    next_question: CallId,
}

impl MoveController {
    pub(crate) fn new(now: Instant, identity: &EntryIdentity) -> Self {
        let others = identity.domains().into_iter().filter(|domain| *domain != identity.domain);
        Self {
            entry: identity.entry.clone(),
            boot: identity.boot,
            timing: identity.timing,
            others: others.collect(),
            held: BTreeMap::new(),
            asked: BTreeMap::new(),
            next_ask: now,
            seq: 0,
            leading_since: now,
            takeover: None,
            look_again: BTreeMap::new(),
            resolving: BTreeMap::new(),
            next_resolve: now,
            next_question: RESOLVE_CALLS,
        }
    }

    pub(crate) fn lead(&mut self, now: Instant) {
        self.leading_since = now;
        self.takeover = None;
        self.held.clear();
        self.asked.clear();
    }

    /// Until when tasks that may move are covered; `None` when they are not.
    pub(crate) fn cover(&self, now: Instant, deadline: Option<Instant>) -> Option<Instant> {
        let promised = match self.others.is_empty() {
            true => Some(now + self.timing.hold),
            false => {
                let all = self.others.iter().map(|domain| self.held.get(domain).copied());
                all.collect::<Option<Vec<_>>>().and_then(|all| all.into_iter().min())
            }
        };
        deadline.into_iter().chain(promised).filter(|until| *until > now).max()
    }

    /// A leader promised to hold off; its time runs from when it was asked.
    pub(crate) fn held(&mut self, peer: &EntryId, seq: u64) {
        let Some((domain, asked, at)) = self.asked.remove(&seq) else {
            return;
        };
        if asked == *peer {
            self.held.insert(domain, at + self.timing.hold);
        }
    }

    /// Failure domains that hold off now, for the state dump.
    pub(crate) fn holding(&self, now: Instant) -> Vec<&DomainId> {
        self.held.iter().filter(|(_, until)| **until > now).map(|(domain, _)| domain).collect()
    }

    /// Tells whether a call was a question what became of a move.
    pub(crate) fn asked_about(&self, id: CallId) -> bool {
        self.resolving.contains_key(&id)
    }

    fn taking_over(&self, domain: &DomainId) -> bool {
        self.takeover.as_ref().is_some_and(|takeover| takeover.domain == *domain)
    }

    fn begin(&mut self, now: Instant, domain: DomainId) {
        info!("{domain} is silent: trying for its tasks that may move");
        let (entry, timing) = (self.entry.clone(), self.timing);
        let boot = self.boot;
        self.takeover = Some(TakeoverState {
            leadership: LeadershipController::new(now, entry, &domain, 0, boot, timing)
                .store_only(),
            journal: JournalController::new(now, domain.clone(), boot, timing.commit_interval),
            domain,
            stage: TakeoverStage::Lease,
            started: now,
        });
    }
}

impl DomainController {
    /// Another domain's leader asks us to hold off. Only a leader that has read its own ledger knows
    /// whether jobs of that domain were taken over already.
    pub(crate) fn answer_hold(
        &mut self,
        now: Instant,
        peer: &EntryId,
        domain: &DomainId,
        epoch: u64,
        seq: u64,
    ) {
        let leads = self.leader.as_ref().is_some_and(|leader| leader.active);
        let known = self.moves.others.contains(domain) && self.journal.open();
        let taken = match self.journal.get(&taken_name(domain)) {
            Some(LedgerRecord::Taken { epoch, .. }) => *epoch,
            _ => 0,
        };
        let free = epoch >= taken && !self.moves.taking_over(domain);
        if leads && known && free && self.leadership.may_act(now) {
            self.tell(peer, PeerMessage::GrantHold { seq });
        }
    }

    pub(crate) fn moves_tick(&mut self, now: Instant) {
        let Some(leader) = &self.leader else {
            self.moves.takeover = None;
            return;
        };
        if !leader.active {
            return;
        }
        let deadline = self.leadership.deadline();
        self.ask_about_moves(now);
        match deadline {
            Some(deadline) if now < deadline => self.takeover_tick(now),
            _ => {
                self.moves.takeover = None;
                self.ask_holds(now);
            }
        }
    }

    /// An earlier leader began moves and did not finish: their old place knows what became of them.
    fn ask_about_moves(&mut self, now: Instant) {
        if now < self.moves.next_resolve || self.moves.takeover.is_some() {
            return;
        }
        self.moves.next_resolve = now + RESOLVE_INTERVAL;
        self.moves.resolving.clear();
        let begun = self.journal.records().filter_map(|record| match record {
            LedgerRecord::Job(job) => Some((job.spec.id.clone(), job.moving_from.clone()?)),
            _ => None,
        });
        for (id, from) in begun.collect::<Vec<_>>() {
            let Some(peer) = self.peers.leader_of(now, &from) else {
                continue;
            };
            self.moves.next_question += 1;
            let question = self.moves.next_question;
            self.moves.resolving.insert(question, id.clone());
            let call = crate::message::ClientCall::Job(id);
            self.tell(&peer, PeerMessage::Call(question, call));
        }
    }

    /// The old place of a job told whether it was moved.
    pub(crate) fn resolve_move(&mut self, question: CallId, answer: &ClientAnswer) {
        let Some(id) = self.moves.resolving.remove(&question) else {
            return;
        };
        let waiting = self.job(&id).is_some_and(|job| job.moving_from.is_some());
        let ClientAnswer::Job(view) = answer else {
            return;
        };
        match &view.record.moved {
            _ if !waiting || self.moves.takeover.is_some() => {}
            Some(to) if *to == self.identity.domain => self.take_job(&id),
            _ => {
                self.journal.put(LedgerRecord::Gone(job_name(&id)));
            }
        }
    }

    /// The own lease does not hold: the other failure domains are asked to hold off.
    fn ask_holds(&mut self, now: Instant) {
        if now < self.moves.next_ask {
            return;
        }
        self.moves.next_ask = now + ASK_INTERVAL;
        let epoch = self.leadership.token().map_or(0, |token| token.epoch);
        self.moves.asked.retain(|_, (_, _, at)| now < *at + ASK_INTERVAL * 4);
        for domain in self.moves.others.clone() {
            let Some(peer) = self.peers.leader_of(now, &domain) else {
                continue;
            };
            self.moves.seq += 1;
            let seq = self.moves.seq;
            self.moves.asked.insert(seq, (domain, peer.clone(), now));
            let own = self.identity.domain.clone();
            self.tell(&peer, PeerMessage::AskHold { domain: own, epoch, seq });
        }
    }

    fn takeover_tick(&mut self, now: Instant) {
        if self.moves.takeover.is_none()
            && let Some(domain) = self.silent_domain(now)
        {
            self.moves.begin(now, domain);
        }
        let Some(takeover) = &mut self.moves.takeover else {
            return;
        };
        let actions = takeover.leadership.tick(now);
        let outputs = takeover.journal.tick(now);
        self.takeover_lease(now, actions);
        self.takeover_ledger(now, outputs);
        self.takeover_advance(now);
    }

    /// A failure domain whose leader was not heard from for long, and that may have such tasks.
    fn silent_domain(&mut self, now: Instant) -> Option<DomainId> {
        let movable = self.config.current().intents.values();
        let any = movable.into_iter().any(|intent| intent.spec.cut_off == CutOffRule::Move);
        let since = self.moves.leading_since;
        let silent = self.moves.others.iter().find(|domain| {
            let heard = self.peers.leader_heard(domain).unwrap_or(since).max(since);
            let again = self.moves.look_again.get(*domain).is_none_or(|at| now >= *at);
            any && again && now >= heard + SILENCE_LIMIT
        });
        silent.cloned()
    }

    fn takeover_lease(&mut self, now: Instant, actions: Vec<LeadershipAction>) {
        for action in actions {
            match action {
                LeadershipAction::Call(id, request) => {
                    self.store(StoreOwner::Moves, id * CALL_KINDS, request);
                }
                LeadershipAction::Lead(_) => {
                    let timing = self.identity.timing;
                    let lapse = timing.hold + timing.command_validity + timing.task_lease + MARGIN;
                    if let Some(takeover) = &mut self.moves.takeover {
                        takeover.stage = TakeoverStage::Lapse(now + lapse);
                    }
                }
                LeadershipAction::Follow => self.end_takeover(now),
            }
        }
    }

    fn takeover_ledger(&mut self, now: Instant, outputs: Vec<JournalOutput>) {
        for output in outputs {
            match output {
                JournalOutput::Call(id, request) => {
                    self.store(StoreOwner::Moves, id * CALL_KINDS + 1, request);
                }
                JournalOutput::Recovered(records) => self.intend_moves(now, records),
                JournalOutput::Committed(ticket) => self.moved(now, ticket),
                JournalOutput::Fenced => self.end_takeover(now),
            }
        }
    }

    fn end_takeover(&mut self, now: Instant) {
        if let Some(mut takeover) = self.moves.takeover.take() {
            self.moves.look_again.insert(takeover.domain.clone(), now + LOOK_AGAIN);
            let actions = takeover.leadership.leave(now);
            for action in actions {
                if let LeadershipAction::Call(id, request) = action {
                    self.store(StoreOwner::Moves, id * CALL_KINDS, request);
                }
            }
        }
    }

    /// Brings back the outcome of a call.
    pub(crate) fn moves_answer(&mut self, now: Instant, id: CallId, outcome: StoreOutcome) {
        let Some(takeover) = &mut self.moves.takeover else {
            return;
        };
        match id % CALL_KINDS {
            0 => {
                let actions = takeover.leadership.answer(now, id / CALL_KINDS, outcome);
                self.takeover_lease(now, actions);
            }
            _ => {
                let outputs = takeover.journal.answer(now, id / CALL_KINDS, outcome);
                self.takeover_ledger(now, outputs);
            }
        }
    }

    fn takeover_advance(&mut self, now: Instant) {
        let heard = self.moves.takeover.as_ref().and_then(|t| self.peers.domain_heard(&t.domain));
        let Some(takeover) = &mut self.moves.takeover else {
            return;
        };
        match takeover.stage {
            TakeoverStage::Lease | TakeoverStage::Lapse(_)
                if heard.is_some_and(|at| at > takeover.started) =>
            {
                self.end_takeover(now);
            }
            TakeoverStage::Lapse(until) if now >= until => {
                if let Some(token) = takeover.leadership.token().cloned() {
                    takeover.stage = TakeoverStage::Reading;
                    let outputs = takeover.journal.recover(token);
                    self.takeover_ledger(now, outputs);
                }
            }
            TakeoverStage::Intending(ticket, _) if self.journal.written(ticket) => {
                self.commit_moves(now);
            }
            _ => {}
        }
    }

    /// Notes in the own ledger what is about to be taken over; nothing is started yet.
    fn intend_moves(&mut self, now: Instant, records: Vec<LedgerRecord>) {
        let own = self.identity.domain.clone();
        let movable = |record: &JobRecord| {
            let ours = record.moved.is_none() || record.moved.as_ref() == Some(&own);
            record.spec.cut_off == CutOffRule::Move && ours
        };
        let jobs = records.into_iter().filter_map(|record| match record {
            LedgerRecord::Job(job) => Some(job),
            _ => None,
        });
        let jobs: Vec<JobRecord> = jobs.filter(|job| movable(job)).collect();
        let jobs: Vec<JobRecord> = jobs
            .into_iter()
            .filter(|job| !JobRecord { moved: None, ..job.clone() }.is_over())
            .filter(|job| self.job(&job.spec.id).is_none_or(|known| known.moving_from.is_some()))
            .collect();
        if jobs.is_empty() {
            return self.end_takeover(now);
        }
        let Some(takeover) = &mut self.moves.takeover else {
            return;
        };
        let from = takeover.domain.clone();
        let epoch = takeover.leadership.token().map_or(0, |token| token.epoch);
        let mut ticket = self.journal.put(LedgerRecord::Taken { domain: from.clone(), epoch });
        for job in &jobs {
            let intended =
                JobRecord { moved: None, moving_from: Some(from.clone()), ..job.clone() };
            ticket = self.journal.put(LedgerRecord::Job(intended));
        }
        takeover.stage = TakeoverStage::Intending(ticket, jobs);
    }

    fn commit_moves(&mut self, now: Instant) {
        let own = self.identity.domain.clone();
        let Some(takeover) = &mut self.moves.takeover else {
            return;
        };
        let stage = std::mem::replace(&mut takeover.stage, TakeoverStage::Reading);
        let TakeoverStage::Intending(_, jobs) = stage else {
            takeover.stage = stage;
            return;
        };
        let mut ticket = 0;
        for job in &jobs {
            let change = |record: &mut JobRecord| record.moved = Some(own.clone());
            let name = job_name(&job.spec.id);
            ticket = takeover.journal.change_job(&name, change).unwrap_or(ticket);
        }
        takeover.stage = TakeoverStage::Moving(ticket, jobs);
        let outputs = takeover.journal.tick(now);
        self.takeover_ledger(now, outputs);
    }

    /// The moves are durable: the tasks are ours and may start.
    fn moved(&mut self, now: Instant, ticket: u64) {
        let Some(takeover) = &mut self.moves.takeover else {
            return;
        };
        let stage = std::mem::replace(&mut takeover.stage, TakeoverStage::Reading);
        let jobs = match stage {
            TakeoverStage::Moving(wanted, jobs) if ticket >= wanted => jobs,
            stage => {
                takeover.stage = stage;
                return;
            }
        };
        warn!("{} jobs moved here from {}", jobs.len(), takeover.domain);
        metrics::counter!("kelplink_moved_jobs_total").increment(jobs.len() as u64);
        for job in jobs {
            self.take_job(&job.spec.id);
        }
        self.end_takeover(now);
    }

    /// Starts a job that was moved here.
    fn take_job(&mut self, id: &JobId) {
        self.journal.change_job(&job_name(id), |record| record.moving_from = None);
        let record = self.job(id).cloned();
        if let (Some(leader), Some(mut record)) = (&mut self.leader, record) {
            end_what_may_have_run(&mut record);
            leader.scheduler.add_job(&record, false);
            self.journal.put(LedgerRecord::Job(record));
        }
    }
}

/// Tasks that are not idempotent and were started where they came from do not start again.
fn end_what_may_have_run(record: &mut JobRecord) {
    if record.spec.idempotent {
        return;
    }
    for index in std::mem::take(&mut record.started) {
        record.ended.entry(index).or_insert(crate::job::TaskEnd::Unknown);
    }
}
