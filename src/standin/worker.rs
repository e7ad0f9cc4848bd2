//! A worker that simulates running tasks.

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

/// Run time of a task whose command does not set one.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(100);

/// One run of a task, for checks that no task ran in two places.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskRun {
    /// The task.
    pub task: TaskId,
    /// When it started.
    pub started: Instant,
    /// When it ended, or `None` while it runs.
    pub ended: Option<Instant>,
}

#[derive(Clone, Debug)]
struct WorkerTask {
    attempt: Attempt,
    need: ResourceVector,
    cut_off: CutOffRule,
    started: Instant,
    /// When the task ends by itself. `None` for a task of a service.
    ends_at: Option<Instant>,
    /// Outcome when the task ends by itself.
    planned_outcome: TaskOutcome,
    lease_end: Instant,
    outcome: Option<TaskOutcome>,
    run_time: Duration,
    endpoint: Option<String>,
    /// Index of the run in the worker's list of runs.
    run_index: Option<usize>,
}

/// A worker that follows the contract in `docs/INTERFACES.md`.
#[derive(Clone, Debug)]
pub struct WorkerModel {
    capacity: ResourceVector,
    /// Number of the current boot.
    boot: u64,
    booted_at: Instant,
    highest_token: Option<FencingToken>,
    tasks: BTreeMap<TaskId, WorkerTask>,
    runs: Vec<TaskRun>,
    /// Whether every task fails as soon as it starts.
    fails_everything: bool,
}

impl WorkerModel {
    /// Creates a worker without tasks.
    pub fn new(now: Instant, capacity: ResourceVector) -> Self {
        Self {
            capacity,
            boot: 1,
            booted_at: now,
            highest_token: None,
            tasks: BTreeMap::new(),
            runs: Vec::new(),
            fails_everything: false,
        }
    }

    /// All runs so far.
    pub fn runs(&self) -> &[TaskRun] {
        &self.runs
    }

    /// Capacity in use.
    pub fn used(&self) -> ResourceVector {
        let running = self.tasks.values().filter(|task| task.outcome.is_none());
        running.fold(ResourceVector::default(), |sum, task| sum.saturating_add(&task.need))
    }

    /// Running tasks with their reservations.
    pub fn running_needs(&self) -> impl Iterator<Item = (&TaskId, ResourceVector)> {
        let running = self.tasks.iter().filter(|(_, task)| task.outcome.is_none());
        running.map(|(id, task)| (id, task.need))
    }

    /// Number of running tasks.
    pub fn running(&self) -> usize {
        self.tasks.values().filter(|task| task.outcome.is_none()).count()
    }

    /// Running tasks of services that have no endpoint yet.
    pub fn tasks_without_endpoint(&self) -> Vec<TaskId> {
        let running = self.tasks.iter().filter(|(_, task)| task.outcome.is_none());
        let missing = running.filter(|(_, task)| task.endpoint.as_deref() == Some(""));
        missing.map(|(id, _)| id.clone()).collect()
    }

    /// Sets the address of a task's endpoint.
    pub fn set_endpoint(&mut self, id: &TaskId, address: String) {
        if let Some(task) = self.tasks.get_mut(id) {
            task.endpoint = Some(address);
        }
    }

    /// Returns whether a task is running.
    pub fn runs_task(&self, id: &TaskId) -> bool {
        self.tasks.get(id).is_some_and(|task| task.outcome.is_none())
    }

    /// Sets whether every task fails as soon as it starts.
    pub fn set_fails_everything(&mut self, fails: bool) {
        self.fails_everything = fails;
    }

    /// Restarts the VM. All tasks are lost; the highest token is kept, as the contract requires.
    pub fn restart(&mut self, now: Instant) {
        let ids: Vec<TaskId> = self.tasks.keys().cloned().collect();
        for id in ids {
            self.end(now, &id, TaskOutcome::Stopped);
        }
        self.tasks.clear();
        self.boot += 1;
    }

    /// Updates the worker to the given time: ends tasks that are done and tasks whose lease has expired.
    pub fn tick(&mut self, now: Instant) {
        let ids: Vec<TaskId> = self.tasks.keys().cloned().collect();
        for id in ids {
            let Some(task) = self.tasks.get(&id).filter(|task| task.outcome.is_none()) else {
                continue;
            };
            match task.ends_at {
                Some(ends_at) if ends_at <= now.min(task.lease_end) => {
                    let planned_outcome = task.planned_outcome.clone();
                    self.end(ends_at, &id, planned_outcome);
                }
                _ if task.lease_end <= now => {
                    let lease_end = task.lease_end;
                    self.end(lease_end, &id, TaskOutcome::Stopped);
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
        task.run_time = now.saturating_duration_since(task.started);
        if let Some(run) = task.run_index.and_then(|index| self.runs.get_mut(index)) {
            run.ended = Some(now);
        }
    }

    /// Handles an exchange with the leader.
    pub fn handle(&mut self, now: Instant, request: &WorkerRequest) -> WorkerReply {
        self.tick(now);
        let is_superseded =
            self.highest_token.as_ref().is_some_and(|highest_token| request.token < *highest_token);
        let clock = now.saturating_duration_since(self.booted_at);
        let is_late = request.not_after.is_some_and(|bound| clock > bound);
        let claim_only = request.not_after.is_none();
        if !is_superseded {
            self.highest_token = Some(request.token.clone());
        }
        let other_boot = request.boot.is_some_and(|boot| boot != self.boot);
        let accepted = !is_superseded && !is_late && !other_boot;
        if accepted && !claim_only {
            self.renew(now, request);
            for command in &request.commands {
                self.apply_command(now, request, command);
            }
        }
        WorkerReply {
            accepted,
            highest: self.highest_token.clone().unwrap_or(request.token.clone()),
            clock,
            boot: self.boot,
            tasks: self.tasks.iter().map(|(id, task)| report(id, task)).collect(),
        }
    }

    fn renew(&mut self, now: Instant, request: &WorkerRequest) {
        for task in self.tasks.values_mut() {
            if task.cut_off == CutOffRule::Stay || request.renew_movable {
                task.lease_end = task.lease_end.max(now + request.lease);
            }
        }
    }

    fn apply_command(&mut self, now: Instant, request: &WorkerRequest, command: &WorkerCommand) {
        match command {
            WorkerCommand::Start { task, attempt, need, command, cut_off, service } => {
                let current = self.tasks.get(task);
                if current
                    .is_some_and(|current| current.attempt >= *attempt || current.outcome.is_none())
                {
                    return;
                }
                let lease_end = now + request.lease;
                let mut new_task =
                    start(now, *attempt, *need, command, *cut_off, *service, lease_end);
                let free = self.capacity.saturating_sub(&self.used());
                let fits = invariant::check(need.fits(&free), "capacity", || {
                    format!("worker has to start {task:?} with {need:?}, free capacity {free:?}")
                });
                match fits {
                    true => {
                        new_task.run_index = Some(self.runs.len());
                        self.runs.push(TaskRun { task: task.clone(), started: now, ended: None });
                    }
                    false => {
                        new_task.outcome = Some(TaskOutcome::Refused("no room".to_owned()));
                    }
                }
                self.tasks.insert(task.clone(), new_task);
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
                let mut refused = start(now, *attempt, need, "", CutOffRule::Stay, false, now);
                refused.outcome =
                    Some(TaskOutcome::Refused("stopped before it started".to_owned()));
                self.tasks.insert(task.clone(), refused);
            }
            WorkerCommand::Forget { task, attempt } => {
                let ended = self.tasks.get(task).is_some_and(|current| {
                    current.attempt == *attempt && current.outcome.is_some()
                });
                if ended {
                    self.tasks.remove(task);
                }
            }
        }
    }
}

fn report(id: &TaskId, task: &WorkerTask) -> TaskReport {
    let usage = match task.outcome {
        Some(_) => TaskUsage { run_time: task.run_time, peak: task.need },
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

/// Creates a task from its command: `run MS` runs and succeeds, `fail MS` runs and fails. A task of a service
/// runs until it is stopped.
fn start(
    now: Instant,
    attempt: Attempt,
    need: ResourceVector,
    command: &str,
    cut_off: CutOffRule,
    service: bool,
    lease_end: Instant,
) -> WorkerTask {
    let mut words = command.split_whitespace();
    let planned_outcome = match words.next() {
        Some("fail") => TaskOutcome::Failed("exit code 1".to_owned()),
        _ => TaskOutcome::Succeeded,
    };
    let run_time = words.next().and_then(|word| word.parse().ok());
    let run_time = run_time.map_or(DEFAULT_RUN_TIME, Duration::from_millis);
    WorkerTask {
        attempt,
        need,
        cut_off,
        started: now,
        ends_at: (!service).then(|| now + run_time),
        planned_outcome,
        lease_end,
        outcome: None,
        run_time: Duration::ZERO,
        endpoint: service.then(String::new),
        run_index: None,
    }
}
