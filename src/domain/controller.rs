//! Connects the controllers of one entry and passes events and actions between them.

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
use crate::domain::quota::DOMAIN_POLICY;
use crate::fleet::{FleetOutput, WorkerFleet};
use crate::id::{Attempt, CallId, DomainId, EntryId, TaskId, UnixMillis, UpstreamId, WorkerId};
use crate::leadership::{LeadershipAction, LeadershipController};
use crate::ledger::{JournalController, JournalOutput, LedgerRecord};
use crate::message::{CallRefusal, ClientAnswer, PeerMessage};
use crate::placement::{TaskScheduler, WorkerSpec};
use crate::quota::QuotaController;
use crate::routing::{ShareTable, UpstreamSpec};
use crate::token::FencingToken;
use crate::worker::WorkerCommand;

/// Destination of an answer.
#[derive(Clone, Debug)]
pub(crate) enum ReplyTo {
    /// A client of this entry.
    Client(CallId),
    /// A peer that forwarded the call.
    Peer(EntryId, CallId),
}

/// An action that waits until a change is durable.
#[derive(Clone, Debug)]
pub(crate) enum CommitWaiter {
    /// Start a task that is not idempotent, after its start is recorded.
    Start { worker: WorkerId, task: TaskId, attempt: Attempt, command: WorkerCommand },
    /// Let the worker drop an ended task from its list, after the end is recorded.
    Forget { worker: WorkerId, task: TaskId, attempt: Attempt },
    /// Send an answer.
    Answer(ReplyTo, ClientAnswer),
}

/// State that an entry has only while it leads.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) token: FencingToken,
    pub(crate) scheduler: TaskScheduler,
    pub(crate) shares: ShareTable,
    /// Whether the jobs are loaded and workers are being claimed.
    pub(crate) active: bool,
    /// Whether the running tasks of every worker are known.
    pub(crate) settled: bool,
    /// Upstreams that are tasks of services, by task.
    pub(crate) endpoints: BTreeMap<TaskId, UpstreamSpec>,
    /// Actions that wait for a commit, by its ticket.
    pub(crate) waiters: BTreeMap<u64, Vec<CommitWaiter>>,
    /// Ended tasks that are being made durable before the worker drops them.
    pub(crate) forgetting: BTreeSet<(WorkerId, TaskId, Attempt)>,
    /// Calls that wait until the jobs are loaded.
    pub(crate) deferred_calls: Vec<(ReplyTo, crate::message::ClientCall)>,
}

/// Decision logic of one entry for its failure domain. It does no input or output: it takes events
/// with the current time and returns actions.
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
    /// Copies of the ledger records, as last sent by the leader or kept since this entry last led.
    pub(crate) warm_records: BTreeMap<String, LedgerRecord>,
    /// Upstreams in the list of the platform.
    pub(crate) listed_upstreams: Vec<UpstreamSpec>,
    pub(crate) leaving_upstreams: BTreeSet<UpstreamId>,
    pub(crate) silent_workers: BTreeSet<WorkerId>,
    pub(crate) leaving_workers: BTreeSet<WorkerId>,
    pub(crate) draining: bool,
    pub(crate) actions: Vec<DomainAction>,
    next_cleanup: Instant,
    next_replication: Instant,
}

impl DomainController {
    /// Creates the controller as a follower. `unix` is the time of day at `now`.
    pub fn new(now: Instant, unix: UnixMillis, identity: EntryIdentity) -> Self {
        let domain_entries = identity.domain_entries();
        let rank = domain_entries.iter().position(|entry| *entry == identity.entry).unwrap_or(0);
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
            quota: QuotaController::new(
                now,
                identity.domain.clone(),
                identity.domains(),
                DOMAIN_POLICY,
                format!("{}-{}", identity.entry, identity.boot),
            ),
            moves: MoveController::new(now, &identity),
            leader: None,
            warm_records: BTreeMap::new(),
            listed_upstreams: Vec::new(),
            leaving_upstreams: BTreeSet::new(),
            silent_workers: BTreeSet::new(),
            leaving_workers: BTreeSet::new(),
            draining: false,
            actions: Vec::new(),
            next_cleanup: now,
            next_replication: now,
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

    /// Revision of the current configuration.
    pub fn revision(&self) -> crate::id::Revision {
        self.config.current().revision
    }

    /// The current configuration.
    pub fn config(&self) -> &crate::config::ConfigRevision {
        self.config.current()
    }

    /// Tells whether the entry can serve: the configuration is known and no planned stop has begun.
    pub fn ready(&self) -> bool {
        self.config.learned() && !self.draining
    }

    /// Processes an event and returns the resulting actions.
    pub fn handle(&mut self, now: Instant, event: DomainEvent) -> Vec<DomainAction> {
        match event {
            DomainEvent::Tick => self.tick(now),
            DomainEvent::Store(owner, id, outcome) => {
                self.handle_store_outcome(now, owner, id, outcome)
            }
            DomainEvent::ConfigHead(stored) => {
                let outputs = self.config.on_head(stored.as_ref());
                self.apply_config_outputs(now, outputs);
            }
            DomainEvent::Worker(worker, id, reply) => {
                let outputs = self.fleet.reply(now, &worker, id, reply);
                self.apply_fleet_outputs(now, outputs);
            }
            DomainEvent::Vms(vms) => self.update_vms(now, &vms),
            DomainEvent::Peer(peer, message) => self.handle_peer_message(now, &peer, message),
            DomainEvent::PeerGone(peer) => self.handle_peer_gone(now, &peer),
            DomainEvent::Call(id, call) => self.handle_client_call(now, ReplyTo::Client(id), call),
            DomainEvent::Demand(report, free) => {
                self.peers.set_own_free_slots(free);
                self.handle_own_demand(now, report);
            }
            DomainEvent::Drain => self.start_drain(now),
        }
        self.advance(now);
        std::mem::take(&mut self.actions)
    }

    fn handle_store_outcome(
        &mut self,
        now: Instant,
        owner: StoreOwner,
        id: CallId,
        outcome: crate::store::StoreOutcome,
    ) {
        match owner {
            StoreOwner::Leadership => {
                let actions = self.leadership.answer(now, id, outcome);
                self.apply_leadership_actions(now, actions);
            }
            StoreOwner::Journal => {
                let outputs = self.journal.answer(now, id, outcome);
                self.apply_journal_outputs(now, outputs);
            }
            StoreOwner::Config => {
                let cluster = self.peers.cluster(now, &self.domain_summary());
                let outputs = self.config.answer(now, id, outcome, &cluster, &self.domains);
                self.apply_config_outputs(now, outputs);
            }
            StoreOwner::Quota => self.handle_quota_outcome(now, id, outcome),
            StoreOwner::Moves => self.handle_moves_outcome(now, id, outcome),
        }
    }

    fn tick(&mut self, now: Instant) {
        let actions = self.leadership.tick(now);
        self.apply_leadership_actions(now, actions);
        let outputs = self.journal.tick(now);
        self.apply_journal_outputs(now, outputs);
        let outputs = self.config.tick(now);
        self.apply_config_outputs(now, outputs);
        self.tick_peers(now);
        self.tick_quota(now);
        self.tick_moves(now);
        if now >= self.next_cleanup {
            self.next_cleanup = now + CLEANUP_INTERVAL;
            self.remove_expired_records(now);
        }
    }

    /// Performs the steps that an event may have made possible.
    fn advance(&mut self, now: Instant) {
        self.settle(now);
        self.run_placement(now);
        self.tick_fleet(now);
        let outputs = self.journal.tick(now);
        self.apply_journal_outputs(now, outputs);
        if now >= self.next_replication && self.leader.as_ref().is_some_and(|leader| leader.active)
        {
            self.next_replication = now + self.identity.timing.commit_interval;
            self.replicate_changes();
        }
    }

    pub(crate) fn call_store(
        &mut self,
        owner: StoreOwner,
        id: CallId,
        request: crate::store::StoreRequest,
    ) {
        self.actions.push(DomainAction::Store(owner, id, request));
    }

    pub(crate) fn send_peer(&mut self, peer: &EntryId, message: PeerMessage) {
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

    pub(crate) fn apply_leadership_actions(
        &mut self,
        now: Instant,
        actions: Vec<LeadershipAction>,
    ) {
        for action in actions {
            match action {
                LeadershipAction::Call(id, request) => {
                    self.call_store(StoreOwner::Leadership, id, request);
                }
                LeadershipAction::Lead(token) => self.become_leader(now, token),
                LeadershipAction::Follow => self.become_follower(now),
            }
        }
    }

    fn become_leader(&mut self, now: Instant, token: FencingToken) {
        info!("{} leads {} with {token:?}", self.identity.entry, self.identity.domain);
        metrics::counter!("kelplink_takeovers_total").increment(1);
        self.withdraw_waiting_starts(now);
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
                    deferred_calls: Vec::new(),
                });
            }
        }
        self.quota.start_term(now);
        self.moves.start_term(now);
        match token.round {
            0 => {
                let outputs = self.journal.recover(token);
                self.apply_journal_outputs(now, outputs);
            }
            _ => {
                let ledger_is_empty = self.journal.is_empty();
                if ledger_is_empty {
                    self.journal.load_copy(self.warm_records.values().cloned().collect::<Vec<_>>());
                }
                self.activate(now);
            }
        }
    }

    /// Adds the jobs of the journal to the scheduler and starts to claim the workers.
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
                leader.scheduler.exclude_started_tasks(record);
            }
        }
        leader.active = true;
        leader.settled = false;
        let token = leader.token.clone();
        leader.scheduler.lead(&token);
        let deferred = std::mem::take(&mut leader.deferred_calls);
        self.silent_workers.clear();
        self.fleet.lead(now, token);
        self.exclude_unavailable_workers();
        self.update_upstreams();
        self.apply_quota_parts();
        self.reconcile(now);
        for (to, call) in deferred {
            self.handle_client_call(now, to, call);
        }
        self.peers.make_heartbeats_due(now);
    }

    fn become_follower(&mut self, now: Instant) {
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
        for (to, _) in leader.deferred_calls {
            self.reply(&to, ClientAnswer::Refused(CallRefusal::NoLeader));
        }
        let records: Vec<LedgerRecord> = self.journal.records().cloned().collect();
        self.warm_records = records.into_iter().map(|record| (record.name(), record)).collect();
        self.journal.close();
        self.fleet.follow();
        self.peers.make_heartbeats_due(now);
    }

    fn start_drain(&mut self, now: Instant) {
        self.draining = true;
        let actions = self.leadership.leave(now);
        self.apply_leadership_actions(now, actions);
        self.peers.make_heartbeats_due(now);
        self.tick_peers(now);
    }

    pub(crate) fn apply_journal_outputs(&mut self, now: Instant, outputs: Vec<JournalOutput>) {
        for output in outputs {
            match output {
                JournalOutput::Call(id, request) => {
                    self.call_store(StoreOwner::Journal, id, request)
                }
                JournalOutput::Recovered(_) => {
                    self.drop_moved_jobs();
                    self.activate(now);
                }
                JournalOutput::Committed(ticket) => self.run_committed_waiters(now, ticket),
                JournalOutput::Fenced => {
                    warn!("another leader has written to the ledger: stepping down");
                    let actions = self.leadership.step_down(now);
                    self.apply_leadership_actions(now, actions);
                }
            }
        }
    }

    /// Registers an action that runs when a change is durable.
    pub(crate) fn run_when_durable(&mut self, ticket: u64, waiter: CommitWaiter) {
        if let Some(leader) = &mut self.leader {
            leader.waiters.entry(ticket).or_default().push(waiter);
        }
    }

    fn run_committed_waiters(&mut self, now: Instant, ticket: u64) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let later = leader.waiters.split_off(&(ticket + 1));
        let ready = std::mem::replace(&mut leader.waiters, later);
        for waiter in ready.into_values().flatten() {
            self.run_waiter(now, waiter);
        }
    }

    fn run_waiter(&mut self, now: Instant, waiter: CommitWaiter) {
        match waiter {
            CommitWaiter::Start { worker, task, attempt, command } => {
                let wanted = self.leader.as_ref().is_some_and(|leader| {
                    let live = leader.scheduler.live().get(&task);
                    live.is_some_and(|live| live.attempt() == attempt && live.label() == "starting")
                });
                match wanted {
                    // The store may have taken the record long after the worker was chosen.
                    true if self.leaving_workers.contains(&worker) => {
                        self.withdraw_unsent_start(now, &worker, &task);
                        self.run_placement(now);
                    }
                    true => self.fleet.command(&worker, command),
                    false => {}
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

    pub(crate) fn apply_config_outputs(&mut self, now: Instant, outputs: Vec<ConfigOutput>) {
        for output in outputs {
            match output {
                ConfigOutput::Call(id, request) => self.call_store(StoreOwner::Config, id, request),
                ConfigOutput::Adopted(_) => {
                    self.peers.make_heartbeats_due(now);
                    self.apply_quota_parts();
                    self.reconcile(now);
                    self.quota.schedule_recheck(now);
                }
                ConfigOutput::Push(peer) => {
                    let config = Box::new(self.config.current().clone());
                    self.send_peer(&peer, PeerMessage::Config(config));
                }
                ConfigOutput::Ask(peer) => self.send_peer(&peer, PeerMessage::AskConfig),
                ConfigOutput::Confirmed(id, Ok(revision)) => {
                    self.reply(&ReplyTo::Client(id), ClientAnswer::Confirmed(revision));
                }
                ConfigOutput::Confirmed(id, Err(refusal)) => {
                    self.reply(&ReplyTo::Client(id), ClientAnswer::NotConfirmed(refusal));
                }
            }
        }
    }

    fn update_vms(&mut self, now: Instant, vms: &[VmRecord]) {
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
        self.fleet.update_workers(now, &workers);
        self.exclude_unavailable_workers();
        self.update_upstreams();
        let leaving = self.leaving_upstreams.clone();
        self.actions.push(DomainAction::Leaving(leaving));
    }

    /// Excludes workers from new placements that are leaving or do not answer.
    pub(crate) fn exclude_unavailable_workers(&mut self) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let ids: Vec<WorkerId> =
            leader.scheduler.pool().iter().map(|worker| worker.spec.id.clone()).collect();
        for id in ids {
            let excluded = self.leaving_workers.contains(&id) || self.silent_workers.contains(&id);
            leader.scheduler.set_excluded(&id, excluded);
        }
    }

    /// Updates the upstreams of the share table: listed ones and tasks of services.
    pub(crate) fn update_upstreams(&mut self) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let listed = self.listed_upstreams.iter();
        let listed = listed.filter(|spec| !self.leaving_upstreams.contains(&spec.id));
        let all = listed.chain(leader.endpoints.values()).cloned().collect();
        leader.shares.set_upstreams(all);
    }

    fn tick_fleet(&mut self, now: Instant) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        if !leader.active {
            return;
        }
        let movable_until = self.moves.movable_until(now, self.leadership.deadline());
        leader.scheduler.set_movable_allowed(movable_until.is_some());
        let detached = self.leadership.deadline().is_none_or(|deadline| now >= deadline);
        leader.shares.set_even_split_only(detached);
        let outputs = self.fleet.tick(now, movable_until, self.leadership.may_act(now));
        self.apply_fleet_outputs(now, outputs);
    }

    pub(crate) fn apply_fleet_outputs(&mut self, now: Instant, outputs: Vec<FleetOutput>) {
        for output in outputs {
            match output {
                FleetOutput::Exchange { id, worker, address, request } => {
                    self.actions.push(DomainAction::Worker { worker, address, id, request });
                }
                FleetOutput::Claimed(spec, tasks) => self.handle_worker_claimed(now, spec, &tasks),
                FleetOutput::Listed(worker, tasks) => self.handle_task_list(now, &worker, &tasks),
                FleetOutput::Vanished(worker, task) => {
                    if let Some(leader) = &mut self.leader {
                        leader.scheduler.task_vanished(now, &worker, &task);
                    }
                    self.remove_endpoint(&task);
                }
                FleetOutput::HigherToken(token) => {
                    let actions = self.leadership.on_token(now, &token);
                    self.apply_leadership_actions(now, actions);
                }
                FleetOutput::Silent(worker, silent) => {
                    match silent {
                        true => self.silent_workers.insert(worker),
                        false => self.silent_workers.remove(&worker),
                    };
                    self.exclude_unavailable_workers();
                }
                FleetOutput::LeaseExpired(worker) => {
                    warn!("worker {worker} is lost: its leases have expired");
                    if let Some(leader) = &mut self.leader {
                        leader.scheduler.remove_worker(now, &worker);
                        let live = leader.scheduler.live();
                        leader.endpoints.retain(|task, _| live.contains_key(task));
                    }
                    self.update_upstreams();
                }
            }
        }
    }
}

/// Interval between removals of expired records.
const CLEANUP_INTERVAL: std::time::Duration = std::time::Duration::from_secs(60);
