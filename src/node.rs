//! The process on the platform: duties that carry out what the decisions in [`crate::graph`] ask for.

mod access;
mod answer_basis;
mod callers;
mod calls;
mod candidacy;
mod clock;
mod configuration;
mod dependency;
mod division;
mod election;
mod input;
mod keys;
mod lateness;
mod leader;
mod ledger;
mod members;
mod message;
mod notices;
mod own_leader;
mod peer_service;
mod peers;
mod probe;
mod process;
mod reach;
mod records;
mod registry;
mod settings;
mod shared;
mod state_desk;
mod succession;
mod view;

pub(crate) use keys::{
    KeyEvent, KeyItem, KeyPage, KeySet, KeyTransaction, LeaseId, StoreError, TransactionOutcome,
    UnreadableKind, WatchOutcome, count_unreadable,
};
pub use process::NodeProcess;
pub use settings::NodeSettings;

#[cfg(test)]
mod access_tests;
#[cfg(test)]
mod members_tests;
#[cfg(test)]
mod takeover_tests;
#[cfg(test)]
mod tests;
