//! What a failure domain must not forget: jobs, and the keys of requests that are not idempotent.
//!
//! The ledger is a journal of grouped commits in a ring of store keys, written by the leader alone,
//! with a snapshot that bounds its length. The next free place of the journal is taken by
//! compare-and-swap, so a leader that was replaced can never add to it: its successor's first
//! segment takes the place that the old leader would need.

mod journal;
mod segment;

pub use journal::{CommitTicket, JournalController, JournalOutput};
pub use segment::{JournalBase, JournalSegment, KeyRecord, KeyState, LedgerRecord, StoredAnswer};
pub(crate) use segment::{job_name, key_name, taken_name};
