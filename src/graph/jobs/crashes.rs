//! What crashes of workers make of the tasks that ran there.

use log::warn;
use tokio::time::Instant;

use crate::graph::crash::{COMMON_LIMIT, CrashCount, CrashSuspect, RunTrial, pause_after};
use crate::graph::job::GraphJob;
use crate::graph::jobs::{JobEffect, JobTable, all_runs, end_job};
use crate::graph::name::{RunNumber, TaskKey, TaskName};
use crate::graph::progress::GraphVerdict;
use crate::id::UnixMillis;

impl JobTable {
    /// A worker has crashed with a run of a task on probation: from `limit` such crashes on the task is given up.
    pub(crate) fn suspected(
        &mut self,
        now: Instant,
        unix: UnixMillis,
        suspect: &CrashSuspect,
        limit: usize,
    ) -> JobEffect {
        let CrashSuspect { task, run, sure } = suspect;
        let mut effect = JobEffect::default();
        let Some(job) = self.jobs.get_mut(&task.job).filter(|job| !job.over()) else {
            return effect;
        };
        if job.progress.is_done(&task.key) {
            return effect;
        }
        job.progress.note_crash(task.key, *run, *sure);
        spread_start(job, task, *run, now);
        effect.changed = true;
        let limit = if *sure { limit } else { limit.max(COMMON_LIMIT) };
        give_up_crashing(job, task, limit, unix, &mut effect);
        effect
    }

    /// A suspected task is started.
    pub(crate) fn note_trial(&mut self, task: &TaskName, trial: RunTrial) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.progress.note_trial(task.key, trial);
        }
    }

    /// A worker has outlived the start of a task: earlier crashes were not its fault.
    pub(crate) fn outlived(&mut self, task: &TaskName) -> JobEffect {
        let mut effect = JobEffect::default();
        if let Some(job) = self.jobs.get_mut(&task.job).filter(|job| !job.over()) {
            effect.changed = job.progress.clear_crashes(&task.key);
        }
        effect
    }
}

/// Crashes under a task, and silences since its starts that may be crashes.
fn crash_count(job: &GraphJob, task: TaskKey) -> CrashCount {
    let mut runs = job.progress.crashes.get(&task).cloned().unwrap_or_default();
    let (sure, proven) = (runs.values().filter(|sure| **sure).count(), runs.len());
    let goes_on = |run: &RunNumber| job.live.get(&task).is_some_and(|live| live.run == *run);
    let trials = job.progress.trials.get(&task).into_iter().flatten().map(|trial| trial.run);
    for run in trials.filter(|run| !goes_on(run)) {
        runs.entry(run).or_default();
    }
    CrashCount { sure, proven, all: runs.len() }
}

/// Keeps a task that has been suspected before from starting again in step with others. After a first crash it starts
/// at once: most tasks only ran beside the cause.
pub(super) fn spread_start(job: &mut GraphJob, task: &TaskName, run: RunNumber, now: Instant) {
    if crash_count(job, task.key).all > 1 && !job.live.contains_key(&task.key) {
        job.not_before.insert(task.key, now + pause_after(task, run));
    }
}

/// Ends a job one of whose tasks has crashed too many workers.
pub(super) fn give_up_crashing(
    job: &mut GraphJob,
    task: &TaskName,
    limit: usize,
    unix: UnixMillis,
    effect: &mut JobEffect,
) {
    let count = crash_count(job, task.key);
    if !count.is_too_many(limit) {
        return;
    }
    warn!(task:% = task, sure = count.sure, all = count.all, limit; "a task that crashes its workers is given up");
    metrics::counter!("kelplink_crashing_jobs_total").increment(1);
    effect.stops = all_runs(job);
    effect.urgent = true;
    end_job(job, GraphVerdict::Failed, unix);
}
