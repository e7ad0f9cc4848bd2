//! The leader's exchanges with the workers of its failure domain.
//!
//! A worker is claimed before it is used: its highest token is raised to the leader's and it lists
//! its tasks. Every later request carries the time on the worker's own clock after which the worker
//! refuses it. That time is derived from the worker's last answer, so a delayed request cannot take
//! effect late.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::id::{Attempt, TaskId, WorkerId};
use crate::placement::WorkerSpec;
use crate::settings::TimingSettings;
use crate::token::FencingToken;
use crate::worker::{TaskReport, WorkerCommand, WorkerReply, WorkerRequest};

/// Safety margin on times at which leases on other machines expire.
const CLOCK_MARGIN: Duration = Duration::from_millis(500);
/// Delay before a worker that did not answer is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Maximum number of new commands in one exchange.
const MAX_COMMANDS: usize = 256;

/// Number of an exchange.
pub type ExchangeId = u64;

/// Actions and events for the caller of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetOutput {
    /// Send this request and pass the reply to [`WorkerFleet::reply`] with the number.
    Exchange {
        /// Number of the exchange.
        id: ExchangeId,
        /// The worker.
        worker: WorkerId,
        /// Its address.
        address: SocketAddr,
        /// The request.
        request: WorkerRequest,
    },
    /// A worker was claimed and lists its tasks.
    Claimed(WorkerSpec, Vec<TaskReport>),
    /// A worker lists its tasks.
    Listed(WorkerId, Vec<TaskReport>),
    /// A task that was delivered is not listed any more.
    Vanished(WorkerId, TaskId),
    /// A worker has seen a higher token than that of this leader.
    HigherToken(FencingToken),
    /// A worker does not answer (`true`), or answers again (`false`).
    Silent(WorkerId, bool),
    /// Every lease on the worker is certain to have expired, so its tasks have ended.
    LeaseExpired(WorkerId),
}

#[derive(Debug)]
enum ClaimState {
    /// The worker has to be claimed before it is used.
    Unclaimed,
    /// The worker has accepted this leader's token.
    Claimed {
        /// Time on the worker's clock in its last answer.
        clock: Duration,
        /// When that answer arrived.
        answered_at: Instant,
        /// Number of the process start of the worker that answered.
        boot: u64,
    },
}

#[derive(Debug)]
struct PendingExchange {
    id: ExchangeId,
    commands: Vec<WorkerCommand>,
}

#[derive(Debug)]
struct FleetMember {
    spec: WorkerSpec,
    address: SocketAddr,
    claim_state: ClaimState,
    pending: Option<PendingExchange>,
    /// Commands that were sent and are not known to have arrived; they are sent again.
    unconfirmed: Vec<WorkerCommand>,
    /// Commands that were not sent yet.
    commands: Vec<WorkerCommand>,
    next_exchange_at: Instant,
    /// Latest time until which a lease granted by this leader may last.
    lease_end: Instant,
    /// Attempts that the worker has listed or accepted, until it accepts a command to forget them.
    delivered: BTreeMap<TaskId, Attempt>,
    silent: bool,
    /// When the platform stopped listing it.
    unlisted_since: Option<Instant>,
    /// Whether every lease on it is certain to have expired, so that its tasks have ended.
    lease_expired: bool,
}

/// Exchanges with all workers of a failure domain.
#[derive(Debug)]
pub struct WorkerFleet {
    timing: TimingSettings,
    token: Option<FencingToken>,
    members: BTreeMap<WorkerId, FleetMember>,
    next_exchange: ExchangeId,
    listed: bool,
}

impl WorkerFleet {
    /// Creates a fleet without workers.
    pub fn new(timing: TimingSettings) -> Self {
        Self { timing, token: None, members: BTreeMap::new(), next_exchange: 0, listed: false }
    }

    /// Number of known workers.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Tells whether no worker is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Tells whether the platform's list of workers was received.
    pub fn listed(&self) -> bool {
        self.listed
    }

    /// Number of claimed workers.
    pub fn claimed(&self) -> usize {
        self.members
            .values()
            .filter(|m| matches!(m.claim_state, ClaimState::Claimed { .. }))
            .count()
    }

    /// Tells whether every worker is claimed or is certain to have no tasks left.
    pub fn all_resolved(&self) -> bool {
        let is_resolved = |m: &FleetMember| {
            m.lease_expired || matches!(m.claim_state, ClaimState::Claimed { .. })
        };
        self.listed && self.members.values().all(is_resolved)
    }

    /// Starts leading: all workers have to be claimed under the token.
    pub fn lead(&mut self, now: Instant, token: FencingToken) {
        self.token = Some(token);
        for member in self.members.values_mut() {
            member.claim_state = ClaimState::Unclaimed;
            member.pending = None;
            member.unconfirmed.clear();
            member.delivered.clear();
            member.next_exchange_at = now;
            member.lease_expired = false;
            member.silent = false;
        }
    }

    /// Stops leading: nothing more is sent.
    pub fn follow(&mut self) {
        self.token = None;
        for member in self.members.values_mut() {
            member.unconfirmed.clear();
            member.commands.clear();
        }
    }

    /// Updates the workers from the platform's list for this failure domain.
    pub fn update_workers(&mut self, now: Instant, workers: &[(WorkerSpec, SocketAddr)]) {
        self.listed = true;
        let names: BTreeSet<&WorkerId> = workers.iter().map(|(spec, _)| &spec.id).collect();
        for member in self.members.values_mut() {
            match names.contains(&member.spec.id) {
                true => member.unlisted_since = None,
                false => member.unlisted_since = member.unlisted_since.or(Some(now)),
            }
        }
        for (spec, address) in workers {
            let lease_end = now;
            let member = self.members.entry(spec.id.clone()).or_insert_with(|| FleetMember {
                spec: spec.clone(),
                address: *address,
                claim_state: ClaimState::Unclaimed,
                pending: None,
                unconfirmed: Vec::new(),
                commands: Vec::new(),
                next_exchange_at: now,
                lease_end,
                delivered: BTreeMap::new(),
                silent: false,
                unlisted_since: None,
                lease_expired: false,
            });
            member.address = *address;
        }
    }

    /// Queues a command for a worker; it is sent with the next exchange.
    pub fn command(&mut self, worker: &WorkerId, command: WorkerCommand) {
        if let Some(member) = self.members.get_mut(worker) {
            member.commands.push(command);
        }
    }

    /// Schedules an exchange with a worker no later than at the given time.
    pub fn schedule_exchange(&mut self, worker: &WorkerId, at: Instant) {
        if let Some(member) = self.members.get_mut(worker) {
            member.next_exchange_at = member.next_exchange_at.min(at);
        }
    }

    /// Tells whether the start of a task is queued and was not sent yet.
    pub fn has_queued_start(&self, worker: &WorkerId, wanted: &TaskId) -> bool {
        let commands = self.members.get(worker).into_iter().flat_map(|member| &member.commands);
        commands
            .into_iter()
            .any(|command| matches!(command, WorkerCommand::Start { task, .. } if task == wanted))
    }

    /// Removes the queued start of a task that was not sent yet, and tells whether there was one.
    pub fn withdraw(&mut self, worker: &WorkerId, wanted: &TaskId) -> bool {
        let Some(member) = self.members.get_mut(worker) else {
            return false;
        };
        let is_start = |command: &WorkerCommand| matches!(command, WorkerCommand::Start { task, .. } if task == wanted);
        let before = member.commands.len();
        member.commands.retain(|command| !is_start(command));
        before > member.commands.len()
    }

    /// Detects expired leases and starts the exchanges that are due. Before `movable_until`, no other
    /// failure domain can take over movable tasks; with `None`, their leases are not renewed.
    /// `may_send` tells whether any exchange may be started.
    pub fn tick(
        &mut self,
        now: Instant,
        movable_until: Option<Instant>,
        may_send: bool,
    ) -> Vec<FleetOutput> {
        let Some(token) = self.token.clone() else {
            return Vec::new();
        };
        let mut outputs = Vec::new();
        let mut removed = Vec::new();
        for (id, member) in &mut self.members {
            if member.expire_lease(now, &self.timing) {
                outputs.push(FleetOutput::LeaseExpired(id.clone()));
                if member.unlisted_since.is_some() {
                    removed.push(id.clone());
                }
            }
            let has_commands = !member.commands.is_empty() || !member.unconfirmed.is_empty();
            let urgent = has_commands && !member.silent && member.is_claimed();
            if may_send && member.pending.is_none() && (urgent || now >= member.next_exchange_at) {
                self.next_exchange += 1;
                let request = member.build_request(
                    now,
                    self.next_exchange,
                    &token,
                    movable_until,
                    &self.timing,
                );
                outputs.push(FleetOutput::Exchange {
                    id: self.next_exchange,
                    worker: id.clone(),
                    address: member.address,
                    request,
                });
            }
        }
        for id in removed {
            self.members.remove(&id);
        }
        outputs
    }

    /// Handles a worker's reply, or `None` if there was none.
    pub fn reply(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        id: ExchangeId,
        reply: Option<WorkerReply>,
    ) -> Vec<FleetOutput> {
        let Some(token) = self.token.clone() else {
            return Vec::new();
        };
        let Some(member) = self.members.get_mut(worker) else {
            return Vec::new();
        };
        let pending = match member.pending.take() {
            Some(pending) if pending.id == id => pending,
            other => {
                member.pending = other;
                return Vec::new();
            }
        };
        match reply {
            None => member.handle_no_reply(now, pending),
            Some(reply) if reply.highest > token => vec![FleetOutput::HigherToken(reply.highest)],
            Some(reply) => member.handle_reply(now, pending, reply, &self.timing),
        }
    }
}

impl FleetMember {
    fn is_claimed(&self) -> bool {
        matches!(self.claim_state, ClaimState::Claimed { .. })
    }

    /// Returns `true` once when every lease on the worker is certain to have expired.
    fn expire_lease(&mut self, now: Instant, timing: &TimingSettings) -> bool {
        let unlisted_lease_expired = self
            .unlisted_since
            .is_some_and(|since| now >= since + timing.task_lease + CLOCK_MARGIN);
        let all_ended = match self.is_claimed() {
            true => self.silent && now >= self.lease_end + CLOCK_MARGIN,
            false => unlisted_lease_expired && !self.lease_expired,
        };
        if all_ended {
            self.claim_state = ClaimState::Unclaimed;
            self.lease_expired = true;
            self.unconfirmed.clear();
            self.commands.clear();
            self.delivered.clear();
        }
        all_ended
    }

    fn build_request(
        &mut self,
        now: Instant,
        id: ExchangeId,
        token: &FencingToken,
        movable_until: Option<Instant>,
        timing: &TimingSettings,
    ) -> WorkerRequest {
        let movable = movable_until.filter(|until| *until > now);
        let mut validity_end = now + timing.command_validity;
        if let Some(until) = movable {
            validity_end = validity_end.min(until);
        }
        let (not_after, boot, commands) = match &self.claim_state {
            ClaimState::Unclaimed => (None, None, Vec::new()),
            ClaimState::Claimed { clock, answered_at, boot } => {
                self.lease_end = self.lease_end.max(validity_end + timing.task_lease);
                let mut commands = std::mem::take(&mut self.unconfirmed);
                let taken = self.commands.len().min(MAX_COMMANDS);
                commands.extend(self.commands.drain(..taken));
                {
                    let not_after = *clock + validity_end.saturating_duration_since(*answered_at);
                    (Some(not_after), Some(*boot), commands)
                }
            }
        };
        self.next_exchange_at = now + timing.worker_interval;
        self.pending = Some(PendingExchange { id, commands: commands.clone() });
        WorkerRequest {
            token: token.clone(),
            not_after,
            boot,
            lease: timing.task_lease,
            renew_movable: movable.is_some(),
            commands,
        }
    }

    fn handle_no_reply(&mut self, now: Instant, pending: PendingExchange) -> Vec<FleetOutput> {
        self.unconfirmed = pending.commands;
        self.next_exchange_at = now + RETRY_PAUSE;
        let first = !self.silent;
        self.silent = true;
        match first {
            true => vec![FleetOutput::Silent(self.spec.id.clone(), true)],
            false => Vec::new(),
        }
    }

    fn handle_reply(
        &mut self,
        now: Instant,
        pending: PendingExchange,
        reply: WorkerReply,
        timing: &TimingSettings,
    ) -> Vec<FleetOutput> {
        let mut outputs = Vec::new();
        if std::mem::take(&mut self.silent) {
            outputs.push(FleetOutput::Silent(self.spec.id.clone(), false));
        }
        let was_claimed = self.is_claimed();
        let same_boot = match &self.claim_state {
            ClaimState::Claimed { boot, .. } => *boot == reply.boot,
            ClaimState::Unclaimed => false,
        };
        self.claim_state =
            ClaimState::Claimed { clock: reply.clock, answered_at: now, boot: reply.boot };
        if !was_claimed {
            self.next_exchange_at = now;
            self.lease_expired = false;
            self.lease_end = now + timing.task_lease;
            let tasks = reply.tasks.iter();
            self.delivered = tasks.map(|report| (report.task.clone(), report.attempt)).collect();
            outputs.push(FleetOutput::Claimed(self.spec.clone(), reply.tasks));
            return outputs;
        }
        match reply.accepted {
            true => {
                for command in &pending.commands {
                    match command {
                        WorkerCommand::Start { task, attempt, .. }
                        | WorkerCommand::Stop { task, attempt, .. } => {
                            self.delivered.insert(task.clone(), *attempt);
                        }
                        WorkerCommand::Forget { task, .. } => {
                            self.delivered.remove(task);
                        }
                    }
                }
            }
            false => self.unconfirmed = pending.commands,
        }
        outputs.extend(self.take_vanished(same_boot, &reply.tasks));
        outputs.push(FleetOutput::Listed(self.spec.id.clone(), reply.tasks));
        outputs
    }

    /// Removes and returns the tasks that were delivered and are not listed any more.
    fn take_vanished(&mut self, same_boot: bool, tasks: &[TaskReport]) -> Vec<FleetOutput> {
        let listed: BTreeMap<&TaskId, &TaskReport> =
            tasks.iter().map(|report| (&report.task, report)).collect();
        let is_listed = |task: &TaskId, attempt: Attempt| {
            listed
                .get(task)
                .is_some_and(|report| report.attempt >= attempt || report.outcome.is_none())
        };
        let vanished: Vec<TaskId> = self
            .delivered
            .iter()
            .filter(|(task, attempt)| !is_listed(task, **attempt))
            .map(|(task, _)| task.clone())
            .collect();
        let mut vanished = vanished;
        if !same_boot {
            // Unconfirmed starts may have taken effect before the worker restarted; their tasks no longer run.
            vanished.extend(std::mem::take(&mut self.unconfirmed).into_iter().filter_map(
                |command| match command {
                    WorkerCommand::Start { task, attempt, .. } if !is_listed(&task, attempt) => {
                        Some(task)
                    }
                    _ => None,
                },
            ));
        }
        for task in &vanished {
            self.delivered.remove(task);
        }
        let id = &self.spec.id;
        vanished.into_iter().map(|task| FleetOutput::Vanished(id.clone(), task)).collect()
    }
}
