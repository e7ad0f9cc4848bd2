//! Minions: they run tasks for the time that the job's `spec` names, hold leases on a steady clock and
//! check fencing tokens.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, serve, serve_unless};
use crate::json::{Json, map, num, parse, text};
use crate::record::Record;
use crate::store::Store;

/// Longest lease, in milliseconds (`hold_max_ms`).
const HOLD_MAX_MS: u64 = 6_000;
/// Shortest interval at which waiting calls and runs are looked after.
const STEP: Duration = Duration::from_millis(2);

/// A run of a task, as the minions saw it.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub run: u64,
    pub minion: String,
    /// From the start of the script.
    pub from: Duration,
    pub to: Option<Duration>,
    pub how: &'static str,
}

struct Running {
    run: u64,
    since: Instant,
    time: Duration,
    /// Position in the list of all runs.
    entry: usize,
}

/// One lifetime of a minion.
struct Life {
    id: String,
    started: Instant,
    token: u64,
    until_ms: u64,
    running: BTreeMap<String, Running>,
    finished: Vec<Json>,
    last_end: u64,
    closed: BTreeMap<String, u64>,
    /// Whether its process is gone.
    down: bool,
}

/// Whose calls reach a minion: a cut is told by the fencing token of the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reach {
    All,
    /// Only leaders with this token or a lower one.
    Older(u64),
    /// Only leaders with a higher token.
    Newer(u64),
}

impl Reach {
    fn admits(self, token: u64) -> bool {
        match self {
            Reach::All => true,
            Reach::Older(last) => token <= last,
            Reach::Newer(last) => token > last,
        }
    }
}

/// A machine with its minion.
pub struct Machine {
    pub name: String,
    pub zone: String,
    address: SocketAddr,
    labels: Vec<String>,
    millicpu: u64,
    life: Mutex<Life>,
    reach: Mutex<Reach>,
    /// Whether connections to it are refused although it runs on.
    refused: Arc<AtomicBool>,
}

/// All machines, and all runs on them.
#[derive(Clone)]
pub struct Machines {
    pub all: Arc<Mutex<Vec<Arc<Machine>>>>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    store: Store,
    record: Record,
    /// Interval at which waiting calls and runs are looked after.
    step: Duration,
    /// Whether one thread looks after all machines, and none of them can refuse connections.
    many: bool,
}

impl Machines {
    pub fn new(store: &Store, record: &Record) -> Self {
        let (store, record) = (store.clone(), record.clone());
        Self { all: Arc::default(), runs: Arc::default(), store, record, step: STEP, many: false }
    }

    /// Like [`Self::new`], for hundreds of machines.
    pub fn many(store: &Store, record: &Record) -> Self {
        let machines = Self { step: 10 * STEP, many: true, ..Self::new(store, record) };
        let own = machines.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(own.step);
                let all = own.all.lock().unwrap().clone();
                all.iter().for_each(|machine| own.look_after(machine));
            }
        });
        machines
    }

    /// Starts a machine, whose minion registers at once.
    pub fn add(&self, listener: TcpListener, name: &str, zone: &str, labels: &[&str], millicpu: u64) -> Arc<Machine> {
        let address = listener.local_addr().expect("an address");
        let labels = labels.iter().map(|label| (*label).to_owned()).collect();
        let life = Mutex::new(Life::new(&format!("{name}-1")));
        let reach = Mutex::new(Reach::All);
        let refused = Arc::<AtomicBool>::default();
        let (name, zone) = (name.to_owned(), zone.to_owned());
        let machine = Machine { name, zone, address, labels, millicpu, life, reach, refused: refused.clone() };
        let machine = Arc::new(machine);
        self.register(&machine, None);
        if self.many {
            let (own, machines) = (machine.clone(), self.clone());
            serve(listener, Arc::new(move |request| machines.answer(&own, request)));
            self.all.lock().unwrap().push(machine.clone());
            return machine;
        }
        let (own, machines) = (machine.clone(), self.clone());
        serve_unless(refused, listener, Arc::new(move |request| machines.answer(&own, request)));
        let (own, machines) = (machine.clone(), self.clone());
        thread::spawn(move || {
            loop {
                thread::sleep(STEP);
                machines.look_after(&own);
            }
        });
        self.all.lock().unwrap().push(machine.clone());
        machine
    }

    /// Writes the minion's entry; with `remaining` it drains.
    pub fn register(&self, machine: &Machine, remaining: Option<Duration>) {
        let capacity = vec![("millicpu", num(machine.millicpu)), ("mem_mb", num(65_536)), ("gpus", num(0))];
        let id = machine.life.lock().unwrap().id.clone();
        let mut entry = vec![
            ("service", text("svc")),
            ("address", text(&machine.address.to_string())),
            ("zone", text(&machine.zone)),
            ("version", text("v1")),
            ("slots", num(8)),
            ("state", text(if remaining.is_some() { "draining" } else { "ready" })),
            ("cold_ms", num(0)),
            ("sequence", num(1)),
            ("capacity", map(capacity)),
            ("labels", Json::List(machine.labels.iter().map(|label| text(label)).collect())),
            ("machine", text(&machine.name)),
        ];
        if let Some(remaining) = remaining {
            entry.push(("remaining_ms", num(remaining.as_millis() as u64)));
        }
        self.store.put(&format!("servers/{id}"), &map(entry));
    }

    /// Ends the minion's process: everything that runs on it ends, and it says nothing more.
    pub fn crash(&self, machine: &Machine) {
        let mut life = machine.life.lock().unwrap();
        life.down = true;
        let ended: Vec<Running> = std::mem::take(&mut life.running).into_values().collect();
        let now = self.record.now();
        for running in ended {
            let mut runs = self.runs.lock().unwrap();
            (runs[running.entry].to, runs[running.entry].how) = (Some(now), "crash");
        }
        self.record.line(&format!("the process of minion {} ends", life.id));
    }

    /// Starts the minion's next lifetime, under a new id.
    pub fn restart(&self, machine: &Machine, number: u32) {
        let old = {
            let mut life = machine.life.lock().unwrap();
            let old = life.id.clone();
            *life = Life::new(&format!("{}-{number}", machine.name));
            old
        };
        self.register(machine, None);
        self.record.line(&format!("machine {} is back as {}-{number}", machine.name, machine.name));
        // The entry of the earlier lifetime goes after three status report intervals of silence.
        let store = self.store.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(4_500));
            store.remove(&format!("servers/{old}"));
        });
    }

    /// Id of the minion's present lifetime.
    pub fn id(&self, machine: &Machine) -> String {
        machine.life.lock().unwrap().id.clone()
    }

    /// Refuses connections to a minion that runs on, or accepts them again.
    pub fn set_refused(&self, machine: &Machine, refused: bool) {
        machine.refused.store(refused, Ordering::SeqCst);
    }

    pub fn set_reach(&self, machine: &Machine, reach: Reach) {
        *machine.reach.lock().unwrap() = reach;
    }

    /// Ends runs that are complete or whose lease has expired.
    fn look_after(&self, machine: &Machine) {
        let mut life = machine.life.lock().unwrap();
        let lapsed = life.clock_ms() > life.until_ms;
        let ended: Vec<(String, &'static str)> = life
            .running
            .iter()
            .filter_map(|(task, running)| match running.since.elapsed() >= running.time {
                true => Some((task.clone(), "done")),
                false => lapsed.then(|| (task.clone(), "lapsed")),
            })
            .collect();
        for (task, how) in ended {
            self.end(&mut life, &task, how);
        }
    }

    fn end(&self, life: &mut Life, task: &str, how: &'static str) {
        let Some(running) = life.running.remove(task) else { return };
        life.last_end += 1;
        let row = vec![num(life.last_end), text(task), num(running.run), text(how), text("")];
        life.finished.push(Json::List(row));
        let closed = life.closed.entry(task.to_owned()).or_default();
        *closed = (*closed).max(running.run);
        let mut runs = self.runs.lock().unwrap();
        (runs[running.entry].to, runs[running.entry].how) = (Some(self.record.now()), how);
        drop(runs);
        self.record.line(&format!("run {} of {task} ends {how} on {}", running.run, life.id));
    }

    fn answer(&self, machine: &Machine, request: &Request) -> Option<(u16, String)> {
        let body = parse(&request.body).unwrap_or(Json::Null);
        let token = body.get("fencing_token").int();
        let admitted = || machine.reach.lock().unwrap().admits(token);
        if !admitted() {
            while !admitted() {
                thread::sleep(STEP);
            }
            return None;
        }
        let target = request.header("target-instance").to_owned();
        let answer = match request.path.as_str() {
            "/api/hold" => self.hold(machine, &target, &body, token),
            path => {
                let mut life = machine.life.lock().unwrap();
                match life.refusal(&target, token) {
                    Refusal::None if path == "/api/run-start" => Some(self.start(machine, &mut life, &body)),
                    Refusal::None => Some(self.stop(&mut life, &body)),
                    Refusal::Answer(status, reason) => Some((status, life.said(reason))),
                    Refusal::Silence => None,
                }
            }
        };
        if !admitted() {
            while !admitted() {
                thread::sleep(STEP);
            }
            return None;
        }
        answer.map(|(status, body)| (status, body.write()))
    }

    fn start(&self, machine: &Machine, life: &mut Life, body: &Json) -> (u16, Json) {
        let (task, run) = (body.get("task").text(), body.get("run").int());
        let until = body.get("until_ms").int().min(life.clock_ms() + HOLD_MAX_MS);
        if until < life.clock_ms() {
            return (409, life.said("late"));
        }
        if life.running.get(task).is_some_and(|running| running.run == run) {
            life.until_ms = life.until_ms.max(until);
            return (200, life.said(""));
        }
        let closed = life.closed.get(task).copied().unwrap_or(0);
        life.until_ms = life.until_ms.max(until);
        if run <= closed || life.running.contains_key(task) {
            return (409, life.said("old"));
        }
        let time = Duration::from_millis(body.get("spec").text().parse().unwrap_or(1_000));
        let mut runs = self.runs.lock().unwrap();
        let entry = runs.len();
        runs.push(Run {
            task: task.to_owned(),
            run,
            minion: life.id.clone(),
            from: self.record.now(),
            to: None,
            how: "running",
        });
        drop(runs);
        life.running.insert(task.to_owned(), Running { run, since: Instant::now(), time, entry });
        let token = life.token;
        self.record.line(&format!("run {run} of {task} begins on {} in {}, fencing token {token}", life.id, machine.zone));
        (200, life.said(""))
    }

    fn stop(&self, life: &mut Life, body: &Json) -> (u16, Json) {
        let (task, run) = (body.get("task").text(), body.get("run").int());
        match life.running.get(task).is_some_and(|running| running.run == run) {
            true => self.end(life, task, "stopped"),
            false => {
                let closed = life.closed.entry(task.to_owned()).or_default();
                *closed = (*closed).max(run);
            }
        }
        (200, life.said(""))
    }

    fn hold(&self, machine: &Machine, target: &str, body: &Json, token: u64) -> Option<(u16, Json)> {
        let wait = Duration::from_millis(body.get("wait_ms").int().min(2_000));
        let until = Instant::now() + wait;
        let seen = {
            let mut life = machine.life.lock().unwrap();
            match life.refusal(target, token) {
                Refusal::None => {}
                Refusal::Answer(status, reason) => return Some((status, life.said(reason))),
                Refusal::Silence => return None,
            }
            let cursor = body.get("ack_cursor").int();
            life.finished.retain(|row| row.at(0).int() > cursor);
            if let Some(lease) = body.get("until_ms").number() {
                life.until_ms = life.until_ms.max(lease.min(life.clock_ms() + HOLD_MAX_MS));
            }
            life.id.clone()
        };
        loop {
            let life = machine.life.lock().unwrap();
            if life.down || life.id != seen {
                return None;
            }
            if !life.finished.is_empty() || Instant::now() >= until {
                return Some((200, life.lists()));
            }
            drop(life);
            thread::sleep(self.step);
        }
    }
}

enum Refusal {
    None,
    Answer(u16, &'static str),
    Silence,
}

impl Life {
    fn new(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            started: Instant::now(),
            token: 0,
            until_ms: 0,
            running: BTreeMap::new(),
            finished: Vec::new(),
            last_end: 0,
            closed: BTreeMap::new(),
            down: false,
        }
    }

    /// The clock of this lifetime; it begins at 1,000 ms.
    fn clock_ms(&self) -> u64 {
        1_000 + self.started.elapsed().as_millis() as u64
    }

    fn refusal(&mut self, target: &str, token: u64) -> Refusal {
        match () {
            () if self.down => Refusal::Silence,
            () if !target.is_empty() && target != self.id => Refusal::Answer(421, ""),
            () if token < self.token => Refusal::Answer(409, "fence"),
            () => {
                self.token = token;
                Refusal::None
            }
        }
    }

    fn said(&self, reason: &str) -> Json {
        let mut body = vec![("clock_ms", num(self.clock_ms()))];
        if !reason.is_empty() {
            body.push(("reason", text(reason)));
        }
        map(body)
    }

    fn lists(&self) -> Json {
        let row = |(task, running): (&String, &Running)| {
            let share = running.since.elapsed().as_secs_f64() / running.time.as_secs_f64();
            let percent = (share * 100.0).min(99.0) as u64;
            Json::List(vec![text(task), num(running.run), text(""), num(percent), num(1_000)])
        };
        map(vec![
            ("clock_ms", num(self.clock_ms())),
            ("running", Json::List(self.running.iter().map(row).collect())),
            ("finished", Json::List(self.finished.iter().take(500).cloned().collect())),
        ])
    }
}
