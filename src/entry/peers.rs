//! Communication with the other entries over JSON-RPC.

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

/// Name of the only RPC method.
const DELIVER_METHOD: &str = "deliver";
/// Timeout for one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of messages queued for one peer.
const PEER_QUEUE_CAPACITY: usize = 1_024;
/// Maximum number of messages in one call.
const MAX_BATCH: usize = 128;
/// Maximum size of a call, in bytes.
const MAX_CALL_BYTES: u32 = 16 << 20;
/// JSON-RPC error code for a full input ring; the peer should send less.
const BUSY_CODE: i32 = -32_000;

/// Inputs of the peers' thread.
#[derive(Debug)]
pub(crate) enum PeerInput {
    /// Sends a message to a peer.
    Send(EntryId, Box<PeerMessage>),
    /// Ends the thread.
    Stop,
}

/// The loop that exchanges messages with peers.
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

    /// Runs until it is stopped.
    ///
    /// # Errors
    /// Returns an error if the listener cannot be used.
    pub(crate) async fn run(self, listener: std::net::TcpListener) -> io::Result<()> {
        let config =
            ServerConfig::builder().max_request_body_size(MAX_CALL_BYTES).http_only().build();
        let server = ServerBuilder::new().set_config(config).build_from_tcp(listener)?;
        let handle = server.start(self.rpc_module().map_err(io::Error::other)?);
        let mut queues = BTreeMap::new();
        for peer in &self.peers {
            let (sender, receiver) = ring("peer", PEER_QUEUE_CAPACITY);
            queues.insert(peer.name.clone(), sender);
            let peer_sender =
                PeerSender::new(self.entry.clone(), peer, receiver, self.control.clone());
            tokio::spawn(peer_sender.run());
        }
        while let Some(PeerInput::Send(peer, message)) = self.input.recv().await {
            let dropped = queues.get(&peer).is_none_or(|queue| queue.offer(*message).is_err());
            if dropped {
                debug!("the queue of {peer} is full or missing: a message was dropped");
            }
        }
        let _ = handle.stop();
        handle.stopped().await;
        Ok(())
    }

    fn rpc_module(
        &self,
    ) -> std::result::Result<RpcModule<RingSender<ControlInput>>, RegisterMethodError> {
        let mut module = RpcModule::new(self.control.clone());
        module.register_async_method(DELIVER_METHOD, |params, control, _| async move {
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
struct PeerSender {
    entry: EntryId,
    peer: EntryId,
    address: SocketAddr,
    messages: RingReceiver<PeerMessage>,
    control: RingSender<ControlInput>,
}

impl PeerSender {
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
            while batch.len() < MAX_BATCH {
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
            .request_timeout(CALL_TIMEOUT)
            .max_request_size(MAX_CALL_BYTES)
            .build(format!("http://{}", self.address));
        match built {
            Ok(client) => Some(client),
            Err(error) => {
                warn!("cannot create a client for {}: {error}", self.peer);
                None
            }
        }
    }

    /// Sends a batch and returns the client if it can be used again. A client that failed is dropped,
    /// because its connections may be dead.
    async fn send(&self, client: HttpClient, batch: &[PeerMessage]) -> Option<HttpClient> {
        let mut params = ArrayParams::new();
        params.insert(&self.entry).ok()?;
        params.insert(batch).ok()?;
        let text = params.clone().to_rpc_params().ok().flatten();
        count_payload("peers", text.map_or(0, |text| text.get().len()));
        metrics::counter!("kelplink_peer_messages_total").increment(batch.len() as u64);
        let result: std::result::Result<bool, RpcError> =
            client.request(DELIVER_METHOD, params).await;
        match result {
            Ok(_) | Err(RpcError::Call(_)) => Some(client),
            Err(error) => {
                debug!("cannot reach {}: {error}", self.peer);
                metrics::counter!("kelplink_peer_failures_total").increment(1);
                if is_refused(&error) {
                    let event = DomainEvent::PeerGone(self.peer.clone());
                    let _ = self.control.offer(event.into());
                }
                None
            }
        }
    }
}

/// Returns whether the peer's operating system refused the connection, which means that the peer's
/// process is not running.
fn is_refused(error: &RpcError) -> bool {
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
