//! Where single tasks go, and for which of them room is made.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::graph::health::HealthRank;
use crate::graph::name::TaskKey;
use crate::graph::placer::worker_capacity::WorkerCapacity;
use crate::graph::placer::{OpenStep, PlacementPass, PlannedStart};
use crate::graph::preemption::{PlannedPreemption, victims};
use crate::graph::spec::StepSpec;
use crate::id::WorkerId;

/// How long before the latest start room is made: a stop takes 400 ms at most, and its end is seen
/// and the start sent within 100 ms.
const PREEMPTION_LEAD: Duration = Duration::from_millis(500);

/// Core-seconds that may be thrown away for a task of a step.
fn worth(step: &StepSpec) -> f64 {
    match step.lasting {
        true => f64::MAX,
        false => f64::from(step.reservation().millicores) / 1_000.0 * step.estimate.as_secs_f64(),
    }
}

impl<'t> PlacementPass<'t> {
    /// Places as many tasks as fit; gives the number of those that do not.
    pub(super) fn serve_tasks(&mut self, step: &OpenStep<'t>, candidates: &[WorkerId]) -> usize {
        let mut counts = self.counts(step, candidates.iter());
        let mut missing = 0;
        let mut is_widening = None;
        // All tasks of a step need the same, so where one finds no worker or no victims, none after it does:
        // 80,000 tasks took 2.3 s a pass with 250 workers, 0.2 s so (debug build).
        let (mut placeable, mut preempts) = (true, true);
        for task in &step.waiting {
            if self.starts_left == 0 {
                break;
            }
            let kept = self.kept(step, *task, candidates, &counts);
            let whole = kept.is_some();
            let choose = || placeable.then(|| self.choose(step, *task, candidates, &counts));
            if let Some(worker) = kept.or_else(|| choose().flatten()) {
                match whole {
                    true => self.take_kept(&worker, step, *task),
                    false => {
                        *counts.entry(worker.clone()).or_default() += 1;
                        self.take(&worker, step, *task);
                    }
                }
                self.starts_left -= 1;
                let job = step.job.spec.id.clone();
                match self.needs_announcement(step, *task) {
                    true => self.plan.announced.push((job, *task)),
                    false => self.plan.starts.push(PlannedStart { job, task: *task, worker }),
                }
                continue;
            }
            missing += 1;
            placeable = false;
            if !preempts || !self.may_preempt(step, *task) {
                continue;
            }
            // Room in another failure domain costs no work.
            let all = step.waiting.len();
            let is_widening = *is_widening.get_or_insert_with(|| {
                step.job.is_widening() || self.roomier_domain(step, all).is_some()
            });
            if !is_widening {
                preempts = self.preempt(step, *task, candidates, &mut counts);
            }
        }
        missing
    }

    /// The worker on which room was kept for a task, once it is there. `counts` has the task itself.
    pub(super) fn kept(
        &self,
        step: &OpenStep<'t>,
        task: TaskKey,
        candidates: &[WorkerId],
        counts: &BTreeMap<WorkerId, u32>,
    ) -> Option<WorkerId> {
        let kept = self.view.keeper.get(&step.job.task_name(task))?;
        let room = self.rooms.get(&kept.worker)?;
        let most = step.step.max_per_worker.unwrap_or(u32::MAX);
        let suspected = step.job.is_suspected(task);
        let fits = kept.need.fits(&room.spare)
            && !(suspected && room.suspects_another(&step.job.spec.id))
            && candidates.contains(&kept.worker)
            && counts.get(&kept.worker).copied().unwrap_or(0) <= most;
        fits.then(|| kept.worker.clone())
    }

    /// Whether waiting any longer would cost the task what its job can still earn, and nothing is under way for it.
    pub(super) fn may_preempt(&self, step: &OpenStep<'t>, task: TaskKey) -> bool {
        self.presses(step) && self.view.keeper.get(&step.job.task_name(task)).is_none()
    }

    /// Whether waiting any longer would cost a step what its job can still earn.
    pub(super) fn presses(&self, step: &OpenStep<'t>) -> bool {
        let pressed = step.order.latest_start <= self.view.now + PREEMPTION_LEAD;
        pressed && (step.step.lasting || !step.order.cannot_fit)
    }

    /// Whether room for a task of a step can be made on a worker.
    pub(super) fn can_preempt(&self, step: &OpenStep<'t>, room: &WorkerCapacity<'t>) -> bool {
        let (need, priority) = (step.step.reservation(), step.job.rule.priority);
        self.presses(step)
            && victims(room.instance, self.view.now, &room.free, &need, priority, worth(step.step))
                .is_some()
    }

    /// Chooses the worker where making room throws least work away; tells whether there is one.
    pub(super) fn preempt(
        &mut self,
        step: &OpenStep<'t>,
        task: TaskKey,
        candidates: &[WorkerId],
        counts: &mut BTreeMap<WorkerId, u32>,
    ) -> bool {
        let need = step.step.reservation();
        let most = step.step.max_per_worker.unwrap_or(u32::MAX);
        let worth = worth(step.step);
        let priority = step.job.rule.priority;
        let choice = candidates
            .iter()
            .filter(|id| counts.get(*id).copied().unwrap_or(0) < most)
            .filter_map(|id| {
                let room = self.rooms.get(id)?;
                let found =
                    victims(room.instance, self.view.now, &room.free, &need, priority, worth);
                let (lost, chosen) = found?;
                let taken = chosen.iter().any(|victim| self.victims.contains(victim));
                (!taken && !chosen.is_empty()).then_some((lost, id, chosen))
            })
            .min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, worker, chosen)) = choice else {
            return false;
        };
        self.victims.extend(chosen.iter().cloned());
        let worker = worker.clone();
        *counts.entry(worker.clone()).or_default() += 1;
        // What was free there goes to the task as well.
        if let Some(room) = self.rooms.get_mut(&worker) {
            room.free = room.free.saturating_sub(&need);
        }
        let job = step.job.spec.id.clone();
        self.plan.preemptions.push(PlannedPreemption { job, task, worker, need, victims: chosen });
        true
    }

    /// The best worker for a task: near its data, not one where it failed, away from tasks that it
    /// would disturb, then the tightest fit, so that large rooms stay whole. One under which a worker has crashed
    /// goes where least is lost with another.
    pub(super) fn choose(
        &self,
        step: &OpenStep<'t>,
        task: TaskKey,
        among: &[WorkerId],
        counts: &BTreeMap<WorkerId, u32>,
    ) -> Option<WorkerId> {
        let spec = step.step;
        let need = spec.reservation();
        let most = spec.max_per_worker.unwrap_or(u32::MAX);
        let avoided = step.job.avoided_workers.get(&task);
        let job = &step.job.spec.id;
        let suspected = step.job.is_suspected(task);
        let fits = |id: &&WorkerId| {
            let count = counts.get(*id).copied().unwrap_or(0);
            count < most
                && self
                    .rooms
                    .get(*id)
                    .is_some_and(|room| need.fits(&room.free) && need.fits(&room.spare))
                && !(suspected && self.rooms[*id].suspects_another(job))
        };
        let cost = |id: &&WorkerId| {
            let room = &self.rooms[*id];
            let far = spec.affinity.as_ref().is_some_and(|rack| rack != room.instance.rack());
            let failed = avoided.is_some_and(|avoided| avoided.contains(*id));
            let disturbs = (spec.best_effort && room.runs_latency_bound)
                || (spec.target.is_some() && room.runs_best_effort);
            let rest = match spec.best_effort {
                _ if suspected => u32::try_from(room.instance.runs.len()).unwrap_or(u32::MAX),
                true => u32::MAX - room.free.millicores.saturating_sub(room.wanted),
                false => room.free.millicores - need.millicores,
            };
            // Before distance: a job failed for good on the one bad worker of its rack, seven others empty.
            let suspicion_stored = failed && room.health != HealthRank::Sound;
            // Nearness goes before what would blur the cause of a crash: on a far rack a task takes three times as long.
            (suspicion_stored, far, room.blur(job, suspected), failed, room.health, disturbs, rest)
        };
        among.iter().filter(fits).min_by_key(cost).cloned()
    }

    /// Takes room that was kept for the task, and so is not among what is free.
    pub(super) fn take_kept(&mut self, worker: &WorkerId, step: &OpenStep<'t>, task: TaskKey) {
        let spec = step.step;
        if let Some(room) = self.rooms.get_mut(worker) {
            room.spare = room.spare.saturating_sub(&spec.reservation());
            room.runs_latency_bound |= spec.target.is_some();
            room.note_start(&step.job.spec.id, step.job.is_suspected(task));
        }
    }

    pub(super) fn take(&mut self, worker: &WorkerId, step: &OpenStep<'t>, task: TaskKey) {
        let spec = step.step;
        if let Some(room) = self.rooms.get_mut(worker) {
            room.note_start(&step.job.spec.id, step.job.is_suspected(task));
            room.free = room.free.saturating_sub(&spec.reservation());
            room.spare = room.spare.saturating_sub(&spec.reservation());
            if spec.best_effort {
                room.wanted = room.wanted.saturating_add(spec.need.millicores);
                room.runs_best_effort = true;
            }
            room.runs_latency_bound |= spec.target.is_some();
        }
    }
}
