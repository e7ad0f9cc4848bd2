//! The duty of staying registered, of becoming the leader of a shard where there is none, and of giving leadership on.

pub(crate) mod handover;
#[cfg(test)]
mod lease_tests;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use log::{info, warn};
use serde::Serialize;
use tokio::time::{Instant, sleep, sleep_until};

use crate::graph::ShardId;
use crate::node::answer_condition::LEASE_TTL;
use crate::node::candidacy::{Candidacy, CandidacyState};
use crate::node::keys::{
    ENTRY_PREFIX, KeyTransaction, KeyWrite, LeaseId, StoreError, TransactionOutcome, epoch_key,
    leader_key,
};
use crate::node::lateness::LatenessMonitor;
use crate::node::peers::PeerClient;
use crate::node::records::{EntryRecord, EpochRecord, LeaderRecord, LeaderTerm};
use crate::node::shared::NodeShared;
use crate::node::view::MemberView;

/// This duty's name in the log.
const DUTY: &str = "election";
/// Interval of renewals: three may fail before the lease ends.
const RENEWAL: Duration = Duration::from_millis(250);
/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Shortest time of leading before a machine is taken for too slow: a takeover itself is heavy.
const LEAST_TERM: Duration = Duration::from_secs(4);
/// How long a machine that was too slow does not stand.
const SLOW_REST: Duration = Duration::from_secs(10);

/// Stays registered and takes part in elections.
pub(crate) struct ElectionLoop {
    shared: Arc<NodeShared>,
    lease: Option<LeaseId>,
    renewed: Option<Instant>,
    /// Revision of the change by which this entry registered under its lease. A leader's key that is older stood under
    /// a lease that has ended.
    registered: u64,
    /// This process in each shard.
    candidacies: BTreeMap<ShardId, Candidacy>,
    lateness: LatenessMonitor,
    peers: PeerClient,
    /// Until when this process does not stand, as its machine was too slow.
    rests_until: Option<Instant>,
}

impl ElectionLoop {
    pub(crate) fn new(shared: Arc<NodeShared>) -> Self {
        Self {
            shared,
            lease: None,
            renewed: None,
            registered: 0,
            candidacies: BTreeMap::new(),
            lateness: LatenessMonitor::new(),
            peers: PeerClient::new(),
            rests_until: None,
        }
    }

    /// Runs until the process stops, then hands leadership over.
    pub(crate) async fn run(mut self) {
        let mut members = self.shared.members.subscribe();
        let mut draining = self.shared.draining.subscribe();
        let mut next_renewal = Instant::now();
        loop {
            if *draining.borrow_and_update() {
                self.leave().await;
                return;
            }
            if next_renewal <= Instant::now() {
                let begun = Instant::now();
                let pause = self.renew().await;
                next_renewal = Instant::now() + pause;
                if self.renewed.is_some_and(|renewed| renewed >= begun) {
                    self.settle_doubts().await;
                }
            }
            // Nobody leads before the division is known.
            if members.borrow().plan.is_some() {
                for (shard, term) in self.shared.handover_inbox.take_terms() {
                    self.begin_given(&shard, term);
                }
            }
            let view = members.borrow_and_update().clone();
            let mut wake = next_renewal;
            for shard in view.all_shards().unwrap_or_default() {
                self.follow(&shard, &view).await;
                wake = self.stand_in_turn(&shard, &view).await.map_or(wake, |turn| turn.min(wake));
            }
            tokio::select! {
                () = sleep_until(wake) => self.note_lateness(wake.elapsed()).await,
                _ = members.changed() => {}
                _ = draining.changed() => {}
                () = self.shared.handover_inbox.term_given() => {}
            }
        }
    }

    fn candidacy(&mut self, shard: &ShardId) -> &mut Candidacy {
        let shared = self.shared.clone();
        let new = || Candidacy::new(shared, shard.clone());
        self.candidacies.entry(shard.clone()).or_insert_with(new)
    }

    /// Tries to become the leader where there is none and it is this entry's turn; gives when it will be.
    async fn stand_in_turn(&mut self, shard: &ShardId, view: &MemberView) -> Option<Instant> {
        if !self.may_campaign(shard, view) {
            self.candidacy(shard).rest();
            return None;
        }
        let turn = self.candidacy(shard).turn(view);
        if turn <= Instant::now() {
            self.campaign(shard, view).await;
            self.candidacy(shard).rest();
        }
        Some(turn.max(Instant::now()))
    }

    /// Steps down where this machine has become too slow to lead, which its timers show.
    async fn note_lateness(&mut self, late: Duration) {
        self.lateness.note(late, self.shared.leader_inputs());
        let settled = self.candidacies.values().any(|own| own.leads_for(LEAST_TERM));
        let others = self.shared.members.borrow().entries.len() > 1;
        let slow = self.lateness.is_slow(self.shared.settings.processor);
        let weaker = self.lateness.is_late() && self.is_weaker();
        if !(slow || weaker) || !settled || !others {
            return;
        }
        warn!(late_ms = late.as_millis() as u64, weaker; "this machine is too slow to lead");
        self.lateness.forget();
        // Ended without the store knowing of it, the shard would be without a leader for as long as this entry lives.
        if self.hand_over().await {
            self.rest();
        }
    }

    /// Leaves leading to others for a while.
    fn rest(&mut self) {
        self.rests_until = Some(Instant::now() + SLOW_REST);
        self.shared.handover_inbox.set_lease(None);
    }

    /// Whether a machine with twice the processor leads nothing: with more to do than this one can, it goes first.
    fn is_weaker(&self) -> bool {
        self.shared.members.borrow().has_stronger(&self.shared.settings.name)
    }

    /// Renews the lease, or makes a new one; gives the time until the next renewal.
    async fn renew(&mut self) -> Duration {
        let sent = Instant::now();
        let result = match self.lease {
            Some(lease) => self.shared.store.renew_lease(lease).await,
            None => self.register().await,
        };
        match result {
            Ok(true) => {
                self.shared.note_store(DUTY);
                self.renewed = Some(sent);
                self.offer_lease();
                self.candidacies.values().for_each(|own| own.note_renewal(sent));
                RENEWAL.saturating_sub(sent.elapsed())
            }
            Ok(false) => {
                self.shared.dependencies.store.answered(DUTY);
                warn!("the lease in the store has ended");
                self.note_lease_expiry();
                Duration::ZERO
            }
            Err(error) => {
                self.shared.dependencies.store.failed(DUTY, error);
                RETRY_PAUSE
            }
        }
    }

    /// The lease has ended, and with it the keys of this entry and of its leaders.
    fn note_lease_expiry(&mut self) {
        self.lease = None;
        self.shared.handover_inbox.set_lease(None);
        self.candidacies.values_mut().for_each(Candidacy::note_lease_expiry);
    }

    /// Tells leaders that leave whether this entry can lead next.
    fn offer_lease(&self) {
        let rests = self.rests_until.is_some_and(|until| until > Instant::now());
        self.shared.handover_inbox.set_lease(self.lease.filter(|_| !rests));
    }

    async fn register(&mut self) -> Result<bool, StoreError> {
        let lease = self.shared.store.create_lease(LEASE_TTL).await?;
        let settings = &self.shared.settings;
        let record = EntryRecord {
            address: settings.peers,
            domain: settings.domain.clone(),
            start: self.shared.start,
            processor: settings.processor,
            revision: 0,
        };
        let key = format!("{ENTRY_PREFIX}{}", settings.name);
        let writes = vec![KeyWrite { key, value: encode(&record), lease: Some(lease) }];
        let change = KeyTransaction { writes, ..KeyTransaction::default() };
        match self.shared.store.transact(&change).await? {
            TransactionOutcome::Done(revision) => {
                info!(lease; "registered in the store");
                self.lease = Some(lease);
                self.registered = revision;
                Ok(true)
            }
            TransactionOutcome::Conflict(_) | TransactionOutcome::NoLease => Ok(false),
        }
    }

    /// Ends leadership that another has taken, or begins one that an unanswered call has won.
    async fn follow(&mut self, shard: &ShardId, view: &MemberView) {
        let registered = self.lease.is_some();
        let renewed = self.renewed;
        match self.candidacy(shard).standing(view, registered) {
            CandidacyState::Unchanged => {}
            CandidacyState::Succeeded => self.candidacy(shard).end().await,
            CandidacyState::Won(term) if term.epoch_revision < self.registered => {}
            CandidacyState::Won(term) => self.candidacy(shard).begin(term, renewed),
            CandidacyState::BrokenOff => {
                warn!(shard = &**shard; "the leader's duty has ended");
                self.candidacy(shard).end().await;
                self.release(shard, view).await;
            }
            // Left standing after a try without an answer, the key would keep the shard without a leader for as long as
            // this entry lives.
            CandidacyState::Abandoned => self.release(shard, view).await,
        }
    }

    fn may_campaign(&self, shard: &ShardId, view: &MemberView) -> bool {
        let rests = self.rests_until.is_some_and(|until| until > Instant::now());
        view.known
            && !rests
            && view.leaderless(shard)
            && self.lease.is_some()
            && self.shared.config.borrow().is_some()
    }

    /// Tries to become the leader.
    async fn campaign(&mut self, shard: &ShardId, view: &MemberView) {
        let Some(lease) = self.lease else {
            return;
        };
        let led = view.shard(shard);
        let epoch = led.epoch + 1;
        let settings = &self.shared.settings;
        let record = LeaderRecord {
            entry: settings.name.clone(),
            address: settings.peers,
            start: self.shared.start,
            epoch,
        };
        let holder = Some((settings.name.clone(), self.shared.start));
        // After an election without them, strong machines that were seen before are not waited for again.
        let elected = EpochRecord { epoch, holder, best: view.best_registered() };
        let predecessor = led.holder.clone();
        let change = KeyTransaction {
            // Each leader's key is written together with the epoch, so this covers both.
            conditions: vec![(epoch_key(shard), led.epoch_revision)],
            writes: vec![
                KeyWrite { key: leader_key(shard), value: encode(&record), lease: Some(lease) },
                KeyWrite { key: epoch_key(shard), value: encode(&elected), lease: None },
            ],
            removes: Vec::new(),
        };
        let result = self.shared.store.transact(&change).await;
        self.shared.dependencies.store.tried(DUTY, &result);
        match result {
            Ok(TransactionOutcome::Done(revision)) => {
                self.shared.note_store(DUTY);
                self.shared.members.send_modify(|view| {
                    let led = view.shards.entry(shard.clone()).or_default();
                    // The members may have told of the election, and of the end of its key, before it was answered.
                    if led.epoch_revision >= revision {
                        return;
                    }
                    led.leader = Some(record);
                    led.epoch = epoch;
                    led.epoch_revision = revision;
                    led.holder = elected.holder;
                });
                let renewed = self.renewed;
                let term = LeaderTerm { epoch, epoch_revision: revision, predecessor };
                self.candidacy(shard).begin(term, renewed);
            }
            Ok(TransactionOutcome::Conflict(_)) => sleep(RETRY_PAUSE).await,
            Ok(TransactionOutcome::NoLease) => self.note_lease_expiry(),
            Err(_) => sleep(RETRY_PAUSE).await,
        }
    }

    /// Removes this process's key of the leader, if it still stands.
    async fn release(&self, shard: &ShardId, view: &MemberView) {
        let led = view.shard(shard);
        if led.leader.as_ref().is_none_or(|leader| leader.start != self.shared.start) {
            return;
        }
        let change = KeyTransaction {
            conditions: vec![(epoch_key(shard), led.epoch_revision)],
            writes: Vec::new(),
            removes: vec![leader_key(shard)],
        };
        let result = self.shared.store.transact(&change).await;
        self.shared.dependencies.store.tried(DUTY, &result);
        if let Err(error) = result {
            warn!(error:% = error; "the leader's key was not removed");
        }
    }
}

fn encode<T: Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value).map(Bytes::from).unwrap_or_default()
}
