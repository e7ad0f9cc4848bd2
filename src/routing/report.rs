//! Messages between entries and the leader about upstream slots.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{EntryId, ServiceId, UpstreamId};
use crate::token::FencingToken;

/// An upstream that answers requests of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct UpstreamSpec {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// The service it answers for.
    pub service: ServiceId,
    /// Its address.
    pub address: SocketAddr,
    /// Maximum number of requests that it processes concurrently.
    pub slots: u32,
}

/// Slots of one upstream that an entry holds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ShareHolding {
    /// Slots that the entry may use.
    pub share: u32,
    /// Slots that the entry uses.
    pub in_use: u32,
}

/// Report of an entry to the leader about the slots it holds and needs.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DemandReport {
    /// The entry.
    pub entry: EntryId,
    /// Number of the process start of the entry.
    pub boot: u64,
    /// Number of the report.
    pub seq: u64,
    /// Leader whose grants it applies.
    pub token: Option<FencingToken>,
    /// Version of the last grant of that leader that it applied.
    pub applied: u64,
    /// Upstreams of which it holds or uses slots.
    pub holdings: BTreeMap<UpstreamId, ShareHolding>,
    /// Requests that use a slot or wait for one, by service.
    pub demand: BTreeMap<ServiceId, u32>,
}

/// The leader's answer to a report; it replaces all earlier grants.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ShareGrant {
    /// The leader.
    pub token: FencingToken,
    /// Number of the report that the grant answers; the time to live starts when that report was sent.
    pub answers: u64,
    /// Version of the grant; it rises when the shares or the upstreams change.
    pub version: u64,
    /// How long shares may be used.
    pub ttl: Duration,
    /// Slots by upstream; `None` if the entry has applied this version already.
    pub shares: Option<BTreeMap<UpstreamId, u32>>,
    /// All upstreams of the failure domain; `None` if the entry has the current list.
    pub upstreams: Option<Vec<UpstreamSpec>>,
}
