//! The duty of talking to workers.

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

/// Longest time for one exchange.
const EXCHANGE_TIME: Duration = Duration::from_millis(1_500);
/// Largest reply, in bytes.
const REPLY_BYTES: usize = 4 << 20;

/// What comes to this thread.
#[derive(Debug)]
pub(crate) enum WorkerInput {
    /// Make an exchange.
    Exchange { worker: WorkerId, address: SocketAddr, id: ExchangeId, request: WorkerRequest },
    /// End the thread.
    Stop,
}

/// The thread that talks to workers.
pub(crate) struct WorkerLoop {
    input: RingReceiver<WorkerInput>,
    control: RingSender<ControlInput>,
}

impl WorkerLoop {
    pub(crate) fn new(input: RingReceiver<WorkerInput>, control: RingSender<ControlInput>) -> Self {
        Self { input, control }
    }

    /// Runs until told to stop.
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
    let result = http.call(Method::POST, address, path, body, EXCHANGE_TIME, REPLY_BYTES).await;
    let response = result.ok().filter(|response| response.status() == StatusCode::OK)?;
    count_payload("workers", response.body().len());
    serde_json::from_slice(response.body()).ok()
}
