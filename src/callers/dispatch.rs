//! Routes a request to an upstream, sends it and answers the caller.

use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use gotham::handler::HandlerFuture;
use gotham::helpers::http::Body;
use gotham::state::{FromState, State};
use http_body_util::Full;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderMap, HeaderName, HeaderValue,
};
use hyper::{Method, Request, Response, StatusCode};
use log::{debug, info};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::callers::admit::KeyAdmission;
use crate::callers::context::CallerContext;
use crate::callers::identify::RequestIdentity;
use crate::callers::limit::CollectedBody;
use crate::callers::{
    ATTEMPT_HEADER, ATTEMPT_LIMIT_HEADER, DEADLINE_HEADER, HANDED_OVER_HEADER, REQUEST_ID_HEADER,
};
use crate::client::{ClientError, HttpClient};
use crate::id::EntryId;
use crate::ledger::{KeyState, StoredAnswer};
use crate::problem::{ProblemDetails, RAN_HEADER, RunState, full_body};
use crate::routing::{RejectReason, RouteAction, RouteOutcome, SlotRequest, UpstreamSpec};

/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: u32 = 3;
/// Margin after the time limit of an attempt; once it has passed, the attempt has ended.
const ATTEMPT_MARGIN: Duration = Duration::from_millis(200);
/// Value of `Retry-After` after a failure.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A request that is being dispatched.
struct RequestDispatch {
    context: CallerContext,
    identity: RequestIdentity,
    method: Method,
    headers: HeaderMap,
    body: Bytes,
    id: u64,
    attempt: u32,
}

/// How one attempt ended.
enum AttemptEnd {
    /// A complete answer arrived.
    Answered(Response<Bytes>),
    /// The request did not reach the upstream.
    NotRun(String),
    /// The request may have run. It has ended by the given time at the latest.
    Unknown(String, Instant),
}

/// Handles a request that passed all filters.
pub(crate) fn dispatch(mut state: State) -> Pin<Box<HandlerFuture>> {
    let context = CallerContext::borrow_from(&state).clone();
    let id = context.next_request.fetch_add(1, Ordering::Relaxed);
    let admission = KeyAdmission::take_from(&mut state);
    let dispatch = RequestDispatch {
        identity: RequestIdentity::take_from(&mut state),
        method: Method::borrow_from(&state).clone(),
        headers: HeaderMap::borrow_from(&state).clone(),
        body: CollectedBody::take_from(&mut state).0,
        id,
        attempt: 0,
        context: context.clone(),
    };
    Box::pin(async move {
        // A separate task, so that the attempt is completed and its slot given back even if the caller
        // closes its connection.
        let handle = tokio::spawn(dispatch.run());
        let response = match handle.await {
            Ok(response) => response,
            Err(_) => failure("the request's task ended", RunState::Unknown),
        };
        if let Some(reservation) = &admission.0 {
            reservation.complete(&context, key_state(&response));
        }
        let (parts, bytes) = response.into_parts();
        let response: Response<Body> = Response::from_parts(parts, full_body(bytes));
        Ok((state, response))
    })
}

/// Returns the state to store under the request's key after this answer.
fn key_state(response: &Response<Bytes>) -> KeyState {
    let ran = response.headers().get(RAN_HEADER).and_then(|value| value.to_str().ok());
    match ran {
        Some("no") => KeyState::NotRun,
        Some("yes") => match std::str::from_utf8(response.body()) {
            Ok(body) => KeyState::Answered(StoredAnswer {
                status: response.status().as_u16(),
                content_type: text_header(response.headers(), &CONTENT_TYPE),
                body: body.to_owned(),
            }),
            Err(_) => KeyState::Ended,
        },
        _ => KeyState::Ended,
    }
}

fn text_header(headers: &HeaderMap, name: &HeaderName) -> Option<String> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}

impl RequestDispatch {
    async fn run(mut self) -> Response<Bytes> {
        let started = Instant::now();
        let response = self.run_attempts().await;
        let ran = text_header(response.headers(), &HeaderName::from_static(RAN_HEADER));
        let ran = ran.unwrap_or_default();
        let labels = [("ran", ran.clone())];
        metrics::counter!("kelplink_answers_total", &labels).increment(1);
        let seconds = started.elapsed().as_secs_f64();
        metrics::histogram!("kelplink_request_seconds").record(seconds);
        debug!(
            request:% = self.id, service:% = self.identity.service, ran:% = ran;
            "answered {}", response.status()
        );
        response
    }

    async fn run_attempts(&mut self) -> Response<Bytes> {
        loop {
            self.attempt += 1;
            let spec = match self.acquire_slot().await {
                Ok(spec) => spec,
                Err((reason, retry_after)) => return self.reject(reason, retry_after).await,
            };
            let end = self.send_attempt(&spec).await;
            match end {
                AttemptEnd::Answered(response) => return response,
                AttemptEnd::NotRun(detail) if !self.may_retry() => {
                    return failure(&detail, RunState::No);
                }
                AttemptEnd::NotRun(detail) => {
                    info!(request:% = self.id; "not run, trying again: {detail}")
                }
                AttemptEnd::Unknown(detail, ended) => {
                    let may_repeat = self.identity.idempotent && ended < self.identity.deadline;
                    if !may_repeat || !self.may_retry() {
                        return failure(&detail, RunState::Unknown);
                    }
                    sleep_until(ended).await;
                }
            }
        }
    }

    fn may_retry(&self) -> bool {
        let before_deadline = Instant::now() < self.identity.deadline;
        before_deadline
            && self.attempt < MAX_ATTEMPTS
            && self.context.router_state().router.spend_retry()
    }

    /// Asks the router for a slot and waits for its decision.
    async fn acquire_slot(&self) -> Result<UpstreamSpec, (RejectReason, Duration)> {
        let slot_request = SlotRequest {
            id: self.id,
            service: self.identity.service.clone(),
            workspace: self.identity.workspace.clone(),
            rank: self.identity.rank,
            deadline: self.identity.deadline,
        };
        let receiver = {
            let (sender, receiver) = oneshot::channel();
            let mut router_state = self.context.router_state();
            router_state.waiting.insert(self.id, sender);
            let started = std::time::Instant::now();
            let actions = router_state.router.route_request(Instant::now(), slot_request.clone());
            let seconds = started.elapsed().as_secs_f64();
            metrics::histogram!("kelplink_route_seconds").record(seconds);
            router_state.notify_waiters(actions);
            receiver
        };
        match timeout_at(self.identity.deadline + ATTEMPT_MARGIN, receiver).await {
            Ok(Ok(RouteAction::Send(_, spec))) => Ok(spec),
            Ok(Ok(RouteAction::Reject(_, reason, retry_after))) => Err((reason, retry_after)),
            _ => {
                let mut router_state = self.context.router_state();
                router_state.waiting.remove(&self.id);
                router_state.router.abandon(&slot_request);
                Err((RejectReason::DeadlinePassed, RETRY_AFTER))
            }
        }
    }

    async fn send_attempt(&self, spec: &UpstreamSpec) -> AttemptEnd {
        let pool = self
            .context
            .router_state()
            .pools
            .entry(spec.id.clone())
            .or_insert_with(HttpClient::new)
            .clone();
        let started = Instant::now();
        let limit = self.context.router_state().router.attempt_limit();
        let time_left = self.identity.deadline.saturating_duration_since(started);
        let limit = limit.min(time_left).max(Duration::from_millis(1));
        let ended = started + limit + ATTEMPT_MARGIN;
        let result = match self.upstream_request(spec, limit) {
            Ok(request) => pool.send(request, limit, self.context.limits.answer_bytes).await,
            Err(detail) => Err(ClientError::NotSent(detail)),
        };
        let elapsed = started.elapsed();
        let (outcome, end) = match result {
            Ok(response) => match self.matches_attempt(&response) {
                true => {
                    (RouteOutcome::Answered, AttemptEnd::Answered(self.caller_response(response)))
                }
                false => {
                    let detail = "the upstream answered another request".to_owned();
                    (RouteOutcome::Failed, AttemptEnd::Unknown(detail, ended))
                }
            },
            Err(ClientError::NotSent(detail) | ClientError::Refused(detail)) => {
                (RouteOutcome::Failed, AttemptEnd::NotRun(detail))
            }
            Err(ClientError::NoAnswer(detail)) => {
                (RouteOutcome::Failed, AttemptEnd::Unknown(detail, ended))
            }
        };
        if matches!(end, AttemptEnd::Unknown(..)) {
            // The connections of this pool may be dead without having been closed, so the pool is
            // replaced. The slot stays in use until the attempt must have ended.
            self.context.router_state().pools.remove(&spec.id);
            metrics::counter!("kelplink_pools_renewed_total").increment(1);
            let (context, id) = (self.context.clone(), spec.id.clone());
            tokio::spawn(async move {
                sleep_until(ended).await;
                let mut router_state = context.router_state();
                let actions = router_state.router.finish(Instant::now(), &id, outcome, elapsed);
                router_state.notify_waiters(actions);
            });
            return end;
        }
        let mut router_state = self.context.router_state();
        let actions = router_state.router.finish(Instant::now(), &spec.id, outcome, elapsed);
        router_state.notify_waiters(actions);
        end
    }

    fn request_id(&self) -> String {
        format!("{}-{}-{}", self.context.entry, self.context.boot, self.id)
    }

    fn upstream_request(
        &self,
        spec: &UpstreamSpec,
        limit: Duration,
    ) -> Result<Request<Full<Bytes>>, String> {
        let uri = format!("http://{}{}", spec.address, self.identity.target);
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(uri)
            .body(Full::new(self.body.clone()))
            .map_err(|error| error.to_string())?;
        let headers = request.headers_mut();
        copy_headers(&self.headers, headers);
        headers.remove(HOST);
        headers.insert(REQUEST_ID_HEADER, header_value(&self.request_id()));
        headers.insert(ATTEMPT_HEADER, HeaderValue::from(self.attempt));
        let millis = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
        headers.insert(ATTEMPT_LIMIT_HEADER, HeaderValue::from(millis));
        Ok(request)
    }

    /// Checks that an answer belongs to this attempt, by the id and attempt number that the upstream
    /// returned. An answer without these headers is accepted.
    fn matches_attempt(&self, response: &Response<Bytes>) -> bool {
        let id = text_header(response.headers(), &HeaderName::from_static(REQUEST_ID_HEADER));
        let attempt = text_header(response.headers(), &HeaderName::from_static(ATTEMPT_HEADER));
        id.is_none_or(|id| id == self.request_id())
            && attempt.is_none_or(|attempt| attempt == self.attempt.to_string())
    }

    fn caller_response(&self, response: Response<Bytes>) -> Response<Bytes> {
        let (parts, body) = response.into_parts();
        let mut answer = Response::new(body);
        *answer.status_mut() = parts.status;
        let headers = answer.headers_mut();
        copy_headers(&parts.headers, headers);
        headers.insert(RAN_HEADER, HeaderValue::from_static(RunState::Yes.label()));
        answer
    }

    /// Answers a request for which this entry has no slot: forwards it to another entry with free slots,
    /// or rejects it.
    async fn reject(&self, reason: RejectReason, retry_after: Duration) -> Response<Bytes> {
        let may_forward = matches!(reason, RejectReason::NoUpstream | RejectReason::Overloaded);
        if may_forward && !self.identity.forwarded {
            let entries =
                self.context.router_state().peer_slots.get(&self.identity.service).cloned();
            for entry in entries.unwrap_or_default().iter().take(2) {
                match self.forward_to_peer(entry).await {
                    AttemptEnd::Answered(response) => return response,
                    AttemptEnd::NotRun(detail) => debug!("{entry} was not reached: {detail}"),
                    AttemptEnd::Unknown(detail, _) => return failure(&detail, RunState::Unknown),
                }
            }
        }
        let (status, title) = match reason {
            RejectReason::NoUpstream => (StatusCode::SERVICE_UNAVAILABLE, "nothing answers for it"),
            RejectReason::Overloaded => (StatusCode::SERVICE_UNAVAILABLE, "too much waits"),
            RejectReason::Displaced => (StatusCode::SERVICE_UNAVAILABLE, "more urgent work waits"),
            RejectReason::DeadlinePassed => (StatusCode::GATEWAY_TIMEOUT, "waited too long"),
        };
        let detail = format!("the request to {} was not run", self.identity.service);
        let problem = ProblemDetails::new(status, title, detail);
        problem.ran(RunState::No).retry_after(retry_after).bytes_response()
    }

    /// Forwards the request to another entry, which answers it like a request of its own callers.
    async fn forward_to_peer(&self, entry: &EntryId) -> AttemptEnd {
        let Some(address) = self.context.peers.get(entry) else {
            return AttemptEnd::NotRun("unknown entry".to_owned());
        };
        let time_left = self.identity.deadline.saturating_duration_since(Instant::now());
        let uri = format!("http://{address}/s/{}{}", self.identity.service, self.identity.target);
        let request = Request::builder()
            .method(self.method.clone())
            .uri(uri)
            .body(Full::new(self.body.clone()));
        let mut request = match request {
            Ok(request) => request,
            Err(error) => return AttemptEnd::NotRun(error.to_string()),
        };
        let headers = request.headers_mut();
        copy_headers(&self.headers, headers);
        headers.remove(HOST);
        headers.insert(HANDED_OVER_HEADER, header_value(&self.context.entry));
        let millis = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(DEADLINE_HEADER, HeaderValue::from(millis));
        metrics::counter!("kelplink_handed_over_total").increment(1);
        let max_bytes = self.context.limits.answer_bytes;
        match self.context.peer_client.send(request, time_left + ATTEMPT_MARGIN, max_bytes).await {
            Ok(response) => classify_peer_answer(response),
            Err(ClientError::NotSent(detail) | ClientError::Refused(detail)) => {
                AttemptEnd::NotRun(detail)
            }
            Err(ClientError::NoAnswer(detail)) => {
                AttemptEnd::Unknown(detail, self.identity.deadline)
            }
        }
    }
}

/// Passes the answer of another entry on unchanged, unless it says that the request was not run; then
/// the next entry can be tried.
fn classify_peer_answer(response: Response<Bytes>) -> AttemptEnd {
    let ran = text_header(response.headers(), &HeaderName::from_static(RAN_HEADER));
    match ran.as_deref() {
        Some("no") => AttemptEnd::NotRun("the other entry has no free slot".to_owned()),
        _ => {
            let (parts, body) = response.into_parts();
            let mut answer = Response::new(body);
            *answer.status_mut() = parts.status;
            copy_headers(&parts.headers, answer.headers_mut());
            AttemptEnd::Answered(answer)
        }
    }
}

/// Copies all headers except the hop-by-hop ones and the content length.
fn copy_headers(from: &HeaderMap, to: &mut HeaderMap) {
    let connection_options: Vec<String> = from
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for (name, value) in from {
        let hop_by_hop = HOP_BY_HOP_HEADERS.contains(&name.as_str())
            || connection_options.iter().any(|n| n == name.as_str());
        if !hop_by_hop && name != CONTENT_LENGTH {
            to.append(name.clone(), value.clone());
        }
    }
}

fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static("-"))
}

fn failure(detail: &str, ran: RunState) -> Response<Bytes> {
    let (status, title) = match ran {
        RunState::No => (StatusCode::SERVICE_UNAVAILABLE, "not run"),
        _ => (StatusCode::BAD_GATEWAY, "may have run"),
    };
    let problem = ProblemDetails::new(status, title, detail).ran(ran);
    let problem = match ran {
        RunState::No => problem.retry_after(RETRY_AFTER),
        _ => problem,
    };
    problem.bytes_response()
}
