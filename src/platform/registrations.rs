//! How workers register in the store.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use thiserror::Error;

use crate::graph::{InstanceStart, MachineId, WorkerRegistration};
use crate::id::{DomainId, RackId, ServiceId, WorkerId};
use crate::node::KeyItem;
use crate::platform::instance_start::decode_instance_start;
use crate::resources::ResourceVector;

type Result<T> = std::result::Result<T, RegistrationError>;

/// Prefix of the keys of all workers.
pub(crate) const REGISTRATION_PREFIX: &str = "servers/";
/// Start of a label that names a rack; all others name a kind.
const RACK_LABEL: char = 'r';

/// Why a registration names no worker.
#[derive(Debug)]
#[derive(Error)]
pub(crate) enum RegistrationError {
    /// The key's id is empty or cannot stand in the head of a call.
    #[error("its key names no worker")]
    Key,
    /// The value cannot be read, or a field is missing or of another type.
    #[error("it cannot be read: {0}")]
    Value(#[from] serde_json::Error),
    /// A field has a value that means nothing.
    #[error("its {0} means nothing")]
    Field(&'static str),
}

/// What a worker says of itself; any other state names no worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum WireState {
    Ready,
    /// It is leaving.
    Draining,
}

/// Room of a worker.
#[derive(Debug)]
#[derive(Deserialize)]
struct WireCapacity {
    millicpu: u32,
    mem_mb: u32,
    gpus: u32,
}

/// A worker's registration. Fields that nothing here uses are decoded too: an entry without them, or with
/// another type, was not written by a worker.
#[derive(Debug)]
#[derive(Deserialize)]
struct WireRegistration {
    service: ServiceId,
    address: SocketAddr,
    zone: DomainId,
    #[serde(rename = "version")]
    _version: Arc<str>,
    #[serde(rename = "slots")]
    _slots: f64,
    state: WireState,
    #[serde(rename = "cold_ms")]
    _cold_ms: f64,
    #[serde(rename = "sequence")]
    _sequence: f64,
    capacity: WireCapacity,
    /// Start of this life of the worker.
    #[serde(default, deserialize_with = "decode_instance_start")]
    born: InstanceStart,
    /// Kind and rack.
    labels: Vec<Arc<str>>,
    #[serde(default)]
    machine: Option<MachineId>,
    /// Shortest time that is left, while it is leaving.
    #[serde(default)]
    remaining_ms: Option<f64>,
}

impl WireRegistration {
    /// The first field whose value means nothing.
    fn senseless(&self) -> Option<&'static str> {
        let rules = [
            ("service", self.service.is_empty()),
            ("address", !is_callable(&self.address)),
            ("failure domain", self.zone.is_empty()),
        ];
        rules.into_iter().find(|(_, broken)| *broken).map(|(name, _)| name)
    }
}

/// The worker that a key is about. Its id goes into the head of each call to it.
pub(crate) fn worker_of_key(key: &str) -> Option<WorkerId> {
    let id = key.strip_prefix(REGISTRATION_PREFIX)?;
    let plain = id.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'/');
    (plain && !id.is_empty()).then(|| WorkerId::from(id))
}

/// Decodes a registration.
///
/// # Errors
/// Why it names no worker.
pub(crate) fn decode_registration(item: &KeyItem) -> Result<WorkerRegistration> {
    let id = worker_of_key(&item.key).ok_or(RegistrationError::Key)?;
    let wire: WireRegistration = serde_json::from_slice(&item.value)?;
    if let Some(field) = wire.senseless() {
        return Err(RegistrationError::Field(field));
    }
    let rack = wire.labels.iter().find(|label| is_rack(label));
    let rack = rack.map_or_else(|| RackId::from(""), RackId::clone);
    let left = || Duration::from_millis(wire.remaining_ms.unwrap_or(0.0).max(0.0) as u64);
    let WireCapacity { millicpu, mem_mb, gpus } = wire.capacity;
    Ok(WorkerRegistration {
        id,
        instance_start: wire.born,
        address: wire.address,
        service: wire.service,
        domain: wire.zone,
        rack,
        machine: wire.machine,
        capacity: ResourceVector::new(millicpu, mem_mb, gpus),
        leaving: (wire.state == WireState::Draining).then(left),
        labels: wire.labels,
    })
}

/// Whether a call can be made to an address.
fn is_callable(address: &SocketAddr) -> bool {
    let ip = address.ip();
    let broadcast = ip == IpAddr::V4(Ipv4Addr::BROADCAST);
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !broadcast
}

/// Racks are written like `r1-3`.
fn is_rack(label: &str) -> bool {
    let number = label.strip_prefix(RACK_LABEL).and_then(|rest| rest.split_once('-'));
    number.is_some_and(|(first, _)| first.bytes().all(|byte| byte.is_ascii_digit()))
}
