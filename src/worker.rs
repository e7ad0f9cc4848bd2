//! The exchange with a worker, as this project uses it.
//!
//! One exchange carries commands to the worker and brings the list of all its tasks back. The
//! contract that a worker has to keep is in `docs/INTERFACES.md`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{Attempt, TaskId};
use crate::intent::CutOffRule;
use crate::placement::StopReason;
use crate::resources::ResourceVector;
use crate::token::FencingToken;

/// What a task used, as the worker reports it with a lag.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TaskUsage {
    /// How long it has run.
    pub run_time: Duration,
    /// Largest use seen.
    pub peak: ResourceVector,
}

impl TaskUsage {
    /// Tells whether nothing is known.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// How a task ended on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskOutcome {
    /// It ran to its end.
    Succeeded,
    /// It ended with an error.
    Failed(String),
    /// It was stopped for using more than its reservation.
    OverLimit,
    /// It was stopped by command or because its lease lapsed; its state was checkpointed.
    Stopped,
    /// It was never started.
    Refused(String),
}

/// What a worker says of one task.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TaskReport {
    /// The task.
    pub task: TaskId,
    /// Number of the try.
    pub attempt: Attempt,
    /// Its reservation.
    pub need: ResourceVector,
    /// What it used; may be left out while it runs.
    #[serde(default, skip_serializing_if = "TaskUsage::is_empty")]
    pub usage: TaskUsage,
    /// How it ended; `None` while it runs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<TaskOutcome>,
    /// Where it answers requests, for tasks of services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<String>,
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerCommand {
    /// Start a task; a repeated start of the same try has no effect.
    Start {
        /// The task.
        task: TaskId,
        /// Number of the try.
        attempt: Attempt,
        /// Its reservation.
        need: ResourceVector,
        /// What to run.
        command: String,
        /// Which of the two leases it lives under.
        cut_off: CutOffRule,
        /// Whether it answers requests.
        service: bool,
    },
    /// Checkpoint and stop a task. Where it is not known, its start under this try or a lower one
    /// is refused from now on.
    Stop {
        /// The task.
        task: TaskId,
        /// Number of the try.
        attempt: Attempt,
        /// Why.
        reason: StopReason,
    },
    /// The end of this try is durable: do not list it any more.
    Forget {
        /// The task.
        task: TaskId,
        /// Number of the try.
        attempt: Attempt,
    },
}

/// One exchange, sent by a leader.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WorkerRequest {
    /// Orders leaders; the worker refuses a lower one than the highest it has seen.
    pub token: FencingToken,
    /// The worker's clock after which the request is refused; `None` for a claim, which changes
    /// nothing but the highest token.
    pub not_after: Option<Duration>,
    /// Start of the worker that the commands are meant for; another start refuses them.
    pub boot: Option<u64>,
    /// How long tasks may go on from now without another exchange.
    pub lease: Duration,
    /// Whether the lease of tasks that may move is renewed as well.
    pub renew_movable: bool,
    /// Commands, carried out in order.
    pub commands: Vec<WorkerCommand>,
}

/// The worker's answer.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WorkerReply {
    /// Whether the request was carried out.
    pub accepted: bool,
    /// Highest token seen.
    pub highest: FencingToken,
    /// The worker's monotonic clock.
    pub clock: Duration,
    /// Tells one start of the worker from another.
    pub boot: u64,
    /// All tasks: running ones, and ended ones until they are forgotten.
    pub tasks: Vec<TaskReport>,
}
