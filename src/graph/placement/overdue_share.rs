//! The parts of all calls for advice that overdue steps get before others.
//!
//! The load pattern behind it: more steps want advice than calls can be made for, for as long as the load lasts. Calls are
//! made in the order of urgency, so that without a share the steps at its end get none.

use std::time::Duration;

use tokio::time::Instant;

/// Overdue steps of a kind get one part in this many of the time of all entries.
const ENTRY_TIME_DIVISOR: u32 = 8;

/// Why a step is overdue; each kind has a share of its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OverdueKind {
    /// A lasting task of the step has been absent for too long.
    Restart,
    /// Its job is late.
    Late,
}

/// Limits how often an overdue step comes before all others.
#[derive(Debug, Default)]
struct OverdueShare {
    /// When the next such call is due.
    next_call: Option<Instant>,
}

/// The shares of all kinds.
#[derive(Debug, Default)]
pub(crate) struct OverdueShares {
    restarts: OverdueShare,
    late: OverdueShare,
}

impl OverdueShares {
    /// Whether an overdue step may come first.
    pub(crate) fn is_due(&self, now: Instant, kind: OverdueKind) -> bool {
        let share = match kind {
            OverdueKind::Restart => &self.restarts,
            OverdueKind::Late => &self.late,
        };
        share.next_call.is_none_or(|next| next <= now)
    }

    /// Notes the call for a step that came first, which takes one of the entries for `time`.
    pub(crate) fn note_call(
        &mut self,
        now: Instant,
        kind: OverdueKind,
        time: Duration,
        entries: usize,
    ) {
        let entries = u32::try_from(entries).unwrap_or(u32::MAX).max(1);
        let share = match kind {
            OverdueKind::Restart => &mut self.restarts,
            OverdueKind::Late => &mut self.late,
        };
        share.next_call = Some(now + time * ENTRY_TIME_DIVISOR / entries);
    }
}
