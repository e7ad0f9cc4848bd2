//! The leader's exchanges with the workers of its failure domain.
//!
//! A worker is claimed before it is used: its highest token is raised to ours and it lists its
//! tasks. Every later request carries the time on the worker's own clock after which it is refused,
//! worked out from the worker's last answer, so that a request that was held up anywhere cannot take
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

/// Added to every bound on another machine's clock.
const CLOCK_MARGIN: Duration = Duration::from_millis(500);
/// Pause before a worker that did not answer is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Commands in one exchange.
const MAX_COMMANDS: usize = 256;

/// Number of one exchange.
pub type ExchangeId = u64;

/// What the fleet wants done or tells.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetOutput {
    /// Send this request and bring the reply back under the number.
    Exchange {
        /// Number of the exchange.
        id: ExchangeId,
        /// The worker.
        worker: WorkerId,
        /// Where it is.
        address: SocketAddr,
        /// What to send.
        request: WorkerRequest,
    },
    /// A worker was claimed and lists its tasks.
    Claimed(WorkerSpec, Vec<TaskReport>),
    /// A worker lists its tasks.
    Listed(WorkerId, Vec<TaskReport>),
    /// A task that was delivered is not listed any more.
    Vanished(WorkerId, TaskId),
    /// A worker refused us for a higher token.
    Outranked(FencingToken),
    /// A worker does not answer, or answers again.
    Silent(WorkerId, bool),
    /// All tasks that this leader started on the worker have surely ended.
    LeaseExpired(WorkerId),
}

#[derive(Debug)]
enum WorkerLink {
    /// It has to be claimed before it is used.
    Unclaimed,
    /// It answers to our token.
    Claimed {
        /// Its clock in its last answer.
        clock: Duration,
        /// When that answer arrived.
        heard: Instant,
        /// Which start of the worker answered.
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
    link: WorkerLink,
    pending: Option<PendingExchange>,
    /// Commands that were sent and may or may not have arrived.
    unsure: Vec<WorkerCommand>,
    /// Commands that were never sent.
    commands: Vec<WorkerCommand>,
    due: Instant,
    /// Until when a lease that we gave may hold.
    lapses: Instant,
    /// Tries that the worker has taken note of and that are not forgotten.
    delivered: BTreeMap<TaskId, Attempt>,
    silent: bool,
    /// When the platform stopped to list it.
    gone: Option<Instant>,
    /// Whether its tasks are known to have ended although it was not claimed.
    lapsed: bool,
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
    /// A fleet that knows no worker.
    pub fn new(timing: TimingSettings) -> Self {
        Self { timing, token: None, members: BTreeMap::new(), next_exchange: 0, listed: false }
    }

    /// Number of workers known.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Tells whether no worker is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Tells whether the platform's list was seen.
    pub fn listed(&self) -> bool {
        self.listed
    }

    /// Number of workers claimed.
    pub fn claimed(&self) -> usize {
        self.members.values().filter(|m| matches!(m.link, WorkerLink::Claimed { .. })).count()
    }

    /// Tells whether every worker was heard from, or has no tasks left for sure.
    pub fn resolved(&self) -> bool {
        let settled = |m: &FleetMember| m.lapsed || matches!(m.link, WorkerLink::Claimed { .. });
        self.listed && self.members.values().all(settled)
    }

    /// Starts to lead: all workers have to be claimed under the token.
    pub fn lead(&mut self, now: Instant, token: FencingToken) {
        self.token = Some(token);
        for member in self.members.values_mut() {
            member.link = WorkerLink::Unclaimed;
            member.pending = None;
            member.unsure.clear();
            member.delivered.clear();
            member.due = now;
            member.lapsed = false;
            member.silent = false;
        }
    }

    /// Stops to lead: nothing more is sent.
    pub fn follow(&mut self) {
        self.token = None;
        for member in self.members.values_mut() {
            member.unsure.clear();
            member.commands.clear();
        }
    }

    /// Takes the platform's list of this domain's workers.
    pub fn list(&mut self, now: Instant, workers: &[(WorkerSpec, SocketAddr)]) {
        self.listed = true;
        let names: BTreeSet<&WorkerId> = workers.iter().map(|(spec, _)| &spec.id).collect();
        for member in self.members.values_mut() {
            match names.contains(&member.spec.id) {
                true => member.gone = None,
                false => member.gone = member.gone.or(Some(now)),
            }
        }
        for (spec, address) in workers {
            let lapses = now;
            let member = self.members.entry(spec.id.clone()).or_insert_with(|| FleetMember {
                spec: spec.clone(),
                address: *address,
                link: WorkerLink::Unclaimed,
                pending: None,
                unsure: Vec::new(),
                commands: Vec::new(),
                due: now,
                lapses,
                delivered: BTreeMap::new(),
                silent: false,
                gone: None,
                lapsed: false,
            });
            member.address = *address;
        }
    }

    /// Hands a command to a worker; it goes out with the next exchange.
    pub fn command(&mut self, worker: &WorkerId, command: WorkerCommand) {
        if let Some(member) = self.members.get_mut(worker) {
            member.commands.push(command);
        }
    }

    /// Asks a worker no later than at the given time.
    pub fn look_at(&mut self, worker: &WorkerId, at: Instant) {
        if let Some(member) = self.members.get_mut(worker) {
            member.due = member.due.min(at);
        }
    }

    /// Tells whether a start waits that was never sent.
    pub fn start_waits(&self, worker: &WorkerId, wanted: &TaskId) -> bool {
        let commands = self.members.get(worker).into_iter().flat_map(|member| &member.commands);
        commands
            .into_iter()
            .any(|command| matches!(command, WorkerCommand::Start { task, .. } if task == wanted))
    }

    /// Takes a start back that was never sent and tells whether it did.
    pub fn withdraw(&mut self, worker: &WorkerId, wanted: &TaskId) -> bool {
        let Some(member) = self.members.get_mut(worker) else {
            return false;
        };
        let is_start = |command: &WorkerCommand| matches!(command, WorkerCommand::Start { task, .. } if task == wanted);
        let before = member.commands.len();
        member.commands.retain(|command| !is_start(command));
        before > member.commands.len()
    }

    /// Lets time pass. `cover` is until when no other failure domain can take over tasks that may
    /// move; `None` where that is not known. `act` tells whether commands may be sent at all.
    pub fn tick(&mut self, now: Instant, cover: Option<Instant>, act: bool) -> Vec<FleetOutput> {
        let Some(token) = self.token.clone() else {
            return Vec::new();
        };
        let mut outputs = Vec::new();
        let mut removed = Vec::new();
        for (id, member) in &mut self.members {
            if member.lapse(now, &self.timing) {
                outputs.push(FleetOutput::LeaseExpired(id.clone()));
                if member.gone.is_some() {
                    removed.push(id.clone());
                }
            }
            let waiting = !member.commands.is_empty() || !member.unsure.is_empty();
            let urgent = waiting && !member.silent && member.claimed();
            if act && member.pending.is_none() && (urgent || now >= member.due) {
                self.next_exchange += 1;
                let request = member.request(now, self.next_exchange, &token, cover, &self.timing);
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

    /// Brings back a worker's reply; `None` when none came.
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
            None => member.unanswered(now, pending),
            Some(reply) if reply.highest > token => vec![FleetOutput::Outranked(reply.highest)],
            Some(reply) => member.answered(now, pending, reply, &self.timing),
        }
    }
}

impl FleetMember {
    fn claimed(&self) -> bool {
        matches!(self.link, WorkerLink::Claimed { .. })
    }

    /// Tells, once, that every lease that may hold on the worker has ended.
    fn lapse(&mut self, now: Instant, timing: &TimingSettings) -> bool {
        let gone = self.gone.is_some_and(|since| now >= since + timing.task_lease + CLOCK_MARGIN);
        let over = match self.claimed() {
            true => self.silent && now >= self.lapses + CLOCK_MARGIN,
            false => gone && !self.lapsed,
        };
        if over {
            self.link = WorkerLink::Unclaimed;
            self.lapsed = true;
            self.unsure.clear();
            self.commands.clear();
            self.delivered.clear();
        }
        over
    }

    fn request(
        &mut self,
        now: Instant,
        id: ExchangeId,
        token: &FencingToken,
        cover: Option<Instant>,
        timing: &TimingSettings,
    ) -> WorkerRequest {
        let movable = cover.filter(|until| *until > now);
        let mut horizon = now + timing.command_validity;
        if let Some(until) = movable {
            horizon = horizon.min(until);
        }
        let (not_after, boot, commands) = match &self.link {
            WorkerLink::Unclaimed => (None, None, Vec::new()),
            WorkerLink::Claimed { clock, heard, boot } => {
                self.lapses = self.lapses.max(horizon + timing.task_lease);
                let mut commands = std::mem::take(&mut self.unsure);
                let taken = self.commands.len().min(MAX_COMMANDS);
                commands.extend(self.commands.drain(..taken));
                {
                    let not_after = *clock + horizon.saturating_duration_since(*heard);
                    (Some(not_after), Some(*boot), commands)
                }
            }
        };
        self.due = now + timing.worker_interval;
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

    fn unanswered(&mut self, now: Instant, pending: PendingExchange) -> Vec<FleetOutput> {
        self.unsure = pending.commands;
        self.due = now + RETRY_PAUSE;
        let first = !self.silent;
        self.silent = true;
        match first {
            true => vec![FleetOutput::Silent(self.spec.id.clone(), true)],
            false => Vec::new(),
        }
    }

    fn answered(
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
        let was_claimed = self.claimed();
        let same_boot = match &self.link {
            WorkerLink::Claimed { boot, .. } => *boot == reply.boot,
            WorkerLink::Unclaimed => false,
        };
        self.link = WorkerLink::Claimed { clock: reply.clock, heard: now, boot: reply.boot };
        if !was_claimed {
            self.due = now;
            self.lapsed = false;
            self.lapses = now + timing.task_lease;
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
            false => self.unsure = pending.commands,
        }
        outputs.extend(self.compare(same_boot, &reply.tasks));
        outputs.push(FleetOutput::Listed(self.spec.id.clone(), reply.tasks));
        outputs
    }

    /// Finds tasks that were delivered and are not listed.
    fn compare(&mut self, same_boot: bool, tasks: &[TaskReport]) -> Vec<FleetOutput> {
        let listed: BTreeMap<&TaskId, &TaskReport> =
            tasks.iter().map(|report| (&report.task, report)).collect();
        let there = |task: &TaskId, attempt: Attempt| {
            listed
                .get(task)
                .is_some_and(|report| report.attempt >= attempt || report.outcome.is_none())
        };
        let missing: Vec<TaskId> = self
            .delivered
            .iter()
            .filter(|(task, attempt)| !there(task, **attempt))
            .map(|(task, _)| task.clone())
            .collect();
        let mut missing = missing;
        if !same_boot {
            // Whether these started before the restart is not known; either way they do not run.
            missing.extend(std::mem::take(&mut self.unsure).into_iter().filter_map(|command| {
                match command {
                    WorkerCommand::Start { task, attempt, .. } if !there(&task, attempt) => {
                        Some(task)
                    }
                    _ => None,
                }
            }));
        }
        for task in &missing {
            self.delivered.remove(task);
        }
        let id = &self.spec.id;
        missing.into_iter().map(|task| FleetOutput::Vanished(id.clone(), task)).collect()
    }
}
