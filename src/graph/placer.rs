//! Which waiting task goes to which worker, and what advice is missing for it.
//!
//! A pass looks at a copy of the room on the workers and changes nothing; its plan is carried out by
//! the controller. Steps are served in order of what can still meet its objective: urgent queues
//! first, then the latest start; what is hopelessly late comes after everything else.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::graph::advice::{AdviceDesk, AdviceWish, MOST_ASKED};
use crate::graph::job::GraphJob;
use crate::graph::jobs::JobTable;
use crate::graph::lives::{LifeTable, SILENCE};
use crate::graph::name::{GraphId, StepKey, TaskKey, TaskName};
use crate::graph::preemption::{PlannedPreemption, RoomKeeper, victims};
use crate::graph::queue::AdviceRule;
use crate::graph::spec::StepSpec;
use crate::graph::worker::WorkerLife;
use crate::id::{RackId, UnixMillis, WorkerId};
use crate::resources::ResourceVector;

/// Multiple of its objective after which a job's result has lost its worth.
const WORTHLESS_AFTER: u32 = 3;
/// How long before the latest start room is made: a stop takes 400 ms at most, and its end is seen
/// and the start sent within 100 ms.
const PREEMPTION_LEAD: Duration = Duration::from_millis(500);
/// Part of a call's own time that naming more workers may add: asking again costs the whole call.
const CHEAP_PART: f64 = 0.5;
/// Workers that a renewal is reckoned to name.
const RENEWED_WORKERS: u32 = 20;
/// Wishes for each entry that could make a call: long calls leave entries to the short ones behind.
const WISHES_A_CALL: usize = 3;
/// How early advice is asked for a step whose turn has not come, beside the time of the call.
const ASK_AHEAD: Duration = Duration::from_millis(60);

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
    /// Tasks for which less urgent runs are stopped.
    pub preemptions: Vec<PlannedPreemption>,
    /// Advice to ask for, most urgent first.
    pub wishes: Vec<AdviceWish>,
    /// Jobs none of whose tasks waits.
    pub settled: Vec<GraphId>,
}

/// Order in which steps are served.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct ServingOrder {
    hopeless: bool,
    priority: u32,
    late: bool,
    latest_start: Instant,
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

/// Room on a worker as the pass goes on.
#[derive(Clone)]
struct PassRoom<'t> {
    life: &'t WorkerLife,
    /// Free and not kept for a task.
    free: ResourceVector,
    /// Free, kept or not.
    spare: ResourceVector,
    /// Processors that best-effort tasks here would use.
    wanted: u32,
    serves: bool,
    fills: bool,
}

/// What a pass looks at.
#[derive(Clone, Copy)]
pub struct PassView<'t> {
    /// The time.
    pub now: Instant,
    /// The time since 1970.
    pub unix: UnixMillis,
    /// Whether tasks of jobs from before this leader's time may be started.
    pub settled: bool,
    /// All jobs.
    pub jobs: &'t JobTable,
    /// All workers.
    pub lives: &'t LifeTable,
    /// All placement advice.
    pub advice: &'t AdviceDesk,
    /// Room that is kept for tasks.
    pub keeper: &'t RoomKeeper,
}

/// One pass.
pub struct PlacementPass<'t> {
    view: PassView<'t>,
    /// Calls for advice that could be made now; more wishes would be in vain.
    wishes_left: usize,
    /// Runs that were chosen to be stopped in this pass.
    victims: BTreeSet<TaskName>,
    rooms: BTreeMap<WorkerId, PassRoom<'t>>,
    plan: PassPlan,
}

impl<'t> PlacementPass<'t> {
    /// Prepares a pass.
    pub fn new(view: PassView<'t>) -> Self {
        let open = view.lives.iter().filter(|life| life.open(view.now, SILENCE));
        let room = |life: &'t WorkerLife| {
            let free = life.free().saturating_sub(&view.keeper.on(life.id()));
            (life.id().clone(), PassRoom::new(life, free))
        };
        let rooms = open.map(room).collect();
        let wishes_left = view.advice.idle() * WISHES_A_CALL;
        Self { view, wishes_left, victims: BTreeSet::new(), rooms, plan: PassPlan::default() }
    }

    /// Decides.
    pub fn run(mut self) -> PassPlan {
        let mut steps = Vec::new();
        for job in self.view.jobs.open().filter(|job| self.view.settled || !job.inherited) {
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
        self.plan
    }

    fn open_steps(&self, job: &'t GraphJob, steps: &mut Vec<OpenStep<'t>>) {
        for occurrence in 0..job.spec.occurrences() {
            let due = job.spec.due(occurrence);
            if due.is_some_and(|due| due > self.view.unix) {
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
                let ready = job.durable && job.turn_has_come(key);
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
            None => self.view.now.saturating_duration_since(job.begun),
        };
        let chain = job.chains.get(key.step as usize).copied().unwrap_or_default();
        let objective = job.objective();
        let latest =
            (self.view.now + objective).checked_sub(passed + chain).unwrap_or(self.view.now);
        let late = !step.lasting && passed + chain > objective;
        let hopeless = !step.lasting && passed + chain > objective * WORTHLESS_AFTER;
        ServingOrder { hopeless, priority: job.rule.priority, late, latest_start: latest }
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
        if missing > 0 && (step.ready || self.comes_soon(step)) {
            self.wish(step, missing);
        }
    }

    /// Workers that the step may use now.
    fn candidates(&self, step: &OpenStep<'t>) -> Vec<WorkerId> {
        let rule = &step.job.rule;
        let fits = |room: &&PassRoom<'t>| {
            room.life.listing.service == rule.service && has_label(room.life, step.step)
        };
        if rule.advice.is_none() {
            let fitting = self.rooms.values().filter(fits);
            return fitting.map(|room| room.life.id().clone()).collect();
        }
        let key = (step.job.spec.id.clone(), step.key);
        let Some(advice) = self.view.advice.step(&key) else {
            return Vec::new();
        };
        let allowed = advice.tickets(self.view.now);
        let rooms = allowed.filter_map(|worker| self.rooms.get(worker)).filter(fits);
        rooms.map(|room| room.life.id().clone()).collect()
    }

    /// Places as many tasks as fit; gives the number of those that do not.
    fn serve_tasks(&mut self, step: &OpenStep<'t>, candidates: &[WorkerId]) -> usize {
        let mut counts = self.counts(step, candidates);
        let mut missing = 0;
        for task in &step.waiting {
            let kept = self.kept(step, *task, candidates, &counts);
            let whole = kept.is_some();
            if let Some(worker) = kept.or_else(|| self.choose(step, *task, candidates, &counts)) {
                match whole {
                    true => self.take_kept(&worker, step.step),
                    false => {
                        *counts.entry(worker.clone()).or_default() += 1;
                        self.take(&worker, step.step);
                    }
                }
                let job = step.job.spec.id.clone();
                self.plan.starts.push(PlannedStart { job, task: *task, worker });
                continue;
            }
            missing += 1;
            if self.may_preempt(step, *task) {
                self.preempt(step, *task, candidates, &mut counts);
            }
        }
        missing
    }

    /// The worker on which room was kept for a task, once it is there. `counts` has the task itself.
    fn kept(
        &self,
        step: &OpenStep<'t>,
        task: TaskKey,
        candidates: &[WorkerId],
        counts: &BTreeMap<WorkerId, u32>,
    ) -> Option<WorkerId> {
        let kept = self.view.keeper.get(&step.job.task_name(task))?;
        let room = self.rooms.get(&kept.worker)?;
        let most = step.step.max_per_worker.unwrap_or(u32::MAX);
        let fits = kept.need.fits(&room.spare)
            && candidates.contains(&kept.worker)
            && counts.get(&kept.worker).copied().unwrap_or(0) <= most;
        fits.then(|| kept.worker.clone())
    }

    /// Whether waiting any longer would cost the task its objective, and nothing is under way for it.
    fn may_preempt(&self, step: &OpenStep<'t>, task: TaskKey) -> bool {
        let pressed = step.order.latest_start <= self.view.now + PREEMPTION_LEAD;
        let in_time = step.step.lasting || !step.order.late;
        pressed && in_time && self.view.keeper.get(&step.job.task_name(task)).is_none()
    }

    /// Chooses the worker where making room throws least work away.
    fn preempt(
        &mut self,
        step: &OpenStep<'t>,
        task: TaskKey,
        candidates: &[WorkerId],
        counts: &mut BTreeMap<WorkerId, u32>,
    ) {
        let need = step.step.reservation();
        let most = step.step.max_per_worker.unwrap_or(u32::MAX);
        let worth = match step.step.lasting {
            true => f64::MAX,
            false => f64::from(need.millicores) / 1_000.0 * step.step.estimate.as_secs_f64(),
        };
        let priority = step.job.rule.priority;
        let choice = candidates
            .iter()
            .filter(|id| counts.get(*id).copied().unwrap_or(0) < most)
            .filter_map(|id| {
                let room = self.rooms.get(id)?;
                let found = victims(room.life, self.view.now, &room.free, &need, priority, worth);
                let (lost, chosen) = found?;
                let taken = chosen.iter().any(|victim| self.victims.contains(victim));
                (!taken && !chosen.is_empty()).then_some((lost, id, chosen))
            })
            .min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, worker, chosen)) = choice else {
            return;
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
    }

    /// Places all tasks of a gang or none.
    fn serve_gang(&mut self, step: &OpenStep<'t>, candidates: &[WorkerId]) -> usize {
        let all = step.step.count as usize;
        let open = step.waiting.len();
        let done = step.job.progress.done_count(step.key) as usize;
        if open + done < all {
            return 0;
        }
        let mut sets: Vec<Vec<WorkerId>> = Vec::new();
        if step.step.one_rack {
            let mut racks: BTreeMap<&RackId, Vec<WorkerId>> = BTreeMap::new();
            for id in candidates {
                if let Some(room) = self.rooms.get(id) {
                    racks.entry(room.life.rack()).or_default().push(id.clone());
                }
            }
            sets.extend(racks.into_values());
        }
        if !step.step.one_rack || step.order.late {
            sets.push(candidates.to_vec());
        }
        let placed = sets.into_iter().find_map(|set| self.try_gang(step, &set));
        match placed {
            Some(starts) => {
                self.plan.gangs.push(starts);
                0
            }
            None => open,
        }
    }

    fn try_gang(&mut self, step: &OpenStep<'t>, set: &[WorkerId]) -> Option<Vec<PlannedStart>> {
        let mut counts = self.counts(step, set);
        let mut starts = Vec::new();
        let saved: Vec<(WorkerId, PassRoom<'t>)> = set
            .iter()
            .filter_map(|id| self.rooms.get(id).map(|room| (id.clone(), room.clone())))
            .collect();
        for task in &step.waiting {
            let Some(worker) = self.choose(step, *task, set, &counts) else {
                self.rooms.extend(saved);
                return None;
            };
            *counts.entry(worker.clone()).or_default() += 1;
            self.take(&worker, step.step);
            let job = step.job.spec.id.clone();
            starts.push(PlannedStart { job, task: *task, worker });
        }
        Some(starts)
    }

    fn counts(&self, step: &OpenStep<'t>, among: &[WorkerId]) -> BTreeMap<WorkerId, u32> {
        if step.step.max_per_worker.is_none() {
            return BTreeMap::new();
        }
        let id = &step.job.spec.id;
        let count = |worker: &WorkerId| {
            let room = self.rooms.get(worker)?;
            let kept = self.view.keeper.count(worker, id, step.key);
            Some((worker.clone(), room.life.count_of(id, step.key) + kept))
        };
        among.iter().filter_map(count).collect()
    }

    /// The best worker for a task: near its data, not one where it failed, away from tasks that it
    /// would disturb, then the tightest fit, so that large rooms stay whole.
    fn choose(
        &self,
        step: &OpenStep<'t>,
        task: TaskKey,
        among: &[WorkerId],
        counts: &BTreeMap<WorkerId, u32>,
    ) -> Option<WorkerId> {
        let spec = step.step;
        let need = spec.reservation();
        let most = spec.max_per_worker.unwrap_or(u32::MAX);
        let avoided = step.job.avoid.get(&task);
        let fits = |id: &&WorkerId| {
            let count = counts.get(*id).copied().unwrap_or(0);
            count < most
                && self
                    .rooms
                    .get(*id)
                    .is_some_and(|room| need.fits(&room.free) && need.fits(&room.spare))
        };
        let cost = |id: &&WorkerId| {
            let room = &self.rooms[*id];
            let far = spec.affinity.as_ref().is_some_and(|rack| rack != room.life.rack());
            let failed = avoided.is_some_and(|avoided| avoided.contains(*id));
            let disturbs =
                (spec.best_effort && room.serves) || (spec.target.is_some() && room.fills);
            let rest = match spec.best_effort {
                true => u32::MAX - room.free.millicores.saturating_sub(room.wanted),
                false => room.free.millicores - need.millicores,
            };
            (far, failed, disturbs, rest)
        };
        among.iter().filter(fits).min_by_key(cost).cloned()
    }

    /// Takes room that was kept for the task, and so is not among what is free.
    fn take_kept(&mut self, worker: &WorkerId, spec: &StepSpec) {
        if let Some(room) = self.rooms.get_mut(worker) {
            room.spare = room.spare.saturating_sub(&spec.reservation());
            room.serves |= spec.target.is_some();
        }
    }

    fn take(&mut self, worker: &WorkerId, spec: &StepSpec) {
        if let Some(room) = self.rooms.get_mut(worker) {
            room.free = room.free.saturating_sub(&spec.reservation());
            room.spare = room.spare.saturating_sub(&spec.reservation());
            if spec.best_effort {
                room.wanted = room.wanted.saturating_add(spec.need.millicores);
                room.fills = true;
            }
            room.serves |= spec.target.is_some();
        }
    }

    /// Whether the steps before will have ended by the time that advice could be there.
    fn comes_soon(&self, step: &OpenStep<'t>) -> bool {
        if step.step.after.is_empty() {
            return true;
        }
        let Some(rule) = step.job.rule.advice else {
            return false;
        };
        let ahead = rule.call + rule.each * 10 + ASK_AHEAD;
        step.step.after.iter().all(|before| {
            let before = StepKey { step: *before, ..step.key };
            self.ends_within(step.job, before, ahead)
        })
    }

    fn ends_within(&self, job: &GraphJob, key: StepKey, time: Duration) -> bool {
        let Some(step) = job.step(key) else {
            return false;
        };
        if job.step_done(key) {
            return true;
        }
        let live = job
            .live
            .range(TaskKey { step: key, index: 0 }..=TaskKey { step: key, index: u32::MAX });
        let mut running = 0;
        for (task, run) in live {
            let since = self
                .rooms
                .get(&run.worker)
                .and_then(|room| room.life.runs.get(&job.task_name(*task)).map(|run| run.since));
            let Some(since) = since else {
                return false;
            };
            running += 1;
            if since + step.estimate > self.view.now + time {
                return false;
            }
        }
        running + job.progress.done_count(key) >= step.count
    }

    /// Asks for advice: first about as many workers as one call bears, then again to keep the tickets
    /// of those that are allowed, and about others that have room.
    ///
    /// A step with tickets takes room as it comes free, and one call keeps them all for its whole
    /// time; asking only once there is room was tried, and the room was gone when the answer came.
    fn wish(&mut self, step: &OpenStep<'t>, missing: usize) {
        let Some(rule) = step.job.rule.advice else {
            return;
        };
        let key = (step.job.spec.id.clone(), step.key);
        let enough = self.plan.wishes.len() >= self.wishes_left;
        if enough || !self.view.advice.may_ask(&key, self.view.now) {
            return;
        }
        let known = self.view.advice.step(&key);
        let need = step.step.reservation();
        let most = step.step.max_per_worker.unwrap_or(u32::MAX);
        let holds = |room: &PassRoom<'t>| room_for(&room.free, &need).min(most) as usize;
        let fitting = self.rooms.values().filter(|room| {
            room.life.listing.service == step.job.rule.service
                && has_label(room.life, step.step)
                && need.fits(&room.life.listing.capacity)
                && !known.is_some_and(|known| known.denied.contains(room.life.id()))
        });
        let renewal = self.view.now + rule.call + rule.each * RENEWED_WORKERS;
        let (mut renewed, mut unknown, mut room_with_ticket) = (Vec::new(), Vec::new(), 0);
        for room in fitting {
            match known.filter(|known| known.allowed.contains_key(room.life.id())) {
                Some(known) if known.ticket(room.life.id(), renewal).is_some() => {
                    room_with_ticket += holds(room);
                }
                Some(_) => renewed.push(room),
                None => unknown.push(room),
            }
        }
        let first = known.is_none();
        let looks_on = room_with_ticket < missing && unknown.iter().any(|room| holds(room) > 0);
        if !first && renewed.is_empty() && !looks_on {
            return;
        }
        let far = |room: &PassRoom<'t>| {
            step.step.affinity.as_ref().is_some_and(|rack| rack != room.life.rack())
        };
        let disturbs = |room: &PassRoom<'t>| {
            (step.step.best_effort && room.serves) || (step.step.target.is_some() && room.fills)
        };
        renewed.sort_by_key(|room| (far(room), Reverse(holds(room))));
        unknown.sort_by_key(|room| {
            (far(room), holds(room) == 0, disturbs(room), Reverse(holds(room).min(missing)))
        });
        let share = self.view.advice.share(&step.job.rule.id);
        let cheap = worth_asking(&rule);
        let mut workers: Vec<WorkerId> =
            renewed.iter().take(MOST_ASKED).map(|room| room.life.id().clone()).collect();
        let mut expected = room_with_ticket as f64;
        for room in unknown.iter().filter(|_| first || looks_on) {
            let enough = expected >= missing as f64 && workers.len() >= cheap;
            if enough || workers.len() >= MOST_ASKED {
                break;
            }
            expected += holds(room) as f64 * share;
            workers.push(room.life.id().clone());
        }
        if workers.is_empty() {
            return;
        }
        let queue = step.job.rule.id.clone();
        self.plan.wishes.push(AdviceWish { key, queue, rule, workers });
    }
}

impl<'t> PassRoom<'t> {
    fn new(life: &'t WorkerLife, free: ResourceVector) -> Self {
        let best_effort = life.runs.values().filter(|run| run.best_effort);
        let wanted = best_effort.map(|run| run.figure).sum();
        Self { life, free, spare: life.free(), wanted, serves: life.serves(), fills: life.fills() }
    }
}

/// Workers that one call may as well ask about: those whose own time is a small part of the call's.
fn worth_asking(rule: &AdviceRule) -> usize {
    let each = rule.each.as_secs_f64();
    match each > 0.0 {
        true => (rule.call.as_secs_f64() * CHEAP_PART / each) as usize,
        false => MOST_ASKED,
    }
}

fn has_label(life: &WorkerLife, step: &StepSpec) -> bool {
    step.label.as_ref().is_none_or(|label| life.listing.labels.contains(label))
}

/// Number of tasks of a size that a room holds.
fn room_for(room: &ResourceVector, need: &ResourceVector) -> u32 {
    let holds = |room: u32, need: u32| room.checked_div(need).unwrap_or(u32::MAX);
    holds(room.millicores, need.millicores)
        .min(holds(room.memory_mib, need.memory_mib))
        .min(holds(room.accelerators, need.accelerators))
}
