//! Plan of a run: its jobs and faults, which depend on the seed alone.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use crate::standin::Restart;

/// Number of workers. They are distributed over [`DOMAINS`] in turn.
pub(crate) const WORKERS: usize = 12;
/// Failure domains of entries and workers.
pub(crate) const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Interval between jobs, in milliseconds.
const JOB_INTERVAL_MS: u64 = 400;
/// Jobs submitted around a round of faults, beside the others, and their interval.
const ROUND_JOBS: u64 = 12;
const ROUND_JOB_INTERVAL_MS: u64 = 200;
/// Time of the first round of faults.
const FIRST_ROUND: Duration = Duration::from_secs(4);

/// Time by which the first job of a round is submitted before its faults.
const ROUND_LEAD: Duration = Duration::from_millis(800);

/// A fault and the time at which it begins.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// A worker restarts under its id.
    Restart { worker: usize, plan: Restart },
    /// A share of a worker's calls is not answered, and carried out later.
    LateCalls { worker: usize, time: Duration, share: f64, seed: u64 },
    /// A worker is cut off from all entries, and perhaps from the store.
    Cut { worker: usize, time: Duration, from_store: bool },
    /// The leader's process is killed and started again.
    KillLeader { downtime: Duration },
}

/// A job and the time of its submission.
#[derive(Clone, Debug)]
pub(crate) struct PlannedJob {
    pub(crate) at: Duration,
    pub(crate) id: String,
    pub(crate) body: Value,
}

/// Jobs and faults of a run.
#[derive(Debug, Default)]
pub(crate) struct Plan {
    pub(crate) jobs: Vec<PlannedJob>,
    /// Longest lease of workers, in milliseconds.
    pub(crate) longest_lease_ms: u64,
    pub(crate) faults: Vec<(Duration, Fault)>,
}

impl Plan {
    pub(crate) fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let longest_lease_ms = if rng.random_bool(0.5) { 6_000 } else { 10_000 };
        let mut plan = Self { longest_lease_ms, ..Self::default() };
        let mut round = FIRST_ROUND;
        for _ in 0..rng.random_range(1..=2) {
            plan.add_round(&mut rng, round);
            for number in 0..ROUND_JOBS {
                let at = round + Duration::from_millis(number * ROUND_JOB_INTERVAL_MS);
                let job = job(&mut rng, seed, at - ROUND_LEAD, plan.jobs.len());
                plan.jobs.push(job);
            }
            round += millis(&mut rng, 12_000, 16_000);
        }
        let mut at = Duration::from_millis(500);
        while at < round {
            let job = job(&mut rng, seed, at, plan.jobs.len());
            plan.jobs.push(job);
            at += Duration::from_millis(JOB_INTERVAL_MS);
        }
        plan
    }

    /// Adds restarts of workers of one failure domain, late calls and cuts around them, and the loss of the leader.
    fn add_round(&mut self, rng: &mut StdRng, start: Duration) {
        let domain = rng.random_range(0..DOMAINS.len());
        let is_cut = rng.random_bool(0.75);
        let from_store = rng.random_bool(0.3);
        // Members of a domain are cut off together, mostly for longer than a lease.
        let (cut_at, cut_time) = (millis(rng, 900, 3_500), millis(rng, 4_000, 12_000));
        for worker in (domain..WORKERS).step_by(DOMAINS.len()) {
            if rng.random_bool(0.2) {
                continue;
            }
            let at = start + millis(rng, 0, 300);
            let late_from = at.saturating_sub(millis(rng, 200, 1_500));
            let late_calls = Fault::LateCalls {
                worker,
                time: millis(rng, 600, 3_000),
                share: rng.random_range(0.4..1.0),
                seed: rng.random(),
            };
            self.faults.push((late_from, late_calls));
            let restart = Restart {
                downtime: millis(rng, 50, 700),
                registration_delay: match rng.random_bool(0.5) {
                    true => Duration::ZERO,
                    false => millis(rng, 100, 1_500),
                },
                keeps_clock: rng.random_bool(0.3),
            };
            self.faults.push((at, Fault::Restart { worker, plan: restart }));
            if is_cut {
                let time = cut_time + millis(rng, 0, 500);
                self.faults.push((start + cut_at, Fault::Cut { worker, time, from_store }));
            }
        }
        if rng.random_bool(0.7) {
            let downtime = millis(rng, 200, 2_500);
            self.faults.push((start + millis(rng, 200, 4_000), Fault::KillLeader { downtime }));
        }
    }
}

fn millis(rng: &mut StdRng, from: u64, to: u64) -> Duration {
    Duration::from_millis(rng.random_range(from..to))
}

/// A job of one step, or of a second one after it. Half of the jobs take several seconds.
fn job(rng: &mut StdRng, seed: u64, at: Duration, number: usize) -> PlannedJob {
    let time_ms = match rng.random_bool(0.5) {
        true => rng.random_range(5_000..14_000),
        false => rng.random_range(100..1_500),
    };
    let step = json!({
        "count": rng.random_range(1..=4), "millicpu": 1_000 * rng.random_range(1..=2),
        "mem_mb": 100, "estimated_ms": time_ms,
    });
    let mut steps = vec![step];
    if rng.random_bool(0.2) {
        steps.push(json!({
            "count": 2, "millicpu": 1_000, "mem_mb": 100, "estimated_ms": time_ms, "after": [0],
        }));
    }
    let body = json!({"spec": time_ms.to_string(), "steps": steps});
    PlannedJob { at, id: format!("{:016x}", (seed << 16) + number as u64), body }
}
