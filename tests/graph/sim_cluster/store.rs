//! The store of the simulated cluster.

use std::collections::BTreeMap;
use std::time::Duration;

use kelplink::*;

/// Contents and faults of the store.
#[derive(Debug, Default)]
pub(crate) struct ModelStore {
    pub(crate) epoch: LeaderEpoch,
    pub(crate) up: bool,
    /// Whether commits are refused, instead of left unanswered, while the store is down.
    pub(crate) refuses: bool,
    /// Additional time that the store takes for a commit group.
    pub(crate) commit_delay: Duration,
    pub(crate) jobs: BTreeMap<GraphId, (GraphRecord, GraphProgress)>,
    pub(crate) workers: Vec<UsedWorker>,
    /// Data of each shard, where there are several.
    pub(crate) shards: BTreeMap<ShardId, ModelShard>,
    /// Whether the list of workers in use cannot be read.
    pub(crate) workers_unreadable: bool,
    pub(crate) groups: u64,
    /// Number of jobs that have left a shard for another.
    pub(crate) departures: u64,
    /// Number of compactions.
    pub(crate) compacted: u64,
    /// The parts that the shards have of the caps, with their version.
    pub(super) quota: Option<StoredValue>,
}

impl ModelStore {
    /// Applies the compaction of an ended job.
    ///
    /// It must neither take anything from a job without a stored verdict, nor change what callers are told, nor bring
    /// back a job that was removed.
    pub(super) fn compact(&mut self, compacted: CompactedJob) {
        let CompactedJob { record, progress } = compacted;
        let id = record.spec.id.clone();
        let stored = self.jobs.get_mut(&id).unwrap_or_else(|| panic!("{id} is not stored"));
        assert!(stored.1.verdict.is_some(), "{id} is compacted before its verdict is stored");
        assert!(stored.0.share.is_none(), "{id} is compacted but runs in several shards");
        let told = |(record, progress): &(GraphRecord, GraphProgress)| {
            let spec = (record.spec.queue.clone(), record.spec.accepted);
            let holder = (record.workspace.clone(), record.rule.public);
            (spec, holder, progress.verdict, progress.ended, progress.floors.clone())
        };
        let compacted = (record, progress.unwrap_or_else(|| stored.1.clone()));
        assert_eq!(told(&compacted), told(stored), "{id} loses what callers are told about it");
        *stored = compacted;
        self.compacted += 1;
    }

    /// Handles a call about the parts of caps from the leader of the current epoch, or from an earlier one.
    pub(super) fn call_quota(&mut self, request: &StoreRequest, current: bool) -> StoreOutcome {
        let version = self.quota.as_ref().map_or(0, |stored| stored.version);
        match request {
            _ if !self.up => StoreOutcome::Unavailable,
            StoreRequest::Read { .. } => {
                self.quota.clone().map_or(StoreOutcome::Missing, StoreOutcome::Found)
            }
            StoreRequest::Swap { expected, .. } if !current || *expected != version => {
                StoreOutcome::Conflict
            }
            StoreRequest::Swap { value, .. } => {
                let version = version + 1;
                self.quota = Some(StoredValue { version, value: value.clone() });
                StoreOutcome::Written(version)
            }
        }
    }
}

/// Data of one shard.
#[derive(Debug, Default)]
pub(crate) struct ModelShard {
    /// The leader that was elected last.
    pub(crate) epoch: LeaderEpoch,
    pub(super) workers: Vec<UsedWorker>,
    /// Jobs of other shards of which this shard runs a share.
    pub(crate) parts: BTreeMap<GraphId, (GraphRecord, GraphProgress)>,
    pub(super) notices: BTreeMap<(NoticeKind, GraphId), Option<GraphRecord>>,
    /// Jobs on their way to this shard, with the revisions of their notices.
    pub(crate) incoming: BTreeMap<GraphId, (u64, MovedJob)>,
    /// What is kept of jobs that have moved to other shards.
    pub(crate) moved: BTreeMap<GraphId, (GraphRecord, GraphProgress)>,
}
