//! Workers that restart under their ids.

use std::collections::BTreeMap;

use log::info;
use tokio::time::Instant;

use crate::graph::exchange::{InstanceId, PollReply};
use crate::graph::workers::instances::InstanceTable;
use crate::graph::workers::late_calls::LATE_CALL_TIME;
use crate::graph::workers::run::{RunPhase, WorkerRun};
use crate::graph::workers::worker::InstanceEnd;
use crate::graph::workers::worker_event::{LostRun, WorkerEvent};
use crate::graph::workload::name::{RunNumber, TaskName};
use crate::id::WorkerId;

type RunTable = BTreeMap<TaskName, WorkerRun>;

impl InstanceTable {
    /// Handles an answer of another instance under the id of a worker. A run that the new instance does not
    /// list, and that was not certainly carried out by the previous one, may still begin there.
    pub(super) fn handle_restart(
        &mut self,
        now: Instant,
        id: &WorkerId,
        reply: &PollReply,
    ) -> Vec<WorkerEvent> {
        let silent = self.other_silences(id);
        let Some(instance) = self.instances.get_mut(id) else {
            return Vec::new();
        };
        let runs = std::mem::take(&mut instance.runs).into_iter();
        let (listed, other): (RunTable, RunTable) =
            runs.partition(|(task, run)| reply.lists(task, run.run));
        instance.runs = other;
        let crash = match instance.leaves_at {
            None => Some(self.crashes.note_crash(now, instance, &silent)),
            Some(_) => {
                self.crashes.forget_instance(&instance.instance_id());
                None
            }
        };
        let (other, answered) = (std::mem::take(&mut instance.runs), instance.last_answer);
        let unanswered = listed.values().chain(other.values()).filter(|run| !run.begun).count();
        let (worker, misses, runs) = (&**id, instance.misses, listed.len());
        info!(worker, misses, unanswered, runs; "worker has restarted");
        *instance = instance.next_instance(now, reply.instance_start);
        for (task, run) in listed {
            instance.add_run(task, run.carried_over(now, reply));
        }
        let mut events = vec![WorkerEvent::InstanceEnded(id.clone(), InstanceEnd::Restarted)];
        for (task, run) in other {
            if run.is_of_one_instance() {
                events.push(WorkerEvent::Lost(id.clone(), LostRun::new(task, run, answered)));
                continue;
            }
            events.push(WorkerEvent::MayStillBegin(id.clone(), task.clone(), run.run));
            instance.add_run(task, run.in_doubt(now));
        }
        events.extend(crash.map(WorkerEvent::Crashed));
        events
    }

    /// Stops runs at an instance that has just answered for the first time if a start that an earlier instance under its
    /// id left unanswered may still begin them.
    pub(super) fn stop_late_starts(
        &mut self,
        now: Instant,
        id: &WorkerId,
        reply: &PollReply,
    ) -> Vec<WorkerEvent> {
        let mut events = Vec::new();
        let Some(instance) = self.instances.get_mut(id) else {
            return events;
        };
        for (task, run) in self.late_calls.runs(now, id) {
            if !instance.runs.contains_key(&task) && !reply.lists(&task, run) {
                let phase = RunPhase::Stopping { answered: None, sent: now };
                events.push(WorkerEvent::MayStillBegin(id.clone(), task.clone(), run));
                instance.add_run(task, WorkerRun::new(run, phase, now, None));
            }
        }
        events
    }

    /// Notes that a start was not answered. Where it was sent to an earlier instance, the one that has answered since may
    /// still carry it out, and returns whether that is so.
    pub(crate) fn note_unanswered_start(
        &mut self,
        now: Instant,
        id: &InstanceId,
        task: &TaskName,
        run: RunNumber,
    ) -> bool {
        self.late_calls.note_start(now, id.worker.clone(), task.clone(), run);
        let Some(instance) = self.instances.get_mut(&id.worker) else {
            return false;
        };
        let is_at_next_instance = instance.instance_start != id.instance_start;
        if is_at_next_instance {
            instance.note_predecessor();
        }
        if is_at_next_instance && !instance.is_fenced {
            instance.inherit_lease(now, self.max_lease + LATE_CALL_TIME);
            instance.note_late_calls(now + LATE_CALL_TIME);
        }
        is_at_next_instance
    }
}

impl WorkerRun {
    /// The same run at another instance that lists it. Times on the clock of the previous instance are
    /// dropped, as they mean nothing on the new clock.
    fn carried_over(self, now: Instant, reply: &PollReply) -> Self {
        let phase = match self.phase {
            RunPhase::Sent { tries } => RunPhase::Sent { tries },
            RunPhase::Running { .. } => RunPhase::Running { confirmed: reply.clock },
            RunPhase::Stopping { .. } => RunPhase::Stopping { answered: None, sent: now },
        };
        Self { phase, until: None, taken_by_newer_instance: None, pace_start: None, ..self }
    }

    /// A run that another instance does not list and may still begin; only an answered stop settles that.
    fn in_doubt(self, now: Instant) -> Self {
        let phase = RunPhase::Stopping { answered: None, sent: now };
        Self { phase, until: None, probation: None, taken_by_newer_instance: None, ..self }
    }
}
