//! Messages of the exchange with a worker.
//!
//! An exchange sends commands to the worker and returns the list of all its tasks. The contract that
//! a worker has to fulfil is in `docs/INTERFACES.md`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{Attempt, TaskId};
use crate::intent::CutOffRule;
use crate::placement::StopReason;
use crate::resources::ResourceVector;
use crate::token::FencingToken;

/// Resource usage of a task; the worker reports it with a delay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TaskUsage {
    /// How long the task has run.
    pub run_time: Duration,
    /// Largest observed use of each resource.
    pub peak: ResourceVector,
}

impl TaskUsage {
    /// Returns whether no usage is known.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// How a task ended on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskOutcome {
    /// The task ran to completion.
    Succeeded,
    /// The task ended with an error.
    Failed(String),
    /// The worker stopped the task because it used more than its reservation.
    OverLimit,
    /// The task was stopped by a command or because its lease expired; its state was checkpointed.
    Stopped,
    /// The worker refused to start the task.
    Refused(String),
}

/// State of a task as its worker reports it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TaskReport {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Resources reserved for the task.
    pub need: ResourceVector,
    /// Resource usage; may be absent while the task runs.
    #[serde(default, skip_serializing_if = "TaskUsage::is_empty")]
    pub usage: TaskUsage,
    /// How the task ended; `None` while it runs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<TaskOutcome>,
    /// Address where the task answers requests, for tasks of services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<String>,
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerCommand {
    /// Starts a task; repeating the start of the same attempt has no effect.
    Start {
        /// The task.
        task: TaskId,
        /// Number of the attempt.
        attempt: Attempt,
        /// Resources reserved for the task.
        need: ResourceVector,
        /// Command to run.
        command: String,
        /// Selects which of the two leases the task depends on.
        cut_off: CutOffRule,
        /// Whether the task answers requests.
        service: bool,
    },
    /// Checkpoints and stops a task. If the worker does not know the task, it refuses from then on to
    /// start it with this attempt number or a lower one.
    Stop {
        /// The task.
        task: TaskId,
        /// Number of the attempt.
        attempt: Attempt,
        /// Why the task is stopped.
        reason: StopReason,
    },
    /// Removes an attempt from the list of tasks, because its end is stored durably.
    Forget {
        /// The task.
        task: TaskId,
        /// Number of the attempt.
        attempt: Attempt,
    },
}

/// Request of an exchange, sent by a leader.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WorkerRequest {
    /// Token of the leader; the worker refuses a token lower than the highest it has received.
    pub token: FencingToken,
    /// Time on the worker's clock after which the request is refused; `None` for a claim, which only
    /// changes the highest token.
    pub not_after: Option<Duration>,
    /// Worker instance (boot number) that the commands are meant for; another instance refuses them.
    pub boot: Option<u64>,
    /// How long tasks may continue to run without another exchange.
    pub lease: Duration,
    /// Whether the lease of tasks that may move to another failure domain is renewed as well.
    pub renew_movable: bool,
    /// Commands, executed in order.
    pub commands: Vec<WorkerCommand>,
}

/// Answer of the worker to an exchange.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WorkerReply {
    /// Whether the request was executed.
    pub accepted: bool,
    /// Highest token that the worker has received.
    pub highest: FencingToken,
    /// The worker's monotonic clock.
    pub clock: Duration,
    /// Number that differs between instances of the worker.
    pub boot: u64,
    /// All tasks: running ones, and ended ones until a `Forget` command removes them.
    pub tasks: Vec<TaskReport>,
}
