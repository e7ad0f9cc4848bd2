//! The fencing token, which orders all leaders of a failure domain over time.

use serde::{Deserialize, Serialize};

use crate::id::EntryId;

/// Orders leaders: first by epoch (from the store), then by round (without the store), then by entry.
///
/// A worker stores the highest token it has received and refuses lower ones. If two processes both act
/// as leader, only the one with the higher token can therefore command the worker.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct FencingToken {
    /// Incremented by every compare-and-swap of the lease record.
    pub epoch: u64,
    /// Incremented by every takeover while the store cannot be reached; 0 if the store granted the lease.
    pub round: u64,
    /// Entry process that leads.
    pub entry: EntryId,
}

impl FencingToken {
    /// Creates the token of a lease that the store granted.
    pub fn granted(epoch: u64, entry: EntryId) -> Self {
        Self { epoch, round: 0, entry }
    }

    /// Returns the token with which `entry` takes over from the holder of `self` without the store.
    pub fn next_round(&self, entry: EntryId) -> Self {
        Self { epoch: self.epoch, round: self.round + 1, entry }
    }
}
