//! All jobs of a leader, and how they change with the ends of their runs.

mod crashes;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use log::info;
use tokio::time::Instant;

use crate::graph::exchange::{EndKind, EndReport};
use crate::graph::workers::worker_event::LostRun;
use crate::graph::workload::begin_evidence::BeginEvidence;
use crate::graph::workload::crash::{MULTI_CAUSE_CRASH_LIMIT, SuspectRun};
use crate::graph::workload::job::{GraphJob, GraphState, LiveRun};
use crate::graph::workload::jobs::crashes::{delay_start, fail_crashing_job};
use crate::graph::workload::name::{GraphId, RunNumber, StepKey, TaskKey, TaskName};
use crate::graph::workload::progress::GraphVerdict;
use crate::id::{UnixMillis, WorkerId};

/// Pause before a lasting task that ended is started again, so that a task which fails at once does not cause
/// a start every few milliseconds.
const LASTING_RESTART_PAUSE: Duration = Duration::from_millis(100);
/// Pause before a failed task is started again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// A run that should be stopped.
pub(crate) type RunToStop = (WorkerId, TaskName, RunNumber);

/// What an event changed about a job.
#[derive(Debug, Default)]
pub(crate) struct JobEffect {
    /// Its progress changed.
    pub(crate) changed: bool,
    /// Callers wait for the change to be stored.
    pub(crate) urgent: bool,
    /// Runs that are no longer needed.
    pub(crate) stops: Vec<RunToStop>,
    /// The event is the success of a run whose task has been started again since.
    pub(crate) superseded: bool,
}

/// All jobs.
#[derive(Debug, Default)]
pub struct JobTable {
    jobs: BTreeMap<GraphId, GraphJob>,
    /// Jobs that may have a task to start.
    schedulable_ids: BTreeSet<GraphId>,
    /// Jobs that may have changed since the last call of `take_changed`.
    changed: BTreeSet<GraphId>,
}

impl JobTable {
    /// Returns a job.
    pub fn get(&self, id: &GraphId) -> Option<&GraphJob> {
        self.jobs.get(id)
    }

    /// Returns a job for modification.
    pub(crate) fn get_mut(&mut self, id: &GraphId) -> Option<&mut GraphJob> {
        let job = self.jobs.get_mut(id)?;
        self.changed.insert(id.clone());
        Some(job)
    }

    /// All jobs.
    pub fn iter(&self) -> impl Iterator<Item = &GraphJob> {
        self.jobs.values()
    }

    /// All jobs, for modification.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut GraphJob> {
        self.changed.extend(self.jobs.keys().cloned());
        self.jobs.values_mut()
    }

    /// Returns the jobs that may have changed since the last call.
    pub(crate) fn take_changed(&mut self) -> BTreeSet<GraphId> {
        std::mem::take(&mut self.changed)
    }

    /// Whether a job may have a task to start.
    pub(crate) fn is_schedulable(&self, id: &GraphId) -> bool {
        self.schedulable_ids.contains(id) && self.jobs.get(id).is_some_and(|job| !job.is_over())
    }

    /// Jobs that may have a task to start.
    pub(crate) fn schedulable(&self) -> impl Iterator<Item = &GraphJob> {
        self.schedulable_ids.iter().filter_map(|id| self.jobs.get(id)).filter(|job| !job.is_over())
    }

    /// Adds a job.
    pub(crate) fn insert(&mut self, job: GraphJob) {
        let id = job.spec.id.clone();
        self.changed.insert(id.clone());
        if !job.is_over() {
            self.schedulable_ids.insert(id.clone());
        }
        self.jobs.insert(id, job);
    }

    /// Removes a job.
    pub(crate) fn remove(&mut self, id: &GraphId) {
        self.schedulable_ids.remove(id);
        self.changed.insert(id.clone());
        self.jobs.remove(id);
    }

    /// Notes that a job has nothing to start until its next event.
    pub(crate) fn mark_unschedulable(&mut self, id: &GraphId) {
        self.schedulable_ids.remove(id);
    }

    /// Notes that a job may have a task to start.
    pub(crate) fn mark_schedulable(&mut self, id: &GraphId) {
        if self.jobs.get(id).is_some_and(|job| !job.is_over()) {
            self.schedulable_ids.insert(id.clone());
            self.changed.insert(id.clone());
        }
    }

    /// Notes that a worker has begun a run of a job; only then does the job leave the queued state.
    pub(crate) fn note_begun(&mut self, task: &TaskName, evidence: BeginEvidence) {
        if let Some(job) = self.get_mut(&task.job) {
            mark_begun(job, task, evidence);
        }
    }

    /// Notes that a task has not run since a moment, where it is a lasting one of an open job.
    pub(crate) fn begin_absence(&mut self, task: &TaskName, since: Instant) {
        if let Some(job) = self.get_mut(&task.job).filter(|job| !job.is_over())
            && !job.live.contains_key(&task.key)
            && job.step(task.key.step).is_some_and(|step| step.lasting)
        {
            job.absences.begin(task.key, since);
        }
    }

    /// Notes that a worker has reported a run as begun.
    pub(crate) fn end_absence(&mut self, task: &TaskName, run: RunNumber) {
        if let Some(job) = self.get_mut(&task.job)
            && job.live.get(&task.key).is_some_and(|live| live.run == run)
        {
            job.absences.end(&task.key);
        }
    }

    /// Notes a run that was sent to a worker or found on one.
    pub(crate) fn note_run(&mut self, task: &TaskName, worker: WorkerId, run: RunNumber) {
        if let Some(job) = self.get_mut(&task.job) {
            let last = job.last_run.entry(task.key).or_default();
            *last = (*last).max(run);
            job.live.insert(task.key, LiveRun { worker, run });
        }
    }

    /// Handles a run that is gone without a reported end, or that was never begun.
    pub(crate) fn run_lost(
        &mut self,
        task: &TaskName,
        run: RunNumber,
        checkpoint: &str,
    ) -> JobEffect {
        let mut effect = JobEffect::default();
        let Some(job) = self.get_mut(&task.job) else {
            return effect;
        };
        if job.live.get(&task.key).is_some_and(|live| live.run == run) {
            job.live.remove(&task.key);
        }
        if !job.is_over() {
            effect.changed = keep_checkpoint(job, task.key, checkpoint);
            effect.stops = other_gang_members(job, task.key, run);
            self.schedulable_ids.insert(task.job.clone());
        }
        effect
    }

    /// Handles a run that is given up as its worker's lease has expired. Its end, if reported later, must not
    /// be acknowledged. A run on probation may have crashed the worker.
    pub(crate) fn run_given_up(
        &mut self,
        now: Instant,
        unix: UnixMillis,
        lost: &LostRun,
        suspect_run: Option<SuspectRun>,
    ) -> JobEffect {
        let LostRun { task, run, checkpoint, last_heard, begun, .. } = lost;
        let (run, begun) = (*run, *begun);
        let mut effect = self.run_lost(task, run, checkpoint);
        if begun {
            self.begin_absence(task, *last_heard);
        }
        if let Some(job) = self.get_mut(&task.job).filter(|job| !job.is_over()) {
            if let Some(suspect_run) = suspect_run {
                job.progress.note_suspect_run(task.key, suspect_run);
                if begun {
                    job.progress.confirm_run(task.key, run);
                }
                effect.changed = true;
                delay_start(job, task, run, now);
                fail_crashing_job(job, task, MULTI_CAUSE_CRASH_LIMIT, unix, &mut effect);
            } else {
                // It may have become a suspect before its worker announced that it leaves.
                effect.changed |= job.progress.clear_suspect_run(&task.key, run);
            }
            let lasting = job.step(task.key.step).is_some_and(|step| step.lasting);
            if !lasting && job.progress.raise_floor(task.key, run + 1) {
                (effect.changed, effect.urgent) = (true, true);
            }
        }
        effect
    }

    /// Invalidates runs of earlier leaders that this leader does not know, as they may have continued or ended
    /// without a report: for each task that may have such a run, only runs above the leader's `base` count. Returns
    /// the jobs that changed.
    pub(crate) fn invalidate_unseen_runs(
        &mut self,
        unix: UnixMillis,
        base: RunNumber,
        is_affected: impl Fn(&GraphJob) -> bool,
    ) -> Vec<GraphId> {
        let mut changed = Vec::new();
        let open_jobs = self
            .jobs
            .values_mut()
            .filter(|job| job.inherited && !job.is_over() && is_affected(job));
        for job in open_jobs {
            let first = job.run_base(base) + 1;
            let unseen: Vec<TaskKey> = job.unseen_tasks(unix);
            let raised =
                unseen.iter().filter(|task| job.progress.raise_floor(**task, first)).count();
            if raised > 0 {
                changed.push(job.spec.id.clone());
            }
        }
        self.changed.extend(changed.iter().cloned());
        changed
    }

    /// Ends a job here that another shard is to run from now on.
    pub(crate) fn move_away(&mut self, id: &GraphId, unix: UnixMillis) {
        if let Some(job) = self.get_mut(id) {
            (job.progress.verdict, job.progress.ended) = (Some(GraphVerdict::Moved), Some(unix));
            self.schedulable_ids.remove(id);
        }
    }

    /// Handles the end of a run.
    pub(crate) fn run_ended(
        &mut self,
        now: Instant,
        unix: UnixMillis,
        worker: &WorkerId,
        end: &EndReport,
    ) -> JobEffect {
        let EndReport { task, run, kind, checkpoint, .. } = end;
        let (run, kind) = (*run, *kind);
        let mut effect = JobEffect::default();
        self.changed.insert(task.job.clone());
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return effect;
        };
        let last = job.last_run.entry(task.key).or_default();
        let started_again = *last > run;
        *last = (*last).max(run);
        mark_begun(job, task, BeginEvidence::Ended);
        if job.live.get(&task.key).is_some_and(|live| live.run == run && live.worker == *worker) {
            job.live.remove(&task.key);
        }
        let Some(step) = job.step(task.key.step).cloned() else {
            // Only tasks that do not last have floors, also where the step is not known any more.
            effect.superseded = kind == EndKind::Done && !job.progress.counts(&task.key, run);
            return effect;
        };
        let is_outdated = started_again || !job.progress.counts(&task.key, run);
        effect.superseded = is_outdated && kind == EndKind::Done && !step.lasting;
        if job.is_over() || job.progress.is_done(&task.key) {
            return effect;
        }
        let suspect_cleared = job.progress.clear_suspect_run(&task.key, run);
        self.schedulable_ids.insert(task.job.clone());
        if step.lasting && !job.live.contains_key(&task.key) {
            job.absences.begin(task.key, now);
        }
        match kind {
            EndKind::Done if !step.lasting => {
                note_done(job, task.key, step.gang, step.count);
                effect.stops = unneeded_runs(job, task.key.step, run);
                effect.changed = true;
                if job.all_done() {
                    end_job(job, GraphVerdict::Completed, unix);
                    effect.urgent = true;
                }
            }
            EndKind::Done | EndKind::Failed if step.lasting => {
                if kind == EndKind::Failed {
                    job.avoided_workers.entry(task.key).or_default().insert(worker.clone());
                }
                effect.changed = job.progress.clear_crashes(&task.key);
                job.not_before.insert(task.key, now + LASTING_RESTART_PAUSE);
                effect.stops = other_gang_members(job, task.key, run);
            }
            EndKind::Failed => {
                job.progress.failures.entry(task.key).or_default().insert(run);
                job.progress.clear_crashes(&task.key);
                job.avoided_workers.entry(task.key).or_default().insert(worker.clone());
                job.not_before.insert(task.key, now + RETRY_PAUSE);
                effect.changed = true;
                effect.stops = other_gang_members(job, task.key, run);
                if failed_runs(job, task.key, step.gang) >= job.rule.max_attempts {
                    effect.stops = live_runs(job);
                    end_job(job, GraphVerdict::Failed, unix);
                    effect.urgent = true;
                }
            }
            EndKind::Done
            | EndKind::Stopped
            | EndKind::Lapsed
            | EndKind::Broken
            | EndKind::Alone => {
                effect.changed = keep_checkpoint(job, task.key, checkpoint);
                effect.stops = other_gang_members(job, task.key, run);
            }
        }
        effect.changed |= suspect_cleared;
        effect
    }

    /// Cancels a job.
    pub(crate) fn cancel(&mut self, id: &GraphId, unix: UnixMillis) -> JobEffect {
        self.end(id, GraphVerdict::Cancelled, unix)
    }

    /// Ends a job that has failed in another shard.
    pub(crate) fn fail(&mut self, id: &GraphId, unix: UnixMillis) -> JobEffect {
        self.end(id, GraphVerdict::Failed, unix)
    }

    fn end(&mut self, id: &GraphId, verdict: GraphVerdict, unix: UnixMillis) -> JobEffect {
        let mut effect = JobEffect::default();
        if let Some(job) = self.get_mut(id).filter(|job| !job.is_over()) {
            effect.stops = live_runs(job);
            effect.changed = true;
            effect.urgent = true;
            end_job(job, verdict, unix);
            self.schedulable_ids.remove(id);
        }
        effect
    }

    /// Whether a task still has to run.
    pub fn wants(&self, task: &TaskName) -> bool {
        let job = self.jobs.get(&task.job);
        job.is_some_and(|job| !job.is_over() && !job.progress.is_done(&task.key))
    }

    /// Number of accepted jobs of a queue none of whose tasks has begun.
    pub fn pending(&self, queue: &str) -> usize {
        let is_pending = |job: &&GraphJob| {
            let is_waiting = job.durable && job.state() == GraphState::Queued;
            is_waiting && !job.is_part() && !job.has_moved() && *job.spec.queue == *queue
        };
        self.jobs.values().filter(is_pending).count()
    }

    /// Returns a job whose verdict is stored and none of whose runs can continue anywhere. `knows_all_runs` is whether
    /// all runs that earlier leaders have started were found or have ended.
    ///
    /// Of other ended jobs a takeover needs the steps: a run that is found takes what its step reserves, and one that
    /// may be left counts against the cap of its workspace.
    pub(crate) fn settled(&self, id: &GraphId, knows_all_runs: bool) -> Option<&GraphJob> {
        let job = self.jobs.get(id)?;
        let has_no_runs = job.live.is_empty() && (knows_all_runs || !job.inherited);
        (job.stored_verdict.is_some() && has_no_runs).then_some(job)
    }

    /// Jobs that ended before a moment and have no live run.
    pub(crate) fn ended_before(&self, moment: UnixMillis) -> Vec<GraphId> {
        let old = |job: &&GraphJob| {
            job.stored_verdict.is_some()
                && job.live.is_empty()
                && job.progress.ended.is_some_and(|at| at < moment)
        };
        self.jobs.values().filter(old).map(|job| job.spec.id.clone()).collect()
    }
}

fn mark_begun(job: &mut GraphJob, task: &TaskName, evidence: BeginEvidence) {
    if !job.progress.begun {
        job.progress.begun = true;
        info!(task:% = task, evidence:?; "job has begun");
    }
}

fn end_job(job: &mut GraphJob, verdict: GraphVerdict, unix: UnixMillis) {
    job.progress.verdict = Some(verdict);
    job.progress.ended = Some(unix);
    job.progress.saved.clear();
    job.progress.announced.clear();
    // What a completed job has done is known without a list, so its stored progress is compact from the verdict on and
    // its compaction takes one key. For other jobs the list shows a takeover which runs may be left.
    if verdict == GraphVerdict::Completed {
        job.progress = job.progress.compacted();
    }
}

fn note_done(job: &mut GraphJob, task: TaskKey, gang: bool, count: u32) {
    let done = job.progress.done.entry(task.step).or_default();
    match gang {
        true => done.extend(0..count),
        false => {
            done.insert(task.index);
        }
    }
    job.progress.saved.remove(&task);
    job.progress.failures.remove(&task);
    job.progress.announced.remove(&task);
    job.progress.clear_crashes(&task);
}

/// Runs of a step's tasks that have already succeeded with another run. The members of a gang end together,
/// so those of the successful run need no stop.
fn unneeded_runs(job: &GraphJob, step: StepKey, run: RunNumber) -> Vec<RunToStop> {
    let gang = job.step(step).is_some_and(|step| step.gang);
    let unwanted = |(key, live): &(&TaskKey, &LiveRun)| {
        key.step == step && job.progress.is_done(key) && !(gang && live.run == run)
    };
    let live = job.live.iter().filter(unwanted);
    live.map(|(key, live)| (live.worker.clone(), job.task_name(*key), live.run)).collect()
}

/// Runs of the other members of a gang one of whose members has ended.
fn other_gang_members(job: &GraphJob, task: TaskKey, run: RunNumber) -> Vec<RunToStop> {
    if !job.step(task.step).is_some_and(|step| step.gang) {
        return Vec::new();
    }
    let members = job.live.iter().filter(|(key, live)| key.step == task.step && live.run == run);
    members.map(|(key, live)| (live.worker.clone(), job.task_name(*key), live.run)).collect()
}

fn live_runs(job: &GraphJob) -> Vec<RunToStop> {
    let live = job.live.iter();
    live.map(|(key, live)| (live.worker.clone(), job.task_name(*key), live.run)).collect()
}

/// Number of failed runs of a task; for a gang, of all its members.
fn failed_runs(job: &GraphJob, task: TaskKey, gang: bool) -> u32 {
    if !gang {
        return job.progress.failure_count(&task);
    }
    let of_step = job.progress.failures.iter().filter(|(key, _)| key.step == task.step);
    let runs: BTreeSet<RunNumber> = of_step.flat_map(|(_, runs)| runs.iter().copied()).collect();
    u32::try_from(runs.len()).unwrap_or(u32::MAX)
}

/// Keeps a checkpoint and returns whether it is new. In a gang, the checkpoint of one member applies to all.
fn keep_checkpoint(job: &mut GraphJob, task: TaskKey, checkpoint: &str) -> bool {
    let Some(step) = job.step(task.step) else {
        return false;
    };
    if checkpoint.is_empty() || !step.checkpoints || job.progress.is_done(&task) {
        return false;
    }
    let key = if step.gang { TaskKey { index: 0, ..task } } else { task };
    let before = job.progress.saved.insert(key, checkpoint.to_owned());
    before.as_deref() != Some(checkpoint)
}
