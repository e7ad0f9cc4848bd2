//! What entries and the leader tell each other about slots.

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
    /// Where it is.
    pub address: SocketAddr,
    /// Requests that it works on at a time.
    pub slots: u32,
}

/// What an entry holds of one upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ShareHolding {
    /// Slots that it may use.
    pub share: u32,
    /// Slots that it uses.
    pub in_use: u32,
}

/// An entry tells the leader what it holds and needs.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DemandReport {
    /// The entry.
    pub entry: EntryId,
    /// Which start of the entry.
    pub boot: u64,
    /// Number of the report.
    pub seq: u64,
    /// Leader whose grants it follows.
    pub token: Option<FencingToken>,
    /// Last grant that it applied of that leader.
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
    /// Report that it answers; the shares' time starts when that was sent.
    pub answers: u64,
    /// Number of the grant; rises when shares change.
    pub version: u64,
    /// How long shares may be used.
    pub ttl: Duration,
    /// Slots by upstream; `None` leaves them as in the grant of the same version.
    pub shares: Option<BTreeMap<UpstreamId, u32>>,
    /// All upstreams of the domain; `None` when the entry knows them.
    pub upstreams: Option<Vec<UpstreamSpec>>,
}
