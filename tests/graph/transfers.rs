//! Jobs that move to another shard because their own has no worker for them.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::{GraphAnswer, GraphState, ShardId, StepSpec};

use crate::sim_cluster::{SimCluster, count_runs, kind_label, seconds, step};

/// Number of workers in two shards; those with an even number are in the first one.
const WORKERS: u32 = 8;
/// Time in which all jobs must have ended after the last fault.
const SETTLE_TIME: Duration = Duration::from_secs(40);

/// A step that only workers of a kind can run.
fn of_kind(kind: u32, step: StepSpec) -> StepSpec {
    StepSpec { label: Some(kind_label(kind)), ..step }
}

/// Two shards; workers 0 and 1, one in each, are the only ones of kind 1, all others are of kind 0.
fn cluster(seed: u64) -> (SimCluster, ShardId, ShardId) {
    let mut cluster = SimCluster::sharded(seed, 0, 2);
    cluster.kinds = (0..WORKERS).map(|number| (number, u32::from(number < 2))).collect();
    for number in 0..WORKERS {
        cluster.add_worker(number, 0);
    }
    let shards = cluster.plan.shards();
    cluster.run(seconds(1));
    (cluster, shards[0].clone(), shards[1].clone())
}

/// Submits a job in a shard whose second step needs kind 1.
fn submit(cluster: &mut SimCluster, shard: &ShardId, id: &str) {
    let second = StepSpec { after: vec![0], ..of_kind(1, step(2, 1, 500)) };
    let call = cluster.submit_in(shard, "now", id, vec![of_kind(0, step(2, 1, 1_000)), second]);
    cluster.run(Duration::from_millis(300));
    assert_eq!(cluster.answers.get(&call), Some(&GraphAnswer::Accepted));
}

/// Lets the first shard's only worker of kind 1 leave by planned work.
fn lose_kind(cluster: &mut SimCluster) {
    cluster.kinds.insert(0, 0);
    cluster.leave(&"w0-0".into(), Duration::from_millis(300));
}

fn kill_leader(cluster: &mut SimCluster, shard: &ShardId) {
    let epoch = cluster.epoch_in(shard);
    cluster.leaders.remove(&epoch);
}

// The last worker of a kind left the shard of a job while its first step ran. The second step needs that kind, and the job
// waited without end beside an idle worker of another shard.
#[gtest]
fn a_job_moves_to_another_shard_once_its_own_has_no_worker_of_a_kind() {
    let (mut cluster, first, second) = cluster(80);
    submit(&mut cluster, &first, "a");
    lose_kind(&mut cluster);
    cluster.run(seconds(4));
    expect_that!(cluster.state_in("a"), some(eq(GraphState::Completed)));
    expect_that!(cluster.started_runs, eq(4));
    expect_that!(cluster.store.departures, eq(1));
    expect_true!(cluster.jobs_by_shard().contains(&("a".to_owned(), second)));
}

// The same with the leader of either shard killed at any moment of the move.
#[gtest]
fn a_job_that_moves_survives_the_loss_of_a_leader_at_each_moment() {
    for (kills_first, kills_second) in [(true, false), (false, true), (true, true)] {
        for delay in (0..40).map(|number| Duration::from_millis(600 + number * 20)) {
            let (mut cluster, first, second) = cluster(81);
            submit(&mut cluster, &first, "a");
            lose_kind(&mut cluster);
            cluster.run(delay);
            for (shard, _) in
                [(&first, kills_first), (&second, kills_second)].iter().filter(|(_, kills)| *kills)
            {
                kill_leader(&mut cluster, shard);
            }
            cluster.run(seconds(1));
            for shard in [&first, &second] {
                cluster.elect_in(shard);
            }
            cluster.run(SETTLE_TIME);
            let state = cluster.state_in("a");
            expect_that!(state, some(eq(GraphState::Completed)), "{delay:?}");
        }
    }
}

// A job whose steps need kinds that stand in different shards moves before each of them, also back to a shard that it has
// left.
#[gtest]
fn a_job_moves_as_often_as_its_steps_need_kinds_of_other_shards() {
    let (mut cluster, first, second) = cluster(82);
    let chain = |kinds: &[u32]| {
        let steps = kinds.iter().enumerate().map(|(index, kind)| {
            let after = index.checked_sub(1).map(|before| before as u32).into_iter().collect();
            StepSpec { after, ..of_kind(*kind, step(2, 1, 300)) }
        });
        steps.collect::<Vec<_>>()
    };
    for (number, kind) in [(2, 2), (3, 3)] {
        cluster.kinds.insert(number, kind);
        cluster.add_worker(number, 1);
    }
    cluster.run(seconds(1));
    let call = cluster.submit_in(&first, "now", "a", chain(&[2, 3, 2, 3]));
    cluster.run(seconds(6));
    expect_that!(cluster.answers.get(&call), some(eq(&GraphAnswer::Accepted)));
    expect_that!(cluster.state_in("a"), some(eq(GraphState::Completed)));
    expect_that!(cluster.started_runs, eq(8));
    expect_that!(cluster.store.departures, eq(3));
    expect_true!(cluster.jobs_by_shard().contains(&("a".to_owned(), second)));
}

// A worker that crashes is back within seconds: its jobs wait for it.
#[gtest]
fn a_job_does_not_move_while_a_worker_is_expected_back() {
    let (mut cluster, first, _) = cluster(83);
    submit(&mut cluster, &first, "a");
    cluster.crash_and_restart(&"w0-0".into(), seconds(2));
    cluster.run(seconds(15));
    expect_that!(cluster.state_in("a"), some(eq(GraphState::Completed)));
    expect_that!(cluster.store.departures, eq(0));
}

// A job that has moved was cancelled at the shard that it had left, whose leader answered that there was none.
#[gtest]
fn a_job_that_has_moved_is_cancelled_by_its_new_leader_only() {
    let (mut cluster, first, second) = cluster(84);
    let lasting = StepSpec { after: vec![0], ..of_kind(1, step(2, 1, 60_000)) };
    cluster.submit_in(&first, "now", "a", vec![of_kind(0, step(2, 1, 1_000)), lasting]);
    cluster.run(Duration::from_millis(300));
    lose_kind(&mut cluster);
    cluster.run(seconds(4));
    expect_that!(count_runs(&cluster, "a"), eq(2));
    let at_first = cluster.cancel_in(&first, "a");
    let at_second = cluster.cancel_in(&second, "a");
    cluster.run(seconds(2));
    // Entries ask the shard that the index names after such an answer.
    expect_that!(cluster.answers.get(&at_first), some(eq(&GraphAnswer::Gone)));
    expect_that!(cluster.answers.get(&at_second), some(eq(&GraphAnswer::Cancelled)));
    expect_that!(count_runs(&cluster, "a"), eq(0));
    expect_that!(cluster.state_in("a"), some(eq(GraphState::Cancelled)));
}

// What is left of a job that has moved went into the count of waiting jobs, beside the job itself.
#[gtest]
fn a_job_that_has_moved_is_counted_once() {
    let (mut cluster, first, second) = cluster(85);
    cluster.kinds.insert(1, 2);
    cluster.submit_in(&first, "now", "full", vec![of_kind(1, step(8, 1, 60_000))]);
    cluster.submit_in(&second, "now", "busy", vec![of_kind(1, step(8, 1, 60_000))]);
    cluster.run(seconds(1));
    cluster.submit_in(&first, "now", "a", vec![of_kind(1, step(1, 1, 300))]);
    cluster.run(seconds(1));
    lose_kind(&mut cluster);
    cluster.run(seconds(5));
    let pending =
        |cluster: &mut SimCluster, shard| cluster.leader_in(shard).unwrap().jobs().pending("now");
    expect_that!(pending(&mut cluster, &first), eq(0));
    expect_that!(pending(&mut cluster, &second), eq(1));
}

// A caller submitted a job again in the shard that it had just moved to. In one group with the job the submission was
// refused, and the job with it, so that no leader had it.
#[gtest]
fn a_job_arrives_although_it_is_submitted_again_in_its_new_shard() {
    for delay in (0..60).map(|number| Duration::from_millis(1_000 + number * 10)) {
        let (mut cluster, first, second) = cluster(86);
        submit(&mut cluster, &first, "a");
        lose_kind(&mut cluster);
        cluster.run(delay);
        let steps = vec![of_kind(1, step(2, 1, 500))];
        cluster.submit_in(&second, "now", "a", steps);
        cluster.run(seconds(6));
        let state = cluster.state_in("a");
        expect_that!(state, some(eq(GraphState::Completed)), "{delay:?}");
    }
}
