//! All workers of a leader: their polls, their leases, and the events that follow from their answers.

mod restart;

use std::collections::BTreeMap;
use std::time::Duration;

use log::{info, warn};
use tokio::time::Instant;

use crate::graph::event::GraphAction;
use crate::graph::exchange::{
    CallFailure, EndKind, InstanceId, PollReply, RunReport, UsedWorker, WorkerRefusal,
    WorkerRegistration,
};
use crate::graph::workers::fences::FenceTable;
use crate::graph::workers::late_calls::{LATE_CALL_TIME, LateCalls};
use crate::graph::workers::poll_pacer::{IDLE_WAIT, PollPacer};
use crate::graph::workers::registration_clock::RegistrationClock;
use crate::graph::workers::run::{RunPhase, WorkerRun};
use crate::graph::workers::run_costs::RunCosts;
use crate::graph::workers::speed::SpeedTable;
use crate::graph::workers::worker::{InstanceEnd, WorkerInstance};
use crate::graph::workers::worker_event::{LostRun, WorkerEvent};
use crate::graph::workload::crash::SuspectRun;
use crate::graph::workload::crash_table::CrashTable;
use crate::graph::workload::name::{RunNumber, TaskName};
use crate::id::WorkerId;

/// Lease of a worker, during which its tasks keep running without another call. The tasks of a worker that
/// stops answering are started elsewhere only after this time; a leader that crashes must be replaced within
/// it.
pub(crate) const WORKER_LEASE: Duration = Duration::from_millis(4_500);
/// Pause before the next poll while run ends wait for the store.
const STORE_PAUSE: Duration = Duration::from_millis(250);
/// Pause before the next poll of a worker whose list keeps an end that must not be acknowledged, so that it
/// answers each poll at once.
const WITHHELD_PAUSE: Duration = Duration::from_millis(250);
/// How long after an answered poll the next poll is assumed to reach the same instance. A worker does not
/// restart, and a task does not begin and end there, within this time.
const SAME_INSTANCE_TIME: Duration = Duration::from_millis(300);
/// Pause after the second consecutive poll without an answer, doubled with each further one up to
/// `MAX_MISS_PAUSE`. There is no pause after the first, since a single lost poll says nothing about the
/// worker.
const MISS_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after polls without an answer.
const MAX_MISS_PAUSE: Duration = Duration::from_millis(800);
/// A worker that has not answered for this long gets no new work.
pub(crate) const SILENCE_LIMIT: Duration = Duration::from_millis(1_900);
/// Number of consecutive calls without an answer, and time since the first of them, after which the runs on
/// probation at a worker are recorded in the store. One poll in twenty may be lost.
const SUSPECT_MISSES: u32 = 2;
const SUSPECT_SILENCE_TIME: Duration = Duration::from_millis(100);
/// How long a worker whose registration has gone still counts when a job is checked against the workers.
/// Registrations that expired while the store was away are back two seconds after it, and the watch reports
/// them later.
pub(crate) const REREGISTRATION_TIME: Duration = Duration::from_millis(2_500);
/// Number of heartbeats after the last report of a leaving worker within which its registration is not removed for
/// silence, which takes three.
const LEAVING_HEARTBEATS: u32 = 2;
/// Shortest time from one poll to the next, so that ends close together share an answer.
const POLL_GAP: Duration = Duration::from_millis(15);

/// Changes of classes of speed that a review logs one by one; it takes place twice a second.
const MAX_LOGGED_CLASS_CHANGES: usize = 5;

/// All workers.
#[derive(Debug, Default)]
pub struct InstanceTable {
    instances: BTreeMap<WorkerId, WorkerInstance>,
    crashes: CrashTable,
    pacer: PollPacer,
    /// Longest lease that a worker accepts.
    max_lease: Duration,
    run_costs: RunCosts,
    /// Interval at which workers report to the store; zero where it is not known.
    heartbeat: Duration,
    speeds: SpeedTable,
    pub(crate) late_calls: LateCalls,
    fences: FenceTable,
    pub(crate) registration_clock: RegistrationClock,
}

impl InstanceTable {
    /// Creates an empty table.
    pub fn new(max_lease: Duration, run_costs: RunCosts) -> Self {
        Self { max_lease, run_costs, ..Self::default() }
    }

    /// Sets the interval at which workers report to the store.
    pub fn with_heartbeat(self, heartbeat: Duration) -> Self {
        Self { heartbeat, ..self }
    }

    /// Returns a worker.
    pub fn get(&self, id: &WorkerId) -> Option<&WorkerInstance> {
        self.instances.get(id)
    }

    /// Returns a worker for modification.
    pub(crate) fn get_mut(&mut self, id: &WorkerId) -> Option<&mut WorkerInstance> {
        self.instances.get_mut(id)
    }

    /// What it costs to stop or displace runs.
    pub(crate) fn run_costs(&self) -> &RunCosts {
        &self.run_costs
    }

    /// Adds a run to a worker. It takes longer where its data is on another rack.
    pub(crate) fn add_run(&mut self, worker: &WorkerId, task: TaskName, run: WorkerRun) {
        if let Some(instance) = self.instances.get_mut(worker) {
            let is_remote = run.affinity.as_ref().is_some_and(|rack| rack != instance.rack());
            let distance_factor = if is_remote { self.run_costs.remote_rack_factor } else { 1.0 };
            instance.add_run(task, WorkerRun { distance_factor, ..run });
        }
    }

    /// Speed of a worker relative to the mean of all workers; `None` where it is not known.
    pub fn relative_speed(&self, now: Instant, worker: &WorkerId) -> Option<f64> {
        self.speeds.relative_speed(now, &self.get(worker)?.speed)
    }

    /// Speeds of the classes that the workers form, slowest first; at most one where they are alike.
    pub fn class_speeds(&self) -> Vec<f64> {
        self.speeds.class_speeds()
    }

    /// All workers.
    pub fn iter(&self) -> impl Iterator<Item = &WorkerInstance> + Clone {
        self.instances.values()
    }

    /// Workers that may get new work, leaving their free capacity aside.
    pub(crate) fn accepting_work(&self, now: Instant) -> impl Iterator<Item = &WorkerInstance> {
        let clock = &self.registration_clock;
        self.iter().filter(move |instance| {
            clock.is_current(instance.registration_read)
                && instance.accepts_work(now, SILENCE_LIMIT)
        })
    }

    /// Whether a start may be sent to a worker again.
    pub(crate) fn may_retry_start(&self, id: &WorkerId) -> bool {
        self.get(id).is_some_and(|instance| {
            instance.is_available()
                && self.registration_clock.is_current(instance.registration_read)
        })
    }

    /// All workers, for modification.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut WorkerInstance> {
        self.instances.values_mut()
    }

    /// Notes a run of an earlier leader that may have crashed its worker.
    pub(crate) fn inherit_suspect_run(
        &mut self,
        now: Instant,
        task: TaskName,
        suspect_run: SuspectRun,
    ) {
        self.crashes.note_suspect_run(now, task, suspect_run, None);
    }

    /// Whether the machine of a worker has crashed recently.
    pub(crate) fn crashed_recently(&self, now: Instant, instance: &WorkerInstance) -> bool {
        self.crashes.crashed_recently(now, &instance.address())
    }

    /// Applies a registration. If two instances have registered with the same address, only an answer of the
    /// worker shows which of them has ended, as the older one may register once more after the newer. So the
    /// other instances at the address are polled at once, and the worker refuses calls to an ended instance.
    /// When the last registration was assumed to be the newer one, up to 13 tasks a day ran twice on days on
    /// which workers crash while a network partition cuts them off.
    ///
    /// Returns whether it is the first one that shows a restart which no answer has shown yet.
    pub(crate) fn register(&mut self, now: Instant, registration: WorkerRegistration) -> bool {
        let others = self.instances.values_mut().filter(|instance| {
            instance.address() == registration.address && *instance.id() != registration.id
        });
        for other in others {
            other.next_poll = now;
        }
        match self.instances.get_mut(&registration.id) {
            Some(instance) => {
                if instance.registration != registration {
                    instance.reported_since = self.registration_clock.known_until(now);
                }
                (instance.registered, instance.reregistration_deadline) = (true, None);
                (instance.registration_read, instance.has_left) = (now, false);
                let was_shown = instance.has_unheard_instance();
                if instance.is_other_instance(registration.instance_start) {
                    instance.note_restart_registered(now);
                }
                instance.update_registration(now, registration);
                instance.in_store && !was_shown && instance.has_unheard_instance()
            }
            None => {
                let fence = self.fences.first_offset(now, &registration.id);
                let instance = WorkerInstance::new(registration, now).with_fence(fence);
                self.instances.insert(instance.id().clone(), instance);
                false
            }
        }
    }

    /// Sets when the registration of a worker was read, where that was earlier than its use.
    pub(crate) fn set_registration_read(&mut self, id: &WorkerId, read: Instant) {
        if let Some(instance) = self.instances.get_mut(id) {
            instance.registration_read = read;
            instance.reported_since = None;
        }
    }

    /// Forgets when workers last reported: the clock has not counted all the time since.
    pub(crate) fn forget_reports(&mut self) {
        self.instances.values_mut().for_each(|instance| instance.reported_since = None);
    }

    /// Adds a worker that the store names, before or without its registration.
    pub(crate) fn restore_used(
        &mut self,
        now: Instant,
        used: &UsedWorker,
        registration: WorkerRegistration,
    ) {
        let instance = self.instances.entry(used.id.clone()).or_insert_with(|| {
            let mut instance = WorkerInstance::new(registration, now);
            instance.registered = false;
            instance
        });
        instance.in_store = true;
        instance.stored_longest_lease = used.longest_lease;
        instance.stored_late_calls = used.late_calls;
        instance.instance_start = used.instance_start;
        if used.leaving {
            instance.leaves_at.get_or_insert(now);
        }
    }

    /// Notes that a registration has gone. The worker may still run, and register again. A leaving worker has left if
    /// its registration is removed earlier after its last report than for silence; a removed registration alone does not
    /// show it, nor does a refused connection, as both come about where a worker is cut off.
    pub(crate) fn unregister(&mut self, now: Instant, id: &WorkerId) {
        let silence = self.heartbeat * LEAVING_HEARTBEATS;
        if let Some(instance) = self.instances.get_mut(id)
            && std::mem::replace(&mut instance.registered, false)
        {
            let leaving = instance.leaves_at.is_some();
            instance.reregistration_deadline = (!leaving).then(|| now + REREGISTRATION_TIME);
            let reported =
                instance.reported_since.map(|since| now.saturating_duration_since(since));
            instance.has_left = leaving && reported.is_some_and(|reported| reported < silence);
            if leaving {
                let (worker, runs, has_left) = (&**id, instance.runs.len(), instance.has_left);
                let reported_ms = reported.map(|reported| reported.as_millis() as u64);
                info!(worker, runs, has_left, reported_ms:?; "registration of a leaving worker has gone");
            }
        }
    }

    /// Stops using a worker that may still be registered.
    pub(crate) fn stop_using(&mut self, id: &WorkerId) {
        if let Some(instance) = self.instances.get_mut(id) {
            (instance.registered, instance.reregistration_deadline) = (false, None);
        }
    }

    /// Handles an answer that shows another instance in place of this one.
    pub(crate) fn instance_replaced(&mut self, now: Instant, id: &WorkerId) -> Vec<WorkerEvent> {
        let Some(instance) = self.instances.get(id) else {
            return Vec::new();
        };
        if instance.leaves_at.is_some() {
            return self.end_instance(now, id, InstanceEnd::Left);
        }
        let silent = self.other_silences(id);
        let crash = self.crashes.note_crash(now, instance, &silent);
        let mut events = self.end_instance(now, id, InstanceEnd::Replaced);
        events.push(WorkerEvent::Crashed(crash));
        events
    }

    /// Times since which the other silent workers have been silent.
    fn other_silences(&self, id: &WorkerId) -> Vec<Instant> {
        let others = self.instances.values().filter(|other| other.id() != id);
        others.filter_map(|other| other.silent_since).collect()
    }

    /// Removes an instance that has ended; all its runs are lost.
    fn end_instance(&mut self, now: Instant, id: &WorkerId, end: InstanceEnd) -> Vec<WorkerEvent> {
        let Some(instance) = self.instances.remove(id) else {
            return Vec::new();
        };
        self.fences.note_gone(now, id.clone(), instance.fence);
        if instance.leaves_at.is_some() {
            self.crashes.forget_instance(&instance.instance_id());
        }
        let mut events = vec![WorkerEvent::InstanceEnded(id.clone(), end)];
        let lost = instance
            .runs
            .into_iter()
            .map(|(task, run)| LostRun::new(task, run, instance.last_answer));
        events.extend(lost.map(|lost| WorkerEvent::Lost(id.clone(), lost)));
        events
    }

    /// Returns the polls that are due. Without `extend`, leases are left as they are. So are leases of
    /// workers that left the last call unanswered: a poll that may still arrive counts as an extension, and a
    /// worker that is cut off for 6 s would hold its tasks for 10 s instead of 5.
    pub(crate) fn due_polls(&mut self, now: Instant, extend: bool) -> Vec<GraphAction> {
        let due = |instance: &&mut WorkerInstance| {
            instance.poll_sent.is_none() && instance.next_poll <= now
        };
        let busy_wait = self.pacer.busy_wait(now, self.instances.len());
        let mut polls = Vec::new();
        for instance in self.instances.values_mut().filter(due) {
            instance.poll_sent = Some(now);
            // The lease of an idle worker without registration is not extended: otherwise it would never
            // expire and the worker would be polled forever.
            let is_used = instance.registered || !instance.runs.is_empty();
            // Each instance has its own numbers for ends. Another instance would drop its first ends unread
            // if a number of this instance were acknowledged.
            let same_instance =
                instance.last_poll_answer.is_some_and(|at| now - at <= SAME_INSTANCE_TIME);
            // Its lease has to expire before the ends on a blocked list may be acknowledged.
            let may_extend = instance.misses == 0 && !instance.is_list_blocked();
            let until = match extend && is_used && may_extend {
                true => instance.extend_lease(now, WORKER_LEASE),
                false => None,
            };
            instance.offered_lease_end = until;
            instance.offered_ack = if same_instance { instance.next_ack() } else { 0 };
            instance.offered_fence = Some(instance.fence);
            let ends_stored =
                instance.last_stored_end == instance.last_end && instance.withheld_end.is_none();
            let may_wait = instance.is_fenced && ends_stored && instance.misses == 0;
            let wait = match may_wait {
                true if instance.runs.is_empty() => IDLE_WAIT,
                true => busy_wait,
                false => Duration::ZERO,
            };
            polls.push(GraphAction::Poll {
                worker: instance.id().clone(),
                address: instance.address(),
                until,
                acked: instance.offered_ack,
                fence: instance.fence,
                wait,
            });
        }
        polls
    }

    /// When the next poll is due.
    pub(crate) fn next_poll(&self) -> Option<Instant> {
        let idle = self.instances.values().filter(|instance| instance.poll_sent.is_none());
        idle.map(|instance| instance.next_poll).min()
    }

    /// Handles the answer to a poll.
    pub(crate) fn handle_poll_result(
        &mut self,
        now: Instant,
        id: &WorkerId,
        reply: PollReply,
    ) -> Vec<WorkerEvent> {
        let mut events = self.note_poll_answer(now, id, &reply);
        let Some(instance) = self.instances.get_mut(id) else {
            return events;
        };
        if let Some(first) = reply.ended.first().map(|end| end.number)
            && instance.last_end > 0
            && first > instance.last_end + 1
        {
            let (after, worker) = (instance.last_end, &**id);
            warn!(worker, after, first; "run ends are missing from the list of a worker");
            metrics::counter!("kelplink_missing_ends_total").increment(first - after - 1);
        }
        let (listed_ends, has_more_ends) = (reply.ended.len(), reply.has_more_ends);
        for end in reply.ended {
            if end.number > instance.last_end {
                instance.note_end(end.number, end.task.job.clone());
                if end.kind == EndKind::Lapsed {
                    instance.last_lease_expiry = end.number;
                }
                if instance.runs.get(&end.task).is_some_and(|run| run.run == end.run)
                    && let Some(mut run) = instance.remove_run(&end.task)
                    && end.kind == EndKind::Done
                    && run.is_of_one_instance()
                {
                    let worker = (id, &mut instance.speed);
                    self.speeds.note_progress(now, worker, &end.task, &mut run, 100);
                }
                match end.kind {
                    EndKind::Done => instance.health.note_success(),
                    EndKind::Failed => instance.health.note_failure(now, &end.task.job),
                    EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => {}
                }
                events.push(WorkerEvent::Ended(id.clone(), end));
            }
        }
        if reply.clock < instance.newest_list_clock {
            let (newest, clock) = (instance.newest_list_clock.as_millis(), reply.clock.as_millis());
            if !std::mem::replace(&mut instance.list_outdated, true) {
                warn!(worker = &**id, newest_ms = newest as u64, clock_ms = clock as u64; "list of runs is older than a previous list of the worker");
            }
            metrics::counter!("kelplink_overtaken_lists_total").increment(1);
        } else {
            instance.list_outdated = false;
            instance.newest_list_clock = reply.clock;
            if has_more_ends && !instance.has_unlisted_ends {
                warn!(worker = &**id, listed_ends; "a worker may have more ends than it lists");
                metrics::counter!("kelplink_partial_end_lists_total").increment(1);
            }
            let listed_all_before = instance.has_listed_all;
            instance.note_listed_ends(has_more_ends);
            let running =
                apply_running_list(instance, &mut self.speeds, now, reply.running, reply.clock);
            let lost =
                running.iter().filter(|event| matches!(event, WorkerEvent::Lost(..))).count();
            if lost > 0 {
                let (worker, kept) = (&**id, instance.runs.len());
                warn!(worker, lost, kept, listed_ends; "runs are neither running nor ended on the lists of a worker");
            }
            events.extend(running);
            if instance.has_listed_all && !listed_all_before {
                events.push(WorkerEvent::ListedAll(id.clone()));
            }
        }
        if instance.withheld_end.is_some_and(|number| number < instance.last_lease_expiry) {
            instance.withheld_end = None;
        }
        instance.next_poll = match instance.last_stored_end == instance.last_end {
            _ if instance.withheld_end.is_some() => now + WITHHELD_PAUSE,
            true => now + POLL_GAP,
            false => now + STORE_PAUSE,
        };
        self.review_speeds(now);
        events
    }

    /// Assigns the workers to classes of speed, where that is due.
    fn review_speeds(&mut self, now: Instant) {
        if !self.speeds.needs_review(now) {
            return;
        }
        let workers = self.instances.iter_mut().map(|(id, instance)| (id, &mut instance.speed));
        let changes = self.speeds.review(now, workers);
        let speeds = self.speeds.class_speeds();
        if let (Some(slowest), Some(fastest)) = (speeds.first(), speeds.last()) {
            metrics::gauge!("kelplink_worker_speed_spread").set(fastest / slowest);
        }
        for change in changes.iter().take(MAX_LOGGED_CLASS_CHANGES) {
            let (worker, from, to, speed) =
                (&*change.worker, change.from, change.to, change.relative_speed);
            info!(worker, from, to, speed; "class of speed of a worker has changed");
        }
        if let Some(unlogged) = changes.len().checked_sub(MAX_LOGGED_CLASS_CHANGES + 1) {
            info!(workers = unlogged + 1; "further workers have changed their class of speed");
        }
    }

    /// Updates instance, clock and lease of a worker from its answer to a poll.
    fn note_poll_answer(
        &mut self,
        now: Instant,
        id: &WorkerId,
        reply: &PollReply,
    ) -> Vec<WorkerEvent> {
        let Some(instance) = self.instances.get_mut(id) else {
            return Vec::new();
        };
        if instance.misses == 1 {
            self.pacer.note_lost(now);
        }
        let known_instance = instance.instance_start == reply.instance_start;
        let mut events = match instance.is_other_instance(reply.instance_start) {
            true => self.handle_restart(now, id, reply),
            false => Vec::new(),
        };
        let Some(instance) = self.instances.get_mut(id) else {
            return events;
        };
        instance.instance_start = reply.instance_start.or(instance.instance_start);
        let poll_sent = instance.poll_sent.take();
        instance.resolve_pending_registration(now, poll_sent);
        instance.last_poll_answer = Some(now);
        instance.note_answer(now, reply.clock);
        let offered_lease_end = instance.offered_lease_end.take();
        instance.grant_lease(offered_lease_end);
        instance.acknowledged_end = instance.acknowledged_end.max(instance.offered_ack);
        let claimed = std::mem::replace(&mut instance.claimed, true);
        let becomes_fenced = !instance.is_fenced && instance.is_own_fence(reply.fence);
        // The worker's lease may have been extended on the clock of a previous instance.
        if !known_instance || (!claimed && instance.stored_longest_lease) {
            // A late start extends it even where it is refused as one of an ended run.
            let late_call_time = match becomes_fenced {
                true => Duration::ZERO,
                false => self.late_calls.time_left(now, id),
            };
            instance.inherit_lease(now, self.max_lease + late_call_time);
            if !late_call_time.is_zero() {
                instance.note_late_calls(now + late_call_time);
            }
        } else if !claimed {
            instance.inherit_lease(now, self.max_lease.min(WORKER_LEASE));
        }
        if becomes_fenced {
            instance.note_fenced(self.max_lease);
        }
        let (instance_id, address) = (instance.instance_id(), instance.address());
        let mut crashed = self.crashes.handle_answer(now, &instance_id);
        if !claimed || !known_instance {
            events.extend(self.stop_late_starts(now, id, reply));
        }
        if !claimed {
            events.push(WorkerEvent::Claimed(id.clone()));
            let known = |id: &WorkerId| self.instances.contains_key(id);
            crashed.extend(self.crashes.handle_successor(now, address, known));
        }
        events.extend(crashed.into_iter().map(WorkerEvent::Crashed));
        events
    }

    /// Notes that a start was not answered. Where it was sent to an earlier instance, the one that has answered since may
    /// still carry it out, and returns whether that is so.
    pub(crate) fn note_unanswered_start(
        &mut self,
        now: Instant,
        id: &InstanceId,
        task: &TaskName,
        run: RunNumber,
    ) -> bool {
        self.late_calls.note_start(now, id.worker.clone(), task.clone(), run);
        let Some(instance) = self.instances.get_mut(&id.worker) else {
            return false;
        };
        let is_at_next_instance = instance.instance_start != id.instance_start;
        if is_at_next_instance && !instance.is_fenced {
            instance.inherit_lease(now, self.max_lease + LATE_CALL_TIME);
            instance.note_late_calls(now + LATE_CALL_TIME);
        }
        is_at_next_instance
    }

    /// Notes that ends up to a number are stored, to be acknowledged with the next poll.
    pub(crate) fn ends_stored(&mut self, now: Instant, id: &InstanceId, number: u64) {
        if let Some(instance) = self.instances.get_mut(&id.worker)
            && instance.instance_start == id.instance_start
            && instance.last_stored_end < number
        {
            instance.note_ends_stored(number);
            if instance.last_stored_end == instance.last_end {
                instance.next_poll = instance.next_poll.min(now + POLL_GAP);
            }
        }
    }

    /// Handles a failed poll.
    pub(crate) fn poll_failed(
        &mut self,
        now: Instant,
        id: &WorkerId,
        failure: &CallFailure,
    ) -> Vec<WorkerEvent> {
        let Some(instance) = self.instances.get_mut(id) else {
            return Vec::new();
        };
        instance.poll_sent = None;
        instance.last_poll_answer = None;
        if let (CallFailure::NoAnswer, Some(until)) = (failure, instance.offered_lease_end) {
            let lease_end_ms = until.as_millis() as u64;
            info!(worker = &**id, lease_end_ms; "poll that extends the lease was not answered");
            metrics::counter!("kelplink_unanswered_extensions_total").increment(1);
            self.late_calls.note_poll(now, id.clone());
        }
        instance.note_silence(now);
        if instance.misses == SUSPECT_MISSES && !instance.runs.is_empty() {
            let (worker, runs) = (&**id, instance.runs.len());
            let lease_ms = instance.remaining_lease(now).as_millis() as u64;
            info!(worker, runs, lease_ms; "runs of a silent worker are kept while it may hold its lease");
        }
        instance.next_poll = now + miss_pause(instance.misses);
        if let CallFailure::NothingThere = failure {
            instance.note_refused(now);
        }
        match failure {
            CallFailure::Refused(WorkerRefusal::OtherLife) => self.instance_replaced(now, id),
            // A call to an earlier instance was refused, which the token of the present one does not allow.
            CallFailure::Refused(WorkerRefusal::Deposed)
                if instance.offered_fence != Some(instance.fence) =>
            {
                Vec::new()
            }
            CallFailure::Refused(WorkerRefusal::Deposed) => {
                vec![WorkerEvent::Deposed(id.clone())]
            }
            CallFailure::NothingThere if instance.has_left => {
                self.end_instance(now, id, InstanceEnd::Left)
            }
            _ => Vec::new(),
        }
    }

    /// Returns runs on probation that have begun on workers that have fallen silent. They are stored before
    /// it is known whether the worker has crashed, as a crashed worker is back only seconds later: if the
    /// leader were lost in between, the next one would start counting from zero.
    pub(crate) fn crash_suspicions(&mut self, now: Instant) -> Vec<WorkerEvent> {
        let silent = |instance: &&mut WorkerInstance| {
            let since = instance.silent_since.filter(|_| instance.misses >= SUSPECT_MISSES);
            since.is_some_and(|since| now.saturating_duration_since(since) >= SUSPECT_SILENCE_TIME)
        };
        let mut events = Vec::new();
        for instance in self.instances.values_mut().filter(silent) {
            let new = instance.runs.iter().filter(|(_, run)| run.begun && !run.suspicion_stored);
            let suspect_runs: Vec<(TaskName, SuspectRun)> = new
                .filter_map(|(task, run)| Some((task.clone(), instance.suspect_run(run)?)))
                .collect();
            for (task, suspect_run) in suspect_runs {
                if let Some(run) = instance.runs.get_mut(&task) {
                    (run.suspicion_stored, run.suspected) = (true, true);
                }
                events.push(WorkerEvent::CrashSuspected(task, suspect_run));
            }
        }
        events
    }

    /// Removes the runs of workers whose lease has certainly expired, and reports them as given up.
    pub(crate) fn expired_runs(&mut self, now: Instant) -> Vec<WorkerEvent> {
        let (mut events, max_lease) = (Vec::new(), self.max_lease);
        for instance in self.instances.values_mut() {
            instance.unblock_list(now);
            if instance.runs.is_empty() || !instance.is_lease_expired(now) {
                continue;
            }
            let ended = instance
                .runs
                .iter()
                .filter(|(_, run)| instance.has_certainly_ended(run, now, max_lease));
            let tasks: Vec<TaskName> = ended.map(|(task, _)| task.clone()).collect();
            for task in tasks {
                if let Some(run) = instance.remove_run(&task) {
                    let suspect_run = instance.suspect_run(&run);
                    if let Some(suspect_run) = suspect_run.clone() {
                        self.crashes.note_suspect_run(
                            now,
                            task.clone(),
                            suspect_run,
                            instance.silent_since,
                        );
                    }
                    let lost = LostRun::new(task, run, instance.last_answer);
                    events.push(WorkerEvent::GivenUp(instance.id().clone(), lost, suspect_run));
                }
            }
        }
        events
    }

    /// Removes workers that are not registered and can run nothing any more. Once everything from before this
    /// leader's term has ended (`settled`), this includes workers that have never answered.
    pub(crate) fn remove_vanished(&mut self, now: Instant, settled: bool) -> Vec<WorkerEvent> {
        let is_gone = |instance: &&WorkerInstance| {
            // A task of an earlier leader may have an end that is not listed yet.
            let can_run_nothing = match instance.claimed {
                true => instance.is_lease_expired(now) && (instance.has_listed_all || settled),
                false => settled,
            };
            let expected = instance.misses == 0 && instance.counts(now);
            !instance.registered && !expected && instance.runs.is_empty() && can_run_nothing
        };
        let gone: Vec<WorkerId> =
            self.instances.values().filter(is_gone).map(|instance| instance.id().clone()).collect();
        gone.iter().flat_map(|id| self.end_instance(now, id, InstanceEnd::Vanished)).collect()
    }

    /// Whether the store says that the lease of a worker may be the longest one, or that late calls may extend it, and
    /// this is not so any more.
    pub(crate) fn has_outdated_leases(&self, now: Instant) -> bool {
        let is_outdated = |instance: &WorkerInstance| {
            let outdated_lease =
                instance.stored_longest_lease && !instance.may_hold_longest_lease(now);
            let outdated_calls =
                instance.stored_late_calls && !self.may_take_late_calls(now, instance);
            instance.in_store && (outdated_lease || outdated_calls)
        };
        self.instances.values().any(is_outdated)
    }

    /// Whether a worker may carry out calls that were meant for an earlier instance of it.
    pub(crate) fn may_take_late_calls(&self, now: Instant, instance: &WorkerInstance) -> bool {
        let are_unanswered = || !self.late_calls.time_left(now, instance.id()).is_zero();
        instance.may_take_late_calls(now, are_unanswered)
    }

    /// Notes that the store names a worker as in use.
    pub(crate) fn note_stored(&mut self, used: &UsedWorker) {
        if let Some(instance) = self.instances.get_mut(&used.id)
            && instance.instance_start == used.instance_start
        {
            (instance.in_store, instance.stored_longest_lease) = (true, used.longest_lease);
            instance.stored_late_calls = used.late_calls;
        }
    }

    /// Workers to be recorded in the store as in use.
    pub(crate) fn in_use(&self, now: Instant) -> Vec<UsedWorker> {
        let claimed =
            self.instances.values().filter(|instance| instance.claimed || instance.in_store);
        let used = |instance: &WorkerInstance| UsedWorker {
            id: instance.id().clone(),
            address: instance.address(),
            domain: instance.registration.domain.clone(),
            instance_start: instance.instance_start,
            leaving: instance.leaves_at.is_some(),
            longest_lease: instance.may_hold_longest_lease(now),
            late_calls: self.may_take_late_calls(now, instance),
        };
        claimed.map(used).collect()
    }
}

/// Pause after a number of consecutive polls without an answer.
fn miss_pause(misses: u32) -> Duration {
    match misses {
        0 | 1 => Duration::ZERO,
        more => (MISS_PAUSE * (1 << (more - 2).min(4))).min(MAX_MISS_PAUSE),
    }
}

impl WorkerInstance {
    /// Returns the run as a suspect if it is on probation and its worker has not announced that it leaves.
    fn suspect_run(&self, run: &WorkerRun) -> Option<SuspectRun> {
        let is_suspect = run.probation.is_some() && self.leaves_at.is_none();
        let (worker, address, instance_start) =
            (self.id().clone(), self.address(), self.instance_start);
        is_suspect.then_some(SuspectRun { run: run.run, worker, address, instance_start })
    }
}

/// Applies a worker's list of running tasks to its known runs.
fn apply_running_list(
    instance: &mut WorkerInstance,
    speeds: &mut SpeedTable,
    now: Instant,
    running: Vec<RunReport>,
    clock: Duration,
) -> Vec<WorkerEvent> {
    let id = instance.id().clone();
    let mut events = Vec::new();
    let (mut work, mut time) = (Duration::ZERO, Duration::ZERO);
    let (mut compared_work, mut compared_time) = (Duration::ZERO, Duration::ZERO);
    let mut listed = BTreeMap::new();
    for report in running {
        listed.insert(report.task.clone(), report.run);
        match instance.runs.get_mut(&report.task).filter(|run| run.run == report.run) {
            Some(run) => {
                run.listed = true;
                if let RunPhase::Sent { .. } = run.phase {
                    run.phase = RunPhase::Running { confirmed: clock };
                }
                if run.confirm(now) {
                    events.push(WorkerEvent::Confirmed(
                        id.clone(),
                        report.task.clone(),
                        report.run,
                    ));
                }
                if report.percent != run.percent {
                    run.percent = report.percent;
                    run.progressed_at = now;
                }
                if run.probation.is_some_and(|end| end <= now) {
                    run.probation = None;
                    if run.suspected || run.suspicion_stored {
                        events.push(WorkerEvent::Survived(report.task.clone(), report.run));
                    }
                }
                run.reported_load = report.reported_load;
                run.checkpoint = report.checkpoint;
                let (done, took) = run.measure(now).unwrap_or_default();
                work += done;
                time += took;
                let worker = (&id, &mut instance.speed);
                speeds.note_progress(now, worker, &report.task, run, report.percent);
                if !took.is_zero()
                    && let Some(estimate) = run.estimate
                    && let Some(run_time) = speeds.run_time_elsewhere(&id, &report.task)
                {
                    let share = done.as_secs_f64() / estimate.as_secs_f64();
                    compared_work += run_time.mul_f64(share * run.distance_factor);
                    compared_time += took;
                }
            }
            None => events.push(WorkerEvent::Unknown(id.clone(), report)),
        }
    }
    // Runs of a step that also runs elsewhere show the speed even where their declared time is wrong.
    match compared_time.is_zero() {
        true => instance.health.note_work(now, work, time),
        false => instance.health.note_work(now, compared_work, compared_time),
    }
    let has_unlisted_ends = instance.has_unlisted_ends;
    let is_gone = |(task, run): &(&TaskName, &WorkerRun)| {
        if has_unlisted_ends {
            return false;
        }
        let since = match run.phase {
            // A worker refuses a start once the time that it is valid for has passed on its clock. Without
            // this rule, a worker that answered polls but neither starts nor stops blocked a task forever.
            RunPhase::Sent { .. } | RunPhase::Stopping { answered: None, .. } => match run.until {
                Some(until) => until,
                None => return false,
            },
            RunPhase::Running { confirmed } => confirmed,
            RunPhase::Stopping { answered: Some(answered), .. } => answered,
        };
        since < clock && listed.get(*task) != Some(&run.run)
    };
    let gone: Vec<TaskName> =
        instance.runs.iter().filter(is_gone).map(|(task, _)| task.clone()).collect();
    for task in gone {
        if let Some(run) = instance.remove_run(&task) {
            events.push(WorkerEvent::Lost(id.clone(), LostRun::new(task, run, Some(now))));
        }
    }
    events
}
