//! Answers of a leader whose term may have ended.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::sync::oneshot;
use tokio::time::{Instant, advance};

use crate::graph::{
    CallFailure, GraphController, GraphProgress, GraphRecord, GraphSpec, GraphState, GraphVerdict,
    QueueId, QueueRule, RestoredState, ShardId, StepSpec, WorkerRegistration,
};
use crate::id::WorkerId;
use crate::node::action_executor::ActionExecutor;
use crate::node::input::LeaderInput;
use crate::node::leader::LeaderLoop;
use crate::node::message::{JobAccess, LeaderAnswer, LeaderCall};
use crate::node::records::LeaderTerm;
use crate::node::shared::NodeShared;
use crate::node::tests::settings;
use crate::resources::ResourceVector;
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
        public: false,
    };
    let spec = GraphSpec {
        id: id.into(),
        queue: rule.id.clone(),
        payload: "".into(),
        steps: vec![StepSpec { count: 1, ..StepSpec::default() }],
        repeat: None,
        accepted: 0,
    };
    GraphRecord { spec, rule, workspace: None, home: None, share: None, run_offset: 0 }
}

/// Inputs that may wait for the leader in these tests.
const RING_SIZE: usize = 1_000;

/// A leader that has a waiting and a completed job, and whose lease has just been renewed.
struct TestLeader {
    leader_loop: LeaderLoop,
    controller: GraphController,
    executor: ActionExecutor,
}

impl TestLeader {
    fn new() -> Self {
        let shared = Arc::new(NodeShared::new(settings()));
        let (sender, receiver) = ring("leader", RING_SIZE);
        let term =
            LeaderTerm { epoch: 1, epoch_revision: 1, predecessor: None, earlier: BTreeSet::new() };
        let leader_loop =
            LeaderLoop::new(shared.clone(), ShardId::from(""), term, sender.clone(), receiver);
        let executor = ActionExecutor::new(shared, sender, leader_loop.ledger.clone(), 1);
        let completed =
            GraphProgress { verdict: Some(GraphVerdict::Completed), ..GraphProgress::default() };
        let jobs =
            vec![(record(WAITING), GraphProgress::default()), (record(COMPLETED), completed)];
        let state = RestoredState { jobs, ..RestoredState::default() };
        let controller = GraphController::new(Instant::now(), 0, 1, settings().bounds, state);
        let mut leader = Self { leader_loop, controller, executor };
        leader.handle_input(LeaderInput::Renewed(Instant::now()));
        leader
    }

    fn handle_input(&mut self, input: LeaderInput) {
        self.leader_loop.handle_input(&mut self.controller, &mut self.executor, input);
        for action in self.controller.take_actions() {
            self.leader_loop.execute_action(&self.executor, action);
        }
    }

    /// Handles inputs as one round of the leader's loop does.
    fn handle_inputs(&mut self, first: LeaderInput) {
        self.leader_loop.handle_inputs(&mut self.controller, &mut self.executor, first);
    }

    fn ask(&mut self, call: LeaderCall) -> Option<LeaderAnswer> {
        let (answer, mut answered) = oneshot::channel();
        self.handle_input(LeaderInput::Call(call, answer));
        answered.try_recv().ok()
    }

    fn state(&mut self, job: &str) -> Option<LeaderAnswer> {
        self.ask(LeaderCall::State(JobAccess::Anonymous(job.into())))
    }

    fn cancel(&mut self, job: &str) -> Option<LeaderAnswer> {
        self.ask(LeaderCall::Cancel(JobAccess::Anonymous(job.into())))
    }

    /// The number of waiting jobs, or any other answer.
    fn pending(&mut self) -> std::result::Result<usize, Option<LeaderAnswer>> {
        match self.ask(LeaderCall::Pending(QueueId::from("now"))) {
            Some(LeaderAnswer::Pending(pending)) => Ok(pending),
            answer => Err(answer),
        }
    }
}

// A leader that could not reach the store kept counting its own jobs and missed those of the next leader.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_leader_without_its_lease_does_not_count_jobs() {
    let mut leader = TestLeader::new();
    advance(Duration::from_millis(1_950)).await;
    expect_that!(leader.pending(), ok(eq(&1)));
    advance(Duration::from_millis(100)).await;
    expect_that!(leader.pending(), err(some(eq(&LeaderAnswer::NotLeading))));
    leader.handle_input(LeaderInput::Renewed(Instant::now()));
    expect_that!(leader.pending(), ok(eq(&1)));
}

// A renewal may be answered long after it was sent; the lease runs from when it was sent.
#[gtest]
#[tokio::test(start_paused = true)]
async fn the_lease_age_is_measured_from_the_sending_of_a_renewal() {
    let mut leader = TestLeader::new();
    let sent = Instant::now();
    advance(Duration::from_millis(2_100)).await;
    leader.handle_input(LeaderInput::Renewed(sent));
    expect_that!(leader.pending(), err(some(eq(&LeaderAnswer::NotLeading))));
    expect_that!(leader.state(UNKNOWN), some(eq(&LeaderAnswer::NotLeading)));
}

// A renewal is answered, the machine is suspended, and the answer is handled afterwards.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_renewal_sent_before_a_suspension_does_not_extend_the_lease() {
    let mut leader = TestLeader::new();
    advance(Duration::from_millis(250)).await;
    let sent = Instant::now();
    leader.controller.note_suspended(Instant::now(), Duration::from_secs(10));
    leader.handle_input(LeaderInput::Renewed(sent));
    expect_that!(leader.state(UNKNOWN), some(eq(&LeaderAnswer::NotLeading)));
    expect_that!(leader.pending(), err(some(eq(&LeaderAnswer::NotLeading))));
}

// The monotonic clock stops while a machine is suspended, but the lease in the store still expires.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_suspension_adds_to_the_lease_age() {
    let mut leader = TestLeader::new();
    leader.controller.note_suspended(Instant::now(), Duration::from_millis(2_100));
    expect_that!(leader.pending(), err(some(eq(&LeaderAnswer::NotLeading))));
    expect_that!(leader.state(UNKNOWN), some(eq(&LeaderAnswer::NotLeading)));
}

// A replaced leader reported a job as gone that the next leader had accepted.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_leader_without_its_lease_does_not_report_unknown_jobs_as_gone() {
    let mut leader = TestLeader::new();
    advance(Duration::from_millis(950)).await;
    expect_that!(leader.state(UNKNOWN), some(eq(&LeaderAnswer::Gone)));
    advance(Duration::from_millis(100)).await;
    expect_that!(leader.state(UNKNOWN), some(eq(&LeaderAnswer::NotLeading)));
    // Jobs that the leader has are stored, so their state is reported even after a long outage of the store.
    advance(Duration::from_secs(20)).await;
    expect_that!(leader.state(UNKNOWN), some(eq(&LeaderAnswer::NotLeading)));
    expect_that!(leader.state(WAITING), some(eq(&LeaderAnswer::State(GraphState::Queued))));
    expect_that!(leader.state(COMPLETED), some(eq(&LeaderAnswer::State(GraphState::Completed))));
    leader.handle_input(LeaderInput::Renewed(Instant::now()));
    expect_that!(leader.state(UNKNOWN), some(eq(&LeaderAnswer::Gone)));
}

// A replaced leader answered that there was nothing to cancel, and the job ran under the next leader.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_leader_without_its_lease_does_not_refuse_cancellations_as_gone() {
    let mut leader = TestLeader::new();
    advance(Duration::from_millis(950)).await;
    expect_that!(leader.cancel(UNKNOWN), some(eq(&LeaderAnswer::Gone)));
    advance(Duration::from_millis(100)).await;
    expect_that!(leader.cancel(UNKNOWN), some(eq(&LeaderAnswer::NotLeading)));
    // A job that the leader has and that has ended is reported as gone whatever the age of the lease.
    expect_that!(leader.cancel(COMPLETED), some(eq(&LeaderAnswer::Gone)));
}

// Changes of registrations waited behind all answers of workers, up to 8,192 inputs: a leader that takes 1,600 a second
// would learn five seconds late that a worker leaves.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_change_of_a_registration_does_not_wait_behind_the_answers_of_workers() {
    let mut leader = TestLeader::new();
    let worker = WorkerId::from("w1");
    let poll = || LeaderInput::Polled("gone".into(), Err(CallFailure::NoAnswer));
    for _ in 0..RING_SIZE / 2 {
        expect_that!(leader.leader_loop.sender.offer(poll()).is_ok(), eq(true));
    }
    let registered = LeaderInput::Registered(Box::new(leaving_registration(&worker)));
    expect_that!(leader.leader_loop.registration_sender.offer(registered).is_ok(), eq(true));
    leader.handle_inputs(poll());
    let instance = leader.controller.instances().get(&worker);
    expect_true!(instance.is_some_and(|instance| instance.leaves_at.is_some()));
    expect_true!(leader.leader_loop.input.try_recv().is_some());
}

fn leaving_registration(worker: &WorkerId) -> WorkerRegistration {
    WorkerRegistration {
        id: worker.clone(),
        instance_start: None,
        address: settings().store,
        service: "svc".into(),
        domain: "a".into(),
        rack: "r1-1".into(),
        labels: Vec::new(),
        machine: None,
        capacity: ResourceVector::new(8_000, 16_000, 0),
        leaving: Some(Duration::from_secs(5)),
    }
}
