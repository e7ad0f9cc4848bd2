//! What workers' answers, or their silence, say of runs.

use std::time::Duration;

use tokio::time::Instant;

use crate::graph::crash::{SuspectRun, WorkerCrash};
use crate::graph::exchange::{EndReport, RunReport};
use crate::graph::name::{RunNumber, TaskName};
use crate::graph::worker::{InstanceEnd, WorkerRun};
use crate::id::WorkerId;

/// What an answer, or its absence, says of runs.
#[derive(Debug)]
pub(crate) enum WorkerEvent {
    /// A run ended.
    Ended(WorkerId, EndReport),
    /// A run that this leader has not started.
    Unknown(WorkerId, RunReport),
    /// A run that another life of the worker may still begin, though it does not list it.
    InDoubt(WorkerId, TaskName, RunNumber),
    /// A run that the worker does not have any more, or never got.
    Lost(WorkerId, LostRun),
    /// A run that may have gone on or ended when its worker's lease was over; on probation, it may have crashed it.
    GivenUp(WorkerId, LostRun, Option<SuspectRun>),
    /// A run that was sent is there.
    Confirmed(WorkerId, TaskName, RunNumber),
    /// The worker obeys a later leader.
    Deposed(WorkerId),
    /// The worker answered for the first time under this leader.
    Claimed(WorkerId),
    /// This life of the worker is over.
    Over(WorkerId, InstanceEnd),
    /// A worker has crashed.
    Crashed(WorkerCrash),
    /// A worker is silent: a run on probation that had begun there may have crashed it.
    Doubted(TaskName, SuspectRun),
    /// The worker of a run has outlived its start.
    Survived(TaskName, RunNumber),
}

/// A run that is gone without an end that its worker told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct LostRun {
    /// The task.
    pub(crate) task: TaskName,
    /// Number of the start.
    pub(crate) run: RunNumber,
    /// Last checkpoint; empty where there is none.
    pub(crate) checkpoint: String,
    /// How long after the run's start its worker was last heard; zero where it was not.
    pub(crate) survived: Duration,
    /// Whether its worker had said that it has it.
    pub(crate) begun: bool,
}

impl LostRun {
    pub(crate) fn new(task: TaskName, run: WorkerRun, answered: Option<Instant>) -> Self {
        let survived =
            answered.map_or(Duration::ZERO, |at| at.saturating_duration_since(run.since));
        Self { task, run: run.run, checkpoint: run.checkpoint, survived, begun: run.begun }
    }
}
