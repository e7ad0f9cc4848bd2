//! How many jobs of a queue wait, and who counted them.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::graph::LeaderEpoch;
use crate::id::EntryId;

/// Jobs of a queue that wait in one shard, as its leader counts them.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct PendingCount {
    /// Accepted jobs no task of which has begun.
    pub(crate) jobs: usize,
    /// The leader.
    pub(crate) entry: EntryId,
    /// The epoch that it leads under.
    pub(crate) epoch: LeaderEpoch,
    /// Time since the call was sent that renewed its lease last.
    pub(crate) lease_age: Duration,
}

impl Display for PendingCount {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        let Self { jobs, entry, epoch, lease_age } = self;
        write!(out, "{jobs} by {entry} epoch {epoch} lease {}ms", lease_age.as_millis())
    }
}
