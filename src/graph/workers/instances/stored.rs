//! What the store has of the workers, for the next leader.

use tokio::time::Instant;

use crate::graph::exchange::{UsedWorker, WorkerRegistration};
use crate::graph::workers::instances::InstanceTable;
use crate::graph::workers::worker::WorkerInstance;

impl InstanceTable {
    /// Adds a worker that the store names, before or without its registration.
    pub(crate) fn restore_used(
        &mut self,
        now: Instant,
        used: &UsedWorker,
        registration: WorkerRegistration,
    ) {
        let instance = self.instances.entry(used.id.clone()).or_insert_with(|| {
            let mut instance = WorkerInstance::new(registration, now);
            instance.registered = false;
            instance
        });
        instance.in_store = true;
        instance.stored_longest_lease = used.longest_lease;
        instance.stored_late_calls = used.late_calls;
        instance.instance_start = used.instance_start;
        if used.leaving {
            instance.leaves_at.get_or_insert(now);
        }
    }

    /// Whether the store says that the lease of a worker may be the longest one, or that late calls may extend it, and
    /// this is not so any more.
    pub(crate) fn has_outdated_leases(&self, now: Instant) -> bool {
        let is_outdated = |instance: &WorkerInstance| {
            let outdated_lease =
                instance.stored_longest_lease && !instance.may_hold_longest_lease(now);
            let outdated_calls =
                instance.stored_late_calls && !self.may_take_late_calls(now, instance);
            instance.in_store && (outdated_lease || outdated_calls)
        };
        self.instances.values().any(is_outdated)
    }

    /// Whether a worker may carry out calls that were meant for an earlier instance of it.
    pub(crate) fn may_take_late_calls(&self, now: Instant, instance: &WorkerInstance) -> bool {
        let are_unanswered = || !self.late_calls.time_left(now, instance.id()).is_zero();
        instance.may_take_late_calls(now, are_unanswered)
    }

    /// Notes that the store names a worker as in use.
    pub(crate) fn note_stored(&mut self, used: &UsedWorker) {
        if let Some(instance) = self.instances.get_mut(&used.id)
            && instance.instance_start == used.instance_start
        {
            (instance.in_store, instance.stored_longest_lease) = (true, used.longest_lease);
            instance.stored_late_calls = used.late_calls;
        }
    }

    /// Workers to be recorded in the store as in use.
    pub(crate) fn in_use(&self, now: Instant) -> Vec<UsedWorker> {
        let claimed =
            self.instances.values().filter(|instance| instance.claimed || instance.in_store);
        let used = |instance: &WorkerInstance| UsedWorker {
            id: instance.id().clone(),
            address: instance.address(),
            domain: instance.registration.domain.clone(),
            instance_start: instance.instance_start,
            leaving: instance.leaves_at.is_some(),
            longest_lease: instance.may_hold_longest_lease(now),
            late_calls: self.may_take_late_calls(now, instance),
        };
        claimed.map(used).collect()
    }
}
