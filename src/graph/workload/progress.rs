//! Progress of a job graph: the part of its state that must survive every process.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::graph::workload::crash::SuspectRun;
use crate::graph::workload::name::{RunNumber, StepKey, TaskKey};
use crate::id::{DomainId, UnixMillis};

/// Number of floors up to which each is stored by itself, as every build reads them.
const MAX_SINGLE_FLOORS: usize = 10_000;
/// Upper bounds of the size of a succeeded task, and of another record of a task without its texts, in the stored form.
const MAX_DONE_BYTES: usize = 6;
const MAX_TASK_BYTES: usize = 160;

/// How a job ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum GraphVerdict {
    /// All tasks succeeded.
    Completed,
    /// A task failed too often.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
    /// It has not ended: the leader of another shard runs it.
    Moved,
}

/// Progress of a job.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(from = "StoredProgress", into = "StoredProgress")]
pub struct GraphProgress {
    /// How it ended.
    pub verdict: Option<GraphVerdict>,
    /// When it ended.
    pub ended: Option<UnixMillis>,
    /// Whether a worker has reported a task as begun. Neither a start that was only sent nor a run that was
    /// given up sets it.
    pub begun: bool,
    /// Tasks that succeeded.
    pub done: BTreeMap<StepKey, BTreeSet<u32>>,
    /// Runs that failed. A set, since a worker lists an end until it is acknowledged.
    pub failures: BTreeMap<TaskKey, BTreeSet<RunNumber>>,
    /// Runs under which a worker has crashed, with whether each was certainly running until then. They are
    /// cleared once a worker survives the task. They are stored because a count kept in memory would start
    /// from zero with each leader.
    pub crashes: BTreeMap<TaskKey, BTreeMap<RunNumber, bool>>,
    /// Addresses of the workers that have crashed under the runs in `crashes`, as far as they are known.
    pub crash_addresses: BTreeMap<TaskKey, BTreeMap<RunNumber, SocketAddr>>,
    /// Runs that may have crashed their worker: runs of suspected tasks, and runs that were given up with a
    /// silent worker.
    pub trials: BTreeMap<TaskKey, Vec<SuspectRun>>,
    /// Runs in `crashes` and `trials` that their workers had reported as begun. A start without an answer may
    /// never have arrived.
    pub confirmed: BTreeMap<TaskKey, BTreeSet<RunNumber>>,
    /// Announced starts of tasks that may crash their workers. They are stored before a worker is chosen, so
    /// that no such start is sent without a record.
    pub announced: BTreeMap<TaskKey, RunNumber>,
    /// Last checkpoint of each task that was stopped or lost.
    pub saved: BTreeMap<TaskKey, String>,
    /// Lowest run number that counts, for tasks that were started again while the outcome of an earlier run
    /// was unknown.
    pub floors: BTreeMap<TaskKey, RunNumber>,
    /// Failure domains that the job may use beside its home.
    pub domains: BTreeSet<DomainId>,
}

impl GraphProgress {
    /// Whether a task has succeeded.
    pub fn is_done(&self, task: &TaskKey) -> bool {
        self.done.get(&task.step).is_some_and(|done| done.contains(&task.index))
    }

    /// Number of tasks of a step that have succeeded.
    pub fn done_count(&self, step: StepKey) -> u32 {
        self.done.get(&step).map_or(0, |done| u32::try_from(done.len()).unwrap_or(u32::MAX))
    }

    /// Notes a run that may crash its worker. Returns whether it is new.
    pub fn note_suspect_run(&mut self, task: TaskKey, suspect_run: SuspectRun) -> bool {
        let suspect_runs = self.trials.entry(task).or_default();
        let is_new = suspect_runs.iter().all(|known| known.run != suspect_run.run);
        if is_new {
            suspect_runs.push(suspect_run);
        }
        is_new
    }

    /// Notes a crash of a worker under a run of a task. `sure` states whether the run was certainly running
    /// until then.
    pub fn note_crash(&mut self, task: TaskKey, run: RunNumber, sure: bool) {
        self.remove_suspect_run(&task, run);
        *self.crashes.entry(task).or_default().entry(run).or_default() |= sure;
    }

    /// Notes the address of a worker that has crashed under a run of a task.
    pub(crate) fn note_crash_address(
        &mut self,
        task: TaskKey,
        run: RunNumber,
        address: SocketAddr,
    ) {
        self.crash_addresses.entry(task).or_default().insert(run, address);
    }

    /// Whether all crashes under a task, and the silences that may be crashes, were certainly of one machine.
    pub(crate) fn has_crashed_one_machine(&self, task: &TaskKey) -> bool {
        let known = self.crash_addresses.get(task);
        let address_of = |run| known.and_then(|addresses| addresses.get(run)).copied();
        let crashed = self.crashes.get(task).into_iter().flat_map(BTreeMap::keys).map(address_of);
        let suspects = self.trials.get(task).into_iter().flatten();
        let suspected = suspects.map(|suspect_run| Some(suspect_run.address));
        let addresses: BTreeSet<Option<SocketAddr>> = crashed.chain(suspected).collect();
        addresses.len() == 1 && !addresses.contains(&None)
    }

    /// Notes that a worker has reported a run as begun. Returns whether that is new for a run under which a
    /// worker has crashed or may have crashed.
    pub fn confirm_run(&mut self, task: TaskKey, run: RunNumber) -> bool {
        let crashed = self.crashes.get(&task).is_some_and(|runs| runs.contains_key(&run));
        let mut suspect_runs = self.trials.get(&task).into_iter().flatten();
        let is_suspect = crashed || suspect_runs.any(|suspect_run| suspect_run.run == run);
        is_suspect && self.confirmed.entry(task).or_default().insert(run)
    }

    /// Whether a run under which a worker has crashed, or may have crashed, had certainly begun.
    pub(crate) fn is_confirmed(&self, task: &TaskKey, run: RunNumber) -> bool {
        self.confirmed.get(task).is_some_and(|runs| runs.contains(&run))
    }

    /// Clears a suspect run whose outcome is known. Returns whether the run was a suspect.
    pub fn clear_suspect_run(&mut self, task: &TaskKey, run: RunNumber) -> bool {
        let cleared = self.remove_suspect_run(task, run);
        if cleared && let Some(confirmed) = self.confirmed.get_mut(task) {
            confirmed.remove(&run);
            if confirmed.is_empty() {
                self.confirmed.remove(task);
            }
        }
        cleared
    }

    fn remove_suspect_run(&mut self, task: &TaskKey, run: RunNumber) -> bool {
        let Some(suspect_runs) = self.trials.get_mut(task) else {
            return false;
        };
        let count_before = suspect_runs.len();
        suspect_runs.retain(|suspect_run| suspect_run.run != run);
        let cleared = suspect_runs.len() < count_before;
        if suspect_runs.is_empty() {
            self.trials.remove(task);
        }
        cleared
    }

    /// Clears the crashes under a task once a worker has survived one of its runs, as the task did not cause
    /// them. Returns whether there were any.
    pub fn clear_crashes(&mut self, task: &TaskKey) -> bool {
        self.confirmed.remove(task);
        self.crash_addresses.remove(task);
        let had_suspects = self.trials.remove(task).is_some();
        self.crashes.remove(task).is_some() || had_suspects
    }

    /// Makes runs of a task below `first` stop counting. Returns whether that is new.
    pub fn raise_floor(&mut self, task: TaskKey, first: RunNumber) -> bool {
        let floor = self.floors.entry(task).or_default();
        let raised = *floor < first;
        *floor = (*floor).max(first);
        raised
    }

    /// Whether a run of a task counts.
    pub fn counts(&self, task: &TaskKey, run: RunNumber) -> bool {
        self.floors.get(task).is_none_or(|first| run >= *first)
    }

    /// Number of failed runs of a task.
    pub fn failure_count(&self, task: &TaskKey) -> u32 {
        self.failures.get(task).map_or(0, |runs| u32::try_from(runs.len()).unwrap_or(u32::MAX))
    }

    /// Whether it contains anything that only a worker that has begun a task can have reported.
    pub(crate) fn shows_begun(&self) -> bool {
        let has_certain = |runs: &BTreeMap<RunNumber, bool>| runs.values().any(|sure| *sure);
        self.begun
            || !self.done.is_empty()
            || !self.failures.is_empty()
            || !self.saved.is_empty()
            || !self.confirmed.is_empty()
            || self.crashes.values().any(has_certain)
    }

    /// What is kept of the progress of a job that another shard runs from now on, as [`Self::compacted`].
    pub(crate) fn moved(&self, unix: UnixMillis) -> Self {
        Self { verdict: Some(GraphVerdict::Moved), ended: Some(unix), ..self.compacted() }
    }

    /// What is kept of the progress of an ended job that has no runs left. Its floors are kept: the end of a run
    /// below them must not be acknowledged, whenever its worker reports it.
    pub(crate) fn compacted(&self) -> Self {
        Self {
            verdict: self.verdict,
            ended: self.ended,
            begun: self.shows_begun(),
            floors: self.floors.clone(),
            ..Self::default()
        }
    }

    /// Whether its stored form is larger than this. It is encoded for that only where it may be.
    pub(crate) fn exceeds(&self, max_bytes: usize) -> bool {
        let done: usize = self.done.values().map(BTreeSet::len).sum();
        let texts: usize = self.saved.values().map(String::len).sum();
        let of_tasks = self.floors.len()
            + self.saved.len()
            + self.announced.len()
            + self.failures.len()
            + self.crashes.len()
            + self.crash_addresses.len()
            + self.trials.len()
            + self.confirmed.len();
        let upper_bound = texts + done * MAX_DONE_BYTES + of_tasks * MAX_TASK_BYTES;
        upper_bound > max_bytes
            && serde_json::to_vec(self).is_ok_and(|encoded| encoded.len() > max_bytes)
    }

    /// Whether there is nothing to store.
    pub(crate) fn is_blank(&self) -> bool {
        *self == Self::default()
    }

    /// Names of the parts that are not empty, for the log.
    pub(crate) fn recorded(&self) -> String {
        let parts = [
            (self.verdict.is_some(), "verdict"),
            (self.begun, "begun"),
            (!self.done.is_empty(), "done"),
            (!self.failures.is_empty(), "failures"),
            (!self.crashes.is_empty(), "crashes"),
            (!self.trials.is_empty(), "trials"),
            (!self.confirmed.is_empty(), "confirmed"),
            (!self.announced.is_empty(), "announced"),
            (!self.saved.is_empty(), "saved"),
            (!self.floors.is_empty(), "floors"),
            (!self.domains.is_empty(), "domains"),
        ];
        let names = parts.iter().filter(|(has, _)| *has).map(|(_, name)| *name);
        names.collect::<Vec<_>>().join(" ")
    }
}

/// Stored form of the progress: lists in place of maps, as JSON keys can only be strings.
#[derive(Clone, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
struct StoredProgress {
    #[serde(skip_serializing_if = "Option::is_none")]
    verdict: Option<GraphVerdict>,
    #[serde(skip_serializing_if = "Option::is_none")]
    ended: Option<UnixMillis>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    begun: bool,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    done: Vec<(u32, u32, BTreeSet<u32>)>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    failures: Vec<(u32, u32, u32, BTreeSet<RunNumber>)>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    crashes: Vec<(u32, u32, u32, BTreeMap<RunNumber, bool>)>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    crash_addresses: Vec<(u32, u32, u32, BTreeMap<RunNumber, SocketAddr>)>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    trials: Vec<(u32, u32, u32, Vec<SuspectRun>)>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    confirmed: Vec<(u32, u32, u32, BTreeSet<RunNumber>)>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    announced: Vec<(u32, u32, u32, RunNumber)>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    saved: Vec<(u32, u32, u32, String)>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    floors: Vec<(u32, u32, u32, RunNumber)>,
    /// Floors of consecutive tasks, where there are many: occurrence, step, first and last index, floor.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    floor_ranges: Vec<(u32, u32, u32, u32, RunNumber)>,
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    domains: BTreeSet<DomainId>,
}

impl From<StoredProgress> for GraphProgress {
    fn from(stored: StoredProgress) -> Self {
        let step = |(occurrence, step, done)| (StepKey { occurrence, step }, done);
        let runs = |(occurrence, step, index, runs)| (TaskKey::new(occurrence, step, index), runs);
        let crashes =
            |(occurrence, step, index, runs)| (TaskKey::new(occurrence, step, index), runs);
        let addresses =
            |(occurrence, step, index, runs)| (TaskKey::new(occurrence, step, index), runs);
        let suspect_runs = |(occurrence, step, index, suspect_runs)| {
            (TaskKey::new(occurrence, step, index), suspect_runs)
        };
        let start = |(occurrence, step, index, run)| (TaskKey::new(occurrence, step, index), run);
        let saved = |(occurrence, step, index, text)| (TaskKey::new(occurrence, step, index), text);
        let floor = |(occurrence, step, index, run)| (TaskKey::new(occurrence, step, index), run);
        let in_range = |(occurrence, step, first, last, run)| {
            (first..=last).map(move |index| (TaskKey::new(occurrence, step, index), run))
        };
        let in_ranges = stored.floor_ranges.into_iter().flat_map(in_range);
        Self {
            verdict: stored.verdict,
            ended: stored.ended,
            begun: stored.begun,
            done: stored.done.into_iter().map(step).collect(),
            failures: stored.failures.into_iter().map(runs).collect(),
            crashes: stored.crashes.into_iter().map(crashes).collect(),
            crash_addresses: stored.crash_addresses.into_iter().map(addresses).collect(),
            trials: stored.trials.into_iter().map(suspect_runs).collect(),
            confirmed: stored.confirmed.into_iter().map(runs).collect(),
            announced: stored.announced.into_iter().map(start).collect(),
            saved: stored.saved.into_iter().map(saved).collect(),
            floors: stored.floors.into_iter().map(floor).chain(in_ranges).collect(),
            domains: stored.domains,
        }
    }
}

impl From<GraphProgress> for StoredProgress {
    fn from(progress: GraphProgress) -> Self {
        let parts = |task: TaskKey| (task.step.occurrence, task.step.step, task.index);
        let step = |(key, done): (StepKey, _)| (key.occurrence, key.step, done);
        let of_task = |(task, runs)| {
            let (occurrence, step, index) = parts(task);
            (occurrence, step, index, runs)
        };
        let crashes = |(task, runs)| {
            let (occurrence, step, index) = parts(task);
            (occurrence, step, index, runs)
        };
        let addresses = |(task, runs)| {
            let (occurrence, step, index) = parts(task);
            (occurrence, step, index, runs)
        };
        let suspect_runs = |(task, suspect_runs)| {
            let (occurrence, step, index) = parts(task);
            (occurrence, step, index, suspect_runs)
        };
        let start = |(task, run)| {
            let (occurrence, step, index) = parts(task);
            (occurrence, step, index, run)
        };
        let saved = |(task, text)| {
            let (occurrence, step, index) = parts(task);
            (occurrence, step, index, text)
        };
        let floor = |(task, run)| {
            let (occurrence, step, index) = parts(task);
            (occurrence, step, index, run)
        };
        let has_ranges = progress.floors.len() > MAX_SINGLE_FLOORS;
        let (single_floors, ranged_floors) = match has_ranges {
            true => (BTreeMap::new(), progress.floors),
            false => (progress.floors, BTreeMap::new()),
        };
        Self {
            verdict: progress.verdict,
            ended: progress.ended,
            begun: progress.begun,
            done: progress.done.into_iter().map(step).collect(),
            failures: progress.failures.into_iter().map(of_task).collect(),
            crashes: progress.crashes.into_iter().map(crashes).collect(),
            crash_addresses: progress.crash_addresses.into_iter().map(addresses).collect(),
            trials: progress.trials.into_iter().map(suspect_runs).collect(),
            confirmed: progress.confirmed.into_iter().map(of_task).collect(),
            announced: progress.announced.into_iter().map(start).collect(),
            saved: progress.saved.into_iter().map(saved).collect(),
            floors: single_floors.into_iter().map(floor).collect(),
            floor_ranges: floor_ranges(ranged_floors),
            domains: progress.domains,
        }
    }
}

/// Joins the floors of consecutive tasks of a step that are the same.
fn floor_ranges(floors: BTreeMap<TaskKey, RunNumber>) -> Vec<(u32, u32, u32, u32, RunNumber)> {
    let mut ranges: Vec<(u32, u32, u32, u32, RunNumber)> = Vec::new();
    for (task, run) in floors {
        let StepKey { occurrence, step } = task.step;
        match ranges.last_mut() {
            Some(range)
                if (range.0, range.1) == (occurrence, step)
                    && range.3 + 1 == task.index
                    && range.4 == run =>
            {
                range.3 = task.index;
            }
            _ => ranges.push((occurrence, step, task.index, task.index, run)),
        }
    }
    ranges
}
