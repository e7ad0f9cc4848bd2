//! Messages between entry processes, and calls from callers and operators to the controllers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::config::{ConfigRevision, ConfirmRefusal, DomainSummary, PlanDocument, PlanRequest};
use crate::id::{CallId, DomainId, EntryId, JobId, KeyVersion, Revision, ServiceId};
use crate::job::JobRecord;
use crate::ledger::{KeyState, LedgerRecord, StoredAnswer};
use crate::routing::{DemandReport, ShareGrant};
use crate::token::FencingToken;

/// Version of the messages between entry processes. Receivers ignore unknown fields, so the version is
/// increased only when an older process could misinterpret a message of a newer one.
pub const PROTOCOL_VERSION: u32 = 1;

/// Status that a leader reports about itself.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LeaderStatus {
    /// Fencing token of the leader.
    pub token: FencingToken,
    /// Version of the lease that the leader wrote last.
    pub lease_version: Option<KeyVersion>,
    /// Summary of its failure domain.
    pub summary: DomainSummary,
    /// Number of record groups sent to followers.
    pub warm_seq: u64,
}

/// Heartbeat that each entry sends to all others periodically.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PeerHeartbeat {
    /// Version of the messages that the sender uses.
    pub protocol: u32,
    /// Failure domain of the sender.
    pub domain: DomainId,
    /// Number that differs between starts of the process.
    pub boot: u64,
    /// Revision in force at the sender.
    pub revision: Revision,
    /// Whether the sender is in a planned stop.
    pub draining: bool,
    /// Set while the sender leads its failure domain.
    pub leading: Option<LeaderStatus>,
    /// Free slots by service; `None` leaves the values of the last report in place.
    pub free_slots: Option<BTreeMap<ServiceId, u32>>,
}

/// A message between entries.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerMessage {
    /// A heartbeat.
    Hello(PeerHeartbeat),
    /// Requests the configuration of the receiver.
    AskConfig,
    /// The configuration of the sender.
    Config(Box<ConfigRevision>),
    /// Requests slots from the leader.
    Demand(DemandReport),
    /// The answer of the leader to a demand for slots.
    Grant(ShareGrant),
    /// A client's call, forwarded to the leader that can answer it.
    Call(CallId, ClientCall),
    /// The answer to a forwarded call.
    Answer(CallId, ClientAnswer),
    /// Ledger records that a follower keeps in memory for a takeover. The first group from a leader
    /// replaces all earlier records.
    Records {
        /// Token of the leader.
        token: FencingToken,
        /// Number of the group.
        seq: u64,
        /// Whether the group contains all records of the leader.
        whole: bool,
        /// The records.
        records: Vec<LedgerRecord>,
    },
    /// Requests all records, because a follower missed a group.
    AskRecords,
    /// Asks the leader of another failure domain not to take over the sender's tasks. A leader sends
    /// it while it has no lease.
    AskHold {
        /// Failure domain of the sender.
        domain: DomainId,
        /// Epoch of the token of the sender.
        epoch: u64,
        /// Number of the request.
        seq: u64,
    },
    /// Confirms that the tasks will not be taken over for the hold time after the request was sent.
    GrantHold {
        /// Number of the request.
        seq: u64,
    },
}

/// A job that a caller submits.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct JobRequest {
    /// Name of the job, `workspace/id`.
    pub id: JobId,
    /// Template that the job is made from.
    pub intent: ServiceId,
    /// Number of tasks; if absent, that of the template.
    pub count: Option<u32>,
    /// Command; if absent, that of the template.
    pub command: Option<String>,
}

/// A call from a caller or operator that the controllers answer.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClientCall {
    /// Submits a job.
    Submit(JobRequest),
    /// Cancels a job.
    Cancel(JobId),
    /// Reads a job.
    Job(JobId),
    /// Reads all jobs of a workspace in one failure domain.
    Jobs {
        /// Failure domain whose jobs are read.
        domain: DomainId,
        /// Name of the workspace, followed by a slash.
        prefix: String,
    },
    /// Stores a request key durably before the request is sent.
    ReserveKey {
        /// Service and key.
        id: String,
        /// Digest of the request.
        digest: String,
        /// Identifier of this reservation.
        holder: String,
    },
    /// Records the outcome of the request.
    CompleteKey {
        /// Service and key.
        id: String,
        /// Identifier of the reservation.
        holder: String,
        /// New state of the key.
        state: KeyState,
    },
    /// Computes a plan.
    Plan(PlanRequest),
    /// Confirms a plan.
    Confirm(Box<PlanDocument>),
    /// Reads the status of the deployment.
    Status,
    /// Reads the internal state of this process.
    Dump,
}

/// A job as it is shown to callers and operators.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct JobView {
    /// Stored record of the job.
    pub record: JobRecord,
    /// Failure domain that the job belongs to.
    pub domain: DomainId,
    /// Whether the record would survive the loss of all entries of the failure domain.
    pub durable: bool,
    /// Running tasks, each with its worker.
    pub running: BTreeMap<u32, String>,
    /// Why the job waits, if it does.
    pub waits: Option<String>,
}

/// Answer to a call about a request key.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyAnswer {
    /// The key is now reserved: the request may be sent.
    Fresh,
    /// The first request with this key ran and had this answer.
    Answered(StoredAnswer),
    /// The first request with this key may be running or may have run.
    Unknown,
    /// The key was used for a different request.
    Mismatch,
    /// The new state was stored.
    Noted,
}

/// State of an entry as known to the entry that answers.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EntryStatus {
    /// Name of the entry.
    pub entry: EntryId,
    /// Failure domain of the entry.
    pub domain: DomainId,
    /// Revision in force there; `None` if no heartbeat was received.
    pub revision: Option<Revision>,
    /// Milliseconds since the last heartbeat.
    pub silent_ms: u64,
    /// Whether the entry leads its failure domain.
    pub leads: bool,
    /// Whether the entry is in a planned stop.
    pub draining: bool,
}

/// State of the deployment as known to one entry.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StatusView {
    /// Entry that answers.
    pub entry: EntryId,
    /// Revision in force there.
    pub revision: Revision,
    /// Whether the store answered recently.
    pub store_up: bool,
    /// All entries.
    pub entries: Vec<EntryStatus>,
    /// Failure domains, each as its leader last reported it.
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
    /// Too many calls are waiting; nothing was done.
    Busy,
    /// The named object does not exist.
    NotFound(String),
    /// The call contradicts the existing state.
    Contradiction(String),
    /// The submitted work can never run.
    Impossible(String),
    /// No answer arrived in time; the call may have taken effect.
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
    /// Answer to a call about a request key.
    Key(KeyAnswer),
    /// A plan.
    Plan(Box<PlanDocument>),
    /// The revision that a confirmed plan created.
    Confirmed(Revision),
    /// The plan was not accepted.
    NotConfirmed(ConfirmRefusal),
    /// The status of the deployment.
    Status(Box<StatusView>),
    /// The internal state of the process.
    Dump(serde_json::Value),
    /// The call could not be answered.
    Refused(CallRefusal),
}
