//! Quotas of workspaces: applies this failure domain's parts to its scheduler.

use tokio::time::Instant;

use crate::domain::controller::DomainController;
use crate::domain::event::StoreOwner;
use crate::id::{CallId, WorkspaceId};
use crate::store::StoreOutcome;

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
        if let Some((id, request)) = self.quota.next_call(now, quotas, leader.scheduler.used()) {
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
            let limit = self.quota.limit(&workspace, quotas, leader.scheduler.used());
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
        let next = self.quota.handle_outcome(now, unix, quotas, used, id, outcome);
        self.apply_quota_parts();
        if let Some((id, request)) = next {
            self.call_store(StoreOwner::Quota, id, request);
        }
    }
}
