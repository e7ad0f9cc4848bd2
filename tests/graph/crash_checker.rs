//! Checks what leaders conclude from crashed workers and failed runs.

use std::collections::{BTreeMap, BTreeSet};

use kelplink::{GraphRecord, InstanceStart, RunNumber, StepKey, TaskName, WorkerId};

use crate::model_worker::ModelWorker;

/// Number of crashed workers from which on the starts of a task are counted.
const CRASH_LIMIT: usize = 3;
/// Number of counted starts at which the check fails. Only starts by a leader in contact count.
const START_LIMIT: u32 = 3;
/// Number of workers that must have crashed under a task before its job may fail for it.
const MIN_CRASHES_TO_FAIL: usize = 2;

/// Crashes, starts and failures of each task.
#[derive(Debug, Default)]
pub(crate) struct CrashChecker {
    /// Worker instances that crashed while a task ran on them.
    crashed_instances: BTreeMap<TaskName, BTreeSet<(WorkerId, InstanceStart)>>,
    /// Starts of tasks that crash their workers, by leaders in contact, after [`CRASH_LIMIT`]
    /// crashes.
    counted_starts: BTreeMap<TaskName, u32>,
    /// Runs that workers reported as failed.
    failed_runs: BTreeMap<TaskName, BTreeSet<RunNumber>>,
}

impl CrashChecker {
    /// Records that a worker crashed while a task ran on it.
    pub(crate) fn note_crash(&mut self, worker: &ModelWorker, task: &TaskName) {
        let instance = (worker.id().clone(), worker.registration.instance_start);
        self.crashed_instances.entry(task.clone()).or_default().insert(instance);
    }

    /// Records that a worker reported a run as failed.
    pub(crate) fn note_failure(&mut self, task: &TaskName, run: RunNumber) {
        self.failed_runs.entry(task.clone()).or_default().insert(run);
    }

    /// Number of worker instances that crashed under a task.
    pub(crate) fn crashes(&self, task: &TaskName) -> usize {
        self.crashed_instances.get(task).map_or(0, BTreeSet::len)
    }

    /// Checks a start, by a leader in contact, of a task that crashes its workers.
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

    /// Checks that a job with the verdict `Failed` has had enough crashes or failed runs.
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
            "{job} is stored as failed after {failures} failed runs and {by_crashes} crashes"
        );
    }
}
