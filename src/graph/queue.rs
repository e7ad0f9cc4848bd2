//! The configuration of queues that is in force.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::graph::name::QueueId;
use crate::id::{Revision, ServiceId};

/// Time that a call for placement advice takes.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AdviceRule {
    /// For a call.
    pub call: Duration,
    /// For each worker named in it.
    pub each: Duration,
    /// How long a ticket holds.
    pub valid: Duration,
}

/// A queue of jobs.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct QueueRule {
    /// Name of the queue.
    pub id: QueueId,
    /// Host that callers name; empty for any.
    pub host: Arc<str>,
    /// Start of the paths that belong to it.
    pub prefix: Arc<str>,
    /// Workers that run its tasks.
    pub service: ServiceId,
    /// 0 comes first.
    pub priority: u32,
    /// Failed runs after which a job has failed.
    pub max_attempts: u32,
    /// Share of the longest chain of run times that a job's objective allows.
    pub slack: f64,
    /// Time that the objective allows beside the chain.
    pub target: Duration,
    /// Placement advice, where the queue needs it.
    pub advice: Option<AdviceRule>,
}

/// A service: the pool of workers that tasks run on.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolRule {
    /// Whether its workers refuse what does not fit.
    pub enforces_capacity: bool,
    /// Whether its workers are switched off.
    pub standby: bool,
}

/// Bounds on requests of callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLimits {
    /// Bytes of a body.
    pub body_bytes: usize,
    /// Time for the head of a request to arrive.
    pub head_time: Duration,
}

/// A whole configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueConfig {
    /// Its version.
    pub version: Revision,
    /// All queues.
    pub queues: BTreeMap<QueueId, Arc<QueueRule>>,
    /// All services.
    pub pools: BTreeMap<ServiceId, PoolRule>,
    /// Bounds on requests.
    pub limits: RequestLimits,
}

impl QueueConfig {
    /// Whether it names a service.
    pub fn names(&self, service: &ServiceId) -> bool {
        self.pools.contains_key(service)
            || self.queues.values().any(|queue| queue.service == *service)
    }

    /// The queue that a request belongs to: the longest prefix among those of its host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<QueueRule>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let fits = |queue: &&Arc<QueueRule>| {
            (queue.host.is_empty() || queue.host.eq_ignore_ascii_case(host))
                && path.starts_with(&*queue.prefix)
        };
        self.queues.values().filter(fits).max_by_key(|queue| queue.prefix.len())
    }
}
