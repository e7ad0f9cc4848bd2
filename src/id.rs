//! Identifiers. They are cheap to clone, compare by content and travel as plain strings.

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
/// Name of a workspace, the customer that work is done for.
pub type WorkspaceId = Arc<str>;
/// Name of a service, `workspace/intent`.
pub type ServiceId = Arc<str>;
/// Name of a job, `workspace/id` with the id chosen by the client.
pub type JobId = Arc<str>;
/// Number of a task inside its job.
pub type TaskIndex = u32;
/// A task: its job and its number in it.
pub type TaskId = (JobId, TaskIndex);
/// Number of a try to run a task: the leader's epoch and round, then a count. It rises with each try
/// over all leaders.
pub type Attempt = u64;
/// Number of an accepted configuration; it only rises.
pub type Revision = u64;
/// Version of a key in the platform's store; 0 means that the key does not exist.
pub type KeyVersion = u64;
/// Identifier of one store call, used to pair the answer with the question.
pub type CallId = u64;
/// Milliseconds since the Unix epoch.
pub type UnixMillis = u64;
