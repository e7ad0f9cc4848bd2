//! Jobs submitted to a leader that has not read the registrations yet.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use kelplink::{
    CallId, GraphAction, GraphAnswer, GraphBounds, GraphController, RestoredState, RunCosts,
    ShardId, ShardScope, StepSpec, WorkerId,
};

use crate::sim_cluster::{SimCluster, count_runs, seconds, step};

fn bounds() -> GraphBounds {
    GraphBounds {
        max_lease: seconds(6),
        retention: seconds(120),
        lease_extension_window: seconds(5),
        run_costs: RunCosts::default(),
        max_value_bytes: 1 << 20,
        worker_heartbeat: Duration::from_millis(1_500),
    }
}

/// A cluster with three shards, and the shard for which [`take_over`] creates a new leader.
fn sharded(seed: u64, workers: u32) -> (SimCluster, ShardId) {
    let cluster = SimCluster::sharded(seed, workers, 3);
    let shard = cluster.plan.shards()[0].clone();
    (cluster, shard)
}

/// Elects a leader of a shard that has read no registration yet.
fn take_over(cluster: &mut SimCluster, shard: &ShardId) {
    let epoch = cluster.elect_in(shard);
    let scope = ShardScope::new(cluster.plan.clone(), shard.clone());
    let (state, bounds) = (RestoredState::default(), bounds());
    let leader = GraphController::new(cluster.now, cluster.unix(), epoch, bounds, state);
    let mut leader = leader.with_scope(scope).awaiting_registrations();
    leader.set_config(cluster.config.clone());
    leader.set_entries((0..5).map(|entry| format!("e{entry}").into()).collect());
    leader.note_lease_renewal(cluster.now);
    cluster.leaders.insert(epoch, leader);
}

/// Lets the leader read the registrations of its own shard, or, after these, of the others.
fn read_registrations(cluster: &mut SimCluster, shard: &ShardId, own: bool) {
    let (now, plan) = (cluster.now, cluster.plan.clone());
    let registrations = cluster.workers.values().map(|worker| worker.registration.clone());
    let registrations: Vec<_> = registrations.collect();
    let leader = cluster.leader_in(shard).unwrap();
    for registration in registrations {
        let owner = plan.shard_of(&registration.domain, &registration.rack);
        match owner == *shard {
            true if own => leader.worker_registered(now, registration),
            false if !own => leader.worker_registered_elsewhere(owner, registration),
            _ => {}
        }
    }
    if !own {
        leader.note_registrations_read(now);
    }
}

/// Removes the registrations of all workers, of the leader's shard and of the others.
fn unregister_all(cluster: &mut SimCluster, shard: &ShardId) {
    let (now, workers) = (cluster.now, cluster.workers.keys().cloned());
    let workers: Vec<WorkerId> = workers.collect();
    let leader = cluster.leader_in(shard).unwrap();
    for worker in &workers {
        leader.worker_unregistered(now, worker);
    }
}

fn answer(cluster: &mut SimCluster, call: CallId) -> Option<GraphAnswer> {
    cluster.run(seconds(1));
    cluster.answers.get(&call).cloned()
}

// A leader that had just taken over had a record of no worker and so of no capacity: for a minute
// gangs were rejected as too large for any shard.
#[gtest]
fn a_gang_is_not_rejected_before_the_registrations_are_read() {
    let (mut cluster, shard) = sharded(48, 9);
    take_over(&mut cluster, &shard);
    let gang = StepSpec { gang: true, ..step(3, 6, 500) };
    let call = cluster.submit_in(&shard, "now", "a", vec![gang]);
    read_registrations(&mut cluster, &shard, true);
    read_registrations(&mut cluster, &shard, false);
    expect_that!(answer(&mut cluster, call), some(eq(&GraphAnswer::Accepted)));
}

// Without the workers of the other shards a lasting job was accepted as a whole, and the tasks that
// did not fit in its shard waited forever: the shares of a job are fixed with its acceptance.
#[gtest]
fn a_wide_job_is_not_accepted_unshared_before_the_registrations_are_read() {
    let (mut cluster, shard) = sharded(49, 90);
    let workers: Vec<WorkerId> = cluster.workers.keys().cloned().collect();
    cluster.allowed = Some(workers.into_iter().step_by(2).collect());
    take_over(&mut cluster, &shard);
    read_registrations(&mut cluster, &shard, true);
    let wide = vec![StepSpec { lasting: true, max_per_worker: Some(1), ..step(40, 1, 600_000) }];
    let call = cluster.submit_in(&shard, "asked", "a", wide);
    read_registrations(&mut cluster, &shard, false);
    expect_that!(answer(&mut cluster, call), some(eq(&GraphAnswer::Accepted)));
    cluster.run(seconds(10));
    expect_that!(count_runs(&cluster, "a"), eq(40));
}

// No worker of the shard has the label: accepted there, the job waited forever.
#[gtest]
fn a_job_for_workers_elsewhere_is_not_accepted_before_the_registrations_are_read() {
    let (mut cluster, shard) = sharded(50, 12);
    for worker in cluster.workers.values_mut().filter(|worker| &*worker.registration.domain == "d2")
    {
        worker.registration.labels.push("k".into());
    }
    take_over(&mut cluster, &shard);
    read_registrations(&mut cluster, &shard, true);
    let labelled = vec![StepSpec { label: Some("k".into()), ..step(2, 1, 500) }];
    let call = cluster.submit_in(&shard, "now", "a", labelled);
    read_registrations(&mut cluster, &shard, false);
    let elsewhere = GraphAnswer::Elsewhere(Arc::from("d2"));
    expect_that!(answer(&mut cluster, call), some(eq(&elsewhere)));
}

// The store returns the registrations late: the caller's entry submits the job to another shard.
#[gtest]
fn a_job_does_not_wait_forever_for_the_registrations() {
    let (mut cluster, shard) = sharded(51, 9);
    take_over(&mut cluster, &shard);
    let call = cluster.submit_in(&shard, "now", "a", vec![step(2, 1, 500)]);
    cluster.run(Duration::from_millis(300));
    expect_that!(cluster.answers.get(&call), none());
    cluster.run(Duration::from_millis(200));
    expect_that!(cluster.answers.get(&call), some(eq(&GraphAnswer::Unready)));
    read_registrations(&mut cluster, &shard, true);
    read_registrations(&mut cluster, &shard, false);
    cluster.run(seconds(1));
    expect_that!(count_runs(&cluster, "a"), eq(0));
    expect_that!(cluster.started_runs, eq(0));
}

// A leader that resigns directs the callers of jobs that it has deferred to the next leader.
#[gtest]
fn a_job_that_waits_for_the_registrations_is_returned_when_the_leader_resigns() {
    let (mut cluster, shard) = sharded(52, 9);
    take_over(&mut cluster, &shard);
    let call = cluster.submit_in(&shard, "now", "a", vec![step(2, 1, 500)]);
    let leader = cluster.leader_in(&shard).unwrap();
    leader.resign();
    let answers = leader.take_actions().into_iter().filter_map(|action| match action {
        GraphAction::Answer(to, answer) => Some((to, answer)),
        _ => None,
    });
    expect_that!(answers.collect::<Vec<_>>(), eq(&vec![(call, GraphAnswer::Unready)]));
}

// Registrations expire while the store is down, and are back within two seconds after that. With
// those workers counted as lost in the meantime, a gang was rejected for a minute and a wide job
// was accepted without shares.
#[gtest]
fn workers_whose_registrations_expire_together_still_count_at_admission() {
    let (mut cluster, shard) = sharded(53, 90);
    let workers: Vec<WorkerId> = cluster.workers.keys().cloned().collect();
    cluster.allowed = Some(workers.iter().step_by(2).cloned().collect());
    cluster.run(seconds(1));
    unregister_all(&mut cluster, &shard);
    let gang = StepSpec { gang: true, ..step(3, 6, 500) };
    let gang = cluster.submit_in(&shard, "now", "g", vec![gang]);
    let wide = StepSpec { lasting: true, max_per_worker: Some(1), ..step(40, 1, 600_000) };
    let wide = cluster.submit_in(&shard, "asked", "a", vec![wide]);
    read_registrations(&mut cluster, &shard, true);
    read_registrations(&mut cluster, &shard, false);
    expect_that!(answer(&mut cluster, gang), some(eq(&GraphAnswer::Accepted)));
    expect_that!(answer(&mut cluster, wide), some(eq(&GraphAnswer::Accepted)));
    cluster.run(seconds(8));
    expect_that!(count_runs(&cluster, "a"), eq(40));
}

// A worker that does not register again is lost.
#[gtest]
fn workers_that_do_not_register_again_stop_counting() {
    let (mut cluster, shard) = sharded(54, 9);
    cluster.run(seconds(1));
    for worker in cluster.workers.values_mut() {
        worker.up = false;
    }
    unregister_all(&mut cluster, &shard);
    cluster.run(seconds(3));
    let gang = StepSpec { gang: true, ..step(3, 6, 500) };
    let gang = cluster.submit_in(&shard, "now", "g", vec![gang]);
    let refused = GraphAnswer::Rejected(seconds(60));
    expect_that!(answer(&mut cluster, gang), some(eq(&refused)));
}

// The leases of idle workers expire while the store is down too, and such workers are forgotten
// once they are not registered.
#[gtest]
fn workers_whose_leases_expired_with_their_registrations_still_count() {
    let (mut cluster, shard) = sharded(55, 9);
    cluster.run(seconds(1));
    cluster.store.up = false;
    cluster.run(seconds(14));
    cluster.store.up = true;
    unregister_all(&mut cluster, &shard);
    cluster.run(seconds(1));
    let gang = StepSpec { gang: true, ..step(3, 6, 500) };
    let gang = cluster.submit_in(&shard, "now", "g", vec![gang]);
    expect_that!(answer(&mut cluster, gang), some(eq(&GraphAnswer::Accepted)));
}
