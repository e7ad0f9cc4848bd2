//! Movable tasks: tasks that may move when their failure domain is cut off.
//!
//! A leader may start and renew such tasks only while its lease in the store is valid, or while it
//! has a hold from the leaders of all other failure domains: a promise, limited in time, not to take
//! over its tasks. A leader of another domain takes them over only after it has stopped granting
//! holds, has acquired the silent domain's lease in the store, and has waited until every hold and
//! every task lease must have expired. The move is a commit in the silent domain's own ledger.

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

/// Time without a heartbeat of a failure domain after which its movable tasks are taken over.
const SILENCE_LIMIT: Duration = Duration::from_secs(5);
/// Margin added to time limits that depend on another machine's clock.
const CLOCK_MARGIN: Duration = Duration::from_millis(1_000);
/// Interval between requests for a hold.
const HOLD_REQUEST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Pause after a takeover before the next one of the same domain.
const TAKEOVER_RETRY_PAUSE: Duration = Duration::from_secs(30);
/// Interval between queries for the outcome of moves that an earlier leader began.
const MOVE_QUERY_INTERVAL: Duration = Duration::from_secs(2);
/// Ids of queries for the outcome of a move are above this; ids of clients' calls are below.
const MOVE_QUERY_ID_BASE: CallId = 1 << 62;
/// Store calls for the lease have even ids, calls for the ledger odd ones.
const CALL_KINDS: u64 = 2;

#[derive(Debug)]
enum TakeoverStage {
    /// Acquiring the silent domain's lease.
    Lease,
    /// Waiting until every hold and task lease must have expired.
    AwaitExpiry(Instant),
    /// Reading the silent domain's ledger.
    Reading,
    /// Recording the planned moves in this domain's ledger.
    RecordingPlan(u64, Vec<JobRecord>),
    /// Committing the moves in the silent domain's ledger.
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

/// Holds for this domain's movable tasks, and takeovers of those of other domains.
#[derive(Debug)]
pub(crate) struct MoveController {
    entry: EntryId,
    boot: u64,
    timing: TimingSettings,
    other_domains: Vec<DomainId>,
    /// Expiry of the hold from each other failure domain.
    holds: BTreeMap<DomainId, Instant>,
    /// Pending requests for a hold by sequence number: domain, its leader and time of the request.
    hold_requests: BTreeMap<u64, (DomainId, EntryId, Instant)>,
    next_hold_request: Instant,
    last_hold_seq: u64,
    leading_since: Instant,
    takeover: Option<TakeoverState>,
    takeover_retry_at: BTreeMap<DomainId, Instant>,
    /// Pending queries for the outcome of a move, by call id.
    move_queries: BTreeMap<CallId, JobId>,
    next_move_query: Instant,
    last_query_id: CallId,
}

impl MoveController {
    pub(crate) fn new(now: Instant, identity: &EntryIdentity) -> Self {
        let other_domains =
            identity.domains().into_iter().filter(|domain| *domain != identity.domain);
        Self {
            entry: identity.entry.clone(),
            boot: identity.boot,
            timing: identity.timing,
            other_domains: other_domains.collect(),
            holds: BTreeMap::new(),
            hold_requests: BTreeMap::new(),
            next_hold_request: now,
            last_hold_seq: 0,
            leading_since: now,
            takeover: None,
            takeover_retry_at: BTreeMap::new(),
            move_queries: BTreeMap::new(),
            next_move_query: now,
            last_query_id: MOVE_QUERY_ID_BASE,
        }
    }

    pub(crate) fn start_term(&mut self, now: Instant) {
        self.leading_since = now;
        self.takeover = None;
        self.holds.clear();
        self.hold_requests.clear();
    }

    /// Time until which movable tasks may be started and renewed; `None` when they may not.
    pub(crate) fn movable_until(&self, now: Instant, deadline: Option<Instant>) -> Option<Instant> {
        let holds_until = match self.other_domains.is_empty() {
            true => Some(now + self.timing.hold),
            false => {
                let all = self.other_domains.iter().map(|domain| self.holds.get(domain).copied());
                all.collect::<Option<Vec<_>>>().and_then(|all| all.into_iter().min())
            }
        };
        deadline.into_iter().chain(holds_until).filter(|until| *until > now).max()
    }

    /// Handles a granted hold. It is valid from the time of the request.
    pub(crate) fn handle_hold_granted(&mut self, peer: &EntryId, seq: u64) {
        let Some((domain, leader, at)) = self.hold_requests.remove(&seq) else {
            return;
        };
        if leader == *peer {
            self.holds.insert(domain, at + self.timing.hold);
        }
    }

    /// Failure domains from which a hold is valid, for the state dump.
    pub(crate) fn valid_holds(&self, now: Instant) -> Vec<&DomainId> {
        self.holds.iter().filter(|(_, until)| **until > now).map(|(domain, _)| domain).collect()
    }

    /// Tells whether a call is a query for the outcome of a move.
    pub(crate) fn is_move_query(&self, id: CallId) -> bool {
        self.move_queries.contains_key(&id)
    }

    fn is_taking_over(&self, domain: &DomainId) -> bool {
        self.takeover.as_ref().is_some_and(|takeover| takeover.domain == *domain)
    }

    fn begin_takeover(&mut self, now: Instant, domain: DomainId) {
        info!("{domain} is silent: trying to take over its movable tasks");
        let (entry, timing) = (self.entry.clone(), self.timing);
        let boot = self.boot;
        self.takeover = Some(TakeoverState {
            leadership: LeadershipController::new(now, entry, &domain, 0, boot, timing)
                .without_detached_lead(),
            journal: JournalController::new(now, domain.clone(), boot, timing.commit_interval),
            domain,
            stage: TakeoverStage::Lease,
            started: now,
        });
    }
}

impl DomainController {
    /// Handles another domain's request for a hold. Only a leader that has read its own ledger can
    /// grant one, as the ledger shows whether jobs of that domain were already taken over.
    pub(crate) fn handle_hold_request(
        &mut self,
        now: Instant,
        peer: &EntryId,
        domain: &DomainId,
        epoch: u64,
        seq: u64,
    ) {
        let leads = self.leader.as_ref().is_some_and(|leader| leader.active);
        let ledger_known = self.moves.other_domains.contains(domain) && self.journal.open();
        let taken_epoch = match self.journal.get(&taken_name(domain)) {
            Some(LedgerRecord::Taken { epoch, .. }) => *epoch,
            _ => 0,
        };
        let not_taken_over = epoch >= taken_epoch && !self.moves.is_taking_over(domain);
        if leads && ledger_known && not_taken_over && self.leadership.may_act(now) {
            self.send_peer(peer, PeerMessage::GrantHold { seq });
        }
    }

    pub(crate) fn tick_moves(&mut self, now: Instant) {
        let Some(leader) = &self.leader else {
            self.moves.takeover = None;
            return;
        };
        if !leader.active {
            return;
        }
        let deadline = self.leadership.deadline();
        self.query_moves(now);
        match deadline {
            Some(deadline) if now < deadline => self.tick_takeover(now),
            _ => {
                self.moves.takeover = None;
                self.request_holds(now);
            }
        }
    }

    /// Queries the outcome of moves that an earlier leader began and did not finish. The ledger of the
    /// job's previous domain records whether it was moved.
    fn query_moves(&mut self, now: Instant) {
        if now < self.moves.next_move_query || self.moves.takeover.is_some() {
            return;
        }
        self.moves.next_move_query = now + MOVE_QUERY_INTERVAL;
        self.moves.move_queries.clear();
        let unfinished = self.journal.records().filter_map(|record| match record {
            LedgerRecord::Job(job) => Some((job.spec.id.clone(), job.moving_from.clone()?)),
            _ => None,
        });
        for (id, from) in unfinished.collect::<Vec<_>>() {
            let Some(peer) = self.peers.leader_of(now, &from) else {
                continue;
            };
            self.moves.last_query_id += 1;
            let query_id = self.moves.last_query_id;
            self.moves.move_queries.insert(query_id, id.clone());
            let call = crate::message::ClientCall::Job(id);
            self.send_peer(&peer, PeerMessage::Call(query_id, call));
        }
    }

    /// Handles the answer to a query: the job's previous domain states whether it was moved.
    pub(crate) fn handle_move_answer(&mut self, query_id: CallId, answer: &ClientAnswer) {
        let Some(id) = self.moves.move_queries.remove(&query_id) else {
            return;
        };
        let waiting = self.job(&id).is_some_and(|job| job.moving_from.is_some());
        let ClientAnswer::Job(view) = answer else {
            return;
        };
        match &view.record.moved {
            _ if !waiting || self.moves.takeover.is_some() => {}
            Some(to) if *to == self.identity.domain => self.start_moved_job(&id),
            _ => {
                self.journal.put(LedgerRecord::Gone(job_name(&id)));
            }
        }
    }

    /// Requests holds from the other failure domains, while this leader's lease is not valid.
    fn request_holds(&mut self, now: Instant) {
        if now < self.moves.next_hold_request {
            return;
        }
        self.moves.next_hold_request = now + HOLD_REQUEST_INTERVAL;
        let epoch = self.leadership.token().map_or(0, |token| token.epoch);
        self.moves.hold_requests.retain(|_, (_, _, at)| now < *at + HOLD_REQUEST_INTERVAL * 4);
        for domain in self.moves.other_domains.clone() {
            let Some(peer) = self.peers.leader_of(now, &domain) else {
                continue;
            };
            self.moves.last_hold_seq += 1;
            let seq = self.moves.last_hold_seq;
            self.moves.hold_requests.insert(seq, (domain, peer.clone(), now));
            let own = self.identity.domain.clone();
            self.send_peer(&peer, PeerMessage::AskHold { domain: own, epoch, seq });
        }
    }

    fn tick_takeover(&mut self, now: Instant) {
        if self.moves.takeover.is_none()
            && let Some(domain) = self.silent_domain(now)
        {
            self.moves.begin_takeover(now, domain);
        }
        let Some(takeover) = &mut self.moves.takeover else {
            return;
        };
        let actions = takeover.leadership.tick(now);
        let outputs = takeover.journal.tick(now);
        self.apply_takeover_actions(now, actions);
        self.apply_takeover_outputs(now, outputs);
        self.advance_takeover(now);
    }

    /// A failure domain whose leader has been silent for [`SILENCE_LIMIT`], if there are intents with
    /// movable tasks.
    fn silent_domain(&mut self, now: Instant) -> Option<DomainId> {
        let intents = self.config.current().intents.values();
        let any_movable = intents.into_iter().any(|intent| intent.spec.cut_off == CutOffRule::Move);
        let since = self.moves.leading_since;
        let silent = self.moves.other_domains.iter().find(|domain| {
            let last_heartbeat =
                self.peers.leader_last_heartbeat(domain).unwrap_or(since).max(since);
            let retry_due = self.moves.takeover_retry_at.get(*domain).is_none_or(|at| now >= *at);
            any_movable && retry_due && now >= last_heartbeat + SILENCE_LIMIT
        });
        silent.cloned()
    }

    fn apply_takeover_actions(&mut self, now: Instant, actions: Vec<LeadershipAction>) {
        for action in actions {
            match action {
                LeadershipAction::Call(id, request) => {
                    self.call_store(StoreOwner::Moves, id * CALL_KINDS, request);
                }
                LeadershipAction::Lead(_) => {
                    let timing = self.identity.timing;
                    let expiry_delay =
                        timing.hold + timing.command_validity + timing.task_lease + CLOCK_MARGIN;
                    if let Some(takeover) = &mut self.moves.takeover {
                        takeover.stage = TakeoverStage::AwaitExpiry(now + expiry_delay);
                    }
                }
                LeadershipAction::Follow => self.end_takeover(now),
            }
        }
    }

    fn apply_takeover_outputs(&mut self, now: Instant, outputs: Vec<JournalOutput>) {
        for output in outputs {
            match output {
                JournalOutput::Call(id, request) => {
                    self.call_store(StoreOwner::Moves, id * CALL_KINDS + 1, request);
                }
                JournalOutput::Recovered(records) => self.record_planned_moves(now, records),
                JournalOutput::Committed(ticket) => self.finish_moves(now, ticket),
                JournalOutput::Fenced => self.end_takeover(now),
            }
        }
    }

    fn end_takeover(&mut self, now: Instant) {
        if let Some(mut takeover) = self.moves.takeover.take() {
            self.moves
                .takeover_retry_at
                .insert(takeover.domain.clone(), now + TAKEOVER_RETRY_PAUSE);
            let actions = takeover.leadership.leave(now);
            for action in actions {
                if let LeadershipAction::Call(id, request) = action {
                    self.call_store(StoreOwner::Moves, id * CALL_KINDS, request);
                }
            }
        }
    }

    /// Handles the outcome of a call to the store.
    pub(crate) fn handle_moves_outcome(&mut self, now: Instant, id: CallId, outcome: StoreOutcome) {
        let Some(takeover) = &mut self.moves.takeover else {
            return;
        };
        match id % CALL_KINDS {
            0 => {
                let actions = takeover.leadership.answer(now, id / CALL_KINDS, outcome);
                self.apply_takeover_actions(now, actions);
            }
            _ => {
                let outputs = takeover.journal.answer(now, id / CALL_KINDS, outcome);
                self.apply_takeover_outputs(now, outputs);
            }
        }
    }

    fn advance_takeover(&mut self, now: Instant) {
        let last_heartbeat =
            self.moves.takeover.as_ref().and_then(|t| self.peers.domain_last_heartbeat(&t.domain));
        let Some(takeover) = &mut self.moves.takeover else {
            return;
        };
        match takeover.stage {
            TakeoverStage::Lease | TakeoverStage::AwaitExpiry(_)
                if last_heartbeat.is_some_and(|at| at > takeover.started) =>
            {
                self.end_takeover(now);
            }
            TakeoverStage::AwaitExpiry(until) if now >= until => {
                if let Some(token) = takeover.leadership.token().cloned() {
                    takeover.stage = TakeoverStage::Reading;
                    let outputs = takeover.journal.recover(token);
                    self.apply_takeover_outputs(now, outputs);
                }
            }
            TakeoverStage::RecordingPlan(ticket, _) if self.journal.written(ticket) => {
                self.commit_moves(now);
            }
            _ => {}
        }
    }

    /// Records the planned moves in this domain's ledger; nothing is started yet.
    fn record_planned_moves(&mut self, now: Instant, records: Vec<LedgerRecord>) {
        let own = self.identity.domain.clone();
        let movable = |record: &JobRecord| {
            let is_eligible = record.moved.is_none() || record.moved.as_ref() == Some(&own);
            record.spec.cut_off == CutOffRule::Move && is_eligible
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
            let planned = JobRecord { moved: None, moving_from: Some(from.clone()), ..job.clone() };
            ticket = self.journal.put(LedgerRecord::Job(planned));
        }
        takeover.stage = TakeoverStage::RecordingPlan(ticket, jobs);
    }

    fn commit_moves(&mut self, now: Instant) {
        let own = self.identity.domain.clone();
        let Some(takeover) = &mut self.moves.takeover else {
            return;
        };
        let stage = std::mem::replace(&mut takeover.stage, TakeoverStage::Reading);
        let TakeoverStage::RecordingPlan(_, jobs) = stage else {
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
        self.apply_takeover_outputs(now, outputs);
    }

    /// Starts the moved jobs when the moves are durable.
    fn finish_moves(&mut self, now: Instant, ticket: u64) {
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
            self.start_moved_job(&job.spec.id);
        }
        self.end_takeover(now);
    }

    /// Adds a job that was moved here to the scheduler.
    fn start_moved_job(&mut self, id: &JobId) {
        self.journal.change_job(&job_name(id), |record| record.moving_from = None);
        let record = self.job(id).cloned();
        if let (Some(leader), Some(mut record)) = (&mut self.leader, record) {
            end_started_tasks(&mut record);
            leader.scheduler.add_job(&record, false);
            self.journal.put(LedgerRecord::Job(record));
        }
    }
}

/// Ends tasks that are not idempotent and were started in their previous domain, so that they do not
/// start again.
fn end_started_tasks(record: &mut JobRecord) {
    if record.spec.idempotent {
        return;
    }
    for index in std::mem::take(&mut record.started) {
        record.ended.entry(index).or_insert(crate::job::TaskEnd::Unknown);
    }
}
