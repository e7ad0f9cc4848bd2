//! Status and state dump for operators.

use serde_json::json;
use tokio::time::Instant;

use crate::config::DomainSummary;
use crate::domain::controller::DomainController;
use crate::message::{EntryStatus, StatusView};

impl DomainController {
    /// Resources of the failure domain, while this entry leads it and all workers are resolved.
    pub(crate) fn domain_summary(&self) -> Option<DomainSummary> {
        let leader = self.leader.as_ref().filter(|leader| leader.settled)?;
        let pool = leader.scheduler.pool();
        Some(DomainSummary {
            workers: u32::try_from(self.fleet.claimed()).unwrap_or(u32::MAX),
            total: pool.total(),
            free: pool.free(),
            largest: pool.largest(),
        })
    }

    /// State of the deployment as this entry knows it.
    pub(crate) fn status(&self, now: Instant) -> StatusView {
        let mut entries = self.peers.statuses(now);
        entries.push(EntryStatus {
            entry: self.identity.entry.clone(),
            domain: self.identity.domain.clone(),
            revision: Some(self.revision()),
            silent_ms: 0,
            leads: self.leads(),
            draining: self.draining,
        });
        entries.sort_by(|a, b| a.entry.cmp(&b.entry));
        let config = self.config.current();
        let intents = config.intents.iter();
        StatusView {
            entry: self.identity.entry.clone(),
            revision: config.revision,
            store_up: self.leadership.store_up(now),
            entries,
            domains: self.peers.cluster(now, &self.domain_summary()),
            intents: intents.map(|(name, intent)| (name.clone(), intent.spec.count)).collect(),
        }
    }

    /// State of all controllers as JSON.
    pub(crate) fn dump(&self, now: Instant) -> serde_json::Value {
        let leader = self.leader.as_ref().map(|leader| {
            let scheduler = &leader.scheduler;
            let live = scheduler.live().iter().map(|((job, index), live)| {
                json!({
                    "task": format!("{job}/{index}"),
                    "stage": live.label(),
                    "worker": live.worker(),
                    "need": live.need(),
                    "attempt": live.attempt(),
                })
            });
            let workers = scheduler.pool().iter().map(|worker| {
                json!({
                    "worker": worker.spec.id,
                    "rack": worker.spec.rack,
                    "capacity": worker.spec.capacity,
                    "free": worker.free,
                    "open": worker.schedulable,
                    "tasks": worker.tasks.len(),
                })
            });
            let waiting = scheduler.waiting_jobs();
            json!({
                "token": leader.token,
                "active": leader.active,
                "settled": leader.settled,
                "capacity_holds": scheduler.pool().check(),
                "live": live.collect::<Vec<_>>(),
                "workers": workers.collect::<Vec<_>>(),
                "waiting": waiting.map(|(job, tasks)| json!({"job": job, "tasks": tasks})).collect::<Vec<_>>(),
                "suspects": scheduler.possibly_running_count(),
                "quarantined": scheduler.quarantined().collect::<Vec<_>>(),
                "used": scheduler.used(),
                "upstreams": leader.shares.upstreams().collect::<Vec<_>>(),
                "waiting_commits": leader.waiters.len(),
            })
        });
        json!({
            "entry": self.identity.entry,
            "failure_domain": self.identity.domain,
            "boot": self.identity.boot,
            "protocol": crate::message::PROTOCOL_VERSION,
            "draining": self.draining,
            "revision": self.revision(),
            "config_learned": self.config.learned(),
            "store_up": self.leadership.store_up(now),
            "highest_token": self.leadership.highest(),
            "lease_call": self.leadership.pending_call_name(),
            "ledger": {
                "open": self.journal.open(),
                "records": self.journal.len(),
                "backlog": self.journal.backlog(),
            },
            "warm_records": self.warm_records.len(),
            "workers": {"known": self.fleet.len(), "claimed": self.fleet.claimed()},
            "silent_workers": self.silent_workers,
            "leaving_workers": self.leaving_workers,
            "quota_parts": self.quota.parts(),
            "holds": self.moves.valid_holds(now),
            "peers": self.peers.statuses(now),
            "leader": leader,
        })
    }
}
