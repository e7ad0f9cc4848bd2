//! Durable records of a failure domain: jobs, and the keys of requests that are not idempotent.
//!
//! The ledger is a journal of grouped commits in a ring of store keys, written by the leader alone,
//! with a snapshot that bounds its length. Each segment is written to the next free slot of the ring
//! by compare-and-swap, so a leader that was replaced can never append: the first segment of its
//! successor occupies the slot that the old leader would write next.

mod journal;
mod segment;

pub use journal::{CommitTicket, JournalController, JournalOutput};
pub use segment::{JournalBase, JournalSegment, KeyRecord, KeyState, LedgerRecord, StoredAnswer};
pub(crate) use segment::{job_name, key_name, taken_name};
