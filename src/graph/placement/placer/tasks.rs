//! Placement of single tasks, with preemption for those that do not fit.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::graph::placement::placer::speed_order::SpeedPreference;
use crate::graph::placement::placer::worker_capacity::WorkerCapacity;
use crate::graph::placement::placer::{OpenStep, PlacementPass, PlannedStart};
use crate::graph::placement::preemption::{PlannedPreemption, choose_victims};
use crate::graph::workers::health::HealthRank;
use crate::graph::workload::name::TaskKey;
use crate::graph::workload::spec::StepSpec;
use crate::id::WorkerId;

/// How long before the latest start runs are preempted: a stop takes 400 ms at most, and within 100
/// ms its end is reported and the start sent.
const PREEMPTION_LEAD: Duration = Duration::from_millis(500);

/// Core-seconds of work that may be lost to preemption for a task of a step.
fn preemption_budget(step: &StepSpec) -> f64 {
    match step.lasting {
        true => f64::MAX,
        false => f64::from(step.reservation().millicores) / 1_000.0 * step.estimate.as_secs_f64(),
    }
}

impl<'t> PlacementPass<'t> {
    /// Places as many tasks as fit and returns the number of those that do not.
    pub(super) fn place_tasks(&mut self, step: &OpenStep<'t>, candidates: &[WorkerId]) -> usize {
        let mut task_counts = self.task_counts(step, candidates.iter());
        let preference = self.speed_preference(step);
        let mut missing = 0;
        let mut is_widening = None;
        // All tasks of a step have the same needs: if one finds no worker or no victims, neither
        // does any later one. With 80,000 tasks a pass took 2.3 s without this shortcut and 0.2 s
        // with it (250 workers, debug build).
        let (mut placeable, mut preempts) = (true, true);
        let mut starts_left = self.starts_left_for(step);
        for task in &step.waiting {
            if starts_left == 0 {
                break;
            }
            let reserved = self.reserved_worker(step, *task, candidates, &task_counts);
            let is_reserved = reserved.is_some();
            let choose_free = || {
                placeable
                    .then(|| self.choose_worker(step, *task, candidates, &task_counts, preference))
            };
            if let Some(worker) = reserved.or_else(|| choose_free().flatten()) {
                match is_reserved {
                    true => self.allocate_reserved(&worker, step, *task),
                    false => {
                        *task_counts.entry(worker.clone()).or_default() += 1;
                        self.allocate(&worker, step, *task);
                    }
                }
                starts_left -= 1;
                match self.starts_left {
                    0 => self.restarts_left = self.restarts_left.saturating_sub(1),
                    _ => self.starts_left -= 1,
                }
                self.allowances.deduct(step.job.workspace.as_ref(), &step.step.need);
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
            // Capacity in another failure domain costs no work.
            let waiting = step.waiting.len();
            let is_widening = *is_widening.get_or_insert_with(|| {
                step.job.is_widening() || self.overflow_domain(step, waiting).is_some()
            });
            if !is_widening {
                preempts = self.preempt(step, *task, candidates, &mut task_counts);
            }
        }
        missing
    }

    /// The worker with the reservation for a task, once the capacity is free. `task_counts`
    /// includes the task itself.
    pub(super) fn reserved_worker(
        &self,
        step: &OpenStep<'t>,
        task: TaskKey,
        candidates: &[WorkerId],
        task_counts: &BTreeMap<WorkerId, u32>,
    ) -> Option<WorkerId> {
        let reservation = self.view.reservations.get(&step.job.task_name(task))?;
        let capacity = self.capacities.get(&reservation.worker)?;
        let limit = step.step.max_per_worker.unwrap_or(u32::MAX);
        let suspected = step.job.is_suspected(task);
        let fits = reservation.need.fits(&capacity.free_with_reserved)
            && !(suspected && capacity.has_other_suspect(&step.job.spec.id))
            && candidates.contains(&reservation.worker)
            && task_counts.get(&reservation.worker).copied().unwrap_or(0) <= limit;
        fits.then(|| reservation.worker.clone())
    }

    /// Whether a task would lose value by waiting longer and has no reservation yet.
    pub(super) fn may_preempt(&self, step: &OpenStep<'t>, task: TaskKey) -> bool {
        self.would_lose_value(step)
            && self.view.reservations.get(&step.job.task_name(task)).is_none()
    }

    /// Whether the job of a step would lose value that it can still keep if the step waited longer.
    pub(super) fn would_lose_value(&self, step: &OpenStep<'t>) -> bool {
        let start_is_due = step.order.latest_start <= self.view.now + PREEMPTION_LEAD;
        start_is_due && (step.step.lasting || !step.order.value_expired)
    }

    /// Whether preemption on a worker can free enough capacity for a task of a step.
    pub(super) fn can_preempt(&self, step: &OpenStep<'t>, capacity: &WorkerCapacity<'t>) -> bool {
        let (need, priority) = (step.step.reservation(), step.job.rule.priority);
        self.would_lose_value(step)
            && choose_victims(
                capacity.instance,
                self.view.now,
                &capacity.free,
                &need,
                priority,
                preemption_budget(step.step),
            )
            .is_some()
    }

    /// Plans a preemption on the worker where it loses the least work. Returns whether there is
    /// such a worker.
    pub(super) fn preempt(
        &mut self,
        step: &OpenStep<'t>,
        task: TaskKey,
        candidates: &[WorkerId],
        task_counts: &mut BTreeMap<WorkerId, u32>,
    ) -> bool {
        let need = step.step.reservation();
        let limit = step.step.max_per_worker.unwrap_or(u32::MAX);
        let budget = preemption_budget(step.step);
        let priority = step.job.rule.priority;
        let choice = candidates
            .iter()
            .filter(|id| task_counts.get(*id).copied().unwrap_or(0) < limit)
            .filter_map(|id| {
                let capacity = self.capacities.get(id)?;
                let selection = choose_victims(
                    capacity.instance,
                    self.view.now,
                    &capacity.free,
                    &need,
                    priority,
                    budget,
                );
                let (lost, chosen) = selection?;
                let already_chosen = chosen.iter().any(|victim| self.victims.contains(victim));
                (!already_chosen && !chosen.is_empty()).then_some((lost, id, chosen))
            })
            .min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, worker, chosen)) = choice else {
            return false;
        };
        self.victims.extend(chosen.iter().cloned());
        let worker = worker.clone();
        *task_counts.entry(worker.clone()).or_default() += 1;
        // The task also uses the capacity that is already free there.
        if let Some(capacity) = self.capacities.get_mut(&worker) {
            capacity.free = capacity.free.saturating_sub(&need);
        }
        let job = step.job.spec.id.clone();
        self.plan.preemptions.push(PlannedPreemption { job, task, worker, need, victims: chosen });
        true
    }

    /// The best worker for a task: near its data, not one where it failed, away from tasks that it
    /// would slow down, of the preferred speed, then the tightest fit, so that large blocks of
    /// capacity stay free. A task under which a worker has crashed goes where another crash loses
    /// the least.
    pub(super) fn choose_worker(
        &self,
        step: &OpenStep<'t>,
        task: TaskKey,
        among: &[WorkerId],
        task_counts: &BTreeMap<WorkerId, u32>,
        preference: SpeedPreference,
    ) -> Option<WorkerId> {
        let spec = step.step;
        let need = spec.reservation();
        let limit = spec.max_per_worker.unwrap_or(u32::MAX);
        let avoided = step.job.avoided_workers.get(&task);
        let job = &step.job.spec.id;
        let suspected = step.job.is_suspected(task);
        let preference = self.speed_order.current_preference(preference);
        let fits = |id: &&WorkerId| {
            let count = task_counts.get(*id).copied().unwrap_or(0);
            count < limit
                && self.capacities.get(*id).is_some_and(|capacity| {
                    need.fits(&capacity.free) && need.fits(&capacity.free_with_reserved)
                })
                && !(suspected && self.capacities[*id].has_other_suspect(job))
        };
        let cost = |id: &&WorkerId| {
            let capacity = &self.capacities[*id];
            let is_remote =
                spec.affinity.as_ref().is_some_and(|rack| rack != capacity.instance.rack());
            let failed = avoided.is_some_and(|avoided| avoided.contains(*id));
            let disturbs = (spec.best_effort && capacity.runs_latency_bound)
                || (spec.target.is_some() && capacity.runs_best_effort);
            let remaining = match spec.best_effort {
                _ if suspected => u32::try_from(capacity.instance.runs.len()).unwrap_or(u32::MAX),
                true => {
                    u32::MAX - capacity.free.millicores.saturating_sub(capacity.best_effort_demand)
                }
                false => capacity.free.millicores - need.millicores,
            };
            // An unhealthy worker where the task failed ranks behind remote ones: a job failed
            // permanently on the only bad worker of its rack while seven other workers were empty.
            let failed_when_unhealthy = failed && capacity.health != HealthRank::Sound;
            // A fast worker away from the data may end the task before a slow one near it.
            let distance_rank = match spec.affinity {
                Some(_) => {
                    let is_sound = capacity.health == HealthRank::Sound;
                    let class = capacity.speed_class;
                    self.speed_order.distance_rank(preference, class, is_sound, is_remote)
                }
                None => 0,
            };
            // Distance ranks before a clear cause of crashes: on a remote rack a task takes three
            // times as long.
            (
                failed_when_unhealthy,
                distance_rank,
                capacity.crash_ambiguity(job, suspected),
                failed,
                capacity.health,
                disturbs,
                self.speed_order.speed_rank(preference, capacity.speed_class),
                remaining,
            )
        };
        among.iter().filter(fits).min_by_key(cost).cloned()
    }

    /// Allocates the reserved capacity of a task, which `free` does not include.
    pub(super) fn allocate_reserved(
        &mut self,
        worker: &WorkerId,
        step: &OpenStep<'t>,
        task: TaskKey,
    ) {
        let spec = step.step;
        if let Some(capacity) = self.capacities.get_mut(worker) {
            capacity.free_with_reserved =
                capacity.free_with_reserved.saturating_sub(&spec.reservation());
            capacity.runs_latency_bound |= spec.target.is_some();
            capacity.note_start(&step.job.spec.id, step.job.is_suspected(task));
        }
    }

    pub(super) fn allocate(&mut self, worker: &WorkerId, step: &OpenStep<'t>, task: TaskKey) {
        let spec = step.step;
        if let Some(capacity) = self.capacities.get_mut(worker) {
            capacity.note_start(&step.job.spec.id, step.job.is_suspected(task));
            if self.speed_order.is_fastest(capacity.speed_class) {
                let need = u64::from(spec.reservation().millicores);
                self.speed_order.fast_free = self.speed_order.fast_free.saturating_sub(need);
            }
            capacity.free = capacity.free.saturating_sub(&spec.reservation());
            capacity.free_with_reserved =
                capacity.free_with_reserved.saturating_sub(&spec.reservation());
            if spec.best_effort {
                capacity.best_effort_demand =
                    capacity.best_effort_demand.saturating_add(spec.need.millicores);
                capacity.runs_best_effort = true;
            }
            capacity.runs_latency_bound |= spec.target.is_some();
        }
    }
}
