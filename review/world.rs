//! The stand-ins and the cases.

pub mod cluster;
pub mod large_value;
pub mod store;
pub mod two_crashes;
pub mod unread_ends;
pub mod worker;
