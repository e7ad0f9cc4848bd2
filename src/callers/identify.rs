//! First filter: determines the requested service and the options of the request.

use std::pin::Pin;
use std::time::Duration;

use gotham::handler::HandlerFuture;
use gotham::middleware::{Middleware, NewMiddleware};
use gotham::state::{FromState, State, StateData};
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode, Uri};
use tokio::time::Instant;

use crate::callers::context::CallerContext;
use crate::callers::{
    DEADLINE_HEADER, HANDED_OVER_HEADER, IDEMPOTENT_HEADER, KEY_HEADER, URGENCY_HEADER,
};
use crate::id::{ServiceId, WorkspaceId};
use crate::intent::Urgency;
use crate::intent_file::is_name;
use crate::problem::{ProblemDetails, RunState};

/// Deadline of a request without a deadline header.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
/// Longest deadline that a caller may set.
const MAX_DEADLINE: Duration = Duration::from_secs(600);
/// Value of `Retry-After` while the entry is starting.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// What is known about a request before its body is read.
#[derive(Clone, Debug)]
pub(crate) struct RequestIdentity {
    pub(crate) service: ServiceId,
    pub(crate) workspace: WorkspaceId,
    /// Path and query for the upstream.
    pub(crate) target: String,
    /// Rank at the router: 0 for urgent requests, 1 for all others.
    pub(crate) rank: u8,
    pub(crate) deadline: Instant,
    pub(crate) idempotent: bool,
    pub(crate) key: Option<String>,
    /// Whether another entry forwarded the request.
    pub(crate) forwarded: bool,
}

impl StateData for RequestIdentity {}

/// Filter that reads the path and the headers.
#[derive(Clone, Copy, Debug, NewMiddleware)]
pub(crate) struct IdentifyFilter;

impl Middleware for IdentifyFilter {
    fn call<Chain>(self, mut state: State, chain: Chain) -> Pin<Box<HandlerFuture>>
    where
        Chain: FnOnce(State) -> Pin<Box<HandlerFuture>> + Send + 'static,
    {
        match identify(&state) {
            Ok(identity) => {
                state.put(identity);
                chain(state)
            }
            Err(problem) => {
                let response = problem.ran(RunState::No).response();
                Box::pin(async move { Ok((state, response)) })
            }
        }
    }
}

fn identify(state: &State) -> Result<RequestIdentity, ProblemDetails> {
    let context = CallerContext::borrow_from(state);
    let headers = HeaderMap::borrow_from(state);
    let (workspace, name, target) = split_path(Uri::borrow_from(state))?;
    let service: ServiceId = format!("{workspace}/{name}").into();
    let defaults = context.defaults(&service);
    let is_known = defaults.is_some() || context.router_state().router.has_upstream(&service);
    let known_to_peer = context.router_state().peer_slots.contains_key(&service);
    if !is_known && !context.router_state().router.has_applied_grant() {
        let detail = "this entry has no slots yet";
        let problem = ProblemDetails::new(StatusCode::SERVICE_UNAVAILABLE, "not ready", detail);
        return Err(problem.retry_after(NOT_READY_RETRY_AFTER));
    }
    if !is_known && !known_to_peer {
        let detail = format!("no service {service} is known here");
        return Err(ProblemDetails::new(StatusCode::NOT_FOUND, "unknown service", detail));
    }
    let urgency = match header(headers, URGENCY_HEADER)? {
        None => defaults.map_or(Urgency::Soon, |defaults| defaults.urgency),
        Some("now") => Urgency::Now,
        Some("soon") => Urgency::Soon,
        Some(other) => {
            return Err(bad_request(format!(
                "{URGENCY_HEADER} is {other:?}: expected now or soon"
            )));
        }
    };
    let safe_method =
        matches!(*Method::borrow_from(state), Method::GET | Method::HEAD | Method::OPTIONS);
    let idempotent = match header(headers, IDEMPOTENT_HEADER)? {
        None => safe_method || defaults.is_none_or(|defaults| defaults.idempotent),
        Some("true") => true,
        Some("false") => false,
        Some(other) => {
            return Err(bad_request(format!(
                "{IDEMPOTENT_HEADER} is {other:?}: expected true or false"
            )));
        }
    };
    Ok(RequestIdentity {
        service,
        workspace: workspace.into(),
        target,
        rank: u8::from(urgency != Urgency::Now),
        deadline: Instant::now() + decode_deadline(headers)?,
        idempotent,
        key: decode_key(headers)?,
        forwarded: headers.contains_key(HANDED_OVER_HEADER),
    })
}

/// Splits `/s/WORKSPACE/SERVICE/rest?query`.
fn split_path(uri: &Uri) -> Result<(String, String, String), ProblemDetails> {
    let mut parts = uri.path().trim_start_matches("/s/").splitn(3, '/');
    let workspace = parts.next().unwrap_or_default().to_owned();
    let name = parts.next().unwrap_or_default().to_owned();
    if !is_name(&workspace) || !is_name(&name) {
        return Err(bad_request("expected a path like /s/WORKSPACE/SERVICE/...".to_owned()));
    }
    let rest = parts.next().unwrap_or_default();
    let query = uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    Ok((workspace, name, format!("/{rest}{query}")))
}

fn header<'h>(headers: &'h HeaderMap, name: &str) -> Result<Option<&'h str>, ProblemDetails> {
    match headers.get(name).map(|value| value.to_str()) {
        None => Ok(None),
        Some(Ok(text)) => Ok(Some(text)),
        Some(Err(_)) => Err(bad_request(format!("{name} has bytes that are not visible ASCII"))),
    }
}

fn decode_deadline(headers: &HeaderMap) -> Result<Duration, ProblemDetails> {
    let Some(text) = header(headers, DEADLINE_HEADER)? else {
        return Ok(DEFAULT_DEADLINE);
    };
    let time = text.parse().map(Duration::from_millis).ok();
    time.filter(|time| *time <= MAX_DEADLINE).ok_or_else(|| {
        let max_millis = MAX_DEADLINE.as_millis();
        bad_request(format!(
            "{DEADLINE_HEADER} is {text:?}: expected 0 to {max_millis} milliseconds"
        ))
    })
}

fn decode_key(headers: &HeaderMap) -> Result<Option<String>, ProblemDetails> {
    let Some(text) = header(headers, KEY_HEADER)? else {
        return Ok(None);
    };
    match (1..=MAX_KEY_BYTES).contains(&text.len()) {
        true => Ok(Some(text.to_owned())),
        false => Err(bad_request(format!("{KEY_HEADER} must have 1 to {MAX_KEY_BYTES} bytes"))),
    }
}

fn bad_request(detail: String) -> ProblemDetails {
    ProblemDetails::new(StatusCode::BAD_REQUEST, "bad request", detail)
}
