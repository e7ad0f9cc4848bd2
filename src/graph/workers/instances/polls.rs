//! Polls of workers: when they are due, and what follows from their answers.

use std::time::Duration;

use log::{info, warn};
use tokio::time::Instant;

use crate::graph::event::GraphAction;
use crate::graph::exchange::{CallFailure, EndKind, InstanceId, PollReply, WorkerRefusal};
use crate::graph::workers::instances::ends::SUSPECT_MISSES;
use crate::graph::workers::instances::running_list::apply_running_list;
use crate::graph::workers::instances::{InstanceTable, WORKER_LEASE};
use crate::graph::workers::poll_pacer::IDLE_WAIT;
use crate::graph::workers::worker::{InstanceEnd, WorkerInstance};
use crate::graph::workers::worker_event::WorkerEvent;
use crate::id::WorkerId;

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
/// Shortest time from one poll to the next, so that ends close together share an answer.
const POLL_GAP: Duration = Duration::from_millis(15);
/// Changes of classes of speed that a review logs one by one; it takes place twice a second.
const MAX_LOGGED_CLASS_CHANGES: usize = 5;

impl InstanceTable {
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
            let late_call_time = self.late_calls.time_left(now, id);
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
            // A refused token of an earlier instance shows no later leader.
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
}

/// Pause after a number of consecutive polls without an answer.
fn miss_pause(misses: u32) -> Duration {
    match misses {
        0 | 1 => Duration::ZERO,
        more => (MISS_PAUSE * (1 << (more - 2).min(4))).min(MAX_MISS_PAUSE),
    }
}
