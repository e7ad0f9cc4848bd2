//! Settings of a process on the platform.

use std::net::SocketAddr;
use std::time::Duration;

use crate::graph::GraphBounds;
use crate::id::{DomainId, EntryId};

/// Settings of a process, fixed at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Name of this entry.
    pub name: EntryId,
    /// Failure domain of this entry.
    pub domain: DomainId,
    /// All failure domains.
    pub domains: Vec<DomainId>,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for the load balancer's readiness probe.
    pub ready: SocketAddr,
    /// Listen address for other entries.
    pub peers: SocketAddr,
    /// Listen address for metrics and the state dump.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Reading calls a second that the store takes from all entries together; renewals and watches are among them.
    pub store_reads: f64,
    /// Address of the service that gives placement advice.
    pub advisor: Option<SocketAddr>,
    /// Processor share of this process, in cores.
    pub processor: f64,
    /// Bandwidth of this machine's own link, in Mbit/s.
    pub link_mbps: f64,
    /// Limit of open file descriptors.
    pub descriptors: usize,
    /// Whether callers of queues that are not public need an API key.
    pub requires_keys: bool,
    /// Time from the signal to stop until the process is killed.
    pub grace: Duration,
    /// Time from a worker's announcement that it leaves until it must get no more work.
    pub leave_notice: Duration,
    /// Time after a disturbance of its connections within which an entry has to be up to date again.
    pub contact_time: Duration,
    /// Bounds of the scheduling decisions.
    pub bounds: GraphBounds,
}
