//! Registrations of workers.

use std::time::Duration;

use log::info;
use tokio::time::Instant;

use crate::graph::exchange::WorkerRegistration;
use crate::graph::workers::instances::InstanceTable;
use crate::graph::workers::worker::WorkerInstance;
use crate::id::WorkerId;

/// How long a worker whose registration has gone still counts when a job is checked against the workers.
/// Registrations that expired while the store was away are back two seconds after it, and the watch reports
/// them later.
pub(crate) const REREGISTRATION_TIME: Duration = Duration::from_millis(2_500);
/// Number of heartbeats after the last report of a leaving worker within which its registration is not removed for
/// silence, which takes three.
const LEAVING_HEARTBEATS: u32 = 2;

impl InstanceTable {
    /// Applies a registration. If two instances have registered with the same address, only an answer of the
    /// worker shows which of them has ended, as the older one may register once more after the newer. So the
    /// other instances at the address are polled at once, and the worker refuses calls to an ended instance.
    /// When the last registration was assumed to be the newer one, up to 13 tasks a day ran twice on days on
    /// which workers crash while a network partition cuts them off.
    ///
    /// Returns whether it is the first one that shows a restart which no answer has shown yet.
    pub(crate) fn register(&mut self, now: Instant, registration: WorkerRegistration) -> bool {
        let others = self.instances.values_mut().filter(|instance| {
            instance.address() == registration.address && *instance.id() != registration.id
        });
        for other in others {
            other.next_poll = now;
        }
        match self.instances.get_mut(&registration.id) {
            Some(instance) => {
                if instance.registration != registration {
                    instance.reported_since = self.registration_clock.known_until(now);
                }
                (instance.registered, instance.reregistration_deadline) = (true, None);
                (instance.registration_read, instance.has_left) = (now, false);
                let was_shown = instance.has_unheard_instance();
                if instance.is_other_instance(registration.instance_start) {
                    instance.note_restart_registered(now);
                }
                instance.update_registration(now, registration);
                instance.in_store && !was_shown && instance.has_unheard_instance()
            }
            None => {
                let fence = self.fences.first_offset(now, &registration.id);
                let instance = WorkerInstance::new(registration, now).with_fence(fence);
                self.instances.insert(instance.id().clone(), instance);
                false
            }
        }
    }

    /// Sets when the registration of a worker was read, where that was earlier than its use.
    pub(crate) fn set_registration_read(&mut self, id: &WorkerId, read: Instant) {
        if let Some(instance) = self.instances.get_mut(id) {
            instance.registration_read = read;
            instance.reported_since = None;
        }
    }

    /// Forgets when workers last reported: the clock has not counted all the time since.
    pub(crate) fn forget_reports(&mut self) {
        self.instances.values_mut().for_each(|instance| instance.reported_since = None);
    }

    /// Notes that a registration has gone. The worker may still run, and register again. A leaving worker has left if
    /// its registration is removed earlier after its last report than for silence; a removed registration alone does not
    /// show it, nor does a refused connection, as both come about where a worker is cut off.
    pub(crate) fn unregister(&mut self, now: Instant, id: &WorkerId) {
        let silence = self.heartbeat * LEAVING_HEARTBEATS;
        if let Some(instance) = self.instances.get_mut(id)
            && std::mem::replace(&mut instance.registered, false)
        {
            let leaving = instance.leaves_at.is_some();
            instance.reregistration_deadline = (!leaving).then(|| now + REREGISTRATION_TIME);
            let reported =
                instance.reported_since.map(|since| now.saturating_duration_since(since));
            instance.has_left = leaving && reported.is_some_and(|reported| reported < silence);
            if leaving {
                let (worker, runs, has_left) = (&**id, instance.runs.len(), instance.has_left);
                let reported_ms = reported.map(|reported| reported.as_millis() as u64);
                info!(worker, runs, has_left, reported_ms:?; "registration of a leaving worker has gone");
            }
        }
    }

    /// Stops using a worker that may still be registered.
    pub(crate) fn stop_using(&mut self, id: &WorkerId) {
        if let Some(instance) = self.instances.get_mut(id) {
            (instance.registered, instance.reregistration_deadline) = (false, None);
        }
    }
}
