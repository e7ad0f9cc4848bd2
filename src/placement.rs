//! Placement of tasks on the workers of a failure domain.

mod estimate;
mod gang;
mod health;
mod pool;
mod queue;
mod scheduler;
mod task;
mod victim;

pub use estimate::EstimateTable;
pub use health::{HealthTable, HealthVerdict};
pub use pool::{PoolWorker, WorkerPool, WorkerSpec};
pub use scheduler::{PlacementAction, TaskScheduler};
pub use task::{LiveTask, RunningTask, StagedTask, StartingTask, StopReason, StoppingTask};
