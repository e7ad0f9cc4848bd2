//! One instance of a worker: its clock, lease, capacity and runs as the leader sees them.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::graph::exchange::{InstanceId, InstanceStart, WorkerRegistration};
use crate::graph::workers::fences::{FenceOffset, is_distinct};
use crate::graph::workers::health::{HealthRank, WorkerHealth};
use crate::graph::workers::instances::WORKER_LEASE;
use crate::graph::workers::run::WorkerRun;
use crate::graph::workers::speed::WorkerSpeed;
use crate::graph::workload::name::{GraphId, StepKey, TaskName};
use crate::graph::workload::spec::StepSpec;
use crate::id::{RackId, WorkerId};
use crate::resources::ResourceVector;

/// Thousandths by which a worker's clock may run slow; the platform guarantees 2%.
const SLOW_CLOCK_PERMILLE: u32 = 20;
/// Added to a lease before it counts as expired: killed processes may take this long to exit.
const LEASE_EXPIRY_MARGIN: Duration = Duration::from_millis(150);

/// How long a call that was sent may take to arrive. It counts where the worker holds the longest lease from then on.
pub(crate) const CALL_ARRIVAL_TIME: Duration = Duration::from_millis(500);

/// Longest time for which a worker keeps its runs by a lease, by the local clock.
pub(crate) fn hold_time(lease: Duration) -> Duration {
    lease * 1_000 / (1_000 - SLOW_CLOCK_PERMILLE) + LEASE_EXPIRY_MARGIN
}

/// Why an instance of a worker has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InstanceEnd {
    /// Another instance answers at its address, and it had not announced that it leaves: it has crashed.
    Replaced,
    /// Another instance answers under its id: it has crashed.
    Restarted,
    /// It left as announced.
    Left,
    /// It is not registered and its lease has expired.
    Vanished,
}

/// An instance of a worker.
#[derive(Clone, Debug)]
pub struct WorkerInstance {
    /// Start of the instance that answered last; before the first answer, of the instance that the store
    /// names.
    pub instance_start: InstanceStart,
    /// Registration of the worker; for a worker known only from the store, filled in as far as known.
    pub registration: WorkerRegistration,
    /// When the registration was last read.
    pub(crate) registration_read: Instant,
    /// A registration of another instance than the last one that answered, and when it came. Only an answer
    /// shows which of the two instances is the newer.
    pending_registration: Option<(Instant, WorkerRegistration)>,
    /// Whether it is registered.
    pub registered: bool,
    /// Until when it is expected to register again, after its registration has gone.
    pub reregistration_deadline: Option<Instant>,
    /// Time after which its worker sent the report that its registration shows, where that is known.
    pub(crate) reported_since: Option<Instant>,
    /// Whether it is known to have left as announced.
    pub(crate) has_left: bool,
    /// Earliest time at which it will be gone, where it is leaving.
    pub leaves_at: Option<Instant>,
    /// Whether it has answered a poll of this leader.
    pub claimed: bool,
    /// Whether an earlier instance under its id was known, whose calls it may have taken.
    has_predecessor: bool,
    /// Whether the store names this instance as a worker that may run tasks.
    pub in_store: bool,
    /// What the store says of its lease ([`UsedWorker::longest_lease`]).
    ///
    /// [`UsedWorker::longest_lease`]: crate::graph::exchange::UsedWorker::longest_lease
    pub(crate) stored_longest_lease: bool,
    /// What the store says of calls that are carried out late ([`UsedWorker::late_calls`]).
    ///
    /// [`UsedWorker::late_calls`]: crate::graph::exchange::UsedWorker::late_calls
    pub(crate) stored_late_calls: bool,
    /// The worker's clock, and the local time at which it was read.
    clock: Option<(Duration, Instant)>,
    /// The worker's clock on the newest list of runs.
    pub newest_list_clock: Duration,
    /// Whether the last list was older than `newest_list_clock`.
    pub(crate) list_outdated: bool,
    /// Latest time, on the worker's clock, at which its lease may end: as sent by this leader, or as an earlier
    /// leader may have granted it.
    pub latest_lease_end: Option<Duration>,
    /// Lease end that was sent with the poll in flight.
    pub(crate) offered_lease_end: Option<Duration>,
    /// Number of the last run end that the poll in flight acknowledges.
    pub(crate) offered_ack: u64,
    /// Number of the last run end that an answered poll has acknowledged.
    pub(crate) acknowledged_end: u64,
    /// By how much the fencing token of calls to it exceeds the epoch of the leader.
    pub fence: FenceOffset,
    /// `fence` of the poll in flight; `None` before the first poll.
    pub(crate) offered_fence: Option<FenceOffset>,
    /// Whether it has answered a poll with its own token, so that it refuses all calls to earlier instances.
    pub(crate) is_fenced: bool,
    /// Until when it may carry out calls that were meant for an earlier instance.
    pub(crate) late_calls_end: Option<Instant>,
    /// Latest lease end that it has acknowledged.
    pub(crate) granted_lease_end: Option<Duration>,
    /// Number of the last run end that was processed.
    pub last_end: u64,
    /// Number of the last run end that the store has.
    pub last_stored_end: u64,
    /// Processed run ends that the store may not have, oldest first: their numbers and jobs.
    unstored_ends: VecDeque<(u64, GraphId)>,
    /// Whether its last list of ends may have been cut off, so that runs on none of its lists may have ended.
    pub(crate) has_unlisted_ends: bool,
    /// Whether it has listed all its ends to this leader once.
    pub(crate) has_listed_all: bool,
    /// Number of the last run end that was caused by an expired lease, or is known to come before its expiry.
    pub last_lease_expiry: u64,
    /// Whether the ends that it has not listed yet came before its lease expired: nothing was started there since.
    unlisted_ends_expired: bool,
    /// Number of the first run end that must not be acknowledged, because its task was started again before
    /// the end was received.
    pub withheld_end: Option<u64>,
    /// When the poll in flight was sent.
    pub poll_sent: Option<Instant>,
    /// When the next poll is due.
    pub next_poll: Instant,
    /// When it last answered a call.
    pub last_answer: Option<Instant>,
    /// When it answered the last poll; `None` if it did not. Answers to other calls do not say which instance
    /// gives them.
    pub(crate) last_poll_answer: Option<Instant>,
    /// Number of consecutive calls without an answer.
    pub misses: u32,
    /// When the first of these calls failed.
    pub silent_since: Option<Instant>,
    /// Since when nothing listens at its address. Its process is gone then, while a worker that only fails to
    /// answer may be cut off.
    pub(crate) refused_since: Option<Instant>,
    /// Until when it gets no new work.
    pub excluded_until: Option<Instant>,
    /// Health of the worker, from the outcomes of its runs.
    pub health: WorkerHealth,
    /// Its speed relative to other workers.
    pub(crate) speed: WorkerSpeed,
    /// All runs that hold resources.
    pub runs: BTreeMap<TaskName, WorkerRun>,
    /// Whether the demand of any run is unknown.
    has_unknown_demand: bool,
    used: ResourceVector,
}

impl WorkerInstance {
    /// Creates the instance of a worker that has registered.
    pub fn new(registration: WorkerRegistration, now: Instant) -> Self {
        Self {
            instance_start: None,
            leaves_at: registration.leaving.map(|time_left| now + time_left),
            registration,
            registration_read: now,
            reported_since: None,
            has_left: false,
            pending_registration: None,
            registered: true,
            reregistration_deadline: None,
            claimed: false,
            has_predecessor: false,
            in_store: false,
            stored_longest_lease: false,
            stored_late_calls: false,
            clock: None,
            newest_list_clock: Duration::ZERO,
            list_outdated: false,
            latest_lease_end: None,
            offered_lease_end: None,
            granted_lease_end: None,
            offered_ack: 0,
            acknowledged_end: 0,
            fence: 0,
            offered_fence: None,
            is_fenced: false,
            late_calls_end: None,
            last_end: 0,
            last_stored_end: 0,
            unstored_ends: VecDeque::new(),
            has_unlisted_ends: false,
            has_listed_all: false,
            last_lease_expiry: 0,
            unlisted_ends_expired: false,
            withheld_end: None,
            poll_sent: None,
            next_poll: now,
            last_answer: None,
            last_poll_answer: None,
            misses: 0,
            silent_since: None,
            refused_since: None,
            excluded_until: None,
            health: WorkerHealth::default(),
            speed: WorkerSpeed::default(),
            runs: BTreeMap::new(),
            has_unknown_demand: false,
            used: ResourceVector::default(),
        }
    }

    /// Sets the offset of the fencing token of calls to it.
    pub(crate) fn with_fence(self, fence: FenceOffset) -> Self {
        Self { fence, ..self }
    }

    /// Whether an answer or a registration comes from another instance than the last one that answered.
    pub(crate) fn is_other_instance(&self, instance_start: InstanceStart) -> bool {
        self.instance_start.is_some()
            && instance_start.is_some()
            && self.instance_start != instance_start
    }

    /// Applies a registration.
    pub(crate) fn update_registration(&mut self, now: Instant, registration: WorkerRegistration) {
        let other_instance = self.is_other_instance(registration.instance_start);
        if other_instance {
            self.next_poll = now;
        }
        let is_confirmed = self.registration.instance_start == self.instance_start
            && self.registration.address == registration.address;
        if other_instance && is_confirmed {
            self.pending_registration = Some((now, registration));
            return;
        }
        self.pending_registration = None;
        self.leaves_at = match registration.leaving {
            Some(time_left) => Some(self.leaves_at.unwrap_or(now + time_left)),
            None => None,
        };
        self.registration = registration;
    }

    /// Notes a registration of another instance, which may have taken the starts that no answer has confirmed.
    pub(crate) fn note_restart_registered(&mut self, now: Instant) {
        let arrived = now + CALL_ARRIVAL_TIME;
        for run in self.runs.values_mut().filter(|run| !run.is_of_one_instance()) {
            run.taken_by_newer_instance.get_or_insert(arrived);
        }
    }

    /// Resolves a pending registration when a poll that was sent at `poll_sent` is answered. A registration
    /// that came before the poll was sent belongs to the instance that answers, or is outdated.
    pub(crate) fn resolve_pending_registration(
        &mut self,
        now: Instant,
        poll_sent: Option<Instant>,
    ) {
        match self.pending_registration.take() {
            Some((_, registration)) if registration.instance_start == self.instance_start => {
                self.update_registration(now, registration)
            }
            Some((at, registration)) if poll_sent.is_none_or(|poll_sent| poll_sent < at) => {
                self.pending_registration = Some((at, registration));
            }
            _ => {}
        }
    }

    /// Whether the instance that answers is the registered one; another may have less capacity and other
    /// labels.
    fn is_registered(&self) -> bool {
        self.registered
            && self.pending_registration.is_none()
            && !self.is_other_instance(self.registration.instance_start)
    }

    /// The next instance of the same worker, of which nothing else is known yet.
    pub(crate) fn next_instance(&self, now: Instant, instance_start: InstanceStart) -> Self {
        Self {
            instance_start,
            registration_read: self.registration_read,
            pending_registration: self.pending_registration.clone(),
            registered: self.registered,
            reregistration_deadline: self.reregistration_deadline,
            leaves_at: self.leaves_at,
            claimed: self.claimed,
            has_predecessor: true,
            stored_longest_lease: self.stored_longest_lease,
            stored_late_calls: self.stored_late_calls,
            fence: self.fence + 1,
            ..Self::new(self.registration.clone(), now)
        }
    }

    /// Id of the worker.
    pub fn id(&self) -> &WorkerId {
        &self.registration.id
    }

    /// Id of the last known instance.
    pub fn instance_id(&self) -> InstanceId {
        InstanceId::new(self.id().clone(), self.instance_start)
    }

    /// Address at which it answers.
    pub fn address(&self) -> SocketAddr {
        self.registration.address
    }

    /// Its rack.
    pub fn rack(&self) -> &RackId {
        &self.registration.rack
    }

    /// Notes an answer and the clock that it carries.
    pub fn note_answer(&mut self, now: Instant, clock: Duration) {
        self.last_answer = Some(now);
        self.misses = 0;
        self.silent_since = None;
        self.refused_since = None;
        let is_newest = self.clock.is_none_or(|(known, _)| clock >= known);
        if is_newest {
            self.clock = Some((clock, now));
        }
    }

    /// Notes a call without an answer.
    pub fn note_silence(&mut self, now: Instant) {
        self.misses = self.misses.saturating_add(1);
        self.silent_since.get_or_insert(now);
    }

    /// Lower bound of its clock now, for any rate that the platform allows.
    pub fn clock_lower_bound(&self, now: Instant) -> Option<Duration> {
        let (clock, at) = self.clock?;
        let passed = now.saturating_duration_since(at);
        Some(clock + passed * (1_000 - SLOW_CLOCK_PERMILLE) / 1_000)
    }

    /// Lower bound of its clock at a moment, which may lie before the last reading of the clock.
    pub(crate) fn clock_lower_bound_at(&self, moment: Instant) -> Option<Duration> {
        let (clock, at) = self.clock?;
        let since = at.saturating_duration_since(moment);
        if since.is_zero() {
            self.clock_lower_bound(moment)
        } else {
            Some(clock.saturating_sub(since))
        }
    }

    /// Returns the end, on the worker's clock, of a lease that starts now, and records that it was sent.
    pub fn extend_lease(&mut self, now: Instant, duration: Duration) -> Option<Duration> {
        let (clock, at) = self.clock?;
        let end = clock + now.saturating_duration_since(at) + duration;
        self.latest_lease_end = Some(self.latest_lease_end.map_or(end, |lease| lease.max(end)));
        Some(end)
    }

    /// Notes that the worker has answered a call that extended its lease to `end`.
    pub(crate) fn grant_lease(&mut self, end: Option<Duration>) {
        self.granted_lease_end = self.granted_lease_end.max(end);
    }

    /// Notes that nothing listens at its address.
    pub(crate) fn note_refused(&mut self, now: Instant) {
        self.refused_since.get_or_insert(now);
    }

    /// Whether a run that had begun was certainly running until the worker's process was gone, which was
    /// noticed by `now`: neither by itself nor by an expired lease can it have ended unreported before.
    pub(crate) fn was_certainly_running(&self, run: &WorkerRun, now: Instant) -> bool {
        let gone = self.refused_since.unwrap_or(now);
        let leased = match (self.granted_lease_end, self.clock) {
            (Some(end), Some((clock, at))) => clock + gone.saturating_duration_since(at) < end,
            _ => false,
        };
        let unfinished = run
            .declared_run_time
            .is_none_or(|declared_run_time| gone < run.since + declared_run_time);
        run.begun && leased && unfinished
    }

    /// Assumes the longest lease that calls which this leader does not know, or that are carried out late, may grant.
    pub fn inherit_lease(&mut self, now: Instant, max_lease: Duration) {
        if let Some((clock, at)) = self.clock {
            let end = clock + now.saturating_duration_since(at) + max_lease;
            self.latest_lease_end = Some(self.latest_lease_end.map_or(end, |lease| lease.max(end)));
        }
    }

    /// Notes an answer to a poll that carried its own token, with the longest lease that calls to earlier instances may
    /// have granted before.
    pub(crate) fn note_fenced(&mut self, max_lease: Duration) {
        self.is_fenced = true;
        self.late_calls_end = None;
        if self.has_predecessor {
            self.latest_lease_end = self.clock.map(|(clock, _)| clock + max_lease);
        }
    }

    /// Whether calls with this offset are only sent to this instance.
    pub(crate) fn is_own_fence(&self, fence: FenceOffset) -> bool {
        fence == self.fence && is_distinct(fence)
    }

    /// Whether the lease has certainly expired, so that nothing that was started there still runs.
    pub fn is_lease_expired(&self, now: Instant) -> bool {
        match (self.latest_lease_end, self.clock_lower_bound(now)) {
            (Some(lease), Some(clock)) => clock > lease + LEASE_EXPIRY_MARGIN,
            _ => false,
        }
    }

    /// Time for which it may still hold its lease; zero where nothing is known of a lease.
    pub fn remaining_lease(&self, now: Instant) -> Duration {
        match (self.latest_lease_end, self.clock_lower_bound(now)) {
            (Some(lease), Some(clock)) => lease.saturating_sub(clock),
            _ => Duration::ZERO,
        }
    }

    /// Whether it may hold a lease that is longer than those that leaders grant. A call that was meant for an earlier
    /// instance names a time on that instance's clock, which lies far ahead of the clock of the next one.
    pub(crate) fn may_hold_longest_lease(&self, now: Instant) -> bool {
        let lease = match (self.latest_lease_end, self.clock) {
            (Some(end), Some((clock, at))) => {
                end.saturating_sub(clock + now.saturating_duration_since(at))
            }
            _ => Duration::ZERO,
        };
        let has_taken = |run: &WorkerRun| run.taken_by_newer_instance.is_some();
        let is_unheard = !self.claimed && self.stored_longest_lease;
        let is_granted =
            (self.has_predecessor || self.stored_longest_lease) && lease > WORKER_LEASE;
        is_unheard || is_granted || self.has_unheard_instance() || self.runs.values().any(has_taken)
    }

    /// Whether a registration shows a restart that no answer has shown yet.
    pub(crate) fn has_unheard_instance(&self) -> bool {
        self.is_other_instance(self.registration.instance_start)
            || self.pending_registration.is_some()
    }

    /// Notes that it may have carried out calls that were meant for an earlier instance under its id.
    pub(crate) fn note_predecessor(&mut self) {
        self.has_predecessor = true;
    }

    /// Notes that until `end` it may carry out such calls.
    pub(crate) fn note_late_calls(&mut self, end: Instant) {
        self.note_predecessor();
        self.late_calls_end = self.late_calls_end.max(Some(end));
    }

    /// Whether the instance that answers may carry out calls that were meant for an earlier one.
    fn has_late_calls(&self, now: Instant) -> bool {
        self.late_calls_end.is_some_and(|end| now < end)
    }

    /// Whether calls that were meant for an earlier instance may be carried out by it, or by a later one that has not
    /// answered, where `are_unanswered` says whether there are such calls. After its first answer to a leader it refuses
    /// those of earlier leaders.
    pub(crate) fn may_take_late_calls(
        &self,
        now: Instant,
        are_unanswered: impl FnOnce() -> bool,
    ) -> bool {
        match self.claimed {
            true => self.has_late_calls(now) || (self.has_unheard_instance() && are_unanswered()),
            false => self.stored_late_calls || self.has_unheard_instance(),
        }
    }

    /// Whether a run whose start was accepted by a newer instance has certainly ended. That instance keeps it
    /// for the longest lease, whatever end the start gave on the clock of the previous instance.
    pub(crate) fn has_certainly_ended(
        &self,
        run: &WorkerRun,
        now: Instant,
        max_lease: Duration,
    ) -> bool {
        run.taken_by_newer_instance
            .is_none_or(|answered| now.saturating_duration_since(answered) >= hold_time(max_lease))
    }

    /// Notes that a run end of a job was processed.
    pub(crate) fn note_end(&mut self, number: u64, job: GraphId) {
        self.last_end = number;
        self.unstored_ends.push_back((number, job));
    }

    /// Number of the last run end before the first one whose job still has a change to store.
    pub(crate) fn last_covered_end(&self, has_change: impl Fn(&GraphId) -> bool) -> u64 {
        let mut uncovered = self.unstored_ends.iter().filter(|(_, job)| has_change(job));
        uncovered.next().map_or(self.last_end, |(number, _)| number.saturating_sub(1))
    }

    /// Notes that the store has all run ends up to a number.
    pub(crate) fn note_ends_stored(&mut self, number: u64) {
        self.last_stored_end = number;
        while self.unstored_ends.front().is_some_and(|(first, _)| *first <= number) {
            self.unstored_ends.pop_front();
        }
    }

    /// Highest number of a run end that may be acknowledged.
    pub fn highest_ackable_end(&self) -> u64 {
        self.withheld_end
            .map_or(self.last_stored_end, |first| self.last_stored_end.min(first.saturating_sub(1)))
    }

    /// Withholds the acknowledgement of an end whose task was started again, unless the worker has since listed
    /// a run that ended with an expired lease. A lease that expires while nothing runs leaves no entry on the
    /// list, and without an entry the end stays on the list forever.
    pub fn withhold_ack(&mut self, number: u64) {
        if self.last_lease_expiry < number {
            self.withheld_end = Some(self.withheld_end.map_or(number, |first| first.min(number)));
        }
    }

    /// Whether its list of ends shows nothing new any more: it is full, and an end on it must not be acknowledged.
    pub(crate) fn is_list_blocked(&self) -> bool {
        self.has_unlisted_ends && self.withheld_end.is_some()
    }

    /// Allows a blocked list to be acknowledged once the worker's lease has expired: ends from before that count no
    /// more, whoever acknowledges them.
    pub(crate) fn unblock_list(&mut self, now: Instant) {
        if self.is_list_blocked() && self.is_lease_expired(now) {
            self.withheld_end = None;
            self.last_lease_expiry = self.last_end;
            self.unlisted_ends_expired = true;
            self.next_poll = self.next_poll.min(now);
        }
    }

    /// Notes whether its list, whose ends have been processed, was cut off.
    pub(crate) fn note_listed_ends(&mut self, has_more_ends: bool) {
        if self.unlisted_ends_expired {
            self.last_lease_expiry = self.last_end;
        }
        self.has_unlisted_ends = has_more_ends;
        self.has_listed_all |= !has_more_ends;
        self.unlisted_ends_expired &= has_more_ends;
    }

    /// Capacity that is not reserved.
    pub fn free(&self) -> ResourceVector {
        self.registration.capacity.saturating_sub(&self.used)
    }

    /// Reservations beyond its capacity, where the capacity has shrunk.
    pub fn excess(&self) -> ResourceVector {
        self.used.saturating_sub(&self.registration.capacity)
    }

    /// Whether runs may start on it as far as its registration says: it is registered and not leaving.
    pub(crate) fn is_available(&self) -> bool {
        self.is_registered() && self.leaves_at.is_none()
    }

    /// Whether it may get new work, leaving its free capacity aside. A worker that left its last call
    /// unanswered may be cut off: it is polled again at once, and a start that does not reach it would block
    /// its task until the lease expires. Late calls to an earlier instance may extend the lease of one that does
    /// not refuse them yet, and have it forget ends. The end of a task at a worker with unlisted ends would not be known
    /// before those ends are stored.
    pub fn accepts_work(&self, now: Instant, max_silence: Duration) -> bool {
        self.is_available()
            && self.claimed
            && self.is_fenced
            && self.in_store
            && !self.has_unknown_demand
            && !self.has_unlisted_ends
            && self.misses == 0
            && self.last_poll_answer.is_some()
            && self.excluded_until.is_none_or(|until| until <= now)
            && self.last_answer.is_some_and(|at| now.saturating_duration_since(at) < max_silence)
    }

    /// Its current health rank. Where an end is withheld, the ends after it are not acknowledged either, and
    /// a long list is cut off at its end. Such a worker is used last, but not excluded, since a shard of two
    /// workers needs it.
    pub fn rank(&self, now: Instant) -> HealthRank {
        match self.withheld_end {
            None => self.health.rank(now),
            Some(_) => self.health.rank(now).max(HealthRank::Doubtful),
        }
    }

    /// Number of the run end that the next poll acknowledges; zero where no end is to be acknowledged, as the poll may be
    /// carried out by a later instance, which numbers its ends anew.
    pub(crate) fn next_ack(&self) -> u64 {
        match self.highest_ackable_end() {
            number if number > self.acknowledged_end => number,
            _ => 0,
        }
    }

    /// Whether it counts when a job is checked against the workers: it is registered, or may soon be again.
    pub fn counts(&self, now: Instant) -> bool {
        self.registered || self.reregistration_deadline.is_some_and(|until| now < until)
    }

    /// Whether it has the label that a step requires.
    pub fn has_label(&self, step: &StepSpec) -> bool {
        step.label.as_ref().is_none_or(|label| self.registration.labels.contains(label))
    }

    /// Adds a run and reserves its resources.
    pub fn add_run(&mut self, task: TaskName, run: WorkerRun) {
        self.runs.insert(task, run);
        self.recompute_usage();
    }

    /// Removes a run and releases its resources.
    pub fn remove_run(&mut self, task: &TaskName) -> Option<WorkerRun> {
        let removed = self.runs.remove(task);
        self.recompute_usage();
        removed
    }

    /// Number of tasks of a step that hold resources here.
    pub fn count_of(&self, job: &str, step: StepKey) -> u32 {
        let same = |task: &&TaskName| &*task.job == job && task.key.step == step;
        u32::try_from(self.runs.keys().filter(same).count()).unwrap_or(u32::MAX)
    }

    /// Whether a task with a bound on its tail latency runs here.
    pub fn runs_latency_bound(&self) -> bool {
        self.runs.values().any(|run| run.target.is_some())
    }

    /// Whether a best-effort task runs here.
    pub fn runs_best_effort(&self) -> bool {
        self.runs.values().any(|run| run.best_effort)
    }

    fn recompute_usage(&mut self) {
        self.has_unknown_demand = self.runs.values().any(|run| !run.demand_known);
        let needs = self.runs.values().map(|run| run.need);
        self.used = needs.fold(ResourceVector::default(), |sum, need| sum.saturating_add(&need));
    }
}
