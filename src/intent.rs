//! Intents: the work that operators declare.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{DomainId, ServiceId, UnixMillis, WorkspaceId};
use crate::resources::ResourceVector;

/// Kind of work.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobKind {
    /// Tasks that answer requests and run until they are stopped.
    Service,
    /// Independent tasks, each of which runs once to completion.
    Batch,
    /// Gang-scheduled tasks: all of them start together, or none does.
    AllAtOnce,
}

/// How soon work has to start.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// At once, since a person waits for the result.
    Now,
    /// In time to finish by the given time, in milliseconds since the Unix epoch.
    By(UnixMillis),
    /// As soon as capacity allows.
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

/// How the tasks of a job are spread.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SpreadRule {
    /// Packed as tightly as possible.
    #[default]
    None,
    /// Over the racks of one failure domain.
    Rack,
    /// Over failure domains, and over the racks of each.
    FailureDomain,
}

/// What happens to the tasks of a failure domain that is cut off from the others.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CutOffRule {
    /// They continue to run where they are and are never started elsewhere.
    #[default]
    Stay,
    /// They stop when their lease expires and are started in another failure domain.
    Move,
}

/// Work as an operator declares it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct IntentSpec {
    /// Workspace that the work belongs to.
    pub workspace: WorkspaceId,
    /// Name of the intent in its workspace.
    pub name: ServiceId,
    /// Kind of work.
    pub kind: JobKind,
    /// Resources reserved for each task; a task that exceeds them is stopped.
    pub need: ResourceVector,
    /// Number of tasks to run; 0 makes the intent a template for jobs that callers submit.
    pub count: u32,
    /// How soon tasks have to start.
    pub urgency: Urgency,
    /// Whether a task or request may be run again when it may have run already.
    pub idempotent: bool,
    /// How tasks are spread.
    pub spread: SpreadRule,
    /// What happens to tasks when their failure domain is cut off.
    pub cut_off: CutOffRule,
    /// The only failure domain that may run the work; any if absent.
    pub domain: Option<DomainId>,
    /// Declared run time of a task; a first estimate that is corrected by observed run times.
    pub run_time: Option<Duration>,
    /// Upper bound on the resources of all tasks of the workspace.
    pub quota: Option<ResourceVector>,
    /// Command that the worker runs; opaque to the scheduler.
    pub command: String,
}

impl IntentSpec {
    /// Name that callers use for the intent, `workspace/name`.
    pub fn service(&self) -> ServiceId {
        format!("{}/{}", self.workspace, self.name).into()
    }
}
