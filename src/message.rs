//! Messages between entry processes, and calls of callers and operators to the controllers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::config::{ConfigRevision, ConfirmRefusal, DomainSummary, PlanDocument, PlanRequest};
use crate::id::{CallId, DomainId, EntryId, JobId, KeyVersion, Revision, ServiceId};
use crate::job::JobRecord;
use crate::ledger::{KeyState, LedgerRecord, StoredAnswer};
use crate::routing::{DemandReport, ShareGrant};
use crate::token::FencingToken;

/// Version of the messages between entry processes. Unknown fields are ignored, so that it only
/// rises when an older process could misunderstand a newer one.
pub const PROTOCOL_VERSION: u32 = 1;

/// What a leader tells about itself.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LeaderStatus {
    /// Its token.
    pub token: FencingToken,
    /// Version of the lease it wrote last.
    pub lease_version: Option<KeyVersion>,
    /// What its failure domain has.
    pub summary: DomainSummary,
    /// Number of record groups sent to followers.
    pub warm_seq: u64,
}

/// Sent by each entry to all others again and again.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PeerHeartbeat {
    /// Version of the messages it speaks.
    pub protocol: u32,
    /// Its failure domain.
    pub domain: DomainId,
    /// Which start of the process.
    pub boot: u64,
    /// Revision in force there.
    pub revision: Revision,
    /// Whether it is in a planned stop.
    pub draining: bool,
    /// Set while it leads its failure domain.
    pub leading: Option<LeaderStatus>,
    /// Free slots by service; `None` where they are as told before.
    pub free_slots: Option<BTreeMap<ServiceId, u32>>,
}

/// A message between entries.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerMessage {
    /// Heartbeat.
    Hello(PeerHeartbeat),
    /// Please send your configuration.
    AskConfig,
    /// The sender's configuration.
    Config(Box<ConfigRevision>),
    /// An entry asks its leader for slots.
    Demand(DemandReport),
    /// The leader's answer.
    Grant(ShareGrant),
    /// A client's call handed to the leader that can answer it.
    Call(CallId, ClientCall),
    /// Its answer.
    Answer(CallId, ClientAnswer),
    /// Records that a follower keeps warm. The first of a leader replaces all before.
    Records {
        /// The leader.
        token: FencingToken,
        /// Number of the group.
        seq: u64,
        /// Whether it holds everything.
        whole: bool,
        /// Records.
        records: Vec<LedgerRecord>,
    },
    /// A follower missed a group.
    AskRecords,
    /// A leader without a lease asks another domain's leader not to take over its tasks.
    AskHold {
        /// Its failure domain.
        domain: DomainId,
        /// Epoch of its token.
        epoch: u64,
        /// Number of the question.
        seq: u64,
    },
    /// They will not be taken over for the hold time from now.
    GrantHold {
        /// The question.
        seq: u64,
    },
}

/// A job that a caller submits.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct JobRequest {
    /// Its name, `workspace/id`.
    pub id: JobId,
    /// The template that it is made from.
    pub intent: ServiceId,
    /// Number of tasks; the template's where absent.
    pub count: Option<u32>,
    /// Command; the template's where absent.
    pub command: Option<String>,
}

/// A call of a caller or operator that needs the controllers.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClientCall {
    /// Submit a job.
    Submit(JobRequest),
    /// Cancel a job.
    Cancel(JobId),
    /// Ask for a job.
    Job(JobId),
    /// Ask for all jobs of a workspace in one failure domain.
    Jobs {
        /// Failure domain that is asked.
        domain: DomainId,
        /// Workspace with a slash behind it.
        prefix: String,
    },
    /// Make a request key durable before the request is sent.
    ReserveKey {
        /// Service and key.
        id: String,
        /// Digest of the request.
        digest: String,
        /// Names this reservation.
        holder: String,
    },
    /// Tell what became of the request.
    CompleteKey {
        /// Service and key.
        id: String,
        /// The reservation.
        holder: String,
        /// What is known now.
        state: KeyState,
    },
    /// Work out a plan.
    Plan(PlanRequest),
    /// Confirm a plan.
    Confirm(Box<PlanDocument>),
    /// Ask for the status of the deployment.
    Status,
    /// Ask for the state of this process.
    Dump,
}

/// A job as callers and operators see it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct JobView {
    /// What is kept of it.
    pub record: JobRecord,
    /// Failure domain that it belongs to.
    pub domain: DomainId,
    /// Whether it would survive the loss of all entries of the domain.
    pub durable: bool,
    /// Tasks that run, with their worker.
    pub running: BTreeMap<u32, String>,
    /// Why it waits.
    pub waits: Option<String>,
}

/// What is known about a request key.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyAnswer {
    /// It was reserved now: the request may be sent.
    Fresh,
    /// The first request ran; this was its answer.
    Answered(StoredAnswer),
    /// The first request may be running or have run.
    Unknown,
    /// The key was used for another request.
    Mismatch,
    /// The change was noted.
    Noted,
}

/// State of one entry as its peers know it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EntryStatus {
    /// Its name.
    pub entry: EntryId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Revision in force there; `None` when it was not heard from.
    pub revision: Option<Revision>,
    /// Milliseconds since it was heard from.
    pub silent_ms: u64,
    /// Whether it leads its failure domain.
    pub leads: bool,
    /// Whether it is in a planned stop.
    pub draining: bool,
}

/// State of the deployment as one entry knows it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StatusView {
    /// The entry that answers.
    pub entry: EntryId,
    /// Revision in force there.
    pub revision: Revision,
    /// Whether the store answered lately.
    pub store_up: bool,
    /// All entries.
    pub entries: Vec<EntryStatus>,
    /// Failure domains, as their leaders last told.
    pub domains: BTreeMap<DomainId, DomainSummary>,
    /// Intents in force with their task counts.
    pub intents: BTreeMap<ServiceId, u32>,
}

/// Why a call could not be answered.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallRefusal {
    /// No leader of the failure domain can be reached; nothing was done.
    NoLeader,
    /// The store is needed and cannot be reached; nothing was done.
    StoreDown,
    /// Too much waits already; nothing was done.
    Busy,
    /// There is no such thing.
    NotFound(String),
    /// It contradicts what is known.
    Contradiction(String),
    /// It can never run.
    Impossible(String),
    /// No answer came in time; it may have been done.
    Unknown,
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClientAnswer {
    /// A job.
    Job(Box<JobView>),
    /// Jobs.
    Jobs(Vec<JobView>),
    /// What is known about a key.
    Key(KeyAnswer),
    /// A plan.
    Plan(Box<PlanDocument>),
    /// The revision that a confirm made.
    Confirmed(Revision),
    /// A plan was not accepted.
    NotConfirmed(ConfirmRefusal),
    /// The status.
    Status(Box<StatusView>),
    /// The state of the process.
    Dump(serde_json::Value),
    /// It could not be answered.
    Refused(CallRefusal),
}
