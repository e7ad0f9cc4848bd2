//! Dependencies of a process, and the log lines and metrics of their losses, by the same rule for all loops.

mod monitor;

use std::fmt::Display;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use log::{info, warn};
use tokio::time::sleep;

pub(crate) use monitor::{DependencyEvent, DependencyMonitor, RetryMode};

/// Interval between checks for losses that have ended: well below the minimum of 1 s between log lines.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// All dependencies of a process.
#[derive(Clone, Debug)]
pub(crate) struct NodeDependencies {
    pub(crate) store: DependencyLog,
    /// The leader, as seen from another entry.
    pub(crate) leader: DependencyLog,
    pub(crate) advisor: DependencyLog,
}

impl NodeDependencies {
    pub(crate) fn new() -> Self {
        let [store, leader, advisor] = ["store", "leader", "advisor"].map(DependencyLog::new);
        Self { store, leader, advisor }
    }

    /// Checks all dependencies for the lifetime of the process.
    pub(crate) async fn run(self) {
        loop {
            sleep(CHECK_INTERVAL).await;
            self.store.expire_failures();
            self.leader.expire_failures();
            self.advisor.expire_failures();
        }
    }
}

/// Takes the results of the loops' calls to one dependency, and logs and counts its losses.
#[derive(Clone, Debug)]
pub(crate) struct DependencyLog {
    name: &'static str,
    monitor: Arc<Mutex<DependencyMonitor>>,
}

impl DependencyLog {
    fn new(name: &'static str) -> Self {
        let log = Self { name, monitor: Arc::default() };
        log.update_metrics(false);
        log
    }

    /// Records a failed call of a loop that retries forever.
    pub(crate) fn failed(&self, log_name: &str, failure: impl Display) {
        self.note_failure(log_name, RetryMode::Steady, &failure);
    }

    /// Records the result of a call made on demand.
    pub(crate) fn tried<T, E: Display>(&self, log_name: &str, result: &Result<T, E>) {
        match result {
            Ok(_) => self.answered(log_name),
            Err(failure) => self.note_failure(log_name, RetryMode::OnDemand, failure),
        }
    }

    /// Records that a call of a loop was answered.
    pub(crate) fn answered(&self, log_name: &str) {
        self.apply(|monitor| monitor.answered(log_name));
    }

    fn expire_failures(&self) {
        self.apply(DependencyMonitor::expire_failures);
    }

    fn note_failure(&self, log_name: &str, mode: RetryMode, failure: &dyn Display) {
        metrics::counter!("kelplink_dependency_tries_failed_total", "dependency" => self.name)
            .increment(1);
        self.apply(|monitor| monitor.failed(log_name, mode, failure.to_string()));
    }

    /// Applies an input to the monitor, then updates the metrics and logs the resulting event.
    fn apply(&self, input: impl FnOnce(&mut DependencyMonitor) -> Option<DependencyEvent>) {
        let (before, lost, event) = {
            let mut monitor = self.monitor.lock().unwrap_or_else(PoisonError::into_inner);
            let before = monitor.is_lost();
            let event = input(&mut monitor);
            (before, monitor.is_lost(), event)
        };
        if lost != before {
            self.update_metrics(lost);
        }
        if let Some(event) = event {
            self.log_event(event);
        }
    }

    fn update_metrics(&self, lost: bool) {
        let name = self.name;
        metrics::gauge!("kelplink_dependency_lost", "dependency" => name).set(u32::from(lost));
        let losses = metrics::counter!("kelplink_dependency_losses_total", "dependency" => name);
        losses.increment(u64::from(lost));
    }

    fn log_event(&self, event: DependencyEvent) {
        let dependency = self.name;
        match event {
            DependencyEvent::Lost { duty, failure, answer_age, short_losses } => {
                let answer_age_ms =
                    answer_age.map_or("none".to_owned(), |age| millis(age).to_string());
                warn!(dependency, duty, failure, answer_age_ms, short_losses; "a dependency is lost");
            }
            DependencyEvent::StillLost { duties, failure, away, tries_failed } => {
                let (duties, away_ms) = (duties.join(", "), millis(away));
                warn!(dependency, duties, failure, away_ms, tries_failed; "a dependency is still lost");
            }
            DependencyEvent::Back { away, tries_failed } => {
                info!(dependency, away_ms = millis(away), tries_failed; "a dependency is back");
            }
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
