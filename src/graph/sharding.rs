//! Which shard runs a job, and what the leaders of shards tell each other.

pub(super) mod notice;
pub(super) mod remote_workers;
pub(super) mod shard;
pub(super) mod share;
pub(super) mod transfer;
