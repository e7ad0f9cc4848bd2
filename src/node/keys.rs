//! Key names, transactions and watch events of the store.

use bytes::Bytes;
use thiserror::Error;

use crate::graph::ShardId;

/// Prefix of all keys that entries watch.
pub(crate) const MEMBER_PREFIX: &str = "m/";
/// Prefix of the keys of entries, epoch records and earlier leaders.
pub(crate) const ROSTER_PREFIX: &str = "m/e";
/// Key of the leader, written under its lease; each shard has its own.
pub(crate) const LEADER_KEY: &str = "m/leader";
/// Key of the epoch record, which counts elections. Everything that a leader writes is conditional on its revision. A
/// leader key is always written together with the epoch key of its shard.
const EPOCH_KEY: &str = "m/epoch";
/// Key of the leaders before the last elected one that may still run; each shard has its own. It stays until they have
/// certainly ended, whatever becomes of the leaders after them.
const EARLIER_KEY: &str = "m/earlier";
/// Key of the shard plan, which divides the workers among leaders.
pub(crate) const PLAN_KEY: &str = "m/shards";
/// Prefix of the keys of entries, each written under the entry's lease.
pub(crate) const ENTRY_PREFIX: &str = "m/entry/";

/// Key of a shard's leader.
pub(crate) fn leader_key(shard: &ShardId) -> String {
    sharded(LEADER_KEY, shard)
}

/// Key of a shard's epoch record.
pub(crate) fn epoch_key(shard: &ShardId) -> String {
    sharded(EPOCH_KEY, shard)
}

/// Key of a shard's earlier leaders.
pub(crate) fn earlier_key(shard: &ShardId) -> String {
    sharded(EARLIER_KEY, shard)
}

/// Returns the shard if the key is that of earlier leaders.
pub(crate) fn shard_of_earlier(key: &str) -> Option<ShardId> {
    shard_of(key, EARLIER_KEY)
}

/// Returns the shard if the key is a leader key.
pub(crate) fn shard_of_leader(key: &str) -> Option<ShardId> {
    shard_of(key, LEADER_KEY)
}

/// Returns the shard if the key is an epoch key.
pub(crate) fn shard_of_epoch(key: &str) -> Option<ShardId> {
    shard_of(key, EPOCH_KEY)
}

/// Name of a key that exists once per shard; with a single shard it is the plain key.
pub(crate) fn sharded(key: &str, shard: &ShardId) -> String {
    match shard.is_empty() {
        true => key.to_owned(),
        false => format!("{key}/{shard}"),
    }
}

fn shard_of(key: &str, plain: &str) -> Option<ShardId> {
    let rest = key.strip_prefix(plain)?;
    match rest.is_empty() {
        true => Some(ShardId::from("")),
        false => rest.strip_prefix('/').map(ShardId::from),
    }
}

/// Id of a lease in the store.
pub(crate) type LeaseId = u64;

/// A key with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct KeyItem {
    pub(crate) key: String,
    /// Empty if the store's encoding of the value is unreadable.
    pub(crate) value: Bytes,
    /// Revision of its last change.
    pub(crate) revision: u64,
}

/// A page of keys in order.
#[derive(Clone, Debug)]
pub(crate) struct KeyPage {
    pub(crate) items: Vec<KeyItem>,
    /// Whether there are more keys after the last one.
    pub(crate) more: bool,
    /// The store's revision when it answered.
    pub(crate) revision: u64,
}

/// A change of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum KeyEvent {
    Written(KeyItem),
    Removed {
        key: String,
        /// Revision of the removal.
        revision: u64,
    },
}

impl KeyEvent {
    /// The key that has changed.
    pub(crate) fn key(&self) -> &str {
        match self {
            Self::Written(item) => &item.key,
            Self::Removed { key, .. } => key,
        }
    }
}

/// Result of a watch call.
#[derive(Clone, Debug)]
pub(crate) enum WatchOutcome {
    /// Changes, or none if the wait ended first, and the revision to continue from. With `has_more`, there may be later
    /// changes that the answer had no room for.
    Events { events: Vec<KeyEvent>, revision: u64, has_more: bool },
    /// The store no longer has the history after the revision: everything must be read again.
    HistoryGone,
}

/// A key to write.
#[derive(Clone, Debug)]
pub(crate) struct KeyWrite {
    pub(crate) key: String,
    pub(crate) value: Bytes,
    /// Lease whose end removes the key.
    pub(crate) lease: Option<LeaseId>,
}

/// Conditional changes that are applied all or not at all.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyTransaction {
    /// Revision that each key must have; 0 if it must not exist.
    pub(crate) conditions: Vec<(String, u64)>,
    pub(crate) writes: Vec<KeyWrite>,
    pub(crate) removes: Vec<String>,
}

/// Outcome of a transaction.
#[derive(Clone, Debug)]
pub(crate) enum TransactionOutcome {
    /// It took effect at this revision.
    Done(u64),
    /// A condition did not hold. Contains the current keys of the conditions, without those that do not exist.
    Conflict(Vec<KeyItem>),
    /// The lease has ended.
    NoLease,
}

/// Failure of a call to the store.
#[derive(Clone, Debug)]
#[derive(Error)]
pub(crate) enum StoreError {
    /// The call had no effect.
    #[error("not done: {0}")]
    NotDone(String),
    /// The store rejected the call as invalid: it had no effect, and the same call never will.
    #[error("invalid: {0}")]
    Invalid(String),
    /// The call may have taken effect, or may still do so.
    #[error("unknown: {0}")]
    Unknown(String),
}

/// Kind of an unreadable item of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum UnreadableKind {
    /// An element of a list that has no key.
    Item,
    /// A worker's registration.
    Registration,
    Configuration,
    /// An entry, a leader or an epoch record.
    Member,
    /// A job record, its progress or the workers in use.
    Ledger,
}

impl UnreadableKind {
    fn label(self) -> &'static str {
        match self {
            Self::Item => "item",
            Self::Registration => "registration",
            Self::Configuration => "configuration",
            Self::Member => "member",
            Self::Ledger => "ledger",
        }
    }
}

/// Counts an unreadable item. The caller logs it with its key.
pub(crate) fn count_unreadable(kind: UnreadableKind) {
    metrics::counter!("kelplink_unreadable_total", "kind" => kind.label()).increment(1);
}
