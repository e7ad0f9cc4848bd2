//! Loop that keeps the view of the registered entries, leaders and shard plan current.
//!
//! Every entry needs the leaders at once, and they change rarely. The list of entries changes with each start and end of
//! an entry, and all entries follow it, so it is followed in batches: otherwise the calls to the store would grow with
//! the square of the number of entries.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use serde::de::DeserializeOwned;
use tokio::time::{Instant, sleep, sleep_until};

use crate::graph::EPOCH_STEP;
use crate::node::availability::{StoreRetry, WATCH_WAIT};
use crate::node::keys::{
    ENTRY_PREFIX, KeyEvent, KeyItem, LEADER_KEY, MEMBER_PREFIX, PLAN_KEY, ROSTER_PREFIX,
    StoreError, UnreadableKind, WatchOutcome, count_unreadable, shard_of_earlier, shard_of_epoch,
    shard_of_leader,
};
use crate::node::machine::MachineCapacity;
use crate::node::records::{
    EarlierLeader, EarlierLeaders, EntryRecord, EpochRecord, unknown_leader,
};
use crate::node::shared::NodeShared;
use crate::node::view::MemberView;

/// Name in the log of following the entries.
const LOG_NAME: &str = "members";
/// Name in the log of following the leaders.
const LEADER_LOG_NAME: &str = "leaders";
/// Delay before the first retry of a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Share of the store's reading calls that all entries together use for batches of changes, however many they are. With
/// calls beyond the rates, renewals are refused and leases end, and each end and each new registration is a change that
/// all entries follow.
const BATCH_CALL_SHARE: f64 = 0.2;
/// Share of the store's reading calls that all entries together use to follow leaders that change one after the other.
const LEADER_CALL_SHARE: f64 = 0.2;
/// Number of changes of leaders that are followed without a pause: the end of a leader and the next election.
const PROMPT_LEADER_CHANGES: u32 = 2;
/// Longest pause after a batch of changes.
const MAX_BATCH_PAUSE: Duration = Duration::from_secs(4);

/// Changes of member keys.
struct MemberChanges {
    events: Vec<KeyEvent>,
    /// Revision from which the next watch continues.
    revision: u64,
    /// Whether there may be more of them already.
    has_more: bool,
}

/// Follows the member keys in the store.
pub(crate) struct MembershipLoop {
    shared: Arc<NodeShared>,
}

impl MembershipLoop {
    pub(crate) fn new(shared: Arc<NodeShared>) -> Self {
        Self { shared }
    }

    /// Runs for the lifetime of the process.
    pub(crate) async fn run(self) {
        let mut retry = self.shared.store_availability.retry(RETRY_PAUSE);
        loop {
            let Some(read) = retry.until_return(self.read()).await else {
                continue;
            };
            match read {
                Ok(after) => {
                    retry.note_answer();
                    tokio::select! {
                        () = self.follow_leaders(after) => {}
                        () = self.follow_roster(after) => {}
                    }
                    info!("the store has compacted its history: reading the members again");
                }
                Err(error) => {
                    self.shared.dependencies.store.failed(LOG_NAME, error);
                    retry.pause().await;
                }
            }
        }
    }

    pub(super) async fn read(&self) -> Result<u64, StoreError> {
        // The shard plan never changes once it is agreed.
        let MemberView { plan, best, .. } = self.shared.members.borrow().clone();
        let mut view = MemberView { known: true, plan, best, ..MemberView::default() };
        let mut after = String::new();
        let mut revision = None;
        loop {
            let page = self.shared.store.page(MEMBER_PREFIX, &after).await?;
            self.shared.note_store_answer(LOG_NAME);
            // The watch starts at the first page's revision, so it repeats changes made while later pages are read.
            let first = *revision.get_or_insert(page.revision);
            for item in &page.items {
                apply_write(&mut view, item);
            }
            match page.items.last() {
                Some(last) if page.more => after = last.key.clone(),
                _ => {
                    self.publish(view, first);
                    return Ok(first);
                }
            }
        }
    }

    /// Publishes the view that was read from revision `read_from` on. Changes of leaders that were known by then and are
    /// newer stay.
    fn publish(&self, mut view: MemberView, read_from: u64) {
        self.shared.members.send_if_modified(|old| {
            let newer = old.shards.iter().filter(|(_, known)| known.leader_revision > read_from);
            for (shard, known) in newer {
                let read = view.shards.entry(shard.clone()).or_default();
                if known.leader_revision > read.leader_revision {
                    *read = known.clone();
                }
            }
            log_leader_changes(old, &view);
            let is_changed = *old != view;
            *old = view;
            update_metrics(old);
            is_changed
        });
    }

    /// Follows the leaders until the store has compacted its history.
    async fn follow_leaders(&self, mut after: u64) {
        let mut retry = self.shared.store_availability.retry(RETRY_PAUSE);
        let mut paced = Instant::now();
        while let Some(changes) =
            self.next_changes(LEADER_LOG_NAME, LEADER_KEY, after, &mut retry).await
        {
            after = changes.revision;
            if !changes.events.is_empty() {
                self.apply(changes.events);
                let pause = self.batch_pause(LEADER_CALL_SHARE);
                paced = paced.max(Instant::now()) + pause;
                sleep_until(paced - pause * PROMPT_LEADER_CHANGES).await;
            }
        }
    }

    /// Follows the entries and epochs in batches, until the store has compacted its history. The shard plan is followed
    /// as well until it is known.
    async fn follow_roster(&self, mut after: u64) {
        let mut retry = self.shared.store_availability.retry(RETRY_PAUSE);
        loop {
            let prefix = match self.shared.members.borrow().plan {
                Some(_) => ROSTER_PREFIX,
                None => MEMBER_PREFIX,
            };
            let Some(changes) = self.next_changes(LOG_NAME, prefix, after, &mut retry).await else {
                return;
            };
            after = changes.revision;
            if !changes.events.is_empty() {
                self.apply(changes.events);
                if !changes.has_more {
                    sleep(self.batch_pause(BATCH_CALL_SHARE)).await;
                }
            }
        }
    }

    /// Interval between batches with which those of all entries take this share of the store's reading calls.
    fn batch_pause(&self, share: f64) -> Duration {
        let entries = self.shared.members.borrow().entries.len();
        let calls = self.shared.settings.store_reads * share;
        Duration::from_secs_f64(entries as f64 / calls).min(MAX_BATCH_PAUSE)
    }

    /// Waits for changes after a revision, or until a watch ends without any. Returns them, or `None` if the store has
    /// compacted its history. A failed call is repeated from the same revision.
    async fn next_changes(
        &self,
        log_name: &str,
        prefix: &str,
        after: u64,
        retry: &mut StoreRetry,
    ) -> Option<MemberChanges> {
        loop {
            // Every entry needs the leaders at once; who else is registered may be known late.
            let wait = match prefix {
                LEADER_KEY => self.shared.short_watch_wait(),
                _ => WATCH_WAIT,
            };
            let watch = self.shared.store.watch(prefix, after, wait);
            let Some(outcome) = retry.until_return(watch).await else {
                continue;
            };
            match outcome {
                Ok(WatchOutcome::Events { events, revision, has_more }) => {
                    self.shared.note_store_answer(log_name);
                    retry.note_answer();
                    let revision = after.max(revision);
                    return Some(MemberChanges { events, revision, has_more });
                }
                Ok(WatchOutcome::HistoryGone) => return None,
                Err(error) => {
                    self.shared.dependencies.store.failed(log_name, error);
                    retry.pause().await;
                }
            }
        }
    }

    fn apply(&self, events: Vec<KeyEvent>) {
        if events.is_empty() {
            return;
        }
        let count = events.len() as u64;
        metrics::counter!("kelplink_member_events_total").increment(count);
        self.shared.members.send_modify(|view| {
            let before = MemberView { shards: view.shards.clone(), ..MemberView::default() };
            for event in events {
                match event {
                    KeyEvent::Written(item) => apply_write(view, &item),
                    KeyEvent::Removed { key, revision } => apply_removal(view, &key, revision),
                }
            }
            log_leader_changes(&before, view);
            update_metrics(view);
        });
    }
}

fn update_metrics(view: &MemberView) {
    let shards = view.all_shards().unwrap_or_default();
    let leaderless = shards.iter().filter(|shard| view.leader(shard).is_none()).count();
    metrics::gauge!("kelplink_leaderless_shards").set(leaderless as f64);
    metrics::gauge!("kelplink_known_entries").set(view.entries.len() as f64);
}

fn log_leader_changes(before: &MemberView, after: &MemberView) {
    for (shard, shard_view) in &after.shards {
        if before.leader(shard) != shard_view.leader.as_ref() {
            let leader = shard_view.leader.as_ref().map(|leader| &*leader.entry);
            info!(leader:? = leader, shard = &**shard, epoch = shard_view.epoch; "leader changed");
        }
    }
}

pub(super) fn apply_write(view: &mut MemberView, item: &KeyItem) {
    let key = item.key.as_str();
    if key == PLAN_KEY {
        view.plan = decode(item).map(Arc::new).or(view.plan.take());
    } else if let Some(shard) = shard_of_leader(key) {
        let record = decode(item);
        view.shards.entry(shard).or_default().apply_leader(record, item.revision);
    } else if let Some(shard) = shard_of_epoch(key) {
        let record = decode(item).unwrap_or_else(|| unreadable_epoch(item));
        let shard_view = view.shards.entry(shard).or_default();
        let best = record.best_capacity();
        shard_view.apply_epoch(record.epoch, record.holder, item.revision);
        view.best = view.best.best_of(best);
    } else if let Some(shard) = shard_of_earlier(key) {
        let record = decode(item).unwrap_or_else(unreadable_earlier);
        view.shards.entry(shard).or_default().apply_earlier(record.leaders, item.revision);
    } else if let Some(name) = key.strip_prefix(ENTRY_PREFIX)
        && let Some(entry) = decode::<EntryRecord>(item)
    {
        view.best = view.best.best_of(entry.capacity(view.best));
        view.entries.insert(name.into(), EntryRecord { revision: item.revision, ..entry });
    }
}

/// Stands in for an unreadable epoch record. Each election raises the store's revision, so there were at most as
/// many as the key's revision says; the leader elected last is unknown and may still run.
fn unreadable_epoch(item: &KeyItem) -> EpochRecord {
    EpochRecord::new(item.revision * EPOCH_STEP, Some(unknown_leader()), MachineCapacity::default())
}

/// Stands in for an unreadable record of earlier leaders.
fn unreadable_earlier() -> EarlierLeaders {
    let unknown = EarlierLeader { process: unknown_leader(), elected: 0 };
    EarlierLeaders { leaders: [unknown].into() }
}

pub(super) fn apply_removal(view: &mut MemberView, key: &str, revision: u64) {
    if let Some(name) = key.strip_prefix(ENTRY_PREFIX) {
        view.entries.remove(name);
    }
    if let Some(shard_view) = shard_of_leader(key).and_then(|shard| view.shards.get_mut(&shard)) {
        shard_view.forget_leader(revision);
    }
    if let Some(shard_view) = shard_of_earlier(key).and_then(|shard| view.shards.get_mut(&shard)) {
        shard_view.apply_earlier(BTreeSet::new(), 0);
    }
}

fn decode<T: DeserializeOwned>(item: &KeyItem) -> Option<T> {
    let decoded = serde_json::from_slice(&item.value);
    if let Err(error) = &decoded {
        count_unreadable(UnreadableKind::Member);
        warn!(key = item.key, error:% = error; "unreadable member key");
    }
    decoded.ok()
}
