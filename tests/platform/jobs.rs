//! Jobs through entry processes, while processes and the store fail.

use std::process::Command;

use googletest::prelude::*;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};

use crate::cluster::{Cluster, wait_for};
use crate::standin::StoreFaults;

const FIRST: &str = "/now/00000000000000a1";
const SECOND: &str = "/now/00000000000000a2";
const THIRD: &str = "/asked/00000000000000a3";

/// Two steps, the second after the first; each task runs for `millis`.
fn job(millis: u32, tasks: u32) -> Value {
    let step = |after: &[u32]| {
        json!({
            "count": tasks, "millicpu": 1_000, "mem_mb": 100, "estimated_ms": millis,
            "after": after, "checkpointing": true,
        })
    };
    json!({"spec": millis.to_string(), "steps": [step(&[]), step(&[0])]})
}

fn starts(cluster: &Cluster, job: &str) -> Vec<u32> {
    let starts = cluster.platform.state.starts.lock().unwrap();
    let id = job.rsplit('/').next().unwrap();
    starts.iter().filter(|(task, _)| task.starts_with(id)).map(|(_, count)| *count).collect()
}

fn violations(cluster: &Cluster) -> Vec<String> {
    cluster.platform.state.violations.lock().unwrap().clone()
}

#[gtest]
#[tokio::test]
async fn jobs_are_served_at_any_entry() {
    let cluster = Cluster::start(0, 3, 3, &["now", "asked"]).await;
    for (entry, path) in [(0, FIRST), (1, SECOND), (2, THIRD)] {
        let answer = cluster.call(entry, Method::POST, path, &job(50, 4)).await.unwrap();
        expect_that!(answer.status, eq(StatusCode::OK), "{path}");
    }
    for (entry, path) in [(2, FIRST), (0, SECOND), (1, THIRD)] {
        cluster.wait_state(entry, path, "completed").await;
        expect_that!(starts(&cluster, path), eq(&vec![1; 8]), "{path}");
    }
    let again = cluster.call(1, Method::POST, FIRST, &job(50, 4)).await.unwrap();
    expect_that!(again.status, eq(StatusCode::OK));
    expect_that!(starts(&cluster, FIRST), eq(&vec![1; 8]));
    expect_that!(*cluster.platform.state.tickets.lock().unwrap(), gt(0));
    expect_that!(violations(&cluster), is_empty());
}

#[gtest]
#[tokio::test]
async fn a_cancelled_job_is_cancelled_at_every_entry() {
    let cluster = Cluster::start(1, 2, 2, &["now"]).await;
    let answer = cluster.call(0, Method::POST, FIRST, &job(60_000, 2)).await.unwrap();
    expect_that!(answer.status, eq(StatusCode::OK));
    cluster.wait_state(1, FIRST, "running").await;
    let answer = cluster.call(1, Method::DELETE, FIRST, &Value::Null).await.unwrap();
    expect_that!(answer.status, eq(StatusCode::OK));
    cluster.wait_state(0, FIRST, "cancelled").await;
    let unknown = cluster.call(0, Method::DELETE, SECOND, &Value::Null).await.unwrap();
    expect_that!(unknown.status, eq(StatusCode::GONE));
    let unknown = cluster.call(1, Method::GET, SECOND, &Value::Null).await.unwrap();
    expect_that!(unknown.status, eq(StatusCode::GONE));
}

#[gtest]
#[tokio::test]
async fn queues_follow_the_configuration() {
    let cluster = Cluster::start(2, 2, 1, &["now"]).await;
    let pending = cluster.call(0, Method::GET, "/now/", &Value::Null).await.unwrap();
    expect_that!(pending.body["pending"], eq(&json!(0)));
    let missing =
        cluster.call(1, Method::POST, "/next/00000000000000a4", &job(50, 1)).await.unwrap();
    expect_that!(missing.status, eq(StatusCode::NOT_FOUND));
    cluster.platform.configure(5, &["next"]);
    for entry in 0..2 {
        let status = async |path: &str| {
            let answer = cluster.call(entry, Method::GET, path, &Value::Null).await;
            answer.map(|answer| answer.status)
        };
        wait_for("the new queue", async || status("/next/").await == Some(StatusCode::OK)).await;
        expect_that!(status("/now/").await, some(eq(StatusCode::NOT_FOUND)));
    }
}

#[gtest]
#[tokio::test]
async fn invalid_requests_are_refused_with_their_mistakes() {
    let cluster = Cluster::start(3, 1, 1, &["now"]).await;
    let invalid = json!({"spec": "1", "steps": [{"count": 0, "after": [3]}]});
    let answer = cluster.call(0, Method::POST, FIRST, &invalid).await.unwrap();
    expect_that!(answer.status, eq(StatusCode::BAD_REQUEST));
    let detail = answer.body["detail"].as_str().unwrap_or_default().to_owned();
    expect_that!(detail, contains_substring("0 tasks"));
    expect_that!(detail, contains_substring("not before it"));
    let answer = cluster.call(0, Method::POST, "/now/short", &job(1, 1)).await.unwrap();
    expect_that!(answer.status, eq(StatusCode::BAD_REQUEST));
    let large = json!({"spec": "x".repeat(20_000), "steps": []});
    let answer = cluster.call(0, Method::POST, FIRST, &large).await.unwrap();
    expect_that!(answer.status, eq(StatusCode::PAYLOAD_TOO_LARGE));
    let url = format!("http://{}/metrics", cluster.entries[0].metrics);
    expect_that!(cluster.get_url(&url).await.map(|a| a.status), some(eq(StatusCode::OK)));
}

// Guards against a task that crashes every worker that starts it: it was started again without limit, and
// the other runs on the worker were lost each time.
#[gtest]
#[tokio::test]
async fn a_task_that_crashes_its_workers_ends_its_job_and_no_other() {
    let cluster = Cluster::start(12, 2, 4, &["now"]).await;
    let crashing_task = "00000000000000a1.0.0.1".to_owned();
    cluster.platform.state.crashing_tasks.lock().unwrap().insert(crashing_task.clone());
    for path in [FIRST, SECOND] {
        let answer = cluster.call(0, Method::POST, path, &job(400, 3)).await.unwrap();
        expect_that!(answer.status, eq(StatusCode::OK), "{path}");
    }
    cluster.wait_state(1, FIRST, "failed").await;
    cluster.wait_state(0, SECOND, "completed").await;
    let starts = cluster.platform.state.starts.lock().unwrap()[&crashing_task];
    expect_that!(starts, le(5));
    expect_that!(violations(&cluster), is_empty());
}

// Guards against mixing up two instances of a worker: after a restart under the same id, the ends of the new
// instance were acknowledged without being read, and its lists were treated as outdated.
#[gtest]
#[tokio::test]
async fn a_worker_that_restarts_under_its_id_runs_each_task_once() {
    let cluster = Cluster::start(13, 2, 1, &["now"]).await;
    for (path, tasks) in [(FIRST, 6), (SECOND, 4)] {
        let answer = cluster.call(0, Method::POST, path, &job(100, tasks)).await.unwrap();
        expect_that!(answer.status, eq(StatusCode::OK), "{path}");
        cluster.wait_state(0, path, "completed").await;
        expect_that!(starts(&cluster, path), eq(&vec![1; 2 * tasks as usize]), "{path}");
        cluster.platform.restart_worker(0).await;
    }
    expect_that!(violations(&cluster), is_empty());
}

#[gtest]
#[tokio::test]
async fn killing_the_leader_loses_no_task() {
    let mut cluster = Cluster::start(4, 3, 3, &["now"]).await;
    let leader = cluster.leading().await;
    let other = (leader + 1) % 3;
    let answer = cluster.call(other, Method::POST, FIRST, &job(2_000, 4)).await.unwrap();
    expect_that!(answer.status, eq(StatusCode::OK));
    cluster.wait_state(other, FIRST, "running").await;
    cluster.kill(leader);
    cluster.wait_state(other, FIRST, "completed").await;
    expect_that!(starts(&cluster, FIRST), eq(&vec![1; 8]));
    expect_that!(violations(&cluster), is_empty());
}

// A takeover reads all jobs of the last two minutes, most of which are over. What is left of them in the store has to be
// enough for a query that reads the store while there is no leader, and for the next leader.
#[gtest]
#[tokio::test]
async fn a_compacted_job_is_answered_from_the_store_and_by_a_later_leader() {
    let mut cluster = Cluster::start(58, 3, 3, &["now"]).await;
    let leader = cluster.leading().await;
    let other = (leader + 1) % 3;
    let answer = cluster.call(other, Method::POST, FIRST, &job(50, 4)).await.unwrap();
    expect_that!(answer.status, eq(StatusCode::OK));
    cluster.wait_state(other, FIRST, "completed").await;
    let id = FIRST.rsplit('/').next().unwrap();
    let record = || cluster.platform.state.value(&format!("j/{id}")).unwrap();
    wait_for("the compaction", async || record()["spec"]["steps"] == json!([])).await;
    let compacted = cluster.metric(leader, "kelplink_compacted_jobs_total").await;
    expect_that!(compacted, some(eq(1.0)));
    cluster.kill(leader);
    let answer = cluster.call(other, Method::GET, FIRST, &Value::Null).await.unwrap();
    expect_that!(answer.body["state"], eq(&json!("completed")));
    let next = cluster.leading().await;
    cluster.wait_ready(next).await;
    let read = async || cluster.metric(next, "kelplink_takeover_bytes").await.is_some();
    wait_for("the next leader to read the jobs", read).await;
    expect_that!(cluster.metric(next, "kelplink_takeover_jobs").await, some(eq(1.0)));
    expect_that!(cluster.metric(next, "kelplink_takeover_bytes").await, some(le(500.0)));
    let again = cluster.call(other, Method::POST, FIRST, &job(50, 4)).await.unwrap();
    expect_that!(again.status, eq(StatusCode::OK));
    let answer = cluster.call(other, Method::DELETE, FIRST, &Value::Null).await.unwrap();
    expect_that!(answer.status, eq(StatusCode::GONE));
    cluster.wait_state(other, FIRST, "completed").await;
    expect_that!(starts(&cluster, FIRST), eq(&vec![1; 8]));
    expect_that!(violations(&cluster), is_empty());
}

#[gtest]
#[tokio::test]
async fn a_planned_stop_hands_leadership_over() {
    let mut cluster = Cluster::start(5, 2, 2, &["now"]).await;
    let leader = cluster.leading().await;
    let other = 1 - leader;
    let answer = cluster.call(leader, Method::POST, FIRST, &job(1_500, 2)).await.unwrap();
    expect_that!(answer.status, eq(StatusCode::OK));
    expect_that!(cluster.stop(leader).await, some(eq(0)));
    expect_that!(cluster.leading().await, eq(other));
    cluster.wait_state(other, FIRST, "completed").await;
    expect_that!(starts(&cluster, FIRST), eq(&vec![1; 4]));
    expect_that!(violations(&cluster), is_empty());
}

#[gtest]
#[tokio::test]
async fn jobs_are_refused_while_the_store_refuses_calls() {
    let cluster = Cluster::start(6, 2, 2, &["now"]).await;
    cluster.platform.set_faults(StoreFaults { refuses: true, answers_to_lose: 0 });
    let answer = cluster.call(0, Method::POST, FIRST, &job(50, 1)).await.unwrap();
    expect_that!(answer.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(answer.retry_after, some(eq("1")));
    cluster.platform.set_faults(StoreFaults::default());
    let is_accepted = async || {
        let answer = cluster.call(1, Method::POST, SECOND, &job(50, 1)).await;
        answer.is_some_and(|answer| answer.status == StatusCode::OK)
    };
    wait_for("the store to take jobs again", is_accepted).await;
    cluster.wait_state(0, SECOND, "completed").await;
    expect_that!(starts(&cluster, FIRST), is_empty());
}

#[gtest]
#[tokio::test]
async fn a_lost_answer_of_the_store_does_not_run_a_job_twice() {
    let cluster = Cluster::start(7, 2, 2, &["now"]).await;
    cluster.platform.set_faults(StoreFaults { refuses: false, answers_to_lose: 3 });
    let answer = cluster.call(0, Method::POST, FIRST, &job(50, 2)).await.unwrap();
    expect_that!(answer.status, eq(StatusCode::OK));
    cluster.wait_state(1, FIRST, "completed").await;
    expect_that!(starts(&cluster, FIRST), eq(&vec![1; 4]));
}

#[gtest]
#[tokio::test]
async fn a_leader_on_a_slow_machine_steps_down() {
    let cluster = Cluster::start(8, 3, 2, &["now"]).await;
    let leader = cluster.leading().await;
    let name = cluster.entries[leader].name.clone();
    let has_new_leader = async || {
        cluster.slow_down(leader).await;
        cluster.platform.leader("m/leader").is_some_and(|leader| leader != name)
    };
    wait_for("another leader", has_new_leader).await;
    let other = (leader + 1) % 3;
    let answer = cluster.call(other, Method::POST, FIRST, &job(100, 2)).await.unwrap();
    expect_that!(answer.status, eq(StatusCode::OK));
    cluster.wait_state(other, FIRST, "completed").await;
    expect_that!(violations(&cluster), is_empty());
}

#[gtest]
fn invalid_settings_are_reported_with_their_position() {
    let folder = std::env::temp_dir().join(format!("kelplink-{}-settings", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("local.toml");
    std::fs::write(&file, "node = \"a\"\nip = \"nowhere\"\n").unwrap();
    let run = Command::new(env!("CARGO_BIN_EXE_kelplink"))
        .arg("serve")
        .env("KELPLINK_SETTINGS", &file)
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&run.stderr).into_owned();
    expect_that!(run.status.code(), some(eq(1)));
    expect_that!(text, contains_substring("local.toml:2:6"));
    std::fs::remove_dir_all(&folder).unwrap();
}
