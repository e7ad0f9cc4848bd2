//! Room held for gangs that cannot start yet, by the ends that are due.
//!
//! Load it answers: tasks that want whole workers beside small ones in a full service. Each room that came free went
//! to a small task, and gangs of one task with eight accelerators waited 60 s, until the load was over. What ends
//! before a gang's room is due may still use it (conservative backfill).

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::graph::name::{GraphId, StepKey, TaskName};
use crate::graph::placer::room::PassRoom;
use crate::graph::placer::{OpenStep, PlacementPass};
use crate::graph::room::room_for;
use crate::graph::worker::WorkerRun;
use crate::id::{RackId, WorkerId};
use crate::resources::ResourceVector;

/// Gangs for which a pass holds room: more would leave a small service nothing to fill in with.
const MOST_RESERVATIONS: usize = 8;
/// How far ahead room is held: beyond it declared run times say little.
const HORIZON: Duration = Duration::from_secs(10);

/// Room on a worker that is held for a step.
#[derive(Clone, Debug)]
pub(super) struct RoomReservation {
    pub(super) job: GraphId,
    pub(super) step: StepKey,
    pub(super) need: ResourceVector,
    /// When all room of the step is due.
    pub(super) from: Instant,
}

/// Rooms for all tasks of a gang, and when the last of them is due.
struct GangRooms {
    from: Instant,
    tasks: BTreeMap<WorkerId, u32>,
}

impl<'t> PlacementPass<'t> {
    /// Holds room for a gang that does not fit now, where it is due first.
    pub(super) fn reserve(&mut self, step: &OpenStep<'t>, one_rack: bool) {
        if self.reservations >= MOST_RESERVATIONS {
            return;
        }
        let mut sets: BTreeMap<Option<&RackId>, Vec<&PassRoom<'t>>> = BTreeMap::new();
        for room in self.rooms.values().filter(|room| self.could_take(step, room)) {
            sets.entry(one_rack.then(|| room.life.rack())).or_default().push(room);
        }
        let rooms = sets.into_values().filter_map(|set| self.rooms_due(step, &set));
        let Some(first) = rooms.min_by_key(|rooms| rooms.from) else {
            return;
        };
        if first.from > self.view.now + HORIZON {
            return;
        }
        self.reservations += 1;
        let need = step.step.reservation();
        for (worker, tasks) in first.tasks {
            let reservation = RoomReservation {
                job: step.job.spec.id.clone(),
                step: step.key,
                need: need.times(tasks),
                from: first.from,
            };
            if let Some(room) = self.rooms.get_mut(&worker) {
                room.reserved = Some(reservation);
            }
        }
    }

    /// Whether a step may use a worker, its room aside, and no other gang's room is held there.
    fn could_take(&self, step: &OpenStep<'t>, room: &PassRoom<'t>) -> bool {
        let (rule, id) = (&step.job.rule, room.life.id());
        let allowed = || {
            let known = self.view.advice.step(&(step.job.spec.id.clone(), step.key));
            known.is_some_and(|known| known.allowed.contains_key(id))
        };
        room.reserved.is_none()
            && room.life.listing.service == rule.service
            && step.job.may_use(&room.life.listing.domain)
            && room.life.has_label(step.step)
            && (rule.advice.is_none() || allowed())
    }

    /// The rooms of a set that hold all tasks of a gang first.
    fn rooms_due(&self, step: &OpenStep<'t>, set: &[&PassRoom<'t>]) -> Option<GangRooms> {
        let mut due: Vec<(Instant, &WorkerId)> = Vec::new();
        for room in set {
            due.extend(self.room_due(step, room).into_iter().map(|at| (at, room.life.id())));
        }
        due.sort();
        let count = step.waiting.len();
        let (from, _) = *due.get(count.checked_sub(1)?)?;
        let mut tasks: BTreeMap<WorkerId, u32> = BTreeMap::new();
        for (_, worker) in due.into_iter().take(count) {
            *tasks.entry(worker.clone()).or_default() += 1;
        }
        Some(GangRooms { from, tasks })
    }

    /// When a worker has room for one task of a step, for two, and so on, as its runs end.
    fn room_due(&self, step: &OpenStep<'t>, room: &PassRoom<'t>) -> Vec<Instant> {
        let need = step.step.reservation();
        let most = step.step.max_per_worker.unwrap_or(u32::MAX).min(step.step.count);
        let mut ends: Vec<(Instant, ResourceVector)> = room
            .life
            .runs
            .iter()
            .filter_map(|(task, run)| Some((self.run_end(task, run)?, run.need)))
            .collect();
        ends.sort_by_key(|(end, _)| *end);
        let mut free = room.free;
        let mut at = self.view.now;
        let mut due = Vec::new();
        for (end, freed) in std::iter::once((at, ResourceVector::default())).chain(ends) {
            free = free.saturating_add(&freed);
            at = at.max(end);
            while due.len() < room_for(&free, &need).min(most) as usize {
                due.push(at);
            }
        }
        due
    }

    /// When a run will likely end; `None` for one that lasts.
    fn run_end(&self, task: &TaskName, run: &WorkerRun) -> Option<Instant> {
        let step = self.view.jobs.get(&task.job)?.step(task.key.step)?;
        (!step.lasting).then(|| run.expected_end(step.estimate))
    }
}

impl PassRoom<'_> {
    /// Whether a task may start here that ends at a moment, or never: room that is held for another step stays, or is
    /// free again by then.
    pub(super) fn spares_held(
        &self,
        need: &ResourceVector,
        job: &str,
        step: StepKey,
        end: Option<Instant>,
    ) -> bool {
        let Some(held) = &self.reserved else {
            return true;
        };
        let own = &*held.job == job && held.step == step;
        own || end.is_some_and(|end| end <= held.from)
            || need.fits(&self.free.saturating_sub(&held.need))
    }

    /// Whether room here is held for a step and due before a moment.
    pub(super) fn is_due(&self, job: &str, step: StepKey, before: Instant) -> bool {
        let held = self.reserved.as_ref().filter(|held| &*held.job == job && held.step == step);
        held.is_some_and(|held| held.from <= before)
    }
}
