//! Joins the controllers of one entry and passes events and actions between them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use log::{info, warn};
use tokio::time::Instant;

use crate::config::{ConfigController, ConfigOutput};
use crate::domain::event::{
    DomainAction, DomainEvent, EntryIdentity, StoreOwner, VmRecord, VmRole, WallClock,
};
use crate::domain::moves::MoveController;
use crate::domain::peers::PeerTable;
use crate::domain::quota::QuotaController;
use crate::fleet::{FleetOutput, WorkerFleet};
use crate::id::{Attempt, CallId, DomainId, EntryId, TaskId, UnixMillis, UpstreamId, WorkerId};
use crate::leadership::{LeadershipAction, LeadershipController};
use crate::ledger::{JournalController, JournalOutput, LedgerRecord};
use crate::message::{CallRefusal, ClientAnswer, PeerMessage};
use crate::placement::{TaskScheduler, WorkerSpec};
use crate::routing::{ShareTable, UpstreamSpec};
use crate::token::FencingToken;
use crate::worker::WorkerCommand;

/// Where an answer goes.
#[derive(Clone, Debug)]
pub(crate) enum ReplyTo {
    /// To a client of this entry.
    Client(CallId),
    /// To a peer that handed the call over.
    Peer(EntryId, CallId),
}

/// What waits until a change is durable.
#[derive(Clone, Debug)]
pub(crate) enum CommitWaiter {
    /// A start that must not happen before its mark is durable.
    Start { worker: WorkerId, task: TaskId, attempt: Attempt, command: WorkerCommand },
    /// An end that the worker need not list any more.
    Forget { worker: WorkerId, task: TaskId, attempt: Attempt },
    /// An answer.
    Answer(ReplyTo, ClientAnswer),
}

/// What an entry holds while it leads.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) token: FencingToken,
    pub(crate) scheduler: TaskScheduler,
    pub(crate) shares: ShareTable,
    /// Whether jobs are known and workers are being claimed.
    pub(crate) active: bool,
    /// Whether it is known what every worker runs.
    pub(crate) settled: bool,
    /// Upstreams that are tasks of services.
    pub(crate) endpoints: BTreeMap<TaskId, UpstreamSpec>,
    pub(crate) waiters: BTreeMap<u64, Vec<CommitWaiter>>,
    /// Ends that are being made durable before the worker forgets them.
    pub(crate) forgetting: BTreeSet<(WorkerId, TaskId, Attempt)>,
    /// Calls that wait until jobs are known.
    pub(crate) early_calls: Vec<(ReplyTo, crate::message::ClientCall)>,
}

/// All decisions of one entry for its failure domain, without input or output: events with the time
/// come in, actions go out.
#[derive(Debug)]
pub struct DomainController {
    pub(crate) identity: EntryIdentity,
    pub(crate) domains: Vec<DomainId>,
    pub(crate) clock: WallClock,
    pub(crate) config: ConfigController,
    pub(crate) leadership: LeadershipController,
    pub(crate) journal: JournalController,
    pub(crate) fleet: WorkerFleet,
    pub(crate) peers: PeerTable,
    pub(crate) quota: QuotaController,
    pub(crate) moves: MoveController,
    pub(crate) leader: Option<LeaderState>,
    /// Records of the domain as its leader last sent them.
    pub(crate) warm: BTreeMap<String, LedgerRecord>,
    /// Upstreams that the platform lists.
    pub(crate) listed_upstreams: Vec<UpstreamSpec>,
    pub(crate) leaving_upstreams: BTreeSet<UpstreamId>,
    pub(crate) silent_workers: BTreeSet<WorkerId>,
    pub(crate) leaving_workers: BTreeSet<WorkerId>,
    pub(crate) draining: bool,
    pub(crate) actions: Vec<DomainAction>,
    next_collect: Instant,
    next_changes: Instant,
}

impl DomainController {
    /// Starts as follower. `unix` is the time of day at `now`.
    pub fn new(now: Instant, unix: UnixMillis, identity: EntryIdentity) -> Self {
        let near = identity.domain_entries();
        let rank = near.iter().position(|entry| *entry == identity.entry).unwrap_or(0);
        let (entry, domain) = (identity.entry.clone(), identity.domain.clone());
        let (boot, timing) = (identity.boot, identity.timing);
        Self {
            domains: identity.domains(),
            clock: WallClock::new(now, unix),
            config: ConfigController::new(now, entry.clone(), boot),
            leadership: LeadershipController::new(
                now,
                entry,
                &domain,
                u32::try_from(rank).unwrap_or(u32::MAX),
                boot,
                timing,
            ),
            journal: JournalController::new(now, domain, boot, timing.commit_interval),
            fleet: WorkerFleet::new(timing),
            peers: PeerTable::new(now, &identity),
            quota: QuotaController::new(now, &identity),
            moves: MoveController::new(now, &identity),
            leader: None,
            warm: BTreeMap::new(),
            listed_upstreams: Vec::new(),
            leaving_upstreams: BTreeSet::new(),
            silent_workers: BTreeSet::new(),
            leaving_workers: BTreeSet::new(),
            draining: false,
            actions: Vec::new(),
            next_collect: now,
            next_changes: now,
            identity,
        }
    }

    /// Tells whether this entry leads its failure domain.
    pub fn leads(&self) -> bool {
        self.leader.is_some()
    }

    /// The scheduler, while this entry leads.
    pub fn scheduler(&self) -> Option<&TaskScheduler> {
        self.leader.as_ref().map(|leader| &leader.scheduler)
    }

    /// Revision in force here.
    pub fn revision(&self) -> crate::id::Revision {
        self.config.current().revision
    }

    /// The configuration in force here.
    pub fn config(&self) -> &crate::config::ConfigRevision {
        self.config.current()
    }

    /// Tells whether the configuration is known well enough to serve from it.
    pub fn ready(&self) -> bool {
        self.config.learned() && !self.draining
    }

    /// Takes an event and gives what follows from it.
    pub fn handle(&mut self, now: Instant, event: DomainEvent) -> Vec<DomainAction> {
        match event {
            DomainEvent::Tick => self.tick(now),
            DomainEvent::Store(owner, id, outcome) => self.store_answer(now, owner, id, outcome),
            DomainEvent::Head(stored) => {
                let outputs = self.config.on_head(stored.as_ref());
                self.config_outputs(now, outputs);
            }
            DomainEvent::Worker(worker, id, reply) => {
                let outputs = self.fleet.reply(now, &worker, id, reply);
                self.fleet_outputs(now, outputs);
            }
            DomainEvent::Vms(vms) => self.list_vms(now, &vms),
            DomainEvent::Peer(peer, message) => self.hear_peer(now, &peer, message),
            DomainEvent::PeerGone(peer) => self.peer_gone(now, &peer),
            DomainEvent::Call(id, call) => self.client_call(now, ReplyTo::Client(id), call),
            DomainEvent::Demand(report, free) => {
                self.peers.set_own_room(free);
                self.own_demand(now, report);
            }
            DomainEvent::Leave => self.leave(now),
        }
        self.advance(now);
        std::mem::take(&mut self.actions)
    }

    fn store_answer(
        &mut self,
        now: Instant,
        owner: StoreOwner,
        id: CallId,
        outcome: crate::store::StoreOutcome,
    ) {
        match owner {
            StoreOwner::Leadership => {
                let actions = self.leadership.answer(now, id, outcome);
                self.leadership_actions(now, actions);
            }
            StoreOwner::Journal => {
                let outputs = self.journal.answer(now, id, outcome);
                self.journal_outputs(now, outputs);
            }
            StoreOwner::Config => {
                let cluster = self.peers.cluster(now, &self.own_summary());
                let outputs = self.config.answer(now, id, outcome, &cluster, &self.domains);
                self.config_outputs(now, outputs);
            }
            StoreOwner::Quota => self.quota_answer(now, id, outcome),
            StoreOwner::Moves => self.moves_answer(now, id, outcome),
        }
    }

    fn tick(&mut self, now: Instant) {
        let actions = self.leadership.tick(now);
        self.leadership_actions(now, actions);
        let outputs = self.journal.tick(now);
        self.journal_outputs(now, outputs);
        let outputs = self.config.tick(now);
        self.config_outputs(now, outputs);
        self.peers_tick(now);
        self.quota_tick(now);
        self.moves_tick(now);
        if now >= self.next_collect {
            self.next_collect = now + COLLECT_INTERVAL;
            self.collect_records(now);
        }
    }

    /// Lets whatever has become possible happen.
    fn advance(&mut self, now: Instant) {
        self.settle(now);
        self.place(now);
        self.drive_workers(now);
        let outputs = self.journal.tick(now);
        self.journal_outputs(now, outputs);
        if now >= self.next_changes && self.leader.as_ref().is_some_and(|leader| leader.active) {
            self.next_changes = now + self.identity.timing.commit_interval;
            self.send_changes();
        }
    }

    pub(crate) fn store(
        &mut self,
        owner: StoreOwner,
        id: CallId,
        request: crate::store::StoreRequest,
    ) {
        self.actions.push(DomainAction::Store(owner, id, request));
    }

    pub(crate) fn tell(&mut self, peer: &EntryId, message: PeerMessage) {
        self.actions.push(DomainAction::Peer(peer.clone(), message));
    }

    pub(crate) fn reply(&mut self, to: &ReplyTo, answer: ClientAnswer) {
        match to {
            ReplyTo::Client(id) => self.actions.push(DomainAction::Answer(*id, answer)),
            ReplyTo::Peer(peer, id) => {
                let message = PeerMessage::Answer(*id, answer);
                self.actions.push(DomainAction::Peer(peer.clone(), message));
            }
        }
    }

    pub(crate) fn leadership_actions(&mut self, now: Instant, actions: Vec<LeadershipAction>) {
        for action in actions {
            match action {
                LeadershipAction::Call(id, request) => {
                    self.store(StoreOwner::Leadership, id, request);
                }
                LeadershipAction::Lead(token) => self.lead(now, token),
                LeadershipAction::Follow => self.follow(now),
            }
        }
    }

    fn lead(&mut self, now: Instant, token: FencingToken) {
        info!("{} leads {} under {token:?}", self.identity.entry, self.identity.domain);
        metrics::counter!("kelplink_takeovers_total").increment(1);
        self.withdraw_starts(now);
        let entries = self.identity.domain_entries();
        let shares = ShareTable::new(now, token.clone(), entries, self.identity.timing);
        match &mut self.leader {
            Some(leader) => {
                leader.token = token.clone();
                leader.shares = shares;
                leader.settled = false;
            }
            None => {
                self.leader = Some(LeaderState {
                    token: token.clone(),
                    scheduler: TaskScheduler::new(),
                    shares,
                    active: false,
                    settled: false,
                    endpoints: BTreeMap::new(),
                    waiters: BTreeMap::new(),
                    forgetting: BTreeSet::new(),
                    early_calls: Vec::new(),
                });
            }
        }
        self.quota.lead(now);
        self.moves.lead(now);
        match token.round {
            0 => {
                let outputs = self.journal.recover(token);
                self.journal_outputs(now, outputs);
            }
            _ => {
                let fresh = self.journal.is_empty();
                if fresh {
                    self.journal.preload(self.warm.values().cloned().collect::<Vec<_>>());
                }
                self.activate(now);
            }
        }
    }

    /// Jobs are known: takes them in and claims the workers.
    fn activate(&mut self, now: Instant) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        for record in self.journal.records() {
            if let LedgerRecord::Job(record) = record
                && record.moved.is_none()
                && record.moving_from.is_none()
            {
                leader.scheduler.add_job(record, true);
                leader.scheduler.note_started(record);
            }
        }
        leader.active = true;
        leader.settled = false;
        let token = leader.token.clone();
        leader.scheduler.lead(&token);
        let early = std::mem::take(&mut leader.early_calls);
        self.silent_workers.clear();
        self.fleet.lead(now, token);
        self.close_workers();
        self.restore_upstreams();
        self.apply_parts();
        self.reconcile(now);
        for (to, call) in early {
            self.client_call(now, to, call);
        }
        self.peers.hurry(now);
    }

    fn follow(&mut self, now: Instant) {
        info!("{} follows in {}", self.identity.entry, self.identity.domain);
        let Some(leader) = self.leader.take() else {
            return;
        };
        let answers = leader.waiters.into_values().flatten().filter_map(|waiter| match waiter {
            CommitWaiter::Answer(to, _) => Some(to),
            _ => None,
        });
        for to in answers.collect::<Vec<_>>() {
            self.reply(&to, ClientAnswer::Refused(CallRefusal::Unknown));
        }
        for (to, _) in leader.early_calls {
            self.reply(&to, ClientAnswer::Refused(CallRefusal::NoLeader));
        }
        let records: Vec<LedgerRecord> = self.journal.records().cloned().collect();
        self.warm = records.into_iter().map(|record| (record.name(), record)).collect();
        self.journal.close();
        self.fleet.follow();
        self.peers.hurry(now);
    }

    fn leave(&mut self, now: Instant) {
        self.draining = true;
        let actions = self.leadership.leave(now);
        self.leadership_actions(now, actions);
        self.peers.hurry(now);
        self.peers_tick(now);
    }

    pub(crate) fn journal_outputs(&mut self, now: Instant, outputs: Vec<JournalOutput>) {
        for output in outputs {
            match output {
                JournalOutput::Call(id, request) => self.store(StoreOwner::Journal, id, request),
                JournalOutput::Recovered(_) => {
                    self.drop_moved_jobs();
                    self.activate(now);
                }
                JournalOutput::Committed(ticket) => self.committed(ticket),
                JournalOutput::Fenced => {
                    warn!("another leader has written the ledger: stepping down");
                    let actions = self.leadership.step_down(now);
                    self.leadership_actions(now, actions);
                }
            }
        }
    }

    /// Registers what happens when a change is durable.
    pub(crate) fn when_durable(&mut self, ticket: u64, waiter: CommitWaiter) {
        if let Some(leader) = &mut self.leader {
            leader.waiters.entry(ticket).or_default().push(waiter);
        }
    }

    fn committed(&mut self, ticket: u64) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let later = leader.waiters.split_off(&(ticket + 1));
        let ready = std::mem::replace(&mut leader.waiters, later);
        for waiter in ready.into_values().flatten() {
            self.carry_out(waiter);
        }
    }

    fn carry_out(&mut self, waiter: CommitWaiter) {
        match waiter {
            CommitWaiter::Start { worker, task, attempt, command } => {
                let wanted = self.leader.as_ref().is_some_and(|leader| {
                    let live = leader.scheduler.live().get(&task);
                    live.is_some_and(|live| live.attempt() == attempt && live.label() == "starting")
                });
                if wanted {
                    self.fleet.command(&worker, command);
                }
            }
            CommitWaiter::Forget { worker, task, attempt } => {
                self.fleet.command(&worker, WorkerCommand::Forget { task: task.clone(), attempt });
                if let Some(leader) = &mut self.leader {
                    leader.forgetting.remove(&(worker, task, attempt));
                }
            }
            CommitWaiter::Answer(to, answer) => self.reply(&to, answer),
        }
    }

    pub(crate) fn config_outputs(&mut self, now: Instant, outputs: Vec<ConfigOutput>) {
        for output in outputs {
            match output {
                ConfigOutput::Call(id, request) => self.store(StoreOwner::Config, id, request),
                ConfigOutput::Adopted(_) => {
                    self.peers.hurry(now);
                    self.apply_parts();
                    self.reconcile(now);
                    self.quota.hurry(now);
                }
                ConfigOutput::Push(peer) => {
                    let config = Box::new(self.config.current().clone());
                    self.tell(&peer, PeerMessage::Config(config));
                }
                ConfigOutput::Ask(peer) => self.tell(&peer, PeerMessage::AskConfig),
                ConfigOutput::Confirmed(id, Ok(revision)) => {
                    self.reply(&ReplyTo::Client(id), ClientAnswer::Confirmed(revision));
                }
                ConfigOutput::Confirmed(id, Err(refusal)) => {
                    self.reply(&ReplyTo::Client(id), ClientAnswer::NotConfirmed(refusal));
                }
            }
        }
    }

    fn list_vms(&mut self, now: Instant, vms: &[VmRecord]) {
        let own: Vec<&VmRecord> =
            vms.iter().filter(|vm| vm.domain == self.identity.domain).collect();
        let mut workers: Vec<(WorkerSpec, SocketAddr)> = Vec::new();
        let mut upstreams = Vec::new();
        self.leaving_workers.clear();
        self.leaving_upstreams.clear();
        for vm in own {
            match &vm.role {
                VmRole::Worker { capacity } => {
                    let id: WorkerId = vm.id.as_str().into();
                    if vm.leaving {
                        self.leaving_workers.insert(id.clone());
                    }
                    let spec = WorkerSpec { id, rack: vm.rack.clone(), capacity: *capacity };
                    workers.push((spec, vm.address));
                }
                VmRole::Upstream { service, slots } => {
                    let id: UpstreamId = vm.id.as_str().into();
                    if vm.leaving {
                        self.leaving_upstreams.insert(id.clone());
                    }
                    let (service, slots) = (service.clone(), *slots);
                    upstreams.push(UpstreamSpec { id, service, address: vm.address, slots });
                }
            }
        }
        self.listed_upstreams = upstreams;
        self.fleet.list(now, &workers);
        self.close_workers();
        self.restore_upstreams();
        let leaving = self.leaving_upstreams.clone();
        self.actions.push(DomainAction::Leaving(leaving));
    }

    /// Closes workers for new work that are leaving or do not answer.
    pub(crate) fn close_workers(&mut self) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let ids: Vec<WorkerId> =
            leader.scheduler.pool().iter().map(|worker| worker.spec.id.clone()).collect();
        for id in ids {
            let closed = self.leaving_workers.contains(&id) || self.silent_workers.contains(&id);
            leader.scheduler.set_leaving(&id, closed);
        }
    }

    /// Hands the shares' table all upstreams: listed ones and tasks of services.
    pub(crate) fn restore_upstreams(&mut self) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let listed = self.listed_upstreams.iter();
        let listed = listed.filter(|spec| !self.leaving_upstreams.contains(&spec.id));
        let all = listed.chain(leader.endpoints.values()).cloned().collect();
        leader.shares.set_upstreams(all);
    }

    fn drive_workers(&mut self, now: Instant) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        if !leader.active {
            return;
        }
        let cover = self.moves.cover(now, self.leadership.deadline());
        leader.scheduler.allow_movable(cover.is_some());
        let detached = self.leadership.deadline().is_none_or(|deadline| now >= deadline);
        leader.shares.set_detached(detached);
        let outputs = self.fleet.tick(now, cover, self.leadership.may_act(now));
        self.fleet_outputs(now, outputs);
    }

    pub(crate) fn fleet_outputs(&mut self, now: Instant, outputs: Vec<FleetOutput>) {
        for output in outputs {
            match output {
                FleetOutput::Exchange { id, worker, address, request } => {
                    self.actions.push(DomainAction::Worker { worker, address, id, request });
                }
                FleetOutput::Claimed(spec, tasks) => self.worker_claimed(now, spec, &tasks),
                FleetOutput::Listed(worker, tasks) => self.worker_listed(now, &worker, &tasks),
                FleetOutput::Vanished(worker, task) => {
                    if let Some(leader) = &mut self.leader {
                        leader.scheduler.task_vanished(now, &worker, &task);
                    }
                    self.drop_endpoint(&task);
                }
                FleetOutput::Outranked(token) => {
                    let actions = self.leadership.on_token(now, &token);
                    self.leadership_actions(now, actions);
                }
                FleetOutput::Silent(worker, silent) => {
                    match silent {
                        true => self.silent_workers.insert(worker),
                        false => self.silent_workers.remove(&worker),
                    };
                    self.close_workers();
                }
                FleetOutput::LeaseExpired(worker) => {
                    warn!("worker {worker} is lost: its leases have lapsed");
                    if let Some(leader) = &mut self.leader {
                        leader.scheduler.remove_worker(now, &worker);
                        let live = leader.scheduler.live();
                        leader.endpoints.retain(|task, _| live.contains_key(task));
                    }
                    self.restore_upstreams();
                }
            }
        }
    }
}

/// Interval between searches for records that are not needed any more.
const COLLECT_INTERVAL: std::time::Duration = std::time::Duration::from_secs(60);
