//! Evidence that a task of a job has begun.

/// Worker report that shows that a task has begun.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BeginEvidence {
    /// It answered the start.
    Answered,
    /// It lists the run.
    Listed,
    /// It lists the run's end.
    Ended,
}
