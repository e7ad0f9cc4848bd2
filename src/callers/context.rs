//! State shared by all requests of an entry.

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

/// Inputs of the callers' thread.
#[derive(Debug)]
pub(crate) enum CallerInput {
    /// Upstream slots granted to this entry's router.
    Grant(ShareGrant),
    /// Upstreams that are leaving the cluster.
    Leaving(BTreeSet<UpstreamId>),
    /// Other entries with free slots, by service.
    PeerSlots(BTreeMap<ServiceId, Vec<EntryId>>),
    /// The configuration now in force.
    Config(Arc<ConfigRevision>),
    /// Asks for the router's state.
    Dump(oneshot::Sender<serde_json::Value>),
    /// Ends the thread after the requests in flight have finished.
    Stop,
    /// Ends the thread at once.
    Kill,
}

/// The router and the requests that wait for its decision.
#[derive(Debug)]
pub(crate) struct RouterState {
    pub(crate) router: RequestRouter,
    pub(crate) waiting: BTreeMap<u64, oneshot::Sender<RouteAction>>,
    pub(crate) peer_slots: BTreeMap<ServiceId, Vec<EntryId>>,
    /// Connection pools by upstream; a pool is replaced after an attempt without an answer.
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

    /// Passes the router's decisions to the waiting requests. A slot whose request no longer waits is
    /// given back to the router.
    pub(crate) fn notify_waiters(&mut self, actions: Vec<RouteAction>) {
        for action in actions {
            let id = match &action {
                RouteAction::Send(id, _) | RouteAction::Reject(id, ..) => *id,
            };
            let undelivered = match self.waiting.remove(&id) {
                Some(sender) => sender.send(action).err(),
                None => Some(action),
            };
            if let Some(RouteAction::Send(_, spec)) = undelivered {
                let outcome = crate::routing::RouteOutcome::Abandoned;
                let elapsed = std::time::Duration::ZERO;
                let more_actions = self.router.finish(Instant::now(), &spec.id, outcome, elapsed);
                self.notify_waiters(more_actions);
            }
        }
    }
}

/// Defaults for the requests to a service, from the service's intent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceDefaults {
    pub(crate) urgency: Urgency,
    pub(crate) idempotent: bool,
}

/// Context shared by all requests of an entry.
#[derive(Clone)]
pub(crate) struct CallerContext {
    pub(crate) entry: EntryId,
    /// Number that differs between starts of the process.
    pub(crate) boot: u64,
    pub(crate) router_state: Arc<Mutex<RouterState>>,
    pub(crate) control: ControlHandle,
    pub(crate) limits: LimitSettings,
    pub(crate) next_request: Arc<AtomicU64>,
    pub(crate) peers: Arc<BTreeMap<EntryId, SocketAddr>>,
    /// Connection pool for the other entries.
    pub(crate) peer_client: HttpClient,
    /// All failure domains.
    pub(crate) domains: Arc<[DomainId]>,
}

impl UnwindSafe for CallerContext {}
impl RefUnwindSafe for CallerContext {}
impl StateData for CallerContext {}

impl CallerContext {
    /// Locks the router's state. A panic of another thread that held the lock is ignored.
    pub(crate) fn router_state(&self) -> MutexGuard<'_, RouterState> {
        self.router_state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the defaults from the intent of a service, or `None` if there is no such intent.
    pub(crate) fn defaults(&self, service: &ServiceId) -> Option<ServiceDefaults> {
        let config = self.router_state().config.clone();
        let intent = config.intents.get(service)?;
        Some(ServiceDefaults { urgency: intent.spec.urgency, idempotent: intent.spec.idempotent })
    }
}
