//! JSON-RPC client for calls to other entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::client::{ClientError, HttpClient, count_payload};
use crate::graph::{GraphId, LeaderEpoch, ShardId, StepKey};
use crate::id::{Revision, WorkerId};
use crate::node::handover_inbox::SuccessorOffer;
use crate::node::message::{
    ADVISE_METHOD, ASK_METHOD, AllowedWorkers, CALL_BYTES, CONFIG_METHOD, ConfigAnswer,
    GIVE_METHOD, LeaderAnswer, LeaderCall, OFFER_METHOD,
};
use crate::node::records::LeaderTerm;
use crate::node::simulated_peers::SimulatedPeers;

type Result<T> = std::result::Result<T, PeerFailure>;

/// Timeout for connecting: the latency between entries is two milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// How long an entry that left a call unanswered counts as unreachable: calls to it fail at once instead
/// of after their timeout, and after the pause one call is tried again.
const UNRESPONSIVE_PAUSE: Duration = Duration::from_millis(250);
/// Timeout for calls of a handover: the latency between entries is two milliseconds, and the next candidate is asked
/// only after the timeout.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(150);
/// Added to the advisor's timeout for the transfer between entries.
const TRANSIT_TIME: Duration = Duration::from_millis(200);

/// How a call to another entry failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum PeerFailure {
    /// The call certainly did not arrive.
    NotSent,
    /// The call may have arrived.
    NoAnswer,
}

/// A JSON-RPC request over HTTP. jsonrpsee's own client does not distinguish a failed connection from an
/// unanswered call, and has no timeout for connecting.
#[derive(Debug)]
#[derive(Serialize)]
struct RpcRequest<'c, P> {
    jsonrpc: &'static str,
    id: u64,
    method: &'c str,
    params: P,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(bound = "T: DeserializeOwned")]
struct RpcReply<T> {
    #[serde(default)]
    result: Option<T>,
}

/// How entries reach each other for handovers.
#[derive(Clone, Default)]
pub(crate) enum PeerNetwork {
    /// At their listeners.
    #[default]
    Listeners,
    /// Within a simulation.
    Simulated(SimulatedPeers),
}

/// Calls other entries.
#[derive(Clone)]
pub(crate) struct PeerClient {
    network: PeerNetwork,
    client: HttpClient,
    /// Entries that left their last call unanswered, each with the time of the next try.
    unresponsive: Arc<Mutex<BTreeMap<SocketAddr, Instant>>>,
}

impl PeerClient {
    pub(crate) fn new() -> Self {
        Self::within(PeerNetwork::Listeners)
    }

    /// Creates a client whose handovers go through a network.
    pub(crate) fn within(network: PeerNetwork) -> Self {
        let client = HttpClient::with_connect_timeout(CONNECT_TIMEOUT);
        Self { network, client, unresponsive: Arc::default() }
    }

    /// Sends a call to the leader of a shard at an address.
    pub(crate) async fn ask(
        &self,
        address: SocketAddr,
        shard: &ShardId,
        call: &LeaderCall,
        timeout: Duration,
    ) -> Result<LeaderAnswer> {
        self.request(address, ASK_METHOD, (shard, call), timeout).await
    }

    /// Asks another entry to get placement advice from its advisor.
    pub(crate) async fn advise(
        &self,
        address: SocketAddr,
        job: GraphId,
        step: StepKey,
        workers: Vec<WorkerId>,
        timeout: Duration,
    ) -> std::result::Result<AllowedWorkers, String> {
        let params = (job, step.occurrence, step.step, workers, timeout);
        let allowed = self.request(address, ADVISE_METHOD, params, timeout + TRANSIT_TIME).await;
        allowed.map_err(|failure| format!("{failure:?}"))
    }

    /// Asks an entry for a configuration newer than `known`.
    pub(crate) async fn newer_config(
        &self,
        address: SocketAddr,
        known: Option<Revision>,
        timeout: Duration,
    ) -> Result<ConfigAnswer> {
        self.request(address, CONFIG_METHOD, (known,), timeout).await
    }

    /// Asks an entry whether it can lead a shard after the given epoch.
    pub(crate) async fn offer(
        &self,
        address: SocketAddr,
        shard: &ShardId,
        epoch: LeaderEpoch,
    ) -> Result<Option<SuccessorOffer>> {
        match &self.network {
            PeerNetwork::Simulated(peers) => peers.offer(address, shard, epoch).await,
            PeerNetwork::Listeners => {
                self.request(address, OFFER_METHOD, (shard, epoch), HANDOVER_TIMEOUT).await
            }
        }
    }

    /// Notifies an entry that it now leads a shard and that the previous leader has ended.
    pub(crate) async fn hand_over(
        &self,
        address: SocketAddr,
        shard: &ShardId,
        term: &LeaderTerm,
    ) -> Result<bool> {
        match &self.network {
            PeerNetwork::Simulated(peers) => peers.hand_over(address, shard, term).await,
            PeerNetwork::Listeners => {
                self.request(address, GIVE_METHOD, (shard, term), HANDOVER_TIMEOUT).await
            }
        }
    }

    async fn request<P: Serialize, T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: &str,
        params: P,
        timeout: Duration,
    ) -> Result<T> {
        if !self.may_try(address) {
            return Err(PeerFailure::NotSent);
        }
        let result = self.send(address, method, params, timeout).await;
        self.note_result(address, result.is_ok());
        result
    }

    async fn send<P: Serialize, T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: &str,
        params: P,
        timeout: Duration,
    ) -> Result<T> {
        let body = RpcRequest { jsonrpc: "2.0", id: 1, method, params };
        let body = serde_json::to_vec(&body).map_err(|_| PeerFailure::NotSent)?;
        count_payload("peers", body.len());
        let request = Request::post(format!("http://{address}/"))
            .header(CONTENT_TYPE, HeaderValue::from_static("application/json"))
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| PeerFailure::NotSent)?;
        let response = match self.client.send(request, timeout, CALL_BYTES as usize).await {
            Ok(response) => response,
            Err(ClientError::NotSent(_) | ClientError::Refused(_)) => {
                return Err(PeerFailure::NotSent);
            }
            Err(ClientError::NoAnswer(_)) => return Err(PeerFailure::NoAnswer),
        };
        let reply: RpcReply<T> =
            serde_json::from_slice(response.body()).map_err(|_| PeerFailure::NoAnswer)?;
        reply.result.ok_or(PeerFailure::NoAnswer)
    }

    /// Whether an entry answered its last call or is due for another try; if it is due, postpones the next try.
    fn may_try(&self, address: SocketAddr) -> bool {
        let mut unresponsive = self.unresponsive.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        match unresponsive.get_mut(&address) {
            Some(retry_at) if *retry_at > now => false,
            Some(retry_at) => {
                *retry_at = now + UNRESPONSIVE_PAUSE;
                true
            }
            None => true,
        }
    }

    fn note_result(&self, address: SocketAddr, answered: bool) {
        let mut unresponsive = self.unresponsive.lock().unwrap_or_else(PoisonError::into_inner);
        match answered {
            true => unresponsive.remove(&address),
            false => unresponsive.insert(address, Instant::now() + UNRESPONSIVE_PAUSE),
        };
    }
}
