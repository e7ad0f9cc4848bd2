//! Groups of changes for the store.

pub(super) mod commit;
pub(super) mod compaction;
