//! The workers of a failure domain and the room on them.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::id::{RackId, TaskId, WorkerId};
use crate::invariant;
use crate::resources::ResourceVector;

/// Candidates looked at before a search gives up within one class.
const CLASS_PROBES: usize = 8;
/// Thousandths in a core: classes of free processors are whole cores.
const MILLICORES_PER_CORE: u32 = 1_000;

/// A worker as the platform lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WorkerSpec {
    /// Name of the worker.
    pub id: WorkerId,
    /// Rack that it stands in.
    pub rack: RackId,
    /// All that it has.
    pub capacity: ResourceVector,
}

/// A worker with what is given out of it.
#[derive(Clone, Debug)]
pub struct PoolWorker {
    /// The worker.
    pub spec: WorkerSpec,
    /// Room that is not given out.
    pub free: ResourceVector,
    /// Tasks that hold room.
    pub tasks: BTreeMap<TaskId, ResourceVector>,
    /// Whether new work may be placed on it.
    pub open: bool,
    /// Task that alone may take freed room here, while victims are stopped for it.
    pub kept_for: Option<TaskId>,
}

impl PoolWorker {
    fn class(&self) -> ClassKey {
        (self.free.accelerators, self.free.millicores / MILLICORES_PER_CORE)
    }

    /// Tells whether a task without accelerators would leave accelerators here without processors
    /// or memory to go with them.
    fn strands(&self, need: &ResourceVector) -> bool {
        if need.accelerators > 0 || self.free.accelerators == 0 {
            return false;
        }
        let devices = self.spec.capacity.accelerators.max(1);
        let share = |whole: u32| whole / devices / 2 * self.free.accelerators;
        let rest = self.free.saturating_sub(need);
        rest.millicores < share(self.spec.capacity.millicores)
            || rest.memory_mib < share(self.spec.capacity.memory_mib)
    }
}

/// Free accelerators and whole free cores.
type ClassKey = (u32, u32);
type ClassIndex = BTreeMap<ClassKey, BTreeSet<(u32, WorkerId)>>;

/// All workers that may be placed on, indexed by the room on them.
///
/// Workers of equal free accelerators and whole free cores form a class, ordered by free memory. A
/// search walks classes from the tightest, so its cost grows with the number of classes and not with
/// the number of workers.
#[derive(Debug, Default)]
pub struct WorkerPool {
    workers: BTreeMap<WorkerId, PoolWorker>,
    classes: ClassIndex,
    total: ResourceVector,
    largest: ResourceVector,
}

impl WorkerPool {
    /// Adds a worker without tasks, open for work; a known one is kept as it is.
    pub fn add(&mut self, spec: WorkerSpec) {
        if self.workers.contains_key(&spec.id) {
            return;
        }
        self.total = self.total.saturating_add(&spec.capacity);
        self.largest = self.largest.component_max(&spec.capacity);
        let worker = PoolWorker {
            free: spec.capacity,
            spec,
            tasks: BTreeMap::new(),
            open: true,
            kept_for: None,
        };
        self.index(&worker);
        self.workers.insert(worker.spec.id.clone(), worker);
    }

    /// Removes a worker and gives the tasks that held room on it.
    pub fn remove(&mut self, id: &WorkerId) -> Vec<TaskId> {
        let Some(worker) = self.workers.remove(id) else {
            return Vec::new();
        };
        self.unindex(&worker);
        self.total = self.total.saturating_sub(&worker.spec.capacity);
        let all = self.workers.values().map(|worker| worker.spec.capacity);
        self.largest = all.fold(ResourceVector::default(), |a, b| a.component_max(&b));
        worker.tasks.into_keys().collect()
    }

    /// One worker.
    pub fn get(&self, id: &WorkerId) -> Option<&PoolWorker> {
        self.workers.get(id)
    }

    /// All workers in order of name.
    pub fn iter(&self) -> impl Iterator<Item = &PoolWorker> {
        self.workers.values()
    }

    /// Sum of all capacities.
    pub fn total(&self) -> ResourceVector {
        self.total
    }

    /// Largest capacity in each dimension over all workers.
    pub fn largest(&self) -> ResourceVector {
        self.largest
    }

    /// Room not given out on open workers.
    pub fn free(&self) -> ResourceVector {
        let open = self.workers.values().filter(|worker| worker.open);
        open.fold(ResourceVector::default(), |sum, worker| sum.saturating_add(&worker.free))
    }

    /// Tells whether some worker, were it empty, could hold `need`.
    pub fn could_ever_fit(&self, need: &ResourceVector) -> bool {
        self.workers.values().any(|worker| need.fits(&worker.spec.capacity))
    }

    /// Opens or closes a worker for new work.
    pub fn set_open(&mut self, id: &WorkerId, open: bool) {
        self.change(id, |worker| worker.open = open);
    }

    /// Keeps freed room for a task, or lets everybody have it.
    pub fn keep_for(&mut self, id: &WorkerId, task: Option<TaskId>) {
        self.change(id, |worker| worker.kept_for = task);
    }

    /// Takes room for a task and tells whether there was enough.
    pub fn take(&mut self, id: &WorkerId, task: &TaskId, need: ResourceVector) -> bool {
        let Some(worker) = self.workers.get(id) else {
            return false;
        };
        let Some(free) = worker.free.checked_sub(&need) else {
            return invariant::holds(false, "capacity", || {
                format!("{task:?} needs {need:?} on {id} with {:?} free", worker.free)
            });
        };
        if !invariant::holds(!worker.tasks.contains_key(task), "one place", || format!("{task:?}"))
        {
            return false;
        }
        self.change(id, |worker| {
            worker.free = free;
            worker.tasks.insert(task.clone(), need);
        });
        true
    }

    /// Notes a task that the worker already runs, even where it holds more than there is.
    pub fn note(&mut self, id: &WorkerId, task: &TaskId, need: ResourceVector) {
        self.change(id, |worker| {
            if worker.tasks.insert(task.clone(), need).is_none() {
                worker.free = worker.free.saturating_sub(&need);
            }
        });
    }

    /// Gives the room of a task back.
    pub fn give_back(&mut self, id: &WorkerId, task: &TaskId) {
        self.change(id, |worker| {
            if worker.tasks.remove(task).is_some() {
                let held = worker.tasks.values();
                let sum =
                    held.fold(ResourceVector::default(), |sum, need| sum.saturating_add(need));
                worker.free = worker.spec.capacity.saturating_sub(&sum);
            }
        });
    }

    /// Finds the tightest open worker for `need`. Only `allowed` workers count, and such as are kept
    /// for nobody else than `task`. Where it `may_strand`, processors that accelerators need to be of
    /// use may be taken.
    pub fn find_tightest(
        &self,
        task: &TaskId,
        need: &ResourceVector,
        may_strand: bool,
        allowed: impl Fn(&PoolWorker) -> bool,
    ) -> Option<WorkerId> {
        let accepts = |worker: &PoolWorker| {
            let kept = worker.kept_for.as_ref().is_some_and(|kept| kept != task);
            !kept && need.fits(&worker.free) && allowed(worker)
        };
        let spares = |worker: &PoolWorker| accepts(worker) && !worker.strands(need);
        match may_strand {
            true => self.search(need, spares).or_else(|| self.search(need, accepts)),
            false => self.search(need, spares),
        }
    }

    fn search(
        &self,
        need: &ResourceVector,
        accepts: impl Fn(&PoolWorker) -> bool,
    ) -> Option<WorkerId> {
        let cores = need.millicores / MILLICORES_PER_CORE;
        for ((_, free_cores), class) in self.classes.range((need.accelerators, 0)..) {
            if *free_cores < cores {
                continue;
            }
            let start = (need.memory_mib, WorkerId::from(""));
            for (_, id) in class.range(start..).take(CLASS_PROBES) {
                if self.workers.get(id).is_some_and(&accepts) {
                    return Some(id.clone());
                }
            }
        }
        None
    }

    /// Finds the open worker with room whose rack, then itself, holds the fewest of `siblings`.
    pub fn find_spread(
        &self,
        task: &TaskId,
        need: &ResourceVector,
        siblings: &BTreeMap<WorkerId, u32>,
        allowed: impl Fn(&PoolWorker) -> bool,
    ) -> Option<WorkerId> {
        let mut racks: BTreeMap<&RackId, u32> = BTreeMap::new();
        for (id, count) in siblings {
            if let Some(worker) = self.workers.get(id) {
                *racks.entry(&worker.spec.rack).or_default() += count;
            }
        }
        let fitting = self.workers.values().filter(|worker| {
            let kept = worker.kept_for.as_ref().is_some_and(|kept| kept != task);
            worker.open && !kept && need.fits(&worker.free) && allowed(worker)
        });
        let best = fitting.min_by_key(|worker| {
            let in_rack = racks.get(&worker.spec.rack).copied().unwrap_or(0);
            let here = siblings.get(&worker.spec.id).copied().unwrap_or(0);
            let wasted = worker.free.accelerators.saturating_sub(need.accelerators);
            (in_rack, here, wasted, worker.strands(need), u32::MAX - worker.free.millicores)
        });
        best.map(|worker| worker.spec.id.clone())
    }

    fn change(&mut self, id: &WorkerId, change: impl FnOnce(&mut PoolWorker)) {
        let Some(mut worker) = self.workers.remove(id) else {
            return;
        };
        self.unindex(&worker);
        change(&mut worker);
        self.index(&worker);
        self.workers.insert(id.clone(), worker);
    }

    fn index(&mut self, worker: &PoolWorker) {
        if worker.open {
            let key = (worker.free.memory_mib, worker.spec.id.clone());
            self.classes.entry(worker.class()).or_default().insert(key);
        }
    }

    fn unindex(&mut self, worker: &PoolWorker) {
        let class = worker.class();
        if let Some(members) = self.classes.get_mut(&class) {
            members.remove(&(worker.free.memory_mib, worker.spec.id.clone()));
            if members.is_empty() {
                self.classes.remove(&class);
            }
        }
    }

    /// Checks that no worker holds more than it has; for tests and the state dump.
    pub fn check(&self) -> bool {
        self.workers.values().all(|worker| {
            let sum = worker
                .tasks
                .values()
                .fold(ResourceVector::default(), |sum, need| sum.saturating_add(need));
            invariant::holds(sum.fits(&worker.spec.capacity), "capacity", || {
                format!("{} holds {sum:?} of {:?}", worker.spec.id, worker.spec.capacity)
            })
        })
    }
}
