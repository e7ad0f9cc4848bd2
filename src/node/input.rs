//! Inputs of the leader's loop from the other loops of the process.

use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::graph::{
    AdviceId, CommandResult, GraphId, GraphRecord, GroupNumber, InstanceId, LeaderEpoch, MovedJob,
    PollResult, RunNumber, ShardId, TakenName, TaskName, WorkerRegistration,
};
use crate::id::{CallId, WorkerId};
use crate::node::message::{AllowedWorkers, LeaderAnswer, LeaderCall};
use crate::store::StoreOutcome;

/// An input of the leader's loop.
pub(crate) enum LeaderInput {
    /// A call from an entry, and the sender for its answer.
    Call(LeaderCall, oneshot::Sender<LeaderAnswer>),
    Registered(Box<WorkerRegistration>),
    /// A worker of another shard is registered.
    RegisteredElsewhere(ShardId, Box<WorkerRegistration>),
    Unregistered(WorkerId),
    /// All registrations have been read once.
    RegistrationsRead,
    /// All changes of registrations until this time have been passed on.
    RegistrationsConfirmed(Instant),
    /// A share of a job that another shard's leader has accepted.
    Share(Box<GraphRecord>),
    /// The leader that owns a shared job has ended it.
    /// The leader of another shard has given this one a job, by a notice of this revision.
    JobMoved(Box<MovedJob>, u64),
    ShareEnded(GraphId),
    /// A share of a job that this leader accepted has failed.
    ShareFailed(GraphId),
    Polled(WorkerId, PollResult),
    Started(InstanceId, TaskName, RunNumber, CommandResult),
    Stopped(InstanceId, TaskName, RunNumber, CommandResult),
    Advised(AdviceId, Option<AllowedWorkers>),
    Stored(GroupNumber, GroupOutcome),
    /// Outcome of a call about the parts of caps.
    QuotaAnswered(CallId, StoreOutcome),
    /// The lease in the store was renewed by a call sent at this time.
    Renewed(Instant),
    /// A change that ends this leader's term was not answered. `expected` is whether the next leader takes into account
    /// that this one may continue.
    InDoubt {
        expected: bool,
    },
    /// This leader continues under a later epoch, which the store has at this revision.
    Epoch(LeaderEpoch, u64),
    /// Requests the controller's state for diagnosis.
    Dump(oneshot::Sender<serde_json::Value>),
    /// Stop leading.
    Resign,
}

/// Result of storing a commit group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum GroupOutcome {
    /// The group is stored, except for jobs that another shard has.
    Stored { taken: Vec<TakenName> },
    /// The store refused every try: the group is certainly not stored.
    Refused,
    /// Another leader was elected: the group is not stored and never will be.
    Deposed,
}
