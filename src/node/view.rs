//! Who takes part, as an entry knows it.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::graph::{LeaderEpoch, ShardId, ShardPlan};
use crate::id::{DomainId, EntryId};
use crate::node::records::{EntryRecord, LeaderRecord};

/// Share of the best machine's processor below which a machine leads only where no better one can.
const STRONG_SHARE: f64 = 0.5;

/// Who leads a shard.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct ShardView {
    pub(crate) leader: Option<LeaderRecord>,
    /// Revision of the key that counts elections; 0 before the first.
    pub(crate) epoch_revision: u64,
    pub(crate) epoch: LeaderEpoch,
    /// Who was elected last.
    pub(crate) holder: Option<(EntryId, u64)>,
}

impl ShardView {
    /// Takes in the leader as a change in the store names it. Entries may have told of a later one, which the watch has not
    /// come to yet.
    pub(crate) fn take_leader(&mut self, record: Option<LeaderRecord>) {
        let stale = match (&record, &self.leader) {
            (Some(record), Some(known)) => record.epoch < known.epoch,
            _ => false,
        };
        if !stale {
            self.leader = record;
        }
    }

    /// The key of a leader has gone from the store: not that of one whose election the watch has not come to yet.
    pub(crate) fn forget_leader(&mut self) {
        if self.leader.as_ref().is_some_and(|leader| leader.epoch <= self.epoch) {
            self.leader = None;
        }
    }
}

/// Who takes part.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct MemberView {
    /// The division of the workers; `None` while it is not agreed or not read.
    pub(crate) plan: Option<Arc<ShardPlan>>,
    pub(crate) shards: BTreeMap<ShardId, ShardView>,
    pub(crate) entries: BTreeMap<EntryId, EntryRecord>,
    /// Whether the store has been read.
    pub(crate) known: bool,
    /// Processor of the best machine that has been seen, registered or not.
    pub(crate) best: f64,
}

/// An entry's place among those that may lead a shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct CandidateRank {
    /// Entries that go before.
    pub(crate) before: u32,
    /// Whether the shard's workers are in another failure domain.
    pub(crate) away: bool,
}

impl MemberView {
    /// Who leads a shard.
    pub(crate) fn shard(&self, shard: &ShardId) -> ShardView {
        self.shards.get(shard).cloned().unwrap_or_default()
    }

    /// All shards; `None` while their division is not known.
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
        let led = self.shards.iter().find(|(_, view)| view.leader.as_ref() == Some(leader));
        led.map(|(shard, _)| shard.clone()).unwrap_or_else(|| ShardId::from(""))
    }

    /// Whether nobody leads a shard: there is no leader, or its process has ended, which shows as soon as its
    /// entry has started anew; its key stands for up to the life of its lease.
    pub(crate) fn leaderless(&self, shard: &ShardId) -> bool {
        self.leader(shard).is_none_or(|leader| {
            self.entries.get(&leader.entry).is_some_and(|record| record.start != leader.start)
        })
    }

    /// Whether a process that was elected has surely ended: its entry has started anew.
    pub(crate) fn has_ended(&self, holder: &Option<(EntryId, u64)>) -> bool {
        holder.as_ref().is_none_or(|(entry, start)| {
            self.entries.get(entry).is_some_and(|record| record.start != *start)
        })
    }

    /// An entry's place among those that may lead a shard: strong machines that lead nothing else first,
    /// and those of the shard's failure domain before others. The shards of one domain begin with
    /// different entries.
    pub(crate) fn rank(&self, shard: &ShardId, entry: &EntryId) -> CandidateRank {
        let place = self.plan.as_ref().and_then(|plan| plan.domain_and_index(shard));
        let best = self.best_registered();
        let is_away =
            |record: &EntryRecord| place.is_some_and(|(domain, _)| *domain != record.domain);
        let order = |(name, record): (&EntryId, &EntryRecord)| {
            let weak = record.processor < best * STRONG_SHARE;
            let rest = (best - record.processor) * 1_000.0;
            (self.leads_other(shard, name), weak, is_away(record), rest as u64)
        };
        let Some(own) = self.entries.get_key_value(entry).map(order) else {
            return CandidateRank { before: u32::MAX, away: false };
        };
        let before = self.entries.iter().filter(|candidate| order(*candidate) < own).count();
        let equal = self.entries.iter().filter(|candidate| order(*candidate) == own);
        let equal: Vec<&EntryId> = equal.map(|(name, _)| name).collect();
        let turned = place.map_or(0, |(_, part)| part as usize) % equal.len().max(1);
        let at = equal.iter().position(|name| *name == entry).unwrap_or(0);
        let turn = (at + equal.len() - turned) % equal.len().max(1);
        let before = u32::try_from(before + turn).unwrap_or(u32::MAX);
        CandidateRank { before, away: self.entries.get(entry).is_some_and(is_away) }
    }

    /// Entries that could lead a shard after one that leaves, best first: strong ones that lead nothing, of the shard's
    /// failure domain, then those that started last, since where entries are stopped in turn these are done.
    pub(crate) fn successors(&self, shard: &ShardId, leaving: &EntryId) -> Vec<SocketAddr> {
        let place = self.plan.as_ref().and_then(|plan| plan.domain_and_index(shard));
        let best = self.best_registered();
        let order = |(name, record): &(&EntryId, &EntryRecord)| {
            let weak = record.processor < best * STRONG_SHARE;
            let away = place.is_some_and(|(domain, _)| *domain != record.domain);
            (self.leads_other(shard, name), weak, away, Reverse(record.revision))
        };
        let others = self.entries.iter().filter(|(name, _)| *name != leaving);
        let mut others: Vec<(&EntryId, &EntryRecord)> = others.collect();
        others.sort_by_key(order);
        others.into_iter().map(|(_, record)| record.address).collect()
    }

    /// Whether no entry of a shard's failure domain is registered.
    pub(crate) fn is_cut_off(&self, shard: &ShardId) -> bool {
        let place = self.plan.as_ref().and_then(|plan| plan.domain_and_index(shard));
        place.is_some_and(|(domain, _)| {
            !self.entries.values().any(|record| record.domain == *domain)
        })
    }

    /// Whether an entry that leads nothing has a machine of more than twice the processor of another's.
    pub(crate) fn has_stronger(&self, entry: &EntryId) -> bool {
        let own = self.entries.get(entry).map_or(0.0, |record| record.processor);
        let leads = |name: &EntryId| self.leaders().any(|leader| leader.entry == *name);
        let mut others = self.entries.iter();
        others.any(|(name, record)| record.processor * STRONG_SHARE > own && !leads(name))
    }

    /// Whether an entry leads a shard other than this one.
    fn leads_other(&self, shard: &ShardId, entry: &EntryId) -> bool {
        self.shards.iter().any(|(other, view)| {
            other != shard && view.leader.as_ref().is_some_and(|leader| leader.entry == *entry)
        })
    }

    /// Whether an entry's machine is weak beside one that has been seen, and no strong one is registered.
    pub(crate) fn misses_strong(&self, entry: &EntryId) -> bool {
        let is_strong = |record: &EntryRecord| record.processor >= self.best * STRONG_SHARE;
        self.entries.contains_key(entry) && !self.entries.values().any(is_strong)
    }

    /// Processor of the best machine that is registered.
    pub(crate) fn best_registered(&self) -> f64 {
        self.entries.values().map(|record| record.processor).fold(0.0, f64::max)
    }

    /// Entries that make calls for advice for a shard's leader.
    pub(crate) fn advice_entries(&self, shard: &ShardId) -> Vec<EntryId> {
        let helps = |(name, record): &(&EntryId, &EntryRecord)| {
            self.plan.as_ref().is_none_or(|plan| plan.is_advised_by(shard, name, &record.domain))
        };
        let advice_entries: Vec<EntryId> =
            self.entries.iter().filter(helps).map(|(name, _)| name.clone()).collect();
        match advice_entries.is_empty() {
            true => self.entries.keys().cloned().collect(),
            false => advice_entries,
        }
    }

    /// Leaders that are in another failure domain, or all where none is.
    pub(crate) fn leaders_beyond(&self, domain: &DomainId) -> Vec<LeaderRecord> {
        let away = |leader: &&LeaderRecord| {
            self.entries.get(&leader.entry).is_some_and(|record| record.domain != *domain)
        };
        let beyond: Vec<LeaderRecord> = self.leaders().filter(away).cloned().collect();
        match beyond.is_empty() {
            true => self.leaders().cloned().collect(),
            false => beyond,
        }
    }
}
