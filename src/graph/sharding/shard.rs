//! Division of a deployment's workers among leaders.
//!
//! It is needed for deployments of 1,100 workers with 1,900 starts a second. There, one leader with half a
//! core served a quarter of a quiet day's load, as each call waited behind a thousand others. A shard is a
//! failure domain, or a share of its racks where one leader cannot handle the domain. A rack is never
//! divided, since a gang may have to run within a single rack.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::graph::workload::name::GraphId;
use crate::id::{DomainId, EntryId, RackId};

/// Name of a shard, a part of the workers with its own leader; empty where there is only one leader.
pub type ShardId = Arc<str>;

/// Number of workers that a leader can handle for each core of its machine. A leader of 350 workers used 0.17
/// of its half core on average over a day with bursts of 700 starts a second, and all of it in a burst.
const WORKERS_PER_CORE: f64 = 800.0;
/// Minimum number of workers in a shard, whatever its leader's machine. With two kinds of workers, of which
/// advice allows a third, a step then has 16 to choose from. In shards of 33 workers, gangs of four waited
/// indefinitely on five days of seven.
const MIN_SHARD_SIZE: usize = 100;
/// Separates a failure domain from the number of a share of its racks.
const PART_SEPARATOR: char = '.';

/// Division of a deployment's workers into shards. It is stored once, and all entries follow it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ShardPlan {
    /// Number of shards of each failure domain; empty where one leader has all workers.
    domains: BTreeMap<DomainId, u32>,
}

impl ShardPlan {
    /// A plan with one leader for all workers.
    pub fn undivided() -> Self {
        Self::default()
    }

    /// A plan with the given number of shards for each failure domain.
    pub fn by_domain(domains: BTreeMap<DomainId, u32>) -> Self {
        Self { domains }
    }

    /// Computes the plan for the number of workers in each failure domain, where the best machines have
    /// `cores` cores.
    pub fn for_fleet(workers: &BTreeMap<DomainId, usize>, cores: f64) -> Self {
        let leader_capacity = (WORKERS_PER_CORE * cores).max(1.0) as usize;
        let smallest_domain = workers.values().min().copied().unwrap_or_default();
        if workers.values().sum::<usize>() <= leader_capacity || smallest_domain < MIN_SHARD_SIZE {
            return Self::undivided();
        }
        let parts = |count: &usize| {
            let max_parts = count / MIN_SHARD_SIZE;
            u32::try_from(count.div_ceil(leader_capacity).clamp(1, max_parts)).unwrap_or(1)
        };
        let domains = workers.iter().map(|(domain, count)| (domain.clone(), parts(count)));
        Self::by_domain(domains.collect())
    }

    /// Whether there are several leaders.
    pub fn is_divided(&self) -> bool {
        self.shards().len() > 1
    }

    /// All shards.
    pub fn shards(&self) -> Vec<ShardId> {
        if self.domains.is_empty() {
            return vec![ShardId::from("")];
        }
        let of_domain = |(domain, parts): (&DomainId, &u32)| {
            let name = |part| shard_name(domain, *parts, part);
            (0..*parts).map(name).collect::<Vec<_>>()
        };
        self.domains.iter().flat_map(of_domain).collect()
    }

    /// Returns the shard of a rack. A failure domain that was added after the plan was made belongs to one of
    /// the existing shards.
    pub fn shard_of(&self, domain: &DomainId, rack: &RackId) -> ShardId {
        match self.domains.get(domain) {
            Some(parts) => shard_name(domain, *parts, hash_bucket(rack, *parts)),
            None => self.fallback_shard(domain),
        }
    }

    /// Returns the failure domain of a shard, and the index of the shard in it.
    pub fn domain_and_index(&self, shard: &ShardId) -> Option<(&DomainId, u32)> {
        self.domains.iter().find_map(|(domain, parts)| {
            let part = (0..*parts).find(|part| shard_name(domain, *parts, *part) == *shard);
            part.map(|part| (domain, part))
        })
    }

    /// Returns the shards that may accept a job submitted in a failure domain, nearest first. All entries
    /// compute the same order, and jobs of a domain without a leader are spread over all other shards.
    pub fn shard_order(&self, domain: &DomainId, job: &GraphId) -> Vec<ShardId> {
        let mut shards = self.shards();
        let count = u32::try_from(shards.len()).unwrap_or(1);
        shards.rotate_left(hash_bucket(job, count) as usize);
        let is_remote = |shard: &ShardId| {
            self.domain_and_index(shard).is_none_or(|(shard_domain, _)| shard_domain != domain)
        };
        shards.sort_by_key(is_remote);
        shards
    }

    /// Whether an entry makes advice calls for a shard. Each leader has entries of its own, as the advisor
    /// answers only one call of a machine at a time.
    pub fn is_advised_by(&self, shard: &ShardId, entry: &EntryId, domain: &DomainId) -> bool {
        match self.domain_and_index(shard) {
            Some((shard_domain, part)) => {
                shard_domain == domain
                    && self
                        .domains
                        .get(shard_domain)
                        .is_some_and(|parts| hash_bucket(entry, *parts) == part)
            }
            None => true,
        }
    }

    fn fallback_shard(&self, domain: &DomainId) -> ShardId {
        let shards = self.shards();
        let count = u32::try_from(shards.len()).unwrap_or(1);
        shards[hash_bucket(domain, count) as usize].clone()
    }
}

fn shard_name(domain: &DomainId, parts: u32, part: u32) -> ShardId {
    match parts {
        1 => domain.clone(),
        _ => format!("{domain}{PART_SEPARATOR}{part}").into(),
    }
}

/// Maps a name to a number below `count`, by its hash.
fn hash_bucket(name: &str, count: u32) -> u32 {
    let hash = blake3::hash(name.as_bytes());
    let [a, b, c, d, ..] = *hash.as_bytes();
    u32::from_be_bytes([a, b, c, d]) % count.max(1)
}

/// The shard of one leader within a plan.
#[derive(Clone, Debug, Default)]
pub struct ShardScope {
    /// The plan.
    pub plan: Arc<ShardPlan>,
    /// The leader's shard.
    pub shard: ShardId,
}

impl ShardScope {
    /// Creates the scope of one shard of a plan.
    pub fn new(plan: Arc<ShardPlan>, shard: ShardId) -> Self {
        Self { plan, shard }
    }
}
