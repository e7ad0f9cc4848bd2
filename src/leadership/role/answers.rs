//! Handling of the store's answers to calls about the lease.

use super::*;

impl LeadershipController {
    /// Handles the outcome of a call.
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
                self.handle_written(now, write, version)
            }
            (PendingCall::Write(_), StoreOutcome::Conflict) => self.handle_conflict(now),
            (PendingCall::Write(write), StoreOutcome::Unknown) => {
                vec![self.read_lease(Some(write))]
            }
            (PendingCall::Look { settles }, StoreOutcome::Unknown | StoreOutcome::Unavailable)
                if settles.is_some() && !self.leaving =>
            {
                vec![self.read_lease(settles)]
            }
            (PendingCall::Look { settles }, StoreOutcome::Found(stored)) => {
                let record = serde_json::from_str(&stored.value).ok();
                self.handle_read(now, settles, stored.version, record)
            }
            (PendingCall::Look { settles }, StoreOutcome::Missing) => {
                self.handle_read(now, settles, 0, None)
            }
            _ => Vec::new(),
        }
    }

    pub(super) fn handle_conflict(&mut self, now: Instant) -> Vec<LeadershipAction> {
        match &mut self.role {
            LeadershipRole::Following(role) => {
                role.next_check = now;
                role.record = None;
                Vec::new()
            }
            LeadershipRole::Leading(_) => {
                info!("unexpected version of the lease: reading it again");
                vec![self.read_lease(None)]
            }
        }
    }

    pub(super) fn handle_written(
        &mut self,
        now: Instant,
        write: PendingWrite,
        version: KeyVersion,
    ) -> Vec<LeadershipAction> {
        let deadline = write.started + write.record.ttl;
        match &mut self.role {
            _ if write.record.ttl.is_zero() => Vec::new(),
            _ if self.leaving => {
                let record = self.new_record(write.record.epoch, Duration::ZERO);
                vec![self.write_lease(now, version, record)]
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
                    Some(highest) if *highest >= token => {
                        self.raise_epoch(now, version, write.record)
                    }
                    _ => self.become_leader(now, token, Some(version), deadline),
                }
            }
        }
    }

    /// Raises the epoch of a lease that was just acquired above that of a higher token seen elsewhere.
    pub(super) fn raise_epoch(
        &mut self,
        now: Instant,
        version: KeyVersion,
        record: LeaseRecord,
    ) -> Vec<LeadershipAction> {
        let known = self.highest.as_ref().map_or(0, |token| token.epoch);
        let record = self.new_record(known.max(record.epoch) + 1, self.timing.lease_ttl);
        vec![self.write_lease(now, version, record)]
    }

    pub(super) fn handle_read(
        &mut self,
        now: Instant,
        settles: Option<PendingWrite>,
        version: KeyVersion,
        record: Option<LeaseRecord>,
    ) -> Vec<LeadershipAction> {
        if let (Some(write), Some(record)) = (&settles, &record)
            && write.record.write_id == record.write_id
        {
            return self.handle_written(now, write.clone(), version);
        }
        match &mut self.role {
            LeadershipRole::Following(role) => {
                role.observe(now, version, record);
                if role.expired(now) || version == 0 {
                    role.next_check = now;
                }
                Vec::new()
            }
            LeadershipRole::Leading(_) => self.compare_with_own(now, version, record),
        }
    }

    /// Handles a record that the leader read and that is not its pending write.
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
                let record = self.new_record(token.epoch + 1, self.timing.lease_ttl);
                vec![self.write_lease(now, version, record)]
            }
            _ => {
                let token = FencingToken::granted(epoch, holder.unwrap_or(self.entry.clone()));
                self.on_token(now, &token)
            }
        }
    }
}
