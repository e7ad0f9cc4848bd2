//! Key names of one shard's ledger, and the key changes of a group.

use bytes::Bytes;
use log::error;
use serde::Serialize;

use crate::graph::{
    CommitGroup, CompactedJob, DepartingJob, GraphId, GraphRecord, MovedJob, NoticeKind, ShardId,
};
use crate::node::keys::{KeyWrite, epoch_key, sharded};
use crate::node::ledger::LedgerHead;
use crate::node::notices::notice_key;

/// Prefix of the keys of job records, which hold jobs as submitted.
const RECORD_PREFIX: &str = "j";
/// Prefix of the keys of job progress.
const PROGRESS_PREFIX: &str = "p";
/// Prefix of the keys that hold the shard of each job, in deployments with several shards. The condition that a job has
/// no such key keeps two leaders from accepting it.
const INDEX_PREFIX: &str = "i";
/// Key of the last group's id; not under the prefix that entries watch.
const GROUP_KEY: &str = "l/group";
/// Key of the workers that may have running tasks.
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

    /// Whether there are other shards, and so an index.
    pub(super) fn has_index(&self) -> bool {
        !self.shard.is_empty()
    }

    /// Whether a job stored in this shard is part of one that another shard's leader has accepted.
    pub(super) fn is_part(&self, record: &GraphRecord) -> bool {
        record.share.as_ref().is_some_and(|share| share.owner != self.shard)
    }
}

pub(super) fn index_key(job: &str) -> String {
    format!("{INDEX_PREFIX}/{job}")
}

impl ShardKeys {
    /// Conditions of a group: the leader's epoch, the previous group, `added` jobs that no shard has yet, and the notices of
    /// `arriving` jobs.
    pub(super) fn conditions(
        &self,
        head: LedgerHead,
        added: &[GraphId],
        arriving: &[(GraphId, u64)],
    ) -> Vec<(String, u64)> {
        let mut conditions = vec![
            (epoch_key(&self.shard), head.epoch_revision),
            (self.group(), head.group_revision),
        ];
        conditions.extend(added.iter().map(|job| (index_key(job), 0)));
        let notice = |(job, revision): &(GraphId, u64)| (self.arrival_notice(job), *revision);
        conditions.extend(arriving.iter().map(notice));
        conditions
    }

    /// Key of the notice by which another leader gives a job to this shard.
    pub(super) fn arrival_notice(&self, job: &GraphId) -> String {
        notice_key(&self.shard, NoticeKind::Move, job)
    }

    /// Jobs of a group that are to be added to the index.
    pub(super) fn jobs_to_index(&self, group: &CommitGroup) -> Vec<GraphId> {
        let own = group.added.iter().filter(|record| self.has_index() && !self.is_part(record));
        own.map(|record| record.spec.id.clone()).collect()
    }

    /// Whether a write is to one of the keys of `job`.
    pub(super) fn is_of_job(&self, write: &KeyWrite, job: &GraphId) -> bool {
        [self.record(job), self.progress(job), index_key(job)].contains(&write.key)
    }

    /// Returns the writes and the removed keys of a group.
    pub(super) fn changes(&self, id: &str, group: &CommitGroup) -> (Vec<KeyWrite>, Vec<String>) {
        let mut writes = vec![key_write(self.group(), Bytes::from(id.to_owned()))];
        let mut removes = Vec::new();
        for record in &group.added {
            let job = &record.spec.id;
            writes.push(key_write(self.record(job), encode(record)));
            match self.is_part(record) {
                true => removes.push(notice_key(&self.shard, NoticeKind::Start, job)),
                false if self.has_index() => {
                    writes.push(key_write(index_key(job), Bytes::from(self.shard.to_string())));
                }
                false => {}
            }
        }
        for (job, progress) in &group.progress {
            writes.push(key_write(self.progress(job), encode(progress)));
        }
        for CompactedJob { record, progress } in &group.compacted {
            let job = &record.spec.id;
            writes.push(key_write(self.record(job), encode(record)));
            if let Some(progress) = progress {
                writes.push(key_write(self.progress(job), encode(progress)));
            }
        }
        for notice in &group.notices {
            let value = notice.record.as_ref().map(encode).unwrap_or_default();
            writes.push(key_write(notice_key(&notice.shard, notice.kind, &notice.job), value));
        }
        for DepartingJob { shard, moved, left } in &group.departing {
            let job = &moved.record.spec.id;
            writes.push(key_write(self.record(job), encode(&left.record)));
            writes.push(key_write(self.progress(job), encode(&left.progress)));
            writes.push(key_write(index_key(job), Bytes::from(shard.to_string())));
            writes.push(key_write(notice_key(shard, NoticeKind::Move, job), encode(moved)));
        }
        for arriving in &group.arriving {
            let (job, MovedJob { record, progress }) = (arriving.id(), &arriving.moved);
            writes.push(key_write(self.record(job), encode(record)));
            writes.push(key_write(self.progress(job), encode(progress)));
            removes.push(self.arrival_notice(job));
        }
        if let Some(workers) = &group.workers {
            writes.push(key_write(self.workers(), encode(workers)));
        }
        for (job, kind) in &group.settled {
            removes.push(notice_key(&self.shard, *kind, job));
        }
        for job in &group.removed {
            removes.extend([self.record(job), self.progress(job)]);
            if self.has_index() && !group.removed_parts.contains(job) {
                removes.push(index_key(job));
            }
        }
        (writes, removes)
    }
}

fn key_write(key: String, value: Bytes) -> KeyWrite {
    KeyWrite { key, value, lease: None }
}

fn encode<T: Serialize>(value: &T) -> Bytes {
    match serde_json::to_vec(value) {
        Ok(bytes) => Bytes::from(bytes),
        Err(failure) => {
            error!(failure:% = failure; "failed to encode a value");
            Bytes::new()
        }
    }
}
