//! The view of the members after reads and watch events.

use std::net::SocketAddr;
use std::sync::Arc;

use googletest::prelude::*;
use serde::Serialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::graph::{LeaderEpoch, ShardId};
use crate::id::EntryId;
use crate::node::keys::{KeyItem, epoch_key, leader_key};
use crate::node::members::{MembershipLoop, apply_removal, apply_write};
use crate::node::records::{EpochRecord, LeaderRecord};
use crate::node::settings::NodeSettings;
use crate::node::shared::NodeShared;
use crate::node::tests::{divided, entry, settings};
use crate::node::view::MemberView;

/// A page with one entry, followed by another page.
const FIRST_PAGE: &str = r#"{"items": [{"key": "m/entry/e1", "value": "", "revision": 1}], "has_more": true, "as_of": 7}"#;
/// A page with a shard plan of the shards `a` and `b`.
const PLAN_PAGE: &str = r#"{"items": [{"key": "m/shards", "value": "eyJkb21haW5zIjp7ImEiOjEsImIiOjF9fQ==", "revision": 2}], "as_of": 9}"#;
/// A page with an unreadable shard plan.
const UNREADABLE_PAGE: &str =
    r#"{"items": [{"key": "m/shards", "value": 7, "revision": 3}], "as_of": 9}"#;

/// Serves a store with a first page, and a next one for requests that start after a key.
async fn serve_pages(first: &'static str, next: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let mut request = [0; 4_096];
                while let Ok(count @ 1..) = stream.read(&mut request).await {
                    let is_next_page =
                        String::from_utf8_lossy(&request[..count]).contains("after=");
                    let page = if is_next_page { next } else { first };
                    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", page.len());
                    stream.write_all(format!("{head}{page}").as_bytes()).await.unwrap();
                }
            });
        }
    });
    address
}

/// An entry whose store serves the two pages.
async fn shared(first: &'static str, next: &'static str) -> Arc<NodeShared> {
    let store = serve_pages(first, next).await;
    Arc::new(NodeShared::new(NodeSettings { store, ..settings() }))
}

// The key of the shard plan is the last of the member keys.
#[gtest]
#[tokio::test]
async fn a_shard_plan_on_a_later_page_is_read() {
    let shared = shared(FIRST_PAGE, PLAN_PAGE).await;
    let revision = MembershipLoop::new(shared.clone()).read().await;
    expect_that!(shared.members.borrow().plan, eq(&divided(&[]).plan));
    // The watch delivers changes made since the first page.
    expect_that!(revision.ok(), some(eq(7)));
}

// An entry that read the members again, after the store had compacted its history, lost the agreed shard plan.
#[gtest]
#[tokio::test]
async fn a_known_shard_plan_survives_a_new_read() {
    let shared = shared(UNREADABLE_PAGE, "").await;
    shared.members.send_modify(|view| view.plan = divided(&[]).plan);
    expect_that!(MembershipLoop::new(shared.clone()).read().await.ok(), some(eq(9)));
    expect_that!(shared.members.borrow().plan, eq(&divided(&[]).plan));
}

// An entry without the shard plan refuses all calls. While it reported itself ready, callers kept their connections to
// it.
#[gtest]
#[tokio::test(start_paused = true)]
async fn an_entry_without_the_shard_plan_is_not_ready() {
    let shared = entry();
    expect_true!(shared.ready());
    shared.members.send_modify(|view| view.plan = None);
    expect_false!(shared.ready());
}

/// A leader key or epoch key with its value.
fn item<T: Serialize>(key: String, value: &T, revision: u64) -> KeyItem {
    KeyItem { key, value: serde_json::to_vec(value).unwrap().into(), revision }
}

fn leader_of(epoch: LeaderEpoch) -> LeaderRecord {
    let address = "127.0.0.1:1".parse().unwrap();
    LeaderRecord { entry: EntryId::from("e1"), address, start: epoch, epoch }
}

/// A view that has the leader of epoch 3 from another entry, while the watch has only reached epoch 1.
fn view_with_third_leader() -> MemberView {
    let mut view = MemberView::default();
    let shard_view = view.shards.entry(ShardId::from("")).or_default();
    (shard_view.epoch, shard_view.epoch_revision, shard_view.leader) = (1, 5, Some(leader_of(3)));
    view
}

// A watch that lagged behind the reports of other entries restored the previous leader, and calls were sent to it.
#[gtest]
fn a_late_watch_event_does_not_restore_an_earlier_leader() {
    let undivided = ShardId::from("");
    let mut view = view_with_third_leader();
    apply_write(&mut view, &item(leader_key(&undivided), &leader_of(2), 8));
    expect_that!(view.leader(&undivided), some(eq(&leader_of(3))));
    apply_removal(&mut view, &leader_key(&undivided), 9);
    expect_that!(view.leader(&undivided), some(eq(&leader_of(3))));
}

#[gtest]
fn a_leader_is_removed_once_the_watch_has_delivered_its_election_and_its_end() {
    let undivided = ShardId::from("");
    let mut view = view_with_third_leader();
    let elected = EpochRecord { epoch: 3, ..EpochRecord::default() };
    apply_write(&mut view, &item(epoch_key(&undivided), &elected, 9));
    apply_write(&mut view, &item(leader_key(&undivided), &leader_of(3), 9));
    apply_removal(&mut view, &leader_key(&undivided), 10);
    expect_that!(view.leader(&undivided), none());
}

// The answer to its own election reaches an entry before the watch delivers the earlier elections.
#[gtest]
fn a_late_watch_event_does_not_restore_an_earlier_epoch() {
    let undivided = ShardId::from("");
    let mut view = view_with_third_leader();
    let shard_view = view.shards.entry(undivided.clone()).or_default();
    (shard_view.epoch, shard_view.epoch_revision) = (3, 9);
    let earlier = EpochRecord { epoch: 2, ..EpochRecord::default() };
    apply_write(&mut view, &item(epoch_key(&undivided), &earlier, 8));
    expect_that!(view.shard(&undivided).epoch, eq(3));
    expect_that!(view.shard(&undivided).epoch_revision, eq(9));
}

// The removal of the previous leader's key may be delivered after the answer to the next election.
#[gtest]
fn a_late_removal_does_not_remove_the_leader_elected_since() {
    let undivided = ShardId::from("");
    let mut view = MemberView::default();
    apply_write(&mut view, &item(leader_key(&undivided), &leader_of(4), 20));
    apply_removal(&mut view, &leader_key(&undivided), 18);
    expect_that!(view.leader(&undivided), some(eq(&leader_of(4))));
    apply_write(&mut view, &item(leader_key(&undivided), &leader_of(4), 20));
    apply_removal(&mut view, &leader_key(&undivided), 21);
    apply_write(&mut view, &item(leader_key(&undivided), &leader_of(4), 20));
    expect_that!(view.leader(&undivided), none());
}

// The entries and epochs are followed in batches, so the epoch of a leader may arrive after the leader.
#[gtest]
fn a_leader_record_tells_the_epoch_and_its_revision() {
    let undivided = ShardId::from("");
    let mut view = MemberView::default();
    apply_write(&mut view, &item(leader_key(&undivided), &leader_of(4), 20));
    let shard_view = view.shard(&undivided);
    expect_that!((shard_view.epoch, shard_view.epoch_revision), eq((4, 20)));
    expect_that!(shard_view.holder, some(eq(&(EntryId::from("e1"), 4))));
    let vacated = EpochRecord { epoch: 4, ..EpochRecord::default() };
    apply_write(&mut view, &item(epoch_key(&undivided), &vacated, 22));
    expect_that!(view.shard(&undivided).epoch_revision, eq(22));
    expect_that!(view.shard(&undivided).holder, none());
}
