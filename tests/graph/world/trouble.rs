//! Workers that crash and come back, and workers whose room changes.

use std::time::Duration;

use kelplink::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::world::messages::Message;
use crate::world::{STEP, World, register};

/// A worker says what it has this often at the latest.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Silence after which a worker's registration is removed.
const REGISTRATION_LIFE: Duration = Duration::from_millis(4_500);
/// Share of workers that keep their ids, and of those that crash again as they start, in thousandths.
const KEPT_IDS: u32 = 750;
const RESTARTED_TWICE: u32 = 150;
/// Lives of workers that come back after a crash are numbered from here.
const REBORN_LIVES: u32 = 1_000;

impl World {
    /// Has most workers that crash come back under their ids.
    pub(crate) fn keep_ids(&mut self, seed: u64) {
        self.instances = Some(StdRng::seed_from_u64(seed));
    }

    /// A worker goes with all that runs there, and is back after a while.
    pub(crate) fn crash(&mut self, id: &WorkerId) {
        let away = self.away;
        if !self.go_down(id, away) {
            return;
        }
        let worker = id.clone();
        let back = match self.keeps_all_ids || self.draw(KEPT_IDS) {
            true => Message::Restart { worker },
            false => Message::Reborn { worker },
        };
        self.post(away, back);
    }

    /// A worker goes, and is back under its id after a while.
    pub(crate) fn crash_and_restart(&mut self, id: &WorkerId, away: Duration) {
        if self.go_down(id, away) {
            self.post(away, Message::Restart { worker: id.clone() });
        }
    }

    /// The life of a worker that has this number is replaced by another: at once under another id, or under its own after a
    /// while.
    pub(crate) fn replace_worker(&mut self, number: u32, instance: u32) {
        let prefix = format!("w{number}-");
        let id = self.workers.keys().find(|id| id.starts_with(&prefix)).cloned();
        match id.filter(|_| self.draw(KEPT_IDS)) {
            Some(id) => {
                let away = self.draw_away();
                self.crash_and_restart(&id, away);
            }
            None => self.add_worker(number, instance),
        }
    }

    /// A worker goes with all that runs there. Tells whether it was up.
    fn go_down(&mut self, id: &WorkerId, away: Duration) -> bool {
        let Some(worker) = self.workers.get_mut(id).filter(|worker| worker.up) else {
            return false;
        };
        worker.up = false;
        for task in worker.runs.keys() {
            self.checker.note_crash(worker, task);
        }
        let lost: Vec<(TaskName, RunNumber)> =
            worker.runs.iter().map(|(task, run)| (task.clone(), run.run)).collect();
        lost.iter().for_each(|(task, run)| self.break_gang(task, *run));
        if away > REGISTRATION_LIFE {
            self.post(REGISTRATION_LIFE, Message::Unlisted { worker: id.clone() });
        }
        true
    }

    /// A worker is back under its id: it knows nothing, and all that it counts begins anew.
    pub(super) fn restart(&mut self, id: &WorkerId) {
        let (now, instance_start) = (self.now, Some(self.unix()));
        let rate = self.instances.as_mut().map_or(1_000, |rng| rng.random_range(980..=1_000));
        let Some(worker) = self.workers.get_mut(id).filter(|worker| !worker.up) else {
            return;
        };
        let registration =
            WorkerRegistration { instance_start, leaving: None, ..worker.registration.clone() };
        *worker = worker.next_instance(registration, now, rate);
        let beat = match &mut self.instances {
            Some(rng) => HEARTBEAT.mul_f64(rng.random()),
            None => STEP,
        };
        self.post(beat, Message::Heartbeat { worker: id.clone() });
        if self.draw(RESTARTED_TWICE) {
            let away = self.draw_away();
            self.crash_and_restart(id, away);
        }
    }

    /// Draws a chance in thousandths where workers may keep their ids; without that it never comes.
    fn draw(&mut self, permille: u32) -> bool {
        self.instances.as_mut().is_some_and(|rng| rng.random_range(0..1_000) < permille)
    }

    fn draw_away(&mut self) -> Duration {
        let millis = self.instances.as_mut().map_or(0, |rng| match rng.random_range(0..4) {
            0 => rng.random_range(1_000..7_000),
            _ => rng.random_range(30..1_000),
        });
        Duration::from_millis(millis)
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
            register(&self.plan, &self.led[epoch], leader, self.now, worker.registration.clone());
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
