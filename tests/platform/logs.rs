//! What entries log during an outage of a dependency.
//!
//! Guards against a flood of log lines: while the store refused connections, each loop of an entry
//! logged every failed try, each 100 ms, which made 252 warnings of the same three messages in about
//! nine seconds. They hid the lines about jobs, and no line gave the end or length of the outage. The
//! start and the end of an outage are now one line each, with at most one line a second between them.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::cluster::{Cluster, wait_for};

/// Message of the line for each run of a worker whose lease has expired.
const LEASE_EXPIRED_MESSAGE: &str = "run given up with its worker's lease";

/// Length of the store's outage. One line for each failed try would make more than a hundred lines.
const OUTAGE: Duration = Duration::from_secs(4);
/// Lines that an entry may log in an outage besides one a second: decisions of its loops.
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

/// Returns a numeric field of a log line, or -1 if it is missing.
fn number(line: &Value, field: &str) -> f64 {
    line[field].as_str().and_then(|text| text.parse().ok()).unwrap_or(-1.0)
}

#[gtest]
#[tokio::test]
async fn an_unreachable_store_is_logged_once_a_second_at_most() {
    let mut cluster = Cluster::start(20, 2, 2, &["now"]).await;
    cluster.leading().await;
    let before = [cluster.log(0).len(), cluster.log(1).len()];
    let started = Instant::now();
    cluster.platform.close_store().await;
    sleep(OUTAGE).await;
    let lines = [0, 1].map(|entry| cluster.log(entry).len() - before[entry]);
    let seconds = started.elapsed().as_secs() as usize + 1;
    assert_that!(lines, each(le(seconds + OTHER_LINES)), "lines in {seconds} seconds");

    cluster.platform.open_store().await;
    for (entry, lines_before) in before.into_iter().enumerate() {
        let new_lines = |cluster: &Cluster| cluster.log(entry).split_off(lines_before);
        let is_back = |line: &Value| is_store_event(line, "a dependency is back");
        wait_for("the line for the end of the outage", async || {
            new_lines(&cluster).iter().any(is_back)
        })
        .await;
        let elapsed = started.elapsed();
        let mut lines = new_lines(&cluster);
        lines.truncate(lines.iter().position(is_back).unwrap() + 1);
        expect_that!(count(&lines, "a dependency is lost"), eq(1));
        expect_that!(count(&lines, "a dependency is still lost"), ge(1));
        expect_that!(
            count(&lines, "a dependency is still lost"),
            le(elapsed.as_secs() as usize + 1)
        );
        let last_line = lines.last().unwrap();
        expect_that!(number(last_line, "away_ms"), ge(OUTAGE.as_secs_f64() * 500.0));
        expect_that!(number(last_line, "away_ms"), le(elapsed.as_secs_f64() * 1_000.0));
        expect_that!(number(last_line, "tries_failed"), ge(10.0));
        let tries = cluster.metric(entry, FAILED_TRIES_METRIC).await;
        expect_that!(tries, some(ge(number(last_line, "tries_failed"))));
        cluster.wait_ready(entry).await;
    }
}

// Guards against a line for each try of a stop: an unanswered stop is sent again every 0.4 s until the
// worker's lease expires, and a leader logged 192 equal lines for 24 runs on three unreachable workers.
// One line for each run is enough, because the run's last line gives its outcome.
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
    let all_started = async || cluster.platform.state.starts.lock().unwrap().len() == 4;
    wait_for("all runs to start", all_started).await;
    for worker in ["w0", "w1"] {
        cluster.platform.silence(worker);
    }
    let answer = cluster.call(0, Method::DELETE, path, &Value::Null).await.unwrap();
    expect_that!(answer.status, eq(StatusCode::OK));
    let tasks = |message: &str| {
        let lines = cluster.log(0).into_iter().filter(|line| line["message"] == message);
        lines.map(|line| line["task"].to_string()).collect::<Vec<_>>()
    };
    wait_for("the workers' leases to expire", async || tasks(LEASE_EXPIRED_MESSAGE).len() == 4)
        .await;
    expect_that!(tasks("stop failed").len(), eq(4));
    expect_that!(tasks("stop failed").into_iter().collect::<BTreeSet<_>>().len(), eq(4));
    expect_that!(cluster.metric(0, "kelplink_failed_stops_total").await, some(gt(4.0)));
}

// Guards against an unreachable leader that is not logged: callers got 503 or late answers, and the log
// showed only the election of the next leader. Calls are tried every 40 ms, so at most one line a second
// is allowed, as for the store.
#[gtest]
#[tokio::test]
async fn an_unreachable_leader_is_logged_once_a_second_at_most() {
    let mut cluster = Cluster::start(22, 2, 2, &["now"]).await;
    let leader = cluster.leading().await;
    let other = 1 - leader;
    let before = cluster.log(other).len();
    let started = Instant::now();
    cluster.kill(leader);
    let other_leads = async || {
        let answer = cluster.call(other, Method::GET, "/now/", &Value::Null).await;
        answer.is_some_and(|answer| answer.status == StatusCode::OK)
    };
    wait_for("the other entry to lead", other_leads).await;
    let new_lines = || cluster.log(other).split_off(before);
    let is_back = |line: &Value| is_event("leader", line, "a dependency is back");
    wait_for("the line for the end of the outage", async || new_lines().iter().any(is_back)).await;
    let mut lines = new_lines();
    lines.truncate(lines.iter().position(is_back).unwrap() + 1);
    let lost = lines.iter().filter(|line| is_event("leader", line, "a dependency is lost"));
    expect_that!(lost.count(), eq(1));
    let still = lines.iter().filter(|line| is_event("leader", line, "a dependency is still lost"));
    expect_that!(still.count(), le(started.elapsed().as_secs() as usize + 1));
    expect_that!(number(lines.last().unwrap(), "tries_failed"), ge(3.0));
}
