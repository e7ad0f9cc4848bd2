//! State shared by the loops of a process.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use log::info;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::graph::{QueueConfig, ShardId};
use crate::id::Revision;
use crate::node::availability::{StoreAvailability, notices_silence_late, short_watch_wait};
use crate::node::dependency::NodeDependencies;
use crate::node::entry_store::EntryStore;
use crate::node::handover_inbox::HandoverInbox;
use crate::node::input::LeaderInput;
use crate::node::peers::PeerNetwork;
use crate::node::records::LeaderProcess;
use crate::node::settings::NodeSettings;
use crate::node::simulated_peers::SimulatedPeers;
use crate::node::view::MemberView;
use crate::platform::{AdvisorClient, PlatformStore};
use crate::ring::RingSender;

/// An entry without an answer of the store for this long is not ready, as its configuration may be out of date.
const STORE_SILENCE_LIMIT: Duration = Duration::from_millis(4_000);
/// After this long without an answer of the store, other entries are called instead: leases are renewed every 250 ms,
/// and a slow store answers within 250 ms.
const STORE_LATE_LIMIT: Duration = Duration::from_millis(700);
/// An entry without an answer for this long of the store, the leader or, if it leads, another failure domain is not
/// ready. The load balancer takes two more seconds to notice, so callers of a cut-off failure domain wait three seconds
/// in all.
const REACH_SILENCE_LIMIT: Duration = Duration::from_millis(1_000);

/// After this long without an answer of the store, no election is expected to succeed: leases are renewed every 250 ms.
const ELECTION_SILENCE_LIMIT: Duration = Duration::from_millis(1_500);

/// State shared by all loops.
pub(crate) struct NodeShared {
    pub(crate) settings: NodeSettings,
    /// Random id of this start of the entry's process.
    pub(crate) start: u64,
    most_entries: AtomicUsize,
    pub(crate) store: EntryStore,
    pub(crate) network: PeerNetwork,
    pub(crate) store_availability: StoreAvailability,
    pub(crate) advisor: Option<AdvisorClient>,
    /// Results of calls to the store, the leader and the advisor.
    pub(crate) dependencies: NodeDependencies,
    pub(crate) config: watch::Sender<Option<Arc<QueueConfig>>>,
    /// Whether the store failed the last call for the configuration.
    config_unread: AtomicBool,
    pub(crate) members: watch::Sender<MemberView>,
    pub(crate) draining: watch::Sender<bool>,
    /// Terms that leaders hand over to this entry when they step down.
    pub(crate) handover_inbox: HandoverInbox,
    /// Number of inputs that leader loops of this process have handled.
    leader_inputs: AtomicU64,
    leading: Mutex<BTreeMap<ShardId, RingSender<LeaderInput>>>,
    store_answered: Mutex<Option<Instant>>,
    /// Time of the last answer of the leader or, if this entry leads, of any other entry.
    peer_answered: Mutex<Option<Instant>>,
}

impl NodeShared {
    pub(crate) fn new(settings: NodeSettings) -> Self {
        let store = EntryStore::Platform(Box::new(PlatformStore::new(settings.store)));
        Self::with_store(settings, store)
    }

    /// This process as a leader.
    pub(crate) fn process(&self) -> LeaderProcess {
        (self.settings.name.clone(), self.start)
    }

    /// Like [`Self::new`], with a store other than that of the settings.
    pub(crate) fn with_store(settings: NodeSettings, store: EntryStore) -> Self {
        Self {
            start: rand::random::<u32>().into(),
            most_entries: AtomicUsize::new(0),
            store,
            network: PeerNetwork::Listeners,
            store_availability: StoreAvailability::default(),
            advisor: settings.advisor.map(AdvisorClient::new),
            settings,
            dependencies: NodeDependencies::new(),
            config: watch::Sender::new(None),
            config_unread: AtomicBool::new(false),
            members: watch::Sender::new(MemberView::default()),
            draining: watch::Sender::new(false),
            handover_inbox: HandoverInbox::default(),
            leader_inputs: AtomicU64::new(0),
            leading: Mutex::new(BTreeMap::new()),
            store_answered: Mutex::new(None),
            peer_answered: Mutex::new(None),
        }
    }

    /// Like [`Self::with_store`], with other entries that are called within a simulation.
    pub(crate) fn simulated(
        settings: NodeSettings,
        store: EntryStore,
        peers: SimulatedPeers,
    ) -> Self {
        Self { network: PeerNetwork::Simulated(peers), ..Self::with_store(settings, store) }
    }

    /// Records whether the store answered a call for the configuration.
    pub(crate) fn note_config_read(&self, answered: bool) {
        self.config_unread.store(!answered, Ordering::Relaxed);
    }

    /// Whether the configuration may be out of date, as the store does not answer this entry.
    pub(crate) fn may_miss_config(&self) -> bool {
        self.config_unread.load(Ordering::Relaxed) || self.store_answer_overdue()
    }

    /// Whether there are so many entries for the rates of the store that a watch which has gone silent is noticed late.
    pub(crate) fn notices_silence_late(&self) -> bool {
        notices_silence_late(&self.settings, self.known_entries())
    }

    /// How long a watch of the configuration or of the leaders waits.
    pub(crate) fn short_watch_wait(&self) -> Duration {
        short_watch_wait(&self.settings, self.known_entries())
    }

    /// Largest number of entries that this one has known. While calls beyond the store's rates are refused, leases end,
    /// and the number of entries that are registered falls though all of them run.
    fn known_entries(&self) -> usize {
        let entries = self.members.borrow().entries.len();
        self.most_entries.fetch_max(entries, Ordering::Relaxed).max(entries)
    }

    /// Version of the current configuration.
    pub(crate) fn config_version(&self) -> Option<Revision> {
        self.config.borrow().as_ref().map(|config| config.version)
    }

    /// Applies a configuration unless the current one has the same or a later version. `source` is what it was received
    /// from.
    pub(crate) fn apply_config(&self, config: QueueConfig, source: &'static str) {
        let before = self.config_version();
        if before.is_some_and(|before| before >= config.version) {
            return;
        }
        let (version, queues) = (config.version, config.queues.len());
        let workspaces = config.workspaces.len();
        info!(version, before:? = before, queues, workspaces, source; "configuration applied");
        metrics::gauge!("kelplink_config_version").set(config.version as f64);
        self.config.send_replace(Some(Arc::new(config)));
    }

    /// Sets or removes the input of this process's leader loop for a shard.
    pub(crate) fn set_leading(&self, shard: &ShardId, input: Option<RingSender<LeaderInput>>) {
        let mut leading = lock(&self.leading);
        match input {
            Some(input) => leading.insert(shard.clone(), input),
            None => leading.remove(shard),
        };
    }

    /// Returns the input of the leader loop for a shard, if this process leads it.
    pub(crate) fn leading(&self, shard: &ShardId) -> Option<RingSender<LeaderInput>> {
        lock(&self.leading).get(shard).cloned()
    }

    /// Counts an input that a leader loop of this process has handled.
    pub(crate) fn note_leader_input(&self) {
        self.leader_inputs.fetch_add(1, Ordering::Relaxed);
    }

    /// Number of inputs that leader loops of this process have handled.
    pub(crate) fn leader_inputs(&self) -> u64 {
        self.leader_inputs.load(Ordering::Relaxed)
    }

    /// All shards that this process leads.
    pub(crate) fn led_shards(&self) -> Vec<ShardId> {
        lock(&self.leading).keys().cloned().collect()
    }

    /// Records an answer of the store to a loop.
    pub(crate) fn note_store_answer(&self, log_name: &str) {
        self.dependencies.store.answered(log_name);
        *lock(&self.store_answered) = Some(Instant::now());
    }

    /// Records an answer of the leader or, if this entry leads, of another entry.
    pub(crate) fn note_peer_answer(&self) {
        *lock(&self.peer_answered) = Some(Instant::now());
    }

    /// Whether the store has not answered for long enough to call other entries instead.
    pub(crate) fn store_answer_overdue(&self) -> bool {
        !answered_within(&self.store_answered, STORE_LATE_LIMIT)
    }

    /// Whether the store has answered recently enough for an election to be expected to succeed.
    pub(crate) fn store_answers_recently(&self) -> bool {
        answered_within(&self.store_answered, ELECTION_SILENCE_LIMIT)
    }

    /// Whether the store, the leader or, if this entry leads, another failure domain has answered recently.
    pub(crate) fn reaches_others(&self) -> bool {
        answered_within(&self.store_answered, REACH_SILENCE_LIMIT)
            || answered_within(&self.peer_answered, REACH_SILENCE_LIMIT)
    }

    /// Whether this entry can serve callers.
    pub(crate) fn ready(&self) -> bool {
        let store_answers = answered_within(&self.store_answered, STORE_SILENCE_LIMIT);
        let is_reachable = self.reaches_others();
        let view = self.members.borrow();
        let has_leader = !self.led_shards().is_empty() || view.leaders().next().is_some();
        let has_plan = view.plan.is_some();
        store_answers
            && is_reachable
            && has_leader
            && has_plan
            && self.config.borrow().is_some()
            && !*self.draining.borrow()
    }
}

/// Whether the last answer is more recent than `within`.
fn answered_within(answered: &Mutex<Option<Instant>>, within: Duration) -> bool {
    lock(answered).is_some_and(|at| at.elapsed() < within)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
