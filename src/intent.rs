//! What operators ask for.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{DomainId, ServiceId, UnixMillis, WorkspaceId};
use crate::resources::ResourceVector;

/// Kind of work.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobKind {
    /// Tasks that run until they are stopped and answer requests.
    Service,
    /// Independent tasks that each run once to their end.
    Batch,
    /// Tasks that start together or not at all.
    AllAtOnce,
}

/// How soon work has to start.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// A person waits.
    Now,
    /// Has to be finished at the given time, in milliseconds since the Unix epoch.
    By(UnixMillis),
    /// As capacity allows.
    #[default]
    Soon,
}

impl Urgency {
    /// Short name for logs and metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Now => "now",
            Self::By(_) => "by",
            Self::Soon => "soon",
        }
    }
}

/// Over what the tasks of a job are spread.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SpreadRule {
    /// Packed as tightly as possible.
    #[default]
    None,
    /// Over racks of one failure domain.
    Rack,
    /// Over failure domains, and over racks in each.
    FailureDomain,
}

/// What happens to tasks of a failure domain that is cut off.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CutOffRule {
    /// They go on where they are and are never started elsewhere.
    #[default]
    Stay,
    /// They stop when their lease lapses and start in another failure domain.
    Move,
}

/// One statement of an operator.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct IntentSpec {
    /// The workspace the work belongs to.
    pub workspace: WorkspaceId,
    /// Name of the intent in its workspace.
    pub name: ServiceId,
    /// Kind of work.
    pub kind: JobKind,
    /// Reservation of each task; a hard bound.
    pub need: ResourceVector,
    /// Number of tasks to run; 0 makes a template that callers submit jobs of.
    pub count: u32,
    /// How soon tasks have to start.
    pub urgency: Urgency,
    /// Whether a task or request may be run again after it may have run.
    pub idempotent: bool,
    /// Over what tasks are spread.
    pub spread: SpreadRule,
    /// What happens when the failure domain is cut off.
    pub cut_off: CutOffRule,
    /// Only this failure domain may run it.
    pub domain: Option<DomainId>,
    /// Declared run time of a task; a first guess that is corrected by what is seen.
    pub run_time: Option<Duration>,
    /// Upper bound on the resources that the whole workspace may hold.
    pub quota: Option<ResourceVector>,
    /// What the worker runs; opaque to the scheduler.
    pub command: String,
}

impl IntentSpec {
    /// The name under which callers reach it, `workspace/name`.
    pub fn service(&self) -> ServiceId {
        format!("{}/{}", self.workspace, self.name).into()
    }
}
