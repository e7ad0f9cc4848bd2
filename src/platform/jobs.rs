//! Decodes the jobs that callers send and encodes the answers to callers.

use std::sync::Arc;
use std::time::Duration;

use gotham::helpers::http::Body;
use hyper::{HeaderMap, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::graph::{GraphSpec, GraphState, QueueId, RepeatRule, StepIndex, StepSpec};
use crate::id::{RackId, UnixMillis};
use crate::problem::json_response;
use crate::resources::ResourceVector;

/// Path on which the load balancer checks whether an entry accepts connections.
pub(crate) const READY_PATH: &str = "/api/readyz";
/// Header with the time that a caller waits for its answer, in milliseconds.
const CALLER_TIMEOUT_HEADER: &str = "Deadline-Ms";
/// Longest payload, in bytes.
const MAX_PAYLOAD_BYTES: usize = 4_000;
/// Number of hexadecimal digits in a job's name.
const JOB_NAME_LENGTH: usize = 16;
/// Upper bound of a caller's timeout, twenty times the usual one. It limits how long an entry keeps
/// trying to reach a leader.
const MAX_CALLER_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of validation errors listed in a refusal.
const MAX_VALIDATION_ERRORS: usize = 10;
/// Maximum length of the text of a validation error, in characters. The text of a syntax error may quote the body.
const MAX_ERROR_CHARACTERS: usize = 200;

/// A boolean that may be written as a number.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize)]
#[serde(untagged)]
enum WireFlag {
    Number(f64),
    Flag(bool),
    #[default]
    Missing,
}

impl WireFlag {
    fn is_set(self) -> bool {
        match self {
            Self::Number(number) => number != 0.0,
            Self::Flag(flag) => flag,
            Self::Missing => false,
        }
    }
}

/// A step. Fields that are zero, false or empty may be left out.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct WireStep {
    count: u32,
    millicpu: u32,
    mem_mb: u32,
    gpus: u32,
    estimated_ms: f64,
    after: Vec<u32>,
    checkpointing: WireFlag,
    gang: WireFlag,
    same_rack: WireFlag,
    required_label: Arc<str>,
    /// Rack that holds the step's data.
    affinity: RackId,
    max_per_server: u32,
    speculative: WireFlag,
    /// Whether the tasks run until the job is cancelled.
    persistent: WireFlag,
    image: Arc<str>,
    target_ms: f64,
    /// Whether the tasks are best-effort: they use only capacity that other tasks leave free.
    fill_count: WireFlag,
    max_unavailable: u32,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct WireJob {
    /// Payload that is sent to the worker with each task.
    spec: Arc<str>,
    steps: Vec<WireStep>,
    first_ms: UnixMillis,
    repeat_count: u32,
    interval_ms: u64,
}

#[derive(Debug)]
#[derive(Serialize)]
struct WireState {
    state: &'static str,
}

#[derive(Debug)]
#[derive(Serialize)]
struct WirePending {
    pending: usize,
}

/// Returns whether a text is a valid job name. Names are case-sensitive, because they are sent to workers
/// as callers wrote them.
pub(crate) fn is_job_name(name: &str) -> bool {
    name.len() == JOB_NAME_LENGTH && name.bytes().all(|byte| byte.is_ascii_hexdigit())
}

/// Decodes a job of a queue.
///
/// # Errors
/// Returns the first validation errors, as texts for the caller.
pub(crate) fn decode_job(
    queue: &QueueId,
    name: &str,
    body: &[u8],
    accepted: UnixMillis,
) -> Result<GraphSpec, Vec<String>> {
    let truncated = |text: String| text.chars().take(MAX_ERROR_CHARACTERS).collect();
    let wire: WireJob =
        serde_json::from_slice(body).map_err(|error| vec![truncated(error.to_string())])?;
    let mut validation_errors = Vec::new();
    if !is_job_name(name) {
        validation_errors
            .push(format!("the job's name has to have {JOB_NAME_LENGTH} hexadecimal digits"));
    }
    if wire.spec.len() > MAX_PAYLOAD_BYTES {
        validation_errors
            .push(format!("{} bytes of payload: at most {MAX_PAYLOAD_BYTES}", wire.spec.len()));
    }
    validation_errors.extend(negative_times(&wire.steps));
    let repeat = (wire.repeat_count > 0).then(|| RepeatRule {
        count: wire.repeat_count,
        first: wire.first_ms,
        interval: Duration::from_millis(wire.interval_ms),
    });
    let spec = GraphSpec {
        id: name.into(),
        queue: queue.clone(),
        payload: wire.spec,
        steps: wire.steps.into_iter().map(step_spec).collect(),
        repeat,
        accepted,
    };
    validation_errors.extend(spec.validation_errors());
    validation_errors.truncate(MAX_VALIDATION_ERRORS);
    match validation_errors.is_empty() {
        true => Ok(spec),
        false => Err(validation_errors),
    }
}

fn negative_times(steps: &[WireStep]) -> impl Iterator<Item = String> {
    let has_negative_time = |step: &WireStep| step.estimated_ms < 0.0 || step.target_ms < 0.0;
    let invalid = steps.iter().enumerate().filter(move |(_, step)| has_negative_time(step));
    invalid.map(|(index, _)| format!("step {index} has a negative time"))
}

/// Sorts the indices of steps and removes duplicates.
fn sorted_distinct(mut steps: Vec<StepIndex>) -> Vec<StepIndex> {
    steps.sort_unstable();
    steps.dedup();
    steps
}

fn step_spec(wire: WireStep) -> StepSpec {
    let text = |text: Arc<str>| (!text.is_empty()).then_some(text);
    let number = |number: u32| (number > 0).then_some(number);
    StepSpec {
        count: wire.count,
        need: ResourceVector::new(wire.millicpu, wire.mem_mb, wire.gpus),
        estimate: Duration::from_millis(wire.estimated_ms.max(0.0) as u64),
        after: sorted_distinct(wire.after),
        checkpoints: wire.checkpointing.is_set(),
        gang: wire.gang.is_set(),
        one_rack: wire.same_rack.is_set(),
        label: text(wire.required_label),
        affinity: text(wire.affinity),
        max_per_worker: number(wire.max_per_server),
        speculative: wire.speculative.is_set(),
        lasting: wire.persistent.is_set(),
        image: text(wire.image),
        target: (wire.target_ms > 0.0).then(|| Duration::from_millis(wire.target_ms as u64)),
        best_effort: wire.fill_count.is_set(),
        max_unavailable: number(wire.max_unavailable),
    }
}

/// Decodes the caller's timeout from the headers, if it is set.
///
/// # Errors
/// Returns a text for the caller if the value is not a valid time.
pub(crate) fn decode_caller_timeout(headers: &HeaderMap) -> Result<Option<Duration>, &'static str> {
    let Some(value) = headers.get(CALLER_TIMEOUT_HEADER) else {
        return Ok(None);
    };
    let millis = value.to_str().ok().and_then(|text| text.parse::<f64>().ok());
    match millis.filter(|millis| millis.is_finite() && *millis >= 0.0) {
        Some(millis) => Ok(Some(Duration::from_millis(millis as u64).min(MAX_CALLER_TIMEOUT))),
        None => Err("the time to wait has to be a number of milliseconds, 0 or more"),
    }
}

/// Encodes a job's state as an answer to a caller.
pub(crate) fn encode_state(state: GraphState) -> Response<Body> {
    let state = match state {
        GraphState::Queued => "queued",
        GraphState::Running => "running",
        GraphState::Completed => "completed",
        GraphState::Failed => "failed",
        GraphState::Cancelled => "cancelled",
    };
    json_response(StatusCode::OK, &WireState { state })
}

/// Encodes the number of jobs that wait in a queue as an answer to a caller.
pub(crate) fn encode_pending(pending: usize) -> Response<Body> {
    json_response(StatusCode::OK, &WirePending { pending })
}
