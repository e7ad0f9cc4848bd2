//! JSON-RPC service for calls from other entries.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::core::RegisterMethodError;
use jsonrpsee::server::{RpcModule, ServerBuilder, ServerConfig, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use log::info;

use crate::graph::{GraphId, LeaderEpoch, ShardId, StepKey};
use crate::id::{Revision, WorkerId};
use crate::node::handover_inbox::SuccessorOffer;
use crate::node::message::{
    ADVISE_METHOD, ASK_METHOD, AllowedWorkers, CALL_BYTES, CONFIG_METHOD, ConfigAnswer,
    GIVE_METHOD, LeaderAnswer, LeaderCall, OFFER_METHOD,
};
use crate::node::own_leader::ask_own_leader;
use crate::node::records::LeaderTerm;
use crate::node::shared::NodeShared;

type Result<T> = std::result::Result<T, ErrorObjectOwned>;

/// Name in the log of asking for advice on behalf of another entry.
const LOG_NAME: &str = "advice for the leader";
/// JSON-RPC code of a failed call to the advisor.
const ADVISOR_CODE: i32 = -32_001;
/// JSON-RPC code for a call during which leadership ended: the call may have been carried out.
const ENDED_CODE: i32 = -32_002;

/// Starts the service.
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
    module.register_async_method(ASK_METHOD, |params, shared, _| async move {
        let (shard, call): (ShardId, LeaderCall) = params.parse()?;
        let accepts_verdicts = call.accepts_verdicts();
        let answer = ask_own_leader(&shared, &shard, call)
            .await
            .map(|answer| name_leader(&shared, &shard, answer))
            .map(|answer| if accepts_verdicts { answer } else { answer.without_verdict() });
        answer.ok_or_else(|| ErrorObjectOwned::owned(ENDED_CODE, "leadership ended", None::<()>))
    })?;
    module.register_async_method(ADVISE_METHOD, |params, shared, _| async move {
        let (job, occurrence, step, workers, timeout): (
            GraphId,
            u32,
            u32,
            Vec<WorkerId>,
            Duration,
        ) = params.parse()?;
        let step = StepKey { occurrence, step };
        ask_own_advisor(&shared, job, step, workers, timeout).await
    })?;
    module.register_async_method(CONFIG_METHOD, |params, shared, _| async move {
        let (known,): (Option<Revision>,) = params.parse()?;
        Ok::<_, ErrorObjectOwned>(newer_config(&shared, known))
    })?;
    module.register_async_method(OFFER_METHOD, |params, shared, _| async move {
        let (shard, epoch): (ShardId, LeaderEpoch) = params.parse()?;
        Ok::<_, ErrorObjectOwned>(offer_succession(&shared, shard, epoch))
    })?;
    module.register_async_method(GIVE_METHOD, |params, shared, _| async move {
        let (shard, term): (ShardId, LeaderTerm) = params.parse()?;
        info!(shard = &*shard, epoch = term.epoch; "leadership was handed to this entry");
        shared.handover_inbox.deliver_term(shard, term);
        Ok::<_, ErrorObjectOwned>(true)
    })?;
    Ok(module)
}

/// Adds the known leader to the answer of an entry that does not lead: with a slow store the calling entry may learn
/// of a change of leader late.
fn name_leader(shared: &NodeShared, shard: &ShardId, answer: LeaderAnswer) -> LeaderAnswer {
    let leader = shared.members.borrow().leader(shard).cloned();
    match (answer, leader) {
        (LeaderAnswer::NotLeading, Some(leader)) if leader.entry != shared.settings.name => {
            LeaderAnswer::LedBy(leader)
        }
        (answer, _) => answer,
    }
}

/// The configuration of this entry, if it is newer than `known`.
fn newer_config(shared: &NodeShared, known: Option<Revision>) -> ConfigAnswer {
    match shared.config.borrow().as_deref() {
        Some(config) if Some(config.version) > known => {
            ConfigAnswer::Newer(Box::new(config.clone()))
        }
        _ => ConfigAnswer::Current,
    }
}

/// The offer of this entry to lead a shard next; `None` if it leads, drains, is not registered, or does not know its
/// configuration or the shard plan.
pub(super) fn offer_succession(
    shared: &NodeShared,
    shard: ShardId,
    epoch: LeaderEpoch,
) -> Option<SuccessorOffer> {
    if *shared.draining.borrow()
        || shared.config.borrow().is_none()
        || shared.members.borrow().plan.is_none()
        || !shared.led_shards().is_empty()
    {
        return None;
    }
    let lease = shared.handover_inbox.expect_term(shard, epoch)?;
    let settings = &shared.settings;
    let (entry, address) = (settings.name.clone(), settings.peers);
    Some(SuccessorOffer { entry, address, start: shared.start, lease })
}

async fn ask_own_advisor(
    shared: &NodeShared,
    job: GraphId,
    step: StepKey,
    workers: Vec<WorkerId>,
    timeout: Duration,
) -> Result<AllowedWorkers> {
    let advisor_error = |reason: String| ErrorObjectOwned::owned(ADVISOR_CODE, reason, None::<()>);
    let advisor =
        shared.advisor.as_ref().ok_or_else(|| advisor_error("no advisor is set".to_owned()))?;
    let allowed = advisor.advise(&job, step, &workers, timeout).await;
    let allowed = allowed.map_err(|error| format!("{error:?}"));
    shared.dependencies.advisor.tried(LOG_NAME, &allowed);
    allowed.map_err(advisor_error)
}
