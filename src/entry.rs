//! An entry process: its threads and the rings between them.
//!
//! Each loop has its own thread and runtime. Threads communicate only through bounded rings, and all
//! decisions are made by [`crate::DomainController`] and [`crate::RequestRouter`].

mod control;
mod operators;
mod peers;
mod process;
mod store;
mod workers;

pub(crate) use control::{ControlHandle, ControlInput};
pub use process::EntryProcess;
