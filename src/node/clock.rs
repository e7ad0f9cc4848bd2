//! The clocks of a machine: the one that goes on while it is suspended, and the time since 1970.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

use crate::id::UnixMillis;

/// Shortest suspension that is reported: below, it is the jitter of two clock readings.
const LEAST_GAP: Duration = Duration::from_millis(50);

/// Finds suspensions by comparing the steady clock with the boot clock.
#[derive(Debug)]
pub(crate) struct BootClock {
    steady: Instant,
    boot: Duration,
}

impl BootClock {
    pub(crate) fn new() -> Self {
        Self { steady: Instant::now(), boot: boot_time() }
    }

    /// Time that the machine was suspended since the last call, if it was.
    pub(crate) fn suspended(&mut self) -> Option<Duration> {
        let (steady, boot) = (Instant::now(), boot_time());
        let counted = steady.saturating_duration_since(self.steady);
        let passed = boot.saturating_sub(self.boot);
        (self.steady, self.boot) = (steady, boot);
        passed.checked_sub(counted).filter(|gap| *gap >= LEAST_GAP)
    }
}

/// Time since the machine was started; zero, and so no suspension, where the clock cannot be read.
fn boot_time() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default()
}

/// Milliseconds since the Unix epoch.
pub(crate) fn unix_millis() -> UnixMillis {
    let passed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(passed.as_millis()).unwrap_or(0)
}
