//! Calls for the leader where this process leads, of its own callers and of other entries.

use tokio::sync::oneshot;

use crate::node::input::LeaderInput;
use crate::node::message::{LeaderAnswer, LeaderCall};
use crate::node::shared::NodeShared;

/// Asks the leader's duty of this process; `None` where it ended without an answer.
pub(crate) async fn ask_here(shared: &NodeShared, call: LeaderCall) -> Option<LeaderAnswer> {
    let Some(leader) = shared.leading() else {
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
