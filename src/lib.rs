//! kelplink: a cluster scheduler for mixed workloads: services, batch jobs and gang-scheduled jobs.
//!
//! All decisions are made by state machines that perform no I/O: they take events and the current
//! time, and return actions. Entry processes, tests and benchmarks run the same code, and other
//! programs can embed it without the servers.
//!
//! ```
//! use std::time::Duration;
//!
//! use kelplink::{ResourceVector, TaskScheduler, WorkerSpec};
//! use tokio::time::Instant;
//!
//! let mut scheduler = TaskScheduler::new();
//! scheduler.add_worker(WorkerSpec {
//!     id: "worker-1".into(),
//!     rack: "rack-1".into(),
//!     capacity: ResourceVector::new(8_000, 16_000, 0),
//! });
//! let actions = scheduler.pass(Instant::now() + Duration::from_secs(1), 0);
//! assert!(actions.is_empty());
//! ```

mod callers;
mod cli;
mod client;
mod command;
mod config;
mod demo;
mod diagnostic;
mod domain;
mod entry;
mod fleet;
mod graph;
mod http;
mod id;
mod intent;
mod intent_file;
mod invariant;
mod job;
mod leadership;
mod ledger;
mod logging;
mod message;
mod node;
mod placement;
mod platform;
mod problem;
mod quota;
mod reader;
mod resources;
mod ring;
mod routing;
mod settings;
mod standin;
mod store;
mod token;
mod worker;
mod workspace;

pub use command::run_command;
pub use config::*;
pub use diagnostic::{DiagnosticList, InputDiagnostic};
pub use domain::*;
pub use entry::EntryProcess;
pub use fleet::{ExchangeId, FleetOutput, WorkerFleet};
pub use graph::*;
pub use id::*;
pub use intent::{CutOffRule, IntentSpec, JobKind, SpreadRule, Urgency};
pub use intent_file::parse_intent;
pub use invariant::broken_invariants;
pub use job::{JobRecord, JobSpec, TaskEnd};
pub use leadership::*;
pub use ledger::*;
pub use message::*;
pub use node::{
    NodeProcess, NodeSettings, SimulatedFleet, SimulatedStore, StoreAccess, StoreCallCount,
    StoreCallKind,
};
pub use placement::*;
pub use platform::{SETTINGS_VARIABLE, parse_platform_settings};
pub use resources::ResourceVector;
pub use routing::*;
pub use settings::{EntrySettings, LimitSettings, PeerSettings, TimingSettings};
pub use standin::*;
pub use store::{StoreOutcome, StoreRequest, StoredValue};
pub use token::FencingToken;
pub use worker::{TaskOutcome, TaskReport, TaskUsage, WorkerCommand, WorkerReply, WorkerRequest};
pub use workspace::{KeyDigest, WorkspaceAmounts, WorkspaceRule};
