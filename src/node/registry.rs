//! Loop that follows the registrations of workers while this process leads.
//!
//! Each leader follows the registrations of all workers, so they are followed in batches: otherwise the calls of each
//! leader to the store would grow with the number of workers.

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::time::{Instant, sleep};

use crate::graph::ShardScope;
use crate::id::WorkerId;
use crate::node::input::LeaderInput;
use crate::node::keys::{
    KeyEvent, KeyItem, StoreError, UnreadableKind, WatchOutcome, count_unreadable,
};
use crate::node::shared::NodeShared;
use crate::platform::{REGISTRATION_PREFIX, RegistrationError, decode_registration, worker_of_key};
use crate::ring::RingSender;

/// Name of this loop in the log.
const LOG_NAME: &str = "registrations";
/// Maximum wait of a watch call: a dead connection is noticed after this time and the slack of the watch, within the
/// three seconds that count as a disruption.
const WATCH_WAIT: Duration = Duration::from_millis(2_000);
/// Pause after a batch of changes, for each shard: all leaders together make 40 calls a second at most, however many
/// workers and leaders there are.
const BATCH_PAUSE_PER_SHARD: Duration = Duration::from_millis(25);
/// Longest pause after a batch of changes: a worker that leaves announces it some seconds before.
const MAX_BATCH_PAUSE: Duration = Duration::from_millis(500);
/// Delay before the first retry of a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Follows registrations in the store.
pub(crate) struct RegistryLoop {
    shared: Arc<NodeShared>,
    scope: ShardScope,
    leader: RingSender<LeaderInput>,
    known: BTreeSet<WorkerId>,
    /// Keys with an unreadable registration; each is logged once, when it becomes unreadable.
    unreadable: BTreeSet<String>,
}

impl RegistryLoop {
    pub(crate) fn new(
        shared: Arc<NodeShared>,
        scope: ShardScope,
        leader: RingSender<LeaderInput>,
    ) -> Self {
        Self { shared, scope, leader, known: BTreeSet::new(), unreadable: BTreeSet::new() }
    }

    /// Runs until the leader loop ends.
    pub(crate) async fn run(mut self) {
        let mut retry = self.shared.store_availability.retry(RETRY_PAUSE);
        loop {
            let store = self.shared.dependencies.store.clone();
            let result = match self.read().await {
                Ok(after) => {
                    store.answered(LOG_NAME);
                    retry.note_answer();
                    self.leader.send(LeaderInput::RegistrationsRead).await;
                    self.confirm(Instant::now()).await;
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

    async fn read(&mut self) -> Result<u64, StoreError> {
        let (started, mut pages) = (Instant::now(), 0);
        let mut registered = BTreeSet::new();
        let mut after = String::new();
        let mut revision = None;
        loop {
            let page = self.shared.store.page(REGISTRATION_PREFIX, &after).await?;
            pages += 1;
            // The watch starts at the first page's revision, so it repeats changes made while later pages are read.
            let first = *revision.get_or_insert(page.revision);
            for item in &page.items {
                registered.extend(self.handle_written(item).await);
            }
            match page.items.last() {
                Some(last) if page.more => after = last.key.clone(),
                _ => {
                    let gone: Vec<WorkerId> = self.known.difference(&registered).cloned().collect();
                    let removed = gone.len();
                    for worker in gone {
                        self.handle_removed(worker).await;
                    }
                    let (shard, took_ms) =
                        (&*self.scope.shard, started.elapsed().as_millis() as u64);
                    info!(shard, workers = registered.len(), removed, pages, took_ms; "registrations read");
                    return Ok(first);
                }
            }
        }
    }

    async fn follow(&mut self, mut after: u64) -> Result<(), StoreError> {
        loop {
            match self.shared.store.watch(REGISTRATION_PREFIX, after, WATCH_WAIT).await? {
                WatchOutcome::Events { events, revision } => {
                    let answered = Instant::now();
                    after = after.max(revision);
                    let is_empty = events.is_empty();
                    for event in events {
                        match event {
                            KeyEvent::Written(item) => {
                                self.handle_written(&item).await;
                            }
                            KeyEvent::Removed { key, .. } => {
                                self.unreadable.remove(&key);
                                if let Some(worker) = worker_of_key(&key) {
                                    self.handle_removed(worker).await;
                                }
                            }
                        }
                    }
                    self.confirm(answered).await;
                    if !is_empty {
                        sleep(self.batch_pause()).await;
                    }
                }
                WatchOutcome::HistoryGone => return Ok(()),
            }
        }
    }

    /// Tells the leader that it has all changes until `at`.
    async fn confirm(&self, at: Instant) {
        self.leader.send(LeaderInput::RegistrationsConfirmed(at)).await;
    }

    fn batch_pause(&self) -> Duration {
        let shards = u32::try_from(self.scope.plan.shards().len()).unwrap_or(u32::MAX);
        BATCH_PAUSE_PER_SHARD.saturating_mul(shards).min(MAX_BATCH_PAUSE)
    }

    async fn handle_written(&mut self, item: &KeyItem) -> Option<WorkerId> {
        match decode_registration(item) {
            Ok(registration) => {
                let id = registration.id.clone();
                self.unreadable.remove(&item.key);
                self.known.insert(id.clone());
                let shard = self.scope.plan.shard_of(&registration.domain, &registration.rack);
                let input = match shard == self.scope.shard {
                    true => LeaderInput::Registered(Box::new(registration)),
                    false => LeaderInput::RegisteredElsewhere(shard, Box::new(registration)),
                };
                self.leader.send(input).await;
                Some(id)
            }
            Err(error) => {
                self.handle_unreadable(&item.key, &error).await;
                None
            }
        }
    }

    /// Treats an unreadable registration as removed: what already runs on that worker continues, and nothing new is
    /// started there until the registration is readable again.
    async fn handle_unreadable(&mut self, key: &str, error: &RegistrationError) {
        if self.unreadable.insert(key.to_owned()) {
            count_unreadable(UnreadableKind::Registration);
            warn!(key, error:% = error; "unreadable worker registration");
        }
        if let Some(worker) = worker_of_key(key).filter(|worker| self.known.contains(worker)) {
            self.handle_removed(worker).await;
        }
    }

    async fn handle_removed(&mut self, worker: WorkerId) {
        self.known.remove(&worker);
        self.leader.send(LeaderInput::Unregistered(worker)).await;
    }
}
