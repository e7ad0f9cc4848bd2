//! The duty of answering callers: a chain of filters, then the attempt at an upstream.
//!
//! A request passes identify, limit and admit in this order; each either puts what it found into the
//! request's state or answers. Then the dispatcher routes, sends and answers.

mod admit;
mod context;
mod dispatch;
mod duty;
mod identify;
mod jobs;
mod limit;

pub(crate) use context::CallerInput;
pub(crate) use context::{CallerContext, RouterState};
pub(crate) use duty::CallerLoop;
pub(crate) use limit::collect;

/// Header that carries a request's number to the upstream and back.
pub(crate) const REQUEST_ID_HEADER: &str = "kelplink-request-id";
/// Header that carries the number of the attempt to the upstream and back.
pub(crate) const ATTEMPT_HEADER: &str = "kelplink-attempt";
/// Header that tells the upstream, in milliseconds, after what time it must have stopped working.
pub(crate) const ATTEMPT_LIMIT_HEADER: &str = "kelplink-attempt-limit-ms";
/// Header of a caller: how urgent a request is.
pub(crate) const URGENCY_HEADER: &str = "kelplink-urgency";
/// Header of a caller: after how many milliseconds it stops waiting.
pub(crate) const DEADLINE_HEADER: &str = "kelplink-deadline-ms";
/// Header of a caller: whether the request may be run again after it may have run.
pub(crate) const IDEMPOTENT_HEADER: &str = "kelplink-idempotent";
/// Header of a caller: names a request that must run at most once.
pub(crate) const KEY_HEADER: &str = "idempotency-key";
/// Header of a request that another entry handed over; it is not handed over again.
pub(crate) const HANDED_HEADER: &str = "kelplink-handed-over";
