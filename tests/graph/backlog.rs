//! Jobs that wait while the workers are full: what they cost the leader's passes.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::{GraphState, StepSpec};

use crate::sim_cluster::{SimCluster, count_runs, seconds, step};

/// A cluster whose workers are full, with a backlog of jobs of two steps.
fn overloaded(seed: u64, queue: &str, jobs: usize) -> SimCluster {
    let mut cluster = SimCluster::new(seed, 4);
    cluster.run(seconds(1));
    let full = StepSpec { lasting: true, ..step(4, 8, 600_000) };
    cluster.submit("now", "full", vec![full]);
    cluster.run(seconds(1));
    for number in 0..jobs {
        let second = StepSpec { after: vec![0], ..step(4, 1, 300) };
        cluster.submit(queue, &format!("job{number}"), vec![step(4, 1, 300), second]);
        if number % 25 == 24 {
            cluster.run(Duration::from_millis(50));
        }
    }
    cluster.run(Duration::from_millis(500));
    cluster
}

/// Number of steps that the leader looks at within `time`.
fn steps_examined(cluster: &mut SimCluster, time: Duration) -> u64 {
    let before = cluster.leader().unwrap().steps_examined();
    cluster.run(time);
    cluster.leader().unwrap().steps_examined() - before
}

// Each pass looked at every waiting step: with 250 jobs that could not start the leader of 350 workers used three
// quarters of its processor, and all runs ended later for it.
#[gtest]
fn a_pass_looks_at_no_step_while_the_workers_are_full() {
    for jobs in [50, 400] {
        let mut cluster = overloaded(81, "now", jobs);
        expect_that!(cluster.state("job0"), some(eq(GraphState::Queued)));
        expect_that!(steps_examined(&mut cluster, seconds(2)), eq(0), "{jobs} jobs");
    }
}

// A little free capacity must not make each pass look at all that is too large for it.
#[gtest]
fn a_pass_looks_at_no_step_that_is_larger_than_all_free_capacity() {
    for jobs in [50, 400] {
        let mut cluster = overloaded(82, "now", 0);
        cluster.cancel("full");
        cluster.run(seconds(3));
        cluster.submit("now", "most", vec![StepSpec { lasting: true, ..step(4, 7, 600_000) }]);
        cluster.run(seconds(1));
        for number in 0..jobs {
            cluster.submit("now", &format!("job{number}"), vec![step(4, 2, 300)]);
        }
        cluster.run(seconds(1));
        expect_that!(count_runs(&cluster, "most"), eq(4));
        expect_that!(steps_examined(&mut cluster, seconds(2)), eq(0), "{jobs} jobs");
    }
}

// A customer with a large backlog is at its cap while workers are free for others.
#[gtest]
fn a_pass_leaves_out_the_backlog_of_a_workspace_at_its_cap() {
    let mut examined = Vec::new();
    for jobs in [50, 400] {
        let mut cluster = SimCluster::new(83, 8);
        cluster.set_caps(&[("flood", 8)]);
        cluster.run(seconds(1));
        for number in 0..jobs {
            cluster.submit("now", &format!("flood@{number}"), vec![step(8, 1, 60_000)]);
        }
        cluster.run(seconds(1));
        examined.push(steps_examined(&mut cluster, seconds(2)));
        cluster.submit("now", "calm", vec![step(8, 1, 300)]);
        cluster.run(seconds(1));
        expect_that!(cluster.state("calm"), some(eq(GraphState::Completed)));
    }
    // One step for each of the passes, of which two start within 50 ms at most.
    expect_that!(examined[1], le(80));
    expect_that!(examined[0], eq(examined[1]));
}

// Jobs that are too late to have any value wait for capacity, however long, and run once there is some.
#[gtest]
fn jobs_without_value_run_once_there_is_capacity() {
    for queue in ["now", "watched"] {
        let mut cluster = overloaded(84, queue, 100);
        cluster.run(seconds(20));
        expect_that!(steps_examined(&mut cluster, seconds(2)), eq(0), "{queue}");
        expect_that!(cluster.state("job7"), some(eq(GraphState::Queued)));
        cluster.cancel("full");
        cluster.run(seconds(60));
        for number in 0..100 {
            let state = cluster.state(&format!("job{number}"));
            expect_that!(state, some(eq(GraphState::Completed)), "{queue} job{number}");
        }
    }
}
