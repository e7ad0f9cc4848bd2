//! Access to the platform's store and its list of VMs.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{ETAG, HeaderValue, IF_NONE_MATCH};
use hyper::{Method, Request, Response, StatusCode};
use log::warn;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::client::{ClientError, HttpClient, count_payload};
use crate::config::CONFIG_KEY;
use crate::domain::{DomainEvent, StoreOwner};
use crate::entry::ControlInput;
use crate::id::{CallId, KeyVersion};
use crate::ring::{RingReceiver, RingSender};
use crate::store::{StoreOutcome, StoreRequest, StoredValue};

/// Timeout for one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long the store holds a watch call open.
const WATCH_WAIT: Duration = Duration::from_secs(30);
/// Pause before a failed watch is repeated.
const WATCH_RETRY_PAUSE: Duration = Duration::from_millis(1_000);
/// Interval between reads of the list of VMs.
const VM_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum size of a value, in bytes.
const MAX_VALUE_BYTES: usize = 2 << 20;

/// Inputs of the store's thread.
#[derive(Debug)]
pub(crate) enum StoreInput {
    /// Makes a call to the store.
    Call(StoreOwner, CallId, StoreRequest),
    /// Ends the thread.
    Stop,
}

/// Client of the store's HTTP interface.
#[derive(Clone, Debug)]
pub(crate) struct StoreClient {
    address: SocketAddr,
    http: HttpClient,
}

impl StoreClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { address, http: HttpClient::new() }
    }

    /// Makes a call and returns its outcome.
    pub(crate) async fn call(&self, request: &StoreRequest) -> StoreOutcome {
        metrics::counter!("kelplink_store_calls_total", "kind" => request_kind(request))
            .increment(1);
        let (method, path, body) = match request {
            StoreRequest::Read { key } => (Method::GET, format!("/kv/{key}"), String::new()),
            StoreRequest::Swap { key, expected, value } => {
                count_payload("store", value.len());
                (Method::PUT, format!("/kv/{key}?expected={expected}"), value.clone())
            }
        };
        let result =
            self.http.call(method, self.address, &path, body, CALL_TIMEOUT, MAX_VALUE_BYTES).await;
        match (result, request) {
            (Err(ClientError::NotSent(_) | ClientError::Refused(_)), _) => {
                StoreOutcome::Unavailable
            }
            (Err(ClientError::NoAnswer(_)), StoreRequest::Read { .. }) => StoreOutcome::Unavailable,
            (Err(ClientError::NoAnswer(_)), StoreRequest::Swap { .. }) => StoreOutcome::Unknown,
            (Ok(response), _) => decode_outcome(request, response.status(), response.body()),
        }
    }

    /// Waits until the version of a key differs from `after`. Returns `None` if the store did not answer.
    async fn watch(&self, key: &str, after: Option<KeyVersion>) -> Option<StoreOutcome> {
        metrics::counter!("kelplink_store_calls_total", "kind" => "watch").increment(1);
        let wait = WATCH_WAIT.as_millis();
        let path = match after {
            Some(after) => format!("/watch/{key}?after={after}&wait_ms={wait}"),
            None => format!("/kv/{key}"),
        };
        let time_limit = WATCH_WAIT + CALL_TIMEOUT;
        let result =
            self.http.call(Method::GET, self.address, &path, "", time_limit, MAX_VALUE_BYTES).await;
        let response = result.ok()?;
        let request = StoreRequest::Read { key: key.to_owned() };
        match decode_outcome(&request, response.status(), response.body()) {
            StoreOutcome::Unavailable => None,
            outcome => Some(outcome),
        }
    }
}

fn request_kind(request: &StoreRequest) -> &'static str {
    match request {
        StoreRequest::Read { .. } => "read",
        StoreRequest::Swap { .. } => "swap",
    }
}

fn decode_outcome(request: &StoreRequest, status: StatusCode, body: &[u8]) -> StoreOutcome {
    match (request, status) {
        (_, StatusCode::NOT_FOUND | StatusCode::NO_CONTENT) => StoreOutcome::Missing,
        (_, StatusCode::CONFLICT) => StoreOutcome::Conflict,
        (StoreRequest::Read { .. }, StatusCode::OK) => match serde_json::from_slice(body) {
            Ok(stored) => StoreOutcome::Found(stored),
            Err(_) => StoreOutcome::Unavailable,
        },
        (StoreRequest::Swap { .. }, StatusCode::OK) => match serde_json::from_slice(body) {
            Ok(version) => StoreOutcome::Written(version),
            Err(_) => StoreOutcome::Unknown,
        },
        (StoreRequest::Swap { .. }, status) if status != StatusCode::SERVICE_UNAVAILABLE => {
            StoreOutcome::Unknown
        }
        _ => StoreOutcome::Unavailable,
    }
}

/// The loop that calls the platform's store and reads the list of VMs.
pub(crate) struct StoreLoop {
    store: StoreClient,
    vms: SocketAddr,
    input: RingReceiver<StoreInput>,
    control: RingSender<ControlInput>,
}

impl StoreLoop {
    pub(crate) fn new(
        store: SocketAddr,
        vms: SocketAddr,
        input: RingReceiver<StoreInput>,
        control: RingSender<ControlInput>,
    ) -> Self {
        Self { store: StoreClient::new(store), vms, input, control }
    }

    /// Runs until it is stopped.
    pub(crate) async fn run(self) {
        tokio::spawn(watch_head(self.store.clone(), self.control.clone()));
        tokio::spawn(poll_vms(self.vms, self.control.clone()));
        while let Some(StoreInput::Call(owner, id, request)) = self.input.recv().await {
            let (store, control) = (self.store.clone(), self.control.clone());
            tokio::spawn(async move {
                let outcome = store.call(&request).await;
                control.send(DomainEvent::Store(owner, id, outcome).into()).await;
            });
        }
    }
}

/// Watches the head of the configuration and sends an event to the control loop when it changes.
async fn watch_head(store: StoreClient, control: RingSender<ControlInput>) {
    let mut seen_version: Option<KeyVersion> = None;
    loop {
        let Some(outcome) = store.watch(CONFIG_KEY, seen_version).await else {
            sleep(WATCH_RETRY_PAUSE).await;
            continue;
        };
        let stored: Option<StoredValue> = match outcome {
            StoreOutcome::Found(stored) => Some(stored),
            _ => None,
        };
        let unchanged = seen_version.is_some()
            && stored.as_ref().is_none_or(|s| Some(s.version) == seen_version);
        seen_version =
            Some(stored.as_ref().map_or(seen_version.unwrap_or(0), |stored| stored.version));
        if !unchanged && !control.send(DomainEvent::ConfigHead(stored).into()).await {
            return;
        }
    }
}

/// Polls the platform's list of VMs and sends an event to the control loop when it changes.
async fn poll_vms(address: SocketAddr, control: RingSender<ControlInput>) {
    let http = HttpClient::new();
    let mut ticks = interval(VM_POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_body = Bytes::new();
    let mut etag: Option<HeaderValue> = None;
    loop {
        ticks.tick().await;
        let Some(response) = fetch_vms(&http, address, etag.as_ref()).await else {
            continue;
        };
        etag = response.headers().get(ETAG).cloned();
        if *response.body() == last_body {
            continue;
        }
        match serde_json::from_slice(response.body()) {
            Ok(vms) => {
                last_body = response.into_body();
                if !control.send(DomainEvent::Vms(vms).into()).await {
                    return;
                }
            }
            Err(error) => warn!("the list of VMs cannot be read: {error}"),
        }
    }
}

/// Requests the list of VMs. Returns `None` if the request failed or the list still has the given
/// entity tag.
async fn fetch_vms(
    http: &HttpClient,
    address: SocketAddr,
    etag: Option<&HeaderValue>,
) -> Option<Response<Bytes>> {
    let mut request = Request::builder().uri(format!("http://{address}/vms"));
    if let Some(etag) = etag {
        request = request.header(IF_NONE_MATCH, etag);
    }
    let request = request.body(Full::default()).ok()?;
    let response = http.send(request, CALL_TIMEOUT, MAX_VALUE_BYTES).await.ok()?;
    count_payload("vms", response.body().len());
    (response.status() == StatusCode::OK).then_some(response)
}
