//! Preemption for urgent tasks that do not fit.

use super::passes::PassState;
use super::*;

impl TaskScheduler {
    /// Stops the tasks on one worker whose preemption costs least and frees enough for an urgent task,
    /// and reserves the freed capacity for it.
    pub(super) fn preempt(
        &mut self,
        now: Instant,
        task: &TaskId,
        need: &ResourceVector,
        pass: &mut PassState,
    ) {
        if pass.victim_searches >= MAX_PASS_VICTIM_SEARCHES {
            return;
        }
        pass.victim_searches += 1;
        let sets =
            self.pool.iter().filter(|worker| worker.schedulable && worker.reserved_for.is_none());
        let sets = sets.filter(|worker| need.fits(&worker.spec.capacity));
        let sets =
            sets.filter_map(|worker| pick_victims(now, worker, need, self.victims_on(worker)));
        let Some(set) = sets.min_by(|a: &VictimSet, b| a.cost.total_cmp(&b.cost)) else {
            return;
        };
        self.pool.reserve_for(&set.worker, Some(task.clone()));
        self.capacity_reservations.insert(task.clone(), (set.worker, now + RESERVATION_TIME));
        for victim in set.tasks {
            metrics::counter!("kelplink_preemptions_total").increment(1);
            self.stop_task(&victim, StopReason::Preempted);
        }
    }

    pub(super) fn victims_on(&self, worker: &PoolWorker) -> Vec<VictimCandidate> {
        let tasks = worker.tasks.keys();
        tasks.filter_map(|task| self.victim(task)).collect()
    }

    pub(super) fn victim(&self, task: &TaskId) -> Option<VictimCandidate> {
        let job = self.jobs.get(&task.0)?;
        let preempted = job.preemptions.get(&task.1).copied().unwrap_or(0);
        let protected = job.spec.kind != JobKind::Batch
            || job.spec.urgency == Urgency::Now
            || !job.spec.idempotent
            || preempted >= MAX_PREEMPTIONS;
        match self.live.get(task) {
            Some(LiveTask::Running(staged)) if !protected => Some(VictimCandidate {
                id: task.clone(),
                need: staged.need,
                since: staged.stage.since,
            }),
            _ => None,
        }
    }
}
