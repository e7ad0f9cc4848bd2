//! Ledger of jobs in the store: read as a whole at a takeover, written in groups of changes.

pub(crate) mod group_sender;
#[cfg(test)]
mod read_tests;
mod shard_keys;
#[cfg(test)]
mod tests;
#[cfg(test)]
mod transfer_tests;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join4;
use log::{error, info, warn};
use serde::de::DeserializeOwned;
use tokio::time::{Instant, sleep};

use crate::graph::{
    CommitGroup, GraphId, GraphProgress, GraphRecord, LeaderEpoch, MovedJob, NameHolder,
    RestoredState, ShardId, TakenName,
};
use crate::node::dependency::DependencyLog;
use crate::node::entry_store::EntryStore;
use crate::node::input::GroupOutcome;
use crate::node::keys::{
    KeyItem, KeyTransaction, KeyWrite, StoreError, TransactionOutcome, UnreadableKind,
    count_unreadable, epoch_key,
};
use crate::node::ledger::group_sender::GroupSender;
use crate::node::ledger::shard_keys::{ShardKeys, index_key};
use crate::node::page_timeout::PageTimeout;
use crate::node::shared::NodeShared;
use crate::store::{StoreOutcome, StoreRequest, StoredValue};

type Result<T> = std::result::Result<T, StoreError>;

/// Name of ledger reads and writes in the log.
pub(crate) const LEDGER_LOG_NAME: &str = "ledger";
/// Name of calls about the parts of caps in the log.
const QUOTA_LOG_NAME: &str = "quota";
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Pause before a part of the ledger is asked for again.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Number of tries to read the job that has a name. The group waits meanwhile, and a caller without an answer asks again.
const HOLDER_READ_TRIES: usize = 3;
/// A group that takes longer is logged as a warning, as callers wait for it.
const SLOW_GROUP: Duration = Duration::from_millis(500);

/// Epoch and revisions that the conditions of a leader's next group refer to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct LedgerHead {
    pub(crate) epoch: LeaderEpoch,
    pub(crate) epoch_revision: u64,
    /// Revision of the last group's key; 0 before the first.
    pub(crate) group_revision: u64,
}

/// Why the conditions of a group did not hold.
enum GroupConflict {
    /// An earlier send of the group has taken effect.
    Stored,
    /// The leader continues under a later epoch, and the group is sent again.
    Renewed,
    /// Other shards already have these jobs of the group, or have not given them to this one.
    Taken(Vec<GraphId>),
    /// Another entry leads.
    Deposed,
}

/// Values read under a prefix.
struct RangeRead<T> {
    /// The values by the rest of their keys; an unreadable one is `None`.
    values: BTreeMap<String, Option<T>>,
    /// Number of pages.
    pages: u32,
    /// Number of failed calls for a page, each of which was repeated.
    repeats: u32,
}

/// Reads and writes jobs for one leader.
#[derive(Clone)]
pub(crate) struct JobLedger {
    keys: ShardKeys,
    store: EntryStore,
    dependency_log: DependencyLog,
    head: Arc<Mutex<LedgerHead>>,
    /// Size of the job records and progress read so far.
    read_bytes: Arc<AtomicU64>,
}

impl JobLedger {
    pub(crate) fn new(
        shared: &NodeShared,
        shard: ShardId,
        epoch: LeaderEpoch,
        epoch_revision: u64,
    ) -> Self {
        let head = LedgerHead { epoch, epoch_revision, group_revision: 0 };
        let (store, dependency_log) = (shared.store.clone(), shared.dependencies.store.clone());
        let (head, read_bytes) = (Arc::new(Mutex::new(head)), Arc::default());
        Self { keys: ShardKeys { shard }, store, dependency_log, head, read_bytes }
    }

    /// Continues under a later epoch of the same leader.
    pub(crate) fn renew(&self, epoch: LeaderEpoch, epoch_revision: u64) {
        self.update_head(|head| {
            head.epoch = epoch;
            head.epoch_revision = epoch_revision;
        });
    }

    fn head(&self) -> LedgerHead {
        *self.head.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update_head(&self, change: impl FnOnce(&mut LedgerHead)) {
        change(&mut self.head.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Reads the whole ledger, however often calls fail: what was read before a failure is kept. Only the leader of the
    /// current epoch can write, so the pages are consistent as long as no other entry is elected; the caller gives up the
    /// read then. Job records and progress are read concurrently because callers wait meanwhile: 740 jobs took 112 ms, and
    /// 151 ms when read one kind after the other.
    pub(crate) async fn load(&self) -> RestoredState {
        let started = Instant::now();
        let (group_key, workers_key) = (self.keys.group(), self.keys.workers());
        let (records_prefix, progress_prefix) = (self.keys.record(""), self.keys.progress(""));
        let (group, workers, records, progress) = join4(
            self.read_key(&group_key),
            self.read_key(&workers_key),
            self.read_all::<GraphRecord>(&records_prefix),
            self.read_all::<GraphProgress>(&progress_prefix),
        )
        .await;
        self.update_head(|head| head.group_revision = group.map_or(0, |item| item.revision));
        let workers = workers.map_or_else(|| Some(Vec::new()), |item| decode(&item));
        let (pages, repeats) = (records.pages + progress.pages, records.repeats + progress.repeats);
        let jobs = join(records.values, progress.values);
        let elapsed = started.elapsed();
        metrics::histogram!("kelplink_ledger_read_seconds").record(elapsed.as_secs_f64());
        info!(jobs = jobs.len(), pages, repeats, took_ms = elapsed.as_millis() as u64; "ledger read");
        let unknown_workers = workers.is_none();
        RestoredState { jobs, workers: workers.unwrap_or_default(), unknown_workers }
    }

    /// Reads a key, retrying until the store answers.
    async fn read_key(&self, key: &str) -> Option<KeyItem> {
        loop {
            let read = self.store.get(key).await;
            self.dependency_log.tried(LEDGER_LOG_NAME, &read);
            match read {
                Ok(item) => return item,
                Err(_) => sleep(READ_RETRY_PAUSE).await,
            }
        }
    }

    /// Reads all values under a prefix; an unreadable one is `None`. A page that is not answered is asked for again with
    /// twice the timeout, and the pages before it are kept: when the read began again instead, a leader on a link of 10
    /// Mbit/s had not read 1,615 jobs after 17 s.
    async fn read_all<T: DeserializeOwned>(&self, prefix: &str) -> RangeRead<T> {
        let mut range = RangeRead { values: BTreeMap::new(), pages: 0, repeats: 0 };
        let mut page_timeout = PageTimeout::new();
        let mut after = String::new();
        loop {
            let read = self.store.page_within(prefix, &after, page_timeout.current()).await;
            self.dependency_log.tried(LEDGER_LOG_NAME, &read);
            let page = match read {
                Ok(page) => page,
                Err(failure) => {
                    page_timeout.note_failure(&failure);
                    range.repeats += 1;
                    metrics::counter!("kelplink_ledger_page_repeats_total").increment(1);
                    sleep(READ_RETRY_PAUSE).await;
                    continue;
                }
            };
            range.pages += 1;
            for item in &page.items {
                let id = item.key.strip_prefix(prefix).unwrap_or(&item.key);
                self.read_bytes.fetch_add(item.value.len() as u64, Ordering::Relaxed);
                range.values.insert(id.to_owned(), decode(item));
            }
            match page.items.last() {
                Some(last) if page.more => after = last.key.clone(),
                _ => return range,
            }
        }
    }

    /// Reports what was read for a takeover, including reads that were repeated.
    pub(crate) fn report_load(&self, state: &RestoredState) {
        let bytes = self.read_bytes.load(Ordering::Relaxed);
        let compacted = state.jobs.iter().filter(|(record, _)| record.is_compacted()).count();
        info!(bytes, jobs = state.jobs.len(), compacted; "jobs read for a takeover");
        metrics::gauge!("kelplink_takeover_bytes").set(bytes as f64);
        metrics::gauge!("kelplink_takeover_jobs").set(state.jobs.len() as f64);
    }

    /// Stores a group, retrying until it is stored, another entry leads, or the store has refused it.
    ///
    /// The group is sent unchanged until it is answered: if an unanswered send took effect, or still does, the next one
    /// finds the group's id in the store.
    pub(crate) async fn store(&self, group: &CommitGroup) -> GroupOutcome {
        let started = Instant::now();
        let head = self.head();
        let id = format!("{}:{}", head.epoch, group.number);
        let (mut writes, mut removes) = self.keys.changes(&id, group);
        let mut added = self.keys.jobs_to_index(group);
        let arriving = group.arriving.iter();
        let mut arriving: Vec<(GraphId, u64)> =
            arriving.map(|job| (job.id().clone(), job.notice_revision)).collect();
        let mut taken = Vec::new();
        let mut all_not_done = true;
        let outcome = loop {
            let head = self.head();
            let conditions = self.keys.conditions(head, &added, &arriving);
            let change =
                KeyTransaction { conditions, writes: writes.clone(), removes: removes.clone() };
            match self.send_once(&id, &change).await {
                Ok(TransactionOutcome::Done(revision)) => {
                    self.update_head(|head| head.group_revision = revision);
                    break GroupOutcome::Stored { taken };
                }
                Ok(TransactionOutcome::Conflict(items)) => {
                    match self.conflict(&id, head, &items, (&added, &arriving)) {
                        GroupConflict::Stored => break GroupOutcome::Stored { taken },
                        GroupConflict::Deposed => break GroupOutcome::Deposed,
                        GroupConflict::Renewed => sleep(RETRY_PAUSE).await,
                        GroupConflict::Taken(jobs) => {
                            writes.retain(|write| {
                                !jobs.iter().any(|job| self.keys.is_of_job(write, job))
                            });
                            added.retain(|job| !jobs.contains(job));
                            removes.retain(|key| {
                                !jobs.iter().any(|job| *key == self.keys.arrival_notice(job))
                            });
                            arriving.retain(|(job, _)| !jobs.contains(job));
                            for job in jobs {
                                let holder = self.read_holder(&job).await;
                                taken.push(TakenName { job, holder });
                            }
                        }
                    }
                }
                Ok(TransactionOutcome::NoLease) => sleep(RETRY_PAUSE).await,
                // No earlier send of the same group can have taken effect either.
                Err(StoreError::Invalid(reason)) => {
                    error!(group = id, reason; "the store rejects a group");
                    break GroupOutcome::Refused;
                }
                Err(failure) => {
                    all_not_done &= matches!(failure, StoreError::NotDone(_));
                    if all_not_done {
                        break GroupOutcome::Refused;
                    }
                    sleep(RETRY_PAUSE).await;
                }
            }
        };
        let elapsed = started.elapsed();
        metrics::histogram!("kelplink_group_seconds").record(elapsed.as_secs_f64());
        if elapsed > SLOW_GROUP {
            warn!(group = id, took_ms = elapsed.as_millis() as u64, outcome:?; "storing a group took long");
        }
        outcome
    }

    /// Reads from the store who submitted the job that another shard has under a name.
    async fn read_holder(&self, job: &GraphId) -> NameHolder {
        for _ in 0..HOLDER_READ_TRIES {
            let read = self.read_indexed(job).await;
            self.dependency_log.tried(LEDGER_LOG_NAME, &read);
            match read {
                Ok(Some(record)) => return NameHolder::of(&record),
                Ok(None) => return NameHolder::Unknown,
                Err(_) => sleep(RETRY_PAUSE).await,
            }
        }
        NameHolder::Unknown
    }

    /// Reads the record of a job that is in the index.
    async fn read_indexed(&self, job: &GraphId) -> Result<Option<GraphRecord>> {
        let Some(shard) = Self::shard_of(&self.store, job).await? else {
            return Ok(None);
        };
        let stored = Self::job(&self.store, &shard, job).await?;
        Ok(stored.map(|(record, _)| record))
    }

    /// Reads or writes the parts of caps, a write only while this leader's epoch is the current one.
    pub(crate) async fn call_quota(&self, request: &StoreRequest) -> StoreOutcome {
        let result = match request {
            StoreRequest::Read { key } => self.read_quota(key).await,
            StoreRequest::Swap { key, expected, value } => {
                let epoch = (epoch_key(&self.keys.shard), self.head().epoch_revision);
                let write =
                    KeyWrite { key: key.clone(), value: Bytes::from(value.clone()), lease: None };
                let change = KeyTransaction {
                    conditions: vec![epoch, (key.clone(), *expected)],
                    writes: vec![write],
                    removes: Vec::new(),
                };
                self.store.transact(&change).await.map(|outcome| match outcome {
                    TransactionOutcome::Done(revision) => StoreOutcome::Written(revision),
                    TransactionOutcome::Conflict(_) | TransactionOutcome::NoLease => {
                        StoreOutcome::Conflict
                    }
                })
            }
        };
        self.dependency_log.tried(QUOTA_LOG_NAME, &result);
        result.unwrap_or_else(|failure| match failure {
            StoreError::NotDone(_) | StoreError::Invalid(_) => StoreOutcome::Unavailable,
            StoreError::Unknown(_) => StoreOutcome::Unknown,
        })
    }

    async fn read_quota(&self, key: &str) -> Result<StoreOutcome> {
        let Some(item) = self.store.get(key).await? else {
            return Ok(StoreOutcome::Missing);
        };
        let value = String::from_utf8_lossy(&item.value).into_owned();
        Ok(StoreOutcome::Found(StoredValue { version: item.revision, value }))
    }

    /// Sends a group once.
    async fn send_once(&self, id: &str, change: &KeyTransaction) -> Result<TransactionOutcome> {
        let (store, key) = (&self.store, &self.keys.group());
        let result = GroupSender { store, key, id }.send(change).await;
        let tried = match &result {
            Ok(TransactionOutcome::NoLease) => Err(format!(
                "group {id}: the store reported an ended lease, but the group uses none"
            )),
            Ok(_) => Ok(()),
            Err(failure) => Err(format!("group {id}: {failure}")),
        };
        self.dependency_log.tried(LEDGER_LOG_NAME, &tried);
        result
    }

    /// Returns the cause of a conflict of a group whose `added` jobs must not be in the index yet, while the notices of its
    /// `arriving` jobs must be there.
    fn conflict(
        &self,
        id: &str,
        head: LedgerHead,
        items: &[KeyItem],
        (added, arriving): (&[GraphId], &[(GraphId, u64)]),
    ) -> GroupConflict {
        let (group_key, epoch_key) = (self.keys.group(), epoch_key(&self.keys.shard));
        let group = items.iter().find(|item| item.key == group_key);
        if let Some(item) = group
            && item.value == id.as_bytes()
        {
            self.update_head(|head| head.group_revision = item.revision);
            return GroupConflict::Stored;
        }
        let epoch = items.iter().find(|item| item.key == epoch_key).map(|item| item.revision);
        let current = self.head();
        let still_leads = current != head || epoch == Some(current.epoch_revision);
        let same_group = group.map_or(0, |item| item.revision) == current.group_revision;
        let is_indexed = |job: &&GraphId| items.iter().any(|item| item.key == index_key(job));
        let is_withdrawn = |(job, revision): &&(GraphId, u64)| {
            let key = self.keys.arrival_notice(job);
            !items.iter().any(|item| item.key == key && item.revision == *revision)
        };
        let withdrawn = arriving.iter().filter(is_withdrawn).map(|(job, _)| job.clone());
        let taken: Vec<GraphId> =
            added.iter().filter(is_indexed).cloned().chain(withdrawn).collect();
        match still_leads && same_group {
            true if taken.is_empty() => GroupConflict::Renewed,
            // The existing index keys also keep any earlier send of the group from taking effect.
            true => GroupConflict::Taken(taken),
            false => {
                warn!(group = id, epoch = head.epoch; "a group was refused: another entry leads");
                GroupConflict::Deposed
            }
        }
    }

    /// Reads from the index which shard has a job; only deployments with several shards have an index.
    pub(crate) async fn shard_of(store: &EntryStore, id: &str) -> Result<Option<ShardId>> {
        let item = store.get(&index_key(id)).await?;
        let unreadable = || StoreError::Unknown(format!("the shard of job {id} is unreadable"));
        let name = |item: KeyItem| String::from_utf8(item.value.to_vec()).ok().map(ShardId::from);
        // Only named shards are in the index; an unreadable value is returned as empty.
        let name = |item| name(item).filter(|shard| !shard.is_empty());
        item.map(|item| name(item).ok_or_else(unreadable)).transpose()
    }

    /// Reads a job that is on its way to a shard directly from the store.
    pub(crate) async fn moved_job(
        store: &EntryStore,
        shard: &ShardId,
        id: &GraphId,
    ) -> Result<Option<MovedJob>> {
        let keys = ShardKeys { shard: shard.clone() };
        let unreadable = || StoreError::Unknown(format!("the notice of job {id} is unreadable"));
        let notice = store.get(&keys.arrival_notice(id)).await?;
        notice.map(|item| decode(&item).ok_or_else(unreadable)).transpose()
    }

    /// Reads one job of a shard directly from the store, without its leader.
    pub(crate) async fn job(
        store: &EntryStore,
        shard: &ShardId,
        id: &str,
    ) -> Result<Option<(GraphRecord, GraphProgress)>> {
        let keys = ShardKeys { shard: shard.clone() };
        let unreadable = || StoreError::Unknown(format!("job {id} is unreadable"));
        let Some(record) = store.get(&keys.record(id)).await? else {
            return Ok(None);
        };
        let record = decode(&record).ok_or_else(unreadable)?;
        let progress = match store.get(&keys.progress(id)).await? {
            Some(progress) => decode(&progress).ok_or_else(unreadable)?,
            None => GraphProgress::default(),
        };
        let stored = Some((record, progress));
        // A compacted record without progress is that of a job which was removed between the two reads.
        Ok(stored.filter(has_evidence))
    }
}

/// Whether a job has steps or a verdict; without both nothing is known about it.
fn has_evidence((record, progress): &(GraphRecord, GraphProgress)) -> bool {
    !record.is_compacted() || progress.verdict.is_some()
}

/// Joins job records with their progress. A job with an unreadable record or progress is left out: treated as not
/// started, it would run its tasks again.
fn join(
    records: BTreeMap<String, Option<GraphRecord>>,
    mut progress: BTreeMap<String, Option<GraphProgress>>,
) -> Vec<(GraphRecord, GraphProgress)> {
    let mut complete = Vec::with_capacity(records.len());
    for (id, record) in records {
        let progress = progress.remove(&id).unwrap_or_else(|| Some(GraphProgress::default()));
        match record.zip(progress).filter(has_evidence) {
            Some(job) => complete.push(job),
            None => error!(job = id; "skipping a job with an unreadable key"),
        }
    }
    complete
}

fn decode<T: DeserializeOwned>(item: &KeyItem) -> Option<T> {
    let decoded = serde_json::from_slice(&item.value);
    if let Err(failure) = &decoded {
        count_unreadable(UnreadableKind::Ledger);
        error!(key = item.key, failure:% = failure; "unreadable ledger key");
    }
    decoded.ok()
}
