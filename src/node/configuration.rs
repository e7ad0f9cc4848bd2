//! Loop that keeps the current configuration up to date.

use std::sync::Arc;
use std::time::Duration;

use crate::node::availability::StoreRetry;
use crate::node::keys::{
    KeyEvent, KeyItem, StoreError, UnreadableKind, WatchOutcome, count_unreadable,
};
use crate::node::shared::NodeShared;
use crate::platform::{CONFIG_KEY, CONFIG_PREFIX, decode_config};
use log::{error, info};

/// Name of this loop in the log.
const LOG_NAME: &str = "configuration";
/// Delay before the first retry of a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Follows the configuration in the store.
pub(crate) struct ConfigLoop {
    shared: Arc<NodeShared>,
}

impl ConfigLoop {
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
            let result = match read {
                Ok(after) => self.follow(after, &mut retry).await,
                Err(error) => Err(error),
            };
            if let Err(error) = result {
                self.shared.note_config_read(false);
                self.shared.dependencies.store.failed(LOG_NAME, error);
                retry.pause().await;
            }
        }
    }

    async fn read(&self) -> Result<u64, StoreError> {
        let page = self.shared.store.page(CONFIG_KEY, "").await?;
        self.shared.note_store_answer(LOG_NAME);
        self.shared.note_config_read(true);
        for item in page.items {
            self.apply(&item);
        }
        Ok(page.revision)
    }

    /// Watches until the store has compacted the history.
    async fn follow(&self, mut after: u64, retry: &mut StoreRetry) -> Result<(), StoreError> {
        loop {
            let wait = self.shared.short_watch_wait();
            let watch = self.shared.store.watch(CONFIG_PREFIX, after, wait);
            let Some(outcome) = retry.until_return(watch).await else {
                continue;
            };
            match outcome? {
                WatchOutcome::Events { events, revision, .. } => {
                    self.shared.note_store_answer(LOG_NAME);
                    retry.note_answer();
                    for event in events {
                        match event {
                            KeyEvent::Written(item) => self.apply(&item),
                            KeyEvent::Removed { .. } => {}
                        }
                    }
                    after = after.max(revision);
                }
                WatchOutcome::HistoryGone => {
                    info!("the store has compacted its history: reading the configuration again");
                    return Ok(());
                }
            }
        }
    }

    /// Applies a configuration unless the current one has the same or a later version.
    fn apply(&self, item: &KeyItem) {
        if item.key != CONFIG_KEY {
            return;
        }
        let config = match decode_config(&item.value) {
            Ok(config) => config,
            Err(error) => {
                count_unreadable(UnreadableKind::Configuration);
                error!(error:% = error, revision = item.revision; "unreadable configuration");
                return;
            }
        };
        self.shared.apply_config(config, "store");
    }
}
