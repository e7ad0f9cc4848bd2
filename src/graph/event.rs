//! Inputs and outputs of a leader's decisions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::graph::exchange::{CallFailure, InstanceStart, PollReply, TicketText};
use crate::graph::placement::advice::AdviceCall;
use crate::graph::sharding::shard::ShardId;
use crate::graph::storing::commit::CommitGroup;
use crate::graph::workers::fences::FenceOffset;
use crate::graph::workload::name::{RunNumber, TaskName};
use crate::id::{CallId, WorkerId};
use crate::store::StoreRequest;

/// Result of a start, stop or throttle: the clock of the worker, or why there is no answer.
pub type CommandResult = std::result::Result<Duration, CallFailure>;
/// Result of a poll.
pub type PollResult = std::result::Result<PollReply, CallFailure>;

/// A call for the process to make, or an answer to a caller.
#[derive(Clone, Debug)]
pub enum GraphAction {
    /// Poll a worker, renew its lease and acknowledge ends.
    Poll {
        /// The worker.
        worker: WorkerId,
        /// Address of the worker.
        address: SocketAddr,
        /// End of its lease on its clock; `None` to leave the lease as it is.
        until: Option<Duration>,
        /// Ends up to this number are stored and acknowledged.
        acked: u64,
        /// By how much its fencing token exceeds the epoch.
        fence: FenceOffset,
        /// Longest time that the worker may hold the poll until a run ends.
        wait: Duration,
    },
    /// Start a run.
    Start(StartCommand),
    /// Stop a run.
    Stop {
        /// The worker.
        worker: WorkerId,
        /// Start of the last known instance of the worker.
        instance_start: InstanceStart,
        /// By how much its fencing token exceeds the epoch.
        fence: FenceOffset,
        /// Address of the worker.
        address: SocketAddr,
        /// The task.
        task: TaskName,
        /// Number of the run.
        run: RunNumber,
    },
    /// Limit a run to a share of its speed.
    Throttle {
        /// The worker.
        worker: WorkerId,
        /// Address of the worker.
        address: SocketAddr,
        /// The task.
        task: TaskName,
        /// Number of the run.
        run: RunNumber,
        /// Share of its full speed, in percent.
        percent: u32,
        /// By how much its fencing token exceeds the epoch.
        fence: FenceOffset,
    },
    /// Request placement advice through an entry.
    Advise(AdviceCall),
    /// Store a group of changes.
    Commit(CommitGroup),
    /// Read or change the parts that the shards have of the caps.
    Quota(CallId, StoreRequest),
    /// Answer a caller.
    Answer(CallId, GraphAnswer),
}

/// Command to start a run.
#[derive(Clone, Debug)]
pub struct StartCommand {
    /// The worker.
    pub worker: WorkerId,
    /// Start of the last known instance of the worker.
    pub instance_start: InstanceStart,
    /// By how much its fencing token exceeds the epoch.
    pub fence: FenceOffset,
    /// Address of the worker.
    pub address: SocketAddr,
    /// The task.
    pub task: TaskName,
    /// Number of the run.
    pub run: RunNumber,
    /// Payload from the job.
    pub payload: Arc<str>,
    /// End of the worker's lease on its clock.
    pub until: Duration,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
    /// Ticket, if the queue needs advice.
    pub ticket: Option<TicketText>,
}

/// Answer to a waiting call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GraphAnswer {
    /// The job is stored.
    Accepted,
    /// The job is rejected and never runs; the caller may retry after the given time.
    Rejected(Duration),
    /// The job was not accepted; the leader of this shard should run it.
    Elsewhere(ShardId),
    /// The job was not accepted: it is still undetermined which shard should run it.
    Unready,
    /// Another workspace has a job of this name; nothing was done.
    NameTaken,
    /// The job is cancelled and the cancellation is stored.
    Cancelled,
    /// There is no such job, or it has ended.
    Gone,
}
