//! Checks of what must hold, made wherever state changes.

use std::sync::atomic::{AtomicU64, Ordering};

use log::error;

static BROKEN: AtomicU64 = AtomicU64::new(0);

/// Checks that `holding` is true and hands it back, so that the caller can stop the action.
///
/// In tests a broken invariant panics; in a running process it is logged and counted.
pub(crate) fn holds(holding: bool, name: &'static str, detail: impl FnOnce() -> String) -> bool {
    if !holding {
        let detail = detail();
        BROKEN.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("kelplink_invariant_broken_total", "invariant" => name).increment(1);
        error!("invariant broken: {name}: {detail}");
        if cfg!(debug_assertions) {
            panic!("invariant broken: {name}: {detail}");
        }
    }
    holding
}

/// Number of broken invariants seen since the process started.
pub fn broken_invariants() -> u64 {
    BROKEN.load(Ordering::Relaxed)
}
