//! What a leader answers while it does not know whether it still leads.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::sync::oneshot;
use tokio::time::{Instant, advance};

use crate::graph::{
    GraphController, GraphId, GraphProgress, GraphRecord, GraphSpec, GraphState, GraphVerdict,
    QueueId, QueueRule, RestoredState, ShardId, StepSpec,
};
use crate::node::action_executor::ActionExecutor;
use crate::node::input::LeaderInput;
use crate::node::leader::LeaderLoop;
use crate::node::message::{LeaderAnswer, LeaderCall};
use crate::node::records::LeaderTerm;
use crate::node::shared::NodeShared;
use crate::node::tests::settings;
use crate::ring::ring;

const WAITING: &str = "00000000000000a1";
const COMPLETED: &str = "00000000000000a2";
const UNKNOWN: &str = "00000000000000a3";

fn record(id: &str) -> GraphRecord {
    let rule = QueueRule {
        id: "now".into(),
        host: "".into(),
        prefix: "/now/".into(),
        service: "svc".into(),
        priority: 0,
        max_attempts: 2,
        slack: 1.5,
        target: Duration::from_millis(250),
        advice: None,
    };
    let spec = GraphSpec {
        id: id.into(),
        queue: rule.id.clone(),
        payload: "".into(),
        steps: vec![StepSpec { count: 1, ..StepSpec::default() }],
        repeat: None,
        accepted: 0,
    };
    GraphRecord { spec, rule, home: None, share: None }
}

/// A leader with a job that waits and one that is completed, whose lease has just been renewed.
struct TestLeader {
    duty: LeaderLoop,
    controller: GraphController,
    carrier: ActionExecutor,
}

impl TestLeader {
    fn new() -> Self {
        let shared = Arc::new(NodeShared::new(settings()));
        let (sender, receiver) = ring("leader", 16);
        let term = LeaderTerm { epoch: 1, epoch_revision: 1, predecessor: None };
        let duty =
            LeaderLoop::new(shared.clone(), ShardId::from(""), term, sender.clone(), receiver);
        let carrier = ActionExecutor::new(shared, sender, duty.ledger.clone(), 1);
        let over =
            GraphProgress { verdict: Some(GraphVerdict::Completed), ..GraphProgress::default() };
        let jobs = vec![(record(WAITING), GraphProgress::default()), (record(COMPLETED), over)];
        let state = RestoredState { jobs, ..RestoredState::default() };
        let controller = GraphController::new(Instant::now(), 0, 1, settings().bounds, state);
        let mut leader = Self { duty, controller, carrier };
        leader.take(LeaderInput::Renewed(Instant::now()));
        leader
    }

    fn take(&mut self, input: LeaderInput) {
        self.duty.take(&mut self.controller, &mut self.carrier, input);
        for action in self.controller.take_actions() {
            self.duty.carry_out(&self.carrier, action);
        }
    }

    fn ask(&mut self, call: LeaderCall) -> Option<LeaderAnswer> {
        let (answer, mut answered) = oneshot::channel();
        self.take(LeaderInput::Call(call, answer));
        answered.try_recv().ok()
    }

    fn state(&mut self, job: &str) -> Option<LeaderAnswer> {
        self.ask(LeaderCall::State(GraphId::from(job)))
    }

    fn cancel(&mut self, job: &str) -> Option<LeaderAnswer> {
        self.ask(LeaderCall::Cancel(GraphId::from(job)))
    }

    /// The number of jobs that wait, or whatever else is answered.
    fn pending(&mut self) -> std::result::Result<usize, Option<LeaderAnswer>> {
        match self.ask(LeaderCall::Pending(QueueId::from("now"))) {
            Some(LeaderAnswer::Pending(pending)) => Ok(pending),
            answer => Err(answer),
        }
    }
}

// A leader that the store left unanswered went on counting what it knew, without the jobs of the next leader.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_leader_without_its_lease_counts_too_few() {
    let mut leader = TestLeader::new();
    advance(Duration::from_millis(1_950)).await;
    expect_that!(leader.pending(), ok(eq(&1)));
    advance(Duration::from_millis(100)).await;
    expect_that!(leader.pending(), err(some(eq(&LeaderAnswer::NotLeading))));
    leader.take(LeaderInput::Renewed(Instant::now()));
    expect_that!(leader.pending(), ok(eq(&1)));
}

// The renewal was sent long before it was answered: the lease has run from the sending.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_renewal_that_was_answered_late_is_taken_for_a_new_one() {
    let mut leader = TestLeader::new();
    let sent = Instant::now();
    advance(Duration::from_millis(2_100)).await;
    leader.take(LeaderInput::Renewed(sent));
    expect_that!(leader.pending(), err(some(eq(&LeaderAnswer::NotLeading))));
    expect_that!(leader.state(UNKNOWN), some(eq(&LeaderAnswer::NotLeading)));
}

// The renewal was answered, the machine was suspended, and the answer is taken in afterwards.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_renewal_from_before_a_suspension_is_taken_for_a_new_one() {
    let mut leader = TestLeader::new();
    advance(Duration::from_millis(250)).await;
    let sent = Instant::now();
    leader.controller.note_suspended(Instant::now(), Duration::from_secs(10));
    leader.take(LeaderInput::Renewed(sent));
    expect_that!(leader.state(UNKNOWN), some(eq(&LeaderAnswer::NotLeading)));
    expect_that!(leader.pending(), err(some(eq(&LeaderAnswer::NotLeading))));
}

// The steady clock stands still while a machine is suspended, the lease in the store does not.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_leader_that_was_suspended_counts_too_few() {
    let mut leader = TestLeader::new();
    leader.controller.note_suspended(Instant::now(), Duration::from_millis(2_100));
    expect_that!(leader.pending(), err(some(eq(&LeaderAnswer::NotLeading))));
    expect_that!(leader.state(UNKNOWN), some(eq(&LeaderAnswer::NotLeading)));
}

// A job that the next leader had accepted was gone for callers of the one before.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_leader_without_its_lease_takes_unknown_jobs_for_gone() {
    let mut leader = TestLeader::new();
    advance(Duration::from_millis(950)).await;
    expect_that!(leader.state(UNKNOWN), some(eq(&LeaderAnswer::Gone)));
    advance(Duration::from_millis(100)).await;
    expect_that!(leader.state(UNKNOWN), some(eq(&LeaderAnswer::NotLeading)));
    // What it has is stored, also while the store is away for long.
    advance(Duration::from_secs(20)).await;
    expect_that!(leader.state(UNKNOWN), some(eq(&LeaderAnswer::NotLeading)));
    expect_that!(leader.state(WAITING), some(eq(&LeaderAnswer::State(GraphState::Queued))));
    expect_that!(leader.state(COMPLETED), some(eq(&LeaderAnswer::State(GraphState::Completed))));
    leader.take(LeaderInput::Renewed(Instant::now()));
    expect_that!(leader.state(UNKNOWN), some(eq(&LeaderAnswer::Gone)));
}

// A caller was told that there is nothing to cancel, and its job ran at the next leader.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_leader_without_its_lease_refuses_cancellations_as_gone() {
    let mut leader = TestLeader::new();
    advance(Duration::from_millis(950)).await;
    expect_that!(leader.cancel(UNKNOWN), some(eq(&LeaderAnswer::Gone)));
    advance(Duration::from_millis(100)).await;
    expect_that!(leader.cancel(UNKNOWN), some(eq(&LeaderAnswer::NotLeading)));
    // One that it has and that is over is told of at once.
    expect_that!(leader.cancel(COMPLETED), some(eq(&LeaderAnswer::Gone)));
}
