//! How long an answer of a worker is waited for.
//!
//! Load it answers: a link or a leader's machine that is full. Answers then take hundreds of milliseconds, and a
//! fixed wait of 150 ms gave up 10,228 of 12,146 starts, each with its connection, and sent them again into the
//! full link. Measured as for TCP (RFC 6298): the smoothed time, four times its deviation, doubled while
//! nothing is answered at all.

use std::time::Duration;

use tokio::time::Instant;

/// Shortest wait: answers take a few milliseconds, and a command that was lost should cost its task this time
/// only.
const MIN_WAIT: Duration = Duration::from_millis(150);
/// Longest wait: a worker's lease of 4.5 s has to outlive two of them.
const MAX_WAIT: Duration = Duration::from_millis(1_500);
/// Times that the wait is doubled at most.
const MAX_DOUBLINGS: u32 = 4;

/// Measured times of answers, over all workers.
#[derive(Clone, Debug, Default)]
pub struct AnswerTime {
    smoothed: Duration,
    deviation: Duration,
    doublings: u32,
    /// When the wait was doubled last.
    doubled_at: Option<Instant>,
}

impl AnswerTime {
    /// How long an answer is waited for now.
    pub fn wait(&self) -> Duration {
        let measured = self.smoothed + self.deviation * 4;
        (measured.max(MIN_WAIT) * (1 << self.doublings)).min(MAX_WAIT)
    }

    /// An answer took this long.
    pub fn answered(&mut self, took: Duration) {
        self.doublings = 0;
        if self.smoothed.is_zero() {
            self.smoothed = took;
            self.deviation = took / 2;
            return;
        }
        self.deviation = (self.deviation * 3 + took.abs_diff(self.smoothed)) / 4;
        self.smoothed = (self.smoothed * 7 + took) / 8;
    }

    /// No answer came within the wait. Many that were sent together double it once.
    pub fn unanswered(&mut self, now: Instant) {
        let wait = self.wait();
        if self.doubled_at.is_none_or(|at| now.saturating_duration_since(at) >= wait) {
            self.doubled_at = Some(now);
            self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
        }
    }
}
