//! What an entry takes itself for while the store or other entries are silent, and what it logs.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use tokio::sync::oneshot;
use tokio::time::{Instant, advance};

use crate::graph::{
    GraphBounds, GraphId, GraphState, QueueConfig, RequestLimits, ShardId, ShardPlan,
};
use crate::node::KeyItem;
use crate::node::candidacy::{Candidacy, CandidacyState};
use crate::node::dependency::{DependencyEvent, DependencyMonitor, RetryMode};
use crate::node::election::handover::succession_change;
use crate::node::handover_inbox::SuccessorOffer;
use crate::node::keys::{ENTRY_PREFIX, epoch_key, leader_key};
use crate::node::lateness::LatenessMonitor;
use crate::node::members::written;
use crate::node::message::{LeaderAnswer, LeaderCall};
use crate::node::own_leader::ask_here;
use crate::node::records::{EntryRecord, EpochRecord, LeaderRecord};
use crate::node::settings::NodeSettings;
use crate::node::shared::NodeShared;
use crate::node::state_queries::{StateQueries, StateUpdate};
use crate::node::view::{MemberView, ShardView};
use crate::ring::ring;

/// The only shard of a deployment that is not divided.
fn whole() -> ShardId {
    ShardId::from("")
}

pub(super) fn settings() -> NodeSettings {
    let address = "127.0.0.1:9".parse().unwrap();
    NodeSettings {
        name: "entry-1".into(),
        domain: "a".into(),
        domains: vec!["a".into(), "b".into()],
        callers: address,
        ready: address,
        peers: address,
        metrics: address,
        store: address,
        advisor: None,
        processor: 0.25,
        descriptors: 1_000,
        grace: Duration::from_secs(6),
        bounds: GraphBounds {
            longest_lease: Duration::from_secs(6),
            retention: Duration::from_secs(120),
            lease_extension_window: Duration::from_secs(5),
        },
    }
}

/// An entry that knows its configuration, that there is one shard, and its leader, and has just heard the store.
pub(super) fn entry() -> NodeShared {
    let shared = NodeShared::new(settings());
    let limits = RequestLimits { body_bytes: 1 << 18, head_time: Duration::from_secs(3) };
    let config =
        QueueConfig { version: 1, queues: Default::default(), pools: Default::default(), limits };
    shared.config.send_replace(Some(Arc::new(config)));
    let leader = LeaderRecord {
        entry: "entry-2".into(),
        address: shared.settings.peers,
        start: 7,
        epoch: 1,
    };
    shared.members.send_modify(|view| {
        view.plan = Some(Arc::new(ShardPlan::undivided()));
        view.shards.entry(whole()).or_default().leader = Some(leader);
    });
    shared.note_store("members");
    shared
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_entry_that_is_cut_off_is_not_ready_after_a_second() {
    let shared = entry();
    expect_true!(shared.ready());
    advance(Duration::from_millis(1_100)).await;
    expect_true!(shared.store_is_late());
    expect_false!(shared.ready());
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_entry_without_the_store_is_ready_while_the_leader_answers() {
    let shared = entry();
    for _ in 0..3 {
        advance(Duration::from_millis(900)).await;
        shared.note_peer();
        expect_true!(shared.ready());
    }
    // Four seconds without the store: its configuration may be old.
    for _ in 0..2 {
        advance(Duration::from_millis(900)).await;
        shared.note_peer();
    }
    expect_false!(shared.ready());
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_leader_whose_entry_has_started_anew_leads_no_more() {
    let shared = entry();
    let record = |start| EntryRecord {
        address: shared.settings.peers,
        domain: "b".into(),
        start,
        processor: 0.25,
        revision: 0,
    };
    shared.members.send_modify(|view| {
        view.entries.insert("entry-2".into(), record(7));
    });
    expect_false!(shared.members.borrow().leaderless(&whole()));
    shared.members.send_modify(|view| {
        view.entries.insert("entry-2".into(), record(8));
    });
    expect_true!(shared.members.borrow().leaderless(&whole()));
    // Without a registration its process may go on: its key tells.
    shared.members.send_modify(|view| {
        view.entries.remove("entry-2");
    });
    expect_false!(shared.members.borrow().leaderless(&whole()));
}

/// Two failure domains, `a` and `b`, that are a shard each, and some entries.
pub(super) fn divided(entries: &[(&str, &str, f64)]) -> MemberView {
    let workers = [("a".into(), 150), ("b".into(), 150)].into();
    let record = |domain: &str, processor| EntryRecord {
        address: "127.0.0.1:9".parse().unwrap(),
        domain: domain.into(),
        start: 7,
        processor,
        revision: 0,
    };
    let entry = |(name, domain, processor): &(&str, &str, f64)| {
        ((*name).into(), record(domain, *processor))
    };
    MemberView {
        plan: Some(Arc::new(ShardPlan::for_fleet(&workers, 0.25))),
        entries: entries.iter().map(entry).collect(),
        known: true,
        ..MemberView::default()
    }
}

#[gtest]
fn strong_entries_of_the_domain_stand_first_and_leaders_of_other_shards_last() {
    let entries = [
        ("e1", "a", 0.12),
        ("e2", "a", 0.5),
        ("e3", "a", 0.5),
        ("e4", "b", 0.5),
        ("e5", "b", 0.12),
    ];
    let mut view = divided(&entries);
    let ranks = |view: &MemberView| {
        let rank = |name: &str| view.rank(&"a".into(), &name.into()).before;
        ["e1", "e2", "e3", "e4", "e5"].map(rank)
    };
    expect_that!(ranks(&view), eq([3, 0, 1, 2, 4]));
    let leader = LeaderRecord {
        entry: "e2".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        start: 7,
        epoch: 1,
    };
    view.shards.entry("b".into()).or_default().leader = Some(leader);
    expect_that!(ranks(&view), eq([2, 4, 0, 1, 3]));
}

// A machine of an eighth of a core that was elected while the strong ones were away is given more than it can do,
// and keeps on as it does much of it: it goes once a strong one is there.
#[gtest]
fn a_weak_leader_finds_that_a_stronger_machine_leads_nothing() {
    let mut view = divided(&[("e1", "a", 0.12), ("e2", "a", 0.12)]);
    expect_false!(view.has_stronger(&"e1".into()));
    view.entries.extend(divided(&[("e3", "b", 0.5)]).entries);
    expect_true!(view.has_stronger(&"e1".into()));
    expect_false!(view.has_stronger(&"e3".into()));
    let address = "127.0.0.1:9".parse().unwrap();
    let leader = LeaderRecord { entry: "e3".into(), address, start: 7, epoch: 1 };
    view.shards.entry("b".into()).or_default().leader = Some(leader);
    expect_false!(view.has_stronger(&"e1".into()));
}

// All entries had ended, or a store that was back had dropped their registrations: a machine of an eighth of a core
// registered first, was elected and read 2,100 jobs for 14 s while nothing was taken.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_weak_machine_waits_for_a_strong_one_that_was_seen_before() {
    let name = "entry-1";
    let mut view = divided(&[(name, "a", 0.12)]);
    let mut candidacy = Candidacy::new(Arc::new(entry()), "a".into());
    view.best = 0.5;
    expect_that!(candidacy.turn(&view), gt(Instant::now() + Duration::from_secs(1)));
    advance(Duration::from_secs(1)).await;
    // The strong one is there: it goes first, and the weak one is still ready to go if that does not.
    view.entries.extend(divided(&[("e2", "a", 0.5)]).entries);
    expect_that!(candidacy.turn(&view), gt(Instant::now() + Duration::from_millis(60)));
    expect_that!(candidacy.turn(&view), lt(Instant::now() + Duration::from_secs(1)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_weak_machine_does_not_wait_for_good() {
    let mut view = divided(&[("entry-1", "a", 0.12)]);
    let mut candidacy = Candidacy::new(Arc::new(entry()), "a".into());
    view.best = 0.5;
    candidacy.turn(&view);
    advance(Duration::from_secs(2)).await;
    expect_that!(candidacy.turn(&view), le(Instant::now()));
    // After an election without it, it is not waited for again.
    view.best = view.best_registered();
    candidacy.rest();
    expect_that!(candidacy.turn(&view), lt(Instant::now() + Duration::from_millis(200)));
}

#[gtest]
fn the_best_machine_is_known_from_the_last_election() {
    let mut view = MemberView::default();
    let record = EpochRecord { epoch: 4, holder: None, best: 0.5 };
    let value = Bytes::from(serde_json::to_vec(&record).unwrap());
    written(&mut view, &KeyItem { key: epoch_key(&whole()), value, revision: 9 });
    expect_that!(view.best, eq(0.5));
}

// While a failure domain was cut off, entries of the others waited for it. When it was back, their turn had long
// come: one took its shard, and all leaders took the time since for the lateness of their timers and stepped down.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_failure_domain_that_is_back_has_its_turn_first() {
    let mut view = divided(&[("entry-1", "a", 0.25)]);
    let mut candidacy = Candidacy::new(Arc::new(entry()), "b".into());
    expect_that!(candidacy.turn(&view), gt(Instant::now() + Duration::from_secs(5)));
    advance(Duration::from_secs(5)).await;
    let back = divided(&[("e2", "b", 0.25)]);
    view.entries.extend(back.entries);
    expect_that!(candidacy.turn(&view), gt(Instant::now()));
}

/// Timers of `late` for three seconds, with so many inputs a second.
async fn late_timers(rule: &mut LatenessMonitor, late: Duration, inputs: u64) {
    let mut taken = 0;
    for _ in 0..10 {
        advance(Duration::from_millis(300)).await;
        taken += inputs * 3 / 10;
        rule.note(late, taken);
    }
}

// Nine entries in turn took themselves for too slow while each was given more than any machine can do.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_leader_that_is_late_with_much_done_is_not_slow() {
    for (late, inputs, slow) in [(60, 100, true), (60, 1_200, false), (5, 100, false)] {
        let mut rule = LatenessMonitor::new();
        late_timers(&mut rule, Duration::from_millis(late), inputs).await;
        expect_that!(rule.is_slow(0.5), eq(slow), "{late} ms with {inputs} inputs a second");
    }
}

/// Lines of a store that refuses two duties each 100 ms for a time.
async fn refuse(rule: &mut DependencyMonitor, time: Duration) -> Vec<DependencyEvent> {
    let mut lines = Vec::new();
    let end = Instant::now() + time;
    while Instant::now() < end {
        lines.extend(rule.failed("members", RetryMode::Steady, "refused".to_owned()));
        lines.extend(rule.failed("election", RetryMode::Steady, "refused".to_owned()));
        advance(Duration::from_millis(100)).await;
    }
    lines
}

// While the store refused connections, each duty logged each try: 28 lines a second of one process, and
// none when the store was back.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_lost_dependency_is_a_line_a_second() {
    let mut rule = DependencyMonitor::default();
    expect_that!(rule.answered("members"), none());
    advance(Duration::from_millis(250)).await;
    let lines = refuse(&mut rule, Duration::from_millis(9_050)).await;
    let lost = DependencyEvent::Lost {
        duty: "members".to_owned(),
        failure: "refused".to_owned(),
        answer_age: Some(Duration::from_millis(250)),
        short_losses: 0,
    };
    expect_that!(lines.first(), some(eq(&lost)));
    let still = DependencyEvent::StillLost {
        duties: vec!["election".to_owned(), "members".to_owned()],
        failure: "refused".to_owned(),
        away: Duration::from_secs(9),
        tries_failed: 181,
    };
    expect_that!(lines.last(), some(eq(&still)));
    expect_that!(lines.len(), eq(10));
    expect_that!(rule.answered("election"), none());
    let away = Duration::from_millis(9_100);
    let back = DependencyEvent::Back { away, tries_failed: 182 };
    expect_that!(rule.answered("members"), some(eq(&back)));
    expect_that!(rule.is_lost(), eq(false));
}

// A duty may end while its last try has failed: the group that the store refused is given up, or the entry
// leads no more. The loss ends without an answer to it.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_loss_ends_with_the_duty_that_suffered_from_it() {
    let mut rule = DependencyMonitor::default();
    expect_that!(rule.failed("ledger", RetryMode::OnDemand, "503".to_owned()), some(anything()));
    advance(Duration::from_millis(200)).await;
    expect_that!(rule.failed("members", RetryMode::Steady, "503".to_owned()), none());
    advance(Duration::from_millis(300)).await;
    expect_that!(rule.answered("members"), none());
    advance(Duration::from_millis(400)).await;
    expect_that!(rule.look(), none());
    advance(Duration::from_millis(200)).await;
    let away = Duration::from_millis(500);
    let back = DependencyEvent::Back { away, tries_failed: 2 };
    expect_that!(rule.look(), some(eq(&back)));

    expect_that!(rule.failed("members", RetryMode::Steady, "503".to_owned()), none());
    advance(Duration::from_millis(3_000)).await;
    expect_that!(rule.look(), none());
    advance(Duration::from_millis(600)).await;
    expect_that!(rule.look(), none());
    expect_that!(rule.is_lost(), eq(false));
}

// A store that fails every other call would be lost and back many times a second.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_dependency_that_comes_and_goes_is_two_lines_a_second() {
    let mut rule = DependencyMonitor::default();
    let mut lines = Vec::new();
    for _ in 0..100 {
        lines.extend(rule.failed("election", RetryMode::Steady, "503".to_owned()));
        advance(Duration::from_millis(50)).await;
        lines.extend(rule.answered("election"));
        advance(Duration::from_millis(50)).await;
    }
    expect_that!(lines.len(), le(20));
    let told = |line: &DependencyEvent| match line {
        DependencyEvent::Lost { short_losses, .. } => 1 + short_losses,
        DependencyEvent::StillLost { .. } | DependencyEvent::Back { .. } => 0,
    };
    expect_that!(lines.iter().map(told).sum::<u64>(), ge(90));
}

/// An unreadable count of elections was taken for none: the next leader had epoch 1, below or equal to
/// that of the one before, and took that one for ended. Each election raises the store's revision, so
/// that the key's own is at least as high as any epoch.
#[gtest]
fn an_unreadable_count_of_elections_is_taken_for_a_high_one() {
    let holder = ("entry-2".into(), 7);
    let led = ShardView { epoch: 5, holder: Some(holder), ..ShardView::default() };
    let before = MemberView { shards: [(whole(), led)].into(), ..MemberView::default() };
    for mut view in [before, MemberView::default()] {
        let value = Bytes::from("no json");
        written(&mut view, &KeyItem { key: epoch_key(&whole()), value, revision: 40 });
        let led = view.shard(&whole());
        expect_that!(led.epoch, eq(40));
        expect_that!(led.epoch_revision, eq(40));
        let holder = led.holder;
        expect_that!(holder, some(anything()));
        expect_false!(view.has_ended(&holder));
    }
}

#[gtest]
fn an_unreadable_entry_takes_no_other_away() {
    let mut view = MemberView::default();
    let record = r#"{"address":"127.0.0.1:9","domain":"a","start":7,"processor":0.25}"#;
    for (name, value) in [("e1", record), ("e2", "no json"), ("e3", record), ("e1", "[]")] {
        let item =
            KeyItem { key: format!("{ENTRY_PREFIX}{name}"), value: value.into(), revision: 1 };
        written(&mut view, &item);
    }
    let names: Vec<&str> = view.entries.keys().map(|name| &**name).collect();
    expect_that!(names, eq(&vec!["e1", "e3"]));
}

// A caller asks for a job's state right after its last task has ended, when its verdict is on the way to the store.
// Told that the job runs on, it came back 0.2 s later on the median.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_question_for_a_state_waits_for_the_verdict_that_is_being_stored() {
    let (now, job) = (Instant::now(), GraphId::from("a"));
    let ending = StateUpdate::Ending(GraphState::Running);
    let stored = StateUpdate::Final(GraphState::Completed);
    let mut desk = StateQueries::default();

    let (answer, mut answered) = oneshot::channel();
    desk.ask(now, job.clone(), StateUpdate::Final(GraphState::Running), answer);
    expect_that!(answered.try_recv(), ok(eq(&LeaderAnswer::State(GraphState::Running))));

    let (answer, mut answered) = oneshot::channel();
    desk.ask(now, job.clone(), ending, answer);
    desk.answer(now + Duration::from_millis(20), |_| ending);
    expect_that!(answered.try_recv(), err(anything()));
    desk.answer(now + Duration::from_millis(21), |_| stored);
    expect_that!(answered.try_recv(), ok(eq(&LeaderAnswer::State(GraphState::Completed))));

    // The store is away: what it has is told.
    let (answer, mut answered) = oneshot::channel();
    desk.ask(now, job, ending, answer);
    desk.answer(now + Duration::from_millis(300), |_| ending);
    expect_that!(answered.try_recv(), ok(eq(&LeaderAnswer::State(GraphState::Running))));
}

// Entries are stopped in turn: one that has been started again will not be stopped soon, and a leader that was handed to
// the next in turn was handed on two seconds later.
#[gtest]
fn leadership_is_handed_to_a_strong_entry_that_was_started_last() {
    let address = |host: &str| format!("127.0.0.{host}:9").parse().unwrap();
    let record = |host, processor, revision| EntryRecord {
        address: address(host),
        domain: "a".into(),
        start: 7,
        processor,
        revision,
    };
    let entries = [
        ("e1".into(), record("1", 0.25, 3)),
        ("e2".into(), record("2", 0.25, 9)),
        ("e3".into(), record("3", 0.25, 5)),
        ("e4".into(), record("4", 0.05, 12)),
    ];
    let view = MemberView { entries: entries.into(), known: true, ..MemberView::default() };
    let order = view.successors(&whole(), &"e1".into());
    expect_that!(order, eq(&["2", "3", "4"].map(address).to_vec()));
}

// The store names this entry before the leader before has ended. It leads once it is told so, or, where that leader is
// lost before it says so, after a while as after any election.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_named_entry_waits_for_the_word_of_the_leader_before() {
    let shared = Arc::new(entry());
    let candidacy = Candidacy::new(shared.clone(), whole());
    let own = LeaderRecord {
        entry: shared.settings.name.clone(),
        address: shared.settings.peers,
        start: shared.start,
        epoch: 5,
    };
    let mut view = MemberView { known: true, ..MemberView::default() };
    let led = ShardView { leader: Some(own), epoch: 5, ..ShardView::default() };
    view.shards.insert(whole(), led);
    shared.handover_inbox.set_lease(Some(3));
    expect_that!(shared.handover_inbox.name(whole(), 4), some(eq(3)));
    expect_that!(matches!(candidacy.standing(&view, true), CandidacyState::Unchanged), eq(true));
    advance(Duration::from_millis(1_600)).await;
    expect_that!(matches!(candidacy.standing(&view, true), CandidacyState::Won(_)), eq(true));
    // One that leaves is not named.
    shared.handover_inbox.set_lease(None);
    expect_that!(shared.handover_inbox.name(whole(), 5), none());
}

// A failure domain was cut off with the leader in it. Its entries heard that leader, which could store nothing, took
// themselves for able to serve, and refused their callers for as long as the cut lasted.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_leader_that_is_cut_off_does_not_vouch_for_its_domain() {
    let shared = entry();
    let (input, _receiver) = ring("leader", 4);
    shared.set_leading(&whole(), Some(input));
    let shard = whole();
    let reach = || ask_here(&shared, &shard, LeaderCall::Reach);
    expect_that!(reach().await, some(eq(&LeaderAnswer::Leading)));
    advance(Duration::from_millis(1_100)).await;
    expect_that!(reach().await, some(eq(&LeaderAnswer::NotLeading)));
    // Another failure domain answers it: only the store is away.
    shared.note_peer();
    expect_that!(reach().await, some(eq(&LeaderAnswer::Leading)));
}

// An entry whose leadership had ended under it, as another was elected, found its timers late and handed leadership on:
// on the condition of the other's epoch, which it knew from the store. The next leader took the other for ended, and on
// one hunted day 8 tasks ran in two places.
#[gtest]
fn a_leader_that_was_succeeded_names_no_successor() {
    let led = ShardView { epoch: 2, epoch_revision: 40, ..ShardView::default() };
    let offer = SuccessorOffer {
        entry: "e3".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        start: 7,
        lease: 3,
    };
    let change = |epoch| succession_change(&whole(), &led, epoch, Some(&offer), None, 0.25);
    expect_that!(change(1).is_none(), eq(true));
    let own = change(2).unwrap();
    expect_that!(own.conditions, eq(&vec![(epoch_key(&whole()), 40)]));
    expect_that!(
        own.writes.iter().map(|set| set.lease).collect::<Vec<_>>(),
        eq(&vec![Some(3), None])
    );
    // Without a successor the choice is left to an election.
    let left = succession_change(&whole(), &led, 2, None, None, 0.25).unwrap();
    expect_that!(left.removes, eq(&vec![leader_key(&whole())]));
}
