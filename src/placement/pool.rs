//! The workers of a failure domain and their free capacity.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::id::{RackId, TaskId, WorkerId};
use crate::invariant;
use crate::resources::ResourceVector;

/// Maximum number of workers that a search examines in one class.
const MAX_CLASS_CANDIDATES: usize = 8;
/// Millicores in a core; classes are formed by whole free cores.
const MILLICORES_PER_CORE: u32 = 1_000;

/// A worker as the platform lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WorkerSpec {
    /// Name of the worker.
    pub id: WorkerId,
    /// Rack that holds it.
    pub rack: RackId,
    /// Its total capacity.
    pub capacity: ResourceVector,
}

/// A worker and the reservations on it.
#[derive(Clone, Debug)]
pub struct PoolWorker {
    /// The worker.
    pub spec: WorkerSpec,
    /// Capacity that is not reserved.
    pub free: ResourceVector,
    /// Reservations by task.
    pub tasks: BTreeMap<TaskId, ResourceVector>,
    /// Whether new work may be placed on it.
    pub schedulable: bool,
    /// The only task that may use free capacity here, while other tasks are preempted for it.
    pub reserved_for: Option<TaskId>,
}

impl PoolWorker {
    fn class_key(&self) -> ClassKey {
        (self.free.accelerators, self.free.millicores / MILLICORES_PER_CORE)
    }

    /// Tells whether a task without accelerators would leave too few processors or too little
    /// memory for the free accelerators to be used: less than half of their share.
    fn strands_accelerators(&self, need: &ResourceVector) -> bool {
        if need.accelerators > 0 || self.free.accelerators == 0 {
            return false;
        }
        let devices = self.spec.capacity.accelerators.max(1);
        let share = |total: u32| total / devices / 2 * self.free.accelerators;
        let left = self.free.saturating_sub(need);
        left.millicores < share(self.spec.capacity.millicores)
            || left.memory_mib < share(self.spec.capacity.memory_mib)
    }
}

/// Free accelerators and whole free cores.
type ClassKey = (u32, u32);
type ClassIndex = BTreeMap<ClassKey, BTreeSet<(u32, WorkerId)>>;

/// All workers, with an index of the schedulable ones by free capacity.
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
    /// Adds a schedulable worker without tasks; a known worker is left unchanged.
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
            schedulable: true,
            reserved_for: None,
        };
        self.index(&worker);
        self.workers.insert(worker.spec.id.clone(), worker);
    }

    /// Removes a worker and returns the tasks that had reservations on it.
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

    /// Unreserved capacity of all schedulable workers.
    pub fn free(&self) -> ResourceVector {
        let schedulable = self.workers.values().filter(|worker| worker.schedulable);
        schedulable.fold(ResourceVector::default(), |sum, worker| sum.saturating_add(&worker.free))
    }

    /// Tells whether `need` fits into the total capacity of some worker.
    pub fn fits_some_worker(&self, need: &ResourceVector) -> bool {
        self.workers.values().any(|worker| need.fits(&worker.spec.capacity))
    }

    /// Sets whether new work may be placed on a worker.
    pub fn set_schedulable(&mut self, id: &WorkerId, schedulable: bool) {
        self.update(id, |worker| worker.schedulable = schedulable);
    }

    /// Reserves the free capacity of a worker for one task, or lifts that reservation.
    pub fn reserve_for(&mut self, id: &WorkerId, task: Option<TaskId>) {
        self.update(id, |worker| worker.reserved_for = task);
    }

    /// Reserves capacity for a task and tells whether there was enough.
    pub fn allocate(&mut self, id: &WorkerId, task: &TaskId, need: ResourceVector) -> bool {
        let Some(worker) = self.workers.get(id) else {
            return false;
        };
        let Some(free) = worker.free.checked_sub(&need) else {
            return invariant::check(false, "capacity", || {
                format!("{task:?} needs {need:?} on {id} with {:?} free", worker.free)
            });
        };
        if !invariant::check(!worker.tasks.contains_key(task), "one place", || {
            format!("{task:?} already holds a reservation")
        }) {
            return false;
        }
        self.update(id, |worker| {
            worker.free = free;
            worker.tasks.insert(task.clone(), need);
        });
        true
    }

    /// Records a task that the worker already runs, even if that exceeds its free capacity.
    pub fn record_running(&mut self, id: &WorkerId, task: &TaskId, need: ResourceVector) {
        self.update(id, |worker| {
            if worker.tasks.insert(task.clone(), need).is_none() {
                worker.free = worker.free.saturating_sub(&need);
            }
        });
    }

    /// Frees the reservation of a task.
    pub fn deallocate(&mut self, id: &WorkerId, task: &TaskId) {
        self.update(id, |worker| {
            if worker.tasks.remove(task).is_some() {
                let reservations = worker.tasks.values();
                let sum = reservations
                    .fold(ResourceVector::default(), |sum, need| sum.saturating_add(need));
                worker.free = worker.spec.capacity.saturating_sub(&sum);
            }
        });
    }

    /// Finds the schedulable worker that `need` fits most tightly. Workers that are not `allowed` or
    /// are reserved for a task other than `task` are passed over. With `may_strand_accelerators`,
    /// a worker whose free accelerators would become unusable is taken if there is no other.
    pub fn find_tightest(
        &self,
        task: &TaskId,
        need: &ResourceVector,
        may_strand_accelerators: bool,
        allowed: impl Fn(&PoolWorker) -> bool,
    ) -> Option<WorkerId> {
        let accepts = |worker: &PoolWorker| {
            let reserved = worker.reserved_for.as_ref().is_some_and(|reserved| reserved != task);
            !reserved && need.fits(&worker.free) && allowed(worker)
        };
        let accepts_without_stranding =
            |worker: &PoolWorker| accepts(worker) && !worker.strands_accelerators(need);
        match may_strand_accelerators {
            true => {
                self.search(need, accepts_without_stranding).or_else(|| self.search(need, accepts))
            }
            false => self.search(need, accepts_without_stranding),
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
            for (_, id) in class.range(start..).take(MAX_CLASS_CANDIDATES) {
                if self.workers.get(id).is_some_and(&accepts) {
                    return Some(id.clone());
                }
            }
        }
        None
    }

    /// Finds the schedulable worker with enough capacity whose rack, and then which itself, runs the
    /// fewest of `siblings`.
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
        let candidates = self.workers.values().filter(|worker| {
            let reserved = worker.reserved_for.as_ref().is_some_and(|reserved| reserved != task);
            worker.schedulable && !reserved && need.fits(&worker.free) && allowed(worker)
        });
        let best = candidates.min_by_key(|worker| {
            let in_rack = racks.get(&worker.spec.rack).copied().unwrap_or(0);
            let on_worker = siblings.get(&worker.spec.id).copied().unwrap_or(0);
            let unused_accelerators = worker.free.accelerators.saturating_sub(need.accelerators);
            (
                in_rack,
                on_worker,
                unused_accelerators,
                worker.strands_accelerators(need),
                u32::MAX - worker.free.millicores,
            )
        });
        best.map(|worker| worker.spec.id.clone())
    }

    fn update(&mut self, id: &WorkerId, update: impl FnOnce(&mut PoolWorker)) {
        let Some(mut worker) = self.workers.remove(id) else {
            return;
        };
        self.unindex(&worker);
        update(&mut worker);
        self.index(&worker);
        self.workers.insert(id.clone(), worker);
    }

    fn index(&mut self, worker: &PoolWorker) {
        if worker.schedulable {
            let key = (worker.free.memory_mib, worker.spec.id.clone());
            self.classes.entry(worker.class_key()).or_default().insert(key);
        }
    }

    fn unindex(&mut self, worker: &PoolWorker) {
        let class = worker.class_key();
        if let Some(members) = self.classes.get_mut(&class) {
            members.remove(&(worker.free.memory_mib, worker.spec.id.clone()));
            if members.is_empty() {
                self.classes.remove(&class);
            }
        }
    }

    /// Checks that no reservations exceed the capacity of their worker; for tests and the state dump.
    pub fn check(&self) -> bool {
        self.workers.values().all(|worker| {
            let sum = worker
                .tasks
                .values()
                .fold(ResourceVector::default(), |sum, need| sum.saturating_add(need));
            invariant::check(sum.fits(&worker.spec.capacity), "capacity", || {
                format!("{} has {sum:?} reserved of {:?}", worker.spec.id, worker.spec.capacity)
            })
        })
    }
}
