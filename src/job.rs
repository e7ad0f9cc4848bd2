//! Jobs as the ledger stores them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{DomainId, JobId, Revision, ServiceId, TaskIndex, UnixMillis, WorkspaceId};
use crate::intent::{CutOffRule, IntentSpec, JobKind, SpreadRule, Urgency};
use crate::resources::ResourceVector;

/// Definition of a job, fixed when the job is accepted.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct JobSpec {
    /// Name of the job.
    pub id: JobId,
    /// Workspace whose quota the job counts against.
    pub workspace: WorkspaceId,
    /// Intent that the job was made from.
    pub intent: ServiceId,
    /// Revision of that intent.
    pub revision: Revision,
    /// Kind of work.
    pub kind: JobKind,
    /// Resources reserved for each task.
    pub need: ResourceVector,
    /// Number of tasks.
    pub count: u32,
    /// How soon tasks have to start.
    pub urgency: Urgency,
    /// Whether a task may be run again when it may have run already.
    pub idempotent: bool,
    /// How tasks are spread.
    pub spread: SpreadRule,
    /// What happens to tasks when their failure domain is cut off.
    pub cut_off: CutOffRule,
    /// Declared run time of a task.
    pub run_time: Option<Duration>,
    /// Command that the worker runs.
    pub command: String,
    /// Time at which the job was accepted.
    pub accepted: UnixMillis,
}

impl JobSpec {
    /// Creates the definition of job `id` from an intent.
    pub fn new(id: JobId, intent: &IntentSpec, revision: Revision, accepted: UnixMillis) -> Self {
        Self {
            id,
            workspace: intent.workspace.clone(),
            intent: intent.service(),
            revision,
            kind: intent.kind,
            need: intent.need,
            count: intent.count,
            urgency: intent.urgency,
            idempotent: intent.idempotent,
            spread: intent.spread,
            cut_off: intent.cut_off,
            run_time: intent.run_time,
            command: intent.command.clone(),
            accepted,
        }
    }
}

/// Final result of a task.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskEnd {
    /// The task ran to completion.
    Succeeded,
    /// The task failed and is not retried.
    Failed(String),
    /// The task was cancelled.
    Cancelled {
        /// Whether a start command had been sent to a worker.
        ran: bool,
    },
    /// The task may have run and must not be run again.
    Unknown,
}

/// A job with the results of its tasks; the unit that the ledger stores.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct JobRecord {
    /// Definition of the job.
    pub spec: JobSpec,
    /// Final results of the tasks that have ended.
    pub ended: BTreeMap<TaskIndex, TaskEnd>,
    /// Tasks that are not idempotent and for which a start command may have been sent.
    pub started: BTreeSet<TaskIndex>,
    /// Time at which the last task ended.
    #[serde(default)]
    pub over_at: Option<UnixMillis>,
    /// Whether the job was cancelled.
    pub cancelled: bool,
    /// Why the job was stopped, if it was.
    pub stopped: Option<String>,
    /// Failure domain that has taken over the job.
    pub moved: Option<DomainId>,
    /// Failure domain from which the job is being taken over; until that is done, no task may start.
    #[serde(default)]
    pub moving_from: Option<DomainId>,
}

impl JobRecord {
    /// Creates the record of a new job, of which no task has started or ended.
    pub fn new(spec: JobSpec) -> Self {
        Self {
            spec,
            ended: BTreeMap::new(),
            started: BTreeSet::new(),
            over_at: None,
            cancelled: false,
            stopped: None,
            moved: None,
            moving_from: None,
        }
    }

    /// Merges two records of the same job: a task has ended or started if it did so in either record.
    pub(crate) fn merge(mut self, other: Self) -> Self {
        self.ended.extend(other.ended);
        self.started.extend(other.started);
        self.cancelled |= other.cancelled;
        self.stopped = self.stopped.or(other.stopped);
        self.moved = self.moved.or(other.moved);
        self
    }

    /// Returns whether no task of the job will run again.
    pub fn is_over(&self) -> bool {
        self.moved.is_some() || self.ended.len() >= self.spec.count as usize
    }

    /// Tasks that have not ended.
    pub fn unfinished_tasks(&self) -> impl Iterator<Item = TaskIndex> + '_ {
        (0..self.spec.count).filter(|index| !self.ended.contains_key(index))
    }
}
