//! Loop that keeps the current configuration up to date.

use std::sync::Arc;
use std::time::Duration;

use log::{error, info};
use tokio::time::sleep;

use crate::node::keys::{
    KeyEvent, KeyItem, StoreError, UnreadableKind, WatchOutcome, count_unreadable,
};
use crate::node::shared::NodeShared;
use crate::platform::{CONFIG_KEY, CONFIG_PREFIX, decode_config};

/// Name of this loop in the log.
const LOG_NAME: &str = "configuration";
/// Maximum wait of a watch call: a dead connection is noticed after this time and the slack of the watch, within the
/// three seconds that count as a disruption.
const WATCH_WAIT: Duration = Duration::from_millis(2_000);
/// Pause after a failed call.
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
        loop {
            let after = match self.read().await {
                Ok(after) => after,
                Err(error) => {
                    self.shared.note_config_read(false);
                    self.shared.dependencies.store.failed(LOG_NAME, error);
                    sleep(RETRY_PAUSE).await;
                    continue;
                }
            };
            self.follow(after).await;
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

    /// Watches until the store has compacted the history or a call fails.
    async fn follow(&self, mut after: u64) {
        loop {
            match self.shared.store.watch(CONFIG_PREFIX, after, WATCH_WAIT).await {
                Ok(WatchOutcome::Events { events, revision }) => {
                    self.shared.note_store_answer(LOG_NAME);
                    for event in events {
                        match event {
                            KeyEvent::Written(item) => self.apply(&item),
                            KeyEvent::Removed { .. } => {}
                        }
                    }
                    after = after.max(revision);
                }
                Ok(WatchOutcome::HistoryGone) => {
                    info!("the store has compacted its history: reading the configuration again");
                    return;
                }
                Err(error) => {
                    self.shared.note_config_read(false);
                    self.shared.dependencies.store.failed(LOG_NAME, error);
                    sleep(RETRY_PAUSE).await;
                    return;
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
