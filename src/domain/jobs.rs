//! Jobs of the failure domain: submission, placement and the record of their outcome.

use std::collections::BTreeSet;

use log::{debug, info, warn};
use tokio::time::Instant;

use crate::config::{ConfigRevision, assigned_count};
use crate::domain::controller::{CommitWaiter, DomainController, LeaderState, ReplyTo};
use crate::id::{Attempt, JobId, TaskId, WorkerId};
use crate::intent::JobKind;
use crate::job::{JobRecord, JobSpec, TaskEnd};
use crate::ledger::{LedgerRecord, job_name};
use crate::message::{CallRefusal, ClientAnswer, JobRequest, JobView};
use crate::placement::{PlacementAction, StopReason, WorkerSpec};
use crate::routing::UpstreamSpec;
use crate::worker::{TaskOutcome, TaskReport, TaskUsage, WorkerCommand};

/// Marks the names of jobs that were made from an intent and not submitted by a caller.
const INTENT_MARK: char = '~';
/// Number of records in the ledger of one failure domain from which on new jobs are refused.
const MAX_LEDGER_RECORDS: usize = 20_000;
/// Time for which the record of an ended job is kept.
const ENDED_JOB_RETENTION_MS: u64 = 3_600_000;
/// Time for which an idempotency key is kept.
const KEY_RETENTION_MS: u64 = 86_400_000;
/// Slots of an upstream that is a task of a service.
const SERVICE_TASK_SLOTS: u32 = 8;

impl DomainController {
    /// Record of a job in the ledger.
    pub(crate) fn job(&self, id: &JobId) -> Option<&JobRecord> {
        match self.journal.get(&job_name(id)) {
            Some(LedgerRecord::Job(record)) => Some(record),
            _ => None,
        }
    }

    /// Accepts a job. The answer is sent when the job is durable, or at once while the store is down.
    pub(crate) fn submit(&mut self, now: Instant, to: ReplyTo, request: JobRequest) {
        if let Some(known) = self.job(&request.id) {
            let same = known.spec.intent == request.intent
                && request.count.is_none_or(|count| count == known.spec.count)
                && request.command.as_ref().is_none_or(|command| *command == known.spec.command);
            return match same {
                true => self.answer_job(now, to, &request.id),
                false => {
                    let reason = "another job has this name".to_owned();
                    self.refuse(&to, CallRefusal::Contradiction(reason));
                }
            };
        }
        let config = self.config.current();
        let Some(intent) = config.intents.get(&request.intent) else {
            let reason = format!("no intent {}", request.intent);
            return self.refuse(&to, CallRefusal::NotFound(reason));
        };
        let unix = self.clock.unix(now);
        let mut spec = JobSpec::new(request.id.clone(), &intent.spec, intent.changed, unix);
        spec.count = request.count.unwrap_or(spec.count.max(1));
        spec.command = request.command.unwrap_or(spec.command);
        if let Some(reason) = self.impossible_reason(&spec) {
            return self.refuse(&to, CallRefusal::Impossible(reason));
        }
        if self.journal.len() >= MAX_LEDGER_RECORDS {
            return self.refuse(&to, CallRefusal::Busy);
        }
        if !spec.idempotent && !self.journal.open() {
            return self.refuse(&to, CallRefusal::StoreDown);
        }
        let id = spec.id.clone();
        self.add_new_job(spec);
        self.answer_job_when_durable(now, to, &id);
    }

    fn impossible_reason(&self, spec: &JobSpec) -> Option<String> {
        if spec.kind == JobKind::Service {
            return Some("services are started by intents".to_owned());
        }
        let leader = self.leader.as_ref().filter(|leader| leader.settled)?;
        let pool = leader.scheduler.pool();
        if !pool.fits_some_worker(&spec.need) {
            let largest = pool.largest();
            let resource = spec.need.exceeded_resource(&largest).unwrap_or("room on one worker");
            return Some(format!("a task needs more {resource} than any worker has: {largest:?}"));
        }
        let total_need = spec.need.times(spec.count);
        match spec.kind {
            JobKind::AllAtOnce if !total_need.fits(&pool.total()) => {
                Some(format!("all tasks together need {total_need:?} of {:?}", pool.total()))
            }
            _ => None,
        }
    }

    fn add_new_job(&mut self, spec: JobSpec) {
        let record = JobRecord::new(spec);
        if let Some(leader) = &mut self.leader {
            leader.scheduler.add_job(&record, false);
        }
        self.journal.put(LedgerRecord::Job(record));
    }

    pub(crate) fn refuse(&mut self, to: &ReplyTo, refusal: CallRefusal) {
        self.reply(to, ClientAnswer::Refused(refusal));
    }

    /// Answers with a job when its last change is durable, or at once while the store is down.
    fn answer_job_when_durable(&mut self, now: Instant, to: ReplyTo, id: &JobId) {
        let Some(mut view) = self.view_job(id) else {
            return self.refuse(&to, CallRefusal::NotFound(format!("no job {id}")));
        };
        let waits = self.journal.open() && self.leadership.store_up(now);
        match waits && !view.durable {
            true => {
                view.durable = true;
                let ticket = self.journal.last_ticket();
                let answer = ClientAnswer::Job(Box::new(view));
                self.run_when_durable(ticket, CommitWaiter::Answer(to, answer));
            }
            false => self.reply(&to, ClientAnswer::Job(Box::new(view))),
        }
    }

    fn answer_job(&mut self, now: Instant, to: ReplyTo, id: &JobId) {
        self.answer_job_when_durable(now, to, id);
    }

    /// View of a job for callers.
    pub(crate) fn view_job(&self, id: &JobId) -> Option<JobView> {
        let record = self.job(id)?.clone();
        let leader = self.leader.as_ref()?;
        let first = (id.clone(), 0);
        let live = leader.scheduler.live().range(first..).take_while(|((job, _), _)| job == id);
        let running = live
            .map(|((_, index), live)| (*index, format!("{} on {}", live.label(), live.worker())));
        let durable = self.journal.open() && self.journal.durable(&job_name(id));
        let waits = leader.scheduler.describe_wait(id);
        let domain = self.identity.domain.clone();
        Some(JobView { record, domain, durable, running: running.collect(), waits })
    }

    /// Cancels a job; the answer is sent when the cancellation is durable.
    pub(crate) fn cancel_job(&mut self, now: Instant, to: ReplyTo, id: &JobId) {
        if self.job(id).is_none() {
            return self.refuse(&to, CallRefusal::NotFound(format!("no job {id}")));
        }
        self.cancel(id);
        self.run_placement(now);
        self.answer_job_when_durable(now, to, id);
    }

    fn cancel(&mut self, id: &JobId) {
        self.journal.change_job(&job_name(id), |record| record.cancelled = true);
        if let Some(leader) = &mut self.leader {
            leader.scheduler.cancel(id);
        }
    }

    /// Adds, resizes and cancels jobs made from intents to match the configuration.
    pub(crate) fn reconcile(&mut self, now: Instant) {
        if !self.leader.as_ref().is_some_and(|leader| leader.active) || !self.config.learned() {
            return;
        }
        let unix = self.clock.unix(now);
        let mut wanted = BTreeSet::new();
        let config = self.config.current().clone();
        for intent in config.intents.values() {
            let domain = &self.identity.domain;
            let count = assigned_count(&intent.spec, domain, &self.domains);
            let id = intent_job_id(&intent.spec.service(), intent.changed, domain);
            if count > 0 {
                wanted.insert(id.clone());
                self.ensure_job(id, intent, count, unix);
            }
        }
        let unwanted: Vec<JobId> = self
            .journal
            .records()
            .filter_map(|record| match record {
                LedgerRecord::Job(job) if !job.cancelled && !job.is_over() => {
                    Some(job.spec.id.clone())
                }
                _ => None,
            })
            .filter(|id| id.contains(INTENT_MARK) && !wanted.contains(id))
            .filter(|id| !self.is_taken_over(id, &config))
            .filter(|id| self.job(id).is_some_and(|job| job.spec.revision <= config.revision))
            .collect();
        for id in unwanted {
            info!("{id} is no longer in the configuration: cancelling it");
            self.cancel(&id);
        }
    }

    /// Tells whether a job was taken over from another failure domain and is still in the
    /// configuration.
    fn is_taken_over(&self, id: &JobId, config: &ConfigRevision) -> bool {
        let domain_name = id.rsplit_once('@').map(|(_, domain)| domain);
        let other = self.domains.iter().find(|domain| Some(&***domain) == domain_name);
        let Some(other) = other.filter(|domain| **domain != self.identity.domain) else {
            return false;
        };
        config.intents.values().any(|intent| {
            let count = assigned_count(&intent.spec, other, &self.domains);
            count > 0 && intent_job_id(&intent.spec.service(), intent.changed, other) == *id
        })
    }

    fn ensure_job(
        &mut self,
        id: JobId,
        intent: &crate::config::AcceptedIntent,
        count: u32,
        unix: u64,
    ) {
        let mut spec = JobSpec::new(id.clone(), &intent.spec, intent.changed, unix);
        spec.count = count;
        match self.job(&id).map(|known| (known.spec.count, known.is_over())) {
            None => self.add_new_job(spec),
            Some((known, _)) if known == count => {}
            Some((_, true)) if spec.kind != JobKind::Service => {}
            Some(_) => {
                self.journal.change_job(&job_name(&id), |record| {
                    record.spec.count = count;
                    record.ended.retain(|index, _| *index < count);
                });
                if let Some(leader) = &mut self.leader {
                    leader.scheduler.resize(&spec);
                }
            }
        }
    }

    /// Runs a placement pass and executes the resulting actions.
    pub(crate) fn run_placement(&mut self, now: Instant) {
        let unix = self.clock.unix(now);
        let may_act = self.leadership.may_act(now);
        let Some(leader) = self.leader.as_mut().filter(|leader| leader.active && may_act) else {
            return;
        };
        for action in leader.scheduler.pass(now, unix) {
            match action {
                PlacementAction::Start { worker, task, attempt, need, spec } => {
                    self.start_task(worker, task, attempt, need, &spec);
                }
                PlacementAction::Stop { worker, task, attempt, reason } => {
                    self.stop_task(now, &worker, &task, attempt, reason);
                }
                PlacementAction::Ended { task, end } => self.end_task(now, &task, end),
                PlacementAction::JobStopped { job, reason } => {
                    warn!("job {job} is stopped: {reason}");
                    self.journal
                        .change_job(&job_name(&job), |record| record.stopped = Some(reason));
                }
            }
        }
    }

    fn start_task(
        &mut self,
        worker: WorkerId,
        task: TaskId,
        attempt: Attempt,
        need: crate::resources::ResourceVector,
        spec: &JobSpec,
    ) {
        debug!("{task:?} starts on {worker}");
        metrics::counter!("kelplink_starts_total", "urgency" => spec.urgency.label()).increment(1);
        let command = WorkerCommand::Start {
            task: task.clone(),
            attempt,
            need,
            command: spec.command.clone(),
            cut_off: spec.cut_off,
            service: spec.kind == JobKind::Service,
        };
        if spec.idempotent {
            self.fleet.command(&worker, command);
            return;
        }
        let index = task.1;
        let change = |record: &mut JobRecord| {
            record.started.insert(index);
        };
        if let Some(ticket) = self.journal.change_job(&job_name(&task.0), change) {
            self.run_when_durable(ticket, CommitWaiter::Start { worker, task, attempt, command });
        }
    }

    fn stop_task(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        task: &TaskId,
        attempt: Attempt,
        reason: StopReason,
    ) {
        let never_sent = self.fleet.withdraw(worker, task) || self.withdraw_waiting_start(task);
        if !never_sent {
            let task = task.clone();
            return self.fleet.command(worker, WorkerCommand::Stop { task, attempt, reason });
        }
        let outcome = TaskOutcome::Refused("withdrawn before it was sent".to_owned());
        if let Some(leader) = &mut self.leader {
            let usage = TaskUsage::default();
            leader.scheduler.task_ended(now, worker, task, &outcome, &usage);
        }
        self.run_placement(now);
    }

    /// Withdraws all starts whose record is not durable, and removes these records. Under a new token
    /// the ledger is read again, and every start recorded in it counts as one of an earlier leader.
    pub(crate) fn withdraw_waiting_starts(&mut self, now: Instant) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let mut starts = Vec::new();
        for waiters in leader.waiters.values_mut() {
            for waiter in waiters.extract_if(.., |w| matches!(w, CommitWaiter::Start { .. })) {
                if let CommitWaiter::Start { worker, task, .. } = waiter {
                    starts.push((worker, task));
                }
            }
        }
        for (worker, task) in starts {
            self.withdraw_unsent_start(now, &worker, &task);
        }
    }

    /// Withdraws a start that was recorded and not sent, and removes its record.
    pub(crate) fn withdraw_unsent_start(&mut self, now: Instant, worker: &WorkerId, task: &TaskId) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let outcome = TaskOutcome::Refused("withdrawn before it was sent".to_owned());
        leader.scheduler.task_ended(now, worker, task, &outcome, &TaskUsage::default());
        self.journal.change_job(&job_name(&task.0), |record| {
            record.started.remove(&task.1);
        });
    }

    /// Withdraws a start that waits until its record is durable; tells whether there was one.
    fn withdraw_waiting_start(&mut self, wanted: &TaskId) -> bool {
        let Some(leader) = &mut self.leader else {
            return false;
        };
        let mut found = false;
        for waiters in leader.waiters.values_mut() {
            waiters.retain(|waiter| {
                let is_wanted =
                    matches!(waiter, CommitWaiter::Start { task, .. } if task == wanted);
                found |= is_wanted;
                !is_wanted
            });
        }
        found
    }

    fn end_task(&mut self, now: Instant, task: &TaskId, end: TaskEnd) {
        let unix = self.clock.unix(now);
        debug!("{task:?} ended: {end:?}");
        let index = task.1;
        self.journal.change_job(&job_name(&task.0), |record| {
            record.ended.entry(index).or_insert(end);
            if record.is_over() {
                record.over_at = Some(unix);
            }
        });
        self.remove_endpoint(task);
    }

    /// Handles a claimed worker: its tasks are adopted, ended or stopped.
    pub(crate) fn handle_worker_claimed(
        &mut self,
        now: Instant,
        spec: WorkerSpec,
        tasks: &[TaskReport],
    ) {
        let worker = spec.id.clone();
        let Some(leader) = &mut self.leader else {
            return;
        };
        let is_reported = |task: &TaskId, attempt: Attempt| {
            let mut reports = tasks.iter().filter(|report| report.task == *task);
            reports.any(|report| report.attempt >= attempt || report.outcome.is_none())
        };
        let missing: Vec<TaskId> = leader
            .scheduler
            .live()
            .iter()
            .filter(|(task, live)| *live.worker() == worker && !is_reported(task, live.attempt()))
            .filter(|(task, _)| !self.fleet.has_queued_start(&worker, task))
            .filter(|(task, _)| !start_not_durable(leader, task))
            .map(|(task, _)| task.clone())
            .collect();
        leader.scheduler.add_worker(spec);
        for task in missing {
            leader.scheduler.task_vanished(now, &worker, &task);
        }
        self.handle_task_list(now, &worker, tasks);
        self.exclude_unavailable_workers();
    }

    /// Handles a worker's list of its tasks.
    pub(crate) fn handle_task_list(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        tasks: &[TaskReport],
    ) {
        let mut strays = Vec::new();
        for report in tasks {
            if self.handle_task_report(now, worker, report) {
                strays.push((report.task.clone(), report.need));
            }
        }
        if let Some(leader) = &mut self.leader {
            leader.scheduler.set_strays(worker, &strays);
        }
        self.run_placement(now);
        let ended = tasks.iter().filter(|report| report.outcome.is_some());
        for report in ended {
            self.forget_when_durable(worker, report);
        }
        let leader = self.leader.as_ref();
        if let Some(at) = leader.and_then(|leader| leader.scheduler.next_check(now, worker)) {
            self.fleet.schedule_exchange(worker, at);
        }
    }

    /// Handles a worker's report on one task. Tells whether the task runs without belonging to a job
    /// of this leader.
    fn handle_task_report(&mut self, now: Instant, worker: &WorkerId, report: &TaskReport) -> bool {
        let Some(leader) = &mut self.leader else {
            return false;
        };
        let task = &report.task;
        let scheduler = &mut leader.scheduler;
        let live = scheduler.live().get(task);
        let is_outdated = live.is_some_and(|live| live.attempt() > report.attempt);
        let is_on_worker = live.is_some_and(|live| live.worker() == worker);
        match &report.outcome {
            Some(_) if is_outdated => {}
            Some(outcome) => {
                let known =
                    is_on_worker || scheduler.adopt(now, worker, task, report.attempt, report.need);
                if known {
                    scheduler.task_ended(now, worker, task, outcome, &report.usage);
                }
                self.remove_endpoint(task);
            }
            None if is_on_worker => {
                scheduler.task_running(now, task, report.attempt);
                self.add_endpoint(report);
            }
            None if !is_outdated
                && scheduler.adopt(now, worker, task, report.attempt, report.need) =>
            {
                self.add_endpoint(report);
            }
            None => {
                self.stop_stray(worker, report);
                return true;
            }
        }
        false
    }

    /// Stops a task that a worker should not run. Only a leader that has loaded all jobs can decide
    /// this.
    fn stop_stray(&mut self, worker: &WorkerId, report: &TaskReport) {
        if self.journal.open() {
            info!("{:?} on {worker} belongs to no job: stopping it", report.task);
            let (task, attempt) = (report.task.clone(), report.attempt);
            let reason = StopReason::Stray;
            self.fleet.command(worker, WorkerCommand::Stop { task, attempt, reason });
        }
    }

    fn forget_when_durable(&mut self, worker: &WorkerId, report: &TaskReport) {
        let (task, attempt) = (report.task.clone(), report.attempt);
        let Some(leader) = &mut self.leader else {
            return;
        };
        if !self.journal.open()
            || !leader.forgetting.insert((worker.clone(), task.clone(), attempt))
        {
            return;
        }
        let waiter = CommitWaiter::Forget { worker: worker.clone(), task, attempt };
        match self.journal.backlog() {
            0 => leader.waiters.entry(0).or_default().push(waiter),
            _ => {
                let ticket = self.journal.last_ticket();
                leader.waiters.entry(ticket).or_default().push(waiter);
            }
        }
    }

    fn add_endpoint(&mut self, report: &TaskReport) {
        let Some(address) = report.endpoint.as_ref().and_then(|text| text.parse().ok()) else {
            return;
        };
        let Some(service) = self.job(&report.task.0).map(|record| record.spec.intent.clone())
        else {
            return;
        };
        let Some(leader) = &mut self.leader else {
            return;
        };
        let id = format!("{}#{}.{}", report.task.0, report.task.1, report.attempt).into();
        let spec = UpstreamSpec { id, service, address, slots: SERVICE_TASK_SLOTS };
        let before = leader.endpoints.insert(report.task.clone(), spec.clone());
        if before != Some(spec) {
            self.update_upstreams();
        }
    }

    pub(crate) fn remove_endpoint(&mut self, task: &TaskId) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        if leader.endpoints.remove(task).is_some() {
            self.update_upstreams();
        }
    }

    /// Marks the leader as settled when the tasks of all workers are known. Tasks that no worker
    /// reported are not running.
    pub(crate) fn settle(&mut self, now: Instant) {
        let all_resolved = self.fleet.all_resolved();
        let Some(leader) = &mut self.leader else {
            return;
        };
        if leader.active && !leader.settled && all_resolved {
            info!("{} workers are claimed", self.fleet.claimed());
            leader.settled = true;
            leader.scheduler.clear_possibly_running();
            self.apply_quota_parts();
            self.run_placement(now);
        }
        self.flush_ready_waiters();
    }

    /// Runs the waiters that were registered while the journal was idle and need no commit.
    fn flush_ready_waiters(&mut self) {
        let ready = self.leader.as_mut().and_then(|leader| leader.waiters.remove(&0));
        for waiter in ready.into_iter().flatten() {
            if let CommitWaiter::Forget { worker, task, attempt } = waiter {
                self.fleet.command(&worker, WorkerCommand::Forget { task: task.clone(), attempt });
                if let Some(leader) = &mut self.leader {
                    leader.forgetting.remove(&(worker, task, attempt));
                }
            }
        }
    }

    /// Removes the records of ended jobs and of keys whose retention has passed.
    pub(crate) fn remove_expired_records(&mut self, now: Instant) {
        if self.leader.is_none() || !self.journal.open() {
            return;
        }
        let unix = self.clock.unix(now);
        let config = self.config.current();
        let wanted: BTreeSet<JobId> = config
            .intents
            .values()
            .map(|i| intent_job_id(&i.spec.service(), i.changed, &self.identity.domain))
            .collect();
        let expired_names: Vec<String> = self
            .journal
            .records()
            .filter(|record| match record {
                LedgerRecord::Job(job) => {
                    let since = job.over_at.unwrap_or(job.spec.accepted);
                    let is_expired = since + ENDED_JOB_RETENTION_MS < unix;
                    job.is_over() && is_expired && !wanted.contains(&job.spec.id)
                }
                LedgerRecord::Key(key) => key.accepted + KEY_RETENTION_MS < unix,
                LedgerRecord::Taken { .. } | LedgerRecord::Gone(_) => false,
            })
            .map(LedgerRecord::name)
            .collect();
        for name in expired_names {
            self.journal.put(LedgerRecord::Gone(name));
        }
    }

    /// Removes jobs from the scheduler that another failure domain has taken over.
    pub(crate) fn drop_moved_jobs(&mut self) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let moved = self.journal.records().filter_map(|record| match record {
            LedgerRecord::Job(job) if job.moved.is_some() => Some(job.spec.id.clone()),
            _ => None,
        });
        for id in moved.collect::<Vec<_>>() {
            leader.scheduler.drop_job(&id);
        }
    }
}

/// Tells whether a start waits until its record is durable.
fn start_not_durable(leader: &LeaderState, wanted: &TaskId) -> bool {
    let mut waiters = leader.waiters.values().flatten();
    waiters.any(|waiter| matches!(waiter, CommitWaiter::Start { task, .. } if task == wanted))
}

/// Name of the job that is made from an intent in a failure domain.
fn intent_job_id(service: &str, changed: u64, domain: &str) -> JobId {
    let (workspace, name) = service.split_once('/').unwrap_or(("", service));
    format!("{workspace}/{INTENT_MARK}{name}.r{changed}@{domain}").into()
}
