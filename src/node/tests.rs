//! Readiness, elections and log events of an entry while the store or other entries do not answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use tokio::sync::oneshot;
use tokio::time::{Instant, advance};

use crate::graph::{
    EPOCH_STEP, GraphBounds, GraphId, GraphState, QueueConfig, RequestLimits, RunCosts, ShardId,
    ShardPlan,
};
use crate::node::KeyItem;
use crate::node::candidacy::{Candidacy, CandidacyState};
use crate::node::dependency::{DependencyEvent, DependencyMonitor, RetryMode};
use crate::node::election::handover::succession_change;
use crate::node::handover_inbox::SuccessorOffer;
use crate::node::keys::{ENTRY_PREFIX, epoch_key, leader_key};
use crate::node::lateness::LatenessMonitor;
use crate::node::machine::MachineCapacity;
use crate::node::members::apply_write;
use crate::node::message::{LeaderAnswer, LeaderCall};
use crate::node::own_leader::ask_own_leader;
use crate::node::records::{EntryRecord, EpochRecord, LeaderRecord};
use crate::node::settings::NodeSettings;
use crate::node::shared::NodeShared;
use crate::node::state_queries::{StateQueries, StateUpdate};
use crate::node::view::{MemberView, ShardView};
use crate::ring::ring;

/// The only shard of an undivided deployment.
fn only_shard() -> ShardId {
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
        store_reads: 2_000.0,
        advisor: None,
        processor: 0.25,
        link_mbps: 1_000.0,
        descriptors: 1_000,
        requires_keys: false,
        grace: Duration::from_secs(6),
        leave_notice: Duration::from_secs(2),
        contact_time: Duration::from_secs(3),
        bounds: GraphBounds {
            max_lease: Duration::from_secs(6),
            retention: Duration::from_secs(120),
            lease_extension_window: Duration::from_secs(5),
            run_costs: RunCosts::default(),
            max_value_bytes: 1 << 20,
            worker_heartbeat: Duration::from_millis(1_500),
        },
    }
}

/// An entry that knows its configuration, its only shard and that shard's leader, and that has just had an answer of
/// the store.
pub(super) fn entry() -> NodeShared {
    let shared = NodeShared::new(settings());
    let limits = RequestLimits { body_bytes: 1 << 18, head_time: Duration::from_secs(3) };
    let config = QueueConfig {
        version: 1,
        queues: Default::default(),
        pools: Default::default(),
        limits,
        workspaces: Default::default(),
        keys: Default::default(),
    };
    shared.config.send_replace(Some(Arc::new(config)));
    let leader = LeaderRecord {
        entry: "entry-2".into(),
        address: shared.settings.peers,
        start: 7,
        epoch: 1,
    };
    shared.members.send_modify(|view| {
        view.plan = Some(Arc::new(ShardPlan::undivided()));
        view.shards.entry(only_shard()).or_default().leader = Some(leader);
    });
    shared.note_store_answer("members");
    shared
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_entry_that_is_cut_off_is_not_ready_after_a_second() {
    let shared = entry();
    expect_true!(shared.ready());
    advance(Duration::from_millis(1_100)).await;
    expect_true!(shared.store_answer_overdue());
    expect_false!(shared.ready());
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_entry_without_the_store_is_ready_while_the_leader_answers() {
    let shared = entry();
    for _ in 0..3 {
        advance(Duration::from_millis(900)).await;
        shared.note_peer_answer();
        expect_true!(shared.ready());
    }
    // After four seconds without the store the configuration may be outdated.
    for _ in 0..2 {
        advance(Duration::from_millis(900)).await;
        shared.note_peer_answer();
    }
    expect_false!(shared.ready());
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_restarted_entry_is_no_longer_the_leader() {
    let shared = entry();
    let record = |start| EntryRecord {
        address: shared.settings.peers,
        domain: "b".into(),
        start,
        processor: 0.25,
        link_mbps: None,
        revision: 0,
    };
    shared.members.send_modify(|view| {
        view.entries.insert("entry-2".into(), record(7));
    });
    expect_false!(shared.members.borrow().leaderless(&only_shard()));
    shared.members.send_modify(|view| {
        view.entries.insert("entry-2".into(), record(8));
    });
    expect_true!(shared.members.borrow().leaderless(&only_shard()));
    // Without a registration its process may still run, so the leader's key decides.
    shared.members.send_modify(|view| {
        view.entries.remove("entry-2");
    });
    expect_false!(shared.members.borrow().leaderless(&only_shard()));
}

/// A deployment with the failure domains `a` and `b`, each a shard, and the given entries.
pub(super) fn divided(entries: &[(&str, &str, f64)]) -> MemberView {
    let workers = [("a".into(), 150), ("b".into(), 150)].into();
    let record = |domain: &str, processor| EntryRecord {
        address: "127.0.0.1:9".parse().unwrap(),
        domain: domain.into(),
        start: 7,
        processor,
        link_mbps: None,
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
fn strong_entries_of_the_domain_campaign_first_and_leaders_of_other_shards_last() {
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

// A machine with an eighth of a core that was elected while no strong one was registered is overloaded, but not detected
// as slow, as it handles many inputs. It has to step down once a strong machine is available.
#[gtest]
fn a_weak_leader_detects_a_stronger_machine_that_leads_no_shard() {
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

// When all entries restart, or a restored store has dropped their registrations, the first to register may be a machine
// with an eighth of a core. Such a machine was elected and took 14 s to read 2,100 jobs, while no job was accepted.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_weak_machine_waits_for_a_strong_one_that_was_seen_before() {
    let name = "entry-1";
    let mut view = divided(&[(name, "a", 0.12)]);
    let mut candidacy = Candidacy::new(Arc::new(entry()), "a".into());
    view.best.processor = 0.5;
    expect_that!(candidacy.campaign_time(&view), gt(Instant::now() + Duration::from_secs(1)));
    advance(Duration::from_secs(1)).await;
    // Once the strong machine is registered, the weak one waits only for its rank.
    view.entries.extend(divided(&[("e2", "a", 0.5)]).entries);
    expect_that!(candidacy.campaign_time(&view), gt(Instant::now() + Duration::from_millis(60)));
    expect_that!(candidacy.campaign_time(&view), lt(Instant::now() + Duration::from_secs(1)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_weak_machine_waits_for_a_limited_time() {
    let mut view = divided(&[("entry-1", "a", 0.12)]);
    let mut candidacy = Candidacy::new(Arc::new(entry()), "a".into());
    view.best.processor = 0.5;
    candidacy.campaign_time(&view);
    advance(Duration::from_secs(2)).await;
    expect_that!(candidacy.campaign_time(&view), le(Instant::now()));
    // After an election without the strong machine, it is not waited for again.
    view.best = view.best_registered();
    candidacy.reset_turn();
    expect_that!(candidacy.campaign_time(&view), lt(Instant::now() + Duration::from_millis(200)));
}

#[gtest]
fn the_best_machine_is_read_from_the_last_election() {
    let mut view = MemberView::default();
    let record = EpochRecord { epoch: 4, holder: None, best: 0.5, best_link_mbps: 200.0 };
    let value = Bytes::from(serde_json::to_vec(&record).unwrap());
    apply_write(&mut view, &KeyItem { key: epoch_key(&only_shard()), value, revision: 9 });
    expect_that!(view.best, eq(MachineCapacity { processor: 0.5, link_mbps: 200.0 }));
}

// While a failure domain was cut off, the entries of the others waited for it. When it was reconnected, the wait
// of the others was over: one of them took the shard, and all leaders counted that time as lateness of their timers and
// stepped down.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_reconnected_failure_domain_campaigns_first() {
    let mut view = divided(&[("entry-1", "a", 0.25)]);
    let mut candidacy = Candidacy::new(Arc::new(entry()), "b".into());
    expect_that!(candidacy.campaign_time(&view), gt(Instant::now() + Duration::from_secs(5)));
    advance(Duration::from_secs(5)).await;
    let back = divided(&[("e2", "b", 0.25)]);
    view.entries.extend(back.entries);
    expect_that!(candidacy.campaign_time(&view), gt(Instant::now()));
}

/// Records timers that are late by `late` for three seconds, at a rate of `inputs` per second.
async fn note_late_timers(monitor: &mut LatenessMonitor, late: Duration, inputs: u64) {
    let mut taken = 0;
    for _ in 0..10 {
        advance(Duration::from_millis(300)).await;
        taken += inputs * 3 / 10;
        monitor.note(late, taken);
    }
}

// Nine entries in turn stepped down as too slow although each had more load than any machine can handle.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_late_leader_with_high_throughput_is_not_slow() {
    for (late, inputs, slow) in [(60, 100, true), (60, 1_200, false), (5, 100, false)] {
        let mut monitor = LatenessMonitor::new();
        note_late_timers(&mut monitor, Duration::from_millis(late), inputs).await;
        expect_that!(monitor.is_slow(0.5), eq(slow), "{late} ms with {inputs} inputs a second");
    }
}

/// Events of a store that refuses calls of two loops every 100 ms for `time`.
async fn fail_two_loops(monitor: &mut DependencyMonitor, time: Duration) -> Vec<DependencyEvent> {
    let mut events = Vec::new();
    let end = Instant::now() + time;
    while Instant::now() < end {
        events.extend(monitor.failed("members", RetryMode::Steady, "refused".to_owned()));
        events.extend(monitor.failed("election", RetryMode::Steady, "refused".to_owned()));
        advance(Duration::from_millis(100)).await;
    }
    events
}

// While the store refused connections, each loop logged each try: 28 lines a second in one process, and
// none when the store was reachable again.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_lost_dependency_logs_one_line_a_second() {
    let mut monitor = DependencyMonitor::default();
    expect_that!(monitor.answered("members"), none());
    advance(Duration::from_millis(250)).await;
    let events = fail_two_loops(&mut monitor, Duration::from_millis(9_050)).await;
    let lost = DependencyEvent::Lost {
        duty: "members".to_owned(),
        failure: "refused".to_owned(),
        answer_age: Some(Duration::from_millis(250)),
        short_losses: 0,
    };
    expect_that!(events.first(), some(eq(&lost)));
    let still = DependencyEvent::StillLost {
        duties: vec!["election".to_owned(), "members".to_owned()],
        failure: "refused".to_owned(),
        away: Duration::from_secs(9),
        tries_failed: 181,
    };
    expect_that!(events.last(), some(eq(&still)));
    expect_that!(events.len(), eq(10));
    expect_that!(monitor.answered("election"), none());
    let away = Duration::from_millis(9_100);
    let back = DependencyEvent::Back { away, tries_failed: 182 };
    expect_that!(monitor.answered("members"), some(eq(&back)));
    expect_that!(monitor.is_lost(), eq(false));
}

// A loop may end after a failed try, as the refused group was given up or the entry no longer leads. The loss
// then ends without an answer to that loop.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_loss_ends_when_the_failing_loop_ends() {
    let mut monitor = DependencyMonitor::default();
    expect_that!(monitor.failed("ledger", RetryMode::OnDemand, "503".to_owned()), some(anything()));
    advance(Duration::from_millis(200)).await;
    expect_that!(monitor.failed("members", RetryMode::Steady, "503".to_owned()), none());
    advance(Duration::from_millis(300)).await;
    expect_that!(monitor.answered("members"), none());
    advance(Duration::from_millis(400)).await;
    expect_that!(monitor.expire_failures(), none());
    advance(Duration::from_millis(200)).await;
    let away = Duration::from_millis(500);
    let back = DependencyEvent::Back { away, tries_failed: 2 };
    expect_that!(monitor.expire_failures(), some(eq(&back)));

    expect_that!(monitor.failed("members", RetryMode::Steady, "503".to_owned()), none());
    advance(Duration::from_millis(3_000)).await;
    expect_that!(monitor.expire_failures(), none());
    advance(Duration::from_millis(600)).await;
    expect_that!(monitor.expire_failures(), none());
    expect_that!(monitor.is_lost(), eq(false));
}

// A store that fails every other call is lost and back many times a second, which must not be logged each time.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_flapping_dependency_logs_two_lines_a_second() {
    let mut monitor = DependencyMonitor::default();
    let mut events = Vec::new();
    for _ in 0..100 {
        events.extend(monitor.failed("election", RetryMode::Steady, "503".to_owned()));
        advance(Duration::from_millis(50)).await;
        events.extend(monitor.answered("election"));
        advance(Duration::from_millis(50)).await;
    }
    expect_that!(events.len(), le(20));
    let losses = |event: &DependencyEvent| match event {
        DependencyEvent::Lost { short_losses, .. } => 1 + short_losses,
        DependencyEvent::StillLost { .. } | DependencyEvent::Back { .. } => 0,
    };
    expect_that!(events.iter().map(losses).sum::<u64>(), ge(90));
}

/// An unreadable epoch record was treated as missing: the next leader had epoch 1, which is not above that of
/// its predecessor, and considered the predecessor ended. Each election raises the store's revision, so
/// there were at most as many as the revision of the key says.
#[gtest]
fn an_unreadable_epoch_record_yields_a_high_epoch() {
    let holder = ("entry-2".into(), 7);
    let led = ShardView { epoch: 5, holder: Some(holder), ..ShardView::default() };
    let before = MemberView { shards: [(only_shard(), led)].into(), ..MemberView::default() };
    for mut view in [before, MemberView::default()] {
        let value = Bytes::from("no json");
        apply_write(&mut view, &KeyItem { key: epoch_key(&only_shard()), value, revision: 40 });
        let led = view.shard(&only_shard());
        expect_that!(led.epoch, eq(40 * EPOCH_STEP));
        expect_that!(led.epoch_revision, eq(40));
        let holder = led.holder;
        expect_that!(holder, some(anything()));
        expect_false!(view.has_ended(&holder));
    }
}

#[gtest]
fn an_unreadable_entry_record_removes_no_other_entry() {
    let mut view = MemberView::default();
    let record = r#"{"address":"127.0.0.1:9","domain":"a","start":7,"processor":0.25}"#;
    for (name, value) in [("e1", record), ("e2", "no json"), ("e3", record), ("e1", "[]")] {
        let item =
            KeyItem { key: format!("{ENTRY_PREFIX}{name}"), value: value.into(), revision: 1 };
        apply_write(&mut view, &item);
    }
    let names: Vec<&str> = view.entries.keys().map(|name| &**name).collect();
    expect_that!(names, eq(&vec!["e1", "e3"]));
}

// A caller may ask for a job's state right after the last task has ended, while the verdict is being stored. With the
// answer that the job still ran, it asked again 0.2 s later on the median.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_state_query_waits_for_a_verdict_that_is_being_stored() {
    let (now, job) = (Instant::now(), GraphId::from("a"));
    let ending = StateUpdate::Ending(GraphState::Running);
    let stored = StateUpdate::Current(GraphState::Completed);
    let mut queries = StateQueries::default();

    let (answer, mut answered) = oneshot::channel();
    queries.answer_or_wait(now, job.clone(), StateUpdate::Current(GraphState::Running), answer);
    expect_that!(answered.try_recv(), ok(eq(&LeaderAnswer::State(GraphState::Running))));

    let (answer, mut answered) = oneshot::channel();
    queries.answer_or_wait(now, job.clone(), ending, answer);
    queries.answer_waiting(now + Duration::from_millis(20), |_| ending);
    expect_that!(answered.try_recv(), err(anything()));
    queries.answer_waiting(now + Duration::from_millis(21), |_| stored);
    expect_that!(answered.try_recv(), ok(eq(&LeaderAnswer::State(GraphState::Completed))));

    // While the store does not answer, the state that it last stored is reported.
    let (answer, mut answered) = oneshot::channel();
    queries.answer_or_wait(now, job, ending, answer);
    queries.answer_waiting(now + Duration::from_millis(300), |_| ending);
    expect_that!(answered.try_recv(), ok(eq(&LeaderAnswer::State(GraphState::Running))));
}

// In a rolling restart, an entry that has restarted will not be stopped again soon. Leadership that was handed to the
// next entry in order had to be handed over again two seconds later.
#[gtest]
fn leadership_is_handed_to_the_strong_entry_that_started_last() {
    let address = |host: &str| format!("127.0.0.{host}:9").parse().unwrap();
    let record = |host, processor, revision| EntryRecord {
        address: address(host),
        domain: "a".into(),
        start: 7,
        processor,
        link_mbps: None,
        revision,
    };
    let entries = [
        ("e1".into(), record("1", 0.25, 3)),
        ("e2".into(), record("2", 0.25, 9)),
        ("e3".into(), record("3", 0.25, 5)),
        ("e4".into(), record("4", 0.05, 12)),
    ];
    let view = MemberView { entries: entries.into(), known: true, ..MemberView::default() };
    let order = view.successors(&only_shard(), &"e1".into());
    expect_that!(order, eq(&["2", "3", "4"].map(address).to_vec()));
}

// The store names the successor before its predecessor has ended. The successor leads once the predecessor reports its
// end or, if the predecessor is lost before that, after a timeout as after any election.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_named_successor_waits_for_the_end_of_its_predecessor() {
    let shared = Arc::new(entry());
    let candidacy = Candidacy::new(shared.clone(), only_shard());
    let own = LeaderRecord {
        entry: shared.settings.name.clone(),
        address: shared.settings.peers,
        start: shared.start,
        epoch: 5,
    };
    let mut view = MemberView { known: true, ..MemberView::default() };
    let led = ShardView { leader: Some(own), epoch: 5, ..ShardView::default() };
    view.shards.insert(only_shard(), led);
    shared.handover_inbox.set_lease(Some(3));
    expect_that!(shared.handover_inbox.expect_term(only_shard(), 4), some(eq(3)));
    expect_that!(matches!(candidacy.store_state(&view, true), CandidacyState::Unchanged), eq(true));
    advance(Duration::from_millis(1_600)).await;
    expect_that!(matches!(candidacy.store_state(&view, true), CandidacyState::Won(_)), eq(true));
    // An entry that leaves has no lease and does not offer to lead.
    shared.handover_inbox.set_lease(None);
    expect_that!(shared.handover_inbox.expect_term(only_shard(), 5), none());
}

// A failure domain was cut off together with the leader. Its entries still reached that leader, which could not store
// anything, so they stayed ready and refused their callers for as long as the partition lasted.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_cut_off_leader_does_not_answer_as_leading() {
    let shared = entry();
    let (input, _receiver) = ring("leader", 4);
    shared.set_leading(&only_shard(), Some(input));
    let shard = only_shard();
    let reach = || ask_own_leader(&shared, &shard, LeaderCall::Reach);
    expect_that!(reach().await, some(eq(&LeaderAnswer::Leading)));
    advance(Duration::from_millis(1_100)).await;
    expect_that!(reach().await, some(eq(&LeaderAnswer::NotLeading)));
    // Another failure domain answers: only the store is unavailable.
    shared.note_peer_answer();
    expect_that!(reach().await, some(eq(&LeaderAnswer::Leading)));
}

// A leader that had been replaced without noticing detected that its timers were late and handed leadership over, with
// the epoch of the new leader, known from the store, as the condition. The named successor considered the new leader
// ended, and in one test run 8 tasks ran in two places.
#[gtest]
fn a_replaced_leader_names_no_successor() {
    let led = ShardView { epoch: 2, epoch_revision: 40, ..ShardView::default() };
    let offer = SuccessorOffer {
        entry: "e3".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        start: 7,
        lease: 3,
    };
    let best = MachineCapacity { processor: 0.25, link_mbps: 200.0 };
    let change = |epoch| succession_change(&only_shard(), &led, epoch, Some(&offer), None, best);
    expect_that!(change(1).is_none(), eq(true));
    let own = change(2).unwrap();
    expect_that!(own.conditions, eq(&vec![(epoch_key(&only_shard()), 40)]));
    expect_that!(
        own.writes.iter().map(|set| set.lease).collect::<Vec<_>>(),
        eq(&vec![Some(3), None])
    );
    // Without a named successor, the leader's key is removed and an election follows.
    let left = succession_change(&only_shard(), &led, 2, None, None, best).unwrap();
    expect_that!(left.removes, eq(&vec![leader_key(&only_shard())]));
}
