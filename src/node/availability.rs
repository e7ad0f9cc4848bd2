//! Whether the store answers this entry, as the renewals of the entry's lease show.
//!
//! The renewals go on while the store does not answer, and all other loops wait for their result. So an outage costs
//! one call at a time for each entry, and every loop continues as soon as the store answers again.
//!
//! Renewals say nothing of the connection of a watch, which may have gone silent by itself. So a watch of what has to be
//! followed at once ends early and is sent again.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;

use crate::node::backoff::RetryBackoff;
use crate::node::settings::NodeSettings;

/// Maximum wait of a watch call of an entry.
pub(crate) const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Part of the contact time that a watch of the configuration or of the leaders waits: the rest is for noticing that it is
/// not answered, and for reading again.
const CONTACT_FRACTION: f64 = 0.5;
/// Number of these watches that each entry has.
const SHORT_WATCHES: f64 = 2.0;
/// Share of the store's reading calls that they use for all entries, however many there are.
const WATCH_CALL_SHARE: f64 = 0.2;
/// Share of these calls that the renewals of all entries may need for the watches to be short. With more of them, refused
/// watches and renewals would keep each other from being answered.
const MAX_RENEWAL_SHARE: f64 = 0.34;

/// Longest interval between the renewals of an entry that does not lead. A failed one is repeated before the lease ends.
pub(crate) const MAX_RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// Longest delay, before jitter, between the tries of a loop while renewals show no return of the store.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// How long a watch of the configuration or of the leaders waits, where this is the number of entries.
pub(crate) fn short_watch_wait(settings: &NodeSettings, entries: usize) -> Duration {
    let entries = entries as f64;
    let renewals = entries / MAX_RENEWAL_INTERVAL.as_secs_f64();
    if renewals > settings.store_reads * MAX_RENEWAL_SHARE {
        return WATCH_WAIT;
    }
    let calls = settings.store_reads * WATCH_CALL_SHARE / SHORT_WATCHES;
    let affordable = Duration::from_secs_f64(entries / calls);
    longest_short_wait(settings).max(affordable).min(WATCH_WAIT)
}

/// Whether there are so many entries for the rates of the store that a silent watch is noticed too late.
pub(crate) fn notices_silence_late(settings: &NodeSettings, entries: usize) -> bool {
    short_watch_wait(settings, entries) > longest_short_wait(settings)
}

fn longest_short_wait(settings: &NodeSettings) -> Duration {
    settings.contact_time.mul_f64(CONTACT_FRACTION)
}

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
