//! A job graph as the leader holds it in memory.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::graph::sharding::shard::ShardId;
use crate::graph::sharding::share::TaskShare;
use crate::graph::workload::absences::AbsenceTable;
use crate::graph::workload::name::{RunNumber, StepKey, TaskKey, TaskName};
use crate::graph::workload::progress::{GraphProgress, GraphVerdict};
use crate::graph::workload::queue::QueueRule;
use crate::graph::workload::spec::{GraphSpec, StepSpec};
use crate::id::{DomainId, UnixMillis, WorkerId, WorkspaceId};

/// How far the clock of an earlier leader may have been ahead: clocks of entries may jump by some seconds.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_secs(60);

/// How long a lasting task may be absent before its step gets advice before more urgent ones.
const RESTART_GRACE: Duration = Duration::from_secs(2);

/// Record of a job in the store, written when the job is accepted.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct GraphRecord {
    /// The job.
    pub spec: GraphSpec,
    /// Its queue at acceptance; used where the queue has been removed since.
    pub rule: QueueRule,
    /// Workspace that submitted it; `None` where callers are not identified.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<WorkspaceId>,
    /// Failure domain that it runs in; `None` if it may run anywhere.
    #[serde(default)]
    pub home: Option<DomainId>,
    /// How its tasks are divided among shards, where it is wider than a shard.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<TaskShare>,
    /// Added to the run numbers of its leaders: those of other shards that had it before have used lower ones.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub run_offset: RunNumber,
}

fn is_zero(number: &RunNumber) -> bool {
    *number == 0
}

impl GraphRecord {
    /// Whether it is that of an ended job, reduced to what is still told about the job.
    pub fn is_compacted(&self) -> bool {
        self.spec.steps.is_empty()
    }
}

/// Worker on which a task runs or may run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LiveRun {
    /// The worker.
    pub worker: WorkerId,
    /// Number of the start.
    pub run: RunNumber,
}

/// State of a job as reported to callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum GraphState {
    /// No task has begun.
    Queued,
    /// A task has begun.
    Running,
    /// All tasks succeeded.
    Completed,
    /// A task failed too often.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// A job.
#[derive(Clone, Debug)]
pub struct GraphJob {
    /// As it was submitted.
    pub spec: Arc<GraphSpec>,
    /// Its queue.
    pub rule: Arc<QueueRule>,
    /// Workspace that submitted it; `None` where callers are not identified.
    pub workspace: Option<WorkspaceId>,
    /// Failure domain that it runs in; `None` if it may run anywhere.
    pub home: Option<DomainId>,
    /// How its tasks are divided among shards, where it is wider than a shard.
    pub share: Option<TaskShare>,
    /// Added to the run numbers of its leaders.
    pub run_offset: RunNumber,
    /// Shard of the leader that runs this job, or this part of it.
    pub shard: ShardId,
    /// Failure domains beside its home that it may use according to the store.
    pub stored_domains: BTreeSet<DomainId>,
    /// Its progress; the store may not have the latest yet.
    pub progress: GraphProgress,
    /// Lowest run numbers that count, as stored.
    pub stored_floors: BTreeMap<TaskKey, RunNumber>,
    /// Announced starts, as stored.
    pub stored_announced: BTreeMap<TaskKey, RunNumber>,
    /// Tasks whose start an earlier leader announced and may have sent.
    pub inherited_starts: BTreeSet<TaskKey>,
    /// Last start of each task that was certainly not carried out; the store may still list it as a suspect
    /// run.
    pub withdrawn: BTreeMap<TaskKey, RunNumber>,
    /// Verdict that the store has.
    pub stored_verdict: Option<GraphVerdict>,
    /// Whether the store has the job.
    pub durable: bool,
    /// When the submission is refused, unless the store has the job by then.
    pub submit_deadline: Instant,
    /// Whether it was accepted before this leader's term.
    pub inherited: bool,
    /// When it was submitted.
    pub submitted_at: Instant,
    /// Whether its workspace had submitted more than its rate.
    pub exceeds_rate: bool,
    /// Tasks that run or may run.
    pub live: BTreeMap<TaskKey, LiveRun>,
    /// Highest run of each task so far.
    pub last_run: BTreeMap<TaskKey, RunNumber>,
    /// Workers on which a task failed, which are avoided for its next runs.
    pub avoided_workers: BTreeMap<TaskKey, BTreeSet<WorkerId>>,
    /// When a task may be started again.
    pub not_before: BTreeMap<TaskKey, Instant>,
    /// Lasting tasks that do not run now, and have run or may have under an earlier leader.
    pub(crate) absences: AbsenceTable,
    /// Longest path from each step to the end of the graph, by declared run time.
    pub critical_paths: Vec<Duration>,
}

impl GraphJob {
    /// Creates a job that is not stored yet.
    pub fn new(record: GraphRecord, now: Instant) -> Self {
        let critical_paths = record.spec.remaining_critical_paths();
        Self {
            spec: Arc::new(record.spec),
            rule: Arc::new(record.rule),
            workspace: record.workspace,
            home: record.home,
            share: record.share,
            run_offset: record.run_offset,
            shard: ShardId::from(""),
            stored_domains: BTreeSet::new(),
            progress: GraphProgress::default(),
            stored_floors: BTreeMap::new(),
            stored_announced: BTreeMap::new(),
            inherited_starts: BTreeSet::new(),
            withdrawn: BTreeMap::new(),
            stored_verdict: None,
            durable: false,
            submit_deadline: now,
            inherited: false,
            submitted_at: now,
            exceeds_rate: false,
            live: BTreeMap::new(),
            last_run: BTreeMap::new(),
            avoided_workers: BTreeMap::new(),
            not_before: BTreeMap::new(),
            absences: AbsenceTable::default(),
            critical_paths,
        }
    }

    /// Restores a stored job that was submitted `age` ago.
    pub fn restored(
        record: GraphRecord,
        progress: GraphProgress,
        now: Instant,
        age: Duration,
    ) -> Self {
        let mut job = Self::new(record, now.checked_sub(age).unwrap_or(now));
        job.durable = true;
        job.inherited = true;
        job.stored_verdict = progress.verdict;
        job.stored_domains = progress.domains.clone();
        job.stored_floors = progress.floors.clone();
        job.stored_announced = progress.announced.clone();
        job.inherited_starts = progress.announced.keys().copied().collect();
        job.progress = progress;
        // Progress stored by an earlier version lacks this flag.
        job.progress.begun = job.progress.shows_begun();
        job.begin_absences(now);
        job
    }

    /// Counts the lasting tasks of a restored job as absent until a worker reports them: which of them have run is not
    /// stored.
    fn begin_absences(&mut self, now: Instant) {
        if self.is_over() || self.spec.repeat.is_some() {
            return;
        }
        let steps = self.spec.steps.iter().enumerate().filter(|(_, step)| step.lasting);
        for (index, step) in steps {
            let number = u32::try_from(index).unwrap_or(u32::MAX);
            for task in 0..step.count {
                self.absences.begin(TaskKey::new(0, number, task), now);
            }
        }
    }

    /// Whether its tasks may run in a failure domain, according to the store.
    pub fn may_use(&self, domain: &DomainId) -> bool {
        self.home.as_ref().is_none_or(|home| home == domain) || self.stored_domains.contains(domain)
    }

    /// Whether it may use a further failure domain once that is stored.
    pub fn is_widening(&self) -> bool {
        self.progress.domains.iter().any(|domain| !self.stored_domains.contains(domain))
    }

    /// State as reported to callers.
    ///
    /// A verdict is reported only once it is stored. When it was reported as soon as the workers had listed all
    /// ends, a success was lost if the worker that listed it and the leader both failed in one outage of the
    /// store: 13 to 64 tasks ran again on days with such failures.
    pub fn state(&self) -> GraphState {
        match self.stored_verdict {
            Some(GraphVerdict::Completed) => GraphState::Completed,
            Some(GraphVerdict::Failed) => GraphState::Failed,
            Some(GraphVerdict::Cancelled) => GraphState::Cancelled,
            None | Some(GraphVerdict::Moved) if self.progress.begun => GraphState::Running,
            None | Some(GraphVerdict::Moved) => GraphState::Queued,
        }
    }

    /// Whether callers that act for `workspace` may see and change it. A job without a workspace was submitted to a
    /// queue whose callers were not identified.
    pub fn is_visible_to(&self, workspace: Option<&WorkspaceId>) -> bool {
        self.rule.public || self.workspace.is_none() || self.workspace.as_ref() == workspace
    }

    /// Whether it has ended, in the store or in memory.
    pub fn is_over(&self) -> bool {
        self.progress.verdict.is_some()
    }

    /// Whether its stored record need not shrink once it has ended. A job of several shards keeps its record, which
    /// says where its shares run.
    pub(crate) fn is_compact(&self) -> bool {
        self.spec.steps.is_empty() || self.share.is_some()
    }

    /// The record that is stored once the job has ended: what is told to callers, and what a restored job needs. The
    /// other fields of the rule stay because entries of an earlier build require them.
    pub(crate) fn compact_record(&self) -> GraphRecord {
        let GraphSpec { id, queue, accepted, .. } = &*self.spec;
        let spec = GraphSpec {
            id: id.clone(),
            queue: queue.clone(),
            payload: "".into(),
            steps: Vec::new(),
            repeat: None,
            accepted: *accepted,
        };
        let rule = QueueRule {
            id: "".into(),
            host: "".into(),
            prefix: "".into(),
            service: "".into(),
            priority: self.rule.priority,
            max_attempts: self.rule.max_attempts,
            slack: 0.0,
            target: Duration::ZERO,
            advice: None,
            public: self.rule.public,
        };
        GraphRecord {
            spec,
            rule,
            workspace: self.workspace.clone(),
            home: None,
            share: None,
            run_offset: self.run_offset,
        }
    }

    /// The record of the job as it is stored.
    pub(crate) fn record(&self) -> GraphRecord {
        GraphRecord {
            spec: (*self.spec).clone(),
            rule: (*self.rule).clone(),
            workspace: self.workspace.clone(),
            home: self.home.clone(),
            share: self.share.clone(),
            run_offset: self.run_offset,
        }
    }

    /// Whether the leader of another shard runs it, according to the store.
    pub fn has_moved(&self) -> bool {
        self.stored_verdict == Some(GraphVerdict::Moved)
    }

    /// Returns a step; `None` for every step of an ended job whose record was compacted.
    pub fn step(&self, key: StepKey) -> Option<&StepSpec> {
        self.spec.steps.get(key.step as usize)
    }

    /// Full name of a task.
    pub fn task_name(&self, key: TaskKey) -> TaskName {
        TaskName::new(self.spec.id.clone(), key)
    }

    /// Whether all tasks of a step have succeeded.
    pub fn step_done(&self, key: StepKey) -> bool {
        self.step(key).is_some_and(|step| self.progress.done_count(key) >= step.count)
    }

    /// Whether all steps that a step depends on have succeeded.
    pub fn dependencies_done(&self, key: StepKey) -> bool {
        let Some(step) = self.step(key) else {
            return false;
        };
        step.after.iter().all(|before| self.step_done(StepKey { step: *before, ..key }))
    }

    /// Whether every task of every occurrence has succeeded.
    pub fn all_done(&self) -> bool {
        let steps = u32::try_from(self.spec.steps.len()).unwrap_or(u32::MAX);
        (0..self.spec.occurrences())
            .all(|occurrence| (0..steps).all(|step| self.step_done(StepKey { occurrence, step })))
    }

    /// Whether the leader of another shard has accepted it and owns it.
    pub fn is_part(&self) -> bool {
        self.share.as_ref().is_some_and(|share| share.owner != self.shard)
    }

    /// Whether this shard runs a task.
    pub(crate) fn holds_task(&self, task: &TaskKey) -> bool {
        let count = self.step(task.step).map_or(0, |step| step.count);
        self.share.as_ref().is_none_or(|share| share.holds(&self.shard, task.index, count))
    }

    /// Tasks of a step that this leader has to run, that have not succeeded and have no live run.
    pub fn waiting(&self, key: StepKey) -> Vec<TaskKey> {
        let count = self.step(key).map_or(0, |step| step.count);
        // If a task were started before the store has its raised floor, the end of an earlier run might still
        // be acknowledged later.
        let floor_stored =
            |task: &TaskKey| self.progress.floors.get(task) == self.stored_floors.get(task);
        let announcement_stored =
            |task: &TaskKey| self.progress.announced.get(task) == self.stored_announced.get(task);
        (0..count)
            .map(|index| TaskKey { step: key, index })
            .filter(|task| self.holds_task(task))
            .filter(|task| !self.progress.is_done(task) && !self.live.contains_key(task))
            .filter(|task| floor_stored(task) && announcement_stored(task))
            .collect()
    }

    /// Tasks that an earlier leader may have started, with an outcome unknown to this leader. They include
    /// tasks whose dependencies are not done in the stored progress, since the last progress may be lost, and
    /// tasks of which an earlier run has ended, since they may have been started again after it. Occurrences that were
    /// not due yet by any leader's clock are left out.
    pub(crate) fn unseen_tasks(&self, unix: UnixMillis) -> Vec<TaskKey> {
        let latest = unix.saturating_add(MAX_CLOCK_DIFFERENCE.as_millis() as u64);
        let may_have_run = |task: &TaskKey| {
            let is_lasting = self.step(task.step).is_some_and(|step| step.lasting);
            !is_lasting && self.spec.due(task.step.occurrence).is_none_or(|due| due <= latest)
        };
        self.tasks_without_run().filter(may_have_run).collect()
    }

    /// Tasks that have not succeeded and have no live run.
    pub(crate) fn tasks_without_run(&self) -> impl Iterator<Item = TaskKey> {
        let steps = self.spec.steps.iter().enumerate();
        let keys = steps.flat_map(move |(index, step)| {
            let number = u32::try_from(index).unwrap_or(u32::MAX);
            (0..step.count).map(move |index| (number, index))
        });
        let keys = keys.collect::<Vec<_>>();
        let tasks = (0..self.spec.occurrences()).flat_map(move |occurrence| {
            let key = move |(step, index): (u32, u32)| TaskKey::new(occurrence, step, index);
            keys.clone().into_iter().map(key)
        });
        tasks.filter(|task| !self.progress.is_done(task) && !self.live.contains_key(task))
    }

    /// Whether a worker has crashed, or may have crashed, under a run of a task.
    pub fn is_suspected(&self, task: TaskKey) -> bool {
        self.progress.crashes.contains_key(&task) || self.progress.trials.contains_key(&task)
    }

    /// Whether the next start of a task must be stored before it is sent, as it may crash its worker or an
    /// earlier start may have done so. `lost_before_contact` states whether workers from before this leader's
    /// term were lost before they answered it.
    pub(crate) fn needs_announcement(&self, task: TaskKey, lost_before_contact: bool) -> bool {
        let may_be_lost =
            lost_before_contact && self.inherited && !self.last_run.contains_key(&task);
        let announced = self.progress.announced.contains_key(&task);
        match self.inherited_starts.contains(&task) {
            true => true,
            false => !announced && (may_be_lost || self.is_suspected(task)),
        }
    }

    /// When the restart of the waiting task of a step that has been absent longest becomes overdue.
    pub(crate) fn restart_due(&self, key: StepKey) -> Option<Instant> {
        if self.absences.is_empty() {
            return None;
        }
        let waiting = self.waiting(key).into_iter();
        let first = waiting.filter_map(|task| self.absences.since(&task)).min()?;
        Some(first + RESTART_GRACE)
    }

    /// Time from submission within which the job keeps its full value.
    pub fn objective(&self) -> Duration {
        let longest_path = self.critical_paths.iter().max().copied().unwrap_or_default();
        longest_path.mul_f64(self.rule.slack) + self.rule.target
    }

    /// Run number of the next start of a task, above all numbers used by earlier leaders.
    pub fn next_run(&self, task: &TaskKey, base: RunNumber) -> RunNumber {
        self.last_run.get(task).copied().unwrap_or(0).max(self.run_base(base)) + 1
    }

    /// Number below which all runs of earlier leaders are, of this shard and of others that had the job before. `base` is
    /// that of the leader.
    pub(crate) fn run_base(&self, base: RunNumber) -> RunNumber {
        base + self.run_offset
    }
}
