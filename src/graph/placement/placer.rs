//! Placement: assigns waiting tasks to workers and determines which advice is missing for it.
//!
//! A pass works on a copy of the workers' capacity and changes nothing itself; the controller
//! carries out its plan. Urgent queues are served first. Within a queue priority, steps are ordered
//! by the latest start with which the job still keeps its value: all of it up to the job's
//! objective, a part of it up to three times the objective, none later. Steps past that come last, and jobs beyond the
//! rate of their workspace after all others of their priority.

mod advice_requests;
mod gangs;
mod speed_order;
mod tasks;
mod worker_capacity;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::graph::admission::allowance::WorkspaceAllowances;
use crate::graph::placement::advice::{AdviceRequest, AdviceTable};
use crate::graph::placement::home::UnsettledDomains;
use crate::graph::placement::placer::advice_requests::OverdueRank;
use crate::graph::placement::placer::speed_order::{SpeedOrder, SpeedPreference};
use crate::graph::placement::placer::worker_capacity::WorkerCapacity;
use crate::graph::placement::preemption::{PlannedPreemption, ReservationTable, may_stop};
use crate::graph::placement::serving_index::{ServingIndex, ServingKey, ServingQueue};
use crate::graph::placement::step_capacity::StepCapacity;
use crate::graph::workers::health::HealthRank;
use crate::graph::workers::instances::InstanceTable;
use crate::graph::workers::run::RunPhase;
use crate::graph::workers::worker::WorkerInstance;
use crate::graph::workload::job::GraphJob;
use crate::graph::workload::jobs::JobTable;
use crate::graph::workload::name::{GraphId, StepKey, TaskKey, TaskName};
use crate::graph::workload::spec::StepSpec;
use crate::id::{DomainId, UnixMillis, WorkerId};
use crate::resources::ResourceVector;
use crate::workspace::WorkspaceAmounts;

/// Advice requests collected for each entry that could make a call: long calls leave some entries
/// to the short ones behind them.
const REQUESTS_PER_CALL: usize = 3;
/// Starts of overdue restarts that a pass may plan beyond the limit of unanswered starts: more urgent starts may use that
/// limit up in every pass.
const RESTARTS_BEYOND_LIMIT: usize = 4;
/// Multiple of its objective after which the result of a job is worthless.
pub(crate) const VALUE_EXPIRY_FACTOR: u32 = 3;
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
    /// The request of a step with an overdue restart that comes before all others.
    pub restart_request: Option<AdviceRequest>,
    /// The request of an overdue step that comes before these.
    pub overdue_request: Option<AdviceRequest>,
    /// Jobs that should use an additional failure domain.
    pub widened: Vec<(GraphId, DomainId)>,
    /// Number of steps that the pass looked at.
    pub steps_examined: usize,
    /// Resources of the ready tasks that the limits of their workspaces keep waiting; of the steps that the pass looked
    /// at, unless the view requires all of them.
    pub capped_demand: WorkspaceAmounts,
    /// Jobs with such tasks.
    pub capped_jobs: BTreeSet<GraphId>,
}

/// Order in which steps are served.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct ServingOrder {
    pub(crate) value_expired: bool,
    pub(crate) priority: u32,
    /// Jobs beyond the rate of their workspace come after all others of their priority.
    pub(crate) exceeds_rate: bool,
    pub(crate) latest_start: Instant,
    pub(crate) late: bool,
}

impl ServingOrder {
    /// The order of a step `elapsed` after its job was submitted or due. It changes only with the job, or when the
    /// step becomes late or loses its value.
    pub(crate) fn of_step(
        job: &GraphJob,
        key: StepKey,
        step: &StepSpec,
        now: Instant,
        elapsed: Duration,
    ) -> Self {
        let critical_path = job.critical_paths.get(key.step as usize).copied().unwrap_or_default();
        let objective = job.objective();
        let late = !step.lasting && elapsed + critical_path > objective;
        let value_expired =
            !step.lasting && elapsed + critical_path > objective * VALUE_EXPIRY_FACTOR;
        // Late jobs are not served after all jobs in time: a backlog would wait until load falls
        // and lose the value that it still has.
        let value_duration = if late { objective * VALUE_EXPIRY_FACTOR } else { objective };
        let latest_start =
            (now + value_duration).checked_sub(elapsed + critical_path).unwrap_or(now);
        let (priority, exceeds_rate) = (job.rule.priority, job.exceeds_rate);
        Self { value_expired, priority, exceeds_rate, latest_start, late }
    }
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

impl OpenStep<'_> {
    fn serving_key(&self) -> ServingKey {
        ServingKey { order: self.order, job: self.job.spec.id.clone(), step: self.key }
    }

    /// Whether no open step of its job has a longer way to the end of the graph: steps within 15% count as equal.
    fn is_critical(&self) -> bool {
        let path = |index: usize| self.job.critical_paths.get(index).copied().unwrap_or_default();
        let is_open = |index: &usize| {
            let number = u32::try_from(*index).unwrap_or(u32::MAX);
            !self.job.step_done(StepKey { step: number, ..self.key })
        };
        let longest = (0..self.job.spec.steps.len()).filter(is_open).map(path).max();
        path(self.key.step as usize) * 115 >= longest.unwrap_or_default() * 100
    }
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
    /// Steps with waiting tasks in serving order.
    pub(crate) serving: &'t ServingIndex,
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
    /// Whether `PassPlan::capped_demand` has to be complete.
    pub reports_capped_demand: bool,
}

/// A single placement pass.
pub struct PlacementPass<'t> {
    view: PassView<'t>,
    /// Limit of advice requests in the plan, as more could not be sent now.
    requests_left: usize,
    /// Starts that may be planned.
    starts_left: usize,
    /// Starts of overdue restarts that may be planned beyond these.
    restarts_left: usize,
    /// Runs that this pass has chosen to stop.
    victims: BTreeSet<TaskName>,
    capacities: BTreeMap<WorkerId, WorkerCapacity<'t>>,
    /// Needs that fit on no worker for the rest of the pass, as capacity only decreases in it.
    too_large: Vec<ResourceVector>,
    /// Lowest priority of the runs that may be stopped.
    preemptible_priority: Option<u32>,
    /// Jobs with reserved capacity.
    reserved_jobs: BTreeSet<&'t GraphId>,
    /// Calls that renewals could make if no other advice were requested.
    renewals_left: usize,
    /// Entries that long calls leave free.
    reserved_entries: usize,
    speed_order: SpeedOrder,
    allowances: WorkspaceAllowances,
    plan: PassPlan,
    /// Requests of steps that can place nothing now. They come last: placed before the others, the
    /// requests of twelve such steps kept a small step from ever getting advice, although it had
    /// capacity everywhere.
    renewals: Vec<AdviceRequest>,
    /// Rank of the overdue step whose request comes first.
    overdue_rank: Option<OverdueRank>,
    /// Since when the step with an overdue restart whose request comes first has waited for a call.
    restart_wait: Option<Instant>,
}

impl<'t> PlacementPass<'t> {
    /// Creates a pass.
    pub fn new(view: PassView<'t>) -> Self {
        let instances = view.instances.accepting_work(view.now);
        let capacity = |instance: &'t WorkerInstance| {
            let free =
                instance.free().saturating_sub(&view.reservations.reserved_on(instance.id()));
            let crashed = view.instances.crashed_recently(view.now, instance);
            (instance.id().clone(), WorkerCapacity::new(instance, free, crashed, view.now))
        };
        let mut capacities: BTreeMap<WorkerId, WorkerCapacity<'t>> =
            instances.map(capacity).collect();
        exclude_faulty(&mut capacities);
        let remote_rack_factor = view.instances.run_costs().remote_rack_factor;
        let mut speed_order = SpeedOrder::new(view.instances.class_speeds(), remote_rack_factor);
        for capacity in capacities.values() {
            if speed_order.is_fastest(capacity.speed_class) {
                let total = capacity.instance.registration.capacity.millicores;
                speed_order.add_fast_worker(total, capacity.free.millicores);
            }
        }
        let requests_left = view.advice.idle_entries() * REQUESTS_PER_CALL;
        let starts_left = view.max_unanswered.saturating_sub(unanswered_starts(&capacities));
        let preemptible_priority = preemptible_priority(&capacities);
        Self {
            view,
            requests_left,
            starts_left,
            restarts_left: RESTARTS_BEYOND_LIMIT,
            victims: BTreeSet::new(),
            capacities,
            too_large: Vec::new(),
            preemptible_priority,
            reserved_jobs: view.reservations.jobs().collect(),
            renewals_left: view.advice.idle_entries(),
            reserved_entries: view.advice.reserved_entries(),
            speed_order,
            allowances: WorkspaceAllowances::new(view.limits, view.usage),
            plan: PassPlan::default(),
            renewals: Vec::new(),
            overdue_rank: None,
            restart_wait: None,
        }
    }

    /// Makes the plan.
    pub fn run(mut self) -> PassPlan {
        let mut repeating = self.repeating_steps().into_iter().peekable();
        let mut queue = self.view.serving.queue();
        let mut first_left_out = None;
        loop {
            let listed = queue.peek();
            let other = repeating.peek().map(OpenStep::serving_key);
            let takes_listed = match (listed, &other) {
                (None, None) => break,
                (Some(listed), Some(other)) => listed < other,
                (listed, None) => listed.is_some(),
                (None, Some(_)) => false,
            };
            if !takes_listed {
                if let Some(mut step) = repeating.next() {
                    self.plan.steps_examined += 1;
                    self.limit_to_allowance(&mut step);
                    self.place_step(&step);
                }
                continue;
            }
            let Some(key) = listed else { break };
            if repeating.peek().is_none() && self.is_settled(key, &queue) {
                first_left_out = Some(key);
                break;
            }
            self.plan.steps_examined += 1;
            self.examine(key);
            // A group is left out only after its first step, so that the wait of that job is noted.
            let dropped = !self.view.reports_capped_demand
                && queue.drop_if(|workspace, need| {
                    self.allowances.startable_tasks(workspace, need) == 0
                });
            if !dropped {
                queue.pop();
            }
        }
        if let Some(first) = first_left_out {
            self.examine_restarts(first);
        }
        self.plan.advice_requests.extend(self.renewals);
        self.plan
    }

    /// Open steps of the jobs that the index does not list step by step, in serving order.
    fn repeating_steps(&self) -> Vec<OpenStep<'t>> {
        let mut steps = Vec::new();
        let jobs = self.view.serving.repeating().filter_map(|id| self.view.jobs.get(id));
        for job in jobs.filter(|job| !job.is_over() && !self.view.unsettled_domains.affects(job)) {
            self.collect_open_steps(job, &mut steps);
        }
        steps.sort_by_cached_key(OpenStep::serving_key);
        steps
    }

    /// Whether neither the next step nor any after it can have an effect on the plan.
    fn is_settled(&mut self, next: &ServingKey, queue: &ServingQueue<'_>) -> bool {
        let order = &next.order;
        let no_advice = order.value_expired
            || !self.view.serving.needs_advice()
            || self.plan.advice_requests.len() >= self.requests_left;
        // Steps after this one have no more urgent priority, except those without value, which stop no runs.
        let no_start = self.starts_left == 0
            || (self.reserved_jobs.is_empty()
                && !self.may_preempt_runs(order)
                && !self.has_space_for_any(queue));
        no_advice && no_start && !self.view.reports_capped_demand
    }

    /// Whether some worker has space for the smallest need of the steps left.
    fn has_space_for_any(&mut self, queue: &ServingQueue<'_>) -> bool {
        match queue.smallest_need() {
            Some(need) => self.has_space(need),
            None => false,
        }
    }

    /// Whether some worker has space for a task.
    fn has_space(&mut self, need: ResourceVector) -> bool {
        if self.too_large.iter().any(|too_large| too_large.fits(&need)) {
            return false;
        }
        let fits = self.capacities.values().any(|capacity| need.fits(&capacity.free));
        if !fits {
            self.too_large.retain(|too_large| !need.fits(too_large));
            self.too_large.push(need);
        }
        fits
    }

    /// Whether there are runs that steps of an order may stop.
    fn may_preempt_runs(&self, order: &ServingOrder) -> bool {
        !order.value_expired
            && self.preemptible_priority.is_some_and(|priority| priority > order.priority)
    }

    /// Serves the steps with overdue restarts among those that are left out since others have used up the calls for
    /// advice and the starts.
    fn examine_restarts(&mut self, first: &ServingKey) {
        for key in self.view.serving.restarts_from(first) {
            let job = self.view.jobs.get(&key.job);
            if job.is_some_and(|job| self.is_restart_overdue(job, key.step)) {
                self.plan.steps_examined += 1;
                self.examine(key);
            }
        }
    }

    /// Whether a lasting task of a step waits that has been absent for too long.
    fn is_restart_overdue(&self, job: &GraphJob, key: StepKey) -> bool {
        job.restart_due(key).is_some_and(|due| due <= self.view.now)
    }

    /// Number of starts that may be planned for a step.
    fn starts_left_for(&self, step: &OpenStep<'t>) -> usize {
        match self.is_restart_overdue(step.job, step.key) {
            true => self.starts_left + self.restarts_left,
            false => self.starts_left,
        }
    }

    /// Serves a listed step if that can have an effect.
    fn examine(&mut self, key: &ServingKey) {
        let Some(job) = self.view.jobs.get(&key.job) else {
            return;
        };
        let Some(step) = job.step(key.step) else {
            return;
        };
        if self.view.unsettled_domains.affects(job) || job.step_done(key.step) {
            return;
        }
        let ready = job.durable && job.dependencies_done(key.step);
        let waiting = Vec::new();
        let mut step = OpenStep { order: key.order, job, key: key.step, step, waiting, ready };
        if !self.can_have_effect(&step) {
            return;
        }
        step.waiting = self.waiting_tasks(job, key.step, ready);
        self.limit_to_allowance(&mut step);
        self.place_step(&step);
    }

    /// Whether a step may place a task, stop a run, use another failure domain or request advice now.
    fn can_have_effect(&mut self, step: &OpenStep<'t>) -> bool {
        let has_space = self.has_space(step.step.reservation());
        let preempts = self.may_preempt_runs(&step.order) && self.would_lose_value(step);
        let has_reservation = self.reserved_jobs.contains(&step.job.spec.id);
        let can_start = step.ready
            && self.starts_left_for(step) > 0
            && (has_space || preempts || has_reservation);
        let is_capped = self.view.reports_capped_demand
            && step.job.workspace.as_ref().is_some_and(|id| self.view.limits.contains_key(id));
        can_start || is_capped || self.may_need_advice(step, has_space || preempts)
    }

    fn waiting_tasks(&self, job: &GraphJob, key: StepKey, ready: bool) -> Vec<TaskKey> {
        let mut waiting = job.waiting(key);
        if ready {
            let may_start = |task: &TaskKey| {
                job.not_before.get(task).is_none_or(|start| *start <= self.view.now)
            };
            waiting.retain(may_start);
        }
        waiting
    }

    fn collect_open_steps(&self, job: &'t GraphJob, steps: &mut Vec<OpenStep<'t>>) {
        let limit = steps.len() + MAX_OPEN_STEPS;
        for occurrence in 0..job.spec.occurrences() {
            let due = job.spec.due(occurrence);
            if due.is_some_and(|due| due > self.view.unix) || steps.len() >= limit {
                break;
            }
            let elapsed = match due {
                Some(due) => Duration::from_millis(self.view.unix.saturating_sub(due)),
                None => self.view.now.saturating_duration_since(job.submitted_at),
            };
            for (index, step) in job.spec.steps.iter().enumerate() {
                let key = StepKey { occurrence, step: u32::try_from(index).unwrap_or(u32::MAX) };
                if job.step_done(key) || job.waiting(key).is_empty() {
                    continue;
                }
                let ready = job.durable && job.dependencies_done(key);
                let waiting = self.waiting_tasks(job, key, ready);
                let order = ServingOrder::of_step(job, key, step, self.view.now, elapsed);
                steps.push(OpenStep { order, job, key, step, waiting, ready });
            }
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
        let missing = match step.ready {
            true if step.step.gang => self.place_gang(step, &candidates),
            true => self.place_tasks(step, &candidates),
            false => step.waiting.len(),
        };
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

    /// Whether the start of a task must be stored before it is sent.
    fn needs_announcement(&self, step: &OpenStep<'t>, task: TaskKey) -> bool {
        step.job.needs_announcement(task, self.view.lost_before_contact)
    }

    /// Which workers are best for a step where they differ in speed. Urgent work on the critical path prefers fast
    /// ones; work that gains nothing from speed prefers slow ones. Long work uses fast workers too, as they would
    /// otherwise be unused, but leaves some of them to urgent work as long as slow ones keep it in time.
    fn speed_preference(&self, step: &OpenStep<'t>) -> SpeedPreference {
        let (spec, order) = (step.step, &step.order);
        match () {
            () if !self.speed_order.is_uneven() => SpeedPreference::Any,
            () if spec.lasting || spec.best_effort || order.value_expired => SpeedPreference::Slow,
            () if order.priority == 0 && step.is_critical() => SpeedPreference::Fast,
            () if order.priority == 0 => SpeedPreference::Any,
            () => SpeedPreference::Spare { has_slack: self.has_slack(step) },
        }
    }

    /// Whether the job of a step keeps its value if the step runs on the slowest workers.
    fn has_slack(&self, step: &OpenStep<'t>) -> bool {
        let delay = (self.speed_order.slowest_run_time_factor() - 1.0).max(0.0);
        let latest_start = step.order.latest_start;
        !step.order.late && latest_start > self.view.now + step.step.estimate.mul_f64(delay)
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

/// Lowest priority, with the highest number, of the runs that may be stopped for others.
fn preemptible_priority(capacities: &BTreeMap<WorkerId, WorkerCapacity<'_>>) -> Option<u32> {
    let runs = capacities.values().flat_map(|capacity| capacity.instance.runs.values());
    runs.filter(|run| may_stop(run)).map(|run| run.priority).max()
}

/// Number of starts without an answer. Starts at excluded workers do not count: many workers may
/// have been cut off at once, and that must not stop all work.
fn unanswered_starts(capacities: &BTreeMap<WorkerId, WorkerCapacity<'_>>) -> usize {
    let runs = capacities.values().flat_map(|capacity| capacity.instance.runs.values());
    runs.filter(|run| matches!(run.phase, RunPhase::Sent { .. })).count()
}
