//! Writes changes to the store in groups and applies the effects of stored groups.

use std::collections::BTreeSet;

use log::{error, info, warn};
use tokio::time::Instant;

use crate::graph::controller::GraphController;
use crate::graph::event::{GraphAction, GraphAnswer};
use crate::graph::exchange::UsedWorker;
use crate::graph::sharding::notice::{NoticeKind, ShardNotice};
use crate::graph::sharding::shard::ShardId;
use crate::graph::sharding::transfer::DepartingJob;
use crate::graph::storing::commit::{CommitGroup, GroupEffect, GroupIds, GroupNumber, TakenName};
use crate::graph::storing::compaction::CompactedJob;
use crate::graph::workload::job::GraphRecord;
use crate::graph::workload::name::GraphId;
use crate::graph::workload::progress::GraphVerdict;
use crate::id::UnixMillis;

impl GraphController {
    /// Emits the next commit group, if one is due.
    pub(super) fn commit_next_group(&mut self, now: Instant, unix: UnixMillis) {
        if !self.commits.is_due(now) {
            return;
        }
        let old = unix.saturating_sub(self.bounds.retention.as_millis() as u64);
        for id in self.jobs.ended_before(old) {
            if !self.commits.is_arriving(&id) {
                self.commits.remove(id, now);
            }
        }
        // Without this distinction a group that only lets ends be acknowledged would become a call to the store.
        let is_for_compactions = !self.commits.has_changes();
        let mut ids = self.commits.take(now);
        self.set_oversized_aside(now, &mut ids);
        let spare_keys = ids.spare_keys;
        let mut group = self.build_group(ids, now, unix);
        let effect = self.group_effect(group.workers.as_deref());
        if is_for_compactions || group.has_changes() {
            self.fill_with_compactions(&mut group, spare_keys);
        }
        let number = group.number;
        self.commits.note_sent(group.clone(), effect, now);
        match group.is_empty() {
            true => self.handle_group_stored(now, number),
            false => self.actions.push(GraphAction::Commit(group)),
        }
    }

    /// Leaves jobs out of a group whose progress the store would reject: one of them would keep all others from being
    /// stored. Ends of their runs are not acknowledged until their progress is stored.
    fn set_oversized_aside(&mut self, now: Instant, ids: &mut GroupIds) {
        let max_bytes = self.bounds.max_value_bytes;
        let jobs = &self.jobs;
        let exceeds =
            |id: &mut GraphId| jobs.get(id).is_some_and(|job| job.progress.exceeds(max_bytes));
        let oversized: Vec<GraphId> = ids.changed.extract_if(.., exceeds).collect();
        for id in oversized {
            error!(job = &*id, max_bytes; "the progress of a job is larger than the store takes");
            metrics::counter!("kelplink_oversized_jobs_total").increment(1);
            self.commits.set_aside(id, now);
        }
    }

    /// Adds compactions of ended jobs to a group that may write `keys` more.
    fn fill_with_compactions(&mut self, group: &mut CommitGroup, keys: usize) {
        let changed: BTreeSet<GraphId> = group.progress.iter().map(|(id, _)| id.clone()).collect();
        let (jobs, knows_all_runs) = (&self.jobs, self.knows_all_runs());
        self.commits.fill(group, keys, |id| {
            let job = jobs.settled(id, knows_all_runs).filter(|_| !changed.contains(id));
            job.map(CompactedJob::new)
        });
    }

    /// Whether all runs that earlier leaders have started were found or have ended.
    pub(super) fn knows_all_runs(&self) -> bool {
        self.unseen_invalidated || self.uncontacted.is_empty()
    }

    /// Finds the ended jobs that can be compacted.
    pub(super) fn review_compactions(&mut self, now: Instant) {
        let (jobs, knows_all_runs) = (&self.jobs, self.knows_all_runs());
        self.commits.review_compactions(now, |id| jobs.settled(id, knows_all_runs).is_some());
    }

    fn group_effect(&self, used: Option<&[UsedWorker]>) -> GroupEffect {
        let mut effect = GroupEffect::default();
        let is_claimed = |used: &&UsedWorker| {
            self.instances.get(&used.id).is_some_and(|instance| instance.claimed)
        };
        effect.stored_workers = used.into_iter().flatten().filter(is_claimed).cloned().collect();
        for instance in self.instances.iter() {
            let covered = instance.last_covered_end(|job| self.commits.has_change(job));
            if covered > instance.last_stored_end {
                effect.ends.insert(instance.instance_id(), covered);
            }
        }
        effect
    }

    fn build_group(&self, ids: GroupIds, now: Instant, unix: UnixMillis) -> CommitGroup {
        let record = |id: &GraphId| Some(self.jobs.get(id)?.record());
        let notice = |(job, shard, kind): (GraphId, ShardId, NoticeKind)| {
            let record = match kind {
                NoticeKind::Start => Some(record(&job)?),
                NoticeKind::Cancel | NoticeKind::Fail | NoticeKind::Move => None,
            };
            Some(ShardNotice { shard, job, kind, record })
        };
        let is_elsewhere =
            |id: &&GraphId| self.jobs.get(id).is_some_and(|job| job.is_part() || job.has_moved());
        let base = self.run_base();
        let departing = |(id, shard): (GraphId, ShardId)| {
            Some(DepartingJob::new(self.jobs.get(&id)?, shard, base, unix))
        };
        let progress = |id: &GraphId| Some((id.clone(), self.jobs.get(id)?.progress.clone()));
        CommitGroup {
            number: ids.number,
            added: ids.added.iter().filter_map(record).collect(),
            progress: ids.changed.iter().filter_map(progress).collect(),
            removed_parts: ids.removed.iter().filter(is_elsewhere).cloned().collect(),
            removed: ids.removed,
            notices: ids.notices.into_iter().filter_map(notice).collect(),
            settled: ids.settled,
            workers: ids.workers_changed.then(|| self.instances.in_use(now)),
            compacted: Vec::new(),
            departing: ids.departing.into_iter().filter_map(departing).collect(),
            arriving: ids.arriving,
        }
    }

    /// Handles the store's confirmation of a group.
    pub fn handle_group_stored(&mut self, now: Instant, number: GroupNumber) {
        self.handle_group_partly_stored(now, number, &[]);
    }

    /// Removes a job whose name another shard has, and answers its callers. Without an answer they ask again, as
    /// after any call whose outcome is not known.
    fn remove_taken(&mut self, number: GroupNumber, name: &TakenName) {
        let id = &name.job;
        let workspace = self.jobs.get(id).and_then(|job| job.workspace.clone());
        let answer = name.holder.answer(workspace.as_ref());
        info!(job = &**id, group = number, answer:?; "job was already accepted in another shard");
        self.jobs.remove(id);
        self.advice.forget(id);
        match answer {
            Some(answer) => self.answer_waiters(id, answer),
            None => {
                self.waiters.remove(id);
            }
        }
    }

    /// Handles the confirmation of a group of which the store left out jobs that the leader of
    /// another shard had accepted before.
    pub fn handle_group_partly_stored(
        &mut self,
        now: Instant,
        number: GroupNumber,
        taken: &[TakenName],
    ) {
        let Some((group, effect)) = self.commits.take_stored(number, now) else {
            warn!(number; "stored group was not in flight");
            return;
        };
        self.pass_wanted = true;
        let is_arriving = |id: &GraphId| group.arriving.iter().any(|job| job.id() == id);
        for name in taken.iter().filter(|name| !is_arriving(&name.job)) {
            self.remove_taken(number, name);
        }
        for job in &group.departing {
            self.finish_departure(now, job);
        }
        for job in &group.arriving {
            let is_withdrawn = taken.iter().any(|name| name.job == *job.id());
            self.finish_arrival(job, is_withdrawn);
        }
        let is_taken = |record: &&GraphRecord| taken.iter().any(|name| name.job == record.spec.id);
        for record in group.added.iter().filter(|record| !is_taken(record)) {
            let id = &record.spec.id;
            if let Some(job) = self.jobs.get_mut(id) {
                job.durable = true;
                let (queue, workspace) = (&*job.spec.queue, job.workspace.as_deref());
                let (steps, exceeds_rate) = (job.spec.steps.len(), job.exceeds_rate);
                info!(job = &**id, queue, workspace, exceeds_rate, steps, group = number; "job accepted");
            }
            if self.jobs.get(id).is_some_and(|job| !job.is_over()) {
                self.answer_waiters(id, GraphAnswer::Accepted);
            }
            if record.share.is_some() {
                self.send_notices(id);
            }
        }
        for (id, progress) in group.progress {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.stored_domains.extend(progress.domains.iter().cloned());
                job.stored_floors = progress.floors.clone();
                job.stored_announced = progress.announced.clone();
            }
            // Tasks may have waited for this progress to be stored.
            self.jobs.mark_schedulable(&id);
            let Some(verdict) = progress.verdict else {
                continue;
            };
            if let Some(job) = self.jobs.get_mut(&id) {
                job.stored_verdict = Some(verdict);
                info!(job = &*id, verdict:?, group = number; "job ended");
            }
            self.advice.forget(&id);
            match self.jobs.get(&id).filter(|job| job.share.is_some()) {
                Some(job) if job.is_part() && verdict != GraphVerdict::Failed => {
                    self.commits.settle_notice(id.clone(), NoticeKind::Cancel, now);
                }
                Some(job) => {
                    if !job.is_part() {
                        self.commits.settle_notice(id.clone(), NoticeKind::Fail, now);
                    }
                    self.send_notices(&id);
                }
                None => self.commits.compact(id.clone()),
            }
            let answer = match verdict {
                GraphVerdict::Cancelled => GraphAnswer::Cancelled,
                GraphVerdict::Completed | GraphVerdict::Failed => GraphAnswer::Gone,
                GraphVerdict::Moved => GraphAnswer::Unready,
            };
            self.answer_waiters(&id, answer);
        }
        for id in &group.removed {
            self.jobs.remove(id);
        }
        metrics::counter!("kelplink_compacted_jobs_total").increment(group.compacted.len() as u64);
        for (instance, number) in effect.ends {
            self.instances.ends_stored(now, &instance, number);
        }
        for used in &effect.stored_workers {
            self.instances.note_stored(used);
        }
    }
}
