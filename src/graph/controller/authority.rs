//! How long this leader may start tasks and extend leases without a renewal of its own lease.

use std::time::Duration;

use log::{info, warn};
use tokio::time::Instant;

use crate::graph::controller::GraphController;

impl GraphController {
    /// Time since the request of the last successful renewal of this leader's lease was sent.
    pub fn lease_age(&self, now: Instant) -> Duration {
        (now + self.bounds.lease_extension_window).saturating_duration_since(self.authority_end)
    }

    /// Records that a request sent at `sent` renewed this leader's lease.
    pub fn note_lease_renewal(&mut self, sent: Instant) {
        let sent = match self.last_suspension {
            Some((at, gap)) if sent <= at => sent.checked_sub(gap).unwrap_or(self.last_pass),
            _ => sent,
        };
        self.authority_end = self.authority_end.max(sent + self.bounds.lease_extension_window);
        self.instances.registration_clock.note_lease_renewal(sent);
    }

    /// Stops all starts and extensions of worker leases, because another leader may have been
    /// elected.
    pub fn revoke_authority(&mut self, now: Instant) {
        self.authority_end = self.authority_end.min(now);
    }

    /// Logs that this leader may no longer start tasks and extend leases, or may again.
    pub(super) fn note_authority(&mut self, now: Instant, has_authority: bool) {
        if std::mem::replace(&mut self.had_authority, has_authority) == has_authority {
            return;
        }
        let (epoch, lease_ms) = (self.epoch, self.lease_age(now).as_millis() as u64);
        match has_authority {
            true => info!(epoch, lease_ms; "leader may start tasks and extend leases"),
            false => warn!(epoch, lease_ms; "leader may no longer start tasks or extend leases"),
        }
    }

    /// Reports the epoch of this leader and the age of its lease.
    pub(super) fn report_authority(&self, now: Instant) {
        let shard = self.scope.shard.to_string();
        metrics::gauge!("kelplink_leader_epoch", "shard" => shard.clone()).set(self.epoch as f64);
        metrics::gauge!("kelplink_leader_lease_age_seconds", "shard" => shard)
            .set(self.lease_age(now).as_secs_f64());
    }
}
