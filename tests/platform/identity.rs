//! Callers are identified by API keys, and see only jobs of their own workspace.

use bytes::Bytes;
use googletest::prelude::*;
use hyper::{Method, StatusCode};
use serde_json::json;

use crate::cluster::{Cluster, wait_for};
use crate::standin::EndpointAccess;

const QUEUES: [&str; 2] = ["closed", "open"];
const BODY_BYTES: usize = 10_000;
const FIRST_KEY: &str = "first5key0of2harbour";
const SECOND_KEY: &str = "second8key3of1harbour";
const OTHER_KEY: &str = "other4key7of9meadow";
const UNKNOWN_KEY: &str = "key6that0nobody1has";
const JOB: &str = "/closed/00000000000000a1";

fn job_body() -> Bytes {
    let body = json!({"spec": "ok", "steps": [{"count": 1, "millicpu": 100, "estimated_ms": 50}]});
    Bytes::from(serde_json::to_vec(&body).unwrap())
}

fn token(key: &str) -> String {
    format!("Token {key}")
}

/// A cluster with one entry and two workspaces.
async fn cluster(test: u8) -> Cluster {
    let cluster = Cluster::start(test, 1, 2, &QUEUES).await;
    let workspaces: [(&str, &[&str]); 2] =
        [("harbour", &[FIRST_KEY, SECOND_KEY]), ("meadow", &[OTHER_KEY])];
    cluster.platform.configure_workspaces(2, &QUEUES, BODY_BYTES, &workspaces);
    wait_refused(&cluster, UNKNOWN_KEY).await;
    cluster
}

async fn status(cluster: &Cluster, method: Method, path: &str, key: &str) -> StatusCode {
    status_at(cluster, 0, method, path, key).await
}

async fn status_at(
    cluster: &Cluster,
    entry: usize,
    method: Method,
    path: &str,
    key: &str,
) -> StatusCode {
    let body = if method == Method::POST { job_body() } else { Bytes::new() };
    cluster.call_as(entry, method, path, body, &[&token(key)]).await.unwrap().status
}

async fn wait_refused(cluster: &Cluster, key: &str) {
    let refused =
        async || status(cluster, Method::GET, "/closed/", key).await == StatusCode::UNAUTHORIZED;
    wait_for("a key to be refused", refused).await;
}

#[gtest]
#[tokio::test]
async fn requests_without_one_valid_key_are_refused_before_anything_is_done() {
    let cluster = cluster(44).await;
    let (valid, lower) = (token(FIRST_KEY), format!("Basic {FIRST_KEY}"));
    let (padded, cut) = (format!("{valid}x"), valid[..valid.len() - 1].to_owned());
    let (unknown, listed) = (token(UNKNOWN_KEY), format!("{valid}, {valid}"));
    let invalid: [&[&str]; 10] = [
        &[],
        &[""],
        &["Token"],
        &["Token "],
        &[FIRST_KEY],
        &[&lower],
        &[&padded],
        &[&cut],
        &[&unknown],
        &[&listed],
    ];
    let doubled: &[&str] = &[&valid, &valid];
    for authorization in invalid.into_iter().chain([doubled]) {
        let calls = [
            (Method::POST, JOB, job_body()),
            (Method::GET, JOB, Bytes::new()),
            (Method::DELETE, JOB, Bytes::new()),
            (Method::GET, "/closed/", Bytes::new()),
        ];
        for (method, path, body) in calls {
            let answer = cluster.call_as(0, method, path, body, authorization).await.unwrap();
            expect_that!(answer.status, eq(StatusCode::UNAUTHORIZED), "{authorization:?}");
            expect_that!(answer.challenge.as_deref(), some(eq("Token")));
            expect_that!(answer.ran.as_deref(), some(eq("no")));
        }
    }
    expect_that!(status(&cluster, Method::GET, JOB, FIRST_KEY).await, eq(StatusCode::GONE));
    let unknown_path = cluster.call_as(0, Method::GET, "/none/", Bytes::new(), &[]).await.unwrap();
    expect_that!(unknown_path.status, eq(StatusCode::NOT_FOUND));
    expect_that!(status(&cluster, Method::POST, JOB, SECOND_KEY).await, eq(StatusCode::OK));
    let open = cluster.call_as(0, Method::POST, "/open/00000000000000b1", job_body(), &[]).await;
    expect_that!(open.unwrap().status, eq(StatusCode::OK));
}

#[gtest]
#[tokio::test]
async fn a_job_is_visible_to_all_keys_of_its_workspace_and_to_no_other() {
    let cluster = cluster(45).await;
    expect_that!(status(&cluster, Method::POST, JOB, FIRST_KEY).await, eq(StatusCode::OK));
    expect_that!(status(&cluster, Method::POST, JOB, SECOND_KEY).await, eq(StatusCode::OK));
    expect_that!(status(&cluster, Method::POST, JOB, OTHER_KEY).await, eq(StatusCode::CONFLICT));
    for method in [Method::GET, Method::DELETE] {
        expect_that!(status(&cluster, method, JOB, OTHER_KEY).await, eq(StatusCode::GONE));
    }
    let through_public = cluster
        .call_as(0, Method::DELETE, &JOB.replace("closed", "open"), Bytes::new(), &[])
        .await
        .unwrap();
    expect_that!(through_public.status, eq(StatusCode::GONE));
    expect_that!(status(&cluster, Method::GET, JOB, SECOND_KEY).await, eq(StatusCode::OK));

    // The key moves to the other workspace.
    let workspaces: [(&str, &[&str]); 2] =
        [("harbour", &[FIRST_KEY]), ("meadow", &[OTHER_KEY, SECOND_KEY])];
    cluster.platform.configure_workspaces(3, &QUEUES, BODY_BYTES, &workspaces);
    let moved = async || status(&cluster, Method::GET, JOB, SECOND_KEY).await == StatusCode::GONE;
    wait_for("the key to move", moved).await;
    expect_that!(status(&cluster, Method::GET, JOB, FIRST_KEY).await, eq(StatusCode::OK));
}

#[gtest]
#[tokio::test]
async fn keys_that_are_taken_away_are_refused_and_appear_in_no_output() {
    let cluster = cluster(46).await;
    expect_that!(status(&cluster, Method::POST, JOB, FIRST_KEY).await, eq(StatusCode::OK));
    cluster.platform.configure_workspaces(3, &QUEUES, BODY_BYTES, &[("meadow", &[OTHER_KEY])]);
    wait_refused(&cluster, FIRST_KEY).await;
    cluster.platform.configure_workspaces(4, &QUEUES, BODY_BYTES, &[]);
    cluster.platform.configure_workspaces(5, &QUEUES, BODY_BYTES, &[("meadow", &[UNKNOWN_KEY])]);
    wait_refused(&cluster, OTHER_KEY).await;
    // A configuration that cannot be decoded, with keys in the wrong place.
    let unreadable = json!({"version": 6, "tenants": [{"name": "meadow", "api_keys": FIRST_KEY}]});
    cluster.platform.write_config(&unreadable);
    let logged =
        async || cluster.log(0).iter().any(|line| line["message"] == "unreadable configuration");
    wait_for("the configuration to be found unreadable", logged).await;
    expect_that!(status(&cluster, Method::GET, "/closed/", UNKNOWN_KEY).await, eq(StatusCode::OK));
    let shown = cluster.shown(0).await;
    for key in [FIRST_KEY, SECOND_KEY, OTHER_KEY, UNKNOWN_KEY] {
        expect_false!(shown.contains(key), "{key}");
        let digest = blake3::hash(key.as_bytes()).to_hex();
        expect_false!(shown.contains(digest.as_str()), "digest of {key}");
    }
}

#[gtest]
#[tokio::test]
async fn entries_that_the_store_refuses_learn_of_changed_keys_from_other_entries() {
    let cluster = Cluster::start_with_own_endpoints(43, 3, 2, &QUEUES).await;
    let leader = cluster.leading().await;
    let [first, second] = [1, 2].map(|offset| (leader + offset) % 3);
    let configure = |version, key: &str| {
        let keys: &[&str] = &[key];
        let workspaces = [("harbour", keys)];
        cluster.platform.configure_workspaces(version, &QUEUES, BODY_BYTES, &workspaces);
    };
    let answers = async |entry, key, expected| {
        let answers =
            async || status_at(&cluster, entry, Method::GET, "/closed/", key).await == expected;
        wait_for("the keys to be in force", answers).await;
    };
    configure(2, FIRST_KEY);
    for entry in [leader, first, second] {
        answers(entry, FIRST_KEY, StatusCode::OK).await;
    }
    cluster.platform.set_endpoint_access(first, EndpointAccess::Closed);
    cluster.platform.set_endpoint_access(second, EndpointAccess::WriteOnly);
    configure(3, SECOND_KEY);
    for entry in [leader, first, second] {
        answers(entry, FIRST_KEY, StatusCode::UNAUTHORIZED).await;
        answers(entry, SECOND_KEY, StatusCode::OK).await;
    }
    // An earlier version that arrives late changes nothing.
    configure(2, FIRST_KEY);
    for entry in [first, second] {
        cluster.platform.set_endpoint_access(entry, EndpointAccess::Open);
        cluster.wait_ready(entry).await;
        let status = status_at(&cluster, entry, Method::GET, "/closed/", FIRST_KEY).await;
        expect_that!(status, eq(StatusCode::UNAUTHORIZED));
    }
}
