//! Benchmarks of running entry processes over the loopback interface. The stand-ins for the platform
//! run in the benchmark process.
//!
//! `cargo bench --bench system` prints the control cost at several sizes, takeover times, the time
//! from the acceptance of an intent until it is in force, and the latency that an entry adds. It takes
//! about two minutes.

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

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Duration of a measurement of control cost.
const COST_DURATION: Duration = Duration::from_secs(8);
/// Task starts per second at the peak load of the target deployment, in one of its six failure domains.
const PEAK_STARTS: u32 = 58;

#[tokio::main]
async fn main() -> Result<()> {
    let selected = std::env::var("KELPLINK_BENCH_ONLY").ok();
    let is_selected = |name: &str| selected.as_deref().is_none_or(|selected| selected == name);
    if is_selected("cost") {
        println!(
            "control cost of an entry in a domain of three; idle, then {PEAK_STARTS} starts a second"
        );
        for workers in [13, 26, 52, 104] {
            cost(workers).await.context("cost")?;
        }
    }
    if is_selected("takeover") {
        println!("takeover: leader killed to the next task started");
        takeover().await.context("takeover")?;
    }
    if is_selected("in-force") {
        println!("acceptance to in force on all of seven entries in three failure domains");
        in_force().await.context("in force")?;
    }
    if is_selected("latency") {
        println!("latency added by an entry, 50 upstreams, 1 ms of work");
        for rate in [1_000, 5_000] {
            latency(rate).await.context("latency")?;
        }
    }
    Ok(())
}

/// An entry that runs as a process of its own.
struct EntryChild {
    name: String,
    domain: String,
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
    store: SocketAddr,
    child: Option<Child>,
}

impl EntryChild {
    fn start(
        &mut self,
        peers: &[(String, String, SocketAddr, SocketAddr)],
        vms: SocketAddr,
    ) -> Result<()> {
        let mut text = format!(
            "name = {:?}\nfailure_domain = {:?}\ncallers = \"{}\"\noperators = \"{}\"\npeers = \"{}\"\n\
             store = \"{}\"\nvms = \"{vms}\"\n",
            self.name, self.domain, self.callers, self.operators, self.peers, self.store
        );
        for (name, domain, peers, callers) in peers.iter().filter(|(name, ..)| *name != self.name) {
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

    /// Returns the processor time in seconds and the resident memory in MiB.
    fn usage(&self) -> Result<(f64, f64)> {
        let pid = self.child.as_ref().context("not running")?.id();
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
        let line = status.lines().find(|line| line.starts_with("VmRSS")).context("VmRSS")?;
        let kib: f64 = line.split_whitespace().nth(1).context("VmRSS")?.parse()?;
        Ok((ticks / TICKS_PER_SECOND, kib / 1_024.0))
    }
}

impl Drop for EntryChild {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The stand-ins and the entries of a deployment.
struct Cluster {
    stand_in: StandInServer,
    entries: Vec<EntryChild>,
    peers: Vec<(String, String, SocketAddr, SocketAddr)>,
    vms: SocketAddr,
    http: HttpClient,
}

impl Cluster {
    /// Starts a deployment and waits until it is ready. `layout` holds each failure domain with its
    /// numbers of entries and workers. The first `without_store` entries use a store address on which
    /// nothing listens.
    async fn start(
        layout: &[(&str, usize, usize)],
        upstreams: usize,
        without_store: usize,
    ) -> Result<Self> {
        let machine_count: usize =
            layout.iter().map(|(_, _, workers)| workers).sum::<usize>() + upstreams;
        let entry_count: usize = layout.iter().map(|(_, entries, _)| entries).sum();
        let mut addresses = free_addresses(3 + machine_count + 3 * entry_count)?.into_iter();
        let mut next = || addresses.next().context("no address left");
        let (store, vms, unused) = (next()?, next()?, next()?);
        let mut vm_records = Vec::new();
        for (domain, _, workers) in layout {
            for number in 0..*workers {
                vm_records.push(VmRecord {
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
            vm_records.push(VmRecord {
                id: format!("u{number}"),
                domain: layout[0].0.into(),
                rack: "r".into(),
                address: next()?,
                leaving: false,
                role: VmRole::Upstream { service: "ws/svc".into(), slots: 8 },
            });
        }
        let stand_in = StandInServer::start(&StandInSettings { store, vms, machines: vm_records })?;
        let mut children = Vec::new();
        for (domain, count, _) in layout {
            for number in 0..*count {
                let store = if children.len() < without_store { unused } else { store };
                children.push(EntryChild {
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
        let peers: Vec<_> = children
            .iter()
            .map(|entry: &EntryChild| {
                (entry.name.clone(), entry.domain.clone(), entry.peers, entry.callers)
            })
            .collect();
        for entry in &mut children {
            entry.start(&peers, vms)?;
        }
        let http = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
        let cluster = Self { stand_in, entries: children, peers, vms, http };
        cluster.wait_ready(layout.len()).await?;
        Ok(cluster)
    }

    async fn wait_ready(&self, domains: usize) -> Result<()> {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            let mut ready_count = 0;
            for entry in &self.entries {
                let answer = self.get(entry.operators, "/v1/status").await;
                let status = answer
                    .ok()
                    .and_then(|a| serde_json::from_slice::<serde_json::Value>(a.body()).ok());
                let domain_count =
                    status.and_then(|s| s["domains"].as_object().map(serde_json::Map::len));
                ready_count += usize::from(domain_count == Some(domains));
            }
            if ready_count == self.entries.len() {
                sleep(Duration::from_millis(1_500)).await;
                return Ok(());
            }
            sleep(Duration::from_millis(50)).await;
        }
        Err(anyhow!("entries not ready after 30 s"))
    }

    async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: String,
    ) -> Result<Response<Bytes>> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Full::new(Bytes::from(body)))?;
        let response =
            tokio::time::timeout(Duration::from_secs(6), self.http.request(request)).await??;
        let (parts, body) = response.into_parts();
        Ok(Response::from_parts(parts, body.collect().await?.to_bytes()))
    }

    async fn get(&self, address: SocketAddr, path: &str) -> Result<Response<Bytes>> {
        self.call(Method::GET, address, path, String::new()).await
    }

    /// Plans and confirms an intent.
    async fn accept(&self, address: SocketAddr, intent: &str) -> Result<()> {
        let plan = self.call(Method::POST, address, "/v1/plan", intent.to_owned()).await?;
        let body = String::from_utf8(plan.body().to_vec())?;
        let answer = self.call(Method::POST, address, "/v1/confirm", body).await?;
        match answer.status() {
            StatusCode::OK => Ok(()),
            _ => Err(anyhow!("{}", String::from_utf8_lossy(answer.body()))),
        }
    }

    /// Returns the sum of a metric over all its labels.
    async fn metric(&self, address: SocketAddr, name: &str) -> Result<f64> {
        let answer = self.get(address, "/metrics").await?;
        let text = String::from_utf8(answer.body().to_vec())?;
        let lines = text.lines().filter(|line| line.starts_with(name));
        Ok(lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum())
    }

    /// Waits for a leader of the failure domain and returns its index.
    async fn leader(&self, domain: &str) -> Result<usize> {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            for (index, entry) in self.entries.iter().enumerate() {
                if entry.domain == domain
                    && entry.child.is_some()
                    && self.metric(entry.operators, "kelplink_leads").await.unwrap_or(0.0) > 0.0
                {
                    return Ok(index);
                }
            }
            sleep(Duration::from_millis(20)).await;
        }
        Err(anyhow!("failure domain {domain} has no leader after 20 s"))
    }

    /// Submits a job repeatedly until a worker runs it; returns the time that this took.
    async fn until_started(&self, address: SocketAddr, id: &str) -> Result<Duration> {
        let started = Instant::now();
        let body = format!("{{\"id\":{id:?},\"intent\":\"check\",\"command\":\"run 60000\"}}");
        while started.elapsed() < Duration::from_secs(30) {
            let _ = self.call(Method::POST, address, "/v1/workspaces/ws/jobs", body.clone()).await;
            let runs = self.stand_in.with(|state| {
                let runs = state.workers.values().flat_map(|worker| worker.runs());
                runs.filter(|run| run.task.0.ends_with(id)).count()
            });
            if runs > 0 {
                return Ok(started.elapsed());
            }
            sleep(Duration::from_millis(10)).await;
        }
        Err(anyhow!("job {id} did not start within 30 s"))
    }
}

/// Template of the jobs that are submitted.
const CHECK_INTENT: &str = "workspace = \"ws\"\nname = \"check\"\nkind = \"batch\"\ncount = 0\n\
    processors_milli = 250\nmemory_mib = 64\nurgency = \"now\"\nrun_time_ms = 500\ncommand = \"run 500\"\n";

/// Prints the resources that a leader and a follower use, idle and at peak load.
async fn cost(workers: usize) -> Result<()> {
    let cluster = Cluster::start(&[("a", 3, workers)], 0, 0).await?;
    let leader = cluster.leader("a").await?;
    let follower = (leader + 1) % 3;
    cluster.accept(cluster.entries[leader].operators, CHECK_INTENT).await?;
    sleep(Duration::from_secs(1)).await;
    for (label, starts) in [("idle", 0), ("peak", PEAK_STARTS)] {
        let before = sample(&cluster, leader, follower).await?;
        let started = Instant::now();
        let mut sent = 0_u32;
        while started.elapsed() < COST_DURATION {
            let due = (started.elapsed().as_secs_f64() * f64::from(starts) / 10.0) as u32;
            while sent < due {
                sent += 1;
                let body =
                    format!("{{\"id\":\"{label}-{sent}\",\"intent\":\"check\",\"count\":10}}");
                let address = cluster.entries[leader].callers;
                cluster.call(Method::POST, address, "/v1/workspaces/ws/jobs", body).await?;
            }
            sleep(Duration::from_millis(20)).await;
        }
        let after = sample(&cluster, leader, follower).await?;
        let seconds = started.elapsed().as_secs_f64();
        let rate = |index: usize| (after[index] - before[index]) / seconds;
        if starts > 0 {
            let answer = cluster.get(cluster.entries[leader].operators, "/metrics").await?;
            let text = String::from_utf8_lossy(answer.body()).into_owned();
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

/// Reads processor time, memory and payload bytes of both entries, the calls to the store, the exchanges
/// with workers and the largest stored value.
async fn sample(cluster: &Cluster, leader: usize, follower: usize) -> Result<Vec<f64>> {
    let (cpu, memory) = cluster.entries[leader].usage()?;
    let (follower_cpu, follower_memory) = cluster.entries[follower].usage()?;
    let payload = "kelplink_payload_bytes_total";
    let bytes = cluster.metric(cluster.entries[leader].operators, payload).await?;
    let follower_bytes = cluster.metric(cluster.entries[follower].operators, payload).await?;
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
        follower_cpu,
        follower_memory,
        follower_bytes,
        reads,
        writes,
        watches,
        exchanges,
        largest,
    ])
}

/// Measures the time from the end of a leader to the next start of a task.
async fn takeover() -> Result<()> {
    for (label, fault) in [("store up", StoreFault::None), ("store down", StoreFault::Down)] {
        let mut cluster = Cluster::start(&[("a", 3, 17)], 0, 0).await?;
        let leader = cluster.leader("a").await?;
        cluster.accept(cluster.entries[leader].operators, CHECK_INTENT).await?;
        cluster.until_started(cluster.entries[leader].callers, "before").await?;
        cluster.stand_in.with(|state| state.store.set_fault(fault));
        sleep(Duration::from_secs(3)).await;
        cluster.entries[leader].kill();
        let follower = (leader + 1) % 3;
        let time = cluster.until_started(cluster.entries[follower].callers, "after").await?;
        println!("  {label}: {:.2} s", time.as_secs_f64());
        let peers = cluster.peers.clone();
        let vms = cluster.vms;
        cluster.entries[leader].start(&peers, vms)?;
        cluster.stand_in.stop();
    }
    Ok(())
}

/// Measures the time from the acceptance of an intent until all entries apply it.
async fn in_force() -> Result<()> {
    for (label, without_store) in
        [("all reach the store", 0), ("two entries cut off from the store", 2)]
    {
        let layout = [("a", 3, 2), ("b", 2, 2), ("c", 2, 2)];
        let cluster = Cluster::start(&layout, 0, without_store).await?;
        let address = cluster.entries[6].operators;
        let mut times = Vec::new();
        for number in 1..=5 {
            let intent = CHECK_INTENT.replace("\"check\"", &format!("\"check{number}\""));
            cluster.accept(address, &intent).await?;
            let accepted = Instant::now();
            loop {
                let mut count = 0;
                for entry in &cluster.entries {
                    let answer = cluster.get(entry.operators, "/readyz").await?;
                    let value: serde_json::Value = serde_json::from_slice(answer.body())?;
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

/// Compares the latency of requests through an entry with requests sent directly to an upstream.
async fn latency(rate: u32) -> Result<()> {
    let cluster = Cluster::start(&[("a", 1, 1)], 50, 0).await?;
    let upstream = cluster.stand_in.with(|state| {
        let upstream = state.vms.iter().find(|vm| matches!(vm.role, VmRole::Upstream { .. }));
        upstream.map(|vm| vm.address)
    });
    let upstream = upstream.context("no upstream")?;
    let entry = cluster.entries[0].callers;
    let direct = send_load(&cluster.http, format!("http://{upstream}/x?work_ms=1"), rate).await?;
    let cpu_before = cluster.entries[0].usage()?.0;
    let via_entry =
        send_load(&cluster.http, format!("http://{entry}/s/ws/svc/x?work_ms=1"), rate).await?;
    let cpu_time = cluster.entries[0].usage()?.0 - cpu_before;
    let quantile_ms = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1e3;
    println!(
        "  {rate} a second: through the entry p50 {:.2} ms p99 {:.2} ms, directly to an upstream p50 {:.2} ms p99 {:.2} ms; \
         added p50 {:.2} ms; {:.0} us of processor time a request; {} answers",
        quantile_ms(&via_entry, 0.5),
        quantile_ms(&via_entry, 0.99),
        quantile_ms(&direct, 0.5),
        quantile_ms(&direct, 0.99),
        quantile_ms(&via_entry, 0.5) - quantile_ms(&direct, 0.5),
        1e6 * cpu_time / via_entry.len() as f64,
        via_entry.len()
    );
    cluster.stand_in.stop();
    Ok(())
}

/// Sends requests at a constant rate for four seconds. Latency counts from the time at which a request
/// was due, so that delayed sending is included.
async fn send_load(http: &HttpClient, uri: String, rate: u32) -> Result<Histogram<u64>> {
    let started = Instant::now();
    let mut tasks = Vec::new();
    let count = rate * 4;
    for number in 0..count {
        let due = Duration::from_secs_f64(f64::from(number) / f64::from(rate));
        if let Some(wait) = due.checked_sub(started.elapsed()) {
            sleep(wait).await;
        }
        let (http, uri) = (http.clone(), uri.clone());
        tasks.push(tokio::spawn(async move {
            let request = Request::builder().uri(uri).body(Full::default()).ok()?;
            let response = http.request(request).await.ok()?;
            let succeeded = response.status() == StatusCode::OK;
            response.into_body().collect().await.ok()?;
            succeeded.then(|| started.elapsed().saturating_sub(due))
        }));
    }
    let mut latencies = Histogram::new(3)?;
    for task in tasks {
        if let Some(latency) = task.await? {
            latencies.record(u64::try_from(latency.as_micros())?)?;
        }
    }
    Ok(latencies)
}
