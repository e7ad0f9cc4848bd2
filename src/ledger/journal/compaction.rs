//! Compaction: snapshots that bound the length of the journal.

use super::*;

impl JournalController {
    pub(super) fn handle_compaction_outcome(
        &mut self,
        now: Instant,
        call: JournalCall,
        outcome: StoreOutcome,
    ) -> Vec<JournalOutput> {
        match (call, outcome) {
            (JournalCall::ReadPartVersion(part), StoreOutcome::Found(stored)) => {
                self.write_part(part, stored.version)
            }
            (JournalCall::ReadPartVersion(part), StoreOutcome::Missing) => self.write_part(part, 0),
            (JournalCall::WritePart(part), StoreOutcome::Written(_)) => {
                self.advance_compaction(part + 1)
            }
            (JournalCall::WritePart(part), StoreOutcome::Conflict | StoreOutcome::Unknown) => {
                vec![self.call(JournalCall::ReadPartVersion(part))]
            }
            (JournalCall::WriteBase(base), StoreOutcome::Written(version)) => {
                self.handle_base_written(base, version)
            }
            (JournalCall::WriteBase(base), StoreOutcome::Conflict | StoreOutcome::Unknown) => {
                vec![self.call(JournalCall::VerifyBase(base))]
            }
            (JournalCall::VerifyBase(base), StoreOutcome::Found(stored)) => {
                match decode::<JournalBase>(&stored) {
                    Some(found) if found.write_id == base.write_id => {
                        self.handle_base_written(base, stored.version)
                    }
                    _ if stored.version == self.base_version => {
                        vec![self.call(JournalCall::WriteBase(base))]
                    }
                    _ => vec![JournalOutput::Fenced],
                }
            }
            (call, _) => self.retry(now, call),
        }
    }

    pub(super) fn should_compact(&self) -> bool {
        let covered = self.base.as_ref().map_or(0, |base| base.covers);
        let segments = self.next_number - 1 - covered;
        segments >= COMPACT_SEGMENTS
            || self.journal_bytes > COMPACT_BYTES.max(2 * self.snapshot_bytes)
    }

    pub(super) fn compact(&mut self) -> Vec<JournalOutput> {
        let token = self.token.clone().unwrap_or(FencingToken::granted(0, "".into()));
        let generation = self.base.as_ref().map_or(0, |base| base.generation) + 1;
        let parts = self.snapshot_parts(generation, &token);
        let base = JournalBase {
            generation,
            covers: self.next_number - 1,
            parts: parts.len() as u64,
            token,
            write_id: self.write_id(),
        };
        self.snapshot_bytes = parts.iter().map(String::len).sum();
        self.journal_bytes = 0;
        self.compaction = Some(CompactionState { base, parts, next_part: 0, version: 0 });
        self.advance_compaction(0)
    }

    pub(super) fn snapshot_parts(&self, generation: u64, token: &FencingToken) -> Vec<String> {
        let mut parts = Vec::new();
        let mut records = Vec::new();
        let mut bytes = 0;
        for record in self.records.values() {
            bytes += encode(record).len();
            records.push(record.clone());
            if bytes >= VALUE_BYTES {
                let batch = std::mem::take(&mut records);
                parts.push(encode(&SnapshotPart {
                    generation,
                    token: token.clone(),
                    records: batch,
                }));
                bytes = 0;
            }
        }
        if !records.is_empty() {
            parts.push(encode(&SnapshotPart { generation, token: token.clone(), records }));
        }
        parts
    }

    pub(super) fn advance_compaction(&mut self, part: u64) -> Vec<JournalOutput> {
        let Some(state) = &mut self.compaction else {
            return Vec::new();
        };
        state.next_part = part;
        match part < state.base.parts {
            true => vec![self.call(JournalCall::ReadPartVersion(part))],
            false => {
                let base = state.base.clone();
                vec![self.call(JournalCall::WriteBase(base))]
            }
        }
    }

    pub(super) fn write_part(&mut self, part: u64, version: KeyVersion) -> Vec<JournalOutput> {
        if let Some(state) = &mut self.compaction {
            state.version = version;
        }
        vec![self.call(JournalCall::WritePart(part))]
    }

    pub(super) fn handle_base_written(
        &mut self,
        base: JournalBase,
        version: KeyVersion,
    ) -> Vec<JournalOutput> {
        info!("journal of {} compacted up to {}", self.domain, base.covers);
        self.base_version = version;
        self.base = Some(base);
        self.compaction = None;
        Vec::new()
    }
}
