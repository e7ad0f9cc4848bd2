//! Names of the keys of one shard's ledger, and what a group changes there.

use bytes::Bytes;
use log::error;
use serde::Serialize;

use crate::graph::{CommitGroup, GraphId, GraphRecord, NoticeKind, ShardId};
use crate::node::keys::{KeyWrite, epoch_key, sharded};
use crate::node::ledger::LedgerHead;
use crate::node::notices::notice_key;

/// Start of the keys of jobs as they were submitted.
const RECORD_PREFIX: &str = "j";
/// Start of the keys of what has become of jobs.
const PROGRESS_PREFIX: &str = "p";
/// Where there are several leaders: the shard of each job. The condition that a job has no such key keeps
/// two leaders from accepting it.
const INDEX_PREFIX: &str = "i";
/// Id of the last group; not under the prefix that entries watch.
const GROUP_KEY: &str = "l/group";
/// Workers that may run something.
const WORKERS_KEY: &str = "l/workers";

/// Names of the keys of one shard.
#[derive(Clone, Debug)]
pub(super) struct ShardKeys {
    pub(super) shard: ShardId,
}

impl ShardKeys {
    pub(super) fn record(&self, job: &str) -> String {
        format!("{}/{job}", sharded(RECORD_PREFIX, &self.shard))
    }

    pub(super) fn progress(&self, job: &str) -> String {
        format!("{}/{job}", sharded(PROGRESS_PREFIX, &self.shard))
    }

    pub(super) fn group(&self) -> String {
        sharded(GROUP_KEY, &self.shard)
    }

    pub(super) fn workers(&self) -> String {
        sharded(WORKERS_KEY, &self.shard)
    }

    /// Whether there are others.
    pub(super) fn divided(&self) -> bool {
        !self.shard.is_empty()
    }

    /// Whether another shard's leader has accepted a job that is stored here.
    pub(super) fn is_part(&self, record: &GraphRecord) -> bool {
        record.share.as_ref().is_some_and(|share| share.owner != self.shard)
    }
}

pub(super) fn index_key(job: &str) -> String {
    format!("{INDEX_PREFIX}/{job}")
}

impl ShardKeys {
    /// What must hold for a group: the leader's epoch, the group before, and jobs that no shard has.
    pub(super) fn conditions(&self, head: LedgerHead, added: &[GraphId]) -> Vec<(String, u64)> {
        let mut conditions = vec![
            (epoch_key(&self.shard), head.epoch_revision),
            (self.group(), head.group_revision),
        ];
        conditions.extend(added.iter().map(|job| (index_key(job), 0)));
        conditions
    }

    /// Jobs of a group that must not be in the index yet.
    pub(super) fn indexed(&self, group: &CommitGroup) -> Vec<GraphId> {
        let own = group.added.iter().filter(|record| self.divided() && !self.is_part(record));
        own.map(|record| record.spec.id.clone()).collect()
    }

    /// Whether a key to write belongs to a job that another shard has.
    pub(super) fn belongs(&self, set: &KeyWrite, job: &GraphId) -> bool {
        [self.record(job), self.progress(job), index_key(job)].contains(&set.key)
    }

    /// Keys that a group writes and removes.
    pub(super) fn changes(&self, id: &str, group: &CommitGroup) -> (Vec<KeyWrite>, Vec<String>) {
        let mut writes = vec![set(self.group(), Bytes::from(id.to_owned()))];
        let mut removes = Vec::new();
        for record in &group.added {
            let job = &record.spec.id;
            writes.push(set(self.record(job), encode(record)));
            match self.is_part(record) {
                true => removes.push(notice_key(&self.shard, NoticeKind::Start, job)),
                false if self.divided() => {
                    writes.push(set(index_key(job), Bytes::from(self.shard.to_string())));
                }
                false => {}
            }
        }
        for (job, progress) in &group.progress {
            writes.push(set(self.progress(job), encode(progress)));
        }
        for notice in &group.notices {
            let value = notice.record.as_ref().map(encode).unwrap_or_default();
            writes.push(set(notice_key(&notice.shard, notice.kind, &notice.job), value));
        }
        if let Some(workers) = &group.workers {
            writes.push(set(self.workers(), encode(workers)));
        }
        for (job, kind) in &group.settled {
            removes.push(notice_key(&self.shard, *kind, job));
        }
        for job in &group.removed {
            removes.extend([self.record(job), self.progress(job)]);
            if self.divided() && !group.removed_parts.contains(job) {
                removes.push(index_key(job));
            }
        }
        (writes, removes)
    }
}

fn set(key: String, value: Bytes) -> KeyWrite {
    KeyWrite { key, value, lease: None }
}

fn encode<T: Serialize>(value: &T) -> Bytes {
    match serde_json::to_vec(value) {
        Ok(bytes) => Bytes::from(bytes),
        Err(failure) => {
            error!(failure:% = failure; "a value could not be encoded");
            Bytes::new()
        }
    }
}
