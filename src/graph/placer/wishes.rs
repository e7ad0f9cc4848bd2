//! Which advice a pass misses.

use std::cmp::Reverse;
use std::time::Duration;

use crate::graph::advice::{AdviceWish, MOST_ASKED};
use crate::graph::job::GraphJob;
use crate::graph::name::{StepKey, TaskKey};
use crate::graph::placer::room::PassRoom;
use crate::graph::placer::{OpenStep, PlacementPass, has_label};
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
    pub(super) fn wish(&mut self, step: &OpenStep<'t>, missing: usize) {
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
        let step_room = self.step_room(step);
        let holds = |room: &PassRoom<'t>| step_room.holds(room.life.id(), &room.free);
        let fitting = self.rooms.values().filter(|room| {
            room.life.listing.service == step.job.rule.service
                && step.job.may_use(&room.life.listing.domain)
                && has_label(room.life, step.step)
                && need.fits(&room.life.listing.capacity)
                && step_room.allows(room.life.id()) > 0
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
            (
                far(room),
                holds(room) == 0,
                room.health,
                disturbs(room),
                Reverse(holds(room).min(missing)),
            )
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

/// Workers that one call may as well ask about: those whose own time is a small part of the call's.
fn worth_asking(rule: &AdviceRule) -> usize {
    let each = rule.each.as_secs_f64();
    match each > 0.0 {
        true => (rule.call.as_secs_f64() * CHEAP_PART / each) as usize,
        false => MOST_ASKED,
    }
}
