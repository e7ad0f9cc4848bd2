//! What is under way in the world, and what may become of it.

use std::collections::VecDeque;
use std::time::Duration;

use kelplink::*;
use tokio::time::Instant;

/// Faults of messages, in thousandths.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MessageFaults {
    /// Calls that do not arrive.
    pub(crate) lost: u32,
    /// Answers that do not arrive.
    pub(crate) unanswered: u32,
    /// Orders that are carried out seconds later and not answered.
    pub(crate) late: u32,
}

impl MessageFaults {
    pub(super) fn none(&self) -> bool {
        self.lost == 0 && self.unanswered == 0 && self.late == 0
    }
}

/// What becomes of the next orders, whatever the faults of messages are.
#[derive(Debug, Default)]
pub(crate) struct PlannedFaults {
    /// How late the next starts are carried out, unanswered; `None` for one that does not arrive.
    pub(crate) starts: VecDeque<Option<Duration>>,
    /// How many of the next stops do not arrive.
    pub(crate) stops_to_lose: u32,
}

/// What is under way between leaders, workers and the store.
#[derive(Clone, Debug)]
pub(super) enum Message {
    Poll {
        epoch: LeaderEpoch,
        worker: WorkerId,
        until: Option<Duration>,
        acked: u64,
        wait: Duration,
    },
    CheckPoll {
        leader: LeaderEpoch,
        worker: WorkerId,
        /// Life that took the poll.
        instance_start: InstanceStart,
        acked: u64,
        until: Instant,
    },
    Start {
        epoch: LeaderEpoch,
        command: StartCommand,
        sent: Instant,
        answered: bool,
    },
    Stop {
        epoch: LeaderEpoch,
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
        taken: Vec<GraphId>,
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
    Advised {
        leader: LeaderEpoch,
        call: AdviceCall,
    },
    /// A worker crashes under a task.
    Crash {
        worker: WorkerId,
        task: TaskName,
    },
    /// The registration of a worker that is down has lapsed.
    RegistrationExpired {
        worker: WorkerId,
    },
    /// A worker that has crashed is back under another id.
    Replacement {
        worker: WorkerId,
    },
    /// A worker that has crashed is back under its id.
    Restart {
        worker: WorkerId,
    },
    /// An order that a worker has taken and carries out late: it goes with the life that took it.
    LateCommand {
        worker: WorkerId,
        instance_start: InstanceStart,
        command: Box<Message>,
    },
    /// A worker says what it has.
    Heartbeat {
        worker: WorkerId,
    },
}
