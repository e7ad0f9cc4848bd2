//! All workers of a leader: their polls, their leases, and the events that follow from their answers.

mod ends;
mod polls;
mod registrations;
mod restart;
mod running_list;
mod stored;

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::graph::workers::fences::FenceTable;
use crate::graph::workers::late_calls::LateCalls;
use crate::graph::workers::poll_pacer::PollPacer;
use crate::graph::workers::registration_clock::RegistrationClock;
use crate::graph::workers::run::WorkerRun;
use crate::graph::workers::run_costs::RunCosts;
use crate::graph::workers::speed::SpeedTable;
use crate::graph::workers::worker::WorkerInstance;
use crate::graph::workload::crash::SuspectRun;
use crate::graph::workload::crash_table::CrashTable;
use crate::graph::workload::name::TaskName;
use crate::id::WorkerId;

pub(crate) use registrations::REREGISTRATION_TIME;

/// Lease of a worker, during which its tasks keep running without another call. The tasks of a worker that
/// stops answering are started elsewhere only after this time; a leader that crashes must be replaced within
/// it.
pub(crate) const WORKER_LEASE: Duration = Duration::from_millis(4_500);
/// A worker that has not answered for this long gets no new work.
pub(crate) const SILENCE_LIMIT: Duration = Duration::from_millis(1_900);

/// All workers.
#[derive(Debug, Default)]
pub struct InstanceTable {
    instances: BTreeMap<WorkerId, WorkerInstance>,
    crashes: CrashTable,
    pacer: PollPacer,
    /// Longest lease that a worker accepts.
    max_lease: Duration,
    run_costs: RunCosts,
    /// Interval at which workers report to the store; zero where it is not known.
    heartbeat: Duration,
    speeds: SpeedTable,
    pub(crate) late_calls: LateCalls,
    fences: FenceTable,
    pub(crate) registration_clock: RegistrationClock,
}

impl InstanceTable {
    /// Creates an empty table.
    pub fn new(max_lease: Duration, run_costs: RunCosts) -> Self {
        Self { max_lease, run_costs, ..Self::default() }
    }

    /// Sets the interval at which workers report to the store.
    pub fn with_heartbeat(self, heartbeat: Duration) -> Self {
        Self { heartbeat, ..self }
    }

    /// Returns a worker.
    pub fn get(&self, id: &WorkerId) -> Option<&WorkerInstance> {
        self.instances.get(id)
    }

    /// Returns a worker for modification.
    pub(crate) fn get_mut(&mut self, id: &WorkerId) -> Option<&mut WorkerInstance> {
        self.instances.get_mut(id)
    }

    /// What it costs to stop or displace runs.
    pub(crate) fn run_costs(&self) -> &RunCosts {
        &self.run_costs
    }

    /// Adds a run to a worker. It takes longer where its data is on another rack.
    pub(crate) fn add_run(&mut self, worker: &WorkerId, task: TaskName, run: WorkerRun) {
        if let Some(instance) = self.instances.get_mut(worker) {
            let is_remote = run.affinity.as_ref().is_some_and(|rack| rack != instance.rack());
            let distance_factor = if is_remote { self.run_costs.remote_rack_factor } else { 1.0 };
            instance.add_run(task, WorkerRun { distance_factor, ..run });
        }
    }

    /// Speed of a worker relative to the mean of all workers; `None` where it is not known.
    pub fn relative_speed(&self, now: Instant, worker: &WorkerId) -> Option<f64> {
        self.speeds.relative_speed(now, &self.get(worker)?.speed)
    }

    /// Speeds of the classes that the workers form, slowest first; at most one where they are alike.
    pub fn class_speeds(&self) -> Vec<f64> {
        self.speeds.class_speeds()
    }

    /// All workers.
    pub fn iter(&self) -> impl Iterator<Item = &WorkerInstance> + Clone {
        self.instances.values()
    }

    /// Workers that may get new work, leaving their free capacity aside.
    pub(crate) fn accepting_work(&self, now: Instant) -> impl Iterator<Item = &WorkerInstance> {
        let clock = &self.registration_clock;
        self.iter().filter(move |instance| {
            clock.is_current(instance.registration_read)
                && instance.accepts_work(now, SILENCE_LIMIT)
        })
    }

    /// Whether a start may be sent to a worker again.
    pub(crate) fn may_retry_start(&self, id: &WorkerId) -> bool {
        self.get(id).is_some_and(|instance| {
            instance.is_available()
                && self.registration_clock.is_current(instance.registration_read)
        })
    }

    /// All workers, for modification.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut WorkerInstance> {
        self.instances.values_mut()
    }

    /// Notes a run of an earlier leader that may have crashed its worker.
    pub(crate) fn inherit_suspect_run(
        &mut self,
        now: Instant,
        task: TaskName,
        suspect_run: SuspectRun,
    ) {
        self.crashes.note_suspect_run(now, task, suspect_run, None);
    }

    /// Whether the machine of a worker has crashed recently.
    pub(crate) fn crashed_recently(&self, now: Instant, instance: &WorkerInstance) -> bool {
        self.crashes.crashed_recently(now, &instance.address())
    }
}
