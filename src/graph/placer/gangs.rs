//! Where the tasks of a gang go: all of them or none.

use std::collections::BTreeMap;

use crate::graph::placer::room::PassRoom;
use crate::graph::placer::{OpenStep, PlacementPass, PlannedStart};
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
                    racks.entry(room.life.rack()).or_default().push(id.clone());
                }
            }
            sets.extend(racks.into_values());
        }
        // A step that lasts is never late: it would wait for good for a rack that can hold it.
        if !step.step.one_rack || step.order.late || step.step.lasting {
            sets.push(candidates.to_vec());
        }
        let placed = sets.into_iter().find_map(|set| self.try_gang(step, &set));
        match placed {
            Some(starts) => {
                self.starts_left = self.starts_left.saturating_sub(starts.len());
                self.plan.gangs.push(starts);
                0
            }
            None => open,
        }
    }

    pub(super) fn try_gang(
        &mut self,
        step: &OpenStep<'t>,
        set: &[WorkerId],
    ) -> Option<Vec<PlannedStart>> {
        let mut counts = self.counts(step, set.iter());
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
}
