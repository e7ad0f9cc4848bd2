//! The operator's configuration, as stored in the platform's store.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde_json::error::Category;
use thiserror::Error;

use crate::graph::{AdviceRule, PoolRule, QueueConfig, QueueRule, RequestLimits};
use crate::id::{Revision, ServiceId, WorkspaceId};
use crate::resources::ResourceVector;
use crate::workspace::{KeyDigest, WorkspaceRule};

/// Key of the current configuration.
pub(crate) const CONFIG_KEY: &str = "op/config";
/// Prefix that is watched for changes of the configuration.
pub(crate) const CONFIG_PREFIX: &str = "op/";

#[derive(Deserialize)]
struct WireConfig {
    version: Revision,
    #[serde(default)]
    routes: Vec<WireRoute>,
    #[serde(default)]
    services: Vec<WireService>,
    #[serde(default)]
    limits: WireLimits,
    /// Workspaces.
    #[serde(default)]
    tenants: Vec<WireTenant>,
}

#[derive(Deserialize)]
struct WireTenant {
    name: WorkspaceId,
    #[serde(default)]
    api_keys: Vec<String>,
    /// Jobs a second that are owed to the workspace, and its share of full workers.
    #[serde(default)]
    weight: f64,
    #[serde(default)]
    cap: WireCap,
}

/// What a workspace may have running; 0 stands for no limit.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct WireCap {
    millicpu: u32,
    mem_mb: u32,
    gpus: u32,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct WireRoute {
    name: Arc<str>,
    #[serde(rename = "hostname", default)]
    host: Option<Arc<str>>,
    prefix: Arc<str>,
    service: ServiceId,
    #[serde(default)]
    priority: u32,
    #[serde(default)]
    max_attempts: u32,
    #[serde(default)]
    slack_factor: f64,
    #[serde(default)]
    target_latency_ms: f64,
    #[serde(rename = "advisor", default)]
    advice: Option<WireAdvice>,
    #[serde(default)]
    public: bool,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct WireAdvice {
    #[serde(default)]
    decide_ms: f64,
    #[serde(default)]
    each_ms: f64,
    #[serde(default)]
    valid_ms: f64,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct WireService {
    name: ServiceId,
    /// Whether the service's workers refuse tasks that exceed their capacity.
    #[serde(rename = "admission_check", default)]
    enforces_capacity: bool,
    #[serde(default)]
    standby: bool,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(default)]
struct WireLimits {
    max_body_bytes: usize,
    header_timeout_ms: f64,
}

impl Default for WireLimits {
    fn default() -> Self {
        Self { max_body_bytes: 262_144, header_timeout_ms: 3_000.0 }
    }
}

/// Why a configuration cannot be decoded. It gives the position only, as the text of the decoder may quote API keys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Error)]
#[error("invalid configuration ({category:?}) at line {line}, column {column}")]
pub(crate) struct ConfigError {
    category: Category,
    line: usize,
    column: usize,
}

impl From<serde_json::Error> for ConfigError {
    fn from(error: serde_json::Error) -> Self {
        Self { category: error.classify(), line: error.line(), column: error.column() }
    }
}

/// Decodes a configuration.
///
/// # Errors
/// Returns an error if the bytes are not a valid configuration.
pub(crate) fn decode_config(bytes: &[u8]) -> Result<QueueConfig, ConfigError> {
    let wire: WireConfig = serde_json::from_slice(bytes)?;
    let keys = wire.tenants.iter().flat_map(|tenant| {
        tenant.api_keys.iter().map(|key| (KeyDigest::of(key), tenant.name.clone()))
    });
    let keys = keys.collect();
    let pool_rule = |service: WireService| {
        let rule =
            PoolRule { enforces_capacity: service.enforces_capacity, standby: service.standby };
        (service.name, rule)
    };
    Ok(QueueConfig {
        version: wire.version,
        queues: wire
            .routes
            .into_iter()
            .map(|route| (route.name.clone(), queue_rule(route)))
            .collect(),
        pools: wire.services.into_iter().map(pool_rule).collect(),
        limits: RequestLimits {
            body_bytes: wire.limits.max_body_bytes,
            head_time: millis(wire.limits.header_timeout_ms),
        },
        workspaces: wire
            .tenants
            .into_iter()
            .map(|tenant| (tenant.name.clone(), workspace_rule(tenant)))
            .collect(),
        keys,
    })
}

fn workspace_rule(tenant: WireTenant) -> WorkspaceRule {
    let limit = |amount: u32| if amount == 0 { u32::MAX } else { amount };
    let WireCap { millicpu, mem_mb, gpus } = tenant.cap;
    let cap = ResourceVector::new(limit(millicpu), limit(mem_mb), limit(gpus));
    WorkspaceRule { id: tenant.name, weight: tenant.weight, cap }
}

fn queue_rule(route: WireRoute) -> Arc<QueueRule> {
    let advice_rule = |wire: WireAdvice| AdviceRule {
        call: millis(wire.decide_ms),
        each: millis(wire.each_ms),
        valid: millis(wire.valid_ms),
    };
    Arc::new(QueueRule {
        id: route.name,
        host: route.host.unwrap_or_else(|| "".into()),
        prefix: route.prefix,
        service: route.service,
        priority: route.priority,
        max_attempts: route.max_attempts.max(1),
        slack: route.slack_factor,
        target: millis(route.target_latency_ms),
        advice: route.advice.map(advice_rule),
        public: route.public,
    })
}

fn millis(millis: f64) -> Duration {
    Duration::try_from_secs_f64(millis / 1_000.0).unwrap_or_default()
}
