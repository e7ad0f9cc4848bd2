//! Keys of requests that must run at most once.

use tokio::time::Instant;

use crate::domain::controller::{CommitWaiter, DomainController, ReplyTo};
use crate::ledger::{KeyRecord, KeyState, LedgerRecord, key_name};
use crate::message::{CallRefusal, ClientAnswer, KeyAnswer};

/// Longest answer that is kept to be given again, in bytes.
const MAX_KEPT_ANSWER: usize = 4 * 1024;

impl DomainController {
    /// Makes a key durable before its request is sent, or tells what became of the first request.
    pub(crate) fn reserve_key(
        &mut self,
        now: Instant,
        to: ReplyTo,
        id: String,
        digest: String,
        holder: String,
    ) {
        if !self.journal.open() || !self.leadership.store_up(now) {
            return self.refuse(&to, CallRefusal::StoreDown);
        }
        let known = match self.journal.get(&key_name(&id)) {
            Some(LedgerRecord::Key(record)) => Some(record.clone()),
            _ => None,
        };
        let answer = match known {
            Some(record) if record.digest != digest => KeyAnswer::Mismatch,
            Some(KeyRecord { state: KeyState::Answered(answer), .. }) => {
                KeyAnswer::Answered(answer)
            }
            Some(KeyRecord { state: KeyState::Started | KeyState::Ended, .. }) => {
                KeyAnswer::Unknown
            }
            Some(KeyRecord { state: KeyState::NotRun, .. }) | None => KeyAnswer::Fresh,
        };
        if answer != KeyAnswer::Fresh {
            return self.reply(&to, ClientAnswer::Key(answer));
        }
        let accepted = self.clock.unix(now);
        let record = KeyRecord { id, digest, holder, state: KeyState::Started, accepted };
        let ticket = self.journal.put(LedgerRecord::Key(record));
        let answer = ClientAnswer::Key(KeyAnswer::Fresh);
        self.when_durable(ticket, CommitWaiter::Answer(to, answer));
    }

    /// Notes what became of a request. Only whoever reserved the key may tell, so that a late word on
    /// one reservation cannot free the next.
    pub(crate) fn complete_key(&mut self, to: &ReplyTo, id: &str, holder: &str, state: KeyState) {
        let state = match state {
            KeyState::Answered(answer) if answer.body.len() > MAX_KEPT_ANSWER => KeyState::Ended,
            state => state,
        };
        if let Some(LedgerRecord::Key(record)) = self.journal.get(&key_name(id))
            && record.state == KeyState::Started
            && record.holder == holder
        {
            let record = KeyRecord { state, ..record.clone() };
            self.journal.put(LedgerRecord::Key(record));
        }
        self.reply(to, ClientAnswer::Key(KeyAnswer::Noted));
    }
}
