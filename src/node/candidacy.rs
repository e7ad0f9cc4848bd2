//! This process as leader of one shard, or as candidate for it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::graph::{LeaderEpoch, ShardId, next_epoch};
use crate::node::input::LeaderInput;
use crate::node::leader::LeaderLoop;
use crate::node::records::{EarlierLeader, LeaderProcess, LeaderTerm, unknown_leader};
use crate::node::shared::NodeShared;
use crate::node::view::MemberView;
use crate::ring::{RingSender, ring};

/// Delay between consecutive ranks: each entry campaigns this much later than the one ranked before it.
const RANK_PAUSE: Duration = Duration::from_millis(60);
/// Number of ranks with this delay between them.
const RANKED_ENTRIES: u32 = 20;
/// Time over which all later ranks are spread, however many there are: entries that campaign together each send a
/// transaction, of which one succeeds.
const LATE_RANK_SPREAD: Duration = Duration::from_millis(1_200);
/// Delay of the other failure domains while no entry of the shard's own domain is registered. The domain is then cut
/// off, for 5 to 7 s on users' deployments, and its leader resumes with its state in memory once it is reachable again.
const CUT_OFF_PAUSE: Duration = Duration::from_millis(7_000);
/// Delay of weak machines while a strong one that was seen before is not registered. Entries that all restart, or whose
/// registrations have expired, register within a second of each other, and a weak machine needs many seconds to read
/// the jobs.
pub(crate) const STRONG_MACHINE_PAUSE: Duration = Duration::from_millis(1_500);
/// Interval between tries to remove the record of earlier leaders.
const FORGET_INTERVAL: Duration = Duration::from_secs(1);
/// Capacity of the input ring of the leader loop.
const LEADER_RING_SIZE: usize = 8_192;

/// A running leader loop of this process.
struct Leadership {
    epoch: LeaderEpoch,
    /// Whether the lease of the leader key has ended.
    lease_ended: bool,
    /// Whether a transaction that ends the term got no answer: the leader key may be gone although the lease is valid.
    in_doubt: bool,
    input: RingSender<LeaderInput>,
    task: JoinHandle<()>,
}

/// State of this process's candidacy for a shard according to the store.
pub(crate) enum CandidacyState {
    /// The store agrees with the local state.
    Unchanged,
    /// Another entry leads.
    Superseded,
    /// This process won an election whose answer was lost.
    Won(LeaderTerm),
    /// The leader loop has ended by itself.
    LoopEnded,
    /// The term has ended here, but its leader key still exists.
    KeyLeft,
}

/// Entries that may campaign first while this one waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AwaitedEntry {
    /// Entries of a failure domain that is cut off.
    OfDomain,
    /// A strong machine, while none is registered.
    Strong,
    /// Entries that rank before this one.
    Ranked,
}

/// Leadership or candidacy of this process in one shard.
pub(crate) struct Candidacy {
    pub(crate) shard: ShardId,
    /// Since when this process may campaign, and which entries it waits for.
    waiting: Option<(Instant, AwaitedEntry)>,
    shared: Arc<NodeShared>,
    leadership: Option<Leadership>,
    /// Latest epoch that this process has led under; it never begins a term of this or an earlier epoch.
    last_epoch: LeaderEpoch,
    led_since: Option<Instant>,
    /// Leader of the previous term.
    predecessor: Option<LeaderProcess>,
    /// All leaders before this term that may still run.
    earlier: BTreeSet<EarlierLeader>,
    /// Time before which this process does not try again to remove the record of earlier leaders.
    forget_from: Option<Instant>,
    /// Revision of the latest registration that this entry knew when it campaigned for the current term or received it.
    latest_registration: u64,
    /// Time before which this process passes the shard to no stronger entry.
    transfer_from: Option<Instant>,
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
            earlier: BTreeSet::new(),
            forget_from: None,
            latest_registration: 0,
            transfer_from: None,
        }
    }

    pub(crate) fn leads(&self) -> bool {
        self.leadership.is_some()
    }

    /// Whether this process has led for longer than `time`.
    pub(crate) fn leads_for(&self, time: Duration) -> bool {
        self.leads() && self.led_since.is_some_and(|since| since.elapsed() > time)
    }

    /// Whether this process has led under `epoch` or a later one.
    pub(crate) fn has_led(&self, epoch: LeaderEpoch) -> bool {
        self.last_epoch >= epoch
    }

    /// The epoch this process leads under.
    pub(crate) fn epoch(&self) -> Option<LeaderEpoch> {
        self.leadership.as_ref().map(|leadership| leadership.epoch)
    }

    /// Records which registrations this entry knows as it campaigns for a term or receives one. Leadership passes only to
    /// entries that register later: a strong one that was known could have campaigned first, or had stepped down as too
    /// slow.
    pub(crate) fn note_registrations(&mut self, view: &MemberView) {
        if !self.leads() {
            let revisions = view.entries.values().map(|record| record.revision);
            self.latest_registration = revisions.max().unwrap_or(0);
        }
    }

    /// Revision of the latest registration that was known before the term.
    pub(crate) fn latest_registration(&self) -> u64 {
        self.latest_registration
    }

    /// Address of the process that led the previous term, if it is still registered.
    pub(crate) fn predecessor_address(&self, view: &MemberView) -> Option<SocketAddr> {
        let (entry, start) = self.predecessor.as_ref()?;
        let record = view.entries.get(entry).filter(|record| record.start == *start)?;
        Some(record.address)
    }

    /// The epoch this process leads under, if the term may be passed to a stronger entry now.
    pub(crate) fn transferable_epoch(&self, now: Instant) -> Option<LeaderEpoch> {
        let is_due = self.transfer_from.is_none_or(|from| from <= now);
        let is_certain = |own: &&Leadership| !own.lease_ended && !own.in_doubt;
        let leadership = self.leadership.as_ref().filter(is_certain).filter(|_| is_due);
        leadership.map(|leadership| leadership.epoch)
    }

    /// Keeps the shard from being passed to a stronger entry for some time.
    pub(crate) fn delay_transfer(&mut self, delay: Duration) {
        self.transfer_from = Some(Instant::now() + delay);
    }

    /// Whether this process has led for longer than any leader before it could continue.
    pub(crate) fn has_outlasted_predecessors(&self) -> bool {
        let bounds = self.shared.settings.bounds;
        self.leads_for(bounds.lease_extension_window + bounds.max_lease)
    }

    /// Whether the record of earlier leaders is to be removed now; false for some time after a try.
    pub(crate) fn forgets_predecessors(&mut self, now: Instant) -> bool {
        let is_due =
            self.has_outlasted_predecessors() && self.forget_from.is_none_or(|from| from <= now);
        if is_due {
            self.forget_from = Some(now + FORGET_INTERVAL);
        }
        is_due
    }

    /// The leader of the previous term, if it may still be running. `None` if its process has ended, or if this process
    /// has led for longer than that leader could continue.
    pub(crate) fn running_predecessor(&self, view: &MemberView) -> Option<LeaderProcess> {
        self.predecessor
            .clone()
            .filter(|_| !self.has_outlasted_predecessors() && !view.has_ended(&self.predecessor))
    }

    /// All leaders before this term that may still be running.
    pub(crate) fn running_earlier(&self, view: &MemberView) -> BTreeSet<EarlierLeader> {
        match self.has_outlasted_predecessors() {
            true => BTreeSet::new(),
            false => view.running(&self.earlier),
        }
    }

    /// Records that a call sent at `sent` renewed or created the lease in the store. A new lease does not extend the
    /// term of a leader elected under the previous one: another may have been elected in between.
    pub(crate) fn note_renewal(&self, sent: Instant) {
        let is_current = |own: &&Leadership| !own.lease_ended && !own.in_doubt;
        if let Some(leadership) = self.leadership.as_ref().filter(is_current) {
            let _ = leadership.input.offer(LeaderInput::Renewed(sent));
        }
    }

    /// Records that the lease in the store has ended.
    pub(crate) fn note_lease_expiry(&mut self) {
        if let Some(leadership) = &mut self.leadership {
            leadership.lease_ended = true;
        }
    }

    /// Whether the term may already have ended in the store.
    pub(crate) fn in_doubt(&self) -> bool {
        self.leadership.as_ref().is_some_and(|leadership| leadership.in_doubt)
    }

    /// Records that a transaction that ends the term got no answer and may still take effect. `expected` is whether the
    /// next leader assumes that this one is still running, which holds for a recorded successor that has not been
    /// notified.
    pub(crate) fn mark_in_doubt(&mut self, expected: bool) {
        if let Some(leadership) = &mut self.leadership {
            warn!(shard = &*self.shard, epoch = leadership.epoch, expected; "the term is in doubt");
            leadership.in_doubt = true;
            let _ = leadership.input.offer(LeaderInput::InDoubt { expected });
        }
    }

    /// Returns the state of this candidacy according to the store. `registered` is whether this entry holds a lease.
    pub(crate) fn store_state(&self, view: &MemberView, registered: bool) -> CandidacyState {
        let shard_view = view.shard(&self.shard);
        let own_record =
            shard_view.leader.as_ref().filter(|leader| leader.start == self.shared.start);
        match (&self.leadership, own_record) {
            (Some(own), None) if shard_view.epoch > own.epoch => {
                warn!(shard = &*self.shard, epoch = own.epoch, later = shard_view.epoch; "another leads");
                CandidacyState::Superseded
            }
            (None, Some(leader))
                if self.shared.handover_inbox.awaits_term(&self.shard, leader.epoch) =>
            {
                CandidacyState::Unchanged
            }
            // The loop may have missed a term of another entry, so it does not continue under this epoch.
            (Some(own), Some(leader))
                if leader.epoch == shard_view.epoch && leader.epoch > next_epoch(own.epoch) =>
            {
                warn!(shard = &*self.shard, epoch = own.epoch, later = leader.epoch; "this entry leads under a later epoch");
                CandidacyState::Superseded
            }
            (_, Some(leader))
                if leader.epoch == shard_view.epoch
                    && leader.epoch > self.last_epoch
                    && registered =>
            {
                // The previous leader is unknown by now, so it is assumed to run for as long as any leader can. It is
                // this process itself where its loop runs.
                let predecessor = Some(unknown_leader());
                let (epoch, epoch_revision) = (leader.epoch, shard_view.epoch_revision);
                let earlier = BTreeSet::new();
                CandidacyState::Won(LeaderTerm { epoch, epoch_revision, predecessor, earlier })
            }
            (None, Some(leader))
                if leader.epoch == shard_view.epoch && leader.epoch <= self.last_epoch =>
            {
                CandidacyState::KeyLeft
            }
            (Some(own), _) if own.task.is_finished() => CandidacyState::LoopEnded,
            _ => CandidacyState::Unchanged,
        }
    }

    /// Resets the waiting time: this process may not campaign now.
    pub(crate) fn reset_turn(&mut self) {
        self.waiting = None;
    }

    /// Returns when this process campaigns if no other entry does so earlier. The wait starts again when the awaited
    /// entries change. When it was counted from the first wait, the waits of the other domains' entries were already
    /// over when a cut-off domain was reachable again, and one of them became the leader of its shard.
    pub(crate) fn campaign_time(&mut self, view: &MemberView) -> Instant {
        let awaited = self.awaited(view);
        let before = self.waiting.filter(|(_, before)| *before == awaited);
        if before.is_none() && awaited != AwaitedEntry::Ranked && !self.leads() {
            info!(shard = &*self.shard, awaited:?; "other entries may campaign first");
        }
        let (since, _) = *self.waiting.insert(before.unwrap_or((Instant::now(), awaited)));
        since + self.pause(view, awaited)
    }

    fn awaited(&self, view: &MemberView) -> AwaitedEntry {
        let name = &self.shared.settings.name;
        match () {
            () if view.is_cut_off(&self.shard) => AwaitedEntry::OfDomain,
            () if view.lacks_strong_machine(name) => AwaitedEntry::Strong,
            () => AwaitedEntry::Ranked,
        }
    }

    /// Returns the delay before this process campaigns: none for the last leader, then by rank.
    fn pause(&self, view: &MemberView, awaited: AwaitedEntry) -> Duration {
        if self.leads() {
            return Duration::ZERO;
        }
        let rank = view.rank(&self.shard, &self.shared.settings.name);
        let campaign_time = rank_pause(rank.before, view.entries.len());
        match awaited {
            AwaitedEntry::OfDomain if rank.in_other_domain => CUT_OFF_PAUSE + campaign_time,
            AwaitedEntry::Strong => STRONG_MACHINE_PAUSE + campaign_time,
            AwaitedEntry::OfDomain | AwaitedEntry::Ranked => campaign_time,
        }
    }

    /// Starts to lead, or continues under a later epoch. `renewed` is when the last successful lease renewal was sent.
    pub(crate) fn begin(&mut self, term: LeaderTerm, renewed: Option<Instant>) {
        let epoch = term.epoch;
        let renewal = LeaderInput::Renewed(renewed.unwrap_or_else(Instant::now));
        self.last_epoch = epoch;
        if let Some(leadership) = &mut self.leadership
            && next_epoch(leadership.epoch) == epoch
            && !leadership.task.is_finished()
        {
            leadership.epoch = epoch;
            leadership.lease_ended = false;
            leadership.in_doubt = false;
            let _ = leadership.input.offer(LeaderInput::Epoch(epoch, term.epoch_revision));
            let _ = leadership.input.offer(renewal);
            return;
        }
        self.led_since = Some(Instant::now());
        self.predecessor = term.predecessor.clone();
        self.earlier = term.earlier.clone();
        let (input, receiver) = ring("leader", LEADER_RING_SIZE);
        let _ = input.offer(renewal);
        let shard = self.shard.clone();
        let leader_loop =
            LeaderLoop::new(self.shared.clone(), shard, term, input.clone(), receiver);
        let task = tokio::spawn(leader_loop.run());
        self.leadership =
            Some(Leadership { epoch, lease_ended: false, in_doubt: false, input, task });
    }

    /// Ends leadership if this process leads.
    pub(crate) async fn end(&mut self) {
        if let Some(leadership) = self.leadership.take() {
            let _ = leadership.input.send(LeaderInput::Resign).await;
            if leadership.task.await.is_err() {
                warn!(shard = &*self.shard; "the leader loop panicked");
            }
        }
    }
}

/// Returns the delay of an entry with `before` entries ranked before it, of `entries` in all.
pub(super) fn rank_pause(before: u32, entries: usize) -> Duration {
    let ranked = RANK_PAUSE * (before.min(RANKED_ENTRIES) + 1);
    let late_rank = before.saturating_sub(RANKED_ENTRIES);
    let late_entries = u32::try_from(entries).unwrap_or(u32::MAX).saturating_sub(RANKED_ENTRIES);
    let spread = f64::from(late_rank.min(late_entries)) / f64::from(late_entries.max(1));
    ranked + LATE_RANK_SPREAD.mul_f64(spread)
}
