//! What callers are told of jobs that wait: as long as no worker has begun a task of a job, it is queued and counted.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use kelplink::{GraphController, GraphId, GraphJob, GraphState, LeaderEpoch, QueueId, TaskName};
use tokio::time::Instant;

/// Time from one look at a leader to the next.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a job may be shown as queued while its task runs where nothing is in the way: two polls of an idle worker,
/// the first of which was lost.
const MAX_QUEUED_TIME: Duration = Duration::from_millis(2_500);

/// When a leader was looked at.
#[derive(Clone, Copy, Debug)]
struct LeaderCheck {
    first: Instant,
    next: Instant,
}

/// Keeps which jobs workers have begun, whoever sent the starts.
#[derive(Debug, Default)]
pub(crate) struct WaitingChecker {
    started_jobs: BTreeSet<GraphId>,
    checks: BTreeMap<LeaderEpoch, LeaderCheck>,
}

impl WaitingChecker {
    /// A worker has begun a task, or has it.
    pub(crate) fn note_started(&mut self, task: &TaskName) {
        if !self.started_jobs.contains(&task.job) {
            self.started_jobs.insert(task.job.clone());
        }
    }

    /// Whether a leader, the last elected of its shard, is to be looked at: at once after its election, and every
    /// 100 ms from then on. Tells since when it was.
    pub(crate) fn check_due(&mut self, now: Instant, leader: LeaderEpoch) -> Option<Instant> {
        let check = self.checks.entry(leader).or_insert(LeaderCheck { first: now, next: now });
        let due = check.next <= now;
        if due {
            check.next = now + CHECK_INTERVAL;
        }
        due.then_some(check.first)
    }

    /// No job that waits is shown as begun, and each is counted, whatever has failed.
    pub(crate) fn check_waiting(&self, leader: &GraphController) {
        let mut waiting: BTreeMap<QueueId, usize> = BTreeMap::new();
        for job in leader.jobs().iter().filter(|job| is_open(job)) {
            let id = &job.spec.id;
            if self.started_jobs.contains(id) {
                continue;
            }
            let (state, progress) = (job.state(), &job.progress);
            assert_eq!(
                state,
                GraphState::Queued,
                "no worker has begun a task of {id}, and leader {} shows it so with {progress:?}",
                leader.epoch()
            );
            *waiting.entry(job.spec.queue.clone()).or_default() += 1;
        }
        for (queue, count) in waiting {
            let pending = leader.jobs().pending(&queue);
            assert!(
                pending >= count,
                "{count} jobs of {queue} wait, leader {} counts {pending}",
                leader.epoch()
            );
        }
    }

    /// A job with a task that runs at a worker that the leader has claimed is shown as begun, where nothing has been in
    /// the way for `clear`. A count that is too high is no broken promise, but evidence that was lost shows so.
    pub(crate) fn check_running(&self, leader: &GraphController, task: &TaskName, calm: Duration) {
        let Some(job) = leader.jobs().get(&task.job).filter(|job| is_open(job)) else {
            return;
        };
        assert!(
            calm <= MAX_QUEUED_TIME || job.state() != GraphState::Queued,
            "{task} runs, and leader {} shows its job as queued after {calm:?}",
            leader.epoch()
        );
    }
}

/// Whether a job was accepted here and has not ended.
fn is_open(job: &GraphJob) -> bool {
    job.durable && !job.is_part() && !job.is_over()
}
