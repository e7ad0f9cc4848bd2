//! Loop that keeps the view of the registered entries, leaders and shard plan current.

use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use serde::de::DeserializeOwned;
use tokio::time::sleep;

use crate::node::keys::{
    ENTRY_PREFIX, KeyEvent, KeyItem, MEMBER_PREFIX, PLAN_KEY, StoreError, UnreadableKind,
    WatchOutcome, count_unreadable, shard_of_epoch, shard_of_leader,
};
use crate::node::records::{EntryRecord, EpochRecord, unknown_leader};
use crate::node::shared::NodeShared;
use crate::node::view::MemberView;

/// Name of this loop in the log.
const LOG_NAME: &str = "members";
/// Maximum wait of a watch call: a dead connection is noticed after this time and the slack of the watch, within the
/// three seconds that count as a disruption.
const WATCH_WAIT: Duration = Duration::from_millis(2_000);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

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
        loop {
            let result = match self.read().await {
                Ok(after) => self.follow(after).await,
                Err(error) => Err(error),
            };
            if let Err(error) = result {
                self.shared.dependencies.store.failed(LOG_NAME, error);
                sleep(RETRY_PAUSE).await;
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
                    self.publish(view);
                    return Ok(first);
                }
            }
        }
    }

    async fn follow(&self, mut after: u64) -> Result<(), StoreError> {
        loop {
            match self.shared.store.watch(MEMBER_PREFIX, after, WATCH_WAIT).await? {
                WatchOutcome::Events { events, revision } => {
                    self.shared.note_store_answer(LOG_NAME);
                    after = after.max(revision);
                    if events.is_empty() {
                        continue;
                    }
                    let mut view = self.shared.members.borrow().clone();
                    for event in events {
                        match event {
                            KeyEvent::Written(item) => apply_write(&mut view, &item),
                            KeyEvent::Removed { key, .. } => apply_removal(&mut view, &key),
                        }
                    }
                    self.publish(view);
                }
                WatchOutcome::HistoryGone => {
                    info!("the store has compacted its history: reading the members again");
                    return Ok(());
                }
            }
        }
    }

    fn publish(&self, view: MemberView) {
        let changed = |old: &mut MemberView| {
            for (shard, shard_view) in &view.shards {
                if old.leader(shard) != shard_view.leader.as_ref() {
                    let leader = shard_view.leader.as_ref().map(|leader| &*leader.entry);
                    info!(leader:? = leader, shard = &**shard, epoch = shard_view.epoch; "leader changed");
                }
            }
            let changed = *old != view;
            *old = view;
            changed
        };
        self.shared.members.send_if_modified(changed);
    }
}

pub(super) fn apply_write(view: &mut MemberView, item: &KeyItem) {
    let key = item.key.as_str();
    if key == PLAN_KEY {
        view.plan = decode(item).map(Arc::new).or(view.plan.take());
    } else if let Some(shard) = shard_of_leader(key) {
        let record = decode(item);
        view.shards.entry(shard).or_default().apply_leader(record);
    } else if let Some(shard) = shard_of_epoch(key) {
        let record = decode(item).unwrap_or_else(|| unreadable_epoch(item));
        let shard_view = view.shards.entry(shard).or_default();
        if item.revision >= shard_view.epoch_revision {
            shard_view.epoch = record.epoch;
            shard_view.holder = record.holder;
            shard_view.epoch_revision = item.revision;
        }
        view.best = view.best.max(record.best);
    } else if let Some(name) = key.strip_prefix(ENTRY_PREFIX)
        && let Some(entry) = decode::<EntryRecord>(item)
    {
        view.best = view.best.max(entry.processor);
        view.entries.insert(name.into(), EntryRecord { revision: item.revision, ..entry });
    }
}

/// Stands in for an unreadable epoch record. Each election raises the store's revision, so the key's revision is at
/// least as high as its epoch; the leader elected last is unknown and may still run.
fn unreadable_epoch(item: &KeyItem) -> EpochRecord {
    EpochRecord { epoch: item.revision, holder: Some(unknown_leader()), best: 0.0 }
}

pub(super) fn apply_removal(view: &mut MemberView, key: &str) {
    if let Some(name) = key.strip_prefix(ENTRY_PREFIX) {
        view.entries.remove(name);
    }
    if let Some(shard_view) = shard_of_leader(key).and_then(|shard| view.shards.get_mut(&shard)) {
        shard_view.forget_leader();
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
