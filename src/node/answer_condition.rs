//! Conditions under which a leader may give an answer, by the age of its lease.

use std::time::Duration;

/// Time to live of the lease in the store, after which a leader that has died is replaced.
pub(crate) const LEASE_TTL: Duration = Duration::from_millis(1_000);
/// Lease age from which a leader no longer counts waiting jobs.
const MAX_COUNT_AGE: Duration = Duration::from_millis(2_000);

/// The condition that an answer of a leader depends on.
///
/// The reported state of a leader's own jobs is stored, so it may be reported whatever the age of the lease. A job that the
/// leader does not have may have been accepted by a later leader. An absence or a count is therefore reported only for a
/// limited time after the last renewal of the lease, measured from when the renewal was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AnswerCondition {
    /// The answer is a count of the jobs that the leader has.
    Count,
    /// The answer is that the leader does not have the job.
    Absence,
}

impl AnswerCondition {
    /// Whether a leader whose lease has this age may give the answer.
    pub(crate) fn holds(self, lease_age: Duration) -> bool {
        match self {
            Self::Count => lease_age < MAX_COUNT_AGE,
            Self::Absence => lease_age < LEASE_TTL,
        }
    }
}
