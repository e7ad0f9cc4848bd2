//! Single cases, each of which failed once or answers one kind of trouble.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::{GraphAnswer, GraphState, GraphVerdict, ResourceVector, StepSpec, WorkerId};

use crate::model::ModelWorker;
use crate::world::{World, runs_of, seconds, step};

#[gtest]
fn a_job_runs_step_by_step() {
    let mut world = World::new(1, 4);
    world.run(seconds(1));
    let second = StepSpec { after: vec![0], ..step(2, 1, 300) };
    let call = world.submit("now", "a", vec![step(3, 1, 300), second]);
    world.run(Duration::from_millis(100));
    expect_that!(world.answers.get(&call), some(eq(&GraphAnswer::Accepted)));
    expect_that!(runs_of(&world, "a"), eq(3));
    world.run(Duration::from_millis(350));
    expect_that!(runs_of(&world, "a"), eq(2));
    world.run(Duration::from_millis(500));
    expect_that!(world.state("a"), some(eq(GraphState::Completed)));
    expect_that!(world.begun_runs, eq(5));
}

#[gtest]
fn a_job_that_failed_for_good_is_not_started_again() {
    let mut world = World::new(2, 4);
    world.run(seconds(1));
    world.poison.insert("a".into());
    world.submit("now", "a", vec![step(1, 1, 200)]);
    world.run(seconds(5));
    expect_that!(world.state("a"), some(eq(GraphState::Failed)));
    expect_that!(world.begun_runs, eq(4));
}

#[gtest]
fn a_takeover_with_a_worker_that_is_gone_still_starts_what_waits() {
    let mut world = World::new(3, 2);
    world.run(seconds(1));
    world.submit("now", "a", vec![step(1, 8, 30_000)]);
    world.submit("now", "b", vec![step(1, 8, 30_000)]);
    world.run(seconds(1));
    world.submit("now", "c", vec![step(1, 8, 1_000)]);
    world.run(seconds(1));
    let first = world.workers.keys().next().cloned().unwrap();
    world.workers.get_mut(&first).unwrap().up = false;
    let epoch = world.store.epoch;
    world.leaders.remove(&epoch);
    world.elect();
    world.run(seconds(75));
    for job in ["a", "b", "c"] {
        expect_that!(world.state(job), some(eq(GraphState::Completed)), "{job}");
    }
}

#[gtest]
fn a_successor_lets_go_on_what_runs() {
    let mut world = World::new(4, 4);
    world.run(seconds(1));
    world.submit("later", "a", vec![step(6, 2, 4_000)]);
    world.run(seconds(1));
    let epoch = world.store.epoch;
    world.leaders.remove(&epoch);
    world.run(seconds(1));
    world.elect();
    world.run(seconds(3));
    expect_that!(world.state("a"), some(eq(GraphState::Completed)));
    expect_that!(world.begun_runs, eq(6));
}

#[gtest]
fn a_cancelled_job_is_stopped_everywhere() {
    let mut world = World::new(5, 4);
    world.run(seconds(1));
    world.submit("later", "a", vec![step(8, 2, 60_000)]);
    world.run(seconds(1));
    expect_that!(runs_of(&world, "a"), eq(8));
    let call = world.cancel("a");
    world.run(seconds(1));
    expect_that!(world.answers.get(&call), some(eq(&GraphAnswer::Cancelled)));
    expect_that!(runs_of(&world, "a"), eq(0));
    expect_that!(world.state("a"), some(eq(GraphState::Cancelled)));
}

#[gtest]
fn urgent_work_comes_before_work_that_waited_longer() {
    let mut world = World::new(6, 1);
    world.run(seconds(1));
    world.submit("later", "a", vec![step(1, 8, 1_000)]);
    world.run(Duration::from_millis(100));
    world.submit("later", "b", vec![step(1, 8, 1_000)]);
    world.submit("now", "c", vec![step(1, 8, 200)]);
    world.run(Duration::from_millis(1_400));
    expect_that!(world.state("c"), some(eq(GraphState::Completed)));
    expect_that!(world.state("b"), not(some(eq(GraphState::Completed))));
}

#[gtest]
fn a_job_submitted_twice_is_one_job() {
    let mut world = World::new(7, 4);
    world.run(seconds(1));
    let first = world.submit("now", "a", vec![step(2, 1, 500)]);
    let second = world.submit("now", "a", vec![step(2, 1, 500)]);
    world.run(seconds(2));
    let third = world.submit("now", "a", vec![step(2, 1, 500)]);
    world.run(seconds(2));
    for call in [first, second, third] {
        expect_that!(world.answers.get(&call), some(eq(&GraphAnswer::Accepted)));
    }
    expect_that!(world.begun_runs, eq(2));
}

#[gtest]
fn a_store_that_refuses_for_long_has_new_jobs_rejected_for_good() {
    let mut world = World::new(8, 4);
    world.run(seconds(1));
    world.store.up = false;
    world.store.refuses = true;
    let first = world.submit("now", "a", vec![step(2, 1, 500)]);
    world.run(Duration::from_millis(100));
    let second = world.submit("now", "b", vec![step(2, 1, 500)]);
    world.run(seconds(3));
    let third = world.submit("now", "c", vec![step(2, 1, 500)]);
    world.run(Duration::from_millis(950));
    for call in [first, second, third] {
        expect_that!(world.answers.get(&call), some(matches_pattern!(GraphAnswer::Rejected(_))));
    }
    world.store.up = true;
    world.run(seconds(3));
    expect_that!(world.begun_runs, eq(0));
    expect_that!(world.store.jobs.len(), eq(0));
    let fourth = world.submit("now", "a", vec![step(2, 1, 500)]);
    world.run(seconds(1));
    expect_that!(world.answers.get(&fourth), some(eq(&GraphAnswer::Accepted)));
}

#[gtest]
fn a_silent_store_has_only_those_rejected_that_it_surely_has_not() {
    let mut world = World::new(9, 4);
    world.run(seconds(1));
    world.store.up = false;
    let sent = world.submit("now", "a", vec![step(2, 1, 500)]);
    world.run(Duration::from_millis(100));
    let waiting = world.submit("now", "b", vec![step(2, 1, 500)]);
    world.run(seconds(2));
    expect_that!(world.answers.get(&sent), none());
    expect_that!(world.answers.get(&waiting), some(matches_pattern!(GraphAnswer::Rejected(_))));
    world.store.up = true;
    world.run(seconds(2));
    expect_that!(world.answers.get(&sent), some(eq(&GraphAnswer::Accepted)));
    expect_that!(world.store.jobs.len(), eq(1));
}

#[gtest]
fn a_store_that_refuses_for_a_moment_costs_no_job() {
    let mut world = World::new(10, 4);
    world.run(seconds(1));
    world.store.up = false;
    world.store.refuses = true;
    let call = world.submit("now", "a", vec![step(2, 1, 500)]);
    world.run(Duration::from_millis(600));
    world.store.up = true;
    world.run(seconds(1));
    expect_that!(world.answers.get(&call), some(eq(&GraphAnswer::Accepted)));
}

#[gtest]
fn a_job_whose_starts_are_not_answered_still_waits() {
    let mut world = World::new(11, 2);
    world.run(seconds(1));
    for worker in world.workers.values_mut() {
        worker.reached = false;
    }
    world.submit("later", "a", vec![step(1, 1, 500)]);
    world.run(seconds(2));
    expect_that!(world.state("a"), some(eq(GraphState::Queued)));
    expect_that!(world.leader().unwrap().jobs().pending("later"), eq(1));
    for worker in world.workers.values_mut() {
        worker.reached = true;
    }
    world.run(seconds(10));
    expect_that!(world.state("a"), some(eq(GraphState::Completed)));
}

#[gtest]
fn a_takeover_settles_sooner_when_the_leader_before_has_ended() {
    let mut world = World::new(12, 2);
    world.run(seconds(1));
    world.submit("now", "a", vec![step(2, 8, 60_000)]);
    world.run(seconds(1));
    world.submit("now", "b", vec![step(1, 1, 500)]);
    world.run(seconds(1));
    for worker in world.workers.values_mut().take(1) {
        worker.up = false;
    }
    let epoch = world.store.epoch;
    world.leaders.remove(&epoch);
    world.add_worker(6, 0);
    world.add_worker(7, 0);
    world.elect();
    let now = world.now;
    world.leader().unwrap().note_predecessor_ended(now);
    world.run(Duration::from_millis(4_500));
    expect_that!(world.state("b"), not(some(eq(GraphState::Completed))));
    world.run(seconds(2));
    expect_that!(world.state("b"), some(eq(GraphState::Completed)));
}

#[gtest]
fn a_caller_with_little_time_left_is_refused_within_it() {
    let mut world = World::new(13, 4);
    world.run(seconds(1));
    world.store.up = false;
    world.store.refuses = true;
    world.caller_timeout = Duration::from_millis(200);
    let call = world.submit("now", "a", vec![step(2, 1, 500)]);
    world.run(Duration::from_millis(180));
    expect_that!(world.answers.get(&call), some(matches_pattern!(GraphAnswer::Rejected(_))));
}

// Success was shown here as soon as the workers had listed all ends, though the store could not take them. A
// worker and the leader that are lost in the same outage take the only record with them, and the job runs again.
#[gtest]
fn a_job_that_ends_while_the_store_is_away_is_shown_as_completed_when_it_is_back() {
    let mut world = World::new(14, 4);
    world.run(seconds(1));
    world.submit("now", "a", vec![step(2, 1, 500)]);
    world.run(Duration::from_millis(300));
    world.store.up = false;
    world.run(seconds(1));
    expect_that!(world.state("a"), some(eq(GraphState::Running)));
    // Another leader that takes over in the outage learns the ends from the workers.
    let epoch = world.store.epoch;
    world.leaders.remove(&epoch);
    world.elect();
    world.run(seconds(1));
    expect_that!(world.state("a"), some(eq(GraphState::Running)));
    world.store.up = true;
    world.run(Duration::from_millis(300));
    expect_that!(world.state("a"), some(eq(GraphState::Completed)));
    expect_that!(world.store.jobs["a"].1.verdict, some(eq(GraphVerdict::Completed)));
    expect_that!(world.begun_runs, eq(2));
}

#[gtest]
fn an_end_that_its_worker_may_take_away_is_not_shown_before_it_is_stored() {
    let mut world = World::new(14, 1);
    world.run(seconds(1));
    world.submit("now", "a", vec![step(1, 1, 500)]);
    world.run(Duration::from_millis(300));
    let now = world.now;
    let mut registration = world.workers.values().next().unwrap().registration.clone();
    registration.leaving = Some(seconds(2));
    world.leader().unwrap().worker_registered(now, registration);
    world.store.up = false;
    world.run(seconds(1));
    expect_that!(world.state("a"), some(eq(GraphState::Running)));
    world.store.up = true;
    world.run(seconds(1));
    expect_that!(world.state("a"), some(eq(GraphState::Completed)));
}

#[gtest]
fn work_of_a_worker_that_has_gone_silent_goes_on_elsewhere_after_its_lease() {
    let mut world = World::new(15, 3);
    world.run(seconds(1));
    world.submit("later", "a", vec![step(3, 8, 3_000)]);
    world.run(seconds(1));
    expect_that!(runs_of(&world, "a"), eq(3));
    world.workers.values_mut().take(1).for_each(|worker| worker.up = false);
    world.run(seconds(6));
    let live = world.workers.values().filter(|worker| worker.up);
    expect_that!(live.map(|worker| worker.runs.len()).sum::<usize>(), eq(1));
    world.run(seconds(3));
    expect_that!(world.state("a"), some(eq(GraphState::Completed)));
}

#[gtest]
fn an_end_is_seen_within_a_second_of_a_lost_poll() {
    let mut world = World::new(16, 1);
    world.run(seconds(1));
    world.submit("now", "a", vec![step(1, 1, 100), StepSpec { after: vec![0], ..step(1, 1, 400) }]);
    // The poll that follows the end of the first step is lost.
    world.run(Duration::from_millis(60));
    world.lost_polls = 1;
    world.run(Duration::from_millis(1_500));
    expect_that!(world.lost_polls, eq(0));
    expect_that!(world.state("a"), some(eq(GraphState::Completed)));
}

#[gtest]
fn a_worker_that_left_a_poll_unanswered_is_given_no_start() {
    let mut world = World::new(17, 2);
    world.run(seconds(1));
    // Both have a run, so that they are looked at often, and the first has less room.
    world.submit("later", "a", vec![step(1, 3, 60_000), step(1, 2, 60_000)]);
    world.run(Duration::from_millis(500));
    for worker in world.workers.values_mut().take(1) {
        worker.reached = false;
    }
    world.run(Duration::from_millis(1_000));
    world.submit("now", "b", vec![step(4, 1, 300)]);
    world.run(Duration::from_millis(700));
    expect_that!(world.state("b"), some(eq(GraphState::Completed)));
}

/// Failure domains in which a job has runs.
fn domains_of(world: &World, job: &str) -> Vec<String> {
    let runs = |worker: &&ModelWorker| worker.runs.keys().any(|task| &*task.job == job);
    let used = world.workers.values().filter(runs);
    let mut domains: Vec<String> =
        used.map(|worker| worker.registration.domain.to_string()).collect();
    domains.sort();
    domains.dedup();
    domains
}

#[gtest]
fn an_urgent_job_runs_in_one_failure_domain_and_others_in_all() {
    let mut world = World::spread(18, 6, 3);
    world.run(seconds(1));
    world.submit("now", "a", vec![step(12, 1, 900)]);
    world.submit("later", "b", vec![step(12, 2, 30_000)]);
    world.run(Duration::from_millis(200));
    expect_that!(domains_of(&world, "a").len(), eq(1));
    expect_that!(domains_of(&world, "b").len(), gt(1));
}

#[gtest]
fn an_urgent_job_uses_another_failure_domain_where_its_own_has_no_room() {
    let mut world = World::spread(19, 6, 3);
    world.run(seconds(1));
    world.submit("now", "a", vec![step(40, 1, 900)]);
    world.run(Duration::from_millis(200));
    expect_that!(runs_of(&world, "a"), eq(40));
    expect_that!(world.store.jobs["a"].1.domains.len(), eq(2));
}

#[gtest]
fn a_takeover_lets_jobs_of_other_domains_go_on_while_one_is_cut_off() {
    let mut world = World::spread(20, 6, 3);
    world.run(seconds(1));
    let second = StepSpec { after: vec![0], ..step(6, 1, 500) };
    for job in ["a", "b", "c", "d"] {
        world.submit("now", job, vec![step(6, 1, 1_000), second.clone()]);
        world.run(Duration::from_millis(100));
    }
    let cut = domains_of(&world, "a");
    for worker in world.workers.values_mut().filter(|worker| cut[0] == *worker.registration.domain)
    {
        worker.reached = false;
    }
    let elsewhere: Vec<&str> = ["b", "c", "d"]
        .into_iter()
        .filter(|job| domains_of(&world, job).iter().all(|domain| *domain != cut[0]))
        .collect();
    expect_that!(elsewhere.len(), gt(0));
    let epoch = world.store.epoch;
    world.leaders.remove(&epoch);
    world.elect();
    world.run(Duration::from_millis(2_500));
    for job in elsewhere {
        expect_that!(world.state(job), some(eq(GraphState::Completed)), "{job}");
    }
    expect_that!(world.state("a"), not(some(eq(GraphState::Completed))));
    for worker in world.workers.values_mut() {
        worker.reached = true;
    }
    world.run(seconds(3));
    expect_that!(world.state("a"), some(eq(GraphState::Completed)));
}

/// Submits 40 jobs of one task, `pause` apart, and lets them end; gives the number that `worker` was given.
fn given_to(world: &mut World, worker: &str, pause: Duration) -> usize {
    let mut given = 0;
    for number in 0..40 {
        world.submit("now", &format!("job{number}"), vec![step(1, 1, 600)]);
        world.run(pause);
        let given_now = world.workers[worker].was_given(&format!("job{number}"));
        given += usize::from(given_now);
    }
    world.run(seconds(15));
    given
}

#[gtest]
fn a_worker_that_fails_what_it_starts_is_given_little() {
    let mut world = World::new(21, 4);
    world.run(seconds(1));
    world.workers.get_mut(&WorkerId::from("w0-0")).unwrap().spoils = true;
    expect_that!(given_to(&mut world, "w0-0", Duration::from_millis(100)), lt(8));
    for number in 0..40 {
        expect_that!(world.state(&format!("job{number}")), some(eq(GraphState::Completed)));
    }
}

#[gtest]
fn a_worker_whose_work_stands_still_is_given_little() {
    let mut world = World::new(22, 4);
    world.run(seconds(1));
    world.workers.get_mut(&WorkerId::from("w0-0")).unwrap().slowness = 1_000;
    expect_that!(given_to(&mut world, "w0-0", Duration::from_millis(250)), lt(8));
}

#[gtest]
fn a_job_that_fails_everywhere_casts_no_worker_out() {
    let mut world = World::new(23, 4);
    world.run(seconds(1));
    for number in 0..8 {
        let poison = format!("poison{number}");
        world.poison.insert(poison.as_str().into());
        world.submit("now", &poison, vec![step(4, 1, 100)]);
    }
    world.run(seconds(1));
    world.submit("now", "a", vec![step(8, 1, 300)]);
    world.run(Duration::from_millis(500));
    expect_that!(world.state("a"), some(eq(GraphState::Completed)));
}

// The home of an urgent job was chosen by room alone. Where a worker may hold one task of the step, or must have
// a label, the domain with most room may have too few workers for it, and the job had to use a second domain.
#[gtest]
fn the_home_of_an_urgent_job_has_workers_for_its_widest_step() {
    let one_a_worker = StepSpec { max_per_worker: Some(1), ..step(3, 1, 900) };
    let labelled = StepSpec { label: Some("special".into()), ..step(3, 1, 900) };
    for widest in [one_a_worker, labelled] {
        let mut world = World::spread(24, 6, 2);
        // Two large workers in one domain, three small ones with the label in the other.
        world.workers.remove("w0-0");
        let small =
            world.workers.values_mut().filter(|worker| &*worker.registration.domain == "d1");
        for worker in small {
            worker.registration.capacity = ResourceVector::new(4_000, 16_000, 0);
            worker.registration.labels.push("special".into());
        }
        world.elect();
        world.run(seconds(1));
        world.submit("now", "a", vec![widest]);
        world.run(Duration::from_millis(200));
        expect_that!(domains_of(&world, "a"), elements_are![eq("d1")]);
        expect_that!(world.store.jobs["a"].0.home.as_deref(), some(eq("d1")));
    }
}
