//! Messages between a leader and its workers, as the scheduling logic sees them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::graph::workers::fences::FenceOffset;
use crate::graph::workload::name::{MachineId, RunNumber, TaskName};
use crate::id::{DomainId, RackId, ServiceId, UnixMillis, WorkerId};
use crate::resources::ResourceVector;

/// When an instance of a worker started, by the worker's time of day. It only distinguishes the instances of
/// a worker; `None` where the worker does not send it.
pub type InstanceStart = Option<UnixMillis>;

/// One instance of a worker.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct InstanceId {
    /// The worker.
    pub worker: WorkerId,
    /// Start of the instance; `None` where it is not known.
    pub instance_start: InstanceStart,
}

impl InstanceId {
    /// Creates the id of an instance.
    pub fn new(worker: WorkerId, instance_start: InstanceStart) -> Self {
        Self { worker, instance_start }
    }

    /// Whether both are certainly different instances of the same worker.
    pub fn is_other_instance_of(&self, other: &Self) -> bool {
        let starts_differ = self.instance_start.is_some()
            && other.instance_start.is_some()
            && self.instance_start != other.instance_start;
        starts_differ && self.worker == other.worker
    }
}

/// Text of a ticket, which allows a worker to run a step.
pub type TicketText = Arc<str>;

/// Registration of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerRegistration {
    /// Id of the worker, which it may keep across restarts.
    pub id: WorkerId,
    /// Start of the instance that registered, where given.
    pub instance_start: InstanceStart,
    /// Address at which it answers.
    pub address: SocketAddr,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Failure domain.
    pub domain: DomainId,
    /// Rack.
    pub rack: RackId,
    /// All labels, including its kind and rack.
    pub labels: Vec<Arc<str>>,
    /// Machine that it runs on, where given.
    pub machine: Option<MachineId>,
    /// Its total capacity.
    pub capacity: ResourceVector,
    /// Shortest remaining time of a worker that is leaving; `None` for any other.
    pub leaving: Option<Duration>,
}

/// A worker that may run tasks, as stored for the next leader.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct UsedWorker {
    /// Id of the worker.
    pub id: WorkerId,
    /// Address at which it answers.
    pub address: SocketAddr,
    /// Failure domain; empty where it is not known.
    #[serde(default = "unknown_domain")]
    pub domain: DomainId,
    /// Start of the instance that answered last.
    #[serde(rename = "born")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instance_start: InstanceStart,
    /// Whether it has announced that it leaves.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// Whether its lease may be longer than those that leaders grant, up to the longest that it accepts.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub longest_lease: bool,
    /// Whether calls that were meant for an earlier instance may still be carried out by the next one.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub late_calls: bool,
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
    /// Progress in percent; 100 for a lasting task that is working.
    pub percent: u32,
    /// Tail latency in milliseconds for a task that serves requests, processors in use for any other.
    pub reported_load: u32,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndKind {
    /// It succeeded.
    Done,
    /// It failed, through the task or the worker.
    Failed,
    /// It was stopped by command.
    Stopped,
    /// The worker's lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not arrive in time.
    Alone,
}

/// A run that a worker lists as ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndReport {
    /// Number of the end, counted per instance of the worker.
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
    /// Start of the instance that answers.
    pub instance_start: InstanceStart,
    /// By how much the fencing token of the poll exceeds the epoch.
    pub fence: FenceOffset,
    /// The worker's monotonic clock.
    pub clock: Duration,
    /// All running tasks.
    pub running: Vec<RunReport>,
    /// Ends after the acknowledged one, oldest first.
    pub ended: Vec<EndReport>,
    /// Whether there may be further ends. A run on neither list may then have ended.
    pub has_more_ends: bool,
}

impl PollReply {
    /// Whether a run of a task is listed as running or ended.
    pub(crate) fn lists(&self, task: &TaskName, run: RunNumber) -> bool {
        let runs = |report: &RunReport| report.task == *task && report.run == run;
        let ended = |end: &EndReport| end.task == *task && end.run == run;
        self.running.iter().any(runs) || self.ended.iter().any(ended)
    }
}

/// Why a worker refused a call; a refused call has no effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerRefusal {
    /// It has seen a higher epoch: another leader was elected.
    Deposed,
    /// This run, or a later one, was stopped or ended there.
    OldRun,
    /// The call was no longer valid when it arrived.
    Late,
    /// It lacks the capacity.
    NoRoom,
    /// The ticket is missing, wrong or too old.
    Ticket,
    /// Another instance of the worker received the call.
    OtherLife,
    /// It is overloaded or unavailable for now.
    Unwell,
    /// It rejects the call as invalid.
    Invalid,
}

/// How a call to a worker failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallFailure {
    /// It certainly did not arrive.
    NotSent,
    /// Nothing listens at the worker's address any more.
    NothingThere,
    /// It may have arrived, and may still be carried out.
    NoAnswer,
    /// The worker refused it.
    Refused(WorkerRefusal),
}
