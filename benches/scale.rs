//! What one event costs all entries of a deployment, in calls to the store, at several sizes.
//!
//! `cargo bench --bench scale` prints the calls for each entry that runs on, and the time until all of them know the
//! result. The entries run their own loops against a store in memory, on a virtual clock; they have no workers, and
//! calls between them fail.

use std::time::{Duration, Instant};

use kelplink::{SimulatedFleet, StoreAccess, StoreCallCount, StoreCallKind};
use tokio::runtime;
use tokio::time::{self, sleep};

/// Numbers of entries: the third is twice the second.
const SIZES: [usize; 3] = [100, 600, 1_200];
const DOMAINS: usize = 5;
/// Shards of each failure domain.
const SHARDS: u32 = 2;
/// Time after the start in which all entries register.
const START_TIME: Duration = Duration::from_secs(8);
/// Time over which an event's calls are counted.
const EVENT_TIME: Duration = Duration::from_secs(10);
/// Interval between checks whether all entries know the result of an event.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// An event of a simulation.
struct ScaleEvent {
    name: &'static str,
    /// Makes it happen.
    begin: fn(&mut SimulatedFleet),
    /// Ends it after half of the time.
    end: fn(&mut SimulatedFleet),
    /// Whether all entries know the result.
    is_known: fn(&SimulatedFleet) -> bool,
}

const EVENTS: [ScaleEvent; 8] = [
    ScaleEvent { name: "nothing", begin: |_| {}, end: |_| {}, is_known: |_| true },
    ScaleEvent {
        name: "an entry lost",
        begin: |fleet| fleet.kill_entry(last(fleet)),
        end: |_| {},
        is_known: is_informed,
    },
    ScaleEvent {
        name: "a leader lost",
        begin: |fleet| {
            if let Some(leader) = (0..fleet.running()).find(|number| fleet.leads(*number)) {
                fleet.kill_entry(leader);
            }
        },
        end: |_| {},
        is_known: |fleet| is_informed(fleet) && fleet.led() == fleet.running(),
    },
    ScaleEvent {
        name: "half killed at once",
        begin: |fleet| (0..fleet.running() / 2).for_each(|number| fleet.kill_entry(number)),
        end: |_| {},
        is_known: |fleet| is_informed(fleet) && fleet.led() == fleet.running(),
    },
    ScaleEvent {
        name: "a third refused for 5 s",
        begin: |fleet| restrict_third(fleet, StoreAccess::Refused),
        end: |fleet| restrict_third(fleet, StoreAccess::Open),
        is_known: is_informed,
    },
    ScaleEvent {
        name: "a third unanswered for 5 s",
        begin: |fleet| restrict_third(fleet, StoreAccess::Silent),
        end: |fleet| restrict_third(fleet, StoreAccess::Open),
        is_known: is_informed,
    },
    ScaleEvent {
        name: "a configuration",
        begin: |fleet| fleet.configure(2),
        end: |_| {},
        is_known: |fleet| fleet.configured(2) == fleet.running(),
    },
    ScaleEvent {
        name: "a compaction",
        begin: |fleet| fleet.store().compact(),
        end: |_| {},
        is_known: is_informed,
    },
];

fn main() {
    println!("calls to the store for each entry, in {EVENT_TIME:?} of virtual time");
    println!(
        "{:<28} {:>7} {:>8} {:>8} {:>8} {:>9} {:>8} {:>8} {:>9} {:>9}",
        "event",
        "entries",
        "watches",
        "reads",
        "writes",
        "renewals",
        "failed",
        "events",
        "known ms",
        "real ms"
    );
    for event in &EVENTS {
        for entries in SIZES {
            run(event, entries);
        }
    }
}

/// Runs an event and prints its costs.
fn run(event: &ScaleEvent, entries: usize) {
    let runtime = runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return eprintln!("{}: {error}", event.name),
    };
    runtime.block_on(async {
        let mut fleet = SimulatedFleet::start(entries, DOMAINS, SHARDS).await;
        sleep(START_TIME).await;
        let before = fleet.store().call_count();
        let (started, started_real) = (time::Instant::now(), Instant::now());
        (event.begin)(&mut fleet);
        let mut known = None;
        let mut has_ended = false;
        while started.elapsed() < EVENT_TIME {
            sleep(CHECK_INTERVAL).await;
            if !has_ended && started.elapsed() >= EVENT_TIME / 2 {
                has_ended = true;
                (event.end)(&mut fleet);
            }
            match (event.is_known)(&fleet) {
                true => known = known.or(Some(started.elapsed())),
                false => known = None,
            }
        }
        let real = started_real.elapsed();
        print_row(event.name, &fleet, &before, &fleet.store().call_count(), known, real);
    });
}

fn print_row(
    name: &str,
    fleet: &SimulatedFleet,
    before: &StoreCallCount,
    after: &StoreCallCount,
    known: Option<Duration>,
    real: Duration,
) {
    let running = fleet.running() as f64;
    let calls = |kind: StoreCallKind| (after.of(kind) - before.of(kind)) as f64 / running;
    let known = known.map_or("never".to_owned(), |time| time.as_millis().to_string());
    println!(
        "{name:<28} {running:>7} {:>8.1} {:>8.1} {:>8.1} {:>9.1} {:>8.1} {:>8.1} {known:>9} {:>9}",
        calls(StoreCallKind::Watch),
        calls(StoreCallKind::Read),
        calls(StoreCallKind::Write),
        calls(StoreCallKind::Renewal),
        (after.failed - before.failed) as f64 / running,
        (after.events - before.events) as f64 / running,
        real.as_millis(),
    );
}

fn last(fleet: &SimulatedFleet) -> usize {
    (0..fleet.running()).rev().find(|number| !fleet.leads(*number)).unwrap_or(0)
}

fn is_informed(fleet: &SimulatedFleet) -> bool {
    fleet.informed() == fleet.running()
}

fn restrict_third(fleet: &SimulatedFleet, access: StoreAccess) {
    for client in (0..fleet.running()).step_by(3).filter_map(|number| fleet.client(number)) {
        fleet.store().set_access(client, access);
    }
}
