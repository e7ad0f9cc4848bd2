//! Establishes which workspace a caller acts for.

use hyper::{HeaderMap, StatusCode};

use crate::graph::{QueueConfig, QueueRule};
use crate::id::WorkspaceId;
use crate::platform::{KEY_SCHEME, decode_api_key};
use crate::problem::{ProblemDetails, RunState};

type Result<T> = std::result::Result<T, ProblemDetails>;

/// Returns the workspace of a request's API key; `None` for a caller of a public queue without a key, or of a
/// deployment without keys.
///
/// # Errors
/// Returns the refusal of a request without a valid key where one is needed.
pub(crate) fn identify_workspace(
    config: &QueueConfig,
    queue: &QueueRule,
    headers: &HeaderMap,
    requires_keys: bool,
) -> Result<Option<WorkspaceId>> {
    if !requires_keys && config.workspaces.is_empty() {
        return Ok(None);
    }
    let workspace = decode_api_key(headers).and_then(|key| config.keys.get(&key).cloned());
    match workspace {
        None if !queue.public => {
            metrics::counter!("kelplink_unidentified_callers_total").increment(1);
            let detail = "a valid API key of a workspace is needed";
            let problem = ProblemDetails::new(StatusCode::UNAUTHORIZED, "not identified", detail);
            Err(problem.ran(RunState::No).challenge(KEY_SCHEME))
        }
        workspace => Ok(workspace),
    }
}
