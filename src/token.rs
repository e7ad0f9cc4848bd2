//! The fencing token that orders all leaders a failure domain ever has.

use serde::{Deserialize, Serialize};

use crate::id::EntryId;

/// Orders leaders: by epoch (from the store), then round (without it), then entry.
///
/// A worker keeps the highest token seen and refuses lower ones, so that of two processes that both
/// believe to lead only one can act on a worker.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct FencingToken {
    /// Raised by every compare-and-swap of the lease record.
    pub epoch: u64,
    /// Raised by every takeover while the store cannot be reached; 0 when the store granted it.
    pub round: u64,
    /// The entry process that leads.
    pub entry: EntryId,
}

impl FencingToken {
    /// The token that a lease in the store gives.
    pub fn granted(epoch: u64, entry: EntryId) -> Self {
        Self { epoch, round: 0, entry }
    }

    /// The next token after `self` for `entry` without the store.
    pub fn next_round(&self, entry: EntryId) -> Self {
        Self { epoch: self.epoch, round: self.round + 1, entry }
    }
}
