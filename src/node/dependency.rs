//! What a process depends on, and the lines and counts of its losses: the same rule for all duties.

mod monitor;

use std::fmt::Display;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use log::{info, warn};
use tokio::time::sleep;

pub(crate) use monitor::{DependencyEvent, DependencyMonitor, RetryMode};

/// Interval of looks for losses that no duty suffers from any more: well under the second between lines.
const LOOK_PAUSE: Duration = Duration::from_millis(250);

/// All dependencies of a process.
#[derive(Clone, Debug)]
pub(crate) struct NodeDependencies {
    pub(crate) store: DependencyLog,
    /// The leader, as another entry sees it.
    pub(crate) leader: DependencyLog,
    pub(crate) advisor: DependencyLog,
}

impl NodeDependencies {
    pub(crate) fn new() -> Self {
        let [store, leader, advisor] = ["store", "leader", "advisor"].map(DependencyLog::new);
        Self { store, leader, advisor }
    }

    /// Looks at all of them for as long as the process runs.
    pub(crate) async fn run(self) {
        loop {
            sleep(LOOK_PAUSE).await;
            self.store.look();
            self.leader.look();
            self.advisor.look();
        }
    }
}

/// Where duties report how their tries of one dependency went.
#[derive(Clone, Debug)]
pub(crate) struct DependencyLog {
    name: &'static str,
    rule: Arc<Mutex<DependencyMonitor>>,
}

impl DependencyLog {
    fn new(name: &'static str) -> Self {
        let log = Self { name, rule: Arc::default() };
        log.show(false);
        log
    }

    /// A try of a duty that goes on trying has failed.
    pub(crate) fn failed(&self, duty: &str, failure: impl Display) {
        self.note_failure(duty, RetryMode::Steady, &failure);
    }

    /// A try that there was need of has ended.
    pub(crate) fn tried<T, E: Display>(&self, duty: &str, result: &Result<T, E>) {
        match result {
            Ok(_) => self.answered(duty),
            Err(failure) => self.note_failure(duty, RetryMode::OnDemand, failure),
        }
    }

    /// A try of a duty was answered.
    pub(crate) fn answered(&self, duty: &str) {
        self.take(|rule| rule.answered(duty));
    }

    fn look(&self) {
        self.take(DependencyMonitor::look);
    }

    fn note_failure(&self, duty: &str, mode: RetryMode, failure: &dyn Display) {
        metrics::counter!("kelplink_dependency_tries_failed_total", "dependency" => self.name)
            .increment(1);
        self.take(|rule| rule.failed(duty, mode, failure.to_string()));
    }

    /// Puts an event through the rule, and gives what follows for log and metrics.
    fn take(&self, event: impl FnOnce(&mut DependencyMonitor) -> Option<DependencyEvent>) {
        let (before, lost, line) = {
            let mut rule = self.rule.lock().unwrap_or_else(PoisonError::into_inner);
            let before = rule.is_lost();
            let line = event(&mut rule);
            (before, rule.is_lost(), line)
        };
        if lost != before {
            self.show(lost);
        }
        if let Some(line) = line {
            self.write(line);
        }
    }

    fn show(&self, lost: bool) {
        let name = self.name;
        metrics::gauge!("kelplink_dependency_lost", "dependency" => name).set(u32::from(lost));
        let losses = metrics::counter!("kelplink_dependency_losses_total", "dependency" => name);
        losses.increment(u64::from(lost));
    }

    fn write(&self, line: DependencyEvent) {
        let dependency = self.name;
        match line {
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
