//! The operator's configuration, as stored in the platform's store.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use crate::graph::{AdviceRule, PoolRule, QueueConfig, QueueRule, RequestLimits};
use crate::id::{Revision, ServiceId};

/// Key of the current configuration.
pub(crate) const CONFIG_KEY: &str = "op/config";
/// Prefix that is watched for changes of the configuration.
pub(crate) const CONFIG_PREFIX: &str = "op/";

#[derive(Debug)]
#[derive(Deserialize)]
struct WireConfig {
    version: Revision,
    #[serde(default)]
    routes: Vec<WireRoute>,
    #[serde(default)]
    services: Vec<WireService>,
    #[serde(default)]
    limits: WireLimits,
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

/// Decodes a configuration.
///
/// # Errors
/// Returns an error if the bytes are not a valid configuration.
pub(crate) fn decode_config(bytes: &[u8]) -> Result<QueueConfig, serde_json::Error> {
    let wire: WireConfig = serde_json::from_slice(bytes)?;
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
    })
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
    })
}

fn millis(millis: f64) -> Duration {
    Duration::try_from_secs_f64(millis / 1_000.0).unwrap_or_default()
}
