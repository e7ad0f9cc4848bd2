//! When the loss of a dependency is worth a line.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

/// Shortest time from a line to the next, unless that says that the dependency is back.
const LINE_PAUSE: Duration = Duration::from_millis(1_000);
/// A duty that tries without end and has not failed again for this long has ended. The rarest tries are
/// watches of a silent store, one in 2.8 s.
const STEADY_MEMORY: Duration = Duration::from_millis(3_500);
/// A duty that tries where there is need and has not failed again for this long has no more need: groups
/// that the store leaves unanswered are sent each 0.86 s.
const NEED_MEMORY: Duration = Duration::from_millis(1_000);

/// How long a duty goes on trying.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RetryMode {
    /// Without end.
    Steady,
    /// Where there is need.
    OnDemand,
}

impl RetryMode {
    /// How long a failure counts without another.
    fn memory(self) -> Duration {
        match self {
            Self::Steady => STEADY_MEMORY,
            Self::OnDemand => NEED_MEMORY,
        }
    }
}

/// A line that is due.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum DependencyEvent {
    /// The first try that failed.
    Lost {
        duty: String,
        failure: String,
        /// Age of the last answer; `None` where there was none yet.
        answer_age: Option<Duration>,
        /// Losses since the last line that were over before their line was due.
        short_losses: u64,
    },
    /// Tries go on to fail.
    StillLost {
        /// All duties that fail now.
        duties: Vec<String>,
        /// Of the last try.
        failure: String,
        away: Duration,
        tries_failed: u64,
    },
    /// All duties that failed have an answer, or do not ask any more.
    Back {
        /// From the first try that failed.
        away: Duration,
        tries_failed: u64,
    },
}

/// A loss that is not over.
#[derive(Debug)]
struct DependencyLoss {
    since: Instant,
    /// When a try failed last, or when one that had failed was answered.
    latest: Instant,
    tries_failed: u64,
    /// Whether its first line was given.
    told: bool,
    /// Until when the last failure of each duty that has no answer since counts.
    failing: BTreeMap<String, Instant>,
}

impl DependencyLoss {
    fn new(now: Instant) -> Self {
        let failing = BTreeMap::new();
        Self { since: now, latest: now, tries_failed: 0, told: false, failing }
    }

    fn away(&self) -> Duration {
        self.latest.saturating_duration_since(self.since)
    }
}

/// One line when a dependency is lost, one when it is back, and at most one a second between.
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

    /// A try of a duty has failed.
    pub(crate) fn failed(
        &mut self,
        duty: &str,
        mode: RetryMode,
        failure: String,
    ) -> Option<DependencyEvent> {
        let now = Instant::now();
        let loss = self.loss.get_or_insert_with(|| DependencyLoss::new(now));
        loss.latest = now;
        loss.tries_failed += 1;
        let until = loss.failing.entry(duty.to_owned()).or_insert(now);
        *until = (*until).max(now + mode.memory());
        if self.last_line.is_some_and(|at| now.saturating_duration_since(at) < LINE_PAUSE) {
            return None;
        }
        self.last_line = Some(now);
        if loss.told {
            let duties = loss.failing.keys().cloned().collect();
            let (away, tries_failed) = (loss.away(), loss.tries_failed);
            return Some(DependencyEvent::StillLost { duties, failure, away, tries_failed });
        }
        loss.told = true;
        Some(DependencyEvent::Lost {
            duty: duty.to_owned(),
            failure,
            answer_age: self.answered.map(|at| now.saturating_duration_since(at)),
            short_losses: std::mem::take(&mut self.short_losses),
        })
    }

    /// A try of a duty was answered.
    pub(crate) fn answered(&mut self, duty: &str) -> Option<DependencyEvent> {
        let now = Instant::now();
        self.answered = Some(now);
        if let Some(loss) = &mut self.loss
            && loss.failing.remove(duty).is_some()
        {
            loss.latest = now;
        }
        self.look()
    }

    /// Ends a loss of which no duty suffers any more.
    pub(crate) fn look(&mut self) -> Option<DependencyEvent> {
        let now = Instant::now();
        let loss = self.loss.as_mut()?;
        loss.failing.retain(|_, until| *until > now);
        if !loss.failing.is_empty() {
            return None;
        }
        let loss = self.loss.take()?;
        if !loss.told {
            self.short_losses += 1;
            return None;
        }
        self.last_line = Some(now);
        Some(DependencyEvent::Back { away: loss.away(), tries_failed: loss.tries_failed })
    }
}
