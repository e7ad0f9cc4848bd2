//! Several leaders: how the workers are divided, and jobs that more than one shard runs.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use kelplink::{
    DomainId, EntryId, GraphAnswer, GraphState, NoticeKind, RackId, ShardId, ShardPlan, StepSpec,
    TaskShare, WorkerId,
};

use crate::sim_cluster::{SimCluster, count_runs, seconds, step};

/// Half a core for each of the best machines.
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
fn a_large_fleet_has_a_leader_a_failure_domain() {
    let plan = fleet(&[220; 5]);
    let names: Vec<String> = plan.shards().iter().map(ToString::to_string).collect();
    expect_that!(names, eq(&vec!["d0", "d1", "d2", "d3", "d4"]));
    expect_that!(&*plan.shard_of(&"d3".into(), &"r1-7".into()), eq("d3"));
    // A domain that came later than the division belongs to one of its shards.
    let late_domain = plan.shard_of(&"d9".into(), &"r1-7".into());
    expect_true!(plan.shards().contains(&late_domain));
}

// Two services and two kinds of workers leave a gang with eight accelerators a task five workers of a shard of
// 117: in the shards of a fleet of 350 such gangs waited for good, while one leader carried it.
#[gtest]
fn a_fleet_with_small_domains_has_one_leader() {
    for workers in [vec![117, 117, 116], vec![300, 300, 50], vec![24; 5]] {
        expect_false!(fleet(&workers).is_divided(), "{workers:?}");
    }
    // However weak the machines are.
    let counts = (0..5).map(|number| (DomainId::from(format!("d{number}")), 24)).collect();
    expect_false!(ShardPlan::for_fleet(&counts, 0.12).is_divided());
}

#[gtest]
fn a_domain_that_no_machine_carries_is_divided_by_racks() {
    let plan = fleet(&[1_000, 200]);
    expect_that!(plan.shards().len(), eq(4));
    let mut racks: BTreeMap<ShardId, u32> = BTreeMap::new();
    for rack in 0..100 {
        let rack = RackId::from(format!("r1-{rack}"));
        *racks.entry(plan.shard_of(&"d0".into(), &rack)).or_default() += 1;
    }
    expect_that!(racks.len(), eq(3));
    expect_true!(racks.values().all(|count| *count >= 10), "{racks:?}");
    // Each shard of the domain has its own entries to ask for advice.
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
    // Callers of a domain without a leader are spread over the others.
    expect_that!(second_shards.len(), eq(4));
}

#[gtest]
fn a_plan_reads_back_as_it_was_written() {
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

// A third of a shard's workers may run a step, one task each: forty tasks want more than one shard of 30
// workers has.
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

// What a leader has told the others stands in the store: neither its loss nor theirs loses a share.
#[gtest]
fn a_job_that_is_shared_out_outlives_its_leaders() {
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

// A leader that runs a share of a job gives up a task of it that crashes its workers. Without a word to the job's owner
// its share stood still, and the job was shown as running for good.
#[gtest]
fn a_shared_job_fails_as_a_whole_when_one_share_has_a_task_that_crashes_its_workers() {
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
fn the_next_leader_of_a_share_tells_the_owner_that_a_task_is_given_up() {
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

// A caller whose first request was accepted in one shard, unanswered, comes back to another.
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

// A leader that has been succeeded and does not know it sees a notice as its successor does. Only what the
// store takes from it may run.
#[gtest]
fn a_succeeded_leader_runs_no_share() {
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

// Gangs of 31 tasks were accepted in shards of 24 workers, and asked for advice every two seconds for good.
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

// Three workers of eight cores, each with a lasting task of four: a gang of two tasks of six cores fits in the empty
// shard, and would wait for good. Where advice is needed, a part of the room that it allows is left to a gang.
#[gtest]
fn a_gang_is_measured_by_what_lasting_tasks_leave() {
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
