//! What follows from how tasks end.

use super::*;

/// Age of a run, with the lease of its worker, up to which a loss counts against its task: a lease is 10 s where the
/// settings do not say otherwise.
const YOUNG_LOSS: Duration = Duration::from_secs(30);
/// Young losses in a row from which a task is given up: it crashes the workers that start it. One that runs beside such a
/// task is started elsewhere each time.
const MOST_LOSSES: u32 = 4;
const LOST_REASON: &str = "its workers are lost as it starts";

impl TaskScheduler {
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
        if let Some(job) = self.jobs.get_mut(&task.0) {
            job.losses.remove(&task.1);
        }
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
                        let ran = live.ran_since().is_some();
                        self.end(task, TaskEnd::Cancelled { ran });
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

    pub(super) fn succeeded(
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

    pub(super) fn failed(
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

    pub(super) fn stop_job(&mut self, job: &JobId, reason: &str) {
        let reason = format!("fails on every worker: {reason}");
        self.actions.push(PlacementAction::JobStopped { job: job.clone(), reason });
        self.cancel(job);
    }

    pub(super) fn stopped(
        &mut self,
        now: Instant,
        spec: &Arc<JobSpec>,
        task: &TaskId,
        live: &LiveTask,
    ) {
        match live.stop_reason() {
            Some(StopReason::Cancelled) => {
                // The worker had started it, whether or not it was ever seen to run.
                self.end(task, TaskEnd::Cancelled { ran: true });
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
    pub(super) fn lose_task(&mut self, now: Instant, task: &TaskId, pause: Duration) {
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
            _ if self.is_lost_too_often(now, task, &live) => {
                self.end(task, TaskEnd::Failed(LOST_REASON.to_owned()));
                self.stop_job(&task.0, LOST_REASON);
            }
            _ => self.delay(now, task, pause),
        }
        self.fail_gang(&spec);
        self.dirty = true;
    }

    /// Counts the starts in a row that ended with their worker; tells whether there were too many.
    fn is_lost_too_often(&mut self, now: Instant, task: &TaskId, live: &LiveTask) -> bool {
        let Some(job) = self.jobs.get_mut(&task.0) else {
            return false;
        };
        let age = live.since().map(|since| now.saturating_duration_since(since));
        let losses = job.losses.entry(task.1).or_default();
        *losses = match age {
            Some(age) if age <= YOUNG_LOSS => *losses + 1,
            _ => 0,
        };
        *losses >= MOST_LOSSES
    }

    /// A task that was delivered to a worker is not there any more.
    pub fn task_vanished(&mut self, now: Instant, worker: &WorkerId, task: &TaskId) {
        if self.live.get(task).is_some_and(|live| live.worker() == worker) {
            self.lose_task(now, task, RESTART_PAUSE);
        }
    }

    pub(super) fn retry_or_end(
        &mut self,
        now: Instant,
        spec: &JobSpec,
        task: &TaskId,
        end: TaskEnd,
    ) {
        match spec.idempotent {
            true => self.delay(now, task, RESTART_PAUSE),
            false => self.end(task, end),
        }
    }

    /// One task of an all-at-once job is out: its siblings stop and all start again together.
    pub(super) fn fail_gang(&mut self, spec: &Arc<JobSpec>) {
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

    pub(super) fn delay(&mut self, now: Instant, task: &TaskId, pause: Duration) {
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

    pub(super) fn end(&mut self, task: &TaskId, end: TaskEnd) {
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

    pub(super) fn drop_hold(&mut self, job: &JobId) {
        if self.hold.as_ref().is_some_and(|hold| hold.job == *job) {
            self.hold = None;
        }
    }

    pub(super) fn release(&mut self, task: &TaskId) {
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

    pub(super) fn charge(&mut self, workspace: &WorkspaceId, need: ResourceVector) {
        let used = self.used.entry(workspace.clone()).or_default();
        *used = used.saturating_add(&need);
    }
}
