//! Seeded random runs over several shards: leaders that are killed or replaced, disconnected
//! workers, late commands, outages of the store, jobs that several shards run, and jobs that are
//! submitted in two of them.
//!
//! `KELPLINK_SHARD_SECONDS` runs them for that long with new seeds, from `KELPLINK_RANDOM_FIRST`
//! on; `KELPLINK_SHARD_SEED` repeats one seed.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use kelplink::{GraphAnswer, GraphState, ShardId, StepSpec};
use rand::RngExt;

use crate::sim_cluster::{MessageFaults, SimCluster, count_runs, kind_label, step};

/// Rounds of faults in one run.
const ROUNDS: u32 = 20;
/// Seeds that `cargo test` runs.
const SHORT_SEEDS: std::ops::Range<u64> = 0..12;
/// Seeds that failed once, in this order: a task of a share was started while the notice of the
/// job's cancellation was in transit, which is allowed for 50 ms; ends were acknowledged although a
/// leader that was lost had started the task again; a worker with such an end was given no more
/// work, and the other worker of its shard was full; the advisor allowed one of a shard's three
/// workers, which was full with lasting tasks, while other shards had free capacity. The simulated
/// advisor no longer does the last, because a share that its shard cannot place is not yet passed
/// on.
const REGRESSION_SEEDS: [u64; 4] = [1_000_638, 3_000_000, 4_000_091, 5_000_890];
/// First seed of long runs.
const LONG_SEEDS: u64 = 1_000_000;
const WORKERS: u32 = 12;
/// Seeds from here on have workers that restart under their ids.
const RESTART_SEEDS: u64 = 100_000_000;
/// Seeds of this kind that `cargo test` runs.
const SHORT_RESTARTS: std::ops::Range<u64> = RESTART_SEEDS..RESTART_SEEDS + 8;
/// Seeds from here on have jobs of workspaces with caps.
const WORKSPACE_SEEDS: u64 = 200_000_000;
/// Seeds of this kind that `cargo test` runs.
const SHORT_WORKSPACES: std::ops::Range<u64> = WORKSPACE_SEEDS..WORKSPACE_SEEDS + 8;
/// Seeds from here on have workers of kinds that come and go in each shard, and jobs that need them.
const KIND_SEEDS: u64 = 800_000_000;
/// Seeds of this kind that `cargo test` runs.
const SHORT_KINDS: std::ops::Range<u64> = KIND_SEEDS..KIND_SEEDS + 16;
/// Number of kinds of workers.
const KINDS: u32 = 3;
/// Workspaces with their caps, in cores; all workers have 96.
const CAPS: [(&str, u32); 3] = [("ws0", 12), ("ws1", 24), ("ws2", 48)];
/// Time in which every job must have ended, or run all its lasting tasks, once all faults are over.
const SETTLE_TIME: Duration = Duration::from_secs(90);

struct ShardRun {
    cluster: SimCluster,
    shards: Vec<ShardId>,
    calls: Vec<(u64, String)>,
    lasting: BTreeMap<String, u32>,
    cancelled: BTreeSet<String>,
    /// Whether jobs that end belong to workspaces with caps.
    has_workspaces: bool,
    /// Whether workers are of kinds that jobs need.
    has_kinds: bool,
    last_instance: u32,
}

impl ShardRun {
    fn new(seed: u64) -> Self {
        let domains = 2 + u32::try_from(seed % 4).unwrap_or(0);
        let mut cluster = SimCluster::sharded(seed, WORKERS, domains);
        if seed >= RESTART_SEEDS {
            cluster.keep_ids(seed);
        }
        let has_kinds = seed >= KIND_SEEDS;
        let has_workspaces = seed >= WORKSPACE_SEEDS && !has_kinds;
        if has_workspaces {
            cluster.set_caps(&CAPS);
        }
        let shards = cluster.plan.shards();
        let (calls, lasting, cancelled) = Default::default();
        let mut run = Self {
            cluster,
            shards,
            calls,
            lasting,
            cancelled,
            has_workspaces,
            has_kinds,
            last_instance: 0,
        };
        if has_kinds {
            (0..WORKERS).for_each(|number| run.change_kind(number, number % KINDS));
        }
        run
    }

    /// Replaces a worker by one of another kind; the one before has left.
    fn change_kind(&mut self, number: u32, kind: u32) {
        self.last_instance += 1;
        self.cluster.kinds.insert(number, kind);
        self.cluster.add_worker(number, self.last_instance);
    }

    /// The kind that a step needs; most steps need none.
    fn pick_label(&mut self) -> Option<Arc<str>> {
        match self.has_kinds && self.pick(2) == 0 {
            true => Some(kind_label(self.pick(KINDS))),
            false => None,
        }
    }

    fn pick(&mut self, bound: u32) -> u32 {
        self.cluster.rng.random_range(0..bound)
    }

    fn pick_shard(&mut self) -> ShardId {
        let count = u32::try_from(self.shards.len()).unwrap_or(1);
        let number = self.pick(count);
        self.shards[number as usize].clone()
    }

    fn submit(&mut self) {
        let (home, other) = (self.pick_shard(), self.pick_shard());
        let mut id = format!("job{}", self.calls.len());
        let steps = match self.pick(4) {
            0 => {
                // Few enough tasks that the workers can run them beside other jobs.
                let count = self.pick(4) + 1;
                self.lasting.insert(id.clone(), count);
                vec![StepSpec { lasting: true, ..step(count, 1, 600_000) }]
            }
            _ => {
                if self.has_workspaces {
                    id = format!("ws{}@{id}", self.pick(3));
                }
                let (tasks, millis) = (self.pick(4) + 1, u64::from(self.pick(2_000) + 50));
                let label = self.pick_label();
                let second = StepSpec { after: vec![0], label, ..step(tasks, 1, millis) };
                let first = step(self.pick(3) + 1, 2, millis);
                let label = self.pick_label();
                vec![StepSpec { label, ..first }, second]
            }
        };
        let queue = ["now", "asked", "later"][self.pick(3) as usize];
        let call = self.cluster.submit_in(&home, queue, &id, steps.clone());
        self.calls.push((call, id.clone()));
        if self.pick(3) == 0 {
            let call = self.cluster.submit_in(&other, queue, &id, steps);
            self.calls.push((call, id));
        }
    }

    fn run_round(&mut self) {
        for _ in 0..self.pick(4) {
            self.submit();
        }
        match self.pick(12) {
            0 => self.cluster.faults = MessageFaults { lost: 20, unanswered: 20, late: 20 },
            1 => self.cluster.faults = MessageFaults { lost: 100, unanswered: 100, late: 60 },
            2 | 3 => self.cluster.faults = MessageFaults::default(),
            4 => {
                let shard = self.pick_shard();
                let epoch = self.cluster.epoch_in(&shard);
                self.cluster.leaders.remove(&epoch);
                let pause = Duration::from_millis(u64::from(self.pick(3_000)));
                self.cluster.run(pause);
                self.cluster.elect_in(&shard);
            }
            5 => {
                let shard = self.pick_shard();
                self.cluster.elect_in(&shard);
            }
            6 => {
                let count = self.pick(WORKERS) as usize;
                for worker in self.cluster.workers.values_mut().take(count) {
                    worker.connected = false;
                }
            }
            7 => self.reconnect_all(),
            8 if self.has_kinds => {
                let (number, kind) = (self.pick(WORKERS), self.pick(KINDS));
                self.change_kind(number, kind);
            }
            8 => {
                let number = self.pick(WORKERS);
                self.last_instance += 1;
                let instance = self.last_instance;
                self.cluster.replace_worker(number, instance);
            }
            9 => {
                self.cluster.store.up = !self.cluster.store.up;
                self.cluster.store.refuses = self.pick(2) == 0;
            }
            10 => self.cancel(),
            _ => self.cluster.failure_permille = self.pick(150),
        }
        let time = Duration::from_millis(u64::from(self.pick(2_500)));
        self.cluster.run(time);
    }

    fn reconnect_all(&mut self) {
        for worker in self.cluster.workers.values_mut() {
            worker.connected = true;
        }
    }

    /// Cancels the first job at the leader that accepted it.
    fn cancel(&mut self) {
        let open = self.cluster.jobs_by_shard().into_iter();
        let first = open.filter(|(id, _)| !self.cancelled.contains(id)).min();
        if let Some((id, shard)) = first {
            self.cluster.cancel_in(&shard, &id);
            self.cancelled.insert(id);
        }
    }

    /// Ends all faults, and checks that every accepted job ends or runs all its lasting tasks.
    fn finish(&mut self) {
        self.cluster.faults = MessageFaults::default();
        self.cluster.failure_permille = 0;
        self.cluster.store.up = true;
        self.reconnect_all();
        if self.has_kinds {
            // Each shard has workers of one kind only, and all kinds that there are shards for are somewhere.
            let shards = u32::try_from(self.shards.len()).unwrap_or(1);
            for number in 0..WORKERS {
                let domain = number % shards;
                let kind = if shards < KINDS { number / shards % KINDS } else { domain % KINDS };
                self.change_kind(number, kind);
            }
        }
        for shard in self.shards.clone() {
            self.cluster.elect_in(&shard);
        }
        self.cluster.run(SETTLE_TIME);
        for (call, id) in &self.calls {
            let stored = self.cluster.store.jobs.contains_key(id.as_str());
            let accepted = self.cluster.answers.get(call) == Some(&GraphAnswer::Accepted);
            assert!(!accepted || stored, "{id} was accepted and is not stored");
        }
        for (id, _) in self.cluster.jobs_by_shard() {
            let (state, runs) = (self.cluster.state_in(&id), count_runs(&self.cluster, &id));
            let lasting = self.lasting.get(&id).copied();
            let expected = match (state, lasting) {
                (Some(GraphState::Cancelled), _) => self.cancelled.contains(&id) && runs == 0,
                (Some(GraphState::Running), Some(count)) => runs == count as usize,
                (Some(GraphState::Completed), None) => true,
                (Some(GraphState::Failed), None) => true,
                _ => false,
            };
            assert!(expected, "{id} is {state:?} with {runs} runs, lasting: {lasting:?}");
        }
    }
}

fn run(seed: u64) -> u64 {
    println!("seed {seed}: KELPLINK_SHARD_SEED={seed} cargo test --test graph random_shards");
    let mut run = ShardRun::new(seed);
    run.cluster.run(Duration::from_secs(1));
    for _ in 0..ROUNDS {
        run.run_round();
    }
    run.finish();
    run.cluster.started_runs
}

#[gtest]
fn random_runs_over_several_shards_keep_all_invariants() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    if let Some(seed) = number("KELPLINK_SHARD_SEED") {
        run(seed);
        return;
    }
    let Some(seconds) = number("KELPLINK_SHARD_SECONDS") else {
        REGRESSION_SEEDS.into_iter().chain(SHORT_SEEDS).for_each(|seed| {
            run(seed);
        });
        return;
    };
    let first = number("KELPLINK_RANDOM_FIRST").unwrap_or(LONG_SEEDS);
    let (started, mut seed, mut runs) = (Instant::now(), first, 0);
    while started.elapsed() < Duration::from_secs(seconds) {
        runs += run(seed);
        seed += 1;
    }
    println!("{} seeds, {runs} runs of tasks", seed - first);
}

#[gtest]
fn random_runs_over_shards_whose_workers_restart_under_their_ids_keep_all_invariants() {
    SHORT_RESTARTS.for_each(|seed| {
        run(seed);
    });
}

#[gtest]
fn random_runs_over_several_shards_with_workspaces_exceed_no_cap() {
    SHORT_WORKSPACES.for_each(|seed| {
        run(seed);
    });
}

// The last workers of a kind left a shard, and accepted jobs that needed them waited there without end.
#[gtest]
fn random_runs_over_shards_whose_workers_change_their_kinds_end_all_jobs() {
    SHORT_KINDS.for_each(|seed| {
        run(seed);
    });
}

// Starts that no worker carried out were stored as suspect runs, and after a takeover of the shard
// the job was reported as running and missing from the count of pending jobs.
#[gtest]
fn shard_seed_7_counts_a_job_whose_starts_were_never_carried_out() {
    run(7);
}

// With starts that were held back until the store had them recorded, a job was given up after one
// crash and one failure.
#[gtest]
fn shard_seed_34000685_gives_up_no_task_after_one_crash() {
    run(34_000_685);
}

// Known to fail, see KNOWN-RED.txt. The only reachable worker of a shard crashed twice for reasons
// of its own, each time within a second of a start of the same lasting task, which was given up for
// it.
#[gtest]
fn shard_seed_117000005_gives_up_no_task_for_a_machine_that_crashes_by_itself() {
    run(117_000_005);
}

// Known to fail, see KNOWN-RED.txt. One of a shard's two workers was full with lasting tasks, and
// advice did not allow the other: the job waited forever although other shards had free capacity.
#[gtest]
fn shard_seed_118000759_passes_on_a_job_that_its_shard_cannot_place() {
    run(118_000_759);
}
