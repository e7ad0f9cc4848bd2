//! Writes changes to the store in groups and applies the effects of stored groups.

use log::{info, warn};
use tokio::time::Instant;

use crate::graph::controller::GraphController;
use crate::graph::event::{GraphAction, GraphAnswer};
use crate::graph::sharding::notice::{NoticeKind, ShardNotice};
use crate::graph::sharding::shard::ShardId;
use crate::graph::storing::commit::{CommitGroup, GroupEffect, GroupIds, GroupNumber, TakenName};
use crate::graph::workload::job::{GraphJob, GraphRecord};
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
            self.commits.remove(id, now);
        }
        let ids = self.commits.take(now);
        let effect = self.group_effect(&ids);
        let group = self.build_group(ids);
        let empty = group.added.is_empty()
            && group.progress.is_empty()
            && group.removed.is_empty()
            && group.notices.is_empty()
            && group.settled.is_empty()
            && group.workers.is_none();
        let number = group.number;
        self.commits.note_sent(group.clone(), effect, now);
        match empty {
            true => self.handle_group_stored(now, number),
            false => self.actions.push(GraphAction::Commit(group)),
        }
    }

    fn group_effect(&self, ids: &GroupIds) -> GroupEffect {
        let mut effect = GroupEffect::default();
        for instance in self.instances.iter() {
            let covered = instance.last_covered_end(|job| self.commits.has_change(job));
            if covered > instance.last_stored_end {
                effect.ends.insert(instance.instance_id(), covered);
            }
            if ids.workers_changed && instance.claimed {
                effect.stored_workers.insert(instance.id().clone());
            }
        }
        effect
    }

    fn build_group(&self, ids: GroupIds) -> CommitGroup {
        let record = |id: &GraphId| {
            let job = self.jobs.get(id)?;
            let (home, share) = (job.home.clone(), job.share.clone());
            let (spec, rule) = ((*job.spec).clone(), (*job.rule).clone());
            Some(GraphRecord { spec, rule, workspace: job.workspace.clone(), home, share })
        };
        let notice = |(job, shard, kind): (GraphId, ShardId, NoticeKind)| {
            let record = match kind {
                NoticeKind::Start => Some(record(&job)?),
                NoticeKind::Cancel | NoticeKind::Fail => None,
            };
            Some(ShardNotice { shard, job, kind, record })
        };
        let is_part = |id: &&GraphId| self.jobs.get(id).is_some_and(GraphJob::is_part);
        let progress = |id: &GraphId| Some((id.clone(), self.jobs.get(id)?.progress.clone()));
        CommitGroup {
            number: ids.number,
            added: ids.added.iter().filter_map(record).collect(),
            progress: ids.changed.iter().filter_map(progress).collect(),
            removed_parts: ids.removed.iter().filter(is_part).cloned().collect(),
            removed: ids.removed,
            notices: ids.notices.into_iter().filter_map(notice).collect(),
            settled: ids.settled,
            workers: ids.workers_changed.then(|| self.instances.in_use()),
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
        self.forget_work(id);
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
        let Some((group, effect)) = self.commits.take_stored(number) else {
            warn!(number; "stored group was not in flight");
            return;
        };
        self.pass_wanted = true;
        for name in taken {
            self.remove_taken(number, name);
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
                None => {}
            }
            let answer = match verdict {
                GraphVerdict::Cancelled => GraphAnswer::Cancelled,
                GraphVerdict::Completed | GraphVerdict::Failed => GraphAnswer::Gone,
            };
            self.answer_waiters(&id, answer);
        }
        for id in &group.removed {
            self.jobs.remove(id);
            self.forget_work(id);
        }
        for (instance, number) in effect.ends {
            self.instances.ends_stored(now, &instance, number);
        }
        for worker in effect.stored_workers {
            if let Some(instance) = self.instances.get_mut(&worker) {
                instance.in_store = true;
            }
        }
    }
}
