//! Workers that crash and restart, and workers whose capacity changes.

use std::time::Duration;

use kelplink::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::model_worker::ModelWorker;
use crate::sim_cluster::messages::Message;
use crate::sim_cluster::{SimCluster, TICK_INTERVAL, register};

/// Longest interval between two heartbeats of a worker.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Time without heartbeats after which a worker's registration is removed.
const REGISTRATION_TTL: Duration = Duration::from_millis(4_500);
/// Share of crashed workers that keep their ids, in thousandths.
const KEPT_ID_PERMILLE: u32 = 750;
/// Share of restarting workers that crash again as they start, in thousandths.
const SECOND_RESTART_PERMILLE: u32 = 150;
/// First instance number of workers that come back under another id after a crash.
const FIRST_REPLACEMENT: u32 = 1_000;
/// Time from the departure of a worker to the start of its replacement.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(500);

impl SimCluster {
    /// Lets most crashed workers restart under their ids.
    pub(crate) fn keep_ids(&mut self, seed: u64) {
        self.restart_rng = Some(StdRng::seed_from_u64(seed));
    }

    /// Crashes a worker with all its runs; it comes back after [`SimCluster::crash_downtime`].
    pub(crate) fn crash(&mut self, id: &WorkerId) {
        let downtime = self.crash_downtime;
        if !self.take_down(id, downtime) {
            return;
        }
        let worker = id.clone();
        let message = match self.keeps_all_ids || self.draw_id_chance(KEPT_ID_PERMILLE) {
            true => Message::Restart { worker },
            false => Message::Replacement { worker },
        };
        self.post(downtime, message);
    }

    /// Crashes a worker that restarts under its id after `downtime`.
    pub(crate) fn crash_and_restart(&mut self, id: &WorkerId, downtime: Duration) {
        if self.take_down(id, downtime) {
            self.post(downtime, Message::Restart { worker: id.clone() });
        }
    }

    /// Replaces the instance of the worker with this number: at once under another id, or under its
    /// own id after a while.
    pub(crate) fn replace_worker(&mut self, number: u32, instance: u32) {
        let prefix = format!("w{number}-");
        let id = self.workers.keys().find(|id| id.starts_with(&prefix)).cloned();
        match id.filter(|_| self.draw_id_chance(KEPT_ID_PERMILLE)) {
            Some(id) => {
                let downtime = self.draw_downtime();
                self.crash_and_restart(&id, downtime);
            }
            None => self.add_worker(number, instance),
        }
    }

    /// Takes a worker down with all its runs. Returns whether it was up.
    fn take_down(&mut self, id: &WorkerId, downtime: Duration) -> bool {
        let Some(worker) = self.workers.get_mut(id).filter(|worker| worker.up) else {
            return false;
        };
        worker.up = false;
        for task in worker.runs.keys() {
            self.crash_checker.note_crash(worker, task);
        }
        let lost_runs: Vec<(TaskName, RunNumber)> =
            worker.runs.iter().map(|(task, run)| (task.clone(), run.run)).collect();
        lost_runs.iter().for_each(|(task, run)| self.end_gang(task, *run));
        if downtime > REGISTRATION_TTL {
            self.post(REGISTRATION_TTL, Message::RegistrationExpired { worker: id.clone() });
        }
        true
    }

    /// Restarts a worker under its id without any state: its clock and its end numbers start from
    /// their initial values.
    pub(super) fn restart(&mut self, id: &WorkerId) {
        let (now, instance_start) = (self.now, Some(self.unix()));
        let rate = self.restart_rng.as_mut().map_or(1_000, |rng| rng.random_range(980..=1_000));
        let Some(worker) = self.workers.get_mut(id).filter(|worker| !worker.up) else {
            return;
        };
        let registration =
            WorkerRegistration { instance_start, leaving: None, ..worker.registration.clone() };
        *worker = worker.next_instance(registration, now, rate);
        let delay = match &mut self.restart_rng {
            Some(rng) => HEARTBEAT.mul_f64(rng.random()),
            None => TICK_INTERVAL,
        };
        self.post(delay, Message::Heartbeat { worker: id.clone() });
        if self.draw_id_chance(SECOND_RESTART_PERMILLE) {
            let downtime = self.draw_downtime();
            self.crash_and_restart(id, downtime);
        }
    }

    /// Draws a chance in thousandths; always false unless [`SimCluster::keep_ids`] was called.
    fn draw_id_chance(&mut self, permille: u32) -> bool {
        self.restart_rng.as_mut().is_some_and(|rng| rng.random_range(0..1_000) < permille)
    }

    fn draw_downtime(&mut self) -> Duration {
        let millis = self.restart_rng.as_mut().map_or(0, |rng| match rng.random_range(0..4) {
            0 => rng.random_range(1_000..7_000),
            _ => rng.random_range(30..1_000),
        });
        Duration::from_millis(millis)
    }

    /// Ends the other members of a gang that has lost a member.
    fn end_gang(&mut self, lost_task: &TaskName, run: RunNumber) {
        let step = lost_task.key.step;
        let record = self.accepted.get(&lost_task.job);
        let spec = record.and_then(|record| record.spec.steps.get(step.step as usize));
        if !spec.is_some_and(|spec| spec.gang) {
            return;
        }
        for worker in self.workers.values_mut().filter(|worker| worker.up) {
            let members = worker.runs.iter().filter(|(task, member)| {
                task.job == lost_task.job && task.key.step == step && member.run == run
            });
            let members: Vec<TaskName> = members.map(|(task, _)| task.clone()).collect();
            members.iter().for_each(|task| worker.end(task, run, EndKind::Broken));
        }
    }

    pub(super) fn start_replacement(&mut self, id: &WorkerId) {
        // Another instance may have replaced the worker in the meantime.
        if !self.workers.contains_key(id) {
            return;
        }
        let number = id[1..].split('-').next().and_then(|text| text.parse().ok());
        let number = number.unwrap_or_else(|| panic!("{id} has no number"));
        self.replacements += 1;
        self.add_worker(number, FIRST_REPLACEMENT + self.replacements);
    }

    /// Changes a worker's capacity; the worker reports it with its next heartbeat.
    pub(crate) fn resize(&mut self, id: &WorkerId, capacity: ResourceVector) {
        let (now, delay) = (self.now, HEARTBEAT.mul_f64(self.rng.random()));
        if let Some(worker) = self.workers.get_mut(id) {
            worker.resize(now, capacity);
            self.post(delay, Message::Heartbeat { worker: id.clone() });
        }
    }

    pub(super) fn heartbeat(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get(id).filter(|worker| worker.up) else {
            return;
        };
        for (epoch, leader) in &mut self.leaders {
            register(
                &self.plan,
                &self.leader_shards[epoch],
                leader,
                self.now,
                worker.registration.clone(),
            );
        }
    }

    /// Lets a worker announce that it leaves, which all leaders learn at once.
    pub(crate) fn announce_leaving(&mut self, id: &WorkerId, time_left: Duration) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id).filter(|worker| worker.up) else {
            return;
        };
        worker.registration.leaving = Some(time_left);
        worker.leaving_since = Some(now);
        self.heartbeat(id);
    }

    /// Lets a worker announce that it leaves, leave after this time and be replaced by another.
    pub(crate) fn leave(&mut self, id: &WorkerId, time_left: Duration) {
        self.announce_leaving(id, time_left);
        self.post(time_left, Message::Departure { worker: id.clone() });
    }

    /// Ends a worker that has announced it, with all its runs.
    pub(super) fn depart(&mut self, id: &WorkerId) {
        let leaving =
            |worker: &&mut ModelWorker| worker.up && worker.registration.leaving.is_some();
        let Some(worker) = self.workers.get_mut(id).filter(leaving) else {
            return;
        };
        worker.up = false;
        let lost_runs: Vec<(TaskName, RunNumber)> =
            worker.runs.iter().map(|(task, run)| (task.clone(), run.run)).collect();
        lost_runs.iter().for_each(|(task, run)| self.end_gang(task, *run));
        let now = self.now;
        for leader in self.leaders.values_mut() {
            leader.worker_unregistered(now, id);
        }
        self.post(REPLACEMENT_DELAY, Message::Replacement { worker: id.clone() });
    }

    /// How and after what time a call to an unreachable worker fails.
    pub(super) fn failure_at(&self, id: &WorkerId, silence: Duration) -> (CallFailure, Duration) {
        let worker = self.workers.get(id);
        let down = worker.is_none_or(|worker| !worker.up);
        let refused = worker.is_some_and(|worker| worker.refuses_when_cut_off && worker.up);
        match down && self.refuses_when_down || refused {
            true => (CallFailure::NothingThere, TICK_INTERVAL),
            false => (CallFailure::NoAnswer, silence),
        }
    }
}
