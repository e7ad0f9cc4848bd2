//! What this entry knows of the others, and the messages between them.

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

/// Heartbeats of a peer that may be missed before it counts as silent.
const MISSED_HEARTBEATS: u32 = 6;
/// Peers of other failure domains hear from us this many times less often.
const FAR_FACTOR: u32 = 4;
/// How long a call that was handed over may take.
const CALL_TIME: Duration = Duration::from_secs(3);
/// Calls that may be handed over at a time.
const MAX_HANDED_OVER: usize = 4_096;
/// Records in one message to a follower.
const RECORD_GROUP: usize = 512;

#[derive(Debug)]
struct PeerState {
    domain: DomainId,
    heard: Option<Instant>,
    hello: Option<PeerHeartbeat>,
    /// Free slots by service as last told.
    free_slots: BTreeMap<ServiceId, u32>,
    next_hello: Instant,
    incompatible: bool,
}

#[derive(Debug)]
struct HandedCall {
    leader: EntryId,
    call: ClientCall,
    until: Instant,
}

/// What is known of all other entries.
#[derive(Debug)]
pub(crate) struct PeerTable {
    domain: DomainId,
    interval: Duration,
    peers: BTreeMap<EntryId, PeerState>,
    calls: BTreeMap<CallId, HandedCall>,
    /// Last group of records sent or received, and by which leader.
    warm: Option<(FencingToken, u64)>,
    warm_seq: u64,
    /// Free slots of the own router by service.
    own_room: BTreeMap<ServiceId, u32>,
    /// Entries with room as last told to the own router.
    peer_slots: BTreeMap<ServiceId, Vec<EntryId>>,
}

impl PeerTable {
    pub(crate) fn new(now: Instant, identity: &EntryIdentity) -> Self {
        let peers = identity.peers.iter().map(|(entry, domain)| {
            let state = PeerState {
                domain: domain.clone(),
                heard: None,
                hello: None,
                free_slots: BTreeMap::new(),
                next_hello: now,
                incompatible: false,
            };
            (entry.clone(), state)
        });
        Self {
            domain: identity.domain.clone(),
            interval: identity.timing.peer_interval,
            peers: peers.collect(),
            calls: BTreeMap::new(),
            warm: None,
            warm_seq: 0,
            own_room: BTreeMap::new(),
            peer_slots: BTreeMap::new(),
        }
    }

    /// Notes the free slots of the own router.
    pub(crate) fn set_own_room(&mut self, free: BTreeMap<ServiceId, u32>) {
        self.own_room = free;
    }

    /// The next heartbeats go out at once.
    pub(crate) fn hurry(&mut self, now: Instant) {
        for state in self.peers.values_mut() {
            state.next_hello = now;
        }
    }

    fn fresh(&self, now: Instant, state: &PeerState) -> bool {
        let patience = self.interval * MISSED_HEARTBEATS * self.factor(state);
        state.heard.is_some_and(|at| now < at + patience)
    }

    fn far(&self, peer: &EntryId) -> bool {
        self.peers.get(peer).is_some_and(|state| state.domain != self.domain)
    }

    fn factor(&self, state: &PeerState) -> u32 {
        match state.domain == self.domain {
            true => 1,
            false => FAR_FACTOR,
        }
    }

    /// Peers whose heartbeat is due.
    fn due(&mut self, now: Instant) -> Vec<EntryId> {
        let interval = self.interval;
        let own = self.domain.clone();
        let due = self.peers.iter_mut().filter(|(_, state)| now >= state.next_hello);
        due.map(|(entry, state)| {
            let factor = if state.domain == own { 1 } else { FAR_FACTOR };
            state.next_hello = now + interval * factor;
            entry.clone()
        })
        .collect()
    }

    /// The entry that leads a failure domain, by the highest token heard lately.
    pub(crate) fn leader_of(&self, now: Instant, domain: &DomainId) -> Option<EntryId> {
        let near = self.peers.iter().filter(|(_, state)| state.domain == *domain);
        let leading =
            near.filter(|(_, state)| self.fresh(now, state)).filter_map(|(entry, state)| {
                let news = state.hello.as_ref()?.leading.as_ref()?;
                Some((news.token.clone(), entry.clone()))
            });
        leading.max().map(|(_, entry)| entry)
    }

    /// What every failure domain heard from has.
    pub(crate) fn cluster(&self, now: Instant, own: &Option<DomainSummary>) -> ClusterSummary {
        let mut cluster = ClusterSummary::new();
        for state in self.peers.values().filter(|state| self.fresh(now, state)) {
            if let Some(news) = state.hello.as_ref().and_then(|hello| hello.leading.as_ref()) {
                cluster.insert(state.domain.clone(), news.summary);
            }
        }
        if let Some(summary) = own {
            cluster.insert(self.domain.clone(), *summary);
        }
        cluster
    }

    /// Remembers a call that was handed over. Gives a call that has to be given up for it.
    pub(crate) fn expect_answer(
        &mut self,
        now: Instant,
        id: CallId,
        leader: EntryId,
        call: ClientCall,
    ) -> Option<CallId> {
        let dropped = match self.calls.len() < MAX_HANDED_OVER {
            true => None,
            false => self.calls.pop_first().map(|(id, _)| id),
        };
        self.calls.insert(id, HandedCall { leader, call, until: now + CALL_TIME });
        dropped
    }

    fn overdue_calls(&mut self, now: Instant) -> Vec<(CallId, ClientCall)> {
        let overdue = self.calls.extract_if(.., |_, handed| now >= handed.until);
        overdue.map(|(id, handed)| (id, handed.call)).collect()
    }

    /// Entries with free slots for a service, most first.
    pub(crate) fn entries_with_free_slots(
        &self,
        now: Instant,
    ) -> BTreeMap<ServiceId, Vec<EntryId>> {
        let mut peer_slots: BTreeMap<ServiceId, Vec<(u32, EntryId)>> = BTreeMap::new();
        for (entry, state) in &self.peers {
            let draining = state.hello.as_ref().is_some_and(|hello| hello.draining);
            if !self.fresh(now, state) || draining {
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
            let hello = state.hello.as_ref().filter(|_| self.fresh(now, state));
            let silent = state.heard.map_or(Duration::MAX, |at| now.saturating_duration_since(at));
            EntryStatus {
                entry: entry.clone(),
                domain: state.domain.clone(),
                revision: hello.map(|hello| hello.revision),
                silent_ms: u64::try_from(silent.as_millis()).unwrap_or(u64::MAX),
                leads: hello.is_some_and(|hello| hello.leading.is_some()),
                draining: hello.is_some_and(|hello| hello.draining),
            }
        };
        self.peers.iter().map(status).collect()
    }

    /// Forgets what a peer said before its process ended; tells whether that was news.
    fn mark_gone(&mut self, peer: &EntryId) -> bool {
        let state = self.peers.get_mut(peer);
        state.is_some_and(|state| state.hello.as_mut().is_some_and(|h| h.leading.take().is_some()))
    }

    /// When any entry of another failure domain was last heard from.
    pub(crate) fn domain_heard(&self, domain: &DomainId) -> Option<Instant> {
        let near = self.peers.values().filter(|state| state.domain == *domain);
        near.filter_map(|state| state.heard).max()
    }

    /// When the leader of another failure domain was last heard from.
    pub(crate) fn leader_heard(&self, domain: &DomainId) -> Option<Instant> {
        let near = self.peers.values().filter(|state| state.domain == *domain);
        near.filter(|state| state.hello.as_ref().is_some_and(|hello| hello.leading.is_some()))
            .filter_map(|state| state.heard)
            .max()
    }
}

impl DomainController {
    /// Sends heartbeats and what followers lack; gives up on calls without an answer.
    pub(crate) fn peers_tick(&mut self, now: Instant) {
        let due = self.peers.due(now);
        if !due.is_empty() {
            let hello = self.hello();
            for peer in due {
                let far = self.peers.far(&peer);
                let free_slots = far.then(|| self.peers.own_room.clone());
                let hello = PeerHeartbeat { free_slots, ..hello.clone() };
                self.tell(&peer, PeerMessage::Hello(hello));
            }
            self.send_peer_slots(now);
        }
        for (id, call) in self.peers.overdue_calls(now) {
            self.give_up_call(id, &call);
        }
    }

    /// Tells the own router which entries have room, where that changed.
    fn send_peer_slots(&mut self, now: Instant) {
        let peer_slots = self.peers.entries_with_free_slots(now);
        if peer_slots != self.peers.peer_slots {
            self.peers.peer_slots.clone_from(&peer_slots);
            self.actions.push(DomainAction::PeerSlots(peer_slots));
        }
    }

    fn hello(&self) -> PeerHeartbeat {
        let leading = self.leader.as_ref().map(|leader| LeaderStatus {
            token: leader.token.clone(),
            lease_version: self.leadership.lease_version(),
            summary: self.own_summary().unwrap_or_default(),
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

    /// Takes a message of a peer.
    pub(crate) fn hear_peer(&mut self, now: Instant, peer: &EntryId, message: PeerMessage) {
        match message {
            PeerMessage::Hello(hello) => self.hear_hello(now, peer, hello),
            PeerMessage::AskConfig => {
                let config = Box::new(self.config.current().clone());
                self.tell(peer, PeerMessage::Config(config));
            }
            PeerMessage::Config(config) => {
                let outputs = self.config.on_config(*config);
                self.config_outputs(now, outputs);
            }
            PeerMessage::Demand(report) => self.answer_demand(now, peer, &report),
            PeerMessage::Grant(grant) => self.actions.push(DomainAction::Grant(grant)),
            PeerMessage::Call(id, call) => {
                self.client_call(now, ReplyTo::Peer(peer.clone(), id), call);
            }
            PeerMessage::Answer(id, answer) => self.hear_answer(peer, id, answer),
            PeerMessage::Records { token, seq, whole, records } => {
                self.hear_records(peer, token, seq, whole, records);
            }
            PeerMessage::AskRecords => self.send_all_records(peer),
            PeerMessage::AskHold { domain, epoch, seq } => {
                self.answer_hold(now, peer, &domain, epoch, seq);
            }
            PeerMessage::GrantHold { seq } => self.moves.held(peer, seq),
        }
    }

    fn hear_hello(&mut self, now: Instant, peer: &EntryId, hello: PeerHeartbeat) {
        let own_domain = self.identity.domain.clone();
        let Some(state) = self.peers.peers.get_mut(peer) else {
            return;
        };
        if hello.protocol != PROTOCOL_VERSION {
            if !std::mem::replace(&mut state.incompatible, true) {
                warn!("{peer} speaks protocol {}, this entry {PROTOCOL_VERSION}", hello.protocol);
            }
            return;
        }
        if state.hello.as_ref().is_some_and(|before| before.boot > hello.boot) {
            return;
        }
        state.incompatible = false;
        state.heard = Some(now);
        if let Some(free) = &hello.free_slots {
            state.free_slots.clone_from(free);
        }
        let (revision, leading) = (hello.revision, hello.leading.clone());
        let led = state.hello.as_ref().is_some_and(|before| before.leading.is_some());
        state.hello = Some(hello);
        let near = state.domain == own_domain;
        if near && led && leading.is_none() {
            self.leadership.on_resignation(now);
        }
        let outputs = self.config.on_peer_revision(peer, revision);
        self.config_outputs(now, outputs);
        if let Some(news) = leading.filter(|_| near) {
            let actions = self.leadership.on_leader(now, &news.token, news.lease_version);
            self.leadership_actions(now, actions);
            self.compare_warm(peer, &news);
        }
    }

    fn compare_warm(&mut self, peer: &EntryId, news: &LeaderStatus) {
        let followed = self.leadership.highest() == Some(&news.token) && self.leader.is_none();
        let current = (news.token.clone(), news.warm_seq);
        if followed && self.peers.warm.as_ref() != Some(&current) {
            self.tell(peer, PeerMessage::AskRecords);
        }
    }

    fn hear_records(
        &mut self,
        peer: &EntryId,
        token: FencingToken,
        seq: u64,
        whole: bool,
        records: Vec<LedgerRecord>,
    ) {
        let followed = self.leadership.highest().is_none_or(|highest| *highest <= token);
        if self.leader.is_some() || !followed {
            return;
        }
        let next = match &self.peers.warm {
            Some((from, last)) => *from == token && seq == last + 1,
            None => false,
        };
        if !whole && !next {
            return self.tell(peer, PeerMessage::AskRecords);
        }
        if whole {
            self.warm.clear();
        }
        for record in records {
            match record {
                LedgerRecord::Gone(name) => {
                    self.warm.remove(&name);
                }
                record => {
                    self.warm.insert(record.name(), record);
                }
            }
        }
        self.peers.warm = Some((token, seq));
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
        self.tell(peer, PeerMessage::Records { token, seq, whole: true, records });
    }

    /// Sends changed records to the other entries of the domain.
    pub(crate) fn send_changes(&mut self) {
        let Some(leader) = &self.leader else {
            return;
        };
        let token = leader.token.clone();
        let mut changes = self.journal.take_changes();
        let near = self.identity.domain_entries();
        while !changes.is_empty() {
            let rest = changes.split_off(changes.len().min(RECORD_GROUP));
            let records = std::mem::replace(&mut changes, rest);
            self.peers.warm_seq += 1;
            let seq = self.peers.warm_seq;
            for peer in near.iter().filter(|entry| **entry != self.identity.entry) {
                let (token, records) = (token.clone(), records.clone());
                self.actions.push(DomainAction::Peer(
                    peer.clone(),
                    PeerMessage::Records { token, seq, whole: false, records },
                ));
            }
        }
    }

    fn hear_answer(&mut self, peer: &EntryId, id: CallId, answer: ClientAnswer) {
        if self.moves.asked_about(id) {
            return self.resolve_move(id, &answer);
        }
        let expected = self.peers.calls.get(&id).is_some_and(|handed| handed.leader == *peer);
        if expected {
            self.peers.calls.remove(&id);
            self.reply(&ReplyTo::Client(id), answer);
        }
    }

    fn answer_demand(&mut self, now: Instant, peer: &EntryId, report: &DemandReport) {
        if let Some(grant) = self.grant_shares(now, report) {
            self.tell(peer, PeerMessage::Grant(grant));
        }
    }

    fn grant_shares(
        &mut self,
        now: Instant,
        report: &DemandReport,
    ) -> Option<crate::routing::ShareGrant> {
        let may_act = self.leadership.may_act(now);
        let known = self.fleet.listed();
        let leader = self.leader.as_mut().filter(|leader| leader.active && may_act && known)?;
        leader.shares.report(now, report)
    }

    /// The own router asks for slots.
    pub(crate) fn own_demand(&mut self, now: Instant, report: DemandReport) {
        if self.leader.is_some() {
            if let Some(grant) = self.grant_shares(now, &report) {
                self.actions.push(DomainAction::Grant(grant));
            }
            return;
        }
        let domain = self.identity.domain.clone();
        if let Some(leader) = self.peers.leader_of(now, &domain) {
            self.tell(&leader, PeerMessage::Demand(report));
        }
    }

    /// The process of a peer is surely gone.
    pub(crate) fn peer_gone(&mut self, now: Instant, peer: &EntryId) {
        if let Some(leader) = &mut self.leader {
            leader.shares.forget_entry(peer);
        }
        let own = self.identity.domain.clone();
        if self.peers.leader_of(now, &own).as_ref() == Some(peer) && self.peers.mark_gone(peer) {
            self.leadership.on_leader_gone(now);
        }
    }
}
