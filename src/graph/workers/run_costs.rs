//! What it costs a deployment to stop a run, to resume it, and to run it away from its data.

use std::time::Duration;

/// Costs of stopped and displaced runs, from the settings of the deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunCosts {
    /// Working time after which a task that checkpoints writes its next checkpoint. It also writes one when it is
    /// stopped.
    pub checkpoint_interval: Duration,
    /// Time to resume a task from its checkpoint.
    pub restore_time: Duration,
    /// How many times as long a task runs on another rack than its data.
    pub remote_rack_factor: f64,
}

impl Default for RunCosts {
    fn default() -> Self {
        Self {
            checkpoint_interval: Duration::from_millis(500),
            restore_time: Duration::from_millis(100),
            remote_rack_factor: 3.0,
        }
    }
}
