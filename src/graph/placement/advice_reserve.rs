//! Entries that long calls for advice leave free for short ones.

use std::time::Duration;

use tokio::time::Instant;

/// Largest number of entries that long calls leave free: one entry makes 35 urgent calls a second.
const MAX_RESERVED_ENTRIES: usize = 2;
/// Entries for each one that long calls leave free. Where few are left, long calls need most of them: one entry makes two a
/// second.
const ENTRIES_PER_RESERVED: usize = 3;
/// Time without a request for a short call after which steps without tickets may use all entries.
const SHORT_CALL_PAUSE: Duration = Duration::from_secs(2);
/// Time for which such steps have waited beside free entries before they use all of them. A shorter wait ends with the
/// next long call.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Use of the entries that long calls leave free.
#[derive(Debug, Default)]
pub(crate) struct AdviceReserve {
    /// When a short call was last requested, or when the first request of any kind was made.
    last_short_request: Option<Instant>,
    /// Since when a step without tickets has waited for a long call beside free entries.
    waiting_since: Option<Instant>,
}

impl AdviceReserve {
    /// Number of entries that long calls leave free while short calls are expected.
    pub(crate) fn size(entries: usize) -> usize {
        MAX_RESERVED_ENTRIES.min(entries / ENTRIES_PER_RESERVED)
    }

    /// Notes whether one of the current requests is for a short call. A new leader does not know of earlier ones.
    pub(crate) fn note_requests(&mut self, now: Instant, includes_short: bool) {
        if includes_short || self.last_short_request.is_none() {
            self.last_short_request = Some(now);
        }
    }

    /// Notes whether a step without tickets waits for a long call while there are free entries.
    pub(crate) fn note_waiting(&mut self, now: Instant, is_waiting: bool) {
        self.waiting_since = is_waiting.then(|| self.waiting_since.unwrap_or(now));
    }

    /// Whether steps without tickets may use all entries.
    pub(crate) fn is_released(&self, now: Instant) -> bool {
        let lasts = |since: Option<Instant>, time: Duration| {
            since.is_some_and(|moment| now.saturating_duration_since(moment) >= time)
        };
        lasts(self.last_short_request, SHORT_CALL_PAUSE) && lasts(self.waiting_since, MAX_WAIT)
    }
}
