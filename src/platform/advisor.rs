//! Client of the platform's placement advice service.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::client::{ClientError, HttpClient};
use crate::graph::{GraphId, StepKey, TicketText};
use crate::id::WorkerId;
use crate::platform::http::{JsonCall, read_json, send_json};

type Result<T> = std::result::Result<T, ClientError>;

const ADVISE_PATH: &str = "/api/advise";

#[derive(Debug)]
#[derive(Serialize)]
struct WireAdviceRequest<'c> {
    step: String,
    workers: &'c [WorkerId],
}

#[derive(Debug)]
#[derive(Deserialize)]
struct WireAdvice {
    #[serde(default)]
    allowed: Vec<(WorkerId, TicketText)>,
}

/// A client of the placement advice service.
#[derive(Clone, Debug)]
pub(crate) struct AdvisorClient {
    address: SocketAddr,
    client: HttpClient,
}

impl AdvisorClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { address, client: HttpClient::new() }
    }

    /// Asks which of the given workers may run a step. Returns the allowed workers with their tickets.
    pub(crate) async fn advise(
        &self,
        job: &GraphId,
        step: StepKey,
        workers: &[WorkerId],
        timeout: Duration,
    ) -> Result<Vec<(WorkerId, TicketText)>> {
        let step = format!("{job}.{}.{}", step.occurrence, step.step);
        let call = JsonCall {
            line: "advisor",
            method: Method::POST,
            address: self.address,
            path: ADVISE_PATH,
            headers: &[],
            timeout,
        };
        let response =
            send_json(&self.client, call, Some(&WireAdviceRequest { step, workers })).await?;
        match response.status() {
            StatusCode::OK => Ok(read_json::<WireAdvice>(&response)?.allowed),
            status => Err(ClientError::NoAnswer(status.to_string())),
        }
    }
}
