//! Transfer of leadership from a weak entry to a strong one that registers later.

use std::time::Duration;

use log::info;
use tokio::time::Instant;

use crate::graph::ShardId;
use crate::node::candidacy::STRONG_MACHINE_PAUSE;
use crate::node::election::ElectionLoop;
use crate::node::election::handover::TransferCause;
use crate::node::view::MemberView;

/// Minimum time between two transfers of a shard by one process, and from a term's handover to its transfer: a takeover
/// costs service, so leadership must not alternate between entries.
const TRANSFER_INTERVAL: Duration = Duration::from_secs(5);
/// Pause after a try for which no strong entry was ready.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Age of the last lease renewal up to which the store is expected to answer the transfer. An unanswered transfer leaves
/// the term in doubt.
const MAX_RENEWAL_AGE: Duration = Duration::from_millis(500);

impl ElectionLoop {
    /// Passes leadership of a shard on if this entry is weak and a strong one has registered since this entry became
    /// leader. After a loss of all power a weak entry was elected 15 to 100 ms before the strong ones registered, and
    /// nothing was served for 15 s while it read the ledger.
    ///
    /// While the leader still reads, nothing is lost by the transfer. If it already serves, the shard has no leader until
    /// the successor has read the ledger, as after a planned stop.
    pub(super) async fn pass_to_stronger(&mut self, shard: &ShardId, view: &MemberView) {
        let name = self.shared.settings.name.clone();
        let store_answers = self.renewed.is_some_and(|sent| sent.elapsed() < MAX_RENEWAL_AGE);
        let is_reading = self.shared.leading(shard).is_none();
        let candidacy = self.candidacy(shard);
        let transferable = candidacy.transferable_epoch(Instant::now());
        let Some(epoch) = transferable.filter(|epoch| *epoch == view.shard(shard).epoch) else {
            return;
        };
        // Right after an election only a machine that is strong beside the best one seen so far is a successor: a
        // machine in between would soon have to pass leadership on again.
        let best = match candidacy.leads_for(STRONG_MACHINE_PAUSE) {
            true => view.best_registered(),
            false => view.best,
        };
        // While the ledger is read, a strong entry that was registered but not ready to campaign is as good as a new one.
        let registered_after = match is_reading {
            true => 0,
            false => candidacy.latest_registration(),
        };
        let mut candidates = view.stronger_successors(shard, &name, registered_after, best);
        // The previous leader lost its lease or stepped down. Alternating with it would cost a takeover each time.
        let predecessor = candidacy.predecessor_address(view);
        candidates.retain(|address| Some(*address) != predecessor);
        if candidates.is_empty() || !store_answers {
            return;
        }
        candidacy.delay_transfer(RETRY_INTERVAL);
        let Some(offer) = self.first_offer(shard, epoch, candidates, view).await else {
            return;
        };
        let settings = &self.shared.settings;
        info!(
            shard = &**shard, epoch, successor = &*offer.entry, is_reading,
            processor = settings.processor, link_mbps = settings.link_mbps;
            "a stronger entry has registered: leadership passes to it"
        );
        if self
            .record_successor(shard, epoch, view, Some(offer), TransferCause::StrongerEntry)
            .await
        {
            self.candidacy(shard).delay_transfer(TRANSFER_INTERVAL);
        }
    }

    /// Keeps a term that was handed over to this entry from being passed on at once.
    pub(super) fn note_delivered_term(&mut self, shard: &ShardId) {
        self.candidacy(shard).delay_transfer(TRANSFER_INTERVAL);
    }
}
