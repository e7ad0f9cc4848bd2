//! The leader of the job graphs: carries events between its tables and gives actions.

mod commands;
mod registrations;
mod shares;
mod storing;
mod submissions;
mod worker_events;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::time::Instant;

use crate::graph::advice::{AdviceId, AdviceTable};
use crate::graph::commit::CommitQueue;
use crate::graph::controller::submissions::DeferredSubmission;
use crate::graph::crash::WorkerCrash;
use crate::graph::event::{GraphAction, PollResult};
use crate::graph::exchange::{TicketText, UsedWorker, WorkerRegistration};
use crate::graph::home::UnsettledDomains;
use crate::graph::instances::{InstanceTable, WORKER_LEASE};
use crate::graph::job::{GraphJob, GraphRecord};
use crate::graph::jobs::JobTable;
use crate::graph::name::{AttemptId, GraphId, LeaderEpoch, RunNumber, TaskName};
use crate::graph::placer::{PassView, PlacementPass};
use crate::graph::preemption::ReservationTable;
use crate::graph::progress::GraphProgress;
use crate::graph::queue::QueueConfig;
use crate::graph::remote_workers::RemoteWorkerTable;
use crate::graph::send_window::SendWindow;
use crate::graph::shard::ShardScope;
use crate::id::{CallId, DomainId, EntryId, RackId, ServiceId, UnixMillis, WorkerId};

/// Starts of one task that a leader may make: run numbers of later leaders are above.
const RUNS_AN_EPOCH: RunNumber = 1 << 16;
/// How long what an earlier leader left at a worker may run on: its lease, by a clock that is 2% slow,
/// and the time to kill it.
const LEASE_LIFE: Duration = WORKER_LEASE.saturating_add(Duration::from_millis(300));
/// How long a rejected request may still arrive again: an entry gives up after three seconds.
const REJECTED_TIME: Duration = Duration::from_secs(10);
/// Pause before advice is asked for again after a call that failed.
const ADVICE_PAUSE: Duration = Duration::from_millis(200);
/// Shortest time from one pass to the next.
const PASS_GAP: Duration = Duration::from_millis(4);
/// Times the duration of a round that the next pass is away: passes take a fifth of the time at most,
/// however many steps wait.
const PASS_SHARE: u32 = 4;
/// Shortest time between looks through all workers and runs: a leader of 350 workers has a thousand inputs
/// a second, and all that a look finds may wait this long.
const SWEEP_GAP: Duration = Duration::from_millis(20);
/// Longest pause between passes for their cost.
const LONGEST_PASS_GAP: Duration = Duration::from_millis(150);
/// Longest time from one pass to the next while tasks wait.
const PASS_REST: Duration = Duration::from_millis(50);

/// Bounds that the deployment sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GraphBounds {
    /// Longest lease that a worker takes.
    pub longest_lease: Duration,
    /// How long an ended job's state can be asked for.
    pub retention: Duration,
    /// How long a leader renews workers' leases after its own was renewed.
    pub lease_extension_window: Duration,
}

/// What a new leader starts from.
#[derive(Debug, Default)]
pub struct RestoredState {
    /// All jobs that the store has.
    pub jobs: Vec<(GraphRecord, GraphProgress)>,
    /// Workers that may run something.
    pub workers: Vec<UsedWorker>,
    /// Whether there may be others: the list could not be read.
    pub unknown_workers: bool,
}

/// Decides for all jobs and workers of its scope.
#[derive(Debug)]
pub struct GraphController {
    epoch: LeaderEpoch,
    bounds: GraphBounds,
    scope: ShardScope,
    /// Workers of other shards.
    remote_workers: RemoteWorkerTable,
    /// Whether registrations are still missing from what is known of the workers.
    registrations_awaited: bool,
    /// Jobs that wait for them.
    held: Vec<DeferredSubmission>,
    config: Option<Arc<QueueConfig>>,
    jobs: JobTable,
    instances: InstanceTable,
    advice: AdviceTable,
    keeper: ReservationTable,
    window: SendWindow,
    commits: CommitQueue,
    waiters: BTreeMap<GraphId, Vec<(CallId, AttemptId)>>,
    /// Crashes of workers that are not taken in yet.
    crashes: Vec<WorkerCrash>,
    /// Requests that were rejected, and when.
    rejected: BTreeMap<AttemptId, Instant>,
    /// Registrations of services that nothing names, and when they are looked at again.
    foreign: BTreeMap<WorkerId, WorkerRegistration>,
    next_review: Instant,
    /// Workers from before this leader's time that have not been heard.
    unheard: BTreeSet<WorkerId>,
    /// Whether one of them was lost unheard, with whatever an earlier leader had started there.
    lost_before_contact: bool,
    /// When nothing that they were told before can run any more.
    settled_at: Instant,
    /// Whether runs that nobody was heard of have been given up.
    voided: bool,
    /// Whether the leader before has surely ended.
    predecessor_ended: bool,
    /// Until when leases of workers may be extended and tasks started.
    authority: Instant,
    /// When it was noticed last that the machine had been suspended, and for how long.
    suspended: Option<(Instant, Duration)>,
    deposed: bool,
    next_sweep: Instant,
    pass_wanted: bool,
    last_pass: Instant,
    pass_gap: Duration,
    actions: Vec<GraphAction>,
}

impl GraphController {
    /// A leader under `epoch` that starts from what the store has.
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
        let mut instances = InstanceTable::new(bounds.longest_lease);
        for used in &state.workers {
            instances.restore_used(now, used, unregistered(used));
        }
        for job in jobs.iter().filter(|job| !job.is_over()) {
            for (task, trials) in &job.progress.trials {
                for suspect_run in trials {
                    instances.inherit_suspect_run(now, job.task_name(*task), suspect_run.clone());
                }
            }
        }
        jobs.delay_suspected(now);
        info!(epoch, jobs = jobs.iter().count(), workers = state.workers.len(); "leadership begins");
        for job in jobs.iter().filter(|job| !job.is_over() && !job.progress.is_blank()) {
            let (id, recorded) = (&*job.spec.id, job.progress.recorded());
            info!(job = id, state:? = job.state(), recorded; "job restored");
        }
        let mut unheard: BTreeSet<WorkerId> =
            state.workers.into_iter().map(|used| used.id).collect();
        if state.unknown_workers {
            // No worker answers under this name: it is waited for until nothing can run any more.
            unheard.insert(WorkerId::from(""));
        }
        Self {
            epoch,
            bounds,
            scope: ShardScope::default(),
            remote_workers: RemoteWorkerTable::default(),
            registrations_awaited: false,
            held: Vec::new(),
            config: None,
            jobs,
            instances,
            advice: AdviceTable::default(),
            keeper: ReservationTable::default(),
            window: SendWindow::default(),
            commits: CommitQueue::default(),
            waiters: BTreeMap::new(),
            crashes: Vec::new(),
            rejected: BTreeMap::new(),
            foreign: BTreeMap::new(),
            next_review: now,
            unheard,
            lost_before_contact: false,
            settled_at: now + bounds.lease_extension_window + LEASE_LIFE,
            voided: false,
            predecessor_ended: false,
            authority: now,
            suspended: None,
            deposed: false,
            next_sweep: now,
            pass_wanted: true,
            last_pass: now,
            pass_gap: PASS_GAP,
            actions: Vec::new(),
        }
    }

    /// Takes over a later epoch of the same leader: nobody else has led in between.
    pub fn renewed(&mut self, epoch: LeaderEpoch) {
        info!(epoch, before = self.epoch; "leadership renewed under a new epoch");
        self.epoch = epoch;
    }

    /// Time since the last successful renewal of this leader's lease was sent.
    pub fn lease_age(&self, now: Instant) -> Duration {
        (now + self.bounds.lease_extension_window).saturating_duration_since(self.authority)
    }

    /// Epoch of this leader.
    pub fn epoch(&self) -> LeaderEpoch {
        self.epoch
    }

    /// Whether a worker has shown that another leads.
    pub fn deposed(&self) -> bool {
        self.deposed
    }

    /// All jobs.
    pub fn jobs(&self) -> &JobTable {
        &self.jobs
    }

    /// All workers.
    pub fn instances(&self) -> &InstanceTable {
        &self.instances
    }

    /// Actions since the last call.
    pub fn take_actions(&mut self) -> Vec<GraphAction> {
        std::mem::take(&mut self.actions)
    }

    /// This leader's lease was renewed by a call sent at `sent`.
    pub fn note_lease_renewal(&mut self, sent: Instant) {
        let sent = match self.suspended {
            Some((at, gap)) if sent <= at => sent.checked_sub(gap).unwrap_or(self.last_pass),
            _ => sent,
        };
        self.authority = self.authority.max(sent + self.bounds.lease_extension_window);
    }

    /// Another may lead by now that takes this one for ended: nothing is started, and no worker's lease extended.
    pub fn revoke_authority(&mut self, now: Instant) {
        self.authority = self.authority.min(now);
    }

    /// The leader before has surely ended: it extends no lease any more.
    pub fn note_predecessor_ended(&mut self, now: Instant) {
        if !self.predecessor_ended {
            self.predecessor_ended = true;
            self.settled_at = self.settled_at.min(now + LEASE_LIFE);
            info!(unheard = self.unheard.len(); "the leader before has ended");
        }
    }

    /// The machine was suspended for `gap` that the steady clock did not count.
    pub fn note_suspended(&mut self, now: Instant, gap: Duration) {
        self.suspended = Some((now, gap));
        warn!(gap_ms = gap.as_millis() as u64; "the machine was suspended");
        self.authority = self.authority.checked_sub(gap).unwrap_or(self.last_pass);
    }

    /// Puts a configuration in force; queues that are gone keep their last rule for their jobs.
    pub fn set_config(&mut self, config: Arc<QueueConfig>) {
        if self.config.as_ref().is_some_and(|old| old.version >= config.version) {
            return;
        }
        for job in self.jobs.iter_mut().filter(|job| !job.is_over()) {
            if let Some(rule) = config.queues.get(&job.spec.queue) {
                job.rule = rule.clone();
            }
        }
        self.config = Some(config);
        // Workers of services that it names are taken in at the next sweep.
        self.next_review = self.last_pass;
        self.pass_wanted = true;
    }

    /// Sets the entries that can ask for advice.
    pub fn set_entries(&mut self, entries: BTreeSet<EntryId>) {
        self.advice.set_entries(entries);
    }

    /// Takes in the answer to a poll.
    pub fn handle_poll_result(
        &mut self,
        now: Instant,
        unix: UnixMillis,
        id: &WorkerId,
        result: PollResult,
    ) {
        let found = match result {
            Ok(reply) => self.instances.handle_poll_result(now, id, reply),
            Err(failure) => self.instances.poll_failed(now, id, &failure),
        };
        self.handle_worker_events_at(now, unix, found);
    }

    /// Takes in the answer to a call for advice.
    pub fn handle_advice(
        &mut self,
        now: Instant,
        id: AdviceId,
        allowed: Option<Vec<(WorkerId, TicketText)>>,
    ) {
        let count = allowed.as_ref().map(Vec::len);
        info!(call = id, allowed:? = count; "advice answered");
        if let Some((job, _)) = self.advice.answered(now, id, allowed, ADVICE_PAUSE) {
            self.jobs.mark_schedulable(&job);
        }
        self.pass_wanted = true;
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Instant, unix: UnixMillis) {
        let extend = now < self.authority && !self.deposed;
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_GAP;
            self.sweep(now, unix, extend);
        }
        self.actions.extend(self.instances.due_polls(now, extend));
        self.review_crashes(now, unix);
        self.reject_waiting(now);
        self.release_overdue(now);
        self.rejected.retain(|_, at| now.saturating_duration_since(*at) < REJECTED_TIME);
        let rested = now.saturating_duration_since(self.last_pass);
        let due = (self.pass_wanted && rested >= self.pass_gap) || rested >= self.pass_rest();
        if due && extend {
            self.pass(now, unix);
        }
        self.store(now, unix);
    }

    /// Looks through all workers and runs for what time alone has brought about.
    fn sweep(&mut self, now: Instant, unix: UnixMillis, extend: bool) {
        self.invalidate_unseen_runs(now);
        let mut found = self.instances.crash_suspicions(now);
        found.extend(self.instances.expired_runs(now));
        found.extend(self.instances.remove_vanished(now, now >= self.settled_at));
        self.handle_worker_events_at(now, unix, found);
        self.review_foreign(now);
        self.remote_workers.forget_expired(now);
        self.resend(now, extend);
    }

    /// Once nothing from before this leader's time can run any more, work of workers that were never heard is
    /// begun again.
    fn invalidate_unseen_runs(&mut self, now: Instant) {
        if self.voided || now < self.settled_at {
            return;
        }
        self.voided = true;
        let unsettled = self.unheard_domains();
        let first = self.run_base() + 1;
        for job in self.jobs.invalidate_unseen_runs(first, |job| unsettled.holds(job)) {
            self.commits.change(job, now, true);
        }
    }

    /// When `tick` has something to do next.
    pub fn next_due(&self, now: Instant) -> Instant {
        let mut due = self.last_pass + self.pass_rest();
        if self.pass_wanted {
            due = due.min(self.last_pass + self.pass_gap);
        }
        due = self.instances.next_poll().map_or(due, |poll| due.min(poll));
        due = self.held.iter().map(|held| held.until).fold(due, Instant::min);
        if self.commits.is_due(now) || !self.crashes.is_empty() {
            return now;
        }
        let waiting = self.commits.waiting().filter_map(|id| self.jobs.get(id));
        due = waiting
            .map(|job| job.submit_deadline)
            .min()
            .map_or(due, |submit_deadline| due.min(submit_deadline));
        self.commits.due().map_or(due, |commit| due.min(commit)).max(now)
    }

    /// The last round of decisions took `cost` of wall time: passes take a bounded share of it.
    pub fn note_pass_time(&mut self, cost: Duration) {
        self.pass_gap = (cost * PASS_SHARE).clamp(PASS_GAP, LONGEST_PASS_GAP);
    }

    fn pass_rest(&self) -> Duration {
        PASS_REST.max(self.pass_gap)
    }

    /// Where runs of an earlier leader may still go on unseen, or count: a task that is begun again has to be voided
    /// before, or the end of its earlier run is acknowledged later.
    fn unsettled(&self) -> UnsettledDomains {
        match self.voided {
            true => UnsettledDomains::default(),
            false => self.unheard_domains(),
        }
    }

    fn unheard_domains(&self) -> UnsettledDomains {
        let mut unsettled = UnsettledDomains::default();
        for id in &self.unheard {
            match self.instances.get(id).map(|instance| &instance.registration.domain) {
                Some(domain) if !domain.is_empty() => {
                    unsettled.domains.insert(domain.clone());
                }
                _ => unsettled.unknown = true,
            }
        }
        unsettled
    }

    fn pass(&mut self, now: Instant, unix: UnixMillis) {
        self.last_pass = now;
        self.pass_wanted = false;
        if self.config.is_none() {
            return;
        }
        let unsettled = self.unsettled();
        let jobs = &self.jobs;
        self.keeper.prune(now, |task| {
            jobs.wants(task)
                && jobs.get(&task.job).is_some_and(|job| !job.live.contains_key(&task.key))
        });
        let view = PassView {
            now,
            unix,
            unsettled: &unsettled,
            jobs: &self.jobs,
            instances: &self.instances,
            advice: &self.advice,
            keeper: &self.keeper,
            unanswered: self.window.limit(),
            lost_before_contact: self.lost_before_contact,
        };
        let plan = PlacementPass::new(view).run();
        for id in &plan.settled {
            self.jobs.mark_unschedulable(id);
        }
        for start in &plan.starts {
            self.begin(now, start, None);
        }
        for gang in &plan.gangs {
            let base = self.run_base();
            let next = |start: &crate::graph::placer::PlannedStart| {
                self.jobs.get(&start.job).map_or(base + 1, |job| job.next_run(&start.task, base))
            };
            let run = gang.iter().map(next).max();
            for start in gang {
                self.begin(now, start, run);
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
        for call in self.advice.assign(now, plan.advice_requests) {
            let (job, step) = &call.key;
            let (entry, workers) = (&*call.entry, call.workers.len());
            info!(job = &**job, step = step.step, entry, workers, call = call.id; "advice asked");
            self.actions.push(GraphAction::Advise(call));
        }
    }

    /// Lets a job use another failure domain, once the store has that.
    fn widen(&mut self, now: Instant, id: &GraphId, domain: DomainId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        info!(job = &**id, home:? = job.home, domain = &*domain; "another failure domain is used");
        metrics::counter!("kelplink_widened_jobs_total").increment(1);
        job.progress.domains.insert(domain);
        self.commits.change(id.clone(), now, true);
    }

    fn run_base(&self) -> RunNumber {
        self.epoch.saturating_sub(1) * RUNS_AN_EPOCH
    }

    /// Names of all tasks that run or may run, for the state dump.
    pub fn live_tasks(&self) -> impl Iterator<Item = (TaskName, &WorkerId)> {
        self.jobs
            .iter()
            .flat_map(|job| job.live.iter().map(|(key, live)| (job.task_name(*key), &live.worker)))
    }
}

/// A worker of which only the store's note is known.
fn unregistered(used: &UsedWorker) -> WorkerRegistration {
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
