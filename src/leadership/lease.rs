//! The lease record in the store.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::EntryId;

/// Value of the key `lease/<failure domain>`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LeaseRecord {
    /// Raised whenever the holder changes.
    pub epoch: u64,
    /// The entry that holds the lease.
    pub holder: EntryId,
    /// Time to live, counted from the write; zero if the lease was given back.
    pub ttl: Duration,
    /// Identifies the write: if its answer was lost, reading the record shows whether it was made.
    pub write_id: String,
}
