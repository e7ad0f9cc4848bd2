//! Parts of the workspaces' caps that this leader's shard may use, where there are several shards.

use std::time::Duration;

use tokio::time::Instant;

use crate::graph::admission::allowance::usage_by_workspace;
use crate::graph::controller::GraphController;
use crate::graph::event::GraphAction;
use crate::graph::sharding::shard::ShardScope;
use crate::id::{CallId, UnixMillis};
use crate::quota::{QuotaController, QuotaPolicy, QuotaUsage};
use crate::resources::ResourceVector;
use crate::store::StoreOutcome;
use crate::workspace::WorkspaceAmounts;

/// One step of a job may need most of a cap in one shard, so little of a cap is tied to shards, and what a shard does
/// not use goes to others within a second or two. Urgent tasks wait for a change, so growth is asked for at once.
const SHARD_POLICY: QuotaPolicy = QuotaPolicy {
    change_interval: Duration::from_millis(20),
    return_interval: Duration::from_millis(500),
    floor_divisor: 16,
    idle_time: Duration::from_millis(500),
    recheck_interval: Duration::from_millis(500),
    request_validity: Duration::from_secs(2),
};
/// A cap that limits nothing.
const UNLIMITED: ResourceVector = ResourceVector::new(u32::MAX, u32::MAX, u32::MAX);

impl GraphController {
    /// Shares caps with the other shards, if there are any.
    pub(super) fn share_caps(&mut self, now: Instant, scope: &ShardScope) {
        let writer_name = format!("{}-{}", scope.shard, self.epoch);
        let quota = || {
            QuotaController::new(
                now,
                scope.shard.clone(),
                scope.plan.shards(),
                SHARD_POLICY,
                writer_name,
            )
        };
        self.quota = scope.plan.is_divided().then(quota);
    }

    /// Caps over all shards.
    fn quotas(&self) -> WorkspaceAmounts {
        let limited = self.workspaces.values().filter(|rule| rule.cap != UNLIMITED);
        limited.map(|rule| (rule.id.clone(), rule.cap)).collect()
    }

    /// What each workspace with a cap may use on the workers of this leader.
    pub(super) fn workspace_limits(&mut self, used: &WorkspaceAmounts) -> WorkspaceAmounts {
        let quotas = self.quotas();
        let Some(quota) = &mut self.quota else {
            return quotas;
        };
        let known = usage_by_workspace(&self.instances);
        let usage = QuotaUsage { known: &known, bound: used };
        let limit = |id| Some((Clone::clone(id), quota.limit(id, &quotas, usage)?));
        quotas.keys().filter_map(limit).collect()
    }

    /// Changes this shard's parts by what the last pass used and could not start.
    pub(super) fn tick_quota(&mut self, now: Instant) {
        if self.quota.is_none() || self.workspaces.is_empty() {
            return;
        }
        let quotas = self.quotas();
        let Some(quota) = &mut self.quota else {
            return;
        };
        if !quota.demand_due(now) {
            return;
        }
        let known = usage_by_workspace(&self.instances);
        let usage = QuotaUsage { known: &known, bound: &self.last_usage };
        quota.note_demand(now, self.capped_demand.clone(), &known);
        if let Some((id, request)) = quota.next_call(now, &quotas, usage) {
            self.actions.push(GraphAction::Quota(id, request));
        }
    }

    /// Handles the outcome of a call about the parts.
    pub fn handle_quota_outcome(
        &mut self,
        now: Instant,
        unix: UnixMillis,
        id: CallId,
        outcome: StoreOutcome,
    ) {
        let (quotas, bound) = (self.quotas(), self.workspace_usage(now));
        let known = usage_by_workspace(&self.instances);
        let usage = QuotaUsage { known: &known, bound: &bound };
        let Some(quota) = &mut self.quota else {
            return;
        };
        if let Some((id, request)) = quota.handle_outcome(now, unix, &quotas, usage, id, outcome) {
            self.actions.push(GraphAction::Quota(id, request));
        }
        self.pass_wanted = true;
    }
}
