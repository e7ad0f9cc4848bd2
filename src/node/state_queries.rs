//! Queries for a job's state that arrive while the job's verdict is being stored.

use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::graph::{GraphId, GraphState};
use crate::node::message::LeaderAnswer;

/// How long a query waits for the verdict to be stored: storing a group takes a few milliseconds, and 240 ms with
/// a slow store. A caller that gets the answer that the job still runs asks again 0.2 s later on the median.
const STATE_WAIT: Duration = Duration::from_millis(250);

/// What can be reported about a job at present.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StateUpdate {
    /// The job is in this state.
    Current(GraphState),
    /// The job has ended, but its end is not stored yet; this is the state in the store.
    Ending(GraphState),
    /// The job does not exist.
    Gone,
    /// This leader does not have the job, but a later leader may have accepted it.
    Unsure,
}

struct StateQuery {
    job: GraphId,
    deadline: Instant,
    answer: oneshot::Sender<LeaderAnswer>,
}

/// Queries that wait for a verdict to be stored.
#[derive(Default)]
pub(crate) struct StateQueries {
    queries: Vec<StateQuery>,
}

impl StateQueries {
    /// Answers at once, unless the job's verdict is being stored: then the query waits for it.
    pub(crate) fn answer_or_wait(
        &mut self,
        now: Instant,
        job: GraphId,
        update: StateUpdate,
        answer: oneshot::Sender<LeaderAnswer>,
    ) {
        match update {
            StateUpdate::Ending(_) => {
                self.queries.push(StateQuery { job, deadline: now + STATE_WAIT, answer });
            }
            update => send_answer(answer, update),
        }
    }

    /// Answers the queries whose verdict is stored or whose time is up.
    pub(crate) fn answer_waiting(
        &mut self,
        now: Instant,
        update: impl Fn(&GraphId) -> StateUpdate,
    ) {
        for query in std::mem::take(&mut self.queries) {
            match update(&query.job) {
                StateUpdate::Ending(_) if now < query.deadline => self.queries.push(query),
                update => send_answer(query.answer, update),
            }
        }
    }
}

fn send_answer(answer: oneshot::Sender<LeaderAnswer>, update: StateUpdate) {
    let reply = match update {
        StateUpdate::Current(state) | StateUpdate::Ending(state) => LeaderAnswer::State(state),
        StateUpdate::Gone => LeaderAnswer::Gone,
        StateUpdate::Unsure => LeaderAnswer::NotLeading,
    };
    let _ = answer.send(reply);
}
