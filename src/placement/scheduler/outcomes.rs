//! Handling of reports about tasks: running, ended or lost.

use super::*;

/// Time since the start of a task up to which its loss counts against the task. It includes the lease of the worker,
/// which has to expire first: 10 s by default.
const EARLY_LOSS_AGE: Duration = Duration::from_secs(30);
/// Consecutive early losses after which a task fails, because it is presumed to crash the workers that start it. A task that
/// merely runs beside such a task is started on another worker each time, so it is unlikely to reach this number.
const MAX_EARLY_LOSSES: u32 = 4;
const CRASH_REASON: &str = "its workers are lost as it starts";

impl TaskScheduler {
    /// Handles a report that a task runs under the given attempt; that attempt replaces the one that
    /// was commanded.
    pub fn task_running(&mut self, now: Instant, task: &TaskId, attempt: Attempt) {
        if let Some(live) = self.live.remove(task) {
            self.live.insert(task.clone(), live.run(now, attempt));
        }
    }

    /// Handles the report of a worker that a task ended.
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
        if let Some(job) = self.jobs.get_mut(&task.0) {
            job.early_losses.remove(&task.1);
        }
        match outcome {
            TaskOutcome::Succeeded => self.handle_success(now, &spec, task, &live, usage),
            TaskOutcome::Failed(reason) => self.handle_failure(now, &spec, task, worker, reason),
            TaskOutcome::OverLimit => {
                warn!("{task:?} used more than its reservation");
                self.estimates.note_over_limit(&spec.intent);
                match live.need() == spec.need {
                    true => self.handle_failure(
                        now,
                        &spec,
                        task,
                        worker,
                        "used more than its reservation",
                    ),
                    false => self.requeue_or_end(now, &spec, task, TaskEnd::Unknown),
                }
            }
            TaskOutcome::Stopped => self.handle_stopped(now, &spec, task, &live),
            TaskOutcome::Refused(reason) => {
                info!("start of {task:?} refused on {worker}: {reason}");
                match live.stop_reason() {
                    Some(StopReason::Cancelled) => {
                        let ran = live.ran_since().is_some();
                        self.end_task(task, TaskEnd::Cancelled { ran });
                    }
                    _ => self.requeue_after(now, task, RESTART_DELAY),
                }
            }
        }
        if !matches!(outcome, TaskOutcome::Succeeded) {
            self.stop_gang(&spec);
        }
        self.dirty = true;
    }

    pub(super) fn handle_success(
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
                self.end_task(task, TaskEnd::Cancelled { ran: true });
            }
            JobKind::Service => self.requeue_after(now, task, RESTART_DELAY),
            JobKind::Batch | JobKind::AllAtOnce => self.end_task(task, TaskEnd::Succeeded),
        }
    }

    pub(super) fn handle_failure(
        &mut self,
        now: Instant,
        spec: &Arc<JobSpec>,
        task: &TaskId,
        worker: &WorkerId,
        reason: &str,
    ) {
        let verdict = self.health.note_failure(now, worker, &task.0);
        if let Some(until) = verdict.quarantine {
            warn!("worker {worker} quarantined: tasks keep failing on it");
            metrics::counter!("kelplink_worker_quarantines_total").increment(1);
            self.quarantined.insert(worker.clone(), until);
            self.pool.set_schedulable(worker, false);
        }
        match (verdict.stop_job, spec.idempotent) {
            (_, false) => self.end_task(task, TaskEnd::Failed(reason.to_owned())),
            (true, true) if spec.kind != JobKind::Service => {
                self.end_task(task, TaskEnd::Failed(reason.to_owned()));
                self.stop_job(&task.0, reason);
            }
            _ => self.requeue_after(now, task, verdict.retry_delay),
        }
    }

    pub(super) fn stop_job(&mut self, job: &JobId, reason: &str) {
        let reason = format!("fails on every worker: {reason}");
        self.actions.push(PlacementAction::JobStopped { job: job.clone(), reason });
        self.cancel(job);
    }

    pub(super) fn handle_stopped(
        &mut self,
        now: Instant,
        spec: &Arc<JobSpec>,
        task: &TaskId,
        live: &LiveTask,
    ) {
        match live.stop_reason() {
            Some(StopReason::Cancelled) => {
                // The worker had started the task, even if no report showed it running.
                self.end_task(task, TaskEnd::Cancelled { ran: true });
            }
            Some(StopReason::Preempted) => {
                if let Some(job) = self.jobs.get_mut(&task.0) {
                    *job.preemptions.entry(task.1).or_default() += 1;
                }
                self.requeue_after(now, task, Duration::ZERO);
            }
            _ => self.requeue_or_end(now, spec, task, TaskEnd::Unknown),
        }
    }

    /// Handles a task that may have run and was lost.
    pub(super) fn handle_lost_task(&mut self, now: Instant, task: &TaskId, delay: Duration) {
        let Some(live) = self.live.get(task).cloned() else {
            return;
        };
        self.release(task);
        let Some(spec) = self.jobs.get(&task.0).map(|job| job.spec.clone()) else {
            return;
        };
        match live.stop_reason() {
            Some(StopReason::Cancelled) => self.end_task(task, TaskEnd::Cancelled { ran: true }),
            _ if !spec.idempotent => self.end_task(task, TaskEnd::Unknown),
            _ if self.note_early_loss(now, task, &live) => {
                self.end_task(task, TaskEnd::Failed(CRASH_REASON.to_owned()));
                self.stop_job(&task.0, CRASH_REASON);
            }
            _ => self.requeue_after(now, task, delay),
        }
        self.stop_gang(&spec);
        self.dirty = true;
    }

    /// Counts consecutive losses of a task soon after its start, and tells whether there were too
    /// many. A later loss resets the count.
    fn note_early_loss(&mut self, now: Instant, task: &TaskId, live: &LiveTask) -> bool {
        let Some(job) = self.jobs.get_mut(&task.0) else {
            return false;
        };
        let age = live.since().map(|since| now.saturating_duration_since(since));
        let early_losses = job.early_losses.entry(task.1).or_default();
        *early_losses = match age {
            Some(age) if age <= EARLY_LOSS_AGE => *early_losses + 1,
            _ => 0,
        };
        *early_losses >= MAX_EARLY_LOSSES
    }

    /// Handles a task that was delivered to a worker and is no longer listed by it.
    pub fn task_vanished(&mut self, now: Instant, worker: &WorkerId, task: &TaskId) {
        if self.live.get(task).is_some_and(|live| live.worker() == worker) {
            self.handle_lost_task(now, task, RESTART_DELAY);
        }
    }

    pub(super) fn requeue_or_end(
        &mut self,
        now: Instant,
        spec: &JobSpec,
        task: &TaskId,
        end: TaskEnd,
    ) {
        match spec.idempotent {
            true => self.requeue_after(now, task, RESTART_DELAY),
            false => self.end_task(task, end),
        }
    }

    /// Stops the remaining tasks of an all-at-once job after one of them ended without success; all
    /// start again together.
    pub(super) fn stop_gang(&mut self, spec: &Arc<JobSpec>) {
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

    pub(super) fn requeue_after(&mut self, now: Instant, task: &TaskId, delay: Duration) {
        let Some(job) = self.jobs.get(&task.0) else {
            return;
        };
        match () {
            () if job.cancelled || task.1 >= job.spec.count => {
                self.end_task(task, TaskEnd::Cancelled { ran: true });
            }
            () if delay.is_zero() => {
                let spec = job.spec.clone();
                let run_time = self.estimates.run_time(&spec);
                self.queue.add(&spec, task.1, run_time);
            }
            () => {
                self.delayed.insert((now + delay, task.clone()));
            }
        }
        self.dirty = true;
    }

    pub(super) fn end_task(&mut self, task: &TaskId, end: TaskEnd) {
        let Some(job) = self.jobs.get_mut(&task.0) else {
            return;
        };
        if task.1 < job.spec.count || matches!(end, TaskEnd::Cancelled { .. }) {
            job.ended.insert(task.1);
        }
        self.actions.push(PlacementAction::Ended { task: task.clone(), end });
        let all_ended = (0..job.spec.count).all(|index| job.ended.contains(&index));
        if all_ended && job.live.is_empty() {
            self.jobs.remove(&task.0);
            self.queue.remove_job(&task.0);
            self.health.forget_job(&task.0);
            self.drop_gang_reservation(&task.0);
        }
    }

    pub(super) fn drop_gang_reservation(&mut self, job: &JobId) {
        if self.gang_reservation.as_ref().is_some_and(|reservation| reservation.job == *job) {
            self.gang_reservation = None;
        }
    }

    pub(super) fn release(&mut self, task: &TaskId) {
        let Some(live) = self.live.remove(task) else {
            return;
        };
        self.pool.deallocate(live.worker(), task);
        if let Some(job) = self.jobs.get_mut(&task.0) {
            job.live.remove(&task.1);
            let workspace = job.spec.workspace.clone();
            let used = self.used.entry(workspace).or_default();
            *used = used.saturating_sub(&live.need());
        }
    }

    pub(super) fn charge(&mut self, workspace: &WorkspaceId, need: ResourceVector) {
        let used = self.used.entry(workspace.clone()).or_default();
        *used = used.saturating_add(&need);
    }
}
