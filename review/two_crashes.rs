//! Two workers crash, one after the other, each soon after it has begun the same task; or the only worker of a kind
//! crashes twice.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::support::{Json, map};
use crate::cluster::{Cluster, Record, Shape, step};
use crate::worker::Health;

/// How long a crashed worker is down.
const DOWNTIME: Duration = Duration::from_millis(3_300);
const CRASHES: usize = 2;

/// With `one_machine`, the task can only run on one worker.
pub fn run(folder: &str, trouble: bool, one_machine: bool) -> i32 {
    let record = Record::new(folder);
    let shape = Shape { entries: 3, workers: 8, millicpu: 32_000, max_attempts: 4 };
    let Some(cluster) = Cluster::start(record.clone(), &shape) else { return 2 };
    let job = "00000000000000c1";
    let task = format!("{job}.0.0.0");
    let mut only_step = step(1, 5_000, 6_000, &[]);
    if let (Json::Map(fields), true) = (&mut only_step, one_machine) {
        fields.insert("required_label".into(), "b".into());
    }
    let body = map([("spec", "6000".into()), ("steps", vec![only_step].into())]);
    if !cluster.submit(job, &body) {
        return 2;
    }
    for crash in 0..if trouble { CRASHES } else { 0 } {
        let end = Instant::now() + Duration::from_secs(20);
        let running = loop {
            let number = (0..8).find(|number| cluster.workers[*number].runs(&task));
            if number.is_some() || Instant::now() > end {
                break number;
            }
            sleep(Duration::from_millis(5));
        };
        let Some(number) = running else { break };
        sleep(Duration::from_millis(400));
        let worker = &cluster.workers[number];
        let old = worker.id();
        record.note(&format!("trouble: worker {old} crashes"));
        worker.fall(Health::Crashed);
        sleep(DOWNTIME);
        let new = format!("{old}-{crash}");
        worker.rise(&new);
        cluster.store.delete(&format!("servers/{old}"));
        cluster.register(number);
        record.note(&format!("worker {old} is back as {new}"));
    }
    let state = cluster.wait_state(job, &["completed", "failed"], Duration::from_secs(40));
    cluster.note_logs(&["crashed", "counted the crashes", "gave up a task"]);
    let failed = record.ends.lock().unwrap().iter().filter(|end| end.how == "failed").count();
    record.note(&format!("job {job}: {state}; runs that ended `failed`: {failed}, max_attempts 4"));
    i32::from(state == "failed" && failed < 4)
}
