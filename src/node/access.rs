//! How an entry reaches the leader, whoever it is.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use crate::graph::{GraphJob, GraphState};
use crate::node::ledger::JobLedger;
use crate::node::message::{LeaderAnswer, LeaderCall};
use crate::node::own_leader::ask_here;
use crate::node::peers::{PeerClient, PeerFailure};
use crate::node::records::LeaderRecord;
use crate::node::shared::NodeShared;

/// Name in the log of calls for the leader.
const CALL_DUTY: &str = "calls";
/// Name in the log of reading jobs past the leader.
const STATE_DUTY: &str = "states";
/// Longest time for one try: a group takes some milliseconds, and 240 ms at a slow store.
const TRY_TIME: Duration = Duration::from_millis(1_000);
/// A try that has less time is not made: it could only end without an answer.
const LEAST_TIME: Duration = Duration::from_millis(30);
/// Pause before the next try.
const TRY_PAUSE: Duration = Duration::from_millis(40);
/// How long a call that has surely not arrived waits for a leader while one can be elected: the
/// leader's lease and its takeover take less.
const ELECTION_WAIT: Duration = Duration::from_millis(2_300);
/// How long it waits while the store does not answer, so that nobody can be elected.
const LEADER_WAIT: Duration = Duration::from_millis(350);

/// Why a call for the leader has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AccessFailure {
    /// No leader took it: nothing was done and nothing will be.
    NotTaken,
    /// It may have been carried out.
    Unknown,
}

/// The way to the leader.
pub(crate) struct LeaderAccess {
    shared: Arc<NodeShared>,
    peers: PeerClient,
}

impl LeaderAccess {
    pub(crate) fn new(shared: Arc<NodeShared>) -> Self {
        Self { shared, peers: PeerClient::new() }
    }

    /// Asks the leader, whoever it is by then, until `patience` is over. All calls may be repeated; a
    /// submission that was rejected once stays so, should an earlier try of it arrive late.
    pub(crate) async fn ask(
        &self,
        call: &LeaderCall,
        patience: Duration,
    ) -> Result<LeaderAnswer, AccessFailure> {
        let begun = Instant::now();
        let mut failure = AccessFailure::NotTaken;
        loop {
            let left = patience.saturating_sub(begun.elapsed());
            if left < LEAST_TIME {
                return Err(failure);
            }
            let result = self.try_once(call, left.min(TRY_TIME)).await;
            match result {
                Ok(LeaderAnswer::NotLeading) | Err(PeerFailure::NotSent) => {}
                Ok(answer) => return Ok(answer),
                Err(PeerFailure::NoAnswer) => failure = AccessFailure::Unknown,
            }
            let limit = match failure {
                AccessFailure::NotTaken if self.shared.store_is_heard() => {
                    ELECTION_WAIT.min(patience)
                }
                AccessFailure::NotTaken => LEADER_WAIT.min(patience),
                AccessFailure::Unknown => patience,
            };
            if begun.elapsed() + TRY_PAUSE >= limit {
                return Err(failure);
            }
            sleep(TRY_PAUSE).await;
        }
    }

    async fn try_once(
        &self,
        call: &LeaderCall,
        time: Duration,
    ) -> Result<LeaderAnswer, PeerFailure> {
        if self.shared.leading().is_some() {
            let answer = timeout(time, ask_here(&self.shared, call.clone())).await;
            return match answer {
                Ok(Some(answer)) => Ok(answer),
                Ok(None) | Err(_) => Err(PeerFailure::NoAnswer),
            };
        }
        let leader = self.shared.members.borrow().leader.clone();
        match leader.filter(|leader| leader.start != self.shared.start) {
            Some(leader) => {
                let answer = self.peers.ask(leader.address, call, time).await;
                note_leader(&self.shared, CALL_DUTY, &leader, time, &answer);
                if answer.as_ref().is_ok_and(|answer| *answer != LeaderAnswer::NotLeading) {
                    self.shared.note_peer();
                }
                answer
            }
            None => {
                note_no_leader(&self.shared, CALL_DUTY);
                Err(PeerFailure::NotSent)
            }
        }
    }

    /// A job's state past a leader that cannot be reached, from the store.
    pub(crate) async fn stored_state(&self, id: &str) -> Option<LeaderAnswer> {
        let read = JobLedger::job(&self.shared.store, id).await;
        let read = read.map_err(|error| format!("job {id}: {error}"));
        self.shared.dependencies.store.tried(STATE_DUTY, &read);
        match read {
            Ok(Some((record, progress))) => {
                let job = GraphJob::restored(record, progress, Instant::now(), Duration::ZERO);
                Some(LeaderAnswer::State(GraphState::clone(&job.state())))
            }
            Ok(None) => Some(LeaderAnswer::Gone),
            Err(_) => None,
        }
    }
}

/// Notes how a call of a duty to the leader went.
pub(crate) fn note_leader(
    shared: &NodeShared,
    duty: &str,
    leader: &LeaderRecord,
    time: Duration,
    answer: &Result<LeaderAnswer, PeerFailure>,
) {
    let entry = &leader.entry;
    let tried = match answer {
        Ok(LeaderAnswer::NotLeading) => Err(format!("{entry} does not lead")),
        Ok(_) => Ok(()),
        Err(PeerFailure::NotSent) => Err(format!("{entry} was not reached")),
        Err(PeerFailure::NoAnswer) => Err(format!("{entry} did not answer in {time:?}")),
    };
    shared.dependencies.leader.tried(duty, &tried);
}

/// Notes that a duty has no leader to call.
pub(crate) fn note_no_leader(shared: &NodeShared, duty: &str) {
    shared.dependencies.leader.tried(duty, &Err::<(), _>("no other entry leads"));
}
