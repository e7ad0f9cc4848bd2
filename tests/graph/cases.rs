//! Regression tests of single failures, and tests of one kind of fault each.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::{GraphAnswer, GraphState, GraphVerdict, ResourceVector, StepSpec, WorkerId};

use crate::model_worker::ModelWorker;
use crate::sim_cluster::{SimCluster, count_runs, seconds, step};

#[gtest]
fn a_job_runs_step_by_step() {
    let mut cluster = SimCluster::new(1, 4);
    cluster.run(seconds(1));
    let second = StepSpec { after: vec![0], ..step(2, 1, 300) };
    let call = cluster.submit("now", "a", vec![step(3, 1, 300), second]);
    cluster.run(Duration::from_millis(100));
    expect_that!(cluster.answers.get(&call), some(eq(&GraphAnswer::Accepted)));
    expect_that!(count_runs(&cluster, "a"), eq(3));
    cluster.run(Duration::from_millis(350));
    expect_that!(count_runs(&cluster, "a"), eq(2));
    cluster.run(Duration::from_millis(500));
    expect_that!(cluster.state("a"), some(eq(GraphState::Completed)));
    expect_that!(cluster.started_runs, eq(5));
}

#[gtest]
fn a_job_is_not_started_again_after_its_last_attempt_failed() {
    let mut cluster = SimCluster::new(2, 4);
    cluster.run(seconds(1));
    cluster.failing_jobs.insert("a".into());
    cluster.submit("now", "a", vec![step(1, 1, 200)]);
    cluster.run(seconds(5));
    expect_that!(cluster.state("a"), some(eq(GraphState::Failed)));
    expect_that!(cluster.started_runs, eq(4));
}

#[gtest]
fn a_takeover_with_a_lost_worker_still_starts_waiting_jobs() {
    let mut cluster = SimCluster::new(3, 2);
    cluster.run(seconds(1));
    cluster.submit("now", "a", vec![step(1, 8, 30_000)]);
    cluster.submit("now", "b", vec![step(1, 8, 30_000)]);
    cluster.run(seconds(1));
    cluster.submit("now", "c", vec![step(1, 8, 1_000)]);
    cluster.run(seconds(1));
    let first = cluster.workers.keys().next().cloned().unwrap();
    cluster.workers.get_mut(&first).unwrap().up = false;
    let epoch = cluster.store.epoch;
    cluster.leaders.remove(&epoch);
    cluster.elect();
    cluster.run(seconds(75));
    for job in ["a", "b", "c"] {
        expect_that!(cluster.state(job), some(eq(GraphState::Completed)), "{job}");
    }
}

#[gtest]
fn a_successor_keeps_running_tasks() {
    let mut cluster = SimCluster::new(4, 4);
    cluster.run(seconds(1));
    cluster.submit("later", "a", vec![step(6, 2, 4_000)]);
    cluster.run(seconds(1));
    let epoch = cluster.store.epoch;
    cluster.leaders.remove(&epoch);
    cluster.run(seconds(1));
    cluster.elect();
    cluster.run(seconds(3));
    expect_that!(cluster.state("a"), some(eq(GraphState::Completed)));
    expect_that!(cluster.started_runs, eq(6));
}

#[gtest]
fn a_cancelled_job_is_stopped_everywhere() {
    let mut cluster = SimCluster::new(5, 4);
    cluster.run(seconds(1));
    cluster.submit("later", "a", vec![step(8, 2, 60_000)]);
    cluster.run(seconds(1));
    expect_that!(count_runs(&cluster, "a"), eq(8));
    let call = cluster.cancel("a");
    cluster.run(seconds(1));
    expect_that!(cluster.answers.get(&call), some(eq(&GraphAnswer::Cancelled)));
    expect_that!(count_runs(&cluster, "a"), eq(0));
    expect_that!(cluster.state("a"), some(eq(GraphState::Cancelled)));
}

#[gtest]
fn an_urgent_job_runs_before_jobs_that_waited_longer() {
    let mut cluster = SimCluster::new(6, 1);
    cluster.run(seconds(1));
    cluster.submit("later", "a", vec![step(1, 8, 1_000)]);
    cluster.run(Duration::from_millis(100));
    cluster.submit("later", "b", vec![step(1, 8, 1_000)]);
    cluster.submit("now", "c", vec![step(1, 8, 200)]);
    cluster.run(Duration::from_millis(1_400));
    expect_that!(cluster.state("c"), some(eq(GraphState::Completed)));
    expect_that!(cluster.state("b"), not(some(eq(GraphState::Completed))));
}

#[gtest]
fn a_job_submitted_twice_is_one_job() {
    let mut cluster = SimCluster::new(7, 4);
    cluster.run(seconds(1));
    let first = cluster.submit("now", "a", vec![step(2, 1, 500)]);
    let second = cluster.submit("now", "a", vec![step(2, 1, 500)]);
    cluster.run(seconds(2));
    let third = cluster.submit("now", "a", vec![step(2, 1, 500)]);
    cluster.run(seconds(2));
    for call in [first, second, third] {
        expect_that!(cluster.answers.get(&call), some(eq(&GraphAnswer::Accepted)));
    }
    expect_that!(cluster.started_runs, eq(2));
}

#[gtest]
fn a_job_refused_by_the_store_for_long_is_rejected_and_not_started() {
    let mut cluster = SimCluster::new(8, 4);
    cluster.run(seconds(1));
    cluster.store.up = false;
    cluster.store.refuses = true;
    let first = cluster.submit("now", "a", vec![step(2, 1, 500)]);
    cluster.run(Duration::from_millis(100));
    let second = cluster.submit("now", "b", vec![step(2, 1, 500)]);
    cluster.run(seconds(3));
    let third = cluster.submit("now", "c", vec![step(2, 1, 500)]);
    cluster.run(Duration::from_millis(950));
    for call in [first, second, third] {
        expect_that!(cluster.answers.get(&call), some(matches_pattern!(GraphAnswer::Rejected(_))));
    }
    cluster.store.up = true;
    cluster.run(seconds(3));
    expect_that!(cluster.started_runs, eq(0));
    expect_that!(cluster.store.jobs.len(), eq(0));
    let fourth = cluster.submit("now", "a", vec![step(2, 1, 500)]);
    cluster.run(seconds(1));
    expect_that!(cluster.answers.get(&fourth), some(eq(&GraphAnswer::Accepted)));
}

#[gtest]
fn only_jobs_that_were_not_sent_to_a_silent_store_are_rejected() {
    let mut cluster = SimCluster::new(9, 4);
    cluster.run(seconds(1));
    cluster.store.up = false;
    let sent = cluster.submit("now", "a", vec![step(2, 1, 500)]);
    cluster.run(Duration::from_millis(100));
    let waiting = cluster.submit("now", "b", vec![step(2, 1, 500)]);
    cluster.run(seconds(2));
    expect_that!(cluster.answers.get(&sent), none());
    expect_that!(cluster.answers.get(&waiting), some(matches_pattern!(GraphAnswer::Rejected(_))));
    cluster.store.up = true;
    cluster.run(seconds(2));
    expect_that!(cluster.answers.get(&sent), some(eq(&GraphAnswer::Accepted)));
    expect_that!(cluster.store.jobs.len(), eq(1));
}

#[gtest]
fn a_short_refusal_of_the_store_rejects_no_job() {
    let mut cluster = SimCluster::new(10, 4);
    cluster.run(seconds(1));
    cluster.store.up = false;
    cluster.store.refuses = true;
    let call = cluster.submit("now", "a", vec![step(2, 1, 500)]);
    cluster.run(Duration::from_millis(600));
    cluster.store.up = true;
    cluster.run(seconds(1));
    expect_that!(cluster.answers.get(&call), some(eq(&GraphAnswer::Accepted)));
}

#[gtest]
fn a_job_with_unanswered_starts_is_still_queued() {
    let mut cluster = SimCluster::new(11, 2);
    cluster.run(seconds(1));
    for worker in cluster.workers.values_mut() {
        worker.connected = false;
    }
    cluster.submit("later", "a", vec![step(1, 1, 500)]);
    cluster.run(seconds(2));
    expect_that!(cluster.state("a"), some(eq(GraphState::Queued)));
    expect_that!(cluster.leader().unwrap().jobs().pending("later"), eq(1));
    for worker in cluster.workers.values_mut() {
        worker.connected = true;
    }
    cluster.run(seconds(10));
    expect_that!(cluster.state("a"), some(eq(GraphState::Completed)));
}

#[gtest]
fn a_takeover_is_faster_when_the_predecessor_has_ended() {
    let mut cluster = SimCluster::new(12, 2);
    cluster.run(seconds(1));
    cluster.submit("now", "a", vec![step(2, 8, 60_000)]);
    cluster.run(seconds(1));
    cluster.submit("now", "b", vec![step(1, 1, 500)]);
    cluster.run(seconds(1));
    for worker in cluster.workers.values_mut().take(1) {
        worker.up = false;
    }
    let epoch = cluster.store.epoch;
    cluster.leaders.remove(&epoch);
    cluster.add_worker(6, 0);
    cluster.add_worker(7, 0);
    cluster.elect();
    let now = cluster.now;
    cluster.leader().unwrap().note_predecessor_ended(now);
    cluster.run(Duration::from_millis(4_500));
    expect_that!(cluster.state("b"), not(some(eq(GraphState::Completed))));
    cluster.run(seconds(2));
    expect_that!(cluster.state("b"), some(eq(GraphState::Completed)));
}

#[gtest]
fn a_caller_with_a_short_timeout_is_refused_within_it() {
    let mut cluster = SimCluster::new(13, 4);
    cluster.run(seconds(1));
    cluster.store.up = false;
    cluster.store.refuses = true;
    cluster.caller_timeout = Duration::from_millis(200);
    let call = cluster.submit("now", "a", vec![step(2, 1, 500)]);
    cluster.run(Duration::from_millis(180));
    expect_that!(cluster.answers.get(&call), some(matches_pattern!(GraphAnswer::Rejected(_))));
}

// The job used to be reported as completed as soon as the workers had reported all ends, though the
// store could not take them. If the worker and the leader are lost in the same outage, so is the
// only record, and the job runs again.
#[gtest]
fn a_job_that_ends_in_a_store_outage_is_completed_after_it() {
    let mut cluster = SimCluster::new(14, 4);
    cluster.run(seconds(1));
    cluster.submit("now", "a", vec![step(2, 1, 500)]);
    cluster.run(Duration::from_millis(300));
    cluster.store.up = false;
    cluster.run(seconds(1));
    expect_that!(cluster.state("a"), some(eq(GraphState::Running)));
    // A leader that takes over in the outage receives the ends from the workers.
    let epoch = cluster.store.epoch;
    cluster.leaders.remove(&epoch);
    cluster.elect();
    cluster.run(seconds(1));
    expect_that!(cluster.state("a"), some(eq(GraphState::Running)));
    cluster.store.up = true;
    cluster.run(Duration::from_millis(300));
    expect_that!(cluster.state("a"), some(eq(GraphState::Completed)));
    expect_that!(cluster.store.jobs["a"].1.verdict, some(eq(GraphVerdict::Completed)));
    expect_that!(cluster.started_runs, eq(2));
}

#[gtest]
fn an_end_at_a_leaving_worker_is_not_reported_before_it_is_stored() {
    let mut cluster = SimCluster::new(14, 1);
    cluster.run(seconds(1));
    cluster.submit("now", "a", vec![step(1, 1, 500)]);
    cluster.run(Duration::from_millis(300));
    let now = cluster.now;
    let mut registration = cluster.workers.values().next().unwrap().registration.clone();
    registration.leaving = Some(seconds(2));
    cluster.leader().unwrap().worker_registered(now, registration);
    cluster.store.up = false;
    cluster.run(seconds(1));
    expect_that!(cluster.state("a"), some(eq(GraphState::Running)));
    cluster.store.up = true;
    cluster.run(seconds(1));
    expect_that!(cluster.state("a"), some(eq(GraphState::Completed)));
}

#[gtest]
fn runs_of_a_silent_worker_are_started_elsewhere_after_its_lease() {
    let mut cluster = SimCluster::new(15, 3);
    cluster.run(seconds(1));
    cluster.submit("later", "a", vec![step(3, 8, 3_000)]);
    cluster.run(seconds(1));
    expect_that!(count_runs(&cluster, "a"), eq(3));
    cluster.workers.values_mut().take(1).for_each(|worker| worker.up = false);
    cluster.run(seconds(6));
    let live = cluster.workers.values().filter(|worker| worker.up);
    expect_that!(live.map(|worker| worker.runs.len()).sum::<usize>(), eq(1));
    cluster.run(seconds(3));
    expect_that!(cluster.state("a"), some(eq(GraphState::Completed)));
}

#[gtest]
fn an_end_is_received_within_a_second_of_a_lost_poll() {
    let mut cluster = SimCluster::new(16, 1);
    cluster.run(seconds(1));
    cluster.submit(
        "now",
        "a",
        vec![step(1, 1, 100), StepSpec { after: vec![0], ..step(1, 1, 400) }],
    );
    // The poll that follows the end of the first step is lost.
    cluster.run(Duration::from_millis(60));
    cluster.polls_to_lose = 1;
    cluster.run(Duration::from_millis(1_500));
    expect_that!(cluster.polls_to_lose, eq(0));
    expect_that!(cluster.state("a"), some(eq(GraphState::Completed)));
}

#[gtest]
fn a_worker_that_left_a_poll_unanswered_is_given_no_start() {
    let mut cluster = SimCluster::new(17, 2);
    cluster.run(seconds(1));
    // Both have a run, so that they are polled often, and the first has less free capacity.
    cluster.submit("later", "a", vec![step(1, 3, 60_000), step(1, 2, 60_000)]);
    cluster.run(Duration::from_millis(500));
    for worker in cluster.workers.values_mut().take(1) {
        worker.connected = false;
    }
    cluster.run(Duration::from_millis(1_000));
    cluster.submit("now", "b", vec![step(4, 1, 300)]);
    cluster.run(Duration::from_millis(700));
    expect_that!(cluster.state("b"), some(eq(GraphState::Completed)));
}

/// Failure domains in which a job has runs.
fn domains_with_runs(cluster: &SimCluster, job: &str) -> Vec<String> {
    let runs = |worker: &&ModelWorker| worker.runs.keys().any(|task| &*task.job == job);
    let used = cluster.workers.values().filter(runs);
    let mut domains: Vec<String> =
        used.map(|worker| worker.registration.domain.to_string()).collect();
    domains.sort();
    domains.dedup();
    domains
}

#[gtest]
fn an_urgent_job_runs_in_one_failure_domain_and_others_in_all() {
    let mut cluster = SimCluster::with_domains(18, 6, 3);
    cluster.run(seconds(1));
    cluster.submit("now", "a", vec![step(12, 1, 900)]);
    cluster.submit("later", "b", vec![step(12, 2, 30_000)]);
    cluster.run(Duration::from_millis(200));
    expect_that!(domains_with_runs(&cluster, "a").len(), eq(1));
    expect_that!(domains_with_runs(&cluster, "b").len(), gt(1));
}

#[gtest]
fn an_urgent_job_uses_another_failure_domain_when_its_own_is_full() {
    let mut cluster = SimCluster::with_domains(19, 6, 3);
    cluster.run(seconds(1));
    cluster.submit("now", "a", vec![step(40, 1, 900)]);
    cluster.run(Duration::from_millis(200));
    expect_that!(count_runs(&cluster, "a"), eq(40));
    expect_that!(cluster.store.jobs["a"].1.domains.len(), eq(2));
}

#[gtest]
fn a_takeover_continues_jobs_of_other_domains_while_one_is_disconnected() {
    let mut cluster = SimCluster::with_domains(20, 6, 3);
    cluster.run(seconds(1));
    let second = StepSpec { after: vec![0], ..step(6, 1, 500) };
    for job in ["a", "b", "c", "d"] {
        cluster.submit("now", job, vec![step(6, 1, 1_000), second.clone()]);
        cluster.run(Duration::from_millis(100));
    }
    let cut_domains = domains_with_runs(&cluster, "a");
    for worker in
        cluster.workers.values_mut().filter(|worker| cut_domains[0] == *worker.registration.domain)
    {
        worker.connected = false;
    }
    let elsewhere: Vec<&str> = ["b", "c", "d"]
        .into_iter()
        .filter(|job| {
            domains_with_runs(&cluster, job).iter().all(|domain| *domain != cut_domains[0])
        })
        .collect();
    expect_that!(elsewhere.len(), gt(0));
    let epoch = cluster.store.epoch;
    cluster.leaders.remove(&epoch);
    cluster.elect();
    cluster.run(Duration::from_millis(2_500));
    for job in elsewhere {
        expect_that!(cluster.state(job), some(eq(GraphState::Completed)), "{job}");
    }
    expect_that!(cluster.state("a"), not(some(eq(GraphState::Completed))));
    for worker in cluster.workers.values_mut() {
        worker.connected = true;
    }
    cluster.run(seconds(3));
    expect_that!(cluster.state("a"), some(eq(GraphState::Completed)));
}

/// Submits 40 jobs of one task, `pause` apart, and lets them end; returns how many of them `worker`
/// was assigned.
fn count_assigned(cluster: &mut SimCluster, worker: &str, pause: Duration) -> usize {
    let mut assigned = 0;
    for number in 0..40 {
        cluster.submit("now", &format!("job{number}"), vec![step(1, 1, 600)]);
        cluster.run(pause);
        let assigned_now = cluster.workers[worker].was_assigned(&format!("job{number}"));
        assigned += usize::from(assigned_now);
    }
    cluster.run(seconds(15));
    assigned
}

#[gtest]
fn a_worker_that_fails_its_runs_is_given_few_tasks() {
    let mut cluster = SimCluster::new(21, 4);
    cluster.run(seconds(1));
    cluster.workers.get_mut(&WorkerId::from("w0-0")).unwrap().fails_runs = true;
    expect_that!(count_assigned(&mut cluster, "w0-0", Duration::from_millis(100)), lt(8));
    for number in 0..40 {
        expect_that!(cluster.state(&format!("job{number}")), some(eq(GraphState::Completed)));
    }
}

#[gtest]
fn a_worker_whose_runs_make_no_progress_is_given_few_tasks() {
    let mut cluster = SimCluster::new(22, 4);
    cluster.run(seconds(1));
    cluster.workers.get_mut(&WorkerId::from("w0-0")).unwrap().slowdown = 1_000;
    expect_that!(count_assigned(&mut cluster, "w0-0", Duration::from_millis(250)), lt(8));
}

#[gtest]
fn jobs_that_fail_everywhere_exclude_no_worker() {
    let mut cluster = SimCluster::new(23, 4);
    cluster.run(seconds(1));
    for number in 0..8 {
        let job = format!("poison{number}");
        cluster.failing_jobs.insert(job.as_str().into());
        cluster.submit("now", &job, vec![step(4, 1, 100)]);
    }
    cluster.run(seconds(1));
    cluster.submit("now", "a", vec![step(8, 1, 300)]);
    cluster.run(Duration::from_millis(500));
    expect_that!(cluster.state("a"), some(eq(GraphState::Completed)));
}

// The home domain of an urgent job was chosen by free capacity alone. Where a worker may hold one
// task of the step, or must have a label, the domain with the most capacity may have too few
// workers for it, and the job had to use a second domain.
#[gtest]
fn the_home_of_an_urgent_job_has_workers_for_its_widest_step() {
    let one_per_worker = StepSpec { max_per_worker: Some(1), ..step(3, 1, 900) };
    let labelled = StepSpec { label: Some("special".into()), ..step(3, 1, 900) };
    for widest in [one_per_worker, labelled] {
        let mut cluster = SimCluster::with_domains(24, 6, 2);
        // Two large workers in one domain, three small ones with the label in the other.
        cluster.workers.remove("w0-0");
        let small =
            cluster.workers.values_mut().filter(|worker| &*worker.registration.domain == "d1");
        for worker in small {
            worker.registration.capacity = ResourceVector::new(4_000, 16_000, 0);
            worker.registration.labels.push("special".into());
        }
        cluster.elect();
        cluster.run(seconds(1));
        cluster.submit("now", "a", vec![widest]);
        cluster.run(Duration::from_millis(200));
        expect_that!(domains_with_runs(&cluster, "a"), elements_are![eq("d1")]);
        expect_that!(cluster.store.jobs["a"].0.home.as_deref(), some(eq("d1")));
    }
}
