//! An entry's view of the registered entries and the leaders.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::graph::{LeaderEpoch, ShardId, ShardPlan};
use crate::id::{DomainId, EntryId};
use crate::node::machine::MachineCapacity;
use crate::node::records::{EarlierLeader, EntryRecord, LeaderProcess, LeaderRecord};

/// Leader and epoch of a shard.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct ShardView {
    pub(crate) leader: Option<LeaderRecord>,
    /// Revision of the last known change of the leader key; 0 before the first.
    pub(crate) leader_revision: u64,
    /// Revision of the epoch key; 0 before the first election.
    pub(crate) epoch_revision: u64,
    pub(crate) epoch: LeaderEpoch,
    /// Winner of the last election.
    pub(crate) holder: Option<LeaderProcess>,
    /// Leaders before that one that may still run.
    pub(crate) earlier: BTreeSet<EarlierLeader>,
    /// Revision of the key of earlier leaders; 0 if there is none.
    pub(crate) earlier_revision: u64,
}

impl ShardView {
    /// Known revision of the leader key; 0 if it does not exist.
    pub(crate) fn leader_key_revision(&self) -> u64 {
        self.leader.as_ref().map_or(0, |_| self.leader_revision)
    }

    /// Applies a leader record that the store has since `revision`; `None` if it is unreadable. A leader that another
    /// entry has reported, and whose election the watch has not reached yet, stays.
    pub(crate) fn apply_leader(&mut self, record: Option<LeaderRecord>, revision: u64) {
        if revision <= self.leader_revision {
            return;
        }
        self.leader_revision = revision;
        if let Some(record) = &record {
            let holder = Some((record.entry.clone(), record.start));
            self.apply_epoch(record.epoch, holder, revision);
        }
        let is_stale = match (&record, &self.leader) {
            (Some(record), Some(known)) => record.epoch < known.epoch,
            _ => false,
        };
        if !is_stale {
            self.leader = record;
        }
    }

    /// Applies the epoch and the holder that the store has since `revision`.
    pub(crate) fn apply_epoch(
        &mut self,
        epoch: LeaderEpoch,
        holder: Option<LeaderProcess>,
        revision: u64,
    ) {
        if revision >= self.epoch_revision {
            (self.epoch, self.holder, self.epoch_revision) = (epoch, holder, revision);
        }
    }

    /// Applies the earlier leaders that the store has since `revision`; 0 stands for a key that does not exist.
    pub(crate) fn apply_earlier(&mut self, earlier: BTreeSet<EarlierLeader>, revision: u64) {
        (self.earlier, self.earlier_revision) = (earlier, revision);
    }

    /// Applies the removal of the leader key from the store. A leader whose election the watch has not reached yet stays,
    /// as the removed key was that of an earlier leader.
    pub(crate) fn forget_leader(&mut self, revision: u64) {
        if revision <= self.leader_revision {
            return;
        }
        self.leader_revision = revision;
        if self.leader.as_ref().is_some_and(|leader| leader.epoch <= self.epoch) {
            self.leader = None;
        }
    }
}

/// The registered entries, the shards and their leaders.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct MemberView {
    /// Division of the workers into shards; `None` while it is not agreed or not read.
    pub(crate) plan: Option<Arc<ShardPlan>>,
    pub(crate) shards: BTreeMap<ShardId, ShardView>,
    pub(crate) entries: BTreeMap<EntryId, EntryRecord>,
    /// Whether the members have been read from the store.
    pub(crate) known: bool,
    /// Best processor and best link seen so far, registered or not.
    pub(crate) best: MachineCapacity,
}

/// Rank of an entry among the candidates for a shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct CandidateRank {
    /// Number of entries ranked before this one.
    pub(crate) before: u32,
    /// Whether the shard's workers are in another failure domain than the entry.
    pub(crate) in_other_domain: bool,
}

impl MemberView {
    /// Leader and epoch of a shard.
    pub(crate) fn shard(&self, shard: &ShardId) -> ShardView {
        self.shards.get(shard).cloned().unwrap_or_default()
    }

    /// All shards; `None` while the shard plan is unknown.
    pub(crate) fn all_shards(&self) -> Option<Vec<ShardId>> {
        self.plan.as_ref().map(|plan| plan.shards())
    }

    /// The leader of a shard.
    pub(crate) fn leader(&self, shard: &ShardId) -> Option<&LeaderRecord> {
        self.shards.get(shard)?.leader.as_ref()
    }

    /// All leaders.
    pub(crate) fn leaders(&self) -> impl Iterator<Item = &LeaderRecord> {
        self.shards.values().filter_map(|shard| shard.leader.as_ref())
    }

    /// The shard that a leader leads.
    pub(crate) fn shard_led_by(&self, leader: &LeaderRecord) -> ShardId {
        let found = self.shards.iter().find(|(_, view)| view.leader.as_ref() == Some(leader));
        found.map(|(shard, _)| shard.clone()).unwrap_or_else(|| ShardId::from(""))
    }

    /// Whether a shard has no leader, or one whose process has ended. The latter is known as soon as its entry has
    /// restarted, while the leader key still exists until its lease expires.
    pub(crate) fn leaderless(&self, shard: &ShardId) -> bool {
        let elected = self.shards.get(shard).map_or(0, |view| view.leader_revision);
        self.leader(shard).is_none_or(|leader| {
            let record = self.entries.get(&leader.entry);
            record.is_some_and(|record| record.start != leader.start && record.revision >= elected)
        })
    }

    /// Whether the process of an elected leader is known to have ended because its entry has restarted. Also true
    /// without a holder.
    pub(crate) fn has_ended(&self, holder: &Option<LeaderProcess>) -> bool {
        holder.as_ref().is_none_or(|leader| !self.may_run(leader))
    }

    /// Whether the process of an elected leader may still run: its entry has not restarted.
    fn may_run(&self, (entry, start): &LeaderProcess) -> bool {
        self.entries.get(entry).is_none_or(|record| record.start == *start)
    }

    /// Those of some leaders whose processes may still run.
    pub(crate) fn running(&self, leaders: &BTreeSet<EarlierLeader>) -> BTreeSet<EarlierLeader> {
        let may_run = |leader: &&EarlierLeader| {
            self.may_run(&leader.process)
                || self.registered(&leader.process.0) < Some(leader.elected)
        };
        leaders.iter().filter(may_run).cloned().collect()
    }

    /// Revision of the last known registration of an entry. The list of entries may lag behind the leaders: a registration
    /// from before an election is not that of the elected process's successor.
    fn registered(&self, entry: &EntryId) -> Option<u64> {
        self.entries.get(entry).map(|record| record.revision)
    }

    /// Returns the rank of an entry among the candidates for a shard: first those that lead no other shard, then strong
    /// machines, then those of the shard's failure domain. Equal candidates are rotated, so that the shards of one
    /// domain begin with different entries.
    pub(crate) fn rank(&self, shard: &ShardId, entry: &EntryId) -> CandidateRank {
        let location = self.plan.as_ref().and_then(|plan| plan.domain_and_index(shard));
        let best = self.best_registered();
        let is_away =
            |record: &EntryRecord| location.is_some_and(|(domain, _)| *domain != record.domain);
        let order = |(name, record): (&EntryId, &EntryRecord)| {
            let weak = !record.capacity(best).is_strong(best);
            (self.leads_other(shard, name), weak, is_away(record), shortfall(record, best))
        };
        let Some(own) = self.entries.get_key_value(entry).map(order) else {
            return CandidateRank { before: u32::MAX, in_other_domain: false };
        };
        let before = self.entries.iter().filter(|candidate| order(*candidate) < own).count();
        let equal = self.entries.iter().filter(|candidate| order(*candidate) == own);
        let equal: Vec<&EntryId> = equal.map(|(name, _)| name).collect();
        let offset = location.map_or(0, |(_, index)| index as usize) % equal.len().max(1);
        let index = equal.iter().position(|name| *name == entry).unwrap_or(0);
        let turn = (index + equal.len() - offset) % equal.len().max(1);
        let before = u32::try_from(before + turn).unwrap_or(u32::MAX);
        CandidateRank { before, in_other_domain: self.entries.get(entry).is_some_and(is_away) }
    }

    /// Returns the addresses of entries that could succeed `leaving` as leader of a shard, best first: those that lead
    /// no other shard, strong machines, entries of the shard's failure domain, those with the larger processor, then the
    /// latest to register, as a rolling restart has already reached those. Where all links are equal, the processor only
    /// decides which machines are strong.
    pub(crate) fn successors(&self, shard: &ShardId, leaving: &EntryId) -> Vec<SocketAddr> {
        let others = self.ordered_successors(shard, leaving).into_iter();
        others.map(|(_, record)| record.address).collect()
    }

    /// Returns the addresses of strong entries to which a weak leader of a shard passes leadership, best first: those
    /// that lead no shard and have registered after `revision`. Empty if the leader is strong. Weak and strong are
    /// measured by `best`.
    pub(crate) fn stronger_successors(
        &self,
        shard: &ShardId,
        leader: &EntryId,
        revision: u64,
        best: MachineCapacity,
    ) -> Vec<SocketAddr> {
        let is_strong = |record: &EntryRecord| record.capacity(best).is_strong(best);
        if self.entries.get(leader).is_none_or(is_strong) {
            return Vec::new();
        }
        let leads = |name: &EntryId| self.leaders().any(|leader| leader.entry == *name);
        let is_stronger = |(name, record): &(&EntryId, &EntryRecord)| {
            record.revision > revision && is_strong(record) && !leads(name)
        };
        let others = self.ordered_successors(shard, leader).into_iter();
        others.filter(is_stronger).map(|(_, record)| record.address).collect()
    }

    fn ordered_successors(
        &self,
        shard: &ShardId,
        leaving: &EntryId,
    ) -> Vec<(&EntryId, &EntryRecord)> {
        let location = self.plan.as_ref().and_then(|plan| plan.domain_and_index(shard));
        let best = self.best_registered();
        let links_differ = self.links_differ();
        let order = |(name, record): &(&EntryId, &EntryRecord)| {
            let weak = !record.capacity(best).is_strong(best);
            let in_other_domain = location.is_some_and(|(domain, _)| *domain != record.domain);
            let shortfall = if links_differ { shortfall(record, best) } else { 0 };
            let leads_other = self.leads_other(shard, name);
            (leads_other, weak, in_other_domain, shortfall, Reverse(record.revision))
        };
        let others = self.entries.iter().filter(|(name, _)| *name != leaving);
        let mut others: Vec<(&EntryId, &EntryRecord)> = others.collect();
        others.sort_by_key(order);
        others
    }

    /// Whether an entry is registered and its machine is strong beside the other registered ones.
    pub(crate) fn is_strong(&self, entry: &EntryId) -> bool {
        let best = self.best_registered();
        let record = self.entries.get(entry);
        record.is_some_and(|record| record.capacity(best).is_strong(best))
    }

    /// Whether no entry of a shard's failure domain is registered.
    pub(crate) fn is_cut_off(&self, shard: &ShardId) -> bool {
        let location = self.plan.as_ref().and_then(|plan| plan.domain_and_index(shard));
        location.is_some_and(|(domain, _)| {
            !self.entries.values().any(|record| record.domain == *domain)
        })
    }

    /// Whether some entry that leads no shard has more than twice the processor or the link of `entry`, and not less
    /// than half of the other.
    pub(crate) fn has_stronger(&self, entry: &EntryId) -> bool {
        let best = self.best_registered();
        let capacity = |record: &EntryRecord| record.capacity(best);
        let own = self.entries.get(entry).map_or_else(MachineCapacity::default, capacity);
        let leads = |name: &EntryId| self.leaders().any(|leader| leader.entry == *name);
        let mut others = self.entries.iter();
        others.any(|(name, record)| capacity(record).exceeds(own) && !leads(name))
    }

    /// Whether an entry leads a shard other than this one.
    fn leads_other(&self, shard: &ShardId, entry: &EntryId) -> bool {
        self.shards.iter().any(|(other, view)| {
            other != shard && view.leader.as_ref().is_some_and(|leader| leader.entry == *entry)
        })
    }

    /// Whether the registered machines fall short of the best processor or the best link seen so far, so that a strong
    /// machine is absent. False if `entry` is not registered. Where the best processor and the best link belong to
    /// different machines none may be strong; when both are registered no better one is waited for.
    pub(crate) fn lacks_strong_machine(&self, entry: &EntryId) -> bool {
        let capacities = self.entries.values().map(|record| record.capacity(self.best));
        let registered = capacities.fold(MachineCapacity::default(), MachineCapacity::best_of);
        self.entries.contains_key(entry) && !registered.is_strong(self.best)
    }

    /// Best processor and best link of the registered machines.
    pub(crate) fn best_registered(&self) -> MachineCapacity {
        let best_of =
            |best: MachineCapacity, record| best.best_of(EntryRecord::capacity(record, best));
        self.entries.values().fold(MachineCapacity::default(), best_of)
    }

    /// Whether the registered links are not all the same. An unknown link is the same as any other.
    fn links_differ(&self) -> bool {
        let mut known_links = self.entries.values().filter_map(|record| record.link_mbps);
        let first = known_links.next();
        known_links.any(|link| Some(link) != first)
    }

    /// Entries that call the advisor on behalf of a shard's leader.
    pub(crate) fn advice_entries(&self, shard: &ShardId) -> Vec<EntryId> {
        let gives_advice = |(name, record): &(&EntryId, &EntryRecord)| {
            self.plan.as_ref().is_none_or(|plan| plan.is_advised_by(shard, name, &record.domain))
        };
        let advice_entries: Vec<EntryId> =
            self.entries.iter().filter(gives_advice).map(|(name, _)| name.clone()).collect();
        match advice_entries.is_empty() {
            true => self.entries.keys().cloned().collect(),
            false => advice_entries,
        }
    }

    /// Addresses of the entries outside a failure domain.
    pub(crate) fn addresses_outside(&self, domain: &DomainId) -> Vec<SocketAddr> {
        let others = self.entries.values().filter(|entry| entry.domain != *domain);
        others.map(|entry| entry.address).collect()
    }

    /// Leaders outside a failure domain, or all leaders if there are none outside.
    pub(crate) fn leaders_outside(&self, domain: &DomainId) -> Vec<LeaderRecord> {
        let in_other_domain = |leader: &&LeaderRecord| {
            self.entries.get(&leader.entry).is_some_and(|record| record.domain != *domain)
        };
        let outside: Vec<LeaderRecord> = self.leaders().filter(in_other_domain).cloned().collect();
        match outside.is_empty() {
            true => self.leaders().cloned().collect(),
            false => outside,
        }
    }
}

/// How far the processor of an entry falls short of the best one, in thousandths of a core.
fn shortfall(record: &EntryRecord, best: MachineCapacity) -> u64 {
    ((best.processor - record.processor) * 1_000.0) as u64
}
