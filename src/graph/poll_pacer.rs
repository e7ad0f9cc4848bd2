//! How long polls wait at workers for an end.
//!
//! Load it answers: workers that leave one order in seventeen unanswered, polls among them. An end is seen only once
//! the loss of its poll is noticed, which takes the poll's own wait and a little more.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// How long a poll waits for an end at a worker without runs.
pub(crate) const IDLE_WAIT: Duration = Duration::from_millis(1_200);
/// How long a poll waits for an end at a worker with runs, where workers are few. Of the polls one in
/// twenty may be lost, and an end is seen only after that was noticed: with 1.2 s it was seen up to 2 s
/// late.
const BUSY_WAIT: Duration = Duration::from_millis(500);
/// Polls a second that a leader spends on noticing that: with more workers each poll waits longer.
const BUSY_POLLS_PER_SECOND: u32 = 80;
/// The same two where polls are being lost, so that the next lost one is noticed sooner.
const LOSSY_WAIT: Duration = Duration::from_millis(100);
const LOSSY_POLLS_PER_SECOND: u32 = 400;
/// Polls that were lost at workers which answered the next, within a time, from which more are expected.
const LOSS_COUNT: usize = 3;
const LOSS_WINDOW: Duration = Duration::from_secs(3);

/// Polls that were lost of late, and how long the next wait for it.
#[derive(Debug, Default)]
pub(crate) struct PollPacer {
    /// When polls were last found to be lost at workers that answer.
    lost: VecDeque<Instant>,
}

impl PollPacer {
    /// A worker answers after a single poll that it did not.
    pub(crate) fn note_lost(&mut self, now: Instant) {
        self.lost.push_back(now);
        if self.lost.len() > LOSS_COUNT {
            self.lost.pop_front();
        }
    }

    /// How long polls wait at a worker with runs among a number of workers.
    pub(crate) fn busy_wait(&self, now: Instant, workers: usize) -> Duration {
        let workers = u32::try_from(workers).unwrap_or(u32::MAX);
        let (polls, min_wait) = match self.is_lossy(now) {
            true => (LOSSY_POLLS_PER_SECOND, LOSSY_WAIT),
            false => (BUSY_POLLS_PER_SECOND, BUSY_WAIT),
        };
        (Duration::from_secs(1) * workers / polls).clamp(min_wait, IDLE_WAIT)
    }

    /// Whether polls are being lost at workers that answer others.
    fn is_lossy(&self, now: Instant) -> bool {
        let first = self.lost.front().filter(|_| self.lost.len() == LOSS_COUNT);
        first.is_some_and(|at| now.saturating_duration_since(*at) < LOSS_WINDOW)
    }
}
