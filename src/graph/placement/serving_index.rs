//! Steps with tasks to start, in the order in which passes serve them.
//!
//! The load pattern behind it is an excess of work: thousands of steps wait while the workers are full. The order of
//! a step changes only when its job changes or loses value, so it is kept from pass to pass.

use std::cmp::Reverse;
use std::collections::btree_set::Iter;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use tokio::time::Instant;

use crate::graph::placement::need_bound::NeedBound;
use crate::graph::placement::placer::{ServingOrder, VALUE_EXPIRY_FACTOR};
use crate::graph::workload::job::GraphJob;
use crate::graph::workload::jobs::JobTable;
use crate::graph::workload::name::{GraphId, StepKey};
use crate::id::WorkspaceId;
use crate::resources::ResourceVector;

/// Position of a step among all steps.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct ServingKey {
    pub(crate) order: ServingOrder,
    pub(crate) job: GraphId,
    pub(crate) step: StepKey,
}

/// The steps of one workspace's jobs.
#[derive(Debug, Default)]
struct ServingGroup {
    keys: BTreeSet<ServingKey>,
    needs: NeedBound,
}

/// What the index holds of a job.
#[derive(Debug)]
struct IndexedJob {
    workspace: Option<WorkspaceId>,
    keys: Vec<(ServingKey, ResourceVector)>,
    needs_advice: bool,
    /// When the order of a step changes although the job does not.
    next_change: Option<Instant>,
}

/// All steps with waiting tasks, by workspace. Repeating jobs are listed only by name: which of their occurrences are
/// due depends on the time.
#[derive(Debug, Default)]
pub(crate) struct ServingIndex {
    groups: BTreeMap<Option<WorkspaceId>, ServingGroup>,
    jobs: BTreeMap<GraphId, IndexedJob>,
    changes: BTreeSet<(Instant, GraphId)>,
    repeating: BTreeSet<GraphId>,
    /// Listed steps of lasting tasks of jobs with absent ones.
    restarts: BTreeSet<ServingKey>,
    /// Number of listed jobs whose queue needs placement advice.
    advised_jobs: usize,
}

impl ServingIndex {
    /// Applies changes of jobs and the loss of value with time. Returns the jobs without waiting tasks.
    pub(crate) fn update(
        &mut self,
        now: Instant,
        jobs: &JobTable,
        mut changed: BTreeSet<GraphId>,
    ) -> Vec<GraphId> {
        while let Some((_, id)) = self.changes.first().filter(|(at, _)| *at < now) {
            let id = id.clone();
            self.remove(&id);
            changed.insert(id);
        }
        let mut idle = Vec::new();
        for id in changed {
            self.remove(&id);
            let Some(job) = jobs.get(&id).filter(|_| jobs.is_schedulable(&id)) else {
                continue;
            };
            match job.spec.repeat {
                Some(_) => {
                    self.repeating.insert(id);
                }
                None if !self.insert(now, job) => idle.push(id),
                None => {}
            }
        }
        idle
    }

    /// Jobs whose steps are not listed one by one.
    pub(crate) fn repeating(&self) -> impl Iterator<Item = &GraphId> {
        self.repeating.iter()
    }

    /// Steps from `first` on in serving order that may have a lasting task to restart.
    pub(crate) fn restarts_from(&self, first: &ServingKey) -> impl Iterator<Item = &ServingKey> {
        self.restarts.range(first..)
    }

    /// Whether a listed step needs placement advice.
    pub(crate) fn needs_advice(&self) -> bool {
        self.advised_jobs > 0
    }

    /// All listed steps in serving order.
    pub(crate) fn queue(&self) -> ServingQueue<'_> {
        let mut queue = ServingQueue { groups: Vec::new(), heads: BinaryHeap::new() };
        for (workspace, group) in &self.groups {
            let (needs, keys) = (&group.needs, group.keys.iter());
            queue.groups.push(QueuedGroup { workspace: workspace.as_ref(), needs, keys });
            queue.advance(queue.groups.len() - 1);
        }
        queue
    }

    /// Adds the steps with waiting tasks of a job and returns whether there are any.
    fn insert(&mut self, now: Instant, job: &GraphJob) -> bool {
        let mut keys = Vec::new();
        let mut next_change: Option<Instant> = None;
        let elapsed = now.saturating_duration_since(job.submitted_at);
        for (index, step) in job.spec.steps.iter().enumerate() {
            let key = StepKey { occurrence: 0, step: u32::try_from(index).unwrap_or(u32::MAX) };
            if job.step_done(key) || job.waiting(key).is_empty() {
                continue;
            }
            let order = ServingOrder::of_step(job, key, step, now, elapsed);
            let serving_key = ServingKey { order, job: job.spec.id.clone(), step: key };
            if step.lasting && !job.absences.is_empty() {
                self.restarts.insert(serving_key.clone());
            }
            keys.push((serving_key, step.reservation()));
            next_change = [next_change, next_loss(job, key, now)].into_iter().flatten().min();
        }
        if keys.is_empty() {
            return false;
        }
        let group = self.groups.entry(job.workspace.clone()).or_default();
        for (key, need) in &keys {
            group.keys.insert(key.clone());
            group.needs.add(need);
        }
        let id = job.spec.id.clone();
        if let Some(at) = next_change {
            self.changes.insert((at, id.clone()));
        }
        let workspace = job.workspace.clone();
        let needs_advice = job.rule.advice.is_some();
        self.advised_jobs += usize::from(needs_advice);
        self.jobs.insert(id, IndexedJob { workspace, keys, needs_advice, next_change });
        true
    }

    fn remove(&mut self, id: &GraphId) {
        self.repeating.remove(id);
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        self.advised_jobs -= usize::from(job.needs_advice);
        for (key, _) in &job.keys {
            self.restarts.remove(key);
        }
        if let Some(at) = job.next_change {
            self.changes.remove(&(at, id.clone()));
        }
        if let Some(group) = self.groups.get_mut(&job.workspace) {
            for (key, need) in &job.keys {
                group.keys.remove(key);
                group.needs.remove(need);
            }
            if group.keys.is_empty() {
                self.groups.remove(&job.workspace);
            }
        }
    }
}

/// When a step becomes late or loses all value, whichever comes next.
fn next_loss(job: &GraphJob, key: StepKey, now: Instant) -> Option<Instant> {
    if job.step(key).is_some_and(|step| step.lasting) {
        return None;
    }
    let critical_path = job.critical_paths.get(key.step as usize).copied().unwrap_or_default();
    let objective = job.objective();
    let losses = [objective, objective * VALUE_EXPIRY_FACTOR].into_iter();
    let losses = losses.filter_map(|slack| slack.checked_sub(critical_path));
    losses.map(|slack| job.submitted_at + slack).find(|at| *at >= now)
}

/// The rest of one group.
struct QueuedGroup<'i> {
    workspace: Option<&'i WorkspaceId>,
    needs: &'i NeedBound,
    keys: Iter<'i, ServingKey>,
}

/// Steps in serving order, merged from the groups.
pub(crate) struct ServingQueue<'i> {
    groups: Vec<QueuedGroup<'i>>,
    heads: BinaryHeap<Reverse<(&'i ServingKey, usize)>>,
}

impl<'i> ServingQueue<'i> {
    /// The next step.
    pub(crate) fn peek(&self) -> Option<&'i ServingKey> {
        self.heads.peek().map(|Reverse((key, _))| *key)
    }

    /// Leaves out the rest of the next step's workspace if `is_exhausted` for it and the smallest need of its steps.
    /// Returns whether it did.
    pub(crate) fn drop_if(
        &mut self,
        is_exhausted: impl Fn(Option<&WorkspaceId>, &ResourceVector) -> bool,
    ) -> bool {
        let Some(Reverse((_, index))) = self.heads.peek() else {
            return false;
        };
        let group = &self.groups[*index];
        let exhausted = is_exhausted(group.workspace, &group.needs.smallest());
        if exhausted {
            self.heads.pop();
        }
        exhausted
    }

    /// Removes the next step.
    pub(crate) fn pop(&mut self) {
        if let Some(Reverse((_, index))) = self.heads.pop() {
            self.advance(index);
        }
    }

    /// Lower bound, in each dimension, of what a task of any step left needs.
    pub(crate) fn smallest_need(&self) -> Option<ResourceVector> {
        let needs = self.heads.iter().map(|Reverse((_, index))| self.groups[*index].needs);
        needs.map(NeedBound::smallest).reduce(|a, b| a.component_min(&b))
    }

    fn advance(&mut self, index: usize) {
        if let Some(key) = self.groups[index].keys.next() {
            self.heads.push(Reverse((key, index)));
        }
    }
}
