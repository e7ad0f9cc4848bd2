//! Tells a worker that fails everything from a job that fails everywhere.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::id::{JobId, WorkerId};

/// Failures in a row, of different jobs, that put a worker into quarantine.
const WORKER_FAILURES: usize = 3;
/// Different healthy workers on which a job may fail before it is stopped.
const JOB_WORKERS: usize = 3;
/// Waves of failures of one job on any workers before it is stopped regardless.
const JOB_FAILURES: u32 = 8;
/// First quarantine; it doubles with each one that follows.
const FIRST_QUARANTINE: Duration = Duration::from_secs(30);
/// Longest quarantine.
const LONGEST_QUARANTINE: Duration = Duration::from_secs(120);
/// Longest time that a probe keeps other tasks away.
const PROBE_TIME: Duration = Duration::from_secs(30);
/// First pause before a failed task is tried again; it doubles with each failure.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause before a failed task is tried again.
const LONGEST_PAUSE: Duration = Duration::from_secs(60);

/// What follows from a failure.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HealthVerdict {
    /// Until when the worker gets no new work, if it is put into quarantine now.
    pub quarantine: Option<Instant>,
    /// Whether the job is to be stopped.
    pub stop_job: bool,
    /// How long to wait before the task is tried again.
    pub pause: Duration,
}

#[derive(Clone, Debug, Default)]
struct WorkerHealth {
    /// Jobs that failed here since the last success.
    failed_jobs: BTreeSet<JobId>,
    quarantines: u32,
    /// Whether the next task is a probe after a quarantine.
    probing: bool,
    /// Until when a probe keeps other tasks away.
    probe_until: Option<Instant>,
}

#[derive(Clone, Debug, Default)]
struct JobHealth {
    failed_on: BTreeSet<WorkerId>,
    failures: u32,
    /// Failures before this time are of the same wave and count once.
    next_count: Option<Instant>,
}

/// Failures by worker and by job.
#[derive(Clone, Debug, Default)]
pub struct HealthTable {
    workers: BTreeMap<WorkerId, WorkerHealth>,
    jobs: BTreeMap<JobId, JobHealth>,
}

impl HealthTable {
    /// Notes a success: the worker is well, and so is the job.
    pub fn note_success(&mut self, worker: &WorkerId, job: &JobId) {
        self.workers.remove(worker);
        self.jobs.remove(job);
    }

    /// Notes a failure and tells what follows.
    pub fn note_failure(&mut self, now: Instant, worker: &WorkerId, job: &JobId) -> HealthVerdict {
        let quarantine = self.judge_worker(now, worker, job);
        let suspects: BTreeSet<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, health)| health.failed_jobs.len() >= WORKER_FAILURES || health.probing)
            .map(|(id, _)| id.clone())
            .collect();
        let health = self.jobs.entry(job.clone()).or_default();
        if health.next_count.is_none_or(|at| now >= at) {
            health.failures += 1;
            health.next_count = Some(now + backoff(FIRST_PAUSE, health.failures, LONGEST_PAUSE));
        }
        health.failed_on.insert(worker.clone());
        let healthy = health.failed_on.difference(&suspects).count();
        HealthVerdict {
            quarantine,
            stop_job: healthy >= JOB_WORKERS || health.failures >= JOB_FAILURES,
            pause: backoff(FIRST_PAUSE, health.failures - 1, LONGEST_PAUSE),
        }
    }

    fn judge_worker(&mut self, now: Instant, id: &WorkerId, job: &JobId) -> Option<Instant> {
        let fails_elsewhere =
            self.jobs.get(job).is_some_and(|health| health.failed_on.iter().any(|w| w != id));
        let health = self.workers.entry(id.clone()).or_default();
        if !fails_elsewhere {
            health.failed_jobs.insert(job.clone());
        }
        let bad = health.failed_jobs.len() >= WORKER_FAILURES || health.probing;
        if !bad {
            return None;
        }
        let time = backoff(FIRST_QUARANTINE, health.quarantines, LONGEST_QUARANTINE);
        health.quarantines += 1;
        health.probing = true;
        health.probe_until = None;
        Some(now + time)
    }

    /// A task starts; on a worker after quarantine it is a probe.
    pub fn note_start(&mut self, worker: &WorkerId, now: Instant) {
        if let Some(health) = self.workers.get_mut(worker)
            && health.probing
        {
            health.probe_until = Some(now + PROBE_TIME);
        }
    }

    /// Tells whether a probe runs on a worker after quarantine: until it ends nothing else starts.
    pub fn probe_runs(&self, worker: &WorkerId, now: Instant) -> bool {
        let health = self.workers.get(worker).filter(|health| health.probing);
        health.and_then(|health| health.probe_until).is_some_and(|until| now < until)
    }

    /// Forgets a job that is over.
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
