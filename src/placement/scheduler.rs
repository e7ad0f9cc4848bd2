//! Decides which waiting task starts where.

mod outcomes;
mod passes;
mod preemption;

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
use crate::placement::gang::GangReservation;
use crate::placement::health::HealthTable;
use crate::placement::pool::{PoolWorker, WorkerPool, WorkerSpec};
use crate::placement::queue::{CLASSES, JobQueue, QueueClass};
use crate::placement::task::{LiveTask, StagedTask, StopReason};
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
const RESERVATION_TIME: Duration = Duration::from_secs(5);
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
    /// Starts in a row of tasks that ended with their workers.
    losses: BTreeMap<TaskIndex, u32>,
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
    hold: Option<GangReservation>,
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
        demand.values_mut().for_each(|sum| *sum = sum.component_min(&free));
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
        let life = StagedTask::new(now, task.clone(), worker.clone(), need, attempt, run_time);
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
        if self.jobs.contains_key(&record.spec.id) || record.is_over() {
            return;
        }
        let spec = Arc::new(record.spec.clone());
        let job = ScheduledJob {
            spec: spec.clone(),
            ended: record.ended.keys().copied().collect(),
            live: BTreeSet::new(),
            attempts: BTreeMap::new(),
            preemptions: BTreeMap::new(),
            losses: BTreeMap::new(),
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

    /// The ledger shows which tasks were started under earlier leaders: those that are not idempotent
    /// and do not run here never start again.
    pub fn note_started(&mut self, record: &JobRecord) {
        let id = &record.spec.id;
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.spec.idempotent) else {
            return;
        };
        job.spent.extend(record.started.iter().copied());
        let spent: Vec<TaskIndex> =
            record.started.iter().copied().filter(|index| !job.live.contains(index)).collect();
        for index in spent {
            let task = (id.clone(), index);
            let waited = self.queue.remove(id, index);
            let delayed = self.delayed.len();
            self.delayed.retain(|(_, other)| *other != task);
            if waited || self.delayed.len() < delayed {
                self.end(&task, TaskEnd::Unknown);
            }
        }
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

    /// When a worker is worth asking because a task on it may have ended: when it is expected to, and
    /// then ever more rarely.
    pub fn next_check(&self, now: Instant, worker: &WorkerId) -> Option<Instant> {
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
