//! Messages between entries, most of them for the leader.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::graph::{
    AttemptId, GraphAnswer, GraphId, GraphRecord, GraphState, QueueId, ShardId, TicketText,
};
use crate::id::WorkerId;
use crate::node::records::LeaderRecord;

/// A call for the leader.
pub(crate) const ASK_METHOD: &str = "ask";
/// A question to the service that gives placement advice.
pub(crate) const ADVISE_METHOD: &str = "advise";
/// A question of a leader that leaves: whether an entry can lead after it.
pub(crate) const OFFER_METHOD: &str = "offer";
/// The word of a leader that has ended to the entry that the store names after it.
pub(crate) const GIVE_METHOD: &str = "give";
/// Largest call or answer, in bytes.
pub(crate) const CALL_BYTES: u32 = 4 << 20;

/// Workers that the service for placement advice allows, with its tickets.
pub(crate) type AllowedWorkers = Vec<(WorkerId, TicketText)>;

/// A call for the leader.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum LeaderCall {
    Submit(Box<JobSubmission>),
    Cancel(GraphId),
    State(GraphId),
    Pending(QueueId),
    /// Whether it leads; any entry answers.
    Reach,
}

/// A job that a caller hands in.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct JobSubmission {
    /// Which request of the caller this is.
    pub(crate) attempt: AttemptId,
    /// How long the caller waits.
    #[serde(rename = "patience")]
    pub(crate) caller_timeout: Duration,
    /// Whether this leader has to take it, though another might be better.
    pub(crate) forced: bool,
    pub(crate) record: GraphRecord,
}

/// The leader's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum LeaderAnswer {
    /// The job is stored.
    Accepted,
    /// The job never runs; when to come back.
    Rejected(Duration),
    /// The job was not taken: the leader of this shard should have it.
    Elsewhere(ShardId),
    /// The job is cancelled, and that is stored.
    Cancelled,
    /// No such job, or it has ended.
    Gone,
    State(GraphState),
    /// Number of jobs of a queue that wait.
    Pending(usize),
    /// This entry leads.
    Leading,
    /// This entry does not lead: nothing was done.
    NotLeading,
    /// The same from one that knows who does.
    LedBy(LeaderRecord),
}

impl From<GraphAnswer> for LeaderAnswer {
    fn from(answer: GraphAnswer) -> Self {
        match answer {
            GraphAnswer::Accepted => Self::Accepted,
            GraphAnswer::Rejected(retry) => Self::Rejected(retry),
            GraphAnswer::Elsewhere(shard) => Self::Elsewhere(shard),
            GraphAnswer::Unready => Self::NotLeading,
            GraphAnswer::Cancelled => Self::Cancelled,
            GraphAnswer::Gone => Self::Gone,
        }
    }
}
