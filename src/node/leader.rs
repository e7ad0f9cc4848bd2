//! The leader's loop: passes inputs to the [`GraphController`] and executes the actions it returns.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::pin::pin;
use std::sync::Arc;

use log::{info, warn};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until};

use crate::graph::{
    GraphAction, GraphController, GraphId, GraphJob, LeaderEpoch, RestoredState, ShardId,
    ShardScope,
};
use crate::id::CallId;
use crate::node::action_executor::ActionExecutor;
use crate::node::answer_condition::AnswerCondition;
use crate::node::clock::{BootClock, unix_millis};
use crate::node::input::{GroupOutcome, LeaderInput};
use crate::node::ledger::{JobLedger, LEDGER_LOG_NAME};
use crate::node::message::{JobAccess, JobSubmission, LeaderAnswer, LeaderCall};
use crate::node::notices::NoticeLoop;
use crate::node::records::{EarlierLeader, LeaderProcess, LeaderTerm};
use crate::node::registry::RegistryLoop;
use crate::node::shared::NodeShared;
use crate::node::state_queries::{StateQueries, StateUpdate};
use crate::node::view::MemberView;
use crate::ring::{RingReceiver, RingSender, ring};

/// Inputs handled in a row before the controller's due work is done.
const MAX_INPUTS_PER_PASS: usize = 64;
/// Capacity of the ring of changes of registrations: a page of them.
const REGISTRATION_RING_SIZE: usize = 512;

/// Part of the notice of leaving workers by which the registrations may be older than the leader's lease: the rest is left
/// for the start to arrive.
const MAX_LAG_OF_NOTICE: f64 = 2.0 / 3.0;

/// Leads a shard until it resigns, is replaced by another leader or its inputs end.
pub(crate) struct LeaderLoop {
    shared: Arc<NodeShared>,
    shard: ShardId,
    epoch: LeaderEpoch,
    predecessor: Option<LeaderProcess>,
    /// All leaders before this term that may still run.
    earlier: BTreeSet<EarlierLeader>,
    ledger: JobLedger,
    sender: RingSender<LeaderInput>,
    input: RingReceiver<LeaderInput>,
    /// Changes of registrations. They do not queue behind the answers of workers: behind thousands of those, the leader
    /// would learn seconds late that a worker leaves.
    registrations: RingReceiver<LeaderInput>,
    /// Where the loop that follows the registrations sends them.
    registration_sender: RingSender<LeaderInput>,
    /// Inputs that arrived while the ledger was read.
    delayed_inputs: VecDeque<LeaderInput>,
    callers: BTreeMap<CallId, oneshot::Sender<LeaderAnswer>>,
    state_queries: StateQueries,
    last_call: CallId,
    /// Whether the term may already have ended in the store: jobs that this leader does not have may then have been
    /// accepted by the next one.
    in_doubt: bool,
}

impl LeaderLoop {
    pub(crate) fn new(
        shared: Arc<NodeShared>,
        shard: ShardId,
        term: LeaderTerm,
        sender: RingSender<LeaderInput>,
        input: RingReceiver<LeaderInput>,
    ) -> Self {
        let LeaderTerm { epoch, epoch_revision, predecessor, earlier } = term;
        let ledger = JobLedger::new(&shared, shard.clone(), epoch, epoch_revision);
        let callers = BTreeMap::new();
        let state_queries = StateQueries::default();
        let (registration_sender, registrations) = ring("registrations", REGISTRATION_RING_SIZE);
        Self {
            shared,
            shard,
            epoch,
            predecessor,
            earlier,
            ledger,
            sender,
            input,
            registrations,
            registration_sender,
            delayed_inputs: VecDeque::new(),
            callers,
            state_queries,
            last_call: 0,
            in_doubt: false,
        }
    }

    /// Loads the ledger, then leads until the term ends.
    pub(crate) async fn run(mut self) {
        let (predecessor, earlier) = (&self.predecessor, &self.earlier);
        info!(shard = &*self.shard, epoch = self.epoch, predecessor:?, earlier:?; "elected");
        let Some(state) = self.read_ledger().await else {
            return info!(shard = &*self.shard, epoch = self.epoch; "leadership ended before the ledger was read");
        };
        self.ledger.report_load(&state);
        let plan = self.shared.members.borrow().plan.clone();
        let Some(plan) = plan else {
            return warn!(shard = &*self.shard; "leadership ends: the shard plan is not known");
        };
        let (now, bounds) = (Instant::now(), self.shared.settings.bounds);
        let scope = ShardScope::new(plan, self.shard.clone());
        let mut controller = GraphController::new(now, unix_millis(), self.epoch, bounds, state)
            .with_scope(scope.clone())
            .with_registration_lag(self.shared.settings.leave_notice.mul_f64(MAX_LAG_OF_NOTICE))
            .awaiting_registrations();
        let executor = ActionExecutor::new(
            self.shared.clone(),
            self.sender.clone(),
            self.ledger.clone(),
            self.epoch,
        );
        let (shared, sender) = (&self.shared, &self.sender);
        let registrations = self.registration_sender.clone();
        let registry = RegistryLoop::new(shared.clone(), scope.clone(), registrations);
        let mut background_tasks = vec![tokio::spawn(registry.run())];
        if scope.plan.is_divided() {
            let notices = NoticeLoop::new(shared.clone(), &self.shard, sender.clone());
            background_tasks.push(tokio::spawn(notices.run()));
        }
        self.shared.set_leading(&self.shard, Some(self.sender.clone()));
        self.run_term(&mut controller, executor).await;
        self.shared.set_leading(&self.shard, None);
        self.finish_term(controller, &background_tasks);
    }

    /// Reads the ledger. Returns `None` if the term ends before that: a leader that still reads has nothing to serve, so
    /// it need not finish.
    async fn read_ledger(&mut self) -> Option<RestoredState> {
        let ledger = self.ledger.clone();
        let mut members = self.shared.members.subscribe();
        let mut read = pin!(ledger.load());
        loop {
            tokio::select! {
                biased;
                input = self.input.recv() => match input? {
                    LeaderInput::Resign => return None,
                    input => self.delayed_inputs.push_back(input),
                },
                _ = members.changed() => {
                    if self.is_superseded(&members.borrow_and_update()) {
                        return None;
                    }
                }
                state = &mut read => return Some(state),
            }
        }
    }

    /// Whether another entry has won a later election. This process may continue under a later epoch itself.
    fn is_superseded(&self, view: &MemberView) -> bool {
        let shard_view = view.shard(&self.shard);
        let is_own = shard_view.holder.is_some_and(|(_, start)| start == self.shared.start);
        shard_view.epoch > self.epoch && !is_own
    }

    /// Whether no earlier leader extends the leases of workers any more.
    fn have_predecessors_ended(&self, view: &MemberView) -> bool {
        view.has_ended(&self.predecessor) && view.running(&self.earlier).is_empty()
    }

    async fn run_term(&mut self, controller: &mut GraphController, mut executor: ActionExecutor) {
        while let Some(input) = self.delayed_inputs.pop_front() {
            if self.handle_input(controller, &mut executor, input) {
                return;
            }
        }
        let mut clock = BootClock::new();
        let mut members = self.shared.members.subscribe();
        let mut config = self.shared.config.subscribe();
        members.mark_changed();
        config.mark_changed();
        loop {
            let due = controller.next_due(Instant::now());
            tokio::select! {
                biased;
                input = self.next_input() => {
                    if let Some(gap) = clock.suspended() {
                        controller.note_suspended(Instant::now(), gap);
                    }
                    let Some(input) = input else {
                        return;
                    };
                    if self.handle_inputs(controller, &mut executor, input) {
                        return;
                    }
                }
                _ = members.changed() => {
                    let view = members.borrow_and_update().clone();
                    controller.set_entries(view.advice_entries(&self.shard).into_iter().collect());
                    if self.have_predecessors_ended(&view) {
                        controller.note_predecessor_ended(Instant::now());
                    }
                }
                _ = config.changed() => {
                    if let Some(config) = config.borrow_and_update().clone() {
                        controller.set_config(config);
                    }
                }
                () = sleep_until(due) => {
                    if let Some(gap) = clock.suspended() {
                        controller.note_suspended(Instant::now(), gap);
                    }
                }
            }
            let started = Instant::now();
            controller.tick(started, unix_millis());
            controller.note_pass_time(started.elapsed());
            for action in controller.take_actions() {
                self.execute_action(&executor, action);
            }
            let absence_certain = self.may_answer(AnswerCondition::Absence, controller, started);
            self.state_queries
                .answer_waiting(started, |job| state_update(controller, absence_certain, job));
            if controller.deposed() {
                warn!(epoch = self.epoch; "leadership ends: a worker has seen a later epoch");
                return;
            }
        }
    }

    /// Waits for the next input, a change of a registration if there is one; returns `None` once leadership has ended.
    async fn next_input(&self) -> Option<LeaderInput> {
        tokio::select! {
            biased;
            Some(registration) = self.registrations.recv() => Some(registration),
            input = self.input.recv() => input,
        }
    }

    /// Handles an input and those that have arrived since, changes of registrations in turn with the others; returns
    /// whether leadership ends.
    fn handle_inputs(
        &mut self,
        controller: &mut GraphController,
        executor: &mut ActionExecutor,
        first: LeaderInput,
    ) -> bool {
        if self.handle_input(controller, executor, first) {
            return true;
        }
        for _ in 0..MAX_INPUTS_PER_PASS {
            let (registration, input) = (self.registrations.try_recv(), self.input.try_recv());
            if registration.is_none() && input.is_none() {
                break;
            }
            for input in registration.into_iter().chain(input) {
                if self.handle_input(controller, executor, input) {
                    return true;
                }
            }
        }
        false
    }

    /// Handles one input; returns whether leadership ends.
    fn handle_input(
        &mut self,
        controller: &mut GraphController,
        executor: &mut ActionExecutor,
        input: LeaderInput,
    ) -> bool {
        let (now, unix) = (Instant::now(), unix_millis());
        self.shared.note_leader_input();
        match input {
            LeaderInput::Call(call, answer) => self.handle_call(controller, now, call, answer),
            LeaderInput::Registered(registration) => {
                controller.worker_registered(now, *registration)
            }
            LeaderInput::RegisteredElsewhere(shard, registration) => {
                controller.worker_registered_elsewhere(shard, *registration);
            }
            LeaderInput::Share(record) => controller.accept_share(now, *record),
            LeaderInput::JobMoved(moved, revision) => {
                controller.accept_moved(now, unix, *moved, revision);
            }
            LeaderInput::ShareEnded(job) => controller.cancel_share(now, unix, &job),
            LeaderInput::ShareFailed(job) => controller.fail_shared(now, unix, &job),
            LeaderInput::Unregistered(worker) => controller.worker_unregistered(now, &worker),
            LeaderInput::RegistrationsRead => controller.note_registrations_read(now),
            LeaderInput::RegistrationsConfirmed(at) => {
                metrics::histogram!("kelplink_registration_queue_seconds").record(now - at);
                controller.note_registrations_confirmed(at);
            }
            LeaderInput::Polled(worker, result) => {
                controller.handle_poll_result(now, unix, &worker, result)
            }
            LeaderInput::Started(instance, task, run, result) => {
                controller.handle_start_result(now, &instance, &task, run, result);
            }
            LeaderInput::Stopped(instance, task, run, result) => {
                controller.handle_stop_result(now, &instance, &task, run, result);
            }
            LeaderInput::Advised(id, allowed) => controller.handle_advice(now, id, allowed),
            LeaderInput::Stored(number, GroupOutcome::Stored { taken }) => {
                self.shared.note_store_answer(LEDGER_LOG_NAME);
                controller.handle_group_partly_stored(now, number, &taken);
            }
            LeaderInput::Stored(number, GroupOutcome::Refused) => {
                controller.handle_group_refused(now, number)
            }
            LeaderInput::Stored(_, GroupOutcome::Deposed) => return true,
            LeaderInput::QuotaAnswered(id, outcome) => {
                controller.handle_quota_outcome(now, unix, id, outcome);
            }
            LeaderInput::Renewed(sent) => controller.note_lease_renewal(sent),
            LeaderInput::InDoubt { expected } => {
                self.in_doubt = true;
                if !expected {
                    controller.revoke_authority(now);
                }
            }
            LeaderInput::Epoch(epoch, revision) => {
                self.epoch = epoch;
                self.in_doubt = false;
                self.ledger.renew(epoch, revision);
                executor.set_epoch(epoch);
                controller.renew_epoch(epoch);
            }
            LeaderInput::Dump(answer) => {
                let _ = answer.send(dump(controller));
            }
            LeaderInput::Resign => return true,
        }
        false
    }

    /// Whether an answer that depends on `condition` may be given now.
    fn may_answer(
        &self,
        condition: AnswerCondition,
        controller: &GraphController,
        now: Instant,
    ) -> bool {
        !self.in_doubt && condition.holds(controller.lease_age(now))
    }

    fn handle_call(
        &mut self,
        controller: &mut GraphController,
        now: Instant,
        call: LeaderCall,
        answer: oneshot::Sender<LeaderAnswer>,
    ) {
        self.last_call += 1;
        let id = self.last_call;
        let lease_age = controller.lease_age(now);
        match call {
            LeaderCall::State(access) => {
                let absence_certain = self.may_answer(AnswerCondition::Absence, controller, now);
                let update = match is_hidden(controller, &access) {
                    true => StateUpdate::Gone,
                    false => state_update(controller, absence_certain, access.job()),
                };
                self.state_queries.answer_or_wait(now, access.job().clone(), update, answer);
            }
            LeaderCall::Reach => {
                let _ = answer.send(LeaderAnswer::Leading);
            }
            LeaderCall::Pending(_) if !self.may_answer(AnswerCondition::Count, controller, now) => {
                let _ = answer.send(LeaderAnswer::NotLeading);
            }
            LeaderCall::Pending(queue) => {
                let pending = controller.jobs().pending(&queue);
                let (shard, epoch, lease_ms) =
                    (&*self.shard, self.epoch, lease_age.as_millis() as u64);
                info!(queue = &*queue, pending, shard, epoch, lease_ms; "waiting jobs counted");
                let _ = answer.send(LeaderAnswer::Pending(pending));
            }
            LeaderCall::Submit(submission) => {
                self.callers.insert(id, answer);
                let JobSubmission { attempt, caller_timeout, forced, record } = *submission;
                match forced {
                    true => controller.submit_here(now, id, attempt, caller_timeout, record),
                    false => controller.submit(now, id, attempt, caller_timeout, record),
                }
            }
            LeaderCall::Cancel(access) if is_hidden(controller, &access) => {
                let _ = answer.send(LeaderAnswer::Gone);
            }
            LeaderCall::Cancel(access)
                if owned_job(controller, access.job()).is_none()
                    && !self.may_answer(AnswerCondition::Absence, controller, now) =>
            {
                let _ = answer.send(LeaderAnswer::NotLeading);
            }
            LeaderCall::Cancel(access) => {
                self.callers.insert(id, answer);
                controller.cancel(now, unix_millis(), id, access.job());
            }
        }
    }

    fn execute_action(&mut self, executor: &ActionExecutor, action: GraphAction) {
        match action {
            GraphAction::Answer(call, answer) => {
                if let Some(caller) = self.callers.remove(&call) {
                    let _ = caller.send(answer.into());
                }
            }
            action => executor.execute(action),
        }
    }

    /// Answers [`LeaderAnswer::NotLeading`] to calls that have certainly had no effect, so that they are sent to the
    /// next leader at once; other calls get no answer. Asking callers to retry later would delay their jobs by the pause.
    fn finish_term(mut self, mut controller: GraphController, background_tasks: &[JoinHandle<()>]) {
        background_tasks.iter().for_each(JoinHandle::abort);
        controller.resign();
        for action in controller.take_actions() {
            if let GraphAction::Answer(call, _) = action
                && let Some(caller) = self.callers.remove(&call)
            {
                let _ = caller.send(LeaderAnswer::NotLeading);
            }
        }
        while let Some(input) = self.input.try_recv() {
            if let LeaderInput::Call(_, answer) = input {
                let _ = answer.send(LeaderAnswer::NotLeading);
            }
        }
        info!(shard = &*self.shard, epoch = self.epoch; "leadership ended");
    }
}

fn dump(controller: &GraphController) -> serde_json::Value {
    let job = |job: &GraphJob| {
        serde_json::json!({
            "id": &*job.spec.id, "queue": &*job.spec.queue, "state": job.state(),
            "live": job.live.len(), "durable": job.durable,
        })
    };
    let worker = |instance: &crate::graph::WorkerInstance| {
        serde_json::json!({
            "id": &**instance.id(), "born": instance.instance_start, "listed": instance.registered, "claimed": instance.claimed,
            "runs": instance.runs.len(), "free": instance.free(), "misses": instance.misses,
            "lease_ms": instance.remaining_lease(Instant::now()).as_millis() as u64,
        })
    };
    serde_json::json!({
        "epoch": controller.epoch(),
        "inherited_leases_ms": controller.inherited_lease_time(Instant::now()).as_millis() as u64,
        "jobs": controller.jobs().iter().map(job).collect::<Vec<_>>(),
        "workers": controller.instances().iter().map(worker).collect::<Vec<_>>(),
    })
}

/// What to report about a job. `absence_certain` is whether a job that this leader does not have certainly does not
/// exist.
fn state_update(controller: &GraphController, absence_certain: bool, id: &GraphId) -> StateUpdate {
    match owned_job(controller, id).filter(|job| job.durable) {
        Some(job) if job.is_over() && job.stored_verdict.is_none() => {
            StateUpdate::Ending(job.state())
        }
        Some(job) => StateUpdate::Current(job.state()),
        None if absence_certain => StateUpdate::Gone,
        None => StateUpdate::Unsure,
    }
}

/// Whether a caller must not learn that a job exists, as it belongs to another workspace.
fn is_hidden(controller: &GraphController, access: &JobAccess) -> bool {
    owned_job(controller, access.job()).is_some_and(|job| !job.is_visible_to(access.workspace()))
}

/// A job that this leader owns. Queries for a job of which only a part runs here, or that has moved to another shard, are
/// answered by its owner.
fn owned_job<'c>(controller: &'c GraphController, id: &GraphId) -> Option<&'c GraphJob> {
    controller.jobs().get(id).filter(|job| !job.is_part() && !job.has_moved())
}
