//! The leader's record of the shares of upstream slots that entries hold.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::id::{EntryId, ServiceId, UpstreamId};
use crate::invariant;
use crate::routing::report::{DemandReport, ShareGrant, ShareHolding, UpstreamSpec};
use crate::settings::TimingSettings;
use crate::token::FencingToken;

#[derive(Debug, Default)]
struct EntryState {
    /// Whether the entry has sent a report to this leader.
    has_reported: bool,
    boot: u64,
    /// Number of its last report.
    seq: u64,
    /// Whether it has applied the last grant.
    acknowledged: bool,
    version: u64,
    granted: BTreeMap<UpstreamId, u32>,
    /// Maximum number of slots of each upstream that the entry may hold until it acknowledges the last
    /// grant.
    outstanding: BTreeMap<UpstreamId, u32>,
    demand: BTreeMap<ServiceId, u32>,
    last_grant: Option<Instant>,
    upstreams_sent: u64,
    upstreams_known: u64,
}

/// Leases shares of upstream slots to entries.
///
/// The shares that entries could be using never add up to more than the slots of an upstream. An
/// entry could be using its last acknowledged share, the requests it still has in flight, and
/// everything that was granted since; the largest of these counts.
#[derive(Debug)]
pub struct ShareTable {
    timing: TimingSettings,
    token: FencingToken,
    leading_since: Instant,
    /// Entries of the domain, all of which may hold shares.
    entries: BTreeMap<EntryId, EntryState>,
    upstreams: BTreeMap<UpstreamId, UpstreamSpec>,
    upstreams_version: u64,
    /// Whether only the even split may be granted, because the lease in the store is not held.
    even_split_only: bool,
}

impl ShareTable {
    /// Creates the table of a new leader. The shares that entries hold are unknown until the entries
    /// report or those shares have expired.
    pub fn new(
        now: Instant,
        token: FencingToken,
        entries: impl IntoIterator<Item = EntryId>,
        timing: TimingSettings,
    ) -> Self {
        let entries = entries.into_iter().map(|entry| (entry, EntryState::default())).collect();
        Self {
            timing,
            token,
            leading_since: now,
            entries,
            upstreams: BTreeMap::new(),
            upstreams_version: 1,
            even_split_only: false,
        }
    }

    /// Sets whether only the even split may be granted.
    pub fn set_even_split_only(&mut self, even_split_only: bool) {
        self.even_split_only = even_split_only;
    }

    /// Replaces the list of upstreams.
    pub fn set_upstreams(&mut self, upstreams: Vec<UpstreamSpec>) {
        let upstreams: BTreeMap<_, _> =
            upstreams.into_iter().map(|spec| (spec.id.clone(), spec)).collect();
        if upstreams != self.upstreams {
            self.upstreams = upstreams;
            self.upstreams_version += 1;
        }
    }

    /// Upstreams known.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamSpec> {
        self.upstreams.values()
    }

    /// Clears the shares of an entry whose process is certain to have ended.
    pub fn reset_entry(&mut self, entry: &EntryId) {
        if let Some(state) = self.entries.get_mut(entry) {
            *state = EntryState { has_reported: true, acknowledged: true, ..EntryState::default() };
        }
    }

    /// Handles a report and returns the grant that answers it.
    pub fn report(&mut self, now: Instant, report: &DemandReport) -> Option<ShareGrant> {
        let state = self.entries.get(&report.entry)?;
        if (report.boot, report.seq) < (state.boot, state.seq) {
            return None;
        }
        self.expire(now, report);
        self.record_report(report);
        self.grant(now, &report.entry, report.seq)
    }

    /// Clears the shares of an entry that reports after they have expired.
    fn expire(&mut self, now: Instant, report: &DemandReport) {
        let max_share_age = self.max_share_age();
        if let Some(state) = self.entries.get_mut(&report.entry)
            && state.last_grant.is_some_and(|at| now >= at + max_share_age)
        {
            state.granted.clear();
            state.outstanding.clear();
            state.version += 1;
            state.acknowledged = true;
        }
    }

    fn record_report(&mut self, report: &DemandReport) {
        let own_leader = report.token.as_ref() == Some(&self.token);
        let Some(state) = self.entries.get_mut(&report.entry) else {
            return;
        };
        if state.boot != report.boot && state.has_reported {
            let upstreams_sent = state.upstreams_sent;
            *state = EntryState { upstreams_sent, ..EntryState::default() };
            state.upstreams_known = 0;
        }
        (state.boot, state.seq) = (report.boot, report.seq);
        state.demand.clone_from(&report.demand);
        if !state.has_reported || !own_leader {
            state.has_reported = true;
            let held = |holding: &ShareHolding| holding.share.max(holding.in_use);
            for (id, holding) in &report.holdings {
                let upper_bound = state.outstanding.entry(id.clone()).or_default();
                *upper_bound = (*upper_bound).max(held(holding));
            }
            return;
        }
        if report.applied == state.version {
            state.acknowledged = true;
            state.upstreams_known = state.upstreams_sent;
            state.outstanding.clone_from(&state.granted);
            for (id, holding) in &report.holdings {
                let upper_bound = state.outstanding.entry(id.clone()).or_default();
                *upper_bound = (*upper_bound).max(holding.in_use);
            }
        }
    }

    /// Maximum number of slots of an upstream that an entry may be using.
    fn outstanding(&self, now: Instant, entry: &EntryId, spec: &UpstreamSpec) -> u32 {
        let Some(state) = self.entries.get(entry) else {
            return 0;
        };
        let max_share_age = self.timing.share_ttl + self.timing.attempt_limit;
        match state {
            state if !state.has_reported && now < self.leading_since + max_share_age => spec.slots,
            state if !state.has_reported => self.even_share(entry, spec),
            state => {
                let last = state.last_grant.unwrap_or(self.leading_since);
                match now < last + max_share_age {
                    true => state.outstanding.get(&spec.id).copied().unwrap_or(0),
                    false => 0,
                }
            }
        }
    }

    /// The share that an entry gets when slots are split evenly.
    fn even_share(&self, entry: &EntryId, spec: &UpstreamSpec) -> u32 {
        let count = u32::try_from(self.entries.len().max(1)).unwrap_or(1);
        let position = self.entries.keys().position(|other| other == entry).unwrap_or(0);
        let rest = spec.slots % count;
        spec.slots / count + u32::from(u32::try_from(position).unwrap_or(u32::MAX) < rest)
    }

    fn grant(&mut self, now: Instant, entry: &EntryId, answers: u64) -> Option<ShareGrant> {
        let state = self.entries.get(entry)?;
        let may_change = state.acknowledged || state.version == 0;
        let shares = match may_change {
            true => self.wanted_shares(now, entry),
            false => state.granted.clone(),
        };
        let fits_slots = self.within_slots(now, entry, &shares);
        let token = self.token.clone();
        let ttl = self.timing.share_ttl;
        let upstreams_version = self.upstreams_version;
        let specs: Vec<UpstreamSpec> = self.upstreams.values().cloned().collect();
        let state = self.entries.get_mut(entry)?;
        if !fits_slots {
            return None;
        }
        let changed = may_change && (shares != state.granted || state.version == 0);
        let stale = state.upstreams_known != upstreams_version;
        if changed || (may_change && stale) {
            state.version += 1;
            state.acknowledged = false;
            for (id, share) in &shares {
                let upper_bound = state.outstanding.entry(id.clone()).or_default();
                *upper_bound = (*upper_bound).max(*share);
            }
            state.granted = shares;
        }
        let send = !state.acknowledged;
        if send {
            state.upstreams_sent = upstreams_version;
        }
        state.last_grant = Some(now);
        Some(ShareGrant {
            token,
            answers,
            version: state.version,
            ttl,
            shares: send.then(|| state.granted.clone()),
            upstreams: (send && stale).then_some(specs),
        })
    }

    /// Checks that the slots that entries may be using after a grant fit the slots of each upstream.
    fn within_slots(
        &self,
        now: Instant,
        entry: &EntryId,
        shares: &BTreeMap<UpstreamId, u32>,
    ) -> bool {
        self.upstreams.values().all(|spec| {
            let share = shares.get(&spec.id).copied().unwrap_or(0);
            let others = self.entries.keys().filter(|other| *other != entry);
            let sum: u32 = others.map(|other| self.outstanding(now, other, spec)).sum();
            let fits = share == 0 || share + sum <= spec.slots;
            invariant::check(fits, "slots", || {
                format!("{share} of {} for {entry} with {sum} held by others", spec.id)
            })
        })
    }

    fn wanted_shares(&self, now: Instant, entry: &EntryId) -> BTreeMap<UpstreamId, u32> {
        let mut shares = BTreeMap::new();
        for spec in self.upstreams.values() {
            let others = self.entries.keys().filter(|other| *other != entry);
            let held: u32 = others.map(|other| self.outstanding(now, other, spec)).sum();
            let free = spec.slots.saturating_sub(held);
            let wanted = match self.even_split_only {
                true => self.even_share(entry, spec),
                false => self.demand_share(now, entry, spec),
            };
            let share = wanted.min(free);
            if share > 0 {
                shares.insert(spec.id.clone(), share);
            }
        }
        shares
    }

    /// The share of an entry when slots are split by demand. Each live entry has a weight of one plus
    /// four times its demand, so none gets a weight of zero.
    fn demand_share(&self, now: Instant, entry: &EntryId, spec: &UpstreamSpec) -> u32 {
        let is_live = |state: &EntryState| {
            state.has_reported
                && state.last_grant.is_none_or(|at| now < at + self.timing.share_ttl * 2)
        };
        let live = self.entries.iter().filter(|(other, state)| *other == entry || is_live(state));
        let weights: Vec<(&EntryId, u64)> = live
            .map(|(other, state)| {
                (other, 1 + 4 * u64::from(state.demand.get(&spec.service).copied().unwrap_or(0)))
            })
            .collect();
        let total: u64 = weights.iter().map(|(_, weight)| weight).sum();
        let slots = u64::from(spec.slots);
        let whole_slots = |weight: u64| slots * weight / total.max(1);
        let rest = slots - weights.iter().map(|(_, weight)| whole_slots(*weight)).sum::<u64>();
        let mut by_remainder: Vec<_> = weights.clone();
        by_remainder
            .sort_by_key(|(other, weight)| (std::cmp::Reverse(slots * weight % total), *other));
        let rounded_up: BTreeSet<_> = by_remainder
            .iter()
            .take(usize::try_from(rest).unwrap_or(0))
            .map(|(other, _)| *other)
            .collect();
        let own_weight =
            weights.iter().find(|(other, _)| *other == entry).map_or(0, |(_, weight)| *weight);
        let share = whole_slots(own_weight) + u64::from(rounded_up.contains(entry));
        u32::try_from(share).unwrap_or(spec.slots)
    }

    /// Time after which a share that is not renewed is certain to be out of use.
    pub fn max_share_age(&self) -> Duration {
        self.timing.share_ttl + self.timing.attempt_limit
    }
}
