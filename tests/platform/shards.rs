//! Several leaders, with entry processes in two failure domains.

use googletest::prelude::*;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};

use crate::cluster::{Cluster, wait_for};

/// Enough workers for two leaders: 110 in each failure domain, while a leader on a quarter of a core can
/// manage 200.
const WORKERS: usize = 220;
const JOBS: [&str; 5] = [
    "/now/00000000000000b1",
    "/now/00000000000000b2",
    "/now/00000000000000b3",
    "/now/00000000000000b4",
    "/now/00000000000000b5",
];

fn job(millis: u32, tasks: u32, lasting: bool) -> Value {
    json!({"spec": millis.to_string(), "steps": [{
        "count": tasks, "millicpu": 1_000, "mem_mb": 100, "estimated_ms": millis,
        "persistent": lasting, "max_per_server": 1,
    }]})
}

/// Returns the number of starts of each task of a job.
fn starts(cluster: &Cluster, job: &str) -> Vec<u32> {
    let starts = cluster.platform.state.starts.lock().unwrap();
    let id = job.rsplit('/').next().unwrap();
    starts.iter().filter(|(task, _)| task.starts_with(id)).map(|(_, count)| *count).collect()
}

async fn status(cluster: &Cluster, entry: usize, method: Method, path: &str) -> Option<StatusCode> {
    cluster.call(entry, method, path, &Value::Null).await.map(|answer| answer.status)
}

async fn submit(cluster: &Cluster, entry: usize, path: &str, job: &Value) -> Option<StatusCode> {
    cluster.call(entry, Method::POST, path, job).await.map(|answer| answer.status)
}

// Entries 0 and 2 are in domain a, entries 1 and 3 in domain b.
#[gtest]
#[tokio::test]
async fn two_leaders_serve_jobs_as_one() {
    let mut cluster = Cluster::start_in(50, 4, WORKERS, &["now"], &["a", "b"]).await;
    let leaders = [cluster.leading_in("a").await, cluster.leading_in("b").await];
    expect_that!(leaders.map(|leader| leader % 2), eq([0, 1]));

    for (entry, path) in [(0, JOBS[0]), (1, JOBS[1])] {
        let accepted = submit(&cluster, entry, path, &job(50, 4, false)).await;
        expect_that!(accepted, some(eq(StatusCode::OK)), "{path}");
    }
    for (entry, path) in [(1, JOBS[0]), (0, JOBS[1])] {
        cluster.wait_state(entry, path, "completed").await;
    }
    // The same job is submitted in the other domain and is not run again.
    let again = submit(&cluster, 3, JOBS[0], &job(50, 4, false)).await;
    expect_that!(again, some(eq(StatusCode::OK)));
    let pending = cluster.call(2, Method::GET, "/now/", &Value::Null).await.unwrap();
    expect_that!(pending.body["pending"], eq(&json!(0)));
    expect_that!(
        status(&cluster, 1, Method::GET, "/now/00000000000000ff").await,
        some(eq(StatusCode::GONE))
    );

    // A job that needs more workers than one shard has runs and is cancelled in both.
    let accepted = submit(&cluster, 0, JOBS[2], &job(600_000, 30, true)).await;
    expect_that!(accepted, some(eq(StatusCode::OK)));
    wait_for("all tasks of the wide job", async || starts(&cluster, JOBS[2]).len() == 30).await;
    let ended = status(&cluster, 3, Method::DELETE, JOBS[2]).await;
    expect_that!(ended, some(eq(StatusCode::OK)));
    cluster.wait_state(1, JOBS[2], "cancelled").await;

    // While its domain has no leader, an entry sends jobs to the leader of the other domain at once.
    cluster.kill(leaders[1]);
    let surviving = 4 - leaders[1];
    let accepted = submit(&cluster, surviving, JOBS[3], &job(50, 4, false)).await;
    expect_that!(accepted, some(eq(StatusCode::OK)));
    cluster.wait_state(surviving, JOBS[3], "completed").await;
    expect_that!(cluster.leading_in("b").await, eq(surviving));
    let accepted = submit(&cluster, surviving, JOBS[4], &job(50, 4, false)).await;
    expect_that!(accepted, some(eq(StatusCode::OK)));
    cluster.wait_state(0, JOBS[4], "completed").await;
    for path in [JOBS[0], JOBS[1], JOBS[3], JOBS[4]] {
        expect_that!(starts(&cluster, path), eq(&vec![1; 4]), "{path}");
    }
    expect_that!(*cluster.platform.state.violations.lock().unwrap(), is_empty());
}
