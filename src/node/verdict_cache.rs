//! Verdicts of leaders on classes of work, by which this entry rejects an excess without a call.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use log::info;
use tokio::time::Instant;

use crate::graph::{ClassVerdict, LeaderEpoch, LoadRejection, ShardId, spread_delay};
use crate::id::WorkspaceId;
use crate::node::message::JobSubmission;

/// Longest time for which a verdict is used, whatever the leader allows.
const MAX_VERDICT_AGE: Duration = Duration::from_secs(1);

/// Shard, priority and workspace that a verdict is about.
type VerdictKey = (ShardId, u32, Option<WorkspaceId>);

#[derive(Clone, Debug)]
struct CachedVerdict {
    verdict: ClassVerdict,
    retry_delay: Duration,
    received: Instant,
}

impl CachedVerdict {
    fn is_valid(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.received);
        age < self.verdict.valid_for.min(MAX_VERDICT_AGE)
    }
}

/// The verdicts that an entry has received.
#[derive(Debug, Default)]
pub(crate) struct VerdictCache {
    verdicts: Mutex<BTreeMap<VerdictKey, CachedVerdict>>,
}

impl VerdictCache {
    /// Keeps the verdict of a rejection that was asked for at `asked`: its age counts from then.
    pub(crate) fn keep(&self, asked: Instant, shard: &ShardId, rejection: &LoadRejection) {
        let verdict = rejection.verdict.clone();
        let key = (shard.clone(), verdict.priority, verdict.workspace.clone());
        let retry_delay = rejection.retry_delay;
        let mut verdicts = self.lock();
        verdicts.retain(|_, cached| cached.is_valid(asked));
        verdicts.insert(key, CachedVerdict { verdict, retry_delay, received: asked });
    }

    /// Drops the verdicts of a shard whose leader has not answered.
    pub(crate) fn forget(&self, shard: &ShardId) {
        self.lock().retain(|(other, _, _), _| other != shard);
    }

    /// The rejection of a submission by a verdict of the leader with the given epoch, if there is one.
    pub(crate) fn reject(
        &self,
        now: Instant,
        shard: &ShardId,
        epoch: LeaderEpoch,
        submission: &JobSubmission,
    ) -> Option<LoadRejection> {
        let record = &submission.record;
        let key = (shard.clone(), record.rule.priority, record.workspace.clone());
        let cached = self.lock().get(&key).cloned()?;
        let verdict = cached.verdict.clone();
        if verdict.epoch != epoch || !cached.is_valid(now) || !verdict.covers(record) {
            return None;
        }
        let retry_delay =
            spread_delay(cached.retry_delay, submission.attempt, submission.caller_timeout);
        let (job, workspace) = (&*record.spec.id, record.workspace.as_deref());
        let age_ms = now.saturating_duration_since(cached.received).as_millis() as u64;
        let (priority, exceeds_rate) = (verdict.priority, verdict.exceeds_rate);
        let retry_ms = retry_delay.as_millis() as u64;
        info!(job, workspace, priority, exceeds_rate, epoch, age_ms, retry_ms; "job rejected by a verdict of its leader");
        metrics::counter!("kelplink_rejected_jobs_total", "reason" => "verdict on its class")
            .increment(1);
        Some(LoadRejection { retry_delay, verdict })
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<VerdictKey, CachedVerdict>> {
        self.verdicts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
