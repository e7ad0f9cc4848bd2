//! Client of the workers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, Response, StatusCode};
use log::warn;
use serde::{Deserialize, Serialize};

use crate::client::{ClientError, HttpClient};
use crate::graph::{
    CallFailure, CommandResult, EndKind, EndReport, FenceOffset, FenceToken, InstanceStart,
    PollReply, PollResult, RunNumber, RunReport, StartCommand, TaskName, WorkerRefusal,
};
use crate::id::WorkerId;
use crate::platform::http::{JsonCall, read_json, send_json};
use crate::platform::instance_start::decode_instance_start;

const START_PATH: &str = "/api/run-start";
const STOP_PATH: &str = "/api/run-stop";
const POLL_PATH: &str = "/api/hold";
const THROTTLE_PATH: &str = "/api/pace";
/// Header with the worker instance that a call is meant for. Any other instance answers 421.
const INSTANCE_HEADER: &str = "Target-Instance";

/// Number of ends that a worker lists at a time; it lists further ones once these are acknowledged.
const MAX_LISTED_ENDS: usize = 500;

/// Added to the timeout of a poll, because its answer lists all runs of the worker.
const POLL_SLACK: Duration = Duration::from_millis(100);

#[derive(Debug)]
#[derive(Serialize)]
struct WireStart<'c> {
    task: String,
    run: RunNumber,
    spec: &'c str,
    until_ms: u64,
    fencing_token: FenceToken,
    #[serde(skip_serializing_if = "str::is_empty")]
    checkpoint: &'c str,
    #[serde(skip_serializing_if = "Option::is_none")]
    ticket: Option<&'c str>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct WireStop {
    task: String,
    run: RunNumber,
    fencing_token: FenceToken,
}

#[derive(Debug)]
#[derive(Serialize)]
struct WireThrottle {
    task: String,
    run: RunNumber,
    percent: u32,
    fencing_token: FenceToken,
}

#[derive(Debug)]
#[derive(Serialize)]
struct WirePoll {
    #[serde(skip_serializing_if = "Option::is_none")]
    until_ms: Option<u64>,
    fencing_token: FenceToken,
    ack_cursor: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    wait_ms: Option<u64>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct WireAnswer {
    clock_ms: u64,
    #[serde(default)]
    reason: String,
}

/// Task, run, last checkpoint, percent done, and the tail latency in ms or the processors in use.
#[derive(Debug)]
#[derive(Deserialize)]
struct WireRunning(String, RunNumber, String, f64, #[serde(default)] f64);

/// Number of the end, task, run, kind of end, last checkpoint.
#[derive(Debug)]
#[derive(Deserialize)]
struct WireEnded(u64, String, RunNumber, String, #[serde(default)] String);

#[derive(Debug)]
#[derive(Deserialize)]
struct WirePollAnswer {
    clock_ms: u64,
    /// Start time of this instance of the worker.
    #[serde(default, deserialize_with = "decode_instance_start")]
    born: InstanceStart,
    #[serde(default)]
    running: Vec<WireRunning>,
    #[serde(default)]
    finished: Vec<WireEnded>,
}

/// Parameters that all calls to workers share.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallContext {
    /// Fencing token.
    pub(crate) token: FenceToken,
    /// Timeout of a call.
    pub(crate) timeout: Duration,
}

/// Content of a poll.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PollCall {
    /// End of the lease on the worker's clock; `None` to leave the lease as it is.
    pub(crate) until: Option<Duration>,
    /// Ends up to this number are acknowledged.
    pub(crate) acked: u64,
    /// By how much the fencing token exceeds the epoch.
    pub(crate) fence: FenceOffset,
    /// Longest time that the worker may hold the poll.
    pub(crate) wait: Duration,
}

/// A client that calls any worker.
#[derive(Clone, Debug)]
pub(crate) struct WorkerClient {
    client: HttpClient,
}

impl WorkerClient {
    pub(crate) fn new() -> Self {
        Self { client: HttpClient::new() }
    }

    /// Starts a run. It is not an error if the run exists already.
    pub(crate) async fn start(
        &self,
        context: CallContext,
        command: &StartCommand,
    ) -> CommandResult {
        let body = WireStart {
            task: command.task.to_string(),
            run: command.run,
            spec: &command.payload,
            until_ms: millis(command.until),
            fencing_token: context.token,
            checkpoint: &command.checkpoint,
            ticket: command.ticket.as_deref(),
        };
        self.command(&command.worker, command.address, START_PATH, &body, context.timeout).await
    }

    /// Stops a run. A run that has not started will be refused from then on.
    pub(crate) async fn stop(
        &self,
        context: CallContext,
        worker: &WorkerId,
        address: SocketAddr,
        task: &TaskName,
        run: RunNumber,
    ) -> CommandResult {
        let body = WireStop { task: task.to_string(), run, fencing_token: context.token };
        self.command(worker, address, STOP_PATH, &body, context.timeout).await
    }

    /// Limits a run to a percentage of its full speed.
    pub(crate) async fn throttle(
        &self,
        context: CallContext,
        worker: &WorkerId,
        address: SocketAddr,
        task: &TaskName,
        run: RunNumber,
        percent: u32,
    ) -> CommandResult {
        let body =
            WireThrottle { task: task.to_string(), run, percent, fencing_token: context.token };
        self.command(worker, address, THROTTLE_PATH, &body, context.timeout).await
    }

    /// Polls a worker: lists its runs and ends, renews its lease and acknowledges ends.
    pub(crate) async fn poll(
        &self,
        context: CallContext,
        worker: &WorkerId,
        address: SocketAddr,
        call: PollCall,
    ) -> PollResult {
        let PollCall { until, acked, fence, wait } = call;
        let body = WirePoll {
            until_ms: until.map(millis),
            fencing_token: context.token,
            ack_cursor: acked,
            wait_ms: (!wait.is_zero()).then(|| millis(wait)),
        };
        let response = self
            .call(worker, address, POLL_PATH, &body, wait + context.timeout + POLL_SLACK)
            .await?;
        let answer: WirePollAnswer = read_json(&response).map_err(call_failure)?;
        let has_more_ends = answer.finished.len() >= MAX_LISTED_ENDS;
        let ended = answer.finished.into_iter().filter_map(end_report).collect();
        let running = answer.running.into_iter().filter_map(run_report).collect();
        let clock = Duration::from_millis(answer.clock_ms);
        Ok(PollReply { instance_start: answer.born, fence, clock, running, ended, has_more_ends })
    }

    async fn command<B: Serialize>(
        &self,
        worker: &WorkerId,
        address: SocketAddr,
        path: &str,
        body: &B,
        timeout: Duration,
    ) -> CommandResult {
        let response = self.call(worker, address, path, body, timeout).await?;
        let answer: WireAnswer = read_json(&response).map_err(call_failure)?;
        Ok(Duration::from_millis(answer.clock_ms))
    }

    async fn call<B: Serialize>(
        &self,
        worker: &WorkerId,
        address: SocketAddr,
        path: &str,
        body: &B,
        timeout: Duration,
    ) -> std::result::Result<Response<Bytes>, CallFailure> {
        let headers = [(INSTANCE_HEADER, &**worker)];
        let call = JsonCall {
            line: "workers",
            method: Method::POST,
            address,
            path,
            headers: &headers,
            timeout,
        };
        let response = send_json(&self.client, call, Some(body)).await.map_err(call_failure)?;
        match response.status() {
            StatusCode::OK => Ok(response),
            status => Err(CallFailure::Refused(worker_refusal(status, &response))),
        }
    }
}

fn worker_refusal(status: StatusCode, response: &Response<Bytes>) -> WorkerRefusal {
    let reason = read_json::<WireAnswer>(response).map(|answer| answer.reason);
    match (status, reason.as_deref().unwrap_or_default()) {
        (StatusCode::CONFLICT, "fence") => WorkerRefusal::Deposed,
        (StatusCode::CONFLICT, "old") => WorkerRefusal::OldRun,
        (StatusCode::CONFLICT, "late") => WorkerRefusal::Late,
        (StatusCode::CONFLICT, "room") => WorkerRefusal::NoRoom,
        (StatusCode::CONFLICT, "ticket") => WorkerRefusal::Ticket,
        (StatusCode::MISDIRECTED_REQUEST, _) => WorkerRefusal::OtherLife,
        (StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE, _) => {
            WorkerRefusal::Unwell
        }
        _ => WorkerRefusal::Invalid,
    }
}

fn call_failure(error: ClientError) -> CallFailure {
    match error {
        ClientError::NotSent(_) => CallFailure::NotSent,
        ClientError::Refused(_) => CallFailure::NothingThere,
        ClientError::NoAnswer(_) => CallFailure::NoAnswer,
    }
}

fn run_report(wire: WireRunning) -> Option<RunReport> {
    let WireRunning(task, run, checkpoint, percent, reported_load) = wire;
    let task = parse_task_name(&task)?;
    Some(RunReport {
        task,
        run,
        checkpoint,
        percent: percent as u32,
        reported_load: reported_load as u32,
    })
}

fn end_report(wire: WireEnded) -> Option<EndReport> {
    let WireEnded(number, task, run, how, checkpoint) = wire;
    let kind = match how.as_str() {
        "done" => EndKind::Done,
        "failed" => EndKind::Failed,
        "stopped" => EndKind::Stopped,
        "lapsed" => EndKind::Lapsed,
        "broken" => EndKind::Broken,
        "alone" => EndKind::Alone,
        _ => {
            warn!(task = task, how = how; "a worker reports an end of an unknown kind");
            return None;
        }
    };
    Some(EndReport { number, task: parse_task_name(&task)?, run, kind, checkpoint })
}

fn parse_task_name(text: &str) -> Option<TaskName> {
    let name = text.parse();
    if name.is_err() {
        warn!(task = text; "a worker reports a task with an invalid name");
    }
    name.ok()
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
