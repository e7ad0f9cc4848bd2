//! What crashes of workers make of the tasks that ran there.

use log::{info, warn};
use tokio::time::Instant;

use crate::graph::crash::{
    BLURRED_LIMIT, COMMON_LIMIT, CrashCount, CrashSuspect, RunTrial, pause_after,
};
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
        let CrashSuspect { task, run, sure, begun } = suspect;
        let mut effect = JobEffect::default();
        let Some(job) = self.jobs.get_mut(&task.job).filter(|job| !job.over()) else {
            return effect;
        };
        if job.progress.is_done(&task.key) {
            return effect;
        }
        job.progress.note_crash(task.key, *run, *sure);
        if *begun {
            job.progress.confirm_run(task.key, *run);
        }
        delay_start(job, task, *run, now);
        effect.changed = true;
        let limit = match (*sure, *begun) {
            (true, _) => limit,
            (false, true) => limit.max(BLURRED_LIMIT),
            (false, false) => limit.max(COMMON_LIMIT),
        };
        give_up_crashing(job, task, limit, unix, &mut effect);
        effect
    }

    /// A suspected task is started.
    pub(crate) fn note_trial(&mut self, task: &TaskName, trial: RunTrial) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.progress.note_trial(task.key, trial);
        }
    }

    /// A worker has reported a run as begun. Tells whether that is new of one that a worker may crash, or has crashed, under.
    pub(crate) fn confirm_run(&mut self, task: &TaskName, run: RunNumber) -> bool {
        let job = self.jobs.get_mut(&task.job);
        job.is_some_and(|job| !job.over() && job.progress.confirm_run(task.key, run))
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
    let progress = &job.progress;
    let mut count = CrashCount::default();
    for (run, sure) in progress.crashes.get(&task).into_iter().flatten() {
        let begun = usize::from(*sure || progress.is_confirmed(&task, *run));
        count.sure += usize::from(*sure);
        count.proven += begun;
        count.begun += begun;
        count.all += 1;
    }
    let goes_on = |run: RunNumber| job.live.get(&task).is_some_and(|live| live.run == run);
    let trials = progress.trials.get(&task).into_iter().flatten().map(|trial| trial.run);
    for run in trials.filter(|run| !goes_on(*run)) {
        count.begun += usize::from(progress.is_confirmed(&task, run));
        count.all += 1;
    }
    count
}

/// Keeps a task that has been suspected before from starting again in step with others, and for longer with each crash.
/// After a first one it starts at once: most tasks only ran beside the cause.
pub(super) fn delay_start(job: &mut GraphJob, task: &TaskName, run: RunNumber, now: Instant) {
    let doubts = crash_count(job, task.key).all;
    if let Some(pause) = pause_after(task, run, doubts)
        && !job.live.contains_key(&task.key)
    {
        job.not_before.insert(task.key, now + pause);
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
    let CrashCount { sure, proven, begun, all } = count;
    let given_up = count.is_too_many(limit);
    info!(task:% = task, sure, proven, begun, all, limit, given_up; "workers have crashed under a task, or may have");
    if !given_up {
        return;
    }
    warn!(task:% = task, sure, all, limit; "a task that crashes its workers is given up");
    metrics::counter!("kelplink_crashing_jobs_total").increment(1);
    effect.stops = all_runs(job);
    effect.urgent = true;
    end_job(job, GraphVerdict::Failed, unix);
}
