//! Tasks that wait for something that nobody looks at again.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use kelplink::{GraphState, StepSpec, WorkerId, WorkerRefusal};

use crate::model_worker::ModelWorker;
use crate::sim_cluster::{SimCluster, count_runs, seconds, step};

/// A step of tasks that last.
fn lasting(count: u32, cores: u32) -> StepSpec {
    StepSpec { lasting: true, ..step(count, cores, 600_000) }
}

/// Lets advice allow every worker whose place in the list is told.
fn allow(cluster: &mut SimCluster, is_allowed: impl Fn(usize) -> bool) {
    let workers = cluster.workers.keys().cloned().enumerate();
    let allowed: BTreeSet<WorkerId> =
        workers.filter(|(index, _)| is_allowed(*index)).map(|(_, worker)| worker).collect();
    cluster.allowed = Some(allowed);
}

/// Leaves jobs of a queue no time beside its target, so that room is made for them at once.
fn remove_slack(cluster: &mut SimCluster, queue: &str) {
    let config = Arc::make_mut(&mut cluster.config);
    Arc::make_mut(config.queues.get_mut(queue).unwrap()).slack = 0.0;
}

// All workers are full of work that may be stopped. Advice allowed a third of the first 48 that were asked about;
// room was made there, and the other tasks waited: only workers with free room were asked about after that, and
// in a full service none has any.
#[gtest]
fn a_step_in_a_full_service_asks_about_workers_on_which_room_can_be_made() {
    let mut cluster = SimCluster::new(51, 150);
    remove_slack(&mut cluster, "watched");
    allow(&mut cluster, |index| index % 3 == 0);
    cluster.run(seconds(1));
    cluster.submit("later", "full", vec![step(150, 8, 600_000)]);
    cluster.run(seconds(3));
    expect_that!(count_runs(&cluster, "full"), eq(150));
    let one_a_worker = StepSpec { max_per_worker: Some(1), ..lasting(40, 1) };
    cluster.submit("watched", "a", vec![one_a_worker]);
    cluster.run(seconds(15));
    expect_that!(count_runs(&cluster, "a"), eq(40));
}

// The first call for advice had no answer while all workers were full of work that may be stopped. The step
// counted as known from then on, and what is known and without tickets is asked about only where room is free.
#[gtest]
fn a_first_call_for_advice_without_an_answer_is_made_again_in_a_full_service() {
    let mut cluster = SimCluster::new(52, 8);
    remove_slack(&mut cluster, "watched");
    cluster.run(seconds(1));
    cluster.submit("later", "full", vec![step(8, 8, 600_000)]);
    cluster.run(seconds(2));
    cluster.advice_to_lose = 1;
    cluster.submit("watched", "a", vec![lasting(1, 1)]);
    cluster.run(seconds(10));
    expect_that!(count_runs(&cluster, "a"), eq(1));
}

// A step that has filled a hundred workers with its own tasks has their tickets renewed for ever, though it can
// place nothing there. These names fill each call, so that workers with room that nobody has asked about yet
// are never named, and the rest of the step waits.
#[gtest]
fn a_wide_step_is_asked_for_beyond_the_workers_that_it_has_filled() {
    let mut cluster = SimCluster::new(53, 220);
    allow(&mut cluster, |index| index % 3 != 0);
    cluster.run(seconds(1));
    cluster.submit("watched", "a", vec![lasting(130, 8)]);
    cluster.run(seconds(30));
    expect_that!(count_runs(&cluster, "a"), eq(130));
}

// A worker answered polls, and no start or stop. Its answers renewed its lease and said that nothing ran there,
// and the start that it had left unanswered held the task for as long as the stop was not answered either. A
// start is refused once its lease has passed on the worker's clock, so a list after that without it is certain.
#[gtest]
fn a_start_that_cannot_arrive_in_time_any_more_does_not_hold_its_task() {
    let mut cluster = SimCluster::new(54, 4);
    cluster.run(seconds(1));
    cluster.planned_faults.starts = VecDeque::from([None; 4]);
    cluster.planned_faults.stops_to_lose = u32::MAX;
    cluster.submit("now", "a", vec![lasting(1, 1)]);
    cluster.run(seconds(20));
    expect_that!(count_runs(&cluster, "a"), eq(1));
}

// One worker refused each start for want of room, while its polls said that it was empty. The refusal taught
// nothing: the same worker was chosen again in the next pass, some hundred times a second.
#[gtest]
fn a_worker_that_refuses_for_want_of_room_is_not_tried_for_ever() {
    let mut cluster = SimCluster::new(55, 4);
    cluster.run(seconds(1));
    cluster.workers.values_mut().next().unwrap().start_refusal = Some(WorkerRefusal::NoRoom);
    cluster.submit("now", "a", vec![lasting(1, 1)]);
    cluster.run(seconds(3));
    expect_that!(count_runs(&cluster, "a"), eq(1));
}

// Twelve steps wait for whole workers, and none is free. Renewals of their tickets come before the first question
// of a small step behind them, which was never asked for advice though every worker had room for it.
#[gtest]
fn renewals_of_steps_without_room_leave_calls_to_steps_that_have_some() {
    let mut cluster = SimCluster::new(56, 24);
    cluster.run(seconds(1));
    let one_a_worker = StepSpec { max_per_worker: Some(1), ..lasting(24, 1) };
    cluster.submit("now", "spread", vec![one_a_worker]);
    cluster.run(seconds(1));
    for number in 0..12 {
        cluster.submit("watched", &format!("whole-{number}"), vec![lasting(4, 8)]);
    }
    cluster.run(seconds(1));
    cluster.submit("watched", "small", vec![lasting(1, 1)]);
    cluster.run(seconds(20));
    expect_that!(count_runs(&cluster, "small"), eq(1));
}

// A gang that lasts wants one rack, and none is large enough. Several racks are used once a step is late, and
// what lasts is never late.
#[gtest]
fn a_lasting_gang_that_no_rack_holds_is_placed_on_several() {
    let mut cluster = SimCluster::new(57, 8);
    cluster.run(seconds(1));
    let gang = StepSpec { gang: true, one_rack: true, ..lasting(40, 1) };
    cluster.submit("now", "a", vec![gang]);
    cluster.run(seconds(10));
    expect_that!(count_runs(&cluster, "a"), eq(40));
}

// A worker went dark just before a start. Each of the four sends of the start counted as an extension of its
// lease, as the looks at it had once.
#[gtest]
fn sending_an_unanswered_start_again_extends_no_lease() {
    let mut cluster = SimCluster::new(58, 4);
    cluster.run(seconds(1));
    cluster.workers.values_mut().next().unwrap().up = false;
    cluster.submit("now", "a", vec![lasting(1, 1)]);
    cluster.run(Duration::from_millis(5_500));
    expect_that!(count_runs(&cluster, "a"), eq(1));
}

// The rack with a job's data had room on one worker only, on which all runs failed. Nearness outweighed that: the
// job failed for good within a second, with seven sound workers empty.
#[gtest]
fn a_task_that_failed_near_its_data_is_tried_elsewhere() {
    let mut cluster = SimCluster::new(63, 8);
    cluster.run(seconds(1));
    let rack = cluster.workers["w0-0"].registration.rack.clone();
    let near = StepSpec { label: Some((*rack).into()), ..lasting(3, 8) };
    cluster.submit("now", "full", vec![near]);
    cluster.run(seconds(1));
    let empty_in_rack =
        |worker: &&mut ModelWorker| worker.registration.rack == rack && worker.runs.is_empty();
    cluster.workers.values_mut().find(empty_in_rack).unwrap().fails_runs = true;
    cluster.submit("now", "a", vec![StepSpec { affinity: Some(rack), ..step(1, 1, 100) }]);
    cluster.run(seconds(5));
    expect_that!(cluster.state("a"), some(eq(GraphState::Completed)));
}

// One member of a lasting gang ended and its worker did not break the others. A gang is started as a whole, and
// nothing stopped the rest of it.
#[gtest]
fn a_lasting_gang_that_lost_a_member_by_its_end_is_started_again() {
    let mut cluster = SimCluster::new(61, 6);
    cluster.run(seconds(1));
    for (index, worker) in cluster.workers.values_mut().enumerate() {
        worker.slowdown = if index == 0 { 1 } else { 1_000 };
    }
    let gang = StepSpec { gang: true, lasting: true, ..step(3, 8, 1_500) };
    cluster.submit("now", "a", vec![gang]);
    cluster.run(seconds(1));
    expect_that!(count_runs(&cluster, "a"), eq(3));
    cluster.run(Duration::from_millis(1_600));
    expect_that!(count_runs(&cluster, "a"), eq(3));
}

// A worker is not registered any more, runs nothing and answers polls. Each answer renewed its lease, which has to
// end before it counts as gone.
#[gtest]
fn a_worker_without_registration_and_runs_is_left_alone() {
    let mut cluster = SimCluster::new(62, 3);
    cluster.run(seconds(1));
    let id: WorkerId = "w0-0".into();
    let now = cluster.now;
    cluster.leader().unwrap().worker_unregistered(now, &id);
    cluster.run(seconds(10));
    expect_that!(cluster.leader().unwrap().instances().get(&id).is_some(), eq(false));
    expect_that!(cluster.store.workers.iter().any(|used| used.id == id), eq(false));
}

// What lasts is started again however it ends, as often as it may be.
#[gtest]
fn lasting_tasks_are_started_again_however_they_end() {
    let mut cluster = SimCluster::new(60, 4);
    cluster.failure_permille = 500;
    cluster.run(seconds(1));
    cluster.submit("now", "a", vec![StepSpec { lasting: true, ..step(3, 1, 1_000) }]);
    for _ in 0..20 {
        cluster.run(Duration::from_millis(400));
        let before = cluster.started_runs;
        cluster.run(Duration::from_millis(1_400));
        expect_that!(cluster.started_runs - before, ge(3));
    }
}

// A gang that wants one rack waited for it until it was late, however many tasks it had: 33 tasks, two a worker,
// with racks of twelve workers, did not run for the last 18 s of a day on which most room was free.
#[gtest]
fn a_gang_that_no_rack_can_hold_does_not_wait_for_one() {
    let mut cluster = SimCluster::new(61, 12);
    cluster.run(seconds(1));
    let gang = |count| StepSpec { gang: true, one_rack: true, ..step(count, 8, 20_000) };
    cluster.submit("later", "a", vec![gang(5)]);
    cluster.run(Duration::from_millis(500));
    expect_that!(count_runs(&cluster, "a"), eq(5));
    // One that a rack can hold waits for it while it is not late.
    cluster.submit("later", "b", vec![gang(4)]);
    cluster.run(Duration::from_millis(500));
    let racks = |cluster: &SimCluster| {
        let busy = cluster.workers.values().filter(|w| w.runs.keys().any(|task| &*task.job == "b"));
        busy.map(|worker| worker.registration.rack.clone()).collect::<BTreeSet<_>>().len()
    };
    expect_that!(racks(&cluster), le(1));
}
