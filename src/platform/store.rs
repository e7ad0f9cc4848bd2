//! The platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::{Method, Response, StatusCode};
use log::warn;
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};

use crate::client::{ClientError, HttpClient};
use crate::node::{
    KeyEvent, KeyItem, KeyPage, KeyTransaction, KeyWrite, LeaseId, StoreError, TransactionOutcome,
    UnreadableKind, WatchOutcome, count_unreadable,
};
use crate::platform::http::{JsonCall, read_json, send_json};

type Result<T> = std::result::Result<T, StoreError>;

const KEY_PATH: &str = "/api/kv-key";
const RANGE_PATH: &str = "/api/kv-range";
const WATCH_PATH: &str = "/api/kv-watch";
const TRANSACTION_PATH: &str = "/api/kv-txn";
const LEASE_PATH: &str = "/api/kv-lease";
const KEEP_PATH: &str = "/api/kv-keep";
const END_PATH: &str = "/api/kv-lease-end";

/// Longest time for one call: answers take 4 ms, 240 ms where the store is sixty times slower.
const CALL_TIME: Duration = Duration::from_millis(800);
/// Longest time for a page of a range: a megabyte over a link of 20 Mbit/s takes half a second.
pub(crate) const PAGE_TIME: Duration = Duration::from_millis(2_500);
/// Added to a watch's own time before it counts as cut.
const WATCH_SLACK: Duration = Duration::from_millis(700);

/// A value as the store gives it out, or what another writer has left in its place.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(untagged)]
enum WireValue {
    Text(String),
    Other(IgnoredAny),
}

/// An item, an event, or either without the parts that it does not have.
#[derive(Debug)]
#[derive(Deserialize)]
struct WireItem {
    key: String,
    #[serde(default)]
    value: Option<WireValue>,
    #[serde(default)]
    revision: u64,
    #[serde(default)]
    deleted: bool,
}

/// A place in a list: one that holds something else does not make the list unreadable.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(untagged)]
enum WireSlot {
    Item(WireItem),
    Other(IgnoredAny),
}

#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct WirePage {
    #[serde(default)]
    items: Vec<WireSlot>,
    #[serde(default)]
    has_more: bool,
    /// The store's revision when it answered.
    #[serde(rename = "as_of", default)]
    revision: u64,
}

impl From<WirePage> for KeyPage {
    fn from(page: WirePage) -> Self {
        let items = page.items.into_iter().filter_map(named).map(item).collect();
        Self { items, more: page.has_more, revision: page.revision }
    }
}

#[derive(Debug)]
#[derive(Deserialize)]
struct WireEvents {
    #[serde(default)]
    events: Vec<WireSlot>,
    /// Where the next watch goes on.
    #[serde(rename = "as_of", default)]
    revision: u64,
}

#[derive(Debug)]
#[derive(Serialize)]
struct WireCondition<'t> {
    key: &'t str,
    revision: u64,
}

impl<'t> WireCondition<'t> {
    fn new((key, revision): &'t (String, u64)) -> Self {
        Self { key, revision: *revision }
    }
}

#[derive(Debug)]
#[derive(Serialize)]
struct WireSet<'t> {
    key: &'t str,
    value: String,
    #[serde(skip_serializing_if = "is_zero")]
    lease: u64,
}

impl<'t> WireSet<'t> {
    fn new(set: &'t KeyWrite) -> Self {
        let value = STANDARD.encode(&set.value);
        Self { key: &set.key, value, lease: set.lease.unwrap_or(0) }
    }
}

fn is_zero(lease: &u64) -> bool {
    *lease == 0
}

#[derive(Debug)]
#[derive(Serialize)]
struct WireTransaction<'t> {
    /// Revision that each key must have; 0 where it must not exist.
    expected_revision: Vec<WireCondition<'t>>,
    set_keys: Vec<WireSet<'t>>,
    remove: &'t [String],
}

#[derive(Debug)]
#[derive(Deserialize)]
struct WireRevision {
    revision: u64,
}

#[derive(Debug)]
#[derive(Serialize)]
struct WireTtl {
    ttl_ms: u64,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct WireLease {
    lease: u64,
}

/// A client of the store.
#[derive(Clone, Debug)]
pub(crate) struct PlatformStore {
    address: SocketAddr,
    client: HttpClient,
}

impl PlatformStore {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { address, client: HttpClient::new() }
    }

    /// Reads a key; `None` where it does not exist.
    pub(crate) async fn get(&self, key: &str) -> Result<Option<KeyItem>> {
        let path = format!("{KEY_PATH}?key={}", escape_query(key));
        let response = self.read(&path, CALL_TIME).await?;
        match response.status() {
            StatusCode::OK => Ok(Some(item(read(&response)?))),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(refused(status)),
        }
    }

    /// Reads a page of the keys that begin with a prefix, after a key.
    pub(crate) async fn page(&self, prefix: &str, after: &str) -> Result<KeyPage> {
        self.page_within(prefix, after, PAGE_TIME).await
    }

    /// The same where its answer may take a time of its own.
    pub(crate) async fn page_within(
        &self,
        prefix: &str,
        after: &str,
        time: Duration,
    ) -> Result<KeyPage> {
        let path = match after.is_empty() {
            true => format!("{RANGE_PATH}?prefix={}", escape_query(prefix)),
            false => {
                let (prefix, after) = (escape_query(prefix), escape_query(after));
                format!("{RANGE_PATH}?prefix={prefix}&after={after}")
            }
        };
        let response = self.read(&path, time).await?;
        match response.status() {
            StatusCode::OK => {
                let page: WirePage = read(&response)?;
                Ok(page.into())
            }
            status => Err(refused(status)),
        }
    }

    /// Waits for changes of keys that begin with a prefix, after a revision.
    pub(crate) async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchOutcome> {
        let millis = wait.as_millis();
        let prefix = escape_query(prefix);
        let path = format!("{WATCH_PATH}?prefix={prefix}&after={after}&wait_ms={millis}");
        let response = self.read(&path, wait + WATCH_SLACK).await?;
        match response.status() {
            StatusCode::OK => {
                let events: WireEvents = read(&response)?;
                let revision = events.revision;
                let events = events.events.into_iter().filter_map(named).map(event).collect();
                Ok(WatchOutcome::Events { events, revision })
            }
            StatusCode::GONE => Ok(WatchOutcome::HistoryGone),
            status => Err(refused(status)),
        }
    }

    /// Changes keys under conditions, all or nothing.
    pub(crate) async fn transact(&self, change: &KeyTransaction) -> Result<TransactionOutcome> {
        let body = WireTransaction {
            expected_revision: change.conditions.iter().map(WireCondition::new).collect(),
            set_keys: change.writes.iter().map(WireSet::new).collect(),
            remove: &change.removes,
        };
        let response = self.write(Method::POST, TRANSACTION_PATH, Some(&body)).await?;
        match response.status() {
            StatusCode::OK => {
                let done: WireRevision = read(&response)?;
                Ok(TransactionOutcome::Done(done.revision))
            }
            StatusCode::PRECONDITION_FAILED => {
                let page: WirePage = read(&response)?;
                let items = page.items.into_iter().filter_map(named);
                let items = items.filter(|item| item.value.is_some()).map(item).collect();
                Ok(TransactionOutcome::Conflict(items))
            }
            StatusCode::NOT_FOUND => Ok(TransactionOutcome::NoLease),
            status => Err(refused(status)),
        }
    }

    /// Makes a lease.
    pub(crate) async fn create_lease(&self, ttl: Duration) -> Result<LeaseId> {
        let body = WireTtl { ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX) };
        let response = self.write(Method::POST, LEASE_PATH, Some(&body)).await?;
        match response.status() {
            StatusCode::OK => Ok(read::<WireLease>(&response)?.lease),
            status => Err(refused(status)),
        }
    }

    /// Renews a lease; tells whether it still existed.
    pub(crate) async fn renew_lease(&self, lease: LeaseId) -> Result<bool> {
        let path = format!("{KEEP_PATH}/{lease}");
        let response = self.write::<()>(Method::POST, &path, None).await?;
        match response.status() {
            StatusCode::OK => Ok(true),
            StatusCode::NOT_FOUND => Ok(false),
            status => Err(refused(status)),
        }
    }

    /// Ends a lease; its keys go at once.
    pub(crate) async fn end_lease(&self, lease: LeaseId) -> Result<()> {
        let path = format!("{END_PATH}/{lease}");
        let response = self.write::<()>(Method::DELETE, &path, None).await?;
        match response.status() {
            StatusCode::OK | StatusCode::NOT_FOUND => Ok(()),
            status => Err(refused(status)),
        }
    }

    async fn read(&self, path: &str, time: Duration) -> Result<Response<Bytes>> {
        let call = JsonCall {
            line: "store",
            method: Method::GET,
            address: self.address,
            path,
            headers: &[],
            time,
        };
        send_json::<()>(&self.client, call, None).await.map_err(failed)
    }

    async fn write<B: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: Option<&B>,
    ) -> Result<Response<Bytes>> {
        let call = JsonCall {
            line: "store",
            method,
            address: self.address,
            path,
            headers: &[],
            time: CALL_TIME,
        };
        send_json(&self.client, call, body).await.map_err(failed)
    }
}

/// A text as it stands in a query: a page that ends with a strange key has a next one, too.
pub(super) fn escape_query(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'-' | b'.' | b'_' | b'~' | b'/' => escaped.push(byte.into()),
            byte if byte.is_ascii_alphanumeric() => escaped.push(byte.into()),
            byte => escaped.push_str(&format!("%{byte:02X}")),
        }
    }
    escaped
}

fn read<T: serde::de::DeserializeOwned>(response: &Response<Bytes>) -> Result<T> {
    read_json(response).map_err(failed)
}

fn failed(error: ClientError) -> StoreError {
    match error {
        ClientError::NotSent(reason) | ClientError::Refused(reason) => StoreError::NotDone(reason),
        ClientError::NoAnswer(reason) => StoreError::Unknown(reason),
    }
}

/// The store says of 429 and 503 that nothing was done; of any other answer that is assumed to be
/// unknown.
fn refused(status: StatusCode) -> StoreError {
    match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            StoreError::NotDone(status.to_string())
        }
        _ => StoreError::Unknown(format!("unexpected answer {status}")),
    }
}

/// The item in a place of a list, if one is there.
fn named(slot: WireSlot) -> Option<WireItem> {
    match slot {
        WireSlot::Item(item) => Some(item),
        WireSlot::Other(_) => {
            count_unreadable(UnreadableKind::Item);
            warn!("the store lists what is no item");
            None
        }
    }
}

/// The bytes of a value; none where they cannot be read: whoever decodes them finds that, with the key.
fn value(wire: Option<WireValue>) -> Bytes {
    match wire {
        Some(WireValue::Text(text)) => STANDARD.decode(text).map(Bytes::from).unwrap_or_default(),
        Some(WireValue::Other(_)) | None => Bytes::new(),
    }
}

fn item(wire: WireItem) -> KeyItem {
    KeyItem { key: wire.key, value: value(wire.value), revision: wire.revision }
}

fn event(wire: WireItem) -> KeyEvent {
    match wire.deleted {
        true => KeyEvent::Removed(wire.key),
        false => KeyEvent::Written(item(wire)),
    }
}
