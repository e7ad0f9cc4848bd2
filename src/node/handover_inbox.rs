//! Leadership that an entry which leaves gives to another, in place of an election.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::graph::{LeaderEpoch, ShardId};
use crate::id::EntryId;
use crate::node::keys::LeaseId;
use crate::node::records::LeaderTerm;

/// How long an entry that was named waits to be told that the leader before has ended: a store that is a hundred times
/// slower takes 0.4 s for the change. Without that word it leads as after any election.
const WORD_TIME: Duration = Duration::from_millis(1_500);

/// What an entry offers that can lead.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct SuccessorOffer {
    pub(crate) entry: EntryId,
    /// Where other entries reach it.
    pub(crate) address: SocketAddr,
    /// Tells this start of the entry from any other.
    pub(crate) start: u64,
    /// Its lease in the store, under which the key of the leader will stand.
    pub(crate) lease: LeaseId,
}

/// What leaving leaders and this entry tell each other.
#[derive(Debug, Default)]
pub(crate) struct HandoverInbox {
    /// This entry's lease, while it could lead.
    lease: Mutex<Option<LeaseId>>,
    /// Terms for which this entry was named, and until when the word of the leader before is waited for.
    named: Mutex<BTreeMap<ShardId, (LeaderEpoch, Instant)>>,
    /// Terms that were given to it and have not begun.
    term_given: Mutex<BTreeMap<ShardId, LeaderTerm>>,
    news: Notify,
}

impl HandoverInbox {
    /// Sets or ends the lease under which this entry could lead.
    pub(crate) fn set_lease(&self, lease: Option<LeaseId>) {
        *lock(&self.lease) = lease;
    }

    /// The lease under which this entry could lead a shard after an epoch, if it could.
    pub(crate) fn name(&self, shard: ShardId, epoch: LeaderEpoch) -> Option<LeaseId> {
        let lease = (*lock(&self.lease))?;
        lock(&self.named).insert(shard, (epoch + 1, Instant::now() + WORD_TIME));
        Some(lease)
    }

    /// Whether the word of the leader before is still waited for.
    pub(crate) fn awaits_term(&self, shard: &ShardId, epoch: LeaderEpoch) -> bool {
        let named = lock(&self.named);
        named.get(shard).is_some_and(|(term, until)| *term == epoch && Instant::now() < *until)
    }

    /// A leader has ended, and the store names this entry for the term after.
    pub(crate) fn give(&self, shard: ShardId, term: LeaderTerm) {
        lock(&self.named).remove(&shard);
        lock(&self.term_given).insert(shard, term);
        self.news.notify_one();
    }

    /// Takes the terms that were given.
    pub(crate) fn take_terms(&self) -> BTreeMap<ShardId, LeaderTerm> {
        std::mem::take(&mut *lock(&self.term_given))
    }

    /// Waits for a term to be given.
    pub(crate) async fn term_given(&self) {
        self.news.notified().await;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
