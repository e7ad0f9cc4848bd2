//! What entries log while something that they depend on is away.
//!
//! While the store refused connections an entry printed 252 warnings in about nine seconds, the same three
//! messages again and again: each duty wrote a line for each try that failed, every 100 ms, and none said
//! when the store was back. On-call could not see for how long it had been away, and a longer outage
//! pushed the lines about jobs out of sight. A loss is now one line, its end another, and at most one line
//! a second stands between them.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::cluster::{Cluster, wait_for};

/// Message of the line for each run of a worker whose lease is over.
const LEASE_EXPIRED_MESSAGE: &str = "run given up with its worker's lease";

/// How long the store is away: the lines of one try each would be over a hundred.
const OUTAGE: Duration = Duration::from_secs(4);
/// Lines that an entry may log in an outage besides one a second: its duties' decisions.
const OTHER_LINES: usize = 15;
const FAILED_TRIES_METRIC: &str = "kelplink_dependency_tries_failed_total{dependency=\"store\"}";

fn is_event(dependency: &str, line: &Value, message: &str) -> bool {
    line["message"] == message && line["dependency"] == dependency
}

fn is_store_event(line: &Value, message: &str) -> bool {
    is_event("store", line, message)
}

fn count(lines: &[Value], message: &str) -> usize {
    lines.iter().filter(|line| is_store_event(line, message)).count()
}

/// A field that is a number.
fn number(line: &Value, field: &str) -> f64 {
    line[field].as_str().and_then(|text| text.parse().ok()).unwrap_or(-1.0)
}

#[gtest]
#[tokio::test]
async fn an_unreachable_store_is_logged_once_a_second_at_most() {
    let mut cluster = Cluster::start(20, 2, 2, &["now"]).await;
    cluster.leading().await;
    let before = [cluster.log(0).len(), cluster.log(1).len()];
    let begun = Instant::now();
    cluster.platform.close_store().await;
    sleep(OUTAGE).await;
    let lines = [0, 1].map(|entry| cluster.log(entry).len() - before[entry]);
    let seconds = begun.elapsed().as_secs() as usize + 1;
    assert_that!(lines, each(le(seconds + OTHER_LINES)), "lines in {seconds} seconds");

    cluster.platform.open_store().await;
    for (entry, skipped) in before.into_iter().enumerate() {
        let since = |cluster: &Cluster| cluster.log(entry).split_off(skipped);
        let back = |line: &Value| is_store_event(line, "a dependency is back");
        wait_for("the line of the return", async || since(&cluster).iter().any(back)).await;
        let passed = begun.elapsed();
        let mut lines = since(&cluster);
        lines.truncate(lines.iter().position(back).unwrap() + 1);
        expect_that!(count(&lines, "a dependency is lost"), eq(1));
        expect_that!(count(&lines, "a dependency is still lost"), ge(1));
        expect_that!(
            count(&lines, "a dependency is still lost"),
            le(passed.as_secs() as usize + 1)
        );
        let back = lines.last().unwrap();
        expect_that!(number(back, "away_ms"), ge(OUTAGE.as_secs_f64() * 500.0));
        expect_that!(number(back, "away_ms"), le(passed.as_secs_f64() * 1_000.0));
        expect_that!(number(back, "tries_failed"), ge(10.0));
        let tries = cluster.metric(entry, FAILED_TRIES_METRIC).await;
        expect_that!(tries, some(ge(number(back, "tries_failed"))));
        cluster.wait_ready(entry).await;
    }
}

// A stop that is not answered is sent again every 0.4 s until the worker's lease is over, and each try was
// a line: 192 lines of the leader for 24 runs at three workers that were away, all of them alike. What
// became of a run is told by its last line, so one says that its stop was not answered.
#[gtest]
#[tokio::test]
async fn an_unanswered_stop_is_logged_once() {
    let cluster = Cluster::start(21, 1, 2, &["now"]).await;
    let job = json!({"spec": "60000", "steps": [{
        "count": 4, "millicpu": 1_000, "mem_mb": 100, "estimated_ms": 60_000, "after": [],
    }]});
    let path = "/now/00000000000000a1";
    let answer = cluster.call(0, Method::POST, path, &job).await.unwrap();
    assert_that!(answer.status, eq(StatusCode::OK));
    let begun = async || cluster.platform.state.starts.lock().unwrap().len() == 4;
    wait_for("all runs to begin", begun).await;
    for worker in ["w0", "w1"] {
        cluster.platform.silence(worker);
    }
    let answer = cluster.call(0, Method::DELETE, path, &Value::Null).await.unwrap();
    expect_that!(answer.status, eq(StatusCode::OK));
    let tasks = |message: &str| {
        let lines = cluster.log(0).into_iter().filter(|line| line["message"] == message);
        lines.map(|line| line["task"].to_string()).collect::<Vec<_>>()
    };
    wait_for("the workers' leases to be over", async || tasks(LEASE_EXPIRED_MESSAGE).len() == 4)
        .await;
    expect_that!(tasks("stop failed").len(), eq(4));
    expect_that!(tasks("stop failed").into_iter().collect::<BTreeSet<_>>().len(), eq(4));
    expect_that!(cluster.metric(0, "kelplink_failed_stops_total").await, some(gt(4.0)));
}

// Nothing said that an entry had not reached its leader: callers were answered 503 or late, and the only
// trace was the next leader's election. Calls are tried each 40 ms, so the rule of the store holds here.
#[gtest]
#[tokio::test]
async fn an_unreachable_leader_is_logged_once_a_second_at_most() {
    let mut cluster = Cluster::start(22, 2, 2, &["now"]).await;
    let leader = cluster.leading().await;
    let other = 1 - leader;
    let before = cluster.log(other).len();
    let begun = Instant::now();
    cluster.kill(leader);
    let served = async || {
        let answer = cluster.call(other, Method::GET, "/now/", &Value::Null).await;
        answer.is_some_and(|answer| answer.status == StatusCode::OK)
    };
    wait_for("the other entry to lead", served).await;
    let since = || cluster.log(other).split_off(before);
    let back = |line: &Value| is_event("leader", line, "a dependency is back");
    wait_for("the line of the return", async || since().iter().any(back)).await;
    let mut lines = since();
    lines.truncate(lines.iter().position(back).unwrap() + 1);
    let lost = lines.iter().filter(|line| is_event("leader", line, "a dependency is lost"));
    expect_that!(lost.count(), eq(1));
    let still = lines.iter().filter(|line| is_event("leader", line, "a dependency is still lost"));
    expect_that!(still.count(), le(begun.elapsed().as_secs() as usize + 1));
    expect_that!(number(lines.last().unwrap(), "tries_failed"), ge(3.0));
}
