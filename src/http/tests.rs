//! What a listener does where a handler or a caller breaks the rules.

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

const CHUNKS: &str = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
const LAST: &str = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

fn greet(state: State) -> (State, &'static str) {
    (state, "good day")
}

fn break_off(_: State) -> (State, &'static str) {
    panic!("a handler that is wrong")
}

/// Starts a listener; it stops with the sender.
fn listen() -> (SocketAddr, watch::Sender<bool>) {
    let router = build_simple_router(|route| {
        route.get("/").to(greet);
        route.post("/").to(greet);
        route.get("/broken").to(break_off);
    });
    let listener = TcpListener::from_std(bind("127.0.0.1:0".parse().unwrap()).unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = watch::channel(false);
    let limits = ListenerLimits::default();
    tokio::spawn(serve_http(listener, limits, router, Arc::new(|_| ()), stopped));
    (address, stop)
}

/// Statuses of all answers to what is sent at once, until the connection is closed.
async fn statuses(address: SocketAddr, sent: &[&str]) -> Vec<String> {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(sent.concat().as_bytes()).await.unwrap();
    let mut answers = String::new();
    stream.read_to_string(&mut answers).await.unwrap();
    let lines = answers.split("HTTP/1.1 ").skip(1);
    lines.map(|line| line.chars().take(3).collect()).collect()
}

/// A fault in a handler must cost its request alone: the next on the connection is served.
#[gtest]
#[tokio::test]
async fn a_handler_that_panics_is_answered_500_and_the_next_request_is_served() {
    let (address, _stop) = listen();
    let broken = "GET /broken HTTP/1.1\r\nHost: a\r\n\r\n";
    expect_that!(statuses(address, &[broken, LAST]).await, eq(&["500", "200"]));
}

/// Where the head of a request with chunks began is not known when it came in before the answer in
/// front of it, so that it might have a length as well. It is refused, and nothing after it is read.
#[gtest]
#[tokio::test]
async fn chunks_that_were_not_waited_for_are_refused() {
    let (address, _stop) = listen();
    expect_that!(statuses(address, &[CHUNKS, LAST]).await, eq(&["200", "200"]));
    expect_that!(statuses(address, &[CHUNKS, CHUNKS, LAST]).await, eq(&["200", "400"]));
}
