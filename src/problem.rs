//! Errors of the HTTP interfaces as problem details (RFC 9457).

use std::io;
use std::time::Duration;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use hyper::{Response, StatusCode};
use serde::Serialize;

/// Header that states whether the request was run.
pub(crate) const RAN_HEADER: &str = "kelplink-ran";

/// Whether a request was run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunState {
    /// The request ran.
    Yes,
    /// The request never reached an upstream; it is safe to send it again.
    No,
    /// The request may have run.
    Unknown,
}

impl RunState {
    /// Returns the value of [`RAN_HEADER`].
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Yes => "yes",
            Self::No => "no",
            Self::Unknown => "unknown",
        }
    }
}

/// An error response to a client.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ProblemDetails {
    status: StatusCode,
    title: &'static str,
    detail: String,
    retry_after: Option<Duration>,
    ran: Option<RunState>,
    challenge: Option<&'static str>,
    close_connection: bool,
}

#[derive(Serialize)]
struct ProblemBody<'p> {
    #[serde(rename = "type")]
    kind: &'static str,
    title: &'static str,
    status: u16,
    detail: &'p str,
}

impl ProblemDetails {
    pub(crate) fn new(status: StatusCode, title: &'static str, detail: impl Into<String>) -> Self {
        Self {
            status,
            title,
            detail: detail.into(),
            retry_after: None,
            ran: None,
            challenge: None,
            close_connection: false,
        }
    }

    /// Sets whether the request was run.
    pub(crate) fn ran(mut self, ran: RunState) -> Self {
        self.ran = Some(ran);
        self
    }

    /// Sets the `Retry-After` header.
    pub(crate) fn retry_after(mut self, time: Duration) -> Self {
        self.retry_after = Some(time);
        self
    }

    /// Sets the authentication scheme that the client has to use.
    pub(crate) fn challenge(mut self, scheme: &'static str) -> Self {
        self.challenge = Some(scheme);
        self
    }

    /// Closes the connection after the response, because the bytes that follow may not be a request.
    pub(crate) fn close_after_response(mut self) -> Self {
        self.close_connection = true;
        self
    }

    /// Builds the response.
    pub(crate) fn response(&self) -> Response<Body> {
        let (parts, bytes) = self.bytes_response().into_parts();
        Response::from_parts(parts, full_body(bytes))
    }

    /// Builds the response with its body as bytes.
    pub(crate) fn bytes_response(&self) -> Response<Bytes> {
        let body = ProblemBody {
            kind: "about:blank",
            title: self.title,
            status: self.status.as_u16(),
            detail: &self.detail,
        };
        let text = serde_json::to_vec(&body).unwrap_or_default();
        let mut response = Response::new(Bytes::from(text));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        if let Some(time) = self.retry_after {
            let seconds = time.as_millis().div_ceil(1_000).max(1);
            headers.insert(RETRY_AFTER, HeaderValue::from(u64::try_from(seconds).unwrap_or(1)));
        }
        if let Some(ran) = self.ran {
            headers.insert(RAN_HEADER, HeaderValue::from_static(ran.label()));
        }
        if let Some(scheme) = self.challenge {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static(scheme));
        }
        if self.close_connection {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// Makes a body from bytes.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| -> io::Error { match never {} }).boxed_unsync()
}

/// Makes a JSON response.
pub(crate) fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let mut response = Response::new(full_body(serde_json::to_vec(value).unwrap_or_default()));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
