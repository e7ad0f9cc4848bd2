//! What must be stored, gathered into groups that the store takes as a whole.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::graph::changes::ChangeQueue;
use crate::graph::exchange::{InstanceId, UsedWorker};
use crate::graph::job::GraphRecord;
use crate::graph::name::GraphId;
use crate::graph::notice::{NoticeKind, NoticeQueue, ShardNotice};
use crate::graph::progress::GraphProgress;
use crate::graph::shard::ShardId;
use crate::id::WorkerId;

/// Number of a group.
pub type GroupNumber = u64;

/// Keys that jobs may take in one group: the store takes 32 in a transaction, three are for the
/// group's own.
pub(crate) const GROUP_KEYS: usize = 28;
/// Part of a group that new jobs leave to changes, where both wait. In a burst at a store that takes 370 ms a
/// group nine new jobs filled each, and verdicts waited until the burst was over.
const CHANGE_SHARE: usize = 2;
/// Keys of a new job where there are several leaders: its record, its entry in the index of all jobs, and the
/// condition that there is none.
const SHARDED_KEYS: usize = 3;
/// How long changes that nobody waits for are gathered: ends are acknowledged this much later.
const GATHER: Duration = Duration::from_millis(60);
/// Shortest time from one group to the next: 400 writes a second are shared by all.
const GROUP_GAP: Duration = Duration::from_millis(8);

/// Time until the next group after the store has refused one.
const REFUSED_GAP: Duration = Duration::from_millis(100);

/// Changes that are stored together.
#[derive(Clone, Debug, Default)]
pub struct CommitGroup {
    /// Rises with each group of a leader.
    pub number: GroupNumber,
    /// Jobs that were submitted.
    pub added: Vec<GraphRecord>,
    /// Jobs with new progress.
    pub progress: Vec<(GraphId, GraphProgress)>,
    /// Jobs that nobody may ask for any more.
    pub removed: Vec<GraphId>,
    /// Those of them that another shard's leader accepted.
    pub removed_parts: BTreeSet<GraphId>,
    /// Notices to other shards.
    pub notices: Vec<ShardNotice>,
    /// Notices to this shard that are done with.
    pub settled: Vec<(GraphId, NoticeKind)>,
    /// All workers that may run something, where that has changed.
    pub workers: Option<Vec<UsedWorker>>,
}

/// What a group makes true once it is stored.
#[derive(Clone, Debug, Default)]
pub struct GroupEffect {
    /// Ends that may be acknowledged, by the life that lists them.
    pub ends: BTreeMap<InstanceId, u64>,
    /// Workers that the store now names.
    pub stored_workers: BTreeSet<WorkerId>,
}

/// Gathers changes.
#[derive(Debug, Default)]
pub struct CommitQueue {
    /// Whether there are several leaders.
    divided: bool,
    added: BTreeSet<GraphId>,
    changed: ChangeQueue,
    removed: BTreeSet<GraphId>,
    notices: NoticeQueue,
    workers: bool,
    urgent: bool,
    since: Option<Instant>,
    last: GroupNumber,
    sent: Option<Instant>,
    open: Option<(CommitGroup, GroupEffect)>,
    /// Since when the store has refused every group.
    refused_since: Option<Instant>,
}

impl CommitQueue {
    /// Sets whether there are several leaders.
    pub(crate) fn set_divided(&mut self, divided: bool) {
        self.divided = divided;
    }

    /// Another shard has to be told of a job; callers wait for it.
    pub(crate) fn send_notice(&mut self, job: GraphId, shard: ShardId, kind: NoticeKind) {
        self.notices.send(job, shard, kind);
        self.urgent = true;
    }

    /// A notice to this shard is done with.
    pub(crate) fn settle_notice(&mut self, job: GraphId, kind: NoticeKind, now: Instant) {
        self.notices.settle(job, kind);
        self.touch(now, false);
    }

    /// A job was submitted.
    pub fn add(&mut self, job: GraphId) {
        self.added.insert(job);
        self.urgent = true;
    }

    /// A job's progress changed; `urgent` where somebody waits for it.
    pub fn change(&mut self, job: GraphId, now: Instant, urgent: bool) {
        self.changed.insert(job, urgent);
        self.touch(now, urgent);
    }

    /// A job is to be forgotten.
    pub fn remove(&mut self, job: GraphId, now: Instant) {
        self.removed.insert(job);
        self.touch(now, false);
    }

    /// The set of workers that may run something changed.
    pub fn note_workers(&mut self, now: Instant, urgent: bool) {
        self.workers = true;
        self.touch(now, urgent);
    }

    /// Ends came in that change nothing but are to be acknowledged.
    pub fn touch(&mut self, now: Instant, urgent: bool) {
        self.urgent |= urgent;
        self.since.get_or_insert(now);
    }

    /// Whether a job's submission may have reached the store.
    pub fn sent(&self, job: &GraphId) -> bool {
        !self.added.contains(job)
    }

    /// Jobs that are not part of a group yet.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = &GraphId> {
        self.added.iter()
    }

    /// Takes back jobs that are not part of a group and that `given_up` tells.
    pub(crate) fn take_added(
        &mut self,
        mut given_up: impl FnMut(&GraphId) -> bool,
    ) -> BTreeSet<GraphId> {
        self.added.extract_if(.., |id| given_up(id)).collect()
    }

    /// Takes back a group that the store has surely not taken: all but its new jobs is due again.
    pub(crate) fn refused(&mut self, number: GroupNumber, now: Instant) -> Option<CommitGroup> {
        let (group, _) = self.open.take_if(|(group, _)| group.number == number)?;
        for (id, progress) in &group.progress {
            self.changed.insert(id.clone(), progress.verdict.is_some());
        }
        self.removed.extend(group.removed.iter().cloned());
        for notice in &group.notices {
            self.notices.send(notice.job.clone(), notice.shard.clone(), notice.kind);
        }
        for (job, kind) in &group.settled {
            self.notices.settle(job.clone(), *kind);
        }
        self.workers |= group.workers.is_some();
        self.since.get_or_insert(now);
        self.sent = Some(now);
        self.refused_since.get_or_insert(now);
        Some(group)
    }

    /// Whether a group waits for the store.
    pub fn is_open(&self) -> bool {
        self.open.is_some()
    }

    /// When the next group is due, if there is anything to store.
    pub fn due(&self) -> Option<Instant> {
        if !self.has_some() || self.open.is_some() {
            return None;
        }
        let gap = if self.refused_since.is_some() { REFUSED_GAP } else { GROUP_GAP };
        let spaced = self.sent.map(|sent| sent + gap);
        let gathered = self.since.map(|since| since + GATHER);
        match (self.urgent, spaced, gathered) {
            (true, Some(spaced), _) => Some(spaced),
            (true, None, _) => self.since.or(self.sent).or(gathered),
            (false, Some(spaced), Some(gathered)) => Some(spaced.max(gathered)),
            (false, _, gathered) => gathered,
        }
    }

    /// Whether a group should be made now.
    pub fn is_due(&self, now: Instant) -> bool {
        self.has_some() && self.open.is_none() && self.due().is_none_or(|due| due <= now)
    }

    fn has_some(&self) -> bool {
        !self.added.is_empty() || !self.notices.is_empty() || self.since.is_some()
    }

    /// Takes the ids for the next group: submitted, changed, removed, and whether workers go along.
    pub(crate) fn take(&mut self, now: Instant) -> GroupIds {
        let mut room = GROUP_KEYS;
        let job_keys = if self.divided { SHARDED_KEYS } else { 1 };
        let kept = if self.changed.is_empty() { 0 } else { GROUP_KEYS / CHANGE_SHARE };
        let mut add_room = room - kept;
        let added = take_some(&mut self.added, &mut add_room, job_keys);
        room = add_room + kept;
        let changed = self.changed.take(room);
        room -= changed.len();
        let notices = self.notices.take_sent(&mut room);
        let settled = self.notices.take_settled(&mut room);
        let removed = take_some(&mut self.removed, &mut room, job_keys.max(2));
        let workers = std::mem::take(&mut self.workers);
        let complete = self.changed.is_empty();
        let rest = !(complete
            && self.added.is_empty()
            && self.removed.is_empty()
            && self.notices.is_empty());
        self.urgent = rest && self.urgent;
        self.since = rest.then_some(now);
        self.last += 1;
        GroupIds { number: self.last, added, changed, notices, settled, removed, workers, complete }
    }

    /// Notes a group as sent.
    pub fn opened(&mut self, group: CommitGroup, effect: GroupEffect, now: Instant) {
        self.sent = Some(now);
        self.open = Some((group, effect));
    }

    /// Takes the group that was stored.
    pub fn stored(&mut self, number: GroupNumber) -> Option<(CommitGroup, GroupEffect)> {
        self.refused_since = None;
        self.open.take_if(|(group, _)| group.number == number)
    }
}

/// Ids for one group.
#[derive(Debug)]
pub(crate) struct GroupIds {
    pub(crate) number: GroupNumber,
    pub(crate) added: Vec<GraphId>,
    pub(crate) changed: Vec<GraphId>,
    pub(crate) notices: Vec<(GraphId, ShardId, NoticeKind)>,
    pub(crate) settled: Vec<(GraphId, NoticeKind)>,
    pub(crate) removed: Vec<GraphId>,
    pub(crate) workers: bool,
    /// Whether no changed job is left for a later group, so that all ends seen are in the store.
    pub(crate) complete: bool,
}

fn take_some(from: &mut BTreeSet<GraphId>, room: &mut usize, keys: usize) -> Vec<GraphId> {
    let mut taken = Vec::new();
    while *room >= keys
        && let Some(id) = from.pop_first()
    {
        *room -= keys;
        taken.push(id);
    }
    taken
}
