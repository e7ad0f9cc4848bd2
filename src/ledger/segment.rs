//! Values that the ledger writes to the store.

use serde::{Deserialize, Serialize};

use crate::id::{DomainId, UnixMillis};
use crate::job::JobRecord;
use crate::token::FencingToken;

/// An answer that is kept and replayed to repeated requests.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Content type, if there was one.
    pub content_type: Option<String>,
    /// Body as text; only text bodies up to a size limit are kept.
    pub body: String,
}

/// What is known about a request that must run at most once.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyState {
    /// The request may be running or have run.
    Started,
    /// The request certainly did not run; the key may be used again.
    NotRun,
    /// The request ran, and this was the answer.
    Answered(StoredAnswer),
    /// The request ran, and its answer could not be stored.
    Ended,
}

/// The key of a request that is not idempotent.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct KeyRecord {
    /// Service and key.
    pub id: String,
    /// Digest of the request, which detects the use of one key for two different requests.
    pub digest: String,
    /// The reservation whose holder may report the outcome of the request.
    pub holder: String,
    /// What is known about the request.
    pub state: KeyState,
    /// When the key was first seen.
    pub accepted: UnixMillis,
}

impl KeyRecord {
    /// Merges two records of one key. A record of a request that certainly ran takes precedence, then
    /// one of a request that may have run.
    pub(crate) fn merge(self, other: Self) -> Self {
        let rank = |record: &Self| match record.state {
            KeyState::Answered(_) => 3,
            KeyState::Ended => 2,
            KeyState::Started => 1,
            KeyState::NotRun => 0,
        };
        match rank(&self) >= rank(&other) {
            true => self,
            false => other,
        }
    }
}

/// One entry of the ledger.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LedgerRecord {
    /// A job.
    Job(JobRecord),
    /// A request key.
    Key(KeyRecord),
    /// Jobs of another failure domain were taken over under this epoch of its lease.
    Taken {
        /// The other failure domain.
        domain: DomainId,
        /// The epoch; leaders of that domain with a lower one must not continue such jobs.
        epoch: u64,
    },
    /// The record with this name was removed.
    Gone(String),
}

impl LedgerRecord {
    /// Name under which later records replace earlier ones.
    pub fn name(&self) -> String {
        match self {
            Self::Job(record) => job_name(&record.spec.id),
            Self::Key(record) => key_name(&record.id),
            Self::Taken { domain, .. } => taken_name(domain),
            Self::Gone(name) => name.clone(),
        }
    }
}

/// Name of a job's record.
pub(crate) fn job_name(id: &str) -> String {
    format!("j/{id}")
}

/// Name of the record of a takeover.
pub(crate) fn taken_name(domain: &str) -> String {
    format!("t/{domain}")
}

/// Name of a request key's record.
pub(crate) fn key_name(id: &str) -> String {
    format!("k/{id}")
}

/// One grouped commit.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct JournalSegment {
    /// Position in the journal, from 1.
    pub number: u64,
    /// The leader that wrote it.
    pub token: FencingToken,
    /// Identifies the write: if its answer was lost, reading the slot shows whether it was made.
    pub write_id: String,
    /// Records, the later ones replacing earlier ones of the same name.
    pub records: Vec<LedgerRecord>,
}

/// Start of the journal: the snapshot that it continues.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct JournalBase {
    /// Generation of the snapshot; its parity selects the keys of its parts.
    pub generation: u64,
    /// Number of the last segment that the snapshot covers.
    pub covers: u64,
    /// Number of parts of the snapshot.
    pub parts: u64,
    /// The leader that wrote it.
    pub token: FencingToken,
    /// Identifies the write.
    pub write_id: String,
}

/// A part of a snapshot.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct SnapshotPart {
    /// Generation of the snapshot.
    pub(crate) generation: u64,
    /// The leader that wrote it.
    pub(crate) token: FencingToken,
    /// Records.
    pub(crate) records: Vec<LedgerRecord>,
}
