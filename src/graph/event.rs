//! What goes into the decisions of a leader and what comes out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::graph::advice::AdviceCall;
use crate::graph::commit::CommitGroup;
use crate::graph::exchange::{CallFailure, InstanceStart, PollReply, TicketText};
use crate::graph::name::{RunNumber, TaskName};
use crate::graph::shard::ShardId;
use crate::id::{CallId, WorkerId};

/// How a worker answered a start, stop or throttle: with its clock, or not at all.
pub type CommandResult = std::result::Result<Duration, CallFailure>;
/// How a worker answered a poll.
pub type PollResult = std::result::Result<PollReply, CallFailure>;

/// A call that the leader wants made, or an answer that it gives.
#[derive(Clone, Debug)]
pub enum GraphAction {
    /// Look at a worker, renew its lease and acknowledge ends.
    Poll {
        /// The worker.
        worker: WorkerId,
        /// Where it answers.
        address: SocketAddr,
        /// End of its lease on its clock; `None` to leave the lease as it is.
        until: Option<Duration>,
        /// Ends up to this number are stored.
        acked: u64,
        /// Longest time that the worker may wait for an end.
        wait: Duration,
    },
    /// Start a run.
    Start(StartCommand),
    /// Stop a run.
    Stop {
        /// The worker.
        worker: WorkerId,
        /// Start of its life that was heard last.
        instance_start: InstanceStart,
        /// Where it answers.
        address: SocketAddr,
        /// The task.
        task: TaskName,
        /// Number of the start.
        run: RunNumber,
    },
    /// Let a run work at a share of its speed.
    Throttle {
        /// The worker.
        worker: WorkerId,
        /// Where it answers.
        address: SocketAddr,
        /// The task.
        task: TaskName,
        /// Number of the start.
        run: RunNumber,
        /// The share.
        percent: u32,
    },
    /// Ask for placement advice through an entry.
    Advise(AdviceCall),
    /// Store a group of changes.
    Commit(CommitGroup),
    /// Answer a caller.
    Answer(CallId, GraphAnswer),
}

/// A start of a run.
#[derive(Clone, Debug)]
pub struct StartCommand {
    /// The worker.
    pub worker: WorkerId,
    /// Start of its life that was heard last.
    pub instance_start: InstanceStart,
    /// Where it answers.
    pub address: SocketAddr,
    /// The task.
    pub task: TaskName,
    /// Number of the start.
    pub run: RunNumber,
    /// What the caller wants run.
    pub payload: Arc<str>,
    /// End of the worker's lease on its clock.
    pub until: Duration,
    /// Checkpoint to go on from; empty where there is none.
    pub checkpoint: String,
    /// Ticket, where the queue needs advice.
    pub ticket: Option<TicketText>,
}

/// Answer to a caller that had to wait for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GraphAnswer {
    /// The job is stored.
    Accepted,
    /// The job was not taken and never runs; when to come back.
    Rejected(Duration),
    /// The job was not taken: the leader of this shard should have it.
    Elsewhere(ShardId),
    /// The job was not taken: this leader cannot tell yet where it should run.
    Unready,
    /// The job is cancelled, and that is stored.
    Cancelled,
    /// No such job, or it has ended.
    Gone,
}
