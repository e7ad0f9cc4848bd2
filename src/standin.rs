//! Small stand-ins for the platform and its VMs, for the README, the demo and tests.
//!
//! The models hold state only, and tests use them directly. The server makes them available over HTTP.

mod ports;
mod server;
mod settings;
mod store;
mod upstream;
mod worker;

pub use ports::free_addresses;
pub use server::{StandInServer, StandInState};
pub use settings::{StandInSettings, StandInVm};
pub use store::{StoreFault, StoreModel};
pub use upstream::{UpstreamCount, UpstreamModel};
pub use worker::{TaskRun, WorkerModel};
