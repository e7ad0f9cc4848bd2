//! Crashes of workers: which crashes are proven, and which runs are suspected of them.
//!
//! A crash is proven by the next instance that answers at the worker's address, possibly after the worker's
//! lease has expired and its runs were given up. What else may explain the crash decides how many further
//! crashes a suspect is allowed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::graph::exchange::InstanceId;
use crate::graph::workers::run::{RunPhase, WorkerRun};
use crate::graph::workers::worker::WorkerInstance;
use crate::graph::workload::crash::{
    CORRELATED_CRASH_LIMIT, CrashSuspect, LONE_CAUSE_CRASH_LIMIT, MULTI_CAUSE_CRASH_LIMIT,
    SuspectRun, WorkerCrash,
};
use crate::graph::workload::name::TaskName;
use crate::id::WorkerId;

/// Workers that fall silent within this time have a common cause: a rack, a switch or a network partition.
/// Calls to a crashed worker fail within some milliseconds.
const CORRELATION_WINDOW: Duration = Duration::from_millis(50);
/// A start that came this much later than another is the more likely cause of a crash. Without this rule, two
/// of 18 tasks that ran beside the first starts of six crashing tasks were given up.
const LIKELY_CAUSE_DELAY: Duration = Duration::from_millis(100);
/// How long a machine that has crashed is expected to crash by itself again: workers that crash and restart
/// repeatedly do so for 30 s.
const MACHINE_CRASH_RETENTION: Duration = Duration::from_secs(30);
/// How long given-up runs are kept until their worker is proven to have crashed: a crashed worker is back
/// within seconds, and registers within one heartbeat.
const SILENT_RUN_RETENTION: Duration = Duration::from_secs(60);

/// Runs on probation that were given up with a worker that may have crashed under them.
#[derive(Debug)]
struct SilentInstance {
    address: SocketAddr,
    given_up_at: Instant,
    /// When calls began to fail; `None` for a worker that fell silent under an earlier leader.
    failing_since: Option<Instant>,
    suspects: Vec<CrashSuspect>,
}

/// Crashes of workers, and silences that may turn out to be crashes.
#[derive(Debug, Default)]
pub(crate) struct CrashTable {
    silent_instances: BTreeMap<InstanceId, SilentInstance>,
    /// Last crash of the machine at each address.
    machine_crashes: BTreeMap<SocketAddr, MachineCrash>,
}

/// Last crash of a machine, kept to assess its later ones.
#[derive(Debug)]
struct MachineCrash {
    /// When the crash was noticed.
    noticed: Instant,
    /// When calls began to fail, where that is known.
    failing_since: Option<Instant>,
    /// Whether nothing had been started there that could have caused the crash.
    spontaneous: bool,
}

/// A proven crash whose other possible causes are still to be assessed.
struct ProvenCrash {
    worker: WorkerId,
    address: SocketAddr,
    /// When calls began to fail, where that is known.
    failing_since: Option<Instant>,
    suspects: Vec<CrashSuspect>,
}

impl CrashTable {
    /// Notes a run on probation that was given up with the lease of a silent worker, or that was started by
    /// an earlier leader. Calls to the worker have failed since `failing_since`.
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
        instance.suspects.push(CrashSuspect { task, run, address, sure: false, begun: false });
    }

    /// Handles an answer of a worker's instance: this instance has not crashed, and any other instance of the
    /// worker that was silent has. Returns those crashes.
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

    /// Forgets the suspect runs of an instance that had announced that it leaves: its end does not prove a crash.
    pub(crate) fn forget_instance(&mut self, id: &InstanceId) {
        self.silent_instances.remove(id);
    }

    /// Notes the crash of a worker's instance. `silent` holds the times since which other workers have been
    /// silent.
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

    /// Handles the first answer of a worker at an address: silent workers at that address that are no longer
    /// known have crashed. Returns those crashes.
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

    /// Confirms that a silent instance has crashed.
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

    /// Whether the machine at an address has crashed recently.
    pub(crate) fn crashed_recently(&self, now: Instant, address: &SocketAddr) -> bool {
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
    /// Creates a suspect from a run on probation on a crashed worker.
    fn new(now: Instant, task: &TaskName, run: &WorkerRun, instance: &WorkerInstance) -> Self {
        let stopping = matches!(run.phase, RunPhase::Stopping { .. });
        let started_after = |(other, later): (&TaskName, &WorkerRun)| {
            other.job != task.job
                && later.probation.is_some()
                && later.since >= run.since + LIKELY_CAUSE_DELAY
        };
        let was_running = instance.was_certainly_running(run, now);
        let sure = was_running && !stopping && !instance.runs.iter().any(started_after);
        let address = instance.address();
        Self { task: task.clone(), run: run.run, address, sure, begun: run.begun }
    }
}
