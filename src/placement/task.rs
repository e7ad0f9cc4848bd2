//! Stages of a task that holds a reservation on a worker.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::id::{Attempt, TaskId, WorkerId};
use crate::resources::ResourceVector;

/// Why a task is being stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopReason {
    /// Its job was cancelled or its intent changed.
    Cancelled,
    /// Urgent work needs its capacity; the task is checkpointed and queued again.
    Preempted,
    /// Another task of its all-at-once job ended without success; all start again together.
    GangFailed,
    /// Its worker is leaving.
    Leaving,
    /// It belongs to no job of this failure domain.
    Stray,
}

/// Stage of a task whose start was commanded and not confirmed yet.
#[derive(Clone, Debug)]
pub struct StartingTask {
    /// When it was commanded.
    pub since: Instant,
}

/// Stage of a running task.
#[derive(Clone, Debug)]
pub struct RunningTask {
    /// When a report first showed it running.
    pub since: Instant,
}

/// Stage of a task whose stop was commanded and whose end was not reported yet.
#[derive(Clone, Debug)]
pub struct StoppingTask {
    /// Why it is being stopped.
    pub reason: StopReason,
    /// When a report first showed it running, if any did.
    pub ran_since: Option<Instant>,
}

/// A task in one stage; each transition consumes the value of the earlier stage.
#[derive(Clone, Debug)]
pub struct StagedTask<S> {
    /// The task.
    pub id: TaskId,
    /// The worker that holds its reservation.
    pub worker: WorkerId,
    /// Resources reserved for it on the worker.
    pub need: ResourceVector,
    /// Attempt number.
    pub attempt: Attempt,
    /// When it is expected to end.
    pub expected_end: Instant,
    /// Data of this stage.
    pub stage: S,
}

impl<S> StagedTask<S> {
    fn with_stage<T>(self, stage: T) -> StagedTask<T> {
        StagedTask {
            id: self.id,
            worker: self.worker,
            need: self.need,
            attempt: self.attempt,
            expected_end: self.expected_end,
            stage,
        }
    }
}

impl StagedTask<StartingTask> {
    /// Creates a task whose reservation is made and whose start is commanded.
    pub(crate) fn new(
        now: Instant,
        id: TaskId,
        worker: WorkerId,
        need: ResourceVector,
        attempt: Attempt,
        run_time: Duration,
    ) -> Self {
        let stage = StartingTask { since: now };
        Self { id, worker, need, attempt, expected_end: now + run_time, stage }
    }

    /// Moves to the running stage after a report of the worker.
    pub(crate) fn run(self, since: Instant) -> StagedTask<RunningTask> {
        self.with_stage(RunningTask { since })
    }

    /// Moves to the stopping stage before any report showed the task running.
    pub(crate) fn stop(self, reason: StopReason) -> StagedTask<StoppingTask> {
        self.with_stage(StoppingTask { reason, ran_since: None })
    }
}

impl StagedTask<RunningTask> {
    /// Moves to the stopping stage.
    pub(crate) fn stop(self, reason: StopReason) -> StagedTask<StoppingTask> {
        let ran_since = Some(self.stage.since);
        self.with_stage(StoppingTask { reason, ran_since })
    }
}

/// A task that holds a reservation, in any stage.
#[derive(Clone, Debug)]
pub enum LiveTask {
    /// Start commanded.
    Starting(StagedTask<StartingTask>),
    /// Running.
    Running(StagedTask<RunningTask>),
    /// Stop commanded.
    Stopping(StagedTask<StoppingTask>),
}

impl LiveTask {
    /// The worker that holds its reservation.
    pub fn worker(&self) -> &WorkerId {
        match self {
            Self::Starting(staged) => &staged.worker,
            Self::Running(staged) => &staged.worker,
            Self::Stopping(staged) => &staged.worker,
        }
    }

    /// Resources reserved for it.
    pub fn need(&self) -> ResourceVector {
        match self {
            Self::Starting(staged) => staged.need,
            Self::Running(staged) => staged.need,
            Self::Stopping(staged) => staged.need,
        }
    }

    /// When it is expected to end.
    pub fn expected_end(&self) -> Instant {
        match self {
            Self::Starting(staged) => staged.expected_end,
            Self::Running(staged) => staged.expected_end,
            Self::Stopping(staged) => staged.expected_end,
        }
    }

    /// Attempt number.
    pub fn attempt(&self) -> Attempt {
        match self {
            Self::Starting(staged) => staged.attempt,
            Self::Running(staged) => staged.attempt,
            Self::Stopping(staged) => staged.attempt,
        }
    }

    /// When a report first showed it running.
    pub fn ran_since(&self) -> Option<Instant> {
        match self {
            Self::Starting(_) => None,
            Self::Running(staged) => Some(staged.stage.since),
            Self::Stopping(staged) => staged.stage.ran_since,
        }
    }

    /// When its start was commanded or a report first showed it running; for a task that is being
    /// stopped, only the latter.
    pub fn since(&self) -> Option<Instant> {
        match self {
            Self::Starting(staged) => Some(staged.stage.since),
            Self::Running(staged) => Some(staged.stage.since),
            Self::Stopping(staged) => staged.stage.ran_since,
        }
    }

    /// Why it is being stopped.
    pub fn stop_reason(&self) -> Option<StopReason> {
        match self {
            Self::Stopping(staged) => Some(staged.stage.reason),
            _ => None,
        }
    }

    /// Short name of the stage.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Starting(_) => "starting",
            Self::Running(_) => "running",
            Self::Stopping(_) => "stopping",
        }
    }

    /// Moves to the stopping stage; a stop that was commanded before keeps its reason.
    pub(crate) fn stop(self, reason: StopReason) -> Self {
        match self {
            Self::Starting(staged) => Self::Stopping(staged.stop(reason)),
            Self::Running(staged) => Self::Stopping(staged.stop(reason)),
            stopping @ Self::Stopping(_) => stopping,
        }
    }

    /// Moves a starting task to the running stage, with the attempt that the worker reported.
    pub(crate) fn run(self, since: Instant, attempt: Attempt) -> Self {
        match self {
            Self::Starting(staged) => Self::Running(StagedTask { attempt, ..staged.run(since) }),
            other => other,
        }
    }
}
