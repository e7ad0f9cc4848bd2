//! The duty of staying registered, and of becoming the leader where there is none.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use log::{info, warn};
use serde::Serialize;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};

use crate::graph::LeaderEpoch;
use crate::id::EntryId;
use crate::node::input::LeaderInput;
use crate::node::keys::{
    ENTRY_PREFIX, EPOCH_KEY, KeySet, KeyTransaction, LEADER_KEY, LeaseId, StoreError,
    TransactionOutcome,
};
use crate::node::leader::{LeaderDuty, LeaderTerm};
use crate::node::records::{EntryRecord, EpochRecord, LeaderRecord};
use crate::node::shared::NodeShared;
use crate::node::view::MemberView;
use crate::ring::{RingSender, ring};

/// This duty's name in the log.
const DUTY: &str = "election";
/// Life of the lease in the store: a leader that dies is replaced after it.
const LEASE_TTL: Duration = Duration::from_millis(1_000);
/// Interval of renewals: three may fail before the lease ends.
const RENEWAL: Duration = Duration::from_millis(250);
/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Head start of the entry that led last, and of each entry before the next in rank.
const RANK_PAUSE: Duration = Duration::from_millis(60);
/// Lateness of timers from which a machine is too slow to lead: a healthy leader's are late by less
/// than 5 ms, those of one that is seven times slower by 20 to 130 ms.
const SLOW_LATENESS: Duration = Duration::from_millis(35);
/// Shortest time of leading before that: a takeover itself is heavy.
const LEAST_TERM: Duration = Duration::from_secs(4);
/// How long a machine that was too slow does not stand.
const SLOW_REST: Duration = Duration::from_secs(10);
/// Places in the ring to the leader's duty.
const LEADER_RING: usize = 8_192;

/// This process as the leader.
struct Leadership {
    epoch: LeaderEpoch,
    input: RingSender<LeaderInput>,
    task: JoinHandle<()>,
}

/// Stays registered and takes part in elections.
pub(crate) struct ElectionDuty {
    shared: Arc<NodeShared>,
    lease: Option<LeaseId>,
    renewed: Option<Instant>,
    leadership: Option<Leadership>,
    /// Latest epoch that this process has led under: it is not led under again.
    last_epoch: LeaderEpoch,
    led_since: Option<Instant>,
    /// How late timers are, smoothed over five of them.
    lateness: Duration,
    /// Until when this process does not stand, as its machine was too slow.
    rests_until: Option<Instant>,
}

impl ElectionDuty {
    pub(crate) fn new(shared: Arc<NodeShared>) -> Self {
        Self {
            shared,
            lease: None,
            renewed: None,
            leadership: None,
            last_epoch: 0,
            led_since: None,
            lateness: Duration::ZERO,
            rests_until: None,
        }
    }

    /// Runs until the process stops, then hands leadership over.
    pub(crate) async fn run(mut self) {
        let mut members = self.shared.members.subscribe();
        let mut draining = self.shared.draining.subscribe();
        let mut next_renewal = Instant::now();
        let mut candidate_since: Option<Instant> = None;
        loop {
            if *draining.borrow_and_update() {
                self.leave().await;
                return;
            }
            if next_renewal <= Instant::now() {
                let pause = self.renew().await;
                next_renewal = Instant::now() + pause;
            }
            let view = members.borrow_and_update().clone();
            self.follow(&view).await;
            let wake = match self.may_stand(&view) {
                true => {
                    let since = *candidate_since.get_or_insert_with(Instant::now);
                    let turn = since + self.pause(&view);
                    if turn <= Instant::now() {
                        self.stand(&view).await;
                        candidate_since = None;
                    }
                    turn.min(next_renewal)
                }
                false => {
                    candidate_since = None;
                    next_renewal
                }
            };
            tokio::select! {
                () = sleep_until(wake) => self.note_lateness(wake.elapsed()).await,
                _ = members.changed() => {}
                _ = draining.changed() => {}
            }
        }
    }

    /// Steps down where this machine has become too slow to lead, which its timers show.
    async fn note_lateness(&mut self, late: Duration) {
        self.lateness = (self.lateness * 3 + late * 2) / 5;
        let settled = self.led_since.is_some_and(|since| since.elapsed() > LEAST_TERM);
        let others = self.shared.members.borrow().entries.len() > 1;
        if self.lateness < SLOW_LATENESS || !settled || !others || self.leadership.is_none() {
            return;
        }
        warn!(late_ms = late.as_millis() as u64; "this machine is too slow to lead");
        self.lateness = Duration::ZERO;
        self.rests_until = Some(Instant::now() + SLOW_REST);
        self.end_leadership().await;
        self.step_down().await;
    }

    /// Renews the lease, or makes a new one; gives the time until the next renewal.
    async fn renew(&mut self) -> Duration {
        let sent = Instant::now();
        let result = match self.lease {
            Some(lease) => self.shared.store.keep(lease).await,
            None => self.register().await,
        };
        match result {
            Ok(true) => {
                self.shared.note_store(DUTY);
                self.renewed = Some(sent);
                if let Some(leadership) = &self.leadership {
                    let _ = leadership.input.offer(LeaderInput::Renewed(sent));
                }
                RENEWAL.saturating_sub(sent.elapsed())
            }
            Ok(false) => {
                self.shared.dependencies.store.answered(DUTY);
                warn!("the lease in the store has ended");
                self.lease = None;
                Duration::ZERO
            }
            Err(error) => {
                self.shared.dependencies.store.failed(DUTY, error);
                RETRY_PAUSE
            }
        }
    }

    async fn register(&mut self) -> Result<bool, StoreError> {
        let lease = self.shared.store.lease(LEASE_TTL).await?;
        let settings = &self.shared.settings;
        let record = EntryRecord {
            address: settings.peers,
            domain: settings.domain.clone(),
            start: self.shared.start,
            processor: settings.processor,
        };
        let key = format!("{ENTRY_PREFIX}{}", settings.name);
        let sets = vec![KeySet { key, value: encode(&record), lease: Some(lease) }];
        let change = KeyTransaction { sets, ..KeyTransaction::default() };
        match self.shared.store.transact(&change).await? {
            TransactionOutcome::Done(_) => {
                info!(lease; "registered in the store");
                self.lease = Some(lease);
                Ok(true)
            }
            TransactionOutcome::Conflict(_) | TransactionOutcome::NoLease => Ok(false),
        }
    }

    /// Ends leadership that another has taken, or begins one that an unanswered call has won.
    async fn follow(&mut self, view: &MemberView) {
        let led = self.leadership.as_ref().map(|leadership| leadership.epoch);
        let mine = view.leader.as_ref().filter(|leader| leader.start == self.shared.start);
        match (led, mine) {
            (Some(epoch), _) if view.epoch > epoch && mine.is_none() => {
                warn!(epoch, later = view.epoch; "another leads");
                self.end_leadership().await;
            }
            (None, Some(leader))
                if leader.epoch == view.epoch
                    && leader.epoch > self.last_epoch
                    && self.lease.is_some() =>
            {
                // Who led before is not known any more: it is taken to go on for as long as it may.
                let unknown = Some((leader.entry.clone(), 0));
                self.begin(leader.epoch, view.epoch_revision, unknown);
            }
            (Some(_), _) if self.leadership.as_ref().is_some_and(|led| led.task.is_finished()) => {
                warn!("the leader's duty has ended");
                self.end_leadership().await;
                self.release(view).await;
            }
            _ => {}
        }
    }

    fn may_stand(&self, view: &MemberView) -> bool {
        let rests = self.rests_until.is_some_and(|until| until > Instant::now());
        view.known
            && !rests
            && view.leaderless()
            && self.lease.is_some()
            && self.shared.config.borrow().is_some()
    }

    /// Who led last goes first, then those with most processor.
    fn pause(&self, view: &MemberView) -> Duration {
        if self.leadership.is_some() {
            return Duration::ZERO;
        }
        let settings = &self.shared.settings;
        let before = view.entries.iter().filter(|(name, entry)| {
            entry.processor > settings.processor
                || (entry.processor == settings.processor && **name < settings.name)
        });
        let rank = u32::try_from(before.count()).unwrap_or(u32::MAX).min(20);
        RANK_PAUSE * (rank + 1)
    }

    /// Tries to become the leader.
    async fn stand(&mut self, view: &MemberView) {
        let Some(lease) = self.lease else {
            return;
        };
        let epoch = view.epoch + 1;
        let settings = &self.shared.settings;
        let record = LeaderRecord {
            entry: settings.name.clone(),
            address: settings.peers,
            start: self.shared.start,
            epoch,
        };
        let holder = Some((settings.name.clone(), self.shared.start));
        let elected = EpochRecord { epoch, holder };
        let predecessor = view.holder.clone();
        let change = KeyTransaction {
            // Each leader's key is written together with the epoch, so this covers both.
            conditions: vec![(EPOCH_KEY.to_owned(), view.epoch_revision)],
            sets: vec![
                KeySet { key: LEADER_KEY.to_owned(), value: encode(&record), lease: Some(lease) },
                KeySet { key: EPOCH_KEY.to_owned(), value: encode(&elected), lease: None },
            ],
            removes: Vec::new(),
        };
        let result = self.shared.store.transact(&change).await;
        self.shared.dependencies.store.tried(DUTY, &result);
        match result {
            Ok(TransactionOutcome::Done(revision)) => {
                self.shared.note_store(DUTY);
                self.shared.members.send_modify(|view| {
                    view.leader = Some(record);
                    view.epoch = epoch;
                    view.epoch_revision = revision;
                    view.holder = elected.holder;
                });
                self.begin(epoch, revision, predecessor);
            }
            Ok(TransactionOutcome::Conflict(_)) => sleep(RETRY_PAUSE).await,
            Ok(TransactionOutcome::NoLease) => self.lease = None,
            Err(_) => sleep(RETRY_PAUSE).await,
        }
    }

    /// Leads, or goes on leading under a later epoch.
    fn begin(&mut self, epoch: LeaderEpoch, revision: u64, predecessor: Option<(EntryId, u64)>) {
        let sent = self.renewed.unwrap_or_else(Instant::now);
        self.last_epoch = epoch;
        self.led_since = Some(Instant::now());
        if let Some(leadership) = &mut self.leadership
            && leadership.epoch + 1 == epoch
            && !leadership.task.is_finished()
        {
            leadership.epoch = epoch;
            let _ = leadership.input.offer(LeaderInput::Epoch(epoch, revision));
            return;
        }
        let (input, receiver) = ring("leader", LEADER_RING);
        let _ = input.offer(LeaderInput::Renewed(sent));
        let shared = self.shared.clone();
        let term = LeaderTerm { epoch, epoch_revision: revision, predecessor };
        let duty = LeaderDuty::new(shared, term, input.clone(), receiver);
        let task = tokio::spawn(duty.run());
        self.leadership = Some(Leadership { epoch, input, task });
    }

    async fn end_leadership(&mut self) {
        if let Some(leadership) = self.leadership.take() {
            let _ = leadership.input.send(LeaderInput::Resign).await;
            if leadership.task.await.is_err() {
                warn!("the leader's duty broke off");
            }
        }
    }

    /// Removes this process's key of the leader, if it still stands.
    async fn release(&self, view: &MemberView) {
        let mine = view.leader.as_ref().is_some_and(|leader| leader.start == self.shared.start);
        if !mine {
            return;
        }
        let change = KeyTransaction {
            conditions: vec![(EPOCH_KEY.to_owned(), view.epoch_revision)],
            sets: Vec::new(),
            removes: vec![LEADER_KEY.to_owned()],
        };
        let result = self.shared.store.transact(&change).await;
        self.shared.dependencies.store.tried(DUTY, &result);
        if let Err(error) = result {
            warn!(error:% = error; "the leader's key was not removed");
        }
    }

    async fn step_down(&self) {
        let view = self.shared.members.borrow().clone();
        let record = EpochRecord { epoch: view.epoch, holder: None };
        let change = KeyTransaction {
            conditions: vec![(EPOCH_KEY.to_owned(), view.epoch_revision)],
            sets: vec![KeySet { key: EPOCH_KEY.to_owned(), value: encode(&record), lease: None }],
            removes: vec![LEADER_KEY.to_owned()],
        };
        let result = self.shared.store.transact(&change).await;
        self.shared.dependencies.store.tried(DUTY, &result);
        if let Err(error) = result {
            warn!(error:% = error; "stepping down was not noted in the store");
        }
    }

    /// A planned stop: leadership goes to another at once, which need not fear this process.
    async fn leave(&mut self) {
        if self.leadership.is_some() {
            self.end_leadership().await;
            self.step_down().await;
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

fn encode<T: Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value).map(Bytes::from).unwrap_or_default()
}
