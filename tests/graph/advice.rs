//! The learned share of workers that placement advice allows.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::{AdviceRequest, AdviceTable, EntryId, StepKey, WorkerId};
use tokio::time::Instant;

use crate::sim_cluster::queue_rule;

/// Requests advice about workers and answers the call: a worker is allowed if its number is
/// divisible by three.
fn request_advice(advice_table: &mut AdviceTable, now: Instant, workers: &[WorkerId]) {
    let queue = queue_rule("asked", 1, true);
    let request = AdviceRequest {
        key: ("a".into(), StepKey { occurrence: 0, step: 0 }),
        queue: queue.id.clone(),
        rule: queue.advice.unwrap(),
        workers: workers.to_vec(),
    };
    let call = advice_table.assign(now, vec![request]).remove(0);
    let allowed = workers.iter().filter(|worker| worker[1..].parse::<u32>().unwrap() % 3 == 0);
    let allowed = allowed.map(|worker| (worker.clone(), "ticket".into())).collect();
    advice_table.answered(now, call.id, Some(allowed), Duration::ZERO);
}

// The number of workers that an advice call names is computed from the share of workers that was
// allowed before. Renewals, in which nearly all workers are allowed again, were counted as well:
// with a third allowed, the learned share was nine tenths, and calls named a third of the workers
// that were needed.
#[gtest]
fn the_share_of_allowed_workers_is_not_learned_from_renewals() {
    let now = Instant::now();
    let workers: Vec<WorkerId> = (0..30).map(|number| format!("w{number}").into()).collect();
    let mut advice_table = AdviceTable::default();
    advice_table.set_entries([EntryId::from("e0")].into());
    for chunk in workers.chunks(3) {
        request_advice(&mut advice_table, now, chunk);
    }
    let allowed: Vec<WorkerId> = workers.iter().step_by(3).cloned().collect();
    for _ in 0..30 {
        request_advice(&mut advice_table, now, &allowed);
    }
    expect_that!(advice_table.share(&"asked".into()), lt(0.45));
}
