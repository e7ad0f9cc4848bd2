//! The leader's books on the slots of each upstream.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::id::{EntryId, ServiceId, UpstreamId};
use crate::invariant;
use crate::routing::report::{DemandReport, ShareGrant, ShareHolding, UpstreamSpec};
use crate::settings::TimingSettings;
use crate::token::FencingToken;

#[derive(Debug, Default)]
struct EntryBook {
    /// Whether it was heard from under the leader's token.
    heard: bool,
    boot: u64,
    /// Last report seen.
    seq: u64,
    /// Whether it has applied the last grant.
    acknowledged: bool,
    version: u64,
    granted: BTreeMap<UpstreamId, u32>,
    /// The most it may hold of each upstream until it acknowledges.
    outstanding: BTreeMap<UpstreamId, u32>,
    demand: BTreeMap<ServiceId, u32>,
    last_grant: Option<Instant>,
    upstreams_sent: u64,
    upstreams_known: u64,
}

/// Leases shares of upstream slots to entries.
///
/// At no time may the shares that entries could be using add up to more than an upstream's slots.
/// What an entry could be using is its last acknowledged share or the requests it still has in
/// flight, and everything that was granted since.
#[derive(Debug)]
pub struct ShareTable {
    timing: TimingSettings,
    token: FencingToken,
    since: Instant,
    /// Entries of the domain, all of which may hold shares.
    entries: BTreeMap<EntryId, EntryBook>,
    upstreams: BTreeMap<UpstreamId, UpstreamSpec>,
    upstreams_version: u64,
    /// Whether only the even split may be granted, because the lease in the store does not hold.
    detached: bool,
}

impl ShareTable {
    /// Books of a new leader: what entries hold is unknown until they report or it has lapsed.
    pub fn new(
        now: Instant,
        token: FencingToken,
        entries: impl IntoIterator<Item = EntryId>,
        timing: TimingSettings,
    ) -> Self {
        let entries = entries.into_iter().map(|entry| (entry, EntryBook::default())).collect();
        Self {
            timing,
            token,
            since: now,
            entries,
            upstreams: BTreeMap::new(),
            upstreams_version: 1,
            detached: false,
        }
    }

    /// Sets whether only the even split may be granted.
    pub fn set_detached(&mut self, detached: bool) {
        self.detached = detached;
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

    /// The process of an entry is surely gone, and with it all that it held.
    pub fn forget_entry(&mut self, entry: &EntryId) {
        if let Some(book) = self.entries.get_mut(entry) {
            *book = EntryBook { heard: true, acknowledged: true, ..EntryBook::default() };
        }
    }

    /// Takes a report and answers it.
    pub fn report(&mut self, now: Instant, report: &DemandReport) -> Option<ShareGrant> {
        let book = self.entries.get(&report.entry)?;
        if (report.boot, report.seq) < (book.boot, book.seq) {
            return None;
        }
        self.expire(now, report);
        self.note(report);
        self.grant(now, &report.entry, report.seq)
    }

    /// An entry that comes back after its shares have lapsed starts from nothing.
    fn expire(&mut self, now: Instant, report: &DemandReport) {
        let lapse = self.lapse();
        if let Some(book) = self.entries.get_mut(&report.entry)
            && book.last_grant.is_some_and(|at| now >= at + lapse)
        {
            book.granted.clear();
            book.outstanding.clear();
            book.version += 1;
            book.acknowledged = true;
        }
    }

    fn note(&mut self, report: &DemandReport) {
        let own = report.token.as_ref() == Some(&self.token);
        let Some(book) = self.entries.get_mut(&report.entry) else {
            return;
        };
        if book.boot != report.boot && book.heard {
            let upstreams_sent = book.upstreams_sent;
            *book = EntryBook { upstreams_sent, ..EntryBook::default() };
            book.upstreams_known = 0;
        }
        (book.boot, book.seq) = (report.boot, report.seq);
        book.demand.clone_from(&report.demand);
        if !book.heard || !own {
            book.heard = true;
            let held = |holding: &ShareHolding| holding.share.max(holding.in_use);
            for (id, holding) in &report.holdings {
                let most = book.outstanding.entry(id.clone()).or_default();
                *most = (*most).max(held(holding));
            }
            return;
        }
        if report.applied == book.version {
            book.acknowledged = true;
            book.upstreams_known = book.upstreams_sent;
            book.outstanding.clone_from(&book.granted);
            for (id, holding) in &report.holdings {
                let most = book.outstanding.entry(id.clone()).or_default();
                *most = (*most).max(holding.in_use);
            }
        }
    }

    /// The most that an entry may be using of an upstream.
    fn outstanding(&self, now: Instant, entry: &EntryId, spec: &UpstreamSpec) -> u32 {
        let Some(book) = self.entries.get(entry) else {
            return 0;
        };
        let lapse = self.timing.share_ttl + self.timing.attempt_limit;
        match book {
            book if !book.heard && now < self.since + lapse => spec.slots,
            book if !book.heard => self.even_share(entry, spec),
            book => {
                let last = book.last_grant.unwrap_or(self.since);
                match now < last + lapse {
                    true => book.outstanding.get(&spec.id).copied().unwrap_or(0),
                    false => 0,
                }
            }
        }
    }

    /// The share that an entry gets when slots are split evenly.
    fn even_share(&self, entry: &EntryId, spec: &UpstreamSpec) -> u32 {
        let count = u32::try_from(self.entries.len().max(1)).unwrap_or(1);
        let place = self.entries.keys().position(|other| other == entry).unwrap_or(0);
        let rest = spec.slots % count;
        spec.slots / count + u32::from(u32::try_from(place).unwrap_or(u32::MAX) < rest)
    }

    fn grant(&mut self, now: Instant, entry: &EntryId, answers: u64) -> Option<ShareGrant> {
        let book = self.entries.get(entry)?;
        let fresh = book.acknowledged || book.version == 0;
        let shares = match fresh {
            true => self.wanted_shares(now, entry),
            false => book.granted.clone(),
        };
        let checked = self.within_slots(now, entry, &shares);
        let token = self.token.clone();
        let ttl = self.timing.share_ttl;
        let upstreams_version = self.upstreams_version;
        let specs: Vec<UpstreamSpec> = self.upstreams.values().cloned().collect();
        let book = self.entries.get_mut(entry)?;
        if !checked {
            return None;
        }
        let changed = fresh && (shares != book.granted || book.version == 0);
        let stale = book.upstreams_known != upstreams_version;
        if changed || (fresh && stale) {
            book.version += 1;
            book.acknowledged = false;
            for (id, share) in &shares {
                let most = book.outstanding.entry(id.clone()).or_default();
                *most = (*most).max(*share);
            }
            book.granted = shares;
        }
        let send = !book.acknowledged;
        if send {
            book.upstreams_sent = upstreams_version;
        }
        book.last_grant = Some(now);
        Some(ShareGrant {
            token,
            answers,
            version: book.version,
            ttl,
            shares: send.then(|| book.granted.clone()),
            upstreams: (send && stale).then_some(specs),
        })
    }

    /// Checks the sum of what entries may be using after a grant.
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
            invariant::holds(fits, "slots", || {
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
            let target = match self.detached {
                true => self.even_share(entry, spec),
                false => self.target(now, entry, spec),
            };
            let share = target.min(free);
            if share > 0 {
                shares.insert(spec.id.clone(), share);
            }
        }
        shares
    }

    /// Splits slots by demand; each live entry counts as having at least one request.
    fn target(&self, now: Instant, entry: &EntryId, spec: &UpstreamSpec) -> u32 {
        let alive = |book: &EntryBook| {
            book.heard && book.last_grant.is_none_or(|at| now < at + self.timing.share_ttl * 2)
        };
        let live = self.entries.iter().filter(|(other, book)| *other == entry || alive(book));
        let weights: Vec<(&EntryId, u64)> = live
            .map(|(other, book)| {
                (other, 1 + 4 * u64::from(book.demand.get(&spec.service).copied().unwrap_or(0)))
            })
            .collect();
        let total: u64 = weights.iter().map(|(_, weight)| weight).sum();
        let slots = u64::from(spec.slots);
        let floor = |weight: u64| slots * weight / total.max(1);
        let rest = slots - weights.iter().map(|(_, weight)| floor(*weight)).sum::<u64>();
        let mut order: Vec<_> = weights.clone();
        order.sort_by_key(|(other, weight)| (std::cmp::Reverse(slots * weight % total), *other));
        let lucky: BTreeSet<_> = order
            .iter()
            .take(usize::try_from(rest).unwrap_or(0))
            .map(|(other, _)| *other)
            .collect();
        let own =
            weights.iter().find(|(other, _)| *other == entry).map_or(0, |(_, weight)| *weight);
        let share = floor(own) + u64::from(lucky.contains(entry));
        u32::try_from(share).unwrap_or(spec.slots)
    }

    /// Longest time that a share survives its entry.
    pub fn lapse(&self) -> Duration {
        self.timing.share_ttl + self.timing.attempt_limit
    }
}
