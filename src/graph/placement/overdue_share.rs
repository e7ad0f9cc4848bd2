//! The part of all calls for advice that overdue steps get before others.

use std::time::Duration;

use tokio::time::Instant;

/// Overdue steps get one part in this many of the time of all entries.
const ENTRY_TIME_DIVISOR: u32 = 8;

/// Limits how often an overdue step comes before those that are still in time.
#[derive(Debug, Default)]
pub(crate) struct OverdueShare {
    /// When the next such call is due.
    next_call: Option<Instant>,
}

impl OverdueShare {
    /// Whether an overdue step may come first.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        self.next_call.is_none_or(|next| next <= now)
    }

    /// Notes the call for a step that came first, which takes one of the entries for `time`.
    pub(crate) fn note_call(&mut self, now: Instant, time: Duration, entries: usize) {
        let entries = u32::try_from(entries).unwrap_or(u32::MAX).max(1);
        self.next_call = Some(now + time * ENTRY_TIME_DIVISOR / entries);
    }
}
