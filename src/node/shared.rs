//! What the duties of a process share.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::graph::{QueueConfig, ShardId};
use crate::node::dependency::NodeDependencies;
use crate::node::handover_inbox::HandoverInbox;
use crate::node::input::LeaderInput;
use crate::node::settings::NodeSettings;
use crate::node::view::MemberView;
use crate::platform::{AdvisorClient, PlatformStore};
use crate::ring::RingSender;

/// Without an answer of the store for this long an entry is not ready: its configuration may be old.
const STORE_SILENCE: Duration = Duration::from_millis(4_000);
/// Without an answer of the store for this long other entries are asked: leases are renewed each 250 ms
/// and a slow store answers within 250 ms.
const STORE_LATE: Duration = Duration::from_millis(700);
/// Without an answer of the store, the leader or, for the leader, another failure domain for this long
/// an entry is not ready. The balancer needs two seconds more, and callers of a failure domain that is
/// cut off wait three seconds in all.
const REACH_SILENCE: Duration = Duration::from_millis(1_000);

/// Without an answer of the store for this long, no new leader is expected: leases are renewed each
/// 250 ms.
const ELECTION_SILENCE: Duration = Duration::from_millis(1_500);

/// Shared by all duties.
pub(crate) struct NodeShared {
    pub(crate) settings: NodeSettings,
    /// Tells this start of the entry from any other.
    pub(crate) start: u64,
    pub(crate) store: PlatformStore,
    pub(crate) advisor: Option<AdvisorClient>,
    /// How tries of the store, the leader and the advisor go.
    pub(crate) dependencies: NodeDependencies,
    pub(crate) config: watch::Sender<Option<Arc<QueueConfig>>>,
    pub(crate) members: watch::Sender<MemberView>,
    pub(crate) draining: watch::Sender<bool>,
    /// Leadership that leaving leaders give to this entry.
    pub(crate) handover_inbox: HandoverInbox,
    /// Inputs that leaders of this process have taken.
    leader_inputs: AtomicU64,
    leading: Mutex<BTreeMap<ShardId, RingSender<LeaderInput>>>,
    store_answered: Mutex<Option<Instant>>,
    /// When the leader answered last, or any other entry where this one leads.
    peer_answered: Mutex<Option<Instant>>,
}

impl NodeShared {
    pub(crate) fn new(settings: NodeSettings) -> Self {
        Self {
            start: rand::random::<u32>().into(),
            store: PlatformStore::new(settings.store),
            advisor: settings.advisor.map(AdvisorClient::new),
            settings,
            dependencies: NodeDependencies::new(),
            config: watch::Sender::new(None),
            members: watch::Sender::new(MemberView::default()),
            draining: watch::Sender::new(false),
            handover_inbox: HandoverInbox::default(),
            leader_inputs: AtomicU64::new(0),
            leading: Mutex::new(BTreeMap::new()),
            store_answered: Mutex::new(None),
            peer_answered: Mutex::new(None),
        }
    }

    /// Sets or ends the way to the leader's duty of this process for a shard.
    pub(crate) fn set_leading(&self, shard: &ShardId, input: Option<RingSender<LeaderInput>>) {
        let mut leading = lock(&self.leading);
        match input {
            Some(input) => leading.insert(shard.clone(), input),
            None => leading.remove(shard),
        };
    }

    /// The way to the leader's duty for a shard, if this process leads it.
    pub(crate) fn leading(&self, shard: &ShardId) -> Option<RingSender<LeaderInput>> {
        lock(&self.leading).get(shard).cloned()
    }

    /// A leader of this process has taken an input.
    pub(crate) fn note_leader_input(&self) {
        self.leader_inputs.fetch_add(1, Ordering::Relaxed);
    }

    /// Inputs that leaders of this process have taken.
    pub(crate) fn leader_inputs(&self) -> u64 {
        self.leader_inputs.load(Ordering::Relaxed)
    }

    /// All shards that this process leads.
    pub(crate) fn led_shards(&self) -> Vec<ShardId> {
        lock(&self.leading).keys().cloned().collect()
    }

    /// The store has answered a duty.
    pub(crate) fn note_store(&self, duty: &str) {
        self.dependencies.store.answered(duty);
        *lock(&self.store_answered) = Some(Instant::now());
    }

    /// The leader has answered, or another entry where this one leads.
    pub(crate) fn note_peer(&self) {
        *lock(&self.peer_answered) = Some(Instant::now());
    }

    /// Whether the store has been silent for long enough to ask other entries.
    pub(crate) fn store_is_late(&self) -> bool {
        !heard(&self.store_answered, STORE_LATE)
    }

    /// Whether the store has answered so lately that an election can be expected to succeed.
    pub(crate) fn store_is_heard(&self) -> bool {
        heard(&self.store_answered, ELECTION_SILENCE)
    }

    /// Whether the store, the leader or, for the leader, another failure domain has been heard lately.
    pub(crate) fn reaches_others(&self) -> bool {
        heard(&self.store_answered, REACH_SILENCE) || heard(&self.peer_answered, REACH_SILENCE)
    }

    /// Whether this entry can serve callers.
    pub(crate) fn ready(&self) -> bool {
        let current = heard(&self.store_answered, STORE_SILENCE);
        let reached = self.reaches_others();
        let view = self.members.borrow();
        let led = !self.led_shards().is_empty() || view.leaders().next().is_some();
        let divided = view.plan.is_some();
        current
            && reached
            && led
            && divided
            && self.config.borrow().is_some()
            && !*self.draining.borrow()
    }
}

/// Whether an answer came within a time.
fn heard(answered: &Mutex<Option<Instant>>, within: Duration) -> bool {
    lock(answered).is_some_and(|at| at.elapsed() < within)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
