//! Ended jobs whose stored record is to shrink to what is still told about them.
//!
//! A new leader reads all stored jobs before it serves anyone, and most of them are over: 960 jobs took 11.5 s on a
//! link of 10 Mbit/s.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use crate::graph::storing::commit::CommitGroup;
use crate::graph::workload::job::{GraphJob, GraphRecord};
use crate::graph::workload::name::GraphId;
use crate::graph::workload::progress::GraphProgress;

/// Shortest time from any group to one that has nothing but compactions.
const COMPACTION_GROUP_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest such time as a multiple of the time that the store took for the last group. A change that comes up while a
/// group of compactions is in flight waits for it, so these groups take a tenth of the time at most.
const COMPACTION_INTERVAL_FACTOR: u32 = 10;
/// The same interval after the store has refused a group.
const REFUSED_COMPACTION_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between checks whether ended jobs have runs left.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);
/// Largest number of floors of a job whose progress is compacted; with more of them it would hardly shrink.
const MAX_COMPACT_FLOORS: usize = 100;
/// Size up to which a group is filled with compactions: 26 ms on a link of 10 Mbit/s.
const COMPACTION_GROUP_BYTES: usize = 32 << 10;
/// Size of a compact record and its progress in JSON, without names and floors.
const COMPACT_JOB_BYTES: usize = 400;
/// Size of a job record in JSON, without its names, payload and steps.
const RECORD_BYTES: usize = 600;
/// Size of a step in JSON: 410 bytes with all fields at their defaults.
const STEP_BYTES: usize = 500;
/// Size of a job's progress in JSON, without what is recorded of its steps and tasks.
const PROGRESS_BYTES: usize = 100;
/// Size of what is recorded of a step or task in JSON.
const TASK_BYTES: usize = 40;

/// An ended job as it is stored from then on.
#[derive(Clone, Debug, PartialEq)]
pub struct CompactedJob {
    /// Its record, without steps.
    pub record: GraphRecord,
    /// Its progress, unless what the store has needs no change.
    pub progress: Option<GraphProgress>,
}

impl CompactedJob {
    /// Creates the compact form of a job whose verdict is stored.
    pub(crate) fn new(job: &GraphJob) -> Self {
        let compacted = Some(job.progress.compacted());
        let progress = compacted.filter(|compacted| {
            compacted.floors.len() <= MAX_COMPACT_FLOORS && *compacted != job.progress
        });
        Self { record: job.compact_record(), progress }
    }

    /// Number of keys that it writes.
    pub(crate) fn keys(&self) -> usize {
        1 + usize::from(self.progress.is_some())
    }

    fn size_estimate(&self) -> usize {
        let GraphRecord { spec, workspace, .. } = &self.record;
        let names = spec.id.len() + spec.queue.len() + workspace.as_ref().map_or(0, |id| id.len());
        let floors = self.progress.as_ref().map_or(0, |progress| progress.floors.len());
        COMPACT_JOB_BYTES + names + floors * TASK_BYTES
    }
}

/// What a group has left for compactions.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CompactionRoom {
    keys: usize,
    bytes: usize,
}

impl CompactionRoom {
    /// Returns what a group that may write `keys` more has left.
    pub(crate) fn new(group: &CommitGroup, keys: usize) -> Self {
        Self { keys, bytes: COMPACTION_GROUP_BYTES.saturating_sub(size_estimate(group)) }
    }

    /// Deducts a job and returns whether it fits.
    pub(crate) fn take(&mut self, job: &CompactedJob) -> bool {
        let rest =
            self.keys.checked_sub(job.keys()).zip(self.bytes.checked_sub(job.size_estimate()));
        if let Some((keys, bytes)) = rest {
            *self = Self { keys, bytes };
        }
        rest.is_some()
    }
}

/// Approximate size of a group's values in JSON.
fn size_estimate(group: &CommitGroup) -> usize {
    let record = |record: &GraphRecord| {
        RECORD_BYTES + record.spec.payload.len() + record.spec.steps.len() * STEP_BYTES
    };
    let progress = |progress: &GraphProgress| {
        let done_tasks: usize = progress.done.values().map(BTreeSet::len).sum();
        let tasks = [
            progress.done.len(),
            progress.failures.len(),
            progress.trials.len(),
            progress.crashes.len(),
            progress.crash_addresses.len(),
            progress.floors.len(),
        ];
        let saved: usize = progress.saved.values().map(String::len).sum();
        PROGRESS_BYTES + tasks.iter().sum::<usize>() * TASK_BYTES + done_tasks * 5 + saved
    };
    let added: usize = group.added.iter().map(record).sum();
    let changed: usize = group.progress.iter().map(|(_, changed)| progress(changed)).sum();
    let notices: usize =
        group.notices.iter().filter_map(|notice| notice.record.as_ref()).map(record).sum();
    added + changed + notices
}

/// Ended jobs that are not compact in the store yet.
#[derive(Debug, Default)]
pub(crate) struct CompactionQueue {
    /// Jobs that may still have runs.
    waiting: BTreeSet<GraphId>,
    /// Jobs that have no runs.
    ready: BTreeSet<GraphId>,
    next_review: Option<Instant>,
}

impl CompactionQueue {
    /// Adds a job whose verdict is stored and which may still have runs.
    pub(crate) fn add(&mut self, job: GraphId) {
        if !self.ready.contains(&job) {
            self.waiting.insert(job);
        }
    }

    /// Removes a job that is removed from the store, or is to be.
    pub(crate) fn remove(&mut self, job: &GraphId) {
        self.waiting.remove(job);
        self.ready.remove(job);
    }

    /// Finds the jobs that have no runs left, if the last check is long enough ago.
    pub(crate) fn review(&mut self, now: Instant, is_settled: impl Fn(&GraphId) -> bool) {
        if self.next_review.is_none_or(|due| due <= now) {
            self.next_review = Some(now + REVIEW_INTERVAL);
            self.ready.extend(self.waiting.extract_if(.., |job| is_settled(job)));
        }
    }

    /// Removes and returns the compact form of jobs as long as there is room for it. `compacted` returns `None` for a
    /// job that has to wait.
    pub(crate) fn take(
        &mut self,
        mut room: CompactionRoom,
        compacted: impl Fn(&GraphId) -> Option<CompactedJob>,
    ) -> Vec<CompactedJob> {
        let mut taken = Vec::new();
        while let Some(id) = self.ready.pop_first() {
            match compacted(&id) {
                Some(job) if room.take(&job) => taken.push(job),
                Some(_) => {
                    self.ready.insert(id);
                    break;
                }
                None => {
                    self.waiting.insert(id);
                }
            }
        }
        taken
    }

    /// When a group of compactions alone is due. The last group was sent at `last_written`, and the store took
    /// `group_time` for it, or has refused it.
    pub(crate) fn due(
        &self,
        last_written: Option<Instant>,
        group_time: Duration,
        refused: bool,
    ) -> Option<Instant> {
        let interval = match refused {
            true => REFUSED_COMPACTION_INTERVAL,
            false => COMPACTION_GROUP_INTERVAL.max(group_time * COMPACTION_INTERVAL_FACTOR),
        };
        let next_review = self.next_review.filter(|_| !self.ready.is_empty())?;
        Some(last_written.map_or(next_review, |written| written + interval))
    }
}
