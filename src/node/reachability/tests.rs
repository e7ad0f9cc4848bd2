//! Which entries a check calls.

use googletest::prelude::*;

use crate::node::reachability::{ENTRIES_CALLED, in_turn};

// Each leader called all entries of other failure domains four times a second while the store did not answer.
#[gtest]
fn a_check_calls_few_entries_and_the_next_check_others() {
    for count in [12, 600, 1_200] {
        let entries: Vec<usize> = (0..count).collect();
        let mut turn = count - 2;
        let mut called: Vec<usize> = Vec::new();
        for _ in 0..4 {
            let next: Vec<usize> = in_turn(&entries, &mut turn).copied().collect();
            expect_that!(next.len(), eq(ENTRIES_CALLED));
            called.extend(next);
        }
        called.sort_unstable();
        called.dedup();
        expect_that!(called.len(), eq(4 * ENTRIES_CALLED));
    }
    expect_that!(in_turn(&[7], &mut 3).copied().collect::<Vec<_>>(), eq(&[7]));
    expect_that!(in_turn::<u8>(&[], &mut 3).count(), eq(0));
}
