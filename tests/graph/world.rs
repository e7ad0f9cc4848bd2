//! Leaders, workers and a store that exchange messages which may be lost, late and out of order.

mod messages;
mod store;
mod trouble;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use kelplink::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

use crate::checker::CrashChecker;
use crate::model::{ModelRun, ModelWorker};
use crate::waiting_checker::WaitingChecker;
use crate::world::messages::Message;
pub(crate) use crate::world::messages::{MessageFaults, OrderFates};
pub(crate) use crate::world::store::ModelStore;

pub(crate) const LONGEST_LEASE: Duration = Duration::from_secs(6);
const BOUNDS: GraphBounds = GraphBounds {
    longest_lease: LONGEST_LEASE,
    retention: Duration::from_secs(120),
    lease_extension_window: Duration::from_secs(7),
};
/// How long after its wait a poll without an answer counts as lost.
const POLL_SLACK: Duration = Duration::from_millis(250);
/// Time from a look at all leaders to the next.
const STEP: Duration = Duration::from_millis(5);
/// How long a call for advice takes where the advisor is quick.
const QUICK_ADVICE: Duration = Duration::from_millis(35);
/// How long a run of a job that has ended may go on where nothing is in the way: two polls of an idle
/// worker, the first of which was lost, and a stop.
const STOPPED_WITHIN: Duration = Duration::from_millis(2_500);
/// How long a cancellation takes to the other shards of a job, where nothing is in the way.
const NOTICE_TIME: Duration = Duration::from_millis(50);
/// A leader is in touch once store and links have been calm for this long.
const CONTACT: Duration = Duration::from_millis(3_000);
/// How often a leader whose store answers is told so.
const RENEWAL: u64 = 500;

pub(crate) struct World {
    pub(crate) rng: StdRng,
    pub(crate) now: Instant,
    begun: Instant,
    pub(crate) faults: MessageFaults,
    /// How many of the next polls do not arrive.
    pub(crate) lost_polls: u32,
    pub(crate) fates: OrderFates,
    /// How many of the next calls for advice have no answer.
    pub(crate) lost_advice: u32,
    domains: u32,
    pub(crate) store: ModelStore,
    pub(crate) plan: Arc<ShardPlan>,
    pub(crate) leaders: BTreeMap<LeaderEpoch, GraphController>,
    /// Shard of each leader.
    led: BTreeMap<LeaderEpoch, ShardId>,
    /// Shard that each job was accepted in.
    index: BTreeMap<GraphId, ShardId>,
    pub(crate) workers: BTreeMap<WorkerId, ModelWorker>,
    pub(crate) answers: BTreeMap<CallId, GraphAnswer>,
    pub(crate) config: Arc<QueueConfig>,
    messages: BTreeMap<(Instant, u64), Message>,
    order: u64,
    last_call: CallId,
    /// Ends that were acknowledged while the worker's lease held.
    noted: BTreeMap<TaskName, Vec<EndKind>>,
    /// Highest run of each task that has begun.
    latest: BTreeMap<TaskName, RunNumber>,
    /// Whether no end may be noted whose task has been begun again.
    pub(crate) strict_notes: bool,
    done: BTreeSet<TaskName>,
    /// When the store took a job's verdict.
    ended: BTreeMap<GraphId, Instant>,
    /// Workers that advice allows every step, where it does not follow from their numbers.
    pub(crate) allowed: Option<BTreeSet<WorkerId>>,
    /// How long callers wait.
    pub(crate) caller_timeout: Duration,
    /// Share of runs that fail, in thousandths.
    pub(crate) failing: u32,
    /// Jobs every run of which fails.
    pub(crate) poison: BTreeSet<GraphId>,
    /// Tasks that crash each worker that starts them, and how long after the start.
    pub(crate) crashers: BTreeMap<TaskName, Duration>,
    /// How long a worker that a task has crashed is away.
    pub(crate) away: Duration,
    /// Whether calls to a worker that is down are refused at once, in place of being left without an answer.
    pub(crate) refusing: bool,
    reborn: u32,
    /// Whether every worker that crashes comes back under its id.
    pub(crate) keeps_all_ids: bool,
    /// Draws which workers come back under their ids, and when; without it all have another.
    pub(crate) instances: Option<StdRng>,
    /// Since when the store is up and no message is lost, late or unanswered.
    calm_since: Instant,
    /// What was seen of crashes and failures.
    pub(crate) checker: CrashChecker,
    /// What was seen of jobs that wait.
    waiting: WaitingChecker,
    pub(crate) begun_runs: u64,
    /// Longest time that a run of an ended job went on where nothing was in the way.
    pub(crate) longest_stop: Duration,
}

pub(crate) fn rule(id: &str, priority: u32, advice: bool) -> QueueRule {
    QueueRule {
        id: id.into(),
        host: "".into(),
        prefix: format!("/{id}/").into(),
        service: "svc".into(),
        priority,
        max_attempts: 4,
        slack: 1.5,
        target: Duration::from_millis(250),
        advice: advice.then_some(AdviceRule {
            call: Duration::from_millis(30),
            each: Duration::from_millis(1),
            valid: Duration::from_millis(2_500),
        }),
    }
}

/// A queue whose advisor takes its time: a call about 30 workers takes 645 ms, a third of a ticket's life.
fn slowly_asked(id: &str, priority: u32) -> QueueRule {
    let advice = AdviceRule {
        call: Duration::from_millis(450),
        each: Duration::from_micros(6_500),
        valid: Duration::from_millis(2_000),
    };
    QueueRule { advice: Some(advice), ..rule(id, priority, false) }
}

pub(crate) fn step(count: u32, cores: u32, millis: u64) -> StepSpec {
    StepSpec {
        count,
        need: ResourceVector::new(cores * 1_000, 1_000, 0),
        estimate: Duration::from_millis(millis),
        ..StepSpec::default()
    }
}

pub(crate) fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Tells a leader of a worker.
fn register(
    plan: &ShardPlan,
    shard: &ShardId,
    leader: &mut GraphController,
    now: Instant,
    registration: WorkerRegistration,
) {
    let place = plan.shard_of(&registration.domain, &registration.rack);
    match place == *shard {
        true => leader.worker_registered(now, registration),
        false => leader.worker_registered_elsewhere(place, registration),
    }
}

/// Number of a job's runs at workers that are up.
pub(crate) fn runs_of(world: &World, job: &str) -> usize {
    let up = world.workers.values().filter(|worker| worker.up);
    let tasks = up.flat_map(|worker| worker.runs.keys());
    tasks.filter(|task| &*task.job == job).count()
}

impl World {
    pub(crate) fn new(seed: u64, workers: u32) -> Self {
        Self::spread(seed, workers, 1)
    }

    /// Workers that take turns among failure domains.
    pub(crate) fn spread(seed: u64, workers: u32, domains: u32) -> Self {
        Self::divided(seed, workers, domains, ShardPlan::undivided())
    }

    /// Workers that take turns among failure domains, each of which is a shard.
    pub(crate) fn sharded(seed: u64, workers: u32, domains: u32) -> Self {
        let shards = (0..domains).map(|domain| (DomainId::from(format!("d{domain}")), 1));
        Self::divided(seed, workers, domains, ShardPlan::by_domain(shards.collect()))
    }

    fn divided(seed: u64, workers: u32, domains: u32, plan: ShardPlan) -> Self {
        let _ = env_logger::Builder::from_env("KELPLINK_LOG").format_timestamp(None).try_init();
        let now = Instant::now();
        let queues = [
            rule("now", 0, false),
            rule("asked", 1, true),
            slowly_asked("watched", 1),
            rule("later", 2, false),
        ];
        let queues = queues.into_iter().map(|rule| (rule.id.clone(), Arc::new(rule))).collect();
        let limits = RequestLimits { body_bytes: 1 << 18, head_time: Duration::from_secs(3) };
        let config = QueueConfig { version: 1, queues, pools: BTreeMap::new(), limits };
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            now,
            begun: now,
            faults: MessageFaults::default(),
            lost_polls: 0,
            fates: OrderFates::default(),
            lost_advice: 0,
            domains,
            store: ModelStore { up: true, ..ModelStore::default() },
            plan: Arc::new(plan),
            leaders: BTreeMap::new(),
            led: BTreeMap::new(),
            index: BTreeMap::new(),
            workers: BTreeMap::new(),
            answers: BTreeMap::new(),
            config: Arc::new(config),
            messages: BTreeMap::new(),
            order: 0,
            last_call: 0,
            noted: BTreeMap::new(),
            latest: BTreeMap::new(),
            strict_notes: true,
            done: BTreeSet::new(),
            ended: BTreeMap::new(),
            allowed: None,
            caller_timeout: Duration::from_secs(3),
            failing: 0,
            poison: BTreeSet::new(),
            crashers: BTreeMap::new(),
            away: Duration::from_secs(3),
            refusing: false,
            reborn: 0,
            keeps_all_ids: false,
            instances: None,
            calm_since: now,
            checker: CrashChecker::default(),
            waiting: WaitingChecker::default(),
            begun_runs: 0,
            longest_stop: Duration::ZERO,
        };
        for number in 0..workers {
            world.add_worker(number, 0);
        }
        for shard in world.plan.shards() {
            world.elect_in(&shard);
        }
        world
    }

    pub(crate) fn unix(&self) -> UnixMillis {
        1_000_000 + self.now.saturating_duration_since(self.begun).as_millis() as u64
    }

    /// Starts a worker, or another life of it at the same address.
    pub(crate) fn add_worker(&mut self, number: u32, instance: u32) {
        let id: WorkerId = format!("w{number}-{instance}").into();
        let registration = WorkerRegistration {
            id: id.clone(),
            instance_start: Some(self.unix()),
            address: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
            service: "svc".into(),
            domain: format!("d{}", number % self.domains).into(),
            rack: format!("r1-{}", number / 4).into(),
            labels: vec![format!("r1-{}", number / 4).into()],
            machine: None,
            capacity: ResourceVector::new(8_000, 16_000, 0),
            leaving: None,
        };
        let rate = self.rng.random_range(980..=1_000);
        let before = self
            .workers
            .values()
            .filter(|worker| worker.registration.address == registration.address);
        for worker in before.filter(|worker| worker.up) {
            worker.runs.keys().for_each(|task| self.checker.note_crash(worker, task));
        }
        self.workers.retain(|_, worker| worker.registration.address != registration.address);
        self.workers.insert(id, ModelWorker::new(registration.clone(), self.now, rate));
        for (epoch, leader) in &mut self.leaders {
            register(&self.plan, &self.led[epoch], leader, self.now, registration.clone());
        }
    }

    /// A new leader takes over; earlier ones may go on without knowing.
    pub(crate) fn elect(&mut self) -> LeaderEpoch {
        let shard = self.plan.shards()[0].clone();
        self.elect_in(&shard)
    }

    /// A new leader takes over a shard; earlier ones may go on without knowing.
    pub(crate) fn elect_in(&mut self, shard: &ShardId) -> LeaderEpoch {
        self.store.epoch += 1;
        let epoch = self.store.epoch;
        let stored = self.store.shards.entry(shard.clone()).or_default();
        stored.epoch = epoch;
        let workers = match (self.store.spoilt, self.plan.is_divided()) {
            (true, _) => Vec::new(),
            (false, true) => stored.workers.clone(),
            (false, false) => self.store.workers.clone(),
        };
        let own = self.store.jobs.values().filter(|(record, _)| {
            self.index.get(&record.spec.id).is_none_or(|place| place == shard)
        });
        let parts = stored.parts.values();
        let notices: Vec<(NoticeKind, GraphId)> = stored.notices.keys().cloned().collect();
        let state = RestoredState {
            jobs: own.chain(parts).cloned().collect(),
            workers,
            unknown_workers: self.store.spoilt,
        };
        let scope = ShardScope::new(self.plan.clone(), shard.clone());
        let mut leader =
            GraphController::new(self.now, self.unix(), epoch, BOUNDS, state).with_scope(scope);
        leader.set_config(self.config.clone());
        leader.set_entries((0..5).map(|entry| EntryId::from(format!("e{entry}"))).collect());
        leader.note_lease_renewal(self.now);
        for worker in self.workers.values().filter(|worker| worker.up) {
            register(&self.plan, shard, &mut leader, self.now, worker.registration.clone());
        }
        self.led.insert(epoch, shard.clone());
        self.leaders.insert(epoch, leader);
        for (kind, job) in notices {
            self.post(STEP, Message::Notice { leader: epoch, kind, job });
        }
        epoch
    }

    /// Whether a leader is the last that was elected in its shard.
    fn is_current(&self, epoch: LeaderEpoch) -> bool {
        let shard = self.led.get(&epoch).and_then(|shard| self.store.shards.get(shard));
        shard.is_some_and(|shard| shard.epoch == epoch)
    }

    /// The leader that was elected last in a shard.
    pub(crate) fn epoch_in(&self, shard: &ShardId) -> LeaderEpoch {
        self.store.shards[shard].epoch
    }

    pub(crate) fn leader_in(&mut self, shard: &ShardId) -> Option<&mut GraphController> {
        let epoch = self.epoch_in(shard);
        self.leaders.get_mut(&epoch)
    }

    /// Submits a job in a shard; it goes elsewhere where that is better.
    pub(crate) fn submit_in(
        &mut self,
        shard: &ShardId,
        queue: &str,
        id: &str,
        steps: Vec<StepSpec>,
    ) -> CallId {
        let record = self.record(queue, id, steps, None);
        self.last_call += 1;
        let (now, call, caller_timeout) = (self.now, self.last_call, self.caller_timeout);
        if let Some(leader) = self.leader_in(shard) {
            leader.submit(now, call, call, caller_timeout, record);
        }
        call
    }

    pub(crate) fn cancel_in(&mut self, shard: &ShardId, id: &str) -> CallId {
        self.last_call += 1;
        let (now, unix, call) = (self.now, self.unix(), self.last_call);
        if let Some(leader) = self.leader_in(shard) {
            leader.cancel(now, unix, call, &id.into());
        }
        call
    }

    /// All accepted jobs, and where.
    pub(crate) fn jobs_by_shard(&self) -> Vec<(String, ShardId)> {
        self.index.iter().map(|(id, shard)| (id.to_string(), shard.clone())).collect()
    }

    /// A job's state as the leader that accepted it tells it.
    pub(crate) fn state_in(&mut self, id: &str) -> Option<GraphState> {
        let id: GraphId = id.into();
        let shard = self.index.get(&id)?.clone();
        let job = self.leader_in(&shard)?.jobs().get(&id)?;
        job.durable.then(|| job.state())
    }

    pub(crate) fn leader(&mut self) -> Option<&mut GraphController> {
        self.leaders.get_mut(&self.store.epoch)
    }

    pub(crate) fn submit(&mut self, queue: &str, id: &str, steps: Vec<StepSpec>) -> CallId {
        self.submit_repeated(queue, id, steps, None)
    }

    pub(crate) fn submit_repeated(
        &mut self,
        queue: &str,
        id: &str,
        steps: Vec<StepSpec>,
        repeat: Option<RepeatRule>,
    ) -> CallId {
        let record = self.record(queue, id, steps, repeat);
        self.last_call += 1;
        let (now, call) = (self.now, self.last_call);
        let caller_timeout = self.caller_timeout;
        if let Some(leader) = self.leader() {
            leader.submit(now, call, call, caller_timeout, record);
        }
        call
    }

    fn record(
        &self,
        queue: &str,
        id: &str,
        steps: Vec<StepSpec>,
        repeat: Option<RepeatRule>,
    ) -> GraphRecord {
        GraphRecord {
            spec: GraphSpec {
                id: id.into(),
                queue: queue.into(),
                payload: "run".into(),
                steps,
                repeat,
                accepted: self.unix(),
            },
            rule: (*self.config.queues[queue]).clone(),
            home: None,
            share: None,
        }
    }

    pub(crate) fn cancel(&mut self, id: &str) -> CallId {
        self.last_call += 1;
        let (now, unix, call) = (self.now, self.unix(), self.last_call);
        if let Some(leader) = self.leader() {
            leader.cancel(now, unix, call, &id.into());
        }
        call
    }

    pub(crate) fn state(&mut self, id: &str) -> Option<GraphState> {
        let id: GraphId = id.into();
        let job = self.leader()?.jobs().get(&id)?;
        job.durable.then(|| job.state())
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let now = self.now;
            for worker in self.workers.values_mut().filter(|worker| worker.up) {
                worker.pass(now);
            }
            self.note_done();
            while let Some(entry) = self.messages.first_entry() {
                if entry.key().0 > now {
                    break;
                }
                let message = entry.remove();
                self.deliver(message);
            }
            self.tick();
            self.check_stopped();
            self.check_waiting();
        }
    }

    fn tick(&mut self) {
        let (now, unix) = (self.now, self.unix());
        if !(self.store.up && self.faults.none()) {
            self.calm_since = now;
        }
        let renewal = unix % RENEWAL < STEP.as_millis() as u64 && self.store.up;
        let mut actions = Vec::new();
        for (epoch, leader) in &mut self.leaders {
            let shard = &self.store.shards[&self.led[epoch]];
            if renewal && *epoch == shard.epoch {
                leader.note_lease_renewal(now);
            }
            if leader.next_due(now) <= now {
                leader.tick(now, unix);
            }
            actions.extend(leader.take_actions().into_iter().map(|action| (*epoch, action)));
        }
        self.leaders.retain(|_, leader| !leader.deposed());
        for (epoch, action) in actions {
            self.execute(epoch, action);
        }
    }

    fn post(&mut self, after: Duration, message: Message) {
        self.order += 1;
        self.messages.insert((self.now + after, self.order), message);
    }

    fn way(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(500..8_000))
    }

    fn chance(&mut self, permille: u32) -> bool {
        self.rng.random_range(0..1_000) < permille
    }

    fn execute(&mut self, epoch: LeaderEpoch, action: GraphAction) {
        let way = self.way();
        match action {
            GraphAction::Poll { worker, until, acked, wait, .. } => {
                let doomed = self.lost_polls > 0;
                self.lost_polls = self.lost_polls.saturating_sub(1);
                if doomed || self.chance(self.faults.lost) {
                    let result = Err(CallFailure::NoAnswer);
                    let lost = Message::Polled { leader: epoch, worker, result };
                    return self.post(wait + POLL_SLACK, lost);
                }
                self.post(way, Message::Poll { epoch, worker, until, acked, wait });
            }
            GraphAction::Start(order) => {
                let instance = InstanceId::new(order.worker.clone(), order.instance_start);
                let (task, run) = (order.task.clone(), order.run);
                let sent = self.now;
                let message = |answered| Message::Start { epoch, order, sent, answered };
                let answered = match self.fates.starts.pop_front() {
                    Some(late) => self.delay_order(late, message),
                    None => self.send_order(way, message),
                };
                if !answered {
                    let result = Err(CallFailure::NoAnswer);
                    let lost = Message::Started { leader: epoch, instance, task, run, result };
                    self.post(Duration::from_millis(450), lost);
                }
            }
            GraphAction::Stop { worker, instance_start, task, run, .. } => {
                let instance = InstanceId::new(worker, instance_start);
                let (to, name) = (instance.clone(), task.clone());
                let message =
                    |answered| Message::Stop { epoch, instance: to, task: name, run, answered };
                let lost = self.fates.lost_stops > 0;
                self.fates.lost_stops = self.fates.lost_stops.saturating_sub(1);
                let answered = match lost {
                    true => self.delay_order(None, message),
                    false => self.send_order(way, message),
                };
                if !answered {
                    let result = Err(CallFailure::NoAnswer);
                    let lost = Message::Stopped { leader: epoch, instance, task, run, result };
                    self.post(Duration::from_millis(450), lost);
                }
            }
            GraphAction::Throttle { .. } => {}
            GraphAction::Advise(call) if self.lost_advice > 0 => {
                self.lost_advice -= 1;
                let now = self.now;
                if let Some(leader) = self.leaders.get_mut(&epoch) {
                    leader.handle_advice(now, call.id, None);
                }
            }
            GraphAction::Advise(call) => {
                let time = self.advice_time(&call);
                self.post(time, Message::Advised { leader: epoch, call });
            }
            GraphAction::Commit(group) => self.post(way, Message::Commit { epoch, group }),
            GraphAction::Answer(call, answer) => {
                self.answers.insert(call, answer);
            }
        }
    }

    fn advice_time(&mut self, call: &AdviceCall) -> Duration {
        let workers = u32::try_from(call.workers.len()).unwrap();
        let job = self.leader().and_then(|leader| leader.jobs().get(&call.key.0));
        match job.and_then(|job| job.rule.advice) {
            Some(rule) if rule.call > QUICK_ADVICE => rule.call + rule.each * workers,
            _ => QUICK_ADVICE,
        }
    }

    /// Has an order carried out late or never; it will not be answered.
    fn delay_order(
        &mut self,
        late: Option<Duration>,
        message: impl FnOnce(bool) -> Message,
    ) -> bool {
        if let Some(late) = late {
            self.post(late, message(false));
        }
        false
    }

    /// Sends an order, loses it, or has it carried out late; tells whether it will be answered.
    fn send_order(&mut self, way: Duration, message: impl FnOnce(bool) -> Message) -> bool {
        if self.chance(self.faults.lost) {
            return false;
        }
        if self.chance(self.faults.late) {
            let late = Duration::from_millis(self.rng.random_range(2_000..12_000));
            let order = message(false);
            let (Message::Start { order: StartCommand { worker, .. }, .. }
            | Message::Stop { instance: InstanceId { worker, .. }, .. }) = &order
            else {
                panic!("{order:?} is no order");
            };
            let worker = worker.clone();
            let instance_start =
                self.workers.get(&worker).and_then(|worker| worker.registration.instance_start);
            self.post(late, Message::Late { worker, instance_start, order: Box::new(order) });
            return false;
        }
        let answered = !self.chance(self.faults.unanswered);
        self.post(way, message(answered));
        answered
    }

    fn deliver(&mut self, message: Message) {
        let (now, unix) = (self.now, self.unix());
        match message {
            Message::Poll { epoch, worker, until, acked, wait } => {
                self.handle_poll_result(epoch, worker, until, acked, wait);
            }
            Message::PollArrives { leader, worker, instance_start, acked, until } => {
                self.look(leader, worker, instance_start, acked, until)
            }
            Message::Start { epoch, order, sent, answered } => {
                self.start(epoch, order, sent, answered);
            }
            Message::Stop { epoch, instance, task, run, answered } => {
                self.stop(epoch, instance, task, run, answered);
            }
            Message::Commit { epoch, group } => self.commit(epoch, group),
            Message::Stored { leader, number, taken } => {
                if let Some(leader) = self.leaders.get_mut(&leader) {
                    leader.handle_group_partly_stored(now, number, &taken);
                }
            }
            Message::Notice { leader, kind, job } => {
                let stored = self.led.get(&leader).and_then(|shard| self.store.shards.get(shard));
                let record = stored.and_then(|shard| shard.notices.get(&(kind, job.clone())));
                let record = record.cloned().flatten();
                if let Some(leader) = self.leaders.get_mut(&leader) {
                    match (kind, record) {
                        (NoticeKind::Start, Some(record)) => leader.take_share(now, record),
                        (NoticeKind::Cancel, _) => leader.cancel_share(now, unix, &job),
                        (NoticeKind::Fail, _) => leader.fail_shared(now, unix, &job),
                        (NoticeKind::Start, None) => {}
                    }
                }
            }
            Message::Polled { leader, worker, result } => {
                if let Some(leader) = self.leaders.get_mut(&leader) {
                    leader.handle_poll_result(now, unix, &worker, result);
                }
            }
            Message::Started { leader, instance, task, run, result } => {
                if let Some(leader) = self.leaders.get_mut(&leader) {
                    leader.handle_start_result(now, &instance, &task, run, result);
                }
            }
            Message::Stopped { leader, instance, task, run, result } => {
                if let Some(leader) = self.leaders.get_mut(&leader) {
                    leader.handle_stop_result(now, &instance, &task, run, result);
                }
            }
            Message::Crash { worker, task } => {
                let runs = self.workers.get(&worker).is_some_and(|at| at.runs.contains_key(&task));
                if runs {
                    self.crash(&worker);
                }
            }
            Message::Unlisted { worker } => {
                if self.workers.contains_key(&worker) {
                    for leader in self.leaders.values_mut() {
                        leader.worker_unregistered(now, &worker);
                    }
                }
            }
            Message::Reborn { worker } => self.reborn(&worker),
            Message::Restart { worker } => self.restart(&worker),
            Message::Late { worker, instance_start, order } => {
                let instance =
                    self.workers.get(&worker).map(|worker| worker.registration.instance_start);
                if instance.is_none_or(|instance| instance == instance_start) {
                    self.deliver(*order);
                }
            }
            Message::Heartbeat { worker } => self.heartbeat(&worker),
            Message::Advised { leader, call } => {
                // One worker in eight is not allowed, so that every step that a run submits can run.
                // Where there are several shards, one in eight of each.
                let divisor = if self.plan.is_divided() { self.domains } else { 1 };
                let digits = if self.plan.is_divided() { 2 } else { 1 };
                let number = |worker: &str| {
                    let text = worker[1..=digits].trim_end_matches('-');
                    text.parse::<u32>().unwrap_or(0) / divisor
                };
                let job = call.key.0.bytes().map(u32::from).sum::<u32>();
                let denied = |worker: &WorkerId| match &self.allowed {
                    Some(allowed) => !allowed.contains(worker),
                    None => (number(worker) + job) % 8 == 0,
                };
                let allowed = call.workers.iter().filter(|worker| !denied(worker));
                let allowed = allowed.map(|worker| (worker.clone(), "t".into())).collect();
                if let Some(leader) = self.leaders.get_mut(&leader) {
                    leader.handle_advice(now, call.id, Some(allowed));
                }
            }
        }
    }

    fn reachable(&mut self, worker: &WorkerId) -> Option<&mut ModelWorker> {
        self.workers.get_mut(worker).filter(|worker| worker.up && worker.reached)
    }

    fn handle_poll_result(
        &mut self,
        epoch: LeaderEpoch,
        id: WorkerId,
        until: Option<Duration>,
        acked: u64,
        wait: Duration,
    ) {
        let now = self.now;
        let replaced = !self.workers.contains_key(&id);
        let Some(worker) = self.reachable(&id) else {
            let (failure, after) = match replaced {
                true => (CallFailure::Refused(WorkerRefusal::OtherLife), STEP),
                false => self.failure_at(&id, wait + Duration::from_millis(600)),
            };
            let result = Err(failure);
            return self.post(after, Message::Polled { leader: epoch, worker: id, result });
        };
        if let Err(refusal) = worker.fenced(epoch) {
            let result = Err(CallFailure::Refused(refusal));
            return self.post(STEP, Message::Polled { leader: epoch, worker: id, result });
        }
        worker.pass(now);
        let held = worker.clock(now) <= worker.lease;
        if let Some(until) = until {
            worker.extend(until, now, LONGEST_LEASE);
        }
        let acknowledged: Vec<EndReport> =
            worker.ends.iter().filter(|end| end.number <= acked).cloned().collect();
        let lapses = worker.ends.iter().filter(|end| end.kind == EndKind::Lapsed);
        let last_lease_expiry = lapses.map(|end| end.number).max().unwrap_or(0);
        worker.ends.retain(|end| end.number > acked);
        for end in acknowledged {
            // A lease that ends with nothing running leaves no trace: such an end stands for good.
            let begun_again = self.latest.get(&end.task).is_some_and(|run| *run > end.run);
            let step = self.store.jobs.get(&end.task.job);
            let step = step.map(|(record, _)| &record.spec.steps[end.task.key.step.step as usize]);
            let counts = end.kind == EndKind::Done && step.is_some_and(|step| !step.lasting);
            assert!(
                !counts || end.number < last_lease_expiry || !begun_again || !self.strict_notes,
                "the end of {} run {} is noted after it was begun again",
                end.task,
                end.run
            );
            if held {
                self.noted.entry(end.task).or_default().push(end.kind);
            }
        }
        let instance_start = self.workers[&id].registration.instance_start;
        self.look(epoch, id, instance_start, acked, now + wait);
    }

    fn look(
        &mut self,
        leader: LeaderEpoch,
        id: WorkerId,
        instance_start: InstanceStart,
        acked: u64,
        until: Instant,
    ) {
        let (now, way) = (self.now, self.way());
        let lost = self.chance(self.faults.unanswered);
        let same_instance =
            |worker: &&mut ModelWorker| worker.registration.instance_start == instance_start;
        let Some(worker) = self.reachable(&id).filter(same_instance) else {
            let (failure, after) = match self.failure_at(&id, Duration::from_millis(600)) {
                // The call was under way when the worker went.
                (CallFailure::NothingThere, after) => (CallFailure::NoAnswer, after),
                silent => silent,
            };
            let result = Err(failure);
            return self.post(after, Message::Polled { leader, worker: id, result });
        };
        worker.pass(now);
        if worker.ends.iter().all(|end| end.number <= acked) && now < until {
            return self.post(
                STEP,
                Message::PollArrives { leader, worker: id, instance_start, acked, until },
            );
        }
        let result = match lost {
            true => Err(CallFailure::NoAnswer),
            false => Ok(worker.report(now, acked)),
        };
        let way = if lost { Duration::from_millis(600) } else { way };
        self.post(way, Message::Polled { leader, worker: id, result });
    }

    fn start(&mut self, epoch: LeaderEpoch, order: StartCommand, sent: Instant, answered: bool) {
        let now = self.now;
        let (id, task, run) = (order.worker.clone(), order.task.clone(), order.run);
        let instance = InstanceId::new(id.clone(), order.instance_start);
        let fails = self.poison.contains(&task.job) || self.chance(self.failing);
        let step = self
            .store
            .jobs
            .get(&task.job)
            .map(|(record, _)| record.spec.steps[task.key.step.step as usize].clone());
        let step = step.unwrap_or_else(|| panic!("{task} is started and was never accepted"));
        let result = match self.reachable(&id) {
            None => Err(self.failure_at(&id, Duration::ZERO).0),
            Some(worker) => {
                worker.pass(now);
                let refused = match worker.fenced(epoch) {
                    Err(refusal) => Some(refusal),
                    Ok(()) if worker.clock(now) >= order.until => Some(WorkerRefusal::Late),
                    Ok(()) if worker.closed.get(&task).is_some_and(|closed| *closed >= run) => {
                        Some(WorkerRefusal::OldRun)
                    }
                    Ok(()) => worker.refuses,
                };
                match refused {
                    Some(refusal) => Err(CallFailure::Refused(refusal)),
                    None => {
                        worker.extend(order.until, now, LONGEST_LEASE);
                        let clock = worker.clock(now);
                        let known = worker.runs.get(&task).is_some_and(|known| known.run >= run);
                        if !known {
                            let entry = ModelRun {
                                run,
                                need: step.reservation(),
                                begun: now,
                                declared_run_time: step.estimate,
                                fails: fails || worker.spoils,
                                stops: None,
                            };
                            worker.runs.insert(task.clone(), entry);
                            let latest = self.latest.entry(task.clone()).or_default();
                            *latest = run.max(*latest);
                            let current =
                                self.store.shards.values().any(|shard| shard.epoch == epoch);
                            self.check_start(&id, &task, &step, sent, current);
                            if let Some(after) = self.crashers.get(&task).copied() {
                                let crash =
                                    Message::Crash { worker: id.clone(), task: task.clone() };
                                self.post(after, crash);
                            }
                        }
                        Ok(clock)
                    }
                }
            }
        };
        if answered {
            let failed = result == Err(CallFailure::NoAnswer);
            let after = if failed { Duration::from_millis(450) } else { self.way() };
            self.post(after, Message::Started { leader: epoch, instance, task, run, result });
        }
    }

    fn stop(
        &mut self,
        epoch: LeaderEpoch,
        instance: InstanceId,
        task: TaskName,
        run: RunNumber,
        answered: bool,
    ) {
        let (now, id) = (self.now, instance.worker.clone());
        let result = match self.reachable(&id) {
            None => Err(self.failure_at(&id, Duration::ZERO).0),
            Some(worker) => match worker.fenced(epoch) {
                Err(refusal) => Err(CallFailure::Refused(refusal)),
                Ok(()) => {
                    if let Some(entry) = worker.runs.get_mut(&task).filter(|entry| entry.run <= run)
                    {
                        entry.stops = Some(now + Duration::from_millis(200));
                    }
                    worker.close(&task, run);
                    Ok(worker.clock(now))
                }
            },
        };
        if answered {
            let failed = result == Err(CallFailure::NoAnswer);
            let after = if failed { Duration::from_millis(450) } else { self.way() };
            self.post(after, Message::Stopped { leader: epoch, instance, task, run, result });
        }
    }

    fn commit(&mut self, epoch: LeaderEpoch, group: CommitGroup) {
        if !self.store.up && self.store.refuses {
            let now = self.now;
            if let Some(leader) = self.leaders.get_mut(&epoch) {
                leader.handle_group_refused(now, group.number);
            }
            return;
        }
        if !self.store.up {
            return self.post(Duration::from_millis(60), Message::Commit { epoch, group });
        }
        if !self.is_current(epoch) {
            self.leaders.remove(&epoch);
            return;
        }
        self.store.groups += 1;
        let number = group.number;
        let shard = self.led[&epoch].clone();
        let mut taken = Vec::new();
        for record in group.added {
            let id = record.spec.id.clone();
            let stored = self.store.shards.entry(shard.clone()).or_default();
            if record.share.as_ref().is_some_and(|share| share.owner != shard) {
                stored.notices.remove(&(NoticeKind::Start, id.clone()));
                stored.parts.insert(id, (record, GraphProgress::default()));
                continue;
            }
            if self.index.contains_key(&id) {
                taken.push(id);
                continue;
            }
            self.index.insert(id.clone(), shard.clone());
            self.store.jobs.insert(id, (record, GraphProgress::default()));
        }
        for notice in group.notices {
            let key = (notice.kind, notice.job.clone());
            self.store
                .shards
                .entry(notice.shard.clone())
                .or_default()
                .notices
                .insert(key, notice.record.clone());
            let followers = self.led.iter().filter(|(_, place)| **place == notice.shard);
            let followers: Vec<LeaderEpoch> = followers.map(|(epoch, _)| *epoch).collect();
            for leader in followers {
                let (kind, job, way) = (notice.kind, notice.job.clone(), self.way());
                self.post(way, Message::Notice { leader, kind, job });
            }
        }
        for (job, kind) in group.settled {
            self.store.shards.entry(shard.clone()).or_default().notices.remove(&(kind, job));
        }
        for (id, progress) in group.progress {
            if progress.verdict.is_some() {
                self.ended.entry(id.clone()).or_insert(self.now);
            }
            if progress.verdict == Some(GraphVerdict::Failed)
                && let Some((record, _)) = self.store.jobs.get(&id)
            {
                self.checker.check_failed(record);
            }
            let stored = self.store.shards.entry(shard.clone()).or_default();
            match stored.parts.get_mut(&id) {
                Some(part) => part.1 = progress,
                None => {
                    if let Some(job) = self.store.jobs.get_mut(&id) {
                        job.1 = progress;
                    }
                }
            }
        }
        for id in group.removed {
            let stored = self.store.shards.entry(shard.clone()).or_default();
            if stored.parts.remove(&id).is_none() {
                self.store.jobs.remove(&id);
            }
        }
        if let Some(workers) = group.workers {
            self.store.shards.entry(shard.clone()).or_default().workers = workers.clone();
            self.store.workers = workers;
        }
        let way = self.way() + self.store.slowness;
        self.post(way, Message::Stored { leader: epoch, number, taken });
    }

    fn note_done(&mut self) {
        for worker in self.workers.values() {
            let done = worker.ends.iter().filter(|end| end.kind == EndKind::Done);
            self.done.extend(done.map(|end| end.task.clone()));
            for end in worker.ends.iter().filter(|end| end.kind == EndKind::Failed) {
                self.checker.note_failure(&end.task, end.run);
            }
        }
    }

    /// No run of a job that has ended in the store goes on at a worker that can be reached, wherever it
    /// was begun, and by whom.
    fn check_stopped(&mut self) {
        let led = self.store.shards.values().all(|shard| self.leaders.contains_key(&shard.epoch));
        let calm = led && self.store.up && self.faults.none();
        for worker in self.workers.values_mut().filter(|worker| worker.up) {
            if !(calm && worker.reached) {
                worker.calm_since = self.now;
            }
            for (task, run) in &worker.runs {
                let Some(ended) = self.ended.get(&task.job) else {
                    continue;
                };
                let since = run.begun.max(*ended).max(worker.calm_since);
                let goes_on = self.now.saturating_duration_since(since);
                let id = &worker.registration.id;
                self.longest_stop = self.longest_stop.max(goes_on);
                assert!(goes_on <= STOPPED_WITHIN, "{task} run {} goes on at {id}", run.run);
            }
        }
    }

    /// What the last leader of each shard tells callers of jobs that wait, and of those that do not any more.
    fn check_waiting(&mut self) {
        for shard in self.store.shards.values() {
            let Some(leader) = self.leaders.get(&shard.epoch) else {
                continue;
            };
            let Some(first) = self.waiting.due(self.now, shard.epoch) else {
                continue;
            };
            let tasks = self.workers.values().flat_map(|worker| worker.runs.keys());
            tasks.for_each(|task| self.waiting.note_begun(task));
            self.waiting.check_waiting(leader);
            let claimed = |worker: &&ModelWorker| {
                let instance = leader.instances().get(worker.id());
                worker.up
                    && worker.reached
                    && instance.is_some_and(|instance| instance.claimed && instance.registered)
            };
            for worker in self.workers.values().filter(claimed) {
                let clear = self.calm_since.max(worker.calm_since).max(first);
                for (task, run) in &worker.runs {
                    let clear = self.now.saturating_duration_since(clear.max(run.begun));
                    self.waiting.check_shown(leader, task, clear);
                }
            }
        }
    }

    /// What must hold whenever a task begins.
    fn check_start(
        &mut self,
        id: &WorkerId,
        task: &TaskName,
        step: &StepSpec,
        sent: Instant,
        current: bool,
    ) {
        self.begun_runs += 1;
        self.waiting.note_begun(task);
        self.note_done();
        let worker = &self.workers[id];
        let used = worker.used();
        assert!(used.fits(&worker.most_room(sent)), "{id} holds {used:?} after {task}");
        if let Some(most) = step.max_per_worker {
            let same = |other: &&TaskName| other.job == task.job && other.key.step == task.key.step;
            let here = worker.runs.keys().filter(same).count();
            assert!(here <= most as usize, "{here} tasks beside {task} on {id}, at most {most}");
        }
        let places =
            self.workers.values().filter(|worker| worker.up && worker.runs.contains_key(task));
        let places: Vec<&WorkerId> = places.map(ModelWorker::id).collect();
        assert_eq!(places.len(), 1, "{task} runs on {places:?}");
        let noted = self.noted.get(task).cloned().unwrap_or_default();
        assert!(
            step.lasting || !noted.contains(&EndKind::Done),
            "{task} is begun again after its end was noted"
        );
        let failed = noted.iter().filter(|kind| **kind == EndKind::Failed).count();
        let (record, progress) = &self.store.jobs[&task.job];
        assert!(
            step.lasting || failed < record.rule.max_attempts as usize,
            "{task} has failed {failed} times"
        );
        let in_touch = current && self.now.saturating_duration_since(self.calm_since) >= CONTACT;
        if in_touch && self.crashers.contains_key(task) {
            self.checker.check_start(task);
        }
        if let Some(ended) = self.ended.get(&task.job).filter(|_| current) {
            // The owner's notice to the other shards of a job is on its way.
            let way = if record.share.is_some() { NOTICE_TIME } else { Duration::ZERO };
            assert!(
                sent <= *ended + way,
                "{task} is started after {:?} was stored",
                progress.verdict
            );
        }
        for before in &step.after {
            let earlier = &record.spec.steps[*before as usize];
            let done = |index: u32| {
                let key = TaskKey { step: StepKey { step: *before, ..task.key.step }, index };
                self.done.contains(&TaskName::new(task.job.clone(), key))
            };
            // The members of a gang end together: one end stands for all.
            let all = match earlier.gang {
                true => (0..earlier.count).any(done),
                false => (0..earlier.count).all(done),
            };
            assert!(all, "{task} is begun before step {before} is done");
        }
    }
}
