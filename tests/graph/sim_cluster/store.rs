//! The store of the world, as its leaders find it.

use std::collections::BTreeMap;
use std::time::Duration;

use kelplink::*;

/// What the store has.
#[derive(Debug, Default)]
pub(crate) struct ModelStore {
    pub(crate) epoch: LeaderEpoch,
    pub(crate) up: bool,
    /// Whether it says so while it is down.
    pub(crate) refuses: bool,
    /// How much longer than usual it takes for a group.
    pub(crate) commit_delay: Duration,
    pub(crate) jobs: BTreeMap<GraphId, (GraphRecord, GraphProgress)>,
    pub(crate) workers: Vec<UsedWorker>,
    /// What each shard has beside that, where there are several.
    pub(crate) shards: BTreeMap<ShardId, ModelShard>,
    /// Whether the list of these workers cannot be read.
    pub(crate) spoilt: bool,
    pub(crate) groups: u64,
}

/// What the store has of one shard.
#[derive(Debug, Default)]
pub(crate) struct ModelShard {
    /// The leader that was elected last.
    pub(crate) epoch: LeaderEpoch,
    pub(super) workers: Vec<UsedWorker>,
    /// Jobs of other shards that are run here in part.
    pub(crate) parts: BTreeMap<GraphId, (GraphRecord, GraphProgress)>,
    pub(super) notices: BTreeMap<(NoticeKind, GraphId), Option<GraphRecord>>,
}
