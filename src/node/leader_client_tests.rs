//! What an entry answers while it does not know how the workers are divided among leaders.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

use crate::graph::{GraphId, GraphRecord, QueueRule, ShardPlan};
use crate::node::input::LeaderInput;
use crate::node::leader_client::{LeaderCallError, LeaderClient};
use crate::node::message::{JobSubmission, LeaderAnswer, LeaderCall};
use crate::node::settings::NodeSettings;
use crate::node::shared::NodeShared;
use crate::node::tests::{divided, settings};
use crate::platform::decode_job;
use crate::ring::ring;

/// A job's name.
const JOB: &str = "0123456789abcdef";
/// Key of the index that names its shard.
const INDEX_KEY: &str = "i/0123456789abcdef";
/// How long callers wait.
const CALLER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// How long an entry that has heard the store once waits for more: then it takes itself for cut off.
const REACH_SILENCE: Duration = Duration::from_millis(1_000);

/// An entry that has not read the division.
fn entry(settings: NodeSettings) -> Arc<NodeShared> {
    Arc::new(NodeShared::new(settings))
}

/// The way to leaders of an entry that has heard nothing since its start.
fn access(settings: NodeSettings) -> LeaderClient {
    LeaderClient::new(entry(settings))
}

/// A submission of a job of one task.
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
    };
    let body = br#"{"steps": [{"count": 1}]}"#;
    let spec = decode_job(&rule.id, JOB, body, 0).unwrap();
    let record = GraphRecord { spec, rule, home: None, share: None };
    JobSubmission { attempt: 1, caller_timeout: CALLER_TIMEOUT, forced: false, record }
}

/// Serves a store that has one key at most, with its value as it goes over the wire.
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

/// The way to leaders of an entry of a divided deployment whose store has such an index of [`JOB`].
async fn indexed(value: &'static str) -> (Arc<NodeShared>, LeaderClient) {
    let store = serve_store(Some((INDEX_KEY, value))).await;
    let shared = Arc::new(NodeShared::new(NodeSettings { store, ..settings() }));
    shared.members.send_modify(|view| view.plan = divided(&[]).plan);
    (shared.clone(), LeaderClient::new(shared))
}

// The sum over no shard was told as the number of jobs that wait.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_queue_is_not_counted_as_empty_before_the_division_is_known() {
    let begun = Instant::now();
    let pending = access(settings()).pending(&"q".into(), CALLER_TIMEOUT).await;
    expect_that!(pending, none());
    expect_that!(begun.elapsed(), eq(Duration::ZERO));
    let shared = entry(settings());
    shared.note_store("election");
    expect_that!(LeaderClient::new(shared).pending(&"q".into(), CALLER_TIMEOUT).await, none());
}

// The record of a job in a shard was looked for where an undivided deployment keeps it.
#[gtest]
#[tokio::test]
async fn a_job_is_not_gone_before_the_division_is_known() {
    let access = access(NodeSettings { store: serve_store(None).await, ..settings() });
    expect_that!(access.stored_state(&GraphId::from(JOB)).await, none());
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn what_is_asked_before_the_division_is_known_is_not_taken() {
    let begun = Instant::now();
    let job = GraphId::from(JOB);
    for call in [LeaderCall::State(job.clone()), LeaderCall::Cancel(job.clone())] {
        let answer = access(settings()).ask_owner(&job, &call, CALLER_TIMEOUT).await;
        expect_that!(answer, err(eq(&LeaderCallError::NotTaken)));
    }
    let answer = access(settings()).submit(submission(), CALLER_TIMEOUT).await;
    expect_that!(answer, err(eq(&LeaderCallError::NotTaken)));
    expect_that!(begun.elapsed(), eq(Duration::ZERO));
}

// An entry that has just started hears the store some moments before it has read the members: its callers were refused,
// or their jobs handed to a shard that need not exist.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_job_is_handed_to_the_shard_of_a_division_that_is_read_meanwhile() {
    let shared = entry(settings());
    shared.note_store("configuration");
    let (sender, calls) = ring("leader", 4);
    shared.set_leading(&shared.settings.domain, Some(sender));
    tokio::spawn(async move {
        while let Some(LeaderInput::Call(_, answer)) = calls.recv().await {
            answer.send(LeaderAnswer::Accepted).unwrap();
        }
    });
    let access = LeaderClient::new(shared.clone());
    let read = async {
        sleep(REACH_SILENCE / 2).await;
        let domains = [("a".into(), 1), ("b".into(), 1)].into();
        let plan = Arc::new(ShardPlan::by_domain(domains));
        shared.members.send_modify(|view| view.plan = Some(plan));
    };
    let (answer, ()) = tokio::join!(access.submit(submission(), CALLER_TIMEOUT), read);
    expect_that!(answer, ok(eq(&LeaderAnswer::Accepted)));
}

// An index without a readable name was taken for that of a shard without a name, which has no job.
#[gtest]
#[tokio::test]
async fn a_job_whose_shard_is_unreadable_is_not_gone() {
    for value in ["7", r#""~""#, r#""""#] {
        let (_, access) = indexed(value).await;
        expect_that!(access.stored_state(&GraphId::from(JOB)).await, none(), "{value}");
    }
}

// A leader that has been succeeded does not know the jobs of the next, and one that could not read a job left it out.
#[gtest]
#[tokio::test]
async fn a_job_that_its_leader_does_not_know_is_not_gone_while_the_index_names_it() {
    let (shared, access) = indexed(r#""YQ==""#).await;
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
    let answer = access.ask_owner(&job, &LeaderCall::State(job.clone()), CALLER_TIMEOUT).await;
    expect_that!(answer, err(eq(&LeaderCallError::NotTaken)));
    // The leader tells the same of one that has ended, which cannot be cancelled.
    let answer = access.ask_owner(&job, &LeaderCall::Cancel(job.clone()), CALLER_TIMEOUT).await;
    expect_that!(answer, ok(eq(&LeaderAnswer::Gone)));
}
