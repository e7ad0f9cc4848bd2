//! Metrics that nobody scrapes.

use std::cell::Cell;
use std::time::Duration;

use googletest::prelude::*;
use tokio::time::timeout;

use crate::node::metrics_upkeep::keep_metrics;

// Values of histograms were only summarized by a scrape: an entry without one grew by 18 bytes with each request.
#[gtest]
#[tokio::test(start_paused = true)]
async fn histograms_are_summarized_without_a_scrape() {
    let calls = Cell::new(0);
    let upkeep = keep_metrics(|| calls.set(calls.get() + 1));
    let ended = timeout(Duration::from_secs(60), upkeep).await;
    expect_that!(ended, err(anything()));
    expect_that!(calls.get(), ge(12));
}
