//! Quotas of workspaces, enforced exactly across all failure domains without a lock.
//!
//! One record in the store divides each quota into parts, one for each failure domain. A domain uses
//! no more than its part. It takes unassigned amounts and returns unused ones by compare-and-swap.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::domain::controller::DomainController;
use crate::domain::event::{EntryIdentity, StoreOwner};
use crate::id::{CallId, DomainId, KeyVersion, UnixMillis, WorkspaceId};
use crate::resources::ResourceVector;
use crate::store::{StoreOutcome, StoreRequest};

/// Store key of the quota record.
const QUOTA_KEY: &str = "quota/parts";
/// Minimum interval between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between reads while the parts do not satisfy all demands or exceed the quota.
const RECHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which a request that is not renewed is void, in milliseconds.
const REQUEST_VALIDITY_MS: UnixMillis = 10_000;
/// Time for which an unused part is kept before it is returned.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// Unmet request of a failure domain for more of a quota than was available.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
struct QuotaRequest {
    /// Time of the first request.
    since: UnixMillis,
    /// Time of the last renewal; a request that is not renewed is void.
    renewed: UnixMillis,
}

/// Parts and unmet requests of all quotas.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
struct QuotaRecord {
    parts: BTreeMap<WorkspaceId, BTreeMap<DomainId, ResourceVector>>,
    #[serde(default)]
    wants: BTreeMap<WorkspaceId, BTreeMap<DomainId, QuotaRequest>>,
    write_id: String,
}

impl QuotaRecord {
    fn part(&self, workspace: &WorkspaceId, domain: &DomainId) -> ResourceVector {
        let parts = self.parts.get(workspace);
        parts.and_then(|parts| parts.get(domain)).copied().unwrap_or_default()
    }

    /// Tells whether the parts add up to more than the quota, because the quota was lowered.
    fn exceeded(&self, workspace: &WorkspaceId, quota: &ResourceVector) -> bool {
        let parts = self.parts.get(workspace).into_iter().flat_map(BTreeMap::values);
        let sum = parts.fold(ResourceVector::default(), |sum, part| sum.saturating_add(part));
        !sum.fits(quota)
    }

    /// Tells whether another failure domain has an older unmet request than `own`.
    fn has_older_request(&self, now: UnixMillis, workspace: &WorkspaceId, own: &DomainId) -> bool {
        let Some(wants) = self.wants.get(workspace) else {
            return false;
        };
        let key = |domain: &DomainId, request: &QuotaRequest| (request.since, domain.clone());
        let own_key = wants.get(own).map_or((now, own.clone()), |request| key(own, request));
        let is_valid =
            |request: &QuotaRequest| now < request.renewed.saturating_add(REQUEST_VALIDITY_MS);
        wants.iter().any(|(domain, request)| {
            domain != own && is_valid(request) && key(domain, request) < own_key
        })
    }

    /// Sets or clears the unmet request of `own`.
    fn set_request(
        &mut self,
        now: UnixMillis,
        workspace: &WorkspaceId,
        own: &DomainId,
        wants: bool,
    ) {
        let all = self.wants.entry(workspace.clone()).or_default();
        match wants {
            true => {
                let since = all.get(own).map_or(now, |request| request.since);
                all.insert(own.clone(), QuotaRequest { since, renewed: now });
            }
            false => {
                all.remove(own);
            }
        }
    }

    /// Amount of a quota that `own` can take: what is in no part, less the floors of the failure
    /// domains that have not written a part yet, as they may use their floor without a request.
    fn available(
        &self,
        workspace: &WorkspaceId,
        quota: &ResourceVector,
        own: &DomainId,
        domains: &[DomainId],
    ) -> ResourceVector {
        let parts = self.parts.get(workspace);
        let floor = floor(quota, domains.len());
        let others = domains.iter().filter(|domain| *domain != own);
        let unwritten = others.filter(|domain| !parts.is_some_and(|p| p.contains_key(*domain)));
        let reserved =
            unwritten.fold(ResourceVector::default(), |sum, _| sum.saturating_add(&floor));
        let held = parts.into_iter().flat_map(BTreeMap::values);
        let sum = held.fold(reserved, |sum, part| sum.saturating_add(part));
        quota.saturating_sub(&sum)
    }
}

/// The part of a quota that each failure domain may use without a request, even while it is cut off.
/// All floors together are half of the quota.
fn floor(quota: &ResourceVector, domains: usize) -> ResourceVector {
    let parts = u32::try_from(2 * domains.max(1)).unwrap_or(u32::MAX);
    ResourceVector::new(
        quota.millicores / parts,
        quota.memory_mib / parts,
        quota.accelerators / parts,
    )
}

#[derive(Debug)]
enum QuotaCall {
    Read,
    Write(QuotaRecord),
}

/// Manages this failure domain's parts of all quotas.
#[derive(Debug)]
pub(crate) struct QuotaController {
    domain: DomainId,
    domains: Vec<DomainId>,
    /// Parts that this failure domain may use, as last written by this leader.
    parts: BTreeMap<WorkspaceId, ResourceVector>,
    /// Whether this leader has written the record. Pending writes of earlier leaders then fail, as
    /// the version of the record has changed.
    fenced: bool,
    demand: BTreeMap<WorkspaceId, ResourceVector>,
    retry_delay: Duration,
    /// Last demand together with the usage at that time, and when it was seen.
    recent_demand: BTreeMap<WorkspaceId, (ResourceVector, Instant)>,
    /// Workspaces for which another failure domain has an older unmet request.
    yielding_workspaces: BTreeSet<WorkspaceId>,
    pending: Option<(CallId, QuotaCall)>,
    next_call: CallId,
    next_change: Instant,
    next_demand: Instant,
    /// Time of the next read of the record even if nothing changed here.
    next_recheck: Option<Instant>,
    write_count: u64,
    writer_name: String,
}

impl QuotaController {
    pub(crate) fn new(now: Instant, identity: &EntryIdentity) -> Self {
        Self {
            domain: identity.domain.clone(),
            domains: identity.domains(),
            parts: BTreeMap::new(),
            fenced: false,
            demand: BTreeMap::new(),
            retry_delay: CHANGE_INTERVAL,
            recent_demand: BTreeMap::new(),
            yielding_workspaces: BTreeSet::new(),
            pending: None,
            next_call: 0,
            next_change: now,
            next_demand: now,
            next_recheck: None,
            write_count: 0,
            writer_name: format!("{}-{}", identity.entry, identity.boot),
        }
    }

    /// Starts a term as leader. The parts are unknown until this leader has written the record.
    pub(crate) fn start_term(&mut self, now: Instant) {
        self.parts.clear();
        self.fenced = false;
        self.pending = None;
        self.next_change = now;
    }

    /// Schedules a read of the record after a change of the configuration.
    pub(crate) fn schedule_recheck(&mut self, now: Instant) {
        self.next_change = self.next_change.min(now + CHANGE_INTERVAL);
        self.next_recheck = Some(now);
    }

    /// Parts that this failure domain may use.
    pub(crate) fn parts(&self) -> &BTreeMap<WorkspaceId, ResourceVector> {
        &self.parts
    }

    /// Pause before the next attempt; doubles each time up to [`RECHECK_INTERVAL`].
    fn next_retry_delay(&mut self) -> Duration {
        let retry_delay = self.retry_delay;
        self.retry_delay = (retry_delay * 2).min(RECHECK_INTERVAL);
        retry_delay
    }

    fn call(&mut self, call: QuotaCall, version: KeyVersion) -> (CallId, StoreRequest) {
        self.next_call += 1;
        let key = QUOTA_KEY.to_owned();
        let request = match &call {
            QuotaCall::Read => StoreRequest::Read { key },
            QuotaCall::Write(record) => StoreRequest::Swap {
                key,
                expected: version,
                value: serde_json::to_string(record).unwrap_or_default(),
            },
        };
        self.pending = Some((self.next_call, call));
        (self.next_call, request)
    }

    /// The part that this domain should hold: its usage and demand, limited by what is available.
    /// A part taken for a recent demand is kept for [`IDLE_TIME`], unless another domain has an older
    /// unmet request: then only the usage and the floor are kept, so that two domains cannot wait for
    /// each other's parts.
    fn target_part(
        &self,
        now: Instant,
        workspace: &WorkspaceId,
        quota: &ResourceVector,
        used: ResourceVector,
        held: ResourceVector,
        available: ResourceVector,
    ) -> ResourceVector {
        let minimum = used.component_max(&floor(quota, self.domains.len()));
        let demand = self.demand.get(workspace).copied().unwrap_or_default();
        let requested = used.saturating_add(&demand).component_max(&minimum);
        let recent_demand =
            self.recent_demand.get(workspace).filter(|(_, at)| now < *at + IDLE_TIME);
        let retained = recent_demand
            .map_or(requested, |(recent_demand, _)| requested.component_max(recent_demand));
        let grown = held.saturating_add(&requested.saturating_sub(&held).component_min(&available));
        match self.yielding_workspaces.contains(workspace) {
            true => held.component_min(&minimum).component_max(&used),
            false => grown.component_min(&retained).component_max(&minimum.component_min(&grown)),
        }
    }

    /// The usage limit for the scheduler: the part, lowered by a quarter while another domain waits,
    /// so that tasks that end here are not replaced at once.
    fn usage_limit(
        &self,
        workspace: &WorkspaceId,
        quota: &ResourceVector,
        part: ResourceVector,
    ) -> ResourceVector {
        let minimum = floor(quota, self.domains.len());
        let lowered =
            part.saturating_sub(&part.quarter()).component_max(&minimum).component_min(&part);
        match self.yielding_workspaces.contains(workspace) {
            true => lowered,
            false => part,
        }
    }

    /// Tells whether the usage and demand of a workspace exceed its part.
    fn exceeds_part(
        &self,
        workspace: &WorkspaceId,
        used: &ResourceVector,
        part: &ResourceVector,
    ) -> bool {
        let demand = self.demand.get(workspace).copied().unwrap_or_default();
        demand != ResourceVector::default() && !used.saturating_add(&demand).fits(part)
    }

    /// Records the demand of the workspaces.
    fn note_demand(
        &mut self,
        now: Instant,
        demand: BTreeMap<WorkspaceId, ResourceVector>,
        used: &BTreeMap<WorkspaceId, ResourceVector>,
    ) {
        for (workspace, amount) in &demand {
            let used = used.get(workspace).copied().unwrap_or_default();
            self.recent_demand.insert(workspace.clone(), (used.saturating_add(amount), now));
        }
        self.demand = demand;
    }
}

impl DomainController {
    /// Sets the limits of the scheduler and starts a change of parts if one is due.
    pub(crate) fn tick_quota(&mut self, now: Instant) {
        let Some(leader) = self.leader.as_mut().filter(|leader| leader.active && leader.settled)
        else {
            return;
        };
        if now >= self.quota.next_demand {
            self.quota.next_demand = now + CHANGE_INTERVAL;
            let demand = leader.scheduler.quota_demand();
            self.quota.note_demand(now, demand, leader.scheduler.used());
        }
        self.apply_quota_parts();
        if self.quota.pending.is_none()
            && now >= self.quota.next_change
            && self.quota_change_due(now)
        {
            self.quota.next_change = now + self.quota.next_retry_delay();
            let (id, request) = self.quota.call(QuotaCall::Read, 0);
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
            let part = match (quotas.get(&workspace), self.quota.fenced) {
                (None, _) => None,
                (Some(quota), true) => {
                    let part = self.quota.parts.get(&workspace).copied().unwrap_or_default();
                    Some(self.quota.usage_limit(&workspace, quota, part))
                }
                (Some(_), false) => {
                    let used = leader.scheduler.used().get(&workspace).copied().unwrap_or_default();
                    let part = self.quota.parts.get(&workspace).copied().unwrap_or_default();
                    let part = part.component_max(&used);
                    self.quota.parts.insert(workspace.clone(), part);
                    Some(part)
                }
            };
            leader.scheduler.set_usage_limit(&workspace, part);
        }
    }

    fn usage_of(&self, workspace: &WorkspaceId) -> ResourceVector {
        let leader = self.leader.as_ref();
        leader.and_then(|l| l.scheduler.used().get(workspace)).copied().unwrap_or_default()
    }

    fn quota_change_due(&self, now: Instant) -> bool {
        let config = self.config.current();
        let stale = self.quota.parts.keys().any(|workspace| !config.quotas.contains_key(workspace));
        let differs = config.quotas.iter().any(|(workspace, quota)| {
            let held = self.quota.parts.get(workspace).copied().unwrap_or_default();
            let used = self.usage_of(workspace);
            let unlimited = ResourceVector::new(u32::MAX, u32::MAX, u32::MAX);
            self.quota.target_part(now, workspace, quota, used, held, unlimited) != held
        });
        let recheck_due = self.quota.next_recheck.is_some_and(|at| now >= at);
        (!self.quota.fenced && !config.quotas.is_empty()) || differs || stale || recheck_due
    }

    /// Handles the outcome of a call to the store.
    pub(crate) fn handle_quota_outcome(&mut self, now: Instant, id: CallId, outcome: StoreOutcome) {
        let call = match self.quota.pending.take() {
            Some((call, pending)) if call == id => pending,
            other => {
                self.quota.pending = other;
                return;
            }
        };
        if self.leader.is_none() {
            return;
        }
        match (call, outcome) {
            (QuotaCall::Read, StoreOutcome::Found(stored)) => {
                let record = serde_json::from_str(&stored.value).unwrap_or_default();
                self.write_parts(now, record, stored.version);
            }
            (QuotaCall::Read, StoreOutcome::Missing) => {
                self.write_parts(now, QuotaRecord::default(), 0);
            }
            (QuotaCall::Write(record), StoreOutcome::Written(_)) => {
                let parts = self.own_parts(&record);
                if parts != self.quota.parts {
                    self.quota.retry_delay = CHANGE_INTERVAL;
                }
                self.quota.parts = parts;
                self.quota.fenced = true;
                self.apply_quota_parts();
            }
            _ => self.quota.next_recheck = Some(now + RECHECK_INTERVAL),
        }
    }

    fn own_parts(&self, record: &QuotaRecord) -> BTreeMap<WorkspaceId, ResourceVector> {
        let domain = &self.identity.domain;
        let parts = record.parts.keys();
        parts.map(|workspace| (workspace.clone(), record.part(workspace, domain))).collect()
    }

    /// Computes the parts of this domain from the record as read, and writes the record.
    fn write_parts(&mut self, now: Instant, before: QuotaRecord, version: KeyVersion) {
        let quotas = self.config.current().quotas.clone();
        let unix = self.clock.unix(now);
        let domain = self.quota.domain.clone();
        let mut record = before.clone();
        self.quota.next_recheck = None;
        for (workspace, quota) in &quotas {
            self.update_own_part(now, unix, &mut record, workspace, quota);
        }
        for (workspace, parts) in &mut record.parts {
            if !quotas.contains_key(workspace) {
                parts.remove(&domain);
            }
        }
        record.parts.retain(|_, parts| !parts.is_empty());
        record.wants.retain(|workspace, wants| quotas.contains_key(workspace) && !wants.is_empty());
        let parts_unchanged = self.own_parts(&record) == self.quota.parts;
        if record == before && self.quota.fenced && parts_unchanged {
            return self.apply_quota_parts();
        }
        self.quota.write_count += 1;
        record.write_id = format!("{}-{}", self.quota.writer_name, self.quota.write_count);
        self.lower_parts(&record);
        let (id, request) = self.quota.call(QuotaCall::Write(record), version);
        self.call_store(StoreOwner::Quota, id, request);
    }

    /// Limits each part to the smaller of the old and the new one while the outcome of a write is
    /// unknown.
    fn lower_parts(&mut self, record: &QuotaRecord) {
        let written = self.own_parts(record);
        for (workspace, part) in &mut self.quota.parts {
            let new = written.get(workspace).copied().unwrap_or_default();
            *part = part.component_min(&new);
        }
        self.apply_quota_parts();
    }

    /// Computes the part of this domain in one quota and records its unmet request.
    fn update_own_part(
        &mut self,
        now: Instant,
        unix: UnixMillis,
        record: &mut QuotaRecord,
        workspace: &WorkspaceId,
        quota: &ResourceVector,
    ) {
        let domain = self.quota.domain.clone();
        let recorded = record.part(workspace, &domain);
        let used = self.usage_of(workspace);
        let available = record.available(workspace, quota, &domain, &self.domains);
        let available = available.saturating_sub(&used.saturating_sub(&recorded));
        let held = recorded.component_max(&used);
        let minimum = used.component_max(&floor(quota, self.domains.len()));
        match record.has_older_request(unix, workspace, &domain) {
            true => self.quota.yielding_workspaces.insert(workspace.clone()),
            false => self.quota.yielding_workspaces.remove(workspace),
        };
        let part = match record.exceeded(workspace, quota) {
            true => held.component_min(&minimum),
            false => self.quota.target_part(now, workspace, quota, used, held, available),
        };
        let wants = self.quota.exceeds_part(workspace, &used, &part);
        record.set_request(unix, workspace, &domain, wants);
        if wants || !part.fits(&minimum) || self.quota.yielding_workspaces.contains(workspace) {
            self.quota.next_recheck = Some(now + RECHECK_INTERVAL);
        }
        record.parts.entry(workspace.clone()).or_default().insert(domain, part);
    }
}
