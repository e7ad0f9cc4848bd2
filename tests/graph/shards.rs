//! Several leaders: the division of workers into shards, and jobs that several shards run.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use kelplink::{
    CallId, DomainId, EntryId, GraphAnswer, GraphState, NoticeKind, RackId, ShardId, ShardPlan,
    StepSpec, TaskShare, WorkerId,
};

use crate::sim_cluster::{SimCluster, count_runs, seconds, step};

/// Half a core for each of the fastest machines.
const CPU_SHARE: f64 = 0.5;

fn fleet(workers: &[usize]) -> ShardPlan {
    let counts = workers.iter().enumerate();
    let counts = counts.map(|(number, count)| (DomainId::from(format!("d{number}")), *count));
    ShardPlan::for_fleet(&counts.collect(), CPU_SHARE)
}

fn lasting(count: u32) -> StepSpec {
    StepSpec { lasting: true, max_per_worker: Some(1), ..step(count, 1, 600_000) }
}

fn shards(cluster: &SimCluster) -> Vec<ShardId> {
    cluster.plan.shards()
}

/// Kills a shard's leader.
fn kill_leader(cluster: &mut SimCluster, shard: &ShardId) {
    let epoch = cluster.epoch_in(shard);
    cluster.leaders.remove(&epoch);
}

#[gtest]
fn a_small_fleet_has_one_leader() {
    let plan = fleet(&[16, 16, 16]);
    expect_that!(plan.shards(), eq(&vec![ShardId::from("")]));
    expect_false!(plan.is_divided());
    expect_that!(&*plan.shard_of(&"d1".into(), &"r1-1".into()), eq(""));
}

#[gtest]
fn a_large_fleet_has_a_leader_per_failure_domain() {
    let plan = fleet(&[220; 5]);
    let names: Vec<String> = plan.shards().iter().map(ToString::to_string).collect();
    expect_that!(names, eq(&vec!["d0", "d1", "d2", "d3", "d4"]));
    expect_that!(&*plan.shard_of(&"d3".into(), &"r1-7".into()), eq("d3"));
    // A domain that is not in the plan belongs to one of its shards.
    let unplanned_domain = plan.shard_of(&"d9".into(), &"r1-7".into());
    expect_true!(plan.shards().contains(&unplanned_domain));
}

// With two services and two kinds of workers, only five workers of a shard of 117 fit a gang with
// eight accelerators a task: in the shards of a fleet of 350 such gangs waited forever, while a
// single leader placed them.
#[gtest]
fn a_fleet_with_small_domains_has_one_leader() {
    for workers in [vec![117, 117, 116], vec![300, 300, 50], vec![24; 5]] {
        expect_false!(fleet(&workers).is_divided(), "{workers:?}");
    }
    // The same holds for slow machines.
    let counts = (0..5).map(|number| (DomainId::from(format!("d{number}")), 24)).collect();
    expect_false!(ShardPlan::for_fleet(&counts, 0.12).is_divided());
}

#[gtest]
fn a_domain_too_large_for_one_leader_is_divided_by_racks() {
    let plan = fleet(&[1_000, 200]);
    expect_that!(plan.shards().len(), eq(4));
    let mut racks: BTreeMap<ShardId, u32> = BTreeMap::new();
    for rack in 0..100 {
        let rack = RackId::from(format!("r1-{rack}"));
        *racks.entry(plan.shard_of(&"d0".into(), &rack)).or_default() += 1;
    }
    expect_that!(racks.len(), eq(3));
    expect_true!(racks.values().all(|count| *count >= 10), "{racks:?}");
    // Each entry advises exactly one shard of the domain.
    for number in 0..50 {
        let entry = EntryId::from(format!("e{number}"));
        let advised_shards = plan.shards();
        let advised_shards =
            advised_shards.iter().filter(|shard| plan.is_advised_by(shard, &entry, &"d0".into()));
        expect_that!(advised_shards.count(), eq(1));
    }
}

#[gtest]
fn a_job_goes_to_its_own_domain_first_and_then_to_all_others() {
    let plan = fleet(&[220; 5]);
    let mut second_shards = BTreeSet::new();
    for number in 0..40 {
        let order = plan.shard_order(&"d2".into(), &format!("{number}").into());
        expect_that!(&*order[0], eq("d2"));
        expect_that!(order.iter().collect::<BTreeSet<_>>().len(), eq(5));
        second_shards.insert(order[1].clone());
    }
    // Callers of a domain without a leader are distributed over the others.
    expect_that!(second_shards.len(), eq(4));
}

#[gtest]
fn a_serialized_plan_deserializes_to_the_same_plan() {
    for plan in [ShardPlan::undivided(), fleet(&[220; 5]), fleet(&[1_000, 200])] {
        let text = serde_json::to_string(&plan).unwrap();
        expect_that!(serde_json::from_str::<ShardPlan>(&text).unwrap(), eq(&plan));
    }
}

#[gtest]
fn each_task_belongs_to_exactly_one_share() {
    for weights in [vec![1, 1], vec![220, 0, 220, 219, 3], vec![7, 1, 1]] {
        let names = (0..weights.len()).map(|number| ShardId::from(format!("s{number}")));
        let shares: Vec<(ShardId, usize)> = names.zip(weights).collect();
        let share = TaskShare::new(shares[0].0.clone(), &shares);
        for count in [1, 2, 13, 40, 240, 10_000] {
            for index in 0..count {
                let holds = |(shard, _): &&(ShardId, usize)| share.holds(shard, index, count);
                expect_that!(shares.iter().filter(holds).count(), eq(1), "{index} of {count}");
            }
        }
    }
}

// Leaders expect advice to allow a third of a shard's workers, and each may run one task of the
// step: forty tasks need more workers than one shard of 30 has.
#[gtest]
fn a_lasting_job_that_is_wider_than_a_shard_runs_in_several() {
    let mut cluster = SimCluster::sharded(41, 90, 3);
    let home = shards(&cluster)[1].clone();
    let workers: Vec<WorkerId> = cluster.workers.keys().cloned().collect();
    cluster.allowed = Some(workers.into_iter().step_by(2).collect());
    cluster.run(seconds(1));
    let call = cluster.submit_in(&home, "asked", "a", vec![lasting(40)]);
    cluster.run(seconds(3));
    expect_that!(cluster.answers.get(&call), some(eq(&GraphAnswer::Accepted)));
    expect_that!(count_runs(&cluster, "a"), eq(40));
    expect_that!(cluster.state_in("a"), some(eq(GraphState::Running)));
    let call = cluster.cancel_in(&home, "a");
    cluster.run(seconds(2));
    expect_that!(cluster.answers.get(&call), some(eq(&GraphAnswer::Cancelled)));
    expect_that!(count_runs(&cluster, "a"), eq(0));
}

// A workspace that submitted a job under the name of another workspace's job in another shard was told that the job
// was accepted.
#[gtest]
fn a_name_that_another_workspace_uses_in_another_shard_is_refused() {
    let mut cluster = SimCluster::sharded(46, 90, 3);
    let [first, second] = [0, 1].map(|index| shards(&cluster)[index].clone());
    cluster.run(seconds(1));
    cluster.submit_for(&first, "now", "shared", Some("a"));
    cluster.submit_for(&first, "now", "anonymous", None);
    cluster.run(seconds(1));
    let mut answer = |id, workspace, others: &[&str]| {
        let call = cluster.submit_for(&second, "now", id, Some(workspace));
        let others: Vec<CallId> = others
            .iter()
            .map(|other| cluster.submit_for(&second, "now", id, Some(other)))
            .collect();
        cluster.run(seconds(1));
        let answers = [call].into_iter().chain(others);
        answers.filter_map(|call| cluster.answers.get(&call).cloned()).collect::<Vec<_>>()
    };
    expect_that!(answer("anonymous", "b", &[]), eq(&[GraphAnswer::Accepted]));
    expect_that!(answer("shared", "a", &[]), eq(&[GraphAnswer::Accepted]));
    // Until the store has decided whose name it is, its holder is not refused.
    let answers = answer("shared", "b", &["a"]);
    expect_that!(answers, eq(&[GraphAnswer::NameTaken, GraphAnswer::Unready]));
}

// The notices from a leader to the others are stored, so a share survives the loss of either
// leader.
#[gtest]
fn a_shared_job_survives_the_loss_of_leaders() {
    let mut cluster = SimCluster::sharded(42, 30, 3);
    let all = shards(&cluster);
    cluster.run(seconds(1));
    kill_leader(&mut cluster, &all[2]);
    cluster.submit_in(&all[0], "now", "a", vec![lasting(20)]);
    cluster.run(Duration::from_millis(30));
    kill_leader(&mut cluster, &all[0]);
    cluster.run(seconds(1));
    cluster.elect_in(&all[0]);
    cluster.elect_in(&all[2]);
    cluster.run(seconds(20));
    expect_that!(count_runs(&cluster, "a"), eq(20));
    kill_leader(&mut cluster, &all[1]);
    cluster.cancel_in(&all[0], "a");
    cluster.run(Duration::from_millis(30));
    kill_leader(&mut cluster, &all[0]);
    cluster.run(seconds(1));
    cluster.elect_in(&all[0]);
    cluster.elect_in(&all[1]);
    cluster.run(seconds(15));
    expect_that!(count_runs(&cluster, "a"), eq(0));
    expect_that!(cluster.state_in("a"), some(eq(GraphState::Cancelled)));
}

// A leader that runs a share of a job gives up a task of it that crashes its workers. Without a
// notice to the job's owner its share made no progress, and the job was reported as running
// forever.
#[gtest]
fn a_shared_job_fails_when_one_share_has_a_task_that_crashes_its_workers() {
    let mut cluster = SimCluster::sharded(48, 24, 3);
    cluster.refuses_when_down = true;
    let all = shards(&cluster);
    cluster.run(seconds(1));
    for (job, index) in [("a", 1), ("b", 18)] {
        cluster
            .crashing_tasks
            .insert(format!("{job}.0.0.{index}").parse().unwrap(), Duration::from_millis(10));
        cluster.submit_in(&all[0], "now", job, vec![lasting(20)]);
        cluster.run(seconds(20));
        expect_that!(cluster.state_in(job), some(eq(GraphState::Failed)), "{job}");
        expect_that!(count_runs(&cluster, job), eq(0), "{job}");
    }
}

// The leader of the share is lost as soon as it has stored that the task is given up.
#[gtest]
fn the_next_leader_of_a_share_notifies_the_owner_of_a_failed_task() {
    let mut cluster = SimCluster::sharded(49, 24, 3);
    cluster.refuses_when_down = true;
    let all = shards(&cluster);
    cluster.run(seconds(1));
    cluster.crashing_tasks.insert("a.0.0.18".parse().unwrap(), Duration::from_millis(10));
    cluster.submit_in(&all[0], "now", "a", vec![lasting(20)]);
    let given_up = |cluster: &SimCluster| {
        let parts = cluster.store.shards.values().flat_map(|shard| shard.parts.values());
        parts.into_iter().any(|(_, progress)| progress.verdict.is_some())
    };
    for _ in 0..4_000 {
        if given_up(&cluster) {
            break;
        }
        cluster.run(Duration::from_millis(5));
    }
    expect_true!(given_up(&cluster));
    kill_leader(&mut cluster, &all[2]);
    cluster.run(seconds(1));
    cluster.elect_in(&all[2]);
    cluster.run(seconds(5));
    expect_that!(cluster.state_in("a"), some(eq(GraphState::Failed)));
    expect_that!(count_runs(&cluster, "a"), eq(0));
}

// A caller whose first request was accepted in one shard, but not answered, submits the job again
// in another.
#[gtest]
fn a_job_submitted_in_two_shards_is_one_job() {
    let mut cluster = SimCluster::sharded(43, 12, 3);
    let all = shards(&cluster);
    cluster.run(seconds(1));
    let first = cluster.submit_in(&all[0], "now", "a", vec![step(2, 1, 500)]);
    let second = cluster.submit_in(&all[1], "now", "a", vec![step(2, 1, 500)]);
    cluster.run(seconds(3));
    let third = cluster.submit_in(&all[2], "now", "a", vec![step(2, 1, 500)]);
    cluster.run(seconds(2));
    for call in [first, second, third] {
        expect_that!(cluster.answers.get(&call), some(eq(&GraphAnswer::Accepted)));
    }
    expect_that!(cluster.started_runs, eq(2));
    expect_that!(cluster.state_in("a"), some(eq(GraphState::Completed)));
}

#[gtest]
fn a_job_goes_to_the_shard_with_its_data() {
    let mut cluster = SimCluster::sharded(44, 12, 3);
    let all = shards(&cluster);
    let worker = cluster.workers.values().find(|worker| &*worker.registration.domain == "d2");
    let rack = worker.unwrap().registration.rack.clone();
    for worker in cluster.workers.values_mut() {
        worker.registration.rack =
            format!("{}-{}", worker.registration.rack, worker.registration.domain).into();
    }
    let rack = RackId::from(format!("{rack}-d2"));
    for shard in &all {
        cluster.elect_in(shard);
    }
    cluster.run(seconds(1));
    let near = StepSpec { affinity: Some(rack), ..step(2, 1, 500) };
    let call = cluster.submit_in(&all[0], "now", "a", vec![near.clone()]);
    cluster.run(seconds(1));
    let elsewhere = GraphAnswer::Elsewhere(Arc::from("d2"));
    expect_that!(cluster.answers.get(&call), some(eq(&elsewhere)));
    let call = cluster.submit_in(&all[2], "now", "a", vec![near]);
    cluster.run(seconds(1));
    expect_that!(cluster.answers.get(&call), some(eq(&GraphAnswer::Accepted)));
}

// A deposed leader that has not detected its successor reads the same notices as that successor.
// Only a share that the store accepts from its leader may run.
#[gtest]
fn a_deposed_leader_runs_no_share() {
    let mut cluster = SimCluster::sharded(45, 12, 2);
    let all = shards(&cluster);
    cluster.run(seconds(1));
    cluster.elect_in(&all[1]);
    cluster.submit_in(&all[0], "now", "a", vec![lasting(8)]);
    cluster.run(seconds(5));
    expect_that!(count_runs(&cluster, "a"), eq(8));
    expect_that!(cluster.started_runs, eq(8));
    expect_that!(NoticeKind::Start, lt(NoticeKind::Cancel));
}

// Gangs of 31 tasks were accepted in shards of 24 workers, and requested advice every two seconds
// without end.
#[gtest]
fn a_gang_that_no_shard_can_hold_is_rejected_at_once() {
    let mut cluster = SimCluster::sharded(46, 9, 3);
    let home = shards(&cluster)[0].clone();
    cluster.run(seconds(1));
    let gang = |count| StepSpec { gang: true, ..step(count, 6, 500) };
    let fits = cluster.submit_in(&home, "now", "a", vec![gang(3)]);
    let large = cluster.submit_in(&home, "now", "b", vec![gang(4)]);
    cluster.run(seconds(3));
    expect_that!(cluster.answers.get(&fits), some(eq(&GraphAnswer::Accepted)));
    expect_that!(cluster.state_in("a"), some(eq(GraphState::Completed)));
    let rejection = GraphAnswer::Rejected(seconds(60));
    expect_that!(cluster.answers.get(&large), some(eq(&rejection)));
}

// Three workers of eight cores each run a lasting task of four: a gang of two tasks of six cores
// fits in the empty shard, and would wait forever. Where advice is needed, only a part of the
// capacity that it allows counts for a gang.
#[gtest]
fn a_gang_must_fit_beside_lasting_tasks() {
    let mut cluster = SimCluster::sharded(47, 9, 3);
    let home = shards(&cluster)[0].clone();
    cluster.run(seconds(1));
    for number in 0..3 {
        let steps = vec![StepSpec { lasting: true, ..step(3, 4, 600_000) }];
        cluster.submit_in(&home, "now", &format!("l{number}"), steps);
        cluster.run(seconds(1));
    }
    let gang = |cores| StepSpec { gang: true, ..step(2, cores, 500) };
    let large = cluster.submit_in(&home, "now", "a", vec![gang(6)]);
    let fits = cluster.submit_in(&home, "now", "b", vec![gang(2)]);
    let advised = cluster.submit_in(&home, "asked", "c", vec![gang(2)]);
    cluster.run(seconds(2));
    let rejection = GraphAnswer::Rejected(seconds(60));
    expect_that!(cluster.answers.get(&large), some(eq(&rejection)));
    expect_that!(cluster.answers.get(&fits), some(eq(&GraphAnswer::Accepted)));
    expect_that!(cluster.answers.get(&advised), some(eq(&rejection)));
}
