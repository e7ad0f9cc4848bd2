//! Reports lasting tasks that do not run, and what each of them waits for.

use std::time::Duration;

use log::warn;
use tokio::time::Instant;

use crate::graph::controller::GraphController;
use crate::graph::workload::job::GraphJob;
use crate::graph::workload::name::TaskKey;

/// Absence from which a task is logged; a call for advice and a start take about a second.
const MIN_REPORTED_ABSENCE: Duration = Duration::from_secs(3);

impl GraphController {
    /// Reports the lasting task that has been absent longest.
    pub(super) fn report_absences(&self, now: Instant) {
        let mut tasks = 0_u32;
        let absences = self.jobs.schedulable().flat_map(|job| {
            let here = job.absences.iter().filter(|(task, _)| job.holds_task(task));
            here.map(move |(task, since)| (since, job, *task))
        });
        let longest = absences.inspect(|_| tasks += 1).min_by_key(|(since, ..)| *since);
        let absence = longest.as_ref().map(|(since, ..)| now.saturating_duration_since(*since));
        let absence = absence.unwrap_or_default();
        metrics::gauge!("kelplink_absent_lasting_tasks").set(tasks);
        metrics::gauge!("kelplink_longest_absence_seconds").set(absence.as_secs_f64());
        let Some((_, job, key)) = longest.filter(|_| absence >= MIN_REPORTED_ABSENCE) else {
            return;
        };
        let (task, waits_for) = (job.task_name(key), self.reason_for_wait(now, job, key));
        let absence_ms = absence.as_millis() as u64;
        warn!(task:% = task, absence_ms, tasks, waits_for; "lasting tasks do not run");
    }

    /// What a lasting task that does not run waits for.
    fn reason_for_wait(&self, now: Instant, job: &GraphJob, task: TaskKey) -> &'static str {
        let advice_key = (job.spec.id.clone(), task.step);
        let advice = self.advice.step(&advice_key);
        match () {
            () if job.live.contains_key(&task) => "an answer to its start",
            () if self.unsettled_domains().affects(job) => "workers of earlier leaders",
            () if !job.waiting(task.step).contains(&task) => "the store",
            () if job.not_before.get(&task).is_some_and(|start| *start > now) => "its pause",
            () if job.rule.advice.is_none() => "capacity",
            () if !self.advice.may_request(&advice_key, now) => "an answer of the advisor",
            () if advice.is_some_and(|advice| advice.tickets(now).next().is_some()) => "capacity",
            () => "a call for advice",
        }
    }
}
