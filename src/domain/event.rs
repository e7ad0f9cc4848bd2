//! What comes into the controllers of a failure domain and what goes out of them.

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

/// Who an entry is and whom it knows.
#[derive(Clone, Debug)]
pub struct EntryIdentity {
    /// Its name.
    pub entry: EntryId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Tells this start of the process from earlier ones; later starts have higher numbers.
    pub boot: u64,
    /// All other entries with their failure domains.
    pub peers: Vec<(EntryId, DomainId)>,
    /// Time bounds.
    pub timing: TimingSettings,
}

impl EntryIdentity {
    /// All failure domains in order of name.
    pub fn domains(&self) -> Vec<DomainId> {
        let own = std::iter::once(&self.domain);
        let all: BTreeSet<_> = self.peers.iter().map(|(_, domain)| domain).chain(own).collect();
        all.into_iter().cloned().collect()
    }

    /// All entries of the own failure domain in order of name, itself included.
    pub fn domain_entries(&self) -> Vec<EntryId> {
        let near = self.peers.iter().filter(|(_, domain)| *domain == self.domain);
        let all: BTreeSet<_> = near.map(|(entry, _)| entry).chain([&self.entry]).collect();
        all.into_iter().cloned().collect()
    }
}

/// What a VM is for.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(tag = "role", rename_all = "kebab-case")]
pub enum VmRole {
    /// Runs tasks.
    Worker {
        /// All that it has.
        capacity: ResourceVector,
    },
    /// Answers requests of a service.
    Upstream {
        /// The service, `workspace/name`.
        service: ServiceId,
        /// Requests that it works on at a time.
        slots: u32,
    },
}

/// A VM as the platform lists it, with a lag.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct VmRecord {
    /// Its name.
    pub id: String,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its rack.
    pub rack: RackId,
    /// Where it answers.
    pub address: SocketAddr,
    /// Whether it is about to go.
    pub leaving: bool,
    /// What it is for.
    #[serde(flatten)]
    pub role: VmRole,
}

/// Which controller made a call to the store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum StoreOwner {
    /// Leadership.
    Leadership,
    /// The ledger's journal.
    Journal,
    /// The configuration.
    Config,
    /// Quotas.
    Quota,
    /// Moves of tasks between failure domains.
    Moves,
}

/// What comes in.
#[derive(Clone, Debug)]
pub enum DomainEvent {
    /// Time passes.
    Tick,
    /// The outcome of a call to the store.
    Store(StoreOwner, CallId, StoreOutcome),
    /// The watch on the configuration showed the head.
    Head(Option<StoredValue>),
    /// A worker's reply; `None` when none came.
    Worker(WorkerId, ExchangeId, Option<WorkerReply>),
    /// The platform's list of VMs.
    Vms(Vec<VmRecord>),
    /// A message of a peer.
    Peer(EntryId, PeerMessage),
    /// The process of a peer is surely gone: its port refuses connections.
    PeerGone(EntryId),
    /// A call of a client.
    Call(CallId, ClientCall),
    /// The own router asks for slots and tells which it has free.
    Demand(DemandReport, BTreeMap<ServiceId, u32>),
    /// A planned stop begins.
    Leave,
}

/// What goes out.
#[derive(Clone, Debug)]
pub enum DomainAction {
    /// Make this call to the store.
    Store(StoreOwner, CallId, StoreRequest),
    /// Send this to a worker.
    Worker {
        /// The worker.
        worker: WorkerId,
        /// Where it is.
        address: SocketAddr,
        /// Number of the exchange.
        id: ExchangeId,
        /// The request.
        request: WorkerRequest,
    },
    /// Send this to a peer.
    Peer(EntryId, PeerMessage),
    /// Answer a client.
    Answer(CallId, ClientAnswer),
    /// Slots for the own router.
    Grant(ShareGrant),
    /// Upstreams that are leaving, for the own router.
    Leaving(BTreeSet<UpstreamId>),
    /// Other entries with free slots by service, for the own router; most first.
    PeerSlots(BTreeMap<ServiceId, Vec<EntryId>>),
}

/// Time of day together with the runtime's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WallClock {
    base: tokio::time::Instant,
    unix: UnixMillis,
}

impl WallClock {
    /// Ties the time of day to a point of the runtime's clock.
    pub(crate) fn new(base: tokio::time::Instant, unix: UnixMillis) -> Self {
        Self { base, unix }
    }

    /// Milliseconds since the Unix epoch at `now`.
    pub(crate) fn unix(&self, now: tokio::time::Instant) -> UnixMillis {
        let passed = now.saturating_duration_since(self.base).as_millis();
        self.unix.saturating_add(u64::try_from(passed).unwrap_or(u64::MAX))
    }
}
