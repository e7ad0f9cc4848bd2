//! Rejections by an entry that has a verdict of the leader, and the cases in which it must ask.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::graph::{ClassVerdict, LoadRejection, ShardId, ShardPlan};
use crate::node::leader_client::LeaderClient;
use crate::node::leader_client_tests::{entry, submission};
use crate::node::message::{JobSubmission, LeaderAnswer, LeaderCall};
use crate::node::records::LeaderRecord;
use crate::node::shared::NodeShared;
use crate::node::tests::settings;
use crate::node::verdict_cache::VerdictCache;

/// How long callers wait.
const CALLER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Epoch of the leader.
const EPOCH: u64 = 7;

/// A rejection of the job of [`submission`].
fn rejection(valid_for: Duration) -> LoadRejection {
    let record = submission().record;
    let verdict = ClassVerdict {
        priority: record.rule.priority,
        workspace: None,
        exceeds_rate: true,
        objective: record.rule.target,
        valid_for,
        epoch: EPOCH,
    };
    LoadRejection { retry_delay: Duration::from_millis(1_400), verdict }
}

#[gtest]
fn a_verdict_rejects_its_class_only() {
    let (shard, now) = (ShardId::from("a"), Instant::now());
    let cache = VerdictCache::default();
    cache.keep(now, &shard, &rejection(Duration::from_millis(600)));
    let rejects = |change: fn(&mut JobSubmission)| {
        let mut submission = submission();
        change(&mut submission);
        cache.reject(now, &shard, EPOCH, &submission).is_some()
    };
    expect_true!(rejects(|_| {}));
    expect_false!(rejects(|submission| submission.record.workspace = Some("other".into())));
    expect_false!(rejects(|submission| submission.record.rule.priority += 1));
    expect_false!(rejects(|submission| submission.record.rule.target *= 2));
    expect_false!(rejects(|submission| submission.record.spec.steps[0].lasting = true));
    expect_that!(cache.reject(now, &"b".into(), EPOCH, &submission()), none());
    expect_that!(cache.reject(now, &shard, EPOCH + 1, &submission()), none());
}

// A verdict outlives neither the time that its leader allows nor a second.
#[gtest]
fn a_verdict_ends() {
    let (shard, now) = (ShardId::from("a"), Instant::now());
    let cache = VerdictCache::default();
    for (allowed, holds) in [(600, 600), (5_000, 1_000)] {
        cache.keep(now, &shard, &rejection(Duration::from_millis(allowed)));
        let rejects = |age| {
            let later = now + Duration::from_millis(age);
            cache.reject(later, &shard, EPOCH, &submission()).is_some()
        };
        expect_true!(rejects(holds - 1));
        expect_false!(rejects(holds));
    }
    cache.keep(now, &shard, &rejection(Duration::from_millis(600)));
    cache.forget(&shard);
    expect_that!(cache.reject(now, &shard, EPOCH, &submission()), none());
}

/// Serves a leader that rejects all jobs, with a verdict; after `answers` calls it closes connections without an
/// answer. Returns its address and the number of its calls.
async fn serve_leader(answers: usize) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let calls = Arc::new(AtomicUsize::new(0));
    let counted = calls.clone();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let counted = counted.clone();
            tokio::spawn(async move {
                let mut request = [0; 16_384];
                while let Ok(1..) = stream.read(&mut request).await {
                    if counted.fetch_add(1, Ordering::SeqCst) >= answers {
                        return;
                    }
                    let answer = LeaderAnswer::Overloaded(rejection(Duration::from_secs(1)));
                    let body = serde_json::json!({"jsonrpc": "2.0", "id": 1, "result": answer})
                        .to_string();
                    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
                    stream.write_all((head + &body).as_bytes()).await.unwrap();
                }
            });
        }
    });
    (address, calls)
}

/// An entry that knows a leader.
fn entry_with_leader(address: SocketAddr) -> Arc<NodeShared> {
    let shared = entry(settings());
    let leader = LeaderRecord { entry: "entry-2".into(), address, start: 7, epoch: EPOCH };
    shared.members.send_modify(|view| {
        view.plan = Some(Arc::new(ShardPlan::undivided()));
        view.shards.entry(ShardId::from("")).or_default().leader = Some(leader);
    });
    shared.note_store_answer("members");
    shared
}

// Each rejected job of an excess cost the leader a call. A caller whose earlier try had no answer may have been
// accepted by the leader, so that its later ones must not be rejected without asking.
#[gtest]
#[tokio::test]
async fn only_a_first_try_is_rejected_without_a_call() {
    let (address, calls) = serve_leader(usize::MAX).await;
    let client = LeaderClient::new(entry_with_leader(address));
    for (is_first_try, expected_calls) in [(true, 1), (true, 1), (true, 1), (false, 2)] {
        let answer = client.submit(submission(), CALLER_TIMEOUT, is_first_try).await;
        expect_that!(answer, ok(matches_pattern!(LeaderAnswer::Overloaded(_))));
        expect_that!(calls.load(Ordering::SeqCst), eq(expected_calls));
    }
}

// A leader that is lost may have a successor with capacity, and only a call finds out.
#[gtest]
#[tokio::test]
async fn a_verdict_is_not_used_once_the_leader_leaves_a_call_unanswered() {
    let (address, calls) = serve_leader(1).await;
    let shared = entry_with_leader(address);
    let client = LeaderClient::new(shared.clone());
    let answer = client.submit(submission(), CALLER_TIMEOUT, true).await;
    expect_that!(answer, ok(matches_pattern!(LeaderAnswer::Overloaded(_))));
    let short = Duration::from_millis(60);
    expect_that!(client.submit(submission(), short, false).await, err(anything()));
    let calls_before = calls.load(Ordering::SeqCst);
    expect_that!(calls_before, ge(2));
    let answer = client.submit(submission(), short, true).await;
    expect_that!(answer, err(anything()));
}

// An entry that names another epoch than the verdict knows of a later leader.
#[gtest]
#[tokio::test]
async fn a_verdict_of_an_earlier_leader_is_not_used() {
    let (address, calls) = serve_leader(usize::MAX).await;
    let shared = entry_with_leader(address);
    let client = LeaderClient::new(shared.clone());
    expect_that!(client.submit(submission(), CALLER_TIMEOUT, true).await, ok(anything()));
    shared.members.send_modify(|view| {
        let shard = view.shards.entry(ShardId::from("")).or_default();
        shard.leader.iter_mut().for_each(|leader| leader.epoch += 1);
    });
    expect_that!(client.submit(submission(), CALLER_TIMEOUT, true).await, ok(anything()));
    expect_that!(calls.load(Ordering::SeqCst), eq(2));
}

// Entries of an earlier build send no such field, and know no such answer.
#[gtest]
fn entries_of_an_earlier_build_get_a_plain_rejection() {
    let call = LeaderCall::Submit(Box::new(submission()));
    expect_true!(call.accepts_verdicts());
    let mut json = serde_json::to_value(&call).unwrap();
    json["submit"].as_object_mut().unwrap().remove("accepts_verdicts");
    let call: LeaderCall = serde_json::from_value(json).unwrap();
    expect_false!(call.accepts_verdicts());
    let rejection = rejection(Duration::from_secs(1));
    let retry_delay = rejection.retry_delay;
    let answer = LeaderAnswer::Overloaded(rejection).without_verdict();
    expect_that!(answer, eq(&LeaderAnswer::Rejected(retry_delay)));
}
