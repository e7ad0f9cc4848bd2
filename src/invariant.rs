//! Checks of invariants, made where state changes.

use std::sync::atomic::{AtomicU64, Ordering};

use log::error;

static BROKEN_COUNT: AtomicU64 = AtomicU64::new(0);

/// Checks that `condition` is true and returns it, so that the caller can abandon the action.
///
/// A broken invariant is logged and counted; with debug assertions enabled it also panics.
pub(crate) fn check(condition: bool, name: &'static str, detail: impl FnOnce() -> String) -> bool {
    if !condition {
        let detail = detail();
        BROKEN_COUNT.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("kelplink_invariant_broken_total", "invariant" => name).increment(1);
        error!("invariant broken: {name}: {detail}");
        if cfg!(debug_assertions) {
            panic!("invariant broken: {name}: {detail}");
        }
    }
    condition
}

/// Number of broken invariants since the process started.
pub fn broken_invariants() -> u64 {
    BROKEN_COUNT.load(Ordering::Relaxed)
}
