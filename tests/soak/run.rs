//! Carries out a plan on entry processes and writes the history of the run.

use std::collections::BTreeSet;
use std::fs;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::checker::{Finding, check};
use crate::cluster::Cluster;
use crate::plan::{DOMAINS, Fault, Plan, PlannedJob, WORKERS};
use crate::standin::{PlatformState, restart};

/// Number of entries.
const ENTRIES: u8 = 3;
/// Queue of all jobs.
const QUEUE: &str = "now";
/// Longest time for which late calls are held back.
const MAX_DELAY_MS: u64 = 8_000;
const MIN_DELAY_MS: u64 = 500;
/// Time without a registration after which the store drops it.
const REGISTRATION_TIME: Duration = Duration::from_millis(4_500);
/// Time for accepted jobs to end once all faults are over.
const CALM_TIME: Duration = Duration::from_secs(40);
/// How long a caller waits for an answer.
const ANSWER_TIME: Duration = Duration::from_secs(5);
/// Interval at which a fault looks for a leader.
const LEADER_PAUSE: Duration = Duration::from_millis(20);
/// Pause of a caller between two calls.
const CALL_PAUSE: Duration = Duration::from_millis(400);

/// A finished run.
pub(crate) struct Report {
    pub(crate) findings: Vec<Finding>,
    pub(crate) records: Vec<Value>,
    /// Folder with the history and the logs of the entries.
    pub(crate) folder: PathBuf,
}

impl Report {
    /// Lines of the history that concern a task or a job, and those of faults.
    pub(crate) fn lines_of(&self, name: &str) -> Vec<String> {
        let concerned = |record: &&Value| {
            let line = record.to_string();
            let kind = record["event"].as_str().unwrap_or_default();
            line.contains(name) || ["fault", "down", "up"].contains(&kind)
        };
        self.records.iter().filter(concerned).map(Value::to_string).collect()
    }

    /// Number of records of a kind.
    pub(crate) fn count(&self, kind: &str) -> usize {
        self.records.iter().filter(|record| record["event"] == kind).count()
    }
}

/// Runs a seed. The number distinguishes runs of this process.
pub(crate) async fn run(seed: u64, number: u8) -> Report {
    let plan = Plan::new(seed);
    let longest_ms = plan.longest_lease_ms;
    let cluster =
        Cluster::start_on(number, ENTRIES, WORKERS, &[QUEUE], &DOMAINS, longest_ms, false);
    let cluster = Arc::new(cluster.await);
    let started = Instant::now();
    let (mut faults, mut callers) = (JoinSet::new(), JoinSet::new());
    for (at, fault) in plan.faults {
        let cluster = cluster.clone();
        faults.spawn(async move {
            sleep_until(started + at).await;
            cause(&cluster, fault).await;
        });
    }
    let (calm, is_calm) = tokio::sync::watch::channel(None);
    for (number, job) in plan.jobs.into_iter().enumerate() {
        let rng = StdRng::seed_from_u64(seed.wrapping_add(number as u64));
        let caller = Caller { cluster: cluster.clone(), job, rng, is_calm: is_calm.clone() };
        callers.spawn(caller.run(started));
    }
    while let Some(fault) = faults.join_next().await {
        fault.unwrap();
    }
    // Calls that are still held back are carried out in this time.
    sleep(Duration::from_millis(MAX_DELAY_MS)).await;
    calm.send(Some(Instant::now() + CALM_TIME)).unwrap();
    while let Some(caller) = callers.join_next().await {
        caller.unwrap();
    }
    let records = cluster.platform.state.history.records.lock().unwrap().clone();
    let folder = save(seed, &cluster, &records);
    Report { findings: check(&records), records, folder }
}

/// Writes the history and the logs of the entries. Replaces those of an earlier run of the seed.
fn save(seed: u64, cluster: &Cluster, records: &[Value]) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
    fs::create_dir_all(&folder).unwrap();
    let lines: String = records.iter().map(|record| format!("{record}\n")).collect();
    fs::write(folder.join("history.jsonl"), lines).unwrap();
    for entry in &cluster.entries {
        fs::copy(cluster.log_file(&entry.name), folder.join(format!("{}.log", entry.name)))
            .unwrap();
    }
    folder
}

async fn cause(cluster: &Cluster, fault: Fault) {
    let state = &cluster.platform.state;
    let note = |text: String| state.history.record(json!({"event": "fault", "fault": text}));
    note(format!("{fault:?}"));
    match fault {
        Fault::Restart { worker, plan } => restart(state.clone(), worker, plan).await,
        Fault::LateCalls { worker, time, share, seed } => {
            let mut rng = StdRng::seed_from_u64(seed);
            let delays = Box::new(move |_: &str| {
                let delay = rng.random_range(MIN_DELAY_MS..MAX_DELAY_MS);
                rng.random_bool(share).then(|| Duration::from_millis(delay))
            });
            state.call_delays.lock().unwrap().insert(worker, delays);
            sleep(time).await;
            state.call_delays.lock().unwrap().remove(&worker);
        }
        Fault::Cut { worker, time, from_store } => {
            cut(state, worker, time, from_store).await;
            note(format!("cut of w{worker} ends"));
        }
        Fault::KillLeader { downtime } => {
            let number = loop {
                match cluster.leader_index() {
                    Some(number) => break number,
                    None => sleep(LEADER_PAUSE).await,
                }
            };
            let name = &cluster.entries[number].name;
            let child = cluster.entries[number].child.lock().unwrap().take();
            let Some(mut child) = child else {
                return;
            };
            child.kill().unwrap();
            child.wait().unwrap();
            note(format!("{name} is killed"));
            sleep(downtime).await;
            *cluster.entries[number].child.lock().unwrap() = Some(cluster.spawn(name));
            note(format!("{name} is started again"));
        }
    }
}

async fn cut(state: &PlatformState, worker: usize, time: Duration, from_store: bool) {
    let (name, end) = (format!("w{worker}"), Instant::now() + time);
    let key = format!("servers/{name}");
    state.silent.lock().unwrap().insert(name.clone());
    let mut registration = None;
    if from_store {
        state.unregistrable.lock().unwrap().insert(name.clone());
        sleep(REGISTRATION_TIME.min(time)).await;
        registration = state.value(&key).filter(|_| time > REGISTRATION_TIME);
        if registration.is_some() {
            state.remove(&key);
        }
    }
    sleep_until(end).await;
    state.unregistrable.lock().unwrap().remove(&name);
    state.silent.lock().unwrap().remove(&name);
    if let Some(registration) = registration {
        // A restart whose registration was held back registers by itself.
        sleep(Duration::from_millis(50)).await;
        if state.value(&key).is_none() {
            state.put(&key, &registration);
        }
    }
}

/// Submits a job and asks for its state until it has ended.
struct Caller {
    cluster: Arc<Cluster>,
    job: PlannedJob,
    rng: StdRng,
    /// Time until which jobs have to end, once all is calm.
    is_calm: tokio::sync::watch::Receiver<Option<Instant>>,
}

impl Caller {
    async fn run(mut self, started: Instant) {
        sleep_until(started + self.job.at).await;
        let id = self.job.id.clone();
        self.record(json!({"event": "submit", "job": id, "body": self.job.body}));
        let (mut is_accepted, mut states) = (false, BTreeSet::new());
        while !self.is_over() {
            let method = if is_accepted { Method::GET } else { Method::POST };
            let Some((status, body)) = self.call(method).await else {
                sleep(CALL_PAUSE).await;
                continue;
            };
            if !is_accepted {
                is_accepted = status.is_success();
                let event = if is_accepted { "accepted" } else { "rejected" };
                self.record(json!({"event": event, "job": id, "status": status.as_u16()}));
            } else if status == StatusCode::OK || status == StatusCode::GONE {
                let gone = json!("gone");
                let state = if status == StatusCode::GONE { &gone } else { &body["state"] };
                if states.insert(state.to_string()) {
                    self.record(json!({"event": "shown", "job": id, "state": state}));
                }
                if !["queued", "running"].contains(&state.as_str().unwrap_or_default()) {
                    return;
                }
            }
            sleep(CALL_PAUSE).await;
        }
    }

    fn record(&self, record: Value) {
        self.cluster.platform.state.history.record(record);
    }

    fn is_over(&self) -> bool {
        self.is_calm.borrow().is_some_and(|end| Instant::now() > end)
    }

    async fn call(&mut self, method: Method) -> Option<(StatusCode, Value)> {
        let entry = self.rng.random_range(0..self.cluster.entries.len());
        let path = format!("/{QUEUE}/{}", self.job.id);
        let body = if method == Method::POST { &self.job.body } else { &Value::Null };
        let answer = self.cluster.call(entry, method, &path, body);
        let answer = timeout(ANSWER_TIME, answer).await.ok()??;
        Some((answer.status, answer.body))
    }
}
