//! Checks what leaders report about jobs that wait: until a worker has started a task of a job, the
//! job is queued and counted as pending.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use kelplink::{GraphController, GraphId, GraphJob, GraphState, LeaderEpoch, QueueId, TaskName};
use tokio::time::Instant;

/// Interval between two checks of a leader.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a job may be reported as queued while its task runs without faults: two polls of an
/// idle worker, the first of which was lost.
const MAX_QUEUED_TIME: Duration = Duration::from_millis(2_500);

/// When a leader was first checked and is to be checked next.
#[derive(Clone, Copy, Debug)]
struct LeaderCheck {
    first: Instant,
    next: Instant,
}

/// Records which jobs workers have started, whichever leader sent the starts.
#[derive(Debug, Default)]
pub(crate) struct WaitingChecker {
    started_jobs: BTreeSet<GraphId>,
    checks: BTreeMap<LeaderEpoch, LeaderCheck>,
}

impl WaitingChecker {
    /// Records that a worker has started a task or holds a run of it.
    pub(crate) fn note_started(&mut self, task: &TaskName) {
        if !self.started_jobs.contains(&task.job) {
            self.started_jobs.insert(task.job.clone());
        }
    }

    /// Returns when a leader, the last one elected in its shard, was first checked, if a check is
    /// due: right after its election and every 100 ms after that.
    pub(crate) fn check_due(&mut self, now: Instant, leader: LeaderEpoch) -> Option<Instant> {
        let check = self.checks.entry(leader).or_insert(LeaderCheck { first: now, next: now });
        let due = check.next <= now;
        if due {
            check.next = now + CHECK_INTERVAL;
        }
        due.then_some(check.first)
    }

    /// Checks that no waiting job is reported as started, and that each is counted as pending,
    /// whatever has failed.
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
                "no worker has started a task of {id}, but leader {} reports it as started: {progress:?}",
                leader.epoch()
            );
            *waiting.entry(job.spec.queue.clone()).or_default() += 1;
        }
        for (queue, count) in waiting {
            let pending = leader.jobs().pending(&queue);
            assert!(
                pending >= count,
                "{count} jobs of {queue} wait, but leader {} counts {pending}",
                leader.epoch()
            );
        }
    }

    /// Checks that a job with a task running at a claimed worker is reported as started after
    /// `fault_free` without faults. The count of pending jobs may be too high; a job still reported
    /// as queued shows that evidence of the start was lost.
    pub(crate) fn check_running(
        &self,
        leader: &GraphController,
        task: &TaskName,
        fault_free: Duration,
    ) {
        let Some(job) = leader.jobs().get(&task.job).filter(|job| is_open(job)) else {
            return;
        };
        assert!(
            fault_free <= MAX_QUEUED_TIME || job.state() != GraphState::Queued,
            "{task} runs, but leader {} reports its job as queued after {fault_free:?}",
            leader.epoch()
        );
    }
}

/// Whether a job was accepted by this leader and has not ended.
fn is_open(job: &GraphJob) -> bool {
    job.durable && !job.is_part() && !job.is_over()
}
