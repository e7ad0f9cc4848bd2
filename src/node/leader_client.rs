//! How an entry reaches the leader, whoever it is.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::time::{Instant, sleep, timeout};

use crate::graph::{GraphId, GraphJob, GraphState, QueueId, ShardId, ShardPlan};
use crate::node::ledger::JobLedger;
use crate::node::message::{JobSubmission, LeaderAnswer, LeaderCall};
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

/// Shards that an entry tries to hand a job to: a second and a third fail together only where the store is
/// away, and then all do.
const MOST_SHARDS_TRIED: usize = 3;

/// Why a call for the leader has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LeaderCallError {
    /// No leader took it: nothing was done and nothing will be.
    NotTaken,
    /// It may have been carried out.
    Unknown,
}

/// What the store's index says of a job.
enum IndexedShard {
    /// This shard has it.
    Known(ShardId),
    /// No shard has it.
    None,
    /// The store does not answer.
    Unread,
}

/// The way to the leader.
pub(crate) struct LeaderClient {
    shared: Arc<NodeShared>,
    peers: PeerClient,
}

impl LeaderClient {
    pub(crate) fn new(shared: Arc<NodeShared>) -> Self {
        Self { shared, peers: PeerClient::new() }
    }

    /// Hands a job to the nearest shard that takes it.
    ///
    /// A shard without a leader, or whose leader does not answer, costs one try where others can take the
    /// job. It cannot be accepted twice: the store refuses the second.
    pub(crate) async fn submit(
        &self,
        submission: JobSubmission,
        caller_timeout: Duration,
    ) -> Result<LeaderAnswer, LeaderCallError> {
        let begun = Instant::now();
        let job = submission.record.spec.id.clone();
        let mut call = LeaderCall::Submit(Box::new(submission));
        let plan = self.division(caller_timeout).await?;
        let mut shards = VecDeque::from(self.shards_for(&plan, &job));
        let mut failure = LeaderCallError::NotTaken;
        let mut rejection = None;
        while let Some(shard) = shards.pop_front() {
            let left = caller_timeout.saturating_sub(begun.elapsed());
            let last = shards.is_empty();
            let answer = match last {
                true => self.ask(&shard, &call, left).await,
                false if left < LEAST_TIME => break,
                false => self.ask_once(&shard, &call, left.min(TRY_TIME)).await,
            };
            match answer {
                Ok(LeaderAnswer::Elsewhere(better)) => {
                    shards.retain(|other| *other != better);
                    shards.push_front(better);
                    shards.push_back(shard);
                    force(&mut call);
                }
                // An earlier try may still be accepted.
                Ok(LeaderAnswer::Rejected(_)) if failure == LeaderCallError::Unknown => break,
                // The store answers here: it may turn away that leader's machine only.
                Ok(LeaderAnswer::Rejected(retry)) if !last && !self.shared.store_is_late() => {
                    rejection = Some(retry);
                }
                Ok(answer) => return Ok(answer),
                Err(LeaderCallError::Unknown) => failure = LeaderCallError::Unknown,
                Err(LeaderCallError::NotTaken) => {}
            }
        }
        match (failure, rejection) {
            (LeaderCallError::NotTaken, Some(retry)) => Ok(LeaderAnswer::Rejected(retry)),
            _ => Err(failure),
        }
    }

    /// The division of the workers; while it is not known, waits for it as long as a call waits for a leader.
    async fn division(&self, caller_timeout: Duration) -> Result<Arc<ShardPlan>, LeaderCallError> {
        let mut members = self.shared.members.subscribe();
        let known = members.wait_for(|view| view.plan.is_some());
        match timeout(self.leader_wait().min(caller_timeout), known).await {
            Ok(Ok(view)) => view.plan.clone().ok_or(LeaderCallError::NotTaken),
            Ok(Err(_)) | Err(_) => Err(LeaderCallError::NotTaken),
        }
    }

    /// How long a call that has surely not arrived waits for a leader.
    fn leader_wait(&self) -> Duration {
        match () {
            // Another entry may serve the caller, who is sent there.
            () if !self.shared.reaches_others() => Duration::ZERO,
            () if self.shared.store_is_heard() => ELECTION_WAIT,
            () => LEADER_WAIT,
        }
    }

    /// Shards that may take a job, those first whose leaders are known.
    fn shards_for(&self, plan: &ShardPlan, job: &GraphId) -> Vec<ShardId> {
        let view = self.shared.members.borrow();
        let mut shards = plan.shard_order(&self.shared.settings.domain, job);
        shards.sort_by_key(|shard| view.leaderless(shard));
        shards.truncate(MOST_SHARDS_TRIED);
        shards
    }

    /// Asks about a job at the leader that has it.
    ///
    /// Most callers come back to the failure domain where they handed their job in, so its shards are asked
    /// first, and the store's index only where they do not know the job.
    pub(crate) async fn ask_owner(
        &self,
        job: &GraphId,
        call: &LeaderCall,
        caller_timeout: Duration,
    ) -> Result<LeaderAnswer, LeaderCallError> {
        let begun = Instant::now();
        let plan = self.division(caller_timeout).await?;
        let near = self.near_shard(&plan, job);
        if !plan.is_divided() {
            return self.ask(&near, call, caller_timeout.saturating_sub(begun.elapsed())).await;
        }
        let first = self.ask_once(&near, call, caller_timeout.min(TRY_TIME)).await;
        match first {
            Ok(LeaderAnswer::Gone) | Err(_) => {}
            answer => return answer,
        }
        let answer = match self.indexed_shard(job).await {
            IndexedShard::None => return Ok(LeaderAnswer::Gone),
            IndexedShard::Unread => return Err(first.err().unwrap_or(LeaderCallError::NotTaken)),
            IndexedShard::Known(shard) if shard == near && first.is_ok() => first,
            IndexedShard::Known(shard) => {
                self.ask(&shard, call, caller_timeout.saturating_sub(begun.elapsed())).await
            }
        };
        match (call, answer) {
            // The store has it: its leader could not read it or has been succeeded. One that is to be cancelled may
            // have ended.
            (LeaderCall::State(_), Ok(LeaderAnswer::Gone)) => Err(LeaderCallError::NotTaken),
            (_, answer) => answer,
        }
    }

    /// The shard that most likely has a job that is asked about here.
    fn near_shard(&self, plan: &ShardPlan, job: &GraphId) -> ShardId {
        let shards = plan.shard_order(&self.shared.settings.domain, job);
        shards.into_iter().next().unwrap_or_else(|| ShardId::from(""))
    }

    /// The shard of a job, by the store's index.
    async fn indexed_shard(&self, job: &GraphId) -> IndexedShard {
        let read = JobLedger::shard_of(&self.shared.store, job).await;
        self.shared.dependencies.store.tried(STATE_DUTY, &read);
        match read {
            Ok(Some(shard)) => IndexedShard::Known(shard),
            Ok(None) => IndexedShard::None,
            Err(_) => IndexedShard::Unread,
        }
    }

    /// Counts the jobs of a queue that wait, over all shards; `None` where one cannot be asked or the division is
    /// not known.
    pub(crate) async fn pending(&self, queue: &QueueId, caller_timeout: Duration) -> Option<usize> {
        let begun = Instant::now();
        let shards = self.division(caller_timeout).await.ok()?.shards();
        let left = caller_timeout.saturating_sub(begun.elapsed());
        let call = LeaderCall::Pending(queue.clone());
        let asked = shards.iter().map(|shard| self.ask(shard, &call, left));
        let answers = futures_util::future::join_all(asked).await;
        let counts = shards.iter().zip(&answers).map(|(shard, answer)| match answer {
            Ok(LeaderAnswer::Pending(pending)) => format!("{shard}: {pending}"),
            answer => format!("{shard}: {answer:?}"),
        });
        let counts = counts.collect::<Vec<_>>().join(", ");
        let counted = answers.into_iter().map(|answer| match answer {
            Ok(LeaderAnswer::Pending(pending)) => Some(pending),
            _ => None,
        });
        let pending: Option<usize> = counted.sum();
        info!(queue = &**queue, pending:?, shards = shards.len(), counts; "waiting jobs told");
        pending
    }

    async fn ask_once(
        &self,
        shard: &ShardId,
        call: &LeaderCall,
        time: Duration,
    ) -> Result<LeaderAnswer, LeaderCallError> {
        match self.try_once(shard, call, time).await {
            Ok(LeaderAnswer::NotLeading) | Err(PeerFailure::NotSent) => {
                Err(LeaderCallError::NotTaken)
            }
            Err(PeerFailure::NoAnswer) => Err(LeaderCallError::Unknown),
            Ok(answer) => Ok(answer),
        }
    }

    /// Asks a shard's leader, whoever it is by then, until `caller_timeout` is over. All calls may be repeated; a
    /// submission that was rejected once stays so, should an earlier try of it arrive late.
    async fn ask(
        &self,
        shard: &ShardId,
        call: &LeaderCall,
        caller_timeout: Duration,
    ) -> Result<LeaderAnswer, LeaderCallError> {
        let begun = Instant::now();
        let mut failure = LeaderCallError::NotTaken;
        loop {
            let left = caller_timeout.saturating_sub(begun.elapsed());
            if left < LEAST_TIME {
                return Err(failure);
            }
            match self.ask_once(shard, call, left.min(TRY_TIME)).await {
                Ok(answer) => return Ok(answer),
                Err(LeaderCallError::NotTaken) => {}
                Err(LeaderCallError::Unknown) => failure = LeaderCallError::Unknown,
            }
            let limit = match failure {
                LeaderCallError::NotTaken => self.leader_wait().min(caller_timeout),
                LeaderCallError::Unknown => caller_timeout,
            };
            if begun.elapsed() + TRY_PAUSE >= limit {
                return Err(failure);
            }
            sleep(TRY_PAUSE).await;
        }
    }

    async fn try_once(
        &self,
        shard: &ShardId,
        call: &LeaderCall,
        time: Duration,
    ) -> Result<LeaderAnswer, PeerFailure> {
        if self.shared.leading(shard).is_some() {
            let answer = timeout(time, ask_here(&self.shared, shard, call.clone())).await;
            return match answer {
                Ok(Some(answer)) => Ok(answer),
                Ok(None) | Err(_) => Err(PeerFailure::NoAnswer),
            };
        }
        let leader = self.shared.members.borrow().leader(shard).cloned();
        match leader.filter(|leader| leader.start != self.shared.start) {
            Some(leader) => {
                let answer = self.peers.ask(leader.address, shard, call, time).await;
                let answer = answer.map(|answer| self.learned(shard, answer));
                note_leader(&self.shared, CALL_DUTY, &leader, time, &answer);
                let led = answer.as_ref().is_ok_and(|answer| *answer != LeaderAnswer::NotLeading);
                if led && self.is_beyond(&leader) {
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

    /// Whether a leader is in another failure domain: the answer of one in this domain does not show that either of them
    /// is not cut off.
    fn is_beyond(&self, leader: &LeaderRecord) -> bool {
        let view = self.shared.members.borrow();
        let record = view.entries.get(&leader.entry);
        record.is_some_and(|record| record.domain != self.shared.settings.domain)
    }

    /// Takes in who leads, where the entry that was asked does not; of two the later epoch counts.
    fn learned(&self, shard: &ShardId, answer: LeaderAnswer) -> LeaderAnswer {
        let LeaderAnswer::LedBy(leader) = answer else {
            return answer;
        };
        self.shared.members.send_if_modified(|view| {
            let known = view.leader(shard).map_or(0, |known| known.epoch);
            let later = leader.epoch > known.max(view.shard(shard).epoch);
            if later {
                view.shards.entry(shard.clone()).or_default().leader = Some(leader);
            }
            later
        });
        LeaderAnswer::NotLeading
    }

    /// A job's state past a leader that cannot be reached, from the store; `None` where the store cannot be read or
    /// the division is not known.
    pub(crate) async fn stored_state(&self, id: &GraphId) -> Option<LeaderAnswer> {
        let plan = self.shared.members.borrow().plan.clone()?;
        let shard = match plan.is_divided() {
            true => match self.indexed_shard(id).await {
                IndexedShard::Known(shard) => shard,
                IndexedShard::None => return Some(LeaderAnswer::Gone),
                IndexedShard::Unread => return None,
            },
            false => self.near_shard(&plan, id),
        };
        let read = JobLedger::job(&self.shared.store, &shard, id).await;
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

/// Has the next leader take a job though another might be better.
fn force(call: &mut LeaderCall) {
    if let LeaderCall::Submit(submission) = call {
        submission.forced = true;
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
