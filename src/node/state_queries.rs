//! Callers who ask for a job's state while its verdict is on the way to the store.

use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::graph::{GraphId, GraphState};
use crate::node::message::LeaderAnswer;

/// How long a question for a state waits for the verdict to be stored: a group takes some milliseconds, and
/// 240 ms at a slow store. A caller who is told that the job runs on asks again 0.2 s later on the median.
const STATE_WAIT: Duration = Duration::from_millis(250);

/// What may be told of a job now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StateUpdate {
    /// This is the state.
    Final(GraphState),
    /// It has ended, and the store does not have that yet.
    Ending(GraphState),
    /// There is no such job.
    Gone,
    /// It is not known here, and a later leader may have accepted it.
    Unsure,
}

struct StateQuery {
    job: GraphId,
    until: Instant,
    answer: oneshot::Sender<LeaderAnswer>,
}

/// Questions that wait.
#[derive(Default)]
pub(crate) struct StateQueries {
    questions: Vec<StateQuery>,
}

impl StateQueries {
    /// Answers at once where the state is final for now, or else once the store has the verdict.
    pub(crate) fn ask(
        &mut self,
        now: Instant,
        job: GraphId,
        news: StateUpdate,
        answer: oneshot::Sender<LeaderAnswer>,
    ) {
        match news {
            StateUpdate::Ending(_) => {
                self.questions.push(StateQuery { job, until: now + STATE_WAIT, answer });
            }
            news => tell(answer, news),
        }
    }

    /// Answers questions whose time has come.
    pub(crate) fn answer(&mut self, now: Instant, news: impl Fn(&GraphId) -> StateUpdate) {
        for question in std::mem::take(&mut self.questions) {
            match news(&question.job) {
                StateUpdate::Ending(_) if now < question.until => self.questions.push(question),
                news => tell(question.answer, news),
            }
        }
    }
}

fn tell(answer: oneshot::Sender<LeaderAnswer>, news: StateUpdate) {
    let told = match news {
        StateUpdate::Final(state) | StateUpdate::Ending(state) => LeaderAnswer::State(state),
        StateUpdate::Gone => LeaderAnswer::Gone,
        StateUpdate::Unsure => LeaderAnswer::NotLeading,
    };
    let _ = answer.send(told);
}
