//! Jobs that are graphs of steps: the decisions of a leader, without any I/O.

mod admission;
mod controller;
mod event;
mod exchange;
mod placement;
mod sharding;
mod storing;
mod workers;
mod workload;

pub use controller::{GraphBounds, GraphController, RestoredState};
pub use event::{CommandResult, GraphAction, GraphAnswer, PollResult, StartCommand};
pub use exchange::*;
pub use placement::advice::{
    AdviceCall, AdviceId, AdviceKey, AdviceRequest, AdviceTable, StepAdvice,
};
pub use placement::home::UnsettledDomains;
pub use placement::placer::{PassPlan, PassView, PlacementPass, PlannedStart};
pub use placement::preemption::{CapacityReservation, PlannedPreemption, ReservationTable};
pub use sharding::notice::{NoticeKind, ShardNotice};
pub use sharding::shard::{ShardId, ShardPlan, ShardScope};
pub use sharding::share::{ShareRange, TaskShare};
pub use sharding::transfer::{ArrivingJob, DepartingJob, MovedJob};
pub use storing::commit::{
    CommitGroup, CommitQueue, GroupEffect, GroupNumber, NameHolder, TakenName,
};
pub use storing::compaction::CompactedJob;
pub use workers::answer_time::AnswerTimeout;
pub use workers::fences::{EPOCH_STEP, FenceOffset, FenceToken, fence_token, next_epoch};
pub use workers::health::{HealthRank, WorkerHealth};
pub use workers::instances::InstanceTable;
pub use workers::run::{RunPhase, WorkerRun};
pub use workers::run_costs::RunCosts;
pub use workers::send_window::SendWindow;
pub use workers::worker::{InstanceEnd, WorkerInstance};
pub use workload::crash::SuspectRun;
pub use workload::job::{GraphJob, GraphRecord, GraphState, LiveRun};
pub use workload::jobs::JobTable;
pub use workload::name::*;
pub use workload::progress::{GraphProgress, GraphVerdict};
pub use workload::queue::{AdviceRule, PoolRule, QueueConfig, QueueRule, RequestLimits};
pub use workload::spec::{GraphSpec, RepeatRule, StepSpec};
