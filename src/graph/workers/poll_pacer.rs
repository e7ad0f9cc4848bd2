//! Wait time of long polls, for which a worker holds a poll until a run ends.
//!
//! It adapts to workers that leave one call in seventeen unanswered, polls among them. An end is seen only
//! once the loss of its poll is noticed, which takes the wait time of the poll and a little more.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Wait time of a poll at a worker without runs.
pub(crate) const IDLE_WAIT: Duration = Duration::from_millis(1_200);
/// Wait time of a poll at a worker with runs, where there are few workers. One poll in twenty may be lost,
/// and an end is then seen only after the loss was noticed: with 1.2 s, ends were seen up to 2 s late.
const BUSY_WAIT: Duration = Duration::from_millis(500);
/// Polls per second that a leader sends to notice lost polls; with more workers, each poll waits longer.
const BUSY_POLLS_PER_SECOND: u32 = 80;
/// Minimum wait and polls per second while polls are being lost, so that the next loss is noticed sooner.
const LOSSY_WAIT: Duration = Duration::from_millis(100);
const LOSSY_POLLS_PER_SECOND: u32 = 400;
/// Number of lost polls, at workers that answered the next poll, and the time within which they were lost,
/// from which further losses are expected.
const LOSS_COUNT: usize = 3;
const LOSS_WINDOW: Duration = Duration::from_secs(3);

/// Recently lost polls, and the wait time that follows from them.
#[derive(Debug, Default)]
pub(crate) struct PollPacer {
    /// Times of the last lost polls at workers that answered afterwards.
    lost: VecDeque<Instant>,
}

impl PollPacer {
    /// Notes that a worker answers after a single lost poll.
    pub(crate) fn note_lost(&mut self, now: Instant) {
        self.lost.push_back(now);
        if self.lost.len() > LOSS_COUNT {
            self.lost.pop_front();
        }
    }

    /// Wait time of polls at a worker with runs, among a number of workers.
    pub(crate) fn busy_wait(&self, now: Instant, workers: usize) -> Duration {
        let workers = u32::try_from(workers).unwrap_or(u32::MAX);
        let (polls, min_wait) = match self.is_lossy(now) {
            true => (LOSSY_POLLS_PER_SECOND, LOSSY_WAIT),
            false => (BUSY_POLLS_PER_SECOND, BUSY_WAIT),
        };
        (Duration::from_secs(1) * workers / polls).clamp(min_wait, IDLE_WAIT)
    }

    /// Whether polls are being lost at workers that answer other polls.
    fn is_lossy(&self, now: Instant) -> bool {
        let first = self.lost.front().filter(|_| self.lost.len() == LOSS_COUNT);
        first.is_some_and(|at| now.saturating_duration_since(*at) < LOSS_WINDOW)
    }
}
