//! The thread that answers callers.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use gotham::pipeline::{new_pipeline, single_pipeline};
use gotham::prelude::{DefineSingleRoute, DrawRoutes};
use gotham::router::Router;
use gotham::router::builder::build_router;
use hyper::Method;
use log::warn;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::callers::admit::AdmitFilter;
use crate::callers::context::{CallerContext, CallerInput};
use crate::callers::dispatch::dispatch;
use crate::callers::identify::IdentifyFilter;
use crate::callers::jobs::handle_jobs;
use crate::callers::limit::LimitFilter;
use crate::domain::DomainEvent;
use crate::http::{ListenerLimits, PrepareState, serve_http};
use crate::ring::RingReceiver;

/// Interval between two ticks of the router.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Ticks between two demand reports while no request waits.
const IDLE_REPORT_TICKS: u32 = 25;
/// Ticks between two demand reports while requests wait.
const BUSY_REPORT_TICKS: u32 = 5;

/// HTTP methods that are forwarded to upstreams.
const FORWARDED_METHODS: [Method; 7] = [
    Method::GET,
    Method::HEAD,
    Method::POST,
    Method::PUT,
    Method::PATCH,
    Method::DELETE,
    Method::OPTIONS,
];

/// The thread that answers callers.
pub(crate) struct CallerLoop {
    context: CallerContext,
    input: RingReceiver<CallerInput>,
}

impl CallerLoop {
    pub(crate) fn new(context: CallerContext, input: RingReceiver<CallerInput>) -> Self {
        Self { context, input }
    }

    /// Runs until it is stopped and all requests in flight have finished. Returns false if requests in
    /// flight were aborted.
    ///
    /// # Errors
    /// Returns an error if the listener cannot be used.
    pub(crate) async fn run(self, listener: std::net::TcpListener) -> io::Result<bool> {
        let listener = TcpListener::from_std(listener)?;
        let limits = ListenerLimits {
            connections: self.context.limits.connections,
            head_time: self.context.limits.head_time,
            drain: self.context.limits.drain,
        };
        let context = self.context.clone();
        let prepare: PrepareState = Arc::new(move |state| state.put(context.clone()));
        let (stop, stopped) = watch::channel(false);
        let server = serve_http(listener, limits, routes(), prepare, stopped);
        tokio::select! {
            drained = server => {
                if !drained {
                    warn!("requests in flight were aborted at the time limit of the planned stop");
                }
                Ok(drained)
            }
            () = self.run_router(stop) => Ok(false),
        }
    }

    /// Handles inputs and ticks the router until the thread is killed.
    async fn run_router(self, stop: watch::Sender<bool>) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut ticks_since_report = 0;
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    ticks_since_report += 1;
                    self.tick(&mut ticks_since_report);
                }
                input = self.input.recv() => match input {
                    Some(CallerInput::Kill) => return,
                    Some(CallerInput::Stop) | None => {
                        let _ = stop.send(true);
                    }
                    Some(input) => self.handle_input(input),
                }
            }
        }
    }

    fn handle_input(&self, input: CallerInput) {
        let now = Instant::now();
        let mut router_state = self.context.router_state();
        match input {
            CallerInput::Grant(grant) => {
                let actions = router_state.router.apply(now, &grant);
                router_state.notify_waiters(actions);
            }
            CallerInput::Leaving(leaving) => router_state.router.set_leaving(leaving),
            CallerInput::PeerSlots(peer_slots) => router_state.peer_slots = peer_slots,
            CallerInput::Config(config) => router_state.config = config,
            CallerInput::Dump(sender) => {
                let _ = sender.send(json!({
                    "waiting": router_state.router.waiting(),
                    "in_use": router_state.router.in_use(),
                    "free_slots": router_state.router.free_slots(now),
                    "entries_with_room": router_state.peer_slots,
                    "pools": router_state.pools.len(),
                }));
            }
            CallerInput::Stop | CallerInput::Kill => {}
        }
    }

    fn tick(&self, ticks_since_report: &mut u32) {
        let now = Instant::now();
        let mut router_state = self.context.router_state();
        let actions = router_state.router.tick(now);
        router_state.notify_waiters(actions);
        let idle = router_state.router.waiting() == 0 && router_state.router.holds_shares(now);
        let report_ticks = if idle { IDLE_REPORT_TICKS } else { BUSY_REPORT_TICKS };
        if *ticks_since_report >= report_ticks {
            *ticks_since_report = 0;
            let report = router_state.router.report(now);
            let free = router_state.router.free_slots(now);
            self.context.control.send_event(DomainEvent::Demand(report, free));
        }
    }
}

fn routes() -> Router {
    let pipeline = new_pipeline().add(IdentifyFilter).add(LimitFilter).add(AdmitFilter).build();
    let (chain, pipelines) = single_pipeline(pipeline);
    build_router(chain, pipelines, |route| {
        route.request(FORWARDED_METHODS.to_vec(), "/s/*").to_new_handler(|| Ok(dispatch));
        route.with_pipeline_chain((), |route| {
            let methods = vec![Method::GET, Method::POST, Method::DELETE];
            route.request(methods, "/v1/workspaces/*").to_new_handler(|| Ok(handle_jobs));
        });
    })
}
