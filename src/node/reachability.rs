//! Loop that checks, while the store does not answer, whether this entry is cut off from the others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::time::sleep;

use crate::graph::ShardId;
use crate::node::leader_client::{note_leader_call, note_no_leader};
use crate::node::message::{LeaderAnswer, LeaderCall};
use crate::node::peers::PeerClient;
use crate::node::records::LeaderRecord;
use crate::node::shared::NodeShared;
use crate::node::view::MemberView;

/// Name of this loop in the log.
const LOG_NAME: &str = "reach";
/// Interval between checks of the store's last answer.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
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
        let view = self.shared.members.borrow().clone();
        let leaders = view.leaders_outside(&self.shared.settings.domain);
        if leaders.is_empty() {
            note_no_leader(&self.shared, LOG_NAME);
            return false;
        }
        let calls = leaders.iter().map(|leader| self.is_leading(&view, leader));
        futures_util::future::join_all(calls).await.contains(&true)
    }

    async fn is_leading(&self, view: &MemberView, leader: &LeaderRecord) -> bool {
        let shard = view.shard_led_by(leader);
        let call = LeaderCall::Reach;
        let answer = self.peers.ask(leader.address, &shard, &call, ANSWER_TIMEOUT).await;
        note_leader_call(&self.shared, LOG_NAME, leader, ANSWER_TIMEOUT, &answer);
        answer == Ok(LeaderAnswer::Leading)
    }

    /// Whether an entry of another failure domain answers. Also true if no such entry is registered, as nothing can be
    /// concluded then.
    async fn reaches_another_domain(&self) -> bool {
        let own = &self.shared.settings.domain;
        let members = self.shared.members.borrow().clone();
        let others = members.entries.values().filter(|entry| entry.domain != *own);
        let addresses: Vec<SocketAddr> = others.map(|entry| entry.address).collect();
        let calls = addresses.iter().map(|address| self.ask(*address));
        addresses.is_empty()
            || futures_util::future::join_all(calls).await.iter().any(Option::is_some)
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
