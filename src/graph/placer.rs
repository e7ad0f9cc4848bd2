//! Which waiting task goes to which worker, and what advice is missing for it.
//!
//! A pass looks at a copy of the room on the workers and changes nothing; its plan is carried out by
//! the controller. Urgent queues are served first, then by the latest start with which a job still earns what it can:
//! all of its worth up to its objective, a part of it up to three times that, nothing later. What is past that comes
//! after everything else.

mod advice_requests;
mod gangs;
mod tasks;
mod worker_capacity;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::graph::advice::{AdviceRequest, AdviceTable};
use crate::graph::health::HealthRank;
use crate::graph::home::UnsettledDomains;
use crate::graph::instances::{InstanceTable, SILENCE_LIMIT};
use crate::graph::job::GraphJob;
use crate::graph::jobs::JobTable;
use crate::graph::name::{GraphId, StepKey, TaskKey, TaskName};
use crate::graph::placer::worker_capacity::WorkerCapacity;
use crate::graph::preemption::{PlannedPreemption, ReservationTable};
use crate::graph::spec::StepSpec;
use crate::graph::step_capacity::StepCapacity;
use crate::graph::worker::{RunPhase, WorkerInstance};
use crate::id::{DomainId, UnixMillis, WorkerId};

/// Wishes for each entry that could make a call: long calls leave entries to the short ones behind.
const WISHES_A_CALL: usize = 3;
/// Multiple of its objective after which a job's result has lost its worth.
const WORTHLESS_AFTER: u32 = 3;
/// Open steps of one job that a pass looks at: four occurrences of the largest graph. Later ones wait
/// for these: 15,000 that were due at once took 450 ms a pass with 250 workers, 50 ms so (debug build).
const MOST_OPEN_STEPS: usize = 1_024;

/// One in this many workers at most is left out as faulty: a job that fails everywhere leaves failures
/// on all of them, and work must not wait for that.
const FAULTY_SHARE: usize = 4;

/// A task that goes to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedStart {
    /// The job.
    pub job: GraphId,
    /// The task.
    pub task: TaskKey,
    /// The worker.
    pub worker: WorkerId,
}

/// What a pass decided.
#[derive(Debug, Default)]
pub struct PassPlan {
    /// Starts, in order.
    pub starts: Vec<PlannedStart>,
    /// Tasks of one gang, started together.
    pub gangs: Vec<Vec<PlannedStart>>,
    /// Tasks that fit, and whose starts the store has to have first.
    pub announced: Vec<(GraphId, TaskKey)>,
    /// Tasks for which less urgent runs are stopped.
    pub preemptions: Vec<PlannedPreemption>,
    /// Advice to ask for, most urgent first.
    pub advice_requests: Vec<AdviceRequest>,
    /// Jobs that should use another failure domain as well.
    pub widened: Vec<(GraphId, DomainId)>,
    /// Jobs none of whose tasks waits.
    pub settled: Vec<GraphId>,
}

/// Order in which steps are served.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct ServingOrder {
    cannot_fit: bool,
    priority: u32,
    latest_start: Instant,
    late: bool,
}

/// A step with tasks to start, or whose turn comes soon.
struct OpenStep<'t> {
    order: ServingOrder,
    job: &'t GraphJob,
    key: StepKey,
    step: &'t StepSpec,
    waiting: Vec<TaskKey>,
    ready: bool,
}

/// What a pass looks at.
#[derive(Clone, Copy)]
pub struct PassView<'t> {
    /// The time.
    pub now: Instant,
    /// The time since 1970.
    pub unix: UnixMillis,
    /// Where tasks of jobs from before this leader's time may still run.
    pub unsettled: &'t UnsettledDomains,
    /// All jobs.
    pub jobs: &'t JobTable,
    /// All workers.
    pub instances: &'t InstanceTable,
    /// All placement advice.
    pub advice: &'t AdviceTable,
    /// Room that is kept for tasks.
    pub keeper: &'t ReservationTable,
    /// Starts that may be without an answer, but for one more gang.
    pub unanswered: usize,
    /// Whether workers from before this leader's time were lost before they were heard.
    pub lost_before_contact: bool,
}

/// One pass.
pub struct PlacementPass<'t> {
    view: PassView<'t>,
    /// Calls for advice that could be made now; more wishes would be in vain.
    requests_left: usize,
    /// Starts that may be planned.
    starts_left: usize,
    /// Runs that were chosen to be stopped in this pass.
    victims: BTreeSet<TaskName>,
    rooms: BTreeMap<WorkerId, WorkerCapacity<'t>>,
    plan: PassPlan,
    /// Wishes of steps that can place nothing now. They come last: before the others, those of twelve steps
    /// kept a small step with room everywhere from ever being asked for.
    renewals: Vec<AdviceRequest>,
}

impl<'t> PlacementPass<'t> {
    /// Prepares a pass.
    pub fn new(view: PassView<'t>) -> Self {
        let open =
            view.instances.iter().filter(|instance| instance.accepts_work(view.now, SILENCE_LIMIT));
        let room = |instance: &'t WorkerInstance| {
            let free = instance.free().saturating_sub(&view.keeper.on(instance.id()));
            let crashed = view.instances.crashed_lately(view.now, instance);
            (instance.id().clone(), WorkerCapacity::new(instance, free, crashed, view.now))
        };
        let mut rooms: BTreeMap<WorkerId, WorkerCapacity<'t>> = open.map(room).collect();
        leave_out_faulty(&mut rooms);
        let requests_left = view.advice.idle() * WISHES_A_CALL;
        let starts_left = view.unanswered.saturating_sub(unanswered(&rooms));
        Self {
            view,
            requests_left,
            starts_left,
            victims: BTreeSet::new(),
            rooms,
            plan: PassPlan::default(),
            renewals: Vec::new(),
        }
    }

    /// Decides.
    pub fn run(mut self) -> PassPlan {
        let mut steps = Vec::new();
        for job in self.view.jobs.schedulable().filter(|job| !self.view.unsettled.holds(job)) {
            let before = steps.len();
            self.open_steps(job, &mut steps);
            if steps.len() == before && job.spec.repeat.is_none() {
                self.plan.settled.push(job.spec.id.clone());
            }
        }
        steps.sort_by(|a, b| {
            (a.order, &a.job.spec.id, a.key).cmp(&(b.order, &b.job.spec.id, b.key))
        });
        for step in steps {
            self.serve(&step);
        }
        self.plan.advice_requests.extend(self.renewals);
        self.plan
    }

    fn open_steps(&self, job: &'t GraphJob, steps: &mut Vec<OpenStep<'t>>) {
        let most = steps.len() + MOST_OPEN_STEPS;
        for occurrence in 0..job.spec.occurrences() {
            let due = job.spec.due(occurrence);
            if due.is_some_and(|due| due > self.view.unix) || steps.len() >= most {
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
                    let may = |task: &TaskKey| {
                        job.not_before.get(task).is_none_or(|start| *start <= self.view.now)
                    };
                    waiting.retain(may);
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
        let passed = match due {
            Some(due) => Duration::from_millis(self.view.unix.saturating_sub(due)),
            None => self.view.now.saturating_duration_since(job.submitted_at),
        };
        let chain = job.critical_paths.get(key.step as usize).copied().unwrap_or_default();
        let objective = job.objective();
        let late = !step.lasting && passed + chain > objective;
        let cannot_fit = !step.lasting && passed + chain > objective * WORTHLESS_AFTER;
        // Served after all that are in time, a backlog would wait until load falls and lose what it still can earn.
        let loses_at = if late { objective * WORTHLESS_AFTER } else { objective };
        let latest =
            (self.view.now + loses_at).checked_sub(passed + chain).unwrap_or(self.view.now);
        ServingOrder { cannot_fit, priority: job.rule.priority, latest_start: latest, late }
    }

    fn serve(&mut self, step: &OpenStep<'t>) {
        if step.waiting.is_empty() {
            return;
        }
        let candidates = self.candidates(step);
        let missing = match step.ready {
            true if step.step.gang => self.serve_gang(step, &candidates),
            true => self.serve_tasks(step, &candidates),
            false => step.waiting.len(),
        };
        if missing > 0
            && step.ready
            && let Some(domain) = self.roomier_domain(step, missing)
        {
            self.plan.widened.push((step.job.spec.id.clone(), domain));
        }
        if missing > 0 && (step.ready || self.comes_soon(step)) {
            self.request_advice(step, missing);
        }
    }

    /// Whether the store has to have the start of a task before it goes out.
    fn needs_announcement(&self, step: &OpenStep<'t>, task: TaskKey) -> bool {
        step.job.needs_announcement(task, self.view.lost_before_contact)
    }

    /// Workers that the step may use now.
    fn candidates(&self, step: &OpenStep<'t>) -> Vec<WorkerId> {
        let rule = &step.job.rule;
        let fits = |room: &&WorkerCapacity<'t>| {
            room.instance.registration.service == rule.service
                && step.job.may_use(&room.instance.registration.domain)
                && room.instance.has_label(step.step)
        };
        if rule.advice.is_none() {
            let fitting = self.rooms.values().filter(fits);
            return fitting.map(|room| room.instance.id().clone()).collect();
        }
        let key = (step.job.spec.id.clone(), step.key);
        let Some(advice) = self.view.advice.step(&key) else {
            return Vec::new();
        };
        let allowed = advice.tickets(self.view.now);
        let rooms = allowed.filter_map(|worker| self.rooms.get(worker)).filter(fits);
        rooms.map(|room| room.instance.id().clone()).collect()
    }

    /// The failure domain with most room among those that a job may not use yet, where those that it may
    /// use cannot hold what is missing, whatever advice says.
    fn roomier_domain(&self, step: &OpenStep<'t>, missing: usize) -> Option<DomainId> {
        let job = step.job;
        if job.home.is_none() || job.is_widening() {
            return None;
        }
        let key = (job.spec.id.clone(), step.key);
        let known = self.view.advice.step(&key);
        let step_capacity = self.step_capacity(step);
        let mut here = 0;
        let mut elsewhere: BTreeMap<&DomainId, usize> = BTreeMap::new();
        for room in self.rooms.values() {
            let (id, registration) = (room.instance.id(), &room.instance.registration);
            let usable = registration.service == job.rule.service
                && room.instance.has_label(step.step)
                && !known.is_some_and(|known| known.denied.contains(id));
            let holds = step_capacity.holds(id, &room.free);
            match usable {
                true if job.may_use(&registration.domain) => here += holds,
                true => *elsewhere.entry(&registration.domain).or_default() += holds,
                false => {}
            }
        }
        let most_room = elsewhere.into_iter().max_by_key(|(_, holds)| *holds);
        most_room
            .filter(|(_, holds)| here < missing && *holds > 0)
            .map(|(domain, _)| domain.clone())
    }

    /// What the step may still place on workers.
    fn step_capacity(&self, step: &OpenStep<'t>) -> StepCapacity {
        StepCapacity::new(step.step, self.counts(step, self.rooms.keys()))
    }

    /// Tasks of the step that hold room, have room kept or were given room in this pass, by worker;
    /// nothing where the step has no limit.
    fn counts<'w>(
        &self,
        step: &OpenStep<'t>,
        among: impl Iterator<Item = &'w WorkerId>,
    ) -> BTreeMap<WorkerId, u32> {
        if step.step.max_per_worker.is_none() {
            return BTreeMap::new();
        }
        let id = &step.job.spec.id;
        let count = |worker: &WorkerId| {
            let room = self.rooms.get(worker)?;
            let kept = self.view.keeper.count(worker, id, step.key);
            Some((worker.clone(), room.instance.count_of(id, step.key) + kept))
        };
        let mut counts: BTreeMap<WorkerId, u32> = among.filter_map(count).collect();
        // Room that was kept for a task is counted already.
        let kept_here = |start: &PlannedStart| {
            let kept = self.view.keeper.get(&step.job.task_name(start.task));
            kept.is_some_and(|kept| kept.worker == start.worker)
        };
        let given = |start: &&PlannedStart| {
            start.job == *id && start.task.step == step.key && !kept_here(start)
        };
        for start in self.plan.starts.iter().filter(given) {
            if let Some(count) = counts.get_mut(&start.worker) {
                *count += 1;
            }
        }
        counts
    }
}

/// Leaves out workers that are at fault, unless there are so many that the fault is not theirs.
fn leave_out_faulty(rooms: &mut BTreeMap<WorkerId, WorkerCapacity<'_>>) {
    let faulty = |room: &WorkerCapacity<'_>| room.health == HealthRank::Faulty;
    let count = rooms.values().filter(|room| faulty(room)).count();
    if count * FAULTY_SHARE <= rooms.len() {
        rooms.retain(|_, room| !faulty(room));
    }
}

/// Starts that workers have not answered. Those that are given no work do not count: many may have been
/// cut off at once, and work must not wait for that.
fn unanswered(rooms: &BTreeMap<WorkerId, WorkerCapacity<'_>>) -> usize {
    let runs = rooms.values().flat_map(|room| room.instance.runs.values());
    runs.filter(|run| matches!(run.phase, RunPhase::Sent { .. })).count()
}
