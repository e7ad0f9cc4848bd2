//! Which failure domain an intent, a job or a key belongs to.

use crate::id::{DomainId, ServiceId};
use crate::intent::{IntentSpec, JobKind, SpreadRule};

/// The failure domain that a name belongs to: the one whose hash with it is highest. All entries
/// agree on it without asking, and another domain added later takes over only its own part.
pub(crate) fn home_domain<'d>(name: &str, domains: &'d [DomainId]) -> Option<&'d DomainId> {
    domains.iter().max_by_key(|domain| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(domain.as_bytes());
        hasher.update(&[0]);
        hasher.update(name.as_bytes());
        *hasher.finalize().as_bytes()
    })
}

/// How many of an intent's tasks belong to `domain`.
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

/// Splits evenly; the home domain and those after it take what is left over.
fn split_count(count: u32, name: &str, domain: &DomainId, domains: &[DomainId]) -> u32 {
    let number = u32::try_from(domains.len()).unwrap_or(1).max(1);
    let place = |wanted: &DomainId| {
        let found = domains.iter().position(|other| other == wanted);
        u32::try_from(found.unwrap_or(0)).unwrap_or(0)
    };
    let home = home_domain(name, domains).map_or(0, place);
    let distance = (place(domain) + number - home) % number;
    count / number + u32::from(distance < count % number)
}
