//! The duty of talking to the other entries by JSON-RPC.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use jsonrpsee::core::RegisterMethodError;
use jsonrpsee::core::client::{ClientT, Error as RpcError};
use jsonrpsee::core::params::ArrayParams;
use jsonrpsee::core::traits::ToRpcParams;
use jsonrpsee::server::{RpcModule, ServerBuilder, ServerConfig};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee_http_client::{HttpClient, HttpClientBuilder};
use log::{debug, warn};

use crate::client::count_payload;
use crate::domain::DomainEvent;
use crate::entry::ControlInput;
use crate::id::EntryId;
use crate::message::PeerMessage;
use crate::ring::{RingReceiver, RingSender, ring};
use crate::settings::PeerSettings;

type Result<T> = std::result::Result<T, ErrorObjectOwned>;

/// Name of the only method.
const DELIVER: &str = "deliver";
/// Longest time for one call.
const CALL_TIME: Duration = Duration::from_millis(1_000);
/// Messages that may wait for one peer.
const QUEUE: usize = 1_024;
/// Messages in one call.
const BATCH: usize = 128;
/// Largest call, in bytes.
const CALL_BYTES: u32 = 16 << 20;
/// JSON-RPC code of an error that asks to slow down.
const BUSY_CODE: i32 = -32_000;

/// What comes to this thread.
#[derive(Debug)]
pub(crate) enum PeerInput {
    /// Send a message.
    Send(EntryId, Box<PeerMessage>),
    /// End the thread.
    Stop,
}

/// The thread that talks to peers.
pub(crate) struct PeerLoop {
    entry: EntryId,
    peers: Vec<PeerSettings>,
    input: RingReceiver<PeerInput>,
    control: RingSender<ControlInput>,
}

impl PeerLoop {
    pub(crate) fn new(
        entry: EntryId,
        peers: Vec<PeerSettings>,
        input: RingReceiver<PeerInput>,
        control: RingSender<ControlInput>,
    ) -> Self {
        Self { entry, peers, input, control }
    }

    /// Runs until told to stop.
    ///
    /// # Errors
    /// Where the listener cannot be used.
    pub(crate) async fn run(self, listener: std::net::TcpListener) -> io::Result<()> {
        let config = ServerConfig::builder().max_request_body_size(CALL_BYTES).http_only().build();
        let server = ServerBuilder::new().set_config(config).build_from_tcp(listener)?;
        let handle = server.start(self.module().map_err(io::Error::other)?);
        let mut lines = BTreeMap::new();
        for peer in &self.peers {
            let (sender, receiver) = ring("peer", QUEUE);
            lines.insert(peer.name.clone(), sender);
            let line = PeerLine::new(self.entry.clone(), peer, receiver, self.control.clone());
            tokio::spawn(line.run());
        }
        while let Some(PeerInput::Send(peer, message)) = self.input.recv().await {
            let refused = lines.get(&peer).is_none_or(|line| line.offer(*message).is_err());
            if refused {
                debug!("no room for a message to {peer}");
            }
        }
        let _ = handle.stop();
        handle.stopped().await;
        Ok(())
    }

    fn module(
        &self,
    ) -> std::result::Result<RpcModule<RingSender<ControlInput>>, RegisterMethodError> {
        let mut module = RpcModule::new(self.control.clone());
        module.register_async_method(DELIVER, |params, control, _| async move {
            count_payload("peers", params.len_bytes());
            let (from, messages): (EntryId, Vec<PeerMessage>) = params.parse()?;
            for message in messages {
                deliver(&control, from.clone(), message)?;
            }
            Result::Ok(true)
        })?;
        Ok(module)
    }
}

fn deliver(control: &RingSender<ControlInput>, from: EntryId, message: PeerMessage) -> Result<()> {
    let event = DomainEvent::Peer(from, message);
    control
        .offer(event.into())
        .map_err(|_| ErrorObjectOwned::owned(BUSY_CODE, "too many messages wait", None::<()>))
}

/// Sends messages to one peer, in order.
struct PeerLine {
    entry: EntryId,
    peer: EntryId,
    address: SocketAddr,
    messages: RingReceiver<PeerMessage>,
    control: RingSender<ControlInput>,
}

impl PeerLine {
    fn new(
        entry: EntryId,
        peer: &PeerSettings,
        messages: RingReceiver<PeerMessage>,
        control: RingSender<ControlInput>,
    ) -> Self {
        Self { entry, peer: peer.name.clone(), address: peer.address, messages, control }
    }

    async fn run(self) {
        let mut client = None;
        while let Some(first) = self.messages.recv().await {
            let mut batch = vec![first];
            while batch.len() < BATCH {
                let Some(next) = self.messages.try_recv() else {
                    break;
                };
                batch.push(next);
            }
            let connected = match client.take() {
                Some(connected) => connected,
                None => match self.connect() {
                    Some(connected) => connected,
                    None => continue,
                },
            };
            client = self.send(connected, &batch).await;
        }
    }

    fn connect(&self) -> Option<HttpClient> {
        let built = HttpClientBuilder::new()
            .request_timeout(CALL_TIME)
            .max_request_size(CALL_BYTES)
            .build(format!("http://{}", self.address));
        match built {
            Ok(client) => Some(client),
            Err(error) => {
                warn!("no client for {}: {error}", self.peer);
                None
            }
        }
    }

    /// Sends a batch; a client that failed is not used again, its connections may be dead.
    async fn send(&self, client: HttpClient, batch: &[PeerMessage]) -> Option<HttpClient> {
        let mut params = ArrayParams::new();
        params.insert(&self.entry).ok()?;
        params.insert(batch).ok()?;
        let text = params.clone().to_rpc_params().ok().flatten();
        count_payload("peers", text.map_or(0, |text| text.get().len()));
        metrics::counter!("kelplink_peer_messages_total").increment(batch.len() as u64);
        let result: std::result::Result<bool, RpcError> = client.request(DELIVER, params).await;
        match result {
            Ok(_) | Err(RpcError::Call(_)) => Some(client),
            Err(error) => {
                debug!("{} was not reached: {error}", self.peer);
                metrics::counter!("kelplink_peer_failures_total").increment(1);
                if refused(&error) {
                    let event = DomainEvent::PeerGone(self.peer.clone());
                    let _ = self.control.offer(event.into());
                }
                None
            }
        }
    }
}

/// Tells whether the peer's operating system refused the connection: its process does not run.
fn refused(error: &RpcError) -> bool {
    let mut cause: Option<&dyn std::error::Error> = Some(error);
    while let Some(error) = cause {
        let kind = error.downcast_ref::<io::Error>().map(io::Error::kind);
        if kind == Some(io::ErrorKind::ConnectionRefused) {
            return true;
        }
        cause = error.source();
    }
    false
}
