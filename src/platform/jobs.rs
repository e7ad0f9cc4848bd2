//! Jobs as callers send them, and what callers are answered.

use std::sync::Arc;
use std::time::Duration;

use gotham::helpers::http::Body;
use hyper::{HeaderMap, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::graph::{GraphSpec, GraphState, QueueId, RepeatRule, StepIndex, StepSpec};
use crate::id::{RackId, UnixMillis};
use crate::problem::json_response;
use crate::resources::ResourceVector;

/// Where the balancer asks whether an entry takes connections.
pub(crate) const READY_PATH: &str = "/api/readyz";
/// How long a caller waits for its answer, in milliseconds.
const PATIENCE_HEADER: &str = "Deadline-Ms";
/// Longest payload, in bytes.
const PAYLOAD_BYTES: usize = 4_000;
/// Length of a job's name: hexadecimal digits.
const NAME_LENGTH: usize = 16;
/// Longest time that a caller is taken to wait: twenty times what callers do. It bounds how long tries
/// to reach a leader go on.
const LONGEST_PATIENCE: Duration = Duration::from_secs(60);
/// Mistakes that a refusal names at most.
const MOST_MISTAKES: usize = 10;
/// Longest text of a mistake, in characters: that of a mistake of syntax may quote the body.
const MISTAKE_CHARACTERS: usize = 200;

/// A yes or no that may be written as a number.
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

/// A step; what is zero, false or empty may be left out.
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
    /// Rack with the data.
    affinity: RackId,
    max_per_server: u32,
    speculative: WireFlag,
    /// The tasks last until the job is cancelled.
    persistent: WireFlag,
    image: Arc<str>,
    target_ms: f64,
    /// The tasks use what others leave over.
    fill_count: WireFlag,
    max_unavailable: u32,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct WireJob {
    /// The payload that goes to the worker with each task.
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

/// Whether a text can be a job's name. Upper and lower case tell jobs apart, as names go to workers the
/// way that callers wrote them.
pub(crate) fn is_job_name(name: &str) -> bool {
    name.len() == NAME_LENGTH && name.bytes().all(|byte| byte.is_ascii_hexdigit())
}

/// Decodes a job of a queue; the first mistakes are told together.
///
/// # Errors
/// What is wrong, in words for the caller.
pub(crate) fn decode_job(
    queue: &QueueId,
    name: &str,
    body: &[u8],
    accepted: UnixMillis,
) -> Result<GraphSpec, Vec<String>> {
    let short = |text: String| text.chars().take(MISTAKE_CHARACTERS).collect();
    let wire: WireJob =
        serde_json::from_slice(body).map_err(|error| vec![short(error.to_string())])?;
    let mut mistakes = Vec::new();
    if !is_job_name(name) {
        mistakes.push(format!("the job's name has to have {NAME_LENGTH} hexadecimal digits"));
    }
    if wire.spec.len() > PAYLOAD_BYTES {
        mistakes.push(format!("{} bytes of payload: at most {PAYLOAD_BYTES}", wire.spec.len()));
    }
    mistakes.extend(negative_times(&wire.steps));
    let repeat = (wire.repeat_count > 0).then(|| RepeatRule {
        count: wire.repeat_count,
        first: wire.first_ms,
        interval: Duration::from_millis(wire.interval_ms),
    });
    let spec = GraphSpec {
        id: name.into(),
        queue: queue.clone(),
        payload: wire.spec,
        steps: wire.steps.into_iter().map(step).collect(),
        repeat,
        accepted,
    };
    mistakes.extend(spec.mistakes());
    mistakes.truncate(MOST_MISTAKES);
    match mistakes.is_empty() {
        true => Ok(spec),
        false => Err(mistakes),
    }
}

fn negative_times(steps: &[WireStep]) -> impl Iterator<Item = String> {
    let negative = |step: &WireStep| step.estimated_ms < 0.0 || step.target_ms < 0.0;
    let found = steps.iter().enumerate().filter(move |(_, step)| negative(step));
    found.map(|(index, _)| format!("step {index} has a negative time"))
}

/// The steps that a step waits for, each once.
fn distinct(mut steps: Vec<StepIndex>) -> Vec<StepIndex> {
    steps.sort_unstable();
    steps.dedup();
    steps
}

fn step(wire: WireStep) -> StepSpec {
    let text = |text: Arc<str>| (!text.is_empty()).then_some(text);
    let number = |number: u32| (number > 0).then_some(number);
    StepSpec {
        count: wire.count,
        need: ResourceVector::new(wire.millicpu, wire.mem_mb, wire.gpus),
        estimate: Duration::from_millis(wire.estimated_ms.max(0.0) as u64),
        after: distinct(wire.after),
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

/// How long a caller waits, where it says so.
///
/// # Errors
/// What is wrong, in words for the caller.
pub(crate) fn decode_caller_timeout(headers: &HeaderMap) -> Result<Option<Duration>, &'static str> {
    let Some(value) = headers.get(PATIENCE_HEADER) else {
        return Ok(None);
    };
    let millis = value.to_str().ok().and_then(|text| text.parse::<f64>().ok());
    match millis.filter(|millis| millis.is_finite() && *millis >= 0.0) {
        Some(millis) => Ok(Some(Duration::from_millis(millis as u64).min(LONGEST_PATIENCE))),
        None => Err("the time to wait has to be a number of milliseconds, 0 or more"),
    }
}

/// A job's state as callers get it.
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

/// The number of jobs that wait in a queue.
pub(crate) fn encode_pending(pending: usize) -> Response<Body> {
    json_response(StatusCode::OK, &WirePending { pending })
}
