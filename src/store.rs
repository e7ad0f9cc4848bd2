//! Calls to the platform's store, of which only reads and compare-and-swap are used.

use serde::{Deserialize, Serialize};

use crate::id::KeyVersion;

/// A call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreRequest {
    /// Reads a key.
    Read {
        /// The key.
        key: String,
    },
    /// Writes a key if its version is still the expected one.
    Swap {
        /// The key.
        key: String,
        /// Version that the key must have; 0 means that the key must not exist.
        expected: KeyVersion,
        /// New value, at most a megabyte.
        value: String,
    },
}

impl StoreRequest {
    /// Returns the key that the call reads or writes.
    pub fn key(&self) -> &str {
        match self {
            Self::Read { key } | Self::Swap { key, .. } => key,
        }
    }
}

/// A value with its version.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StoredValue {
    /// Version of the key; it increases with every write.
    pub version: KeyVersion,
    /// The value.
    pub value: String,
}

/// Outcome of a call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreOutcome {
    /// The key exists and has this value.
    Found(StoredValue),
    /// The key does not exist.
    Missing,
    /// The write took effect; the key now has this version.
    Written(KeyVersion),
    /// The key had another version; nothing was written.
    Conflict,
    /// The store did not accept the call; nothing was written.
    Unavailable,
    /// No answer arrived; a write may have taken effect or may still do so.
    Unknown,
}

impl StoreOutcome {
    /// Returns whether the store answered.
    pub fn answered(&self) -> bool {
        !matches!(self, Self::Unavailable | Self::Unknown)
    }
}
