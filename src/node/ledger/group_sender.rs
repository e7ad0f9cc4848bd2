//! Sends one group to the store, and sends it again as soon as the store answers a read while a send is unanswered.
//!
//! This covers a store that was unreachable and a store whose answers are lost. Waiting for the timeout of an
//! unanswered send would keep jobs from being accepted after the store has recovered, and would delay all later groups.

use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::{Instant, sleep_until};

use crate::node::entry_store::EntryStore;
use crate::node::keys::{KeyItem, KeyTransaction, StoreError, TransactionOutcome};
use crate::node::ledger::Result;

/// Time after a send before the group key is read to see whether it took effect. Answers take 4 ms; only a store forty
/// times slower needs this long.
const PROBE_AFTER: Duration = Duration::from_millis(150);
/// Interval between such reads: a store that has recovered is noticed within it.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of unanswered reads: a slow store answers each within 400 ms.
const MAX_PROBES: usize = 4;
/// Maximum number of unanswered sends of one group.
const MAX_SENDS: usize = 3;

/// The store operations that sending a group needs.
pub(crate) trait GroupStore: Sync {
    /// Changes keys under conditions, all or nothing.
    fn change(
        &self,
        change: &KeyTransaction,
    ) -> impl Future<Output = Result<TransactionOutcome>> + Send;

    /// Reads a key.
    fn read(&self, key: &str) -> impl Future<Output = Result<Option<KeyItem>>> + Send;
}

impl GroupStore for EntryStore {
    async fn change(&self, change: &KeyTransaction) -> Result<TransactionOutcome> {
        self.transact(change).await
    }

    async fn read(&self, key: &str) -> Result<Option<KeyItem>> {
        self.get(key).await
    }
}

/// Result of a read of the group key that was sent at `sent`.
struct StoreProbe {
    sent: Instant,
    read: Result<Option<KeyItem>>,
}

/// Sends a group, which is stored once the group key has its id.
pub(crate) struct GroupSender<'s, S> {
    pub(crate) store: &'s S,
    pub(crate) key: &'s str,
    pub(crate) id: &'s str,
}

impl<S: GroupStore> GroupSender<'_, S> {
    /// Sends a change until a send is answered or all have failed.
    ///
    /// # Errors
    /// `NotDone` only if the store has refused every send.
    pub(crate) async fn send(&self, change: &KeyTransaction) -> Result<TransactionOutcome> {
        let mut sends = FuturesUnordered::from_iter([self.store.change(change)]);
        let mut probes = FuturesUnordered::new();
        let mut last_send = Instant::now();
        let mut next_probe = last_send + PROBE_AFTER;
        let mut failure = None;
        loop {
            tokio::select! {
                Some(result) = sends.next() => match result {
                    Ok(outcome) => return Ok(outcome),
                    Err(error) if sends.is_empty() => return Err(combine_failures(failure, error)),
                    Err(error) => failure = Some(combine_failures(failure, error)),
                },
                Some(probe) = probes.next() => {
                    let StoreProbe { sent, read } = probe;
                    match read {
                        Ok(Some(item)) if item.value == self.id.as_bytes() => {
                            return Ok(TransactionOutcome::Done(item.revision));
                        }
                        // The store answered a read sent after the last send without having the group: that send is
                        // assumed lost.
                        Ok(_) if sent > last_send && sends.len() < MAX_SENDS => {
                            last_send = Instant::now();
                            sends.push(self.store.change(change));
                        }
                        Ok(_) | Err(_) => {}
                    }
                }
                () = sleep_until(next_probe) => {
                    let now = Instant::now();
                    next_probe = now + PROBE_INTERVAL;
                    if probes.len() < MAX_PROBES {
                        probes.push(self.probe(now));
                    }
                }
            }
        }
    }

    /// Reads the group key, at `sent`.
    async fn probe(&self, sent: Instant) -> StoreProbe {
        StoreProbe { sent, read: self.store.read(self.key).await }
    }
}

/// Combines the failures of two sends of a group: an unanswered one may have taken effect, so it prevails.
fn combine_failures(before: Option<StoreError>, error: StoreError) -> StoreError {
    match before {
        Some(unknown @ StoreError::Unknown(_)) => unknown,
        _ => error,
    }
}
