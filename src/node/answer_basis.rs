//! What an answer of a leader rests on, and how old its lease may be then.

use std::time::Duration;

/// Life of the lease in the store: a leader that dies is replaced after it.
pub(crate) const LEASE_TTL: Duration = Duration::from_millis(1_000);
/// How old a count of waiting jobs may be.
const COUNT_AGE: Duration = Duration::from_millis(2_000);

/// What an answer of a leader rests on.
///
/// What a leader has is stored: it may be told from memory, also long after the lease was renewed. What it does not have, the
/// leader after it may have accepted: that is told only while no later leader can have accepted anything that matters, reckoned
/// from the sending of the call that renewed the lease last.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AnswerBasis {
    /// It counts the jobs that it has.
    Count,
    /// It does not have the job.
    Absence,
}

impl AnswerBasis {
    /// Whether the answer may be given by a leader whose lease was renewed so long ago.
    pub(crate) fn holds(self, lease_age: Duration) -> bool {
        match self {
            Self::Count => lease_age < COUNT_AGE,
            Self::Absence => lease_age < LEASE_TTL,
        }
    }
}
