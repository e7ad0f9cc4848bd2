//! The roles of an entry in its failure domain, follower and leader, and the changes between them.

mod answers;

use std::time::Duration;

use log::{info, warn};
use tokio::time::Instant;

use crate::id::{CallId, DomainId, EntryId, KeyVersion};
use crate::leadership::lease::LeaseRecord;
use crate::settings::TimingSettings;
use crate::store::{StoreOutcome, StoreRequest};
use crate::token::FencingToken;

/// Renewals within one TTL of the lease.
const RENEWALS_PER_TTL: u32 = 3;
/// Checks of the lease by a follower within one TTL.
const CHECKS_PER_TTL: u32 = 4;
/// Checks of the lease within one TTL after the leader has resigned.
const RESIGNED_CHECKS_PER_TTL: u32 = 20;
/// Silence of leader and store, in TTLs of the lease, before a takeover without the store.
const DETACHED_AFTER_TTLS: u32 = 2;
/// The same if the leader's process is known to have ended.
const GONE_AFTER_TTLS: u32 = 1;

/// Actions for the caller of the controller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeadershipAction {
    /// Make this call and pass the outcome to [`LeadershipController::answer`] with the number.
    Call(CallId, StoreRequest),
    /// This entry starts leading under the token; workers have to be claimed again.
    Lead(FencingToken),
    /// This entry stops leading.
    Follow,
}

/// State of an entry that follows.
#[derive(Clone, Debug)]
pub struct FollowingRole {
    /// Last version of the lease seen, when it was first seen, and its time to live.
    last_version: Option<(KeyVersion, Instant, Duration)>,
    /// Last record read; `None` if there was none or it is outdated.
    record: Option<LeaseRecord>,
    /// When the last heartbeat of the leader arrived.
    leader_seen_at: Instant,
    /// When the lease is to be read or acquired next.
    next_check: Instant,
    /// Whether the leader has announced that it stopped leading.
    leader_resigned: bool,
    /// Whether the leader's process is known to have ended.
    leader_gone: bool,
}

/// State of an entry that leads.
#[derive(Clone, Debug)]
pub struct LeadingRole {
    token: FencingToken,
    /// Version of the lease record that this entry wrote; `None` if it leads without the store.
    version: Option<KeyVersion>,
    /// Time until which no other entry can acquire the lease.
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
        Self {
            last_version: None,
            record: None,
            leader_seen_at: now,
            next_check: now,
            leader_resigned: false,
            leader_gone: false,
        }
    }

    /// Records the lease as read. Its version was written no later than it was first seen, so
    /// that time plus the TTL is an upper bound for the deadline of its holder.
    fn observe(&mut self, now: Instant, version: KeyVersion, record: Option<LeaseRecord>) {
        let ttl = record.as_ref().map_or(Duration::ZERO, |record| record.ttl);
        match self.last_version {
            Some((last, ..)) if last == version => {}
            _ => self.last_version = Some((version, now, ttl)),
        }
        self.record = record;
    }

    fn expired(&self, now: Instant) -> bool {
        self.last_version.is_some_and(|(_, since, ttl)| now >= since + ttl)
    }

    /// Turns into the role of a leader.
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
    /// Turns into the role of a follower.
    fn follow(self, now: Instant) -> FollowingRole {
        FollowingRole::new(now)
    }
}

#[derive(Clone, Debug)]
enum PendingCall {
    /// Reads the lease; `settles` is a write whose answer was lost and whose outcome the read shows.
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
    /// Index of this entry among those of its failure domain; it delays takeovers without the store,
    /// so that the entries do not take over at the same time.
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
    write_count: u64,
    boot: u64,
    leaving: bool,
    /// Whether this entry may lead without the store.
    may_detach: bool,
}

impl LeadershipController {
    /// Creates a controller that follows. `boot` distinguishes this start of the process from earlier
    /// ones.
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
            write_count: 0,
            boot,
            leaving: false,
            may_detach: true,
        }
    }

    /// Forbids leading without a lease from the store.
    pub fn without_detached_lead(mut self) -> Self {
        self.may_detach = false;
        self
    }

    /// The token of this entry; `None` for followers.
    pub fn token(&self) -> Option<&FencingToken> {
        match &self.role {
            LeadershipRole::Leading(role) => Some(&role.token),
            LeadershipRole::Following(_) => None,
        }
    }

    /// Time until which the lease in the store is certain to last; `None` for followers.
    pub fn deadline(&self) -> Option<Instant> {
        match &self.role {
            LeadershipRole::Leading(role) => Some(role.deadline),
            LeadershipRole::Following(_) => None,
        }
    }

    /// Tells whether this entry may act as leader. After its deadline it may only if a call to the
    /// store has failed since: a process that resumes after a pause has to read the lease first.
    pub fn may_act(&self, now: Instant) -> bool {
        match &self.role {
            LeadershipRole::Leading(role) => {
                let detached = self.store_failed.is_some_and(|at| at >= role.deadline);
                now < role.deadline || detached || role.version.is_none()
            }
            LeadershipRole::Following(_) => false,
        }
    }

    /// Version of the lease that this leader wrote last.
    pub fn lease_version(&self) -> Option<KeyVersion> {
        match &self.role {
            LeadershipRole::Leading(role) => role.version,
            LeadershipRole::Following(_) => None,
        }
    }

    /// Describes the pending call to the store.
    pub fn pending_call_name(&self) -> Option<String> {
        self.pending.as_ref().map(|(id, pending)| format!("call {id}: {pending:?}"))
    }

    /// Highest token seen anywhere.
    pub fn highest(&self) -> Option<&FencingToken> {
        self.highest.as_ref()
    }

    /// Tells whether the store has answered within one TTL of the lease.
    pub fn store_up(&self, now: Instant) -> bool {
        now < self.store_answered + self.timing.lease_ttl
    }

    /// Handles a heartbeat of the leader; the lease version in it counts as if it had been read.
    pub fn on_leader_heartbeat(
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
            role.leader_seen_at = now;
            role.leader_resigned = false;
            role.leader_gone = false;
            let ttl = self.timing.lease_ttl;
            match (version, role.last_version) {
                (Some(version), Some((last, ..))) if version > last => {
                    role.last_version = Some((version, now, ttl));
                    role.record = None;
                }
                (Some(version), None) => role.last_version = Some((version, now, ttl)),
                _ => {}
            }
        }
        actions
    }

    /// Handles the announcement of the leader that it stopped leading: the lease may be free.
    pub fn on_resignation(&mut self, now: Instant) {
        if let LeadershipRole::Following(role) = &mut self.role {
            role.leader_resigned = true;
            role.record = None;
            role.next_check = now;
        }
    }

    /// Handles the end of the leader's process, which shortens the wait for a takeover.
    pub fn on_leader_gone(&mut self, now: Instant) {
        self.on_resignation(now);
        if let LeadershipRole::Following(role) = &mut self.role {
            role.leader_gone = true;
        }
    }

    /// Handles a token that was seen anywhere, for instance in the refusal of a worker.
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

    /// Gives the lease back and does not acquire it again. If a write is pending, the lease is given
    /// back after its answer.
    pub fn leave(&mut self, now: Instant) -> Vec<LeadershipAction> {
        self.leaving = true;
        let mut actions = Vec::new();
        if let LeadershipRole::Leading(role) = &self.role {
            let (epoch, version) = (role.token.epoch, role.version);
            let writing = matches!(self.pending, Some((_, PendingCall::Write(_))));
            if let Some(version) = version.filter(|_| !writing) {
                let record = self.new_record(epoch, Duration::ZERO);
                actions.push(self.write_lease(now, version, record));
            }
        }
        actions.extend(self.step_down(now));
        actions
    }

    /// Renews, reads or acquires the lease when that is due.
    pub fn tick(&mut self, now: Instant) -> Vec<LeadershipAction> {
        match &self.role {
            _ if self.leaving => Vec::new(),
            LeadershipRole::Leading(role) if self.pending.is_none() && now >= role.next_renewal => {
                self.renew(now)
            }
            LeadershipRole::Following(role) if self.may_lead_detached(now, role) => {
                self.lead_detached(now)
            }
            LeadershipRole::Following(role)
                if self.pending.is_none() && self.should_check(now, role) =>
            {
                self.check_or_acquire(now)
            }
            _ => Vec::new(),
        }
    }

    fn should_check(&self, now: Instant, role: &FollowingRole) -> bool {
        let silent = now >= role.leader_seen_at + self.timing.lease_ttl / 2
            || role.last_version.is_none()
            || role.leader_resigned;
        silent && now >= role.next_check
    }

    fn may_lead_detached(&self, now: Instant, role: &FollowingRole) -> bool {
        let ttls = if role.leader_gone { GONE_AFTER_TTLS } else { DETACHED_AFTER_TTLS };
        let silence_limit = self.timing.lease_ttl * ttls + self.timing.lease_ttl / 2 * self.rank;
        let store_silent = now >= self.store_answered + silence_limit;
        self.may_detach
            && store_silent
            && now >= role.leader_seen_at + silence_limit
            && now >= role.next_check
    }

    fn check_or_acquire(&mut self, now: Instant) -> Vec<LeadershipAction> {
        let LeadershipRole::Following(role) = &mut self.role else {
            return Vec::new();
        };
        let checks_per_ttl =
            if role.leader_resigned { RESIGNED_CHECKS_PER_TTL } else { CHECKS_PER_TTL };
        role.next_check = now + self.timing.lease_ttl / checks_per_ttl;
        let expired_lease = match (&role.record, role.last_version) {
            (Some(record), Some((version, ..))) if role.expired(now) => {
                Some((version, record.epoch))
            }
            (None, Some((0, ..))) => Some((0, 0)),
            _ => None,
        };
        match expired_lease {
            Some((version, epoch)) => {
                let known = self.highest.as_ref().map_or(0, |token| token.epoch);
                let record = self.new_record(epoch.max(known) + 1, self.timing.lease_ttl);
                vec![self.write_lease(now, version, record)]
            }
            None => vec![self.read_lease(None)],
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
                let record = self.new_record(epoch, self.timing.lease_ttl);
                vec![self.write_lease(now, version, record)]
            }
            None => vec![self.read_lease(None)],
        }
    }

    /// Starts leading without the store; if a higher token exists, workers refuse this one.
    fn lead_detached(&mut self, now: Instant) -> Vec<LeadershipAction> {
        let LeadershipRole::Following(role) = &mut self.role else {
            return Vec::new();
        };
        role.next_check = now + self.timing.lease_ttl * (DETACHED_AFTER_TTLS + self.rank);
        let epoch = role.record.as_ref().map_or(0, |record| record.epoch);
        let base = self.highest.clone().unwrap_or(FencingToken::granted(epoch, self.entry.clone()));
        let token = base.next_round(self.entry.clone());
        warn!("neither store nor leader answers: leading without the store under {token:?}");
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

    fn new_record(&mut self, epoch: u64, ttl: Duration) -> LeaseRecord {
        self.write_count += 1;
        let write_id = format!("{}-{}-{}", self.entry, self.boot, self.write_count);
        LeaseRecord { epoch, holder: self.entry.clone(), ttl, write_id }
    }

    fn call(&mut self, pending: PendingCall, request: StoreRequest) -> LeadershipAction {
        self.next_call += 1;
        log::debug!("{} calls the store: {pending:?}", self.entry);
        self.pending = Some((self.next_call, pending));
        LeadershipAction::Call(self.next_call, request)
    }

    fn read_lease(&mut self, settles: Option<PendingWrite>) -> LeadershipAction {
        let request = StoreRequest::Read { key: self.key.clone() };
        self.call(PendingCall::Look { settles }, request)
    }

    fn write_lease(
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
