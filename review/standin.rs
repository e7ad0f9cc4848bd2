//! Stand-ins of the platform's store, the workers and the callers, and the scripts of the review's cases.
//!
//! Uses the standard library only. Built by `build.sh`, started by the `run.sh` of a case.

mod cluster;
mod large_value;
mod store;
mod support;
mod two_crashes;
mod unread_ends;
mod worker;

use std::process::exit;

fn main() {
    let name = std::env::args().nth(1).unwrap_or_default();
    let folder = std::env::args().nth(2).unwrap_or_else(|| ".".into());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match name.as_str() {
        "unread-ends" => unread_ends::run(&folder, trouble),
        "large-value" => large_value::run(&folder, trouble),
        "two-crashes" => two_crashes::run(&folder, trouble, false),
        "one-machine-crashes" => two_crashes::run(&folder, trouble, true),
        _ => {
            eprintln!("unknown case {name}");
            2
        }
    };
    exit(code);
}
