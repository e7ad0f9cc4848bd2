//! Compaction of the stored records of ended jobs.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use kelplink::{
    CallId, EndKind, EndReport, GraphAnswer, GraphId, GraphProgress, GraphRecord, GraphState,
    ResourceVector, ShardId, StepSpec, TaskKey, TaskName, WorkerId,
};

use crate::model_worker::ModelRun;
use crate::sim_cluster::{SimCluster, count_runs, seconds, step};

/// Time in which a leader without other work compacts the jobs of these tests.
const COMPACTION_TIME: Duration = Duration::from_secs(5);
/// Largest size of a compacted job with its progress in these tests, in bytes of JSON.
const MAX_COMPACT_BYTES: usize = 400;

/// A cluster whose leader has claimed all workers.
fn claimed_cluster(seed: u64, workers: u32) -> SimCluster {
    let mut cluster = SimCluster::new(seed, workers);
    cluster.run(seconds(1));
    cluster
}

/// Removes the leader and elects another.
fn take_over(cluster: &mut SimCluster) {
    let epoch = cluster.store.epoch;
    cluster.leaders.remove(&epoch);
    cluster.elect();
}

fn size(job: &(GraphRecord, GraphProgress)) -> usize {
    serde_json::to_vec(&job.0).unwrap().len() + serde_json::to_vec(&job.1).unwrap().len()
}

/// Bytes that a takeover reads of all jobs.
fn stored_bytes(cluster: &SimCluster) -> usize {
    cluster.store.jobs.values().map(size).sum()
}

fn is_compacted(cluster: &SimCluster, job: &str) -> bool {
    cluster.store.jobs[job].0.is_compacted()
}

fn compacted_jobs(cluster: &SimCluster) -> usize {
    cluster.store.jobs.values().filter(|(record, _)| record.is_compacted()).count()
}

/// Two steps of ten short tasks each.
fn two_steps() -> Vec<StepSpec> {
    vec![step(10, 1, 50), StepSpec { after: vec![0], ..step(10, 1, 50) }]
}

/// Submits a job that ends at once and runs until it is compacted.
fn compact_job(cluster: &mut SimCluster, id: &str) {
    cluster.submit("now", id, vec![step(1, 1, 100)]);
    cluster.run(COMPACTION_TIME);
    assert!(is_compacted(cluster, id), "{id} is not compacted");
}

/// What callers of two workspaces are told about a job: its state, and the answers to a repeated submission of either and
/// to a cancellation.
fn told(cluster: &mut SimCluster, id: &str) -> (Option<GraphState>, Vec<Option<GraphAnswer>>) {
    let shard = cluster.plan.shards()[0].clone();
    let submit = |cluster: &mut SimCluster, workspace: &str| {
        cluster.submit_for(&shard, "now", id, Some(workspace))
    };
    let calls = [submit(cluster, "one"), submit(cluster, "two"), cluster.cancel(id)];
    cluster.run(Duration::from_millis(100));
    let answer = |call: &CallId| cluster.answers.get(call).cloned();
    let answers = calls.iter().map(answer).collect();
    (cluster.state(id), answers)
}

// A takeover read 960 jobs whole, most of which were over, and nothing was served for 11.5 s.
#[gtest]
fn a_takeover_reads_few_bytes_of_ended_jobs() {
    let mut cluster = claimed_cluster(301, 20);
    cluster.submit("now", "job0", two_steps());
    cluster.run(Duration::from_millis(30));
    let whole = size(&cluster.store.jobs["job0"]);
    for number in 1..60 {
        cluster.submit("now", &format!("job{number}"), two_steps());
        cluster.run(Duration::from_millis(30));
    }
    cluster.submit("later", "open", vec![step(1, 1, 600_000)]);
    cluster.run(COMPACTION_TIME);
    expect_that!(compacted_jobs(&cluster), eq(60));
    expect_false!(is_compacted(&cluster, "open"));
    let open = size(&cluster.store.jobs["open"]);
    expect_that!(stored_bytes(&cluster) - open, le(60 * MAX_COMPACT_BYTES));
    expect_that!(whole, gt(2 * MAX_COMPACT_BYTES));
    // Each job was compacted once, in one key.
    expect_that!(cluster.store.compacted, eq(60));
    take_over(&mut cluster);
    cluster.run(seconds(5));
    expect_that!(cluster.store.compacted, eq(60));
    expect_that!(cluster.state("job7"), some(eq(GraphState::Completed)));
    expect_that!(cluster.state("open"), some(eq(GraphState::Running)));
}

// Each compaction in a group of its own would take a large part of the calls that the store allows.
#[gtest]
fn compactions_share_groups() {
    let mut cluster = claimed_cluster(302, 20);
    for number in 0..100 {
        cluster.submit("now", &format!("job{number:03}"), vec![step(1, 1, 100)]);
    }
    cluster.run(Duration::from_millis(600));
    let (groups, compacted) = (cluster.store.groups, cluster.store.compacted);
    cluster.run(COMPACTION_TIME);
    expect_that!(compacted_jobs(&cluster), eq(100));
    let rest = 100 - compacted;
    expect_that!(cluster.store.groups - groups, le(rest.div_ceil(28) + 8));
}

fn check_told(seed: u64, verdict: GraphState, cancelled: GraphAnswer, is_public: bool) {
    let mut cluster = claimed_cluster(seed, 4);
    if is_public {
        let mut config = (*cluster.config).clone();
        config.version += 1;
        let rule = Arc::make_mut(config.queues.get_mut("now").unwrap());
        rule.public = true;
        cluster.config = Arc::new(config);
        let config = cluster.config.clone();
        cluster.leader().unwrap().set_config(config);
    }
    cluster.failing_jobs.extend((verdict == GraphState::Failed).then(|| GraphId::from("a")));
    let shard: ShardId = cluster.plan.shards()[0].clone();
    cluster.submit_for(&shard, "now", "a", Some("one"));
    if verdict == GraphState::Cancelled {
        cluster.run(Duration::from_millis(30));
        cluster.cancel("a");
    }
    while cluster.state("a") != Some(verdict) {
        cluster.run(Duration::from_millis(5));
    }
    let other = if is_public { GraphAnswer::Accepted } else { GraphAnswer::NameTaken };
    let expected = (Some(verdict), vec![Some(GraphAnswer::Accepted), Some(other), Some(cancelled)]);
    expect_that!(told(&mut cluster, "a"), eq(&expected), "before the compaction");
    cluster.run(COMPACTION_TIME);
    expect_true!(is_compacted(&cluster, "a"));
    expect_that!(size(&cluster.store.jobs["a"]), le(MAX_COMPACT_BYTES));
    expect_that!(told(&mut cluster, "a"), eq(&expected), "under the same leader");
    take_over(&mut cluster);
    expect_that!(told(&mut cluster, "a"), eq(&expected), "under a later leader");
    let runs = cluster.started_runs;
    cluster.run(seconds(20));
    expect_that!(told(&mut cluster, "a"), eq(&expected), "after all inherited leases have ended");
    expect_that!(cluster.started_runs, eq(runs));
    // Retention, and another job to make a group due.
    cluster.run(seconds(120));
    cluster.submit("now", "b", vec![step(1, 1, 100)]);
    cluster.run(seconds(2));
    expect_false!(cluster.store.jobs.contains_key("a"));
    expect_that!(cluster.state("a"), none());
}

// A later leader that knows a job only from its compact record must not tell callers anything else.
#[gtest]
fn a_completed_job_answers_as_before_its_compaction() {
    check_told(303, GraphState::Completed, GraphAnswer::Gone, false);
}

#[gtest]
fn a_failed_job_answers_as_before_its_compaction() {
    check_told(304, GraphState::Failed, GraphAnswer::Gone, false);
}

#[gtest]
fn a_cancelled_job_answers_as_before_its_compaction() {
    check_told(305, GraphState::Cancelled, GraphAnswer::Cancelled, false);
}

#[gtest]
fn a_job_of_a_public_queue_answers_as_before_its_compaction() {
    check_told(306, GraphState::Completed, GraphAnswer::Gone, true);
}

// Compactions in place of progress, verdicts or new jobs would delay what workers and callers wait for.
#[gtest]
fn compaction_waits_while_urgent_changes_fill_the_groups() {
    let mut cluster = claimed_cluster(308, 60);
    cluster.store.commit_delay = Duration::from_millis(240);
    // Each of these jobs changes several times a second, and there are more of them than a group has keys.
    let chain: Vec<StepSpec> = (0..100_u32)
        .map(|index| StepSpec {
            after: index.checked_sub(1).into_iter().collect(),
            ..step(1, 1, 60)
        })
        .collect();
    for number in 0..90 {
        cluster.submit("later", &format!("busy{number:02}"), chain.clone());
    }
    cluster.run(seconds(3));
    for number in 0..10 {
        cluster.submit("now", &format!("job{number}"), vec![step(1, 1, 100)]);
    }
    cluster.run(seconds(3));
    expect_that!(cluster.state("job0"), some(eq(GraphState::Completed)));
    expect_that!(cluster.state("busy00"), some(eq(GraphState::Running)));
    expect_that!(cluster.store.compacted, eq(0));
    for number in 0..90 {
        cluster.cancel(&format!("busy{number:02}"));
    }
    cluster.run(seconds(60));
    for (id, (record, progress)) in &cluster.store.jobs {
        expect_true!(record.is_compacted(), "{id}: {progress:?}");
    }
}

// A group that is due only to acknowledge ends needs no call to the store; filled with compactions it would need one.
#[gtest]
fn a_leader_with_work_sends_no_group_earlier_for_compactions() {
    let mut cluster = claimed_cluster(309, 10);
    compact_job(&mut cluster, "first");
    let groups = cluster.store.groups;
    cluster.run(seconds(30));
    expect_that!(
        cluster.store.groups,
        eq(groups),
        "an idle leader without ended jobs sends groups"
    );
    cluster.submit("now", "a", vec![step(1, 1, 100)]);
    cluster.run(Duration::from_millis(300));
    // The group with the verdict was sent before the job could be compacted.
    expect_that!(cluster.state("a"), some(eq(GraphState::Completed)));
    expect_false!(is_compacted(&cluster, "a"));
    cluster.run(seconds(1));
    expect_true!(is_compacted(&cluster, "a"));
}

// The store takes the verdict and then refuses everything: the compaction is due again, and new jobs are rejected or
// accepted as without it.
#[gtest]
fn a_refused_compaction_is_made_later() {
    let mut cluster = claimed_cluster(310, 4);
    cluster.submit("now", "a", vec![step(1, 1, 100)]);
    while cluster.state("a") != Some(GraphState::Completed) {
        cluster.run(Duration::from_millis(5));
    }
    (cluster.store.up, cluster.store.refuses) = (false, true);
    cluster.run(seconds(4));
    let rejected = cluster.submit("now", "b", vec![step(1, 1, 100)]);
    cluster.run(seconds(2));
    expect_that!(cluster.answers.get(&rejected), some(matches_pattern!(GraphAnswer::Rejected(_))));
    expect_false!(is_compacted(&cluster, "a"));
    expect_that!(cluster.state("a"), some(eq(GraphState::Completed)));
    cluster.store.up = true;
    let accepted = cluster.submit("now", "c", vec![step(1, 1, 100)]);
    cluster.run(Duration::from_millis(500));
    expect_that!(cluster.answers.get(&accepted), some(eq(&GraphAnswer::Accepted)));
    cluster.run(COMPACTION_TIME);
    expect_that!(compacted_jobs(&cluster), eq(2));
    expect_that!(cluster.store.compacted, eq(2));
}

// The store applies the compaction, its answer is lost with the leader, and the next leader finds the compact record.
#[gtest]
fn a_compaction_whose_answer_is_lost_has_taken_effect() {
    let mut cluster = claimed_cluster(311, 4);
    cluster.submit("now", "a", vec![step(1, 1, 100)]);
    while cluster.state("a") != Some(GraphState::Completed) {
        cluster.run(Duration::from_millis(5));
    }
    cluster.store.commit_delay = seconds(60);
    while !is_compacted(&cluster, "a") {
        cluster.run(Duration::from_millis(5));
    }
    cluster.store.commit_delay = Duration::ZERO;
    take_over(&mut cluster);
    expect_that!(cluster.state("a"), some(eq(GraphState::Completed)));
    cluster.submit("now", "b", vec![step(1, 1, 100)]);
    cluster.run(COMPACTION_TIME);
    expect_that!(compacted_jobs(&cluster), eq(2));
    expect_that!(cluster.store.compacted, eq(2));
}

// The leader is lost after the verdict is stored and before the compaction: its successor makes it, but not before all
// workers that may have runs of the job have answered.
#[gtest]
fn a_takeover_between_verdict_and_compaction_leaves_no_job_whole() {
    let mut cluster = claimed_cluster(312, 4);
    cluster.submit("now", "a", vec![step(8, 1, 100)]);
    while cluster.state("a") != Some(GraphState::Completed) {
        cluster.run(Duration::from_millis(5));
    }
    let worker = cluster.workers.values_mut().next().unwrap();
    worker.connected = false;
    take_over(&mut cluster);
    cluster.run(seconds(3));
    expect_that!(cluster.state("a"), some(eq(GraphState::Completed)));
    expect_false!(is_compacted(&cluster, "a"));
    cluster.run(seconds(30));
    expect_true!(is_compacted(&cluster, "a"));
    expect_that!(cluster.started_runs, eq(8));
}

// The other members of a gang end after the one with which the job completed.
#[gtest]
fn a_job_with_runs_is_not_compacted() {
    let mut cluster = claimed_cluster(313, 4);
    cluster.planned_faults.stops_to_lose = 1_000;
    cluster.submit("now", "a", vec![step(1, 1, 60_000)]);
    cluster.run(seconds(1));
    cluster.workers.values_mut().for_each(|worker| worker.fault_free_since = cluster.now);
    cluster.cancel("a");
    cluster.run(seconds(2));
    expect_that!(cluster.state("a"), some(eq(GraphState::Cancelled)));
    expect_that!(count_runs(&cluster, "a"), eq(1));
    expect_false!(is_compacted(&cluster, "a"));
    cluster.planned_faults.stops_to_lose = 0;
    cluster.run(seconds(5));
    expect_that!(count_runs(&cluster, "a"), eq(0));
    expect_true!(is_compacted(&cluster, "a"));
}

fn end_report(number: u64, task: &TaskName, run: u64, kind: EndKind) -> EndReport {
    EndReport { number, task: task.clone(), run, kind, checkpoint: String::new() }
}

// A worker that was not reached for long still has a run of a compacted job, and ends of it on its list.
#[gtest]
fn runs_and_ends_of_a_compacted_job_are_settled_after_a_takeover() {
    let mut cluster = claimed_cluster(314, 2);
    compact_job(&mut cluster, "a");
    let runs = cluster.started_runs;
    let (now, id) = (cluster.now, WorkerId::from("w1-0"));
    let task = |index| TaskName::new("a".into(), TaskKey::new(0, 0, index));
    let (ended, found) = (task(0), task(1));
    take_over(&mut cluster);
    let worker = cluster.workers.get_mut(&id).unwrap();
    let run = ModelRun {
        length_percent: 100,
        run: 1,
        need: ResourceVector::new(1_000, 1_000, 0),
        started_at: now,
        declared_run_time: seconds(600),
        fails: false,
        stop_time: None,
    };
    worker.runs.insert(found, run);
    for kind in [EndKind::Done, EndKind::Failed, EndKind::Stopped] {
        worker.last_end += 1;
        worker.ends.push(end_report(worker.last_end, &ended, 1, kind));
    }
    cluster.run(seconds(2));
    expect_that!(count_runs(&cluster, "a"), eq(0));
    expect_that!(cluster.workers[&id].ends, is_empty());
    expect_that!(cluster.state("a"), some(eq(GraphState::Completed)));
    cluster.run(seconds(20));
    expect_that!(cluster.started_runs, eq(runs));
    // The worker gets work again.
    cluster.submit("now", "b", vec![step(16, 1, 60_000)]);
    cluster.run(seconds(2));
    expect_that!(count_runs(&cluster, "b"), eq(16));
}

// The first run of a task was given up and the task started again. When its worker reports after a takeover that the run
// has ended in time, this must not be acknowledged, also when only the compact record is left.
#[gtest]
fn the_end_of_a_superseded_run_of_a_compacted_job_is_not_acknowledged() {
    let mut cluster = claimed_cluster(315, 4);
    cluster.submit("now", "a", vec![step(1, 1, 3_000)]);
    cluster.run(seconds(2));
    let holder = cluster.workers.values().find(|worker| !worker.runs.is_empty());
    let holder = holder.unwrap().id().clone();
    cluster.workers.get_mut(&holder).unwrap().connected = false;
    cluster.run(seconds(20));
    expect_that!(cluster.state("a"), some(eq(GraphState::Completed)));
    expect_true!(is_compacted(&cluster, "a"));
    expect_that!(cluster.store.jobs["a"].1.floors.len(), eq(1));
    take_over(&mut cluster);
    cluster.workers.get_mut(&holder).unwrap().connected = true;
    cluster.run(seconds(5));
    let kinds: Vec<EndKind> = cluster.workers[&holder].ends.iter().map(|end| end.kind).collect();
    expect_that!(kinds, contains(eq(&EndKind::Done)));
    expect_that!(cluster.started_runs, eq(2));
}
