//! Keeps the forecasts of admission up to date and applies their verdicts to submissions.

use std::time::Duration;

use log::warn;
use tokio::time::Instant;

use crate::graph::admission::forecast::{
    AdmissionForecast, Candidate, EndForecast, ForecastRejection, ForecastVerdict, PassFindings,
};
use crate::graph::admission::verdict::{ClassVerdict, LoadRejection};
use crate::graph::controller::GraphController;
use crate::graph::placement::home::can_run_on;
use crate::graph::placement::placer::PassPlan;
use crate::graph::placement::step_capacity::tasks_that_fit;
use crate::graph::workload::job::{GraphJob, GraphRecord};
use crate::graph::workload::name::GraphId;
use crate::graph::workload::progress::GraphVerdict;
use crate::graph::workload::spec::StepSpec;
use crate::resources::ResourceVector;
use crate::workspace::WorkspaceAmounts;

impl GraphController {
    /// Begins forecasts for a configuration with weights, and ends them for one without. The classes of all jobs may have
    /// changed; measured rates are kept.
    pub(super) fn set_forecast(&mut self) {
        let now = self.last_pass;
        // Another shard may have accepted an earlier try of the same job, so that only a leader of everything can reject.
        let has_weights =
            !self.scope.plan.is_divided() && self.workspaces.values().any(|rule| rule.weight > 0.0);
        let known = self.forecast.take();
        self.forecast = has_weights.then(|| known.unwrap_or_else(|| AdmissionForecast::new(now)));
        if let Some(forecast) = &mut self.forecast {
            for job in self.jobs.iter().filter(|job| !job.is_over()) {
                forecast.note_job(now, job, None);
            }
        }
    }

    /// Notes a change of a job for the forecasts; `started` is when a start of it was sent now.
    pub(super) fn note_work(&mut self, now: Instant, id: &GraphId, started: Option<Instant>) {
        let Some((forecast, job)) = self.forecast.as_mut().zip(self.jobs.get(id)) else {
            return;
        };
        let forecast_end = forecast.note_job(now, job, started);
        if let Some(end) =
            forecast_end.filter(|_| job.progress.verdict == Some(GraphVerdict::Completed))
        {
            let late = now.saturating_duration_since(end).as_secs_f64();
            let early = end.saturating_duration_since(now).as_secs_f64();
            metrics::histogram!("kelplink_forecast_error_seconds").record(early - late);
        }
    }

    /// Notes for the forecasts that a job is removed.
    pub(super) fn forget_work(&mut self, id: &GraphId) {
        if let Some(forecast) = &mut self.forecast {
            forecast.forget_job(id);
        }
    }

    /// Notes an accepted job for the forecasts.
    pub(super) fn note_accepted(&mut self, now: Instant, id: &GraphId, end: Option<EndForecast>) {
        if let Some((forecast, job)) = self.forecast.as_mut().zip(self.jobs.get(id)) {
            forecast.note_accepted(now, job, end);
        }
    }

    /// Notes what a pass has found.
    pub(super) fn note_pass_findings(
        &mut self,
        now: Instant,
        plan: &mut PassPlan,
        limits: &WorkspaceAmounts,
    ) {
        let Some(forecast) = &mut self.forecast else {
            return;
        };
        self.spare = std::mem::take(&mut plan.spare);
        let cores = |limit: &ResourceVector| f64::from(limit.millicores) / 1_000.0;
        let findings = PassFindings {
            unplaced: std::mem::take(&mut plan.unplaced),
            limits: limits.iter().map(|(id, limit)| (id.clone(), cores(limit))).collect(),
            capped: plan.capped_demand.keys().cloned().collect(),
        };
        forecast.note_pass(now, findings);
    }

    /// Forecasts the end of a submitted job and decides on it.
    pub(super) fn forecast_verdict(
        &mut self,
        now: Instant,
        candidate: &Candidate<'_>,
    ) -> ForecastVerdict {
        let Some(mut forecast) = self.forecast.take() else {
            return ForecastVerdict::Accepted(None);
        };
        let verdict = forecast.decide(now, candidate, || self.has_spare_capacity(candidate.job));
        self.forecast = Some(forecast);
        verdict
    }

    /// Whether the last pass left capacity for all first tasks of a job, so that no other work could use it.
    fn has_spare_capacity(&self, job: &GraphJob) -> bool {
        let fits = |step: &StepSpec| {
            let tasks = self.spare.iter().filter_map(|(id, free)| {
                let instance = self.instances.get(id)?;
                can_run_on(step, &job.rule, &instance.registration)
                    .then(|| u64::from(tasks_that_fit(free, &step.reservation())))
            });
            tasks.sum::<u64>() >= u64::from(step.count)
        };
        !self.spare.is_empty()
            && job.spec.steps.iter().filter(|step| step.after.is_empty()).all(fits)
    }

    /// The answer to a rejected job, with the verdict on its class. A job within its rate does not count towards it.
    pub(super) fn load_rejection(
        &mut self,
        job: &GraphJob,
        rejection: &ForecastRejection,
    ) -> LoadRejection {
        let workspace = job.workspace.clone();
        let class_time = rejection.verdict_time;
        let valid_for = match job.exceeds_rate {
            true => class_time.min(self.rates.time_to_next(workspace.as_ref())),
            false => {
                self.rates.give_back(workspace.as_ref());
                class_time
            }
        };
        let verdict = ClassVerdict {
            priority: job.rule.priority,
            workspace,
            exceeds_rate: job.exceeds_rate,
            objective: job.objective(),
            valid_for,
            epoch: self.epoch,
        };
        LoadRejection { retry_delay: rejection.retry_delay, verdict }
    }

    /// Logs a rejection with the inputs of its forecast.
    pub(super) fn log_forecast_rejection(
        &self,
        record: &GraphRecord,
        rejection: &ForecastRejection,
    ) {
        let ForecastRejection { forecast, retry_delay, .. } = rejection;
        let (job, workspace) = (&*record.spec.id, record.workspace.as_deref());
        let EndForecast { class, is_capped, ahead, rate, .. } = *forecast;
        let ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let (end_ms, limit_ms) = (ms(forecast.time), ms(forecast.any_value));
        let (saturated_ms, age_ms, retry_ms) =
            (ms(forecast.saturated), ms(forecast.age), ms(*retry_delay));
        warn!(job, workspace, class:% = class, is_capped, ahead, rate, end_ms, limit_ms, saturated_ms, age_ms, retry_ms;
            "job rejected: it is forecast to end too late");
    }
}
