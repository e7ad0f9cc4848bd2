//! Limits and counts by which tasks that crash their workers are given up.
//!
//! A task may crash every worker that starts it, and then no worker is left to report how its run ended. So
//! each run is on probation until its worker has survived the start for a while, and the runs on probation
//! are the suspects of a crash. The later starts of these tasks show which of them caused it: no two
//! suspected jobs share a worker while they are on probation.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::graph::exchange::InstanceStart;
use crate::graph::workload::name::{RunNumber, TaskName};
use crate::id::WorkerId;

/// Time that a worker has to survive a start before the run counts as harmless. Tasks that crash their
/// workers do so while they start, after 10 ms in the logs; this also covers a task that loads for a second
/// first.
pub(crate) const PROBATION: Duration = Duration::from_secs(1);
/// Minimum number of crashes under runs that were certainly running until then, as a single crash may have
/// any cause.
const MIN_CERTAIN_CRASHES: usize = 2;
/// Crashes after which a task is given up where nothing else explains the last of them. Each crash costs a
/// worker with all its runs.
pub(crate) const LONE_CAUSE_CRASH_LIMIT: usize = 2;
/// Crash limit where other jobs were on probation on the worker, or where the machine crashes by itself.
pub(crate) const MULTI_CAUSE_CRASH_LIMIT: usize = 3;
/// Crash limit where other workers fell silent at the same time. A rack that fails three times in a row stays
/// below this limit.
pub(crate) const CORRELATED_CRASH_LIMIT: usize = 4;
/// Crash limit of a lasting task whose crashes were all of one machine: the machine may crash by itself, and there may be
/// no other one for the task.
pub(crate) const ONE_MACHINE_CRASH_LIMIT: usize = 5;
/// Crash limit where fewer than `MIN_CERTAIN_CRASHES` are certain, but all workers were replaced: a run may
/// have ended unreported before its worker crashed.
const PROVEN_CRASH_LIMIT: usize = 3;
/// Crash limit where some workers are only silent, or some runs may never have begun.
const UNCERTAIN_CRASH_LIMIT: usize = 4;
/// Minimum number of runs that had begun before a task is given up, whatever else is uncertain: a start
/// without an answer may not have arrived.
const MIN_BEGUN_RUNS: usize = 2;
/// Number of crashes, and of silences that may be crashes, from which the next start is delayed.
const DELAY_CRASH_COUNT: usize = 2;
/// Longest hash-based delay of the next start of a suspected task. Several tasks that start at the same time
/// crash their workers at the same time, which then looks like the failure of a rack: without this delay,
/// four of them were started together six times.
const MAX_START_SPREAD: Duration = Duration::from_millis(800);
/// Backoff from one more crash on, doubled with each further one: uncertain starts alone do not end a job,
/// and may cost a worker each.
const BACKOFF: Duration = Duration::from_secs(1);
/// Longest backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// Pause where the return of a silent worker would prove the crash that ends the job. A crashed worker is
/// back some seconds after its lease has expired, and each start before that may cost another worker.
const SILENT_WORKER_PAUSE: Duration = Duration::from_secs(5);
/// Number of doublings after which the longest backoff is reached.
const MAX_DOUBLINGS: usize = 3;

/// Pause before the next start of a task under which workers have crashed or may have crashed. It differs
/// from task to task.
pub(crate) fn restart_delay(
    task: &TaskName,
    run: RunNumber,
    count: &CrashCount,
) -> Option<Duration> {
    let extra_crashes = count.all.checked_sub(DELAY_CRASH_COUNT)?;
    let mut hasher = DefaultHasher::new();
    (task, run).hash(&mut hasher);
    let start_delay =
        MAX_START_SPREAD * u32::try_from(hasher.finish() % 1_000).unwrap_or(0) / 1_000;
    let backoff = match extra_crashes {
        0 => Duration::ZERO,
        more => (BACKOFF * (1 << (more - 1).min(MAX_DOUBLINGS))).min(MAX_BACKOFF),
    };
    let silence_pause =
        if count.needs_one_more_proof() { SILENT_WORKER_PAUSE } else { Duration::ZERO };
    Some(start_delay + backoff.max(silence_pause))
}

/// A run that may have crashed its worker. It is stored, since the crash may be proven only under the next
/// leader.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SuspectRun {
    /// Number of the start.
    pub run: RunNumber,
    /// The worker.
    pub worker: WorkerId,
    /// Address at which the worker answered.
    pub address: SocketAddr,
    /// Start of the worker instance that the run was sent to.
    #[serde(rename = "born")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instance_start: InstanceStart,
}

/// A run on probation when its worker crashed.
#[derive(Clone, Debug)]
pub(crate) struct CrashSuspect {
    /// The task.
    pub(crate) task: TaskName,
    /// Number of the start.
    pub(crate) run: RunNumber,
    /// Address of the worker.
    pub(crate) address: SocketAddr,
    /// Whether it was certainly running and is a likely cause: its worker had reported it as begun, no stop
    /// was sent, it cannot have ended unreported, and no task of another job was started there after it.
    pub(crate) sure: bool,
    /// Whether its worker had reported it as begun.
    pub(crate) begun: bool,
}

/// Numbers of crashes under a task, by their certainty.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CrashCount {
    /// Crashes under runs that were certainly running.
    pub(crate) sure: usize,
    /// Crashes of workers that were certainly replaced, under runs that had begun.
    pub(crate) proven: usize,
    /// Crashes under runs that had begun, and silences that may be such crashes.
    pub(crate) begun: usize,
    /// All crashes, and silences that may be crashes.
    pub(crate) all: usize,
}

impl CrashCount {
    /// Whether one more proven crash reaches the limit, and a silent worker may provide it.
    fn needs_one_more_proof(&self) -> bool {
        self.proven + 1 == PROVEN_CRASH_LIMIT && self.begun >= PROVEN_CRASH_LIMIT
    }

    /// Whether the task is to be given up. `limit` follows from what else may explain the last crash.
    pub(crate) fn exceeds_limit(&self, limit: usize) -> bool {
        (self.sure >= MIN_CERTAIN_CRASHES && self.all >= limit)
            || self.proven >= PROVEN_CRASH_LIMIT.max(limit)
            || (self.begun >= MIN_BEGUN_RUNS && self.all >= UNCERTAIN_CRASH_LIMIT.max(limit + 1))
    }
}

/// A crash of a worker.
#[derive(Debug)]
pub(crate) struct WorkerCrash {
    /// The worker.
    pub(crate) worker: WorkerId,
    /// Runs on probation there.
    pub(crate) suspects: Vec<CrashSuspect>,
    /// Number of crashes, including this one, from which a suspect is given up.
    pub(crate) limit: usize,
}
