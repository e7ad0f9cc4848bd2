//! Jobs in the store: reading them all at a takeover, and storing groups of changes.

pub(crate) mod group_sender;
mod shard_keys;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::future::try_join4;
use log::{error, info, warn};
use serde::de::DeserializeOwned;
use tokio::time::{Instant, sleep};

use crate::graph::{
    CommitGroup, GraphId, GraphProgress, GraphRecord, LeaderEpoch, RestoredState, ShardId,
};
use crate::node::dependency::DependencyLog;
use crate::node::input::GroupOutcome;
use crate::node::keys::{
    KeyItem, KeyTransaction, StoreError, TransactionOutcome, UnreadableKind, count_unreadable,
    epoch_key,
};
use crate::node::ledger::group_sender::GroupSender;
use crate::node::ledger::shard_keys::{ShardKeys, index_key};
use crate::node::shared::NodeShared;
use crate::platform::PlatformStore;

type Result<T> = std::result::Result<T, StoreError>;

/// Name in the log of reading and writing the ledger.
pub(crate) const LEDGER_DUTY: &str = "ledger";
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// A group that took longer is worth a warning: callers wait for it.
const SLOW_GROUP: Duration = Duration::from_millis(500);

/// What the conditions of a leader's groups stand on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct LedgerHead {
    pub(crate) epoch: LeaderEpoch,
    pub(crate) epoch_revision: u64,
    /// Revision of the last group's key; 0 before the first.
    pub(crate) group_revision: u64,
}

/// Why the conditions of a group did not hold.
enum GroupConflict {
    /// An earlier send of it has taken effect.
    Stored,
    /// The leader has another epoch by now, and tries again.
    Renewed,
    /// Other shards have some of its jobs.
    Taken(Vec<GraphId>),
    /// Another leads.
    Deposed,
}

/// Reads and writes jobs for one leader.
#[derive(Clone)]
pub(crate) struct JobLedger {
    keys: ShardKeys,
    store: PlatformStore,
    tries: DependencyLog,
    head: Arc<Mutex<LedgerHead>>,
}

impl JobLedger {
    pub(crate) fn new(
        shared: &NodeShared,
        shard: ShardId,
        epoch: LeaderEpoch,
        epoch_revision: u64,
    ) -> Self {
        let head = LedgerHead { epoch, epoch_revision, group_revision: 0 };
        let (store, tries) = (shared.store.clone(), shared.dependencies.store.clone());
        Self { keys: ShardKeys { shard }, store, tries, head: Arc::new(Mutex::new(head)) }
    }

    /// The same leader goes on under a later epoch.
    pub(crate) fn renew(&self, epoch: LeaderEpoch, epoch_revision: u64) {
        self.change(|head| {
            head.epoch = epoch;
            head.epoch_revision = epoch_revision;
        });
    }

    fn head(&self) -> LedgerHead {
        *self.head.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, change: impl FnOnce(&mut LedgerHead)) {
        change(&mut self.head.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Reads everything. Nobody else can write below the epoch that this leader was given, so the
    /// pages belong together. Both kinds of keys are read at once, since callers wait meanwhile: 740 jobs
    /// took 151 ms one after the other, 112 ms so.
    /// A page may take `time`.
    pub(crate) async fn load(&self, time: Duration) -> Result<RestoredState> {
        let begun = Instant::now();
        let (group_key, workers_key) = (self.keys.group(), self.keys.workers());
        let (records_prefix, progress_prefix) = (self.keys.record(""), self.keys.progress(""));
        let read = try_join4(
            self.store.get(&group_key),
            self.store.get(&workers_key),
            self.all::<GraphRecord>(&records_prefix, time),
            self.all::<GraphProgress>(&progress_prefix, time),
        )
        .await;
        self.tries.tried(LEDGER_DUTY, &read);
        let (group, workers, records, progress) = read?;
        self.change(|head| head.group_revision = group.map_or(0, |item| item.revision));
        let workers = workers.map_or_else(|| Some(Vec::new()), |item| decode(&item));
        let jobs = join(records, progress);
        info!(jobs = jobs.len(), took_ms = begun.elapsed().as_millis() as u64; "ledger read");
        let unknown_workers = workers.is_none();
        Ok(RestoredState { jobs, workers: workers.unwrap_or_default(), unknown_workers })
    }

    /// Reads all values under a prefix; `None` stands for one that is unreadable.
    async fn all<T: DeserializeOwned>(
        &self,
        prefix: &str,
        time: Duration,
    ) -> Result<BTreeMap<String, Option<T>>> {
        let mut found = BTreeMap::new();
        let mut after = String::new();
        loop {
            let page = self.store.page_within(prefix, &after, time).await?;
            for item in &page.items {
                let id = item.key.strip_prefix(prefix).unwrap_or(&item.key);
                found.insert(id.to_owned(), decode(item));
            }
            match page.items.last() {
                Some(last) if page.more => after = last.key.clone(),
                _ => return Ok(found),
            }
        }
    }

    /// Stores a group, however long it takes, or finds that another leads or the store refuses it.
    ///
    /// The group is sent unchanged until it is answered: if a send without an answer took effect, or
    /// still does, the next finds the group's own id in the store.
    pub(crate) async fn store(&self, group: &CommitGroup) -> GroupOutcome {
        let begun = Instant::now();
        let head = self.head();
        let id = format!("{}:{}", head.epoch, group.number);
        let (mut writes, removes) = self.keys.changes(&id, group);
        let mut added = self.keys.indexed(group);
        let mut taken = Vec::new();
        let mut sure = true;
        let outcome = loop {
            let head = self.head();
            let conditions = self.keys.conditions(head, &added);
            let change =
                KeyTransaction { conditions, writes: writes.clone(), removes: removes.clone() };
            match self.sent(&id, &change).await {
                Ok(TransactionOutcome::Done(revision)) => {
                    self.change(|head| head.group_revision = revision);
                    break GroupOutcome::Stored { taken };
                }
                Ok(TransactionOutcome::Conflict(items)) => {
                    match self.conflict(&id, head, &items, &added) {
                        GroupConflict::Stored => break GroupOutcome::Stored { taken },
                        GroupConflict::Deposed => break GroupOutcome::Deposed,
                        GroupConflict::Renewed => sleep(RETRY_PAUSE).await,
                        GroupConflict::Taken(jobs) => {
                            writes
                                .retain(|set| !jobs.iter().any(|job| self.keys.belongs(set, job)));
                            added.retain(|job| !jobs.contains(job));
                            taken.extend(jobs);
                        }
                    }
                }
                Ok(TransactionOutcome::NoLease) => sleep(RETRY_PAUSE).await,
                Err(failure) => {
                    sure &= matches!(failure, StoreError::NotDone(_));
                    if sure {
                        break GroupOutcome::Refused;
                    }
                    sleep(RETRY_PAUSE).await;
                }
            }
        };
        let took = begun.elapsed();
        metrics::histogram!("kelplink_group_seconds").record(took.as_secs_f64());
        if took > SLOW_GROUP {
            warn!(group = id, took_ms = took.as_millis() as u64, outcome:?; "a group took long");
        }
        outcome
    }

    /// Sends a group once.
    async fn sent(&self, id: &str, change: &KeyTransaction) -> Result<TransactionOutcome> {
        let (store, key) = (&self.store, &self.keys.group());
        let result = GroupSender { store, key, id }.send(change).await;
        let tried = match &result {
            Ok(TransactionOutcome::NoLease) => {
                Err(format!("group {id}: it asks for a lease where none is used"))
            }
            Ok(_) => Ok(()),
            Err(failure) => Err(format!("group {id}: {failure}")),
        };
        self.tries.tried(LEDGER_DUTY, &tried);
        result
    }

    /// What a conflict means, where the index keys of the jobs `added` were to be new.
    fn conflict(
        &self,
        id: &str,
        head: LedgerHead,
        items: &[KeyItem],
        added: &[GraphId],
    ) -> GroupConflict {
        let (group_key, epoch_key) = (self.keys.group(), epoch_key(&self.keys.shard));
        let group = items.iter().find(|item| item.key == group_key);
        if let Some(item) = group
            && item.value == id.as_bytes()
        {
            self.change(|head| head.group_revision = item.revision);
            return GroupConflict::Stored;
        }
        let epoch = items.iter().find(|item| item.key == epoch_key).map(|item| item.revision);
        let current = self.head();
        let renewed = current != head || epoch == Some(current.epoch_revision);
        let same_group = group.map_or(0, |item| item.revision) == current.group_revision;
        let known = |job: &&GraphId| items.iter().any(|item| item.key == index_key(job));
        let taken: Vec<GraphId> = added.iter().filter(known).cloned().collect();
        match renewed && same_group {
            true if taken.is_empty() => GroupConflict::Renewed,
            // What stands in the index keeps any earlier send of the whole group from taking effect.
            true => GroupConflict::Taken(taken),
            false => {
                warn!(group = id, epoch = head.epoch; "a group was refused: another leads");
                GroupConflict::Deposed
            }
        }
    }

    /// Reads which shard has a job, where there are several.
    pub(crate) async fn shard_of(store: &PlatformStore, id: &str) -> Result<Option<ShardId>> {
        let item = store.get(&index_key(id)).await?;
        let unreadable = || StoreError::Unknown(format!("the shard of job {id} is unreadable"));
        let name = |item: KeyItem| String::from_utf8(item.value.to_vec()).ok().map(ShardId::from);
        // Only shards with a name are in the index; a value that cannot be read comes empty.
        let name = |item| name(item).filter(|shard| !shard.is_empty());
        item.map(|item| name(item).ok_or_else(unreadable)).transpose()
    }

    /// Reads one job of a shard past its leader.
    pub(crate) async fn job(
        store: &PlatformStore,
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
        Ok(Some((record, progress)))
    }
}

/// Jobs with what has become of them. One of which either is unreadable is left out: taken for a job that
/// has not begun, its tasks would run again.
fn join(
    records: BTreeMap<String, Option<GraphRecord>>,
    mut progress: BTreeMap<String, Option<GraphProgress>>,
) -> Vec<(GraphRecord, GraphProgress)> {
    let mut whole = Vec::with_capacity(records.len());
    for (id, record) in records {
        let progress = progress.remove(&id).unwrap_or_else(|| Some(GraphProgress::default()));
        match record.zip(progress) {
            Some(job) => whole.push(job),
            None => error!(job = id; "a job with an unreadable key is left out"),
        }
    }
    whole
}

fn decode<T: DeserializeOwned>(item: &KeyItem) -> Option<T> {
    let decoded = serde_json::from_slice(&item.value);
    if let Err(failure) = &decoded {
        count_unreadable(UnreadableKind::Ledger);
        error!(key = item.key, failure:% = failure; "a key of the ledger is unreadable");
    }
    decoded.ok()
}
