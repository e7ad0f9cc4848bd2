//! Routing of callers' requests to upstream slots.
//!
//! The leader of a failure domain holds the [`ShareTable`]: it leases shares of each upstream's
//! slots to the entries of the domain. Each entry holds a [`RequestRouter`] that gives its shares to
//! requests without further calls.

mod budget;
mod report;
mod router;
mod shares;

pub use budget::RetryBudget;
pub use report::{DemandReport, ShareGrant, ShareHolding, UpstreamSpec};
pub use router::{RejectReason, RequestId, RequestRouter, RouteAction, RouteOutcome, SlotRequest};
pub use shares::ShareTable;
