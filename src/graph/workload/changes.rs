//! Jobs whose progress has changed, in the order in which they are stored.

use std::collections::BTreeMap;

use crate::graph::workload::name::GraphId;

/// Position of a waiting change: changes that a caller waits for first, then the oldest.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct ChangeOrder {
    not_urgent: bool,
    number: u64,
}

/// Changes that wait for a commit group.
///
/// The order matters with a store that takes 240 ms per group of 28 and more ends of tasks than
/// that. In the order of names, jobs with late names were not shown as completed as long as the
/// load lasted.
#[derive(Debug, Default)]
pub(crate) struct ChangeQueue {
    jobs: BTreeMap<GraphId, ChangeOrder>,
    order: BTreeMap<ChangeOrder, GraphId>,
    last_number: u64,
}

impl ChangeQueue {
    /// Adds a changed job; `urgent` if a caller waits for it. A job that already waits keeps its
    /// position.
    pub(crate) fn insert(&mut self, job: GraphId, urgent: bool) {
        let known = self.jobs.get(&job).copied();
        if known.is_some_and(|known| !known.not_urgent || !urgent) {
            return;
        }
        if let Some(known) = known {
            self.order.remove(&known);
        }
        self.last_number += 1;
        let order = ChangeOrder { not_urgent: !urgent, number: self.last_number };
        self.order.insert(order, job.clone());
        self.jobs.insert(job, order);
    }

    /// Whether a job waits.
    pub(crate) fn contains(&self, job: &GraphId) -> bool {
        self.jobs.contains_key(job)
    }

    /// Whether there are no changes.
    pub(crate) fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Removes and returns at most `limit` jobs.
    pub(crate) fn take(&mut self, limit: usize) -> Vec<GraphId> {
        let mut taken = Vec::new();
        while taken.len() < limit
            && let Some((_, job)) = self.order.pop_first()
        {
            self.jobs.remove(&job);
            taken.push(job);
        }
        taken
    }
}
