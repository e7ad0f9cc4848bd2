//! Leadership that this entry gives to another as it leaves, or is given.

use log::{info, warn};
use tokio::time::{Instant, sleep};

use crate::graph::{LeaderEpoch, ShardId};
use crate::id::EntryId;
use crate::node::election::{DUTY, ElectionLoop, RETRY_PAUSE, encode};
use crate::node::handover_inbox::SuccessorOffer;
use crate::node::keys::{
    KeyItem, KeyTransaction, KeyWrite, StoreError, TransactionOutcome, epoch_key, leader_key,
};
use crate::node::records::{EpochRecord, LeaderRecord, LeaderTerm};
use crate::node::view::{MemberView, ShardView};

/// Entries that a leader which leaves asks whether they can lead next.
const MOST_CANDIDATES: usize = 3;
/// Words to the one that is named, where they are not answered.
const GIVE_TRIES: u32 = 3;
/// Part of the grace period of a planned stop for which a leader stays while the store does not answer.
const LEAVE_SHARE: f64 = 0.65;

impl ElectionLoop {
    /// Gives all leadership of this process to others; tells whether the store has that.
    pub(super) async fn hand_over(&mut self) -> bool {
        let led = self.candidacies.iter().filter(|(_, own)| own.leads());
        let shards: Vec<ShardId> = led.map(|(shard, _)| shard.clone()).collect();
        let mut all = true;
        for shard in shards {
            all &= self.transfer_leadership(&shard).await;
        }
        all
    }

    /// Sends changes again that end a term and were not answered. On the same condition as before, either this one is carried
    /// out or the store tells that the one before was, which cannot be any more afterwards.
    pub(super) async fn settle_doubts(&mut self) {
        let doubted = self.candidacies.iter().filter(|(_, own)| own.in_doubt());
        let shards: Vec<ShardId> = doubted.map(|(shard, _)| shard.clone()).collect();
        for shard in shards {
            if self.transfer_leadership(&shard).await {
                self.rest();
            }
        }
    }

    /// Names the next leader of a shard in the store, goes on until the store has that, and tells it: an election in its
    /// place leaves the shard without a leader for several calls to the store, or until a store that is down is back.
    async fn transfer_leadership(&mut self, shard: &ShardId) -> bool {
        let view = self.shared.members.borrow().clone();
        let led = view.shard(shard);
        let Some(epoch) = self.candidacy(shard).epoch() else {
            return true;
        };
        let predecessor = self.candidacy(shard).still_going(&view);
        let offer = match led.epoch == epoch {
            true => self.successor(shard, epoch, &view).await,
            false => None,
        };
        let change = |offer: Option<&SuccessorOffer>| {
            succession_change(shard, &led, epoch, offer, predecessor.clone(), view.best)
        };
        let (Some(named), Some(unnamed)) = (change(offer.as_ref()), change(None)) else {
            self.candidacy(shard).end().await;
            return true;
        };
        let mut offer = offer;
        let mut result = self.shared.store.transact(&named).await;
        if matches!(result, Ok(TransactionOutcome::NoLease)) {
            // The one that was named has gone meanwhile: the choice is left to an election.
            offer = None;
            result = self.shared.store.transact(&unnamed).await;
        }
        self.shared.dependencies.store.tried(DUTY, &result);
        match result {
            Ok(TransactionOutcome::Done(epoch_revision)) => {
                self.candidacy(shard).end().await;
                match offer {
                    Some(offer) => {
                        let term = LeaderTerm { epoch: epoch + 1, epoch_revision, predecessor };
                        self.give(shard, &offer, &term).await;
                    }
                    None => self.note_vacant(shard, epoch_revision),
                }
                true
            }
            // Another leads by now: elected, or named by an earlier try that was not answered.
            Ok(TransactionOutcome::Conflict(items)) => {
                self.candidacy(shard).end().await;
                if let Some((offer, term)) = named_before(shard, epoch, &items, &view, predecessor)
                {
                    self.give(shard, &offer, &term).await;
                }
                true
            }
            Ok(TransactionOutcome::NoLease) => false,
            Err(error) => {
                warn!(error:% = error; "leadership was not handed over");
                if let StoreError::Unknown(_) = error {
                    self.candidacy(shard).doubt(offer.is_some());
                }
                false
            }
        }
    }

    /// The store has that nobody leads a shard, which the watch tells later.
    fn note_vacant(&self, shard: &ShardId, epoch_revision: u64) {
        self.shared.members.send_modify(|view| {
            let led = view.shards.entry(shard.clone()).or_default();
            (led.leader, led.epoch_revision) = (None, epoch_revision);
        });
    }

    /// The best entry that can lead a shard next.
    async fn successor(
        &self,
        shard: &ShardId,
        epoch: LeaderEpoch,
        view: &MemberView,
    ) -> Option<SuccessorOffer> {
        let candidates = view.successors(shard, &self.shared.settings.name);
        for address in candidates.into_iter().take(MOST_CANDIDATES) {
            if let Ok(Some(offer)) = self.peers.offer(address, shard, epoch).await {
                info!(shard = &**shard, successor = &*offer.entry; "a successor is named");
                return Some(offer);
            }
        }
        None
    }

    /// Tells the entry that the store names that this process has ended its leadership.
    async fn give(&self, shard: &ShardId, offer: &SuccessorOffer, term: &LeaderTerm) {
        let record = leader_record(offer, term.epoch);
        self.shared.members.send_modify(|view| {
            view.shards.entry(shard.clone()).or_default().leader = Some(record);
        });
        for _ in 0..GIVE_TRIES {
            if self.peers.give(offer.address, shard, term).await.is_ok() {
                return;
            }
        }
        warn!(shard = &**shard, successor = &*offer.entry; "the successor was not told");
    }

    /// Begins a term that the leader before has given to this entry.
    pub(super) fn begin_given(&mut self, shard: &ShardId, term: LeaderTerm) {
        let (name, start) = (self.shared.settings.name.clone(), self.shared.start);
        let record = LeaderRecord {
            entry: name.clone(),
            address: self.shared.settings.peers,
            start,
            epoch: term.epoch,
        };
        let renewed = self.renewed;
        let later = self.shared.members.borrow().shard(shard).epoch > term.epoch;
        let lapsed = term.epoch_revision < self.registered;
        if later || lapsed || self.candidacy(shard).has_led(term.epoch) {
            return;
        }
        self.shared.members.send_modify(|view| {
            let led = view.shards.entry(shard.clone()).or_default();
            led.leader = Some(record);
            led.epoch = term.epoch;
            led.epoch_revision = term.epoch_revision;
            led.holder = Some((name, start));
        });
        self.candidacy(shard).begin(term, renewed);
    }

    /// A planned stop: leadership goes to another, which need not fear this process. With a store that is down it is
    /// kept, as nobody else can be elected.
    pub(super) async fn leave(&mut self) {
        self.shared.handover_inbox.set_lease(None);
        let until = Instant::now() + self.shared.settings.grace.mul_f64(LEAVE_SHARE);
        while !self.hand_over().await && Instant::now() < until {
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
        self.shared.dependencies.store.tried(DUTY, &result);
        if let Err(error) = result {
            warn!(error:% = error; "the lease was not ended");
        }
    }
}

/// The successor that an earlier try has named for the term after an epoch, by what the store has.
fn named_before(
    shard: &ShardId,
    epoch: LeaderEpoch,
    items: &[KeyItem],
    view: &MemberView,
    predecessor: Option<(EntryId, u64)>,
) -> Option<(SuccessorOffer, LeaderTerm)> {
    let item = items.iter().find(|item| item.key == epoch_key(shard))?;
    let record: EpochRecord = serde_json::from_slice(&item.value).ok()?;
    let (entry, start) = record.holder.filter(|_| record.epoch == epoch + 1)?;
    let address = view.entries.get(&entry)?.address;
    let term = LeaderTerm { epoch: record.epoch, epoch_revision: item.revision, predecessor };
    Some((SuccessorOffer { entry, address, start, lease: 0 }, term))
}

fn leader_record(offer: &SuccessorOffer, epoch: LeaderEpoch) -> LeaderRecord {
    LeaderRecord { entry: offer.entry.clone(), address: offer.address, start: offer.start, epoch }
}

/// The change that ends a leader's term under an epoch: it names the next where there is an offer, or else leaves the
/// choice to an election, for which `going` may go on. Nothing where the shard has a later leader: a change on the
/// condition of that one's epoch would end its term and tell the next that nobody is left, so that tasks run twice.
pub(crate) fn succession_change(
    shard: &ShardId,
    led: &ShardView,
    epoch: LeaderEpoch,
    offer: Option<&SuccessorOffer>,
    going: Option<(EntryId, u64)>,
    best: f64,
) -> Option<KeyTransaction> {
    if led.epoch != epoch {
        return None;
    }
    let conditions = vec![(epoch_key(shard), led.epoch_revision)];
    let Some(offer) = offer else {
        let record = EpochRecord { epoch: led.epoch, holder: going, best };
        let writes = vec![KeyWrite { key: epoch_key(shard), value: encode(&record), lease: None }];
        return Some(KeyTransaction { conditions, writes, removes: vec![leader_key(shard)] });
    };
    let epoch = epoch + 1;
    let holder = Some((offer.entry.clone(), offer.start));
    let leader = encode(&leader_record(offer, epoch));
    let record = EpochRecord { epoch, holder, best };
    let writes = vec![
        KeyWrite { key: leader_key(shard), value: leader, lease: Some(offer.lease) },
        KeyWrite { key: epoch_key(shard), value: encode(&record), lease: None },
    ];
    Some(KeyTransaction { conditions, writes, removes: Vec::new() })
}
