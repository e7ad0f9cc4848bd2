//! Jobs that are graphs of steps: all decisions of a leader, without input or output.

mod advice;
mod changes;
mod commit;
mod controller;
mod event;
mod exchange;
mod health;
mod home;
mod job;
mod jobs;
mod lives;
mod name;
mod placer;
mod preemption;
mod progress;
mod queue;
mod room;
mod spec;
mod worker;

pub use advice::{AdviceCall, AdviceDesk, AdviceId, AdviceKey, AdviceWish, StepAdvice};
pub use commit::{CommitGroup, CommitQueue, GroupEffect, GroupNumber};
pub use controller::{GraphBounds, GraphController, LeaderState};
pub use event::{CommandResult, GraphAction, GraphAnswer, PollResult, StartOrder};
pub use exchange::*;
pub use health::{HealthRank, WorkerHealth};
pub use home::UnsettledDomains;
pub use job::{GraphJob, GraphRecord, GraphState, LiveRun};
pub use jobs::JobTable;
pub use lives::LifeTable;
pub use name::*;
pub use placer::{PassPlan, PassView, PlacementPass, PlannedStart};
pub use preemption::{KeptRoom, PlannedPreemption, RoomKeeper};
pub use progress::{GraphProgress, GraphVerdict};
pub use queue::{AdviceRule, PoolRule, QueueConfig, QueueRule, RequestLimits};
pub use spec::{GraphSpec, RepeatRule, StepSpec};
pub use worker::{RunPhase, WorkerLife, WorkerRun};
