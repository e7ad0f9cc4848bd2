//! Loop that follows the registrations of workers while this process leads.
//!
//! Each leader follows the registrations of all workers, so they are followed in batches: otherwise the calls of each
//! leader to the store would grow with the number of workers.

mod phase;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
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
use crate::node::registry::phase::{RegistryPhase, RegistryRead, RegistryWatch};
use crate::node::shared::NodeShared;
use crate::platform::{REGISTRATION_PREFIX, RegistrationError, decode_registration, worker_of_key};
use crate::ring::RingSender;

type Result<T> = std::result::Result<T, StoreError>;

/// Name of this loop in the log.
const LOG_NAME: &str = "registrations";
/// Number of watch calls within the notice of a leaving worker where nothing changes: a dead connection is noticed after
/// the wait and the slack of one.
const WATCHES_PER_NOTICE: u32 = 4;
/// Longest wait of a watch call.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(2_000);
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
    /// Registered workers with the revisions of their registrations.
    known: BTreeMap<WorkerId, u64>,
    /// Keys with an unreadable registration; each is logged once, when it becomes unreadable.
    unreadable: BTreeSet<String>,
}

impl RegistryLoop {
    pub(crate) fn new(
        shared: Arc<NodeShared>,
        scope: ShardScope,
        leader: RingSender<LeaderInput>,
    ) -> Self {
        Self { shared, scope, leader, known: BTreeMap::new(), unreadable: BTreeSet::new() }
    }

    /// Runs until the leader loop ends.
    pub(crate) async fn run(mut self) {
        let mut retry = self.shared.store_availability.retry(RETRY_PAUSE);
        let store = self.shared.dependencies.store.clone();
        let mut phase = RegistryPhase::reading();
        loop {
            let result = match &mut phase {
                RegistryPhase::Reading(read) => self.read_page(read).await,
                RegistryPhase::Following(watch) => self.follow(watch).await,
            };
            match result {
                Ok(next) => {
                    store.answered(LOG_NAME);
                    retry.note_answer();
                    phase = next.unwrap_or(phase);
                }
                Err(error) => {
                    phase = phase.after_failure(&error);
                    store.failed(LOG_NAME, error);
                    retry.pause().await;
                }
            }
        }
    }

    /// Reads the next page; returns the next phase after the last one.
    async fn read_page(&mut self, read: &mut RegistryRead) -> Result<Option<RegistryPhase>> {
        let timeout = read.page_timeout.current();
        let page =
            self.shared.store.page_within(REGISTRATION_PREFIX, &read.last_key, timeout).await?;
        let (revision, answered) = *read.first.get_or_insert((page.revision, Instant::now()));
        read.pages += 1;
        for item in &page.items {
            read.registered.extend(self.handle_written(item).await);
        }
        match page.items.last() {
            Some(last) if page.more => {
                read.last_key = last.key.clone();
                Ok(None)
            }
            _ => {
                self.finish_read(read).await;
                self.confirm(answered).await;
                Ok(Some(RegistryPhase::following(revision)))
            }
        }
    }

    async fn finish_read(&mut self, read: &RegistryRead) {
        let known = self.known.keys();
        let gone = known.filter(|worker| !read.registered.contains(*worker)).cloned();
        let gone: Vec<WorkerId> = gone.collect();
        let (workers, removed, pages) = (read.registered.len(), gone.len(), read.pages);
        let (shard, took_ms) = (&*self.scope.shard, read.started.elapsed().as_millis() as u64);
        info!(shard, workers, removed, pages, took_ms; "registrations read");
        for worker in gone {
            self.handle_removed(worker).await;
        }
        self.leader.send(LeaderInput::RegistrationsRead).await;
    }

    /// Passes on the changes that a watch reports; returns the next phase if they are no longer known.
    async fn follow(&mut self, watch: &mut RegistryWatch) -> Result<Option<RegistryPhase>> {
        let wait = (self.shared.settings.leave_notice / WATCHES_PER_NOTICE).min(MAX_WATCH_WAIT);
        let outcome = self.shared.store.watch(REGISTRATION_PREFIX, watch.revision, wait).await?;
        let WatchOutcome::Events { events, revision, has_more } = outcome else {
            return Ok(Some(RegistryPhase::reading()));
        };
        let answered = Instant::now();
        let is_empty = events.is_empty();
        for event in latest_events(events) {
            self.handle_event(event).await;
        }
        *watch = RegistryWatch { revision: revision.max(watch.revision), unanswered: 0 };
        if has_more {
            metrics::counter!("kelplink_partial_registration_answers_total").increment(1);
            return Ok(None);
        }
        self.confirm(answered).await;
        if !is_empty {
            sleep(self.batch_pause()).await;
        }
        Ok(None)
    }

    async fn handle_event(&mut self, event: KeyEvent) {
        match event {
            KeyEvent::Written(item) => {
                self.handle_written(&item).await;
            }
            KeyEvent::Removed { key, revision } if !self.is_outdated(&key, revision) => {
                self.unreadable.remove(&key);
                if let Some(worker) = worker_of_key(&key) {
                    self.handle_removed(worker).await;
                }
            }
            KeyEvent::Removed { .. } => {}
        }
    }

    /// Whether a later registration than that of this revision is known. The watch repeats changes that were made
    /// before a page was read: taken for the latest, one made a worker that leaves one that takes work.
    fn is_outdated(&self, key: &str, revision: u64) -> bool {
        let known = worker_of_key(key).and_then(|worker| self.known.get(&worker).copied());
        known.is_some_and(|known| revision < known)
    }

    /// Tells the leader that it has all changes until `at`.
    async fn confirm(&self, at: Instant) {
        self.leader.send(LeaderInput::RegistrationsConfirmed(at)).await;
    }

    fn batch_pause(&self) -> Duration {
        let shards = u32::try_from(self.scope.plan.shards().len()).unwrap_or(u32::MAX);
        BATCH_PAUSE_PER_SHARD.saturating_mul(shards).min(MAX_BATCH_PAUSE)
    }

    /// Passes on a registration; returns its worker if it is readable.
    async fn handle_written(&mut self, item: &KeyItem) -> Option<WorkerId> {
        if self.is_outdated(&item.key, item.revision) {
            return worker_of_key(&item.key);
        }
        match decode_registration(item) {
            Ok(registration) => {
                let id = registration.id.clone();
                self.unreadable.remove(&item.key);
                self.known.insert(id.clone(), item.revision);
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
        if let Some(worker) = worker_of_key(key).filter(|worker| self.known.contains_key(worker)) {
            self.handle_removed(worker).await;
        }
    }

    async fn handle_removed(&mut self, worker: WorkerId) {
        self.known.remove(&worker);
        self.leader.send(LeaderInput::Unregistered(worker)).await;
    }
}

/// The last event of each key, in order: what an earlier one says is no longer true.
fn latest_events(events: Vec<KeyEvent>) -> Vec<KeyEvent> {
    let mut seen = BTreeSet::new();
    let mut latest: Vec<KeyEvent> =
        events.into_iter().rev().filter(|event| seen.insert(event.key().to_owned())).collect();
    latest.reverse();
    latest
}
