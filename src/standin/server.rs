//! An HTTP server for all stand-ins, on one thread.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{Builder, JoinHandle};
use std::time::Duration;

use anyhow::{Context, Result};
use gotham::handler::HandlerFuture;
use gotham::helpers::http::Body;
use gotham::prelude::{DefineSingleRoute, DrawRoutes};
use gotham::router::Router;
use gotham::router::builder::build_simple_router;
use gotham::state::{FromState, State, StateData};
use http_body_util::BodyExt;
use hyper::header::{ETAG, HeaderMap, HeaderValue, IF_NONE_MATCH};
use hyper::{Method, Response, StatusCode, Uri};
use tokio::net::TcpListener;
use tokio::runtime;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use crate::callers::{ATTEMPT_HEADER, KEY_HEADER, REQUEST_ID_HEADER};
use crate::domain::{VmRecord, VmRole};
use crate::http::{ListenerLimits, PrepareState, bind, serve_http};
use crate::id::ServiceId;
use crate::problem::{full_body, json_response};
use crate::standin::settings::StandInSettings;
use crate::standin::store::{StoreFault, StoreModel};
use crate::standin::upstream::UpstreamModel;
use crate::standin::worker::WorkerModel;
use crate::store::{StoreOutcome, StoreRequest};

/// Interval between updates of the workers.
const TICK: Duration = Duration::from_millis(20);
/// Number of slots of an upstream that is a task of a service.
const SERVICE_TASK_SLOTS: u32 = 8;

/// State of all stand-ins.
#[derive(Debug, Default)]
pub struct StandInState {
    /// The store.
    pub store: StoreModel,
    /// Number of watches received so far.
    pub watches: u64,
    /// The list of VMs.
    pub vms: Vec<VmRecord>,
    /// Workers by name.
    pub workers: BTreeMap<String, WorkerModel>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<String, UpstreamModel>,
}

/// What a listener stands in for.
#[derive(Clone, Debug)]
enum StandInRole {
    Store,
    Vms,
    Worker(String),
    Upstream(String),
}

#[derive(Clone)]
struct StandInContext {
    role: StandInRole,
    state: Arc<Mutex<StandInState>>,
    changed: watch::Sender<u64>,
}

impl std::panic::UnwindSafe for StandInContext {}
impl std::panic::RefUnwindSafe for StandInContext {}
impl StateData for StandInContext {}

impl StandInContext {
    fn lock(&self) -> MutexGuard<'_, StandInState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Running stand-ins.
pub struct StandInServer {
    state: Arc<Mutex<StandInState>>,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<io::Result<()>>>,
}

impl StandInServer {
    /// Binds all addresses and starts the server.
    ///
    /// # Errors
    /// Returns an error if an address cannot be bound.
    pub fn start(settings: &StandInSettings) -> Result<Self> {
        let mut listeners = vec![
            (bind(settings.store).context("store")?, StandInRole::Store),
            (bind(settings.vms).context("vms")?, StandInRole::Vms),
        ];
        for vm in &settings.machines {
            let role = match vm.role {
                VmRole::Worker { .. } => StandInRole::Worker(vm.id.clone()),
                VmRole::Upstream { .. } => StandInRole::Upstream(vm.id.clone()),
            };
            listeners.push((bind(vm.address).with_context(|| vm.id.clone())?, role));
        }
        let state = Arc::new(Mutex::new(StandInState::default()));
        let (stop, stopped) = watch::channel(false);
        let (machines, shared_state) = (settings.machines.clone(), state.clone());
        let thread = Builder::new().name("stand-in".to_owned()).spawn(move || {
            let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
            runtime.block_on(serve_all(listeners, machines, shared_state, stopped))?;
            runtime.shutdown_background();
            Ok(())
        })?;
        Ok(Self { state, stop, thread: Some(thread) })
    }

    /// Reads or changes the state of the stand-ins.
    pub fn with<T>(&self, access: impl FnOnce(&mut StandInState) -> T) -> T {
        access(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns whether the server's thread has ended.
    pub fn ended(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Stops the server and waits for its thread to end.
    pub fn stop(mut self) {
        let _ = self.stop.send(true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn serve_all(
    listeners: Vec<(std::net::TcpListener, StandInRole)>,
    machines: Vec<VmRecord>,
    state: Arc<Mutex<StandInState>>,
    mut stopped: watch::Receiver<bool>,
) -> io::Result<()> {
    let (changed, _) = watch::channel(0);
    {
        let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
        for vm in &machines {
            match &vm.role {
                VmRole::Worker { capacity } => {
                    let worker = WorkerModel::new(Instant::now(), *capacity);
                    state.workers.insert(vm.id.clone(), worker);
                }
                VmRole::Upstream { slots, .. } => {
                    state.upstreams.insert(vm.id.clone(), UpstreamModel::new(*slots));
                }
            }
        }
        state.vms = machines;
    }
    for (listener, role) in listeners {
        let context = StandInContext { role, state: state.clone(), changed: changed.clone() };
        listen(TcpListener::from_std(listener)?, context, stopped.clone());
    }
    let stop = stopped.clone();
    loop {
        tokio::select! {
            () = sleep(TICK) => tick(&state, &changed, &stop).await?,
            _ = stopped.wait_for(|stop| *stop) => return Ok(()),
        }
    }
}

fn listen(listener: TcpListener, context: StandInContext, stop: watch::Receiver<bool>) {
    let prepare: PrepareState = Arc::new(move |state| state.put(context.clone()));
    let limits = ListenerLimits { drain: Duration::ZERO, ..ListenerLimits::default() };
    tokio::spawn(serve_http(listener, limits, routes(), prepare, stop));
}

/// Updates all workers to the current time and opens endpoints for tasks of services.
async fn tick(
    state: &Arc<Mutex<StandInState>>,
    changed: &watch::Sender<u64>,
    stop: &watch::Receiver<bool>,
) -> io::Result<()> {
    let tasks: Vec<(String, crate::id::TaskId)> = {
        let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
        let workers = state.workers.iter_mut();
        let tasks = workers.flat_map(|(name, worker)| {
            worker.tick(Instant::now());
            worker.tasks_without_endpoint().into_iter().map(|task| (name.clone(), task))
        });
        tasks.collect()
    };
    for (worker, task) in tasks {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?.to_string();
        let name = format!("{}#{}@{worker}", task.0, task.1);
        {
            let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
            state.upstreams.insert(name.clone(), UpstreamModel::new(SERVICE_TASK_SLOTS));
            if let Some(worker) = state.workers.get_mut(&worker) {
                worker.set_endpoint(&task, address);
            }
        }
        let role = StandInRole::Upstream(name);
        let context = StandInContext { role, state: state.clone(), changed: changed.clone() };
        listen(listener, context, stop.clone());
    }
    Ok(())
}

fn routes() -> Router {
    build_simple_router(|route| {
        let methods = vec![
            Method::GET,
            Method::HEAD,
            Method::POST,
            Method::PUT,
            Method::PATCH,
            Method::DELETE,
            Method::OPTIONS,
        ];
        route.request(methods.clone(), "/").to_new_handler(|| Ok(handle));
        route.request(methods, "/*").to_new_handler(|| Ok(handle));
    })
}

fn handle(mut state: State) -> Pin<Box<HandlerFuture>> {
    Box::pin(async move {
        let body = Body::try_take_from(&mut state).unwrap_or_default();
        let bytes = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        let context = StandInContext::borrow_from(&state).clone();
        let method = Method::borrow_from(&state).clone();
        let uri = Uri::borrow_from(&state).clone();
        let headers = HeaderMap::borrow_from(&state).clone();
        let response = match context.role.clone() {
            StandInRole::Store => store(&context, &method, &uri, &bytes).await,
            StandInRole::Vms => vms(&context, &method, &headers, &bytes),
            StandInRole::Worker(name) => worker(&context, &name, &bytes),
            StandInRole::Upstream(name) => upstream(&context, &name, &uri, &headers).await,
        };
        Ok((state, response))
    })
}

fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full_body(""));
    *response.status_mut() = status;
    response
}

fn query(uri: &Uri, name: &str) -> Option<u64> {
    let pairs = uri.query()?.split('&');
    let found = pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name)?;
    found.1.parse().ok()
}

async fn store(
    context: &StandInContext,
    method: &Method,
    uri: &Uri,
    bytes: &[u8],
) -> Response<Body> {
    let path = uri.path();
    if let Some(key) = path.strip_prefix("/watch/") {
        return watch_key(context, uri, key).await;
    }
    if path == "/fault" {
        return set_fault(context, bytes);
    }
    let key = path.trim_start_matches("/kv/").to_owned();
    let request = match *method {
        Method::GET => StoreRequest::Read { key },
        _ => StoreRequest::Swap {
            key,
            expected: query(uri, "expected").unwrap_or(0),
            value: String::from_utf8_lossy(bytes).into_owned(),
        },
    };
    let outcome = context.lock().store.call(&request);
    context.changed.send_modify(|count| *count += 1);
    match outcome {
        StoreOutcome::Found(stored) => json_response(StatusCode::OK, &stored),
        StoreOutcome::Written(version) => json_response(StatusCode::OK, &version),
        StoreOutcome::Missing => empty(StatusCode::NOT_FOUND),
        StoreOutcome::Conflict => empty(StatusCode::CONFLICT),
        StoreOutcome::Unavailable => empty(StatusCode::SERVICE_UNAVAILABLE),
        StoreOutcome::Unknown => empty(StatusCode::GATEWAY_TIMEOUT),
    }
}

/// Sets the store's fault. The body is `none`, `down` or `lost-answers`.
fn set_fault(context: &StandInContext, bytes: &[u8]) -> Response<Body> {
    let fault = match bytes {
        b"none" => StoreFault::None,
        b"down" => StoreFault::Down,
        b"lost-answers" => StoreFault::LostAnswers,
        _ => return empty(StatusCode::BAD_REQUEST),
    };
    context.lock().store.set_fault(fault);
    context.changed.send_modify(|count| *count += 1);
    empty(StatusCode::NO_CONTENT)
}

async fn watch_key(context: &StandInContext, uri: &Uri, key: &str) -> Response<Body> {
    let after = query(uri, "after").unwrap_or(0);
    let wait = Duration::from_millis(query(uri, "wait_ms").unwrap_or(0));
    let mut changed = context.changed.subscribe();
    context.lock().watches += 1;
    let newer_value = async {
        loop {
            {
                let state = context.lock();
                if state.store.fault() != StoreFault::None {
                    return empty(StatusCode::SERVICE_UNAVAILABLE);
                }
                if let Some(stored) = state.store.get(key).filter(|stored| stored.version > after) {
                    return json_response(StatusCode::OK, stored);
                }
            }
            if changed.changed().await.is_err() {
                return empty(StatusCode::SERVICE_UNAVAILABLE);
            }
        }
    };
    timeout(wait, newer_value).await.unwrap_or(empty(StatusCode::NO_CONTENT))
}

/// Returns the list of VMs, or replaces it on PUT.
fn vms(
    context: &StandInContext,
    method: &Method,
    headers: &HeaderMap,
    bytes: &[u8],
) -> Response<Body> {
    if *method == Method::PUT {
        return match serde_json::from_slice(bytes) {
            Ok(vms) => {
                context.lock().vms = vms;
                empty(StatusCode::NO_CONTENT)
            }
            Err(_) => empty(StatusCode::BAD_REQUEST),
        };
    }
    let mut response = json_response(StatusCode::OK, &context.lock().vms);
    let text = serde_json::to_vec(&context.lock().vms).unwrap_or_default();
    let tag = format!("\"{}\"", blake3::hash(&text).to_hex());
    if headers.get(IF_NONE_MATCH).is_some_and(|value| value.as_bytes() == tag.as_bytes()) {
        return empty(StatusCode::NOT_MODIFIED);
    }
    if let Ok(tag) = HeaderValue::from_str(&tag) {
        response.headers_mut().insert(ETAG, tag);
    }
    response
}

fn worker(context: &StandInContext, name: &str, bytes: &[u8]) -> Response<Body> {
    let Ok(request) = serde_json::from_slice(bytes) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let mut state = context.lock();
    match state.workers.get_mut(name) {
        Some(worker) => json_response(StatusCode::OK, &worker.handle(Instant::now(), &request)),
        None => empty(StatusCode::NOT_FOUND),
    }
}

/// A request in progress. When dropped, it ends at the upstream, even if its connection closes before the
/// answer.
struct OpenRequest {
    context: StandInContext,
    name: String,
    answered: bool,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        if let Some(upstream) = self.context.lock().upstreams.get_mut(&self.name) {
            upstream.end(self.answered);
        }
    }
}

/// Answers after `work_ms` with the request's path and mark. The header `x-mark` identifies a request across
/// attempts.
async fn upstream(
    context: &StandInContext,
    name: &str,
    uri: &Uri,
    headers: &HeaderMap,
) -> Response<Body> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let mark = text("x-mark").or_else(|| text(KEY_HEADER));
    if let Some(upstream) = context.lock().upstreams.get_mut(name) {
        upstream.begin(mark);
    }
    let (context, name) = (context.clone(), name.to_owned());
    let mut open_request = OpenRequest { context, name: name.clone(), answered: false };
    sleep(Duration::from_millis(query(uri, "work_ms").unwrap_or(1))).await;
    let service: ServiceId = name.as_str().into();
    let body = serde_json::json!({
        "upstream": service,
        "path": uri.path(),
        "mark": mark,
        "padding": "x".repeat(usize::try_from(query(uri, "bytes").unwrap_or(0)).unwrap_or(0)),
    });
    let mut response = json_response(StatusCode::OK, &body);
    for header in [REQUEST_ID_HEADER, ATTEMPT_HEADER] {
        if let Some(value) = headers.get(header) {
            response.headers_mut().insert(header, value.clone());
        }
    }
    open_request.answered = true;
    response
}
