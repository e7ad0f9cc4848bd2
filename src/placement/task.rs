//! The life of a task that holds room on a worker.

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
    /// Urgent work needs the room; it is checkpointed and queued again.
    Preempted,
    /// Not all tasks of its job could start.
    GangFailed,
    /// Its worker leaves.
    Leaving,
    /// It does not belong here.
    Stray,
}

/// A start was commanded and not yet seen.
#[derive(Clone, Debug)]
pub struct StartingTask {
    /// When it was commanded.
    pub since: Instant,
}

/// It runs.
#[derive(Clone, Debug)]
pub struct RunningTask {
    /// When it was first seen to run.
    pub since: Instant,
}

/// A stop was commanded and its end not yet seen.
#[derive(Clone, Debug)]
pub struct StoppingTask {
    /// Why.
    pub reason: StopReason,
    /// When it had started, if it was seen to run.
    pub ran_since: Option<Instant>,
}

/// A task in one stage of its life; each transition takes the earlier stage.
#[derive(Clone, Debug)]
pub struct StagedTask<S> {
    /// The task.
    pub id: TaskId,
    /// Where it is.
    pub worker: WorkerId,
    /// Room that it holds on the worker.
    pub need: ResourceVector,
    /// Number of this try to run it.
    pub attempt: Attempt,
    /// When it is expected to end.
    pub expected_end: Instant,
    /// What only this stage knows.
    pub stage: S,
}

impl<S> StagedTask<S> {
    fn with<T>(self, stage: T) -> StagedTask<T> {
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
    /// Begins: room is taken and the start commanded.
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

    /// The worker reports that it runs.
    pub(crate) fn run(self, since: Instant) -> StagedTask<RunningTask> {
        self.with(RunningTask { since })
    }

    /// A stop is commanded before it was seen to run.
    pub(crate) fn stop(self, reason: StopReason) -> StagedTask<StoppingTask> {
        self.with(StoppingTask { reason, ran_since: None })
    }
}

impl StagedTask<RunningTask> {
    /// A stop is commanded.
    pub(crate) fn stop(self, reason: StopReason) -> StagedTask<StoppingTask> {
        let ran_since = Some(self.stage.since);
        self.with(StoppingTask { reason, ran_since })
    }
}

/// A task that holds room, in whichever stage.
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
    /// Where it holds room.
    pub fn worker(&self) -> &WorkerId {
        match self {
            Self::Starting(life) => &life.worker,
            Self::Running(life) => &life.worker,
            Self::Stopping(life) => &life.worker,
        }
    }

    /// Room that it holds.
    pub fn need(&self) -> ResourceVector {
        match self {
            Self::Starting(life) => life.need,
            Self::Running(life) => life.need,
            Self::Stopping(life) => life.need,
        }
    }

    /// When it is expected to end.
    pub fn expected_end(&self) -> Instant {
        match self {
            Self::Starting(life) => life.expected_end,
            Self::Running(life) => life.expected_end,
            Self::Stopping(life) => life.expected_end,
        }
    }

    /// Number of this try.
    pub fn attempt(&self) -> Attempt {
        match self {
            Self::Starting(life) => life.attempt,
            Self::Running(life) => life.attempt,
            Self::Stopping(life) => life.attempt,
        }
    }

    /// When it was first seen to run.
    pub fn ran_since(&self) -> Option<Instant> {
        match self {
            Self::Starting(_) => None,
            Self::Running(life) => Some(life.stage.since),
            Self::Stopping(life) => life.stage.ran_since,
        }
    }

    /// When it was started, or first seen to run; for one that is being stopped, only if it was seen to run.
    pub fn since(&self) -> Option<Instant> {
        match self {
            Self::Starting(life) => Some(life.stage.since),
            Self::Running(life) => Some(life.stage.since),
            Self::Stopping(life) => life.stage.ran_since,
        }
    }

    /// Why it is being stopped.
    pub fn stop_reason(&self) -> Option<StopReason> {
        match self {
            Self::Stopping(life) => Some(life.stage.reason),
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

    /// Commands a stop; a stop already commanded stands.
    pub(crate) fn stop(self, reason: StopReason) -> Self {
        match self {
            Self::Starting(life) => Self::Stopping(life.stop(reason)),
            Self::Running(life) => Self::Stopping(life.stop(reason)),
            stopping @ Self::Stopping(_) => stopping,
        }
    }

    /// Notes that the worker reports it as running.
    pub(crate) fn run(self, since: Instant, attempt: Attempt) -> Self {
        match self {
            Self::Starting(life) => Self::Running(StagedTask { attempt, ..life.run(since) }),
            other => other,
        }
    }
}
