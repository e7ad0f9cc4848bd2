//! Third filter: a request that must run at most once has its key made durable first.

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
use crate::problem::{ProblemDetails, RAN_HEADER, RunState, full};

/// Longest time to make a key durable.
const RESERVE_TIME: Duration = Duration::from_secs(4);
/// Advice on when to come back while keys cannot be made durable.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// The reservation of a key.
#[derive(Clone, Debug)]
pub(crate) struct KeyReservation {
    pub(crate) id: String,
    pub(crate) holder: String,
}

/// A reservation where the request has a key.
#[derive(Clone, Debug)]
pub(crate) struct KeyAdmission(pub(crate) Option<KeyReservation>);

impl StateData for KeyAdmission {}

impl KeyReservation {
    /// Tells what became of the request.
    pub(crate) fn complete(&self, context: &CallerContext, state: KeyState) {
        let call =
            ClientCall::CompleteKey { id: self.id.clone(), holder: self.holder.clone(), state };
        let calls = context.calls.clone();
        tokio::spawn(async move { calls.call(call, RESERVE_TIME).await });
    }
}

/// Reserves the key.
#[derive(Clone, Copy, Debug, NewMiddleware)]
pub(crate) struct AdmitFilter;

impl Middleware for AdmitFilter {
    fn call<Chain>(self, mut state: State, chain: Chain) -> Pin<Box<HandlerFuture>>
    where
        Chain: FnOnce(State) -> Pin<Box<HandlerFuture>> + Send + 'static,
    {
        Box::pin(async move {
            let identity = RequestIdentity::borrow_from(&state);
            let keyed = identity.key.is_some() && !identity.idempotent && !identity.handed_over;
            if !keyed {
                state.put(KeyAdmission(None));
                return chain(state).await;
            }
            match reserve(&state).await {
                Ok(reservation) => {
                    state.put(KeyAdmission(Some(reservation)));
                    chain(state).await
                }
                Err(response) => Ok((state, *response)),
            }
        })
    }
}

fn reserve(
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
        let digest = digest(&method, &identity.target, &body.0);
        let reservation = KeyReservation { id: id.clone(), holder: holder.clone() };
        let call = ClientCall::ReserveKey { id, digest, holder };
        match context.calls.call(call, RESERVE_TIME).await {
            ClientAnswer::Key(KeyAnswer::Fresh) => Ok(reservation),
            ClientAnswer::Key(KeyAnswer::Answered(answer)) => Err(Box::new(replay(&answer))),
            ClientAnswer::Key(KeyAnswer::Unknown) => Err(Box::new(unknown().response())),
            ClientAnswer::Key(KeyAnswer::Mismatch) => Err(Box::new(mismatch().response())),
            _ => {
                reservation.complete(&context, KeyState::NotRun);
                Err(Box::new(not_reserved().response()))
            }
        }
    }
}

fn digest(method: &Method, target: &str, body: &[u8]) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(method.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(target.as_bytes());
    hasher.update(&[0]);
    hasher.update(body);
    hasher.finalize().to_hex().to_string()
}

/// The first request's answer, once more.
fn replay(answer: &StoredAnswer) -> Response<Body> {
    let mut response = Response::new(full(answer.body.clone()));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    let kind = answer.content_type.as_deref().and_then(|kind| HeaderValue::from_str(kind).ok());
    if let Some(kind) = kind {
        headers.insert(CONTENT_TYPE, kind);
    }
    headers.insert(RAN_HEADER, HeaderValue::from_static(RunState::Yes.label()));
    headers.insert("kelplink-replayed", HeaderValue::from_static("true"));
    response
}

fn unknown() -> ProblemDetails {
    let detail = "a request with this key was sent before; it may be running or have run";
    ProblemDetails::new(StatusCode::CONFLICT, "already sent", detail).ran(RunState::Unknown)
}

fn mismatch() -> ProblemDetails {
    let detail = "this key was used for another request";
    ProblemDetails::new(StatusCode::UNPROCESSABLE_ENTITY, "key used before", detail)
        .ran(RunState::No)
}

fn not_reserved() -> ProblemDetails {
    let detail = "the key cannot be made durable now, so the request was not sent";
    ProblemDetails::new(StatusCode::SERVICE_UNAVAILABLE, "not run", detail)
        .ran(RunState::No)
        .retry_after(RETRY_AFTER)
}
