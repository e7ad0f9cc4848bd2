//! Decisions measured in virtual time, each against a baseline and a bound.
//!
//! `cargo bench --bench decisions` prints everything; ratios hold within one run.

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

const UNIX: u64 = 1_800_000_000_000;

fn main() {
    println!("one placement decision (pass with one new task among busy workers)");
    for workers in [50, 104, 620, 6_200] {
        placement(workers);
    }
    println!("one routing decision (arrive + finish), 50 upstreams of 8 slots");
    routing();
    println!("waiting and packing, virtual time, declared sizes and run times off by up to 5x");
    for shape in [Shape::hydrosyndesi(), Shape::geoptique()] {
        for load in [0.7, 0.9] {
            policy(&shape, load);
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

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are allowed")
}

fn micros(histogram: &Histogram<u64>) -> String {
    let at = |q| histogram.value_at_quantile(q) as f64 / 1e3;
    format!("p50 {:.2} us, p99 {:.2} us, max {:.1} us", at(0.5), at(0.99), at(1.0))
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
        accepted: UNIX,
    }
}

fn worker(number: usize, capacity: ResourceVector) -> WorkerSpec {
    WorkerSpec {
        id: format!("w{number:05}").as_str().into(),
        rack: format!("r{}", number / 8).as_str().into(),
        capacity,
    }
}

/// The time of a pass that places one task on workers that are about 70% full.
fn placement(workers: usize) {
    let mut rng = StdRng::seed_from_u64(1);
    let mut scheduler = TaskScheduler::new();
    let mut first_fit = Vec::new();
    for number in 0..workers {
        let accelerators = if number % 3 == 0 { 2 } else { 0 };
        let capacity = ResourceVector::new(32_000, 64_000, accelerators);
        scheduler.add_worker(worker(number, capacity));
        first_fit.push(capacity);
    }
    let now = Instant::now();
    let need = |rng: &mut StdRng| {
        ResourceVector::new(rng.random_range(1..9) * 500, rng.random_range(1..9) * 1_000, 0)
    };
    let mut running: Vec<(WorkerId, TaskId)> = Vec::new();
    let fill = workers * 10;
    let (mut own, mut baseline) = (histogram(), histogram());
    for number in 0..fill + 5_000 {
        let id = format!("j{number}");
        let wanted = need(&mut rng);
        scheduler.add_job(
            &JobRecord::new(spec(&id, wanted, Urgency::Now, Duration::from_secs(60))),
            false,
        );
        let started = std::time::Instant::now();
        let actions = scheduler.pass(now, UNIX);
        let taken = started.elapsed();
        if number >= fill {
            let _ = own.record(u64::try_from(taken.as_nanos()).unwrap_or(u64::MAX));
            let started = std::time::Instant::now();
            let found = first_fit.iter().position(|room| wanted.fits(room));
            let _ =
                baseline.record(u64::try_from(started.elapsed().as_nanos()).unwrap_or(u64::MAX));
            std::hint::black_box(found);
        }
        for action in actions {
            if let PlacementAction::Start { worker, task, .. } = action {
                running.push((worker, task));
            }
        }
        while running.len() > fill * 7 / 10 {
            let place = rng.random_range(0..running.len());
            let (worker, task) = running.swap_remove(place);
            let usage = TaskUsage { run_time: Duration::from_secs(60), peak: wanted };
            scheduler.task_ended(now, &worker, &task, &TaskOutcome::Succeeded, &usage);
        }
    }
    println!("  {workers:>5} workers: {}; first fit alone: {}", micros(&own), micros(&baseline));
}

fn routing() {
    let now = Instant::now();
    let timing = TimingSettings::default();
    let entry: EntryId = "e0".into();
    let mut router = RequestRouter::new(entry.clone(), 1, 1_024, timing);
    let token = FencingToken::granted(1, entry.clone());
    let mut shares = ShareTable::new(now, token, [entry], timing);
    shares.set_upstreams((0..50).map(upstream).collect());
    supply(&mut router, &mut shares, now);
    let mut rng = StdRng::seed_from_u64(2);
    let mut times = histogram();
    let mut busy: Vec<UpstreamSpec> = Vec::new();
    for id in 0..200_000 {
        let ticket = ticket(id, now + Duration::from_secs(1));
        let started = std::time::Instant::now();
        let actions = router.route_request(now, ticket);
        let _ = times.record(u64::try_from(started.elapsed().as_nanos()).unwrap_or(u64::MAX));
        for action in actions {
            if let RouteAction::Send(_, spec) = action {
                busy.push(spec);
            }
        }
        while busy.len() > 200 {
            let place = rng.random_range(0..busy.len());
            let spec = busy.swap_remove(place);
            router.finish(now, &spec.id, RouteOutcome::Answered, Duration::from_millis(20));
        }
    }
    println!("  {}", micros(&times));
}

fn upstream(number: usize) -> UpstreamSpec {
    UpstreamSpec {
        id: format!("u{number:02}").as_str().into(),
        service: "ws/svc".into(),
        address: ([127, 0, 0, 1], 1).into(),
        slots: 8,
    }
}

fn ticket(id: u64, deadline: Instant) -> SlotRequest {
    let (service, workspace) = ("ws/svc".into(), "ws".into());
    SlotRequest { id, service, workspace, rank: u8::from(id.is_multiple_of(2)), deadline }
}

fn supply(router: &mut RequestRouter, shares: &mut ShareTable, now: Instant) -> Vec<RouteAction> {
    let report: DemandReport = router.report(now);
    match shares.report(now, &report) {
        Some(grant) => router.apply(now, &grant),
        None => Vec::new(),
    }
}

/// A deployment's workers and work.
struct Shape {
    name: &'static str,
    capacities: Vec<ResourceVector>,
    /// Share of jobs, need, mean run time, urgency.
    work: Vec<(f64, ResourceVector, Duration, bool)>,
}

impl Shape {
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
        let with = ResourceVector::new(16_000, 64_000, 4);
        let capacities = (0..50).map(|n| if n % 2 == 0 { with } else { plain }).collect();
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

    fn pick(&self, rng: &mut StdRng) -> (ResourceVector, Duration, bool) {
        let mut place: f64 = rng.random_range(0.0..1.0);
        for (share, need, run, urgent) in &self.work {
            if place < *share {
                return (*need, *run, *urgent);
            }
            place -= share;
        }
        let (_, need, run, urgent) = self.work[0];
        (need, run, urgent)
    }
}

/// One arrival: when, need, true run time, declared run time, urgent.
#[derive(Clone, Copy)]
struct Arrival {
    at: Duration,
    need: ResourceVector,
    run: Duration,
    declared: Duration,
    urgent: bool,
}

fn arrivals(shape: &Shape, load: f64, time: Duration) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(3);
    let total = shape.total();
    let work: f64 = shape
        .work
        .iter()
        .map(|(share, need, run, _)| share * need.dominant_share(&total) * run.as_secs_f64())
        .sum();
    let rate = load / work;
    let mut at = 0.0;
    let mut all = Vec::new();
    while at < time.as_secs_f64() {
        at += -rng.random_range(f64::EPSILON..1.0_f64).ln() / rate;
        let (need, mean, urgent) = shape.pick(&mut rng);
        let run = mean.mul_f64(-rng.random_range(f64::EPSILON..1.0_f64).ln());
        let declared = run.mul_f64(rng.random_range(0.2..5.0));
        all.push(Arrival { at: Duration::from_secs_f64(at), need, run, declared, urgent });
    }
    all
}

/// What a policy did.
struct PolicyRun {
    urgent: Histogram<u64>,
    other: Histogram<u64>,
    /// Mean dominant share in use.
    used: f64,
}

fn policy(shape: &Shape, load: f64) {
    let time = Duration::from_secs(1_200);
    let all = arrivals(shape, load, time);
    let own = run_own(shape, &all, time);
    let base = run_first_fit(shape, &all, time);
    let line = |name: &str, run: &PolicyRun| {
        let at = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1e6;
        println!(
            "    {name:<12} urgent p50 {:.3} s p99 {:.3} s; other p50 {:.1} s p99 {:.1} s; in use {:.1}%",
            at(&run.urgent, 0.5),
            at(&run.urgent, 0.99),
            at(&run.other, 0.5),
            at(&run.other, 0.99),
            100.0 * run.used
        );
    };
    println!(
        "  {} at {:.0}% load, {} jobs (zero wait is the bound)",
        shape.name,
        100.0 * load,
        all.len()
    );
    line("kelplink", &own);
    line("FCFS + FF", &base);
}

/// Ends of running tasks: when, number.
type EndQueue = BinaryHeap<Reverse<(Duration, usize)>>;

fn run_own(shape: &Shape, all: &[Arrival], time: Duration) -> PolicyRun {
    let mut scheduler = TaskScheduler::new();
    for (number, capacity) in shape.capacities.iter().enumerate() {
        scheduler.add_worker(worker(number, *capacity));
    }
    let base = Instant::now();
    let mut run = PolicyRun { urgent: histogram(), other: histogram(), used: 0.0 };
    let mut ends: EndQueue = BinaryHeap::new();
    let mut place: Vec<Option<WorkerId>> = vec![None; all.len()];
    let mut started: Vec<Option<Duration>> = vec![None; all.len()];
    let mut left: Vec<Duration> = all.iter().map(|arrival| arrival.run).collect();
    let mut next = 0;
    let (mut at, mut area, mut held) = (Duration::ZERO, 0.0, ResourceVector::default());
    let total = shape.total();
    while at < time {
        let arrival = all.get(next).map_or(Duration::MAX, |arrival| arrival.at);
        let end = ends.peek().map_or(Duration::MAX, |Reverse((end, _))| *end);
        let wake = scheduler.next_wake().map_or(Duration::MAX, |at| at - base);
        let step = arrival.min(end).min(wake.max(at)).min(time);
        area += held.dominant_share(&total) * (step - at).as_secs_f64();
        at = step;
        let now = base + at;
        let unix = UNIX + u64::try_from(at.as_millis()).unwrap_or(0);
        if arrival <= at {
            let Arrival { need, declared, urgent, .. } = all[next];
            let urgency = if urgent { Urgency::Now } else { Urgency::Soon };
            let spec =
                JobSpec { accepted: unix, ..spec(&format!("{next}"), need, urgency, declared) };
            scheduler.add_job(&JobRecord::new(spec), false);
            next += 1;
        }
        while ends.peek().is_some_and(|Reverse((end, _))| *end <= at) {
            let Some(Reverse((_, number))) = ends.pop() else { break };
            let Some(worker) = place[number].take() else { continue };
            let task: TaskId = (JobId::from(format!("{number}").as_str()), 0);
            held = held.saturating_sub(&all[number].need);
            let usage = TaskUsage { run_time: all[number].run, peak: all[number].need };
            scheduler.task_ended(now, &worker, &task, &TaskOutcome::Succeeded, &usage);
        }
        loop {
            let actions = scheduler.pass(now, unix);
            let mut stopped = Vec::new();
            for action in actions {
                match action {
                    PlacementAction::Start { worker, task, .. } => {
                        let number: usize = task.0.parse().unwrap_or(0);
                        scheduler.task_running(now, &task, u64::MAX);
                        if started[number].is_none() {
                            let waited =
                                u64::try_from((at - all[number].at).as_micros()).unwrap_or(0);
                            let target =
                                if all[number].urgent { &mut run.urgent } else { &mut run.other };
                            let _ = target.record(waited);
                        }
                        started[number] = Some(at);
                        place[number] = Some(worker);
                        held = held.saturating_add(&all[number].need);
                        ends.push(Reverse((at + left[number], number)));
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
                place[number] = None;
                held = held.saturating_sub(&all[number].need);
                let ran = started[number].map_or(Duration::ZERO, |since| at - since);
                left[number] = left[number].saturating_sub(ran);
                ends.retain(|Reverse((_, other))| *other != number);
                let usage = TaskUsage::default();
                scheduler.task_ended(now, &worker, &task, &TaskOutcome::Stopped, &usage);
            }
        }
    }
    run.used = area / time.as_secs_f64();
    run
}

fn run_first_fit(shape: &Shape, all: &[Arrival], time: Duration) -> PolicyRun {
    let mut rooms = shape.capacities.clone();
    let mut run = PolicyRun { urgent: histogram(), other: histogram(), used: 0.0 };
    let mut ends: BinaryHeap<Reverse<(Duration, usize, usize)>> = BinaryHeap::new();
    let mut queue = std::collections::VecDeque::new();
    let (mut at, mut area, mut held, mut next) =
        (Duration::ZERO, 0.0, ResourceVector::default(), 0);
    let total = shape.total();
    while at < time {
        let arrival = all.get(next).map_or(Duration::MAX, |arrival| arrival.at);
        let end = ends.peek().map_or(Duration::MAX, |Reverse((end, ..))| *end);
        let step = arrival.min(end).min(time);
        area += held.dominant_share(&total) * (step - at).as_secs_f64();
        at = step;
        if arrival <= at {
            queue.push_back(next);
            next += 1;
        }
        while ends.peek().is_some_and(|Reverse((end, ..))| *end <= at) {
            let Some(Reverse((_, number, place))) = ends.pop() else { break };
            rooms[place] = rooms[place].saturating_add(&all[number].need);
            held = held.saturating_sub(&all[number].need);
        }
        while let Some(number) = queue.front().copied() {
            let need = all[number].need;
            let Some(place) = rooms.iter().position(|room| need.fits(room)) else { break };
            queue.pop_front();
            rooms[place] = rooms[place].saturating_sub(&need);
            held = held.saturating_add(&need);
            let waited = u64::try_from((at - all[number].at).as_micros()).unwrap_or(0);
            let target = if all[number].urgent { &mut run.urgent } else { &mut run.other };
            let _ = target.record(waited);
            ends.push(Reverse((at + all[number].run, number, place)));
        }
    }
    run.used = area / time.as_secs_f64();
    run
}

/// How full the workers get when more batch work waits than there is room for.
fn batch_packing(shape: &Shape) {
    let mut rng = StdRng::seed_from_u64(4);
    let mut scheduler = TaskScheduler::new();
    for (number, capacity) in shape.capacities.iter().enumerate() {
        scheduler.add_worker(worker(number, *capacity));
    }
    let mut rooms = shape.capacities.clone();
    let mut first_fit_held = ResourceVector::default();
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
        match rooms.iter().position(|room| need.fits(room)) {
            Some(place) if !blocked => {
                rooms[place] = rooms[place].saturating_sub(&need);
                first_fit_held = first_fit_held.saturating_add(&need);
            }
            _ => blocked = true,
        }
    }
    let mut held = ResourceVector::default();
    let now = Instant::now();
    for second in 0..60 {
        let at = now + Duration::from_secs(second);
        for action in scheduler.pass(at, UNIX + second * 1_000) {
            if let PlacementAction::Start { need, .. } = action {
                held = held.saturating_add(&need);
            }
        }
    }
    let total = shape.total();
    let bound = 1.0;
    println!(
        "  {} with more batch work than room: kelplink {:.1}% of the dominant resource, FCFS + FF {:.1}%, volume bound {:.0}%",
        shape.name,
        100.0 * held.dominant_share(&total),
        100.0 * first_fit_held.dominant_share(&total),
        100.0 * bound
    );
}

/// Requests beyond what the slots can serve, with and without admission by expected wait.
fn overload(load: f64) {
    let good = overload_run(load, 1_024, true);
    let none = overload_run(load, usize::MAX, false);
    println!(
        "  load {load:.1}: kelplink {:.0} answers in time of {:.0} a second ({:.1}% of capacity, urgent p99 wait {:.0} ms); \
         no admission {:.0} ({:.1}%)",
        good.0,
        good.2,
        100.0 * good.0 / CAPACITY,
        good.1,
        none.0,
        100.0 * none.0 / CAPACITY
    );
}

/// Requests a second that 400 slots of 20 ms serve.
const CAPACITY: f64 = 400.0 / 0.020;

/// Answers in time a second, p99 wait of urgent ones in ms, arrivals a second.
fn overload_run(load: f64, limit: usize, admission: bool) -> (f64, f64, f64) {
    let base = Instant::now();
    let timing =
        TimingSettings { share_ttl: Duration::from_secs(3_600), ..TimingSettings::default() };
    let entry: EntryId = "e0".into();
    let mut router = RequestRouter::new(entry.clone(), 1, limit, timing);
    let token = FencingToken::granted(1, entry.clone());
    let mut shares = ShareTable::new(base, token, [entry], timing);
    shares.set_upstreams((0..50).map(upstream).collect());
    supply(&mut router, &mut shares, base);
    let mut rng = StdRng::seed_from_u64(5);
    let time = Duration::from_secs(10);
    let deadline = Duration::from_secs(1);
    let wait = if admission { deadline } else { Duration::from_secs(3_600) };
    let rate = load * CAPACITY;
    let mut ends: BinaryHeap<Reverse<(Duration, u64, usize)>> = BinaryHeap::new();
    let mut arrived: Vec<Duration> = Vec::new();
    let mut waits = histogram();
    let (mut in_time, mut arrival, mut at) = (0_u64, Duration::ZERO, Duration::ZERO);
    while at < time {
        let end = ends.peek().map_or(Duration::MAX, |Reverse((end, ..))| *end);
        at = arrival.min(end);
        let now = base + at;
        let actions = match arrival <= end {
            true => {
                let id = arrived.len() as u64;
                arrived.push(at);
                arrival +=
                    Duration::from_secs_f64(-rng.random_range(f64::EPSILON..1.0_f64).ln() / rate);
                router.route_request(now, ticket(id, now + wait))
            }
            false => {
                let Some(Reverse((_, id, upstream))) = ends.pop() else { break };
                let began = arrived[usize::try_from(id).unwrap_or(0)];
                in_time += u64::from(at - began <= deadline);
                let name = format!("u{upstream:02}").as_str().into();
                router.finish(now, &name, RouteOutcome::Answered, Duration::from_millis(20))
            }
        };
        for action in actions {
            if let RouteAction::Send(id, spec) = action {
                let upstream: usize = spec.id[1..].parse().unwrap_or(0);
                ends.push(Reverse((at + Duration::from_millis(20), id, upstream)));
                if id % 2 == 1 {
                    let waited = at - arrived[usize::try_from(id).unwrap_or(0)];
                    let _ = waits.record(u64::try_from(waited.as_micros()).unwrap_or(0));
                }
            }
        }
    }
    let seconds = time.as_secs_f64();
    let p99 = waits.value_at_quantile(0.99) as f64 / 1e3;
    (in_time as f64 / seconds, p99, arrived.len() as f64 / seconds)
}

/// How soon slots follow demand.
fn share_shift() {
    let base = Instant::now();
    let timing = TimingSettings::default();
    let names: Vec<EntryId> = ["e0", "e1", "e2"].iter().map(|name| EntryId::from(*name)).collect();
    let token = FencingToken::granted(1, names[0].clone());
    let mut shares = ShareTable::new(base, token, names.clone(), timing);
    shares.set_upstreams((0..50).map(upstream).collect());
    let mut routers: Vec<RequestRouter> =
        names.iter().map(|name| RequestRouter::new(name.clone(), 1, 1_024, timing)).collect();
    let mut now = base;
    for _ in 0..8 {
        now += Duration::from_millis(250);
        routers.iter_mut().for_each(|router| drop(supply(router, &mut shares, now)));
    }
    for id in 0..600 {
        routers[0].route_request(now, ticket(id, now + Duration::from_secs(60)));
    }
    let before = routers[0].in_use();
    let mut rounds = 0;
    while routers[0].in_use() < 390 && rounds < 100 {
        rounds += 1;
        now += Duration::from_millis(100);
        routers.iter_mut().for_each(|router| drop(supply(router, &mut shares, now)));
    }
    println!(
        "  {before} slots in use before, {} of 400 after {rounds} rounds of reports (100 ms apart under load)",
        routers[0].in_use()
    );
}
