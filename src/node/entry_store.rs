//! The store as the loops of an entry use it, with counts of the calls.

use std::time::Duration;

use crate::node::keys::{
    KeyItem, KeyPage, KeyTransaction, LeaseId, StoreError, TransactionOutcome, WatchOutcome,
};
use crate::node::simulated_store::SimulatedClient;
use crate::platform::{PAGE_TIMEOUT, PlatformStore};

type Result<T> = std::result::Result<T, StoreError>;

/// Kind of a call to the store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum StoreCallKind {
    /// Read of a key or of a page of keys.
    Read,
    /// Wait for changes.
    Watch,
    /// Transaction, or creation or end of a lease.
    Write,
    /// Renewal of a lease.
    Renewal,
}

impl StoreCallKind {
    fn label(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Watch => "watch",
            Self::Write => "write",
            Self::Renewal => "renewal",
        }
    }
}

/// The store of the platform, or a simulated one.
#[derive(Clone, Debug)]
pub(crate) enum EntryStore {
    Platform(Box<PlatformStore>),
    Simulated(SimulatedClient),
}

impl EntryStore {
    /// Reads a key. Returns `None` if it does not exist.
    pub(crate) async fn get(&self, key: &str) -> Result<Option<KeyItem>> {
        let result = match self {
            Self::Platform(store) => store.get(key).await,
            Self::Simulated(client) => client.get(key).await,
        };
        counted(StoreCallKind::Read, result)
    }

    /// Reads a page of the keys that begin with a prefix and sort after a key.
    pub(crate) async fn page(&self, prefix: &str, after: &str) -> Result<KeyPage> {
        self.page_within(prefix, after, PAGE_TIMEOUT).await
    }

    /// Does the same as [`Self::page`], with another timeout.
    pub(crate) async fn page_within(
        &self,
        prefix: &str,
        after: &str,
        timeout: Duration,
    ) -> Result<KeyPage> {
        let result = match self {
            Self::Platform(store) => store.page_within(prefix, after, timeout).await,
            Self::Simulated(client) => client.page_within(prefix, after, timeout).await,
        };
        counted(StoreCallKind::Read, result)
    }

    /// Waits for changes after a revision to keys that begin with a prefix.
    pub(crate) async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchOutcome> {
        let result = match self {
            Self::Platform(store) => store.watch(prefix, after, wait).await,
            Self::Simulated(client) => client.watch(prefix, after, wait).await,
        };
        counted(StoreCallKind::Watch, result)
    }

    /// Applies a transaction: all its changes if all its conditions hold, otherwise none.
    pub(crate) async fn transact(
        &self,
        transaction: &KeyTransaction,
    ) -> Result<TransactionOutcome> {
        let result = match self {
            Self::Platform(store) => store.transact(transaction).await,
            Self::Simulated(client) => client.transact(transaction).await,
        };
        counted(StoreCallKind::Write, result)
    }

    /// Creates a lease.
    pub(crate) async fn create_lease(&self, ttl: Duration) -> Result<LeaseId> {
        let result = match self {
            Self::Platform(store) => store.create_lease(ttl).await,
            Self::Simulated(client) => client.create_lease(ttl).await,
        };
        counted(StoreCallKind::Write, result)
    }

    /// Renews a lease. Returns whether it still existed.
    pub(crate) async fn renew_lease(&self, lease: LeaseId) -> Result<bool> {
        let result = match self {
            Self::Platform(store) => store.renew_lease(lease).await,
            Self::Simulated(client) => client.renew_lease(lease).await,
        };
        counted(StoreCallKind::Renewal, result)
    }

    /// Ends a lease and removes its keys.
    pub(crate) async fn end_lease(&self, lease: LeaseId) -> Result<()> {
        let result = match self {
            Self::Platform(store) => store.end_lease(lease).await,
            Self::Simulated(client) => client.end_lease(lease).await,
        };
        counted(StoreCallKind::Write, result)
    }
}

/// Counts a call by its kind and outcome.
fn counted<T>(kind: StoreCallKind, result: Result<T>) -> Result<T> {
    let outcome = match &result {
        Ok(_) => "answered",
        Err(StoreError::NotDone(_)) => "refused",
        Err(StoreError::Invalid(_)) => "invalid",
        Err(StoreError::Unknown(_)) => "unanswered",
    };
    metrics::counter!("kelplink_store_calls_total", "kind" => kind.label(), "outcome" => outcome)
        .increment(1);
    result
}
