//! The life of an entry as follower and leader of its failure domain.

mod answers;

use std::time::Duration;

use log::{info, warn};
use tokio::time::Instant;

use crate::id::{CallId, DomainId, EntryId, KeyVersion};
use crate::leadership::lease::LeaseRecord;
use crate::settings::TimingSettings;
use crate::store::{StoreOutcome, StoreRequest};
use crate::token::FencingToken;

/// Renewals in one life of the lease.
const RENEWALS_PER_TTL: u32 = 3;
/// Looks at the lease in one of its lives.
const CALM_TTLS: u32 = 4;
/// The same after the leader said that it does not lead any more.
const RESIGNED_TTLS: u32 = 20;
/// Silence of the leader, in lives of the lease, before a takeover without the store.
const DETACHED_TTLS: u32 = 2;
/// The same where the leader's process is surely gone.
const GONE_TTLS: u32 = 1;

/// What the controller wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeadershipAction {
    /// Make this call and bring the outcome back under the number.
    Call(CallId, StoreRequest),
    /// This entry leads from now on under the token; workers have to be claimed again.
    Lead(FencingToken),
    /// This entry does not lead any more.
    Follow,
}

/// State of an entry that follows.
#[derive(Clone, Debug)]
pub struct FollowingRole {
    /// Version of the lease seen last, when it was first seen, and how long it holds.
    seen: Option<(KeyVersion, Instant, Duration)>,
    /// Record seen last.
    record: Option<LeaseRecord>,
    /// When the leader was last heard from.
    heard: Instant,
    /// When the lease is to be read or taken next.
    next_check: Instant,
    /// Whether the leader said that it does not lead any more.
    resigned: bool,
    /// Whether the leader's process is surely gone.
    gone: bool,
}

/// State of an entry that leads.
#[derive(Clone, Debug)]
pub struct LeadingRole {
    token: FencingToken,
    /// Version of the lease record that this entry wrote; `None` when it leads without the store.
    version: Option<KeyVersion>,
    /// Until when no other entry can have taken the lease.
    deadline: Instant,
    next_renewal: Instant,
}

#[derive(Clone, Debug)]
enum LeadershipRole {
    Following(FollowingRole),
    Leading(LeadingRole),
}

impl FollowingRole {
    fn new(now: Instant) -> Self {
        Self { seen: None, record: None, heard: now, next_check: now, resigned: false, gone: false }
    }

    /// Notes the record; the time of its first sight bounds its holder's deadline from above.
    fn note(&mut self, now: Instant, version: KeyVersion, record: Option<LeaseRecord>) {
        let ttl = record.as_ref().map_or(Duration::ZERO, |record| record.ttl);
        match self.seen {
            Some((seen, ..)) if seen == version => {}
            _ => self.seen = Some((version, now, ttl)),
        }
        self.record = record;
    }

    fn expired(&self, now: Instant) -> bool {
        self.seen.is_some_and(|(_, since, ttl)| now >= since + ttl)
    }

    /// Becomes leader.
    fn lead(
        self,
        token: FencingToken,
        version: Option<KeyVersion>,
        deadline: Instant,
    ) -> LeadingRole {
        LeadingRole { token, version, deadline, next_renewal: deadline }
    }
}

impl LeadingRole {
    /// Becomes follower.
    fn follow(self, now: Instant) -> FollowingRole {
        FollowingRole::new(now)
    }
}

#[derive(Clone, Debug)]
enum PendingCall {
    /// Reads the lease; `settles` is a write whose answer was lost.
    Look { settles: Option<PendingWrite> },
    /// Writes the lease.
    Write(PendingWrite),
}

#[derive(Clone, Debug)]
struct PendingWrite {
    started: Instant,
    record: LeaseRecord,
}

/// Decides whether this entry leads its failure domain.
#[derive(Debug)]
pub struct LeadershipController {
    entry: EntryId,
    key: String,
    timing: TimingSettings,
    /// Place of this entry among those of its domain; spreads takeovers without the store.
    rank: u32,
    role: LeadershipRole,
    /// Highest token seen anywhere.
    highest: Option<FencingToken>,
    /// When the store last answered.
    store_answered: Instant,
    /// When a call to the store last failed.
    store_failed: Option<Instant>,
    pending: Option<(CallId, PendingCall)>,
    next_call: CallId,
    writes: u64,
    boot: u64,
    leaving: bool,
    /// Whether the domain may be taken without the store.
    may_detach: bool,
}

impl LeadershipController {
    /// Starts as follower. `boot` tells this start of the process from earlier ones.
    pub fn new(
        now: Instant,
        entry: EntryId,
        domain: &DomainId,
        rank: u32,
        boot: u64,
        timing: TimingSettings,
    ) -> Self {
        Self {
            entry,
            key: lease_key(domain),
            timing,
            rank,
            role: LeadershipRole::Following(FollowingRole::new(now)),
            highest: None,
            store_answered: now,
            store_failed: None,
            pending: None,
            next_call: 0,
            writes: 0,
            boot,
            leaving: false,
            may_detach: true,
        }
    }

    /// Only ever leads with a lease from the store.
    pub fn store_only(mut self) -> Self {
        self.may_detach = false;
        self
    }

    /// The token while this entry leads.
    pub fn token(&self) -> Option<&FencingToken> {
        match &self.role {
            LeadershipRole::Leading(role) => Some(&role.token),
            LeadershipRole::Following(_) => None,
        }
    }

    /// Until when the lease in the store surely holds; `None` for followers.
    pub fn deadline(&self) -> Option<Instant> {
        match &self.role {
            LeadershipRole::Leading(role) => Some(role.deadline),
            LeadershipRole::Following(_) => None,
        }
    }

    /// Tells whether this entry may act as leader. Past its deadline it may only after it has found
    /// the store out of reach; a holder that wakes from a pause has to look first.
    pub fn may_act(&self, now: Instant) -> bool {
        match &self.role {
            LeadershipRole::Leading(role) => {
                let detached = self.store_failed.is_some_and(|at| at >= role.deadline);
                now < role.deadline || detached || role.version.is_none()
            }
            LeadershipRole::Following(_) => false,
        }
    }

    /// Version of the lease this leader wrote last.
    pub fn lease_version(&self) -> Option<KeyVersion> {
        match &self.role {
            LeadershipRole::Leading(role) => role.version,
            LeadershipRole::Following(_) => None,
        }
    }

    /// The call to the store that is being waited for, in words.
    pub fn pending_call_name(&self) -> Option<String> {
        self.pending.as_ref().map(|(id, pending)| format!("call {id}: {pending:?}"))
    }

    /// Highest token seen anywhere.
    pub fn highest(&self) -> Option<&FencingToken> {
        self.highest.as_ref()
    }

    /// Tells whether the store has answered within a life of the lease.
    pub fn store_up(&self, now: Instant) -> bool {
        now < self.store_answered + self.timing.lease_ttl
    }

    /// A message of the leader arrived; its lease version counts as a sight of the lease.
    pub fn on_leader(
        &mut self,
        now: Instant,
        token: &FencingToken,
        version: Option<KeyVersion>,
    ) -> Vec<LeadershipAction> {
        let actions = self.on_token(now, token);
        let known = self.highest.clone();
        if let LeadershipRole::Following(role) = &mut self.role
            && known.as_ref() == Some(token)
        {
            role.heard = now;
            role.resigned = false;
            role.gone = false;
            let ttl = self.timing.lease_ttl;
            match (version, role.seen) {
                (Some(version), Some((seen, ..))) if version > seen => {
                    role.seen = Some((version, now, ttl));
                    role.record = None;
                }
                (Some(version), None) => role.seen = Some((version, now, ttl)),
                _ => {}
            }
        }
        actions
    }

    /// The leader said that it does not lead any more: the lease may be free.
    pub fn on_resignation(&mut self, now: Instant) {
        if let LeadershipRole::Following(role) = &mut self.role {
            role.resigned = true;
            role.record = None;
            role.next_check = now;
        }
    }

    /// The leader's process is surely gone: nobody has to wait for it.
    pub fn on_leader_gone(&mut self, now: Instant) {
        self.on_resignation(now);
        if let LeadershipRole::Following(role) = &mut self.role {
            role.gone = true;
        }
    }

    /// A token was seen, for instance in the refusal of a worker.
    pub fn on_token(&mut self, now: Instant, token: &FencingToken) -> Vec<LeadershipAction> {
        if self.highest.as_ref().is_some_and(|highest| highest >= token) {
            return Vec::new();
        }
        self.highest = Some(token.clone());
        match &self.role {
            LeadershipRole::Leading(role) if *token > role.token => {
                info!("superseded by {token:?}");
                self.step_down(now)
            }
            _ => Vec::new(),
        }
    }

    /// Stops leading, for instance because the ledger shows another leader.
    pub fn step_down(&mut self, now: Instant) -> Vec<LeadershipAction> {
        match &self.role {
            LeadershipRole::Leading(role) => {
                self.role = LeadershipRole::Following(role.clone().follow(now));
                vec![LeadershipAction::Follow]
            }
            LeadershipRole::Following(_) => Vec::new(),
        }
    }

    /// Gives the lease back and does not take it again. A write on its way is waited for first.
    pub fn leave(&mut self, now: Instant) -> Vec<LeadershipAction> {
        self.leaving = true;
        let mut actions = Vec::new();
        if let LeadershipRole::Leading(role) = &self.role {
            let (epoch, version) = (role.token.epoch, role.version);
            let writing = matches!(self.pending, Some((_, PendingCall::Write(_))));
            if let Some(version) = version.filter(|_| !writing) {
                let record = self.record(epoch, Duration::ZERO);
                actions.push(self.write(now, version, record));
            }
        }
        actions.extend(self.step_down(now));
        actions
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Instant) -> Vec<LeadershipAction> {
        match &self.role {
            _ if self.leaving => Vec::new(),
            LeadershipRole::Leading(role) if self.pending.is_none() && now >= role.next_renewal => {
                self.renew(now)
            }
            LeadershipRole::Following(role) if self.silent_too_long(now, role) => {
                self.lead_detached(now)
            }
            LeadershipRole::Following(role)
                if self.pending.is_none() && self.wants_look(now, role) =>
            {
                self.look_or_take(now)
            }
            _ => Vec::new(),
        }
    }

    fn wants_look(&self, now: Instant, role: &FollowingRole) -> bool {
        let silent =
            now >= role.heard + self.timing.lease_ttl / 2 || role.seen.is_none() || role.resigned;
        silent && now >= role.next_check
    }

    fn silent_too_long(&self, now: Instant, role: &FollowingRole) -> bool {
        let ttls = if role.gone { GONE_TTLS } else { DETACHED_TTLS };
        let patience = self.timing.lease_ttl * ttls + self.timing.lease_ttl / 2 * self.rank;
        let store_gone = now >= self.store_answered + patience;
        self.may_detach && store_gone && now >= role.heard + patience && now >= role.next_check
    }

    fn look_or_take(&mut self, now: Instant) -> Vec<LeadershipAction> {
        let LeadershipRole::Following(role) = &mut self.role else {
            return Vec::new();
        };
        let pause = if role.resigned { RESIGNED_TTLS } else { CALM_TTLS };
        role.next_check = now + self.timing.lease_ttl / pause;
        let taken = match (&role.record, role.seen) {
            (Some(record), Some((version, ..))) if role.expired(now) => {
                Some((version, record.epoch))
            }
            (None, Some((0, ..))) => Some((0, 0)),
            _ => None,
        };
        match taken {
            Some((version, epoch)) => {
                let known = self.highest.as_ref().map_or(0, |token| token.epoch);
                let record = self.record(epoch.max(known) + 1, self.timing.lease_ttl);
                vec![self.write(now, version, record)]
            }
            None => vec![self.look(None)],
        }
    }

    fn renew(&mut self, now: Instant) -> Vec<LeadershipAction> {
        let retry = self.timing.lease_ttl / RENEWALS_PER_TTL;
        let LeadershipRole::Leading(role) = &mut self.role else {
            return Vec::new();
        };
        role.next_renewal = now + retry;
        let (epoch, version) = (role.token.epoch, role.version);
        match version {
            Some(version) => {
                let record = self.record(epoch, self.timing.lease_ttl);
                vec![self.write(now, version, record)]
            }
            None => vec![self.look(None)],
        }
    }

    /// Takes the domain without the store; workers will tell whether a higher token exists.
    fn lead_detached(&mut self, now: Instant) -> Vec<LeadershipAction> {
        let LeadershipRole::Following(role) = &mut self.role else {
            return Vec::new();
        };
        role.next_check = now + self.timing.lease_ttl * (DETACHED_TTLS + self.rank);
        let epoch = role.record.as_ref().map_or(0, |record| record.epoch);
        let base = self.highest.clone().unwrap_or(FencingToken::granted(epoch, self.entry.clone()));
        let token = base.next_round(self.entry.clone());
        warn!("store and leader are silent: leading under {token:?}");
        self.become_leader(now, token, None, now)
    }

    fn become_leader(
        &mut self,
        now: Instant,
        token: FencingToken,
        version: Option<KeyVersion>,
        deadline: Instant,
    ) -> Vec<LeadershipAction> {
        let role = match self.role.clone() {
            LeadershipRole::Following(role) => role,
            LeadershipRole::Leading(role) => role.follow(now),
        };
        let mut leading = role.lead(token.clone(), version, deadline);
        leading.next_renewal = now + self.timing.lease_ttl / RENEWALS_PER_TTL;
        self.highest = Some(token.clone());
        self.role = LeadershipRole::Leading(leading);
        vec![LeadershipAction::Lead(token)]
    }

    fn record(&mut self, epoch: u64, ttl: Duration) -> LeaseRecord {
        self.writes += 1;
        let write_id = format!("{}-{}-{}", self.entry, self.boot, self.writes);
        LeaseRecord { epoch, holder: self.entry.clone(), ttl, write_id }
    }

    fn call(&mut self, pending: PendingCall, request: StoreRequest) -> LeadershipAction {
        self.next_call += 1;
        log::debug!("{} asks the store: {pending:?}", self.entry);
        self.pending = Some((self.next_call, pending));
        LeadershipAction::Call(self.next_call, request)
    }

    fn look(&mut self, settles: Option<PendingWrite>) -> LeadershipAction {
        let request = StoreRequest::Read { key: self.key.clone() };
        self.call(PendingCall::Look { settles }, request)
    }

    fn write(
        &mut self,
        now: Instant,
        expected: KeyVersion,
        record: LeaseRecord,
    ) -> LeadershipAction {
        let value = serde_json::to_string(&record).unwrap_or_default();
        let request = StoreRequest::Swap { key: self.key.clone(), expected, value };
        self.call(PendingCall::Write(PendingWrite { started: now, record }), request)
    }
}

/// Key of the lease of a failure domain.
pub(crate) fn lease_key(domain: &DomainId) -> String {
    format!("lease/{domain}")
}
