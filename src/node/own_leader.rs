//! Calls for the leader where this process leads, of its own callers and of other entries.

use tokio::sync::oneshot;

use crate::graph::ShardId;
use crate::node::input::LeaderInput;
use crate::node::message::{LeaderAnswer, LeaderCall};
use crate::node::shared::NodeShared;

/// Asks this process's leader of a shard; `None` where it ended without an answer.
pub(crate) async fn ask_here(
    shared: &NodeShared,
    shard: &ShardId,
    call: LeaderCall,
) -> Option<LeaderAnswer> {
    let Some(leader) = shared.leading(shard) else {
        return Some(LeaderAnswer::NotLeading);
    };
    if matches!(call, LeaderCall::Reach) {
        return Some(LeaderAnswer::Leading);
    }
    let (answer, answered) = oneshot::channel();
    match leader.offer(LeaderInput::Call(call, answer)) {
        Ok(()) => answered.await.ok(),
        Err(_) => Some(LeaderAnswer::NotLeading),
    }
}
