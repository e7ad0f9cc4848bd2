//! Gives an entry's shares of slots to the requests of its callers.

mod supply;
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

/// Service time assumed before one was seen.
const FIRST_SERVICE_TIME: Duration = Duration::from_millis(50);
/// Weight of a new service time in the running mean.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// Failures in a row after which an upstream gets no requests for a while.
const EJECT_FAILURES: u32 = 3;
/// First time without requests; it doubles.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Longest time without requests.
const LONGEST_EJECTION: Duration = Duration::from_secs(15);
/// Reports whose time of sending is remembered.
const REMEMBERED_REPORTS: usize = 64;
/// Part of the time left that the expected wait may take.
const WAIT_FRACTION: f64 = 0.8;
/// Shortest advice on when to come back.
const LEAST_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest advice on when to come back.
const MOST_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Number of a request in its entry.
pub type RequestId = u64;

/// A request that wants a slot.
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
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// Why a request gets no slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RejectReason {
    /// Nothing answers for this service in this failure domain.
    NoUpstream,
    /// It would wait longer than its caller does.
    Overloaded,
    /// It gave way to a more urgent request.
    Displaced,
    /// Its caller's time is over.
    DeadlinePassed,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteAction {
    /// Send it to this upstream.
    Send(RequestId, UpstreamSpec),
    /// Answer that it was not run and when to come back.
    Reject(RequestId, RejectReason, Duration),
}

/// How an attempt at an upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteOutcome {
    /// A whole answer came.
    Answered,
    /// The upstream failed, or no connection could be made.
    Failed,
    /// The caller left or its time was over; says nothing about the upstream.
    Abandoned,
}

type WaitKey = (u8, Instant, RequestId);

#[derive(Debug)]
struct UpstreamState {
    spec: UpstreamSpec,
    share: u32,
    in_use: u32,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    /// Whether the leader lists it; one that it does not list is kept while requests are in flight.
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
    waiting: BTreeMap<WaitKey, SlotRequest>,
    /// Number of those that wait, by rank.
    ranks: BTreeMap<u8, usize>,
    service_time: Duration,
    in_use: u32,
}

impl ServiceState {
    /// Tells whether some listed upstream answers for it.
    fn answers(&self) -> bool {
        self.upstreams.values().any(|upstream| upstream.listed)
    }
}

impl Default for ServiceState {
    fn default() -> Self {
        Self {
            upstreams: BTreeMap::new(),
            waiting: BTreeMap::new(),
            ranks: BTreeMap::new(),
            service_time: FIRST_SERVICE_TIME,
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
    homes: BTreeMap<UpstreamId, ServiceId>,
    waiting_by_workspace: BTreeMap<WorkspaceId, usize>,
    leaving: BTreeSet<UpstreamId>,
    token: Option<FencingToken>,
    applied: u64,
    shares_until: Option<Instant>,
    sent: BTreeMap<u64, Instant>,
    seq: u64,
    budget: RetryBudget,
    timing: TimingSettings,
}

impl RequestRouter {
    /// A router without shares. `boot` tells this start of the process from earlier ones.
    pub fn new(entry: EntryId, boot: u64, waiting_limit: usize, timing: TimingSettings) -> Self {
        Self {
            entry,
            boot,
            waiting_limit,
            waiting: 0,
            services: BTreeMap::new(),
            homes: BTreeMap::new(),
            waiting_by_workspace: BTreeMap::new(),
            leaving: BTreeSet::new(),
            token: None,
            applied: 0,
            shares_until: None,
            sent: BTreeMap::new(),
            seq: 0,
            budget: RetryBudget::default(),
            timing,
        }
    }

    /// Tells whether it was ever given slots.
    pub fn supplied(&self) -> bool {
        self.token.is_some()
    }

    /// Tells whether its shares hold now.
    pub fn holds_shares(&self, now: Instant) -> bool {
        self.shares_until.is_some_and(|until| now < until)
    }

    /// Number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Number of requests that use a slot.
    pub fn in_use(&self) -> u32 {
        self.all().map(|upstream| upstream.in_use).sum()
    }

    /// Longest life of one attempt.
    pub fn attempt_limit(&self) -> Duration {
        self.timing.attempt_limit
    }

    /// Slots that it may be using now, by upstream; for checks over several entries.
    pub fn slots_in_reach(&self, now: Instant) -> BTreeMap<UpstreamId, u32> {
        let holds = self.holds_shares(now);
        let reach = |state: &UpstreamState| match holds {
            true => state.share.max(state.in_use),
            false => state.in_use,
        };
        self.all().map(|state| (state.spec.id.clone(), reach(state))).collect()
    }

    /// Takes one retry out of the budget and tells whether there was one.
    pub fn spend_retry(&mut self) -> bool {
        self.budget.spend()
    }

    /// Free slots by service, for entries that look for room.
    pub fn free_slots(&self, now: Instant) -> BTreeMap<ServiceId, u32> {
        let mut free = BTreeMap::new();
        if self.shares_until.is_none_or(|until| now >= until) {
            return free;
        }
        for upstream in self.all().filter(|upstream| upstream.listed) {
            let slots = upstream.free(now);
            if slots > 0 && !self.leaving.contains(&upstream.spec.id) {
                *free.entry(upstream.spec.service.clone()).or_default() += slots;
            }
        }
        free
    }

    /// Takes the upstreams that the platform lists as leaving: they get no new requests.
    pub fn set_leaving(&mut self, leaving: BTreeSet<UpstreamId>) {
        self.leaving = leaving;
    }

    /// A request arrives. It is sent, rejected, or waits (no action).
    pub fn route_request(&mut self, now: Instant, ticket: SlotRequest) -> Vec<RouteAction> {
        let Some(service) = self.services.get(&ticket.service) else {
            return vec![RouteAction::Reject(
                ticket.id,
                RejectReason::NoUpstream,
                LEAST_RETRY_AFTER,
            )];
        };
        if !service.answers() {
            return vec![RouteAction::Reject(
                ticket.id,
                RejectReason::NoUpstream,
                LEAST_RETRY_AFTER,
            )];
        }
        let first = service.waiting.is_empty();
        if first && let Some(spec) = self.choose(now, &ticket.service) {
            return self.send(now, &ticket, spec).into_iter().collect();
        }
        let wait = self.expected_wait(service, &ticket);
        let left = ticket.deadline.saturating_duration_since(now);
        if wait > left.mul_f64(WAIT_FRACTION) {
            let advice = retry_after(wait);
            return vec![RouteAction::Reject(ticket.id, RejectReason::Overloaded, advice)];
        }
        self.enqueue(ticket);
        self.shed()
    }

    /// The upstream with the smallest part of its share in use.
    fn choose(&self, now: Instant, service: &ServiceId) -> Option<UpstreamSpec> {
        if self.shares_until.is_none_or(|until| now >= until) {
            return None;
        }
        let service = self.services.get(service)?;
        let usable = service.upstreams.values().filter(|upstream| {
            let stays = self.leaving.is_empty() || !self.leaving.contains(&upstream.spec.id);
            upstream.listed && stays && upstream.free(now) > 0
        });
        let best = usable.min_by_key(|upstream| upstream.in_use * 1_024 / upstream.share.max(1));
        best.map(|upstream| upstream.spec.clone())
    }

    fn send(
        &mut self,
        now: Instant,
        ticket: &SlotRequest,
        spec: UpstreamSpec,
    ) -> Option<RouteAction> {
        let service = self.services.get_mut(&spec.service)?;
        let upstream = service.upstreams.get_mut(&spec.id)?;
        let within = upstream.in_use < upstream.share && upstream.in_use < upstream.spec.slots;
        if !invariant::holds(within, "slots", || format!("{} over its share", spec.id)) {
            return None;
        }
        upstream.in_use += 1;
        if let Some(until) = upstream.ejected_until
            && now >= until
        {
            debug!("{} is tried again", spec.id);
        }
        service.in_use += 1;
        Some(RouteAction::Send(ticket.id, spec))
    }

    /// An attempt ended: its slot goes to the next request.
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
                    state.ejected_until = Some(now + pause.min(LONGEST_EJECTION));
                    state.ejections += 1;
                }
            }
            RouteOutcome::Abandoned => {}
        }
        if let Some(found) = self.services.get_mut(&service) {
            found.in_use = found.in_use.saturating_sub(1);
            if outcome == RouteOutcome::Answered {
                found.service_time = found.service_time.mul_f64(1.0 - SERVICE_TIME_WEIGHT)
                    + time.mul_f64(SERVICE_TIME_WEIGHT);
            }
        }
        self.drop_unlisted(upstream);
        self.serve(now, &service)
    }

    /// Forgets an upstream that is not listed any more and has nothing in flight.
    fn drop_unlisted(&mut self, id: &UpstreamId) {
        let done = self.upstream_mut(id).is_some_and(|state| !state.listed && state.in_use == 0);
        let home = self.homes.get(id).filter(|_| done).cloned();
        if let Some(service) = home.and_then(|home| self.services.get_mut(&home)) {
            service.upstreams.remove(id);
            self.homes.remove(id);
        }
    }

    fn all(&self) -> impl Iterator<Item = &UpstreamState> {
        self.services.values().flat_map(|service| service.upstreams.values())
    }

    fn upstream_mut(&mut self, id: &UpstreamId) -> Option<&mut UpstreamState> {
        let home = self.homes.get(id)?;
        self.services.get_mut(home)?.upstreams.get_mut(id)
    }

    /// Lets time pass: rejects what waited too long.
    pub fn tick(&mut self, now: Instant) -> Vec<RouteAction> {
        let mut actions = Vec::new();
        let overdue_keys: Vec<(ServiceId, WaitKey)> = self
            .services
            .iter()
            .flat_map(|(id, service)| {
                let keys = service.waiting.keys().filter(|key| key.1 <= now);
                keys.map(|key| (id.clone(), *key)).collect::<Vec<_>>()
            })
            .collect();
        for (service, key) in overdue_keys {
            if let Some(ticket) = self.dequeue(&service, &key) {
                actions.push(overdue(ticket.id));
            }
        }
        let waiting: Vec<ServiceId> = self
            .services
            .iter()
            .filter(|(_, service)| !service.waiting.is_empty())
            .map(|(id, _)| id.clone())
            .collect();
        for service in waiting {
            actions.extend(self.serve(now, &service));
        }
        actions
    }

    /// Tells whether some upstream here answers for a service.
    pub fn serves(&self, service: &ServiceId) -> bool {
        self.services.get(service).is_some_and(ServiceState::answers)
    }
}

fn overdue(id: RequestId) -> RouteAction {
    RouteAction::Reject(id, RejectReason::DeadlinePassed, LEAST_RETRY_AFTER)
}

fn retry_after(wait: Duration) -> Duration {
    wait.clamp(LEAST_RETRY_AFTER, MOST_RETRY_AFTER)
}
