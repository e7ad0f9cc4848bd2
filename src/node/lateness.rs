//! Whether a leader's machine is too slow to lead, or has more to do than any would.
//!
//! Load it answers: 1,100 workers under one leader, whose timers were late whichever machine it was. Nine entries
//! in turn stepped down as too slow within a minute, and each successor claimed all workers anew, which made
//! it late as well. A machine that is slow is late with little done.

use std::time::Duration;

use tokio::time::Instant;

/// Lateness of timers from which a machine may be too slow to lead: a healthy leader's are late by less
/// than 5 ms, those of one that is seven times slower by 20 to 130 ms.
const SLOW_LATENESS: Duration = Duration::from_millis(35);
/// Answers and calls that a leader takes in a second for each core while it is late, from which it is not
/// slow: half of what a leader of 220 workers took with all of its machine.
const SOUND_INPUTS: f64 = 1_600.0;
/// Weight of a new measurement, in fifths.
const NEW_WEIGHT: u32 = 2;

/// How late timers are and how much is done meanwhile, smoothed over five timers.
#[derive(Clone, Debug)]
pub(crate) struct LatenessMonitor {
    lateness: Duration,
    inputs_a_second: f64,
    last: (Instant, u64),
}

impl LatenessMonitor {
    pub(crate) fn new() -> Self {
        Self { lateness: Duration::ZERO, inputs_a_second: 0.0, last: (Instant::now(), 0) }
    }

    /// A timer was late by `late`, and the leaders of this process have taken `inputs` in all so far.
    pub(crate) fn note(&mut self, late: Duration, inputs: u64) {
        let (at, before) = self.last;
        let passed = at.elapsed().as_secs_f64();
        self.lateness = (self.lateness * (5 - NEW_WEIGHT) + late * NEW_WEIGHT) / 5;
        if passed > 0.0 {
            let weight = f64::from(NEW_WEIGHT) / 5.0;
            let rate = inputs.saturating_sub(before) as f64 / passed;
            self.inputs_a_second += (rate - self.inputs_a_second) * weight;
            self.last = (Instant::now(), inputs);
        }
    }

    /// Whether timers are late.
    pub(crate) fn is_late(&self) -> bool {
        self.lateness >= SLOW_LATENESS
    }

    /// Whether a machine with so many cores is too slow to lead.
    pub(crate) fn is_slow(&self, processor: f64) -> bool {
        self.is_late() && self.inputs_a_second < SOUND_INPUTS * processor
    }

    /// Begins to measure anew.
    pub(crate) fn forget(&mut self) {
        self.lateness = Duration::ZERO;
    }
}
