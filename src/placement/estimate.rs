//! Run times and reservations estimated from earlier tasks, used in place of the declared ones.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::ServiceId;
use crate::job::JobSpec;
use crate::resources::ResourceVector;

/// Weight of a new run time in the running mean.
const RUN_TIME_WEIGHT: f64 = 0.2;
/// Run time assumed where none was declared or measured.
const DEFAULT_RUN_TIME: Duration = Duration::from_secs(600);
/// Successful tasks needed before a reservation is made smaller than the declared size.
const MIN_SIZE_SAMPLES: u32 = 8;
/// Margin above the measured peak usage, in percent.
const SIZE_MARGIN_PERCENT: u32 = 25;
/// The declared size divided by this is the smallest reservation.
const SIZE_FLOOR_DIVISOR: u32 = 4;

#[derive(Clone, Debug, Default)]
struct IntentEstimate {
    run_time: Option<Duration>,
    peak: ResourceVector,
    samples: u32,
    /// Set once a task was stopped for exceeding its reservation; from then on the declared size
    /// is reserved.
    declared_only: bool,
}

/// Estimates by intent.
#[derive(Clone, Debug, Default)]
pub struct EstimateTable {
    intents: BTreeMap<ServiceId, IntentEstimate>,
}

impl EstimateTable {
    /// Records the run time and the peak usage of a task that succeeded.
    pub fn note_success(&mut self, intent: &ServiceId, run_time: Duration, peak: ResourceVector) {
        let estimate = self.intents.entry(intent.clone()).or_default();
        estimate.run_time = Some(match estimate.run_time {
            Some(mean) => mean.mul_f64(1.0 - RUN_TIME_WEIGHT) + run_time.mul_f64(RUN_TIME_WEIGHT),
            None => run_time,
        });
        estimate.peak = estimate.peak.component_max(&peak);
        estimate.samples += 1;
    }

    /// Records that a task was stopped because it used more than its reservation.
    pub fn note_over_limit(&mut self, intent: &ServiceId) {
        self.intents.entry(intent.clone()).or_default().declared_only = true;
    }

    /// Expected run time: the measured mean, else the declared time, else a default.
    pub fn run_time(&self, spec: &JobSpec) -> Duration {
        let measured = self.intents.get(&spec.intent).and_then(|estimate| estimate.run_time);
        measured.or(spec.run_time).unwrap_or(DEFAULT_RUN_TIME)
    }

    /// Resources to reserve: the declared size, or less after enough tasks used less.
    pub fn need(&self, spec: &JobSpec) -> ResourceVector {
        match self.intents.get(&spec.intent) {
            Some(estimate) if estimate.samples >= MIN_SIZE_SAMPLES && !estimate.declared_only => {
                reduced_need(&spec.need, &estimate.peak)
            }
            _ => spec.need,
        }
    }
}

fn reduced_need(declared: &ResourceVector, peak: &ResourceVector) -> ResourceVector {
    let reduce = |declared: u32, peak: u32| {
        let with_margin = peak.saturating_add(peak / 100 * SIZE_MARGIN_PERCENT + 1);
        with_margin.clamp((declared / SIZE_FLOOR_DIVISOR).min(declared), declared)
    };
    ResourceVector::new(
        reduce(declared.millicores, peak.millicores),
        reduce(declared.memory_mib, peak.memory_mib),
        declared.accelerators,
    )
}
