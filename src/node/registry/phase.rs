//! What the loop that follows the registrations asks the store for next.

use std::collections::BTreeSet;

use tokio::time::Instant;

use crate::id::WorkerId;
use crate::node::keys::StoreError;
use crate::node::page_timeout::PageTimeout;

/// Watches in a row without an answer after which the registrations are read anew.
const MAX_UNANSWERED_WATCHES: u32 = 2;

/// A read of all registrations. It continues with the next page after a call that was not answered.
#[derive(Debug)]
pub(super) struct RegistryRead {
    pub(super) started: Instant,
    /// Revision of the first page and when it was answered. The watch starts at this revision, so it repeats changes
    /// made while later pages are read.
    pub(super) first: Option<(u64, Instant)>,
    pub(super) last_key: String,
    pub(super) page_timeout: PageTimeout,
    pub(super) pages: u32,
    pub(super) registered: BTreeSet<WorkerId>,
}

impl RegistryRead {
    pub(super) fn new() -> Self {
        Self {
            started: Instant::now(),
            first: None,
            last_key: String::new(),
            page_timeout: PageTimeout::new(),
            pages: 0,
            registered: BTreeSet::new(),
        }
    }
}

/// What the next call to the store is for.
#[derive(Debug)]
pub(super) enum RegistryPhase {
    Reading(RegistryRead),
    /// Watch for changes.
    Following(RegistryWatch),
}

/// A watch of changes after a revision.
#[derive(Debug)]
pub(super) struct RegistryWatch {
    pub(super) revision: u64,
    /// Number of calls in a row without an answer.
    pub(super) unanswered: u32,
}

impl RegistryPhase {
    pub(super) fn reading() -> Self {
        Self::Reading(RegistryRead::new())
    }

    pub(super) fn following(revision: u64) -> Self {
        Self::Following(RegistryWatch { revision, unanswered: 0 })
    }

    /// The phase after a call that has failed. An answer to a watch may be too large for the link, where many workers
    /// have changed: a read brings them page by page.
    pub(super) fn after_failure(self, failure: &StoreError) -> Self {
        match (self, failure) {
            (Self::Reading(mut read), _) => {
                read.page_timeout.note_failure(failure);
                Self::Reading(read)
            }
            (Self::Following(watch), StoreError::Unknown(_)) => match watch.unanswered + 1 {
                MAX_UNANSWERED_WATCHES => Self::reading(),
                unanswered => Self::Following(RegistryWatch { unanswered, ..watch }),
            },
            (following, StoreError::NotDone(_) | StoreError::Invalid(_)) => following,
        }
    }
}
