//! An entry process: its threads and what joins them.
//!
//! Each duty has a thread with a runtime of its own. Threads are joined by bounded rings only, and
//! all decisions are made by [`crate::DomainController`] and [`crate::RequestRouter`].

mod control;
mod operators;
mod peers;
mod process;
mod store;
mod workers;

pub(crate) use control::{ControlHandle, ControlInput};
pub use process::EntryProcess;
