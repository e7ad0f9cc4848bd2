//! Names of jobs, steps and tasks of job graphs.

use std::fmt::{self, Display};
use std::str::FromStr;
use std::sync::Arc;

/// Name of a job, chosen by its caller.
pub type GraphId = Arc<str>;
/// Name of a queue of jobs.
pub type QueueId = Arc<str>;
/// Name of what a task runs.
pub type ImageId = Arc<str>;
/// Name of a machine; it stays when the worker on it is restarted.
pub type MachineId = Arc<str>;
/// Number of a step in its graph.
pub type StepIndex = u32;
/// Number of a start of a task; it rises with each.
pub type RunNumber = u64;
/// One request of a caller; a repeated try of an entry to hand it on has the same.
pub type AttemptId = u64;
/// Orders leaders; workers refuse a lower one than the highest they have seen.
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
    /// Makes a key from the numbers of occurrence, step and task.
    pub const fn new(occurrence: u32, step: StepIndex, index: u32) -> Self {
        Self { step: StepKey { occurrence, step }, index }
    }
}

/// A task with the job it belongs to; written `job.occurrence.step.index`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskName {
    /// The job.
    pub job: GraphId,
    /// The task in it.
    pub key: TaskKey,
}

impl TaskName {
    /// Names a task of a job.
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

/// A text that does not name a task.
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
