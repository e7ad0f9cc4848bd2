//! A worker: runs tasks under a lease, and lists what runs and what has ended.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::support::{Answer, Json, Request, map, serve};
use crate::cluster::Record;

/// Longest lease, as in the settings (`hold_max_ms`).
const HOLD_MAX_MS: u64 = 6_000;
/// Number of ends that one answer lists.
const LISTED_ENDS: usize = 500;

/// How a worker treats calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    Up,
    /// Its process is gone: connections break.
    Crashed,
    /// It leaves calls unanswered.
    Dark,
}

struct Run {
    run: u64,
    begun: Instant,
    ends_at: Instant,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

struct State {
    id: String,
    health: Health,
    started: Instant,
    highest_token: u64,
    until_ms: u64,
    runs: BTreeMap<String, Run>,
    ends: Vec<End>,
    last_end: u64,
    acked: u64,
    closed: BTreeMap<String, u64>,
}

/// A worker at an address; a new life has a new id.
pub struct Worker {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
}

impl State {
    fn new(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            health: Health::Up,
            started: Instant::now(),
            highest_token: 0,
            until_ms: 0,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            acked: 0,
            closed: BTreeMap::new(),
        }
    }

    fn clock_ms(&self) -> u64 {
        1_000 + self.started.elapsed().as_millis() as u64
    }
}

impl Worker {
    pub fn start(address: SocketAddr, id: &str, record: Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("the worker's port is free");
        let state = Mutex::new(State::new(id));
        let worker = Arc::new(Self { address, state, changed: Condvar::new(), record });
        let served = worker.clone();
        serve(listener, move |request| served.answer(&request));
        worker
    }

    pub fn id(&self) -> String {
        self.state.lock().unwrap().id.clone()
    }

    /// Crashes the worker or makes it dark: all that runs on it is lost.
    pub fn fall(&self, health: Health) {
        let mut state = self.state.lock().unwrap();
        self.expire(&mut state);
        state.health = health;
        for (task, run) in std::mem::take(&mut state.runs) {
            self.record.ended(&state.id, 0, &task, run.run, "gone", Instant::now());
        }
        self.changed.notify_all();
    }

    /// Begins a new life under another id.
    pub fn rise(&self, id: &str) {
        *self.state.lock().unwrap() = State::new(id);
    }

    pub fn runs(&self, task: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        self.expire(&mut state);
        state.health == Health::Up && state.runs.contains_key(task)
    }

    pub fn unacked_ends(&self) -> usize {
        let mut state = self.state.lock().unwrap();
        self.expire(&mut state);
        state.ends.len()
    }

    /// Ends what is done, and all runs once the lease has expired.
    fn expire(&self, state: &mut State) {
        let now = Instant::now();
        let lease_left = Duration::from_millis((state.until_ms + 1).saturating_sub(state.clock_ms()));
        let lease_end = now + lease_left;
        let lapsed = lease_left.is_zero();
        let mut ended: Vec<(Instant, String)> = state
            .runs
            .iter()
            .filter(|(_, run)| lapsed || run.ends_at <= now)
            .map(|(task, run)| (run.ends_at.min(lease_end), task.clone()))
            .collect();
        ended.sort();
        for (_, task) in ended {
            let Some(run) = state.runs.remove(&task) else { continue };
            let how = if run.ends_at <= now { "done" } else { "lapsed" };
            self.end(state, &task, run.run, how, run.ends_at.min(now).max(run.begun));
        }
    }

    fn end(&self, state: &mut State, task: &str, run: u64, how: &'static str, at: Instant) {
        state.last_end += 1;
        let number = state.last_end;
        let closed = state.closed.entry(task.to_owned()).or_default();
        *closed = (*closed).max(run);
        state.ends.push(End { number, task: task.to_owned(), run, how });
        self.record.ended(&state.id, number, task, run, how, at);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> Answer {
        let mut state = self.state.lock().unwrap();
        while state.health == Health::Dark {
            state = self.changed.wait_timeout(state, Duration::from_millis(50)).unwrap().0;
        }
        if state.health == Health::Crashed {
            return None;
        }
        self.expire(&mut state);
        let body = &request.body;
        let clock = |state: &State| ("clock_ms", Json::from(state.clock_ms()));
        if request.headers.get("target-instance").is_some_and(|id| *id != state.id) {
            return Some((421, map([clock(&state)])));
        }
        let refuse = |state: &State, reason: &str| {
            Some((409, map([clock(state), ("reason", reason.into())])))
        };
        let token = body.get("fencing_token").u64();
        if token < state.highest_token {
            return refuse(&state, "fence");
        }
        state.highest_token = token;
        let (task, run) = (body.get("task").str().to_owned(), body.get("run").u64());
        let until = body.get("until_ms").u64().min(state.clock_ms() + HOLD_MAX_MS);
        match request.path.as_str() {
            "/api/run-start" => {
                if body.get("until_ms").u64() <= state.clock_ms() {
                    return refuse(&state, "late");
                }
                state.until_ms = state.until_ms.max(until);
                if state.closed.get(&task).is_some_and(|closed| *closed >= run) {
                    return refuse(&state, "old");
                }
                if !state.runs.contains_key(&task) {
                    let now = Instant::now();
                    let millis = body.get("spec").str().parse().unwrap_or(200);
                    let ends_at = now + Duration::from_millis(millis);
                    state.runs.insert(task.clone(), Run { run, begun: now, ends_at });
                    self.record.begun(&state.id, &task, run);
                    self.changed.notify_all();
                }
                Some((200, map([clock(&state)])))
            }
            "/api/run-stop" => {
                if state.runs.get(&task).is_some_and(|known| known.run <= run) {
                    state.runs.remove(&task);
                    self.end(&mut state, &task, run, "stopped", Instant::now());
                } else {
                    let closed = state.closed.entry(task).or_default();
                    *closed = (*closed).max(run);
                }
                Some((200, map([clock(&state)])))
            }
            "/api/hold" => {
                let id = state.id.clone();
                let end = Instant::now() + Duration::from_millis(body.get("wait_ms").u64().min(2_000));
                state.until_ms = state.until_ms.max(until);
                let acked = body.get("ack_cursor").u64();
                if acked > state.acked {
                    state.acked = acked;
                    state.ends.retain(|end| end.number > acked);
                    self.record.acked(&id, acked);
                }
                loop {
                    if state.health != Health::Up || state.id != id {
                        return None;
                    }
                    self.expire(&mut state);
                    let now = Instant::now();
                    if !state.ends.is_empty() || now >= end {
                        break;
                    }
                    let next = state.runs.values().map(|run| run.ends_at).min().unwrap_or(end).min(end);
                    let pause = next.saturating_duration_since(now).max(Duration::from_millis(1));
                    state = self.changed.wait_timeout(state, pause).unwrap().0;
                }
                let now = Instant::now();
                let percent = |run: &Run| {
                    let whole = (run.ends_at - run.begun).as_secs_f64().max(0.001);
                    ((now - run.begun).as_secs_f64() / whole * 100.0).min(99.0) as u64
                };
                let running = state.runs.iter().map(|(task, run)| {
                    Json::List(vec![
                        task.clone().into(),
                        run.run.into(),
                        "".into(),
                        percent(run).into(),
                        100u64.into(),
                    ])
                });
                let running: Vec<Json> = running.collect();
                let finished = state.ends.iter().take(LISTED_ENDS).map(|end| {
                    Json::List(vec![
                        end.number.into(),
                        end.task.clone().into(),
                        end.run.into(),
                        end.how.into(),
                        "".into(),
                    ])
                });
                let finished: Vec<Json> = finished.collect();
                let lists = [clock(&state), ("running", running.into()), ("finished", finished.into())];
                Some((200, map(lists)))
            }
            "/api/pace" => Some((200, map([clock(&state)]))),
            _ => Some((400, map([clock(&state)]))),
        }
    }
}
