//! Decision logic of one entry for its failure domain, free of input and output.

mod calls;
mod controller;
mod event;
mod jobs;
mod keys;
mod moves;
mod peers;
mod quota;
mod view;

pub use controller::DomainController;
pub use event::{DomainAction, DomainEvent, EntryIdentity, StoreOwner, VmRecord, VmRole};
