//! A run of a task on a worker, as the leader sees it.

use std::time::Duration;

use tokio::time::Instant;

use crate::graph::workload::crash::PROBATION;
use crate::graph::workload::job::GraphJob;
use crate::graph::workload::name::{ImageId, RunNumber};
use crate::graph::workload::spec::StepSpec;
use crate::graph::workload::work_kind::WorkKind;
use crate::id::{RackId, WorkspaceId};
use crate::resources::ResourceVector;

/// Progress, in percent, from which the speed of a run can be estimated.
const MIN_PROGRESS_PERCENT: u32 = 10;

/// Shortest time over which progress is measured, as it is reported in whole percent.
const MIN_MEASURE_TIME: Duration = Duration::from_millis(250);

/// Shortest time and smallest progress over which the pace of a run is measured: shorter ones are dominated by the
/// delay of polls and by whole percents.
const MIN_PACE_TIME: Duration = Duration::from_millis(500);
const MIN_PACE_PERCENT: u32 = 5;

/// Phase of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunPhase {
    /// The start was sent `tries` times so far.
    Sent {
        /// Number of sends.
        tries: u32,
    },
    /// The worker has confirmed the run.
    Running {
        /// The worker's clock when it first confirmed the run.
        confirmed: Duration,
    },
    /// A stop was sent.
    Stopping {
        /// The worker's clock when it answered a stop.
        answered: Option<Duration>,
        /// When the stop was last sent, or was last found to be unanswered.
        sent: Instant,
    },
}

/// A run on a worker.
#[derive(Clone, Debug)]
pub struct WorkerRun {
    /// Number of the start.
    pub run: RunNumber,
    /// Resources that it reserves on the worker.
    pub need: ResourceVector,
    /// Workspace of its job.
    pub workspace: Option<WorkspaceId>,
    /// Resources that count against the cap of its workspace.
    pub demand: ResourceVector,
    /// Whether `need` is known; it is not for a run of a job that this leader does not know.
    pub demand_known: bool,
    /// Its phase.
    pub phase: RunPhase,
    /// When it was started or first listed.
    pub since: Instant,
    /// Run time that its caller declares; `None` for a task that runs until it is stopped.
    pub(crate) declared_run_time: Option<Duration>,
    /// The declared run time, where the progress of the run indicates the speed of its worker.
    pub estimate: Option<Duration>,
    /// Progress in percent at the last measurement of the worker's speed, and the time of that measurement.
    pub last_measurement: (u32, Instant),
    /// Progress in percent from which its pace is measured next, and the time of it. `None` before the first report
    /// of a run that may have resumed from a checkpoint.
    pub(crate) pace_start: Option<(u32, Instant)>,
    /// Kind of its work; `None` for a run of a job that this leader does not know.
    pub(crate) kind: Option<WorkKind>,
    /// Rack of its data.
    pub(crate) affinity: Option<RackId>,
    /// How many times as long it takes because its worker is on another rack than its data.
    pub(crate) distance_factor: f64,
    /// Last reported progress in percent.
    pub percent: u32,
    /// When the progress last changed.
    pub progressed_at: Instant,
    /// Tail latency or processors in use, as last reported by the worker.
    pub reported_load: u32,
    /// Last reported checkpoint.
    pub checkpoint: String,
    /// Priority of its queue, 0 first.
    pub priority: u32,
    /// Whether it uses only processors that no other run has reserved.
    pub best_effort: bool,
    /// Whether it may be preempted; members of gangs and lasting tasks may not.
    pub preemptible: bool,
    /// Whether its progress survives a stop, as it writes checkpoints.
    pub keeps_checkpoint: bool,
    /// Bound on its tail latency, where it serves requests.
    pub target: Option<Duration>,
    /// Image that it runs.
    pub image: Option<ImageId>,
    /// Percentage that it is throttled to.
    pub throttle: u32,
    /// Number of failed attempts to send its stop.
    pub failed_stops: u32,
    /// Until when, on the worker's clock, a start that was sent may still be carried out.
    pub until: Option<Duration>,
    /// Number of times that this leader has sent its start.
    pub sends: u32,
    /// Whether its worker has listed it.
    pub listed: bool,
    /// When an instance newer than the last known one took its start at the latest: its answer showed a clock that had
    /// started anew, or it has registered.
    pub(crate) taken_by_newer_instance: Option<Instant>,
    /// Whether its worker has reported it as begun.
    pub begun: bool,
    /// End of its probation, at which its worker counts as having survived the start; `None` afterwards.
    pub probation: Option<Instant>,
    /// Whether a worker has crashed during an earlier run of its task, or has fallen silent during this run.
    pub suspected: bool,
    /// Whether the store has a record that this run may crash its worker, written before or after the worker
    /// fell silent.
    pub suspicion_stored: bool,
}

impl WorkerRun {
    /// Creates a run of a task. Without `origin`, for a job that this leader does not know, it reserves no
    /// resources.
    pub fn new(
        run: RunNumber,
        phase: RunPhase,
        now: Instant,
        origin: Option<(&GraphJob, &StepSpec)>,
    ) -> Self {
        let step = origin.map(|(_, step)| step);
        let has = |test: fn(&StepSpec) -> bool| step.is_some_and(test);
        Self {
            run,
            need: step.map(StepSpec::reservation).unwrap_or_default(),
            workspace: origin.and_then(|(job, _)| job.workspace.clone()),
            demand: step.map(|step| step.need).unwrap_or_default(),
            demand_known: step.is_some(),
            phase,
            since: now,
            declared_run_time: step.filter(|step| !step.lasting).map(|step| step.estimate),
            estimate: step.filter(|step| indicates_speed(step)).map(|step| step.estimate),
            last_measurement: (0, now),
            pace_start: step.filter(|step| !step.checkpoints).map(|_| (0, now)),
            kind: origin.map(|(job, step)| WorkKind::of(job, step)),
            affinity: step.and_then(|step| step.affinity.clone()),
            distance_factor: 1.0,
            percent: 0,
            progressed_at: now,
            reported_load: step
                .filter(|step| step.best_effort)
                .map_or(0, |step| step.need.millicores),
            checkpoint: String::new(),
            priority: origin.map_or(0, |(job, _)| job.rule.priority),
            best_effort: has(|step| step.best_effort),
            preemptible: has(|step| !step.gang && !step.lasting),
            keeps_checkpoint: has(|step| step.checkpoints),
            target: step.and_then(|step| step.target),
            image: step.and_then(|step| step.image.clone()),
            throttle: 100,
            failed_stops: 0,
            until: None,
            sends: 0,
            listed: false,
            taken_by_newer_instance: None,
            begun: !matches!(phase, RunPhase::Sent { .. }),
            probation: None,
            suspected: false,
            suspicion_stored: false,
        }
    }
}

/// Whether the progress of a step's tasks indicates the speed of their worker. It does not for tasks that
/// wait for each other or that use only leftover processors.
fn indicates_speed(step: &StepSpec) -> bool {
    !(step.lasting || step.best_effort || step.gang || step.estimate.is_zero())
}

impl WorkerRun {
    /// Measures progress since the last measurement. Returns the work done, in terms of the declared run
    /// time, and the time that it took.
    pub(crate) fn measure(&mut self, now: Instant) -> Option<(Duration, Duration)> {
        let estimate = self.estimate?;
        let (percent, at) = self.last_measurement;
        let time = now.saturating_duration_since(at);
        if time < MIN_MEASURE_TIME {
            return None;
        }
        self.last_measurement = (self.percent, now);
        Some((estimate * self.percent.saturating_sub(percent) / 100, time))
    }

    /// Measures the pace since the last measurement of it: the share of the work done, and the time that it took.
    pub(crate) fn measure_pace(&mut self, now: Instant, percent: u32) -> Option<(f64, Duration)> {
        // The distance factor is nominal, so a run away from its data shows no speed.
        self.estimate.filter(|_| self.distance_factor <= 1.0)?;
        let Some((start, at)) = self.pace_start else {
            self.pace_start = Some((percent, now));
            return None;
        };
        let time = now.saturating_duration_since(at);
        let done = percent.saturating_sub(start);
        let is_measurable = match percent {
            100.. => done > 0 && !time.is_zero(),
            _ => done >= MIN_PACE_PERCENT && time >= MIN_PACE_TIME,
        };
        if !is_measurable || self.throttle != 100 {
            return None;
        }
        self.pace_start = Some((percent, now));
        Some((f64::from(done) / 100.0, time))
    }

    /// Notes that the worker has reported the run as begun, and returns whether this is the first report.
    /// Probation restarts now: a start that was sent more than once may have begun long after its first send,
    /// so the worker has not yet survived it.
    pub(crate) fn confirm(&mut self, now: Instant) -> bool {
        if std::mem::replace(&mut self.begun, true) {
            return false;
        }
        if let Some(probation) = &mut self.probation {
            *probation = now + PROBATION;
        }
        true
    }

    /// Whether it was certainly carried out by the instance that listed it, and by no later one.
    pub(crate) fn is_of_one_instance(&self) -> bool {
        self.listed && self.sends <= 1
    }

    /// Expected end of the run, from its progress if that is large enough, or else from its estimate.
    pub fn expected_end(&self, estimate: Duration) -> Instant {
        let worked = self.progressed_at.saturating_duration_since(self.since);
        match self.percent {
            percent if percent >= MIN_PROGRESS_PERCENT => self.since + worked * 100 / percent,
            _ => self.since + estimate,
        }
    }
}
