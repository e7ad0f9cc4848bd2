//! Which registrations name a worker to use.

use std::time::Duration;

use log::{info, warn};
use tokio::time::Instant;

use crate::graph::controller::GraphController;
use crate::graph::exchange::WorkerRegistration;
use crate::id::{ServiceId, WorkerId};

/// Pause between looks at workers of services that nothing named: a job of a queue that is gone may want
/// them again. A new configuration has them looked at once.
const REVIEW_GAP: Duration = Duration::from_millis(500);

impl GraphController {
    /// Has it keep jobs waiting until the registrations have been read, where these settle which shard takes them.
    pub fn awaiting_registrations(mut self) -> Self {
        self.registrations_awaited = true;
        self
    }

    /// All workers that are registered have been listed.
    pub fn note_registrations_read(&mut self, now: Instant) {
        self.registrations_awaited = false;
        self.take_held(now);
    }

    /// Whether it cannot be told yet where a job can run.
    pub(super) fn awaits_registrations(&self) -> bool {
        self.registrations_awaited && self.scope.plan.is_divided()
    }

    /// A worker has registered or changed its registration.
    ///
    /// One of a service that nothing names is not called. If it was in use, it is like one that is not
    /// registered any more: what runs there goes on.
    pub fn worker_registered(&mut self, now: Instant, registration: WorkerRegistration) {
        if !self.names_service(&registration.service) {
            return self.stop_using(registration);
        }
        self.foreign.remove(&registration.id);
        self.instances.register(now, registration);
        self.pass_wanted = true;
    }

    /// A worker's registration has gone, or names no worker any more.
    pub fn worker_unregistered(&mut self, now: Instant, id: &WorkerId) {
        self.foreign.remove(id);
        self.remote_workers.unregister(now, id);
        self.instances.unregister(now, id);
    }

    fn stop_using(&mut self, registration: WorkerRegistration) {
        self.instances.stop_using(&registration.id);
        let (worker, service) = (registration.id.clone(), registration.service.clone());
        if self.foreign.insert(worker.clone(), registration).is_none() {
            metrics::counter!("kelplink_foreign_workers_total").increment(1);
            warn!(worker = &*worker, service = &*service; "nothing names a worker's service");
        }
    }

    /// Takes in workers whose service has been named since.
    pub(super) fn review_foreign(&mut self, now: Instant) {
        if self.foreign.is_empty() || now < self.next_review {
            return;
        }
        self.next_review = now + REVIEW_GAP;
        for (id, registration) in std::mem::take(&mut self.foreign) {
            match self.names_service(&registration.service) {
                true => {
                    info!(worker = &*id, service = &*registration.service; "a worker's service is named");
                    self.worker_registered(now, registration);
                }
                false => {
                    self.foreign.insert(id, registration);
                }
            }
        }
    }

    /// Whether the configuration in force names a service, or a job whose queue is gone still needs it.
    fn names_service(&self, service: &ServiceId) -> bool {
        self.config.as_ref().is_none_or(|config| config.names(service))
            || self.jobs.schedulable().any(|job| job.rule.service == *service)
    }
}
