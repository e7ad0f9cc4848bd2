//! Record of the leaders before the last elected one that may still run.
//!
//! A leader that lost its lease extends the leases of workers that it reaches for some seconds. Each leader after it has to
//! wait for them, also if the leaders in between are lost before they have led for that long, so the record is in the
//! store.

use std::collections::BTreeSet;

use log::{info, warn};
use tokio::time::Instant;

use crate::graph::ShardId;
use crate::node::election::{ElectionLoop, LOG_NAME, encode};
use crate::node::keys::{KeyTransaction, KeyWrite, TransactionOutcome, earlier_key, epoch_key};
use crate::node::records::{EarlierLeader, EarlierLeaders, LeaderProcess};
use crate::node::view::{MemberView, ShardView};

/// Returns the leaders before `candidate` that may still run.
pub(super) fn before_campaign(
    view: &MemberView,
    shard: &ShardId,
    candidate: &LeaderProcess,
) -> BTreeSet<EarlierLeader> {
    let shard_view = view.shard(shard);
    let elected = shard_view.epoch_revision;
    let mut earlier = shard_view.earlier;
    earlier.extend(shard_view.holder.map(|process| EarlierLeader { process, elected }));
    // The candidate's own earlier terms have ended, or go on in the new one.
    earlier.retain(|leader| leader.process != *candidate);
    view.running(&earlier)
}

/// Adds the record of earlier leaders to a transaction that begins a term.
pub(super) fn record(
    change: &mut KeyTransaction,
    shard: &ShardId,
    shard_view: &ShardView,
    earlier: &BTreeSet<EarlierLeader>,
) {
    let key = earlier_key(shard);
    change.conditions.push((key.clone(), shard_view.earlier_revision));
    match shard_view.earlier == *earlier {
        true => {}
        false if earlier.is_empty() => change.removes.push(key),
        false => {
            let value = encode(&EarlierLeaders { leaders: earlier.clone() });
            change.writes.push(KeyWrite { key, value, lease: None });
        }
    }
}

/// Adds the removal of the record of earlier leaders to a transaction, if there is one.
pub(super) fn forget(change: &mut KeyTransaction, shard: &ShardId, shard_view: &ShardView) {
    if shard_view.earlier_revision > 0 {
        change.removes.push(earlier_key(shard));
    }
}

impl ElectionLoop {
    /// Removes the record of earlier leaders of a shard once this process has led for longer than they could go on.
    pub(super) async fn forget_predecessors(&mut self, shard: &ShardId, view: &MemberView) {
        let shard_view = view.shard(shard);
        let now = Instant::now();
        let candidacy = self.candidacy(shard);
        let is_due = shard_view.earlier_revision > 0
            && candidacy.epoch() == Some(shard_view.epoch)
            && candidacy.forgets_predecessors(now);
        if !is_due {
            return;
        }
        let conditions = vec![(epoch_key(shard), shard_view.epoch_revision)];
        let mut change = KeyTransaction { conditions, ..KeyTransaction::default() };
        forget(&mut change, shard, &shard_view);
        let result = self.shared.store.transact(&change).await;
        self.shared.dependencies.store.tried(LOG_NAME, &result);
        match result {
            Ok(TransactionOutcome::Done(_)) => {
                info!(shard = &**shard, earlier = shard_view.earlier.len(); "earlier leaders have ended");
                self.shared.members.send_modify(|view| {
                    let shard_view = view.shards.entry(shard.clone()).or_default();
                    shard_view.apply_earlier(BTreeSet::new(), 0);
                });
            }
            Ok(TransactionOutcome::Conflict(_) | TransactionOutcome::NoLease) => {}
            Err(error) => {
                warn!(error:% = error; "failed to remove the record of earlier leaders");
            }
        }
    }
}
