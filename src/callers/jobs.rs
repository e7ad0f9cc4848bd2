//! The callers' interface for batch and all-at-once jobs.

use std::pin::Pin;
use std::time::Duration;

use gotham::handler::HandlerFuture;
use gotham::helpers::http::Body;
use gotham::state::{FromState, State};
use hyper::{Method, Response, StatusCode, Uri};
use serde::Deserialize;

use crate::callers::context::CallerContext;
use crate::callers::limit::collect_body;
use crate::intent_file::{MAX_TASKS, is_name};
use crate::message::{CallRefusal, ClientAnswer, ClientCall, JobRequest};
use crate::problem::{ProblemDetails, RunState, json_response};

/// Timeout for an answer of the control loop.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Value of `Retry-After`.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Body of a request that submits a job.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SubmitBody {
    /// Name of the job in its workspace, chosen by the client.
    id: String,
    /// Name of the template in the workspace.
    intent: String,
    /// Number of tasks.
    count: Option<u32>,
    /// Command to run.
    command: Option<String>,
}

/// Answers `/v1/workspaces/WORKSPACE/jobs[/ID]`.
pub(crate) fn handle_jobs(mut state: State) -> Pin<Box<HandlerFuture>> {
    Box::pin(async move {
        let body = Body::try_take_from(&mut state).unwrap_or_default();
        let context = CallerContext::borrow_from(&state).clone();
        let method = Method::borrow_from(&state).clone();
        let path = Uri::borrow_from(&state).path().to_owned();
        let response = match answer(&context, &method, &path, body).await {
            Ok(response) => response,
            Err(problem) => problem.response(),
        };
        Ok((state, response))
    })
}

async fn answer(
    context: &CallerContext,
    method: &Method,
    path: &str,
    body: Body,
) -> Result<Response<Body>, ProblemDetails> {
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    let call = match (method.as_str(), parts.as_slice()) {
        ("POST", ["v1", "workspaces", workspace, "jobs"]) => {
            let bytes = collect_body(body, &context.limits).await?;
            decode_submit(workspace, &bytes)?
        }
        ("GET", ["v1", "workspaces", workspace, "jobs"]) => {
            return list_jobs(context, workspace).await;
        }
        ("GET", ["v1", "workspaces", workspace, "jobs", id]) => {
            ClientCall::Job(format!("{workspace}/{id}").into())
        }
        ("DELETE", ["v1", "workspaces", workspace, "jobs", id]) => {
            ClientCall::Cancel(format!("{workspace}/{id}").into())
        }
        _ => {
            return Err(ProblemDetails::new(StatusCode::NOT_FOUND, "not found", path));
        }
    };
    let status = match call {
        ClientCall::Submit(_) => StatusCode::ACCEPTED,
        _ => StatusCode::OK,
    };
    match context.control.call(call, ANSWER_TIMEOUT).await {
        ClientAnswer::Job(view) => Ok(json_response(status, &view)),
        ClientAnswer::Refused(refusal) => Err(refusal_problem(&refusal)),
        _ => Err(refusal_problem(&CallRefusal::Unknown)),
    }
}

fn decode_submit(workspace: &str, bytes: &[u8]) -> Result<ClientCall, ProblemDetails> {
    let body: SubmitBody = serde_json::from_slice(bytes).map_err(|error| {
        ProblemDetails::new(StatusCode::BAD_REQUEST, "bad job", error.to_string()).ran(RunState::No)
    })?;
    let count_fits = body.count.is_none_or(|count| (1..=MAX_TASKS).contains(&u64::from(count)));
    let mistake = match () {
        () if !is_name(workspace) => Some("the workspace is not a name"),
        () if !is_name(&body.id) => Some("`id` is not a name: letters, digits, `-`, `_`, `.`"),
        () if !is_name(&body.intent) => Some("`intent` is not a name"),
        () if !count_fits => Some("`count` must be 1 to 10000"),
        () => None,
    };
    if let Some(mistake) = mistake {
        let problem = ProblemDetails::new(StatusCode::BAD_REQUEST, "bad job", mistake);
        return Err(problem.ran(RunState::No));
    }
    Ok(ClientCall::Submit(JobRequest {
        id: format!("{workspace}/{}", body.id).into(),
        intent: format!("{workspace}/{}", body.intent).into(),
        count: body.count,
        command: body.command,
    }))
}

/// Lists the jobs of all failure domains that answer, and the names of those that do not.
async fn list_jobs(
    context: &CallerContext,
    workspace: &str,
) -> Result<Response<Body>, ProblemDetails> {
    let mut jobs = Vec::new();
    let mut silent_domains = Vec::new();
    for domain in context.domains.iter() {
        let prefix = format!("{workspace}/");
        let call = ClientCall::Jobs { domain: domain.clone(), prefix };
        match context.control.call(call, ANSWER_TIMEOUT).await {
            ClientAnswer::Jobs(found) => jobs.extend(found),
            _ => silent_domains.push(domain.clone()),
        }
    }
    let body = serde_json::json!({ "jobs": jobs, "silent_failure_domains": silent_domains });
    Ok(json_response(StatusCode::OK, &body))
}

fn refusal_problem(refusal: &CallRefusal) -> ProblemDetails {
    let not_run = RunState::No;
    match refusal {
        CallRefusal::NoLeader => {
            unavailable("no leader of its failure domain can be reached").ran(not_run)
        }
        CallRefusal::StoreDown => {
            unavailable("the platform's store cannot be reached").ran(not_run)
        }
        CallRefusal::Busy => unavailable("too much waits").ran(not_run),
        CallRefusal::NotFound(detail) => {
            ProblemDetails::new(StatusCode::NOT_FOUND, "not found", detail.as_str()).ran(not_run)
        }
        CallRefusal::Contradiction(detail) => {
            ProblemDetails::new(StatusCode::CONFLICT, "contradiction", detail.as_str()).ran(not_run)
        }
        CallRefusal::Impossible(detail) => {
            let status = StatusCode::UNPROCESSABLE_ENTITY;
            ProblemDetails::new(status, "can never run", detail.as_str()).ran(not_run)
        }
        CallRefusal::Unknown => {
            let detail = "no answer in time; ask for the job or repeat the call with the same id";
            ProblemDetails::new(StatusCode::GATEWAY_TIMEOUT, "not known", detail)
                .ran(RunState::Unknown)
                .retry_after(RETRY_AFTER)
        }
    }
}

fn unavailable(detail: &str) -> ProblemDetails {
    ProblemDetails::new(StatusCode::SERVICE_UNAVAILABLE, "not now", detail).retry_after(RETRY_AFTER)
}
