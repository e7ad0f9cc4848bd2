//! Classes of work: what is served together, and before what else.

use std::fmt::{self, Display};

use crate::graph::workload::job::GraphJob;

/// Priority of a job's queue, and whether the job lies beyond the rate of its workspace. Classes are ordered as they
/// are served.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WorkClass {
    /// Priority of the queue, 0 first.
    pub priority: u32,
    /// Whether the workspace had submitted more than its rate.
    pub exceeds_rate: bool,
}

impl WorkClass {
    /// Class of a job.
    pub(crate) fn of(job: &GraphJob) -> Self {
        Self { priority: job.rule.priority, exceeds_rate: job.exceeds_rate }
    }
}

impl Display for WorkClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let side = if self.exceeds_rate { "beyond" } else { "within" };
        write!(f, "{} {side}", self.priority)
    }
}
