//! Decides when the loss of a dependency is logged.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

/// Minimum time between log lines, except before the line that the dependency is back.
const MIN_LINE_GAP: Duration = Duration::from_millis(1_000);
/// How long a failure counts for a loop that retries forever: one without another failure for this long has ended. Lease
/// renewals, which go on while the store does not answer, come every 1.5 s at the least.
const STEADY_RETENTION: Duration = Duration::from_millis(3_500);
/// How long a failure counts for a loop that calls on demand: one without another failure for this long has nothing
/// left to call for. Groups that the store leaves unanswered are sent every 0.86 s.
const ON_DEMAND_RETENTION: Duration = Duration::from_millis(1_000);

/// Whether a loop keeps retrying a call that failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RetryMode {
    /// Retries forever.
    Steady,
    /// Calls only on demand.
    OnDemand,
}

impl RetryMode {
    /// How long a failure counts without another.
    fn retention(self) -> Duration {
        match self {
            Self::Steady => STEADY_RETENTION,
            Self::OnDemand => ON_DEMAND_RETENTION,
        }
    }
}

/// An event to log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum DependencyEvent {
    /// A first call has failed.
    Lost {
        /// Name of the loop in the log.
        duty: String,
        failure: String,
        /// Age of the last answer; `None` if there was none yet.
        answer_age: Option<Duration>,
        /// Losses since the last line that ended before they could be logged.
        short_losses: u64,
    },
    /// Calls continue to fail.
    StillLost {
        /// Names of all loops whose calls fail now.
        duties: Vec<String>,
        /// Failure of the last call.
        failure: String,
        away: Duration,
        tries_failed: u64,
    },
    /// All loops that had failures have an answer, or no longer call.
    Back {
        /// Time since the first failed call.
        away: Duration,
        tries_failed: u64,
    },
}

/// A loss that has not ended.
#[derive(Debug)]
struct DependencyLoss {
    since: Instant,
    /// Time of the last failed call, or of the last answer to a loop whose call had failed.
    latest: Instant,
    tries_failed: u64,
    /// Whether the loss was logged.
    reported: bool,
    /// For each loop without an answer since its last failure: until when that failure counts.
    failing: BTreeMap<String, Instant>,
}

impl DependencyLoss {
    fn new(now: Instant) -> Self {
        let failing = BTreeMap::new();
        Self { since: now, latest: now, tries_failed: 0, reported: false, failing }
    }

    fn away(&self) -> Duration {
        self.latest.saturating_duration_since(self.since)
    }
}

/// Tracks the loss of one dependency: one event when it is lost, one when it is back, and at most one a second between.
#[derive(Debug, Default)]
pub(crate) struct DependencyMonitor {
    loss: Option<DependencyLoss>,
    answered: Option<Instant>,
    last_line: Option<Instant>,
    short_losses: u64,
}

impl DependencyMonitor {
    /// Whether the dependency is lost.
    pub(crate) fn is_lost(&self) -> bool {
        self.loss.is_some()
    }

    /// Records that a call of a loop has failed.
    pub(crate) fn failed(
        &mut self,
        log_name: &str,
        mode: RetryMode,
        failure: String,
    ) -> Option<DependencyEvent> {
        let now = Instant::now();
        let loss = self.loss.get_or_insert_with(|| DependencyLoss::new(now));
        loss.latest = now;
        loss.tries_failed += 1;
        let until = loss.failing.entry(log_name.to_owned()).or_insert(now);
        *until = (*until).max(now + mode.retention());
        if self.last_line.is_some_and(|at| now.saturating_duration_since(at) < MIN_LINE_GAP) {
            return None;
        }
        self.last_line = Some(now);
        if loss.reported {
            let duties = loss.failing.keys().cloned().collect();
            let (away, tries_failed) = (loss.away(), loss.tries_failed);
            return Some(DependencyEvent::StillLost { duties, failure, away, tries_failed });
        }
        loss.reported = true;
        Some(DependencyEvent::Lost {
            duty: log_name.to_owned(),
            failure,
            answer_age: self.answered.map(|at| now.saturating_duration_since(at)),
            short_losses: std::mem::take(&mut self.short_losses),
        })
    }

    /// Records that a call of a loop was answered.
    pub(crate) fn answered(&mut self, log_name: &str) -> Option<DependencyEvent> {
        let now = Instant::now();
        self.answered = Some(now);
        if let Some(loss) = &mut self.loss
            && loss.failing.remove(log_name).is_some()
        {
            loss.latest = now;
        }
        self.expire_failures()
    }

    /// Ends the loss once no failure counts any more.
    pub(crate) fn expire_failures(&mut self) -> Option<DependencyEvent> {
        let now = Instant::now();
        let loss = self.loss.as_mut()?;
        loss.failing.retain(|_, until| *until > now);
        if !loss.failing.is_empty() {
            return None;
        }
        let loss = self.loss.take()?;
        if !loss.reported {
            self.short_losses += 1;
            return None;
        }
        self.last_line = Some(now);
        Some(DependencyEvent::Back { away: loss.away(), tries_failed: loss.tries_failed })
    }
}
