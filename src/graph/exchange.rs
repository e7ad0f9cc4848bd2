//! What a leader and a worker say to each other, as the decisions see it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::graph::name::{MachineId, RunNumber, TaskName};
use crate::id::{DomainId, RackId, ServiceId, UnixMillis, WorkerId};
use crate::resources::ResourceVector;

/// When a life of a worker began, by its time of day. Only tells the lives of a worker apart; `None` where the worker does
/// not say it.
pub type InstanceStart = Option<UnixMillis>;

/// One life of a worker.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct InstanceId {
    /// The worker.
    pub worker: WorkerId,
    /// Start of the life; `None` where it is not known.
    pub instance_start: InstanceStart,
}

impl InstanceId {
    /// A life of a worker.
    pub fn new(worker: WorkerId, instance_start: InstanceStart) -> Self {
        Self { worker, instance_start }
    }

    /// Whether both are surely different lives of the same worker.
    pub fn is_other_instance_of(&self, other: &Self) -> bool {
        let starts_differ = self.instance_start.is_some()
            && other.instance_start.is_some()
            && self.instance_start != other.instance_start;
        starts_differ && self.worker == other.worker
    }
}

/// Allows a step on one worker.
pub type TicketText = Arc<str>;

/// A worker as it registers itself.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerRegistration {
    /// Its name, which it may keep when it starts again.
    pub id: WorkerId,
    /// Start of the life that registered, where it says so.
    pub instance_start: InstanceStart,
    /// Where it answers.
    pub address: SocketAddr,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Failure domain.
    pub domain: DomainId,
    /// Rack.
    pub rack: RackId,
    /// All labels, its kind and rack among them.
    pub labels: Vec<Arc<str>>,
    /// Machine that it runs on, where it says so.
    pub machine: Option<MachineId>,
    /// All that it has.
    pub capacity: ResourceVector,
    /// Whether it is leaving, and the shortest time that is left.
    pub leaving: Option<Duration>,
}

/// A worker that may run something, as the store keeps it for the next leader.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct UsedWorker {
    /// Its name.
    pub id: WorkerId,
    /// Where it answers.
    pub address: SocketAddr,
    /// Failure domain; empty where it is not known.
    #[serde(default = "unknown_domain")]
    pub domain: DomainId,
    /// Start of the life that was heard last.
    #[serde(rename = "born")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instance_start: InstanceStart,
}

fn unknown_domain() -> DomainId {
    DomainId::from("")
}

/// A run that a worker lists as running.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunReport {
    /// The task.
    pub task: TaskName,
    /// Number of the start.
    pub run: RunNumber,
    /// Last checkpoint; empty where there is none.
    pub checkpoint: String,
    /// Share of its work that is done; 100 for a lasting task that is at work.
    pub percent: u32,
    /// Tail latency in milliseconds of a task that serves, processors in use of any other.
    pub reported_load: u32,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndKind {
    /// It succeeded.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped by command.
    Stopped,
    /// The worker's lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited in vain for the other members of its gang.
    Alone,
}

/// A run that a worker lists as ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndReport {
    /// Number of the end in this life of the worker.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// Number of the start.
    pub run: RunNumber,
    /// How it ended.
    pub kind: EndKind,
    /// Last checkpoint; empty where there is none.
    pub checkpoint: String,
}

/// A worker's answer to a poll.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PollReply {
    /// Start of the life that answers.
    pub instance_start: InstanceStart,
    /// The worker's steady clock.
    pub clock: Duration,
    /// All that runs.
    pub running: Vec<RunReport>,
    /// Ends above the acknowledged one, oldest first; not necessarily all.
    pub ended: Vec<EndReport>,
}

impl PollReply {
    /// Whether a run of a task is on one of its lists.
    pub(crate) fn lists(&self, task: &TaskName, run: RunNumber) -> bool {
        let runs = |report: &RunReport| report.task == *task && report.run == run;
        let ended = |end: &EndReport| end.task == *task && end.run == run;
        self.running.iter().any(runs) || self.ended.iter().any(ended)
    }
}

/// Why a worker refused a call; it has done nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerRefusal {
    /// It has seen a higher epoch: another leads.
    Deposed,
    /// This run, or a later one, was stopped or ended there.
    OldRun,
    /// The time that the call was good for has passed.
    Late,
    /// It has no room.
    NoRoom,
    /// The ticket is missing, wrong or too old.
    Ticket,
    /// It is another life of the worker.
    OtherLife,
    /// It is not well.
    Unwell,
    /// It does not understand the call.
    Invalid,
}

/// How a call to a worker failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallFailure {
    /// It surely did not arrive.
    NotSent,
    /// Nothing listens at the worker's address any more.
    NothingThere,
    /// It may have arrived, and may still be carried out.
    NoAnswer,
    /// The worker refused it.
    Refused(WorkerRefusal),
}
