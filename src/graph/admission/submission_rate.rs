//! Which jobs of a workspace lie within the rate that it is entitled to.
//!
//! The load pattern behind it is a customer that submits several times its usual. In the order of their latest starts
//! its jobs all become late together; with those within its rate first, these are still in time.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::{UnixMillis, WorkspaceId};
use crate::workspace::WorkspaceRule;

/// Time over which a workspace may use its rate at once.
const BURST_TIME: Duration = Duration::from_secs(1);

/// A token bucket: one token for each job.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    /// Tokens a second.
    rate: f64,
    tokens: f64,
    /// When the tokens were last counted.
    counted: UnixMillis,
}

impl TokenBucket {
    fn new(rate: f64, now: UnixMillis) -> Self {
        Self { rate, tokens: Self::capacity(rate), counted: now }
    }

    /// A whole token at least, so that a low rate is not always exceeded.
    fn capacity(rate: f64) -> f64 {
        (rate * BURST_TIME.as_secs_f64()).max(1.0)
    }

    /// Takes a token, if there is one.
    fn take(&mut self, now: UnixMillis) -> bool {
        let passed = Duration::from_millis(now.saturating_sub(self.counted)).as_secs_f64();
        self.counted = self.counted.max(now);
        self.tokens = (self.tokens + passed * self.rate).min(Self::capacity(self.rate));
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}

/// Token buckets of all workspaces with a rate.
#[derive(Clone, Debug, Default)]
pub(crate) struct SubmissionRates {
    buckets: BTreeMap<WorkspaceId, TokenBucket>,
}

impl SubmissionRates {
    /// Sets the rates; a workspace whose rate is unchanged keeps its tokens. `shards` is the number of leaders that
    /// accept its jobs.
    pub(crate) fn set_rules(
        &mut self,
        rules: &BTreeMap<WorkspaceId, WorkspaceRule>,
        shards: usize,
        now: UnixMillis,
    ) {
        let share = 1.0 / shards.max(1) as f64;
        let limited = rules.values().filter(|rule| rule.weight > 0.0);
        let bucket = |rule: &WorkspaceRule| {
            let rate = rule.weight * share;
            let known = self.buckets.get(&rule.id).filter(|known| known.rate == rate);
            (rule.id.clone(), known.copied().unwrap_or_else(|| TokenBucket::new(rate, now)))
        };
        self.buckets = limited.map(bucket).collect();
    }

    /// Takes back the count of a job within the rate that was not accepted.
    pub(crate) fn give_back(&mut self, workspace: Option<&WorkspaceId>) {
        if let Some(bucket) = workspace.and_then(|workspace| self.buckets.get_mut(workspace)) {
            bucket.tokens += 1.0;
        }
    }

    /// Time until a workspace may submit another job within its rate.
    pub(crate) fn time_to_next(&self, workspace: Option<&WorkspaceId>) -> Duration {
        let bucket = workspace.and_then(|workspace| self.buckets.get(workspace));
        let missing = bucket.map_or(0.0, |bucket| (1.0 - bucket.tokens).max(0.0) / bucket.rate);
        Duration::try_from_secs_f64(missing).unwrap_or(Duration::MAX)
    }

    /// Counts a job of a workspace and returns whether it exceeds the workspace's rate.
    pub(crate) fn exceeds_rate(
        &mut self,
        workspace: Option<&WorkspaceId>,
        now: UnixMillis,
    ) -> bool {
        let bucket = workspace.and_then(|workspace| self.buckets.get_mut(workspace));
        bucket.is_some_and(|bucket| !bucket.take(now))
    }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;
    use crate::resources::ResourceVector;

    fn rates(weight: f64, shards: usize) -> SubmissionRates {
        let id = WorkspaceId::from("a");
        let cap = ResourceVector::default();
        let rules = BTreeMap::from([(id.clone(), WorkspaceRule { id, weight, cap })]);
        let mut rates = SubmissionRates::default();
        rates.set_rules(&rules, shards, 0);
        rates
    }

    /// Number of jobs within the rate among `count` that arrive at regular intervals.
    fn within(rates: &mut SubmissionRates, count: u64, interval_ms: u64) -> usize {
        let workspace = WorkspaceId::from("a");
        let exceeds = |number| rates.exceeds_rate(Some(&workspace), 1_000 + number * interval_ms);
        (0..count).map(exceeds).filter(|exceeds| !exceeds).count()
    }

    #[gtest]
    fn a_workspace_within_its_rate_exceeds_nothing() {
        expect_that!(within(&mut rates(10.0, 1), 100, 100), eq(100));
        expect_that!(within(&mut rates(0.5, 1), 10, 2_000), eq(10));
        expect_that!(within(&mut rates(0.0, 1), 100, 1), eq(100));
    }

    #[gtest]
    fn the_excess_of_five_times_the_rate_is_four_in_five() {
        // A second's worth at once, and then a fifth of ten seconds of jobs.
        expect_that!(within(&mut rates(10.0, 1), 500, 20), all![ge(105), le(111)]);
        expect_that!(within(&mut rates(10.0, 2), 500, 20), all![ge(52), le(56)]);
    }
}
