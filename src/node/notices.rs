//! The duty of following what other shards' leaders have to tell, while this process leads.

use std::sync::Arc;
use std::time::Duration;

use log::error;
use tokio::time::sleep;

use crate::graph::{GraphId, GraphRecord, NoticeKind, ShardId};
use crate::node::input::LeaderInput;
use crate::node::keys::{
    KeyEvent, KeyItem, StoreError, UnreadableKind, WatchOutcome, count_unreadable, sharded,
};
use crate::node::shared::NodeShared;
use crate::ring::RingSender;

/// This duty's name in the log.
const DUTY: &str = "notices";
/// Prefix of all notices.
const NOTICE_PREFIX: &str = "x";
/// Longest wait of a watch: a connection that has gone silent is noticed after it and the watch's
/// slack, within the three seconds that count as a disruption.
const WATCH_WAIT: Duration = Duration::from_millis(2_000);
/// Pause after a call that failed.
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
    }
}

/// Follows notices in the store.
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

    /// Runs until the leader's duty has ended.
    pub(crate) async fn run(self) {
        loop {
            let store = self.shared.dependencies.store.clone();
            let result = match self.read().await {
                Ok(after) => {
                    store.answered(DUTY);
                    self.follow(after).await
                }
                Err(error) => Err(error),
            };
            if let Err(error) = result {
                store.failed(DUTY, error);
                sleep(RETRY_PAUSE).await;
            }
        }
    }

    async fn read(&self) -> Result<u64, StoreError> {
        let mut after = String::new();
        let mut revision = None;
        // Starts go before cancellations, whatever the order of their keys.
        let mut cancelled = Vec::new();
        loop {
            let page = self.shared.store.page(&self.prefix, &after).await?;
            let first = *revision.get_or_insert(page.revision);
            for item in &page.items {
                match self.named(&item.key) {
                    Some((NoticeKind::Cancel, _)) => cancelled.push(item.clone()),
                    Some((NoticeKind::Start | NoticeKind::Fail, _)) | None => self.take(item).await,
                }
            }
            match page.items.last() {
                Some(last) if page.more => after = last.key.clone(),
                _ => {
                    for item in &cancelled {
                        self.take(item).await;
                    }
                    return Ok(first);
                }
            }
        }
    }

    async fn follow(&self, mut after: u64) -> Result<(), StoreError> {
        loop {
            match self.shared.store.watch(&self.prefix, after, WATCH_WAIT).await? {
                WatchOutcome::Events { events, revision } => {
                    after = after.max(revision);
                    for event in events {
                        if let KeyEvent::Written(item) = event {
                            self.take(&item).await;
                        }
                    }
                }
                WatchOutcome::HistoryGone => return Ok(()),
            }
        }
    }

    /// The kind of a notice and its job.
    fn named<'k>(&self, key: &'k str) -> Option<(NoticeKind, &'k str)> {
        let (text, job) = key.strip_prefix(&self.prefix)?.split_once('/')?;
        let kinds = [NoticeKind::Start, NoticeKind::Cancel, NoticeKind::Fail];
        let kind = kinds.into_iter().find(|kind| label(*kind) == text)?;
        Some((kind, job))
    }

    async fn take(&self, item: &KeyItem) {
        let input = match self.named(&item.key) {
            Some((NoticeKind::Cancel, job)) => LeaderInput::ShareEnded(job.into()),
            Some((NoticeKind::Fail, job)) => LeaderInput::ShareFailed(job.into()),
            Some((NoticeKind::Start, _)) => {
                match serde_json::from_slice::<GraphRecord>(&item.value) {
                    Ok(record) => LeaderInput::Share(Box::new(record)),
                    Err(failure) => {
                        count_unreadable(UnreadableKind::Ledger);
                        error!(key = item.key, failure:% = failure; "a notice is unreadable");
                        return;
                    }
                }
            }
            None => return,
        };
        self.leader.send(input).await;
    }
}
