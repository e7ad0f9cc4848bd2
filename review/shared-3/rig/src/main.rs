//! Cases of the review: the project's processes among stand-ins of the platform, its workers and its clients.
//!
//! `rig CASE RECORD FOLDER`: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
//! `TROUBLE=0` in the environment leaves the disruption out.

mod entries;
mod http;
mod record;
mod store;
mod worker;

use std::net::SocketAddr;
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::entries::Entry;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{RunEvent, Worker};

const HOST: &str = "jobs.example";
const ZONES: [&str; 3] = ["a", "b", "c"];
/// How long a client waits for an answer.
const CLIENT_WAIT: Duration = Duration::from_millis(3_000);

/// A small deployment: three entries in three zones, and workers.
struct Deployment {
    record: Arc<Record>,
    store: Arc<Store>,
    workers: Vec<Arc<Worker>>,
    entries: Vec<Entry>,
    events: Arc<Mutex<Vec<RunEvent>>>,
    trouble: bool,
}

enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

impl Deployment {
    fn start(record: Arc<Record>, folder: &str, workers: usize, max_attempts: u32) -> Self {
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let (store, server) = Store::start(any, record.clone());
        store.put("op/config", &configuration(max_attempts));
        let events = Arc::new(Mutex::new(Vec::new()));
        let workers = (0..workers)
            .map(|number| {
                let zone = ZONES[number % ZONES.len()];
                Worker::start(number, any, zone, store.clone(), record.clone(), events.clone())
            })
            .collect();
        let new = |(number, zone): (usize, &&str)| {
            let mut entry = Entry::new(folder, number, zone, server.address);
            entry.start();
            entry
        };
        let entries = ZONES.iter().enumerate().map(new).collect();
        let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        record.line(format!("disruption: {}", if trouble { "yes" } else { "no (TROUBLE=0)" }));
        Self { record, store, workers, entries, events, trouble }
    }

    /// Waits until every entry reports itself ready.
    fn wait_ready(&mut self) -> bool {
        let started = Instant::now();
        sleep(millis(500));
        while started.elapsed() < millis(25_000) {
            let ready = |entry: &Entry| {
                let answer = http::call(entry.ready(), "GET", "/api/readyz", HOST, None, millis(500));
                answer.is_some_and(|(status, _)| status == 200)
            };
            if !self.entries.iter_mut().all(Entry::runs) {
                return false;
            }
            if self.entries.iter().all(ready) {
                self.record.line("all entries are ready");
                return true;
            }
            sleep(millis(200));
        }
        false
    }

    fn add_workers(&mut self, count: usize) {
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        for number in self.workers.len()..self.workers.len() + count {
            let zone = ZONES[number % ZONES.len()];
            let (store, record) = (self.store.clone(), self.record.clone());
            self.workers.push(Worker::start(number, any, zone, store, record, self.events.clone()));
            self.record.line(format!("worker {number}: starts"));
        }
    }

    fn call(&self, entry: usize, method: &str, id: &str, body: Option<&Value>) -> Option<(u16, Value)> {
        let path = format!("/jobs/{id}");
        let answer = http::call(self.entries[entry].front(), method, &path, HOST, body, CLIENT_WAIT);
        self.record.line(format!("client: {method} {id} at entry {entry}: {answer:?}"));
        answer
    }

    /// Hands a job in, as a client that asks again at another entry.
    fn submit(&self, id: &str, body: &Value) -> bool {
        (0..5).any(|attempt| {
            let answer = self.call(attempt % self.entries.len(), "POST", id, Some(body));
            let is_accepted = answer.is_some_and(|(status, _)| status == 200);
            if !is_accepted {
                sleep(millis(1_000));
            }
            is_accepted
        })
    }

    fn state(&self, entry: usize, id: &str) -> String {
        let answer = self.call(entry, "GET", id, None);
        let state = answer.filter(|(status, _)| *status == 200).map(|(_, body)| body);
        state.and_then(|body| Some(body["state"].as_str()?.to_owned())).unwrap_or_default()
    }

    /// Number of tasks of a job that run.
    fn running(&self, id: &str) -> usize {
        let tasks = self.workers.iter().flat_map(|worker| worker.running());
        tasks.filter(|task| task.starts_with(id)).count()
    }

    fn wait_running(&self, id: &str, count: usize, limit: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            if self.running(id) >= count {
                return true;
            }
            sleep(millis(5));
        }
        false
    }

    fn events_of(&self, id: &str) -> Vec<RunEvent> {
        let events = self.events.lock().unwrap();
        events.iter().filter(|event| event.task.starts_with(id)).cloned().collect()
    }
}

fn configuration(max_attempts: u32) -> Value {
    json!({
        "version": 7,
        "routes": [{
            "name": "r-jobs", "hostname": HOST, "prefix": "/jobs/", "type": "non_idempotent", "timeout_ms": 3_000,
            "target_latency_ms": 250, "priority": 0, "service": "svc", "max_attempts": max_attempts,
            "slack_factor": 1.5,
        }],
        "services": [{
            "name": "svc", "health_path": "/healthz", "max_connections": 64, "protocol": "h1", "tls": false,
            "admission_check": false, "standby": false,
        }],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 262_144, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
    })
}

/// Standing jobs while no other job comes: the store is down for 3 s and its leases run out; after its return, one of
/// its first answers to writes is lost.
fn standing(deployment: &Deployment) -> Verdict {
    let id = "00000000000000a1";
    let job = json!({"spec": "watch", "steps": [
        {"count": 3, "millicpu": 2_000, "mem_mb": 256, "estimated_ms": 500, "persistent": true},
    ]});
    if !deployment.submit(id, &job) || !deployment.wait_running(id, 3, millis(8_000)) {
        return Verdict::NotRun("the standing job has not begun".to_owned());
    }
    sleep(millis(4_000));
    if deployment.trouble {
        deployment.store.set_busy(true);
        sleep(millis(3_000));
        let mut is_lost = false;
        deployment.store.set_loss(Some(Box::new(move |path, body| {
            let sets = body["set_keys"].as_array().into_iter().flatten();
            let is_election =
                sets.into_iter().any(|row| row["key"].as_str().is_some_and(|key| key.starts_with("m/leader")));
            let loses = !is_lost && path == "/api/kv-txn" && is_election;
            is_lost |= loses;
            loses
        })));
        deployment.store.set_busy(false);
    } else {
        sleep(millis(3_000));
    }
    // The disruption has ended with the lost answer, a second after the store's return at the latest.
    sleep(millis(1_000));
    deployment.store.set_loss(None);
    let calm_from = deployment.record.now_ms() + 4_000;
    let mut absent: Option<u64> = None;
    let mut longest = 0;
    for second in 0..40 {
        let now = deployment.record.now_ms();
        match deployment.running(id) {
            0 => {
                let since = *absent.get_or_insert(now);
                longest = longest.max(now.saturating_sub(since.max(calm_from)));
            }
            _ => absent = None,
        }
        if second % 5 == 0 {
            deployment.state(second % 3, id);
            deployment.record.line(format!("tasks of the job that run: {}", deployment.running(id)));
        }
        sleep(millis(1_000));
    }
    let state = deployment.state(0, id);
    match longest {
        // Six seconds from the last run, and three more.
        9_000.. => Verdict::Broken(format!(
            "LOST: no task of an accepted standing job ran for {longest} ms of calm, state {state:?}"
        )),
        _ => Verdict::Held,
    }
}

/// A worker starts again under its id, gets a standing task, and is lost for good beside empty workers.
fn restarted_and_gone(deployment: &mut Deployment) -> Verdict {
    let id = "00000000000000d1";
    let job = json!({"spec": "watch", "steps": [{
        "count": 8, "millicpu": 2_000, "mem_mb": 256, "estimated_ms": 500, "persistent": true, "max_per_server": 1,
    }]});
    sleep(millis(4_000));
    if deployment.trouble {
        deployment.workers[0].crash(millis(600), true);
    }
    sleep(millis(2_000));
    if !deployment.submit(id, &job) || !deployment.wait_running(id, 8, millis(8_000)) {
        return Verdict::NotRun("the standing job has not begun".to_owned());
    }
    if deployment.workers[0].running().is_empty() {
        return Verdict::NotRun("the restarted worker has no task".to_owned());
    }
    deployment.add_workers(3);
    sleep(millis(1_500));
    if deployment.trouble {
        deployment.workers[0].lose();
    }
    let lost_at = deployment.record.now_ms();
    let mut away_ms = 0;
    while deployment.record.now_ms() < lost_at + 30_000 {
        if deployment.running(id) < 8 {
            away_ms = deployment.record.now_ms() - lost_at;
        }
        sleep(millis(50));
    }
    let state = deployment.state(0, id);
    match away_ms {
        // Six seconds from its last run and three more; the seven seconds before are calm.
        9_100.. => Verdict::Broken(format!(
            "LOST: a task of an accepted standing job did not run for {away_ms} ms beside empty workers, state {state:?}"
        )),
        _ => Verdict::Held,
    }
}

/// Two workers crash one after the other, each as it begins a standing task that harms nothing.
fn crashes(deployment: &Deployment) -> Verdict {
    let id = "00000000000000b1";
    let job = json!({"spec": "watch", "steps": [
        {"count": 2, "millicpu": 3_400, "mem_mb": 256, "estimated_ms": 320, "persistent": true},
    ]});
    if deployment.trouble {
        let workers = deployment.workers.clone();
        std::thread::spawn(move || {
            for _ in 0..2 {
                let hit = loop {
                    let runs = |worker: &&Arc<Worker>| worker.running().iter().any(|task| task.starts_with(id));
                    match workers.iter().find(runs) {
                        Some(worker) => break worker.clone(),
                        None => sleep(millis(2)),
                    }
                };
                sleep(millis(400));
                hit.crash(millis(1_500), false);
                sleep(millis(20));
            }
        });
    }
    if !deployment.submit(id, &job) {
        return Verdict::NotRun("the job was not accepted".to_owned());
    }
    for round in 0..40 {
        sleep(millis(500));
        if deployment.state(round % 3, id) == "failed" {
            break;
        }
    }
    sleep(millis(10_000));
    let failed = deployment.events_of(id).iter().filter(|event| event.what == "failed").count();
    let (state, running) = (deployment.state(0, id), deployment.running(id));
    match state.as_str() {
        "failed" => Verdict::Broken(format!(
            "LOST: an accepted standing job is shown as failed, {running} of its 2 tasks run; ends `failed`: {failed}"
        )),
        _ if running == 2 => Verdict::Held,
        _ => Verdict::NotRun(format!("the job is {state:?}, {running} of its tasks run")),
    }
}

/// The only worker of its kind leaves two polls unanswered, one of which it carries out late, and starts again in between
/// under the id that it had.
fn late_ack(deployment: &Deployment) -> Verdict {
    let (first, second) = ("00000000000000c1", "00000000000000c2");
    let job = |count: u32, work_ms: u64| {
        let step = json!({
            "count": count, "millicpu": 1_300, "mem_mb": 256, "estimated_ms": work_ms, "required_label": "b",
        });
        json!({"spec": format!("work {work_ms}"), "steps": [step]})
    };
    let worker = &deployment.workers[0];
    worker.late_orders.lock().unwrap().hold_up_next_ack = deployment.trouble;
    if !deployment.submit(first, &job(3, 600)) || !wait_completed(deployment, first) {
        return Verdict::NotRun("the first job is not completed".to_owned());
    }
    sleep(millis(500));
    if deployment.trouble {
        worker.crash(millis(1_000), true);
        worker.late_orders.lock().unwrap().at_end_of = Some(second.to_owned());
    }
    sleep(millis(2_000));
    if !deployment.submit(second, &job(1, 800)) || !wait_completed(deployment, second) {
        return Verdict::NotRun("the second job is not completed".to_owned());
    }
    sleep(millis(3_000));
    let total = |of: &[Arc<Worker>]| of.iter().map(|worker| worker.orders.lock().unwrap().len()).sum::<usize>();
    let (all, own) = (total(&deployment.workers), total(&deployment.workers[..1]));
    deployment.record.line(format!("orders in all: {all}, to worker 0: {own}, without an answer in time: 2 at most"));
    let events = deployment.events_of(second);
    let position = |what: &str| events.iter().position(|event| event.what == what);
    let starts = events.iter().filter(|event| event.what == "start").count();
    let is_done_first = position("done").zip(events.iter().rposition(|event| event.what == "start"));
    match is_done_first {
        Some((done, start)) if done < start && position("noted").is_some() => {
            let (ended, started) = (events[done].run, events[start].run);
            Verdict::Broken(format!(
                "TWICE: run {ended} ended done, its end was taken note of, and run {started} was started; starts: {starts}"
            ))
        }
        _ => Verdict::Held,
    }
}

fn wait_completed(deployment: &Deployment, id: &str) -> bool {
    (0..30).any(|round| {
        sleep(millis(500));
        deployment.state(round % 3, id) == "completed"
    })
}

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, record, folder] = &words[..] else {
        eprintln!("rig CASE RECORD FOLDER");
        exit(2);
    };
    let record = Arc::new(Record::create(record));
    let mut deployment = Deployment::start(record.clone(), folder, 8, 4);
    let verdict = match deployment.wait_ready() {
        false => Verdict::NotRun("not all entries are ready".to_owned()),
        true => match case.as_str() {
            "standing" => standing(&deployment),
            "restarted-and-gone" => restarted_and_gone(&mut deployment),
            "crashes" => crashes(&deployment),
            "late-ack" => late_ack(&deployment),
            _ => Verdict::NotRun(format!("no case {case}")),
        },
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken(text) => (text, 1),
        Verdict::NotRun(text) => (format!("could not run: {text}"), 2),
    };
    record.line(&text);
    println!("{text}");
    drop(deployment);
    exit(code);
}
