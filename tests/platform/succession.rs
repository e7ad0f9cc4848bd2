//! A leader that was succeeded without knowing it, asked by its own callers, through the running program.

use googletest::prelude::*;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};

use crate::cluster::{Answer, Cluster, wait_for};
use crate::standin::EndpointAccess;

/// Accepted by the leader that is succeeded.
const OLD_JOB: &str = "/now/00000000000000d1";
/// Accepted by the leader after it.
const NEW_JOB: &str = "/now/00000000000000d2";
/// Questions in a row, each of which has to be answered rightly.
const REQUESTS: usize = 3;

/// Three entries, each with a door of the store, and a worker that begins nothing; the first leader is cut off and the
/// second has accepted a job that the first does not know.
struct DeposedLeader {
    cluster: Cluster,
    first: usize,
}

impl DeposedLeader {
    async fn new(test: u8) -> Self {
        let cluster = Cluster::start_with_own_endpoints(test, 3, 1, &["now"]).await;
        cluster.platform.silence("w0");
        let first = cluster.leading().await;
        submit(&cluster, first, OLD_JOB).await;
        cluster.platform.set_endpoint_access(first, EndpointAccess::Closed);
        let name = cluster.entries[first].name.clone();
        let leader = || cluster.platform.leader("m/leader");
        wait_for("a second leader", async || leader().is_some_and(|leader| leader != name)).await;
        let second = cluster.leading().await;
        submit(&cluster, second, NEW_JOB).await;
        Self { cluster, first }
    }

    /// Asks the entry of the first leader.
    async fn ask(&self, method: Method, path: &str) -> Answer {
        self.cluster.call(self.first, method, path, &Value::Null).await.unwrap()
    }

    /// Waits until it does not count without the later job, which it may for two seconds.
    async fn wait_until_count_is_current(&self) {
        let count_is_current = async || {
            let answer = self.ask(Method::GET, "/now/").await;
            answer.status == StatusCode::SERVICE_UNAVAILABLE || answer.body["pending"] == json!(2)
        };
        wait_for("no old count", count_is_current).await;
    }

    async fn expect_new_job_unknown(&self) {
        for _ in 0..REQUESTS {
            for method in [Method::GET, Method::DELETE] {
                let answer = self.ask(method.clone(), NEW_JOB).await;
                expect_that!(answer.status, eq(StatusCode::SERVICE_UNAVAILABLE), "{method}");
                expect_that!(answer.retry_after, some(eq("1")), "{method}");
            }
        }
    }
}

async fn submit(cluster: &Cluster, entry: usize, path: &str) {
    let step = json!({"count": 1, "millicpu": 1_000, "mem_mb": 100, "estimated_ms": 50});
    let job = json!({"spec": "50", "steps": [step]});
    let accepted = async || {
        let answer = cluster.call(entry, Method::POST, path, &job).await;
        answer.is_some_and(|answer| answer.status == StatusCode::OK)
    };
    wait_for("a job to be accepted", accepted).await;
}

// It went on leading for as long as no worker told it of the next: 410 for its jobs, and a count without them.
#[gtest]
#[tokio::test]
async fn a_leader_cut_off_from_the_store_answers_503_for_newer_jobs() {
    let deposed = DeposedLeader::new(60).await;
    deposed.expect_new_job_unknown().await;
    deposed.wait_until_count_is_current().await;
    for _ in 0..REQUESTS {
        let answer = deposed.ask(Method::GET, "/now/").await;
        expect_that!(answer.status, eq(StatusCode::SERVICE_UNAVAILABLE));
        // What it has accepted it tells all the same.
        let known = deposed.ask(Method::GET, OLD_JOB).await;
        expect_that!(known.body["state"], eq(&json!("queued")));
    }
}

// It registered anew as its machine was let in again, while its reads were still turned away: the renewals of the new
// lease passed for renewals of the one that it was elected under.
#[gtest]
#[tokio::test]
async fn a_leader_that_registers_again_answers_503_for_newer_jobs() {
    let deposed = DeposedLeader::new(61).await;
    let DeposedLeader { cluster, first } = &deposed;
    cluster.platform.set_endpoint_access(*first, EndpointAccess::WriteOnly);
    let key = format!("m/entry/{}", cluster.entries[*first].name);
    let registered = async || cluster.platform.state.value(&key).is_some();
    wait_for("the first leader to register anew", registered).await;
    deposed.expect_new_job_unknown().await;
    deposed.wait_until_count_is_current().await;
    deposed.expect_new_job_unknown().await;
    // Once it can read again, its callers are served by the second leader.
    cluster.platform.set_endpoint_access(*first, EndpointAccess::Open);
    cluster.wait_state(*first, NEW_JOB, "queued").await;
    let both_counted = async || deposed.ask(Method::GET, "/now/").await.body["pending"] == json!(2);
    wait_for("both jobs to be counted", both_counted).await;
}
