//! Forecasts when a submitted job could end, and rejects it where nothing of its value would be left by then.
//!
//! The load pattern behind it is an excess of work for some seconds: of 267 quick jobs that one workspace sent beyond
//! its rate in six seconds all were accepted, and 29 ended in time. Each of the others waited for an answer that was
//! worth nothing, and stayed in each pass for the rest of the day.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::graph::admission::service_rate::ServiceRates;
use crate::graph::admission::work_class::WorkClass;
use crate::graph::admission::work_ledger::{ServingPlace, WorkLedger, is_forecastable, open_work};
use crate::graph::workload::job::{GraphJob, VALUE_EXPIRY_FACTOR};
use crate::graph::workload::name::{AttemptId, GraphId};
use crate::id::WorkspaceId;

/// How long a leader has to have served before it rejects: the mean rates and the runs found on workers are known by
/// then.
const WARM_UP: Duration = Duration::from_secs(2);
/// How long ready tasks of a class have to have found no capacity before the class counts as saturated. Preemption
/// takes up to half a second, so that a burst which it can serve has capacity by then.
const SATURATION_TIME: Duration = Duration::from_millis(500);
/// Multiple of the objective from which on a class is rejected as far as it would be late: what is accepted with a later
/// end takes the capacity of jobs that could still be in time.
const MARGIN_FACTOR: u32 = 2;
/// Age of the last pass from which its findings say nothing about the present.
const MAX_PASS_AGE: Duration = Duration::from_secs(1);
/// How long the forecasts of a class have to have been in time before the class leaves the margin. Forecasts of an
/// excess that lasts hover about the objective.
const MARGIN_TIME: Duration = Duration::from_secs(2);
/// How long a caller waits in all; what it has waited before this try counts towards the age of its job.
const CALLER_WAIT: Duration = Duration::from_secs(3);
/// Shortest delay before a caller should try again.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest such delay: forecasts do not reach further.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);
/// Time that a caller needs for its last try: a job is stored within 15 ms, and with a slow store within 240 ms.
const LAST_TRY_TIME: Duration = Duration::from_millis(300);
/// Part by which the delays of callers are spread in both directions, so that they do not return together; where the
/// caller's own limit ends the delay, twice the part before it.
const JITTER: f64 = 0.25;
/// Longest time for which entries may reject by a verdict without asking again.
const MAX_VERDICT_TIME: Duration = Duration::from_secs(1);
/// Longest forecast: longer ones say no more.
const MAX_FORECAST: Duration = Duration::from_secs(24 * 3_600);

/// A submitted job and what is known about its caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate<'j> {
    /// The job.
    pub(crate) job: &'j GraphJob,
    /// Number of the caller's request.
    pub(crate) attempt: AttemptId,
    /// How long the caller still waits.
    pub(crate) caller_timeout: Duration,
}

/// Forecast of a job's end, with its inputs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct EndForecast {
    /// Class of the job.
    pub(crate) class: WorkClass,
    /// Whether the cap of its workspace limits it, rather than the capacity.
    pub(crate) is_capped: bool,
    /// Work ahead of it, in core-seconds.
    pub(crate) ahead: f64,
    /// Rate at which that work is served, in core-seconds a second.
    pub(crate) rate: f64,
    /// Time until the job ends.
    pub(crate) time: Duration,
    /// Time from now within which it keeps its full value.
    pub(crate) full_value: Duration,
    /// Time from now after which it has no value.
    pub(crate) any_value: Duration,
    /// Objective of the job, by which its class is judged: what this caller has waited says nothing about the class.
    pub(crate) objective: Duration,
    /// How long its class, or the cap of its workspace, has been saturated.
    pub(crate) saturated: Duration,
    /// Age of the pass that found it saturated.
    pub(crate) age: Duration,
}

impl EndForecast {
    /// Time until the backlog has fallen by what a job that is submitted now for the first time would be late.
    fn excess_time(&self) -> Duration {
        self.time.saturating_sub(self.objective)
    }
}

/// Rejection of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ForecastRejection {
    /// Why.
    pub(crate) forecast: EndForecast,
    /// When the caller should try again.
    pub(crate) retry_delay: Duration,
    /// How long other jobs of the class are rejected as well.
    pub(crate) verdict_time: Duration,
}

/// Verdict on a submitted job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ForecastVerdict {
    /// It is accepted; with the forecast, where there is one.
    Accepted(Option<EndForecast>),
    /// It would end without value.
    Rejected(ForecastRejection),
}

/// What a placement pass found about a class of work.
#[derive(Clone, Debug, Default)]
pub(crate) struct PassFindings {
    /// Tasks that were ready and found no capacity.
    pub(crate) unplaced: BTreeMap<WorkClass, usize>,
    /// Cores that each workspace with a cap may use.
    pub(crate) limits: BTreeMap<WorkspaceId, f64>,
    /// Workspaces with ready tasks that their cap keeps waiting.
    pub(crate) capped: BTreeSet<WorkspaceId>,
}

/// What is rejected in part: a class, or that of one workspace where its cap limits it.
type MarginKey = (WorkClass, Option<WorkspaceId>);

/// Forecasts for the jobs of one leader.
#[derive(Clone, Debug)]
pub(crate) struct AdmissionForecast {
    ledger: WorkLedger,
    rates: ServiceRates,
    /// When the first pass was made.
    serving_since: Option<Instant>,
    last_pass: Option<Instant>,
    findings: PassFindings,
    /// Since when ready tasks of each class have found no capacity.
    saturated: BTreeMap<WorkClass, Instant>,
    /// Since when the cap of each workspace has kept ready tasks waiting.
    capped: BTreeMap<WorkspaceId, Instant>,
    /// Classes of which all is rejected that would be late, with the time at which their forecast was last late.
    margins: BTreeMap<MarginKey, Instant>,
    /// Until when capacity is promised to callers that were asked to try again.
    promises: BTreeMap<MarginKey, Instant>,
}

impl AdmissionForecast {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            ledger: WorkLedger::new(now),
            rates: ServiceRates::default(),
            serving_since: None,
            last_pass: None,
            findings: PassFindings::default(),
            saturated: BTreeMap::new(),
            capped: BTreeMap::new(),
            margins: BTreeMap::new(),
            promises: BTreeMap::new(),
        }
    }

    /// Notes the present state of a job; `started` is the time at which this leader has sent the start of its new
    /// runs. Returns when the job was forecast to end, once it has ended.
    pub(crate) fn note_job(
        &mut self,
        now: Instant,
        job: &GraphJob,
        started: Option<Instant>,
    ) -> Option<Instant> {
        self.ledger.update(now, job, started, &mut self.rates)
    }

    /// Notes a job that was accepted now.
    pub(crate) fn note_accepted(
        &mut self,
        now: Instant,
        job: &GraphJob,
        forecast: Option<EndForecast>,
    ) {
        self.note_job(now, job, None);
        if let Some(forecast) = forecast {
            self.ledger.note_forecast(&job.spec.id, now + forecast.time);
        }
        if is_forecastable(job) {
            self.rates.note_arrival(now, WorkClass::of(job), core_seconds(job));
        }
    }

    /// Notes that a job is no longer known.
    pub(crate) fn forget_job(&mut self, id: &GraphId) {
        self.ledger.remove(id);
    }

    /// Notes what a pass has found.
    pub(crate) fn note_pass(&mut self, now: Instant, findings: PassFindings) {
        self.serving_since.get_or_insert(now);
        self.last_pass = Some(now);
        self.saturated.retain(|class, _| findings.unplaced.contains_key(class));
        for class in findings.unplaced.keys() {
            self.saturated.entry(*class).or_insert(now);
        }
        self.capped.retain(|workspace, _| findings.capped.contains(workspace));
        for workspace in &findings.capped {
            self.capped.entry(workspace.clone()).or_insert(now);
        }
        self.findings = findings;
        self.ledger.advance(now);
    }

    /// Decides on a submitted job. `has_capacity` tells whether the last pass left capacity that the job could use.
    pub(crate) fn decide(
        &mut self,
        now: Instant,
        candidate: &Candidate<'_>,
        has_capacity: impl FnOnce() -> bool,
    ) -> ForecastVerdict {
        let Some(forecast) = self.forecast(now, candidate) else {
            return ForecastVerdict::Accepted(None);
        };
        let class = forecast.class;
        let key = (class, candidate.job.workspace.clone().filter(|_| forecast.is_capped));
        // The class is judged by the objective, and the job by what it can still keep of its value.
        if forecast.time > forecast.objective * MARGIN_FACTOR {
            self.margins.insert(key.clone(), now);
        }
        if forecast.time > forecast.objective
            && let Some(last_late) = self.margins.get_mut(&key)
        {
            *last_late = now;
        }
        self.margins.retain(|_, last_late| now.saturating_duration_since(*last_late) < MARGIN_TIME);
        let in_margin = self.margins.contains_key(&key);
        let is_rejected = forecast.time > forecast.any_value
            || (in_margin && forecast.time > forecast.full_value);
        // Work within the rates is rejected last.
        let spares = !class.exceeds_rate && self.ledger.has_excess_before(class);
        let is_free = || !forecast.is_capped && has_capacity();
        match is_rejected && !spares && !is_free() {
            true => ForecastVerdict::Rejected(self.reject(now, candidate, forecast, key)),
            false => ForecastVerdict::Accepted(Some(forecast)),
        }
    }

    /// Forecasts the end of a job; `None` where nothing is known that would speak against the job.
    fn forecast(&mut self, now: Instant, candidate: &Candidate<'_>) -> Option<EndForecast> {
        let job = candidate.job;
        let class = WorkClass::of(job);
        let passed = |since: Option<Instant>| now.saturating_duration_since(since.unwrap_or(now));
        let age = passed(self.last_pass);
        if passed(self.serving_since) < WARM_UP || age > MAX_PASS_AGE || !is_forecastable(job) {
            return None;
        }
        self.ledger.advance(now);
        let waited = CALLER_WAIT.saturating_sub(candidate.caller_timeout);
        let full_value = job.objective().saturating_sub(waited);
        let any_value = (job.objective() * VALUE_EXPIRY_FACTOR).saturating_sub(waited);
        let objective = job.objective();
        let path = job.critical_paths.iter().max().copied().unwrap_or_default();
        let chain = path.as_secs_f64() / self.rates.speed(class);
        let forecast = |is_capped: bool, saturated: Duration, rate: f64| {
            let end = |value: Duration| {
                let latest_start = now + value.saturating_sub(path);
                let place = ServingPlace { class, latest_start };
                let ahead = self.ahead(place, job, is_capped, any_value);
                (ahead, ahead / rate + chain)
            };
            // A job that cannot be served in time is served by the latest start with which it keeps some value.
            let (ahead, seconds) = match end(full_value) {
                (ahead, seconds) if seconds <= full_value.as_secs_f64() => (ahead, seconds),
                _ => end(any_value),
            };
            let time = Duration::from_secs_f64(seconds.clamp(0.0, MAX_FORECAST.as_secs_f64()));
            EndForecast {
                class,
                is_capped,
                ahead,
                rate,
                time,
                full_value,
                any_value,
                objective,
                saturated,
                age,
            }
        };
        let saturated = passed(self.saturated.range(..=class).map(|(_, since)| *since).min());
        let drain_rate = self.rates.drain_rate(now, class);
        let by_capacity = (saturated >= SATURATION_TIME && drain_rate > 0.0)
            .then(|| forecast(false, saturated, drain_rate));
        let capped = passed(job.workspace.as_ref().and_then(|id| self.capped.get(id)).copied());
        let limit = job.workspace.as_ref().and_then(|id| self.findings.limits.get(id));
        let cap_rate = limit.copied().unwrap_or_default() * self.rates.speed(class);
        let by_cap =
            (capped >= SATURATION_TIME && cap_rate > 0.0).then(|| forecast(true, capped, cap_rate));
        by_capacity.into_iter().chain(by_cap).max_by_key(|forecast| forecast.time)
    }

    /// Work ahead of a job at a place: that of its workspace alone where a cap limits it. `horizon` is the time in
    /// which the job keeps value.
    fn ahead(
        &self,
        place: ServingPlace,
        job: &GraphJob,
        is_capped: bool,
        horizon: Duration,
    ) -> f64 {
        match &job.workspace {
            Some(workspace) if is_capped => self.ledger.ahead_in(place, workspace),
            workspace => {
                let horizon = horizon.as_secs_f64();
                let bound = |(id, cores): (&WorkspaceId, &f64)| (id.clone(), cores * horizon);
                let bounds = self.findings.limits.iter().map(bound).collect();
                self.ledger.ahead(place, workspace.as_ref(), &bounds)
            }
        }
    }

    fn reject(
        &mut self,
        now: Instant,
        candidate: &Candidate<'_>,
        forecast: EndForecast,
        key: MarginKey,
    ) -> ForecastRejection {
        // The job would be accepted once the backlog has fallen by what it is late; callers that were asked to return
        // before come first.
        let late = forecast.excess_time().min(MAX_RETRY_DELAY);
        let work = core_seconds(candidate.job) / forecast.rate;
        let work = Duration::from_secs_f64(work.min(MAX_RETRY_DELAY.as_secs_f64()));
        let verdict_time = match self.margins.contains_key(&key) {
            true => late.min(MAX_VERDICT_TIME),
            // Only this job is too late, as its caller has waited.
            false => Duration::ZERO,
        };
        self.promises.retain(|_, promise| *promise > now);
        let promise = self.promises.entry(key).or_insert(now);
        *promise = ((*promise).max(now + late) + work).min(now + MAX_RETRY_DELAY);
        let delay = promise.saturating_duration_since(now);
        let retry_delay = spread_delay(delay, candidate.attempt, candidate.caller_timeout);
        ForecastRejection { forecast, retry_delay, verdict_time }
    }
}

/// Delay until a caller should try again, spread by the number of its request. It ends before the caller gives up:
/// forecasts may be wrong, and its last try is worth making. HTTP knows whole seconds only, so that a delay of a second
/// or more is one of the two whole seconds about it, the nearer one more often.
pub(crate) fn spread_delay(
    delay: Duration,
    attempt: AttemptId,
    caller_timeout: Duration,
) -> Duration {
    // Numbers may be random or consecutive; the multiplier distributes both evenly.
    let hash = attempt.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let fraction = |bits: u64| (bits & u64::from(u32::MAX)) as f64 / f64::from(u32::MAX);
    let (place, rounding) = (fraction(hash >> 32), fraction(hash.rotate_left(29)));
    let latest = caller_timeout.saturating_sub(LAST_TRY_TIME).as_secs_f64();
    let end = (delay.as_secs_f64() * (1.0 + JITTER)).min(latest);
    let spread = end * (1.0 - 2.0 * JITTER * place);
    let seconds = match spread >= 1.0 {
        true => (spread + rounding).floor().min(latest.floor()),
        false => spread,
    };
    Duration::from_secs_f64(seconds).max(MIN_RETRY_DELAY)
}

/// Declared work of a new job, in core-seconds.
fn core_seconds(job: &GraphJob) -> f64 {
    open_work(job) as f64 / 1_000.0
}
