//! The demo: runs a whole deployment in one process under load and checks its guarantees.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use hdrhistogram::Histogram;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::domain::{VmRecord, VmRole};
use crate::entry::EntryProcess;
use crate::invariant::broken_invariants;
use crate::resources::ResourceVector;
use crate::settings::{EntrySettings, LimitSettings, PeerSettings, TimingSettings};
use crate::standin::{StandInServer, StandInSettings, free_addresses};

mod load;

use load::{CallerLoad, JobLoad, LoadReport};

/// Failure domains, each with its number of entries.
const DOMAINS: [(&str, usize); 3] = [("peiraias", 3), ("marousi", 2), ("elefsina", 2)];
/// Number of workers over all failure domains.
const WORKER_COUNT: usize = 50;
/// Number of workers, or of upstreams, in a rack.
const RACK_SIZE: usize = 8;
/// Number of upstreams over all failure domains.
const UPSTREAM_COUNT: usize = 50;
/// Slots of each upstream.
const SLOT_COUNT: u32 = 8;
/// Capacity of a worker: 32 cores and 64 GB of memory.
const WORKER_CAPACITY: ResourceVector = ResourceVector::new(32_000, 64_000, 0);
/// Longest wait until all entries are ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// How long callers send requests.
const LOAD_DURATION: Duration = Duration::from_secs(8);
/// Time between the start of the load and the planned stop.
const STOP_DELAY: Duration = Duration::from_secs(3);
/// Interval between two samples of the resources in use.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait for the jobs to end.
const JOB_TIMEOUT: Duration = Duration::from_secs(10);

/// Size and seed of the workload.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DemoSettings {
    /// Seed of the workload.
    pub seed: u64,
    /// Number of callers that send requests concurrently.
    pub callers: u32,
    /// Number of jobs that are submitted.
    pub jobs: u32,
}

impl Default for DemoSettings {
    fn default() -> Self {
        Self { seed: 7, callers: 64, jobs: 120 }
    }
}

fn vm_records(addresses: &mut impl Iterator<Item = SocketAddr>) -> Result<Vec<VmRecord>> {
    let mut records = Vec::new();
    for number in 0..WORKER_COUNT {
        let (domain, _) = DOMAINS[number % DOMAINS.len()];
        records.push(VmRecord {
            id: format!("worker-{number:02}"),
            domain: domain.into(),
            rack: format!("rack-{domain}-{}", number / DOMAINS.len() / RACK_SIZE).into(),
            address: addresses.next().context("no address left")?,
            leaving: false,
            role: VmRole::Worker { capacity: WORKER_CAPACITY },
        });
    }
    for number in 0..UPSTREAM_COUNT {
        let (domain, _) = DOMAINS[number % DOMAINS.len()];
        records.push(VmRecord {
            id: format!("upstream-{number:02}"),
            domain: domain.into(),
            rack: format!("rack-{domain}-{}", number / DOMAINS.len() / RACK_SIZE).into(),
            address: addresses.next().context("no address left")?,
            leaving: false,
            role: VmRole::Upstream { service: "attikis/checks".into(), slots: SLOT_COUNT },
        });
    }
    Ok(records)
}

fn entry_settings(
    addresses: &mut impl Iterator<Item = SocketAddr>,
    store: SocketAddr,
    vms: SocketAddr,
) -> Result<Vec<EntrySettings>> {
    let mut entries = Vec::new();
    for (domain, count) in DOMAINS {
        for number in 0..count {
            let mut next = || addresses.next().context("no address left");
            entries.push(EntrySettings {
                name: format!("{domain}-{number}").into(),
                domain: domain.into(),
                callers: next()?,
                operators: next()?,
                peers: next()?,
                store,
                vms,
                others: Vec::new(),
                timing: TimingSettings::default(),
                limits: LimitSettings::default(),
            });
        }
    }
    let peers: Vec<PeerSettings> = entries
        .iter()
        .map(|entry| PeerSettings {
            name: entry.name.clone(),
            domain: entry.domain.clone(),
            address: entry.peers,
            callers: entry.callers,
        })
        .collect();
    for entry in &mut entries {
        entry.others = peers.iter().filter(|peer| peer.name != entry.name).cloned().collect();
    }
    Ok(entries)
}

/// Runs the demo and returns whether all its checks passed.
///
/// # Errors
/// Returns an error if the demo cannot be started or a request of the demo itself fails.
pub(crate) fn run_demo(settings: &DemoSettings, metrics: PrometheusHandle) -> Result<bool> {
    let started = Instant::now();
    let address_count = 2 + WORKER_COUNT + UPSTREAM_COUNT + 3 * 7;
    let mut addresses = free_addresses(address_count)?.into_iter();
    let store = addresses.next().context("no address left")?;
    let vms = addresses.next().context("no address left")?;
    let machines = vm_records(&mut addresses)?;
    let entries = entry_settings(&mut addresses, store, vms)?;
    let stand_in = StandInServer::start(&StandInSettings { store, vms, machines })?;
    println!(
        "starting {} entries, {WORKER_COUNT} workers, {UPSTREAM_COUNT} upstreams",
        entries.len()
    );
    let mut processes = BTreeMap::new();
    for entry in &entries {
        let process = EntryProcess::start(entry, metrics.clone())?;
        processes.insert(entry.name.clone(), process);
    }
    let ready = load::wait_ready(&entries, START_TIMEOUT)?;
    println!("ready after {:.1} s", started.elapsed().as_secs_f64());
    let confirmed = load::confirm_intents(&entries)?;
    let jobs = JobLoad::start(&entries, settings)?;
    let callers = CallerLoad::start(&entries, settings, LOAD_DURATION)?;
    let mut packing = PackingSample::default();
    packing.sample(&stand_in, STOP_DELAY);
    let stopped_process = entries.first().and_then(|entry| processes.remove(&entry.name));
    let drained = stopped_process.is_none_or(EntryProcess::drain);
    println!(
        "planned stop of {}: requests aborted: {}",
        entries[0].name,
        if drained { "none" } else { "some" }
    );
    let calls = callers.finish()?;
    packing.sample(&stand_in, SAMPLE_INTERVAL);
    let jobs = jobs.finish(&entries, JOB_TIMEOUT)?;
    let elapsed = started.elapsed();
    for process in processes.into_values() {
        process.kill();
    }
    let report = LoadReport { calls, jobs };
    let checks = CheckList::new(&stand_in, &report, ready, confirmed, drained);
    packing.print();
    print_report(&stand_in, &report, &metrics, elapsed);
    let passed = checks.print();
    stand_in.stop();
    Ok(passed)
}

/// The sample with the most processor time in use, in thousandths of a core.
#[derive(Debug, Default)]
struct PackingSample {
    /// Used by tasks.
    used: u64,
    /// Capacity of the workers that run at least one task.
    occupied: u64,
}

impl PackingSample {
    /// Samples the workers for `time` and keeps the sample with the highest use.
    fn sample(&mut self, stand_in: &StandInServer, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            let (used, occupied) = stand_in.with(|state| {
                let used = state.workers.values().map(|worker| worker.used().millicores);
                let used: Vec<u64> = used.filter(|used| *used > 0).map(u64::from).collect();
                (used.iter().sum(), used.len() as u64 * u64::from(WORKER_CAPACITY.millicores))
            });
            if used > self.used {
                (self.used, self.occupied) = (used, occupied);
            }
            sleep(SAMPLE_INTERVAL);
        }
    }

    fn print(&self) {
        let total = (WORKER_COUNT as u64 * u64::from(WORKER_CAPACITY.millicores)) as f64;
        let (used, occupied) = (self.used as f64, self.occupied.max(1) as f64);
        println!(
            "packing at the highest use: {:.1}% of all cores, {:.1}% of the cores of occupied workers",
            100.0 * used / total,
            100.0 * used / occupied
        );
    }
}

/// The checks with their results.
struct CheckList(Vec<(&'static str, bool)>);

impl CheckList {
    fn new(
        stand_in: &StandInServer,
        report: &LoadReport,
        ready: bool,
        confirmed: bool,
        drained: bool,
    ) -> Self {
        let (over_slots, violations) = stand_in.with(|state| {
            let over_slots: u64 = state.upstreams.values().map(|u| u.count().over_slots).sum();
            let mut marks: BTreeMap<&str, u32> = BTreeMap::new();
            for (mark, count) in state.upstreams.values().flat_map(|u| u.marks()) {
                *marks.entry(mark).or_default() += count;
            }
            let calls = &report.calls;
            let repeated = calls
                .at_most_once
                .iter()
                .filter(|mark| marks.get(mark.as_str()).copied().unwrap_or(0) > 1);
            let ran = calls.not_run.iter().filter(|mark| marks.contains_key(mark.as_str()));
            (over_slots, (repeated.count(), ran.count()))
        });
        let overlaps = stand_in.with(|state| load::overlapping_runs(state));
        Self(vec![
            ("all entries were ready", ready),
            ("all plans were confirmed", confirmed),
            ("the planned stop aborted no request", drained),
            ("every request had an answer", report.calls.unanswered == 0),
            ("every answer was complete and belonged to its request", report.calls.mismatched == 0),
            ("no request had an unknown outcome", report.calls.unknown == 0),
            ("no upstream had more requests than slots", over_slots == 0),
            ("requests that are not idempotent ran at most once", violations.0 == 0),
            ("no request that was answered as not run had run", violations.1 == 0),
            ("no two runs of a task overlapped", overlaps == 0),
            ("all jobs succeeded", report.jobs.succeeded == report.jobs.submitted),
            ("no invariant was broken", broken_invariants() == 0),
        ])
    }

    fn print(&self) -> bool {
        for (name, held) in &self.0 {
            println!("{}  {name}", if *held { "held  " } else { "BROKEN" });
        }
        self.0.iter().all(|(_, held)| *held)
    }
}

fn quantiles(histogram: &Histogram<u64>) -> String {
    let quantile_ms = |q| histogram.value_at_quantile(q) as f64 / 1e3;
    format!(
        "p50 {:.1} ms, p99 {:.1} ms ({} samples)",
        quantile_ms(0.5),
        quantile_ms(0.99),
        histogram.len()
    )
}

fn print_report(
    stand_in: &StandInServer,
    report: &LoadReport,
    metrics: &PrometheusHandle,
    elapsed: Duration,
) {
    println!("time from request to answer:");
    for (urgency, histogram) in &report.calls.latencies {
        println!("  {urgency:<5} {}", quantiles(histogram));
    }
    println!(
        "answers: {} complete, {} not run, {} unknown",
        report.calls.complete,
        report.calls.not_run.len(),
        report.calls.unknown
    );
    println!("time from the submission of a job to its start:");
    for (urgency, histogram) in &report.jobs.wait_times {
        println!("  {urgency:<5} {}", quantiles(histogram));
    }
    println!("jobs: {} of {} succeeded", report.jobs.succeeded, report.jobs.submitted);
    let (reads, writes, watches) = stand_in.with(|state| {
        let (reads, writes) = state.store.calls();
        (reads, writes, state.watches)
    });
    let rate = |count: u64| count as f64 / elapsed.as_secs_f64();
    println!(
        "store calls per second: {:.1} reads, {:.1} compare-and-swaps, {:.1} watches",
        rate(reads),
        rate(writes),
        rate(watches)
    );
    let metrics_text = metrics.render();
    for line in metrics_text.lines().filter(|line| line.starts_with("kelplink_ring_full")) {
        println!("{line}");
    }
}
