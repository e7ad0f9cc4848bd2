//! Long random runs over several shards: seeded, with kills, succeeded leaders, cuts, late orders and a store
//! that goes away, and jobs that several shards run or that come in at two of them.
//!
//! `KELPLINK_SHARD_SECONDS` lets them run for that long with ever new seeds, from `KELPLINK_RANDOM_FIRST` on;
//! `KELPLINK_SHARD_SEED` repeats one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use kelplink::{GraphAnswer, GraphState, ShardId, StepSpec};
use rand::RngExt;

use crate::world::{MessageFaults, World, runs_of, step};

/// Rounds of faults in one run.
const ROUNDS: u32 = 20;
/// Seeds that `cargo test` runs.
const SHORT_SEEDS: std::ops::Range<u64> = 0..12;
/// Seeds that failed once: a share's task was started while the notice of the job's cancellation was on its way,
/// which is allowed for 50 ms; ends were acknowledged of which a leader that was lost had begun the task again; a
/// worker with such an end was given no more work, and the other in its shard was full; and the world's advisor allowed
/// one worker of a shard's three, which was full with lasting tasks, while other shards had room. The last is allowed
/// by the world no more: a share that its shard cannot place is not passed on yet.
const FAILED_ONCE: [u64; 4] = [1_000_638, 3_000_000, 4_000_091, 5_000_890];
/// Seeds of long runs begin here.
const LONG_SEEDS: u64 = 1_000_000;
/// Workers.
const WORKERS: u32 = 12;
/// Seeds from here on have workers that start again under their ids.
const RESTART_SEEDS: u64 = 100_000_000;
/// Such seeds that `cargo test` runs.
const SHORT_RESTARTS: std::ops::Range<u64> = RESTART_SEEDS..RESTART_SEEDS + 8;
/// Time in which everything must have ended once all faults are over.
const QUIET: Duration = Duration::from_secs(90);

struct ShardRun {
    world: World,
    shards: Vec<ShardId>,
    calls: Vec<(u64, String)>,
    lasting: BTreeMap<String, u32>,
    cancelled: BTreeSet<String>,
    instances: u32,
}

impl ShardRun {
    fn new(seed: u64) -> Self {
        let domains = 2 + u32::try_from(seed % 4).unwrap_or(0);
        let mut world = World::sharded(seed, WORKERS, domains);
        if seed >= RESTART_SEEDS {
            world.keep_ids(seed);
        }
        let shards = world.plan.shards();
        let (calls, lasting, cancelled) = Default::default();
        Self { world, shards, calls, lasting, cancelled, instances: 0 }
    }

    fn pick(&mut self, most: u32) -> u32 {
        self.world.rng.random_range(0..most)
    }

    fn pick_shard(&mut self) -> ShardId {
        let count = u32::try_from(self.shards.len()).unwrap_or(1);
        let number = self.pick(count);
        self.shards[number as usize].clone()
    }

    fn submit(&mut self) {
        let (home, again) = (self.pick_shard(), self.pick_shard());
        let id = format!("job{}", self.calls.len());
        let steps = match self.pick(4) {
            0 => {
                // The largest that all workers hold beside others.
                let count = self.pick(4) + 1;
                self.lasting.insert(id.clone(), count);
                vec![StepSpec { lasting: true, ..step(count, 1, 600_000) }]
            }
            _ => {
                let (tasks, millis) = (self.pick(4) + 1, u64::from(self.pick(2_000) + 50));
                let second = StepSpec { after: vec![0], ..step(tasks, 1, millis) };
                vec![step(self.pick(3) + 1, 2, millis), second]
            }
        };
        let queue = ["now", "asked", "later"][self.pick(3) as usize];
        let call = self.world.submit_in(&home, queue, &id, steps.clone());
        self.calls.push((call, id.clone()));
        if self.pick(3) == 0 {
            let call = self.world.submit_in(&again, queue, &id, steps);
            self.calls.push((call, id));
        }
    }

    fn round(&mut self) {
        for _ in 0..self.pick(4) {
            self.submit();
        }
        match self.pick(12) {
            0 => self.world.faults = MessageFaults { lost: 20, unanswered: 20, late: 20 },
            1 => self.world.faults = MessageFaults { lost: 100, unanswered: 100, late: 60 },
            2 | 3 => self.world.faults = MessageFaults::default(),
            4 => {
                let shard = self.pick_shard();
                let epoch = self.world.epoch_in(&shard);
                self.world.leaders.remove(&epoch);
                let pause = Duration::from_millis(u64::from(self.pick(3_000)));
                self.world.run(pause);
                self.world.elect_in(&shard);
            }
            5 => {
                let shard = self.pick_shard();
                self.world.elect_in(&shard);
            }
            6 => {
                let cut = self.pick(WORKERS) as usize;
                for worker in self.world.workers.values_mut().take(cut) {
                    worker.reached = false;
                }
            }
            7 => self.reach_all(),
            8 => {
                let number = self.pick(WORKERS);
                self.instances += 1;
                let instance = self.instances;
                self.world.replace_worker(number, instance);
            }
            9 => {
                self.world.store.up = !self.world.store.up;
                self.world.store.refuses = self.pick(2) == 0;
            }
            10 => self.cancel(),
            _ => self.world.failing = self.pick(150),
        }
        let time = Duration::from_millis(u64::from(self.pick(2_500)));
        self.world.run(time);
    }

    fn reach_all(&mut self) {
        for worker in self.world.workers.values_mut() {
            worker.reached = true;
        }
    }

    /// Cancels the first job at the leader that has it.
    fn cancel(&mut self) {
        let open = self.world.jobs_by_shard().into_iter();
        let first = open.filter(|(id, _)| !self.cancelled.contains(id)).min();
        if let Some((id, shard)) = first {
            self.world.cancel_in(&shard, &id);
            self.cancelled.insert(id);
        }
    }

    /// All faults end, and everything that was accepted comes to its end or to all its tasks.
    fn finish(&mut self) {
        self.world.faults = MessageFaults::default();
        self.world.failing = 0;
        self.world.store.up = true;
        self.reach_all();
        for shard in self.shards.clone() {
            self.world.elect_in(&shard);
        }
        self.world.run(QUIET);
        for (call, id) in &self.calls {
            let stored = self.world.store.jobs.contains_key(id.as_str());
            let accepted = self.world.answers.get(call) == Some(&GraphAnswer::Accepted);
            assert!(!accepted || stored, "{id} was accepted and is not stored");
        }
        for (id, _) in self.world.jobs_by_shard() {
            let (state, runs) = (self.world.state_in(&id), runs_of(&self.world, &id));
            let lasting = self.lasting.get(&id).copied();
            let ended = match (state, lasting) {
                (Some(GraphState::Cancelled), _) => self.cancelled.contains(&id) && runs == 0,
                (Some(GraphState::Running), Some(count)) => runs == count as usize,
                (Some(GraphState::Completed), None) => true,
                (Some(GraphState::Failed), None) => true,
                _ => false,
            };
            assert!(ended, "{id} is {state:?} with {runs} runs, lasting: {lasting:?}");
        }
    }
}

fn run(seed: u64) -> u64 {
    println!("seed {seed}: KELPLINK_SHARD_SEED={seed} cargo test --test graph random_shards");
    let mut run = ShardRun::new(seed);
    run.world.run(Duration::from_secs(1));
    for _ in 0..ROUNDS {
        run.round();
    }
    run.finish();
    run.world.begun_runs
}

#[gtest]
fn random_runs_over_several_shards_keep_every_promise() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    if let Some(seed) = number("KELPLINK_SHARD_SEED") {
        run(seed);
        return;
    }
    let Some(seconds) = number("KELPLINK_SHARD_SECONDS") else {
        FAILED_ONCE.into_iter().chain(SHORT_SEEDS).for_each(|seed| {
            run(seed);
        });
        return;
    };
    let first = number("KELPLINK_RANDOM_FIRST").unwrap_or(LONG_SEEDS);
    let (begun, mut seed, mut runs) = (Instant::now(), first, 0);
    while begun.elapsed() < Duration::from_secs(seconds) {
        runs += run(seed);
        seed += 1;
    }
    println!("{} seeds, {runs} runs of tasks", seed - first);
}

#[gtest]
fn random_runs_over_shards_whose_workers_restart_under_their_ids_keep_every_promise() {
    SHORT_RESTARTS.for_each(|seed| {
        run(seed);
    });
}

// Starts that no worker carried out were noted as ones that may have crashed their worker, and after a takeover of the
// shard the job was shown as running and left out of the count.
#[gtest]
fn shard_seed_7_counts_a_job_whose_starts_were_never_carried_out() {
    run(7);
}

// With starts held until the store had them noted, a job was given up after one crash and one failure.
#[gtest]
fn shard_seed_34000685_gives_up_no_task_after_one_crash() {
    run(34_000_685);
}

// Red: see KNOWN-RED.txt. The only worker in reach of a shard crashed twice by itself, each time within a second of a start of the
// same lasting task, which was given up for it.
#[gtest]
fn shard_seed_117000005_gives_up_no_task_for_a_machine_that_crashes_by_itself() {
    run(117_000_005);
}

// Red: see KNOWN-RED.txt. Of a shard's two workers one was full with lasting tasks, and advice did not allow the other: the job waited for good,
// with room for it in other shards.
#[gtest]
fn shard_seed_118000759_passes_on_a_job_that_its_shard_cannot_place() {
    run(118_000_759);
}
