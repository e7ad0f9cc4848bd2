//! A store in memory for simulations of many entries, on the clock of the runtime. It counts the calls of all entries.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::node::entry_store::StoreCallKind;
use crate::node::keys::{
    KeyEvent, KeyItem, KeyPage, KeyTransaction, LeaseId, StoreError, TransactionOutcome,
    WatchOutcome,
};

type Result<T> = std::result::Result<T, StoreError>;

/// Time that a call takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Limits of a transaction: its entries, the length of a key and the size of a value, in bytes.
const MAX_TRANSACTION_ENTRIES: usize = 32;
const MAX_KEY_BYTES: usize = 200;
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Number of events in an answer to a watch, unless one revision has more.
const MAX_LISTED_EVENTS: usize = 500;
/// Largest number of items of a page.
const PAGE_ITEMS: usize = 500;
/// Size that the values of a page do not exceed, unless there is only one.
pub(crate) const PAGE_BYTES: usize = 1_000_000;
/// Step in which an answer passes a link. Answers in transfer share the link evenly.
const TRANSFER_STEP: Duration = Duration::from_millis(10);
/// Interval between checks for leases that have ended.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which a client gives up a call that is not answered.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// How the store treats the calls of an entry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreAccess {
    /// It answers them.
    #[default]
    Open,
    /// It refuses them at once; nothing is done.
    Refused,
    /// It leaves them unanswered; nothing is done.
    Silent,
}

/// Number of calls by kind, and of events that watches have returned.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoreCallCount {
    /// All calls.
    pub calls: BTreeMap<StoreCallKind, u64>,
    /// Calls that were refused or left unanswered, which are counted in `calls` too.
    pub failed: u64,
    /// Events that watches have returned.
    pub events: u64,
}

impl StoreCallCount {
    /// Number of calls of a kind.
    pub fn of(&self, kind: StoreCallKind) -> u64 {
        self.calls.get(&kind).copied().unwrap_or(0)
    }

    /// Number of calls of all kinds.
    pub fn total(&self) -> u64 {
        self.calls.values().sum()
    }
}

/// Calls a second that the store takes from all clients together. Renewals and watches count as reads.
#[derive(Clone, Copy, Debug)]
pub struct StoreRates {
    /// Reading calls a second.
    pub reads: u32,
    /// Writing calls a second.
    pub writes: u32,
}

/// Calls in the current second.
#[derive(Debug)]
struct RateWindow {
    start: Instant,
    reads: u32,
    writes: u32,
}

impl RateWindow {
    /// Counts a call; returns whether the rates allow it.
    fn take(&mut self, kind: StoreCallKind, rates: StoreRates) -> bool {
        if self.start.elapsed() >= Duration::from_secs(1) {
            *self = Self { start: Instant::now(), reads: 0, writes: 0 };
        }
        let (count, rate) = match kind {
            StoreCallKind::Write => (&mut self.writes, rates.writes),
            StoreCallKind::Read | StoreCallKind::Watch | StoreCallKind::Renewal => {
                (&mut self.reads, rates.reads)
            }
        };
        *count += 1;
        *count <= rate
    }
}

/// A lease with its keys.
#[derive(Debug)]
struct StoreLease {
    ttl: Duration,
    ends: Instant,
    keys: BTreeSet<String>,
}

/// Link of a client.
#[derive(Clone, Debug)]
struct ClientLink {
    mbps: f64,
    /// Has one reference for each answer in transfer, besides its own.
    transfers: Arc<()>,
}

#[derive(Debug, Default)]
struct StoreState {
    revision: u64,
    /// Last revision whose changes are no longer known.
    compacted: u64,
    items: BTreeMap<String, KeyItem>,
    events: BTreeMap<u64, Vec<KeyEvent>>,
    leases: BTreeMap<LeaseId, StoreLease>,
    last_lease: LeaseId,
    /// Entries whose calls are not answered.
    restricted: BTreeMap<usize, StoreAccess>,
    /// Links of limited bandwidth, by client.
    links: BTreeMap<usize, ClientLink>,
    /// Number of times that the connections of an entry's waiting watches have gone silent.
    silences: BTreeMap<usize, u64>,
    /// Which of the next transactions of an entry are carried out and not answered.
    lost_answers: BTreeMap<usize, VecDeque<bool>>,
    /// Entries that have been killed: none of their calls ends.
    killed: BTreeSet<usize>,
    count: StoreCallCount,
    /// Limit of the calls of all clients, and those of the current second.
    rates: Option<(StoreRates, RateWindow)>,
}

impl StoreState {
    fn write(&mut self, key: &str, value: Bytes, lease: Option<LeaseId>) {
        for lease in self.leases.values_mut() {
            lease.keys.remove(key);
        }
        if let Some(lease) = lease.and_then(|id| self.leases.get_mut(&id)) {
            lease.keys.insert(key.to_owned());
        }
        let item = KeyItem { key: key.to_owned(), value, revision: self.revision };
        self.items.insert(key.to_owned(), item.clone());
        self.events.entry(self.revision).or_default().push(KeyEvent::Written(item));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let (key, revision) = (key.to_owned(), self.revision);
            self.events.entry(revision).or_default().push(KeyEvent::Removed { key, revision });
        }
    }

    /// Ends a lease; each has a revision of its own.
    fn end_lease(&mut self, id: LeaseId) {
        let Some(lease) = self.leases.remove(&id) else {
            return;
        };
        self.revision += 1;
        for key in lease.keys {
            self.remove(&key);
        }
    }

    fn expire_leases(&mut self) -> bool {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, lease)| lease.ends <= now);
        let ended: Vec<LeaseId> = ended.map(|(id, _)| *id).collect();
        ended.iter().for_each(|id| self.end_lease(*id));
        !ended.is_empty()
    }

    fn transact(&mut self, change: &KeyTransaction) -> TransactionOutcome {
        let revision_of = |key: &String| self.items.get(key).map_or(0, |item| item.revision);
        if change.conditions.iter().any(|(key, revision)| revision_of(key) != *revision) {
            let keys = change.conditions.iter();
            let items = keys.filter_map(|(key, _)| self.items.get(key).cloned());
            return TransactionOutcome::Conflict(items.collect());
        }
        let mut leases = change.writes.iter().filter_map(|write| write.lease);
        if !leases.all(|lease| self.leases.contains_key(&lease)) {
            return TransactionOutcome::NoLease;
        }
        self.revision += 1;
        for write in &change.writes {
            self.write(&write.key, write.value.clone(), write.lease);
        }
        for key in &change.removes {
            self.remove(key);
        }
        TransactionOutcome::Done(self.revision)
    }

    fn page(&self, prefix: &str, after: &str) -> KeyPage {
        let after_key = (Bound::Excluded(after), Bound::Unbounded);
        let from =
            if after > prefix { after_key } else { (Bound::Included(prefix), Bound::Unbounded) };
        let mut found = self.items.range::<str, _>(from).map(|(_, item)| item);
        let mut found = found.by_ref().take_while(|item| item.key.starts_with(prefix)).peekable();
        let (mut items, mut bytes) = (Vec::new(), 0);
        while let Some(item) = found.next_if(|item| {
            items.is_empty() || items.len() < PAGE_ITEMS && bytes + item.value.len() <= PAGE_BYTES
        }) {
            bytes += item.value.len();
            items.push(item.clone());
        }
        KeyPage { items, more: found.peek().is_some(), revision: self.revision }
    }

    /// Events after a revision, at most a list of them and all of each revision, and the revision to continue from; `None`
    /// if they are no longer all known.
    fn events_after(&self, prefix: &str, after: u64) -> Option<(Vec<KeyEvent>, u64)> {
        let has_prefix = |event: &&KeyEvent| match event {
            KeyEvent::Written(item) => item.key.starts_with(prefix),
            KeyEvent::Removed { key, .. } => key.starts_with(prefix),
        };
        if after < self.compacted {
            return None;
        }
        let mut listed: Vec<KeyEvent> = Vec::new();
        for (revision, events) in self.events.range(after + 1..) {
            listed.extend(events.iter().filter(has_prefix).cloned());
            if listed.len() >= MAX_LISTED_EVENTS {
                return Some((listed, *revision));
            }
        }
        Some((listed, self.revision))
    }
}

/// The state of the store.
#[derive(Debug)]
pub struct SimulatedStore {
    state: Mutex<StoreState>,
    /// Revision of the last change.
    changed: watch::Sender<u64>,
}

impl SimulatedStore {
    /// Creates an empty store and ends its leases in time, for as long as it is used.
    pub fn start() -> Arc<Self> {
        let state = Mutex::default();
        let store = Arc::new(Self { state, changed: watch::Sender::new(0) });
        let expiring = Arc::downgrade(&store);
        tokio::spawn(async move {
            while let Some(store) = expiring.upgrade() {
                store.change(StoreState::expire_leases);
                drop(store);
                sleep(EXPIRY_INTERVAL).await;
            }
        });
        store
    }

    /// Number of calls so far.
    pub fn call_count(&self) -> StoreCallCount {
        self.lock().count.clone()
    }

    /// Sets how the calls of an entry are treated, by the number of its client.
    pub fn set_access(&self, client: usize, access: StoreAccess) {
        self.lock().restricted.insert(client, access);
        // Waiting watches check their access.
        self.changed.send_modify(|_| {});
    }

    /// Leaves the watches of an entry that wait now unanswered, by the number of its client; later calls are answered.
    pub fn silence_watches(&self, client: usize) {
        *self.lock().silences.entry(client).or_default() += 1;
    }

    /// Sets which of the next transactions of an entry are carried out and not answered, by the number of its client.
    pub fn lose_answers(&self, client: usize, are_lost: impl IntoIterator<Item = bool>) {
        self.lock().lost_answers.insert(client, are_lost.into_iter().collect());
    }

    /// Limits the calls of all clients together; further ones are refused.
    pub fn set_rates(&self, rates: StoreRates) {
        let window = RateWindow { start: Instant::now(), reads: 0, writes: 0 };
        self.lock().rates = Some((rates, window));
    }

    /// Limits the bandwidth at which answers with values reach a client.
    pub fn set_link(&self, client: usize, mbps: f64) {
        let link = ClientLink { mbps, transfers: Arc::new(()) };
        self.lock().links.insert(client, link);
    }

    /// Writes a key without a lease.
    pub fn put(&self, key: &str, value: impl Into<Bytes>) {
        self.change(|state| {
            state.revision += 1;
            state.write(key, value.into(), None);
            true
        });
    }

    /// Drops the history: each watch ends, and its client has to read again.
    pub fn compact(&self) {
        self.change(|state| {
            state.revision += 1;
            state.compacted = state.revision;
            state.events.clear();
            true
        });
    }

    /// Ends all calls of a client, now and later, as those of a killed process.
    pub(crate) fn kill(&self, client: usize) {
        self.lock().killed.insert(client);
    }

    /// A client for an entry.
    pub(crate) fn client(self: &Arc<Self>, number: usize) -> SimulatedClient {
        SimulatedClient { store: self.clone(), number }
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the state; `change` returns whether watches have to look at it.
    fn change(&self, change: impl FnOnce(&mut StoreState) -> bool) {
        let revision = {
            let mut state = self.lock();
            change(&mut state).then_some(state.revision)
        };
        if let Some(revision) = revision {
            self.changed.send_replace(revision);
        }
    }
}

/// Client of one entry.
#[derive(Clone, Debug)]
pub(crate) struct SimulatedClient {
    store: Arc<SimulatedStore>,
    number: usize,
}

impl SimulatedClient {
    pub(crate) async fn get(&self, key: &str) -> Result<Option<KeyItem>> {
        let read = async {
            let item =
                self.call(StoreCallKind::Read, |state| state.items.get(key).cloned()).await?;
            self.transfer(item.as_slice()).await;
            Ok(item)
        };
        answer_within(CALL_TIMEOUT, read).await
    }

    pub(crate) async fn page_within(
        &self,
        prefix: &str,
        after: &str,
        wait: Duration,
    ) -> Result<KeyPage> {
        let read = async {
            let page = self.call(StoreCallKind::Read, |state| state.page(prefix, after)).await?;
            self.transfer(&page.items).await;
            Ok(page)
        };
        answer_within(wait, read).await
    }

    /// Waits until an answer with these items has passed the client's link.
    async fn transfer(&self, items: &[KeyItem]) {
        let Some(link) = self.store.lock().links.get(&self.number).cloned() else {
            return;
        };
        let mut remaining = items.iter().map(transfer_bits).sum::<f64>();
        while remaining > 0.0 {
            sleep(TRANSFER_STEP).await;
            // Without the store's own reference.
            let transfers = Arc::strong_count(&link.transfers) - 1;
            remaining -= link.mbps * 1e6 * TRANSFER_STEP.as_secs_f64() / transfers as f64;
        }
    }

    pub(crate) async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchOutcome> {
        let mut changed = self.store.changed.subscribe();
        let silences_of = |state: &StoreState| state.silences.get(&self.number).copied();
        let silences = self.call(StoreCallKind::Watch, |state| silences_of(state)).await?;
        let deadline = Instant::now() + wait;
        loop {
            if silences_of(&self.store.lock()) != silences {
                sleep_until(deadline + CALL_TIMEOUT).await;
                return Err(StoreError::Unknown("no answer".to_owned()));
            }
            let found = {
                let state = self.store.lock();
                self.check_access(&state)?;
                state.events_after(prefix, after)
            };
            match found {
                None => return Ok(WatchOutcome::HistoryGone),
                Some((events, revision)) if !events.is_empty() || Instant::now() >= deadline => {
                    self.store.lock().count.events += events.len() as u64;
                    let has_more = events.len() >= MAX_LISTED_EVENTS;
                    return Ok(WatchOutcome::Events { events, revision, has_more });
                }
                Some(_) => {
                    let remaining = deadline.saturating_duration_since(Instant::now());
                    let _ = timeout(remaining, changed.changed()).await;
                }
            }
        }
    }

    pub(crate) async fn transact(&self, change: &KeyTransaction) -> Result<TransactionOutcome> {
        let outcome = self.call(StoreCallKind::Write, |state| {
            check_limits(change)?;
            Ok(state.transact(change))
        });
        let outcome = outcome.await??;
        if let TransactionOutcome::Done(revision) = outcome {
            self.store.changed.send_replace(revision);
        }
        let is_lost = {
            let mut state = self.store.lock();
            state.lost_answers.get_mut(&self.number).and_then(VecDeque::pop_front)
        };
        if is_lost == Some(true) {
            sleep(CALL_TIMEOUT).await;
            return Err(StoreError::Unknown("the answer was lost".to_owned()));
        }
        Ok(outcome)
    }

    pub(crate) async fn create_lease(&self, ttl: Duration) -> Result<LeaseId> {
        self.call(StoreCallKind::Write, |state| {
            state.last_lease += 1;
            let lease = StoreLease { ttl, ends: Instant::now() + ttl, keys: BTreeSet::new() };
            state.leases.insert(state.last_lease, lease);
            state.last_lease
        })
        .await
    }

    pub(crate) async fn renew_lease(&self, lease: LeaseId) -> Result<bool> {
        self.call(StoreCallKind::Renewal, |state| match state.leases.get_mut(&lease) {
            Some(lease) => {
                lease.ends = Instant::now() + lease.ttl;
                true
            }
            None => false,
        })
        .await
    }

    pub(crate) async fn end_lease(&self, lease: LeaseId) -> Result<()> {
        self.call(StoreCallKind::Write, |state| state.end_lease(lease)).await?;
        self.store.changed.send_modify(|_| {});
        Ok(())
    }

    /// Carries out a call, unless the store does not answer this client.
    async fn call<T>(
        &self,
        kind: StoreCallKind,
        answer: impl FnOnce(&mut StoreState) -> T,
    ) -> Result<T> {
        sleep(ANSWER_TIME).await;
        let access = {
            let mut state = self.store.lock();
            if state.killed.contains(&self.number) {
                None
            } else {
                *state.count.calls.entry(kind).or_default() += 1;
                let is_within_rates =
                    state.rates.as_mut().is_none_or(|(rates, window)| window.take(kind, *rates));
                let refused = || Err(StoreError::NotDone("over the rate".to_owned()));
                match self.check_access(&state).and(if is_within_rates {
                    Ok(())
                } else {
                    refused()
                }) {
                    Ok(()) => return Ok(answer(&mut state)),
                    Err(error) => {
                        state.count.failed += 1;
                        Some(error)
                    }
                }
            }
        };
        match access {
            None => std::future::pending().await,
            Some(StoreError::Unknown(reason)) => {
                sleep(CALL_TIMEOUT).await;
                Err(StoreError::Unknown(reason))
            }
            Some(refusal) => Err(refusal),
        }
    }

    fn check_access(&self, state: &StoreState) -> Result<()> {
        match state.restricted.get(&self.number).copied().unwrap_or_default() {
            StoreAccess::Open => Ok(()),
            StoreAccess::Refused => Err(StoreError::NotDone("refused".to_owned())),
            StoreAccess::Silent => Err(StoreError::Unknown("no answer".to_owned())),
        }
    }
}

/// Rejects a transaction that is larger than the platform's store takes.
fn check_limits(change: &KeyTransaction) -> Result<()> {
    let keys = change.conditions.iter().map(|(key, _)| key);
    let keys = keys.chain(change.writes.iter().map(|write| &write.key)).chain(&change.removes);
    let is_valid = keys.clone().count() <= MAX_TRANSACTION_ENTRIES
        && keys.clone().all(|key| key.len() <= MAX_KEY_BYTES)
        && change.writes.iter().all(|write| write.value.len() <= MAX_VALUE_BYTES);
    match is_valid {
        true => Ok(()),
        false => Err(StoreError::Invalid("larger than the store takes".to_owned())),
    }
}

/// Size of an item in an answer, in bits: values are sent as base64 in JSON.
fn transfer_bits(item: &KeyItem) -> f64 {
    const FIELD_BYTES: usize = 40;
    ((FIELD_BYTES + item.key.len() + item.value.len() * 4 / 3) * 8) as f64
}

/// Gives up a call that is not answered in time.
async fn answer_within<T>(wait: Duration, call: impl Future<Output = Result<T>>) -> Result<T> {
    let unanswered = || StoreError::Unknown("no answer in time".to_owned());
    timeout(wait, call).await.unwrap_or_else(|_| Err(unanswered()))
}
