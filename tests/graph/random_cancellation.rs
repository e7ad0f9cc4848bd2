//! Random runs in which most jobs are cancelled: late orders, leaders that go, workers that come and go.
//!
//! The world itself checks that no run of a job that has ended goes on. `KELPLINK_CANCEL_SEEDS` plays that
//! many seeds, from `KELPLINK_RANDOM_FIRST` on; `KELPLINK_RANDOM_SEED` repeats one.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::{StepSpec, WorkerId};
use rand::RngExt;

use crate::world::{MessageFaults, World, step};

/// Rounds in one run.
const ROUNDS: u32 = 20;
/// Seeds that `cargo test` plays.
const SHORT_SEEDS: u64 = 20;
/// Workers.
const WORKERS: u32 = 6;
/// Seeds from here on have workers that start again under their ids.
const RESTART_SEEDS: u64 = 100_000_000;
/// Time in which a run of a job that is cancelled must be gone once all faults are over.
const SETTLED: Duration = Duration::from_secs(3);

struct CancelRun {
    world: World,
    jobs: Vec<String>,
    submitted: u32,
    instances: u32,
}

impl CancelRun {
    fn new(seed: u64) -> Self {
        let mut world = World::new(seed, WORKERS);
        if seed >= RESTART_SEEDS {
            world.keep_ids(seed);
        }
        Self { world, jobs: Vec::new(), submitted: 0, instances: 0 }
    }

    fn pick(&mut self, most: u32) -> u32 {
        self.world.rng.random_range(0..most)
    }

    fn pass(&mut self, most: u32) {
        let time = Duration::from_millis(u64::from(self.pick(most)));
        self.world.run(time);
    }

    fn submit(&mut self) {
        let queue = ["now", "asked", "later"][self.pick(3) as usize];
        let (tasks, cores) = (self.pick(4) + 1, self.pick(3) + 1);
        let millis = [400, 8_000, 60_000][self.pick(3) as usize];
        let (gang, lasting) = (self.pick(5) == 0, self.pick(5) == 0 && millis == 60_000);
        let id = format!("job{}", self.submitted);
        self.submitted += 1;
        let spec = StepSpec { gang, lasting: lasting && !gang, ..step(tasks, cores, millis) };
        self.world.submit(queue, &id, vec![spec]);
        self.jobs.push(id);
    }

    fn cancel_one(&mut self) {
        let count = u32::try_from(self.jobs.len()).unwrap();
        if count > 0 {
            let index = self.pick(count) as usize;
            let id = self.jobs[index].clone();
            self.world.cancel(&id);
        }
    }

    fn replace_leader(&mut self) {
        let epoch = self.world.store.epoch;
        self.world.leaders.remove(&epoch);
        self.pass(3_000);
        self.world.elect();
    }

    fn some_worker(&mut self) -> WorkerId {
        let index = self.pick(WORKERS) as usize;
        self.world.workers.keys().nth(index).unwrap().clone()
    }

    /// A worker's registration goes for a while.
    fn unregister(&mut self) {
        let (id, now) = (self.some_worker(), self.world.now);
        if let Some(leader) = self.world.leader() {
            leader.worker_unregistered(now, &id);
        }
        self.pass(6_000);
        let now = self.world.now;
        let registration = self.world.workers.get(&id).map(|worker| worker.registration.clone());
        if let (Some(registration), Some(leader)) = (registration, self.world.leader()) {
            leader.worker_registered(now, registration);
        }
    }

    /// A worker crashes, comes back under another name, and its old registration is read once more.
    fn replace_worker(&mut self) {
        let (number, now) = (self.pick(WORKERS), self.world.now);
        let prefix = format!("w{number}-");
        let old = self.world.workers.iter().find(|(id, _)| id.starts_with(&prefix));
        let stale = old.map(|(_, worker)| worker.registration.clone());
        self.instances += 1;
        let instance = self.instances;
        self.world.replace_worker(number, instance);
        if let (Some(stale), Some(leader)) = (stale, self.world.leader()) {
            leader.worker_registered(now, stale);
        }
    }

    fn round(&mut self) {
        for _ in 0..self.pick(3) {
            self.submit();
        }
        match self.pick(9) {
            0 => self.world.faults = MessageFaults { lost: 60, unanswered: 60, late: 200 },
            1 => self.world.faults = MessageFaults::default(),
            2 => self.replace_leader(),
            3 => {
                self.world.elect();
            }
            4 => {
                let id = self.some_worker();
                let worker = self.world.workers.get_mut(&id).unwrap();
                worker.reached = !worker.reached;
            }
            5 => self.unregister(),
            6 => self.replace_worker(),
            7 => self.world.store.up = !self.world.store.up,
            _ => {}
        }
        self.cancel_one();
        self.pass(2_000);
    }

    /// All faults end, and all jobs are cancelled.
    fn finish(&mut self) {
        self.world.faults = MessageFaults::default();
        self.world.store.up = true;
        for worker in self.world.workers.values_mut() {
            worker.reached = true;
        }
        self.world.elect();
        self.world.run(Duration::from_secs(1));
        for id in self.jobs.clone() {
            self.world.cancel(&id);
        }
        self.world.run(SETTLED);
        // Late orders of all leaders arrive.
        self.world.run(Duration::from_secs(15));
        let runs: Vec<_> = self.world.workers.values().flat_map(|worker| &worker.runs).collect();
        assert!(runs.is_empty(), "{runs:?} go on");
    }
}

fn run(seed: u64) -> Duration {
    println!("seed {seed}: KELPLINK_RANDOM_SEED={seed} cargo test --test graph cancelled_jobs");
    let mut run = CancelRun::new(seed);
    run.world.run(Duration::from_secs(1));
    for _ in 0..ROUNDS {
        run.round();
    }
    run.finish();
    run.world.longest_stop
}

#[gtest]
fn cancelled_jobs_are_stopped_whatever_happens() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let (first, count) = match number("KELPLINK_RANDOM_SEED") {
        Some(seed) => (seed, 1),
        None => (
            number("KELPLINK_RANDOM_FIRST").unwrap_or(0),
            number("KELPLINK_CANCEL_SEEDS").unwrap_or(SHORT_SEEDS),
        ),
    };
    let longest = (first..first + count).map(run).max().unwrap_or_default();
    println!("{count} seeds; a run of an ended job went on for {longest:?} at most");
}

#[gtest]
fn cancelled_jobs_are_stopped_at_workers_that_restart_under_their_ids() {
    for seed in RESTART_SEEDS..RESTART_SEEDS + SHORT_SEEDS {
        run(seed);
    }
}
