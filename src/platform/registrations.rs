//! Decodes the registrations of workers in the store.

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
/// Prefix of a label that names a rack. All other labels name a kind of worker.
const RACK_LABEL_PREFIX: char = 'r';

/// Why a registration is rejected.
#[derive(Debug)]
#[derive(Error)]
pub(crate) enum RegistrationError {
    /// The worker id in the key is empty or not valid in an HTTP header.
    #[error("the key contains no valid worker id")]
    Key,
    /// The value is not valid JSON, or a field is missing or of another type.
    #[error("unreadable value: {0}")]
    Value(#[from] serde_json::Error),
    /// A field has an invalid value.
    #[error("invalid {0}")]
    Field(&'static str),
}

/// State of a worker. A registration with any other state is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum WireState {
    Ready,
    /// The worker is leaving.
    Draining,
}

/// Capacity of a worker.
#[derive(Debug)]
#[derive(Deserialize)]
struct WireCapacity {
    millicpu: u32,
    mem_mb: u32,
    gpus: u32,
}

/// A worker's registration. Unused fields are decoded as well, because a registration that lacks one of
/// them or has it with another type was not written by a worker.
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
    /// Start time of this instance of the worker.
    #[serde(default, deserialize_with = "decode_instance_start")]
    born: InstanceStart,
    /// Kind and rack.
    labels: Vec<Arc<str>>,
    #[serde(default)]
    machine: Option<MachineId>,
    /// Shortest time until the worker is gone, while it is leaving.
    #[serde(default)]
    remaining_ms: Option<f64>,
}

impl WireRegistration {
    /// Returns the name of the first field with an invalid value.
    fn invalid_field(&self) -> Option<&'static str> {
        let rules = [
            ("service", self.service.is_empty()),
            ("address", !is_callable(&self.address)),
            ("failure domain", self.zone.is_empty()),
        ];
        rules.into_iter().find(|(_, is_invalid)| *is_invalid).map(|(name, _)| name)
    }
}

/// Returns the worker whose registration is stored under a key, or `None` if the id is not valid in an HTTP
/// header: it is sent with each call to the worker.
pub(crate) fn worker_of_key(key: &str) -> Option<WorkerId> {
    let id = key.strip_prefix(REGISTRATION_PREFIX)?;
    let is_valid = id.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'/');
    (is_valid && !id.is_empty()).then(|| WorkerId::from(id))
}

/// Decodes a registration.
///
/// # Errors
/// Returns the reason why the registration is rejected.
pub(crate) fn decode_registration(item: &KeyItem) -> Result<WorkerRegistration> {
    let id = worker_of_key(&item.key).ok_or(RegistrationError::Key)?;
    let wire: WireRegistration = serde_json::from_slice(&item.value)?;
    if let Some(field) = wire.invalid_field() {
        return Err(RegistrationError::Field(field));
    }
    let rack = wire.labels.iter().find(|label| is_rack_label(label));
    let rack = rack.map_or_else(|| RackId::from(""), RackId::clone);
    let remaining = || Duration::from_millis(wire.remaining_ms.unwrap_or(0.0).max(0.0) as u64);
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
        leaving: (wire.state == WireState::Draining).then(remaining),
        labels: wire.labels,
    })
}

/// Returns whether calls can be made to an address.
fn is_callable(address: &SocketAddr) -> bool {
    let ip = address.ip();
    let broadcast = ip == IpAddr::V4(Ipv4Addr::BROADCAST);
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !broadcast
}

/// Returns whether a label names a rack, as `r1-3` does.
fn is_rack_label(label: &str) -> bool {
    let number = label.strip_prefix(RACK_LABEL_PREFIX).and_then(|rest| rest.split_once('-'));
    number.is_some_and(|(first, _)| first.bytes().all(|byte| byte.is_ascii_digit()))
}
