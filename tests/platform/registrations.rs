//! Values in the store that another writer has stored: they must not disturb valid workers and jobs.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use googletest::prelude::*;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::cluster::{Cluster, wait_for};

const FIRST: &str = "/now/00000000000000b1";
const SECOND: &str = "/now/00000000000000b2";
const THIRD: &str = "/now/00000000000000b3";
/// Key of a worker's registration.
const WORKER: &str = "servers/w0";

/// A job of one step whose tasks run for `millis`.
fn job(millis: u32, tasks: u32) -> Value {
    json!({
        "spec": millis.to_string(),
        "steps": [{"count": tasks, "millicpu": 1_000, "mem_mb": 100, "estimated_ms": millis}],
    })
}

fn starts(cluster: &Cluster, job: &str) -> Vec<u32> {
    let starts = cluster.platform.state.starts.lock().unwrap();
    let id = job.rsplit('/').next().unwrap();
    starts.iter().filter(|(task, _)| task.starts_with(id)).map(|(_, count)| *count).collect()
}

async fn submit(cluster: &Cluster, path: &str, job: &Value) {
    let answer = cluster.call(0, Method::POST, path, job).await.unwrap();
    expect_that!(answer.status, eq(StatusCode::OK), "{path}");
}

/// Opens an address that never answers. Returns it with the count of connections to it.
async fn open_decoy(cluster: &Cluster) -> (String, Arc<AtomicU32>) {
    let listener = TcpListener::bind((cluster.platform.store.ip(), 0)).await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let connections = Arc::new(AtomicU32::new(0));
    let counter = connections.clone();
    tokio::spawn(async move {
        while listener.accept().await.is_ok() {
            counter.fetch_add(1, Ordering::Relaxed);
        }
    });
    (address, connections)
}

/// Guards against two faults: registrations with an unknown state or without a failure domain were accepted
/// and got tasks, and one value that was not base64 kept all workers from being registered. No invalid
/// registration may be called, and those with the address of a valid worker must not displace it.
#[gtest]
#[tokio::test]
async fn foreign_registrations_are_ignored_and_valid_ones_stay_in_use() {
    let mut cluster = Cluster::start(40, 2, 2, &["now"]).await;
    let state = cluster.platform.state.clone();
    let registration = state.value(WORKER).unwrap();
    submit(&cluster, FIRST, &job(2_000, 4)).await;
    cluster.wait_state(0, FIRST, "running").await;
    let (decoy_address, connections) = open_decoy(&cluster).await;
    let changes = [
        ("state", json!("asleep")),
        ("zone", Value::Null),
        ("service", json!("foreign")),
        ("service", json!(7)),
        ("version", json!(1)),
        ("capacity", json!({"millicpu": u64::MAX, "mem_mb": 1, "gpus": 0})),
        ("labels", json!({})),
    ];
    for (number, (field, value)) in changes.iter().enumerate() {
        for (place, address) in
            [("here", &registration["address"]), ("there", &json!(decoy_address))]
        {
            let mut foreign = registration.clone();
            foreign["address"] = address.clone();
            foreign[field] = value.clone();
            state.put(&format!("servers/{place}-{number}"), &foreign);
        }
    }
    for key in ["servers/", "servers/a/b", "servers/a b&c"] {
        let mut foreign = registration.clone();
        foreign["address"] = json!(decoy_address);
        state.put(key, &foreign);
    }
    sleep(Duration::from_millis(300)).await;
    state.put_raw("servers/0", json!("no base64!"));
    state.put_raw("servers/1", json!(7));
    state.put_bytes("servers/2", b"\xff\xfe\x00".to_vec());
    // The next leader reads the whole list.
    let leader = cluster.leading().await;
    let other = 1 - leader;
    cluster.kill(leader);
    cluster.wait_state(other, FIRST, "completed").await;
    expect_that!(starts(&cluster, FIRST), eq(&vec![1; 4]));
    let is_accepted = async || {
        let answer = cluster.call(other, Method::POST, SECOND, &job(100, 16)).await;
        answer.is_some_and(|answer| answer.status == StatusCode::OK)
    };
    wait_for("another leader", is_accepted).await;
    cluster.wait_state(other, SECOND, "completed").await;
    expect_that!(starts(&cluster, SECOND), eq(&vec![1; 16]));
    expect_that!(connections.load(Ordering::Relaxed), eq(0));
    expect_that!(*state.violations.lock().unwrap(), is_empty());
}

/// Values under the keys of registrations that no worker writes: nested deeper than a stack holds, with numbers beyond all
/// types, or with addresses whose port does not exist.
fn odd_registrations(registration: &Value) -> Vec<Vec<u8>> {
    const DEPTH: usize = 100_000;
    let whole = registration.to_string();
    let open = &whole[..whole.len() - 1];
    let nested = |left: &str, right: &str| left.repeat(DEPTH) + &right.repeat(DEPTH);
    let mut odd = vec![
        nested("[", "]"),
        nested("{\"a\":", "}"),
        "[".repeat(DEPTH),
        format!("{open},\"labels\":{}}}", nested("[", "]")),
        format!("{open},\"state\":{}}}", nested("{\"a\":", "}")),
        format!("{open},\"unknown\":{}}}", nested("[", "]")),
    ];
    let digits = "9".repeat(400);
    for field in ["slots", "sequence", "cold_ms", "born", "remaining_ms"] {
        let mut other = registration.clone();
        other.as_object_mut().unwrap().remove(field);
        let other = other.to_string();
        let open = &other[..other.len() - 1];
        odd.push(format!("{open},\"{field}\":1e999}}"));
        odd.push(format!("{open},\"{field}\":{digits}}}"));
    }
    for port in ["0", "65536", "70000", "-1", "99999999999999999999"] {
        let mut other = registration.clone();
        other["address"] = json!(format!("127.0.0.1:{port}"));
        odd.push(other.to_string());
    }
    let mut leaving = registration.clone();
    (leaving["state"], leaving["remaining_ms"]) = (json!("draining"), json!(1e300));
    odd.push(leaving.to_string());
    odd.into_iter().map(String::into_bytes).collect()
}

/// Guards against odd registrations that end a process or stop it from following the list: an entry that reads each of
/// them, at its start and as a change, uses workers that register after them.
#[gtest]
#[tokio::test]
async fn odd_registrations_end_no_process_and_hide_no_worker() {
    let mut cluster = Cluster::start(47, 2, 1, &["now"]).await;
    let state = cluster.platform.state.clone();
    let registration = state.value(WORKER).unwrap();
    submit(&cluster, FIRST, &job(500, 2)).await;
    cluster.wait_state(0, FIRST, "completed").await;
    for (number, value) in odd_registrations(&registration).into_iter().enumerate() {
        state.put_bytes(&format!("servers/odd-{number}"), value.clone());
        // The worker's own registration turns odd for a moment, so that only following the list brings it back.
        state.put_bytes(WORKER, value);
        state.put(WORKER, &registration);
    }
    sleep(Duration::from_millis(300)).await;
    submit(&cluster, SECOND, &job(50, 8)).await;
    cluster.wait_state(0, SECOND, "completed").await;
    // The next leader reads the whole list.
    let leader = cluster.leading().await;
    let other = 1 - leader;
    cluster.kill(leader);
    let is_accepted = async || {
        let answer = cluster.call(other, Method::POST, THIRD, &job(50, 8)).await;
        answer.is_some_and(|answer| answer.status == StatusCode::OK)
    };
    wait_for("another leader", is_accepted).await;
    cluster.wait_state(other, THIRD, "completed").await;
    expect_that!(starts(&cluster, THIRD), eq(&vec![1; 8]));
    expect_that!(*state.violations.lock().unwrap(), is_empty());
}

/// Guards against placing tasks on a worker whose registration has become invalid: it got tasks until
/// the list was read again. It gets no new tasks, its runs continue, and it is used again once its
/// registration is valid.
#[gtest]
#[tokio::test]
async fn a_worker_is_used_again_once_its_registration_is_valid_again() {
    let cluster = Cluster::start(41, 1, 1, &["now"]).await;
    let state = cluster.platform.state.clone();
    let registration = state.value(WORKER).unwrap();
    submit(&cluster, FIRST, &job(1_000, 2)).await;
    cluster.wait_state(0, FIRST, "running").await;
    let asleep = json!({"state": "asleep"});
    let corruptions: [&dyn Fn(); 3] = [
        &|| state.put_bytes(WORKER, b"no json".to_vec()),
        &|| state.put_raw(WORKER, json!("no base64!")),
        &|| state.put(WORKER, &asleep),
    ];
    for (number, corrupt) in corruptions.iter().enumerate() {
        corrupt();
        sleep(Duration::from_millis(300)).await;
        let path = format!("/now/00000000000001b{number}");
        submit(&cluster, &path, &job(50, 1)).await;
        sleep(Duration::from_millis(500)).await;
        expect_that!(starts(&cluster, &path), is_empty(), "{number}");
        state.put(WORKER, &registration);
        cluster.wait_state(0, &path, "completed").await;
        expect_that!(starts(&cluster, &path), eq(&vec![1]), "{number}");
    }
    cluster.wait_state(0, FIRST, "completed").await;
    expect_that!(starts(&cluster, FIRST), eq(&vec![1; 2]));
}

/// Guards against running a job twice: a job whose stored progress was unreadable was treated as not started,
/// and the next leader ran all of it again.
#[gtest]
#[tokio::test]
async fn a_job_whose_progress_is_unreadable_is_not_run_again() {
    let mut cluster = Cluster::start(42, 2, 1, &["now"]).await;
    submit(&cluster, FIRST, &job(50, 2)).await;
    cluster.wait_state(0, FIRST, "completed").await;
    // After the next poll the worker has forgotten the ends, and only the store has them.
    sleep(Duration::from_millis(2_000)).await;
    cluster.platform.state.put_bytes("p/00000000000000b1", b"no json".to_vec());
    let leader = cluster.leading().await;
    let other = 1 - leader;
    cluster.kill(leader);
    let is_accepted = async || {
        let answer = cluster.call(other, Method::POST, SECOND, &job(50, 2)).await;
        answer.is_some_and(|answer| answer.status == StatusCode::OK)
    };
    wait_for("another leader", is_accepted).await;
    cluster.wait_state(other, SECOND, "completed").await;
    sleep(Duration::from_millis(1_500)).await;
    expect_that!(starts(&cluster, FIRST), eq(&vec![1; 2]));
}
