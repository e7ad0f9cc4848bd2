//! The scheduler of one failure domain: starts, stops and requeues tasks.

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
use crate::placement::queue::{JobQueue, QUEUE_CLASSES, QueueClass};
use crate::placement::task::{LiveTask, StagedTask, StopReason};
use crate::placement::victim::{VictimCandidate, VictimSet, pick_victims};
use crate::resources::ResourceVector;
use crate::token::FencingToken;
use crate::worker::{TaskOutcome, TaskUsage};

/// Number of jobs that may fail to fit before a scheduling pass ends.
const MAX_PASS_FAILURES: u32 = 128;
/// Maximum number of searches for victims in one pass.
const MAX_PASS_VICTIM_SEARCHES: u32 = 16;
/// Number of times that one task may be preempted for urgent work.
const MAX_PREEMPTIONS: u32 = 2;
/// Time for which freed capacity is reserved for the urgent task that it was freed for.
const RESERVATION_TIME: Duration = Duration::from_secs(5);
/// Position of the epoch in an attempt number, in bits.
const EPOCH_SHIFT: u32 = 32;
/// Position of the round in an attempt number, in bits.
const ROUND_SHIFT: u32 = 20;
/// Highest round that fits into an attempt number; higher rounds are stored as this one.
const MAX_ROUND: u64 = (1 << (EPOCH_SHIFT - ROUND_SHIFT)) - 1;
/// A task that waited longer than this may take processors and memory without which free
/// accelerators are of no use.
const STRAND_WAIT_MS: UnixMillis = 30_000;
/// Added to the expected end of a task before its worker is asked for the outcome.
const CHECK_MARGIN: Duration = Duration::from_millis(20);
/// The worker of an overdue task is asked again after the time it has run so far, divided by this.
const OVERDUE_CHECK_FRACTION: u32 = 8;
/// Shortest interval between two checks of an overdue task.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which waiting tasks are reconsidered without an event.
const REVIEW_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before a task is queued again after a refused start or a loss.
const RESTART_DELAY: Duration = Duration::from_millis(200);
/// The tasks of a lost worker are queued again spread over this time.
const RESTART_SPREAD: Duration = Duration::from_millis(1_000);

/// Actions for the caller of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementAction {
    /// Start a task.
    Start {
        /// The worker.
        worker: WorkerId,
        /// The task.
        task: TaskId,
        /// Attempt number.
        attempt: Attempt,
        /// Resources reserved for it.
        need: ResourceVector,
        /// Its job.
        spec: Arc<JobSpec>,
    },
    /// Stop a task.
    Stop {
        /// The worker.
        worker: WorkerId,
        /// The task.
        task: TaskId,
        /// Attempt number.
        attempt: Attempt,
        /// Why.
        reason: StopReason,
    },
    /// A task ended and is not started again.
    Ended {
        /// The task.
        task: TaskId,
        /// How it ended.
        end: TaskEnd,
    },
    /// All unfinished tasks of a job are stopped.
    JobStopped {
        /// The job.
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
    /// Consecutive times that each task was lost, together with its worker, soon after its start.
    early_losses: BTreeMap<TaskIndex, u32>,
    /// Tasks that are not idempotent and were started before: they never start again.
    not_restartable: BTreeSet<TaskIndex>,
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
    usage_limits: BTreeMap<WorkspaceId, ResourceVector>,
    estimates: EstimateTable,
    health: HealthTable,
    /// Tasks that are queued again at a later time.
    delayed: BTreeSet<(Instant, TaskId)>,
    /// Tasks on workers that belong to no job known here.
    strays: BTreeMap<WorkerId, BTreeSet<TaskId>>,
    quarantined: BTreeMap<WorkerId, Instant>,
    /// Workers that are leaving or do not answer.
    excluded: BTreeSet<WorkerId>,
    capacity_reservations: BTreeMap<TaskId, (WorkerId, Instant)>,
    gang_reservation: Option<GangReservation>,
    /// Tasks that may run on a worker that has not answered this leader yet.
    possibly_running: BTreeSet<TaskId>,
    /// Whether tasks that may move to other failure domains may start.
    movable_allowed: bool,
    /// Attempt numbers of this leader are higher than this.
    attempt_base: Attempt,
    /// Whether a change since the last pass may allow waiting tasks to start.
    dirty: bool,
    /// Time of day of the last pass.
    unix_now: UnixMillis,
    /// When waiting tasks are reconsidered without an event, since some limits depend on the
    /// waiting time alone.
    next_review: Option<Instant>,
    actions: Vec<PlacementAction>,
}

impl TaskScheduler {
    /// Creates a scheduler without workers or jobs.
    pub fn new() -> Self {
        Self { movable_allowed: true, ..Self::default() }
    }

    /// Makes attempt numbers higher than those of all leaders with lower tokens.
    pub fn lead(&mut self, token: &FencingToken) {
        let round = token.round.min(MAX_ROUND);
        self.attempt_base = (token.epoch << EPOCH_SHIFT) + (round << ROUND_SHIFT);
    }

    /// The workers.
    pub fn pool(&self) -> &WorkerPool {
        &self.pool
    }

    /// Tasks that hold a reservation.
    pub fn live(&self) -> &BTreeMap<TaskId, LiveTask> {
        &self.live
    }

    /// Number of tasks that are not started yet.
    pub fn waiting(&self) -> usize {
        self.queue.waiting() + self.delayed.len() + self.possibly_running.len()
    }

    /// Resources reserved by each workspace.
    pub fn used(&self) -> &BTreeMap<WorkspaceId, ResourceVector> {
        &self.used
    }

    /// Resources that waiting tasks of workspaces with a quota need here, limited to the free
    /// capacity.
    pub fn quota_demand(&self) -> BTreeMap<WorkspaceId, ResourceVector> {
        let mut demand: BTreeMap<WorkspaceId, ResourceVector> = BTreeMap::new();
        let bounded =
            self.queue.iter().filter(|job| self.usage_limits.contains_key(&job.spec.workspace));
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

    /// Estimates of run times and reservations.
    pub fn estimates(&self) -> &EstimateTable {
        &self.estimates
    }

    /// Sets the part of its quota that a workspace may use here; `None` removes the limit.
    pub fn set_usage_limit(&mut self, workspace: &WorkspaceId, part: Option<ResourceVector>) {
        let before = self.usage_limits.get(workspace).copied();
        match part {
            Some(part) => self.usage_limits.insert(workspace.clone(), part),
            None => self.usage_limits.remove(workspace),
        };
        self.dirty |= before != part;
    }

    /// Sets whether tasks that may move to other failure domains may start.
    pub fn set_movable_allowed(&mut self, allowed: bool) {
        self.dirty |= allowed && !self.movable_allowed;
        self.movable_allowed = allowed;
    }

    /// Adds a claimed worker.
    pub fn add_worker(&mut self, spec: WorkerSpec) {
        let id = spec.id.clone();
        self.pool.add(spec);
        let schedulable = !self.excluded.contains(&id) && !self.quarantined.contains_key(&id);
        self.pool.set_schedulable(&id, schedulable);
        self.dirty = true;
    }

    /// Adopts a task that a worker runs and that this scheduler did not start, if its job is known
    /// and it runs nowhere else. Tells whether the task belongs to this worker now.
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
        self.possibly_running.remove(task);
        self.queue.remove(&task.0, task.1);
        self.delayed.retain(|(_, delayed)| delayed != task);
        job.attempts.insert(task.1, attempt);
        job.live.insert(task.1);
        let workspace = job.spec.workspace.clone();
        let run_time = self.estimates.run_time(&job.spec);
        self.pool.record_running(worker, task, need);
        let staged = StagedTask::new(now, task.clone(), worker.clone(), need, attempt, run_time);
        self.live.insert(task.clone(), LiveTask::Running(staged.run(now)));
        self.charge(&workspace, need);
        true
    }

    /// Sets the tasks that a worker runs and that belong to no known job. They hold reservations
    /// until the worker no longer lists them.
    pub fn set_strays(&mut self, worker: &WorkerId, strays: &[(TaskId, ResourceVector)]) {
        let is_gone = |task: &TaskId| !strays.iter().any(|(stray, _)| stray == task);
        let ended: Vec<TaskId> = match self.strays.get(worker) {
            Some(known) => known.iter().filter(|task| is_gone(task)).cloned().collect(),
            None => Vec::new(),
        };
        for task in ended {
            if self.live.get(&task).is_none_or(|live| live.worker() != worker) {
                self.pool.deallocate(worker, &task);
                self.dirty = true;
            }
        }
        for (task, need) in strays {
            self.pool.record_running(worker, task, *need);
        }
        let tasks = strays.iter().map(|(task, _)| task.clone()).collect();
        self.strays.insert(worker.clone(), tasks);
    }

    /// Removes a lost worker, all of whose tasks are certain to have ended, and requeues or ends
    /// them.
    pub fn remove_worker(&mut self, now: Instant, id: &WorkerId) {
        let tasks: Vec<TaskId> =
            self.live.values().filter(|live| live.worker() == id).map(task_id).collect();
        let count = u32::try_from(tasks.len().max(1)).unwrap_or(1);
        for (position, task) in (0..).zip(tasks) {
            let delay = RESTART_DELAY + RESTART_SPREAD * position / count;
            self.handle_lost_task(now, &task, delay);
        }
        self.pool.remove(id);
        self.strays.remove(id);
        self.quarantined.remove(id);
        self.dirty = true;
    }

    /// Sets whether a worker is leaving or does not answer. Such a worker gets no new work.
    pub fn set_excluded(&mut self, id: &WorkerId, excluded: bool) {
        let changed = match excluded {
            true => self.excluded.insert(id.clone()),
            false => self.excluded.remove(id),
        };
        if changed {
            let schedulable = !excluded && !self.quarantined.contains_key(id);
            self.pool.set_schedulable(id, schedulable);
            self.dirty = true;
        }
    }

    /// Adds a job. With `may_be_running`, its tasks may run on workers that have not answered yet and
    /// are not queued before it is certain that they do not.
    pub fn add_job(&mut self, record: &JobRecord, may_be_running: bool) {
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
            early_losses: BTreeMap::new(),
            not_restartable: record.started.clone(),
            cancelled: false,
        };
        self.jobs.insert(spec.id.clone(), job);
        let run_time = self.estimates.run_time(&spec);
        for index in record.unfinished_tasks() {
            match may_be_running {
                true => {
                    self.possibly_running.insert((spec.id.clone(), index));
                }
                false => self.queue.add(&spec, index, run_time),
            }
        }
        self.dirty = true;
    }

    /// Excludes from another start the tasks that the ledger records as started under earlier leaders,
    /// if they are not idempotent and do not run here.
    pub fn exclude_started_tasks(&mut self, record: &JobRecord) {
        let id = &record.spec.id;
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.spec.idempotent) else {
            return;
        };
        job.not_restartable.extend(record.started.iter().copied());
        let not_restartable: Vec<TaskIndex> =
            record.started.iter().copied().filter(|index| !job.live.contains(index)).collect();
        for index in not_restartable {
            let task = (id.clone(), index);
            let waited = self.queue.remove(id, index);
            let delayed = self.delayed.len();
            self.delayed.retain(|(_, other)| *other != task);
            if waited || self.delayed.len() < delayed {
                self.end_task(&task, TaskEnd::Unknown);
            }
        }
    }

    /// Tells whether a job is known and has not ended.
    pub fn contains_job(&self, job: &JobId) -> bool {
        self.jobs.contains_key(job)
    }

    /// Queues or ends the tasks that might have been running: every worker has answered or its
    /// leases are certain to have expired, so tasks that were not found do not run.
    pub fn clear_possibly_running(&mut self) {
        for task in std::mem::take(&mut self.possibly_running) {
            let Some(job) = self.jobs.get(&task.0) else {
                continue;
            };
            match job.not_restartable.contains(&task.1) {
                true => self.end_task(&task, TaskEnd::Unknown),
                false => {
                    let spec = job.spec.clone();
                    let run_time = self.estimates.run_time(&spec);
                    self.queue.add(&spec, task.1, run_time);
                }
            }
        }
        self.dirty = true;
    }

    /// Number of tasks that may run on a worker that has not answered yet.
    pub fn possibly_running_count(&self) -> usize {
        self.possibly_running.len()
    }

    /// Cancels a job: its waiting tasks never start and its running tasks are stopped.
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

    /// Drops a job that another failure domain took over; tasks of it that run here are stopped.
    pub fn drop_job(&mut self, id: &JobId) {
        self.queue.remove_job(id);
        self.delayed.retain(|(_, task)| task.0 != *id);
        self.possibly_running.retain(|task| task.0 != *id);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.cancelled = true;
        let live: Vec<TaskId> = job.live.iter().map(|index| (id.clone(), *index)).collect();
        match live.is_empty() {
            true => {
                self.jobs.remove(id);
                self.drop_gang_reservation(id);
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
            self.end_task(&(id.clone(), index), TaskEnd::Cancelled { ran });
        }
        let possibly_running: Vec<TaskId> = self
            .possibly_running
            .iter()
            .filter(|task| task.0 == *id && chosen(task.1))
            .cloned()
            .collect();
        for task in possibly_running {
            self.possibly_running.remove(&task);
            self.end_task(&task, TaskEnd::Cancelled { ran: true });
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

    /// Starts the waiting tasks that fit and returns all actions since the last call. `unix_now` is
    /// the time of day.
    pub fn pass(&mut self, now: Instant, unix_now: UnixMillis) -> Vec<PlacementAction> {
        self.process_timers(now);
        self.unix_now = unix_now;
        if self.dirty {
            self.dirty = false;
            self.queue.promote(unix_now);
            self.place_waiting(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// When the next delayed task is due to be queued again.
    pub fn next_wake(&self) -> Option<Instant> {
        self.delayed.first().map(|(at, _)| *at)
    }

    fn process_timers(&mut self, now: Instant) {
        if self.next_review.is_none_or(|at| now >= at) {
            self.next_review = Some(now + REVIEW_INTERVAL);
            self.dirty |= self.queue.waiting() > 0;
        }
        while let Some((at, task)) = self.delayed.first().cloned() {
            if at > now {
                break;
            }
            self.delayed.pop_first();
            self.requeue_after(now, &task, Duration::ZERO);
        }
        let released: Vec<WorkerId> = self
            .quarantined
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in released {
            self.quarantined.remove(&id);
            self.pool.set_schedulable(&id, !self.excluded.contains(&id));
            self.dirty = true;
        }
        let expired: Vec<TaskId> = self
            .capacity_reservations
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for task in expired {
            self.drop_capacity_reservation(&task);
            self.dirty = true;
        }
    }

    fn drop_capacity_reservation(&mut self, task: &TaskId) {
        if let Some((worker, _)) = self.capacity_reservations.remove(task) {
            self.pool.reserve_for(&worker, None);
        }
    }

    /// When to ask a worker next whether a task on it has ended: at the expected end of a task, and
    /// then at growing intervals.
    pub fn next_check(&self, now: Instant, worker: &WorkerId) -> Option<Instant> {
        let tasks = self.pool.get(worker)?.tasks.keys();
        let live = tasks.filter_map(|task| {
            let job = self.jobs.get(&task.0)?;
            let ends = job.spec.kind != JobKind::Service;
            self.live.get(task).filter(|_| ends)
        });
        live.map(|live| match live.expected_end() {
            end if end > now => end + CHECK_MARGIN,
            _ => {
                let ran = live.ran_since().map_or(Duration::ZERO, |since| now - since);
                now + (ran / OVERDUE_CHECK_FRACTION).max(MIN_CHECK_INTERVAL)
            }
        })
        .min()
    }

    /// Describes why a job waits.
    pub fn describe_wait(&self, id: &JobId) -> Option<String> {
        let queued = self.queue.get(id)?;
        let need = &queued.spec.need;
        let largest = self.pool.largest();
        match need.exceeded_resource(&largest) {
            Some(resource) => Some(format!("no worker has enough {resource}: largest {largest:?}")),
            None => Some("waits for room or quota".to_owned()),
        }
    }

    /// Waiting jobs with their numbers of waiting tasks, for the state dump.
    pub fn waiting_jobs(&self) -> impl Iterator<Item = (&JobId, usize)> {
        self.queue.iter().map(|queued| (&queued.spec.id, queued.waiting.len()))
    }
}

fn task_id(live: &LiveTask) -> TaskId {
    match live {
        LiveTask::Starting(staged) => staged.id.clone(),
        LiveTask::Running(staged) => staged.id.clone(),
        LiveTask::Stopping(staged) => staged.id.clone(),
    }
}
