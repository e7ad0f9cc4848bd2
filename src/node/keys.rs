//! Keys, changes and watches of the store, as the duties use them.

use bytes::Bytes;
use thiserror::Error;

use crate::graph::ShardId;

/// Prefix of all keys that entries watch.
pub(crate) const MEMBER_PREFIX: &str = "m/";
/// Leaders, each under its lease: one key, or one a shard.
const LEADER_KEY: &str = "m/leader";
/// Numbers of elections; its revision is the condition of all that a leader writes.
const EPOCH_KEY: &str = "m/epoch";
/// The division of the workers among leaders.
pub(crate) const PLAN_KEY: &str = "m/shards";
/// Prefix of the keys of entries, each under its lease.
pub(crate) const ENTRY_PREFIX: &str = "m/entry/";

/// Key of a shard's leader.
pub(crate) fn leader_key(shard: &ShardId) -> String {
    sharded(LEADER_KEY, shard)
}

/// Key of the number of a shard's elections.
pub(crate) fn epoch_key(shard: &ShardId) -> String {
    sharded(EPOCH_KEY, shard)
}

/// The shard whose leader a key names.
pub(crate) fn shard_of_leader(key: &str) -> Option<ShardId> {
    shard_of(key, LEADER_KEY)
}

/// The shard whose elections a key counts.
pub(crate) fn shard_of_epoch(key: &str) -> Option<ShardId> {
    shard_of(key, EPOCH_KEY)
}

/// A key of which each shard has one; where there is one shard, it is the plain key.
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

/// Name of a lease in the store.
pub(crate) type LeaseId = u64;

/// A key with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct KeyItem {
    pub(crate) key: String,
    /// Empty where the store's text for it cannot be read.
    pub(crate) value: Bytes,
    /// Revision of its last change.
    pub(crate) revision: u64,
}

/// Some keys in order.
#[derive(Clone, Debug)]
pub(crate) struct KeyPage {
    pub(crate) items: Vec<KeyItem>,
    /// Whether there are more after the last.
    pub(crate) more: bool,
    /// The store's revision when it answered.
    pub(crate) revision: u64,
}

/// A change of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum KeyEvent {
    Written(KeyItem),
    Removed(String),
}

/// What a watch brought.
#[derive(Clone, Debug)]
pub(crate) enum WatchOutcome {
    /// Changes, none where the time was over first, and the revision to go on from.
    Events { events: Vec<KeyEvent>, revision: u64 },
    /// The store has forgotten what came after the revision: read all again.
    HistoryGone,
}

/// A key to write.
#[derive(Clone, Debug)]
pub(crate) struct KeyWrite {
    pub(crate) key: String,
    pub(crate) value: Bytes,
    /// Lease with which the key goes.
    pub(crate) lease: Option<LeaseId>,
}

/// Changes under conditions, all or nothing.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyTransaction {
    /// Revision that each key must have; 0 where it must not exist.
    pub(crate) conditions: Vec<(String, u64)>,
    pub(crate) writes: Vec<KeyWrite>,
    pub(crate) removes: Vec<String>,
}

/// What became of a transaction.
#[derive(Clone, Debug)]
pub(crate) enum TransactionOutcome {
    /// It took effect and gave this revision.
    Done(u64),
    /// A condition did not hold; the keys of the conditions as they are, without those that do not
    /// exist.
    Conflict(Vec<KeyItem>),
    /// The lease has ended.
    NoLease,
}

/// How a call to the store failed.
#[derive(Clone, Debug)]
#[derive(Error)]
pub(crate) enum StoreError {
    /// Nothing was done.
    #[error("not done: {0}")]
    NotDone(String),
    /// It may have taken effect, or may still do so.
    #[error("unknown: {0}")]
    Unknown(String),
}

/// What of the store could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum UnreadableKind {
    /// A place in a list without a key.
    Item,
    /// A worker's registration.
    Registration,
    Configuration,
    /// An entry, the leader or the count of elections.
    Member,
    /// A job, its progress or the workers in use.
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

/// Counts what could not be read; whoever finds it writes the log line, with the key.
pub(crate) fn count_unreadable(kind: UnreadableKind) {
    metrics::counter!("kelplink_unreadable_total", "kind" => kind.label()).increment(1);
}
