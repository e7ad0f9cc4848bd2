//! Scheduling passes: placement of waiting tasks.

use super::*;

/// Why a task was not placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PlacementFailure {
    NoCapacity,
    Quota,
}

/// State of one scheduling pass.
pub(super) struct PassState {
    failures: u32,
    pub(super) victim_searches: u32,
    /// Reservations that did not fit in this pass, and whether they were for urgent jobs.
    failed_needs: Vec<(bool, ResourceVector)>,
}

impl PassState {
    /// Tells whether a reservation that is no larger has already failed to fit. Urgent jobs are always
    /// tried.
    fn cannot_fit(&self, spec: &JobSpec, need: &ResourceVector) -> bool {
        let urgent = spec.urgency == Urgency::Now;
        !urgent && self.failed_needs.iter().any(|(_, failed)| failed.fits(need))
    }
}

impl TaskScheduler {
    pub(super) fn place_waiting(&mut self, now: Instant) {
        let mut pass = PassState { failures: 0, victim_searches: 0, failed_needs: Vec::new() };
        for class in QUEUE_CLASSES {
            self.place_class(now, class, &mut pass);
        }
    }

    /// Places the jobs of one class, one task at a time, always for the workspace with the smallest
    /// dominant share.
    pub(super) fn place_class(&mut self, now: Instant, class: QueueClass, pass: &mut PassState) {
        let total = self.pool.total();
        let share = |used: Option<&ResourceVector>| {
            used.map_or(0, |used| (used.dominant_share(&total) * 1e9) as u64)
        };
        let workspaces = self.queue.workspaces(class);
        let mut workspace_order: BTreeSet<(u64, WorkspaceId)> =
            workspaces.into_iter().map(|ws| (share(self.used.get(&ws)), ws)).collect();
        let mut cursors: BTreeMap<WorkspaceId, (UnixMillis, JobId)> = BTreeMap::new();
        while let Some((_, workspace)) = workspace_order.pop_first() {
            if pass.failures >= MAX_PASS_FAILURES {
                return;
            }
            let cursor = cursors.get(&workspace);
            let Some(job) = self.queue.next_job(class, &workspace, cursor) else {
                continue;
            };
            if self.place_job(now, &job.1, pass).is_err() {
                cursors.insert(workspace.clone(), job);
            }
            workspace_order.insert((share(self.used.get(&workspace)), workspace));
        }
    }

    /// Places one task of a batch job or service, or all tasks of an all-at-once job.
    pub(super) fn place_job(
        &mut self,
        now: Instant,
        id: &JobId,
        pass: &mut PassState,
    ) -> std::result::Result<(), PlacementFailure> {
        let Some(queued) = self.queue.get(id) else {
            return Err(PlacementFailure::NoCapacity);
        };
        let spec = queued.spec.clone();
        let Some(index) = queued.waiting.first().copied() else {
            return Err(PlacementFailure::NoCapacity);
        };
        if spec.cut_off == crate::intent::CutOffRule::Move && !self.movable_allowed {
            return Err(PlacementFailure::NoCapacity);
        }
        let need = self.estimates.need(&spec);
        if spec.spread == SpreadRule::None && pass.cannot_fit(&spec, &need) {
            return Err(PlacementFailure::NoCapacity);
        }
        let placed = match spec.kind {
            JobKind::AllAtOnce => self.place_gang(now, &spec, need),
            JobKind::Batch | JobKind::Service => self.place_task(now, &spec, index, need, pass),
        };
        if placed == Err(PlacementFailure::NoCapacity) {
            pass.failures += 1;
            if spec.kind != JobKind::AllAtOnce && spec.spread == SpreadRule::None {
                pass.failed_needs.push((spec.urgency == Urgency::Now, need));
            }
        }
        placed
    }

    pub(super) fn within_quota(&self, spec: &JobSpec, need: &ResourceVector) -> bool {
        let Some(limit) = self.usage_limits.get(&spec.workspace) else {
            return true;
        };
        let used = self.used.get(&spec.workspace).copied().unwrap_or_default();
        used.saturating_add(need).fits(limit)
    }

    pub(super) fn place_task(
        &mut self,
        now: Instant,
        spec: &Arc<JobSpec>,
        index: TaskIndex,
        need: ResourceVector,
        pass: &mut PassState,
    ) -> std::result::Result<(), PlacementFailure> {
        if !self.within_quota(spec, &need) {
            return Err(PlacementFailure::Quota);
        }
        let task = (spec.id.clone(), index);
        match self.find_worker(now, spec, &task, &need) {
            Some(worker) => {
                self.start_task(now, spec, &task, worker, need);
                Ok(())
            }
            None => {
                if spec.urgency == Urgency::Now && !self.capacity_reservations.contains_key(&task) {
                    self.preempt(now, &task, &need, pass);
                }
                Err(PlacementFailure::NoCapacity)
            }
        }
    }

    pub(super) fn find_worker(
        &self,
        now: Instant,
        spec: &JobSpec,
        task: &TaskId,
        need: &ResourceVector,
    ) -> Option<WorkerId> {
        let expected_end = now + self.estimates.run_time(spec);
        let waited = self.unix_now.saturating_sub(spec.accepted);
        let may_strand_accelerators = spec.urgency == Urgency::Now || waited > STRAND_WAIT_MS;
        let other_reservation = self
            .gang_reservation
            .as_ref()
            .filter(|reservation| reservation.job != spec.id && spec.urgency != Urgency::Now);
        let usable = |worker: &PoolWorker| {
            let id = &worker.spec.id;
            let probing = self.health.is_probe_running(id, now);
            !probing
                && other_reservation
                    .is_none_or(|reservation| reservation.allows(now, id, expected_end))
        };
        let untried = |worker: &PoolWorker| {
            usable(worker) && !self.health.failed_on(&worker.spec.id, &spec.id)
        };
        match spec.spread {
            SpreadRule::None => self
                .pool
                .find_tightest(task, need, may_strand_accelerators, untried)
                .or_else(|| self.pool.find_tightest(task, need, may_strand_accelerators, usable)),
            SpreadRule::Rack | SpreadRule::FailureDomain => {
                let siblings = self.siblings(&spec.id);
                self.pool
                    .find_spread(task, need, &siblings, untried)
                    .or_else(|| self.pool.find_spread(task, need, &siblings, usable))
            }
        }
    }

    pub(super) fn siblings(&self, id: &JobId) -> BTreeMap<WorkerId, u32> {
        let mut siblings = BTreeMap::new();
        if let Some(job) = self.jobs.get(id) {
            for index in &job.live {
                if let Some(live) = self.live.get(&(id.clone(), *index)) {
                    *siblings.entry(live.worker().clone()).or_default() += 1;
                }
            }
        }
        siblings
    }

    pub(super) fn start_task(
        &mut self,
        now: Instant,
        spec: &Arc<JobSpec>,
        task: &TaskId,
        worker: WorkerId,
        need: ResourceVector,
    ) {
        let unplaced = !self.live.contains_key(task);
        if !invariant::check(unplaced, "one place", || {
            format!("{task:?} already holds a reservation")
        }) {
            return;
        }
        if !self.pool.allocate(&worker, task, need) {
            return;
        }
        self.drop_capacity_reservation(task);
        self.queue.remove(&task.0, task.1);
        self.charge(&spec.workspace, need);
        let run_time = self.estimates.run_time(spec);
        let Some(job) = self.jobs.get_mut(&task.0) else {
            return;
        };
        let last = job.attempts.entry(task.1).or_default();
        *last = (*last).max(self.attempt_base) + 1;
        let attempt = *last;
        job.live.insert(task.1);
        let staged = StagedTask::new(now, task.clone(), worker.clone(), need, attempt, run_time);
        self.live.insert(task.clone(), LiveTask::Starting(staged));
        self.health.note_start(&worker, now);
        let (task, spec) = (task.clone(), spec.clone());
        self.actions.push(PlacementAction::Start { worker, task, attempt, need, spec });
    }

    /// Starts all tasks of a job or none; if they do not fit, workers may be reserved for the job.
    pub(super) fn place_gang(
        &mut self,
        now: Instant,
        spec: &Arc<JobSpec>,
        need: ResourceVector,
    ) -> std::result::Result<(), PlacementFailure> {
        let unfinished: Vec<TaskIndex> = match self.jobs.get(&spec.id) {
            Some(job) => (0..spec.count).filter(|index| !job.ended.contains(index)).collect(),
            None => return Err(PlacementFailure::NoCapacity),
        };
        let waiting = self.queue.get(&spec.id).map_or(0, |queued| queued.waiting.len());
        if waiting < unfinished.len() {
            return Err(PlacementFailure::NoCapacity);
        }
        let count = u32::try_from(unfinished.len()).unwrap_or(u32::MAX);
        if !self.within_quota(spec, &need.times(count)) {
            return Err(PlacementFailure::Quota);
        }
        let mut allocated = Vec::new();
        for index in &unfinished {
            let task = (spec.id.clone(), *index);
            match self.find_worker(now, spec, &task, &need) {
                Some(worker) if self.pool.allocate(&worker, &task, need) => {
                    allocated.push((task, worker))
                }
                _ => break,
            }
        }
        for (task, worker) in &allocated {
            self.pool.deallocate(worker, task);
        }
        if allocated.len() < unfinished.len() {
            self.reserve_workers(now, spec, need, count);
            return Err(PlacementFailure::NoCapacity);
        }
        self.drop_gang_reservation(&spec.id);
        for (task, worker) in allocated {
            self.start_task(now, spec, &task, worker, need);
        }
        Ok(())
    }

    pub(super) fn reserve_workers(
        &mut self,
        now: Instant,
        spec: &JobSpec,
        need: ResourceVector,
        count: u32,
    ) {
        if self.gang_reservation.is_some() {
            return;
        }
        let availability = |worker: &PoolWorker| {
            let mut free_at = now;
            let mut capacity = worker.spec.capacity;
            for (task, reserved) in &worker.tasks {
                let job = self.jobs.get(&task.0);
                let runs_forever = job.is_none_or(|job| job.spec.kind == JobKind::Service);
                match self.live.get(task) {
                    Some(live) if !runs_forever => free_at = free_at.max(live.expected_end()),
                    _ => capacity = capacity.saturating_sub(reserved),
                }
            }
            (free_at, capacity)
        };
        self.gang_reservation =
            GangReservation::plan(spec.id.clone(), &need, count, &self.pool, availability);
    }
}
