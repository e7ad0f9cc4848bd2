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
    /// How long it holds after the write; zero when it was given back.
    pub ttl: Duration,
    /// Identifies the write, so that a lost answer can be settled by reading.
    pub write_id: String,
}
