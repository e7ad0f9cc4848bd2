//! Delays between the tries of a call that keeps failing.

use std::time::Duration;

use rand::RngExt;

/// Smallest factor by which jitter changes a delay.
const MIN_JITTER: f64 = 0.75;
/// Largest factor by which jitter changes a delay.
const MAX_JITTER: f64 = 1.25;

/// Exponential backoff with jitter: each failure in a row doubles the delay, up to a maximum. With it, the calls of
/// all entries to a store that refuses them do not grow with the length of the outage, and do not come together.
#[derive(Clone, Debug)]
pub(crate) struct RetryBackoff {
    first: Duration,
    longest: Duration,
    next: Duration,
}

impl RetryBackoff {
    /// Creates a backoff that begins with the delay `first` and never exceeds `longest`, before jitter.
    pub(crate) fn new(first: Duration, longest: Duration) -> Self {
        Self { first, longest, next: first }
    }

    /// Begins again with the first delay, after an answer.
    pub(crate) fn reset(&mut self) {
        self.next = self.first;
    }

    /// Returns the delay before the next try.
    pub(crate) fn next_delay(&mut self) -> Duration {
        let delay = self.next;
        self.next = (delay * 2).min(self.longest);
        delay.mul_f64(rand::rng().random_range(MIN_JITTER..MAX_JITTER))
    }
}
