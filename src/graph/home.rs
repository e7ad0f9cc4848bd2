//! In which failure domain a job runs.
//!
//! Load it answers: urgent jobs of ten tasks while a failure domain is cut off. Spread over three
//! domains, nearly every job has a task behind the cut and waits for its lease; kept in one, two thirds
//! of the jobs never notice. A leader that takes over lets a job go on as soon as the workers of its
//! domains are heard: the home is stored with the job, and another domain is used only once the store
//! has it too.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::graph::exchange::WorkerListing;
use crate::graph::job::GraphJob;
use crate::graph::lives::{LifeTable, SILENCE};
use crate::graph::queue::QueueRule;
use crate::graph::room::room_for;
use crate::graph::spec::StepSpec;
use crate::id::DomainId;

/// Longest objective of a job that has a home: what may take longer outlives a cut of a domain, which
/// lasts 5 to 7 s on our users' deployments, and is better placed where there is room.
const LONGEST_OBJECTIVE: Duration = Duration::from_secs(10);

/// The failure domain with most room for a new job; `None` for one that may run anywhere.
pub(crate) fn choose_home(lives: &LifeTable, job: &GraphJob, now: Instant) -> Option<DomainId> {
    let bound = job.spec.steps.iter().any(|step| step.gang || step.lasting);
    if bound || job.spec.repeat.is_some() || job.objective() > LONGEST_OBJECTIVE {
        return None;
    }
    let widest = job.spec.steps.iter().max_by_key(|step| step.count)?;
    let most = widest.max_per_worker.unwrap_or(u32::MAX);
    let mut room: BTreeMap<&DomainId, u32> = BTreeMap::new();
    let service = &job.rule.service;
    for life in lives.iter().filter(|life| life.open(now, SILENCE)) {
        if life.listing.service == *service && life.has_label(widest) {
            *room.entry(&life.listing.domain).or_default() +=
                room_for(&life.free(), &widest.reservation()).min(most);
        }
    }
    room.into_iter().max_by_key(|(_, room)| *room).map(|(domain, _)| domain.clone())
}

/// Whether a worker can run tasks of a step while it is empty, whatever advice says.
pub(crate) fn runs_on(step: &StepSpec, rule: &QueueRule, listing: &WorkerListing) -> bool {
    listing.service == rule.service
        && listing.leaving.is_none()
        && step.label.as_ref().is_none_or(|label| listing.labels.contains(label))
        && step.reservation().fits(&listing.capacity)
}

/// Failure domains in which an earlier leader's runs may still go on unseen.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UnsettledDomains {
    /// Those that are known.
    pub domains: BTreeSet<DomainId>,
    /// Whether there are workers whose domain is not known.
    pub unknown: bool,
}

impl UnsettledDomains {
    /// Whether a task of a job may run there, so that it must not be started again.
    pub(crate) fn holds(&self, job: &GraphJob) -> bool {
        job.inherited && (self.unknown || self.domains.iter().any(|domain| job.may_use(domain)))
    }
}
