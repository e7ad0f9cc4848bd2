//! Starts and stops of runs, until their workers have answered.

use std::time::Duration;

use log::{info, warn};
use tokio::time::Instant;

use crate::graph::begin_evidence::BeginEvidence;
use crate::graph::controller::GraphController;
use crate::graph::crash::{PROBATION, SuspectRun};
use crate::graph::event::{CommandResult, GraphAction, StartCommand};
use crate::graph::exchange::{CallFailure, InstanceId, WorkerRefusal};
use crate::graph::instances::WORKER_LEASE;
use crate::graph::name::{GraphId, RunNumber, TaskKey, TaskName};
use crate::graph::placer::PlannedStart;
use crate::graph::preemption::PlannedPreemption;
use crate::graph::worker::{RunPhase, WorkerRun};
use crate::id::WorkerId;

/// Sends of a start before it is stopped: a worker that answers neither is not well.
const START_TRIES: u32 = 4;
/// How long a worker that is not well is given no new work.
const SHUN_UNWELL: Duration = Duration::from_millis(1_500);
/// How long a worker that left a start unanswered is given no new work.
const SHUN_SILENT: Duration = Duration::from_millis(700);
/// How long a worker that refused a start for want of room is given no new work: its next list, which a
/// poll brings within half a second at a busy worker, may show why.
const SHUN_REFUSED: Duration = Duration::from_millis(250);
/// Time from one stop of a run to the next, while it is not answered.
const STOP_AGAIN: Duration = Duration::from_millis(400);

impl GraphController {
    /// Starts a task on a worker.
    pub(super) fn begin(&mut self, now: Instant, start: &PlannedStart, run: Option<RunNumber>) {
        let base = self.run_base();
        let Some(job) = self.jobs.get(&start.job) else {
            return;
        };
        let Some(step) = job.step(start.task.step) else {
            return;
        };
        let run = run.unwrap_or_else(|| job.next_run(&start.task, base));
        let task = job.task_name(start.task);
        let phase = RunPhase::Sent { tries: 0 };
        let entry = WorkerRun {
            probation: Some(now + PROBATION),
            suspected: job.is_suspected(start.task),
            ..WorkerRun::new(run, phase, now, Some((job, step)))
        };
        let announced = self.jobs.consume_announcement(&task);
        let entry = WorkerRun { suspicion_stored: announced, ..entry };
        if let Some(instance) = self.instances.get_mut(&start.worker) {
            instance.add_run(task.clone(), entry);
            if announced {
                let worker = start.worker.clone();
                let (address, instance_start) = (instance.address(), instance.instance_start);
                let suspect_run = SuspectRun { run, worker, address, instance_start };
                self.jobs.note_suspect_run(&task, suspect_run);
                self.commits.change(task.job.clone(), now, true);
            }
        }
        self.jobs.note_run(&task, start.worker.clone(), run);
        metrics::counter!("kelplink_run_starts_total").increment(1);
        self.send_start(now, &start.worker, &task);
    }

    /// Has the store note that a task may be started soon.
    pub(super) fn announce(&mut self, now: Instant, job: &GraphId, task: TaskKey) {
        let task = TaskName::new(job.clone(), task);
        let base = self.run_base();
        self.jobs.announce(&task, base, self.lost_before_contact);
        self.commits.change(job.clone(), now, true);
    }

    /// Sends the start of a run, again where it was sent before.
    fn send_start(&mut self, now: Instant, worker: &WorkerId, task: &TaskName) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let key = (task.job.clone(), task.key.step);
        let ticket = self.advice.step(&key).and_then(|step| step.ticket(worker, now));
        let gang = job.step(task.key.step).is_some_and(|step| step.gang);
        // In a gang one member's checkpoint holds for all.
        let keeper = if gang { TaskKey { index: 0, ..task.key } } else { task.key };
        let checkpoint = job.progress.saved.get(&keeper).cloned().unwrap_or_default();
        let payload = job.spec.payload.clone();
        let Some(instance) = self.instances.get_mut(worker) else {
            return;
        };
        // Sent again to a worker that may be gone, a start extends no lease: its task ran elsewhere after
        // 6.2 s in place of 4.6 s.
        let before =
            instance.runs.get(task).and_then(|run| run.until).filter(|_| instance.misses > 0);
        let Some(until) = before.or_else(|| instance.extend_lease(now, WORKER_LEASE)) else {
            return;
        };
        let (address, instance_start) = (instance.address(), instance.instance_start);
        let Some(entry) = instance.runs.get_mut(task) else {
            return;
        };
        let run = entry.run;
        let tries = match entry.phase {
            RunPhase::Sent { tries } => tries + 1,
            RunPhase::Running { .. } | RunPhase::Stopping { .. } => return,
        };
        entry.phase = RunPhase::Sent { tries };
        entry.until = entry.until.max(Some(until));
        entry.sends += 1;
        info!(task:% = task, run, worker = &**worker, tries, resumes = !checkpoint.is_empty(); "start sent");
        self.actions.push(GraphAction::Start(StartCommand {
            worker: worker.clone(),
            instance_start,
            address,
            task: task.clone(),
            run,
            payload,
            until,
            checkpoint,
            ticket,
        }));
    }

    /// Takes in the answer to a start that was meant for a life of a worker.
    pub fn handle_start_result(
        &mut self,
        now: Instant,
        id: &InstanceId,
        task: &TaskName,
        run: RunNumber,
        result: CommandResult,
    ) {
        if result.is_ok() {
            // The run may have been given up or told to stop since.
            self.note_begun(now, task, run, BeginEvidence::Answered);
        }
        let worker = &id.worker;
        let Some(instance) = self
            .instances
            .get_mut(worker)
            .filter(|instance| instance.instance_start == id.instance_start)
        else {
            return;
        };
        if let Ok(clock) = &result {
            instance.note_answer(now, *clock);
        }
        let sent = instance.runs.get(task).map(|entry| entry.since);
        let reached = sent.and_then(|sent| instance.clock_reached_by(sent));
        let taken_by_newer_instance =
            matches!((&result, reached), (Ok(clock), Some(least)) if *clock < least);
        if taken_by_newer_instance {
            instance.last_poll_answer = None;
        }
        let Some(entry) = instance.runs.get_mut(task).filter(|entry| entry.run == run) else {
            return;
        };
        let RunPhase::Sent { tries } = entry.phase else {
            return;
        };
        match &result {
            // What was sent again does not tell which send was answered.
            Ok(_) if tries == 1 => {
                self.window.answered(now, now.saturating_duration_since(entry.since));
            }
            Err(CallFailure::NoAnswer) => self.window.unanswered(now),
            _ => {}
        }
        let failure = match result {
            Ok(clock) => {
                entry.phase = RunPhase::Running { confirmed: clock };
                entry.taken_by_newer_instance = taken_by_newer_instance.then_some(now);
                entry.confirm(now);
                let until = entry.until.filter(|_| tries == 1 && !taken_by_newer_instance);
                instance.grant_lease(until);
                return;
            }
            Err(failure) => failure,
        };
        warn!(task:% = task, run, worker = &**worker, tries, failure:?; "start failed");
        // What was sent before without an answer may still be carried out: only a stop ends that.
        let surely_not = tries == 1;
        match failure {
            CallFailure::NoAnswer => {
                instance.note_silence(now);
                instance.excluded_until = Some(now + SHUN_SILENT);
                match tries < START_TRIES && self.jobs.wants(task) {
                    true => self.send_start(now, worker, task),
                    false => self.stop(now, worker, task, run),
                }
                return;
            }
            CallFailure::NotSent => instance.excluded_until = Some(now + SHUN_SILENT),
            CallFailure::NothingThere => {
                instance.note_refused(now);
                instance.excluded_until = Some(now + SHUN_SILENT);
            }
            CallFailure::Refused(WorkerRefusal::Unwell) => {
                instance.excluded_until = Some(now + SHUN_UNWELL);
            }
            CallFailure::Refused(WorkerRefusal::Deposed) => self.deposed = true,
            CallFailure::Refused(WorkerRefusal::OtherLife) => {
                self.replaced(now, worker);
                return;
            }
            CallFailure::Refused(WorkerRefusal::Ticket) => {
                self.advice.refused(&(task.job.clone(), task.key.step), worker, now);
            }
            // What is known of its room is wrong: chosen again at once, it refused a hundred starts a second.
            CallFailure::Refused(WorkerRefusal::NoRoom | WorkerRefusal::Invalid) => {
                instance.excluded_until = Some(now + SHUN_REFUSED);
            }
            CallFailure::Refused(_) => {}
        }
        match surely_not {
            true => self.withdraw(now, worker, task, run),
            false => self.stop(now, worker, task, run),
        }
    }

    /// A worker has been replaced by another life of it: all its runs are lost.
    fn replaced(&mut self, now: Instant, worker: &WorkerId) {
        let found = self.instances.instance_replaced(now, worker);
        self.handle_worker_events(now, found);
    }

    /// A run that surely has not begun.
    fn withdraw(&mut self, now: Instant, worker: &WorkerId, task: &TaskName, run: RunNumber) {
        if let Some(instance) = self.instances.get_mut(worker) {
            instance.remove_run(task);
        }
        let effect = self.jobs.withdraw(task, run);
        self.apply(now, &task.job, effect);
    }

    /// Stops a run.
    pub(super) fn stop(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        task: &TaskName,
        run: RunNumber,
    ) {
        let Some(instance) = self.instances.get_mut(worker) else {
            return;
        };
        let Some(entry) = instance.runs.get_mut(task).filter(|entry| entry.run == run) else {
            return;
        };
        if matches!(entry.phase, RunPhase::Stopping { .. }) {
            return;
        }
        entry.phase = RunPhase::Stopping { answered: None, sent: now };
        self.send_stop(worker, task, run);
    }

    /// Sends the stop of a run.
    pub(super) fn send_stop(&mut self, worker: &WorkerId, task: &TaskName, run: RunNumber) {
        let Some(instance) = self.instances.get(worker) else {
            return;
        };
        info!(task:% = task, run, worker = &**worker; "stop sent");
        let (address, instance_start) = (instance.address(), instance.instance_start);
        let (worker, task) = (worker.clone(), task.clone());
        self.actions.push(GraphAction::Stop { worker, instance_start, address, task, run });
    }

    /// Stops runs of less urgent queues and keeps their room for a task.
    pub(super) fn preempt(&mut self, now: Instant, plan: PlannedPreemption) {
        let PlannedPreemption { job, task, worker, need, victims } = plan;
        let name = TaskName::new(job, task);
        info!(task:% = name, worker = &*worker, victims = victims.len(); "room is made");
        metrics::counter!("kelplink_preempted_runs_total").increment(victims.len() as u64);
        self.keeper.keep(now, name, worker.clone(), need);
        for victim in victims {
            let run = self.instances.get(&worker).and_then(|instance| instance.runs.get(&victim));
            if let Some(run) = run.map(|run| run.run) {
                self.stop(now, &worker, &victim, run);
            }
        }
    }

    /// Takes in the answer to a stop that was meant for a life of a worker.
    pub fn handle_stop_result(
        &mut self,
        now: Instant,
        id: &InstanceId,
        task: &TaskName,
        run: RunNumber,
        result: CommandResult,
    ) {
        let worker = &id.worker;
        let Some(instance) = self
            .instances
            .get_mut(worker)
            .filter(|instance| instance.instance_start == id.instance_start)
        else {
            return;
        };
        match result {
            Ok(clock) => {
                instance.note_answer(now, clock);
                if let Some(entry) = instance.runs.get_mut(task).filter(|entry| entry.run == run) {
                    entry.phase = RunPhase::Stopping { answered: Some(clock), sent: now };
                }
            }
            Err(CallFailure::Refused(WorkerRefusal::OtherLife)) => {
                self.replaced(now, worker);
            }
            Err(CallFailure::Refused(WorkerRefusal::Deposed)) => self.deposed = true,
            Err(failure) => {
                metrics::counter!("kelplink_failed_stops_total").increment(1);
                let entry = instance.runs.get_mut(task).filter(|entry| entry.run == run);
                if let Some(entry) = entry {
                    entry.failed_stops += 1;
                    // A worker that is away for its whole lease is sent each stop eleven times.
                    if entry.failed_stops == 1 {
                        warn!(task:% = task, run, worker = &**worker, failure:?; "stop failed");
                    }
                    if let RunPhase::Stopping { answered: None, sent } = &mut entry.phase {
                        *sent = now;
                    }
                }
            }
        }
    }

    /// Sends stops again that were not answered.
    pub(super) fn resend(&mut self, now: Instant, authority: bool) {
        if !authority {
            return;
        }
        for instance in self.instances.iter_mut() {
            let (id, address, instance_start) =
                (instance.id().clone(), instance.address(), instance.instance_start);
            for (task, entry) in &mut instance.runs {
                let RunPhase::Stopping { answered: None, sent } = &mut entry.phase else {
                    continue;
                };
                if now.saturating_duration_since(*sent) >= STOP_AGAIN {
                    *sent = now;
                    self.actions.push(GraphAction::Stop {
                        worker: id.clone(),
                        instance_start,
                        address,
                        task: task.clone(),
                        run: entry.run,
                    });
                }
            }
        }
    }
}
