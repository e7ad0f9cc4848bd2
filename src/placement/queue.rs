//! Jobs that wait for capacity, in the order in which they are placed.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::id::{JobId, TaskIndex, UnixMillis, WorkspaceId};
use crate::intent::Urgency;
use crate::job::JobSpec;

/// A job without a deadline is ordered as if it had to start this long after it was accepted.
const DEFAULT_START_DELAY: Duration = Duration::from_secs(3_600);
/// A job that has to start within this time is placed before the jobs of the fair class.
const DUE_SOON_WINDOW: Duration = Duration::from_secs(300);

/// Scheduling class; lower classes are placed first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum QueueClass {
    /// Urgent jobs, whose results are needed now.
    Urgent,
    /// Jobs that have to start soon to meet their deadline.
    DueSoon,
    /// All other jobs, ordered by fairness between workspaces.
    Fair,
}

/// All classes in the order in which they are placed.
pub(crate) const QUEUE_CLASSES: [QueueClass; 3] =
    [QueueClass::Urgent, QueueClass::DueSoon, QueueClass::Fair];

/// A job with waiting tasks.
#[derive(Clone, Debug)]
pub(crate) struct QueuedJob {
    /// The job.
    pub(crate) spec: Arc<JobSpec>,
    /// Its waiting tasks.
    pub(crate) waiting: BTreeSet<TaskIndex>,
    class: QueueClass,
    /// Latest start, in milliseconds since the Unix epoch; for urgent jobs, when they were
    /// accepted.
    latest_start: UnixMillis,
}

/// Waiting jobs by class and workspace.
#[derive(Debug, Default)]
pub(crate) struct JobQueue {
    jobs: BTreeMap<JobId, QueuedJob>,
    workspace_queues: BTreeMap<(QueueClass, WorkspaceId), BTreeSet<(UnixMillis, JobId)>>,
    /// Jobs of the fair class that have a deadline, by latest start.
    fair_by_start: BTreeSet<(UnixMillis, JobId)>,
}

impl JobQueue {
    /// Adds a waiting task.
    pub(crate) fn add(&mut self, spec: &Arc<JobSpec>, index: TaskIndex, run_time: Duration) {
        if let Some(job) = self.jobs.get_mut(&spec.id) {
            job.waiting.insert(index);
            return;
        }
        let class = match spec.urgency {
            Urgency::Now => QueueClass::Urgent,
            Urgency::By(_) | Urgency::Soon => QueueClass::Fair,
        };
        let latest_start = match spec.urgency {
            Urgency::Now => spec.accepted,
            Urgency::By(due) => due.saturating_sub(millis(run_time)),
            Urgency::Soon => spec.accepted.saturating_add(millis(DEFAULT_START_DELAY)),
        };
        let job =
            QueuedJob { spec: spec.clone(), waiting: BTreeSet::from([index]), class, latest_start };
        self.index_job(&job);
        self.jobs.insert(spec.id.clone(), job);
    }

    /// Removes a waiting task and tells whether it was there.
    pub(crate) fn remove(&mut self, id: &JobId, index: TaskIndex) -> bool {
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        let removed = job.waiting.remove(&index);
        if job.waiting.is_empty() {
            self.remove_job(id);
        }
        removed
    }

    /// Removes a job and returns its waiting tasks.
    pub(crate) fn remove_job(&mut self, id: &JobId) -> BTreeSet<TaskIndex> {
        let Some(job) = self.jobs.remove(id) else {
            return BTreeSet::new();
        };
        self.unindex_job(&job);
        job.waiting
    }

    /// A waiting job.
    pub(crate) fn get(&self, id: &JobId) -> Option<&QueuedJob> {
        self.jobs.get(id)
    }

    /// Number of waiting tasks.
    pub(crate) fn waiting(&self) -> usize {
        self.jobs.values().map(|job| job.waiting.len()).sum()
    }

    /// All waiting jobs.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &QueuedJob> {
        self.jobs.values()
    }

    /// Workspaces with jobs of a class.
    pub(crate) fn workspaces(&self, class: QueueClass) -> Vec<WorkspaceId> {
        let first = (class, WorkspaceId::from(""));
        let queues =
            self.workspace_queues.range(first..).take_while(|((other, _), _)| *other == class);
        queues.map(|((_, workspace), _)| workspace.clone()).collect()
    }

    /// The job after `last` in the queue of a class and workspace, or the first.
    pub(crate) fn next_job(
        &self,
        class: QueueClass,
        workspace: &WorkspaceId,
        last: Option<&(UnixMillis, JobId)>,
    ) -> Option<(UnixMillis, JobId)> {
        use std::ops::Bound::{Excluded, Unbounded};
        let queue = self.workspace_queues.get(&(class, workspace.clone()))?;
        match last {
            None => queue.first().cloned(),
            Some(last) => queue.range((Excluded(last.clone()), Unbounded)).next().cloned(),
        }
    }

    /// Moves jobs that have to start soon from the fair class to the class before it.
    pub(crate) fn promote(&mut self, now: UnixMillis) {
        let bound = now.saturating_add(millis(DUE_SOON_WINDOW));
        while let Some((latest_start, id)) = self.fair_by_start.first().cloned() {
            if latest_start > bound {
                break;
            }
            self.fair_by_start.pop_first();
            let Some(mut job) = self.jobs.remove(&id) else {
                continue;
            };
            self.unindex_job(&job);
            job.class = QueueClass::DueSoon;
            self.index_job(&job);
            self.jobs.insert(id, job);
        }
    }

    fn index_job(&mut self, job: &QueuedJob) {
        let key = (job.latest_start, job.spec.id.clone());
        if job.class == QueueClass::Fair && matches!(job.spec.urgency, Urgency::By(_)) {
            self.fair_by_start.insert(key.clone());
        }
        self.workspace_queues
            .entry((job.class, job.spec.workspace.clone()))
            .or_default()
            .insert(key);
    }

    fn unindex_job(&mut self, job: &QueuedJob) {
        let key = (job.latest_start, job.spec.id.clone());
        self.fair_by_start.remove(&key);
        let queue_key = (job.class, job.spec.workspace.clone());
        if let Some(jobs) = self.workspace_queues.get_mut(&queue_key) {
            jobs.remove(&key);
            if jobs.is_empty() {
                self.workspace_queues.remove(&queue_key);
            }
        }
    }
}

fn millis(duration: Duration) -> UnixMillis {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
