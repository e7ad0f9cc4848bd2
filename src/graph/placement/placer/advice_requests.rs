//! Advice that a pass needs and does not have.

use std::cmp::Reverse;
use std::time::Duration;

use tokio::time::Instant;

use crate::graph::placement::advice::{AdviceRequest, LONG_CALL, MAX_WORKERS_PER_CALL, StepAdvice};
use crate::graph::placement::overdue_share::OverdueKind;
use crate::graph::placement::placer::worker_capacity::WorkerCapacity;
use crate::graph::placement::placer::{OpenStep, PlacementPass, VALUE_EXPIRY_FACTOR};
use crate::graph::workload::job::GraphJob;
use crate::graph::workload::name::{StepKey, TaskKey};
use crate::graph::workload::queue::AdviceRule;
use crate::id::WorkerId;

/// How long before the expected start of a step its advice is requested, in addition to the time of
/// the call.
const REQUEST_LEAD: Duration = Duration::from_millis(60);
/// Fraction of the fixed time of a call that naming more workers may add: another call costs the
/// whole fixed time.
const MAX_EXTRA_FRACTION: f64 = 0.5;
/// Number of workers assumed for the time of a renewal.
const RENEWED_WORKERS: u32 = 20;

impl<'t> PlacementPass<'t> {
    /// Whether the steps that a step depends on will have ended by the time that advice can arrive.
    pub(super) fn starts_soon(&self, step: &OpenStep<'t>) -> bool {
        if step.step.after.is_empty() {
            return true;
        }
        let Some(rule) = step.job.rule.advice else {
            return false;
        };
        let ahead = rule.call + rule.each * 10 + REQUEST_LEAD;
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
            let since = self.capacities.get(&run.worker).and_then(|capacity| {
                capacity.instance.runs.get(&job.task_name(*task)).map(|run| run.since)
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

    /// Whether a call for a step can be due, before its waiting tasks are known. Without `has_capacity`, no worker has
    /// capacity for the step or could be given some, and only tickets are renewed.
    pub(super) fn may_need_advice(&self, step: &OpenStep<'t>, has_capacity: bool) -> bool {
        let Some(rule) = step.job.rule.advice else {
            return false;
        };
        let enough = self.has_enough_requests()
            && self.overdue_rank(step, has_capacity).is_none()
            && self.restart_wait(step, has_capacity).is_none();
        // A step whose result is worthless gets only capacity that no other step can use.
        let is_hopeless = step.order.value_expired && !has_capacity;
        if enough || is_hopeless || (step.ready && self.starts_left_for(step) == 0) {
            return false;
        }
        let key = (step.job.spec.id.clone(), step.key);
        let has_reason = match self.view.advice.step(&key).filter(|advice| !advice.is_empty()) {
            Some(advice) if !has_capacity => {
                self.may_renew(&rule) && advice.has_ticket_ending_by(self.renewal_end(&rule))
            }
            _ => true,
        };
        has_reason
            && self.view.advice.may_request(&key, self.view.now)
            && (step.ready || self.starts_soon(step))
    }

    /// Whether no more requests could be sent now.
    fn has_enough_requests(&self) -> bool {
        self.plan.advice_requests.len() >= self.requests_left
    }

    /// The rank of a step among those whose request may come before all others; `None` if it may not, or if another
    /// one ranks before it.
    ///
    /// Steps that are late or without value come after all that are in time. Where calls are short they would wait
    /// as long as the load lasts, beside free capacity.
    fn overdue_rank(&self, step: &OpenStep<'t>, has_capacity: bool) -> Option<OverdueRank> {
        let is_due = self.may_come_first(OverdueKind::Late);
        if !(step.order.late && step.ready && has_capacity && is_due) {
            return None;
        }
        let overdue_time = step.job.objective() * (VALUE_EXPIRY_FACTOR - 1);
        let due = step.order.latest_start.checked_sub(overdue_time).unwrap_or(self.view.now);
        let rank = OverdueRank { repeated: !self.has_no_advice(step), due };
        self.overdue_rank.is_none_or(|first| rank < first).then_some(rank)
    }

    /// Since when a step with an overdue restart has waited for a call, if its request may come before all others; `None`
    /// if it may not, or if another one has waited longer.
    ///
    /// Urgent steps may take every call for as long as their load lasts, and a lasting task that has lost its worker is
    /// missed until it runs again.
    fn restart_wait(&self, step: &OpenStep<'t>, has_capacity: bool) -> Option<Instant> {
        let due = step.job.restart_due(step.key).filter(|due| *due <= self.view.now)?;
        if !(step.ready && has_capacity && self.may_come_first(OverdueKind::Restart)) {
            return None;
        }
        let key = (step.job.spec.id.clone(), step.key);
        let since = self.view.advice.last_call(&key).map_or(due, |call| due.max(call));
        self.restart_wait.is_none_or(|first| since < first).then_some(since)
    }

    /// Whether the request of an overdue step may come before all others.
    fn may_come_first(&self, kind: OverdueKind) -> bool {
        self.requests_left > 0 && self.view.advice.is_overdue_call_due(self.view.now, kind)
    }

    /// Whether a call that only renews tickets could be made if no other advice were requested.
    fn may_renew(&self, rule: &AdviceRule) -> bool {
        let reserved = if rule.call > LONG_CALL { self.reserved_entries } else { 0 };
        self.renewals_left > reserved
    }

    /// Tickets that end before this moment are renewed.
    fn renewal_end(&self, rule: &AdviceRule) -> Instant {
        self.view.now + rule.call + rule.each * RENEWED_WORKERS
    }

    /// Requests advice: first on as many workers as one call allows, then again to renew the
    /// tickets of the allowed workers and to ask about others that have capacity.
    ///
    /// A step with tickets takes capacity as soon as it becomes free, and one call renews all of
    /// them. Requesting advice only once there was capacity did not work: the capacity was gone
    /// when the answer came.
    pub(super) fn request_advice(&mut self, step: &OpenStep<'t>, missing: usize) {
        let Some(rule) = step.job.rule.advice else {
            return;
        };
        let key = (step.job.spec.id.clone(), step.key);
        let has_space = self.has_space(step.step.reservation());
        let overdue_rank = self.overdue_rank(step, has_space);
        let restart_wait = self.restart_wait(step, has_space);
        let enough = self.has_enough_requests() && overdue_rank.is_none() && restart_wait.is_none();
        if enough || !self.view.advice.may_request(&key, self.view.now) {
            return;
        }
        let NamedWorkers { workers, useful } = self.workers_to_name(step, &rule, missing);
        if workers.is_empty() {
            return;
        }
        let queue = step.job.rule.id.clone();
        let request = AdviceRequest { key, queue, rule, workers };
        match useful {
            true if restart_wait.is_some() => {
                self.restart_wait = restart_wait;
                let replaced = self.plan.restart_request.replace(request);
                let may_send = !self.has_enough_requests();
                self.plan.advice_requests.extend(replaced.filter(|_| may_send));
            }
            true if overdue_rank.is_some() => {
                self.overdue_rank = overdue_rank;
                let replaced = self.plan.overdue_request.replace(request);
                let may_send = !self.has_enough_requests();
                self.plan.advice_requests.extend(replaced.filter(|_| may_send));
            }
            true => self.plan.advice_requests.push(request),
            false => {
                let reserved = if request.time() > LONG_CALL { self.reserved_entries } else { 0 };
                if self.renewals_left > reserved {
                    self.renewals_left -= 1;
                }
                self.renewals.push(request);
            }
        }
    }

    /// Workers that a call for a step names: first those whose tickets the step can use now, then
    /// as many workers without advice as are likely to suffice, then those whose tickets it may use
    /// later.
    fn workers_to_name(
        &self,
        step: &OpenStep<'t>,
        rule: &AdviceRule,
        missing: usize,
    ) -> NamedWorkers {
        let first = self.has_no_advice(step);
        let mut candidates = self.advice_candidates(step, rule);
        if !first && candidates.are_full() {
            self.note_preemptable_capacity(step, &mut candidates);
        }
        let AdviceCandidates { ticketed_tasks, expiring, mut unknown } = candidates;
        let needs_more =
            ticketed_tasks < missing && unknown.iter().any(|asked| asked.task_count > 0);
        let is_remote = |asked: &AskedWorker<'_, 't>| {
            step.step.affinity.as_ref().is_some_and(|rack| rack != asked.capacity.instance.rack())
        };
        let disturbs = |asked: &AskedWorker<'_, 't>| {
            (step.step.best_effort && asked.capacity.runs_latency_bound)
                || (step.step.target.is_some() && asked.capacity.runs_best_effort)
        };
        let (mut usable, full): (Vec<_>, Vec<_>) =
            expiring.into_iter().partition(|asked| asked.task_count > 0);
        let useful = first || needs_more || !usable.is_empty();
        usable.sort_by_key(|asked| (is_remote(asked), Reverse(asked.task_count)));
        unknown.sort_by_key(|asked| {
            let is_full = asked.task_count == 0;
            let fitting = Reverse(asked.task_count.min(missing));
            (is_remote(asked), is_full, asked.capacity.health, disturbs(asked), fitting)
        });
        let share = self.view.advice.share(&step.job.rule.id);
        let cheap_count = cheap_worker_count(rule);
        let mut workers: Vec<WorkerId> = usable.iter().map(AskedWorker::worker).collect();
        workers.truncate(MAX_WORKERS_PER_CALL);
        let mut expected = ticketed_tasks as f64;
        for asked in unknown.iter().filter(|_| first || needs_more) {
            let enough = expected >= missing as f64 && workers.len() >= cheap_count;
            if enough || workers.len() >= MAX_WORKERS_PER_CALL {
                break;
            }
            expected += asked.task_count as f64 * share;
            workers.push(asked.worker());
        }
        // Full workers come last: named first, they took up every call, and only 96 of 130 tasks
        // ever ran.
        let left = MAX_WORKERS_PER_CALL - workers.len();
        workers.extend(full.iter().take(left).map(AskedWorker::worker));
        NamedWorkers { workers, useful }
    }

    /// Workers that a step might use, grouped by the advice on them.
    fn advice_candidates(
        &self,
        step: &OpenStep<'t>,
        rule: &AdviceRule,
    ) -> AdviceCandidates<'_, 't> {
        let advice = self.view.advice.step(&(step.job.spec.id.clone(), step.key));
        let need = step.step.reservation();
        let step_capacity = self.step_capacity(step);
        let fitting = self.capacities.values().filter(|capacity| {
            capacity.instance.registration.service == step.job.rule.service
                && step.job.may_use(&capacity.instance.registration.domain)
                && capacity.instance.has_label(step.step)
                && need.fits(&capacity.instance.registration.capacity)
                && step_capacity.remaining(capacity.instance.id()) > 0
                && !advice.is_some_and(|advice| advice.denied.contains(capacity.instance.id()))
        });
        let renewal = self.renewal_end(rule);
        let mut candidates = AdviceCandidates::default();
        for capacity in fitting {
            let fitting_tasks = step_capacity.fitting_tasks(capacity.instance.id(), &capacity.free);
            match advice.filter(|advice| advice.allowed.contains_key(capacity.instance.id())) {
                Some(advice) if advice.ticket(capacity.instance.id(), renewal).is_some() => {
                    candidates.ticketed_tasks += fitting_tasks;
                }
                Some(_) => {
                    candidates.expiring.push(AskedWorker { capacity, task_count: fitting_tasks })
                }
                None => {
                    candidates.unknown.push(AskedWorker { capacity, task_count: fitting_tasks })
                }
            }
        }
        candidates
    }

    /// Counts capacity that preemption can free, for use when there is no free capacity: when a
    /// step asked only about workers with free capacity, 16 of its 40 lasting tasks ran. Stops after
    /// as many workers as one call can name: checks of all 350 workers for each request slowed the
    /// machine of the leader so much that it could not keep its leadership.
    fn note_preemptable_capacity(
        &self,
        step: &OpenStep<'t>,
        candidates: &mut AdviceCandidates<'_, 't>,
    ) {
        let asked = candidates.expiring.iter_mut().chain(&mut candidates.unknown);
        let preemptible = asked.filter(|asked| self.can_preempt(step, asked.capacity));
        preemptible.take(MAX_WORKERS_PER_CALL).for_each(|asked| asked.task_count = 1);
    }

    fn has_no_advice(&self, step: &OpenStep<'t>) -> bool {
        let advice = self.view.advice.step(&(step.job.spec.id.clone(), step.key));
        advice.is_none_or(StepAdvice::is_empty)
    }
}

/// Order of the overdue steps whose requests may come before all others.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct OverdueRank {
    /// A step that finds no place for all its tasks requests advice again and again.
    repeated: bool,
    /// Latest start with which its job would have been in time.
    due: Instant,
}

/// A worker that a call may name.
struct AskedWorker<'p, 't> {
    capacity: &'p WorkerCapacity<'t>,
    /// Number of tasks of the step that the worker can take now.
    task_count: usize,
}

impl AskedWorker<'_, '_> {
    fn worker(&self) -> WorkerId {
        self.capacity.instance.id().clone()
    }
}

/// Workers that a call names.
struct NamedWorkers {
    workers: Vec<WorkerId>,
    /// Whether the step could place a task on one of them now; otherwise the call only renews
    /// tickets for later.
    useful: bool,
}

/// Workers that a step might use.
#[derive(Default)]
struct AdviceCandidates<'p, 't> {
    /// Number of tasks that fit on the workers with valid tickets.
    ticketed_tasks: usize,
    /// Workers whose tickets expire soon.
    expiring: Vec<AskedWorker<'p, 't>>,
    /// Workers without advice.
    unknown: Vec<AskedWorker<'p, 't>>,
}

impl AdviceCandidates<'_, '_> {
    /// Whether none of them has free capacity.
    fn are_full(&self) -> bool {
        let mut named = self.expiring.iter().chain(&self.unknown);
        self.ticketed_tasks == 0 && named.all(|asked| asked.task_count == 0)
    }
}

/// Number of workers that add only a small part to the fixed time of a call.
fn cheap_worker_count(rule: &AdviceRule) -> usize {
    let each = rule.each.as_secs_f64();
    match each > 0.0 {
        true => (rule.call.as_secs_f64() * MAX_EXTRA_FRACTION / each) as usize,
        false => MAX_WORKERS_PER_CALL,
    }
}
