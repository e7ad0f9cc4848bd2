//! Executes the leader's calls to workers, the store and other entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use log::debug;
use tokio::time::Instant;

use crate::graph::{
    AdviceCall, AnswerTimeout, CallFailure, CommandResult, CommitGroup, GraphAction, InstanceId,
    LeaderEpoch, StartCommand, fence_token,
};
use crate::id::EntryId;
use crate::node::input::LeaderInput;
use crate::node::ledger::JobLedger;
use crate::node::peers::PeerClient;
use crate::node::shared::NodeShared;
use crate::platform::{CallContext, PollCall, WorkerClient};
use crate::ring::RingSender;

/// Makes each call in its own task, which sends the outcome to the leader's loop.
pub(crate) struct ActionExecutor {
    shared: Arc<NodeShared>,
    leader: RingSender<LeaderInput>,
    ledger: JobLedger,
    workers: WorkerClient,
    peers: PeerClient,
    epoch: LeaderEpoch,
    times: AnswerTimes,
}

/// Measured response times of all workers, shared by all calls.
#[derive(Clone, Debug, Default)]
struct AnswerTimes {
    times: Arc<Mutex<AnswerTimeout>>,
}

impl AnswerTimes {
    fn lock(&self) -> MutexGuard<'_, AnswerTimeout> {
        self.times.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Timeout of the next call.
    fn timeout(&self) -> Duration {
        self.lock().wait()
    }

    /// Records the result of a command that was sent at `sent`.
    fn note_answer(&self, sent: Instant, result: &CommandResult) {
        let now = Instant::now();
        match result {
            Ok(_) | Err(CallFailure::Refused(_)) => self.lock().answered(now - sent),
            Err(CallFailure::NoAnswer) => self.lock().unanswered(now),
            Err(CallFailure::NotSent | CallFailure::NothingThere) => {}
        }
    }
}

impl ActionExecutor {
    pub(crate) fn new(
        shared: Arc<NodeShared>,
        leader: RingSender<LeaderInput>,
        ledger: JobLedger,
        epoch: LeaderEpoch,
    ) -> Self {
        let (workers, peers) = (WorkerClient::new(), PeerClient::new());
        let times = AnswerTimes::default();
        Self { shared, leader, ledger, workers, peers, epoch, times }
    }

    /// Sets the epoch that later calls carry.
    pub(crate) fn set_epoch(&mut self, epoch: LeaderEpoch) {
        self.epoch = epoch;
    }

    /// Starts the call that an action asks for. Answers to callers are sent by the leader's loop instead.
    pub(crate) fn execute(&self, action: GraphAction) {
        let (workers, leader) = (self.workers.clone(), self.leader.clone());
        let (times, sent) = (self.times.clone(), Instant::now());
        let (epoch, timeout) = (self.epoch, times.timeout());
        let context = |fence| CallContext { token: fence_token(epoch, fence), timeout };
        match action {
            GraphAction::Poll { worker, address, until, acked, fence, wait } => {
                let call = PollCall { until, acked, fence, wait };
                let context = context(fence);
                tokio::spawn(async move {
                    let poll = workers.poll(context, &worker, address, call);
                    let result = poll.await;
                    leader.send(LeaderInput::Polled(worker, result)).await;
                });
            }
            GraphAction::Start(command) => {
                let context = context(command.fence);
                tokio::spawn(async move {
                    let result = workers.start(context, &command).await;
                    times.note_answer(sent, &result);
                    let StartCommand { worker, instance_start, task, run, .. } = command;
                    let instance = InstanceId::new(worker, instance_start);
                    leader.send(LeaderInput::Started(instance, task, run, result)).await;
                });
            }
            GraphAction::Stop { worker, instance_start, fence, address, task, run } => {
                let context = context(fence);
                tokio::spawn(async move {
                    let result = workers.stop(context, &worker, address, &task, run).await;
                    times.note_answer(sent, &result);
                    let instance = InstanceId::new(worker, instance_start);
                    leader.send(LeaderInput::Stopped(instance, task, run, result)).await;
                });
            }
            GraphAction::Throttle { worker, address, task, run, percent, fence } => {
                let context = context(fence);
                tokio::spawn(async move {
                    let throttle = workers.throttle(context, &worker, address, &task, run, percent);
                    let result = throttle.await;
                    debug!(task:% = task, run, percent, result:?; "throttle answered");
                });
            }
            GraphAction::Advise(call) => self.advise(call),
            GraphAction::Commit(group) => self.commit(group),
            GraphAction::Quota(id, request) => {
                let ledger = self.ledger.clone();
                tokio::spawn(async move {
                    let outcome = ledger.call_quota(&request).await;
                    leader.send(LeaderInput::QuotaAnswered(id, outcome)).await;
                });
            }
            GraphAction::Answer(..) => {}
        }
    }

    fn commit(&self, group: CommitGroup) {
        let (ledger, leader) = (self.ledger.clone(), self.leader.clone());
        tokio::spawn(async move {
            let outcome = ledger.store(&group).await;
            leader.send(LeaderInput::Stored(group.number, outcome)).await;
        });
    }

    fn advise(&self, call: AdviceCall) {
        let (shared, leader) = (self.shared.clone(), self.leader.clone());
        let (peers, address) = (self.peers.clone(), self.address_of(&call.entry));
        tokio::spawn(async move {
            let AdviceCall { id, entry, key: (job, step), workers, time } = call;
            let result = match (address, &shared.advisor) {
                (_, Some(advisor)) if entry == shared.settings.name => advisor
                    .advise(&job, step, &workers, time)
                    .await
                    .map_err(|error| format!("{error:?}")),
                (Some(address), _) => peers.advise(address, job.clone(), step, workers, time).await,
                _ => Err("no such entry".to_owned()),
            };
            shared.dependencies.advisor.tried(&format!("advice by {entry}"), &result);
            if let Err(error) = &result {
                debug!(job = &*job, entry = &*entry, error; "no advice");
                metrics::counter!("kelplink_advice_failures_total").increment(1);
            }
            leader.send(LeaderInput::Advised(id, result.ok())).await;
        });
    }

    fn address_of(&self, entry: &EntryId) -> Option<SocketAddr> {
        let members = self.shared.members.borrow();
        let entries: &BTreeMap<EntryId, _> = &members.entries;
        entries.get(entry).map(|record| record.address)
    }
}
