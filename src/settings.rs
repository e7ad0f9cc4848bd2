//! Settings of an entry process, parsed from TOML and checked as a whole.

use std::net::SocketAddr;
use std::time::Duration;

use crate::diagnostic::DiagnosticList;
use crate::id::{DomainId, EntryId};
use crate::reader::{DiagnosticSink, TableReader};

type Result<T> = std::result::Result<T, DiagnosticList>;

/// Another entry process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerSettings {
    /// Name of the peer.
    pub name: EntryId,
    /// Failure domain of the peer.
    pub domain: DomainId,
    /// Address of its JSON-RPC listener.
    pub address: SocketAddr,
    /// Address of its listener for callers, to which requests are forwarded.
    pub callers: SocketAddr,
}

/// Time bounds of coordination; all entries of a deployment must use the same values.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TimingSettings {
    /// Time to live of the leader's lease in the store.
    pub lease_ttl: Duration,
    /// Time to live of a task's lease at its worker.
    pub task_lease: Duration,
    /// Time to live of a share of upstream slots.
    pub share_ttl: Duration,
    /// Interval between exchanges with a worker for which no commands are queued.
    pub worker_interval: Duration,
    /// Interval between messages to peers.
    pub peer_interval: Duration,
    /// Shortest interval between two writes to the ledger.
    pub commit_interval: Duration,
    /// How long a command may take to reach its worker.
    pub command_validity: Duration,
    /// How long another failure domain postpones taking over tasks after a request to do so.
    pub hold: Duration,
    /// Longest duration of one attempt at an upstream.
    pub attempt_limit: Duration,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            lease_ttl: Duration::from_millis(2_000),
            task_lease: Duration::from_millis(10_000),
            share_ttl: Duration::from_millis(2_000),
            worker_interval: Duration::from_millis(3_000),
            peer_interval: Duration::from_millis(500),
            commit_interval: Duration::from_millis(200),
            command_validity: Duration::from_millis(2_000),
            hold: Duration::from_millis(10_000),
            attempt_limit: Duration::from_millis(10_000),
        }
    }
}

/// Bounds on what callers may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitSettings {
    /// Largest number of open connections of callers.
    pub connections: usize,
    /// Largest size of a request body in bytes.
    pub request_bytes: usize,
    /// Largest size of an answer in bytes; it is buffered completely before its first byte is sent.
    pub answer_bytes: usize,
    /// Largest number of requests that wait for a slot.
    pub waiting: usize,
    /// Longest time for the head of a request to arrive.
    pub head_time: Duration,
    /// Longest time for the body of a request to arrive.
    pub body_time: Duration,
    /// Longest time that a planned stop waits for requests in flight.
    pub drain: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            connections: 1_024,
            request_bytes: 1 << 20,
            answer_bytes: 8 << 20,
            waiting: 1_024,
            head_time: Duration::from_secs(10),
            body_time: Duration::from_secs(10),
            drain: Duration::from_secs(15),
        }
    }
}

/// All settings of one entry process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntrySettings {
    /// Name of this entry.
    pub name: EntryId,
    /// Failure domain of this entry.
    pub domain: DomainId,
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address of the listener for operators.
    pub operators: SocketAddr,
    /// Address of the listener for peers.
    pub peers: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the platform's list of VMs.
    pub vms: SocketAddr,
    /// All other entries of the deployment.
    pub others: Vec<PeerSettings>,
    /// Time bounds.
    pub timing: TimingSettings,
    /// Bounds on callers.
    pub limits: LimitSettings,
}

impl EntrySettings {
    /// Parses and checks settings; on failure the error lists all mistakes, not only the first.
    ///
    /// # Errors
    /// Returns all diagnostics, in order of position.
    pub fn parse(source: &str, text: &str) -> Result<Self> {
        let (table, mut sink) = DiagnosticSink::parse(source, text);
        let mut reader = TableReader::new(&table);
        let settings = read_entry(&mut reader, &mut sink);
        reader.finish(&mut sink);
        sink.finish(settings)
    }
}

const EXPECTED_ADDRESS: &str = "an address like \"127.0.0.1:7100\"";

fn read_entry(
    reader: &mut TableReader<'_, '_>,
    sink: &mut DiagnosticSink<'_>,
) -> Option<EntrySettings> {
    let name = reader.string("name", sink);
    let domain = reader.string("failure_domain", sink);
    let callers = reader.parsed("callers", EXPECTED_ADDRESS, sink);
    let operators = reader.parsed("operators", EXPECTED_ADDRESS, sink);
    let peers = reader.parsed("peers", EXPECTED_ADDRESS, sink);
    let store = reader.parsed("store", EXPECTED_ADDRESS, sink);
    let vms = reader.parsed("vms", EXPECTED_ADDRESS, sink);
    let others = read_peers(reader, sink);
    let timing = read_timing(reader, sink);
    let limits = read_limits(reader, sink);
    Some(EntrySettings {
        name: name?.into(),
        domain: domain?.into(),
        callers: callers?,
        operators: operators?,
        peers: peers?,
        store: store?,
        vms: vms?,
        others: others?,
        timing: timing?,
        limits: limits?,
    })
}

fn read_peers(
    reader: &mut TableReader<'_, '_>,
    sink: &mut DiagnosticSink<'_>,
) -> Option<Vec<PeerSettings>> {
    let tables = reader.tables("peer", sink);
    let mut peers = Vec::new();
    for mut table in tables {
        let name = table.string("name", sink);
        let domain = table.string("failure_domain", sink);
        let address = table.parsed("address", EXPECTED_ADDRESS, sink);
        let callers = table.parsed("callers", EXPECTED_ADDRESS, sink);
        table.finish(sink);
        peers.push(read_peer(name, domain, address, callers));
    }
    peers.into_iter().collect()
}

fn read_peer(
    name: Option<String>,
    domain: Option<String>,
    address: Option<SocketAddr>,
    callers: Option<SocketAddr>,
) -> Option<PeerSettings> {
    Some(PeerSettings {
        name: name?.into(),
        domain: domain?.into(),
        address: address?,
        callers: callers?,
    })
}

fn read_timing(
    reader: &mut TableReader<'_, '_>,
    sink: &mut DiagnosticSink<'_>,
) -> Option<TimingSettings> {
    let default = TimingSettings::default();
    let Some(mut table) = reader.table("timing", sink) else {
        return Some(default);
    };
    let mut read_millis = |key, min, max, default: Duration| {
        let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        table.millis(key, min..=max, default, sink)
    };
    let lease_ttl = read_millis("lease_ttl_ms", 500, 60_000, default.lease_ttl);
    let task_lease = read_millis("task_lease_ms", 2_000, 600_000, default.task_lease);
    let share_ttl = read_millis("share_ttl_ms", 500, 60_000, default.share_ttl);
    let worker_interval = read_millis("worker_interval_ms", 100, 60_000, default.worker_interval);
    let peer_interval = read_millis("peer_interval_ms", 50, 10_000, default.peer_interval);
    let commit_interval = read_millis("commit_interval_ms", 10, 10_000, default.commit_interval);
    let command_validity =
        read_millis("command_validity_ms", 100, 10_000, default.command_validity);
    let hold = read_millis("hold_ms", 1_000, 600_000, default.hold);
    let attempt_limit = read_millis("attempt_limit_ms", 100, 600_000, default.attempt_limit);
    let span = table.span();
    table.finish(sink);
    let timing = TimingSettings {
        lease_ttl: lease_ttl?,
        task_lease: task_lease?,
        share_ttl: share_ttl?,
        worker_interval: worker_interval?,
        peer_interval: peer_interval?,
        commit_interval: commit_interval?,
        command_validity: command_validity?,
        hold: hold?,
        attempt_limit: attempt_limit?,
    };
    if timing.task_lease < timing.worker_interval * 3 {
        let message = "`task_lease_ms` is too short: expected at least three `worker_interval_ms`";
        sink.add(span.clone(), message.to_owned());
    }
    if timing.lease_ttl < timing.peer_interval * 3 {
        let message = "`lease_ttl_ms` is too short: expected at least three `peer_interval_ms`";
        sink.add(span, message.to_owned());
    }
    Some(timing)
}

fn read_limits(
    reader: &mut TableReader<'_, '_>,
    sink: &mut DiagnosticSink<'_>,
) -> Option<LimitSettings> {
    let default = LimitSettings::default();
    let Some(mut table) = reader.table("limits", sink) else {
        return Some(default);
    };
    let connections = table.integer("connections", 1..=100_000, Some(1_024), sink);
    let request_bytes = table.integer("request_bytes", 1..=1 << 30, Some(1 << 20), sink);
    let answer_bytes = table.integer("answer_bytes", 1..=1 << 30, Some(8 << 20), sink);
    let waiting = table.integer("waiting", 1..=1_000_000, Some(1_024), sink);
    let head_time = table.millis("head_time_ms", 100..=600_000, 10_000, sink);
    let body_time = table.millis("body_time_ms", 100..=600_000, 10_000, sink);
    let drain = table.millis("drain_ms", 0..=3_600_000, 15_000, sink);
    table.finish(sink);
    Some(LimitSettings {
        connections: usize::try_from(connections?).ok()?,
        request_bytes: usize::try_from(request_bytes?).ok()?,
        answer_bytes: usize::try_from(answer_bytes?).ok()?,
        waiting: usize::try_from(waiting?).ok()?,
        head_time: head_time?,
        body_time: body_time?,
        drain: drain?,
    })
}
