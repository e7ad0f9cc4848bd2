//! What an answer of a leader rests on, and how old its lease may be then.

use std::time::Duration;

/// Life of the lease in the store: a leader that dies is replaced after it.
pub(crate) const LEASE_TTL: Duration = Duration::from_millis(1_000);
/// How old a count of waiting jobs may be.
const COUNT_AGE: Duration = Duration::from_millis(2_000);

/// What an answer of a leader rests on.
///
/// What a leader tells of its jobs is stored, and may be told however long ago the lease was renewed. A job that it does not
/// have may have been accepted by a later leader, so that an absence or a count is told only within a time of the last renewal,
/// from when that was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AnswerCondition {
    /// It counts the jobs that it has.
    Count,
    /// It does not have the job.
    Absence,
}

impl AnswerCondition {
    /// Whether the answer may be given by a leader whose lease was renewed so long ago.
    pub(crate) fn holds(self, lease_age: Duration) -> bool {
        match self {
            Self::Count => lease_age < COUNT_AGE,
            Self::Absence => lease_age < LEASE_TTL,
        }
    }
}
