//! Fencing tokens that tell the instances of a worker apart.
//!
//! A worker that restarts under its id knows nothing of before, so it carries out calls that were meant for its previous
//! instance and arrive seconds late. The leader therefore raises the token with each further instance: once an instance
//! has answered a call with its own token, it refuses every call that was sent to an earlier one.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::graph::workload::name::LeaderEpoch;
use crate::id::WorkerId;

/// Fencing token of a call to a worker.
pub type FenceToken = u64;
/// Number of tokens by which the calls to an instance of a worker exceed the epoch of its leader.
pub type FenceOffset = u64;

/// Difference between the epochs of consecutive leaders. The numbers in between are tokens of further instances, so that
/// the next leader's tokens are higher than all of them.
pub const EPOCH_STEP: LeaderEpoch = 1 << 12;
/// Highest offset below the next epoch.
const MAX_OFFSET: FenceOffset = EPOCH_STEP - 1;
/// How long the offset of a worker that is gone is kept by its id.
const RETENTION: Duration = Duration::from_secs(60);

/// Returns the epoch of the leader after that of `epoch`.
pub fn next_epoch(epoch: LeaderEpoch) -> LeaderEpoch {
    epoch + EPOCH_STEP
}

/// Returns the token of calls of a leader to an instance.
pub fn fence_token(epoch: LeaderEpoch, offset: FenceOffset) -> FenceToken {
    epoch + offset.min(MAX_OFFSET)
}

/// Whether an offset has a token of its own.
pub(crate) fn is_distinct(offset: FenceOffset) -> bool {
    offset <= MAX_OFFSET
}

/// Offsets of workers that are gone and may come back under their ids.
#[derive(Clone, Debug, Default)]
pub(crate) struct FenceTable {
    /// Offset of workers that are not listed here. No worker has seen a higher one of this leader, unless it is listed.
    base: FenceOffset,
    former: BTreeMap<WorkerId, (Instant, FenceOffset)>,
}

impl FenceTable {
    /// Offset of the first instance of a worker that is heard of at `now`.
    pub(crate) fn first_offset(&mut self, now: Instant, worker: &WorkerId) -> FenceOffset {
        self.forget_expired(now);
        self.former.remove(worker).map_or(self.base, |(_, offset)| offset + 1)
    }

    /// Notes that a worker whose calls had an offset is gone. It may be heard of again, as the same instance or another.
    pub(crate) fn note_gone(&mut self, now: Instant, worker: WorkerId, offset: FenceOffset) {
        self.forget_expired(now);
        self.former.insert(worker, (now, offset));
    }

    fn forget_expired(&mut self, now: Instant) {
        let is_expired = |_: &WorkerId, (gone, _): &mut (Instant, FenceOffset)| {
            now.saturating_duration_since(*gone) >= RETENTION
        };
        let expired = self.former.extract_if(.., is_expired).map(|(_, (_, offset))| offset);
        self.base = expired.fold(self.base, FenceOffset::max);
    }
}
