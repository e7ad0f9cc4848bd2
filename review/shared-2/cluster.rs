//! The system's processes, each on a loopback address of its own, and their callers.

use std::fs;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Answer, call};
use crate::json::{Json, map, num, parse, text};
use crate::record::Record;
use crate::store::{Path, Store};

pub const HOST: &str = "jobs.example";

/// Bounds of a small deployment, from the pages.
const BOUNDS: &str = "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\n\
drain_ms = 2000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_ms = 2000\ndowngrade_ms = 250\nmax_extension_ms = 5000\n\
recovery_s = 12\nhold_max_ms = 6000\nstop_ms = 400\ngang_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\n\
early_ms = 250\nfinish_s = 14\nstatus_s = 120\ncross_rack_factor = 3\nsave_s = 0.5\nrestore_ms = 100\n\
notice_ms = 4500\nmigrate_s = 1.5\nmaintenance_s = 2\nrequire_fencing = true\nlease_ms = 3000\nthaw_ms = 300\n\
pace_ms = 100\nimpact_ms = 4000\n";

pub struct Node {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    pub path: Path,
    child: Option<Child>,
}

pub struct Cluster {
    pub nodes: Vec<Node>,
    pub store: Store,
    folder: PathBuf,
    program: PathBuf,
    root: PathBuf,
    record: Record,
}

/// A loopback address that belongs to this run.
pub fn address(host: u8) -> IpAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 60 + high % 60, low.max(1), host))
}

pub fn listener(host: u8) -> TcpListener {
    TcpListener::bind((address(host), 0)).expect("a free port")
}

/// Ports that are free now, one after the other.
fn free_ports(ip: IpAddr, count: u16) -> u16 {
    (21_000..29_000)
        .step_by(usize::from(count))
        .find(|first| (*first..first + count).all(|port| TcpListener::bind((ip, port)).is_ok()))
        .expect("free ports")
}

impl Cluster {
    /// `root` is the repository; the program is the one that the deploy file builds and runs.
    pub fn new(root: &str, store: &Store, record: &Record) -> io::Result<Self> {
        let root = fs::canonicalize(root)?;
        let program = root.join("target/release/kelplink");
        fs::metadata(&program)?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir(&folder)?;
        Ok(Self { nodes: Vec::new(), store: store.clone(), folder, program, root, record: record.clone() })
    }

    /// Writes the settings of a node and starts it.
    pub fn add(&mut self, number: u8, zone: &str, zones: &[&str]) -> io::Result<()> {
        let ip = address(20 + number);
        let first = free_ports(ip, 20);
        let name = format!("front-{zone}-{number}");
        let (store, path) = self.store.open(listener(10 + number));
        let zone_lines: String = zones.iter().map(|zone| format!("{zone} = \"area\"\n")).collect();
        let (front, ready, control) = (first + 16, first + 17, first + 18);
        let text = format!(
            "node = \"{name}\"\nrole = \"entry\"\nmachine_class = \"front\"\nserves = [\"front\",\"control\"]\nip = \"{ip}\"\n\
             zone = \"{zone}\"\nregion = \"area\"\ninternal_ports = [{first},{last}]\nseeds = []\nbootstrap = true\n\
             counts_as_loss = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1500\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\"]\norders = \"invoke\"\n\
             [zones]\n{zone_lines}[listen]\nfront = \"{ip}:{front}\"\nready = \"{ip}:{ready}\"\ncontrol = \"{ip}:{control}\"\n\
             [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n\
             [fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n{BOUNDS}\
             [platform]\naddress = \"{store}\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\n\
             value_bytes = 1048576\nttl_min_ms = 1000\n",
            last = first + 15,
        );
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        let (front, ready) = (SocketAddr::new(ip, front), SocketAddr::new(ip, ready));
        let zone = zone.to_owned();
        self.nodes.push(Node { name, zone, front, ready, settings, path, child: None });
        self.start(self.nodes.len() - 1)
    }

    /// Starts the process of a node.
    pub fn start(&mut self, index: usize) -> io::Result<()> {
        let node = &mut self.nodes[index];
        let log = fs::File::options().create(true).append(true).open(self.folder.join(format!("{}.log", node.name)))?;
        let mut command = Command::new(&self.program);
        command.arg("serve").current_dir(&self.root).env_clear().env("KELPLINK_SETTINGS", &node.settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        node.child = Some(command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log).spawn()?);
        self.record.line(&format!("process {} started", node.name));
        Ok(())
    }

    /// Sends SIGKILL to the process of a node and waits for its end.
    pub fn kill(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if let Some(mut child) = node.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("process {} killed", node.name));
        }
    }

    /// Index of the node that the store names as leader, with its epoch.
    pub fn leader(&self) -> Option<(usize, u64)> {
        let record = self.store.value("m/leader")?;
        let index = self.nodes.iter().position(|node| node.name == record.get("entry").text())?;
        Some((index, record.get("epoch").int()))
    }

    /// Waits until all nodes answer 200 at their `ready` address.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let ready = |node: &Node| {
            let answer = call(node.ready, "GET", "/api/readyz", HOST, &[], "", Duration::from_secs(1));
            answer.is_some_and(|(status, _)| status == 200)
        };
        while Instant::now() < until {
            if self.nodes.iter().all(ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Sends a request of a client to a node.
    pub fn request(&self, index: usize, method: &str, path: &str, body: &str) -> Answer {
        let node = &self.nodes[index];
        let headers = [("Deadline-Ms", "3000")];
        let answer = call(node.front, method, path, HOST, &headers, body, Duration::from_millis(3_000));
        let said = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_owned(),
        };
        self.record.line(&format!("{method} {path} {body} at {} -> {said}", node.name));
        answer
    }

    /// State of a job, from the first node of `nodes` that tells it.
    pub fn state(&self, nodes: &[usize], path: &str) -> Option<String> {
        nodes.iter().find_map(|index| match self.request(*index, "GET", path, "") {
            Some((200, body)) => Some(parse(body.as_bytes())?.get("state").text().to_owned()),
            Some((410, _)) => Some("gone".to_owned()),
            _ => None,
        })
    }

    /// Text of the log of a node.
    pub fn log(&self, index: usize) -> String {
        fs::read_to_string(self.folder.join(format!("{}.log", self.nodes[index].name))).unwrap_or_default()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for index in 0..self.nodes.len() {
            self.kill(index);
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Writes a desired state with one queue.
pub fn configure(store: &Store, version: u64, max_attempts: u64) {
    configure_routes(store, version, max_attempts, &["q"]);
}

/// Writes a desired state with queues of these names and prefixes.
pub fn configure_routes(store: &Store, version: u64, max_attempts: u64, names: &[&str]) {
    let route = |name: &&str| map(vec![
        ("name", text(name)),
        ("hostname", text(HOST)),
        ("prefix", text(&format!("/{name}/"))),
        ("type", text("non_idempotent")),
        ("timeout_ms", num(3_000)),
        ("target_latency_ms", num(1_200)),
        ("priority", num(0)),
        ("service", text("svc")),
        ("max_attempts", num(max_attempts)),
        ("slack_factor", Json::Number(2.2)),
    ]);
    let service = vec![("name", text("svc")), ("admission_check", Json::Bool(false))];
    let limits = vec![("max_body_bytes", num(262_144)), ("header_timeout_ms", num(3_000))];
    let config = vec![
        ("version", num(version)),
        ("routes", Json::List(names.iter().map(route).collect())),
        ("services", Json::List(vec![map(service)])),
        ("limits", map(limits)),
    ];
    store.put("op/config", &map(config));
}
