//! Assigns an entry's shares of upstream slots to the requests of its callers.

mod grants;
mod waiting;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use log::debug;
use tokio::time::Instant;

use crate::id::{EntryId, ServiceId, UpstreamId, WorkspaceId};
use crate::invariant;
use crate::routing::budget::RetryBudget;
use crate::routing::report::{DemandReport, ShareGrant, ShareHolding, UpstreamSpec};
use crate::settings::TimingSettings;
use crate::token::FencingToken;

/// Service time assumed before one was measured.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(50);
/// Weight of a new service time in the running mean.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// Consecutive failures after which an upstream is ejected: it gets no requests for a while.
const EJECT_FAILURES: u32 = 3;
/// Length of the first ejection; it doubles with each one that follows.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(15);
/// Maximum number of reports whose sending time is kept.
const MAX_SENT_REPORTS: usize = 64;
/// Part of the time left to the deadline that the expected wait may take.
const WAIT_FRACTION: f64 = 0.8;
/// Shortest time after which a rejected caller is told to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time after which a rejected caller is told to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Number of a request, unique within its entry.
pub type RequestId = u64;

/// A request for a slot.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// Its number.
    pub id: RequestId,
    /// The service asked for.
    pub service: ServiceId,
    /// The workspace that the service belongs to.
    pub workspace: WorkspaceId,
    /// Rank of its urgency; lower is more urgent.
    pub rank: u8,
    /// When the caller gives up.
    pub deadline: Instant,
}

/// Why a request gets no slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RejectReason {
    /// The service has no upstream in this failure domain.
    NoUpstream,
    /// The expected wait is too long for the deadline.
    Overloaded,
    /// The queue was full, and the request was the least urgent of the workspace with the most
    /// waiting requests.
    Displaced,
    /// The deadline of the caller has passed.
    DeadlinePassed,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteAction {
    /// Send it to this upstream.
    Send(RequestId, UpstreamSpec),
    /// Answer that it was not run, and after which time to retry.
    Reject(RequestId, RejectReason, Duration),
}

/// How an attempt at an upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteOutcome {
    /// A complete answer arrived.
    Answered,
    /// The upstream failed, or no connection could be made.
    Failed,
    /// The caller left or its deadline passed; this is no evidence about the upstream.
    Abandoned,
}

type WaitingKey = (u8, Instant, RequestId);

#[derive(Debug)]
struct UpstreamState {
    spec: UpstreamSpec,
    share: u32,
    in_use: u32,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    /// Whether the leader lists it; an unlisted upstream is kept while requests are in flight.
    listed: bool,
}

impl UpstreamState {
    fn new(spec: UpstreamSpec) -> Self {
        Self {
            spec,
            share: 0,
            in_use: 0,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            listed: true,
        }
    }

    fn free(&self, now: Instant) -> u32 {
        match self.ejected_until {
            Some(until) if now < until => 0,
            Some(_) => u32::from(self.in_use == 0 && self.share > 0),
            None => self.share.saturating_sub(self.in_use),
        }
    }
}

#[derive(Debug)]
struct ServiceState {
    upstreams: BTreeMap<UpstreamId, UpstreamState>,
    waiting: BTreeMap<WaitingKey, SlotRequest>,
    /// Number of waiting requests by rank.
    ranks: BTreeMap<u8, usize>,
    service_time: Duration,
    in_use: u32,
}

impl ServiceState {
    /// Tells whether the service has a listed upstream.
    fn has_listed_upstream(&self) -> bool {
        self.upstreams.values().any(|upstream| upstream.listed)
    }
}

impl Default for ServiceState {
    fn default() -> Self {
        Self {
            upstreams: BTreeMap::new(),
            waiting: BTreeMap::new(),
            ranks: BTreeMap::new(),
            service_time: INITIAL_SERVICE_TIME,
            in_use: 0,
        }
    }
}

/// Routes the requests of one entry.
#[derive(Debug)]
pub struct RequestRouter {
    entry: EntryId,
    boot: u64,
    waiting_limit: usize,
    waiting: usize,
    services: BTreeMap<ServiceId, ServiceState>,
    /// The service that each upstream answers for.
    service_by_upstream: BTreeMap<UpstreamId, ServiceId>,
    waiting_by_workspace: BTreeMap<WorkspaceId, usize>,
    leaving: BTreeSet<UpstreamId>,
    token: Option<FencingToken>,
    applied_version: u64,
    shares_until: Option<Instant>,
    /// Sending times of recent reports by number.
    sent_reports: BTreeMap<u64, Instant>,
    seq: u64,
    budget: RetryBudget,
    timing: TimingSettings,
}

impl RequestRouter {
    /// Creates a router without shares. `boot` distinguishes this start of the process from earlier
    /// ones.
    pub fn new(entry: EntryId, boot: u64, waiting_limit: usize, timing: TimingSettings) -> Self {
        Self {
            entry,
            boot,
            waiting_limit,
            waiting: 0,
            services: BTreeMap::new(),
            service_by_upstream: BTreeMap::new(),
            waiting_by_workspace: BTreeMap::new(),
            leaving: BTreeSet::new(),
            token: None,
            applied_version: 0,
            shares_until: None,
            sent_reports: BTreeMap::new(),
            seq: 0,
            budget: RetryBudget::default(),
            timing,
        }
    }

    /// Tells whether any grant was ever applied.
    pub fn has_applied_grant(&self) -> bool {
        self.token.is_some()
    }

    /// Tells whether its shares are valid now.
    pub fn holds_shares(&self, now: Instant) -> bool {
        self.shares_until.is_some_and(|until| now < until)
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Number of requests that use a slot.
    pub fn in_use(&self) -> u32 {
        self.all_upstreams().map(|upstream| upstream.in_use).sum()
    }

    /// Time limit of one attempt.
    pub fn attempt_limit(&self) -> Duration {
        self.timing.attempt_limit
    }

    /// Slots that this entry may be using now, by upstream; for checks over several entries.
    pub fn usable_slots(&self, now: Instant) -> BTreeMap<UpstreamId, u32> {
        let holds = self.holds_shares(now);
        let usable = |state: &UpstreamState| match holds {
            true => state.share.max(state.in_use),
            false => state.in_use,
        };
        self.all_upstreams().map(|state| (state.spec.id.clone(), usable(state))).collect()
    }

    /// Takes one retry out of the budget and tells whether there was one.
    pub fn spend_retry(&mut self) -> bool {
        self.budget.spend()
    }

    /// Free slots by service, for other entries that look for free slots.
    pub fn free_slots(&self, now: Instant) -> BTreeMap<ServiceId, u32> {
        let mut free = BTreeMap::new();
        if self.shares_until.is_none_or(|until| now >= until) {
            return free;
        }
        for upstream in self.all_upstreams().filter(|upstream| upstream.listed) {
            let slots = upstream.free(now);
            if slots > 0 && !self.leaving.contains(&upstream.spec.id) {
                *free.entry(upstream.spec.service.clone()).or_default() += slots;
            }
        }
        free
    }

    /// Sets the upstreams that the platform lists as leaving: they get no new requests.
    pub fn set_leaving(&mut self, leaving: BTreeSet<UpstreamId>) {
        self.leaving = leaving;
    }

    /// Handles a new request: it is sent, rejected, or waits (no action).
    pub fn route_request(&mut self, now: Instant, request: SlotRequest) -> Vec<RouteAction> {
        let Some(service) = self.services.get(&request.service) else {
            return vec![RouteAction::Reject(
                request.id,
                RejectReason::NoUpstream,
                MIN_RETRY_AFTER,
            )];
        };
        if !service.has_listed_upstream() {
            return vec![RouteAction::Reject(
                request.id,
                RejectReason::NoUpstream,
                MIN_RETRY_AFTER,
            )];
        }
        let first = service.waiting.is_empty();
        if first && let Some(spec) = self.choose_upstream(now, &request.service) {
            return self.send(now, &request, spec).into_iter().collect();
        }
        let wait = self.expected_wait(service, &request);
        let time_left = request.deadline.saturating_duration_since(now);
        if wait > time_left.mul_f64(WAIT_FRACTION) {
            let after = retry_after(wait);
            return vec![RouteAction::Reject(request.id, RejectReason::Overloaded, after)];
        }
        self.enqueue(request);
        self.shed_excess()
    }

    /// The usable upstream with the smallest part of its share in use.
    fn choose_upstream(&self, now: Instant, service: &ServiceId) -> Option<UpstreamSpec> {
        if self.shares_until.is_none_or(|until| now >= until) {
            return None;
        }
        let service = self.services.get(service)?;
        let usable = service.upstreams.values().filter(|upstream| {
            let not_leaving = self.leaving.is_empty() || !self.leaving.contains(&upstream.spec.id);
            upstream.listed && not_leaving && upstream.free(now) > 0
        });
        let best = usable.min_by_key(|upstream| upstream.in_use * 1_024 / upstream.share.max(1));
        best.map(|upstream| upstream.spec.clone())
    }

    fn send(
        &mut self,
        now: Instant,
        request: &SlotRequest,
        spec: UpstreamSpec,
    ) -> Option<RouteAction> {
        let service = self.services.get_mut(&spec.service)?;
        let upstream = service.upstreams.get_mut(&spec.id)?;
        let has_free_slot =
            upstream.in_use < upstream.share && upstream.in_use < upstream.spec.slots;
        if !invariant::check(has_free_slot, "slots", || {
            format!("requests in flight to {} would exceed its share", spec.id)
        }) {
            return None;
        }
        upstream.in_use += 1;
        if let Some(until) = upstream.ejected_until
            && now >= until
        {
            debug!("{} gets requests again after its ejection", spec.id);
        }
        service.in_use += 1;
        Some(RouteAction::Send(request.id, spec))
    }

    /// Handles the end of an attempt; its slot goes to the next waiting request.
    pub fn finish(
        &mut self,
        now: Instant,
        upstream: &UpstreamId,
        outcome: RouteOutcome,
        time: Duration,
    ) -> Vec<RouteAction> {
        let Some(state) = self.upstream_mut(upstream) else {
            return Vec::new();
        };
        state.in_use = state.in_use.saturating_sub(1);
        let service = state.spec.service.clone();
        match outcome {
            RouteOutcome::Answered => {
                state.failures = 0;
                state.ejections = 0;
                state.ejected_until = None;
                self.budget.earn();
            }
            RouteOutcome::Failed => {
                state.failures += 1;
                if state.failures >= EJECT_FAILURES {
                    let pause = FIRST_EJECTION.saturating_mul(1 << state.ejections.min(8));
                    state.ejected_until = Some(now + pause.min(MAX_EJECTION));
                    state.ejections += 1;
                }
            }
            RouteOutcome::Abandoned => {}
        }
        if let Some(service_state) = self.services.get_mut(&service) {
            service_state.in_use = service_state.in_use.saturating_sub(1);
            if outcome == RouteOutcome::Answered {
                service_state.service_time =
                    service_state.service_time.mul_f64(1.0 - SERVICE_TIME_WEIGHT)
                        + time.mul_f64(SERVICE_TIME_WEIGHT);
            }
        }
        self.remove_unlisted(upstream);
        self.dispatch_waiting(now, &service)
    }

    /// Removes an upstream that is not listed any more and has no requests in flight.
    fn remove_unlisted(&mut self, id: &UpstreamId) {
        let removable =
            self.upstream_mut(id).is_some_and(|state| !state.listed && state.in_use == 0);
        let service_id = self.service_by_upstream.get(id).filter(|_| removable).cloned();
        if let Some(service) = service_id.and_then(|service_id| self.services.get_mut(&service_id))
        {
            service.upstreams.remove(id);
            self.service_by_upstream.remove(id);
        }
    }

    fn all_upstreams(&self) -> impl Iterator<Item = &UpstreamState> {
        self.services.values().flat_map(|service| service.upstreams.values())
    }

    fn upstream_mut(&mut self, id: &UpstreamId) -> Option<&mut UpstreamState> {
        let service_id = self.service_by_upstream.get(id)?;
        self.services.get_mut(service_id)?.upstreams.get_mut(id)
    }

    /// Rejects waiting requests whose deadline has passed, and sends others if slots are free.
    pub fn tick(&mut self, now: Instant) -> Vec<RouteAction> {
        let mut actions = Vec::new();
        let expired_keys: Vec<(ServiceId, WaitingKey)> = self
            .services
            .iter()
            .flat_map(|(id, service)| {
                let keys = service.waiting.keys().filter(|key| key.1 <= now);
                keys.map(|key| (id.clone(), *key)).collect::<Vec<_>>()
            })
            .collect();
        for (service, key) in expired_keys {
            if let Some(request) = self.dequeue(&service, &key) {
                actions.push(reject_overdue(request.id));
            }
        }
        let waiting: Vec<ServiceId> = self
            .services
            .iter()
            .filter(|(_, service)| !service.waiting.is_empty())
            .map(|(id, _)| id.clone())
            .collect();
        for service in waiting {
            actions.extend(self.dispatch_waiting(now, &service));
        }
        actions
    }

    /// Tells whether a service has a listed upstream.
    pub fn has_upstream(&self, service: &ServiceId) -> bool {
        self.services.get(service).is_some_and(ServiceState::has_listed_upstream)
    }
}

fn reject_overdue(id: RequestId) -> RouteAction {
    RouteAction::Reject(id, RejectReason::DeadlinePassed, MIN_RETRY_AFTER)
}

fn retry_after(wait: Duration) -> Duration {
    wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
