//! Plans: what would change if an intent were accepted or withdrawn.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::config::assignment::assigned_count;
use crate::config::revision::ConfigRevision;
use crate::id::{DomainId, Revision, ServiceId};
use crate::intent::{IntentSpec, JobKind};
use crate::resources::ResourceVector;

/// Capacity of a failure domain, as last reported by its leader.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DomainSummary {
    /// Number of claimed workers.
    pub workers: u32,
    /// Sum of the workers' capacities.
    pub total: ResourceVector,
    /// Capacity that is not allocated.
    pub free: ResourceVector,
    /// Largest capacity of one worker in each dimension.
    pub largest: ResourceVector,
}

/// Capacities of all failure domains; domains that sent no report are absent.
pub type ClusterSummary = BTreeMap<DomainId, DomainSummary>;

/// The change that an operator asks to plan.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlanRequest {
    /// Put this intent in force.
    Accept(Box<IntentSpec>),
    /// Withdraw the intent with this name.
    Withdraw(ServiceId),
}

/// Kind of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlanAction {
    /// Tasks start.
    Start,
    /// Tasks stop.
    Stop,
    /// Tasks stop in one failure domain and start in another.
    Move,
    /// Tasks wait because there is not enough free capacity now.
    Wait,
    /// The intent can never run; the plan cannot be confirmed.
    Refuse,
    /// A limit or a rule changes without tasks starting or stopping.
    Change,
}

/// One change of a plan.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PlanChange {
    /// Kind of change.
    pub action: PlanAction,
    /// The intent that changes.
    pub subject: ServiceId,
    /// The failure domain in which it changes.
    pub domain: Option<DomainId>,
    /// Number of tasks.
    pub count: u32,
    /// The reason, in words.
    pub reason: String,
}

/// A plan. It is not stored anywhere; it contains everything that is needed to confirm it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PlanDocument {
    /// Revision that the plan is based on.
    pub base: Revision,
    /// The requested change.
    pub request: PlanRequest,
    /// The changes that the request would cause.
    pub changes: Vec<PlanChange>,
    /// Digest of base and request; guards against a plan that was edited.
    pub digest: String,
}

impl PlanDocument {
    /// Computes what a request would change in a configuration.
    pub fn new(
        config: &ConfigRevision,
        request: PlanRequest,
        cluster: &ClusterSummary,
        domains: &[DomainId],
    ) -> Self {
        let changes = match &request {
            PlanRequest::Accept(spec) => accept_changes(config, spec, cluster, domains),
            PlanRequest::Withdraw(service) => withdraw_changes(config, service, domains),
        };
        let digest = request_digest(config.revision, &request);
        Self { base: config.revision, request, changes, digest }
    }

    /// Returns whether the base and the request are unedited.
    pub fn digest_matches(&self) -> bool {
        self.digest == request_digest(self.base, &self.request)
    }

    /// Returns the change because of which the plan cannot be confirmed, if any.
    pub fn refusal(&self) -> Option<&PlanChange> {
        self.changes.iter().find(|change| change.action == PlanAction::Refuse)
    }

    /// Returns the configuration that results when the plan is confirmed.
    pub(crate) fn apply(&self, config: &ConfigRevision, write_id: &str) -> ConfigRevision {
        match &self.request {
            PlanRequest::Accept(spec) => config.with(spec, write_id),
            PlanRequest::Withdraw(service) => config.without(service, write_id),
        }
    }
}

fn request_digest(base: Revision, request: &PlanRequest) -> String {
    let text = serde_json::to_string(request).unwrap_or_default();
    blake3::hash(format!("{base}\n{text}").as_bytes()).to_hex().to_string()
}

fn accept_changes(
    config: &ConfigRevision,
    spec: &IntentSpec,
    cluster: &ClusterSummary,
    domains: &[DomainId],
) -> Vec<PlanChange> {
    let service = spec.service();
    if let Some(reason) = impossible_reason(spec, cluster, domains) {
        let count = spec.count;
        let (subject, domain) = (service, spec.domain.clone());
        return vec![PlanChange { action: PlanAction::Refuse, subject, domain, count, reason }];
    }
    let before = config.intents.get(&service);
    let replaced = before.is_some_and(|before| {
        let (count, quota) = (spec.count, spec.quota);
        IntentSpec { count, quota, ..before.spec.clone() } != *spec
    });
    let mut changes = Vec::new();
    for domain in domains {
        let old = before.map_or(0, |before| assigned_count(&before.spec, domain, domains));
        let new = assigned_count(spec, domain, domains);
        let (stop, start) = match replaced {
            true => (old, new),
            false => (old.saturating_sub(new), new.saturating_sub(old)),
        };
        changes.extend(stop_change(&service, domain, stop));
        changes.extend(start_change(spec, &service, domain, start, cluster));
    }
    merge_moves(&mut changes);
    if spec.quota.is_some() && config.quotas.get(&spec.workspace) != spec.quota.as_ref() {
        let reason =
            format!("quota of {} becomes {:?}", spec.workspace, spec.quota.unwrap_or_default());
        let subject = service.clone();
        changes.push(PlanChange {
            action: PlanAction::Change,
            subject,
            domain: None,
            count: 0,
            reason,
        });
    }
    if changes.is_empty() {
        let reason = match spec.count {
            0 => "template for jobs that callers submit".to_owned(),
            _ => "no task starts or stops".to_owned(),
        };
        let subject = service;
        changes.push(PlanChange {
            action: PlanAction::Change,
            subject,
            domain: None,
            count: 0,
            reason,
        });
    }
    changes
}

fn stop_change(service: &ServiceId, domain: &DomainId, count: u32) -> Option<PlanChange> {
    (count > 0).then(|| PlanChange {
        action: PlanAction::Stop,
        subject: service.clone(),
        domain: Some(domain.clone()),
        count,
        reason: "not asked for any more".to_owned(),
    })
}

fn start_change(
    spec: &IntentSpec,
    service: &ServiceId,
    domain: &DomainId,
    count: u32,
    cluster: &ClusterSummary,
) -> Option<PlanChange> {
    let free = cluster.get(domain).map(|summary| summary.free);
    let fits = free.is_some_and(|free| spec.need.times(count).fits(&free));
    let (action, reason) = match free {
        _ if count == 0 => return None,
        None => (PlanAction::Wait, "the failure domain was not heard from".to_owned()),
        Some(_) if fits => (PlanAction::Start, "there is room".to_owned()),
        Some(free) => (PlanAction::Wait, format!("free now: {free:?}")),
    };
    let (subject, domain) = (service.clone(), Some(domain.clone()));
    Some(PlanChange { action, subject, domain, count, reason })
}

/// Merges stops in one domain and starts in another into moves, if their task counts are equal.
fn merge_moves(changes: &mut Vec<PlanChange>) {
    let stops: u32 = task_count(changes, PlanAction::Stop);
    let starts: u32 = task_count(changes, PlanAction::Start);
    let domains_with = |action| {
        let matching = changes.iter().filter(move |change| change.action == action);
        matching.filter_map(|change| change.domain.clone()).collect::<Vec<_>>()
    };
    let (from, to) = (domains_with(PlanAction::Stop), domains_with(PlanAction::Start));
    if stops > 0 && stops == starts && from != to {
        let reason = format!("from {}", from.iter().map(|d| &**d).collect::<Vec<_>>().join(", "));
        changes.retain(|change| change.action != PlanAction::Stop);
        for change in changes.iter_mut().filter(|change| change.action == PlanAction::Start) {
            change.action = PlanAction::Move;
            change.reason.clone_from(&reason);
        }
    }
}

fn task_count(changes: &[PlanChange], action: PlanAction) -> u32 {
    changes.iter().filter(|change| change.action == action).map(|change| change.count).sum()
}

/// Returns the reason why an intent can never run, or `None` if it may run.
fn impossible_reason(
    spec: &IntentSpec,
    cluster: &ClusterSummary,
    domains: &[DomainId],
) -> Option<String> {
    if let Some(domain) = &spec.domain
        && !domains.contains(domain)
    {
        let known = domains.iter().map(|d| &**d).collect::<Vec<_>>().join(", ");
        return Some(format!("unknown failure domain {domain}: known are {known}"));
    }
    if let Some(quota) = &spec.quota
        && let Some(resource) = spec.need.exceeded_resource(quota)
    {
        return Some(format!("one task needs more {resource} than the quota {quota:?}"));
    }
    let allowed = |domain: &&DomainId| spec.domain.as_ref().is_none_or(|only| only == *domain);
    let summaries: Vec<_> =
        domains.iter().filter(allowed).map(|domain| cluster.get(domain)).collect::<Option<_>>()?;
    if summaries.is_empty() {
        return None;
    }
    let largest =
        summaries.iter().fold(ResourceVector::default(), |max, s| max.component_max(&s.largest));
    if let Some(resource) = spec.need.exceeded_resource(&largest) {
        return Some(format!(
            "one task needs more {resource} than the largest worker, {largest:?}"
        ));
    }
    let any_domain_fits = summaries.iter().any(|s| spec.need.times(spec.count).fits(&s.total));
    match spec.kind {
        JobKind::AllAtOnce if !any_domain_fits => {
            Some("all tasks together need more than any failure domain has".to_owned())
        }
        _ => None,
    }
}

fn withdraw_changes(
    config: &ConfigRevision,
    service: &ServiceId,
    domains: &[DomainId],
) -> Vec<PlanChange> {
    let Some(before) = config.intents.get(service) else {
        let reason = "no such intent is in force".to_owned();
        let subject = service.clone();
        return vec![PlanChange {
            action: PlanAction::Refuse,
            subject,
            domain: None,
            count: 0,
            reason,
        }];
    };
    let stops = domains.iter().filter_map(|domain| {
        stop_change(service, domain, assigned_count(&before.spec, domain, domains))
    });
    let mut changes: Vec<_> = stops.collect();
    if changes.is_empty() {
        let reason = "template is withdrawn".to_owned();
        let subject = service.clone();
        changes.push(PlanChange {
            action: PlanAction::Change,
            subject,
            domain: None,
            count: 0,
            reason,
        });
    }
    changes
}
