//! Handover of leadership to another entry when this one steps down, and the start of terms handed over to this entry.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use log::{info, warn};
use tokio::time::{Instant, sleep};

use crate::graph::{LeaderEpoch, ShardId, next_epoch};
use crate::node::election::{ElectionLoop, LOG_NAME, RETRY_PAUSE, encode, predecessors};
use crate::node::handover_inbox::SuccessorOffer;
use crate::node::keys::{
    KeyItem, KeyTransaction, KeyWrite, StoreError, TransactionOutcome, epoch_key, leader_key,
};
use crate::node::machine::MachineCapacity;
use crate::node::records::{EarlierLeader, EpochRecord, LeaderProcess, LeaderRecord, LeaderTerm};
use crate::node::view::{MemberView, ShardView};

/// Maximum number of entries that a leader asks to succeed it.
const MAX_CANDIDATES: usize = 3;
/// Attempts to notify the successor while it does not answer.
const NOTIFY_ATTEMPTS: u32 = 3;
/// Fraction of the grace period of a planned stop for which a leader keeps retrying the handover while the store does
/// not answer.
const LEAVE_SHARE: f64 = 0.65;

/// Why a leader passes its shard to another entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TransferCause {
    /// The process stops.
    PlannedStop,
    /// The machine is too slow to lead.
    SlowMachine,
    /// A stronger entry has registered.
    StrongerEntry,
    /// An earlier transfer was not answered.
    TermInDoubt,
}

impl TransferCause {
    fn label(self) -> &'static str {
        match self {
            Self::PlannedStop => "planned stop",
            Self::SlowMachine => "slow machine",
            Self::StrongerEntry => "stronger entry",
            Self::TermInDoubt => "term in doubt",
        }
    }
}

impl ElectionLoop {
    /// Hands over every shard that this process leads. Returns whether the store has recorded all handovers.
    pub(super) async fn hand_over(&mut self, cause: TransferCause) -> bool {
        let leading = self.candidacies.iter().filter(|(_, candidacy)| candidacy.leads());
        let shards: Vec<ShardId> = leading.map(|(shard, _)| shard.clone()).collect();
        let mut all_done = true;
        for shard in shards {
            all_done &= self.transfer_leadership(&shard, cause).await;
        }
        all_done
    }

    /// Sends unanswered handover transactions again. As its condition is the same, the repeated transaction either takes
    /// effect or fails with a conflict, which shows that an earlier one did. After that, no earlier one can take effect.
    pub(super) async fn resolve_in_doubt(&mut self) {
        let in_doubt = self.candidacies.iter().filter(|(_, candidacy)| candidacy.in_doubt());
        let shards: Vec<ShardId> = in_doubt.map(|(shard, _)| shard.clone()).collect();
        for shard in shards {
            if self.transfer_leadership(&shard, TransferCause::TermInDoubt).await {
                self.pause_campaigns();
            }
        }
    }

    /// Records the next leader of a shard in the store, keeps leading until the store has confirmed it, and then
    /// notifies the successor. An election instead would leave the shard without a leader for several calls to the
    /// store, or until a store that is down has recovered.
    async fn transfer_leadership(&mut self, shard: &ShardId, cause: TransferCause) -> bool {
        let view = self.shared.members.borrow().clone();
        let Some(epoch) = self.candidacy(shard).epoch() else {
            return true;
        };
        let offer = match view.shard(shard).epoch == epoch {
            true => {
                let candidates = view.successors(shard, &self.shared.settings.name);
                self.first_offer(shard, epoch, candidates, &view).await
            }
            false => None,
        };
        self.record_successor(shard, epoch, &view, offer, cause).await
    }

    /// Ends this process's term under `epoch` in the store, with the entry of an offer as the next leader, or without
    /// one. Returns whether the term has ended.
    pub(super) async fn record_successor(
        &mut self,
        shard: &ShardId,
        epoch: LeaderEpoch,
        view: &MemberView,
        offer: Option<SuccessorOffer>,
        cause: TransferCause,
    ) -> bool {
        let shard_view = view.shard(shard);
        let predecessor = self.candidacy(shard).running_predecessor(view);
        let earlier = self.candidacy(shard).running_earlier(view);
        let has_outlasted = self.candidacy(shard).has_outlasted_predecessors();
        let change = |offer: Option<&SuccessorOffer>| {
            let mut change = succession_change(
                shard,
                &shard_view,
                epoch,
                offer,
                predecessor.clone(),
                view.best,
            )?;
            if has_outlasted {
                predecessors::forget(&mut change, shard, &shard_view);
            }
            Some(change)
        };
        let (Some(with_successor), Some(without_successor)) =
            (change(offer.as_ref()), change(None))
        else {
            self.candidacy(shard).end().await;
            return true;
        };
        let mut offer = offer;
        let mut result = self.shared.store.transact(&with_successor).await;
        if matches!(result, Ok(TransactionOutcome::NoLease))
            && cause != TransferCause::StrongerEntry
        {
            // The successor's lease has ended meanwhile: an election chooses the leader. A leader that need not step
            // down leads on.
            offer = None;
            result = self.shared.store.transact(&without_successor).await;
        }
        self.shared.dependencies.store.tried(LOG_NAME, &result);
        match result {
            Ok(TransactionOutcome::Done(epoch_revision)) => {
                self.candidacy(shard).end().await;
                let is_named = if offer.is_some() { "yes" } else { "no" };
                metrics::counter!("kelplink_leadership_transfers_total", "cause" => cause.label(), "successor" => is_named)
                    .increment(1);
                match offer {
                    Some(offer) => {
                        let epoch = next_epoch(epoch);
                        let term = LeaderTerm { epoch, epoch_revision, predecessor, earlier };
                        self.notify_successor(shard, &offer, &term).await;
                    }
                    None => self.note_vacant(shard, epoch_revision),
                }
                true
            }
            // The shard has another leader: elected, or recorded by an earlier unanswered attempt.
            Ok(TransactionOutcome::Conflict(items)) => {
                self.candidacy(shard).end().await;
                if let Some((offer, term)) =
                    recorded_successor(shard, epoch, &items, view, (predecessor, earlier))
                {
                    self.notify_successor(shard, &offer, &term).await;
                }
                true
            }
            Ok(TransactionOutcome::NoLease) => false,
            Err(error) => {
                warn!(error:% = error; "failed to hand leadership over");
                if let StoreError::Unknown(_) = error {
                    self.candidacy(shard).mark_in_doubt(offer.is_some());
                }
                false
            }
        }
    }

    /// Records that a shard has no leader in the store, ahead of the watch.
    fn note_vacant(&self, shard: &ShardId, epoch_revision: u64) {
        self.shared.members.send_modify(|view| {
            let shard_view = view.shards.entry(shard.clone()).or_default();
            (shard_view.leader, shard_view.leader_revision) = (None, epoch_revision);
            shard_view.epoch_revision = epoch_revision;
        });
    }

    /// Returns the offer of the first of some entries that can lead a shard next.
    pub(super) async fn first_offer(
        &self,
        shard: &ShardId,
        epoch: LeaderEpoch,
        candidates: Vec<SocketAddr>,
        view: &MemberView,
    ) -> Option<SuccessorOffer> {
        for address in candidates.into_iter().take(MAX_CANDIDATES) {
            if let Ok(Some(offer)) = self.peers.offer(address, shard, epoch).await {
                let record = view.entries.get(&offer.entry);
                let is_strong = view.is_strong(&offer.entry);
                info!(
                    shard = &**shard, successor = &*offer.entry, is_strong,
                    processor:? = record.map(|record| record.processor),
                    link_mbps:? = record.and_then(|record| record.link_mbps);
                    "successor chosen"
                );
                return Some(offer);
            }
        }
        None
    }

    /// Notifies the successor recorded in the store that this process's term has ended.
    async fn notify_successor(&self, shard: &ShardId, offer: &SuccessorOffer, term: &LeaderTerm) {
        let record = leader_record(offer, term.epoch);
        self.shared.members.send_modify(|view| {
            view.shards.entry(shard.clone()).or_default().leader = Some(record);
        });
        for _ in 0..NOTIFY_ATTEMPTS {
            if self.peers.hand_over(offer.address, shard, term).await.is_ok() {
                return;
            }
        }
        warn!(shard = &**shard, successor = &*offer.entry; "failed to notify the successor");
    }

    /// Begins a term that the previous leader handed over to this entry.
    pub(super) async fn begin_delivered_term(&mut self, shard: &ShardId, term: LeaderTerm) {
        let (name, start) = (self.shared.settings.name.clone(), self.shared.start);
        let record = LeaderRecord {
            entry: name.clone(),
            address: self.shared.settings.peers,
            start,
            epoch: term.epoch,
        };
        let renewed = self.renewed;
        let superseded = self.shared.members.borrow().shard(shard).epoch > term.epoch;
        let lease_ended = term.epoch_revision < self.registered;
        if superseded || lease_ended || self.candidacy(shard).has_led(term.epoch) {
            return;
        }
        let view = self.shared.members.borrow().clone();
        // A term that this process lost, and has not noticed yet, must not go on beside the new one.
        if self.candidacy(shard).epoch().is_some_and(|epoch| next_epoch(epoch) != term.epoch) {
            self.candidacy(shard).end().await;
        }
        self.candidacy(shard).note_registrations(&view);
        self.note_delivered_term(shard);
        self.shared.members.send_modify(|view| {
            let shard_view = view.shards.entry(shard.clone()).or_default();
            shard_view.leader = Some(record);
            shard_view.leader_revision = shard_view.leader_revision.max(term.epoch_revision);
            shard_view.epoch = term.epoch;
            shard_view.epoch_revision = term.epoch_revision;
            shard_view.holder = Some((name, start));
        });
        self.candidacy(shard).begin(term, renewed);
    }

    /// Hands leadership over for a planned stop, so that the successor need not wait for this process's term to expire.
    /// While the store is down, leadership is kept, as nobody else can be elected.
    pub(super) async fn leave(&mut self) {
        self.shared.handover_inbox.set_lease(None);
        let until = Instant::now() + self.shared.settings.grace.mul_f64(LEAVE_SHARE);
        while !self.hand_over(TransferCause::PlannedStop).await && Instant::now() < until {
            let pause = self.renew().await;
            self.shared.handover_inbox.set_lease(None);
            sleep(pause.min(RETRY_PAUSE)).await;
        }
        for candidacy in self.candidacies.values_mut() {
            candidacy.end().await;
        }
        let Some(lease) = self.lease.take() else {
            return;
        };
        let result = self.shared.store.end_lease(lease).await;
        self.shared.dependencies.store.tried(LOG_NAME, &result);
        if let Err(error) = result {
            warn!(error:% = error; "failed to end the lease");
        }
    }
}

/// Returns the successor that an earlier attempt recorded in the store for the term after `epoch`, if there is one. Its
/// term comes after that of the predecessor, and of the leaders before it, that may still run.
fn recorded_successor(
    shard: &ShardId,
    epoch: LeaderEpoch,
    items: &[KeyItem],
    view: &MemberView,
    (predecessor, earlier): (Option<LeaderProcess>, BTreeSet<EarlierLeader>),
) -> Option<(SuccessorOffer, LeaderTerm)> {
    let item = items.iter().find(|item| item.key == epoch_key(shard))?;
    let record: EpochRecord = serde_json::from_slice(&item.value).ok()?;
    let (entry, start) = record.holder.filter(|_| record.epoch == next_epoch(epoch))?;
    let address = view.entries.get(&entry)?.address;
    let (epoch, epoch_revision) = (record.epoch, item.revision);
    let term = LeaderTerm { epoch, epoch_revision, predecessor, earlier };
    Some((SuccessorOffer { entry, address, start, lease: 0 }, term))
}

fn leader_record(offer: &SuccessorOffer, epoch: LeaderEpoch) -> LeaderRecord {
    LeaderRecord { entry: offer.entry.clone(), address: offer.address, start: offer.start, epoch }
}

/// Builds the transaction that ends a leader's term under `epoch`. With an offer it records the successor; without one
/// it leaves the choice to an election, whose winner must assume that `running_predecessor` may still run. Returns
/// `None` if the shard has a later leader: a transaction on the condition of that leader's epoch would end its term and
/// record that no earlier leader still runs, so that tasks would run twice.
pub(crate) fn succession_change(
    shard: &ShardId,
    shard_view: &ShardView,
    epoch: LeaderEpoch,
    offer: Option<&SuccessorOffer>,
    running_predecessor: Option<LeaderProcess>,
    best: MachineCapacity,
) -> Option<KeyTransaction> {
    if shard_view.epoch != epoch {
        return None;
    }
    let conditions = vec![(epoch_key(shard), shard_view.epoch_revision)];
    let Some(offer) = offer else {
        let record = EpochRecord::new(shard_view.epoch, running_predecessor, best);
        let writes = vec![KeyWrite { key: epoch_key(shard), value: encode(&record), lease: None }];
        return Some(KeyTransaction { conditions, writes, removes: vec![leader_key(shard)] });
    };
    let epoch = next_epoch(epoch);
    let holder = Some((offer.entry.clone(), offer.start));
    let leader = encode(&leader_record(offer, epoch));
    let record = EpochRecord::new(epoch, holder, best);
    let writes = vec![
        KeyWrite { key: leader_key(shard), value: leader, lease: Some(offer.lease) },
        KeyWrite { key: epoch_key(shard), value: encode(&record), lease: None },
    ];
    Some(KeyTransaction { conditions, writes, removes: Vec::new() })
}
