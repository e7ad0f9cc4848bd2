//! The process on the platform: duties that carry out what the decisions in [`crate::graph`] ask for.

mod access;
mod boot;
mod callers;
mod calls;
mod configuration;
mod dependency;
mod election;
mod keys;
mod leader;
mod ledger;
mod members;
mod peers;
mod probe;
mod process;
mod reach;
mod registry;
mod settings;
mod shared;

pub(crate) use keys::{
    KeyEvent, KeyItem, KeyPage, KeySet, KeyTransaction, LeaseId, StoreError, TransactionOutcome,
    UnreadableKind, WatchOutcome, count_unreadable,
};
pub use process::NodeProcess;
pub use settings::NodeSettings;

#[cfg(test)]
mod tests;
