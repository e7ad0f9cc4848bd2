//! The callers' interface: a chain of filters, then attempts at an upstream.
//!
//! A request passes the filters identify, limit and admit in this order. Each filter either adds its
//! result to the request's state or answers the request itself. Then the dispatcher obtains a slot,
//! sends the request to the upstream and answers the caller.

mod admit;
mod caller_loop;
mod context;
mod dispatch;
mod identify;
mod jobs;
mod limit;

pub(crate) use caller_loop::CallerLoop;
pub(crate) use context::CallerInput;
pub(crate) use context::{CallerContext, RouterState};
pub(crate) use limit::collect_body;

/// Header with the request's id, sent to the upstream and returned by it.
pub(crate) const REQUEST_ID_HEADER: &str = "kelplink-request-id";
/// Header with the number of the attempt, sent to the upstream and returned by it.
pub(crate) const ATTEMPT_HEADER: &str = "kelplink-attempt";
/// Header with the time limit of an attempt in milliseconds; the upstream must stop working on the
/// request when it has passed.
pub(crate) const ATTEMPT_LIMIT_HEADER: &str = "kelplink-attempt-limit-ms";
/// Request header set by callers: how urgent the request is.
pub(crate) const URGENCY_HEADER: &str = "kelplink-urgency";
/// Request header set by callers: how many milliseconds the caller waits for an answer.
pub(crate) const DEADLINE_HEADER: &str = "kelplink-deadline-ms";
/// Request header set by callers: whether the request may be sent again when an earlier attempt may
/// have run.
pub(crate) const IDEMPOTENT_HEADER: &str = "kelplink-idempotent";
/// Request header set by callers: key of a request that must run at most once.
pub(crate) const KEY_HEADER: &str = "idempotency-key";
/// Header of a request forwarded by another entry; such a request is not forwarded again.
pub(crate) const HANDED_OVER_HEADER: &str = "kelplink-handed-over";
