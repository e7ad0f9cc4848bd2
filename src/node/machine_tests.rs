//! Ranks of entries whose machines differ in processor and link.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use tokio::time::{Instant, advance};

use crate::id::EntryId;
use crate::node::candidacy::Candidacy;
use crate::node::keys::{ENTRY_PREFIX, KeyItem, epoch_key};
use crate::node::machine::MachineCapacity;
use crate::node::members::apply_write;
use crate::node::records::{EntryRecord, EpochRecord, LeaderRecord};
use crate::node::tests::{divided, entry};
use crate::node::view::MemberView;

/// An entry with its domain, processor, link and revision of registration.
pub(super) type EntryRow = (&'static str, &'static str, f64, Option<f64>, u64);

/// Entries of a deployment with the failure domains `a` and `b`, each a shard. The address of entry `eN` has the port N.
pub(super) fn view_of(rows: &[EntryRow]) -> MemberView {
    let mut view = divided(&[]);
    for (name, domain, processor, link_mbps, revision) in rows {
        let port = name.trim_start_matches(|part: char| !part.is_ascii_digit());
        let record = EntryRecord {
            address: format!("127.0.0.1:{port}").parse().unwrap(),
            domain: (*domain).into(),
            start: 7,
            processor: *processor,
            link_mbps: *link_mbps,
            revision: *revision,
        };
        view.best = view.best.best_of(record.capacity(view.best));
        view.entries.insert((*name).into(), record);
    }
    view
}

/// Numbers of the entries that could succeed an entry in shard `a`, best first.
fn successors(view: &MemberView, leaving: &str) -> Vec<u16> {
    let addresses = view.successors(&"a".into(), &leaving.into());
    addresses.iter().map(|address| address.port()).collect()
}

/// Names of all entries in the order in which they campaign for shard `a`.
fn campaign_order(view: &MemberView) -> Vec<&str> {
    let mut names: Vec<&EntryId> = view.entries.keys().collect();
    names.sort_by_key(|name| view.rank(&"a".into(), name).before);
    names.into_iter().map(|name| &**name).collect()
}

// A leader with a planned stop handed its shard to an entry of 0.3 cores and 10 Mbit/s that had registered last, although
// entries of 0.5 cores and 200 Mbit/s were registered. Nothing was served for 14 s.
#[gtest]
fn an_entry_on_a_narrow_link_ranks_after_one_of_another_domain_on_a_wide_link() {
    let view = view_of(&[
        ("e1", "a", 0.5, Some(200.0), 1),
        ("e2", "a", 0.3, Some(10.0), 9),
        ("e3", "b", 0.5, Some(200.0), 3),
        ("e4", "a", 0.09, Some(10.0), 8),
    ]);
    expect_that!(successors(&view, "e1"), eq(&vec![3, 2, 4]));
    expect_that!(campaign_order(&view), eq(&vec!["e1", "e3", "e2", "e4"]));
}

#[gtest]
fn strong_entries_succeed_by_processor_where_links_differ() {
    let rows = [
        ("e1", "a", 0.3, Some(200.0), 9),
        ("e2", "a", 0.5, Some(200.0), 3),
        ("e3", "a", 0.3, Some(150.0), 5),
        ("e4", "a", 0.5, Some(10.0), 12),
    ];
    expect_that!(successors(&view_of(&rows), ""), eq(&vec![2, 1, 3, 4]));
}

// Where all links are equal, a rolling restart hands leadership to the strong entry that has restarted last, whichever
// processor of the strong ones it has.
#[gtest]
fn equal_links_leave_the_order_of_successors_as_it_was() {
    for link in [None, Some(1_000.0)] {
        let rows = [
            ("e1", "a", 0.3, link, 9),
            ("e2", "a", 0.5, link, 3),
            ("e3", "a", 0.12, link, 12),
            ("e4", "b", 0.5, link, 14),
        ];
        expect_that!(successors(&view_of(&rows), ""), eq(&vec![1, 2, 4, 3]), "{link:?}");
    }
}

// During an update, entries of the earlier build register no link. They would all be weak beside one of the new build.
#[gtest]
fn an_entry_of_an_earlier_build_counts_as_having_the_best_link() {
    let view = view_of(&[
        ("e1", "a", 0.3, Some(10.0), 9),
        ("e2", "a", 0.5, None, 3),
        ("e3", "a", 0.5, Some(200.0), 1),
        ("e4", "a", 0.12, None, 12),
    ]);
    expect_that!(successors(&view, ""), eq(&vec![2, 3, 1, 4]));
    expect_true!(view.has_stronger(&"e4".into()));
    expect_false!(view.has_stronger(&"e2".into()));
    let mut read = MemberView::default();
    let value = r#"{"address":"127.0.0.1:9","domain":"a","start":7,"processor":0.25}"#;
    let item = KeyItem { key: format!("{ENTRY_PREFIX}e5"), value: value.into(), revision: 1 };
    apply_write(&mut read, &item);
    expect_that!(read.entries[&EntryId::from("e5")].link_mbps, none());
    let value = Bytes::from(r#"{"epoch":3,"holder":null,"best":0.5}"#);
    apply_write(&mut read, &KeyItem { key: epoch_key(&"".into()), value, revision: 2 });
    expect_that!(read.best, eq(MachineCapacity { processor: 0.5, link_mbps: 0.0 }));
}

// A late leader on a narrow link stayed leader beside a free entry with a wide link, as their processors were alike.
#[gtest]
fn a_leader_on_a_narrow_link_detects_a_free_entry_on_a_wide_one() {
    let rows = [
        ("e1", "a", 0.3, Some(10.0), 1),
        ("e2", "b", 0.5, Some(200.0), 2),
        ("e3", "a", 0.09, Some(200.0), 3),
    ];
    let mut view = view_of(&rows);
    expect_true!(view.has_stronger(&"e1".into()));
    expect_false!(view.has_stronger(&"e2".into()));
    let address = "127.0.0.1:2".parse().unwrap();
    let leader = LeaderRecord { entry: "e2".into(), address, start: 7, epoch: 1 };
    view.shards.entry("b".into()).or_default().leader = Some(leader);
    // The remaining one has the wider link, but less than half of the processor.
    expect_false!(view.has_stronger(&"e1".into()));
}

// After a loss of all power, an entry of 0.3 cores and 10 Mbit/s was elected before the strong ones had registered. Its
// processor was strong enough that it did not wait for them.
#[gtest]
#[tokio::test(start_paused = true)]
async fn an_entry_on_a_narrow_link_waits_for_one_on_a_wide_link_that_was_seen_before() {
    let name = "entry-1";
    let rows = [(name, "a", 0.3, Some(10.0), 1)];
    let mut view = view_of(&rows);
    let election = EpochRecord { epoch: 4, holder: None, best: 0.5, best_link_mbps: 200.0 };
    let value = Bytes::from(serde_json::to_vec(&election).unwrap());
    apply_write(&mut view, &KeyItem { key: epoch_key(&"a".into()), value, revision: 9 });
    let mut candidacy = Candidacy::new(Arc::new(entry()), "a".into());
    expect_that!(candidacy.campaign_time(&view), gt(Instant::now() + Duration::from_secs(1)));
    advance(Duration::from_millis(15)).await;
    view.entries.extend(view_of(&[("e2", "a", 0.5, Some(200.0), 2)]).entries);
    expect_that!(candidacy.campaign_time(&view), lt(Instant::now() + Duration::from_secs(1)));
    expect_that!(campaign_order(&view), eq(&vec!["e2", name]));
}

// Where the best processor and the best link are those of different machines, no entry is strong. Each election would
// wait for a strong machine that does not exist.
#[gtest]
fn no_better_machine_is_awaited_once_the_best_processor_and_the_best_link_are_registered() {
    let mut view = view_of(&[("e1", "a", 2.0, Some(10.0), 1), ("e2", "a", 0.5, Some(200.0), 2)]);
    expect_false!(view.lacks_strong_machine(&"e1".into()));
    expect_that!(campaign_order(&view), eq(&vec!["e1", "e2"]));
    view.entries.remove("e2");
    expect_true!(view.lacks_strong_machine(&"e1".into()));
}
