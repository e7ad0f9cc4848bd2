//! The members as they stand in the store.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::graph::LeaderEpoch;
use crate::id::{DomainId, EntryId};

/// The leader as it stands in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct LeaderRecord {
    pub(crate) entry: EntryId,
    /// Where other entries reach it.
    pub(crate) address: SocketAddr,
    /// Tells one start of the entry from another.
    pub(crate) start: u64,
    pub(crate) epoch: LeaderEpoch,
}

/// Stands for a leader that may go on and is not known: no entry has its name, so that none shows that it has ended.
pub(crate) fn unknown_leader() -> (EntryId, u64) {
    (EntryId::from(""), 0)
}

/// What an election gave, or the leader before.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct LeaderTerm {
    pub(crate) epoch: LeaderEpoch,
    pub(crate) epoch_revision: u64,
    /// Who led before, and in which start; `None` where it has stepped down.
    pub(crate) predecessor: Option<(EntryId, u64)>,
}

/// The last election as it stands in the store.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct EpochRecord {
    pub(crate) epoch: LeaderEpoch,
    /// Who was elected, and in which start; `None` once it has stepped down.
    pub(crate) holder: Option<(EntryId, u64)>,
    /// Processor of the best machine that was known then.
    #[serde(default)]
    pub(crate) best: f64,
}

/// An entry as it stands in the store.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct EntryRecord {
    pub(crate) address: SocketAddr,
    /// Its failure domain.
    pub(crate) domain: DomainId,
    /// Tells one start of the entry from another.
    pub(crate) start: u64,
    /// Share of a processor core.
    pub(crate) processor: f64,
    /// Revision of its key: of two entries the one with the higher has registered later.
    #[serde(skip)]
    pub(crate) revision: u64,
}
