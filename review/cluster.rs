//! A small deployment: entry processes, the store, workers and a record of what they see.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::support::{Json, call, map};
use crate::store::Store;
use crate::worker::Worker;

pub const HOST: &str = "jobs.example";
/// Ports of an entry for callers, for the load balancer, for other entries and for metrics.
const PORTS: [u16; 4] = [7_161, 7_167, 7_720, 9_464];
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// A start of a run that a worker has begun.
#[derive(Clone, Debug)]
pub struct Start {
    pub at: Instant,
    pub worker: String,
    pub task: String,
    pub run: u64,
}

/// The end of a run.
#[derive(Clone, Debug)]
pub struct End {
    pub at: Instant,
    pub worker: String,
    pub number: u64,
    pub task: String,
    pub run: u64,
    pub how: &'static str,
}

/// What the workers and the callers have seen.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
    pub starts: Mutex<Vec<Start>>,
    pub ends: Mutex<Vec<End>>,
    /// Highest acknowledged end of each worker's life.
    pub acks: Mutex<BTreeMap<String, u64>>,
}

impl Record {
    pub fn new(folder: &str) -> Arc<Self> {
        let file = File::create(format!("{folder}/record.txt")).expect("record.txt can be written");
        Arc::new(Self {
            began: Instant::now(),
            file: Mutex::new(file),
            starts: Mutex::default(),
            ends: Mutex::default(),
            acks: Mutex::default(),
        })
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.began).as_secs_f64()
    }

    fn line(&self, at: Instant, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {text}", self.seconds(at));
    }

    /// Writes a line that is also printed.
    pub fn note(&self, text: &str) {
        let now = Instant::now();
        println!("{:8.3} {text}", self.seconds(now));
        self.line(now, text);
    }

    pub fn begun(&self, worker: &str, task: &str, run: u64) {
        let at = Instant::now();
        self.line(at, &format!("{worker} begins {task} run {run}"));
        let start = Start { at, worker: worker.into(), task: task.into(), run };
        self.starts.lock().unwrap().push(start);
    }

    pub fn ended(&self, worker: &str, number: u64, task: &str, run: u64, how: &'static str, at: Instant) {
        self.line(at, &format!("{worker} end {number}: {task} run {run} {how}"));
        let end = End { at, worker: worker.into(), number, task: task.into(), run, how };
        self.ends.lock().unwrap().push(end);
    }

    pub fn acked(&self, worker: &str, cursor: u64) {
        self.line(Instant::now(), &format!("{worker} ack_cursor {cursor}"));
        self.acks.lock().unwrap().insert(worker.into(), cursor);
    }

    /// Tasks of a job that have ended `done`.
    pub fn done(&self, prefix: &str) -> usize {
        let ends = self.ends.lock().unwrap();
        let done = ends.iter().filter(|end| end.how == "done" && end.task.starts_with(prefix));
        done.map(|end| end.task.clone()).collect::<std::collections::BTreeSet<_>>().len()
    }

    pub fn first_starts(&self, prefix: &str) -> usize {
        let starts = self.starts.lock().unwrap();
        let started = starts.iter().filter(|start| start.task.starts_with(prefix));
        started.map(|start| start.task.clone()).collect::<std::collections::BTreeSet<_>>().len()
    }
}

struct Entry {
    name: String,
    settings: PathBuf,
    callers: SocketAddr,
    ready: SocketAddr,
    child: Option<Child>,
}

/// The deployment. Dropping it ends all processes that it has started.
pub struct Cluster {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub workers: Vec<Arc<Worker>>,
    entries: Vec<Entry>,
    folder: PathBuf,
    millicpu: u64,
}

/// Shape of a deployment.
pub struct Shape {
    pub entries: usize,
    pub workers: usize,
    pub millicpu: u64,
    pub max_attempts: u64,
}

fn free_port(ip: IpAddr) -> u16 {
    TcpListener::bind((ip, 0)).and_then(|listener| listener.local_addr()).map_or(0, |a| a.port())
}

impl Cluster {
    /// Starts the stand-ins and the entries, and waits until all entries are ready.
    pub fn start(record: Arc<Record>, shape: &Shape) -> Option<Self> {
        let program = "target/release/kelplink";
        if !std::path::Path::new(program).exists() {
            record.note("target/release/kelplink is missing: run the build of the deploy file first");
            return None;
        }
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-{id}"));
        fs::create_dir_all(&folder).ok()?;
        let address = |net: u8, host: usize| {
            IpAddr::V4(Ipv4Addr::new(127, net, (id & 255) as u8, host as u8 + 1))
        };
        // A network of loopback addresses whose ports for the entries are free.
        let net = (0..64).map(|turn| 64 + ((id >> 8) as u8 + turn) % 64).find(|net| {
            (1..=shape.entries).all(|host| {
                PORTS.iter().all(|port| TcpListener::bind((address(*net, host), *port)).is_ok())
            })
        })?;
        let ip = |host: usize| address(net, host);
        let store_address = SocketAddr::new(ip(0), free_port(ip(0)));
        let store = Store::start(store_address, record.clone());
        let millicpu = shape.millicpu;
        let mut workers = Vec::new();
        for number in 0..shape.workers {
            let address = SocketAddr::new(ip(100), free_port(ip(100)));
            workers.push(Worker::start(address, &format!("w{number}"), record.clone()));
        }
        let mut cluster =
            Self { record, store, workers, entries: Vec::new(), folder, millicpu };
        (0..shape.workers).for_each(|number| cluster.register(number));
        cluster.configure(shape.max_attempts);
        for number in 0..shape.entries {
            cluster.add_entry(number, ip(number + 1), store_address);
        }
        let end = Instant::now() + Duration::from_secs(15);
        while !cluster.entries.iter().all(|entry| is_ready(entry.ready)) {
            if Instant::now() > end {
                cluster.record.note("the entries are not ready after 15 s");
                return None;
            }
            sleep(Duration::from_millis(50));
        }
        sleep(Duration::from_millis(1_000));
        cluster.record.note("all entries are ready");
        Some(cluster)
    }

    /// Registers the current life of a worker.
    pub fn register(&self, number: usize) {
        self.write_registration(number, None);
    }

    /// Reports that a worker drains and stays for some time.
    pub fn drain(&self, number: usize, remaining: Duration) {
        self.write_registration(number, Some(remaining));
    }

    fn write_registration(&self, number: usize, remaining: Option<Duration>) {
        let worker = &self.workers[number];
        let kind = if number == 0 { "b" } else { "a" };
        let labels = vec![kind.into(), format!("r1-{}", number / 8).into()];
        let capacity = [
            ("millicpu", self.millicpu.into()),
            ("mem_mb", 65_536u64.into()),
            ("gpus", 0u64.into()),
        ];
        let mut entry = map([
            ("service", "svc".into()),
            ("address", worker.address.to_string().into()),
            ("zone", ZONES[number % ZONES.len()].into()),
            ("version", "v1".into()),
            ("slots", 8u64.into()),
            ("state", if remaining.is_some() { "draining" } else { "ready" }.into()),
            ("cold_ms", 0u64.into()),
            ("sequence", 1u64.into()),
            ("labels", labels.into()),
            ("capacity", map(capacity)),
            ("machine", format!("m{number}").into()),
        ]);
        if let (Json::Map(fields), Some(remaining)) = (&mut entry, remaining) {
            fields.insert("remaining_ms".into(), (remaining.as_millis() as u64).into());
        }
        self.store.put(&format!("servers/{}", worker.id()), &entry);
    }

    fn configure(&self, max_attempts: u64) {
        let route = map([
            ("name", "batch".into()),
            ("hostname", HOST.into()),
            ("prefix", "/batch/".into()),
            ("type", "non_idempotent".into()),
            ("timeout_ms", 3_000u64.into()),
            ("target_latency_ms", 1_200u64.into()),
            ("priority", 2u64.into()),
            ("service", "svc".into()),
            ("max_attempts", max_attempts.into()),
            ("slack_factor", Json::Num(1.5)),
        ]);
        let service = map([("name", "svc".into()), ("admission_check", false.into())]);
        let limits = [("max_body_bytes", 262_144u64.into()), ("header_timeout_ms", 3_000u64.into())];
        let config = map([
            ("version", 1u64.into()),
            ("routes", vec![route].into()),
            ("services", vec![service].into()),
            ("limits", map(limits)),
        ]);
        self.store.put("op/config", &config);
    }

    fn add_entry(&mut self, number: usize, ip: IpAddr, store: SocketAddr) {
        let name = format!("front-{}-{number}", ZONES[number % ZONES.len()]);
        let [front, ready, peers, _] = PORTS;
        let zones: String = ZONES.iter().map(|zone| format!("{zone} = \"area\"\n")).collect();
        let text = format!(
            "node = \"{name}\"\nrole = \"entry\"\nmachine_class = \"front\"\nserves = [\"front\",\"control\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"area\"\ninternal_ports = [{peers}, {last}]\n\
             bootstrap = true\nheartbeat_ms = 1500\norders = \"invoke\"\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\",\"upkeep\",\"sharing\"]\n\
             [zones]\n{zones}[listen]\nfront = \"{ip}:{front}\"\nready = \"{ip}:{ready}\"\n\
             [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\n\
             [bounds]\ndrain_ms = 2000\ngrace_s = 6\nhold_max_ms = 6000\nstop_ms = 400\ngang_ms = 3000\n\
             status_s = 120\ncross_rack_factor = 3\nsave_s = 0.5\nrestore_ms = 100\n\
             [platform]\naddress = \"{store}\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\n\
             history_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n",
            zone = ZONES[number % ZONES.len()],
            last = peers + 15,
        );
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("the settings can be written");
        let callers = SocketAddr::new(ip, front);
        let ready = SocketAddr::new(ip, ready);
        self.entries.push(Entry { name, settings, callers, ready, child: None });
        self.start_entry(number);
    }

    /// Starts an entry with the command of the deploy file.
    pub fn start_entry(&mut self, number: usize) {
        let entry = &mut self.entries[number];
        let log = self.folder.join(format!("{}.log", entry.name));
        let log = File::options().create(true).append(true).open(log).expect("a log file");
        let inherited = ["PATH", "HOME", "LANG"];
        let inherited = inherited.iter().filter_map(|name| Some((name, std::env::var(name).ok()?)));
        let child = Command::new("target/release/kelplink")
            .arg("serve")
            .env_clear()
            .envs(inherited)
            .env("KELPLINK_SETTINGS", &entry.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().expect("a log file")))
            .stderr(Stdio::from(log))
            .spawn();
        entry.child = child.ok();
        // The script that started this program ends the entries should this program be killed.
        if let (Some(child), Ok(path)) = (&entry.child, std::env::var("REVIEW_PIDS"))
            && let Ok(mut file) = File::options().create(true).append(true).open(path)
        {
            let _ = writeln!(file, "{}", child.id());
        }
    }

    /// Kills an entry with SIGKILL.
    pub fn kill_entry(&mut self, number: usize) {
        if let Some(mut child) = self.entries[number].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM to an entry, and SIGKILL after `grace_s`. Returns whether it ended by itself.
    pub fn stop_entry(&mut self, number: usize) -> bool {
        let Some(mut child) = self.entries[number].child.take() else { return false };
        let signal = format!("kill -TERM {}", child.id());
        let _ = Command::new("sh").args(["-c", &signal]).status();
        let end = Instant::now() + Duration::from_secs(6);
        while Instant::now() < end {
            if let Ok(Some(_)) = child.try_wait() {
                return true;
            }
            sleep(Duration::from_millis(20));
        }
        let _ = child.kill();
        let _ = child.wait();
        false
    }

    /// The entry that leads, according to the store.
    pub fn leader(&self) -> Option<usize> {
        let name = self.store.value("m/leader")?.get("entry").str().to_owned();
        self.entries.iter().position(|entry| entry.name == name)
    }

    /// A request of a caller to an entry, as the load balancer would choose it.
    pub fn request(&self, entry: usize, method: &str, path: &str, body: Option<&Json>) -> Option<(u16, Json)> {
        let limit = Duration::from_millis(3_000);
        call(self.entries[entry % self.entries.len()].callers, method, path, HOST, body, limit)
    }

    /// Submits a job, with up to four retries at other entries. Returns whether it was accepted.
    pub fn submit(&self, id: &str, job: &Json) -> bool {
        for attempt in 0..5 {
            let answer = self.request(attempt, "POST", &format!("/batch/{id}"), Some(job));
            let status = answer.map(|(status, _)| status);
            self.record.note(&format!("client: POST {id} to entry {attempt}: {status:?}"));
            if status == Some(200) {
                return true;
            }
            sleep(Duration::from_millis(500));
        }
        false
    }

    /// The state of a job, from the first entry that answers.
    pub fn state(&self, id: &str) -> String {
        for entry in 0..self.entries.len() {
            if let Some((status, body)) = self.request(entry, "GET", &format!("/batch/{id}"), None) {
                match status {
                    200 => return body.get("state").str().to_owned(),
                    410 => return "410".to_owned(),
                    _ => {}
                }
            }
        }
        "no answer".to_owned()
    }

    pub fn wait_state(&self, id: &str, states: &[&str], limit: Duration) -> String {
        let end = Instant::now() + limit;
        loop {
            let state = self.state(id);
            if states.contains(&state.as_str()) || Instant::now() > end {
                self.record.note(&format!("client: GET {id}: {state}"));
                return state;
            }
            sleep(Duration::from_millis(100));
        }
    }

    /// Copies the last lines of the entries' logs that hold one of some words to the record.
    pub fn note_logs(&self, words: &[&str]) {
        for entry in &self.entries {
            let path = self.folder.join(format!("{}.log", entry.name));
            let text = fs::read_to_string(path).unwrap_or_default();
            let lines = text.lines().filter(|line| words.iter().any(|word| line.contains(word)));
            for line in lines.take(12) {
                self.record.line(Instant::now(), &format!("log of {}: {line}", entry.name));
            }
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for number in 0..self.entries.len() {
            self.kill_entry(number);
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let answer = call(address, "GET", "/api/readyz", HOST, None, Duration::from_millis(500));
    answer.is_some_and(|(status, _)| status == 200)
}

/// A step of a job.
pub fn step(count: u64, millicpu: u64, estimated_ms: u64, after: &[u64]) -> Json {
    map([
        ("count", count.into()),
        ("millicpu", millicpu.into()),
        ("mem_mb", 64u64.into()),
        ("estimated_ms", estimated_ms.into()),
        ("after", after.iter().map(|number| Json::from(*number)).collect::<Vec<_>>().into()),
    ])
}
