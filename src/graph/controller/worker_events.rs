//! Handles events of workers and runs, and updates the jobs that they concern.

use std::time::Duration;

use log::{info, warn};
use tokio::time::Instant;

use crate::graph::controller::GraphController;
use crate::graph::exchange::{EndReport, RunReport};
use crate::graph::workers::run::{RunPhase, WorkerRun};
use crate::graph::workers::worker::InstanceEnd;
use crate::graph::workers::worker_event::{LostRun, WorkerEvent};
use crate::graph::workload::begin_evidence::BeginEvidence;
use crate::graph::workload::crash::PROBATION;
use crate::graph::workload::jobs::{JobEffect, RunToStop};
use crate::graph::workload::name::{GraphId, RunNumber, TaskName};
use crate::id::{UnixMillis, WorkerId};

/// Counts a run whose end was not reported by its worker.
fn count_lost_run(cause: &'static str) {
    metrics::counter!("kelplink_lost_runs_total", "cause" => cause).increment(1);
}

impl GraphController {
    pub(super) fn handle_worker_events(&mut self, now: Instant, events: Vec<WorkerEvent>) {
        self.handle_worker_events_at(now, 0, events);
    }

    pub(super) fn handle_worker_events_at(
        &mut self,
        now: Instant,
        unix: UnixMillis,
        events: Vec<WorkerEvent>,
    ) {
        for event in events {
            self.pass_wanted = true;
            match event {
                WorkerEvent::Ended(worker, end) => self.run_ended(now, unix, &worker, end),
                WorkerEvent::Unknown(worker, report) => self.handle_found_run(now, &worker, report),
                WorkerEvent::MayStillBegin(worker, task, run) => {
                    self.send_stop(&worker, &task, run);
                }
                WorkerEvent::Lost(worker, lost) => {
                    let LostRun { task, run, checkpoint, survived, last_heard, begun } = lost;
                    let heard_ms = survived.as_millis() as u64;
                    warn!(task:% = task, run, worker = &*worker, heard_ms; "run lost");
                    count_lost_run("lost");
                    let mut effect = self.jobs.run_lost(&task, run, &checkpoint);
                    if begun {
                        self.jobs.begin_absence(&task, last_heard);
                    }
                    effect.changed |= self.jobs.clear_suspect_run(&task, run);
                    self.apply_effect(now, &task.job, effect);
                }
                WorkerEvent::GivenUp(worker, lost, suspect_run) => {
                    let heard_ms = lost.survived.as_millis() as u64;
                    let (task, run, begun) = (&lost.task, lost.run, lost.begun);
                    warn!(task:% = task, run, worker = &*worker, heard_ms, begun; "run given up with its worker's lease");
                    count_lost_run("given up");
                    let effect = self.jobs.run_given_up(now, unix, &lost, suspect_run);
                    self.apply_effect(now, &task.job, effect);
                }
                WorkerEvent::Confirmed(worker, task, run) => {
                    self.note_begun(now, &task, run, BeginEvidence::Listed);
                    info!(task:% = task, worker = &*worker; "unanswered start has begun");
                }
                WorkerEvent::Deposed(worker) => {
                    warn!(worker = &*worker, epoch = self.epoch; "worker has accepted a later leader");
                    self.deposed = true;
                }
                WorkerEvent::Claimed(worker) => {
                    let instance = self.instances.get(&worker);
                    let born = instance.and_then(|instance| instance.instance_start);
                    let lease = instance.map(|instance| instance.remaining_lease(now));
                    let lease_ms = lease.unwrap_or_default().as_millis() as u64;
                    info!(worker = &*worker, born, lease_ms, epoch = self.epoch; "worker claimed");
                    self.commits.note_workers(now, true);
                }
                WorkerEvent::ListedAll(worker) => {
                    self.uncontacted.remove(&worker);
                }
                // Processed later in `review_crashes`: a verdict needs the wall time, and not every
                // caller of this method has it.
                WorkerEvent::Crashed(crash) => self.crashes.push(crash),
                WorkerEvent::CrashSuspected(task, suspect_run) => {
                    info!(task:% = task, run = suspect_run.run, worker = &*suspect_run.worker; "worker has not answered since a start");
                    let run = suspect_run.run;
                    if self.jobs.note_suspect_run(&task, suspect_run) {
                        self.jobs.confirm_run(&task, run);
                        self.commits.change(task.job.clone(), now, true);
                    }
                }
                WorkerEvent::Survived(task, run) => {
                    info!(task:% = task, run; "worker survived the start of a suspected task");
                    let effect = self.jobs.start_survived(&task);
                    self.apply_effect(now, &task.job, effect);
                }
                WorkerEvent::InstanceEnded(worker, end) => {
                    info!(worker = &*worker, end:? = end; "worker is gone");
                    metrics::counter!("kelplink_worker_ends_total", "end" => format!("{end:?}"))
                        .increment(1);
                    // Of a worker that has restarted, the new instance may have runs of an earlier leader.
                    let was_uncontacted = match end {
                        InstanceEnd::Restarted => self.uncontacted.contains(&worker),
                        InstanceEnd::Left | InstanceEnd::Replaced | InstanceEnd::Vanished => {
                            self.uncontacted.remove(&worker)
                        }
                    };
                    self.lost_before_contact |= was_uncontacted && end != InstanceEnd::Left;
                    self.advice.forget_worker(&worker);
                    // A restarted worker gets no work before the store has its new instance.
                    self.commits.note_workers(now, end == InstanceEnd::Restarted);
                }
            }
        }
    }

    /// Processes crashes: a task is given up once too many workers have crashed while running it.
    pub(super) fn review_crashes(&mut self, now: Instant, unix: UnixMillis) {
        for crash in std::mem::take(&mut self.crashes) {
            let (worker, suspects, limit) = (&*crash.worker, crash.suspects.len(), crash.limit);
            warn!(worker, suspects, limit; "a worker has crashed");
            for suspect in &crash.suspects {
                let effect = self.jobs.crash_suspected(now, unix, suspect, limit);
                self.apply_effect(now, &suspect.task.job, effect);
            }
        }
    }

    pub(super) fn run_ended(
        &mut self,
        now: Instant,
        unix: UnixMillis,
        worker: &WorkerId,
        end: EndReport,
    ) {
        let EndReport { number, task, run, kind, .. } = &end;
        info!(task:% = task, run, worker = &**worker, end:? = kind, number; "run ended");
        metrics::counter!("kelplink_run_ends_total", "kind" => format!("{kind:?}")).increment(1);
        self.commits.schedule(now, false);
        let effect = self.jobs.run_ended(now, unix, worker, &end);
        if effect.superseded
            && let Some(instance) = self.instances.get_mut(worker)
        {
            instance.withhold_ack(end.number);
            warn!(task:% = end.task, run = end.run, worker = &**worker; "end of a superseded run came late");
            metrics::counter!("kelplink_late_ends_total").increment(1);
        }
        self.apply_effect(now, &end.task.job, effect);
    }

    /// Handles a run that this leader did not start. It is adopted if its task still needs it,
    /// otherwise stopped.
    pub(super) fn handle_found_run(&mut self, now: Instant, worker: &WorkerId, report: RunReport) {
        let RunReport { task, run, checkpoint, percent, reported_load } = report;
        let wanted = self.jobs.get(&task.job).is_some_and(|job| {
            let newer = job.live.get(&task.key).is_none_or(|live| live.run < run);
            self.jobs.wants(&task) && newer
        });
        let job = self.jobs.get(&task.job);
        let step = job.and_then(|job| job.step(task.key.step));
        let phase = RunPhase::Running { confirmed: Duration::ZERO };
        let origin = job.zip(step);
        // The time since its start is unknown.
        let probation = Some(now + PROBATION);
        let suspected = job.is_some_and(|job| job.is_suspected(task.key));
        let known = WorkerRun::new(run, phase, now, origin);
        let (listed, pace_start) = (true, Some((percent, now)));
        let worker_run = WorkerRun {
            percent,
            reported_load,
            checkpoint,
            probation,
            suspected,
            listed,
            pace_start,
            ..known
        };
        info!(task:% = task, run, worker = &**worker, wanted; "run found on a worker");
        self.note_found_usage(&task, &worker_run);
        self.note_begun(now, &task, run, BeginEvidence::Listed);
        let older = self.jobs.get(&task.job).and_then(|job| job.live.get(&task.key).cloned());
        self.instances.add_run(worker, task.clone(), worker_run);
        match wanted {
            true => {
                self.jobs.note_run(&task, worker.clone(), run);
                self.jobs.end_absence(&task, run);
                if let Some(older) = older {
                    self.stop_runs(now, vec![(older.worker, task, older.run)]);
                }
            }
            false => self.stop_runs(now, vec![(worker.clone(), task, run)]),
        }
    }

    /// Records that a run has begun. For a suspect run this is stored, because possibly only the
    /// next leader detects the crash.
    pub(super) fn note_begun(
        &mut self,
        now: Instant,
        task: &TaskName,
        run: RunNumber,
        evidence: BeginEvidence,
    ) {
        self.jobs.note_begun(task, evidence);
        self.jobs.end_absence(task, run);
        if self.jobs.confirm_run(task, run) {
            self.commits.change(task.job.clone(), now, true);
        }
    }

    pub(super) fn apply_effect(&mut self, now: Instant, id: &GraphId, effect: JobEffect) {
        let JobEffect { changed, urgent, stops, .. } = effect;
        if changed {
            self.commits.change(id.clone(), now, urgent);
        }
        self.stop_runs(now, stops);
        self.pass_wanted = true;
    }

    pub(super) fn stop_runs(&mut self, now: Instant, stops: Vec<RunToStop>) {
        for (worker, task, run) in stops {
            self.stop(now, &worker, &task, run);
        }
    }
}
