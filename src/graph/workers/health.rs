//! Health of a worker, judged by the outcomes and the speed of its runs.
//!
//! It is needed for workers that fail, block or slow down everything they start while they report themselves
//! as healthy. Of 48 workers, three such workers affect nearly half of all jobs of ten tasks.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use crate::graph::workload::name::GraphId;

/// Number of different jobs with failed runs, without a success in between, from which a worker is faulty.
/// One in twenty runs fails through its own fault, so a healthy worker is suspected wrongly once in 400 ends.
const FAULTY_JOB_COUNT: usize = 2;
/// How long a faulty worker gets no new work, doubled with each further job that fails there.
const FAULTY_PAUSE: Duration = Duration::from_millis(1_500);
/// Longest such pause: the known disturbances last 4 to 7 s.
const MAX_FAULTY_PAUSE: Duration = Duration::from_secs(6);
/// How long a worker counts as doubtful after a failure.
const DOUBTFUL_TIME: Duration = Duration::from_secs(8);
/// Working time after which new measurements make up two thirds of the speed.
const SPEED_DECAY_TIME: Duration = Duration::from_millis(1_000);
/// Speed, relative to declared run times, below which a worker is slow. Declared run times are off by a
/// factor of three in one step of ten; slow workers are slower by a factor of four to eight.
const SLOW_SPEED: f64 = 0.35;
/// Speed below which work counts as stalled.
const STALLED_SPEED: f64 = 0.04;
/// How long a measured speed stays valid without a new measurement.
const SPEED_VALIDITY: Duration = Duration::from_secs(3);

/// Health of a worker, best first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum HealthRank {
    /// No fault is known.
    Sound,
    /// It is slow, or a run failed there: it is used last.
    Doubtful,
    /// Work fails or stalls there: it gets no new work for now.
    Faulty,
}

/// Outcomes and speed of one worker's runs.
#[derive(Clone, Debug)]
pub struct WorkerHealth {
    /// Jobs with failed runs since the last run that succeeded.
    failed_jobs: BTreeSet<GraphId>,
    failed_at: Option<Instant>,
    /// Work done per second, relative to declared run times.
    speed: f64,
    measured_at: Option<Instant>,
}

impl Default for WorkerHealth {
    fn default() -> Self {
        Self { failed_jobs: BTreeSet::new(), failed_at: None, speed: 1.0, measured_at: None }
    }
}

impl WorkerHealth {
    /// Notes a failed run.
    pub(crate) fn note_failure(&mut self, now: Instant, job: &GraphId) {
        self.failed_jobs.insert(job.clone());
        self.failed_at = Some(now);
    }

    /// Notes a successful run.
    pub(crate) fn note_success(&mut self) {
        self.failed_jobs.clear();
        self.failed_at = None;
    }

    /// Notes that runs have done `work`, in terms of declared run times, in `time`, both summed over all
    /// runs.
    pub(crate) fn note_work(&mut self, now: Instant, work: Duration, time: Duration) {
        if time.is_zero() {
            return;
        }
        let sample = work.as_secs_f64() / time.as_secs_f64();
        let weight = 1.0 - (-time.as_secs_f64() / SPEED_DECAY_TIME.as_secs_f64()).exp();
        self.speed += (sample.min(1.0) - self.speed) * weight;
        self.measured_at = Some(now);
    }

    /// Work done per second, relative to declared run times; `None` without a recent measurement.
    pub(crate) fn speed(&self, now: Instant) -> Option<f64> {
        let fresh = |at: &Instant| now.saturating_duration_since(*at) < SPEED_VALIDITY;
        self.measured_at.as_ref().filter(|at| fresh(at)).map(|_| self.speed)
    }

    /// Current health rank of the worker.
    pub fn rank(&self, now: Instant) -> HealthRank {
        let since = self.failed_at.map(|at| now.saturating_duration_since(at));
        match (since, self.speed(now)) {
            (Some(since), _) if since < self.pause() => HealthRank::Faulty,
            (_, Some(speed)) if speed < STALLED_SPEED => HealthRank::Faulty,
            (_, Some(speed)) if speed < SLOW_SPEED => HealthRank::Doubtful,
            (Some(since), _) if since < DOUBTFUL_TIME => HealthRank::Doubtful,
            _ => HealthRank::Sound,
        }
    }

    fn pause(&self) -> Duration {
        match self.failed_jobs.len().checked_sub(FAULTY_JOB_COUNT) {
            Some(extra_jobs) => (FAULTY_PAUSE * (1 << extra_jobs.min(4))).min(MAX_FAULTY_PAUSE),
            None => Duration::ZERO,
        }
    }
}
