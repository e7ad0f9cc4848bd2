//! Tasks that crash every worker that starts them, and other tasks on the same workers.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::{GraphState, StepSpec, WorkerId};

use crate::sim_cluster::{SimCluster, count_runs, kind_label, seconds, step};

/// Delay between the start of a task and the crash of its worker, as in the logs of a deployment.
const CRASH_AFTER: Duration = Duration::from_millis(10);

/// A cluster whose workers refuse connections while they are down.
fn start_cluster(seed: u64, workers: u32) -> SimCluster {
    let mut cluster = SimCluster::new(seed, workers);
    cluster.refuses_when_down = true;
    cluster.run(seconds(1));
    cluster
}

/// Submits a job whose first task crashes its workers.
fn submit_crashing(cluster: &mut SimCluster, queue: &str, job: &str, steps: Vec<StepSpec>) {
    cluster.crashing_tasks.insert(format!("{job}.0.0.0").parse().unwrap(), CRASH_AFTER);
    cluster.submit(queue, job, steps);
}

// Tasks that crashed every worker that started them were started again every three seconds until
// the end of a long run: the run number of one reached 131082, under three leaders, and monitoring
// counted 292 workers that stopped answering. Only ends that a worker reports counted against a
// task, and a crashed worker reports none. The log of each round says "worker is gone" with the end
// Replaced, "run lost" with heard_ms 2, and "start sent" 35 ms later.
#[gtest]
fn a_task_that_crashes_its_workers_is_given_up_and_its_job_fails() {
    let mut cluster = start_cluster(41, 8);
    submit_crashing(&mut cluster, "now", "bad", vec![step(4, 1, 800)]);
    cluster.run(seconds(30));
    expect_that!(cluster.state("bad"), some(eq(GraphState::Failed)));
    expect_that!(cluster.crash_checker.crashes(&"bad.0.0.0".parse().unwrap()), le(3));
}

// The same where the worker does not answer while it is down and is back after its lease: the run
// is given up first, and only the next instance at the address proves that the previous one had
// crashed.
#[gtest]
fn crashes_of_workers_that_come_back_after_their_leases_count() {
    let mut cluster = start_cluster(42, 8);
    cluster.refuses_when_down = false;
    cluster.crash_downtime = seconds(7);
    submit_crashing(&mut cluster, "now", "bad", vec![step(4, 1, 800)]);
    cluster.run(seconds(60));
    expect_that!(cluster.state("bad"), some(eq(GraphState::Failed)));
}

// A count kept in a leader's memory is reset with each leader: under three of them a task was
// started without end.
#[gtest]
fn crash_counts_continue_under_the_next_leader() {
    let mut cluster = start_cluster(43, 12);
    submit_crashing(&mut cluster, "now", "bad", vec![step(4, 1, 800)]);
    for _ in 0..8 {
        cluster.run(Duration::from_millis(4_500));
        let epoch = cluster.store.epoch;
        cluster.leaders.remove(&epoch);
        cluster.run(seconds(1));
        cluster.elect();
    }
    cluster.run(seconds(20));
    expect_that!(cluster.state("bad"), some(eq(GraphState::Failed)));
}

#[gtest]
fn a_lasting_task_that_crashes_its_workers_is_given_up() {
    let mut cluster = start_cluster(44, 8);
    let lasting = StepSpec { lasting: true, ..step(4, 1, 600_000) };
    submit_crashing(&mut cluster, "now", "bad", vec![lasting]);
    cluster.run(seconds(40));
    expect_that!(cluster.state("bad"), some(eq(GraphState::Failed)));
    expect_that!(count_runs(&cluster, "bad"), eq(0));
}

// All members of a gang start under one run number: any of them may be the one that crashes its
// worker.
#[gtest]
fn a_gang_with_a_member_that_crashes_its_workers_is_given_up() {
    let mut cluster = start_cluster(45, 8);
    let gang = StepSpec { gang: true, max_per_worker: Some(1), ..step(5, 2, 20_000) };
    submit_crashing(&mut cluster, "now", "bad", vec![gang]);
    cluster.run(seconds(40));
    expect_that!(cluster.state("bad"), some(eq(GraphState::Failed)));
}

// Tasks that run or start on the same workers as tasks that crash them are lost as well, up to
// seven runs of six jobs at a time in the logs. Counted against all of them, the crashes would fail
// healthy jobs.
#[gtest]
fn jobs_beside_tasks_that_crash_their_workers_complete() {
    let mut cluster = start_cluster(46, 6);
    for round in 0..6 {
        submit_crashing(&mut cluster, "now", &format!("bad{round}"), vec![step(3, 1, 800)]);
        for job in 0..3 {
            cluster.submit("now", &format!("good{round}-{job}"), vec![step(4, 1, 700)]);
        }
        let lasting = StepSpec { lasting: true, ..step(2, 1, 600_000) };
        cluster.submit("later", &format!("lasting{round}"), vec![lasting]);
        cluster.run(seconds(2));
    }
    cluster.run(seconds(60));
    for round in 0..6 {
        expect_that!(cluster.state(&format!("bad{round}")), some(eq(GraphState::Failed)));
        for job in 0..3 {
            let state = cluster.state(&format!("good{round}-{job}"));
            expect_that!(state, some(eq(GraphState::Completed)), "good{round}-{job}");
        }
        expect_that!(cluster.state(&format!("lasting{round}")), some(eq(GraphState::Running)));
    }
}

// Workers of three racks are lost at once, as with a switch failure, and again when their tasks
// have started elsewhere: such crashes are no evidence against the tasks.
#[gtest]
fn jobs_whose_workers_crash_for_other_reasons_complete() {
    let mut cluster = start_cluster(47, 20);
    for job in 0..12 {
        let lasting = job % 3 == 0;
        let millis = if lasting { 600_000 } else { 4_000 };
        let steps = vec![StepSpec { lasting, ..step(4, 1, millis) }];
        cluster.submit("now", &format!("job{job}"), steps);
    }
    cluster.run(Duration::from_millis(300));
    for round in 0..4 {
        let used =
            |id: &&WorkerId| !cluster.workers[*id].runs.is_empty() && cluster.workers[*id].up;
        let used: Vec<WorkerId> = cluster.workers.keys().filter(used).take(4).cloned().collect();
        used.iter().for_each(|id| cluster.crash(id));
        cluster.run(Duration::from_millis(3_600 + round * 400));
    }
    cluster.run(seconds(30));
    for job in 0..12 {
        let state = if job % 3 == 0 { GraphState::Running } else { GraphState::Completed };
        expect_that!(cluster.state(&format!("job{job}")), some(eq(state)), "job{job}");
    }
}

// Two starts never arrived, at workers that were lost for other reasons; the first crash under a
// started run failed the job.
#[gtest]
fn a_task_is_not_given_up_for_starts_that_never_arrived() {
    let mut cluster = start_cluster(48, 6);
    cluster.crash_downtime = Duration::from_millis(200);
    cluster.planned_faults.starts.extend([None; 100]);
    cluster.submit("now", "a", vec![step(1, 1, 60_000)]);
    let task = "a.0.0.0".parse().unwrap();
    for crashes in 1..=3 {
        if crashes == 3 {
            cluster.planned_faults.starts.clear();
        }
        let started = u64::from(crashes == 3);
        let mut holder = None;
        while holder.is_none() || cluster.started_runs < started {
            cluster.run(Duration::from_millis(50));
            let leader = cluster.leader().unwrap();
            let live = leader.live_tasks().find(|(name, _)| *name == task);
            holder = live.map(|(_, worker)| worker.clone());
        }
        cluster.crash(&holder.unwrap());
        cluster.run(seconds(1));
        let counted = &cluster.store.jobs["a"].1.crashes;
        expect_that!(counted.values().map(|runs| runs.len()).sum::<usize>(), eq(crashes));
    }
    expect_that!(cluster.state("a"), some(eq(GraphState::Running)));
}

// The start of a task that had crashed a worker was sent together with its suspect-run record.
// Leaders that were lost before the store had the record left none, and the task crashed a worker
// under each.
#[gtest]
fn a_suspected_task_is_started_once_its_announcement_is_stored() {
    let mut cluster = start_cluster(49, 8);
    cluster.crash_downtime = Duration::from_millis(300);
    submit_crashing(&mut cluster, "now", "bad", vec![step(1, 1, 800)]);
    let task = "bad.0.0.0".parse().unwrap();
    while cluster.crash_checker.crashes(&task) < 1 {
        cluster.run(Duration::from_millis(5));
    }
    cluster.store.up = false;
    cluster.run(seconds(3));
    expect_that!(cluster.started_runs, eq(1));
    cluster.store.up = true;
    cluster.run(seconds(2));
    expect_that!(cluster.started_runs, eq(2));
    expect_that!(cluster.state("bad"), some(eq(GraphState::Failed)));
}

// The same for a gang: no member is started before the announcements of all members are stored.
#[gtest]
fn a_suspected_gang_is_started_once_all_its_announcements_are_stored() {
    let mut cluster = start_cluster(52, 8);
    cluster.crash_downtime = Duration::from_millis(300);
    let gang = StepSpec { gang: true, max_per_worker: Some(1), ..step(3, 2, 20_000) };
    submit_crashing(&mut cluster, "now", "bad", vec![gang]);
    let task = "bad.0.0.0".parse().unwrap();
    while cluster.crash_checker.crashes(&task) < 1 {
        cluster.run(Duration::from_millis(5));
    }
    cluster.run(Duration::from_millis(50));
    let started = cluster.started_runs;
    cluster.store.up = false;
    cluster.run(seconds(3));
    expect_that!(cluster.started_runs, eq(started));
    cluster.store.up = true;
    cluster.run(seconds(2));
    expect_that!(cluster.started_runs, ge(started + 1));
}

// A leader is lost after it has announced a start and before it has sent it: the next leader does
// not count a crash for it.
#[gtest]
fn a_start_that_was_announced_but_never_sent_is_not_a_crash() {
    let mut cluster = start_cluster(53, 1);
    cluster.crash_downtime = Duration::from_millis(300);
    submit_crashing(&mut cluster, "now", "bad", vec![step(1, 1, 800)]);
    let task = "bad.0.0.0".parse().unwrap();
    while cluster.crash_checker.crashes(&task) < 1 {
        cluster.run(Duration::from_millis(5));
    }
    while cluster.store.jobs["bad"].1.announced.is_empty() {
        cluster.run(Duration::from_millis(5));
    }
    let epoch = cluster.store.epoch;
    cluster.elect();
    cluster.leaders.remove(&epoch);
    cluster.run(Duration::from_millis(100));
    let counted = &cluster.store.jobs["bad"].1.crashes;
    expect_that!(counted.values().map(|runs| runs.len()).sum::<usize>(), eq(1));
    cluster.run(seconds(10));
    expect_that!(cluster.state("bad"), some(eq(GraphState::Failed)));
    expect_that!(cluster.crash_checker.crashes(&task), eq(2));
}

// Three sends of a start were not answered, and the run was first reported more than a second after
// the first of them. That was read as a worker that has survived the start, and its earlier crashes
// were forgotten.
#[gtest]
fn a_late_start_is_not_survived_when_it_is_first_reported() {
    let mut cluster = start_cluster(50, 8);
    submit_crashing(&mut cluster, "now", "bad", vec![step(1, 1, 60_000)]);
    let task = "bad.0.0.0".parse().unwrap();
    while cluster.crash_checker.crashes(&task) < 1 {
        cluster.run(Duration::from_millis(5));
    }
    let late = Duration::from_millis(1_200);
    cluster.planned_faults.starts.extend([Some(late), None, None, None]);
    cluster.crashing_tasks.insert(task.clone(), Duration::from_millis(900));
    while cluster.crash_checker.crashes(&task) < 2 {
        cluster.run(Duration::from_millis(5));
    }
    cluster.run(seconds(5));
    expect_that!(cluster.state("bad"), some(eq(GraphState::Failed)));
    expect_that!(cluster.crash_checker.crashes(&task), eq(2));
}

// A worker was disconnected until its lease was over, and only then replaced. The next leader,
// which assumes the longest lease that its predecessor may have granted, counted the run as one
// that was certainly running at the crash.
#[gtest]
fn a_crash_after_a_possible_lease_expiry_is_not_proven() {
    let mut cluster = start_cluster(51, 2);
    cluster.submit("now", "a", vec![step(4, 1, 60_000)]);
    cluster.run(Duration::from_millis(300));
    let holder = cluster.leader().unwrap().live_tasks().next().map(|(_, worker)| worker.clone());
    let holder = holder.unwrap();
    let epoch = cluster.store.epoch;
    cluster.leaders.remove(&epoch);
    cluster.run(seconds(3));
    cluster.elect();
    while !cluster.leader().unwrap().instances().get(&holder).unwrap().claimed {
        cluster.run(Duration::from_millis(5));
    }
    cluster.workers.get_mut(&holder).unwrap().connected = false;
    cluster.run(Duration::from_millis(2_500));
    expect_true!(cluster.workers[&holder].runs.is_empty(), "the lease has not expired");
    let number = holder[1..2].parse().unwrap();
    cluster.add_worker(number, 1);
    cluster.run(seconds(1));
    let counted = cluster.store.jobs["a"].1.crashes.values().flat_map(|runs| runs.values());
    expect_that!(
        counted.copied().collect::<Vec<bool>>(),
        all![not(is_empty()), not(contains(eq(&true)))]
    );
}

// A worker was disconnected, its run ended without being reported, and only then was the worker
// replaced: the run was counted as one under which the worker had crashed.
#[gtest]
fn a_crash_after_a_possible_end_of_the_run_is_not_proven() {
    let mut cluster = start_cluster(54, 2);
    cluster.submit("now", "a", vec![step(4, 1, 300)]);
    cluster.run(Duration::from_millis(200));
    let holder = cluster.leader().unwrap().live_tasks().next().map(|(_, worker)| worker.clone());
    let holder = holder.unwrap();
    cluster.workers.get_mut(&holder).unwrap().connected = false;
    cluster.run(seconds(1));
    expect_true!(cluster.workers[&holder].runs.is_empty(), "the run has not ended");
    let number = holder[1..2].parse().unwrap();
    cluster.add_worker(number, 1);
    while cluster.leader().unwrap().instances().get(&holder).is_some() {
        cluster.run(Duration::from_millis(5));
    }
    cluster.run(Duration::from_millis(50));
    let counted = cluster.store.jobs["a"].1.crashes.values().flat_map(|runs| runs.values());
    let counted: Vec<bool> = counted.copied().collect();
    expect_that!(counted, all![not(is_empty()), not(contains(eq(&true)))]);
}

/// A cluster in which only one worker has the label that the lasting task of a job requires. Also returns that step.
fn start_labelled_cluster(seed: u64) -> (SimCluster, StepSpec) {
    let mut cluster = start_cluster(seed, 4);
    cluster.kinds.insert(0, 0);
    cluster.add_worker(0, 1);
    cluster.run(seconds(1));
    let label = Some(kind_label(0));
    (cluster, StepSpec { lasting: true, label, ..step(1, 6, 600_000) })
}

/// Guards against a lasting job that is shown as failed since the only worker that may run it crashed twice by itself: both
/// crashes came within a second of a start, and were taken for crashes that the task had caused.
#[gtest]
fn a_lasting_task_runs_on_after_repeated_crashes_of_one_machine() {
    let (mut cluster, lasting) = start_labelled_cluster(85);
    cluster.crash_downtime = Duration::from_millis(700);
    cluster.submit("now", "a", vec![lasting]);
    for _ in 0..4 {
        cluster.run(Duration::from_millis(700));
        let worker = cluster.workers.keys().find(|id| id.starts_with("w0-")).cloned().unwrap();
        cluster.crash(&worker);
        cluster.run(Duration::from_millis(700));
    }
    expect_that!(cluster.crash_checker.crashes(&"a.0.0.0".parse().unwrap()), ge(2));
    cluster.run(seconds(10));
    expect_that!(cluster.state("a"), some(eq(GraphState::Running)));
    expect_that!(count_runs(&cluster, "a"), eq(1));
}

/// Guards against a task that crashes the only machine that may run it for as long as its job lasts.
#[gtest]
fn a_lasting_task_that_crashes_its_only_machine_is_given_up() {
    let (mut cluster, lasting) = start_labelled_cluster(86);
    submit_crashing(&mut cluster, "now", "bad", vec![lasting]);
    for _ in 0..6 {
        cluster.run(seconds(10));
        let epoch = cluster.store.epoch;
        cluster.leaders.remove(&epoch);
        cluster.run(seconds(1));
        cluster.elect();
    }
    cluster.run(seconds(5));
    expect_that!(cluster.state("bad"), some(eq(GraphState::Failed)));
    expect_that!(cluster.crash_checker.crashes(&"bad.0.0.0".parse().unwrap()), le(5));
}
