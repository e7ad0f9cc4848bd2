//! Messages between an entry and the leader.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::graph::{AttemptId, GraphAnswer, GraphId, GraphRecord, GraphState, QueueId};

/// A call for the leader.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum LeaderCall {
    /// A job, which request of its caller this is, and how long that one waits.
    Submit(AttemptId, Duration, Box<GraphRecord>),
    Cancel(GraphId),
    State(GraphId),
    Pending(QueueId),
    /// Whether it leads; any entry answers.
    Reach,
}

/// The leader's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum LeaderAnswer {
    /// The job is stored.
    Accepted,
    /// The job never runs; when to come back.
    Rejected(Duration),
    /// The job is cancelled, and that is stored.
    Cancelled,
    /// No such job, or it has ended.
    Gone,
    State(GraphState),
    /// Number of jobs that wait.
    Pending(usize),
    /// This entry leads.
    Leading,
    /// This entry does not lead: nothing was done.
    NotLeading,
}

impl From<GraphAnswer> for LeaderAnswer {
    fn from(answer: GraphAnswer) -> Self {
        match answer {
            GraphAnswer::Accepted => Self::Accepted,
            GraphAnswer::Rejected(retry) => Self::Rejected(retry),
            GraphAnswer::Cancelled => Self::Cancelled,
            GraphAnswer::Gone => Self::Gone,
        }
    }
}
