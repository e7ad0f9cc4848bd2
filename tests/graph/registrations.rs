//! Stored registrations written by others: they neither remove a worker nor create one.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use kelplink::{GraphState, WorkerId, WorkerRegistration};

use crate::sim_cluster::{SimCluster, queue_rule, seconds, step};

fn registration_of(cluster: &SimCluster, worker: &str) -> WorkerRegistration {
    cluster.workers[worker].registration.clone()
}

fn add_registration(cluster: &mut SimCluster, registration: WorkerRegistration) {
    let now = cluster.now;
    cluster.leader().unwrap().worker_registered(now, registration);
}

/// A registration under another id at a worker's address ended that worker's instance at once: its
/// tasks were started elsewhere while they still ran there. Such a registration may be that of an
/// earlier instance read again, or one written by another program. Only the answer from the address
/// shows which instance is there.
#[gtest]
fn another_registration_at_its_address_does_not_end_a_worker_that_answers() {
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

/// The counterpart: a worker that has restarted is detected by its answer. The poll that was
/// pending when it ended counts as lost after 0.6 s here; a broken connection shows the end at
/// once.
#[gtest]
fn another_instance_at_its_address_ends_a_lost_worker() {
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

/// A worker of a service that no queue uses was polled and stored as in use like any other. It is
/// ignored until a configuration names its service; if a worker's registration changes to such a
/// service, its runs continue.
#[gtest]
fn a_worker_of_an_unused_service_is_ignored_until_a_queue_uses_it() {
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
    let mut queue = queue_rule("extra", 0, false);
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

/// While a worker's registration cannot be read, the worker counts as not registered: its runs
/// continue past its lease, nothing new is started there, and it is used again once the
/// registration is readable.
#[gtest]
fn a_worker_with_an_unreadable_registration_loses_no_run() {
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

/// A list of workers in use that could not be read was treated as empty: the next leader
/// immediately started a task that still ran at a worker out of its reach.
#[gtest]
fn a_takeover_without_the_list_of_workers_waits_for_possible_runs() {
    let mut cluster = SimCluster::new(5, 2);
    cluster.run(seconds(1));
    cluster.submit("now", "a", vec![step(1, 8, 30_000)]);
    cluster.run(seconds(1));
    for worker in cluster.workers.values_mut().filter(|worker| worker.was_assigned("a")) {
        worker.connected = false;
    }
    cluster.store.workers_unreadable = true;
    let epoch = cluster.store.epoch;
    cluster.leaders.remove(&epoch);
    cluster.elect();
    cluster.run(seconds(9));
    expect_that!(cluster.started_runs, eq(1));
    cluster.run(seconds(40));
    expect_that!(cluster.state("a"), some(eq(GraphState::Completed)));
    expect_that!(cluster.started_runs, eq(2));
}
