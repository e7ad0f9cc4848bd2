//! Who leads a failure domain: a lease in the store, and a way on without the store.
//!
//! The lease is a record in the store that is changed by compare-and-swap only. Its holder takes the
//! deadline from its own monotonic clock before the call, so that a holder that was paused knows on
//! waking that its time is over. Safety does not rest on the lease: workers order leaders by
//! [`FencingToken`], and the lease only keeps leaders from taking turns without need.

mod lease;
mod role;

pub use lease::LeaseRecord;
pub use role::{FollowingRole, LeadershipAction, LeadershipController, LeadingRole};

#[cfg(doc)]
use crate::token::FencingToken;
