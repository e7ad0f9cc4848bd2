//! Caps of workspaces: what their tasks use at the same time over all workers.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::{GraphAnswer, GraphState, ShardId, StepSpec, WorkerId};

use crate::sim_cluster::{SimCluster, seconds, step};

/// Run time of a short task, in milliseconds.
const TASK_TIME: u64 = 400;

fn cores_in_use(cluster: &SimCluster, workspace: &str) -> u32 {
    cluster.workspace_usage(workspace).millicores / 1_000
}

// A customer that submits several times its usual filled all workers, and the jobs of all others
// waited behind its backlog until half a minute after it had stopped.
#[gtest]
fn the_excess_of_one_workspace_leaves_room_for_the_others() {
    let mut cluster = SimCluster::new(71, 8);
    cluster.set_caps(&[("flood", 24), ("calm", 24)]);
    cluster.run(seconds(1));
    for number in 0..40 {
        cluster.submit("now", &format!("flood@{number}"), vec![step(8, 1, 3_000)]);
    }
    let mut most_in_use = 0;
    for number in 0..20 {
        cluster.submit("now", &format!("calm@{number}"), vec![step(6, 1, TASK_TIME)]);
        cluster.run(Duration::from_millis(200));
        most_in_use = most_in_use.max(cores_in_use(&cluster, "flood"));
    }
    cluster.run(seconds(1));
    for number in 0..20 {
        let state = cluster.state(&format!("calm@{number}"));
        expect_that!(state, some(eq(GraphState::Completed)), "calm@{number}");
    }
    expect_that!(most_in_use, eq(24));
}

#[gtest]
fn a_lowered_cap_starts_nothing_until_enough_has_ended() {
    let mut cluster = SimCluster::new(72, 8);
    cluster.set_caps(&[("a", 30)]);
    cluster.run(seconds(1));
    for number in 0..10 {
        cluster.submit("now", &format!("a@{number}"), vec![step(10, 1, 1_000)]);
    }
    cluster.run(Duration::from_millis(300));
    expect_that!(cores_in_use(&cluster, "a"), eq(30));
    cluster.set_caps(&[("a", 10)]);
    cluster.run(Duration::from_millis(500));
    expect_that!(cores_in_use(&cluster, "a"), eq(30));
    for _ in 0..30 {
        cluster.run(Duration::from_millis(100));
    }
    expect_that!(cores_in_use(&cluster, "a"), eq(10));
    cluster.set_caps(&[("a", 60)]);
    cluster.run(Duration::from_millis(1_000));
    expect_that!(cores_in_use(&cluster, "a"), ge(40));
}

#[gtest]
fn tasks_and_gangs_larger_than_their_cap_are_rejected_at_once() {
    let mut cluster = SimCluster::new(73, 8);
    cluster.set_caps(&[("a", 4)]);
    cluster.run(seconds(1));
    let gang = StepSpec { gang: true, ..step(5, 1, TASK_TIME) };
    let calls = [
        cluster.submit("now", "a@task", vec![step(1, 5, TASK_TIME)]),
        cluster.submit("now", "a@gang", vec![gang.clone()]),
        cluster.submit("now", "a@wide", vec![step(5, 1, TASK_TIME)]),
        cluster.submit("now", "gang", vec![gang]),
    ];
    cluster.run(seconds(4));
    let rejected = |call: &u64| match cluster.answers.get(call) {
        Some(GraphAnswer::Rejected(delay)) => *delay >= seconds(30),
        _ => false,
    };
    expect_that!(calls.iter().map(rejected).collect::<Vec<_>>(), eq(&[true, true, false, false]));
    expect_that!(cluster.state("a@wide"), some(eq(GraphState::Completed)));
    expect_that!(cluster.state("gang"), some(eq(GraphState::Completed)));
}

// The runs that an earlier leader has started on workers without contact count against the cap until
// they have certainly ended: the next leader does not know of them.
#[gtest]
fn runs_that_a_new_leader_has_not_seen_count_against_the_cap() {
    let mut cluster = SimCluster::with_domains(74, 6, 3);
    cluster.set_caps(&[("a", 16)]);
    cluster.run(seconds(1));
    cluster.submit("now", "a@long", vec![step(12, 1, 3_000), step(4, 1, 3_000)]);
    cluster.run(Duration::from_millis(500));
    expect_that!(cores_in_use(&cluster, "a"), eq(16));
    let cut: Vec<WorkerId> = cluster.workers.keys().take(3).cloned().collect();
    for id in &cut {
        cluster.workers.get_mut(id).unwrap().connected = false;
    }
    cluster.elect();
    for number in 0..6 {
        cluster.submit("now", &format!("a@new{number}"), vec![step(4, 1, TASK_TIME)]);
    }
    for _ in 0..40 {
        cluster.run(Duration::from_millis(100));
        expect_that!(cores_in_use(&cluster, "a"), le(16));
    }
    for worker in cluster.workers.values_mut() {
        worker.connected = true;
    }
    cluster.run(seconds(15));
    for number in 0..6 {
        let state = cluster.state(&format!("a@new{number}"));
        expect_that!(state, some(eq(GraphState::Completed)), "a@new{number}");
    }
}

// All waiting tasks of a workspace counted as runs that workers without contact might have, so that the workspace
// started nothing for ten seconds after a takeover beside workers that were cut off.
#[gtest]
fn a_workspace_starts_new_work_while_some_workers_have_not_answered_a_new_leader() {
    let mut cluster = SimCluster::with_domains(77, 6, 3);
    cluster.set_caps(&[("a", 16)]);
    cluster.run(seconds(1));
    cluster.submit("now", "a@long", vec![step(16, 1, 1_500)]);
    cluster.run(Duration::from_millis(100));
    cluster.submit("later", "a@backlog", vec![step(40, 1, 1_500)]);
    cluster.run(Duration::from_millis(400));
    let cut: Vec<WorkerId> = cluster.workers.keys().take(3).cloned().collect();
    for id in &cut {
        cluster.workers.get_mut(id).unwrap().connected = false;
    }
    cluster.elect();
    cluster.run(Duration::from_millis(100));
    cluster.submit("now", "a@new", vec![step(2, 1, 400)]);
    cluster.run(seconds(4));
    expect_that!(cluster.state("a@new"), some(eq(GraphState::Completed)));
}

// Each shard may use a part of a cap without asking, and more of it while the other shards do not
// need it.
#[gtest]
fn a_cap_holds_over_all_shards_and_moves_to_where_it_is_needed() {
    let mut cluster = SimCluster::sharded(75, 12, 3);
    cluster.set_caps(&[("a", 24)]);
    cluster.run(seconds(1));
    let shards: Vec<ShardId> = cluster.plan.shards();
    for number in 0..30 {
        cluster.submit_in(&shards[0], "now", &format!("a@{number}"), vec![step(4, 1, 1_000)]);
    }
    cluster.run(seconds(3));
    expect_that!(cores_in_use(&cluster, "a"), ge(14));
    for number in 30..60 {
        let shard = &shards[1 + number % 2];
        cluster.submit_in(shard, "now", &format!("a@{number}"), vec![step(4, 1, 1_000)]);
    }
    cluster.run(seconds(30));
    for number in 0..60 {
        let state = cluster.state_in(&format!("a@{number}"));
        expect_that!(state, some(eq(GraphState::Completed)), "a@{number}");
    }
}

// In the order of their latest starts, all jobs of a workspace that submits five times what it is entitled to became
// late together, also those that it is entitled to.
#[gtest]
fn jobs_within_the_rate_of_a_workspace_are_in_time_beside_its_excess() {
    const OBJECTIVE: Duration = Duration::from_millis(1_150);
    let mut cluster = SimCluster::new(76, 8);
    cluster.set_workspaces(&[("flood", 8, 2.0)]);
    cluster.run(seconds(1));
    let mut open: Vec<(String, Duration)> = Vec::new();
    let mut in_time = 0;
    for tick in 0..120 {
        if tick % 2 == 0 && tick < 80 {
            let id = format!("flood@{tick}");
            cluster.submit("now", &id, vec![step(4, 1, 600)]);
            open.push((id, Duration::ZERO));
        }
        cluster.run(Duration::from_millis(50));
        open.iter_mut().for_each(|(_, age)| *age += Duration::from_millis(50));
        let ended =
            |(id, _): &mut (String, Duration)| cluster.state(id) == Some(GraphState::Completed);
        let ended: Vec<_> = open.extract_if(.., ended).collect();
        in_time += ended.iter().filter(|(_, age)| *age <= OBJECTIVE).count();
    }
    // Two a second for four seconds, and what the bucket holds at first.
    expect_that!(in_time, ge(8));
}

// A job was cancelled right after a takeover, while a worker with one of its runs had not answered yet: as the job had
// ended, the run no longer counted.
#[gtest]
fn unseen_runs_of_a_job_that_is_cancelled_after_a_takeover_count_against_the_cap() {
    let mut cluster = SimCluster::with_domains(78, 6, 3);
    cluster.set_caps(&[("a", 16)]);
    cluster.run(seconds(1));
    cluster.submit("now", "a@long", vec![step(16, 1, 4_000)]);
    cluster.run(Duration::from_millis(500));
    expect_that!(cores_in_use(&cluster, "a"), eq(16));
    let cut: Vec<WorkerId> = cluster.workers.keys().take(3).cloned().collect();
    for id in &cut {
        cluster.workers.get_mut(id).unwrap().connected = false;
    }
    cluster.elect();
    cluster.run(Duration::from_millis(200));
    cluster.cancel("a@long");
    for number in 0..6 {
        cluster.submit("now", &format!("a@new{number}"), vec![step(4, 1, 400)]);
    }
    for _ in 0..40 {
        cluster.run(Duration::from_millis(100));
        expect_that!(cores_in_use(&cluster, "a"), le(16));
    }
}
