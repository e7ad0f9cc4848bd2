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

use crate::graph::exchange::WorkerRegistration;
use crate::graph::instances::{InstanceTable, SILENCE_LIMIT};
use crate::graph::job::GraphJob;
use crate::graph::queue::QueueRule;
use crate::graph::spec::StepSpec;
use crate::graph::step_capacity::tasks_that_fit;
use crate::id::DomainId;

/// Longest objective of a job that has a home: what may take longer outlives a cut of a domain, which
/// lasts 5 to 7 s on our users' deployments, and is better placed where there is room.
const MAX_HOME_OBJECTIVE: Duration = Duration::from_secs(10);

/// The failure domain with most room for a new job; `None` for one that may run anywhere.
pub(crate) fn choose_home(
    instances: &InstanceTable,
    job: &GraphJob,
    now: Instant,
) -> Option<DomainId> {
    let spans_domains = job.spec.steps.iter().any(|step| step.gang || step.lasting);
    if spans_domains || job.spec.repeat.is_some() || job.objective() > MAX_HOME_OBJECTIVE {
        return None;
    }
    let widest = job.spec.steps.iter().max_by_key(|step| step.count)?;
    let limit = widest.max_per_worker.unwrap_or(u32::MAX);
    let mut tasks_by_domain: BTreeMap<&DomainId, u32> = BTreeMap::new();
    let service = &job.rule.service;
    for instance in instances.iter().filter(|instance| instance.accepts_work(now, SILENCE_LIMIT)) {
        if instance.registration.service == *service && instance.has_label(widest) {
            *tasks_by_domain.entry(&instance.registration.domain).or_default() +=
                tasks_that_fit(&instance.free(), &widest.reservation()).min(limit);
        }
    }
    tasks_by_domain.into_iter().max_by_key(|(_, tasks)| *tasks).map(|(domain, _)| domain.clone())
}

/// Whether a worker can run tasks of a step while it is empty, whatever advice says.
pub(crate) fn can_run_on(
    step: &StepSpec,
    rule: &QueueRule,
    registration: &WorkerRegistration,
) -> bool {
    registration.service == rule.service
        && registration.leaving.is_none()
        && step.label.as_ref().is_none_or(|label| registration.labels.contains(label))
        && step.reservation().fits(&registration.capacity)
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
