//! Messages between entries, most of them calls to the leader.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::graph::{
    AttemptId, GraphAnswer, GraphId, GraphRecord, GraphState, LoadRejection, QueueConfig, QueueId,
    ShardId, TicketText,
};
use crate::id::{WorkerId, WorkspaceId};
use crate::node::records::LeaderRecord;

/// Method of a [`LeaderCall`].
pub(crate) const ASK_METHOD: &str = "ask";
/// Method that gets placement advice from the advisor of an entry.
pub(crate) const ADVISE_METHOD: &str = "advise";
/// Method by which a leaving leader asks an entry whether it can lead next.
pub(crate) const OFFER_METHOD: &str = "offer";
/// Method by which a leader that has ended informs the successor named in the store.
pub(crate) const GIVE_METHOD: &str = "give";
/// Method that asks an entry for a configuration newer than the caller's.
pub(crate) const CONFIG_METHOD: &str = "config";
/// Largest size of a call or an answer, in bytes.
pub(crate) const CALL_BYTES: u32 = 4 << 20;

/// Workers that the advisor allows, with its tickets.
pub(crate) type AllowedWorkers = Vec<(WorkerId, TicketText)>;

/// A call to the leader.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum LeaderCall {
    Submit(Box<JobSubmission>),
    Cancel(JobAccess),
    State(JobAccess),
    Pending(QueueId),
    /// Asks whether the entry leads; any entry answers.
    Reach,
}

impl LeaderCall {
    /// Whether the calling entry understands a verdict in the answer.
    pub(crate) fn accepts_verdicts(&self) -> bool {
        matches!(self, Self::Submit(submission) if submission.accepts_verdicts)
    }
}

/// A job that a caller asks about, and the workspace that the caller acts for.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(untagged)]
pub(crate) enum JobAccess {
    /// The caller is not identified.
    Anonymous(GraphId),
    Workspace {
        job: GraphId,
        workspace: WorkspaceId,
    },
}

impl JobAccess {
    pub(crate) fn new(job: GraphId, workspace: Option<WorkspaceId>) -> Self {
        match workspace {
            None => Self::Anonymous(job),
            Some(workspace) => Self::Workspace { job, workspace },
        }
    }

    pub(crate) fn job(&self) -> &GraphId {
        match self {
            Self::Anonymous(job) | Self::Workspace { job, .. } => job,
        }
    }

    pub(crate) fn workspace(&self) -> Option<&WorkspaceId> {
        match self {
            Self::Anonymous(_) => None,
            Self::Workspace { workspace, .. } => Some(workspace),
        }
    }
}

/// A job that a caller submits.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct JobSubmission {
    /// Identifies the caller's request.
    pub(crate) attempt: AttemptId,
    /// How long the caller waits.
    #[serde(rename = "patience")]
    pub(crate) caller_timeout: Duration,
    /// Whether this leader has to accept the job even if another shard suits it better.
    pub(crate) forced: bool,
    /// Whether the entry understands [`LeaderAnswer::Overloaded`]; entries of earlier builds do not.
    #[serde(default)]
    pub(crate) accepts_verdicts: bool,
    pub(crate) record: GraphRecord,
}

/// Answer about the configuration.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum ConfigAnswer {
    /// The entry knows no newer one.
    Current,
    Newer(Box<QueueConfig>),
}

/// The leader's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum LeaderAnswer {
    /// The job is stored.
    Accepted,
    /// The job will never run; the caller may retry after this time.
    Rejected(Duration),
    /// The job will never run, because of load. Sent only to entries that understand it.
    Overloaded(LoadRejection),
    /// The job was not accepted: the leader of this shard should take it.
    Elsewhere(ShardId),
    /// Another workspace has a job of this name; nothing was done.
    NameTaken,
    /// The job is cancelled, and the cancellation is stored.
    Cancelled,
    /// The job does not exist or has ended.
    Gone,
    State(GraphState),
    /// Number of waiting jobs of a queue.
    Pending(usize),
    /// This entry leads.
    Leading,
    /// This entry does not lead: nothing was done.
    NotLeading,
    /// Like [`LeaderAnswer::NotLeading`], from an entry that knows the leader.
    LedBy(LeaderRecord),
}

impl LeaderAnswer {
    /// The answer as entries of earlier builds understand it.
    pub(crate) fn without_verdict(self) -> Self {
        match self {
            Self::Overloaded(rejection) => Self::Rejected(rejection.retry_delay),
            answer => answer,
        }
    }
}

impl From<GraphAnswer> for LeaderAnswer {
    fn from(answer: GraphAnswer) -> Self {
        match answer {
            GraphAnswer::Accepted => Self::Accepted,
            GraphAnswer::Rejected(retry) => Self::Rejected(retry),
            GraphAnswer::Overloaded(rejection) => Self::Overloaded(rejection),
            GraphAnswer::Elsewhere(shard) => Self::Elsewhere(shard),
            GraphAnswer::Unready => Self::NotLeading,
            GraphAnswer::NameTaken => Self::NameTaken,
            GraphAnswer::Cancelled => Self::Cancelled,
            GraphAnswer::Gone => Self::Gone,
        }
    }
}
