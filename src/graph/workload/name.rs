//! Identifiers of jobs, steps and tasks of job graphs.

use std::fmt::{self, Display};
use std::str::FromStr;
use std::sync::Arc;

/// Name of a job, chosen by its caller.
pub type GraphId = Arc<str>;
/// Name of a queue of jobs.
pub type QueueId = Arc<str>;
/// Name of the image that a task runs.
pub type ImageId = Arc<str>;
/// Name of a machine; unchanged when the worker on it restarts.
pub type MachineId = Arc<str>;
/// Number of a step in its graph.
pub type StepIndex = u32;
/// Number of a run of a task; increases with each start.
pub type RunNumber = u64;
/// Identifies a request of a caller; retries by an entry keep the number.
pub type AttemptId = u64;
/// Order of leaders. It is the lowest fencing token of a leader's calls to workers, which refuse calls with a lower token
/// than the highest that they have seen.
pub type LeaderEpoch = u64;

/// A step in one occurrence of its graph.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StepKey {
    /// The occurrence.
    pub occurrence: u32,
    /// The step.
    pub step: StepIndex,
}

/// A task of a graph.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskKey {
    /// The step that it belongs to.
    pub step: StepKey,
    /// Its number in the step.
    pub index: u32,
}

impl TaskKey {
    /// Creates a key from the numbers of occurrence, step and task.
    pub const fn new(occurrence: u32, step: StepIndex, index: u32) -> Self {
        Self { step: StepKey { occurrence, step }, index }
    }
}

/// A task and its job; displayed as `job.occurrence.step.index`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskName {
    /// The job.
    pub job: GraphId,
    /// The task in it.
    pub key: TaskKey,
}

impl TaskName {
    /// Creates the name of a task of a job.
    pub fn new(job: GraphId, key: TaskKey) -> Self {
        Self { job, key }
    }
}

impl Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TaskKey { step, index } = self.key;
        write!(f, "{}.{}.{}.{index}", self.job, step.occurrence, step.step)
    }
}

/// Error for a text that is not a task name.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TaskNameError;

impl FromStr for TaskName {
    type Err = TaskNameError;

    fn from_str(text: &str) -> Result<Self, TaskNameError> {
        let mut parts = text.rsplitn(4, '.');
        let mut number = || parts.next().and_then(|part| part.parse().ok()).ok_or(TaskNameError);
        let (index, step, occurrence) = (number()?, number()?, number()?);
        let job = parts.next().filter(|job| !job.is_empty()).ok_or(TaskNameError)?;
        Ok(Self { job: job.into(), key: TaskKey::new(occurrence, step, index) })
    }
}
