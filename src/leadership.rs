//! Leader election of a failure domain, by a lease in the store or, if the store is down, without it.
//!
//! The lease is a record in the store that is changed by compare-and-swap only. Its holder computes
//! the deadline from its own monotonic clock, read before the call, so that a holder that was paused
//! finds on resuming that the deadline has passed. Safety does not depend on the lease: workers order
//! leaders by [`FencingToken`], and the lease only prevents needless changes of leader.

mod lease;
mod role;

pub use lease::LeaseRecord;
pub use role::{FollowingRole, LeadershipAction, LeadershipController, LeadingRole};

#[cfg(doc)]
use crate::token::FencingToken;
