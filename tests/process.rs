//! Entry processes as they run: killed, stopped as planned, and given bad input.

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

/// Longest wait for anything; a verdict never depends on how long it took.
const PATIENCE: Duration = Duration::from_secs(60);

type HttpClient = Client<HttpConnector, Full<Bytes>>;

struct Cluster {
    stand_in: StandInServer,
    children: Vec<Option<Child>>,
    callers: Vec<SocketAddr>,
    operators: Vec<SocketAddr>,
    http: HttpClient,
}

/// One answer: status, what became of the request, body.
struct Answer {
    status: StatusCode,
    ran: String,
    body: Bytes,
}

/// Starts the stand-in. A process that another test starts at this moment holds the sockets of this one, and so the port that
/// was just found free, until it runs its program.
async fn start_stand_in(settings: &StandInSettings) -> StandInServer {
    for _ in 0..50 {
        match StandInServer::start(settings) {
            Ok(server) => return server,
            Err(error) => eprintln!("the stand-in does not start: {error:#}"),
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    StandInServer::start(settings).unwrap()
}

impl Cluster {
    /// Entries of one failure domain, two workers and four upstreams.
    async fn start(name: &str, entries: usize) -> Self {
        let mut free = free_addresses(8 + 3 * entries).unwrap().into_iter();
        let mut next = || free.next().unwrap();
        let (store, vms) = (next(), next());
        let machine = |id: String, address, role| VmRecord {
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
            machines.push(machine(format!("w{number}"), next(), VmRole::Worker { capacity }));
        }
        for number in 0..4 {
            let role = VmRole::Upstream { service: "ws/svc".into(), slots: 8 };
            machines.push(machine(format!("u{number}"), next(), role));
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
        let began = Instant::now();
        for operators in &self.operators {
            loop {
                let page = self.get(*operators, "/readyz").await;
                if page.is_some_and(|answer| answer.status == StatusCode::OK) {
                    break;
                }
                assert!(began.elapsed() < PATIENCE, "not ready");
                sleep(Duration::from_millis(20)).await;
            }
        }
    }

    async fn get(&self, at: SocketAddr, path: &str) -> Option<Answer> {
        let request = Request::builder().uri(format!("http://{at}{path}"));
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
    let response = tokio::time::timeout(PATIENCE, http.request(request)).await.ok()?.ok()?;
    let ran = response.headers().get("kelplink-ran").and_then(|value| value.to_str().ok());
    let ran = ran.unwrap_or_default().to_owned();
    let status = response.status();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some(Answer { status, ran, body })
}

/// Callers send until told to stop; gives each request's mark and answer.
async fn load(
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
                    let at = entries[(caller + number) as usize % entries.len()];
                    let request = Request::builder()
                        .method("POST")
                        .uri(format!("http://{at}/s/ws/svc/{mark}?work_ms=20&bytes=2000"))
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
    let mut all = Vec::new();
    for task in tasks {
        all.extend(task.await.unwrap());
    }
    all
}

/// What must hold of every answer, counted at the upstreams.
fn judge(cluster: &Cluster, answers: &[(String, Option<Answer>)]) -> u32 {
    let marks: BTreeMap<String, u32> = cluster.stand_in.with(|state| {
        let mut marks = BTreeMap::new();
        for (mark, count) in state.upstreams.values().flat_map(|upstream| upstream.marks()) {
            *marks.entry(mark.clone()).or_default() += count;
        }
        marks
    });
    let mut whole = 0;
    for (mark, answer) in answers {
        let count = marks.get(mark).copied().unwrap_or(0);
        expect_that!(count, le(1), "{mark} is not idempotent");
        let Some(answer) = answer else {
            continue;
        };
        match answer.ran.as_str() {
            "yes" => {
                let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
                expect_that!(body["mark"].as_str(), some(eq(mark.as_str())));
                expect_that!(body["padding"].as_str().map(str::len), some(eq(2_000)));
                whole += 1;
            }
            "no" => expect_that!(count, eq(0), "{mark} was answered as not run"),
            _ => {}
        }
    }
    let over: u64 = cluster
        .stand_in
        .with(|state| state.upstreams.values().map(|upstream| upstream.count().over_slots).sum());
    expect_that!(over, eq(0), "requests beyond the slots");
    whole
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_killed_under_load_breaks_no_promise() {
    let mut cluster = Cluster::start("killed", 3).await;
    let running = tokio::spawn(load(cluster.http.clone(), cluster.callers.clone(), 12, 60));
    sleep(Duration::from_millis(400)).await;
    let mut child = cluster.children[1].take().unwrap();
    child.kill().unwrap();
    child.wait().unwrap();
    let answers = running.await.unwrap();
    let whole = judge(&cluster, &answers);
    expect_that!(whole, gt(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_under_load_loses_no_request() {
    let mut cluster = Cluster::start("stopped", 2).await;
    let both = load(cluster.http.clone(), vec![cluster.callers[0]], 12, 15);
    let running = tokio::spawn(both);
    sleep(Duration::from_millis(100)).await;
    cluster.signal(0, "-TERM");
    let answers = running.await.unwrap();
    let status = cluster.children[0].take().unwrap().wait().unwrap();
    expect_that!(status.code(), some(eq(0)));
    judge(&cluster, &answers);
    let sent = cluster.stand_in.with(|state| {
        let counts = state.upstreams.values().map(|upstream| upstream.count());
        counts
            .map(|count| (count.begun, count.answered))
            .fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1))
    });
    expect_that!(sent.0, eq(sent.1), "every request that reached an upstream was answered");
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_input_gets_a_clear_answer_and_loses_nothing() {
    let cluster = Cluster::start("input", 1).await;
    let (callers, operators) = (cluster.callers[0], cluster.operators[0]);
    let post = |at: SocketAddr, path: &str, body: Vec<u8>| {
        let request = Request::builder().method("POST").uri(format!("http://{at}{path}"));
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
    for (request, wanted) in cases {
        let name = format!("{} {}", request.method(), request.uri().path());
        let answer = send(&cluster.http, request).await.expect("an answer");
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        expect_that!(answer.status.as_u16(), eq(wanted), "{name}: {text}");
        expect_that!(answer.body.is_empty(), eq(false), "{name}");
    }
    let mut half_sent = tokio::net::TcpStream::connect(callers).await.unwrap();
    half_sent
        .write_all(b"POST /s/ws/svc/x HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nabc")
        .await
        .unwrap();
    half_sent.shutdown().await.unwrap();
    let mut text = Vec::new();
    let _ = half_sent.read_to_end(&mut text).await;
    let begun = cluster
        .stand_in
        .with(|state| state.upstreams.values().map(|upstream| upstream.count().begun).sum::<u64>());
    expect_that!(begun, eq(0), "a half-sent request never reaches an upstream");
    let good = cluster.get(callers, "/s/ws/svc/x").await.expect("an answer");
    expect_that!(good.ran.as_str(), eq("yes"));
}
