//! Input events and output actions of the controllers of a failure domain.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::fleet::ExchangeId;
use crate::id::{CallId, DomainId, EntryId, RackId, ServiceId, UnixMillis, UpstreamId, WorkerId};
use crate::message::{ClientAnswer, ClientCall, PeerMessage};
use crate::resources::ResourceVector;
use crate::routing::{DemandReport, ShareGrant};
use crate::settings::TimingSettings;
use crate::store::{StoreOutcome, StoreRequest, StoredValue};
use crate::worker::{WorkerReply, WorkerRequest};

/// Identity of an entry, its peers and its timing settings.
#[derive(Clone, Debug)]
pub struct EntryIdentity {
    /// Name of the entry.
    pub entry: EntryId,
    /// Failure domain of the entry.
    pub domain: DomainId,
    /// Number of this start of the process; later starts have higher numbers.
    pub boot: u64,
    /// All other entries with their failure domains.
    pub peers: Vec<(EntryId, DomainId)>,
    /// Intervals and time limits.
    pub timing: TimingSettings,
}

impl EntryIdentity {
    /// All failure domains in order of name.
    pub fn domains(&self) -> Vec<DomainId> {
        let own = std::iter::once(&self.domain);
        let all: BTreeSet<_> = self.peers.iter().map(|(_, domain)| domain).chain(own).collect();
        all.into_iter().cloned().collect()
    }

    /// All entries of this failure domain in order of name, including this one.
    pub fn domain_entries(&self) -> Vec<EntryId> {
        let domain_peers = self.peers.iter().filter(|(_, domain)| *domain == self.domain);
        let all: BTreeSet<_> = domain_peers.map(|(entry, _)| entry).chain([&self.entry]).collect();
        all.into_iter().cloned().collect()
    }
}

/// Role of a VM.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(tag = "role", rename_all = "kebab-case")]
pub enum VmRole {
    /// Runs tasks.
    Worker {
        /// Total resources of the VM.
        capacity: ResourceVector,
    },
    /// Answers requests of a service.
    Upstream {
        /// Name of the service, `workspace/name`.
        service: ServiceId,
        /// Number of requests that it processes concurrently.
        slots: u32,
    },
}

/// A VM in the list of the platform, which lags behind the actual state.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct VmRecord {
    /// Name of the VM.
    pub id: String,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Rack of the VM.
    pub rack: RackId,
    /// Address on which the VM accepts requests.
    pub address: SocketAddr,
    /// Whether the VM is about to be removed.
    pub leaving: bool,
    /// Role of the VM.
    #[serde(flatten)]
    pub role: VmRole,
}

/// The controller that made a call to the store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum StoreOwner {
    /// The leader election.
    Leadership,
    /// The journal of the ledger.
    Journal,
    /// The configuration controller.
    Config,
    /// The quota controller.
    Quota,
    /// The controller for moves of tasks between failure domains.
    Moves,
}

/// Input of a [`DomainController`](crate::DomainController).
#[derive(Clone, Debug)]
pub enum DomainEvent {
    /// Periodic timer.
    Tick,
    /// The outcome of a call to the store.
    Store(StoreOwner, CallId, StoreOutcome),
    /// The watch on the configuration reported its current head.
    ConfigHead(Option<StoredValue>),
    /// A worker's reply to an exchange; `None` on a failure or timeout.
    Worker(WorkerId, ExchangeId, Option<WorkerReply>),
    /// The platform's list of VMs.
    Vms(Vec<VmRecord>),
    /// A message from a peer.
    Peer(EntryId, PeerMessage),
    /// The process of a peer has ended: its port refuses connections.
    PeerGone(EntryId),
    /// A call from a client.
    Call(CallId, ClientCall),
    /// The router of this entry reports its demand for slots and its free slots by service.
    Demand(DemandReport, BTreeMap<ServiceId, u32>),
    /// A planned stop begins.
    Drain,
}

/// Output of a [`DomainController`](crate::DomainController).
#[derive(Clone, Debug)]
pub enum DomainAction {
    /// Call the store.
    Store(StoreOwner, CallId, StoreRequest),
    /// Send a request to a worker.
    Worker {
        /// The worker.
        worker: WorkerId,
        /// Address of the worker.
        address: SocketAddr,
        /// Identifies the exchange.
        id: ExchangeId,
        /// The request.
        request: WorkerRequest,
    },
    /// Send a message to a peer.
    Peer(EntryId, PeerMessage),
    /// Answer a client.
    Answer(CallId, ClientAnswer),
    /// Grant slots to the router of this entry.
    Grant(ShareGrant),
    /// Report the upstreams that are leaving to the router of this entry.
    Leaving(BTreeSet<UpstreamId>),
    /// Report the other entries with free slots by service, most free slots first, to the router
    /// of this entry.
    PeerSlots(BTreeMap<ServiceId, Vec<EntryId>>),
}

/// Converts instants of the runtime's clock to the time of day.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WallClock {
    base: tokio::time::Instant,
    unix: UnixMillis,
}

impl WallClock {
    /// Creates a clock on which the time of day at `base` is `unix`.
    pub(crate) fn new(base: tokio::time::Instant, unix: UnixMillis) -> Self {
        Self { base, unix }
    }

    /// Milliseconds since the Unix epoch at `now`.
    pub(crate) fn unix(&self, now: tokio::time::Instant) -> UnixMillis {
        let passed = now.saturating_duration_since(self.base).as_millis();
        self.unix.saturating_add(u64::try_from(passed).unwrap_or(u64::MAX))
    }
}
