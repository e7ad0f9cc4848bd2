//! How current the registrations are that a leader knows.
//!
//! The load pattern behind it: the store renews the leader's lease while changes of registrations do not arrive, because
//! a connection is dead or a read takes long. Without a bound on their age, the leader would start work on workers that
//! have announced long before that they leave. While the store answers nothing at all, work continues: the leader
//! cannot know better, and its lease ends soon.

use std::time::Duration;

use tokio::time::Instant;

/// Compares the time of the last known registrations with that of the leader's lease.
#[derive(Clone, Debug, Default)]
pub(crate) struct RegistrationClock {
    /// Longest time by which the registrations may be older than the lease; `None` where they are not followed.
    max_lag: Option<Duration>,
    /// Time until which all changes of registrations are known.
    confirmed: Option<Instant>,
    lease_renewed: Option<Instant>,
}

impl RegistrationClock {
    /// Sets how much older than the lease the registrations may be.
    pub(crate) fn set_max_lag(&mut self, max_lag: Duration) {
        self.max_lag = Some(max_lag);
    }

    /// Records that all changes of registrations until `at` are known.
    pub(crate) fn confirm(&mut self, at: Instant) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Records that the store has answered a renewal of the leader's lease that was sent at `sent`.
    pub(crate) fn note_lease_renewal(&mut self, sent: Instant) {
        self.lease_renewed = self.lease_renewed.max(Some(sent));
    }

    /// Time until which all changes of registrations are known; `None` before the first reading.
    pub(crate) fn confirmed(&self) -> Option<Instant> {
        self.confirmed
    }

    /// Time before which a change would have been known that becomes known `now`; `None` where that is not certain.
    pub(crate) fn known_until(&self, now: Instant) -> Option<Instant> {
        self.confirmed.or(self.max_lag.is_none().then_some(now))
    }

    /// Time since which changes of registrations may not be known; `None` before the first reading.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.saturating_duration_since(confirmed))
    }

    /// Whether work may start by a registration that was read at this time.
    pub(crate) fn is_current(&self, read: Instant) -> bool {
        let known = self.confirmed.map_or(read, |confirmed| confirmed.max(read));
        match (self.max_lag, self.lease_renewed) {
            (Some(max_lag), Some(renewed)) => renewed.saturating_duration_since(known) <= max_lag,
            _ => true,
        }
    }
}
