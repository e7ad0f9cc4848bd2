//! Starts entry processes, each on its own loopback address, and calls them.

use std::collections::BTreeSet;
use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{AUTHORIZATION, RETRY_AFTER, WWW_AUTHENTICATE};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use tokio::time::sleep;

use crate::standin::Platform;

/// Longest wait for any condition. No check depends on how long a wait took.
pub(crate) const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Longest lease of workers, in milliseconds, unless a test sets it.
const LONGEST_LEASE_MS: u64 = 6_000;

/// Numbers of the tests of this process.
static TEST_NUMBERS: Mutex<BTreeSet<u8>> = Mutex::new(BTreeSet::new());

/// An HTTP answer of an entry.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) retry_after: Option<String>,
    /// Authentication scheme that a refusal asks for.
    pub(crate) challenge: Option<String>,
    /// Whether the request has run, where the answer states it.
    pub(crate) ran: Option<String>,
    pub(crate) body: Value,
}

/// An entry process.
pub(crate) struct Entry {
    pub(crate) name: String,
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) metrics: SocketAddr,
    pub(crate) child: Mutex<Option<Child>>,
}

/// The stand-in of the platform and the entry processes.
pub(crate) struct Cluster {
    pub(crate) platform: Platform,
    pub(crate) entries: Vec<Entry>,
    folder: PathBuf,
    http: Client<HttpConnector, Full<Bytes>>,
}

/// A loopback address that no other test process uses.
fn address(test: u8, host: u8) -> IpAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 16 + test % 64 + 64 * (high % 3), low.max(1), host))
}

/// Ports for callers, the load balancer and other entries. Each entry has its own address. The ports lie
/// below the range for outgoing connections.
const PORTS: [u16; 3] = [7_001, 7_002, 7_003];

impl Cluster {
    /// Starts the platform and the entries, and waits until all entries are ready.
    pub(crate) async fn start(test: u8, entries: u8, workers: usize, queues: &[&str]) -> Self {
        Self::start_in(test, entries, workers, queues, &["a"]).await
    }

    /// Like [`Cluster::start`], with entries and workers distributed over failure domains in turn.
    pub(crate) async fn start_in(
        test: u8,
        entries: u8,
        workers: usize,
        queues: &[&str],
        domains: &[&str],
    ) -> Self {
        Self::start_on(test, entries, workers, queues, domains, LONGEST_LEASE_MS, false).await
    }

    /// Like [`Cluster::start`], with an endpoint of the store for each entry. The endpoint has the
    /// entry's number.
    pub(crate) async fn start_with_own_endpoints(
        test: u8,
        entries: u8,
        workers: usize,
        queues: &[&str],
    ) -> Self {
        Self::start_on(test, entries, workers, queues, &["a"], LONGEST_LEASE_MS, true).await
    }

    /// Like [`Cluster::start_in`], with the longest lease of workers and, if wanted, an endpoint of the store for each entry.
    pub(crate) async fn start_on(
        test: u8,
        entries: u8,
        workers: usize,
        queues: &[&str],
        domains: &[&str],
        longest_lease_ms: u64,
        own_endpoints: bool,
    ) -> Self {
        let platform = Platform::start(address(test, 1), workers, domains, longest_lease_ms).await;
        platform.configure(1, queues);
        // Tests with the same number would share addresses and logs.
        assert!(TEST_NUMBERS.lock().unwrap().insert(test), "two tests have the number {test}");
        // A process of an earlier run may have had the same id and left its folder.
        let (process, unique) = (std::process::id(), rand::random::<u64>());
        let folder = std::env::temp_dir().join(format!("kelplink-{process}-{test}-{unique:x}"));
        fs::create_dir(&folder).unwrap();
        let http = Client::builder(TokioExecutor::new()).build_http();
        let mut cluster = Self { platform, entries: Vec::new(), folder, http };
        for number in 0..entries {
            let store = match own_endpoints {
                true => cluster.platform.add_endpoint().await,
                false => cluster.platform.store,
            };
            cluster.add_entry(test, number, domains, longest_lease_ms, store);
        }
        for number in 0..cluster.entries.len() {
            cluster.wait_ready(number).await;
        }
        cluster
    }

    fn add_entry(
        &mut self,
        test: u8,
        number: u8,
        domains: &[&str],
        longest_lease_ms: u64,
        store: SocketAddr,
    ) {
        let domain = domains[usize::from(number) % domains.len()];
        let zones = domains.iter().map(|domain| format!("{domain} = \"r\"\n"));
        let zones: String = zones.collect();
        let ip = address(test, 10 + number);
        let [front, ready, peers] = PORTS;
        let last = u16::MAX;
        let name = format!("entry-{number}");
        let text = format!(
            "node = \"{name}\"\nzone = \"{domain}\"\nip = \"{ip}\"\ninternal_ports = [{peers}, {last}]\n\
             advisor = \"{advisor}\"\nunknown_field = 7\n[zones]\n{zones}\
             [listen]\nfront = \"{ip}:{front}\"\nready = \"{ip}:{ready}\"\n\
             [limits]\ncpu_share = 0.25\ncores = 1\nmax_fds = 4100\n\
             [bounds]\nhold_max_ms = {longest_lease_ms}\nstatus_s = 120\ngrace_s = 6\n\
             [platform]\naddress = \"{store}\"\n",
            advisor = self.platform.advisor,
        );
        let file = self.folder.join(format!("{name}.toml"));
        fs::write(&file, text).unwrap();
        let child = self.spawn(&name);
        self.entries.push(Entry {
            name,
            callers: SocketAddr::new(ip, front),
            ready: SocketAddr::new(ip, ready),
            metrics: SocketAddr::new(ip, 9_464),
            child: Mutex::new(Some(child)),
        });
    }

    /// Starts the process of an entry, whose settings are written, and appends to its log.
    pub(crate) fn spawn(&self, name: &str) -> Child {
        let log = File::options().create(true).append(true).open(self.log_file(name)).unwrap();
        Command::new(env!("CARGO_BIN_EXE_kelplink"))
            .arg("serve")
            .env("KELPLINK_SETTINGS", self.folder.join(format!("{name}.toml")))
            .stdout(Stdio::from(log))
            .spawn()
            .unwrap()
    }

    pub(crate) fn log_file(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.log"))
    }

    /// Returns the log lines of an entry so far.
    pub(crate) fn log(&self, number: usize) -> Vec<Value> {
        let text = fs::read_to_string(self.log_file(&self.entries[number].name)).unwrap();
        text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
    }

    /// Returns the value of an entry's metric, given its name with labels.
    pub(crate) async fn metric(&self, number: usize, name: &str) -> Option<f64> {
        let url = format!("http://{}/metrics", self.entries[number].metrics);
        let response = self.http.get(url.parse().unwrap()).await.ok()?;
        let bytes = response.into_body().collect().await.ok()?.to_bytes();
        let text = String::from_utf8_lossy(&bytes).into_owned();
        text.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
    }

    pub(crate) async fn wait_ready(&self, number: usize) {
        let url = format!("http://{}/api/readyz", self.entries[number].ready);
        let ready =
            async || self.get_url(&url).await.is_some_and(|answer| answer.status == StatusCode::OK);
        wait_for("an entry to be ready", ready).await;
    }

    pub(crate) async fn get_url(&self, url: &str) -> Option<Answer> {
        let request = Request::get(url).body(Full::default()).unwrap();
        self.send(request).await
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Option<Answer> {
        let response = self.http.request(request).await.ok()?;
        let (status, headers) = (response.status(), response.headers().clone());
        let bytes = response.into_body().collect().await.ok()?.to_bytes();
        let header =
            |name: &str| headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
        let body = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
        Some(Answer {
            status,
            retry_after: header(RETRY_AFTER.as_str()),
            challenge: header(WWW_AUTHENTICATE.as_str()),
            ran: header("kelplink-ran"),
            body,
        })
    }

    /// Sends a caller's request to an entry. Returns `None` if the connection broke.
    pub(crate) async fn call(
        &self,
        entry: usize,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Option<Answer> {
        let bytes = match body {
            Value::Null => Bytes::new(),
            body => Bytes::from(serde_json::to_vec(body).unwrap()),
        };
        self.call_as(entry, method, path, bytes, &[]).await
    }

    /// Sends a caller's request with these values of `Authorization`.
    pub(crate) async fn call_as(
        &self,
        entry: usize,
        method: Method,
        path: &str,
        body: Bytes,
        authorization: &[&str],
    ) -> Option<Answer> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.entries[entry].callers))
            .header("Host", "jobs.example")
            .header("Deadline-Ms", "3000");
        for value in authorization {
            request = request.header(AUTHORIZATION, *value);
        }
        self.send(request.body(Full::new(body)).unwrap()).await
    }

    /// Everything that an entry shows to operators: its log, its metrics and its state dump.
    pub(crate) async fn shown(&self, number: usize) -> String {
        let mut shown = fs::read_to_string(self.log_file(&self.entries[number].name)).unwrap();
        for path in ["metrics", "dump"] {
            let url = format!("http://{}/{path}", self.entries[number].metrics);
            let response = self.http.get(url.parse().unwrap()).await.unwrap();
            assert!(response.status().is_success(), "{path}");
            let bytes = response.into_body().collect().await.unwrap().to_bytes();
            shown.push_str(&String::from_utf8_lossy(&bytes));
        }
        shown
    }

    /// Waits until an entry reports a job in a state.
    pub(crate) async fn wait_state(&self, entry: usize, path: &str, state: &str) {
        let has_state = async || {
            let answer = self.call(entry, Method::GET, path, &Value::Null).await;
            answer.is_some_and(|answer| answer.body["state"] == state)
        };
        wait_for(&format!("{path} to be {state}"), has_state).await;
    }

    /// Index of the entry that leads.
    pub(crate) async fn leading(&self) -> usize {
        let has_leader = async || self.leader_index().is_some();
        wait_for("a leader", has_leader).await;
        self.leader_index().unwrap()
    }

    pub(crate) fn leader_index(&self) -> Option<usize> {
        self.index_of(&self.platform.leader("m/leader")?)
    }

    /// Index of the entry that leads a shard.
    pub(crate) async fn leading_in(&self, shard: &str) -> usize {
        let key = format!("m/leader/{shard}");
        let index = || self.index_of(&self.platform.leader(&key)?);
        wait_for("a leader of the shard", async || index().is_some()).await;
        index().unwrap()
    }

    fn index_of(&self, leader: &str) -> Option<usize> {
        let is_live_leader =
            |entry: &Entry| entry.name == leader && entry.child.lock().unwrap().is_some();
        self.entries.iter().position(is_live_leader)
    }

    /// Kills an entry with SIGKILL.
    pub(crate) fn kill(&mut self, number: usize) {
        if let Some(mut child) = self.entries[number].child.get_mut().unwrap().take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    /// Slows an entry down briefly: it is stopped for 120 ms and then runs for 20 ms.
    pub(crate) async fn slow_down(&self, number: usize) {
        let id = self.entries[number].child.lock().unwrap().as_ref().map(Child::id);
        let Some(id) = id.map(|id| id.to_string()) else {
            return;
        };
        for (signal, time) in [("-STOP", 120), ("-CONT", 20)] {
            assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
            sleep(Duration::from_millis(time)).await;
        }
    }

    /// Stops an entry with SIGTERM and returns its exit code, or `None` if it had to be killed.
    pub(crate) async fn stop(&mut self, number: usize) -> Option<i32> {
        let mut child = self.entries[number].child.get_mut().unwrap().take()?;
        let id = child.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &id]).status().unwrap().success());
        let started = Instant::now();
        while started.elapsed() < WAIT_LIMIT {
            if let Some(status) = child.try_wait().unwrap() {
                return status.code();
            }
            sleep(Duration::from_millis(20)).await;
        }
        child.kill().unwrap();
        child.wait().unwrap();
        None
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for number in 0..self.entries.len() {
            self.kill(number);
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Waits until a condition holds.
pub(crate) async fn wait_for(what: &str, condition: impl AsyncFn() -> bool) {
    let started = Instant::now();
    while !condition().await {
        assert!(started.elapsed() < WAIT_LIMIT, "timed out waiting for {what}");
        sleep(Duration::from_millis(20)).await;
    }
}
