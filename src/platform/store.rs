//! Client of the platform's store.

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

/// Timeout of a call. Answers take 4 ms, or 240 ms when the store is sixty times slower.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of a call for a page of a range. A megabyte over a link of 20 Mbit/s takes half a second.
pub(crate) const PAGE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Number of events in the answer to a watch; the store lists further ones from the answer's revision on.
const MAX_LISTED_EVENTS: usize = 500;
/// Added to a watch's wait time to get the timeout of its call.
const WATCH_SLACK: Duration = Duration::from_millis(700);

/// A value as the store returns it. Another writer may have stored something that is not a text.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(untagged)]
enum WireValue {
    Text(String),
    Other(IgnoredAny),
}

/// An item or an event. Fields that an event of a removed key lacks are optional.
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

/// An element of a list. An element that is not an item does not make the whole list unreadable.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(untagged)]
enum WireListEntry {
    Item(WireItem),
    Other(IgnoredAny),
}

#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct WirePage {
    #[serde(default)]
    items: Vec<WireListEntry>,
    #[serde(default)]
    has_more: bool,
    /// The store's revision at the time of the answer.
    #[serde(rename = "as_of", default)]
    revision: u64,
}

impl From<WirePage> for KeyPage {
    fn from(page: WirePage) -> Self {
        let items = page.items.into_iter().filter_map(readable_item).map(key_item).collect();
        Self { items, more: page.has_more, revision: page.revision }
    }
}

#[derive(Debug)]
#[derive(Deserialize)]
struct WireEvents {
    #[serde(default)]
    events: Vec<WireListEntry>,
    /// Revision from which the next watch continues.
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
struct WireKeyWrite<'t> {
    key: &'t str,
    value: String,
    #[serde(skip_serializing_if = "is_zero")]
    lease: u64,
}

impl<'t> WireKeyWrite<'t> {
    fn new(write: &'t KeyWrite) -> Self {
        let value = STANDARD.encode(&write.value);
        Self { key: &write.key, value, lease: write.lease.unwrap_or(0) }
    }
}

fn is_zero(lease: &u64) -> bool {
    *lease == 0
}

#[derive(Debug)]
#[derive(Serialize)]
struct WireTransaction<'t> {
    /// Revision that each key must have, or 0 if the key must not exist.
    expected_revision: Vec<WireCondition<'t>>,
    set_keys: Vec<WireKeyWrite<'t>>,
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

    /// Reads a key. Returns `None` if it does not exist.
    pub(crate) async fn get(&self, key: &str) -> Result<Option<KeyItem>> {
        let path = format!("{KEY_PATH}?key={}", escape_query(key));
        let response = self.read(&path, CALL_TIMEOUT).await?;
        match response.status() {
            StatusCode::OK => Ok(Some(key_item(decode(&response)?))),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(status_error(status)),
        }
    }

    /// Reads a page of the keys that begin with a prefix and sort after a key.
    pub(crate) async fn page_within(
        &self,
        prefix: &str,
        after: &str,
        timeout: Duration,
    ) -> Result<KeyPage> {
        let path = match after.is_empty() {
            true => format!("{RANGE_PATH}?prefix={}", escape_query(prefix)),
            false => {
                let (prefix, after) = (escape_query(prefix), escape_query(after));
                format!("{RANGE_PATH}?prefix={prefix}&after={after}")
            }
        };
        let response = self.read(&path, timeout).await?;
        match response.status() {
            StatusCode::OK => {
                let page: WirePage = decode(&response)?;
                Ok(page.into())
            }
            status => Err(status_error(status)),
        }
    }

    /// Waits for changes after a revision to keys that begin with a prefix.
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
                let events: WireEvents = decode(&response)?;
                let revision = events.revision;
                let has_more = events.events.len() >= MAX_LISTED_EVENTS;
                let events =
                    events.events.into_iter().filter_map(readable_item).map(key_event).collect();
                Ok(WatchOutcome::Events { events, revision, has_more })
            }
            StatusCode::GONE => Ok(WatchOutcome::HistoryGone),
            status => Err(status_error(status)),
        }
    }

    /// Applies a transaction: all its changes if all its conditions hold, otherwise none.
    pub(crate) async fn transact(
        &self,
        transaction: &KeyTransaction,
    ) -> Result<TransactionOutcome> {
        let body = WireTransaction {
            expected_revision: transaction.conditions.iter().map(WireCondition::new).collect(),
            set_keys: transaction.writes.iter().map(WireKeyWrite::new).collect(),
            remove: &transaction.removes,
        };
        let response = self.write(Method::POST, TRANSACTION_PATH, Some(&body)).await?;
        match response.status() {
            StatusCode::OK => {
                let done: WireRevision = decode(&response)?;
                Ok(TransactionOutcome::Done(done.revision))
            }
            StatusCode::PRECONDITION_FAILED => {
                let page: WirePage = decode(&response)?;
                let items = page.items.into_iter().filter_map(readable_item);
                let items = items.filter(|item| item.value.is_some()).map(key_item).collect();
                Ok(TransactionOutcome::Conflict(items))
            }
            StatusCode::NOT_FOUND => Ok(TransactionOutcome::NoLease),
            status => Err(status_error(status)),
        }
    }

    /// Creates a lease.
    pub(crate) async fn create_lease(&self, ttl: Duration) -> Result<LeaseId> {
        let body = WireTtl { ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX) };
        let response = self.write(Method::POST, LEASE_PATH, Some(&body)).await?;
        match response.status() {
            StatusCode::OK => Ok(decode::<WireLease>(&response)?.lease),
            status => Err(status_error(status)),
        }
    }

    /// Renews a lease. Returns whether it still existed.
    pub(crate) async fn renew_lease(&self, lease: LeaseId) -> Result<bool> {
        let path = format!("{KEEP_PATH}/{lease}");
        let response = self.write::<()>(Method::POST, &path, None).await?;
        match response.status() {
            StatusCode::OK => Ok(true),
            StatusCode::NOT_FOUND => Ok(false),
            status => Err(status_error(status)),
        }
    }

    /// Ends a lease and removes its keys.
    pub(crate) async fn end_lease(&self, lease: LeaseId) -> Result<()> {
        let path = format!("{END_PATH}/{lease}");
        let response = self.write::<()>(Method::DELETE, &path, None).await?;
        match response.status() {
            StatusCode::OK | StatusCode::NOT_FOUND => Ok(()),
            status => Err(status_error(status)),
        }
    }

    async fn read(&self, path: &str, timeout: Duration) -> Result<Response<Bytes>> {
        let call = JsonCall {
            line: "store",
            method: Method::GET,
            address: self.address,
            path,
            headers: &[],
            timeout,
        };
        send_json::<()>(&self.client, call, None).await.map_err(store_error)
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
            timeout: CALL_TIMEOUT,
        };
        send_json(&self.client, call, body).await.map_err(store_error)
    }
}

/// Percent-encodes a text for a query. Without it, a page that ends with a key with reserved characters
/// could not be continued.
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

fn decode<T: serde::de::DeserializeOwned>(response: &Response<Bytes>) -> Result<T> {
    read_json(response).map_err(store_error)
}

fn store_error(error: ClientError) -> StoreError {
    match error {
        ClientError::NotSent(reason) | ClientError::Refused(reason) => StoreError::NotDone(reason),
        ClientError::NoAnswer(reason) => StoreError::Unknown(reason),
    }
}

/// Maps an unexpected status to an error. By the store's contract nothing was done after 429 and 503, and nothing is done
/// for a call that it rejects; after any other status the outcome is treated as unknown.
fn status_error(status: StatusCode) -> StoreError {
    match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            StoreError::NotDone(status.to_string())
        }
        StatusCode::BAD_REQUEST | StatusCode::FORBIDDEN | StatusCode::PAYLOAD_TOO_LARGE => {
            StoreError::Invalid(status.to_string())
        }
        _ => StoreError::Unknown(format!("unexpected answer {status}")),
    }
}

/// Returns the item in an element of a list, or `None` if the element is something else.
fn readable_item(entry: WireListEntry) -> Option<WireItem> {
    match entry {
        WireListEntry::Item(item) => Some(item),
        WireListEntry::Other(_) => {
            count_unreadable(UnreadableKind::Item);
            warn!("skipped an unreadable item in an answer of the store");
            None
        }
    }
}

/// Decodes the bytes of a value. A value that is not base64 becomes empty; the decoder of the item then
/// reports it with its key.
fn decode_value(wire: Option<WireValue>) -> Bytes {
    match wire {
        Some(WireValue::Text(text)) => STANDARD.decode(text).map(Bytes::from).unwrap_or_default(),
        Some(WireValue::Other(_)) | None => Bytes::new(),
    }
}

fn key_item(wire: WireItem) -> KeyItem {
    KeyItem { key: wire.key, value: decode_value(wire.value), revision: wire.revision }
}

fn key_event(wire: WireItem) -> KeyEvent {
    match wire.deleted {
        true => KeyEvent::Removed { key: wire.key, revision: wire.revision },
        false => KeyEvent::Written(key_item(wire)),
    }
}
