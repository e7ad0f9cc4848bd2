//! Workers that start again under their ids.

use std::collections::BTreeMap;

use tokio::time::Instant;

use crate::graph::exchange::PollReply;
use crate::graph::life_finding::{LifeFinding, LostRun};
use crate::graph::lives::LifeTable;
use crate::graph::name::TaskName;
use crate::graph::worker::{LifeEnd, RunPhase, WorkerRun};
use crate::id::WorkerId;

type RunTable = BTreeMap<TaskName, WorkerRun>;

impl LifeTable {
    /// Another life answers under the id of a worker. A run that it does not list and that was not surely carried out before
    /// it may still begin there.
    pub(super) fn restarted(
        &mut self,
        now: Instant,
        id: &WorkerId,
        reply: &PollReply,
    ) -> Vec<LifeFinding> {
        let silent = self.silent_beside(id);
        let Some(life) = self.lives.get_mut(id) else {
            return Vec::new();
        };
        let runs = std::mem::take(&mut life.runs).into_iter();
        let (listed, other): (RunTable, RunTable) =
            runs.partition(|(task, run)| reply.lists(task, run.run));
        life.runs = other;
        let crash = life.leaves.is_none().then(|| self.crashes.crashed(now, life, &silent));
        let (other, answered) = (std::mem::take(&mut life.runs), life.answered);
        *life = life.next_life(now, reply.born);
        for (task, run) in listed {
            life.add_run(task, run.carried_over(now, reply));
        }
        let mut found = vec![LifeFinding::Over(id.clone(), LifeEnd::Restarted)];
        for (task, run) in other {
            if run.is_of_one_life() {
                found.push(LifeFinding::Lost(id.clone(), LostRun::new(task, run, answered)));
                continue;
            }
            found.push(LifeFinding::InDoubt(id.clone(), task.clone(), run.run));
            life.add_run(task, run.in_doubt(now));
        }
        found.extend(crash.map(LifeFinding::Crashed));
        found
    }
}

impl WorkerRun {
    /// The same run at another life that lists it: times on the clock of the life before mean nothing there.
    fn carried_over(self, now: Instant, reply: &PollReply) -> Self {
        let phase = match self.phase {
            RunPhase::Sent { tries } => RunPhase::Sent { tries },
            RunPhase::Running { .. } => RunPhase::Running { confirmed: reply.clock },
            RunPhase::Stopping { .. } => RunPhase::Stopping { answered: None, sent: now },
        };
        Self { phase, until: None, taken_later: None, ..self }
    }

    /// A run that another life does not list and may still begin: only a stop that it has answered settles that.
    fn in_doubt(self, now: Instant) -> Self {
        let phase = RunPhase::Stopping { answered: None, sent: now };
        Self { phase, until: None, probation: None, taken_later: None, ..self }
    }
}
