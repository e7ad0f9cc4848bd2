//! Everything in one process for a while, checked.

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

/// Failure domains of one tenant with their number of entries.
const DOMAINS: [(&str, usize); 3] = [("peiraias", 3), ("marousi", 2), ("elefsina", 2)];
/// Workers in all failure domains.
const WORKERS: usize = 50;
/// Workers in a rack.
const RACK: usize = 8;
/// Serving processes in all failure domains.
const UPSTREAMS: usize = 50;
/// Slots of each.
const SLOTS: u32 = 8;
/// One worker: 32 cores, 64 GB.
const WORKER: ResourceVector = ResourceVector::new(32_000, 64_000, 0);
/// Longest wait for the start.
const START_TIME: Duration = Duration::from_secs(10);
/// How long callers send requests.
const LOAD_TIME: Duration = Duration::from_secs(8);
/// When the planned stop begins.
const STOP_AFTER: Duration = Duration::from_secs(3);
/// Interval between looks at the workers.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait for jobs to end.
const JOB_TIME: Duration = Duration::from_secs(10);

/// Size and seed of the workload.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DemoSettings {
    /// Seed of the workload.
    pub seed: u64,
    /// Callers that send requests at a time.
    pub callers: u32,
    /// Batch jobs that are submitted.
    pub jobs: u32,
}

impl Default for DemoSettings {
    fn default() -> Self {
        Self { seed: 7, callers: 64, jobs: 120 }
    }
}

fn machines(addresses: &mut impl Iterator<Item = SocketAddr>) -> Result<Vec<VmRecord>> {
    let mut machines = Vec::new();
    for number in 0..WORKERS {
        let (domain, _) = DOMAINS[number % DOMAINS.len()];
        machines.push(VmRecord {
            id: format!("worker-{number:02}"),
            domain: domain.into(),
            rack: format!("rack-{domain}-{}", number / DOMAINS.len() / RACK).into(),
            address: addresses.next().context("no address left")?,
            leaving: false,
            role: VmRole::Worker { capacity: WORKER },
        });
    }
    for number in 0..UPSTREAMS {
        let (domain, _) = DOMAINS[number % DOMAINS.len()];
        machines.push(VmRecord {
            id: format!("upstream-{number:02}"),
            domain: domain.into(),
            rack: format!("rack-{domain}-{}", number / DOMAINS.len() / RACK).into(),
            address: addresses.next().context("no address left")?,
            leaving: false,
            role: VmRole::Upstream { service: "attikis/checks".into(), slots: SLOTS },
        });
    }
    Ok(machines)
}

fn entries(
    addresses: &mut impl Iterator<Item = SocketAddr>,
    store: SocketAddr,
    vms: SocketAddr,
) -> Result<Vec<EntrySettings>> {
    let mut all = Vec::new();
    for (domain, count) in DOMAINS {
        for number in 0..count {
            let mut next = || addresses.next().context("no address left");
            all.push(EntrySettings {
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
    let peers: Vec<PeerSettings> = all
        .iter()
        .map(|entry| PeerSettings {
            name: entry.name.clone(),
            domain: entry.domain.clone(),
            address: entry.peers,
            callers: entry.callers,
        })
        .collect();
    for entry in &mut all {
        entry.others = peers.iter().filter(|peer| peer.name != entry.name).cloned().collect();
    }
    Ok(all)
}

/// Runs the demo and tells whether all its checks held.
///
/// # Errors
/// Where it cannot be started.
pub(crate) fn run_demo(settings: &DemoSettings, metrics: PrometheusHandle) -> Result<bool> {
    let started = Instant::now();
    let count = 2 + WORKERS + UPSTREAMS + 3 * 7;
    let mut addresses = free_addresses(count)?.into_iter();
    let store = addresses.next().context("no address left")?;
    let vms = addresses.next().context("no address left")?;
    let machines = machines(&mut addresses)?;
    let entries = entries(&mut addresses, store, vms)?;
    let stand_in = StandInServer::start(&StandInSettings { store, vms, machines })?;
    println!("starting {} entries, {WORKERS} workers, {UPSTREAMS} upstreams", entries.len());
    let mut processes = BTreeMap::new();
    for entry in &entries {
        let process = EntryProcess::start(entry, metrics.clone())?;
        processes.insert(entry.name.clone(), process);
    }
    let ready = load::wait_ready(&entries, START_TIME)?;
    println!("ready after {:.1} s", started.elapsed().as_secs_f64());
    let confirmed = load::confirm_intents(&entries)?;
    let jobs = JobLoad::start(&entries, settings)?;
    let callers = CallerLoad::start(&entries, settings, LOAD_TIME)?;
    let mut packing = PackingSample::default();
    packing.watch(&stand_in, STOP_AFTER);
    let stopped = entries.first().and_then(|entry| processes.remove(&entry.name));
    let stop_whole = stopped.is_none_or(EntryProcess::drain);
    println!(
        "planned stop of {}: requests cut: {}",
        entries[0].name,
        if stop_whole { "none" } else { "some" }
    );
    let calls = callers.finish()?;
    packing.watch(&stand_in, SAMPLE_INTERVAL);
    let jobs = jobs.finish(&entries, JOB_TIME)?;
    let elapsed = started.elapsed();
    for process in processes.into_values() {
        process.kill();
    }
    let report = LoadReport { calls, jobs };
    let checks = Checks::new(&stand_in, &report, ready, confirmed, stop_whole);
    packing.print();
    print_report(&stand_in, &report, &metrics, elapsed);
    let good = checks.print();
    stand_in.stop();
    Ok(good)
}

/// Cores in use at the fullest moment seen.
#[derive(Debug, Default)]
struct PackingSample {
    used: u64,
    opened: u64,
}

impl PackingSample {
    /// Looks at the workers for a while.
    fn watch(&mut self, stand_in: &StandInServer, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            let (used, opened) = stand_in.with(|state| {
                let busy = state.workers.values().map(|worker| worker.used().millicores);
                let busy: Vec<u64> = busy.filter(|used| *used > 0).map(u64::from).collect();
                (busy.iter().sum(), busy.len() as u64 * u64::from(WORKER.millicores))
            });
            if used > self.used {
                (self.used, self.opened) = (used, opened);
            }
            sleep(SAMPLE_INTERVAL);
        }
    }

    fn print(&self) {
        let all = (WORKERS as u64 * u64::from(WORKER.millicores)) as f64;
        let (used, opened) = (self.used as f64, self.opened.max(1) as f64);
        println!(
            "packing at the fullest moment: {:.1}% of all cores, {:.1}% of the workers in use",
            100.0 * used / all,
            100.0 * used / opened
        );
    }
}

struct Checks(Vec<(&'static str, bool)>);

impl Checks {
    fn new(
        stand_in: &StandInServer,
        report: &LoadReport,
        ready: bool,
        confirmed: bool,
        stop_whole: bool,
    ) -> Self {
        let (over_slots, twice) = stand_in.with(|state| {
            let over: u64 = state.upstreams.values().map(|u| u.count().over_slots).sum();
            let mut marks: BTreeMap<&str, u32> = BTreeMap::new();
            for (mark, count) in state.upstreams.values().flat_map(|u| u.marks()) {
                *marks.entry(mark).or_default() += count;
            }
            let calls = &report.calls;
            let once =
                calls.once.iter().filter(|m| marks.get(m.as_str()).copied().unwrap_or(0) > 1);
            let no = calls.not_run.iter().filter(|m| marks.contains_key(m.as_str()));
            (over, (once.count(), no.count()))
        });
        let overlaps = stand_in.with(|state| load::overlapping_runs(state));
        Self(vec![
            ("all entries were ready", ready),
            ("all plans were confirmed", confirmed),
            ("the planned stop cut no request", stop_whole),
            ("every request had an answer", report.calls.unanswered == 0),
            ("every answer was whole and its caller's own", report.calls.foreign == 0),
            ("no request was left unknown", report.calls.unknown == 0),
            ("no upstream had more requests than slots", over_slots == 0),
            ("not-idempotent requests ran at most once", twice.0 == 0),
            ("what was answered as not run never ran", twice.1 == 0),
            ("no task ran in two places", overlaps == 0),
            ("all jobs ended well", report.jobs.succeeded == report.jobs.submitted),
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
    let at = |q| histogram.value_at_quantile(q) as f64 / 1e3;
    format!("p50 {:.1} ms, p99 {:.1} ms ({} samples)", at(0.5), at(0.99), histogram.len())
}

fn print_report(
    stand_in: &StandInServer,
    report: &LoadReport,
    metrics: &PrometheusHandle,
    elapsed: Duration,
) {
    println!("requests, whole time of an answer:");
    for (urgency, histogram) in &report.calls.times {
        println!("  {urgency:<5} {}", quantiles(histogram));
    }
    println!(
        "answers: {} whole, {} not run, {} unknown",
        report.calls.whole,
        report.calls.not_run.len(),
        report.calls.unknown
    );
    println!("jobs, waiting from submit to start:");
    for (urgency, histogram) in &report.jobs.waits {
        println!("  {urgency:<5} {}", quantiles(histogram));
    }
    println!("jobs: {} of {} ended well", report.jobs.succeeded, report.jobs.submitted);
    let (reads, writes, watches) = stand_in.with(|state| {
        let (reads, writes) = state.store.calls();
        (reads, writes, state.watches)
    });
    let rate = |count: u64| count as f64 / elapsed.as_secs_f64();
    println!(
        "store calls a second: {:.1} reads, {:.1} swaps, {:.1} watches",
        rate(reads),
        rate(writes),
        rate(watches)
    );
    let page = metrics.render();
    for line in page.lines().filter(|line| line.starts_with("kelplink_ring_full")) {
        println!("{line}");
    }
}
