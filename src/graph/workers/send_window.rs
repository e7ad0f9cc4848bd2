//! Congestion window: limits how many starts may be unanswered at the same time.
//!
//! It protects a slow link, for instance one of 2 Mbit/s when queues need 200 starts at once, each
//! of some 700 bytes both ways. Sent together, these wait a second for the link and delay lease
//! renewals and stops behind them. As in TCP, the window grows with timely answers and is halved
//! when answers are late or missing.

use std::time::Duration;

use tokio::time::Instant;

/// Initial window: enough to start a job of the widest kind at once.
const INITIAL_LIMIT: f64 = 128.0;
/// Smallest window: a link that answers nothing is still probed with a few jobs.
const MIN_LIMIT: f64 = 16.0;
/// Largest window: each start has a connection, and an entry has 1,200 file descriptors for these,
/// for polls and for the store.
const MAX_LIMIT: f64 = 512.0;
/// Time from which an answer is late: the link or the machine has a queue, in which lease renewals
/// wait as well.
const LATE_ANSWER: Duration = Duration::from_millis(120);
/// Factor by which the window shrinks.
const SHRINK_FACTOR: f64 = 0.5;
/// Shortest interval between reductions of the window: answers to starts sent before the last
/// reduction carry no new information.
const SHRINK_PAUSE: Duration = Duration::from_millis(250);

/// The window of unanswered starts of a leader.
#[derive(Clone, Debug)]
pub struct SendWindow {
    limit: f64,
    last_shrink: Option<Instant>,
}

impl Default for SendWindow {
    fn default() -> Self {
        Self { limit: INITIAL_LIMIT, last_shrink: None }
    }
}

impl SendWindow {
    /// Number of starts that may be unanswered.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Records that a start was answered after `took`.
    pub fn answered(&mut self, now: Instant, took: Duration) {
        match took > LATE_ANSWER {
            true => self.shrink(now),
            false => self.limit = (self.limit + 2.0 / self.limit.sqrt()).min(MAX_LIMIT),
        }
    }

    /// Records that a start was not answered.
    pub fn unanswered(&mut self, now: Instant) {
        self.shrink(now);
    }

    fn shrink(&mut self, now: Instant) {
        let may_shrink = |at: Instant| now.saturating_duration_since(at) >= SHRINK_PAUSE;
        if self.last_shrink.is_none_or(may_shrink) {
            self.last_shrink = Some(now);
            self.limit = (self.limit * SHRINK_FACTOR).max(MIN_LIMIT);
        }
    }
}
