//! What the leader of one shard has to tell that of another, through the store.
//!
//! A notice stands in the store until the other leader has stored what follows from it; it is removed in the
//! same group. So none is lost with a leader, and none is acted on by one that has been succeeded.

use std::collections::BTreeSet;

use crate::graph::job::GraphRecord;
use crate::graph::name::GraphId;
use crate::graph::shard::ShardId;

/// Kinds of notices.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum NoticeKind {
    /// Run a share of a job's tasks.
    Start,
    /// The job is over: its other shards stop it.
    Cancel,
    /// A task of a share has been given up: the job has failed, and its owner ends it everywhere.
    Fail,
}

/// A notice to send.
#[derive(Clone, Debug)]
pub struct ShardNotice {
    /// The shard that it is for.
    pub shard: ShardId,
    /// The job.
    pub job: GraphId,
    /// What it says.
    pub kind: NoticeKind,
    /// The job with its shares, where it is to start.
    pub record: Option<GraphRecord>,
}

/// Notices that wait for a group.
#[derive(Debug, Default)]
pub(crate) struct NoticeQueue {
    sent: BTreeSet<(GraphId, ShardId, NoticeKind)>,
    settled: BTreeSet<(GraphId, NoticeKind)>,
}

impl NoticeQueue {
    /// A shard has to be told of a job.
    pub(crate) fn send(&mut self, job: GraphId, shard: ShardId, kind: NoticeKind) {
        self.sent.insert((job, shard, kind));
    }

    /// What follows from a notice to this shard is stored.
    pub(crate) fn settle(&mut self, job: GraphId, kind: NoticeKind) {
        self.settled.insert((job, kind));
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.sent.is_empty() && self.settled.is_empty()
    }

    /// Takes notices to send, at most as many as there is room for.
    pub(crate) fn take_sent(&mut self, limit: &mut usize) -> Vec<(GraphId, ShardId, NoticeKind)> {
        pop_up_to(&mut self.sent, limit)
    }

    /// Takes notices to remove, at most as many as there is room for.
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
