//! The demo's workload.

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

/// Longest time for an answer.
const ANSWER_TIME: Duration = Duration::from_secs(12);
/// Largest answer, in bytes.
const ANSWER_BYTES: usize = 1 << 20;
/// Interval between looks at something awaited.
const LOOK: Duration = Duration::from_millis(20);

/// What became of the requests.
#[derive(Debug, Default)]
pub(crate) struct CallReport {
    pub(crate) whole: u64,
    pub(crate) unknown: u64,
    pub(crate) foreign: u64,
    pub(crate) unanswered: u64,
    /// Marks of requests that were answered as not run.
    pub(crate) not_run: BTreeSet<String>,
    /// Marks of requests that must run at most once.
    pub(crate) once: BTreeSet<String>,
    /// Time of whole answers in microseconds by urgency.
    pub(crate) times: BTreeMap<&'static str, Histogram<u64>>,
}

/// What became of the jobs.
#[derive(Debug, Default)]
pub(crate) struct JobReport {
    pub(crate) submitted: usize,
    pub(crate) succeeded: usize,
    /// Waiting time in microseconds by urgency.
    pub(crate) waits: BTreeMap<&'static str, Histogram<u64>>,
}

/// What became of all.
#[derive(Debug)]
pub(crate) struct LoadReport {
    pub(crate) calls: CallReport,
    pub(crate) jobs: JobReport,
}

fn block_on<T>(work: impl Future<Output = Result<T>>) -> Result<T> {
    runtime::Builder::new_current_thread().enable_all().build()?.block_on(work)
}

async fn call(
    http: &HttpClient,
    method: Method,
    address: SocketAddr,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<Response<Bytes>> {
    let result = http.call(method, address, path, body, ANSWER_TIME, ANSWER_BYTES).await;
    result.map_err(|error| anyhow!("{error:?}"))
}

/// Waits until every entry is ready and every failure domain has a leader with its workers.
pub(crate) fn wait_ready(entries: &[EntrySettings], time: Duration) -> Result<bool> {
    block_on(async {
        let http = HttpClient::new();
        let until = Instant::now() + time;
        while Instant::now() < until {
            let mut ready = 0;
            for entry in entries {
                let page = call(&http, Method::GET, entry.operators, "/readyz", "").await;
                let up = page.is_ok_and(|response| response.status() == StatusCode::OK);
                let domains =
                    match call(&http, Method::GET, entry.operators, "/v1/status", "").await {
                        Ok(response) => {
                            serde_json::from_slice::<serde_json::Value>(response.body())?["domains"]
                                .as_object()
                                .map_or(0, serde_json::Map::len)
                        }
                        Err(_) => 0,
                    };
                ready += usize::from(up && domains == 3);
            }
            if ready == entries.len() {
                return Ok(true);
            }
            sleep(LOOK).await;
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

/// Plans and confirms the intents at different entries and waits until all have them in force.
pub(crate) fn confirm_intents(entries: &[EntrySettings]) -> Result<bool> {
    block_on(async {
        let http = HttpClient::new();
        for (number, intent) in INTENTS.iter().enumerate() {
            let at = &entries[number % entries.len()];
            wait_revision(&http, std::slice::from_ref(at), number as u64).await?;
            let plan = call(&http, Method::POST, at.operators, "/v1/plan", *intent).await?;
            let body = plan.into_body();
            let confirmed = call(&http, Method::POST, at.operators, "/v1/confirm", body).await?;
            if confirmed.status() != StatusCode::OK {
                println!("not confirmed: {}", String::from_utf8_lossy(confirmed.body()));
                return Ok(false);
            }
        }
        let accepted = Instant::now();
        let all = wait_revision(&http, entries, INTENTS.len() as u64).await?;
        println!(
            "in force on all entries {:.0} ms after the last was accepted",
            accepted.elapsed().as_secs_f64() * 1e3
        );
        Ok(all)
    })
}

async fn wait_revision(http: &HttpClient, entries: &[EntrySettings], wanted: u64) -> Result<bool> {
    let until = Instant::now() + Duration::from_secs(5);
    while Instant::now() < until {
        let mut count = 0;
        for entry in entries {
            let page = call(http, Method::GET, entry.operators, "/readyz", "").await?;
            let value: serde_json::Value = serde_json::from_slice(page.body())?;
            count += usize::from(value["revision"].as_u64() >= Some(wanted));
        }
        if count == entries.len() {
            return Ok(true);
        }
        sleep(LOOK).await;
    }
    Ok(false)
}

/// Callers that send requests for a while.
pub(crate) struct CallerLoad {
    thread: JoinHandle<Result<CallReport>>,
}

impl CallerLoad {
    pub(crate) fn start(
        entries: &[EntrySettings],
        settings: &DemoSettings,
        time: Duration,
    ) -> Result<Self> {
        let addresses: Arc<[SocketAddr]> = entries.iter().map(|entry| entry.callers).collect();
        let settings = *settings;
        let thread = spawn(move || block_on(send_requests(addresses, settings, time)));
        Ok(Self { thread })
    }

    pub(crate) fn finish(self) -> Result<CallReport> {
        self.thread.join().map_err(|_| anyhow!("the callers' thread panicked"))?
    }
}

async fn send_requests(
    addresses: Arc<[SocketAddr]>,
    settings: DemoSettings,
    time: Duration,
) -> Result<CallReport> {
    let until = Instant::now() + time;
    let http = HttpClient::new();
    let callers: Vec<_> = (0..settings.callers)
        .map(|number| {
            let seed = settings.seed.wrapping_mul(1_000).wrapping_add(u64::from(number));
            tokio::spawn(one_caller(http.clone(), addresses.clone(), number, seed, until))
        })
        .collect();
    let mut report = CallReport::default();
    for caller in callers {
        let part = caller.await?;
        report.whole += part.whole;
        report.unknown += part.unknown;
        report.foreign += part.foreign;
        report.unanswered += part.unanswered;
        report.not_run.extend(part.not_run);
        report.once.extend(part.once);
        for (urgency, times) in part.times {
            let sum = report.times.entry(urgency).or_insert_with(new_histogram);
            sum.add(&times)?;
        }
    }
    Ok(report)
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are allowed")
}

async fn one_caller(
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
        let once = rng.random_bool(0.1);
        let work = rng.random_range(1..20);
        let bytes = rng.random_range(0..4_096);
        let at = rng.random_range(0..addresses.len());
        let path = format!("/s/attikis/checks/{mark}?work_ms={work}&bytes={bytes}");
        let urgency = if urgent { "now" } else { "soon" };
        if once {
            report.once.insert(mark.clone());
        }
        let started = Instant::now();
        let response =
            send_one(&http, &addresses, at, &path, urgency, once.then_some(&mark), &mark).await;
        judge(&mut report, response, &mark, bytes, urgency, started);
        sleep(Duration::from_millis(rng.random_range(0..10))).await;
    }
    report
}

/// Sends a request as a caller behind a balancer: an entry that takes no connection is passed over.
async fn send_one(
    http: &HttpClient,
    addresses: &[SocketAddr],
    at: usize,
    path: &str,
    urgency: &str,
    key: Option<&String>,
    mark: &str,
) -> Option<Response<Bytes>> {
    for place in 0..addresses.len() {
        let address = addresses[(at + place) % addresses.len()];
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{path}"))
            .header(URGENCY_HEADER, urgency)
            .header("x-mark", mark);
        if let Some(key) = key {
            request = request.header(IDEMPOTENT_HEADER, "false").header(KEY_HEADER, key);
        }
        let request = request.body(Full::default()).ok()?;
        match http.send(request, ANSWER_TIME, ANSWER_BYTES).await {
            Ok(response) => return Some(response),
            Err(ClientError::NotSent(_) | ClientError::Refused(_)) => {}
            Err(ClientError::NoAnswer(detail)) => {
                println!("request {mark} had no answer: {detail}");
                return None;
            }
        }
    }
    None
}

fn judge(
    report: &mut CallReport,
    response: Option<Response<Bytes>>,
    mark: &str,
    bytes: u64,
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
            let own = body["mark"] == mark;
            let whole = body["padding"].as_str().map(str::len) == usize::try_from(bytes).ok();
            report.foreign += u64::from(!own || !whole);
            report.whole += u64::from(own && whole);
            let times = report.times.entry(urgency).or_insert_with(new_histogram);
            let micros = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
            let _ = times.record(micros);
        }
        Some("no") => {
            report.not_run.insert(mark.to_owned());
        }
        _ => report.unknown += 1,
    }
}

/// Jobs that are submitted while callers send requests.
pub(crate) struct JobLoad {
    submitted: Vec<(String, &'static str)>,
    thread: JoinHandle<Result<JobReport>>,
}

impl JobLoad {
    pub(crate) fn start(entries: &[EntrySettings], settings: &DemoSettings) -> Result<Self> {
        let mut rng = StdRng::seed_from_u64(settings.seed);
        let mut submitted = Vec::new();
        for number in 0..settings.jobs {
            let kind = match rng.random_range(0..10) {
                0..5 => "check",
                5..9 => "review",
                _ => "mosaic",
            };
            submitted.push((format!("job-{number}"), kind));
        }
        let (jobs, addresses) = (submitted.clone(), callers(entries));
        let thread = spawn(move || block_on(submit_jobs(addresses, jobs)));
        Ok(Self { submitted, thread })
    }

    pub(crate) fn finish(self, entries: &[EntrySettings], time: Duration) -> Result<JobReport> {
        let mut report = self.thread.join().map_err(|_| anyhow!("the jobs' thread panicked"))??;
        report.submitted = self.submitted.len();
        let addresses = callers(&entries[1..]);
        let names: Vec<String> = self.submitted.iter().map(|(name, _)| name.clone()).collect();
        report.succeeded = block_on(wait_jobs(addresses, names, time))?;
        Ok(report)
    }
}

fn callers(entries: &[EntrySettings]) -> Vec<SocketAddr> {
    entries.iter().map(|entry| entry.callers).collect()
}

async fn submit_jobs(
    addresses: Vec<SocketAddr>,
    jobs: Vec<(String, &'static str)>,
) -> Result<JobReport> {
    let http = HttpClient::new();
    let mut report = JobReport::default();
    for (place, (name, kind)) in jobs.iter().enumerate() {
        let count = if *kind == "mosaic" { 4 } else { 3 };
        let body = serde_json::json!({
            "id": name, "intent": kind, "count": count,
            "command": format!("run {}", 50 + place % 7 * 50),
        });
        let started = Instant::now();
        let mut at = place;
        loop {
            let address = addresses[at % addresses.len()];
            let path = "/v1/workspaces/attikis/jobs";
            let sent = call(&http, Method::POST, address, path, body.to_string()).await;
            match sent {
                Ok(response) if response.status() == StatusCode::ACCEPTED => break,
                Ok(response) if response.status().is_client_error() => {
                    return Err(anyhow!("{}", String::from_utf8_lossy(response.body())));
                }
                _ => sleep(LOOK).await,
            }
            at += 1;
        }
        if wait_start(&http, &addresses, at, name).await {
            let urgency = if *kind == "check" { "now" } else { "soon" };
            let waits = report.waits.entry(urgency).or_insert_with(new_histogram);
            let micros = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
            let _ = waits.record(micros);
        }
        sleep(LOOK).await;
    }
    Ok(report)
}

/// Waits until a task of the job was seen to run or has ended.
async fn wait_start(http: &HttpClient, addresses: &[SocketAddr], at: usize, name: &str) -> bool {
    let until = Instant::now() + Duration::from_secs(5);
    while Instant::now() < until {
        if let Some(view) = look(http, addresses[at % addresses.len()], name).await
            && (!view.record.ended.is_empty() || !view.running.is_empty())
        {
            return true;
        }
        sleep(Duration::from_millis(2)).await;
    }
    false
}

async fn look(http: &HttpClient, address: SocketAddr, name: &str) -> Option<JobView> {
    let path = format!("/v1/workspaces/attikis/jobs/{name}");
    let response = call(http, Method::GET, address, &path, "").await.ok()?;
    serde_json::from_slice(response.body()).ok()
}

async fn wait_jobs(
    addresses: Vec<SocketAddr>,
    mut names: Vec<String>,
    time: Duration,
) -> Result<usize> {
    let http = HttpClient::new();
    let until = Instant::now() + time;
    let mut succeeded = 0;
    let mut at = 0;
    while !names.is_empty() && Instant::now() < until {
        let mut open = Vec::new();
        for name in names {
            at += 1;
            let view = look(&http, addresses[at % addresses.len()], &name).await;
            let over = view.as_ref().is_some_and(|view| view.record.is_over());
            let well = view.is_some_and(|view| {
                view.record.ended.values().all(|end| *end == crate::job::TaskEnd::Succeeded)
            });
            succeeded += usize::from(over && well);
            if !over {
                open.push(name);
            }
        }
        names = open;
        sleep(LOOK).await;
    }
    if !names.is_empty() {
        println!("jobs not over: {names:?}");
    }
    Ok(succeeded)
}

/// Counts runs of one task that overlap in time, over all workers.
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
