//! Who takes part, as an entry knows it.

use std::collections::BTreeMap;

use crate::graph::LeaderEpoch;
use crate::id::EntryId;
use crate::node::records::{EntryRecord, LeaderRecord};

/// Who takes part.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct MemberView {
    pub(crate) leader: Option<LeaderRecord>,
    pub(crate) entries: BTreeMap<EntryId, EntryRecord>,
    /// Revision of the key that counts elections; 0 before the first.
    pub(crate) epoch_revision: u64,
    pub(crate) epoch: LeaderEpoch,
    /// Who was elected last.
    pub(crate) holder: Option<(EntryId, u64)>,
    /// Whether the store has been read.
    pub(crate) known: bool,
}

impl MemberView {
    /// Whether nobody leads: there is no leader, or its process has ended, which shows as soon as its
    /// entry has started anew; its key stands for up to the life of its lease.
    pub(crate) fn leaderless(&self) -> bool {
        self.leader.as_ref().is_none_or(|leader| {
            self.entries.get(&leader.entry).is_some_and(|record| record.start != leader.start)
        })
    }

    /// Whether a process that was elected has surely ended: its entry has started anew.
    pub(crate) fn has_ended(&self, holder: &Option<(EntryId, u64)>) -> bool {
        holder.as_ref().is_none_or(|(entry, start)| {
            self.entries.get(entry).is_some_and(|record| record.start != *start)
        })
    }
}
