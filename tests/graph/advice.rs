//! The learned share of workers that placement advice allows.

use std::time::Duration;

use googletest::prelude::*;
use kelplink::{AdviceRequest, AdviceTable, EntryId, QueueRule, StepKey, WorkerId};
use tokio::time::Instant;

use crate::sim_cluster::{queue_rule, slow_advice_rule};

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

/// Guards against jobs that wait for long calls beside idle entries where few entries are left.
#[gtest]
fn three_entries_make_the_calls_of_a_usual_load() {
    let start = Instant::now();
    let mut advice_table = AdviceTable::default();
    advice_table.set_entries(["e0", "e1", "e2"].map(EntryId::from).into());
    let (urgent, slow) = (queue_rule("urgent", 0, true), slow_advice_rule("slow", 1));
    let request = |queue: &QueueRule, number: u64, workers: u32| AdviceRequest {
        key: (format!("{}{number}", &*queue.id).into(), StepKey { occurrence: 0, step: 0 }),
        queue: queue.id.clone(),
        rule: queue.advice.unwrap(),
        workers: (0..workers).map(|worker| format!("w{worker}").into()).collect(),
    };
    let (mut urgent_waiting, mut slow_waiting) = (Vec::new(), Vec::new());
    let mut calls: Vec<(Instant, u64)> = Vec::new();
    let mut longest_urgent_wait = 0;
    // 20 urgent calls of 35 ms and three slow ones of 580 ms a second.
    for tick in 0..6_000_u64 {
        let now = start + Duration::from_millis(5 * tick);
        for (_, id) in calls.extract_if(.., |(end, _)| *end <= now) {
            advice_table.answered(now, id, Some(Vec::new()), Duration::ZERO);
        }
        if tick % 10 == 0 {
            urgent_waiting.push(request(&urgent, tick, 5));
        }
        if tick % 66 == 0 {
            slow_waiting.push(request(&slow, tick, 20));
        }
        let waiting = urgent_waiting.iter().chain(&slow_waiting).cloned().collect();
        for call in advice_table.assign(now, waiting) {
            urgent_waiting.retain(|waiting| waiting.key != call.key);
            slow_waiting.retain(|waiting| waiting.key != call.key);
            let time = if &*call.key.0 < "t" { 580 } else { 35 };
            calls.push((now + Duration::from_millis(time), call.id));
        }
        longest_urgent_wait = longest_urgent_wait.max(urgent_waiting.len());
    }
    expect_that!(slow_waiting.len(), le(3));
    expect_that!(longest_urgent_wait, le(3));
}

/// Guards against steps that never start because a free entry waits for urgent calls that hardly come: after the traffic,
/// two of three entries made long calls back to back, and the third made three short ones in 16 s.
#[gtest]
fn steps_without_tickets_use_the_entry_that_urgent_calls_hardly_need() {
    let start = Instant::now();
    let mut advice_table = AdviceTable::default();
    advice_table.set_entries(["e0", "e1", "e2"].map(EntryId::from).into());
    let (urgent, slow) = (queue_rule("urgent", 0, true), slow_advice_rule("slow", 1));
    let request = |queue: &QueueRule, number: u64, workers: u32| AdviceRequest {
        key: (format!("{}{number}", &*queue.id).into(), StepKey { occurrence: 0, step: 0 }),
        queue: queue.id.clone(),
        rule: queue.advice.unwrap(),
        workers: (0..workers).map(|worker| format!("w{worker}").into()).collect(),
    };
    let mut slow_waiting: Vec<AdviceRequest> =
        (0..65).map(|number| request(&slow, number, 20)).collect();
    let mut urgent_waiting = Vec::new();
    let mut calls: Vec<(Instant, u64)> = Vec::new();
    let mut longest_urgent_wait = 0;
    // 65 steps wait for calls of 580 ms, of which two entries make 55 in 16 s.
    for tick in 0..3_200_u64 {
        let now = start + Duration::from_millis(5 * tick);
        for (_, id) in calls.extract_if(.., |(end, _)| *end <= now) {
            advice_table.answered(now, id, Some(Vec::new()), Duration::ZERO);
        }
        if tick % 1_000 == 0 {
            urgent_waiting.push((tick, request(&urgent, tick, 5)));
        }
        let urgent_requests = urgent_waiting.iter().map(|(_, request)| request);
        let waiting = urgent_requests.chain(&slow_waiting).cloned().collect();
        for call in advice_table.assign(now, waiting) {
            slow_waiting.retain(|waiting| waiting.key != call.key);
            for (since, _) in urgent_waiting.extract_if(.., |(_, waiting)| waiting.key == call.key)
            {
                longest_urgent_wait = longest_urgent_wait.max(5 * (tick - since));
            }
            let time = if &*call.key.0 < "t" { 580 } else { 35 };
            calls.push((now + Duration::from_millis(time), call.id));
        }
    }
    expect_that!(slow_waiting.len(), eq(0));
    expect_that!(urgent_waiting.len(), eq(0));
    expect_that!(longest_urgent_wait, le(580));
}

/// Guards against urgent calls that wait behind long ones: renewals of tickets, a short gap in the urgent calls and the
/// first requests of a new leader leave an entry free.
#[gtest]
fn long_calls_leave_an_entry_free_while_urgent_calls_are_expected() {
    let start = Instant::now();
    let mut advice_table = AdviceTable::default();
    advice_table.set_entries(["e0", "e1", "e2"].map(EntryId::from).into());
    let slow = slow_advice_rule("slow", 1);
    let request = |number: u64| AdviceRequest {
        key: (format!("slow{number}").into(), StepKey { occurrence: 0, step: 0 }),
        queue: slow.id.clone(),
        rule: slow.advice.unwrap(),
        workers: vec!["w0".into()],
    };
    let mut calls_at = |millis: u64, numbers: std::ops::Range<u64>, has_tickets: bool| {
        let now = start + Duration::from_millis(millis);
        let calls = advice_table.assign(now, numbers.map(request).collect());
        for call in &calls {
            let allowed = has_tickets.then(|| ("w0".into(), "ticket".into()));
            advice_table.answered(
                now,
                call.id,
                Some(allowed.into_iter().collect()),
                Duration::ZERO,
            );
        }
        calls.len()
    };
    // A new leader.
    expect_that!(calls_at(0, 0..3, false), eq(2));
    expect_that!(calls_at(1_000, 0..3, false), eq(2));
    // Three steps with tickets, which expire 2 s after the calls.
    expect_that!(calls_at(1_900, 10..12, true), eq(2));
    expect_that!(calls_at(1_900, 12..13, true), eq(1));
    expect_that!(calls_at(3_000, 10..13, true), eq(2));
    // Steps without any have not waited long enough yet, then use all entries.
    expect_that!(calls_at(3_100, 20..23, false), eq(2));
    expect_that!(calls_at(4_100, 20..23, false), eq(3));
}
