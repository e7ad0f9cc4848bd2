//! How a request that was not answered failed.

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
async fn an_address_where_nothing_listens_refuses() {
    let (listener, address) = listener().await;
    drop(listener);
    expect_that!(failure_of(address).await, matches_pattern!(ClientError::Refused(_)));
}

#[gtest]
#[tokio::test]
async fn a_connection_that_is_closed_may_have_brought_its_request() {
    let (listener, address) = listener().await;
    let closes = tokio::spawn(async move { drop(listener.accept().await) });
    expect_that!(failure_of(address).await, matches_pattern!(ClientError::NoAnswer(_)));
    closes.await.unwrap();
}

#[gtest]
#[tokio::test]
async fn an_address_that_cannot_be_reached_does_not_refuse() {
    // No TCP connection can be made to the broadcast address.
    let address = "255.255.255.255:80".parse().unwrap();
    expect_that!(failure_of(address).await, matches_pattern!(ClientError::NotSent(_)));
}
