//! A key-value store with compare-and-swap, in memory.

use std::collections::BTreeMap;

use crate::id::KeyVersion;
use crate::store::{StoreOutcome, StoreRequest, StoredValue};

/// Largest value that the store accepts, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// How the store fails.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFault {
    /// All calls succeed.
    #[default]
    None,
    /// The store refuses all calls.
    Down,
    /// The store carries out writes but does not answer them.
    LostAnswers,
}

/// A key-value store with compare-and-swap.
#[derive(Clone, Debug, Default)]
pub struct StoreModel {
    keys: BTreeMap<String, StoredValue>,
    version: KeyVersion,
    fault: StoreFault,
    reads: u64,
    writes: u64,
}

impl StoreModel {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets how the store fails.
    pub fn set_fault(&mut self, fault: StoreFault) {
        self.fault = fault;
    }

    /// How the store fails.
    pub fn fault(&self) -> StoreFault {
        self.fault
    }

    /// Number of reads and of writes so far.
    pub fn calls(&self) -> (u64, u64) {
        (self.reads, self.writes)
    }

    /// Size of the largest value, in bytes.
    pub fn largest_value(&self) -> usize {
        self.keys.values().map(|stored| stored.value.len()).max().unwrap_or(0)
    }

    /// The stored value of a key.
    pub fn get(&self, key: &str) -> Option<&StoredValue> {
        self.keys.get(key)
    }

    /// Handles a call.
    pub fn call(&mut self, request: &StoreRequest) -> StoreOutcome {
        if self.fault == StoreFault::Down {
            return StoreOutcome::Unavailable;
        }
        let outcome = self.apply(request);
        match (self.fault, request) {
            (StoreFault::LostAnswers, StoreRequest::Swap { .. }) => StoreOutcome::Unknown,
            _ => outcome,
        }
    }

    fn apply(&mut self, request: &StoreRequest) -> StoreOutcome {
        match request {
            StoreRequest::Read { key } => {
                self.reads += 1;
                match self.keys.get(key) {
                    Some(stored) => StoreOutcome::Found(stored.clone()),
                    None => StoreOutcome::Missing,
                }
            }
            StoreRequest::Swap { key, expected, value } => {
                self.writes += 1;
                let current_version = self.keys.get(key).map_or(0, |stored| stored.version);
                if current_version != *expected {
                    return StoreOutcome::Conflict;
                }
                if value.len() > MAX_VALUE_BYTES {
                    return StoreOutcome::Unavailable;
                }
                self.version += 1;
                let stored = StoredValue { version: self.version, value: value.clone() };
                self.keys.insert(key.clone(), stored);
                StoreOutcome::Written(self.version)
            }
        }
    }
}
