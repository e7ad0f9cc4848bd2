//! How workers register in the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use crate::graph::{MachineId, WorkerListing};
use crate::id::{DomainId, RackId, ServiceId, WorkerId};
use crate::node::KeyItem;
use crate::resources::ResourceVector;

/// Prefix of the keys of all workers.
pub(crate) const REGISTRATION_PREFIX: &str = "servers/";
/// State of a worker that is leaving.
const LEAVING: &str = "draining";
/// Start of a label that names a rack; all others name a kind.
const RACK_LABEL: char = 'r';

/// Room of a worker; what is zero may be left out.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct WireCapacity {
    millicpu: u32,
    mem_mb: u32,
    gpus: u32,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct WireRegistration {
    service: ServiceId,
    address: SocketAddr,
    #[serde(default)]
    zone: Option<DomainId>,
    #[serde(default)]
    state: String,
    #[serde(default)]
    capacity: WireCapacity,
    /// Kind and rack.
    #[serde(default)]
    labels: Vec<Arc<str>>,
    #[serde(default)]
    machine: Option<MachineId>,
    /// Shortest time that is left, while it is leaving.
    #[serde(default)]
    remaining_ms: Option<f64>,
}

/// The worker that a key is about.
pub(crate) fn worker_of_key(key: &str) -> Option<WorkerId> {
    key.strip_prefix(REGISTRATION_PREFIX).map(WorkerId::from)
}

/// Decodes a registration.
///
/// # Errors
/// What cannot be read.
pub(crate) fn decode_registration(item: &KeyItem) -> Result<WorkerListing, String> {
    let id = worker_of_key(&item.key).ok_or_else(|| format!("{} is no worker", item.key))?;
    let wire: WireRegistration =
        serde_json::from_slice(&item.value).map_err(|error| format!("{}: {error}", item.key))?;
    let rack = wire.labels.iter().find(|label| is_rack(label));
    let rack = rack.map_or_else(|| RackId::from(""), RackId::clone);
    let left = || Duration::from_millis(wire.remaining_ms.unwrap_or(0.0).max(0.0) as u64);
    let WireCapacity { millicpu, mem_mb, gpus } = wire.capacity;
    Ok(WorkerListing {
        id,
        revision: item.revision,
        address: wire.address,
        service: wire.service,
        domain: wire.zone.unwrap_or_else(|| DomainId::from("")),
        rack,
        machine: wire.machine,
        capacity: ResourceVector::new(millicpu, mem_mb, gpus),
        leaving: (wire.state == LEAVING).then(left),
        labels: wire.labels,
    })
}

/// Racks are written like `r1-3`.
fn is_rack(label: &str) -> bool {
    let number = label.strip_prefix(RACK_LABEL).and_then(|rest| rest.split_once('-'));
    number.is_some_and(|(first, _)| first.bytes().all(|byte| byte.is_ascii_digit()))
}
