//! Decision cores of several entries with small fakes at their interfaces and faulty delivery.

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

/// Time between two ticks.
const STEP: Duration = Duration::from_millis(25);
/// Slots of each upstream.
const SLOTS: u32 = 8;
/// Time of day at the start.
const UNIX: u64 = 1_800_000_000_000;

/// How messages fare.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DeliveryFaults {
    /// Chance that a message is lost.
    pub(crate) lost: f64,
    /// Chance that a message comes up to `late_by` late.
    pub(crate) late: f64,
    /// Chance that a message to a peer comes twice.
    pub(crate) twice: f64,
    /// Longest lateness.
    pub(crate) late_by: Duration,
}

#[derive(Debug)]
enum Parcel {
    Event(EntryId, u64, Box<DomainEvent>),
    Store(EntryId, u64, StoreOwner, u64, StoreRequest, bool),
    Worker(EntryId, u64, WorkerId, u64, Box<WorkerRequest>, bool),
}

struct Queued(Instant, u64, Parcel);

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Queued {}
impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// One entry: its decision cores.
pub(crate) struct Entry {
    pub(crate) controller: DomainController,
    pub(crate) router: RequestRouter,
    pub(crate) paused: bool,
    boot: u64,
    next_report: Instant,
    next_vms: Instant,
    seen_head: u64,
    held: Vec<Parcel>,
}

/// All that is played.
pub(crate) struct World {
    pub(crate) now: Instant,
    pub(crate) rng: StdRng,
    pub(crate) store: StoreModel,
    pub(crate) entries: BTreeMap<EntryId, Entry>,
    pub(crate) workers: BTreeMap<WorkerId, WorkerModel>,
    pub(crate) faults: DeliveryFaults,
    /// Groups that are cut off from all others and from the platform.
    pub(crate) cut: BTreeSet<DomainId>,
    /// Workers that nobody reaches.
    pub(crate) cut_workers: BTreeSet<WorkerId>,
    /// Entries that the store does not hear.
    pub(crate) cut_from_store: BTreeSet<EntryId>,
    pub(crate) vms: Vec<VmRecord>,
    pub(crate) answers: BTreeMap<u64, ClientAnswer>,
    pub(crate) once_jobs: BTreeSet<JobId>,
    pub(crate) quotas: BTreeMap<String, ResourceVector>,
    pub(crate) steps: u64,
    domains: BTreeMap<EntryId, DomainId>,
    worker_domains: BTreeMap<WorkerId, DomainId>,
    queue: BinaryHeap<Reverse<Queued>>,
    sequence: u64,
    next_call: u64,
    boots: u64,
    start: Instant,
    revisions: BTreeMap<EntryId, Revision>,
    seen_runs: BTreeMap<WorkerId, usize>,
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
            cut: BTreeSet::new(),
            cut_workers: BTreeSet::new(),
            cut_from_store: BTreeSet::new(),
            vms: Vec::new(),
            answers: BTreeMap::new(),
            once_jobs: BTreeSet::new(),
            quotas: BTreeMap::new(),
            steps: 0,
            domains: BTreeMap::new(),
            worker_domains: BTreeMap::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            next_call: 0,
            boots: 0,
            start: now,
            revisions: BTreeMap::new(),
            seen_runs: BTreeMap::new(),
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

    /// Starts an entry that does not run.
    pub(crate) fn start(&mut self, entry: &EntryId) {
        self.boots += 1;
        let domain = self.domains[entry].clone();
        let peers = self.domains.iter().filter(|(other, _)| *other != entry);
        let identity = EntryIdentity {
            entry: entry.clone(),
            domain,
            boot: self.boots,
            peers: peers.map(|(other, domain)| (other.clone(), domain.clone())).collect(),
            timing: TimingSettings::default(),
        };
        let unix = UNIX + u64::try_from((self.now - self.start).as_millis()).unwrap();
        let timing = identity.timing;
        self.entries.insert(
            entry.clone(),
            Entry {
                controller: DomainController::new(self.now, unix, identity),
                router: RequestRouter::new(entry.clone(), self.boots, 64, timing),
                paused: false,
                boot: self.boots,
                next_report: self.now,
                next_vms: self.now,
                seen_head: 0,
                held: Vec::new(),
            },
        );
        self.revisions.remove(entry);
    }

    /// Kills an entry; its port refuses connections from then on.
    pub(crate) fn kill(&mut self, entry: &EntryId) {
        self.entries.remove(entry);
        let domain = self.domains[entry].clone();
        let others: Vec<EntryId> = self.entries.keys().cloned().collect();
        for other in others {
            if self.reaches(&self.domains[&other], &domain) {
                let boot = self.entries[&other].boot;
                let event = DomainEvent::PeerGone(entry.clone());
                self.send(Duration::from_millis(3), Parcel::Event(other, boot, Box::new(event)));
            }
        }
    }

    fn reaches(&self, from: &DomainId, to: &DomainId) -> bool {
        from == to || !(self.cut.contains(from) || self.cut.contains(to))
    }

    fn store_reaches(&self, entry: &EntryId) -> bool {
        !self.cut.contains(&self.domains[entry]) && !self.cut_from_store.contains(entry)
    }

    fn send(&mut self, delay: Duration, parcel: Parcel) {
        self.sequence += 1;
        self.queue.push(Reverse(Queued(self.now + delay, self.sequence, parcel)));
    }

    fn chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.random_bool(probability)
    }

    fn delay(&mut self) -> Duration {
        let base = Duration::from_micros(self.rng.random_range(500..3_000));
        match self.chance(self.faults.late) {
            true => base + self.faults.late_by.mul_f64(self.rng.random_range(0.0..1.0)),
            false => base,
        }
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    fn step(&mut self) {
        let next = self.now + STEP;
        while self.queue.peek().is_some_and(|Reverse(queued)| queued.0 <= next) {
            let Some(Reverse(Queued(at, _, parcel))) = self.queue.pop() else {
                break;
            };
            self.now = self.now.max(at);
            self.deliver(parcel);
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
        let reaches = self.store_reaches(entry) && self.store.fault() != StoreFault::Down;
        let head = self.store.get("config/head").cloned();
        let vms = self.vms.clone();
        let Some(state) = self.entries.get_mut(entry).filter(|state| !state.paused) else {
            return;
        };
        let mut events = vec![DomainEvent::Tick];
        let version = head.as_ref().map_or(1, |stored| stored.version + 1);
        if reaches && state.seen_head != version {
            state.seen_head = version;
            events.push(DomainEvent::Head(head));
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
            self.event(entry, event);
        }
    }

    fn deliver(&mut self, parcel: Parcel) {
        match parcel {
            Parcel::Event(entry, boot, event) => self.deliver_event(entry, boot, event),
            Parcel::Store(entry, boot, owner, id, request, answered) => {
                let outcome = match self.store_reaches(&entry) {
                    true => self.store.call(&request),
                    false => return,
                };
                if answered {
                    let event = DomainEvent::Store(owner, id, outcome);
                    let delay = self.delay();
                    self.send(delay, Parcel::Event(entry, boot, Box::new(event)));
                }
            }
            Parcel::Worker(entry, boot, worker, id, request, answered) => {
                if !self.worker_reached(&entry, &worker) {
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
                    self.send(delay, Parcel::Event(entry, boot, Box::new(event)));
                }
            }
        }
    }

    fn worker_reached(&self, entry: &EntryId, worker: &WorkerId) -> bool {
        let domain = &self.worker_domains[worker];
        self.reaches(&self.domains[entry], domain) && !self.cut_workers.contains(worker)
    }

    fn deliver_event(&mut self, entry: EntryId, boot: u64, event: Box<DomainEvent>) {
        match self.entries.get_mut(&entry) {
            Some(state) if state.paused => state.held.push(Parcel::Event(entry, boot, event)),
            Some(state) if state.boot == boot || boot == 0 => self.event(&entry, *event),
            _ => {}
        }
    }

    /// Pauses an entry: it does nothing and what comes for it waits.
    pub(crate) fn pause(&mut self, entry: &EntryId) {
        if let Some(state) = self.entries.get_mut(entry) {
            state.paused = true;
        }
    }

    pub(crate) fn wake(&mut self, entry: &EntryId) {
        let Some(state) = self.entries.get_mut(entry) else {
            return;
        };
        state.paused = false;
        for parcel in std::mem::take(&mut state.held) {
            self.deliver(parcel);
        }
    }

    /// Hands an event to an entry and carries out what follows.
    pub(crate) fn event(&mut self, entry: &EntryId, event: DomainEvent) {
        let now = self.now;
        let Some(state) = self.entries.get_mut(entry) else {
            return;
        };
        let boot = state.boot;
        let actions = state.controller.handle(now, event);
        for action in actions {
            self.carry_out(entry, boot, action);
        }
    }

    fn carry_out(&mut self, entry: &EntryId, boot: u64, action: DomainAction) {
        match action {
            DomainAction::Store(owner, id, request) => {
                self.call_store(entry, boot, owner, id, request)
            }
            DomainAction::Worker { worker, id, request, .. } => {
                self.call_worker(entry, boot, worker, id, request);
            }
            DomainAction::Peer(peer, message) => self.tell_peer(entry, &peer, message),
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
        if !self.store_reaches(entry) || self.store.fault() == StoreFault::Down {
            let event = DomainEvent::Store(owner, id, StoreOutcome::Unavailable);
            let parcel = Parcel::Event(entry.clone(), boot, Box::new(event));
            return self.send(Duration::from_millis(5), parcel);
        }
        let loses = swap && self.store.fault() == StoreFault::LostAnswers;
        let lost = self.chance(self.faults.lost) || loses;
        let answered = !lost;
        let delay = self.delay();
        let late = delay > Duration::from_millis(900);
        let event = DomainEvent::Store(owner, id, failure);
        let parcel = Parcel::Event(entry.clone(), boot, Box::new(event));
        self.send(Duration::from_millis(1_000), parcel);
        let arrives = !lost || loses || self.rng.random_bool(0.5);
        if arrives {
            let parcel = Parcel::Store(entry.clone(), boot, owner, id, request, answered && !late);
            self.send(delay, parcel);
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
        let reached = self.worker_reached(entry, &worker);
        let lost = !reached || self.chance(self.faults.lost);
        let delay = self.delay();
        let late = delay > Duration::from_millis(1_400);
        let event = DomainEvent::Worker(worker.clone(), id, None);
        let parcel = Parcel::Event(entry.clone(), boot, Box::new(event));
        self.send(Duration::from_millis(1_500), parcel);
        if reached && (!lost || self.rng.random_bool(0.5)) {
            let answered = !lost && !late;
            let request = Box::new(request);
            let parcel = Parcel::Worker(entry.clone(), boot, worker, id, request, answered);
            self.send(delay, parcel);
        }
    }

    fn tell_peer(&mut self, from: &EntryId, to: &EntryId, message: PeerMessage) {
        let reached = self.reaches(&self.domains[from], &self.domains[to]);
        if !reached || self.chance(self.faults.lost) {
            return;
        }
        let copies = if self.chance(self.faults.twice) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = self.delay();
            let event = DomainEvent::Peer(from.clone(), message.clone());
            self.send(delay, Parcel::Event(to.clone(), 0, Box::new(event)));
        }
    }

    /// Hands a client's call to an entry and gives its number.
    pub(crate) fn call(&mut self, entry: &EntryId, call: ClientCall) -> u64 {
        self.next_call += 1;
        let id = self.next_call;
        self.event(entry, DomainEvent::Call(id, call));
        id
    }

    /// Hands in a call and waits for its answer for at most `time`.
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

    /// Thousandths of a core that run in a failure domain.
    pub(crate) fn used_in(&self, domain: &DomainId) -> u32 {
        let own = self.workers.iter().filter(|(id, _)| self.worker_domains[*id] == *domain);
        own.map(|(_, worker)| worker.used().millicores).sum()
    }

    /// Entries that lead, by failure domain.
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

    /// State of the faults, for a reader of the log.
    pub(crate) fn describe(&self) -> String {
        let down: Vec<_> = self.domains.keys().filter(|e| !self.entries.contains_key(*e)).collect();
        let paused: Vec<_> =
            self.entries.iter().filter(|(_, state)| state.paused).map(|(entry, _)| entry).collect();
        format!(
            "at {:?}: store {:?}, cut {:?} {:?} {:?}, down {down:?}, paused {paused:?}, leaders {:?}",
            self.now - self.start,
            self.store.fault(),
            self.cut,
            self.cut_workers,
            self.cut_from_store,
            self.leaders()
        )
    }

    /// Checks all that must hold whatever happens.
    pub(crate) fn check(&mut self) {
        self.check_runs();
        self.check_slots();
        self.check_revisions();
        self.check_quotas();
    }

    fn check_runs(&mut self) {
        for (id, worker) in &self.workers {
            let seen = self.seen_runs.entry(id.clone()).or_default();
            for run in &worker.runs()[*seen..] {
                log::info!("at {:?}: {id} begins {:?}", self.now - self.start, run.task);
                let count = self.run_counts.entry(run.task.clone()).or_default();
                *count += 1;
                let once = self.once_jobs.contains(&run.task.0);
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
            for (id, slots) in state.router.slots_in_reach(self.now) {
                *sums.entry(id).or_default() += slots;
            }
        }
        for (id, sum) in sums {
            assert!(sum <= SLOTS, "{sum} of {SLOTS} slots of {id} are in reach");
        }
    }

    fn check_revisions(&mut self) {
        for (entry, state) in self.entries.iter().filter(|(_, state)| state.controller.ready()) {
            let revision = state.controller.revision();
            let last = self.revisions.entry(entry.clone()).or_default();
            assert!(revision >= *last, "{entry} went back from revision {last} to {revision}");
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
