//! Order of workers by speed, for placement.
//!
//! It is needed where workers differ in speed while urgent, long and lasting work compete for the fast ones. Urgent
//! work goes where it ends first, work whose speed does not matter goes to slow workers. Where workers are alike there
//! is one class, and this order makes no difference.

use crate::graph::workers::speed::SpeedClass;

/// Ratio of run times below which they count as equal, as for the speeds of a class.
const EQUAL_RUN_TIME_RATIO: f64 = 1.15;
/// Share of the processors of the fastest workers that long work leaves free for urgent work while slower workers have
/// capacity for it.
const FAST_RESERVE_SHARE: f64 = 0.25;

/// Which speed of worker is best for a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SpeedPreference {
    /// Any.
    Any,
    /// The one on which the task ends first.
    Fast,
    /// The slowest.
    Slow,
    /// As `Fast` while fast workers have capacity to spare, then slow workers if the job has slack for it.
    Spare {
        /// Whether the job keeps its value on the slowest workers.
        has_slack: bool,
    },
}

/// Ranks of workers by class of speed.
pub(super) struct SpeedOrder {
    /// Speeds of the classes, slowest first.
    speeds: Vec<f64>,
    /// Rank of the expected run time for each class, near its data and on another rack.
    run_time_ranks: Vec<[u32; 2]>,
    /// Processors of the fastest class, in millicores: all of them and the free ones.
    fast_capacity: u64,
    pub(super) fast_free: u64,
}

impl SpeedOrder {
    pub(super) fn new(speeds: Vec<f64>, remote_rack_factor: f64) -> Self {
        let times = speeds.iter().flat_map(|speed| [1.0 / speed, remote_rack_factor / speed]);
        let mut sorted: Vec<f64> = times.collect();
        sorted.sort_by(f64::total_cmp);
        let mut group_starts: Vec<f64> = Vec::new();
        for time in sorted {
            if group_starts.last().is_none_or(|start| time > start * EQUAL_RUN_TIME_RATIO) {
                group_starts.push(time);
            }
        }
        let rank = |time: f64, is_remote: u32| {
            let group = group_starts.partition_point(|start| *start <= time);
            2 * u32::try_from(group).unwrap_or(u32::MAX / 2) + is_remote
        };
        let ranks = |speed: &f64| [rank(1.0 / speed, 0), rank(remote_rack_factor / speed, 1)];
        let run_time_ranks = speeds.iter().map(ranks).collect();
        Self { speeds, run_time_ranks, fast_capacity: 0, fast_free: 0 }
    }

    /// Whether the workers differ in speed.
    pub(super) fn is_uneven(&self) -> bool {
        self.speeds.len() > 1
    }

    /// Whether a class is the fastest of several.
    pub(super) fn is_fastest(&self, class: SpeedClass) -> bool {
        self.is_uneven() && class + 1 == self.speeds.len()
    }

    /// Adds a worker of the fastest class.
    pub(super) fn add_fast_worker(&mut self, capacity: u32, free: u32) {
        self.fast_capacity += u64::from(capacity);
        self.fast_free += u64::from(free);
    }

    /// The preference for the next task of a step, given the capacity that fast workers have left.
    pub(super) fn current_preference(&self, preference: SpeedPreference) -> SpeedPreference {
        let is_scarce = (self.fast_free as f64) < self.fast_capacity as f64 * FAST_RESERVE_SHARE;
        match preference {
            SpeedPreference::Spare { .. } if !is_scarce => SpeedPreference::Fast,
            SpeedPreference::Spare { has_slack: true } => SpeedPreference::Slow,
            SpeedPreference::Spare { has_slack: false } => SpeedPreference::Any,
            preference => preference,
        }
    }

    /// How many times as long a task takes on the slowest class as on a worker of mean speed.
    pub(super) fn slowest_run_time_factor(&self) -> f64 {
        self.speeds.first().map_or(1.0, |speed| 1.0 / speed)
    }

    /// Rank of a worker by the distance of a step's data, combined with its speed where the step prefers fast
    /// workers. Doubtful workers count as slowest: what slows them may not show in their class yet.
    pub(super) fn distance_rank(
        &self,
        preference: SpeedPreference,
        class: SpeedClass,
        is_sound: bool,
        is_remote: bool,
    ) -> u32 {
        let class = if is_sound { class } else { 0 };
        match (preference, self.run_time_ranks.get(class)) {
            (SpeedPreference::Fast, Some(ranks)) => ranks[usize::from(is_remote)],
            _ => u32::from(is_remote),
        }
    }

    /// Rank of a worker by its speed alone.
    pub(super) fn speed_rank(&self, preference: SpeedPreference, class: SpeedClass) -> usize {
        match preference {
            SpeedPreference::Any | SpeedPreference::Spare { .. } => 0,
            SpeedPreference::Fast => self.speeds.len().saturating_sub(class + 1),
            SpeedPreference::Slow => class,
        }
    }
}
