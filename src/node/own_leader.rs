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
        // One that is cut off together with those that ask is of no use to them: it can store nothing, and their callers
        // would be sent to it and refused for as long as the cut lasts.
        return Some(match shared.reaches_others() {
            true => LeaderAnswer::Leading,
            false => LeaderAnswer::NotLeading,
        });
    }
    let (answer, answered) = oneshot::channel();
    match leader.offer(LeaderInput::Call(call, answer)) {
        Ok(()) => answered.await.ok(),
        Err(_) => Some(LeaderAnswer::NotLeading),
    }
}
