//! What a process on the platform is told at its start.

use std::net::SocketAddr;
use std::time::Duration;

use crate::graph::GraphBounds;
use crate::id::{DomainId, EntryId};

/// Settings of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Name of this entry.
    pub name: EntryId,
    /// Its failure domain.
    pub domain: DomainId,
    /// All failure domains.
    pub domains: Vec<DomainId>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether this entry takes connections.
    pub ready: SocketAddr,
    /// Where other entries connect.
    pub peers: SocketAddr,
    /// Where metrics and the state dump are served.
    pub metrics: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// The service that gives placement advice.
    pub advisor: Option<SocketAddr>,
    /// Share of a processor core.
    pub processor: f64,
    /// File descriptors.
    pub descriptors: usize,
    /// Time from the signal to stop until the process is killed.
    pub grace: Duration,
    /// Bounds of the decisions.
    pub bounds: GraphBounds,
}
