//! Benchmarks of the decisions, most of them in virtual time, each with a baseline or a bound.
//!
//! `cargo bench --bench decisions` prints all results. Only ratios between figures of the same run
//! are meaningful.

mod backlog;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use hdrhistogram::Histogram;
use kelplink::{
    ConfigRevision, CutOffRule, DemandReport, EntryId, FencingToken, IntentSpec, JobId, JobKind,
    JobRecord, JobSpec, PlacementAction, RequestRouter, ResourceVector, RouteAction, RouteOutcome,
    ShareTable, SlotRequest, SpreadRule, TaskEnd, TaskId, TaskOutcome, TaskScheduler, TaskUsage,
    TimingSettings, UpstreamSpec, Urgency, WorkerId, WorkerSpec,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

/// Start of the virtual time, in milliseconds since the Unix epoch.
const START_UNIX_MS: u64 = 1_800_000_000_000;

fn main() {
    println!("one pass of a leader with 350 workers while jobs wait");
    for (name, age, free) in [
        ("full workers, jobs in time", Duration::ZERO, 0),
        ("full workers, jobs without value", Duration::from_secs(600), 0),
        ("half a task free on each worker, jobs in time", Duration::ZERO, 2_000),
    ] {
        println!("  {name}");
        for jobs in [100, 1_000, 10_000] {
            backlog::measure(jobs, age, free);
        }
    }
    if std::env::args().any(|argument| argument == "backlog") {
        return;
    }
    println!("one placement decision (pass with one new task among busy workers)");
    for workers in [50, 104, 620, 6_200] {
        placement(workers);
    }
    println!("one routing decision (arrive + finish), 50 upstreams of 8 slots");
    routing();
    println!("waiting and packing, virtual time, declared sizes and run times off by up to 5x");
    for shape in [DeploymentShape::hydrosyndesi(), DeploymentShape::geoptique()] {
        for load in [0.7, 0.9] {
            compare_policies(&shape, load);
        }
        batch_packing(&shape);
    }
    println!("overload of one entry, 50 upstreams x 8 slots, 20 ms service time, 1 s deadline");
    for load in [0.8, 1.0, 2.0, 5.0] {
        overload(load);
    }
    println!("slots shared by 3 entries, all demand at one of them");
    share_shift();
    println!("state as it is stored, bytes");
    sizes();
}

/// Sizes of stored jobs and configurations.
fn sizes() {
    let need = ResourceVector::new(1_000, 1_000, 0);
    for tasks in [1, 10, 100, 1_000] {
        let mut record = JobRecord::new(JobSpec {
            count: tasks,
            ..spec("workspace/job-123456", need, Urgency::Soon, Duration::from_secs(60))
        });
        let open = serde_json::to_string(&record).map_or(0, |text| text.len());
        record.ended = (0..tasks).map(|index| (index, TaskEnd::Succeeded)).collect();
        let ended = serde_json::to_string(&record).map_or(0, |text| text.len());
        println!("  job of {tasks} tasks: {open} open, {ended} ended");
    }
    for intents in [10, 74, 300, 1_000] {
        let mut config = ConfigRevision::default();
        for number in 0..intents {
            config = config.with(&intent(number), &format!("entry-1800000000000-{number}"));
        }
        let bytes = serde_json::to_string(&config).map_or(0, |text| text.len());
        println!("  configuration of {intents} intents: {bytes}");
    }
}

fn intent(number: u32) -> IntentSpec {
    IntentSpec {
        workspace: format!("workspace-{}", number % 74).as_str().into(),
        name: format!("service-{number}").as_str().into(),
        kind: JobKind::Service,
        need: ResourceVector::new(1_000, 1_000, 1),
        count: 6,
        urgency: Urgency::Now,
        idempotent: true,
        spread: SpreadRule::FailureDomain,
        cut_off: CutOffRule::Move,
        domain: None,
        run_time: None,
        quota: Some(ResourceVector::new(100_000, 100_000, 10)),
        command: "serve --port 8080".to_owned(),
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three significant digits are a valid precision")
}

fn format_quantiles(histogram: &Histogram<u64>) -> String {
    let quantile_us = |q| histogram.value_at_quantile(q) as f64 / 1e3;
    format!(
        "p50 {:.2} us, p99 {:.2} us, max {:.1} us",
        quantile_us(0.5),
        quantile_us(0.99),
        quantile_us(1.0)
    )
}

fn spec(id: &str, need: ResourceVector, urgency: Urgency, run: Duration) -> JobSpec {
    JobSpec {
        id: id.into(),
        workspace: format!("ws{}", id.len() % 5).as_str().into(),
        intent: format!("ws/{}-{}", need.millicores, need.accelerators).as_str().into(),
        revision: 1,
        kind: JobKind::Batch,
        need,
        count: 1,
        urgency,
        idempotent: true,
        spread: SpreadRule::None,
        cut_off: CutOffRule::Stay,
        run_time: Some(run),
        command: String::new(),
        accepted: START_UNIX_MS,
    }
}

fn worker(number: usize, capacity: ResourceVector) -> WorkerSpec {
    WorkerSpec {
        id: format!("w{number:05}").as_str().into(),
        rack: format!("r{}", number / 8).as_str().into(),
        capacity,
    }
}

/// Duration of a scheduling pass that places one task when the workers are about 70% full.
fn placement(workers: usize) {
    let mut rng = StdRng::seed_from_u64(1);
    let mut scheduler = TaskScheduler::new();
    let mut capacities = Vec::new();
    for number in 0..workers {
        let accelerators = if number % 3 == 0 { 2 } else { 0 };
        let capacity = ResourceVector::new(32_000, 64_000, accelerators);
        scheduler.add_worker(worker(number, capacity));
        capacities.push(capacity);
    }
    let now = Instant::now();
    let random_need = |rng: &mut StdRng| {
        ResourceVector::new(rng.random_range(1..9) * 500, rng.random_range(1..9) * 1_000, 0)
    };
    let mut running: Vec<(WorkerId, TaskId)> = Vec::new();
    let warmup_jobs = workers * 10;
    let (mut pass_times, mut baseline_times) = (new_histogram(), new_histogram());
    for number in 0..warmup_jobs + 5_000 {
        let id = format!("j{number}");
        let need = random_need(&mut rng);
        scheduler.add_job(
            &JobRecord::new(spec(&id, need, Urgency::Now, Duration::from_secs(60))),
            false,
        );
        let started = std::time::Instant::now();
        let actions = scheduler.pass(now, START_UNIX_MS);
        let pass_time = started.elapsed();
        if number >= warmup_jobs {
            let _ = pass_times.record(u64::try_from(pass_time.as_nanos()).unwrap_or(u64::MAX));
            let started = std::time::Instant::now();
            let found = capacities.iter().position(|capacity| need.fits(capacity));
            let _ = baseline_times
                .record(u64::try_from(started.elapsed().as_nanos()).unwrap_or(u64::MAX));
            std::hint::black_box(found);
        }
        for action in actions {
            if let PlacementAction::Start { worker, task, .. } = action {
                running.push((worker, task));
            }
        }
        while running.len() > warmup_jobs * 7 / 10 {
            let index = rng.random_range(0..running.len());
            let (worker, task) = running.swap_remove(index);
            let usage = TaskUsage { run_time: Duration::from_secs(60), peak: need };
            scheduler.task_ended(now, &worker, &task, &TaskOutcome::Succeeded, &usage);
        }
    }
    println!(
        "  {workers:>5} workers: {}; first fit alone: {}",
        format_quantiles(&pass_times),
        format_quantiles(&baseline_times)
    );
}

/// Duration of the router's decision about one arriving request.
fn routing() {
    let now = Instant::now();
    let timing = TimingSettings::default();
    let entry: EntryId = "e0".into();
    let mut router = RequestRouter::new(entry.clone(), 1, 1_024, timing);
    let token = FencingToken::granted(1, entry.clone());
    let mut shares = ShareTable::new(now, token, [entry], timing);
    shares.set_upstreams((0..50).map(upstream).collect());
    exchange_shares(&mut router, &mut shares, now);
    let mut rng = StdRng::seed_from_u64(2);
    let mut times = new_histogram();
    let mut busy: Vec<UpstreamSpec> = Vec::new();
    for id in 0..200_000 {
        let request = slot_request(id, now + Duration::from_secs(1));
        let started = std::time::Instant::now();
        let actions = router.route_request(now, request);
        let _ = times.record(u64::try_from(started.elapsed().as_nanos()).unwrap_or(u64::MAX));
        for action in actions {
            if let RouteAction::Send(_, spec) = action {
                busy.push(spec);
            }
        }
        while busy.len() > 200 {
            let index = rng.random_range(0..busy.len());
            let spec = busy.swap_remove(index);
            router.finish(now, &spec.id, RouteOutcome::Answered, Duration::from_millis(20));
        }
    }
    println!("  {}", format_quantiles(&times));
}

fn upstream(number: usize) -> UpstreamSpec {
    UpstreamSpec {
        id: format!("u{number:02}").as_str().into(),
        service: "ws/svc".into(),
        address: ([127, 0, 0, 1], 1).into(),
        slots: 8,
    }
}

fn slot_request(id: u64, deadline: Instant) -> SlotRequest {
    let (service, workspace) = ("ws/svc".into(), "ws".into());
    SlotRequest { id, service, workspace, rank: u8::from(id.is_multiple_of(2)), deadline }
}

/// Reports the demand of `router` and applies the slots that the leader grants for it.
fn exchange_shares(
    router: &mut RequestRouter,
    shares: &mut ShareTable,
    now: Instant,
) -> Vec<RouteAction> {
    let report: DemandReport = router.report(now);
    match shares.report(now, &report) {
        Some(grant) => router.apply(now, &grant),
        None => Vec::new(),
    }
}

/// Workers and workload of a deployment.
struct DeploymentShape {
    name: &'static str,
    capacities: Vec<ResourceVector>,
    /// Share of jobs, resources needed, mean run time, whether urgent.
    work: Vec<(f64, ResourceVector, Duration, bool)>,
}

impl DeploymentShape {
    fn hydrosyndesi() -> Self {
        Self {
            name: "Hydrosyndesi, 50 x 32 cores",
            capacities: vec![ResourceVector::new(32_000, 64_000, 0); 50],
            work: vec![
                (0.6, ResourceVector::new(1_000, 1_500, 0), Duration::from_secs(8), true),
                (0.4, ResourceVector::new(4_000, 8_000, 0), Duration::from_secs(120), false),
            ],
        }
    }

    fn geoptique() -> Self {
        let plain = ResourceVector::new(16_000, 64_000, 0);
        let accelerated = ResourceVector::new(16_000, 64_000, 4);
        let capacities = (0..50).map(|n| if n % 2 == 0 { accelerated } else { plain }).collect();
        Self {
            name: "Geoptique, 50 x 16 cores, 100 accelerators",
            capacities,
            work: vec![
                (0.5, ResourceVector::new(1_000, 2_000, 0), Duration::from_secs(6), true),
                (0.3, ResourceVector::new(2_000, 8_000, 1), Duration::from_secs(180), false),
                (0.2, ResourceVector::new(4_000, 12_000, 0), Duration::from_secs(120), false),
            ],
        }
    }

    fn total(&self) -> ResourceVector {
        self.capacities.iter().fold(ResourceVector::default(), |sum, c| sum.saturating_add(c))
    }

    /// Draws a job from the workload.
    fn pick(&self, rng: &mut StdRng) -> (ResourceVector, Duration, bool) {
        let mut position: f64 = rng.random_range(0.0..1.0);
        for (share, need, run, urgent) in &self.work {
            if position < *share {
                return (*need, *run, *urgent);
            }
            position -= share;
        }
        let (_, need, run, urgent) = self.work[0];
        (need, run, urgent)
    }
}

/// Arrival of a job.
#[derive(Clone, Copy)]
struct JobArrival {
    /// Time of arrival, from the start of the run.
    arrival_time: Duration,
    need: ResourceVector,
    /// Actual run time.
    run: Duration,
    /// Declared run time.
    declared: Duration,
    urgent: bool,
}

/// Draws arrivals that use the fraction `load` of the capacity on average.
fn arrivals(shape: &DeploymentShape, load: f64, time: Duration) -> Vec<JobArrival> {
    let mut rng = StdRng::seed_from_u64(3);
    let total = shape.total();
    let mean_work: f64 = shape
        .work
        .iter()
        .map(|(share, need, run, _)| share * need.dominant_share(&total) * run.as_secs_f64())
        .sum();
    let rate = load / mean_work;
    let mut elapsed = 0.0;
    let mut arrivals = Vec::new();
    while elapsed < time.as_secs_f64() {
        elapsed += -rng.random_range(f64::EPSILON..1.0_f64).ln() / rate;
        let (need, mean_run, urgent) = shape.pick(&mut rng);
        let run = mean_run.mul_f64(-rng.random_range(f64::EPSILON..1.0_f64).ln());
        let declared = run.mul_f64(rng.random_range(0.2..5.0));
        arrivals.push(JobArrival {
            arrival_time: Duration::from_secs_f64(elapsed),
            need,
            run,
            declared,
            urgent,
        });
    }
    arrivals
}

/// Result of a policy.
struct PolicyRun {
    /// Waiting times of urgent jobs in microseconds.
    urgent: Histogram<u64>,
    /// Waiting times of other jobs in microseconds.
    other: Histogram<u64>,
    /// Mean of the dominant share in use over time.
    used: f64,
}

/// Compares the scheduler with first come, first served and first fit.
fn compare_policies(shape: &DeploymentShape, load: f64) {
    let time = Duration::from_secs(1_200);
    let arrivals = arrivals(shape, load, time);
    let kelplink_run = run_kelplink(shape, &arrivals, time);
    let first_fit_run = run_first_fit(shape, &arrivals, time);
    let print_run = |name: &str, run: &PolicyRun| {
        let quantile_s = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1e6;
        println!(
            "    {name:<12} urgent p50 {:.3} s p99 {:.3} s; other p50 {:.1} s p99 {:.1} s; in use {:.1}%",
            quantile_s(&run.urgent, 0.5),
            quantile_s(&run.urgent, 0.99),
            quantile_s(&run.other, 0.5),
            quantile_s(&run.other, 0.99),
            100.0 * run.used
        );
    };
    println!(
        "  {} at {:.0}% load, {} jobs (zero wait is the bound)",
        shape.name,
        100.0 * load,
        arrivals.len()
    );
    print_run("kelplink", &kelplink_run);
    print_run("FCFS + FF", &first_fit_run);
}

/// Ends of running tasks: time and job number.
type EndQueue = BinaryHeap<Reverse<(Duration, usize)>>;

/// Runs the arrivals with the scheduler in virtual time.
fn run_kelplink(shape: &DeploymentShape, arrivals: &[JobArrival], time: Duration) -> PolicyRun {
    let mut scheduler = TaskScheduler::new();
    for (number, capacity) in shape.capacities.iter().enumerate() {
        scheduler.add_worker(worker(number, *capacity));
    }
    let base = Instant::now();
    let mut run = PolicyRun { urgent: new_histogram(), other: new_histogram(), used: 0.0 };
    let mut ends: EndQueue = BinaryHeap::new();
    let mut placed_on: Vec<Option<WorkerId>> = vec![None; arrivals.len()];
    let mut started: Vec<Option<Duration>> = vec![None; arrivals.len()];
    let mut remaining: Vec<Duration> = arrivals.iter().map(|arrival| arrival.run).collect();
    let mut next = 0;
    let (mut elapsed, mut area, mut in_use) = (Duration::ZERO, 0.0, ResourceVector::default());
    let total = shape.total();
    while elapsed < time {
        let next_arrival = arrivals.get(next).map_or(Duration::MAX, |arrival| arrival.arrival_time);
        let next_end = ends.peek().map_or(Duration::MAX, |Reverse((end, _))| *end);
        let next_wake = scheduler.next_wake().map_or(Duration::MAX, |wake| wake - base);
        let step_end = next_arrival.min(next_end).min(next_wake.max(elapsed)).min(time);
        area += in_use.dominant_share(&total) * (step_end - elapsed).as_secs_f64();
        elapsed = step_end;
        let now = base + elapsed;
        let unix_ms = START_UNIX_MS + u64::try_from(elapsed.as_millis()).unwrap_or(0);
        if next_arrival <= elapsed {
            let JobArrival { need, declared, urgent, .. } = arrivals[next];
            let urgency = if urgent { Urgency::Now } else { Urgency::Soon };
            let spec =
                JobSpec { accepted: unix_ms, ..spec(&format!("{next}"), need, urgency, declared) };
            scheduler.add_job(&JobRecord::new(spec), false);
            next += 1;
        }
        while ends.peek().is_some_and(|Reverse((end, _))| *end <= elapsed) {
            let Some(Reverse((_, number))) = ends.pop() else { break };
            let Some(worker) = placed_on[number].take() else { continue };
            let task: TaskId = (JobId::from(format!("{number}").as_str()), 0);
            in_use = in_use.saturating_sub(&arrivals[number].need);
            let usage = TaskUsage { run_time: arrivals[number].run, peak: arrivals[number].need };
            scheduler.task_ended(now, &worker, &task, &TaskOutcome::Succeeded, &usage);
        }
        loop {
            let actions = scheduler.pass(now, unix_ms);
            let mut stopped = Vec::new();
            for action in actions {
                match action {
                    PlacementAction::Start { worker, task, .. } => {
                        let number: usize = task.0.parse().unwrap_or(0);
                        scheduler.task_running(now, &task, u64::MAX);
                        if started[number].is_none() {
                            let waited = u64::try_from(
                                (elapsed - arrivals[number].arrival_time).as_micros(),
                            )
                            .unwrap_or(0);
                            let wait_times = if arrivals[number].urgent {
                                &mut run.urgent
                            } else {
                                &mut run.other
                            };
                            let _ = wait_times.record(waited);
                        }
                        started[number] = Some(elapsed);
                        placed_on[number] = Some(worker);
                        in_use = in_use.saturating_add(&arrivals[number].need);
                        ends.push(Reverse((elapsed + remaining[number], number)));
                    }
                    PlacementAction::Stop { worker, task, .. } => stopped.push((worker, task)),
                    _ => {}
                }
            }
            if stopped.is_empty() {
                break;
            }
            for (worker, task) in stopped {
                let number: usize = task.0.parse().unwrap_or(0);
                placed_on[number] = None;
                in_use = in_use.saturating_sub(&arrivals[number].need);
                let ran = started[number].map_or(Duration::ZERO, |since| elapsed - since);
                remaining[number] = remaining[number].saturating_sub(ran);
                ends.retain(|Reverse((_, other))| *other != number);
                let usage = TaskUsage::default();
                scheduler.task_ended(now, &worker, &task, &TaskOutcome::Stopped, &usage);
            }
        }
    }
    run.used = area / time.as_secs_f64();
    run
}

/// Runs the arrivals first come, first served with first fit: the first job that does not fit blocks
/// all later ones.
fn run_first_fit(shape: &DeploymentShape, arrivals: &[JobArrival], time: Duration) -> PolicyRun {
    let mut unused = shape.capacities.clone();
    let mut run = PolicyRun { urgent: new_histogram(), other: new_histogram(), used: 0.0 };
    let mut ends: BinaryHeap<Reverse<(Duration, usize, usize)>> = BinaryHeap::new();
    let mut queue = std::collections::VecDeque::new();
    let (mut elapsed, mut area, mut in_use, mut next) =
        (Duration::ZERO, 0.0, ResourceVector::default(), 0);
    let total = shape.total();
    while elapsed < time {
        let next_arrival = arrivals.get(next).map_or(Duration::MAX, |arrival| arrival.arrival_time);
        let next_end = ends.peek().map_or(Duration::MAX, |Reverse((end, ..))| *end);
        let step_end = next_arrival.min(next_end).min(time);
        area += in_use.dominant_share(&total) * (step_end - elapsed).as_secs_f64();
        elapsed = step_end;
        if next_arrival <= elapsed {
            queue.push_back(next);
            next += 1;
        }
        while ends.peek().is_some_and(|Reverse((end, ..))| *end <= elapsed) {
            let Some(Reverse((_, number, worker))) = ends.pop() else { break };
            unused[worker] = unused[worker].saturating_add(&arrivals[number].need);
            in_use = in_use.saturating_sub(&arrivals[number].need);
        }
        while let Some(number) = queue.front().copied() {
            let need = arrivals[number].need;
            let Some(worker) = unused.iter().position(|free| need.fits(free)) else { break };
            queue.pop_front();
            unused[worker] = unused[worker].saturating_sub(&need);
            in_use = in_use.saturating_add(&need);
            let waited =
                u64::try_from((elapsed - arrivals[number].arrival_time).as_micros()).unwrap_or(0);
            let wait_times = if arrivals[number].urgent { &mut run.urgent } else { &mut run.other };
            let _ = wait_times.record(waited);
            ends.push(Reverse((elapsed + arrivals[number].run, number, worker)));
        }
    }
    run.used = area / time.as_secs_f64();
    run
}

/// Share of the capacity in use when more batch work waits than fits on the workers.
fn batch_packing(shape: &DeploymentShape) {
    let mut rng = StdRng::seed_from_u64(4);
    let mut scheduler = TaskScheduler::new();
    for (number, capacity) in shape.capacities.iter().enumerate() {
        scheduler.add_worker(worker(number, *capacity));
    }
    let mut unused = shape.capacities.clone();
    let mut first_fit_in_use = ResourceVector::default();
    let mut needs = BTreeMap::new();
    let mut blocked = false;
    for number in 0..4_000 {
        let (need, run, _) = shape.pick(&mut rng);
        let scale = rng.random_range(1..6);
        let need = ResourceVector::new(
            need.millicores * scale / 3 + 1,
            need.memory_mib * scale / 3 + 1,
            need.accelerators,
        );
        needs.insert(format!("{number}"), need);
        scheduler
            .add_job(&JobRecord::new(spec(&format!("{number}"), need, Urgency::Soon, run)), false);
        match unused.iter().position(|free| need.fits(free)) {
            Some(worker) if !blocked => {
                unused[worker] = unused[worker].saturating_sub(&need);
                first_fit_in_use = first_fit_in_use.saturating_add(&need);
            }
            _ => blocked = true,
        }
    }
    let mut in_use = ResourceVector::default();
    let now = Instant::now();
    for second in 0..60 {
        let pass_time = now + Duration::from_secs(second);
        for action in scheduler.pass(pass_time, START_UNIX_MS + second * 1_000) {
            if let PlacementAction::Start { need, .. } = action {
                in_use = in_use.saturating_add(&need);
            }
        }
    }
    let total = shape.total();
    let bound = 1.0;
    println!(
        "  {} with more batch work than capacity: kelplink {:.1}% of the dominant resource, FCFS + FF {:.1}%, volume bound {:.0}%",
        shape.name,
        100.0 * in_use.dominant_share(&total),
        100.0 * first_fit_in_use.dominant_share(&total),
        100.0 * bound
    );
}

/// Answers in time under overload, with and without admission control by expected waiting time.
fn overload(load: f64) {
    let with_admission = overload_run(load, 1_024, true);
    let without_admission = overload_run(load, usize::MAX, false);
    println!(
        "  load {load:.1}: kelplink {:.0} answers in time of {:.0} a second ({:.1}% of capacity, urgent p99 wait {:.0} ms); \
         no admission {:.0} ({:.1}%)",
        with_admission.0,
        with_admission.2,
        100.0 * with_admission.0 / SERVICE_RATE,
        with_admission.1,
        without_admission.0,
        100.0 * without_admission.0 / SERVICE_RATE
    );
}

/// Requests per second that 400 slots serve at 20 ms per request.
const SERVICE_RATE: f64 = 400.0 / 0.020;

/// Returns answers in time per second, the p99 waiting time of urgent requests in milliseconds, and
/// arrivals per second.
fn overload_run(load: f64, queue_limit: usize, admission: bool) -> (f64, f64, f64) {
    let base = Instant::now();
    let timing =
        TimingSettings { share_ttl: Duration::from_secs(3_600), ..TimingSettings::default() };
    let entry: EntryId = "e0".into();
    let mut router = RequestRouter::new(entry.clone(), 1, queue_limit, timing);
    let token = FencingToken::granted(1, entry.clone());
    let mut shares = ShareTable::new(base, token, [entry], timing);
    shares.set_upstreams((0..50).map(upstream).collect());
    exchange_shares(&mut router, &mut shares, base);
    let mut rng = StdRng::seed_from_u64(5);
    let time = Duration::from_secs(10);
    let deadline = Duration::from_secs(1);
    let max_wait = if admission { deadline } else { Duration::from_secs(3_600) };
    let rate = load * SERVICE_RATE;
    let mut ends: BinaryHeap<Reverse<(Duration, u64, usize)>> = BinaryHeap::new();
    let mut arrived: Vec<Duration> = Vec::new();
    let mut wait_times = new_histogram();
    let (mut in_time, mut next_arrival, mut elapsed) = (0_u64, Duration::ZERO, Duration::ZERO);
    while elapsed < time {
        let next_end = ends.peek().map_or(Duration::MAX, |Reverse((end, ..))| *end);
        elapsed = next_arrival.min(next_end);
        let now = base + elapsed;
        let actions = match next_arrival <= next_end {
            true => {
                let id = arrived.len() as u64;
                arrived.push(elapsed);
                next_arrival +=
                    Duration::from_secs_f64(-rng.random_range(f64::EPSILON..1.0_f64).ln() / rate);
                router.route_request(now, slot_request(id, now + max_wait))
            }
            false => {
                let Some(Reverse((_, request, upstream))) = ends.pop() else { break };
                let arrived_at = arrived[usize::try_from(request).unwrap_or(0)];
                in_time += u64::from(elapsed - arrived_at <= deadline);
                let id = format!("u{upstream:02}").as_str().into();
                router.finish(now, &id, RouteOutcome::Answered, Duration::from_millis(20))
            }
        };
        for action in actions {
            if let RouteAction::Send(id, spec) = action {
                let upstream: usize = spec.id[1..].parse().unwrap_or(0);
                ends.push(Reverse((elapsed + Duration::from_millis(20), id, upstream)));
                if id % 2 == 1 {
                    let waited = elapsed - arrived[usize::try_from(id).unwrap_or(0)];
                    let _ = wait_times.record(u64::try_from(waited.as_micros()).unwrap_or(0));
                }
            }
        }
    }
    let seconds = time.as_secs_f64();
    let p99 = wait_times.value_at_quantile(0.99) as f64 / 1e3;
    (in_time as f64 / seconds, p99, arrived.len() as f64 / seconds)
}

/// Number of report rounds until the slots have moved to the entry with all the demand.
fn share_shift() {
    let base = Instant::now();
    let timing = TimingSettings::default();
    let entries: Vec<EntryId> =
        ["e0", "e1", "e2"].iter().map(|name| EntryId::from(*name)).collect();
    let token = FencingToken::granted(1, entries[0].clone());
    let mut shares = ShareTable::new(base, token, entries.clone(), timing);
    shares.set_upstreams((0..50).map(upstream).collect());
    let mut routers: Vec<RequestRouter> =
        entries.iter().map(|entry| RequestRouter::new(entry.clone(), 1, 1_024, timing)).collect();
    let mut now = base;
    for _ in 0..8 {
        now += Duration::from_millis(250);
        routers.iter_mut().for_each(|router| drop(exchange_shares(router, &mut shares, now)));
    }
    for id in 0..600 {
        routers[0].route_request(now, slot_request(id, now + Duration::from_secs(60)));
    }
    let in_use_before = routers[0].in_use();
    let mut rounds = 0;
    while routers[0].in_use() < 390 && rounds < 100 {
        rounds += 1;
        now += Duration::from_millis(100);
        routers.iter_mut().for_each(|router| drop(exchange_shares(router, &mut shares, now)));
    }
    println!(
        "  {in_use_before} slots in use before, {} of 400 after {rounds} rounds of reports (100 ms apart under load)",
        routers[0].in_use()
    );
}
