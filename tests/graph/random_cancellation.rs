//! Random runs in which most jobs are cancelled, with late commands, leaders that are replaced, and
//! workers that come and go.
//!
//! The simulated cluster checks that no run of an ended job continues. `KELPLINK_CANCEL_SEEDS` sets
//! the number of seeds, from `KELPLINK_RANDOM_FIRST` on; `KELPLINK_RANDOM_SEED` repeats one seed.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::{StepSpec, WorkerId};
use rand::RngExt;

use crate::sim_cluster::{MessageFaults, SimCluster, step};

/// Rounds in one run.
const ROUNDS: u32 = 20;
/// Number of seeds that `cargo test` runs.
const SHORT_SEEDS: u64 = 20;
const WORKERS: u32 = 6;
/// Seeds from here on have workers that restart under their ids.
const RESTART_SEEDS: u64 = 100_000_000;
/// Time in which the runs of cancelled jobs must have ended once all faults are over.
const SETTLE_TIME: Duration = Duration::from_secs(3);

struct CancelRun {
    cluster: SimCluster,
    jobs: Vec<String>,
    submitted: u32,
    last_instance: u32,
}

impl CancelRun {
    fn new(seed: u64) -> Self {
        let mut cluster = SimCluster::new(seed, WORKERS);
        if seed >= RESTART_SEEDS {
            cluster.keep_ids(seed);
        }
        Self { cluster, jobs: Vec::new(), submitted: 0, last_instance: 0 }
    }

    fn pick(&mut self, bound: u32) -> u32 {
        self.cluster.rng.random_range(0..bound)
    }

    fn run_up_to(&mut self, bound: u32) {
        let time = Duration::from_millis(u64::from(self.pick(bound)));
        self.cluster.run(time);
    }

    fn submit(&mut self) {
        let queue = ["now", "asked", "later"][self.pick(3) as usize];
        let (tasks, cores) = (self.pick(4) + 1, self.pick(3) + 1);
        let millis = [400, 8_000, 60_000][self.pick(3) as usize];
        let (gang, lasting) = (self.pick(5) == 0, self.pick(5) == 0 && millis == 60_000);
        let id = format!("job{}", self.submitted);
        self.submitted += 1;
        let spec = StepSpec { gang, lasting: lasting && !gang, ..step(tasks, cores, millis) };
        self.cluster.submit(queue, &id, vec![spec]);
        self.jobs.push(id);
    }

    fn cancel_one(&mut self) {
        let count = u32::try_from(self.jobs.len()).unwrap();
        if count > 0 {
            let index = self.pick(count) as usize;
            let id = self.jobs[index].clone();
            self.cluster.cancel(&id);
        }
    }

    fn replace_leader(&mut self) {
        let epoch = self.cluster.store.epoch;
        self.cluster.leaders.remove(&epoch);
        self.run_up_to(3_000);
        self.cluster.elect();
    }

    fn pick_worker(&mut self) -> WorkerId {
        let index = self.pick(WORKERS) as usize;
        self.cluster.workers.keys().nth(index).unwrap().clone()
    }

    /// Removes a worker's registration for a while.
    fn unregister(&mut self) {
        let (id, now) = (self.pick_worker(), self.cluster.now);
        if let Some(leader) = self.cluster.leader() {
            leader.worker_unregistered(now, &id);
        }
        self.run_up_to(6_000);
        let now = self.cluster.now;
        let registration = self.cluster.workers.get(&id).map(|worker| worker.registration.clone());
        if let (Some(registration), Some(leader)) = (registration, self.cluster.leader()) {
            leader.worker_registered(now, registration);
        }
    }

    /// Crashes a worker that comes back under another id; then the leader reads its old
    /// registration once more.
    fn replace_worker(&mut self) {
        let (number, now) = (self.pick(WORKERS), self.cluster.now);
        let prefix = format!("w{number}-");
        let old = self.cluster.workers.iter().find(|(id, _)| id.starts_with(&prefix));
        let stale = old.map(|(_, worker)| worker.registration.clone());
        self.last_instance += 1;
        let instance = self.last_instance;
        self.cluster.replace_worker(number, instance);
        if let (Some(stale), Some(leader)) = (stale, self.cluster.leader()) {
            leader.worker_registered(now, stale);
        }
    }

    fn run_round(&mut self) {
        for _ in 0..self.pick(3) {
            self.submit();
        }
        match self.pick(9) {
            0 => self.cluster.faults = MessageFaults { lost: 60, unanswered: 60, late: 200 },
            1 => self.cluster.faults = MessageFaults::default(),
            2 => self.replace_leader(),
            3 => {
                self.cluster.elect();
            }
            4 => {
                let id = self.pick_worker();
                let worker = self.cluster.workers.get_mut(&id).unwrap();
                worker.connected = !worker.connected;
            }
            5 => self.unregister(),
            6 => self.replace_worker(),
            7 => self.cluster.store.up = !self.cluster.store.up,
            _ => {}
        }
        self.cancel_one();
        self.run_up_to(2_000);
    }

    /// Ends all faults, and cancels all jobs.
    fn finish(&mut self) {
        self.cluster.faults = MessageFaults::default();
        self.cluster.store.up = true;
        for worker in self.cluster.workers.values_mut() {
            worker.connected = true;
        }
        self.cluster.elect();
        self.cluster.run(Duration::from_secs(1));
        for id in self.jobs.clone() {
            self.cluster.cancel(&id);
        }
        self.cluster.run(SETTLE_TIME);
        // Late commands of all leaders arrive.
        self.cluster.run(Duration::from_secs(15));
        let runs: Vec<_> = self.cluster.workers.values().flat_map(|worker| &worker.runs).collect();
        assert!(runs.is_empty(), "runs of cancelled jobs continue: {runs:?}");
    }
}

fn run(seed: u64) -> Duration {
    println!("seed {seed}: KELPLINK_RANDOM_SEED={seed} cargo test --test graph cancelled_jobs");
    let mut run = CancelRun::new(seed);
    run.cluster.run(Duration::from_secs(1));
    for _ in 0..ROUNDS {
        run.run_round();
    }
    run.finish();
    run.cluster.longest_stop
}

#[gtest]
fn cancelled_jobs_are_stopped_under_all_faults() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let (first, count) = match number("KELPLINK_RANDOM_SEED") {
        Some(seed) => (seed, 1),
        None => (
            number("KELPLINK_RANDOM_FIRST").unwrap_or(0),
            number("KELPLINK_CANCEL_SEEDS").unwrap_or(SHORT_SEEDS),
        ),
    };
    let longest = (first..first + count).map(run).max().unwrap_or_default();
    println!("{count} seeds; longest time that a run of an ended job continued: {longest:?}");
}

#[gtest]
fn cancelled_jobs_are_stopped_at_workers_that_restart_under_their_ids() {
    for seed in RESTART_SEEDS..RESTART_SEEDS + SHORT_SEEDS {
        run(seed);
    }
}
