//! The duty of talking to the platform's store and its list of VMs.

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

/// Longest time for one call.
const CALL_TIME: Duration = Duration::from_millis(1_000);
/// How long a watch waits at the store.
const WATCH_TIME: Duration = Duration::from_secs(30);
/// Pause before a watch that failed is set again.
const WATCH_PAUSE: Duration = Duration::from_millis(1_000);
/// Interval between reads of the list of VMs.
const VM_INTERVAL: Duration = Duration::from_millis(500);
/// Largest value, in bytes.
const VALUE_BYTES: usize = 2 << 20;

/// What comes to this thread.
#[derive(Debug)]
pub(crate) enum StoreInput {
    /// Make a call.
    Call(StoreOwner, CallId, StoreRequest),
    /// End the thread.
    Stop,
}

/// The store over HTTP.
#[derive(Clone, Debug)]
pub(crate) struct StoreClient {
    address: SocketAddr,
    http: HttpClient,
}

impl StoreClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { address, http: HttpClient::new() }
    }

    /// Makes a call.
    pub(crate) async fn call(&self, request: &StoreRequest) -> StoreOutcome {
        metrics::counter!("kelplink_store_calls_total", "kind" => kind(request)).increment(1);
        let (method, path, body) = match request {
            StoreRequest::Read { key } => (Method::GET, format!("/kv/{key}"), String::new()),
            StoreRequest::Swap { key, expected, value } => {
                count_payload("store", value.len());
                (Method::PUT, format!("/kv/{key}?expected={expected}"), value.clone())
            }
        };
        let result =
            self.http.call(method, self.address, &path, body, CALL_TIME, VALUE_BYTES).await;
        match (result, request) {
            (Err(ClientError::NotSent(_) | ClientError::Refused(_)), _) => {
                StoreOutcome::Unavailable
            }
            (Err(ClientError::NoAnswer(_)), StoreRequest::Read { .. }) => StoreOutcome::Unavailable,
            (Err(ClientError::NoAnswer(_)), StoreRequest::Swap { .. }) => StoreOutcome::Unknown,
            (Ok(response), _) => outcome(request, response.status(), response.body()),
        }
    }

    /// Waits until a key has another version than `after`; `None` where the store did not answer.
    async fn watch(&self, key: &str, after: Option<KeyVersion>) -> Option<StoreOutcome> {
        metrics::counter!("kelplink_store_calls_total", "kind" => "watch").increment(1);
        let wait = WATCH_TIME.as_millis();
        let path = match after {
            Some(after) => format!("/watch/{key}?after={after}&wait_ms={wait}"),
            None => format!("/kv/{key}"),
        };
        let time = WATCH_TIME + CALL_TIME;
        let result = self.http.call(Method::GET, self.address, &path, "", time, VALUE_BYTES).await;
        let response = result.ok()?;
        let request = StoreRequest::Read { key: key.to_owned() };
        match outcome(&request, response.status(), response.body()) {
            StoreOutcome::Unavailable => None,
            outcome => Some(outcome),
        }
    }
}

fn kind(request: &StoreRequest) -> &'static str {
    match request {
        StoreRequest::Read { .. } => "read",
        StoreRequest::Swap { .. } => "swap",
    }
}

fn outcome(request: &StoreRequest, status: StatusCode, body: &[u8]) -> StoreOutcome {
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

/// The thread that talks to the platform.
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

    /// Runs until told to stop.
    pub(crate) async fn run(self) {
        tokio::spawn(watch_head(self.store.clone(), self.control.clone()));
        tokio::spawn(read_vms(self.vms, self.control.clone()));
        while let Some(StoreInput::Call(owner, id, request)) = self.input.recv().await {
            let (store, control) = (self.store.clone(), self.control.clone());
            tokio::spawn(async move {
                let outcome = store.call(&request).await;
                control.send(DomainEvent::Store(owner, id, outcome).into()).await;
            });
        }
    }
}

/// Tells the head of the configuration whenever it changes.
async fn watch_head(store: StoreClient, control: RingSender<ControlInput>) {
    let mut seen: Option<KeyVersion> = None;
    loop {
        let Some(outcome) = store.watch(CONFIG_KEY, seen).await else {
            sleep(WATCH_PAUSE).await;
            continue;
        };
        let stored: Option<StoredValue> = match outcome {
            StoreOutcome::Found(stored) => Some(stored),
            _ => None,
        };
        let unchanged = seen.is_some() && stored.as_ref().is_none_or(|s| Some(s.version) == seen);
        seen = Some(stored.as_ref().map_or(seen.unwrap_or(0), |stored| stored.version));
        if !unchanged && !control.send(DomainEvent::Head(stored).into()).await {
            return;
        }
    }
}

/// Tells the platform's list of VMs whenever it changes.
async fn read_vms(address: SocketAddr, control: RingSender<ControlInput>) {
    let http = HttpClient::new();
    let mut ticks = interval(VM_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last = Bytes::new();
    let mut tag: Option<HeaderValue> = None;
    loop {
        ticks.tick().await;
        let Some(response) = ask_vms(&http, address, tag.as_ref()).await else {
            continue;
        };
        tag = response.headers().get(ETAG).cloned();
        if *response.body() == last {
            continue;
        }
        match serde_json::from_slice(response.body()) {
            Ok(vms) => {
                last = response.into_body();
                if !control.send(DomainEvent::Vms(vms).into()).await {
                    return;
                }
            }
            Err(error) => warn!("the list of VMs cannot be read: {error}"),
        }
    }
}

/// Asks for the list; `None` where none came or it is still the one of the tag.
async fn ask_vms(
    http: &HttpClient,
    address: SocketAddr,
    tag: Option<&HeaderValue>,
) -> Option<Response<Bytes>> {
    let mut request = Request::builder().uri(format!("http://{address}/vms"));
    if let Some(tag) = tag {
        request = request.header(IF_NONE_MATCH, tag);
    }
    let request = request.body(Full::default()).ok()?;
    let response = http.send(request, CALL_TIME, VALUE_BYTES).await.ok()?;
    count_payload("vms", response.body().len());
    (response.status() == StatusCode::OK).then_some(response)
}
