//! Loop that follows notices from the leaders of other shards, while this process leads.

use std::sync::Arc;
use std::time::Duration;

use log::error;
use serde::de::DeserializeOwned;

use crate::graph::{GraphId, NoticeKind, ShardId};
use crate::node::input::LeaderInput;
use crate::node::keys::{
    KeyEvent, KeyItem, StoreError, UnreadableKind, WatchOutcome, count_unreadable, sharded,
};
use crate::node::shared::NodeShared;
use crate::ring::RingSender;

/// Name of this loop in the log.
const LOG_NAME: &str = "notices";
/// Prefix of all notices.
const NOTICE_PREFIX: &str = "x";
/// Maximum wait of a watch call: a dead connection is noticed after this time and the slack of the watch, within the
/// three seconds that count as a disruption.
const WATCH_WAIT: Duration = Duration::from_millis(2_000);
/// Delay before the first retry of a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Key of a notice to a shard.
pub(crate) fn notice_key(shard: &ShardId, kind: NoticeKind, job: &GraphId) -> String {
    format!("{}/{}/{job}", sharded(NOTICE_PREFIX, shard), label(kind))
}

fn label(kind: NoticeKind) -> &'static str {
    match kind {
        NoticeKind::Start => "start",
        NoticeKind::Cancel => "cancel",
        NoticeKind::Fail => "fail",
        NoticeKind::Move => "move",
    }
}

fn decode<T: DeserializeOwned>(item: &KeyItem) -> Option<T> {
    let decoded = serde_json::from_slice(&item.value);
    if let Err(failure) = &decoded {
        count_unreadable(UnreadableKind::Ledger);
        error!(key = item.key, failure:% = failure; "unreadable notice");
    }
    decoded.ok()
}

/// Reads and watches the notices to a shard and passes them to its leader.
pub(crate) struct NoticeLoop {
    shared: Arc<NodeShared>,
    prefix: String,
    leader: RingSender<LeaderInput>,
}

impl NoticeLoop {
    pub(crate) fn new(
        shared: Arc<NodeShared>,
        shard: &ShardId,
        leader: RingSender<LeaderInput>,
    ) -> Self {
        let prefix = format!("{}/", sharded(NOTICE_PREFIX, shard));
        Self { shared, prefix, leader }
    }

    /// Runs until its task is aborted at the end of the leader's term.
    pub(crate) async fn run(self) {
        let mut retry = self.shared.store_availability.retry(RETRY_PAUSE);
        loop {
            let store = self.shared.dependencies.store.clone();
            let result = match self.read_all().await {
                Ok(after) => {
                    store.answered(LOG_NAME);
                    retry.note_answer();
                    self.follow(after).await
                }
                Err(error) => Err(error),
            };
            if let Err(error) = result {
                store.failed(LOG_NAME, error);
                retry.pause().await;
            }
        }
    }

    /// Handles all notices in the store and returns the revision from which to watch.
    async fn read_all(&self) -> Result<u64, StoreError> {
        let mut after = String::new();
        let mut revision = None;
        // Cancellations are handled after all starts, whatever the order of their keys.
        let mut cancellations = Vec::new();
        loop {
            let page = self.shared.store.page(&self.prefix, &after).await?;
            let first_revision = *revision.get_or_insert(page.revision);
            for item in &page.items {
                match self.parse_key(&item.key) {
                    Some((NoticeKind::Cancel, _)) => cancellations.push(item.clone()),
                    Some((NoticeKind::Start | NoticeKind::Fail | NoticeKind::Move, _)) | None => {
                        self.handle_notice(item).await
                    }
                }
            }
            match page.items.last() {
                Some(last) if page.more => after = last.key.clone(),
                _ => {
                    for item in &cancellations {
                        self.handle_notice(item).await;
                    }
                    return Ok(first_revision);
                }
            }
        }
    }

    async fn follow(&self, mut after: u64) -> Result<(), StoreError> {
        loop {
            match self.shared.store.watch(&self.prefix, after, WATCH_WAIT).await? {
                WatchOutcome::Events { events, revision, .. } => {
                    after = after.max(revision);
                    for event in events {
                        if let KeyEvent::Written(item) = event {
                            self.handle_notice(&item).await;
                        }
                    }
                }
                WatchOutcome::HistoryGone => return Ok(()),
            }
        }
    }

    /// Parses the kind and the job of a notice from its key.
    fn parse_key<'k>(&self, key: &'k str) -> Option<(NoticeKind, &'k str)> {
        let (text, job) = key.strip_prefix(&self.prefix)?.split_once('/')?;
        let kinds = [NoticeKind::Start, NoticeKind::Cancel, NoticeKind::Fail, NoticeKind::Move];
        let kind = kinds.into_iter().find(|kind| label(*kind) == text)?;
        Some((kind, job))
    }

    async fn handle_notice(&self, item: &KeyItem) {
        let input = match self.parse_key(&item.key) {
            Some((NoticeKind::Cancel, job)) => LeaderInput::ShareEnded(job.into()),
            Some((NoticeKind::Fail, job)) => LeaderInput::ShareFailed(job.into()),
            Some((NoticeKind::Start, _)) => match decode(item) {
                Some(record) => LeaderInput::Share(Box::new(record)),
                None => return,
            },
            Some((NoticeKind::Move, _)) => match decode(item) {
                Some(moved) => LeaderInput::JobMoved(Box::new(moved), item.revision),
                None => return,
            },
            None => return,
        };
        self.leader.send(input).await;
    }
}
