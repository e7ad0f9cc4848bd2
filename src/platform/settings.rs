//! The settings file that the platform writes.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use serde::Deserialize;

use crate::diagnostic::{DiagnosticList, InputDiagnostic};
use crate::graph::{GraphBounds, RunCosts};
use crate::node::NodeSettings;

/// Environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "KELPLINK_SETTINGS";
/// Longest lease that an earlier leader may have granted, unless the file sets it.
const DEFAULT_LONGEST_LEASE_MS: u64 = 6_000;
/// Time after which a leaving worker must get no more work, unless the file sets it.
const DEFAULT_LEAVE_NOTICE_MS: u64 = 2_000;
/// Contact time assumed where the settings have none.
const DEFAULT_CONTACT_MS: u64 = 3_000;
/// How long the state of an ended job can be queried, unless the file sets it.
const DEFAULT_RETENTION_S: f64 = 120.0;
/// How long a leader renews the leases of workers after its own lease has expired. With a worker lease of
/// 4.5 s, runs survive a store outage of nine seconds. A new leader has to wait for the end of this window,
/// but only for workers that it cannot reach.
const LEASE_EXTENSION_WINDOW: Duration = Duration::from_millis(5_000);

/// Part of the protocol under which callers need API keys.
const KEYS_CONTRACT: &str = "tenants";
/// Port of the metrics. The deployment file contains the same number.
const METRICS_PORT: u16 = 9_464;

#[derive(Debug)]
#[derive(Deserialize)]
struct WireSettings {
    node: String,
    ip: IpAddr,
    #[serde(default)]
    zone: String,
    /// First and last port of the range for traffic between entries.
    internal_ports: (u16, u16),
    #[serde(default)]
    advisor: Option<SocketAddr>,
    #[serde(default)]
    zones: BTreeMap<String, String>,
    listen: WireListen,
    limits: WireLimits,
    #[serde(default)]
    bounds: WireBounds,
    /// Parts of the protocol that are in force.
    #[serde(default)]
    contracts: Vec<String>,
    platform: WirePlatform,
    /// Interval at which workers report to the store.
    #[serde(default)]
    heartbeat_ms: u64,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct WireListen {
    front: SocketAddr,
    ready: SocketAddr,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(default)]
struct WireLimits {
    cpu_share: f64,
    cores: f64,
    max_fds: usize,
    link_mbps: f64,
}

impl Default for WireLimits {
    fn default() -> Self {
        Self { cpu_share: 1.0, cores: 1.0, max_fds: 4_096, link_mbps: 1_000.0 }
    }
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(default)]
struct WireBounds {
    hold_max_ms: u64,
    status_s: f64,
    grace_s: f64,
    /// Time after which a worker that has announced that it leaves must get no more work.
    drain_ms: u64,
    contact_ms: u64,
    /// Work between two checkpoints.
    save_s: f64,
    /// Time to resume from a checkpoint.
    restore_ms: u64,
    /// Run time on another rack than that of the data, relative to the run time there.
    cross_rack_factor: f64,
}

impl Default for WireBounds {
    fn default() -> Self {
        let costs = RunCosts::default();
        Self {
            hold_max_ms: DEFAULT_LONGEST_LEASE_MS,
            status_s: DEFAULT_RETENTION_S,
            grace_s: 6.0,
            drain_ms: DEFAULT_LEAVE_NOTICE_MS,
            contact_ms: DEFAULT_CONTACT_MS,
            save_s: costs.checkpoint_interval.as_secs_f64(),
            restore_ms: costs.restore_time.as_millis() as u64,
            cross_rack_factor: costs.remote_rack_factor,
        }
    }
}

#[derive(Debug)]
#[derive(Deserialize)]
struct WirePlatform {
    address: SocketAddr,
    /// Size of the largest value of the store.
    #[serde(default = "default_value_bytes")]
    value_bytes: usize,
    /// Reading calls a second that it takes.
    #[serde(default = "default_reads")]
    reads_per_s: f64,
}

fn default_reads() -> f64 {
    2_000.0
}

fn default_value_bytes() -> usize {
    1 << 20
}

/// Parses the platform's settings file. Unknown fields are ignored.
///
/// # Errors
/// Returns what is missing or invalid, with its position in the file.
pub fn parse_platform_settings(source: &str, text: &str) -> Result<NodeSettings, DiagnosticList> {
    let wire: WireSettings = toml::from_str(text).map_err(|error| {
        let offset = error.span().map_or(0, |span| span.start);
        let diagnostic = InputDiagnostic::at(source, text, offset, error.message().to_owned());
        DiagnosticList(vec![diagnostic])
    })?;
    let mut diagnostics = Vec::new();
    let mut report = |name: &str, message: &str| {
        let offset = text.find(name).unwrap_or(0);
        diagnostics.push(InputDiagnostic::at(source, text, offset, message.to_owned()));
    };
    let (first, last) = wire.internal_ports;
    if last <= first {
        report("internal_ports", "`internal_ports`: expected two ports or more, lowest first");
    }
    if wire.node.is_empty() {
        report("node", "`node`: expected a name");
    }
    if wire.bounds.hold_max_ms == 0 {
        report("hold_max_ms", "`hold_max_ms`: expected more than 0");
    }
    if wire.bounds.drain_ms == 0 {
        report("drain_ms", "`drain_ms`: expected more than 0");
    }
    if wire.bounds.contact_ms == 0 {
        report("contact_ms", "`contact_ms`: expected more than 0");
    }
    if wire.limits.cpu_share <= 0.0 || wire.limits.cores <= 0.0 {
        report("cpu_share", "`cpu_share` and `cores`: expected more than 0");
    }
    if wire.limits.link_mbps <= 0.0 {
        report("link_mbps", "`link_mbps`: expected more than 0");
    }
    if wire.platform.value_bytes == 0 {
        report("value_bytes", "`value_bytes`: expected more than 0");
    }
    if wire.platform.reads_per_s <= 0.0 {
        report("reads_per_s", "`reads_per_s`: expected more than 0");
    }
    if wire.bounds.cross_rack_factor < 1.0 {
        report("cross_rack_factor", "`cross_rack_factor`: expected 1 or more");
    }
    if !diagnostics.is_empty() {
        return Err(DiagnosticList(diagnostics));
    }
    Ok(NodeSettings {
        name: wire.node.as_str().into(),
        domain: wire.zone.as_str().into(),
        domains: wire.zones.into_keys().map(|zone| zone.as_str().into()).collect(),
        callers: wire.listen.front,
        ready: wire.listen.ready,
        peers: SocketAddr::new(wire.ip, first),
        metrics: SocketAddr::new(wire.ip, METRICS_PORT),
        store: wire.platform.address,
        store_reads: wire.platform.reads_per_s,
        advisor: wire.advisor,
        processor: wire.limits.cpu_share * wire.limits.cores,
        link_mbps: wire.limits.link_mbps,
        descriptors: wire.limits.max_fds,
        requires_keys: wire.contracts.iter().any(|contract| contract == KEYS_CONTRACT),
        grace: seconds(wire.bounds.grace_s),
        leave_notice: Duration::from_millis(wire.bounds.drain_ms),
        contact_time: Duration::from_millis(wire.bounds.contact_ms),
        bounds: GraphBounds {
            max_lease: Duration::from_millis(wire.bounds.hold_max_ms),
            retention: seconds(wire.bounds.status_s),
            lease_extension_window: LEASE_EXTENSION_WINDOW,
            run_costs: RunCosts {
                checkpoint_interval: seconds(wire.bounds.save_s),
                restore_time: Duration::from_millis(wire.bounds.restore_ms),
                remote_rack_factor: wire.bounds.cross_rack_factor,
            },
            max_value_bytes: wire.platform.value_bytes,
            worker_heartbeat: Duration::from_millis(wire.heartbeat_ms),
        },
    })
}

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}
