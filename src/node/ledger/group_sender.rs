//! Sending one group: again as soon as the store answers anything.
//!
//! Load it answers: a store that has been silent, or whose answers are lost. Waited out, a send without an answer keeps
//! jobs from being taken after the store is back, and holds all later groups.

use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::{Instant, sleep_until};

use crate::node::keys::{KeyItem, KeyTransaction, StoreError, TransactionOutcome};
use crate::node::ledger::Result;
use crate::platform::PlatformStore;

/// How long a send is waited for before the store is asked what it has: answers take 4 ms, and this long only where
/// the store is forty times slower.
const PROBE_AFTER: Duration = Duration::from_millis(150);
/// Time from one such question to the next: a store that is back is noticed within it.
const PROBE_GAP: Duration = Duration::from_millis(100);
/// Questions that may be without an answer: a slow store answers each within 400 ms.
const MOST_PROBES: usize = 4;
/// Sends of one group that may be without an answer.
const MOST_SENDS: usize = 3;

/// What a group is sent to.
pub(crate) trait GroupStore: Sync {
    /// Changes keys under conditions, all or nothing.
    fn change(
        &self,
        change: &KeyTransaction,
    ) -> impl Future<Output = Result<TransactionOutcome>> + Send;

    /// Reads a key.
    fn read(&self, key: &str) -> impl Future<Output = Result<Option<KeyItem>>> + Send;
}

impl GroupStore for PlatformStore {
    async fn change(&self, change: &KeyTransaction) -> Result<TransactionOutcome> {
        self.transact(change).await
    }

    async fn read(&self, key: &str) -> Result<Option<KeyItem>> {
        self.get(key).await
    }
}

/// What the store said of the group key to a question that was sent at a moment.
struct StoreProbe {
    sent: Instant,
    read: Result<Option<KeyItem>>,
}

/// Sends a group, which stands in the store once the group key has its id.
pub(crate) struct GroupSender<'s, S> {
    pub(crate) store: &'s S,
    pub(crate) key: &'s str,
    pub(crate) id: &'s str,
}

impl<S: GroupStore> GroupSender<'_, S> {
    /// Sends a change until a send is answered or all have failed.
    ///
    /// # Errors
    /// `NotDone` only where the store has refused every send.
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
                    Err(error) if sends.is_empty() => return Err(worse(failure, error)),
                    Err(error) => failure = Some(worse(failure, error)),
                },
                Some(probe) = probes.next() => {
                    let StoreProbe { sent, read } = probe;
                    match read {
                        Ok(Some(item)) if item.value == self.id.as_bytes() => {
                            return Ok(TransactionOutcome::Done(item.revision));
                        }
                        // It answers what was asked later than the last send: that send is lost.
                        Ok(_) if sent > last_send && sends.len() < MOST_SENDS => {
                            last_send = Instant::now();
                            sends.push(self.store.change(change));
                        }
                        Ok(_) | Err(_) => {}
                    }
                }
                () = sleep_until(next_probe) => {
                    let now = Instant::now();
                    next_probe = now + PROBE_GAP;
                    if probes.len() < MOST_PROBES {
                        probes.push(self.probe(now));
                    }
                }
            }
        }
    }

    /// Asks what the store has, at a moment.
    async fn probe(&self, sent: Instant) -> StoreProbe {
        StoreProbe { sent, read: self.store.read(self.key).await }
    }
}

/// What is known of a group two sends of which have failed: one without an answer may have taken effect.
fn worse(before: Option<StoreError>, error: StoreError) -> StoreError {
    match before {
        Some(unknown @ StoreError::Unknown(_)) => unknown,
        _ => error,
    }
}
