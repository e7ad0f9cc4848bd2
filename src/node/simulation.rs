//! Entries without listeners, for simulations of many of them on the clock of the runtime.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::graph::{GraphBounds, LeaderEpoch, RunCosts, ShardId, ShardPlan};
use crate::id::{DomainId, EntryId, Revision};
use crate::node::entry_store::EntryStore;
use crate::node::input::LeaderInput;
use crate::node::keys::PLAN_KEY;
use crate::node::message::{LeaderAnswer, LeaderCall};
use crate::node::own_leader::ask_own_leader;
use crate::node::process::EntryLoops;
use crate::node::settings::NodeSettings;
use crate::node::shared::NodeShared;
use crate::node::simulated_peers::SimulatedPeers;
use crate::node::simulated_store::{SimulatedStore, StoreRates};
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
    peers: SimulatedPeers,
    /// Number of clients so far: a restarted entry has a client of its own.
    clients: usize,
    settings: NodeSettings,
}

impl SimulatedFleet {
    /// Starts entries, which are distributed over failure domains of `shards` shards each, with a first configuration.
    pub async fn start(entries: usize, domains: usize, shards: u32) -> Self {
        let domains = domain_ids(domains);
        let plan = ShardPlan::by_domain(domains.iter().map(|id| (id.clone(), shards)).collect());
        let mut fleet = Self::new(domains, plan);
        for number in 0..entries {
            fleet.start_entry(number);
            sleep(START_INTERVAL).await;
        }
        fleet
    }

    /// Creates a deployment with one shard and without entries.
    pub fn undivided(domains: usize) -> Self {
        Self::new(domain_ids(domains), ShardPlan::undivided())
    }

    fn new(domains: Vec<DomainId>, plan: ShardPlan) -> Self {
        let store = SimulatedStore::start();
        store.put(PLAN_KEY, serde_json::to_vec(&plan).unwrap_or_default());
        let settings = settings(&domains);
        let (entries, peers) = (BTreeMap::new(), SimulatedPeers::default());
        let fleet = Self { store, plan, domains, entries, peers, clients: 0, settings };
        fleet.configure(1);
        fleet
    }

    /// Limits the calls to the store, as the settings of entries started from now on say.
    pub fn set_rates(&mut self, rates: StoreRates) {
        self.store.set_rates(rates);
        self.settings.store_reads = rates.reads.into();
    }

    /// The store of all entries.
    pub fn store(&self) -> &SimulatedStore {
        &self.store
    }

    /// Starts an entry, under a new client of the store.
    pub fn start_entry(&mut self, number: usize) {
        let is_strong = (number / self.domains.len()).is_multiple_of(STRONG_INTERVAL);
        let processor = if is_strong { STRONG_PROCESSOR } else { WEAK_PROCESSOR };
        self.start_machine(number, processor, self.settings.link_mbps);
    }

    /// Starts an entry on a machine with this processor, in cores, and with a link to the store of this bandwidth.
    pub fn start_on(&mut self, number: usize, processor: f64, link_mbps: f64) {
        self.store.set_link(self.clients + 1, link_mbps);
        self.start_machine(number, processor, link_mbps);
    }

    fn start_machine(&mut self, number: usize, processor: f64, link_mbps: f64) {
        // Nothing listens on the discard port.
        let address = Ipv4Addr::from(Ipv4Addr::new(127, 1, 0, 0).to_bits() + number as u32);
        let settings = NodeSettings {
            name: format!("entry-{number:04}").into(),
            domain: self.domains[number % self.domains.len()].clone(),
            peers: SocketAddr::from((address, 9)),
            processor,
            link_mbps,
            ..self.settings.clone()
        };
        self.clients += 1;
        let client = self.clients;
        let store = EntryStore::Simulated(self.store.client(client));
        let shared = Arc::new(NodeShared::simulated(settings, store, self.peers.clone()));
        self.peers.add(&shared);
        let loops = EntryLoops::spawn(&shared);
        self.entries.insert(number, SimulatedEntry { shared, loops, client });
    }

    /// Kills an entry: its loops end at once, and its lease some time later.
    pub fn kill_entry(&mut self, number: usize) {
        if let Some(entry) = self.entries.remove(&number) {
            self.store.kill(entry.client);
            self.peers.remove(entry.shared.settings.peers);
            entry.loops.abort();
        }
    }

    /// Begins the planned stop of an entry.
    pub fn stop_entry(&self, number: usize) {
        if let Some(entry) = self.entries.get(&number) {
            entry.shared.draining.send_replace(true);
        }
    }

    /// Epoch of the last election or handover of the only shard that an entry knows, with the number of the entry that
    /// leads it.
    pub fn term(&self, number: usize) -> Option<(LeaderEpoch, Option<usize>)> {
        let view = self.entries.get(&number)?.shared.members.borrow();
        let leader = view.leaders().next();
        let is_leader = |entry: &SimulatedEntry| {
            leader.is_some_and(|leader| leader.entry == entry.shared.settings.name)
        };
        let number = self.entries.iter().find(|(_, entry)| is_leader(entry));
        Some((view.shard(&ShardId::from("")).epoch, number.map(|(number, _)| *number)))
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

    /// Whether all leaders that any entry knows run.
    pub fn known_leaders_running(&self) -> bool {
        let running: BTreeSet<&EntryId> =
            self.entries.values().map(|entry| &entry.shared.settings.name).collect();
        let knows_running = |entry: &SimulatedEntry| {
            let view = entry.shared.members.borrow();
            view.leaders().all(|leader| running.contains(&leader.entry))
        };
        self.entries.values().all(knows_running)
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

    /// Number of an entry that leads a shard, if there is one.
    pub fn leader(&self) -> Option<usize> {
        self.entries.keys().copied().find(|number| self.leads(*number))
    }

    /// Time for which an entry, as leader of the only shard, waits for leases that earlier leaders may have extended;
    /// `None` if it does not lead.
    pub async fn inherited_lease_time(&self, number: usize) -> Option<Duration> {
        let leader = self.entries.get(&number)?.shared.leading(&ShardId::from(""))?;
        let (dump, dumped) = oneshot::channel();
        leader.send(LeaderInput::Dump(dump)).await;
        let millis = dumped.await.ok()?.get("inherited_leases_ms")?.as_u64()?;
        Some(Duration::from_millis(millis))
    }

    /// Whether an entry leads the only shard and has a lease that is recent enough to count its jobs.
    pub async fn acts_as_leader(&self, number: usize) -> bool {
        let Some(entry) = self.entries.get(&number) else {
            return false;
        };
        let call = LeaderCall::Pending("any".into());
        let answer = ask_own_leader(&entry.shared, &ShardId::from(""), call).await;
        matches!(answer, Some(LeaderAnswer::Pending(_)))
    }

    /// Whether an entry leads a shard.
    pub fn leads(&self, number: usize) -> bool {
        self.entries.get(&number).is_some_and(|entry| !entry.shared.led_shards().is_empty())
    }
}

fn domain_ids(domains: usize) -> Vec<DomainId> {
    (0..domains).map(|number| DomainId::from(format!("d{number}"))).collect()
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
        store_reads: 2_000.0,
        advisor: None,
        processor: WEAK_PROCESSOR,
        link_mbps: 1_000.0,
        descriptors: 4_096,
        requires_keys: false,
        grace: Duration::from_secs(6),
        leave_notice: Duration::from_secs(2),
        contact_time: Duration::from_secs(3),
        bounds: GraphBounds {
            max_lease: Duration::from_secs(6),
            retention: Duration::from_secs(120),
            lease_extension_window: Duration::from_secs(5),
            run_costs: RunCosts::default(),
            max_value_bytes: 1 << 20,
            worker_heartbeat: Duration::from_millis(1_500),
        },
    }
}
