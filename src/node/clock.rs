//! Clocks of the machine: the boot clock, which includes suspensions, and the Unix time, since 1970.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

use crate::id::UnixMillis;

/// Shortest suspension that is reported; shorter differences are jitter between the two clock readings.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

/// Detects suspensions of the machine by comparing the monotonic clock with the boot clock.
#[derive(Debug)]
pub(crate) struct BootClock {
    steady: Instant,
    boot: Duration,
}

impl BootClock {
    pub(crate) fn new() -> Self {
        Self { steady: Instant::now(), boot: boot_time() }
    }

    /// Returns how long the machine was suspended since the last call, if it was.
    pub(crate) fn suspended(&mut self) -> Option<Duration> {
        let (steady, boot) = (Instant::now(), boot_time());
        let steady_elapsed = steady.saturating_duration_since(self.steady);
        let boot_elapsed = boot.saturating_sub(self.boot);
        (self.steady, self.boot) = (steady, boot);
        boot_elapsed.checked_sub(steady_elapsed).filter(|gap| *gap >= MIN_SUSPENSION)
    }
}

/// Time since the machine was started, or zero if the clock cannot be read, so that no suspension is reported.
fn boot_time() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default()
}

/// Milliseconds since the Unix epoch.
pub(crate) fn unix_millis() -> UnixMillis {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(0)
}
