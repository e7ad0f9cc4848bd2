//! The duty of deciding: one thread owns the controllers of the failure domain.

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

/// Interval at which time passes for the controllers.
const TICK: Duration = Duration::from_millis(25);
/// Events handled before the thread looks at its clock again.
const BURST: usize = 64;

/// What comes to the deciding thread.
#[derive(Debug)]
pub(crate) enum ControlInput {
    /// An event for the controllers.
    Event(Box<DomainEvent>),
    /// A call with the place for its answer.
    Call(ClientCall, oneshot::Sender<ClientAnswer>),
    /// End the thread.
    Stop,
}

impl From<DomainEvent> for ControlInput {
    fn from(event: DomainEvent) -> Self {
        Self::Event(Box::new(event))
    }
}

/// Where other threads hand in calls and wait for their answers.
#[derive(Clone, Debug)]
pub(crate) struct ControlHandle {
    control: RingSender<ControlInput>,
}

impl ControlHandle {
    pub(crate) fn new(control: RingSender<ControlInput>) -> Self {
        Self { control }
    }

    /// Hands a call in and waits for its answer, for at most `time`.
    pub(crate) async fn call(&self, call: ClientCall, time: Duration) -> ClientAnswer {
        let (sender, receiver) = oneshot::channel();
        if self.control.offer(ControlInput::Call(call, sender)).is_err() {
            return ClientAnswer::Refused(CallRefusal::Busy);
        }
        match timeout(time, receiver).await {
            Ok(Ok(answer)) => answer,
            _ => ClientAnswer::Refused(CallRefusal::Unknown),
        }
    }

    /// Hands in an event that nobody waits for.
    pub(crate) fn tell(&self, event: DomainEvent) {
        let _ = self.control.offer(event.into());
    }
}

/// What other threads may know of the deciding thread without asking.
#[derive(Debug, Default)]
pub(crate) struct ControlGauge {
    /// Whether requests may be served.
    pub(crate) ready: AtomicBool,
    /// Whether the router was given slots since the start.
    pub(crate) granted: AtomicBool,
    /// Revision in force.
    pub(crate) revision: AtomicU64,
    /// Whether this entry leads its failure domain.
    pub(crate) leads: AtomicBool,
}

/// Rings to the other threads.
#[derive(Debug)]
pub(crate) struct ControlOutputs {
    pub(crate) store: RingSender<StoreInput>,
    pub(crate) workers: RingSender<WorkerInput>,
    pub(crate) peers: RingSender<PeerInput>,
    pub(crate) callers: RingSender<CallerInput>,
}

/// The deciding thread.
pub(crate) struct ControlLoop {
    controller: DomainController,
    input: RingReceiver<ControlInput>,
    outputs: ControlOutputs,
    gauge: Arc<ControlGauge>,
    calls: BTreeMap<CallId, oneshot::Sender<ClientAnswer>>,
    next_call: CallId,
    /// Revision that callers' thread was told.
    published: Revision,
}

impl ControlLoop {
    pub(crate) fn new(
        identity: EntryIdentity,
        unix: UnixMillis,
        input: RingReceiver<ControlInput>,
        outputs: ControlOutputs,
        gauge: Arc<ControlGauge>,
    ) -> Self {
        Self {
            controller: DomainController::new(Instant::now(), unix, identity),
            input,
            outputs,
            gauge,
            calls: BTreeMap::new(),
            next_call: 0,
            published: 0,
        }
    }

    /// Runs until told to stop.
    pub(crate) async fn run(mut self) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                _ = ticks.tick() => self.event(DomainEvent::Tick),
                input = self.input.recv() => {
                    let Some(input) = input else {
                        return;
                    };
                    if !self.take(input) || !self.burst() {
                        return;
                    }
                }
            }
            self.publish();
        }
    }

    fn burst(&mut self) -> bool {
        for _ in 0..BURST {
            let Some(input) = self.input.try_recv() else {
                return true;
            };
            if !self.take(input) {
                return false;
            }
        }
        true
    }

    fn take(&mut self, input: ControlInput) -> bool {
        match input {
            ControlInput::Event(event) => self.event(*event),
            ControlInput::Call(call, sender) => {
                self.next_call += 1;
                self.calls.insert(self.next_call, sender);
                self.event(DomainEvent::Call(self.next_call, call));
            }
            ControlInput::Stop => return false,
        }
        true
    }

    fn event(&mut self, event: DomainEvent) {
        let started = Instant::now();
        for action in self.controller.handle(started, event) {
            self.carry_out(action);
        }
        metrics::histogram!("kelplink_decision_seconds").record(started.elapsed().as_secs_f64());
    }

    fn carry_out(&mut self, action: DomainAction) {
        let taken = match action {
            DomainAction::Store(owner, id, request) => {
                let refused =
                    self.outputs.store.offer(StoreInput::Call(owner, id, request)).is_err();
                if refused {
                    let outcome = crate::store::StoreOutcome::Unavailable;
                    let event = DomainEvent::Store(owner, id, outcome);
                    for action in self.controller.handle(Instant::now(), event) {
                        self.carry_out(action);
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
                        self.carry_out(action);
                    }
                }
                true
            }
            DomainAction::Peer(peer, message) => {
                self.outputs.peers.offer(PeerInput::Send(peer, Box::new(message))).is_ok()
            }
            DomainAction::Answer(id, answer) => {
                if let Some(sender) = self.calls.remove(&id) {
                    let _ = sender.send(answer);
                }
                true
            }
            DomainAction::Grant(grant) => {
                self.gauge.granted.store(true, Ordering::Relaxed);
                self.outputs.callers.offer(CallerInput::Grant(grant)).is_ok()
            }
            DomainAction::Leaving(leaving) => {
                self.outputs.callers.offer(CallerInput::Leaving(leaving)).is_ok()
            }
            DomainAction::PeerSlots(peer_slots) => {
                self.outputs.callers.offer(CallerInput::PeerSlots(peer_slots)).is_ok()
            }
        };
        if !taken {
            warn!("a thread does not keep up: a message was not taken");
        }
    }

    fn publish(&mut self) {
        let revision = self.controller.revision();
        if revision != self.published {
            let config = Arc::new(self.controller.config().clone());
            if self.outputs.callers.offer(CallerInput::Config(config)).is_ok() {
                self.published = revision;
            }
        }
        let gauge = &self.gauge;
        let granted = gauge.granted.load(Ordering::Relaxed);
        gauge.ready.store(granted && self.controller.ready(), Ordering::Relaxed);
        gauge.revision.store(revision, Ordering::Relaxed);
        gauge.leads.store(self.controller.leads(), Ordering::Relaxed);
    }
}
