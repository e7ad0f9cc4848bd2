//! Which advice a pass misses.

use std::cmp::Reverse;
use std::time::Duration;

use crate::graph::advice::{AdviceRequest, MOST_ASKED};
use crate::graph::job::GraphJob;
use crate::graph::name::{StepKey, TaskKey};
use crate::graph::placer::worker_capacity::WorkerCapacity;
use crate::graph::placer::{OpenStep, PlacementPass};
use crate::graph::queue::AdviceRule;
use crate::id::WorkerId;

/// How early advice is asked for a step whose turn has not come, beside the time of the call.
const ASK_AHEAD: Duration = Duration::from_millis(60);
/// Part of a call's own time that naming more workers may add: asking again costs the whole call.
const CHEAP_PART: f64 = 0.5;
/// Workers that a renewal is reckoned to name.
const RENEWED_WORKERS: u32 = 20;

impl<'t> PlacementPass<'t> {
    /// Whether the steps before will have ended by the time that advice could be there.
    pub(super) fn comes_soon(&self, step: &OpenStep<'t>) -> bool {
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

    pub(super) fn ends_within(&self, job: &GraphJob, key: StepKey, time: Duration) -> bool {
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
            let since = self.rooms.get(&run.worker).and_then(|room| {
                room.instance.runs.get(&job.task_name(*task)).map(|run| run.since)
            });
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
    pub(super) fn request_advice(&mut self, step: &OpenStep<'t>, missing: usize) {
        let Some(rule) = step.job.rule.advice else {
            return;
        };
        let key = (step.job.spec.id.clone(), step.key);
        let enough = self.plan.advice_requests.len() >= self.requests_left;
        if enough || !self.view.advice.may_ask(&key, self.view.now) {
            return;
        }
        let NamedWorkers { workers, useful } = self.workers_to_name(step, &rule, missing);
        if workers.is_empty() {
            return;
        }
        let queue = step.job.rule.id.clone();
        let request = AdviceRequest { key, queue, rule, workers };
        match useful {
            true => self.plan.advice_requests.push(request),
            false => self.renewals.push(request),
        }
    }

    /// Workers that a call for a step names: first those whose tickets it can use, then as many unknown
    /// ones as are likely to do, then those whose tickets it may use later.
    fn workers_to_name(
        &self,
        step: &OpenStep<'t>,
        rule: &AdviceRule,
        missing: usize,
    ) -> NamedWorkers {
        let first = self.knows_nothing(step);
        let mut rooms = self.advice_candidates(step, rule);
        if !first && rooms.are_full() {
            self.note_preemptable_capacity(step, &mut rooms);
        }
        let AdviceCandidates { ready, renewed, mut unknown } = rooms;
        let looks_on = ready < missing && unknown.iter().any(|asked| asked.holds > 0);
        let far = |asked: &AskedWorker<'_, 't>| {
            step.step.affinity.as_ref().is_some_and(|rack| rack != asked.room.instance.rack())
        };
        let disturbs = |asked: &AskedWorker<'_, 't>| {
            (step.step.best_effort && asked.room.runs_latency_bound)
                || (step.step.target.is_some() && asked.room.runs_best_effort)
        };
        let (mut usable, full): (Vec<_>, Vec<_>) =
            renewed.into_iter().partition(|asked| asked.holds > 0);
        let useful = first || looks_on || !usable.is_empty();
        usable.sort_by_key(|asked| (far(asked), Reverse(asked.holds)));
        unknown.sort_by_key(|asked| {
            let none = asked.holds == 0;
            let holds = Reverse(asked.holds.min(missing));
            (far(asked), none, asked.room.health, disturbs(asked), holds)
        });
        let share = self.view.advice.share(&step.job.rule.id);
        let cheap = worth_asking(rule);
        let mut workers: Vec<WorkerId> = usable.iter().map(AskedWorker::worker).collect();
        workers.truncate(MOST_ASKED);
        let mut expected = ready as f64;
        for asked in unknown.iter().filter(|_| first || looks_on) {
            let enough = expected >= missing as f64 && workers.len() >= cheap;
            if enough || workers.len() >= MOST_ASKED {
                break;
            }
            expected += asked.holds as f64 * share;
            workers.push(asked.worker());
        }
        // Named first, workers that the step has filled took up each call: 96 of 130 tasks ran for good.
        let left = MOST_ASKED - workers.len();
        workers.extend(full.iter().take(left).map(AskedWorker::worker));
        NamedWorkers { workers, useful }
    }

    /// Workers that a step might use, by what is known of them.
    fn advice_candidates(
        &self,
        step: &OpenStep<'t>,
        rule: &AdviceRule,
    ) -> AdviceCandidates<'_, 't> {
        let known = self.view.advice.step(&(step.job.spec.id.clone(), step.key));
        let need = step.step.reservation();
        let step_capacity = self.step_capacity(step);
        let fitting = self.rooms.values().filter(|room| {
            room.instance.registration.service == step.job.rule.service
                && step.job.may_use(&room.instance.registration.domain)
                && room.instance.has_label(step.step)
                && need.fits(&room.instance.registration.capacity)
                && step_capacity.allows(room.instance.id()) > 0
                && !known.is_some_and(|known| known.denied.contains(room.instance.id()))
        });
        let renewal = self.view.now + rule.call + rule.each * RENEWED_WORKERS;
        let mut rooms = AdviceCandidates::default();
        for room in fitting {
            let free = step_capacity.holds(room.instance.id(), &room.free);
            match known.filter(|known| known.allowed.contains_key(room.instance.id())) {
                Some(known) if known.ticket(room.instance.id(), renewal).is_some() => {
                    rooms.ready += free;
                }
                Some(_) => rooms.renewed.push(AskedWorker { room, holds: free }),
                None => rooms.unknown.push(AskedWorker { room, holds: free }),
            }
        }
        rooms
    }

    /// In a full service room counts that can be made: a step that asked about workers with free room only
    /// had 16 of 40 lasting tasks run. One call's names are enough: looked for on all of 350 workers in each
    /// wish, it had the leader's machine too slow to lead.
    fn note_preemptable_capacity(&self, step: &OpenStep<'t>, rooms: &mut AdviceCandidates<'_, 't>) {
        let asked = rooms.renewed.iter_mut().chain(&mut rooms.unknown);
        let makeable = asked.filter(|asked| self.can_preempt(step, asked.room));
        makeable.take(MOST_ASKED).for_each(|asked| asked.holds = 1);
    }

    fn knows_nothing(&self, step: &OpenStep<'t>) -> bool {
        let known = self.view.advice.step(&(step.job.spec.id.clone(), step.key));
        known.is_none_or(|known| known.allowed.is_empty() && known.denied.is_empty())
    }
}

/// A worker that a call may name.
struct AskedWorker<'p, 't> {
    room: &'p WorkerCapacity<'t>,
    /// Tasks of the step that it could be given now.
    holds: usize,
}

impl AskedWorker<'_, '_> {
    fn worker(&self) -> WorkerId {
        self.room.instance.id().clone()
    }
}

/// Workers that a call names.
struct NamedWorkers {
    workers: Vec<WorkerId>,
    /// Whether the step could place a task on one of them now; else it only keeps tickets for later.
    useful: bool,
}

/// Workers that a step might use.
#[derive(Default)]
struct AdviceCandidates<'p, 't> {
    /// Tasks that those with tickets hold.
    ready: usize,
    /// Those whose tickets run out.
    renewed: Vec<AskedWorker<'p, 't>>,
    /// Those that nobody has asked about.
    unknown: Vec<AskedWorker<'p, 't>>,
}

impl AdviceCandidates<'_, '_> {
    /// Whether none of them has room.
    fn are_full(&self) -> bool {
        let mut named = self.renewed.iter().chain(&self.unknown);
        self.ready == 0 && named.all(|asked| asked.holds == 0)
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
