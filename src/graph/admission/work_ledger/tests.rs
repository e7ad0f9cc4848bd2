//! Sums of open work as jobs start, end and lose their value.

use std::collections::BTreeMap;
use std::time::Duration;

use googletest::prelude::*;
use tokio::time::Instant;

use crate::graph::admission::service_rate::ServiceRates;
use crate::graph::admission::work_class::WorkClass;
use crate::graph::admission::work_ledger::{ServingPlace, WorkLedger};
use crate::graph::workload::job::{GraphJob, GraphRecord, LiveRun};
use crate::graph::workload::name::TaskKey;
use crate::graph::workload::progress::GraphVerdict;
use crate::graph::workload::queue::QueueRule;
use crate::graph::workload::spec::{GraphSpec, StepSpec};
use crate::resources::ResourceVector;

/// Class of the jobs of these tests.
const CLASS: WorkClass = WorkClass { priority: 1, exceeds_rate: false };

/// A job of four tasks of two cores and one second; its objective is two seconds.
fn job(id: &str, now: Instant) -> GraphJob {
    let rule = QueueRule {
        id: "q".into(),
        host: "".into(),
        prefix: "/q".into(),
        service: "s".into(),
        priority: CLASS.priority,
        max_attempts: 1,
        slack: 1.0,
        target: Duration::from_secs(1),
        advice: None,
        public: false,
    };
    let step = StepSpec {
        count: 4,
        need: ResourceVector::new(2_000, 0, 0),
        estimate: Duration::from_secs(1),
        ..StepSpec::default()
    };
    let spec = GraphSpec {
        id: id.into(),
        queue: "q".into(),
        payload: "".into(),
        steps: vec![step],
        repeat: None,
        accepted: 0,
    };
    let workspace = Some("a".into());
    GraphJob::new(GraphRecord { spec, rule, workspace, home: None, share: None }, now)
}

fn ahead(ledger: &WorkLedger, latest_start: Instant) -> f64 {
    ledger.ahead(ServingPlace { class: CLASS, latest_start }, None, &BTreeMap::new())
}

// A sum that keeps work of jobs that are gone would reject for good.
#[gtest]
fn nothing_is_left_of_jobs_that_have_ended_or_are_removed() {
    let now = Instant::now();
    let end = now + Duration::from_secs(60);
    let (mut ledger, mut rates) = (WorkLedger::new(now), ServiceRates::default());
    let mut first = job("first", now);
    let second = job("second", now);
    for job in [&first, &second] {
        expect_that!(ledger.update(now, job, None, &mut rates), none());
    }
    expect_that!(ahead(&ledger, end), eq(16.0));
    ledger.note_forecast(&first.spec.id, end);
    // A run counts as half done, and its processors as held.
    let task = TaskKey::new(0, 0, 0);
    first.live.insert(task, LiveRun { worker: "w".into(), run: 1 });
    ledger.update(now, &first, Some(now), &mut rates);
    expect_that!(ahead(&ledger, end), eq(15.0));
    expect_that!(rates.drain_rate(now, CLASS), eq(2.0));
    first.live.clear();
    first.progress.done.entry(task.step).or_default().insert(0);
    ledger.update(now, &first, None, &mut rates);
    expect_that!(ahead(&ledger, end), eq(14.0));
    first.progress.verdict = Some(GraphVerdict::Completed);
    expect_that!(ledger.update(now, &first, None, &mut rates), some(eq(end)));
    ledger.remove(&second.spec.id);
    expect_that!(ahead(&ledger, end), eq(0.0));
}

// Work of jobs that are past their value is served last, so that it is ahead of nothing.
#[gtest]
fn work_moves_back_as_it_becomes_late_and_counts_no_more_once_it_is_worthless() {
    let now = Instant::now();
    let after = |millis| now + Duration::from_millis(millis);
    let (mut ledger, mut rates) = (WorkLedger::new(now), ServiceRates::default());
    ledger.update(now, &job("a", now), None, &mut rates);
    expect_that!(ahead(&ledger, after(500)), eq(0.0));
    expect_that!(ahead(&ledger, after(1_000)), eq(8.0));
    ledger.advance(after(1_100));
    expect_that!(ahead(&ledger, after(4_500)), eq(0.0));
    expect_that!(ahead(&ledger, after(5_000)), eq(8.0));
    ledger.advance(after(5_100));
    expect_that!(ahead(&ledger, after(60_000)), eq(0.0));
    ledger.remove(&"a".into());
}

// The backlog of a workspace that its cap holds back takes no capacity from the others.
#[gtest]
fn work_beyond_the_cap_of_another_workspace_does_not_count() {
    let now = Instant::now();
    let (mut ledger, mut rates) = (WorkLedger::new(now), ServiceRates::default());
    ledger.update(now, &job("a", now), None, &mut rates);
    let place = ServingPlace { class: CLASS, latest_start: now + Duration::from_secs(9) };
    let bounds = BTreeMap::from([("a".into(), 3.0)]);
    expect_that!(ledger.ahead(place, Some(&"b".into()), &bounds), eq(3.0));
    expect_that!(ledger.ahead(place, Some(&"a".into()), &bounds), eq(8.0));
    expect_that!(ledger.ahead_in(place, &"a".into()), eq(8.0));
    expect_that!(ledger.ahead_in(place, &"b".into()), eq(0.0));
}
