//! A simulated worker: it accepts calls only of the newest leader, holds a lease on a clock of its
//! own, and reports runs and ends.

use std::collections::BTreeMap;
use std::time::Duration;

use kelplink::{
    EndKind, EndReport, FenceOffset, FenceToken, PollReply, ResourceVector, RunNumber, RunReport,
    TaskName, WorkerId, WorkerRefusal, WorkerRegistration,
};
use tokio::time::Instant;

/// Time during which a reduced capacity is not enforced yet: one heartbeat until it is reported,
/// and three seconds until a leader in contact must apply it.
const SHRINK_GRACE: Duration = Duration::from_millis(4_500);

/// Number of ends that a worker lists at a time.
pub(crate) const MAX_LISTED_ENDS: usize = 500;

/// A run that a worker holds.
#[derive(Clone, Debug)]
pub(crate) struct ModelRun {
    pub(crate) run: RunNumber,
    pub(crate) need: ResourceVector,
    pub(crate) started_at: Instant,
    pub(crate) declared_run_time: Duration,
    /// True run time at speed 1, in percent of the declared one.
    pub(crate) length_percent: u32,
    pub(crate) fails: bool,
    /// When a stop takes effect.
    pub(crate) stop_time: Option<Instant>,
}

/// State and faults of a worker.
#[derive(Clone, Debug)]
pub(crate) struct ModelWorker {
    pub(crate) registration: WorkerRegistration,
    /// Capacities with the time from which each applies, oldest first.
    capacities: Vec<(Instant, ResourceVector)>,
    pub(crate) up: bool,
    /// Whether calls reach the worker.
    pub(crate) connected: bool,
    /// Whether calls are refused, and not left unanswered, while it runs and is not connected.
    pub(crate) refuses_when_cut_off: bool,
    /// Milliseconds that the worker's clock advances in a second.
    pub(crate) clock_rate: u32,
    /// Factor by which tasks take longer than declared.
    pub(crate) slowdown: u32,
    /// Speed in percent, by which the run time of every task is divided.
    pub(crate) speed_percent: u32,
    /// Whether every run that the worker starts fails.
    pub(crate) fails_runs: bool,
    /// Reason with which the worker refuses every start.
    pub(crate) start_refusal: Option<WorkerRefusal>,
    pub(crate) started: Instant,
    /// Since when no fault has separated the worker from its leader.
    pub(crate) fault_free_since: Instant,
    pub(crate) fence: FenceToken,
    pub(crate) lease: Duration,
    pub(crate) runs: BTreeMap<TaskName, ModelRun>,
    pub(crate) ends: Vec<EndReport>,
    pub(crate) last_end: u64,
    /// Number of ends that it lists at a time.
    pub(crate) max_listed_ends: usize,
    /// Number of the last end before its lease last expired, whether or not anything was running then.
    pub(crate) last_end_before_expiry: u64,
    /// Highest run of each task that was stopped or ended on this worker.
    pub(crate) closed_runs: BTreeMap<TaskName, RunNumber>,
    /// When this instance was first polled.
    pub(crate) contact: Option<Instant>,
    /// When the leaders learned that the worker leaves.
    pub(crate) leaving_since: Option<Instant>,
}

impl ModelWorker {
    pub(crate) fn new(registration: WorkerRegistration, now: Instant, clock_rate: u32) -> Self {
        Self {
            capacities: vec![(now, registration.capacity)],
            registration,
            up: true,
            connected: true,
            refuses_when_cut_off: false,
            clock_rate,
            slowdown: 1,
            speed_percent: 100,
            fails_runs: false,
            start_refusal: None,
            started: now,
            fault_free_since: now,
            fence: 0,
            lease: Duration::ZERO,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            max_listed_ends: MAX_LISTED_ENDS,
            last_end_before_expiry: 0,
            closed_runs: BTreeMap::new(),
            contact: None,
            leaving_since: None,
        }
    }

    /// Creates the next instance on the same machine: its capacity stays, and so does the time
    /// until a change of it has been reported.
    pub(crate) fn next_instance(
        &self,
        registration: WorkerRegistration,
        now: Instant,
        rate: u32,
    ) -> Self {
        let (capacities, connected) = (self.capacities.clone(), self.connected);
        let max_listed_ends = self.max_listed_ends;
        Self { capacities, connected, max_listed_ends, ..Self::new(registration, now, rate) }
    }

    pub(crate) fn id(&self) -> &WorkerId {
        &self.registration.id
    }

    pub(crate) fn clock(&self, now: Instant) -> Duration {
        Duration::from_secs(5)
            + now.saturating_duration_since(self.started) * self.clock_rate / 1_000
    }

    pub(crate) fn used(&self) -> ResourceVector {
        let needs = self.runs.values().map(|run| run.need);
        needs.fold(ResourceVector::default(), |sum, need| sum.saturating_add(&need))
    }

    /// Changes the capacity as of `now`; the next heartbeat reports it.
    pub(crate) fn resize(&mut self, now: Instant, capacity: ResourceVector) {
        self.registration.capacity = capacity;
        self.capacities.push((now, capacity));
    }

    /// The largest use that a start sent at this time may lead to: a reduced capacity is enforced
    /// only after [`SHRINK_GRACE`].
    pub(crate) fn max_capacity(&self, sent: Instant) -> ResourceVector {
        let since = sent.checked_sub(SHRINK_GRACE).unwrap_or(sent);
        let ends = self.capacities.iter().skip(1).map(|(from, _)| Some(*from)).chain([None]);
        let relevant =
            self.capacities.iter().zip(ends).filter(|(_, until)| until.is_none_or(|at| at > since));
        relevant.fold(ResourceVector::default(), |largest, ((_, capacity), _)| ResourceVector {
            millicores: largest.millicores.max(capacity.millicores),
            memory_mib: largest.memory_mib.max(capacity.memory_mib),
            accelerators: largest.accelerators.max(capacity.accelerators),
        })
    }

    /// Ends the runs that are over, and all runs once the lease has expired.
    pub(crate) fn advance(&mut self, now: Instant) {
        let expired = self.clock(now) > self.lease;
        let tasks: Vec<TaskName> = self.runs.keys().cloned().collect();
        for task in tasks {
            let run = &self.runs[&task];
            let done = now >= run.started_at + self.run_time(run);
            let kind = match () {
                () if expired => EndKind::Lapsed,
                () if run.stop_time.is_some_and(|time| time <= now) => EndKind::Stopped,
                () if done && run.fails => EndKind::Failed,
                () if done => EndKind::Done,
                () => continue,
            };
            let number = run.run;
            self.end(&task, number, kind);
        }
        if expired {
            self.last_end_before_expiry = self.last_end;
        }
    }

    pub(crate) fn end(&mut self, task: &TaskName, run: RunNumber, kind: EndKind) {
        self.runs.remove(task);
        self.close(task, run);
        self.last_end += 1;
        self.ends.push(EndReport {
            number: self.last_end,
            task: task.clone(),
            run,
            kind,
            checkpoint: String::new(),
        });
    }

    pub(crate) fn close(&mut self, task: &TaskName, run: RunNumber) {
        let closed_runs = self.closed_runs.entry(task.clone()).or_default();
        *closed_runs = (*closed_runs).max(run);
    }

    pub(crate) fn check_fence(&mut self, token: FenceToken) -> Result<(), WorkerRefusal> {
        if token < self.fence {
            return Err(WorkerRefusal::Deposed);
        }
        self.fence = token;
        Ok(())
    }

    pub(crate) fn extend(&mut self, until: Duration, now: Instant, longest: Duration) {
        let until = until.min(self.clock(now) + longest);
        self.lease = self.lease.max(until);
    }

    /// Whether a task of a job was started on this worker.
    pub(crate) fn was_assigned(&self, job: &str) -> bool {
        self.runs.keys().chain(self.closed_runs.keys()).any(|task| &*task.job == job)
    }

    fn run_time(&self, run: &ModelRun) -> Duration {
        let length = run.declared_run_time * run.length_percent / 100;
        length * self.slowdown * 100 / self.speed_percent
    }

    /// Progress of a run, in percent.
    fn percent(&self, run: &ModelRun, now: Instant) -> u32 {
        let run_time = self.run_time(run).as_millis().max(1);
        let passed = now.saturating_duration_since(run.started_at).as_millis();
        u32::try_from(passed * 100 / run_time).unwrap_or(100).min(100)
    }

    pub(crate) fn report(&mut self, now: Instant, acked: u64, fence: FenceOffset) -> PollReply {
        self.ends.retain(|end| end.number > acked);
        let running = self.runs.iter().map(|(task, run)| RunReport {
            task: task.clone(),
            run: run.run,
            checkpoint: String::new(),
            percent: self.percent(run, now),
            reported_load: 0,
        });
        let running = running.collect();
        PollReply {
            instance_start: self.registration.instance_start,
            fence,
            clock: self.clock(now),
            running,
            ended: self.ends.iter().take(self.max_listed_ends).cloned().collect(),
            has_more_ends: self.ends.len() >= self.max_listed_ends,
        }
    }
}
