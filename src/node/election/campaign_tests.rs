//! Campaigns of entries whose view lags behind the store.

use std::sync::Arc;

use googletest::prelude::*;

use crate::graph::ShardId;
use crate::id::EntryId;
use crate::node::election::ElectionLoop;
use crate::node::entry_store::EntryStore;
use crate::node::keys::leader_key;
use crate::node::records::LeaderRecord;
use crate::node::settings::NodeSettings;
use crate::node::shared::NodeShared;
use crate::node::simulated_peers::SimulatedPeers;
use crate::node::simulated_store::SimulatedStore;
use crate::node::tests::{divided, settings};
use crate::node::view::MemberView;

fn shard() -> ShardId {
    ShardId::from("a")
}

/// The election loop of an entry that is registered and does not follow the members.
async fn registered(store: &Arc<SimulatedStore>, name: &str, client: usize) -> ElectionLoop {
    let store = EntryStore::Simulated(store.client(client));
    let settings = NodeSettings { name: name.into(), ..settings() };
    let shared = NodeShared::simulated(settings, store, SimulatedPeers::default());
    shared.members.send_replace(divided(&[]));
    let mut election = ElectionLoop::new(Arc::new(shared));
    election.renew().await;
    assert!(election.lease.is_some(), "not registered");
    election
}

fn view(election: &ElectionLoop) -> MemberView {
    election.shared.members.borrow().clone()
}

fn known_leader(election: &ElectionLoop) -> Option<EntryId> {
    view(election).leader(&shard()).map(|leader| leader.entry.clone())
}

/// The leader in the store.
async fn stored_leader(election: &ElectionLoop) -> Option<EntryId> {
    let item = election.shared.store.get(&leader_key(&shard())).await.unwrap()?;
    Some(serde_json::from_slice::<LeaderRecord>(&item.value).unwrap().entry)
}

// A campaign that failed told an entry of the later epoch, but not of its leader, which it replaced by its next campaign.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_failed_campaign_tells_the_leader() {
    let store = SimulatedStore::start();
    let mut first = registered(&store, "entry-1", 1).await;
    let mut second = registered(&store, "entry-2", 2).await;
    let before = view(&second);
    first.campaign(&shard(), &before).await;
    second.campaign(&shard(), &before).await;
    expect_that!(known_leader(&second), some(eq(&EntryId::from("entry-1"))));
    expect_false!(view(&second).leaderless(&shard()));
}

// The epochs and the leaders are followed by different watches.
#[gtest]
#[tokio::test(start_paused = true)]
async fn an_entry_that_knows_the_epoch_only_does_not_replace_its_leader() {
    let store = SimulatedStore::start();
    let mut first = registered(&store, "entry-1", 1).await;
    let mut second = registered(&store, "entry-2", 2).await;
    first.campaign(&shard(), &view(&second)).await;
    let mut without_leader = view(&first);
    if let Some(shard_view) = without_leader.shards.get_mut(&shard()) {
        (shard_view.leader, shard_view.leader_revision) = (None, 0);
    }
    second.campaign(&shard(), &without_leader).await;
    expect_false!(second.candidacy(&shard()).leads());
    expect_that!(stored_leader(&second).await, some(eq(&EntryId::from("entry-1"))));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_failed_campaign_tells_that_the_leader_key_is_gone() {
    let store = SimulatedStore::start();
    let mut first = registered(&store, "entry-1", 1).await;
    let mut second = registered(&store, "entry-2", 2).await;
    first.campaign(&shard(), &view(&second)).await;
    let with_leader = view(&first);
    let ended = first.shared.store.end_lease(first.lease.unwrap()).await;
    expect_that!(ended, ok(anything()));
    second.campaign(&shard(), &with_leader).await;
    expect_that!(known_leader(&second), none());
    let without_leader = view(&second);
    second.campaign(&shard(), &without_leader).await;
    expect_true!(second.candidacy(&shard()).leads());
    expect_that!(stored_leader(&second).await, some(eq(&EntryId::from("entry-2"))));
}
