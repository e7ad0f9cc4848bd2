//! A deployment with several leaders: the minions of one kind in one zone are emptied and taken away while a job whose
//! next step needs that kind is at work there. The other zones have minions of that kind with nothing to do.

#[path = "../shared-2/cluster.rs"]
mod cluster;
#[path = "../shared-2/http.rs"]
mod http;
#[path = "../shared-2/json.rs"]
mod json;
#[path = "../shared-2/record.rs"]
mod record;
#[path = "../shared-2/store.rs"]
mod store;
#[path = "../shared-2/workers.rs"]
mod workers;

use std::net::TcpListener;
use std::process::exit;
use std::thread::sleep;
use std::time::{Duration, Instant};

use cluster::{Cluster, address, configure};
use record::Record;
use store::Store;
use workers::Machines;

const ZONES: [&str; 3] = ["a", "b", "c"];
/// Minions of a zone, and those of them of the rarer kind.
const MINIONS: usize = 110;
const RARE: usize = 2;
/// `drain_ms`, which a minion reports as the least time that is left.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Work of a task.
const WORK_MS: u64 = 6_000;
/// `finish_s`, and what the job may take after that.
const FINISH: Duration = Duration::from_secs(14);
const JOBS: u64 = 3;

fn main() {
    let mut args = std::env::args().skip(1);
    let (root, file) = (args.next().unwrap_or_default(), args.next().unwrap_or_default());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&file);
    let store = Store::new();
    configure(&store, 7, 3);
    let machines = Machines::many(&store, &record);
    for (index, zone) in ZONES.iter().enumerate() {
        for number in 0..MINIONS {
            let kind = if number < RARE { "b" } else { "a" };
            let rack = format!("r{index}-{}", number / 20);
            let Ok(listener) = TcpListener::bind((address(100 + index as u8), 0)) else { exit(2) };
            machines.add(listener, &format!("machine-{zone}-{number}"), zone, &[kind, &rack], 32_000);
        }
    }
    let Ok(mut cluster) = Cluster::new(&root, &store, &record) else { exit(2) };
    for number in 0..6 {
        if cluster.add(number, ZONES[usize::from(number) % 3], &ZONES).is_err() {
            drop(cluster);
            exit(2);
        }
    }
    if !cluster.wait_ready(Duration::from_secs(25)) {
        record.line("the processes are not ready");
        drop(cluster);
        exit(2);
    }
    sleep(Duration::from_secs(6));
    record.line(&format!("leaders: {:?}", store.keys("m/leader")));
    let mut accepted = 0;
    for job in 0..JOBS {
        let body = format!(
            "{{\"spec\":\"{WORK_MS}\",\"steps\":[{{\"count\":4,\"millicpu\":5500,\"mem_mb\":1000,\"estimated_ms\":{WORK_MS}}},\
             {{\"count\":2,\"millicpu\":5500,\"mem_mb\":1000,\"estimated_ms\":{WORK_MS},\"after\":[0],\"required_label\":\"b\"}}]}}"
        );
        let path = format!("/q/5c0e7a21d94b36f{job}");
        let answer = cluster.request(0, "POST", &path, &body);
        accepted += u64::from(answer.is_some_and(|(status, _)| status == 200));
    }
    if accepted < JOBS {
        record.line("a job was not accepted");
        drop(cluster);
        exit(2);
    }
    sleep(Duration::from_millis(1_500));
    if trouble {
        let all = machines.all.lock().unwrap().clone();
        let leaving = all.iter().filter(|machine| machine.name.starts_with("machine-a-")).take(RARE);
        for machine in leaving.clone() {
            machines.register(machine, Some(DRAIN));
            record.line(&format!("{} reports that it drains", machines.id(machine)));
        }
        sleep(DRAIN + Duration::from_millis(500));
        for machine in leaving {
            machines.crash(machine);
            store.remove(&format!("servers/{}", machines.id(machine)));
            record.line(&format!("{} has left", machines.id(machine)));
        }
    } else {
        sleep(DRAIN + Duration::from_millis(500));
    }
    // The first step ends, then the second one could run at once.
    sleep(Duration::from_millis(2 * WORK_MS));
    let until = Instant::now() + FINISH;
    let mut open = Vec::new();
    while Instant::now() < until {
        open.clear();
        for job in 0..JOBS {
            let path = format!("/q/5c0e7a21d94b36f{job}");
            let state = cluster.state(&[0, 1, 2], &path);
            if state.as_deref() != Some("completed") {
                open.push(format!("{path} {}", state.unwrap_or_else(|| "unknown".to_owned())));
            }
        }
        if open.is_empty() {
            break;
        }
        sleep(Duration::from_secs(2));
    }
    let runs = machines.runs.lock().unwrap().clone();
    let at_work = runs.iter().filter(|run| run.how == "running").count();
    let result = format!("{} of {JOBS} jobs not completed, {at_work} tasks at work on all minions, {} runs", open.len(), runs.len());
    record.line(&format!("not completed: {open:?}"));
    record.line(&result);
    println!("{result}");
    drop(cluster);
    exit(i32::from(!open.is_empty()));
}
