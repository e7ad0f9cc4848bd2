//! Notices from the leader of one shard to that of another, through the store.
//!
//! A notice stays in the store until the receiving leader has stored what follows from it, and is removed in
//! the same group. So no notice is lost when a leader fails, and a leader that has a successor cannot act on
//! one.

use std::collections::BTreeSet;

use crate::graph::sharding::shard::ShardId;
use crate::graph::workload::job::GraphRecord;
use crate::graph::workload::name::GraphId;

/// Kinds of notices.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum NoticeKind {
    /// Run a share of a job's tasks.
    Start,
    /// The job has ended: the other shards stop it.
    Cancel,
    /// A task of a share was given up: the job has failed, and its owner ends it in all shards.
    Fail,
    /// Take the job over.
    Move,
}

/// A notice to send.
#[derive(Clone, Debug)]
pub struct ShardNotice {
    /// The receiving shard.
    pub shard: ShardId,
    /// The job.
    pub job: GraphId,
    /// Kind of the notice.
    pub kind: NoticeKind,
    /// The job with its shares, for a notice of kind `Start`.
    pub record: Option<GraphRecord>,
}

/// Notices that wait to be written with a group.
#[derive(Debug, Default)]
pub(crate) struct NoticeQueue {
    outgoing: BTreeSet<(GraphId, ShardId, NoticeKind)>,
    settled: BTreeSet<(GraphId, NoticeKind)>,
}

impl NoticeQueue {
    /// Queues a notice about a job to a shard.
    pub(crate) fn send(&mut self, job: GraphId, shard: ShardId, kind: NoticeKind) {
        self.outgoing.insert((job, shard, kind));
    }

    /// Queues the removal of a notice to this shard, to be stored together with what follows from the notice.
    pub(crate) fn mark_settled(&mut self, job: GraphId, kind: NoticeKind) {
        self.settled.insert((job, kind));
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.outgoing.is_empty() && self.settled.is_empty()
    }

    /// Takes at most `limit` notices to send, and lowers `limit` by their number.
    pub(crate) fn take_outgoing(
        &mut self,
        limit: &mut usize,
    ) -> Vec<(GraphId, ShardId, NoticeKind)> {
        pop_up_to(&mut self.outgoing, limit)
    }

    /// Takes at most `limit` notices to remove, and lowers `limit` by their number.
    pub(crate) fn take_settled(&mut self, limit: &mut usize) -> Vec<(GraphId, NoticeKind)> {
        pop_up_to(&mut self.settled, limit)
    }
}

fn pop_up_to<T: Ord>(from: &mut BTreeSet<T>, limit: &mut usize) -> Vec<T> {
    let mut taken = Vec::new();
    while *limit > 0
        && let Some(first) = from.pop_first()
    {
        *limit -= 1;
        taken.push(first);
    }
    taken
}
