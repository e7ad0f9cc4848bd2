//! Home domains: the failure domain in which a job runs.
//!
//! This limits the effect of a network partition that cuts off a failure domain on urgent jobs of
//! ten tasks. If jobs are spread over three domains, nearly every job has a task in the domain that
//! is cut off and waits for the lease of that task's worker to expire. With each job in one domain,
//! two thirds of the jobs are not affected. A new leader continues a job as soon as the workers of
//! its domains have answered: the home is stored with the job, and another domain is used only once
//! it is stored as well.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::graph::exchange::WorkerRegistration;
use crate::graph::placement::step_capacity::tasks_that_fit;
use crate::graph::workers::instances::InstanceTable;
use crate::graph::workload::job::GraphJob;
use crate::graph::workload::queue::QueueRule;
use crate::graph::workload::spec::StepSpec;
use crate::id::DomainId;

/// Longest objective of a job with a home. A job with a longer one can wait until a domain that was
/// cut off is back, which takes 5 to 7 s on our users' deployments, and is better placed where there
/// is capacity.
const MAX_HOME_OBJECTIVE: Duration = Duration::from_secs(10);

/// The failure domain with the most capacity for a new job; `None` for a job that may run anywhere.
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
    for instance in instances.accepting_work(now) {
        if instance.registration.service == *service && instance.has_label(widest) {
            *tasks_by_domain.entry(&instance.registration.domain).or_default() +=
                tasks_that_fit(&instance.free(), &widest.reservation()).min(limit);
        }
    }
    tasks_by_domain.into_iter().max_by_key(|(_, tasks)| *tasks).map(|(domain, _)| domain.clone())
}

/// Whether an empty worker could run tasks of a step, regardless of advice.
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

/// Failure domains in which runs of an earlier leader may continue although their workers have not
/// answered.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UnsettledDomains {
    /// The known domains.
    pub domains: BTreeSet<DomainId>,
    /// Whether there are such workers with an unknown domain.
    pub unknown: bool,
}

impl UnsettledDomains {
    /// Whether a task of a job may still run in these domains, so that it must not be started
    /// again.
    pub(crate) fn affects(&self, job: &GraphJob) -> bool {
        job.inherited && (self.unknown || self.domains.iter().any(|domain| job.may_use(domain)))
    }
}
