//! Jobs that move from the leader of one shard to that of another.
//!
//! A job moves in two groups. The first one, of the leader that gives it up, replaces its record by what is kept of an ended
//! job, enters the other shard in the index, and writes a notice with the whole job. The second one, of the leader that
//! takes it, writes the job and removes the notice, on the condition that the notice is there. So at any time the job is
//! in exactly one record or notice, whichever leaders are lost.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::graph::sharding::shard::ShardId;
use crate::graph::workload::job::{GraphJob, GraphRecord};
use crate::graph::workload::name::{GraphId, RunNumber};
use crate::graph::workload::progress::GraphProgress;
use crate::id::UnixMillis;

/// Number of keys of a job that leaves: its record and progress, the notice, and the index.
const DEPARTURE_KEYS: usize = 4;
/// Number of keys of a job that arrives: its record and progress, and the notice, which is a condition and is removed.
const ARRIVAL_KEYS: usize = 4;

/// A job on its way to another shard, as stored.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct MovedJob {
    /// The job.
    pub record: GraphRecord,
    /// Its progress.
    pub progress: GraphProgress,
}

impl MovedJob {
    /// Creates the form in which a job moves. `base` is the run base of the leader that gives it up. Nothing of it runs,
    /// so announced starts were not sent. Its home is left open, as it was a failure domain of the shard.
    pub(crate) fn new(job: &GraphJob, base: RunNumber) -> Self {
        let last_run = job.last_run.values().copied().max().unwrap_or(0);
        let run_offset = last_run.max(job.run_base(base));
        let mut progress = job.progress.clone();
        progress.announced.clear();
        progress.domains.clear();
        Self { record: GraphRecord { home: None, run_offset, ..job.record() }, progress }
    }

    /// Size of its stored form, in bytes.
    pub(crate) fn stored_bytes(&self) -> usize {
        serde_json::to_vec(self).map_or(usize::MAX, |encoded| encoded.len())
    }
}

/// A job that leaves this shard with the next group.
#[derive(Clone, Debug, PartialEq)]
pub struct DepartingJob {
    /// The shard that it goes to.
    pub shard: ShardId,
    /// The job as the other leader takes it.
    pub moved: MovedJob,
    /// What stays in this shard's records: the ends of runs that no longer count are told by it.
    pub left: MovedJob,
}

impl DepartingJob {
    pub(crate) fn new(job: &GraphJob, shard: ShardId, base: RunNumber, unix: UnixMillis) -> Self {
        let mut moved = MovedJob::new(job, base);
        (moved.progress.verdict, moved.progress.ended) = (None, None);
        let left = MovedJob { record: job.compact_record(), progress: job.progress.moved(unix) };
        Self { shard, moved, left }
    }

    pub(crate) fn id(&self) -> &GraphId {
        &self.moved.record.spec.id
    }
}

/// A job that another leader has given to this shard.
#[derive(Clone, Debug, PartialEq)]
pub struct ArrivingJob {
    /// The job.
    pub moved: MovedJob,
    /// Revision of the notice: the job is taken only while the store has this one.
    pub notice_revision: u64,
    /// When it was submitted.
    pub submitted_at: Instant,
}

impl ArrivingJob {
    /// Name of the job.
    pub fn id(&self) -> &GraphId {
        &self.moved.record.spec.id
    }
}

/// Jobs that are to move with the next groups.
#[derive(Debug, Default)]
pub(crate) struct TransferQueue {
    /// Jobs that leave, with the shards that they go to.
    pub(crate) departing: BTreeMap<GraphId, ShardId>,
    /// Jobs that arrive.
    pub(crate) arriving: BTreeMap<GraphId, ArrivingJob>,
}

impl TransferQueue {
    pub(crate) fn is_empty(&self) -> bool {
        self.departing.is_empty() && self.arriving.is_empty()
    }

    /// Takes as many jobs as there are keys for, and lowers `keys_left` by theirs.
    pub(crate) fn take(
        &mut self,
        keys_left: &mut usize,
    ) -> (Vec<(GraphId, ShardId)>, Vec<ArrivingJob>) {
        let (mut departing, mut arriving) = (Vec::new(), Vec::new());
        while *keys_left >= DEPARTURE_KEYS
            && let Some(job) = self.departing.pop_first()
        {
            *keys_left -= DEPARTURE_KEYS;
            departing.push(job);
        }
        while *keys_left >= ARRIVAL_KEYS
            && let Some((_, job)) = self.arriving.pop_first()
        {
            *keys_left -= ARRIVAL_KEYS;
            arriving.push(job);
        }
        (departing, arriving)
    }
}
