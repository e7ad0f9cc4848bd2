//! The duty of finding out, while the store is silent, whether this entry is cut off from the others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::time::sleep;

use crate::graph::ShardId;
use crate::node::leader_client::{note_leader, note_no_leader};
use crate::node::message::{LeaderAnswer, LeaderCall};
use crate::node::peers::PeerClient;
use crate::node::records::LeaderRecord;
use crate::node::shared::NodeShared;
use crate::node::view::MemberView;

/// This duty's name in the log.
const DUTY: &str = "reach";
/// Interval of looks at the store's silence.
const LOOK_PAUSE: Duration = Duration::from_millis(250);
/// Longest time for an answer: entries are two milliseconds apart, and a slow machine needs tens.
const ANSWER_TIME: Duration = Duration::from_millis(250);

/// Asks other entries while the store does not answer.
pub(crate) struct ReachabilityLoop {
    shared: Arc<NodeShared>,
    peers: PeerClient,
    reached: bool,
}

impl ReachabilityLoop {
    pub(crate) fn new(shared: Arc<NodeShared>) -> Self {
        Self { shared, peers: PeerClient::new(), reached: true }
    }

    /// Runs for as long as the process.
    pub(crate) async fn run(mut self) {
        loop {
            sleep(LOOK_PAUSE).await;
            if !self.shared.store_is_late() {
                self.note(true);
                continue;
            }
            let reached = match self.shared.led_shards().is_empty() {
                true => self.reaches_leader().await,
                false => self.reaches_another_domain().await,
            };
            if reached {
                self.shared.note_peer();
            }
            self.note(reached);
        }
    }

    /// Whether a leader answers: where there are several, one of another failure domain.
    async fn reaches_leader(&self) -> bool {
        let view = self.shared.members.borrow().clone();
        let leaders = view.leaders_beyond(&self.shared.settings.domain);
        if leaders.is_empty() {
            note_no_leader(&self.shared, DUTY);
            return false;
        }
        let asked = leaders.iter().map(|leader| self.answers(&view, leader));
        futures_util::future::join_all(asked).await.contains(&true)
    }

    async fn answers(&self, view: &MemberView, leader: &LeaderRecord) -> bool {
        let shard = view.shard_led_by(leader);
        let call = LeaderCall::Reach;
        let answer = self.peers.ask(leader.address, &shard, &call, ANSWER_TIME).await;
        note_leader(&self.shared, DUTY, leader, ANSWER_TIME, &answer);
        answer == Ok(LeaderAnswer::Leading)
    }

    /// Whether an entry of another failure domain answers; where there is none, nothing can be told.
    async fn reaches_another_domain(&self) -> bool {
        let own = &self.shared.settings.domain;
        let members = self.shared.members.borrow().clone();
        let others = members.entries.values().filter(|entry| entry.domain != *own);
        let addresses: Vec<SocketAddr> = others.map(|entry| entry.address).collect();
        let asked = addresses.iter().map(|address| self.ask(*address));
        addresses.is_empty()
            || futures_util::future::join_all(asked).await.iter().any(Option::is_some)
    }

    async fn ask(&self, address: SocketAddr) -> Option<LeaderAnswer> {
        let any = ShardId::from("");
        self.peers.ask(address, &any, &LeaderCall::Reach, ANSWER_TIME).await.ok()
    }

    fn note(&mut self, reached: bool) {
        match (self.reached, reached) {
            (true, false) => warn!("neither the store nor the leader can be reached"),
            (false, true) => info!("the store or the leader can be reached again"),
            _ => {}
        }
        self.reached = reached;
    }
}
