//! Tests of the listener with panicking handlers and malformed requests.

use std::net::SocketAddr;
use std::sync::Arc;

use googletest::prelude::*;
use gotham::prelude::{DefineSingleRoute, DrawRoutes};
use gotham::router::builder::build_simple_router;
use gotham::state::State;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::http::{ListenerLimits, bind, serve_http};

const CHUNKED_REQUEST: &str =
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
const LAST_REQUEST: &str = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

fn greet(state: State) -> (State, &'static str) {
    (state, "good day")
}

fn panic_in_handler(_: State) -> (State, &'static str) {
    panic!("deliberate panic of a handler")
}

/// Starts a listener that stops when the returned sender is dropped.
fn start_listener() -> (SocketAddr, watch::Sender<bool>) {
    let router = build_simple_router(|route| {
        route.get("/").to(greet);
        route.post("/").to(greet);
        route.get("/broken").to(panic_in_handler);
    });
    let listener = TcpListener::from_std(bind("127.0.0.1:0".parse().unwrap()).unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = watch::channel(false);
    let limits = ListenerLimits::default();
    tokio::spawn(serve_http(listener, limits, router, Arc::new(|_| ()), stopped));
    (address, stop)
}

/// Sends all requests at once and returns the statuses of the answers until the connection is closed.
async fn statuses(address: SocketAddr, sent: &[&str]) -> Vec<String> {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(sent.concat().as_bytes()).await.unwrap();
    let mut answers = String::new();
    stream.read_to_string(&mut answers).await.unwrap();
    let lines = answers.split("HTTP/1.1 ").skip(1);
    lines.map(|line| line.chars().take(3).collect()).collect()
}

/// A panic in a handler must fail only its own request; the next one on the connection is served.
#[gtest]
#[tokio::test]
async fn a_handler_that_panics_is_answered_500_and_the_next_request_is_served() {
    let (address, _stop) = start_listener();
    let broken = "GET /broken HTTP/1.1\r\nHost: a\r\n\r\n";
    expect_that!(statuses(address, &[broken, LAST_REQUEST]).await, eq(&["500", "200"]));
}

/// The start of a chunked request's head is unknown if it was pipelined, that is, received before the
/// previous request was answered. It might have a content length as well, so it is refused and
/// nothing after it is read.
#[gtest]
#[tokio::test]
async fn pipelined_chunked_requests_are_refused() {
    let (address, _stop) = start_listener();
    expect_that!(statuses(address, &[CHUNKED_REQUEST, LAST_REQUEST]).await, eq(&["200", "200"]));
    expect_that!(
        statuses(address, &[CHUNKED_REQUEST, CHUNKED_REQUEST, LAST_REQUEST]).await,
        eq(&["200", "400"])
    );
}
