//! Caps of workspaces: what counts against them, and jobs that can never run under them.

use std::sync::Arc;

use crate::graph::allowance::{merge, unseen_usage_by_workspace, usage_by_workspace};
use crate::graph::controller::GraphController;
use crate::graph::job::GraphRecord;
use crate::graph::queue::QueueConfig;
use crate::graph::spec::StepSpec;
use crate::resources::ResourceVector;
use crate::workspace::WorkspaceAmounts;

impl GraphController {
    /// Applies the workspaces of a configuration. One that it no longer has keeps its last rule while it has jobs.
    pub(super) fn set_workspaces(&mut self, config: &Arc<QueueConfig>) {
        let jobs = &self.jobs;
        self.workspaces.retain(|id, _| {
            jobs.iter().any(|job| !job.is_over() && job.workspace.as_ref() == Some(id))
        });
        self.workspaces.extend(config.workspaces.clone());
    }

    /// What each workspace uses or may use on the workers of this leader; empty where there are no workspaces.
    pub(super) fn workspace_usage(&self) -> WorkspaceAmounts {
        if self.workspaces.is_empty() {
            return WorkspaceAmounts::new();
        }
        let mut usage = usage_by_workspace(&self.instances);
        if !self.unseen_invalidated && !self.uncontacted.is_empty() {
            let unseen = unseen_usage_by_workspace(
                &self.jobs,
                &self.uncontacted_domains(),
                self.uncontacted_capacity(),
            );
            merge(&mut usage, &unseen);
        }
        usage
    }

    /// Capacity of all workers that have not answered this leader and may have runs; `None` if one is unknown.
    fn uncontacted_capacity(&self) -> Option<ResourceVector> {
        self.uncontacted.iter().try_fold(ResourceVector::default(), |sum, id| {
            let instance = self.instances.get(id).filter(|instance| instance.registered)?;
            Some(sum.saturating_add(&instance.registration.capacity))
        })
    }

    /// Whether a job has a task, or a gang, that its workspace may never run.
    pub(super) fn exceeds_cap(&self, record: &GraphRecord) -> bool {
        let rule = record.workspace.as_ref().and_then(|id| self.workspaces.get(id));
        let is_too_large = |step: &StepSpec, cap: &ResourceVector| {
            let count = if step.gang { step.count } else { 1 };
            !step.need.times(count).fits(cap)
        };
        rule.is_some_and(|rule| record.spec.steps.iter().any(|step| is_too_large(step, &rule.cap)))
    }
}
