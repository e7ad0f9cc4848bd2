//! Which waiting task goes where.

use super::*;

/// Why a task was not placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PlacementFailure {
    NoRoom,
    Quota,
}

/// What one pass has found out.
pub(super) struct PassState {
    failures: u32,
    pub(super) victim_searches: u32,
    /// Needs that found no room in this pass, and whether they were urgent.
    misses: Vec<(bool, ResourceVector)>,
}

impl PassState {
    /// Tells whether something no larger has already found no room.
    fn cannot_fit(&self, spec: &JobSpec, need: &ResourceVector) -> bool {
        let urgent = spec.urgency == Urgency::Now;
        !urgent && self.misses.iter().any(|(_, missed)| missed.fits(need))
    }
}

impl TaskScheduler {
    pub(super) fn place_waiting(&mut self, now: Instant) {
        let mut pass = PassState { failures: 0, victim_searches: 0, misses: Vec::new() };
        for class in CLASSES {
            self.place_class(now, class, &mut pass);
        }
    }

    /// Serves the workspace with the smallest dominant share first, one task at a time.
    pub(super) fn place_class(&mut self, now: Instant, class: QueueClass, pass: &mut PassState) {
        let total = self.pool.total();
        let share = |used: Option<&ResourceVector>| {
            used.map_or(0, |used| (used.dominant_share(&total) * 1e9) as u64)
        };
        let workspaces = self.queue.workspaces(class);
        let mut turns: BTreeSet<(u64, WorkspaceId)> =
            workspaces.into_iter().map(|ws| (share(self.used.get(&ws)), ws)).collect();
        let mut cursors: BTreeMap<WorkspaceId, (UnixMillis, JobId)> = BTreeMap::new();
        while let Some((_, workspace)) = turns.pop_first() {
            if pass.failures >= PASS_FAILURES {
                return;
            }
            let cursor = cursors.get(&workspace);
            let Some(job) = self.queue.next_job(class, &workspace, cursor) else {
                continue;
            };
            if self.place_job(now, &job.1, pass).is_err() {
                cursors.insert(workspace.clone(), job);
            }
            turns.insert((share(self.used.get(&workspace)), workspace));
        }
    }

    /// Places one task of a batch job or service, or a whole all-at-once job.
    pub(super) fn place_job(
        &mut self,
        now: Instant,
        id: &JobId,
        pass: &mut PassState,
    ) -> std::result::Result<(), PlacementFailure> {
        let Some(queued) = self.queue.get(id) else {
            return Err(PlacementFailure::NoRoom);
        };
        let spec = queued.spec.clone();
        let Some(index) = queued.waiting.first().copied() else {
            return Err(PlacementFailure::NoRoom);
        };
        if spec.cut_off == crate::intent::CutOffRule::Move && !self.movable_allowed {
            return Err(PlacementFailure::NoRoom);
        }
        let need = self.estimates.need(&spec);
        if spec.spread == SpreadRule::None && pass.cannot_fit(&spec, &need) {
            return Err(PlacementFailure::NoRoom);
        }
        let placed = match spec.kind {
            JobKind::AllAtOnce => self.place_gang(now, &spec, need),
            JobKind::Batch | JobKind::Service => self.place_one(now, &spec, index, need, pass),
        };
        if placed == Err(PlacementFailure::NoRoom) {
            pass.failures += 1;
            if spec.kind != JobKind::AllAtOnce && spec.spread == SpreadRule::None {
                pass.misses.push((spec.urgency == Urgency::Now, need));
            }
        }
        placed
    }

    pub(super) fn within_quota(&self, spec: &JobSpec, need: &ResourceVector) -> bool {
        let Some(allowed) = self.allowed.get(&spec.workspace) else {
            return true;
        };
        let used = self.used.get(&spec.workspace).copied().unwrap_or_default();
        used.saturating_add(need).fits(allowed)
    }

    pub(super) fn place_one(
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
        match self.find(now, spec, &task, &need) {
            Some(worker) => {
                self.begin(now, spec, &task, worker, need);
                Ok(())
            }
            None => {
                if spec.urgency == Urgency::Now && !self.kept.contains_key(&task) {
                    self.preempt(now, &task, &need, pass);
                }
                Err(PlacementFailure::NoRoom)
            }
        }
    }

    pub(super) fn find(
        &self,
        now: Instant,
        spec: &JobSpec,
        task: &TaskId,
        need: &ResourceVector,
    ) -> Option<WorkerId> {
        let end = now + self.estimates.run_time(spec);
        let waited = self.unix.saturating_sub(spec.accepted);
        let strands = spec.urgency == Urgency::Now || waited > STRAND_PATIENCE_MS;
        let held =
            self.hold.as_ref().filter(|hold| hold.job != spec.id && spec.urgency != Urgency::Now);
        let fine = |worker: &PoolWorker| {
            let id = &worker.spec.id;
            let probation = self.health.probe_runs(id, now);
            !probation && held.is_none_or(|hold| hold.admits(now, id, end))
        };
        let fresh =
            |worker: &PoolWorker| fine(worker) && !self.health.failed_on(&worker.spec.id, &spec.id);
        match spec.spread {
            SpreadRule::None => self
                .pool
                .find_tightest(task, need, strands, fresh)
                .or_else(|| self.pool.find_tightest(task, need, strands, fine)),
            SpreadRule::Rack | SpreadRule::FailureDomain => {
                let siblings = self.siblings(&spec.id);
                self.pool
                    .find_spread(task, need, &siblings, fresh)
                    .or_else(|| self.pool.find_spread(task, need, &siblings, fine))
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

    pub(super) fn begin(
        &mut self,
        now: Instant,
        spec: &Arc<JobSpec>,
        task: &TaskId,
        worker: WorkerId,
        need: ResourceVector,
    ) {
        let free = !self.live.contains_key(task);
        if !invariant::holds(free, "one place", || format!("{task:?} already holds room")) {
            return;
        }
        if !self.pool.take(&worker, task, need) {
            return;
        }
        self.unkeep(task);
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
        let life = StagedTask::new(now, task.clone(), worker.clone(), need, attempt, run_time);
        self.live.insert(task.clone(), LiveTask::Starting(life));
        self.health.note_start(&worker, now);
        let (task, spec) = (task.clone(), spec.clone());
        self.actions.push(PlacementAction::Start { worker, task, attempt, need, spec });
    }

    /// Starts all tasks of a job or none; one that does not fit may hold workers back.
    pub(super) fn place_gang(
        &mut self,
        now: Instant,
        spec: &Arc<JobSpec>,
        need: ResourceVector,
    ) -> std::result::Result<(), PlacementFailure> {
        let open: Vec<TaskIndex> = match self.jobs.get(&spec.id) {
            Some(job) => (0..spec.count).filter(|index| !job.ended.contains(index)).collect(),
            None => return Err(PlacementFailure::NoRoom),
        };
        let waiting = self.queue.get(&spec.id).map_or(0, |queued| queued.waiting.len());
        if waiting < open.len() {
            return Err(PlacementFailure::NoRoom);
        }
        let count = u32::try_from(open.len()).unwrap_or(u32::MAX);
        if !self.within_quota(spec, &need.times(count)) {
            return Err(PlacementFailure::Quota);
        }
        let mut taken = Vec::new();
        for index in &open {
            let task = (spec.id.clone(), *index);
            match self.find(now, spec, &task, &need) {
                Some(worker) if self.pool.take(&worker, &task, need) => taken.push((task, worker)),
                _ => break,
            }
        }
        for (task, worker) in &taken {
            self.pool.give_back(worker, task);
        }
        if taken.len() < open.len() {
            self.hold_for(now, spec, need, count);
            return Err(PlacementFailure::NoRoom);
        }
        self.drop_hold(&spec.id);
        for (task, worker) in taken {
            self.begin(now, spec, &task, worker, need);
        }
        Ok(())
    }

    pub(super) fn hold_for(
        &mut self,
        now: Instant,
        spec: &JobSpec,
        need: ResourceVector,
        count: u32,
    ) {
        if self.hold.is_some() {
            return;
        }
        let ends = |worker: &PoolWorker| {
            let mut end = now;
            let mut room = worker.spec.capacity;
            for (task, held) in &worker.tasks {
                let job = self.jobs.get(&task.0);
                let lasting = job.is_none_or(|job| job.spec.kind == JobKind::Service);
                match self.live.get(task) {
                    Some(live) if !lasting => end = end.max(live.expected_end()),
                    _ => room = room.saturating_sub(held),
                }
            }
            (end, room)
        };
        self.hold = GangReservation::plan(spec.id.clone(), &need, count, &self.pool, ends);
    }
}
