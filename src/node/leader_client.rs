//! Calls to the leader of a shard, in this process or in another entry.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::time::{Instant, sleep, timeout};

use crate::graph::{
    GraphId, GraphJob, GraphProgress, GraphRecord, GraphState, QueueId, ShardId, ShardPlan,
};
use crate::node::ledger::JobLedger;
use crate::node::message::{JobAccess, JobSubmission, LeaderAnswer, LeaderCall};
use crate::node::own_leader::ask_own_leader;
use crate::node::peers::{PeerClient, PeerFailure};
use crate::node::records::LeaderRecord;
use crate::node::shared::NodeShared;

/// Name in the log of calls to the leader.
const CALL_LOG_NAME: &str = "calls";
/// Name in the log of reading jobs from the store without the leader.
const STATE_LOG_NAME: &str = "states";
/// Maximum timeout of one try: storing a group takes a few milliseconds, and 240 ms with a slow store.
const TRY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Minimum timeout of one try: with less time it could only end without an answer.
const MIN_TRY_TIMEOUT: Duration = Duration::from_millis(30);
/// Pause before the next try.
const TRY_PAUSE: Duration = Duration::from_millis(40);
/// How long a call that has certainly not arrived waits for a leader while one can be elected: the
/// expiry of the old leader's lease and the takeover take less.
const ELECTION_WAIT: Duration = Duration::from_millis(2_300);
/// How long a call that has certainly not arrived waits while the store does not answer, so that no leader can be
/// elected.
const STORE_DOWN_WAIT: Duration = Duration::from_millis(350);

/// Number of times that a job is looked up in the store while it moves from shard to shard.
const STATE_READ_TRIES: usize = 3;
/// Maximum number of shards that an entry submits a job to: the second and the third fail together only where the store
/// is unavailable, and then all shards do.
const MAX_SHARDS_TRIED: usize = 3;

/// Why a call for the leader has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LeaderCallError {
    /// No leader took the call: it has had no effect and will have none.
    NotTaken,
    /// The call may have been carried out.
    Unknown,
}

/// Result of looking up a job's shard in the store's index.
enum IndexedShard {
    /// This shard has the job.
    Known(ShardId),
    /// No shard has the job.
    None,
    /// The index could not be read.
    Unread,
}

/// Sends calls to the leaders of shards.
pub(crate) struct LeaderClient {
    shared: Arc<NodeShared>,
    peers: PeerClient,
}

impl LeaderClient {
    pub(crate) fn new(shared: Arc<NodeShared>) -> Self {
        Self { shared, peers: PeerClient::new() }
    }

    /// Submits a job to the nearest shard that takes it.
    ///
    /// While other shards can take the job, a shard without a leader, or whose leader does not answer, is tried
    /// only once. The job cannot be accepted twice: the store refuses the second submission.
    pub(crate) async fn submit(
        &self,
        submission: JobSubmission,
        caller_timeout: Duration,
    ) -> Result<LeaderAnswer, LeaderCallError> {
        let started = Instant::now();
        let job = submission.record.spec.id.clone();
        let mut call = LeaderCall::Submit(Box::new(submission));
        let plan = self.shard_plan(caller_timeout).await?;
        let mut shards = VecDeque::from(self.candidate_shards(&plan, &job));
        let mut failure = LeaderCallError::NotTaken;
        let mut rejection = None;
        while let Some(shard) = shards.pop_front() {
            let remaining = caller_timeout.saturating_sub(started.elapsed());
            let last = shards.is_empty();
            let answer = match last {
                true => self.ask(&shard, &call, remaining).await,
                false if remaining < MIN_TRY_TIMEOUT => break,
                false => self.ask_once(&shard, &call, remaining.min(TRY_TIMEOUT)).await,
            };
            match answer {
                Ok(LeaderAnswer::Elsewhere(preferred)) => {
                    shards.retain(|other| *other != preferred);
                    shards.push_front(preferred);
                    shards.push_back(shard);
                    set_forced(&mut call);
                }
                // An earlier try may still be accepted, so the job is not reported as rejected.
                Ok(LeaderAnswer::Rejected(_)) if failure == LeaderCallError::Unknown => break,
                // The store answers this entry, so it may be unavailable only to that leader's machine.
                Ok(LeaderAnswer::Rejected(retry))
                    if !last && !self.shared.store_answer_overdue() =>
                {
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

    /// The shard plan; while it is not known, waits for it as long as a call waits for a leader.
    async fn shard_plan(
        &self,
        caller_timeout: Duration,
    ) -> Result<Arc<ShardPlan>, LeaderCallError> {
        let mut members = self.shared.members.subscribe();
        let known = members.wait_for(|view| view.plan.is_some());
        match timeout(self.leader_wait().min(caller_timeout), known).await {
            Ok(Ok(view)) => view.plan.clone().ok_or(LeaderCallError::NotTaken),
            Ok(Err(_)) | Err(_) => Err(LeaderCallError::NotTaken),
        }
    }

    /// How long a call that has certainly not arrived waits for a leader.
    fn leader_wait(&self) -> Duration {
        match () {
            // This entry is cut off: the call fails at once, so that the caller can go to another entry.
            () if !self.shared.reaches_others() => Duration::ZERO,
            () if self.shared.store_answers_recently() => ELECTION_WAIT,
            () => STORE_DOWN_WAIT,
        }
    }

    /// Shards that may take a job; those with a known leader come first.
    fn candidate_shards(&self, plan: &ShardPlan, job: &GraphId) -> Vec<ShardId> {
        let view = self.shared.members.borrow();
        let mut shards = plan.shard_order(&self.shared.settings.domain, job);
        shards.sort_by_key(|shard| view.leaderless(shard));
        shards.truncate(MAX_SHARDS_TRIED);
        shards
    }

    /// Sends a call about a job to the leader that owns the job.
    ///
    /// Most callers return to the failure domain where they submitted their job, so its shard is asked first. The
    /// store's index is read only where that shard does not have the job or gives no answer.
    pub(crate) async fn ask_owner(
        &self,
        job: &GraphId,
        call: &LeaderCall,
        caller_timeout: Duration,
    ) -> Result<LeaderAnswer, LeaderCallError> {
        let started = Instant::now();
        let plan = self.shard_plan(caller_timeout).await?;
        let nearest = self.nearest_shard(&plan, job);
        if !plan.is_divided() {
            return self
                .ask(&nearest, call, caller_timeout.saturating_sub(started.elapsed()))
                .await;
        }
        let first = self.ask_once(&nearest, call, caller_timeout.min(TRY_TIMEOUT)).await;
        match first {
            Ok(LeaderAnswer::Gone) | Err(_) => {}
            answer => return answer,
        }
        let answer = match self.indexed_shard(job).await {
            IndexedShard::None => return Ok(LeaderAnswer::Gone),
            IndexedShard::Unread => return Err(first.err().unwrap_or(LeaderCallError::NotTaken)),
            IndexedShard::Known(shard) if shard == nearest && first.is_ok() => first,
            IndexedShard::Known(shard) => {
                self.ask(&shard, call, caller_timeout.saturating_sub(started.elapsed())).await
            }
        };
        match (call, answer) {
            // The index has the job, so this leader could not read it, has not taken it over yet, or has been replaced.
            (LeaderCall::State(_), Ok(LeaderAnswer::Gone)) => Err(LeaderCallError::NotTaken),
            // A job that has ended has nothing to cancel.
            (LeaderCall::Cancel(access), Ok(LeaderAnswer::Gone))
                if !self.is_over_or_gone(access).await =>
            {
                Err(LeaderCallError::NotTaken)
            }
            (_, answer) => answer,
        }
    }

    /// Whether the store shows that a job has ended or does not exist.
    async fn is_over_or_gone(&self, access: &JobAccess) -> bool {
        matches!(
            self.stored_state(access).await,
            Some(
                LeaderAnswer::Gone
                    | LeaderAnswer::State(
                        GraphState::Completed | GraphState::Failed | GraphState::Cancelled
                    )
            )
        )
    }

    /// The shard that most likely has a job that callers of this entry ask about.
    fn nearest_shard(&self, plan: &ShardPlan, job: &GraphId) -> ShardId {
        let shards = plan.shard_order(&self.shared.settings.domain, job);
        shards.into_iter().next().unwrap_or_else(|| ShardId::from(""))
    }

    /// Reads the shard of a job from the store's index.
    async fn indexed_shard(&self, job: &GraphId) -> IndexedShard {
        let read = JobLedger::shard_of(&self.shared.store, job).await;
        self.shared.dependencies.store.tried(STATE_LOG_NAME, &read);
        match read {
            Ok(Some(shard)) => IndexedShard::Known(shard),
            Ok(None) => IndexedShard::None,
            Err(_) => IndexedShard::Unread,
        }
    }

    /// Counts the waiting jobs of a queue over all shards; `None` if a shard cannot be asked or the shard plan is
    /// not known.
    pub(crate) async fn pending(&self, queue: &QueueId, caller_timeout: Duration) -> Option<usize> {
        let started = Instant::now();
        let shards = self.shard_plan(caller_timeout).await.ok()?.shards();
        let remaining = caller_timeout.saturating_sub(started.elapsed());
        let call = LeaderCall::Pending(queue.clone());
        let calls = shards.iter().map(|shard| self.ask(shard, &call, remaining));
        let answers = futures_util::future::join_all(calls).await;
        let counts = shards.iter().zip(&answers).map(|(shard, answer)| match answer {
            Ok(LeaderAnswer::Pending(pending)) => format!("{shard}: {pending}"),
            answer => format!("{shard}: {answer:?}"),
        });
        let counts = counts.collect::<Vec<_>>().join(", ");
        let pending_counts = answers.into_iter().map(|answer| match answer {
            Ok(LeaderAnswer::Pending(pending)) => Some(pending),
            _ => None,
        });
        let pending: Option<usize> = pending_counts.sum();
        info!(queue = &**queue, pending:?, shards = shards.len(), counts; "waiting jobs of all shards counted");
        pending
    }

    /// Makes one try.
    async fn ask_once(
        &self,
        shard: &ShardId,
        call: &LeaderCall,
        try_timeout: Duration,
    ) -> Result<LeaderAnswer, LeaderCallError> {
        match self.try_once(shard, call, try_timeout).await {
            Ok(LeaderAnswer::NotLeading) | Err(PeerFailure::NotSent) => {
                Err(LeaderCallError::NotTaken)
            }
            Err(PeerFailure::NoAnswer) => Err(LeaderCallError::Unknown),
            Ok(answer) => Ok(answer),
        }
    }

    /// Sends a call to a shard's current leader and retries until `caller_timeout` is over. All calls may be repeated:
    /// a submission that was rejected once stays rejected, even if an earlier try of it arrives late.
    async fn ask(
        &self,
        shard: &ShardId,
        call: &LeaderCall,
        caller_timeout: Duration,
    ) -> Result<LeaderAnswer, LeaderCallError> {
        let started = Instant::now();
        let mut failure = LeaderCallError::NotTaken;
        loop {
            let remaining = caller_timeout.saturating_sub(started.elapsed());
            if remaining < MIN_TRY_TIMEOUT {
                return Err(failure);
            }
            match self.ask_once(shard, call, remaining.min(TRY_TIMEOUT)).await {
                Ok(answer) => return Ok(answer),
                Err(LeaderCallError::NotTaken) => {}
                Err(LeaderCallError::Unknown) => failure = LeaderCallError::Unknown,
            }
            let limit = match failure {
                LeaderCallError::NotTaken => self.leader_wait().min(caller_timeout),
                LeaderCallError::Unknown => caller_timeout,
            };
            if started.elapsed() + TRY_PAUSE >= limit {
                return Err(failure);
            }
            sleep(TRY_PAUSE).await;
        }
    }

    async fn try_once(
        &self,
        shard: &ShardId,
        call: &LeaderCall,
        try_timeout: Duration,
    ) -> Result<LeaderAnswer, PeerFailure> {
        if self.shared.leading(shard).is_some() {
            let answer =
                timeout(try_timeout, ask_own_leader(&self.shared, shard, call.clone())).await;
            return match answer {
                Ok(Some(answer)) => Ok(answer),
                Ok(None) | Err(_) => Err(PeerFailure::NoAnswer),
            };
        }
        let leader = self.shared.members.borrow().leader(shard).cloned();
        match leader.filter(|leader| leader.start != self.shared.start) {
            Some(leader) => {
                let answer = self.peers.ask(leader.address, shard, call, try_timeout).await;
                let answer = answer.map(|answer| self.record_leader(shard, answer));
                note_leader_call(&self.shared, CALL_LOG_NAME, &leader, try_timeout, &answer);
                let leads = answer.as_ref().is_ok_and(|answer| *answer != LeaderAnswer::NotLeading);
                if leads && self.is_in_other_domain(&leader) {
                    self.shared.note_peer_answer();
                }
                answer
            }
            None => {
                note_no_leader(&self.shared, CALL_LOG_NAME);
                Err(PeerFailure::NotSent)
            }
        }
    }

    /// Whether a leader is in another failure domain. An answer from a leader in this entry's own domain does not
    /// prove that the domain is not cut off.
    fn is_in_other_domain(&self, leader: &LeaderRecord) -> bool {
        let view = self.shared.members.borrow();
        let record = view.entries.get(&leader.entry);
        record.is_some_and(|record| record.domain != self.shared.settings.domain)
    }

    /// Records the leader named by an entry that does not lead itself, unless one of a later epoch is known.
    fn record_leader(&self, shard: &ShardId, answer: LeaderAnswer) -> LeaderAnswer {
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

    /// Reads a job's state from the store, for when the leader cannot be reached; `None` if the store cannot be read
    /// or the shard plan is not known.
    pub(crate) async fn stored_state(&self, access: &JobAccess) -> Option<LeaderAnswer> {
        let id = access.job();
        let plan = self.shared.members.borrow().plan.clone()?;
        if !plan.is_divided() {
            let stored = self.stored_job(&self.nearest_shard(&plan, id), id).await?;
            return Some(stored.map_or(LeaderAnswer::Gone, |job| state_answer(&job, access)));
        }
        // A job that moves between the reads is found by the next ones.
        for _ in 0..STATE_READ_TRIES {
            let shard = match self.indexed_shard(id).await {
                IndexedShard::Known(shard) => shard,
                IndexedShard::None => return Some(LeaderAnswer::Gone),
                IndexedShard::Unread => return None,
            };
            let stored = self.stored_job(&shard, id).await?.filter(|job| !job.has_moved());
            let stored = match stored {
                Some(job) => Some(job),
                None => self.moved_job(&shard, id).await?,
            };
            if let Some(job) = stored {
                return Some(state_answer(&job, access));
            }
        }
        Some(LeaderAnswer::Gone)
    }

    /// Reads a job of a shard; the outer value is `None` if the store cannot be read.
    async fn stored_job(&self, shard: &ShardId, id: &GraphId) -> Option<Option<GraphJob>> {
        let read = JobLedger::job(&self.shared.store, shard, id).await;
        let read = read.map_err(|error| format!("job {id}: {error}"));
        self.shared.dependencies.store.tried(STATE_LOG_NAME, &read);
        Some(read.ok()?.map(|(record, progress)| restored(record, progress)))
    }

    /// Reads a job that is on its way to a shard; the outer value is `None` if the store cannot be read.
    async fn moved_job(&self, shard: &ShardId, id: &GraphId) -> Option<Option<GraphJob>> {
        let read = JobLedger::moved_job(&self.shared.store, shard, id).await;
        self.shared.dependencies.store.tried(STATE_LOG_NAME, &read);
        Some(read.ok()?.map(|moved| restored(moved.record, moved.progress)))
    }
}

fn restored(record: GraphRecord, progress: GraphProgress) -> GraphJob {
    GraphJob::restored(record, progress, Instant::now(), Duration::ZERO)
}

/// What a caller is told about a stored job.
fn state_answer(job: &GraphJob, access: &JobAccess) -> LeaderAnswer {
    match job.is_visible_to(access.workspace()) {
        true => LeaderAnswer::State(job.state()),
        false => LeaderAnswer::Gone,
    }
}

/// Makes the next leader accept a submission even if another shard suits the job better.
fn set_forced(call: &mut LeaderCall) {
    if let LeaderCall::Submit(submission) = call {
        submission.forced = true;
    }
}

/// Records the result of a loop's call to the leader.
pub(crate) fn note_leader_call(
    shared: &NodeShared,
    log_name: &str,
    leader: &LeaderRecord,
    try_timeout: Duration,
    answer: &Result<LeaderAnswer, PeerFailure>,
) {
    let entry = &leader.entry;
    let result = match answer {
        Ok(LeaderAnswer::NotLeading) => Err(format!("{entry} does not lead")),
        Ok(_) => Ok(()),
        Err(PeerFailure::NotSent) => Err(format!("{entry} was not reached")),
        Err(PeerFailure::NoAnswer) => Err(format!("{entry} did not answer in {try_timeout:?}")),
    };
    shared.dependencies.leader.tried(log_name, &result);
}

/// Records that a loop has no leader to call.
pub(crate) fn note_no_leader(shared: &NodeShared, log_name: &str) {
    shared.dependencies.leader.tried(log_name, &Err::<(), _>("no other entry leads"));
}
