//! Timeout of the calls that read a long range page by page.

use std::time::Duration;

use crate::node::keys::StoreError;
use crate::platform::PAGE_TIMEOUT;

/// Longest timeout, reached with the third try: a megabyte takes four seconds over a link of 2 Mbit/s.
const MAX_PAGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of the next page, which doubles with each one that was not answered: with a fixed timeout a leader on a narrow
/// link never finished reading.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PageTimeout {
    timeout: Duration,
}

impl PageTimeout {
    pub(crate) fn new() -> Self {
        Self { timeout: PAGE_TIMEOUT }
    }

    /// Timeout of the next call.
    pub(crate) fn current(self) -> Duration {
        self.timeout
    }

    /// Records that a call has failed. A refusal does not tell that the link is slow.
    pub(crate) fn note_failure(&mut self, failure: &StoreError) {
        if let StoreError::Unknown(_) = failure {
            self.timeout = (self.timeout * 2).min(MAX_PAGE_TIMEOUT);
        }
    }
}
