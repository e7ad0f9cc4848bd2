//! Run times and sizes as they were seen, in place of the declared ones.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::ServiceId;
use crate::job::JobSpec;
use crate::resources::ResourceVector;

/// Weight of a new run time in the running mean.
const RUN_TIME_WEIGHT: f64 = 0.2;
/// Run time assumed where nothing was declared or seen.
const UNKNOWN_RUN_TIME: Duration = Duration::from_secs(600);
/// Ends seen before a smaller size than the declared one is trusted.
const SIZE_SAMPLES: u32 = 8;
/// Room left above the largest use seen, in percent.
const SIZE_MARGIN_PERCENT: u32 = 25;
/// Smallest reservation, as a fraction of the declared one.
const SIZE_FLOOR: u32 = 4;

#[derive(Clone, Debug, Default)]
struct IntentEstimate {
    run_time: Option<Duration>,
    peak: ResourceVector,
    samples: u32,
    /// Set when a task was stopped for exceeding a corrected size.
    declared_only: bool,
}

/// What is learned about each intent.
#[derive(Clone, Debug, Default)]
pub struct EstimateTable {
    intents: BTreeMap<ServiceId, IntentEstimate>,
}

impl EstimateTable {
    /// Notes a task that succeeded.
    pub fn note_success(&mut self, intent: &ServiceId, run_time: Duration, peak: ResourceVector) {
        let estimate = self.intents.entry(intent.clone()).or_default();
        estimate.run_time = Some(match estimate.run_time {
            Some(mean) => mean.mul_f64(1.0 - RUN_TIME_WEIGHT) + run_time.mul_f64(RUN_TIME_WEIGHT),
            None => run_time,
        });
        estimate.peak = estimate.peak.component_max(&peak);
        estimate.samples += 1;
    }

    /// Notes a task that was stopped because it used more than its reservation.
    pub fn note_over_limit(&mut self, intent: &ServiceId) {
        self.intents.entry(intent.clone()).or_default().declared_only = true;
    }

    /// Run time to expect.
    pub fn run_time(&self, spec: &JobSpec) -> Duration {
        let seen = self.intents.get(&spec.intent).and_then(|estimate| estimate.run_time);
        seen.or(spec.run_time).unwrap_or(UNKNOWN_RUN_TIME)
    }

    /// Room to reserve: the declared size, or less where much less was seen often enough.
    pub fn need(&self, spec: &JobSpec) -> ResourceVector {
        match self.intents.get(&spec.intent) {
            Some(estimate) if estimate.samples >= SIZE_SAMPLES && !estimate.declared_only => {
                corrected(&spec.need, &estimate.peak)
            }
            _ => spec.need,
        }
    }
}

fn corrected(declared: &ResourceVector, peak: &ResourceVector) -> ResourceVector {
    let shrink = |declared: u32, peak: u32| {
        let wanted = peak.saturating_add(peak / 100 * SIZE_MARGIN_PERCENT + 1);
        wanted.clamp((declared / SIZE_FLOOR).min(declared), declared)
    };
    ResourceVector::new(
        shrink(declared.millicores, peak.millicores),
        shrink(declared.memory_mib, peak.memory_mib),
        declared.accelerators,
    )
}
