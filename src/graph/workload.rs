//! Jobs as they were submitted and what has become of them.

pub(super) mod absences;
pub(super) mod begin_evidence;
pub(super) mod changes;
pub(super) mod crash;
pub(super) mod crash_table;
pub(super) mod job;
pub(super) mod jobs;
pub(super) mod name;
pub(super) mod progress;
pub(super) mod queue;
pub(super) mod spec;
pub(super) mod work_kind;
