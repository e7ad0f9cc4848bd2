//! The platform's store: keys with revisions, leases, watches and transactions.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::support::{Answer, Json, Request, base64, map, serve, unbase64};
use crate::cluster::Record;

/// Largest value, as in the settings (`value_bytes`).
pub const VALUE_BYTES: usize = 1_048_576;
/// Largest number of entries of a transaction.
const MAX_ENTRIES: usize = 32;
/// Largest number of items of a page.
const PAGE_ITEMS: usize = 500;
/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String, Json)>,
    /// Time to live of each lease, and when it ends.
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
    /// Whether each call is answered 503; leases pause meanwhile.
    down: Option<Instant>,
    too_large: u64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        self.items.insert(key.to_owned(), Item { value, revision, created, lease });
        let event = self.item(key);
        self.events.push((revision, key.to_owned(), event));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            let event =
                map([("key", key.into()), ("revision", revision.into()), ("deleted", true.into())]);
            self.events.push((revision, key.to_owned(), event));
        }
    }

    fn item(&self, key: &str) -> Json {
        let item = &self.items[key];
        map([
            ("key", key.into()),
            ("value", base64(&item.value).into()),
            ("revision", item.revision.into()),
            ("created", item.created.into()),
            ("lease", item.lease.into()),
        ])
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, end))| *end <= now);
        for lease in ended.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }
}

impl Store {
    pub fn start(address: SocketAddr, record: Arc<Record>) -> Arc<Self> {
        let state = State { revision: 10, ..State::default() };
        let store = Arc::new(Self { state: Mutex::new(state), changed: Condvar::new(), record });
        let listener = TcpListener::bind(address).expect("the store's port is free");
        let served = store.clone();
        serve(listener, move |request| served.answer(&request));
        store
    }

    /// Writes a key as the operator or a worker does.
    pub fn put(&self, key: &str, value: &Json) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.put(key, value.text().into_bytes(), 0);
        self.changed.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        self.changed.notify_all();
    }

    pub fn value(&self, key: &str) -> Option<Json> {
        let state = self.state.lock().unwrap();
        Json::parse(&String::from_utf8_lossy(&state.items.get(key)?.value))
    }

    /// Number of transactions that were refused because a value was too large.
    pub fn too_large(&self) -> u64 {
        self.state.lock().unwrap().too_large
    }

    /// Takes the store down: each call is answered 503, waiting watches are cut, and leases pause.
    pub fn go_down(&self) {
        self.state.lock().unwrap().down = Some(Instant::now());
        self.changed.notify_all();
    }

    pub fn come_back(&self) {
        let mut state = self.state.lock().unwrap();
        if let Some(since) = state.down.take() {
            let pause = since.elapsed();
            state.leases.values_mut().for_each(|(_, end)| *end += pause);
        }
    }

    fn answer(&self, request: &Request) -> Answer {
        std::thread::sleep(ANSWER_TIME);
        if self.state.lock().unwrap().down.is_some() {
            return Some((503, map([])));
        }
        let text = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        state.expire();
        match request.path.as_str() {
            "/api/kv-key" => Some(match state.items.contains_key(&text("key")) {
                true => {
                    let mut item = state.item(&text("key"));
                    if let Json::Map(fields) = &mut item {
                        fields.insert("as_of".into(), state.revision.into());
                    }
                    (200, item)
                }
                false => (404, map([("as_of", state.revision.into())])),
            }),
            "/api/kv-range" => {
                let (prefix, after) = (text("prefix"), text("after"));
                let fits = |key: &&String| key.starts_with(&prefix) && **key > after;
                let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
                for key in state.items.keys().filter(fits) {
                    if items.len() >= PAGE_ITEMS || bytes > 1_000_000 {
                        more = true;
                        break;
                    }
                    bytes += state.items[key].value.len();
                    items.push(state.item(key));
                }
                let fields =
                    [("items", items.into()), ("has_more", more.into()), ("as_of", state.revision.into())];
                Some((200, map(fields)))
            }
            "/api/kv-watch" => {
                let (prefix, after) = (text("prefix"), text("after").parse().unwrap_or(0));
                let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or(0));
                let end = Instant::now() + wait;
                loop {
                    if state.down.is_some() {
                        return None;
                    }
                    state.expire();
                    let first = state.events.partition_point(|(revision, ..)| *revision <= after);
                    let events = state.events[first..].iter().filter(|(_, key, _)| key.starts_with(&prefix));
                    let events: Vec<Json> = events.map(|(_, _, event)| event.clone()).collect();
                    let now = Instant::now();
                    if !events.is_empty() || now >= end {
                        let fields = [("events", events.into()), ("as_of", state.revision.into())];
                        return Some((200, map(fields)));
                    }
                    let pause = (end - now).min(Duration::from_millis(50));
                    state = self.changed.wait_timeout(state, pause).unwrap().0;
                }
            }
            "/api/kv-txn" => {
                let answer = self.transact(&mut state, &request.body);
                self.changed.notify_all();
                Some(answer)
            }
            "/api/kv-lease" => {
                let ttl = Duration::from_millis(request.body.get("ttl_ms").u64().max(1_000));
                state.last_lease += 1;
                let lease = state.last_lease;
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                Some((200, map([("lease", lease.into()), ("ttl_ms", (ttl.as_millis() as u64).into())])))
            }
            path => {
                let id = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                if path.starts_with("/api/kv-lease-end/") {
                    state.end_lease(id);
                    self.changed.notify_all();
                    return Some((200, map([])));
                }
                Some(match state.leases.get_mut(&id) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        (200, map([("ttl_ms", (ttl.as_millis() as u64).into())]))
                    }
                    None => (404, map([])),
                })
            }
        }
    }

    fn transact(&self, state: &mut State, change: &Json) -> (u16, Json) {
        let rows = |name: &str| change.get(name).list().to_vec();
        let (conditions, writes, removes) =
            (rows("expected_revision"), rows("set_keys"), rows("remove"));
        if conditions.len() + writes.len() + removes.len() > MAX_ENTRIES {
            self.record.note("store: a transaction with more than 32 entries was refused");
            return (400, map([]));
        }
        let values: Vec<Vec<u8>> =
            writes.iter().map(|row| unbase64(row.get("value").str())).collect();
        if let Some(index) = values.iter().position(|value| value.len() > VALUE_BYTES) {
            state.too_large += 1;
            if state.too_large <= 3 || state.too_large % 20 == 0 {
                let (key, size) = (writes[index].get("key").str(), values[index].len());
                let count = state.too_large;
                self.record.note(&format!(
                    "store: transaction refused (400): {key} has {size} bytes, at most {VALUE_BYTES}; {count} so far"
                ));
            }
            return (400, map([]));
        }
        let holds = |row: &Json| {
            let revision = state.items.get(row.get("key").str()).map_or(0, |item| item.revision);
            revision == row.get("revision").u64()
        };
        if !conditions.iter().all(holds) {
            let keys = conditions.iter().map(|row| row.get("key").str());
            let items = keys.filter(|key| state.items.contains_key(*key)).map(|key| state.item(key));
            return (412, map([("items", items.collect::<Vec<_>>().into())]));
        }
        let lease_known =
            |row: &Json| row.get("lease").u64() == 0 || state.leases.contains_key(&row.get("lease").u64());
        if !writes.iter().all(lease_known) {
            return (404, map([]));
        }
        state.revision += 1;
        for (row, value) in writes.iter().zip(values) {
            state.put(row.get("key").str(), value, row.get("lease").u64());
        }
        for key in &removes {
            state.remove(key.str());
        }
        (200, map([("revision", state.revision.into())]))
    }
}
