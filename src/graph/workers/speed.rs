//! Relative speed of workers, learned from runs of the same work on different workers.
//!
//! It is needed where workers differ in speed by a factor of two and more while declared run times are off by as much:
//! the declared time of one run then says nothing about its worker. Two runs of one step have the same true length, so
//! the ratio of their times is the ratio of their workers' speeds, whatever was declared.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::graph::workers::run::WorkerRun;
use crate::graph::workload::name::{GraphId, StepKey, TaskName};
use crate::graph::workload::work_kind::WorkKind;
use crate::id::WorkerId;

/// How long a speed is known after the last run that showed it: long enough that workers which are idle or hold only
/// lasting tasks keep theirs.
const SPEED_VALIDITY: Duration = Duration::from_secs(60);
/// Time after which a run counts a third as much as a new one: known disturbances last 4 to 7 s.
const SPEED_MEMORY_TIME: Duration = Duration::from_secs(10);
/// Largest weight, in runs, of what was seen before, so that a changed speed shows within a few runs.
const MAX_SPEED_RUNS: f64 = 6.0;
/// Weight, in runs, from which a speed counts as known.
const MIN_SPEED_RUNS: f64 = 1.0;
/// Weight, in runs, of the assumption that a worker has the mean speed.
const PRIOR_RUNS: f64 = 0.5;
/// Weight, in runs of a step elsewhere, from which its pace can be compared.
const MIN_PACE_RUNS: f64 = 0.2;
/// Largest logarithm of a change of speed that one comparison may show, a factor of eight.
const MAX_STEP_CHANGE: f64 = 2.08;
/// The same for a comparison with other jobs of the same kind, a factor of two, as their true lengths differ.
const MAX_KIND_CHANGE: f64 = 0.69;
/// Weight of a comparison with other jobs of the same kind: declared run times are off by a factor of two and more.
const KIND_WEIGHT: f64 = 0.05;
/// Number of runs of a kind from which its mean run time is compared.
const MIN_KIND_RUNS: f64 = 20.0;
/// Largest number of runs of a kind that count in its mean, so that it follows the present work.
const MAX_KIND_RUNS: f64 = 1_000.0;
/// Shortest time for which the pace of a step is kept after the last measurement of its tasks, and the number of
/// measurements that may be missed within it where tasks are longer.
const PACE_RETENTION: Duration = Duration::from_secs(30);
const PACE_RETENTION_FACTOR: u32 = 4;
/// How long the mean run time of a kind is kept after the last run of it.
const KIND_RETENTION: Duration = Duration::from_secs(600);
/// Time from one review of the classes to the next.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);
/// Logarithm of the ratio below which speeds count as equal: 15%.
const EQUAL_SPEED_LOG: f64 = 0.14;
/// Share by which a comparison changes the mean square of deviations: it follows the last 50 runs.
const DEVIATION_GAIN: f64 = 0.02;
/// Largest logarithm of a deviation that counts as noise, so that a worker that turns slow does not count as such.
const MAX_DEVIATION: f64 = 0.5;
/// Standard error of a learned speed as a part of the deviation of single comparisons, for [`MAX_SPEED_RUNS`].
const SPEED_ERROR_SHARE: f64 = 0.26;
/// Number of standard errors that classes must be apart.
const CLASS_ERRORS: f64 = 2.0;
/// Logarithm by which a worker must be nearer to another class before it changes to it.
const CLASS_MARGIN_LOG: f64 = 0.04;
/// Largest number of classes.
const MAX_CLASSES: usize = 3;

/// Class of workers of equal speed, slowest first.
pub(crate) type SpeedClass = usize;

/// Learned speed of one worker instance. The next instance starts anew, as it may be of another kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerSpeed {
    /// Logarithm of the speed, up to an offset that all workers share.
    log: f64,
    /// Number of runs that it was learned from, less with age.
    runs: f64,
    learned_at: Option<Instant>,
    /// Class at the last review.
    pub(crate) class: SpeedClass,
}

impl WorkerSpeed {
    /// Logarithm of the speed, where enough runs have shown it recently.
    fn known(&self, now: Instant) -> Option<f64> {
        let age = self.age(now).filter(|age| *age < SPEED_VALIDITY);
        age.filter(|_| self.runs >= MIN_SPEED_RUNS).map(|_| self.log)
    }

    fn age(&self, now: Instant) -> Option<Duration> {
        self.learned_at.map(|at| now.saturating_duration_since(at))
    }

    /// Learns from a comparison and returns its deviation from what was known.
    fn learn(&mut self, now: Instant, log: f64, runs: f64, max_change: f64) -> f64 {
        let age = self.age(now).unwrap_or_default();
        if age >= SPEED_VALIDITY {
            (self.log, self.runs) = (0.0, 0.0);
        }
        let decay = (-age.as_secs_f64() / SPEED_MEMORY_TIME.as_secs_f64()).exp();
        let gain = runs / (self.runs * decay + runs + PRIOR_RUNS);
        let deviation = log - self.log;
        self.log += deviation.clamp(-max_change, max_change) * gain;
        self.runs =
            (self.runs * decay + runs).min(MAX_SPEED_RUNS).max(self.runs.min(MIN_SPEED_RUNS));
        self.learned_at = Some(now);
        deviation
    }
}

/// Sum of logarithms of run times, and the number of runs in it.
#[derive(Clone, Copy, Debug, Default)]
struct PaceSum {
    runs: f64,
    logs: f64,
}

impl PaceSum {
    fn add(&mut self, runs: f64, log: f64) {
        self.runs += runs;
        self.logs += runs * log;
    }

    fn mean(&self, min_runs: f64) -> Option<f64> {
        (self.runs >= min_runs).then(|| self.logs / self.runs)
    }
}

/// Run times of a step's tasks on all workers, as they would be at speed 1.
#[derive(Clone, Debug)]
struct StepPace {
    total: PaceSum,
    by_worker: BTreeMap<WorkerId, PaceSum>,
    kept_until: Instant,
}

impl StepPace {
    /// What was measured on other workers.
    fn elsewhere(&self, worker: &WorkerId) -> PaceSum {
        let here = self.by_worker.get(worker).copied().unwrap_or_default();
        PaceSum { runs: self.total.runs - here.runs, logs: self.total.logs - here.logs }
    }
}

/// Ratios of the seen to the declared run time of a kind, as they would be at speed 1.
#[derive(Clone, Debug)]
struct KindPace {
    ratios: PaceSum,
    kept_until: Instant,
}

impl KindPace {
    fn add(&mut self, now: Instant, runs: f64, log: f64) {
        let excess = (self.ratios.runs / MAX_KIND_RUNS).max(1.0);
        self.ratios.runs /= excess;
        self.ratios.logs /= excess;
        self.ratios.add(runs, log);
        self.kept_until = now + KIND_RETENTION;
    }
}

/// What is known about the speed of work and workers.
#[derive(Debug)]
pub(crate) struct SpeedTable {
    steps: BTreeMap<(GraphId, StepKey), StepPace>,
    kinds: BTreeMap<WorkKind, KindPace>,
    /// Mean square of the deviations of comparisons from the learned speeds.
    deviation: f64,
    /// Logarithm of the mean speed of all workers, which counts as speed 1.
    mean_log: f64,
    /// Logarithms of the speeds of the classes, slowest first.
    classes: Vec<f64>,
    review_at: Option<Instant>,
}

impl Default for SpeedTable {
    fn default() -> Self {
        Self {
            steps: BTreeMap::new(),
            kinds: BTreeMap::new(),
            deviation: MAX_DEVIATION * MAX_DEVIATION,
            mean_log: 0.0,
            classes: Vec::new(),
            review_at: None,
        }
    }
}

impl SpeedTable {
    /// Learns from the progress of a run, or from its success with 100 percent.
    pub(crate) fn note_progress(
        &mut self,
        now: Instant,
        worker: (&WorkerId, &mut WorkerSpeed),
        task: &TaskName,
        run: &mut WorkerRun,
        percent: u32,
    ) {
        let Some((share, time)) = run.measure_pace(now, percent) else {
            return;
        };
        let (id, speed) = worker;
        let run_time = (time.as_secs_f64() / share).ln();
        let key = (task.job.clone(), task.key.step);
        let pace = self.steps.entry(key).or_insert_with(|| StepPace {
            total: PaceSum::default(),
            by_worker: BTreeMap::new(),
            kept_until: now,
        });
        let elsewhere = pace.elsewhere(id);
        let declared = run.estimate.unwrap_or_default().as_secs_f64().max(0.001).ln();
        let kind = run.kind.as_ref().map(|kind| {
            let new = || KindPace { ratios: PaceSum::default(), kept_until: now };
            self.kinds.entry(kind.clone()).or_insert_with(new)
        });
        let kind_mean = kind.as_ref().and_then(|kind| kind.ratios.mean(MIN_KIND_RUNS));
        match (elsewhere.mean(MIN_PACE_RUNS), kind_mean) {
            (Some(mean), _) => {
                let runs = share * elsewhere.runs.min(1.0);
                let deviation = speed.learn(now, mean - run_time, runs, MAX_STEP_CHANGE);
                let square = deviation.clamp(-MAX_DEVIATION, MAX_DEVIATION).powi(2);
                self.deviation += (square - self.deviation) * DEVIATION_GAIN * share;
            }
            (None, Some(mean)) => {
                let log = mean + declared - run_time;
                speed.learn(now, log, share * KIND_WEIGHT, MAX_KIND_CHANGE);
            }
            (None, None) => {}
        }
        let run_time = run_time + speed.known(now).unwrap_or(self.mean_log);
        pace.kept_until = now + PACE_RETENTION.max(time * PACE_RETENTION_FACTOR);
        pace.total.add(share, run_time);
        pace.by_worker.entry(id.clone()).or_default().add(share, run_time);
        if let Some(kind) = kind {
            kind.add(now, share, run_time - declared);
        }
    }

    /// Run time of a task at speed 1, as seen on other workers.
    pub(crate) fn run_time_elsewhere(
        &self,
        worker: &WorkerId,
        task: &TaskName,
    ) -> Option<Duration> {
        let pace = self.steps.get(&(task.job.clone(), task.key.step))?;
        let mean = pace.elsewhere(worker).mean(MIN_PACE_RUNS)? - self.mean_log;
        Duration::try_from_secs_f64(mean.exp()).ok()
    }

    /// Whether the classes are due for a review.
    pub(crate) fn needs_review(&self, now: Instant) -> bool {
        self.review_at.is_none_or(|at| at <= now)
    }

    /// Forms the classes anew and assigns each worker to one. Returns the workers that have changed their class.
    pub(crate) fn review<'w>(
        &mut self,
        now: Instant,
        workers: impl Iterator<Item = (&'w WorkerId, &'w mut WorkerSpeed)>,
    ) -> Vec<ClassChange> {
        self.review_at = Some(now + REVIEW_INTERVAL);
        self.steps.retain(|_, pace| now < pace.kept_until);
        self.kinds.retain(|_, kind| now < kind.kept_until);
        let mut workers: Vec<(&WorkerId, &mut WorkerSpeed)> = workers.collect();
        let mut logs: Vec<f64> = workers.iter().filter_map(|(_, speed)| speed.known(now)).collect();
        logs.sort_by(f64::total_cmp);
        if !logs.is_empty() {
            self.mean_log = logs.iter().sum::<f64>() / logs.len() as f64;
        }
        let had_classes = self.classes.len();
        let speed_error = self.deviation.sqrt() * SPEED_ERROR_SHARE;
        self.classes = speed_classes(&logs, EQUAL_SPEED_LOG.max(CLASS_ERRORS * speed_error));
        let mut changes = Vec::new();
        for (worker, speed) in &mut workers {
            let log = speed.known(now).unwrap_or(self.mean_log);
            let class =
                self.class_of(log, (had_classes == self.classes.len()).then_some(speed.class));
            if class != speed.class {
                let relative_speed = (log - self.mean_log).exp();
                let from = std::mem::replace(&mut speed.class, class);
                changes.push(ClassChange {
                    worker: (*worker).clone(),
                    from,
                    to: class,
                    relative_speed,
                });
            }
        }
        changes
    }

    /// The class with the nearest speed. A worker stays in its class unless another is clearly nearer.
    fn class_of(&self, log: f64, current: Option<SpeedClass>) -> SpeedClass {
        let distance = |class: &SpeedClass| {
            let margin = if current == Some(*class) { CLASS_MARGIN_LOG } else { 0.0 };
            (self.classes[*class] - log).abs() - margin
        };
        let classes = 0..self.classes.len();
        classes.min_by(|a, b| distance(a).total_cmp(&distance(b))).unwrap_or(0)
    }

    /// Speed of a worker relative to the mean of all workers; `None` where it is not known.
    pub(crate) fn relative_speed(&self, now: Instant, speed: &WorkerSpeed) -> Option<f64> {
        speed.known(now).map(|log| (log - self.mean_log).exp())
    }

    /// Speeds of the classes relative to the mean of all workers, slowest first. There is one class at most where
    /// workers are alike.
    pub(crate) fn class_speeds(&self) -> Vec<f64> {
        self.classes.iter().map(|log| (log - self.mean_log).exp()).collect()
    }
}

/// A worker that has changed its class of speed.
#[derive(Clone, Debug)]
pub(crate) struct ClassChange {
    /// The worker.
    pub(crate) worker: WorkerId,
    /// Its class before.
    pub(crate) from: SpeedClass,
    /// Its class now.
    pub(crate) to: SpeedClass,
    /// Its speed relative to the mean of all workers.
    pub(crate) relative_speed: f64,
}

/// Means of the classes into which sorted logarithms of speeds fall, by k-means. Classes that are no further apart
/// than `min_gap` are merged, so equal workers with noise form one class.
fn speed_classes(logs: &[f64], min_gap: f64) -> Vec<f64> {
    let quantile = |number: usize| logs.get(logs.len() * (2 * number + 1) / (2 * MAX_CLASSES));
    let mut classes: Vec<f64> = (0..MAX_CLASSES).filter_map(quantile).copied().collect();
    merge_near(&mut classes, 0.0);
    // The means settle within a few rounds; later ones move single workers only.
    for _ in 0..4 {
        classes = class_means(logs, &classes);
    }
    merge_near(&mut classes, min_gap);
    class_means(logs, &classes)
}

/// Mean of the speeds nearest to each class.
fn class_means(logs: &[f64], classes: &[f64]) -> Vec<f64> {
    let mut sums = vec![PaceSum::default(); classes.len()];
    for log in logs {
        let nearest = (0..classes.len())
            .min_by(|a, b| (classes[*a] - log).abs().total_cmp(&(classes[*b] - log).abs()));
        if let Some(sum) = nearest.and_then(|class| sums.get_mut(class)) {
            sum.add(1.0, *log);
        }
    }
    sums.iter().filter_map(|sum| sum.mean(1.0)).collect()
}

/// Merges neighbouring classes no further apart than a distance, the nearest first.
fn merge_near(classes: &mut Vec<f64>, distance: f64) {
    loop {
        let gap = |class: &usize| classes[class + 1] - classes[*class];
        let pairs = 0..classes.len().saturating_sub(1);
        let nearest = pairs.min_by(|a, b| gap(a).total_cmp(&gap(b)));
        let Some(class) = nearest.filter(|class| gap(class) <= distance) else {
            return;
        };
        let merged = classes.remove(class + 1);
        classes[class] = (classes[class] + merged) / 2.0;
    }
}
