//! The platform's store: items, leases, transactions under conditions, and watches.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use crate::http::{Reply, Request, Server};
use crate::record::Record;

const PAGE_ITEMS: usize = 500;
const TRANSACTION_ENTRIES: usize = 32;
const KEY_BYTES: usize = 200;
const VALUE_BYTES: usize = 1 << 20;

struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<(u64, Value)>,
    leases: BTreeMap<u64, Lease>,
}

/// Decides whether the answer of a write that is done is lost, by its path and body.
pub type AnswerLoss = Box<dyn FnMut(&str, &Value) -> bool + Send>;

pub struct Store {
    content: Mutex<Content>,
    changed: Condvar,
    /// Whether every call is answered 503 and nothing is done.
    busy: Mutex<bool>,
    loss: Mutex<Option<AnswerLoss>>,
    record: Arc<Record>,
}

impl Store {
    pub fn start(address: SocketAddr, record: Arc<Record>) -> (Arc<Self>, Arc<Server>) {
        let store = Arc::new(Self {
            content: Mutex::default(),
            changed: Condvar::new(),
            busy: Mutex::new(false),
            loss: Mutex::new(None),
            record,
        });
        let serving = store.clone();
        let server = Server::start(address, Arc::new(move |request| serving.answer(&request)));
        (store, server)
    }

    pub fn set_busy(&self, busy: bool) {
        *self.busy.lock().unwrap() = busy;
        self.record.line(format!("store: {}", if busy { "down (503 to every call)" } else { "back" }));
    }

    pub fn set_loss(&self, loss: Option<AnswerLoss>) {
        *self.loss.lock().unwrap() = loss;
    }

    /// Writes as the operator or a worker does.
    pub fn put(&self, key: &str, value: &Value) {
        let mut content = self.content.lock().unwrap();
        content.revision += 1;
        content.write(key, value.to_string().into_bytes(), 0);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut content = self.content.lock().unwrap();
        content.revision += 1;
        content.remove(key);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> Reply {
        if *self.busy.lock().unwrap() {
            return Reply::Json(503, json!({}));
        }
        self.content.lock().unwrap().expire(&self.changed);
        match request.path.as_str() {
            "/api/kv-key" => {
                let content = self.content.lock().unwrap();
                match content.items.contains_key(request.param("key")) {
                    true => {
                        let mut item = content.item(request.param("key"));
                        item["as_of"] = json!(content.revision);
                        Reply::Json(200, item)
                    }
                    false => Reply::Json(404, json!({"as_of": content.revision})),
                }
            }
            "/api/kv-range" => self.range(request),
            "/api/kv-watch" => self.watch(request),
            path => self.write(path, &request.body),
        }
    }

    fn range(&self, request: &Request) -> Reply {
        let (prefix, after) = (request.param("prefix"), request.param("after"));
        let content = self.content.lock().unwrap();
        let keys = content.items.keys();
        let mut keys = keys.filter(|key| key.starts_with(prefix) && key.as_str() > after).peekable();
        let items: Vec<Value> = keys.by_ref().take(PAGE_ITEMS).map(|key| content.item(key)).collect();
        let has_more = keys.peek().is_some();
        Reply::Json(200, json!({"items": items, "has_more": has_more, "as_of": content.revision}))
    }

    fn watch(&self, request: &Request) -> Reply {
        let (prefix, after) = (request.param("prefix"), request.number("after"));
        let ends = Instant::now() + Duration::from_millis(request.number("wait_ms"));
        let mut content = self.content.lock().unwrap();
        loop {
            content.expire(&self.changed);
            let fits = |(revision, event): &&(u64, Value)| {
                *revision > after && event["key"].as_str().is_some_and(|key| key.starts_with(prefix))
            };
            let events: Vec<Value> =
                content.events.iter().filter(fits).map(|(_, event)| event.clone()).collect();
            if *self.busy.lock().unwrap() {
                return Reply::Json(503, json!({}));
            }
            if !events.is_empty() || Instant::now() >= ends {
                return Reply::Json(200, json!({"events": events, "as_of": content.revision}));
            }
            let wait = Duration::from_millis(10);
            content = self.changed.wait_timeout(content, wait).unwrap().0;
        }
    }

    fn write(&self, path: &str, body: &Value) -> Reply {
        let (status, answer) = {
            let mut content = self.content.lock().unwrap();
            let answer = match path {
                "/api/kv-txn" => content.transact(body),
                "/api/kv-lease" => {
                    let ttl_ms = body["ttl_ms"].as_u64().unwrap_or(1_000);
                    content.revision += 1;
                    let (id, ttl) = (70_000 + content.revision, Duration::from_millis(ttl_ms));
                    content.leases.insert(id, Lease { ttl, ends: Instant::now() + ttl });
                    (200, json!({"lease": id, "ttl_ms": ttl_ms}))
                }
                path => content.lease_call(path),
            };
            self.changed.notify_all();
            answer
        };
        let is_keep = path.starts_with("/api/kv-keep/");
        if !is_keep && status == 200 {
            let is_lost = self.loss.lock().unwrap().as_mut().is_some_and(|loss| loss(path, body));
            let keys = body["set_keys"].as_array().into_iter().flatten();
            let keys: Vec<&str> = keys.filter_map(|row| row["key"].as_str()).collect();
            let lost = if is_lost { ", its answer is lost" } else { "" };
            self.record.line(format!("store: {path} done {keys:?}{lost}"));
            if is_lost {
                return Reply::Close;
            }
        }
        Reply::Json(status, answer)
    }
}

impl Content {
    fn write(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let revision = self.revision;
        self.items.insert(key.to_owned(), Item { value, revision, created, lease });
        let event = self.item(key);
        self.events.push((revision, event));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event = json!({"key": key, "revision": self.revision, "deleted": true});
            self.events.push((self.revision, event));
        }
    }

    fn item(&self, key: &str) -> Value {
        let Item { value, revision, created, lease } = &self.items[key];
        json!({"key": key, "value": STANDARD.encode(value), "revision": revision, "created": created, "lease": lease})
    }

    fn expire(&mut self, changed: &Condvar) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| lease.ends < now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
            changed.notify_all();
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        self.revision += 1;
        let keys = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn lease_call(&mut self, path: &str) -> (u16, Value) {
        let id = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        if path.starts_with("/api/kv-lease-end/") {
            return match self.leases.contains_key(&id) {
                true => {
                    self.end_lease(id);
                    (200, json!({}))
                }
                false => (404, json!({})),
            };
        }
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.ends = Instant::now() + lease.ttl;
                (200, json!({"ttl_ms": lease.ttl.as_millis() as u64}))
            }
            None => (404, json!({})),
        }
    }

    fn transact(&mut self, body: &Value) -> (u16, Value) {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let (conditions, sets, removes) = (rows("expected_revision"), rows("set_keys"), rows("remove"));
        let text = |row: &Value| row["key"].as_str().or(row.as_str()).unwrap_or_default().to_owned();
        let count = conditions.len() + sets.len() + removes.len();
        let has_long_key = conditions.iter().chain(&sets).any(|row| text(row).len() > KEY_BYTES);
        if count > TRANSACTION_ENTRIES || has_long_key {
            return (400, json!({}));
        }
        let holds = |row: &Value| {
            let revision = self.items.get(&text(row)).map_or(0, |item| item.revision);
            row["revision"].as_u64() == Some(revision)
        };
        if !conditions.iter().all(holds) {
            let keys = conditions.iter().map(text).filter(|key| self.items.contains_key(key));
            let items: Vec<Value> = keys.map(|key| self.item(&key)).collect();
            return (412, json!({"items": items}));
        }
        let lease_of = |row: &Value| row["lease"].as_u64().unwrap_or(0);
        if sets.iter().map(lease_of).any(|id| id != 0 && !self.leases.contains_key(&id)) {
            return (404, json!({}));
        }
        let decode = |row: &Value| STANDARD.decode(row["value"].as_str().unwrap_or_default());
        let values: Vec<Vec<u8>> = sets.iter().filter_map(|row| decode(row).ok()).collect();
        if values.len() < sets.len() || values.iter().any(|value| value.len() > VALUE_BYTES) {
            return (400, json!({}));
        }
        self.revision += 1;
        for (row, value) in sets.iter().zip(values) {
            self.write(&text(row), value, lease_of(row));
        }
        for key in &removes {
            self.remove(&text(key));
        }
        (200, json!({"revision": self.revision}))
    }
}
