//! A worker lists 500 ends at a time. While the store is down no end is acknowledged, so more than 500 wait.

use std::collections::{BTreeMap, BTreeSet};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::support::map;
use crate::cluster::{Cluster, End, Record, Shape, Start, step};

/// Time for which the store answers 503.
const OUTAGE: Duration = Duration::from_millis(4_500);
/// Time from the return of the store to the planned stop of the leader: longer than `contact_ms`.
const PAUSE: Duration = Duration::from_millis(8_000);
const TASKS: u64 = 1_800;
const TASK_MS: u64 = 200;

pub fn run(folder: &str, trouble: bool) -> i32 {
    let record = Record::new(folder);
    let shape = Shape { entries: 3, workers: 3, millicpu: 32_000, max_attempts: 4 };
    let Some(mut cluster) = Cluster::start(record.clone(), &shape) else { return 2 };
    let job = "00000000000000a1";
    let body = map([
        ("spec", TASK_MS.to_string().into()),
        ("steps", vec![step(TASKS, 250, TASK_MS, &[])].into()),
    ]);
    if !cluster.submit(job, &body) {
        return 2;
    }
    let begun = Instant::now();
    if trouble {
        sleep(Duration::from_millis(100));
        record.note("trouble: the store answers 503");
        cluster.store.go_down();
    }
    let mut most = 0;
    while begun.elapsed() < OUTAGE {
        most = cluster.workers.iter().map(|worker| worker.unacked_ends()).max().unwrap_or(0).max(most);
        sleep(Duration::from_millis(20));
    }
    record.note(&format!("most ends that waited at one worker: {most}"));
    if trouble {
        cluster.store.come_back();
        record.note("the store answers again");
    }
    sleep(PAUSE);
    let before = started_after_done(&record).len();
    record.note(&format!("tasks started after an acknowledged `done` so far: {before}"));
    // A rolling restart, with and without the outage.
    let Some(leader) = cluster.leader() else { return 2 };
    record.note(&format!("planned work: SIGTERM to the leader, entry {leader}"));
    let exited = cluster.stop_entry(leader);
    cluster.start_entry(leader);
    record.note(&format!("entry {leader} has exited by itself: {exited}, and is started again"));
    let state = cluster.wait_state(job, &["completed", "failed"], Duration::from_secs(20));
    sleep(Duration::from_secs(5));
    cluster.note_logs(&["run lost"]);
    let twice = started_after_done(&record);
    for (start, end) in twice.iter().take(5) {
        record.note(&format!(
            "TWICE: {} run {} ended done at {:.3} s on {} (end {}, acknowledged since); run {} began at {:.3} s on {}",
            start.task, end.run, record.seconds(end.at), end.worker, end.number, start.run,
            record.seconds(start.at), start.worker
        ));
    }
    let started = record.starts.lock().unwrap().len();
    record.note(&format!(
        "{TASKS} tasks, {started} starts, {} tasks done, job {state}; tasks started after a `done` that was acknowledged then or later: {}",
        record.done(job),
        twice.len()
    ));
    i32::from(!twice.is_empty())
}

/// The tasks that were started although a run of theirs had ended `done`, where that end has been acknowledged.
fn started_after_done(record: &Record) -> Vec<(Start, End)> {
    let (starts, ends) = (record.starts.lock().unwrap(), record.ends.lock().unwrap());
    let acks = record.acks.lock().unwrap();
    // No end of a worker counts if its lease ever lapsed.
    let lapsed = ends.iter().filter(|end| end.how == "lapsed");
    let lapsed: BTreeSet<&String> = lapsed.map(|end| &end.worker).collect();
    let mut done: BTreeMap<&String, &End> = BTreeMap::new();
    for end in ends.iter().filter(|end| end.how == "done" && !lapsed.contains(&end.worker)) {
        if acks.get(&end.worker).is_some_and(|cursor| *cursor >= end.number) {
            let first = done.entry(&end.task).or_insert(end);
            if end.at < first.at {
                *first = end;
            }
        }
    }
    let mut twice: BTreeMap<&String, (Start, End)> = BTreeMap::new();
    for start in starts.iter() {
        match done.get(&start.task) {
            Some(end) if start.at > end.at && start.run != end.run => {
                twice.entry(&start.task).or_insert_with(|| (start.clone(), (*end).clone()));
            }
            _ => {}
        }
    }
    twice.into_values().collect()
}
