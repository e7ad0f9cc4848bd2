//! HTTP server: an accept loop around gotham's handlers that can drain its connections.

mod recording_stream;
#[cfg(test)]
mod tests;

use std::io;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use gotham::router::Router;
use gotham::service::call_handler;
use gotham::state::State;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::TRANSFER_ENCODING;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use log::{debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::{sleep, timeout};

use crate::http::recording_stream::{HeadBytes, RecordingStream, has_no_length};
use crate::problem::{ProblemDetails, RunState};

/// Pause after the first error of `accept`, such as too many open files; it doubles with each further
/// error.
const FIRST_ACCEPT_PAUSE: Duration = Duration::from_millis(5);
/// Longest pause after errors of `accept`.
const MAX_ACCEPT_PAUSE: Duration = Duration::from_millis(500);

/// Maximum size of a request head, in bytes: twice the length of a request line that RFC 9112
/// (section 3) asks servers to support. Each connection may buffer this much.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListenerLimits {
    /// Maximum number of open connections.
    pub(crate) connections: usize,
    /// Timeout for the head of a request to arrive.
    pub(crate) head_time: Duration,
    /// Maximum time that a stop waits for requests in flight.
    pub(crate) drain: Duration,
}

impl Default for ListenerLimits {
    fn default() -> Self {
        Self {
            connections: 1_024,
            head_time: Duration::from_secs(10),
            drain: Duration::from_secs(5),
        }
    }
}

/// Function that prepares the state of each request before its handler runs.
pub(crate) type PrepareState = Arc<dyn Fn(&mut State) + Send + Sync>;

/// Serves until `stop` turns true, then waits for requests in flight. Returns whether all of them
/// finished within the limit.
pub(crate) async fn serve_http(
    listener: TcpListener,
    limits: ListenerLimits,
    router: Router,
    prepare: PrepareState,
    mut stop: watch::Receiver<bool>,
) -> bool {
    let graceful = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(limits.connections));
    let mut pause = FIRST_ACCEPT_PAUSE;
    loop {
        let permit = tokio::select! {
            permit = permits.clone().acquire_owned() => permit,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        match accepted {
            Ok((stream, address)) => {
                pause = FIRST_ACCEPT_PAUSE;
                serve_connection(
                    stream,
                    address,
                    limits,
                    &router,
                    &prepare,
                    &graceful,
                    permit.ok(),
                );
            }
            Err(error) => {
                warn!("accept failed: {error}");
                sleep(pause).await;
                pause = (pause * 2).min(MAX_ACCEPT_PAUSE);
            }
        }
    }
    drop(listener);
    timeout(limits.drain, graceful.shutdown()).await.is_ok()
}

fn serve_connection(
    stream: TcpStream,
    address: SocketAddr,
    limits: ListenerLimits,
    router: &Router,
    prepare: &PrepareState,
    graceful: &GracefulShutdown,
    permit: Option<tokio::sync::OwnedSemaphorePermit>,
) {
    let _ = stream.set_nodelay(true);
    let (router, prepare) = (router.clone(), prepare.clone());
    let head_bytes = HeadBytes::default();
    let stream = RecordingStream::new(stream, head_bytes.clone());
    let service = service_fn(move |request: hyper::Request<Incoming>| {
        let head = head_bytes.take();
        let (router, prepare, head_bytes) = (router.clone(), prepare.clone(), head_bytes.clone());
        async move {
            if request.headers().contains_key(TRANSFER_ENCODING) && !has_no_length(&head) {
                return Ok(ambiguous_length().response());
            }
            let mut state = State::from_request(request, address);
            prepare(&mut state);
            let answer = call_handler(router, AssertUnwindSafe(state)).await;
            // The bytes recorded until now belong to this request, unless the client pipelined the
            // next request.
            head_bytes.take();
            answer
        }
    });
    // HTTP/1 only: the detection of the HTTP version has no timeout, and these limits do not apply to
    // other versions.
    let mut builder = Builder::new(TokioExecutor::new()).http1_only();
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_time)
        .max_buf_size(MAX_HEAD_BYTES);
    let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = watched.await {
            debug!("connection of {address} ended: {error}");
        }
        drop(permit);
    });
}

/// Error for a request with both a content length and a transfer coding: where the next request begins
/// depends on which of the two a reader uses.
fn ambiguous_length() -> ProblemDetails {
    let detail = "a transfer coding may not stand beside a length";
    ProblemDetails::new(StatusCode::BAD_REQUEST, "malformed", detail)
        .ran(RunState::No)
        .close_after_response()
}

/// Binds a non-blocking listener. With port 0 the operating system chooses the port.
///
/// # Errors
/// Returns the error of the operating system.
pub(crate) fn bind(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
