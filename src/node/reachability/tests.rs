//! Which entries a check calls.

use std::collections::BTreeSet;

use googletest::prelude::*;

use crate::node::reachability::{ENTRIES_CALLED, sample};

// Each leader called all entries of other failure domains four times a second while the store did not answer.
#[gtest]
fn a_check_calls_few_entries_in_a_fleet_of_any_size() {
    for count in [12, 600, 1_200] {
        let entries: Vec<usize> = (0..count).collect();
        for _ in 0..100 {
            let called: BTreeSet<usize> = sample(&entries).into_iter().collect();
            expect_that!(called.len(), eq(ENTRIES_CALLED));
        }
    }
    expect_that!(sample(&[7]), eq(&[7]));
    expect_that!(sample::<u8>(&[]), is_empty());
}

// Entries are in the order of their names, and so of their failure domains. If the checks of a second called neighbours,
// an entry would take itself for cut off because of the domain of those.
#[gtest]
fn the_checks_of_a_second_reach_several_failure_domains() {
    let domains: Vec<usize> = (0..600).map(|number| number / 120).collect();
    for _ in 0..100 {
        let called: BTreeSet<usize> = (0..4).flat_map(|_| sample(&domains)).collect();
        expect_that!(called.len(), ge(2));
    }
}
