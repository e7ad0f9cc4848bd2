//! Duration of a leader's pass while jobs wait for workers that are full.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kelplink::{
    AdviceRule, EntryId, GraphAction, GraphBounds, GraphController, GraphRecord, GraphSpec,
    PollReply, QueueConfig, QueueRule, RequestLimits, ResourceVector, RestoredState, RunCosts,
    RunReport, StepSpec, TaskName, WorkerId, WorkerRegistration,
};
use tokio::time::Instant;

use crate::{START_UNIX_MS, format_quantiles, new_histogram};

/// Workers of the deployment that the benchmark represents, each with 32 cores.
const WORKERS: u32 = 350;
/// Entries through which advice can be requested.
const ENTRIES: u32 = 37;
/// Passes that are measured.
const PASSES: u32 = 200;
/// Time between two rounds, in which all outstanding calls are answered.
const ROUND_TIME: Duration = Duration::from_millis(50);
/// Time between two submissions of the backlog.
const SUBMISSION_INTERVAL: Duration = Duration::from_micros(10);

/// A leader with workers that answer every call at once.
struct BacklogLeader {
    controller: GraphController,
    now: Instant,
    start: Instant,
    running: BTreeMap<WorkerId, Vec<RunReport>>,
}

fn queue_rule(id: &str, priority: u32, advice: Option<AdviceRule>) -> QueueRule {
    QueueRule {
        id: id.into(),
        host: "".into(),
        prefix: format!("/{id}/").into(),
        service: "svc".into(),
        priority,
        max_attempts: 4,
        slack: 1.5,
        target: Duration::from_millis(250),
        advice,
        public: false,
    }
}

fn step(count: u32, millicores: u32, run: Duration) -> StepSpec {
    let need = ResourceVector::new(millicores, 1_000, 0);
    StepSpec { count, need, estimate: run, ..StepSpec::default() }
}

impl BacklogLeader {
    /// Creates a leader whose workers have `free` millicores left.
    fn new(free: u32) -> Self {
        let bounds = GraphBounds {
            max_lease: Duration::from_secs(6),
            retention: Duration::from_secs(120),
            lease_extension_window: Duration::from_secs(7),
            run_costs: RunCosts {
                checkpoint_interval: Duration::from_secs(2),
                restore_time: Duration::from_millis(600),
                remote_rack_factor: 1.5,
            },
            max_value_bytes: 1 << 20,
            worker_heartbeat: Duration::from_millis(1_500),
        };
        let now = Instant::now();
        let controller =
            GraphController::new(now, START_UNIX_MS, 1, bounds, RestoredState::default());
        let running = BTreeMap::new();
        let mut leader = Self { controller, now, start: now, running };
        let advice = AdviceRule {
            call: Duration::from_millis(12),
            each: Duration::from_micros(300),
            valid: Duration::from_millis(2_500),
        };
        let rules = [queue_rule("fill", 0, None), queue_rule("quick", 0, Some(advice))];
        let config = QueueConfig {
            version: 1,
            queues: rules.into_iter().map(|rule| (rule.id.clone(), Arc::new(rule))).collect(),
            pools: BTreeMap::new(),
            limits: RequestLimits { body_bytes: 1 << 20, head_time: Duration::from_secs(5) },
            workspaces: BTreeMap::new(),
            keys: BTreeMap::new(),
        };
        leader.controller.set_config(Arc::new(config));
        let entries = (0..ENTRIES).map(|entry| EntryId::from(format!("e{entry}"))).collect();
        leader.controller.set_entries(entries);
        for number in 0..WORKERS {
            leader.controller.worker_registered(now, registration(number));
        }
        leader.round();
        let lasting = step(WORKERS, 32_000 - free, Duration::from_secs(600));
        let lasting = StepSpec { lasting: true, max_per_worker: Some(1), ..lasting };
        leader.submit("fill", "fill", vec![lasting]);
        for _ in 0..40 {
            leader.round();
        }
        leader
    }

    fn submit(&mut self, queue: &str, id: &str, steps: Vec<StepSpec>) {
        let rule = match queue {
            "fill" => queue_rule("fill", 0, None),
            _ => {
                let advice = AdviceRule {
                    call: Duration::from_millis(12),
                    each: Duration::from_micros(300),
                    valid: Duration::from_millis(2_500),
                };
                queue_rule("quick", 0, Some(advice))
            }
        };
        let spec = GraphSpec {
            id: id.into(),
            queue: queue.into(),
            payload: "".into(),
            steps,
            repeat: None,
            accepted: START_UNIX_MS,
        };
        let record =
            GraphRecord { spec, rule, workspace: None, home: None, share: None, run_offset: 0 };
        self.controller.submit_here(self.now, 1, 1, Duration::from_secs(600), record);
    }

    /// Lets time pass and runs what is due; returns the wall time of the controller's tick.
    fn round(&mut self) -> Duration {
        self.now += ROUND_TIME;
        let unix = START_UNIX_MS + (self.now - self.start).as_millis() as u64;
        self.controller.note_lease_renewal(self.now);
        let started = std::time::Instant::now();
        self.controller.tick(self.now, unix);
        let took = started.elapsed();
        self.execute(unix);
        took
    }

    /// Stores all submitted jobs.
    fn store(&mut self) {
        let unix = START_UNIX_MS + (self.now - self.start).as_millis() as u64;
        while self.controller.jobs().iter().any(|job| !job.durable) {
            self.now += Duration::from_millis(8);
            self.controller.note_lease_renewal(self.now);
            self.controller.tick(self.now, unix);
            self.execute(unix);
        }
    }

    fn execute(&mut self, unix: u64) {
        let clock = self.now - self.start + Duration::from_secs(100);
        let controller = &mut self.controller;
        for action in controller.take_actions() {
            match action {
                GraphAction::Poll { worker, fence, .. } => {
                    let running = self.running.get(&worker).cloned().unwrap_or_default();
                    let ended = Vec::new();
                    let reply = PollReply {
                        instance_start: None,
                        fence,
                        clock,
                        running,
                        ended,
                        has_more_ends: false,
                    };
                    controller.handle_poll_result(self.now, unix, &worker, Ok(reply));
                }
                GraphAction::Start(command) => {
                    let report = RunReport {
                        task: command.task.clone(),
                        run: command.run,
                        checkpoint: String::new(),
                        percent: 100,
                        reported_load: 0,
                    };
                    self.running.entry(command.worker.clone()).or_default().push(report);
                    let task: TaskName = command.task;
                    let id = kelplink::InstanceId::new(command.worker, None);
                    controller.handle_start_result(self.now, &id, &task, command.run, Ok(clock));
                }
                GraphAction::Advise(call) => {
                    let allowed = call.workers.iter().step_by(3);
                    let tickets = allowed.map(|worker| (worker.clone(), "ticket".into())).collect();
                    controller.handle_advice(self.now, call.id, Some(tickets));
                }
                GraphAction::Commit(group) => {
                    controller.handle_group_stored(self.now, group.number);
                }
                _ => {}
            }
        }
    }
}

fn registration(number: u32) -> WorkerRegistration {
    WorkerRegistration {
        id: format!("w{number:03}").into(),
        instance_start: None,
        address: SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 80)),
        service: "svc".into(),
        domain: format!("d{}", number % 3).as_str().into(),
        rack: format!("d{}-r{}", number % 3, number / 24).as_str().into(),
        labels: Vec::new(),
        machine: None,
        capacity: ResourceVector::new(32_000, 64_000, 0),
        leaving: None,
    }
}

/// Prints the duration of a pass with a backlog of `jobs` jobs of 1.6 steps of ten tasks on average,
/// `age` after their submission, on workers with `free` millicores each.
pub(crate) fn measure(jobs: u32, age: Duration, free: u32) {
    let mut leader = BacklogLeader::new(free);
    let run = Duration::from_secs(60);
    for number in 0..jobs {
        leader.now += SUBMISSION_INTERVAL;
        let first = step(10, 4_500, run);
        let second = StepSpec { after: vec![0], ..first.clone() };
        let steps = match number % 5 {
            0..3 => vec![first, second],
            _ => vec![first],
        };
        leader.submit("quick", &format!("job{number}"), steps);
    }
    leader.store();
    leader.now += age;
    for _ in 0..20 {
        leader.round();
    }
    let mut times = new_histogram();
    for _ in 0..PASSES {
        let _ = times.record(u64::try_from(leader.round().as_nanos()).unwrap_or(u64::MAX));
    }
    println!("    {jobs:>6} jobs: {}", format_quantiles(&times));
}
