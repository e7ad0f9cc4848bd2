//! Starting and stopping the process.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use futures_util::future::join;
use gotham::router::Router;
use log::{info, warn};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;
use tokio::runtime;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::http::{ListenerLimits, PrepareState, bind, serve_http};
use crate::node::callers::{CallerHandler, caller_routes};
use crate::node::config_exchange::ConfigExchangeLoop;
use crate::node::configuration::ConfigLoop;
use crate::node::election::ElectionLoop;
use crate::node::members::MembershipLoop;
use crate::node::metrics_upkeep::keep_metrics;
use crate::node::peer_service::serve_peers;
use crate::node::probe::{ProbeHandler, metric_routes, ready_routes};
use crate::node::reachability::ReachabilityLoop;
use crate::node::settings::NodeSettings;
use crate::node::shard_plan::ShardPlanLoop;
use crate::node::shared::NodeShared;

/// Fraction of the grace period for which a stopping entry still takes connections: the load balancer notices the stop
/// after two probes, one second each.
const NOTICE_SHARE: f64 = 0.45;
/// Fraction of the grace period that requests in flight may take after that.
const DRAIN_SHARE: f64 = 0.35;
/// Fraction of the grace period in which leadership must be handed over. While the store is down, leadership is kept
/// for most of the period, since nobody else can be elected.
const HANDOVER_SHARE: f64 = 0.8;
/// File descriptors reserved for files and for connections to the store, workers and other entries.
const RESERVED_DESCRIPTORS: usize = 1_200;
/// Maximum time for the head of a request to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_millis(3_000);

/// A process on the platform.
pub struct NodeProcess {
    shared: Arc<NodeShared>,
    metrics: PrometheusHandle,
}

impl NodeProcess {
    /// Creates a process that has not started.
    pub fn new(settings: NodeSettings, metrics: PrometheusHandle) -> Self {
        Self { shared: Arc::new(NodeShared::new(settings)), metrics }
    }

    /// Runs until a signal starts the planned stop, and until that stop is complete.
    ///
    /// All loops share one thread: a process gets one core or less, where a thread per loop would only add a context
    /// switch to every message.
    ///
    /// # Errors
    /// Returns an error if an address cannot be bound.
    pub fn run(self) -> Result<()> {
        let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
        let result = runtime.block_on(self.serve());
        runtime.shutdown_background();
        result
    }

    async fn serve(self) -> Result<()> {
        let settings = &self.shared.settings;
        info!(
            entry = &*settings.name, failure_domain = &*settings.domain,
            callers:% = settings.callers, store:% = settings.store; "started"
        );
        let peers = serve_peers(self.shared.clone()).context("peers")?;
        let probe = ProbeHandler { shared: self.shared.clone(), metrics: self.metrics.clone() };
        let probe: PrepareState = Arc::new(move |state| state.put(probe.clone()));
        let (stop_probe, probe_stopped) = watch::channel(false);
        let limits = ListenerLimits::default();
        self.listen(settings.ready, limits, ready_routes(), probe.clone(), probe_stopped.clone())
            .context("ready")?;
        self.listen(settings.metrics, limits, metric_routes(), probe, probe_stopped)
            .context("metrics")?;
        let handler = CallerHandler::new(self.shared.clone());
        let handler: PrepareState = Arc::new(move |state| state.put(handler.clone()));
        let (stop_callers, callers_stopped) = watch::channel(false);
        let limits = ListenerLimits {
            connections: settings.descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(64),
            head_time: HEAD_TIMEOUT,
            drain: settings.grace.mul_f64(DRAIN_SHARE),
        };
        let callers = self
            .listen(settings.callers, limits, caller_routes(), handler, callers_stopped)
            .context("callers")?;
        let EntryLoops { election, .. } = EntryLoops::spawn(&self.shared);
        let metrics = self.metrics.clone();
        tokio::spawn(keep_metrics(move || metrics.run_upkeep()));
        wait_for_stop().await?;
        self.drain(stop_callers, callers, election).await;
        let _ = stop_probe.send(true);
        let _ = peers.stop();
        info!(entry = &*self.shared.settings.name; "stopped");
        Ok(())
    }

    fn listen(
        &self,
        address: SocketAddr,
        limits: ListenerLimits,
        routes: Router,
        prepare: PrepareState,
        stop: watch::Receiver<bool>,
    ) -> io::Result<JoinHandle<bool>> {
        let listener = TcpListener::from_std(bind(address)?)?;
        Ok(tokio::spawn(serve_http(listener, limits, routes, prepare, stop)))
    }

    /// Runs the planned stop: hands leadership over, waits for the load balancer to notice, and lets requests in flight
    /// end.
    async fn drain(
        &self,
        stop_callers: watch::Sender<bool>,
        callers: JoinHandle<bool>,
        election: JoinHandle<()>,
    ) {
        info!("planned stop begins");
        self.shared.draining.send_replace(true);
        let grace = self.shared.settings.grace;
        let handover = async {
            if timeout(grace.mul_f64(HANDOVER_SHARE), election).await.is_err() {
                warn!("leadership was not handed over within the grace period");
            }
        };
        let callers = async {
            sleep(grace.mul_f64(NOTICE_SHARE)).await;
            let _ = stop_callers.send(true);
            callers.await
        };
        match join(handover, callers).await.1 {
            Ok(true) => info!("all requests in flight have ended"),
            Ok(false) | Err(_) => warn!("the grace period ended before all requests in flight"),
        }
    }
}

/// The running loops of an entry that do not serve connections.
pub(crate) struct EntryLoops {
    pub(crate) election: JoinHandle<()>,
    others: Vec<JoinHandle<()>>,
}

impl EntryLoops {
    pub(crate) fn spawn(shared: &Arc<NodeShared>) -> Self {
        let others = vec![
            tokio::spawn(ConfigLoop::new(shared.clone()).run()),
            tokio::spawn(ConfigExchangeLoop::new(shared.clone()).run()),
            tokio::spawn(MembershipLoop::new(shared.clone()).run()),
            tokio::spawn(shared.dependencies.clone().run()),
            tokio::spawn(ShardPlanLoop::new(shared.clone()).run()),
            tokio::spawn(ReachabilityLoop::new(shared.clone()).run()),
        ];
        Self { election: tokio::spawn(ElectionLoop::new(shared.clone()).run()), others }
    }

    /// Ends all loops at once.
    pub(crate) fn abort(&self) {
        self.election.abort();
        self.others.iter().for_each(JoinHandle::abort);
    }
}

/// Waits for a stop signal. SIGHUP, sent for a changed settings file, has no effect: no setting can change while the process
/// runs.
async fn wait_for_stop() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = reload.recv() => info!("SIGHUP ignored: no setting can change at run time"),
        }
    }
}
