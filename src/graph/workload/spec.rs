//! Job graphs as submitted by callers: steps of equal tasks and their dependencies.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::graph::workload::name::{GraphId, ImageId, QueueId, StepIndex};
use crate::id::{RackId, UnixMillis};
use crate::resources::ResourceVector;

/// Maximum number of steps in one graph.
const MAX_STEPS: usize = 256;
/// Maximum number of tasks in one step.
const MAX_TASKS: u32 = 10_000;
/// Longest run time or latency bound that a step may declare, about a year: sums over a graph and
/// their multiples stay far below the range of `Duration`.
const MAX_TIME: Duration = Duration::from_secs(366 * 24 * 3_600);
/// Longest time from the acceptance of a job to its last occurrence, about a century.
const MAX_SCHEDULE: Duration = Duration::from_secs(100 * 366 * 24 * 3_600);
/// Maximum size of the record of succeeded tasks in the store: half of the largest value, 1 MiB. The
/// rest is for checkpoints and failed runs.
const MAX_PROGRESS_BYTES: u64 = 512 << 10;
/// Bytes of a task in that record: four digits and a comma.
const TASK_PROGRESS_BYTES: u64 = 5;
/// Bytes of a step in an occurrence in that record, without its tasks: two numbers and their
/// delimiters.
const STEP_PROGRESS_BYTES: u64 = 24;

/// A step: a number of equal tasks.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Reservation of each task.
    pub need: ResourceVector,
    /// Rough run time of a task, as the caller declares it.
    pub estimate: Duration,
    /// Steps whose tasks must all have succeeded first.
    pub after: Vec<StepIndex>,
    /// Whether a task checkpoints its progress.
    pub checkpoints: bool,
    /// Whether the tasks can run only all at the same time.
    pub gang: bool,
    /// Whether the tasks run slower unless they share a rack.
    pub one_rack: bool,
    /// Label that a worker must have.
    pub label: Option<Arc<str>>,
    /// Rack with the data; tasks are slower on any other.
    pub affinity: Option<RackId>,
    /// Maximum number of tasks of the step on one worker.
    pub max_per_worker: Option<u32>,
    /// Whether several runs of a task may exist at the same time.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub lasting: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<ImageId>,
    /// Bound on the tail latency of the requests that a lasting task serves.
    pub target: Option<Duration>,
    /// Whether the tasks use processors that other tasks leave idle, without reserving any.
    pub best_effort: bool,
    /// Maximum number of lasting tasks that may be unavailable because of actions of the system.
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// Capacity that a task reserves on a worker.
    pub fn reservation(&self) -> ResourceVector {
        match self.best_effort {
            true => ResourceVector::new(0, self.need.memory_mib, self.need.accelerators),
            false => self.need,
        }
    }
}

/// Schedule of a graph that runs repeatedly.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RepeatRule {
    /// Number of occurrences.
    pub count: u32,
    /// When the first occurrence is due.
    pub first: UnixMillis,
    /// Time between occurrences.
    pub interval: Duration,
}

/// A submitted job.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct GraphSpec {
    /// Name that the caller chose.
    pub id: GraphId,
    /// Queue that it was submitted to.
    pub queue: QueueId,
    /// Payload that the worker gets with each task.
    pub payload: Arc<str>,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// Schedule, if the job runs more than once.
    pub repeat: Option<RepeatRule>,
    /// When the job was first received.
    pub accepted: UnixMillis,
}

impl GraphSpec {
    /// Number of occurrences, at least one.
    pub fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.count)
    }

    /// When an occurrence is due; `None` if the job does not repeat and is due at once.
    pub fn due(&self, occurrence: u32) -> Option<UnixMillis> {
        let repeat = self.repeat?;
        let interval = u64::try_from(repeat.interval.as_millis()).unwrap_or(u64::MAX);
        Some(repeat.first.saturating_add(interval.saturating_mul(u64::from(occurrence))))
    }

    /// Whether any step lasts until the job is cancelled.
    pub fn lasts(&self) -> bool {
        self.steps.iter().any(|step| step.lasting)
    }

    /// For each step, the critical path of declared run times from its start to the end of the
    /// graph.
    pub fn remaining_critical_paths(&self) -> Vec<Duration> {
        let mut critical_paths: Vec<Duration> =
            self.steps.iter().map(|step| step.estimate).collect();
        for index in (0..self.steps.len()).rev() {
            for before in &self.steps[index].after {
                let longer = self.steps[*before as usize].estimate + critical_paths[index];
                let critical_path = &mut critical_paths[*before as usize];
                *critical_path = (*critical_path).max(longer);
            }
        }
        critical_paths
    }

    /// Validates the graph; returns error messages for the caller.
    pub fn validation_errors(&self) -> Vec<String> {
        let mut errors = Vec::new();
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            errors.push(format!("{} steps: expected 1 to {MAX_STEPS}", self.steps.len()));
        }
        for (index, step) in self.steps.iter().enumerate() {
            if step.count == 0 || step.count > MAX_TASKS {
                errors
                    .push(format!("step {index}: {} tasks: expected 1 to {MAX_TASKS}", step.count));
            }
            if step.after.iter().any(|before| *before as usize >= index) {
                errors.push(format!("step {index} waits for a step that is not before it"));
            }
            if step.estimate.max(step.target.unwrap_or_default()) > MAX_TIME {
                errors.push(format!("step {index} has a time of over {MAX_TIME:?}"));
            }
        }
        errors.extend(self.schedule_errors());
        errors
    }

    /// Validates the schedule: the last occurrence must not be too late, and the record of all
    /// occurrences must fit into one value of the store.
    fn schedule_errors(&self) -> Vec<String> {
        let mut errors = Vec::new();
        let last = self.due(self.occurrences().saturating_sub(1)).unwrap_or_default();
        let latest = u64::try_from(MAX_SCHEDULE.as_millis()).unwrap_or(u64::MAX);
        if last.saturating_sub(self.accepted) > latest {
            errors.push(format!("the last occurrence is due after over {MAX_SCHEDULE:?}"));
        }
        let step_bytes =
            |step: &StepSpec| STEP_PROGRESS_BYTES + TASK_PROGRESS_BYTES * u64::from(step.count);
        let occurrence_bytes: u64 = self.steps.iter().map(step_bytes).sum();
        if occurrence_bytes.saturating_mul(self.occurrences().into()) > MAX_PROGRESS_BYTES {
            errors.push("too many tasks over all steps and occurrences".to_owned());
        }
        errors
    }
}
