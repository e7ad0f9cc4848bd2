//! One life of a worker: what is known of its clock, its lease, its room and its runs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::graph::crash::PROBATION;
use crate::graph::exchange::{InstanceId, InstanceStart, WorkerRegistration};
use crate::graph::health::{HealthRank, WorkerHealth};
use crate::graph::job::GraphJob;
use crate::graph::name::{ImageId, RunNumber, StepKey, TaskName};
use crate::graph::spec::StepSpec;
use crate::id::{RackId, WorkerId};
use crate::resources::ResourceVector;

/// Thousandths by which a worker's clock may be slow; from the platform's contract (2%).
const SLOW_CLOCK_PERMILLE: u32 = 20;
/// Added to a lease before it counts as over: what was killed may take this long to be gone.
const LEASE_EXPIRY_MARGIN: Duration = Duration::from_millis(150);

/// Share done, in percent, from which a run's speed can be told.
const MIN_PROGRESS_PERCENT: u32 = 10;

/// Shortest time over which progress is measured: it is told in whole percent.
const MIN_MEASURE_TIME: Duration = Duration::from_millis(250);

/// Why a life of a worker counts as over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InstanceEnd {
    /// Another life answers at its address, and it had not announced that it leaves: it has crashed.
    Replaced,
    /// Another life answers under its id: it has crashed.
    Restarted,
    /// It has left as announced.
    Left,
    /// It is not registered and its lease is over.
    Vanished,
}

/// How far a run has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunPhase {
    /// The start was sent; `tries` times so far.
    Sent {
        /// Number of sends.
        tries: u32,
    },
    /// The worker has it.
    Running {
        /// The worker's clock when it said so first.
        confirmed: Duration,
    },
    /// A stop was sent.
    Stopping {
        /// The worker's clock when it answered a stop.
        answered: Option<Duration>,
        /// When the stop was sent last, or was found to be unanswered.
        sent: Instant,
    },
}

/// A run on a worker.
#[derive(Clone, Debug)]
pub struct WorkerRun {
    /// Number of the start.
    pub run: RunNumber,
    /// Room that it takes.
    pub need: ResourceVector,
    /// Whether its room is known: not that of a run of a job that this leader does not know.
    pub demand_known: bool,
    /// How far it has come.
    pub phase: RunPhase,
    /// When it was started or first seen.
    pub since: Instant,
    /// Run time that its caller declares; `None` where it ends only when it is stopped.
    pub(crate) declared_run_time: Option<Duration>,
    /// The same, where its progress tells the worker's speed.
    pub estimate: Option<Duration>,
    /// Share done in percent, and when it was measured for the worker's speed.
    pub last_measurement: (u32, Instant),
    /// Share done in percent, and when it last rose.
    pub percent: u32,
    /// When the share done last rose.
    pub progressed_at: Instant,
    /// Tail latency or processors in use, as the worker last said.
    pub reported_load: u32,
    /// Last checkpoint seen.
    pub checkpoint: String,
    /// Priority of its queue, 0 first.
    pub priority: u32,
    /// Whether it uses only processors that are left over.
    pub best_effort: bool,
    /// Whether it may be stopped to make room: no member of a gang, no lasting task.
    pub preemptible: bool,
    /// Whether a stop keeps what it has done.
    pub keeps_checkpoint: bool,
    /// Bound on its tail latency, where it serves users of its own.
    pub target: Option<Duration>,
    /// What it runs.
    pub image: Option<ImageId>,
    /// Share that it was throttled to, in percent.
    pub throttle: u32,
    /// Sends of its stop that have failed.
    pub failed_stops: u32,
    /// Until when, on the worker's clock, a start of it that was sent may still be carried out.
    pub until: Option<Duration>,
    /// Number of sends of its start by this leader.
    pub sends: u32,
    /// Whether a list of its worker has shown it.
    pub listed: bool,
    /// When its start was answered by a clock that shows a later life than the one that was heard last.
    pub(crate) taken_by_newer_instance: Option<Instant>,
    /// Whether its worker has said that it has it.
    pub begun: bool,
    /// When its worker has outlived its start for long enough; `None` once it has.
    pub probation: Option<Instant>,
    /// Whether a worker has crashed under an earlier run of its task, or is silent with this one.
    pub suspected: bool,
    /// Whether the store was told that it may crash its worker, before or since that fell silent.
    pub suspicion_stored: bool,
}

/// A life of a worker.
#[derive(Clone, Debug)]
pub struct WorkerInstance {
    /// Start of the life that answers, once it was heard; until then of the one that the store names.
    pub instance_start: InstanceStart,
    /// The worker as it registered; for one known only from the store, as much as is known.
    pub registration: WorkerRegistration,
    /// A registration of another life than the one that was heard last, and when it came: only an answer tells whether that
    /// life is later or earlier.
    announced: Option<(Instant, WorkerRegistration)>,
    /// Whether it is registered now.
    pub registered: bool,
    /// Until when it counts as one that registers again, where its registration has gone.
    pub reregistration_deadline: Option<Instant>,
    /// When it will be gone at the earliest, where it is leaving.
    pub leaves: Option<Instant>,
    /// Whether it has answered under this leader's epoch.
    pub claimed: bool,
    /// Whether the store names it as one that may run something.
    pub in_store: bool,
    /// Its clock at a moment of ours.
    clock: Option<(Duration, Instant)>,
    /// Newest list of runs, by the worker's clock.
    pub snapshot: Duration,
    /// Whether the last list was older than that.
    pub(crate) list_outdated: bool,
    /// Latest end of its lease that was sent, on its clock.
    pub lease: Option<Duration>,
    /// End of its lease that was sent with the poll that is not answered.
    pub(crate) offered_lease_end: Option<Duration>,
    /// Latest end of its lease that it has answered to.
    pub(crate) granted_lease_end: Option<Duration>,
    /// Number of the last end that was taken in.
    pub last_end: u64,
    /// Number of the last end that the store has.
    pub last_stored_end: u64,
    /// Number of the last end by a lease that ran out.
    pub last_lease_expiry: u64,
    /// Number of the first end that must not be acknowledged: its task was begun again before it was heard.
    pub withheld_end: Option<u64>,
    /// When a poll was sent that is not answered.
    pub polling: Option<Instant>,
    /// When the next poll is due.
    pub next_poll: Instant,
    /// When it answered last.
    pub last_answer: Option<Instant>,
    /// When it answered the last poll, if it has: other answers do not tell which life gives them.
    pub(crate) last_poll_answer: Option<Instant>,
    /// Calls in a row without an answer.
    pub misses: u32,
    /// When the first of them was found to have none.
    pub silent_since: Option<Instant>,
    /// Since when nothing listens at its address: its process has gone, where one that is only silent may be cut off.
    pub(crate) refused_since: Option<Instant>,
    /// Not used for new work until then.
    pub excluded_until: Option<Instant>,
    /// What became of the work it was given.
    pub health: WorkerHealth,
    /// All runs that take room.
    pub runs: BTreeMap<TaskName, WorkerRun>,
    /// Whether the room of any of them is not known.
    has_unknown_demand: bool,
    used: ResourceVector,
}

impl WorkerRun {
    /// A run of a task of a job that this leader knows, or else one that takes no room.
    pub fn new(
        run: RunNumber,
        phase: RunPhase,
        now: Instant,
        origin: Option<(&GraphJob, &StepSpec)>,
    ) -> Self {
        let step = origin.map(|(_, step)| step);
        let has = |test: fn(&StepSpec) -> bool| step.is_some_and(test);
        Self {
            run,
            need: step.map(StepSpec::reservation).unwrap_or_default(),
            demand_known: step.is_some(),
            phase,
            since: now,
            declared_run_time: step.filter(|step| !step.lasting).map(|step| step.estimate),
            estimate: step.filter(|step| indicates_speed(step)).map(|step| step.estimate),
            last_measurement: (0, now),
            percent: 0,
            progressed_at: now,
            reported_load: step
                .filter(|step| step.best_effort)
                .map_or(0, |step| step.need.millicores),
            checkpoint: String::new(),
            priority: origin.map_or(0, |(job, _)| job.rule.priority),
            best_effort: has(|step| step.best_effort),
            preemptible: has(|step| !step.gang && !step.lasting),
            keeps_checkpoint: has(|step| step.checkpoints),
            target: step.and_then(|step| step.target),
            image: step.and_then(|step| step.image.clone()),
            throttle: 100,
            failed_stops: 0,
            until: None,
            sends: 0,
            listed: false,
            taken_by_newer_instance: None,
            begun: !matches!(phase, RunPhase::Sent { .. }),
            probation: None,
            suspected: false,
            suspicion_stored: false,
        }
    }
}

/// Whether the progress of a step's tasks tells their worker's speed: not where they wait for each other
/// or live on what others leave over.
fn indicates_speed(step: &StepSpec) -> bool {
    !(step.lasting || step.best_effort || step.gang || step.estimate.is_zero())
}

impl WorkerRun {
    /// Takes in its share done; gives the work since the last measurement, as its caller declares it,
    /// and the time that it took.
    pub(crate) fn measure(&mut self, now: Instant) -> Option<(Duration, Duration)> {
        let estimate = self.estimate?;
        let (percent, at) = self.last_measurement;
        let time = now.saturating_duration_since(at);
        if time < MIN_MEASURE_TIME {
            return None;
        }
        self.last_measurement = (self.percent, now);
        Some((estimate * self.percent.saturating_sub(percent) / 100, time))
    }

    /// Its worker has said that it has it; tells whether for the first time. Sent more than once, it may have begun long after
    /// its first send, and its worker has outlived nothing by then.
    pub(crate) fn confirm(&mut self, now: Instant) -> bool {
        if std::mem::replace(&mut self.begun, true) {
            return false;
        }
        if let Some(probation) = &mut self.probation {
            *probation = now + PROBATION;
        }
        true
    }

    /// Whether it was surely carried out by the life that has listed it, and by no later one.
    pub(crate) fn is_of_one_instance(&self) -> bool {
        self.listed && self.sends <= 1
    }

    /// When it will end, from the share that is done where enough is, or else from its estimate.
    pub fn expected_end(&self, estimate: Duration) -> Instant {
        let worked = self.progressed_at.saturating_duration_since(self.since);
        match self.percent {
            percent if percent >= MIN_PROGRESS_PERCENT => self.since + worked * 100 / percent,
            _ => self.since + estimate,
        }
    }
}

impl WorkerInstance {
    /// A worker that has registered.
    pub fn new(registration: WorkerRegistration, now: Instant) -> Self {
        Self {
            instance_start: None,
            leaves: registration.leaving.map(|time_left| now + time_left),
            registration,
            announced: None,
            registered: true,
            reregistration_deadline: None,
            claimed: false,
            in_store: false,
            clock: None,
            snapshot: Duration::ZERO,
            list_outdated: false,
            lease: None,
            offered_lease_end: None,
            granted_lease_end: None,
            last_end: 0,
            last_stored_end: 0,
            last_lease_expiry: 0,
            withheld_end: None,
            polling: None,
            next_poll: now,
            last_answer: None,
            last_poll_answer: None,
            misses: 0,
            silent_since: None,
            refused_since: None,
            excluded_until: None,
            health: WorkerHealth::default(),
            runs: BTreeMap::new(),
            has_unknown_demand: false,
            used: ResourceVector::default(),
        }
    }

    /// Whether an answer or a registration comes from another life than the one that was heard last.
    pub(crate) fn is_other_instance(&self, instance_start: InstanceStart) -> bool {
        self.instance_start.is_some()
            && instance_start.is_some()
            && self.instance_start != instance_start
    }

    /// Takes in a registration.
    pub(crate) fn update_registration(&mut self, now: Instant, registration: WorkerRegistration) {
        let other_instance = self.is_other_instance(registration.instance_start);
        if other_instance {
            self.next_poll = now;
        }
        let current = self.registration.instance_start == self.instance_start
            && self.registration.address == registration.address;
        if other_instance && current {
            self.announced = Some((now, registration));
            return;
        }
        self.announced = None;
        self.leaves = match registration.leaving {
            Some(time_left) => Some(self.leaves.unwrap_or(now + time_left)),
            None => None,
        };
        self.registration = registration;
    }

    /// A poll that was sent at `asked` is answered: a registration that came before it is that of the life which answers, or
    /// an old one.
    pub(crate) fn confirm_list(&mut self, now: Instant, asked: Option<Instant>) {
        match self.announced.take() {
            Some((_, registration)) if registration.instance_start == self.instance_start => {
                self.update_registration(now, registration)
            }
            Some((at, registration)) if asked.is_none_or(|asked| asked < at) => {
                self.announced = Some((at, registration));
            }
            _ => {}
        }
    }

    /// Whether the life that answers is the one that has registered: another may have less room and other labels.
    fn is_registered(&self) -> bool {
        self.registered
            && self.announced.is_none()
            && !self.is_other_instance(self.registration.instance_start)
    }

    /// The same worker in another life, of which nothing else is known yet.
    pub(crate) fn next_instance(&self, now: Instant, instance_start: InstanceStart) -> Self {
        Self {
            instance_start,
            announced: self.announced.clone(),
            registered: self.registered,
            reregistration_deadline: self.reregistration_deadline,
            leaves: self.leaves,
            claimed: self.claimed,
            in_store: self.in_store,
            ..Self::new(self.registration.clone(), now)
        }
    }

    /// Its name.
    pub fn id(&self) -> &WorkerId {
        &self.registration.id
    }

    /// The life that was heard last.
    pub fn instance_id(&self) -> InstanceId {
        InstanceId::new(self.id().clone(), self.instance_start)
    }

    /// Where it answers.
    pub fn address(&self) -> SocketAddr {
        self.registration.address
    }

    /// Its rack.
    pub fn rack(&self) -> &RackId {
        &self.registration.rack
    }

    /// Takes in an answer's clock.
    pub fn note_answer(&mut self, now: Instant, clock: Duration) {
        self.last_answer = Some(now);
        self.misses = 0;
        self.silent_since = None;
        self.refused_since = None;
        let known = self.clock.is_none_or(|(known, _)| clock >= known);
        if known {
            self.clock = Some((clock, now));
        }
    }

    /// A call was left without an answer.
    pub fn note_silence(&mut self, now: Instant) {
        self.misses = self.misses.saturating_add(1);
        self.silent_since.get_or_insert(now);
    }

    /// What its clock surely has reached, whatever its rate.
    pub fn clock_lower_bound(&self, now: Instant) -> Option<Duration> {
        let (clock, at) = self.clock?;
        let passed = now.saturating_duration_since(at);
        Some(clock + passed * (1_000 - SLOW_CLOCK_PERMILLE) / 1_000)
    }

    /// What its clock surely had reached at a moment that may lie before the answer that told it last.
    pub(crate) fn clock_reached_by(&self, moment: Instant) -> Option<Duration> {
        let (clock, at) = self.clock?;
        let since = at.saturating_duration_since(moment);
        if since.is_zero() {
            self.clock_lower_bound(moment)
        } else {
            Some(clock.saturating_sub(since))
        }
    }

    /// End of a lease of the given length from now, on its clock, and remembers that it was sent.
    pub fn extend_lease(&mut self, now: Instant, declared_run_time: Duration) -> Option<Duration> {
        let (clock, at) = self.clock?;
        let end = clock + now.saturating_duration_since(at) + declared_run_time;
        self.lease = Some(self.lease.map_or(end, |lease| lease.max(end)));
        Some(end)
    }

    /// It has answered a call that extended its lease.
    pub(crate) fn grant_lease(&mut self, end: Option<Duration>) {
        self.granted_lease_end = self.granted_lease_end.max(end);
    }

    /// Nothing listens at its address.
    pub(crate) fn note_refused(&mut self, now: Instant) {
        self.refused_since.get_or_insert(now);
    }

    /// Whether a run that had begun surely went on until its process was gone, as was noticed by `now`: it cannot have ended
    /// unheard before, by itself or with the worker's lease.
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

    /// Reckons with the longest lease that an earlier leader may have given.
    pub fn inherit_lease(&mut self, longest: Duration) {
        if let Some((clock, _)) = self.clock {
            let end = clock + longest;
            self.lease = Some(self.lease.map_or(end, |lease| lease.max(end)));
        }
    }

    /// Whether nothing that was started there can still run.
    pub fn is_lease_expired(&self, now: Instant) -> bool {
        match (self.lease, self.clock_lower_bound(now)) {
            (Some(lease), Some(clock)) => clock > lease + LEASE_EXPIRY_MARGIN,
            _ => false,
        }
    }

    /// Whether a run whose start a later life has taken is surely over: that life holds it for the longest lease, whatever end the
    /// start gave by the clock of the life before.
    pub(crate) fn has_certainly_ended(
        &self,
        run: &WorkerRun,
        now: Instant,
        longest: Duration,
    ) -> bool {
        let held = longest * 1_000 / (1_000 - SLOW_CLOCK_PERMILLE) + LEASE_EXPIRY_MARGIN;
        run.taken_by_newer_instance
            .is_none_or(|answered| now.saturating_duration_since(answered) >= held)
    }

    /// Number up to which ends may be acknowledged.
    pub fn highest_ackable_end(&self) -> u64 {
        self.withheld_end
            .map_or(self.last_stored_end, |first| self.last_stored_end.min(first.saturating_sub(1)))
    }

    /// Never acknowledges an end whose task was begun again, unless the lease has run out since with
    /// something running: only that leaves a trace on the worker, and the end stands for good without.
    pub fn withhold_ack(&mut self, number: u64) {
        if self.last_lease_expiry < number {
            self.withheld_end = Some(self.withheld_end.map_or(number, |first| first.min(number)));
        }
    }

    /// Room that is not taken.
    pub fn free(&self) -> ResourceVector {
        self.registration.capacity.saturating_sub(&self.used)
    }

    /// What it holds beyond its room, where that has shrunk.
    pub fn excess(&self) -> ResourceVector {
        self.used.saturating_sub(&self.registration.capacity)
    }

    /// Whether it may be given new work, its room aside. One that left its last call unanswered may be
    /// cut off: it is looked at again at once, and a start that it does not get would hold its task for a
    /// whole lease.
    pub fn accepts_work(&self, now: Instant, silence: Duration) -> bool {
        self.is_registered()
            && self.leaves.is_none()
            && self.claimed
            && self.in_store
            && !self.has_unknown_demand
            && self.misses == 0
            && self.last_poll_answer.is_some()
            && self.excluded_until.is_none_or(|until| until <= now)
            && self.last_answer.is_some_and(|at| now.saturating_duration_since(at) < silence)
    }

    /// What it is good for now. Where an end is withheld, those after it are not acknowledged either, and of a long
    /// list the last are not shown: it comes last, but a shard of two workers has to use it.
    pub fn rank(&self, now: Instant) -> HealthRank {
        match self.withheld_end {
            Some(_) => self.health.rank(now).max(HealthRank::Doubtful),
            None => self.health.rank(now),
        }
    }

    /// Whether it counts where a job is judged: it is registered, or may be again soon.
    pub fn counts(&self, now: Instant) -> bool {
        self.registered || self.reregistration_deadline.is_some_and(|until| now < until)
    }

    /// Whether it has the label that a step wants.
    pub fn has_label(&self, step: &StepSpec) -> bool {
        step.label.as_ref().is_none_or(|label| self.registration.labels.contains(label))
    }

    /// Adds a run and takes its room.
    pub fn add_run(&mut self, task: TaskName, run: WorkerRun) {
        self.runs.insert(task, run);
        self.recompute_usage();
    }

    /// Removes a run and gives its room back.
    pub fn remove_run(&mut self, task: &TaskName) -> Option<WorkerRun> {
        let removed = self.runs.remove(task);
        self.recompute_usage();
        removed
    }

    /// Number of tasks of a step that hold room here.
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
