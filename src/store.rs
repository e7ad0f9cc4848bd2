//! The platform's store as this project uses it: reads and compare-and-swap.

use serde::{Deserialize, Serialize};

use crate::id::KeyVersion;

/// One call to the store.
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
        /// Version that the key must have; 0 means that it must not exist.
        expected: KeyVersion,
        /// New value, at most a megabyte.
        value: String,
    },
}

impl StoreRequest {
    /// The key that the call is about.
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
    /// Version of the key; rises with every write.
    pub version: KeyVersion,
    /// The value.
    pub value: String,
}

/// What became of a call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreOutcome {
    /// The key and its value.
    Found(StoredValue),
    /// The key does not exist.
    Missing,
    /// The write took effect and gave this version.
    Written(KeyVersion),
    /// The key had another version; nothing was written.
    Conflict,
    /// The store did not take the call; nothing was written.
    Unavailable,
    /// No answer came; the write may have taken effect or may still do so.
    Unknown,
}

impl StoreOutcome {
    /// Tells whether the store answered at all.
    pub fn answered(&self) -> bool {
        !matches!(self, Self::Unavailable | Self::Unknown)
    }
}
