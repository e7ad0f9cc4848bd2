//! Identifiers. They are cheap to clone, compare by content and are serialized as plain strings.

use std::sync::Arc;

/// Name of an entry process, unique in a deployment.
pub type EntryId = Arc<str>;
/// Name of a failure domain.
pub type DomainId = Arc<str>;
/// Name of a worker.
pub type WorkerId = Arc<str>;
/// Name of a rack inside a failure domain.
pub type RackId = Arc<str>;
/// Name of an upstream.
pub type UpstreamId = Arc<str>;
/// Name of a workspace: a customer, and the unit of quotas.
pub type WorkspaceId = Arc<str>;
/// Name of a service, `workspace/intent`.
pub type ServiceId = Arc<str>;
/// Name of a job, `workspace/id`; the client chooses the id.
pub type JobId = Arc<str>;
/// Index of a task in its job.
pub type TaskIndex = u32;
/// A task: its job and its index there.
pub type TaskId = (JobId, TaskIndex);
/// Number of an attempt to run a task: the leader's epoch and round, then a counter. It increases with
/// each attempt, also when the leader changes.
pub type Attempt = u64;
/// Number of an accepted configuration; it never decreases.
pub type Revision = u64;
/// Version of a key in the platform's store; 0 means that the key does not exist.
pub type KeyVersion = u64;
/// Identifier of a call, used to match its answer to it.
pub type CallId = u64;
/// Milliseconds since the Unix epoch.
pub type UnixMillis = u64;
