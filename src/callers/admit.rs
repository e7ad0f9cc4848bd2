//! Third filter: stores the key of a request that must run at most once before the request is sent.

use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gotham::handler::HandlerFuture;
use gotham::helpers::http::Body;
use gotham::middleware::{Middleware, NewMiddleware};
use gotham::state::{FromState, State, StateData};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Response, StatusCode};

use crate::callers::context::CallerContext;
use crate::callers::identify::RequestIdentity;
use crate::callers::limit::CollectedBody;
use crate::ledger::{KeyState, StoredAnswer};
use crate::message::{ClientAnswer, ClientCall, KeyAnswer};
use crate::problem::{ProblemDetails, RAN_HEADER, RunState, full_body};

/// Timeout for storing a key or its result.
const KEY_CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// Value of `Retry-After` while keys cannot be stored.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// A stored key and the request that holds it.
#[derive(Clone, Debug)]
pub(crate) struct KeyReservation {
    pub(crate) id: String,
    pub(crate) holder: String,
}

/// The key reservation of a request; `None` if the request needs none.
#[derive(Clone, Debug)]
pub(crate) struct KeyAdmission(pub(crate) Option<KeyReservation>);

impl StateData for KeyAdmission {}

impl KeyReservation {
    /// Stores the result of the request under its key, without waiting for the store.
    pub(crate) fn complete(&self, context: &CallerContext, state: KeyState) {
        let call =
            ClientCall::CompleteKey { id: self.id.clone(), holder: self.holder.clone(), state };
        let control = context.control.clone();
        tokio::spawn(async move { control.call(call, KEY_CALL_TIMEOUT).await });
    }
}

/// Filter that reserves the idempotency key of a request.
#[derive(Clone, Copy, Debug, NewMiddleware)]
pub(crate) struct AdmitFilter;

impl Middleware for AdmitFilter {
    fn call<Chain>(self, mut state: State, chain: Chain) -> Pin<Box<HandlerFuture>>
    where
        Chain: FnOnce(State) -> Pin<Box<HandlerFuture>> + Send + 'static,
    {
        Box::pin(async move {
            let identity = RequestIdentity::borrow_from(&state);
            let needs_reservation =
                identity.key.is_some() && !identity.idempotent && !identity.forwarded;
            if !needs_reservation {
                state.put(KeyAdmission(None));
                return chain(state).await;
            }
            match reserve_key(&state).await {
                Ok(reservation) => {
                    state.put(KeyAdmission(Some(reservation)));
                    chain(state).await
                }
                Err(response) => Ok((state, *response)),
            }
        })
    }
}

fn reserve_key(
    state: &State,
) -> impl Future<Output = Result<KeyReservation, Box<Response<Body>>>> + Send + 'static {
    let identity = RequestIdentity::borrow_from(state).clone();
    let body = CollectedBody::borrow_from(state).clone();
    let method = Method::borrow_from(state).clone();
    let context = CallerContext::borrow_from(state).clone();
    async move {
        let key = identity.key.clone().unwrap_or_default();
        let id = format!("{}:{key}", identity.service);
        let number = context.next_request.fetch_add(1, Ordering::Relaxed);
        let holder = format!("{}-{}-{number}", context.entry, context.boot);
        let digest = request_digest(&method, &identity.target, &body.0);
        let reservation = KeyReservation { id: id.clone(), holder: holder.clone() };
        let call = ClientCall::ReserveKey { id, digest, holder };
        match context.control.call(call, KEY_CALL_TIMEOUT).await {
            ClientAnswer::Key(KeyAnswer::Fresh) => Ok(reservation),
            ClientAnswer::Key(KeyAnswer::Answered(answer)) => {
                Err(Box::new(replayed_response(&answer)))
            }
            ClientAnswer::Key(KeyAnswer::Unknown) => Err(Box::new(already_sent().response())),
            ClientAnswer::Key(KeyAnswer::Mismatch) => Err(Box::new(key_used_before().response())),
            _ => {
                reservation.complete(&context, KeyState::NotRun);
                Err(Box::new(key_not_stored().response()))
            }
        }
    }
}

fn request_digest(method: &Method, target: &str, body: &[u8]) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(method.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(target.as_bytes());
    hasher.update(&[0]);
    hasher.update(body);
    hasher.finalize().to_hex().to_string()
}

/// Builds the response from the stored answer to the first request with this key.
fn replayed_response(answer: &StoredAnswer) -> Response<Body> {
    let mut response = Response::new(full_body(answer.body.clone()));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    let content_type =
        answer.content_type.as_deref().and_then(|text| HeaderValue::from_str(text).ok());
    if let Some(content_type) = content_type {
        headers.insert(CONTENT_TYPE, content_type);
    }
    headers.insert(RAN_HEADER, HeaderValue::from_static(RunState::Yes.label()));
    headers.insert("kelplink-replayed", HeaderValue::from_static("true"));
    response
}

fn already_sent() -> ProblemDetails {
    let detail = "a request with this key was sent before; it may be running or have run";
    ProblemDetails::new(StatusCode::CONFLICT, "already sent", detail).ran(RunState::Unknown)
}

fn key_used_before() -> ProblemDetails {
    let detail = "this key was used for another request";
    ProblemDetails::new(StatusCode::UNPROCESSABLE_ENTITY, "key used before", detail)
        .ran(RunState::No)
}

fn key_not_stored() -> ProblemDetails {
    let detail = "the key cannot be made durable now, so the request was not sent";
    ProblemDetails::new(StatusCode::SERVICE_UNAVAILABLE, "not run", detail)
        .ran(RunState::No)
        .retry_after(RETRY_AFTER)
}
