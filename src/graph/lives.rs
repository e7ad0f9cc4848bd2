//! All workers of a leader: polls, leases, and what their answers say of runs.

mod restart;

use std::collections::BTreeMap;
use std::time::Duration;

use log::warn;
use tokio::time::Instant;

use crate::graph::crash::RunTrial;
use crate::graph::crash_table::CrashTable;
use crate::graph::event::GraphAction;
use crate::graph::exchange::{
    CallFailure, EndKind, LifeId, PollReply, RunReport, UsedWorker, WorkerListing, WorkerRefusal,
};
use crate::graph::life_finding::{LifeFinding, LostRun};
use crate::graph::name::TaskName;
use crate::graph::poll_rhythm::{IDLE_WAIT, PollRhythm};
use crate::graph::worker::{LifeEnd, RunPhase, WorkerLife, WorkerRun};
use crate::id::WorkerId;

/// How long what runs at a worker goes on without another call. A worker that dies holds its tasks
/// for that long; a leader that dies must be replaced within it.
pub(crate) const WORKER_LEASE: Duration = Duration::from_millis(4_500);
/// Pause before the next poll while ends wait for the store.
const STORE_PAUSE: Duration = Duration::from_millis(250);
/// Pause before the next poll of a worker that lists an end for good: it answers each at once.
const WITHHELD_PAUSE: Duration = Duration::from_millis(250);
/// How long after a list the life that gave it counts as the one that the next poll reaches. A worker does not start again,
/// and a task does not begin and end there, within that time.
const SAME_LIFE: Duration = Duration::from_millis(300);
/// Pause after the second poll in a row without an answer, doubled with each up to the longest. After the
/// first there is none: a single poll that was lost says nothing of the worker.
const MISS_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after polls without an answer.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// A worker that has not answered for this long is given no new work.
pub(crate) const SILENCE: Duration = Duration::from_millis(1_900);
/// Calls in a row without an answer, and time since the first, from which the runs on probation at a worker are kept
/// in the store: of the polls one in twenty may be lost.
const DOUBTED_MISSES: u32 = 2;
const DOUBTED_SILENCE: Duration = Duration::from_millis(100);
/// How long a worker whose registration has gone counts on where a job is judged: registrations that expired while the
/// store was away are back two seconds after it, and the watch tells of them later.
pub(crate) const RETURN_TIME: Duration = Duration::from_millis(2_500);
/// Shortest time from one poll to the next: ends that come close together share an answer.
const POLL_GAP: Duration = Duration::from_millis(15);

/// All workers.
#[derive(Debug, Default)]
pub struct LifeTable {
    lives: BTreeMap<WorkerId, WorkerLife>,
    crashes: CrashTable,
    rhythm: PollRhythm,
    /// Longest lease that a worker takes.
    longest_lease: Duration,
}

impl LifeTable {
    /// No workers yet.
    pub fn new(longest_lease: Duration) -> Self {
        Self { longest_lease, ..Self::default() }
    }

    /// One worker.
    pub fn get(&self, id: &WorkerId) -> Option<&WorkerLife> {
        self.lives.get(id)
    }

    /// One worker, to change.
    pub(crate) fn get_mut(&mut self, id: &WorkerId) -> Option<&mut WorkerLife> {
        self.lives.get_mut(id)
    }

    /// All workers.
    pub fn iter(&self) -> impl Iterator<Item = &WorkerLife> + Clone {
        self.lives.values()
    }

    /// All workers, to change.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut WorkerLife> {
        self.lives.values_mut()
    }

    /// A run of an earlier leader may have crashed its worker.
    pub(crate) fn inherit_trial(&mut self, now: Instant, task: TaskName, trial: RunTrial) {
        self.crashes.note_trial(now, task, trial, None);
    }

    /// Whether the machine of a worker has crashed lately.
    pub(crate) fn crashed_lately(&self, now: Instant, life: &WorkerLife) -> bool {
        self.crashes.crashed_lately(now, &life.address())
    }

    /// Takes in a registration. Of two lives at an address only the worker itself can tell which is over: an
    /// earlier one may be registered once more after the newer. So the others there are polled at once, and a
    /// life that is over is refused. Taking the last to register for the newer had up to 13 tasks of a day
    /// run twice, on days on which workers crash behind a cut.
    pub(crate) fn listed(&mut self, now: Instant, listing: WorkerListing) {
        let others = self
            .lives
            .values_mut()
            .filter(|life| life.address() == listing.address && *life.id() != listing.id);
        for other in others {
            other.next_poll = now;
        }
        match self.lives.get_mut(&listing.id) {
            Some(life) => {
                (life.listed, life.expected_until) = (true, None);
                life.take_listing(now, listing);
            }
            None => {
                let life = WorkerLife::new(listing, now);
                self.lives.insert(life.id().clone(), life);
            }
        }
    }

    /// A worker that the store names, before or without its registration.
    pub(crate) fn used(&mut self, now: Instant, used: &UsedWorker, listing: WorkerListing) {
        let life = self.lives.entry(used.id.clone()).or_insert_with(|| {
            let mut life = WorkerLife::new(listing, now);
            life.listed = false;
            life
        });
        life.noted = true;
        life.born = used.born;
    }

    /// A registration has gone. The worker may still run, and register again.
    pub(crate) fn unlisted(&mut self, now: Instant, id: &WorkerId) {
        if let Some(life) = self.lives.get_mut(id)
            && std::mem::replace(&mut life.listed, false)
        {
            life.expected_until = life.leaves.is_none().then(|| now + RETURN_TIME);
        }
    }

    /// A worker is not to be used any more, though it may be registered.
    pub(crate) fn set_aside(&mut self, id: &WorkerId) {
        if let Some(life) = self.lives.get_mut(id) {
            (life.listed, life.expected_until) = (false, None);
        }
    }

    /// Another life of a worker answers in place of this one.
    pub(crate) fn replaced(&mut self, now: Instant, id: &WorkerId) -> Vec<LifeFinding> {
        let Some(life) = self.lives.get(id) else {
            return Vec::new();
        };
        if life.leaves.is_some() {
            return self.over(id, LifeEnd::Left);
        }
        let silent = self.silent_beside(id);
        let crash = self.crashes.crashed(now, life, &silent);
        let mut found = self.over(id, LifeEnd::Replaced);
        found.push(LifeFinding::Crashed(crash));
        found
    }

    /// Since when other workers have been silent.
    fn silent_beside(&self, id: &WorkerId) -> Vec<Instant> {
        let others = self.lives.values().filter(|other| other.id() != id);
        others.filter_map(|other| other.silent_since).collect()
    }

    /// A life that has ended: all its runs are lost.
    fn over(&mut self, id: &WorkerId, end: LifeEnd) -> Vec<LifeFinding> {
        let Some(life) = self.lives.remove(id) else {
            return Vec::new();
        };
        let mut found = vec![LifeFinding::Over(id.clone(), end)];
        let lost = life.runs.into_iter().map(|(task, run)| LostRun::new(task, run, life.answered));
        found.extend(lost.map(|lost| LifeFinding::Lost(id.clone(), lost)));
        found
    }

    /// Polls that are due. Without `extend` leases are left as they are, and so are those of workers that
    /// left the last call unanswered: a poll that may still arrive counts as an extension, and a worker
    /// that is cut off for 6 s would hold its tasks for 10 s instead of 5.
    pub(crate) fn polls(&mut self, now: Instant, extend: bool) -> Vec<GraphAction> {
        let due = |life: &&mut WorkerLife| life.polling.is_none() && life.next_poll <= now;
        let busy_wait = self.rhythm.busy_wait(now, self.lives.len());
        let mut polls = Vec::new();
        for life in self.lives.values_mut().filter(due) {
            life.polling = Some(now);
            // An idle worker that is not registered is left alone once its lease is over: it was polled for good.
            let used = life.listed || !life.runs.is_empty();
            // Another life would forget its first ends unread by the number of this one.
            let same_life = life.heard.is_some_and(|at| now - at <= SAME_LIFE);
            let until = match extend && used && life.misses == 0 {
                true => life.extend_lease(now, WORKER_LEASE),
                false => None,
            };
            life.offered = until;
            let heard = life.durable == life.seen && life.withheld.is_none();
            let current = life.claimed && heard && life.misses == 0;
            let wait = match current {
                true if life.runs.is_empty() => IDLE_WAIT,
                true => busy_wait,
                false => Duration::ZERO,
            };
            polls.push(GraphAction::Poll {
                worker: life.id().clone(),
                address: life.address(),
                until,
                acked: if same_life { life.acknowledgeable() } else { 0 },
                wait,
            });
        }
        polls
    }

    /// When the next poll is due.
    pub(crate) fn next_poll(&self) -> Option<Instant> {
        let idle = self.lives.values().filter(|life| life.polling.is_none());
        idle.map(|life| life.next_poll).min()
    }

    /// Takes in the answer to a poll.
    pub(crate) fn polled(
        &mut self,
        now: Instant,
        id: &WorkerId,
        reply: PollReply,
    ) -> Vec<LifeFinding> {
        let mut found = self.heard(now, id, &reply);
        let Some(life) = self.lives.get_mut(id) else {
            return found;
        };
        if let Some(first) = reply.ended.first().map(|end| end.number)
            && life.seen > 0
            && first > life.seen + 1
        {
            let (after, worker) = (life.seen, &**id);
            warn!(worker, after, first; "ends of a worker are missing from its list");
            metrics::counter!("kelplink_missing_ends_total").increment(first - after - 1);
        }
        for end in reply.ended {
            if end.number > life.seen {
                life.seen = end.number;
                if end.kind == EndKind::Lapsed {
                    life.last_lapse = end.number;
                }
                if life.runs.get(&end.task).is_some_and(|run| run.run == end.run) {
                    life.remove_run(&end.task);
                }
                match end.kind {
                    EndKind::Done => life.health.note_success(),
                    EndKind::Failed => life.health.note_failure(now, &end.task.job),
                    EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => {}
                }
                found.push(LifeFinding::Ended(id.clone(), end));
            }
        }
        if reply.clock < life.snapshot {
            let (newest, clock) = (life.snapshot.as_millis(), reply.clock.as_millis());
            if !std::mem::replace(&mut life.overtaken, true) {
                warn!(worker = &**id, newest_ms = newest as u64, clock_ms = clock as u64; "a list of runs is older than one before");
            }
            metrics::counter!("kelplink_overtaken_lists_total").increment(1);
        } else {
            life.overtaken = false;
            life.snapshot = reply.clock;
            let running = take_running(life, now, reply.running, reply.clock);
            found.extend(running);
        }
        if life.withheld.is_some_and(|number| number < life.last_lapse) {
            life.withheld = None;
        }
        life.next_poll = match life.durable == life.seen {
            _ if life.withheld.is_some() => now + WITHHELD_PAUSE,
            true => now + POLL_GAP,
            false => now + STORE_PAUSE,
        };
        found
    }

    /// A worker answers a poll: which of its lives that is, its clock and its lease.
    fn heard(&mut self, now: Instant, id: &WorkerId, reply: &PollReply) -> Vec<LifeFinding> {
        let Some(life) = self.lives.get_mut(id) else {
            return Vec::new();
        };
        if life.misses == 1 {
            self.rhythm.note_lost(now);
        }
        let known_life = life.born == reply.born;
        let mut found = match life.is_other_life(reply.born) {
            true => self.restarted(now, id, reply),
            false => Vec::new(),
        };
        let Some(life) = self.lives.get_mut(id) else {
            return found;
        };
        life.born = reply.born.or(life.born);
        let asked = life.polling.take();
        life.settle_listing(now, asked);
        life.heard = Some(now);
        life.note_answer(now, reply.clock);
        let offered = life.offered.take();
        life.grant_lease(offered);
        let claimed = std::mem::replace(&mut life.claimed, true);
        // Its lease may have been extended by the clock of a life before.
        if !known_life {
            life.inherit_lease(self.longest_lease);
        } else if !claimed {
            life.inherit_lease(self.longest_lease.min(WORKER_LEASE));
        }
        let (life_id, address) = (life.life_id(), life.address());
        let mut crashed = self.crashes.answered(now, &life_id);
        if !claimed {
            found.push(LifeFinding::Claimed(id.clone()));
            let known = |id: &WorkerId| self.lives.contains_key(id);
            crashed.extend(self.crashes.succeeded(now, address, known));
        }
        found.extend(crashed.into_iter().map(LifeFinding::Crashed));
        found
    }

    /// Ends up to a number are stored: the next poll says so.
    pub(crate) fn stored(&mut self, now: Instant, id: &LifeId, number: u64) {
        if let Some(life) = self.lives.get_mut(&id.worker)
            && life.born == id.born
            && life.durable < number
        {
            life.durable = number;
            if life.durable == life.seen {
                life.next_poll = life.next_poll.min(now + POLL_GAP);
            }
        }
    }

    /// A poll failed.
    pub(crate) fn poll_failed(
        &mut self,
        now: Instant,
        id: &WorkerId,
        failure: &CallFailure,
    ) -> Vec<LifeFinding> {
        let Some(life) = self.lives.get_mut(id) else {
            return Vec::new();
        };
        life.polling = None;
        life.heard = None;
        life.note_silence(now);
        life.next_poll = now + miss_pause(life.misses);
        if let CallFailure::NothingThere = failure {
            life.note_refused(now);
        }
        match failure {
            CallFailure::Refused(WorkerRefusal::OtherLife) => self.replaced(now, id),
            CallFailure::Refused(WorkerRefusal::Deposed) => {
                vec![LifeFinding::Deposed(id.clone())]
            }
            CallFailure::NothingThere if life.left(now) => self.over(id, LifeEnd::Left),
            _ => Vec::new(),
        }
    }

    /// Runs on probation that have begun on workers that have fallen silent. The store keeps them before it is known
    /// what became of the worker, which is back seconds after a crash: a leader that was lost meanwhile left the next
    /// to count anew.
    pub(crate) fn doubted(&mut self, now: Instant) -> Vec<LifeFinding> {
        let silent = |life: &&mut WorkerLife| {
            let since = life.silent_since.filter(|_| life.misses >= DOUBTED_MISSES);
            since.is_some_and(|since| now.saturating_duration_since(since) >= DOUBTED_SILENCE)
        };
        let mut found = Vec::new();
        for life in self.lives.values_mut().filter(silent) {
            let new = life.runs.iter().filter(|(_, run)| run.begun && !run.doubted);
            let trials: Vec<(TaskName, RunTrial)> =
                new.filter_map(|(task, run)| Some((task.clone(), life.trial(run)?))).collect();
            for (task, trial) in trials {
                if let Some(run) = life.runs.get_mut(&task) {
                    (run.doubted, run.suspected) = (true, true);
                }
                found.push(LifeFinding::Doubted(task, trial));
            }
        }
        found
    }

    /// Runs of workers whose lease is surely over.
    pub(crate) fn lapsed(&mut self, now: Instant) -> Vec<LifeFinding> {
        let (mut found, longest) = (Vec::new(), self.longest_lease);
        for life in self.lives.values_mut() {
            if life.runs.is_empty() || !life.lease_over(now) {
                continue;
            }
            let over = life.runs.iter().filter(|(_, run)| life.is_surely_over(run, now, longest));
            let tasks: Vec<TaskName> = over.map(|(task, _)| task.clone()).collect();
            for task in tasks {
                if let Some(run) = life.remove_run(&task) {
                    let trial = life.trial(&run);
                    if let Some(trial) = trial.clone() {
                        self.crashes.note_trial(now, task.clone(), trial, life.silent_since);
                    }
                    let lost = LostRun::new(task, run, life.answered);
                    found.push(LifeFinding::GivenUp(life.id().clone(), lost, trial));
                }
            }
        }
        found
    }

    /// Workers that are neither registered nor able to run anything any more; once everything from
    /// before this leader's time is over, also those that it has never heard.
    pub(crate) fn vanished(&mut self, now: Instant, settled: bool) -> Vec<LifeFinding> {
        let gone = |life: &&WorkerLife| {
            let over = if life.claimed { life.lease_over(now) } else { settled };
            let expected = life.misses == 0 && life.counts(now);
            !life.listed && !expected && life.runs.is_empty() && over
        };
        let gone: Vec<WorkerId> =
            self.lives.values().filter(gone).map(|l| l.id().clone()).collect();
        gone.iter().flat_map(|id| self.over(id, LifeEnd::Vanished)).collect()
    }

    /// Workers that the store has to name.
    pub(crate) fn in_use(&self) -> Vec<UsedWorker> {
        let claimed = self.lives.values().filter(|life| life.claimed || life.noted);
        let used = |life: &WorkerLife| UsedWorker {
            id: life.id().clone(),
            address: life.address(),
            domain: life.listing.domain.clone(),
            born: life.born,
        };
        claimed.map(used).collect()
    }
}

/// Pause after a number of polls in a row without an answer.
fn miss_pause(misses: u32) -> Duration {
    match misses {
        0 | 1 => Duration::ZERO,
        more => (MISS_PAUSE * (1 << (more - 2).min(4))).min(LONGEST_PAUSE),
    }
}

impl WorkerLife {
    /// A run on probation that goes on a worker that has not announced that it leaves.
    fn trial(&self, run: &WorkerRun) -> Option<RunTrial> {
        let tried = run.probation.is_some() && self.leaves.is_none();
        let (worker, address, born) = (self.id().clone(), self.address(), self.born);
        tried.then_some(RunTrial { run: run.run, worker, address, born })
    }

    /// Whether it has left as announced: unregistered, its time over, and nothing answers there.
    fn left(&self, now: Instant) -> bool {
        !self.listed && self.leaves.is_some_and(|leaves| leaves <= now)
    }
}

/// Compares a list of what runs with what is known of the worker.
fn take_running(
    life: &mut WorkerLife,
    now: Instant,
    running: Vec<RunReport>,
    clock: Duration,
) -> Vec<LifeFinding> {
    let id = life.id().clone();
    let mut found = Vec::new();
    let (mut work, mut time) = (Duration::ZERO, Duration::ZERO);
    let mut listed = BTreeMap::new();
    for report in running {
        listed.insert(report.task.clone(), report.run);
        match life.runs.get_mut(&report.task).filter(|run| run.run == report.run) {
            Some(run) => {
                run.listed = true;
                if let RunPhase::Sent { .. } = run.phase {
                    run.phase = RunPhase::Running { confirmed: clock };
                }
                if run.confirm(now) {
                    found.push(LifeFinding::Confirmed(id.clone(), report.task.clone(), report.run));
                }
                if report.percent != run.percent {
                    run.percent = report.percent;
                    run.moved = now;
                }
                if run.probation.is_some_and(|end| end <= now) {
                    run.probation = None;
                    if run.suspected || run.doubted {
                        found.push(LifeFinding::Outlived(report.task, report.run));
                    }
                }
                run.figure = report.figure;
                run.saved = report.saved;
                let (done, took) = run.measure(now).unwrap_or_default();
                work += done;
                time += took;
            }
            None => found.push(LifeFinding::Unknown(id.clone(), report)),
        }
    }
    life.health.note_work(now, work, time);
    let gone = |(task, run): &(&TaskName, &WorkerRun)| {
        let since = match run.phase {
            // A start is refused once its time has passed on the worker's clock. A worker that answered
            // looks, and neither starts nor stops, held a task for good.
            RunPhase::Sent { .. } | RunPhase::Stopping { answered: None, .. } => match run.until {
                Some(until) => until,
                None => return false,
            },
            RunPhase::Running { confirmed } => confirmed,
            RunPhase::Stopping { answered: Some(answered), .. } => answered,
        };
        since < clock && listed.get(*task) != Some(&run.run)
    };
    let gone: Vec<TaskName> = life.runs.iter().filter(gone).map(|(task, _)| task.clone()).collect();
    for task in gone {
        if let Some(run) = life.remove_run(&task) {
            found.push(LifeFinding::Lost(id.clone(), LostRun::new(task, run, Some(now))));
        }
    }
    found
}
