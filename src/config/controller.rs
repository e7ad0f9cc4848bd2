//! Accepts plans by compare-and-swap in the store and distributes revisions among entries.

use std::collections::VecDeque;
use std::time::Duration;

use log::info;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::config::plan::{ClusterSummary, PlanDocument};
use crate::config::revision::{CONFIG_KEY, ConfigHolder, ConfigRevision};
use crate::id::{CallId, DomainId, EntryId, KeyVersion, Revision};
use crate::store::{StoreOutcome, StoreRequest, StoredValue};

/// How long an entry that starts while the store is down collects revisions from its peers before it
/// serves.
const PEER_LEARN_TIME: Duration = Duration::from_secs(2);
/// Pause before a call that the store did not answer is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Maximum number of queued confirms.
const MAX_QUEUED_CONFIRMS: usize = 64;
/// How long the controller tries to find out the result of a confirm whose answer was lost, before the
/// confirm is answered as unsettled.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a plan was not accepted.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfirmRefusal {
    /// The plan was edited.
    NotGenuine,
    /// The intent of the plan can never run.
    Impossible(String),
    /// Another plan was accepted in the meantime; holds a new plan for the same request.
    Moved(Box<PlanDocument>),
    /// The store cannot be reached; nothing was accepted.
    StoreDown,
    /// Too many confirms are queued.
    Busy,
    /// The store did not answer, so the plan may still be accepted. The status shows the result.
    Unsettled,
}

/// Actions and results of the controller.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigOutput {
    /// Make this call to the store and pass its outcome to [`ConfigController::answer`] with the same id.
    Call(CallId, StoreRequest),
    /// A higher revision is in force.
    Adopted(Revision),
    /// Send the configuration to this peer.
    Push(EntryId),
    /// Ask this peer for its configuration.
    Ask(EntryId),
    /// Answer the confirm with this call id.
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

/// Manages the configuration of one entry.
#[derive(Debug)]
pub struct ConfigController {
    entry: EntryId,
    boot: u64,
    holder: ConfigHolder,
    head_version: Option<KeyVersion>,
    started: Instant,
    /// Whether the highest revision was learned from the store or from peers.
    learned: bool,
    compared_with_peer: bool,
    confirm: Option<PendingConfirm>,
    queued_confirms: VecDeque<(CallId, PlanDocument)>,
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
            head_version: None,
            started: now,
            learned: false,
            compared_with_peer: false,
            confirm: None,
            queued_confirms: VecDeque::new(),
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

    /// Returns whether the highest revision that this entry can learn of is in force.
    pub fn learned(&self) -> bool {
        self.learned
    }

    /// Handles the head of the configuration, as returned by a watch or a read.
    pub fn on_head(&mut self, stored: Option<&StoredValue>) -> Vec<ConfigOutput> {
        self.learned = true;
        let Some(stored) = stored else {
            self.head_version = self.head_version.or(Some(0));
            return Vec::new();
        };
        if self.head_version.is_none_or(|head| stored.version >= head) {
            self.head_version = Some(stored.version);
        }
        match serde_json::from_str(&stored.value) {
            Ok(config) => self.adopt(config),
            Err(error) => {
                log::error!("cannot decode the configuration head in the store: {error}");
                Vec::new()
            }
        }
    }

    /// Handles the configuration of a peer.
    pub fn on_config(&mut self, config: ConfigRevision) -> Vec<ConfigOutput> {
        self.compared_with_peer = true;
        self.adopt(config)
    }

    /// Handles the revision number of a peer.
    pub fn on_peer_revision(&mut self, peer: &EntryId, revision: Revision) -> Vec<ConfigOutput> {
        let own = self.current().revision;
        match revision {
            higher if higher > own => vec![ConfigOutput::Ask(peer.clone())],
            _ => {
                self.compared_with_peer = true;
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

    /// Queues the confirm of a plan by an operator.
    pub fn confirm(
        &mut self,
        now: Instant,
        call: CallId,
        plan: PlanDocument,
        cluster: &ClusterSummary,
        domains: &[DomainId],
    ) -> Vec<ConfigOutput> {
        if self.queued_confirms.len() >= MAX_QUEUED_CONFIRMS {
            return vec![ConfigOutput::Confirmed(call, Err(ConfirmRefusal::Busy))];
        }
        self.queued_confirms.push_back((call, plan));
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
            let Some((call, plan)) = self.queued_confirms.pop_front() else {
                break;
            };
            match self.validate(&plan, cluster, domains) {
                Err(refusal) => outputs.push(ConfigOutput::Confirmed(call, Err(refusal))),
                Ok(()) => outputs.extend(self.start_confirm(now, call, plan)),
            }
        }
        outputs
    }

    fn validate(
        &self,
        plan: &PlanDocument,
        cluster: &ClusterSummary,
        domains: &[DomainId],
    ) -> std::result::Result<(), ConfirmRefusal> {
        if !plan.digest_matches() {
            return Err(ConfirmRefusal::NotGenuine);
        }
        let fresh = PlanDocument::new(self.current(), plan.request.clone(), cluster, domains);
        match fresh.refusal() {
            Some(change) => Err(ConfirmRefusal::Impossible(change.reason.clone())),
            None if plan.base != fresh.base => Err(ConfirmRefusal::Moved(Box::new(fresh))),
            None => Ok(()),
        }
    }

    fn start_confirm(
        &mut self,
        now: Instant,
        call: CallId,
        plan: PlanDocument,
    ) -> Vec<ConfigOutput> {
        self.writes += 1;
        let write_id = format!("{}-{}-{}", self.entry, self.boot, self.writes);
        let next = plan.apply(self.current(), &write_id);
        self.confirm = Some(PendingConfirm { call, plan, next, write_id, started: now });
        match self.head_version {
            Some(_) => vec![self.start_call(PendingCall::Write)],
            None => vec![self.start_call(PendingCall::ReadHead)],
        }
    }

    fn start_call(&mut self, pending: PendingCall) -> ConfigOutput {
        self.next_call += 1;
        let key = CONFIG_KEY.to_owned();
        let request = match (&pending, &self.confirm) {
            (PendingCall::Write, Some(confirm)) => StoreRequest::Swap {
                key,
                expected: self.head_version.unwrap_or(0),
                value: serde_json::to_string(&confirm.next).unwrap_or_default(),
            },
            _ => StoreRequest::Read { key },
        };
        self.pending = Some((self.next_call, pending));
        ConfigOutput::Call(self.next_call, request)
    }

    /// Handles the outcome of a call to the store.
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
            (PendingCall::Write, StoreOutcome::Written(version)) => self.handle_written(version),
            (PendingCall::Write, StoreOutcome::Conflict | StoreOutcome::Unknown) => {
                vec![self.start_call(PendingCall::Settle)]
            }
            (PendingCall::Write | PendingCall::ReadHead, StoreOutcome::Unavailable) => {
                self.refuse(ConfirmRefusal::StoreDown)
            }
            (PendingCall::ReadHead, StoreOutcome::Unknown) => {
                self.refuse(ConfirmRefusal::StoreDown)
            }
            (_, StoreOutcome::Found(stored)) => self.settle(&stored, cluster, domains),
            (_, StoreOutcome::Missing) => {
                self.head_version = Some(0);
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
            Some(confirm) if confirm.plan.base == 0 => vec![self.start_call(PendingCall::Write)],
            Some(_) => self.refuse(ConfirmRefusal::StoreDown),
            None => Vec::new(),
        }
    }

    fn handle_written(&mut self, version: KeyVersion) -> Vec<ConfigOutput> {
        self.head_version = Some(version);
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

    /// Finds out from the head whether the pending write took effect.
    fn settle(
        &mut self,
        stored: &StoredValue,
        cluster: &ClusterSummary,
        domains: &[DomainId],
    ) -> Vec<ConfigOutput> {
        let before = self.head_version;
        let mut outputs = self.on_head(Some(stored));
        let Some(confirm) = self.confirm.clone() else {
            return outputs;
        };
        match self.current().revision_of_write(&confirm.write_id) {
            Some(revision) => {
                self.confirm = None;
                outputs.push(ConfigOutput::Confirmed(confirm.call, Ok(revision)));
            }
            None if self.current().revision == confirm.plan.base => {
                log::debug!(
                    "the head is still at the base of the plan, version {before:?}: writing again"
                );
                outputs.push(self.start_call(PendingCall::Write));
            }
            None => {
                let request = confirm.plan.request.clone();
                let fresh = PlanDocument::new(self.current(), request, cluster, domains);
                outputs.extend(self.refuse(ConfirmRefusal::Moved(Box::new(fresh))));
            }
        }
        outputs
    }

    /// Repeats calls that are due and answers confirms whose result stays unknown as unsettled.
    pub fn tick(&mut self, now: Instant) -> Vec<ConfigOutput> {
        if !self.learned && self.compared_with_peer && now >= self.started + PEER_LEARN_TIME {
            self.learned = true;
        }
        let mut outputs = Vec::new();
        let unsettled = |confirm: &PendingConfirm| now >= confirm.started + SETTLE_TIMEOUT;
        if self.confirm.as_ref().is_some_and(unsettled) {
            outputs.extend(self.refuse(ConfirmRefusal::Unsettled));
        }
        match self.retry.take() {
            Some((at, pending)) if now >= at && self.confirm.is_some() => {
                outputs.push(self.start_call(pending));
            }
            Some((at, pending)) if self.confirm.is_some() => self.retry = Some((at, pending)),
            _ => {}
        }
        outputs
    }
}
