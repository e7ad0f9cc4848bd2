//! Loop that checks, while the store does not answer, whether this entry is cut off from the others.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use log::{info, warn};
use rand::seq::index;
use tokio::time::sleep;

use crate::graph::ShardId;
use crate::node::leader_client::{note_leader_call, note_no_leader};
use crate::node::message::{LeaderAnswer, LeaderCall};
use crate::node::peers::PeerClient;
use crate::node::records::LeaderRecord;
use crate::node::shared::NodeShared;

/// Name of this loop in the log.
const LOG_NAME: &str = "reach";
/// Interval between checks of the store's last answer.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Number of entries called in one check: an entry takes itself for cut off after a second, in which it calls twelve. One
/// of twelve answers also where half of all entries have ended.
const ENTRIES_CALLED: usize = 3;
/// Maximum time for an answer: the latency between entries is 2 ms, and a slow machine takes tens of milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Calls other entries while the store does not answer.
pub(crate) struct ReachabilityLoop {
    shared: Arc<NodeShared>,
    peers: PeerClient,
    reached: bool,
}

impl ReachabilityLoop {
    pub(crate) fn new(shared: Arc<NodeShared>) -> Self {
        Self { shared, peers: PeerClient::new(), reached: true }
    }

    /// Runs for the lifetime of the process.
    pub(crate) async fn run(mut self) {
        loop {
            sleep(CHECK_INTERVAL).await;
            if !self.shared.store_answer_overdue() {
                self.note_reached(true);
                continue;
            }
            let reached = match self.shared.led_shards().is_empty() {
                true => self.reaches_leader().await,
                false => self.reaches_another_domain().await,
            };
            if reached {
                self.shared.note_peer_answer();
            }
            self.note_reached(reached);
        }
    }

    /// Whether a leader answers. Leaders of other failure domains are called if there are any, or else all leaders.
    async fn reaches_leader(&self) -> bool {
        let calls: Vec<(ShardId, LeaderRecord)> = {
            let view = self.shared.members.borrow();
            let leaders = view.leaders_outside(&self.shared.settings.domain);
            let leaders = sample(&leaders).into_iter();
            leaders.map(|leader| (view.shard_led_by(&leader), leader)).collect()
        };
        if calls.is_empty() {
            note_no_leader(&self.shared, LOG_NAME);
            return false;
        }
        let calls = calls.iter().map(|(shard, leader)| self.is_leading(shard, leader));
        join_all(calls).await.contains(&true)
    }

    async fn is_leading(&self, shard: &ShardId, leader: &LeaderRecord) -> bool {
        let call = LeaderCall::Reach;
        let answer = self.peers.ask(leader.address, shard, &call, ANSWER_TIMEOUT).await;
        note_leader_call(&self.shared, LOG_NAME, leader, ANSWER_TIMEOUT, &answer);
        answer == Ok(LeaderAnswer::Leading)
    }

    /// Whether an entry of another failure domain answers. Also true if no such entry is registered, as nothing can be
    /// concluded then.
    async fn reaches_another_domain(&self) -> bool {
        let addresses =
            self.shared.members.borrow().addresses_outside(&self.shared.settings.domain);
        let calls = sample(&addresses).into_iter().map(|address| self.ask(address));
        addresses.is_empty() || join_all(calls).await.iter().any(Option::is_some)
    }

    async fn ask(&self, address: SocketAddr) -> Option<LeaderAnswer> {
        let any = ShardId::from("");
        self.peers.ask(address, &any, &LeaderCall::Reach, ANSWER_TIMEOUT).await.ok()
    }

    fn note_reached(&mut self, reached: bool) {
        match (self.reached, reached) {
            (true, false) => warn!("neither the store nor a leader can be reached"),
            (false, true) => info!("the store or a leader can be reached again"),
            _ => {}
        }
        self.reached = reached;
    }
}

/// Returns a few of the entries, at random: neighbours in the list are of the same failure domain, which may be cut off.
fn sample<T: Clone>(entries: &[T]) -> Vec<T> {
    let amount = ENTRIES_CALLED.min(entries.len());
    let indices = index::sample(&mut rand::rng(), entries.len(), amount);
    indices.into_iter().filter_map(|index| entries.get(index).cloned()).collect()
}
