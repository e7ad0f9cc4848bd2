//! Accepted configurations and how an entry keeps to the highest.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::{Revision, ServiceId, WorkspaceId};
use crate::intent::IntentSpec;
use crate::invariant;
use crate::resources::ResourceVector;

/// Key of the head revision in the store.
pub const CONFIG_KEY: &str = "config/head";
/// Writes remembered in a revision, to settle acceptances whose answer was lost.
const REMEMBERED_WRITES: usize = 64;

/// An intent in force.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AcceptedIntent {
    /// The statement.
    pub spec: IntentSpec,
    /// Revision in which it last changed in more than its count or quota.
    pub changed: Revision,
}

/// One accepted configuration, whole.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ConfigRevision {
    /// Its number.
    pub revision: Revision,
    /// The writes that made the latest revisions.
    pub writes: BTreeMap<Revision, String>,
    /// Intents by `workspace/name`.
    pub intents: BTreeMap<ServiceId, AcceptedIntent>,
    /// Upper bounds of workspaces.
    pub quotas: BTreeMap<WorkspaceId, ResourceVector>,
}

impl ConfigRevision {
    /// The configuration that follows when `spec` is accepted.
    pub fn with(&self, spec: &IntentSpec, write_id: &str) -> Self {
        let mut next = self.successor(write_id);
        if let Some(quota) = spec.quota {
            next.quotas.insert(spec.workspace.clone(), quota);
        }
        let same_work = |before: &AcceptedIntent| {
            let (count, quota) = (spec.count, spec.quota);
            IntentSpec { count, quota, ..before.spec.clone() } == *spec
        };
        let changed = match self.intents.get(&spec.service()) {
            Some(before) if same_work(before) => before.changed,
            _ => next.revision,
        };
        next.intents.insert(spec.service(), AcceptedIntent { spec: spec.clone(), changed });
        next
    }

    /// The configuration that follows when the intent `service` is withdrawn.
    pub fn without(&self, service: &ServiceId, write_id: &str) -> Self {
        let mut next = self.successor(write_id);
        next.intents.remove(service);
        next
    }

    fn successor(&self, write_id: &str) -> Self {
        let mut next = Self { revision: self.revision + 1, ..self.clone() };
        next.writes.insert(next.revision, write_id.to_owned());
        while next.writes.len() > REMEMBERED_WRITES {
            next.writes.pop_first();
        }
        next
    }

    /// Tells whether the write made one of the latest revisions.
    pub fn made_by(&self, write_id: &str) -> Option<Revision> {
        self.writes.iter().find(|(_, id)| *id == write_id).map(|(revision, _)| *revision)
    }
}

/// Keeps the highest configuration seen; a lower one is never adopted.
#[derive(Debug, Default)]
pub struct ConfigHolder {
    config: ConfigRevision,
}

impl ConfigHolder {
    /// The configuration in force.
    pub fn current(&self) -> &ConfigRevision {
        &self.config
    }

    /// Adopts `config` if it is higher and tells whether it did.
    pub fn adopt(&mut self, config: ConfigRevision) -> bool {
        let higher = config.revision > self.config.revision;
        let same = config.revision == self.config.revision && config != self.config;
        invariant::holds(!same, "revisions", || format!("two revisions {}", config.revision));
        if higher {
            self.config = config;
        }
        higher
    }
}
