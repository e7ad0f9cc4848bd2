//! Room held back for the first all-at-once job that does not fit yet.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use crate::id::{JobId, WorkerId};
use crate::placement::pool::{PoolWorker, WorkerPool};
use crate::resources::ResourceVector;

/// How long a hold may be filled by others past the time at which it should have been free.
const PATIENCE: Duration = Duration::from_secs(60);

/// Workers held back for one job. Only one job holds at a time, so holds cannot block each other.
#[derive(Clone, Debug)]
pub(crate) struct GangReservation {
    /// The job.
    pub(crate) job: JobId,
    /// Workers that will be free for it first.
    pub(crate) workers: BTreeSet<WorkerId>,
    /// When these are expected to be free.
    pub(crate) free_at: Instant,
}

impl GangReservation {
    /// Picks the workers that are expected to have room for `count` tasks soonest. `ends` tells when
    /// a worker is expected to be empty of tasks that end. Gives `None` where there never is room.
    pub(crate) fn plan(
        job: JobId,
        need: &ResourceVector,
        count: u32,
        pool: &WorkerPool,
        ends: impl Fn(&PoolWorker) -> (Instant, ResourceVector),
    ) -> Option<Self> {
        let mut candidates: Vec<_> = pool
            .iter()
            .filter(|worker| worker.open)
            .map(|worker| {
                let (end, room) = ends(worker);
                (end, worker.spec.id.clone(), slots(need, &room))
            })
            .filter(|(_, _, slots)| *slots > 0)
            .collect();
        candidates.sort_by(|a, b| a.0.cmp(&b.0).then(b.2.cmp(&a.2)).then(a.1.cmp(&b.1)));
        let mut workers = BTreeSet::new();
        let mut room = 0;
        for (end, id, slots) in candidates {
            workers.insert(id);
            room += slots;
            if room >= count {
                return Some(Self { job, workers, free_at: end });
            }
        }
        None
    }

    /// Tells whether another job's task may run on a worker meanwhile.
    pub(crate) fn admits(&self, now: Instant, worker: &WorkerId, expected_end: Instant) -> bool {
        let overdue = now > self.free_at + PATIENCE;
        !self.workers.contains(worker) || (!overdue && expected_end <= self.free_at)
    }
}

/// How many tasks of `need` fit into `room`.
fn slots(need: &ResourceVector, room: &ResourceVector) -> u32 {
    let count = |need: u32, room: u32| room.checked_div(need).unwrap_or(u32::MAX);
    count(need.millicores, room.millicores)
        .min(count(need.memory_mib, room.memory_mib))
        .min(count(need.accelerators, room.accelerators))
}
