//! Registrations of workers, and which of these workers are used.

use std::time::Duration;

use log::{info, warn};
use tokio::time::Instant;

use crate::graph::controller::GraphController;
use crate::graph::exchange::WorkerRegistration;
use crate::id::{ServiceId, WorkerId};

/// Interval between checks of workers whose service was not referred to: a job of a removed queue
/// may need them again. A new configuration triggers a check at once.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);

impl GraphController {
    /// Defers submissions until the registrations have been read if these determine which shard
    /// takes a job.
    pub fn awaiting_registrations(mut self) -> Self {
        self.registrations_awaited = true;
        self
    }

    /// Starts work only by registrations that are older than the leader's lease by `max_lag` at most.
    pub fn with_registration_lag(mut self, max_lag: Duration) -> Self {
        self.instances.registration_clock.set_max_lag(max_lag);
        self
    }

    /// Records that all registrations have been read.
    pub fn note_registrations_read(&mut self, now: Instant) {
        self.registrations_awaited = false;
        self.submit_deferred(now);
    }

    /// Records that all changes of registrations until `at` are known.
    pub fn note_registrations_confirmed(&mut self, at: Instant) {
        self.instances.registration_clock.confirm(at);
    }

    /// Whether it is still undetermined which shard can run a job.
    pub(super) fn awaits_registrations(&self) -> bool {
        self.registrations_awaited && self.scope.plan.is_divided()
    }

    /// Handles a new or changed registration of a worker.
    ///
    /// A worker is not polled if neither the configuration nor a job refers to its service. If such
    /// a worker was in use, it is treated like one whose registration has gone: its runs continue.
    pub fn worker_registered(&mut self, now: Instant, registration: WorkerRegistration) {
        if !self.refers_to_service(&registration.service) {
            return self.stop_using(registration);
        }
        self.unreferenced.remove(&registration.id);
        self.note_leaving(now, &registration);
        let id = registration.id.clone();
        if self.instances.register(now, registration) {
            info!(worker = &*id; "registration shows a restart of a worker");
            // The registration may be gone before the next leader reads it.
            self.commits.note_workers(now, true);
        }
        self.pass_wanted = true;
    }

    /// Handles the first registration that says that a worker is leaving. The registrations were confirmed without it
    /// `confirmed_ms` ago, so the worker announced it within that time. The next leader has to know it too: the worker may
    /// be gone by then, and would count as crashed.
    fn note_leaving(&mut self, now: Instant, registration: &WorkerRegistration) {
        let Some(time_left) = registration.leaving else {
            return;
        };
        let instance = self.instances.get(&registration.id);
        if instance.is_some_and(|instance| instance.leaves_at.is_some()) {
            return;
        }
        metrics::counter!("kelplink_leaving_workers_total").increment(1);
        let runs = instance.map_or(0, |instance| instance.runs.len());
        let (worker, time_left_ms) = (&*registration.id, time_left.as_millis() as u64);
        let confirmed_ms = age_text(self.instances.registration_clock.age(now));
        info!(worker, time_left_ms, confirmed_ms, runs; "worker is leaving");
        if instance.is_some_and(|instance| instance.in_store) {
            self.commits.note_workers(now, false);
        }
    }

    /// Handles a registration that was removed or no longer describes a worker.
    pub fn worker_unregistered(&mut self, now: Instant, id: &WorkerId) {
        self.unreferenced.remove(id);
        self.remote_workers.unregister(now, id);
        self.instances.unregister(now, id);
    }

    fn stop_using(&mut self, registration: WorkerRegistration) {
        self.instances.stop_using(&registration.id);
        let (worker, service) = (registration.id.clone(), registration.service.clone());
        if self.unreferenced.insert(worker.clone(), registration).is_none() {
            metrics::counter!("kelplink_foreign_workers_total").increment(1);
            warn!(worker = &*worker, service = &*service; "service of a worker is not configured");
        }
    }

    /// Registers workers whose service has become known since.
    pub(super) fn review_unreferenced(&mut self, now: Instant) {
        if self.unreferenced.is_empty() || now < self.next_review {
            return;
        }
        self.next_review = now + REVIEW_INTERVAL;
        let read = self.instances.registration_clock.confirmed().unwrap_or(now);
        for (id, registration) in std::mem::take(&mut self.unreferenced) {
            match self.refers_to_service(&registration.service) {
                true => {
                    info!(worker = &*id, service = &*registration.service; "service of a worker is configured now");
                    self.worker_registered(now, registration);
                    self.instances.set_registration_read(&id, read);
                }
                false => {
                    self.unreferenced.insert(id, registration);
                }
            }
        }
    }

    /// Whether the current configuration refers to a service, or an open job of a removed queue
    /// still needs it.
    fn refers_to_service(&self, service: &ServiceId) -> bool {
        self.config.as_ref().is_none_or(|config| config.names(service))
            || self.jobs.schedulable().any(|job| job.rule.service == *service)
    }
}

/// An age in milliseconds for the log.
pub(super) fn age_text(age: Option<Duration>) -> String {
    age.map_or("none".to_owned(), |age| age.as_millis().to_string())
}
