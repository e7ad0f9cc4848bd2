//! Workspaces as the configuration defines them: API keys, a weight and a cap.

use std::collections::BTreeMap;
use std::fmt::{self, Debug};

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::id::WorkspaceId;
use crate::resources::ResourceVector;

/// An amount of resources for each workspace.
pub type WorkspaceAmounts = BTreeMap<WorkspaceId, ResourceVector>;

/// Hash of an API key. Keys are secrets, so only their hashes are kept, and no output shows these.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Hashes a key.
    pub fn of(key: &str) -> Self {
        Self(*blake3::hash(key.as_bytes()).as_bytes())
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let hash = blake3::Hash::from_hex(text).map_err(|_| D::Error::custom("not a digest"))?;
        Ok(Self(*hash.as_bytes()))
    }
}

impl Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// A workspace of callers.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WorkspaceRule {
    /// Name of the workspace.
    pub id: WorkspaceId,
    /// Its share of the workers relative to other workspaces when all are busy, and the number of jobs a second
    /// that it is expected to submit.
    pub weight: f64,
    /// What its tasks may use at the same time, over all workers; the largest number stands for no limit.
    pub cap: ResourceVector,
}
