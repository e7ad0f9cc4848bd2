//! HTTP handlers for callers, who submit, query, cancel and count jobs.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use gotham::handler::HandlerFuture;
use gotham::helpers::http::Body;
use gotham::prelude::{DefineSingleRoute, DrawRoutes};
use gotham::router::Router;
use gotham::router::builder::build_simple_router;
use gotham::state::{FromState, State, StateData};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderValue};
use hyper::http::uri::Authority;
use hyper::{HeaderMap, Method, Response, StatusCode, Uri, Version};
use log::info;
use tokio::time::{Instant, timeout};

use crate::graph::{GraphId, GraphRecord, QueueRule};
use crate::id::WorkspaceId;
use crate::node::caller_identity::identify_workspace;
use crate::node::clock::unix_millis;
use crate::node::leader_client::{LeaderCallError, LeaderClient};
use crate::node::message::{JobAccess, JobSubmission, LeaderAnswer, LeaderCall};
use crate::node::shared::NodeShared;
use crate::platform::{
    decode_caller_timeout, decode_job, encode_pending, encode_state, is_job_name,
};
use crate::problem::{ProblemDetails, RunState, json_response};

type Result<T> = std::result::Result<T, ProblemDetails>;

/// Timeout assumed for a caller that does not state one.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time reserved for sending the answer back.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// [`ANSWER_MARGIN`] is at most the caller's timeout divided by this: callers make a last request with 60 ms left,
/// and a job is accepted within 15 ms.
const MARGIN_DIVISOR: u32 = 3;
/// Longest time for a body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_millis(2_000);
/// When callers should retry while there is no leader: an election takes at most two seconds.
const RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// State shared by all requests of callers.
#[derive(Clone)]
pub(crate) struct CallerHandler {
    shared: Arc<NodeShared>,
    leader_client: Arc<LeaderClient>,
}

impl std::panic::UnwindSafe for CallerHandler {}
impl std::panic::RefUnwindSafe for CallerHandler {}
impl StateData for CallerHandler {}

impl CallerHandler {
    pub(crate) fn new(shared: Arc<NodeShared>) -> Self {
        let leader_client = Arc::new(LeaderClient::new(shared.clone()));
        Self { shared, leader_client }
    }
}

/// Routes for callers. All paths share one handler, as the configuration maps paths to queues.
pub(crate) fn caller_routes() -> Router {
    build_simple_router(|route| {
        let methods = vec![Method::GET, Method::POST, Method::DELETE];
        route.request(methods.clone(), "/").to_new_handler(|| Ok(handle));
        route.request(methods, "/*").to_new_handler(|| Ok(handle));
    })
}

fn handle(mut state: State) -> Pin<Box<HandlerFuture>> {
    Box::pin(async move {
        let started = Instant::now();
        let body = Body::try_take_from(&mut state).unwrap_or_default();
        let handler = CallerHandler::borrow_from(&state).clone();
        let method = Method::borrow_from(&state).clone();
        let uri = Uri::borrow_from(&state).clone();
        let version = *Version::borrow_from(&state);
        let headers = HeaderMap::borrow_from(&state);
        let request = CallerRequest { started, version, method: &method, uri: &uri, headers };
        let response = match handler.answer(&request, body).await {
            Ok(response) => response,
            Err(problem) => problem.response(),
        };
        let response = handler.close_if_unready(response);
        let status = response.status().as_u16();
        let took = started.elapsed();
        metrics::histogram!("kelplink_caller_seconds", "method" => method.to_string())
            .record(took.as_secs_f64());
        let path = uri.path();
        info!(method:% = method, path, status, took_ms = took.as_millis() as u64; "caller answered");
        Ok((state, response))
    })
}

/// A request of a caller, without its body.
struct CallerRequest<'r> {
    started: Instant,
    version: Version,
    method: &'r Method,
    uri: &'r Uri,
    headers: &'r HeaderMap,
}

impl CallerRequest<'_> {
    /// Time left to answer the caller.
    fn time_left(&self) -> Duration {
        let total =
            decode_caller_timeout(self.headers).ok().flatten().unwrap_or(DEFAULT_CALLER_TIMEOUT);
        let margin = ANSWER_MARGIN.min(total / MARGIN_DIVISOR);
        total.saturating_sub(margin).saturating_sub(self.started.elapsed())
    }

    fn host(&self) -> &str {
        let host_header = self.headers.get(HOST).and_then(|host| host.to_str().ok());
        host_header.or(self.uri.host()).unwrap_or_default()
    }

    /// Rejects a request without exactly one valid host, as proxies may have routed it by a different one.
    fn check_host(&self) -> Result<()> {
        let mut hosts = self.headers.get_all(HOST).iter();
        let host_header = match (hosts.next(), hosts.next()) {
            (None, _) if self.version < Version::HTTP_11 => return Ok(()),
            (Some(host), None) => host,
            _ => return Err(malformed("one host is expected")),
        };
        if host_header.is_empty() && self.uri.authority().is_none() {
            return Ok(());
        }
        let Ok(host_header) = Authority::try_from(host_header.as_bytes()) else {
            return Err(malformed("the host is none"));
        };
        match self.uri.authority() {
            Some(target) if *target != host_header => Err(malformed("the target has another host")),
            _ => Ok(()),
        }
    }

    fn check_caller_timeout(&self) -> Result<()> {
        let bad_request =
            |detail| ProblemDetails::new(StatusCode::BAD_REQUEST, "no such time", detail);
        decode_caller_timeout(self.headers)
            .map(|_| ())
            .map_err(|detail| bad_request(detail).ran(RunState::No))
    }
}

impl CallerHandler {
    async fn answer(&self, request: &CallerRequest<'_>, body: Body) -> Result<Response<Body>> {
        request.check_host()?;
        request.check_caller_timeout()?;
        let config = self.shared.config.borrow().clone();
        let Some(config) = config else {
            return Err(unavailable("there is no configuration yet"));
        };
        let path = request.uri.path();
        let Some(queue) = config.route(request.host(), path) else {
            return Err(ProblemDetails::new(StatusCode::NOT_FOUND, "no such queue", path));
        };
        let requires_keys = self.shared.settings.requires_keys;
        let workspace = identify_workspace(&config, queue, request.headers, requires_keys)?;
        let name = path.strip_prefix(&*queue.prefix).unwrap_or_default().trim_matches('/');
        match (request.method, name) {
            (&Method::GET, "") => self.pending(request, queue).await,
            (&Method::GET | &Method::DELETE, name) if !name.is_empty() && !is_job_name(name) => {
                Err(gone("no job has such a name"))
            }
            (&Method::GET, name) => self.state(request, name, workspace).await,
            (&Method::POST, name) if !name.is_empty() => {
                let body = read_body(request, body, config.limits.body_bytes).await?;
                self.submit(request, queue, workspace, name, &body).await
            }
            (&Method::DELETE, name) if !name.is_empty() => {
                self.cancel(request, name, workspace).await
            }
            _ => Err(ProblemDetails::new(StatusCode::METHOD_NOT_ALLOWED, "not here", path)),
        }
    }

    /// Closes the connection after a refusal if this entry is not ready: requests on an open connection keep coming
    /// here, while a new connection goes to an entry that can serve the caller.
    fn close_if_unready(&self, mut response: Response<Body>) -> Response<Body> {
        if response.status() == StatusCode::SERVICE_UNAVAILABLE && !self.shared.ready() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn submit(
        &self,
        request: &CallerRequest<'_>,
        queue: &Arc<QueueRule>,
        workspace: Option<WorkspaceId>,
        name: &str,
        body: &[u8],
    ) -> Result<Response<Body>> {
        let spec = decode_job(&queue.id, name, body, unix_millis()).map_err(|errors| {
            let status = StatusCode::BAD_REQUEST;
            ProblemDetails::new(status, "no such job can be", errors.join("; ")).ran(RunState::No)
        })?;
        let record = GraphRecord {
            spec,
            rule: (**queue).clone(),
            workspace,
            home: None,
            share: None,
            run_offset: 0,
        };
        let caller_timeout = request.time_left();
        let attempt = rand::random();
        let submission = JobSubmission { attempt, caller_timeout, forced: false, record };
        match self.leader_client.submit(submission, caller_timeout).await {
            Ok(LeaderAnswer::Rejected(retry)) => {
                Err(unavailable("the job could not be taken").retry_after(retry))
            }
            Ok(LeaderAnswer::NameTaken) => {
                let status = StatusCode::CONFLICT;
                let detail = "there is another job of this name";
                Err(ProblemDetails::new(status, "name taken", detail).ran(RunState::No))
            }
            Ok(LeaderAnswer::NotLeading | LeaderAnswer::Elsewhere(_))
            | Err(LeaderCallError::NotTaken) => Err(unavailable("no leader can be reached")),
            Ok(_) => Ok(json_response(StatusCode::OK, &serde_json::json!({}))),
            Err(LeaderCallError::Unknown) => Err(unknown()),
        }
    }

    async fn state(
        &self,
        request: &CallerRequest<'_>,
        name: &str,
        workspace: Option<WorkspaceId>,
    ) -> Result<Response<Body>> {
        let access = JobAccess::new(GraphId::from(name), workspace);
        let call = LeaderCall::State(access.clone());
        let time_left = request.time_left() / 2;
        let answer = match self.leader_client.ask_owner(access.job(), &call, time_left).await {
            Ok(answer @ (LeaderAnswer::State(_) | LeaderAnswer::Gone)) => Some(answer),
            _ => self.leader_client.stored_state(&access).await,
        };
        match answer {
            Some(LeaderAnswer::State(state)) => Ok(encode_state(state)),
            Some(_) => Err(gone(name)),
            None => Err(unavailable("the job's state cannot be read now")),
        }
    }

    async fn cancel(
        &self,
        request: &CallerRequest<'_>,
        name: &str,
        workspace: Option<WorkspaceId>,
    ) -> Result<Response<Body>> {
        let job = GraphId::from(name);
        let call = LeaderCall::Cancel(JobAccess::new(job.clone(), workspace));
        match self.leader_client.ask_owner(&job, &call, request.time_left()).await {
            Ok(LeaderAnswer::Cancelled) => {
                Ok(json_response(StatusCode::OK, &serde_json::json!({})))
            }
            Ok(LeaderAnswer::Gone) => Err(gone(name)),
            Ok(_) | Err(LeaderCallError::NotTaken) => Err(unavailable("no leader can be reached")),
            Err(LeaderCallError::Unknown) => Err(unknown()),
        }
    }

    async fn pending(
        &self,
        request: &CallerRequest<'_>,
        queue: &QueueRule,
    ) -> Result<Response<Body>> {
        match self.leader_client.pending(&queue.id, request.time_left()).await {
            Some(pending) => Ok(encode_pending(pending)),
            None => Err(unavailable("the queue cannot be counted now")),
        }
    }
}

async fn read_body(request: &CallerRequest<'_>, body: Body, limit: usize) -> Result<bytes::Bytes> {
    let too_large = || {
        let detail = format!("at most {limit} bytes");
        ProblemDetails::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large", detail)
            .close_after_response()
    };
    let content_length =
        request.headers.get(CONTENT_LENGTH).and_then(|length| length.to_str().ok());
    let content_length = content_length.and_then(|length| length.parse::<usize>().ok());
    if content_length.is_some_and(|length| length > limit) {
        return Err(too_large());
    }
    match timeout(BODY_TIMEOUT, Limited::new(body, limit).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large()),
        Ok(Err(_)) => Err(malformed("the body is not whole")),
        Err(_) => {
            let detail = format!("not whole after {BODY_TIMEOUT:?}");
            let status = StatusCode::REQUEST_TIMEOUT;
            Err(ProblemDetails::new(status, "the body is late", detail).close_after_response())
        }
    }
}

/// Refusal of a request that violates HTTP, after which it is not certain where the next one on the connection begins.
fn malformed(detail: &str) -> ProblemDetails {
    let status = StatusCode::BAD_REQUEST;
    ProblemDetails::new(status, "malformed", detail).ran(RunState::No).close_after_response()
}

/// Refusal of a request that has not been carried out and will not be.
fn unavailable(detail: &str) -> ProblemDetails {
    ProblemDetails::new(StatusCode::SERVICE_UNAVAILABLE, "not taken", detail)
        .ran(RunState::No)
        .retry_after(RETRY_AFTER)
}

/// Answer to a request that may have been carried out.
fn unknown() -> ProblemDetails {
    let detail = "the leader did not answer; the same request may be sent again";
    ProblemDetails::new(StatusCode::GATEWAY_TIMEOUT, "no answer", detail).ran(RunState::Unknown)
}

fn gone(name: &str) -> ProblemDetails {
    ProblemDetails::new(StatusCode::GONE, "no such job", name)
}
