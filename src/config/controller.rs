//! Accepts plans by compare-and-swap and spreads revisions among entries.

use std::collections::VecDeque;
use std::time::Duration;

use log::info;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::config::plan::{ClusterSummary, PlanDocument};
use crate::config::revision::{CONFIG_KEY, ConfigHolder, ConfigRevision};
use crate::id::{CallId, DomainId, EntryId, KeyVersion, Revision};
use crate::store::{StoreOutcome, StoreRequest, StoredValue};

/// How long an entry that starts without the store listens to peers before it serves.
const LEARN_TIME: Duration = Duration::from_secs(2);
/// Pause before a call is repeated that the store did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Confirms that may wait for their turn.
const MAX_WAITING: usize = 64;
/// How long a confirm whose answer was lost is settled before its operator is told so.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// Why a plan was not accepted.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfirmRefusal {
    /// The plan was edited.
    NotGenuine,
    /// The plan says itself that it cannot run.
    Impossible(String),
    /// Another plan was accepted meanwhile; here is what would change now.
    Moved(Box<PlanDocument>),
    /// The store cannot be reached; nothing was accepted.
    StoreDown,
    /// Too many confirms wait.
    Busy,
    /// No answer came from the store: the plan may be accepted yet. Ask for the status.
    Unsettled,
}

/// What the controller wants done or tells.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigOutput {
    /// Make this call and bring the outcome back under the number.
    Call(CallId, StoreRequest),
    /// A higher revision is in force.
    Adopted(Revision),
    /// Send the configuration to a peer.
    Push(EntryId),
    /// Ask a peer for its configuration.
    Ask(EntryId),
    /// Answer a confirm.
    Confirmed(CallId, std::result::Result<Revision, ConfirmRefusal>),
}

#[derive(Clone, Debug)]
struct PendingConfirm {
    call: CallId,
    plan: PlanDocument,
    next: ConfigRevision,
    write_id: String,
    started: Instant,
}

#[derive(Clone, Debug)]
enum PendingCall {
    ReadHead,
    Write,
    Settle,
}

/// Keeps the configuration of one entry.
#[derive(Debug)]
pub struct ConfigController {
    entry: EntryId,
    boot: u64,
    holder: ConfigHolder,
    head: Option<KeyVersion>,
    started: Instant,
    /// Whether the store or peers have told the highest revision.
    learned: bool,
    peers_heard: bool,
    confirm: Option<PendingConfirm>,
    waiting: VecDeque<(CallId, PlanDocument)>,
    pending: Option<(CallId, PendingCall)>,
    retry: Option<(Instant, PendingCall)>,
    next_call: CallId,
    writes: u64,
}

impl ConfigController {
    /// Starts without a configuration.
    pub fn new(now: Instant, entry: EntryId, boot: u64) -> Self {
        Self {
            entry,
            boot,
            holder: ConfigHolder::default(),
            head: None,
            started: now,
            learned: false,
            peers_heard: false,
            confirm: None,
            waiting: VecDeque::new(),
            pending: None,
            retry: None,
            next_call: 0,
            writes: 0,
        }
    }

    /// The configuration in force.
    pub fn current(&self) -> &ConfigRevision {
        self.holder.current()
    }

    /// Tells whether the highest revision that can be known is in force.
    pub fn learned(&self) -> bool {
        self.learned
    }

    /// The watch or a read showed the head.
    pub fn on_head(&mut self, stored: Option<&StoredValue>) -> Vec<ConfigOutput> {
        self.learned = true;
        let Some(stored) = stored else {
            self.head = self.head.or(Some(0));
            return Vec::new();
        };
        if self.head.is_none_or(|head| stored.version >= head) {
            self.head = Some(stored.version);
        }
        match serde_json::from_str(&stored.value) {
            Ok(config) => self.adopt(config),
            Err(error) => {
                log::error!("the head in the store cannot be read: {error}");
                Vec::new()
            }
        }
    }

    /// A peer sent its configuration.
    pub fn on_config(&mut self, config: ConfigRevision) -> Vec<ConfigOutput> {
        self.peers_heard = true;
        self.adopt(config)
    }

    /// A peer told which revision it has.
    pub fn on_peer_revision(&mut self, peer: &EntryId, revision: Revision) -> Vec<ConfigOutput> {
        let own = self.current().revision;
        match revision {
            higher if higher > own => vec![ConfigOutput::Ask(peer.clone())],
            _ => {
                self.peers_heard = true;
                Vec::new()
            }
        }
    }

    fn adopt(&mut self, config: ConfigRevision) -> Vec<ConfigOutput> {
        let revision = config.revision;
        match self.holder.adopt(config) {
            true => {
                info!("revision {revision} is in force");
                vec![ConfigOutput::Adopted(revision)]
            }
            false => Vec::new(),
        }
    }

    /// An operator confirms a plan.
    pub fn confirm(
        &mut self,
        now: Instant,
        call: CallId,
        plan: PlanDocument,
        cluster: &ClusterSummary,
        domains: &[DomainId],
    ) -> Vec<ConfigOutput> {
        if self.waiting.len() >= MAX_WAITING {
            return vec![ConfigOutput::Confirmed(call, Err(ConfirmRefusal::Busy))];
        }
        self.waiting.push_back((call, plan));
        self.next_confirm(now, cluster, domains)
    }

    fn next_confirm(
        &mut self,
        now: Instant,
        cluster: &ClusterSummary,
        domains: &[DomainId],
    ) -> Vec<ConfigOutput> {
        let mut outputs = Vec::new();
        while self.confirm.is_none() {
            let Some((call, plan)) = self.waiting.pop_front() else {
                break;
            };
            match self.judge(&plan, cluster, domains) {
                Err(refusal) => outputs.push(ConfigOutput::Confirmed(call, Err(refusal))),
                Ok(()) => outputs.extend(self.begin(now, call, plan)),
            }
        }
        outputs
    }

    fn judge(
        &self,
        plan: &PlanDocument,
        cluster: &ClusterSummary,
        domains: &[DomainId],
    ) -> std::result::Result<(), ConfirmRefusal> {
        if !plan.genuine() {
            return Err(ConfirmRefusal::NotGenuine);
        }
        let fresh = PlanDocument::new(self.current(), plan.request.clone(), cluster, domains);
        match fresh.refusal() {
            Some(change) => Err(ConfirmRefusal::Impossible(change.reason.clone())),
            None if plan.base != fresh.base => Err(ConfirmRefusal::Moved(Box::new(fresh))),
            None => Ok(()),
        }
    }

    fn begin(&mut self, now: Instant, call: CallId, plan: PlanDocument) -> Vec<ConfigOutput> {
        self.writes += 1;
        let write_id = format!("{}-{}-{}", self.entry, self.boot, self.writes);
        let next = plan.apply(self.current(), &write_id);
        self.confirm = Some(PendingConfirm { call, plan, next, write_id, started: now });
        match self.head {
            Some(_) => vec![self.call(PendingCall::Write)],
            None => vec![self.call(PendingCall::ReadHead)],
        }
    }

    fn call(&mut self, pending: PendingCall) -> ConfigOutput {
        self.next_call += 1;
        let key = CONFIG_KEY.to_owned();
        let request = match (&pending, &self.confirm) {
            (PendingCall::Write, Some(confirm)) => StoreRequest::Swap {
                key,
                expected: self.head.unwrap_or(0),
                value: serde_json::to_string(&confirm.next).unwrap_or_default(),
            },
            _ => StoreRequest::Read { key },
        };
        self.pending = Some((self.next_call, pending));
        ConfigOutput::Call(self.next_call, request)
    }

    /// Brings back the outcome of a call.
    pub fn answer(
        &mut self,
        now: Instant,
        id: CallId,
        outcome: StoreOutcome,
        cluster: &ClusterSummary,
        domains: &[DomainId],
    ) -> Vec<ConfigOutput> {
        let pending = match self.pending.take() {
            Some((call, pending)) if call == id => pending,
            other => {
                self.pending = other;
                return Vec::new();
            }
        };
        let mut outputs = match (pending, outcome) {
            (PendingCall::Write, StoreOutcome::Written(version)) => self.accepted(version),
            (PendingCall::Write, StoreOutcome::Conflict | StoreOutcome::Unknown) => {
                vec![self.call(PendingCall::Settle)]
            }
            (PendingCall::Write | PendingCall::ReadHead, StoreOutcome::Unavailable) => {
                self.refuse(ConfirmRefusal::StoreDown)
            }
            (PendingCall::ReadHead, StoreOutcome::Unknown) => {
                self.refuse(ConfirmRefusal::StoreDown)
            }
            (_, StoreOutcome::Found(stored)) => self.settle(&stored, cluster, domains),
            (_, StoreOutcome::Missing) => {
                self.head = Some(0);
                self.learned = true;
                self.settle_missing()
            }
            (pending, _) => {
                self.retry = Some((now + RETRY_PAUSE, pending));
                Vec::new()
            }
        };
        outputs.extend(self.next_confirm(now, cluster, domains));
        outputs
    }

    fn settle_missing(&mut self) -> Vec<ConfigOutput> {
        match &self.confirm {
            Some(confirm) if confirm.plan.base == 0 => vec![self.call(PendingCall::Write)],
            Some(_) => self.refuse(ConfirmRefusal::StoreDown),
            None => Vec::new(),
        }
    }

    fn accepted(&mut self, version: KeyVersion) -> Vec<ConfigOutput> {
        self.head = Some(version);
        let Some(confirm) = self.confirm.take() else {
            return Vec::new();
        };
        let revision = confirm.next.revision;
        let mut outputs = self.adopt(confirm.next);
        outputs.push(ConfigOutput::Confirmed(confirm.call, Ok(revision)));
        outputs
    }

    fn refuse(&mut self, refusal: ConfirmRefusal) -> Vec<ConfigOutput> {
        match self.confirm.take() {
            Some(confirm) => vec![ConfigOutput::Confirmed(confirm.call, Err(refusal))],
            None => Vec::new(),
        }
    }

    /// The head was read: it tells whether our write took effect.
    fn settle(
        &mut self,
        stored: &StoredValue,
        cluster: &ClusterSummary,
        domains: &[DomainId],
    ) -> Vec<ConfigOutput> {
        let before = self.head;
        let mut outputs = self.on_head(Some(stored));
        let Some(confirm) = self.confirm.clone() else {
            return outputs;
        };
        match self.current().made_by(&confirm.write_id) {
            Some(revision) => {
                self.confirm = None;
                outputs.push(ConfigOutput::Confirmed(confirm.call, Ok(revision)));
            }
            None if self.current().revision == confirm.plan.base => {
                log::debug!("head at version {before:?} is still the base: writing again");
                outputs.push(self.call(PendingCall::Write));
            }
            None => {
                let request = confirm.plan.request.clone();
                let fresh = PlanDocument::new(self.current(), request, cluster, domains);
                outputs.extend(self.refuse(ConfirmRefusal::Moved(Box::new(fresh))));
            }
        }
        outputs
    }

    /// Lets time pass: repeats calls, gives up on confirms that cannot be settled.
    pub fn tick(&mut self, now: Instant) -> Vec<ConfigOutput> {
        if !self.learned && self.peers_heard && now >= self.started + LEARN_TIME {
            self.learned = true;
        }
        let mut outputs = Vec::new();
        let unsettled = |confirm: &PendingConfirm| now >= confirm.started + SETTLE_TIME;
        if self.confirm.as_ref().is_some_and(unsettled) {
            outputs.extend(self.refuse(ConfirmRefusal::Unsettled));
        }
        match self.retry.take() {
            Some((at, pending)) if now >= at && self.confirm.is_some() => {
                outputs.push(self.call(pending));
            }
            Some((at, pending)) if self.confirm.is_some() => self.retry = Some((at, pending)),
            _ => {}
        }
        outputs
    }
}
