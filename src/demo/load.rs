//! The workload of the demo: callers that send requests, and jobs.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{JoinHandle, spawn};
use std::time::Duration;

use anyhow::{Result, anyhow};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::runtime;
use tokio::time::{Instant, sleep};

use crate::callers::{IDEMPOTENT_HEADER, KEY_HEADER, URGENCY_HEADER};
use crate::client::{ClientError, HttpClient};
use crate::demo::DemoSettings;
use crate::message::JobView;
use crate::problem::RAN_HEADER;
use crate::settings::EntrySettings;
use crate::standin::StandInState;

/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(12);
/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// Interval between two polls while waiting for a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Outcomes of the requests. A mark, the value of the `x-mark` header, identifies a request.
#[derive(Debug, Default)]
pub(crate) struct CallReport {
    /// Complete answers that belong to their request.
    pub(crate) complete: u64,
    /// Answers that leave open whether the request ran.
    pub(crate) unknown: u64,
    /// Answers that are incomplete or belong to another request.
    pub(crate) mismatched: u64,
    /// Requests without an answer.
    pub(crate) unanswered: u64,
    /// Marks of requests that were answered as not run.
    pub(crate) not_run: BTreeSet<String>,
    /// Marks of requests that must run at most once.
    pub(crate) at_most_once: BTreeSet<String>,
    /// Time from request to answer in microseconds by urgency, for requests that ran.
    pub(crate) latencies: BTreeMap<&'static str, Histogram<u64>>,
}

/// Outcomes of the jobs.
#[derive(Debug, Default)]
pub(crate) struct JobReport {
    pub(crate) submitted: usize,
    pub(crate) succeeded: usize,
    /// Time from submission to start in microseconds by urgency.
    pub(crate) wait_times: BTreeMap<&'static str, Histogram<u64>>,
}

/// Outcomes of the whole workload.
#[derive(Debug)]
pub(crate) struct LoadReport {
    pub(crate) calls: CallReport,
    pub(crate) jobs: JobReport,
}

fn block_on<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    runtime::Builder::new_current_thread().enable_all().build()?.block_on(future)
}

async fn call(
    http: &HttpClient,
    method: Method,
    address: SocketAddr,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<Response<Bytes>> {
    let result = http.call(method, address, path, body, ANSWER_TIMEOUT, MAX_ANSWER_BYTES).await;
    result.map_err(|error| anyhow!("{error:?}"))
}

/// Waits until every entry is ready and reports all three failure domains in its status.
pub(crate) fn wait_ready(entries: &[EntrySettings], time_limit: Duration) -> Result<bool> {
    block_on(async {
        let http = HttpClient::new();
        let until = Instant::now() + time_limit;
        while Instant::now() < until {
            let mut ready_count = 0;
            for entry in entries {
                let answer = call(&http, Method::GET, entry.operators, "/readyz", "").await;
                let is_ready = answer.is_ok_and(|response| response.status() == StatusCode::OK);
                let domain_count =
                    match call(&http, Method::GET, entry.operators, "/v1/status", "").await {
                        Ok(response) => {
                            serde_json::from_slice::<serde_json::Value>(response.body())?["domains"]
                                .as_object()
                                .map_or(0, serde_json::Map::len)
                        }
                        Err(_) => 0,
                    };
                ready_count += usize::from(is_ready && domain_count == 3);
            }
            if ready_count == entries.len() {
                return Ok(true);
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(false)
    })
}

const INTENTS: [&str; 4] = [
    "workspace = \"attikis\"\nname = \"watch\"\nkind = \"service\"\ncount = 6\n\
     spread = \"failure-domain\"\ncut_off = \"move\"\nprocessors_milli = 500\nmemory_mib = 512\n\
     urgency = \"soon\"\n",
    "workspace = \"attikis\"\nname = \"check\"\nkind = \"batch\"\ncount = 0\n\
     processors_milli = 1000\nmemory_mib = 1024\nurgency = \"now\"\nrun_time_ms = 100\n",
    "workspace = \"attikis\"\nname = \"review\"\nkind = \"batch\"\ncount = 0\n\
     processors_milli = 4000\nmemory_mib = 8000\nurgency = \"soon\"\nrun_time_ms = 400\n",
    "workspace = \"attikis\"\nname = \"mosaic\"\nkind = \"all-at-once\"\ncount = 0\n\
     processors_milli = 8000\nmemory_mib = 8000\nurgency = \"soon\"\nrun_time_ms = 500\n",
];

/// Plans and confirms each intent at another entry, then waits until all entries apply them.
pub(crate) fn confirm_intents(entries: &[EntrySettings]) -> Result<bool> {
    block_on(async {
        let http = HttpClient::new();
        for (number, intent) in INTENTS.iter().enumerate() {
            let entry = &entries[number % entries.len()];
            wait_revision(&http, std::slice::from_ref(entry), number as u64).await?;
            let plan = call(&http, Method::POST, entry.operators, "/v1/plan", *intent).await?;
            let body = plan.into_body();
            let answer = call(&http, Method::POST, entry.operators, "/v1/confirm", body).await?;
            if answer.status() != StatusCode::OK {
                println!("plan not confirmed: {}", String::from_utf8_lossy(answer.body()));
                return Ok(false);
            }
        }
        let accepted = Instant::now();
        let in_force = wait_revision(&http, entries, INTENTS.len() as u64).await?;
        println!(
            "all intents in force on all entries {:.0} ms after the last one was accepted",
            accepted.elapsed().as_secs_f64() * 1e3
        );
        Ok(in_force)
    })
}

async fn wait_revision(
    http: &HttpClient,
    entries: &[EntrySettings],
    revision: u64,
) -> Result<bool> {
    let until = Instant::now() + Duration::from_secs(5);
    while Instant::now() < until {
        let mut count = 0;
        for entry in entries {
            let answer = call(http, Method::GET, entry.operators, "/readyz", "").await?;
            let value: serde_json::Value = serde_json::from_slice(answer.body())?;
            count += usize::from(value["revision"].as_u64() >= Some(revision));
        }
        if count == entries.len() {
            return Ok(true);
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(false)
}

/// Callers that send requests for a given time, on a thread of their own.
pub(crate) struct CallerLoad {
    thread: JoinHandle<Result<CallReport>>,
}

impl CallerLoad {
    pub(crate) fn start(
        entries: &[EntrySettings],
        settings: &DemoSettings,
        duration: Duration,
    ) -> Result<Self> {
        let addresses: Arc<[SocketAddr]> = entries.iter().map(|entry| entry.callers).collect();
        let settings = *settings;
        let thread = spawn(move || block_on(send_requests(addresses, settings, duration)));
        Ok(Self { thread })
    }

    pub(crate) fn finish(self) -> Result<CallReport> {
        self.thread.join().map_err(|_| anyhow!("the callers' thread panicked"))?
    }
}

async fn send_requests(
    addresses: Arc<[SocketAddr]>,
    settings: DemoSettings,
    duration: Duration,
) -> Result<CallReport> {
    let until = Instant::now() + duration;
    let http = HttpClient::new();
    let callers: Vec<_> = (0..settings.callers)
        .map(|number| {
            let seed = settings.seed.wrapping_mul(1_000).wrapping_add(u64::from(number));
            tokio::spawn(run_caller(http.clone(), addresses.clone(), number, seed, until))
        })
        .collect();
    let mut report = CallReport::default();
    for caller in callers {
        let caller_report = caller.await?;
        report.complete += caller_report.complete;
        report.unknown += caller_report.unknown;
        report.mismatched += caller_report.mismatched;
        report.unanswered += caller_report.unanswered;
        report.not_run.extend(caller_report.not_run);
        report.at_most_once.extend(caller_report.at_most_once);
        for (urgency, latencies) in caller_report.latencies {
            let total = report.latencies.entry(urgency).or_insert_with(new_histogram);
            total.add(&latencies)?;
        }
    }
    Ok(report)
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three significant digits are a valid precision")
}

/// Sends the requests of one caller, one after another, until `until`.
async fn run_caller(
    http: HttpClient,
    addresses: Arc<[SocketAddr]>,
    number: u32,
    seed: u64,
    until: Instant,
) -> CallReport {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut report = CallReport::default();
    let mut sequence = 0;
    while Instant::now() < until {
        sequence += 1;
        let mark = format!("c{number}-{sequence}");
        let urgent = rng.random_bool(0.5);
        let at_most_once = rng.random_bool(0.1);
        let work_ms = rng.random_range(1..20);
        let padding_bytes = rng.random_range(0..4_096);
        let first_entry = rng.random_range(0..addresses.len());
        let path = format!("/s/attikis/checks/{mark}?work_ms={work_ms}&bytes={padding_bytes}");
        let urgency = if urgent { "now" } else { "soon" };
        if at_most_once {
            report.at_most_once.insert(mark.clone());
        }
        let started = Instant::now();
        let response = send_request(
            &http,
            &addresses,
            first_entry,
            &path,
            urgency,
            at_most_once.then_some(&mark),
            &mark,
        )
        .await;
        record_answer(&mut report, response, &mark, padding_bytes, urgency, started);
        sleep(Duration::from_millis(rng.random_range(0..10))).await;
    }
    report
}

/// Sends a request to the entry at index `first_entry` or, if that one accepts no connection, to the
/// next that does, as a load balancer would.
async fn send_request(
    http: &HttpClient,
    addresses: &[SocketAddr],
    first_entry: usize,
    path: &str,
    urgency: &str,
    key: Option<&String>,
    mark: &str,
) -> Option<Response<Bytes>> {
    for offset in 0..addresses.len() {
        let address = addresses[(first_entry + offset) % addresses.len()];
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{path}"))
            .header(URGENCY_HEADER, urgency)
            .header("x-mark", mark);
        if let Some(key) = key {
            request = request.header(IDEMPOTENT_HEADER, "false").header(KEY_HEADER, key);
        }
        let request = request.body(Full::default()).ok()?;
        match http.send(request, ANSWER_TIMEOUT, MAX_ANSWER_BYTES).await {
            Ok(response) => return Some(response),
            Err(ClientError::NotSent(_) | ClientError::Refused(_)) => {}
            Err(ClientError::NoAnswer(detail)) => {
                println!("request {mark} received no answer: {detail}");
                return None;
            }
        }
    }
    None
}

/// Counts the outcome of the request `mark` in `report`.
fn record_answer(
    report: &mut CallReport,
    response: Option<Response<Bytes>>,
    mark: &str,
    padding_bytes: u64,
    urgency: &'static str,
    started: Instant,
) {
    let Some(response) = response else {
        report.unanswered += 1;
        return;
    };
    let ran = response.headers().get(RAN_HEADER).and_then(|value| value.to_str().ok());
    match ran {
        Some("yes") => {
            let body: serde_json::Value =
                serde_json::from_slice(response.body()).unwrap_or_default();
            let has_mark = body["mark"] == mark;
            let is_complete =
                body["padding"].as_str().map(str::len) == usize::try_from(padding_bytes).ok();
            report.mismatched += u64::from(!has_mark || !is_complete);
            report.complete += u64::from(has_mark && is_complete);
            let latencies = report.latencies.entry(urgency).or_insert_with(new_histogram);
            let micros = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
            let _ = latencies.record(micros);
        }
        Some("no") => {
            report.not_run.insert(mark.to_owned());
        }
        _ => report.unknown += 1,
    }
}

/// Jobs that are submitted while callers send requests, on a thread of their own.
pub(crate) struct JobLoad {
    /// Name and intent of each job.
    submitted: Vec<(String, &'static str)>,
    thread: JoinHandle<Result<JobReport>>,
}

impl JobLoad {
    pub(crate) fn start(entries: &[EntrySettings], settings: &DemoSettings) -> Result<Self> {
        let mut rng = StdRng::seed_from_u64(settings.seed);
        let mut submitted = Vec::new();
        for number in 0..settings.jobs {
            let intent = match rng.random_range(0..10) {
                0..5 => "check",
                5..9 => "review",
                _ => "mosaic",
            };
            submitted.push((format!("job-{number}"), intent));
        }
        let (jobs, addresses) = (submitted.clone(), caller_addresses(entries));
        let thread = spawn(move || block_on(submit_jobs(addresses, jobs)));
        Ok(Self { submitted, thread })
    }

    pub(crate) fn finish(
        self,
        entries: &[EntrySettings],
        time_limit: Duration,
    ) -> Result<JobReport> {
        let mut report = self.thread.join().map_err(|_| anyhow!("the jobs' thread panicked"))??;
        report.submitted = self.submitted.len();
        let addresses = caller_addresses(&entries[1..]);
        let names: Vec<String> = self.submitted.iter().map(|(name, _)| name.clone()).collect();
        report.succeeded = block_on(wait_jobs(addresses, names, time_limit))?;
        Ok(report)
    }
}

fn caller_addresses(entries: &[EntrySettings]) -> Vec<SocketAddr> {
    entries.iter().map(|entry| entry.callers).collect()
}

async fn submit_jobs(
    addresses: Vec<SocketAddr>,
    jobs: Vec<(String, &'static str)>,
) -> Result<JobReport> {
    let http = HttpClient::new();
    let mut report = JobReport::default();
    for (number, (name, intent)) in jobs.iter().enumerate() {
        let count = if *intent == "mosaic" { 4 } else { 3 };
        let body = serde_json::json!({
            "id": name, "intent": intent, "count": count,
            "command": format!("run {}", 50 + number % 7 * 50),
        });
        let started = Instant::now();
        let mut entry = number;
        loop {
            let address = addresses[entry % addresses.len()];
            let path = "/v1/workspaces/attikis/jobs";
            let result = call(&http, Method::POST, address, path, body.to_string()).await;
            match result {
                Ok(response) if response.status() == StatusCode::ACCEPTED => break,
                Ok(response) if response.status().is_client_error() => {
                    return Err(anyhow!("{}", String::from_utf8_lossy(response.body())));
                }
                _ => sleep(POLL_INTERVAL).await,
            }
            entry += 1;
        }
        if wait_start(&http, &addresses, entry, name).await {
            let urgency = if *intent == "check" { "now" } else { "soon" };
            let wait_times = report.wait_times.entry(urgency).or_insert_with(new_histogram);
            let micros = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
            let _ = wait_times.record(micros);
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(report)
}

/// Waits until a task of the job runs or has ended; `false` if that takes too long.
async fn wait_start(http: &HttpClient, addresses: &[SocketAddr], entry: usize, name: &str) -> bool {
    let until = Instant::now() + Duration::from_secs(5);
    while Instant::now() < until {
        if let Some(view) = fetch_job(http, addresses[entry % addresses.len()], name).await
            && (!view.record.ended.is_empty() || !view.running.is_empty())
        {
            return true;
        }
        sleep(Duration::from_millis(2)).await;
    }
    false
}

async fn fetch_job(http: &HttpClient, address: SocketAddr, name: &str) -> Option<JobView> {
    let path = format!("/v1/workspaces/attikis/jobs/{name}");
    let response = call(http, Method::GET, address, &path, "").await.ok()?;
    serde_json::from_slice(response.body()).ok()
}

/// Waits until all jobs have ended; returns how many succeeded.
async fn wait_jobs(
    addresses: Vec<SocketAddr>,
    mut names: Vec<String>,
    time_limit: Duration,
) -> Result<usize> {
    let http = HttpClient::new();
    let until = Instant::now() + time_limit;
    let mut succeeded = 0;
    let mut entry = 0;
    while !names.is_empty() && Instant::now() < until {
        let mut pending = Vec::new();
        for name in names {
            entry += 1;
            let view = fetch_job(&http, addresses[entry % addresses.len()], &name).await;
            let is_over = view.as_ref().is_some_and(|view| view.record.is_over());
            let has_succeeded = view.is_some_and(|view| {
                view.record.ended.values().all(|end| *end == crate::job::TaskEnd::Succeeded)
            });
            succeeded += usize::from(is_over && has_succeeded);
            if !is_over {
                pending.push(name);
            }
        }
        names = pending;
        sleep(POLL_INTERVAL).await;
    }
    if !names.is_empty() {
        println!("jobs that have not ended: {names:?}");
    }
    Ok(succeeded)
}

/// Counts, over all workers, runs of a task that overlap the next run of the same task.
pub(crate) fn overlapping_runs(state: &StandInState) -> usize {
    let mut runs: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for run in state.workers.values().flat_map(|worker| worker.runs()) {
        runs.entry(run.task.clone()).or_default().push((run.started, run.ended));
    }
    let overlaps = |runs: &mut Vec<(Instant, Option<Instant>)>| {
        runs.sort();
        let pairs = runs.windows(2);
        pairs.filter(|pair| pair[0].1.is_none_or(|ended| ended > pair[1].0)).count()
    };
    runs.values_mut().map(overlaps).sum()
}
