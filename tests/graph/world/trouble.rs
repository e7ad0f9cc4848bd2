//! Workers that crash and come back, and workers whose room changes.

use std::time::Duration;

use kelplink::*;
use rand::RngExt;

use crate::world::{Message, STEP, World, register};

/// A worker says what it has this often at the latest.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Silence after which a worker's registration is removed.
const REGISTRATION_LIFE: Duration = Duration::from_millis(4_500);
/// Lives of workers that come back after a crash are numbered from here.
const REBORN_LIVES: u32 = 1_000;

impl World {
    /// A worker goes with all that runs there, and is back under another name after a while.
    pub(crate) fn crash(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id).filter(|worker| worker.up) else {
            return;
        };
        worker.up = false;
        for task in worker.runs.keys() {
            self.checker.note_crash(id, task);
        }
        let lost: Vec<(TaskName, RunNumber)> =
            worker.runs.iter().map(|(task, run)| (task.clone(), run.run)).collect();
        lost.iter().for_each(|(task, run)| self.break_gang(task, *run));
        let away = self.away;
        if away > REGISTRATION_LIFE {
            self.post(REGISTRATION_LIFE, Message::Unlisted { worker: id.clone() });
        }
        self.post(away, Message::Reborn { worker: id.clone() });
    }

    /// The other members of a gang end with one that is gone.
    fn break_gang(&mut self, gone: &TaskName, run: RunNumber) {
        let step = gone.key.step;
        let record = self.store.jobs.get(&gone.job);
        let spec = record.and_then(|(record, _)| record.spec.steps.get(step.step as usize));
        if !spec.is_some_and(|spec| spec.gang) {
            return;
        }
        for worker in self.workers.values_mut().filter(|worker| worker.up) {
            let members = worker.runs.iter().filter(|(task, member)| {
                task.job == gone.job && task.key.step == step && member.run == run
            });
            let members: Vec<TaskName> = members.map(|(task, _)| task.clone()).collect();
            members.iter().for_each(|task| worker.end(task, run, EndKind::Broken));
        }
    }

    pub(super) fn reborn(&mut self, id: &WorkerId) {
        // Another life may have come in its place meanwhile.
        if !self.workers.contains_key(id) {
            return;
        }
        let number = id[1..].split('-').next().and_then(|text| text.parse().ok());
        let number = number.unwrap_or_else(|| panic!("{id} has no number"));
        self.reborn += 1;
        self.add_worker(number, REBORN_LIVES + self.reborn);
    }

    /// A worker's room changes; it says so with its next heartbeat.
    pub(crate) fn resize(&mut self, id: &WorkerId, room: ResourceVector) {
        let (now, beat) = (self.now, HEARTBEAT.mul_f64(self.rng.random()));
        if let Some(worker) = self.workers.get_mut(id) {
            worker.resize(now, room);
            self.post(beat, Message::Heartbeat { worker: id.clone() });
        }
    }

    pub(super) fn heartbeat(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get(id).filter(|worker| worker.up) else {
            return;
        };
        for (epoch, leader) in &mut self.leaders {
            register(&self.plan, &self.led[epoch], leader, self.now, worker.listing.clone());
        }
    }

    /// How a call to a worker that is not reached fails, and when.
    pub(super) fn failure_at(&self, id: &WorkerId, silence: Duration) -> (CallFailure, Duration) {
        let down = self.workers.get(id).is_none_or(|worker| !worker.up);
        match down && self.refusing {
            true => (CallFailure::NothingThere, STEP),
            false => (CallFailure::NoAnswer, silence),
        }
    }
}
