//! Crashes of workers: which of them are proven, and what speaks against which run.
//!
//! A crash is proven by the next life that answers at the worker's address, which may come after its lease has run out
//! and its runs were given up. What else may explain it decides how many more such crashes a suspect may see.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::graph::crash::{
    CORRELATED_CRASH_LIMIT, CrashSuspect, LONE_CAUSE_CRASH_LIMIT, MULTI_CAUSE_CRASH_LIMIT,
    SuspectRun, WorkerCrash,
};
use crate::graph::exchange::InstanceId;
use crate::graph::name::TaskName;
use crate::graph::worker::{RunPhase, WorkerInstance, WorkerRun};
use crate::id::WorkerId;

/// Workers that fall silent this close to each other have one cause: a rack, a switch or a cut. Calls to a worker that
/// has crashed break within some milliseconds.
const CORRELATION_WINDOW: Duration = Duration::from_millis(50);
/// A start that came this much later than another is the likelier cause of a crash. Of 18 tasks that ran beside the
/// first starts of six that crash their workers, two were given up without.
const LIKELY_CAUSE_DELAY: Duration = Duration::from_millis(100);
/// How long a machine that has crashed may do so by itself again: workers that go up and down by turns do for 30 s.
const MACHINE_CRASH_RETENTION: Duration = Duration::from_secs(30);
/// How long runs that were given up are remembered for the proof that their worker had crashed: it is back seconds
/// after its crash, and registers within one heartbeat.
const SILENT_RUN_RETENTION: Duration = Duration::from_secs(60);

/// Runs on probation that were given up with a worker that may have crashed under them.
#[derive(Debug)]
struct SilentInstance {
    address: SocketAddr,
    given_up_at: Instant,
    /// When calls began to fail; `None` for one of an earlier leader's time.
    failing_since: Option<Instant>,
    suspects: Vec<CrashSuspect>,
}

/// Crashes of workers, and silences that may turn out to be crashes.
#[derive(Debug, Default)]
pub(crate) struct CrashTable {
    silent_instances: BTreeMap<InstanceId, SilentInstance>,
    /// The last crash of the machine at an address.
    machine_crashes: BTreeMap<SocketAddr, MachineCrash>,
}

/// A crash, as the machine's later ones are weighed by it.
#[derive(Debug)]
struct MachineCrash {
    /// When it was noticed.
    noticed: Instant,
    /// When calls began to fail, where that is known.
    failing_since: Option<Instant>,
    /// Whether nothing had been started there that could have caused it.
    spontaneous: bool,
}

/// A crash as it shows, before it is known what else may have caused it.
struct ProvenCrash {
    worker: WorkerId,
    address: SocketAddr,
    /// When calls began to fail, where that is known.
    failing_since: Option<Instant>,
    suspects: Vec<CrashSuspect>,
}

impl CrashTable {
    /// A run on probation was given up with the lease of a worker that is silent, or was begun by an earlier leader.
    /// Calls to that worker have failed since `moment`.
    pub(crate) fn note_suspect_run(
        &mut self,
        now: Instant,
        task: TaskName,
        suspect_run: SuspectRun,
        failing_since: Option<Instant>,
    ) {
        let SuspectRun { run, worker, address, instance_start } = suspect_run;
        self.silent_instances.retain(|_, instance| {
            now.saturating_duration_since(instance.given_up_at) < SILENT_RUN_RETENTION
        });
        let instance = self.silent_instances.entry(InstanceId::new(worker, instance_start));
        let instance = instance.or_insert(SilentInstance {
            address,
            given_up_at: now,
            failing_since,
            suspects: Vec::new(),
        });
        instance.suspects.push(CrashSuspect { task, run, sure: false, begun: false });
    }

    /// A life of a worker answers: where it was silent it has not crashed, and other lives that were have.
    pub(crate) fn handle_answer(
        &mut self,
        now: Instant,
        instance: &InstanceId,
    ) -> Vec<WorkerCrash> {
        let ended_instances: Vec<(InstanceId, SilentInstance)> = self
            .silent_instances
            .extract_if(.., |silent, _| silent.is_other_instance_of(instance))
            .collect();
        self.silent_instances.retain(|silent, _| silent.worker != instance.worker);
        ended_instances
            .into_iter()
            .map(|(id, instance)| self.confirm_crash(now, id, instance))
            .collect()
    }

    /// A life of a worker has crashed; other workers have been silent since the moments given.
    pub(crate) fn note_crash(
        &mut self,
        now: Instant,
        instance: &WorkerInstance,
        silent: &[Instant],
    ) -> WorkerCrash {
        let on_probation = instance.runs.iter().filter(|(_, run)| run.probation.is_some());
        let mut suspects: Vec<CrashSuspect> =
            on_probation.map(|(task, run)| CrashSuspect::new(now, task, run, instance)).collect();
        suspects.extend(
            self.silent_instances
                .remove(&instance.instance_id())
                .into_iter()
                .flat_map(|instance| instance.suspects),
        );
        let (worker, address) = (instance.id().clone(), instance.address());
        let failing_since = instance.silent_since;
        self.assess_crash(now, ProvenCrash { worker, address, failing_since, suspects }, silent)
    }

    /// Another worker answers at an address: those that went silent there, and were not heard of again, have crashed.
    pub(crate) fn handle_successor(
        &mut self,
        now: Instant,
        address: SocketAddr,
        known: impl Fn(&WorkerId) -> bool,
    ) -> Vec<WorkerCrash> {
        let gone = |id: &InstanceId, instance: &SilentInstance| {
            instance.address == address && !known(&id.worker)
        };
        let gone: Vec<(InstanceId, SilentInstance)> =
            self.silent_instances.extract_if(.., |id, instance| gone(id, instance)).collect();
        gone.into_iter().map(|(id, instance)| self.confirm_crash(now, id, instance)).collect()
    }

    /// A life that was silent has surely crashed.
    fn confirm_crash(
        &mut self,
        now: Instant,
        id: InstanceId,
        instance: SilentInstance,
    ) -> WorkerCrash {
        let SilentInstance { address, failing_since, suspects, .. } = instance;
        self.assess_crash(
            now,
            ProvenCrash { worker: id.worker, address, failing_since, suspects },
            &[],
        )
    }

    /// Whether the machine at an address has crashed lately.
    pub(crate) fn crashed_lately(&self, now: Instant, address: &SocketAddr) -> bool {
        self.machine_crashes.get(address).is_some_and(|crash| crash.is_recent(now))
    }

    fn assess_crash(
        &mut self,
        now: Instant,
        crash: ProvenCrash,
        silent: &[Instant],
    ) -> WorkerCrash {
        let ProvenCrash { worker, address, failing_since, suspects } = crash;
        let mut likely = suspects.iter().filter(|suspect| suspect.sure);
        let first = likely.next().map(|suspect| &suspect.task.job);
        let is_single_job = likely.all(|suspect| Some(&suspect.task.job) == first);
        self.machine_crashes.retain(|_, crash| crash.is_recent(now));
        let elsewhere = self.machine_crashes.iter().filter(|(other, _)| **other != address);
        let mut others =
            elsewhere.filter_map(|(_, crash)| crash.failing_since).chain(silent.iter().copied());
        let is_isolated =
            !failing_since.is_some_and(|moment| others.any(|other| is_correlated(other, moment)));
        let was_spontaneous =
            self.machine_crashes.get(&address).is_some_and(|crash| crash.spontaneous);
        let limit = match is_isolated {
            true if is_single_job && !was_spontaneous => LONE_CAUSE_CRASH_LIMIT,
            true => MULTI_CAUSE_CRASH_LIMIT,
            false => CORRELATED_CRASH_LIMIT,
        };
        let spontaneous = suspects.is_empty() || was_spontaneous;
        self.machine_crashes
            .insert(address, MachineCrash { noticed: now, failing_since, spontaneous });
        WorkerCrash { worker, suspects, limit }
    }
}

impl MachineCrash {
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.noticed) < MACHINE_CRASH_RETENTION
    }
}

fn is_correlated(one: Instant, other: Instant) -> bool {
    let apart = one.max(other).saturating_duration_since(one.min(other));
    apart < CORRELATION_WINDOW
}

impl CrashSuspect {
    /// A run on probation of a worker that has crashed.
    fn new(now: Instant, task: &TaskName, run: &WorkerRun, instance: &WorkerInstance) -> Self {
        let stopping = matches!(run.phase, RunPhase::Stopping { .. });
        let started_after = |(other, later): (&TaskName, &WorkerRun)| {
            other.job != task.job
                && later.probation.is_some()
                && later.since >= run.since + LIKELY_CAUSE_DELAY
        };
        let went_on = instance.was_certainly_running(run, now);
        let sure = went_on && !stopping && !instance.runs.iter().any(started_after);
        Self { task: task.clone(), run: run.run, sure, begun: run.begun }
    }
}
