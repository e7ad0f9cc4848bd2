//! Upkeep of the metrics: a histogram keeps each of its values until it is summarized, which a scrape does as well.

use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};

/// Interval at which the values of histograms are summarized.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Calls `summarize` at an interval, whether anybody scrapes the metrics or not.
pub(crate) async fn keep_metrics(summarize: impl Fn()) {
    let mut ticks = interval(UPKEEP_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        summarize();
    }
}
