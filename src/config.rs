//! The operators' configuration: plans, their acceptance, and the revisions that entries adopt.

mod assignment;
mod controller;
mod plan;
mod revision;

pub(crate) use assignment::{assigned_count, home_domain};
pub use controller::{ConfigController, ConfigOutput, ConfirmRefusal};
pub use plan::{ClusterSummary, DomainSummary, PlanAction, PlanChange, PlanDocument, PlanRequest};
pub use revision::{AcceptedIntent, CONFIG_KEY, ConfigHolder, ConfigRevision};
