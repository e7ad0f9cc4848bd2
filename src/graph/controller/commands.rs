//! Sends starts and stops of runs and handles their results.

use std::time::Duration;

use log::{info, warn};
use tokio::time::Instant;

use crate::graph::controller::GraphController;
use crate::graph::controller::registrations::age_text;
use crate::graph::event::{CommandResult, GraphAction, StartCommand};
use crate::graph::exchange::{CallFailure, InstanceId, WorkerRefusal};
use crate::graph::placement::placer::PlannedStart;
use crate::graph::placement::preemption::PlannedPreemption;
use crate::graph::workers::instances::WORKER_LEASE;
use crate::graph::workers::run::{RunPhase, WorkerRun};
use crate::graph::workload::begin_evidence::BeginEvidence;
use crate::graph::workload::crash::{PROBATION, SuspectRun};
use crate::graph::workload::name::{GraphId, RunNumber, TaskKey, TaskName};
use crate::id::WorkerId;

/// Sends of a start before the run is stopped instead: a worker that answers none of them is not
/// healthy.
const MAX_START_TRIES: u32 = 4;
/// How long a worker that reports itself unwell is excluded from new work.
const UNWELL_EXCLUSION: Duration = Duration::from_millis(1_500);
/// How long a worker that left a start unanswered is excluded from new work.
const UNANSWERED_EXCLUSION: Duration = Duration::from_millis(700);
/// How long a worker that refused a start for lack of capacity is excluded from new work. Its next
/// run list, which a poll returns within half a second from a busy worker, may show the reason.
const REFUSED_EXCLUSION: Duration = Duration::from_millis(250);
/// Interval between sends of the stop of a run while there is no answer.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(400);

impl GraphController {
    /// Starts a task on a worker.
    pub(super) fn start_task(
        &mut self,
        now: Instant,
        start: &PlannedStart,
        run: Option<RunNumber>,
    ) {
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
        let worker_run = WorkerRun {
            probation: Some(now + PROBATION),
            suspected: job.is_suspected(start.task),
            ..WorkerRun::new(run, phase, now, Some((job, step)))
        };
        let announced = self.jobs.consume_announcement(&task);
        let worker_run = WorkerRun { suspicion_stored: announced, ..worker_run };
        self.instances.add_run(&start.worker, task.clone(), worker_run);
        if let Some(instance) = self.instances.get(&start.worker)
            && announced
        {
            let worker = start.worker.clone();
            let (address, instance_start) = (instance.address(), instance.instance_start);
            let suspect_run = SuspectRun { run, worker, address, instance_start };
            self.jobs.note_suspect_run(&task, suspect_run);
            self.commits.change(task.job.clone(), now, true);
        }
        self.jobs.note_run(&task, start.worker.clone(), run);
        metrics::counter!("kelplink_run_starts_total").increment(1);
        self.send_start(now, &start.worker, &task);
    }

    /// Has the store record that a task may be started soon.
    pub(super) fn announce(&mut self, now: Instant, job: &GraphId, task: TaskKey) {
        let task = TaskName::new(job.clone(), task);
        let base = self.run_base();
        self.jobs.announce(&task, base, self.lost_before_contact);
        self.commits.change(job.clone(), now, true);
    }

    /// Sends the start of a run, for the first time or again.
    fn send_start(&mut self, now: Instant, worker: &WorkerId, task: &TaskName) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let key = (task.job.clone(), task.key.step);
        let ticket = self.advice.step(&key).and_then(|step| step.ticket(worker, now));
        let gang = job.step(task.key.step).is_some_and(|step| step.gang);
        // The tasks of a gang share the checkpoint of task 0.
        let checkpoint_task = if gang { TaskKey { index: 0, ..task.key } } else { task.key };
        let checkpoint = job.progress.saved.get(&checkpoint_task).cloned().unwrap_or_default();
        let payload = job.spec.payload.clone();
        let registrations_age = self.instances.registration_clock.age(now);
        let Some(instance) = self.instances.get_mut(worker) else {
            return;
        };
        // A start that is sent again to a worker that may be gone does not extend its lease: with
        // an extension its task ran elsewhere only after 6.2 s instead of 4.6 s.
        let before =
            instance.runs.get(task).and_then(|run| run.until).filter(|_| instance.misses > 0);
        let Some(until) = before.or_else(|| instance.extend_lease(now, WORKER_LEASE)) else {
            return;
        };
        let (address, instance_start) = (instance.address(), instance.instance_start);
        let fence = instance.fence;
        let registrations_ms = age_text(registrations_age);
        let Some(worker_run) = instance.runs.get_mut(task) else {
            return;
        };
        let run = worker_run.run;
        let tries = match worker_run.phase {
            RunPhase::Sent { tries } => tries + 1,
            RunPhase::Running { .. } | RunPhase::Stopping { .. } => return,
        };
        worker_run.phase = RunPhase::Sent { tries };
        worker_run.until = worker_run.until.max(Some(until));
        worker_run.sends += 1;
        info!(task:% = task, run, worker = &**worker, tries, registrations_ms, resumes = !checkpoint.is_empty(); "start sent");
        self.actions.push(GraphAction::Start(StartCommand {
            worker: worker.clone(),
            instance_start,
            fence,
            address,
            task: task.clone(),
            run,
            payload,
            until,
            checkpoint,
            ticket,
        }));
    }

    /// Handles the result of a start that was sent to an instance of a worker.
    pub fn handle_start_result(
        &mut self,
        now: Instant,
        id: &InstanceId,
        task: &TaskName,
        run: RunNumber,
        result: CommandResult,
    ) {
        if result.is_ok() {
            // The run may have been given up or stopped in the meantime.
            self.note_begun(now, task, run, BeginEvidence::Answered);
        }
        let worker = &id.worker;
        if result == Err(CallFailure::NoAnswer)
            && self.instances.note_unanswered_start(now, id, task, run)
        {
            // The next leader has to know for how long the worker may hold its lease.
            self.commits.note_workers(now, true);
        }
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
        let sent = instance.runs.get(task).map(|worker_run| worker_run.since);
        let min_clock = sent.and_then(|sent| instance.clock_lower_bound_at(sent));
        let taken_by_newer_instance =
            matches!((&result, min_clock), (Ok(clock), Some(min_clock)) if *clock < min_clock);
        if taken_by_newer_instance {
            instance.last_poll_answer = None;
            self.commits.note_workers(now, true);
        }
        let Some(worker_run) =
            instance.runs.get_mut(task).filter(|worker_run| worker_run.run == run)
        else {
            return;
        };
        let RunPhase::Sent { tries } = worker_run.phase else {
            return;
        };
        match &result {
            // After a second send it is unknown which of them was answered.
            Ok(_) if tries == 1 => {
                self.send_window.answered(now, now.saturating_duration_since(worker_run.since));
            }
            Err(CallFailure::NoAnswer) => self.send_window.unanswered(now),
            _ => {}
        }
        let failure = match result {
            Ok(clock) => {
                worker_run.phase = RunPhase::Running { confirmed: clock };
                worker_run.taken_by_newer_instance = taken_by_newer_instance.then_some(now);
                worker_run.confirm(now);
                let until = worker_run.until.filter(|_| tries == 1 && !taken_by_newer_instance);
                instance.grant_lease(until);
                return;
            }
            Err(failure) => failure,
        };
        warn!(task:% = task, run, worker = &**worker, tries, failure:?; "start failed");
        // An earlier send without an answer may still be carried out; only a stop rules that out.
        let never_started = tries == 1;
        match failure {
            CallFailure::NoAnswer => {
                instance.note_silence(now);
                instance.excluded_until = Some(now + UNANSWERED_EXCLUSION);
                let may_retry = tries < MAX_START_TRIES && self.instances.may_retry_start(worker);
                match may_retry && self.jobs.wants(task) {
                    true => self.send_start(now, worker, task),
                    false => self.stop(now, worker, task, run),
                }
                return;
            }
            CallFailure::NotSent => instance.excluded_until = Some(now + UNANSWERED_EXCLUSION),
            CallFailure::NothingThere => {
                instance.note_refused(now);
                instance.excluded_until = Some(now + UNANSWERED_EXCLUSION);
            }
            CallFailure::Refused(WorkerRefusal::Unwell) => {
                instance.excluded_until = Some(now + UNWELL_EXCLUSION);
            }
            CallFailure::Refused(WorkerRefusal::Deposed) => self.deposed = true,
            CallFailure::Refused(WorkerRefusal::OtherLife) => {
                self.handle_replaced_instance(now, worker);
                return;
            }
            CallFailure::Refused(WorkerRefusal::Ticket) => {
                self.advice.expire_ticket(&(task.job.clone(), task.key.step), worker, now);
            }
            // The known capacity of the worker is wrong. Without an exclusion it was chosen again
            // at once and refused a hundred starts a second.
            CallFailure::Refused(WorkerRefusal::NoRoom | WorkerRefusal::Invalid) => {
                instance.excluded_until = Some(now + REFUSED_EXCLUSION);
            }
            CallFailure::Refused(_) => {}
        }
        match never_started {
            true => self.withdraw(now, worker, task, run),
            false => self.stop(now, worker, task, run),
        }
    }

    /// Handles the replacement of a worker by another instance: all its runs are lost.
    fn handle_replaced_instance(&mut self, now: Instant, worker: &WorkerId) {
        let events = self.instances.instance_replaced(now, worker);
        self.handle_worker_events(now, events);
    }

    /// Removes a run that certainly has not begun.
    fn withdraw(&mut self, now: Instant, worker: &WorkerId, task: &TaskName, run: RunNumber) {
        if let Some(instance) = self.instances.get_mut(worker) {
            instance.remove_run(task);
        }
        let effect = self.jobs.withdraw(task, run);
        self.apply_effect(now, &task.job, effect);
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
        let Some(worker_run) =
            instance.runs.get_mut(task).filter(|worker_run| worker_run.run == run)
        else {
            return;
        };
        if matches!(worker_run.phase, RunPhase::Stopping { .. }) {
            return;
        }
        worker_run.phase = RunPhase::Stopping { answered: None, sent: now };
        self.send_stop(worker, task, run);
    }

    /// Sends the stop of a run.
    pub(super) fn send_stop(&mut self, worker: &WorkerId, task: &TaskName, run: RunNumber) {
        let Some(instance) = self.instances.get(worker) else {
            return;
        };
        info!(task:% = task, run, worker = &**worker; "stop sent");
        let (address, instance_start) = (instance.address(), instance.instance_start);
        let (worker, task, fence) = (worker.clone(), task.clone(), instance.fence);
        self.actions.push(GraphAction::Stop { worker, instance_start, fence, address, task, run });
    }

    /// Stops runs of less urgent queues and reserves their capacity for a task.
    pub(super) fn preempt(&mut self, now: Instant, plan: PlannedPreemption) {
        let PlannedPreemption { job, task, worker, need, victims } = plan;
        let name = TaskName::new(job, task);
        info!(task:% = name, worker = &*worker, victims = victims.len(); "runs preempted for a task");
        metrics::counter!("kelplink_preempted_runs_total").increment(victims.len() as u64);
        self.reservations.reserve(now, name, worker.clone(), need);
        for victim in victims {
            let run = self.instances.get(&worker).and_then(|instance| instance.runs.get(&victim));
            if let Some(run) = run.map(|run| run.run) {
                self.stop(now, &worker, &victim, run);
            }
        }
    }

    /// Handles the result of a stop that was sent to an instance of a worker.
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
                if let Some(worker_run) =
                    instance.runs.get_mut(task).filter(|worker_run| worker_run.run == run)
                {
                    worker_run.phase = RunPhase::Stopping { answered: Some(clock), sent: now };
                }
            }
            Err(CallFailure::Refused(WorkerRefusal::OtherLife)) => {
                self.handle_replaced_instance(now, worker);
            }
            Err(CallFailure::Refused(WorkerRefusal::Deposed)) => self.deposed = true,
            Err(failure) => {
                metrics::counter!("kelplink_failed_stops_total").increment(1);
                let worker_run =
                    instance.runs.get_mut(task).filter(|worker_run| worker_run.run == run);
                if let Some(worker_run) = worker_run {
                    worker_run.failed_stops += 1;
                    // Only the first failure is logged: each stop is sent eleven times to a worker
                    // that is unreachable until its lease expires.
                    if worker_run.failed_stops == 1 {
                        warn!(task:% = task, run, worker = &**worker, failure:?; "stop failed");
                    }
                    if let RunPhase::Stopping { answered: None, sent } = &mut worker_run.phase {
                        *sent = now;
                    }
                }
            }
        }
    }

    /// Sends unanswered stops again.
    pub(super) fn resend(&mut self, now: Instant, may_send: bool) {
        if !may_send {
            return;
        }
        for instance in self.instances.iter_mut() {
            let (id, address, instance_start, fence) = (
                instance.id().clone(),
                instance.address(),
                instance.instance_start,
                instance.fence,
            );
            for (task, worker_run) in &mut instance.runs {
                let RunPhase::Stopping { answered: None, sent } = &mut worker_run.phase else {
                    continue;
                };
                if now.saturating_duration_since(*sent) >= STOP_RETRY_INTERVAL {
                    *sent = now;
                    self.actions.push(GraphAction::Stop {
                        worker: id.clone(),
                        instance_start,
                        fence,
                        address,
                        task: task.clone(),
                        run: worker_run.run,
                    });
                }
            }
        }
    }
}
