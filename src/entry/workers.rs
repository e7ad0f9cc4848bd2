//! Communication with workers.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::{Method, StatusCode};

use crate::client::{HttpClient, count_payload};
use crate::domain::DomainEvent;
use crate::entry::ControlInput;
use crate::fleet::ExchangeId;
use crate::id::WorkerId;
use crate::ring::{RingReceiver, RingSender};
use crate::worker::{WorkerReply, WorkerRequest};

/// Timeout for one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum size of a reply, in bytes.
const MAX_REPLY_BYTES: usize = 4 << 20;

/// Inputs of the workers' thread.
#[derive(Debug)]
pub(crate) enum WorkerInput {
    /// Sends a request to a worker and waits for its reply.
    Exchange { worker: WorkerId, address: SocketAddr, id: ExchangeId, request: WorkerRequest },
    /// Ends the thread.
    Stop,
}

/// The loop that exchanges requests and replies with workers.
pub(crate) struct WorkerLoop {
    input: RingReceiver<WorkerInput>,
    control: RingSender<ControlInput>,
}

impl WorkerLoop {
    pub(crate) fn new(input: RingReceiver<WorkerInput>, control: RingSender<ControlInput>) -> Self {
        Self { input, control }
    }

    /// Runs until it is stopped.
    pub(crate) async fn run(self) {
        let http = HttpClient::new();
        while let Some(WorkerInput::Exchange { worker, address, id, request }) =
            self.input.recv().await
        {
            let (http, control) = (http.clone(), self.control.clone());
            tokio::spawn(async move {
                let reply = exchange(&http, address, &request).await;
                control.send(DomainEvent::Worker(worker, id, reply).into()).await;
            });
        }
    }
}

async fn exchange(
    http: &HttpClient,
    address: SocketAddr,
    request: &WorkerRequest,
) -> Option<WorkerReply> {
    let body = serde_json::to_vec(request).ok()?;
    metrics::counter!("kelplink_worker_exchanges_total").increment(1);
    count_payload("workers", body.len());
    let path = "/exchange";
    let result =
        http.call(Method::POST, address, path, body, EXCHANGE_TIMEOUT, MAX_REPLY_BYTES).await;
    let response = result.ok().filter(|response| response.status() == StatusCode::OK)?;
    count_payload("workers", response.body().len());
    serde_json::from_slice(response.body()).ok()
}
