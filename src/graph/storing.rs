//! Groups of changes for the store.

pub(super) mod commit;
