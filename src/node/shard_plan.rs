//! The duty of agreeing how the workers are divided among leaders, when the deployment starts.

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

/// This duty's name in the log.
const DUTY: &str = "division";
/// Interval of looks at what is registered: workers write each 1.5 s, and all that start together are
/// there after one such interval.
const LOOK_PAUSE: Duration = Duration::from_millis(700);
/// How long the division waits for workers: without any, one leader does.
const LONGEST_WAIT: Duration = Duration::from_secs(8);
/// Entries that propose a division: two more take the place of the first, should it fail.
const PROPOSERS: u32 = 3;

/// Proposes a division until there is one.
pub(crate) struct ShardPlanLoop {
    shared: Arc<NodeShared>,
}

impl ShardPlanLoop {
    pub(crate) fn new(shared: Arc<NodeShared>) -> Self {
        Self { shared }
    }

    /// Runs until the division is agreed.
    pub(crate) async fn run(self) {
        let begun = Instant::now();
        let mut before = BTreeMap::new();
        loop {
            sleep(LOOK_PAUSE).await;
            let view = self.shared.members.borrow().clone();
            if view.plan.is_some() {
                return;
            }
            let rank = view.rank(&ShardId::from(""), &self.shared.settings.name);
            if !view.known || rank.before >= PROPOSERS {
                continue;
            }
            let counted = self.count_workers().await;
            self.shared.dependencies.store.tried(DUTY, &counted);
            let Ok(workers) = counted else {
                continue;
            };
            let settled = !workers.is_empty() && workers == before;
            if settled || begun.elapsed() > LONGEST_WAIT {
                let best = view.entries.values().map(|entry| entry.processor).fold(0.0, f64::max);
                self.propose(&ShardPlan::for_fleet(&workers, best)).await;
            }
            before = workers;
        }
    }

    /// Counts registered workers by failure domain.
    async fn count_workers(&self) -> Result<BTreeMap<DomainId, usize>, StoreError> {
        let mut workers: BTreeMap<DomainId, usize> = BTreeMap::new();
        let mut after = String::new();
        loop {
            let page = self.shared.store.page(REGISTRATION_PREFIX, &after).await?;
            // Entries that name no worker are logged by the leader.
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
            Err(error) => return warn!(error:% = error; "the division could not be encoded"),
        };
        let change = KeyTransaction {
            conditions: vec![(PLAN_KEY.to_owned(), 0)],
            writes: vec![KeyWrite { key: PLAN_KEY.to_owned(), value, lease: None }],
            removes: Vec::new(),
        };
        let shards = plan.shards().len();
        info!(shards; "a division of the workers is proposed");
        let result = self.shared.store.transact(&change).await;
        // Whoever comes second finds the division of the first among the members.
        self.shared.dependencies.store.tried(DUTY, &result);
    }
}
