//! Tasks must not wait forever: cases in which a leader stopped retrying a placement, a start or an
//! advice request.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use kelplink::{AdviceRule, GraphState, QueueRule, StepSpec, WorkerId, WorkerRefusal};

use crate::model_worker::ModelWorker;
use crate::sim_cluster::{SimCluster, count_runs, kind_label, queue_rule, seconds, step};

/// A step of lasting tasks.
fn lasting(count: u32, cores: u32) -> StepSpec {
    StepSpec { lasting: true, ..step(count, cores, 600_000) }
}

/// Lets advice allow the workers whose index satisfies `is_allowed`.
fn allow(cluster: &mut SimCluster, is_allowed: impl Fn(usize) -> bool) {
    let workers = cluster.workers.keys().cloned().enumerate();
    let allowed: BTreeSet<WorkerId> =
        workers.filter(|(index, _)| is_allowed(*index)).map(|(_, worker)| worker).collect();
    cluster.allowed = Some(allowed);
}

/// Leaves jobs of a queue no slack before their target, so that tasks are preempted for them at
/// once.
fn remove_slack(cluster: &mut SimCluster, queue: &str) {
    let config = Arc::make_mut(&mut cluster.config);
    Arc::make_mut(config.queues.get_mut(queue).unwrap()).slack = 0.0;
}

// All workers are full of preemptible runs. Advice allowed a third of the first 48 workers that
// were asked about; runs were preempted there, and the other tasks waited: after that only workers
// with free capacity were asked about, and a full service has none.
#[gtest]
fn a_step_in_a_full_service_requests_advice_about_workers_with_preemptible_runs() {
    let mut cluster = SimCluster::new(51, 150);
    remove_slack(&mut cluster, "watched");
    allow(&mut cluster, |index| index % 3 == 0);
    cluster.run(seconds(1));
    cluster.submit("later", "full", vec![step(150, 8, 600_000)]);
    cluster.run(seconds(3));
    expect_that!(count_runs(&cluster, "full"), eq(150));
    let one_per_worker = StepSpec { max_per_worker: Some(1), ..lasting(40, 1) };
    cluster.submit("watched", "a", vec![one_per_worker]);
    cluster.run(seconds(15));
    expect_that!(count_runs(&cluster, "a"), eq(40));
}

// The first call for advice was not answered while all workers were full of preemptible runs. From
// then on the step counted as known, and for a known step without tickets advice is requested only
// about workers with free capacity.
#[gtest]
fn an_unanswered_first_advice_call_is_repeated_in_a_full_service() {
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

// A step that has filled a hundred workers with its own tasks has their tickets renewed without
// end, though it can place nothing there. These workers filled each call, so that workers with free
// capacity that had not been asked about were never named, and the rest of the step waited.
#[gtest]
fn a_wide_step_requests_advice_beyond_the_workers_that_it_has_filled() {
    let mut cluster = SimCluster::new(53, 220);
    allow(&mut cluster, |index| index % 3 != 0);
    cluster.run(seconds(1));
    cluster.submit("watched", "a", vec![lasting(130, 8)]);
    cluster.run(seconds(30));
    expect_that!(count_runs(&cluster, "a"), eq(130));
}

// A worker answered polls, but no start or stop. Its answers renewed its lease and reported no
// runs, and the unanswered start kept the task assigned for as long as the stop was not answered
// either. A start is refused once its lease has passed on the worker's clock, so a later report
// without the run proves that it does not run.
#[gtest]
fn an_expired_start_does_not_hold_its_task() {
    let mut cluster = SimCluster::new(54, 4);
    cluster.run(seconds(1));
    cluster.planned_faults.starts = VecDeque::from([None; 4]);
    cluster.planned_faults.stops_to_lose = u32::MAX;
    cluster.submit("now", "a", vec![lasting(1, 1)]);
    cluster.run(seconds(20));
    expect_that!(count_runs(&cluster, "a"), eq(1));
}

// One worker refused each start for lack of capacity, while its polls reported it as empty. The
// refusal had no effect on placement: the same worker was chosen again in the next pass, some
// hundred times a second.
#[gtest]
fn a_worker_that_refuses_for_lack_of_capacity_is_not_retried_forever() {
    let mut cluster = SimCluster::new(55, 4);
    cluster.run(seconds(1));
    cluster.workers.values_mut().next().unwrap().start_refusal = Some(WorkerRefusal::NoRoom);
    cluster.submit("now", "a", vec![lasting(1, 1)]);
    cluster.run(seconds(3));
    expect_that!(count_runs(&cluster, "a"), eq(1));
}

// Twelve steps wait for entire workers, and none is free. Renewals of their tickets came before the
// first request of a small step submitted later, for which advice was never requested though every
// worker had capacity for it.
#[gtest]
fn ticket_renewals_leave_advice_calls_for_steps_that_can_be_placed() {
    let mut cluster = SimCluster::new(56, 24);
    cluster.run(seconds(1));
    let one_per_worker = StepSpec { max_per_worker: Some(1), ..lasting(24, 1) };
    cluster.submit("now", "spread", vec![one_per_worker]);
    cluster.run(seconds(1));
    for number in 0..12 {
        cluster.submit("watched", &format!("whole-{number}"), vec![lasting(4, 8)]);
    }
    cluster.run(seconds(1));
    cluster.submit("watched", "small", vec![lasting(1, 1)]);
    cluster.run(seconds(20));
    expect_that!(count_runs(&cluster, "small"), eq(1));
}

// A lasting gang wants one rack, and none is large enough. Several racks are used once a step is
// late, and a lasting step is never late.
#[gtest]
fn a_lasting_gang_that_no_rack_holds_is_placed_on_several() {
    let mut cluster = SimCluster::new(57, 8);
    cluster.run(seconds(1));
    let gang = StepSpec { gang: true, one_rack: true, ..lasting(40, 1) };
    cluster.submit("now", "a", vec![gang]);
    cluster.run(seconds(10));
    expect_that!(count_runs(&cluster, "a"), eq(40));
}

// A worker became unreachable just before a start. Each of the four sends of the start counted as
// an extension of the worker's lease, although none was answered. Polls had the same fault.
#[gtest]
fn resending_an_unanswered_start_extends_no_lease() {
    let mut cluster = SimCluster::new(58, 4);
    cluster.run(seconds(1));
    cluster.workers.values_mut().next().unwrap().up = false;
    cluster.submit("now", "a", vec![lasting(1, 1)]);
    cluster.run(Duration::from_millis(5_500));
    expect_that!(count_runs(&cluster, "a"), eq(1));
}

// The rack with a job's data had free capacity on one worker only, on which all runs failed. The
// affinity outweighed the failures: the job failed permanently within a second, with seven healthy
// workers idle.
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

// One member of a lasting gang ended and its worker did not end the others. A gang is only started
// as a whole, and nothing stopped the remaining members.
#[gtest]
fn a_lasting_gang_is_started_again_after_the_end_of_a_member() {
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

// A worker is no longer registered, runs nothing and answers polls. Each answer renewed its lease,
// which has to end before the worker is forgotten.
#[gtest]
fn a_worker_without_registration_and_runs_is_forgotten() {
    let mut cluster = SimCluster::new(62, 3);
    cluster.run(seconds(1));
    let id: WorkerId = "w0-0".into();
    let now = cluster.now;
    cluster.leader().unwrap().worker_unregistered(now, &id);
    cluster.run(seconds(10));
    expect_that!(cluster.leader().unwrap().instances().get(&id).is_some(), eq(false));
    expect_that!(cluster.store.workers.iter().any(|used| used.id == id), eq(false));
}

// Lasting tasks are started again however they end, without a limit on their failures.
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

// A gang that wants one rack waited for it until it was late, however many tasks it had: 33 tasks,
// two per worker, with racks of twelve workers, did not run for the last 18 s of a long run in
// which most capacity was free.
#[gtest]
fn a_gang_that_no_rack_can_hold_does_not_wait_for_one() {
    let mut cluster = SimCluster::new(61, 12);
    cluster.run(seconds(1));
    let gang = |count| StepSpec { gang: true, one_rack: true, ..step(count, 8, 20_000) };
    cluster.submit("later", "a", vec![gang(5)]);
    cluster.run(Duration::from_millis(500));
    expect_that!(count_runs(&cluster, "a"), eq(5));
    // A gang that a rack can hold waits for a rack until it is late.
    cluster.submit("later", "b", vec![gang(4)]);
    cluster.run(Duration::from_millis(500));
    let racks = |cluster: &SimCluster| {
        let busy = cluster.workers.values().filter(|w| w.runs.keys().any(|task| &*task.job == "b"));
        busy.map(|worker| worker.registration.rack.clone()).collect::<BTreeSet<_>>().len()
    };
    expect_that!(racks(&cluster), le(1));
}

/// Adds a queue of the most urgent priority whose steps need advice, and calls of 100 ms each.
fn add_urgent_advised_queue(cluster: &mut SimCluster) {
    let advice = AdviceRule {
        call: Duration::from_millis(100),
        each: Duration::ZERO,
        valid: Duration::from_millis(2_500),
    };
    let queue = QueueRule { advice: Some(advice), ..queue_rule("counter", 0, false) };
    let config = Arc::make_mut(&mut cluster.config);
    config.queues.insert(queue.id.clone(), Arc::new(queue));
    config.version += 1;
    let config = cluster.config.clone();
    cluster.leader().unwrap().set_config(config);
}

/// Runs for a time in which a hundred urgent jobs a second arrive, twice as many as all entries together can request
/// advice for.
fn run_with_urgent_arrivals(cluster: &mut SimCluster, time: Duration) {
    let end = cluster.now + time;
    while cluster.now < end {
        let id = format!("urgent-{}", cluster.unix());
        let urgent = StepSpec { label: Some(kind_label(1)), ..step(1, 1, 100) };
        cluster.submit("counter", &id, vec![urgent]);
        cluster.run(Duration::from_millis(10));
    }
}

/// A cluster of four workers for urgent jobs and four others, two of which run a lasting task each.
fn cluster_with_lasting_tasks(seed: u64) -> SimCluster {
    let mut cluster = SimCluster::new(seed, 0);
    for number in 0..8 {
        cluster.kinds.insert(number, u32::from(number < 4));
        cluster.add_worker(number, 0);
    }
    allow(&mut cluster, |_| true);
    add_urgent_advised_queue(&mut cluster);
    cluster.run(seconds(1));
    let one_per_worker =
        StepSpec { label: Some(kind_label(0)), max_per_worker: Some(1), ..lasting(2, 4) };
    cluster.submit("watched", "a", vec![one_per_worker]);
    cluster.run(seconds(3));
    expect_that!(count_runs(&cluster, "a"), eq(2));
    cluster
}

/// Takes a worker with a lasting task away permanently.
fn lose_lasting_task(cluster: &mut SimCluster) {
    let runs_lasting = |worker: &&mut ModelWorker| worker.runs.keys().any(|task| &*task.job == "a");
    cluster.workers.values_mut().find(runs_lasting).unwrap().up = false;
}

// Urgent steps took every call for advice. A lasting task of a less urgent queue lost its worker and was not started
// again for 45 s, beside workers with room that advice allowed: no call was made for its step.
#[gtest]
fn a_lasting_task_that_lost_its_worker_gets_advice_beside_urgent_steps() {
    let mut cluster = cluster_with_lasting_tasks(64);
    run_with_urgent_arrivals(&mut cluster, seconds(3));
    lose_lasting_task(&mut cluster);
    run_with_urgent_arrivals(&mut cluster, seconds(9));
    expect_that!(count_runs(&cluster, "a"), eq(2));
}

// The same for a leader that takes over while the task is absent, and learns from no list that it has run.
#[gtest]
fn a_lasting_task_without_a_run_at_a_takeover_gets_advice_beside_urgent_steps() {
    let mut cluster = cluster_with_lasting_tasks(65);
    lose_lasting_task(&mut cluster);
    let epoch = cluster.store.epoch;
    cluster.leaders.remove(&epoch);
    cluster.elect();
    // The lost leader may have extended the lease of the lost worker for 7 s.
    run_with_urgent_arrivals(&mut cluster, seconds(12));
    run_with_urgent_arrivals(&mut cluster, seconds(3));
    expect_that!(count_runs(&cluster, "a"), eq(2));
}

// Lasting tasks of many steps are lost at once: their restarts must not take every call.
#[gtest]
fn urgent_steps_get_advice_beside_many_overdue_restarts() {
    let mut cluster = cluster_with_lasting_tasks(66);
    for number in 0..24 {
        let one_core = StepSpec { label: Some(kind_label(0)), ..lasting(1, 1) };
        cluster.submit("watched", &format!("lost-{number}"), vec![one_core]);
    }
    cluster.run(seconds(8));
    let holds_lasting_tasks =
        |worker: &&mut ModelWorker| worker.registration.labels.contains(&kind_label(0));
    cluster.workers.values_mut().filter(holds_lasting_tasks).for_each(|worker| worker.up = false);
    run_with_urgent_arrivals(&mut cluster, seconds(6));
    let before = cluster.started_runs;
    run_with_urgent_arrivals(&mut cluster, seconds(5));
    expect_that!(cluster.started_runs - before, ge(100));
}

// A share for overdue restarts put those beyond it behind all other steps, also less urgent ones; a single entry had none.
#[gtest]
fn an_urgent_restart_gets_advice_from_a_single_entry() {
    let mut cluster = cluster_with_lasting_tasks(67);
    let one_per_worker =
        StepSpec { label: Some(kind_label(0)), max_per_worker: Some(1), ..lasting(2, 4) };
    cluster.submit("counter", "b", vec![one_per_worker]);
    cluster.run(seconds(3));
    expect_that!(count_runs(&cluster, "b"), eq(2));
    cluster.leader().unwrap().set_entries(["e0".into()].into());
    let runs_b = |worker: &&mut ModelWorker| worker.runs.keys().any(|task| &*task.job == "b");
    cluster.workers.values_mut().find(runs_b).unwrap().up = false;
    let end = cluster.now + seconds(12);
    while cluster.now < end {
        let id = format!("asked-{}", cluster.unix());
        let less_urgent = StepSpec { label: Some(kind_label(1)), ..step(1, 1, 100) };
        cluster.submit("asked", &id, vec![less_urgent]);
        cluster.run(Duration::from_millis(10));
    }
    expect_that!(count_runs(&cluster, "b"), eq(2));
}

// Lasting tasks that have never run counted as absent after a takeover, and took the room of urgent work.
#[gtest]
fn queued_lasting_tasks_do_not_pass_urgent_work_at_a_takeover() {
    let mut cluster = SimCluster::new(68, 4);
    cluster.run(seconds(1));
    let urgent = |cluster: &mut SimCluster, time: Duration| {
        let end = cluster.now + time;
        while cluster.now < end {
            let id = format!("urgent-{}", cluster.unix());
            cluster.submit("now", &id, vec![step(4, 1, 1_000)]);
            cluster.run(Duration::from_millis(100));
        }
    };
    urgent(&mut cluster, seconds(3));
    cluster.submit("later", "queued", vec![lasting(32, 1)]);
    urgent(&mut cluster, seconds(12));
    let before = count_runs(&cluster, "queued");
    let epoch = cluster.store.epoch;
    cluster.leaders.remove(&epoch);
    cluster.elect();
    for _ in 0..4 {
        urgent(&mut cluster, seconds(5));
    }
    expect_that!(count_runs(&cluster, "queued"), le(before + 4));
}
