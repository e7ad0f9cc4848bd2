//! Quotas of workspaces, enforced exactly across several leaders without a lock.
//!
//! One record in the store divides each quota into parts, one for each holder: the leader of a failure domain,
//! or of a shard of workers. A holder uses no more than its part. It takes unassigned amounts and returns unused ones by
//! compare-and-swap.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::id::{CallId, KeyVersion, UnixMillis, WorkspaceId};
use crate::resources::ResourceVector;
use crate::store::{StoreOutcome, StoreRequest};
use crate::workspace::WorkspaceAmounts;

/// Name of a holder of parts: a failure domain or a shard.
pub(crate) type HolderId = Arc<str>;

/// Store key of the quota record.
const QUOTA_KEY: &str = "quota/parts";

/// How parts are held and asked for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuotaPolicy {
    /// Minimum interval between two changes.
    pub(crate) change_interval: Duration,
    /// Minimum interval between changes that only return unused parts.
    pub(crate) return_interval: Duration,
    /// The floors of all holders together are the quota divided by this.
    pub(crate) floor_divisor: u32,
    /// Time for which an unused part is kept before it is returned.
    pub(crate) idle_time: Duration,
    /// Interval between reads while the parts do not satisfy all demands or exceed the quota.
    pub(crate) recheck_interval: Duration,
    /// Time after which a request that is not renewed is void.
    pub(crate) request_validity: Duration,
}

/// Unmet request of a holder for more of a quota than was available.
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
    parts: BTreeMap<WorkspaceId, BTreeMap<HolderId, ResourceVector>>,
    #[serde(default)]
    wants: BTreeMap<WorkspaceId, BTreeMap<HolderId, QuotaRequest>>,
    write_id: String,
}

impl QuotaRecord {
    fn part(&self, workspace: &WorkspaceId, holder: &HolderId) -> ResourceVector {
        let parts = self.parts.get(workspace);
        parts.and_then(|parts| parts.get(holder)).copied().unwrap_or_default()
    }

    /// Tells whether the parts add up to more than the quota, because the quota was lowered.
    fn exceeded(&self, workspace: &WorkspaceId, quota: &ResourceVector) -> bool {
        let parts = self.parts.get(workspace).into_iter().flat_map(BTreeMap::values);
        let sum = parts.fold(ResourceVector::default(), |sum, part| sum.saturating_add(part));
        !sum.fits(quota)
    }

    /// Tells whether another holder has an older unmet request than `own`.
    fn has_older_request(
        &self,
        now: UnixMillis,
        validity: Duration,
        workspace: &WorkspaceId,
        own: &HolderId,
    ) -> bool {
        let Some(wants) = self.wants.get(workspace) else {
            return false;
        };
        let key = |holder: &HolderId, request: &QuotaRequest| (request.since, holder.clone());
        let own_key = wants.get(own).map_or((now, own.clone()), |request| key(own, request));
        let validity = u64::try_from(validity.as_millis()).unwrap_or(u64::MAX);
        let is_valid = |request: &QuotaRequest| now < request.renewed.saturating_add(validity);
        wants.iter().any(|(holder, request)| {
            holder != own && is_valid(request) && key(holder, request) < own_key
        })
    }

    /// Sets or clears the unmet request of `own`.
    fn set_request(
        &mut self,
        now: UnixMillis,
        workspace: &WorkspaceId,
        own: &HolderId,
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

    /// Amount of a quota that `own` can take: what is in no part, less the floors of the holders that have
    /// not written a part yet, as they may use their floor without a request.
    fn available(
        &self,
        workspace: &WorkspaceId,
        quota: &ResourceVector,
        own: &HolderId,
        division: &QuotaDivision,
    ) -> ResourceVector {
        quota.saturating_sub(&self.assigned(workspace, quota, own, division))
    }

    /// Amount by which all parts and the floors of the holders without a part exceed a quota.
    fn excess(
        &self,
        workspace: &WorkspaceId,
        quota: &ResourceVector,
        own: &HolderId,
        division: &QuotaDivision,
    ) -> ResourceVector {
        self.assigned(workspace, quota, own, division).saturating_sub(quota)
    }

    /// Sum of all parts and of the floors of the holders other than `own` without a part.
    fn assigned(
        &self,
        workspace: &WorkspaceId,
        quota: &ResourceVector,
        own: &HolderId,
        division: &QuotaDivision,
    ) -> ResourceVector {
        let parts = self.parts.get(workspace);
        let floor = division.floor(quota);
        let others = division.holders.iter().filter(|holder| *holder != own);
        let unwritten = others.filter(|holder| !parts.is_some_and(|p| p.contains_key(*holder)));
        let reserved =
            unwritten.fold(ResourceVector::default(), |sum, _| sum.saturating_add(&floor));
        let held = parts.into_iter().flat_map(BTreeMap::values);
        held.fold(reserved, |sum, part| sum.saturating_add(part))
    }
}

/// Division of quotas among holders.
#[derive(Clone, Debug)]
struct QuotaDivision {
    holders: Vec<HolderId>,
    /// The floors of all holders together are the quota divided by this.
    floor_divisor: u32,
}

impl QuotaDivision {
    /// The part of a quota that each holder may use without a request, even while it is cut off.
    fn floor(&self, quota: &ResourceVector) -> ResourceVector {
        let holders = u32::try_from(self.holders.len().max(1)).unwrap_or(u32::MAX);
        let divisor = self.floor_divisor.saturating_mul(holders);
        ResourceVector::new(
            quota.millicores / divisor,
            quota.memory_mib / divisor,
            quota.accelerators / divisor,
        )
    }
}

/// What workspaces use on one holder's workers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuotaUsage<'u> {
    /// Usage of known tasks.
    pub(crate) known: &'u WorkspaceAmounts,
    /// Upper bound that includes tasks of an earlier leader that may exist.
    pub(crate) bound: &'u WorkspaceAmounts,
}

impl QuotaUsage<'_> {
    fn known(&self, workspace: &WorkspaceId) -> ResourceVector {
        self.known.get(workspace).copied().unwrap_or_default()
    }

    /// Upper bound for a holder whose earlier leader was limited to `held`. Without that limit, a bound above the
    /// holder's part would enlarge the part beyond the quota.
    fn within(&self, workspace: &WorkspaceId, held: &ResourceVector) -> ResourceVector {
        let bound = self.bound.get(workspace).copied().unwrap_or_default();
        bound.component_min(&held.component_max(&self.known(workspace)))
    }
}

#[derive(Debug)]
enum QuotaCall {
    Read,
    Write(QuotaRecord),
}

/// Manages one holder's parts of all quotas.
#[derive(Debug)]
pub(crate) struct QuotaController {
    holder: HolderId,
    division: QuotaDivision,
    policy: QuotaPolicy,
    /// Parts that this holder may use, as last written by this leader.
    parts: WorkspaceAmounts,
    /// Parts that an earlier leader of this holder may have used; `None` until this leader has read the record.
    inherited_parts: Option<WorkspaceAmounts>,
    /// What the other holders' parts left of each quota when this holder wrote the record last.
    left_by_others: WorkspaceAmounts,
    /// The quotas at that time.
    written_quotas: WorkspaceAmounts,
    /// Whether this leader has written the record. Pending writes of earlier leaders then fail, as
    /// the version of the record has changed.
    fenced: bool,
    demand: WorkspaceAmounts,
    retry_delay: Duration,
    /// Last demand together with the usage at that time, and when it was seen.
    recent_demand: BTreeMap<WorkspaceId, (ResourceVector, Instant)>,
    /// Workspaces for which another holder has an older unmet request.
    yielding_workspaces: BTreeSet<WorkspaceId>,
    pending: Option<(CallId, QuotaCall)>,
    next_call: CallId,
    next_change: Instant,
    /// When unused parts may be returned.
    next_return: Instant,
    next_demand: Instant,
    /// Time of the next read of the record even if nothing changed here.
    next_recheck: Option<Instant>,
    write_count: u64,
    writer_name: String,
}

impl QuotaController {
    /// Creates a controller for one of all `holders`. `writer_name` is unique to this process.
    pub(crate) fn new(
        now: Instant,
        holder: HolderId,
        holders: Vec<HolderId>,
        policy: QuotaPolicy,
        writer_name: String,
    ) -> Self {
        let division = QuotaDivision { holders, floor_divisor: policy.floor_divisor };
        Self {
            holder,
            division,
            policy,
            parts: BTreeMap::new(),
            inherited_parts: None,
            left_by_others: BTreeMap::new(),
            written_quotas: BTreeMap::new(),
            fenced: false,
            demand: BTreeMap::new(),
            retry_delay: policy.change_interval,
            recent_demand: BTreeMap::new(),
            yielding_workspaces: BTreeSet::new(),
            pending: None,
            next_call: 0,
            next_change: now,
            next_return: now,
            next_demand: now,
            next_recheck: None,
            write_count: 0,
            writer_name,
        }
    }

    /// Starts a term as leader. The parts are unknown until this leader has written the record.
    pub(crate) fn start_term(&mut self, now: Instant) {
        self.parts.clear();
        self.inherited_parts = None;
        self.fenced = false;
        self.pending = None;
        self.next_change = now;
    }

    /// Schedules a read of the record after a change of the configuration.
    pub(crate) fn schedule_recheck(&mut self, now: Instant) {
        self.next_change = self.next_change.min(now + self.policy.change_interval);
        self.next_recheck = Some(now);
    }

    /// Parts that this holder may use.
    pub(crate) fn parts(&self) -> &WorkspaceAmounts {
        &self.parts
    }

    /// Part that an earlier leader of this holder may have used; `None` while it is unknown.
    pub(crate) fn inherited_part(&self, workspace: &WorkspaceId) -> Option<ResourceVector> {
        self.inherited_parts.as_ref()?.get(workspace).copied()
    }

    /// Pause before the next attempt; doubles each time up to the recheck interval.
    fn next_retry_delay(&mut self) -> Duration {
        let retry_delay = self.retry_delay;
        self.retry_delay = (retry_delay * 2).min(self.policy.recheck_interval);
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

    /// The part that this holder should hold: its usage and demand, limited by what is available.
    /// A part taken for a recent demand is kept for the idle time, unless another holder has an older
    /// unmet request: then only the usage and the floor are kept, so that two holders cannot wait for
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
        let minimum = used.component_max(&self.division.floor(quota));
        let demand = self.demand.get(workspace).copied().unwrap_or_default();
        let requested = used.saturating_add(&demand).component_max(&minimum);
        let recent_demand =
            self.recent_demand.get(workspace).filter(|(_, at)| now < *at + self.policy.idle_time);
        let retained = recent_demand
            .map_or(requested, |(recent_demand, _)| requested.component_max(recent_demand));
        let grown = held.saturating_add(&requested.saturating_sub(&held).component_min(&available));
        match self.yielding_workspaces.contains(workspace) {
            true => held.component_min(&minimum).component_max(&used),
            false => grown.component_min(&retained).component_max(&minimum.component_min(&grown)),
        }
    }

    /// The usage limit for the scheduler: the part, lowered by a quarter while another holder waits,
    /// so that tasks that end here are not replaced at once.
    fn usage_limit(
        &self,
        workspace: &WorkspaceId,
        quota: &ResourceVector,
        part: ResourceVector,
    ) -> ResourceVector {
        let minimum = self.division.floor(quota);
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

    /// Whether the demand is to be recorded again.
    pub(crate) fn demand_due(&self, now: Instant) -> bool {
        now >= self.next_demand
    }

    /// Records the demand of the workspaces.
    pub(crate) fn note_demand(
        &mut self,
        now: Instant,
        demand: WorkspaceAmounts,
        used: &WorkspaceAmounts,
    ) {
        self.next_demand = now + self.policy.change_interval;
        for (workspace, amount) in &demand {
            let used = used.get(workspace).copied().unwrap_or_default();
            self.recent_demand.insert(workspace.clone(), (used.saturating_add(amount), now));
        }
        self.demand = demand;
    }

    /// What a workspace may use here: the part of this holder, or the current usage while the parts are unknown. `None`
    /// without a quota.
    pub(crate) fn limit(
        &mut self,
        workspace: &WorkspaceId,
        quotas: &WorkspaceAmounts,
        usage: QuotaUsage<'_>,
    ) -> Option<ResourceVector> {
        let quota = quotas.get(workspace)?;
        let part = self.parts.get(workspace).copied().unwrap_or_default();
        if self.fenced {
            let limit = self.usage_limit(workspace, quota, part);
            return Some(limit.component_min(&self.left_of(workspace, quota)));
        }
        let part = part.component_max(&usage.known(workspace));
        self.parts.insert(workspace.clone(), part);
        Some(part)
    }

    /// What the parts of the other holders leave of a quota. Nothing after the quota was lowered, until the parts have
    /// been written again: together they may exceed it.
    fn left_of(&self, workspace: &WorkspaceId, quota: &ResourceVector) -> ResourceVector {
        let was_lowered =
            self.written_quotas.get(workspace).is_some_and(|written| !written.fits(quota));
        match self.left_by_others.get(workspace) {
            Some(left) if !was_lowered => *left,
            _ => ResourceVector::default(),
        }
    }

    /// Starts a change of the parts, if one is due.
    pub(crate) fn next_call(
        &mut self,
        now: Instant,
        quotas: &WorkspaceAmounts,
        usage: QuotaUsage<'_>,
    ) -> Option<(CallId, StoreRequest)> {
        let due = match self.needs_more(now, quotas, usage) {
            true => self.next_change,
            false => self.next_change.max(self.next_return),
        };
        let is_due = self.pending.is_none() && now >= due && self.change_due(now, quotas, usage);
        is_due.then(|| {
            self.next_change = now + self.next_retry_delay();
            self.next_return = now + self.policy.return_interval;
            self.call(QuotaCall::Read, 0)
        })
    }

    /// Whether a part is smaller than what its workspace uses and asks for.
    fn needs_more(&self, now: Instant, quotas: &WorkspaceAmounts, usage: QuotaUsage<'_>) -> bool {
        let mut targets = self.unlimited_targets(now, quotas, usage);
        targets.any(|(held, target)| !target.fits(&held))
    }

    fn change_due(&self, now: Instant, quotas: &WorkspaceAmounts, usage: QuotaUsage<'_>) -> bool {
        let stale = self.parts.keys().any(|workspace| !quotas.contains_key(workspace));
        let mut targets = self.unlimited_targets(now, quotas, usage);
        let differs = targets.any(|(held, target)| target != held);
        let recheck_due = self.next_recheck.is_some_and(|at| now >= at);
        (!self.fenced && !quotas.is_empty()) || differs || stale || recheck_due
    }

    /// The parts that this holder has, each with the one that it should have if enough were available.
    fn unlimited_targets<'q>(
        &'q self,
        now: Instant,
        quotas: &'q WorkspaceAmounts,
        usage: QuotaUsage<'q>,
    ) -> impl Iterator<Item = (ResourceVector, ResourceVector)> + 'q {
        let unlimited = ResourceVector::new(u32::MAX, u32::MAX, u32::MAX);
        quotas.iter().map(move |(workspace, quota)| {
            let held = self.parts.get(workspace).copied().unwrap_or_default();
            let used = usage.within(workspace, &held);
            (held, self.target_part(now, workspace, quota, used, held, unlimited))
        })
    }

    /// Handles the outcome of a call to the store, and returns the call that follows.
    pub(crate) fn handle_outcome(
        &mut self,
        now: Instant,
        unix: UnixMillis,
        quotas: &WorkspaceAmounts,
        usage: QuotaUsage<'_>,
        id: CallId,
        outcome: StoreOutcome,
    ) -> Option<(CallId, StoreRequest)> {
        let call = match self.pending.take() {
            Some((call, pending)) if call == id => pending,
            other => {
                self.pending = other;
                return None;
            }
        };
        match (call, outcome) {
            (QuotaCall::Read, StoreOutcome::Found(stored)) => {
                let record = serde_json::from_str(&stored.value).unwrap_or_default();
                self.write_parts(now, unix, quotas, usage, record, stored.version)
            }
            (QuotaCall::Read, StoreOutcome::Missing) => {
                self.write_parts(now, unix, quotas, usage, QuotaRecord::default(), 0)
            }
            (QuotaCall::Write(record), StoreOutcome::Written(_)) => {
                let parts = self.own_parts(&record);
                if parts != self.parts {
                    self.retry_delay = self.policy.change_interval;
                }
                self.parts = parts;
                self.left_by_others = self.left_by_others_in(&record, quotas);
                self.written_quotas = quotas.clone();
                self.fenced = true;
                None
            }
            _ => {
                self.next_recheck = Some(now + self.policy.recheck_interval);
                None
            }
        }
    }

    fn left_by_others_in(
        &self,
        record: &QuotaRecord,
        quotas: &WorkspaceAmounts,
    ) -> WorkspaceAmounts {
        let left = |(workspace, quota): (&WorkspaceId, &ResourceVector)| {
            let own = record.part(workspace, &self.holder);
            let available = record.available(workspace, quota, &self.holder, &self.division);
            let exceeding = record.excess(workspace, quota, &self.holder, &self.division);
            (workspace.clone(), own.saturating_add(&available).saturating_sub(&exceeding))
        };
        quotas.iter().map(left).collect()
    }

    /// Drops the pending call if it is this one, as its outcome concerns nobody.
    pub(crate) fn drop_call(&mut self, id: CallId) {
        self.pending.take_if(|(call, _)| *call == id);
    }

    fn own_parts(&self, record: &QuotaRecord) -> WorkspaceAmounts {
        let parts = record.parts.keys();
        parts.map(|workspace| (workspace.clone(), record.part(workspace, &self.holder))).collect()
    }

    /// Computes the parts of this holder from the record as read, and writes the record.
    fn write_parts(
        &mut self,
        now: Instant,
        unix: UnixMillis,
        quotas: &WorkspaceAmounts,
        usage: QuotaUsage<'_>,
        before: QuotaRecord,
        version: KeyVersion,
    ) -> Option<(CallId, StoreRequest)> {
        let mut record = before.clone();
        let inherited = |(workspace, quota): (&WorkspaceId, &ResourceVector)| {
            let recorded = record.part(workspace, &self.holder);
            (workspace.clone(), recorded.component_max(&self.division.floor(quota)))
        };
        if self.inherited_parts.is_none() {
            self.inherited_parts = Some(quotas.iter().map(inherited).collect());
        }
        self.next_recheck = None;
        for (workspace, quota) in quotas {
            self.update_own_part(now, unix, &mut record, workspace, quota, usage);
        }
        for (workspace, parts) in &mut record.parts {
            if !quotas.contains_key(workspace) {
                parts.remove(&self.holder);
            }
        }
        record.parts.retain(|_, parts| !parts.is_empty());
        record.wants.retain(|workspace, wants| quotas.contains_key(workspace) && !wants.is_empty());
        let parts_unchanged = self.own_parts(&record) == self.parts;
        if record == before && self.fenced && parts_unchanged {
            return None;
        }
        self.write_count += 1;
        record.write_id = format!("{}-{}", self.writer_name, self.write_count);
        self.lower_parts(&record);
        Some(self.call(QuotaCall::Write(record), version))
    }

    /// Limits each part to the smaller of the old and the new one while the outcome of a write is
    /// unknown.
    fn lower_parts(&mut self, record: &QuotaRecord) {
        let written = self.own_parts(record);
        for (workspace, part) in &mut self.parts {
            let new = written.get(workspace).copied().unwrap_or_default();
            *part = part.component_min(&new);
        }
    }

    /// Computes the part of this holder in one quota and records its unmet request.
    fn update_own_part(
        &mut self,
        now: Instant,
        unix: UnixMillis,
        record: &mut QuotaRecord,
        workspace: &WorkspaceId,
        quota: &ResourceVector,
        usage: QuotaUsage<'_>,
    ) {
        let holder = self.holder.clone();
        let recorded = record.part(workspace, &holder);
        let used = usage.within(workspace, &recorded);
        let available = record.available(workspace, quota, &holder, &self.division);
        let available = available.saturating_sub(&used.saturating_sub(&recorded));
        let held = recorded.component_max(&used);
        let minimum = used.component_max(&self.division.floor(quota));
        match record.has_older_request(unix, self.policy.request_validity, workspace, &holder) {
            true => self.yielding_workspaces.insert(workspace.clone()),
            false => self.yielding_workspaces.remove(workspace),
        };
        let part = match record.exceeded(workspace, quota) {
            true => held.component_min(&minimum),
            false => self.target_part(now, workspace, quota, used, held, available),
        };
        let wants = self.exceeds_part(workspace, &used, &part);
        record.set_request(unix, workspace, &holder, wants);
        if wants || !part.fits(&minimum) || self.yielding_workspaces.contains(workspace) {
            self.next_recheck = Some(now + self.policy.recheck_interval);
        }
        record.parts.entry(workspace.clone()).or_default().insert(holder, part);
    }
}
