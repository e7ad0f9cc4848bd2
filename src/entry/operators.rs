//! The operators' interface. It holds no state of its own, so that it answers even when other
//! threads are stuck.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gotham::handler::HandlerFuture;
use gotham::helpers::http::Body;
use gotham::prelude::{DefineSingleRoute, DrawRoutes};
use gotham::router::Router;
use gotham::router::builder::build_simple_router;
use gotham::state::{FromState, State, StateData};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Response, StatusCode, Uri};
use metrics_exporter_prometheus::PrometheusHandle;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};
use tokio::time::timeout;

use crate::callers::CallerInput;
use crate::config::{ConfirmRefusal, PlanDocument, PlanRequest};
use crate::entry::ControlHandle;
use crate::entry::control::ControlStatus;
use crate::http::{ListenerLimits, PrepareState, serve_http};
use crate::intent_file::parse_intent;
use crate::message::{CallRefusal, ClientAnswer, ClientCall};
use crate::problem::{ProblemDetails, full_body, json_response};
use crate::ring::RingSender;

/// Timeout for the answer of another loop.
const STATE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout for the confirmation of a plan.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(12);
/// Maximum size of an intent or plan, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Timeout for a body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Value of `Retry-After`.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Context shared by all requests of operators.
#[derive(Clone)]
pub(crate) struct OperatorContext {
    pub(crate) control: ControlHandle,
    pub(crate) callers: RingSender<CallerInput>,
    pub(crate) control_status: Arc<ControlStatus>,
    pub(crate) metrics: PrometheusHandle,
}

impl std::panic::UnwindSafe for OperatorContext {}
impl std::panic::RefUnwindSafe for OperatorContext {}
impl StateData for OperatorContext {}

/// The loop that answers operators.
pub(crate) struct OperatorLoop {
    context: OperatorContext,
}

impl OperatorLoop {
    pub(crate) fn new(context: OperatorContext) -> Self {
        Self { context }
    }

    /// Runs until `stop` turns true.
    ///
    /// # Errors
    /// Returns an error if the listener cannot be used.
    pub(crate) async fn run(
        self,
        listener: std::net::TcpListener,
        stop: watch::Receiver<bool>,
    ) -> io::Result<()> {
        let listener = TcpListener::from_std(listener)?;
        let context = self.context;
        let prepare: PrepareState = Arc::new(move |state| state.put(context.clone()));
        serve_http(listener, ListenerLimits::default(), routes(), prepare, stop).await;
        Ok(())
    }
}

fn routes() -> Router {
    build_simple_router(|route| {
        let methods = vec![Method::GET, Method::POST];
        route.request(methods.clone(), "/").to_new_handler(|| Ok(handle));
        route.request(methods, "/*").to_new_handler(|| Ok(handle));
    })
}

fn handle(mut state: State) -> Pin<Box<HandlerFuture>> {
    Box::pin(async move {
        let body = Body::try_take_from(&mut state).unwrap_or_default();
        let context = OperatorContext::borrow_from(&state).clone();
        let method = Method::borrow_from(&state).clone();
        let uri = Uri::borrow_from(&state).clone();
        let response = match answer(&context, &method, &uri, body).await {
            Ok(response) => response,
            Err(problem) => problem.response(),
        };
        Ok((state, response))
    })
}

async fn answer(
    context: &OperatorContext,
    method: &Method,
    uri: &Uri,
    body: Body,
) -> Result<Response<Body>, ProblemDetails> {
    match (method.as_str(), uri.path()) {
        ("GET", "/livez") => Ok(json_response(StatusCode::OK, &json!({"live": true}))),
        ("GET", "/readyz") => Ok(ready(context)),
        ("GET", "/metrics") => Ok(metrics_page(context)),
        ("GET", "/v1/status") => {
            match context.control.call(ClientCall::Status, STATE_TIMEOUT).await {
                ClientAnswer::Status(status) => Ok(json_response(StatusCode::OK, &status)),
                _ => Err(no_answer()),
            }
        }
        ("GET", "/v1/dump") => Ok(json_response(StatusCode::OK, &dump(context).await)),
        ("POST", "/v1/plan") => plan(context, uri, &read_body(body).await?).await,
        ("POST", "/v1/confirm") => confirm(context, &read_body(body).await?).await,
        _ => Err(ProblemDetails::new(StatusCode::NOT_FOUND, "not found", uri.path())),
    }
}

fn ready(context: &OperatorContext) -> Response<Body> {
    let ready = context.control_status.ready.load(Ordering::Relaxed);
    let status = match ready {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    let revision = context.control_status.revision.load(Ordering::Relaxed);
    json_response(status, &json!({"ready": ready, "revision": revision}))
}

fn metrics_page(context: &OperatorContext) -> Response<Body> {
    let leads = f64::from(u8::from(context.control_status.leads.load(Ordering::Relaxed)));
    metrics::gauge!("kelplink_leads").set(leads);
    let revision = context.control_status.revision.load(Ordering::Relaxed) as f64;
    metrics::gauge!("kelplink_revision").set(revision);
    context.metrics.run_upkeep();
    let mut response = Response::new(full_body(context.metrics.render()));
    let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Collects the state of the control loop and the caller loop; a loop that does not answer in time is
/// reported as stuck.
async fn dump(context: &OperatorContext) -> Value {
    let (sender, receiver) = oneshot::channel();
    let requested = context.callers.offer(CallerInput::Dump(sender)).is_ok();
    let callers = async {
        match requested {
            true => timeout(STATE_TIMEOUT, receiver).await.ok().and_then(Result::ok),
            false => None,
        }
    };
    let control = context.control.call(ClientCall::Dump, STATE_TIMEOUT);
    let (control, callers) = tokio::join!(control, callers);
    let control = match control {
        ClientAnswer::Dump(dump) => dump,
        _ => json!({"stuck": true}),
    };
    json!({"control": control, "callers": callers.unwrap_or(json!({"stuck": true}))})
}

async fn read_body(body: Body) -> Result<String, ProblemDetails> {
    let limits = crate::settings::LimitSettings {
        request_bytes: MAX_BODY_BYTES,
        body_time: BODY_TIMEOUT,
        ..Default::default()
    };
    let bytes = crate::callers::collect_body(body, &limits).await?;
    String::from_utf8(bytes.to_vec()).map_err(|error| {
        ProblemDetails::new(StatusCode::BAD_REQUEST, "not UTF-8", error.to_string())
    })
}

async fn plan(
    context: &OperatorContext,
    uri: &Uri,
    text: &str,
) -> Result<Response<Body>, ProblemDetails> {
    let withdrawn_service = uri.query().and_then(|query| query.strip_prefix("withdraw="));
    let request = match withdrawn_service {
        Some(service) => PlanRequest::Withdraw(service.into()),
        None => match parse_intent("intent", text) {
            Ok(spec) => PlanRequest::Accept(Box::new(spec)),
            Err(list) => return Ok(json_response(StatusCode::UNPROCESSABLE_ENTITY, &list)),
        },
    };
    match context.control.call(ClientCall::Plan(request), STATE_TIMEOUT).await {
        ClientAnswer::Plan(plan) => Ok(json_response(StatusCode::OK, &plan)),
        _ => Err(no_answer()),
    }
}

async fn confirm(context: &OperatorContext, text: &str) -> Result<Response<Body>, ProblemDetails> {
    let plan: PlanDocument = serde_json::from_str(text).map_err(|error| {
        ProblemDetails::new(StatusCode::BAD_REQUEST, "not a plan", error.to_string())
    })?;
    match context.control.call(ClientCall::Confirm(Box::new(plan)), CONFIRM_TIMEOUT).await {
        ClientAnswer::Confirmed(revision) => {
            Ok(json_response(StatusCode::OK, &json!({"revision": revision})))
        }
        ClientAnswer::NotConfirmed(ConfirmRefusal::Moved(fresh)) => {
            Ok(json_response(StatusCode::CONFLICT, &fresh))
        }
        ClientAnswer::NotConfirmed(refusal) => Err(refusal_problem(&refusal)),
        ClientAnswer::Refused(CallRefusal::Busy) => Err(refusal_problem(&ConfirmRefusal::Busy)),
        _ => Err(refusal_problem(&ConfirmRefusal::Unsettled)),
    }
}

fn refusal_problem(refusal: &ConfirmRefusal) -> ProblemDetails {
    match refusal {
        ConfirmRefusal::NotGenuine => ProblemDetails::new(
            StatusCode::BAD_REQUEST,
            "plan was edited",
            "the digest does not fit the plan; make a new one",
        ),
        ConfirmRefusal::Impossible(reason) => {
            ProblemDetails::new(StatusCode::UNPROCESSABLE_ENTITY, "can never run", reason.as_str())
        }
        ConfirmRefusal::Moved(_) => {
            ProblemDetails::new(StatusCode::CONFLICT, "base moved", "make a new plan")
        }
        ConfirmRefusal::StoreDown => ProblemDetails::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "store down",
            "the platform's store cannot be reached; nothing was accepted",
        )
        .retry_after(RETRY_AFTER),
        ConfirmRefusal::Busy => {
            let detail = "too many confirms wait; nothing was accepted";
            ProblemDetails::new(StatusCode::SERVICE_UNAVAILABLE, "busy", detail)
                .retry_after(RETRY_AFTER)
        }
        ConfirmRefusal::Unsettled => ProblemDetails::new(
            StatusCode::GATEWAY_TIMEOUT,
            "not settled",
            "no answer from the store: the plan may be accepted yet; ask for the status",
        ),
    }
}

fn no_answer() -> ProblemDetails {
    let detail = "the deciding thread did not answer in time; see /v1/dump";
    ProblemDetails::new(StatusCode::SERVICE_UNAVAILABLE, "silent", detail)
}
