//! Collects changes into groups that the store applies atomically.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::graph::event::GraphAnswer;
use crate::graph::exchange::{InstanceId, UsedWorker};
use crate::graph::sharding::notice::{NoticeKind, NoticeQueue, ShardNotice};
use crate::graph::sharding::shard::ShardId;
use crate::graph::sharding::transfer::{ArrivingJob, DepartingJob, TransferQueue};
use crate::graph::storing::compaction::{CompactedJob, CompactionQueue, CompactionRoom};
use crate::graph::workload::changes::ChangeQueue;
use crate::graph::workload::job::GraphRecord;
use crate::graph::workload::name::GraphId;
use crate::graph::workload::progress::GraphProgress;
use crate::id::WorkspaceId;

/// Number of a commit group.
pub type GroupNumber = u64;

/// Keys that jobs may use in one group: the store accepts 32 in a transaction, and the group itself
/// needs three.
pub(crate) const GROUP_KEYS: usize = 28;
/// While changes wait, new jobs leave them one part in this many of a group's keys. With a store
/// that took 370 ms per group, a burst of new jobs, nine per group, filled every group, and
/// verdicts waited until the burst was over.
const CHANGE_KEY_DIVISOR: usize = 2;
/// Keys of a new job where there are several leaders: its record, its entry in the index of all
/// jobs, and the condition that it does not exist yet.
const SHARDED_JOB_KEYS: usize = 3;
/// How long changes are collected that no caller waits for; ends are acknowledged later by this
/// time.
const GATHER_TIME: Duration = Duration::from_millis(60);
/// Shortest interval between groups: all leaders share 400 writes a second.
const MIN_GROUP_INTERVAL: Duration = Duration::from_millis(8);

/// How long a job is left out of groups whose progress is larger than the store takes.
const OVERSIZED_PAUSE: Duration = Duration::from_secs(5);
/// Interval before the next group after the store has refused one.
const REFUSED_GROUP_INTERVAL: Duration = Duration::from_millis(100);

/// Changes that are stored in one transaction.
#[derive(Clone, Debug, Default)]
pub struct CommitGroup {
    /// Increases with each group of a leader.
    pub number: GroupNumber,
    /// Jobs that were submitted.
    pub added: Vec<GraphRecord>,
    /// Jobs with new progress.
    pub progress: Vec<(GraphId, GraphProgress)>,
    /// Jobs whose retention has ended.
    pub removed: Vec<GraphId>,
    /// Removed jobs that belong to the leader of another shard.
    pub removed_parts: BTreeSet<GraphId>,
    /// Notices to other shards.
    pub notices: Vec<ShardNotice>,
    /// Notices to this shard that have been handled.
    pub settled: Vec<(GraphId, NoticeKind)>,
    /// All workers that may have runs, if the set has changed.
    pub workers: Option<Vec<UsedWorker>>,
    /// Ended jobs whose stored record shrinks.
    pub compacted: Vec<CompactedJob>,
    /// Jobs that go to other shards.
    pub departing: Vec<DepartingJob>,
    /// Jobs that come from other shards.
    pub arriving: Vec<ArrivingJob>,
}

impl CommitGroup {
    /// Whether there is nothing to store.
    pub fn is_empty(&self) -> bool {
        self.compacted.is_empty() && !self.has_changes()
    }

    /// Whether it stores anything that someone waits for.
    pub(crate) fn has_changes(&self) -> bool {
        !(self.added.is_empty()
            && self.progress.is_empty()
            && self.removed.is_empty()
            && self.notices.is_empty()
            && self.settled.is_empty()
            && self.departing.is_empty()
            && self.arriving.is_empty()
            && self.workers.is_none())
    }
}

/// A job of a group that was not stored, as the leader of another shard had accepted one of its name before.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TakenName {
    /// Name of both jobs.
    pub job: GraphId,
    /// Who submitted the accepted job.
    pub holder: NameHolder,
}

/// Who submitted the job that was accepted first under a name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NameHolder {
    /// A caller that was not identified, or one whose job every caller may see.
    Anyone,
    /// A caller that acted for this workspace.
    Workspace(WorkspaceId),
    /// The job could not be read.
    Unknown,
}

impl NameHolder {
    /// The holder of the name of a stored job.
    pub fn of(record: &GraphRecord) -> Self {
        match &record.workspace {
            Some(workspace) if !record.rule.public => Self::Workspace(workspace.clone()),
            _ => Self::Anyone,
        }
    }

    /// The answer to a caller that acts for `workspace` and submits a job of the same name; `None` if it is not known
    /// whether the accepted job is the caller's own.
    pub(crate) fn answer(&self, workspace: Option<&WorkspaceId>) -> Option<GraphAnswer> {
        match self {
            Self::Anyone => Some(GraphAnswer::Accepted),
            Self::Workspace(holder) if workspace == Some(holder) => Some(GraphAnswer::Accepted),
            Self::Workspace(_) => Some(GraphAnswer::NameTaken),
            Self::Unknown => None,
        }
    }
}

/// Effects of a group once it is stored.
#[derive(Clone, Debug, Default)]
pub struct GroupEffect {
    /// Number of the last end that may be acknowledged, by the worker instance that reported it.
    pub ends: BTreeMap<InstanceId, u64>,
    /// Claimed workers in the stored list from then on.
    pub stored_workers: Vec<UsedWorker>,
}

/// Collects changes for the next group.
#[derive(Debug, Default)]
pub struct CommitQueue {
    /// Whether there are several leaders.
    divided: bool,
    added: BTreeSet<GraphId>,
    changed: ChangeQueue,
    /// Changed jobs that are left out of groups until a time, as their progress was too large for the store.
    oversized: BTreeMap<GraphId, Instant>,
    removed: BTreeSet<GraphId>,
    notices: NoticeQueue,
    transfers: TransferQueue,
    workers_changed: bool,
    urgent: bool,
    gathering_since: Option<Instant>,
    last_number: GroupNumber,
    last_sent: Option<Instant>,
    /// When the store last got a group that was not empty.
    last_written: Option<Instant>,
    /// How long the store took for that group.
    last_group_time: Duration,
    compactions: CompactionQueue,
    in_flight: Option<(CommitGroup, GroupEffect)>,
    /// Time since which the store has refused every group.
    refused_since: Option<Instant>,
}

impl CommitQueue {
    /// Sets whether there are several leaders.
    pub(crate) fn set_divided(&mut self, divided: bool) {
        self.divided = divided;
    }

    /// Adds a notice to another shard; callers wait for it.
    pub(crate) fn send_notice(&mut self, job: GraphId, shard: ShardId, kind: NoticeKind) {
        self.notices.send(job, shard, kind);
        self.urgent = true;
    }

    /// Records that a notice to this shard has been handled, so that the next group removes it.
    pub(crate) fn settle_notice(&mut self, job: GraphId, kind: NoticeKind, now: Instant) {
        self.notices.mark_settled(job, kind);
        self.schedule(now, false);
    }

    /// Adds a submitted job.
    pub fn add(&mut self, job: GraphId) {
        self.added.insert(job);
        self.urgent = true;
    }

    /// Adds a job with new progress; `urgent` if a caller waits for it.
    pub fn change(&mut self, job: GraphId, now: Instant, urgent: bool) {
        if self.oversized.contains_key(&job) {
            return;
        }
        self.changed.insert(job, urgent);
        self.schedule(now, urgent);
    }

    /// Leaves a changed job out of groups for a while.
    pub(crate) fn set_aside(&mut self, job: GraphId, now: Instant) {
        self.oversized.insert(job, now + OVERSIZED_PAUSE);
    }

    /// Has the jobs that were left out long enough stored again, as their progress may have shrunk.
    pub(crate) fn review_oversized(&mut self, now: Instant) {
        let due: Vec<GraphId> =
            self.oversized.extract_if(.., |_, until| *until <= now).map(|(job, _)| job).collect();
        for job in due {
            self.change(job, now, false);
        }
    }

    /// Gives a job to another shard.
    pub(crate) fn depart(&mut self, job: GraphId, shard: ShardId) {
        self.transfers.departing.insert(job, shard);
        self.urgent = true;
    }

    /// Adds a job that another leader has given to this shard.
    pub(crate) fn arrive(&mut self, job: ArrivingJob) {
        self.removed.remove(job.id());
        self.compactions.remove(job.id());
        self.transfers.arriving.insert(job.id().clone(), job);
        self.urgent = true;
    }

    /// Whether a job that another leader has given to this shard is not stored here yet.
    pub(crate) fn is_arriving(&self, job: &GraphId) -> bool {
        let in_flight = self
            .in_flight
            .as_ref()
            .is_some_and(|(group, _)| group.arriving.iter().any(|arriving| arriving.id() == job));
        in_flight || self.transfers.arriving.contains_key(job)
    }

    /// Whether the store has all of a job: no change of it waits or is in flight.
    pub(crate) fn is_stored(&self, job: &GraphId) -> bool {
        let is_in = |group: &CommitGroup| {
            group.added.iter().any(|record| record.spec.id == *job)
                || group.progress.iter().any(|(id, _)| id == job)
        };
        let in_flight = self.in_flight.as_ref().is_some_and(|(group, _)| is_in(group));
        !(in_flight || self.has_change(job) || self.added.contains(job))
    }

    /// Adds a job to remove.
    pub fn remove(&mut self, job: GraphId, now: Instant) {
        self.compactions.remove(&job);
        self.removed.insert(job);
        self.schedule(now, false);
    }

    /// Adds an ended job whose verdict is stored, to be compacted once it has no runs left.
    pub(crate) fn compact(&mut self, job: GraphId) {
        if !self.removed.contains(&job) {
            self.compactions.add(job);
        }
    }

    /// Finds the jobs that can be compacted.
    pub(crate) fn review_compactions(
        &mut self,
        now: Instant,
        is_settled: impl Fn(&GraphId) -> bool,
    ) {
        self.compactions.review(now, is_settled);
    }

    /// Fills a group that may write `keys` more with compactions. `compacted` returns the compact form of a job, or
    /// `None` for one that has to wait.
    pub(crate) fn fill(
        &mut self,
        group: &mut CommitGroup,
        keys: usize,
        compacted: impl Fn(&GraphId) -> Option<CompactedJob>,
    ) {
        let room = CompactionRoom::new(group, keys);
        group.compacted = self.compactions.take(room, compacted);
    }

    /// Records that the set of workers that may have runs has changed.
    pub fn note_workers(&mut self, now: Instant, urgent: bool) {
        self.workers_changed = true;
        self.schedule(now, urgent);
    }

    /// Lets the next group write the workers that may have runs, without making one due.
    pub(crate) fn refresh_workers(&mut self) {
        self.workers_changed = true;
    }

    /// Makes a group due although no job has changed, so that ends can be acknowledged.
    pub fn schedule(&mut self, now: Instant, urgent: bool) {
        self.urgent |= urgent;
        self.gathering_since.get_or_insert(now);
    }

    /// Whether a job has a change that is in no group yet.
    pub(crate) fn has_change(&self, job: &GraphId) -> bool {
        self.changed.contains(job) || self.oversized.contains_key(job)
    }

    /// Whether a job's submission may have reached the store.
    pub fn may_be_stored(&self, job: &GraphId) -> bool {
        !self.added.contains(job)
    }

    /// Submitted jobs that are not in a group yet.
    pub(crate) fn waiting_additions(&self) -> impl Iterator<Item = &GraphId> {
        self.added.iter()
    }

    /// Removes and returns submitted jobs that are not in a group yet and for which `given_up`
    /// returns true.
    pub(crate) fn remove_added(
        &mut self,
        mut given_up: impl FnMut(&GraphId) -> bool,
    ) -> BTreeSet<GraphId> {
        self.added.extract_if(.., |id| given_up(id)).collect()
    }

    /// Handles a group that the store has certainly not applied: everything in it except new jobs
    /// is due again.
    pub(crate) fn take_refused(
        &mut self,
        number: GroupNumber,
        now: Instant,
    ) -> Option<CommitGroup> {
        let (group, _) = self.in_flight.take_if(|(group, _)| group.number == number)?;
        for (id, progress) in &group.progress {
            self.changed.insert(id.clone(), progress.verdict.is_some());
        }
        self.removed.extend(group.removed.iter().cloned());
        for notice in &group.notices {
            self.notices.send(notice.job.clone(), notice.shard.clone(), notice.kind);
        }
        for (job, kind) in &group.settled {
            self.notices.mark_settled(job.clone(), *kind);
        }
        for job in &group.compacted {
            self.compact(job.record.spec.id.clone());
        }
        for job in &group.departing {
            self.depart(job.id().clone(), job.shard.clone());
        }
        for job in &group.arriving {
            self.arrive(job.clone());
        }
        self.workers_changed |= group.workers.is_some();
        if group.has_changes() {
            self.gathering_since.get_or_insert(now);
        }
        (self.last_sent, self.last_written) = (Some(now), Some(now));
        self.refused_since.get_or_insert(now);
        Some(group)
    }

    /// Whether a group is in flight to the store.
    pub fn has_group_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// When the next group is due; `None` if there is nothing to store or a group is in flight.
    pub fn due(&self) -> Option<Instant> {
        match () {
            () if self.in_flight.is_some() => return None,
            () if !self.has_changes() => {
                let refused = self.refused_since.is_some();
                return self.compactions.due(self.last_written, self.last_group_time, refused);
            }
            () => {}
        }
        let interval =
            if self.refused_since.is_some() { REFUSED_GROUP_INTERVAL } else { MIN_GROUP_INTERVAL };
        let after_interval = self.last_sent.map(|sent| sent + interval);
        let after_gathering =
            self.gathering_since.map(|gathering_since| gathering_since + GATHER_TIME);
        match (self.urgent, after_interval, after_gathering) {
            (true, Some(after_interval), _) => Some(after_interval),
            (true, None, _) => self.gathering_since.or(self.last_sent).or(after_gathering),
            (false, Some(after_interval), Some(after_gathering)) => {
                Some(after_interval.max(after_gathering))
            }
            (false, _, after_gathering) => after_gathering,
        }
    }

    /// Whether a group should be made now.
    pub fn is_due(&self, now: Instant) -> bool {
        let due = self.due();
        self.in_flight.is_none()
            && match self.has_changes() {
                true => due.is_none_or(|due| due <= now),
                false => due.is_some_and(|due| due <= now),
            }
    }

    /// Whether there are changes that someone waits for.
    pub(crate) fn has_changes(&self) -> bool {
        !self.added.is_empty()
            || !self.notices.is_empty()
            || !self.transfers.is_empty()
            || self.gathering_since.is_some()
    }

    /// Removes and returns the ids of the changes for the next group.
    pub(crate) fn take(&mut self, now: Instant) -> GroupIds {
        let mut keys_left = GROUP_KEYS;
        let job_keys = if self.divided { SHARDED_JOB_KEYS } else { 1 };
        let change_keys = if self.changed.is_empty() { 0 } else { GROUP_KEYS / CHANGE_KEY_DIVISOR };
        let mut added_keys_left = keys_left - change_keys;
        let added = take_within(&mut self.added, &mut added_keys_left, job_keys);
        keys_left = added_keys_left + change_keys;
        let changed = self.changed.take(keys_left);
        keys_left -= changed.len();
        let notices = self.notices.take_outgoing(&mut keys_left);
        let settled = self.notices.take_settled(&mut keys_left);
        let (departing, arriving) = self.transfers.take(&mut keys_left);
        let removed = take_within(&mut self.removed, &mut keys_left, job_keys.max(2));
        let workers_changed = std::mem::take(&mut self.workers_changed);
        let has_rest = !(self.changed.is_empty()
            && self.added.is_empty()
            && self.removed.is_empty()
            && self.notices.is_empty()
            && self.transfers.is_empty());
        self.urgent = has_rest && self.urgent;
        self.gathering_since = has_rest.then_some(now);
        self.last_number += 1;
        let spare_keys = if has_rest { 0 } else { keys_left };
        GroupIds {
            spare_keys,
            number: self.last_number,
            added,
            changed,
            notices,
            settled,
            removed,
            departing,
            arriving,
            workers_changed,
        }
    }

    /// Records that a group was sent.
    pub fn note_sent(&mut self, group: CommitGroup, effect: GroupEffect, now: Instant) {
        self.last_sent = Some(now);
        if !group.is_empty() {
            self.last_written = Some(now);
        }
        self.in_flight = Some((group, effect));
    }

    /// Removes and returns the group in flight once it is stored.
    pub fn take_stored(
        &mut self,
        number: GroupNumber,
        now: Instant,
    ) -> Option<(CommitGroup, GroupEffect)> {
        self.refused_since = None;
        let stored = self.in_flight.take_if(|(group, _)| group.number == number)?;
        if let Some(written) = self.last_written.filter(|_| !stored.0.is_empty()) {
            self.last_group_time = now.saturating_duration_since(written);
        }
        Some(stored)
    }
}

/// Ids of the changes in one group.
#[derive(Debug)]
pub(crate) struct GroupIds {
    pub(crate) number: GroupNumber,
    pub(crate) added: Vec<GraphId>,
    pub(crate) changed: Vec<GraphId>,
    pub(crate) notices: Vec<(GraphId, ShardId, NoticeKind)>,
    pub(crate) settled: Vec<(GraphId, NoticeKind)>,
    pub(crate) removed: Vec<GraphId>,
    /// Jobs that leave, with the shards that they go to.
    pub(crate) departing: Vec<(GraphId, ShardId)>,
    pub(crate) arriving: Vec<ArrivingJob>,
    pub(crate) workers_changed: bool,
    /// Keys that are left for compactions; none while other changes wait for the next group.
    pub(crate) spare_keys: usize,
}

fn take_within(from: &mut BTreeSet<GraphId>, keys_left: &mut usize, keys: usize) -> Vec<GraphId> {
    let mut taken = Vec::new();
    while *keys_left >= keys
        && let Some(id) = from.pop_first()
    {
        *keys_left -= keys;
        taken.push(id);
    }
    taken
}
