//! The platform's store: keys, leases, conditional changes and watches.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, serve};
use crate::json::{Json, from_base64, map, num, parse, text, to_base64};

/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Number of items on a page, and of events in an answer.
const PAGE: usize = 500;

#[derive(Clone)]
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
    events: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

/// A store that serves each system process at an address of its own.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

/// Whether a process reaches the store. While it does not, its calls are neither carried out nor answered.
#[derive(Clone, Default)]
pub struct Path {
    cut: Arc<AtomicBool>,
    /// Number of times that the channels of waiting configuration watches went silent.
    silences: Arc<AtomicU64>,
}

impl Path {
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }

    /// Makes the open channel of the watch for the desired state go silent for good: it stays open, and nothing comes
    /// from it any more. New channels work.
    pub fn silence_config_watch(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }

    fn silences(&self) -> u64 {
        self.silences.load(Ordering::SeqCst)
    }

    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }

    /// Waits until the path is open again.
    fn wait(&self) {
        while self.is_cut() {
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Store {
    pub fn new() -> Self {
        let store = Self { state: Arc::default() };
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(2));
                expiring.expire();
            }
        });
        store
    }

    /// Opens an address for one process.
    pub fn open(&self, listener: TcpListener) -> (SocketAddr, Path) {
        let address = listener.local_addr().expect("an address");
        let (path, store) = (Path::default(), self.clone());
        let own = path.clone();
        serve(
            listener,
            Arc::new(move |request| {
                if own.is_cut() {
                    own.wait();
                    return None;
                }
                let answer = store.answer(request, &own);
                thread::sleep(ANSWER_TIME);
                if own.is_cut() {
                    own.wait();
                    return None;
                }
                let (status, body) = answer;
                Some((status, body.write()))
            }),
        );
        (address, path)
    }

    /// Writes a key, as the operator and the minions do.
    pub fn put(&self, key: &str, value: &Json) {
        self.change(|state| state.write(key, value.write().into_bytes(), 0));
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.change(|state| state.remove(key));
    }

    /// Value of a key.
    pub fn value(&self, key: &str) -> Option<Json> {
        parse(&self.state.0.lock().unwrap().items.get(key)?.value)
    }

    /// Keys under a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.0.lock().unwrap();
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        change(&mut state);
        self.state.1.notify_all();
    }

    fn expire(&self) {
        let now = Instant::now();
        let mut state = self.state.0.lock().unwrap();
        let ended: Vec<u64> =
            state.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            state.end_lease(lease);
            self.state.1.notify_all();
        }
    }

    fn answer(&self, request: &Request, path: &Path) -> (u16, Json) {
        let body = parse(&request.body).unwrap_or(Json::Null);
        let (method, target) = (request.method.as_str(), request.path.as_str());
        match (method, target) {
            ("GET", "/api/kv-key") => {
                let state = self.state.0.lock().unwrap();
                match state.items.get(request.query("key")) {
                    Some(item) => {
                        let mut body = item_json(request.query("key"), item);
                        if let Json::Map(map) = &mut body {
                            map.insert("as_of".to_owned(), num(state.revision));
                        }
                        (200, body)
                    }
                    None => (404, map(vec![("as_of", num(state.revision))])),
                }
            }
            ("GET", "/api/kv-range") => {
                let (prefix, after) = (request.query("prefix"), request.query("after"));
                let state = self.state.0.lock().unwrap();
                let found = state.items.iter();
                let found = found.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
                let mut items: Vec<Json> =
                    found.take(PAGE + 1).map(|(key, item)| item_json(key, item)).collect();
                let more = items.len() > PAGE;
                items.truncate(PAGE);
                let body = vec![
                    ("items", Json::List(items)),
                    ("has_more", Json::Bool(more)),
                    ("as_of", num(state.revision)),
                ];
                (200, map(body))
            }
            ("GET", "/api/kv-watch") => self.watch(request, path),
            ("POST", "/api/kv-txn") => {
                let mut state = self.state.0.lock().unwrap();
                let answer = state.transact(&body);
                self.state.1.notify_all();
                answer
            }
            ("POST", "/api/kv-lease") => {
                let ttl = body.get("ttl_ms").int().clamp(1_000, 600_000);
                let mut state = self.state.0.lock().unwrap();
                state.last_lease += 1;
                let (id, time) = (state.last_lease, Duration::from_millis(ttl));
                state.leases.insert(id, (time, Instant::now() + time));
                (200, map(vec![("lease", num(id)), ("ttl_ms", num(ttl))]))
            }
            _ => {
                let keep = target.strip_prefix("/api/kv-keep/").and_then(|id| id.parse().ok());
                let end = target.strip_prefix("/api/kv-lease-end/").and_then(|id| id.parse().ok());
                let mut state = self.state.0.lock().unwrap();
                if let Some(lease) = keep {
                    return match state.leases.get_mut(&lease) {
                        Some((time, until)) => {
                            *until = Instant::now() + *time;
                            (200, map(vec![]))
                        }
                        None => (404, map(vec![])),
                    };
                }
                match end {
                    Some(lease) if state.leases.contains_key(&lease) => {
                        state.end_lease(lease);
                        self.state.1.notify_all();
                        (200, map(vec![]))
                    }
                    _ => (404, map(vec![])),
                }
            }
        }
    }

    fn watch(&self, request: &Request, path: &Path) -> (u16, Json) {
        let (prefix, after) = (request.query("prefix"), request.query("after").parse().unwrap_or(0));
        let wait = Duration::from_millis(request.query("wait_ms").parse().unwrap_or(0).min(30_000));
        let until = Instant::now() + wait;
        let silences = path.silences();
        let mut state = self.state.0.lock().unwrap();
        loop {
            if prefix.starts_with("op/") && path.silences() != silences {
                drop(state);
                loop {
                    thread::park();
                }
            }
            let first = state.events.partition_point(|(revision, ..)| *revision <= after);
            let found = state.events[first..].iter().filter(|(_, key, _)| key.starts_with(prefix));
            let events: Vec<Json> = found
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => map(vec![
                        ("key", text(key)),
                        ("revision", num(*revision)),
                        ("deleted", Json::Bool(true)),
                    ]),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || path.is_cut() {
                let body = vec![("events", Json::List(events)), ("as_of", num(state.revision))];
                return (200, map(body));
            }
            state = self.state.1.wait_timeout(state, left.min(Duration::from_millis(50))).unwrap().0;
        }
    }
}

fn item_json(key: &str, item: &Item) -> Json {
    map(vec![
        ("key", text(key)),
        ("value", Json::Text(to_base64(&item.value))),
        ("revision", num(item.revision)),
        ("created", num(item.created)),
        ("lease", num(item.lease)),
    ])
}

impl State {
    fn write(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        self.revision += 1;
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }

    fn transact(&mut self, body: &Json) -> (u16, Json) {
        let conditions = body.get("expected_revision").list();
        let (writes, removes) = (body.get("set_keys").list(), body.get("remove").list());
        if conditions.len() + writes.len() + removes.len() > 32 {
            return (400, map(vec![]));
        }
        let holds = |row: &Json| {
            let current = self.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            current == row.get("revision").int()
        };
        if !conditions.iter().all(holds) {
            let keys = conditions.iter().map(|row| row.get("key").text());
            let items = keys.filter_map(|key| Some(item_json(key, self.items.get(key)?)));
            return (412, map(vec![("items", Json::List(items.collect()))]));
        }
        let leases = writes.iter().map(|row| row.get("lease").int()).filter(|lease| *lease != 0);
        if leases.into_iter().any(|lease| !self.leases.contains_key(&lease)) {
            return (404, map(vec![]));
        }
        let own = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        if writes.iter().any(|row| own(row.get("key").text())) || removes.iter().any(|key| own(key.text())) {
            return (403, map(vec![]));
        }
        self.revision += 1;
        for row in writes {
            let value = from_base64(row.get("value").text());
            self.write(row.get("key").text(), value, row.get("lease").int());
        }
        for key in removes {
            self.remove(key.text());
        }
        (200, map(vec![("revision", num(self.revision))]))
    }
}
