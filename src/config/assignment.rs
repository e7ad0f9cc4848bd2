//! Assignment of intents, jobs and keys to failure domains.

use crate::id::{DomainId, ServiceId};
use crate::intent::{IntentSpec, JobKind, SpreadRule};

/// Returns the failure domain that a name belongs to, by rendezvous hashing. All entries compute the
/// same domain without communicating, and a domain that is added later takes over only its own part
/// of the names.
pub(crate) fn home_domain<'d>(name: &str, domains: &'d [DomainId]) -> Option<&'d DomainId> {
    domains.iter().max_by_key(|domain| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(domain.as_bytes());
        hasher.update(&[0]);
        hasher.update(name.as_bytes());
        *hasher.finalize().as_bytes()
    })
}

/// Returns how many of an intent's tasks belong to `domain`.
pub(crate) fn assigned_count(spec: &IntentSpec, domain: &DomainId, domains: &[DomainId]) -> u32 {
    let service: ServiceId = spec.service();
    match (&spec.domain, spec.spread, spec.kind) {
        (Some(only), _, _) if only == domain => spec.count,
        (Some(_), _, _) => 0,
        (None, SpreadRule::FailureDomain, JobKind::Service | JobKind::Batch) => {
            split_count(spec.count, &service, domain, domains)
        }
        _ if home_domain(&service, domains) == Some(domain) => spec.count,
        _ => 0,
    }
}

/// Splits the tasks evenly; the home domain and the domains after it each get one more task until the
/// remainder is used up.
fn split_count(count: u32, name: &str, domain: &DomainId, domains: &[DomainId]) -> u32 {
    let domain_count = u32::try_from(domains.len()).unwrap_or(1).max(1);
    let index_of = |wanted: &DomainId| {
        let found = domains.iter().position(|other| other == wanted);
        u32::try_from(found.unwrap_or(0)).unwrap_or(0)
    };
    let home = home_domain(name, domains).map_or(0, index_of);
    let distance = (index_of(domain) + domain_count - home) % domain_count;
    count / domain_count + u32::from(distance < count % domain_count)
}
