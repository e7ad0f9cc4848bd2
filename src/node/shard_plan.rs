//! Loop that agrees on the shard plan when a deployment starts.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use log::{info, warn};
use tokio::time::{Instant, sleep};

use crate::graph::{ShardId, ShardPlan};
use crate::id::DomainId;
use crate::node::keys::{KeyTransaction, KeyWrite, PLAN_KEY, StoreError};
use crate::node::shared::NodeShared;
use crate::platform::{REGISTRATION_PREFIX, decode_registration};

/// Name of this loop in the log.
const LOG_NAME: &str = "division";
/// Interval between counts of the registered workers. Workers register every 1.5 s, so all that start together are
/// counted after one such period.
const CHECK_INTERVAL: Duration = Duration::from_millis(700);
/// How long the plan waits for a stable number of workers; without any worker, one leader is enough.
const MAX_WAIT: Duration = Duration::from_secs(8);
/// Number of entries that propose a plan: two more replace the first if it fails.
const MAX_PROPOSERS: u32 = 3;

/// Proposes a shard plan until one is agreed.
pub(crate) struct ShardPlanLoop {
    shared: Arc<NodeShared>,
}

impl ShardPlanLoop {
    pub(crate) fn new(shared: Arc<NodeShared>) -> Self {
        Self { shared }
    }

    /// Runs until the plan is agreed.
    pub(crate) async fn run(self) {
        let started = Instant::now();
        let mut last_count = BTreeMap::new();
        loop {
            sleep(CHECK_INTERVAL).await;
            let view = self.shared.members.borrow().clone();
            if view.plan.is_some() {
                return;
            }
            let rank = view.rank(&ShardId::from(""), &self.shared.settings.name);
            if !view.known || rank.before >= MAX_PROPOSERS {
                continue;
            }
            let counted = self.count_workers().await;
            self.shared.dependencies.store.tried(LOG_NAME, &counted);
            let Ok(workers) = counted else {
                continue;
            };
            let is_stable = !workers.is_empty() && workers == last_count;
            if is_stable || started.elapsed() > MAX_WAIT {
                let best = view.entries.values().map(|entry| entry.processor).fold(0.0, f64::max);
                self.propose(&ShardPlan::for_fleet(&workers, best)).await;
            }
            last_count = workers;
        }
    }

    /// Counts registered workers by failure domain.
    async fn count_workers(&self) -> Result<BTreeMap<DomainId, usize>, StoreError> {
        let mut workers: BTreeMap<DomainId, usize> = BTreeMap::new();
        let mut after = String::new();
        loop {
            let page = self.shared.store.page(REGISTRATION_PREFIX, &after).await?;
            // The leader logs unreadable registrations.
            for registration in page.items.iter().filter_map(|item| decode_registration(item).ok())
            {
                *workers.entry(registration.domain).or_default() += 1;
            }
            match page.items.last() {
                Some(last) if page.more => after = last.key.clone(),
                _ => return Ok(workers),
            }
        }
    }

    async fn propose(&self, plan: &ShardPlan) {
        let value = match serde_json::to_vec(plan) {
            Ok(value) => Bytes::from(value),
            Err(error) => return warn!(error:% = error; "failed to encode the shard plan"),
        };
        let change = KeyTransaction {
            conditions: vec![(PLAN_KEY.to_owned(), 0)],
            writes: vec![KeyWrite { key: PLAN_KEY.to_owned(), value, lease: None }],
            removes: Vec::new(),
        };
        let shards = plan.shards().len();
        info!(shards; "proposing a shard plan");
        let result = self.shared.store.transact(&change).await;
        // After a conflict, the members watch delivers the plan of the first proposer.
        self.shared.dependencies.store.tried(LOG_NAME, &result);
    }
}
