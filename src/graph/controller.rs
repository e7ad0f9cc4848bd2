//! The leader of the job graphs: applies events to its tables and emits actions.

mod absences;
mod authority;
mod commands;
mod quota;
mod registrations;
mod shares;
mod storing;
mod submissions;
mod transfers;
mod worker_events;
mod workspaces;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::time::Instant;

use crate::graph::admission::submission_rate::SubmissionRates;
use crate::graph::controller::submissions::DeferredSubmission;
use crate::graph::event::{GraphAction, PollResult};
use crate::graph::exchange::{TicketText, UsedWorker, WorkerRegistration};
use crate::graph::placement::advice::{AdviceCall, AdviceId, AdviceTable};
use crate::graph::placement::evacuation::plan_evacuation;
use crate::graph::placement::home::UnsettledDomains;
use crate::graph::placement::overdue_share::OverdueKind;
use crate::graph::placement::placer::{PassView, PlacementPass};
use crate::graph::placement::preemption::ReservationTable;
use crate::graph::placement::serving_index::ServingIndex;
use crate::graph::sharding::remote_workers::RemoteWorkerTable;
use crate::graph::sharding::shard::ShardScope;
use crate::graph::storing::commit::CommitQueue;
use crate::graph::workers::fences::EPOCH_STEP;
use crate::graph::workers::instances::{InstanceTable, WORKER_LEASE};
use crate::graph::workers::run_costs::RunCosts;
use crate::graph::workers::send_window::SendWindow;
use crate::graph::workers::worker::{CALL_ARRIVAL_TIME, WorkerInstance, hold_time};
use crate::graph::workload::crash::WorkerCrash;
use crate::graph::workload::job::{GraphJob, GraphRecord};
use crate::graph::workload::jobs::JobTable;
use crate::graph::workload::name::{AttemptId, GraphId, LeaderEpoch, RunNumber, TaskName};
use crate::graph::workload::progress::GraphProgress;
use crate::graph::workload::queue::QueueConfig;
use crate::id::{CallId, DomainId, EntryId, RackId, ServiceId, UnixMillis, WorkerId, WorkspaceId};
use crate::quota::QuotaController;
use crate::workspace::{WorkspaceAmounts, WorkspaceRule};

/// Run numbers of a task that one epoch may use. Later epochs use higher numbers.
const RUN_NUMBERS_PER_EPOCH: RunNumber = 1 << 16;
/// Longest time that a run of an earlier leader continues after that leader last extended its
/// worker's lease: the lease, by a clock that is 2% slow, and the time to kill the run.
const INHERITED_LEASE_TIME: Duration = WORKER_LEASE.saturating_add(Duration::from_millis(300));
/// How long the request of a rejected job may arrive again: an entry gives up after three seconds.
const REJECTION_RETENTION: Duration = Duration::from_secs(10);
/// Delay before advice is requested again after a failed call.
const ADVICE_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Shortest time between the starts of two passes.
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(4);
/// The next pass starts this many times the duration of a round after the last one, so that passes
/// take a fifth of the time at most, however many steps wait.
const PASS_INTERVAL_FACTOR: u32 = 4;
/// Shortest time between sweeps over all workers and runs: a leader of 350 workers gets a thousand
/// inputs a second, and the timeouts that a sweep detects tolerate this delay.
const SWEEP_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between checks for lasting tasks on workers that leave.
const EVACUATION_INTERVAL: Duration = Duration::from_millis(100);
/// Upper bound of the interval that results from `PASS_INTERVAL_FACTOR`.
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(150);
/// Interval of passes that no event has requested, for tasks that wait.
const PERIODIC_PASS_INTERVAL: Duration = Duration::from_millis(50);

/// Limits that the deployment sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GraphBounds {
    /// Longest lease that a worker accepts.
    pub max_lease: Duration,
    /// How long the state of an ended job is kept for queries.
    pub retention: Duration,
    /// How long a leader extends worker leases after the last renewal of its own lease.
    pub lease_extension_window: Duration,
    /// What stopped and displaced runs cost.
    pub run_costs: RunCosts,
    /// Size of the largest value that the store takes, in bytes.
    pub max_value_bytes: usize,
    /// Interval at which workers report to the store; zero where it is not known.
    pub worker_heartbeat: Duration,
}

/// State that a new leader restores from the store.
#[derive(Debug, Default)]
pub struct RestoredState {
    /// All stored jobs with their progress.
    pub jobs: Vec<(GraphRecord, GraphProgress)>,
    /// Workers that may have runs.
    pub workers: Vec<UsedWorker>,
    /// Whether there may be more such workers because the stored list could not be read.
    pub unknown_workers: bool,
}

/// Makes all decisions for the jobs and workers of its scope.
#[derive(Debug)]
pub struct GraphController {
    epoch: LeaderEpoch,
    bounds: GraphBounds,
    scope: ShardScope,
    /// Workers of other shards.
    remote_workers: RemoteWorkerTable,
    /// Whether the registrations of workers have not all been read yet.
    registrations_awaited: bool,
    /// Jobs that wait for the registrations.
    deferred: Vec<DeferredSubmission>,
    config: Option<Arc<QueueConfig>>,
    /// Workspaces with a cap.
    workspaces: BTreeMap<WorkspaceId, WorkspaceRule>,
    rates: SubmissionRates,
    /// This shard's parts of the caps; `None` where there is only one shard.
    quota: Option<QuotaController>,
    /// When this term began.
    began: UnixMillis,
    /// Runs of earlier leaders that were found on workers, and what they used by workspace.
    found_runs: BTreeSet<(TaskName, RunNumber)>,
    found_usage: WorkspaceAmounts,
    /// What the workspaces used at the last pass.
    last_usage: WorkspaceAmounts,
    /// What the last pass did not start because of a cap.
    capped_demand: WorkspaceAmounts,
    /// Open jobs that have waited for a cap.
    capped_jobs: BTreeSet<GraphId>,
    /// When the usage of the workspaces is reported again.
    next_report: Instant,
    jobs: JobTable,
    /// Steps with waiting tasks, for the passes.
    serving: ServingIndex,
    /// Number of steps that all passes have looked at.
    steps_examined: u64,
    instances: InstanceTable,
    advice: AdviceTable,
    reservations: ReservationTable,
    send_window: SendWindow,
    commits: CommitQueue,
    waiters: BTreeMap<GraphId, Vec<(CallId, AttemptId)>>,
    /// Crashes of workers that have not been processed yet.
    crashes: Vec<WorkerCrash>,
    /// Time of rejection of each rejected request.
    rejected: BTreeMap<AttemptId, Instant>,
    /// Registrations of workers whose service neither the configuration nor a job refers to.
    unreferenced: BTreeMap<WorkerId, WorkerRegistration>,
    /// When these registrations are checked again.
    next_review: Instant,
    /// Workers used by earlier leaders that have not listed all their runs and ends to this one yet.
    uncontacted: BTreeSet<WorkerId>,
    /// Whether an uncontacted worker was lost before it answered, together with the runs that an
    /// earlier leader had started there.
    lost_before_contact: bool,
    /// When all earlier leaders have certainly sent their last calls to workers.
    inherited_calls_end: Instant,
    /// Whether the runs on workers that never answered have been invalidated.
    unseen_invalidated: bool,
    /// Whether the previous leader is known to have ended.
    predecessor_ended: bool,
    /// Until when this leader may extend worker leases and start tasks.
    authority_end: Instant,
    /// Whether this leader was allowed to at the last sweep.
    had_authority: bool,
    /// When the last suspension of the machine was noticed, and how long it was.
    last_suspension: Option<(Instant, Duration)>,
    deposed: bool,
    next_sweep: Instant,
    next_evacuation: Instant,
    next_transfer_review: Instant,
    /// Jobs that no shard can run, with the time of their next review.
    unplaceable: BTreeMap<GraphId, Instant>,
    pass_wanted: bool,
    last_pass: Instant,
    pass_interval: Duration,
    actions: Vec<GraphAction>,
}

impl GraphController {
    /// Creates a leader with `epoch` from the stored state.
    pub fn new(
        now: Instant,
        unix: UnixMillis,
        epoch: LeaderEpoch,
        bounds: GraphBounds,
        state: RestoredState,
    ) -> Self {
        let mut jobs = JobTable::default();
        for (record, progress) in state.jobs {
            let age = Duration::from_millis(unix.saturating_sub(record.spec.accepted));
            jobs.insert(GraphJob::restored(record, progress, now, age));
        }
        let mut instances = InstanceTable::new(bounds.max_lease, bounds.run_costs)
            .with_heartbeat(bounds.worker_heartbeat);
        for used in &state.workers {
            instances.restore_used(now, used, placeholder_registration(used));
        }
        for job in jobs.iter().filter(|job| !job.is_over()) {
            for (task, suspect_runs) in &job.progress.trials {
                for suspect_run in suspect_runs {
                    instances.inherit_suspect_run(now, job.task_name(*task), suspect_run.clone());
                }
            }
        }
        jobs.delay_suspected(now);
        let mut commits = CommitQueue::default();
        for job in jobs.iter().filter(|job| job.is_over() && !job.is_compact()) {
            commits.compact(job.spec.id.clone());
        }
        info!(epoch, jobs = jobs.iter().count(), workers = state.workers.len(); "leadership begins");
        for job in jobs.iter().filter(|job| !job.is_over() && !job.progress.is_blank()) {
            let (id, recorded) = (&*job.spec.id, job.progress.recorded());
            info!(job = id, state:? = job.state(), recorded; "job restored");
        }
        let mut uncontacted: BTreeSet<WorkerId> =
            state.workers.into_iter().map(|used| used.id).collect();
        if state.unknown_workers {
            // No worker has the empty id, so it stays in the set until all inherited runs have ended.
            uncontacted.insert(WorkerId::from(""));
        }
        Self {
            epoch,
            bounds,
            scope: ShardScope::default(),
            remote_workers: RemoteWorkerTable::default(),
            registrations_awaited: false,
            deferred: Vec::new(),
            config: None,
            workspaces: BTreeMap::new(),
            rates: SubmissionRates::default(),
            quota: None,
            began: unix,
            found_runs: BTreeSet::new(),
            found_usage: WorkspaceAmounts::new(),
            last_usage: WorkspaceAmounts::new(),
            capped_demand: WorkspaceAmounts::new(),
            capped_jobs: BTreeSet::new(),
            next_report: now,
            jobs,
            serving: ServingIndex::default(),
            steps_examined: 0,
            instances,
            advice: AdviceTable::default(),
            reservations: ReservationTable::default(),
            send_window: SendWindow::default(),
            commits,
            waiters: BTreeMap::new(),
            crashes: Vec::new(),
            rejected: BTreeMap::new(),
            unreferenced: BTreeMap::new(),
            next_review: now,
            uncontacted,
            lost_before_contact: false,
            inherited_calls_end: now + bounds.lease_extension_window,
            unseen_invalidated: false,
            predecessor_ended: false,
            authority_end: now,
            had_authority: false,
            last_suspension: None,
            deposed: false,
            next_sweep: now,
            next_evacuation: now,
            next_transfer_review: now,
            unplaceable: BTreeMap::new(),
            pass_wanted: true,
            last_pass: now,
            pass_interval: MIN_PASS_INTERVAL,
            actions: Vec::new(),
        }
    }

    /// Switches to a later epoch of the same leader; no other leader was elected in between.
    pub fn renew_epoch(&mut self, epoch: LeaderEpoch) {
        info!(epoch, before = self.epoch; "leadership renewed under a new epoch");
        self.epoch = epoch;
    }

    /// Epoch of this leader.
    pub fn epoch(&self) -> LeaderEpoch {
        self.epoch
    }

    /// Whether an answer of a worker has shown that there is a later leader.
    pub fn deposed(&self) -> bool {
        self.deposed
    }

    /// All jobs.
    pub fn jobs(&self) -> &JobTable {
        &self.jobs
    }

    /// Number of steps that the passes of this leader have looked at.
    pub fn steps_examined(&self) -> u64 {
        self.steps_examined
    }

    /// All workers.
    pub fn instances(&self) -> &InstanceTable {
        &self.instances
    }

    /// Actions since the last call.
    pub fn take_actions(&mut self) -> Vec<GraphAction> {
        std::mem::take(&mut self.actions)
    }

    /// Records that the previous leader has ended and extends no more leases.
    pub fn note_predecessor_ended(&mut self, now: Instant) {
        if !self.predecessor_ended {
            self.predecessor_ended = true;
            self.inherited_calls_end = self.inherited_calls_end.min(now);
            info!(unheard = self.uncontacted.len(); "previous leader has ended");
        }
    }

    /// Time until the leases that earlier leaders may have extended have certainly expired.
    pub fn inherited_lease_time(&self, now: Instant) -> Duration {
        self.inherited_leases_end(now).saturating_duration_since(now)
    }

    /// When all runs that an earlier leader started on uncontacted workers have certainly ended.
    fn inherited_leases_end(&self, now: Instant) -> Instant {
        self.inherited_calls_end + self.inherited_hold_time(now)
    }

    /// Longest time that runs on uncontacted workers continue after the last call of an earlier leader.
    fn inherited_hold_time(&self, now: Instant) -> Duration {
        let longest = hold_time(self.bounds.max_lease);
        let hold_time_of = |id: &WorkerId| match self.instances.get(id) {
            // A late call finds runs to keep only as long as their lease lasts.
            Some(instance) if self.instances.may_take_late_calls(now, instance) => {
                INHERITED_LEASE_TIME + longest
            }
            Some(instance) if !instance.may_hold_longest_lease(now) => INHERITED_LEASE_TIME,
            Some(_) | None => INHERITED_LEASE_TIME.max(longest + CALL_ARRIVAL_TIME),
        };
        self.uncontacted.iter().map(hold_time_of).max().unwrap_or(INHERITED_LEASE_TIME)
    }

    /// Runs of jobs that ended before this time have certainly ended.
    fn inherited_ends_since(&self, now: Instant) -> UnixMillis {
        let longest = self.bounds.lease_extension_window + self.inherited_hold_time(now);
        self.began.saturating_sub(longest.as_millis() as u64)
    }

    /// Records that the machine was suspended for `gap`, which the monotonic clock did not count.
    pub fn note_suspended(&mut self, now: Instant, gap: Duration) {
        self.last_suspension = Some((now, gap));
        warn!(gap_ms = gap.as_millis() as u64; "the machine was suspended");
        self.instances.forget_reports();
        self.authority_end = self.authority_end.checked_sub(gap).unwrap_or(self.last_pass);
    }

    /// Applies a configuration. Jobs of queues that it no longer has keep their last rule.
    pub fn set_config(&mut self, config: Arc<QueueConfig>) {
        if self.config.as_ref().is_some_and(|old| old.version >= config.version) {
            return;
        }
        for job in self.jobs.iter_mut().filter(|job| !job.is_over()) {
            if let Some(rule) = config.queues.get(&job.spec.queue) {
                job.rule = rule.clone();
            }
        }
        self.set_workspaces(&config);
        self.config = Some(config);
        // The next sweep registers workers of services that the configuration now names.
        self.next_review = self.last_pass;
        self.pass_wanted = true;
    }

    /// Sets the entries through which advice can be requested.
    pub fn set_entries(&mut self, entries: BTreeSet<EntryId>) {
        self.advice.set_entries(entries);
    }

    /// Handles the result of a poll.
    pub fn handle_poll_result(
        &mut self,
        now: Instant,
        unix: UnixMillis,
        id: &WorkerId,
        result: PollResult,
    ) {
        let events = match result {
            Ok(reply) => self.instances.handle_poll_result(now, id, reply),
            Err(failure) => self.instances.poll_failed(now, id, &failure),
        };
        self.handle_worker_events_at(now, unix, events);
    }

    /// Handles the answer to a call for advice; `None` if there was none.
    pub fn handle_advice(
        &mut self,
        now: Instant,
        id: AdviceId,
        allowed: Option<Vec<(WorkerId, TicketText)>>,
    ) {
        let count = allowed.as_ref().map(Vec::len);
        info!(call = id, allowed:? = count; "advice answered");
        if let Some((job, _)) = self.advice.answered(now, id, allowed, ADVICE_RETRY_DELAY) {
            self.jobs.mark_schedulable(&job);
        }
        self.pass_wanted = true;
    }

    /// Runs everything that is due at `now`.
    pub fn tick(&mut self, now: Instant, unix: UnixMillis) {
        let extend = now < self.authority_end && !self.deposed;
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.note_authority(now, extend);
            self.sweep(now, unix, extend);
        }
        self.actions.extend(self.instances.due_polls(now, extend));
        self.review_crashes(now, unix);
        self.reject_overdue(now);
        self.refuse_overdue(now);
        self.rejected.retain(|_, at| now.saturating_duration_since(*at) < REJECTION_RETENTION);
        let elapsed = now.saturating_duration_since(self.last_pass);
        let due = (self.pass_wanted && elapsed >= self.pass_interval)
            || elapsed >= self.periodic_pass_interval();
        if due && extend {
            self.run_pass(now, unix);
        }
        self.tick_quota(now);
        self.commit_next_group(now, unix);
    }

    /// Checks all workers and runs for timeouts.
    fn sweep(&mut self, now: Instant, unix: UnixMillis, extend: bool) {
        self.invalidate_unseen_runs(now, unix);
        let mut events = self.instances.crash_suspicions(now);
        events.extend(self.instances.expired_runs(now));
        let settled = now >= self.inherited_leases_end(now);
        events.extend(self.instances.remove_vanished(now, settled));
        self.handle_worker_events_at(now, unix, events);
        if self.instances.has_outdated_leases(now) {
            self.commits.refresh_workers();
        }
        self.review_unreferenced(now);
        self.commits.review_oversized(now);
        self.review_compactions(now);
        self.report_gauges(now);
        self.remote_workers.forget_expired(now);
        if extend {
            self.review_transfers(now, unix);
        }
        if extend && now >= self.next_evacuation {
            self.next_evacuation = now + EVACUATION_INTERVAL;
            self.evacuate_leaving_workers(now);
        }
        self.resend(now, extend);
    }

    /// Stops lasting tasks on workers that leave where there is capacity for them elsewhere.
    fn evacuate_leaving_workers(&mut self, now: Instant) {
        let stops = plan_evacuation(now, &self.jobs, &self.instances);
        if stops.is_empty() {
            return;
        }
        info!(runs = stops.len(); "lasting tasks are moved off workers that leave");
        metrics::counter!("kelplink_evacuated_runs_total").increment(stops.len() as u64);
        self.stop_runs(now, stops);
    }

    /// Invalidates the runs on workers that never answered, once all inherited runs have ended, so
    /// that their tasks are started again.
    fn invalidate_unseen_runs(&mut self, now: Instant, unix: UnixMillis) {
        if self.unseen_invalidated || now < self.inherited_leases_end(now) {
            return;
        }
        self.unseen_invalidated = true;
        let unheard = self.uncontacted.len();
        info!(unheard, epoch = self.epoch; "leases of earlier leaders have expired");
        self.found_runs.clear();
        let unsettled_domains = self.uncontacted_domains();
        let base = self.run_base();
        let is_affected = |job: &GraphJob| unsettled_domains.affects(job);
        for job in self.jobs.invalidate_unseen_runs(unix, base, is_affected) {
            self.commits.change(job, now, true);
        }
    }

    /// When `tick` has to be called next.
    pub fn next_due(&self, now: Instant) -> Instant {
        let may_pass = now < self.authority_end && !self.deposed;
        let mut due = match may_pass {
            true => self.last_pass + self.periodic_pass_interval(),
            // Passes have stopped: an overdue one would make the leader's loop spin until its term ends.
            false => self.next_sweep,
        };
        if self.pass_wanted && may_pass {
            due = due.min(self.last_pass + self.pass_interval);
        }
        due = self.instances.next_poll().map_or(due, |poll| due.min(poll));
        due = self.deferred.iter().map(|deferred| deferred.deadline).fold(due, Instant::min);
        if self.commits.is_due(now) || !self.crashes.is_empty() {
            return now;
        }
        let waiting = self.commits.waiting_additions().filter_map(|id| self.jobs.get(id));
        due = waiting
            .map(|job| job.submit_deadline)
            .min()
            .map_or(due, |submit_deadline| due.min(submit_deadline));
        self.commits.due().map_or(due, |commit| due.min(commit)).max(now)
    }

    /// Sets the interval between passes by the wall time `cost` of the last round of decisions, so
    /// that passes take a bounded share of the time.
    pub fn note_pass_time(&mut self, cost: Duration) {
        self.pass_interval =
            (cost * PASS_INTERVAL_FACTOR).clamp(MIN_PASS_INTERVAL, MAX_PASS_INTERVAL);
    }

    fn periodic_pass_interval(&self) -> Duration {
        PERIODIC_PASS_INTERVAL.max(self.pass_interval)
    }

    /// Failure domains in which runs of an earlier leader may continue, or their ends may still
    /// count. Before a task is started again its earlier run has to be invalidated; otherwise the
    /// end of that run could still be acknowledged later.
    fn unsettled_domains(&self) -> UnsettledDomains {
        match self.unseen_invalidated {
            true => UnsettledDomains::default(),
            false => self.uncontacted_domains(),
        }
    }

    fn uncontacted_domains(&self) -> UnsettledDomains {
        let mut unsettled_domains = UnsettledDomains::default();
        for id in &self.uncontacted {
            match self.instances.get(id).map(|instance| &instance.registration.domain) {
                Some(domain) if !domain.is_empty() => {
                    unsettled_domains.domains.insert(domain.clone());
                }
                _ => unsettled_domains.unknown = true,
            }
        }
        unsettled_domains
    }

    fn run_pass(&mut self, now: Instant, unix: UnixMillis) {
        self.last_pass = now;
        self.pass_wanted = false;
        if self.config.is_none() {
            return;
        }
        let unsettled_domains = self.unsettled_domains();
        let usage = self.workspace_usage(now);
        let limits = self.workspace_limits(&usage);
        let changed = self.jobs.take_changed();
        for idle in self.serving.update(now, &self.jobs, changed) {
            self.jobs.mark_unschedulable(&idle);
        }
        let (jobs, instances) = (&self.jobs, &self.instances);
        self.reservations.prune(now, |task, worker| {
            jobs.wants(task)
                && instances.get(worker).is_some_and(WorkerInstance::is_available)
                && jobs.get(&task.job).is_some_and(|job| !job.live.contains_key(&task.key))
        });
        let view = PassView {
            now,
            unix,
            unsettled_domains: &unsettled_domains,
            jobs: &self.jobs,
            serving: &self.serving,
            instances: &self.instances,
            advice: &self.advice,
            reservations: &self.reservations,
            max_unanswered: self.send_window.limit(),
            lost_before_contact: self.lost_before_contact,
            limits: &limits,
            usage: &usage,
            reports_capped_demand: self.quota.is_some() && !limits.is_empty(),
        };
        let plan = PlacementPass::new(view).run();
        self.note_capped_jobs(plan.capped_jobs, &limits);
        (self.last_usage, self.capped_demand) = (usage, plan.capped_demand);
        self.steps_examined += plan.steps_examined as u64;
        for start in &plan.starts {
            self.start_task(now, start, None);
        }
        for gang in &plan.gangs {
            let base = self.run_base();
            let next = |start: &crate::graph::placement::placer::PlannedStart| {
                self.jobs.get(&start.job).map_or(base + 1, |job| job.next_run(&start.task, base))
            };
            let run = gang.iter().map(next).max();
            for start in gang {
                self.start_task(now, start, run);
            }
        }
        for (id, task) in &plan.announced {
            self.announce(now, id, *task);
        }
        for (id, domain) in plan.widened {
            self.widen(now, &id, domain);
        }
        for preemption in plan.preemptions {
            self.preempt(now, preemption);
        }
        let restart = plan.restart_request.map(|request| (OverdueKind::Restart, request));
        let late = plan.overdue_request.map(|request| (OverdueKind::Late, request));
        let overdue = restart.into_iter().chain(late);
        let mut calls: Vec<AdviceCall> = overdue
            .filter_map(|(kind, request)| self.advice.assign_overdue(now, kind, request))
            .collect();
        calls.extend(self.advice.assign(now, plan.advice_requests));
        for call in calls {
            let (job, step) = &call.key;
            let (entry, workers) = (&*call.entry, call.workers.len());
            info!(job = &**job, step = step.step, entry, workers, call = call.id; "advice asked");
            self.actions.push(GraphAction::Advise(call));
        }
    }

    /// Allows a job another failure domain, which takes effect once it is stored.
    fn widen(&mut self, now: Instant, id: &GraphId, domain: DomainId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        info!(job = &**id, home:? = job.home, domain = &*domain; "job may use another failure domain");
        metrics::counter!("kelplink_widened_jobs_total").increment(1);
        job.progress.domains.insert(domain);
        self.commits.change(id.clone(), now, true);
    }

    fn run_base(&self) -> RunNumber {
        self.epoch.saturating_sub(EPOCH_STEP) * RUN_NUMBERS_PER_EPOCH
    }

    /// Names of all tasks that run or may run, with their workers, for the state dump.
    pub fn live_tasks(&self) -> impl Iterator<Item = (TaskName, &WorkerId)> {
        self.jobs
            .iter()
            .flat_map(|job| job.live.iter().map(|(key, live)| (job.task_name(*key), &live.worker)))
    }
}

/// Placeholder registration for a worker known only from the stored list of used workers.
fn placeholder_registration(used: &UsedWorker) -> WorkerRegistration {
    WorkerRegistration {
        id: used.id.clone(),
        instance_start: None,
        address: used.address,
        service: ServiceId::from(""),
        domain: used.domain.clone(),
        rack: RackId::from(""),
        labels: Vec::new(),
        machine: None,
        capacity: Default::default(),
        leaving: None,
    }
}
