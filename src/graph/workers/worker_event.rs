//! Events of runs and workers that follow from workers' answers or their silence.

use std::time::Duration;

use tokio::time::Instant;

use crate::graph::exchange::{EndReport, RunReport};
use crate::graph::workers::run::WorkerRun;
use crate::graph::workers::worker::InstanceEnd;
use crate::graph::workload::crash::{SuspectRun, WorkerCrash};
use crate::graph::workload::name::{RunNumber, TaskName};
use crate::id::WorkerId;

/// An event that follows from an answer or from its absence.
#[derive(Debug)]
pub(crate) enum WorkerEvent {
    /// A run ended.
    Ended(WorkerId, EndReport),
    /// A worker lists a run that this leader has not started.
    Unknown(WorkerId, RunReport),
    /// Another instance of the worker does not list a run, but may still begin it.
    MayStillBegin(WorkerId, TaskName, RunNumber),
    /// A run is no longer on its worker, or never arrived there.
    Lost(WorkerId, LostRun),
    /// A run was given up because its worker's lease expired; whether it continued or ended before that is
    /// unknown. A run on probation may have crashed the worker.
    GivenUp(WorkerId, LostRun, Option<SuspectRun>),
    /// A worker has confirmed a run that was sent.
    Confirmed(WorkerId, TaskName, RunNumber),
    /// The worker follows a later leader.
    Deposed(WorkerId),
    /// The worker has answered this leader for the first time.
    Claimed(WorkerId),
    /// The worker has listed all its runs and ends to this leader for the first time.
    ListedAll(WorkerId),
    /// The instance of the worker has ended.
    InstanceEnded(WorkerId, InstanceEnd),
    /// A worker has crashed.
    Crashed(WorkerCrash),
    /// A worker is silent, and a run on probation that had begun there may have crashed it.
    CrashSuspected(TaskName, SuspectRun),
    /// The worker has survived the start of a run.
    Survived(TaskName, RunNumber),
}

/// A run that is gone without an end reported by its worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct LostRun {
    /// The task.
    pub(crate) task: TaskName,
    /// Number of the start.
    pub(crate) run: RunNumber,
    /// Last checkpoint; empty where there is none.
    pub(crate) checkpoint: String,
    /// How long after the run's start its worker last answered; zero if it did not.
    pub(crate) survived: Duration,
    /// When its worker last answered, or the run was started.
    pub(crate) last_heard: Instant,
    /// Whether its worker had reported it as begun.
    pub(crate) begun: bool,
}

impl LostRun {
    pub(crate) fn new(task: TaskName, run: WorkerRun, answered: Option<Instant>) -> Self {
        let survived =
            answered.map_or(Duration::ZERO, |at| at.saturating_duration_since(run.since));
        Self {
            task,
            run: run.run,
            checkpoint: run.checkpoint,
            survived,
            last_heard: run.since + survived,
            begun: run.begun,
        }
    }
}
