//! Whether a worker can be trusted with work, from what became of the work it has.
//!
//! Load it answers: workers that fail, hold or slow down whatever they start while they look healthy.
//! Of 48 workers three such touch nearly half of all jobs of ten tasks.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use crate::graph::name::GraphId;

/// Failed runs of different jobs, without one that succeeded between, from which a worker is at fault:
/// one in twenty runs fails by its own fault, so a sound worker is suspected wrongly once in 400 ends.
const FAULTY_JOB_COUNT: usize = 2;
/// How long a worker at fault is given no new work, doubled with each further job that fails there.
const FAULTY_PAUSE: Duration = Duration::from_millis(1_500);
/// Longest such pause: the troubles that our users know last 4 to 7 s.
const MAX_FAULTY_PAUSE: Duration = Duration::from_secs(6);
/// How long a failure casts doubt on a worker.
const DOUBTFUL_TIME: Duration = Duration::from_secs(8);
/// Time of work after which a measured speed counts for two thirds.
const SPEED_DECAY_TIME: Duration = Duration::from_millis(1_000);
/// Speed, against what callers declare, below which a worker is slow. Declared run times are off by a
/// factor of three in one step of ten; slow workers are slower by a factor of four to eight.
const SLOW_SPEED: f64 = 0.35;
/// Speed below which work stands still.
const STALLED_SPEED: f64 = 0.04;
/// How long a measured speed holds without another.
const SPEED_VALIDITY: Duration = Duration::from_secs(3);

/// What a worker is good for, best first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum HealthRank {
    /// Nothing speaks against it.
    Sound,
    /// It is slow, or something failed there: it comes last.
    Doubtful,
    /// Work fails or stands still there: it gets none for now.
    Faulty,
}

/// What is known of one worker's work.
#[derive(Clone, Debug)]
pub struct WorkerHealth {
    /// Jobs with failed runs since the last run that succeeded.
    failed_jobs: BTreeSet<GraphId>,
    failed_at: Option<Instant>,
    /// Work done in a second, against what callers declare.
    speed: f64,
    measured_at: Option<Instant>,
}

impl Default for WorkerHealth {
    fn default() -> Self {
        Self { failed_jobs: BTreeSet::new(), failed_at: None, speed: 1.0, measured_at: None }
    }
}

impl WorkerHealth {
    /// A run failed.
    pub(crate) fn note_failure(&mut self, now: Instant, job: &GraphId) {
        self.failed_jobs.insert(job.clone());
        self.failed_at = Some(now);
    }

    /// A run succeeded.
    pub(crate) fn note_success(&mut self) {
        self.failed_jobs.clear();
        self.failed_at = None;
    }

    /// Runs have done `work`, by what their callers declare, in `time`, summed over all of them.
    pub(crate) fn note_work(&mut self, now: Instant, work: Duration, time: Duration) {
        if time.is_zero() {
            return;
        }
        let sample = work.as_secs_f64() / time.as_secs_f64();
        let weight = 1.0 - (-time.as_secs_f64() / SPEED_DECAY_TIME.as_secs_f64()).exp();
        self.speed += (sample.min(1.0) - self.speed) * weight;
        self.measured_at = Some(now);
    }

    /// Work done in a second, against what callers declare, where that was measured lately.
    pub(crate) fn speed(&self, now: Instant) -> Option<f64> {
        let fresh = |at: &Instant| now.saturating_duration_since(*at) < SPEED_VALIDITY;
        self.measured_at.as_ref().filter(|at| fresh(at)).map(|_| self.speed)
    }

    /// What the worker is good for now.
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
