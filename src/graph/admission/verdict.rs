//! A leader's verdict on a class of work, by which entries reject the rest of an excess without a call.
//!
//! The load pattern behind it is an excess of one workspace that arrives at all entries at once: a call to the leader
//! for each rejected job costs the leader the time that it needs for the accepted ones.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::graph::workload::job::GraphRecord;
use crate::graph::workload::name::LeaderEpoch;
use crate::id::WorkspaceId;

/// Rejection of a job because of load.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoadRejection {
    /// When the caller may submit the job again.
    pub retry_delay: Duration,
    /// What else is rejected for the same reason.
    pub verdict: ClassVerdict,
}

/// Verdict on a class of work of one workspace.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ClassVerdict {
    /// Priority of the queue.
    pub priority: u32,
    /// The workspace; `None` where callers are not identified.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<WorkspaceId>,
    /// Whether the workspace had submitted more than its rate. The verdict ends before the rate allows another job.
    pub exceeds_rate: bool,
    /// Objective of the rejected job; jobs with a longer one may still be in time.
    pub objective: Duration,
    /// How long the verdict holds.
    pub valid_for: Duration,
    /// Epoch of the leader.
    pub epoch: LeaderEpoch,
}

impl ClassVerdict {
    /// Whether the verdict is on the class of a job.
    pub(crate) fn covers(&self, record: &GraphRecord) -> bool {
        let path = record.spec.remaining_critical_paths().into_iter().max().unwrap_or_default();
        let objective = path.mul_f64(record.rule.slack) + record.rule.target;
        record.rule.priority == self.priority
            && record.workspace == self.workspace
            && !record.spec.lasts()
            && record.spec.repeat.is_none()
            && objective <= self.objective
    }
}
