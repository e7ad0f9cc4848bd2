//! Records of entries, leaders and elections in the store.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::graph::LeaderEpoch;
use crate::id::{DomainId, EntryId};
use crate::node::machine::MachineCapacity;

/// Leader of a shard, as stored.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct LeaderRecord {
    pub(crate) entry: EntryId,
    /// Address for other entries.
    pub(crate) address: SocketAddr,
    /// Identifies this start of the entry's process.
    pub(crate) start: u64,
    pub(crate) epoch: LeaderEpoch,
}

/// A process as leader: its entry and its start.
pub(crate) type LeaderProcess = (EntryId, u64);

/// Placeholder for an unknown leader that may still be running. No entry has its name, so it never counts as ended.
pub(crate) fn unknown_leader() -> LeaderProcess {
    (EntryId::from(""), 0)
}

/// A leader before the last elected one that may still run.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub(crate) struct EarlierLeader {
    pub(crate) process: LeaderProcess,
    /// Revision of its election: only a later registration of its entry shows that it has ended.
    pub(crate) elected: u64,
}

/// Leaders of a shard before the last elected one that may still run and extend the leases of workers, as stored.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct EarlierLeaders {
    pub(crate) leaders: BTreeSet<EarlierLeader>,
}

/// A term of leadership, won in an election or handed over by the previous leader.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct LeaderTerm {
    pub(crate) epoch: LeaderEpoch,
    pub(crate) epoch_revision: u64,
    /// The previous leader; `None` if it has stepped down.
    pub(crate) predecessor: Option<LeaderProcess>,
    /// All leaders before this term that may still run. Terms handed over by earlier builds lack them.
    #[serde(default)]
    pub(crate) earlier: BTreeSet<EarlierLeader>,
}

/// Result of a shard's last election, as stored.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct EpochRecord {
    pub(crate) epoch: LeaderEpoch,
    /// The elected leader; `None` once it has stepped down.
    pub(crate) holder: Option<LeaderProcess>,
    /// Best processor known at the election.
    #[serde(default)]
    pub(crate) best: f64,
    /// Best link known at the election, in Mbit/s; records of earlier builds lack it.
    #[serde(default)]
    pub(crate) best_link_mbps: f64,
}

impl EpochRecord {
    pub(crate) fn new(
        epoch: LeaderEpoch,
        holder: Option<LeaderProcess>,
        best: MachineCapacity,
    ) -> Self {
        Self { epoch, holder, best: best.processor, best_link_mbps: best.link_mbps }
    }

    /// Best processor and best link known at the election.
    pub(crate) fn best_capacity(&self) -> MachineCapacity {
        MachineCapacity { processor: self.best, link_mbps: self.best_link_mbps }
    }
}

/// A registered entry, as stored.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct EntryRecord {
    pub(crate) address: SocketAddr,
    /// The entry's failure domain.
    pub(crate) domain: DomainId,
    /// Identifies this start of the entry's process.
    pub(crate) start: u64,
    /// Share of a processor core.
    pub(crate) processor: f64,
    /// Bandwidth of the machine's link in Mbit/s. Records of earlier builds lack it; their machines count as having the
    /// best link.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) link_mbps: Option<f64>,
    /// Revision of the entry's key, which orders entries by the time of registration.
    #[serde(skip)]
    pub(crate) revision: u64,
}

impl EntryRecord {
    /// Processor and link of the entry's machine; an unknown link is that of `best`.
    pub(crate) fn capacity(&self, best: MachineCapacity) -> MachineCapacity {
        let link_mbps = self.link_mbps.unwrap_or(best.link_mbps);
        MachineCapacity { processor: self.processor, link_mbps }
    }
}
