//! Accepted configurations, and the highest one that an entry knows.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::{Revision, ServiceId, WorkspaceId};
use crate::intent::IntentSpec;
use crate::invariant;
use crate::resources::ResourceVector;

/// Key of the head revision in the store.
pub const CONFIG_KEY: &str = "config/head";
/// Maximum number of writes recorded in a revision, to find out the result of an acceptance whose
/// answer was lost.
const MAX_RECORDED_WRITES: usize = 64;

/// An intent in force.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AcceptedIntent {
    /// The intent itself.
    pub spec: IntentSpec,
    /// Revision of the last change to anything except the count and the quota.
    pub changed: Revision,
}

/// A complete accepted configuration.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ConfigRevision {
    /// Number of the revision.
    pub revision: Revision,
    /// Ids of the writes that created the latest revisions.
    pub writes: BTreeMap<Revision, String>,
    /// Intents by `workspace/name`.
    pub intents: BTreeMap<ServiceId, AcceptedIntent>,
    /// Quotas by workspace.
    pub quotas: BTreeMap<WorkspaceId, ResourceVector>,
}

impl ConfigRevision {
    /// Returns the configuration that results when `spec` is accepted.
    pub fn with(&self, spec: &IntentSpec, write_id: &str) -> Self {
        let mut next = self.successor(write_id);
        if let Some(quota) = spec.quota {
            next.quotas.insert(spec.workspace.clone(), quota);
        }
        let same_except_count_and_quota = |before: &AcceptedIntent| {
            let (count, quota) = (spec.count, spec.quota);
            IntentSpec { count, quota, ..before.spec.clone() } == *spec
        };
        let changed = match self.intents.get(&spec.service()) {
            Some(before) if same_except_count_and_quota(before) => before.changed,
            _ => next.revision,
        };
        next.intents.insert(spec.service(), AcceptedIntent { spec: spec.clone(), changed });
        next
    }

    /// Returns the configuration that results when the intent `service` is withdrawn.
    pub fn without(&self, service: &ServiceId, write_id: &str) -> Self {
        let mut next = self.successor(write_id);
        next.intents.remove(service);
        next
    }

    fn successor(&self, write_id: &str) -> Self {
        let mut next = Self { revision: self.revision + 1, ..self.clone() };
        next.writes.insert(next.revision, write_id.to_owned());
        while next.writes.len() > MAX_RECORDED_WRITES {
            next.writes.pop_first();
        }
        next
    }

    /// Returns the revision that the write created, if it is one of the latest revisions.
    pub fn revision_of_write(&self, write_id: &str) -> Option<Revision> {
        self.writes.iter().find(|(_, id)| *id == write_id).map(|(revision, _)| *revision)
    }
}

/// Holds the highest configuration seen so far; a lower one is never adopted.
#[derive(Debug, Default)]
pub struct ConfigHolder {
    config: ConfigRevision,
}

impl ConfigHolder {
    /// The configuration in force.
    pub fn current(&self) -> &ConfigRevision {
        &self.config
    }

    /// Adopts `config` if its revision is higher, and returns whether it did.
    pub fn adopt(&mut self, config: ConfigRevision) -> bool {
        let higher = config.revision > self.config.revision;
        let differs = config.revision == self.config.revision && config != self.config;
        invariant::check(!differs, "revisions", || {
            format!("two configurations with revision {}", config.revision)
        });
        if higher {
            self.config = config;
        }
        higher
    }
}
