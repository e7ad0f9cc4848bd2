//! Absences of lasting tasks: since when those that have run, or may have under an earlier leader, do not run.

use std::collections::BTreeMap;

use tokio::time::Instant;

use crate::graph::workload::name::TaskKey;

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

    /// Since when a task has not run; `None` if it is not absent.
    pub(crate) fn since(&self, task: &TaskKey) -> Option<Instant> {
        self.since.get(task).copied()
    }

    /// Whether no task is absent.
    pub(crate) fn is_empty(&self) -> bool {
        self.since.is_empty()
    }

    /// The absent tasks, with the time since which each has not run.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&TaskKey, Instant)> {
        self.since.iter().map(|(task, since)| (task, *since))
    }
}
