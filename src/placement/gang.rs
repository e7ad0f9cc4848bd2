//! Reservation of workers for the first all-at-once job that does not fit yet.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use crate::id::{JobId, WorkerId};
use crate::placement::pool::{PoolWorker, WorkerPool};
use crate::resources::ResourceVector;

/// Delay past the expected time after which a reservation admits no tasks of other jobs.
const OVERDUE_LIMIT: Duration = Duration::from_secs(60);

/// Workers reserved for one job. Only one job has a reservation at a time, so reservations cannot
/// block each other.
#[derive(Clone, Debug)]
pub(crate) struct GangReservation {
    /// The job.
    pub(crate) job: JobId,
    /// Workers that are expected to be free for it first.
    pub(crate) workers: BTreeSet<WorkerId>,
    /// When all of these are expected to be free.
    pub(crate) free_at: Instant,
}

impl GangReservation {
    /// Picks the workers that are expected to have capacity for `count` tasks soonest.
    /// `availability` gives the time by which all tasks of a worker that end are expected to have
    /// ended, and the capacity that is free then. Returns `None` if that is never enough.
    pub(crate) fn plan(
        job: JobId,
        need: &ResourceVector,
        count: u32,
        pool: &WorkerPool,
        availability: impl Fn(&PoolWorker) -> (Instant, ResourceVector),
    ) -> Option<Self> {
        let mut candidates: Vec<_> = pool
            .iter()
            .filter(|worker| worker.schedulable)
            .map(|worker| {
                let (free_at, capacity) = availability(worker);
                (free_at, worker.spec.id.clone(), tasks_that_fit(need, &capacity))
            })
            .filter(|(_, _, fitting)| *fitting > 0)
            .collect();
        candidates.sort_by(|a, b| a.0.cmp(&b.0).then(b.2.cmp(&a.2)).then(a.1.cmp(&b.1)));
        let mut workers = BTreeSet::new();
        let mut total = 0;
        for (available_at, id, fitting) in candidates {
            workers.insert(id);
            total += fitting;
            if total >= count {
                return Some(Self { job, workers, free_at: available_at });
            }
        }
        None
    }

    /// Tells whether a task of another job may start on a worker: on a reserved worker only if it is
    /// expected to end by the time of the reservation, and not once that is overdue.
    pub(crate) fn allows(&self, now: Instant, worker: &WorkerId, expected_end: Instant) -> bool {
        let overdue = now > self.free_at + OVERDUE_LIMIT;
        !self.workers.contains(worker) || (!overdue && expected_end <= self.free_at)
    }
}

/// Number of tasks of `need` that fit into `capacity`.
fn tasks_that_fit(need: &ResourceVector, capacity: &ResourceVector) -> u32 {
    let count = |need: u32, capacity: u32| capacity.checked_div(need).unwrap_or(u32::MAX);
    count(need.millicores, capacity.millicores)
        .min(count(need.memory_mib, capacity.memory_mib))
        .min(count(need.accelerators, capacity.accelerators))
}
