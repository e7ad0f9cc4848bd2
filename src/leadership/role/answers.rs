//! What follows from the store's answers about the lease.

use super::*;

impl LeadershipController {
    /// Brings back the outcome of a call.
    pub fn answer(
        &mut self,
        now: Instant,
        id: CallId,
        outcome: StoreOutcome,
    ) -> Vec<LeadershipAction> {
        match outcome.answered() {
            true => self.store_answered = now,
            false => self.store_failed = Some(now),
        }
        let pending = match self.pending.take() {
            Some((call, pending)) if call == id => pending,
            other => {
                self.pending = other;
                return Vec::new();
            }
        };
        match (pending, outcome) {
            (PendingCall::Write(write), StoreOutcome::Written(version)) => {
                self.written(now, write, version)
            }
            (PendingCall::Write(_), StoreOutcome::Conflict) => self.conflict(now),
            (PendingCall::Write(write), StoreOutcome::Unknown) => vec![self.look(Some(write))],
            (PendingCall::Look { settles }, StoreOutcome::Unknown | StoreOutcome::Unavailable)
                if settles.is_some() && !self.leaving =>
            {
                vec![self.look(settles)]
            }
            (PendingCall::Look { settles }, StoreOutcome::Found(stored)) => {
                let record = serde_json::from_str(&stored.value).ok();
                self.looked(now, settles, stored.version, record)
            }
            (PendingCall::Look { settles }, StoreOutcome::Missing) => {
                self.looked(now, settles, 0, None)
            }
            _ => Vec::new(),
        }
    }

    pub(super) fn conflict(&mut self, now: Instant) -> Vec<LeadershipAction> {
        match &mut self.role {
            LeadershipRole::Following(role) => {
                role.next_check = now;
                role.record = None;
                Vec::new()
            }
            LeadershipRole::Leading(_) => {
                info!("the lease has another version: looking who holds it");
                vec![self.look(None)]
            }
        }
    }

    pub(super) fn written(
        &mut self,
        now: Instant,
        write: PendingWrite,
        version: KeyVersion,
    ) -> Vec<LeadershipAction> {
        let deadline = write.started + write.record.ttl;
        match &mut self.role {
            _ if write.record.ttl.is_zero() => Vec::new(),
            _ if self.leaving => {
                let record = self.record(write.record.epoch, Duration::ZERO);
                vec![self.write(now, version, record)]
            }
            LeadershipRole::Leading(role)
                if role.token.epoch == write.record.epoch && role.token.round == 0 =>
            {
                role.version = Some(version);
                role.deadline = role.deadline.max(deadline);
                Vec::new()
            }
            _ => {
                let token = FencingToken::granted(write.record.epoch, self.entry.clone());
                match &self.highest {
                    Some(highest) if *highest >= token => self.outbid(now, version, write.record),
                    _ => self.become_leader(now, token, Some(version), deadline),
                }
            }
        }
    }

    /// The store granted an epoch that a token seen elsewhere exceeds: raise it above.
    pub(super) fn outbid(
        &mut self,
        now: Instant,
        version: KeyVersion,
        record: LeaseRecord,
    ) -> Vec<LeadershipAction> {
        let known = self.highest.as_ref().map_or(0, |token| token.epoch);
        let record = self.record(known.max(record.epoch) + 1, self.timing.lease_ttl);
        vec![self.write(now, version, record)]
    }

    pub(super) fn looked(
        &mut self,
        now: Instant,
        settles: Option<PendingWrite>,
        version: KeyVersion,
        record: Option<LeaseRecord>,
    ) -> Vec<LeadershipAction> {
        if let (Some(write), Some(record)) = (&settles, &record)
            && write.record.write_id == record.write_id
        {
            return self.written(now, write.clone(), version);
        }
        match &mut self.role {
            LeadershipRole::Following(role) => {
                role.note(now, version, record);
                if role.expired(now) || version == 0 {
                    role.next_check = now;
                }
                Vec::new()
            }
            LeadershipRole::Leading(_) => self.compare_with_own(now, version, record),
        }
    }

    /// A leader found a record that is not its last write.
    pub(super) fn compare_with_own(
        &mut self,
        now: Instant,
        version: KeyVersion,
        record: Option<LeaseRecord>,
    ) -> Vec<LeadershipAction> {
        let (epoch, holder) = match &record {
            Some(record) => (record.epoch, Some(record.holder.clone())),
            None => (0, None),
        };
        let LeadershipRole::Leading(role) = &mut self.role else {
            return Vec::new();
        };
        let token = role.token.clone();
        match holder {
            Some(holder) if holder == self.entry && epoch == token.epoch && token.round == 0 => {
                role.version = Some(version);
                role.next_renewal = now;
                Vec::new()
            }
            _ if epoch <= token.epoch => {
                let record = self.record(token.epoch + 1, self.timing.lease_ttl);
                vec![self.write(now, version, record)]
            }
            _ => {
                let token = FencingToken::granted(epoch, holder.unwrap_or(self.entry.clone()));
                self.on_token(now, &token)
            }
        }
    }
}
