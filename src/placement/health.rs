//! Distinguishes faulty workers from faulty jobs by where and how often tasks fail.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::id::{JobId, WorkerId};

/// Failures in a row, of different jobs, that put a worker into quarantine.
const QUARANTINE_FAILURES: usize = 3;
/// Different healthy workers on which a job may fail before it is stopped.
const MAX_FAILED_WORKERS: usize = 3;
/// Failures of one job on any workers before it is stopped; failures that come close together
/// count once.
const MAX_JOB_FAILURES: u32 = 8;
/// First quarantine; it doubles with each one that follows.
const FIRST_QUARANTINE: Duration = Duration::from_secs(30);
/// Longest quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(120);
/// Longest time for which a probe keeps other tasks off its worker.
const MAX_PROBE_TIME: Duration = Duration::from_secs(30);
/// First delay before a failed task is tried again; it doubles with each failure.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Longest delay before a failed task is tried again.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);

/// Consequences of a failure.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HealthVerdict {
    /// End of the quarantine, if the failure puts the worker into quarantine.
    pub quarantine: Option<Instant>,
    /// Whether the job is to be stopped.
    pub stop_job: bool,
    /// How long to wait before the task is tried again.
    pub retry_delay: Duration,
}

#[derive(Clone, Debug, Default)]
struct WorkerHealth {
    /// Jobs that failed on the worker since its last success.
    failed_jobs: BTreeSet<JobId>,
    quarantines: u32,
    /// Whether the next task is a probe after a quarantine.
    probing: bool,
    /// End of the time for which a running probe keeps other tasks off the worker.
    probe_until: Option<Instant>,
}

#[derive(Clone, Debug, Default)]
struct JobHealth {
    failed_on: BTreeSet<WorkerId>,
    failures: u32,
    /// Failures before this time are not counted: they belong to the failure counted last.
    counts_again_at: Option<Instant>,
}

/// Failures by worker and by job.
#[derive(Clone, Debug, Default)]
pub struct HealthTable {
    workers: BTreeMap<WorkerId, WorkerHealth>,
    jobs: BTreeMap<JobId, JobHealth>,
}

impl HealthTable {
    /// Records a success: it clears the failures of the worker and of the job.
    pub fn note_success(&mut self, worker: &WorkerId, job: &JobId) {
        self.workers.remove(worker);
        self.jobs.remove(job);
    }

    /// Records a failure and returns its consequences.
    pub fn note_failure(&mut self, now: Instant, worker: &WorkerId, job: &JobId) -> HealthVerdict {
        let quarantine = self.note_worker_failure(now, worker, job);
        let faulty_workers: BTreeSet<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, health)| health.failed_jobs.len() >= QUARANTINE_FAILURES || health.probing)
            .map(|(id, _)| id.clone())
            .collect();
        let health = self.jobs.entry(job.clone()).or_default();
        if health.counts_again_at.is_none_or(|at| now >= at) {
            health.failures += 1;
            health.counts_again_at =
                Some(now + backoff(FIRST_RETRY_DELAY, health.failures, MAX_RETRY_DELAY));
        }
        health.failed_on.insert(worker.clone());
        let healthy_workers = health.failed_on.difference(&faulty_workers).count();
        HealthVerdict {
            quarantine,
            stop_job: healthy_workers >= MAX_FAILED_WORKERS || health.failures >= MAX_JOB_FAILURES,
            retry_delay: backoff(FIRST_RETRY_DELAY, health.failures - 1, MAX_RETRY_DELAY),
        }
    }

    fn note_worker_failure(&mut self, now: Instant, id: &WorkerId, job: &JobId) -> Option<Instant> {
        let fails_elsewhere =
            self.jobs.get(job).is_some_and(|health| health.failed_on.iter().any(|w| w != id));
        let health = self.workers.entry(id.clone()).or_default();
        if !fails_elsewhere {
            health.failed_jobs.insert(job.clone());
        }
        let faulty = health.failed_jobs.len() >= QUARANTINE_FAILURES || health.probing;
        if !faulty {
            return None;
        }
        let length = backoff(FIRST_QUARANTINE, health.quarantines, MAX_QUARANTINE);
        health.quarantines += 1;
        health.probing = true;
        health.probe_until = None;
        Some(now + length)
    }

    /// Records the start of a task; the first one after a quarantine is a probe.
    pub fn note_start(&mut self, worker: &WorkerId, now: Instant) {
        if let Some(health) = self.workers.get_mut(worker)
            && health.probing
        {
            health.probe_until = Some(now + MAX_PROBE_TIME);
        }
    }

    /// Tells whether a probe runs on the worker. Nothing else starts there until the probe ends or
    /// its time limit has passed.
    pub fn is_probe_running(&self, worker: &WorkerId, now: Instant) -> bool {
        let health = self.workers.get(worker).filter(|health| health.probing);
        health.and_then(|health| health.probe_until).is_some_and(|until| now < until)
    }

    /// Drops the failures of a job that has ended.
    pub fn forget_job(&mut self, job: &JobId) {
        self.jobs.remove(job);
    }

    /// Tells whether the job has failed on the worker.
    pub fn failed_on(&self, worker: &WorkerId, job: &JobId) -> bool {
        self.jobs.get(job).is_some_and(|health| health.failed_on.contains(worker))
    }
}

fn backoff(first: Duration, doublings: u32, longest: Duration) -> Duration {
    first.saturating_mul(1 << doublings.min(16)).min(longest)
}
