//! Division of a job's tasks among shards, where the job is wider than a shard.

use serde::{Deserialize, Serialize};

use crate::graph::sharding::shard::ShardId;

/// Shares are given in ten-thousandths of a step's tasks, so that they apply to steps with any number of
/// tasks.
const SHARE_SCALE: u32 = 10_000;

/// Range of the tasks that a shard runs, in ten-thousandths (out of 10,000) of a step.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ShareRange {
    /// The shard.
    pub shard: ShardId,
    /// Start of the range.
    pub from: u32,
    /// End of the range, exclusive.
    pub to: u32,
}

/// Division of a job's tasks; each task belongs to exactly one shard.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TaskShare {
    /// The shard whose leader accepted the job and owns it.
    pub owner: ShardId,
    /// All shares.
    pub ranges: Vec<ShareRange>,
}

impl TaskShare {
    /// Divides the tasks by weights, at least one of which is above 0.
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

    /// Whether a shard runs the task `index` of a step of `count` tasks.
    pub fn holds(&self, shard: &ShardId, index: u32, count: u32) -> bool {
        let position = u64::from(index) * u64::from(SHARE_SCALE) / u64::from(count.max(1));
        let covers = |range: &ShareRange| {
            u64::from(range.from) <= position
                && position < u64::from(range.to)
                && range.shard == *shard
        };
        self.ranges.iter().any(covers)
    }

    /// The shards other than the owner that run tasks.
    pub fn others(&self) -> impl Iterator<Item = &ShardId> {
        self.ranges.iter().map(|range| &range.shard).filter(|shard| **shard != self.owner)
    }
}
