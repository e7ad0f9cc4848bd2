//! Caps of workspaces: what counts against them, and jobs that can never run under them.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::time::Instant;

use crate::graph::admission::allowance::{merge, unseen_usage_by_workspace, usage_by_workspace};
use crate::graph::admission::submission_rate::SubmissionRates;
use crate::graph::controller::GraphController;
use crate::graph::workers::run::WorkerRun;
use crate::graph::workload::job::{GraphJob, GraphRecord};
use crate::graph::workload::name::{GraphId, TaskName};
use crate::graph::workload::queue::QueueConfig;
use crate::graph::workload::spec::StepSpec;
use crate::id::WorkspaceId;
use crate::resources::ResourceVector;
use crate::workspace::WorkspaceAmounts;

/// Interval between reports of what the workspaces use.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of workspaces with metrics of their own, those that use most.
const MAX_REPORTED_WORKSPACES: usize = 100;

impl GraphController {
    /// Applies the workspaces of a configuration. One that it no longer has keeps its last rule while it has jobs.
    pub(super) fn set_workspaces(&mut self, config: &Arc<QueueConfig>) {
        let jobs = &self.jobs;
        self.workspaces.retain(|id, _| {
            jobs.iter().any(|job| !job.is_over() && job.workspace.as_ref() == Some(id))
        });
        self.workspaces.extend(config.workspaces.clone());
        if let Some(quota) = &mut self.quota {
            quota.schedule_recheck(self.last_pass);
        }
        self.mark_excess_jobs();
    }

    /// Marks the jobs that exceed the rates of their workspaces. Rates that change apply to the jobs of before as well,
    /// and a new leader comes to the same result as its predecessor.
    fn mark_excess_jobs(&mut self) {
        let shards = self.scope.plan.shards().len();
        let mut jobs: Vec<&mut GraphJob> = self.jobs.iter_mut().collect();
        jobs.sort_by(|a, b| (a.spec.accepted, &a.spec.id).cmp(&(b.spec.accepted, &b.spec.id)));
        let first = jobs.first().map_or(0, |job| job.spec.accepted);
        self.rates = SubmissionRates::default();
        self.rates.set_rules(&self.workspaces, shards, first);
        for job in jobs {
            job.exceeds_rate = self.rates.exceeds_rate(job.workspace.as_ref(), job.spec.accepted);
        }
    }

    /// What each workspace uses or may use on the workers of this leader; empty where there are no workspaces.
    pub(super) fn workspace_usage(&self, now: Instant) -> WorkspaceAmounts {
        if self.workspaces.is_empty() {
            return WorkspaceAmounts::new();
        }
        let mut usage = usage_by_workspace(&self.instances);
        if !self.unseen_invalidated && !self.uncontacted.is_empty() {
            let mut unseen = unseen_usage_by_workspace(
                &self.jobs,
                &self.uncontacted_domains(),
                self.uncontacted_capacity(),
                self.inherited_ends_since(now),
            );
            for (workspace, amount) in &mut unseen {
                *amount = amount.component_min(&self.inherited_limit(workspace));
            }
            merge(&mut usage, &unseen);
        }
        usage
    }

    /// Upper bound of what earlier leaders' runs that are not found yet may use: the earlier leaders were limited as well,
    /// and the runs that were found on contact counted against their limit. So as these end, others may start in their
    /// place; without this bound a workspace started nothing while one of many workers had not answered.
    fn inherited_limit(&self, workspace: &WorkspaceId) -> ResourceVector {
        let unlimited = ResourceVector::new(u32::MAX, u32::MAX, u32::MAX);
        let cap = self.workspaces.get(workspace).map_or(unlimited, |rule| rule.cap);
        let part = self.quota.as_ref().and_then(|quota| quota.inherited_part(workspace));
        let found = self.found_usage.get(workspace).copied().unwrap_or_default();
        part.unwrap_or(cap).saturating_sub(&found)
    }

    /// Notes a run of an earlier leader that was found on a worker.
    pub(super) fn note_found_usage(&mut self, task: &TaskName, run: &WorkerRun) {
        if let Some(workspace) = &run.workspace
            && run.run <= self.run_base()
            && self.found_runs.insert((task.clone(), run.run))
        {
            let usage = self.found_usage.entry(workspace.clone()).or_default();
            *usage = usage.saturating_add(&run.demand);
        }
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

    /// Logs the jobs that wait for the limit of their workspace, each once.
    pub(super) fn note_capped_jobs(
        &mut self,
        capped_jobs: BTreeSet<GraphId>,
        limits: &WorkspaceAmounts,
    ) {
        let jobs = &self.jobs;
        self.capped_jobs.retain(|id| jobs.get(id).is_some_and(|job| !job.is_over()));
        for id in capped_jobs {
            let workspace = jobs.get(&id).and_then(|job| job.workspace.as_ref());
            let limit = workspace.and_then(|workspace| limits.get(workspace));
            if let Some((workspace, limit)) = workspace.zip(limit)
                && self.capped_jobs.insert(id.clone())
            {
                let (workspace, limit_millicores) = (&**workspace, limit.millicores);
                info!(job = &*id, workspace, limit_millicores; "job waits for the limit of its workspace");
            }
        }
    }

    /// Sets the gauges of what the workspaces used at the last pass, and of the age of the registrations.
    pub(super) fn report_gauges(&mut self, now: Instant) {
        if now < self.next_report {
            return;
        }
        self.next_report = now + REPORT_INTERVAL;
        if let Some(age) = self.instances.registration_clock.age(now) {
            metrics::gauge!("kelplink_registrations_age_seconds").set(age.as_secs_f64());
        }
        self.report_absences(now);
        self.report_authority(now);
        let mut usage: Vec<_> = self.last_usage.iter().collect();
        usage.sort_by_key(|(_, used)| Reverse(used.millicores));
        for (workspace, used) in usage.into_iter().take(MAX_REPORTED_WORKSPACES) {
            let cores = f64::from(used.millicores) / 1_000.0;
            metrics::gauge!("kelplink_workspace_cores", "workspace" => workspace.to_string())
                .set(cores);
        }
    }
}
