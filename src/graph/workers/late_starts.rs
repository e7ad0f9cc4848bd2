//! Starts that a worker may still carry out after their runs are over.
//!
//! It answers the load of workers that leave some calls unanswered and carry them out seconds later: the start is sent
//! again, the run ends, and the worker refuses the late start as one of an ended run. After a restart it refuses
//! nothing, so the run has to be stopped there as well.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use crate::graph::workload::name::{RunNumber, TaskName};
use crate::id::WorkerId;

/// How long after it was found unanswered a call may still be carried out.
const LATE_CALL_TIME: Duration = Duration::from_secs(12);

/// A start without an answer.
#[derive(Clone, Debug)]
struct UnansweredStart {
    noted: Instant,
    worker: WorkerId,
    task: TaskName,
    run: RunNumber,
}

/// Starts without an answer, oldest first. They outlast what is known of the instances of their workers.
#[derive(Clone, Debug, Default)]
pub(crate) struct LateStarts {
    starts: VecDeque<UnansweredStart>,
}

impl LateStarts {
    /// Notes at `noted` that a start was not answered.
    pub(crate) fn note(
        &mut self,
        noted: Instant,
        worker: WorkerId,
        task: TaskName,
        run: RunNumber,
    ) {
        self.forget_expired(noted);
        self.starts.push_back(UnansweredStart { noted, worker, task, run });
    }

    /// Highest run of each task that a worker may still carry out: stopping it has the worker refuse all lower ones.
    pub(crate) fn runs(
        &mut self,
        now: Instant,
        worker: &WorkerId,
    ) -> BTreeMap<TaskName, RunNumber> {
        self.forget_expired(now);
        let mut runs = BTreeMap::new();
        for start in self.starts.iter().filter(|start| start.worker == *worker) {
            let highest = runs.entry(start.task.clone()).or_insert(start.run);
            *highest = (*highest).max(start.run);
        }
        runs
    }

    /// How long the starts that a worker had left unanswered before `answered`, when it still answered others, may be
    /// carried out; all of them where that is not known. Starts that were not answered later are lost with the instance
    /// that they were sent to.
    pub(crate) fn time_left(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        answered: Option<Instant>,
    ) -> Duration {
        self.forget_expired(now);
        let is_late = |start: &&UnansweredStart| {
            start.worker == *worker && answered.is_none_or(|answered| start.noted < answered)
        };
        let last = self.starts.iter().rfind(is_late);
        last.map_or(Duration::ZERO, |start| {
            (start.noted + LATE_CALL_TIME).saturating_duration_since(now)
        })
    }

    fn forget_expired(&mut self, now: Instant) {
        let is_expired = |start: &mut UnansweredStart| {
            now.saturating_duration_since(start.noted) >= LATE_CALL_TIME
        };
        while self.starts.pop_front_if(is_expired).is_some() {}
    }
}
