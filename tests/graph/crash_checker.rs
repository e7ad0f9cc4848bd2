//! What callers and workers saw of crashed workers and failed runs, and what a leader may make of it.

use std::collections::{BTreeMap, BTreeSet};

use kelplink::{GraphRecord, InstanceStart, RunNumber, StepKey, TaskName, WorkerId};

use crate::model_worker::ModelWorker;

/// Workers that may crash under a task before its starts are counted.
const CRASH_LIMIT: usize = 3;
/// Starts of such a task after that, by a leader in touch, that are too many.
const START_LIMIT: u32 = 3;
/// Workers that have to have crashed under a task before its job may be given up.
const MIN_CRASHES_TO_FAIL: usize = 2;

/// Keeps what was seen of each task.
#[derive(Debug, Default)]
pub(crate) struct CrashChecker {
    /// Lives of workers that crashed while a task ran on them.
    crashed_instances: BTreeMap<TaskName, BTreeSet<(WorkerId, InstanceStart)>>,
    /// Starts of tasks that crash their workers, by leaders in touch, after the last crash that is allowed.
    counted_starts: BTreeMap<TaskName, u32>,
    /// Runs that workers listed as failed.
    failed_runs: BTreeMap<TaskName, BTreeSet<RunNumber>>,
}

impl CrashChecker {
    /// A worker has crashed with a task on it.
    pub(crate) fn note_crash(&mut self, worker: &ModelWorker, task: &TaskName) {
        let instance = (worker.id().clone(), worker.registration.instance_start);
        self.crashed_instances.entry(task.clone()).or_default().insert(instance);
    }

    /// A worker lists a run as failed.
    pub(crate) fn note_failure(&mut self, task: &TaskName, run: RunNumber) {
        self.failed_runs.entry(task.clone()).or_default().insert(run);
    }

    /// Number of workers that crashed under a task.
    pub(crate) fn crashes(&self, task: &TaskName) -> usize {
        self.crashed_instances.get(task).map_or(0, BTreeSet::len)
    }

    /// A leader in touch has started a task that crashes its workers.
    pub(crate) fn check_start(&mut self, task: &TaskName) {
        if self.crashes(task) < CRASH_LIMIT {
            return;
        }
        let starts = self.counted_starts.entry(task.clone()).or_default();
        *starts += 1;
        assert!(
            *starts < START_LIMIT,
            "{task} is started {starts} times after {} workers crashed under it",
            self.crashed_instances[task].len()
        );
    }

    /// A job is shown as failed.
    pub(crate) fn check_failed(&self, record: &GraphRecord) {
        let job = &record.spec.id;
        let crashed = self.crashed_instances.iter().filter(|(task, _)| task.job == *job);
        let by_crashes = crashed.map(|(_, workers)| workers.len()).max().unwrap_or(0);
        let mut runs: BTreeMap<StepKey, BTreeSet<RunNumber>> = BTreeMap::new();
        let mut by_failures = 0;
        for (task, failed) in self.failed_runs.iter().filter(|(task, _)| task.job == *job) {
            by_failures = by_failures.max(failed.len());
            let step = record.spec.steps.get(task.key.step.step as usize);
            if step.is_some_and(|step| step.gang) {
                runs.entry(task.key.step).or_default().extend(failed);
            }
        }
        let by_gangs = runs.values().map(BTreeSet::len).max().unwrap_or(0);
        let failures = by_failures.max(by_gangs);
        assert!(
            by_crashes >= MIN_CRASHES_TO_FAIL || failures >= record.rule.max_attempts as usize,
            "{job} is shown as failed after {failures} failed runs and {by_crashes} crashes"
        );
    }
}
