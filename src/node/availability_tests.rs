//! When a loop calls the store again after failures.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::{Instant, sleep};

use crate::node::availability::StoreAvailability;
use crate::node::backoff::RetryBackoff;

const FIRST_DELAY: Duration = Duration::from_millis(100);

// Each loop of each entry that the store refused tried again every 100 ms, for as long as the store refused it.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_loop_tries_few_times_during_an_outage() {
    let availability = StoreAvailability::default();
    let mut retry = availability.retry(FIRST_DELAY);
    let started = Instant::now();
    let mut tries = 0;
    while started.elapsed() < Duration::from_secs(9) {
        availability.note_failure();
        retry.pause().await;
        tries += 1;
    }
    expect_that!(tries, le(10));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_loop_tries_again_as_soon_as_a_renewal_is_answered() {
    let availability = StoreAvailability::default();
    let mut retry = availability.retry(FIRST_DELAY);
    availability.note_failure();
    for _ in 0..6 {
        retry.pause().await;
    }
    let (paused, ()) = tokio::join!(
        async {
            let started = Instant::now();
            retry.pause().await;
            started.elapsed()
        },
        async {
            sleep(Duration::from_millis(30)).await;
            availability.note_answer();
        }
    );
    expect_that!(paused, eq(Duration::from_millis(30)));
}

// A call whose connection was lost without notice, as in a partition, is not answered after the store has returned.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_call_from_before_the_return_of_the_store_is_sent_again() {
    let availability = StoreAvailability::default();
    let mut retry = availability.retry(FIRST_DELAY);
    availability.note_failure();
    let lost_call = std::future::pending::<()>();
    let (answer, ()) = tokio::join!(retry.until_return(lost_call), async {
        sleep(Duration::from_millis(30)).await;
        availability.note_answer();
    });
    expect_that!(answer, none());
    expect_that!(retry.until_return(async { 7 }).await, some(eq(7)));
}

#[gtest]
fn delays_differ_between_entries_and_stay_below_their_limit() {
    let longest = Duration::from_millis(500);
    let mut delays = Vec::new();
    for _ in 0..100 {
        let mut backoff = RetryBackoff::new(FIRST_DELAY, longest);
        delays.push(backoff.next_delay());
        (0..10).for_each(|_| expect_that!(backoff.next_delay(), le(longest.mul_f64(1.25))));
        backoff.reset();
        expect_that!(backoff.next_delay(), le(FIRST_DELAY.mul_f64(1.25)));
    }
    delays.dedup();
    expect_that!(delays.len(), ge(50));
}
