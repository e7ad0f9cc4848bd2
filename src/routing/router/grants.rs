//! Reports to the leader and its grants of slots.

use super::*;

impl RequestRouter {
    /// Creates the next report to the leader, which asks for shares.
    pub fn report(&mut self, now: Instant) -> DemandReport {
        self.seq += 1;
        self.sent_reports.insert(self.seq, now);
        while self.sent_reports.len() > MAX_SENT_REPORTS {
            self.sent_reports.pop_first();
        }
        let used_upstreams =
            self.all_upstreams().filter(|state| state.share > 0 || state.in_use > 0);
        let holdings = used_upstreams
            .map(|state| {
                let holding = ShareHolding { share: state.share, in_use: state.in_use };
                (state.spec.id.clone(), holding)
            })
            .collect();
        let demand = self.services.iter().map(|(id, service)| {
            let waiting = u32::try_from(service.waiting.len()).unwrap_or(u32::MAX);
            (id.clone(), service.in_use.saturating_add(waiting))
        });
        DemandReport {
            entry: self.entry.clone(),
            boot: self.boot,
            seq: self.seq,
            token: self.token.clone(),
            applied: self.applied_version,
            holdings,
            demand: demand.filter(|(_, count)| *count > 0).collect(),
        }
    }

    /// Applies a grant; grants of leaders with lower tokens and outdated grants are ignored.
    pub fn apply(&mut self, now: Instant, grant: &ShareGrant) -> Vec<RouteAction> {
        let Some(sent_at) = self.sent_reports.get(&grant.answers).copied() else {
            return Vec::new();
        };
        match &self.token {
            Some(token) if grant.token < *token => return Vec::new(),
            Some(token) if grant.token == *token && grant.version < self.applied_version => {
                return Vec::new();
            }
            Some(token) if grant.token == *token => {}
            _ => {
                self.token = Some(grant.token.clone());
                self.applied_version = 0;
                self.shares_until = None;
            }
        }
        if let Some(upstreams) = &grant.upstreams {
            self.replace_upstreams(upstreams);
        }
        match &grant.shares {
            Some(shares) => {
                self.applied_version = grant.version;
                let services = self.services.values_mut();
                for state in services.flat_map(|service| service.upstreams.values_mut()) {
                    state.share = shares.get(&state.spec.id).copied().unwrap_or(0);
                }
            }
            None if grant.version != self.applied_version => return Vec::new(),
            None => {}
        }
        let until = sent_at + grant.ttl;
        self.shares_until = Some(self.shares_until.map_or(until, |before| before.max(until)));
        self.tick(now)
    }

    pub(super) fn replace_upstreams(&mut self, upstreams: &[UpstreamSpec]) {
        let services = self.services.values_mut();
        services.flat_map(|service| service.upstreams.values_mut()).for_each(|u| u.listed = false);
        for spec in upstreams {
            let before = self.service_by_upstream.insert(spec.id.clone(), spec.service.clone());
            if let Some(before) = before.filter(|before| *before != spec.service)
                && let Some(service) = self.services.get_mut(&before)
            {
                service.upstreams.remove(&spec.id);
            }
            let service = self.services.entry(spec.service.clone()).or_default();
            let state = service
                .upstreams
                .entry(spec.id.clone())
                .or_insert_with(|| UpstreamState::new(spec.clone()));
            state.spec = spec.clone();
            state.listed = true;
        }
        let ids: Vec<UpstreamId> = self.service_by_upstream.keys().cloned().collect();
        for id in ids {
            self.remove_unlisted(&id);
        }
        self.services
            .retain(|_, s| !s.upstreams.is_empty() || !s.waiting.is_empty() || s.in_use > 0);
    }
}
