//! Decides which waiting task starts where.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::time::Instant;

use crate::id::{Attempt, JobId, TaskId, TaskIndex, UnixMillis, WorkerId, WorkspaceId};
use crate::intent::{JobKind, SpreadRule, Urgency};
use crate::invariant;
use crate::job::{JobRecord, JobSpec, TaskEnd};
use crate::placement::estimate::EstimateTable;
use crate::placement::gang::GangHold;
use crate::placement::health::HealthTable;
use crate::placement::pool::{PoolWorker, WorkerPool, WorkerSpec};
use crate::placement::queue::{CLASSES, JobQueue, QueueClass};
use crate::placement::task::{LiveTask, StopReason, TaskLife};
use crate::placement::victim::{VictimCandidate, VictimSet, pick_victims};
use crate::resources::ResourceVector;
use crate::token::FencingToken;
use crate::worker::{TaskOutcome, TaskUsage};

/// Jobs that may fail to fit before a pass ends.
const PASS_FAILURES: u32 = 128;
/// Searches for victims in one pass.
const PASS_VICTIM_SEARCHES: u32 = 16;
/// Times that one task may be stopped for urgent work.
const MAX_PREEMPTIONS: u32 = 2;
/// How long freed room is kept for the urgent task that it was freed for.
const KEEP_TIME: Duration = Duration::from_secs(5);
/// Place of the epoch in the number of a try.
const EPOCH_SHIFT: u32 = 32;
/// Place of the round in the number of a try.
const ROUND_SHIFT: u32 = 20;
/// Highest round that the number of a try tells apart.
const MAX_ROUND: u64 = (1 << (EPOCH_SHIFT - ROUND_SHIFT)) - 1;
/// Work that waited longer than this may take processors that accelerators need to be of use.
const STRAND_PATIENCE_MS: UnixMillis = 30_000;
/// Added to the expected end of a task before its worker is asked.
const LOOK_MARGIN: Duration = Duration::from_millis(20);
/// Part of its run time after which a task that is overdue is looked at again.
const LOOK_FRACTION: u32 = 8;
/// Shortest time between two looks at an overdue task.
const FIRST_LOOK: Duration = Duration::from_millis(200);
/// Interval at which what waits is looked at again.
const REVIEW_INTERVAL: Duration = Duration::from_secs(1);
/// Pause before a task is queued again whose start was refused or that was lost.
const RESTART_PAUSE: Duration = Duration::from_millis(200);
/// Tasks of a worker that was lost are queued again over this time.
const RESTART_SPREAD: Duration = Duration::from_millis(1_000);

/// What the scheduler wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementAction {
    /// Start a task.
    Start {
        /// Where.
        worker: WorkerId,
        /// Which.
        task: TaskId,
        /// Number of the try.
        attempt: Attempt,
        /// Its reservation.
        need: ResourceVector,
        /// Its job.
        spec: Arc<JobSpec>,
    },
    /// Stop a task.
    Stop {
        /// Where.
        worker: WorkerId,
        /// Which.
        task: TaskId,
        /// Number of the try.
        attempt: Attempt,
        /// Why.
        reason: StopReason,
    },
    /// A task ended for good.
    Ended {
        /// Which.
        task: TaskId,
        /// How.
        end: TaskEnd,
    },
    /// All of a job's open tasks are stopped for a reason.
    JobStopped {
        /// Which.
        job: JobId,
        /// Why.
        reason: String,
    },
}

#[derive(Debug)]
struct ScheduledJob {
    spec: Arc<JobSpec>,
    ended: BTreeSet<TaskIndex>,
    live: BTreeSet<TaskIndex>,
    attempts: BTreeMap<TaskIndex, Attempt>,
    preemptions: BTreeMap<TaskIndex, u32>,
    /// Tasks that were started before and are not idempotent: they never start again.
    spent: BTreeSet<TaskIndex>,
    cancelled: bool,
}

/// The scheduler of one failure domain.
#[derive(Debug, Default)]
pub struct TaskScheduler {
    pool: WorkerPool,
    queue: JobQueue,
    jobs: BTreeMap<JobId, ScheduledJob>,
    live: BTreeMap<TaskId, LiveTask>,
    used: BTreeMap<WorkspaceId, ResourceVector>,
    allowed: BTreeMap<WorkspaceId, ResourceVector>,
    estimates: EstimateTable,
    health: HealthTable,
    delayed: BTreeSet<(Instant, TaskId)>,
    /// Tasks on workers that belong to nothing known here.
    strays: BTreeMap<WorkerId, BTreeSet<TaskId>>,
    quarantined: BTreeMap<WorkerId, Instant>,
    leaving: BTreeSet<WorkerId>,
    kept: BTreeMap<TaskId, (WorkerId, Instant)>,
    hold: Option<GangHold>,
    /// Tasks that may run on a worker that was not heard from yet.
    suspects: BTreeSet<TaskId>,
    /// Whether tasks that may move to other failure domains may start.
    movable_allowed: bool,
    /// Tries of this leader have higher numbers.
    attempt_base: Attempt,
    dirty: bool,
    /// Time of day of the last pass.
    unix: UnixMillis,
    /// When what waits is looked at again although nothing happened: patience has its limits.
    next_review: Option<Instant>,
    actions: Vec<PlacementAction>,
}

/// Why a task was not placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PlacementMiss {
    NoRoom,
    Quota,
}

impl TaskScheduler {
    /// A scheduler without workers or jobs.
    pub fn new() -> Self {
        Self { movable_allowed: true, ..Self::default() }
    }

    /// Makes the numbers of tries rise above those of all leaders with lower tokens.
    pub fn lead(&mut self, token: &FencingToken) {
        let round = token.round.min(MAX_ROUND);
        self.attempt_base = (token.epoch << EPOCH_SHIFT) + (round << ROUND_SHIFT);
    }

    /// The workers.
    pub fn pool(&self) -> &WorkerPool {
        &self.pool
    }

    /// Tasks that hold room.
    pub fn live(&self) -> &BTreeMap<TaskId, LiveTask> {
        &self.live
    }

    /// Number of tasks that wait for room.
    pub fn waiting(&self) -> usize {
        self.queue.waiting() + self.delayed.len() + self.suspects.len()
    }

    /// Room used by each workspace.
    pub fn used(&self) -> &BTreeMap<WorkspaceId, ResourceVector> {
        &self.used
    }

    /// Room that waiting tasks of workspaces with a bound would take here, as far as there is room.
    pub fn quota_demand(&self) -> BTreeMap<WorkspaceId, ResourceVector> {
        let mut demand: BTreeMap<WorkspaceId, ResourceVector> = BTreeMap::new();
        let bounded =
            self.queue.iter().filter(|job| self.allowed.contains_key(&job.spec.workspace));
        for job in bounded {
            let count = u32::try_from(job.waiting.len()).unwrap_or(u32::MAX);
            let need = self.estimates.need(&job.spec).times(count);
            let sum = demand.entry(job.spec.workspace.clone()).or_default();
            *sum = sum.saturating_add(&need);
        }
        let free = self.pool.free();
        demand.values_mut().for_each(|sum| *sum = sum.each_min(&free));
        demand
    }

    /// Workers in quarantine.
    pub fn quarantined(&self) -> impl Iterator<Item = &WorkerId> {
        self.quarantined.keys()
    }

    /// What is learned about run times and sizes.
    pub fn estimates(&self) -> &EstimateTable {
        &self.estimates
    }

    /// Sets the part of its quota that a workspace may use here; `None` lifts the bound.
    pub fn allow(&mut self, workspace: &WorkspaceId, part: Option<ResourceVector>) {
        let before = self.allowed.get(workspace).copied();
        match part {
            Some(part) => self.allowed.insert(workspace.clone(), part),
            None => self.allowed.remove(workspace),
        };
        self.dirty |= before != part;
    }

    /// Sets whether tasks that may move to other failure domains may start.
    pub fn allow_movable(&mut self, allowed: bool) {
        self.dirty |= allowed && !self.movable_allowed;
        self.movable_allowed = allowed;
    }

    /// Adds a worker that was claimed, with the tasks that it lists as running.
    pub fn add_worker(&mut self, spec: WorkerSpec) {
        let id = spec.id.clone();
        self.pool.add(spec);
        let open = !self.leaving.contains(&id) && !self.quarantined.contains_key(&id);
        self.pool.set_open(&id, open);
        self.dirty = true;
    }

    /// Notes a task that a worker runs and that this scheduler did not start: it is adopted if its
    /// job is known and it runs nowhere else. Tells whether it was adopted.
    pub fn adopt(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        task: &TaskId,
        attempt: Attempt,
        need: ResourceVector,
    ) -> bool {
        if let Some(live) = self.live.get(task) {
            return live.worker() == worker;
        }
        let Some(job) = self.jobs.get_mut(&task.0) else {
            return false;
        };
        if job.ended.contains(&task.1) || task.1 >= job.spec.count || job.cancelled {
            return false;
        }
        self.suspects.remove(task);
        self.queue.remove(&task.0, task.1);
        self.delayed.retain(|(_, delayed)| delayed != task);
        job.attempts.insert(task.1, attempt);
        job.live.insert(task.1);
        let workspace = job.spec.workspace.clone();
        let run_time = self.estimates.run_time(&job.spec);
        self.pool.note(worker, task, need);
        let life = TaskLife::new(now, task.clone(), worker.clone(), need, attempt, run_time);
        self.live.insert(task.clone(), LiveTask::Running(life.run(now)));
        self.charge(&workspace, need);
        true
    }

    /// Notes tasks that a worker runs and that are none of ours: they hold room until they are gone.
    pub fn set_strays(&mut self, worker: &WorkerId, strays: &[(TaskId, ResourceVector)]) {
        let gone = |task: &TaskId| !strays.iter().any(|(stray, _)| stray == task);
        let ended: Vec<TaskId> = match self.strays.get(worker) {
            Some(known) => known.iter().filter(|task| gone(task)).cloned().collect(),
            None => Vec::new(),
        };
        for task in ended {
            if self.live.get(&task).is_none_or(|live| live.worker() != worker) {
                self.pool.give_back(worker, &task);
                self.dirty = true;
            }
        }
        for (task, need) in strays {
            self.pool.note(worker, task, *need);
        }
        let tasks = strays.iter().map(|(task, _)| task.clone()).collect();
        self.strays.insert(worker.clone(), tasks);
    }

    /// Takes a worker out that is lost, and deals with its tasks: all have surely ended.
    pub fn remove_worker(&mut self, now: Instant, id: &WorkerId) {
        let tasks: Vec<TaskId> =
            self.live.values().filter(|live| live.worker() == id).map(task_of).collect();
        let count = u32::try_from(tasks.len().max(1)).unwrap_or(1);
        for (place, task) in (0..).zip(tasks) {
            let pause = RESTART_PAUSE + RESTART_SPREAD * place / count;
            self.lose_task(now, &task, pause);
        }
        self.pool.remove(id);
        self.strays.remove(id);
        self.quarantined.remove(id);
        self.dirty = true;
    }

    /// Opens or closes a worker because the platform lists it as leaving or not.
    pub fn set_leaving(&mut self, id: &WorkerId, leaving: bool) {
        let changed = match leaving {
            true => self.leaving.insert(id.clone()),
            false => self.leaving.remove(id),
        };
        if changed {
            let open = !leaving && !self.quarantined.contains_key(id);
            self.pool.set_open(id, open);
            self.dirty = true;
        }
    }

    /// Takes a job in. `suspect` says that its tasks may run on workers not heard from yet.
    pub fn add_job(&mut self, record: &JobRecord, suspect: bool) {
        if self.jobs.contains_key(&record.spec.id) || record.over() {
            return;
        }
        let spec = Arc::new(record.spec.clone());
        let job = ScheduledJob {
            spec: spec.clone(),
            ended: record.ended.keys().copied().collect(),
            live: BTreeSet::new(),
            attempts: BTreeMap::new(),
            preemptions: BTreeMap::new(),
            spent: record.started.clone(),
            cancelled: false,
        };
        self.jobs.insert(spec.id.clone(), job);
        let run_time = self.estimates.run_time(&spec);
        for index in record.open_tasks() {
            match suspect {
                true => {
                    self.suspects.insert((spec.id.clone(), index));
                }
                false => self.queue.add(&spec, index, run_time),
            }
        }
        self.dirty = true;
    }

    /// Tells whether a job is known and not over.
    pub fn knows(&self, job: &JobId) -> bool {
        self.jobs.contains_key(job)
    }

    /// Every worker was heard from or has surely lapsed: what was not found does not run.
    pub fn clear_suspects(&mut self) {
        for task in std::mem::take(&mut self.suspects) {
            let Some(job) = self.jobs.get(&task.0) else {
                continue;
            };
            match job.spent.contains(&task.1) {
                true => self.end(&task, TaskEnd::Unknown),
                false => {
                    let spec = job.spec.clone();
                    let run_time = self.estimates.run_time(&spec);
                    self.queue.add(&spec, task.1, run_time);
                }
            }
        }
        self.dirty = true;
    }

    /// Number of tasks that may run on a worker not heard from.
    pub fn suspects(&self) -> usize {
        self.suspects.len()
    }

    /// Cancels a job: what waits never starts, what runs is stopped.
    pub fn cancel(&mut self, id: &JobId) {
        self.stop_tasks(id, |_| true);
        if let Some(job) = self.jobs.get_mut(id) {
            job.cancelled = true;
        }
    }

    /// Changes the number of tasks of a service.
    pub fn resize(&mut self, spec: &JobSpec) {
        let Some(job) = self.jobs.get_mut(&spec.id) else {
            return;
        };
        let before = job.spec.count;
        let spec = Arc::new(spec.clone());
        job.spec = spec.clone();
        let run_time = self.estimates.run_time(&spec);
        let waiting = self.queue.remove_job(&spec.id);
        for index in waiting.into_iter().chain(before..spec.count) {
            if index < spec.count {
                self.queue.add(&spec, index, run_time);
            }
        }
        self.stop_tasks(&spec.id, |index| index >= spec.count);
        self.dirty = true;
    }

    /// Forgets a job that another failure domain took over; tasks of it that run here are stopped.
    pub fn drop_job(&mut self, id: &JobId) {
        self.queue.remove_job(id);
        self.delayed.retain(|(_, task)| task.0 != *id);
        self.suspects.retain(|task| task.0 != *id);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.cancelled = true;
        let live: Vec<TaskId> = job.live.iter().map(|index| (id.clone(), *index)).collect();
        match live.is_empty() {
            true => {
                self.jobs.remove(id);
                self.drop_hold(id);
            }
            false => live.iter().for_each(|task| self.stop_task(task, StopReason::Stray)),
        }
    }

    fn stop_tasks(&mut self, id: &JobId, chosen: impl Fn(TaskIndex) -> bool) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let live: Vec<TaskIndex> =
            job.live.iter().copied().filter(|index| chosen(*index)).collect();
        let waiting: Vec<TaskIndex> = match self.queue.get(id) {
            Some(queued) => queued.waiting.iter().copied().filter(|index| chosen(*index)).collect(),
            None => Vec::new(),
        };
        let delayed: Vec<TaskIndex> = self
            .delayed
            .iter()
            .filter(|(_, task)| task.0 == *id && chosen(task.1))
            .map(|(_, task)| task.1)
            .collect();
        for index in live {
            self.stop_task(&(id.clone(), index), StopReason::Cancelled);
        }
        for index in waiting.into_iter().chain(delayed) {
            self.queue.remove(id, index);
            self.delayed.retain(|(_, task)| *task != (id.clone(), index));
            let ran = self.jobs.get(id).is_some_and(|job| job.attempts.contains_key(&index));
            self.end(&(id.clone(), index), TaskEnd::Cancelled { ran });
        }
        let suspects: Vec<TaskId> =
            self.suspects.iter().filter(|task| task.0 == *id && chosen(task.1)).cloned().collect();
        for task in suspects {
            self.suspects.remove(&task);
            self.end(&task, TaskEnd::Cancelled { ran: true });
        }
    }

    fn stop_task(&mut self, task: &TaskId, reason: StopReason) {
        let Some(live) = self.live.remove(task) else {
            return;
        };
        let worker = live.worker().clone();
        let attempt = live.attempt();
        let first = live.stop_reason().is_none();
        self.live.insert(task.clone(), live.stop(reason));
        if first {
            let task = task.clone();
            self.actions.push(PlacementAction::Stop { worker, task, attempt, reason });
        }
    }

    /// The worker reports that a task runs, under the try named; a later start of it is then void.
    pub fn task_running(&mut self, now: Instant, task: &TaskId, attempt: Attempt) {
        if let Some(live) = self.live.remove(task) {
            self.live.insert(task.clone(), live.run(now, attempt));
        }
    }

    /// The worker reports that a task ended.
    pub fn task_ended(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        task: &TaskId,
        outcome: &TaskOutcome,
        usage: &TaskUsage,
    ) {
        let Some(live) = self.live.get(task).filter(|live| live.worker() == worker).cloned() else {
            return;
        };
        let Some(spec) = self.jobs.get(&task.0).map(|job| job.spec.clone()) else {
            self.release(task);
            return;
        };
        self.release(task);
        match outcome {
            TaskOutcome::Succeeded => self.succeeded(now, &spec, task, &live, usage),
            TaskOutcome::Failed(reason) => self.failed(now, &spec, task, worker, reason),
            TaskOutcome::OverLimit => {
                warn!("{task:?} used more than its reservation");
                self.estimates.note_over_limit(&spec.intent);
                match live.need() == spec.need {
                    true => self.failed(now, &spec, task, worker, "used more than its reservation"),
                    false => self.retry_or_end(now, &spec, task, TaskEnd::Unknown),
                }
            }
            TaskOutcome::Stopped => self.stopped(now, &spec, task, &live),
            TaskOutcome::Refused(reason) => {
                info!("start of {task:?} refused on {worker}: {reason}");
                match live.stop_reason() {
                    Some(StopReason::Cancelled) => {
                        self.end(task, TaskEnd::Cancelled { ran: false });
                    }
                    _ => self.delay(now, task, RESTART_PAUSE),
                }
            }
        }
        if !matches!(outcome, TaskOutcome::Succeeded) {
            self.fail_gang(&spec);
        }
        self.dirty = true;
    }

    fn succeeded(
        &mut self,
        now: Instant,
        spec: &Arc<JobSpec>,
        task: &TaskId,
        live: &LiveTask,
        usage: &TaskUsage,
    ) {
        self.health.note_success(live.worker(), &task.0);
        self.quarantined.remove(live.worker());
        self.estimates.note_success(&spec.intent, usage.run_time, usage.peak);
        match spec.kind {
            JobKind::Service if live.stop_reason() == Some(StopReason::Cancelled) => {
                self.end(task, TaskEnd::Cancelled { ran: true });
            }
            JobKind::Service => self.delay(now, task, RESTART_PAUSE),
            JobKind::Batch | JobKind::AllAtOnce => self.end(task, TaskEnd::Succeeded),
        }
    }

    fn failed(
        &mut self,
        now: Instant,
        spec: &Arc<JobSpec>,
        task: &TaskId,
        worker: &WorkerId,
        reason: &str,
    ) {
        let verdict = self.health.note_failure(now, worker, &task.0);
        if let Some(until) = verdict.quarantine {
            warn!("worker {worker} fails what it starts: no new work for it");
            metrics::counter!("kelplink_worker_quarantines_total").increment(1);
            self.quarantined.insert(worker.clone(), until);
            self.pool.set_open(worker, false);
        }
        match (verdict.stop_job, spec.idempotent) {
            (_, false) => self.end(task, TaskEnd::Failed(reason.to_owned())),
            (true, true) if spec.kind != JobKind::Service => {
                self.end(task, TaskEnd::Failed(reason.to_owned()));
                self.stop_job(&task.0, reason);
            }
            _ => self.delay(now, task, verdict.pause),
        }
    }

    fn stop_job(&mut self, job: &JobId, reason: &str) {
        let reason = format!("fails on every worker: {reason}");
        self.actions.push(PlacementAction::JobStopped { job: job.clone(), reason });
        self.cancel(job);
    }

    fn stopped(&mut self, now: Instant, spec: &Arc<JobSpec>, task: &TaskId, live: &LiveTask) {
        match live.stop_reason() {
            Some(StopReason::Cancelled) => {
                let ran = live.ran_since().is_some();
                self.end(task, TaskEnd::Cancelled { ran });
            }
            Some(StopReason::Preempted) => {
                if let Some(job) = self.jobs.get_mut(&task.0) {
                    *job.preemptions.entry(task.1).or_default() += 1;
                }
                self.delay(now, task, Duration::ZERO);
            }
            _ => self.retry_or_end(now, spec, task, TaskEnd::Unknown),
        }
    }

    /// The task may have run and is gone.
    fn lose_task(&mut self, now: Instant, task: &TaskId, pause: Duration) {
        let Some(live) = self.live.get(task).cloned() else {
            return;
        };
        self.release(task);
        let Some(spec) = self.jobs.get(&task.0).map(|job| job.spec.clone()) else {
            return;
        };
        match live.stop_reason() {
            Some(StopReason::Cancelled) => self.end(task, TaskEnd::Cancelled { ran: true }),
            _ if !spec.idempotent => self.end(task, TaskEnd::Unknown),
            _ => self.delay(now, task, pause),
        }
        self.fail_gang(&spec);
        self.dirty = true;
    }

    /// A task that was delivered to a worker is not there any more.
    pub fn task_vanished(&mut self, now: Instant, worker: &WorkerId, task: &TaskId) {
        if self.live.get(task).is_some_and(|live| live.worker() == worker) {
            self.lose_task(now, task, RESTART_PAUSE);
        }
    }

    fn retry_or_end(&mut self, now: Instant, spec: &JobSpec, task: &TaskId, end: TaskEnd) {
        match spec.idempotent {
            true => self.delay(now, task, RESTART_PAUSE),
            false => self.end(task, end),
        }
    }

    /// One task of an all-at-once job is out: its siblings stop and all start again together.
    fn fail_gang(&mut self, spec: &Arc<JobSpec>) {
        if spec.kind != JobKind::AllAtOnce {
            return;
        }
        let Some(job) = self.jobs.get(&spec.id) else {
            return;
        };
        if !spec.idempotent {
            return;
        }
        let live: Vec<TaskId> = job.live.iter().map(|index| (spec.id.clone(), *index)).collect();
        for task in live {
            self.stop_task(&task, StopReason::GangFailed);
        }
    }

    fn delay(&mut self, now: Instant, task: &TaskId, pause: Duration) {
        let Some(job) = self.jobs.get(&task.0) else {
            return;
        };
        match () {
            () if job.cancelled || task.1 >= job.spec.count => {
                self.end(task, TaskEnd::Cancelled { ran: true });
            }
            () if pause.is_zero() => {
                let spec = job.spec.clone();
                let run_time = self.estimates.run_time(&spec);
                self.queue.add(&spec, task.1, run_time);
            }
            () => {
                self.delayed.insert((now + pause, task.clone()));
            }
        }
        self.dirty = true;
    }

    fn end(&mut self, task: &TaskId, end: TaskEnd) {
        let Some(job) = self.jobs.get_mut(&task.0) else {
            return;
        };
        if task.1 < job.spec.count || matches!(end, TaskEnd::Cancelled { .. }) {
            job.ended.insert(task.1);
        }
        self.actions.push(PlacementAction::Ended { task: task.clone(), end });
        let over = (0..job.spec.count).all(|index| job.ended.contains(&index));
        if over && job.live.is_empty() {
            self.jobs.remove(&task.0);
            self.queue.remove_job(&task.0);
            self.health.forget_job(&task.0);
            self.drop_hold(&task.0);
        }
    }

    fn drop_hold(&mut self, job: &JobId) {
        if self.hold.as_ref().is_some_and(|hold| hold.job == *job) {
            self.hold = None;
        }
    }

    fn release(&mut self, task: &TaskId) {
        let Some(live) = self.live.remove(task) else {
            return;
        };
        self.pool.give_back(live.worker(), task);
        if let Some(job) = self.jobs.get_mut(&task.0) {
            job.live.remove(&task.1);
            let workspace = job.spec.workspace.clone();
            let used = self.used.entry(workspace).or_default();
            *used = used.saturating_sub(&live.need());
        }
    }

    fn charge(&mut self, workspace: &WorkspaceId, need: ResourceVector) {
        let used = self.used.entry(workspace.clone()).or_default();
        *used = used.saturating_add(&need);
    }

    /// Starts what fits and gives all actions since the last call. `unix` is the time of day.
    pub fn pass(&mut self, now: Instant, unix: UnixMillis) -> Vec<PlacementAction> {
        self.wake(now);
        self.unix = unix;
        if self.dirty {
            self.dirty = false;
            self.queue.promote(unix);
            self.place_waiting(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// When time alone will make something happen next.
    pub fn next_wake(&self) -> Option<Instant> {
        self.delayed.first().map(|(at, _)| *at)
    }

    fn wake(&mut self, now: Instant) {
        if self.next_review.is_none_or(|at| now >= at) {
            self.next_review = Some(now + REVIEW_INTERVAL);
            self.dirty |= self.queue.waiting() > 0;
        }
        while let Some((at, task)) = self.delayed.first().cloned() {
            if at > now {
                break;
            }
            self.delayed.pop_first();
            self.delay(now, &task, Duration::ZERO);
        }
        let free: Vec<WorkerId> = self
            .quarantined
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in free {
            self.quarantined.remove(&id);
            self.pool.set_open(&id, !self.leaving.contains(&id));
            self.dirty = true;
        }
        let stale: Vec<TaskId> = self
            .kept
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for task in stale {
            self.unkeep(&task);
            self.dirty = true;
        }
    }

    fn unkeep(&mut self, task: &TaskId) {
        if let Some((worker, _)) = self.kept.remove(task) {
            self.pool.keep_for(&worker, None);
        }
    }

    fn place_waiting(&mut self, now: Instant) {
        let mut pass = PassState { failures: 0, victim_searches: 0, misses: Vec::new() };
        for class in CLASSES {
            self.place_class(now, class, &mut pass);
        }
    }

    /// Serves the workspace with the smallest dominant share first, one task at a time.
    fn place_class(&mut self, now: Instant, class: QueueClass, pass: &mut PassState) {
        let total = self.pool.total();
        let share = |used: Option<&ResourceVector>| {
            used.map_or(0, |used| (used.dominant_share(&total) * 1e9) as u64)
        };
        let workspaces = self.queue.workspaces(class);
        let mut turns: BTreeSet<(u64, WorkspaceId)> =
            workspaces.into_iter().map(|ws| (share(self.used.get(&ws)), ws)).collect();
        let mut cursors: BTreeMap<WorkspaceId, (UnixMillis, JobId)> = BTreeMap::new();
        while let Some((_, workspace)) = turns.pop_first() {
            if pass.failures >= PASS_FAILURES {
                return;
            }
            let cursor = cursors.get(&workspace);
            let Some(job) = self.queue.next_job(class, &workspace, cursor) else {
                continue;
            };
            if self.place_job(now, &job.1, pass).is_err() {
                cursors.insert(workspace.clone(), job);
            }
            turns.insert((share(self.used.get(&workspace)), workspace));
        }
    }

    /// Places one task of a batch job or service, or a whole all-at-once job.
    fn place_job(
        &mut self,
        now: Instant,
        id: &JobId,
        pass: &mut PassState,
    ) -> std::result::Result<(), PlacementMiss> {
        let Some(queued) = self.queue.get(id) else {
            return Err(PlacementMiss::NoRoom);
        };
        let spec = queued.spec.clone();
        let Some(index) = queued.waiting.first().copied() else {
            return Err(PlacementMiss::NoRoom);
        };
        if spec.cut_off == crate::intent::CutOffRule::Move && !self.movable_allowed {
            return Err(PlacementMiss::NoRoom);
        }
        let need = self.estimates.need(&spec);
        if spec.spread == SpreadRule::None && pass.hopeless(&spec, &need) {
            return Err(PlacementMiss::NoRoom);
        }
        let placed = match spec.kind {
            JobKind::AllAtOnce => self.place_gang(now, &spec, need),
            JobKind::Batch | JobKind::Service => self.place_one(now, &spec, index, need, pass),
        };
        if placed == Err(PlacementMiss::NoRoom) {
            pass.failures += 1;
            if spec.kind != JobKind::AllAtOnce && spec.spread == SpreadRule::None {
                pass.misses.push((spec.urgency == Urgency::Now, need));
            }
        }
        placed
    }

    fn within_quota(&self, spec: &JobSpec, need: &ResourceVector) -> bool {
        let Some(allowed) = self.allowed.get(&spec.workspace) else {
            return true;
        };
        let used = self.used.get(&spec.workspace).copied().unwrap_or_default();
        used.saturating_add(need).fits(allowed)
    }

    fn place_one(
        &mut self,
        now: Instant,
        spec: &Arc<JobSpec>,
        index: TaskIndex,
        need: ResourceVector,
        pass: &mut PassState,
    ) -> std::result::Result<(), PlacementMiss> {
        if !self.within_quota(spec, &need) {
            return Err(PlacementMiss::Quota);
        }
        let task = (spec.id.clone(), index);
        match self.find(now, spec, &task, &need) {
            Some(worker) => {
                self.begin(now, spec, &task, worker, need);
                Ok(())
            }
            None => {
                if spec.urgency == Urgency::Now && !self.kept.contains_key(&task) {
                    self.preempt(now, &task, &need, pass);
                }
                Err(PlacementMiss::NoRoom)
            }
        }
    }

    fn find(
        &self,
        now: Instant,
        spec: &JobSpec,
        task: &TaskId,
        need: &ResourceVector,
    ) -> Option<WorkerId> {
        let end = now + self.estimates.run_time(spec);
        let waited = self.unix.saturating_sub(spec.accepted);
        let strands = spec.urgency == Urgency::Now || waited > STRAND_PATIENCE_MS;
        let held =
            self.hold.as_ref().filter(|hold| hold.job != spec.id && spec.urgency != Urgency::Now);
        let fine = |worker: &PoolWorker| {
            let id = &worker.spec.id;
            let probation = self.health.probe_runs(id, now);
            !probation && held.is_none_or(|hold| hold.admits(now, id, end))
        };
        let fresh =
            |worker: &PoolWorker| fine(worker) && !self.health.failed_on(&worker.spec.id, &spec.id);
        match spec.spread {
            SpreadRule::None => self
                .pool
                .find_tightest(task, need, strands, fresh)
                .or_else(|| self.pool.find_tightest(task, need, strands, fine)),
            SpreadRule::Rack | SpreadRule::FailureDomain => {
                let siblings = self.siblings(&spec.id);
                self.pool
                    .find_spread(task, need, &siblings, fresh)
                    .or_else(|| self.pool.find_spread(task, need, &siblings, fine))
            }
        }
    }

    fn siblings(&self, id: &JobId) -> BTreeMap<WorkerId, u32> {
        let mut siblings = BTreeMap::new();
        if let Some(job) = self.jobs.get(id) {
            for index in &job.live {
                if let Some(live) = self.live.get(&(id.clone(), *index)) {
                    *siblings.entry(live.worker().clone()).or_default() += 1;
                }
            }
        }
        siblings
    }

    fn begin(
        &mut self,
        now: Instant,
        spec: &Arc<JobSpec>,
        task: &TaskId,
        worker: WorkerId,
        need: ResourceVector,
    ) {
        let free = !self.live.contains_key(task);
        if !invariant::holds(free, "one place", || format!("{task:?} already holds room")) {
            return;
        }
        if !self.pool.take(&worker, task, need) {
            return;
        }
        self.unkeep(task);
        self.queue.remove(&task.0, task.1);
        self.charge(&spec.workspace, need);
        let run_time = self.estimates.run_time(spec);
        let Some(job) = self.jobs.get_mut(&task.0) else {
            return;
        };
        let last = job.attempts.entry(task.1).or_default();
        *last = (*last).max(self.attempt_base) + 1;
        let attempt = *last;
        job.live.insert(task.1);
        let life = TaskLife::new(now, task.clone(), worker.clone(), need, attempt, run_time);
        self.live.insert(task.clone(), LiveTask::Starting(life));
        self.health.note_start(&worker, now);
        let (task, spec) = (task.clone(), spec.clone());
        self.actions.push(PlacementAction::Start { worker, task, attempt, need, spec });
    }

    /// Starts all tasks of a job or none; one that does not fit may hold workers back.
    fn place_gang(
        &mut self,
        now: Instant,
        spec: &Arc<JobSpec>,
        need: ResourceVector,
    ) -> std::result::Result<(), PlacementMiss> {
        let open: Vec<TaskIndex> = match self.jobs.get(&spec.id) {
            Some(job) => (0..spec.count).filter(|index| !job.ended.contains(index)).collect(),
            None => return Err(PlacementMiss::NoRoom),
        };
        let waiting = self.queue.get(&spec.id).map_or(0, |queued| queued.waiting.len());
        if waiting < open.len() {
            return Err(PlacementMiss::NoRoom);
        }
        let count = u32::try_from(open.len()).unwrap_or(u32::MAX);
        if !self.within_quota(spec, &need.times(count)) {
            return Err(PlacementMiss::Quota);
        }
        let mut taken = Vec::new();
        for index in &open {
            let task = (spec.id.clone(), *index);
            match self.find(now, spec, &task, &need) {
                Some(worker) if self.pool.take(&worker, &task, need) => taken.push((task, worker)),
                _ => break,
            }
        }
        for (task, worker) in &taken {
            self.pool.give_back(worker, task);
        }
        if taken.len() < open.len() {
            self.hold_for(now, spec, need, count);
            return Err(PlacementMiss::NoRoom);
        }
        self.drop_hold(&spec.id);
        for (task, worker) in taken {
            self.begin(now, spec, &task, worker, need);
        }
        Ok(())
    }

    fn hold_for(&mut self, now: Instant, spec: &JobSpec, need: ResourceVector, count: u32) {
        if self.hold.is_some() {
            return;
        }
        let ends = |worker: &PoolWorker| {
            let mut end = now;
            let mut room = worker.spec.capacity;
            for (task, held) in &worker.tasks {
                let job = self.jobs.get(&task.0);
                let lasting = job.is_none_or(|job| job.spec.kind == JobKind::Service);
                match self.live.get(task) {
                    Some(live) if !lasting => end = end.max(live.expected_end()),
                    _ => room = room.saturating_sub(held),
                }
            }
            (end, room)
        };
        self.hold = GangHold::plan(spec.id.clone(), &need, count, &self.pool, ends);
    }

    /// Stops the cheapest tasks whose room an urgent task needs and keeps the room for it.
    fn preempt(
        &mut self,
        now: Instant,
        task: &TaskId,
        need: &ResourceVector,
        pass: &mut PassState,
    ) {
        if pass.victim_searches >= PASS_VICTIM_SEARCHES {
            return;
        }
        pass.victim_searches += 1;
        let sets = self.pool.iter().filter(|worker| worker.open && worker.kept_for.is_none());
        let sets = sets.filter(|worker| need.fits(&worker.spec.capacity));
        let sets =
            sets.filter_map(|worker| pick_victims(now, worker, need, self.victims_on(worker)));
        let Some(set) = sets.min_by(|a: &VictimSet, b| a.cost.total_cmp(&b.cost)) else {
            return;
        };
        self.pool.keep_for(&set.worker, Some(task.clone()));
        self.kept.insert(task.clone(), (set.worker, now + KEEP_TIME));
        for victim in set.tasks {
            metrics::counter!("kelplink_preemptions_total").increment(1);
            self.stop_task(&victim, StopReason::Preempted);
        }
    }

    fn victims_on(&self, worker: &PoolWorker) -> Vec<VictimCandidate> {
        let tasks = worker.tasks.keys();
        tasks.filter_map(|task| self.victim(task)).collect()
    }

    fn victim(&self, task: &TaskId) -> Option<VictimCandidate> {
        let job = self.jobs.get(&task.0)?;
        let preempted = job.preemptions.get(&task.1).copied().unwrap_or(0);
        let spared = job.spec.kind != JobKind::Batch
            || job.spec.urgency == Urgency::Now
            || !job.spec.idempotent
            || preempted >= MAX_PREEMPTIONS;
        match self.live.get(task) {
            Some(LiveTask::Running(life)) if !spared => {
                Some(VictimCandidate { id: task.clone(), need: life.need, since: life.stage.since })
            }
            _ => None,
        }
    }

    /// When a worker is worth asking because a task on it may have ended: when it is expected to, and
    /// then ever more rarely.
    pub fn next_look(&self, now: Instant, worker: &WorkerId) -> Option<Instant> {
        let tasks = self.pool.get(worker)?.tasks.keys();
        let live = tasks.filter_map(|task| {
            let job = self.jobs.get(&task.0)?;
            let ends = job.spec.kind != JobKind::Service;
            self.live.get(task).filter(|_| ends)
        });
        live.map(|live| match live.expected_end() {
            end if end > now => end + LOOK_MARGIN,
            _ => {
                let ran = live.ran_since().map_or(Duration::ZERO, |since| now - since);
                now + (ran / LOOK_FRACTION).max(FIRST_LOOK)
            }
        })
        .min()
    }

    /// Why a job waits, in words.
    pub fn why_waiting(&self, id: &JobId) -> Option<String> {
        let queued = self.queue.get(id)?;
        let need = &queued.spec.need;
        let largest = self.pool.largest();
        match need.exceeds(&largest) {
            Some(resource) => Some(format!("no worker has enough {resource}: largest {largest:?}")),
            None => Some("waits for room or quota".to_owned()),
        }
    }

    /// Jobs that wait, for the state dump.
    pub fn waiting_jobs(&self) -> impl Iterator<Item = (&JobId, usize)> {
        self.queue.iter().map(|queued| (&queued.spec.id, queued.waiting.len()))
    }
}

fn task_of(live: &LiveTask) -> TaskId {
    match live {
        LiveTask::Starting(life) => life.id.clone(),
        LiveTask::Running(life) => life.id.clone(),
        LiveTask::Stopping(life) => life.id.clone(),
    }
}

struct PassState {
    failures: u32,
    victim_searches: u32,
    /// Needs that found no room in this pass, and whether they were urgent.
    misses: Vec<(bool, ResourceVector)>,
}

impl PassState {
    /// Tells whether something no larger has already found no room.
    fn hopeless(&self, spec: &JobSpec, need: &ResourceVector) -> bool {
        let urgent = spec.urgency == Urgency::Now;
        !urgent && self.misses.iter().any(|(_, missed)| missed.fits(need))
    }
}
