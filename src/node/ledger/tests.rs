//! Groups whose sends or answers are lost.

use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use tokio::time::{Instant, sleep, sleep_until};

use crate::node::keys::{KeyItem, KeyTransaction, StoreError, TransactionOutcome};
use crate::node::ledger::Result;
use crate::node::ledger::group_sender::{GroupSender, GroupStore};

const KEY: &str = "l/group";
const ID: &str = "3:17";
/// Timeout of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// A store that answers no call made before a given time.
struct SilentStore {
    answers_from: Instant,
    /// Time that an answer takes.
    answer_time: Duration,
    /// Whether unanswered transactions take effect.
    applies_unanswered: bool,
    stored: Mutex<Option<Bytes>>,
    sends: Mutex<u32>,
}

impl SilentStore {
    fn new(silence: Duration, answer_time: Duration, applies_unanswered: bool) -> Self {
        let answers_from = Instant::now() + silence;
        let (stored, sends) = (Mutex::new(None), Mutex::new(0));
        Self { answers_from, answer_time, applies_unanswered, stored, sends }
    }

    async fn answer(&self) -> Result<()> {
        if Instant::now() < self.answers_from {
            sleep(CALL_TIMEOUT).await;
            return Err(StoreError::Unknown("no answer".to_owned()));
        }
        sleep(self.answer_time).await;
        Ok(())
    }

    async fn send(&self) -> Result<TransactionOutcome> {
        let sender = GroupSender { store: self, key: KEY, id: ID };
        sender.send(&KeyTransaction::default()).await
    }
}

impl GroupStore for SilentStore {
    async fn change(&self, _: &KeyTransaction) -> Result<TransactionOutcome> {
        *self.sends.lock().unwrap() += 1;
        if self.applies_unanswered || Instant::now() >= self.answers_from {
            *self.stored.lock().unwrap() = Some(Bytes::from(ID));
        }
        self.answer().await?;
        Ok(TransactionOutcome::Done(7))
    }

    async fn read(&self, key: &str) -> Result<Option<KeyItem>> {
        let value = self.stored.lock().unwrap().clone();
        self.answer().await?;
        Ok(value.map(|value| KeyItem { key: key.to_owned(), value, revision: 7 }))
    }
}

/// Sends a group until it is stored, and returns how long that took.
async fn time_to_store(store: &SilentStore) -> Duration {
    let started = Instant::now();
    while store.send().await.is_err() {}
    started.elapsed()
}

// A store did not answer for 6.4 s. When it recovered, the send in flight was still waited for until its timeout of 0.8
// s, and jobs whose callers waited for the group were refused meanwhile.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_recovered_store_gets_the_group_within_a_probe_interval() {
    let silence = Duration::from_millis(6_400);
    let store = SilentStore::new(silence, Duration::from_millis(4), false);
    let took = time_to_store(&store).await;
    expect_that!(took, ge(silence));
    expect_that!(took, le(silence + Duration::from_millis(150)));
}

// A stored group whose answer was lost delayed all later groups by 0.86 s.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_group_whose_answer_was_lost_is_found_in_the_store() {
    let store = SilentStore::new(Duration::from_millis(10), Duration::from_millis(4), true);
    let took = time_to_store(&store).await;
    expect_that!(took, le(Duration::from_millis(200)));
    expect_that!(*store.sends.lock().unwrap(), eq(1));
}

// Sending a group again would double the load of a slow store.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_slow_store_gets_a_group_once() {
    let store = SilentStore::new(Duration::ZERO, Duration::from_millis(380), false);
    let took = time_to_store(&store).await;
    expect_that!(took, eq(Duration::from_millis(380)));
    expect_that!(*store.sends.lock().unwrap(), eq(1));
}

// A group may be stored if one of its sends is refused while another is unanswered.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_group_is_not_reported_as_refused_while_a_send_is_unanswered() {
    /// A store that leaves the first send unanswered and refuses the next.
    struct RefusingStore(Mutex<u32>);

    impl GroupStore for RefusingStore {
        async fn change(&self, _: &KeyTransaction) -> Result<TransactionOutcome> {
            let first = {
                let mut sends = self.0.lock().unwrap();
                *sends += 1;
                *sends == 1
            };
            if first {
                sleep_until(Instant::now() + CALL_TIMEOUT).await;
                return Err(StoreError::Unknown("no answer".to_owned()));
            }
            Err(StoreError::NotDone("busy".to_owned()))
        }

        async fn read(&self, _: &str) -> Result<Option<KeyItem>> {
            Ok(None)
        }
    }

    let store = RefusingStore(Mutex::new(0));
    let sender = GroupSender { store: &store, key: KEY, id: ID };
    let result = sender.send(&KeyTransaction::default()).await;
    expect_that!(matches!(result, Err(StoreError::Unknown(_))), eq(true));
}
