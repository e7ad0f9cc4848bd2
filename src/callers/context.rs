//! What all requests of an entry share.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::panic::{RefUnwindSafe, UnwindSafe};
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use gotham::state::StateData;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::client::HttpClient;
use crate::config::ConfigRevision;
use crate::entry::ControlHandle;
use crate::id::{DomainId, EntryId, ServiceId, UpstreamId};
use crate::intent::Urgency;
use crate::routing::{RequestRouter, RouteAction, ShareGrant};
use crate::settings::LimitSettings;

/// What comes to this thread.
#[derive(Debug)]
pub(crate) enum CallerInput {
    /// Slots for the router.
    Grant(ShareGrant),
    /// Upstreams that are leaving.
    Leaving(BTreeSet<UpstreamId>),
    /// Other entries with free slots by service.
    PeerSlots(BTreeMap<ServiceId, Vec<EntryId>>),
    /// A configuration in force.
    Config(Arc<ConfigRevision>),
    /// Tell the router's state.
    Dump(oneshot::Sender<serde_json::Value>),
    /// End the thread once requests in flight have ended.
    Stop,
    /// End the thread at once.
    Kill,
}

/// The router with those who wait for its word.
#[derive(Debug)]
pub(crate) struct RouterState {
    pub(crate) router: RequestRouter,
    pub(crate) waiting: BTreeMap<u64, oneshot::Sender<RouteAction>>,
    pub(crate) peer_slots: BTreeMap<ServiceId, Vec<EntryId>>,
    /// Connections by upstream; renewed when one goes silent.
    pub(crate) pools: BTreeMap<UpstreamId, HttpClient>,
    /// The configuration in force.
    pub(crate) config: Arc<ConfigRevision>,
}

impl RouterState {
    pub(crate) fn new(router: RequestRouter) -> Self {
        Self {
            router,
            waiting: BTreeMap::new(),
            peer_slots: BTreeMap::new(),
            pools: BTreeMap::new(),
            config: Arc::default(),
        }
    }

    /// Passes the router's word on to those who wait for it.
    pub(crate) fn notify_waiters(&mut self, actions: Vec<RouteAction>) {
        for action in actions {
            let id = match &action {
                RouteAction::Send(id, _) | RouteAction::Reject(id, ..) => *id,
            };
            let left = match self.waiting.remove(&id) {
                Some(sender) => sender.send(action).err(),
                None => Some(action),
            };
            if let Some(RouteAction::Send(_, spec)) = left {
                let outcome = crate::routing::RouteOutcome::Abandoned;
                let time = std::time::Duration::ZERO;
                let more = self.router.finish(Instant::now(), &spec.id, outcome, time);
                self.notify_waiters(more);
            }
        }
    }
}

/// What a caller's service is like, as its intent says.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceDefaults {
    pub(crate) urgency: Urgency,
    pub(crate) idempotent: bool,
}

/// Shared by all requests of an entry.
#[derive(Clone)]
pub(crate) struct CallerContext {
    pub(crate) entry: EntryId,
    pub(crate) boot: u64,
    pub(crate) router_state: Arc<Mutex<RouterState>>,
    pub(crate) calls: ControlHandle,
    pub(crate) limits: LimitSettings,
    pub(crate) next_request: Arc<AtomicU64>,
    pub(crate) peers: Arc<BTreeMap<EntryId, SocketAddr>>,
    /// Connections to other entries.
    pub(crate) peer_client: HttpClient,
    /// All failure domains.
    pub(crate) domains: Arc<[DomainId]>,
}

impl UnwindSafe for CallerContext {}
impl RefUnwindSafe for CallerContext {}
impl StateData for CallerContext {}

impl CallerContext {
    /// The router; a thread that panicked while it held it leaves it usable.
    pub(crate) fn router_state(&self) -> MutexGuard<'_, RouterState> {
        self.router_state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What the intent of a service says; `None` where there is no such intent.
    pub(crate) fn defaults(&self, service: &ServiceId) -> Option<ServiceDefaults> {
        let config = self.router_state().config.clone();
        let intent = config.intents.get(service)?;
        Some(ServiceDefaults { urgency: intent.spec.urgency, idempotent: intent.spec.idempotent })
    }
}
