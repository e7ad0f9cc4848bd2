//! What workers' answers say of runs, and what follows for their jobs.

use std::time::Duration;

use log::{info, warn};
use tokio::time::Instant;

use crate::graph::begin_evidence::BeginEvidence;
use crate::graph::controller::GraphController;
use crate::graph::crash::PROBATION;
use crate::graph::exchange::{EndReport, RunReport};
use crate::graph::jobs::{JobEffect, RunToStop};
use crate::graph::name::{GraphId, RunNumber, TaskName};
use crate::graph::worker::{InstanceEnd, RunPhase, WorkerRun};
use crate::graph::worker_event::{LostRun, WorkerEvent};
use crate::id::{UnixMillis, WorkerId};

/// Counts a run that ended without an end that its worker told.
fn count_lost(cause: &'static str) {
    metrics::counter!("kelplink_lost_runs_total", "cause" => cause).increment(1);
}

impl GraphController {
    pub(super) fn handle_worker_events(&mut self, now: Instant, found: Vec<WorkerEvent>) {
        self.handle_worker_events_at(now, 0, found);
    }

    pub(super) fn handle_worker_events_at(
        &mut self,
        now: Instant,
        unix: UnixMillis,
        found: Vec<WorkerEvent>,
    ) {
        for diagnostic in found {
            self.pass_wanted = true;
            match diagnostic {
                WorkerEvent::Ended(worker, end) => self.run_ended(now, unix, &worker, end),
                WorkerEvent::Unknown(worker, report) => self.run_found(now, &worker, report),
                WorkerEvent::InDoubt(worker, task, run) => {
                    self.send_stop(&worker, &task, run);
                }
                WorkerEvent::Lost(worker, lost) => {
                    let LostRun { task, run, checkpoint, survived, .. } = lost;
                    let heard_ms = survived.as_millis() as u64;
                    warn!(task:% = task, run, worker = &*worker, heard_ms; "run lost");
                    count_lost("lost");
                    let mut effect = self.jobs.run_lost(&task, run, &checkpoint);
                    effect.changed |= self.jobs.clear_suspect_run(&task, run);
                    self.apply(now, &task.job, effect);
                }
                WorkerEvent::GivenUp(worker, lost, suspect_run) => {
                    let heard_ms = lost.survived.as_millis() as u64;
                    let (task, run, begun) = (&lost.task, lost.run, lost.begun);
                    warn!(task:% = task, run, worker = &*worker, heard_ms, begun; "run given up with its worker's lease");
                    count_lost("given up");
                    let effect = self.jobs.run_given_up(now, unix, &lost, suspect_run);
                    self.apply(now, &task.job, effect);
                }
                WorkerEvent::Confirmed(worker, task, run) => {
                    self.note_begun(now, &task, run, BeginEvidence::Listed);
                    info!(task:% = task, worker = &*worker; "an unanswered start has begun");
                }
                WorkerEvent::Deposed(worker) => {
                    warn!(worker = &*worker, epoch = self.epoch; "a worker obeys a later leader");
                    self.deposed = true;
                }
                WorkerEvent::Claimed(worker) => {
                    let born =
                        self.instances.get(&worker).and_then(|instance| instance.instance_start);
                    info!(worker = &*worker, born, epoch = self.epoch; "worker claimed");
                    self.unheard.remove(&worker);
                    self.commits.note_workers(now, true);
                }
                // The verdict has to bear the time, which not every finding comes with.
                WorkerEvent::Crashed(crash) => self.crashes.push(crash),
                WorkerEvent::Doubted(task, suspect_run) => {
                    info!(task:% = task, run = suspect_run.run, worker = &*suspect_run.worker; "a worker is silent since a start");
                    let run = suspect_run.run;
                    self.jobs.note_suspect_run(&task, suspect_run);
                    self.jobs.confirm_run(&task, run);
                    self.commits.change(task.job.clone(), now, true);
                }
                WorkerEvent::Survived(task, run) => {
                    info!(task:% = task, run; "a worker has outlived the start of a suspected task");
                    let effect = self.jobs.start_survived(&task);
                    self.apply(now, &task.job, effect);
                }
                WorkerEvent::Over(worker, end) => {
                    info!(worker = &*worker, end:? = end; "worker is gone");
                    metrics::counter!("kelplink_worker_ends_total", "end" => format!("{end:?}"))
                        .increment(1);
                    self.lost_before_contact |=
                        self.unheard.remove(&worker) && end != InstanceEnd::Left;
                    self.advice.forget_worker(&worker);
                    self.commits.note_workers(now, false);
                }
            }
        }
    }

    /// Takes in crashes: tasks under which too many workers have crashed are given up.
    pub(super) fn review_crashes(&mut self, now: Instant, unix: UnixMillis) {
        for crash in std::mem::take(&mut self.crashes) {
            let (worker, suspects, limit) = (&*crash.worker, crash.suspects.len(), crash.limit);
            warn!(worker, suspects, limit; "a worker has crashed");
            for suspect in &crash.suspects {
                let effect = self.jobs.crash_suspected(now, unix, suspect, limit);
                self.apply(now, &suspect.task.job, effect);
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
        self.commits.touch(now, false);
        let effect = self.jobs.run_ended(now, unix, worker, &end);
        if effect.superseded
            && let Some(instance) = self.instances.get_mut(worker)
        {
            instance.withhold_ack(end.number);
            warn!(task:% = end.task, run = end.run, worker = &**worker; "an end comes too late");
            metrics::counter!("kelplink_late_ends_total").increment(1);
        }
        self.apply(now, &end.task.job, effect);
    }

    /// A run that this leader did not start: it is taken over if it is still wanted.
    pub(super) fn run_found(&mut self, now: Instant, worker: &WorkerId, report: RunReport) {
        let RunReport { task, run, checkpoint, percent, reported_load } = report;
        let wanted = self.jobs.get(&task.job).is_some_and(|job| {
            let newer = job.live.get(&task.key).is_none_or(|live| live.run < run);
            self.jobs.wants(&task) && newer
        });
        let job = self.jobs.get(&task.job);
        let step = job.and_then(|job| job.step(task.key.step));
        let phase = RunPhase::Running { confirmed: Duration::ZERO };
        let origin = job.zip(step);
        // How long it has run is not known.
        let probation = Some(now + PROBATION);
        let suspected = job.is_some_and(|job| job.is_suspected(task.key));
        let known = WorkerRun::new(run, phase, now, origin);
        let listed = true;
        let entry =
            WorkerRun { percent, reported_load, checkpoint, probation, suspected, listed, ..known };
        info!(task:% = task, run, worker = &**worker, wanted; "run found on a worker");
        self.note_begun(now, &task, run, BeginEvidence::Listed);
        let older = self.jobs.get(&task.job).and_then(|job| job.live.get(&task.key).cloned());
        if let Some(instance) = self.instances.get_mut(worker) {
            instance.add_run(task.clone(), entry);
        }
        match wanted {
            true => {
                self.jobs.note_run(&task, worker.clone(), run);
                if let Some(older) = older {
                    self.stop_all(now, vec![(older.worker, task, older.run)]);
                }
            }
            false => self.stop_all(now, vec![(worker.clone(), task, run)]),
        }
    }

    /// A worker has reported a run as begun. The store keeps that of a run that is on trial: the next leader may be the one
    /// that hears of a crash.
    pub(super) fn note_begun(
        &mut self,
        now: Instant,
        task: &TaskName,
        run: RunNumber,
        evidence: BeginEvidence,
    ) {
        self.jobs.note_begun(task, evidence);
        if self.jobs.confirm_run(task, run) {
            self.commits.change(task.job.clone(), now, true);
        }
    }

    pub(super) fn apply(&mut self, now: Instant, id: &GraphId, effect: JobEffect) {
        let JobEffect { changed, urgent, stops, .. } = effect;
        if changed {
            self.commits.change(id.clone(), now, urgent);
        }
        self.stop_all(now, stops);
        self.pass_wanted = true;
    }

    pub(super) fn stop_all(&mut self, now: Instant, stops: Vec<RunToStop>) {
        for (worker, task, run) in stops {
            self.stop(now, &worker, &task, run);
        }
    }
}
