//! This process as the leader of one shard, or as one that may become it.

use std::sync::Arc;
use std::time::Duration;

use log::warn;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::graph::{LeaderEpoch, ShardId};
use crate::id::EntryId;
use crate::node::input::LeaderInput;
use crate::node::leader::LeaderLoop;
use crate::node::records::{LeaderTerm, unknown_leader};
use crate::node::shared::NodeShared;
use crate::node::view::MemberView;
use crate::ring::{RingSender, ring};

/// Head start of the entry that led last, and of each entry before the next in rank.
const RANK_PAUSE: Duration = Duration::from_millis(60);
/// Entries between which that makes a difference; all others stand together.
const RANKED_ENTRIES: u32 = 20;
/// Head start of a failure domain none of whose entries is registered: it is cut off, for 5 to 7 s on our
/// users' deployments, and its leader goes on with all that it knows when it is back.
const CUT_PAUSE: Duration = Duration::from_millis(7_000);
/// How long a weak machine waits for a strong one that was seen before: entries that all start anew, or whose
/// registrations have lapsed, register within a second of each other, and a weak one needs many to read the jobs.
const STRONG_PAUSE: Duration = Duration::from_millis(1_500);
/// Places in the ring to the leader's duty.
const LEADER_RING: usize = 8_192;

/// This process as the leader.
struct Leadership {
    epoch: LeaderEpoch,
    /// Whether the lease that held the leader's key has ended.
    lapsed: bool,
    /// Whether a change that ends its term was sent and not answered: the lease may stand and the leader's key not.
    in_doubt: bool,
    input: RingSender<LeaderInput>,
    task: JoinHandle<()>,
}

/// What the store says of this process in a shard.
pub(crate) enum CandidacyState {
    /// Nothing that it does not know.
    Unchanged,
    /// Another leads.
    Succeeded,
    /// It was elected by a call without an answer.
    Won(LeaderTerm),
    /// Its duty has ended by itself.
    BrokenOff,
    /// Its term is over here, and its key still stands.
    Abandoned,
}

/// Whom an entry that could stand lets go first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AwaitedEntry {
    /// Those of a failure domain that is cut off.
    OfDomain,
    /// A strong machine, as none is registered.
    Strong,
    /// Those that go before by rank.
    Ranked,
}

/// This process in one shard.
pub(crate) struct Candidacy {
    pub(crate) shard: ShardId,
    /// Since when it could stand, and what for.
    waiting: Option<(Instant, AwaitedEntry)>,
    shared: Arc<NodeShared>,
    leadership: Option<Leadership>,
    /// Latest epoch that this process has led under: it is not led under again.
    last_epoch: LeaderEpoch,
    led_since: Option<Instant>,
    /// Who led before it.
    predecessor: Option<(EntryId, u64)>,
}

impl Candidacy {
    pub(crate) fn new(shared: Arc<NodeShared>, shard: ShardId) -> Self {
        Self {
            shard,
            waiting: None,
            shared,
            leadership: None,
            last_epoch: 0,
            led_since: None,
            predecessor: None,
        }
    }

    pub(crate) fn leads(&self) -> bool {
        self.leadership.is_some()
    }

    /// Whether it has led for longer than a time.
    pub(crate) fn leads_for(&self, time: Duration) -> bool {
        self.leads() && self.led_since.is_some_and(|since| since.elapsed() > time)
    }

    /// Whether it has led under an epoch.
    pub(crate) fn has_led(&self, epoch: LeaderEpoch) -> bool {
        self.last_epoch >= epoch
    }

    /// Epoch that it leads under.
    pub(crate) fn epoch(&self) -> Option<LeaderEpoch> {
        self.leadership.as_ref().map(|leadership| leadership.epoch)
    }

    /// Who may still go on once this process has ended: the leader before it, unless that has ended or this one has
    /// led for longer than that could go on.
    pub(crate) fn still_going(&self, view: &MemberView) -> Option<(EntryId, u64)> {
        let bounds = self.shared.settings.bounds;
        let long = self.leads_for(bounds.lease_extension_window + bounds.longest_lease);
        self.predecessor.clone().filter(|_| !long && !view.has_ended(&self.predecessor))
    }

    /// The lease in the store was renewed, or made, by a call sent then. A new lease says nothing of a leader that was
    /// elected under the one before: another may have been elected in between.
    pub(crate) fn note_renewal(&self, sent: Instant) {
        let sure = |own: &&Leadership| !own.lapsed && !own.in_doubt;
        if let Some(leadership) = self.leadership.as_ref().filter(sure) {
            let _ = leadership.input.offer(LeaderInput::Renewed(sent));
        }
    }

    /// The lease in the store has ended.
    pub(crate) fn note_lease_expiry(&mut self) {
        if let Some(leadership) = &mut self.leadership {
            leadership.lapsed = true;
        }
    }

    /// Whether it is not known if its term has ended.
    pub(crate) fn in_doubt(&self) -> bool {
        self.leadership.as_ref().is_some_and(|leadership| leadership.in_doubt)
    }

    /// A change that ends its term was not answered, and may still be carried out. `expected` tells whether the next leader
    /// reckons with this one going on; it does where it was named and has not been told otherwise.
    pub(crate) fn doubt(&mut self, expected: bool) {
        if let Some(leadership) = &mut self.leadership {
            warn!(shard = &*self.shard, epoch = leadership.epoch, expected; "the term is in doubt");
            leadership.in_doubt = true;
            let _ = leadership.input.offer(LeaderInput::InDoubt { expected });
        }
    }

    /// What the store says of this process; `registered` tells whether it has a lease there.
    pub(crate) fn standing(&self, view: &MemberView, registered: bool) -> CandidacyState {
        let led = view.shard(&self.shard);
        let mine = led.leader.as_ref().filter(|leader| leader.start == self.shared.start);
        match (&self.leadership, mine) {
            (Some(own), None) if led.epoch > own.epoch => {
                warn!(shard = &*self.shard, epoch = own.epoch, later = led.epoch; "another leads");
                CandidacyState::Succeeded
            }
            (None, Some(leader))
                if self.shared.handover_inbox.awaits_term(&self.shard, leader.epoch) =>
            {
                CandidacyState::Unchanged
            }
            (None, Some(leader))
                if leader.epoch == led.epoch && leader.epoch > self.last_epoch && registered =>
            {
                // Who led before is not known any more: it is taken to go on for as long as it may.
                let predecessor = Some(unknown_leader());
                let (epoch, epoch_revision) = (leader.epoch, led.epoch_revision);
                CandidacyState::Won(LeaderTerm { epoch, epoch_revision, predecessor })
            }
            (None, Some(leader))
                if leader.epoch == led.epoch && leader.epoch <= self.last_epoch =>
            {
                CandidacyState::Abandoned
            }
            (Some(own), _) if own.task.is_finished() => CandidacyState::BrokenOff,
            _ => CandidacyState::Unchanged,
        }
    }

    /// It cannot stand now.
    pub(crate) fn rest(&mut self) {
        self.waiting = None;
    }

    /// When it stands, if nobody else does before. Whoever it waited for has its turn first again once it is back:
    /// reckoned from before, the turn of all others had come, and a domain that was back lost its leader.
    pub(crate) fn turn(&mut self, view: &MemberView) -> Instant {
        let awaited = self.awaited(view);
        let before = self.waiting.filter(|(_, before)| *before == awaited);
        let (since, _) = *self.waiting.insert(before.unwrap_or((Instant::now(), awaited)));
        since + self.pause(view, awaited)
    }

    fn awaited(&self, view: &MemberView) -> AwaitedEntry {
        let name = &self.shared.settings.name;
        match () {
            () if view.is_cut_off(&self.shard) => AwaitedEntry::OfDomain,
            () if view.misses_strong(name) => AwaitedEntry::Strong,
            () => AwaitedEntry::Ranked,
        }
    }

    /// How long it waits before it stands: who led last goes first, then by rank.
    fn pause(&self, view: &MemberView, awaited: AwaitedEntry) -> Duration {
        if self.leads() {
            return Duration::ZERO;
        }
        let rank = view.rank(&self.shard, &self.shared.settings.name);
        let turn = RANK_PAUSE * (rank.before.min(RANKED_ENTRIES) + 1);
        match awaited {
            AwaitedEntry::OfDomain if rank.away => CUT_PAUSE + turn,
            AwaitedEntry::Strong => STRONG_PAUSE + turn,
            AwaitedEntry::OfDomain | AwaitedEntry::Ranked => turn,
        }
    }

    /// Leads, or goes on leading under a later epoch; the lease was renewed last by a call sent at `renewed`.
    pub(crate) fn begin(&mut self, term: LeaderTerm, renewed: Option<Instant>) {
        let epoch = term.epoch;
        let renewal = LeaderInput::Renewed(renewed.unwrap_or_else(Instant::now));
        self.last_epoch = epoch;
        if let Some(leadership) = &mut self.leadership
            && leadership.epoch + 1 == epoch
            && !leadership.task.is_finished()
        {
            leadership.epoch = epoch;
            leadership.lapsed = false;
            leadership.in_doubt = false;
            let _ = leadership.input.offer(LeaderInput::Epoch(epoch, term.epoch_revision));
            let _ = leadership.input.offer(renewal);
            return;
        }
        self.led_since = Some(Instant::now());
        self.predecessor = term.predecessor.clone();
        let (input, receiver) = ring("leader", LEADER_RING);
        let _ = input.offer(renewal);
        let shard = self.shard.clone();
        let duty = LeaderLoop::new(self.shared.clone(), shard, term, input.clone(), receiver);
        let task = tokio::spawn(duty.run());
        self.leadership = Some(Leadership { epoch, lapsed: false, in_doubt: false, input, task });
    }

    /// Ends leadership, if there is one.
    pub(crate) async fn end(&mut self) {
        if let Some(leadership) = self.leadership.take() {
            let _ = leadership.input.send(LeaderInput::Resign).await;
            if leadership.task.await.is_err() {
                warn!(shard = &*self.shard; "the leader's duty broke off");
            }
        }
    }
}
