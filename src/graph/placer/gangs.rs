//! Where the tasks of a gang go: all of them or none.

use std::collections::BTreeMap;

use crate::graph::placer::worker_capacity::WorkerCapacity;
use crate::graph::placer::{OpenStep, PlacementPass, PlannedStart};
use crate::graph::step_capacity::tasks_that_fit;
use crate::id::{RackId, WorkerId};

impl<'t> PlacementPass<'t> {
    /// Places all tasks of a gang or none.
    pub(super) fn serve_gang(&mut self, step: &OpenStep<'t>, candidates: &[WorkerId]) -> usize {
        let all = step.step.count as usize;
        let open = step.waiting.len();
        let done = step.job.progress.done_count(step.key) as usize;
        if open + done < all || self.starts_left == 0 {
            return 0;
        }
        let mut sets: Vec<Vec<WorkerId>> = Vec::new();
        if step.step.one_rack {
            let mut racks: BTreeMap<&RackId, Vec<WorkerId>> = BTreeMap::new();
            for id in candidates {
                if let Some(room) = self.rooms.get(id) {
                    racks.entry(room.instance.rack()).or_default().push(id.clone());
                }
            }
            sets.extend(racks.into_values());
        }
        // A step that lasts is never late: it would wait for good for a rack that can hold it.
        let waits = step.step.one_rack && !step.order.late && !step.step.lasting;
        if !waits || !self.some_rack_holds(step) {
            sets.push(candidates.to_vec());
        }
        let placed = sets.into_iter().find_map(|set| self.try_gang(step, &set));
        match placed {
            Some(starts) => {
                self.starts_left = self.starts_left.saturating_sub(starts.len());
                self.start_gang(step, starts);
                0
            }
            None => open,
        }
    }

    /// Starts a gang that fits, or has it wait whole until the store has the starts that have to be announced.
    fn start_gang(&mut self, step: &OpenStep<'t>, starts: Vec<PlannedStart>) {
        let unannounced = starts.iter().filter(|start| self.needs_announcement(step, start.task));
        let unannounced: Vec<_> =
            unannounced.map(|start| (start.job.clone(), start.task)).collect();
        match unannounced.is_empty() {
            true => self.plan.gangs.push(starts),
            false => self.plan.announced.extend(unannounced),
        }
    }

    /// Whether a rack holds all tasks of a gang while it is empty, with the workers that advice has not denied. A
    /// gang of 33 tasks, two a worker, in racks of twelve workers waited 18 s for one, in a service half empty.
    fn some_rack_holds(&self, step: &OpenStep<'t>) -> bool {
        let (need, rule) = (step.step.reservation(), &step.job.rule);
        let most = step.step.max_per_worker.unwrap_or(u32::MAX);
        let known = self.view.advice.step(&(step.job.spec.id.clone(), step.key));
        let mut racks: BTreeMap<&RackId, u32> = BTreeMap::new();
        for room in self.rooms.values() {
            let registration = &room.instance.registration;
            let usable = registration.service == rule.service
                && step.job.may_use(&registration.domain)
                && room.instance.has_label(step.step)
                && !known.is_some_and(|known| known.denied.contains(&registration.id));
            if usable {
                let held = racks.entry(&registration.rack).or_default();
                *held =
                    held.saturating_add(tasks_that_fit(&registration.capacity, &need).min(most));
            }
        }
        racks.values().any(|held| *held >= step.step.count)
    }

    pub(super) fn try_gang(
        &mut self,
        step: &OpenStep<'t>,
        set: &[WorkerId],
    ) -> Option<Vec<PlannedStart>> {
        let mut counts = self.counts(step, set.iter());
        let mut starts = Vec::new();
        let checkpoint: Vec<(WorkerId, WorkerCapacity<'t>)> = set
            .iter()
            .filter_map(|id| self.rooms.get(id).map(|room| (id.clone(), room.clone())))
            .collect();
        for task in &step.waiting {
            let Some(worker) = self.choose(step, *task, set, &counts) else {
                self.rooms.extend(checkpoint);
                return None;
            };
            *counts.entry(worker.clone()).or_default() += 1;
            self.take(&worker, step, *task);
            let job = step.job.spec.id.clone();
            starts.push(PlannedStart { job, task: *task, worker });
        }
        Some(starts)
    }
}
