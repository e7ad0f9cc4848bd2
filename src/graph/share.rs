//! Which tasks of a job one shard runs, where the job is wider than a shard.

use serde::{Deserialize, Serialize};

use crate::graph::shard::ShardId;

/// Shares are told in parts of a step's tasks, so that they hold for steps of any number of tasks.
const SHARE_SCALE: u32 = 10_000;

/// A shard's part of all tasks, from one place to before another, out of 10,000.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ShareRange {
    /// The shard.
    pub shard: ShardId,
    /// First place.
    pub from: u32,
    /// Place after the last.
    pub to: u32,
}

/// How the tasks of a job are shared out: each task belongs to exactly one shard.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TaskShare {
    /// The shard whose leader accepted the job, and answers for it.
    pub owner: ShardId,
    /// All shares.
    pub ranges: Vec<ShareRange>,
}

impl TaskShare {
    /// Shares the tasks out by weights, of which there is at least one above 0.
    pub fn new(owner: ShardId, weights: &[(ShardId, usize)]) -> Self {
        let total_weight = weights.iter().map(|(_, weight)| *weight as u64).sum::<u64>().max(1);
        let mut weight_sum = 0;
        let mut range_end = |weight: usize| {
            weight_sum += weight as u64;
            u32::try_from(weight_sum * u64::from(SHARE_SCALE) / total_weight).unwrap_or(SHARE_SCALE)
        };
        let mut from = 0;
        let mut ranges = Vec::with_capacity(weights.len());
        for (shard, weight) in weights.iter().filter(|(_, weight)| *weight > 0) {
            let to = range_end(*weight);
            ranges.push(ShareRange { shard: shard.clone(), from, to });
            from = to;
        }
        Self { owner, ranges }
    }

    /// Whether a shard runs the task with a number among `count`.
    pub fn holds(&self, shard: &ShardId, index: u32, count: u32) -> bool {
        let position = u64::from(index) * u64::from(SHARE_SCALE) / u64::from(count.max(1));
        let covers = |range: &ShareRange| {
            u64::from(range.from) <= position && position < u64::from(range.to) && range.shard == *shard
        };
        self.ranges.iter().any(covers)
    }

    /// The shards beside the owner that run some.
    pub fn others(&self) -> impl Iterator<Item = &ShardId> {
        self.ranges.iter().map(|range| &range.shard).filter(|shard| **shard != self.owner)
    }
}
