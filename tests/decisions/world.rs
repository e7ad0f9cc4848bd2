//! Simulation of several entries: their controllers, models of the store and the workers, and message
//! delivery with faults.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use kelplink::{
    ClientAnswer, ClientCall, DomainAction, DomainController, DomainEvent, DomainId, EntryId,
    EntryIdentity, JobId, PeerMessage, RequestRouter, ResourceVector, Revision, StoreFault,
    StoreModel, StoreOutcome, StoreOwner, StoreRequest, TaskId, TimingSettings, UpstreamId,
    VmRecord, VmRole, WorkerId, WorkerModel, WorkerReply, WorkerRequest,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

/// Simulated time between two ticks.
const STEP: Duration = Duration::from_millis(25);
/// Number of slots of each upstream.
const SLOTS: u32 = 8;
/// Time of day at the start, in milliseconds since the Unix epoch.
const START_UNIX_MS: u64 = 1_800_000_000_000;

/// Faults of message delivery.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DeliveryFaults {
    /// Probability that a message is lost.
    pub(crate) lost: f64,
    /// Probability that a message is delayed by up to `late_by`.
    pub(crate) late: f64,
    /// Probability that a message to a peer is delivered twice.
    pub(crate) twice: f64,
    /// Maximum delay.
    pub(crate) late_by: Duration,
}

#[derive(Debug)]
enum Delivery {
    Event(EntryId, u64, Box<DomainEvent>),
    Store(EntryId, u64, StoreOwner, u64, StoreRequest, bool),
    Worker(EntryId, u64, WorkerId, u64, Box<WorkerRequest>, bool),
}

struct QueuedDelivery(Instant, u64, Delivery);

impl PartialEq for QueuedDelivery {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for QueuedDelivery {}
impl PartialOrd for QueuedDelivery {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for QueuedDelivery {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// One entry: its controllers and its router.
pub(crate) struct Entry {
    pub(crate) controller: DomainController,
    pub(crate) router: RequestRouter,
    pub(crate) paused: bool,
    boot: u64,
    next_report: Instant,
    next_vms: Instant,
    seen_head: u64,
    queued_deliveries: Vec<Delivery>,
}

/// The simulated cluster.
pub(crate) struct World {
    pub(crate) now: Instant,
    pub(crate) rng: StdRng,
    pub(crate) store: StoreModel,
    pub(crate) entries: BTreeMap<EntryId, Entry>,
    pub(crate) workers: BTreeMap<WorkerId, WorkerModel>,
    pub(crate) faults: DeliveryFaults,
    /// Failure domains that are cut off from all others and from the platform.
    pub(crate) cut_domains: BTreeSet<DomainId>,
    /// Workers that no entry can reach.
    pub(crate) cut_workers: BTreeSet<WorkerId>,
    /// Entries that cannot reach the store.
    pub(crate) cut_from_store: BTreeSet<EntryId>,
    pub(crate) vms: Vec<VmRecord>,
    pub(crate) answers: BTreeMap<u64, ClientAnswer>,
    pub(crate) non_idempotent_jobs: BTreeSet<JobId>,
    pub(crate) quotas: BTreeMap<String, ResourceVector>,
    pub(crate) steps: u64,
    domains: BTreeMap<EntryId, DomainId>,
    worker_domains: BTreeMap<WorkerId, DomainId>,
    queue: BinaryHeap<Reverse<QueuedDelivery>>,
    sequence: u64,
    next_call: u64,
    boot_count: u64,
    start: Instant,
    revisions: BTreeMap<EntryId, Revision>,
    checked_runs: BTreeMap<WorkerId, usize>,
    run_counts: BTreeMap<TaskId, u32>,
}

impl World {
    pub(crate) fn new(seed: u64, domains: usize, entries: usize, workers: usize) -> Self {
        let now = Instant::now();
        let mut world = Self {
            now,
            rng: StdRng::seed_from_u64(seed),
            store: StoreModel::new(),
            entries: BTreeMap::new(),
            workers: BTreeMap::new(),
            faults: DeliveryFaults::default(),
            cut_domains: BTreeSet::new(),
            cut_workers: BTreeSet::new(),
            cut_from_store: BTreeSet::new(),
            vms: Vec::new(),
            answers: BTreeMap::new(),
            non_idempotent_jobs: BTreeSet::new(),
            quotas: BTreeMap::new(),
            steps: 0,
            domains: BTreeMap::new(),
            worker_domains: BTreeMap::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            next_call: 0,
            boot_count: 0,
            start: now,
            revisions: BTreeMap::new(),
            checked_runs: BTreeMap::new(),
            run_counts: BTreeMap::new(),
        };
        for domain in ["a", "b", "c"].iter().take(domains) {
            for number in 0..entries {
                world.domains.insert(format!("{domain}{number}").into(), (*domain).into());
            }
            for number in 0..workers {
                world.add_worker(domain, number);
            }
            world.add_upstream(domain);
        }
        for entry in world.domains.keys().cloned().collect::<Vec<_>>() {
            world.start(&entry);
        }
        world
    }

    fn add_worker(&mut self, domain: &str, number: usize) {
        let id = format!("{domain}-w{number}");
        let accelerators = if number % 2 == 1 { 2 } else { 0 };
        let capacity = ResourceVector::new(8_000, 16_000, accelerators);
        self.workers.insert(id.as_str().into(), WorkerModel::new(self.now, capacity));
        self.worker_domains.insert(id.as_str().into(), domain.into());
        self.vms.push(VmRecord {
            id,
            domain: domain.into(),
            rack: format!("{domain}-rack{}", number / 2).into(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            leaving: false,
            role: VmRole::Worker { capacity },
        });
    }

    fn add_upstream(&mut self, domain: &str) {
        self.vms.push(VmRecord {
            id: format!("{domain}-up"),
            domain: domain.into(),
            rack: format!("{domain}-rack0").into(),
            address: SocketAddr::from(([127, 0, 0, 1], 2)),
            leaving: false,
            role: VmRole::Upstream { service: "ws/svc".into(), slots: SLOTS },
        });
    }

    pub(crate) fn all_entries(&self) -> Vec<EntryId> {
        self.domains.keys().cloned().collect()
    }

    pub(crate) fn all_domains(&self) -> Vec<DomainId> {
        self.domains.values().cloned().collect::<BTreeSet<_>>().into_iter().collect()
    }

    /// Starts an entry that is not running.
    pub(crate) fn start(&mut self, entry: &EntryId) {
        self.boot_count += 1;
        let domain = self.domains[entry].clone();
        let peers = self.domains.iter().filter(|(other, _)| *other != entry);
        let identity = EntryIdentity {
            entry: entry.clone(),
            domain,
            boot: self.boot_count,
            peers: peers.map(|(other, domain)| (other.clone(), domain.clone())).collect(),
            timing: TimingSettings::default(),
        };
        let unix = START_UNIX_MS + u64::try_from((self.now - self.start).as_millis()).unwrap();
        let timing = identity.timing;
        self.entries.insert(
            entry.clone(),
            Entry {
                controller: DomainController::new(self.now, unix, identity),
                router: RequestRouter::new(entry.clone(), self.boot_count, 64, timing),
                paused: false,
                boot: self.boot_count,
                next_report: self.now,
                next_vms: self.now,
                seen_head: 0,
                queued_deliveries: Vec::new(),
            },
        );
        self.revisions.remove(entry);
    }

    /// Kills an entry. The entries that can reach it see its port refuse connections.
    pub(crate) fn kill(&mut self, entry: &EntryId) {
        self.entries.remove(entry);
        let domain = self.domains[entry].clone();
        let others: Vec<EntryId> = self.entries.keys().cloned().collect();
        for other in others {
            if self.reaches(&self.domains[&other], &domain) {
                let boot = self.entries[&other].boot;
                let event = DomainEvent::PeerGone(entry.clone());
                self.send(Duration::from_millis(3), Delivery::Event(other, boot, Box::new(event)));
            }
        }
    }

    fn reaches(&self, from: &DomainId, to: &DomainId) -> bool {
        from == to || !(self.cut_domains.contains(from) || self.cut_domains.contains(to))
    }

    fn reaches_store(&self, entry: &EntryId) -> bool {
        !self.cut_domains.contains(&self.domains[entry]) && !self.cut_from_store.contains(entry)
    }

    fn send(&mut self, delay: Duration, delivery: Delivery) {
        self.sequence += 1;
        self.queue.push(Reverse(QueuedDelivery(self.now + delay, self.sequence, delivery)));
    }

    fn random_chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.random_bool(probability)
    }

    fn delay(&mut self) -> Duration {
        let base = Duration::from_micros(self.rng.random_range(500..3_000));
        match self.random_chance(self.faults.late) {
            true => base + self.faults.late_by.mul_f64(self.rng.random_range(0.0..1.0)),
            false => base,
        }
    }

    /// Advances the simulated time.
    pub(crate) fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    fn step(&mut self) {
        let next = self.now + STEP;
        while self.queue.peek().is_some_and(|Reverse(queued)| queued.0 <= next) {
            let Some(Reverse(QueuedDelivery(at, _, delivery))) = self.queue.pop() else {
                break;
            };
            self.now = self.now.max(at);
            self.deliver(delivery);
        }
        self.now = next;
        self.steps += 1;
        for worker in self.workers.values_mut() {
            worker.tick(next);
        }
        for entry in self.entries.keys().cloned().collect::<Vec<_>>() {
            self.tick_entry(&entry);
        }
        self.check();
    }

    fn tick_entry(&mut self, entry: &EntryId) {
        let now = self.now;
        let reaches = self.reaches_store(entry) && self.store.fault() != StoreFault::Down;
        let head = self.store.get("config/head").cloned();
        let vms = self.vms.clone();
        let Some(state) = self.entries.get_mut(entry).filter(|state| !state.paused) else {
            return;
        };
        let mut events = vec![DomainEvent::Tick];
        let version = head.as_ref().map_or(1, |stored| stored.version + 1);
        if reaches && state.seen_head != version {
            state.seen_head = version;
            events.push(DomainEvent::ConfigHead(head));
        }
        if reaches && now >= state.next_vms {
            state.next_vms = now + Duration::from_millis(500);
            events.push(DomainEvent::Vms(vms));
        }
        if now >= state.next_report {
            state.next_report = now + Duration::from_millis(250);
            let report = state.router.report(now);
            events.push(DomainEvent::Demand(report, BTreeMap::new()));
        }
        state.router.tick(now);
        for event in events {
            self.handle_event(entry, event);
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Event(entry, boot, event) => self.deliver_event(entry, boot, event),
            Delivery::Store(entry, boot, owner, id, request, answered) => {
                let outcome = match self.reaches_store(&entry) {
                    true => self.store.call(&request),
                    false => return,
                };
                if answered {
                    let event = DomainEvent::Store(owner, id, outcome);
                    let delay = self.delay();
                    self.send(delay, Delivery::Event(entry, boot, Box::new(event)));
                }
            }
            Delivery::Worker(entry, boot, worker, id, request, answered) => {
                if !self.reaches_worker(&entry, &worker) {
                    return;
                }
                let now = self.now;
                let Some(model) = self.workers.get_mut(&worker) else {
                    return;
                };
                let reply: WorkerReply = model.handle(now, &request);
                if answered {
                    let event = DomainEvent::Worker(worker, id, Some(reply));
                    let delay = self.delay();
                    self.send(delay, Delivery::Event(entry, boot, Box::new(event)));
                }
            }
        }
    }

    fn reaches_worker(&self, entry: &EntryId, worker: &WorkerId) -> bool {
        let domain = &self.worker_domains[worker];
        self.reaches(&self.domains[entry], domain) && !self.cut_workers.contains(worker)
    }

    fn deliver_event(&mut self, entry: EntryId, boot: u64, event: Box<DomainEvent>) {
        match self.entries.get_mut(&entry) {
            Some(state) if state.paused => {
                state.queued_deliveries.push(Delivery::Event(entry, boot, event))
            }
            Some(state) if state.boot == boot || boot == 0 => self.handle_event(&entry, *event),
            _ => {}
        }
    }

    /// Pauses an entry: it processes nothing, and its events are queued.
    pub(crate) fn pause(&mut self, entry: &EntryId) {
        if let Some(state) = self.entries.get_mut(entry) {
            state.paused = true;
        }
    }

    pub(crate) fn resume(&mut self, entry: &EntryId) {
        let Some(state) = self.entries.get_mut(entry) else {
            return;
        };
        state.paused = false;
        for delivery in std::mem::take(&mut state.queued_deliveries) {
            self.deliver(delivery);
        }
    }

    /// Passes an event to an entry and executes the resulting actions.
    pub(crate) fn handle_event(&mut self, entry: &EntryId, event: DomainEvent) {
        let now = self.now;
        let Some(state) = self.entries.get_mut(entry) else {
            return;
        };
        let boot = state.boot;
        let actions = state.controller.handle(now, event);
        for action in actions {
            self.execute(entry, boot, action);
        }
    }

    fn execute(&mut self, entry: &EntryId, boot: u64, action: DomainAction) {
        match action {
            DomainAction::Store(owner, id, request) => {
                self.call_store(entry, boot, owner, id, request)
            }
            DomainAction::Worker { worker, id, request, .. } => {
                self.call_worker(entry, boot, worker, id, request);
            }
            DomainAction::Peer(peer, message) => self.send_peer(entry, &peer, message),
            DomainAction::Answer(id, answer) => {
                self.answers.insert(id, answer);
            }
            DomainAction::Grant(grant) => {
                if let Some(state) = self.entries.get_mut(entry) {
                    state.router.apply(self.now, &grant);
                }
            }
            DomainAction::Leaving(_) | DomainAction::PeerSlots(_) => {}
        }
    }

    fn call_store(
        &mut self,
        entry: &EntryId,
        boot: u64,
        owner: StoreOwner,
        id: u64,
        request: StoreRequest,
    ) {
        let swap = matches!(request, StoreRequest::Swap { .. });
        let failure = match swap {
            true => StoreOutcome::Unknown,
            false => StoreOutcome::Unavailable,
        };
        if !self.reaches_store(entry) || self.store.fault() == StoreFault::Down {
            let event = DomainEvent::Store(owner, id, StoreOutcome::Unavailable);
            let delivery = Delivery::Event(entry.clone(), boot, Box::new(event));
            return self.send(Duration::from_millis(5), delivery);
        }
        let store_loses_answer = swap && self.store.fault() == StoreFault::LostAnswers;
        let lost = self.random_chance(self.faults.lost) || store_loses_answer;
        let answered = !lost;
        let delay = self.delay();
        let late = delay > Duration::from_millis(900);
        let event = DomainEvent::Store(owner, id, failure);
        let delivery = Delivery::Event(entry.clone(), boot, Box::new(event));
        self.send(Duration::from_millis(1_000), delivery);
        let arrives = !lost || store_loses_answer || self.rng.random_bool(0.5);
        if arrives {
            let delivery =
                Delivery::Store(entry.clone(), boot, owner, id, request, answered && !late);
            self.send(delay, delivery);
        }
    }

    fn call_worker(
        &mut self,
        entry: &EntryId,
        boot: u64,
        worker: WorkerId,
        id: u64,
        request: WorkerRequest,
    ) {
        let is_reachable = self.reaches_worker(entry, &worker);
        let lost = !is_reachable || self.random_chance(self.faults.lost);
        let delay = self.delay();
        let late = delay > Duration::from_millis(1_400);
        let event = DomainEvent::Worker(worker.clone(), id, None);
        let delivery = Delivery::Event(entry.clone(), boot, Box::new(event));
        self.send(Duration::from_millis(1_500), delivery);
        if is_reachable && (!lost || self.rng.random_bool(0.5)) {
            let answered = !lost && !late;
            let request = Box::new(request);
            let delivery = Delivery::Worker(entry.clone(), boot, worker, id, request, answered);
            self.send(delay, delivery);
        }
    }

    fn send_peer(&mut self, from: &EntryId, to: &EntryId, message: PeerMessage) {
        let is_reachable = self.reaches(&self.domains[from], &self.domains[to]);
        if !is_reachable || self.random_chance(self.faults.lost) {
            return;
        }
        let copies = if self.random_chance(self.faults.twice) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = self.delay();
            let event = DomainEvent::Peer(from.clone(), message.clone());
            self.send(delay, Delivery::Event(to.clone(), 0, Box::new(event)));
        }
    }

    /// Passes a client's call to an entry and returns the id of the call.
    pub(crate) fn call(&mut self, entry: &EntryId, call: ClientCall) -> u64 {
        self.next_call += 1;
        let id = self.next_call;
        self.handle_event(entry, DomainEvent::Call(id, call));
        id
    }

    /// Makes a call and waits up to `time` for its answer.
    pub(crate) fn ask(
        &mut self,
        entry: &EntryId,
        call: ClientCall,
        time: Duration,
    ) -> Option<ClientAnswer> {
        let id = self.call(entry, call);
        let until = self.now + time;
        while self.now < until && !self.answers.contains_key(&id) {
            self.step();
        }
        self.answers.remove(&id)
    }

    /// Millicores in use in a failure domain.
    pub(crate) fn used_in(&self, domain: &DomainId) -> u32 {
        let own = self.workers.iter().filter(|(id, _)| self.worker_domains[*id] == *domain);
        own.map(|(_, worker)| worker.used().millicores).sum()
    }

    /// Leaders by failure domain.
    pub(crate) fn leaders(&self) -> BTreeMap<DomainId, Vec<EntryId>> {
        let mut leaders: BTreeMap<DomainId, Vec<EntryId>> = BTreeMap::new();
        for domain in self.domains.values() {
            leaders.entry(domain.clone()).or_default();
        }
        for (entry, state) in self.entries.iter().filter(|(_, state)| state.controller.leads()) {
            let _ = state;
            leaders.entry(self.domains[entry].clone()).or_default().push(entry.clone());
        }
        leaders
    }

    /// Describes the current faults and leaders, for the log.
    pub(crate) fn describe(&self) -> String {
        let down: Vec<_> = self.domains.keys().filter(|e| !self.entries.contains_key(*e)).collect();
        let paused: Vec<_> =
            self.entries.iter().filter(|(_, state)| state.paused).map(|(entry, _)| entry).collect();
        format!(
            "at {:?}: store {:?}, cut {:?} {:?} {:?}, down {down:?}, paused {paused:?}, leaders {:?}",
            self.now - self.start,
            self.store.fault(),
            self.cut_domains,
            self.cut_workers,
            self.cut_from_store,
            self.leaders()
        )
    }

    /// Checks the invariants that hold under all faults.
    pub(crate) fn check(&mut self) {
        self.check_runs();
        self.check_slots();
        self.check_revisions();
        self.check_quotas();
    }

    fn check_runs(&mut self) {
        for (id, worker) in &self.workers {
            let seen = self.checked_runs.entry(id.clone()).or_default();
            for run in &worker.runs()[*seen..] {
                log::info!("at {:?}: {id} starts {:?}", self.now - self.start, run.task);
                let count = self.run_counts.entry(run.task.clone()).or_default();
                *count += 1;
                let once = self.non_idempotent_jobs.contains(&run.task.0);
                assert!(!once || *count == 1, "{:?} is not idempotent and ran twice", run.task);
                let elsewhere = self.workers.iter().filter(|(other, _)| *other != id);
                for (other, model) in elsewhere {
                    assert!(
                        !model.runs_task(&run.task) || run.ended.is_some(),
                        "{:?} runs on {id} and on {other}",
                        run.task
                    );
                }
            }
            *seen = worker.runs().len();
        }
    }

    fn check_slots(&self) {
        let mut sums: BTreeMap<UpstreamId, u32> = BTreeMap::new();
        for state in self.entries.values() {
            for (id, slots) in state.router.usable_slots(self.now) {
                *sums.entry(id).or_default() += slots;
            }
        }
        for (id, sum) in sums {
            assert!(sum <= SLOTS, "entries may use {sum} of the {SLOTS} slots of {id}");
        }
    }

    fn check_revisions(&mut self) {
        for (entry, state) in self.entries.iter().filter(|(_, state)| state.controller.ready()) {
            let revision = state.controller.revision();
            let last = self.revisions.entry(entry.clone()).or_default();
            assert!(revision >= *last, "revision of {entry} decreased from {last} to {revision}");
            *last = revision;
        }
    }

    fn check_quotas(&self) {
        let mut used: BTreeMap<String, ResourceVector> = BTreeMap::new();
        for worker in self.workers.values() {
            for (task, need) in worker.running_needs() {
                let workspace = task.0.split('/').next().unwrap_or_default().to_owned();
                let sum = used.entry(workspace).or_default();
                *sum = sum.saturating_add(&need);
            }
        }
        for (workspace, quota) in &self.quotas {
            let used = used.get(workspace).copied().unwrap_or_default();
            let parts = self.store.get("quota/parts").map(|stored| stored.value.clone());
            let leaders = self.leaders();
            let running: Vec<_> =
                self.workers.iter().map(|(id, w)| (id.clone(), w.used())).collect();
            assert!(
                used.fits(quota),
                "{workspace} uses {used:?} of {quota:?}: {parts:?} {leaders:?} {running:?}"
            );
        }
    }
}
