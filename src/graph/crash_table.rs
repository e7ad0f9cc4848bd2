//! Crashes of workers: which of them are proven, and what speaks against which run.
//!
//! A crash is proven by the next life that answers at the worker's address, which may come after its lease has run out
//! and its runs were given up. What else may explain it decides how many more such crashes a suspect may see.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::graph::crash::{
    BLURRED_LIMIT, CLEAR_LIMIT, COMMON_LIMIT, CrashSuspect, RunTrial, WorkerCrash,
};
use crate::graph::exchange::LifeId;
use crate::graph::name::TaskName;
use crate::graph::worker::{RunPhase, WorkerLife, WorkerRun};
use crate::id::WorkerId;

/// Workers that fall silent this close to each other have one cause: a rack, a switch or a cut. Calls to a worker that
/// has crashed break within some milliseconds.
const SAME_MOMENT: Duration = Duration::from_millis(50);
/// A start that came this much later than another is the likelier cause of a crash. Of 18 tasks that ran beside the
/// first starts of six that crash their workers, two were given up without.
const LIKELIER_AFTER: Duration = Duration::from_millis(100);
/// How long a machine that has crashed may do so by itself again: workers that go up and down by turns do for 30 s.
const MACHINE_DOUBT: Duration = Duration::from_secs(30);
/// How long runs that were given up are remembered for the proof that their worker had crashed: it is back seconds
/// after its crash, and registers within one heartbeat.
const PROOF_TIME: Duration = Duration::from_secs(60);

/// Runs on probation that were given up with a worker that may have crashed under them.
#[derive(Debug)]
struct SilentLife {
    address: SocketAddr,
    since: Instant,
    /// When calls began to fail; `None` for one of an earlier leader's time.
    moment: Option<Instant>,
    suspects: Vec<CrashSuspect>,
}

/// Crashes of workers, and silences that may turn out to be crashes.
#[derive(Debug, Default)]
pub(crate) struct CrashTable {
    silent: BTreeMap<LifeId, SilentLife>,
    /// The last crash of the machine at an address.
    crashed: BTreeMap<SocketAddr, MachineCrash>,
}

/// A crash, as the machine's later ones are weighed by it.
#[derive(Debug)]
struct MachineCrash {
    /// When it was noticed.
    noticed: Instant,
    /// When calls began to fail, where that is known.
    moment: Option<Instant>,
    /// Whether nothing had been started there that could have caused it.
    unprompted: bool,
}

/// A crash as it shows, before it is known what else may have caused it.
struct ProvenCrash {
    worker: WorkerId,
    address: SocketAddr,
    /// When calls began to fail, where that is known.
    moment: Option<Instant>,
    suspects: Vec<CrashSuspect>,
}

impl CrashTable {
    /// A run on probation was given up with the lease of a worker that is silent, or was begun by an earlier leader.
    /// Calls to that worker have failed since `moment`.
    pub(crate) fn note_trial(
        &mut self,
        now: Instant,
        task: TaskName,
        trial: RunTrial,
        moment: Option<Instant>,
    ) {
        let RunTrial { run, worker, address, born } = trial;
        self.silent.retain(|_, life| now.saturating_duration_since(life.since) < PROOF_TIME);
        let life = self.silent.entry(LifeId::new(worker, born));
        let life = life.or_insert(SilentLife { address, since: now, moment, suspects: Vec::new() });
        life.suspects.push(CrashSuspect { task, run, sure: false, begun: false });
    }

    /// A life of a worker answers: where it was silent it has not crashed, and other lives that were have.
    pub(crate) fn answered(&mut self, now: Instant, life: &LifeId) -> Vec<WorkerCrash> {
        let over: Vec<(LifeId, SilentLife)> =
            self.silent.extract_if(.., |silent, _| silent.is_other_life_of(life)).collect();
        self.silent.retain(|silent, _| silent.worker != life.worker);
        over.into_iter().map(|(silent, over)| self.prove(now, silent, over)).collect()
    }

    /// A life of a worker has crashed; other workers have been silent since the moments given.
    pub(crate) fn crashed(
        &mut self,
        now: Instant,
        life: &WorkerLife,
        silent: &[Instant],
    ) -> WorkerCrash {
        let on_probation = life.runs.iter().filter(|(_, run)| run.probation.is_some());
        let mut suspects: Vec<CrashSuspect> =
            on_probation.map(|(task, run)| CrashSuspect::new(now, task, run, life)).collect();
        suspects
            .extend(self.silent.remove(&life.life_id()).into_iter().flat_map(|life| life.suspects));
        let (worker, address) = (life.id().clone(), life.address());
        let moment = life.silent_since;
        self.weigh(now, ProvenCrash { worker, address, moment, suspects }, silent)
    }

    /// Another worker answers at an address: those that went silent there, and were not heard of again, have crashed.
    pub(crate) fn succeeded(
        &mut self,
        now: Instant,
        address: SocketAddr,
        known: impl Fn(&WorkerId) -> bool,
    ) -> Vec<WorkerCrash> {
        let gone = |id: &LifeId, life: &SilentLife| life.address == address && !known(&id.worker);
        let gone: Vec<(LifeId, SilentLife)> =
            self.silent.extract_if(.., |id, life| gone(id, life)).collect();
        gone.into_iter().map(|(id, life)| self.prove(now, id, life)).collect()
    }

    /// A life that was silent has surely crashed.
    fn prove(&mut self, now: Instant, id: LifeId, life: SilentLife) -> WorkerCrash {
        let SilentLife { address, moment, suspects, .. } = life;
        self.weigh(now, ProvenCrash { worker: id.worker, address, moment, suspects }, &[])
    }

    /// Whether the machine at an address has crashed lately.
    pub(crate) fn crashed_lately(&self, now: Instant, address: &SocketAddr) -> bool {
        self.crashed.get(address).is_some_and(|crash| crash.counts(now))
    }

    fn weigh(&mut self, now: Instant, crash: ProvenCrash, silent: &[Instant]) -> WorkerCrash {
        let ProvenCrash { worker, address, moment, suspects } = crash;
        let mut likely = suspects.iter().filter(|suspect| suspect.sure);
        let first = likely.next().map(|suspect| &suspect.task.job);
        let one_job = likely.all(|suspect| Some(&suspect.task.job) == first);
        self.crashed.retain(|_, crash| crash.counts(now));
        let elsewhere = self.crashed.iter().filter(|(other, _)| **other != address);
        let mut others =
            elsewhere.filter_map(|(_, crash)| crash.moment).chain(silent.iter().copied());
        let alone = !moment.is_some_and(|moment| others.any(|other| is_same_moment(other, moment)));
        let before = self.crashed.get(&address).is_some_and(|crash| crash.unprompted);
        let limit = match alone {
            true if one_job && !before => CLEAR_LIMIT,
            true => BLURRED_LIMIT,
            false => COMMON_LIMIT,
        };
        let unprompted = suspects.is_empty() || before;
        self.crashed.insert(address, MachineCrash { noticed: now, moment, unprompted });
        WorkerCrash { worker, suspects, limit }
    }
}

impl MachineCrash {
    fn counts(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.noticed) < MACHINE_DOUBT
    }
}

fn is_same_moment(one: Instant, other: Instant) -> bool {
    let apart = one.max(other).saturating_duration_since(one.min(other));
    apart < SAME_MOMENT
}

impl CrashSuspect {
    /// A run on probation of a worker that has crashed.
    fn new(now: Instant, task: &TaskName, run: &WorkerRun, life: &WorkerLife) -> Self {
        let stopping = matches!(run.phase, RunPhase::Stopping { .. });
        let started_after = |(other, later): (&TaskName, &WorkerRun)| {
            other.job != task.job
                && later.probation.is_some()
                && later.since >= run.since + LIKELIER_AFTER
        };
        let went_on = life.surely_went_on(run, now);
        let sure = went_on && !stopping && !life.runs.iter().any(started_after);
        Self { task: task.clone(), run: run.run, sure, begun: run.begun }
    }
}
