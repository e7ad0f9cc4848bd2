//! Distinguishes a machine that is too slow to lead from a leader with more load than any machine could handle.
//!
//! Late timers alone do not show that a machine is slow. With 1,100 workers under one leader, timers were late on
//! every machine: nine entries in turn stepped down as too slow within a minute, and each successor claimed all
//! workers again, which made its own timers late. On a slow machine timers are late although few inputs are handled.

use std::time::Duration;

use tokio::time::Instant;

/// Lateness of timers from which a machine may be too slow to lead: timers are late by less than 5 ms on a
/// healthy leader, and by 20 to 130 ms on one that is seven times slower.
const SLOW_LATENESS: Duration = Duration::from_millis(35);
/// Inputs per second and core from which a late leader is overloaded rather than slow: half of what a leader of
/// 220 workers handled with its machine fully used.
const BUSY_INPUTS_PER_CORE: f64 = 1_600.0;
/// Weight of a new measurement in the moving average, in fifths.
const NEW_WEIGHT: u32 = 2;

/// Moving averages of the lateness of timers and of the rate of handled inputs, over about five timers.
#[derive(Clone, Debug)]
pub(crate) struct LatenessMonitor {
    lateness: Duration,
    inputs_per_second: f64,
    last: (Instant, u64),
}

impl LatenessMonitor {
    pub(crate) fn new() -> Self {
        Self { lateness: Duration::ZERO, inputs_per_second: 0.0, last: (Instant::now(), 0) }
    }

    /// Records that a timer was late by `late`; `inputs` is the total of inputs that this process's leaders have handled.
    pub(crate) fn note(&mut self, late: Duration, inputs: u64) {
        let (measured_at, inputs_before) = self.last;
        let seconds = measured_at.elapsed().as_secs_f64();
        self.lateness = (self.lateness * (5 - NEW_WEIGHT) + late * NEW_WEIGHT) / 5;
        if seconds > 0.0 {
            let weight = f64::from(NEW_WEIGHT) / 5.0;
            let rate = inputs.saturating_sub(inputs_before) as f64 / seconds;
            self.inputs_per_second += (rate - self.inputs_per_second) * weight;
            self.last = (Instant::now(), inputs);
        }
    }

    /// Whether timers are late.
    pub(crate) fn is_late(&self) -> bool {
        self.lateness >= SLOW_LATENESS
    }

    /// Whether a machine with this many cores is too slow to lead.
    pub(crate) fn is_slow(&self, cores: f64) -> bool {
        self.is_late() && self.inputs_per_second < BUSY_INPUTS_PER_CORE * cores
    }

    /// Resets the measured lateness.
    pub(crate) fn reset(&mut self) {
        self.lateness = Duration::ZERO;
    }
}
