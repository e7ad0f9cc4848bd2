//! How many starts may be without an answer at the same time.
//!
//! Load it answers: a leader on a link of 2 Mbit/s whose queues ask for 200 starts at once, each of some 700
//! bytes both ways. Sent together they wait a second for the link, behind them renewals of leases and stops. As
//! in TCP the window grows with answers in time, and is halved when they are late or missing.

use std::time::Duration;

use tokio::time::Instant;

/// Starts at first: a job of the widest kind at once.
const INITIAL_LIMIT: f64 = 128.0;
/// Fewest: a link that answers nothing is still tried with a few jobs.
const MIN_LIMIT: f64 = 16.0;
/// Most: each has a connection, and an entry keeps 1,200 descriptors for these, for polls and for the store.
const MAX_LIMIT: f64 = 512.0;
/// An answer after this time is late: the link or the machine has a queue, and renewals wait in it as well.
const LATE_ANSWER: Duration = Duration::from_millis(120);
/// Share that is left of the window.
const SHRINK_FACTOR: f64 = 0.5;
/// Time after which it may shrink again: the answers to what was sent before say nothing new.
const SHRINK_PAUSE: Duration = Duration::from_millis(250);

/// The window of a leader.
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
    /// Starts that may be without an answer.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// A start was answered after this time.
    pub fn answered(&mut self, now: Instant, took: Duration) {
        match took > LATE_ANSWER {
            true => self.shrink(now),
            false => self.limit = (self.limit + 2.0 / self.limit.sqrt()).min(MAX_LIMIT),
        }
    }

    /// A start was not answered.
    pub fn unanswered(&mut self, now: Instant) {
        self.shrink(now);
    }

    fn shrink(&mut self, now: Instant) {
        let rested = |at: Instant| now.saturating_duration_since(at) >= SHRINK_PAUSE;
        if self.last_shrink.is_none_or(rested) {
            self.last_shrink = Some(now);
            self.limit = (self.limit * SHRINK_FACTOR).max(MIN_LIMIT);
        }
    }
}
