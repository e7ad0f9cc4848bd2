//! Which runs a crash of their worker speaks against.
//!
//! A task may crash every worker that starts it, and no worker is left to list such an end. So each run is on
//! probation until its worker has outlived the start by a while; runs on probation are the suspects of a crash. Those
//! beside the one that caused it are told apart by where they are started next: no two suspected jobs share a worker
//! while they are on probation.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::graph::exchange::InstanceStart;
use crate::graph::name::{RunNumber, TaskName};
use crate::id::WorkerId;

/// How long a worker has to outlive a start before the run counts as harmless: tasks that crash their workers do so as
/// they start, after 10 ms in the logs; one that loads for a second first is covered as well.
pub(crate) const PROBATION: Duration = Duration::from_secs(1);
/// How many of the crashes have to be under runs that surely went on until then: one may have any cause.
const MIN_CERTAIN_CRASHES: usize = 2;
/// Crashes from which a task is given up where nothing else explains the last of them. Each costs a worker with all that
/// runs there.
pub(crate) const LONE_CAUSE_CRASH_LIMIT: usize = 2;
/// The same where other jobs were on probation beside it, or the machine crashes by itself.
pub(crate) const MULTI_CAUSE_CRASH_LIMIT: usize = 3;
/// The same where other workers went at the same moment: racks that go three times in a row leave it short of this.
pub(crate) const CORRELATED_CRASH_LIMIT: usize = 4;
/// The same without two such crashes, where all workers were replaced: a run may have ended unheard before its worker went.
const PROVEN_CRASH_LIMIT: usize = 3;
/// The same where some workers are only silent, or some runs may never have begun.
const UNCERTAIN_CRASH_LIMIT: usize = 4;
/// Runs that have to have begun before a task is given up, whatever else is doubtful: a start that is not answered may not
/// have arrived.
const MIN_BEGUN_RUNS: usize = 2;
/// Crashes, and silences that may be crashes, from which the next start is spread.
const DELAY_CRASH_COUNT: usize = 2;
/// Longest pause before a suspected task is started again. Several that start at one moment crash their workers at one
/// moment, which then looks like a rack that goes: four of them were started in step six times.
const MAX_START_SPREAD: Duration = Duration::from_millis(800);
/// Added to the pause from one more on, and doubled with each further one: doubtful starts alone do not end a job, and may
/// cost a worker each.
const BACKOFF: Duration = Duration::from_secs(1);
/// Longest such addition.
const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// Pause where the return of a silent worker would prove the crash that ends the job: a worker that has crashed is back some
/// seconds after its lease has run out, and each start before that may cost another.
const SILENT_WORKER_PAUSE: Duration = Duration::from_secs(5);
/// Doublings after which the longest is reached.
const MAX_DOUBLINGS: usize = 3;

/// Pause before a task is started again under which workers have crashed or may have; it differs from task to task.
pub(crate) fn restart_delay(
    task: &TaskName,
    run: RunNumber,
    count: &CrashCount,
) -> Option<Duration> {
    let extra_crashes = count.all.checked_sub(DELAY_CRASH_COUNT)?;
    let mut hasher = DefaultHasher::new();
    (task, run).hash(&mut hasher);
    let spread = MAX_START_SPREAD * u32::try_from(hasher.finish() % 1_000).unwrap_or(0) / 1_000;
    let backoff = match extra_crashes {
        0 => Duration::ZERO,
        more => (BACKOFF * (1 << (more - 1).min(MAX_DOUBLINGS))).min(MAX_BACKOFF),
    };
    let silence_pause =
        if count.needs_one_more_proof() { SILENT_WORKER_PAUSE } else { Duration::ZERO };
    Some(spread + backoff.max(silence_pause))
}

/// A run that may have crashed its worker, as the store keeps it: the next leader may be the one that hears of it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SuspectRun {
    /// Number of the start.
    pub run: RunNumber,
    /// The worker.
    pub worker: WorkerId,
    /// Where it answered.
    pub address: SocketAddr,
    /// Start of its life that the run was sent to.
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
    /// Whether it surely ran, and may well have been the cause: its worker had said that it has it and was not told to
    /// stop it, it cannot have ended unheard, and no task of another job was started there after it.
    pub(crate) sure: bool,
    /// Whether its worker had said that it has it.
    pub(crate) begun: bool,
}

/// What is known of the crashes under a task.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CrashCount {
    /// Those under runs that surely went on.
    pub(crate) sure: usize,
    /// Those of workers that were surely replaced, under runs that had begun.
    pub(crate) proven: usize,
    /// Those under runs that had begun, and silences that may be such crashes.
    pub(crate) begun: usize,
    /// All, and silences that may be crashes.
    pub(crate) all: usize,
}

impl CrashCount {
    /// Whether one more proof gives the task up, and a silent worker may bring it.
    fn needs_one_more_proof(&self) -> bool {
        self.proven + 1 == PROVEN_CRASH_LIMIT && self.begun >= PROVEN_CRASH_LIMIT
    }

    /// Whether the task is to be given up, by the limit that follows from what else explains the last crash.
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
    /// Crashes from which a suspect is given up, this one counted.
    pub(crate) limit: usize,
}
