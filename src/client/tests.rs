//! Tests of how failures without an answer are classified.

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use hyper::Method;
use tokio::net::TcpListener;

use crate::client::{ClientError, HttpClient};

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

async fn failure_of(address: SocketAddr) -> ClientError {
    let time = Duration::from_secs(2);
    let result = HttpClient::new().call(Method::POST, address, "/", "{}", time, 1_000).await;
    result.err().unwrap()
}

#[gtest]
#[tokio::test]
async fn an_address_where_nothing_listens_is_reported_as_refused() {
    let (listener, address) = listener().await;
    drop(listener);
    expect_that!(failure_of(address).await, matches_pattern!(ClientError::Refused(_)));
}

#[gtest]
#[tokio::test]
async fn a_connection_closed_without_an_answer_is_reported_as_no_answer() {
    let (listener, address) = listener().await;
    let closing_task = tokio::spawn(async move { drop(listener.accept().await) });
    expect_that!(failure_of(address).await, matches_pattern!(ClientError::NoAnswer(_)));
    closing_task.await.unwrap();
}

#[gtest]
#[tokio::test]
async fn an_unreachable_address_is_reported_as_not_sent() {
    // No TCP connection can be made to the broadcast address.
    let address = "255.255.255.255:80".parse().unwrap();
    expect_that!(failure_of(address).await, matches_pattern!(ClientError::NotSent(_)));
}
