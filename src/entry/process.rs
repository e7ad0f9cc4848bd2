//! Start and stop of an entry process.

use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{Builder, JoinHandle};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result};
use log::{error, info};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::runtime;
use tokio::sync::watch;

use crate::callers::{CallerContext, CallerInput, CallerLoop, RouterState};
use crate::client::HttpClient;
use crate::domain::{DomainEvent, EntryIdentity};
use crate::entry::ControlHandle;
use crate::entry::control::{ControlInput, ControlLoop, ControlOutputs, ControlStatus};
use crate::entry::operators::{OperatorContext, OperatorLoop};
use crate::entry::peers::{PeerInput, PeerLoop};
use crate::entry::store::{StoreInput, StoreLoop};
use crate::entry::workers::{WorkerInput, WorkerLoop};
use crate::http::bind;
use crate::ring::{RingSender, ring};
use crate::routing::RequestRouter;
use crate::settings::EntrySettings;

/// Capacity of the control loop's ring.
const CONTROL_RING_CAPACITY: usize = 8_192;
/// Capacity of each of the other rings.
const LOOP_RING_CAPACITY: usize = 4_096;
/// How long a draining entry still accepts connections after it has stopped reporting itself ready, so
/// that the load balancer detects the change first.
const NOT_READY_TIME: Duration = Duration::from_millis(1_000);
/// Time for the last messages to peers and the store to be sent before the threads end.
const FLUSH_TIME: Duration = Duration::from_millis(500);

/// A running entry process: its threads and the senders to their rings.
pub struct EntryProcess {
    name: String,
    control: RingSender<ControlInput>,
    callers: RingSender<CallerInput>,
    store: RingSender<StoreInput>,
    workers: RingSender<WorkerInput>,
    peers: RingSender<PeerInput>,
    operators_stop: watch::Sender<bool>,
    caller_thread: Option<JoinHandle<io::Result<bool>>>,
    other_threads: Vec<JoinHandle<io::Result<bool>>>,
}

impl EntryProcess {
    /// Binds all addresses and starts all threads.
    ///
    /// # Errors
    /// Returns an error if an address cannot be bound or a thread cannot be started.
    pub fn start(settings: &EntrySettings, metrics: PrometheusHandle) -> Result<Self> {
        let callers_listener = bind(settings.callers).context("callers")?;
        let operators_listener = bind(settings.operators).context("operators")?;
        let peers_listener = bind(settings.peers).context("peers")?;
        let boot = current_unix_millis();
        let (control, control_input) = ring("control", CONTROL_RING_CAPACITY);
        let (callers, callers_input) = ring("callers", LOOP_RING_CAPACITY);
        let (store, store_input) = ring("store", LOOP_RING_CAPACITY);
        let (workers, workers_input) = ring("workers", LOOP_RING_CAPACITY);
        let (peers, peers_input) = ring("peers", LOOP_RING_CAPACITY);
        let (operators_stop, operators_stopped) = watch::channel(false);
        let control_status = Arc::new(ControlStatus::default());
        let identity = identity(settings, boot);
        let domains = identity.domains();
        let outputs = ControlOutputs {
            store: store.clone(),
            workers: workers.clone(),
            peers: peers.clone(),
            callers: callers.clone(),
        };
        let loop_status = control_status.clone();
        let control_thread = spawn_loop(&settings.name, "control", async move {
            ControlLoop::new(identity, current_unix_millis(), control_input, outputs, loop_status)
                .run()
                .await;
            Ok(true)
        })?;
        let loop_control = control.clone();
        let (store_address, vms) = (settings.store, settings.vms);
        let store_thread = spawn_loop(&settings.name, "store", async move {
            StoreLoop::new(store_address, vms, store_input, loop_control).run().await;
            Ok(true)
        })?;
        let loop_control = control.clone();
        let worker_thread = spawn_loop(&settings.name, "workers", async move {
            WorkerLoop::new(workers_input, loop_control).run().await;
            Ok(true)
        })?;
        let peer_loop = PeerLoop::new(
            settings.name.clone(),
            settings.others.clone(),
            peers_input,
            control.clone(),
        );
        let peer_thread = spawn_loop(&settings.name, "peers", async move {
            peer_loop.run(peers_listener).await.map(|()| true)
        })?;
        let context = OperatorContext {
            control: ControlHandle::new(control.clone()),
            callers: callers.clone(),
            control_status,
            metrics,
        };
        let operator_thread = spawn_loop(&settings.name, "operators", async move {
            OperatorLoop::new(context)
                .run(operators_listener, operators_stopped)
                .await
                .map(|()| true)
        })?;
        let context = caller_context(settings, boot, control.clone(), domains.into());
        let caller_thread = spawn_loop(&settings.name, "callers", async move {
            CallerLoop::new(context, callers_input).run(callers_listener).await
        })?;
        info!("{} started in {}", settings.name, settings.domain);
        Ok(Self {
            name: settings.name.to_string(),
            control,
            callers,
            store,
            workers,
            peers,
            operators_stop,
            caller_thread: Some(caller_thread),
            other_threads: vec![
                control_thread,
                store_thread,
                worker_thread,
                peer_thread,
                operator_thread,
            ],
        })
    }

    /// Returns whether a thread has ended unexpectedly.
    pub fn has_ended_thread(&self) -> bool {
        let caller = self.caller_thread.as_ref().is_none_or(JoinHandle::is_finished);
        caller || self.other_threads.iter().any(JoinHandle::is_finished)
    }

    /// Performs a planned stop: reports itself not ready, hands over leadership, finishes the requests
    /// in flight, and ends all threads. Returns false if requests were aborted.
    pub fn drain(mut self) -> bool {
        info!("{}: planned stop", self.name);
        let _ = self.control.offer(DomainEvent::Drain.into());
        std::thread::sleep(NOT_READY_TIME);
        let _ = self.callers.offer(CallerInput::Stop);
        let drained = match self.caller_thread.take().map(JoinHandle::join) {
            Some(Ok(Ok(drained))) => drained,
            _ => false,
        };
        std::thread::sleep(FLUSH_TIME);
        self.end();
        info!("{}: ended", self.name);
        drained
    }

    /// Ends all threads at once, like a crash, except that the operating system does not clean up after
    /// the process.
    pub fn kill(mut self) {
        let _ = self.control.offer(ControlInput::Stop);
        let _ = self.callers.offer(CallerInput::Kill);
        self.caller_thread.take().map(JoinHandle::join);
        self.end();
    }

    fn end(&mut self) {
        let _ = self.operators_stop.send(true);
        let _ = self.control.offer(ControlInput::Stop);
        let _ = self.store.offer(StoreInput::Stop);
        let _ = self.workers.offer(WorkerInput::Stop);
        let _ = self.peers.offer(PeerInput::Stop);
        for thread in self.other_threads.drain(..) {
            if let Ok(Err(error)) = thread.join() {
                error!("{}: {error}", self.name);
            }
        }
    }
}

fn identity(settings: &EntrySettings, boot: u64) -> EntryIdentity {
    let peers = settings.others.iter().map(|peer| (peer.name.clone(), peer.domain.clone()));
    EntryIdentity {
        entry: settings.name.clone(),
        domain: settings.domain.clone(),
        boot,
        peers: peers.collect(),
        timing: settings.timing,
    }
}

fn caller_context(
    settings: &EntrySettings,
    boot: u64,
    control: RingSender<ControlInput>,
    domains: Arc<[crate::id::DomainId]>,
) -> CallerContext {
    let limits = settings.limits;
    let router = RequestRouter::new(settings.name.clone(), boot, limits.waiting, settings.timing);
    let peers = settings.others.iter().map(|peer| (peer.name.clone(), peer.callers));
    CallerContext {
        entry: settings.name.clone(),
        boot,
        router_state: Arc::new(Mutex::new(RouterState::new(router))),
        control: ControlHandle::new(control),
        limits,
        next_request: Arc::new(AtomicU64::new(1)),
        peers: Arc::new(peers.collect()),
        peer_client: HttpClient::new(),
        domains,
    }
}

/// Starts a thread with its own runtime that runs one loop.
fn spawn_loop(
    entry: &str,
    name: &str,
    work: impl Future<Output = io::Result<bool>> + Send + 'static,
) -> io::Result<JoinHandle<io::Result<bool>>> {
    Builder::new().name(format!("{entry} {name}")).spawn(move || {
        let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
        let result = runtime.block_on(work);
        runtime.shutdown_background();
        result
    })
}

/// Returns the milliseconds since the Unix epoch; the values never decrease within one process.
fn current_unix_millis() -> u64 {
    static LAST: AtomicU64 = AtomicU64::new(0);
    let passed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let now = u64::try_from(passed.as_millis()).unwrap_or(0);
    let last = LAST.fetch_max(now, Ordering::Relaxed);
    now.max(last)
}
