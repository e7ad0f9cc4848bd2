//! A stand-in for the platform's store, for tests of the calls between an entry and the store.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// A store without jobs or members that grants leases and accepts transactions.
#[derive(Default)]
pub(crate) struct EmptyStore {
    last_lease: AtomicU64,
    /// The current lease, if it has not ended.
    lease: Mutex<Option<u64>>,
    /// Whether transactions are carried out but never answered.
    pub(crate) loses_answers: AtomicBool,
    /// Number of transactions whose answers were lost.
    pub(crate) lost_transactions: AtomicU64,
    /// Whether transactions are carried out and their answers delayed until this is unset.
    pub(crate) delays_answers: AtomicBool,
    /// Number of transactions whose answers were not lost.
    pub(crate) transactions: AtomicU64,
}

impl EmptyStore {
    /// Starts a store on a free loopback port.
    pub(crate) async fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let serving = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serving.clone().serve(stream));
            }
        });
        (store, address)
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let mut request = vec![0; 1 << 16];
        while let Ok(count @ 1..) = stream.read(&mut request).await {
            let head = String::from_utf8_lossy(&request[..count]).into_owned();
            let Some((status, body)) = self.answer(&head) else {
                return;
            };
            while head.starts_with("POST /api/kv-txn ")
                && self.delays_answers.load(Ordering::Relaxed)
            {
                sleep(Duration::from_millis(1)).await;
            }
            let length = body.len();
            let answer = format!("HTTP/1.1 {status} Any\r\ncontent-length: {length}\r\n\r\n{body}");
            stream.write_all(answer.as_bytes()).await.unwrap();
        }
    }

    fn answer(&self, head: &str) -> Option<(u16, String)> {
        let path = head.split(' ').nth(1).unwrap_or_default();
        match path {
            "/api/kv-lease" => {
                let lease = self.last_lease.fetch_add(1, Ordering::Relaxed) + 1;
                *self.lease.lock().unwrap() = Some(lease);
                Some((200, format!("{{\"lease\":{lease},\"ttl_ms\":1000}}")))
            }
            "/api/kv-txn" if self.loses_answers.load(Ordering::Relaxed) => {
                self.lost_transactions.fetch_add(1, Ordering::Relaxed);
                None
            }
            "/api/kv-txn" => {
                self.transactions.fetch_add(1, Ordering::Relaxed);
                Some((200, "{\"revision\":9}".to_owned()))
            }
            path if path.starts_with("/api/kv-range") => {
                Some((200, "{\"items\":[],\"has_more\":false,\"as_of\":9}".to_owned()))
            }
            path if path.starts_with("/api/kv-keep/") => {
                let current = *self.lease.lock().unwrap();
                let id = path.rsplit('/').next().and_then(|id| id.parse().ok());
                let status = if id.is_some() && id == current { 200 } else { 404 };
                Some((status, "{\"ttl_ms\":1000}".to_owned()))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    /// Ends the current lease, and with it all keys under it.
    pub(crate) fn end_lease(&self) {
        *self.lease.lock().unwrap() = None;
    }
}
