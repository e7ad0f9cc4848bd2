//! Calls to a leader of this process, from its own callers and from other entries.

use tokio::sync::oneshot;

use crate::graph::ShardId;
use crate::node::input::LeaderInput;
use crate::node::message::{LeaderAnswer, LeaderCall};
use crate::node::shared::NodeShared;

/// Sends a call to this process's leader of a shard; `None` if leadership ended without an answer.
pub(crate) async fn ask_own_leader(
    shared: &NodeShared,
    shard: &ShardId,
    call: LeaderCall,
) -> Option<LeaderAnswer> {
    let Some(leader) = shared.leading(shard) else {
        return Some(LeaderAnswer::NotLeading);
    };
    if matches!(call, LeaderCall::Reach) {
        // A leader that is cut off together with the asking entries cannot store anything. Entries that relied on
        // its answer would stay ready, and refuse their callers for as long as the partition lasts.
        return Some(match shared.reaches_others() {
            true => LeaderAnswer::Leading,
            false => LeaderAnswer::NotLeading,
        });
    }
    let (answer, receiver) = oneshot::channel();
    match leader.offer(LeaderInput::Call(call, answer)) {
        Ok(()) => receiver.await.ok(),
        Err(_) => Some(LeaderAnswer::NotLeading),
    }
}
