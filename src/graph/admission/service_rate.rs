//! How fast each class of work is served, measured over the last seconds.
//!
//! The load pattern behind it is an excess of urgent work in a cluster that long work already fills: what the urgent
//! work gets depends on preemption and on the leader's pace, so that its rate cannot be told from the capacity.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::graph::admission::work_class::WorkClass;

/// Time constant of the mean of the processors in use: several quick tasks long, so that the gaps between passes
/// do not show.
const SERVICE_TIME: Duration = Duration::from_secs(2);
/// Time constant of the mean of arrivals: at forty jobs a second it is accurate to a tenth.
const ARRIVAL_TIME: Duration = Duration::from_secs(4);
/// Smallest share of its time constant over which arrivals are averaged; a single arrival just after the start is no
/// rate.
const MIN_ARRIVAL_WEIGHT: f64 = 0.2;
/// Factor by which each ended task discounts the earlier ones: the speed follows the last fifty.
const SPEED_DISCOUNT: f64 = 0.98;
/// Weight of ended tasks from which on they tell the speed.
const MIN_SPEED_SAMPLES: f64 = 5.0;
/// Bounds of the ratio between declared and seen run times.
const SPEED_RANGE: (f64, f64) = (0.2, 5.0);
/// Least part of the rate of all work up to a class that remains for the class itself: the arrivals of more urgent
/// work are estimated as well.
const MIN_RATE_SHARE: f64 = 0.05;

/// Mean of a level over the last seconds, exact from the first moment on.
#[derive(Clone, Copy, Debug)]
struct DecayingMean {
    level: f64,
    sum: f64,
    weight: f64,
    counted: Instant,
}

impl DecayingMean {
    fn new(now: Instant) -> Self {
        Self { level: 0.0, sum: 0.0, weight: 0.0, counted: now }
    }

    fn set(&mut self, now: Instant, level: f64) {
        let decay = decay(self.counted, now, SERVICE_TIME);
        self.sum = self.sum * decay + self.level * (1.0 - decay);
        self.weight = self.weight * decay + (1.0 - decay);
        (self.level, self.counted) = (level, self.counted.max(now));
    }

    fn mean(&self) -> f64 {
        if self.weight > 0.0 { self.sum / self.weight } else { self.level }
    }
}

/// Amount that arrives a second, over the last seconds.
#[derive(Clone, Copy, Debug)]
struct ArrivalRate {
    sum: f64,
    weight: f64,
    counted: Instant,
}

impl ArrivalRate {
    fn new(now: Instant) -> Self {
        Self { sum: 0.0, weight: 0.0, counted: now }
    }

    fn add(&mut self, now: Instant, amount: f64) {
        let decay = decay(self.counted, now, ARRIVAL_TIME);
        self.sum = self.sum * decay + amount / ARRIVAL_TIME.as_secs_f64();
        self.weight = self.weight * decay + (1.0 - decay);
        self.counted = self.counted.max(now);
    }

    fn rate(&self, now: Instant) -> f64 {
        let decay = decay(self.counted, now, ARRIVAL_TIME);
        let weight = self.weight * decay + (1.0 - decay);
        self.sum * decay / weight.max(MIN_ARRIVAL_WEIGHT)
    }
}

fn decay(from: Instant, to: Instant, time: Duration) -> f64 {
    (-to.saturating_duration_since(from).as_secs_f64() / time.as_secs_f64()).exp()
}

/// Declared and seen run times of ended tasks.
#[derive(Clone, Copy, Debug, Default)]
struct RunSpeed {
    declared: f64,
    seen: f64,
    samples: f64,
}

impl RunSpeed {
    fn note(&mut self, declared: Duration, seen: Duration) {
        self.declared = self.declared * SPEED_DISCOUNT + declared.as_secs_f64();
        self.seen = self.seen * SPEED_DISCOUNT + seen.as_secs_f64();
        self.samples = self.samples * SPEED_DISCOUNT + 1.0;
    }

    /// Declared time that is worked off in a second of a run.
    fn factor(&self) -> f64 {
        let known = self.samples >= MIN_SPEED_SAMPLES && self.seen > 0.0;
        let factor = if known { self.declared / self.seen } else { 1.0 };
        factor.clamp(SPEED_RANGE.0, SPEED_RANGE.1)
    }
}

/// What one class gets and what arrives in it, in cores.
#[derive(Clone, Copy, Debug)]
struct ClassRate {
    held: DecayingMean,
    arrivals: ArrivalRate,
    speed: RunSpeed,
}

impl ClassRate {
    fn new(now: Instant) -> Self {
        Self {
            held: DecayingMean::new(now),
            arrivals: ArrivalRate::new(now),
            speed: RunSpeed::default(),
        }
    }

    /// Declared core-seconds served a second. While the class gains capacity its present use counts, and in a
    /// gap between two passes its mean.
    fn served(&self) -> f64 {
        self.held.level.max(self.held.mean()) * self.speed.factor()
    }
}

/// Rates of all classes.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceRates {
    classes: BTreeMap<WorkClass, ClassRate>,
}

impl ServiceRates {
    /// Notes the processors in use by a class, in cores.
    pub(crate) fn note_held(&mut self, now: Instant, class: WorkClass, cores: f64) {
        self.class(now, class).held.set(now, cores);
    }

    /// Notes work of a class that was accepted, in declared core-seconds.
    pub(crate) fn note_arrival(&mut self, now: Instant, class: WorkClass, core_seconds: f64) {
        self.class(now, class).arrivals.add(now, core_seconds);
    }

    /// Notes the run time of a task that has succeeded.
    pub(crate) fn note_run_time(
        &mut self,
        now: Instant,
        class: WorkClass,
        declared: Duration,
        seen: Duration,
    ) {
        if !declared.is_zero() {
            self.class(now, class).speed.note(declared, seen);
        }
    }

    /// Declared time that the runs of a class work off in a second.
    pub(crate) fn speed(&self, class: WorkClass) -> f64 {
        self.classes.get(&class).map_or(1.0, |rate| rate.speed.factor())
    }

    /// Rate at which the work ahead of a new job of a class is served, in declared core-seconds a second: what all
    /// classes up to its own get, less what arrives in more urgent ones. Zero if none of them gets anything.
    pub(crate) fn drain_rate(&self, now: Instant, class: WorkClass) -> f64 {
        let (mut served, mut arriving, mut own) = (0.0, 0.0, 0.0);
        for (other, rate) in self.classes.range(..=class) {
            served += rate.served();
            match *other == class {
                true => own = rate.served(),
                false => arriving += rate.arrivals.rate(now),
            }
        }
        (served - arriving).max(own).max(served * MIN_RATE_SHARE)
    }

    fn class(&mut self, now: Instant, class: WorkClass) -> &mut ClassRate {
        self.classes.entry(class).or_insert_with(|| ClassRate::new(now))
    }
}
