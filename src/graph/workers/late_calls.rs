//! Calls that a worker may still carry out though they were not answered.
//!
//! It answers the load of workers that leave some calls unanswered and carry them out seconds later. A start is sent
//! again, the run ends, and the worker refuses the late start as one of an ended run; after a restart it refuses
//! nothing, so the run has to be stopped there as well. A start or a poll that is carried out by the next instance gives
//! it the longest lease, as the time that it names lies far ahead of the new clock. All this lasts until that instance has
//! answered a call with its own fencing token.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use crate::graph::workload::name::{RunNumber, TaskName};
use crate::id::WorkerId;

/// How long after it was found unanswered a call may still be carried out.
pub(crate) const LATE_CALL_TIME: Duration = Duration::from_secs(12);

/// A call that extends the lease of its worker and was not answered.
#[derive(Clone, Debug)]
struct UnansweredCall {
    noted: Instant,
    worker: WorkerId,
    kind: CallKind,
}

#[derive(Clone, Debug)]
enum CallKind {
    Poll,
    Start(TaskName, RunNumber),
}

/// Calls without an answer, oldest first. They outlast what is known of the instances of their workers.
#[derive(Clone, Debug, Default)]
pub(crate) struct LateCalls {
    calls: VecDeque<UnansweredCall>,
}

impl LateCalls {
    /// Notes at `noted` that a poll which extends a lease was not answered.
    pub(crate) fn note_poll(&mut self, noted: Instant, worker: WorkerId) {
        self.forget_expired(noted);
        self.calls.push_back(UnansweredCall { noted, worker, kind: CallKind::Poll });
    }

    /// Notes at `noted` that a start was not answered.
    pub(crate) fn note_start(
        &mut self,
        noted: Instant,
        worker: WorkerId,
        task: TaskName,
        run: RunNumber,
    ) {
        self.forget_expired(noted);
        self.calls.push_back(UnansweredCall { noted, worker, kind: CallKind::Start(task, run) });
    }

    /// Highest run of each task that a worker may still carry out: stopping it has the worker refuse all lower ones.
    pub(crate) fn runs(
        &mut self,
        now: Instant,
        worker: &WorkerId,
    ) -> BTreeMap<TaskName, RunNumber> {
        self.forget_expired(now);
        let mut runs = BTreeMap::new();
        for call in self.calls.iter().filter(|call| call.worker == *worker) {
            if let CallKind::Start(task, run) = &call.kind {
                let highest = runs.entry(task.clone()).or_insert(*run);
                *highest = (*highest).max(*run);
            }
        }
        runs
    }

    /// How long the calls that a worker has left unanswered may be carried out.
    pub(crate) fn time_left(&self, now: Instant, worker: &WorkerId) -> Duration {
        let last = self.calls.iter().rfind(|call| call.worker == *worker);
        last.map_or(Duration::ZERO, |call| {
            (call.noted + LATE_CALL_TIME).saturating_duration_since(now)
        })
    }

    fn forget_expired(&mut self, now: Instant) {
        let is_expired =
            |call: &mut UnansweredCall| now.saturating_duration_since(call.noted) >= LATE_CALL_TIME;
        while self.calls.pop_front_if(is_expired).is_some() {}
    }
}
