//! Second filter: collects the body, within limits on its size and time.

use std::pin::Pin;

use bytes::Bytes;
use gotham::handler::HandlerFuture;
use gotham::helpers::http::Body;
use gotham::middleware::{Middleware, NewMiddleware};
use gotham::state::{FromState, State, StateData};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::StatusCode;
use tokio::time::timeout;

use crate::callers::context::CallerContext;
use crate::problem::{ProblemDetails, RunState};
use crate::settings::LimitSettings;

/// The complete body of a request.
#[derive(Clone, Debug)]
pub(crate) struct CollectedBody(pub(crate) Bytes);

impl StateData for CollectedBody {}

/// Filter that collects the body.
#[derive(Clone, Copy, Debug, NewMiddleware)]
pub(crate) struct LimitFilter;

impl Middleware for LimitFilter {
    fn call<Chain>(self, mut state: State, chain: Chain) -> Pin<Box<HandlerFuture>>
    where
        Chain: FnOnce(State) -> Pin<Box<HandlerFuture>> + Send + 'static,
    {
        Box::pin(async move {
            let limits = CallerContext::borrow_from(&state).limits;
            let body = Body::try_take_from(&mut state).unwrap_or_default();
            match collect_body(body, &limits).await {
                Ok(bytes) => {
                    state.put(CollectedBody(bytes));
                    chain(state).await
                }
                Err(problem) => {
                    let response = problem.ran(RunState::No).response();
                    Ok((state, response))
                }
            }
        })
    }
}

/// Collects a body within the limits on its size and time.
pub(crate) async fn collect_body(
    body: Body,
    limits: &LimitSettings,
) -> Result<Bytes, ProblemDetails> {
    let limited = Limited::new(body, limits.request_bytes).collect();
    match timeout(limits.body_time, limited).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ProblemDetails::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body too large",
            format!("at most {} bytes are taken", limits.request_bytes),
        )),
        Ok(Err(error)) => {
            Err(ProblemDetails::new(StatusCode::BAD_REQUEST, "body not whole", error.to_string()))
        }
        Err(_) => Err(ProblemDetails::new(
            StatusCode::REQUEST_TIMEOUT,
            "body too slow",
            format!("the body has to arrive within {:?}", limits.body_time),
        )),
    }
}
