//! Calls that were meant for an earlier instance of a worker and are carried out, seconds later, by the next one under
//! its id: their times lie far ahead of its clock, so that it holds the longest lease from their arrival on.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::{
    CallFailure, EPOCH_STEP, GraphState, InstanceId, TaskKey, TaskName, WorkerId, WorkerRefusal,
};

use crate::model_worker::ModelRun;
use crate::sim_cluster::{SimCluster, count_runs, seconds, step};

/// Longest lease of workers here, more than twice the one that leaders grant.
const LONGEST_LEASE: Duration = Duration::from_secs(10);
/// How long a restarting worker is down.
const DOWNTIME: Duration = Duration::from_millis(30);

/// A cluster of two workers that accept the longest lease, with a clock that has run for a while.
fn start_cluster(seed: u64) -> SimCluster {
    let mut cluster = SimCluster::new(seed, 2);
    cluster.accept_leases(LONGEST_LEASE);
    cluster.keep_ids(seed);
    cluster.run(seconds(15));
    cluster
}

/// Restarts a worker while a poll is on its way to it, which is carried out `delay` after it was sent.
fn restart_with_late_poll(cluster: &mut SimCluster, worker: &WorkerId, delay: Duration) {
    cluster.planned_faults.polls.insert(worker.clone(), delay);
    while cluster.planned_faults.polls.contains_key(worker) {
        cluster.run(Duration::from_millis(5));
    }
    cluster.crash_and_restart(worker, DOWNTIME);
}

/// Restarts a worker while a poll that acknowledges ends is on its way to it, which is carried out 6 s after it was sent.
fn restart_with_late_ack(cluster: &mut SimCluster, worker: &WorkerId) {
    cluster.submit("now", "before", vec![step(16, 1, 300)]);
    cluster.planned_faults.acknowledging_polls.insert(worker.clone(), seconds(6));
    while cluster.planned_faults.acknowledging_polls.contains_key(worker) {
        cluster.run(Duration::from_millis(5));
    }
    cluster.crash_and_restart(worker, DOWNTIME);
}

/// Fills both workers with a task each, and returns the job whose task runs on `worker` and the other one.
fn fill(
    cluster: &mut SimCluster,
    worker: &WorkerId,
    run_time_ms: u64,
) -> (&'static str, &'static str) {
    for job in ["a", "b"] {
        cluster.submit("now", job, vec![step(1, 8, run_time_ms)]);
    }
    while count_runs(cluster, "a") + count_runs(cluster, "b") < 2 {
        cluster.run(Duration::from_millis(5));
    }
    match cluster.workers[worker].was_assigned("a") {
        true => ("a", "b"),
        false => ("b", "a"),
    }
}

/// Runs until a task is assigned to a worker, and returns that worker.
fn wait_for_assignment(cluster: &mut SimCluster) -> WorkerId {
    loop {
        cluster.run(Duration::from_millis(5));
        let mut live_tasks = cluster.leader().unwrap().live_tasks();
        if let Some((_, worker)) = live_tasks.next() {
            return worker.clone();
        }
    }
}

/// Cuts a worker off, and makes room elsewhere.
fn cut_off(cluster: &mut SimCluster, worker: &WorkerId, elsewhere: &str) {
    cluster.workers.get_mut(worker).unwrap().connected = false;
    cluster.cancel(elsewhere);
}

// The leader counted the longest lease from the first answer of the new instance on. A poll that the previous instance
// had left unanswered extended it from its arrival, and the worker's task was started elsewhere while it still ran.
#[gtest]
fn a_leader_waits_for_the_lease_of_a_late_poll() {
    for seed in 0..8 {
        let (mut cluster, worker) = (start_cluster(seed), WorkerId::from("w0-0"));
        restart_with_late_poll(&mut cluster, &worker, seconds(6));
        cluster.run(seconds(5));
        let (job, other) = fill(&mut cluster, &worker, 10_000);
        cluster.run(Duration::from_millis(1_500));
        cut_off(&mut cluster, &worker, other);
        cluster.run(seconds(35));
        expect_that!(cluster.state(job), some(eq(GraphState::Completed)), "seed {seed}");
    }
}

// The same where the poll arrives after the worker was cut off.
#[gtest]
fn a_leader_waits_for_the_lease_of_a_poll_that_a_worker_carries_out_behind_a_cut() {
    for seed in 0..8 {
        let (mut cluster, worker) = (start_cluster(seed), WorkerId::from("w0-0"));
        restart_with_late_poll(&mut cluster, &worker, seconds(9));
        cluster.run(seconds(5));
        let (job, other) = fill(&mut cluster, &worker, 13_000);
        cluster.run(Duration::from_millis(500));
        cut_off(&mut cluster, &worker, other);
        cluster.run(seconds(35));
        expect_that!(cluster.state(job), some(eq(GraphState::Completed)), "seed {seed}");
    }
}

// A start was on its way while its worker restarted, and was found to be unanswered after the first answer of the new
// instance. It was refused there seconds later, as its run had been stopped, but its time extended the lease.
#[gtest]
fn a_leader_waits_for_the_lease_of_a_start_that_was_on_its_way_at_a_restart() {
    for seed in 0..8 {
        let mut cluster = start_cluster(seed);
        let ids: Vec<WorkerId> = cluster.workers.keys().cloned().collect();
        ids.iter().for_each(|id| cluster.crash_and_restart(id, Duration::from_millis(500)));
        cluster.run(Duration::from_millis(300));
        cluster.planned_faults.starts.push_back(Some(seconds(8)));
        cluster.submit("now", "late", vec![step(1, 1, 300)]);
        let worker = wait_for_assignment(&mut cluster);
        cluster.run(Duration::from_millis(6_500));
        let (job, other) = fill(&mut cluster, &worker, 11_000);
        cluster.run(seconds(2));
        cut_off(&mut cluster, &worker, other);
        cluster.run(seconds(35));
        expect_that!(cluster.state(job), some(eq(GraphState::Completed)), "seed {seed}");
    }
}

// The start of a run was on its way while its worker restarted, and was found to be unanswered after the next instance
// had answered and stopped the run. The one after that knew nothing of the stop, carried the start out and ran the task
// a second time.
#[gtest]
fn a_start_that_was_on_its_way_at_a_restart_is_stopped_after_another_one() {
    for seed in 0..8 {
        let mut cluster = SimCluster::new(seed, 1);
        cluster.run(seconds(15));
        let worker = WorkerId::from("w0-0");
        cluster.crash_and_restart(&worker, Duration::from_millis(500));
        cluster.run(Duration::from_millis(300));
        cluster.planned_faults.starts.push_back(Some(seconds(8)));
        cluster.submit("now", "a", vec![step(1, 1, 300)]);
        cluster.run(seconds(4));
        expect_that!(cluster.state("a"), some(eq(GraphState::Completed)), "seed {seed}");
        cluster.crash_and_restart(&worker, DOWNTIME);
        cluster.run(seconds(6));
        expect_that!(cluster.started_runs, eq(1), "seed {seed}");
    }
}

// A poll that acknowledged ends of the previous instance was carried out by the next one, which numbers its ends anew: it
// forgot an end that nobody had read, and the task ran again. A restarted worker gets work only once it refuses such calls.
#[gtest]
fn a_restarted_worker_that_has_work_refuses_late_calls() {
    for seed in 0..8 {
        let (mut cluster, worker) = (start_cluster(seed), WorkerId::from("w0-0"));
        let late_token = cluster.workers[&worker].fence;
        restart_with_late_ack(&mut cluster, &worker);
        cluster.submit("now", "a", vec![step(400, 1, 300)]);
        let mut was_used = false;
        for _ in 0..8_000 {
            cluster.run(Duration::from_millis(1));
            let restarted = &cluster.workers[&worker];
            // Starts that were on their way to the previous instance.
            let known_from = restarted.contact.map(|contact| contact + Duration::from_millis(20));
            let is_later = |run: &ModelRun| known_from.is_some_and(|known| run.started_at > known);
            let has_work = restarted.runs.values().any(is_later);
            was_used |= has_work;
            assert_that!(!has_work || restarted.fence > late_token, eq(true), "seed {seed}");
        }
        expect_that!(was_used, eq(true), "seed {seed}");
        expect_that!(cluster.state("a"), some(eq(GraphState::Completed)), "seed {seed}");
    }
}

// The same where no other worker has room and the worker is cut off: the end is forgotten behind the cut.
#[gtest]
fn a_task_whose_end_a_late_poll_has_acknowledged_is_not_started_again() {
    for seed in 0..8 {
        let (mut cluster, worker) = (start_cluster(seed), WorkerId::from("w0-0"));
        restart_with_late_ack(&mut cluster, &worker);
        cluster.run(seconds(3));
        let (job, other) = fill(&mut cluster, &worker, 1_500);
        cluster.run(Duration::from_millis(700));
        cut_off(&mut cluster, &worker, other);
        cluster.run(Duration::from_millis(2_500));
        cluster.workers.get_mut(&worker).unwrap().connected = true;
        cluster.run(seconds(20));
        expect_that!(cluster.state(job), some(eq(GraphState::Completed)), "seed {seed}");
    }
}

// A leader was lost together with a worker that had restarted. A poll that this leader had sent to the previous instance
// was carried out seconds later, and the next leader had waited for calls that arrive within half a second only.
#[gtest]
fn a_successor_waits_for_the_lease_of_a_late_poll_of_its_predecessor() {
    for seed in 0..8 {
        let (mut cluster, worker) = (start_cluster(seed), WorkerId::from("w0-0"));
        restart_with_late_poll(&mut cluster, &worker, Duration::from_millis(5_500));
        cluster.run(Duration::from_millis(1_500));
        let (job, other) = fill(&mut cluster, &worker, 14_500);
        cluster.run(Duration::from_millis(300));
        let epoch = cluster.store.epoch;
        cluster.leaders.remove(&epoch);
        cluster.workers.get_mut(&worker).unwrap().connected = false;
        cluster.run(Duration::from_millis(700));
        cluster.elect();
        let now = cluster.now;
        cluster.leader().unwrap().note_predecessor_ended(now);
        cluster.cancel(other);
        cluster.run(seconds(40));
        expect_that!(cluster.state(job), some(eq(GraphState::Completed)), "seed {seed}");
    }
}

// A poll that acknowledged ends of the previous instance was carried out by the next one, which forgot the end of a task
// that no leader had read. The task was started again.
#[gtest]
fn a_late_poll_does_not_hide_the_end_of_a_task_at_the_next_instance() {
    for seed in 0..8 {
        let (mut cluster, worker) = (start_cluster(seed), WorkerId::from("w0-0"));
        cluster.submit("now", "earlier", vec![step(16, 1, 300)]);
        cluster.run(seconds(3));
        cluster.submit("now", "earlier2", vec![step(16, 1, 300)]);
        cluster.run(Duration::from_millis(600));
        restart_with_late_poll(&mut cluster, &worker, seconds(7));
        cluster.run(seconds(5));
        let (job, _) = fill(&mut cluster, &worker, 1_500);
        cluster.run(Duration::from_millis(500));
        cluster.workers.get_mut(&worker).unwrap().connected = false;
        cluster.run(Duration::from_millis(2_500));
        cluster.workers.get_mut(&worker).unwrap().connected = true;
        cluster.run(seconds(35));
        expect_that!(cluster.state(job), some(eq(GraphState::Completed)), "seed {seed}");
    }
}

// A worker was down until its registration had gone and its lease had expired, so it came back as a new one. The next
// leader was not told of the late poll.
#[gtest]
fn a_successor_waits_for_late_calls_to_a_worker_that_had_vanished() {
    for seed in 0..8 {
        let (mut cluster, worker) = (start_cluster(seed), WorkerId::from("w0-0"));
        cluster.planned_faults.polls.insert(worker.clone(), seconds(10));
        while cluster.planned_faults.polls.contains_key(&worker) {
            cluster.run(Duration::from_millis(5));
        }
        cluster.crash_and_restart(&worker, seconds(6));
        cluster.run(Duration::from_millis(7_600));
        let (job, other) = fill(&mut cluster, &worker, 14_500);
        cluster.run(Duration::from_millis(300));
        let epoch = cluster.store.epoch;
        cluster.leaders.remove(&epoch);
        cluster.workers.get_mut(&worker).unwrap().connected = false;
        cluster.run(Duration::from_millis(700));
        cluster.elect();
        let now = cluster.now;
        cluster.leader().unwrap().note_predecessor_ended(now);
        cluster.cancel(other);
        cluster.run(seconds(40));
        expect_that!(cluster.state(job), some(eq(GraphState::Completed)), "seed {seed}");
    }
}

// The same where the poll arrives before the first answer of the instance that comes back, which holds the longest lease
// from then on.
#[gtest]
fn a_successor_waits_for_the_lease_of_a_late_poll_before_the_first_answer_of_a_worker_that_had_vanished()
 {
    for seed in 0..8 {
        let (mut cluster, worker) = (start_cluster(seed), WorkerId::from("w0-0"));
        cluster.planned_faults.polls.insert(worker.clone(), seconds(60));
        while cluster.planned_faults.polls.contains_key(&worker) {
            cluster.run(Duration::from_millis(5));
        }
        cluster.crash_and_restart(&worker, seconds(6));
        while !cluster.workers[&worker].up {
            cluster.run(Duration::from_millis(1));
        }
        // As the poll does that the previous instance has left unanswered.
        let (now, until) = (cluster.now, seconds(600));
        cluster.workers.get_mut(&worker).unwrap().extend(until, now, LONGEST_LEASE);
        cluster.run(Duration::from_millis(100));
        let (job, other) = fill(&mut cluster, &worker, 9_000);
        cluster.run(Duration::from_millis(100));
        let epoch = cluster.store.epoch;
        cluster.leaders.remove(&epoch);
        cluster.workers.get_mut(&worker).unwrap().connected = false;
        cluster.run(Duration::from_millis(700));
        cluster.elect();
        let now = cluster.now;
        cluster.leader().unwrap().note_predecessor_ended(now);
        cluster.cancel(other);
        cluster.run(seconds(40));
        expect_that!(cluster.state(job), some(eq(GraphState::Completed)), "seed {seed}");
    }
}

// A start by the previous clock gave the new instance the longest lease, and a late poll extended it at its end.
#[gtest]
fn a_successor_waits_for_a_late_poll_within_the_longest_lease() {
    for seed in 0..8 {
        let (mut cluster, worker) = (start_cluster(seed), WorkerId::from("w0-0"));
        restart_with_late_poll(&mut cluster, &worker, Duration::from_millis(9_900));
        cluster.run(Duration::from_millis(35));
        let (job, other) = fill(&mut cluster, &worker, 19_200);
        cluster.run(Duration::from_millis(1_600));
        let epoch = cluster.store.epoch;
        cluster.leaders.remove(&epoch);
        cluster.workers.get_mut(&worker).unwrap().connected = false;
        cluster.run(Duration::from_millis(700));
        cluster.elect();
        let now = cluster.now;
        cluster.leader().unwrap().note_predecessor_ended(now);
        cluster.cancel(other);
        cluster.run(seconds(45));
        expect_that!(cluster.state(job), some(eq(GraphState::Completed)), "seed {seed}");
    }
}

// A worker had restarted long ago. A poll that its present instance left unanswered names a time on its own clock, but
// the next leader waited as for calls to an earlier instance.
#[gtest]
fn a_successor_does_not_wait_longer_for_a_poll_that_the_present_instance_left_unanswered() {
    for seed in 0..8 {
        let (mut cluster, worker) = (start_cluster(seed), WorkerId::from("w0-0"));
        cluster.crash_and_restart(&worker, DOWNTIME);
        cluster.run(seconds(60));
        cluster.planned_faults.polls.insert(worker.clone(), seconds(2));
        while cluster.planned_faults.polls.contains_key(&worker) {
            cluster.run(Duration::from_millis(5));
        }
        cluster.run(seconds(3));
        cluster.crash_and_restart(&WorkerId::from("w1-0"), DOWNTIME);
        cluster.run(seconds(4));
        let epoch = cluster.store.epoch;
        cluster.leaders.remove(&epoch);
        cluster.workers.get_mut(&worker).unwrap().connected = false;
        cluster.run(Duration::from_millis(700));
        cluster.elect();
        let now = cluster.now;
        cluster.leader().unwrap().note_predecessor_ended(now);
        cluster.run(seconds(2));
        let now = cluster.now;
        let wait = cluster.leader().unwrap().inherited_lease_time(now);
        expect_that!(wait, le(seconds(5)), "seed {seed}");
    }
}

// A leader's own call to the previous instance of a worker was refused by the token of the next one, and the leader took
// that for a sign of a later leader.
#[gtest]
fn a_refused_call_to_an_earlier_instance_does_not_end_the_term() {
    let (mut cluster, worker) = (start_cluster(0), WorkerId::from("w0-0"));
    let before = cluster.workers[&worker].registration.instance_start;
    cluster.crash_and_restart(&worker, DOWNTIME);
    cluster.run(seconds(1));
    let (now, id) = (cluster.now, InstanceId::new(worker.clone(), before));
    let task = TaskName::new("a".into(), TaskKey::new(0, 0, 0));
    let refused = || Err(CallFailure::Refused(WorkerRefusal::Deposed));
    let leader = cluster.leader().unwrap();
    leader.handle_start_result(now, &id, &task, 1, refused());
    leader.handle_stop_result(now, &id, &task, 1, refused());
    expect_that!(leader.deposed(), eq(false));
    // The present instance refuses only what a later leader has ended.
    let present =
        InstanceId::new(worker.clone(), cluster.workers[&worker].registration.instance_start);
    let leader = cluster.leader().unwrap();
    leader.handle_stop_result(now, &present, &task, 1, refused());
    expect_that!(leader.deposed(), eq(true));
}

// A worker that had restarted was cut off until its leader had forgotten it. With a token that began anew it would refuse
// that leader as one that has been succeeded.
#[gtest]
fn tokens_rise_for_workers_that_had_been_forgotten() {
    for (seed, time_away) in [(0, seconds(20)), (1, seconds(90))] {
        let (mut cluster, worker) = (start_cluster(seed), WorkerId::from("w0-0"));
        for _ in 0..3 {
            cluster.crash_and_restart(&worker, DOWNTIME);
            cluster.run(seconds(2));
        }
        let epoch = cluster.store.epoch;
        expect_that!(cluster.workers[&worker].fence, gt(epoch), "seed {seed}");
        cluster.workers.get_mut(&worker).unwrap().connected = false;
        let now = cluster.now;
        cluster.leader().unwrap().worker_unregistered(now, &worker);
        cluster.run(time_away);
        expect_that!(cluster.leader().unwrap().instances().get(&worker).is_none(), eq(true));
        // Others that are forgotten meanwhile do not lower it.
        cluster.replace_worker(1, 1);
        cluster.workers.get_mut(&worker).unwrap().connected = true;
        let (now, registration) = (cluster.now, cluster.workers[&worker].registration.clone());
        cluster.leader().unwrap().worker_registered(now, registration);
        cluster.run(seconds(3));
        expect_that!(cluster.leaders.contains_key(&epoch), eq(true), "seed {seed}");
        cluster.submit("now", "a", vec![step(16, 1, 60_000)]);
        cluster.run(seconds(3));
        expect_that!(cluster.workers[&worker].was_assigned("a"), eq(true), "seed {seed}");
    }
}

// An entry of an earlier release is elected after one that has raised tokens: its epoch is the next number. Workers that
// have restarted more often than there were elections since refuse it, so that it steps down.
#[gtest]
fn leaders_of_an_earlier_release_are_accepted_after_as_many_elections_as_restarts() {
    let (mut cluster, worker) = (start_cluster(3), WorkerId::from("w0-0"));
    for _ in 0..2 {
        cluster.crash_and_restart(&worker, DOWNTIME);
        cluster.run(seconds(2));
    }
    let epoch = cluster.store.epoch;
    for election in 1..=2 {
        cluster.store.epoch = epoch + election - EPOCH_STEP;
        cluster.elect();
        expect_that!(cluster.store.epoch, eq(epoch + election));
        cluster.run(seconds(2));
        expect_that!(cluster.leaders.contains_key(&(epoch + election)), eq(election == 2));
    }
}
