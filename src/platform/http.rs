//! JSON calls over the crate's HTTP client.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::client::{ClientError, HttpClient, count_payload};

type Result<T> = std::result::Result<T, ClientError>;

/// Largest answer, in bytes. A page of the store's items has about a megabyte, and base64 adds a third.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// A call to make.
pub(super) struct JsonCall<'c> {
    /// Value of the metric label `line`.
    pub(super) line: &'static str,
    pub(super) method: Method,
    pub(super) address: SocketAddr,
    pub(super) path: &'c str,
    pub(super) headers: &'c [(&'static str, &'c str)],
    pub(super) timeout: Duration,
}

/// Sends a call with an optional JSON body and collects the answer.
pub(super) async fn send_json<B: Serialize>(
    client: &HttpClient,
    call: JsonCall<'_>,
    body: Option<&B>,
) -> Result<Response<Bytes>> {
    let bytes = match body {
        Some(body) => {
            serde_json::to_vec(body).map_err(|error| ClientError::NotSent(error.to_string()))?
        }
        None => Vec::new(),
    };
    metrics::counter!("kelplink_calls_total", "line" => call.line).increment(1);
    count_payload(call.line, bytes.len());
    let mut request =
        Request::builder().method(call.method).uri(format!("http://{}{}", call.address, call.path));
    if body.is_some() {
        request = request.header(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    }
    for (name, value) in call.headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(Bytes::from(bytes)))
        .map_err(|error| ClientError::NotSent(error.to_string()))?;
    let response = client.send(request, call.timeout, MAX_ANSWER_BYTES).await?;
    count_payload(call.line, response.body().len());
    Ok(response)
}

/// Decodes an answer's JSON body.
pub(super) fn read_json<T: DeserializeOwned>(response: &Response<Bytes>) -> Result<T> {
    serde_json::from_slice(response.body())
        .map_err(|error| ClientError::NoAnswer(format!("unreadable answer: {error}")))
}
