//! Placement of gangs: all tasks of a gang or none.

use std::collections::BTreeMap;

use crate::graph::placement::placer::worker_capacity::WorkerCapacity;
use crate::graph::placement::placer::{OpenStep, PlacementPass, PlannedStart};
use crate::graph::placement::step_capacity::tasks_that_fit;
use crate::id::{RackId, WorkerId};

impl<'t> PlacementPass<'t> {
    /// Places all tasks of a gang or none.
    pub(super) fn place_gang(&mut self, step: &OpenStep<'t>, candidates: &[WorkerId]) -> usize {
        let gang_size = step.step.count as usize;
        let waiting = step.waiting.len();
        let done = step.job.progress.done_count(step.key) as usize;
        if waiting + done < gang_size || self.starts_left == 0 {
            return 0;
        }
        let mut worker_sets: Vec<Vec<WorkerId>> = Vec::new();
        if step.step.one_rack {
            let mut racks: BTreeMap<&RackId, Vec<WorkerId>> = BTreeMap::new();
            for id in candidates {
                if let Some(capacity) = self.capacities.get(id) {
                    racks.entry(capacity.instance.rack()).or_default().push(id.clone());
                }
            }
            worker_sets.extend(racks.into_values());
        }
        // A lasting step is never late, so it would wait forever for a rack that can hold it.
        let waits_for_rack = step.step.one_rack && !step.order.late && !step.step.lasting;
        if !waits_for_rack || !self.fits_empty_rack(step) {
            worker_sets.push(candidates.to_vec());
        }
        let placed =
            worker_sets.into_iter().find_map(|worker_set| self.try_place_gang(step, &worker_set));
        match placed {
            Some(starts) => {
                self.starts_left = self.starts_left.saturating_sub(starts.len());
                let count = u32::try_from(starts.len()).unwrap_or(u32::MAX);
                let total = step.step.need.times(count);
                self.allowances.deduct(step.job.workspace.as_ref(), &total);
                self.start_gang(step, starts);
                0
            }
            None => waiting,
        }
    }

    /// Starts a gang that fits, or announces the starts that must be stored first; the whole gang
    /// waits for these.
    fn start_gang(&mut self, step: &OpenStep<'t>, starts: Vec<PlannedStart>) {
        let unannounced = starts.iter().filter(|start| self.needs_announcement(step, start.task));
        let unannounced: Vec<_> =
            unannounced.map(|start| (start.job.clone(), start.task)).collect();
        match unannounced.is_empty() {
            true => self.plan.gangs.push(starts),
            false => self.plan.announced.extend(unannounced),
        }
    }

    /// Whether some rack could hold all tasks of a gang if it were empty, on the workers that
    /// advice has not denied. Without this check a gang of 33 tasks, at most two per worker, waited
    /// 18 s for a rack where racks have twelve workers, while half of the service was free.
    fn fits_empty_rack(&self, step: &OpenStep<'t>) -> bool {
        let (need, rule) = (step.step.reservation(), &step.job.rule);
        let limit = step.step.max_per_worker.unwrap_or(u32::MAX);
        let advice = self.view.advice.step(&(step.job.spec.id.clone(), step.key));
        let mut racks: BTreeMap<&RackId, u32> = BTreeMap::new();
        for capacity in self.capacities.values() {
            let registration = &capacity.instance.registration;
            let usable = registration.service == rule.service
                && step.job.may_use(&registration.domain)
                && capacity.instance.has_label(step.step)
                && !advice.is_some_and(|advice| advice.denied.contains(&registration.id));
            if usable {
                let task_count = racks.entry(&registration.rack).or_default();
                *task_count = task_count
                    .saturating_add(tasks_that_fit(&registration.capacity, &need).min(limit));
            }
        }
        racks.values().any(|task_count| *task_count >= step.step.count)
    }

    pub(super) fn try_place_gang(
        &mut self,
        step: &OpenStep<'t>,
        worker_set: &[WorkerId],
    ) -> Option<Vec<PlannedStart>> {
        let mut task_counts = self.task_counts(step, worker_set.iter());
        let preference = self.speed_preference(step);
        let fast_free = self.speed_order.fast_free;
        let mut starts = Vec::new();
        let previous: Vec<(WorkerId, WorkerCapacity<'t>)> = worker_set
            .iter()
            .filter_map(|id| self.capacities.get(id).map(|capacity| (id.clone(), capacity.clone())))
            .collect();
        for task in &step.waiting {
            let worker = self.choose_worker(step, *task, worker_set, &task_counts, preference);
            let Some(worker) = worker else {
                self.capacities.extend(previous);
                self.speed_order.fast_free = fast_free;
                return None;
            };
            *task_counts.entry(worker.clone()).or_default() += 1;
            self.allocate(&worker, step, *task);
            let job = step.job.spec.id.clone();
            starts.push(PlannedStart { job, task: *task, worker });
        }
        Some(starts)
    }
}
