//! HTTP client for the platform, workers and upstreams.

#[cfg(test)]
mod tests;

use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::timeout;

type Result<T> = std::result::Result<T, ClientError>;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// TCP keep-alive time and user timeout: a connection whose peer acknowledges nothing for this long is
/// closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// How a request failed.
#[derive(Debug)]
pub(crate) enum ClientError {
    /// No connection could be established, so the request did not arrive.
    NotSent(String),
    /// Nothing listens at the address, so the request did not arrive.
    Refused(String),
    /// The request was sent, or may have been, and no complete answer arrived.
    NoAnswer(String),
}

/// An HTTP client with a pool of connections.
#[derive(Clone, Debug)]
pub(crate) struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client with an empty pool.
    pub(crate) fn new() -> Self {
        Self::with_connect_timeout(CONNECT_TIMEOUT)
    }

    /// Creates a client with an empty pool and the given timeout for establishing a connection.
    pub(crate) fn with_connect_timeout(connect_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_keepalive(Some(UNACKNOWLEDGED_TIMEOUT));
        connector.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Sends a request and collects the complete answer, up to a maximum size in bytes.
    pub(crate) async fn send(
        &self,
        request: Request<Full<Bytes>>,
        time_limit: Duration,
        max_bytes: usize,
    ) -> Result<Response<Bytes>> {
        match timeout(time_limit, self.exchange(request, max_bytes)).await {
            Ok(result) => result,
            Err(_) => Err(ClientError::NoAnswer(format!("no answer within {time_limit:?}"))),
        }
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
    ) -> Result<Response<Bytes>> {
        let response =
            self.client.request(request).await.map_err(|error| match error.is_connect() {
                true if is_refused(&error) => ClientError::Refused(describe(&error)),
                true => ClientError::NotSent(describe(&error)),
                false => ClientError::NoAnswer(describe(&error)),
            })?;
        let (parts, body) = response.into_parts();
        let collected = Limited::new(body, max_bytes).collect().await;
        let bytes = collected.map_err(|error| ClientError::NoAnswer(error.to_string()))?.to_bytes();
        Ok(Response::from_parts(parts, bytes))
    }

    /// Sends a request with a body to a path at an address.
    pub(crate) async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: impl Into<Bytes>,
        time_limit: Duration,
        max_bytes: usize,
    ) -> Result<Response<Bytes>> {
        let body = body.into();
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Full::new(body))
            .map_err(|error| ClientError::NotSent(error.to_string()))?;
        self.send(request, time_limit, max_bytes).await
    }
}

/// Counts the bytes of bodies exchanged with the platform, workers and peers.
pub(crate) fn count_payload(line: &'static str, bytes: usize) {
    metrics::counter!("kelplink_payload_bytes_total", "line" => line).increment(bytes as u64);
}

/// Returns whether the connection was refused because nothing listens at the address.
fn is_refused(error: &dyn std::error::Error) -> bool {
    let causes = std::iter::successors(error.source(), |cause| cause.source());
    let mut kinds = causes.filter_map(|cause| cause.downcast_ref::<Error>()).map(Error::kind);
    kinds.any(|kind| kind == ErrorKind::ConnectionRefused)
}

/// Formats an error with its causes.
fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text = format!("{text}: {error}");
        cause = error.source();
    }
    text
}
