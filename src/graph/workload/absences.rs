//! Absences of lasting tasks: since when tasks that have run do not run.

use std::collections::BTreeMap;

use tokio::time::Instant;

use crate::graph::workload::name::{StepKey, TaskKey};

/// The absent tasks of a job, each until its worker has reported the next run as begun.
#[derive(Clone, Debug, Default)]
pub(crate) struct AbsenceTable {
    since: BTreeMap<TaskKey, Instant>,
}

impl AbsenceTable {
    /// Notes that a task has not run since a moment, unless it is absent already.
    pub(crate) fn begin(&mut self, task: TaskKey, since: Instant) {
        self.since.entry(task).or_insert(since);
    }

    /// Notes that a task runs.
    pub(crate) fn end(&mut self, task: &TaskKey) {
        self.since.remove(task);
    }

    /// Since when the task of a step that has been absent longest has not run.
    pub(crate) fn longest_of(&self, step: StepKey) -> Option<Instant> {
        let tasks = TaskKey { step, index: 0 }..=TaskKey { step, index: u32::MAX };
        self.since.range(tasks).map(|(_, since)| *since).min()
    }

    /// The absent tasks, with the time since which each has not run.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&TaskKey, Instant)> {
        self.since.iter().map(|(task, since)| (task, *since))
    }
}
