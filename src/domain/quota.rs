//! Quotas of workspaces, held exactly over all failure domains without a lock.
//!
//! One record in the store splits each quota into parts, one for each failure domain. A domain uses
//! no more than its part. It takes from what is left over, and gives back, by compare-and-swap.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::domain::controller::DomainController;
use crate::domain::event::{EntryIdentity, StoreOwner};
use crate::id::{CallId, DomainId, KeyVersion, UnixMillis, WorkspaceId};
use crate::resources::ResourceVector;
use crate::store::{StoreOutcome, StoreRequest};

/// Key of the record.
const QUOTA_KEY: &str = "quota/parts";
/// Shortest interval between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between reads while more is held than there is.
const RECHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Life of a want that is not renewed, in milliseconds.
const WANT_LIFE_MS: UnixMillis = 10_000;
/// How long an unused part is kept before it is given back.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// A failure domain that wants more of a quota than there was left.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
struct QuotaWant {
    /// Since when.
    since: UnixMillis,
    /// When it last said so; a want that is not renewed is void.
    renewed: UnixMillis,
}

/// Parts of all quotas.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
struct QuotaRecord {
    parts: BTreeMap<WorkspaceId, BTreeMap<DomainId, ResourceVector>>,
    #[serde(default)]
    wants: BTreeMap<WorkspaceId, BTreeMap<DomainId, QuotaWant>>,
    write_id: String,
}

impl QuotaRecord {
    fn part(&self, workspace: &WorkspaceId, domain: &DomainId) -> ResourceVector {
        let parts = self.parts.get(workspace);
        parts.and_then(|parts| parts.get(domain)).copied().unwrap_or_default()
    }

    /// Tells whether more is held than there is, because the quota was lowered.
    fn exceeded(&self, workspace: &WorkspaceId, quota: &ResourceVector) -> bool {
        let parts = self.parts.get(workspace).into_iter().flat_map(BTreeMap::values);
        let sum = parts.fold(ResourceVector::default(), |sum, part| sum.saturating_add(part));
        !sum.fits(quota)
    }

    /// Tells whether another failure domain has wanted more for longer than `own`.
    fn behind(&self, now: UnixMillis, workspace: &WorkspaceId, own: &DomainId) -> bool {
        let Some(wants) = self.wants.get(workspace) else {
            return false;
        };
        let key = |domain: &DomainId, want: &QuotaWant| (want.since, domain.clone());
        let first = wants.get(own).map_or((now, own.clone()), |want| key(own, want));
        let fresh = |want: &QuotaWant| now < want.renewed.saturating_add(WANT_LIFE_MS);
        wants.iter().any(|(domain, want)| domain != own && fresh(want) && key(domain, want) < first)
    }

    /// Notes whether `own` wants more than it holds.
    fn set_want(&mut self, now: UnixMillis, workspace: &WorkspaceId, own: &DomainId, wants: bool) {
        let all = self.wants.entry(workspace.clone()).or_default();
        match wants {
            true => {
                let since = all.get(own).map_or(now, |want| want.since);
                all.insert(own.clone(), QuotaWant { since, renewed: now });
            }
            false => {
                all.remove(own);
            }
        }
    }

    /// What is left of a quota for `own`: what no failure domain holds, less the floors of those
    /// that have not written their part yet and may use that much without asking.
    fn left(
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

/// The part of a quota that each failure domain may use without asking, also while it is cut off:
/// all floors together are half of the quota.
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

/// This failure domain's parts of all quotas.
#[derive(Debug)]
pub(crate) struct QuotaController {
    domain: DomainId,
    domains: Vec<DomainId>,
    /// Parts that may be used: as last written by this leader.
    parts: BTreeMap<WorkspaceId, ResourceVector>,
    /// Whether this leader has written the record, so that no earlier one can.
    fenced: bool,
    wanted: BTreeMap<WorkspaceId, ResourceVector>,
    retry_pause: Duration,
    /// What was wanted last, and when.
    recent: BTreeMap<WorkspaceId, (ResourceVector, Instant)>,
    /// Workspaces of which another failure domain has wanted more for longer.
    yielding: BTreeSet<WorkspaceId>,
    pending: Option<(CallId, QuotaCall)>,
    next_call: CallId,
    next_change: Instant,
    next_demand: Instant,
    /// When the record is to be read again although nothing changed here.
    recheck: Option<Instant>,
    writes: u64,
    name: String,
}

impl QuotaController {
    pub(crate) fn new(now: Instant, identity: &EntryIdentity) -> Self {
        Self {
            domain: identity.domain.clone(),
            domains: identity.domains(),
            parts: BTreeMap::new(),
            fenced: false,
            wanted: BTreeMap::new(),
            retry_pause: CHANGE_INTERVAL,
            recent: BTreeMap::new(),
            yielding: BTreeSet::new(),
            pending: None,
            next_call: 0,
            next_change: now,
            next_demand: now,
            recheck: None,
            writes: 0,
            name: format!("{}-{}", identity.entry, identity.boot),
        }
    }

    /// A new leader knows nothing about the parts until it has written the record.
    pub(crate) fn lead(&mut self, now: Instant) {
        self.parts.clear();
        self.fenced = false;
        self.pending = None;
        self.next_change = now;
    }

    /// The configuration changed.
    pub(crate) fn hurry(&mut self, now: Instant) {
        self.next_change = self.next_change.min(now + CHANGE_INTERVAL);
        self.recheck = Some(now);
    }

    /// Parts that may be used.
    pub(crate) fn parts(&self) -> &BTreeMap<WorkspaceId, ResourceVector> {
        &self.parts
    }

    /// Asking again where nothing was left takes longer each time.
    fn pause(&mut self) -> Duration {
        let pause = self.retry_pause;
        self.retry_pause = (pause * 2).min(RECHECK_INTERVAL);
        pause
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

    /// The part that this domain should hold: what it uses and wants, as far as there is some left.
    /// What it lately wanted is kept for a while, unless another domain has waited for longer: then
    /// it holds what it uses, so that two domains cannot wait for each other's parts.
    fn target(
        &self,
        now: Instant,
        workspace: &WorkspaceId,
        quota: &ResourceVector,
        used: ResourceVector,
        held: ResourceVector,
        left: ResourceVector,
    ) -> ResourceVector {
        let least = used.component_max(&floor(quota, self.domains.len()));
        let wanted = self.wanted.get(workspace).copied().unwrap_or_default();
        let asked = used.saturating_add(&wanted).component_max(&least);
        let recent = self.recent.get(workspace).filter(|(_, at)| now < *at + IDLE_TIME);
        let kept = recent.map_or(asked, |(recent, _)| asked.component_max(recent));
        let grown = held.saturating_add(&asked.saturating_sub(&held).component_min(&left));
        match self.yielding.contains(workspace) {
            true => held.component_min(&least).component_max(&used),
            false => grown.component_min(&kept).component_max(&least.component_min(&grown)),
        }
    }

    /// The bound for the scheduler: the part, or less of it while another domain waits, so that what
    /// ends here does not start again at once.
    fn cap(
        &self,
        workspace: &WorkspaceId,
        quota: &ResourceVector,
        part: ResourceVector,
    ) -> ResourceVector {
        let least = floor(quota, self.domains.len());
        let lowered =
            part.saturating_sub(&part.quarter()).component_max(&least).component_min(&part);
        match self.yielding.contains(workspace) {
            true => lowered,
            false => part,
        }
    }

    /// Tells whether a workspace wants more than is held here.
    fn unsatisfied(
        &self,
        workspace: &WorkspaceId,
        used: &ResourceVector,
        part: &ResourceVector,
    ) -> bool {
        let wanted = self.wanted.get(workspace).copied().unwrap_or_default();
        wanted != ResourceVector::default() && !used.saturating_add(&wanted).fits(part)
    }

    /// Notes what workspaces want.
    fn note_demand(
        &mut self,
        now: Instant,
        wanted: BTreeMap<WorkspaceId, ResourceVector>,
        used: &BTreeMap<WorkspaceId, ResourceVector>,
    ) {
        for (workspace, want) in &wanted {
            let used = used.get(workspace).copied().unwrap_or_default();
            self.recent.insert(workspace.clone(), (used.saturating_add(want), now));
        }
        self.wanted = wanted;
    }
}

impl DomainController {
    /// Tells the scheduler its bounds and starts a change of parts where one is due.
    pub(crate) fn quota_tick(&mut self, now: Instant) {
        let Some(leader) = self.leader.as_mut().filter(|leader| leader.active && leader.settled)
        else {
            return;
        };
        if now >= self.quota.next_demand {
            self.quota.next_demand = now + CHANGE_INTERVAL;
            let wanted = leader.scheduler.quota_demand();
            self.quota.note_demand(now, wanted, leader.scheduler.used());
        }
        self.apply_parts();
        if self.quota.pending.is_none()
            && now >= self.quota.next_change
            && self.quota_change_due(now)
        {
            self.quota.next_change = now + self.quota.pause();
            let (id, request) = self.quota.call(QuotaCall::Read, 0);
            self.store(StoreOwner::Quota, id, request);
        }
    }

    /// Sets the scheduler's bounds: the own part, or what runs already where it is not known. Has to
    /// be done before anything is placed under a new leader or configuration.
    pub(crate) fn apply_parts(&mut self) {
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
                    Some(self.quota.cap(&workspace, quota, part))
                }
                (Some(_), false) => {
                    let used = leader.scheduler.used().get(&workspace).copied().unwrap_or_default();
                    let part = self.quota.parts.get(&workspace).copied().unwrap_or_default();
                    let part = part.component_max(&used);
                    self.quota.parts.insert(workspace.clone(), part);
                    Some(part)
                }
            };
            leader.scheduler.allow(&workspace, part);
        }
    }

    fn used_by(&self, workspace: &WorkspaceId) -> ResourceVector {
        let leader = self.leader.as_ref();
        leader.and_then(|l| l.scheduler.used().get(workspace)).copied().unwrap_or_default()
    }

    fn quota_change_due(&self, now: Instant) -> bool {
        let config = self.config.current();
        let stale = self.quota.parts.keys().any(|workspace| !config.quotas.contains_key(workspace));
        let differs = config.quotas.iter().any(|(workspace, quota)| {
            let held = self.quota.parts.get(workspace).copied().unwrap_or_default();
            let used = self.used_by(workspace);
            let most = ResourceVector::new(u32::MAX, u32::MAX, u32::MAX);
            self.quota.target(now, workspace, quota, used, held, most) != held
        });
        let recheck = self.quota.recheck.is_some_and(|at| now >= at);
        (!self.quota.fenced && !config.quotas.is_empty()) || differs || stale || recheck
    }

    /// Brings back the outcome of a call.
    pub(crate) fn quota_answer(&mut self, now: Instant, id: CallId, outcome: StoreOutcome) {
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
                    self.quota.retry_pause = CHANGE_INTERVAL;
                }
                self.quota.parts = parts;
                self.quota.fenced = true;
                self.apply_parts();
            }
            _ => self.quota.recheck = Some(now + RECHECK_INTERVAL),
        }
    }

    fn own_parts(&self, record: &QuotaRecord) -> BTreeMap<WorkspaceId, ResourceVector> {
        let domain = &self.identity.domain;
        let parts = record.parts.keys();
        parts.map(|workspace| (workspace.clone(), record.part(workspace, domain))).collect()
    }

    /// Works out the own parts against the record as read, and writes it.
    fn write_parts(&mut self, now: Instant, before: QuotaRecord, version: KeyVersion) {
        let quotas = self.config.current().quotas.clone();
        let unix = self.clock.unix(now);
        let domain = self.quota.domain.clone();
        let mut record = before.clone();
        self.quota.recheck = None;
        for (workspace, quota) in &quotas {
            self.split(now, unix, &mut record, workspace, quota);
        }
        for (workspace, parts) in &mut record.parts {
            if !quotas.contains_key(workspace) {
                parts.remove(&domain);
            }
        }
        record.parts.retain(|_, parts| !parts.is_empty());
        record.wants.retain(|workspace, wants| quotas.contains_key(workspace) && !wants.is_empty());
        let known = self.own_parts(&record) == self.quota.parts;
        if record == before && self.quota.fenced && known {
            return self.apply_parts();
        }
        self.quota.writes += 1;
        record.write_id = format!("{}-{}", self.quota.name, self.quota.writes);
        self.lower_parts(&record);
        let (id, request) = self.quota.call(QuotaCall::Write(record), version);
        self.store(StoreOwner::Quota, id, request);
    }

    /// From the moment that a write is sent, and until it is known to have taken effect, the smaller
    /// of the old part and the new one holds.
    fn lower_parts(&mut self, record: &QuotaRecord) {
        let written = self.own_parts(record);
        for (workspace, part) in &mut self.quota.parts {
            let new = written.get(workspace).copied().unwrap_or_default();
            *part = part.component_min(&new);
        }
        self.apply_parts();
    }

    /// Works out the own part of one quota.
    fn split(
        &mut self,
        now: Instant,
        unix: UnixMillis,
        record: &mut QuotaRecord,
        workspace: &WorkspaceId,
        quota: &ResourceVector,
    ) {
        let domain = self.quota.domain.clone();
        let recorded = record.part(workspace, &domain);
        let used = self.used_by(workspace);
        let left = record.left(workspace, quota, &domain, &self.domains);
        let left = left.saturating_sub(&used.saturating_sub(&recorded));
        let held = recorded.component_max(&used);
        let least = used.component_max(&floor(quota, self.domains.len()));
        match record.behind(unix, workspace, &domain) {
            true => self.quota.yielding.insert(workspace.clone()),
            false => self.quota.yielding.remove(workspace),
        };
        let part = match record.exceeded(workspace, quota) {
            true => held.component_min(&least),
            false => self.quota.target(now, workspace, quota, used, held, left),
        };
        let wants = self.quota.unsatisfied(workspace, &used, &part);
        record.set_want(unix, workspace, &domain, wants);
        if wants || !part.fits(&least) || self.quota.yielding.contains(workspace) {
            self.quota.recheck = Some(now + RECHECK_INTERVAL);
        }
        record.parts.entry(workspace.clone()).or_default().insert(domain, part);
    }
}
