//! The duty of following which workers are registered, while this process leads.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use log::warn;
use tokio::time::sleep;

use crate::id::WorkerId;
use crate::node::keys::{KeyEvent, KeyItem, StoreError, WatchOutcome};
use crate::node::leader::LeaderInput;
use crate::node::shared::NodeShared;
use crate::platform::{REGISTRATION_PREFIX, decode_registration, worker_of_key};
use crate::ring::RingSender;

/// This duty's name in the log.
const DUTY: &str = "registrations";
/// Longest wait of a watch: a connection that has gone silent is noticed after it and the watch's
/// slack, within the three seconds that count as a disruption.
const WATCH_WAIT: Duration = Duration::from_millis(2_000);
/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Follows registrations in the store.
pub(crate) struct RegistryDuty {
    shared: Arc<NodeShared>,
    leader: RingSender<LeaderInput>,
    known: BTreeSet<WorkerId>,
}

impl RegistryDuty {
    pub(crate) fn new(shared: Arc<NodeShared>, leader: RingSender<LeaderInput>) -> Self {
        Self { shared, leader, known: BTreeSet::new() }
    }

    /// Runs until the leader's duty has ended.
    pub(crate) async fn run(mut self) {
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

    async fn read(&mut self) -> Result<u64, StoreError> {
        let mut listed = BTreeSet::new();
        let mut after = String::new();
        let mut revision = None;
        loop {
            let page = self.shared.store.page(REGISTRATION_PREFIX, &after).await?;
            // Changes since the first page are seen again by the watch.
            let first = *revision.get_or_insert(page.revision);
            for item in &page.items {
                listed.extend(self.written(item).await);
            }
            match page.items.last() {
                Some(last) if page.more => after = last.key.clone(),
                _ => {
                    let gone: Vec<WorkerId> = self.known.difference(&listed).cloned().collect();
                    for worker in gone {
                        self.removed(worker).await;
                    }
                    return Ok(first);
                }
            }
        }
    }

    async fn follow(&mut self, mut after: u64) -> Result<(), StoreError> {
        loop {
            match self.shared.store.watch(REGISTRATION_PREFIX, after, WATCH_WAIT).await? {
                WatchOutcome::Events { events, revision } => {
                    after = after.max(revision);
                    for event in events {
                        match event {
                            KeyEvent::Written(item) => {
                                self.written(&item).await;
                            }
                            KeyEvent::Removed(key) => {
                                if let Some(worker) = worker_of_key(&key) {
                                    self.removed(worker).await;
                                }
                            }
                        }
                    }
                }
                WatchOutcome::HistoryGone => return Ok(()),
            }
        }
    }

    async fn written(&mut self, item: &KeyItem) -> Option<WorkerId> {
        let listing = match decode_registration(item) {
            Ok(listing) => listing,
            Err(reason) => {
                warn!(reason; "a registration is unreadable");
                return None;
            }
        };
        let id = listing.id.clone();
        self.known.insert(id.clone());
        self.leader.send(LeaderInput::Listed(Box::new(listing))).await;
        Some(id)
    }

    async fn removed(&mut self, worker: WorkerId) {
        self.known.remove(&worker);
        self.leader.send(LeaderInput::Unlisted(worker)).await;
    }
}
