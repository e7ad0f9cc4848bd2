//! Calls between entries by JSON-RPC.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use jsonrpsee::core::RegisterMethodError;
use jsonrpsee::core::client::{ClientT, Error as RpcError};
use jsonrpsee::core::params::ArrayParams;
use jsonrpsee::server::{RpcModule, ServerBuilder, ServerConfig, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee_http_client::{HttpClient, HttpClientBuilder};
use tokio::time::timeout;

use crate::graph::{GraphId, StepKey, TicketText};
use crate::id::WorkerId;
use crate::node::access::ask_here;
use crate::node::shared::{LeaderAnswer, LeaderCall, NodeShared};

type Result<T> = std::result::Result<T, ErrorObjectOwned>;
type Allowed = Vec<(WorkerId, TicketText)>;

/// A call for the leader.
const ASK: &str = "ask";
/// A question to the service that gives placement advice.
const ADVISE: &str = "advise";
/// Longest time for one call; each caller sets a shorter one.
const CALL_TIME: Duration = Duration::from_secs(5);
/// Largest call, in bytes.
const CALL_BYTES: u32 = 4 << 20;
/// Added to the time of an advisor's answer for the way between entries.
const WAY_TIME: Duration = Duration::from_millis(200);
/// JSON-RPC code of an error on the way to the advisor.
const ADVISOR_CODE: i32 = -32_001;

/// JSON-RPC code where leadership ended during a call: it may have been carried out.
const ENDED_CODE: i32 = -32_002;

/// How a call to another entry failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum PeerFailure {
    /// It surely did not arrive.
    NotSent,
    /// It may have arrived.
    NoAnswer,
}

/// Serves calls of other entries.
pub(crate) fn serve_peers(shared: Arc<NodeShared>) -> io::Result<ServerHandle> {
    let listener = crate::http::bind(shared.settings.peers)?;
    let config = ServerConfig::builder().max_request_body_size(CALL_BYTES).http_only().build();
    let server = ServerBuilder::new().set_config(config).build_from_tcp(listener)?;
    Ok(server.start(module(shared).map_err(io::Error::other)?))
}

fn module(
    shared: Arc<NodeShared>,
) -> std::result::Result<RpcModule<Arc<NodeShared>>, RegisterMethodError> {
    let mut module = RpcModule::new(shared);
    module.register_async_method(ASK, |params, shared, _| async move {
        let (call,): (LeaderCall,) = params.parse()?;
        let answer = ask_here(&shared, call).await;
        answer.ok_or_else(|| ErrorObjectOwned::owned(ENDED_CODE, "leadership ended", None::<()>))
    })?;
    module.register_async_method(ADVISE, |params, shared, _| async move {
        let (job, occurrence, step, workers, time): (GraphId, u32, u32, Vec<WorkerId>, Duration) =
            params.parse()?;
        let step = StepKey { occurrence, step };
        advise_here(&shared, job, step, workers, time).await
    })?;
    Ok(module)
}

async fn advise_here(
    shared: &NodeShared,
    job: GraphId,
    step: StepKey,
    workers: Vec<WorkerId>,
    time: Duration,
) -> Result<Allowed> {
    let failed = |reason: String| ErrorObjectOwned::owned(ADVISOR_CODE, reason, None::<()>);
    let advisor = shared.advisor.as_ref().ok_or_else(|| failed("no advisor is set".to_owned()))?;
    let allowed = advisor.advise(&job, step, &workers, time).await;
    allowed.map_err(|error| failed(format!("{error:?}")))
}

/// Calls other entries.
#[derive(Clone, Default)]
pub(crate) struct PeerClient {
    clients: Arc<Mutex<BTreeMap<SocketAddr, HttpClient>>>,
}

impl PeerClient {
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Asks the leader at an address.
    pub(crate) async fn ask(
        &self,
        address: SocketAddr,
        call: &LeaderCall,
        time: Duration,
    ) -> std::result::Result<LeaderAnswer, PeerFailure> {
        let mut params = ArrayParams::new();
        params.insert(call).map_err(|_| PeerFailure::NotSent)?;
        self.request(address, ASK, params, time).await
    }

    /// Has an entry ask for advice.
    pub(crate) async fn advise(
        &self,
        address: SocketAddr,
        job: GraphId,
        step: StepKey,
        workers: Vec<WorkerId>,
        time: Duration,
    ) -> std::result::Result<Allowed, String> {
        let mut params = ArrayParams::new();
        let inserted = params
            .insert(job)
            .and_then(|()| params.insert(step.occurrence))
            .and_then(|()| params.insert(step.step))
            .and_then(|()| params.insert(workers))
            .and_then(|()| params.insert(time));
        inserted.map_err(|error| error.to_string())?;
        let allowed = self.request(address, ADVISE, params, time + WAY_TIME).await;
        allowed.map_err(|failure| format!("{failure:?}"))
    }

    async fn request<T: serde::de::DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: &str,
        params: ArrayParams,
        time: Duration,
    ) -> std::result::Result<T, PeerFailure> {
        let client = self.client(address).ok_or(PeerFailure::NotSent)?;
        match timeout(time, client.request(method, params)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(RpcError::Call(_))) => Err(PeerFailure::NoAnswer),
            Ok(Err(error)) => {
                self.drop_client(address);
                Err(if refused(&error) { PeerFailure::NotSent } else { PeerFailure::NoAnswer })
            }
            Err(_) => {
                self.drop_client(address);
                Err(PeerFailure::NoAnswer)
            }
        }
    }

    /// A client that failed is not used again: its connections may be dead.
    fn drop_client(&self, address: SocketAddr) {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
    }

    fn client(&self, address: SocketAddr) -> Option<HttpClient> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(&address) {
            return Some(client.clone());
        }
        let built = HttpClientBuilder::new()
            .request_timeout(CALL_TIME)
            .max_request_size(CALL_BYTES)
            .build(format!("http://{address}"));
        match built {
            Ok(client) => {
                clients.insert(address, client.clone());
                Some(client)
            }
            Err(error) => {
                log::warn!(address:% = address, error:% = error; "no client for an entry");
                None
            }
        }
    }
}

/// Whether the other entry's operating system refused the connection: its process does not run.
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
