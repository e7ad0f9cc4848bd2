//! Answers of an entry that does not know the shard plan, or whose index of jobs cannot be relied on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

use crate::graph::{
    GraphId, GraphProgress, GraphRecord, GraphState, GraphVerdict, MovedJob, QueueRule, ShardPlan,
};
use crate::node::entry_store::EntryStore;
use crate::node::input::LeaderInput;
use crate::node::leader_client::{LeaderCallError, LeaderClient};
use crate::node::message::{JobAccess, JobSubmission, LeaderAnswer, LeaderCall};
use crate::node::settings::NodeSettings;
use crate::node::shared::NodeShared;
use crate::node::simulated_peers::SimulatedPeers;
use crate::node::simulated_store::SimulatedStore;
use crate::node::tests::{divided, settings};
use crate::platform::decode_job;
use crate::ring::ring;

/// Name of a job.
const JOB: &str = "0123456789abcdef";
/// Key of the index entry that names the job's shard.
const INDEX_KEY: &str = "i/0123456789abcdef";
/// How long callers wait.
const CALLER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time without an answer of the store after which an entry regards itself as cut off.
const REACH_SILENCE: Duration = Duration::from_millis(1_000);

/// An entry that has not read the shard plan.
fn entry(settings: NodeSettings) -> Arc<NodeShared> {
    Arc::new(NodeShared::new(settings))
}

/// The leader client of an entry that has received no answer since its start.
fn client(settings: NodeSettings) -> LeaderClient {
    LeaderClient::new(entry(settings))
}

/// Submission of a job with one task.
fn submission() -> JobSubmission {
    let rule = QueueRule {
        id: "q".into(),
        host: "".into(),
        prefix: "/q".into(),
        service: "s".into(),
        priority: 0,
        max_attempts: 1,
        slack: 2.0,
        target: Duration::from_secs(1),
        advice: None,
        public: false,
    };
    let body = br#"{"steps": [{"count": 1}]}"#;
    let spec = decode_job(&rule.id, JOB, body, 0).unwrap();
    let record =
        GraphRecord { spec, rule, workspace: None, home: None, share: None, run_offset: 0 };
    JobSubmission { attempt: 1, caller_timeout: CALLER_TIMEOUT, forced: false, record }
}

/// Serves a store with at most one key, whose value is given as on the wire.
async fn serve_store(found: Option<(&'static str, &'static str)>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let answer = move |request: &str| match found {
        Some((key, value)) if request.contains(key) => {
            let item = format!(r#"{{"key": "{key}", "value": {value}, "revision": 1}}"#);
            format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{item}", item.len())
        }
        _ => "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n".to_owned(),
    };
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let mut request = [0; 4_096];
                while let Ok(count @ 1..) = stream.read(&mut request).await {
                    let answer = answer(&String::from_utf8_lossy(&request[..count]));
                    stream.write_all(answer.as_bytes()).await.unwrap();
                }
            });
        }
    });
    address
}

/// An entry of a deployment with several shards whose store has `value` as the index entry of [`JOB`], and its client.
async fn client_with_index(value: &'static str) -> (Arc<NodeShared>, LeaderClient) {
    let store = serve_store(Some((INDEX_KEY, value))).await;
    let shared = Arc::new(NodeShared::new(NodeSettings { store, ..settings() }));
    shared.members.send_modify(|view| view.plan = divided(&[]).plan);
    (shared.clone(), LeaderClient::new(shared))
}

// The sum over no shards was reported as the number of waiting jobs.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_queue_is_not_counted_as_empty_before_the_shard_plan_is_known() {
    let started = Instant::now();
    let pending = client(settings()).pending(&"q".into(), CALLER_TIMEOUT).await;
    expect_that!(pending, none());
    expect_that!(started.elapsed(), eq(Duration::ZERO));
    let shared = entry(settings());
    shared.note_store_answer("election");
    expect_that!(LeaderClient::new(shared).pending(&"q".into(), CALLER_TIMEOUT).await, none());
}

// The record of a job was looked up under the key that an undivided deployment uses.
#[gtest]
#[tokio::test]
async fn a_job_is_not_gone_before_the_shard_plan_is_known() {
    let client = client(NodeSettings { store: serve_store(None).await, ..settings() });
    expect_that!(client.stored_state(&JobAccess::Anonymous(JOB.into())).await, none());
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn calls_before_the_shard_plan_is_known_are_not_taken() {
    let started = Instant::now();
    let job = GraphId::from(JOB);
    for call in [
        LeaderCall::State(JobAccess::Anonymous(job.clone())),
        LeaderCall::Cancel(JobAccess::Anonymous(job.clone())),
    ] {
        let answer = client(settings()).ask_owner(&job, &call, CALLER_TIMEOUT).await;
        expect_that!(answer, err(eq(&LeaderCallError::NotTaken)));
    }
    let answer = client(settings()).submit(submission(), CALLER_TIMEOUT).await;
    expect_that!(answer, err(eq(&LeaderCallError::NotTaken)));
    expect_that!(started.elapsed(), eq(Duration::ZERO));
}

// A new entry gets its first answer from the store shortly before it has read the members. In between it refused its
// callers, or submitted their jobs to a shard that might not exist.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_job_waits_for_the_shard_plan_to_be_read() {
    let shared = entry(settings());
    shared.note_store_answer("configuration");
    let (sender, calls) = ring("leader", 4);
    shared.set_leading(&shared.settings.domain, Some(sender));
    tokio::spawn(async move {
        while let Some(LeaderInput::Call(_, answer)) = calls.recv().await {
            answer.send(LeaderAnswer::Accepted).unwrap();
        }
    });
    let client = LeaderClient::new(shared.clone());
    let read = async {
        sleep(REACH_SILENCE / 2).await;
        let domains = [("a".into(), 1), ("b".into(), 1)].into();
        let plan = Arc::new(ShardPlan::by_domain(domains));
        shared.members.send_modify(|view| view.plan = Some(plan));
    };
    let (answer, ()) = tokio::join!(client.submit(submission(), CALLER_TIMEOUT), read);
    expect_that!(answer, ok(eq(&LeaderAnswer::Accepted)));
}

// An index entry without a readable name was treated as that of the unnamed shard, which does not have the job.
#[gtest]
#[tokio::test]
async fn a_job_with_an_unreadable_index_is_not_gone() {
    for value in ["7", r#""~""#, r#""""#] {
        let (_, client) = client_with_index(value).await;
        expect_that!(
            client.stored_state(&JobAccess::Anonymous(JOB.into())).await,
            none(),
            "{value}"
        );
    }
}

// A replaced leader does not have the jobs of its successor, and a leader leaves out jobs that it could not read.
#[gtest]
#[tokio::test]
async fn a_job_unknown_to_its_leader_is_not_gone_while_the_index_names_it() {
    let (shared, client) = client_with_index(r#""YQ==""#).await;
    let (input, receiver) = ring("leader", 4);
    shared.set_leading(&"a".into(), Some(input));
    tokio::spawn(async move {
        while let Some(input) = receiver.recv().await {
            if let LeaderInput::Call(_, answer) = input {
                answer.send(LeaderAnswer::Gone).unwrap();
            }
        }
    });
    let job = GraphId::from(JOB);
    let answer = client
        .ask_owner(&job, &LeaderCall::State(JobAccess::Anonymous(job.clone())), CALLER_TIMEOUT)
        .await;
    expect_that!(answer, err(eq(&LeaderCallError::NotTaken)));
    // The leader gives the same answer for a job that has ended, which cannot be cancelled.
    let answer = client
        .ask_owner(&job, &LeaderCall::Cancel(JobAccess::Anonymous(job.clone())), CALLER_TIMEOUT)
        .await;
    expect_that!(answer, ok(eq(&LeaderAnswer::Gone)));
}

// While a job moves, neither the leader that it has left nor the next one has it: its state was reported as gone, and its
// cancellation confirmed, although it ran afterwards.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_job_on_its_way_to_another_shard_is_neither_gone_nor_cancelled() {
    let store = SimulatedStore::start();
    let entry_store = EntryStore::Simulated(store.client(1));
    let shared = NodeShared::simulated(settings(), entry_store, SimulatedPeers::default());
    let shared = Arc::new(shared);
    shared.members.send_modify(|view| view.plan = divided(&[]).plan);
    for shard in ["a", "b"] {
        let (input, receiver) = ring("leader", 4);
        shared.set_leading(&shard.into(), Some(input));
        tokio::spawn(async move {
            while let Some(LeaderInput::Call(_, answer)) = receiver.recv().await {
                answer.send(LeaderAnswer::Gone).unwrap();
            }
        });
    }
    let moved = MovedJob { record: submission().record, progress: GraphProgress::default() };
    store.put(INDEX_KEY, "b");
    store.put(&format!("x/b/move/{JOB}"), serde_json::to_vec(&moved).unwrap());
    let client = LeaderClient::new(shared);
    let job = GraphId::from(JOB);
    let access = JobAccess::Anonymous(job.clone());
    let state = LeaderAnswer::State(GraphState::Queued);
    expect_that!(client.stored_state(&access).await, some(eq(&state)));
    let cancel = LeaderCall::Cancel(access.clone());
    let answer = client.ask_owner(&job, &cancel, CALLER_TIMEOUT).await;
    expect_that!(answer, err(eq(&LeaderCallError::NotTaken)));
    // What is left in the shard that it was in says nothing about it.
    store.put(INDEX_KEY, "a");
    let verdict = Some(GraphVerdict::Moved);
    let left = GraphProgress { verdict, ..GraphProgress::default() };
    store.put(&format!("j/a/{JOB}"), serde_json::to_vec(&submission().record).unwrap());
    store.put(&format!("p/a/{JOB}"), serde_json::to_vec(&left).unwrap());
    let read = tokio::spawn(async move { client.stored_state(&access).await });
    sleep(Duration::from_millis(6)).await;
    store.put(INDEX_KEY, "b");
    expect_that!(read.await.unwrap(), some(eq(&state)));
}
