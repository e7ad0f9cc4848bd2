//! HTTP listening: our own accept loop around gotham's handlers, so that it can drain.

mod tap;
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

use crate::http::tap::{HeadBytes, TappedStream, has_no_length};
use crate::problem::{ProblemDetails, RunState};

/// First pause after an error of accept, for instance too many open files; it doubles.
const FIRST_ACCEPT_PAUSE: Duration = Duration::from_millis(5);
/// Longest pause after errors of accept.
const LONGEST_ACCEPT_PAUSE: Duration = Duration::from_millis(500);

/// Largest head of a request, in bytes: twice what RFC 9112 (section 3) asks servers to take for a request
/// line. Each connection may keep as much.
const HEAD_BYTES: usize = 16 << 10;

/// Bounds of a listener.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListenerLimits {
    /// Open connections.
    pub(crate) connections: usize,
    /// Longest time for the head of a request to arrive.
    pub(crate) head_time: Duration,
    /// Longest time that a stop waits for requests in flight.
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

/// Something put into the state of each request before its handler runs.
pub(crate) type PrepareState = Arc<dyn Fn(&mut State) + Send + Sync>;

/// Serves until `stop` turns true, then lets requests in flight finish. Tells whether all did.
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
                pause = (pause * 2).min(LONGEST_ACCEPT_PAUSE);
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
    let seen = HeadBytes::default();
    let stream = TappedStream::new(stream, seen.clone());
    let service = service_fn(move |request: hyper::Request<Incoming>| {
        let head = seen.take();
        let (router, prepare, seen) = (router.clone(), prepare.clone(), seen.clone());
        async move {
            if request.headers().contains_key(TRANSFER_ENCODING) && !has_no_length(&head) {
                return Ok(two_lengths().response());
            }
            let mut state = State::from_request(request, address);
            prepare(&mut state);
            let answer = call_handler(router, AssertUnwindSafe(state)).await;
            // What came in until now belongs to this request, unless the next was sent before its answer.
            seen.take();
            answer
        }
    });
    // Telling the versions of HTTP apart has no limit of time, and another version none of these bounds.
    let mut builder = Builder::new(TokioExecutor::new()).http1_only();
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_time)
        .max_buf_size(HEAD_BYTES);
    let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = watched.await {
            debug!("connection of {address} ended: {error}");
        }
        drop(permit);
    });
}

/// Where the next request begins depends on which of both a reader goes by.
fn two_lengths() -> ProblemDetails {
    let detail = "a transfer coding may not stand beside a length";
    ProblemDetails::new(StatusCode::BAD_REQUEST, "malformed", detail).ran(RunState::No).closing()
}

/// Binds a listener; the address may have port 0.
///
/// # Errors
/// Those of the operating system.
pub(crate) fn bind(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
