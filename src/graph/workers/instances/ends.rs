//! Instances that end, and runs that are lost with them or with their lease.

use std::time::Duration;

use tokio::time::Instant;

use crate::graph::workers::instances::InstanceTable;
use crate::graph::workers::run::WorkerRun;
use crate::graph::workers::worker::{InstanceEnd, WorkerInstance};
use crate::graph::workers::worker_event::{LostRun, WorkerEvent};
use crate::graph::workload::crash::SuspectRun;
use crate::graph::workload::name::TaskName;
use crate::id::WorkerId;

/// Number of consecutive calls without an answer, and time since the first of them, after which the runs on
/// probation at a worker are recorded in the store. One poll in twenty may be lost.
pub(super) const SUSPECT_MISSES: u32 = 2;
const SUSPECT_SILENCE_TIME: Duration = Duration::from_millis(100);

impl InstanceTable {
    /// Handles an answer that shows another instance in place of this one.
    pub(crate) fn instance_replaced(&mut self, now: Instant, id: &WorkerId) -> Vec<WorkerEvent> {
        let Some(instance) = self.instances.get(id) else {
            return Vec::new();
        };
        if instance.leaves_at.is_some() {
            return self.end_instance(now, id, InstanceEnd::Left);
        }
        let silent = self.other_silences(id);
        let crash = self.crashes.note_crash(now, instance, &silent);
        let mut events = self.end_instance(now, id, InstanceEnd::Replaced);
        events.push(WorkerEvent::Crashed(crash));
        events
    }

    /// Times since which the other silent workers have been silent.
    pub(super) fn other_silences(&self, id: &WorkerId) -> Vec<Instant> {
        let others = self.instances.values().filter(|other| other.id() != id);
        others.filter_map(|other| other.silent_since).collect()
    }

    /// Removes an instance that has ended; all its runs are lost.
    pub(super) fn end_instance(
        &mut self,
        now: Instant,
        id: &WorkerId,
        end: InstanceEnd,
    ) -> Vec<WorkerEvent> {
        let Some(instance) = self.instances.remove(id) else {
            return Vec::new();
        };
        self.fences.note_gone(now, id.clone(), instance.fence);
        if instance.leaves_at.is_some() {
            self.crashes.forget_instance(&instance.instance_id());
        }
        let mut events = vec![WorkerEvent::InstanceEnded(id.clone(), end)];
        let lost = instance
            .runs
            .into_iter()
            .map(|(task, run)| LostRun::new(task, run, instance.last_answer));
        events.extend(lost.map(|lost| WorkerEvent::Lost(id.clone(), lost)));
        events
    }

    /// Returns runs on probation that have begun on workers that have fallen silent. They are stored before
    /// it is known whether the worker has crashed, as a crashed worker is back only seconds later: if the
    /// leader were lost in between, the next one would start counting from zero.
    pub(crate) fn crash_suspicions(&mut self, now: Instant) -> Vec<WorkerEvent> {
        let silent = |instance: &&mut WorkerInstance| {
            let since = instance.silent_since.filter(|_| instance.misses >= SUSPECT_MISSES);
            since.is_some_and(|since| now.saturating_duration_since(since) >= SUSPECT_SILENCE_TIME)
        };
        let mut events = Vec::new();
        for instance in self.instances.values_mut().filter(silent) {
            let new = instance.runs.iter().filter(|(_, run)| run.begun && !run.suspicion_stored);
            let suspect_runs: Vec<(TaskName, SuspectRun)> = new
                .filter_map(|(task, run)| Some((task.clone(), instance.suspect_run(run)?)))
                .collect();
            for (task, suspect_run) in suspect_runs {
                if let Some(run) = instance.runs.get_mut(&task) {
                    (run.suspicion_stored, run.suspected) = (true, true);
                }
                events.push(WorkerEvent::CrashSuspected(task, suspect_run));
            }
        }
        events
    }

    /// Removes the runs of workers whose lease has certainly expired, and reports them as given up.
    pub(crate) fn expired_runs(&mut self, now: Instant) -> Vec<WorkerEvent> {
        let (mut events, max_lease) = (Vec::new(), self.max_lease);
        for instance in self.instances.values_mut() {
            instance.unblock_list(now);
            if instance.runs.is_empty() || !instance.is_lease_expired(now) {
                continue;
            }
            let ended = instance
                .runs
                .iter()
                .filter(|(_, run)| instance.has_certainly_ended(run, now, max_lease));
            let tasks: Vec<TaskName> = ended.map(|(task, _)| task.clone()).collect();
            for task in tasks {
                if let Some(run) = instance.remove_run(&task) {
                    let suspect_run = instance.suspect_run(&run);
                    if let Some(suspect_run) = suspect_run.clone() {
                        self.crashes.note_suspect_run(
                            now,
                            task.clone(),
                            suspect_run,
                            instance.silent_since,
                        );
                    }
                    let lost = LostRun::new(task, run, instance.last_answer);
                    events.push(WorkerEvent::GivenUp(instance.id().clone(), lost, suspect_run));
                }
            }
        }
        events
    }

    /// Removes workers that are not registered and can run nothing any more. Once everything from before this
    /// leader's term has ended (`settled`), this includes workers that have never answered.
    pub(crate) fn remove_vanished(&mut self, now: Instant, settled: bool) -> Vec<WorkerEvent> {
        let is_gone = |instance: &&WorkerInstance| {
            // A task of an earlier leader may have an end that is not listed yet.
            let can_run_nothing = match instance.claimed {
                true => instance.is_lease_expired(now) && (instance.has_listed_all || settled),
                false => settled,
            };
            let expected = instance.misses == 0 && instance.counts(now);
            !instance.registered && !expected && instance.runs.is_empty() && can_run_nothing
        };
        let gone: Vec<WorkerId> =
            self.instances.values().filter(is_gone).map(|instance| instance.id().clone()).collect();
        gone.iter().flat_map(|id| self.end_instance(now, id, InstanceEnd::Vanished)).collect()
    }
}

impl WorkerInstance {
    /// Returns the run as a suspect if it is on probation and its worker has not announced that it leaves.
    fn suspect_run(&self, run: &WorkerRun) -> Option<SuspectRun> {
        let is_suspect = run.probation.is_some() && self.leaves_at.is_none();
        let (worker, address, instance_start) =
            (self.id().clone(), self.address(), self.instance_start);
        is_suspect.then_some(SuspectRun { run: run.run, worker, address, instance_start })
    }
}
