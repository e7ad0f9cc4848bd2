//! What becomes of a group whose sends or answers are lost.

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
/// Longest time that a client of the store waits.
const CALL_TIME: Duration = Duration::from_millis(800);

/// A store that leaves what it is sent before a moment unanswered.
struct SilentStore {
    answers_from: Instant,
    /// How long an answer takes.
    answer_time: Duration,
    /// Whether it carries out what it leaves unanswered.
    carries_out: bool,
    stored: Mutex<Option<Bytes>>,
    sends: Mutex<u32>,
}

impl SilentStore {
    fn new(silence: Duration, answer_time: Duration, carries_out: bool) -> Self {
        let answers_from = Instant::now() + silence;
        let (stored, sends) = (Mutex::new(None), Mutex::new(0));
        Self { answers_from, answer_time, carries_out, stored, sends }
    }

    async fn answer(&self) -> Result<()> {
        if Instant::now() < self.answers_from {
            sleep(CALL_TIME).await;
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
        if self.carries_out || Instant::now() >= self.answers_from {
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

/// How long a group takes that is sent until it is stored.
async fn time_to_store(store: &SilentStore) -> Duration {
    let begun = Instant::now();
    while store.send().await.is_err() {}
    begun.elapsed()
}

// A store was silent for 6.4 s. The send that was under way as it came back was waited for until its 0.8 s were over,
// and jobs whose callers had waited for it were refused meanwhile.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_store_that_is_back_gets_the_group_within_a_question() {
    let silence = Duration::from_millis(6_400);
    let store = SilentStore::new(silence, Duration::from_millis(4), false);
    let took = time_to_store(&store).await;
    expect_that!(took, ge(silence));
    expect_that!(took, le(silence + Duration::from_millis(150)));
}

// A group that was stored, and whose answer was lost, held all later groups for 0.86 s.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_group_whose_answer_was_lost_is_found_in_the_store() {
    let store = SilentStore::new(Duration::from_millis(10), Duration::from_millis(4), true);
    let took = time_to_store(&store).await;
    expect_that!(took, le(Duration::from_millis(200)));
    expect_that!(*store.sends.lock().unwrap(), eq(1));
}

// A slow store gets each group once: sent again it would have twice the work.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_slow_store_gets_a_group_once() {
    let store = SilentStore::new(Duration::ZERO, Duration::from_millis(380), false);
    let took = time_to_store(&store).await;
    expect_that!(took, eq(Duration::from_millis(380)));
    expect_that!(*store.sends.lock().unwrap(), eq(1));
}

// Refused by one send while another is unanswered, a group may be stored.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_group_is_not_known_to_be_refused_while_a_send_is_unanswered() {
    /// Leaves the first send unanswered and refuses the next.
    struct RefusingStore(Mutex<u32>);

    impl GroupStore for RefusingStore {
        async fn change(&self, _: &KeyTransaction) -> Result<TransactionOutcome> {
            let first = {
                let mut sends = self.0.lock().unwrap();
                *sends += 1;
                *sends == 1
            };
            if first {
                sleep_until(Instant::now() + CALL_TIME).await;
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
