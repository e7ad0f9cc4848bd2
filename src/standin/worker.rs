//! A worker that pretends to run tasks.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::id::{Attempt, TaskId};
use crate::intent::CutOffRule;
use crate::invariant;
use crate::resources::ResourceVector;
use crate::token::FencingToken;
use crate::worker::{
    TaskOutcome, TaskReport, TaskUsage, WorkerCommand, WorkerReply, WorkerRequest,
};

/// How long a task runs whose command does not say.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(100);

/// One run of a task, for checks that no task ran in two places.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskRun {
    /// The task.
    pub task: TaskId,
    /// When it started.
    pub started: Instant,
    /// When it ended; `None` while it runs.
    pub ended: Option<Instant>,
}

#[derive(Clone, Debug)]
struct WorkerTask {
    attempt: Attempt,
    need: ResourceVector,
    cut_off: CutOffRule,
    started: Instant,
    /// When it ends by itself.
    ends: Option<Instant>,
    /// How it will end by itself.
    verdict: TaskOutcome,
    lease: Instant,
    outcome: Option<TaskOutcome>,
    ran: Duration,
    endpoint: Option<String>,
    run: Option<usize>,
}

/// The worker. It keeps the contract in `docs/INTERFACES.md`.
#[derive(Clone, Debug)]
pub struct WorkerModel {
    capacity: ResourceVector,
    boot: u64,
    booted: Instant,
    highest: Option<FencingToken>,
    tasks: BTreeMap<TaskId, WorkerTask>,
    runs: Vec<TaskRun>,
    /// Whether every task fails at once.
    fails_everything: bool,
}

impl WorkerModel {
    /// A worker without tasks.
    pub fn new(now: Instant, capacity: ResourceVector) -> Self {
        Self {
            capacity,
            boot: 1,
            booted: now,
            highest: None,
            tasks: BTreeMap::new(),
            runs: Vec::new(),
            fails_everything: false,
        }
    }

    /// All runs so far.
    pub fn runs(&self) -> &[TaskRun] {
        &self.runs
    }

    /// Room in use.
    pub fn used(&self) -> ResourceVector {
        let running = self.tasks.values().filter(|task| task.outcome.is_none());
        running.fold(ResourceVector::default(), |sum, task| sum.saturating_add(&task.need))
    }

    /// Tasks that run, with their reservations.
    pub fn running_needs(&self) -> impl Iterator<Item = (&TaskId, ResourceVector)> {
        let running = self.tasks.iter().filter(|(_, task)| task.outcome.is_none());
        running.map(|(id, task)| (id, task.need))
    }

    /// Number of tasks that run.
    pub fn running(&self) -> usize {
        self.tasks.values().filter(|task| task.outcome.is_none()).count()
    }

    /// Tasks of services that run and have no endpoint yet.
    pub fn without_endpoint(&self) -> Vec<TaskId> {
        let running = self.tasks.iter().filter(|(_, task)| task.outcome.is_none());
        let wanted = running.filter(|(_, task)| task.endpoint.as_deref() == Some(""));
        wanted.map(|(id, _)| id.clone()).collect()
    }

    /// Sets where a task answers.
    pub fn set_endpoint(&mut self, id: &TaskId, address: String) {
        if let Some(task) = self.tasks.get_mut(id) {
            task.endpoint = Some(address);
        }
    }

    /// Tells whether a task runs.
    pub fn runs_task(&self, id: &TaskId) -> bool {
        self.tasks.get(id).is_some_and(|task| task.outcome.is_none())
    }

    /// Makes every task fail at once, or not any more.
    pub fn set_fails_everything(&mut self, fails: bool) {
        self.fails_everything = fails;
    }

    /// Restarts the machine: all tasks are gone. The highest token is kept, as the contract asks.
    pub fn restart(&mut self, now: Instant) {
        let ids: Vec<TaskId> = self.tasks.keys().cloned().collect();
        for id in ids {
            self.end(now, &id, TaskOutcome::Stopped);
        }
        self.tasks.clear();
        self.boot += 1;
    }

    /// Lets time pass: tasks end, leases lapse.
    pub fn tick(&mut self, now: Instant) {
        let ids: Vec<TaskId> = self.tasks.keys().cloned().collect();
        for id in ids {
            let Some(task) = self.tasks.get(&id).filter(|task| task.outcome.is_none()) else {
                continue;
            };
            match task.ends {
                Some(ends) if ends <= now.min(task.lease) => {
                    let verdict = task.verdict.clone();
                    self.end(ends, &id, verdict);
                }
                _ if task.lease <= now => {
                    let lease = task.lease;
                    self.end(lease, &id, TaskOutcome::Stopped);
                }
                _ => {}
            }
        }
    }

    fn end(&mut self, now: Instant, id: &TaskId, outcome: TaskOutcome) {
        let Some(task) = self.tasks.get_mut(id).filter(|task| task.outcome.is_none()) else {
            return;
        };
        task.outcome = Some(outcome);
        task.ran = now.saturating_duration_since(task.started);
        if let Some(run) = task.run.and_then(|run| self.runs.get_mut(run)) {
            run.ended = Some(now);
        }
    }

    /// Takes an exchange.
    pub fn handle(&mut self, now: Instant, request: &WorkerRequest) -> WorkerReply {
        self.tick(now);
        let outranked = self.highest.as_ref().is_some_and(|highest| request.token < *highest);
        let clock = now.saturating_duration_since(self.booted);
        let late = request.not_after.is_some_and(|bound| clock > bound);
        let claim = request.not_after.is_none();
        if !outranked {
            self.highest = Some(request.token.clone());
        }
        let other_start = request.boot.is_some_and(|boot| boot != self.boot);
        let accepted = !outranked && !late && !other_start;
        if accepted && !claim {
            self.renew(now, request);
            for command in &request.commands {
                self.carry_out(now, request, command);
            }
        }
        WorkerReply {
            accepted,
            highest: self.highest.clone().unwrap_or(request.token.clone()),
            clock,
            boot: self.boot,
            tasks: self.tasks.iter().map(|(id, task)| report(id, task)).collect(),
        }
    }

    fn renew(&mut self, now: Instant, request: &WorkerRequest) {
        for task in self.tasks.values_mut() {
            if task.cut_off == CutOffRule::Stay || request.renew_movable {
                task.lease = task.lease.max(now + request.lease);
            }
        }
    }

    fn carry_out(&mut self, now: Instant, request: &WorkerRequest, command: &WorkerCommand) {
        match command {
            WorkerCommand::Start { task, attempt, need, command, cut_off, service } => {
                let known = self.tasks.get(task);
                if known.is_some_and(|known| known.attempt >= *attempt || known.outcome.is_none()) {
                    return;
                }
                let lease = now + request.lease;
                let mut started = start(now, *attempt, *need, command, *cut_off, *service, lease);
                let room = self.capacity.saturating_sub(&self.used());
                let fits = invariant::holds(need.fits(&room), "capacity", || {
                    format!("worker is given {task:?} with {need:?}, room {room:?}")
                });
                match fits {
                    true => {
                        started.run = Some(self.runs.len());
                        self.runs.push(TaskRun { task: task.clone(), started: now, ended: None });
                    }
                    false => {
                        started.outcome = Some(TaskOutcome::Refused("no room".to_owned()));
                    }
                }
                self.tasks.insert(task.clone(), started);
                if self.fails_everything {
                    let reason = "exec format error".to_owned();
                    self.end(now, task, TaskOutcome::Failed(reason));
                }
            }
            WorkerCommand::Stop { task, attempt, .. } => {
                if self.tasks.contains_key(task) {
                    self.end(now, task, TaskOutcome::Stopped);
                    return;
                }
                let need = ResourceVector::default();
                let mut never = start(now, *attempt, need, "", CutOffRule::Stay, false, now);
                never.outcome = Some(TaskOutcome::Refused("stopped before it started".to_owned()));
                self.tasks.insert(task.clone(), never);
            }
            WorkerCommand::Forget { task, attempt } => {
                let ended = self
                    .tasks
                    .get(task)
                    .is_some_and(|known| known.attempt == *attempt && known.outcome.is_some());
                if ended {
                    self.tasks.remove(task);
                }
            }
        }
    }
}

fn report(id: &TaskId, task: &WorkerTask) -> TaskReport {
    let usage = match task.outcome {
        Some(_) => TaskUsage { run_time: task.ran, peak: task.need },
        None => TaskUsage::default(),
    };
    TaskReport {
        task: id.clone(),
        attempt: task.attempt,
        need: task.need,
        usage,
        outcome: task.outcome.clone(),
        endpoint: task.endpoint.clone().filter(|endpoint| !endpoint.is_empty()),
    }
}

/// Commands are words: `run MS` runs and succeeds, `fail MS` runs and fails; services run on.
fn start(
    now: Instant,
    attempt: Attempt,
    need: ResourceVector,
    command: &str,
    cut_off: CutOffRule,
    service: bool,
    lease: Instant,
) -> WorkerTask {
    let mut words = command.split_whitespace();
    let verdict = match words.next() {
        Some("fail") => TaskOutcome::Failed("exit code 1".to_owned()),
        _ => TaskOutcome::Succeeded,
    };
    let time = words.next().and_then(|word| word.parse().ok());
    let time = time.map_or(DEFAULT_RUN_TIME, Duration::from_millis);
    WorkerTask {
        attempt,
        need,
        cut_off,
        started: now,
        ends: (!service).then(|| now + time),
        verdict,
        lease,
        outcome: None,
        ran: Duration::ZERO,
        endpoint: service.then(String::new),
        run: None,
    }
}
