//! Groups whose sends or answers are lost, and the stored form of jobs that have ended.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, sleep_until};

use crate::graph::{
    CommitGroup, CompactedJob, GraphJob, GraphProgress, GraphRecord, GraphVerdict, ShardId, StepKey,
};
use crate::node::keys::{KeyItem, KeyTransaction, StoreError, TransactionOutcome};
use crate::node::ledger::group_sender::{GroupSender, GroupStore};
use crate::node::ledger::shard_keys::ShardKeys;
use crate::node::ledger::{Result, join};

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

/// A record as entries before the compaction of ended jobs decode it: every field but the last two has to be there.
#[derive(Debug, Deserialize)]
struct EarlierRecord {
    spec: EarlierSpec,
    rule: EarlierRule,
    #[serde(default)]
    workspace: Option<String>,
    #[serde(default)]
    home: Option<String>,
}

#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "the fields have to be present")]
struct EarlierSpec {
    id: String,
    queue: String,
    payload: String,
    steps: Vec<Value>,
    repeat: Option<Value>,
    accepted: u64,
}

#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "the fields have to be present")]
struct EarlierRule {
    id: String,
    host: String,
    prefix: String,
    service: String,
    priority: u32,
    max_attempts: u32,
    slack: f64,
    target: Duration,
    advice: Option<Value>,
    #[serde(default)]
    public: bool,
}

/// A stored job of one step, as an earlier build has written it.
fn earlier_record() -> GraphRecord {
    let target = json!({"secs": 0, "nanos": 250_000_000});
    let record = json!({
        "spec": {
            "id": "a", "queue": "now", "payload": "run".repeat(100), "steps": [{"count": 3}],
            "repeat": {"count": 2, "first": 40, "interval": target}, "accepted": 17,
        },
        "rule": {
            "id": "now", "host": "jobs.example", "prefix": "/now/", "service": "svc", "priority": 2, "max_attempts": 4,
            "slack": 1.5, "target": target, "advice": null, "public": true,
        },
        "workspace": "one", "home": "d1",
    });
    serde_json::from_value(record).unwrap()
}

/// Values that the compaction of a job writes, by key.
fn compacted_values(progress: GraphProgress) -> BTreeMap<String, Bytes> {
    let job = GraphJob::restored(earlier_record(), progress, Instant::now(), Duration::ZERO);
    let group = CommitGroup { compacted: vec![CompactedJob::new(&job)], ..CommitGroup::default() };
    let (writes, removes) = ShardKeys { shard: ShardId::from("") }.changes("3:17", &group);
    assert!(removes.is_empty(), "{removes:?} are removed");
    let jobs = writes.into_iter().filter(|write| write.key != KEY);
    jobs.map(|write| (write.key, write.value)).collect()
}

fn progress(value: Value) -> GraphProgress {
    serde_json::from_value(value).unwrap()
}

// An entry of an earlier build that takes over reads compacted jobs. Without a field that it requires it would skip them,
// and callers would be told that there is no such job.
#[gtest]
fn entries_of_an_earlier_build_read_compacted_jobs() {
    let values = compacted_values(progress(json!({
        "verdict": "cancelled", "ended": 99, "begun": true, "done": [[0, 0, [0, 2]]], "failures": [[0, 0, 1, [5]]],
        "floors": [[0, 0, 1, 7]], "domains": ["d2"],
    })));
    expect_that!(values.keys().map(String::as_str).collect::<Vec<_>>(), eq(&vec!["j/a", "p/a"]));
    let record: EarlierRecord = serde_json::from_slice(&values["j/a"]).unwrap();
    expect_that!(record.spec.id, eq("a"));
    expect_that!(record.spec.queue, eq("now"));
    expect_that!(record.spec.accepted, eq(17));
    expect_that!(record.spec.steps, is_empty());
    expect_that!(record.workspace, some(eq("one")));
    expect_that!(record.home, none());
    expect_true!(record.rule.public);
    let left: Value = serde_json::from_slice(&values["p/a"]).unwrap();
    let expected = json!({
        "verdict": "cancelled", "ended": 99, "begun": true, "floors": [[0, 0, 1, 7]],
    });
    expect_that!(left, eq(&expected));
}

// A key less for each completed job, of which there are most.
#[gtest]
fn a_completed_job_is_compacted_in_one_key() {
    let values =
        compacted_values(progress(json!({"verdict": "completed", "ended": 99, "begun": true})));
    expect_that!(values.keys().map(String::as_str).collect::<Vec<_>>(), eq(&vec!["j/a"]));
    expect_that!(values["j/a"].len(), le(400));
}

// An entry of an earlier build lists what a completed job has done; this build's compaction drops the list.
#[gtest]
fn a_completed_job_of_an_earlier_build_is_compacted() {
    let stored = progress(json!({
        "verdict": "completed", "ended": 99, "begun": true, "done": [[0, 0, [0, 1, 2]], [1, 0, [0, 1, 2]]],
    }));
    expect_that!(stored.done_count(StepKey { occurrence: 1, step: 0 }), eq(3));
    let values = compacted_values(stored);
    let left = progress(serde_json::from_slice(&values["p/a"]).unwrap());
    expect_that!(left.verdict, some(eq(GraphVerdict::Completed)));
    expect_true!(left.done.is_empty());
}

// A compacted job without its verdict would be an open job with nothing to run, and would never end.
#[gtest]
fn a_compacted_job_without_a_readable_verdict_is_left_out() {
    let verdict = progress(json!({"verdict": "failed", "ended": 99}));
    let values = compacted_values(verdict.clone());
    let record: GraphRecord = serde_json::from_slice(&values["j/a"]).unwrap();
    let joined = |progress: &[Option<GraphProgress>]| {
        let by_id = progress.iter().map(|progress| ("a".to_owned(), progress.clone()));
        join(BTreeMap::from([("a".to_owned(), Some(record.clone()))]), by_id.collect()).len()
    };
    expect_that!(joined(&[Some(verdict)]), eq(1));
    expect_that!(joined(&[]), eq(0));
    expect_that!(joined(&[None]), eq(0));
    expect_that!(joined(&[Some(GraphProgress::default())]), eq(0));
}
