//! Values in the store that another writer has left: they take no worker away and name none.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use kelplink::{GraphState, WorkerId, WorkerRegistration};

use crate::sim_cluster::{SimCluster, rule, seconds, step};

fn registration_of(cluster: &SimCluster, worker: &str) -> WorkerRegistration {
    cluster.workers[worker].registration.clone()
}

fn add_registration(cluster: &mut SimCluster, registration: WorkerRegistration) {
    let now = cluster.now;
    cluster.leader().unwrap().worker_registered(now, registration);
}

/// An entry under another id at a worker's address ended that worker's life at once: its tasks were
/// started elsewhere while they still ran there. It may be the entry of an earlier life that is read
/// anew, or another writer's. Only the answer from the address tells which life is there.
#[gtest]
fn another_entry_at_its_address_does_not_end_a_worker_that_answers() {
    for service in ["svc", "foreign"] {
        let mut cluster = SimCluster::new(1, 3);
        cluster.run(seconds(1));
        cluster.submit("now", "a", vec![step(6, 2, 3_000)]);
        cluster.run(seconds(1));
        let copy = WorkerRegistration {
            id: "x0".into(),
            service: service.into(),
            ..registration_of(&cluster, "w0-0")
        };
        add_registration(&mut cluster, copy);
        cluster.run(seconds(4));
        expect_that!(cluster.state("a"), some(eq(GraphState::Completed)), "{service}");
        expect_that!(cluster.started_runs, eq(6), "{service}");
        cluster.submit("now", "b", vec![step(12, 2, 500)]);
        cluster.run(seconds(2));
        expect_that!(cluster.state("b"), some(eq(GraphState::Completed)), "{service}");
        let known = cluster.leader().unwrap().instances().get(&WorkerId::from("x0")).is_some();
        expect_false!(known, "{service}");
    }
}

/// The counterpart: a worker that has started anew is noticed by its answer. The poll that it was left
/// with when it ended counts as lost after 0.6 s here; a connection that breaks tells at once.
#[gtest]
fn another_life_at_its_address_ends_a_worker_that_is_gone() {
    let mut cluster = SimCluster::new(2, 2);
    cluster.run(seconds(1));
    cluster.submit("now", "a", vec![step(2, 8, 2_000)]);
    cluster.run(seconds(1));
    cluster.add_worker(0, 1);
    cluster.run(seconds(1));
    let instances = cluster.leader().unwrap().instances();
    expect_false!(instances.get(&WorkerId::from("w0-0")).is_some());
    expect_true!(cluster.workers["w0-1"].was_assigned("a"));
}

/// A worker of a service that nothing names was polled and noted in the store like any other. It is left
/// alone until a configuration names its service; what runs on one whose entry changes so goes on.
#[gtest]
fn a_worker_of_a_service_that_nothing_names_is_left_alone_until_one_does() {
    let mut cluster = SimCluster::new(3, 2);
    cluster.run(seconds(1));
    cluster.submit("now", "a", vec![step(2, 8, 2_000)]);
    cluster.run(seconds(1));
    let full = registration_of(&cluster, "w0-0");
    let foreign = WorkerRegistration { service: "foreign".into(), ..full.clone() };
    add_registration(&mut cluster, foreign.clone());
    let unknown = WorkerRegistration {
        id: "x0".into(),
        address: "10.0.9.9:80".parse().unwrap(),
        ..foreign.clone()
    };
    add_registration(&mut cluster, unknown);
    let known = cluster.leader().unwrap().instances().get(&WorkerId::from("x0")).is_some();
    expect_false!(known);
    cluster.run(Duration::from_millis(1_400));
    expect_that!(cluster.state("a"), some(eq(GraphState::Completed)));
    expect_that!(cluster.started_runs, eq(2));
    cluster.submit("now", "b", vec![step(4, 1, 500)]);
    cluster.run(seconds(1));
    expect_that!(cluster.state("b"), some(eq(GraphState::Completed)));
    expect_false!(cluster.workers["w0-0"].was_assigned("b"));

    let mut config = (*cluster.config).clone();
    config.version = 2;
    let mut queue = rule("extra", 0, false);
    queue.service = "foreign".into();
    config.queues.insert(queue.id.clone(), Arc::new(queue));
    cluster.config = Arc::new(config);
    let config = cluster.config.clone();
    cluster.leader().unwrap().set_config(config);
    cluster.submit("extra", "c", vec![step(1, 1, 500)]);
    cluster.run(seconds(1));
    expect_true!(cluster.workers["w0-0"].was_assigned("c"));
    expect_that!(cluster.state("c"), some(eq(GraphState::Completed)));

    add_registration(&mut cluster, full);
    cluster.submit("now", "d", vec![step(16, 1, 500)]);
    cluster.run(Duration::from_millis(400));
    expect_true!(cluster.workers["w0-0"].was_assigned("d"));
}

/// While a worker's entry cannot be read it is like one that is not registered: what runs there goes on
/// past its lease, nothing new is started, and it is used again when the entry is whole.
#[gtest]
fn a_worker_whose_entry_is_bad_for_a_while_loses_nothing() {
    let mut cluster = SimCluster::new(4, 2);
    cluster.run(seconds(1));
    cluster.submit("now", "a", vec![step(2, 8, 9_000)]);
    cluster.run(seconds(1));
    let now = cluster.now;
    cluster.leader().unwrap().worker_unregistered(now, &"w0-0".into());
    cluster.run(seconds(9));
    expect_that!(cluster.state("a"), some(eq(GraphState::Completed)));
    expect_that!(cluster.started_runs, eq(2));
    cluster.submit("now", "b", vec![step(2, 8, 500)]);
    cluster.run(Duration::from_millis(400));
    expect_false!(cluster.workers["w0-0"].was_assigned("b"));
    let full = registration_of(&cluster, "w0-0");
    add_registration(&mut cluster, full);
    cluster.run(Duration::from_millis(200));
    expect_true!(cluster.workers["w0-0"].was_assigned("b"));
}

/// A list of workers in use that could not be read was taken for an empty one: the next leader started at
/// once what still ran at a worker that it could not reach.
#[gtest]
fn a_takeover_without_the_list_of_workers_waits_for_what_may_run() {
    let mut cluster = SimCluster::new(5, 2);
    cluster.run(seconds(1));
    cluster.submit("now", "a", vec![step(1, 8, 30_000)]);
    cluster.run(seconds(1));
    for worker in cluster.workers.values_mut().filter(|worker| worker.was_assigned("a")) {
        worker.connected = false;
    }
    cluster.store.spoilt = true;
    let epoch = cluster.store.epoch;
    cluster.leaders.remove(&epoch);
    cluster.elect();
    cluster.run(seconds(9));
    expect_that!(cluster.started_runs, eq(1));
    cluster.run(seconds(40));
    expect_that!(cluster.state("a"), some(eq(GraphState::Completed)));
    expect_that!(cluster.started_runs, eq(2));
}
