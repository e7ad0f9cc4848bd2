//! Workers: each carries out starts, stops and polls, and keeps its runs only as long as its lease lasts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::http::{Reply, Request, Server};
use crate::record::Record;
use crate::store::Store;

/// Longest lease.
const HOLD_MAX_MS: u64 = 6_000;
const LISTED_ENDS: usize = 500;
/// Interval at which a waiting poll looks for ends.
const LOOK_INTERVAL: Duration = Duration::from_millis(3);

struct Run {
    number: u64,
    since: Instant,
    /// Work; `None` for a task that lasts.
    work: Option<Duration>,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

/// One life of a worker.
struct Life {
    id: String,
    /// Unix millisecond of its start.
    born: u64,
    started: Instant,
    fence: u64,
    until_ms: u64,
    runs: BTreeMap<String, Run>,
    ends: Vec<End>,
    last_end: u64,
    closed: BTreeMap<String, u64>,
}

/// What happened to the runs of a task.
#[derive(Clone, Debug)]
pub struct RunEvent {
    pub task: String,
    pub run: u64,
    /// "start", "noted" when its end `done` is acknowledged, or how the run ended.
    pub what: &'static str,
}

/// Orders that get no answer and are carried out late.
#[derive(Default)]
pub struct LateOrders {
    /// Whether the next poll that acknowledges ends is held up.
    pub hold_up_next_ack: bool,
    /// A poll that is held up, and when it arrived.
    held_up: Option<(Value, u64)>,
    /// Job at the end of whose first task the waiting poll gets no answer, and the poll that is held up is carried out.
    pub at_end_of: Option<String>,
}

pub struct Worker {
    pub late_orders: Mutex<LateOrders>,
    /// Times at which orders (starts, stops and polls) have arrived, in milliseconds of the record.
    pub orders: Mutex<Vec<u64>>,
    number: usize,
    life: Mutex<Life>,
    lives: Mutex<u32>,
    server: OnceLock<Arc<Server>>,
    entry: Mutex<Value>,
    store: Arc<Store>,
    record: Arc<Record>,
    events: Arc<Mutex<Vec<RunEvent>>>,
}

impl Life {
    fn new(id: String) -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            id,
            born: since.as_millis() as u64,
            started: Instant::now(),
            fence: 0,
            until_ms: 0,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            closed: BTreeMap::new(),
        }
    }

    fn clock_ms(&self) -> u64 {
        1_000 + self.started.elapsed().as_millis() as u64
    }

    fn close(&mut self, task: &str, run: u64) {
        let closed = self.closed.entry(task.to_owned()).or_default();
        *closed = (*closed).max(run);
    }
}

impl Worker {
    pub fn start(
        number: usize,
        address: SocketAddr,
        zone: &str,
        store: Arc<Store>,
        record: Arc<Record>,
        events: Arc<Mutex<Vec<RunEvent>>>,
    ) -> Arc<Self> {
        let entry = json!({
            "service": "svc", "zone": zone, "version": "v1", "slots": 8, "state": "ready", "cold_ms": 0,
            "capacity": {"millicpu": 16_000, "mem_mb": 65_536, "gpus": 0},
            "labels": [if number == 0 { "b" } else { "a" }, format!("r{number}-0")], "sequence": 1,
        });
        let worker = Arc::new(Self {
            late_orders: Mutex::default(),
            orders: Mutex::default(),
            number,
            life: Mutex::new(Life::new(format!("i-{number}-0"))),
            lives: Mutex::new(0),
            server: OnceLock::new(),
            entry: Mutex::new(entry),
            store,
            record,
            events,
        });
        let serving = worker.clone();
        let server = Server::start(address, Arc::new(move |request| serving.answer(&request)));
        worker.entry.lock().unwrap()["address"] = json!(server.address.to_string());
        let _ = worker.server.set(server);
        worker.register();
        let ticking = worker.clone();
        thread::spawn(move || {
            loop {
                ticking.expire(&mut ticking.life.lock().unwrap());
                thread::sleep(LOOK_INTERVAL);
            }
        });
        worker
    }

    fn register(&self) {
        let (id, born) = {
            let life = self.life.lock().unwrap();
            (life.id.clone(), life.born)
        };
        let mut entry = self.entry.lock().unwrap();
        entry["born"] = json!(born);
        self.store.put(&format!("servers/{id}"), &entry);
    }

    /// Crashes: nothing listens at the address until the next life, which comes after `downtime` under a new id, or under
    /// the id that it had. The entry of an ended id goes after three heartbeats of silence.
    pub fn crash(self: &Arc<Self>, downtime: Duration, keeps_id: bool) {
        let old = self.life.lock().unwrap().id.clone();
        self.record.line(format!("worker {}: crashes ({old})", self.number));
        if let Some(server) = self.server.get() {
            server.lower();
        }
        self.end_runs("lost");
        let worker = self.clone();
        thread::spawn(move || {
            thread::sleep(downtime);
            let lives = {
                let mut lives = worker.lives.lock().unwrap();
                *lives += 1;
                *lives
            };
            let id = match keeps_id {
                true => old.clone(),
                false => format!("i-{}-{lives}", worker.number),
            };
            worker.record.line(format!("worker {}: is back as {id}", worker.number));
            *worker.life.lock().unwrap() = Life::new(id);
            if let Some(server) = worker.server.get() {
                server.raise();
            }
            worker.register();
            if keeps_id {
                return;
            }
            thread::sleep(Duration::from_millis(4_500).saturating_sub(downtime));
            worker.store.remove(&format!("servers/{old}"));
        });
    }

    /// Is lost for good: nothing listens at its address any more, and its entry goes after three heartbeats of silence.
    pub fn lose(self: &Arc<Self>) {
        let id = self.life.lock().unwrap().id.clone();
        self.record.line(format!("worker {}: is lost for good ({id})", self.number));
        if let Some(server) = self.server.get() {
            server.lower();
        }
        self.end_runs("lost");
        let worker = self.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(4_500));
            worker.store.remove(&format!("servers/{id}"));
        });
    }

    fn end_runs(&self, what: &'static str) {
        let mut life = self.life.lock().unwrap();
        for (task, run) in std::mem::take(&mut life.runs) {
            self.note(&task, run.number, what);
        }
    }

    fn note(&self, task: &str, run: u64, what: &'static str) {
        self.record.line(format!("worker {}: {task} run {run} {what}", self.number));
        self.events.lock().unwrap().push(RunEvent { task: task.to_owned(), run, what });
    }

    /// Names of the tasks that run.
    pub fn running(&self) -> Vec<String> {
        self.life.lock().unwrap().runs.keys().cloned().collect()
    }

    fn end(&self, life: &mut Life, task: &str, run: u64, how: &'static str) {
        life.runs.remove(task);
        life.close(task, run);
        life.last_end += 1;
        let number = life.last_end;
        life.ends.push(End { number, task: task.to_owned(), run, how });
        self.note(task, run, how);
    }

    fn expire(&self, life: &mut Life) {
        let is_done = |run: &Run| run.work.is_some_and(|work| run.since.elapsed() >= work);
        let done = life.runs.iter().filter(|(_, run)| is_done(run));
        let done: Vec<(String, u64)> = done.map(|(task, run)| (task.clone(), run.number)).collect();
        for (task, run) in done {
            self.end(life, &task, run, "done");
        }
        if life.clock_ms() > life.until_ms && !life.runs.is_empty() {
            let runs = life.runs.iter();
            let runs: Vec<(String, u64)> = runs.map(|(task, run)| (task.clone(), run.number)).collect();
            for (task, run) in runs {
                self.end(life, &task, run, "lapsed");
            }
        }
    }

    fn answer(&self, request: &Request) -> Reply {
        let body = &request.body;
        self.orders.lock().unwrap().push(self.record.now_ms());
        let mut life = self.life.lock().unwrap();
        self.expire(&mut life);
        let target = request.headers.get("target-instance");
        if target.is_some_and(|target| *target != life.id) {
            return Reply::Json(421, json!({"clock_ms": life.clock_ms()}));
        }
        let refuse = |life: &Life, reason: &str| {
            Reply::Json(409, json!({"clock_ms": life.clock_ms(), "reason": reason}))
        };
        let fence = body["fencing_token"].as_u64().unwrap_or(0);
        if fence < life.fence {
            return refuse(&life, "fence");
        }
        life.fence = fence;
        let (task, run) = (body["task"].as_str().unwrap_or_default(), body["run"].as_u64().unwrap_or(0));
        let until = body["until_ms"].as_u64().unwrap_or(0);
        match request.path.as_str() {
            "/api/run-start" => {
                if until <= life.clock_ms() {
                    return refuse(&life, "late");
                }
                life.until_ms = life.until_ms.max(until.min(life.clock_ms() + HOLD_MAX_MS));
                if life.closed.get(task).is_some_and(|closed| *closed >= run) {
                    return refuse(&life, "old");
                }
                if !life.runs.contains_key(task) {
                    let spec = body["spec"].as_str().unwrap_or_default();
                    let work = spec.strip_prefix("work ").and_then(|text| text.parse().ok());
                    let work = work.map(Duration::from_millis);
                    let started = Run { number: run, since: Instant::now(), work };
                    life.runs.insert(task.to_owned(), started);
                    self.note(task, run, "start");
                }
                Reply::Json(200, json!({"clock_ms": life.clock_ms()}))
            }
            "/api/run-stop" => {
                let known = life.runs.get(task).map(|known| known.number);
                if let Some(known) = known.filter(|known| *known <= run) {
                    self.end(&mut life, task, known, "stopped");
                }
                life.close(task, run);
                Reply::Json(200, json!({"clock_ms": life.clock_ms()}))
            }
            "/api/hold" => {
                life.until_ms = life.until_ms.max(until.min(life.clock_ms() + HOLD_MAX_MS));
                let cursor = body["ack_cursor"].as_u64().unwrap_or(0);
                let mut orders = self.late_orders.lock().unwrap();
                if cursor > 0 && std::mem::take(&mut orders.hold_up_next_ack) {
                    orders.held_up = Some((body.clone(), self.record.now_ms()));
                    self.record.line(format!("worker {}: a poll of ack_cursor {cursor} gets no answer", self.number));
                    drop((orders, life));
                    return no_answer();
                }
                drop(orders);
                self.acknowledge(&mut life, cursor);
                let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0));
                let id = life.id.clone();
                drop(life);
                self.hold(&id, wait)
            }
            "/api/pace" => Reply::Json(200, json!({"clock_ms": life.clock_ms()})),
            _ => Reply::Json(400, json!({"clock_ms": life.clock_ms()})),
        }
    }

    /// Forgets the ends up to a number.
    fn acknowledge(&self, life: &mut Life, cursor: u64) {
        let ends = std::mem::take(&mut life.ends);
        let (noted, left): (Vec<End>, Vec<End>) = ends.into_iter().partition(|end| end.number <= cursor);
        life.ends = left;
        for end in noted.iter().filter(|end| end.how == "done") {
            self.note(&end.task, end.run, "noted");
        }
    }

    /// Leaves the waiting poll unanswered at the end that it would tell, and carries out the poll that was held up.
    fn swaps_orders(&self, life: &mut Life) -> bool {
        let mut orders = self.late_orders.lock().unwrap();
        let job = orders.at_end_of.clone();
        let ends = |job: &String| life.ends.iter().any(|end| end.task.starts_with(job.as_str()));
        if !job.as_ref().is_some_and(ends) {
            return false;
        }
        orders.at_end_of = None;
        let Some((body, arrived)) = orders.held_up.take() else {
            return false;
        };
        let cursor = body["ack_cursor"].as_u64().unwrap_or(0);
        let late_ms = self.record.now_ms() - arrived;
        let number = self.number;
        self.record.line(format!("worker {number}: a poll gets no answer, and that of ack_cursor {cursor} is carried out, {late_ms} ms late"));
        self.acknowledge(life, cursor);
        true
    }

    fn hold(&self, id: &str, wait: Duration) -> Reply {
        let ends = Instant::now() + wait;
        loop {
            {
                let mut life = self.life.lock().unwrap();
                if life.id != id {
                    return Reply::Close;
                }
                self.expire(&mut life);
                if self.swaps_orders(&mut life) {
                    drop(life);
                    return no_answer();
                }
                if !life.ends.is_empty() || Instant::now() >= ends {
                    let percent = |run: &Run| match run.work {
                        Some(work) => {
                            (run.since.elapsed().as_millis() * 100 / work.as_millis().max(1)).min(99)
                        }
                        None => 100,
                    };
                    let running: Vec<Value> = life
                        .runs
                        .iter()
                        .map(|(task, run)| json!([task, run.number, "", percent(run) as u64, 0]))
                        .collect();
                    let finished: Vec<Value> = life
                        .ends
                        .iter()
                        .take(LISTED_ENDS)
                        .map(|end| json!([end.number, end.task, end.run, end.how, ""]))
                        .collect();
                    let lists = json!({"born": life.born, "clock_ms": life.clock_ms(), "running": running, "finished": finished});
                    return Reply::Json(200, lists);
                }
            }
            thread::sleep(LOOK_INTERVAL);
        }
    }
}

/// Leaves a call without an answer for longer than any caller waits.
fn no_answer() -> Reply {
    thread::sleep(Duration::from_secs(10));
    Reply::Close
}
