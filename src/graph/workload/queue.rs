//! Configuration of queues, services and request limits.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::graph::workload::name::QueueId;
use crate::id::{Revision, ServiceId, WorkspaceId};
use crate::workspace::{KeyDigest, WorkspaceRule};

/// Expected times of a call for placement advice.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AdviceRule {
    /// Fixed time of a call.
    pub call: Duration,
    /// Additional time for each worker named in the call.
    pub each: Duration,
    /// How long a ticket is valid.
    pub valid: Duration,
}

/// A queue of jobs.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct QueueRule {
    /// Name of the queue.
    pub id: QueueId,
    /// Host name in requests; empty for any.
    pub host: Arc<str>,
    /// Prefix of the request paths that belong to the queue.
    pub prefix: Arc<str>,
    /// Service whose workers run the tasks.
    pub service: ServiceId,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Failed runs after which a job has failed.
    pub max_attempts: u32,
    /// Factor of the critical path in the objective of a job.
    pub slack: f64,
    /// Time that the objective allows in addition to the critical path.
    pub target: Duration,
    /// Expected times of placement advice, if the queue needs advice.
    pub advice: Option<AdviceRule>,
    /// Whether callers need no API key.
    #[serde(default)]
    pub public: bool,
}

/// A service: the pool of workers that tasks run on.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PoolRule {
    /// Whether its workers refuse tasks that exceed their capacity.
    pub enforces_capacity: bool,
    /// Whether its workers are switched off.
    pub standby: bool,
}

/// Limits of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RequestLimits {
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Longest time for the head of a request to arrive.
    pub head_time: Duration,
}

/// A version of the configuration.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct QueueConfig {
    /// Its version.
    pub version: Revision,
    /// All queues.
    pub queues: BTreeMap<QueueId, Arc<QueueRule>>,
    /// All services.
    pub pools: BTreeMap<ServiceId, PoolRule>,
    /// Limits of requests.
    pub limits: RequestLimits,
    /// All workspaces.
    pub workspaces: BTreeMap<WorkspaceId, WorkspaceRule>,
    /// The workspace of each valid API key.
    pub keys: BTreeMap<KeyDigest, WorkspaceId>,
}

impl QueueConfig {
    /// Whether the configuration refers to a service.
    pub fn names(&self, service: &ServiceId) -> bool {
        self.pools.contains_key(service)
            || self.queues.values().any(|queue| queue.service == *service)
    }

    /// The queue that a request belongs to: the one with the longest matching prefix among the
    /// queues of its host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<QueueRule>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let fits = |queue: &&Arc<QueueRule>| {
            (queue.host.is_empty() || queue.host.eq_ignore_ascii_case(host))
                && path.starts_with(&*queue.prefix)
        };
        self.queues.values().filter(fits).max_by_key(|queue| queue.prefix.len())
    }
}
