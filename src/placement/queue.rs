//! Jobs that wait for room, in the order in which they are served.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::id::{JobId, TaskIndex, UnixMillis, WorkspaceId};
use crate::intent::Urgency;
use crate::job::JobSpec;

/// Work without a time by which it has to be finished is ordered as if it had to start this long
/// after it was accepted.
const SOON_HORIZON: Duration = Duration::from_secs(3_600);
/// Work that has to start within this time goes before fairness.
const PRESSING_WINDOW: Duration = Duration::from_secs(300);

/// Class of service; lower goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum QueueClass {
    /// A person waits.
    Urgent,
    /// It would miss its time if it waited much longer.
    Pressing,
    /// Fairness between workspaces decides.
    Fair,
}

/// All classes in the order in which they are served.
pub(crate) const CLASSES: [QueueClass; 3] =
    [QueueClass::Urgent, QueueClass::Pressing, QueueClass::Fair];

/// A job with tasks that wait.
#[derive(Clone, Debug)]
pub(crate) struct QueuedJob {
    /// The job.
    pub(crate) spec: Arc<JobSpec>,
    /// Tasks that wait.
    pub(crate) waiting: BTreeSet<TaskIndex>,
    class: QueueClass,
    /// Latest start, in milliseconds since the Unix epoch.
    order: UnixMillis,
}

/// Jobs that wait, by class and workspace.
#[derive(Debug, Default)]
pub(crate) struct JobQueue {
    jobs: BTreeMap<JobId, QueuedJob>,
    lanes: BTreeMap<(QueueClass, WorkspaceId), BTreeSet<(UnixMillis, JobId)>>,
    /// Jobs of the fair class by latest start.
    upcoming: BTreeSet<(UnixMillis, JobId)>,
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
        let order = match spec.urgency {
            Urgency::Now => spec.accepted,
            Urgency::By(due) => due.saturating_sub(millis(run_time)),
            Urgency::Soon => spec.accepted.saturating_add(millis(SOON_HORIZON)),
        };
        let job = QueuedJob { spec: spec.clone(), waiting: BTreeSet::from([index]), class, order };
        self.link(&job);
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

    /// Removes a job and gives its waiting tasks.
    pub(crate) fn remove_job(&mut self, id: &JobId) -> BTreeSet<TaskIndex> {
        let Some(job) = self.jobs.remove(id) else {
            return BTreeSet::new();
        };
        self.unlink(&job);
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
        let lanes = self.lanes.range(first..).take_while(|((other, _), _)| *other == class);
        lanes.map(|((_, workspace), _)| workspace.clone()).collect()
    }

    /// The job after `last` in a workspace's lane, or the first.
    pub(crate) fn next_job(
        &self,
        class: QueueClass,
        workspace: &WorkspaceId,
        last: Option<&(UnixMillis, JobId)>,
    ) -> Option<(UnixMillis, JobId)> {
        use std::ops::Bound::{Excluded, Unbounded};
        let lane = self.lanes.get(&(class, workspace.clone()))?;
        match last {
            None => lane.first().cloned(),
            Some(last) => lane.range((Excluded(last.clone()), Unbounded)).next().cloned(),
        }
    }

    /// Moves jobs that have to start soon out of the fair class.
    pub(crate) fn promote(&mut self, now: UnixMillis) {
        let bound = now.saturating_add(millis(PRESSING_WINDOW));
        while let Some((order, id)) = self.upcoming.first().cloned() {
            if order > bound {
                break;
            }
            self.upcoming.pop_first();
            let Some(mut job) = self.jobs.remove(&id) else {
                continue;
            };
            self.unlink(&job);
            job.class = QueueClass::Pressing;
            self.link(&job);
            self.jobs.insert(id, job);
        }
    }

    fn link(&mut self, job: &QueuedJob) {
        let key = (job.order, job.spec.id.clone());
        if job.class == QueueClass::Fair && matches!(job.spec.urgency, Urgency::By(_)) {
            self.upcoming.insert(key.clone());
        }
        self.lanes.entry((job.class, job.spec.workspace.clone())).or_default().insert(key);
    }

    fn unlink(&mut self, job: &QueuedJob) {
        let key = (job.order, job.spec.id.clone());
        self.upcoming.remove(&key);
        let lane = (job.class, job.spec.workspace.clone());
        if let Some(jobs) = self.lanes.get_mut(&lane) {
            jobs.remove(&key);
            if jobs.is_empty() {
                self.lanes.remove(&lane);
            }
        }
    }
}

fn millis(duration: Duration) -> UnixMillis {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
