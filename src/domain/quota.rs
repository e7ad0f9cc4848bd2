//! Quotas of workspaces: applies this failure domain's parts to its scheduler.

use std::time::Duration;

use tokio::time::Instant;

use crate::domain::controller::DomainController;
use crate::domain::event::StoreOwner;
use crate::id::{CallId, WorkspaceId};
use crate::quota::{QuotaPolicy, QuotaUsage};
use crate::store::StoreOutcome;

/// A failure domain that is cut off can use half of its even share of a quota, and parts stay where they were needed last.
pub(crate) const DOMAIN_POLICY: QuotaPolicy = QuotaPolicy {
    change_interval: Duration::from_millis(200),
    return_interval: Duration::ZERO,
    floor_divisor: 2,
    idle_time: Duration::from_secs(5),
    recheck_interval: Duration::from_secs(2),
    request_validity: Duration::from_secs(10),
};

impl DomainController {
    /// Sets the limits of the scheduler and starts a change of parts if one is due.
    pub(crate) fn tick_quota(&mut self, now: Instant) {
        let Some(leader) = self.leader.as_mut().filter(|leader| leader.active && leader.settled)
        else {
            return;
        };
        if self.quota.demand_due(now) {
            let demand = leader.scheduler.quota_demand();
            self.quota.note_demand(now, demand, leader.scheduler.used());
        }
        self.apply_quota_parts();
        let Some(leader) = &self.leader else {
            return;
        };
        let quotas = &self.config.current().quotas;
        let used = leader.scheduler.used();
        let usage = QuotaUsage { known: used, bound: used };
        if let Some((id, request)) = self.quota.next_call(now, quotas, usage) {
            self.call_store(StoreOwner::Quota, id, request);
        }
    }

    /// Sets the limits of the scheduler to the parts of this domain, or to the current usage while
    /// the parts are unknown. Must run before any placement under a new leader or configuration.
    pub(crate) fn apply_quota_parts(&mut self) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let quotas = &self.config.current().quotas;
        let known: Vec<WorkspaceId> =
            leader.scheduler.used().keys().chain(quotas.keys()).cloned().collect();
        for workspace in known {
            let used = leader.scheduler.used();
            let usage = QuotaUsage { known: used, bound: used };
            let limit = self.quota.limit(&workspace, quotas, usage);
            leader.scheduler.set_usage_limit(&workspace, limit);
        }
    }

    /// Handles the outcome of a call to the store.
    pub(crate) fn handle_quota_outcome(&mut self, now: Instant, id: CallId, outcome: StoreOutcome) {
        let Some(leader) = &self.leader else {
            return self.quota.drop_call(id);
        };
        let unix = self.clock.unix(now);
        let (quotas, used) = (&self.config.current().quotas, leader.scheduler.used());
        let usage = QuotaUsage { known: used, bound: used };
        let next = self.quota.handle_outcome(now, unix, quotas, usage, id, outcome);
        self.apply_quota_parts();
        if let Some((id, request)) = next {
            self.call_store(StoreOwner::Quota, id, request);
        }
    }
}
