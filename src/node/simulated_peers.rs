//! Calls between the entries of a simulation, which have no listeners.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use tokio::time::sleep;

use crate::graph::{LeaderEpoch, ShardId};
use crate::node::handover_inbox::SuccessorOffer;
use crate::node::peer_service::offer_succession;
use crate::node::peers::PeerFailure;
use crate::node::records::LeaderTerm;
use crate::node::shared::NodeShared;

/// Time that a call takes.
const ANSWER_TIME: Duration = Duration::from_millis(2);

/// The entries that can be called for handovers, by their addresses.
#[derive(Clone, Default)]
pub(crate) struct SimulatedPeers {
    entries: Arc<Mutex<BTreeMap<SocketAddr, Weak<NodeShared>>>>,
}

impl SimulatedPeers {
    /// Adds an entry.
    pub(crate) fn add(&self, shared: &Arc<NodeShared>) {
        self.lock().insert(shared.settings.peers, Arc::downgrade(shared));
    }

    /// Removes an entry, which answers no more calls.
    pub(crate) fn remove(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Asks an entry whether it can lead a shard after the given epoch.
    pub(crate) async fn offer(
        &self,
        address: SocketAddr,
        shard: &ShardId,
        epoch: LeaderEpoch,
    ) -> Result<Option<SuccessorOffer>, PeerFailure> {
        let entry = self.entry(address).await?;
        Ok(offer_succession(&entry, shard.clone(), epoch))
    }

    /// Notifies an entry that it now leads a shard.
    pub(crate) async fn hand_over(
        &self,
        address: SocketAddr,
        shard: &ShardId,
        term: &LeaderTerm,
    ) -> Result<bool, PeerFailure> {
        let entry = self.entry(address).await?;
        entry.handover_inbox.deliver_term(shard.clone(), term.clone());
        Ok(true)
    }

    async fn entry(&self, address: SocketAddr) -> Result<Arc<NodeShared>, PeerFailure> {
        sleep(ANSWER_TIME).await;
        self.lock().get(&address).and_then(Weak::upgrade).ok_or(PeerFailure::NotSent)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Weak<NodeShared>>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
