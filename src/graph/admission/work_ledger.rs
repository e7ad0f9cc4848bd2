//! Work of accepted jobs that is not done yet, by class and by the order in which it is served.
//!
//! The load pattern behind it is a backlog of thousands of jobs while forty more are submitted each second: sums are
//! kept with each change of a job, so that no submission walks over the jobs.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::graph::admission::service_rate::ServiceRates;
use crate::graph::admission::work_class::WorkClass;
use crate::graph::workload::job::{GraphJob, VALUE_EXPIRY_FACTOR};
use crate::graph::workload::name::{GraphId, StepKey, TaskKey};
use crate::graph::workload::progress::GraphVerdict;
use crate::graph::workload::spec::StepSpec;
use crate::id::WorkspaceId;

/// Resolution of the latest starts by which work is summed up.
const SLOT: Duration = Duration::from_millis(250);
/// Most work that one job counts for, in thousandths of a core-second, so that no sum overflows: thirty core-years.
const MAX_JOB_WORK: u64 = 1 << 40;

/// How much of its value a waiting job can still keep.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ValueStage {
    /// All of it.
    InTime,
    /// A part of it.
    Late,
    /// Nothing: the job is served after all others.
    Expired,
}

/// Work of one job.
#[derive(Clone, Debug)]
struct JobWork {
    class: WorkClass,
    workspace: Option<WorkspaceId>,
    /// Declared work that is not done, in thousandths of a core-second.
    open: u64,
    /// Processors that its runs hold, in millicores.
    held: u64,
    stage: ValueStage,
    /// Latest start of its longest open chain within its stage.
    latest_start: Instant,
    objective: Duration,
    /// Its runs, with the time of their start where this leader has sent it.
    starts: BTreeMap<TaskKey, Option<Instant>>,
    /// When it was forecast to end.
    forecast_end: Option<Instant>,
}

/// Work of one workspace in one class.
#[derive(Clone, Debug, Default)]
struct WorkspaceWork {
    open: u64,
    /// Open work by the latest start of its job.
    slots: BTreeMap<u64, u64>,
}

impl WorkspaceWork {
    /// Work of jobs with a latest start up to the given slot; all of it without one.
    fn until(&self, slot: Option<u64>) -> u64 {
        slot.map_or(self.open, |slot| self.slots.range(..=slot).map(|(_, open)| open).sum())
    }
}

/// Work of one class.
#[derive(Clone, Debug, Default)]
struct ClassWork {
    open: u64,
    held: u64,
    workspaces: BTreeMap<Option<WorkspaceId>, WorkspaceWork>,
}

/// Place in the serving order: a class, and a latest start in it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServingPlace {
    pub(crate) class: WorkClass,
    pub(crate) latest_start: Instant,
}

/// Open work of all jobs that end by themselves and run once.
#[derive(Clone, Debug)]
pub(crate) struct WorkLedger {
    origin: Instant,
    jobs: BTreeMap<GraphId, JobWork>,
    classes: BTreeMap<WorkClass, ClassWork>,
    /// Jobs whose value can still fall, by the time at which it does.
    value_losses: BTreeSet<(Instant, GraphId)>,
}

/// Whether the work of a job can be forecast: it ends by itself and does not wait for a schedule.
pub(crate) fn is_forecastable(job: &GraphJob) -> bool {
    !job.spec.lasts() && job.spec.repeat.is_none()
}

/// Declared work of a job that is not done, in thousandths of a core-second; runs count as half done.
pub(crate) fn open_work(job: &GraphJob) -> u64 {
    let step_work = |(index, step): (usize, &StepSpec)| {
        let key = StepKey { occurrence: 0, step: u32::try_from(index).unwrap_or(u32::MAX) };
        let in_this_shard = |index: &u32| {
            job.share.as_ref().is_none_or(|share| share.holds(&job.shard, *index, step.count))
        };
        let count = match &job.share {
            None => step.count.saturating_sub(job.progress.done_count(key)),
            Some(_) => {
                let open = |index: &u32| {
                    in_this_shard(index)
                        && !job.progress.is_done(&TaskKey { step: key, index: *index })
                };
                u32::try_from((0..step.count).filter(open).count()).unwrap_or(u32::MAX)
            }
        };
        let first = TaskKey { step: key, index: 0 };
        let last = TaskKey { step: key, index: u32::MAX };
        let live = job.live.range(first..=last).count() as u64;
        let task = u64::from(step.reservation().millicores)
            .saturating_mul(u64::try_from(step.estimate.as_millis()).unwrap_or(u64::MAX))
            / 1_000;
        (task.saturating_mul(u64::from(count))).saturating_sub(task.saturating_mul(live) / 2)
    };
    job.spec.steps.iter().enumerate().map(step_work).fold(0, u64::saturating_add).min(MAX_JOB_WORK)
}

/// Longest chain of declared run times among the steps that are not done.
fn open_path(job: &GraphJob) -> Duration {
    let is_open = |index: &usize| {
        let step = u32::try_from(*index).unwrap_or(u32::MAX);
        !job.step_done(StepKey { occurrence: 0, step })
    };
    let open = (0..job.spec.steps.len()).filter(is_open);
    open.filter_map(|index| job.critical_paths.get(index)).max().copied().unwrap_or_default()
}

impl JobWork {
    fn of(job: &GraphJob, now: Instant, started: Option<Instant>, before: Option<Self>) -> Self {
        let (objective, path) = (job.objective(), open_path(job));
        let latest = |limit: Duration| {
            (job.submitted_at + limit).checked_sub(path).unwrap_or(job.submitted_at)
        };
        let (in_time, late) = (latest(objective), latest(objective * VALUE_EXPIRY_FACTOR));
        let (stage, latest_start) = match () {
            () if now <= in_time => (ValueStage::InTime, in_time),
            () if now <= late => (ValueStage::Late, late),
            () => (ValueStage::Expired, late),
        };
        let held = |key: &TaskKey| {
            job.step(key.step).map_or(0, |step| u64::from(step.reservation().millicores))
        };
        let forecast_end = before.as_ref().and_then(|before| before.forecast_end);
        let known = before.map(|before| before.starts).unwrap_or_default();
        let start = |key: &TaskKey| (*key, known.get(key).copied().unwrap_or(started));
        Self {
            class: WorkClass::of(job),
            workspace: job.workspace.clone(),
            open: open_work(job),
            held: job.live.keys().map(held).sum(),
            stage,
            latest_start,
            objective,
            starts: job.live.keys().map(start).collect(),
            forecast_end,
        }
    }
}

impl WorkLedger {
    pub(crate) fn new(origin: Instant) -> Self {
        Self {
            origin,
            jobs: BTreeMap::new(),
            classes: BTreeMap::new(),
            value_losses: BTreeSet::new(),
        }
    }

    /// Notes the present state of a job; `started` is the time at which this leader has sent the start of its new
    /// runs. Returns when the job was forecast to end, once it has ended.
    pub(crate) fn update(
        &mut self,
        now: Instant,
        job: &GraphJob,
        started: Option<Instant>,
        rates: &mut ServiceRates,
    ) -> Option<Instant> {
        let id = &job.spec.id;
        let before = self.take(id);
        let (class_before, held_before) =
            before.as_ref().map_or((None, 0), |before| (Some(before.class), before.held));
        if let Some(before) = &before {
            for (task, start) in &before.starts {
                // The progress of a completed job no longer lists its tasks.
                let has_succeeded = job.progress.verdict == Some(GraphVerdict::Completed)
                    || job.progress.is_done(task);
                let step = job.step(task.step).filter(|_| has_succeeded);
                if let Some((start, step)) = start.zip(step)
                    && !job.live.contains_key(task)
                {
                    let seen = now.saturating_duration_since(start);
                    rates.note_run_time(now, before.class, step.estimate, seen);
                }
            }
        }
        let forecast_end = before.as_ref().and_then(|before| before.forecast_end);
        let is_gone = job.is_over() || !is_forecastable(job);
        if !is_gone {
            self.put(id.clone(), JobWork::of(job, now, started, before));
        }
        let work = self.jobs.get(id).map(|work| (work.class, work.held));
        if class_before.map(|class| (class, held_before)) != work {
            for class in class_before.into_iter().chain(work.map(|(class, _)| class)) {
                rates.note_held(now, class, self.held_cores(class));
            }
        }
        forecast_end.filter(|_| is_gone)
    }

    /// Removes a job.
    pub(crate) fn remove(&mut self, id: &GraphId) {
        self.take(id);
    }

    /// Notes when an accepted job is forecast to end.
    pub(crate) fn note_forecast(&mut self, id: &GraphId, end: Instant) {
        if let Some(work) = self.jobs.get_mut(id) {
            work.forecast_end = Some(end);
        }
    }

    /// Moves the jobs that have lost value to the place at which they are now served.
    pub(crate) fn advance(&mut self, now: Instant) {
        while let Some((_, id)) = self.value_losses.first().filter(|(at, _)| *at < now).cloned() {
            let Some(mut work) = self.take(&id) else {
                break;
            };
            let late = work.latest_start + work.objective * (VALUE_EXPIRY_FACTOR - 1);
            (work.stage, work.latest_start) = match work.stage {
                ValueStage::InTime if now <= late => (ValueStage::Late, late),
                ValueStage::InTime | ValueStage::Late | ValueStage::Expired => {
                    (ValueStage::Expired, work.latest_start)
                }
            };
            self.put(id, work);
        }
    }

    /// Work that is served before a place, in core-seconds. Of each other workspace in `bounds` it counts at most the
    /// bound, in core-seconds: no more of it can run in the time.
    pub(crate) fn ahead(
        &self,
        place: ServingPlace,
        workspace: Option<&WorkspaceId>,
        bounds: &BTreeMap<WorkspaceId, f64>,
    ) -> f64 {
        let mut sums: BTreeMap<Option<&WorkspaceId>, u64> = BTreeMap::new();
        for (class, work) in self.classes.range(..=place.class) {
            let slot = self.last_slot(place, *class);
            for (id, work) in &work.workspaces {
                *sums.entry(id.as_ref()).or_default() += work.until(slot);
            }
        }
        let bounded = |(id, open): (Option<&WorkspaceId>, u64)| {
            let bound = id.filter(|id| Some(*id) != workspace).and_then(|id| bounds.get(id));
            bound.map_or(seconds(open), |bound| seconds(open).min(*bound))
        };
        sums.into_iter().map(bounded).sum()
    }

    /// Work of a workspace that is served before a place, in core-seconds.
    pub(crate) fn ahead_in(&self, place: ServingPlace, workspace: &WorkspaceId) -> f64 {
        let workspace = Some(workspace.clone());
        let open = |(class, work): (&WorkClass, &ClassWork)| {
            let slot = self.last_slot(place, *class);
            work.workspaces.get(&workspace).map_or(0, |work| work.until(slot))
        };
        seconds(self.classes.range(..=place.class).map(open).sum())
    }

    /// Last slot of a class that is served before a place; all are without one.
    fn last_slot(&self, place: ServingPlace, class: WorkClass) -> Option<u64> {
        (class == place.class).then(|| self.slot(place.latest_start))
    }

    /// Whether work beyond the rate of a workspace is served before a class.
    pub(crate) fn has_excess_before(&self, class: WorkClass) -> bool {
        self.classes.range(..class).any(|(other, work)| other.exceeds_rate && work.open > 0)
    }

    fn held_cores(&self, class: WorkClass) -> f64 {
        self.classes.get(&class).map_or(0.0, |work| seconds(work.held))
    }

    fn slot(&self, moment: Instant) -> u64 {
        let passed = moment.saturating_duration_since(self.origin).as_millis() / SLOT.as_millis();
        u64::try_from(passed).unwrap_or(u64::MAX)
    }

    fn put(&mut self, id: GraphId, work: JobWork) {
        let slot = self.slot(work.latest_start);
        let class = self.classes.entry(work.class).or_default();
        class.held += work.held;
        if work.stage != ValueStage::Expired {
            class.open += work.open;
            let workspace = class.workspaces.entry(work.workspace.clone()).or_default();
            workspace.open += work.open;
            *workspace.slots.entry(slot).or_default() += work.open;
            self.value_losses.insert((work.latest_start, id.clone()));
        }
        self.jobs.insert(id, work);
    }

    fn take(&mut self, id: &GraphId) -> Option<JobWork> {
        let work = self.jobs.remove(id)?;
        let slot = self.slot(work.latest_start);
        let class = self.classes.entry(work.class).or_default();
        class.held -= work.held;
        if work.stage != ValueStage::Expired {
            class.open -= work.open;
            if let Some(workspace) = class.workspaces.get_mut(&work.workspace) {
                workspace.open -= work.open;
                let left = workspace.slots.get(&slot).copied().unwrap_or(0) - work.open;
                match left {
                    0 => workspace.slots.remove(&slot),
                    left => workspace.slots.insert(slot, left),
                };
                if workspace.slots.is_empty() {
                    class.workspaces.remove(&work.workspace);
                }
            }
            self.value_losses.remove(&(work.latest_start, id.clone()));
        }
        Some(work)
    }
}

fn seconds(thousandths: u64) -> f64 {
    thousandths as f64 / 1_000.0
}
