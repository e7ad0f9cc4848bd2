//! The leader is turned away by the store and its zone is cut off; the next leader is killed soon after its
//! election. The one after it must not start tasks that still run in the zone.

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
use workers::{Machines, Reach};

const ZONES: [&str; 3] = ["a", "b", "c"];
/// From the moment when the store turns the leader away (`platform_down`, `nodes leader silent`) until the
/// leader's zone is cut off, also from the store (`zone_cut`), and how long that lasts.
const CUT_AFTER: Duration = Duration::from_millis(800);
const CUT: Duration = Duration::from_millis(6_400);
/// Time from the end of a process to its start again.
const RESTART: Duration = Duration::from_millis(500);
/// Work of a task, within the largest of the site.
const WORK_MS: u64 = 14_000;
const JOBS: u64 = 3;

fn main() {
    let mut args = std::env::args().skip(1);
    let (root, file) = (args.next().unwrap_or_default(), args.next().unwrap_or_default());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&file);
    let store = Store::new();
    configure(&store, 7, 3);
    let machines = Machines::new(&store, &record);
    for number in 0..9 {
        let name = format!("machine-{number}");
        let zone = ZONES[usize::from(number) % 3];
        machines.add(listener(100 + number), &name, zone, &["a", "r1-0"], 16_000);
    }
    let Ok(mut cluster) = Cluster::new(&root, &store, &record) else { exit(2) };
    for number in 0..6 {
        if cluster.add(number, ZONES[usize::from(number) % 3], &ZONES).is_err() {
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
    for job in 0..JOBS {
        let body = format!(
            "{{\"spec\":\"{WORK_MS}\",\"steps\":[{{\"count\":6,\"millicpu\":5000,\"mem_mb\":1000,\"estimated_ms\":{WORK_MS}}}]}}"
        );
        let path = format!("/q/5c0e7a21d94b36f{job}");
        if !cluster.request(0, "POST", &path, &body).is_some_and(|(status, _)| status == 200) {
            record.line("a job was not accepted");
            drop(cluster);
            exit(2);
        }
    }
    sleep(Duration::from_millis(1_500));
    let Some((first, epoch)) = cluster.leader() else {
        drop(cluster);
        exit(2)
    };
    record.line(&format!("{} leads, epoch {epoch}", cluster.nodes[first].name));
    let zone = cluster.nodes[first].zone.clone();
    let started = Instant::now();
    if trouble {
        cluster.nodes[first].path.set_cut(true);
        record.line("the store leaves the leader's calls unanswered");
        sleep(CUT_AFTER);
        for node in cluster.nodes.iter().filter(|node| node.zone == zone) {
            node.path.set_cut(true);
        }
        // The calls of the first leader are told from those of later ones by their fencing token.
        for machine in machines.all.lock().unwrap().iter() {
            let reach = if machine.zone == zone { Reach::Older(epoch) } else { Reach::Newer(epoch) };
            machines.set_reach(machine, reach);
        }
        record.line(&format!("zone {zone} is cut off"));
        let (mut killed, mut restarted) = (None, false);
        while started.elapsed() < CUT_AFTER + CUT {
            sleep(Duration::from_millis(5));
            match (killed, cluster.leader()) {
                (None, Some((index, later))) if later > epoch => {
                    record.line(&format!("{} is elected, epoch {later}", cluster.nodes[index].name));
                    sleep(Duration::from_millis(100));
                    cluster.kill(index);
                    killed = Some((index, Instant::now()));
                }
                (Some((index, at)), _) if !restarted && at.elapsed() >= RESTART => {
                    restarted = cluster.start(index).is_ok();
                }
                _ => {}
            }
        }
        for node in &cluster.nodes {
            node.path.set_cut(false);
        }
        for machine in machines.all.lock().unwrap().iter() {
            machines.set_reach(machine, Reach::All);
        }
        record.line(&format!("zone {zone} is back"));
    } else {
        sleep(CUT_AFTER + CUT);
    }
    sleep(Duration::from_secs(2));
    let runs = machines.runs.lock().unwrap().clone();
    let broken = overlap::note_overlaps(&runs, &record);
    for index in 0..cluster.nodes.len() {
        for line in cluster.log(index).lines().filter(|line| line.contains("previous leader has ended") || line.contains("\"elected\"")) {
            record.line(&format!("log: {line}"));
        }
    }
    drop(cluster);
    exit(i32::from(broken > 0));
}
