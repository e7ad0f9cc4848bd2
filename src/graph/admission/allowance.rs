//! What workspaces may still start: their limits less what their tasks use or may use.
//!
//! The load pattern behind it is a customer that submits several times its usual: without a limit its
//! backlog fills the workers and delays the jobs of all others.

use crate::graph::placement::home::UnsettledDomains;
use crate::graph::placement::step_capacity::tasks_that_fit;
use crate::graph::workers::instances::InstanceTable;
use crate::graph::workload::job::GraphJob;
use crate::graph::workload::jobs::JobTable;
use crate::graph::workload::progress::GraphVerdict;
use crate::id::{UnixMillis, WorkspaceId};
use crate::resources::ResourceVector;
use crate::workspace::WorkspaceAmounts;

/// What each limited workspace may still start. Workspaces without a limit are not listed.
#[derive(Debug, Default)]
pub(crate) struct WorkspaceAllowances {
    remaining: WorkspaceAmounts,
}

impl WorkspaceAllowances {
    /// Creates the allowances for limits of which `used` is in use.
    pub(crate) fn new(limits: &WorkspaceAmounts, used: &WorkspaceAmounts) -> Self {
        let remaining = |(workspace, limit): (&WorkspaceId, &ResourceVector)| {
            let used = used.get(workspace).copied().unwrap_or_default();
            (workspace.clone(), limit.saturating_sub(&used))
        };
        Self { remaining: limits.iter().map(remaining).collect() }
    }

    /// Number of tasks of a workspace's job that may still start.
    pub(crate) fn startable_tasks(
        &self,
        workspace: Option<&WorkspaceId>,
        need: &ResourceVector,
    ) -> u32 {
        let remaining = workspace.and_then(|workspace| self.remaining.get(workspace));
        remaining.map_or(u32::MAX, |remaining| tasks_that_fit(remaining, need))
    }

    /// Deducts the tasks that have been placed.
    pub(crate) fn deduct(&mut self, workspace: Option<&WorkspaceId>, need: &ResourceVector) {
        if let Some(remaining) = workspace.and_then(|workspace| self.remaining.get_mut(workspace)) {
            *remaining = remaining.saturating_sub(need);
        }
    }
}

/// What the tasks of each workspace use: all runs that have not certainly ended, in full, also those of best-effort
/// tasks.
pub(crate) fn usage_by_workspace(instances: &InstanceTable) -> WorkspaceAmounts {
    let mut usage = WorkspaceAmounts::new();
    for run in instances.iter().flat_map(|instance| instance.runs.values()) {
        if let Some(workspace) = &run.workspace {
            add(&mut usage, workspace, &run.demand);
        }
    }
    usage
}

/// Upper bound of what runs of an earlier leader use that this leader has not seen: tasks of inherited jobs in
/// domains with uncontacted workers, and no more than fits on these workers. Jobs that ended since `ended_since` count
/// as well, since the stop of their runs may not have arrived. `hidden_capacity` is `None` while that is unknown.
pub(crate) fn unseen_usage_by_workspace(
    jobs: &JobTable,
    unsettled_domains: &UnsettledDomains,
    hidden_capacity: Option<ResourceVector>,
    ended_since: UnixMillis,
) -> WorkspaceAmounts {
    let mut reserved = WorkspaceAmounts::new();
    let mut best_effort = WorkspaceAmounts::new();
    let may_run_unseen = |job: &&GraphJob| {
        let ended_before = job.progress.ended.is_some_and(|ended| ended < ended_since);
        // All tasks of a completed job have succeeded.
        let completed = job.progress.verdict == Some(GraphVerdict::Completed);
        !ended_before && !completed && unsettled_domains.affects(job)
    };
    for job in jobs.iter().filter(may_run_unseen) {
        let Some(workspace) = &job.workspace else {
            continue;
        };
        for task in job.tasks_without_run() {
            let Some(step) = job.step(task.step) else {
                continue;
            };
            let amounts = if step.best_effort { &mut best_effort } else { &mut reserved };
            add(amounts, workspace, &step.need);
        }
    }
    if let Some(capacity) = hidden_capacity {
        reserved.values_mut().for_each(|amount| *amount = amount.component_min(&capacity));
    }
    merge(&mut reserved, &best_effort);
    reserved
}

/// Adds amounts to others.
pub(crate) fn merge(amounts: &mut WorkspaceAmounts, others: &WorkspaceAmounts) {
    for (workspace, amount) in others {
        add(amounts, workspace, amount);
    }
}

fn add(amounts: &mut WorkspaceAmounts, workspace: &WorkspaceId, amount: &ResourceVector) {
    let sum = amounts.entry(workspace.clone()).or_default();
    *sum = sum.saturating_add(amount);
}
