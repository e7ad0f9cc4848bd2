//! Judges a history by what workers did and callers were told. It knows nothing of the entries' state.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde_json::Value;

/// Capacity of each worker, in thousandths of a core.
const CAPACITY: u64 = 8_000;
/// Crashed instances under one task of a job from which on the job may be given up.
const CRASHES_TO_FAIL: usize = 2;

/// A broken guarantee.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Rule {
    /// A task runs at two workers.
    RunsTwice,
    /// A task is started although a run of it has ended as done, which was acknowledged then or later.
    StartAfterEnd,
    /// The same, where the end was acknowledged by a call that had arrived at an earlier instance.
    StartAfterLateAcknowledgement,
    /// A step is started before the one that it follows has ended.
    StepOrder,
    /// A worker has more tasks than its capacity allows.
    Capacity,
    /// A job is shown as completed, and not all of its tasks have ended as done.
    CompletedEarly,
    /// A job is shown as failed, cancelled or unknown without cause.
    Lost,
    /// An accepted job does not end.
    Unfinished,
}

/// A broken guarantee and the task or job that it concerns.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Finding {
    pub(crate) rule: Rule,
    pub(crate) name: String,
    pub(crate) details: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}: {} {}", self.rule, self.name, self.details)
    }
}

/// Worker, instance and number of an end.
type EndKey = (String, u64, u64);

/// What the history has shown so far.
#[derive(Default)]
struct Checker {
    findings: Vec<Finding>,
    /// Steps of submitted jobs.
    jobs: BTreeMap<String, Vec<Value>>,
    accepted: BTreeSet<String>,
    /// Jobs that were shown in a final state.
    final_jobs: BTreeSet<String>,
    /// Tasks that run, by worker.
    running: BTreeMap<String, BTreeSet<String>>,
    /// Ends of each task as done.
    done: BTreeMap<String, Vec<EndKey>>,
    /// Acknowledged ends, and whether the call had arrived at an earlier instance.
    acknowledged: BTreeMap<EndKey, bool>,
    /// Starts after an end as done, with that end.
    later_starts: Vec<(String, EndKey, String)>,
    /// Number of instances that went down under each task.
    crashes: BTreeMap<String, usize>,
}

/// Returns the broken guarantees of a whole history.
pub(crate) fn check(records: &[Value]) -> Vec<Finding> {
    let mut checker = Checker::default();
    for record in records {
        checker.take(record);
    }
    checker.finish()
}

fn text(record: &Value, field: &str) -> String {
    record[field].as_str().unwrap_or_default().to_owned()
}

fn end_key(record: &Value) -> EndKey {
    let number = |field: &str| record[field].as_u64().unwrap_or_default();
    (text(record, "worker"), number("instance"), number("number"))
}

/// Names of a step's tasks.
fn tasks_of(job: &str, number: usize, step: &Value) -> Vec<String> {
    let count = step["count"].as_u64().unwrap_or_default();
    (0..count).map(|index| format!("{job}.0.{number}.{index}")).collect()
}

/// Job and step of a task.
fn job_and_step(task: &str) -> (String, usize) {
    let mut parts = task.split('.');
    let job = parts.next().unwrap_or_default().to_owned();
    (job, parts.nth(1).and_then(|step| step.parse().ok()).unwrap_or_default())
}

impl Checker {
    fn take(&mut self, record: &Value) {
        match record["event"].as_str().unwrap_or_default() {
            "submit" => {
                let steps = record["body"]["steps"].as_array().cloned().unwrap_or_default();
                self.jobs.insert(text(record, "job"), steps);
            }
            "accepted" => {
                self.accepted.insert(text(record, "job"));
            }
            "shown" => self.take_state(record),
            "start" => self.take_start(record),
            "end" => {
                let task = text(record, "task");
                self.running.entry(text(record, "worker")).or_default().remove(&task);
                if record["how"] == "done" {
                    self.done.entry(task).or_default().push(end_key(record));
                }
            }
            "acknowledge" if record["how"] == "done" && record["lapsed_since"] == false => {
                let is_late = record["arrived_at"] != record["instance"];
                self.acknowledged.insert(end_key(record), is_late);
            }
            "down" => {
                let tasks = self.running.remove(&text(record, "worker")).unwrap_or_default();
                for task in tasks {
                    *self.crashes.entry(task).or_default() += 1;
                }
            }
            _ => {}
        }
    }

    fn find(&mut self, rule: Rule, name: &str, record: &Value, details: &str) {
        let details = format!("at {} ms: {details}", record["at_ms"]);
        self.findings.push(Finding { rule, name: name.to_owned(), details });
    }

    fn take_start(&mut self, record: &Value) {
        let (task, worker) = (text(record, "task"), text(record, "worker"));
        let elsewhere =
            self.running.iter().find(|(other, tasks)| **other != worker && tasks.contains(&task));
        if let Some(other) = elsewhere.map(|(other, _)| other.clone()) {
            let details = format!("run {} starts at {worker}, runs at {other}", record["run"]);
            self.find(Rule::RunsTwice, &task, record, &details);
        }
        for end in self.done.get(&task).cloned().unwrap_or_default() {
            let details = format!(
                "at {} ms: run {} starts at {worker}, end {} of {} was done",
                record["at_ms"], record["run"], end.2, end.0
            );
            self.later_starts.push((task.clone(), end, details));
        }
        let (job, step) = job_and_step(&task);
        let steps = self.jobs.get(&job).cloned().unwrap_or_default();
        let awaited = steps.get(step).and_then(|step| step["after"].as_array()).cloned();
        let awaited = awaited.unwrap_or_default().into_iter().filter_map(|step| step.as_u64());
        for awaited in awaited.map(|number| number as usize) {
            let mut tasks = tasks_of(&job, awaited, &steps[awaited]).into_iter();
            if let Some(missing) = tasks.find(|task| !self.done.contains_key(task)) {
                self.find(Rule::StepOrder, &task, record, &format!("{missing} is not done"));
            }
        }
        self.running.entry(worker.clone()).or_default().insert(task.clone());
        let used: u64 = self.running[&worker].iter().map(|task| self.size_of(task)).sum();
        if used > CAPACITY {
            let details = format!("{worker} has {used} of {CAPACITY} in use");
            self.find(Rule::Capacity, &task, record, &details);
        }
    }

    fn size_of(&self, task: &str) -> u64 {
        let (job, step) = job_and_step(task);
        let step = self.jobs.get(&job).and_then(|steps| steps.get(step));
        step.and_then(|step| step["millicpu"].as_u64()).unwrap_or_default()
    }

    fn take_state(&mut self, record: &Value) {
        let (job, state) = (text(record, "job"), text(record, "state"));
        let steps = self.jobs.get(&job).cloned().unwrap_or_default();
        let mut tasks =
            steps.iter().enumerate().flat_map(|(number, step)| tasks_of(&job, number, step));
        match state.as_str() {
            "queued" | "running" => return,
            "completed" => {
                if let Some(missing) = tasks.find(|task| !self.done.contains_key(task)) {
                    let details = format!("{missing} is not done");
                    self.find(Rule::CompletedEarly, &job, record, &details);
                }
            }
            "failed"
                if tasks.any(|task| {
                    self.crashes.get(&task).is_some_and(|crashes| *crashes >= CRASHES_TO_FAIL)
                }) => {}
            _ if self.accepted.contains(&job) => {
                self.find(Rule::Lost, &job, record, &format!("shown as {state}"));
            }
            _ => return,
        }
        self.final_jobs.insert(job);
    }

    fn finish(mut self) -> Vec<Finding> {
        for (name, end, details) in std::mem::take(&mut self.later_starts) {
            let rule = match self.acknowledged.get(&end) {
                Some(false) => Rule::StartAfterEnd,
                Some(true) => Rule::StartAfterLateAcknowledgement,
                None => continue,
            };
            self.findings.push(Finding { rule, name, details });
        }
        let unfinished = self.accepted.difference(&self.final_jobs);
        self.findings.extend(unfinished.map(|job| Finding {
            rule: Rule::Unfinished,
            name: job.clone(),
            details: "was accepted and has not ended".to_owned(),
        }));
        self.findings
    }
}
