//! Jobs that are handed to a leader which has not read yet which workers are registered.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use kelplink::{
    CallId, GraphAction, GraphAnswer, GraphBounds, GraphController, RestoredState, ShardId,
    ShardScope, StepSpec, WorkerId,
};

use crate::sim_cluster::{SimCluster, count_runs, seconds, step};

fn bounds() -> GraphBounds {
    GraphBounds {
        longest_lease: seconds(6),
        retention: seconds(120),
        lease_extension_window: seconds(5),
    }
}

/// Three shards, and the one that [`take_over`] has a new leader for.
fn sharded(seed: u64, workers: u32) -> (SimCluster, ShardId) {
    let cluster = SimCluster::sharded(seed, workers, 3);
    let shard = cluster.plan.shards()[0].clone();
    (cluster, shard)
}

/// A new leader of a shard that knows no registration yet.
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

/// The leader reads the registrations of its own shard, or, after these, of the others.
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

/// The registrations of all workers go, of its own shard and of the others.
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

// A leader that had just taken over knew of no room at all: gangs were refused for a minute as too large for any shard.
#[gtest]
fn a_gang_is_not_hopeless_before_the_registrations_are_read() {
    let (mut cluster, shard) = sharded(48, 9);
    take_over(&mut cluster, &shard);
    let gang = StepSpec { gang: true, ..step(3, 6, 500) };
    let call = cluster.submit_in(&shard, "now", "a", vec![gang]);
    read_registrations(&mut cluster, &shard, true);
    read_registrations(&mut cluster, &shard, false);
    expect_that!(answer(&mut cluster, call), some(eq(&GraphAnswer::Accepted)));
}

// Without the workers of the other shards a lasting job was accepted whole, and the tasks that its shard cannot hold
// waited for good: how a job is shared out stands with its acceptance.
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

// No worker of the shard has the label: accepted there, the job waited for good.
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

// The store gives out the registrations late: the caller's entry goes on to another shard.
#[gtest]
fn a_job_does_not_wait_for_good_for_the_registrations() {
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

// A leader that ends tells those whose jobs it has kept to go to the next.
#[gtest]
fn a_job_that_waits_for_the_registrations_is_let_go_with_leadership() {
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

// Registrations expire while the store is away, and are back within two seconds after it: workers that were taken for
// gone meanwhile had a gang refused for a minute and a wide job accepted unshared.
#[gtest]
fn workers_whose_registrations_lapse_together_still_count_where_a_job_is_judged() {
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

// A registration that stays away names a worker that is gone.
#[gtest]
fn workers_that_do_not_register_again_do_not_count_for_good() {
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

// The leases of idle workers run out while the store is away too, and such workers are forgotten once they are not
// registered.
#[gtest]
fn workers_whose_leases_ran_out_with_their_registrations_still_count() {
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
