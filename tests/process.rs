//! Tests of running entry processes: a killed entry, a planned stop, and invalid input.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use bytes::Bytes;
use googletest::prelude::*;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use kelplink::{ResourceVector, StandInServer, StandInSettings, VmRecord, VmRole, free_addresses};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::sleep;

/// Longest wait for any condition. No test result depends on how long a wait took.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// The stand-ins and entry processes of a deployment.
struct Cluster {
    stand_in: StandInServer,
    children: Vec<Option<Child>>,
    callers: Vec<SocketAddr>,
    operators: Vec<SocketAddr>,
    http: HttpClient,
}

/// An answer of an entry; `ran` is the value of its `kelplink-ran` header.
struct Answer {
    status: StatusCode,
    ran: String,
    body: Bytes,
}

/// Starts the stand-in, with up to 50 retries. A child process that another test forks at this moment inherits the sockets of
/// this process, so a port that was just found free stays in use until the child executes its program.
async fn start_stand_in(settings: &StandInSettings) -> StandInServer {
    for _ in 0..50 {
        match StandInServer::start(settings) {
            Ok(server) => return server,
            Err(error) => eprintln!("the stand-in did not start: {error:#}"),
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    StandInServer::start(settings).unwrap()
}

impl Cluster {
    /// Starts `entries` entries of one failure domain with two workers and four upstreams, and waits until all are ready.
    async fn start(name: &str, entries: usize) -> Self {
        let mut addresses = free_addresses(8 + 3 * entries).unwrap().into_iter();
        let mut next = || addresses.next().unwrap();
        let (store, vms) = (next(), next());
        let vm_record = |id: String, address, role| VmRecord {
            id,
            domain: "a".into(),
            rack: "r".into(),
            address,
            leaving: false,
            role,
        };
        let mut machines = Vec::new();
        for number in 0..2 {
            let capacity = ResourceVector::new(8_000, 16_000, 0);
            machines.push(vm_record(format!("w{number}"), next(), VmRole::Worker { capacity }));
        }
        for number in 0..4 {
            let role = VmRole::Upstream { service: "ws/svc".into(), slots: 8 };
            machines.push(vm_record(format!("u{number}"), next(), role));
        }
        let stand_in = start_stand_in(&StandInSettings { store, vms, machines }).await;
        let ports: Vec<[SocketAddr; 3]> = (0..entries).map(|_| [next(), next(), next()]).collect();
        let mut children = Vec::new();
        for (number, [callers, operators, peers]) in ports.iter().enumerate() {
            let mut text = format!(
                "name = \"a{number}\"\nfailure_domain = \"a\"\ncallers = \"{callers}\"\n\
                 operators = \"{operators}\"\npeers = \"{peers}\"\nstore = \"{store}\"\nvms = \"{vms}\"\n"
            );
            for (other, [callers, _, peers]) in
                ports.iter().enumerate().filter(|(o, _)| *o != number)
            {
                text += &format!(
                    "[[peer]]\nname = \"a{other}\"\nfailure_domain = \"a\"\naddress = \"{peers}\"\ncallers = \"{callers}\"\n"
                );
            }
            let path =
                PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{number}.toml"));
            std::fs::write(&path, text).unwrap();
            let child = Command::new(env!("CARGO_BIN_EXE_kelplink"))
                .args(["serve", "--settings"])
                .arg(&path)
                .env("KELPLINK_LOG", "error")
                .stdout(Stdio::null())
                .stderr(Stdio::null())
                .spawn()
                .unwrap();
            children.push(Some(child));
        }
        let callers = ports.iter().map(|ports| ports[0]).collect();
        let operators = ports.iter().map(|ports| ports[1]).collect();
        let http = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
        let cluster = Self { stand_in, children, callers, operators, http };
        cluster.wait_ready().await;
        cluster
    }

    async fn wait_ready(&self) {
        let started = Instant::now();
        for operators in &self.operators {
            loop {
                let answer = self.get(*operators, "/readyz").await;
                if answer.is_some_and(|answer| answer.status == StatusCode::OK) {
                    break;
                }
                assert!(
                    started.elapsed() < WAIT_TIMEOUT,
                    "the entry at {operators} is not ready after {WAIT_TIMEOUT:?}"
                );
                sleep(Duration::from_millis(20)).await;
            }
        }
    }

    async fn get(&self, address: SocketAddr, path: &str) -> Option<Answer> {
        let request = Request::builder().uri(format!("http://{address}{path}"));
        send(&self.http, request.body(Full::default()).unwrap()).await
    }

    fn signal(&self, entry: usize, name: &str) {
        let pid = self.children[entry].as_ref().unwrap().id();
        Command::new("kill").args([name, &pid.to_string()]).status().unwrap();
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

async fn send(http: &HttpClient, request: Request<Full<Bytes>>) -> Option<Answer> {
    let response = tokio::time::timeout(WAIT_TIMEOUT, http.request(request)).await.ok()?.ok()?;
    let ran = response.headers().get("kelplink-ran").and_then(|value| value.to_str().ok());
    let ran = ran.unwrap_or_default().to_owned();
    let status = response.status();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some(Answer { status, ran, body })
}

/// Sends `requests` requests from each of `callers` concurrent callers; returns the mark and answer of each.
async fn send_load(
    http: HttpClient,
    entries: Vec<SocketAddr>,
    callers: u32,
    requests: u32,
) -> Vec<(String, Option<Answer>)> {
    let tasks: Vec<_> = (0..callers)
        .map(|caller| {
            let (http, entries) = (http.clone(), entries.clone());
            tokio::spawn(async move {
                let mut answers = Vec::new();
                for number in 0..requests {
                    let mark = format!("m{caller}-{number}");
                    let address = entries[(caller + number) as usize % entries.len()];
                    let request = Request::builder()
                        .method("POST")
                        .uri(format!("http://{address}/s/ws/svc/{mark}?work_ms=20&bytes=2000"))
                        .header("x-mark", &mark)
                        .header("kelplink-idempotent", "false")
                        .body(Full::default())
                        .unwrap();
                    answers.push((mark, send(&http, request).await));
                }
                answers
            })
        })
        .collect();
    let mut answers = Vec::new();
    for task in tasks {
        answers.extend(task.await.unwrap());
    }
    answers
}

/// Checks every answer against the runs counted at the upstreams: a request runs at most once, an answer that says the
/// request ran is complete and belongs to it, and a request answered as not run did not run. No upstream may have had more
/// requests than slots. Returns the number of complete answers.
fn check_answers(cluster: &Cluster, answers: &[(String, Option<Answer>)]) -> u32 {
    let marks: BTreeMap<String, u32> = cluster.stand_in.with(|state| {
        let mut marks = BTreeMap::new();
        for (mark, count) in state.upstreams.values().flat_map(|upstream| upstream.marks()) {
            *marks.entry(mark.clone()).or_default() += count;
        }
        marks
    });
    let mut complete = 0;
    for (mark, answer) in answers {
        let count = marks.get(mark).copied().unwrap_or(0);
        expect_that!(count, le(1), "request {mark} is not idempotent and ran more than once");
        let Some(answer) = answer else {
            continue;
        };
        match answer.ran.as_str() {
            "yes" => {
                let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
                expect_that!(body["mark"].as_str(), some(eq(mark.as_str())));
                expect_that!(body["padding"].as_str().map(str::len), some(eq(2_000)));
                complete += 1;
            }
            "no" => expect_that!(count, eq(0), "request {mark} was answered as not run but ran"),
            _ => {}
        }
    }
    let over_slots: u64 = cluster
        .stand_in
        .with(|state| state.upstreams.values().map(|upstream| upstream.count().over_slots).sum());
    expect_that!(over_slots, eq(0), "upstreams had more requests than slots");
    complete
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killing_an_entry_under_load_keeps_all_answers_correct() {
    let mut cluster = Cluster::start("killed", 3).await;
    let load_task = tokio::spawn(send_load(cluster.http.clone(), cluster.callers.clone(), 12, 60));
    sleep(Duration::from_millis(400)).await;
    let mut child = cluster.children[1].take().unwrap();
    child.kill().unwrap();
    child.wait().unwrap();
    let answers = load_task.await.unwrap();
    let complete = check_answers(&cluster, &answers);
    expect_that!(complete, gt(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_stop_under_load_loses_no_request() {
    let mut cluster = Cluster::start("stopped", 2).await;
    let load = send_load(cluster.http.clone(), vec![cluster.callers[0]], 12, 15);
    let load_task = tokio::spawn(load);
    sleep(Duration::from_millis(100)).await;
    cluster.signal(0, "-TERM");
    let answers = load_task.await.unwrap();
    let status = cluster.children[0].take().unwrap().wait().unwrap();
    expect_that!(status.code(), some(eq(0)));
    check_answers(&cluster, &answers);
    let totals = cluster.stand_in.with(|state| {
        let counts = state.upstreams.values().map(|upstream| upstream.count());
        counts
            .map(|count| (count.begun, count.answered))
            .fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1))
    });
    expect_that!(totals.0, eq(totals.1), "a request that reached an upstream was not answered");
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_input_is_refused_and_the_entry_keeps_serving() {
    let cluster = Cluster::start("input", 1).await;
    let (callers, operators) = (cluster.callers[0], cluster.operators[0]);
    let post = |address: SocketAddr, path: &str, body: Vec<u8>| {
        let request = Request::builder().method("POST").uri(format!("http://{address}{path}"));
        request.body(Full::new(Bytes::from(body))).unwrap()
    };
    let jobs = "/v1/workspaces/ws/jobs";
    let cases = [
        (post(callers, jobs, b"{".to_vec()), 400),
        (post(callers, jobs, br#"{"id":7,"intent":"x"}"#.to_vec()), 400),
        (post(callers, jobs, br#"{"id":"a b","intent":"x"}"#.to_vec()), 400),
        (post(callers, jobs, br#"{"id":"a","intent":"x","count":4000000000}"#.to_vec()), 400),
        (post(callers, jobs, br#"{"id":"a","intent":"x","colour":1}"#.to_vec()), 400),
        (post(callers, jobs, br#"{"id":"a","intent":"nothing"}"#.to_vec()), 404),
        (post(callers, jobs, vec![b'x'; (1 << 20) + 1]), 413),
        (post(callers, "/s/ws/nothing/x", Vec::new()), 404),
        (post(callers, "/s/ws", Vec::new()), 400),
        (post(operators, "/v1/plan", b"workspace = 7".to_vec()), 422),
        (post(operators, "/v1/plan", vec![0xff, 0xfe]), 400),
        (post(operators, "/v1/confirm", b"{}".to_vec()), 400),
    ];
    for (request, expected) in cases {
        let name = format!("{} {}", request.method(), request.uri().path());
        let answer = send(&cluster.http, request).await.expect("an answer");
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        expect_that!(answer.status.as_u16(), eq(expected), "{name}: {text}");
        expect_that!(answer.body.is_empty(), eq(false), "{name}");
    }
    let mut connection = tokio::net::TcpStream::connect(callers).await.unwrap();
    connection
        .write_all(b"POST /s/ws/svc/x HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nabc")
        .await
        .unwrap();
    connection.shutdown().await.unwrap();
    let mut text = Vec::new();
    let _ = connection.read_to_end(&mut text).await;
    let started_requests = cluster
        .stand_in
        .with(|state| state.upstreams.values().map(|upstream| upstream.count().begun).sum::<u64>());
    expect_that!(started_requests, eq(0), "a request with an incomplete body reached an upstream");
    let answer = cluster.get(callers, "/s/ws/svc/x").await.expect("an answer");
    expect_that!(answer.ran.as_str(), eq("yes"));
}
