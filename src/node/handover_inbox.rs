//! Terms that leaders hand over to this entry when they step down, in place of an election.

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

/// How long a recorded successor waits for the notification that the previous leader has ended: a store that is a
/// hundred times slower than usual takes 0.4 s for the transaction. Without the notification the successor leads as
/// after an election.
const TERM_WAIT: Duration = Duration::from_millis(1_500);

/// Offer of an entry to lead a shard next.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct SuccessorOffer {
    pub(crate) entry: EntryId,
    /// Address for other entries.
    pub(crate) address: SocketAddr,
    /// Identifies this start of the entry's process.
    pub(crate) start: u64,
    /// The entry's lease in the store, which the leader key will be written under.
    pub(crate) lease: LeaseId,
}

/// State of handovers from leaders that step down to this entry.
#[derive(Debug, Default)]
pub(crate) struct HandoverInbox {
    /// This entry's lease, while it can lead.
    lease: Mutex<Option<LeaseId>>,
    /// Epochs after which this entry has offered to lead, and until when the term waits for the previous leader's
    /// notification.
    expected_terms: Mutex<BTreeMap<ShardId, (LeaderEpoch, Instant)>>,
    /// Terms handed over to this entry that have not begun.
    delivered_terms: Mutex<BTreeMap<ShardId, LeaderTerm>>,
    term_delivery: Notify,
}

impl HandoverInbox {
    /// Sets the lease under which this entry can lead, or clears it.
    pub(crate) fn set_lease(&self, lease: Option<LeaseId>) {
        *lock(&self.lease) = lease;
    }

    /// Returns the lease under which this entry can lead a shard after `epoch`, if it can, and expects that term from
    /// then on.
    pub(crate) fn expect_term(&self, shard: ShardId, epoch: LeaderEpoch) -> Option<LeaseId> {
        let lease = (*lock(&self.lease))?;
        lock(&self.expected_terms).insert(shard, (epoch, Instant::now() + TERM_WAIT));
        Some(lease)
    }

    /// Whether the term of `epoch` still waits for the previous leader's notification.
    pub(crate) fn awaits_term(&self, shard: &ShardId, epoch: LeaderEpoch) -> bool {
        let expected_terms = lock(&self.expected_terms);
        expected_terms
            .get(shard)
            .is_some_and(|(before, until)| *before < epoch && Instant::now() < *until)
    }

    /// Takes the notification that a leader has ended and the store names this entry for the next term.
    pub(crate) fn deliver_term(&self, shard: ShardId, term: LeaderTerm) {
        lock(&self.expected_terms).remove(&shard);
        lock(&self.delivered_terms).insert(shard, term);
        self.term_delivery.notify_one();
    }

    /// Removes and returns the terms handed over so far.
    pub(crate) fn take_terms(&self) -> BTreeMap<ShardId, LeaderTerm> {
        std::mem::take(&mut *lock(&self.delivered_terms))
    }

    /// Waits until a term is handed over.
    pub(crate) async fn term_delivered(&self) {
        self.term_delivery.notified().await;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
