//! State of the other entries, and the messages between entries.

use std::collections::BTreeMap;
use std::time::Duration;

use log::warn;
use tokio::time::Instant;

use crate::config::{ClusterSummary, DomainSummary};
use crate::domain::controller::{DomainController, ReplyTo};
use crate::domain::event::{DomainAction, EntryIdentity};
use crate::id::{CallId, DomainId, EntryId, ServiceId};
use crate::ledger::LedgerRecord;
use crate::message::{
    ClientAnswer, ClientCall, EntryStatus, LeaderStatus, PROTOCOL_VERSION, PeerHeartbeat,
    PeerMessage,
};
use crate::routing::DemandReport;
use crate::token::FencingToken;

/// Number of heartbeat intervals without a heartbeat after which a peer counts as silent.
const MISSED_HEARTBEATS: u32 = 6;
/// Heartbeats to peers of other failure domains are this many times less frequent.
const REMOTE_INTERVAL_FACTOR: u32 = 4;
/// Time limit for the answer to a forwarded call.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of forwarded calls that wait for an answer.
const MAX_FORWARDED_CALLS: usize = 4_096;
/// Maximum number of records in one message to a follower.
const MAX_RECORDS_PER_MESSAGE: usize = 512;

#[derive(Debug)]
struct PeerState {
    domain: DomainId,
    last_heartbeat: Option<Instant>,
    heartbeat: Option<PeerHeartbeat>,
    /// Free slots by service, as last reported.
    free_slots: BTreeMap<ServiceId, u32>,
    next_heartbeat: Instant,
    incompatible: bool,
}

#[derive(Debug)]
struct ForwardedCall {
    leader: EntryId,
    call: ClientCall,
    deadline: Instant,
}

/// State of all other entries as this entry knows it.
#[derive(Debug)]
pub(crate) struct PeerTable {
    domain: DomainId,
    interval: Duration,
    peers: BTreeMap<EntryId, PeerState>,
    calls: BTreeMap<CallId, ForwardedCall>,
    /// Token of the leader that sent the last group of ledger records, and the number of the group.
    warm_position: Option<(FencingToken, u64)>,
    /// Number of the last group of ledger records that this entry sent as leader.
    warm_seq: u64,
    /// Free slots of the router of this entry, by service.
    own_free_slots: BTreeMap<ServiceId, u32>,
    /// Entries with free slots, as last reported to the router of this entry.
    peer_slots: BTreeMap<ServiceId, Vec<EntryId>>,
}

impl PeerTable {
    pub(crate) fn new(now: Instant, identity: &EntryIdentity) -> Self {
        let peers = identity.peers.iter().map(|(entry, domain)| {
            let state = PeerState {
                domain: domain.clone(),
                last_heartbeat: None,
                heartbeat: None,
                free_slots: BTreeMap::new(),
                next_heartbeat: now,
                incompatible: false,
            };
            (entry.clone(), state)
        });
        Self {
            domain: identity.domain.clone(),
            interval: identity.timing.peer_interval,
            peers: peers.collect(),
            calls: BTreeMap::new(),
            warm_position: None,
            warm_seq: 0,
            own_free_slots: BTreeMap::new(),
            peer_slots: BTreeMap::new(),
        }
    }

    /// Sets the free slots of the router of this entry.
    pub(crate) fn set_own_free_slots(&mut self, free: BTreeMap<ServiceId, u32>) {
        self.own_free_slots = free;
    }

    /// Makes the next heartbeats to all peers due at once.
    pub(crate) fn make_heartbeats_due(&mut self, now: Instant) {
        for state in self.peers.values_mut() {
            state.next_heartbeat = now;
        }
    }

    fn is_recent(&self, now: Instant, state: &PeerState) -> bool {
        let timeout = self.interval * MISSED_HEARTBEATS * self.interval_factor(state);
        state.last_heartbeat.is_some_and(|at| now < at + timeout)
    }

    fn is_remote(&self, peer: &EntryId) -> bool {
        self.peers.get(peer).is_some_and(|state| state.domain != self.domain)
    }

    fn interval_factor(&self, state: &PeerState) -> u32 {
        match state.domain == self.domain {
            true => 1,
            false => REMOTE_INTERVAL_FACTOR,
        }
    }

    /// Returns the peers to which a heartbeat is due and schedules the next one.
    fn take_due_heartbeats(&mut self, now: Instant) -> Vec<EntryId> {
        let interval = self.interval;
        let own = self.domain.clone();
        let due = self.peers.iter_mut().filter(|(_, state)| now >= state.next_heartbeat);
        due.map(|(entry, state)| {
            let interval_factor = if state.domain == own { 1 } else { REMOTE_INTERVAL_FACTOR };
            state.next_heartbeat = now + interval * interval_factor;
            entry.clone()
        })
        .collect()
    }

    /// The leader of a failure domain: the entry with the highest token among recent heartbeats.
    pub(crate) fn leader_of(&self, now: Instant, domain: &DomainId) -> Option<EntryId> {
        let domain_peers = self.peers.iter().filter(|(_, state)| state.domain == *domain);
        let leading = domain_peers.filter(|(_, state)| self.is_recent(now, state)).filter_map(
            |(entry, state)| {
                let leader_status = state.heartbeat.as_ref()?.leading.as_ref()?;
                Some((leader_status.token.clone(), entry.clone()))
            },
        );
        leading.max().map(|(_, entry)| entry)
    }

    /// Resources of each failure domain whose leader is not silent.
    pub(crate) fn cluster(&self, now: Instant, own: &Option<DomainSummary>) -> ClusterSummary {
        let mut cluster = ClusterSummary::new();
        for state in self.peers.values().filter(|state| self.is_recent(now, state)) {
            if let Some(leader_status) =
                state.heartbeat.as_ref().and_then(|heartbeat| heartbeat.leading.as_ref())
            {
                cluster.insert(state.domain.clone(), leader_status.summary);
            }
        }
        if let Some(summary) = own {
            cluster.insert(self.domain.clone(), *summary);
        }
        cluster
    }

    /// Records a forwarded call. Returns the call that is dropped for it when the limit is reached.
    pub(crate) fn track_forwarded_call(
        &mut self,
        now: Instant,
        id: CallId,
        leader: EntryId,
        call: ClientCall,
    ) -> Option<CallId> {
        let dropped = match self.calls.len() < MAX_FORWARDED_CALLS {
            true => None,
            false => self.calls.pop_first().map(|(id, _)| id),
        };
        self.calls.insert(id, ForwardedCall { leader, call, deadline: now + FORWARD_TIMEOUT });
        dropped
    }

    fn overdue_calls(&mut self, now: Instant) -> Vec<(CallId, ClientCall)> {
        let overdue = self.calls.extract_if(.., |_, forwarded_call| now >= forwarded_call.deadline);
        overdue.map(|(id, forwarded_call)| (id, forwarded_call.call)).collect()
    }

    /// Entries with free slots by service, most free slots first.
    pub(crate) fn entries_with_free_slots(
        &self,
        now: Instant,
    ) -> BTreeMap<ServiceId, Vec<EntryId>> {
        let mut peer_slots: BTreeMap<ServiceId, Vec<(u32, EntryId)>> = BTreeMap::new();
        for (entry, state) in &self.peers {
            let draining = state.heartbeat.as_ref().is_some_and(|heartbeat| heartbeat.draining);
            if !self.is_recent(now, state) || draining {
                continue;
            }
            for (service, free) in &state.free_slots {
                peer_slots.entry(service.clone()).or_default().push((*free, entry.clone()));
            }
        }
        let sorted = peer_slots.into_iter().map(|(service, mut entries)| {
            entries.sort_by(|a, b| b.cmp(a));
            (service, entries.into_iter().map(|(_, entry)| entry).collect())
        });
        sorted.collect()
    }

    /// Status of every peer.
    pub(crate) fn statuses(&self, now: Instant) -> Vec<EntryStatus> {
        let status = |(entry, state): (&EntryId, &PeerState)| {
            let heartbeat = state.heartbeat.as_ref().filter(|_| self.is_recent(now, state));
            let silent =
                state.last_heartbeat.map_or(Duration::MAX, |at| now.saturating_duration_since(at));
            EntryStatus {
                entry: entry.clone(),
                domain: state.domain.clone(),
                revision: heartbeat.map(|heartbeat| heartbeat.revision),
                silent_ms: u64::try_from(silent.as_millis()).unwrap_or(u64::MAX),
                leads: heartbeat.is_some_and(|heartbeat| heartbeat.leading.is_some()),
                draining: heartbeat.is_some_and(|heartbeat| heartbeat.draining),
            }
        };
        self.peers.iter().map(status).collect()
    }

    /// Clears the leadership of a peer whose process has ended; tells whether it was the leader.
    fn clear_leading(&mut self, peer: &EntryId) -> bool {
        let state = self.peers.get_mut(peer);
        state.is_some_and(|state| {
            state.heartbeat.as_mut().is_some_and(|h| h.leading.take().is_some())
        })
    }

    /// Time of the last heartbeat of any entry of another failure domain.
    pub(crate) fn domain_last_heartbeat(&self, domain: &DomainId) -> Option<Instant> {
        let domain_peers = self.peers.values().filter(|state| state.domain == *domain);
        domain_peers.filter_map(|state| state.last_heartbeat).max()
    }

    /// Time of the last heartbeat of the leader of another failure domain.
    pub(crate) fn leader_last_heartbeat(&self, domain: &DomainId) -> Option<Instant> {
        let domain_peers = self.peers.values().filter(|state| state.domain == *domain);
        domain_peers
            .filter(|state| {
                state.heartbeat.as_ref().is_some_and(|heartbeat| heartbeat.leading.is_some())
            })
            .filter_map(|state| state.last_heartbeat)
            .max()
    }
}

impl DomainController {
    /// Sends due heartbeats and refuses forwarded calls that were not answered in time.
    pub(crate) fn tick_peers(&mut self, now: Instant) {
        let due = self.peers.take_due_heartbeats(now);
        if !due.is_empty() {
            let heartbeat = self.heartbeat();
            for peer in due {
                let is_remote = self.peers.is_remote(&peer);
                let free_slots = is_remote.then(|| self.peers.own_free_slots.clone());
                let heartbeat = PeerHeartbeat { free_slots, ..heartbeat.clone() };
                self.send_peer(&peer, PeerMessage::Hello(heartbeat));
            }
            self.send_peer_slots(now);
        }
        for (id, call) in self.peers.overdue_calls(now) {
            self.refuse_overdue_call(id, &call);
        }
    }

    /// Reports the entries with free slots to the router of this entry, if they changed.
    fn send_peer_slots(&mut self, now: Instant) {
        let peer_slots = self.peers.entries_with_free_slots(now);
        if peer_slots != self.peers.peer_slots {
            self.peers.peer_slots.clone_from(&peer_slots);
            self.actions.push(DomainAction::PeerSlots(peer_slots));
        }
    }

    fn heartbeat(&self) -> PeerHeartbeat {
        let leading = self.leader.as_ref().map(|leader| LeaderStatus {
            token: leader.token.clone(),
            lease_version: self.leadership.lease_version(),
            summary: self.domain_summary().unwrap_or_default(),
            warm_seq: self.peers.warm_seq,
        });
        PeerHeartbeat {
            protocol: PROTOCOL_VERSION,
            domain: self.identity.domain.clone(),
            boot: self.identity.boot,
            revision: self.revision(),
            draining: self.draining,
            leading,
            free_slots: None,
        }
    }

    /// Handles a message from a peer.
    pub(crate) fn handle_peer_message(
        &mut self,
        now: Instant,
        peer: &EntryId,
        message: PeerMessage,
    ) {
        match message {
            PeerMessage::Hello(heartbeat) => self.handle_heartbeat(now, peer, heartbeat),
            PeerMessage::AskConfig => {
                let config = Box::new(self.config.current().clone());
                self.send_peer(peer, PeerMessage::Config(config));
            }
            PeerMessage::Config(config) => {
                let outputs = self.config.on_config(*config);
                self.apply_config_outputs(now, outputs);
            }
            PeerMessage::Demand(report) => self.handle_demand(now, peer, &report),
            PeerMessage::Grant(grant) => self.actions.push(DomainAction::Grant(grant)),
            PeerMessage::Call(id, call) => {
                self.handle_client_call(now, ReplyTo::Peer(peer.clone(), id), call);
            }
            PeerMessage::Answer(id, answer) => self.handle_forwarded_answer(peer, id, answer),
            PeerMessage::Records { token, seq, whole, records } => {
                self.handle_records(peer, token, seq, whole, records);
            }
            PeerMessage::AskRecords => self.send_all_records(peer),
            PeerMessage::AskHold { domain, epoch, seq } => {
                self.handle_hold_request(now, peer, &domain, epoch, seq);
            }
            PeerMessage::GrantHold { seq } => self.moves.handle_hold_granted(peer, seq),
        }
    }

    fn handle_heartbeat(&mut self, now: Instant, peer: &EntryId, heartbeat: PeerHeartbeat) {
        let own_domain = self.identity.domain.clone();
        let Some(state) = self.peers.peers.get_mut(peer) else {
            return;
        };
        if heartbeat.protocol != PROTOCOL_VERSION {
            if !std::mem::replace(&mut state.incompatible, true) {
                warn!("{peer} uses protocol {}, this entry {PROTOCOL_VERSION}", heartbeat.protocol);
            }
            return;
        }
        if state.heartbeat.as_ref().is_some_and(|before| before.boot > heartbeat.boot) {
            return;
        }
        state.incompatible = false;
        state.last_heartbeat = Some(now);
        if let Some(free) = &heartbeat.free_slots {
            state.free_slots.clone_from(free);
        }
        let (revision, leading) = (heartbeat.revision, heartbeat.leading.clone());
        let was_leading = state.heartbeat.as_ref().is_some_and(|before| before.leading.is_some());
        state.heartbeat = Some(heartbeat);
        let same_domain = state.domain == own_domain;
        if same_domain && was_leading && leading.is_none() {
            self.leadership.on_resignation(now);
        }
        let outputs = self.config.on_peer_revision(peer, revision);
        self.apply_config_outputs(now, outputs);
        if let Some(leader_status) = leading.filter(|_| same_domain) {
            let actions = self.leadership.on_leader_heartbeat(
                now,
                &leader_status.token,
                leader_status.lease_version,
            );
            self.apply_leadership_actions(now, actions);
            self.request_missing_records(peer, &leader_status);
        }
    }

    fn request_missing_records(&mut self, peer: &EntryId, leader_status: &LeaderStatus) {
        let is_followed =
            self.leadership.highest() == Some(&leader_status.token) && self.leader.is_none();
        let current = (leader_status.token.clone(), leader_status.warm_seq);
        if is_followed && self.peers.warm_position.as_ref() != Some(&current) {
            self.send_peer(peer, PeerMessage::AskRecords);
        }
    }

    fn handle_records(
        &mut self,
        peer: &EntryId,
        token: FencingToken,
        seq: u64,
        whole: bool,
        records: Vec<LedgerRecord>,
    ) {
        let is_followed = self.leadership.highest().is_none_or(|highest| *highest <= token);
        if self.leader.is_some() || !is_followed {
            return;
        }
        let is_next_group = match &self.peers.warm_position {
            Some((from, last)) => *from == token && seq == last + 1,
            None => false,
        };
        if !whole && !is_next_group {
            return self.send_peer(peer, PeerMessage::AskRecords);
        }
        if whole {
            self.warm_records.clear();
        }
        for record in records {
            match record {
                LedgerRecord::Gone(name) => {
                    self.warm_records.remove(&name);
                }
                record => {
                    self.warm_records.insert(record.name(), record);
                }
            }
        }
        self.peers.warm_position = Some((token, seq));
    }

    fn send_all_records(&mut self, peer: &EntryId) {
        let Some(leader) = &self.leader else {
            return;
        };
        if !leader.active {
            return;
        }
        let token = leader.token.clone();
        let seq = self.peers.warm_seq;
        let records: Vec<LedgerRecord> = self.journal.records().cloned().collect();
        self.send_peer(peer, PeerMessage::Records { token, seq, whole: true, records });
    }

    /// Replicates changed records to the other entries of the domain.
    pub(crate) fn replicate_changes(&mut self) {
        let Some(leader) = &self.leader else {
            return;
        };
        let token = leader.token.clone();
        let mut changes = self.journal.take_changes();
        let domain_entries = self.identity.domain_entries();
        while !changes.is_empty() {
            let rest = changes.split_off(changes.len().min(MAX_RECORDS_PER_MESSAGE));
            let records = std::mem::replace(&mut changes, rest);
            self.peers.warm_seq += 1;
            let seq = self.peers.warm_seq;
            for peer in domain_entries.iter().filter(|entry| **entry != self.identity.entry) {
                let (token, records) = (token.clone(), records.clone());
                self.actions.push(DomainAction::Peer(
                    peer.clone(),
                    PeerMessage::Records { token, seq, whole: false, records },
                ));
            }
        }
    }

    fn handle_forwarded_answer(&mut self, peer: &EntryId, id: CallId, answer: ClientAnswer) {
        if self.moves.is_move_query(id) {
            return self.handle_move_answer(id, &answer);
        }
        let expected =
            self.peers.calls.get(&id).is_some_and(|forwarded_call| forwarded_call.leader == *peer);
        if expected {
            self.peers.calls.remove(&id);
            self.reply(&ReplyTo::Client(id), answer);
        }
    }

    fn handle_demand(&mut self, now: Instant, peer: &EntryId, report: &DemandReport) {
        if let Some(grant) = self.grant_shares(now, report) {
            self.send_peer(peer, PeerMessage::Grant(grant));
        }
    }

    fn grant_shares(
        &mut self,
        now: Instant,
        report: &DemandReport,
    ) -> Option<crate::routing::ShareGrant> {
        let may_act = self.leadership.may_act(now);
        let workers_listed = self.fleet.listed();
        let leader =
            self.leader.as_mut().filter(|leader| leader.active && may_act && workers_listed)?;
        leader.shares.report(now, report)
    }

    /// Grants slots to the router of this entry, or sends its demand to the leader of the domain.
    pub(crate) fn handle_own_demand(&mut self, now: Instant, report: DemandReport) {
        if self.leader.is_some() {
            if let Some(grant) = self.grant_shares(now, &report) {
                self.actions.push(DomainAction::Grant(grant));
            }
            return;
        }
        let domain = self.identity.domain.clone();
        if let Some(leader) = self.peers.leader_of(now, &domain) {
            self.send_peer(&leader, PeerMessage::Demand(report));
        }
    }

    /// Handles the end of the process of a peer.
    pub(crate) fn handle_peer_gone(&mut self, now: Instant, peer: &EntryId) {
        if let Some(leader) = &mut self.leader {
            leader.shares.reset_entry(peer);
        }
        let own = self.identity.domain.clone();
        if self.peers.leader_of(now, &own).as_ref() == Some(peer) && self.peers.clear_leading(peer)
        {
            self.leadership.on_leader_gone(now);
        }
    }
}
