//! Values in the store that another writer has left: they take no worker away and name none.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use kelplink::{GraphState, WorkerId, WorkerRegistration};

use crate::world::{World, rule, seconds, step};

fn registration_of(world: &World, worker: &str) -> WorkerRegistration {
    world.workers[worker].registration.clone()
}

fn list(world: &mut World, registration: WorkerRegistration) {
    let now = world.now;
    world.leader().unwrap().worker_registered(now, registration);
}

/// An entry under another id at a worker's address ended that worker's life at once: its tasks were
/// started elsewhere while they still ran there. It may be the entry of an earlier life that is read
/// anew, or another writer's. Only the answer from the address tells which life is there.
#[gtest]
fn another_entry_at_its_address_does_not_end_a_worker_that_answers() {
    for service in ["svc", "foreign"] {
        let mut world = World::new(1, 3);
        world.run(seconds(1));
        world.submit("now", "a", vec![step(6, 2, 3_000)]);
        world.run(seconds(1));
        let copy = WorkerRegistration {
            id: "x0".into(),
            service: service.into(),
            ..registration_of(&world, "w0-0")
        };
        list(&mut world, copy);
        world.run(seconds(4));
        expect_that!(world.state("a"), some(eq(GraphState::Completed)), "{service}");
        expect_that!(world.begun_runs, eq(6), "{service}");
        world.submit("now", "b", vec![step(12, 2, 500)]);
        world.run(seconds(2));
        expect_that!(world.state("b"), some(eq(GraphState::Completed)), "{service}");
        let known = world.leader().unwrap().instances().get(&WorkerId::from("x0")).is_some();
        expect_false!(known, "{service}");
    }
}

/// The counterpart: a worker that has started anew is noticed by its answer. The poll that it was left
/// with when it ended counts as lost after 0.6 s here; a connection that breaks tells at once.
#[gtest]
fn another_life_at_its_address_ends_a_worker_that_is_gone() {
    let mut world = World::new(2, 2);
    world.run(seconds(1));
    world.submit("now", "a", vec![step(2, 8, 2_000)]);
    world.run(seconds(1));
    world.add_worker(0, 1);
    world.run(seconds(1));
    let instances = world.leader().unwrap().instances();
    expect_false!(instances.get(&WorkerId::from("w0-0")).is_some());
    expect_true!(world.workers["w0-1"].was_given("a"));
}

/// A worker of a service that nothing names was polled and noted in the store like any other. It is left
/// alone until a configuration names its service; what runs on one whose entry changes so goes on.
#[gtest]
fn a_worker_of_a_service_that_nothing_names_is_left_alone_until_one_does() {
    let mut world = World::new(3, 2);
    world.run(seconds(1));
    world.submit("now", "a", vec![step(2, 8, 2_000)]);
    world.run(seconds(1));
    let whole = registration_of(&world, "w0-0");
    let foreign = WorkerRegistration { service: "foreign".into(), ..whole.clone() };
    list(&mut world, foreign.clone());
    let unknown = WorkerRegistration {
        id: "x0".into(),
        address: "10.0.9.9:80".parse().unwrap(),
        ..foreign.clone()
    };
    list(&mut world, unknown);
    let known = world.leader().unwrap().instances().get(&WorkerId::from("x0")).is_some();
    expect_false!(known);
    world.run(Duration::from_millis(1_400));
    expect_that!(world.state("a"), some(eq(GraphState::Completed)));
    expect_that!(world.begun_runs, eq(2));
    world.submit("now", "b", vec![step(4, 1, 500)]);
    world.run(seconds(1));
    expect_that!(world.state("b"), some(eq(GraphState::Completed)));
    expect_false!(world.workers["w0-0"].was_given("b"));

    let mut config = (*world.config).clone();
    config.version = 2;
    let mut queue = rule("extra", 0, false);
    queue.service = "foreign".into();
    config.queues.insert(queue.id.clone(), Arc::new(queue));
    world.config = Arc::new(config);
    let config = world.config.clone();
    world.leader().unwrap().set_config(config);
    world.submit("extra", "c", vec![step(1, 1, 500)]);
    world.run(seconds(1));
    expect_true!(world.workers["w0-0"].was_given("c"));
    expect_that!(world.state("c"), some(eq(GraphState::Completed)));

    list(&mut world, whole);
    world.submit("now", "d", vec![step(16, 1, 500)]);
    world.run(Duration::from_millis(400));
    expect_true!(world.workers["w0-0"].was_given("d"));
}

/// While a worker's entry cannot be read it is like one that is not registered: what runs there goes on
/// past its lease, nothing new is started, and it is used again when the entry is whole.
#[gtest]
fn a_worker_whose_entry_is_bad_for_a_while_loses_nothing() {
    let mut world = World::new(4, 2);
    world.run(seconds(1));
    world.submit("now", "a", vec![step(2, 8, 9_000)]);
    world.run(seconds(1));
    let now = world.now;
    world.leader().unwrap().worker_unregistered(now, &"w0-0".into());
    world.run(seconds(9));
    expect_that!(world.state("a"), some(eq(GraphState::Completed)));
    expect_that!(world.begun_runs, eq(2));
    world.submit("now", "b", vec![step(2, 8, 500)]);
    world.run(Duration::from_millis(400));
    expect_false!(world.workers["w0-0"].was_given("b"));
    let whole = registration_of(&world, "w0-0");
    list(&mut world, whole);
    world.run(Duration::from_millis(200));
    expect_true!(world.workers["w0-0"].was_given("b"));
}

/// A list of workers in use that could not be read was taken for an empty one: the next leader started at
/// once what still ran at a worker that it could not reach.
#[gtest]
fn a_takeover_without_the_list_of_workers_waits_for_what_may_run() {
    let mut world = World::new(5, 2);
    world.run(seconds(1));
    world.submit("now", "a", vec![step(1, 8, 30_000)]);
    world.run(seconds(1));
    for worker in world.workers.values_mut().filter(|worker| worker.was_given("a")) {
        worker.reached = false;
    }
    world.store.spoilt = true;
    let epoch = world.store.epoch;
    world.leaders.remove(&epoch);
    world.elect();
    world.run(seconds(9));
    expect_that!(world.begun_runs, eq(1));
    world.run(seconds(40));
    expect_that!(world.state("a"), some(eq(GraphState::Completed)));
    expect_that!(world.begun_runs, eq(2));
}
