//! Placement: assigns waiting tasks to workers and determines which advice is missing for it.
//!
//! A pass works on a copy of the workers' capacity and changes nothing itself; the controller
//! carries out its plan. Urgent queues are served first. Within a queue priority, steps are ordered
//! by the latest start with which the job still keeps its value: all of it up to the job's
//! objective, a part of it up to three times the objective, none later. Steps past that come last, and jobs beyond the
//! rate of their workspace after all others of their priority.

mod advice_requests;
mod gangs;
mod tasks;
mod worker_capacity;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::graph::admission::allowance::WorkspaceAllowances;
use crate::graph::admission::work_class::WorkClass;
use crate::graph::placement::advice::{AdviceRequest, AdviceTable};
use crate::graph::placement::home::UnsettledDomains;
use crate::graph::placement::placer::worker_capacity::WorkerCapacity;
use crate::graph::placement::preemption::{PlannedPreemption, ReservationTable};
use crate::graph::placement::step_capacity::StepCapacity;
use crate::graph::workers::health::HealthRank;
use crate::graph::workers::instances::{InstanceTable, SILENCE_LIMIT};
use crate::graph::workers::run::RunPhase;
use crate::graph::workers::worker::WorkerInstance;
use crate::graph::workload::job::{GraphJob, VALUE_EXPIRY_FACTOR};
use crate::graph::workload::jobs::JobTable;
use crate::graph::workload::name::{GraphId, StepKey, TaskKey, TaskName};
use crate::graph::workload::spec::StepSpec;
use crate::id::{DomainId, UnixMillis, WorkerId};
use crate::resources::ResourceVector;
use crate::workspace::WorkspaceAmounts;

/// Advice requests collected for each entry that could make a call: long calls leave some entries
/// to the short ones behind them.
const REQUESTS_PER_CALL: usize = 3;
/// Open steps of one job that a pass considers: four occurrences of the largest graph. Later steps
/// wait for these. With 15,000 steps due at once a pass took 450 ms without this limit and 50 ms
/// with it (250 workers, debug build).
const MAX_OPEN_STEPS: usize = 1_024;

/// At most one in this many workers is excluded as faulty: a job that fails everywhere leaves
/// failures on all workers, and that must not stop all work.
const FAULTY_WORKER_DIVISOR: usize = 4;

/// The start of a task on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedStart {
    /// The job.
    pub job: GraphId,
    /// The task.
    pub task: TaskKey,
    /// The worker.
    pub worker: WorkerId,
}

/// Decisions of a pass.
#[derive(Debug, Default)]
pub struct PassPlan {
    /// Starts, in order.
    pub starts: Vec<PlannedStart>,
    /// Gangs; the tasks of each are started together.
    pub gangs: Vec<Vec<PlannedStart>>,
    /// Tasks that fit but whose starts must be stored first.
    pub announced: Vec<(GraphId, TaskKey)>,
    /// Runs of less urgent queues to stop, with the tasks that need their capacity.
    pub preemptions: Vec<PlannedPreemption>,
    /// Advice to request, most urgent first.
    pub advice_requests: Vec<AdviceRequest>,
    /// Jobs that should use an additional failure domain.
    pub widened: Vec<(GraphId, DomainId)>,
    /// Jobs without waiting tasks.
    pub idle_jobs: Vec<GraphId>,
    /// Resources of the ready tasks that the limits of their workspaces keep waiting.
    pub capped_demand: WorkspaceAmounts,
    /// Jobs with such tasks.
    pub capped_jobs: BTreeSet<GraphId>,
    /// Number of ready tasks of each class that found no capacity, without those of worthless jobs.
    pub unplaced: BTreeMap<WorkClass, usize>,
    /// Capacity that is left on the workers, where the view asks for it and `unplaced` is not empty.
    pub spare: BTreeMap<WorkerId, ResourceVector>,
}

/// Order in which steps are served.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct ServingOrder {
    value_expired: bool,
    priority: u32,
    /// Jobs beyond the rate of their workspace come after all others of their priority.
    exceeds_rate: bool,
    latest_start: Instant,
    late: bool,
}

/// A step with tasks to start now or soon.
struct OpenStep<'t> {
    order: ServingOrder,
    job: &'t GraphJob,
    key: StepKey,
    step: &'t StepSpec,
    waiting: Vec<TaskKey>,
    ready: bool,
}

/// Input of a pass.
#[derive(Clone, Copy)]
pub struct PassView<'t> {
    /// The current time.
    pub now: Instant,
    /// The current time since 1970.
    pub unix: UnixMillis,
    /// Failure domains in which inherited tasks may still run.
    pub unsettled_domains: &'t UnsettledDomains,
    /// All jobs.
    pub jobs: &'t JobTable,
    /// All workers.
    pub instances: &'t InstanceTable,
    /// All placement advice.
    pub advice: &'t AdviceTable,
    /// Capacity that is reserved for tasks.
    pub reservations: &'t ReservationTable,
    /// Limit of unanswered starts; one more gang may exceed it.
    pub max_unanswered: usize,
    /// Whether workers used by earlier leaders were lost before they answered this one.
    pub lost_before_contact: bool,
    /// What workspaces may use; those without a limit are not listed.
    pub limits: &'t WorkspaceAmounts,
    /// What workspaces use, as far as they have a limit.
    pub usage: &'t WorkspaceAmounts,
    /// Whether the plan lists the capacity that is left.
    pub reports_spare: bool,
}

/// A single placement pass.
pub struct PlacementPass<'t> {
    view: PassView<'t>,
    /// Limit of advice requests in the plan, as more could not be sent now.
    requests_left: usize,
    /// Starts that may be planned.
    starts_left: usize,
    /// Runs that this pass has chosen to stop.
    victims: BTreeSet<TaskName>,
    capacities: BTreeMap<WorkerId, WorkerCapacity<'t>>,
    allowances: WorkspaceAllowances,
    plan: PassPlan,
    /// Requests of steps that can place nothing now. They come last: placed before the others, the
    /// requests of twelve such steps kept a small step from ever getting advice, although it had
    /// capacity everywhere.
    renewals: Vec<AdviceRequest>,
}

impl<'t> PlacementPass<'t> {
    /// Creates a pass.
    pub fn new(view: PassView<'t>) -> Self {
        let instances =
            view.instances.iter().filter(|instance| instance.accepts_work(view.now, SILENCE_LIMIT));
        let capacity = |instance: &'t WorkerInstance| {
            let free =
                instance.free().saturating_sub(&view.reservations.reserved_on(instance.id()));
            let crashed = view.instances.crashed_recently(view.now, instance);
            (instance.id().clone(), WorkerCapacity::new(instance, free, crashed, view.now))
        };
        let mut capacities: BTreeMap<WorkerId, WorkerCapacity<'t>> =
            instances.map(capacity).collect();
        exclude_faulty(&mut capacities);
        let requests_left = view.advice.idle_entries() * REQUESTS_PER_CALL;
        let starts_left = view.max_unanswered.saturating_sub(unanswered_starts(&capacities));
        Self {
            view,
            requests_left,
            starts_left,
            victims: BTreeSet::new(),
            capacities,
            allowances: WorkspaceAllowances::new(view.limits, view.usage),
            plan: PassPlan::default(),
            renewals: Vec::new(),
        }
    }

    /// Makes the plan.
    pub fn run(mut self) -> PassPlan {
        let mut steps = Vec::new();
        for job in
            self.view.jobs.schedulable().filter(|job| !self.view.unsettled_domains.affects(job))
        {
            let count_before = steps.len();
            self.collect_open_steps(job, &mut steps);
            if steps.len() == count_before && job.spec.repeat.is_none() {
                self.plan.idle_jobs.push(job.spec.id.clone());
            }
        }
        steps.sort_by(|a, b| {
            (a.order, &a.job.spec.id, a.key).cmp(&(b.order, &b.job.spec.id, b.key))
        });
        for mut step in steps {
            self.limit_to_allowance(&mut step);
            self.place_step(&step);
        }
        if self.view.reports_spare && !self.plan.unplaced.is_empty() {
            let spare =
                |(id, capacity): (&WorkerId, &WorkerCapacity<'t>)| (id.clone(), capacity.free);
            self.plan.spare = self.capacities.iter().map(spare).collect();
        }
        self.plan.advice_requests.extend(self.renewals);
        self.plan
    }

    fn collect_open_steps(&self, job: &'t GraphJob, steps: &mut Vec<OpenStep<'t>>) {
        let limit = steps.len() + MAX_OPEN_STEPS;
        for occurrence in 0..job.spec.occurrences() {
            let due = job.spec.due(occurrence);
            if due.is_some_and(|due| due > self.view.unix) || steps.len() >= limit {
                break;
            }
            for (index, step) in job.spec.steps.iter().enumerate() {
                let key = StepKey { occurrence, step: u32::try_from(index).unwrap_or(u32::MAX) };
                if job.step_done(key) {
                    continue;
                }
                let mut waiting = job.waiting(key);
                if waiting.is_empty() {
                    continue;
                }
                let ready = job.durable && job.dependencies_done(key);
                if ready {
                    let may_start = |task: &TaskKey| {
                        job.not_before.get(task).is_none_or(|start| *start <= self.view.now)
                    };
                    waiting.retain(may_start);
                }
                let order = self.order(job, key, step, due);
                steps.push(OpenStep { order, job, key, step, waiting, ready });
            }
        }
    }

    fn order(
        &self,
        job: &GraphJob,
        key: StepKey,
        step: &StepSpec,
        due: Option<UnixMillis>,
    ) -> ServingOrder {
        let elapsed = match due {
            Some(due) => Duration::from_millis(self.view.unix.saturating_sub(due)),
            None => self.view.now.saturating_duration_since(job.submitted_at),
        };
        let critical_path = job.critical_paths.get(key.step as usize).copied().unwrap_or_default();
        let objective = job.objective();
        let late = !step.lasting && elapsed + critical_path > objective;
        let value_expired =
            !step.lasting && elapsed + critical_path > objective * VALUE_EXPIRY_FACTOR;
        // Late jobs are not served after all jobs in time: a backlog would wait until load falls
        // and lose the value that it still has.
        let value_duration = if late { objective * VALUE_EXPIRY_FACTOR } else { objective };
        let latest = (self.view.now + value_duration)
            .checked_sub(elapsed + critical_path)
            .unwrap_or(self.view.now);
        ServingOrder {
            value_expired,
            priority: job.rule.priority,
            exceeds_rate: job.exceeds_rate,
            latest_start: latest,
            late,
        }
    }

    /// Leaves only as many waiting tasks as the workspace of a step may start, so that the rest of them requests no
    /// advice and stops no other run.
    fn limit_to_allowance(&mut self, step: &mut OpenStep<'t>) {
        let (workspace, need) = (step.job.workspace.as_ref(), &step.step.need);
        let startable = self.allowances.startable_tasks(workspace, need) as usize;
        let waiting = step.waiting.len();
        match step.step.gang {
            true if startable < waiting => step.waiting.clear(),
            true => {}
            false => step.waiting.truncate(startable),
        }
        let capped = u32::try_from(waiting - step.waiting.len()).unwrap_or(u32::MAX);
        if let Some(workspace) = workspace.filter(|_| capped > 0 && step.ready) {
            let demand = self.plan.capped_demand.entry(workspace.clone()).or_default();
            *demand = demand.saturating_add(&need.times(capped));
            self.plan.capped_jobs.insert(step.job.spec.id.clone());
        }
    }

    fn place_step(&mut self, step: &OpenStep<'t>) {
        if step.waiting.is_empty() {
            return;
        }
        let candidates = self.candidates(step);
        let planned_before = self.planned();
        let missing = match step.ready {
            true if step.step.gang => self.place_gang(step, &candidates),
            true => self.place_tasks(step, &candidates),
            false => step.waiting.len(),
        };
        self.note_unplaced(step, planned_before);
        if missing > 0
            && step.ready
            && let Some(domain) = self.overflow_domain(step, missing)
        {
            self.plan.widened.push((step.job.spec.id.clone(), domain));
        }
        if missing > 0 && (step.ready || self.starts_soon(step)) {
            self.request_advice(step, missing);
        }
    }

    /// Numbers of tasks and of gangs that the plan starts or announces.
    fn planned(&self) -> (usize, usize) {
        (self.plan.starts.len() + self.plan.announced.len(), self.plan.gangs.len())
    }

    /// Counts the ready tasks of a step that were not placed, for whatever reason: a leader that may not send more
    /// starts serves no faster than one without capacity.
    fn note_unplaced(&mut self, step: &OpenStep<'t>, before: (usize, usize)) {
        let (tasks, gangs) = self.planned();
        let placed = if gangs > before.1 { step.waiting.len() } else { tasks - before.0 };
        let unplaced = step.waiting.len().saturating_sub(placed);
        if step.ready && unplaced > 0 && !step.order.value_expired && !step.step.lasting {
            *self.plan.unplaced.entry(WorkClass::of(step.job)).or_default() += unplaced;
        }
    }

    /// Whether the start of a task must be stored before it is sent.
    fn needs_announcement(&self, step: &OpenStep<'t>, task: TaskKey) -> bool {
        step.job.needs_announcement(task, self.view.lost_before_contact)
    }

    /// Workers that the step may use at this time.
    fn candidates(&self, step: &OpenStep<'t>) -> Vec<WorkerId> {
        let rule = &step.job.rule;
        let fits = |capacity: &&WorkerCapacity<'t>| {
            capacity.instance.registration.service == rule.service
                && step.job.may_use(&capacity.instance.registration.domain)
                && capacity.instance.has_label(step.step)
        };
        if rule.advice.is_none() {
            let fitting = self.capacities.values().filter(fits);
            return fitting.map(|capacity| capacity.instance.id().clone()).collect();
        }
        let key = (step.job.spec.id.clone(), step.key);
        let Some(advice) = self.view.advice.step(&key) else {
            return Vec::new();
        };
        let allowed = advice.tickets(self.view.now);
        let capacities = allowed.filter_map(|worker| self.capacities.get(worker)).filter(fits);
        capacities.map(|capacity| capacity.instance.id().clone()).collect()
    }

    /// The failure domain with the most capacity for a step among those that its job may not use
    /// yet. `None` if the domains that it may use can hold the missing tasks, regardless of advice.
    fn overflow_domain(&self, step: &OpenStep<'t>, missing: usize) -> Option<DomainId> {
        let job = step.job;
        if job.home.is_none() || job.is_widening() {
            return None;
        }
        let key = (job.spec.id.clone(), step.key);
        let advice = self.view.advice.step(&key);
        let step_capacity = self.step_capacity(step);
        let mut here = 0;
        let mut elsewhere: BTreeMap<&DomainId, usize> = BTreeMap::new();
        for capacity in self.capacities.values() {
            let (id, registration) = (capacity.instance.id(), &capacity.instance.registration);
            let usable = registration.service == job.rule.service
                && capacity.instance.has_label(step.step)
                && !advice.is_some_and(|advice| advice.denied.contains(id));
            let tasks = step_capacity.fitting_tasks(id, &capacity.free);
            match usable {
                true if job.may_use(&registration.domain) => here += tasks,
                true => *elsewhere.entry(&registration.domain).or_default() += tasks,
                false => {}
            }
        }
        let largest = elsewhere.into_iter().max_by_key(|(_, tasks)| *tasks);
        largest.filter(|(_, tasks)| here < missing && *tasks > 0).map(|(domain, _)| domain.clone())
    }

    /// How many more tasks of the step each worker can hold.
    fn step_capacity(&self, step: &OpenStep<'t>) -> StepCapacity {
        StepCapacity::new(step.step, self.task_counts(step, self.capacities.keys()))
    }

    /// Number of tasks of the step on each worker: running, with a reservation, or placed in this
    /// pass. Empty if the step has no limit per worker.
    fn task_counts<'w>(
        &self,
        step: &OpenStep<'t>,
        among: impl Iterator<Item = &'w WorkerId>,
    ) -> BTreeMap<WorkerId, u32> {
        if step.step.max_per_worker.is_none() {
            return BTreeMap::new();
        }
        let id = &step.job.spec.id;
        let count = |worker: &WorkerId| {
            let capacity = self.capacities.get(worker)?;
            let reserved = self.view.reservations.count(worker, id, step.key);
            Some((worker.clone(), capacity.instance.count_of(id, step.key) + reserved))
        };
        let mut task_counts: BTreeMap<WorkerId, u32> = among.filter_map(count).collect();
        // A task with a reservation is counted already.
        let has_reservation_here = |start: &PlannedStart| {
            let reserved = self.view.reservations.get(&step.job.task_name(start.task));
            reserved.is_some_and(|reserved| reserved.worker == start.worker)
        };
        let planned = |start: &&PlannedStart| {
            start.job == *id && start.task.step == step.key && !has_reservation_here(start)
        };
        for start in self.plan.starts.iter().filter(planned) {
            if let Some(count) = task_counts.get_mut(&start.worker) {
                *count += 1;
            }
        }
        task_counts
    }
}

/// Excludes faulty workers, unless there are so many that the workers are unlikely to be the cause.
fn exclude_faulty(capacities: &mut BTreeMap<WorkerId, WorkerCapacity<'_>>) {
    let faulty = |capacity: &WorkerCapacity<'_>| capacity.health == HealthRank::Faulty;
    let count = capacities.values().filter(|capacity| faulty(capacity)).count();
    if count * FAULTY_WORKER_DIVISOR <= capacities.len() {
        capacities.retain(|_, capacity| !faulty(capacity));
    }
}

/// Number of starts without an answer. Starts at excluded workers do not count: many workers may
/// have been cut off at once, and that must not stop all work.
fn unanswered_starts(capacities: &BTreeMap<WorkerId, WorkerCapacity<'_>>) -> usize {
    let runs = capacities.values().flat_map(|capacity| capacity.instance.runs.values());
    runs.filter(|run| matches!(run.phase, RunPhase::Sent { .. })).count()
}
