//! The process that runs on the platform: its loops carry out the actions that [`crate::graph`] decides on.

mod action_executor;
mod answer_condition;
mod availability;
mod backoff;
mod caller_identity;
mod callers;
mod candidacy;
mod clock;
mod config_exchange;
mod configuration;
mod dependency;
mod election;
mod entry_store;
mod handover_inbox;
mod input;
mod keys;
mod lateness;
mod leader;
mod leader_client;
mod ledger;
mod machine;
mod members;
mod message;
mod metrics_upkeep;
mod notices;
mod own_leader;
mod page_timeout;
mod peer_service;
mod peers;
mod probe;
mod process;
mod reachability;
mod records;
mod registry;
mod settings;
mod shard_plan;
mod shared;
mod simulated_peers;
mod simulated_store;
mod simulation;
mod state_queries;
mod view;

pub use entry_store::StoreCallKind;
pub(crate) use keys::{
    KeyEvent, KeyItem, KeyPage, KeyTransaction, KeyWrite, LeaseId, StoreError, TransactionOutcome,
    UnreadableKind, WatchOutcome, count_unreadable,
};
pub use process::NodeProcess;
pub use settings::NodeSettings;
pub use simulated_store::{SimulatedStore, StoreAccess, StoreCallCount};
pub use simulation::SimulatedFleet;

#[cfg(test)]
mod availability_tests;
#[cfg(test)]
mod job_fixtures;
#[cfg(test)]
mod leader_client_tests;
#[cfg(test)]
mod machine_tests;
#[cfg(test)]
mod members_tests;
#[cfg(test)]
mod metrics_upkeep_tests;
#[cfg(test)]
mod scale_tests;
#[cfg(test)]
mod takeover_tests;
#[cfg(test)]
mod tests;
