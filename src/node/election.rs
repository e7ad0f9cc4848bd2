//! Loop that keeps the entry registered, campaigns for shards without a leader and hands leadership over.

#[cfg(test)]
mod campaign_tests;
pub(crate) mod handover;
#[cfg(test)]
mod lease_tests;
#[cfg(test)]
mod predecessor_tests;
mod predecessors;
mod transfer;
#[cfg(test)]
mod transfer_tests;
#[cfg(test)]
mod unheard_election_tests;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use log::{info, warn};
use serde::Serialize;
use tokio::time::{Instant, sleep, sleep_until};

use crate::graph::{LeaderEpoch, ShardId, next_epoch};
use crate::node::answer_condition::LEASE_TTL;
use crate::node::availability::MAX_RENEWAL_INTERVAL;
use crate::node::backoff::RetryBackoff;
use crate::node::candidacy::{Candidacy, CandidacyState};
use crate::node::election::handover::TransferCause;
use crate::node::keys::{
    ENTRY_PREFIX, KeyTransaction, KeyWrite, LeaseId, StoreError, TransactionOutcome, earlier_key,
    epoch_key, leader_key,
};
use crate::node::lateness::LatenessMonitor;
use crate::node::members::apply_write;
use crate::node::peers::PeerClient;
use crate::node::records::{EntryRecord, EpochRecord, LeaderRecord, LeaderTerm};
use crate::node::settings::NodeSettings;
use crate::node::shared::NodeShared;
use crate::node::view::MemberView;

/// Name of this loop in the log.
const LOG_NAME: &str = "election";
/// Shortest interval between lease renewals, and that of a leader: three in a row may fail before the lease ends.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(250);
/// Share of the store's reading calls that the renewals of all entries use before the interval grows.
const RENEWAL_CALL_SHARE: f64 = 0.25;
/// Number of tries to register while the registration that is replaced is not known.
const REGISTRATION_TRIES: usize = 3;
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause, before jitter, after renewals that failed one after the other. An entry serves again this much after
/// the store's return.
const MAX_RENEWAL_PAUSE: Duration = Duration::from_millis(500);
/// Minimum time as leader before a machine can count as too slow: the takeover itself is a heavy load.
const MIN_TERM: Duration = Duration::from_secs(4);
/// How long an entry on a machine that was too slow does not campaign.
const SLOW_MACHINE_PAUSE: Duration = Duration::from_secs(10);

/// Keeps the entry registered and takes part in elections.
pub(crate) struct ElectionLoop {
    shared: Arc<NodeShared>,
    lease: Option<LeaseId>,
    renewed: Option<Instant>,
    renewal_backoff: RetryBackoff,
    /// Revision of the transaction that registered this entry under its current lease. A leader key with a lower
    /// revision was written under a lease that has ended.
    registered: u64,
    /// Revision of the registration under this entry's name that the next one replaces; 0 if there is none.
    replaced: u64,
    /// This process's candidacy for each shard.
    candidacies: BTreeMap<ShardId, Candidacy>,
    lateness: LatenessMonitor,
    peers: PeerClient,
    /// Until when this process does not campaign because its machine was too slow.
    paused_until: Option<Instant>,
}

impl ElectionLoop {
    pub(crate) fn new(shared: Arc<NodeShared>) -> Self {
        let peers = PeerClient::within(shared.network.clone());
        Self {
            shared,
            lease: None,
            renewed: None,
            renewal_backoff: RetryBackoff::new(RETRY_PAUSE, MAX_RENEWAL_PAUSE),
            registered: 0,
            replaced: 0,
            candidacies: BTreeMap::new(),
            lateness: LatenessMonitor::new(),
            peers,
            paused_until: None,
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
                let started = Instant::now();
                let pause = self.renew().await;
                next_renewal = Instant::now() + pause;
                if self.renewed.is_some_and(|renewed| renewed >= started) {
                    self.resolve_in_doubt().await;
                }
            }
            // No term begins before the shard plan is known.
            if members.borrow().plan.is_some() {
                for (shard, term) in self.shared.handover_inbox.take_terms() {
                    self.begin_delivered_term(&shard, term).await;
                }
            }
            let view = members.borrow_and_update().clone();
            let mut wake = next_renewal;
            for shard in view.all_shards().unwrap_or_default() {
                self.reconcile(&shard, &view).await;
                self.pass_to_stronger(&shard, &view).await;
                self.forget_predecessors(&shard, &view).await;
                wake = self
                    .campaign_in_turn(&shard, &view)
                    .await
                    .map_or(wake, |campaign_time| campaign_time.min(wake));
            }
            tokio::select! {
                () = sleep_until(wake) => self.note_lateness(wake.elapsed()).await,
                _ = members.changed() => {}
                _ = draining.changed() => {}
                () = self.shared.handover_inbox.term_delivered() => {}
            }
        }
    }

    fn candidacy(&mut self, shard: &ShardId) -> &mut Candidacy {
        let shared = self.shared.clone();
        let new = || Candidacy::new(shared, shard.clone());
        self.candidacies.entry(shard.clone()).or_insert_with(new)
    }

    /// Campaigns for a shard without a leader once it is this entry's turn. Returns the time of that turn, or `None` if
    /// this entry may not campaign.
    async fn campaign_in_turn(&mut self, shard: &ShardId, view: &MemberView) -> Option<Instant> {
        if !self.may_campaign(shard, view) {
            self.candidacy(shard).reset_turn();
            return None;
        }
        let campaign_time = self.candidacy(shard).campaign_time(view);
        if campaign_time <= Instant::now() {
            self.campaign(shard, view).await;
            self.candidacy(shard).reset_turn();
        }
        Some(campaign_time.max(Instant::now()))
    }

    /// Hands leadership over when late timers show that this machine has become too slow to lead.
    async fn note_lateness(&mut self, late: Duration) {
        self.lateness.note(late, self.shared.leader_inputs());
        let past_min_term =
            self.candidacies.values().any(|candidacy| candidacy.leads_for(MIN_TERM));
        let others = self.shared.members.borrow().entries.len() > 1;
        let slow = self.lateness.is_slow(self.shared.settings.processor);
        let weaker = self.lateness.is_late() && self.is_weaker();
        if !(slow || weaker) || !past_min_term || !others {
            return;
        }
        warn!(late_ms = late.as_millis() as u64, weaker; "this machine is too slow to lead");
        self.lateness.reset();
        // The term ends only once the store records it: otherwise the leader key would stay, and the shard would have
        // no leader for as long as this entry is registered.
        if self.hand_over(TransferCause::SlowMachine).await {
            self.pause_campaigns();
        }
    }

    /// Stops campaigning and offering to lead for a while.
    fn pause_campaigns(&mut self) {
        self.paused_until = Some(Instant::now() + SLOW_MACHINE_PAUSE);
        self.shared.handover_inbox.set_lease(None);
    }

    /// Whether some machine with more than twice the processor or link leads no shard: it should lead when the load
    /// exceeds what this machine can handle.
    fn is_weaker(&self) -> bool {
        self.shared.members.borrow().has_stronger(&self.shared.settings.name)
    }

    /// Renews the lease, or creates a new one. Returns the time until the next renewal.
    async fn renew(&mut self) -> Duration {
        let sent = Instant::now();
        let result = match self.lease {
            Some(lease) => self.shared.store.renew_lease(lease).await,
            None => self.register().await,
        };
        match result {
            Ok(true) => {
                self.note_renewal_answer();
                self.shared.note_store_answer(LOG_NAME);
                self.renewed = Some(sent);
                self.offer_lease();
                self.candidacies.values().for_each(|candidacy| candidacy.note_renewal(sent));
                self.renewal_interval().saturating_sub(sent.elapsed())
            }
            Ok(false) => {
                self.note_renewal_answer();
                self.shared.dependencies.store.answered(LOG_NAME);
                warn!("the lease in the store has ended");
                self.note_lease_expiry();
                Duration::ZERO
            }
            Err(error) => {
                self.shared.dependencies.store.failed(LOG_NAME, error);
                self.shared.store_availability.note_failure();
                self.renewal_pause()
            }
        }
    }

    /// Time from one renewal to the next: longer where there are so many entries that their renewals would take more than
    /// their share of the store's calls.
    fn renewal_interval(&self) -> Duration {
        if self.candidacies.values().any(Candidacy::leads) {
            return RENEWAL_INTERVAL;
        }
        let entries = self.shared.members.borrow().entries.len();
        let calls = self.shared.settings.store_reads * RENEWAL_CALL_SHARE;
        Duration::from_secs_f64(entries as f64 / calls)
            .clamp(RENEWAL_INTERVAL, MAX_RENEWAL_INTERVAL)
    }

    fn note_renewal_answer(&mut self) {
        self.renewal_backoff.reset();
        self.shared.store_availability.note_answer();
    }

    /// Returns the pause after a failed renewal. A leader retries without backoff: its shard accepts no jobs meanwhile,
    /// and leaders are few.
    fn renewal_pause(&mut self) -> Duration {
        match self.candidacies.values().any(Candidacy::leads) {
            true => RETRY_PAUSE,
            false => self.renewal_backoff.next_delay(),
        }
    }

    /// Records that the lease has ended, and with it the keys of this entry and of the shards it leads.
    fn note_lease_expiry(&mut self) {
        self.lease = None;
        self.shared.handover_inbox.set_lease(None);
        self.candidacies.values_mut().for_each(Candidacy::note_lease_expiry);
    }

    /// Sets the lease that is offered to leaders that step down, if this entry can lead next.
    fn offer_lease(&self) {
        let paused = self.paused_until.is_some_and(|until| until > Instant::now());
        self.shared.handover_inbox.set_lease(self.lease.filter(|_| !paused));
    }

    async fn register(&mut self) -> Result<bool, StoreError> {
        let lease = self.shared.store.create_lease(LEASE_TTL).await?;
        let settings = &self.shared.settings;
        let record = EntryRecord {
            address: settings.peers,
            domain: settings.domain.clone(),
            start: self.shared.start,
            processor: settings.processor,
            link_mbps: Some(settings.link_mbps),
            revision: 0,
        };
        let key = format!("{ENTRY_PREFIX}{}", settings.name);
        let write = KeyWrite { key, value: encode(&record), lease: Some(lease) };
        for _ in 0..REGISTRATION_TRIES {
            match self.shared.store.transact(&self.registration(&write)).await? {
                TransactionOutcome::Done(revision) => {
                    info!(lease; "registered in the store");
                    self.lease = Some(lease);
                    (self.registered, self.replaced) = (revision, revision);
                    return Ok(true);
                }
                TransactionOutcome::Conflict(items) => {
                    self.replaced = items.first().map_or(0, |item| item.revision);
                }
                TransactionOutcome::NoLease => return Ok(false),
            }
        }
        Ok(false)
    }

    /// The registration of this process in place of the one that it knows. Without the condition, a call of an earlier
    /// process of this entry that is carried out late would replace the registration of the present one, which would
    /// then count as ended.
    fn registration(&self, write: &KeyWrite) -> KeyTransaction {
        let conditions = vec![(write.key.clone(), self.replaced)];
        KeyTransaction { conditions, writes: vec![write.clone()], removes: Vec::new() }
    }

    /// Brings this process's leadership of a shard in line with the store: ends a superseded term, or begins one that
    /// was won by a call whose answer was lost.
    async fn reconcile(&mut self, shard: &ShardId, view: &MemberView) {
        let registered = self.lease.is_some();
        let renewed = self.renewed;
        if self.candidacy(shard).leads() {
            let epoch = view.shard(shard).epoch as f64;
            metrics::gauge!("kelplink_store_epoch", "shard" => shard.to_string()).set(epoch);
        }
        match self.candidacy(shard).store_state(view, registered) {
            CandidacyState::Unchanged => {}
            CandidacyState::Superseded => self.candidacy(shard).end().await,
            CandidacyState::Won(term) if term.epoch_revision < self.registered => {}
            CandidacyState::Won(term) => {
                info!(shard = &**shard, epoch = term.epoch; "an election without an answer was won");
                metrics::counter!("kelplink_unheard_elections_total").increment(1);
                self.candidacy(shard).begin(term, renewed);
            }
            CandidacyState::LoopEnded => {
                warn!(shard = &**shard; "the leader loop has ended by itself");
                self.candidacy(shard).end().await;
                self.remove_leader_key(shard, view).await;
            }
            // An earlier removal got no answer. While the key exists nobody campaigns, so the shard would have no
            // leader for as long as this entry is registered.
            CandidacyState::KeyLeft => self.remove_leader_key(shard, view).await,
        }
    }

    fn may_campaign(&self, shard: &ShardId, view: &MemberView) -> bool {
        let paused = self.paused_until.is_some_and(|until| until > Instant::now());
        view.known
            && !paused
            && view.leaderless(shard)
            && self.lease.is_some()
            && self.shared.config.borrow().is_some()
    }

    /// Tries to win the election of a shard's leader.
    async fn campaign(&mut self, shard: &ShardId, view: &MemberView) {
        let Some(lease) = self.lease else {
            return;
        };
        let shard_view = view.shard(shard);
        let epoch = next_epoch(shard_view.epoch);
        let settings = &self.shared.settings;
        let record = LeaderRecord {
            entry: settings.name.clone(),
            address: settings.peers,
            start: self.shared.start,
            epoch,
        };
        let holder = Some(self.shared.process());
        // Only registered machines count: a strong machine that was absent from this election is not waited for in the
        // next one.
        let epoch_record = EpochRecord::new(epoch, holder, view.best_registered());
        let predecessor = shard_view.holder.clone();
        let earlier = predecessors::before_campaign(view, shard, &self.shared.process());
        let mut change = KeyTransaction {
            // A view whose epoch is newer than its leader must not replace a leader that it does not know.
            conditions: vec![
                (epoch_key(shard), shard_view.epoch_revision),
                (leader_key(shard), shard_view.leader_key_revision()),
            ],
            writes: vec![
                KeyWrite { key: leader_key(shard), value: encode(&record), lease: Some(lease) },
                KeyWrite { key: epoch_key(shard), value: encode(&epoch_record), lease: None },
            ],
            removes: Vec::new(),
        };
        predecessors::record(&mut change, shard, &shard_view, &earlier);
        self.candidacy(shard).note_registrations(view);
        let result = self.shared.store.transact(&change).await;
        self.shared.dependencies.store.tried(LOG_NAME, &result);
        match result {
            Ok(TransactionOutcome::Done(revision)) => {
                self.shared.note_store_answer(LOG_NAME);
                self.shared.members.send_modify(|view| {
                    let shard_view = view.shards.entry(shard.clone()).or_default();
                    // The members watch may have delivered the election, and the removal of its leader key, before this
                    // answer arrived.
                    if shard_view.epoch_revision >= revision {
                        return;
                    }
                    shard_view.leader = Some(record);
                    shard_view.leader_revision = revision;
                    shard_view.apply_epoch(epoch, epoch_record.holder, revision);
                    if shard_view.earlier != earlier {
                        let earlier_revision = if earlier.is_empty() { 0 } else { revision };
                        shard_view.apply_earlier(earlier.clone(), earlier_revision);
                    }
                });
                note_election_won(shard, epoch, &self.shared.settings, view);
                let renewed = self.renewed;
                let term = LeaderTerm { epoch, epoch_revision: revision, predecessor, earlier };
                self.candidacy(shard).begin(term, renewed);
            }
            Ok(TransactionOutcome::Conflict(items)) => {
                self.shared.members.send_modify(|view| {
                    items.iter().for_each(|item| apply_write(view, item));
                    let shard_view = view.shards.entry(shard.clone()).or_default();
                    let lacks = |key: &str| items.iter().all(|item| item.key != key);
                    if lacks(&earlier_key(shard)) {
                        shard_view.apply_earlier(BTreeSet::new(), 0);
                    }
                    if lacks(&leader_key(shard)) {
                        shard_view.leader = None;
                    }
                });
                sleep(RETRY_PAUSE).await;
            }
            Ok(TransactionOutcome::NoLease) => self.note_lease_expiry(),
            Err(_) => sleep(RETRY_PAUSE).await,
        }
    }

    /// Removes the leader key of a shard if it names this process.
    async fn remove_leader_key(&self, shard: &ShardId, view: &MemberView) {
        let shard_view = view.shard(shard);
        if shard_view.leader.as_ref().is_none_or(|leader| leader.start != self.shared.start) {
            return;
        }
        let change = KeyTransaction {
            conditions: vec![(epoch_key(shard), shard_view.epoch_revision)],
            writes: Vec::new(),
            removes: vec![leader_key(shard)],
        };
        let result = self.shared.store.transact(&change).await;
        self.shared.dependencies.store.tried(LOG_NAME, &result);
        if let Err(error) = result {
            warn!(error:% = error; "failed to remove the leader key");
        }
    }
}

/// Logs and counts an election that this entry has won, with what its rank depends on.
fn note_election_won(
    shard: &ShardId,
    epoch: LeaderEpoch,
    settings: &NodeSettings,
    view: &MemberView,
) {
    let name = &settings.name;
    let (is_strong, rank) = (view.is_strong(name), view.rank(shard, name));
    let registered = view.best_registered();
    info!(
        shard = &**shard, epoch, is_strong, rank = rank.before,
        in_other_domain = rank.in_other_domain, entries = view.entries.len(),
        processor = settings.processor, link_mbps = settings.link_mbps,
        best_processor = registered.processor, best_link_mbps = registered.link_mbps,
        best_seen_processor = view.best.processor, best_seen_link_mbps = view.best.link_mbps;
        "election won"
    );
    let machine = if is_strong { "strong" } else { "weak" };
    metrics::counter!("kelplink_elections_won_total", "machine" => machine).increment(1);
}

fn encode<T: Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value).map(Bytes::from).unwrap_or_default()
}
