//! HTTP routes of the load balancer's readiness probe, the metrics and the state dump.

use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use gotham::handler::HandlerFuture;
use gotham::prelude::{DefineSingleRoute, DrawRoutes};
use gotham::router::Router;
use gotham::router::builder::build_simple_router;
use gotham::state::{FromState, State, StateData};
use hyper::{Response, StatusCode};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::node::input::LeaderInput;
use crate::node::shared::NodeShared;
use crate::platform::READY_PATH;
use crate::problem::{full_body, json_response};

/// Maximum time for a leader loop to return its state.
const DUMP_TIMEOUT: Duration = Duration::from_millis(1_000);

/// State shared by the routes of the probe, metrics and dump.
#[derive(Clone)]
pub(crate) struct ProbeHandler {
    pub(crate) shared: Arc<NodeShared>,
    pub(crate) metrics: PrometheusHandle,
}

impl std::panic::UnwindSafe for ProbeHandler {}
impl std::panic::RefUnwindSafe for ProbeHandler {}
impl StateData for ProbeHandler {}

/// Routes of the load balancer's readiness probe.
pub(crate) fn ready_routes() -> Router {
    build_simple_router(|route| route.get(READY_PATH).to_new_handler(|| Ok(ready)))
}

/// Routes of metrics and the state dump.
pub(crate) fn metric_routes() -> Router {
    build_simple_router(|route| {
        route.get("/metrics").to_new_handler(|| Ok(metrics));
        route.get("/dump").to_new_handler(|| Ok(dump));
    })
}

fn ready(state: State) -> Pin<Box<HandlerFuture>> {
    Box::pin(async move {
        let handler = ProbeHandler::borrow_from(&state);
        let mut response = Response::new(full_body(""));
        if !handler.shared.ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        Ok((state, response))
    })
}

fn metrics(state: State) -> Pin<Box<HandlerFuture>> {
    Box::pin(async move {
        let text = ProbeHandler::borrow_from(&state).metrics.render();
        Ok((state, Response::new(full_body(text))))
    })
}

fn dump(state: State) -> Pin<Box<HandlerFuture>> {
    Box::pin(async move {
        let shared = ProbeHandler::borrow_from(&state).shared.clone();
        let mut leading = BTreeMap::new();
        for shard in shared.led_shards() {
            let Some(input) = shared.leading(&shard) else {
                continue;
            };
            let (answer, answered) = oneshot::channel();
            let _ = input.offer(LeaderInput::Dump(answer));
            let state = timeout(DUMP_TIMEOUT, answered).await.ok().and_then(Result::ok);
            leading.insert(shard, state);
        }
        let view = shared.members.borrow().clone();
        let leaders = view.all_shards().map(|shards| {
            let leaders_by_shard =
                shards.into_iter().map(|shard| (view.leader(&shard).cloned(), shard));
            leaders_by_shard.map(|(leader, shard)| (shard, leader)).collect::<BTreeMap<_, _>>()
        });
        let body = serde_json::json!({
            "entry": &*shared.settings.name,
            "ready": shared.ready(),
            "shards": leaders,
            "configuration": shared.config.borrow().as_ref().map(|config| config.version),
            "leading": leading,
        });
        Ok((state, json_response(StatusCode::OK, &body)))
    })
}
