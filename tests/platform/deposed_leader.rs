//! Answers of an entry that has not detected the end of its leadership.

use googletest::prelude::*;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};

use crate::cluster::{Answer, Cluster, wait_for};
use crate::standin::EndpointAccess;

/// Job accepted by the first leader.
const OLD_JOB: &str = "/now/00000000000000d1";
/// Job accepted by the second leader.
const NEW_JOB: &str = "/now/00000000000000d2";
/// Number of successive requests, each of which has to be answered correctly.
const REQUESTS: usize = 3;

/// Three entries, each with its own endpoint of the store, and a worker that starts nothing. The first
/// leader is cut off from the store, and the second leader has accepted a job that the first one has not
/// seen.
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

    /// Sends a request to the entry that was the first leader.
    async fn request(&self, method: Method, path: &str) -> Answer {
        self.cluster.call(self.first, method, path, &Value::Null).await.unwrap()
    }

    /// Waits until the first leader no longer returns a count without the new job. It may do so for two
    /// seconds.
    async fn wait_until_count_is_current(&self) {
        let count_is_current = async || {
            let answer = self.request(Method::GET, "/now/").await;
            answer.status == StatusCode::SERVICE_UNAVAILABLE || answer.body["pending"] == json!(2)
        };
        wait_for("the end of outdated counts", count_is_current).await;
    }

    async fn expect_new_job_unavailable(&self) {
        for _ in 0..REQUESTS {
            for method in [Method::GET, Method::DELETE] {
                let answer = self.request(method.clone(), NEW_JOB).await;
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

// Guards against wrong answers of a deposed leader: it acted as leader until a worker refused its epoch,
// answered 410 for jobs of its successor and returned a count without them.
#[gtest]
#[tokio::test]
async fn a_leader_cut_off_from_the_store_answers_503_for_newer_jobs() {
    let deposed = DeposedLeader::new(60).await;
    deposed.expect_new_job_unavailable().await;
    deposed.wait_until_count_is_current().await;
    for _ in 0..REQUESTS {
        let answer = deposed.request(Method::GET, "/now/").await;
        expect_that!(answer.status, eq(StatusCode::SERVICE_UNAVAILABLE));
        // It still answers for the job that it has accepted.
        let answer_for_old_job = deposed.request(Method::GET, OLD_JOB).await;
        expect_that!(answer_for_old_job.body["state"], eq(&json!("queued")));
    }
}

// Guards against the same answers after the deposed leader has registered again, while the store still
// refuses its reads: renewals of its new lease were treated as renewals of the lease that it was elected
// under.
#[gtest]
#[tokio::test]
async fn a_leader_that_registers_again_answers_503_for_newer_jobs() {
    let deposed = DeposedLeader::new(61).await;
    let DeposedLeader { cluster, first } = &deposed;
    cluster.platform.set_endpoint_access(*first, EndpointAccess::WriteOnly);
    let key = format!("m/entry/{}", cluster.entries[*first].name);
    let registered = async || cluster.platform.state.value(&key).is_some();
    wait_for("the first leader to register again", registered).await;
    deposed.expect_new_job_unavailable().await;
    deposed.wait_until_count_is_current().await;
    deposed.expect_new_job_unavailable().await;
    // Once the entry can read the store again, its callers are served by the second leader.
    cluster.platform.set_endpoint_access(*first, EndpointAccess::Open);
    cluster.wait_state(*first, NEW_JOB, "queued").await;
    let both_counted =
        async || deposed.request(Method::GET, "/now/").await.body["pending"] == json!(2);
    wait_for("both jobs to be counted", both_counted).await;
}
