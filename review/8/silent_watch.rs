//! One channel between a process and the store, that of the watch for the desired state, goes silent without a
//! reset. Later the desired state changes.

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

use std::process::exit;
use std::thread::sleep;
use std::time::{Duration, Instant};

use cluster::{Cluster, configure_routes, listener};
use record::Record;
use store::Store;
use workers::Machines;

const ZONES: [&str; 3] = ["a", "b", "c"];
/// `contact_ms`: from then on the process is in touch again.
const CONTACT: Duration = Duration::from_millis(3_000);
/// `config_ms`: requests that are sent later than this after the confirmation are judged.
const CONFIG: Duration = Duration::from_millis(2_000);
/// Added to both, so that nothing hangs on a few milliseconds.
const MARGIN: Duration = Duration::from_millis(250);
/// How long requests are sent after that.
const ASKED: Duration = Duration::from_millis(3_000);

fn main() {
    let mut args = std::env::args().skip(1);
    let (root, file) = (args.next().unwrap_or_default(), args.next().unwrap_or_default());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&file);
    let store = Store::new();
    configure_routes(&store, 7, 3, &["kept", "dropped"]);
    let machines = Machines::new(&store, &record);
    for number in 0..6 {
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
    // Longer than one watch, so that its end does not hang on the moment of the start.
    sleep(Duration::from_secs(12));
    if trouble {
        cluster.nodes[1].path.silence_config_watch();
        record.line(&format!("the channel of the watch for the desired state of {} goes silent", cluster.nodes[1].name));
    }
    sleep(CONTACT + MARGIN);
    configure_routes(&store, 9, 3, &["kept", "added"]);
    record.line("the store confirms version 9: route `added` is there, route `dropped` is not");
    sleep(CONFIG + MARGIN);
    let until = Instant::now() + ASKED;
    let (mut refused, mut run, mut number) = (0, 0, 0);
    while Instant::now() < until {
        for node in 0..3 {
            number += 1;
            let job = "{\"spec\":\"500\",\"steps\":[{\"count\":1,\"millicpu\":1000,\"mem_mb\":100,\"estimated_ms\":500}]}";
            // The route that is there is refused, or the one that is not runs.
            let added = cluster.request(node, "POST", &format!("/added/{number:016x}"), job);
            refused += usize::from(added.is_some_and(|(status, _)| status == 404));
            let dropped = cluster.request(node, "POST", &format!("/dropped/{:016x}", number + 0x1000), job);
            run += usize::from(dropped.is_some_and(|(status, _)| status == 200));
        }
        sleep(Duration::from_millis(300));
    }
    sleep(Duration::from_secs(1));
    let result = format!("{refused} requests refused with 404 though the route is there, {run} accepted with a dropped route, of {number} each");
    record.line(&result);
    println!("{result}");
    for index in 0..3 {
        for line in cluster.log(index).lines().filter(|line| line.contains("configuration applied")) {
            record.line(&format!("log: {line}"));
        }
    }
    drop(cluster);
    exit(i32::from(refused + run > 0));
}
