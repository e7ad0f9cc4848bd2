//! Idempotency keys: requests that must run at most once.

use tokio::time::Instant;

use crate::domain::controller::{CommitWaiter, DomainController, ReplyTo};
use crate::ledger::{KeyRecord, KeyState, LedgerRecord, key_name};
use crate::message::{CallRefusal, ClientAnswer, KeyAnswer};

/// Maximum size of a stored answer body, in bytes; longer answers are not replayed.
const MAX_STORED_ANSWER: usize = 4 * 1024;

impl DomainController {
    /// Stores a key durably before its request is sent, or answers with the outcome of the first
    /// request with this key.
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
        self.run_when_durable(ticket, CommitWaiter::Answer(to, answer));
    }

    /// Records the outcome of a request. It is ignored unless it comes from the holder of the
    /// reservation, so that a late outcome of one reservation cannot release the next.
    pub(crate) fn complete_key(&mut self, to: &ReplyTo, id: &str, holder: &str, state: KeyState) {
        let state = match state {
            KeyState::Answered(answer) if answer.body.len() > MAX_STORED_ANSWER => KeyState::Ended,
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
