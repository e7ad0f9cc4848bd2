//! Running entry processes measured from outside, over loopback, with stand-ins in this process.
//!
//! `cargo bench --bench system` prints control cost at several sizes, takeover times, acceptance to
//! in force, and the latency that an entry adds. It takes about two minutes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, anyhow};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use kelplink::{
    ResourceVector, StandInServer, StandInSettings, StoreFault, VmRecord, VmRole, free_addresses,
};
use tokio::time::sleep;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Clock ticks a second in the process table of the kernel.
const TICKS: f64 = 100.0;
/// How long costs are measured.
const COST_TIME: Duration = Duration::from_secs(8);
/// Starts a second at the target's peak in one of six failure domains.
const PEAK_STARTS: u32 = 58;

#[tokio::main]
async fn main() -> Result<()> {
    let only = std::env::var("KELPLINK_BENCH_ONLY").ok();
    let wanted = |name: &str| only.as_deref().is_none_or(|only| only == name);
    if wanted("cost") {
        println!(
            "control cost of an entry in a domain of three; idle, then {PEAK_STARTS} starts a second"
        );
        for workers in [13, 26, 52, 104] {
            cost(workers).await.context("cost")?;
        }
    }
    if wanted("takeover") {
        println!("takeover: leader killed to the next task started");
        takeover().await.context("takeover")?;
    }
    if wanted("in-force") {
        println!("acceptance to in force on all of seven entries in three failure domains");
        in_force().await.context("in force")?;
    }
    if wanted("latency") {
        println!("latency added by an entry, 50 upstreams, 1 ms of work");
        for rate in [1_000, 5_000] {
            latency(rate).await.context("latency")?;
        }
    }
    Ok(())
}

/// One entry as a process of its own.
struct Entry {
    name: String,
    domain: String,
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
    store: SocketAddr,
    child: Option<Child>,
}

impl Entry {
    fn start(
        &mut self,
        all: &[(String, String, SocketAddr, SocketAddr)],
        vms: SocketAddr,
    ) -> Result<()> {
        let mut text = format!(
            "name = {:?}\nfailure_domain = {:?}\ncallers = \"{}\"\noperators = \"{}\"\npeers = \"{}\"\n\
             store = \"{}\"\nvms = \"{vms}\"\n",
            self.name, self.domain, self.callers, self.operators, self.peers, self.store
        );
        for (name, domain, peers, callers) in all.iter().filter(|(name, ..)| *name != self.name) {
            text += &format!(
                "[[peer]]\nname = {name:?}\nfailure_domain = {domain:?}\naddress = \"{peers}\"\ncallers = \"{callers}\"\n"
            );
        }
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}.toml", self.name));
        std::fs::write(&path, text)?;
        let child = Command::new(env!("CARGO_BIN_EXE_kelplink"))
            .args(["serve", "--settings"])
            .arg(&path)
            .env("KELPLINK_LOG", "error")
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Processor seconds and resident MiB.
    fn usage(&self) -> Result<(f64, f64)> {
        let pid = self.child.as_ref().context("not running")?.id();
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
        let line = status.lines().find(|line| line.starts_with("VmRSS")).context("VmRSS")?;
        let kib: f64 = line.split_whitespace().nth(1).context("VmRSS")?.parse()?;
        Ok((ticks / TICKS, kib / 1_024.0))
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Stand-ins and entries.
struct Cluster {
    stand_in: StandInServer,
    entries: Vec<Entry>,
    peers: Vec<(String, String, SocketAddr, SocketAddr)>,
    vms: SocketAddr,
    http: HttpClient,
}

impl Cluster {
    /// `layout` names failure domains with their entries and workers; `cut` entries get a store that
    /// nobody listens on.
    async fn start(layout: &[(&str, usize, usize)], upstreams: usize, cut: usize) -> Result<Self> {
        let machines: usize =
            layout.iter().map(|(_, _, workers)| workers).sum::<usize>() + upstreams;
        let entries: usize = layout.iter().map(|(_, entries, _)| entries).sum();
        let mut addresses = free_addresses(3 + machines + 3 * entries)?.into_iter();
        let mut next = || addresses.next().context("no address left");
        let (store, vms, dead) = (next()?, next()?, next()?);
        let mut list = Vec::new();
        for (domain, _, workers) in layout {
            for number in 0..*workers {
                list.push(VmRecord {
                    id: format!("{domain}-w{number}"),
                    domain: (*domain).into(),
                    rack: format!("{domain}-r{}", number / 8).as_str().into(),
                    address: next()?,
                    leaving: false,
                    role: VmRole::Worker { capacity: ResourceVector::new(32_000, 64_000, 0) },
                });
            }
        }
        for number in 0..upstreams {
            list.push(VmRecord {
                id: format!("u{number}"),
                domain: layout[0].0.into(),
                rack: "r".into(),
                address: next()?,
                leaving: false,
                role: VmRole::Upstream { service: "ws/svc".into(), slots: 8 },
            });
        }
        let stand_in = StandInServer::start(&StandInSettings { store, vms, machines: list })?;
        let mut all = Vec::new();
        for (domain, count, _) in layout {
            for number in 0..*count {
                let store = if all.len() < cut { dead } else { store };
                all.push(Entry {
                    name: format!("{domain}{number}"),
                    domain: (*domain).to_owned(),
                    callers: next()?,
                    operators: next()?,
                    peers: next()?,
                    store,
                    child: None,
                });
            }
        }
        let peers: Vec<_> = all
            .iter()
            .map(|e: &Entry| (e.name.clone(), e.domain.clone(), e.peers, e.callers))
            .collect();
        for entry in &mut all {
            entry.start(&peers, vms)?;
        }
        let http = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
        let cluster = Self { stand_in, entries: all, peers, vms, http };
        cluster.wait_ready(layout.len()).await?;
        Ok(cluster)
    }

    async fn wait_ready(&self, domains: usize) -> Result<()> {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            let mut ready = 0;
            for entry in &self.entries {
                let page = self.get(entry.operators, "/v1/status").await;
                let known = page
                    .ok()
                    .and_then(|p| serde_json::from_slice::<serde_json::Value>(p.body()).ok());
                let known = known.and_then(|v| v["domains"].as_object().map(serde_json::Map::len));
                ready += usize::from(known == Some(domains));
            }
            if ready == self.entries.len() {
                sleep(Duration::from_millis(1_500)).await;
                return Ok(());
            }
            sleep(Duration::from_millis(50)).await;
        }
        Err(anyhow!("not ready in 30 s"))
    }

    async fn call(
        &self,
        method: Method,
        at: SocketAddr,
        path: &str,
        body: String,
    ) -> Result<Response<Bytes>> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{at}{path}"))
            .body(Full::new(Bytes::from(body)))?;
        let response =
            tokio::time::timeout(Duration::from_secs(6), self.http.request(request)).await??;
        let (parts, body) = response.into_parts();
        Ok(Response::from_parts(parts, body.collect().await?.to_bytes()))
    }

    async fn get(&self, at: SocketAddr, path: &str) -> Result<Response<Bytes>> {
        self.call(Method::GET, at, path, String::new()).await
    }

    async fn accept(&self, at: SocketAddr, intent: &str) -> Result<()> {
        let plan = self.call(Method::POST, at, "/v1/plan", intent.to_owned()).await?;
        let body = String::from_utf8(plan.body().to_vec())?;
        let answer = self.call(Method::POST, at, "/v1/confirm", body).await?;
        match answer.status() {
            StatusCode::OK => Ok(()),
            _ => Err(anyhow!("{}", String::from_utf8_lossy(answer.body()))),
        }
    }

    async fn metric(&self, at: SocketAddr, name: &str) -> Result<f64> {
        let page = self.get(at, "/metrics").await?;
        let text = String::from_utf8(page.body().to_vec())?;
        let lines = text.lines().filter(|line| line.starts_with(name));
        Ok(lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum())
    }

    async fn leader(&self, domain: &str) -> Result<usize> {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            for (place, entry) in self.entries.iter().enumerate() {
                if entry.domain == domain
                    && entry.child.is_some()
                    && self.metric(entry.operators, "kelplink_leads").await.unwrap_or(0.0) > 0.0
                {
                    return Ok(place);
                }
            }
            sleep(Duration::from_millis(20)).await;
        }
        Err(anyhow!("no leader of {domain}"))
    }

    /// Submits a job again and again until a worker runs it.
    async fn until_started(&self, at: SocketAddr, id: &str) -> Result<Duration> {
        let began = Instant::now();
        let body = format!("{{\"id\":{id:?},\"intent\":\"check\",\"command\":\"run 60000\"}}");
        while began.elapsed() < Duration::from_secs(30) {
            let _ = self.call(Method::POST, at, "/v1/workspaces/ws/jobs", body.clone()).await;
            let runs = self.stand_in.with(|state| {
                let all = state.workers.values().flat_map(|worker| worker.runs());
                all.filter(|run| run.task.0.ends_with(id)).count()
            });
            if runs > 0 {
                return Ok(began.elapsed());
            }
            sleep(Duration::from_millis(10)).await;
        }
        Err(anyhow!("{id} did not start"))
    }
}

const CHECK: &str = "workspace = \"ws\"\nname = \"check\"\nkind = \"batch\"\ncount = 0\n\
    processors_milli = 250\nmemory_mib = 64\nurgency = \"now\"\nrun_time_ms = 500\ncommand = \"run 500\"\n";

async fn cost(workers: usize) -> Result<()> {
    let cluster = Cluster::start(&[("a", 3, workers)], 0, 0).await?;
    let leader = cluster.leader("a").await?;
    let follower = (leader + 1) % 3;
    cluster.accept(cluster.entries[leader].operators, CHECK).await?;
    sleep(Duration::from_secs(1)).await;
    for (label, starts) in [("idle", 0), ("peak", PEAK_STARTS)] {
        let before = sample(&cluster, leader, follower).await?;
        let began = Instant::now();
        let mut sent = 0_u32;
        while began.elapsed() < COST_TIME {
            let due = (began.elapsed().as_secs_f64() * f64::from(starts) / 10.0) as u32;
            while sent < due {
                sent += 1;
                let body =
                    format!("{{\"id\":\"{label}-{sent}\",\"intent\":\"check\",\"count\":10}}");
                let at = cluster.entries[leader].callers;
                cluster.call(Method::POST, at, "/v1/workspaces/ws/jobs", body).await?;
            }
            sleep(Duration::from_millis(20)).await;
        }
        let after = sample(&cluster, leader, follower).await?;
        let seconds = began.elapsed().as_secs_f64();
        let rate = |place: usize| (after[place] - before[place]) / seconds;
        if starts > 0 {
            let page = cluster.get(cluster.entries[leader].operators, "/metrics").await?;
            let text = String::from_utf8_lossy(page.body()).into_owned();
            let lines =
                text.lines().filter(|line| line.starts_with("kelplink_payload_bytes_total"));
            let lines: Vec<&str> =
                lines.filter_map(|line| line.split_once('{').map(|(_, rest)| rest)).collect();
            println!("    payload since the start: {}", lines.join(", "));
        }
        println!(
            "  {workers:>3} workers {label}: leader {:.2}% of a core, {:.1} MiB, {:.1} KB/s payload; follower {:.2}%, {:.1} MiB, {:.1} KB/s; \
             store {:.1} reads, {:.1} swaps, {:.2} watches a second; {:.1} exchanges a second; largest value {:.0} B",
            100.0 * rate(0),
            after[1],
            rate(2) / 1e3,
            100.0 * rate(3),
            after[4],
            rate(5) / 1e3,
            rate(6),
            rate(7),
            rate(8),
            rate(9),
            after[10]
        );
    }
    cluster.stand_in.stop();
    Ok(())
}

async fn sample(cluster: &Cluster, leader: usize, follower: usize) -> Result<Vec<f64>> {
    let (cpu, memory) = cluster.entries[leader].usage()?;
    let (other_cpu, other_memory) = cluster.entries[follower].usage()?;
    let payload = "kelplink_payload_bytes_total";
    let bytes = cluster.metric(cluster.entries[leader].operators, payload).await?;
    let other_bytes = cluster.metric(cluster.entries[follower].operators, payload).await?;
    let exchanges = "kelplink_worker_exchanges_total";
    let exchanges = cluster.metric(cluster.entries[leader].operators, exchanges).await?;
    let (reads, writes, watches, largest) = cluster.stand_in.with(|state| {
        let (reads, writes) = state.store.calls();
        (reads as f64, writes as f64, state.watches as f64, state.store.largest_value() as f64)
    });
    Ok(vec![
        cpu,
        memory,
        bytes,
        other_cpu,
        other_memory,
        other_bytes,
        reads,
        writes,
        watches,
        exchanges,
        largest,
    ])
}

async fn takeover() -> Result<()> {
    for (label, fault) in [("store up", StoreFault::None), ("store down", StoreFault::Down)] {
        let mut cluster = Cluster::start(&[("a", 3, 17)], 0, 0).await?;
        let leader = cluster.leader("a").await?;
        cluster.accept(cluster.entries[leader].operators, CHECK).await?;
        cluster.until_started(cluster.entries[leader].callers, "before").await?;
        cluster.stand_in.with(|state| state.store.set_fault(fault));
        sleep(Duration::from_secs(3)).await;
        cluster.entries[leader].kill();
        let other = (leader + 1) % 3;
        let time = cluster.until_started(cluster.entries[other].callers, "after").await?;
        println!("  {label}: {:.2} s", time.as_secs_f64());
        let peers = cluster.peers.clone();
        let vms = cluster.vms;
        cluster.entries[leader].start(&peers, vms)?;
        cluster.stand_in.stop();
    }
    Ok(())
}

async fn in_force() -> Result<()> {
    for (label, cut) in [("all reach the store", 0), ("two entries cut off from the store", 2)] {
        let layout = [("a", 3, 2), ("b", 2, 2), ("c", 2, 2)];
        let cluster = Cluster::start(&layout, 0, cut).await?;
        let at = cluster.entries[6].operators;
        let mut times = Vec::new();
        for number in 1..=5 {
            let intent = CHECK.replace("\"check\"", &format!("\"check{number}\""));
            cluster.accept(at, &intent).await?;
            let accepted = Instant::now();
            loop {
                let mut count = 0;
                for entry in &cluster.entries {
                    let page = cluster.get(entry.operators, "/readyz").await?;
                    let value: serde_json::Value = serde_json::from_slice(page.body())?;
                    count += usize::from(value["revision"].as_u64() >= Some(number));
                }
                if count == cluster.entries.len() {
                    break;
                }
                if accepted.elapsed() > Duration::from_secs(20) {
                    return Err(anyhow!("not in force after 20 s"));
                }
                sleep(Duration::from_millis(2)).await;
            }
            times.push(accepted.elapsed().as_secs_f64() * 1e3);
        }
        times.sort_by(f64::total_cmp);
        println!(
            "  {label}: median {:.0} ms, longest {:.0} ms of {}",
            times[2],
            times[4],
            times.len()
        );
        cluster.stand_in.stop();
    }
    Ok(())
}

async fn latency(rate: u32) -> Result<()> {
    let cluster = Cluster::start(&[("a", 1, 1)], 50, 0).await?;
    let upstream = cluster.stand_in.with(|state| {
        let found = state.vms.iter().find(|vm| matches!(vm.role, VmRole::Upstream { .. }));
        found.map(|vm| vm.address)
    });
    let upstream = upstream.context("no upstream")?;
    let entry = cluster.entries[0].callers;
    let direct = load(&cluster.http, format!("http://{upstream}/x?work_ms=1"), rate).await?;
    let before = cluster.entries[0].usage()?.0;
    let through = load(&cluster.http, format!("http://{entry}/s/ws/svc/x?work_ms=1"), rate).await?;
    let spent = cluster.entries[0].usage()?.0 - before;
    let at = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1e3;
    println!(
        "  {rate} a second: through the entry p50 {:.2} ms p99 {:.2} ms, straight to an upstream p50 {:.2} ms p99 {:.2} ms; \
         added p50 {:.2} ms; {:.0} us of processor time a request; {} answers",
        at(&through, 0.5),
        at(&through, 0.99),
        at(&direct, 0.5),
        at(&direct, 0.99),
        at(&through, 0.5) - at(&direct, 0.5),
        1e6 * spent / through.len() as f64,
        through.len()
    );
    cluster.stand_in.stop();
    Ok(())
}

/// Sends requests at a rate for four seconds; times run from when each was due.
async fn load(http: &HttpClient, uri: String, rate: u32) -> Result<Histogram<u64>> {
    let began = Instant::now();
    let mut tasks = Vec::new();
    let count = rate * 4;
    for number in 0..count {
        let due = Duration::from_secs_f64(f64::from(number) / f64::from(rate));
        if let Some(wait) = due.checked_sub(began.elapsed()) {
            sleep(wait).await;
        }
        let (http, uri) = (http.clone(), uri.clone());
        tasks.push(tokio::spawn(async move {
            let request = Request::builder().uri(uri).body(Full::default()).ok()?;
            let response = http.request(request).await.ok()?;
            let good = response.status() == StatusCode::OK;
            response.into_body().collect().await.ok()?;
            good.then(|| began.elapsed().saturating_sub(due))
        }));
    }
    let mut times = Histogram::new(3)?;
    for task in tasks {
        if let Some(time) = task.await? {
            times.record(u64::try_from(time.as_micros())?)?;
        }
    }
    Ok(times)
}
