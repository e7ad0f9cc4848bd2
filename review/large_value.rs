//! Planned work only: a worker is drained and taken away, and the leader's process is stopped and started. Afterwards the
//! record of invalidated runs of one large scheduled job exceeds the largest value of the store.

use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::support::{Json, map};
use crate::cluster::{Cluster, Record, Shape, step};
use crate::worker::Health;

/// Every hour for thirty days.
const HOURS: u64 = 720;
const STEPS: u64 = 4;
const WIDTH: u64 = 25;
/// Time from the notice of a draining worker until it is gone (`drain_ms`).
const DRAIN: Duration = Duration::from_millis(2_000);
/// Run time of a task of the review.
const REVIEW_MS: u64 = 20_000;

pub fn run(folder: &str, trouble: bool) -> i32 {
    let record = Record::new(folder);
    let shape = Shape { entries: 4, workers: 8, millicpu: 32_000, max_attempts: 4 };
    let Some(mut cluster) = Cluster::start(record.clone(), &shape) else { return 2 };
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.as_millis() as u64);
    let hourly = "00000000000000b1";
    let steps = (0..STEPS).map(|index| match index {
        0 => step(WIDTH, 500, 500, &[]),
        index => step(WIDTH, 500, 500, &[index - 1]),
    });
    let body = map([
        ("spec", "500".into()),
        ("steps", steps.collect::<Vec<Json>>().into()),
        ("first_ms", (now + 3_600_000).into()),
        ("interval_ms", 3_600_000u64.into()),
        ("repeat_count", HOURS.into()),
    ]);
    // A review of two steps.
    let review = "00000000000000b2";
    let spec = REVIEW_MS.to_string();
    let review_steps =
        vec![step(4, 2_000, REVIEW_MS, &[]), step(4, 2_000, REVIEW_MS, &[0])];
    let review_body = map([("spec", spec.into()), ("steps", review_steps.into())]);
    if !cluster.submit(hourly, &body) || !cluster.submit(review, &review_body) {
        return 2;
    }
    let submitted = Instant::now();
    sleep(Duration::from_secs(2));
    if trouble {
        let idle = (0..8).find(|number| !has_runs(&cluster, *number, review)).unwrap_or(0);
        cluster.drain(idle, DRAIN);
        record.note(&format!("trouble: worker w{idle}, which runs nothing, reports that it drains"));
        sleep(DRAIN + Duration::from_millis(200));
        cluster.workers[idle].fall(Health::Dark);
        cluster.store.delete(&format!("servers/w{idle}"));
        record.note(&format!("worker w{idle} has left and is taken away"));
        sleep(Duration::from_millis(500));
        let Some(leader) = cluster.leader() else { return 2 };
        record.note(&format!("trouble: SIGTERM to the leader, entry {leader}"));
        let exited = cluster.stop_entry(leader);
        record.note(&format!("entry {leader} has exited by itself: {exited}"));
        cluster.start_entry(leader);
        record.note(&format!("entry {leader} is started again"));
    }
    // Both steps of the review have ended after 40 s; 14 s more (`finish_s`), and some.
    let deadline = Duration::from_millis(2 * REVIEW_MS + 22_000);
    let limit = deadline.saturating_sub(submitted.elapsed());
    let state = cluster.wait_state(review, &["completed", "failed"], limit);
    let later = "00000000000000b3";
    let small = map([("spec", "300".into()), ("steps", vec![step(1, 500, 300, &[])].into())]);
    let after = match cluster.submit(later, &small) {
        true => cluster.wait_state(later, &["completed", "failed"], Duration::from_secs(10)),
        false => "not accepted".to_owned(),
    };
    let done = record.done(&format!("{review}.0.0."));
    let started = record.first_starts(&format!("{review}.0.1."));
    record.note(&format!(
        "review {review}: {state}; step 0: {done} of 4 tasks done; step 1: {started} of 4 tasks started; \
         a small job submitted at the end: {after}; transactions refused for a value over the limit: {}",
        cluster.store.too_large()
    ));
    cluster.note_logs(&["storing a group took long", "ledger read", "leadership begins", "elected"]);
    // Step 0 ended 40 s ago, and most of the capacity is free.
    let lost = state != "completed" && done == 4 && started == 0;
    if lost {
        record.note("LOST: an accepted job has nothing running though its tasks' turn came long ago and the workers are idle");
    }
    match (lost, state.as_str()) {
        (true, _) => 1,
        (false, "completed") => 0,
        (false, _) => 2,
    }
}

fn has_runs(cluster: &Cluster, number: usize, job: &str) -> bool {
    (0..4).any(|index| cluster.workers[number].runs(&format!("{job}.0.0.{index}")))
}
