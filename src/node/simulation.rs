//! Entries without listeners, for simulations of many of them on the clock of the runtime.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::graph::{GraphBounds, RunCosts, ShardPlan};
use crate::id::{DomainId, Revision};
use crate::node::entry_store::EntryStore;
use crate::node::keys::PLAN_KEY;
use crate::node::process::EntryLoops;
use crate::node::settings::NodeSettings;
use crate::node::shared::NodeShared;
use crate::node::simulated_store::SimulatedStore;
use crate::platform::CONFIG_KEY;

/// Processor of the strong machines, in cores; one entry in [`STRONG_INTERVAL`] runs on one.
const STRONG_PROCESSOR: f64 = 1.0;
/// Processor of all other machines, in cores.
const WEAK_PROCESSOR: f64 = 0.12;
/// Time between the starts of two entries: their renewals are spread, and so are the ends of their leases.
const START_INTERVAL: Duration = Duration::from_micros(1_700);
/// Interval between entries on strong machines.
const STRONG_INTERVAL: usize = 10;

/// An entry of a simulation.
struct SimulatedEntry {
    shared: Arc<NodeShared>,
    loops: EntryLoops,
    /// Number of its client of the store.
    client: usize,
}

/// Entries that share a simulated store. They have no listeners, so calls between them fail.
pub struct SimulatedFleet {
    store: Arc<SimulatedStore>,
    plan: ShardPlan,
    domains: Vec<DomainId>,
    entries: BTreeMap<usize, SimulatedEntry>,
    /// Number of clients so far: a restarted entry has a client of its own.
    clients: usize,
    settings: NodeSettings,
}

impl SimulatedFleet {
    /// Starts entries, which are distributed over failure domains of `shards` shards each, with a first configuration.
    pub async fn start(entries: usize, domains: usize, shards: u32) -> Self {
        let store = SimulatedStore::start();
        let domains: Vec<DomainId> =
            (0..domains).map(|number| DomainId::from(format!("d{number}"))).collect();
        let plan = ShardPlan::by_domain(domains.iter().map(|id| (id.clone(), shards)).collect());
        store.put(PLAN_KEY, serde_json::to_vec(&plan).unwrap_or_default());
        let settings = settings(&domains);
        let mut fleet =
            Self { store, plan, domains, entries: BTreeMap::new(), clients: 0, settings };
        fleet.configure(1);
        for number in 0..entries {
            fleet.start_entry(number);
            sleep(START_INTERVAL).await;
        }
        fleet
    }

    /// The store of all entries.
    pub fn store(&self) -> &SimulatedStore {
        &self.store
    }

    /// Starts an entry, under a new client of the store.
    pub fn start_entry(&mut self, number: usize) {
        let domain = self.domains[number % self.domains.len()].clone();
        let is_strong = (number / self.domains.len()).is_multiple_of(STRONG_INTERVAL);
        let settings = NodeSettings {
            name: format!("entry-{number:04}").into(),
            domain,
            processor: if is_strong { STRONG_PROCESSOR } else { WEAK_PROCESSOR },
            ..self.settings.clone()
        };
        self.clients += 1;
        let client = self.clients;
        let store = EntryStore::Simulated(self.store.client(client));
        let shared = Arc::new(NodeShared::with_store(settings, store));
        let loops = EntryLoops::spawn(&shared);
        self.entries.insert(number, SimulatedEntry { shared, loops, client });
    }

    /// Kills an entry: its loops end at once, and its lease some time later.
    pub fn kill_entry(&mut self, number: usize) {
        if let Some(entry) = self.entries.remove(&number) {
            self.store.kill(entry.client);
            entry.loops.abort();
        }
    }

    /// Number of an entry's client of the store.
    pub fn client(&self, number: usize) -> Option<usize> {
        self.entries.get(&number).map(|entry| entry.client)
    }

    /// Writes a configuration without queues.
    pub fn configure(&self, version: Revision) {
        self.store.put(CONFIG_KEY, format!("{{\"version\":{version}}}"));
    }

    /// Number of entries that have this configuration or a later one.
    pub fn configured(&self, version: Revision) -> usize {
        let has_version = |entry: &&SimulatedEntry| entry.shared.config_version() >= Some(version);
        self.entries.values().filter(has_version).count()
    }

    /// Number of entries that know the leaders of all shards.
    pub fn led(&self) -> usize {
        let shards = self.plan.shards();
        let knows_leaders = |entry: &&SimulatedEntry| {
            let view = entry.shared.members.borrow();
            shards.iter().all(|shard| view.leader(shard).is_some())
        };
        self.entries.values().filter(knows_leaders).count()
    }

    /// Number of entries that know exactly the entries that run.
    pub fn informed(&self) -> usize {
        let knows_all = |entry: &&SimulatedEntry| {
            let view = entry.shared.members.borrow();
            // Both are in the order of the entries' names.
            let running = self.entries.values().map(|entry| &entry.shared.settings.name);
            view.entries.len() == self.entries.len() && view.entries.keys().eq(running)
        };
        self.entries.values().filter(knows_all).count()
    }

    /// Number of entries that run.
    pub fn running(&self) -> usize {
        self.entries.len()
    }

    /// Whether an entry leads a shard.
    pub fn leads(&self, number: usize) -> bool {
        self.entries.get(&number).is_some_and(|entry| !entry.shared.led_shards().is_empty())
    }
}

fn settings(domains: &[DomainId]) -> NodeSettings {
    // Nothing listens on the discard port.
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
    NodeSettings {
        name: "".into(),
        domain: "".into(),
        domains: domains.to_vec(),
        callers: address,
        ready: address,
        peers: address,
        metrics: address,
        store: address,
        advisor: None,
        processor: WEAK_PROCESSOR,
        link_mbps: 1_000.0,
        descriptors: 4_096,
        requires_keys: false,
        grace: Duration::from_secs(6),
        bounds: GraphBounds {
            max_lease: Duration::from_secs(6),
            retention: Duration::from_secs(120),
            lease_extension_window: Duration::from_secs(5),
            run_costs: RunCosts::default(),
        },
    }
}
