//! Messages in transit in the simulated cluster, and the faults that may affect them.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use kelplink::*;
use tokio::time::Instant;

/// Probabilities of message faults, in thousandths.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MessageFaults {
    /// Calls that do not arrive.
    pub(crate) lost: u32,
    /// Answers that do not arrive.
    pub(crate) unanswered: u32,
    /// Commands that are carried out seconds later and not answered.
    pub(crate) late: u32,
}

impl MessageFaults {
    pub(super) fn none(&self) -> bool {
        self.lost == 0 && self.unanswered == 0 && self.late == 0
    }
}

/// Faults of the next calls, independent of [`MessageFaults`].
#[derive(Debug, Default)]
pub(crate) struct PlannedFaults {
    /// Delays of the next polls of these workers that extend leases: they are not answered, and carried out late.
    pub(crate) polls: BTreeMap<WorkerId, Duration>,
    /// The same for the next polls that also acknowledge ends.
    pub(crate) acknowledging_polls: BTreeMap<WorkerId, Duration>,
    /// Delays of the next starts, which are not answered; `None` for a start that does not arrive.
    pub(crate) starts: VecDeque<Option<Duration>>,
    /// Number of upcoming stops that do not arrive.
    pub(crate) stops_to_lose: u32,
}

/// A message in transit between leaders, workers and the store, or a scheduled event of a worker.
#[derive(Clone, Debug)]
pub(super) enum Message {
    Poll {
        epoch: LeaderEpoch,
        worker: WorkerId,
        until: Option<Duration>,
        acked: u64,
        fence: FenceOffset,
        wait: Duration,
    },
    CheckPoll {
        leader: LeaderEpoch,
        worker: WorkerId,
        /// Worker instance that received the poll.
        instance_start: InstanceStart,
        acked: u64,
        fence: FenceOffset,
        until: Instant,
    },
    Start {
        epoch: LeaderEpoch,
        command: StartCommand,
        sent: Instant,
        answered: bool,
    },
    Stop {
        token: FenceToken,
        leader: LeaderEpoch,
        instance: InstanceId,
        task: TaskName,
        run: RunNumber,
        answered: bool,
    },
    Commit {
        epoch: LeaderEpoch,
        group: CommitGroup,
    },
    Stored {
        leader: LeaderEpoch,
        number: GroupNumber,
        taken: Vec<TakenName>,
    },
    Quota {
        leader: LeaderEpoch,
        call: CallId,
        outcome: StoreOutcome,
    },
    Notice {
        leader: LeaderEpoch,
        kind: NoticeKind,
        job: GraphId,
    },
    Polled {
        leader: LeaderEpoch,
        worker: WorkerId,
        result: PollResult,
    },
    Started {
        leader: LeaderEpoch,
        instance: InstanceId,
        task: TaskName,
        run: RunNumber,
        result: CommandResult,
    },
    Stopped {
        leader: LeaderEpoch,
        instance: InstanceId,
        task: TaskName,
        run: RunNumber,
        result: CommandResult,
    },
    /// A job on its way to the leader's shard, as a read or a watch of its notice shows it.
    Moved {
        leader: LeaderEpoch,
        revision: u64,
        moved: Box<MovedJob>,
    },
    Advised {
        leader: LeaderEpoch,
        call: AdviceCall,
    },
    /// A task crashes its worker.
    Crash {
        worker: WorkerId,
        task: TaskName,
    },
    /// The registration of a worker that is down expires.
    RegistrationExpired {
        worker: WorkerId,
    },
    /// A crashed worker comes back under another id.
    Replacement {
        worker: WorkerId,
    },
    /// A crashed worker restarts under its id.
    Restart {
        worker: WorkerId,
    },
    /// A poll that its worker carries out late and does not answer, by the instance that is there by then.
    LatePoll {
        token: FenceToken,
        worker: WorkerId,
        until: Duration,
        acked: u64,
    },
    /// A command that is carried out late, by the instance that is there by then.
    LateCommand {
        worker: WorkerId,
        instance_start: InstanceStart,
        command: Box<Message>,
    },
    /// A worker renews its registration.
    Heartbeat {
        worker: WorkerId,
    },
    /// A worker that has announced it leaves.
    Departure {
        worker: WorkerId,
    },
}
