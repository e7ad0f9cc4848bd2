//! Jobs in the store: reading them all at a takeover, and storing groups of changes.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::try_join4;
use log::{error, info, warn};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, sleep};

use crate::graph::{CommitGroup, GraphProgress, GraphRecord, LeaderEpoch, LeaderState};
use crate::node::dependency::DependencyLog;
use crate::node::input::GroupOutcome;
use crate::node::keys::{
    EPOCH_KEY, KeyItem, KeySet, KeyTransaction, StoreError, TransactionOutcome, UnreadableKind,
    count_unreadable,
};
use crate::node::shared::NodeShared;
use crate::platform::PlatformStore;

type Result<T> = std::result::Result<T, StoreError>;

/// Name in the log of reading and writing the ledger.
pub(crate) const LEDGER_DUTY: &str = "ledger";
/// Prefix of jobs as they were submitted.
const RECORD_PREFIX: &str = "j/";
/// Prefix of what has become of jobs.
const PROGRESS_PREFIX: &str = "p/";
/// Id of the last group; not under the prefix that entries watch.
const GROUP_KEY: &str = "l/group";
/// Workers that may run something.
const WORKERS_KEY: &str = "l/workers";
/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// A group that took longer is worth a warning: callers wait for it.
const SLOW_GROUP: Duration = Duration::from_millis(500);

/// What the conditions of a leader's groups stand on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct LedgerStand {
    pub(crate) epoch: LeaderEpoch,
    pub(crate) epoch_revision: u64,
    /// Revision of the last group's key; 0 before the first.
    pub(crate) group_revision: u64,
}

/// Reads and writes jobs for one leader.
#[derive(Clone)]
pub(crate) struct JobLedger {
    store: PlatformStore,
    tries: DependencyLog,
    stand: Arc<Mutex<LedgerStand>>,
}

impl JobLedger {
    pub(crate) fn new(shared: &NodeShared, epoch: LeaderEpoch, epoch_revision: u64) -> Self {
        let stand = LedgerStand { epoch, epoch_revision, group_revision: 0 };
        let (store, tries) = (shared.store.clone(), shared.dependencies.store.clone());
        Self { store, tries, stand: Arc::new(Mutex::new(stand)) }
    }

    /// The same leader goes on under a later epoch.
    pub(crate) fn renew(&self, epoch: LeaderEpoch, epoch_revision: u64) {
        self.change(|stand| {
            stand.epoch = epoch;
            stand.epoch_revision = epoch_revision;
        });
    }

    fn stand(&self) -> LedgerStand {
        *self.stand.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, change: impl FnOnce(&mut LedgerStand)) {
        change(&mut self.stand.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Reads everything. Nobody else can write below the epoch that this leader was given, so the
    /// pages belong together. Both kinds of keys are read at once, since callers wait meanwhile: 740 jobs
    /// took 151 ms one after the other, 112 ms so.
    pub(crate) async fn load(&self) -> Result<LeaderState> {
        let begun = Instant::now();
        let read = try_join4(
            self.store.get(GROUP_KEY),
            self.store.get(WORKERS_KEY),
            self.all::<GraphRecord>(RECORD_PREFIX),
            self.all::<GraphProgress>(PROGRESS_PREFIX),
        )
        .await;
        self.tries.tried(LEDGER_DUTY, &read);
        let (group, workers, records, progress) = read?;
        self.change(|stand| stand.group_revision = group.map_or(0, |item| item.revision));
        let workers = workers.map_or_else(|| Some(Vec::new()), |item| decode(&item));
        let jobs = join(records, progress);
        info!(jobs = jobs.len(), took_ms = begun.elapsed().as_millis() as u64; "ledger read");
        let unknown_workers = workers.is_none();
        Ok(LeaderState { jobs, workers: workers.unwrap_or_default(), unknown_workers })
    }

    /// Reads all values under a prefix; `None` stands for one that is unreadable.
    async fn all<T: DeserializeOwned>(&self, prefix: &str) -> Result<BTreeMap<String, Option<T>>> {
        let mut found = BTreeMap::new();
        let mut after = String::new();
        loop {
            let page = self.store.page(prefix, &after).await?;
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
        let stand = self.stand();
        let id = format!("{}:{}", stand.epoch, group.number);
        let (sets, removes) = changes(&id, group);
        let mut sure = true;
        let outcome = loop {
            let stand = self.stand();
            let change = KeyTransaction {
                conditions: vec![
                    (EPOCH_KEY.to_owned(), stand.epoch_revision),
                    (GROUP_KEY.to_owned(), stand.group_revision),
                ],
                sets: sets.clone(),
                removes: removes.clone(),
            };
            match self.sent(&id, &change).await {
                Ok(TransactionOutcome::Done(revision)) => {
                    self.change(|stand| stand.group_revision = revision);
                    break GroupOutcome::Stored;
                }
                Ok(TransactionOutcome::Conflict(items)) => {
                    match self.conflict(&id, stand, &items) {
                        Some(outcome) => break outcome,
                        None => sleep(RETRY_PAUSE).await,
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
        let result = self.store.transact(change).await;
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

    /// What a conflict means; `None` where the leader has another epoch by now and tries again.
    fn conflict(&self, id: &str, stand: LedgerStand, items: &[KeyItem]) -> Option<GroupOutcome> {
        let group = items.iter().find(|item| item.key == GROUP_KEY);
        if let Some(item) = group
            && item.value == id.as_bytes()
        {
            self.change(|stand| stand.group_revision = item.revision);
            return Some(GroupOutcome::Stored);
        }
        let epoch = items.iter().find(|item| item.key == EPOCH_KEY).map(|item| item.revision);
        let current = self.stand();
        let renewed = current != stand || epoch == Some(current.epoch_revision);
        let same_group = group.map_or(0, |item| item.revision) == current.group_revision;
        if renewed && same_group {
            return None;
        }
        warn!(group = id, epoch = stand.epoch; "a group was refused: another leads");
        Some(GroupOutcome::Deposed)
    }

    /// Reads one job past the leader.
    pub(crate) async fn job(
        store: &PlatformStore,
        id: &str,
    ) -> Result<Option<(GraphRecord, GraphProgress)>> {
        let unreadable = || StoreError::Unknown(format!("job {id} is unreadable"));
        let Some(record) = store.get(&format!("{RECORD_PREFIX}{id}")).await? else {
            return Ok(None);
        };
        let record = decode(&record).ok_or_else(unreadable)?;
        let progress = match store.get(&format!("{PROGRESS_PREFIX}{id}")).await? {
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

fn changes(id: &str, group: &CommitGroup) -> (Vec<KeySet>, Vec<String>) {
    let mut sets = vec![set(GROUP_KEY.to_owned(), Bytes::from(id.to_owned()))];
    for record in &group.added {
        sets.push(set(format!("{RECORD_PREFIX}{}", record.spec.id), encode(record)));
    }
    for (id, progress) in &group.progress {
        sets.push(set(format!("{PROGRESS_PREFIX}{id}"), encode(progress)));
    }
    if let Some(workers) = &group.workers {
        sets.push(set(WORKERS_KEY.to_owned(), encode(workers)));
    }
    let keys = |id: &crate::graph::GraphId| {
        [format!("{RECORD_PREFIX}{id}"), format!("{PROGRESS_PREFIX}{id}")]
    };
    (sets, group.removed.iter().flat_map(keys).collect())
}

fn set(key: String, value: Bytes) -> KeySet {
    KeySet { key, value, lease: None }
}

fn encode<T: Serialize>(value: &T) -> Bytes {
    match serde_json::to_vec(value) {
        Ok(bytes) => Bytes::from(bytes),
        Err(failure) => {
            error!(failure:% = failure; "a value could not be encoded");
            Bytes::new()
        }
    }
}

fn decode<T: DeserializeOwned>(item: &KeyItem) -> Option<T> {
    let decoded = serde_json::from_slice(&item.value);
    if let Err(failure) = &decoded {
        count_unreadable(UnreadableKind::Ledger);
        error!(key = item.key, failure:% = failure; "a key of the ledger is unreadable");
    }
    decoded.ok()
}
