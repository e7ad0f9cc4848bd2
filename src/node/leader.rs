//! The duty of the leader: feeds the decisions and has their actions carried out.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};

use crate::graph::{
    GraphAction, GraphController, GraphId, GraphJob, LeaderEpoch, ShardId, ShardScope,
};
use crate::id::{CallId, EntryId};
use crate::node::action_executor::ActionExecutor;
use crate::node::answer_condition::AnswerCondition;
use crate::node::clock::{BootClock, unix_millis};
use crate::node::input::{GroupOutcome, LeaderInput};
use crate::node::ledger::{JobLedger, LEDGER_DUTY};
use crate::node::message::{JobSubmission, LeaderAnswer, LeaderCall};
use crate::node::notices::NoticeLoop;
use crate::node::records::LeaderTerm;
use crate::node::registry::RegistryLoop;
use crate::node::shared::NodeShared;
use crate::node::state_queries::{StateQueries, StateUpdate};
use crate::platform::PAGE_TIME;
use crate::ring::{RingReceiver, RingSender};

/// Pause after the ledger could not be read.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest time for a page of jobs, from the third try on: a megabyte over a link of 2 Mbit/s takes four
/// seconds, and with less no leader of such an entry ever began.
const LONGEST_PAGE_TIME: Duration = Duration::from_secs(10);
/// Inputs taken in before what is due is done.
const MOST_INPUTS: usize = 64;

/// Leads until told to stop or another does.
pub(crate) struct LeaderLoop {
    shared: Arc<NodeShared>,
    shard: ShardId,
    epoch: LeaderEpoch,
    predecessor: Option<(EntryId, u64)>,
    ledger: JobLedger,
    sender: RingSender<LeaderInput>,
    input: RingReceiver<LeaderInput>,
    callers: BTreeMap<CallId, oneshot::Sender<LeaderAnswer>>,
    states: StateQueries,
    last_call: CallId,
    /// Whether it is not known if the term has ended: what this leader does not have may have been accepted by the next.
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
        let LeaderTerm { epoch, epoch_revision, predecessor } = term;
        let ledger = JobLedger::new(&shared, shard.clone(), epoch, epoch_revision);
        let callers = BTreeMap::new();
        let states = StateQueries::default();
        Self {
            shared,
            shard,
            epoch,
            predecessor,
            ledger,
            sender,
            input,
            callers,
            states,
            last_call: 0,
            in_doubt: false,
        }
    }

    /// Leads.
    pub(crate) async fn run(mut self) {
        info!(shard = &*self.shard, epoch = self.epoch; "elected");
        let mut time = PAGE_TIME;
        let state = loop {
            match self.ledger.load(time).await {
                Ok(state) => break state,
                Err(_) => sleep(RETRY_PAUSE).await,
            }
            time = (time * 2).min(LONGEST_PAGE_TIME);
            if self.shared.members.borrow().shard(&self.shard).epoch > self.epoch {
                return;
            }
        };
        let plan = self.shared.members.borrow().plan.clone();
        let Some(plan) = plan else {
            return warn!(shard = &*self.shard; "leadership ends: the division is not known");
        };
        let (now, bounds) = (Instant::now(), self.shared.settings.bounds);
        let scope = ShardScope::new(plan, self.shard.clone());
        let mut controller = GraphController::new(now, unix_millis(), self.epoch, bounds, state)
            .with_scope(scope.clone())
            .awaiting_registrations();
        let carrier = ActionExecutor::new(
            self.shared.clone(),
            self.sender.clone(),
            self.ledger.clone(),
            self.epoch,
        );
        let (shared, sender) = (&self.shared, &self.sender);
        let registry = RegistryLoop::new(shared.clone(), scope.clone(), sender.clone());
        let mut followers = vec![tokio::spawn(registry.run())];
        if scope.plan.is_divided() {
            let notices = NoticeLoop::new(shared.clone(), &self.shard, sender.clone());
            followers.push(tokio::spawn(notices.run()));
        }
        self.shared.set_leading(&self.shard, Some(self.sender.clone()));
        self.lead(&mut controller, carrier).await;
        self.shared.set_leading(&self.shard, None);
        self.end(controller, &followers);
    }

    async fn lead(&mut self, controller: &mut GraphController, mut carrier: ActionExecutor) {
        let mut clock = BootClock::new();
        let mut members = self.shared.members.subscribe();
        let mut config = self.shared.config.subscribe();
        members.mark_changed();
        config.mark_changed();
        loop {
            let due = controller.next_due(Instant::now());
            tokio::select! {
                biased;
                input = self.input.recv() => {
                    if let Some(gap) = clock.suspended() {
                        controller.note_suspended(Instant::now(), gap);
                    }
                    let Some(input) = input else {
                        return;
                    };
                    if self.take_inputs(controller, &mut carrier, input) {
                        return;
                    }
                }
                _ = members.changed() => {
                    let view = members.borrow_and_update().clone();
                    controller.set_entries(view.advice_entries(&self.shard).into_iter().collect());
                    if view.has_ended(&self.predecessor) {
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
            let begun = Instant::now();
            controller.tick(begun, unix_millis());
            controller.note_pass_time(begun.elapsed());
            for action in controller.take_actions() {
                self.carry_out(&carrier, action);
            }
            let surely = self.holds(AnswerCondition::Absence, controller, begun);
            self.states.answer(begun, |job| state_news(controller, surely, job));
            if controller.deposed() {
                warn!(epoch = self.epoch; "a worker has seen a later leader: leadership ends");
                return;
            }
        }
    }

    /// Takes in an input and what else is there; tells whether leadership ends.
    fn take_inputs(
        &mut self,
        controller: &mut GraphController,
        carrier: &mut ActionExecutor,
        first: LeaderInput,
    ) -> bool {
        let mut next = Some(first);
        for _ in 0..MOST_INPUTS {
            let Some(input) = next else {
                break;
            };
            if self.take(controller, carrier, input) {
                return true;
            }
            next = self.input.try_recv();
        }
        match next {
            Some(input) => self.take(controller, carrier, input),
            None => false,
        }
    }

    fn take(
        &mut self,
        controller: &mut GraphController,
        carrier: &mut ActionExecutor,
        input: LeaderInput,
    ) -> bool {
        let (now, unix) = (Instant::now(), unix_millis());
        self.shared.note_leader_input();
        match input {
            LeaderInput::Call(call, answer) => self.call(controller, now, call, answer),
            LeaderInput::Registered(registration) => {
                controller.worker_registered(now, *registration)
            }
            LeaderInput::ListedElsewhere(shard, registration) => {
                controller.worker_registered_elsewhere(shard, *registration);
            }
            LeaderInput::Share(record) => controller.take_share(now, *record),
            LeaderInput::ShareEnded(job) => controller.cancel_share(now, unix, &job),
            LeaderInput::ShareFailed(job) => controller.fail_shared(now, unix, &job),
            LeaderInput::Unregistered(worker) => controller.worker_unregistered(now, &worker),
            LeaderInput::RegistrationsRead => controller.note_registrations_read(now),
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
                self.shared.note_store(LEDGER_DUTY);
                controller.handle_group_partly_stored(now, number, &taken);
            }
            LeaderInput::Stored(number, GroupOutcome::Refused) => {
                controller.handle_group_refused(now, number)
            }
            LeaderInput::Stored(_, GroupOutcome::Deposed) => return true,
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
                carrier.set_epoch(epoch);
                controller.renewed(epoch);
            }
            LeaderInput::Dump(answer) => {
                let _ = answer.send(dump(controller));
            }
            LeaderInput::Resign => return true,
        }
        false
    }

    /// Whether an answer may be given on a basis.
    fn holds(&self, basis: AnswerCondition, controller: &GraphController, now: Instant) -> bool {
        !self.in_doubt && basis.holds(controller.lease_age(now))
    }

    fn call(
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
            LeaderCall::State(job) => {
                let surely = self.holds(AnswerCondition::Absence, controller, now);
                let news = state_news(controller, surely, &job);
                self.states.ask(now, job, news, answer);
            }
            LeaderCall::Reach => {
                let _ = answer.send(LeaderAnswer::Leading);
            }
            LeaderCall::Pending(_) if !self.holds(AnswerCondition::Count, controller, now) => {
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
            LeaderCall::Cancel(job)
                if own_job(controller, &job).is_none()
                    && !self.holds(AnswerCondition::Absence, controller, now) =>
            {
                let _ = answer.send(LeaderAnswer::NotLeading);
            }
            LeaderCall::Cancel(job) => {
                self.callers.insert(id, answer);
                controller.cancel(now, unix_millis(), id, &job);
            }
        }
    }

    fn carry_out(&mut self, carrier: &ActionExecutor, action: GraphAction) {
        match action {
            GraphAction::Answer(call, answer) => {
                if let Some(caller) = self.callers.remove(&call) {
                    let _ = caller.send(answer.into());
                }
            }
            action => carrier.execute(action),
        }
    }

    /// Answers those of whom it is sure that nothing was done, who go to the next leader; the others get no answer.
    /// Told to come back instead, jobs would be late by the pause.
    fn end(mut self, mut controller: GraphController, followers: &[JoinHandle<()>]) {
        followers.iter().for_each(JoinHandle::abort);
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
        })
    };
    serde_json::json!({
        "epoch": controller.epoch(),
        "jobs": controller.jobs().iter().map(job).collect::<Vec<_>>(),
        "workers": controller.instances().iter().map(worker).collect::<Vec<_>>(),
    })
}

/// What may be told of a job; `surely` tells whether one that this leader does not have is surely gone.
fn state_news(controller: &GraphController, surely: bool, id: &GraphId) -> StateUpdate {
    match own_job(controller, id).filter(|job| job.durable) {
        Some(job) if job.is_over() && job.stored_verdict.is_none() => {
            StateUpdate::Ending(job.state())
        }
        Some(job) => StateUpdate::Final(job.state()),
        None if surely => StateUpdate::Gone,
        None => StateUpdate::Unsure,
    }
}

/// A job that this leader has; for one that is run here in part its owner answers.
fn own_job<'c>(controller: &'c GraphController, id: &GraphId) -> Option<&'c GraphJob> {
    controller.jobs().get(id).filter(|job| !job.is_part())
}
