//! A start that is sent once the store has it noted.

use crate::graph::name::{RunNumber, TaskName};
use crate::id::WorkerId;

/// A start of a task that may crash its worker, and that the store is to keep before it is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct NotedStart {
    /// The worker.
    pub(crate) worker: WorkerId,
    /// The task.
    pub(crate) task: TaskName,
    /// Number of the start.
    pub(crate) run: RunNumber,
}
