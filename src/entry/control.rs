//! The control loop: one thread that owns the controllers of the failure domain.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use log::warn;
use tokio::sync::oneshot;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

use crate::callers::CallerInput;
use crate::domain::{DomainAction, DomainController, DomainEvent, EntryIdentity};
use crate::entry::peers::PeerInput;
use crate::entry::store::StoreInput;
use crate::entry::workers::WorkerInput;
use crate::id::{CallId, Revision, UnixMillis};
use crate::message::{CallRefusal, ClientAnswer, ClientCall};
use crate::ring::{RingReceiver, RingSender};

/// Interval between two ticks of the controllers.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum number of inputs handled in a row before the clock is checked again.
const MAX_BURST: usize = 64;

/// Inputs of the control loop.
#[derive(Debug)]
pub(crate) enum ControlInput {
    /// An event for the controllers.
    Event(Box<DomainEvent>),
    /// A call and the channel for its answer.
    Call(ClientCall, oneshot::Sender<ClientAnswer>),
    /// Ends the thread.
    Stop,
}

impl From<DomainEvent> for ControlInput {
    fn from(event: DomainEvent) -> Self {
        Self::Event(Box::new(event))
    }
}

/// Handle with which other threads send calls and events to the control loop.
#[derive(Clone, Debug)]
pub(crate) struct ControlHandle {
    control: RingSender<ControlInput>,
}

impl ControlHandle {
    pub(crate) fn new(control: RingSender<ControlInput>) -> Self {
        Self { control }
    }

    /// Sends a call and waits for its answer, up to `time_limit`.
    pub(crate) async fn call(&self, call: ClientCall, time_limit: Duration) -> ClientAnswer {
        let (sender, receiver) = oneshot::channel();
        if self.control.offer(ControlInput::Call(call, sender)).is_err() {
            return ClientAnswer::Refused(CallRefusal::Busy);
        }
        match timeout(time_limit, receiver).await {
            Ok(Ok(answer)) => answer,
            _ => ClientAnswer::Refused(CallRefusal::Unknown),
        }
    }

    /// Sends an event without waiting; the event is dropped if the ring is full.
    pub(crate) fn send_event(&self, event: DomainEvent) {
        let _ = self.control.offer(event.into());
    }
}

/// Status of the control loop that other threads can read without a call.
#[derive(Debug, Default)]
pub(crate) struct ControlStatus {
    /// Whether requests may be served.
    pub(crate) ready: AtomicBool,
    /// Whether the router has been granted slots since the start.
    pub(crate) granted: AtomicBool,
    /// Revision of the configuration in force.
    pub(crate) revision: AtomicU64,
    /// Whether this entry leads its failure domain.
    pub(crate) leads: AtomicBool,
}

/// Senders to the rings of the other threads.
#[derive(Debug)]
pub(crate) struct ControlOutputs {
    pub(crate) store: RingSender<StoreInput>,
    pub(crate) workers: RingSender<WorkerInput>,
    pub(crate) peers: RingSender<PeerInput>,
    pub(crate) callers: RingSender<CallerInput>,
}

/// The loop that makes the decisions of a failure domain.
pub(crate) struct ControlLoop {
    controller: DomainController,
    input: RingReceiver<ControlInput>,
    outputs: ControlOutputs,
    status: Arc<ControlStatus>,
    pending_calls: BTreeMap<CallId, oneshot::Sender<ClientAnswer>>,
    next_call: CallId,
    /// Revision that was last sent to the callers' thread.
    published_revision: Revision,
}

impl ControlLoop {
    pub(crate) fn new(
        identity: EntryIdentity,
        unix: UnixMillis,
        input: RingReceiver<ControlInput>,
        outputs: ControlOutputs,
        status: Arc<ControlStatus>,
    ) -> Self {
        Self {
            controller: DomainController::new(Instant::now(), unix, identity),
            input,
            outputs,
            status,
            pending_calls: BTreeMap::new(),
            next_call: 0,
            published_revision: 0,
        }
    }

    /// Runs until it is stopped.
    pub(crate) async fn run(mut self) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                _ = ticks.tick() => self.handle_event(DomainEvent::Tick),
                input = self.input.recv() => {
                    let Some(input) = input else {
                        return;
                    };
                    if !self.handle_input(input) || !self.handle_burst() {
                        return;
                    }
                }
            }
            self.publish();
        }
    }

    fn handle_burst(&mut self) -> bool {
        for _ in 0..MAX_BURST {
            let Some(input) = self.input.try_recv() else {
                return true;
            };
            if !self.handle_input(input) {
                return false;
            }
        }
        true
    }

    fn handle_input(&mut self, input: ControlInput) -> bool {
        match input {
            ControlInput::Event(event) => self.handle_event(*event),
            ControlInput::Call(call, sender) => {
                self.next_call += 1;
                self.pending_calls.insert(self.next_call, sender);
                self.handle_event(DomainEvent::Call(self.next_call, call));
            }
            ControlInput::Stop => return false,
        }
        true
    }

    fn handle_event(&mut self, event: DomainEvent) {
        let started = Instant::now();
        for action in self.controller.handle(started, event) {
            self.execute(action);
        }
        metrics::histogram!("kelplink_decision_seconds").record(started.elapsed().as_secs_f64());
    }

    fn execute(&mut self, action: DomainAction) {
        let accepted = match action {
            DomainAction::Store(owner, id, request) => {
                let refused =
                    self.outputs.store.offer(StoreInput::Call(owner, id, request)).is_err();
                if refused {
                    let outcome = crate::store::StoreOutcome::Unavailable;
                    let event = DomainEvent::Store(owner, id, outcome);
                    for action in self.controller.handle(Instant::now(), event) {
                        self.execute(action);
                    }
                }
                true
            }
            DomainAction::Worker { worker, address, id, request } => {
                let input = WorkerInput::Exchange { worker: worker.clone(), address, id, request };
                let refused = self.outputs.workers.offer(input).is_err();
                if refused {
                    let event = DomainEvent::Worker(worker, id, None);
                    for action in self.controller.handle(Instant::now(), event) {
                        self.execute(action);
                    }
                }
                true
            }
            DomainAction::Peer(peer, message) => {
                self.outputs.peers.offer(PeerInput::Send(peer, Box::new(message))).is_ok()
            }
            DomainAction::Answer(id, answer) => {
                if let Some(sender) = self.pending_calls.remove(&id) {
                    let _ = sender.send(answer);
                }
                true
            }
            DomainAction::Grant(grant) => {
                self.status.granted.store(true, Ordering::Relaxed);
                self.outputs.callers.offer(CallerInput::Grant(grant)).is_ok()
            }
            DomainAction::Leaving(leaving) => {
                self.outputs.callers.offer(CallerInput::Leaving(leaving)).is_ok()
            }
            DomainAction::PeerSlots(peer_slots) => {
                self.outputs.callers.offer(CallerInput::PeerSlots(peer_slots)).is_ok()
            }
        };
        if !accepted {
            warn!("the ring of a thread is full: a message was dropped");
        }
    }

    fn publish(&mut self) {
        let revision = self.controller.revision();
        if revision != self.published_revision {
            let config = Arc::new(self.controller.config().clone());
            if self.outputs.callers.offer(CallerInput::Config(config)).is_ok() {
                self.published_revision = revision;
            }
        }
        let status = &self.status;
        let granted = status.granted.load(Ordering::Relaxed);
        status.ready.store(granted && self.controller.ready(), Ordering::Relaxed);
        status.revision.store(revision, Ordering::Relaxed);
        status.leads.store(self.controller.leads(), Ordering::Relaxed);
    }
}
