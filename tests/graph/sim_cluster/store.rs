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
    /// The parts that the shards have of the caps, with their version.
    pub(super) quota: Option<StoredValue>,
}

impl ModelStore {
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
}
