//! What the other duties of a process tell the leader's duty.

use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::graph::{
    AdviceId, CommandResult, GraphId, GraphRecord, GroupNumber, InstanceId, LeaderEpoch,
    PollResult, RunNumber, ShardId, TaskName, WorkerRegistration,
};
use crate::id::WorkerId;
use crate::node::message::{AllowedWorkers, LeaderAnswer, LeaderCall};

/// What comes to the leader's duty.
pub(crate) enum LeaderInput {
    /// A call of an entry, and where its answer goes.
    Call(LeaderCall, oneshot::Sender<LeaderAnswer>),
    Registered(Box<WorkerRegistration>),
    /// A worker of another shard.
    ListedElsewhere(ShardId, Box<WorkerRegistration>),
    Unregistered(WorkerId),
    /// All registrations have been read once.
    RegistrationsRead,
    /// A share of a job that another shard's leader has accepted.
    Share(Box<GraphRecord>),
    /// The owner of a job that is shared out has ended it.
    ShareEnded(GraphId),
    /// A share of a job that was accepted here has failed.
    ShareFailed(GraphId),
    Polled(WorkerId, PollResult),
    Started(InstanceId, TaskName, RunNumber, CommandResult),
    Stopped(InstanceId, TaskName, RunNumber, CommandResult),
    Advised(AdviceId, Option<AllowedWorkers>),
    Stored(GroupNumber, GroupOutcome),
    /// The lease in the store was renewed by a call sent then.
    Renewed(Instant),
    /// A change that ends this leader's term was not answered; `expected` tells whether the next leader reckons with this one
    /// going on.
    InDoubt {
        expected: bool,
    },
    /// This leader goes on under a later epoch.
    Epoch(LeaderEpoch, u64),
    /// State for people to read.
    Dump(oneshot::Sender<serde_json::Value>),
    /// Stop leading.
    Resign,
}

/// How storing a group ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum GroupOutcome {
    /// It is stored, but for jobs that another shard has.
    Stored { taken: Vec<GraphId> },
    /// The store has refused it each time: it is surely not stored.
    Refused,
    /// Another leads: the group is not stored and never will be.
    Deposed,
}
