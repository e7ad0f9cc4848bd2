//! A worker as the leader's calls meet it: a fence, a lease on a clock of its own, runs and ends.

use std::collections::BTreeMap;
use std::time::Duration;

use kelplink::{
    EndKind, EndReport, LeaderEpoch, PollReply, ResourceVector, RunNumber, RunReport, TaskName,
    WorkerId, WorkerRefusal, WorkerRegistration,
};
use tokio::time::Instant;

/// How long a room that has shrunk does not count yet: three seconds in which a leader in touch hears of it, and
/// one heartbeat.
const SHRUNK_AFTER: Duration = Duration::from_millis(4_500);

/// A run at a worker.
#[derive(Clone, Debug)]
pub(crate) struct ModelRun {
    pub(crate) run: RunNumber,
    pub(crate) need: ResourceVector,
    pub(crate) begun: Instant,
    pub(crate) declared_run_time: Duration,
    pub(crate) fails: bool,
    /// When a stop takes effect.
    pub(crate) stops: Option<Instant>,
}

/// A worker.
#[derive(Clone, Debug)]
pub(crate) struct ModelWorker {
    pub(crate) registration: WorkerRegistration,
    /// Its room since a moment, oldest first.
    rooms: Vec<(Instant, ResourceVector)>,
    pub(crate) up: bool,
    /// Whether calls reach it.
    pub(crate) reached: bool,
    /// Thousandths of a second that its clock counts a second.
    pub(crate) rate: u32,
    /// Times as long as they should that tasks take.
    pub(crate) slowness: u32,
    /// Whether all that it starts fails.
    pub(crate) spoils: bool,
    /// Why it refuses every start.
    pub(crate) refuses: Option<WorkerRefusal>,
    pub(crate) started: Instant,
    /// Since when nothing is in the way between it and a leader.
    pub(crate) calm_since: Instant,
    pub(crate) fence: LeaderEpoch,
    pub(crate) lease: Duration,
    pub(crate) runs: BTreeMap<TaskName, ModelRun>,
    pub(crate) ends: Vec<EndReport>,
    pub(crate) last_end: u64,
    /// Highest run of each task that was stopped or ended here.
    pub(crate) closed: BTreeMap<TaskName, RunNumber>,
}

impl ModelWorker {
    pub(crate) fn new(registration: WorkerRegistration, now: Instant, rate: u32) -> Self {
        Self {
            rooms: vec![(now, registration.capacity)],
            registration,
            up: true,
            reached: true,
            rate,
            slowness: 1,
            spoils: false,
            refuses: None,
            started: now,
            calm_since: now,
            fence: 0,
            lease: Duration::ZERO,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            closed: BTreeMap::new(),
        }
    }

    /// The same machine in another life: its room stays, and so does the time that a change of it takes to be heard.
    pub(crate) fn next_instance(
        &self,
        registration: WorkerRegistration,
        now: Instant,
        rate: u32,
    ) -> Self {
        let (rooms, reached) = (self.rooms.clone(), self.reached);
        Self { rooms, reached, ..Self::new(registration, now, rate) }
    }

    pub(crate) fn id(&self) -> &WorkerId {
        &self.registration.id
    }

    pub(crate) fn clock(&self, now: Instant) -> Duration {
        Duration::from_secs(5) + now.saturating_duration_since(self.started) * self.rate / 1_000
    }

    pub(crate) fn used(&self) -> ResourceVector {
        let needs = self.runs.values().map(|run| run.need);
        needs.fold(ResourceVector::default(), |sum, need| sum.saturating_add(&need))
    }

    /// Its room is another from now on, and it says so with its next heartbeat.
    pub(crate) fn resize(&mut self, now: Instant, room: ResourceVector) {
        self.registration.capacity = room;
        self.rooms.push((now, room));
    }

    /// The most that it may hold by a start that was sent at a moment: a room that has shrunk counts only after a while.
    pub(crate) fn most_room(&self, sent: Instant) -> ResourceVector {
        let since = sent.checked_sub(SHRUNK_AFTER).unwrap_or(sent);
        let next = self.rooms.iter().skip(1).map(|(from, _)| Some(*from)).chain([None]);
        let counts =
            self.rooms.iter().zip(next).filter(|(_, until)| until.is_none_or(|at| at > since));
        counts.fold(ResourceVector::default(), |most, ((_, room), _)| ResourceVector {
            millicores: most.millicores.max(room.millicores),
            memory_mib: most.memory_mib.max(room.memory_mib),
            accelerators: most.accelerators.max(room.accelerators),
        })
    }

    /// Lets time pass: ends what is over, kills all when the lease has run out.
    pub(crate) fn pass(&mut self, now: Instant) {
        let lapsed = self.clock(now) > self.lease;
        let tasks: Vec<TaskName> = self.runs.keys().cloned().collect();
        for task in tasks {
            let run = &self.runs[&task];
            let done = now >= run.begun + run.declared_run_time * self.slowness;
            let kind = match () {
                () if lapsed => EndKind::Lapsed,
                () if run.stops.is_some_and(|stops| stops <= now) => EndKind::Stopped,
                () if done && run.fails => EndKind::Failed,
                () if done => EndKind::Done,
                () => continue,
            };
            let number = run.run;
            self.end(&task, number, kind);
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
        let closed = self.closed.entry(task.clone()).or_default();
        *closed = (*closed).max(run);
    }

    pub(crate) fn fenced(&mut self, epoch: LeaderEpoch) -> Result<(), WorkerRefusal> {
        if epoch < self.fence {
            return Err(WorkerRefusal::Deposed);
        }
        self.fence = epoch;
        Ok(())
    }

    pub(crate) fn extend(&mut self, until: Duration, now: Instant, longest: Duration) {
        let until = until.min(self.clock(now) + longest);
        self.lease = self.lease.max(until);
    }

    /// Whether a task of a job was started here.
    pub(crate) fn was_given(&self, job: &str) -> bool {
        self.runs.keys().chain(self.closed.keys()).any(|task| &*task.job == job)
    }

    /// Share of a run that is done, in percent.
    fn percent(&self, run: &ModelRun, now: Instant) -> u32 {
        let declared_run_time = (run.declared_run_time * self.slowness).as_millis().max(1);
        let passed = now.saturating_duration_since(run.begun).as_millis();
        u32::try_from(passed * 100 / declared_run_time).unwrap_or(100).min(100)
    }

    pub(crate) fn report(&mut self, now: Instant, acked: u64) -> PollReply {
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
            clock: self.clock(now),
            running,
            ended: self.ends.clone(),
        }
    }
}
