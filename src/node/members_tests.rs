//! What an entry knows of the members after it has read them.

use std::net::SocketAddr;
use std::sync::Arc;

use googletest::prelude::*;
use serde::Serialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::graph::{LeaderEpoch, ShardId};
use crate::id::EntryId;
use crate::node::keys::{KeyItem, epoch_key, leader_key};
use crate::node::members::{MembershipLoop, removed, written};
use crate::node::records::{EpochRecord, LeaderRecord};
use crate::node::settings::NodeSettings;
use crate::node::shared::NodeShared;
use crate::node::tests::{divided, entry, settings};
use crate::node::view::MemberView;

/// A page that an entry is on, and after which there is another.
const FIRST_PAGE: &str = r#"{"items": [{"key": "m/entry/e1", "value": "", "revision": 1}], "has_more": true, "as_of": 7}"#;
/// A page with a division into the shards `a` and `b`.
const DIVISION_PAGE: &str = r#"{"items": [{"key": "m/shards", "value": "eyJkb21haW5zIjp7ImEiOjEsImIiOjF9fQ==", "revision": 2}], "as_of": 9}"#;
/// A page with a division that cannot be read.
const UNREADABLE_PAGE: &str =
    r#"{"items": [{"key": "m/shards", "value": 7, "revision": 3}], "as_of": 9}"#;

/// Serves a store that has a first page, and another after a key.
async fn serve_pages(first: &'static str, next: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let mut request = [0; 4_096];
                while let Ok(count @ 1..) = stream.read(&mut request).await {
                    let later = String::from_utf8_lossy(&request[..count]).contains("after=");
                    let page = if later { next } else { first };
                    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", page.len());
                    stream.write_all(format!("{head}{page}").as_bytes()).await.unwrap();
                }
            });
        }
    });
    address
}

/// An entry whose store has such pages.
async fn shared(first: &'static str, next: &'static str) -> Arc<NodeShared> {
    let store = serve_pages(first, next).await;
    Arc::new(NodeShared::new(NodeSettings { store, ..settings() }))
}

// The key of the division is the last of the members'.
#[gtest]
#[tokio::test]
async fn a_division_on_a_later_page_is_known() {
    let shared = shared(FIRST_PAGE, DIVISION_PAGE).await;
    let revision = MembershipLoop::new(shared.clone()).read().await;
    expect_that!(shared.members.borrow().plan, eq(&divided(&[]).plan));
    // What has changed since the first page comes with the watch.
    expect_that!(revision.ok(), some(eq(7)));
}

// An entry whose history the store had forgotten read the members anew and forgot what was agreed once.
#[gtest]
#[tokio::test]
async fn a_division_that_was_known_stays_so() {
    let shared = shared(UNREADABLE_PAGE, "").await;
    shared.members.send_modify(|view| view.plan = divided(&[]).plan);
    expect_that!(MembershipLoop::new(shared.clone()).read().await.ok(), some(eq(9)));
    expect_that!(shared.members.borrow().plan, eq(&divided(&[]).plan));
}

// It refuses all that callers ask, and they stayed on its connections.
#[gtest]
#[tokio::test(start_paused = true)]
async fn an_entry_that_does_not_know_the_division_is_not_ready() {
    let shared = entry();
    expect_true!(shared.ready());
    shared.members.send_modify(|view| view.plan = None);
    expect_false!(shared.ready());
}

/// A key of an undivided deployment's leader, or of its count of elections.
fn item<T: Serialize>(key: String, value: &T, revision: u64) -> KeyItem {
    KeyItem { key, value: serde_json::to_vec(value).unwrap().into(), revision }
}

fn leader_of(epoch: LeaderEpoch) -> LeaderRecord {
    let address = "127.0.0.1:1".parse().unwrap();
    LeaderRecord { entry: EntryId::from("e1"), address, start: epoch, epoch }
}

/// Members of whom another entry has told the leader of epoch 3, while the watch has come to epoch 1.
fn told_of_third() -> MemberView {
    let mut view = MemberView::default();
    let led = view.shards.entry(ShardId::from("")).or_default();
    (led.epoch, led.epoch_revision, led.leader) = (1, 5, Some(leader_of(3)));
    view
}

// A watch that is behind what other entries have told brought back the leader before, and calls went to it.
#[gtest]
fn a_late_change_does_not_bring_back_an_earlier_leader() {
    let whole = ShardId::from("");
    let mut view = told_of_third();
    written(&mut view, &item(leader_key(&whole), &leader_of(2), 8));
    expect_that!(view.leader(&whole), some(eq(&leader_of(3))));
    removed(&mut view, &leader_key(&whole));
    expect_that!(view.leader(&whole), some(eq(&leader_of(3))));
}

#[gtest]
fn a_leader_is_gone_once_the_watch_has_come_to_its_election_and_its_end() {
    let whole = ShardId::from("");
    let mut view = told_of_third();
    let elected = EpochRecord { epoch: 3, ..EpochRecord::default() };
    written(&mut view, &item(epoch_key(&whole), &elected, 9));
    written(&mut view, &item(leader_key(&whole), &leader_of(3), 9));
    removed(&mut view, &leader_key(&whole));
    expect_that!(view.leader(&whole), none());
}

// An entry knows its own election by the answer to it, before the watch tells of the ones before.
#[gtest]
fn a_late_change_does_not_bring_back_an_earlier_count_of_elections() {
    let whole = ShardId::from("");
    let mut view = told_of_third();
    let led = view.shards.entry(whole.clone()).or_default();
    (led.epoch, led.epoch_revision) = (3, 9);
    let before = EpochRecord { epoch: 2, ..EpochRecord::default() };
    written(&mut view, &item(epoch_key(&whole), &before, 8));
    expect_that!(view.shard(&whole).epoch, eq(3));
    expect_that!(view.shard(&whole).epoch_revision, eq(9));
}
