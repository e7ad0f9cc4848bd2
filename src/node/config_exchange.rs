//! Loop that learns newer configurations from other entries while the store does not answer this one.
//!
//! The store may refuse some machines while it serves the others and the operator. An entry that it refuses would go on
//! accepting API keys that were taken away, and refuse new ones. Entries ask only while they miss the store, so the
//! exchange costs nothing otherwise. Where they are too many for the store's rates to notice in time that a watch has gone
//! silent, each of them asks another one every second.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::debug;
use tokio::time::sleep;

use crate::node::message::ConfigAnswer;
use crate::node::peers::PeerClient;
use crate::node::shared::NodeShared;

/// Pause between two questions. Each goes to another entry, as some of them may be refused by the store as well.
const ASK_INTERVAL: Duration = Duration::from_millis(250);
/// Number of these pauses between two questions of an entry that only cannot tell whether its watch is silent.
const SLOW_ROUNDS: u32 = 4;
/// Timeout of a question: the latency between entries is two milliseconds.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// Asks other entries for newer configurations.
pub(crate) struct ConfigExchangeLoop {
    shared: Arc<NodeShared>,
    peers: PeerClient,
}

impl ConfigExchangeLoop {
    pub(crate) fn new(shared: Arc<NodeShared>) -> Self {
        Self { shared, peers: PeerClient::new() }
    }

    /// Runs for the lifetime of the process.
    pub(crate) async fn run(self) {
        let mut turn = rand::random::<u16>().into();
        for round in 0_u32.. {
            sleep(ASK_INTERVAL).await;
            let is_due = self.shared.may_miss_config()
                || (round.is_multiple_of(SLOW_ROUNDS) && self.shared.notices_silence_late());
            if is_due && let Some(address) = self.next_peer(turn) {
                turn += 1;
                self.ask(address).await;
            }
        }
    }

    /// The other entries in turn.
    fn next_peer(&self, turn: usize) -> Option<SocketAddr> {
        let view = self.shared.members.borrow();
        let own = &self.shared.settings.name;
        let mut others = view.entries.iter().filter(|(name, _)| *name != own);
        let count = view.entries.len() - usize::from(view.entries.contains_key(own));
        let index = turn.checked_rem(count)?;
        others.nth(index).map(|(_, record)| record.address)
    }

    async fn ask(&self, address: SocketAddr) {
        let known = self.shared.config_version();
        match self.peers.newer_config(address, known, ASK_TIMEOUT).await {
            Ok(ConfigAnswer::Newer(config)) => {
                self.shared.apply_config(*config, "entry");
            }
            Ok(ConfigAnswer::Current) => {}
            Err(failure) => debug!(address:%, failure:?; "no answer about the configuration"),
        }
    }
}
