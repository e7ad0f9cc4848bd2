//! Admission by forecast: which jobs are rejected while there is more work than capacity.

use std::collections::BTreeSet;
use std::time::Duration;

use googletest::prelude::*;
use kelplink::{GraphAnswer, GraphState, StepSpec, WorkerId};

use crate::sim_cluster::{SimCluster, seconds, step};

/// Time between two submissions of a load, and between two looks at its jobs.
const TICK: Duration = Duration::from_millis(25);
/// Run time of a quick task in milliseconds; with the queue's rule the objective of its job is 1.15 s.
const TASK_TIME: u64 = 600;
/// Age after which a quick job has no value.
const WORTHLESS_AFTER: Duration = Duration::from_millis(3_450);
/// No cap, in cores.
const UNCAPPED: u32 = 1_000_000;

/// A job of a load.
struct LoadJob {
    id: String,
    call: u64,
    /// Time since its submission.
    age: Duration,
    /// Its age when it was seen as completed.
    ended: Option<Duration>,
}

/// Quick jobs of several workspaces, and what became of them.
#[derive(Default)]
struct QuickLoad {
    jobs: Vec<LoadJob>,
}

impl QuickLoad {
    /// Submits quick jobs of each workspace at its rate, in jobs a second, for a time.
    fn run(&mut self, cluster: &mut SimCluster, rates: &[(&str, f64)], time: Duration) {
        let mut due: Vec<f64> = vec![0.0; rates.len()];
        let mut passed = Duration::ZERO;
        while passed < time {
            for ((workspace, rate), due) in rates.iter().zip(&mut due) {
                *due += rate * TICK.as_secs_f64();
                while *due >= 1.0 {
                    *due -= 1.0;
                    self.submit(cluster, workspace);
                }
            }
            cluster.run(TICK);
            passed += TICK;
            self.look(cluster);
        }
    }

    /// Runs the load for a time, and then until what was accepted has ended or lost its value.
    fn finish(&mut self, cluster: &mut SimCluster, rates: &[(&str, f64)], time: Duration) {
        self.run(cluster, rates, time);
        self.run(cluster, &[], WORTHLESS_AFTER);
    }

    fn submit(&mut self, cluster: &mut SimCluster, workspace: &str) {
        let id = format!("{workspace}@{}", self.jobs.len());
        let call = cluster.submit("now", &id, quick_steps());
        self.jobs.push(LoadJob { id, call, age: Duration::ZERO, ended: None });
    }

    fn look(&mut self, cluster: &mut SimCluster) {
        for job in self.jobs.iter_mut().filter(|job| job.ended.is_none()) {
            job.age += TICK;
            if cluster.state(&job.id) == Some(GraphState::Completed) {
                job.ended = Some(job.age);
            }
        }
    }

    fn of<'l>(&'l self, workspace: &'l str) -> impl Iterator<Item = &'l LoadJob> {
        self.jobs.iter().filter(move |job| job.id.split('@').next() == Some(workspace))
    }

    fn rejected<'l>(
        &'l self,
        cluster: &'l SimCluster,
        workspace: &'l str,
    ) -> impl Iterator<Item = &'l LoadJob> {
        self.of(workspace).filter(|job| is_rejected(cluster, job.call))
    }

    /// Numbers of accepted jobs of a workspace, and of those among them that ended with value.
    fn kept(&self, cluster: &SimCluster, workspace: &str) -> (usize, usize) {
        let accepted = || self.of(workspace).filter(|job| !is_rejected(cluster, job.call));
        let has_value = |job: &&LoadJob| job.ended.is_some_and(|ended| ended <= WORTHLESS_AFTER);
        (accepted().count(), accepted().filter(has_value).count())
    }

    /// Checks that no rejected job was ever sent to a worker.
    fn check_rejected(&self, cluster: &mut SimCluster) {
        let rejected = self.jobs.iter().filter(|job| is_rejected(cluster, job.call));
        for id in rejected.map(|job| job.id.clone()).collect::<Vec<_>>() {
            expect_that!(cluster.state(&id), none(), "{id} is known");
            expect_false!(was_assigned(cluster, &id), "{id} was started");
        }
    }
}

fn quick_steps() -> Vec<StepSpec> {
    vec![step(6, 1, TASK_TIME)]
}

fn is_rejected(cluster: &SimCluster, call: u64) -> bool {
    matches!(
        cluster.answers.get(&call),
        Some(GraphAnswer::Rejected(_) | GraphAnswer::Overloaded(_))
    )
}

fn was_assigned(cluster: &SimCluster, job: &str) -> bool {
    cluster.workers.values().any(|worker| worker.was_assigned(job))
}

/// A cluster of 64 cores that a backlog of long work fills; checkpoints keep what it has worked.
fn full_cluster(seed: u64, rules: &[(&str, u32, f64)]) -> SimCluster {
    let mut cluster = SimCluster::new(seed, 8);
    cluster.set_workspaces(rules);
    cluster.run(seconds(1));
    for number in 0..4 {
        let long = StepSpec { checkpoints: true, ..step(100, 1, 3_000) };
        cluster.submit("later", &format!("long{number}"), vec![long]);
    }
    cluster.run(seconds(3));
    cluster
}

// All 267 quick jobs that a workspace sent beyond its rate were accepted, and 29 of them ended in time. The others
// waited for nothing, and the jobs of the other workspaces were served later as well.
#[gtest]
fn an_excess_is_rejected_and_what_is_accepted_keeps_its_value() {
    let rules = [("flood", UNCAPPED, 4.0), ("calm", UNCAPPED, 4.0)];
    let mut cluster = full_cluster(81, &rules);
    let mut load = QuickLoad::default();
    load.run(&mut cluster, &[("calm", 4.0), ("flood", 4.0)], seconds(2));
    load.run(&mut cluster, &[("calm", 4.0), ("flood", 24.0)], seconds(6));
    load.finish(&mut cluster, &[("calm", 4.0)], seconds(3));
    let (accepted, kept) = load.kept(&cluster, "flood");
    let rejected = load.rejected(&cluster, "flood").count();
    expect_that!(rejected, ge(20), "of {} jobs", load.of("flood").count());
    expect_that!(kept * 10, ge(accepted * 9), "{kept} of {accepted} keep value");
    // What it is entitled to is served, with the cores that others leave.
    expect_that!(kept, ge(40));
    let (accepted, kept) = load.kept(&cluster, "calm");
    expect_that!((accepted, kept), eq((load.of("calm").count(), load.of("calm").count())));
    load.check_rejected(&mut cluster);
}

#[gtest]
fn an_excess_of_two_workspaces_leaves_a_third_as_it_was() {
    let rules = [("a", UNCAPPED, 3.0), ("b", UNCAPPED, 3.0), ("calm", UNCAPPED, 4.0)];
    let mut cluster = full_cluster(82, &rules);
    let mut load = QuickLoad::default();
    load.run(&mut cluster, &[("calm", 4.0), ("a", 3.0), ("b", 3.0)], seconds(2));
    // A burst of the long queue in the middle.
    load.run(&mut cluster, &[("calm", 4.0), ("a", 15.0), ("b", 15.0)], seconds(2));
    cluster.submit("later", "burst", vec![step(200, 1, 3_000)]);
    load.run(&mut cluster, &[("calm", 4.0), ("a", 15.0), ("b", 15.0)], seconds(3));
    load.finish(&mut cluster, &[("calm", 4.0)], seconds(3));
    for workspace in ["a", "b"] {
        let (accepted, kept) = load.kept(&cluster, workspace);
        expect_that!(load.rejected(&cluster, workspace).count(), ge(1), "{workspace}");
        expect_that!(kept * 5, ge(accepted * 4), "{workspace}: {kept} of {accepted}");
    }
    let (accepted, kept) = load.kept(&cluster, "calm");
    expect_that!((accepted, kept), eq((load.of("calm").count(), load.of("calm").count())));
    load.check_rejected(&mut cluster);
}

// A forecast from the capacity of before rejects too little while a third of it is cut off, and one from the capacity
// of then too much after it has returned.
#[gtest]
fn rejections_follow_the_capacity_that_is_reached() {
    let rules = [("flood", UNCAPPED, 4.0)];
    let mut cluster = full_cluster(83, &rules);
    let mut load = QuickLoad::default();
    load.run(&mut cluster, &[("flood", 4.0)], seconds(2));
    let cut: Vec<WorkerId> = cluster.workers.keys().take(3).cloned().collect();
    for id in &cut {
        cluster.workers.get_mut(id).unwrap().connected = false;
    }
    load.finish(&mut cluster, &[("flood", 16.0)], seconds(6));
    let (accepted, kept) = load.kept(&cluster, "flood");
    expect_that!(load.rejected(&cluster, "flood").count(), ge(10));
    expect_that!(kept * 4, ge(accepted * 3), "{kept} of {accepted} keep value");
    for worker in cluster.workers.values_mut() {
        worker.connected = true;
    }
    load.run(&mut cluster, &[("flood", 1.0)], seconds(5));
    let rejected = load.rejected(&cluster, "flood").count();
    load.run(&mut cluster, &[("flood", 4.0)], seconds(5));
    expect_that!(load.rejected(&cluster, "flood").count(), eq(rejected));
    load.check_rejected(&mut cluster);
}

// Jobs beyond a rate were nothing but late in an idle cluster, if a forecast of their class knew no rate yet.
#[gtest]
fn nothing_is_rejected_while_capacity_is_free() {
    let mut cluster = SimCluster::new(84, 8);
    cluster.set_workspaces(&[("flood", UNCAPPED, 1.0)]);
    cluster.run(seconds(3));
    let mut load = QuickLoad::default();
    load.run(&mut cluster, &[("flood", 12.0)], seconds(5));
    expect_that!(load.rejected(&cluster, "flood").count(), eq(0));
}

// Deployments without weights are served as before, however late their jobs end.
#[gtest]
fn nothing_is_rejected_where_no_workspace_has_a_weight() {
    let mut cluster = full_cluster(85, &[("flood", UNCAPPED, 0.0)]);
    let mut load = QuickLoad::default();
    load.run(&mut cluster, &[("flood", 24.0)], seconds(6));
    expect_that!(load.rejected(&cluster, "flood").count(), eq(0));
}

// A leader that is lost after it has rejected a job must leave nothing behind from which the next one starts it; and
// the next one knows no rates at first.
#[gtest]
fn a_job_that_was_rejected_by_a_lost_leader_is_not_started_by_the_next() {
    let rules = [("flood", UNCAPPED, 2.0)];
    let mut cluster = full_cluster(86, &rules);
    let mut load = QuickLoad::default();
    load.run(&mut cluster, &[("flood", 48.0)], seconds(4));
    expect_that!(load.rejected(&cluster, "flood").count(), ge(1));
    // The answers to these calls are lost with the leader.
    let unanswered: Vec<(String, u64)> = (0..6)
        .map(|number| {
            let id = format!("flood@lost{number}");
            let call = cluster.submit("now", &id, quick_steps());
            (id, call)
        })
        .collect();
    let epoch = cluster.store.epoch;
    cluster.leaders.remove(&epoch);
    cluster.elect();
    let rejected = load.rejected(&cluster, "flood").count();
    load.run(&mut cluster, &[("flood", 12.0)], Duration::from_millis(1_900));
    expect_that!(load.rejected(&cluster, "flood").count(), eq(rejected));
    load.run(&mut cluster, &[("flood", 1.0)], seconds(5));
    for (id, call) in &unanswered {
        expect_that!(cluster.answers.get(call), none(), "{id}");
        expect_false!(was_assigned(&cluster, id), "{id} was started");
    }
    load.check_rejected(&mut cluster);
}

// A request that was rejected may arrive again, when there is capacity for it.
#[gtest]
fn a_rejected_attempt_stays_rejected() {
    let rules = [("flood", UNCAPPED, 2.0)];
    let mut cluster = full_cluster(87, &rules);
    let mut load = QuickLoad::default();
    load.run(&mut cluster, &[("flood", 48.0)], seconds(4));
    let rejected: Vec<u64> = load.rejected(&cluster, "flood").map(|job| job.call).collect();
    load.run(&mut cluster, &[], seconds(4));
    let attempt = rejected.last().copied().expect("some job is rejected");
    let call =
        cluster.submit_again("now", "flood@again", quick_steps(), Some(attempt), Duration::ZERO);
    cluster.run(seconds(3));
    expect_true!(is_rejected(&cluster, call));
    expect_that!(cluster.state("flood@again"), none());
}

// The caller's first request was delayed on its way, and the answer to the second said that the job never runs.
#[gtest]
fn an_earlier_request_that_arrives_after_a_rejection_is_rejected() {
    let rules = [("flood", UNCAPPED, 2.0)];
    let mut cluster = full_cluster(90, &rules);
    let mut load = QuickLoad::default();
    load.run(&mut cluster, &[("flood", 48.0)], seconds(4));
    let last = load.rejected(&cluster, "flood").last().expect("some job is rejected");
    let id = last.id.clone();
    load.run(&mut cluster, &[], seconds(5));
    let late = cluster.submit_again("now", &id, quick_steps(), None, seconds(8));
    cluster.run(seconds(2));
    expect_true!(is_rejected(&cluster, late));
    expect_false!(was_assigned(&cluster, &id));
    // A request that was received after the rejection is one that the caller has made since.
    let again = cluster.submit_again("now", &id, quick_steps(), None, Duration::ZERO);
    cluster.run(seconds(2));
    expect_that!(cluster.answers.get(&again), some(eq(&GraphAnswer::Accepted)));
}

// Callers give up after three seconds; one second for all made them return together.
#[gtest]
fn retry_delays_are_spread_and_shorter_than_callers_wait() {
    let rules = [("flood", UNCAPPED, 2.0)];
    let mut cluster = full_cluster(88, &rules);
    let mut load = QuickLoad::default();
    load.run(&mut cluster, &[("flood", 48.0)], seconds(6));
    let delay = |job: &LoadJob| match cluster.answers.get(&job.call) {
        Some(GraphAnswer::Overloaded(rejection)) => Some(rejection.retry_delay),
        _ => None,
    };
    let delays: Vec<Duration> = load.jobs.iter().filter_map(delay).collect();
    expect_that!(delays.len(), ge(10));
    // The HTTP layer sends whole seconds.
    let bounds = Duration::from_millis(200)..=seconds(2);
    expect_true!(delays.iter().all(|delay| bounds.contains(delay)), "{delays:?}");
    let distinct: BTreeSet<Duration> = delays.iter().copied().collect();
    expect_that!(distinct.len(), ge(2), "{delays:?}");
}

// A verdict that held longer than the rate excludes another job would have entries reject what the workspace is
// entitled to.
#[gtest]
fn a_rejection_tells_how_long_its_class_is_rejected() {
    let rules = [("flood", UNCAPPED, 2.0)];
    let mut cluster = full_cluster(89, &rules);
    let mut load = QuickLoad::default();
    load.run(&mut cluster, &[("flood", 48.0)], seconds(6));
    let verdict = |job: &LoadJob| match cluster.answers.get(&job.call) {
        Some(GraphAnswer::Overloaded(rejection)) => Some(rejection.verdict.clone()),
        _ => None,
    };
    let verdicts: Vec<_> = load.jobs.iter().filter_map(verdict).collect();
    expect_that!(verdicts.len(), ge(10));
    for verdict in verdicts {
        expect_that!(verdict.workspace.as_deref(), some(eq("flood")));
        expect_that!((verdict.priority, verdict.epoch), eq((0, cluster.store.epoch)));
        let longest = if verdict.exceeds_rate { 500 } else { 1_000 };
        expect_that!(verdict.valid_for, le(Duration::from_millis(longest)));
    }
}
