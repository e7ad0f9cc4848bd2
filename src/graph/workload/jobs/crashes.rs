//! Effects of worker crashes on the tasks that ran there.

use std::collections::BTreeSet;

use log::{info, warn};
use tokio::time::Instant;

use crate::graph::workload::crash::{
    CORRELATED_CRASH_LIMIT, CrashCount, CrashSuspect, MULTI_CAUSE_CRASH_LIMIT,
    ONE_MACHINE_CRASH_LIMIT, SuspectRun, restart_delay,
};
use crate::graph::workload::job::GraphJob;
use crate::graph::workload::jobs::{JobEffect, JobTable, end_job, live_runs};
use crate::graph::workload::name::{RunNumber, TaskKey, TaskName};
use crate::graph::workload::progress::GraphVerdict;
use crate::id::UnixMillis;

impl JobTable {
    /// Handles a crash of a worker that had a run on probation. The task is given up after `limit` such
    /// crashes.
    pub(crate) fn crash_suspected(
        &mut self,
        now: Instant,
        unix: UnixMillis,
        suspect: &CrashSuspect,
        limit: usize,
    ) -> JobEffect {
        let CrashSuspect { task, run, address, sure, .. } = suspect;
        let mut effect = JobEffect::default();
        let Some(job) = self.get_mut(&task.job).filter(|job| !job.is_over()) else {
            return effect;
        };
        if job.progress.is_done(&task.key) {
            return effect;
        }
        job.progress.note_crash(task.key, *run, *sure);
        job.progress.note_crash_address(task.key, *run, *address);
        if suspect.begun {
            job.progress.confirm_run(task.key, *run);
        }
        delay_start(job, task, *run, now);
        effect.changed = true;
        let limit = match job.progress.is_confirmed(&task.key, *run) {
            _ if *sure => limit,
            true => limit.max(MULTI_CAUSE_CRASH_LIMIT),
            false => limit.max(CORRELATED_CRASH_LIMIT),
        };
        fail_crashing_job(job, task, limit, unix, &mut effect);
        effect
    }

    /// Announces the next start of a task in the store, with the lowest run number that it may have, before
    /// it is sent.
    ///
    /// A start that an earlier leader announced may have been sent to a worker that was lost before it
    /// answered this leader; a worker that answered would have reported the run.
    pub(crate) fn announce(&mut self, task: &TaskName, base: RunNumber, lost_before_contact: bool) {
        let Some(job) = self.get_mut(&task.job) else {
            return;
        };
        if job.inherited_starts.remove(&task.key)
            && let Some(run) = job.progress.announced.remove(&task.key)
        {
            let run_reported = job.last_run.get(&task.key).is_some_and(|last| *last >= run);
            if lost_before_contact && !run_reported {
                job.progress.note_crash(task.key, run, false);
            }
        }
        if job.needs_announcement(task.key, lost_before_contact) {
            let run = job.next_run(&task.key, base);
            job.progress.announced.insert(task.key, run);
            info!(task:% = task, run; "announced a start that may crash its worker");
        }
    }

    /// Consumes the announcement of a task's start, and returns whether there was one.
    pub(crate) fn consume_announcement(&mut self, task: &TaskName) -> bool {
        let job = self.get_mut(&task.job);
        job.is_some_and(|job| job.progress.announced.remove(&task.key).is_some())
    }

    /// Delays suspected tasks when a leader takes over. Crash counts survive a change of leader, and so must
    /// the pauses that follow from them.
    pub(crate) fn delay_suspected(&mut self, now: Instant) {
        for job in self.jobs.values_mut().filter(|job| !job.is_over()) {
            let (crashes, suspect_runs) = (&job.progress.crashes, &job.progress.trials);
            let suspected: BTreeSet<TaskKey> =
                crashes.keys().chain(suspect_runs.keys()).copied().collect();
            for key in suspected {
                let task = job.task_name(key);
                delay_start(job, &task, 0, now);
            }
        }
    }

    /// Notes the start of a suspected task. Returns whether its job has not ended.
    pub(crate) fn note_suspect_run(&mut self, task: &TaskName, suspect_run: SuspectRun) -> bool {
        let job = self.get_mut(&task.job).filter(|job| !job.is_over());
        let is_open = job.is_some();
        if let Some(job) = job {
            if let Some(run) = job.withdrawn.remove(&task.key) {
                job.progress.clear_suspect_run(&task.key, run);
            }
            job.progress.note_suspect_run(task.key, suspect_run);
        }
        is_open
    }

    /// Handles a start that was certainly not carried out.
    pub(crate) fn withdraw(&mut self, task: &TaskName, run: RunNumber) -> JobEffect {
        if let Some(job) = self.get_mut(&task.job) {
            job.withdrawn.insert(task.key, run);
        }
        self.run_lost(task, run, "")
    }

    /// Clears a suspect run that is gone from its worker, or whose worker has been replaced. If the worker
    /// crashed, the crash is recorded in place of the suspect run.
    pub(crate) fn clear_suspect_run(&mut self, task: &TaskName, run: RunNumber) -> bool {
        let job = self.get_mut(&task.job).filter(|job| !job.is_over());
        job.is_some_and(|job| job.progress.clear_suspect_run(&task.key, run))
    }

    /// Notes that a worker has reported a run as begun. Returns whether that is new for a run under which the
    /// worker has crashed or may crash.
    pub(crate) fn confirm_run(&mut self, task: &TaskName, run: RunNumber) -> bool {
        let job = self.get_mut(&task.job);
        job.is_some_and(|job| !job.is_over() && job.progress.confirm_run(task.key, run))
    }

    /// Handles a start that the worker has survived: earlier crashes were not caused by the task.
    pub(crate) fn start_survived(&mut self, task: &TaskName) -> JobEffect {
        let mut effect = JobEffect::default();
        if let Some(job) = self.get_mut(&task.job).filter(|job| !job.is_over()) {
            effect.changed = job.progress.clear_crashes(&task.key);
        }
        effect
    }
}

/// Counts the crashes under a task, and the silences since its starts that may be crashes.
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
    let is_accounted_for = |run: RunNumber| {
        let still_runs = job.live.get(&task).is_some_and(|live| live.run == run);
        still_runs || job.withdrawn.get(&task) == Some(&run)
    };
    let suspect_run_numbers =
        progress.trials.get(&task).into_iter().flatten().map(|suspect_run| suspect_run.run);
    for run in suspect_run_numbers.filter(|run| !is_accounted_for(*run)) {
        count.begun += usize::from(progress.is_confirmed(&task, run));
        count.all += 1;
    }
    count
}

/// Delays the next start of a task that was suspected before, longer with each crash and by a different time
/// for each task, so that suspected tasks do not start at the same time. After the first crash a task starts
/// at once, since most tasks only ran beside the cause.
pub(super) fn delay_start(job: &mut GraphJob, task: &TaskName, run: RunNumber, now: Instant) {
    let count = crash_count(job, task.key);
    let no_newer_run = job.live.get(&task.key).is_none_or(|live| live.run == run);
    if let Some(pause) = restart_delay(task, run, &count)
        && no_newer_run
    {
        job.not_before.insert(task.key, now + pause);
    }
}

/// Fails a job one of whose tasks has crashed too many workers.
pub(super) fn fail_crashing_job(
    job: &mut GraphJob,
    task: &TaskName,
    limit: usize,
    unix: UnixMillis,
    effect: &mut JobEffect,
) {
    let count = crash_count(job, task.key);
    let CrashCount { sure, proven, begun, all } = count;
    let is_lasting = job.step(task.key.step).is_some_and(|step| step.lasting);
    let limit = match is_lasting && job.progress.has_crashed_one_machine(&task.key) {
        true => limit.max(ONE_MACHINE_CRASH_LIMIT),
        false => limit,
    };
    let given_up = count.exceeds_limit(limit);
    info!(task:% = task, sure, proven, begun, all, limit, given_up; "counted the crashes and possible crashes of workers under a task");
    if !given_up {
        return;
    }
    warn!(task:% = task, sure, all, limit; "gave up a task that crashes its workers");
    metrics::counter!("kelplink_crashing_jobs_total").increment(1);
    effect.stops = live_runs(job);
    effect.urgent = true;
    end_job(job, GraphVerdict::Failed, unix);
}
