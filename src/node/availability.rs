//! Whether the store answers this entry, as the renewals of the entry's lease show.
//!
//! The renewals go on while the store does not answer, and all other loops wait for their result. So an outage costs
//! one call at a time for each entry, and every loop continues as soon as the store answers again. A watch whose
//! connection has died unnoticed is sent again at that time too, so that it need not end early to be renewed.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;

use crate::node::backoff::RetryBackoff;

/// Maximum wait of a watch call of an entry.
pub(crate) const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Longest delay, before jitter, between the tries of a loop while renewals show no return of the store.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Results of the lease renewals.
#[derive(Debug, Default)]
pub(crate) struct StoreAvailability {
    failing: AtomicBool,
    /// Number of times that the store has answered again.
    returns: watch::Sender<u64>,
}

impl StoreAvailability {
    /// Records that a renewal got no answer or was refused.
    pub(crate) fn note_failure(&self) {
        self.failing.store(true, Ordering::Relaxed);
    }

    /// Records that a renewal was answered.
    pub(crate) fn note_answer(&self) {
        if self.failing.swap(false, Ordering::Relaxed) {
            self.returns.send_modify(|returns| *returns += 1);
        }
    }

    /// Creates the retry rule of a loop whose first retry comes after `first_delay`.
    pub(crate) fn retry(&self, first_delay: Duration) -> StoreRetry {
        let backoff = RetryBackoff::new(first_delay, MAX_RETRY_DELAY);
        StoreRetry { backoff, returns: self.returns.subscribe() }
    }
}

/// Decides when a loop sends its next call to the store.
pub(crate) struct StoreRetry {
    backoff: RetryBackoff,
    returns: watch::Receiver<u64>,
}

impl StoreRetry {
    /// Waits after a failed call until the next try.
    pub(crate) async fn pause(&mut self) {
        let delay = self.backoff.next_delay();
        tokio::select! {
            () = sleep(delay) => {}
            Ok(()) = self.returns.changed() => self.backoff.reset(),
        }
    }

    /// Waits for the answer to a call that may take long. Returns `None` if the store has returned meanwhile: the call
    /// may have been lost before, and has to be sent again.
    pub(crate) async fn until_return<T>(&mut self, call: impl Future<Output = T>) -> Option<T> {
        self.returns.mark_unchanged();
        tokio::select! {
            answer = call => Some(answer),
            Ok(()) = self.returns.changed() => None,
        }
    }

    /// Records that a call was answered.
    pub(crate) fn note_answer(&mut self) {
        self.backoff.reset();
    }
}
