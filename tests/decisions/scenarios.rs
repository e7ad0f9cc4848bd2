//! Scripted scenarios in a small test language, one file each in `tests/scenarios`.
//!
//! `UPDATE_GOLDENFILES=1 cargo test --test decisions scenarios` writes the actual output into the files; review
//! the difference before committing it.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::Write;
use std::str::FromStr;
use std::time::Duration;

use goldenscript::{ArgumentConsumer, Command, Context, Runner};
use googletest::prelude::*;
use kelplink::{
    CallRefusal, ClientAnswer, ClientCall, ConfirmRefusal, CutOffRule, DomainEvent, EntryId,
    IntentSpec, JobId, JobKind, JobRequest, JobView, KeyAnswer, KeyState, PlanDocument,
    PlanRequest, ResourceVector, RouteOutcome, SlotRequest, SpreadRule, StoreFault, StoredAnswer,
    Urgency,
};

use crate::world::{Entry, World};

type Outcome = std::result::Result<String, Box<dyn Error>>;

/// Time limit for an answer.
const ANSWER_TIME: Duration = Duration::from_secs(15);

#[derive(Default)]
struct Scenario {
    world: Option<World>,
    plans: BTreeMap<String, PlanDocument>,
    requests: u64,
}

/// Takes and parses an argument by its name.
fn take_argument<T: FromStr>(
    args: &mut ArgumentConsumer<'_>,
    key: &str,
) -> std::result::Result<Option<T>, Box<dyn Error>>
where
    T::Err: Error + 'static,
{
    Ok(args.take_key(key).map(str::parse).transpose()?)
}

fn parse_duration(text: &str) -> std::result::Result<Duration, Box<dyn Error>> {
    let (number, unit) =
        text.split_at(text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len()));
    let number: u64 = number.parse()?;
    match unit {
        "ms" => Ok(Duration::from_millis(number)),
        "s" => Ok(Duration::from_secs(number)),
        "m" => Ok(Duration::from_secs(60 * number)),
        other => Err(format!("unit {other:?}: expected ms, s or m").into()),
    }
}

impl Scenario {
    fn world(&mut self) -> std::result::Result<&mut World, Box<dyn Error>> {
        self.world.as_mut().ok_or_else(|| "the first command must be `cluster`".into())
    }

    /// The entry with this name; `leader.a` is the leader of failure domain `a`, `follower.a` another entry
    /// of it.
    fn entry(&mut self, name: &str) -> std::result::Result<EntryId, Box<dyn Error>> {
        let world = self.world()?;
        let leaders = world.leaders();
        let found = match name.split_once('.') {
            Some(("leader", domain)) => leaders.get(domain).and_then(|all| all.first().cloned()),
            Some(("follower", domain)) => {
                let led = leaders.get(domain).ok_or("no such domain")?;
                let mut own = world.entries.keys().filter(|entry| entry.starts_with(domain));
                own.find(|entry| !led.contains(entry)).cloned()
            }
            _ => Some(name.into()),
        };
        found.ok_or_else(|| format!("no entry {name}").into())
    }

    fn ask(
        &mut self,
        entry: &str,
        call: ClientCall,
    ) -> std::result::Result<ClientAnswer, Box<dyn Error>> {
        let entry = self.entry(entry)?;
        self.world()?.ask(&entry, call, ANSWER_TIME).ok_or_else(|| "no answer".into())
    }

    /// `cluster domains=1 entries=3 workers=4 seed=1`
    fn cluster(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let domains = take_argument(&mut args, "domains")?.unwrap_or(1);
        let entries = take_argument(&mut args, "entries")?.unwrap_or(3);
        let workers = take_argument(&mut args, "workers")?.unwrap_or(4);
        let seed = take_argument(&mut args, "seed")?.unwrap_or(1);
        args.reject_next()?;
        self.world = Some(World::new(seed, domains, entries, workers));
        Ok(String::new())
    }

    fn advance_time(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let time = parse_duration(args.next_pos().ok_or("a time is missing")?)?;
        args.reject_next()?;
        self.world()?.run(time);
        Ok(String::new())
    }

    /// `kill a0`, `start a0` or `start all`, `pause a0`, `resume a0`, `leave a0`
    fn change_entry(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let name = args.next_pos().ok_or("an entry is missing")?;
        args.reject_next()?;
        if (command.name.as_str(), name) == ("start", "all") {
            let world = self.world()?;
            let down = world.all_entries().into_iter().filter(|e| !world.entries.contains_key(e));
            down.collect::<Vec<_>>().iter().for_each(|entry| world.start(entry));
            return Ok(String::new());
        }
        let entry = self.entry(name)?;
        let world = self.world()?;
        match command.name.as_str() {
            "kill" => world.kill(&entry),
            "start" => world.start(&entry),
            "pause" => world.pause(&entry),
            "resume" => world.resume(&entry),
            _ => world.handle_event(&entry, DomainEvent::Drain),
        }
        Ok(String::new())
    }

    /// `store down|up|lost-answers`
    fn store(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let state = args.next_pos().ok_or("a store state is missing")?.to_owned();
        args.reject_next()?;
        let fault = match state.as_str() {
            "up" => StoreFault::None,
            "down" => StoreFault::Down,
            "lost-answers" => StoreFault::LostAnswers,
            other => return Err(format!("unknown store state {other}").into()),
        };
        self.world()?.store.set_fault(fault);
        Ok(String::new())
    }

    /// `cut domain=a`, `cut worker=a-w0`, `cut entry=a0` (from the store), `heal`
    fn cut(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let domain: Option<String> = take_argument(&mut args, "domain")?;
        let worker: Option<String> = take_argument(&mut args, "worker")?;
        let entry: Option<String> = take_argument(&mut args, "entry")?;
        args.reject_next()?;
        let world = self.world()?;
        world.cut_domains.extend(domain.map(|name| name.as_str().into()));
        world.cut_workers.extend(worker.map(|name| name.as_str().into()));
        world.cut_from_store.extend(entry.map(|name| name.as_str().into()));
        Ok(String::new())
    }

    fn heal(&mut self) -> Outcome {
        let world = self.world()?;
        world.cut_domains.clear();
        world.cut_workers.clear();
        world.cut_from_store.clear();
        Ok(String::new())
    }

    /// `worker a-w0 restart|fails|works|leaving|gone`
    fn worker(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let id = args.next_pos().ok_or("a worker is missing")?.to_owned();
        let state = args.next_pos().ok_or("a worker state is missing")?.to_owned();
        args.reject_next()?;
        let world = self.world()?;
        let now = world.now;
        let model = world.workers.get_mut(id.as_str()).ok_or("no such worker")?;
        match state.as_str() {
            "restart" => model.restart(now),
            "fails" => model.set_fails_everything(true),
            "works" => model.set_fails_everything(false),
            "leaving" => {
                world.vms.iter_mut().filter(|vm| vm.id == id).for_each(|vm| vm.leaving = true)
            }
            "gone" => {
                model.restart(now);
                world.cut_workers.insert(id.as_str().into());
                world.vms.retain(|vm| vm.id != id);
            }
            other => return Err(format!("unknown worker state {other}").into()),
        }
        Ok(String::new())
    }

    /// `plan NAME at=a0 intent=ws/x kind=batch count=0 cores=1 memory=1000 accelerators=0 urgency=now
    /// idempotent=true cut_off=stay spread=none domain=a run=2s quota=8 command="run 100"`, or
    /// `plan NAME at=a0 withdraw=ws/x`
    fn plan(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let name = args.next_pos().ok_or("a name is missing")?.to_owned();
        let at: String = take_argument(&mut args, "at")?.unwrap_or("a0".to_owned());
        let withdraw: Option<String> = take_argument(&mut args, "withdraw")?;
        let request = match withdraw {
            Some(service) => PlanRequest::Withdraw(service.as_str().into()),
            None => PlanRequest::Accept(Box::new(read_intent(&mut args)?)),
        };
        args.reject_next()?;
        match self.ask(&at, ClientCall::Plan(request))? {
            ClientAnswer::Plan(plan) => {
                let text = describe_plan(&plan);
                self.plans.insert(name, *plan);
                Ok(text)
            }
            other => Err(format!("{other:?}").into()),
        }
    }

    /// `confirm NAME at=a0`
    fn confirm(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let name = args.next_pos().ok_or("a name is missing")?.to_owned();
        let at: String = take_argument(&mut args, "at")?.unwrap_or("a0".to_owned());
        args.reject_next()?;
        let plan = self.plans.get(&name).ok_or("no such plan")?.clone();
        let answer = self.ask(&at, ClientCall::Confirm(Box::new(plan)))?;
        Ok(match answer {
            ClientAnswer::Confirmed(revision) => format!("revision {revision}\n"),
            ClientAnswer::NotConfirmed(ConfirmRefusal::Moved(fresh)) => {
                format!("refused, base moved\n{}", describe_plan(&fresh))
            }
            ClientAnswer::NotConfirmed(refusal) => format!("refused: {refusal:?}\n"),
            other => return Err(format!("{other:?}").into()),
        })
    }

    /// `submit ws/j1 at=a0 intent=ws/x count=2 command="run 100"`; with `times=50`, 50 jobs without waiting
    /// for the answers
    fn submit(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let id = args.next_pos().ok_or("a name is missing")?.to_owned();
        let at: String = take_argument(&mut args, "at")?.unwrap_or("a0".to_owned());
        let intent: String = take_argument(&mut args, "intent")?.ok_or("intent is missing")?;
        let times: Option<u32> = take_argument(&mut args, "times")?;
        let count = take_argument(&mut args, "count")?;
        let command_text: Option<String> = take_argument(&mut args, "command")?;
        args.reject_next()?;
        let request = |id: &str| JobRequest {
            id: id.into(),
            intent: intent.as_str().into(),
            count,
            command: command_text.clone(),
        };
        let Some(times) = times else {
            let answer = self.ask(&at, ClientCall::Submit(request(&id)))?;
            return Ok(describe_answer(&answer));
        };
        let at = self.entry(&at)?;
        for number in 0..times {
            let name = format!("{id}{number}");
            self.world()?.call(&at, ClientCall::Submit(request(&name)));
        }
        Ok(String::new())
    }

    /// `job ws/j1 at=a0`, `cancel ws/j1 at=a0`; with `times=50` for 50 jobs
    fn job(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let id = args.next_pos().ok_or("a name is missing")?.to_owned();
        let at: String = take_argument(&mut args, "at")?.unwrap_or("a0".to_owned());
        let times: Option<u32> = take_argument(&mut args, "times")?;
        args.reject_next()?;
        let call = |id: &str| match command.name.as_str() {
            "cancel" => ClientCall::Cancel(id.into()),
            _ => ClientCall::Job(id.into()),
        };
        let Some(times) = times else {
            let answer = self.ask(&at, call(&id))?;
            return Ok(describe_answer(&answer));
        };
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        if command.name == "cancel" {
            let at = self.entry(&at)?;
            for number in 0..times {
                self.world()?.call(&at, call(&format!("{id}{number}")));
            }
            return Ok(String::new());
        }
        for number in 0..times {
            let answer = self.ask(&at, call(&format!("{id}{number}")))?;
            *counts.entry(describe_answer(&answer)).or_default() += 1;
        }
        Ok(counts.into_iter().map(|(text, count)| format!("{count} times {text}")).collect())
    }

    /// `key reserve k1 at=a0 holder=h digest=d`, `key complete k1 at=a0 holder=h state=answered`
    fn key(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let action = args.next_pos().ok_or("a key action is missing")?.to_owned();
        let id = args.next_pos().ok_or("a key is missing")?.to_owned();
        let at: String = take_argument(&mut args, "at")?.unwrap_or("a0".to_owned());
        let holder: String = take_argument(&mut args, "holder")?.unwrap_or("h".to_owned());
        let digest: String = take_argument(&mut args, "digest")?.unwrap_or("d".to_owned());
        let state: Option<String> = take_argument(&mut args, "state")?;
        args.reject_next()?;
        let call = match (action.as_str(), state.as_deref()) {
            ("reserve", _) => ClientCall::ReserveKey { id, digest, holder },
            (_, Some("not-run")) => ClientCall::CompleteKey { id, holder, state: KeyState::NotRun },
            _ => {
                let answer =
                    StoredAnswer { status: 200, content_type: None, body: "done".to_owned() };
                ClientCall::CompleteKey { id, holder, state: KeyState::Answered(answer) }
            }
        };
        let answer = self.ask(&at, call)?;
        Ok(match answer {
            ClientAnswer::Key(KeyAnswer::Answered(answer)) => format!("answered {}\n", answer.body),
            ClientAnswer::Key(answer) => format!("{answer:?}\n"),
            other => describe_answer(&other),
        })
    }

    /// `requests a0 count=20 deadline=1s`: sends requests to the router of an entry
    fn requests(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let at = self.entry(args.next_pos().ok_or("an entry is missing")?)?;
        let count: u64 = take_argument(&mut args, "count")?.unwrap_or(1);
        let deadline: String = take_argument(&mut args, "deadline")?.unwrap_or("10s".to_owned());
        args.reject_next()?;
        let first = self.requests;
        self.requests += count;
        let deadline = parse_duration(&deadline)?;
        let world = self.world()?;
        let now = world.now;
        let entry = world.entries.get_mut(&at).ok_or("no such entry")?;
        let (mut sent, mut rejected) = (0, 0);
        for id in first..first + count {
            let request = SlotRequest {
                id,
                service: "ws/svc".into(),
                workspace: "ws".into(),
                rank: 0,
                deadline: now + deadline,
            };
            for action in entry.router.route_request(now, request) {
                match action {
                    kelplink::RouteAction::Send(..) => sent += 1,
                    kelplink::RouteAction::Reject(..) => rejected += 1,
                }
            }
        }
        let waiting = entry.router.waiting();
        Ok(format!("sent {sent}, rejected {rejected}, waiting {waiting}\n"))
    }

    /// `answered a0 upstream=a-up count=3 outcome=answered|failed`
    fn answered(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let at = self.entry(args.next_pos().ok_or("an entry is missing")?)?;
        let upstream: String =
            take_argument(&mut args, "upstream")?.ok_or("upstream is missing")?;
        let count: u32 = take_argument(&mut args, "count")?.unwrap_or(1);
        let outcome: Option<String> = take_argument(&mut args, "outcome")?;
        args.reject_next()?;
        let outcome = match outcome.as_deref() {
            Some("failed") => RouteOutcome::Failed,
            _ => RouteOutcome::Answered,
        };
        let world = self.world()?;
        let now = world.now;
        let entry = world.entries.get_mut(&at).ok_or("no such entry")?;
        let time = Duration::from_millis(20);
        let id = upstream.as_str().into();
        let actions: usize =
            (0..count).map(|_| entry.router.finish(now, &id, outcome, time).len()).sum();
        Ok(format!("{actions} actions, {} in use\n", entry.router.in_use()))
    }

    /// Slots that each entry may be using, by upstream.
    fn slots(&mut self) -> Outcome {
        let world = self.world()?;
        let now = world.now;
        let mut text = String::new();
        for (entry, state) in &world.entries {
            writeln!(text, "{entry} {:?}", state.router.usable_slots(now))?;
        }
        Ok(text)
    }

    fn leaders(&mut self) -> Outcome {
        let leaders = self.world()?.leaders();
        let line = |(domain, entries): (_, Vec<EntryId>)| {
            let names = entries.iter().map(|e| &**e).collect::<Vec<_>>().join(" ");
            format!("{domain}: {names}\n")
        };
        Ok(leaders.into_iter().map(line).collect())
    }

    /// Number of entries that lead, by failure domain.
    fn leader_count(&mut self) -> Outcome {
        let leaders = self.world()?.leaders();
        Ok(leaders.into_iter().map(|(domain, all)| format!("{domain}: {}\n", all.len())).collect())
    }

    fn revisions(&mut self) -> Outcome {
        let world = self.world()?;
        let line = |(entry, state): (&EntryId, &Entry)| {
            format!("{entry} {}\n", state.controller.revision())
        };
        Ok(world.entries.iter().map(line).collect())
    }

    /// Number of running tasks, by worker.
    fn running(&mut self) -> Outcome {
        let world = self.world()?;
        let busy = world.workers.iter().filter(|(_, worker)| worker.running() > 0);
        Ok(busy.map(|(id, worker)| format!("{id} {}\n", worker.running())).collect())
    }

    /// How many times each task of a job was started, over all workers.
    fn runs(&mut self, command: &Command) -> Outcome {
        let mut args = command.consume_args();
        let id: JobId = args.next_pos().ok_or("a job is missing")?.into();
        args.reject_next()?;
        let world = self.world()?;
        let all = world.workers.values().flat_map(|worker| worker.runs());
        let mut counts: BTreeMap<u32, u32> = BTreeMap::new();
        for run in all.filter(|run| run.task.0 == id) {
            *counts.entry(run.task.1).or_default() += 1;
        }
        Ok(counts
            .iter()
            .map(|(task, count)| format!("task {task} started {count} times\n"))
            .collect())
    }
}

fn read_intent(args: &mut ArgumentConsumer<'_>) -> std::result::Result<IntentSpec, Box<dyn Error>> {
    let service: String = take_argument(args, "intent")?.ok_or("intent is missing")?;
    let (workspace, name) = service.split_once('/').ok_or("expected intent=WORKSPACE/NAME")?;
    let cores: f64 = take_argument(args, "cores")?.unwrap_or(1.0);
    let memory: u32 = take_argument(args, "memory")?.unwrap_or(1_000);
    let accelerators: u32 = take_argument(args, "accelerators")?.unwrap_or(0);
    let text = |args: &mut ArgumentConsumer<'_>, key: &str| {
        take_argument::<String>(args, key).map(Option::unwrap_or_default)
    };
    let kind = match text(args, "kind")?.as_str() {
        "service" => JobKind::Service,
        "all-at-once" => JobKind::AllAtOnce,
        _ => JobKind::Batch,
    };
    let urgency = match text(args, "urgency")?.as_str() {
        "now" => Urgency::Now,
        _ => Urgency::Soon,
    };
    let cut_off = match text(args, "cut_off")?.as_str() {
        "move" => CutOffRule::Move,
        _ => CutOffRule::Stay,
    };
    let spread = match text(args, "spread")?.as_str() {
        "rack" => SpreadRule::Rack,
        "failure-domain" => SpreadRule::FailureDomain,
        _ => SpreadRule::None,
    };
    let run = text(args, "run")?;
    let quota: Option<u32> = take_argument(args, "quota")?;
    let domain: Option<String> = take_argument(args, "domain")?;
    Ok(IntentSpec {
        workspace: workspace.into(),
        name: name.into(),
        kind,
        need: ResourceVector::new((cores * 1_000.0) as u32, memory, accelerators),
        count: take_argument(args, "count")?.unwrap_or(0),
        urgency,
        idempotent: take_argument(args, "idempotent")?.unwrap_or(true),
        spread,
        cut_off,
        domain: domain.map(|domain| domain.as_str().into()),
        run_time: if run.is_empty() { None } else { Some(parse_duration(&run)?) },
        quota: quota.map(|cores| ResourceVector::new(cores * 1_000, 1_000_000, 100)),
        command: text(args, "command")?,
    })
}

fn describe_plan(plan: &PlanDocument) -> String {
    let mut text = format!("against revision {}\n", plan.base);
    for change in &plan.changes {
        let domain = change.domain.as_deref().unwrap_or("-");
        let _ = writeln!(
            text,
            "{:?} {} of {} in {domain}: {}",
            change.action, change.count, change.subject, change.reason
        );
    }
    text
}

fn describe_answer(answer: &ClientAnswer) -> String {
    match answer {
        ClientAnswer::Job(view) => describe_job(view),
        ClientAnswer::Refused(CallRefusal::Impossible(reason)) => format!("impossible: {reason}\n"),
        ClientAnswer::Refused(refusal) => format!("refused: {refusal:?}\n"),
        other => format!("{other:?}\n"),
    }
}

fn describe_job(view: &JobView) -> String {
    let record = &view.record;
    let mut ends: BTreeMap<String, u32> = BTreeMap::new();
    for end in record.ended.values() {
        *ends.entry(format!("{end:?}")).or_default() += 1;
    }
    let ends: Vec<String> = ends.into_iter().map(|(end, count)| format!("{count} {end}")).collect();
    let durable = if view.durable { "durable" } else { "not durable" };
    let mut text = format!("in {}, {durable}: {} running", view.domain, view.running.len());
    if !ends.is_empty() {
        let _ = write!(text, ", ended {}", ends.join(", "));
    }
    if record.cancelled {
        text.push_str(", cancelled");
    }
    if let Some(reason) = &record.stopped {
        let _ = write!(text, ", stopped: {reason}");
    }
    if let Some(domain) = &record.moved {
        let _ = write!(text, ", moved to {domain}");
    }
    text.push('\n');
    text
}

impl Runner for Scenario {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Outcome {
        match command.name.as_str() {
            "cluster" => self.cluster(command),
            "run" => self.advance_time(command),
            "kill" | "start" | "pause" | "resume" | "leave" => self.change_entry(command),
            "store" => self.store(command),
            "cut" => self.cut(command),
            "heal" => self.heal(),
            "worker" => self.worker(command),
            "plan" => self.plan(command),
            "confirm" => self.confirm(command),
            "submit" => self.submit(command),
            "job" | "cancel" => self.job(command),
            "key" => self.key(command),
            "requests" => self.requests(command),
            "answered" => self.answered(command),
            "slots" => self.slots(),
            "leaders" => self.leaders(),
            "leader-count" => self.leader_count(),
            "revisions" => self.revisions(),
            "running" => self.running(),
            "runs" => self.runs(command),
            other => Err(format!("unknown command {other}").into()),
        }
    }
}

#[gtest]
fn scenarios() {
    let _ = env_logger::Builder::from_env("KELPLINK_LOG").format_timestamp(None).try_init();
    let mut paths: Vec<_> = std::fs::read_dir("tests/scenarios")
        .expect("cannot read tests/scenarios")
        .map(|entry| entry.expect("cannot read an entry of tests/scenarios").path())
        .collect();
    paths.sort();
    expect_that!(paths.len(), gt(0));
    for path in paths {
        let result = std::panic::catch_unwind(|| {
            let mut scenario = Scenario::default();
            goldenscript::run(&mut scenario, &path).map_err(|error| error.to_string())
        });
        expect_that!(result.is_ok_and(|r| r.is_ok()), eq(true), "{}", path.display());
    }
}
