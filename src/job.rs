//! Jobs as the ledger keeps them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{DomainId, JobId, Revision, ServiceId, TaskIndex, UnixMillis, WorkspaceId};
use crate::intent::{CutOffRule, IntentSpec, JobKind, SpreadRule, Urgency};
use crate::resources::ResourceVector;

/// What a job needs, fixed when it is accepted.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct JobSpec {
    /// Name of the job.
    pub id: JobId,
    /// Workspace that is charged.
    pub workspace: WorkspaceId,
    /// Intent that it was made from.
    pub intent: ServiceId,
    /// Revision of that intent.
    pub revision: Revision,
    /// Kind of work.
    pub kind: JobKind,
    /// Reservation of each task.
    pub need: ResourceVector,
    /// Number of tasks.
    pub count: u32,
    /// How soon tasks have to start.
    pub urgency: Urgency,
    /// Whether a task may be run again after it may have run.
    pub idempotent: bool,
    /// Over what tasks are spread.
    pub spread: SpreadRule,
    /// What happens when the failure domain is cut off.
    pub cut_off: CutOffRule,
    /// Declared run time of a task.
    pub run_time: Option<Duration>,
    /// What the worker runs.
    pub command: String,
    /// When it was accepted.
    pub accepted: UnixMillis,
}

impl JobSpec {
    /// Makes the job `id` out of an intent.
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

/// How a task ended for good.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskEnd {
    /// It ran to its end.
    Succeeded,
    /// It failed and is not tried again.
    Failed(String),
    /// It was cancelled; `ran` tells whether it had been started.
    Cancelled {
        /// Whether a worker had been told to start it.
        ran: bool,
    },
    /// It may have run and must not be run again.
    Unknown,
}

/// A job with what has become of its tasks; the unit that the ledger keeps.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct JobRecord {
    /// What the job needs.
    pub spec: JobSpec,
    /// Tasks that ended for good.
    pub ended: BTreeMap<TaskIndex, TaskEnd>,
    /// Tasks that are not idempotent and that a worker may have been told to start.
    pub started: BTreeSet<TaskIndex>,
    /// When the last task ended for good.
    #[serde(default)]
    pub over_at: Option<UnixMillis>,
    /// Whether the job was cancelled.
    pub cancelled: bool,
    /// Why the job was stopped, where it was.
    pub stopped: Option<String>,
    /// Failure domain that took the job over.
    pub moved: Option<DomainId>,
    /// Failure domain that it is being taken over from; it must not start until that is done.
    #[serde(default)]
    pub moving_from: Option<DomainId>,
}

impl JobRecord {
    /// A job none of whose tasks has ended.
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

    /// Joins two views of one job: what ended or was started in either did so.
    pub(crate) fn merge(mut self, other: Self) -> Self {
        self.ended.extend(other.ended);
        self.started.extend(other.started);
        self.cancelled |= other.cancelled;
        self.stopped = self.stopped.or(other.stopped);
        self.moved = self.moved.or(other.moved);
        self
    }

    /// Tells whether no task of it will ever run again.
    pub fn is_over(&self) -> bool {
        self.moved.is_some() || self.ended.len() >= self.spec.count as usize
    }

    /// Tasks that have not ended.
    pub fn open_tasks(&self) -> impl Iterator<Item = TaskIndex> + '_ {
        (0..self.spec.count).filter(|index| !self.ended.contains_key(index))
    }
}
