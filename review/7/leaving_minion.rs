//! A minion that is about to leave is cut off, and connections to it are refused, while its tasks run on.

#[path = "../shared-2/cluster.rs"]
mod cluster;
#[path = "../shared-2/http.rs"]
mod http;
#[path = "../shared-2/json.rs"]
mod json;
#[path = "../shared-2/overlap.rs"]
mod overlap;
#[path = "../shared-2/record.rs"]
mod record;
#[path = "../shared-2/store.rs"]
mod store;
#[path = "../shared-2/workers.rs"]
mod workers;

use std::process::exit;
use std::thread::sleep;
use std::time::{Duration, Instant};

use cluster::{Cluster, configure, listener};
use record::Record;
use store::Store;
use workers::Machines;

const ZONES: [&str; 3] = ["a", "b", "c"];
const MINIONS: u8 = 10;
/// `heartbeat_ms`, and the silence after which an entry is removed: three such intervals.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const SILENCE: Duration = Duration::from_millis(4_500);
/// `drain_ms`, which the minion reports as the least time that is left; it stays longer.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time from the report that it drains to the cut (`node_cut`, `servers refuse`), less than one status report interval.
const CUT_AFTER: Duration = Duration::from_millis(1_400);
const CUT: Duration = Duration::from_millis(5_500);
/// Work of a task, within the largest of the site.
const WORK_MS: u64 = 14_000;

fn main() {
    let mut args = std::env::args().skip(1);
    let (root, file) = (args.next().unwrap_or_default(), args.next().unwrap_or_default());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&file);
    let store = Store::new();
    configure(&store, 7, 3);
    let machines = Machines::new(&store, &record);
    for number in 0..MINIONS {
        let name = format!("machine-{number}");
        machines.add(listener(100 + number), &name, ZONES[usize::from(number) % 3], &["a", "r1-0"], 16_000);
    }
    let Ok(mut cluster) = Cluster::new(&root, &store, &record) else { exit(2) };
    for number in 0..3 {
        if cluster.add(number, ZONES[usize::from(number)], &ZONES).is_err() {
            drop(cluster);
            exit(2);
        }
    }
    if !cluster.wait_ready(Duration::from_secs(20)) {
        record.line("the processes are not ready");
        drop(cluster);
        exit(2);
    }
    sleep(Duration::from_secs(3));
    let body = format!(
        "{{\"spec\":\"{WORK_MS}\",\"steps\":[{{\"count\":12,\"millicpu\":5000,\"mem_mb\":1000,\"estimated_ms\":{WORK_MS}}}]}}"
    );
    let path = "/q/5c0e7a21d94b36f0";
    if !cluster.request(0, "POST", path, &body).is_some_and(|(status, _)| status == 200) {
        record.line("the job was not accepted");
        drop(cluster);
        exit(2);
    }
    sleep(Duration::from_millis(1_500));
    // A minion with tasks.
    let minion = machines.runs.lock().unwrap().first().map(|run| run.minion.clone()).unwrap_or_default();
    let machine = machines.all.lock().unwrap().iter().find(|machine| machines.id(machine) == minion).cloned();
    let Some(machine) = machine else {
        drop(cluster);
        exit(2)
    };
    let key = format!("servers/{minion}");
    machines.register(&machine, Some(DRAIN));
    let reported = Instant::now();
    record.line(&format!("{minion} reports that it drains, {} ms left at least", DRAIN.as_millis()));
    if trouble {
        sleep(CUT_AFTER);
        machines.set_refused(&machine, true);
        record.line(&format!("{minion} is cut off: connections to it are refused, and its reports do not reach the store"));
        sleep(SILENCE.saturating_sub(reported.elapsed()));
        store.remove(&key);
        record.line(&format!("the store removes the entry of {minion}, {} status report intervals after its last report", SILENCE.as_millis() / HEARTBEAT.as_millis()));
        sleep((CUT_AFTER + CUT).saturating_sub(reported.elapsed()));
        machines.set_refused(&machine, false);
        machines.register(&machine, Some(Duration::ZERO));
        record.line(&format!("{minion} is reached again"));
    } else {
        sleep(CUT_AFTER + CUT);
    }
    sleep(Duration::from_secs(1));
    let runs = machines.runs.lock().unwrap().clone();
    let broken = overlap::note_overlaps(&runs, &record);
    for index in 0..cluster.nodes.len() {
        for line in cluster.log(index).lines().filter(|line| line.contains("worker is gone") || line.contains("run lost")) {
            record.line(&format!("log: {line}"));
        }
    }
    drop(cluster);
    exit(i32::from(broken > 0));
}
